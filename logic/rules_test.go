package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func testSettings() Settings {
	return Settings{
		Gateways: 3, Rank: 1, Zones: 1, HasCounter: true, CounterLimit: 30 * ms, MostUnits: 4, Probes: true,
		Cancelling: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: 4, Resolution: 2 * ms,
		StartCapacity: 0.2, Cold: 10 * time.Second, Fall: time.Second, FallMultiple: 2, DrainGrace: 250 * ms,
		ReportFields: []LoadField{Inflight},
		Classes: []Class{
			{Aim: 600 * ms, Deadline: 1500 * ms, Worth: 3, Late: 0.2},
			{Aim: 400 * ms, Deadline: 1200 * ms, Worth: 2, Effect: Keyed, KeyGroup: GroupCell, KeyTTL: 700 * ms},
			{Aim: 600 * ms, Deadline: 2000 * ms, Worth: 3, Effect: Unsafe},
			{Aim: 400 * ms, Deadline: 1200 * ms, Worth: 2, Effect: Keyed, KeyGroup: GroupAll, KeyTTL: 700 * ms},
		},
		Plans: []Plan{
			{Rate: 30, Burst: 30, Price: 1, OverCost: 1},
			{Open: 4, Price: 1, OverCost: 0.5},
			{Rate: 40, Burst: 40, Price: 1, OverWorth: 0.2, CeilingRate: 80, CeilingBurst: 80, CeilingSlack: 8},
			{Rate: 30, Burst: 30, Open: 6, Price: 1, OverCost: 1},
		},
	}
}

// harness checks the rules of one gateway while a test plays its clients, servers and counter.
type harness struct {
	t                *testing.T
	g                *Gateway
	set              Settings
	now              time.Duration
	requests         map[uint64]*trackedRequest
	servers          map[ServerID]Server
	unavailableSince map[ServerID]time.Duration // when the list said that a server drains or is gone
	timers           []timer
	counts           []Count
	probes           []Probe
	logs             int
	sent             []ServerID
	nextID           uint64
}

type trackedRequest struct {
	Request
	deadline       time.Duration
	attempts       int
	inFlight       bool
	server         ServerID
	answer         string
	mayHaveRun     bool
	firstRunServer ServerID
	firstRunAt     time.Duration
	sentAt         time.Duration
	timeout        time.Duration
	retryAfter     time.Duration // of a refusal
	cancelled      bool
}

type timer struct {
	at    time.Duration
	token uint32
}

func newHarness(t *testing.T, set Settings, servers ...Server) *harness {
	h := &harness{t: t, g: New(set, 1), set: set, now: 5 * time.Second, requests: map[uint64]*trackedRequest{},
		servers: map[ServerID]Server{}, unavailableSince: map[ServerID]time.Duration{}}
	h.list(ServerList{Complete: true, Cached: true, Servers: servers})
	return h
}

func readyServers(n int) []Server {
	var l []Server
	for k := 1; k <= n; k++ {
		l = append(l, Server{ID: ServerID(k), Weight: 1, Cell: (k - 1) / 2, State: Ready})
	}
	return l
}

func (h *harness) list(l ServerList) {
	if l.Complete {
		clear(h.servers)
	}
	for _, s := range l.Servers {
		h.servers[s.ID] = s
		delete(h.unavailableSince, s.ID)
		if s.State != Ready {
			h.unavailableSince[s.ID] = h.now
		}
	}
	h.handle(l)
}

// arrive plays a request and returns its record.
func (h *harness) arrive(q Request) *trackedRequest {
	h.nextID++
	q.ID = h.nextID
	if q.TTL == 0 {
		q.TTL = h.set.Classes[q.Class].Deadline
	}
	if q.Spread == 0 {
		q.Spread = h.set.Gateways
	}
	p := &trackedRequest{Request: q, deadline: h.now + q.TTL}
	h.requests[q.ID] = p
	h.handle(q)
	return p
}

