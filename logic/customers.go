package logic

import (
	"math"
	"time"

	"bramblefall/internal/schedule"
)

// What is known of customers: their stores, intervals and counts, and what is kept of those that are quiet.

type customer struct {
	schedule.Place
	id                      uint64
	plan                    Plan
	tier, figured           int           // its tier's number; the change that plan is from
	print                   uint64        // of the figures that counts are told in
	n, place                float64       // gateways the customer may use; this one's place among them
	parts, unseen           float64       // that the quota is dealt to; units passed here that no count holds
	sparse                  bool          // the part cannot hold a request: drawn on demand
	ticketed                bool          // the part is too coarse for sums: drawn ahead from one store for all
	stamp                   stamp         // the last total of that store
	credit                  float64       // units drawn and not used, the last of them due then
	due, blind              time.Duration // blind: no draws before
	asking                  bool          // a draw is out
	shut                    time.Duration // nothing is left of the quota until then
	span, phase             time.Duration // phase: with ahead
	ahead                   time.Duration // of the shared clock
	seen, filled            time.Duration
	level, part, ceiling    float64 // the local store; part: units a second, or attempts out
	held                    []*request
	out, open               int           // attempts out; requests not over yet
	release                 time.Duration // the next held request leaves no earlier
	rate, excess            float64       // S and E
	asked, last             float64       // demand of this interval and the one before
	intervals               int
	drift, spread, forecast float64 // smoothed change, smoothed positive change, f
	best                    float64 // worth of the best that it has asked for
	number                  int64   // of the interval
	told                    float64 // the packed value added, 0: none
	readAt                  time.Duration
}

// ends is when the interval is over.
func (c *customer) ends() time.Duration { return time.Duration(c.number+1)*c.span - c.phase }

func (c *customer) interval(now time.Duration) int64 { return int64((now + c.phase) / c.span) }

// quota is what is split: units a second, or attempts out where the plan has no rate.
func (c *customer) quota() float64 {
	if c.plan.Rate > 0 {
		return c.plan.Rate
	}
	return float64(c.plan.Open)
}

// even is g: the part of a gateway that knows nothing of the others.
func (c *customer) even() float64 { return c.quota() / c.parts }

// name is that of one of the interval's counts: gateways agree on it without talk. Those that hold the firm to other
// figures count in other steps and intervals, so theirs have other names.
func (c *customer) name(what int64) uint64 {
	if what == tickets {
		return mix(c.id ^ c.print ^ mix(uint64(int64((c.filled+c.ahead)/c.lasts(tickets))<<2|what)))
	}
	return mix(c.id ^ c.print ^ mix(uint64(c.number<<2|what)))
}

// One float of 24 bits carries three sums: two up to 127, one up to 1023.
func pack(gateways, within, forecasts float64) float64 {
	return gateways*(1<<17) + within*(1<<10) + forecasts
}

func unpack(v float64) (gateways, within, forecasts float64) {
	n := int64(v)
	return float64(n >> 17), float64(n >> 10 & 127), float64(n & 1023)
}

// store is the size of the local store: the burst's share.
func (c *customer) store() float64 { return c.plan.Burst / c.parts }

// lasts is how long a count is added to.
func (c *customer) lasts(what int64) time.Duration {
	if what != tickets {
		return c.span
	}
	return min(time.Duration(epochs*float64(c.span)), maxEpoch)
}

// begun is how long the running total of a customer's store has been added to.
func (c *customer) begun(now time.Duration) time.Duration { return (now + c.ahead) % c.lasts(tickets) }

const (
	epochs     = 8.0              // bursts that a total spans
	maxEpoch   = 20 * time.Second // a name lives three times as long, and 60 s at most
	stampLasts = 8 * time.Second  // that a total tells of the next
)

// stamp is a store that all gateways draw on, as the last total told it.
type stamp struct {
	at           time.Duration
	name         uint64
	total, level float64
	drain        float64 // units a second that all draw
}

// known tells whether so little time has gone by since the last total that no rush can have passed unseen.
func (s *stamp) known(now time.Duration, p Plan) bool {
	return s.at > 0 && (now-s.at).Seconds()*p.Rate <= p.Burst
}

// rush is the time in which the ceiling bears a request from each gateway, 0 where what was drawn lately is known.
func (c *customer) rush(now time.Duration, units float64) float64 {
	if c.plan.CeilingRate <= 0 || c.stamp.known(now, c.plan) {
		return 0
	}
	return max(0, c.n*units-c.plan.CeilingBurst) / c.plan.CeilingRate
}

// read takes a total that holds this gateway's own draw. A total of a new name, or one that an emptied counter lowered,
// tells little: what was drawn unseen is taken to have gone on as before.
func (s *stamp) read(now time.Duration, name uint64, total float64, p Plan, since time.Duration) {
	dt := (now - s.at).Seconds()
	most, whole := p.Burst, p.Burst+p.Rate*since.Seconds()-total // whole: if a full store lost nothing
	if !s.known(now, p) {
		most /= 2 // the time between may hide a rush at its end
	}
	switch {
	case s.at == 0 || dt > stampLasts.Seconds():
		s.level, s.drain = whole, 0
	case name == s.name && total >= s.total:
		s.level += p.Rate*dt - (total - s.total)
		s.drain += min(dt, 1) * ((total-s.total)/max(dt, 1e-3) - s.drain)
	default:
		s.level = min(s.level+max(0, p.Rate-s.drain)*dt, whole)
	}
	s.level = max(min(s.level, most), -p.Burst)
	s.at, s.name, s.total = now, name, total
}

