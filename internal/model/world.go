package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// World is one run of a scenario.
type World struct {
	s      Scenario
	seed   uint64
	policy Policy
	sim    Sim
	rng    *rand.Rand
	timed  bool

	limiters []*limiter
	nodes    []*node
	byID     map[logic.ServerID]*node
	lastID   logic.ServerID
	counters []*counter
	lists    []listed // of counters, by limiter
	firms    []*firm
	classes  []class
	audit    *audit
	hallDown []bool
	deaf     bool
	apart    bool  // regions are cut from each other
	muted    []int // cuts of what a hall's nodes say to others
	deferred []func()
	flood    float64 // one-off senders a second beside the scenario's
	nextID   uint64
	scan     *rand.Rand
	scanTurn uint64
	scanned  uint64
}

// listed is the counters on a limiter's list: from the first one on, so many.
type listed struct{ from, count int }

func (w *World) listed(rank int) []string {
	l := w.lists[rank]
	return addresses(l.from + l.count)[l.from:]
}

// relist has a limiter read another list of counters.
func (w *World) relist(l *limiter, next listed) {
	w.lists[l.rank] = next
	l.post(core.Counters{Addresses: w.listed(l.rank)})
}

// class is a class with its mean work for this run.
type class struct {
	ClassKind
	mean float64
}

// New makes a run. timed measures the CPU of the deciders, which is the only figure that is not the same each time.
func New(s Scenario, seed uint64, p Policy, timed bool) *World {
	w := &World{s: s, seed: seed, policy: p, timed: timed, rng: source(seed, "world", 0), byID: map[logic.ServerID]*node{},
		hallDown: make([]bool, s.Halls), muted: make([]int, s.Halls)}
	w.sim.now = begin
	w.audit = newAudit(w)
	for k, mean := range DrawWork(s, seed) {
		w.classes = append(w.classes, class{s.Classes[k], mean})
	}
	for k := range s.Nodes {
		w.addNode(k % s.Halls)
	}
	for k := range max(s.Counter.Count+s.Counter.Spare, 1) {
		w.counters = append(w.counters, newCounter(w, k))
	}
	w.lists = make([]listed, s.Limiters)
	for k := range w.lists {
		w.lists[k] = listed{0, s.Counter.Count}
	}
	for k := range s.Limiters {
		l := &limiter{w: w, rank: k, hall: k % s.Halls, known: w.list()}
		w.limiters = append(w.limiters, l)
		l.start()
	}
	w.makeFirms()
	for k, f := range s.Faults {
		w.sim.At(begin+seconds(f.At), func() { w.strike(f, k) })
	}
	return w
}

func (w *World) addNode(hall int) *node {
	w.lastID++
	n := newNode(w, w.lastID, hall)
	w.nodes = append(w.nodes, n)
	w.byID[n.id] = n
	return n
}

// clock is the processor's, where it is measured.
func (w *World) clock() time.Duration {
	if !w.timed {
		return 0
	}
	return time.Since(clockZero)
}

var clockZero = time.Now()

// delay draws a way between two halls.
func (w *World) delay(a, b int) time.Duration {
	r := w.s.Network.WithinMS
	if a != b {
		r = w.s.Network.AcrossMS
	}
	return milliseconds(r.draw(w.rng) + w.s.Network.JitterMS*w.rng.ExpFloat64())
}

// cutOff tells whether nothing is said by a node: its hall is lost.
func (w *World) cutOff(n *node) bool { return w.hallDown[n.hall] }

// between tells whether two halls lie in regions that are cut from each other.
func (w *World) between(a, b int) bool { return w.apart && a%2 != b%2 }

// flying is what is out at a node, in the order of its tries.
func (w *World) flying(n *node) (all []*flight) {
	for _, l := range w.limiters {
		for _, r := range l.held() {
			for k := range r.tries {
				if f := l.tries[core.Key{ID: r.id, Try: k}]; f != nil && f.n == n && f.state == 1 {
					all = append(all, f)
				}
			}
		}
	}
	return all
}

func (n *node) line() logic.Server {
	s := logic.Server{ID: n.id, Weight: 1, Zone: n.hall, State: n.state, Started: n.started}
	if !n.up {
		s.State = logic.Gone
	}
	return s
}

// list is the whole list as it is.
func (w *World) list() (all []logic.Server) {
	for _, n := range w.nodes {
		if n.up {
			all = append(all, n.line())
		}
	}
	return all
}

// tellAll gives a limiter the whole list at once, as its agent would.
func (w *World) tellAll(l *limiter) {
	l.learn(logic.ServerList{Whole: true, Servers: w.list()})
}

