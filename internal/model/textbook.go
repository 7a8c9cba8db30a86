package model

import (
	"math/rand/v2"
	"strings"
	"time"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// Textbook policies run in the same model for comparison. Each has its own rule of admission, and sends to a random node or
// to the node with the fewest attempts in flight from the same limiter. An attempt that could not connect or was rejected is
// repeated once, at a node that is chosen anew and may be the same. At its deadline a request fails.

// TextbookPolicies returns the policies for comparison: each rule of admission with each rule of choosing a node.
func TextbookPolicies() (all []Policy) {
	for _, admission := range []string{"even-split", "whole-quota", "count-each", "leases"} {
		for _, choose := range []string{"random", "least"} {
			all = append(all, Policy{admission + "+" + choose, func(set logic.Settings, seed uint64) Decider {
				return &textbook{settings: set, rng: rand.New(rand.NewPCG(seed, 5)), admission: admission, leastLoaded: choose == "least",
					requests: map[uint64]*pendingRequest{}, firms: map[uint64]*firmState{}, pendingCalls: map[uint64]func(logic.Status, float64){},
					inFlightByServer: map[logic.ServerID]int{}}
			}})
		}
	}
	return all
}

// PolicyNamed finds a textbook policy, or the project's own, by its name.
func PolicyNamed(name string) (Policy, bool) {
	for _, p := range append(TextbookPolicies(), ProjectPolicy()) {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// timerEffect is an effect of the textbook policies. The model calls fire at the given time.
type timerEffect struct {
	at   time.Duration
	fire func(now time.Duration) []core.Effect
}

// textbook is the decider of all textbook policies.
type textbook struct {
	settings         logic.Settings
	rng              *rand.Rand
	admission        string
	leastLoaded      bool
	servers          []logic.Server
	requests         map[uint64]*pendingRequest
	firms            map[uint64]*firmState
	pendingCalls     map[uint64]func(logic.Status, float64)
	inFlightByServer map[logic.ServerID]int
	lastCallID       uint64
	now              time.Duration
	effects          []core.Effect
}

type pendingRequest struct {
	core.RequestContext
	deadline        time.Duration
	attempts        int
	server          logic.ServerID
	attemptInFlight bool
	done            bool
}

// firmState is a firm's token bucket, and the units that the lease policy has leased for it.
type firmState struct {
	level        float64
	filledAt     time.Duration
	leased       float64
	leasePending bool
	waiting      []*pendingRequest
}

const (
	windowLength = time.Second // window of the policies that count
	leaseShare   = 0.1         // part of a window's units in one lease
)

// Reduce implements Decider.
func (t *textbook) Reduce(now time.Duration, ev core.Event, effects []core.Effect) []core.Effect {
	t.now, t.effects = now, effects
	switch e := ev.(type) {
	case core.UpstreamGroup:
		t.updateServers(e.ServerList)
	case core.RequestContext:
		q := &pendingRequest{RequestContext: e, deadline: now + e.TTL - 6*time.Millisecond}
		t.requests[e.ID] = q
		t.emit(timerEffect{q.deadline, func(now time.Duration) []core.Effect {
			t.now, t.effects = now, nil
			t.fail(q)
			return t.effects
		}})
		t.admitRequest(q)
	case core.Outcome:
		t.outcome(e)
	case core.CountResult:
		if call := t.pendingCalls[e.Call]; call != nil {
			delete(t.pendingCalls, e.Call)
			call(e.Status, e.Total)
		}
	case core.ClientGone:
		if q := t.requests[e.ID]; q != nil {
			q.done = true
			t.forget(q)
		}
	}
	return t.effects
}

func (t *textbook) emit(e core.Effect) { t.effects = append(t.effects, e) }

func (t *textbook) updateServers(l logic.ServerList) {
	if l.Complete {
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

// refill adds to a firm's token bucket what its rate has brought up to now. share is the limiter's share of the quota.
func (t *textbook) refill(q *pendingRequest, share float64) *firmState {
	p := t.settings.Plans[q.Plan]
	b := t.firms[q.Customer]
	if b == nil {
		b = &firmState{level: p.Burst * share, filledAt: t.now}
		t.firms[q.Customer] = b
	}
	b.level = min(b.level+p.Rate*share*(t.now-b.filledAt).Seconds(), p.Burst*share)
	b.filledAt = t.now
	return b
}

// admitRequest applies the rule of admission.
func (t *textbook) admitRequest(q *pendingRequest) {
	p := t.settings.Plans[q.Plan]
	switch {
	case strings.HasPrefix(t.admission, "even"):
		t.takeToken(q, t.refill(q, 1/float64(max(q.Spread, 1))))
	case strings.HasPrefix(t.admission, "whole"):
		t.takeToken(q, t.refill(q, 1))
	case strings.HasPrefix(t.admission, "count"): // one counter call for each request: the window's total decides, and without an answer the request is admitted
		t.count(t.windowKey(q), 1, func(s logic.Status, total float64) {
			if s != logic.OK || total <= p.Rate*windowLength.Seconds()+p.Burst*0.2 {
				t.send(q)
			} else {
				t.reject(q, windowLength)
			}
		})
	default: // leases
		b := t.refill(q, 0)
		if b.leased >= 1 {
			b.leased--
			t.send(q)
			return
		}
		b.waiting = append(b.waiting, q)
		t.requestLease(q, b)
	}
}

// takeToken admits a request if a token is left.
func (t *textbook) takeToken(q *pendingRequest, b *firmState) {
	if b.level >= 1 {
		b.level--
		t.send(q)
		return
	}
	t.reject(q, 500*time.Millisecond)
}

// windowKey is the counter name of a firm in the present window.
func (t *textbook) windowKey(q *pendingRequest) uint64 {
	return mixBits(q.Customer ^ mixBits(uint64(t.now/windowLength)))
}

// count calls the counter. then gets its answer, or a timeout after the limit for counter calls.
func (t *textbook) count(key uint64, amount float64, then func(logic.Status, float64)) {
	t.lastCallID++
	id := t.lastCallID
	t.pendingCalls[id] = then
	t.emit(core.Count{Call: id, Name: key, Amount: amount, TTL: 3 * windowLength})
	t.emit(timerEffect{t.now + t.settings.CounterLimit, func(now time.Duration) []core.Effect {
		t.now, t.effects = now, nil
		if call := t.pendingCalls[id]; call != nil {
			delete(t.pendingCalls, id)
			call(logic.Timeout, 0)
		}
		return t.effects
	}})
}

// requestLease asks the counter for a lease and then decides on the requests that wait for it. There is one call at a time
// for each firm. Without an answer, the lease is taken as granted.
func (t *textbook) requestLease(q *pendingRequest, b *firmState) {
	if b.leasePending {
		return
	}
	b.leasePending = true
	p := t.settings.Plans[q.Plan]
	leaseUnits := max(1, leaseShare*p.Rate*windowLength.Seconds())
	t.count(t.windowKey(q), leaseUnits, func(s logic.Status, total float64) {
		b.leasePending = false
		waiting := b.waiting
		b.waiting = nil
		if s != logic.OK || total <= p.Rate*windowLength.Seconds()+0.2*p.Burst {
			b.leased += leaseUnits
		}
		for _, request := range waiting {
			if b.leased >= 1 {
				b.leased--
				t.send(request)
			} else {
				t.reject(request, windowLength)
			}
		}
	})
}

// send starts an attempt at a node.
func (t *textbook) send(q *pendingRequest) {
	if q.done {
		return
	}
	if len(t.servers) == 0 {
		t.fail(q)
		return
	}
	s := t.servers[t.rng.IntN(len(t.servers))]
	if t.leastLoaded {
		for _, x := range t.servers {
			if t.inFlightByServer[x.ID] < t.inFlightByServer[s.ID] {
				s = x
			}
		}
	}
	q.server, q.attemptInFlight = s.ID, true
	t.inFlightByServer[s.ID]++
	t.emit(core.Try{Key: core.Key{ID: q.ID, Try: q.attempts}, Server: s.ID, Timeout: q.deadline - t.now, Origin: q.Origin})
	q.attempts++
}

func (t *textbook) outcome(e core.Outcome) {
	q := t.requests[e.ID]
	if q == nil || !q.attemptInFlight {
		return
	}
	q.attemptInFlight = false
	if t.inFlightByServer[q.server]--; t.inFlightByServer[q.server] <= 0 {
		delete(t.inFlightByServer, q.server)
	}
	switch {
	case q.done:
	case e.Status == logic.OK:
		q.done = true
		t.emit(core.Answer{Origin: q.Origin, Value: e.Value})
	case (e.Status == logic.Full || e.Status == logic.ConnectFailed) && q.attempts < 2:
		t.send(q)
		return
	case e.Status == logic.Full || e.Status == logic.ConnectFailed:
		t.reject(q, 500*time.Millisecond)
	default:
		t.fail(q)
	}
	t.forget(q)
}

func (t *textbook) reject(q *pendingRequest, after time.Duration) {
	if !q.done {
		q.done = true
		t.emit(core.Reject{Origin: q.Origin, After: min(after, t.settings.MaxRetryAfter)})
	}
	t.forget(q)
}

func (t *textbook) fail(q *pendingRequest) {
	if !q.done {
		q.done = true
		t.emit(core.Fail{Origin: q.Origin})
	}
	t.forget(q)
}

// forget drops a request that is done. If an attempt is in flight, it abandons that first, and the outcome drops the request.
func (t *textbook) forget(q *pendingRequest) {
	if q.attemptInFlight {
		t.emit(core.Abandon{Key: core.Key{ID: q.ID, Try: q.attempts - 1}, Reason: logic.Cancelled})
		return
	}
	delete(t.requests, q.ID)
}
