// The decisions of a gateway. Its interface is api.go: settings, events, actions. state.go has the records.
//
// A request passes two gates. The first is its customer's: a store, a pace and a cap on attempts out, all
// sized by this gateway's part of the customer's quota. The part follows a forecast of demand an interval
// ahead and the sums of all gateways' forecasts on the counter (King, Song and Dias). The second gate is the
// servers': bounded concurrency, so that overload waits or is refused here and not in the servers.
package logic

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	ms, tick = time.Millisecond, 10 * time.Millisecond // longer adds to every hold

	guard = 6 * ms           // a final answer goes out this long before the client's deadline
	idle  = 60 * time.Second // customers idle this long are dropped

	smoothing, cushion = 0.3, 5.0 / 3                 // weight of the newest change; deviations added (1 2/3)
	minSpan, maxSpan   = time.Second, 2 * time.Second // of the interval: short costs calls (most: few gateways)
	quiet              = 0.3                          // of g: who forecasts less tells nobody
	quanta, mostQuanta = 8, 64                        // steps of g in which forecasts travel; at most 8 g
	mostSum            = 127                          // steps within g, gateways in one number; more: even parts
	paceP, paceI       = 0.1, 0.1                     // a and b: spacing by the rate above the part, and by E

	mostCalls, callsSaved = 1.2, 30.0          // counter calls for each request, and at once
	leastCalling, silence = 0.05, 3            // share of calls made in trouble; failures that show silence
	callsGrow             = 1.02               // of that share, an answer: one failure in ten is borne
	lastCall              = time.Second        // without a call at most: it may be back unseen
	lastFull              = 4 * time.Second    // or, if it turns calls away
	lateSums              = 250 * ms           // a sum that nobody waits for is of use for so long
	crowded               = 0.3                // least share of calls that spreads those told again
	wholeShare            = 2.0                // of a cap: a share below is too coarse for sums to split
	turnTime, turnShare   = 600 * ms, 0.8      // of turns at a cap, at most; of the shortest aim
	drawSpan, mostDraws   = 2 * time.Second, 3 // so long a lost slot is missing; draws for one request
	busy                  = 0.8                // load from which draws are thinned
	thinned, busiest      = 0.8, 6.0           // of a quota, passed with no count to ask; gateways of one firm
	wordLasts             = 8 * time.Second    // that a customer is busy
	ticketed, mostTickets = 4.0, 3.0           // units of a part too coarse for sums; drawn at once
	callsStored, dearest  = 8.0, 3.0           // calls saved by one of many; kept for the dearest plan
	keptFrom              = 0.6                // of its part: who asks for more has units kept
	keptUnits, keptShare  = 2.0, 0.5           // so many mean requests' at most; of the store
	onTheWay              = 20 * ms            // between two clients' tries with the same time, in what is left

	healthStep, sick      = 0.2, 0.35                    // newest outcome in failures; more ejects
	firstEject, lastEject = time.Second, 8 * time.Second // doubled with each failed trial
	silentWork            = 7.0                          // mean latencies unanswered before a server looks hung
	leastSilent           = 100 * ms                     // of such a latency: a quick server may pause, too
	retryEarn, retryMost  = 0.2, 20.0                    // retries earned by each first attempt, and saved
	unrun, rareTrials     = 0.2, 4.0                     // of a retry, where nothing ran; longer, tried by many
	limitStart, limitMost = 12.0, 64.0                   // attempts out at a server: by all at first, by one
	calm, strained        = 0.3, 0.4                     // share of the aim where the bound grows, and falls
	slowAnswers           = 2.0                          // times the idle latency: then time-outs show load, too
	lostStrain            = 0.5                          // of the aim: most that a time-out shows, if not
	cutEvery              = 100 * ms                     // at most this often
	roomy                 = 1.5                          // latency over idle latency with room to spare
	coldMargin            = 0.8                          // of a warm server's load, by capacity
	ownView               = 4.0                          // gateways up to which a gateway's own view is enough
	nearest, candidates   = 10, 3                        // servers that one of many keeps to; drawn of these
	mostLooked            = 100                          // a sample, no cap: servers looked at for one attempt
	logEvery              = 5 * time.Second              // between two log lines of the same kind

	tickToken                       = 0          // requests' tokens start above
	sums, use, slots, tickets int64 = 0, 1, 2, 3 // what a count holds
)

func (g *Gateway) everyTick() {
	g.do(SetTimer{tickToken, tick})
	g.rollCustomers()
	for _, f := range g.fleets {
		g.watchFleet(f)
	}
	g.dispatch()
	if g.now-g.second < time.Second {
		return
	}
	if g.set.AskForList && !g.watching && g.now >= g.watchAt { // a lost subscription must not leave the list old
		g.watchAt = g.now + time.Second + time.Duration(g.random()*float64(time.Second))
		g.do(Watch{true})
	}
	g.second = g.now
	maps.DeleteFunc(g.loads, func(_ uint64, w word) bool { return g.now > w.until })
}

// ---- settings in