// load is a customer's demand over its quota as last heard, 0 if nobody found it busy.
func (g *Gateway) load(c *customer) float64 {
	if w := g.loads[c.id]; g.now < w.until {
		return w.load
	}
	return 0
}

// most is the use that the quota allows in an interval: units, or attempts begun.
func (c *customer) most(g *Gateway) float64 {
	most := c.quota() * c.span.Seconds()
	if c.plan.Rate <= 0 {
		most /= g.latency / float64(time.Second)
	}
	return most
}

func (c *customer) fill(now time.Duration) {
	dt := (now - c.filled).Seconds()
	c.filled = now
	p := c.plan
	if p.Rate > 0 {
		c.level = min(c.level+c.part*dt, c.store())
		c.excess = min(max(0, c.excess-c.part*dt), c.store())
	}
	if now > c.due+c.span { // units drawn for requests that are gone: all gateways' together would be a burst of their own
		c.credit = 0
	}
	c.rate *= math.Exp(-dt / c.span.Seconds())
	if p.CeilingRate > 0 {
		c.ceiling = min(c.ceiling+p.CeilingRate/c.n*dt, p.CeilingBurst/c.n)
	}
}

// Due is a customer's place among those that something is due for.
func (c *customer) Due() *schedule.Place { return &c.Place }

func (g *Gateway) add(c *customer) {
	g.numbered++
	c.Number = g.numbered // a map's order must not reach an action
	g.customers[c.id] = c
}

// current ends the intervals that were over at the last tick, and tells whether there were any. Of a quiet firm they are
// made up for when it is next looked at.
func (g *Gateway) current(c *customer) bool {
	n := c.interval(g.ticked)
	if n <= c.number {
		return false
	}
	c.roll(int(min(n-c.number, 100)))
	c.unseen, c.number = 0, n
	return true
}

// quietly tells whether the ends of a firm's intervals change nothing: it tells no forecast and has the even part, and
// without requests that stays so.
func (c *customer) quietly() bool {
	even := c.even()
	return c.asked == 0 && c.unseen == 0 && c.told == 0 && c.readAt == 0 && c.part == even && (c.forecast < quiet*even || even <= 0)
}

// await sets when a firm is looked at next.
func (g *Gateway) await(c *customer) {
	at := max(c.seen+idle+1, g.now+1) // it is forgotten then
	if g.resting != nil || !c.quietly() || c.last > 0 {
		at = min(at, c.ends()) // it rests then, unless something of it is still under way
	}
	if c.readAt > 0 {
		at = min(at, c.readAt)
	}
	if len(c.held) > 0 {
		at = g.now
	}
	g.firms.Set(c, at)
}

// reread sets when a firm's sums are read again.
func (g *Gateway) reread(c *customer, after time.Duration) {
	c.readAt = g.now + after
	g.firms.Sooner(c, c.readAt)
}

// rest is what is kept of a quiet customer, in a tenth of the memory: asked again, it goes on as if it had been kept whole.
type rest struct {
	number                                            int64
	filled                                            time.Duration
	level, ceiling, excess, rate, drift, spread, best float32
	tier, figured                                     int32
	order                                             uint32 // Number
}

// idly tells whether nothing of a customer is under way and no more is known of it than a rest keeps.
func (c *customer) idly(g *Gateway) bool {
	return c.open == 0 && !c.asking && g.now >= max(c.release, c.shut, c.blind) &&
		(!c.ticketed || c.stamp.at == 0 || g.now-c.stamp.at > stampLasts && !c.stamp.known(g.now, c.plan)) &&
		(c.credit == 0 || g.now > c.due+c.span)
}

// rest puts a customer to rest if it is quiet. It tells whether the customer's record is gone.
func (g *Gateway) rest(c *customer) bool {
	over := g.now-c.seen > idle && c.open == 0
	if !over && (g.resting == nil || !c.quietly() || c.last > 0 || c.figured != g.figured || !c.idly(g)) {
		return false
	}
	delete(g.customers, c.id)
	g.firms.Remove(c) // a change of plans may have put it back
	if !over {
		g.resting[c.id] = rest{c.number, c.filled, float32(c.level), float32(c.ceiling), float32(c.excess), float32(c.rate),
			float32(c.drift), float32(c.spread), float32(c.best), int32(c.tier), int32(c.figured), uint32(c.Number)}
	}
	return true
}

// wake gives a new customer what is kept of it from before. A change of plans since can only take from it: what it
// would have had between two of them is not known.
func (g *Gateway) wake(c *customer) {
	r, ok := g.resting[c.id]
	if !ok {
		if r, ok = g.rested[c.id]; !ok {
			return
		}
	}
	delete(g.resting, c.id)
	delete(g.rested, c.id)
	changes := g.figured - int(r.figured)
	if changes > 1 {
		r.level, r.ceiling = 0, min(r.ceiling, 0)
	}
	c.level, c.ceiling = min(float64(r.level), c.store()), min(float64(r.ceiling), c.plan.CeilingBurst/c.n)
	c.Number, c.filled, c.best = uint64(r.order), r.filled, float64(r.best)
	if changes > 0 {
		c.filled = max(r.filled, g.changed)
		return
	}
	c.number, c.intervals = min(r.number, c.interval(g.now)), 1 // the shared clock may have stepped back
	c.excess, c.rate, c.drift, c.spread = float64(r.excess), float64(r.rate), float64(r.drift), float64(r.spread)
}

// turn forgets those that have rested for long.
func (g *Gateway) turn() {
	if g.resting != nil && g.now-g.turned > idle {
		g.turned, g.rested, g.resting = g.now, g.resting, map[uint64]rest{}
	}
}
