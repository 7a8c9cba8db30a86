package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const tick = 10 * time.Millisecond

// A fleet's calls on the counter: never two holders while it keeps its names, whatever answers are lost and clocks differ by
// less than the drift; and few calls a round. One that loses names makes two, so such a duty is advisory.
func TestBallots(t *testing.T) {
	require.ErrorIs(t, Counter.Allow(true), ErrAdvisory)
	require.NoError(t, Counter.Allow(false))
	require.NoError(t, Quorum.Allow(true))
	rules := Rules{Life: 3 * time.Second, Drift: 100 * time.Millisecond}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "limiters")
		lost := rapid.Float64Range(0, 0.5).Draw(t, "lost")
		luck := rapid.Float64Range(0, 1)
		var fleet []Ballot
		var skew []time.Duration
		for k := range n {
			fleet = append(fleet, NewBallot(rules, k, n))
			skew = append(skew, time.Duration(rapid.IntRange(0, 99).Draw(t, "skew"))*time.Millisecond)
		}
		names, calls := map[int64]float64{}, map[int64]int{}
		held := 0
		for now := 100 * rules.Life; now < 112*rules.Life; now += tick {
			believe, term := 0, Term(0)
			for k := range fleet {
				b := &fleet[k]
				if round, ok := b.Ask(now + skew[k]); ok {
					names[round]++
					calls[round]++
					if luck.Draw(t, "fate") >= lost {
						b.Told(round, names[round])
					}
				}
				if at, may := b.May(now + skew[k]); may {
					believe, term = believe+1, at
				}
			}
			if believe > 1 {
				t.Fatalf("%d limiters believe that they hold term %d", believe, term)
			}
			held += believe
		}
		for round, c := range calls {
			if c > tickets+1 {
				t.Fatalf("%d calls in round %d", c, round)
			}
		}
		if lost == 0 && held == 0 {
			t.Fatal("nobody ever held it")
		}
	})
}

func TestALimiterThatLagsOrDrainsHoldsNothing(t *testing.T) {
	r := NewRegister(nil)
	h := NewHolder("keeper", Life{"a", 1}, modelRules)
	take := func(now time.Duration) bool {
		if c, num, ok := h.Ask(now); ok {
			g, err := r.Apply(c)
			h.Told(now, num, g, err, 0)
		}
		_, may := h.May(now)
		return may
	}
	require.True(t, take(0))
	h.Lag(2*time.Second, time.Second)
	_, may := h.May(time.Second)
	require.False(t, may, "at once, before the register has heard of it")
	require.False(t, take(time.Second))
	require.Equal(t, Life{}, r.Grant("keeper").Holder, "released")
	require.False(t, take(20*time.Second), "it lags yet")
	h.Lag(0, 20*time.Second)
	require.True(t, take(20*time.Second))
	h.Drain(21 * time.Second)
	h.Lag(0, 22*time.Second)
	require.False(t, take(22*time.Second))
	require.False(t, take(60*time.Second), "for good")
	assert.Equal(t, Term(2), r.Grant("keeper").Term)
}

// Terms outlive whoever keeps them: a register and a fence go on from what was kept.
func TestTermsGoOnAfterARestart(t *testing.T) {
	r := NewRegister(nil)
	g, err := r.Apply(Command{Kind: Acquire, Duty: "keeper", By: Life{"a", 1}})
	require.NoError(t, err)
	w := NewWatch(life, r, 0)
	require.Empty(t, w.Due(life-1))
	for _, end := range w.Due(life) {
		g, err = r.Apply(end)
		require.NoError(t, err)
		w.Applied("keeper", g, life)
	}
	require.Empty(t, w.Due(2*life))
	r = NewRegister(r.Grants())
	g, err = r.Apply(Command{Kind: Acquire, Duty: "keeper", By: Life{"a", 2}})
	require.NoError(t, err)
	require.Equal(t, Term(2), g.Term)
	_, err = r.Apply(Command{Kind: Renew, Duty: "keeper", By: Life{"a", 1}, Term: 1})
	require.ErrorIs(t, err, ErrNotHeld, "another life, another limiter")

	f := NewFence(nil)
	require.True(t, f.Take("keeper", 2))
	f = NewFence(f.Seen())
	require.False(t, f.Take("keeper", 1))
	require.False(t, f.Take("keeper", 0))
	require.True(t, f.Take("other", 1))
}
