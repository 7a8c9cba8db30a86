package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// crowd is more limiters than their counter bears.
func overloadedCounter() Scenario {
	s := smallScenario(12)
	s.Limiters, s.Firms.Count, s.Nodes = 12, 150, 40
	s.Firms.Spread = Range{12, 12}
	s.Counter.PerSecond = 60
	return s
}

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

// Where requests are few at each limiter its own budget binds, and without it more calls are made. What earns them is in
// no figure: each request ends once, and the plans add up.
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
			require.Less(t, tier.Inside, tier.Tries, "heavy firms ask for more")
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

// While regions are cut nothing of one reaches a node of the other, and each has a copy of the counter.
func TestPartitionedRegionsExchangeNothing(t *testing.T) {
	s := smallScenario(15)
	s.Limiters, s.Nodes, s.Firms.Spread = 2, 1, Range{2, 2}
	whole := New(s, 1, Own(), false).Run()
	s.Faults = []Fault{{Kind: FaultRegions, At: 0, For: 15}}
	w := New(s, 1, Own(), false)
	cut := w.Run()
	require.Positive(t, whole.Halls[1].Units)
	require.Positive(t, cut.Halls[0].Units)
	require.Zero(t, cut.Halls[1].Units, "the node is in the other region")
	require.False(t, w.regionsCut, "healed")

	w = New(s, 1, Own(), false)
	w.sim.Run(epoch + seconds(5))
	require.Equal(t, 3.0, w.counters[0].add(0, 77, 3, seconds(9)))
	require.Equal(t, 4.0, w.counters[0].add(1, 77, 4, seconds(9)), "a copy of its own")
}

// A change is in force at each limiter when discovery has told it, and not before.
func TestChangeDelayIsMeasuredUntilApplied(t *testing.T) {
	s := smallScenario(20)
	s.Discovery.Late = Range{1, 2}
	s.Faults = []Fault{{Kind: FaultDrain, At: 5, Part: 0.01}}
	r := New(s, 1, Own(), false).Run()
	require.Equal(t, 3*s.Limiters, r.Changes.Told, "it drains, is gone, and another comes")
	require.Greater(t, r.Changes.P99, 1.0)
	require.LessOrEqual(t, r.Changes.Last, 2.01)
}

// Each request of a new firm draws its units. The module's own budget bears a part of that, and without one every draw is made.
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
