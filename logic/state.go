package logic

import (
	"maps"
	"slices"
	"sort"
	"time"

	"bramblefall/internal/schedule"
)

// The records that the decisions in logic.go work on, and helpers that decide nothing.

type request struct {
	Request
	class    Class
	plan     Plan
	cust     *customer
	fleet    *fleet        // of the servers that may take it
	deadline time.Duration // the guard: the last moment for a final answer
	useful   time.Duration // after it the answer is worth little
	sentAt   time.Duration
	token    uint32
	attempts int

	drawn               bool // units are taken from the customer's store
	ready, holds        bool // waits for a server; counts in cust.out
	answered, streaming bool
	ran, cancelled      bool    // an earlier attempt may have run; the wait for this one is over
	stale               bool    // arrived too late to earn much
	server, keyServer   *server // where an attempt is out; of the first attempt that may have run
	keyUntil            time.Duration
	draws               int
	luck                float64 // drawn once: asking again must not change the odds
	slot                uint64  // name of the count that this one's slot is from
	lent                bool    // goes on its firm's reservation
}

// call is a counter call whose answer is due.
type call struct {
	cust *customer
	req  *request // that waits for it; nil: none
	what int64
	told bool // it added this gateway's own figures, did not only read

	units float64 // drawn

	figured int // the change of plans that its figures are from
}

// word is what was heard of a customer's load.
type word struct {
	load  float64 // demand over quota
	until time.Duration
}

// Gateway holds what one gateway knows.
type Gateway struct {
	set               Settings
	book              Book          // nil: the settings' plans stay
	reserves          Reserves      // nil: there are none
	figured           int           // changes of plans so far
	changed, ticked   time.Duration // the last of these; the last tick
	stale             []*customer   // not all of these have taken up the last change
	rng               uint64
	now, woke         time.Duration // woke: when this process last went on after a pause of its own
	clock             sharedClock
	blind             float64 // share of the fleet's work that is not seen here, as far as it matters
	started, watching bool
	actions           []Action
	requests          map[uint64]*request
	tokens            map[uint32]*request
	nextToken         uint32
	customers         map[uint64]*customer
	firms             schedule.Queue[*customer] // each customer by the time when something is due for it
	numbered          uint64                    // customers so far
	resting, rested   map[uint64]rest           // customers that are quiet: of late, and those before
	turned            time.Duration             // the last time that those before were forgotten
	servers           map[ServerID]*server
	*fleet            // of group 0, the only one in the simulator
	fleets            []*fleet
	guess             float64    // of the latency, before the first answer
	queue             []*request // through the first gate, waiting for a server
	calls             map[uint64][]call
	loads             map[uint64]word // of busy customers, also ones not seen here yet
	units             float64         // of a request, smoothed
	size              float64         // of a request, by the settings alone: all gateways must agree how a firm is counted
	dearest           float64         // price of the dearest plan
	turnTime          time.Duration   // of turns at a cap: the same at all gateways, by the settings
	callsSaved        float64         // at most, for each counter
	spread            Counters        // nil: there is one counter
	*counter                          // number 0, the only one where no list names several
	counters          []*counter      // by number: those that have been called
	among             int             // counters that names are dealt out to
	began, second     time.Duration
	watchAt           time.Duration
	longest           []time.Duration // of each class: the longest time a client waits
	marked            bool            // clients mark their later tries here
	logged            map[string]time.Duration
}

func (g *Gateway) do(a Action) { g.actions = append(g.actions, a) }

// note writes a line for the operators, each kind at most once in a while.
func (g *Gateway) note(kind, text string) {
	if at, ok := g.logged[kind]; ok && g.now-at < logEvery {
		return
	}
	g.logged[kind] = g.now
	g.do(Log{kind + ": " + text})
}

