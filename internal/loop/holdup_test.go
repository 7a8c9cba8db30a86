package loop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A late timer counts as a hold-up while it is late, though the loop does not run, and for a while after it has been found.
func TestLateTimerIsHoldUp(t *testing.T) {
	var h holdUps
	const due = 10 * time.Second
	require.False(t, h.recent(due), "no timer")
	h.expect(due)
	require.False(t, h.recent(due+maxTimerDelay), "in time")
	require.True(t, h.recent(due+maxTimerDelay+1), "late")
	found := due + 2*maxTimerDelay
	h.check(found)
	h.expect(found + time.Hour)
	require.True(t, h.recent(found+recentHoldUp), "lately")
	require.False(t, h.recent(found+recentHoldUp+1), "over")
}
