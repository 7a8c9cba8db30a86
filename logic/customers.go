package logic

import (
	"math"
	"time"

	"bramblefall/internal/schedule"
)

// The records of customers: their token buckets, intervals and counts, and what is kept of those that are dormant.

// customer is what a gateway knows of one customer (a firm).
type customer struct {
	schedule.Entry
	id   uint64
	plan Plan
	tier int // number of the tier that its requests name

	// planRevision is the change of plans that plan is from (see Gateway.planRevision).
	planRevision int

	// fingerprint is that of the plan's figures that counts depend on.
	fingerprint uint64

	gateways float64 // gateways that the customer's requests may come through
	rank     float64 // this gateway's place among them
	shares   float64 // number of even shares that the quota is dealt out in

	// uncounted is the units let through here in this interval that no count holds.
	uncounted float64

	// onDemand: a share cannot hold a request, so the quota is drawn from the counter by each request.
	onDemand bool

	// sharedBucket: a share is too coarse for a split by sums, so units are drawn ahead from one bucket for all gateways.
	sharedBucket bool

	bucket     bucketState   // the shared bucket, by its last total
	drawnUnits float64       // units drawn from it and not used
	drawnDueAt time.Duration // when the last of them are due

	noDrawsUntil   time.Duration // after a failed call
	drawPending    bool          // the answer to a draw has not come yet
	exhaustedUntil time.Duration // nothing is left of the quota until then

	interval   time.Duration // length of the forecast intervals
	phase      time.Duration // added to the time before it is divided into intervals; clockAhead is in it
	clockAhead time.Duration // how far the shared clock is ahead of the gateway's time

	lastSeen time.Duration // its last request
	filledAt time.Duration // the last refill of its buckets

	level   float64 // units in the local bucket
	share   float64 // this gateway's share of the quota: units a second, or attempts in flight
	ceiling float64 // units in the local bucket of the ceiling

	held     []*request // in the order of their arrival
	inFlight int        // attempts in flight
	pending  int        // requests that are not over yet

	nextRelease time.Duration // the next held request leaves no earlier

	recentRate   float64 // S in spacing: units a second, decaying over an interval
	recentExcess float64 // E in spacing: units beyond the share that were let through of late

	demanded       float64 // demand in this interval so far: units, or seconds of attempts in flight
	lastDemand     float64 // demand a second in the interval before
	intervalsEnded int     // intervals that have ended; the first one shows no change of demand
	meanChange     float64 // smoothed change of the demand from interval to interval
	meanRise       float64 // the same of the rises alone
	forecast       float64 // of the demand a second in this interval

	bestWorth      float64       // highest worth of a request that it has sent
	intervalNumber int64         // of the current interval
	reported       float64       // the packed value added to the interval's sums; 0: none
	rereadAt       time.Duration // when the sums are read, or the report made, again; 0: not
}

// intervalEnd is when the current interval is over.
func (c *customer) intervalEnd() time.Duration {
	return c.intervalStart(c.intervalNumber + 1)
}

func (c *customer) intervalAt(now time.Duration) int64 { return int64((now + c.phase) / c.interval) }

// quota is what is split between the gateways: units a second, or attempts in flight where the plan has no rate.
func (c *customer) quota() float64 {
	if c.plan.Rate > 0 {
		return c.plan.Rate
	}
	return float64(c.plan.Open)
}

// evenShare is the share of a gateway that knows nothing of the others.
func (c *customer) evenShare() float64 { return c.quota() / c.shares }

// countName is the counter's name for one of the current interval's counts.
func (c *customer) countName(kind int64) uint64 { return c.countNameAt(kind, c.intervalNumber) }

// countNameAt is the counter's name for one of an interval's counts. Gateways agree on it without communication. Those that hold
// the firm to other figures count in other steps and intervals, so their names differ.
func (c *customer) countNameAt(kind, interval int64) uint64 {
	if kind == bucketDraws {
		return mix(c.id ^ c.fingerprint ^ mix(uint64(int64((c.filledAt+c.clockAhead)/c.countLength(bucketDraws))<<2|kind)))
	}
	return mix(c.id ^ c.fingerprint ^ mix(uint64(interval<<2|kind)))
}

