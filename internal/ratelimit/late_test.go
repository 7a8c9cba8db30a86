package ratelimit

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// A call that expires before it can be sent must not be reported as LocalShortage, which means that connections are short.
func TestExpiredCallIsNotReportedAsShortage(t *testing.T) {
	const clock = 5 * time.Second
	var outcomes []core.Outcome
	caller := NewCaller(func(ev core.Event) {
		if o, ok := ev.(core.Outcome); ok {
			outcomes = append(outcomes, o)
		}
	}, func() time.Duration { return clock }, 1)
	caller.SetAddress(1, "127.0.0.1:1")
	for try, until := range []time.Duration{clock - time.Second, clock} {
		caller.Try(core.Try{Key: core.Key{ID: 7, Try: try}, Server: 1, Deadline: until, SendUntil: until,
			Origin: &check{callCtx: context.Background()}})
	}
	require.Len(t, outcomes, 2)
	for _, o := range outcomes {
		require.NotEqual(t, logic.LocalShortage, o.Status)
		require.NotEqual(t, logic.ConnectFailed, o.Status, "no endpoint is to blame")
	}
}
