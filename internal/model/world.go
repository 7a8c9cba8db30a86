package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// World is the simulation of one run of a scenario.
type World struct {
	s          Scenario
	seed       uint64
	policy     Policy
	sim        Sim
	rng        *rand.Rand
	measureCPU bool

	limiters             []*limiter
	nodes                []*node
	byID                 map[logic.ServerID]*node
	lastID               logic.ServerID
	counters             []*counter
	counterLists         []counterRange // by limiter
	firms                []*firm
	classes              []class
	audit                *audit
	hallDown             []bool
	discoverySilent      bool
	regionsCut           bool  // halls of even and of odd number are cut off from each other
	outboundCuts         []int // by hall: active faults that drop what its nodes send to other halls
	pendingAnnouncements []func()
	floodRate            float64 // requests a second of one-off firms, beside the scenario's own
	lastRequestID        uint64
	oneOffRand           *rand.Rand
	oneOffSeq            uint64
	oneOffsSent          uint64
}

// counterRange is the consecutive counters that stand on a limiter's list.
type counterRange struct{ first, count int }

// counterAddresses are the addresses on a limiter's list of counters.
func (w *World) counterAddresses(rank int) []string {
	l := w.counterLists[rank]
	return allCounterAddresses(l.first + l.count)[l.first:]
}

// updateCounterList gives a limiter another list of counters.
func (w *World) updateCounterList(l *limiter, newList counterRange) {
	w.counterLists[l.rank] = newList
	l.dispatch(core.CounterList{Addresses: w.counterAddresses(l.rank)})
}

// class is a request class with the mean work, in seconds of one core, that was drawn for this run.
type class struct {
	ClassKind
	mean float64
}

