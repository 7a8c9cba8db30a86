package logic

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A firm that nothing is due for is not looked at in a tick. That must not change any decision: the second gateway looks at every
// firm in every tick.
func TestCheckingOnlyDueFirmsMakesTheSameDecisions(t *testing.T) {
	for _, gateways := range []int{1, 3, 80} {
		sent := 0
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d gateways, seed %d", gateways, seed), func(t *testing.T) { sent += compareWithFullScan(t, gateways, seed) })
		}
		if sent < 6000 {
			t.Errorf("%d gateways: only %d requests were sent, want at least 6000 for a meaningful test", gateways, sent)
		}
	}
}

// sameAction compares actions. A dormant firm is kept in single precision, and the two gateways make it dormant at different
// times: the time after which to come back may differ by the rounding.
func sameAction(a, b Action) bool {
	x, ok := a.(Refuse)
	y, too := b.(Refuse)
	return a == b || ok && too && x.ID == y.ID && (x.RetryAfter-y.RetryAfter).Abs() < time.Microsecond
}

func compareWithFullScan(t *testing.T, gateways int, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 7))
	set := testSettings()
	set.Gateways, set.MaxAttempts = gateways, 2
	book := &fakeBook{plan: set.Plans[0]}
	var pair [2]*Gateway
	for k := range pair {
		pair[k] = New(set, 1)
		if seed%2 == 1 {
			pair[k].SetPlanSource(book, nil)
			pair[k].dormant = nil // a change takes from dormant firms, and the two make them dormant at different times
		}
	}
	now, id := 3*time.Second, uint64(0)
	type later struct {
		at time.Duration
		ev Event
	}
	var todo []later
	sent := map[uint64]int{}
	handle := func(ev Event) {
		if timer, ok := ev.(Timer); ok && timer.Token == tickToken {
			for _, c := range pair[1].customers {
				pair[1].dueCustomers.Set(c, now)
			}
		}
		acts := pair[0].Handle(now, ev)
		if want := pair[1].Handle(now, ev); !slices.EqualFunc(acts, want, sameAction) {
			t.Fatalf("at %v, event %T: actions %v, but %v when all firms are looked at", now, ev, acts, want)
		}
		for _, a := range acts {
			after := time.Duration(rng.IntN(200)) * ms
			switch a := a.(type) {
			case SetTimer:
				todo = append(todo, later{now + a.After, Timer{a.Token}})
			case Send:
				status := []Status{OK, OK, OK, OK, Full, Error}[rng.IntN(6)]
				todo = append(todo, later{now + after, Outcome{ID: a.ID, Attempt: sent[a.ID], Server: a.Server, Status: status, RequestOver: status == OK}})
				sent[a.ID]++
			case Count:
				e := CountResult{Name: a.Name, Total: a.Amount * float64(1+rng.IntN(3)), Latency: after / 5, Status: []Status{OK, OK, OK, OK, Full, Timeout}[rng.IntN(6)]}
				todo = append(todo, later{now + after/5, e})
			}
		}
	}
	list := readyServers(12)
	handle(ServerList{Complete: true, Servers: list})
	end := now + 100*time.Second // long enough for firms to be forgotten
	for now < end {
		next := 0
		for k := range todo {
			if todo[k].at < todo[next].at {
				next = k
			}
		}
		at := now + time.Duration(rng.ExpFloat64()*float64(4*ms))
		if now%(40*time.Second) > 25*time.Second { // a time without requests
			at = now + time.Hour
		}
		if todo[next].at <= at {
			ev := todo[next]
			todo = slices.Delete(todo, next, next+1)
			now = max(now, ev.at)
			handle(ev.ev)
			continue
		}
		if id++; id%3000 == 0 {
			at += 10 * time.Second // the process stalled
		}
		now = at
		class := rng.IntN(len(set.Classes))
		firm := uint64(rng.ExpFloat64() * 20) // a few firms send most requests
		handle(Request{ID: id, Customer: firm, Plan: int(firm) % len(set.Plans), Class: class, Units: 1 + float64(rng.IntN(3)),
			TTL: set.Classes[class].Deadline, Spread: gateways})
		if k := rng.IntN(len(list)); rng.IntN(30) == 0 {
			was := list[k]
			list[k].State, list[k].Zone = []ServerState{Ready, Ready, Draining, Gone}[rng.IntN(4)], rng.IntN(2)
			if rng.IntN(2) == 0 {
				list[k].Started = now
			}
			switch rng.IntN(4) {
			case 0:
				handle(ServerList{Complete: true, Servers: list})
			case 1: // nothing new
				list[k] = was
				handle(ServerList{})
			default:
				handle(ServerList{Servers: list[k : k+1]})
			}
		}
		checkSums(t, pair[0])
		if seed%2 == 1 && rng.IntN(800) == 0 {
			book.plan.Rate = float64(5 + rng.IntN(60))
			book.plan.Burst = book.plan.Rate * (0.5 + rng.Float64())
			handle(PlansChanged{})
		}
	}
	return len(sent)
}

