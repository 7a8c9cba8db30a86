package memory

import (
	"runtime"
	"time"
)

const (
	pressedShare    = 0.75                   // of the Go runtime's part, from which on live objects hold back the readers
	bytesPerCheck   = 256 << 10              // read from peers between two looks at the live objects
	collectInterval = 100 * time.Millisecond // between two collections of garbage while readers are held back
	pressedPause    = 5 * time.Millisecond
)

// MaxReliefPause is the longest pause of a reader, each time it reads, while memory is short.
const MaxReliefPause = 100 * time.Millisecond

// NoteRead counts n bytes read from a peer.
func (m *Monitor) NoteRead(n int) {
	if m == nil {
		return
	}
	if all := m.readBytes.Add(int64(n)); all/bytesPerCheck != (all-int64(n))/bytesPerCheck {
		m.checkPressure()
	}
}

// Pressed reports whether readers are held back.
func (m *Monitor) Pressed() bool { return m != nil && m.pressed.Load() }

// AwaitRelief pauses a reader, at most for the given time, while live objects fill their part of the limit, so that what was read
// is handled before more is.
func (m *Monitor) AwaitRelief(most time.Duration) {
	if !m.Pressed() {
		return
	}
	for until := time.Now().Add(most); m.Pressed() && time.Now().Before(until); {
		time.Sleep(pressedPause)
		m.checkPressure()
	}
}

// checkPressure updates whether readers are held back. The runtime counts live objects when it collects garbage, which it may not
// do while nothing is read.
func (m *Monitor) checkPressure() {
	if !m.mu.TryLock() {
		return
	}
	defer m.mu.Unlock()
	if m.pressed.Load() && time.Since(m.collectedAt) >= collectInterval {
		m.collectedAt = time.Now()
		runtime.GC()
	}
	m.pressed.Store(float64(m.read()[liveObjectsMetric]) >= pressedShare*float64(m.limits.Go))
}
