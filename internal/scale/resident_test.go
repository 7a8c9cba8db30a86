package scale

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/lab"
)

// With the real program and small lists every slope is measured, at all sizes, and a longer list costs more.
func TestResident(t *testing.T) {
	if testing.Short() {
		t.Skip("starts the real program a dozen times")
	}
	binary, err := lab.BuildLimiter(t.Context(), t.TempDir())
	require.NoError(t, err)
	sizes := ResidentSizes{ListedServers: []int{100, 6_000, 12_000}, ChangesPerSecond: []float64{0, 100}, ActiveFirms: []int{50, 1_000}, ModuleFirms: []int{1_000, 20_000},
		KnownFirms: []int{50, 20_000}, Repeats: 1, Settle: 200e6}
	slopes, refused, err := Resident(t.Context(), binary, sizes, nil, t.Logf)
	require.NoError(t, err)
	assert.Empty(t, refused)
	count := map[string]int{}
	for _, s := range slopes {
		count[s.Role+" "+s.Quantity+" "+s.Against]++
		assert.Len(t, s.Values, len(s.Sizes))
		if s.Quantity == "memory" || s.Quantity == "bytes" {
			assert.Positive(t, s.PerUnit, "%s %s against %s", s.Role, s.Quantity, s.Against)
		}
	}
	assert.Equal(t, map[string]int{"limiter memory servers": 2, "limiter processor servers": 2, "discovery bytes servers": 1,
		"limiter processor changes": 1, "limiter bytes changes": 1, "limiter memory tenants_active": 2, "limiter memory tenants_known": 1}, count)
}

func TestUnknownPartIsRejected(t *testing.T) {
	_, _, err := Resident(t.Context(), "none", QuickResidentSizes(), []string{"list"}, t.Logf)
	assert.ErrorContains(t, err, `no part "list"`)
}

// The wait for a limiter that does not take in its list ends when it is cancelled, with that error.
func TestWaitForListEndsWhenCancelled(t *testing.T) {
	d, err := newListServer(10, 10, "10.0.0.1:1")
	require.NoError(t, err)
	defer d.close()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	assert.ErrorIs(t, d.awaitTaken(ctx), context.Canceled)
}