// New makes a gateway from its settings and the seed of its random choices.
func New(s Settings, seed uint64) *Gateway {
	if s.Gateways = max(s.Gateways, 1); !s.RetryAfter {
		s.MaxRetryAfter = 0
	}
	aim := time.Hour
	for _, c := range s.Classes {
		aim = min(aim, c.Aim)
	}
	guess := max(float64(aim), 1) / 6 // work is a small part of what clients wait for
	blind := max(0, 1-ownView/float64(s.Gateways))
	g := &Gateway{set: s, blind: blind, rng: seed,
		requests: map[uint64]*request{}, tokens: map[uint32]*request{},
		customers: map[uint64]*customer{}, servers: map[ServerID]*server{}, calls: map[uint64][]call{}, units: 1,
		resting: map[uint64]rest{}, loads: map[uint64]word{}, logged: map[string]time.Duration{},
		guess: guess, callsSaved: callsSaved, size: math.Pow(max(s.MostUnits, 1), 0.25),
		dearest: priceOf(s.Plans), among: 1,
		turnTime: max(tick, min(turnTime, time.Duration(turnShare*float64(aim)))),
		longest:  make([]time.Duration, len(s.Classes))}
	if g.fleet = g.group(0); blind > 0 { // what one of few may do is too much for a counter that many call
		g.callsSaved = callsStored
	}
	g.counter = g.untold(0)
	g.counters = []*counter{g.counter}
	return g
}

// ---- requests and answers

func (g *Gateway) arrive(q Request) {
	if g.requests[q.ID] != nil {
		return
	}
	plan, known := g.planOf(q.Customer, q.Plan)
	known = known && q.Class >= 0 && q.Class < len(g.set.Classes)
	if !known || q.TTL <= guard || !(q.Units >= 0) || q.Units > 1e6 {
		g.do(Refuse{ID: q.ID}) // nothing can be done in time: due at once, and no later try would fare better
		return
	}
	r := &request{Request: q, class: g.set.Classes[q.Class], plan: plan, luck: g.random(),
		fleet: g.group(q.Group)}
	r.TTL = min(r.TTL, time.Hour)
	r.deadline = g.now + r.TTL - guard
	if !q.OwnWait {
		g.longest[q.Class] = max(g.longest[q.Class], r.TTL)
	}
	// A later try has less time than the longest seen: what the client has waited already is the difference.
	// Clients that give up soon and repeat at once look the same, and rightly: a storm must not starve others.
	aim := r.class.Aim
	// So would tries that only took a moment longer on their way here, and those of other clients where later
	// ones are marked: they are none.
	g.marked = g.marked || q.Repeat
	if !q.OwnWait && r.TTL < g.longest[q.Class]-onTheWay && (q.Repeat || !g.marked) {
		aim -= max(0, r.class.Deadline-r.TTL)
	}
	r.stale = aim <= time.Duration(r.fleet.base/2) && r.class.Late < 0.5
	if r.useful = g.now + aim; r.class.Late >= 0.5 || r.useful > r.deadline || r.stale {
		r.useful = r.deadline
	}
	g.nextToken = max(g.nextToken+1, tickToken+1)
	r.token = g.nextToken
	g.requests[q.ID], g.tokens[r.token] = r, r
	g.do(SetTimer{r.token, r.deadline - g.now}) // every accepted request owns a timer before its deadline
	for _, k := range g.counters {              // each its share and as much again, for names fall unevenly
		k.callsLeft = min(k.callsLeft+mostCalls*min(1, 2/float64(g.among))*max(k.calling, 1-g.blind), g.callsSaved)
	}
	g.units += 0.02 * (q.Units - g.units)
	r.cust = g.customer(r)
	r.cust.asked, r.cust.best = r.cust.asked+r.demand(g), max(r.cust.best, r.class.Worth)
	g.admit(r)
}

// giveUp answers a request that has run out of time.
func (g *Gateway) giveUp(r *request) {
	if r.server != nil && g.set.Cancelling && !r.cancelled {
		r.cancelled = true
		g.do(Cancel{r.ID, r.attempts - 1})
	}
	g.finish(r, 0)
}

// finish gives the one final answer: a refusal only where a retry is proven harmless.
func (g *Gateway) finish(r *request, after time.Duration) {
	if r.answered {
		return
	}
	mayRun := r.ran || r.server != nil
	known := r.class.Effect == Keyed && r.class.KeyGroup == GroupAll && r.server == nil
	if r.class.Effect == Safe || !mayRun || known {
		g.do(Refuse{r.ID, min(max(after, g.nextRoom(r.fleet)), g.set.MaxRetryAfter)})
	} else {
		g.do(Fail{r.ID})
	}
	g.drop(r)
}

// nextRoom guesses when servers have room for one more: no refusal leaves without a time to come back.
func (g *Gateway) nextRoom(f *fleet) time.Duration {
	return time.Duration(min(f.latency*float64(len(g.queue)+1)/f.bound(), float64(idle)))
}

func (g *Gateway) ended(o Outcome) {
	r := g.requests[o.ID]
	if r == nil || r.server == nil || o.Attempt != r.attempts-1 || o.Server != r.server.ID {
		return
	}
	s := r.server
	if r.server = nil; !s.ejected {
		r.fleet.busy--
	}
	if s.off(r); s.out == 0 && !s.listed {
		delete(g.servers, s.ID)
	}
	r.fleet.left(o.Status)
	g.learn(s, r, o)
	neverRan := o.Status.provesNothingRan()
	if !neverRan && !r.ran {
		r.ran, r.keyServer, r.keyUntil = true, s, r.sentAt+r.class.KeyTTL
	}
	if o.Status == OK && g.set.Settles && o.Units > 0 && r.drawn {
		r.cust.level -= o.Units - r.Units
	}
	r.cancelled, r.streaming = false, false
	switch {
	case o.Closed || o.Status == OK || r.answered:
		g.drop(r)
	case o.Status == Moot || !g.mayRetry(r):
		g.finish(r, 0)
	default:
		r.fleet.charge(o.Status, neverRan && g.blind > 0)
		r.ready = true
		g.enqueue(r, o.Status != Unsent) // another may find out next whether there is still a want
	}
	g.letCustomer(r.cust)
	g.dispatch()
}

