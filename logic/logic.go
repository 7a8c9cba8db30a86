package logic

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

func (g *Gateway) onTick() {
	g.do(SetTimer{tickToken, tick})
	g.serveDueCustomers()
	for _, u := range g.upstreams {
		g.tickUpstream(u)
	}
	g.dispatch()
	if g.now-g.lastSecond < time.Second {
		return
	}
	// A lost subscription must not leave the list of servers outdated, so it is asked for again.
	if g.set.AskForList && !g.watching && g.now >= g.nextWatch {
		g.nextWatch = g.now + time.Second + time.Duration(g.random()*float64(time.Second))
		g.do(Watch{true})
	}
	g.lastSecond = g.now
	maps.DeleteFunc(g.loadEstimates, func(_ uint64, e loadEstimate) bool { return g.now > e.expires })
}

// New makes a gateway from its settings and the seed of its random choices.
func New(s Settings, seed uint64) *Gateway {
	if s.Gateways = max(s.Gateways, 1); !s.RetryAfter {
		s.MaxRetryAfter = 0
	}
	aim := time.Hour
	for _, c := range s.Classes {
		aim = min(aim, c.Aim)
	}
	guess := max(float64(aim), 1) / 6 // a server's work is a small part of what clients are willing to wait
	unseen := max(0, 1-ownViewGateways/float64(s.Gateways))
	g := &Gateway{set: s, unseenShare: unseen, rng: seed,
		requests: map[uint64]*request{}, tokens: map[uint32]*request{},
		customers: map[uint64]*customer{}, servers: map[ServerID]*server{}, calls: map[uint64][]call{},
		meanRequestUnits: 1, dormant: map[uint64]dormantCustomer{}, loadEstimates: map[uint64]loadEstimate{},
		loggedAt: map[string]time.Duration{}, initialLatency: guess, callBurst: counterCallBurst,
		typicalUnits: math.Pow(max(s.MostUnits, 1), 0.25), maxPrice: highestPrice(s.Plans), counterCount: 1,
		turnTime:   max(tick, min(maxTurnTime, time.Duration(turnAimShare*float64(aim)))),
		longestTTL: make([]time.Duration, len(s.Classes))}
	if g.upstream = g.upstreamNumbered(0); unseen > 0 {
		g.callBurst = manyGatewaysCallBurst
	}
	g.counter = g.newCounter(0)
	g.counters = []*counter{g.counter}
	return g
}

// onRequest takes a try: refused if nothing can be done for it in time, else sent to admission.
func (g *Gateway) onRequest(q Request) {
	if g.requests[q.ID] != nil {
		return
	}
	plan, valid := g.planOf(q.Customer, q.Plan)
	valid = valid && q.Class >= 0 && q.Class < len(g.set.Classes)
	if !valid || q.TTL <= answerMargin || !(q.Units >= 0) || q.Units > 1e6 {
		g.do(Refuse{ID: q.ID}) // nothing can be done in time, and a later try would fare no better
		return
	}
	if !g.hasRoomFor(q.Customer) {
		g.logLimited("customers", "no memory for more records, new ones are refused")
		g.do(Refuse{ID: q.ID, RetryAfter: g.set.MaxRetryAfter})
		return
	}
	r := &request{Request: q, class: g.set.Classes[q.Class], plan: plan, randomDraw: g.random(),
		upstream: g.upstreamNumbered(q.Group)}
	r.TTL = min(r.TTL, time.Hour)
	r.deadline = g.now + r.TTL - answerMargin
	if !q.CallerChoseTTL {
		g.longestTTL[q.Class] = max(g.longestTTL[q.Class], r.TTL)
	}
	// A TTL below the longest seen of its class by more than ttlTolerance shows a later try (ttlTolerance: a try
	// that only took a moment longer to get here is no later one): its client is taken to have begun with
	// class.Deadline, so to have waited Deadline - TTL. Clients that give up soon and retry at once look the
	// same, and are rightly treated so: a retry storm must not starve others.
	aim := r.class.Aim
	// Where clients mark their later tries, unmarked ones are not taken for such.
	g.repeatsMarked = g.repeatsMarked || q.Repeat
	if !q.CallerChoseTTL && r.TTL < g.longestTTL[q.Class]-ttlTolerance && (q.Repeat || !g.repeatsMarked) {
		aim -= max(0, r.class.Deadline-r.TTL)
	}
	r.arrivedLate = aim <= time.Duration(r.upstream.idleLatency/2) && r.class.Late < 0.5
	if r.usefulUntil = g.now + aim; r.class.Late >= 0.5 || r.usefulUntil > r.deadline || r.arrivedLate {
		r.usefulUntil = r.deadline
	}
	g.nextToken = max(g.nextToken+1, tickToken+1)
	r.token = g.nextToken
	g.requests[q.ID], g.tokens[r.token] = r, r
	g.do(SetTimer{r.token, r.deadline - g.now}) // every accepted one: answerMargin before its client's deadline
	// Each counter earns twice its even share of the calls, since names are spread unevenly over the counters.
	for _, k := range g.counters {
		earned := counterCallsPerRequest * min(1, 2/float64(g.counterCount))
		earned = float64(earned * max(k.callShare, 1-g.unseenShare))
		k.callsLeft = min(k.callsLeft+earned, g.callBurst)
	}
	g.meanRequestUnits = smoothed(g.meanRequestUnits, 0.02, q.Units)
	r.customer = g.customerOf(r)
	r.customer.demanded, r.customer.bestWorth = r.customer.demanded+r.demand(g),
		max(r.customer.bestWorth, r.class.Worth)
	g.decide(r)
}

// onDeadline answers a request that has run out of time, and cancels its attempt.
func (g *Gateway) onDeadline(r *request) {
	if r.server != nil && g.set.Cancelling && !r.cancelled {
		r.cancelled = true
		g.do(Cancel{r.ID, r.attempts - 1})
	}
	g.finish(r, 0)
}

