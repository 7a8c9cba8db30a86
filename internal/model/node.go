package model

import (
	"math/rand/v2"
	"time"

	"bramblefall/logic"
)

// node is an exchange node: cores, a limited number of requests that share them, and a bounded queue. A process that starts
// is cold, and its speed grows linearly until it is warm.
type node struct {
	w           *World
	id          logic.ServerID
	hall        int
	cores       int
	speed       float64 // of one core, relative to a core of speed 1
	rng         *rand.Rand
	state       logic.ServerState // the true state, which limiters learn late
	started     time.Duration     // 0: before the run, so that it is warm
	up          bool
	pausedUntil time.Duration // no request ends earlier
	incarnation int           // counts the ends of its process; jobs of an earlier incarnation are lost
	inService   int
	queue       []*job
	conns       int
	idle        []int // idle connections by limiter
	collapsed   bool  // overloaded while cold: it stays down for the rest of the run
	recentWork  []workArrival
	answeredAt  []time.Duration // times of the answers in the last second; empty unless throughput is reported
}

// workArrival is work that a node received while it was cold.
type workArrival struct {
	at   time.Duration
	work float64 // seconds of one core
}

// job is an attempt that a node has received.
type job struct {
	work        float64 // seconds of one core
	cancelled   bool    // the caller no longer waits
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

// warmupFactor is the share of its full speed that a node has reached.
func (n *node) warmupFactor() float64 {
	if n.started == 0 || n.w.s.Node.ColdSeconds <= 0 {
		return 1
	}
	age := (n.w.sim.now - n.started).Seconds() / n.w.s.Node.ColdSeconds
	return min(1, n.w.s.Node.ColdShare+(1-n.w.s.Node.ColdShare)*age)
}

// accept queues an attempt that was received whole, or rejects it if the queue is full or the node drains.
func (n *node) accept(j *job) {
	k := n.w.s.Node
	n.w.audit.recordNodeWork(n, j.work)
	if n.inService >= k.MaxRunning && len(n.queue) >= k.MaxQueued || n.state == logic.Draining {
		j.reply(logic.Full)
		return
	}
	j.incarnation = n.incarnation
	n.queue = append(n.queue, j)
	n.startQueued()
}

// startQueued starts queued requests while there are free slots. Requests in service share the cores evenly, and each one
// beyond the number of cores slows them. A request keeps the speed that holds when it starts.
func (n *node) startQueued() {
	for n.inService < n.w.s.Node.MaxRunning && len(n.queue) > 0 {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if j.cancelled && n.w.s.Node.DropsCancelled {
			continue
		}
		n.inService++
		j.running = true
		excess := max(0, n.inService-n.cores)
		speed := n.speed * n.warmupFactor() / (1 + float64(excess)/float64(n.cores)) / (1 + n.w.s.Node.ContentionSlowdown*float64(excess))
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
	if n.pausedUntil > n.w.sim.now { // the node was paused while the request ran
		n.w.sim.At(n.pausedUntil+milliseconds(1), func() { n.complete(j, incarnation) })
		return
	}
	n.inService--
	j.running = false
	j.reply(logic.OK)
	n.startQueued()
}

// cancel marks that the caller of a job no longer waits.
func (n *node) cancel(j *job) {
	j.cancelled = true
	if n.w.s.Node.StopsCancelled && j.running && j.incarnation == n.incarnation {
		j.running = false
		n.inService--
		n.startQueued()
	}
}

// loadReport is the load report in an answer: the requests answered in the last second, with up to 10% of noise. It is nil
// if nodes do not report.
func (n *node) loadReport() []float64 {
	if !n.w.s.Node.ReportsThroughput {
		return nil
	}
	now := n.w.sim.now
	n.answeredAt = append(n.answeredAt, now)
	for n.answeredAt[0] < now-time.Second {
		n.answeredAt = n.answeredAt[1:]
	}
	return []float64{float64(len(n.answeredAt)) * (0.9 + 0.2*n.rng.Float64())}
}

// terminate ends the process. Its callers see a reset, or nothing if it ends silently.
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

// start starts a new process, which is cold. A node that collapsed stays down.
func (n *node) start() {
	if n.collapsed {
		return
	}
	n.up, n.state, n.started = true, logic.Ready, n.w.sim.now
	n.recentWork = nil
}
