package counter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

const (
	restAfter = 6 * time.Second        // one of several counters is left when nobody has called it for so long
	restSoon  = 500 * time.Millisecond // where connections are short
	mostLinks = 32                     // that fit in the program's own descriptors
)

// Set makes the calls to all counters, with a client for each.
type Set struct {
	post func(core.Event)
	now  func() time.Duration // the reducer's clock
	most int                  // connections
	open atomic.Int64         // connections, and dials for them

	mu      sync.Mutex
	clients map[int]*Client
}

// Connections is how many a limiter keeps to so many counters, of so many descriptors.
func Connections(counters, sockets int) int {
	return max(mostLinks, min(2*counters, sockets/4))
}

// New makes the clients of the counter at an address, number 0, and of those that Reach names later. It keeps to so many
// connections.
func New(addr string, most int, post func(core.Event), now func() time.Duration) *Set {
	s := &Set{post: post, now: now, most: most, clients: map[int]*Client{}}
	s.clients[0] = &Client{set: s, addr: addr}
	return s
}

// rests is after how long without a call a connection to one of several counters is closed.
func (s *Set) rests() time.Duration {
	if s.open.Load() >= int64(s.most)*3/4 {
		return restSoon
	}
	return restAfter
}

// Run keeps the connections up until the context ends.
func (s *Set) Run(ctx context.Context) {
	tick := time.NewTicker(tendEvery)
	defer tick.Stop()
	for {
		for _, c := range s.all() {
			c.mu.Lock()
			c.tend()
			c.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Set) all() []*Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.clients))
}

// Move makes the calls to the one counter at another address.
func (s *Set) Move(addr string) {
	s.mu.Lock()
	c := s.clients[0]
	s.mu.Unlock()
	if c != nil {
		c.Move(addr)
	}
}

// Reach takes the counters that may be called from now on, by number.
func (s *Set) Reach(list map[int]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, c := range s.clients {
		if list[number] != c.addr {
			delete(s.clients, number)
			c.leave()
		}
	}
	for number, addr := range list {
		c := s.clients[number]
		if c == nil {
			c = &Client{set: s, addr: addr}
			s.clients[number] = c
		}
		c.mu.Lock()
		c.lazy = true
		c.mu.Unlock()
	}
}

// Count makes a call.
func (s *Set) Count(e core.Count) {
	s.mu.Lock()
	c := s.clients[e.Counter]
	s.mu.Unlock()
	if c == nil { // left meanwhile
		s.post(core.CountResult{Call: e.Call, Status: logic.ConnectFailed})
		return
	}
	c.Count(e)
}