func (h *harness) end(p *trackedRequest, st Status) {
	if !p.inFlight {
		h.t.Fatalf("request %d has no attempt in flight that could end", p.ID)
	}
	p.inFlight = false
	if st != Full && st != ConnectFailed && st != NotAttempted && st != LocalShortage && st != ExpiredUnsent && !p.mayHaveRun {
		p.mayHaveRun, p.firstRunServer, p.firstRunAt = true, p.server, p.sentAt
	}
	closed := p.answer != ""
	if st == OK && p.answer == "" {
		p.answer, closed = "served", true
	}
	h.handle(Outcome{ID: p.ID, Attempt: p.attempts - 1, Server: p.server, Status: st, Latency: h.now - p.sentAt,
		RequestOver: closed})
}

// sentTo appends the present time for each attempt that was just sent to a server.
func (h *harness) sentTo(id ServerID, times []time.Duration) []time.Duration {
	for _, s := range h.sent {
		if s == id {
			times = append(times, h.now)
		}
	}
	return times
}

// answerAttempts ends with OK all attempts that have been in flight for so long.
func (h *harness) answerAttempts(after time.Duration) {
	for id := uint64(1); id <= h.nextID; id++ {
		if p := h.requests[id]; p != nil && p.inFlight && h.now-p.sentAt >= after {
			h.end(p, OK)
		}
	}
}

func (h *harness) handle(ev Event) {
	for _, a := range h.g.Handle(h.now, ev) {
		h.check(a)
	}
}

func (h *harness) check(a Action) {
	switch a := a.(type) {
	case Send:
		p := h.requests[a.ID]
		s, known := h.servers[a.Server]
		switch {
		case p == nil || p.answer != "":
			h.t.Fatalf("%v: sent request %d after its end", h.now, a.ID)
		case p.inFlight:
			h.t.Fatalf("%v: request %d has two attempts in flight", h.now, a.ID)
		case !known:
			h.t.Fatalf("%v: server %d is not on the list", h.now, a.Server)
		case s.State != Ready:
			h.t.Fatalf("%v: sent to server %d, which drains or is gone since %v", h.now, a.Server, h.unavailableSince[a.Server])
		case p.attempts >= h.set.MaxAttempts:
			h.t.Fatalf("request %d: sent after %d attempts, the most allowed", a.ID, p.attempts)
		case p.mayHaveRun && h.set.Classes[p.Class].Effect == Unsafe:
			h.t.Fatalf("unsafe request %d sent again after it may have run", a.ID)
		case p.mayHaveRun && h.set.Classes[p.Class].Effect == Keyed:
			c := h.set.Classes[p.Class]
			if c.KeyGroup == GroupCell && s.Cell != h.servers[p.firstRunServer].Cell || h.now-p.firstRunAt > c.KeyTTL {
				h.t.Fatalf("keyed request %d repeated at a server of another group or after its key expired", a.ID)
			}
		}
		p.inFlight, p.server, p.sentAt, p.timeout, p.cancelled = true, a.Server, h.now, a.Timeout, false
		p.attempts++
		h.sent = append(h.sent, a.Server)
	case Refuse:
		p := h.requests[a.ID]
		c := h.set.Classes[p.Class]
		if p.answer != "" {
			h.t.Fatalf("request %d answered twice", a.ID)
		}
		if (p.mayHaveRun || p.inFlight) && (c.Effect == Unsafe || c.Effect == Keyed && c.KeyGroup != GroupAll) {
			h.t.Fatalf("request %d refused after it may have run", a.ID)
		}
		p.answer, p.retryAfter = "refused", a.RetryAfter
	case Fail:
		if h.requests[a.ID].answer != "" {
			h.t.Fatalf("request %d answered twice", a.ID)
		}
		h.requests[a.ID].answer = "failed"
	case Cancel:
		p := h.requests[a.ID]
		if p == nil || a.Attempt >= p.attempts {
			h.t.Fatalf("cancelled an attempt that was not made: %+v", a)
		}
		p.cancelled = true
	case SetTimer:
		h.timers = append(h.timers, timer{h.now + a.After, a.Token})
	case Count:
		h.counts = append(h.counts, a)
	case Probe:
		h.probes = append(h.probes, a)
	case Log:
		h.logs++
	}
}