// mayRetry tells whether a further attempt is harmless, in time and in the budget.
func (g *Gateway) mayRetry(r *request) bool {
	if r.attempts >= g.set.MaxAttempts || r.fleet.retries < 1 || g.tooLate(r, g.now) {
		return false
	}
	return !r.ran || r.class.Effect == Safe || r.class.Effect == Keyed && g.now < r.keyUntil-guard
}

// ---- forecast

func (g *Gateway) customer(r *request) *customer {
	c := g.customers[r.Customer]
	if c == nil {
		p := r.plan
		c = &customer{id: r.Customer, tier: r.Plan, figured: g.figured, filled: g.now}
		c.n = float64(min(max(r.Spread, 1), g.set.Gateways))
		c.place = float64(((g.set.Rank-r.First)%g.set.Gateways + g.set.Gateways) % g.set.Gateways)
		g.figure(c, p)
		c.level = c.store()
		// A fresh gateway may be a restarted one: its store of the ceiling has only its part of the slack.
		c.ceiling = 0.9 * p.CeilingSlack / c.n
		g.add(c)
		g.wake(c)
	}
	g.current(c)
	g.refigure(c)
	g.firms.Sooner(c, c.ends())
	c.seen, c.open = g.now, c.open+1
	return c
}

// figure sets what follows from a plan's figures: the interval, whether the part is drawn, and the even part.
func (g *Gateway) figure(c *customer, p Plan) {
	c.plan, c.print = p, fingerprint(p)
	c.span, c.sparse, c.ticketed, c.parts = minSpan, false, false, c.n
	if p.Rate > 0 {
		c.sparse = c.n > ownView && c.store() < g.size
		c.ticketed = c.n > ownView && c.store() < ticketed*g.size && (!c.sparse || p.CeilingRate > 0)
		c.sparse = c.sparse && !c.ticketed
		if c.sparse { // most of a firm's requests come through a few: with no call to make, these hold its part
			c.parts = min(c.n, busiest)
		}
		c.span = max(time.Duration(p.Burst/p.Rate*float64(time.Second)), minSpan)
		if g.blind == 0 {
			c.span = min(c.span, maxSpan)
		}
	} else if c.sparse = c.n > ownView && float64(p.Open)/c.n < wholeShare; c.sparse {
		c.span = drawSpan
	}
	c.ahead = g.clock.ahead()
	c.phase = time.Duration(mix(c.id)%uint64(c.span)) + c.ahead // customers' intervals end at different times
	c.number = c.interval(g.now)
	c.part = c.even()
}

// rollCustomers ends intervals: it makes the forecast and tells it where it matters.
func (g *Gateway) rollCustomers() {
	g.sweep()
	g.ticked = g.now
	g.turn()
	for _, c := range g.firms.Take(g.now) {
		g.refigure(c)
		if g.current(c) {
			g.tell(c)
		}
		if again := c.readAt > 0 && g.now >= c.readAt; again && c.told > 0 {
			c.readAt = 0
			g.count(c, sums, 0, nil)
		} else if again {
			g.tell(c)
		}
		if len(c.held) > 0 {
			g.letCustomer(c)
		}
		if !g.rest(c) {
			g.await(c)
		}
	}
}

// roll makes the forecast: last demand plus the smoothed change plus a cushion of the smoothed rises.
func (c *customer) roll(steps int) {
	for ; steps > 0; steps-- {
		demand := c.asked / c.span.Seconds()
		change := demand - c.last
		if c.intervals++; c.intervals == 1 {
			change = 0 // a newcomer's first interval is no rise
		}
		c.drift += smoothing * (change - c.drift)
		c.spread += smoothing * (max(0, change) - c.spread)
		c.forecast = max(0, demand+c.drift+cushion*c.spread)
		c.last, c.asked = demand, 0
	}
}

// ---- split

// tell adds this gateway's forecast, min(f, g) and one to the interval's sums, as one number: in steps of g,
// coarser the more gateways there are and then rounded at random, so that the sums stay true.
func (g *Gateway) tell(c *customer) {
	even := c.even()
	c.told, c.readAt, c.part = 0, 0, even
	coarse := c.plan.Rate <= 0 && even < wholeShare // turns decide
	if coarse || c.sparse || c.ticketed || even <= 0 || c.n < 2 || c.n > mostSum || c.forecast < quiet*even {
		return
	}
	steps := c.steps()
	f := math.Ceil(c.forecast / even * steps)
	if steps < quanta {
		f = math.Floor(c.forecast/even*steps + g.random())
	}
	f = min(f, mostQuanta, math.Floor(1023/c.n))
	if told := pack(1, min(f, steps), f); g.count(c, sums, told, nil) {
		c.told = told
	}
}

// bearing finds the counters of a customer's count that are called now, if so many calls are left for them,
// and the bits of those that are not.
func (g *Gateway) bearing(c *customer, what int64, spare float64) (to []*counter, spared uint8) {
	bears := func(k *counter) bool { return g.now >= k.counterUp && k.callsLeft >= spare }
	switch {
	case !g.set.HasCounter || g.spread == nil && !bears(g.counter):
		return nil, 0
	case g.spread == nil:
		return g.counters, 0
	}
	for n, number := range g.spread.Counters(g.now, c.name(what), c.started(what)) {
		if k := g.at(number); bears(k) {
			to = append(to, k)
		} else {
			spared |= 1 << n
		}
	}
	return to, spared
}

