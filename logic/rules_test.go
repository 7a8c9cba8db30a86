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
	b := &harness{t: t, g: New(set, 1), set: set, now: 5 * time.Second, requests: map[uint64]*trackedRequest{},
		servers: map[ServerID]Server{}, unavailableSince: map[ServerID]time.Duration{}}
	b.list(ServerList{Whole: true, Cached: true, Servers: servers})
	return b
}

func readyServers(n int) []Server {
	var l []Server
	for k := 1; k <= n; k++ {
		l = append(l, Server{ID: ServerID(k), Weight: 1, Cell: (k - 1) / 2, State: Ready})
	}
	return l
}

func (b *harness) list(l ServerList) {
	if l.Whole {
		clear(b.servers)
	}
	for _, s := range l.Servers {
		b.servers[s.ID] = s
		delete(b.unavailableSince, s.ID)
		if s.State != Ready {
			b.unavailableSince[s.ID] = b.now
		}
	}
	b.handle(l)
}

// arrive plays a request and returns its record.
func (b *harness) arrive(q Request) *trackedRequest {
	b.nextID++
	q.ID = b.nextID
	if q.TTL == 0 {
		q.TTL = b.set.Classes[q.Class].Deadline
	}
	if q.Spread == 0 {
		q.Spread = b.set.Gateways
	}
	p := &trackedRequest{Request: q, deadline: b.now + q.TTL}
	b.requests[q.ID] = p
	b.handle(q)
	return p
}

func (b *harness) end(p *trackedRequest, st Status) {
	if !p.inFlight {
		b.t.Fatalf("request %d has no attempt in flight that could end", p.ID)
	}
	p.inFlight = false
	if st != Full && st != ConnectFailed && st != Moot && st != Unsent && st != Late && !p.mayHaveRun {
		p.mayHaveRun, p.firstRunServer, p.firstRunAt = true, p.server, p.sentAt
	}
	closed := p.answer != ""
	if st == OK && p.answer == "" {
		p.answer, closed = "served", true
	}
	b.handle(Outcome{ID: p.ID, Attempt: p.attempts - 1, Server: p.server, Status: st, Latency: b.now - p.sentAt,
		Closed: closed})
}

// sentTo appends the present time for each attempt that was just sent to a server.
func (b *harness) sentTo(id ServerID, times []time.Duration) []time.Duration {
	for _, s := range b.sent {
		if s == id {
			times = append(times, b.now)
		}
	}
	return times
}

// answerAttempts ends with OK all attempts that have been in flight for so long.
func (b *harness) answerAttempts(after time.Duration) {
	for id := uint64(1); id <= b.nextID; id++ {
		if p := b.requests[id]; p != nil && p.inFlight && b.now-p.sentAt >= after {
			b.end(p, OK)
		}
	}
}

func (b *harness) handle(ev Event) {
	for _, a := range b.g.Handle(b.now, ev) {
		b.check(a)
	}
}

func (b *harness) check(a Action) {
	switch a := a.(type) {
	case Send:
		p := b.requests[a.ID]
		s, known := b.servers[a.Server]
		switch {
		case p == nil || p.answer != "":
			b.t.Fatalf("%v: sent request %d after its end", b.now, a.ID)
		case p.inFlight:
			b.t.Fatalf("%v: request %d has two attempts in flight", b.now, a.ID)
		case !known:
			b.t.Fatalf("%v: server %d is not on the list", b.now, a.Server)
		case s.State != Ready:
			b.t.Fatalf("%v: sent to server %d, which drains or is gone since %v", b.now, a.Server, b.unavailableSince[a.Server])
		case p.attempts >= b.set.MaxAttempts:
			b.t.Fatalf("request %d: sent after %d attempts, the most allowed", a.ID, p.attempts)
		case p.mayHaveRun && b.set.Classes[p.Class].Effect == Unsafe:
			b.t.Fatalf("unsafe request %d sent again after it may have run", a.ID)
		case p.mayHaveRun && b.set.Classes[p.Class].Effect == Keyed:
			c := b.set.Classes[p.Class]
			if c.KeyGroup == GroupCell && s.Cell != b.servers[p.firstRunServer].Cell || b.now-p.firstRunAt > c.KeyTTL {
				b.t.Fatalf("keyed request %d repeated at a server of another group or after its key expired", a.ID)
			}
		}
		p.inFlight, p.server, p.sentAt, p.timeout, p.cancelled = true, a.Server, b.now, a.Timeout, false
		p.attempts++
		b.sent = append(b.sent, a.Server)
	case Refuse:
		p := b.requests[a.ID]
		c := b.set.Classes[p.Class]
		if p.answer != "" {
			b.t.Fatalf("request %d answered twice", a.ID)
		}
		if (p.mayHaveRun || p.inFlight) && (c.Effect == Unsafe || c.Effect == Keyed && c.KeyGroup != GroupAll) {
			b.t.Fatalf("request %d refused after it may have run", a.ID)
		}
		p.answer, p.retryAfter = "refused", a.RetryAfter
	case Fail:
		if b.requests[a.ID].answer != "" {
			b.t.Fatalf("request %d answered twice", a.ID)
		}
		b.requests[a.ID].answer = "failed"
	case Cancel:
		p := b.requests[a.ID]
		if p == nil || a.Attempt >= p.attempts {
			b.t.Fatalf("cancelled an attempt that was not made: %+v", a)
		}
		p.cancelled = true
	case SetTimer:
		b.timers = append(b.timers, timer{b.now + a.After, a.Token})
	case Count:
		b.counts = append(b.counts, a)
	case Probe:
		b.probes = append(b.probes, a)
	case Log:
		b.logs++
	}
}