// run lets time pass in steps of the resolution; each is called at every step.
func (h *harness) run(d time.Duration, each func()) {
	for end := h.now + d; h.now < end; {
		h.now += h.set.Resolution
		due := h.timers
		h.timers = nil
		for _, a := range due {
			if a.at <= h.now {
				h.handle(Timer{a.token})
			} else {
				h.timers = append(h.timers, a)
			}
		}
		if each != nil {
			each()
		}
		for id := uint64(1); id <= h.nextID; id++ {
			p := h.requests[id]
			if p == nil {
				continue
			}
			if p.answer == "" && h.now > p.deadline+8*ms {
				h.t.Fatalf("%v: request %d has no answer %v after its deadline", h.now, id, h.now-p.deadline)
			}
			if p.answer != "" && !p.inFlight && h.now > p.deadline {
				delete(h.requests, id)
			}
		}
	}
}

// A request that cannot be served safely must still get exactly one answer, whatever events come or do not come.
func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandom(t, seed) })
	}
}

func playRandom(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	h := newHarness(t, testSettings(), readyServers(6)...)
	statuses := []Status{OK, OK, OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, NotAttempted, LocalShortage, ExpiredUnsent}
	h.run(20*time.Second, func() {
		if rng.Float64() < 0.3 {
			h.arrive(Request{Class: rng.IntN(4), Plan: rng.IntN(4), Customer: uint64(rng.IntN(40)),
				Units: 1 + 3*rng.Float64(), TTL: time.Duration(rng.Float64() * float64(1500*ms)), Spread: rng.IntN(6)})
		}
		for id := uint64(1); id <= h.nextID; id++ {
			p := h.requests[id]
			switch {
			case p == nil || !p.inFlight:
			case p.cancelled:
				h.end(p, Cancelled)
			case p.timeout > 0 && h.now >= p.sentAt+p.timeout || h.now >= p.deadline:
				h.end(p, Timeout)
			case rng.Float64() < 0.02:
				h.end(p, statuses[rng.IntN(len(statuses))])
			case rng.Float64() < 0.0005 && p.answer == "":
				p.answer = "gone"
				h.handle(ClientGone{ID: id})
			}
		}
		if rng.Float64() < 0.01 {
			s := Server{ID: ServerID(1 + rng.IntN(7)), Weight: 1, State: ServerState(rng.IntN(3))}
			s.Cell = int(s.ID-1) / 2
			if rng.IntN(2) == 0 {
				s.Started = h.now - 100*ms
			}
			h.list(ServerList{Servers: []Server{s}})
		}
		for _, c := range h.counts {
			total := c.Amount
			if rng.IntN(3) == 0 {
				total = rng.NormFloat64() * 1e6
			}
			h.handle(CountResult{Name: c.Name, Status: statuses[rng.IntN(len(statuses))], Total: total})
		}
		h.counts = h.counts[:0]
		for _, p := range h.probes {
			h.handle(ProbeResult{Server: p.Server, Status: statuses[rng.IntN(9)], Load: []float64{rng.NormFloat64()}})
		}
		h.probes = h.probes[:0]
		// Events about unknown requests, timers and counts, or about those that are over, change nothing.
		h.handle(Outcome{ID: uint64(rng.IntN(1 << 20)), Attempt: 0, Server: 3, Status: OK})
		h.handle(Timer{Token: uint32(1 << 30)})
		h.handle(CountResult{Name: rng.Uint64(), Total: 5})
	})
	h.run(3*time.Second, func() {
		for id := uint64(1); id <= h.nextID; id++ {
			if p := h.requests[id]; p != nil && p.inFlight {
				h.end(p, Timeout)
			}
		}
	})
	out := 0
	for _, s := range h.g.servers {
		out += s.inFlight
	}
	if g := h.g; len(g.requests) != 0 || len(g.tokens) != 0 || len(g.queue) != 0 || out != 0 {
		t.Errorf("left behind: %d requests, %d tokens, %d queued, %d in flight; want none", len(g.requests), len(g.tokens), len(g.queue), out)
	}
	h.run(customerIdleTimeout+2*time.Second, nil)
	if g := h.g; len(g.customers) != 0 || g.dueCustomers.Len() != 0 {
		t.Errorf("%d customers known and %d scheduled after the idle time-out, want none", len(g.customers), g.dueCustomers.Len())
	}
}

