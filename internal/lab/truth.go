package lab

import (
	"slices"
	"sort"
	"sync"
	"time"

	"bramblefall/logic"
)

// Truth keeps what was really sent on for each firm, and holds it against the figures that were in force.
type Truth struct {
	mu    sync.Mutex
	seen  map[string]struct{} // ids: a further attempt of a request is no further send
	sends [][]Send            // by firm
}

// Send is a first send of a request, as the node that got it saw it.
type Send struct {
	At      time.Time
	Request string // id; "": let in over gRPC
}

// NewTruth makes one for so many firms.
func NewTruth(firms int) *Truth {
	return &Truth{seen: map[string]struct{}{}, sends: make([][]Send, firms)}
}

// Sent notes a send of a request; id "" is always a first.
func (t *Truth) Sent(firm int, id string) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != "" {
		if _, again := t.seen[id]; again {
			return
		}
		t.seen[id] = struct{}{}
	}
	t.sends[firm] = append(t.sends[firm], Send{now, id})
}

// Period is a time in which figures were in force at a limiter.
type Period struct {
	From  time.Time
	Tiers []logic.Plan
}

// Figures are what a firm may be held to at a time: those of each limiter, which may hear of a change late.
type Figures struct{ Limiters [][]Period } // in order of time

// At is the largest figures of a tier at any limiter.
func (f Figures) At(tier string, t time.Time) (p logic.Plan) {
	for _, list := range f.Limiters {
		k := sort.Search(len(list), func(k int) bool { return list[k].From.After(t) }) - 1
		if k < 0 {
			continue
		}
		n := slices.IndexFunc(list[k].Tiers, func(x logic.Plan) bool { return x.Name == tier })
		if n < 0 {
			continue
		}
		x := list[k].Tiers[n]
		p.Rate, p.Burst = max(p.Rate, x.Rate), max(p.Burst, x.Burst)
		p.CeilingRate, p.CeilingBurst = max(p.CeilingRate, x.CeilingRate), max(p.CeilingBurst, x.CeilingBurst)
		p.CeilingSlack = max(p.CeilingSlack, x.CeilingSlack)
	}
	return p
}

// of is the sends of a firm in the order of time.
func (t *Truth) of(firm int) []Send {
	t.mu.Lock()
	sends := slices.Clone(t.sends[firm])
	t.mu.Unlock()
	slices.SortFunc(sends, func(a, b Send) int { return a.At.Compare(b.At) })
	return sends
}

// store is a firm's, as one limiter that sees all would keep it.
type store struct {
	level float64
	at    time.Time
}

func (s *store) fill(t time.Time, rate, burst float64) {
	s.level = min(s.level+rate*max(t.Sub(s.at).Seconds(), 0), burst)
	s.at = t
}

// Verdict is how a firm's sends stand against its figures.
type Verdict struct {
	Sent, Beyond float64
	Over         float64 // units over the ceiling with its slack, at the worst
	Worst        Send    // the one that brought Over
	BeyondIn     []float64
	SentIn       []float64
}

// Judge plays a firm's sends against its figures; grace is how much longer the figures before a change count, and
// reserved units count as inside. windows are looked at by themselves.
func (t *Truth) Judge(firm int, tier string, f Figures, began time.Time, grace time.Duration, reserved float64, windows [][2]time.Time) Verdict {
	largest := func(at time.Time) logic.Plan {
		now, before := f.At(tier, at), f.At(tier, at.Add(-grace))
		now.Rate, now.Burst = max(now.Rate, before.Rate), max(now.Burst, before.Burst)
		now.CeilingRate, now.CeilingBurst = max(now.CeilingRate, before.CeilingRate), max(now.CeilingBurst, before.CeilingBurst)
		now.CeilingSlack = max(now.CeilingSlack, before.CeilingSlack)
		return now
	}
	p := largest(began)
	quota, ceiling := store{p.Burst, began}, store{p.CeilingBurst, began}
	v := Verdict{BeyondIn: make([]float64, len(windows)), SentIn: make([]float64, len(windows))}
	const step = 100 * time.Millisecond
	for _, send := range t.of(firm) {
		at := send.At
		for quota.at.Add(step).Before(at) { // figures change between sends, too
			next := quota.at.Add(step)
			p := largest(next)
			quota.fill(next, p.Rate, p.Burst)
			ceiling.fill(next, p.CeilingRate, p.CeilingBurst)
		}
		p := largest(at)
		quota.fill(at, p.Rate, p.Burst)
		ceiling.fill(at, p.CeilingRate, p.CeilingBurst)
		v.Sent++
		beyond := 0.0
		switch {
		case quota.level >= 1:
			quota.level--
		case reserved >= 1:
			reserved--
		default:
			beyond = 1
		}
		v.Beyond += beyond
		for k, w := range windows {
			if !at.Before(w[0]) && at.Before(w[1]) {
				v.BeyondIn[k] += beyond
				v.SentIn[k]++
			}
		}
		if p.CeilingRate > 0 {
			ceiling.level--
			if over := -ceiling.level - p.CeilingSlack; over > v.Over {
				v.Over, v.Worst = over, send
			}
		}
	}
	return v
}