// run lets time pass in steps of the resolution; each is called at every step.
func (b *harness) run(d time.Duration, each func()) {
	for end := b.now + d; b.now < end; {
		b.now += b.set.Resolution
		due := b.timers
		b.timers = nil
		for _, a := range due {
			if a.at <= b.now {
				b.handle(Timer{a.token})
			} else {
				b.timers = append(b.timers, a)
			}
		}
		if each != nil {
			each()
		}
		for id := uint64(1); id <= b.nextID; id++ {
			p := b.requests[id]
			if p == nil {
				continue
			}
			if p.answer == "" && b.now > p.deadline+8*ms {
				b.t.Fatalf("%v: request %d has no answer %v after its deadline", b.now, id, b.now-p.deadline)
			}
			if p.answer != "" && !p.inFlight && b.now > p.deadline {
				delete(b.requests, id)
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
	b := newHarness(t, testSettings(), readyServers(6)...)
	statuses := []Status{OK, OK, OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot, Unsent, Late}
	b.run(20*time.Second, func() {
		if rng.Float64() < 0.3 {
			b.arrive(Request{Class: rng.IntN(4), Plan: rng.IntN(4), Customer: uint64(rng.IntN(40)),
				Units: 1 + 3*rng.Float64(), TTL: time.Duration(rng.Float64() * float64(1500*ms)), Spread: rng.IntN(6)})
		}
		for id := uint64(1); id <= b.nextID; id++ {
			p := b.requests[id]
			switch {
			case p == nil || !p.inFlight:
			case p.cancelled:
				b.end(p, Cancelled)
			case p.timeout > 0 && b.now >= p.sentAt+p.timeout || b.now >= p.deadline:
				b.end(p, Timeout)
			case rng.Float64() < 0.02:
				b.end(p, statuses[rng.IntN(len(statuses))])
			case rng.Float64() < 0.0005 && p.answer == "":
				p.answer = "gone"
				b.handle(ClientGone{ID: id})
			}
		}
		if rng.Float64() < 0.01 {
			s := Server{ID: ServerID(1 + rng.IntN(7)), Weight: 1, State: ServerState(rng.IntN(3))}
			s.Cell = int(s.ID-1) / 2
			if rng.IntN(2) == 0 {
				s.Started = b.now - 100*ms
			}
			b.list(ServerList{Servers: []Server{s}})
		}
		for _, c := range b.counts {
			total := c.Amount
			if rng.IntN(3) == 0 {
				total = rng.NormFloat64() * 1e6
			}
			b.handle(CountResult{Name: c.Name, Status: statuses[rng.IntN(len(statuses))], Total: total})
		}
		b.counts = b.counts[:0]
		for _, p := range b.probes {
			b.handle(ProbeResult{Server: p.Server, Status: statuses[rng.IntN(9)], Load: []float64{rng.NormFloat64()}})
		}
		b.probes = b.probes[:0]
		// Events about unknown requests, timers and counts, or about those that are over, change nothing.
		b.handle(Outcome{ID: uint64(rng.IntN(1 << 20)), Attempt: 0, Server: 3, Status: OK})
		b.handle(Timer{Token: uint32(1 << 30)})
		b.handle(CountResult{Name: rng.Uint64(), Total: 5})
	})
	b.run(3*time.Second, func() {
		for id := uint64(1); id <= b.nextID; id++ {
			if p := b.requests[id]; p != nil && p.inFlight {
				b.end(p, Timeout)
			}
		}
	})
	out := 0
	for _, s := range b.g.servers {
		out += s.inFlight
	}
	if g := b.g; len(g.requests) != 0 || len(g.tokens) != 0 || len(g.queue) != 0 || out != 0 {
		t.Errorf("left behind: %d requests, %d tokens, %d queued, %d in flight; want none", len(g.requests), len(g.tokens), len(g.queue), out)
	}
	b.run(customerIdleTimeout+2*time.Second, nil)
	if g := b.g; len(g.customers) != 0 || g.firms.Len() != 0 {
		t.Errorf("%d customers known and %d scheduled after the idle time-out, want none", len(g.customers), g.firms.Len())
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
		{2, Moot, false, "refused"}, {3, Error, true, "refused"},
	}
	for _, c := range cases {
		b := newHarness(t, testSettings(), readyServers(4)...)
		p := b.arrive(Request{Class: c.class, Units: 1})
		if !p.inFlight {
			t.Fatalf("class %d: not sent", c.class)
		}
		b.now += 20 * ms
		b.end(p, c.status)
		b.run(20*ms, nil)
		if p.inFlight != c.resend || !c.resend && p.answer != c.answer {
			t.Errorf("class %d, status %d: sent again %v, answer %q; want %v, %q", c.class, c.status, p.inFlight, p.answer, c.resend, c.answer)
		}
		if c.resend {
			b.list(ServerList{Whole: true}) // no servers are left
			b.end(p, c.status)
			b.run(2*time.Second, nil)
			if p.answer != c.answer {
				t.Errorf("class %d, status %d: answer %q, want %q", c.class, c.status, p.answer, c.answer)
			}
		}
	}
}

// A server that drains or is gone must get nothing new, at once: the grace period is for news that is on its way, not for a
// gateway that knows.
func TestDrainAtOnce(t *testing.T) {
	b := newHarness(t, testSettings(), readyServers(2)...)
	b.list(ServerList{Servers: []Server{{ID: 1, Weight: 1, State: Draining}}})
	for k := range 3 {
		if p := b.arrive(Request{Customer: uint64(k), Units: 1}); p.inFlight && p.server != 2 {
			t.Fatalf("sent to server %d, want 2: server 1 drains", p.server)
		}
	}
	b.list(ServerList{Whole: true, Servers: []Server{{ID: 3, Weight: 1, State: Ready}}})
	if p := b.arrive(Request{Customer: 11, Units: 1}); !p.inFlight || p.server != 3 {
		t.Errorf("sent %v, to server %d; want server 3, since server 2 is not in the whole list", p.inFlight, p.server)
	}
}

func TestNoServers(t *testing.T) {
	b := newHarness(t, testSettings())
	p := b.arrive(Request{Units: 1})
	u := b.arrive(Request{Class: 2, Units: 1})
	b.run(2100*ms, nil)
	if p.answer != "refused" || u.answer != "refused" {
		t.Errorf("answers %q and %q without servers, want refused", p.answer, u.answer)
	}
}

// A cold server must not get more than its share from all gateways together, in any window of the rule (Settings.Fall).
func TestColdBudget(t *testing.T) {
	set := testSettings()
	list := readyServers(5)
	list[0].Started = 4900 * ms // 100 ms old
	b := newHarness(t, set, list...)
	var times []time.Duration
	b.run(4*time.Second, func() {
		if int(b.now/ms)%10 == 0 {
			b.arrive(Request{Customer: uint64(b.nextID % 500), Units: 1, Plan: 0})
		}
		b.answerAttempts(150 * ms)
		times = b.sentTo(1, times)
		b.sent = b.sent[:0]
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
		for k, b := range harnesses {
			if k == 1 && step == 1500 { // killed and started again
				now := b.now
				s := set
				s.Rank = 1
				b = newHarness(t, s, readyServers(40)...)
				b.now = now
				harnesses[k] = b
			}
			b.run(2*ms, func() { b.arrive(Request{Plan: 2, Customer: 9, Units: 3}) })
			for id := uint64(1); id <= b.nextID; id++ {
				q := b.requests[id]
				if q != nil && q.inFlight && q.sentAt == b.now && q.attempts == 1 {
					level -= q.Units
				}
				if q != nil && q.inFlight && b.now-q.sentAt >= 10*ms {
					b.end(q, OK)
				}
			}
			b.counts = nil // the counter is silent
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
	b := newHarness(t, testSettings(), readyServers(4)...)
	limit := b.g.limitPerServer
	toIt := 0
	for k := range 200 {
		b.now += 20 * ms
		p := b.arrive(Request{Customer: uint64(k), Units: 1})
		for p.inFlight && p.server == 1 {
			b.end(p, Full)
			toIt++
		}
		if p.inFlight { // healthy servers take longer than the one that turns all away
			b.now += 120 * ms
			b.end(p, OK)
		}
	}
	if toIt > 30 || b.g.limitPerServer < limit {
		t.Errorf("%d of 200 requests tried the server that turns all away, want at most 30; limit %.2f, before %.2f", toIt, b.g.limitPerServer, limit)
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
		for _, b := range harnesses {
			b.run(2*ms, func() {
				if (step+37*b.set.Rank)%500 == 0 || step > 1000 && (step+7*b.set.Rank)%(50*gateways/60) == 0 {
					b.arrive(Request{Customer: b.nextID, Units: 0.1})
				}
				b.answerAttempts(100 * ms)
			})
			times, warm = b.sentTo(1, times), b.sentTo(2, warm)
			b.sent = b.sent[:0]
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
// attempts go that it never does (incident ieaf37c).
func TestSendTokensRefillAfterCongestion(t *testing.T) {
	set := testSettings()
	set.Gateways = 78
	b := newHarness(t, set, readyServers(28)...)
	b.run(50*ms, nil)
	b.g.limitPerServer, b.g.sendTokens = 1/78.0, 0
	b.g.idleLatency, b.g.latency = float64(100*ms), float64(3*time.Second)
	b.run(time.Second, nil)
	if b.g.sendTokens < 1 {
		t.Errorf("%.2f send tokens a second after the congestion, want at least 1", b.g.sendTokens)
	}
}

// Where all servers are slow at once, each attempt takes as long with few in flight as with many: the concurrency limit must
// still allow what was in service before, or the servers' cores are idle while nearly everything is refused (nadi-yard, big-1).
// Where attempts queue in the servers it must still fall.
func TestUniformlySlowServersStayBusy(t *testing.T) {
	mean := func(latency func(out int) time.Duration) float64 {
		b := newHarness(t, testSettings(), readyServers(6)...)
		latest, sum := 100*ms, 0
		for k := range 2000 {
			b.arrive(Request{Customer: uint64(k), Units: 1})
			b.run(20*ms, nil)
			if k >= 500 {
				latest = latency(int(b.g.inFlight))
			}
			if b.answerAttempts(latest); k >= 1500 {
				sum += int(b.g.inFlight)
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
	full := func(b *harness) { // all room is taken by attempts that are not answered
		b.g.limitPerServer, b.g.unseenShare = 1/float64(set.Gateways), 0
		for k := range 40 {
			b.arrive(Request{Customer: uint64(100 + k), Units: 1, Class: 2})
		}
	}
	for _, c := range []struct {
		name   string
		answer time.Duration // time after the arrival by which it must be answered
		play   func(b *harness) *trackedRequest
	}{
		{"behind a held one with more time", tick, func(b *harness) *trackedRequest {
			b.g.customerOf(&request{Request: Request{Customer: 1, Spread: 3}, plan: set.Plans[0]}).level = -0.5
			b.arrive(Request{Customer: 1, Units: 1, Class: 2, Spread: 3})
			p := b.arrive(Request{Customer: 1, Units: 1, Class: 1, Spread: 3})
			b.g.customers[1].nextRelease = b.now + time.Second // a long spacing before it
			return p
		}},
		{"late in the queue", 400 * ms, func(b *harness) *trackedRequest {
			full(b)
			return b.arrive(Request{Customer: 1, Units: 1, Class: 1})
		}},
		{"no draws left", tick, func(b *harness) *trackedRequest {
			p := b.arrive(Request{Customer: 1, Units: 1})
			r := b.g.requests[p.ID]
			b.end(p, Full)
			r.drawsMade = maxDrawsPerRequest
			r.queued, b.g.queue = false, nil
			b.g.actions = nil
			b.g.holdForDraw(r, 10*ms)
			for _, a := range b.g.actions {
				b.check(a)
			}
			return p
		}},
		{"late try among others", tick, func(b *harness) *trackedRequest {
			full(b)
			b.arrive(Request{Customer: 1, Units: 1, Class: 1})
			return b.arrive(Request{Customer: 1, Units: 1, Class: 1, TTL: 300 * ms})
		}},
	} {
		b := newHarness(t, set, readyServers(2)...)
		p := c.play(b)
		b.run(c.answer, nil)
		if p.answer != "refused" || p.retryAfter <= 0 {
			t.Errorf("%s: answer %q after %v, retry after %v; want refused with a time above 0", c.name, p.answer, c.answer, p.retryAfter)
		}
	}
}

// A keyed repeat whose key has expired can go to no server: it must fail then, not near the client's deadline.
func TestExpiredKeyIsAnsweredAtOnce(t *testing.T) {
	set := testSettings()
	set.Classes[1].Aim = set.Classes[1].Deadline // so that only the key's expiry ends it
	b := newHarness(t, set, readyServers(2)...)
	p := b.arrive(Request{Customer: 1, Units: 1, Class: 1})
	if !p.inFlight {
		t.Fatal("not sent")
	}
	b.list(ServerList{Whole: true})
	b.run(50*ms, nil)
	b.end(p, Error)
	b.run(set.Classes[1].KeyTTL-40*ms, nil)
	if p.answer != "failed" {
		t.Errorf("answer %q after the key expired, want failed", p.answer)
	}
}

// Where servers have room for some requests only, the queue goes by worth: under congestion the same work must earn the most.
func TestHighestWorthIsSentFirst(t *testing.T) {
	set := testSettings()
	set.Classes[0].Worth, set.Classes[1].Worth = 2, 5
	b := newHarness(t, set, readyServers(1)...)
	var first *trackedRequest
	for customer := uint64(1); first == nil || first.inFlight; customer++ { // until the server is full
		first = b.arrive(Request{Customer: customer, Class: 0, Units: 0.1})
	}
	var cheap []*trackedRequest
	for customer := range uint64(5) {
		cheap = append(cheap, b.arrive(Request{Customer: 5000 + customer, Class: 0, Units: 0.1}))
	}
	dear := b.arrive(Request{Customer: 9999, Class: 1, Units: 0.1})
	b.end(b.requests[1], OK)
	b.run(tick, nil)
	if !dear.inFlight || cheap[4].inFlight {
		t.Errorf("request of high worth sent: %v, one of low worth sent before it: %v; want true, false", dear.inFlight, cheap[4].inFlight)
	}
}

// A process that was paused gets old answers late, and its timers with them: no server is to blame.
func TestProcessPauseBlamesNoServer(t *testing.T) {
	b := newHarness(t, testSettings(), readyServers(10)...)
	b.run(5*time.Second, func() {
		b.arrive(Request{Customer: 1, Units: 1})
		b.answerAttempts(50 * ms)
	})
	limit, latency := b.g.upstream.limitPerServer, b.g.upstream.latency
	var out []*trackedRequest
	for k := range 10 {
		if p := b.arrive(Request{Customer: uint64(100 + k), Units: 1}); p.inFlight { // these firms have quota left
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		t.Fatal("no attempt was in flight during the pause")
	}
	b.now += 3 * time.Second
	for k, p := range out {
		b.end(p, []Status{OK, Timeout}[k%2])
	}
	b.run(100*ms, func() { b.answerAttempts(50 * ms) })
	if f := b.g.upstream; f.limitPerServer < limit || f.latency > latency {
		t.Errorf("a pause took the limit from %v to %v, the latency from %v to %v; want neither worse", limit, f.limitPerServer, latency, f.latency)
	}
	for _, s := range b.g.servers {
		if s.ejected {
			t.Errorf("server %d is ejected after a pause of this process", s.ID)
		}
	}
}

// Before the first tick, and after a pause, a good answer counts for its server as ever: only its latency says nothing.
func TestGoodAnswerAfterAPauseCounts(t *testing.T) {
	b := newHarness(t, testSettings(), readyServers(1)...)
	s := b.g.servers[1]
	one := func(wait time.Duration, status Status) {
		b.nextID++
		p := b.arrive(Request{Customer: b.nextID, Units: 1})
		if !p.inFlight {
			t.Fatalf("nothing was sent: failure rate %v, ejected %v", s.failureRate, s.ejected)
		}
		b.now += wait
		b.end(p, status)
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
		b := newHarness(t, testSettings(), readyServers(6)...)
		first := b.arrive(Request{Customer: 1, Units: 1})
		if !first.inFlight {
			t.Fatal("the first attempt was not sent")
		}
		b.end(first, st)
		before := len(b.sent)
		for customer := range uint64(4) {
			b.arrive(Request{Customer: 2 + customer, Units: 1})
		}
		return len(b.sent) - before
	}
	if n := sentBehind(Late); n != 4 {
		t.Errorf("%d of 4 requests are sent behind a late one, want all", n)
	}
	if n := sentBehind(Unsent); n >= 4 {
		t.Errorf("%d of 4 requests are sent at once after a shortage, want fewer", n)
	}
}