func TestRepeatsByEffect(t *testing.T) {
	cases := []struct {
		class  int
		status Status
		resend bool
		answer string // the final one, when nothing more can be sent
	}{
		{0, Error, true, "refused"}, {0, Reset, true, "refused"}, {0, Full, true, "refused"},
		{1, Error, true, "failed"}, {1, Full, true, "refused"}, {1, Timeout, true, "failed"},
		{2, Error, false, "failed"}, {2, Timeout, false, "failed"}, {2, Reset, false, "failed"},
		{2, Cancelled, false, "failed"}, {2, Full, true, "refused"}, {2, ConnectFailed, true, "refused"},
		{2, NotAttempted, false, "refused"}, {3, Error, true, "refused"},
	}
	for _, c := range cases {
		h := newHarness(t, testSettings(), readyServers(4)...)
		p := h.arrive(Request{Class: c.class, Units: 1})
		if !p.inFlight {
			t.Fatalf("class %d: not sent", c.class)
		}
		h.now += 20 * ms
		h.end(p, c.status)
		h.run(20*ms, nil)
		if p.inFlight != c.resend || !c.resend && p.answer != c.answer {
			t.Errorf("class %d, status %d: sent again %v, answer %q; want %v, %q", c.class, c.status, p.inFlight, p.answer, c.resend, c.answer)
		}
		if c.resend {
			h.list(ServerList{Complete: true}) // no servers are left
			h.end(p, c.status)
			h.run(2*time.Second, nil)
			if p.answer != c.answer {
				t.Errorf("class %d, status %d: answer %q, want %q", c.class, c.status, p.answer, c.answer)
			}
		}
	}
}

// A server that drains or is gone must get nothing new, at once: the grace period is for news that is on its way, not for a
// gateway that knows.
func TestDrainAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(2)...)
	h.list(ServerList{Servers: []Server{{ID: 1, Weight: 1, State: Draining}}})
	for k := range 3 {
		if p := h.arrive(Request{Customer: uint64(k), Units: 1}); p.inFlight && p.server != 2 {
			t.Fatalf("sent to server %d, want 2: server 1 drains", p.server)
		}
	}
	h.list(ServerList{Complete: true, Servers: []Server{{ID: 3, Weight: 1, State: Ready}}})
	if p := h.arrive(Request{Customer: 11, Units: 1}); !p.inFlight || p.server != 3 {
		t.Errorf("sent %v, to server %d; want server 3, since server 2 is not in the whole list", p.inFlight, p.server)
	}
}

func TestNoServers(t *testing.T) {
	h := newHarness(t, testSettings())
	p := h.arrive(Request{Units: 1})
	u := h.arrive(Request{Class: 2, Units: 1})
	h.run(2100*ms, nil)
	if p.answer != "refused" || u.answer != "refused" {
		t.Errorf("answers %q and %q without servers, want refused", p.answer, u.answer)
	}
}