// pack puts three sums into one number: two up to 127, one up to 1023. They take the 24 bits that a float of single precision
// holds exactly.
func pack(gateways, within, forecasts float64) float64 {
	return float64(gateways*(1<<17)) + float64(within*(1<<10)) + forecasts
}

func unpack(v float64) (gateways, within, forecasts float64) {
	n := int64(v)
	return float64(n >> 17), float64(n >> 10 & 127), float64(n & 1023)
}

// bucketSize is the size of the local bucket: this gateway's share of the burst.
func (c *customer) bucketSize() float64 { return c.plan.Burst / c.shares }

// countLength is how long a count is added to before the next begins.
func (c *customer) countLength(kind int64) time.Duration {
	if kind != bucketDraws {
		return c.interval
	}
	return min(time.Duration(runningTotalIntervals*float64(c.interval)), maxRunningTotalLength)
}

// totalAge is how long the running total of a customer's shared bucket has been added to.
func (c *customer) totalAge(now time.Duration) time.Duration {
	return (now + c.clockAhead) % c.countLength(bucketDraws)
}

const (
	// runningTotalIntervals is how many of the customer's intervals (the time to fill a burst, and at least a second) a
	// running total of a shared bucket is added to before the next begins under a new name.
	runningTotalIntervals = 8.0

	// maxRunningTotalLength bounds that time. A name is kept by the counter for three times as long, and for 60 s at most: so
	// 20 s.
	maxRunningTotalLength = 20 * time.Second

	// bucketStateTTL is the age from which on the level of a shared bucket, as last read, is not carried on.
	bucketStateTTL = 8 * time.Second
)

// bucketState is the state of a token bucket that all gateways draw on, by the last total that the counter gave.
type bucketState struct {
	readAt   time.Duration // when that total came; 0: none has come
	name     uint64        // of its count
	total    float64       // units drawn by all
	level    float64       // units in the bucket; below 0: drawn and not filled yet
	drawRate float64       // units a second that all draw, smoothed
}

// isFresh tells whether so little time has passed since the last total that no burst can have been drawn without notice.
func (s *bucketState) isFresh(now time.Duration, p Plan) bool {
	return s.readAt > 0 && (now-s.readAt).Seconds()*p.Rate <= p.Burst
}

// startSpreadSeconds is the time in seconds over which the first draws of all gateways after a pause are spread, so that one
// request from each fits the ceiling; 0 if the recent draws are known.
func (c *customer) startSpreadSeconds(now time.Duration, units float64) float64 {
	if c.plan.CeilingRate <= 0 || c.bucket.isFresh(now, c.plan) {
		return 0
	}
	return max(0, float64(c.gateways*units)-c.plan.CeilingBurst) / c.plan.CeilingRate
}

// update takes a total that includes this gateway's own draw; totalAge is how long the total has been added to. A total under a
// new name, or one that is lower since the counter lost its state, tells little: the draws that were not seen are taken to have
// gone on as before. levelWithoutOverflow is the level if the bucket, full at first, never overflowed.
func (s *bucketState) update(now time.Duration, name uint64, total float64, p Plan, totalAge time.Duration) {
	dt := (now - s.readAt).Seconds()
	maxLevel, levelWithoutOverflow := p.Burst, p.Burst+float64(p.Rate*totalAge.Seconds())-total
	if !s.isFresh(now, p) {
		maxLevel /= 2 // a burst at the end of the time between may have gone unnoticed
	}
	switch {
	case s.readAt == 0 || dt > bucketStateTTL.Seconds():
		s.level, s.drawRate = levelWithoutOverflow, 0
	case name == s.name && total >= s.total:
		s.level += float64(p.Rate*dt) - (total - s.total)
		s.drawRate = smoothed(s.drawRate, min(dt, 1), (total-s.total)/max(dt, 1e-3))
	default:
		s.level = min(s.level+float64(max(0, p.Rate-s.drawRate)*dt), levelWithoutOverflow)
	}
	s.level = max(min(s.level, maxLevel), -p.Burst)
	s.readAt, s.name, s.total = now, name, total
}