// count calls the counter for a customer's interval, unless calls fail or are used up.
func (g *Gateway) count(c *customer, what int64, amount float64, r *request) bool {
	to, spared := g.bearing(c, what, 1)
	for _, k := range to {
		k.callsLeft--
	}
	if len(to) > 0 {
		g.call(c, c.name(what), what, amount, r, spared)
	}
	return len(to) > 0
}

// judge learns from a counter's answer how many calls it bears.
func (k *counter) judge(g *Gateway, st Status, latency time.Duration) {
	if st == Reset { // a connection that broke or brought noise says nothing of the counter
		return
	}
	if st != OK { // fewer calls, none for a while to a silent or full counter; no crowd afterwards
		if k.failed++; k.failed == 1 {
			k.borne = k.calling
		}
		k.calling, k.away = max(0.8*k.calling, leastCalling), k.failed >= silence && st == ConnectFailed
		if k.failed >= silence {
			k.counterUp = g.now + time.Duration((0.5+g.random())*float64(k.backoff))
			k.backoff = min(2*k.backoff, lastCall)
			if st == Full {
				k.backoff = min(2*k.backoff, lastFull)
			}
		}
		return
	}
	if k.away { // nobody was there: that tells nothing of how many calls it bears
		k.calling, k.away = k.borne, false
	}
	if g.blind > 0 && latency > g.set.CounterLimit { // a crowd: a good answer, but too many calls
		k.calling = max(0.95*k.calling, leastCalling)
	}
	k.backoff, k.failed, k.calling = 500*ms, 0, min(callsGrow*k.calling, 1)
}

func (g *Gateway) counted(e CountResult) {
	made, ok := g.answered(e.Name)
	if !ok {
		return
	}
	c, r := made.cust, made.req
	g.current(c)
	calling := g.heard(e)
	if e.Status != OK {
		if made.told && c.told > 0 && e.Name == c.name(sums) { // it may have been added: a read tells
			after := max(g.set.CounterLimit, 3*tick)
			if e.Status == Full { // it was not, so it is told again
				c.told, after = 0, time.Duration(g.random()*float64(lateSums)/max(calling, crowded))
			}
			g.reread(c, after)
		}
		g.note("counter", fmt.Sprintf("a call failed (%d), even parts meanwhile", e.Status))
		if r != nil {
			r.draws = mostDraws // no further: by what is known here
			g.admit(r)
		}
		if c.asking && made.what == tickets {
			c.asking, c.blind = false, g.now+lateSums
			g.letCustomer(c)
		}
		return
	}
	switch what := made.what; {
	case what == sums && e.Name == c.name(sums) && c.told > 0: // others are late: the part stays even
		first := c.readAt == 0 && c.part == c.even()
		complete := g.divide(c, e.Total)
		if first && !complete && c.forecast > c.even() {
			g.reread(c, max(g.set.CounterLimit, 3*tick)) // the others have told by then
		}
	case what == use && made.figured != c.figured: // counted under other figures: it says nothing of these
		if r != nil {
			r.draws = mostDraws
			g.admit(r)
		}
	case what == use:
		most, left := c.most(g), c.ends()-g.now
		// A short look at an interval's start says little: as if the quota's use had been seen for two units, too.
		load := (e.Total + 2) / (most*(1-left.Seconds()/c.span.Seconds()) + 2)
		if e.Name == c.name(use) && load >= busy {
			g.loads[c.id] = word{load, g.now + wordLasts}
		}
		if r != nil {
			if e.Total > most+1e-6 {
				c.shut = c.ends()
			}
			g.drew(r, g.now >= c.shut, left)
		}
	case what == tickets:
		c.asking = false
		if made.figured == c.figured && c.ticketed { // drawn under other figures: of no use
			apart := g.random() * c.rush(g.now, g.units) // where a rush may begin at all gateways
			c.stamp.read(g.now, e.Name, e.Total, c.plan, c.begun(g.now))
			c.credit += made.units
			wait := apart + max(0, -c.stamp.level)/c.plan.Rate
			c.due = g.now + time.Duration(wait*float64(time.Second))
		}
		g.letCustomer(c)
	case what == slots && r != nil:
		r.slot = e.Name
		g.drew(r, e.Total <= float64(c.plan.Open)+1e-6, time.Duration(g.latency))
	}
}

// steps is how many steps of g are told.
func (c *customer) steps() float64 { return max(1, min(quanta, math.Floor(mostSum/c.n))) }

// divide takes this gateway's part from the sums. It tells whether all gateways are in them.
func (g *Gateway) divide(c *customer, total float64) bool {
	even := c.even()
	if !(total >= 0 && total < 1<<24) || total != math.Trunc(total) {
		return false
	}
	k, within, forecasts := unpack(total)
	_, ownWithin, f := unpack(c.told)
	if k < 1 || k > c.n || within < ownWithin || forecasts-within < f-ownWithin {
		return false // an emptied counter: sums without this gateway's own figures prove nothing
	}
	c.part = split(c.n, k, within, forecasts, f, c.steps()) * even / c.steps()
	return k == c.n
}