// checkSums compares what is kept about servers with a full scan of them.
func checkSums(t *testing.T, g *Gateway) {
	u := g.upstream
	var inFlight, usable, capacity float64
	var list, working, cold []*server
	readyIn := map[int]int{}
	for _, id := range slices.Sorted(maps.Keys(g.servers)) {
		s := g.servers[id]
		if len(s.attemptsInFlight) > 0 {
			working = append(working, s)
		}
		if !s.listed {
			if s.inFlight == 0 {
				t.Fatalf("server %d is gone and has no attempts in flight, but is still known", s.ID)
			}
			continue
		}
		if list = append(list, s); s.State == Ready && !s.ejected && !u.zoneLost(s.Zone, g.now) {
			inFlight, usable, capacity = inFlight+float64(s.inFlight), usable+1, capacity+max(g.warmShare(s), 1-g.unseenShare)
		}
		if s.State == Ready {
			readyIn[s.Zone]++
		}
		if !s.countedWarm && s.Started+g.set.Cold <= g.tickedAt {
			t.Fatalf("server %d is warm but still counted as cold", s.ID)
		}
		if !s.countedWarm {
			cold = append(cold, s)
		}
	}
	for zone, h := range u.halls {
		if h.ready != readyIn[zone] {
			t.Fatalf("zone %d: %d servers counted as ready, want %d", zone, h.ready, readyIn[zone])
		}
	}
	was := [...]float64{u.inFlight, u.usableServers, u.warmCapacity}
	u.sumUsable(g)
	is := [...]float64{u.inFlight, u.usableServers, u.warmCapacity}
	u.inFlight, u.usableServers, u.warmCapacity = was[0], was[1], was[2]
	if is[0] != inFlight || is[1] != usable || math.Abs(is[2]-capacity) > 1e-9 {
		t.Fatalf("kept: %v in flight, %v usable, warm capacity %v; want by a full scan: %v, %v, %v", is[0], is[1], is[2], inFlight, usable, capacity)
	}
	if !slices.IsSortedFunc(g.queue, func(a, b *request) int { return cmp.Compare(b.worth(), a.worth()) }) {
		t.Fatal("the queue for servers is not in the order of worth")
	}
	if g.dueCustomers.Len() != len(g.customers) {
		t.Fatalf("%d firms are scheduled, want all %d that are known", g.dueCustomers.Len(), len(g.customers))
	}
	sorted := slices.Clone(u.inPreferredOrder)
	slices.SortFunc(sorted, byID)
	if !slices.Equal(u.list, list) || !slices.Equal(sorted, list) || !slices.Equal(u.withAttempts, working) || !slices.Equal(u.cold, cold) ||
		!slices.IsSortedFunc(u.inPreferredOrder, func(a, b *server) int { return cmp.Compare(g.rendezvousRank(a), g.rendezvousRank(b)) }) {
		t.Fatal("one of the upstream group's four lists of servers differs from a full scan, or the preferred order is not by rank")
	}
}

// A hundred thousand firms that sent one request each are not looked at in ticks, and are forgotten in the end.
func TestQuietFirmsCostNothingPerTick(t *testing.T) {
	g := New(testSettings(), 1)
	now := time.Second
	ticks := func(d time.Duration) {
		for end := now + d; now < end; now += tick {
			g.Handle(now, Timer{tickToken})
		}
	}
	g.Handle(now, ServerList{Complete: true, Servers: readyServers(4)})
	for k := range uint64(100_000) {
		for _, a := range g.Handle(now, Request{ID: k, Customer: k, Units: 1, TTL: time.Second, Spread: 3}) {
			if s, ok := a.(Send); ok {
				g.Handle(now, Outcome{ID: k, Server: s.Server, Status: OK, RequestOver: true})
			}
		}
		if k%100 == 99 {
			ticks(tick)
		}
	}
	ticks(5 * time.Second)
	if due, whole, dormant := len(g.dueCustomers.TakeDue(now+time.Second)), len(g.customers), len(g.dormant); due != 0 || whole != 0 || dormant != 100_000 {
		t.Errorf("%d quiet firms due in a second, %d with a whole record, %d dormant; want 0, 0, 100000", due, whole, dormant)
	}
	ticks(2*customerIdleTimeout + time.Second)
	if len(g.dormant)+len(g.dormantBefore) != 0 {
		t.Errorf("%d dormant firms are not forgotten after twice the idle time-out", len(g.dormant)+len(g.dormantBefore))
	}
}

