package logic

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSize plays requests with their answers and the ticks between them: the cost of a request must not grow with the number
// of firms and servers that are known. All firms are known at the start; B/firm is the memory for each.
func BenchmarkSize(b *testing.B) {
	for _, gateways := range []int{3, 200} {
		for _, rate := range []int{1000, 10_000} {
			for _, size := range [][2]int{{100, 10}, {100, 1000}, {10_000, 100}, {100_000, 10}, {100_000, 1000}, {1_000_000, 10_000}} {
				b.Run(fmt.Sprintf("gateways=%d/rate=%d/firms=%d/nodes=%d", gateways, rate, size[0], size[1]), func(b *testing.B) {
					playSize(b, gateways, rate, size[0], size[1])
				})
			}
		}
	}
}

func playSize(b *testing.B, gateways, rate, firms, nodes int) {
	set := testSettings()
	set.Gateways = gateways
	for k := range set.Plans { // no refusals: each request is sent and answered
		p := &set.Plans[k]
		p.Rate, p.Burst, p.Open, p.CeilingRate = 1e6, 1e6, 0, 0
	}
	rng := rand.New(rand.NewPCG(1, 2))
	now, id := time.Second, uint64(0)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	g := New(set, 1)
	g.Handle(now, ServerList{Complete: true, Servers: readyServers(nodes)})
	var handle func(ev Event)
	handle = func(ev Event) {
		for _, a := range g.Handle(now, ev) {
			switch a := a.(type) {
			case Send:
				handle(Outcome{ID: a.ID, Server: a.Server, Status: OK, RequestOver: true})
			case Count:
				handle(CountResult{Name: a.Name, Total: a.Amount})
			}
		}
	}
	ask := func(firm uint64) {
		id++
		handle(Request{ID: id, Customer: firm, Units: 1, TTL: time.Second, Spread: gateways})
	}
	var worst time.Duration
	ticked := now
	step := func() {
		if now += time.Second / time.Duration(rate); now >= ticked+tick {
			ticked += tick
			at := time.Now()
			handle(Timer{tickToken})
			worst = max(worst, time.Since(at))
		}
	}
	for k := range firms {
		ask(uint64(k))
		step()
	}
	memory := float64(heap()-before) / float64(firms)
	for range 5 * rate {
		ask(uint64(rng.IntN(firms)))
		step()
	}
	worst = 0
	b.ResetTimer()
	for range b.N {
		ask(uint64(rng.IntN(firms)))
		step()
	}
	b.ReportMetric(float64(worst.Microseconds()), "worst-tick-us")
	b.ReportMetric(memory, "B/firm")
}
