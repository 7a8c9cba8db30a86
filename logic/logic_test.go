package logic

import (
	"go/parser"
	"go/token"
	"math"
	"os"
	"strings"
	"testing"
	"testing/quick"
	"time"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestForecastByHand(t *testing.T) {
	c := &customer{interval: 2 * time.Second}
	steps := []struct{ demanded, meanChange, meanRise, forecast float64 }{
		{20, 0, 0, 10},                                                  // the first interval of a new customer is no rise
		{28, 1.2, 1.2, 14 + 1.2 + 2},                                    // change 4
		{24, 0.7*1.2 - 0.6, 0.84, 12 + 0.24 + 1.4},                      // change -2: it counts in the mean change, not in the rise
		{0, 0.7*0.24 - 3.6, 0.7 * 0.84, 0},                              // change -12: the forecast is never below 0
		{8, 0.7*-3.432 + 1.2, 0.7*0.588 + 1.2, 4 - 1.2024 + 1.6116/0.6}, // change 4
	}
	for k, s := range steps {
		c.demanded = s.demanded
		c.updateForecast(1)
		if !almostEqual(c.meanChange, s.meanChange) || !almostEqual(c.meanRise, s.meanRise) || !almostEqual(c.forecast, s.forecast) {
			t.Errorf("interval %d: mean change %v, mean rise %v, forecast %v, want %+v", k, c.meanChange, c.meanRise, c.forecast, s)
		}
	}
}

func TestSplitByHand(t *testing.T) {
	cases := []struct{ n, k, within, forecasts, f, want float64 }{
		{3, 3, 16, 20, 12, 16},                                      // g = 8: forecasts 12, 4, 4; left 8, short 4: 12 and a third of the 4 left over (set below)
		{3, 3, 24, 48, 32, 8},                                       // all forecast more than g: each gets g
		{2, 2, 11, 27, 24, 8 + 5},                                   // forecasts 24 and 3: left 5, all of it to the one that is short
		{3, 3, 20, 32, 16, 8 + 4*8/12.0},                            // forecasts 16, 12, 4: left 4, short 12, pro rata to f - min(f, g)
		{3, 1, 8, 12, 12, 12 + (24 - 8 - 2*minReportedShare*8 - 4)}, // the room of the two quiet gateways is kept
	}
	cases[0].want = 12 + (24-16-4)/3.0
	for _, c := range cases {
		if got := splitQuota(c.n, c.k, c.within, c.forecasts, c.f, stepsPerEvenShare); !almostEqual(got, c.want) {
			t.Errorf("%+v: share %v, want %v", c, got, c.want)
		}
	}
}

// Shares taken from the same sums never add up to more than the quota.
func TestSplitNeverExceedsTheQuota(t *testing.T) {
	check := func(raw []uint8) bool {
		if len(raw) < 2 {
			return true
		}
		raw = raw[:min(len(raw), 15)]
		n := float64(len(raw))
		var k, within, forecasts float64
		for _, v := range raw {
			if f := float64(v % 65); f > 0 {
				k, within, forecasts = k+1, within+min(f, stepsPerEvenShare), forecasts+f
			}
		}
		k2, within2, forecasts2 := unpack(pack(k, within, forecasts))
		if k2 != k || within2 != within || forecasts2 != forecasts {
			return false
		}
		sum := 0.0
		for _, v := range raw {
			if f := float64(v % 65); f > 0 {
				sum += splitQuota(n, k, within, forecasts, f, stepsPerEvenShare)
			}
		}
		return sum <= n*stepsPerEvenShare+1e-6
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 5000}); err != nil {
		t.Error(err)
	}
}

