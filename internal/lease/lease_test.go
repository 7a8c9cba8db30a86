package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const tick = 10 * time.Millisecond

// Checks that a fleet on the shared counter never has two holders while the counter keeps its data, with lost answers
// and clocks that differ by less than the maximum drift, and that it makes few calls in each round. A counter that
// loses data can produce two holders, so an exclusive duty is rejected.
func TestAdvisoryHoldersNeverOverlap(t *testing.T) {
	require.ErrorIs(t, Counter.Allow(true), ErrAdvisory)
	require.NoError(t, Counter.Allow(false))
	require.NoError(t, Quorum.Allow(true))
	rules := Rules{Duration: 3 * time.Second, MaxClockDrift: 100 * time.Millisecond}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "limiters")
		lossRate := rapid.Float64Range(0, 0.5).Draw(t, "lost")
		fate := rapid.Float64Range(0, 1)
		var fleet []AdvisoryHolder
		var skew []time.Duration
		for k := range n {
			fleet = append(fleet, NewAdvisoryHolder(rules, k, n))
			skew = append(skew, time.Duration(rapid.IntRange(0, 99).Draw(t, "skew"))*time.Millisecond)
		}
		totals, calls := map[int64]float64{}, map[int64]int{}
		held := 0
		for now := 100 * rules.Duration; now < 112*rules.Duration; now += tick {
			believers, term := 0, Term(0)
			for k := range fleet {
				b := &fleet[k]
				if round, ok := b.NextRound(now + skew[k]); ok {
					totals[round]++
					calls[round]++
					if fate.Draw(t, "fate") >= lossRate {
						b.HandleTotal(round, totals[round])
					}
				}
				if at, may := b.MayAct(now + skew[k]); may {
					believers, term = believers+1, at
				}
			}
			if believers > 1 {
				t.Fatalf("%d limiters believe that they hold term %d, want at most 1", believers, term)
			}
			held += believers
		}
		for round, c := range calls {
			if c > candidatesPerRound+1 {
				t.Fatalf("%d calls in round %d, want at most %d", c, round, candidatesPerRound+1)
			}
		}
		if lossRate == 0 && held == 0 {
			t.Fatal("no limiter ever held the duty, though no answer was lost")
		}
	})
}

func TestLaggingOrDrainingLimiterHoldsNothing(t *testing.T) {
	r := NewRegister(nil)
	h := NewHolder("cleanup", Instance{"a", 1}, modelRules)
	take := func(now time.Duration) bool {
		if c, num, ok := h.NextCommand(now); ok {
			g, err := r.Apply(c)
			h.HandleGrant(now, num, g, err, 0)
		}
		_, may := h.MayAct(now)
		return may
	}
	require.True(t, take(0))
	h.ReportLag(2*time.Second, time.Second)
	_, may := h.MayAct(time.Second)
	require.False(t, may, "effects stop at once, before the register processes the release")
	require.False(t, take(time.Second))
	require.Equal(t, Instance{}, r.Grant("cleanup").Holder, "released")
	require.False(t, take(20*time.Second), "still lagging")
	h.ReportLag(0, 20*time.Second)
	require.True(t, take(20*time.Second))
	h.Drain(21 * time.Second)
	h.ReportLag(0, 22*time.Second)
	require.False(t, take(22*time.Second))
	require.False(t, take(60*time.Second), "draining is permanent")
	assert.Equal(t, Term(2), r.Grant("cleanup").Term)
}

// Guards against terms that start again after a restart: a register and a fence continue from what was saved.
func TestTermsContinueAfterRestart(t *testing.T) {
	r := NewRegister(nil)
	g, err := r.Apply(Command{Kind: Acquire, Duty: "cleanup", By: Instance{"a", 1}})
	require.NoError(t, err)
	w := NewExpiryWatch(leaseDuration, r, 0)
	require.Empty(t, w.DueExpirations(leaseDuration-1))
	for _, expiry := range w.DueExpirations(leaseDuration) {
		g, err = r.Apply(expiry)
		require.NoError(t, err)
		w.Observe("cleanup", g, leaseDuration)
	}
	require.Empty(t, w.DueExpirations(2*leaseDuration))
	r = NewRegister(r.Grants())
	g, err = r.Apply(Command{Kind: Acquire, Duty: "cleanup", By: Instance{"a", 2}})
	require.NoError(t, err)
	require.Equal(t, Term(2), g.Term)
	_, err = r.Apply(Command{Kind: Renew, Duty: "cleanup", By: Instance{"a", 1}, Term: 1})
	require.ErrorIs(t, err, ErrNotHeld, "a restarted limiter is another instance")

	f := NewFence(nil)
	require.True(t, f.Admit("cleanup", 2))
	f = NewFence(f.HighestTerms())
	require.False(t, f.Admit("cleanup", 1))
	require.False(t, f.Admit("cleanup", 0))
	require.True(t, f.Admit("other", 1))
}