// quotaLoad is a customer's demand over its quota as last counted; 0 if no load of busyLoad or more is remembered.
func (g *Gateway) quotaLoad(c *customer) float64 {
	if w := g.loadEstimates[c.id]; g.now < w.expires {
		return w.load
	}
	return 0
}

// intervalQuota is the use that the quota allows in an interval: units, or attempts begun.
func (c *customer) intervalQuota(g *Gateway) float64 {
	most := c.quota() * c.interval.Seconds()
	if c.plan.Rate <= 0 {
		most /= g.latency / float64(time.Second)
	}
	return most
}

// refill fills the local buckets for the time since they were filled last, and lets the recent rate decay.
func (c *customer) refill(now time.Duration) {
	dt := (now - c.filledAt).Seconds()
	c.filledAt = now
	p := c.plan
	if p.Rate > 0 {
		refilled := float64(c.share * dt)
		c.level = min(c.level+refilled, c.bucketSize())
		c.recentExcess = min(max(0, c.recentExcess-refilled), c.bucketSize())
	}
	// Units drawn for requests that are gone lapse: those of all gateways together would be another burst.
	if now > c.drawnDueAt+c.interval {
		c.drawnUnits = 0
	}
	c.recentRate *= math.Exp(-dt / c.interval.Seconds())
	if p.CeilingRate > 0 {
		c.ceiling = min(c.ceiling+float64(p.CeilingRate/c.gateways*dt), p.CeilingBurst/c.gateways)
	}
}

// ScheduleEntry is the place of a customer in the schedule of those that something is due for.
func (c *customer) ScheduleEntry() *schedule.Entry { return &c.Entry }

// Bytes that the records of customers take, with their places in maps and schedules.
const (
	customerBytes        = 1024
	dormantCustomerBytes = 160
)

// LimitCustomers bounds the bytes of the records of customers. Requests of customers that are not known are refused where there is
// no room for a record. 0 stands for no bound.
func (g *Gateway) LimitCustomers(bytes int64) { g.maxCustomerBytes = bytes }

// hasRoomFor reports whether there is a record of the customer, or room for one.
func (g *Gateway) hasRoomFor(customer uint64) bool {
	if g.maxCustomerBytes <= 0 || g.customers[customer] != nil {
		return true
	}
	dormant := int64(len(g.dormant) + len(g.dormantBefore))
	return int64(len(g.customers))*customerBytes+dormant*dormantCustomerBytes < g.maxCustomerBytes
}

// addCustomer adds a new record.
func (g *Gateway) addCustomer(c *customer) {
	g.customersNumbered++
	c.Order = g.customersNumbered // the order of a map must not decide the order of actions
	g.customers[c.id] = c
}

// catchUp ends the intervals that were over at the last tick, and tells whether there were any. Those of a quiet firm are
// made up for when it is next looked at.
func (g *Gateway) catchUp(c *customer) bool {
	n := c.intervalAt(g.tickedAt)
	if n <= c.intervalNumber {
		return false
	}
	c.updateForecast(int(min(n-c.intervalNumber, 100)))
	c.uncounted, c.intervalNumber = 0, n
	return true
}

// isQuiet tells whether the ends of a firm's intervals change nothing: it reports no forecast and has the even share, and
// without requests that stays so.
func (c *customer) isQuiet() bool {
	even := c.evenShare()
	return c.demanded == 0 && c.uncounted == 0 && c.reported == 0 && c.rereadAt == 0 && c.share == even && (c.forecast < minReportedShare*even || even <= 0)
}

// schedule sets when a firm is looked at next.
func (g *Gateway) schedule(c *customer) {
	at := max(c.lastSeen+customerIdleTimeout+1, g.now+1) // then the firm is forgotten
	if g.dormant != nil || !c.isQuiet() || c.lastDemand > 0 {
		at = min(at, c.intervalEnd()) // then the firm becomes dormant, unless something of it is still pending
	}
	if c.rereadAt > 0 {
		at = min(at, c.rereadAt)
	}
	if len(c.held) > 0 {
		at = g.now
	}
	g.dueCustomers.Set(c, at)
}