// split is the three steps, counted in steps of g; gateways that told nothing keep a quiet one's room.
func split(n, k, within, forecasts, f, steps float64) float64 {
	own := min(f, steps)
	left := n*steps - within - (n-k)*quiet*steps
	short := forecasts - within
	if left < 0 {
		return own
	}
	if short > left {
		return own + left*(f-own)/short
	}
	return f + (left-short)/k
}

// ---- draws on demand

// Where a part cannot hold a request, the quota is drawn, not dealt: a request adds its units to the
// interval's count and goes while the sum is within the quota, or takes a slot of the cap and gives it back.
func (g *Gateway) draw(r *request) bool {
	c := r.cust
	if !g.set.HasCounter || !c.underCeiling(r) {
		return false
	}
	amount, what := r.Units, use
	if c.plan.Rate <= 0 {
		amount, what = 1, slots
	}
	if what == use && g.now < c.shut { // nothing is left of the interval
		g.later(r, c.shut-g.now)
		return true
	}
	load, ask := g.load(c), r.draws < mostDraws && g.mayCall(c, what)
	chance := 1 / max(load, 1)
	if !ask && load > 0 {
		chance = thinned / max(load, thinned)
	}
	if (!ask || r.draws == 0) && g.random() > chance {
		g.finish(r, c.span)
		return true
	}
	if ask {
		r.draws++
		amount, c.unseen = amount+c.unseen, 0
		return g.count(c, what, amount, r)
	}
	return false
}

// drew takes the counter's word on a request.
func (g *Gateway) drew(r *request, within bool, wait time.Duration) {
	if within && !r.answered && r.cust.underCeiling(r) {
		g.through(r)
		return
	}
	if g.giveBack(r); !r.answered {
		g.later(r, wait)
	}
}

// later holds a request for a further draw, if there is time for one.
func (g *Gateway) later(r *request, wait time.Duration) {
	if g.now+wait+g.expected(r) > r.useful || r.draws >= mostDraws {
		g.finish(r, wait)
		return
	}
	r.cust.release = g.now + wait
	g.hold(r)
}

// ---- tickets

// Where a part holds a request or two and requests come unevenly, most parts would lie idle while others
// refuse. There units are drawn from one store for all gateways, a running total on the counter: it tells
// when the store has filled enough for them, and they go then, not before.

// ticket lets a request go on units that are drawn and due.
func (g *Gateway) ticket(r *request) bool {
	c := r.cust
	ripe := c.credit - max(0, (c.due-g.now).Seconds()*c.plan.Rate)
	if ripe < r.Units-1e-9 || c.out >= c.slots(g) {
		return false
	}
	c.credit -= r.Units
	c.level = max(0, c.level-r.Units) // what is left for when the counter does not answer
	r.drawn = true
	g.through(r)
	c.ceiling = max(c.ceiling, 0)
	return true
}

// ask draws units for what is held, if it may. It tells whether a draw is out or a ticket to come.
func (g *Gateway) ask(c *customer) bool {
	var units float64
	for _, r := range c.held {
		units += r.Units
	}
	most := mostTickets
	if !c.stamp.known(g.now, c.plan) {
		most = 1
	}
	if units = min(units, max(most, c.held[0].Units)) - c.credit; c.asking || units <= 0 {
		return true
	}
	c.asking = g.now >= c.blind && g.mayCall(c, tickets) && g.count(c, tickets, units, nil)
	return c.asking
}

// mayCall keeps the last calls for the dearest plans.
func (g *Gateway) mayCall(c *customer, what int64) bool {
	to, _ := g.bearing(c, what, 1+dearest*(1-c.plan.Price/g.dearest))
	return len(to) > 0
}

// ---- pacing and caps

// slots is how many attempts may be out here without a draw; one is open while the customer asks little. Few
// gateways hold a share below one in turns by the clock, which add to the cap at any time without talk.
func (c *customer) slots(g *Gateway) int {
	if c.plan.Open == 0 {
		return math.MaxInt
	}
	share := float64(c.plan.Open) / c.n
	if c.plan.Rate <= 0 && share >= wholeShare && c.part != share {
		return max(1, int(c.part)) // the sums' part, in whole attempts
	}
	want := c.forecast
	if c.plan.Rate > 0 { // its forecast is in units a second: at one unit a request, they keep out at most
		want *= g.latency / float64(time.Second)
	}
	if c.n > ownView || want < 0.5*share && (share >= 1 || c.plan.Rate <= 0) {
		return max(1, int(share))
	}
	turn := (g.now + c.ahead).Seconds() / g.turnTime.Seconds()
	return int(math.Floor(share*(c.place+1)+turn) - math.Floor(share*c.place+turn))
}

// need is what the store must hold for a request; one larger than the store goes when the store is full.
func (c *customer) need(r *request, g *Gateway) float64 { return min(r.Units+c.kept(r, g), c.store()) }

func (c *customer) fits(r *request, g *Gateway) bool {
	return c.out < c.slots(g) && (c.plan.Rate <= 0 || c.level >= c.need(r, g)-1e-9)
}

// kept is what stays in the store for requests that are worth more. A firm that asks for more than its part
// gets as many units either way: with some kept, they go to what is worth most. Harm: a burst may end late.
func (c *customer) kept(r *request, g *Gateway) float64 {
	if r.class.Worth >= c.best || max(c.last, c.asked/c.span.Seconds()) <= keptFrom*c.part {
		return 0
	}
	return min(keptUnits*g.units, keptShare*c.store()) * (1 - r.class.Worth/c.best)
}

