package model

import (
	"slices"
	"strconv"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// Decider makes the decisions of a simulated limiter. It is the project's reducer or a textbook policy.
type Decider interface {
	Reduce(now time.Duration, ev core.Event, effects []core.Effect) []core.Effect
}

// Policy creates the deciders of a run, one for each start of a limiter.
type Policy struct {
	Name string
	New  func(set logic.Settings, seed uint64) Decider
}

// ProjectPolicy is the policy that runs the project's own reducer and module.
func ProjectPolicy() Policy {
	return Policy{"bramblefall", func(set logic.Settings, seed uint64) Decider {
		limits := plans.DefaultLimits
		limits.MaxRequestUnits = set.MostUnits
		return core.New(set, seed, plans.New(set.Plans, limits))
	}}
}

// limiter is a simulated limiter process with the agent that keeps its list of nodes.
type limiter struct {
	w              *World
	rank           int
	hall           int
	incarnation    int
	up             bool
	stalledUntil   time.Duration // events are handled no earlier
	decider        Decider
	effects        []core.Effect
	attempts       map[core.Key]*attempt
	servers        []logic.Server                   // kept over a restart
	serverIndex    map[logic.ServerID]int           // index in servers
	leavingSince   map[logic.ServerID]time.Duration // when the limiter was told that the node drains or is gone
	lastUpdateAt   time.Duration                    // when the last update of discovery arrives
	openRequests   map[*request]struct{}
	downDetectedAt time.Duration // when the front notices the crash
	dispatching    bool          // an event is being handled; further events wait in inbox
	inbox          []core.Event
	counterNumbers map[int]int   // index in World.counters by the number that the decider uses; nil: the only counter is number 0
	CPU            time.Duration // spent in the decider; 0 unless measured
}

// attempt is one attempt of a limiter to have a request served by a node.
type attempt struct {
	limiter   *limiter
	key       core.Key
	node      *node
	job       *job
	state     uint8 // attemptConnecting or attemptDelivered
	ended     bool
	request   *request
	holdsConn bool
	inFlight  bool // counts towards the firm's cap on concurrent attempts
	load      []float64
}

// States of an attempt.
const (
	attemptConnecting uint8 = 0
	attemptDelivered  uint8 = 1
)

// start starts a new process of the limiter. Its agent has kept the list of nodes.
func (l *limiter) start() {
	l.up, l.incarnation = true, l.incarnation+1
	l.attempts, l.inbox = map[core.Key]*attempt{}, nil
	l.openRequests = map[*request]struct{}{}
	seed := newRand(l.w.seed, "limiter", l.rank*1000+l.incarnation).Uint64()
	l.decider = l.w.policy.New(l.w.settings(l.rank), seed)
	if r, ok := l.decider.(*core.Reducer); ok && l.w.s.Counter.Count > 0 {
		r.ShardCounters(l.w.sim.now, l.w.counterAddresses(l.rank), l.incarnation == 1)
	}
	if r, ok := l.decider.(*core.Reducer); ok && l.w.s.Counter.Count > 0 {
		for _, e := range r.Start(l.w.sim.now, nil) {
			l.apply(e)
		}
	}
	l.dispatch(core.UpstreamGroup{ServerList: logic.ServerList{Complete: true, Cached: true, Servers: append([]logic.Server(nil), l.servers...)}})
	l.watchDiscovery()
}

// watchDelaySeconds is the time from the start of a watch until it brings the whole list.
const watchDelaySeconds = 0.2

// watchDiscovery sends the limiter the whole list, as its watch would, as soon as discovery answers.
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

// crash ends the limiter's process. Its attempts are discarded, and its clients lose their requests.
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
	l.downDetectedAt = l.w.sim.now + seconds(l.w.s.Clients.DownDetectionSeconds.draw(l.w.rng))
	for _, r := range l.openInOrder() {
		r.loseLimiter()
	}
	l.openRequests = nil
}

// openInOrder returns the requests that the limiter has not answered, in the order of their arrival.
func (l *limiter) openInOrder() []*request {
	all := make([]*request, 0, len(l.openRequests))
	for r := range l.openRequests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return int(a.id) - int(b.id) })
	return all
}