// A cold server must not get more than its share from all gateways together, in any window of the rule (Settings.Fall).
func TestColdBudget(t *testing.T) {
	set := testSettings()
	list := readyServers(5)
	list[0].Started = 4900 * ms // 100 ms old
	h := newHarness(t, set, list...)
	var times []time.Duration
	h.run(4*time.Second, func() {
		if int(h.now/ms)%10 == 0 {
			h.arrive(Request{Customer: uint64(h.nextID % 500), Units: 1, Plan: 0})
		}
		h.answerAttempts(150 * ms)
		times = h.sentTo(1, times)
		h.sent = h.sent[:0]
	})
	// 100 requests a second to five servers: 20 to 25 for each warm one.
	for k := range times {
		n := 0
		for _, at := range times[k:] {
			if at-times[k] <= set.Fall {
				n++
			}
		}
		age := (times[k] + set.Fall - 4900*ms).Seconds()
		if most := 25*(0.2+0.8*age/10) + 2; float64(n) > most {
			t.Fatalf("%d attempts in the window from %v, want at most %.1f", n, times[k], most)
		}
	}
	if len(times) < 4 {
		t.Errorf("%d attempts at the cold server, want at least 4 for it to warm up", len(times))
	}
}

// Each gateway keeps to its share of the ceiling by itself, whatever the counter does, and a restart does not refill that share.
func TestCeilingAcrossGateways(t *testing.T) {
	set := testSettings()
	var harnesses []*harness
	for rank := range 3 {
		s := set
		s.Rank = rank
		harnesses = append(harnesses, newHarness(t, s, readyServers(40)...))
	}
	p := set.Plans[2]
	level, lowest := p.CeilingBurst, p.CeilingBurst
	for step := range 3000 { // 6 s
		level = min(level+p.CeilingRate*0.002, p.CeilingBurst)
		for k, h := range harnesses {
			if k == 1 && step == 1500 { // killed and started again
				now := h.now
				s := set
				s.Rank = 1
				h = newHarness(t, s, readyServers(40)...)
				h.now = now
				harnesses[k] = h
			}
			h.run(2*ms, func() { h.arrive(Request{Plan: 2, Customer: 9, Units: 3}) })
			for id := uint64(1); id <= h.nextID; id++ {
				q := h.requests[id]
				if q != nil && q.inFlight && q.sentAt == h.now && q.attempts == 1 {
					level -= q.Units
				}
				if q != nil && q.inFlight && h.now-q.sentAt >= 10*ms {
					h.end(q, OK)
				}
			}
			h.counts = nil // the counter is silent
		}
		lowest = min(lowest, level)
	}
	if lowest < -p.CeilingSlack {
		t.Errorf("the ceiling's bucket fell to %.1f, want at least %.1f", lowest, -p.CeilingSlack)
	}
	if lowest > 0.9*p.CeilingBurst {
		t.Errorf("the ceiling's bucket stayed at %.1f or more: the test did not use it", lowest)
	}
}

// A server that turns every request away at once has nothing in flight and looks idle: it must neither attract the traffic nor
// lower the concurrency limit of the healthy ones.
func TestServerThatTurnsAllAway(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(4)...)
	limit := h.g.limitPerServer
	toIt := 0
	for k := range 200 {
		h.now += 20 * ms
		p := h.arrive(Request{Customer: uint64(k), Units: 1})
		for p.inFlight && p.server == 1 {
			h.end(p, Full)
			toIt++
		}
		if p.inFlight { // healthy servers take longer than the one that turns all away
			h.now += 120 * ms
			h.end(p, OK)
		}
	}
	if toIt > 30 || h.g.limitPerServer < limit {
		t.Errorf("%d of 200 requests tried the server that turns all away, want at most 30; limit %.2f, before %.2f", toIt, h.g.limitPerServer, limit)
	}
}

// Twenty to sixty gateways that each have saved an attempt for a cold server must not all send it in one window: the server gets
// no more than what the warm one takes, scaled to the capacity that it surely has.
func TestManyGatewaysAtAColdServer(t *testing.T) {
	for _, gateways := range []int{20, 25, 30, 60} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) { t.Parallel(); checkColdServer(t, gateways) })
	}
}