// changed tells every limiter of some nodes, each as late as it hears of it.
func (w *World) changed(nodes ...*node) {
	since := w.sim.now
	tell := func() {
		for _, l := range w.limiters {
			var lines []logic.Server
			for _, n := range nodes {
				lines = append(lines, n.line())
			}
			late := seconds(w.s.Discovery.Late.draw(w.rng))
			at := max(w.sim.now+late, l.hears+1)
			l.hears = at // news come in order
			w.sim.At(at, func() {
				w.audit.inForce(l, since, len(lines))
				l.learn(logic.ServerList{Servers: lines})
			})
		}
	}
	if w.deaf {
		w.deferred = append(w.deferred, tell)
		return
	}
	tell()
}

// learn is what discovery tells a limiter, also while it is down: its agent keeps it.
func (l *limiter) learn(list logic.ServerList) {
	if list.Whole {
		l.known, l.places = nil, nil
	}
	if l.places == nil {
		l.places = map[logic.ServerID]int{}
		for k, s := range l.known {
			l.places[s.ID] = k
		}
	}
	for _, s := range list.Servers {
		if k, ok := l.places[s.ID]; ok {
			l.known[k] = s
		} else {
			l.places[s.ID] = len(l.known)
			l.known = append(l.known, s)
		}
		if s.State != logic.Ready {
			if l.left == nil {
				l.left = map[logic.ServerID]time.Duration{}
			}
			if _, ok := l.left[s.ID]; !ok {
				l.left[s.ID] = l.w.sim.now
			}
		} else {
			delete(l.left, s.ID)
		}
	}
	l.post(core.UpstreamGroup{ServerList: list})
}

