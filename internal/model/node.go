package model

import (
	"math/rand/v2"
	"time"

	"bramblefall/logic"
)

// node is an exchange node: cores that work on some requests at once, slots for them and a waiting room. A process that
// starts is cold and warms evenly.
type node struct {
	w                *World
	id               logic.ServerID
	hall             int
	cores            int
	speed            float64 // of a core
	rng              *rand.Rand
	state            logic.ServerState // what it is in truth; discovery tells it late
	started          time.Duration     // 0: long ago
	up               bool
	pausedUntil      time.Duration // it stands still until then
	incarnation      int           // grows when its process ends: what was in work is lost
	inService        int
	queue            []*job
	conns            int
	idle             []int // open connections that stand idle, by limiter
	collapsed        bool  // pushed over while cold: it stays down
	recentWork       []workArrival
	attemptsReceived int             // attempts that came whole
	answeredAt       []time.Duration // answers of the last second, where they are reported
}

// push is work that came while it was cold.
type workArrival struct {
	at   time.Duration
	work float64 // seconds of one core
}

// job is an attempt at a node.
type job struct {
	work        float64 // seconds of one core
	cancelled   bool    // nobody waits for it any more
	incarnation int
	running     bool
	reply       func(status logic.Status)
}

func newNode(w *World, id logic.ServerID, hall int) *node {
	n := &node{w: w, id: id, hall: hall, rng: newRand(w.seed, "node", int(id)), state: logic.Ready, up: true,
		idle: make([]int, w.s.Limiters), cores: w.s.Node.Cores, speed: 1}
	if len(w.s.Machines) > 0 {
		m := w.s.Machines[0]
		for k, x := 0, n.rng.Float64(); k < len(w.s.Machines) && x >= 0; k++ {
			m = w.s.Machines[k]
			x -= m.Share
		}
		n.cores, n.speed = m.Cores, m.Speed.draw(n.rng)
	}
	return n
}

// warmth is the share of its speed that it has.
func (n *node) warmupFactor() float64 {
	if n.started == 0 || n.w.s.Node.ColdSeconds <= 0 {
		return 1
	}
	age := (n.w.sim.now - n.started).Seconds() / n.w.s.Node.ColdSeconds
	return min(1, n.w.s.Node.ColdShare+(1-n.w.s.Node.ColdShare)*age)
}

// take takes an attempt that has come whole.
func (n *node) accept(j *job) {
	n.attemptsReceived++
	k := n.w.s.Node
	n.w.audit.recordNodeWork(n, j.work)
	if n.inService >= k.Slots && len(n.queue) >= k.Queue || n.state == logic.Draining {
		j.reply(logic.Full)
		return
	}
	j.incarnation = n.incarnation
	n.queue = append(n.queue, j)
	n.startQueued()
}

// serve begins what there is a slot for. Requests in work share the cores evenly; a slot over the cores slows all, and a
// request's speed is that of the moment when it begins.
func (n *node) startQueued() {
	for n.inService < n.w.s.Node.Slots && len(n.queue) > 0 {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if j.cancelled && n.w.s.Node.DropsCancelled {
			continue
		}
		n.inService++
		j.running = true
		excess := max(0, n.inService-n.cores)
		speed := n.speed * n.warmupFactor() / (1 + float64(excess)/float64(n.cores)) / (1 + n.w.s.Node.Thrash*float64(excess))
		incarnation := n.incarnation
		finishAt := n.w.sim.now + seconds(j.work/speed)
		if n.pausedUntil > n.w.sim.now {
			finishAt += n.pausedUntil - n.w.sim.now
		}
		n.w.sim.At(finishAt, func() { n.complete(j, incarnation) })
	}
}

func (n *node) complete(j *job, incarnation int) {
	if incarnation != n.incarnation || !j.running {
		return
	}
	if n.pausedUntil > n.w.sim.now { // it was stopped while this ran
		n.w.sim.At(n.pausedUntil+milliseconds(1), func() { n.complete(j, incarnation) })
		return
	}
	n.inService--
	j.running = false
	j.reply(logic.OK)
	n.startQueued()
}

// leave is the end of the wait for a job.
func (n *node) cancel(j *job) {
	j.cancelled = true
	if n.w.s.Node.StopsCancelled && j.running && j.incarnation == n.incarnation {
		j.running = false
		n.inService--
		n.startQueued()
	}
}

// report is the load that an answer tells: requests answered in the last second, with noise; nil: none is told.
func (n *node) loadReport() []float64 {
	if !n.w.s.Node.Reports {
		return nil
	}
	now := n.w.sim.now
	n.answeredAt = append(n.answeredAt, now)
	for n.answeredAt[0] < now-time.Second {
		n.answeredAt = n.answeredAt[1:]
	}
	return []float64{float64(len(n.answeredAt)) * (0.9 + 0.2*n.rng.Float64())}
}

// end stops the process: all that it held is cut off.
func (n *node) terminate(silent bool) {
	n.up = false
	n.incarnation++
	queued := n.queue
	n.queue, n.inService, n.conns = nil, 0, 0
	clear(n.idle)
	for _, j := range queued {
		if !silent {
			j.reply(logic.Reset)
		}
	}
	for _, f := range n.w.attemptsAt(n) {
		if !silent {
			f.terminate(logic.Reset)
		}
	}
}

// start starts it anew, cold.
func (n *node) start() {
	if n.collapsed {
		return
	}
	n.up, n.state, n.started = true, logic.Ready, n.w.sim.now
	n.recentWork = nil
}