func checkColdServer(t *testing.T, gateways int) {
	set := testSettings()
	set.Gateways, set.HasCounter = gateways, false
	var harnesses []*harness
	for rank := range set.Gateways {
		s := set
		s.Rank = rank
		list := readyServers(2)
		list[0].Started = 4900 * ms
		harnesses = append(harnesses, newHarness(t, s, list...))
	}
	var times, warm []time.Duration
	for step := range 2000 { // 4 s: two quiet, then more than the warm server may have
		for _, h := range harnesses {
			h.run(2*ms, func() {
				if (step+37*h.set.Rank)%500 == 0 || step > 1000 && (step+7*h.set.Rank)%(50*gateways/60) == 0 {
					h.arrive(Request{Customer: h.nextID, Units: 0.1})
				}
				h.answerAttempts(100 * ms)
			})
			times, warm = h.sentTo(1, times), h.sentTo(2, warm)
			h.sent = h.sent[:0]
		}
	}
	window := func(times []time.Duration, from time.Duration) (n float64) {
		for _, at := range times {
			if at >= from && at < from+set.Fall {
				n++
			}
		}
		return n
	}
	for _, from := range times {
		if from+set.Fall > harnesses[0].now {
			break
		}
		capacity := 0.2 + 0.8*(from-4900*ms).Seconds()/10
		if n, most := window(times, from), 1.2*capacity*window(warm, from)+4; n > most {
			t.Fatalf("%.0f attempts at the cold server within %v of %v, want at most %.0f", n, set.Fall, from, most)
		}
	}
	if len(times) == 0 {
		t.Error("the cold server got no attempt")
	}
}

// After congestion the mean latency stays high for long. The refill of send tokens must not wait for it to fall, or so few
// attempts go that it never does.
func TestSendTokensRefillAfterCongestion(t *testing.T) {
	set := testSettings()
	set.Gateways = 78
	h := newHarness(t, set, readyServers(28)...)
	h.run(50*ms, nil)
	h.g.limitPerServer, h.g.sendTokens = 1/78.0, 0
	h.g.idleLatency, h.g.latency = float64(100*ms), float64(3*time.Second)
	h.run(time.Second, nil)
	if h.g.sendTokens < 1 {
		t.Errorf("%.2f send tokens a second after the congestion, want at least 1", h.g.sendTokens)
	}
}

// Where all servers are slow at once, each attempt takes as long with few in flight as with many: the concurrency limit must
// still allow what was in service before, or the servers' cores are idle while nearly everything is refused. Where attempts
// queue in the servers it must still fall.
func TestUniformlySlowServersStayBusy(t *testing.T) {
	mean := func(latency func(out int) time.Duration) float64 {
		h := newHarness(t, testSettings(), readyServers(6)...)
		latest, sum := 100*ms, 0
		for k := range 2000 {
			h.arrive(Request{Customer: uint64(k), Units: 1})
			h.run(20*ms, nil)
			if k >= 500 {
				latest = latency(int(h.g.inFlight))
			}
			if h.answerAttempts(latest); k >= 1500 {
				sum += int(h.g.inFlight)
			}
		}
		return float64(sum) / 500
	}
	if out := mean(func(int) time.Duration { return 800 * ms }); out < 4 {
		t.Errorf("%.1f attempts in flight, want at least 4: 5 were in service before", out)
	}
	if out := mean(func(out int) time.Duration { return time.Duration(max(out, 4)) * 150 * ms }); out > 8 {
		t.Errorf("%.1f attempts in flight at servers that serve four at a time, want at most 8", out)
	}
}