// finish gives the one final answer. A refusal invites a retry, so it is given only where a retry is proven
// harmless (the request is Safe, no attempt may have run, or all servers still drop its repeat and no attempt
// is out), else a failure.
func (g *Gateway) finish(r *request, after time.Duration) {
	if r.answered {
		return
	}
	mayRun := r.mayHaveRun || r.server != nil
	repeatIsDropped := r.class.Effect == Keyed && r.class.KeyGroup == GroupAll && r.server == nil &&
		!g.keyExpired(r)
	if r.class.Effect == Safe || !mayRun || repeatIsDropped {
		g.do(Refuse{r.ID, min(max(after, g.timeUntilRoom(r.upstream)), g.set.MaxRetryAfter)})
	} else {
		g.do(Fail{r.ID})
	}
	g.drop(r)
}

// timeUntilRoom estimates when servers have room again: a refusal by finish gives no earlier time to come
// back, unless MaxRetryAfter bounds it.
func (g *Gateway) timeUntilRoom(u *upstream) time.Duration {
	return time.Duration(min(u.latency*float64(len(g.queue)+1)/u.concurrencyLimit(),
		float64(customerIdleTimeout)))
}

// onOutcome takes the end of an attempt: its request is over, answered, or queued for a retry.
func (g *Gateway) onOutcome(o Outcome) {
	r := g.requests[o.ID]
	if r == nil || r.server == nil || o.Attempt != r.attempts-1 || o.Server != r.server.ID {
		return
	}
	s := r.server
	if r.server = nil; !s.ejected {
		r.upstream.inFlight--
	}
	if s.removeAttempt(r); s.inFlight == 0 && !s.listed {
		delete(g.servers, s.ID)
	}
	r.upstream.noteSent(o.Status)
	g.learnFromOutcome(s, r, o)
	neverRan := o.Status.provesNothingRan()
	if !neverRan && !r.mayHaveRun {
		r.mayHaveRun, r.firstRunServer, r.keyUntil = true, s, r.sentAt+r.class.KeyTTL
	}
	if o.Status == OK && g.set.Settles && o.Units > 0 && r.unitsTaken {
		r.customer.level -= o.Units - r.Units
	}
	r.cancelled, r.streaming = false, false
	switch {
	case o.RequestOver || o.Status == OK || r.answered:
		g.drop(r)
	case o.Status == NotAttempted || !g.mayRetry(r):
		g.finish(r, 0)
	default:
		r.upstream.chargeRetry(o.Status, neverRan && g.unseenShare > 0)
		r.queued = true
		g.enqueue(r, o.Status != LocalShortage) // after a shortage: another tests first if it lasts
	}
	g.releaseHeld(r.customer)
	g.dispatch()
}

// mayRetry tells whether a further attempt is harmless, in time, and within the retry budget.
func (g *Gateway) mayRetry(r *request) bool {
	if r.attempts >= g.set.MaxAttempts || r.upstream.retryTokens < 1 || g.tooLate(r, g.now) {
		return false
	}
	return !r.mayHaveRun || r.class.Effect == Safe || r.class.Effect == Keyed && g.now < r.keyUntil-answerMargin
}

// customerOf finds or makes a customer's record, and brings it up to date.
func (g *Gateway) customerOf(r *request) *customer {
	c := g.customers[r.Customer]
	if c == nil {
		p := r.plan
		c = &customer{id: r.Customer, tier: r.Plan, planRevision: g.planRevision, filledAt: g.now}
		c.gateways = float64(min(max(r.Spread, 1), g.set.Gateways))
		c.rank = float64(((g.set.Rank-r.FirstGateway)%g.set.Gateways + g.set.Gateways) % g.set.Gateways)
		g.setPlan(c, p)
		c.level = c.bucketSize()
		// A new gateway may be a restarted one, whose bucket was in use a moment ago: the ceiling's bucket starts
		// with no more than this gateway's share of the slack.
		c.ceiling = 0.9 * p.CeilingSlack / c.gateways
		g.addCustomer(c)
		g.restoreDormant(c)
	}
	g.catchUp(c)
	g.applyPlan(c)
	g.dueCustomers.SetEarlier(c, c.intervalEnd())
	c.lastSeen, c.pending = g.now, c.pending+1
	return c
}

// setPlan sets what follows from a plan: the length of the interval, whether the share is drawn from the
// counter rather than dealt out, and the even share.
func (g *Gateway) setPlan(c *customer, p Plan) {
	c.plan, c.fingerprint = p, fingerprint(p)
	c.interval, c.onDemand, c.sharedBucket, c.shares = minInterval, false, false, c.gateways
	if p.Rate > 0 {
		c.onDemand = c.gateways > ownViewGateways && c.bucketSize() < g.typicalUnits
		c.sharedBucket = c.gateways > ownViewGateways && c.bucketSize() < sharedBucketRequests*g.typicalUnits &&
			(!c.onDemand || p.CeilingRate > 0)
		c.onDemand = c.onDemand && !c.sharedBucket
		// Where no call can be made, the few gateways that carry most of a firm's requests hold its quota.
		if c.onDemand {
			c.shares = min(c.gateways, maxOnDemandShares)
		}
		c.interval = max(time.Duration(p.Burst/p.Rate*float64(time.Second)), minInterval)
		if g.unseenShare == 0 {
			c.interval = min(c.interval, maxInterval)
		}
	} else if c.onDemand = c.gateways > ownViewGateways &&
		float64(p.Open)/c.gateways < minSummedCapShare; c.onDemand {
		c.interval = slotDrawInterval
	}
	c.clockAhead = g.clock.ahead()
	c.phase = time.Duration(mix(c.id)%uint64(c.interval)) + c.clockAhead // spreads the ends of intervals
	c.intervalNumber = c.intervalAt(g.now)
	c.share = c.evenShare()
}