func (g *Gateway) random() float64 { // splitmix64
	g.rng += 0x9e3779b97f4a7c15
	return float64(mix(g.rng)>>11) / (1 << 53)
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func without(list []*request, r *request) []*request {
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
	if g.now = max(g.now, now); g.ticked > 0 && g.now-g.ticked > pause { // before the first tick it has not stood still
		g.woke = g.now
	}
	if !g.started {
		g.started = true
		g.second, g.began = g.now, g.now
		g.do(SetTimer{tickToken, tick})
	}
	switch e := ev.(type) {
	case ServerList:
		g.listed(e)
	case Request:
		g.arrive(e)
	case Outcome:
		g.ended(e)
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
			g.giveUp(g.requests[id])
		}
	case Timer:
		if e.Token == tickToken {
			g.everyTick()
		} else if r := g.tokens[e.Token]; r != nil && !r.streaming {
			g.giveUp(r)
		}
	case PlansChanged:
		g.replan()
	case ClockStepped:
		g.clockStepped(e)
	case Leased:
		if c := g.customers[e.Customer]; c != nil && len(c.held) > 0 {
			g.reconsider(c)
			g.dispatch()
		}
	case CountResult:
		g.counted(e)
	case CountersChanged:
		g.recounted(e)
	}
	return g.actions
}

// worth is what serving a request earns for each unit.
func (r *request) worth() float64 { return r.class.Worth * r.plan.Price }

// demand is what a request adds to its customer's demand: units, or seconds of an attempt out.
func (r *request) demand(g *Gateway) float64 {
	if r.plan.Rate > 0 {
		return r.Units
	}
	return g.latency / float64(time.Second)
}

const pause = 300 * time.Millisecond // without a tick: this process stood still

// priceOf is the price of the dearest plan.
func priceOf(plans []Plan) float64 {
	price := 1e-9
	for _, p := range plans {
		price = max(price, p.Price)
	}
	return price
}

// drop forgets a request that is over; one with an attempt out stays until its outcome.
func (g *Gateway) drop(r *request) {
	r.answered = true
	delete(g.tokens, r.token)
	r.cust.held = without(r.cust.held, r)
	if r.attempts == 0 && r.drawn {
		if r.cust.level += r.Units; r.cust.ticketed {
			r.cust.credit += r.Units
		}
	}
	if r.attempts == 0 && r.lent {
		g.reserves.Return(g.now, r.cust.id, r.Units)
	}
	if r.ready {
		r.ready = false
		g.queue = without(g.queue, r)
	}
	if r.server == nil {
		if r.holds {
			r.holds = false
			r.cust.out--
			g.giveBack(r)
		}
		delete(g.requests, r.ID)
		r.cust.open--
	}
}

// answered takes the oldest call of a name, whose answer has come.
func (g *Gateway) answered(name uint64) (c call, ok bool) {
	waiting := g.calls[name]
	if len(waiting) == 0 {
		return c, false
	}
	if g.calls[name] = waiting[1:]; len(waiting) == 1 {
		delete(g.calls, name)
	}
	return waiting[0], true
}

// call notes a counter call whose answer is due and makes it.
func (g *Gateway) call(c *customer, name uint64, what int64, amount float64, r *request, spared uint8) {
	g.calls[name] = append(g.calls[name], call{cust: c, req: r, what: what, told: amount > 0, units: amount, figured: c.figured})
	wait := lateSums
	if r != nil && g.blind == 0 {
		wait = 0 // a request is held up
	}
	count := Count{Name: name, Amount: amount, Lives: 3 * c.lasts(what), Wait: wait, Began: c.started(what), Spared: spared}
	if name != c.name(what) { // of an interval that is over
		count.Began = 0
	}
	g.do(count)
}

// until is the end of the window in which servers drop the repeat of a keyed request; 0: none has begun.
func (r *request) until() time.Duration {
	if r.ran && r.class.Effect == Keyed {
		return r.keyUntil
	}
	return 0
}

// giveBack returns a drawn slot.
func (g *Gateway) giveBack(r *request) {
	if r.slot != 0 {
		g.call(r.cust, r.slot, slots, -1, nil, 0)
		r.slot = 0
	}
}

// hold keeps a request; its firm is looked at each tick.
func (g *Gateway) hold(r *request) {
	r.cust.held = append(r.cust.held, r)
	g.firms.Sooner(r.cust, g.now)
}

// enqueue puts a request among those that wait for a server: the dearest first, a further attempt before others of its
// worth.
func (g *Gateway) enqueue(r *request, again bool) {
	at := sort.Search(len(g.queue), func(k int) bool {
		w := g.queue[k].worth()
		return w < r.worth() || again && w == r.worth()
	})
	g.queue = slices.Insert(g.queue, at, r)
}
