package core

import (
	"container/heap"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"bramblefall/internal/plans"
	"bramblefall/logic"
)

type due struct {
	at time.Duration
	ev Event
}

type calendar []due

func (c calendar) Len() int           { return len(c) }
func (c calendar) Less(i, j int) bool { return c[i].at < c[j].at }
func (c calendar) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)        { *c = append(*c, x.(due)) }
func (c *calendar) Pop() any {
	x := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return x
}

type nobody struct{}

func (nobody) Served(any)             {}
func (nobody) Admitted()              {}
func (nobody) Rejected(time.Duration) {}
func (nobody) Failed()                {}

// Two hours with firms that are seen once, servers that are replaced, calls and tries that are lost: what is held at the
// end of each half-hour is the same.
func TestWhatIsHeldIsFlatOverHours(t *testing.T) {
	set := logic.Settings{Gateways: 4, Zones: 2, HasCounter: true, CounterLimit: 50 * time.Millisecond, MostUnits: 8, RetryAfter: true,
		MaxRetryAfter: time.Second, MaxAttempts: 3, Cancelling: true, StartCapacity: 0.2, Cold: 10 * time.Second, Fall: 3 * time.Second,
		FallMultiple: 2, DrainGrace: 250 * time.Millisecond,
		Classes: []logic.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}, {Aim: time.Second, Deadline: 4 * time.Second, Worth: 5}},
		Plans:   []logic.Plan{{Name: "small", Rate: 2, Burst: 16, Price: 1}, {Name: "large", Rate: 8, Burst: 32, Price: 2, CeilingRate: 16, CeilingBurst: 64, Open: 4}}}
	limits := plans.DefaultLimits
	limits.MostUnits = 8
	rng := rand.New(rand.NewPCG(1, 2))
	r := New(set, 1, plans.New(set.Plans, limits))
	now, begun := 1000*time.Hour, 1000*time.Hour
	todo := &calendar{}
	later := func(after time.Duration, ev Event) { heap.Push(todo, due{now + after, ev}) }
	var list []logic.Server
	var sent, refused int
	take := func(ev Event) {
		for _, e := range r.Reduce(now, ev, nil) {
			some := time.Duration(rng.ExpFloat64() * float64(80*time.Millisecond))
			switch e := e.(type) {
			case SetTimer:
				later(e.At-now, e.Timer)
			case Try:
				if sent++; rng.IntN(20) == 0 { // lost: its time ends it
					later(e.Wait, Outcome{Key: e.Key, Status: logic.Timeout})
				} else {
					later(some, Outcome{Key: e.Key, Status: logic.OK})
				}
			case Abandon:
				later(0, Outcome{Key: e.Key, Status: e.Reason})
			case Count:
				if rng.IntN(20) > 0 {
					later(some/20, CountResult{e.Call, logic.OK, e.Amount})
				}
			case Reject:
				refused++
			}
		}
	}
	arrival, firm := now, uint64(1000)
	for quarter, held := 1, [5]uint64{}; quarter <= 4; quarter++ {
		for end := begun + time.Duration(quarter)*30*time.Minute; now < end; {
			if todo.Len() > 0 && (*todo)[0].at <= arrival {
				next := heap.Pop(todo).(due)
				now = max(now, next.at)
				take(next.ev)
				continue
			}
			now, arrival = arrival, arrival+time.Duration(rng.ExpFloat64()*float64(50*time.Millisecond))
			if rng.IntN(10) == 0 || len(list) == 0 { // one goes, one comes
				var news []logic.Server
				if len(list) >= 12 {
					gone := list[0]
					gone.State, list = logic.Gone, list[1:]
					news = append(news, gone)
				}
				s := logic.Server{ID: logic.ServerID(rng.Uint64()), State: logic.Ready, Zone: rng.IntN(2), Started: now}
				list = append(list, s)
				take(UpstreamGroup{logic.ServerList{Servers: append(news, s)}})
			}
			asks := rng.Uint64N(100)
			if rng.IntN(4) == 0 {
				firm++
				asks = firm
			}
			class := rng.IntN(2)
			take(RequestContext{logic.Request{ID: rng.Uint64(), Class: class, Plan: int(asks % 2), Customer: asks, TTL: set.Classes[class].Deadline,
				Units: float64(1 + rng.IntN(8)), Spread: 4}, nobody{}})
		}
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		held[quarter] = m.HeapAlloc
		t.Logf("after %d half-hours: %d bytes, %d sent, %d refused, %d open", quarter, m.HeapAlloc, sent, refused, r.Open())
		// Beside the 3% the wheel of firms may grow: a slot's room stays after its first firm, eight bytes in each of 8,192.
		if quarter == 4 && float64(held[4]) > 1.03*float64(held[2])+8<<13 {
			t.Errorf("%d bytes are held after two hours, %d after one", held[4], held[2])
		}
	}
	if sent < 10000 || refused < 1000 {
		t.Errorf("%d sent, %d refused: this shows little", sent, refused)
	}
}
