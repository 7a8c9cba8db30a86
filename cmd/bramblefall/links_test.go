package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/standin"
)

const (
	linkedLimiterCount = 6 // too many to keep a ceiling by what each limiter sees itself, without the counter
	impairmentDuration = 8 * time.Second
	ceilingRate        = 20.0
	ceilingBurst       = 20.0
	requestInterval    = 25 * time.Millisecond // at each limiter: about ten times the ceiling in all
)

// Every limiter has network links of its own to the counter and to discovery, which are cut in one or both directions, stalled,
// slowed and reset as drawn from a seed, while one limiter is stopped for a while and another is killed and restarted. All
// limiters together keep a firm's ceiling, each request gets exactly one answer, and once the links work again every limiter
// calls the counter again.
func TestFleetWithFailingLinksKeepsCeiling(t *testing.T) {
	t.Parallel()
	const seed = 1
	ceiling := &standin.Ceiling{Rate: ceilingRate, Burst: ceilingBurst}
	var links []*standin.Link
	link := func(target string) string {
		l, err := standin.NewLink(target, seed+uint64(len(links)))
		require.NoError(t, err)
		t.Cleanup(l.Close)
		links = append(links, l)
		return l.Addr
	}
	customize := func(f *fleet, k int, config object) {
		if k == 0 {
			_, err := f.peers.AddCounter()
			require.NoError(t, err)
		}
		set := config["settings"].(object)
		ceilingPlan := plan("full", 15, 15, 0)
		ceilingPlan["hardRate"], ceilingPlan["hardBurst"], ceilingPlan["hardSlack"] = ceilingRate, ceilingBurst, ceilingBurst/10
		set["tariffs"] = []object{plan("regular", 1000, 4000, 0), ceilingPlan}
		config["counter"], config["discovery"] = link(f.peers.Counter.Addr), link(config["discovery"].(string))
	}
	f := startFleet(t, 6, customize, make([]func(int) standin.AnswerFault, linkedLimiterCount)...)
	for _, n := range f.peers.Nodes {
		n.Handle = func(_ *standin.Node, args [][]byte) ([]byte, bool, time.Duration) {
			if strings.Contains(string(args[3]), "t=full") {
				ceiling.Take(1)
			}
			return standin.ValueReply(string(args[2])), true, time.Millisecond
		}
	}
	fields := fmt.Sprintf("c=balance-read,t=full,d=1000,units=1,spread=%d,first=0", linkedLimiterCount)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var served [linkedLimiterCount]atomic.Int64
	errs := make([]error, linkedLimiterCount)
	for k, l := range f.limiters {
		senders.Go(func() { errs[k] = f.sendRequests(l, stop, requestInterval, fields, &served[k]) })
	}
	var impairments sync.WaitGroup
	for k, l := range links {
		impairments.Go(func() { l.RunPhases(standin.DrawPhases(100*seed+uint64(k), impairmentDuration)) })
	}
	const (
		stoppedLimiter = 1
		killedLimiter  = 2
	)
	time.Sleep(impairmentDuration / 4)
	require.NoError(t, f.limiters[stoppedLimiter].Signal(syscall.SIGSTOP))
	time.Sleep(impairmentDuration / 5)
	require.NoError(t, f.limiters[stoppedLimiter].Signal(syscall.SIGCONT))
	f.limiters[killedLimiter].Kill()
	f.limiters[killedLimiter] = f.start(t, killedLimiter)
	senders.Go(func() {
		errs[killedLimiter] = f.sendRequests(f.limiters[killedLimiter], stop, requestInterval, fields, &served[killedLimiter])
	})
	impairments.Wait()

	var before [linkedLimiterCount]int64
	for k := range f.limiters {
		before[k] = links[2*k].ChunksBack()
	}
	for k, l := range f.limiters {
		require.Eventually(t, func() bool { return links[2*k].ChunksBack() > before[k]+2 }, testTimeout, 10*time.Millisecond, "the counter does not answer limiter %d again", k)
		require.Empty(t, l.CrashLog())
	}
	close(stop)
	senders.Wait()
	for k, err := range errs {
		if k != killedLimiter {
			require.NoError(t, err, "limiter %d", k)
		}
		require.Positive(t, served[k].Load(), "limiter %d", k)
	}
	lowest, sends := ceiling.LowestLevel()
	t.Logf("%d sends, units left under the ceiling at least %.1f", sends, lowest)
	require.Greater(t, sends, int(impairmentDuration.Seconds()*ceilingRate/10), "too few sends to prove anything")
	require.GreaterOrEqual(t, lowest, -ceilingBurst/10)
}
