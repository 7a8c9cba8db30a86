package scale

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"bramblefall/internal/lab"
	"bramblefall/internal/wire"
	"bramblefall/logic"
)

const (
	moduleRequestsPerSecond = 10_000 // lets the largest size, 510,000 firms, ask once each within a minute
	moduleLimiters          = 3
	moduleServers           = 100
	moduleRequestTTL        = time.Second
)

// moduleMemory returns the heap bytes that the decision module holds, after a garbage collection, once the given number of
// firms have each sent one request within a minute. The heap grows with the number of active firms. Servers and the counter
// answer every call immediately.
func moduleMemory(firms int) (heapGrowth float64, err error) {
	raw, err := json.Marshal(lab.LimiterSettings(moduleLimiters, 0, []logic.Plan{{Name: "regular", Rate: 1e6, Burst: 1e6, Price: 1, OverCost: 0.5}}))
	if err != nil {
		return 0, err
	}
	settings, err := wire.SettingsFromJSON(raw)
	if err != nil {
		return 0, err
	}
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC() // frees what finalizers and sync.Pools kept alive through the first collection
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	gateway := logic.New(settings, 1)
	now := time.Second
	// timers holds the due time of each token; timersDue holds the tokens by the millisecond in which they are due.
	timers, timersDue := map[uint32]time.Duration{}, map[time.Duration][]uint32{}
	served := 0
	var handle func(logic.Event)
	handle = func(e logic.Event) {
		for _, a := range gateway.Handle(now, e) {
			switch a := a.(type) {
			case logic.Send:
				served++
				handle(logic.Outcome{ID: a.ID, Server: a.Server, Status: logic.OK, RequestOver: true})
			case logic.Count:
				handle(logic.CountResult{Name: a.Name, Total: a.Amount})
			case logic.SetTimer:
				dueAt := max(now+a.After, now+time.Millisecond).Truncate(time.Millisecond)
				timers[a.Token] = dueAt
				timersDue[dueAt] = append(timersDue[dueAt], a.Token)
			}
		}
	}
	serverList := logic.ServerList{Complete: true}
	for k := range moduleServers {
		serverList.Servers = append(serverList.Servers, logic.Server{ID: logic.ServerID(k + 1), Weight: 1, Cell: k / 2, State: logic.Ready})
	}
	handle(serverList)
	for k := range firms {
		dueAt := now.Truncate(time.Millisecond)
		for _, token := range timersDue[dueAt] {
			if timers[token] == dueAt { // skips a timer that was set again to another time
				delete(timers, token)
				handle(logic.Timer{Token: token})
			}
		}
		delete(timersDue, dueAt)
		handle(logic.Request{ID: uint64(k + 1), Customer: uint64(k + 1), Units: 1, TTL: moduleRequestTTL, Spread: moduleLimiters})
		now += time.Second / moduleRequestsPerSecond
	}
	heapGrowth = heap() - before
	runtime.KeepAlive(gateway)
	if served < firms/2 {
		return 0, fmt.Errorf("the module served %d requests of %d firms, want at least half", served, firms)
	}
	return heapGrowth, nil
}

// sweepModule measures the decision module's heap against the number of active firms.
func (r *residentRun) sweepModule() error {
	var memory residentPoints
	for _, n := range r.sizes.ModuleFirms {
		if err := r.ctx.Err(); err != nil {
			return err
		}
		v, err := moduleMemory(n)
		if err != nil {
			return err
		}
		memory.add(float64(n), v)
		r.say("decision module with %d active firms: %.1f MB of heap", n, v/1e6)
	}
	r.addSlope(memory, "limiter", "memory", "bytes", "tenants_active",
		fmt.Sprintf("module: heap after a collection, each firm asks once within a minute, %d requests a second, %d limiters, %d servers", moduleRequestsPerSecond, moduleLimiters, moduleServers))
	return nil
}