// serveDueCustomers applies changes of plans, forgets old dormant records, and looks at the customers that
// something is due for: ends of intervals, reports, reads of sums, held requests, becoming dormant.
func (g *Gateway) serveDueCustomers() {
	g.applyPlansInPart()
	g.tickedAt = g.now
	g.rotateDormant()
	for _, c := range g.dueCustomers.TakeDue(g.now) {
		g.applyPlan(c)
		if g.catchUp(c) {
			g.reportForecast(c)
		}
		if again := c.rereadAt > 0 && g.now >= c.rereadAt; again && c.reported > 0 {
			c.rereadAt = 0
			g.addToCount(c, forecastSums, 0, nil)
		} else if again {
			g.reportForecast(c)
		}
		if len(c.held) > 0 {
			g.releaseHeld(c)
		}
		if !g.makeDormant(c) {
			g.schedule(c)
		}
	}
}

// updateForecast makes the forecast at the end of an interval: the last demand plus the smoothed change, plus
// a margin of the smoothed rises.
func (c *customer) updateForecast(steps int) {
	for ; steps > 0; steps-- {
		demand := c.demanded / c.interval.Seconds()
		change := demand - c.lastDemand
		if c.intervalsEnded++; c.intervalsEnded == 1 {
			change = 0 // the first interval of a new customer is no rise
		}
		c.meanChange = smoothed(c.meanChange, forecastSmoothing, change)
		c.meanRise = smoothed(c.meanRise, forecastSmoothing, max(0, change))
		c.forecast = max(0, demand+c.meanChange+float64(riseMargin*c.meanRise))
		c.lastDemand, c.demanded = demand, 0
	}
}

// reportForecast adds three numbers to the interval's sums, packed into one: one gateway, its forecast within
// the even share, and its whole forecast, in steps of a part of the even share. Steps are coarser the more
// gateways there are, and then rounded at random, so that the sums stay true on the mean.
func (g *Gateway) reportForecast(c *customer) {
	even := c.evenShare()
	c.reported, c.rereadAt, c.share = 0, 0, even
	coarse := c.plan.Rate <= 0 && even < minSummedCapShare // the slots are dealt out in turns instead
	if coarse || c.onDemand || c.sharedBucket || even <= 0 || c.gateways < 2 ||
		c.gateways > maxPackedSum || c.forecast < minReportedShare*even {
		return
	}
	steps := c.forecastSteps()
	forecast := math.Ceil(c.forecast / even * steps)
	if steps < stepsPerEvenShare {
		forecast = math.Floor(float64(c.forecast/even*steps) + g.random())
	}
	forecast = min(forecast, maxForecastSteps, math.Floor(1023/c.gateways))
	if packed := pack(1, min(forecast, steps), forecast); g.addToCount(c, forecastSums, packed, nil) {
		c.reported = packed
	}
}

// availableCounters finds the counters of a count that may be called now, each with at least as many calls
// left as given, and the bits of those that are not called.
func (g *Gateway) availableCounters(count countRef, minCalls float64) (to []*counter, skippedMask uint8) {
	available := func(k *counter) bool { return g.now >= k.noCallsUntil && k.callsLeft >= minCalls }
	switch {
	case !g.set.HasCounter || g.counterMap == nil && !available(g.counter):
		return nil, 0
	case g.counterMap == nil:
		return g.counters, 0
	}
	for n, number := range g.counterMap.Holders(g.now, count.name, count.since) {
		if k := g.counterNumbered(number); available(k) {
			to = append(to, k)
		} else {
			skippedMask |= 1 << n
		}
	}
	return to, skippedMask
}

// addToCount calls the counter for a customer's interval, unless calls fail or their budget is used up.
func (g *Gateway) addToCount(c *customer, kind int64, amount float64, r *request) bool {
	return g.addTo(c, c.currentCount(kind), amount, r)
}

// addTo is addToCount for any of a customer's counts.
func (g *Gateway) addTo(c *customer, count countRef, amount float64, r *request) bool {
	to, skippedMask := g.availableCounters(count, 1)
	for _, k := range to {
		k.callsLeft--
	}
	if len(to) > 0 {
		g.callCounter(c, count, amount, r, skippedMask)
	}
	return len(to) > 0
}

// observe learns from a counter's answer which share of the calls the counter can handle.
func (k *counter) observe(g *Gateway, st Status, latency time.Duration) {
	if st == Reset { // a broken connection or a useless answer tells nothing about the load
		return
	}
	// Fewer calls, and none for a while to a silent or full counter, so that it is not flooded when it is back.
	if st != OK {
		if k.failures++; k.failures == 1 {
			k.shareBeforeFailures = k.callShare
		}
		k.callShare, k.unreachable = max(0.8*k.callShare, minCallShare),
			k.failures >= failuresBeforeBackoff && st == ConnectFailed
		if k.failures >= failuresBeforeBackoff {
			k.noCallsUntil = g.now + time.Duration((0.5+g.random())*float64(k.backoff))
			k.backoff = min(2*k.backoff, maxCounterBackoff)
			if st == Full {
				k.backoff = min(2*k.backoff, maxFullCounterBackoff)
			}
		}
		return
	}
	if k.unreachable { // there was no connection, which says nothing about how many calls it can handle
		k.callShare, k.unreachable = k.shareBeforeFailures, false
	}
	if g.unseenShare > 0 && latency > g.set.CounterLimit { // a good answer, but late: too many calls
		k.callShare = max(0.95*k.callShare, minCallShare)
	}
	k.backoff, k.failures, k.callShare = 500*ms, 0, min(callShareGrowth*k.callShare, 1)
}