// scheduleReread sets when a firm's sums are read again.
func (g *Gateway) scheduleReread(c *customer, after time.Duration) {
	c.rereadAt = g.now + after
	g.dueCustomers.SetEarlier(c, c.rereadAt)
}

// dormantCustomer is what is kept of a quiet customer, in an eighth of the memory. With its next request the customer goes on
// from these values, the fractions rounded to single precision; if plans have changed since, from less (see restoreDormant).
type dormantCustomer struct {
	intervalNumber int64
	filledAt       time.Duration
	level          float32
	ceiling        float32
	recentExcess   float32
	recentRate     float32
	meanChange     float32
	meanRise       float32
	bestWorth      float32
	tier           int32
	planRevision   int32
	queueOrder     uint32 // Entry.Order
}

// nothingPending tells whether nothing of a customer is pending and no more is known of it than a dormantCustomer keeps.
func (c *customer) nothingPending(g *Gateway) bool {
	return c.pending == 0 && !c.drawPending && g.now >= max(c.nextRelease, c.exhaustedUntil, c.noDrawsUntil) &&
		(!c.sharedBucket || c.bucket.readAt == 0 || g.now-c.bucket.readAt > bucketStateTTL && !c.bucket.isFresh(g.now, c.plan)) &&
		(c.drawnUnits == 0 || g.now > c.drawnDueAt+c.interval)
}

// makeDormant makes a customer dormant if it is quiet, or forgets it if it is idle for long. It tells whether the customer's
// record is gone.
func (g *Gateway) makeDormant(c *customer) bool {
	forgotten := g.now-c.lastSeen > customerIdleTimeout && c.pending == 0
	if !forgotten && (g.dormant == nil || !c.isQuiet() || c.lastDemand > 0 || c.planRevision != g.planRevision || !c.nothingPending(g)) {
		return false
	}
	delete(g.customers, c.id)
	g.dueCustomers.Remove(c) // onPlansChanged may have scheduled it again
	if !forgotten {
		g.dormant[c.id] = dormantCustomer{c.intervalNumber, c.filledAt, float32(c.level), float32(c.ceiling), float32(c.recentExcess), float32(c.recentRate),
			float32(c.meanChange), float32(c.meanRise), float32(c.bestWorth), int32(c.tier), int32(c.planRevision), uint32(c.Order)}
	}
	return true
}

// restoreDormant gives a new customer what was kept of it from before. If plans have changed since, it can only lose by that:
// after more than one change its bucket starts empty, since the plans between them are not known.
func (g *Gateway) restoreDormant(c *customer) {
	r, ok := g.dormant[c.id]
	if !ok {
		if r, ok = g.dormantBefore[c.id]; !ok {
			return
		}
	}
	delete(g.dormant, c.id)
	delete(g.dormantBefore, c.id)
	changes := g.planRevision - int(r.planRevision)
	if changes > 1 {
		r.level, r.ceiling = 0, min(r.ceiling, 0)
	}
	c.level, c.ceiling = min(float64(r.level), c.bucketSize()), min(float64(r.ceiling), c.plan.CeilingBurst/c.gateways)
	c.Order, c.filledAt, c.bestWorth = uint64(r.queueOrder), r.filledAt, float64(r.bestWorth)
	if changes > 0 {
		c.filledAt = max(r.filledAt, g.plansChangedAt)
		return
	}
	c.intervalNumber, c.intervalsEnded = min(r.intervalNumber, c.intervalAt(g.now)), 1 // the shared clock may have stepped back
	c.recentExcess, c.recentRate, c.meanChange, c.meanRise = float64(r.recentExcess), float64(r.recentRate), float64(r.meanChange), float64(r.meanRise)
}

// rotateDormant forgets, once in customerIdleTimeout, the customers that became dormant before the last such time.
func (g *Gateway) rotateDormant() {
	if g.dormant != nil && g.now-g.dormantRotatedAt > customerIdleTimeout {
		g.dormantRotatedAt, g.dormantBefore, g.dormant = g.now, g.dormant, map[uint64]dormantCustomer{}
	}
}
