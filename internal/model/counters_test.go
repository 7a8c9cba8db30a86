package model

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// spreadOver is a fleet of so many limiters whose firms flood, with counters that bear all of it.
func floodedFleet(limiters, counters, spare int) Scenario {
	s := Scale(limiters, limiters, 20*limiters, 0)
	s.Seconds, s.Warm = 24, 2
	s.Counter.Parts, s.Counter.Count, s.Counter.SpareCount = 4, counters, spare
	s.Firms.OverQuotaShare, s.Firms.OverQuotaFactor = 0.5, Range{2, 5}
	return s
}

func runScenario(s Scenario, seed uint64) (*World, Result) {
	w := New(s, seed, Own(), false)
	return w, w.Run()
}

// A list of one counter is the platform's one: the same day, to the last figure.
func TestCounterListOfOneEqualsSingleCounter(t *testing.T) {
	for _, limiters := range []int{3, 30} {
		s := floodedFleet(limiters, 0, 0)
		s.Seconds = 12
		s.Faults = []Fault{{Kind: FaultSilent, At: 4, For: 2}, {Kind: FaultFlush, At: 8, Part: 0.7}}
		_, one := runScenario(s, 5)
		s.Counter.Count = 1
		_, listed := runScenario(s, 5)
		listed.Events = one.Events // the start's own timers
		require.Equal(t, one, listed)
	}
}

// A counter that dies costs its names: nothing is broken, and its neighbours bear what they bore. Guards against one state of
// "the counter" for all.
func TestCounterCrashLeavesOtherCountersUnaffected(t *testing.T) {
	s := floodedFleet(30, 4, 0)
	w, calm := runScenario(s, 3)
	s.Faults = []Fault{{Kind: FaultLost, At: 6, For: 12, Hall: 1}}
	v, lost := runScenario(s, 3)
	require.Empty(t, lost.Violations)
	require.Greater(t, lost.Worth(), calm.Worth()-0.05)
	for _, k := range []int{0, 2, 3} {
		require.InEpsilon(t, w.counters[k].answered, v.counters[k].answered, 0.15, "counter %d", k)
	}
	require.Less(t, v.counters[1].answered, w.counters[1].answered*8/10)
}

// Where the list changes and half of the limiters hear of it ten seconds later, quotas are not given twice: what is sent on
// beyond them is as on a day without a change.
func TestCounterListChangeGrantsNoQuotaTwice(t *testing.T) {
	for _, limiters := range []int{3, 30} {
		s := floodedFleet(limiters, 1, 3)
		_, calm := runScenario(s, 4)
		s.Faults = []Fault{{Kind: FaultList, At: 6, For: 10, Part: 0.5, Size: 4}}
		_, moved := runScenario(s, 4)
		t.Logf("%d limiters: beyond %.4f calm, %.4f moved; worth %.3f, %.3f", limiters, calm.OverQuota(), moved.OverQuota(), calm.Worth(), moved.Worth())
		require.Empty(t, moved.Violations)
		require.Less(t, moved.OverQuota(), calm.OverQuota()+0.01)
		require.Greater(t, moved.Worth(), calm.Worth()-0.05)
	}
}

// Three hundred limiters that find a new counter at the same moment do not meet there in a crowd.
func TestNewCounterIsNotOverloaded(t *testing.T) {
	s := floodedFleet(300, 2, 1)
	s.Seconds, s.Nodes = 9, 100
	s.Faults = []Fault{{Kind: FaultList, At: 6, Part: 1, Size: 3}}
	w := New(s, 6, Own(), false)
	w.Play(6)
	before := w.counters[0].Calls + w.counters[1].Calls
	w.Play(6.5)
	first := w.counters[2].Calls
	w.Run()
	late := float64(w.counters[2].Calls-first) / 2.5
	t.Logf("%d calls in 6 s before, %d in the first half second, then %.0f a second", before, first, late)
	require.Less(t, float64(first), late/2, "no more than it bears later")
}

// A list that changes every second multiplies no calls: what is given up is the count of names that too many lists have held.
func TestCounterListChangingEverySecond(t *testing.T) {
	s := floodedFleet(30, 2, 30)
	_, calm := runScenario(s, 8)
	for k := range 20 {
		s.Faults = append(s.Faults, Fault{Kind: FaultList, At: 4 + float64(k), For: 0.5, Part: 0.5, Size: 2, Hall: k + 1})
	}
	_, moved := runScenario(s, 8)
	t.Logf("calls %d calm, %d moved; beyond %.4f, %.4f; worth %.3f, %.3f", calm.Calls, moved.Calls, calm.OverQuota(), moved.OverQuota(), calm.Worth(), moved.Worth())
	require.Empty(t, moved.Violations)
	require.Less(t, moved.Calls, 3*calm.Calls)
}

// A counter that is wiped, slow by tens of milliseconds, or dead and back elsewhere while the list changes.
func TestCounterFaultsDuringListChange(t *testing.T) {
	s := floodedFleet(30, 3, 1)
	_, calm := runScenario(s, 9)
	list := Fault{Kind: FaultList, At: 8, For: 8, Part: 0.5, Size: 3, Hall: 1}
	for name, trouble := range map[string]Fault{
		"wiped":             {Kind: FaultFlush, At: 10, Part: 1},
		"slow":              {Kind: FaultSlow, At: 6, For: 12, Size: 29},
		"dead, elsewhere":   {Kind: FaultLost, At: 6, For: 30, Hall: 0},
		"the new one dies":  {Kind: FaultLost, At: 10, For: 6, Hall: 3},
		"a limiter's death": {Kind: FaultLimiters, At: 10, For: 1, Part: 0.2},
	} {
		s.Faults = []Fault{list, trouble}
		_, r := runScenario(s, 9)
		t.Logf("%s: beyond %.4f calm, %.4f; worth %.3f, %.3f", name, calm.OverQuota(), r.OverQuota(), calm.Worth(), r.Worth())
		require.Empty(t, r.Violations, name)
		require.Less(t, r.OverQuota(), calm.OverQuota()+0.03, name)
		require.Greater(t, r.Worth(), calm.Worth()-0.12, name)
	}
}
