package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/admin"
	"bramblefall/internal/core"
	"bramblefall/internal/counter"
	"bramblefall/internal/discovery"
	"bramblefall/internal/loop"
	"bramblefall/internal/memory"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

const callTick = 10 * time.Millisecond // interval at which calls that are due are made

// Hollow is the role of a process with many hollow limiters. Each follows discovery and calls the counter through the real
// limiter's packages and keeps the list as these do, but serves no clients.
type Hollow struct {
	ctx context.Context

	mu             sync.Mutex
	limiters       []*hollowLimiter
	callsPerSecond float64 // to the counter, of each limiter
	adminsStarted  int     // limiters with only a plan book and the operators' service

	calls, answered, unsentOrRejected, lost atomic.Int64
}

// hollowLimiter is one hollow limiter, and how far it has followed the list.
type hollowLimiter struct {
	counter *counter.Set

	mu        sync.Mutex
	addrs     map[logic.ServerID]string
	version   int64
	versionAt time.Duration // when version arrived, by now()
	listedAt  time.Duration // when the first whole list arrived; 0: none yet
}

func newHollow(ctx context.Context) *Hollow {
	h := &Hollow{ctx: ctx}
	go h.makeCalls()
	return h
}

// SetAddress implements discovery.Addresses.
func (h *hollowLimiter) SetAddress(id logic.ServerID, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addrs[id] = addr
}

// Withdraw implements discovery.Addresses. A hollow limiter has no connections to servers.
func (h *hollowLimiter) Withdraw(logic.ServerID) {}

// handleEvent notes the newest version that a list or change names as a server's start time, see Discovery.
func (h *hollowLimiter) handleEvent(ev core.Event) {
	list, ok := ev.(core.UpstreamGroup)
	if !ok {
		return
	}
	at, newest := now(), int64(0)
	for _, s := range list.Servers {
		newest = max(newest, s.Started.Milliseconds())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if list.Complete && h.listedAt == 0 {
		h.listedAt = at
	}
	if newest > h.version {
		h.version, h.versionAt = newest, at
	}
}

// HollowAdd configures hollow limiters that are to be added.
type HollowAdd struct {
	Limiters           int
	Discovery, Counter string  // addresses
	FleetSize          int     // number of limiters in the settings
	CallsPerSecond     float64 // to the counter, of each limiter, also of those added before
	DrainGrace         time.Duration
}

// hollowSettings are the settings that following discovery needs.
func hollowSettings(fleet int, grace time.Duration) logic.Settings {
	return logic.Settings{Gateways: fleet, DrainGrace: grace, ZoneNames: zones, KindNames: []string{"std-3core"}}
}

// Add starts more hollow limiters.
func (h *Hollow) Add(a HollowAdd, _ *int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callsPerSecond = a.CallsPerSecond
	for range a.Limiters {
		l := &hollowLimiter{addrs: map[logic.ServerID]string{}}
		list := discovery.New(a.Discovery, hollowSettings(a.FleetSize, a.DrainGrace), l, l.handleEvent)
		l.counter = counter.New(a.Counter, counter.MaxConnections(1, 0), func(ev core.Event) {
			if result, ok := ev.(core.CountResult); ok {
				h.recordCallEnd(result.Status)
			}
		}, loop.Now)
		go list.Run(h.ctx)
		go l.counter.Run(h.ctx)
		h.limiters = append(h.limiters, l)
	}
	return nil
}

// recordCallEnd counts the result of a call to the counter.
func (h *Hollow) recordCallEnd(status logic.Status) {
	switch status {
	case logic.OK:
		h.answered.Add(1)
	case logic.Reset:
		h.lost.Add(1)
	default:
		h.unsentOrRejected.Add(1)
	}
}

// Calls sets how many calls a second each limiter makes.
func (h *Hollow) Calls(rate float64, _ *int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callsPerSecond = rate
	return nil
}

// makeCalls makes the calls of all limiters in turn, each under a random one of a million names.
func (h *Hollow) makeCalls() {
	tick := time.NewTicker(callTick)
	defer tick.Stop()
	last, due, next := now(), 0.0, 0
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
		}
		h.mu.Lock()
		limiters, rate := h.limiters, h.callsPerSecond
		h.mu.Unlock()
		at := now()
		due += (at - last).Seconds() * rate * float64(len(limiters))
		last = at
		for ; due >= 1 && len(limiters) > 0; due-- {
			next++
			l := limiters[next%len(limiters)]
			h.calls.Add(1)
			l.counter.Count(core.Count{Call: uint64(next), Name: rand.Uint64N(1 << 20), Amount: 1, TTL: 10 * time.Second, Deadline: loop.Now() + time.Second})
		}
	}
}

// HollowStatus is how far the hollow limiters of a process have followed the list, and what became of their calls.
type HollowStatus struct {
	Limiters         int
	Behind           int             // limiters that do not have the version yet
	ArrivedAt        []time.Duration // when the others got their last version, by now()
	ListedAt         []time.Duration // when limiters got their first whole list, by now()
	Calls            int64           // made to the counter
	Answered         int64
	UnsentOrRejected int64 // calls that were never sent, or that the counter turned away
	Lost             int64 // calls whose connection ended before their answer
}

// unanswered is the number of calls to the counter without an answer, including those still in flight.
func (a HollowStatus) unanswered() int64 { return a.Calls - a.Answered }

// Arrivals returns how many limiters have at least the given version. The times are those of the last version of each limiter,
// so they are that version's only while no later one has been sent.
func (h *Hollow) Arrivals(version int64, out *HollowStatus) error {
	h.mu.Lock()
	limiters := h.limiters
	h.mu.Unlock()
	*out = HollowStatus{Limiters: len(limiters), Calls: h.calls.Load(), Answered: h.answered.Load(), UnsentOrRejected: h.unsentOrRejected.Load(), Lost: h.lost.Load()}
	for _, l := range limiters {
		l.mu.Lock()
		if l.version < version {
			out.Behind++
		} else {
			out.ArrivedAt = append(out.ArrivedAt, l.versionAt)
		}
		if l.listedAt > 0 {
			out.ListedAt = append(out.ListedAt, l.listedAt)
		}
		l.mu.Unlock()
	}
	return nil
}

// AdminStart configures limiters that have a plan book and the operators' service, and nothing else.
type AdminStart struct {
	Dir   string // for their admin sockets
	Count int
	Tiers []logic.Plan
}

// StartAdmins starts such limiters and returns their admin sockets.
func (h *Hollow) StartAdmins(a AdminStart, out *[]string) error {
	for range a.Count {
		h.adminsStarted++
		set := hollowSettings(1, defaultDrainGrace)
		set.Plans, set.MostUnits = a.Tiers, 1
		limits := plans.DefaultLimits
		owner := loop.New(core.New(set, uint64(h.adminsStarted), plans.New(a.Tiers, limits)))
		owner.Connect(nil, nil, &plans.TierStore{}, nil)
		owner.Start()
		go owner.Run(h.ctx)
		path := filepath.Join(a.Dir, fmt.Sprintf("%d.sock", h.adminsStarted))
		if err := admin.New(owner, memory.NewBudgets(memory.Divide(0)).Calls, nil).Listen(path); err != nil {
			return err
		}
		*out = append(*out, path)
	}
	return nil
}
