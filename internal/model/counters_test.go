package model

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// floodedFleet is a fleet whose firms ask for more than their quotas, with counters that can serve all calls.
func floodedFleet(limiters, counters, spare int) Scenario {
	s := ScaledScenario(limiters, limiters, 20*limiters, 0)
	s.Seconds, s.WarmupSeconds = 24, 2
	s.Counter.Shards, s.Counter.Count, s.Counter.SpareCount = 4, counters, spare
	s.Firms.OverQuotaShare, s.Firms.OverQuotaFactor = 0.5, Range{2, 5}
	return s
}

func runScenario(s Scenario, seed uint64) (*World, Result) {
	w := New(s, seed, ProjectPolicy(), false)
	return w, w.Run()
}

// A list of one counter is equivalent to the platform's single counter: every figure of the run is the same.
func TestCounterListOfOneEqualsSingleCounter(t *testing.T) {
	for _, limiters := range []int{3, 30} {
		s := floodedFleet(limiters, 0, 0)
		s.Seconds = 12
		s.Faults = []Fault{{Kind: FaultSilent, At: 4, For: 2}, {Kind: FaultFlush, At: 8, Part: 0.7}}
		_, one := runScenario(s, 5)
		s.Counter.Count = 1
		_, listed := runScenario(s, 5)
		listed.Events = one.Events // starting with a list sets further timers
		require.Equal(t, one, listed)
	}
}

// A counter that crashes loses its names, but no rule is broken, and the other counters serve as many calls as before. Guards
// against a single health state that is shared by all counters.
func TestCounterCrashLeavesOtherCountersUnaffected(t *testing.T) {
	s := floodedFleet(30, 4, 0)
	w, baseline := runScenario(s, 3)
	s.Faults = []Fault{{Kind: FaultLost, At: 6, For: 12, Hall: 1}}
	v, withCrash := runScenario(s, 3)
	require.Empty(t, withCrash.Violations)
	require.Greater(t, withCrash.WorthShare(), baseline.WorthShare()-0.05)
	for _, k := range []int{0, 2, 3} {
		require.InEpsilon(t, w.counters[k].served, v.counters[k].served, 0.15, "counter %d", k)
	}
	require.Less(t, v.counters[1].served, w.counters[1].served*8/10)
}

// Half of the limiters learn of a change of the counter list ten seconds later than the others. Quotas must not be granted
// twice meanwhile: the share of units beyond quotas stays close to that of a run without the change.
func TestCounterListChangeGrantsNoQuotaTwice(t *testing.T) {
	for _, limiters := range []int{3, 30} {
		s := floodedFleet(limiters, 1, 3)
		_, baseline := runScenario(s, 4)
		s.Faults = []Fault{{Kind: FaultList, At: 6, For: 10, Part: 0.5, Size: 4}}
		_, changed := runScenario(s, 4)
		t.Logf("%d limiters: share beyond quotas %.4f without the change, %.4f with it; worth %.3f, %.3f", limiters, baseline.OverQuotaShare(), changed.OverQuotaShare(), baseline.WorthShare(), changed.WorthShare())
		require.Empty(t, changed.Violations)
		require.Less(t, changed.OverQuotaShare(), baseline.OverQuotaShare()+0.01)
		require.Greater(t, changed.WorthShare(), baseline.WorthShare()-0.05)
	}
}

// Three hundred limiters that learn of a new counter at the same moment must not all call it at once.
func TestNewCounterIsNotOverloaded(t *testing.T) {
	s := floodedFleet(300, 2, 1)
	s.Seconds, s.Nodes = 9, 100
	s.Faults = []Fault{{Kind: FaultList, At: 6, Part: 1, Size: 3}}
	w := New(s, 6, ProjectPolicy(), false)
	w.RunUntil(6)
	callsBefore := w.counters[0].Calls + w.counters[1].Calls
	w.RunUntil(6.5)
	firstCalls := w.counters[2].Calls
	w.Run()
	laterRate := float64(w.counters[2].Calls-firstCalls) / 2.5
	t.Logf("%d calls at the old counters in the 6 s before, %d at the new one in its first half second, then %.0f a second", callsBefore, firstCalls, laterRate)
	require.Less(t, float64(firstCalls), laterRate/2, "calls in the first half second must be fewer than half a second brings at the later rate")
}

// A list that changes every second does not multiply the counter calls. The price is that counts are dropped of names that
// too many lists have held.
func TestCounterListChangingEverySecond(t *testing.T) {
	s := floodedFleet(30, 2, 30)
	_, baseline := runScenario(s, 8)
	for k := range 20 {
		s.Faults = append(s.Faults, Fault{Kind: FaultList, At: 4 + float64(k), For: 0.5, Part: 0.5, Size: 2, Hall: k + 1})
	}
	_, changed := runScenario(s, 8)
	t.Logf("calls %d without changes, %d with them; share beyond quotas %.4f, %.4f; worth %.3f, %.3f", baseline.Calls, changed.Calls, baseline.OverQuotaShare(), changed.OverQuotaShare(), baseline.WorthShare(), changed.WorthShare())
	require.Empty(t, changed.Violations)
	require.Less(t, changed.Calls, 3*baseline.Calls)
}

// While the list changes, a counter is wiped, slow by tens of milliseconds, or crashed and its names served elsewhere; or a
// part of the limiters crashes. No rule may be broken, and the costs must stay bounded.
func TestCounterFaultsDuringListChange(t *testing.T) {
	s := floodedFleet(30, 3, 1)
	_, baseline := runScenario(s, 9)
	listChange := Fault{Kind: FaultList, At: 8, For: 8, Part: 0.5, Size: 3, Hall: 1}
	for name, fault := range map[string]Fault{
		"wiped":            {Kind: FaultFlush, At: 10, Part: 1},
		"slow":             {Kind: FaultSlow, At: 6, For: 12, Size: 29},
		"crashed for good": {Kind: FaultLost, At: 6, For: 30, Hall: 0},
		"new one crashes":  {Kind: FaultLost, At: 10, For: 6, Hall: 3},
		"limiters crash":   {Kind: FaultLimiters, At: 10, For: 1, Part: 0.2},
	} {
		s.Faults = []Fault{listChange, fault}
		_, r := runScenario(s, 9)
		t.Logf("%s: share beyond quotas %.4f without faults, %.4f with them; worth %.3f, %.3f", name, baseline.OverQuotaShare(), r.OverQuotaShare(), baseline.WorthShare(), r.WorthShare())
		require.Empty(t, r.Violations, name)
		require.Less(t, r.OverQuotaShare(), baseline.OverQuotaShare()+0.03, name)
		require.Greater(t, r.WorthShare(), baseline.WorthShare()-0.12, name)
	}
}
