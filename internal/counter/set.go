package counter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/memory"
	"bramblefall/logic"
)

const (
	idleTimeout        = 6 * time.Second        // without a call, after which the connection to one of several counters is closed
	shortIdleTimeout   = 500 * time.Millisecond // when three quarters of the allowed connections are open
	minConnectionLimit = 32                     // fit in the descriptors that the program reserves for itself
)

// Set calls all counters, with one Client for each.
type Set struct {
	Monitor *memory.Monitor // nil: what counters send is not counted

	post    func(core.Event)
	now     func() time.Duration // the reducer's clock
	maxOpen int                  // limit of open
	open    atomic.Int64         // connections, including dials in progress

	mu      sync.Mutex
	clients map[int]*Client
}

// MaxConnections is how many connections a limiter may keep to the given number of counters, with sockets descriptors in all.
func MaxConnections(counters, sockets int) int {
	return max(minConnectionLimit, min(2*counters, sockets/4))
}

// New returns a Set with one counter, number 0, at addr. SetCounters can replace it by a list of counters. The Set opens at
// most the given number of connections; post receives the results, and now is the reducer's clock.
func New(addr string, maxOpen int, post func(core.Event), now func() time.Duration) *Set {
	s := &Set{post: post, now: now, maxOpen: maxOpen, clients: map[int]*Client{}}
	s.clients[0] = &Client{set: s, addr: addr}
	return s
}

// currentIdleTimeout is the time without a call after which the connection to one of several counters is closed. It is
// shorter when connections run short, so that other counters can be reached.
func (s *Set) currentIdleTimeout() time.Duration {
	if s.open.Load() >= int64(s.maxOpen)*3/4 {
		return shortIdleTimeout
	}
	return idleTimeout
}

// Run maintains the connections until the context ends.
func (s *Set) Run(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		for _, c := range s.allClients() {
			c.mu.Lock()
			c.maintain()
			c.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Set) allClients() []*Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.clients))
}

// SetAddress changes the address of counter 0.
func (s *Set) SetAddress(addr string) {
	s.mu.Lock()
	c := s.clients[0]
	s.mu.Unlock()
	if c != nil {
		c.SetAddress(addr)
	}
}

// SetCounters sets the addresses of the counters that may be called from now on, by number. The client of a counter that is
// not listed, or has another address now, is stopped. From then on counters are connected only while they are called.
func (s *Set) SetCounters(list map[int]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, c := range s.clients {
		if list[number] != c.addr {
			delete(s.clients, number)
			c.stop()
		}
	}
	for number, addr := range list {
		c := s.clients[number]
		if c == nil {
			c = &Client{set: s, addr: addr}
			s.clients[number] = c
		}
		c.mu.Lock()
		c.onDemand = true
		c.mu.Unlock()
	}
}

// Count sends a call to the counter that it names, or fails it if that counter is no longer in use.
func (s *Set) Count(e core.Count) {
	s.mu.Lock()
	c := s.clients[e.Counter]
	s.mu.Unlock()
	if c == nil { // removed since the call was decided
		s.post(core.CountResult{Call: e.Call, Status: logic.ConnectFailed})
		return
	}
	c.Count(e)
}
