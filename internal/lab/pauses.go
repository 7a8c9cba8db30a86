package lab

import (
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the time between two readings of the clock.
	pauseCheckInterval = 10 * time.Millisecond

	// minRecordedPause is the shortest gap between two readings that is recorded: shorter gaps are usual.
	minRecordedPause = 30 * time.Millisecond
)

// pauseMonitor records the times in which this process was not scheduled. Its own timestamps are late by the length of
// such a pause, and its clients read answers late that had arrived in time.
type pauseMonitor struct {
	stopped chan struct{}

	mu       sync.Mutex
	recorded []pause
}

// pause is the time between two consecutive readings of the clock that were at least minRecordedPause apart.
type pause struct{ from, until time.Time }

func (p pause) length() time.Duration { return p.until.Sub(p.from) }

// startPauseMonitor starts a monitor that runs until its stop method is called.
func startPauseMonitor() *pauseMonitor {
	m := &pauseMonitor{stopped: make(chan struct{})}
	go m.run()
	return m
}

func (m *pauseMonitor) run() {
	tick := time.NewTicker(pauseCheckInterval)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-m.stopped:
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) >= minRecordedPause {
			m.mu.Lock()
			m.recorded = append(m.recorded, pause{last, now})
			m.mu.Unlock()
		}
		last = now
	}
}

func (m *pauseMonitor) stop() { close(m.stopped) }

// longest returns the longest recorded pause that overlaps the given span of time, or 0 if there is none.
func (m *pauseMonitor) longest(from, until time.Time) (longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.recorded {
		if p.until.After(from) && p.from.Before(until) {
			longest = max(longest, p.length())
		}
	}
	return longest
}
