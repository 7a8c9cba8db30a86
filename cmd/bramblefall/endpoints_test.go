package main

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endpointDrainWait is the 500 ms of drainGrace in the settings, and 50 ms by which every time limit on sockets is longer.
const endpointDrainWait = 550 * time.Millisecond

// An endpoint that leaves the group, in whatever way, may still answer the calls that it has: calls in flight are not cut off,
// and no new call goes there.
func TestRemovedEndpointAnswersCallsInFlight(t *testing.T) {
	t.Parallel()
	for name, rest := range map[string]func(t *testing.T, leaves, stays string) object{
		"it drains": func(t *testing.T, leaves, stays string) object {
			return assignment("limits", locality(t, "hall-a", 0, 1, leaves, stays))
		},
		"it is no longer named": func(t *testing.T, _, stays string) object {
			return assignment("limits", locality(t, "hall-a", 0, 0, stays))
		},
		"its zone is removed": func(t *testing.T, _, stays string) object {
			return assignment("limits", locality(t, "hall-b", 0, 0, stays))
		},
		"another priority takes over": func(t *testing.T, leaves, stays string) object {
			return assignment("limits", locality(t, "hall-a", 0, 1, leaves), locality(t, "hall-a", 1, 0, stays))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := make(chan struct{})
			leaves := &externalService{answer: func(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
				<-held
				return respondWith(verdictOK)(nil, nil)
			}}
			stays := &externalService{answer: respondWith(rlsv3.RateLimitResponse_OVER_LIMIT)}
			addr := leaves.listen(t)
			file := rateLimitFile(t, addr)
			l := start(t, fixture{rateLimitFile: file})
			s := l.rateLimitClient()
			verdicts := make(chan rlsv3.RateLimitResponse_Code, 1)
			go func() {
				answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
				assert.NoError(t, err)
				verdicts <- answer.GetOverallCode()
			}()
			require.Eventually(t, func() bool { return leaves.calls() == 1 }, testTimeout, time.Millisecond)
			writeAssignments(t, filepath.Dir(file), rest(t, addr, stays.listen(t)))
			time.Sleep(endpointDrainWait) // the files are in effect by then
			for firm := range 5 {
				_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor(fmt.Sprintf("b%d", firm))))
				require.NoError(t, err)
			}
			close(held)
			assert.Equal(t, verdictOK, <-verdicts, "the verdict must come from the endpoint that had the call")
			assert.Equal(t, 1, leaves.calls())
			assert.Equal(t, 5, stays.calls())
		})
	}
}

// Two clusters name the same endpoint. It is used as our cluster says; its state in the other cluster changes nothing.
func TestEndpointInTwoClustersFollowsOurCluster(t *testing.T) {
	t.Parallel()
	a, b := &externalService{answer: respondWith(verdictOK)}, &externalService{answer: respondWith(verdictOK)}
	first, then := a.listen(t), b.listen(t)
	file := rateLimitFile(t, first)
	dir := filepath.Dir(file)
	s := start(t, fixture{rateLimitFile: file}).rateLimitClient()
	asks := func(n int) {
		for firm := range n {
			_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor(fmt.Sprintf("%x", 1+firm))))
			require.NoError(t, err)
		}
	}
	ours := assignment("limits", locality(t, "hall-a", 0, 0, first))
	for name, other := range map[string]object{
		"drains in the other":    assignment("audit", locality(t, "hall-a", 0, 1, first)),
		"missing from the other": assignment("audit", locality(t, "hall-a", 0, 0, then)),
		"other cluster empty":    assignment("audit"),
	} {
		before := a.calls()
		writeAssignments(t, dir, other, ours)
		time.Sleep(endpointDrainWait)
		asks(5)
		require.Equal(t, before+5, a.calls(), name)
	}
	writeAssignments(t, dir, assignment("audit", locality(t, "hall-a", 0, 0, first)), assignment("limits", locality(t, "hall-a", 0, 1, first, then)))
	time.Sleep(endpointDrainWait)
	before := a.calls()
	asks(5)
	require.Equal(t, before, a.calls(), "an endpoint that drains in our cluster got calls because it is ready in the other")
	require.Equal(t, 5, b.calls())
}
