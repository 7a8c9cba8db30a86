package loop

import (
	"sync/atomic"
	"time"
)

const recentHoldUp = time.Second // for so long after it a hold-up counts

// holdUps tells whether the loop's timers are late, also while the loop itself does not run. All times are on Now's clock.
type holdUps struct {
	dueAt  atomic.Int64 // of the earliest timer; 0: there is none
	lastAt atomic.Int64 // when a timer was last found to be late
}

// expect sets when the earliest timer is due; 0 if there is none.
func (h *holdUps) expect(at time.Duration) { h.dueAt.Store(int64(at)) }

// check takes note if the earliest timer is late.
func (h *holdUps) check(now time.Duration) {
	if h.late(now) {
		h.lastAt.Store(int64(now))
	}
}

func (h *holdUps) late(now time.Duration) bool {
	due := time.Duration(h.dueAt.Load())
	return due > 0 && now-due > maxTimerDelay
}

// recent reports whether a timer is late, or has been lately.
func (h *holdUps) recent(now time.Duration) bool {
	last := time.Duration(h.lastAt.Load())
	return h.late(now) || last > 0 && now-last <= recentHoldUp
}