func (g *Gateway) onCountResult(e CountResult) {
	made, ok := g.takeCall(e.Name)
	if !ok {
		return
	}
	c, r := made.customer, made.request
	g.catchUp(c)
	callShare := g.observeCounters(e)
	if e.Status != OK {
		// The report may have been added all the same: the next read of the sums shows whether it was.
		if made.added && c.reported > 0 && e.Name == c.countName(forecastSums) {
			after := max(g.set.CounterLimit, 3*tick)
			if e.Status == Full { // it was not added, so it is reported again
				c.reported, after = 0, time.Duration(
					g.random()*float64(counterCallTimeout)/max(callShare, minRereportShare))
			}
			g.scheduleReread(c, after)
		}
		g.logLimited("counter", fmt.Sprintf("a call failed (status %d), using even shares meanwhile", e.Status))
		if r != nil {
			r.drawsMade = maxDrawsPerRequest // no further draws: it is decided by what is known here
			g.decide(r)
		}
		if c.drawPending && made.kind == bucketDraws {
			c.drawPending, c.noDrawsUntil = false, g.now+counterCallTimeout
			g.releaseHeld(c)
		}
		return
	}
	switch kind := made.kind; {
	// Sums of another interval come too late: the share stays even.
	case kind == forecastSums && e.Name == c.countName(forecastSums) && c.reported > 0:
		first := c.rereadAt == 0 && c.share == c.evenShare()
		complete := g.takeShare(c, e.Total)
		if first && !complete && c.forecast > c.evenShare() {
			g.scheduleReread(c, max(g.set.CounterLimit, 3*tick)) // the others have reported by then
		}
	// What was counted under another plan's figures says nothing of these.
	case kind == quotaUse && made.planRevision != c.planRevision:
		if r != nil {
			r.drawsMade = maxDrawsPerRequest
			g.decide(r)
		}
	case kind == quotaUse:
		g.onQuotaUse(made, e)
	case kind == bucketDraws:
		c.drawPending = false
		if made.planRevision == c.planRevision && c.sharedBucket { // units under another plan are of no use
			spreadDelay := g.random() * c.startSpreadSeconds(g.now, g.meanRequestUnits) // all may start at once
			c.bucket.update(g.now, e.Name, e.Total, c.plan, c.totalAge(g.now))
			c.drawnUnits += made.units
			wait := float64(spreadDelay) + max(0, -c.bucket.level)/c.plan.Rate
			c.drawnDueAt = g.now + time.Duration(wait*float64(time.Second))
		}
		g.releaseHeld(c)
	case kind == slotsTaken && r != nil:
		r.slotName = e.Name
		g.onDraw(r, e.Total <= float64(c.plan.Open)+drawTolerance, time.Duration(g.latency))
	}
}

// forecastSteps is how many steps make up an even share in reported forecasts.
func (c *customer) forecastSteps() float64 {
	return max(1, min(stepsPerEvenShare, math.Floor(maxPackedSum/c.gateways)))
}

// takeShare takes this gateway's share from the sums. It tells whether all gateways are in them.
func (g *Gateway) takeShare(c *customer, total float64) bool {
	even := c.evenShare()
	if !(total >= 0 && total < 1<<24) || total != math.Trunc(total) {
		return false
	}
	reporting, within, forecasts := unpack(total)
	_, ownWithin, own := unpack(c.reported)
	if reporting < 1 || reporting > c.gateways || within < ownWithin || forecasts-within < own-ownWithin {
		return false // the counter lost its state: sums without this gateway's own report prove nothing
	}
	c.share = splitQuota(c.gateways, reporting, within, forecasts, own, c.forecastSteps()) *
		even / c.forecastSteps()
	return reporting == c.gateways
}

// splitQuota splits a quota, counted in steps (see forecastSteps): to each gateway its forecast, up to the
// even share; what is left pro rata to those that forecast more; the rest in equal parts to those that
// reported. For each that did not, minReportedShare of an even share is set aside: a quiet gateway, which
// reports nothing, may use so much.
func splitQuota(gateways, reporting, within, forecasts, own, steps float64) float64 {
	ownWithin := min(own, steps)
	left := float64(gateways*steps) - within - float64((gateways-reporting)*minReportedShare*steps)
	short := forecasts - within
	if left < 0 {
		return ownWithin
	}
	if short > left {
		return ownWithin + left*(own-ownWithin)/short
	}
	return own + (left-short)/reporting
}

// Where a share holds a request or two and requests come unevenly, most shares would lie idle while other
// gateways refuse. There units are drawn from one token bucket shared by all gateways, a running total on the
// counter. The total tells when the bucket has filled enough for them; requests go then, not before.

// spendDrawnUnits lets a request go on units that are drawn and due.
func (g *Gateway) spendDrawnUnits(r *request) bool {
	c := r.customer
	dueUnits := c.drawnUnits - max(0, (c.drawnDueAt-g.now).Seconds()*c.plan.Rate)
	if dueUnits < r.Units-1e-9 || c.inFlight >= c.slotLimit(g) {
		return false
	}
	c.drawnUnits -= r.Units
	c.level = max(0, c.level-r.Units) // the local bucket is what remains if the counter does not answer
	r.unitsTaken = true
	g.letThrough(r)
	c.ceiling = max(c.ceiling, 0)
	return true
}

// drawAhead draws units for held requests, if it may, and tells if a draw is pending or drawn units come due.
func (g *Gateway) drawAhead(c *customer) bool {
	var units float64
	for _, r := range c.held {
		units += r.Units
	}
	most := maxDrawUnits
	if !c.bucket.isFresh(g.now, c.plan) {
		most = 1
	}
	if units = min(units, max(most, c.held[0].Units)) - c.drawnUnits; c.drawPending || units <= 0 {
		return true
	}
	c.drawPending = g.now >= c.noDrawsUntil && g.mayCallCounter(c, bucketDraws) &&
		g.addToCount(c, bucketDraws, units, nil)
	return c.drawPending
}