func TestSpacing(t *testing.T) {
	c := &customer{gateways: 2, shares: 2, share: 4, plan: Plan{Rate: 8, Burst: 10}}
	for _, s := range []struct{ rate, excess, want float64 }{
		{0, 0, 0.25},                            // 1/B
		{2, 0, 0.25},                            // below the share: no bonus
		{8, 0, 0.25 * (1 + pacingProportional)}, // S = 2B
		{8, 5, 0.25 * (1 + pacingProportional + pacingIntegral)}, // E at its bound
	} {
		c.recentRate, c.recentExcess = s.rate, s.excess
		if got := c.spacing(); !almostEqual(got, s.want) {
			t.Errorf("S %v, E %v: %v, want %v", s.rate, s.excess, got, s.want)
		}
	}
}

// A long surge must not cause long holds after it: E is bounded by the local bucket.
func TestSurgeLeavesNoWindup(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(40)...)
	answer := func() {
		h.answerAttempts(20 * ms)
	}
	h.run(10*time.Second, func() {
		h.arrive(Request{Customer: 1, Units: 2})
		answer()
	})
	c := h.g.customers[1]
	if c.recentExcess > c.bucketSize() {
		t.Errorf("E is %.1f, want at most the bucket of %.1f", c.recentExcess, c.bucketSize())
	}
	h.run(2*time.Second, answer)
	if p := h.arrive(Request{Customer: 1, Units: 2}); !p.inFlight {
		t.Errorf("two seconds after the surge a request is not sent at once, its answer is %q", p.answer)
	}
}

// Held requests leave in the order of their arrival.
func TestHeldLeaveInOrder(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(40)...)
	var ps []*trackedRequest
	for range 7 { // the local bucket is 10 units, the share 10 a second
		ps = append(ps, h.arrive(Request{Customer: 1, Units: 2}))
	}
	if !ps[4].inFlight || ps[5].inFlight || ps[6].inFlight {
		t.Fatal("not just the five requests that the bucket covers were sent at once")
	}
	h.run(450*ms, nil)
	if !ps[5].inFlight || !ps[6].inFlight || ps[5].sentAt >= ps[6].sentAt {
		t.Errorf("held requests sent at %v and %v, want both sent, in order", ps[5].sentAt, ps[6].sentAt)
	}
	for range 9 {
		p := h.arrive(Request{Customer: 1, Units: 2})
		if p.answer == "refused" {
			return
		}
	}
	t.Error("no request was refused at once although its wait would exceed its aim")
}

// The turns of all gateways add up to the cap at any time: no two of them take the same slot for theirs.
func TestTurnsAddUpToTheCap(t *testing.T) {
	for _, open := range []int{1, 2, 3, 5} {
		for n := 2; n <= ownViewGateways; n++ {
			for at := time.Duration(0); at < 3*time.Second; at += 7 * ms {
				sum := 0
				for place := range n {
					c := &customer{gateways: float64(n), rank: float64(place), plan: Plan{Open: open}, share: float64(open) / float64(n), forecast: 1000}
					sum += c.slotLimit(&Gateway{now: at, turnTime: maxTurnTime})
				}
				if sum != open {
					t.Fatalf("cap %d, %d gateways, at %v: %d slots in all", open, n, at, sum)
				}
			}
		}
	}
}

// The same for a plan with a rate, also for a firm that asks for little: four gateways that each allow one attempt in flight
// would exceed a cap of two. Where a share is a whole attempt or more, quiet gateways keep to it.
func TestQuietGatewaysKeepTheCap(t *testing.T) {
	for _, open := range []int{1, 2, 3, 5, 9} {
		for n := 2; n <= ownViewGateways; n++ {
			for at := time.Duration(0); at < 3*time.Second; at += 7 * ms {
				sum := 0
				for place := range n {
					c := &customer{gateways: float64(n), rank: float64(place), plan: Plan{Rate: 5, Open: open}}
					sum += c.slotLimit(&Gateway{now: at, turnTime: maxTurnTime, upstream: &upstream{latency: float64(100 * ms)}})
				}
				if sum > open || sum < open-open%n && open >= n || open < n && sum != open {
					t.Fatalf("cap %d, %d gateways, at %v: %d slots in all", open, n, at, sum)
				}
			}
		}
	}
}

