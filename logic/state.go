package logic

import (
	"maps"
	"slices"
	"sort"
	"time"

	"bramblefall/internal/schedule"
)

// The records of requests, of counter calls and of the gateway, the dispatch of events to their functions, the order of the
// queue for servers, and the making of counter calls.

// request is a client's try from its arrival to its final answer, or to the end of its attempt if that comes later.
type request struct {
	Request
	class    Class
	plan     Plan
	customer *customer
	upstream *upstream // of the servers that may take it

	deadline    time.Duration // last moment for a final answer: answerMargin before the client's
	usefulUntil time.Duration // an answer after it is worth little
	sentAt      time.Duration // the last attempt
	token       uint32        // of its timer
	attempts    int

	unitsTaken      bool // its units are taken from the customer's bucket
	queued          bool // it waits for a server
	countedInFlight bool // it counts in customer.inFlight
	answered        bool
	streaming       bool
	mayHaveRun      bool // an earlier attempt may have run
	cancelled       bool // the wait for this attempt is over
	arrivedLate     bool // it arrived too late to earn much

	server         *server // where an attempt is in flight
	firstRunServer *server // of the first attempt that may have run
	keyUntil       time.Duration
	drawsMade      int

	// randomDraw is drawn once: asking again must not change the odds.
	randomDraw float64

	slotName      uint64 // name of the count that its slot is from; 0: it has none
	onReservation bool   // its units are taken from its firm's reservation
}

// call is a counter call whose answer is due.
type call struct {
	customer *customer
	request  *request // that waits for it; nil: none
	kind     int64    // what the count holds: forecastSums to bucketDraws
	added    bool     // it added this gateway's own figures, and did not only read
	units    float64  // added to the count

	interval     int64 // of the count
	planRevision int   // change of plans that its figures are from
}

// loadEstimate is a load of busyLoad or more that a counter's answer showed.
type loadEstimate struct {
	load    float64 // demand over quota
	expires time.Duration
}

// Gateway holds what one gateway knows.
type Gateway struct {
	set            Settings
	book           PlanSource        // nil: the settings' plans stay
	reserves       ReservationLeases // nil: there are none
	planRevision   int               // number of changes of plans so far
	plansChangedAt time.Duration     // the last of them
	tickedAt       time.Duration     // the last tick
	awaitingPlans  []*customer       // the last change of plans may not be applied to these yet
	rng            uint64
	now            time.Duration
	resumedAt      time.Duration // when this process last went on after a pause of its own
	clock          sharedClock

	// unseenShare is 0 with up to ownViewGateways gateways (few), else 1 - ownViewGateways/Gateways (many). It tells few from
	// many, and scales what one of many gateways does otherwise.
	unseenShare float64

	started   bool // the first event has come
	watching  bool // the list of servers is being watched
	actions   []Action
	requests  map[uint64]*request
	tokens    map[uint32]*request
	nextToken uint32

	customers         map[uint64]*customer
	dueCustomers      schedule.Queue[*customer]  // each customer by the time when something is due for it
	customersNumbered uint64                     // number of customers so far
	dormant           map[uint64]dormantCustomer // customers that became dormant of late
	dormantBefore     map[uint64]dormantCustomer // those of the time before
	dormantRotatedAt  time.Duration              // the last time that dormantBefore was forgotten

	servers   map[ServerID]*server
	*upstream // of group 0
	upstreams []*upstream

	initialLatency   float64    // guess before the first answer
	queue            []*request // admitted, waiting for a server
	calls            map[uint64][]call
	maxCustomerBytes int64                   // of the records of customers; 0: no bound
	loadEstimates    map[uint64]loadEstimate // of busy customers, also of some not seen here yet

	meanRequestUnits float64 // units of a request, smoothed

	// typicalUnits is the units of a request by the settings alone: all gateways must agree on how a firm is counted.
	typicalUnits float64

	maxPrice   float64       // highest price of a plan
	turnTime   time.Duration // length of a turn at a cap, by the settings: the same at all gateways
	callBurst  float64       // calls saved up at most, for each counter
	counterMap CounterMap    // which counters hold a name; nil: there is one counter

	*counter                // number 0, the only one where no list names several
	counters     []*counter // those that have been called, by number
	counterCount int        // counters that names are spread over

	lastSecond time.Duration // the last time that the work of each second was done
	nextWatch  time.Duration // the list of servers is not asked for again before

	longestTTL    []time.Duration // of each class: the longest time that a client waits
	repeatsMarked bool            // clients mark their later tries here
	loggedAt      map[string]time.Duration
}

func (g *Gateway) do(a Action) { g.actions = append(g.actions, a) }

// logLimited writes a line for the operators, each kind at most once in logInterval.
func (g *Gateway) logLimited(kind, text string) {
	if at, ok := g.loggedAt[kind]; ok && g.now-at < logInterval {
		return
	}
	g.loggedAt[kind] = g.now
	g.do(Log{kind + ": " + text})
}

func (g *Gateway) random() float64 { // splitmix64
	g.rng += 0x9e3779b97f4a7c15
	return float64(float64(mix(g.rng)>>11) / (1 << 53))
}

// mix is the finalizer of splitmix64. It also hashes names that all gateways must agree on.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func withoutRequest(list []*request, r *request) []*request {
	for k, x := range list {
		if x == r {
			return append(list[:k], list[k+1:]...)
		}
	}
	return list
}

