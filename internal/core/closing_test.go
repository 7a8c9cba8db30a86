package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// Closing answers each open request context in the same step. Request contexts that arrive later are answered at once and
// never sent to a server, because their deadlines may lie beyond the end of the process.
func TestClosingAnswersEveryRequest(t *testing.T) {
	set := logic.Settings{Gateways: 1, Zones: 1, MaxAttempts: 3, Cancelling: true, DrainGrace: time.Second,
		Classes: []logic.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
		Plans:   []logic.Plan{{Name: "regular", Rate: 1000, Burst: 4000, Price: 1}}}
	r := core.New(set, 1, plans.New(set.Plans, plans.DefaultLimits))
	now := time.Hour
	count := func(ev core.Event) (tries, answers int) {
		for _, e := range r.Reduce(now, ev, nil) {
			switch e.(type) {
			case core.Try:
				tries++
			case core.Reject, core.Fail:
				answers++
			}
		}
		return tries, answers
	}
	request := func(id uint64) core.Event {
		return core.RequestContext{Origin: discardOrigin{}, Request: logic.Request{ID: id, Customer: id, Units: 1, Spread: 1, TTL: time.Second}}
	}
	count(core.UpstreamGroup{ServerList: logic.ServerList{Complete: true, Servers: []logic.Server{{ID: 1, Weight: 1, State: logic.Ready}, {ID: 2, Weight: 1, State: logic.Ready}}}})
	tries, answers := count(request(1))
	require.Equal(t, []int{1, 0}, []int{tries, answers}, "tries and answers at request 1, before closing")
	_, answers = count(core.Closing{})
	require.Equal(t, 1, answers, "answers at closing, to request 1")
	for id := uint64(2); id < 10; id++ {
		tries, answers = count(request(id))
		require.Equal(t, []int{0, 1}, []int{tries, answers}, "tries and answers at request %d, after closing", id)
	}
}