// A firm that is dormant or forgotten must not stay scheduled: a second record of it would hold a second token bucket.
func TestDormantFirmIsNotScheduled(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * customerIdleTimeout} {
		g := New(testSettings(), 1)
		g.now = time.Hour
		c := g.customerOf(&request{Request: Request{Customer: 7, Spread: 3}, plan: g.set.Plans[0]})
		c.pending = 0
		g.now += after
		if !g.makeDormant(c) || len(g.customers) != 0 || g.dueCustomers.Len() != 0 {
			t.Errorf("after %v: %d firms known, %d scheduled; want none", after, len(g.customers), g.dueCustomers.Len())
		}
	}
}

// A firm that was dormant has no more units than one whose record was kept, whatever plans changed in the meantime.
func TestDormancyGrantsNoExtraUnits(t *testing.T) {
	for name, rates := range map[string][]float64{"none": nil, "raised": {300}, "lowered": {3}, "lowered and raised": {1, 30}, "raised and lowered": {300, 30}} {
		var sent [2]int
		for k := range sent {
			set := testSettings()
			set.Gateways, set.HasCounter = 1, false
			book := &fakeBook{plan: set.Plans[0]}
			g, now, id := New(set, 1), time.Second, uint64(0)
			g.SetPlanSource(book, nil)
			if k == 1 {
				g.dormant = nil
			}
			ticks := func(d time.Duration) {
				for end := now + d; now < end; now += tick {
					g.Handle(now, Timer{tickToken})
				}
			}
			burst := func(most int) (n int) {
				for range most {
					id++
					for _, a := range g.Handle(now, Request{ID: id, Customer: 7, Units: 1, TTL: time.Second, Spread: 1}) {
						if s, ok := a.(Send); ok {
							g.Handle(now, Outcome{ID: id, Server: s.Server, Status: OK, RequestOver: true})
							n++
						}
					}
				}
				return n
			}
			g.Handle(now, ServerList{Complete: true, Servers: readyServers(4)})
			burst(1)
			ticks(5 * time.Second)
			if dormant := len(g.dormant); dormant != 1-k {
				t.Fatalf("%s: %d firms dormant, want %d", name, dormant, 1-k)
			}
			for _, rate := range rates {
				book.plan.Rate, book.plan.Burst = rate, rate
				g.Handle(now, PlansChanged{})
				ticks(100 * ms)
			}
			sent[k] = burst(400)
		}
		if sent[0] > sent[1] || sent[1] == 0 || rates == nil && sent[0] != sent[1] {
			t.Errorf("%s: %d units after dormancy, %d if the record was kept", name, sent[0], sent[1])
		}
	}
}

// A thousand servers, of which half are gone in one list, all start anew, or all get new IDs: what is kept about them stays true,
// nothing is sent to one that is gone, and requests still find a server.
func TestAThousandServersChangeAtOnce(t *testing.T) {
	for name, change := range map[string]func(k int, s *Server, now time.Duration){
		"half gone":    func(k int, s *Server, _ time.Duration) { s.State = []ServerState{Gone, Ready}[k%2] },
		"all cold":     func(_ int, s *Server, now time.Duration) { s.Started = now },
		"one hall new": func(k int, s *Server, now time.Duration) { s.Zone, s.Started = k%3, now*time.Duration(k%3/2) },
		"all new IDs":  func(_ int, s *Server, _ time.Duration) { s.ID += 1 << 20 },
	} {
		for _, gateways := range []int{3, 200} {
			set := testSettings()
			set.Gateways = gateways
			g, now, sent := New(set, 1), time.Second, 0
			list := readyServers(1000)
			g.Handle(now, ServerList{Complete: true, Servers: list})
			for k := range uint64(600) {
				if k == 300 {
					for n := range list {
						change(n, &list[n], now)
					}
					g.Handle(now, ServerList{Complete: true, Servers: list})
					sent = 0
				}
				now += tick
				acts := append(g.Handle(now, Request{ID: k, Customer: k, Units: 1, TTL: time.Second, Spread: 3}), g.Handle(now, Timer{tickToken})...)
				for _, a := range acts {
					if a, ok := a.(Send); ok {
						at := g.servers[a.Server]
						if sent++; at == nil || at.State != Ready {
							t.Fatalf("%s: sent to server %d, which is not ready", name, a.Server)
						}
						g.Handle(now, Outcome{ID: a.ID, Server: a.Server, Status: OK, RequestOver: true})
					}
				}
				checkSums(t, g)
			}
			if sent < 200 {
				t.Errorf("%s, %d gateways: %d of 300 requests were sent, want at least 200", name, gateways, sent)
			}
		}
	}
}

