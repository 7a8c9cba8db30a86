package model

import (
	"slices"
	"strconv"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// Decider is what decides in a modelled limiter: the project's reducer, or a textbook policy.
type Decider interface {
	Reduce(now time.Duration, ev core.Event, effects []core.Effect) []core.Effect
}

// Policy makes the deciders of a run.
type Policy struct {
	Name string
	New  func(set logic.Settings, seed uint64) Decider
}

// Own is the project's own reducer and module.
func Own() Policy {
	return Policy{"bramblefall", func(set logic.Settings, seed uint64) Decider {
		limits := plans.DefaultLimits
		limits.MostUnits = set.MostUnits
		return core.New(set, seed, plans.New(set.Plans, limits))
	}}
}

// limiter is a modelled limiter.
type limiter struct {
	w              *World
	rank           int
	hall           int
	incarnation    int
	up             bool
	stalledUntil   time.Duration // it handles nothing until then
	decider        Decider
	effects        []core.Effect
	attempts       map[core.Key]*attempt
	servers        []logic.Server                   // its list, kept over a restart
	serverIndex    map[logic.ServerID]int           // in that list
	leavingSince   map[logic.ServerID]time.Duration // when it was told that a node drains or is gone
	lastUpdateAt   time.Duration                    // when the last news come
	openRequests   map[*request]struct{}
	downAt         time.Duration
	downDetectedAt time.Duration // the front sees that it is down
	dispatching    bool          // in a step: what it asks of itself waits
	inbox          []core.Event
	counterNumbers map[int]int   // counters by the decider's numbers; none: number 0 alone
	CPU            time.Duration // spent in the decider, where it is measured
}

// flight is a try that is out.
type attempt struct {
	l         *limiter
	key       core.Key
	n         *node
	j         *job
	state     uint8 // 0: on its way, 1: at the node
	ended     bool
	req       *request
	holdsConn bool
	inFlight  bool // it counts for the cap on attempts out
	load      []float64
}

func (l *limiter) start() {
	l.up, l.incarnation = true, l.incarnation+1
	l.attempts, l.inbox = map[core.Key]*attempt{}, nil
	l.openRequests = map[*request]struct{}{}
	seed := newRand(l.w.seed, "limiter", l.rank*1000+l.incarnation).Uint64()
	l.decider = l.w.policy.New(l.w.settings(l.rank), seed)
	if r, ok := l.decider.(*core.Reducer); ok && l.w.s.Counter.Count > 0 {
		r.Spread(l.w.sim.now, l.w.counterAddresses(l.rank), l.incarnation == 1)
	}
	if r, ok := l.decider.(*core.Reducer); ok && l.w.s.Counter.Count > 0 {
		for _, e := range r.Begin(l.w.sim.now, nil) {
			l.apply(e)
		}
	}
	l.dispatch(core.UpstreamGroup{ServerList: logic.ServerList{Whole: true, Cached: true, Servers: append([]logic.Server(nil), l.servers...)}})
	l.watchDiscovery()
}

const watchDelaySeconds = 0.2 // seconds

// watch has the limiter told the whole list, as its watch would bring it, once discovery answers.
func (l *limiter) watchDiscovery() {
	incarnation := l.incarnation
	l.w.sim.At(l.w.sim.now+seconds(watchDelaySeconds), func() {
		switch {
		case l.incarnation != incarnation:
		case l.w.discoverySilent:
			l.watchDiscovery()
		default:
			l.w.sendSnapshot(l)
		}
	})
}

func (l *limiter) crash() {
	if !l.up {
		return
	}
	l.up = false
	l.incarnation++
	for _, f := range l.attempts {
		f.discard()
	}
	l.attempts = nil
	l.downAt = l.w.sim.now
	l.downDetectedAt = l.w.sim.now + seconds(l.w.s.Clients.DownDetectionSeconds.draw(l.w.rng))
	for _, r := range l.openInOrder() {
		r.loseLimiter()
	}
	l.openRequests = nil
}

// held is the requests that it owes an answer, in the order in which they came.
func (l *limiter) openInOrder() []*request {
	all := make([]*request, 0, len(l.openRequests))
	for r := range l.openRequests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return int(a.id) - int(b.id) })
	return all
}

// post hands an event in. A limiter that stands still handles it when it goes on.
func (l *limiter) dispatch(ev core.Event) {
	if !l.up {
		return
	}
	if l.stalledUntil > l.w.sim.now {
		incarnation := l.incarnation
		l.w.sim.At(l.stalledUntil, func() {
			if l.incarnation == incarnation {
				l.dispatch(ev)
			}
		})
		return
	}
	l.inbox = append(l.inbox, ev)
	if l.dispatching {
		return
	}
	l.dispatching = true
	for k := 0; k < len(l.inbox); k++ { // an effect may post more
		began := l.w.stopwatch()
		if a, ok := l.inbox[k].(timerEffect); ok {
			l.effects = append(l.effects[:0], a.fire(l.w.sim.now)...)
		} else {
			l.effects = l.decider.Reduce(l.w.sim.now, l.inbox[k], l.effects[:0])
		}
		l.CPU += l.w.stopwatch() - began
		for _, e := range l.effects {
			l.apply(e)
		}
	}
	clear(l.inbox)
	l.inbox, l.dispatching = l.inbox[:0], false
}