// Units are a request's size: a server with one large attempt in flight has more to do than one with two small ones.
func TestALargeAttemptWeighsMore(t *testing.T) {
	for seed := range uint64(20) {
		g := New(testSettings(), seed)
		u := g.upstreamNumbered(0)
		u.meanUnits = 2
		g.servers = map[ServerID]*server{}
		large, small := &server{upstream: u, Server: Server{ID: 1, State: Ready}}, &server{upstream: u, Server: Server{ID: 2, State: Ready}}
		u.list, u.usableServers, u.warmCapacity = []*server{large, small}, 2, 2
		large.addAttempt(&request{Request: Request{Units: 8}})
		small.addAttempt(&request{Request: Request{Units: 1}})
		small.addAttempt(&request{Request: Request{Units: 1}})
		if g.leastLoaded(&request{upstream: u}, u.list, true) != small {
			t.Fatalf("seed %d: the server with the large attempt was chosen", seed)
		}
		if u.latency = float64(100 * ms); g.expectedLatency(&request{upstream: u, Request: Request{Units: 8}, class: Class{Aim: time.Second}}) != 400*ms {
			t.Fatal("an attempt of four times the mean units is not expected to take four times the latency (400ms)")
		}
	}
}

// What is kept for requests of more worth grows with the mean units of requests: it is the units of two of them, at most half
// the bucket, times the share of the best worth that the request lacks.
func TestUnitsKeptFollowTheSizeOfRequests(t *testing.T) {
	// For a request of half the best worth, of a bucket of 10: half of two mean requests, and at most half of half the bucket.
	for units, want := range map[float64]float64{1: 1, 2: 2, 100: 2.5} {
		c := &customer{plan: Plan{Rate: 10, Burst: 10}, gateways: 1, shares: 1, share: 1, demanded: 10, interval: time.Second, bestWorth: 2}
		if got := c.keptForWorth(&request{class: Class{Worth: 1}}, &Gateway{meanRequestUnits: units}); !almostEqual(got, want) {
			t.Errorf("%v units a request: %v kept, want %v", units, got, want)
		}
	}
}

// The wait for a turn must leave time for an answer, whatever the deployment's aims are.
func TestTurnsAreShorterThanTheShortestAim(t *testing.T) {
	for aim, want := range map[time.Duration]time.Duration{1500 * ms: 600 * ms, 750 * ms: 600 * ms, 200 * ms: 160 * ms, 0: tick} {
		g := New(Settings{Classes: []Class{{Aim: 3 * time.Second}, {Aim: aim}}}, 1)
		if g.turnTime != want {
			t.Errorf("turns of %v at an aim of %v, want %v", g.turnTime, aim, want)
		}
	}
}

// runAlone plays six seconds of a customer that sends to one gateway only, and answers its counter calls.
func runAlone(t *testing.T, answer func(Count) (Status, float64)) *harness {
	h := newHarness(t, testSettings(), readyServers(40)...)
	k := 0
	h.run(6*time.Second, func() {
		if k++; k%50 == 0 { // ten requests a second of two units; g is ten units a second
			h.arrive(Request{Customer: 1, Units: 2})
		}
		h.answerAttempts(20 * ms)
		counts := h.counts
		h.counts = nil
		for _, c := range counts {
			st, total := answer(c)
			h.handle(CountResult{Name: c.Name, Status: st, Total: total})
		}
	})
	return h
}

func TestBusyGatewayGetsTheIdleOnesShare(t *testing.T) {
	sums := map[uint64]float64{}
	h := runAlone(t, func(c Count) (Status, float64) {
		sums[c.Name] += c.Amount
		return OK, sums[c.Name]
	})
	if c := h.g.customers[1]; c.share < 18 {
		t.Errorf("share %.1f of 30 after six seconds of a demand of 20 at this gateway alone, want at least 18", c.share)
	}
}