// dispatch handles an event and applies its effects. A stalled limiter handles it when the stall ends.
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
	for k := 0; k < len(l.inbox); k++ { // an effect may dispatch further events
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

// apply carries out an effect of the decider.
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
			if f.state == attemptConnecting && reason == logic.Timeout {
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
		l.w.counters[l.counterNumbers[e.Counter]].call(l.rank, e.Name, e.Amount, e.TTL, func(s logic.Status, total float64) {
			l.w.audit.recordCallEnd(made, e.Deadline, s)
			if l.incarnation == incarnation {
				l.dispatch(core.CountResult{Call: e.Call, Status: s, Total: total})
			}
		})
	case core.SetCounters:
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

// startAttempt sends a request to a node. The attempt counts as sent once the node has received it whole.
func (l *limiter) startAttempt(e core.Try) {
	r := e.Origin.(*request)
	f := &attempt{limiter: l, key: e.Key, request: r, node: l.w.byID[e.Server]}
	l.attempts[e.Key] = f
	if f.node == nil {
		f.terminate(logic.ConnectFailed)
		return
	}
	l.w.audit.recordAttempt(l, f.node, r)
	l.sendAttempt(f, func() {
		f.job = &job{work: r.workAt(e.Key.Try), reply: func(s logic.Status) { f.respond(s) }}
		l.w.audit.recordDelivery(f, r, e.Key.Try)
		f.node.accept(f.job)
	})
}

// sendAttempt delivers an attempt to its node, over an idle connection if there is one and else over a new one.
func (l *limiter) sendAttempt(f *attempt, onDelivered func()) {
	n, oneWay := f.node, l.w.delay(l.hall, f.node.hall)
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
			// The node never answers, so connecting times out after 250 ms.
			l.w.sim.After(250*time.Millisecond, func() { f.terminate(logic.ConnectFailed) })
		case !n.up || n.incarnation != incarnation:
			f.terminate(logic.ConnectFailed)
		default:
			f.state, f.holdsConn = attemptDelivered, true
			onDelivered()
		}
	})
}

// returnConn makes a limiter's connection idle again, unless the node has restarted since.
func (n *node) returnConn(rank, incarnation int) {
	if n.incarnation == incarnation {
		n.idle[rank]++
	}
}

// respond carries the node's answer back to the limiter.
func (f *attempt) respond(s logic.Status) {
	n, incarnation := f.node, f.node.incarnation
	f.releaseSlot()
	if s == logic.OK {
		f.load = n.loadReport()
	}
	f.limiter.w.sim.After(f.limiter.w.delay(f.node.hall, f.limiter.hall), func() {
		if f.ended || f.limiter.w.hallLost(n) || f.limiter.w.outboundCuts[n.hall] > 0 && n.hall != f.limiter.hall || f.limiter.w.separated(n.hall, f.limiter.hall) {
			return
		}
		n.returnConn(f.limiter.rank, incarnation)
		f.complete(s)
	})
}

// terminate ends an attempt without an answer. Its connection is closed, which frees its place at the node.
func (f *attempt) terminate(s logic.Status) {
	if f.ended {
		return
	}
	if f.holdsConn && f.node.conns > 0 {
		f.node.conns--
	}
	f.releaseSlot()
	if f.job != nil {
		f.node.cancel(f.job)
	}
	f.complete(s)
}

// releaseSlot stops counting the attempt towards the firm's cap on concurrent attempts.
func (f *attempt) releaseSlot() {
	if f.inFlight {
		f.inFlight = false
		f.request.firm.ledger.inFlight--
	}
}

// discard ends an attempt whose limiter has crashed, which is told nothing.
func (f *attempt) discard() {
	f.ended = true
	f.releaseSlot()
	if f.job != nil {
		f.node.cancel(f.job)
	}
}

// complete passes the outcome of an attempt to its limiter.
func (f *attempt) complete(s logic.Status) {
	if f.ended {
		return
	}
	f.ended = true
	delete(f.limiter.attempts, f.key)
	if f.job != nil {
		f.limiter.w.audit.recordAttemptEnd(f, s)
	}
	f.limiter.dispatch(core.Outcome{Key: f.key, Status: s, Value: "v", Load: f.load})
}
