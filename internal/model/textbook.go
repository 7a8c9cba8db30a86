package model

import (
	"math/rand/v2"
	"strings"
	"time"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// Textbook policies run in the same model, to compare with. Each admits by a rule of its own and sends to a node chosen
// at random or to the one with the fewest of its own attempts out. What could not connect or was turned away is tried at
// one other node; at the deadline a request fails.

// Textbook is the policies to compare with.
func Textbook() (all []Policy) {
	for _, admit := range []string{"even-split", "whole-quota", "count-each", "leases"} {
		for _, choose := range []string{"random", "least"} {
			all = append(all, Policy{admit + "+" + choose, func(set logic.Settings, seed uint64) Decider {
				return &textbook{set: set, rng: rand.New(rand.NewPCG(seed, 5)), admit: admit, least: choose == "least",
					requests: map[uint64]*asked{}, firms: map[uint64]*bucket{}, calls: map[uint64]func(logic.Status, float64){},
					out: map[logic.ServerID]int{}}
			}})
		}
	}
	return all
}

// PolicyNamed finds one by its name.
func PolicyNamed(name string) (Policy, bool) {
	for _, p := range append(Textbook(), Own()) {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// alarm is an effect of the textbook policies: the model calls ring at the time.
type alarm struct {
	at   time.Duration
	ring func(now time.Duration) []core.Effect
}

type textbook struct {
	set      logic.Settings
	rng      *rand.Rand
	admit    string
	least    bool
	servers  []logic.Server
	requests map[uint64]*asked
	firms    map[uint64]*bucket
	calls    map[uint64]func(logic.Status, float64)
	out      map[logic.ServerID]int
	next     uint64
	now      time.Duration
	effects  []core.Effect
}

type asked struct {
	core.RequestContext
	until time.Duration
	tries int
	at    logic.ServerID
	flies bool
	over  bool
}

// bucket is a firm's, filled at a rate; seen bounds it.
type bucket struct {
	level float64
	at    time.Duration
	lease float64
	asks  bool
	waits []*asked
}

const (
	window    = time.Second // of the counting policies
	leasePart = 0.1         // of a window's units
)

func (t *textbook) Reduce(now time.Duration, ev core.Event, effects []core.Effect) []core.Effect {
	t.now, t.effects = now, effects
	switch e := ev.(type) {
	case core.UpstreamGroup:
		t.learn(e.ServerList)
	case core.RequestContext:
		q := &asked{RequestContext: e, until: now + e.TTL - 6*time.Millisecond}
		t.requests[e.ID] = q
		t.do(alarm{q.until, func(now time.Duration) []core.Effect {
			t.now, t.effects = now, nil
			t.fail(q)
			return t.effects
		}})
		t.gate(q)
	case core.Outcome:
		t.outcome(e)
	case core.CountResult:
		if call := t.calls[e.Call]; call != nil {
			delete(t.calls, e.Call)
			call(e.Status, e.Total)
		}
	case core.ClientGone:
		if q := t.requests[e.ID]; q != nil {
			q.over = true
			t.leave(q)
		}
	}
	return t.effects
}

func (t *textbook) do(e core.Effect) { t.effects = append(t.effects, e) }

func (t *textbook) learn(l logic.ServerList) {
	if l.Whole {
		t.servers = nil
	}
	for _, s := range l.Servers {
		at := -1
		for k, x := range t.servers {
			if x.ID == s.ID {
				at = k
			}
		}
		switch {
		case at >= 0 && s.State != logic.Ready:
			t.servers = append(t.servers[:at], t.servers[at+1:]...)
		case at >= 0:
			t.servers[at] = s
		case s.State == logic.Ready:
			t.servers = append(t.servers, s)
		}
	}
}

// fill brings a firm's bucket up to now.
func (t *textbook) fill(q *asked, share float64) *bucket {
	p := t.set.Plans[q.Plan]
	b := t.firms[q.Customer]
	if b == nil {
		b = &bucket{level: p.Burst * share, at: t.now}
		t.firms[q.Customer] = b
	}
	b.level = min(b.level+p.Rate*share*(t.now-b.at).Seconds(), p.Burst*share)
	b.at = t.now
	return b
}

func (t *textbook) gate(q *asked) {
	p := t.set.Plans[q.Plan]
	switch {
	case strings.HasPrefix(t.admit, "even"):
		t.decide(q, t.fill(q, 1/float64(max(q.Spread, 1))))
	case strings.HasPrefix(t.admit, "whole"):
		t.decide(q, t.fill(q, 1))
	case strings.HasPrefix(t.admit, "count"): // a call for each: a window's count, let in where there is no answer
		t.count(t.name(q), 1, func(s logic.Status, total float64) {
			if s != logic.OK || total <= p.Rate*window.Seconds()+p.Burst*0.2 {
				t.send(q)
			} else {
				t.refuse(q, window)
			}
		})
	default: // leases of a tenth of a window
		b := t.fill(q, 0)
		if b.lease >= 1 {
			b.lease--
			t.send(q)
			return
		}
		b.waits = append(b.waits, q)
		t.lease(q, b)
	}
}

func (t *textbook) decide(q *asked, b *bucket) {
	if b.level >= 1 {
		b.level--
		t.send(q)
		return
	}
	t.refuse(q, 500*time.Millisecond)
}

func (t *textbook) name(q *asked) uint64 { return mix(q.Customer ^ mix(uint64(t.now/window))) }

func (t *textbook) count(name uint64, amount float64, then func(logic.Status, float64)) {
	t.next++
	id := t.next
	t.calls[id] = then
	t.do(core.Count{Call: id, Name: name, Amount: amount, Lives: 3 * window})
	t.do(alarm{t.now + t.set.CounterLimit, func(now time.Duration) []core.Effect {
		t.now, t.effects = now, nil
		if call := t.calls[id]; call != nil {
			delete(t.calls, id)
			call(logic.Timeout, 0)
		}
		return t.effects
	}})
}

func (t *textbook) lease(q *asked, b *bucket) {
	if b.asks {
		return
	}
	b.asks = true
	p := t.set.Plans[q.Plan]
	part := max(1, leasePart*p.Rate*window.Seconds())
	t.count(t.name(q), part, func(s logic.Status, total float64) {
		b.asks = false
		waits := b.waits
		b.waits = nil
		if s != logic.OK || total <= p.Rate*window.Seconds()+0.2*p.Burst {
			b.lease += part
		}
		for _, w := range waits {
			if b.lease >= 1 {
				b.lease--
				t.send(w)
			} else {
				t.refuse(w, window)
			}
		}
	})
}

func (t *textbook) send(q *asked) {
	if q.over {
		return
	}
	if len(t.servers) == 0 {
		t.fail(q)
		return
	}
	s := t.servers[t.rng.IntN(len(t.servers))]
	if t.least {
		for _, x := range t.servers {
			if t.out[x.ID] < t.out[s.ID] {
				s = x
			}
		}
	}
	q.at, q.flies = s.ID, true
	t.out[s.ID]++
	t.do(core.Try{Key: core.Key{ID: q.ID, Try: q.tries}, Server: s.ID, Wait: q.until - t.now, Origin: q.Origin})
	q.tries++
}

func (t *textbook) outcome(e core.Outcome) {
	q := t.requests[e.ID]
	if q == nil || !q.flies {
		return
	}
	q.flies = false
	if t.out[q.at]--; t.out[q.at] <= 0 {
		delete(t.out, q.at)
	}
	switch {
	case q.over:
	case e.Status == logic.OK:
		q.over = true
		t.do(core.Answer{Origin: q.Origin, Value: e.Value})
	case (e.Status == logic.Full || e.Status == logic.ConnectFailed) && q.tries < 2:
		t.send(q)
		return
	case e.Status == logic.Full || e.Status == logic.ConnectFailed:
		t.refuse(q, 500*time.Millisecond)
	default:
		t.fail(q)
	}
	t.leave(q)
}

func (t *textbook) refuse(q *asked, after time.Duration) {
	if !q.over {
		q.over = true
		t.do(core.Reject{Origin: q.Origin, After: min(after, t.set.MaxRetryAfter)})
	}
	t.leave(q)
}

func (t *textbook) fail(q *asked) {
	if !q.over {
		q.over = true
		t.do(core.Fail{Origin: q.Origin})
	}
	t.leave(q)
}

// leave forgets a request that is over; one that is out is given up.
func (t *textbook) leave(q *asked) {
	if q.flies {
		t.do(core.Abandon{Key: core.Key{ID: q.ID, Try: q.tries - 1}, Reason: logic.Cancelled})
		return
	}
	delete(t.requests, q.ID)
}
