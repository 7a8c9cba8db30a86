package core_test

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/model"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

type discardOrigin struct{}

func (discardOrigin) Served(any)             {}
func (discardOrigin) Admitted()              {}
func (discardOrigin) Rejected(time.Duration) {}
func (discardOrigin) Failed()                {}

// Guards against leaks: over two simulated hours with firms that are seen once, servers that are replaced, and lost counter
// calls and tries, the heap must not grow from the end of the first hour to the end of the second.
func TestMemoryStaysFlatOverTwoHours(t *testing.T) {
	set := logic.Settings{Gateways: 4, Zones: 2, HasCounter: true, CounterLimit: 50 * time.Millisecond, MostUnits: 8, RetryAfter: true,
		MaxRetryAfter: time.Second, MaxAttempts: 3, Cancelling: true, StartCapacity: 0.2, Cold: 10 * time.Second, Fall: 3 * time.Second,
		FallMultiple: 2, DrainGrace: 250 * time.Millisecond,
		Classes: []logic.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}, {Aim: time.Second, Deadline: 4 * time.Second, Worth: 5}},
		Plans:   []logic.Plan{{Name: "small", Rate: 2, Burst: 16, Price: 1}, {Name: "large", Rate: 8, Burst: 32, Price: 2, CeilingRate: 16, CeilingBurst: 64, Open: 4}}}
	limits := plans.DefaultLimits
	limits.MaxRequestUnits = 8
	rng := rand.New(rand.NewPCG(1, 2))
	r := core.New(set, 1, plans.New(set.Plans, limits))
	var sim model.Sim
	const startTime = 1000 * time.Hour // the reducer's clock is Unix time
	sim.Run(startTime)
	var list []logic.Server
	var sent, refused int
	var reduce func(ev core.Event)
	postAfter := func(after time.Duration, ev core.Event) { sim.After(after, func() { reduce(ev) }) }
	reduce = func(ev core.Event) {
		for _, e := range r.Reduce(sim.Now(), ev, nil) {
			latency := time.Duration(rng.ExpFloat64() * float64(80*time.Millisecond))
			switch e := e.(type) {
			case core.SetTimer:
				postAfter(e.At-sim.Now(), e.Timer)
			case core.Try:
				if sent++; rng.IntN(20) == 0 { // lost: the try times out
					postAfter(e.Timeout, core.Outcome{Key: e.Key, Status: logic.Timeout})
				} else {
					postAfter(latency, core.Outcome{Key: e.Key, Status: logic.OK})
				}
			case core.Abandon:
				postAfter(0, core.Outcome{Key: e.Key, Status: e.Reason})
			case core.Count:
				if rng.IntN(20) > 0 {
					postAfter(latency/20, core.CountResult{Call: e.Call, Status: logic.OK, Total: e.Amount})
				}
			case core.Reject:
				refused++
			}
		}
	}
	lastNewFirm := uint64(1000)
	var arrive func()
	arrive = func() {
		sim.After(time.Duration(rng.ExpFloat64()*float64(50*time.Millisecond)), arrive)
		if rng.IntN(10) == 0 || len(list) == 0 { // one server goes once there are twelve, and one comes
			var update []logic.Server
			if len(list) >= 12 {
				gone := list[0]
				gone.State, list = logic.Gone, list[1:]
				update = append(update, gone)
			}
			s := logic.Server{ID: logic.ServerID(rng.Uint64()), State: logic.Ready, Zone: rng.IntN(2), Started: sim.Now()}
			list = append(list, s)
			reduce(core.UpstreamGroup{ServerList: logic.ServerList{Servers: append(update, s)}})
		}
		requester := rng.Uint64N(100)
		if rng.IntN(4) == 0 {
			lastNewFirm++
			requester = lastNewFirm
		}
		class := rng.IntN(2)
		reduce(core.RequestContext{Request: logic.Request{ID: rng.Uint64(), Class: class, Plan: int(requester % 2), Customer: requester,
			TTL: set.Classes[class].Deadline, Units: float64(1 + rng.IntN(8)), Spread: 4}, Origin: discardOrigin{}})
	}
	arrive()
	var heapBytes [5]uint64
	for halfHour := 1; halfHour <= 4; halfHour++ {
		sim.Run(startTime + time.Duration(halfHour)*30*time.Minute)
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		heapBytes[halfHour] = m.HeapAlloc
		t.Logf("after %d half-hours: %d bytes, %d sent, %d refused, %d open", halfHour, m.HeapAlloc, sent, refused, r.OpenCount())
		// In addition to 3% the timing wheel of firms may grow, since an emptied slot keeps room for items. This allows for one
		// item, a pointer of 8 bytes, in each of 8,192 slots; package schedule's own bound is 8 items a slot.
		if halfHour == 4 && float64(heapBytes[4]) > 1.03*float64(heapBytes[2])+8<<13 {
			t.Errorf("heap holds %d bytes after two hours, want at most 3%% and 64 KiB above the %d bytes after one hour", heapBytes[4], heapBytes[2])
		}
	}
	if sent < 10000 || refused < 1000 {
		t.Errorf("load too low to show a leak: got %d tries and %d rejections, want at least 10000 and 1000", sent, refused)
	}
}
