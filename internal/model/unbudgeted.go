package model

import (
	"math"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// Unbudgeted is the project's own reducer and module without the module's own budget of counter calls. Requests earn that
// budget, so a firm of the model's own asks for admission wherever calls were spent. It has a plan without quota: it takes
// nothing, calls nobody and is in no figure. The budget is filled again after each event, so only the calls of one event
// are bounded, by what a limiter saves.
func Unbudgeted() Policy {
	return Policy{"bramblefall, calls free", func(set logic.Settings, seed uint64) Decider {
		set.Plans = append(set.Plans[:len(set.Plans):len(set.Plans)], logic.Plan{Name: "calls", Price: 1e-6})
		limits := plans.DefaultLimits
		limits.MostUnits = set.MostUnits
		return &unbudgeted{inner: core.New(set, seed, plans.New(set.Plans, limits)), plan: len(set.Plans) - 1, rank: set.Rank,
			unpaidCalls: initialUnpaidCalls}
	}}
}

const (
	initialUnpaidCalls = 30                            // more than a limiter saves
	requestsPerCall    = 3                             // requests that earn a call, at the least share of calls that a start begins with
	earnerFirstID      = math.MaxUint64 >> 1           // ids and the firm of the model's own
	earnerTTL          = 10 * time.Millisecond         // over the module's guard
	earnerFirm         = uint64(0xfee1_0000_0000_0001) // no firm of a scenario has so large a number
)

type unbudgeted struct {
	inner       *core.Reducer
	plan, rank  int
	unpaidCalls int // calls that were spent
	lastEarner  uint64
	lastUnits   float64 // of the last request: the module learns a mean that the earners must not move
}

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
			TTL: earnerTTL, Units: u.lastUnits, Spread: 1, First: u.rank, OwnWait: true, Admit: true}, Origin: discardOrigin{}}, effects)
	}
	u.unpaidCalls = 0
	return effects
}
