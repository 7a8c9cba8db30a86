package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramblefall/internal/loopback"
)

const (
	reuseRequests  = 200
	reuseListWait  = 200 * time.Millisecond // for a list to be in force
	reuseColdShare = 4                      // of the requests, one in so many may go to a server that has just started
)

// startedEntry is the entry of a server that started some time ago.
func startedEntry(id, addr string, ago time.Duration) object {
	return object{"id": id, "addr": addr, "zone": "hall-a", "kind": "std-3core", "cell": 0, "state": "ready", "weight": 1.0,
		"started_ms": time.Now().Add(-ago).UnixMilli()}
}

// A process came up at the address of a server that had gone, under a name of its own. Until a list dropped the old one it got the
// load of a warm server for it.
func TestNewProcessAtAddressOfAnotherIsNotTakenForIt(t *testing.T) {
	t.Parallel()
	reused, other := newServer(t, "s-1", "hall-a", replyValue("v")), newServer(t, "s-3", "hall-a", replyValue("v"))
	r := newRegistry(t)
	r.sendLine(2, marshalList(t, object{"version": 2, "full": true, "servers": []object{
		startedEntry("s-1", reused.addr, time.Hour), startedEntry("s-3", other.addr, time.Hour)}}))
	l := start(t, fixture{registry: r})
	c := l.dial()
	ask := func(n int) {
		for k := range n {
			args := askArgs(fmt.Sprintf("%d-%d", n, k))
			args[1] = fmt.Sprintf("%016x", k)
			c.do(args...)
		}
	}
	ask(reuseRequests / 2)
	require.Greater(t, len(reused.received()), reuseRequests/2/reuseColdShare)
	r.sendLine(3, marshalList(t, object{"version": 3, "full": false, "servers": []object{startedEntry("s-2", reused.addr, 0)}}))
	time.Sleep(reuseListWait)
	before := len(reused.received())
	ask(reuseRequests)
	got := len(reused.received()) - before
	t.Logf("%d of %d requests went to the process that has just started", got, reuseRequests)
	assert.Less(t, got, reuseRequests/reuseColdShare)
}

// A server's machine vanished without a word and came back as a new process. What was kept connected to the old one gets nothing new
// once the start has been told.
func TestNoTryOnConnectionsOfProcessBefore(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	commands := map[net.Conn]int{}
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		mu.Lock()
		commands[conn]++
		mu.Unlock()
		replyValue("v")(conn, args)
	})
	r := newRegistry(t)
	r.sendLine(2, marshalList(t, object{"version": 2, "full": true, "servers": []object{startedEntry("s-1", s.addr, 2*time.Hour)}}))
	c := start(t, fixture{registry: r}).dial()
	require.Equal(t, "v", c.do(askArgs("01")...))
	r.sendLine(3, marshalList(t, object{"version": 3, "full": false, "servers": []object{startedEntry("s-1", s.addr, time.Hour)}}))
	time.Sleep(reuseListWait)
	require.Equal(t, "v", c.do(askArgs("02")...))
	mu.Lock()
	defer mu.Unlock()
	for _, n := range commands {
		assert.Equal(t, 1, n, "a connection to the process before got a request")
	}
}

// Endpoints are known by their addresses alone. One that failed and was removed leaves nothing behind for another process at its
// address, whose verdicts are its own: it gets calls at once, although the old one was left out, and also where a call to the old one
// is still out.
func TestNewEndpointAtAddressOfRemovedOneIsNotTakenForIt(t *testing.T) {
	t.Parallel()
	for name, callIsOut := range map[string]bool{"idle": false, "a call is out": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release, asked := make(chan struct{}), make(chan struct{}, 1)
			old := &externalService{answer: func(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
				if !callIsOut {
					return nil, status.Error(codes.Unavailable, "it fails")
				}
				asked <- struct{}{}
				<-release
				return nil, status.Error(codes.Unavailable, "it fails")
			}}
			server := grpc.NewServer()
			rlsv3.RegisterRateLimitServiceServer(server, old)
			listener, err := loopback.Listen()
			require.NoError(t, err)
			addr := listener.Addr().String()
			go func() { _ = server.Serve(listener) }()
			file := rateLimitFile(t, addr)
			c := start(t, fixture{rateLimitFile: file}).rateLimitClient()
			if callIsOut {
				go func() { _, _ = c.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a0"))) }()
				await(t, asked, "a call to the old endpoint")
			} else {
				_, _ = c.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a0"))) // fails, or is over limit
				require.Positive(t, old.calls())
			}
			writeAssignments(t, filepath.Dir(file), assignment("limits", locality(t, "hall-a", 0, 0)))
			time.Sleep(endpointDrainWait)
			close(release)
			server.Stop()
			next := &externalService{answer: respondWith(rlsv3.RateLimitResponse_OVER_LIMIT)}
			server = grpc.NewServer()
			rlsv3.RegisterRateLimitServiceServer(server, next)
			t.Cleanup(server.Stop)
			listener, err = net.Listen("tcp", addr)
			require.NoError(t, err)
			go func() { _ = server.Serve(listener) }()
			writeAssignments(t, filepath.Dir(file), assignment("limits", locality(t, "hall-a", 0, 0, addr)))
			time.Sleep(endpointDrainWait)
			answer, err := c.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("b0")))
			require.NoError(t, err)
			assert.Equal(t, rlsv3.RateLimitResponse_OVER_LIMIT, answer.GetOverallCode())
			calls := 0
			next.mu.Lock()
			defer next.mu.Unlock()
			for _, r := range next.received { // the call that was out may be made again, too
				if r.GetDescriptors()[0].GetEntries()[0].GetValue() == "b0" {
					calls++
				}
			}
			assert.Equal(t, 1, calls)
		})
	}
}
