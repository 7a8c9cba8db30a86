package lab

import (
	"sync"
	"time"
)

const (
	pauseLook  = 10 * time.Millisecond // between two looks at the clock
	pauseNoted = 30 * time.Millisecond // a shorter one is usual
)

// pauseWatch notes the times in which this process did not get to run: what it records by its own clock is late by as much,
// and its clients read answers late that had come in time.
type pauseWatch struct {
	stop chan struct{}

	mu    sync.Mutex
	noted []pause
}

// pause is a time between two looks that was longer than it should have been.
type pause struct{ from, until time.Time }

func (p pause) length() time.Duration { return p.until.Sub(p.from) }

// watchPauses looks until end.
func watchPauses() *pauseWatch {
	w := &pauseWatch{stop: make(chan struct{})}
	go w.run()
	return w
}

func (w *pauseWatch) run() {
	tick := time.NewTicker(pauseLook)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) >= pauseNoted {
			w.mu.Lock()
			w.noted = append(w.noted, pause{last, now})
			w.mu.Unlock()
		}
		last = now
	}
}

func (w *pauseWatch) end() { close(w.stop) }

// longest is the longest pause that touches a span of time; 0: none was noted.
func (w *pauseWatch) longest(from, until time.Time) (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.noted {
		if p.until.After(from) && p.from.Before(until) {
			longest = max(longest, p.length())
		}
	}
	return longest
}