// Where the counter is silent, fails or loses its state, or its sums make no sense, the even share applies.
func TestCounterFailureMeansEvenShare(t *testing.T) {
	for name, answer := range map[string]func(Count) (Status, float64){
		"timeout": func(Count) (Status, float64) { return Timeout, 0 },
		"refused": func(Count) (Status, float64) { return ConnectFailed, 0 },
		"emptied": func(Count) (Status, float64) { return OK, 0 },
		"NaN":     func(Count) (Status, float64) { return OK, math.NaN() },
		"absurd":  func(Count) (Status, float64) { return OK, 1e30 },
		"stolen":  func(c Count) (Status, float64) { return OK, pack(2, 3, 3) },
	} {
		h := runAlone(t, answer)
		if c := h.g.customers[1]; !almostEqual(c.share, 10) {
			t.Errorf("%s: share %.2f, want the even share of 10", name, c.share)
		}
		if name == "timeout" && len(h.counts) > 0 {
			t.Errorf("%d counter calls are not answered", len(h.counts))
		}
	}
}

// While the counter fails, few calls are made: it must not be flooded when it is back.
func TestCallsBackOff(t *testing.T) {
	calls := 0
	runAlone(t, func(Count) (Status, float64) { calls++; return Full, 0 })
	if calls > 5 {
		t.Errorf("%d calls to a failing counter in six seconds, want at most 5", calls)
	}
}

// A server that takes requests and answers none is ejected before its attempts time out.
func TestHungServerIsEjected(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(4)...)
	toIt := 0
	k := 0
	h.run(4*time.Second, func() {
		if k++; k%10 == 0 {
			h.arrive(Request{Customer: uint64(k), Units: 1})
		}
		for id := uint64(1); id <= h.nextID; id++ {
			p := h.requests[id]
			switch {
			case p == nil || !p.inFlight:
			case p.cancelled:
				h.end(p, Cancelled)
			case h.now >= p.deadline || p.timeout > 0 && h.now >= p.sentAt+p.timeout:
				h.end(p, Timeout)
			case p.server != 1 && h.now-p.sentAt >= 50*ms:
				h.end(p, OK)
			}
		}
	})
	for _, s := range h.sent {
		if s == 1 {
			toIt++
		}
	}
	if toIt > 20 {
		t.Errorf("%d of %d attempts went to the hung server, want at most 20", toIt, len(h.sent))
	}
	if !h.g.servers[1].ejected {
		t.Error("the hung server is not ejected")
	}
}

func TestAbsurdRequestsAreAnsweredAtOnce(t *testing.T) {
	for name, q := range map[string]Request{
		"class":     {Class: 9, Units: 1, TTL: time.Second},
		"plan":      {Plan: -1, Units: 1, TTL: time.Second},
		"no time":   {Units: 1, TTL: -time.Second},
		"NaN units": {Units: math.NaN(), TTL: time.Second},
		"negative":  {Units: -3, TTL: time.Second},
	} {
		h := newHarness(t, testSettings(), readyServers(2)...)
		q.ID, q.Spread = 1, -7
		acts := h.g.Handle(h.now, q)
		if len(acts) != 1 || acts[0] != (Refuse{ID: 1}) {
			t.Errorf("%s: actions %+v, want one refusal", name, acts)
		}
	}
}

func TestModuleStaysSmallAndAlone(t *testing.T) {
	text, err := os.ReadFile("logic.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for k, l := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(l) != "" {
			lines++
		}
		if len([]rune(l)) > 110 {
			t.Errorf("logic.go:%d has %d characters, want at most 110", k+1, len([]rune(l)))
		}
	}
	if lines > 980 {
		t.Errorf("logic.go has %d non-blank lines, want at most 980", lines)
	}
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), ".go") || strings.HasSuffix(f.Name(), "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), f.Name(), nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imp := range parsed.Imports {
			path := strings.Trim(imp.Path.Value, `"`)
			if path == "bramblefall/internal/schedule" { // a data structure, which decides nothing
				continue
			}
			if strings.Contains(path, "bramblefall") || strings.Contains(path, ".") {
				t.Errorf("%s imports %s, want only the standard library", f.Name(), path)
			}
		}
	}
}
