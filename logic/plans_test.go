package logic

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeBook is a book whose one tier may change, and reserves that hold a few units.
type fakeBook struct {
	plan Plan
	left float64
}

func (f *fakeBook) Plan(uint64, int) (Plan, bool) { return f.plan, true }

func (f *fakeBook) Take(_ time.Duration, _ uint64, units float64) bool {
	if f.left < units {
		return false
	}
	f.left -= units
	return true
}

func (f *fakeBook) Return(_ time.Duration, _ uint64, units float64) { f.left += units }

func (f *fakeBook) LeasePending(time.Duration, uint64) bool { return false }

// planHarness plays one gateway with servers, on a book.
type planHarness struct {
	g    *Gateway
	f    *fakeBook
	now  time.Duration
	next uint64
	sent float64
	done int // final answers
}

func newPlanHarness(p Plan) *planHarness {
	set := testSettings()
	set.Gateways, set.Plans, set.HasCounter = 1, []Plan{p}, false
	h := &planHarness{g: New(set, 1), f: &fakeBook{plan: p}, now: time.Hour}
	h.g.SetPlanSource(h.f, h.f)
	h.handle(ServerList{Complete: true, Servers: readyServers(4)})
	return h
}

func (h *planHarness) handle(ev Event) {
	for _, a := range h.g.Handle(h.now, ev) {
		switch a := a.(type) {
		case Send:
			h.sent++
			h.handle(Outcome{ID: a.ID, Server: a.Server, Status: OK, RequestOver: true})
			h.done++
		case Refuse, Fail:
			h.done++
		}
	}
}

func (h *planHarness) change(p Plan) {
	h.f.plan = p
	h.handle(PlansChanged{})
}

func (h *planHarness) ask() {
	h.next++
	h.handle(Request{ID: h.next, Customer: 7, TTL: 4 * time.Second, Units: 1, Spread: 1})
}

// pass lets time pass in ticks.
func (h *planHarness) pass(d time.Duration) {
	for until := h.now + d; h.now < until; {
		h.now += tick
		h.handle(Timer{Token: tickToken})
	}
}

// No sequence of changes gives a firm a unit that the largest of the plans would not have given: at one instant no more than the
// bucket held, over time no more than the rates in force, under the ceiling that is in force.
func TestNoSequenceOfChangesRefillsABucket(t *testing.T) {
	draw := func(t *rapid.T) Plan {
		p := Plan{Name: "full", Price: 1, Rate: rapid.SampledFrom([]float64{1, 5, 20}).Draw(t, "rate")}
		p.Burst = p.Rate * rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "burst")
		if rapid.Bool().Draw(t, "ceiling") {
			p.CeilingRate, p.CeilingBurst, p.CeilingSlack = 2*p.Rate, 2*p.Burst, 0.1*p.Burst
		}
		return p
	}
	rapid.Check(t, func(t *rapid.T) {
		p := draw(t)
		h := newPlanHarness(p)
		asked := 0
		most, seen := 0.0, false // units allowed by all plans in force since the firm was first seen, taken together
		ask := func() {
			if !seen {
				most, seen = p.Burst, true
			}
			h.ask()
			asked++
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				most += p.Rate * tick.Seconds() // firms without held requests take the change up within a tick
				p = draw(t)
				h.change(p)
			},
			"back and forth": func(t *rapid.T) {
				level, ceiling := 0.0, 0.0
				ask()
				c := h.g.customers[7]
				level, ceiling = c.level, c.ceiling
				for range 3 {
					h.change(draw(t))
				}
				h.change(p)
				h.handle(Timer{Token: tickToken})
				if c.level > level || c.ceiling > ceiling {
					t.Fatalf("changes raised the bucket from %v to %v or the ceiling from %v to %v", level, c.level, ceiling, c.ceiling)
				}
			},
			"flood": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					ask()
				}
			},
			"wait": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 200).Draw(t, "ticks")) * tick
				most += p.Rate * d.Seconds()
				h.pass(d)
			},
			"": func(t *rapid.T) {
				if h.sent > most+1e-6 {
					t.Fatalf("%v units sent on, %v allowed", h.sent, most)
				}
			},
		})
		h.pass(6 * time.Second)
		if h.done != asked {
			t.Fatalf("%d of %d requests have their final answer", h.done, asked)
		}
	})
}

// A plan is lowered during a burst: held requests that can no longer be served in time are refused at once, with a true time to
// come back.
func TestALoweredPlanRefusesAtOnceWhatCannotPassAnyMore(t *testing.T) {
	h := newPlanHarness(Plan{Name: "full", Rate: 20, Burst: 20, Price: 1})
	for range 30 {
		h.ask()
	}
	c := h.g.customers[7]
	if len(c.held) == 0 {
		t.Fatal("no request is held before the plan is lowered")
	}
	held, done := len(c.held), h.done
	h.f.plan = Plan{Name: "full", Rate: 0.5, Burst: 1, Price: 1}
	var after []time.Duration
	for _, a := range h.g.Handle(h.now, PlansChanged{}) {
		if r, ok := a.(Refuse); ok {
			after = append(after, r.RetryAfter)
			h.done++
		}
	}
	if len(after) == 0 || len(after) != h.done-done || len(c.held)+len(after) != held {
		t.Fatalf("%d held, then %d refused and %d held; want some refused and none lost", held, len(after), len(c.held))
	}
	for _, d := range after {
		if d <= 0 {
			t.Error("refused without a time to come back")
		}
	}
}

// Gateways with different figures of a plan never read each other's sums: the names of their counts differ, and agree again when
// the figures do.
func TestCountNamesDifferByPlanFigures(t *testing.T) {
	p := Plan{Name: "full", Rate: 20, Burst: 20, Price: 1}
	a, h := newPlanHarness(p), newPlanHarness(p)
	a.ask()
	h.ask()
	name := func(x *planHarness) uint64 { return x.g.customers[7].countName(forecastSums) }
	if name(a) != name(h) {
		t.Fatal("two gateways with the same figures name a count differently, want one name")
	}
	p.Rate = 10
	a.change(p)
	a.ask()
	if name(a) == name(h) {
		t.Fatal("two gateways with different figures name a count alike, want two names")
	}
	h.change(p)
	h.pass(tick)
	a.pass(tick)
	if name(a) != name(h) {
		t.Fatal("two gateways that have the same figures again name a count differently, want one name")
	}
	p.Price = 3
	a.change(p)
	a.pass(tick)
	h.pass(tick)
	if name(a) != name(h) {
		t.Fatal("a change of the price changed the name of a count, want the same name")
	}
}

// A reservation lets requests through that the bucket does not hold, and the ceiling holds all the same.
func TestReservationIsWithinQuotaAndUnderTheCeiling(t *testing.T) {
	h := newPlanHarness(Plan{Name: "full", Rate: 1, Burst: 2, Price: 1})
	h.f.left = 10
	for range 30 {
		h.ask()
	}
	if h.sent != 12 {
		t.Fatalf("%v units sent on, want 12: a bucket of 2 and a reservation of 10", h.sent)
	}
	h = newPlanHarness(Plan{Name: "full", Rate: 1, Burst: 2, Price: 1, CeilingRate: 1, CeilingBurst: 5, CeilingSlack: 4})
	h.f.left = 100
	for range 30 {
		h.ask()
	}
	if h.sent > 4 {
		t.Fatalf("%v units sent on, want at most 4: a new ceiling bucket holds 3.6", h.sent)
	}
}