// mayCallCounter keeps the last calls of the budget for the plans of the highest price.
func (g *Gateway) mayCallCounter(c *customer, kind int64) bool {
	kept := float64(callsKeptForMaxPrice * (1 - c.plan.Price/g.maxPrice))
	to, _ := g.availableCounters(c.currentCount(kind), 1+kept)
	return len(to) > 0
}

// slotLimit is how many attempts may be in flight here without a draw. Without a cap: any number. If a cap is
// split by sums (in a plan without a rate): the whole slots of the share. For one of many gateways, or of few
// at low demand, unless the plan has a rate and the even share is below one slot: the whole slots of the even
// share. Each is at least 1. Else few gateways take fractions of slots in turns by the shared clock; these
// add up to the cap at any time, without communication.
func (c *customer) slotLimit(g *Gateway) int {
	if c.plan.Open == 0 {
		return math.MaxInt
	}
	share := float64(c.plan.Open) / c.gateways
	if c.plan.Rate <= 0 && share >= minSummedCapShare && c.share != share {
		return max(1, int(c.share)) // the share by the sums, in whole attempts
	}
	want := c.forecast
	if c.plan.Rate > 0 { // the forecast is in units a second: one unit a request gives the most attempts
		want *= g.latency / float64(time.Second)
	}
	if c.gateways > ownViewGateways || want < 0.5*share && (share >= 1 || c.plan.Rate <= 0) {
		return max(1, int(share))
	}
	turn := (g.now + c.clockAhead).Seconds() / g.turnTime.Seconds()
	return int(math.Floor(float64(share*(c.rank+1))+turn) - math.Floor(float64(share*c.rank)+turn))
}

// needInBucket is what the bucket must hold for a request; one larger than the bucket goes when that is full.
func (c *customer) needInBucket(r *request, g *Gateway) float64 {
	return min(r.Units+c.keptForWorth(r, g), c.bucketSize())
}

// fits tells whether the cap and the bucket have room for a request.
func (c *customer) fits(r *request, g *Gateway) bool {
	return c.inFlight < c.slotLimit(g) && (c.plan.Rate <= 0 || c.level >= c.needInBucket(r, g)-1e-9)
}

// keptForWorth is what stays in the bucket for requests of more worth, from a demand of worthReserveLoad of
// the share on. A firm that asks for more than its share gets as many units either way: with some kept, they
// go to the requests of most worth. Trade-off: a burst may end late.
func (c *customer) keptForWorth(r *request, g *Gateway) float64 {
	if r.class.Worth >= c.bestWorth ||
		max(c.lastDemand, c.demanded/c.interval.Seconds()) <= worthReserveLoad*c.share {
		return 0
	}
	return min(maxWorthReserveRequests*g.meanRequestUnits, maxWorthReserveShare*c.bucketSize()) *
		(1 - r.class.Worth/c.bestWorth)
}

// withinCeiling is this gateway's own guarantee of the ceiling: its share of the ceiling's rate and bucket.
func (c *customer) withinCeiling(r *request) bool {
	return c.plan.CeilingRate <= 0 || c.ceiling >= r.Units
}

// spacing is how long, in seconds a unit, the next held request waits after one that leaves. With B the
// share, S the recent rate, E the recent excess, a pacingProportional and b pacingIntegral it is
// (1 + a*max(0, S-B)/B + b*E/bucketSize) / B.
func (c *customer) spacing() float64 {
	share := max(c.share, 1e-6)
	return (1 + pacingProportional*max(0, c.recentRate-share)/share +
		pacingIntegral*c.recentExcess/max(c.bucketSize(), 1e-6)) / share
}

// decide lets a request through, draws for it, holds it or refuses it.
func (g *Gateway) decide(r *request) {
	c := r.customer
	if c.refill(g.now); r.answered {
		return
	}
	// A late try earns little and uses as much as a first one: it only gets what is left over.
	if r.arrivedLate && (r.class.Late <= 0 || len(c.held) > 0 || len(g.queue) > 0 ||
		c.inFlight > 0 && r.plan.Open > 0 ||
		c.level < 0.5*c.bucketSize() || r.upstream.latency > roomyLatencyFactor*r.upstream.idleLatency) {
		g.finish(r, 0)
		return
	}
	goesFirst := func(h *request) bool { return h.class.Worth >= r.class.Worth }
	if c.sharedBucket {
		g.hold(r)
		g.releaseHeld(c)
		return
	}
	if !slices.ContainsFunc(c.held, goesFirst) && (c.onDemand && g.drawOnDemand(r) || g.letWithinQuota(r)) {
		return
	}
	if g.overQuotaPays(r) && c.withinCeiling(r) {
		g.letThrough(r)
		return
	}
	wait := g.holdTime(c, r)
	if g.now+wait+g.expectedLatency(r) > r.usefulUntil {
		g.finish(r, wait) // it could not be served in time, so it is refused at once
		return
	}
	g.hold(r)
}

// holdTime estimates how long a request will be held.
func (g *Gateway) holdTime(c *customer, r *request) time.Duration {
	var wait float64
	var held float64
	for _, h := range c.held {
		if h.class.Worth >= r.class.Worth { // the others wait behind it
			held += h.Units
		}
	}
	if c.plan.Rate > 0 {
		wait = max(0, c.needInBucket(r, g)+held-c.level) / max(c.share, 1e-6)
	}
	if c.plan.CeilingRate > 0 { // an empty bucket of the ceiling holds back as the quota's does
		wait = max(wait, (r.Units+held-c.ceiling)*c.gateways/c.plan.CeilingRate)
	}
	if c.plan.Open > 0 {
		wait = max(wait,
			r.upstream.latency/float64(time.Second)*float64(len(c.held))*c.gateways/float64(c.plan.Open))
	}
	return g.shortenForLease(c, time.Duration(min(wait, 3600)*float64(time.Second)))
}

