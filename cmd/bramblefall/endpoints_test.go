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
	for name, assignmentAfter := range map[string]func(t *testing.T, leaving, remaining string) object{
		"it drains": func(t *testing.T, leaving, remaining string) object {
			return assignment("limits", locality(t, "hall-a", 0, 1, leaving, remaining))
		},
		"it is no longer named": func(t *testing.T, _, remaining string) object {
			return assignment("limits", locality(t, "hall-a", 0, 0, remaining))
		},
		"its zone is removed": func(t *testing.T, _, remaining string) object {
			return assignment("limits", locality(t, "hall-b", 0, 0, remaining))
		},
		"another priority takes over": func(t *testing.T, leaving, remaining string) object {
			return assignment("limits", locality(t, "hall-a", 0, 1, leaving), locality(t, "hall-a", 1, 0, remaining))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			leaving := &externalService{answer: func(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
				<-release
				return respondWith(verdictOK)(nil, nil)
			}}
			remaining := &externalService{answer: respondWith(rlsv3.RateLimitResponse_OVER_LIMIT)}
			addr := leaving.listen(t)
			file := rateLimitFile(t, addr)
			l := start(t, fixture{rateLimitFile: file})
			s := l.rateLimitClient()
			verdicts := make(chan rlsv3.RateLimitResponse_Code, 1)
			go func() {
				answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
				assert.NoError(t, err)
				verdicts <- answer.GetOverallCode()
			}()
			require.Eventually(t, func() bool { return leaving.calls() == 1 }, testTimeout, time.Millisecond)
			writeAssignments(t, filepath.Dir(file), assignmentAfter(t, addr, remaining.listen(t)))
			time.Sleep(endpointDrainWait) // the files are in effect by then
			for firm := range 5 {
				_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor(fmt.Sprintf("b%d", firm))))
				require.NoError(t, err)
			}
			close(release)
			assert.Equal(t, verdictOK, <-verdicts, "the verdict must come from the endpoint that had the call")
			assert.Equal(t, 1, leaving.calls())
			assert.Equal(t, 5, remaining.calls())
		})
	}
}

// Two clusters name the same endpoint. It is used as our cluster says; its state in the other cluster changes nothing.
func TestEndpointInTwoClustersFollowsOurCluster(t *testing.T) {
	t.Parallel()
	a, b := &externalService{answer: respondWith(verdictOK)}, &externalService{answer: respondWith(verdictOK)}
	first, other := a.listen(t), b.listen(t)
	file := rateLimitFile(t, first)
	dir := filepath.Dir(file)
	s := start(t, fixture{rateLimitFile: file}).rateLimitClient()
	sendCalls := func(n int) {
		for firm := range n {
			_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor(fmt.Sprintf("%x", 1+firm))))
			require.NoError(t, err)
		}
	}
	ours := assignment("limits", locality(t, "hall-a", 0, 0, first))
	for name, otherCluster := range map[string]object{
		"drains in the other":    assignment("audit", locality(t, "hall-a", 0, 1, first)),
		"missing from the other": assignment("audit", locality(t, "hall-a", 0, 0, other)),
		"other cluster empty":    assignment("audit"),
	} {
		before := a.calls()
		writeAssignments(t, dir, otherCluster, ours)
		time.Sleep(endpointDrainWait)
		sendCalls(5)
		require.Equal(t, before+5, a.calls(), name)
	}
	writeAssignments(t, dir, assignment("audit", locality(t, "hall-a", 0, 0, first)), assignment("limits", locality(t, "hall-a", 0, 1, first, other)))
	time.Sleep(endpointDrainWait)
	before := a.calls()
	sendCalls(5)
	require.Equal(t, before, a.calls(), "an endpoint that drains in our cluster got calls because it is ready in the other")
	require.Equal(t, 5, b.calls())
}