// A request that has no chance any more must get its answer at once, with a time to come back: one that waits behind others, or
// for servers that may no longer take it, would only keep its client from asking elsewhere.
func TestHopelessRequestIsAnsweredAtOnce(t *testing.T) {
	set := testSettings()
	set.Classes[0].Late, set.Classes[1].Late = 0, 0
	full := func(h *harness) { // all room is taken by attempts that are not answered
		h.g.limitPerServer, h.g.unseenShare = 1/float64(set.Gateways), 0
		for k := range 40 {
			h.arrive(Request{Customer: uint64(100 + k), Units: 1, Class: 2})
		}
	}
	for _, c := range []struct {
		name   string
		answer time.Duration // time after the arrival by which it must be answered
		play   func(h *harness) *trackedRequest
	}{
		{"behind a held one with more time", tick, func(h *harness) *trackedRequest {
			h.g.customerOf(&request{Request: Request{Customer: 1, Spread: 3}, plan: set.Plans[0]}).level = -0.5
			h.arrive(Request{Customer: 1, Units: 1, Class: 2, Spread: 3})
			p := h.arrive(Request{Customer: 1, Units: 1, Class: 1, Spread: 3})
			h.g.customers[1].nextRelease = h.now + time.Second // a long spacing before it
			return p
		}},
		{"late in the queue", 400 * ms, func(h *harness) *trackedRequest {
			full(h)
			return h.arrive(Request{Customer: 1, Units: 1, Class: 1})
		}},
		{"no draws left", tick, func(h *harness) *trackedRequest {
			p := h.arrive(Request{Customer: 1, Units: 1})
			r := h.g.requests[p.ID]
			h.end(p, Full)
			r.drawsMade = maxDrawsPerRequest
			r.queued, h.g.queue = false, nil
			h.g.actions = nil
			h.g.holdForDraw(r, 10*ms)
			for _, a := range h.g.actions {
				h.check(a)
			}
			return p
		}},
		{"late try among others", tick, func(h *harness) *trackedRequest {
			full(h)
			h.arrive(Request{Customer: 1, Units: 1, Class: 1})
			return h.arrive(Request{Customer: 1, Units: 1, Class: 1, TTL: 300 * ms})
		}},
	} {
		h := newHarness(t, set, readyServers(2)...)
		p := c.play(h)
		h.run(c.answer, nil)
		if p.answer != "refused" || p.retryAfter <= 0 {
			t.Errorf("%s: answer %q after %v, retry after %v; want refused with a time above 0", c.name, p.answer, c.answer, p.retryAfter)
		}
	}
}

// A keyed repeat whose key has expired can go to no server: it must fail then, not near the client's deadline.
func TestExpiredKeyIsAnsweredAtOnce(t *testing.T) {
	set := testSettings()
	set.Classes[1].Aim = set.Classes[1].Deadline // so that only the key's expiry ends it
	h := newHarness(t, set, readyServers(2)...)
	p := h.arrive(Request{Customer: 1, Units: 1, Class: 1})
	if !p.inFlight {
		t.Fatal("the request is not in flight, want it sent at once")
	}
	h.list(ServerList{Complete: true})
	h.run(50*ms, nil)
	h.end(p, Error)
	h.run(set.Classes[1].KeyTTL-40*ms, nil)
	if p.answer != "failed" {
		t.Errorf("answer %q after the key expired, want failed", p.answer)
	}
}

// A refusal promises that trying again is harmless. A keyed request that may have run is refused while all servers drop its
// repeat, and failed once its key has expired.
func TestExpiredKeyIsFailedWhereAllServersDropRepeats(t *testing.T) {
	const class = 3
	set := testSettings()
	if c := set.Classes[class]; c.Effect != Keyed || c.KeyGroup != GroupAll {
		t.Fatal("the class has no key that all servers share")
	}
	for late, want := range map[bool]string{false: "refused", true: "failed"} {
		h := newHarness(t, set, readyServers(2)...)
		p := h.arrive(Request{Customer: 1, Class: class, Units: 1})
		h.list(ServerList{Complete: true}) // no server is left for a repeat
		if late {
			h.run(set.Classes[class].KeyTTL+10*ms, nil)
		}
		h.end(p, Error)
		h.run(set.Classes[class].KeyTTL-100*ms, nil)
		if p.answer != want {
			t.Errorf("answer %q, want %q (after the key expired: %v)", p.answer, want, late)
		}
	}
}

