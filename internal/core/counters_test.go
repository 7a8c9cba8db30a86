package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/internal/sharding"
	"bramblefall/logic"
)

// fleet simulates several reducers and the counters that they call, in virtual time. A call takes one millisecond each way.
type fleet struct {
	now           time.Duration
	limiters      []*core.Reducer
	addresses     []map[int]string
	totals        map[string]map[uint64]float64 // by counter and name
	calls         map[string]int
	lost          map[string]bool
	admitted      int
	schedule      []scheduledCall
	lastRequestID uint64
}

type scheduledCall struct {
	at time.Duration
	do func()
}

type countingOrigin struct {
	discardOrigin
	f *fleet
}

func (g countingOrigin) Admitted() { g.f.admitted++ }

func newFleet(n int, set logic.Settings, reservations ...plans.Reservation) *fleet {
	f := &fleet{now: time.Hour, totals: map[string]map[uint64]float64{}, calls: map[string]int{}, lost: map[string]bool{}}
	set.Gateways = n
	for k := range n {
		set.Rank = k
		book := plans.New(set.Plans, plans.DefaultLimits)
		if err := book.Replace(plans.File, nil, reservations, f.now, nil); err != nil {
			panic(err)
		}
		f.limiters = append(f.limiters, core.New(set, uint64(k), book))
		f.addresses = append(f.addresses, map[int]string{0: "a:1"})
		f.run(k, f.limiters[k].Start(f.now, nil))
	}
	return f
}

func (f *fleet) at(at time.Duration, do func()) {
	f.schedule = append(f.schedule, scheduledCall{at, do})
}

func (f *fleet) post(k int, ev core.Event) { f.run(k, f.limiters[k].Reduce(f.now, ev, nil)) }

func (f *fleet) run(k int, effects []core.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case core.SetTimer:
			f.at(e.At, func() { f.post(k, e.Timer) })
		case core.Admit:
			e.Origin.Admitted()
		case core.SetCounters:
			f.addresses[k] = e.Counters
		case core.Count:
			addr := f.addresses[k][e.Counter]
			f.at(f.now+time.Millisecond, func() {
				if f.lost[addr] {
					f.post(k, core.CountResult{Call: e.Call, Status: logic.ConnectFailed})
					return
				}
				if f.totals[addr] == nil {
					f.totals[addr] = map[uint64]float64{}
				}
				f.calls[addr]++
				f.totals[addr][e.Name] += e.Amount
				total := f.totals[addr][e.Name]
				f.at(f.now+time.Millisecond, func() { f.post(k, core.CountResult{Call: e.Call, Total: total}) })
			})
		}
	}
}

// runUntil runs the scheduled calls up to a time.
func (f *fleet) runUntil(to time.Duration) {
	for {
		next := -1
		for k := range f.schedule {
			if f.schedule[k].at <= to && (next < 0 || f.schedule[k].at < f.schedule[next].at) {
				next = k
			}
		}
		if next < 0 {
			f.now = to
			return
		}
		t := f.schedule[next]
		f.schedule = slices.Delete(f.schedule, next, next+1)
		f.now = max(f.now, t.at)
		t.do()
	}
}

// request sends a firm's admission-only request for one unit to limiter k.
func (f *fleet) request(k int, firm uint64, spread int) {
	f.lastRequestID++
	f.post(k, core.RequestContext{Origin: countingOrigin{f: f}, Request: logic.Request{ID: f.lastRequestID, Customer: firm, Units: 1, Spread: spread, TTL: time.Second, AdmitOnly: true}})
}

func oneTier(rate, burst float64) logic.Settings {
	return logic.Settings{Zones: 1, MaxAttempts: 3, HasCounter: true, CounterLimit: 30 * time.Millisecond, MostUnits: 1,
		Classes: []logic.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
		Plans:   []logic.Plan{{Name: "regular", Rate: rate, Burst: burst, Price: 1}}}
}

