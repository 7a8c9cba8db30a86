package logic

import (
	"math"
	"time"
)

// Draws on demand: where a gateway's even share of a quota cannot hold a request, each request draws its units from a count on
// the counter.
//
// A count lasts for one interval, but the bucket that it stands for does not begin anew with the interval. What is used late in
// an interval is not refilled at its end, so the next interval begins with a deficit. Who is granted units adds the deficit that
// they leave to the next interval's count at once, before anyone draws from it. A count is one number, so it holds both sums:
// units drawn, and the deficit in coarse steps above them.

const (
	// deficitSteps is how many steps of a count's deficit make up a burst.
	deficitSteps = 8.0

	// countedBursts is how many bursts of drawn units a count holds below its deficit. More than a hundred times the quota asked
	// for in one interval would be taken for a deficit.
	countedBursts = 1024.0

	// drawTolerance is by how many units a total may exceed what is granted, since totals are rounded.
	drawTolerance = 1e-6
)

// useCount is the total of a count of units drawn, taken apart.
type useCount struct {
	units   float64 // drawn in the interval, granted or not
	deficit float64 // units that were missing in the bucket when the interval began
}

// deficitUnit is the amount that stands for one step of the deficit in a count. It is a power of two, so that whole units
// remain exact beside it.
func (c *customer) deficitUnit() float64 {
	return math.Exp2(math.Ceil(math.Log2(max(c.plan.Burst, 1) * countedBursts)))
}

// useCountOf takes a total apart. Returned units may leave it slightly below a whole number of steps.
func (c *customer) useCountOf(total float64) useCount {
	steps := max(0, math.Floor(total/c.deficitUnit()))
	return useCount{
		units:   total - float64(steps*c.deficitUnit()),
		deficit: min(steps/deficitSteps, 1) * c.plan.Burst,
	}
}

// grantable is how many units of an interval's count may have been granted by a time, counted from the interval's start: what
// the bucket held then and has been refilled by, but never more than the interval's quota.
func (c *customer) grantable(deficit float64, elapsed time.Duration) float64 {
	refilled := float64(c.plan.Rate * elapsed.Seconds())
	return min(c.plan.Rate*c.interval.Seconds(), c.plan.Burst-deficit+refilled)
}

// grantableAfter is the time from the start of an interval after which its count may reach a total; false: not in it.
func (c *customer) grantableAfter(count useCount) (time.Duration, bool) {
	if count.units > float64(c.plan.Rate*c.interval.Seconds())+drawTolerance {
		return 0, false
	}
	missing := count.units - (c.plan.Burst - count.deficit)
	return time.Duration(missing / c.plan.Rate * float64(time.Second)), true
}

// deficitLeft is the deficit at an interval's end that is left by units granted in it as the last of a count: the part of them
// that will not have been refilled by then, after what is still missing since the interval began.
func (c *customer) deficitLeft(count useCount, units float64, elapsed time.Duration) float64 {
	outstanding := max(0, count.deficit-float64(c.plan.Rate*elapsed.Seconds()))
	refilled := float64(c.plan.Rate * (c.interval - elapsed).Seconds())
	return max(0, min(units, outstanding+count.units-refilled))
}

// drawOnDemand draws from the counter for one request, where a share cannot hold one: the request adds its units to the
// interval's count and goes while the sum is within the quota, or takes a slot of the cap and gives it back later. It returns
// true if the request has been decided on or waits for an answer.
func (g *Gateway) drawOnDemand(r *request) bool {
	c := r.customer
	if !g.set.HasCounter || !c.withinCeiling(r) {
		return false
	}
	amount, kind := r.Units, quotaUse
	if c.plan.Rate <= 0 {
		amount, kind = 1, slotsTaken
	}
	if kind == quotaUse && g.now < c.exhaustedUntil { // nothing is left of the interval's quota
		g.holdForDraw(r, c.exhaustedUntil-g.now)
		return true
	}
	load, ask := g.quotaLoad(c), r.drawsMade < maxDrawsPerRequest && g.mayCallCounter(c, kind)
	chance := 1 / max(load, 1)
	if !ask && load > 0 {
		chance = unaskedQuotaShare / max(load, unaskedQuotaShare)
	}
	if (!ask || r.drawsMade == 0) && g.random() > chance {
		g.finish(r, c.interval)
		return true
	}
	if ask {
		r.drawsMade++
		amount, c.uncounted = amount+c.uncounted, 0
		return g.addToCount(c, kind, amount, r)
	}
	return false
}

// onQuotaUse takes the total after a draw of units.
func (g *Gateway) onQuotaUse(made call, e CountResult) {
	r := made.request
	if r == nil { // it added a deficit
		return
	}
	c, count := made.customer, made.customer.useCountOf(e.Total)
	elapsed := g.now - c.intervalStart(made.interval)
	current := made.interval == c.intervalNumber
	if current {
		g.noteQuotaLoad(c, count, elapsed)
	}
	if count.units <= c.grantable(count.deficit, elapsed)+drawTolerance {
		if g.onDraw(r, true, 0) {
			g.carryDeficit(c, made.interval, c.deficitLeft(count, r.Units, elapsed))
		}
		return
	}
	retryAt := c.intervalEnd()
	if after, ok := c.grantableAfter(count); ok && current {
		retryAt = min(retryAt, c.intervalStart(made.interval)+after)
		c.uncounted -= r.Units // its units stay in the count: drawn again, it adds no more
	}
	if current {
		c.exhaustedUntil = retryAt
	}
	g.onDraw(r, false, retryAt-g.now)
}

// noteQuotaLoad remembers the load on a quota that a total shows. At an interval's start a few units say little, so 2 units are
// added to both use and allowance.
func (g *Gateway) noteQuotaLoad(c *customer, count useCount, elapsed time.Duration) {
	allowed := c.intervalQuota(g) * elapsed.Seconds() / c.interval.Seconds()
	if load := (count.units + 2) / (allowed + 2); load >= busyLoad {
		g.loadEstimates[c.id] = loadEstimate{load, g.now + loadEstimateTTL}
	}
}

// carryDeficit adds a deficit to the count of the interval after the given one, in whole steps: rounded at random, so that it
// is right on the mean.
func (g *Gateway) carryDeficit(c *customer, interval int64, deficit float64) {
	steps := math.Floor(float64(deficit/c.plan.Burst*deficitSteps) + g.random())
	if deficit <= 0 || steps < 1 {
		return
	}
	g.addTo(c, c.countOf(quotaUse, interval+1), steps*c.deficitUnit(), nil)
}

// onDraw takes the counter's verdict on a request's draw, and tells whether the request was let through.
func (g *Gateway) onDraw(r *request, within bool, wait time.Duration) bool {
	if within && !r.answered && r.customer.withinCeiling(r) {
		g.letThrough(r)
		return true
	}
	if g.returnSlot(r); !r.answered {
		g.holdForDraw(r, wait)
	}
	return false
}

// holdForDraw holds a request for a further draw, or finishes it if there is no time for one.
func (g *Gateway) holdForDraw(r *request, wait time.Duration) {
	if g.now+wait+g.expectedLatency(r) > r.usefulUntil || r.drawsMade >= maxDrawsPerRequest {
		g.finish(r, wait)
		return
	}
	r.customer.nextRelease = g.now + wait
	g.hold(r)
}