// underCeiling is this gateway's own proof that the ceiling holds: its part of rate and store.
func (c *customer) underCeiling(r *request) bool {
	return c.plan.CeilingRate <= 0 || c.ceiling >= r.Units
}

// spacing is the time a held unit adds before the next may leave: 1/B + a(S - B) + bE, relative to 1/B.
func (c *customer) spacing() float64 {
	b := max(c.part, 1e-6)
	return (1 + paceP*max(0, c.rate-b)/b + paceI*c.excess/max(c.store(), 1e-6)) / b
}

func (g *Gateway) admit(r *request) {
	c := r.cust
	if c.fill(g.now); r.answered {
		return
	}
	// A late try earns little and draws as much as a fresh one: it only gets what is left over.
	if r.stale && (r.class.Late <= 0 || len(c.held) > 0 || len(g.queue) > 0 || c.out > 0 && r.plan.Open > 0 ||
		c.level < 0.5*c.store() || r.fleet.latency > roomy*r.fleet.base) {
		g.finish(r, 0)
		return
	}
	waits := func(h *request) bool { return h.class.Worth >= r.class.Worth }
	if c.ticketed {
		g.hold(r)
		g.letCustomer(c)
		return
	}
	if !slices.ContainsFunc(c.held, waits) && (c.sparse && g.draw(r) || g.pass(r)) {
		return
	}
	if g.beyondPays(r) && c.underCeiling(r) {
		g.through(r)
		return
	}
	wait := g.holdTime(c, r)
	if g.now+wait+g.expected(r) > r.useful {
		g.finish(r, wait) // no chance in time: refused at once
		return
	}
	g.hold(r)
}

// holdTime guesses how long a request will be held.
func (g *Gateway) holdTime(c *customer, r *request) time.Duration {
	var wait float64
	var held float64
	for _, h := range c.held {
		if h.class.Worth >= r.class.Worth { // the others wait behind it
			held += h.Units
		}
	}
	if c.plan.Rate > 0 {
		wait = max(0, c.need(r, g)+held-c.level) / max(c.part, 1e-6)
	}
	if c.plan.CeilingRate > 0 { // an empty ceiling's store holds back as the quota's does
		wait = max(wait, (r.Units+held-c.ceiling)*c.n/c.plan.CeilingRate)
	}
	if c.plan.Open > 0 {
		wait = max(wait, r.fleet.latency/float64(time.Second)*float64(len(c.held))*c.n/float64(c.plan.Open))
	}
	return g.lentSoon(c, time.Duration(min(wait, 3600)*float64(time.Second)))
}

// pass lets a request through the customer's gate if its part has room.
func (g *Gateway) pass(r *request) bool {
	c := r.cust
	if !c.fits(r, g) || !c.underCeiling(r) {
		return g.lend(r)
	}
	if c.plan.Rate > 0 {
		c.level -= r.Units
		r.drawn = true
		c.excess = min(c.excess+r.Units, c.store())
		c.rate += r.Units / c.span.Seconds()
		c.unseen += r.Units
	}
	g.through(r)
	return true
}

func (g *Gateway) through(r *request) {
	r.ready, r.holds = !r.Admit, true
	r.cust.out++
	if r.cust.plan.CeilingRate > 0 {
		r.cust.ceiling -= r.Units
	}
	if r.Admit { // sent on elsewhere: it has taken its units, and no attempt of it will end here
		r.attempts++
		g.do(Admit{r.ID})
		g.drop(r)
		return
	}
	g.enqueue(r, false)
	g.dispatch()
}

// letCustomer refuses held requests without a chance, wherever they stand: an answer that waits for its turn
// keeps the client from asking elsewhere. Then it releases the others in order, at the pace; one that is
// worth more does not wait behind one that is worth less and needs more in the store.
func (g *Gateway) letCustomer(c *customer) {
	c.fill(g.now)
	for k := len(c.held) - 1; k >= 0; k-- {
		r, from := c.held[k], max(g.now, c.release)
		if c.ticketed && !c.asking {
			from = max(from, c.due+time.Duration(k)*(c.due-g.now))
		}
		if g.tooLate(r, from) {
			g.finish(r, max(c.span, c.due-g.now))
		}
	}
	for k, waits := 0, -1.0; k < len(c.held) && g.now >= c.release; {
		switch r := c.held[k]; {
		case r.class.Worth <= waits: // behind one that needs no more
			k++
		case c.sparse && g.draw(r), c.ticketed && g.ticket(r):
			c.held, k, waits = without(c.held, r), 0, -1
		case !(c.ticketed && g.ask(c)) && g.pass(r):
			c.held, k, waits = without(c.held, r), 0, -1
			if c.plan.Rate > 0 && !r.lent {
				c.release = g.now + time.Duration(r.Units*c.spacing()*float64(time.Second))
			}
		default:
			waits, k = r.class.Worth, k+1
		}
	}
}

// beyondPays tells whether sending beyond the quota earns more than it costs and has room to spare.
func (g *Gateway) beyondPays(r *request) bool {
	return r.plan.OverWorth > r.plan.OverCost && len(g.queue) == 0 && r.fleet.latency < roomy*r.fleet.base
}

// ---- servers and attempts

// mayWarm keeps a cold server to its part: a budget of attempts. One saved by each of many gateways is a
// burst that it cannot take: there each request's luck thins what a warm server would get, and none is saved.
func (g *Gateway) mayWarm(r *request, s *server, w float64, among int) bool {
	return g.blind == 0 && s.cold >= 1 || g.blind > 0 && r.luck*float64(among) < w*coldMargin
}

