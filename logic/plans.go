package logic

import (
	"hash/fnv"
	"math"
	"time"
)

// How a change of plans reaches what is known of firms, and how reservations are used. Which figures are in force is
// the book's choice, what is leased the reserves'.

const leaseWait = 150 * ms // for more of a reservation to come

// Use sets where the plans in force and the leases of reservations come from; nil: the settings' plans stay, and there
// are no reservations. It is called before the first event.
func (g *Gateway) Use(book Book, reserves Reserves) { g.book, g.reserves = book, reserves }

// planOf is the plan in force for a firm's request that names a tier.
func (g *Gateway) planOf(firm uint64, tier int) (Plan, bool) {
	if g.book != nil {
		return g.book.Plan(firm, tier)
	}
	if tier < 0 || tier >= len(g.set.Plans) {
		return Plan{}, false
	}
	return g.set.Plans[tier], true
}

// InUse counts the firms known here by the tier that their requests name; tiers are those of the book by name.
func (g *Gateway) InUse(tiers map[string]int) func(tier string) int {
	firms := map[int]int{}
	for _, c := range g.customers {
		firms[c.tier]++
	}
	for _, list := range []map[uint64]rest{g.resting, g.rested} {
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

// replan takes up a change of plans. Firms with requests held are looked at now, the others when they are next or in the
// ticks to come, a part in each: what nobody took up of one change is before the next.
func (g *Gateway) replan() {
	for _, c := range g.stale {
		g.refigure(c)
	}
	g.figured++
	g.changed = g.now
	for _, c := range g.firms.Take(g.now) {
		if len(c.held) > 0 {
			g.refigure(c)
		}
		g.firms.Sooner(c, g.now)
	}
	g.stale = g.firms.All()
	g.dispatch()
}

const mostSwept = 1000 // firms that take up a change in one tick

func (g *Gateway) sweep() {
	n := min(mostSwept, len(g.stale))
	for _, c := range g.stale[:n] {
		g.refigure(c)
	}
	if g.stale = g.stale[n:]; len(g.stale) == 0 {
		g.stale = nil
	}
}

// refigure carries a firm over to the figures in force, if they are others. What is spent stays spent: a store is cut
// to a lowered burst and not filled by a raised one, and one that there was not before begins empty, so that no sequence
// of changes gives a firm what it would not have had.
func (g *Gateway) refigure(c *customer) {
	if c.figured == g.figured {
		return
	}
	c.figured = g.figured
	p, known := g.planOf(c.id, c.tier)
	if !known || p == c.plan {
		return
	}
	g.current(c)
	c.fill(max(c.filled, g.changed))
	if c.plan.Rate <= 0 {
		c.level = 0
	}
	g.figure(c, p)
	c.level = min(c.level, c.store())
	c.excess = min(c.excess, c.store())
	c.ceiling = min(c.ceiling, p.CeilingBurst/c.n)
	c.told, c.readAt, c.shut = 0, 0, 0 // counts of the old figures say nothing of these
	c.credit, c.stamp = 0, stamp{}
	c.release = min(c.release, g.now) // the pace was the old part's
	if g.customers[c.id] == c {
		g.firms.Sooner(c, c.ends())
	}
	g.reconsider(c)
}

// reconsider looks again at what is held: what has no chance in time any more is refused now.
func (g *Gateway) reconsider(c *customer) {
	held := c.held
	c.held = nil
	for _, r := range held {
		if wait := g.holdTime(c, r); g.now+wait+g.expected(r) > r.useful {
			g.finish(r, wait)
			continue
		}
		g.hold(r)
	}
	if len(c.held) > 0 {
		g.letCustomer(c)
	}
}

// lend lets a request go on its firm's reservation: inside the quota, and under the ceiling all the same.
func (g *Gateway) lend(r *request) bool {
	c := r.cust
	if g.reserves == nil || c.out >= c.slots(g) || !c.underCeiling(r) || !g.reserves.Take(g.now, c.id, r.Units) {
		return false
	}
	r.lent = true
	g.through(r)
	return true
}

// lentSoon shortens a wait for the store where more of a reservation may come before.
func (g *Gateway) lentSoon(c *customer, wait time.Duration) time.Duration {
	if wait > leaseWait && g.reserves != nil && g.reserves.Coming(g.now, c.id) {
		return leaseWait
	}
	return wait
}

// fingerprint tells figures apart in which gateways count. Names, prices and ceilings change no count.
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
