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
	w       *World
	rank    int
	hall    int
	life    int
	up      bool
	stalled time.Duration // it handles nothing until then
	d       Decider
	effects []core.Effect
	tries   map[core.Key]*flight
	known   []logic.Server                   // its list, kept over a restart
	places  map[logic.ServerID]int           // in that list
	left    map[logic.ServerID]time.Duration // when it was told that a node drains or is gone
	hears   time.Duration                    // when the last news come
	open    map[*request]struct{}
	downAt  time.Duration
	notice  time.Duration // the front sees that it is down
	busy    bool          // in a step: what it asks of itself waits
	inbox   []core.Event
	reach   map[int]int   // counters by the decider's numbers; none: number 0 alone
	CPU     time.Duration // spent in the decider, where it is measured
}

// flight is a try that is out.
type flight struct {
	l     *limiter
	key   core.Key
	n     *node
	j     *job
	state uint8 // 0: on its way, 1: at the node
	ended bool
	req   *request
	conn  bool
	out   bool // it counts for the cap on attempts out
	load  []float64
}

func (l *limiter) start() {
	l.up, l.life = true, l.life+1
	l.tries, l.inbox = map[core.Key]*flight{}, nil
	l.open = map[*request]struct{}{}
	seed := source(l.w.seed, "limiter", l.rank*1000+l.life).Uint64()
	l.d = l.w.policy.New(l.w.settings(l.rank), seed)
	if r, ok := l.d.(*core.Reducer); ok && l.w.s.Counter.Count > 0 {
		r.Spread(l.w.sim.now, l.w.listed(l.rank), l.life == 1)
	}
	if r, ok := l.d.(*core.Reducer); ok && l.w.s.Counter.Count > 0 {
		for _, e := range r.Begin(l.w.sim.now, nil) {
			l.run(e)
		}
	}
	l.post(core.UpstreamGroup{ServerList: logic.ServerList{Whole: true, Cached: true, Servers: append([]logic.Server(nil), l.known...)}})
	l.watch()
}

const watchTakes = 0.2 // seconds

// watch has the limiter told the whole list, as its watch would bring it, once discovery answers.
func (l *limiter) watch() {
	life := l.life
	l.w.sim.At(l.w.sim.now+seconds(watchTakes), func() {
		switch {
		case l.life != life:
		case l.w.deaf:
			l.watch()
		default:
			l.w.tellAll(l)
		}
	})
}

func (l *limiter) die() {
	if !l.up {
		return
	}
	l.up = false
	l.life++
	for _, f := range l.tries {
		f.drop()
	}
	l.tries = nil
	l.downAt = l.w.sim.now
	l.notice = l.w.sim.now + seconds(l.w.s.Clients.NoticeS.draw(l.w.rng))
	for _, r := range l.held() {
		r.cut()
	}
	l.open = nil
}

// held is the requests that it owes an answer, in the order in which they came.
func (l *limiter) held() []*request {
	all := make([]*request, 0, len(l.open))
	for r := range l.open {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return int(a.id) - int(b.id) })
	return all
}

// post hands an event in. A limiter that stands still handles it when it goes on.
func (l *limiter) post(ev core.Event) {
	if !l.up {
		return
	}
	if l.stalled > l.w.sim.now {
		life := l.life
		l.w.sim.At(l.stalled, func() {
			if l.life == life {
				l.post(ev)
			}
		})
		return
	}
	l.inbox = append(l.inbox, ev)
	if l.busy {
		return
	}
	l.busy = true
	for k := 0; k < len(l.inbox); k++ { // an effect may post more
		began := l.w.clock()
		if a, ok := l.inbox[k].(alarm); ok {
			l.effects = append(l.effects[:0], a.ring(l.w.sim.now)...)
		} else {
			l.effects = l.d.Reduce(l.w.sim.now, l.inbox[k], l.effects[:0])
		}
		l.CPU += l.w.clock() - began
		for _, e := range l.effects {
			l.run(e)
		}
	}
	clear(l.inbox)
	l.inbox, l.busy = l.inbox[:0], false
}

