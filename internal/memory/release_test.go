package memory

import (
	"math"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While a load lasts, unused memory is returned after a pause; once it has ended, at the next check.
func TestUnusedMemoryIsReturnedOnceLoadHasEnded(t *testing.T) {
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	m := NewMonitor(Limits{Process: 1 << 40, Go: 1 << 40})
	released := time.Now()
	m.releasedAt, m.releasePause = released, maxReleasePause
	for since := checkInterval; since < maxReleasePause; since += checkInterval {
		m.NoteRead(bytesPerCheck)
		require.False(t, m.releaseDue(released.Add(since)), since)
	}
	require.True(t, m.releaseDue(released.Add(maxReleasePause)))

	m.releasePause = time.Hour
	m.NoteRead(bytesPerCheck)
	require.False(t, m.releaseDue(released.Add(minReleasePause)))
	require.False(t, m.releaseDue(released.Add(minReleasePause-checkInterval)), "too early after the last return")
	require.True(t, m.releaseDue(released.Add(minReleasePause)))
	m.readAtRelease = m.readBytes.Load()
	require.False(t, m.releaseDue(released.Add(minReleasePause)), "nothing has been read since the last return")
}

// The soft limit of the Go runtime follows what the rest of the process leaves, between the runtime's part and its largest share.
func TestGoLimitFollowsResidentSet(t *testing.T) {
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	limits := Divide(minLimitMB)
	m := NewMonitor(limits)
	m.adjustGoLimit(Resident{Total: limits.Process, File: usualFileBytes})
	require.Equal(t, limits.Go, m.goLimit)
	m.adjustGoLimit(Resident{Total: 0, File: 0})
	require.Greater(t, m.goLimit, limits.Go)
	require.LessOrEqual(t, m.goLimit, int64(goShare*float64(limits.Process)))
	m.adjustGoLimit(Resident{Total: limits.Process, File: usualFileBytes})
	require.Equal(t, limits.Go, m.goLimit)
}