// Ten thousand held requests of one firm, a hundred of them cancelled in the middle: each gets one answer.
func TestTenThousandHeldRequestsOfOneFirm(t *testing.T) {
	const n = 10_000
	set := testSettings()
	set.Gateways, set.Plans = 1, []Plan{{Rate: 20_000, Burst: 5, Price: 1, OverCost: 1}}
	g, now, answers := New(set, 1), time.Second, make([]int, n)
	handle := func(ev Event) {
		for _, a := range g.Handle(now, ev) {
			switch a := a.(type) {
			case Send:
				g.Handle(now, Outcome{ID: a.ID, Server: a.Server, Status: OK, RequestOver: true})
				answers[a.ID]++
			case Refuse:
				answers[a.ID]++
			}
		}
	}
	handle(ServerList{Complete: true, Servers: readyServers(400)})
	for k := range uint64(n) {
		handle(Request{ID: k, Customer: 7, Units: 1, TTL: time.Second, Spread: 1})
	}
	held := len(g.customers[7].held)
	for k := uint64(4000); k < 4100; k++ {
		handle(ClientGone{ID: k})
		answers[k]++
	}
	for range 150 {
		now += tick
		handle(Timer{tickToken})
	}
	if held < n/2 {
		t.Errorf("only %d requests were held, want at least %d for a meaningful test", held, n/2)
	}
	for k, got := range answers {
		if got != 1 {
			t.Fatalf("request %d has %d answers, want 1", k, got)
		}
	}
}

// Keyed repeats that no server may take, since all of their zone drain, wait at the same cost however long the list of servers
// is. Each event checks whether one of them may leave.
func TestRepeatsThatNobodyMayTakeCostTheSameWithManyServers(t *testing.T) {
	const few, many = 200, 40000
	spent := func(servers int) time.Duration {
		set := testSettings()
		set.Gateways = 20
		const keyed = 1
		c := &set.Classes[keyed]
		c.KeyGroup, c.KeyTTL, c.Deadline, c.Aim = GroupZone, 12*time.Second, 6*time.Second, 4*time.Second
		all := readyServers(servers)
		for k := range all {
			all[k].Zone = k % 2
		}
		h := newHarness(t, set, all...)
		h.run(time.Second, nil)
		var out []*trackedRequest
		for k := range 40 {
			if p := h.arrive(Request{Class: keyed, Customer: uint64(k), Units: 1, TTL: 5 * time.Second}); p.inFlight {
				out = append(out, p)
			}
			h.run(ms, nil)
		}
		var drains ServerList
		for _, s := range all {
			if s.Zone == 0 {
				s.State = Draining
				drains.Servers = append(drains.Servers, s)
			}
		}
		h.list(drains)
		for _, p := range out {
			h.end(p, Reset)
		}
		waiting := 0
		for _, r := range h.g.queue {
			if r.mayHaveRun {
				waiting++
			}
		}
		if waiting < 5 {
			t.Fatalf("%d repeats wait, want at least 5", waiting)
		}
		begun := time.Now()
		for k := range 50 {
			h.arrive(Request{Customer: uint64(1000 + k), Units: 1})
		}
		return time.Since(begun) / 50
	}
	least, most := spent(few), spent(many)
	for range 2 { // the least of three runs, so that other work on the machine counts for neither
		least, most = min(least, spent(few)), min(most, spent(many))
	}
	t.Logf("%v a request with %d servers, %v with %d", least, few, most, many)
	if most > 20*least {
		t.Errorf("%v a request with %d servers, %v with %d: want at most 20 times as much", least, few, most, many)
	}
}