// letWithinQuota lets a request through if its customer's share has room for it, or its reservation.
func (g *Gateway) letWithinQuota(r *request) bool {
	c := r.customer
	if !c.fits(r, g) || !c.withinCeiling(r) {
		return g.letOnReservation(r)
	}
	if c.plan.Rate > 0 {
		c.level -= r.Units
		r.unitsTaken = true
		c.recentExcess = min(c.recentExcess+r.Units, c.bucketSize())
		c.recentRate += r.Units / c.interval.Seconds()
		c.uncounted += r.Units
	}
	g.letThrough(r)
	return true
}

// letThrough sends a request on from its admission: to the queue for a server, or back to its caller.
func (g *Gateway) letThrough(r *request) {
	r.queued, r.countedInFlight = !r.AdmitOnly, true
	r.customer.inFlight++
	if r.customer.plan.CeilingRate > 0 {
		r.customer.ceiling -= r.Units
	}
	if r.AdmitOnly { // its caller sends it on: it has taken its units, and no attempt of it will end here
		r.attempts++
		g.do(Admit{r.ID})
		g.drop(r)
		return
	}
	g.enqueue(r, false)
	g.dispatch()
}

// releaseHeld refuses the held requests that cannot be served in time, at any position, so that their clients
// can ask elsewhere. Then it releases the others in order, at the pace. One of more worth does not wait
// behind one of less worth that needs more in the bucket.
func (g *Gateway) releaseHeld(c *customer) {
	c.refill(g.now)
	for k := len(c.held) - 1; k >= 0; k-- {
		r, from := c.held[k], max(g.now, c.nextRelease)
		if c.sharedBucket && !c.drawPending { // one draw for each before it, each as long as until drawnDueAt
			from = max(from, c.drawnDueAt+time.Duration(k)*(c.drawnDueAt-g.now))
		}
		if g.tooLate(r, from) {
			g.finish(r, max(c.interval, c.drawnDueAt-g.now))
		}
	}
	for k, blockedWorth := 0, -1.0; k < len(c.held) && g.now >= c.nextRelease; {
		switch r := c.held[k]; {
		case r.class.Worth <= blockedWorth: // one of its worth or more is still held, and needs no more units
			k++
		case c.onDemand && g.drawOnDemand(r), c.sharedBucket && g.spendDrawnUnits(r):
			c.held, k, blockedWorth = withoutRequest(c.held, r), 0, -1
		case !(c.sharedBucket && g.drawAhead(c)) && g.letWithinQuota(r):
			c.held, k, blockedWorth = withoutRequest(c.held, r), 0, -1
			if c.plan.Rate > 0 && !r.onReservation {
				c.nextRelease = g.now + time.Duration(r.Units*c.spacing()*float64(time.Second))
			}
		default:
			blockedWorth, k = r.class.Worth, k+1
		}
	}
}

// overQuotaPays tells whether sending beyond the quota earns more than it costs, with room to spare.
func (g *Gateway) overQuotaPays(r *request) bool {
	return r.plan.OverWorth > r.plan.OverCost && len(g.queue) == 0 &&
		r.upstream.latency < roomyLatencyFactor*r.upstream.idleLatency
}

// coldServerMayTake limits the attempts at a cold server (slow start). With few gateways a budget does
// (coldTokens). With many, what all had saved up would add up to a burst: each request is allowed by its
// random draw instead, with the probability warm*coldLoadShare/servers.
func (g *Gateway) coldServerMayTake(r *request, s *server, warm float64, servers int) bool {
	return g.unseenShare == 0 && s.coldTokens >= 1 ||
		g.unseenShare > 0 && r.randomDraw*float64(servers) < warm*coldLoadShare
}

// tickUpstream looks for hung servers, and refills the budgets of cold servers and of the upstream group.
func (g *Gateway) tickUpstream(u *upstream) {
	for k := len(u.cold) - 1; k >= 0; k-- {
		s := u.cold[k]
		w := g.warmShare(s)
		rate := u.sendRate * w * coldLoadShare
		refilled := float64(rate * (g.now - s.coldRefilledAt).Seconds())
		s.coldTokens = min(s.coldTokens+refilled, 1+float64(0.2*rate*g.set.Fall.Seconds()))
		if s.coldRefilledAt = g.now; w >= 1 {
			g.recount(s)
		}
	}
	warm := u.sumUsable(g)
	for _, s := range u.withAttempts {
		g.ejectIfHung(s)
	}
	dt := tick.Seconds()
	u.sendTokens = min(u.sendTokens+u.concurrencyLimit()*dt*float64(time.Second)/min(u.latency, 3*u.idleLatency),
		1+math.Sqrt(u.concurrencyLimit()))
	u.raiseLocalLimit(dt)
	u.sendRate = smoothed(u.sendRate, dt, u.sent/dt/float64(max(warm, 1)))
	u.sent = 0
}

// ejectIfHung ejects a server whose attempts stay unanswered for far longer than usual, whatever the cause.
func (g *Gateway) ejectIfHung(s *server) {
	if s.ejected || !s.listed {
		return
	}
	var waited float64
	for _, r := range s.attemptsInFlight {
		waited += float64(g.now - max(r.sentAt, s.answeredAt, g.resumedAt))
	}
	if waited < hungLatencies*max(s.latency, s.upstream.latency, float64(minHungLatency)) {
		return
	}
	g.eject(s, "silent")
	for _, r := range append([]*request(nil), s.attemptsInFlight...) { // if safe to repeat: tried elsewhere
		if r.class.Effect == Safe && g.set.Cancelling && !r.cancelled && !r.answered && g.mayRetry(r) {
			r.cancelled = true
			g.do(Cancel{r.ID, r.attempts - 1})
		}
	}
}

