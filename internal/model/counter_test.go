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
	s.Counter.CallsPerSecond = 60
	return s
}

// An overloaded counter leaves calls unanswered and loses some. An unlimited one in the same scenario answers all in time.
func TestAnUnlimitedCounterLeavesNoCallUnanswered(t *testing.T) {
	s := overloadedCounter()
	r := New(s, 3, ProjectPolicy(), false).Run()
	require.Greater(t, r.CounterCalls.UnansweredShare(), 0.1)
	require.Positive(t, r.CounterCalls.LostShare())
	s.Counter.Unlimited = true
	r = New(s, 3, ProjectPolicy(), false).Run()
	require.Greater(t, r.CounterCalls.Made, 500)
	require.Zero(t, r.CounterCalls.UnansweredShare())
	require.Zero(t, r.CounterCalls.LostShare())
}

// With few requests at each limiter, the module's budget limits the counter calls, so the unbudgeted policy makes more. The
// requests that the policy adds to earn budget must be counted in no figure: each request ends once, and the figures of the
// tiers and of the halls add up to those of the run.
func TestUnbudgetedPolicyMakesMoreCalls(t *testing.T) {
	s := overloadedCounter()
	s.Limiters, s.Firms.Spread, s.Counter.Unlimited = 60, Range{60, 60}, true
	own, free := New(s, 3, ProjectPolicy(), false).Run(), New(s, 3, UnbudgetedPolicy(), false).Run()
	require.Greater(t, float64(free.CounterCalls.Made), 1.1*float64(own.CounterCalls.Made))
	require.Zero(t, free.CounterCalls.UnansweredShare())
	require.Empty(t, free.Violations)
	require.InEpsilon(t, own.Requests, free.Requests, 0.05)
	for _, r := range []Result{own, free} {
		var sum TierResult
		units, beyond := 0.0, 0.0
		for _, tier := range r.Tiers {
			sum.Tries, sum.Refused, sum.RefusedWithRoom = sum.Tries+tier.Tries, sum.Refused+tier.Refused, sum.RefusedWithRoom+tier.RefusedWithRoom
			sum.UnitsSent, sum.UnitsOverQuota = sum.UnitsSent+tier.UnitsSent, sum.UnitsOverQuota+tier.UnitsOverQuota
			require.Positive(t, tier.TriesInQuota)
			require.Less(t, tier.TriesInQuota, tier.Tries, "firms with a demand over their quota ask for more than it")
			require.LessOrEqual(t, tier.RefusedInQuota, min(tier.TriesInQuota, tier.Refused))
		}
		for _, hall := range r.Halls {
			units, beyond = units+hall.UnitsSent, beyond+hall.UnitsOverQuota
		}
		require.Equal(t, TierResult{Tries: r.Tries, Refused: r.Refused, RefusedWithRoom: r.RefusedWithRoom, UnitsSent: r.UnitsSent,
			UnitsOverQuota: r.UnitsOverQuota}, sum)
		require.Equal(t, []float64{r.UnitsSent, r.UnitsOverQuota}, []float64{units, beyond})
	}
}

// While regions are cut off from each other, nothing from one reaches a node of the other, and each has its own replica of the
// counter.
func TestPartitionedRegionsExchangeNothing(t *testing.T) {
	s := smallScenario(15)
	s.Limiters, s.Nodes, s.Firms.Spread = 2, 1, Range{2, 2}
	connected := New(s, 1, ProjectPolicy(), false).Run()
	s.Faults = []Fault{{Kind: FaultRegions, At: 0, For: 15}}
	w := New(s, 1, ProjectPolicy(), false)
	cut := w.Run()
	require.Positive(t, connected.Halls[1].UnitsSent)
	require.Positive(t, cut.Halls[0].UnitsSent)
	require.Zero(t, cut.Halls[1].UnitsSent, "the only node is in the other region")
	require.False(t, w.regionsCut, "the regions must be connected again after the fault")

	w = New(s, 1, ProjectPolicy(), false)
	w.sim.Run(epoch + seconds(5))
	require.Equal(t, 3.0, w.counters[0].add(0, 77, 3, seconds(9)))
	require.Equal(t, 4.0, w.counters[0].add(1, 77, 4, seconds(9)), "the other region must have its own replica")
}

// A change of nodes takes effect at a limiter when discovery has told it, and not before. The change delay is measured until
// then.
func TestChangeDelayIsMeasuredUntilApplied(t *testing.T) {
	s := smallScenario(20)
	s.Discovery.DelaySeconds = Range{1, 2}
	s.Faults = []Fault{{Kind: FaultDrain, At: 5, Part: 0.01}}
	r := New(s, 1, ProjectPolicy(), false).Run()
	require.Equal(t, 3*s.Limiters, r.Changes.Deliveries, "each limiter is told that the node drains, that it is gone, and of its successor")
	require.Greater(t, r.Changes.P99Seconds, 1.0)
	require.LessOrEqual(t, r.Changes.MaxSeconds, 2.01)
}

// Each request of a new firm asks the counter for its units. The module's budget allows only a part of these calls; without
// the budget all are made.
func TestAnUnbudgetedLimiterCallsForEveryRequest(t *testing.T) {
	s := BaseScenario()
	s.Limiters = 60
	w := New(s, 1, ProjectPolicy(), false)
	calls := func(p Policy) (n int) {
		d, now := p.New(w.settings(0), 1), epoch
		d.Reduce(now, core.UpstreamGroup{ServerList: logic.ServerList{Complete: true, Servers: w.serverEntries()}}, nil)
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
	require.Less(t, calls(ProjectPolicy()), 120)
	require.Equal(t, 200, calls(UnbudgetedPolicy()))
}