// watchFleet looks for silence, and keeps the budgets of cold servers.
func (g *Gateway) watchFleet(f *fleet) {
	for k := len(f.cold) - 1; k >= 0; k-- {
		s := f.cold[k]
		w := g.warmth(s)
		rate := f.sendRate * w * coldMargin
		s.cold = min(s.cold+rate*(g.now-s.coldAt).Seconds(), 1+0.2*rate*g.set.Fall.Seconds())
		if s.coldAt = g.now; w >= 1 {
			g.recount(s)
		}
	}
	warm := f.count(g)
	for _, s := range f.working {
		g.checkSilence(s)
	}
	dt := tick.Seconds()
	f.room = min(f.room+f.bound()*dt*float64(time.Second)/min(f.latency, 3*f.base), 1+math.Sqrt(f.bound()))
	f.relax(dt)
	f.sendRate += dt * (f.sends/dt/float64(max(warm, 1)) - f.sendRate)
	f.sends = 0
}

// checkSilence ejects a server whose attempts stay unanswered for far longer than usual, whatever the cause.
func (g *Gateway) checkSilence(s *server) {
	if s.ejected || !s.listed {
		return
	}
	var waited float64
	for _, r := range s.work {
		waited += float64(g.now - max(r.sentAt, s.heard, g.woke))
	}
	if waited < silentWork*max(s.latency, s.fleet.latency, float64(leastSilent)) {
		return
	}
	g.eject(s, "silent")
	for _, r := range append([]*request(nil), s.work...) { // what may be repeated is tried elsewhere
		if r.class.Effect == Safe && g.set.Cancelling && !r.cancelled && !r.answered && g.mayRetry(r) {
			r.cancelled = true
			g.do(Cancel{r.ID, r.attempts - 1})
		}
	}
}

func (g *Gateway) eject(s *server, why string) {
	s.ejected, s.trial = true, false
	g.recount(s)
	s.until = g.now + time.Duration(float64(s.backoff)*(1+rareTrials*g.blind)) // each of many tries it anew
	s.backoff = min(2*s.backoff, lastEject)
	g.note("server", fmt.Sprintf("%x left out (%s)", s.ID, why))
}

// judge learns from an outcome.
func (g *Gateway) judge(s *server, r *request, o Outcome) {
	lat, f := g.took(r), s.fleet
	f.met(s.Zone, o.Status, g.now)
	switch o.Status {
	case OK:
		s.heard = g.now
		s.latency = s.usual() + 0.1*(lat-s.usual())
		f.latency += 0.02 * (1 + 6*g.blind) * (lat - f.latency) // with few answers each must tell more
		f.base = min(f.base*1.0001, f.latency)
		s.fails -= healthStep * s.fails
		if s.ejected {
			s.ejected, s.trial, s.fails = false, false, sick*0.8
			g.recount(s)
		} else if s.fails < 0.05 {
			s.backoff = firstEject
		}
		f.load += 0.02 * (f.busy/max(f.power, 1) - f.load)
		f.served = max(0.9998*f.served, f.load*f.base/f.latency)
		g.stress(f, lat/float64(r.class.Aim))
		if f.strain < calm && (f.busy+1 > 0.8*f.bound() || g.blind > 0 && f.room < 1) {
			f.limit = min(f.limit*(1+0.005*(1+9*g.blind)), limitMost)
		}
	case Cancelled, Moot, Unsent, Late:
		s.trial = false
	default:
		// Overload shows in what is not answered, too, but it also makes the answers slow. While they are quick, a
		// time-out counts for little more than strained: answers lost on the way, servers that swallow a part of
		// their work or rare heavy requests must not close a fleet with room. Harm: a jam so sudden that no slow
		// answer comes before the time-outs lowers the bound late.
		if o.Status == Timeout && !s.ejected {
			share := min(lat/float64(r.class.Aim), 2)
			if f.latency < slowAnswers*f.base {
				share = min(share, lostStrain)
			}
			g.stress(f, share)
		}
		if o.Status == Timeout && s.heard > r.sentAt {
			return // it answers others: this request is heavy, the server is not to blame
		}
		if o.Status != Timeout {
			s.heard = g.now
		}
		// A server that turns all away at once looks idle and would draw every request: it is a failing one, too.
		// So is one that only brings what nobody can use, but now and then that happens to any that works.
		if s.fails += healthStep / 2 * (1 - s.fails); o.Status != Full && o.Status != Spoilt {
			s.fails += healthStep / 2 * (1 - s.fails)
		}
		// Of many gateways each meets a server seldom: waiting for more would cost each of them as many requests.
		if s.trial || !s.ejected && (s.fails > sick || o.Status == ConnectFailed || g.blind > 0) {
			g.eject(s, "failures")
		}
	}
}

// stress lowers the bound when answers take too much of their aim, or queues move into the servers and the
// fleet stays jammed. Only a new answer lowers it, not one bad answer again and again where few come. What
// was once in service at a time (Little: out here times idle latency over latency) stays: where all servers
// are slow at once there is no queue to drain, and fewer attempts out would only leave their cores idle.
func (g *Gateway) stress(f *fleet, share float64) {
	f.strain += 0.05 * (1 + 6*g.blind) * (share - f.strain)
	if f.strain > strained && g.now-f.cut >= max(cutEvery, time.Duration(g.blind*f.latency)) {
		left := max(0.93-0.13*g.blind, min(strained/f.strain, 0.93))
		f.limit, f.cut = max(f.limit*left, 1/float64(g.set.Gateways), f.served*(1-g.blind)), g.now
	}
}

