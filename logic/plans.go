package logic

import (
	"hash/fnv"
	"math"
	"time"
)

// How a change of plans reaches the records of firms, and how reservations are used. The book decides which plans are in
// force, the reserves what is leased here.

// leaseWait is what the estimated wait for the bucket is cut to if more of a reservation may be leased before that wait is over
// (see ReservationLeases.LeasePending).
const leaseWait = 150 * ms

// SetPlanSource sets where the plans in force and the leases of reservations come from; nil: the settings' plans stay, and
// there are no reservations. It is called before the first event.
func (g *Gateway) SetPlanSource(book PlanSource, reserves ReservationLeases) {
	g.book, g.reserves = book, reserves
}

// planOf is the plan in force for a firm's request that names a tier; false: there is no such tier.
func (g *Gateway) planOf(firm uint64, tier int) (Plan, bool) {
	if g.book != nil {
		return g.book.Plan(firm, tier)
	}
	if tier < 0 || tier >= len(g.set.Plans) {
		return Plan{}, false
	}
	return g.set.Plans[tier], true
}

// InUse returns a function that tells how many of the firms known here name a tier in their requests. tiers is the number of
// each tier by its name in the book; the counts are those of the time of the call of InUse.
func (g *Gateway) InUse(tiers map[string]int) func(tier string) int {
	firms := map[int]int{}
	for _, c := range g.customers {
		firms[c.tier]++
	}
	for _, list := range []map[uint64]dormantCustomer{g.dormant, g.dormantBefore} {
		for _, r := range list {
			firms[int(r.tier)]++
		}
	}
	return func(tier string) int {
		n, ok := tiers[tier]
		if !ok {
			return 0
		}
		return firms[n]
	}
}

// onPlansChanged takes a change of plans. It applies the new plans to firms with held requests now, to others at their next
// request or in the ticks to come, some in each. A firm that the last change has not been applied to gets it before this one.
func (g *Gateway) onPlansChanged() {
	for _, c := range g.awaitingPlans {
		g.applyPlan(c)
	}
	g.planRevision++
	g.plansChangedAt = g.now
	for _, c := range g.dueCustomers.TakeDue(g.now) {
		if len(c.held) > 0 {
			g.applyPlan(c)
		}
		g.dueCustomers.SetEarlier(c, g.now)
	}
	g.awaitingPlans = g.dueCustomers.All()
	g.dispatch()
}

// plansAppliedPerTick is to how many firms at most a tick applies a change of plans.
const plansAppliedPerTick = 1000

// applyPlansInPart applies the last change of plans to some of the firms that wait for it.
func (g *Gateway) applyPlansInPart() {
	n := min(plansAppliedPerTick, len(g.awaitingPlans))
	for _, c := range g.awaitingPlans[:n] {
		g.applyPlan(c)
	}
	if g.awaitingPlans = g.awaitingPlans[n:]; len(g.awaitingPlans) == 0 {
		g.awaitingPlans = nil
	}
}

// applyPlan moves a firm to the plan in force, if that has changed. What is spent stays spent: a bucket is cut to a lowered
// burst and not filled by a raised one, and a bucket that there was not before begins empty, so that no sequence of changes
// gives a firm what it would not have had.
func (g *Gateway) applyPlan(c *customer) {
	if c.planRevision == g.planRevision {
		return
	}
	c.planRevision = g.planRevision
	p, known := g.planOf(c.id, c.tier)
	if !known || p == c.plan {
		return
	}
	g.catchUp(c)
	c.refill(max(c.filledAt, g.plansChangedAt))
	if c.plan.Rate <= 0 {
		c.level = 0
	}
	g.setPlan(c, p)
	c.level = min(c.level, c.bucketSize())
	c.recentExcess = min(c.recentExcess, c.bucketSize())
	c.ceiling = min(c.ceiling, p.CeilingBurst/c.gateways)
	c.reported, c.rereadAt, c.exhaustedUntil = 0, 0, 0 // counts under the old plan say nothing about this one
	c.drawnUnits, c.bucket = 0, bucketState{}
	c.nextRelease = min(c.nextRelease, g.now) // the pace was that of the old share
	if g.customers[c.id] == c {
		g.dueCustomers.SetEarlier(c, c.intervalEnd())
	}
	g.reconsider(c)
}

// reconsider decides anew on held requests: those that can no longer be served in time are refused now.
func (g *Gateway) reconsider(c *customer) {
	held := c.held
	c.held = nil
	for _, r := range held {
		if wait := g.holdTime(c, r); g.now+wait+g.expectedLatency(r) > r.usefulUntil {
			g.finish(r, wait)
			continue
		}
		g.hold(r)
	}
	if len(c.held) > 0 {
		g.releaseHeld(c)
	}
}

// letOnReservation takes a request's units from its firm's reservation and lets it through, if it can, and tells whether it
// did. The ceiling and the cap hold all the same.
func (g *Gateway) letOnReservation(r *request) bool {
	c := r.customer
	if g.reserves == nil || c.inFlight >= c.slotLimit(g) || !c.withinCeiling(r) || !g.reserves.Take(g.now, c.id, r.Units) {
		return false
	}
	r.onReservation = true
	g.letThrough(r)
	return true
}

// shortenForLease shortens the wait for the bucket where more of a reservation may be leased before.
func (g *Gateway) shortenForLease(c *customer, wait time.Duration) time.Duration {
	if wait > leaseWait && g.reserves != nil && g.reserves.LeasePending(g.now, c.id) {
		return leaseWait
	}
	return wait
}

// fingerprint tells apart the figures by which gateways count. Names, prices and ceilings change no count.
func fingerprint(p Plan) uint64 {
	h := fnv.New64a()
	for _, v := range []float64{p.Rate, p.Burst, float64(p.Open)} {
		bits := math.Float64bits(v)
		for k := range 8 {
			_, _ = h.Write([]byte{byte(bits >> (8 * k))})
		}
	}
	return h.Sum64()
}
