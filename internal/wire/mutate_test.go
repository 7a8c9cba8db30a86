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

// other is settings unlike those of the other tests: a third shed, two kinds, a cap beside a ceiling, an unsafe class.
const other = `{"balancers":3,"rank":1,"zone":2,"zones":["a","b","c"],"skus":["big","small"],"discovery":"automatic","resolution":0.002,
"caps":{"cancelling":true,"connIdle":15,"connectTimeout":0.25,"maxAttempts":3,"maxOpen":20000,"maxRetryAfter":0.5,"peers":true,"probes":true,"retryAfter":true},
"extra":{"hasCounter":true,"countLimit":0.05,"settles":false,"meter":0,"unitsTop":8,"peerIntake":100},
"report":{"fields":["throughput"],"how":"piggyback"},
"rules":{"askWithin":10,"startCapacity":0.16,"cold":17,"fall":3,"fallMultiple":2,"drainGrace":0.25},
"classes":[{"name":"check","semantics":"free","aim":0.75,"deadline":2,"worth":1,"lateValue":0,"streamed":false},
{"name":"move","semantics":"guarded","keyScope":"zone","keyTtl":3,"aim":1.5,"deadline":5,"worth":3,"lateValue":0,"streamed":false},
{"name":"book","semantics":"single_shot","aim":1.5,"deadline":5,"worth":5,"lateValue":0,"streamed":false}],
"tariffs":[{"name":"starter","perSecond":1.6,"depth":16,"concurrency":0,"worthFactor":0.45,"extraWorth":0,"overCost":1.2,"hardRate":0,"hardBurst":0,"hardSlack":0},
{"name":"busy","perSecond":8.7,"depth":32,"concurrency":3,"worthFactor":1.1,"extraWorth":0,"overCost":0.6,"hardRate":17,"hardBurst":64,"hardSlack":8}]}`

// drive plays a second of a limiter with these settings: lists, requests of all classes and plans, outcomes, its timers.
func drive(set logic.Settings) {
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
	do(logic.ServerList{Whole: true, Servers: []logic.Server{{ID: 1, Weight: 1}, {ID: 2, Zone: 1, Started: 4 * time.Second}, {ID: 3, Zone: 7}}})
	for n := range uint64(120) {
		do(logic.Request{ID: n + 1, Customer: n % 3, Class: int(n % 4), Plan: int(n % 3), TTL: 2 * time.Second, Units: float64(n % 10), Spread: int(n%5) - 1, First: int(n) - 3})
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

// A settings object with one value absent, of another type, zero, negative or huge must be refused with one line that names
// the setting, or leave a limiter that works.
func TestASettingThatDoesNotFitIsNamedOrBorne(t *testing.T) {
	set, err := SettingsFromJSON(json.RawMessage(other))
	require.NoError(t, err)
	drive(set)
	refused, borne := 0, 0
	for what, raw := range fault.Mutants([]byte(other)) {
		set, err := SettingsFromJSON(raw)
		if err != nil {
			require.Equal(t, 1, strings.Count(err.Error()+"\n", "\n"))
			refused++
			continue
		}
		borne++
		require.NotPanics(t, func() { drive(set) }, what)
	}
	require.Greater(t, refused, 300)
	require.Greater(t, borne, 300)
	t.Log(fmt.Sprintf("%d refused, %d borne", refused, borne))
}