func (g *Gateway) eject(s *server, reason string) {
	s.ejected, s.trialPending = true, false
	g.recount(s)
	// Each of many gateways tries the server again, so each waits longer.
	s.ejectedUntil = g.now + time.Duration(float64(s.backoff)*(1+float64(manyGatewaysEjectFactor*g.unseenShare)))
	s.backoff = min(2*s.backoff, maxEjectTime)
	g.logLimited("server", fmt.Sprintf("%x left out (%s)", s.ID, reason))
}

// observeOutcome learns a server's latency and failure rate, and its group's limit, from an outcome.
func (g *Gateway) observeOutcome(s *server, r *request, o Outcome) {
	lat, u := g.observedLatency(r), s.upstream
	u.noteOutcome(s.Zone, o.Status, g.now)
	switch o.Status {
	case OK:
		s.answeredAt = g.now
		s.latency = smoothed(s.estimatedLatency(), 0.1, lat)
		// Where answers are few, each must weigh more.
		u.latency = smoothed(u.latency, 0.02*(1+float64(6*g.unseenShare)), lat)
		u.idleLatency = min(u.idleLatency*1.0001, u.latency)
		s.failureRate = smoothed(s.failureRate, failureSmoothing, 0)
		if s.ejected {
			s.ejected, s.trialPending, s.failureRate = false, false, ejectFailureRate*0.8
			g.recount(s)
		} else if s.failureRate < 0.05 {
			s.backoff = minEjectTime
		}
		u.loadPerServer = smoothed(u.loadPerServer, 0.02, u.inFlight/max(u.warmCapacity, 1))
		u.servedPerServer = max(0.9998*u.servedPerServer, u.loadPerServer*u.idleLatency/u.latency)
		g.lowerLimitUnderLoad(u, lat/float64(r.class.Aim))
		if u.aimShare < growBelowAimShare && (u.inFlight+1 > 0.8*u.concurrencyLimit() ||
			g.unseenShare > 0 && u.sendTokens < 1) {
			u.limitPerServer = min(u.limitPerServer*(1+float64(0.005*(1+float64(9*g.unseenShare)))), maxServerLimit)
		}
	case Cancelled, NotAttempted, LocalShortage, ExpiredUnsent:
		s.trialPending = false
	default:
		// Overload shows in time-outs, too, but it also slows the answers. While these are quick, a time-out counts
		// for maxTimeoutAimShare at most, little more than cutAboveAimShare: answers lost on the way, servers that
		// drop a part of their work and rare heavy requests must not lower the limit to its minimum where servers
		// have room. Trade-off: an overload so sudden that no slow answer precedes the time-outs lowers the limit
		// late.
		if o.Status == Timeout && !s.ejected {
			share := min(lat/float64(r.class.Aim), 2)
			if u.latency < slowLatencyFactor*u.idleLatency {
				share = min(share, maxTimeoutAimShare)
			}
			g.lowerLimitUnderLoad(u, share)
		}
		if o.Status == Timeout && s.answeredAt > r.sentAt {
			return // the server answers others: this request is heavy, and the server is not to blame
		}
		if o.Status != Timeout {
			s.answeredAt = g.now
		}
		// A server that turns all away at once looks idle and would attract all: Full counts as a failure. So does
		// an answer that nobody can use, though any server gives one now and then. Both weigh half.
		s.failureRate = smoothed(s.failureRate, failureSmoothing/2, 1)
		if o.Status != Full && o.Status != InvalidAnswer {
			s.failureRate = smoothed(s.failureRate, failureSmoothing/2, 1)
		}
		// Each of many gateways sends to a server rarely, so one failure ejects it: else each would lose another.
		if s.trialPending || !s.ejected &&
			(s.failureRate > ejectFailureRate || o.Status == ConnectFailed || g.unseenShare > 0) {
			g.eject(s, "failures")
		}
	}
}

// lowerLimitUnderLoad lowers the limit when answers take too much of their aim, before requests queue in the
// servers, which then stay congested. A least time between cuts keeps one bad answer from lowering it again
// and again where few come. What was once in service at a time (Little's law: in flight times idle latency
// over latency) stays, less of it with many gateways: where all servers are slow at once there is no queue to
// drain, and fewer attempts in flight would only leave their cores idle.
func (g *Gateway) lowerLimitUnderLoad(u *upstream, share float64) {
	u.aimShare = smoothed(u.aimShare, 0.05*(1+float64(6*g.unseenShare)), share)
	if u.aimShare > cutAboveAimShare &&
		g.now-u.limitCutAt >= max(minLimitCutInterval, time.Duration(g.unseenShare*u.latency)) {
		left := max(0.93-float64(0.13*g.unseenShare), min(cutAboveAimShare/u.aimShare, 0.93))
		u.limitPerServer, u.limitCutAt = max(u.limitPerServer*left, 1/float64(g.set.Gateways),
			u.servedPerServer*(1-g.unseenShare)), g.now
	}
}

// expectedLatency is how long an attempt may take, by its units. It is at most half an aim: else no request
// would be tried any more once the servers are congested.
func (g *Gateway) expectedLatency(r *request) time.Duration {
	return time.Duration(min(r.upstream.latency*r.Units/r.upstream.meanUnits, float64(r.class.Aim/2)))
}

// tooLate tells whether an attempt from then on has no chance: not even half its expected latency fits.
func (g *Gateway) tooLate(r *request, from time.Duration) bool {
	return from+g.expectedLatency(r)/2 > r.usefulUntil
}

