package logic

import (
	"slices"
	"testing"
	"time"
)

// fixedCounters holds every name on the same counters.
type fixedCounters []int

func (a fixedCounters) Holders(time.Duration, uint64, time.Duration) []int { return a }

// newManyCountersHarness is the harness of one of two hundred gateways whose names are on some of eight counters.
func newManyCountersHarness(t *testing.T, on ...int) *harness {
	h := newManyGatewaysHarness(t, false)
	h.g.SetCounterMap(fixedCounters(on))
	h.handle(CountersChanged{Numbers: []int{0, 1, 2, 3, 4, 5, 6, 7}, SpreadOver: 8})
	return h
}

// answerCallsBy answers the calls so far, with a part from each counter.
func (h *harness) answerCallsBy(st Status, total float64, parts ...CountPart) {
	counts := h.counts
	h.counts = nil
	for _, c := range counts {
		h.handle(CountResult{Name: c.Name, Status: st, Total: total, Parts: parts})
	}
}

// Requests earn each counter its share of calls and as much again: where all names are on one counter of eight it gets no more.
// Guards against a hot counter that gets the calls earned for all.
func TestNamesOnOneCounterGetItsShareOfCalls(t *testing.T) {
	h := newManyCountersHarness(t, 3)
	h.g.counterNumbered(3).callShare = 1
	made := 0
	for k := range 400 {
		h.arrive(Request{Customer: uint64(100 + k), Units: 1})
		made += len(h.counts)
		h.answerCallsBy(OK, 1, CountPart{Counter: 3})
		h.run(10*ms, func() { h.answerAttempts(0) })
	}
	if most := 400*counterCallsPerRequest*2/8 + manyGatewaysCallBurst; float64(made) > most || float64(made) < most/3 {
		t.Errorf("%d calls to one counter, want %v to %v", made, most/3, most)
	}
}

// What one counter does says nothing about another. One that is skipped is not called, and what is known of counters that left the
// list is forgotten.
func TestCountersAreTrackedSeparately(t *testing.T) {
	h := newManyCountersHarness(t, 1, 2)
	for k := range 20 {
		h.arrive(Request{Customer: uint64(100 + k), Units: 1})
		h.answerCallsBy(Timeout, 0, CountPart{Counter: 1}, CountPart{Counter: 2, Status: ConnectFailed})
	}
	one, two := h.g.counterNumbered(1), h.g.counterNumbered(2)
	if one.failures != 0 || one.noCallsUntil > 0 || one.callShare < 0.33 {
		t.Errorf("the counter that answers: %+v, want no failures", one)
	}
	if two.failures < failuresBeforeBackoff || two.noCallsUntil <= h.now || !two.unreachable {
		t.Errorf("the counter that cannot be reached: %+v, want a pause in calls", two)
	}
	for k := range 20 {
		h.arrive(Request{Customer: uint64(200 + k), Units: 1})
		for _, c := range h.counts {
			if c.SkippedMask != 2 {
				t.Fatalf("counters spared: bits %b, want 10", c.SkippedMask)
			}
		}
		h.answerCallsBy(Timeout, 0, CountPart{Counter: 1})
	}
	h.handle(CountersChanged{Numbers: []int{1, 5}, SpreadOver: 2})
	if slices.ContainsFunc(h.g.counters, func(k *counter) bool { return k.number == 2 }) || h.g.counterNumbered(1) != one {
		t.Error("counter 2, which left the list, is still known, or counter 1, which stayed, has another record; want neither")
	}
}

// A name that no counter holds is not called, and the gateway continues with its even share.
func TestANameWithoutACounterIsNotCalled(t *testing.T) {
	h := newManyCountersHarness(t)
	p := h.arrive(Request{Customer: 7, Units: 1})
	if len(h.counts) > 0 || !p.inFlight {
		t.Errorf("calls %+v, sent %v; want no call and the request sent", h.counts, p.inFlight)
	}
}

// A new counter is called for the first time by all gateways at once: each makes few calls, a share of those that it wants, until
// answers come. Guards against so many calls at once that the counter can answer none of them.
func TestNewCounterGetsFewCalls(t *testing.T) {
	h := newManyCountersHarness(t, 3)
	made := 0
	for k := range 40 { // none of the answers has come yet
		h.arrive(Request{Customer: uint64(100 + k), Units: 1})
		made += len(h.counts)
		h.counts = nil
	}
	if most := manyGatewaysCallBurst/2 + 40*counterCallsPerRequest*2/8*0.34; float64(made) > most || made == 0 {
		t.Errorf("%d calls before the first answer, want 1 to %v", made, most)
	}
}
