package model

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/logic"
)

// singleNode is a world of one node with an unbounded queue, without load from the scenario's firms.
func singleNode(seed uint64, cores int) (*World, *node) {
	s := BaseScenario()
	s.Nodes, s.Limiters, s.Firms.Count = 1, 1, 1
	s.Node = NodeKind{Cores: cores, MaxRunning: cores, MaxQueued: 1 << 30}
	w := New(s, seed, ProjectPolicy(), false)
	w.firms[0].stopped = true
	return w, w.nodes[0]
}

// meanWait is the mean time that requests spend in the queue, for n requests at a given load.
func meanWait(seed uint64, cores int, load, cv2 float64, n int) float64 {
	w, node := singleNode(seed, cores)
	w.limiters[0].crash() // its timers are not needed
	rng := newRand(seed, "arrivals", 0)
	sum, done := 0.0, 0
	rate := load * float64(cores)
	var arrive func(left int)
	arrive = func(left int) {
		if left == 0 {
			return
		}
		came, took := w.sim.now, drawGamma(rng, 1, cv2)
		node.accept(&job{work: took, reply: func(logic.Status) {
			if done++; done > n/20 { // the first 5% find an emptier queue and are not counted
				sum += (w.sim.now - came).Seconds() - took
			}
		}})
		w.sim.After(seconds(rng.ExpFloat64()/rate), func() { arrive(left - 1) })
	}
	arrive(n)
	w.sim.Run(epoch + 1000*time.Hour)
	return sum / float64(done-n/20)
}

// The mean wait at a node must agree with theory: with Erlang's formula for M/M/c queues, and with the formula of Pollaczek and
// Khinchine for M/G/1 queues.
func TestNodesAgreeWithQueueingTheory(t *testing.T) {
	erlang := func(c int, load float64) float64 {
		a, term, sum := load*float64(c), 1.0, 0.0
		for k := range c {
			sum += term
			term *= a / float64(k+1)
		}
		term /= 1 - load
		return term / (sum + term) / (float64(c) * (1 - load))
	}
	mean := func(cores int, load, cv2 float64) float64 {
		sum := 0.0
		for seed := range uint64(6) {
			sum += meanWait(seed, cores, load, cv2, 400_000)
		}
		return sum / 6
	}
	for _, c := range []struct {
		cores     int
		load, cv2 float64
		want      float64
	}{
		{1, 0.6, 1, erlang(1, 0.6)}, {3, 0.7, 1, erlang(3, 0.7)}, {8, 0.8, 1, erlang(8, 0.8)},
		{1, 0.6, 0, 0.6 / (2 * 0.4)}, {1, 0.7, 0.5, 0.7 * 1.5 / (2 * 0.3)}, {1, 0.5, 3, 0.5 * 4 / (2 * 0.5)},
	} {
		got := mean(c.cores, c.load, c.cv2)
		require.InEpsilon(t, c.want, got, 0.03, "%d cores, load %g, cv2 %g", c.cores, c.load, c.cv2)
	}
}

// smallScenario is the base scenario with fewer nodes and firms.
func smallScenario(seconds float64) Scenario {
	s := BaseScenario()
	s.Seconds, s.Nodes, s.Firms.Count = seconds, 6, 60
	return s
}

// The same seed must give the same result under every policy, in a run alone and in eight runs at once.
func TestSameSeedGivesSameResult(t *testing.T) {
	s := smallScenario(10)
	s.Faults = []Fault{{Kind: FaultFlush, At: 3, Part: 0.7}, {Kind: FaultLimiters, At: 4, For: 2, Part: 0.3}, {Kind: FaultCrash, At: 6, For: 1, Part: 0.2}}
	for _, p := range append(TextbookPolicies(), ProjectPolicy()) {
		want := fmt.Sprintf("%+v", New(s, 5, p, false).Run())
		var wg sync.WaitGroup
		got := make([]string, 8)
		for k := range got {
			wg.Add(1)
			go func() {
				defer wg.Done()
				got[k] = fmt.Sprintf("%+v", New(s, 5, p, false).Run())
			}()
		}
		wg.Wait()
		for _, g := range got {
			require.Equal(t, want, g, p.Name)
		}
		require.NotEqual(t, want, fmt.Sprintf("%+v", New(s, 6, p, false).Run()), p.Name)
	}
}

// No kind of fault alone may lead limiters to break a rule.
func TestNoFaultBreaksARule(t *testing.T) {
	for _, kind := range faultKinds {
		for seed := range uint64(3) {
			s := smallScenario(20)
			s.Faults = []Fault{{Kind: kind, At: 5, For: 6, Part: 0.4, Size: 2, Hall: int(seed % 2)}}
			r := New(s, seed, ProjectPolicy(), false).Run()
			require.Empty(t, r.Violations, "%s, seed %d", kind, seed)
			require.Greater(t, r.Served, 100, "%s, seed %d", kind, seed)
		}
	}
}

// The audit must detect a policy that ignores ceilings.
func TestAuditDetectsExceededCeiling(t *testing.T) {
	s := smallScenario(15)
	s.Firms.OverQuotaShare, s.Firms.OverQuotaFactor = 1, Range{8, 8}
	noCeiling, _ := PolicyNamed("whole-quota+random")
	r := New(s, 1, noCeiling, false).Run()
	require.Positive(t, r.CeilingExcessUnits)
	require.NotEmpty(t, r.Violations)
	require.NotEmpty(t, r.Check(Bounds{}))
	require.Empty(t, New(s, 1, ProjectPolicy(), false).Run().Violations)
}

// A pause of all nodes for two seconds must show in the tail latency, which is measured from the time at which a client wanted
// to send.
func TestPauseShowsInTailLatency(t *testing.T) {
	s := smallScenario(12)
	baseline := New(s, 2, ProjectPolicy(), false).Run()
	s.Faults = []Fault{{Kind: FaultPause, At: 5, For: 2, Part: 1}}
	paused := New(s, 2, ProjectPolicy(), false).Run()
	require.Greater(t, paused.P99Seconds, baseline.P99Seconds)
	require.Greater(t, paused.P99Seconds, 1.5)
}

// The gamma distribution must have the mean and the coefficient of variation that were asked for.
func TestGammaMeanAndVariance(t *testing.T) {
	for _, cv2 := range []float64{0.2, 0.5, 1, 2, 4} {
		rng := newRand(1, "gamma", 0)
		sum, squares, n := 0.0, 0.0, 400_000
		for range n {
			v := drawGamma(rng, 2, cv2)
			sum, squares = sum+v, squares+v*v
		}
		mean := sum / float64(n)
		require.InEpsilon(t, 2, mean, 0.02)
		require.InEpsilon(t, cv2, (squares/float64(n)-mean*mean)/(mean*mean), 0.05)
		require.False(t, math.IsNaN(mean))
	}
}
