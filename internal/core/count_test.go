package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// Guards against swapped results: after the counter has moved, the answer to a later call for a name may arrive, on the new
// connection, before the answer to an earlier call. Each request must receive the result of its own call, and a second
// answer to a call must be ignored.
func TestOutOfOrderCounterAnswersAreNotSwapped(t *testing.T) {
	set := logic.Settings{Gateways: 200, Zones: 1, MaxAttempts: 3, HasCounter: true, CounterLimit: 30 * time.Millisecond, MostUnits: 1,
		Classes: []logic.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
		Plans:   []logic.Plan{{Name: "regular", Rate: 30, Burst: 30, Price: 1}}}
	r := core.New(set, 1, plans.New(set.Plans, plans.DefaultLimits))
	now := time.Hour
	var counts []core.Count
	var tried []uint64
	reduce := func(ev core.Event) {
		for _, e := range r.Reduce(now, ev, nil) {
			switch e := e.(type) {
			case core.Count:
				counts = append(counts, e)
			case core.Try:
				tried = append(tried, e.ID)
			}
		}
	}
	reduce(core.UpstreamGroup{ServerList: logic.ServerList{Complete: true, Servers: []logic.Server{{ID: 1, Weight: 1, State: logic.Ready}}}})
	for id := uint64(1); id <= 2; id++ {
		reduce(core.RequestContext{Origin: discardOrigin{}, Request: logic.Request{ID: id, Customer: 7, Units: 1, Spread: 200, TTL: time.Second}})
	}
	require.Len(t, counts, 2)
	require.Equal(t, counts[0].Name, counts[1].Name)
	reduce(core.CountResult{Call: counts[1].Call, Status: logic.OK, Total: 1000}) // over the quota
	reduce(core.CountResult{Call: counts[1].Call, Status: logic.OK, Total: 1})
	require.Empty(t, tried, "both answers are to the second request's call")
	reduce(core.CountResult{Call: counts[0].Call, Status: logic.OK, Total: 1})
	require.Equal(t, []uint64{1}, tried)
}
