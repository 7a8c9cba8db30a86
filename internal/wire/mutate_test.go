package wire

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/fault"
	"bramblefall/logic"
)

// fullSettings has what the mutations are to reach beside common settings: a limiter in the third hall, two kinds of servers, a
// limit on attempts in flight beside a ceiling, and a class that must never run twice.
const fullSettings = `{"balancers":3,"rank":1,"zone":2,"zones":["a","b","c"],"skus":["big","small"],"discovery":"automatic","resolution":0.002,
"caps":{"cancelling":true,"connIdle":15,"connectTimeout":0.25,"maxAttempts":3,"maxOpen":20000,"maxRetryAfter":0.5,"peers":true,"probes":true,"retryAfter":true},
"extra":{"hasCounter":true,"countLimit":0.05,"settles":false,"meter":0,"unitsTop":8,"peerIntake":100},
"report":{"fields":["throughput"],"how":"piggyback"},
"rules":{"askWithin":10,"startCapacity":0.16,"cold":17,"fall":3,"fallMultiple":2,"drainGrace":0.25},
"classes":[{"name":"check","semantics":"free","aim":0.75,"deadline":2,"worth":1,"lateValue":0,"streamed":false},
{"name":"move","semantics":"guarded","keyScope":"zone","keyTtl":3,"aim":1.5,"deadline":5,"worth":3,"lateValue":0,"streamed":false},
{"name":"book","semantics":"single_shot","aim":1.5,"deadline":5,"worth":5,"lateValue":0,"streamed":false}],
"tariffs":[{"name":"starter","perSecond":1.6,"depth":16,"concurrency":0,"worthFactor":0.45,"extraWorth":0,"overCost":1.2,"hardRate":0,"hardBurst":0,"hardSlack":0},
{"name":"busy","perSecond":8.7,"depth":32,"concurrency":3,"worthFactor":1.1,"extraWorth":0,"overCost":0.6,"hardRate":17,"hardBurst":64,"hardSlack":8}]}`

// runLimiter simulates about one second of a limiter: a server list, requests of all classes and plans, outcomes and timers.
func runLimiter(set logic.Settings) {
	g := logic.New(set, 1)
	now, out := 5*time.Second, []logic.Send(nil)
	var timers []logic.SetTimer
	do := func(ev logic.Event) {
		for _, a := range g.Handle(now, ev) {
			switch a := a.(type) {
			case logic.Send:
				out = append(out, a)
			case logic.SetTimer:
				a.After += now
				timers = append(timers, a)
			}
		}
	}
	do(logic.ServerList{Complete: true, Servers: []logic.Server{{ID: 1, Weight: 1}, {ID: 2, Zone: 1, Started: 4 * time.Second}, {ID: 3, Zone: 7}}})
	for n := range uint64(120) {
		do(logic.Request{ID: n + 1, Customer: n % 3, Class: int(n % 4), Plan: int(n % 3), TTL: 2 * time.Second, Units: float64(n % 10), Spread: int(n%5) - 1, FirstGateway: int(n) - 3})
		for len(out) > 2 {
			do(logic.Outcome{ID: out[0].ID, Server: out[0].Server, Status: logic.Status(n % 7), Latency: 9 * time.Millisecond, Load: []float64{3}})
			out = out[1:]
		}
		now += 9 * time.Millisecond
		due := timers
		timers = nil
		for _, a := range due {
			if a.After <= now {
				do(logic.Timer{Token: a.Token})
			} else {
				timers = append(timers, a)
			}
		}
	}
}

// Settings with one value that is absent, of another type, zero, negative or huge must either be rejected with a one-line
// error that names the setting, or give a limiter that does not panic.
func TestMutatedSettingsAreRejectedByNameOrUsable(t *testing.T) {
	set, err := SettingsFromJSON(json.RawMessage(fullSettings))
	require.NoError(t, err)
	runLimiter(set)
	rejected, accepted := 0, 0
	for mutation, raw := range fault.Mutants([]byte(fullSettings)) {
		set, err := SettingsFromJSON(raw)
		if err != nil {
			require.Equal(t, 1, strings.Count(err.Error()+"\n", "\n"))
			rejected++
			continue
		}
		accepted++
		require.NotPanics(t, func() { runLimiter(set) }, mutation)
	}
	require.Greater(t, rejected, 300)
	require.Greater(t, accepted, 300)
	t.Log(fmt.Sprintf("%d mutations rejected, %d accepted", rejected, accepted))
}