// Handle takes one event at time now and returns what to do, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.actions = nil
	if g.now = max(g.now, now); g.tickedAt > 0 && g.now-g.tickedAt > pauseThreshold { // before the first tick there is no pause
		g.resumedAt = g.now
	}
	if !g.started {
		g.started = true
		g.lastSecond = g.now
		g.do(SetTimer{tickToken, tick})
	}
	switch e := ev.(type) {
	case ServerList:
		g.onServerList(e)
	case Request:
		g.onRequest(e)
	case Outcome:
		g.onOutcome(e)
	case Started:
		if r := g.requests[e.ID]; r != nil && r.server != nil && e.Attempt == r.attempts-1 && !r.cancelled {
			r.streaming = true
		}
	case ClientGone:
		if r := g.requests[e.ID]; r != nil {
			g.drop(r)
		}
	case Closing:
		for _, id := range slices.Sorted(maps.Keys(g.requests)) {
			g.onDeadline(g.requests[id])
		}
	case Timer:
		if e.Token == tickToken {
			g.onTick()
		} else if r := g.tokens[e.Token]; r != nil && !r.streaming {
			g.onDeadline(r)
		}
	case PlansChanged:
		g.onPlansChanged()
	case ClockStepped:
		g.onClockStepped(e)
	case Leased:
		if c := g.customers[e.Customer]; c != nil && len(c.held) > 0 {
			g.reconsider(c)
			g.dispatch()
		}
	case CountResult:
		g.onCountResult(e)
	case CountersChanged:
		g.onCountersChanged(e)
	}
	return g.actions
}

// worth is what serving a request earns for each unit.
func (r *request) worth() float64 { return r.class.Worth * r.plan.Price }

// demand is what a request adds to its customer's demand: units, or seconds of an attempt in flight.
func (r *request) demand(g *Gateway) float64 {
	if r.plan.Rate > 0 {
		return r.Units
	}
	return g.latency / float64(time.Second)
}

// pauseThreshold is the time without a tick, 30 ticks long, that shows that this process was paused. Time-outs and latencies
// of attempts that were out then are not learnt from (see outDuringPause).
const pauseThreshold = 300 * time.Millisecond

// highestPrice is the highest price of a plan.
func highestPrice(plans []Plan) float64 {
	price := 1e-9
	for _, p := range plans {
		price = max(price, p.Price)
	}
	return price
}

// drop forgets a request that is over; one with an attempt in flight stays until its outcome.
func (g *Gateway) drop(r *request) {
	r.answered = true
	delete(g.tokens, r.token)
	r.customer.held = withoutRequest(r.customer.held, r)
	if r.attempts == 0 && r.unitsTaken {
		if r.customer.level += r.Units; r.customer.sharedBucket {
			r.customer.drawnUnits += r.Units
		}
	}
	if r.attempts == 0 && r.onReservation {
		g.reserves.Return(g.now, r.customer.id, r.Units)
	}
	if r.queued {
		r.queued = false
		g.queue = withoutRequest(g.queue, r)
	}
	if r.server == nil {
		if r.countedInFlight {
			r.countedInFlight = false
			r.customer.inFlight--
			g.returnSlot(r)
		}
		delete(g.requests, r.ID)
		r.customer.pending--
	}
}

// takeCall takes the oldest pending call of a name, whose answer has come.
func (g *Gateway) takeCall(name uint64) (c call, ok bool) {
	waiting := g.calls[name]
	if len(waiting) == 0 {
		return c, false
	}
	if g.calls[name] = waiting[1:]; len(waiting) == 1 {
		delete(g.calls, name)
	}
	return waiting[0], true
}

// callCounter makes a counter call and notes that its answer is due.
func (g *Gateway) callCounter(c *customer, to countRef, amount float64, r *request, skippedMask uint8) {
	g.calls[to.name] = append(g.calls[to.name], call{customer: c, request: r, kind: to.kind, added: amount > 0, units: amount,
		interval: to.interval, planRevision: c.planRevision})
	wait := counterCallTimeout
	if r != nil && g.unseenShare == 0 {
		wait = 0 // the settings' limit: a request is waiting for the answer
	}
	g.do(Count{Name: to.name, Amount: amount, TTL: 3 * c.countLength(to.kind), Wait: wait, Since: to.since, SkippedMask: skippedMask})
}

// keyDeadline is the end of the time in which servers drop the repeat of a keyed request; 0: it has not begun.
func (r *request) keyDeadline() time.Duration {
	if r.mayHaveRun && r.class.Effect == Keyed {
		return r.keyUntil
	}
	return 0
}

// returnSlot gives a slot back to the count that it was drawn from.
func (g *Gateway) returnSlot(r *request) {
	if r.slotName != 0 {
		taken := r.customer.currentCount(slotsTaken)
		if taken.name != r.slotName { // of an interval that is over, whose start is not known any more
			taken = countRef{name: r.slotName, kind: slotsTaken}
		}
		g.callCounter(r.customer, taken, -1, nil, 0)
		r.slotName = 0
	}
}

// hold keeps a request; its firm is looked at in each tick.
func (g *Gateway) hold(r *request) {
	r.customer.held = append(r.customer.held, r)
	g.dueCustomers.SetEarlier(r.customer, g.now)
}

// enqueue puts a request among those that wait for a server: the highest worth first, then those of equal worth in the order
// in which they came here. With beforeEqualWorth it goes before all of its worth.
func (g *Gateway) enqueue(r *request, beforeEqualWorth bool) {
	at := sort.Search(len(g.queue), func(k int) bool {
		w := g.queue[k].worth()
		return w < r.worth() || beforeEqualWorth && w == r.worth()
	})
	g.queue = slices.Insert(g.queue, at, r)
}

// IsPending reports whether a timer with this token may still have an effect when it fires.
func (g *Gateway) IsPending(token uint32) bool { return token == tickToken || g.tokens[token] != nil }