func (l *limiter) run(e core.Effect) {
	switch e := e.(type) {
	case core.SetTimer:
		life := l.life
		l.w.sim.At(e.At, func() {
			if l.life == life {
				l.post(e.Timer)
			}
		})
	case core.Try:
		l.try(e)
	case core.Abandon:
		if f := l.tries[e.Key]; f != nil {
			reason := e.Reason
			if f.state == 0 && reason == logic.Timeout {
				reason = logic.ConnectFailed
			}
			f.end(reason)
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
		life, made := l.life, l.w.sim.now
		l.w.audit.called()
		l.w.counters[l.reach[e.Counter]].call(l.rank, e.Name, e.Amount, e.Lives, func(s logic.Status, total float64) {
			l.w.audit.heard(made, e.Until, s)
			if l.life == life {
				l.post(core.CountResult{Call: e.Call, Status: s, Total: total})
			}
		})
	case core.Reach:
		l.reach = map[int]int{}
		for number, addr := range e.Counters {
			l.reach[number], _ = strconv.Atoi(addr)
		}
	case alarm:
		life := l.life
		l.w.sim.At(e.at, func() {
			if l.life == life {
				l.post(e)
			}
		})
	}
}

// try sends a request on. It counts as sent when it has come whole.
func (l *limiter) try(e core.Try) {
	r := e.Origin.(*request)
	f := &flight{l: l, key: e.Key, req: r, n: l.w.byID[e.Server]}
	l.tries[e.Key] = f
	if f.n == nil {
		f.end(logic.ConnectFailed)
		return
	}
	l.w.audit.tried(l, f.n, r)
	l.send(f, func() {
		f.j = &job{work: r.workAt(e.Key.Try), reply: func(s logic.Status) { f.answer(s) }}
		l.w.audit.came(f, r, e.Key.Try)
		f.n.take(f.j)
	})
}

// send carries a flight to its node over a connection that stands idle, or a new one.
func (l *limiter) send(f *flight, arrive func()) {
	n, there := f.n, l.w.delay(l.hall, f.n.hall)
	if n.idle[l.rank] > 0 {
		n.idle[l.rank]--
	} else {
		there = 3*there + milliseconds(l.w.s.Node.HandshakeMS)
		if n.up && l.w.s.Node.Conns > 0 && n.conns >= l.w.s.Node.Conns {
			l.w.sim.After(there, func() { f.end(logic.ConnectFailed) })
			return
		}
		n.conns++
	}
	life := n.life
	l.w.sim.After(there, func() {
		switch {
		case f.ended:
			n.rest(l.rank, life)
		case l.w.cutOff(n) || l.w.between(l.hall, n.hall):
			// silence: it never comes up
			l.w.sim.After(250*time.Millisecond, func() { f.end(logic.ConnectFailed) })
		case !n.up || n.life != life:
			f.end(logic.ConnectFailed)
		default:
			f.state, f.conn = 1, true
			arrive()
		}
	})
}

// rest puts a connection among the idle ones.
func (n *node) rest(rank, life int) {
	if n.life == life {
		n.idle[rank]++
	}
}

// answer carries a node's answer back.
func (f *flight) answer(s logic.Status) {
	n, life := f.n, f.n.life
	f.back()
	if s == logic.OK {
		f.load = n.report()
	}
	f.l.w.sim.After(f.l.w.delay(f.n.hall, f.l.hall), func() {
		if f.ended || f.l.w.cutOff(n) || f.l.w.muted[n.hall] > 0 && n.hall != f.l.hall || f.l.w.between(n.hall, f.l.hall) {
			return
		}
		n.rest(f.l.rank, life)
		f.finish(s)
	})
}

// end ends the wait by this side: the connection is closed, so its place at the node is free.
func (f *flight) end(s logic.Status) {
	if f.ended {
		return
	}
	if f.conn && f.n.conns > 0 {
		f.n.conns--
	}
	f.back()
	if f.j != nil {
		f.n.leave(f.j)
	}
	f.finish(s)
}

// back notes that the attempt is no longer out.
func (f *flight) back() {
	if f.out {
		f.out = false
		f.req.f.truth.out--
	}
}

func (f *flight) drop() {
	f.ended = true
	f.back()
	if f.j != nil {
		f.n.leave(f.j)
	}
}

func (f *flight) finish(s logic.Status) {
	if f.ended {
		return
	}
	f.ended = true
	delete(f.l.tries, f.key)
	if f.j != nil {
		f.l.w.audit.told(f, s)
	}
	f.l.post(core.Outcome{Key: f.key, Status: s, Value: "v", Load: f.load})
}
