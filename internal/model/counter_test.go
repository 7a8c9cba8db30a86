package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// overloadedCounter is a scenario with more limiters than their counter can serve.
func overloadedCounter() Scenario {
	s := smallScenario(12)
	s.Limiters, s.Firms.Count, s.Nodes = 12, 150, 40
	s.Firms.Spread = Range{12, 12}
	s.Counter.PerSecond = 60
	return s
}

// An overloaded counter leaves calls unanswered and loses some. An unlimited one in the same scenario answers all in time.
func TestAnUnlimitedCounterLeavesNoCallUnanswered(t *testing.T) {
	s := overloadedCounter()
	r := New(s, 3, Own(), false).Run()
	require.Greater(t, r.Called.Unanswered(), 0.1)
	require.Positive(t, r.Called.Lost())
	s.Counter.Unlimited = true
	r = New(s, 3, Own(), false).Run()
	require.Greater(t, r.Called.Made, 500)
	require.Zero(t, r.Called.Unanswered())
	require.Zero(t, r.Called.Lost())
}

// With few requests at each limiter, the module's budget limits the counter calls, so the unbudgeted policy makes more. The
// requests that the policy adds to earn budget must be counted in no figure: each request ends once, and the figures of the
// tiers and of the halls add up to those of the run.
func TestUnbudgetedPolicyMakesMoreCalls(t *testing.T) {
	s := overloadedCounter()
	s.Limiters, s.Firms.Spread, s.Counter.Unlimited = 60, Range{60, 60}, true
	own, free := New(s, 3, Own(), false).Run(), New(s, 3, Unbudgeted(), false).Run()
	require.Greater(t, float64(free.Called.Made), 1.1*float64(own.Called.Made))
	require.Zero(t, free.Called.Unanswered())
	require.Empty(t, free.Violations)
	require.InEpsilon(t, own.Requests, free.Requests, 0.05)
	for _, r := range []Result{own, free} {
		var sum TierResult
		units, beyond := 0.0, 0.0
		for _, tier := range r.Tiers {
			sum.Tries, sum.Refused, sum.RoomRefused = sum.Tries+tier.Tries, sum.Refused+tier.Refused, sum.RoomRefused+tier.RoomRefused
			sum.Units, sum.Beyond = sum.Units+tier.Units, sum.Beyond+tier.Beyond
			require.Positive(t, tier.Inside)
			require.Less(t, tier.Inside, tier.Tries, "firms with a demand over their quota ask for more than it")
			require.LessOrEqual(t, tier.InsideRefused, min(tier.Inside, tier.Refused))
		}
		for _, hall := range r.Halls {
			units, beyond = units+hall.Units, beyond+hall.UnitsOverQuota
		}
		require.Equal(t, TierResult{Tries: r.Tries, Refused: r.Refused, RoomRefused: r.RoomRefused, Units: r.SentUnits,
			Beyond: r.BeyondUnits}, sum)
		require.Equal(t, []float64{r.SentUnits, r.BeyondUnits}, []float64{units, beyond})
	}
}

// While regions are cut off from each other, nothing from one reaches a node of the other, and each has its own replica of the
// counter.
func TestPartitionedRegionsExchangeNothing(t *testing.T) {
	s := smallScenario(15)
	s.Limiters, s.Nodes, s.Firms.Spread = 2, 1, Range{2, 2}
	connected := New(s, 1, Own(), false).Run()
	s.Faults = []Fault{{Kind: FaultRegions, At: 0, For: 15}}
	w := New(s, 1, Own(), false)
	cut := w.Run()
	require.Positive(t, connected.Halls[1].Units)
	require.Positive(t, cut.Halls[0].Units)
	require.Zero(t, cut.Halls[1].Units, "the only node is in the other region")
	require.False(t, w.regionsCut, "the regions must be connected again after the fault")

	w = New(s, 1, Own(), false)
	w.sim.Run(epoch + seconds(5))
	require.Equal(t, 3.0, w.counters[0].add(0, 77, 3, seconds(9)))
	require.Equal(t, 4.0, w.counters[0].add(1, 77, 4, seconds(9)), "the other region must have its own replica")
}

// A change of nodes takes effect at a limiter when discovery has told it, and not before. The change delay is measured until
// then.
func TestChangeDelayIsMeasuredUntilApplied(t *testing.T) {
	s := smallScenario(20)
	s.Discovery.Late = Range{1, 2}
	s.Faults = []Fault{{Kind: FaultDrain, At: 5, Part: 0.01}}
	r := New(s, 1, Own(), false).Run()
	require.Equal(t, 3*s.Limiters, r.Changes.Told, "each limiter is told that the node drains, that it is gone, and of its successor")
	require.Greater(t, r.Changes.P99, 1.0)
	require.LessOrEqual(t, r.Changes.Last, 2.01)
}

// Each request of a new firm asks the counter for its units. The module's budget allows only a part of these calls; without
// the budget all are made.
func TestAnUnbudgetedLimiterCallsForEveryRequest(t *testing.T) {
	s := Base()
	s.Limiters = 60
	w := New(s, 1, Own(), false)
	calls := func(p Policy) (n int) {
		d, now := p.New(w.settings(0), 1), epoch
		d.Reduce(now, core.UpstreamGroup{ServerList: logic.ServerList{Whole: true, Servers: w.serverEntries()}}, nil)
		for k := range 200 {
			now += time.Millisecond
			for _, e := range d.Reduce(now, core.RequestContext{Request: logic.Request{ID: uint64(k + 1), Customer: uint64(k + 1), Plan: 2,
				TTL: 2 * time.Second, Units: 1, Spread: 60}, Origin: discardOrigin{}}, nil) {
				if _, ok := e.(core.Count); ok {
					n++
				}
			}
		}
		return n
	}
	require.Less(t, calls(Own()), 120)
	require.Equal(t, 200, calls(Unbudgeted()))
}
