package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

// Budget bounds the bytes that many holders hold together. The more is held, the less one holder may have (a dynamic threshold),
// so that a holder of little finds room beside holders of much.
type Budget struct {
	name  string
	limit int64
	used  atomic.Int64
	peak  atomic.Int64

	mu      sync.Mutex
	waiting []*waiter // in the order in which they came
}

type waiter struct {
	bytes   int64
	granted chan struct{}
}

// NewBudget returns a budget of limit bytes. The name stands in the log.
func NewBudget(name string, limit int64) *Budget { return &Budget{name: name, limit: limit} }

// Limit returns the budget's bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

const (
	holderShare    = 0.25 // of what is free, that a holder may have in all
	newHolderShare = 0.5  // of what is free, that one that holds nothing may have
)

// Fits reports whether a holder that holds own bytes may have n more. New holders of much leave room for those of little.
func (b *Budget) Fits(own, n int64) bool {
	free := b.limit - b.used.Load()
	if own == 0 {
		return n <= int64(newHolderShare*float64(free))
	}
	return own+n <= int64(holderShare*float64(free))
}

// Add counts n bytes as held, or as no longer held if n is negative, whether or not they fit.
func (b *Budget) Add(n int64) {
	b.count(n)
	if n < 0 {
		b.grantWaiting()
	}
}

// count changes what is held, and notes the most that has been.
func (b *Budget) count(n int64) {
	used := b.used.Add(n)
	for peak := b.peak.Load(); used > peak && !b.peak.CompareAndSwap(peak, used); peak = b.peak.Load() {
	}
}

// waitInterval is how often a caller of Acquire that waits is asked to make room.
const waitInterval = 50 * time.Millisecond

// Acquire waits until n bytes are free, in the order of the calls, and counts them as held. It returns false if done is closed
// or the timeout, where it is not 0, has passed first. makeRoom, if not nil, is called now and then meanwhile. A holder of more than
// the limit is alone.
func (b *Budget) Acquire(n int64, timeout time.Duration, done <-chan struct{}, makeRoom func()) bool {
	w := &waiter{bytes: n, granted: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	b.grantWaiting()
	select {
	case <-w.granted:
		return true
	default:
	}
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	tick := time.NewTicker(waitInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.granted:
			return true
		case <-done:
			b.giveUp(w)
			return false
		case <-expired:
			b.giveUp(w)
			return false
		case <-tick.C:
			if makeRoom != nil {
				makeRoom()
			}
		}
	}
}

// Waiting returns how many calls of Acquire wait.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

func (b *Budget) grantWaiting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		used := b.used.Load()
		if used > 0 && used+w.bytes > b.limit {
			return
		}
		b.count(w.bytes)
		b.waiting = b.waiting[1:]
		close(w.granted)
	}
}

// giveUp withdraws a waiter, and returns what it was granted meanwhile.
func (b *Budget) giveUp(w *waiter) {
	b.mu.Lock()
	for k, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:k:k], b.waiting[k+1:]...)
			b.mu.Unlock()
			b.grantWaiting()
			return
		}
	}
	b.mu.Unlock()
	b.Add(-w.bytes)
}