func (l *limiter) apply(e core.Effect) {
	switch e := e.(type) {
	case core.SetTimer:
		incarnation := l.incarnation
		l.w.sim.At(e.At, func() {
			if l.incarnation == incarnation {
				l.dispatch(e.Timer)
			}
		})
	case core.Try:
		l.startAttempt(e)
	case core.Abandon:
		if f := l.attempts[e.Key]; f != nil {
			reason := e.Reason
			if f.state == 0 && reason == logic.Timeout {
				reason = logic.ConnectFailed
			}
			f.terminate(reason)
		}
	case core.Answer:
		e.Origin.Served(e.Value)
	case core.Admit:
		e.Origin.Admitted()
	case core.Reject:
		e.Origin.Rejected(e.After)
	case core.Fail:
		e.Origin.Failed()
	case core.Count:
		incarnation, made := l.incarnation, l.w.sim.now
		l.w.audit.recordCall()
		l.w.counters[l.counterNumbers[e.Counter]].call(l.rank, e.Name, e.Amount, e.Lives, func(s logic.Status, total float64) {
			l.w.audit.recordCallEnd(made, e.Until, s)
			if l.incarnation == incarnation {
				l.dispatch(core.CountResult{Call: e.Call, Status: s, Total: total})
			}
		})
	case core.Reach:
		l.counterNumbers = map[int]int{}
		for number, addr := range e.Counters {
			l.counterNumbers[number], _ = strconv.Atoi(addr)
		}
	case timerEffect:
		incarnation := l.incarnation
		l.w.sim.At(e.at, func() {
			if l.incarnation == incarnation {
				l.dispatch(e)
			}
		})
	}
}

// try sends a request on. It counts as sent when it has come whole.
func (l *limiter) startAttempt(e core.Try) {
	r := e.Origin.(*request)
	f := &attempt{l: l, key: e.Key, req: r, n: l.w.byID[e.Server]}
	l.attempts[e.Key] = f
	if f.n == nil {
		f.terminate(logic.ConnectFailed)
		return
	}
	l.w.audit.recordAttempt(l, f.n, r)
	l.sendAttempt(f, func() {
		f.j = &job{work: r.workAt(e.Key.Try), reply: func(s logic.Status) { f.respond(s) }}
		l.w.audit.recordDelivery(f, r, e.Key.Try)
		f.n.accept(f.j)
	})
}

// send carries a flight to its node over a connection that stands idle, or a new one.
func (l *limiter) sendAttempt(f *attempt, onDelivered func()) {
	n, oneWay := f.n, l.w.delay(l.hall, f.n.hall)
	if n.idle[l.rank] > 0 {
		n.idle[l.rank]--
	} else {
		oneWay = 3*oneWay + milliseconds(l.w.s.Node.HandshakeMS)
		if n.up && l.w.s.Node.MaxConns > 0 && n.conns >= l.w.s.Node.MaxConns {
			l.w.sim.After(oneWay, func() { f.terminate(logic.ConnectFailed) })
			return
		}
		n.conns++
	}
	incarnation := n.incarnation
	l.w.sim.After(oneWay, func() {
		switch {
		case f.ended:
			n.returnConn(l.rank, incarnation)
		case l.w.hallLost(n) || l.w.separated(l.hall, n.hall):
			// silence: it never comes up
			l.w.sim.After(250*time.Millisecond, func() { f.terminate(logic.ConnectFailed) })
		case !n.up || n.incarnation != incarnation:
			f.terminate(logic.ConnectFailed)
		default:
			f.state, f.holdsConn = 1, true
			onDelivered()
		}
	})
}

// rest puts a connection among the idle ones.
func (n *node) returnConn(rank, incarnation int) {
	if n.incarnation == incarnation {
		n.idle[rank]++
	}
}

// answer carries a node's answer back.
func (f *attempt) respond(s logic.Status) {
	n, incarnation := f.n, f.n.incarnation
	f.releaseSlot()
	if s == logic.OK {
		f.load = n.loadReport()
	}
	f.l.w.sim.After(f.l.w.delay(f.n.hall, f.l.hall), func() {
		if f.ended || f.l.w.hallLost(n) || f.l.w.outboundCuts[n.hall] > 0 && n.hall != f.l.hall || f.l.w.separated(n.hall, f.l.hall) {
			return
		}
		n.returnConn(f.l.rank, incarnation)
		f.complete(s)
	})
}

// end ends the wait by this side: the connection is closed, so its place at the node is free.
func (f *attempt) terminate(s logic.Status) {
	if f.ended {
		return
	}
	if f.holdsConn && f.n.conns > 0 {
		f.n.conns--
	}
	f.releaseSlot()
	if f.j != nil {
		f.n.cancel(f.j)
	}
	f.complete(s)
}

// back notes that the attempt is no longer out.
func (f *attempt) releaseSlot() {
	if f.inFlight {
		f.inFlight = false
		f.req.f.ledger.inFlight--
	}
}

func (f *attempt) discard() {
	f.ended = true
	f.releaseSlot()
	if f.j != nil {
		f.n.cancel(f.j)
	}
}

func (f *attempt) complete(s logic.Status) {
	if f.ended {
		return
	}
	f.ended = true
	delete(f.l.attempts, f.key)
	if f.j != nil {
		f.l.w.audit.recordAttemptEnd(f, s)
	}
	f.l.dispatch(core.Outcome{Key: f.key, Status: s, Value: "v", Load: f.load})
}