// expected is how long an attempt may take, by its units: under half an aim, or a jam would end all tries.
func (g *Gateway) expected(r *request) time.Duration {
	return time.Duration(min(r.fleet.latency*r.Units/r.fleet.units, float64(r.class.Aim/2)))
}

// tooLate tells whether an attempt from then on has no chance: half of one no longer fits.
func (g *Gateway) tooLate(r *request, from time.Duration) bool {
	return from+g.expected(r)/2 > r.useful
}

// dispatch sends waiting requests, dearest and then oldest first, while servers have room.
func (g *Gateway) dispatch() {
	var late []*request
	kept, full := g.queue[:0], map[*fleet]bool{}
	for _, r := range g.queue {
		var s *server
		if g.windowClosed(r) || g.tooLate(r, g.now) {
			late = append(late, r) // given up on: its answer is due now
			continue
		}
		if !full[r.fleet] || r.ran {
			s = g.choose(r)
		}
		if s != nil {
			g.send(r, s)
			continue
		}
		full[r.fleet] = full[r.fleet] || !r.ran
		kept = append(kept, r)
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	for _, r := range late {
		g.finish(r, 0)
	}
}

func (g *Gateway) send(r *request, s *server) {
	f := r.fleet
	r.ready = false
	r.server, r.sentAt = s, g.now
	if r.attempts == 0 {
		f.retries = min(f.retries+retryEarn, retryMost)
	}
	r.attempts++
	f.busy, f.sends, f.room = f.busy+1, f.sends+1, f.room-1
	f.units += 0.02 * (max(r.Units, 1e-3) - f.units) // never 0: sizes are told by it
	s.on(r)
	if s.ejected {
		s.trial, s.until = true, g.now+s.backoff
	}
	if g.warmth(s) < 1 {
		s.cold--
	}
	wait := r.deadline - g.now
	if r.class.Effect == Safe && f.retries >= 1 && r.attempts < g.set.MaxAttempts { // time for a second attempt
		wait = min(wait, max(r.useful-g.now-time.Duration(2*f.latency), time.Duration(6*f.latency)))
	}
	g.do(Send{r.ID, s.ID, wait, r.until()})
}

// choose finds the server with the least work for its speed, or nil if none may take the request. Many
// gateways look at a few drawn at random first: all would find the same one best.
func (g *Gateway) choose(r *request) (best *server) {
	if f := r.fleet; g.blind > 0 && len(f.list) > candidates {
		near := make([]*server, 0, nearest)
		for _, s := range f.near[:min(len(f.near), mostLooked)] {
			if s.State == Ready && !f.lost(s.Zone, g.now) && (!s.ejected || g.trialDue(r, s)) {
				if near = append(near, s); len(near) == nearest {
					break
				}
			}
		}
		few := make([]*server, 0, candidates)
		for k := 0; k < 2*candidates && len(near) > 0 && len(few) < candidates; k++ {
			// A cold server comes up as often as its share of a warm one's capacity says, for each gateway alike.
			if s := near[int(g.random()*float64(len(near)))]; g.random() < g.warmth(s) {
				few = append(few, s)
			}
		}
		best = g.best(r, few, true)
	}
	if best == nil && g.hasRoom(r.fleet) {
		best = g.best(r, g.window(r), false)
	}
	return best
}

func (g *Gateway) best(r *request, list []*server, drawn bool) (best *server) {
	low := math.Inf(1)
	room := g.hasRoom(r.fleet)
	desperate := 2*r.fleet.usable < float64(len(r.fleet.list)) // most look bad: the fault may be ours
	for _, s := range list {
		w := g.warmth(s)
		if s.State != Ready || !g.sameGroup(r, s) || !room || float64(s.out) >= math.Ceil(r.fleet.limit) ||
			w < 1 && !drawn && !g.mayWarm(r, s, w, len(list)) {
			continue
		}
		score := (s.units/r.fleet.units + 1) * max(s.usual()/r.fleet.latency, 0.3) * (1 + 0.1*g.random())
		if g.blind == 0 { // among many the draw has thinned a cold server's part already
			score /= w
		}
		if s.Zone != g.set.Zone {
			score *= 1.05
		}
		if s.ejected && !desperate {
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

// trialDue tells whether a request may try a server that is left out.
func (g *Gateway) trialDue(r *request, s *server) bool {
	may := r.class.Effect == Safe && (r.attempts == 0 || g.blind == 0)
	return may && g.now >= s.until && !s.trial && s.out == 0
}

// sameGroup keeps a keyed repeat to the hosts that drop it, and only while they do.
func (g *Gateway) sameGroup(r *request, s *server) bool {
	if !r.ran || r.class.Effect != Keyed {
		return true
	}
	same := r.class.KeyGroup == GroupAll || r.class.KeyGroup == GroupZone && s.Zone == r.keyServer.Zone ||
		r.class.KeyGroup == GroupCell && s.Cell == r.keyServer.Cell
	return same && !g.windowClosed(r)
}

// windowClosed tells whether no server drops the repeat of a keyed request any more: none may take it.
func (g *Gateway) windowClosed(r *request) bool {
	return r.ran && r.class.Effect == Keyed && g.now >= r.keyUntil
}