// A reservation must not be leased twice when its names move to other counters and limiters learn of the new list at
// different times. With odd seeds the former counter is also lost during the change.
func TestReservationIsNotLeasedTwiceWhenCountersChange(t *testing.T) {
	const units = 200.0
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(3, oneTier(0.001, 1), plans.Reservation{ID: "r", Firm: 7, Units: units, From: time.Hour,
			Until: 3 * time.Hour, Source: plans.File})
		changeAt := f.now + 5*time.Second
		for k := range 3 {
			f.at(changeAt+time.Duration(rng.Int64N(int64(10*time.Second))), func() {
				f.post(k, core.CounterList{Previous: "a:1", Addresses: []string{"b:1", "c:1", "d:1"}})
			})
		}
		if seed%2 == 1 {
			f.at(changeAt+11*time.Second, func() { f.lost["a:1"] = true })
		}
		end := f.now + 70*time.Second
		for at := f.now; at < end; at += 40 * time.Millisecond {
			f.at(at, func() { f.request(rng.IntN(3), 7, 3) })
		}
		f.runUntil(end)
		require.LessOrEqual(t, float64(f.admitted), units+3*2, "seed %d: at most the reservation and what the quota admits", seed)
		require.Greater(t, float64(f.admitted), units/2, "seed %d: more than half of the reservation is used", seed)
	}
}

// Guards against calls to one counter that outgrow the requests in two extreme cases: one flooding firm, whose few names fall
// wherever the hash puts them, and a different firm for each request, of which nearly each needs a call.
func TestCallsPerCounterAreBounded(t *testing.T) {
	for firms, counters := range map[uint64][]int{1: {1, 2, 8}, 5000: {1, 2, 8}} {
		t.Run(fmt.Sprint(firms), func(t *testing.T) {
			for _, n := range counters {
				checkCallsAreBounded(t, firms, n)
			}
		})
	}
}

func checkCallsAreBounded(t *testing.T, firms uint64, counters int) {
	const limiters = 20
	f := newFleet(limiters, oneTier(20, 20))
	var list []string
	for k := range counters {
		list = append(list, fmt.Sprintf("c%d:1", k))
	}
	for k := range limiters {
		f.post(k, core.CounterList{Previous: list[0], Addresses: list})
	}
	requests := 0
	for at := f.now; at < time.Hour+10*time.Second; at += 2 * time.Millisecond {
		f.at(at, func() { f.request(requests%limiters, 7+uint64(requests)%firms, limiters); requests++ })
	}
	f.runUntil(time.Hour + 11*time.Second)
	for addr, calls := range f.calls {
		// The module's call budget: 1.2 calls a request, of which one counter gets twice its even share, since names fall
		// unevenly, and 8 calls that each limiter may save up for a counter.
		most := 1.2*float64(requests)*min(1, 2/float64(counters)) + 8*limiters
		require.LessOrEqual(t, float64(calls), most, "calls to %s, one of %d counters", addr, counters)
	}
	t.Logf("%d counters: %d requests, calls by counter %v", counters, requests, f.calls)
}

// A process that starts with a list of counters cannot know whether the list has just changed. Until sharding.MaxListSkew has
// passed it must not count under names that other limiters may still count on the counters of another list.
func TestStartWithCounterListWaitsOutSlack(t *testing.T) {
	set := oneTier(20, 20)
	set.Gateways = 20
	r := core.New(set, 1, plans.New(set.Plans, plans.DefaultLimits))
	r.ShardCounters(time.Hour, []string{"a:1", "b:1"}, false)
	calls := func(now time.Duration) (n int) {
		effects := r.Reduce(now, core.RequestContext{Origin: discardOrigin{}, Request: logic.Request{ID: uint64(now), Customer: 7, Units: 1, Spread: 20, TTL: time.Second, AdmitOnly: true}}, nil)
		for _, e := range effects {
			if _, ok := e.(core.Count); ok {
				n++
			}
		}
		return n
	}
	r.Start(time.Hour, nil)
	require.Zero(t, calls(time.Hour+time.Second))
	later := time.Hour + sharding.MaxListSkew + 5*time.Second
	n := 0
	for k := range 50 { // the module omits some calls at random
		n += calls(later + time.Duration(k)*20*time.Millisecond)
	}
	require.Positive(t, n)
}