// New prepares a run. measureCPU measures the time that the deciders take, which is the only figure that differs between
// runs of the same seed.
func New(s Scenario, seed uint64, p Policy, measureCPU bool) *World {
	w := &World{s: s, seed: seed, policy: p, measureCPU: measureCPU, rng: newRand(seed, "world", 0), byID: map[logic.ServerID]*node{},
		hallDown: make([]bool, s.Halls), outboundCuts: make([]int, s.Halls)}
	w.sim.now = epoch
	w.audit = newAudit(w)
	for k, mean := range DrawWork(s, seed) {
		w.classes = append(w.classes, class{s.Classes[k], mean})
	}
	for k := range s.Nodes {
		w.addNode(k % s.Halls)
	}
	for k := range max(s.Counter.Count+s.Counter.SpareCount, 1) {
		w.counters = append(w.counters, newCounter(w, k))
	}
	w.counterLists = make([]counterRange, s.Limiters)
	for k := range w.counterLists {
		w.counterLists[k] = counterRange{0, s.Counter.Count}
	}
	for k := range s.Limiters {
		l := &limiter{w: w, rank: k, hall: k % s.Halls, servers: w.serverEntries()}
		w.limiters = append(w.limiters, l)
		l.start()
	}
	w.createFirms()
	for k, f := range s.Faults {
		w.sim.At(epoch+seconds(f.At), func() { w.injectFault(f, k) })
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

// stopwatch is the real time since the start of the program, or always 0 if decider time is not measured.
func (w *World) stopwatch() time.Duration {
	if !w.measureCPU {
		return 0
	}
	return time.Since(stopwatchStart)
}

var stopwatchStart = time.Now()

// delay draws the one-way delay between two halls.
func (w *World) delay(a, b int) time.Duration {
	r := w.s.Network.WithinMS
	if a != b {
		r = w.s.Network.AcrossMS
	}
	return milliseconds(r.draw(w.rng) + w.s.Network.JitterMS*w.rng.ExpFloat64())
}

// hallLost tells whether a node's hall is cut off, so that nothing from the node arrives.
func (w *World) hallLost(n *node) bool { return w.hallDown[n.hall] }

// separated tells whether two halls lie in regions that are cut off from each other.
func (w *World) separated(a, b int) bool { return w.regionsCut && a%2 != b%2 }

// attemptsAt returns the attempts that a node has received and whose outcome has not reached the limiter, in the order of
// limiters, requests and attempt numbers.
func (w *World) attemptsAt(n *node) (all []*attempt) {
	for _, l := range w.limiters {
		for _, r := range l.openInOrder() {
			for k := range r.attempts {
				if f := l.attempts[core.Key{ID: r.id, Try: k}]; f != nil && f.node == n && f.state == attemptDelivered {
					all = append(all, f)
				}
			}
		}
	}
	return all
}

// serverEntry is the node's entry in the server list.
func (n *node) serverEntry() logic.Server {
	s := logic.Server{ID: n.id, Weight: 1, Zone: n.hall, State: n.state, Started: n.started}
	if !n.up {
		s.State = logic.Gone
	}
	return s
}

// serverEntries is the true list of the nodes that are up.
func (w *World) serverEntries() (all []logic.Server) {
	for _, n := range w.nodes {
		if n.up {
			all = append(all, n.serverEntry())
		}
	}
	return all
}

// sendSnapshot gives a limiter the whole list at once, as its agent would.
func (w *World) sendSnapshot(l *limiter) {
	l.updateServers(logic.ServerList{Complete: true, Servers: w.serverEntries()})
}

// announce tells every limiter of the state of some nodes, each after a delay of its own. While discovery is silent, the
// announcement is deferred.
func (w *World) announce(nodes ...*node) {
	changedAt := w.sim.now
	publish := func() {
		for _, l := range w.limiters {
			var entries []logic.Server
			for _, n := range nodes {
				entries = append(entries, n.serverEntry())
			}
			lag := seconds(w.s.Discovery.DelaySeconds.draw(w.rng))
			at := max(w.sim.now+lag, l.lastUpdateAt+1)
			l.lastUpdateAt = at // updates arrive in order
			w.sim.At(at, func() {
				w.audit.recordChange(l, changedAt, len(entries))
				l.updateServers(logic.ServerList{Servers: entries})
			})
		}
	}
	if w.discoverySilent {
		w.pendingAnnouncements = append(w.pendingAnnouncements, publish)
		return
	}
	publish()
}

// updateServers gives a limiter an update of discovery. Its agent keeps the list also while the limiter is down.
func (l *limiter) updateServers(list logic.ServerList) {
	if list.Complete {
		l.servers, l.serverIndex = nil, nil
	}
	if l.serverIndex == nil {
		l.serverIndex = map[logic.ServerID]int{}
		for k, s := range l.servers {
			l.serverIndex[s.ID] = k
		}
	}
	for _, s := range list.Servers {
		if k, ok := l.serverIndex[s.ID]; ok {
			l.servers[k] = s
		} else {
			l.serverIndex[s.ID] = len(l.servers)
			l.servers = append(l.servers, s)
		}
		if s.State != logic.Ready {
			if l.leavingSince == nil {
				l.leavingSince = map[logic.ServerID]time.Duration{}
			}
			if _, ok := l.leavingSince[s.ID]; !ok {
				l.leavingSince[s.ID] = l.w.sim.now
			}
		} else {
			delete(l.leavingSince, s.ID)
		}
	}
	l.dispatch(core.UpstreamGroup{ServerList: list})
}

// settings are the settings that a limiter starts with.
func (w *World) settings(rank int) logic.Settings {
	s := logic.Settings{Gateways: w.s.Limiters, Rank: rank, Zone: rank % w.s.Halls, Zones: w.s.Halls, Plans: w.s.Tiers,
		HasCounter: true, CounterLimit: milliseconds(w.s.Counter.TimeoutMS), MostUnits: float64(w.s.Units.Max), Probes: true, Cancelling: true,
		RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: w.s.Rules.MaxAttempts, Resolution: 2 * time.Millisecond,
		ReportFields:  []logic.LoadField{logic.Queue, logic.Utilization, logic.Inflight},
		StartCapacity: w.s.Node.ColdShare, Cold: seconds(w.s.Node.ColdSeconds), Fall: seconds(w.s.Rules.OverloadWindowSeconds),
		FallMultiple: w.s.Rules.OverloadFactor, DrainGrace: seconds(w.s.Rules.DrainGraceSeconds)}
	if w.s.Node.ReportsThroughput {
		s.ReportFields, s.ReportsInAnswers = []logic.LoadField{logic.Throughput}, true
	}
	for _, c := range w.s.Classes {
		k := logic.Class{Name: c.Name, Aim: seconds(c.AimSeconds), Deadline: seconds(c.DeadlineSeconds), Worth: c.Worth, Late: c.LateWorthShare}
		if c.KeyedByHall {
			k.Effect, k.KeyGroup, k.KeyTTL = logic.Keyed, logic.GroupZone, seconds(c.KeyTTLSeconds)
		}
		if c.UnsafeToRepeat {
			k.Effect = logic.Unsafe
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

// Run runs the scenario. Then it stops the load and runs on for the longest deadline and one second, so that all requests
// end.
func (w *World) Run() Result {
	longest := 0.0
	for _, c := range w.s.Classes {
		longest = max(longest, c.DeadlineSeconds)
	}
	w.sim.Run(epoch + seconds(w.s.Seconds))
	for _, f := range w.firms {
		f.stopped = true
	}
	w.floodRate, w.s.Firms.OneOffsPerSecond = 0, 0
	w.sim.Run(epoch + seconds(w.s.Seconds+longest+1))
	return w.audit.result()
}

// injectFault starts the n-th fault of the scenario and schedules its end.
func (w *World) injectFault(f Fault, n int) {
	rng := newRand(w.seed, "fault", n)
	pick := func(of int) []int { return f.pick(rng, of) }
	var up []*node // only these can be hit
	for _, n := range w.nodes {
		if n.up {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return
	}
	atEnd := func(do func()) { w.sim.After(seconds(f.For), do) }
	switch f.Kind {
	case FaultFlush:
		salt := rng.Uint64()
		for _, c := range w.counters {
			c.flush(f.Part, salt)
		}
	case FaultSlow:
		for _, c := range w.counters {
			c.slowdown = f.Size
			atEnd(func() { c.slowdown = 1 })
		}
	case FaultSilent:
		for _, c := range w.counters {
			c.silent = true
			atEnd(func() { c.silent = false })
		}
	case FaultRegions:
		w.regionsCut = true
		for _, c := range w.counters {
			c.partition()
		}
		atEnd(func() {
			w.regionsCut = false
			for _, c := range w.counters {
				c.heal()
			}
		})
	case FaultSplit:
		for _, c := range w.counters {
			c.partition()
			atEnd(c.heal)
		}
	case FaultLost:
		c := w.counters[f.Hall%len(w.counters)]
		c.loseProcess()
		atEnd(func() { c.crashed = false })
	case FaultList:
		if w.s.Counter.Count == 0 {
			return // the platform's single counter is not on a list
		}
		newList := counterRange{f.Hall, int(f.Size)}
		lateLimiters := pick(len(w.limiters))
		for _, l := range w.limiters {
			if slices.Contains(lateLimiters, l.rank) {
				atEnd(func() { w.updateCounterList(l, newList) })
			} else {
				w.updateCounterList(l, newList)
			}
		}
	case FaultHot:
		for _, k := range DrawFloodingFirms(w.seed, n, len(w.firms)) {
			target := w.firms[k]
			target.floodDemand = f.Size * w.normalDemand() / 3
			target.scheduleArrival()
			atEnd(func() { target.floodDemand = 0 })
		}
	case FaultScan:
		extraRate := f.Size * w.normalDemand()
		w.floodRate += extraRate
		w.scheduleOneOff()
		atEnd(func() { w.floodRate = max(0, w.floodRate-extraRate) })
	case FaultHall:
		w.failHall(f, atEnd)
	case FaultLimiters:
		for _, k := range pick(len(w.limiters)) {
			l := w.limiters[k]
			l.crash()
			atEnd(l.start)
		}
	case FaultStall:
		for _, k := range pick(len(w.limiters)) {
			w.limiters[k].stalledUntil = w.sim.now + seconds(f.For)
		}
	case FaultDrain:
		for _, k := range pick(len(up)) {
			w.replaceNode(up[k])
		}
	case FaultCrash:
		for _, k := range pick(len(up)) {
			n := up[k]
			n.terminate(false)
			w.announce(n)
			atEnd(func() { n.start(); w.announce(n) })
		}
	case FaultPause:
		for _, k := range pick(len(up)) {
			up[k].pausedUntil = w.sim.now + seconds(f.For)
		}
	case FaultCut:
		hall := f.Hall % w.s.Halls
		w.outboundCuts[hall]++
		atEnd(func() { w.outboundCuts[hall]-- })
	case FaultDeaf:
		w.discoverySilent = true
		atEnd(func() {
			w.discoverySilent = false
			for _, publish := range w.pendingAnnouncements {
				publish()
			}
			w.pendingAnnouncements = nil
		})
	}
}

// pick draws which of a number of instances a fault hits, at least one.
func (f Fault) pick(rng *rand.Rand, of int) []int {
	return rng.Perm(of)[:max(1, min(of, int(f.Part*float64(of)+0.5)))]
}

// DrawFloodingFirms draws the indices of the firms, three at most, that flood in a scenario's n-th fault, for a seed.
func DrawFloodingFirms(seed uint64, n, firms int) []int {
	return newRand(seed, "hot", n).Perm(firms)[:min(3, firms)]
}

// normalDemand is the requests a second that are asked for without faults.
func (w *World) normalDemand() (sum float64) {
	for _, f := range w.firms {
		sum += f.demand
	}
	return sum + w.s.Firms.OneOffsPerSecond
}

// meanWork is the mean work of a request over all classes, in seconds of one core.
func (w *World) meanWork() (mean float64) {
	shares := 0.0
	for _, c := range w.classes {
		mean, shares = mean+c.Share*c.mean, shares+c.Share
	}
	return mean / shares
}

// replaceNode drains a node, ends it 8 s later, and starts another in its place, cold and with a new id.
func (w *World) replaceNode(n *node) {
	if !n.up || n.state != logic.Ready {
		return
	}
	n.state = logic.Draining
	w.announce(n)
	w.sim.After(8*time.Second, func() {
		n.terminate(false)
		w.announce(n)
		successor := w.addNode(n.hall)
		successor.started = w.sim.now
		w.announce(successor)
	})
}

// failHall crashes a hall's nodes, or cuts off the hall with its limiters if the fault's part is over a half.
func (w *World) failHall(f Fault, atEnd func(func())) {
	hall := f.Hall % w.s.Halls
	wholeHall := f.Part > 0.5 // otherwise only the nodes' processes crash, and their connections are reset
	w.hallDown[hall] = wholeHall
	for _, n := range w.nodes {
		if n.hall == hall && n.up {
			n.terminate(wholeHall)
			w.announce(n)
		}
	}
	for _, l := range w.limiters {
		if wholeHall && l.hall == hall {
			l.crash()
		}
	}
	if hall == 0 && wholeHall { // the counters run in hall 0; after 5 s they are back elsewhere, empty
		for _, c := range w.counters {
			c.unreachable = true
			w.sim.After(5*time.Second, func() {
				c.unreachable = false
				clear(c.replicas[0])
			})
		}
	}
	atEnd(func() {
		w.hallDown[hall] = false
		for _, n := range w.nodes {
			if n.hall == hall && !n.up && n.state == logic.Ready {
				n.start()
				w.announce(n)
			}
		}
		for _, l := range w.limiters {
			if !l.up && l.hall == hall {
				l.start()
			}
		}
	})
}

// RunUntil runs the simulation until the given number of seconds after its start and returns the result so far.
func (w *World) RunUntil(to float64) Result {
	w.sim.Run(epoch + seconds(to))
	return w.audit.result()
}

// NodeView is the state of a node for display.
type NodeView struct {
	Up, Draining bool
	JobsPerCore  float64 // requests running or queued, divided by cores
}

// Nodes is the present state of the nodes.
func (w *World) Nodes() (all []NodeView) {
	for _, n := range w.nodes {
		all = append(all, NodeView{n.up, n.state == logic.Draining, float64(n.inService+len(n.queue)) / float64(n.cores)})
	}
	return all
}