// settings are what a limiter is told at its start.
func (w *World) settings(rank int) logic.Settings {
	s := logic.Settings{Gateways: w.s.Limiters, Rank: rank, Zone: rank % w.s.Halls, Zones: w.s.Halls, Plans: w.s.Tiers,
		HasCounter: true, CounterLimit: milliseconds(w.s.Counter.TimeoutMS), MostUnits: float64(w.s.Units.Most), Probes: true, Cancelling: true,
		RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: w.s.Rules.Attempts, Resolution: 2 * time.Millisecond,
		ReportFields:  []logic.LoadField{logic.Queue, logic.Utilization, logic.Inflight},
		StartCapacity: w.s.Node.ColdShare, Cold: seconds(w.s.Node.ColdSeconds), Fall: seconds(w.s.Rules.Fall),
		FallMultiple: w.s.Rules.FallMultiple, DrainGrace: seconds(w.s.Rules.DrainGrace)}
	if w.s.Node.Reports {
		s.ReportFields, s.ReportsInAnswers = []logic.LoadField{logic.Throughput}, true
	}
	for _, c := range w.s.Classes {
		k := logic.Class{Name: c.Name, Aim: seconds(c.Aim), Deadline: seconds(c.Deadline), Worth: c.Worth, Late: c.Late}
		if c.Keyed {
			k.Effect, k.KeyGroup, k.KeyTTL = logic.Keyed, logic.GroupZone, seconds(c.KeyTTL)
		}
		if c.Unsafe {
			k.Effect = logic.Unsafe
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

// Run plays the scenario and a little longer, until all is answered.
func (w *World) Run() Result {
	longest := 0.0
	for _, c := range w.s.Classes {
		longest = max(longest, c.Deadline)
	}
	w.sim.Run(begin + seconds(w.s.Seconds))
	for _, f := range w.firms {
		f.over = true
	}
	w.flood, w.s.Firms.OneOffs = 0, 0
	w.sim.Run(begin + seconds(w.s.Seconds+longest+1))
	return w.audit.result()
}

// strike begins a fault, and plans its end.
func (w *World) strike(f Fault, n int) {
	rng := source(w.seed, "fault", n)
	some := func(of int) []int { return f.some(rng, of) }
	var up []*node // what is down already is no choice
	for _, n := range w.nodes {
		if n.up {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return
	}
	end := func(do func()) { w.sim.After(seconds(f.For), do) }
	switch f.Kind {
	case FaultFlush:
		salt := rng.Uint64()
		for _, c := range w.counters {
			c.flush(f.Part, salt)
		}
	case FaultSlow:
		for _, c := range w.counters {
			c.slow = f.Size
			end(func() { c.slow = 1 })
		}
	case FaultSilent:
		for _, c := range w.counters {
			c.silent = true
			end(func() { c.silent = false })
		}
	case FaultRegions:
		w.apart = true
		for _, c := range w.counters {
			c.cut()
		}
		end(func() {
			w.apart = false
			for _, c := range w.counters {
				c.heal()
			}
		})
	case FaultSplit:
		for _, c := range w.counters {
			c.cut()
			end(c.heal)
		}
	case FaultLost:
		c := w.counters[f.Hall%len(w.counters)]
		c.dies()
		end(func() { c.dead = false })
	case FaultList:
		if w.s.Counter.Count == 0 {
			return // there is no list
		}
		next := listed{f.Hall, int(f.Size)}
		later := some(len(w.limiters))
		for _, l := range w.limiters {
			if slices.Contains(later, l.rank) {
				end(func() { w.relist(l, next) })
			} else {
				w.relist(l, next)
			}
		}
	case FaultHot:
		for _, k := range Hot(w.seed, n, len(w.firms)) {
			fm := w.firms[k]
			fm.hot = f.Size * w.usual() / 3
			fm.again()
			end(func() { fm.hot = 0 })
		}
	case FaultScan:
		more := f.Size * w.usual()
		w.flood += more
		w.oneOffs()
		end(func() { w.flood = max(0, w.flood-more) })
	case FaultHall:
		w.loseHall(f, end)
	case FaultLimiters:
		for _, k := range some(len(w.limiters)) {
			l := w.limiters[k]
			l.die()
			end(l.start)
		}
	case FaultStall:
		for _, k := range some(len(w.limiters)) {
			w.limiters[k].stalled = w.sim.now + seconds(f.For)
		}
	case FaultDrain:
		for _, k := range some(len(up)) {
			w.replace(up[k])
		}
	case FaultCrash:
		for _, k := range some(len(up)) {
			n := up[k]
			n.end(false)
			w.changed(n)
			end(func() { n.start(); w.changed(n) })
		}
	case FaultPause:
		for _, k := range some(len(up)) {
			up[k].paused = w.sim.now + seconds(f.For)
		}
	case FaultCut:
		hall := f.Hall % w.s.Halls
		w.muted[hall]++
		end(func() { w.muted[hall]-- })
	case FaultDeaf:
		w.deaf = true
		end(func() {
			w.deaf = false
			for _, tell := range w.deferred {
				tell()
			}
			w.deferred = nil
		})
	}
}

// some draws the part that a fault meets.
func (f Fault) some(rng *rand.Rand, of int) []int {
	return rng.Perm(of)[:max(1, min(of, int(f.Part*float64(of)+0.5)))]
}

// Hot draws the firms that flood in a scenario's n-th fault, for a seed.
func Hot(seed uint64, n, firms int) []int {
	return source(seed, "hot", n).Perm(firms)[:min(3, firms)]
}

// usual is the requests a second that are asked for on a quiet day.
func (w *World) usual() (sum float64) {
	for _, f := range w.firms {
		sum += f.demand
	}
	return sum + w.s.Firms.OneOffs
}

// meanWork is the work of a request, in seconds of one core.
func (w *World) meanWork() (mean float64) {
	shares := 0.0
	for _, c := range w.classes {
		mean, shares = mean+c.Share*c.mean, shares+c.Share
	}
	return mean / shares
}

// replace drains a node, ends it, and brings another in its place, cold and with a new id.
func (w *World) replace(n *node) {
	if !n.up || n.state != logic.Ready {
		return
	}
	n.state = logic.Draining
	w.changed(n)
	w.sim.After(8*time.Second, func() {
		n.end(false)
		w.changed(n)
		next := w.addNode(n.hall)
		next.started = w.sim.now
		w.changed(next)
	})
}

func (w *World) loseHall(f Fault, end func(func())) {
	hall := f.Hall % w.s.Halls
	limiters := f.Part > 0.5 // else its nodes' processes die, and say so
	w.hallDown[hall] = limiters
	for _, n := range w.nodes {
		if n.hall == hall && n.up {
			n.end(limiters)
			w.changed(n)
		}
	}
	for _, l := range w.limiters {
		if limiters && l.hall == hall {
			l.die()
		}
	}
	if hall == 0 && limiters { // the counters stand there; they are back elsewhere, empty
		for _, c := range w.counters {
			c.down = true
			w.sim.After(5*time.Second, func() {
				c.down = false
				clear(c.copies[0])
			})
		}
	}
	end(func() {
		w.hallDown[hall] = false
		for _, n := range w.nodes {
			if n.hall == hall && !n.up && n.state == logic.Ready {
				n.start()
				w.changed(n)
			}
		}
		for _, l := range w.limiters {
			if !l.up && l.hall == hall {
				l.start()
			}
		}
	})
}

// Play plays on to some seconds after the begin and tells what has come until then.
func (w *World) Play(to float64) Result {
	w.sim.Run(begin + seconds(to))
	return w.audit.result()
}

// NodeView is how a node looks from outside.
type NodeView struct {
	Up, Draining bool
	Busy         float64 // requests in work over cores
}

// Nodes is how the nodes look now.
func (w *World) Nodes() (all []NodeView) {
	for _, n := range w.nodes {
		all = append(all, NodeView{n.up, n.state == logic.Draining, float64(n.working+len(n.queue)) / float64(n.cores)})
	}
	return all
}