// Where servers have room for some requests only, the queue goes by worth: under congestion the same work must earn the most.
func TestHighestWorthIsSentFirst(t *testing.T) {
	set := testSettings()
	set.Classes[0].Worth, set.Classes[1].Worth = 2, 5
	h := newHarness(t, set, readyServers(1)...)
	var first *trackedRequest
	for customer := uint64(1); first == nil || first.inFlight; customer++ { // until the server is full
		first = h.arrive(Request{Customer: customer, Class: 0, Units: 0.1})
	}
	var lowWorth []*trackedRequest
	for customer := range uint64(5) {
		lowWorth = append(lowWorth, h.arrive(Request{Customer: 5000 + customer, Class: 0, Units: 0.1}))
	}
	highWorth := h.arrive(Request{Customer: 9999, Class: 1, Units: 0.1})
	h.end(h.requests[1], OK)
	h.run(tick, nil)
	if !highWorth.inFlight || lowWorth[4].inFlight {
		t.Errorf("request of high worth sent: %v, one of low worth sent before it: %v; want true, false", highWorth.inFlight, lowWorth[4].inFlight)
	}
}

// A process that was paused gets old answers late, and its timers with them: no server is to blame.
func TestProcessPauseBlamesNoServer(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(10)...)
	h.run(5*time.Second, func() {
		h.arrive(Request{Customer: 1, Units: 1})
		h.answerAttempts(50 * ms)
	})
	limit, latency := h.g.upstream.limitPerServer, h.g.upstream.latency
	var out []*trackedRequest
	for k := range 10 {
		if p := h.arrive(Request{Customer: uint64(100 + k), Units: 1}); p.inFlight { // these firms have quota left
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		t.Fatal("no attempt was in flight during the pause")
	}
	h.now += 3 * time.Second
	for k, p := range out {
		h.end(p, []Status{OK, Timeout}[k%2])
	}
	h.run(100*ms, func() { h.answerAttempts(50 * ms) })
	if u := h.g.upstream; u.limitPerServer < limit || u.latency > latency {
		t.Errorf("a pause took the limit from %v to %v, the latency from %v to %v; want neither worse", limit, u.limitPerServer, latency, u.latency)
	}
	for _, s := range h.g.servers {
		if s.ejected {
			t.Errorf("server %d is ejected after a pause of this process", s.ID)
		}
	}
}

// Before the first tick, and after a pause, a good answer counts for its server as ever: only its latency says nothing.
func TestGoodAnswerAfterAPauseCounts(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(1)...)
	s := h.g.servers[1]
	one := func(wait time.Duration, status Status) {
		h.nextID++
		p := h.arrive(Request{Customer: h.nextID, Units: 1})
		if !p.inFlight {
			t.Fatalf("nothing was sent: failure rate %v, ejected %v", s.failureRate, s.ejected)
		}
		h.now += wait
		h.end(p, status)
	}
	for _, wait := range []time.Duration{ms, ms, 2 * time.Second, 2 * time.Second} { // there is no tick in all this time
		s.failureRate = 0.3
		if one(wait, OK); s.failureRate >= 0.3 {
			t.Errorf("after a good answer in %v the failure rate is %v, want below 0.3", wait, s.failureRate)
		}
	}
	s.failureRate, s.ejected, s.ejectedUntil = 0.5, true, 0
	if one(2*time.Second, OK); s.ejected {
		t.Error("the server stays ejected after a trial that succeeded over a pause")
	}
}

// An attempt that was too late to leave is no sign of a shortage: requests behind it must not be held back, as they are behind
// one that could not leave for want of a connection.
func TestALateAttemptHoldsNothingBack(t *testing.T) {
	sentBehind := func(st Status) int {
		h := newHarness(t, testSettings(), readyServers(6)...)
		first := h.arrive(Request{Customer: 1, Units: 1})
		if !first.inFlight {
			t.Fatal("the first attempt was not sent")
		}
		h.end(first, st)
		before := len(h.sent)
		for customer := range uint64(4) {
			h.arrive(Request{Customer: 2 + customer, Units: 1})
		}
		return len(h.sent) - before
	}
	if n := sentBehind(ExpiredUnsent); n != 4 {
		t.Errorf("%d of 4 requests are sent behind a late one, want all", n)
	}
	if n := sentBehind(LocalShortage); n >= 4 {
		t.Errorf("%d of 4 requests are sent at once after a shortage, want fewer", n)
	}
}
