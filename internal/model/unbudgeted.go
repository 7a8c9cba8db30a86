package model

import (
	"math"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// UnbudgetedPolicy is the policy that runs the project's own reducer and module with the module's budget of counter calls made
// ineffective. Requests earn that budget, so wherever calls were spent, a firm that only the model knows asks for admission.
// Its plan has no quota: it takes no units, makes no counter calls and is counted in no figure. The budget is refilled after
// each event, so only the calls of a single event are bounded, by the budget that a limiter can save up.
func UnbudgetedPolicy() Policy {
	return Policy{"bramblefall, calls free", func(set logic.Settings, seed uint64) Decider {
		set.Plans = append(set.Plans[:len(set.Plans):len(set.Plans)], logic.Plan{Name: "calls", Price: 1e-6})
		limits := plans.DefaultLimits
		limits.MaxRequestUnits = set.MostUnits
		return &unbudgeted{inner: core.New(set, seed, plans.New(set.Plans, limits)), plan: len(set.Plans) - 1, rank: set.Rank,
			unpaidCalls: initialUnpaidCalls}
	}}
}

const (
	initialUnpaidCalls = 30                            // more than the budget that a limiter can save up
	requestsPerCall    = 3                             // requests that earn a call at the lowest share of calls, which a limiter starts with
	earnerFirstID      = math.MaxUint64 >> 1           // above the ids of the scenario's requests
	earnerTTL          = 10 * time.Millisecond         // above the module's guard time
	earnerFirm         = uint64(0xfee1_0000_0000_0001) // above the ids of the scenario's firms
)

type unbudgeted struct {
	inner       *core.Reducer
	plan, rank  int
	unpaidCalls int // counter calls for which the budget has not been refilled
	lastEarner  uint64
	lastUnits   float64 // units of the last request: the module learns a mean, which the model's own requests must not shift
}

// discardOrigin is the origin of requests whose answers nobody reads.
type discardOrigin struct{}

func (discardOrigin) Served(any)             {}
func (discardOrigin) Admitted()              {}
func (discardOrigin) Rejected(time.Duration) {}
func (discardOrigin) Failed()                {}

// Reduce implements Decider.
func (u *unbudgeted) Reduce(now time.Duration, ev core.Event, effects []core.Effect) []core.Effect {
	if r, ok := ev.(core.RequestContext); ok {
		u.lastUnits = r.Units
	}
	had := len(effects)
	effects = u.inner.Reduce(now, ev, effects)
	for _, e := range effects[had:] {
		if _, ok := e.(core.Count); ok {
			u.unpaidCalls++
		}
	}
	for range requestsPerCall * u.unpaidCalls {
		u.lastEarner++
		effects = u.inner.Reduce(now, core.RequestContext{Request: logic.Request{ID: earnerFirstID + u.lastEarner, Plan: u.plan, Customer: earnerFirm,
			TTL: earnerTTL, Units: u.lastUnits, Spread: 1, FirstGateway: u.rank, CallerChoseTTL: true, AdmitOnly: true}, Origin: discardOrigin{}}, effects)
	}
	u.unpaidCalls = 0
	return effects
}