// dispatch sends queued requests while servers have room, in the order of the queue (see enqueue).
func (g *Gateway) dispatch() {
	var late []*request
	kept, full := g.queue[:0], map[*upstream]bool{}
	for _, r := range g.queue {
		var s *server
		if g.keyExpired(r) || g.tooLate(r, g.now) {
			late = append(late, r) // it has no chance any more: its final answer is due now
			continue
		}
		if !full[r.upstream] || r.mayHaveRun {
			s = g.chooseServer(r)
		}
		if s != nil {
			g.send(r, s)
			continue
		}
		full[r.upstream] = full[r.upstream] || !r.mayHaveRun
		kept = append(kept, r)
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	for _, r := range late {
		g.finish(r, 0)
	}
}

func (g *Gateway) send(r *request, s *server) {
	u := r.upstream
	r.queued = false
	r.server, r.sentAt = s, g.now
	if r.attempts == 0 {
		u.retryTokens = min(u.retryTokens+retryTokensPerRequest, maxRetryTokens)
	}
	r.attempts++
	u.inFlight, u.sent, u.sendTokens = u.inFlight+1, u.sent+1, u.sendTokens-1
	u.meanUnits = smoothed(u.meanUnits, 0.02, max(r.Units, 1e-3)) // never 0: sizes are divided by it
	s.addAttempt(r)
	if s.ejected {
		s.trialPending, s.ejectedUntil = true, g.now+s.backoff
	}
	if g.warmShare(s) < 1 {
		s.coldTokens--
	}
	wait := r.deadline - g.now
	// Leave time for a second attempt, where one is allowed.
	if r.class.Effect == Safe && u.retryTokens >= 1 && r.attempts < g.set.MaxAttempts {
		wait = min(wait, max(r.usefulUntil-g.now-time.Duration(2*u.latency), time.Duration(6*u.latency)))
	}
	g.do(Send{r.ID, s.ID, wait, r.keyDeadline()})
}

// chooseServer finds the server with the least work for its speed, or nil if none may take the request. Many
// gateways look at a few drawn at random first: otherwise all would find the same server best.
func (g *Gateway) chooseServer(r *request) (best *server) {
	if u := r.upstream; g.unseenShare > 0 && len(u.list) > drawnServers {
		preferred := make([]*server, 0, preferredServers)
		for _, s := range u.inPreferredOrder[:min(len(u.inPreferredOrder), maxServersScanned)] {
			if s.State == Ready && !u.zoneLost(s.Zone, g.now) && (!s.ejected || g.trialDue(r, s)) {
				if preferred = append(preferred, s); len(preferred) == preferredServers {
					break
				}
			}
		}
		few := make([]*server, 0, drawnServers)
		for k := 0; k < 2*drawnServers && len(preferred) > 0 && len(few) < drawnServers; k++ {
			// A cold server is drawn as often as its share of a warm one's capacity says, by each gateway alike.
			if s := preferred[int(g.random()*float64(len(preferred)))]; g.random() < g.warmShare(s) {
				few = append(few, s)
			}
		}
		best = g.leastLoaded(r, few, true)
	}
	if best == nil && g.hasRoom(r.upstream) {
		best = g.leastLoaded(r, g.serversToScan(r), false)
	}
	return best
}

// leastLoaded finds the best of a list; drawn tells that it was drawn at random.
func (g *Gateway) leastLoaded(r *request, list []*server, drawn bool) (best *server) {
	low := math.Inf(1)
	room := g.hasRoom(r.upstream)
	// Most servers look bad: the fault may be on this side, so ejected ones are used, too.
	mostEjected := 2*r.upstream.usableServers < float64(len(r.upstream.list))
	for _, s := range list {
		w := g.warmShare(s)
		if s.State != Ready || !g.mayTakeRepeat(r, s) || !room ||
			float64(s.inFlight) >= math.Ceil(r.upstream.limitPerServer) ||
			w < 1 && !drawn && !g.coldServerMayTake(r, s, w, len(list)) {
			continue
		}
		score := (s.unitsInFlight/r.upstream.meanUnits + 1) *
			max(s.estimatedLatency()/r.upstream.latency, 0.3) * (1 + float64(0.1*g.random()))
		if g.unseenShare == 0 { // of many gateways the random draw has thinned out a cold server's share already
			score /= w
		}
		if s.Zone != g.set.Zone {
			score *= 1.05
		}
		if s.ejected && !mostEjected {
			if !g.trialDue(r, s) {
				continue
			}
			score = 0 // a trial is due
		}
		if score < low {
			best, low = s, score
		}
	}
	return best
}

// trialDue tells whether a request may be the trial of an ejected server.
func (g *Gateway) trialDue(r *request, s *server) bool {
	may := r.class.Effect == Safe && (r.attempts == 0 || g.unseenShare == 0)
	return may && g.now >= s.ejectedUntil && !s.trialPending && s.inFlight == 0
}

// mayTakeRepeat tells whether a server may take a request: it is no repeat of a keyed one that may have run,
// or the server is in the group that drops its repeats, and the key has not expired. Whether an Unsafe
// request may be repeated at all is decided elsewhere.
func (g *Gateway) mayTakeRepeat(r *request, s *server) bool {
	if !r.mayHaveRun || r.class.Effect != Keyed {
		return true
	}
	same := r.class.KeyGroup == GroupAll || r.class.KeyGroup == GroupZone && s.Zone == r.firstRunServer.Zone ||
		r.class.KeyGroup == GroupCell && s.Cell == r.firstRunServer.Cell
	return same && !g.keyExpired(r)
}

// keyExpired tells whether no server drops the repeat of a keyed request any more: then none may take it.
func (g *Gateway) keyExpired(r *request) bool {
	return r.mayHaveRun && r.class.Effect == Keyed && g.now >= r.keyUntil
}
