package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A fleet whose watches end together must not keep discovery too busy to answer anybody: from the second ask on, all
// limiters together ask seldom, and not in step.
func TestAFleetThatIsRefusedAsksSeldomAndNotInStep(t *testing.T) {
	const fleet, seconds = 80, 40
	rng := rand.New(rand.NewPCG(1, 2))
	var asked [seconds * 10]int // by tenths of a second
	for range fleet {
		at := time.Duration(0)
		for failed := 1; at < seconds*time.Second; failed++ {
			asked[at/(100*time.Millisecond)]++
			at += pause(failed, fleet, rng.Float64())
		}
	}
	var late, most int
	for _, n := range asked[10:] {
		late += n
		most = max(most, n)
	}
	require.Less(t, late, 31*(seconds-1), "asks after the first second")
	for luck := 0.0; luck < 1; luck += 0.1 {
		require.Less(t, pause(0, fleet, luck), 500*time.Millisecond, "after a watch that stood")
		require.LessOrEqual(t, pause(99, fleet, luck), 6*time.Second, "a list not asked for binds all the same")
	}
	require.Less(t, most, fleet/8, "asks in a tenth of a second")
}

// Few limiters ask as before: at once, then up to every two seconds.
func TestFewLimitersAskOften(t *testing.T) {
	for failed, want := range map[int]time.Duration{0: firstRetry, 1: firstRetry, 2: 2 * firstRetry, 5: 16 * firstRetry, 9: lastRetry, 99: lastRetry} {
		require.Equal(t, want, pause(failed, 3, 0.3), "after %d", failed)
	}
}
