package main

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	costClients  = 40
	costInterval = 40 * time.Millisecond
)

// BenchmarkRequestCost measures the processor time of the real program for each request, at 1,000 requests a second over 40
// connections, one after the other on each. BRAMBLEFALL_BINARY names another build to measure.
func BenchmarkRequestCost(b *testing.B) {
	measureCost(b, false, func(t *testing.T, l *limiter, k, each int) {
		c := l.dial()
		_ = c.conn.SetDeadline(time.Time{})
		tick := time.NewTicker(costInterval)
		defer tick.Stop()
		for n := range each {
			<-tick.C
			args := askArgs(fmt.Sprintf("%x-%x", k, n))
			args[1] = fmt.Sprintf("%016x", k*20+n%20)
			c.do(args...)
		}
	})
}

// BenchmarkCallCost measures the same for each call of the gRPC front, whose verdict is the module's.
func BenchmarkCallCost(b *testing.B) {
	measureCost(b, true, func(t *testing.T, l *limiter, k, each int) {
		c := l.rateLimitClient()
		tick := time.NewTicker(costInterval)
		defer tick.Stop()
		for n := range each {
			<-tick.C
			_, err := c.ShouldRateLimit(t.Context(), rateLimitRequest(firmDescriptor(fmt.Sprintf("%x", k*20+n%20))))
			require.NoError(t, err)
		}
	})
}

// measureCost starts a limiter, with the gRPC front if calls says so, lets each client make its part of b.N requests, and reports the
// processor time of one.
func measureCost(b *testing.B, calls bool, runClient func(t *testing.T, l *limiter, client, requests int)) {
	if path := os.Getenv("BRAMBLEFALL_BINARY"); path != "" {
		defer func(own string) { binary = own }(binary)
		binary = path
	}
	// The limiter's helpers take a test.
	cost, requests := time.Duration(0), 0
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "RequestCost", F: func(t *testing.T) {
		set := settings()
		set["tariffs"] = []object{plan("regular", 1e5, 1e5, 0)}
		f := fixture{settings: set, maxDescriptors: 384, servers: goodServers(t, 4, replyValue("v")), counter: newCounter(t)}
		if calls {
			f.rateLimitFile = rateLimitFile(t)
		}
		l := start(t, f)
		each := max(b.N/costClients, 1)
		requests = each * costClients
		before := l.processorTime()
		var clients sync.WaitGroup
		for k := range costClients {
			clients.Go(func() {
				runClient(t, l, k, each)
			})
		}
		clients.Wait()
		cost = l.processorTime() - before
	}}})
	require.True(b, ok)
	b.ReportMetric(float64(cost.Microseconds())/float64(requests), "cpu-us/request")
	b.ReportMetric(0, "ns/op")
}
