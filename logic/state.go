package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"bramblefall/internal/due"
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

type customer struct {
	due.Place
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

type server struct {
	Server
	fleet                  *fleet
	out                    int
	units                  float64       // of the attempts out
	work                   []*request    // out here, oldest first
	fails, latency         float64       // smoothed
	heard, until, backoff  time.Duration // until: ejected, the next trial
	ejected, trial, listed bool
	startedAt              time.Duration // Started, by this gateway's time
	cold                   float64       // budget of attempts while cold
	coldAt                 time.Duration
	hall                   *hall // that counts it; nil: it is not usable
	warm                   bool  // as it is counted
}

// fleet is what is known of the servers of one upstream group together. What one group does says nothing of
// another: its answers may take a hundredth of the time.
type fleet struct {
	units           float64   // of an attempt, smoothed: larger ones take longer and load a server more
	list, near      []*server // near: in the order of this gateway's own
	working, cold   []*server // with attempts out; not warm yet
	limit, retries  float64
	latency, base   float64       // fleet-wide, smoothed; base: when idle
	strain          float64       // smoothed latency over aim
	load, served    float64       // attempts out at a warm server, smoothed; most of these that were in service
	room            float64       // attempts that may go, where many gateways share few servers
	busy, usable    float64       // attempts out at the usable servers, their number
	power           float64       // of these, in warm servers
	halls           map[int]*hall // by zone
	sendRate, sends float64       // attempts a second to each warm server, smoothed
	cut             time.Duration // the last time the limit fell
}

// hall counts the attempts in a zone that met nobody since the last one that was answered well, and sums up its servers
// that are usable unless the zone is lost.
type hall struct {
	silent            int
	at                time.Duration
	usable, warm, out int
}

func (f *fleet) hall(zone int) *hall {
	h := f.halls[zone]
	if h == nil {
		h = &hall{}
		f.halls[zone] = h
	}
	return h
}

const hallSilent, hallForgets = 4, 2 * time.Second

// met notes how an attempt in a zone ended.
func (f *fleet) met(zone int, st Status, now time.Duration) {
	switch h := f.hall(zone); st {
	case OK:
		h.silent = 0
	case ConnectFailed, Timeout:
		h.silent, h.at = h.silent+1, now
	}
}

// lost tells whether a whole zone seems to be cut off. After a while one more attempt may find out. One of many gateways
// would otherwise have to meet each of its servers.
func (f *fleet) lost(zone int, now time.Duration) bool {
	return f.hall(zone).lost(now)
}

func (h *hall) lost(now time.Duration) bool {
	return h.silent >= hallSilent && now-h.at < hallForgets
}

// count sums up the usable servers. It tells how many warm ones there are, in lost zones, too.
func (f *fleet) count(g *Gateway) (warm int) {
	f.busy, f.usable, f.power = 0, 0, 0
	for _, h := range f.halls {
		if warm += h.warm; !h.lost(g.now) { // whole numbers: their sum is the same in any order
			f.busy += float64(h.out)
			f.usable += float64(h.usable)
			f.power += float64(h.warm)
		}
	}
	for _, s := range f.cold {
		if s.hall != nil && !s.hall.lost(g.now) {
			f.power += max(g.warmth(s), 1-g.blind)
		}
	}
	return warm
}

// recount counts a server anew when it has changed.
func (g *Gateway) recount(s *server) {
	f, warm := s.fleet, g.warmth(s) >= 1
	if h := s.hall; h != nil {
		h.add(s, -1)
	}
	if s.hall, s.warm = nil, warm; s.listed && s.State == Ready && !s.ejected {
		s.hall = f.hall(s.Zone)
		s.hall.add(s, 1)
	}
	f.cold = with(f.cold, s, byID, s.listed && !warm)
}

func (h *hall) add(s *server, sign int) {
	h.usable, h.out = h.usable+sign, h.out+sign*s.out
	if s.warm {
		h.warm += sign
	}
}

// on and off count an attempt at a server.
func (s *server) on(r *request) {
	s.units += r.Units
	if s.out++; s.hall != nil {
		s.hall.out++
	}
	if s.work = append(s.work, r); len(s.work) == 1 {
		s.fleet.working = with(s.fleet.working, s, byID, true)
	}
}

func (s *server) off(r *request) {
	s.units -= r.Units
	if s.out--; s.hall != nil {
		s.hall.out--
	}
	if s.work = without(s.work, r); len(s.work) == 0 {
		s.fleet.working = with(s.fleet.working, s, byID, false)
	}
}

func byID(a, b *server) int { return cmp.Compare(a.ID, b.ID) }

// with puts a server into a sorted list or takes it out.
func with(list []*server, s *server, order func(a, b *server) int, in bool) []*server {
	switch k, found := slices.BinarySearchFunc(list, s, order); {
	case in && !found:
		return slices.Insert(list, k, s)
	case !in && found:
		return slices.Delete(list, k, k+1)
	}
	return list
}

// listed takes news of the servers.
func (g *Gateway) listed(l ServerList) {
	if g.watching = !l.Failed && !l.Cached; l.Failed {
		return
	}
	f := g.group(l.Group)
	if l.Whole {
		for _, s := range f.list {
			s.listed = false
		}
	}
	for _, e := range l.Servers {
		s := g.servers[e.ID]
		if s == nil {
			s = &server{fleet: f, backoff: firstEject, latency: g.untried(f)}
			g.servers[e.ID] = s
		}
		if s.Started != e.Started { // a new process: nothing known of the old one holds
			s.fails, s.ejected, s.trial, s.backoff, s.latency = 0, false, false, firstEject, g.untried(f)
			s.cold, s.coldAt = g.random(), g.now // not all gateways at once
			s.startedAt = g.clock.instant(e.Started, g.now)
			f.met(e.Zone, OK, g.now)
		}
		s.Server = e
		s.listed = e.State != Gone
	}
	g.enlist(f, l)
	g.dispatch()
}

// enlist brings the lists of a fleet's servers up to date after some of them have changed. A list of few changes is not a
// reason to sort all.
func (g *Gateway) enlist(f *fleet, l ServerList) {
	byDistance := func(a, b *server) int { return cmp.Or(cmp.Compare(g.distance(a), g.distance(b)), byID(a, b)) }
	changed := func(s *server) {
		if g.recount(s); !s.listed {
			if s.State = Gone; s.out == 0 {
				delete(g.servers, s.ID)
			}
		}
	}
	if l.Whole || len(l.Servers) > len(f.list)/8 {
		old := f.list
		f.list = make([]*server, 0, len(l.Servers))
		for _, s := range old {
			if !s.listed {
				changed(s)
			}
		}
		for _, s := range g.servers {
			if s.fleet == f && s.listed {
				f.list = append(f.list, s)
			} else if s.fleet == f {
				changed(s)
			}
		}
		slices.SortFunc(f.list, byID)
		for _, s := range f.list {
			changed(s)
		}
		f.near = slices.Clone(f.list)
		slices.SortFunc(f.near, byDistance)
		return
	}
	for _, e := range l.Servers {
		if s := g.servers[e.ID]; s != nil && s.fleet == f {
			f.list, f.near = with(f.list, s, byID, s.listed), with(f.near, s, byDistance, s.listed)
			changed(s)
		}
	}
}

const enough = 16 // usable servers of a long list: the best of so many is hardly worse than the best of all

// window is the servers that are looked at for a request: all, or a part of a long list. A repeat that few servers may
// take needs all of them.
func (g *Gateway) window(r *request) []*server {
	list := r.fleet.list
	if len(list) <= mostLooked || r.ran && r.class.Effect == Keyed {
		return list
	}
	part := make([]*server, 0, mostLooked)
	from, usable := int(g.random()*float64(len(list))), 0
	for k := 0; k < mostLooked && usable < enough; k++ {
		s := list[(from+k)%len(list)]
		if part = append(part, s); s.hall != nil {
			usable++
		}
	}
	return part
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
	firms             due.Queue[*customer] // each customer by the time when something is due for it
	numbered          uint64               // customers so far
	resting, rested   map[uint64]rest      // customers that are quiet: of late, and those before
	turned            time.Duration        // the last time that those before were forgotten
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

// group finds an upstream group's fleet. Groups are few and numbered from 0.
func (g *Gateway) group(n int) *fleet {
	for len(g.fleets) <= n {
		g.fleets = append(g.fleets, &fleet{limit: limitStart / (1 + g.blind) / float64(g.set.Gateways),
			retries: retryMost, latency: g.guess, base: g.guess, units: 1, room: 1, halls: map[int]*hall{}})
	}
	return g.fleets[max(n, 0)]
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

// distance ranks servers by rendezvous hashing: each gateway has an order of its own, which others' coming and going
// leaves as it is.
func (g *Gateway) distance(s *server) uint64 { return mix(uint64(s.ID) ^ mix(uint64(g.set.Rank))) }

func without(list []*request, r *request) []*request {
	for k, x := range list {
		if x == r {
			return append(list[:k], list[k+1:]...)
		}
	}
	return list
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

const pause = 300 * time.Millisecond // without a tick: this process stood still

// paused tells whether an attempt was out while this process stood still. What came late then came late by that, and would
// leave all servers out and the bound at its floor: it is no time-out, and an answer tells all but its time. Harm: a process
// that stands still again and again learns late that servers are slow.
func (g *Gateway) paused(r *request) bool { return r.sentAt < g.woke }

// took is what an attempt tells of the latency.
func (g *Gateway) took(r *request) float64 {
	if g.paused(r) {
		return r.fleet.latency
	}
	return float64(g.now - r.sentAt)
}

// learn judges by an outcome.
func (g *Gateway) learn(s *server, r *request, o Outcome) {
	if o.Status == Timeout && g.paused(r) {
		s.trial = false
		return
	}
	g.judge(s, r, o)
}

// untried is the latency of a server not met yet. One of many gateways meets it late: until then it is the fleet's, as
// that changes.
func (g *Gateway) untried(f *fleet) float64 {
	if g.blind > 0 {
		return 0
	}
	return f.latency
}

// priceOf is the price of the dearest plan.
func priceOf(plans []Plan) float64 {
	price := 1e-9
	for _, p := range plans {
		price = max(price, p.Price)
	}
	return price
}

// usual is a server's latency, a little under the fleet's where none is known of its own: one not tried yet should be.
func (s *server) usual() float64 {
	if s.latency == 0 {
		return 0.9 * s.fleet.latency
	}
	return s.latency
}

// warmth is the share of its capacity that a server has at least; 1 when warm.
func (g *Gateway) warmth(s *server) float64 {
	age := g.now - s.startedAt
	if s.Started <= 0 || age >= g.set.Cold || g.set.Cold <= 0 {
		return 1
	}
	return g.set.StartCapacity + (1-g.set.StartCapacity)*max(0, age.Seconds())/g.set.Cold.Seconds()
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

// Due is a customer's place among those that something is due for.
func (c *customer) Due() *due.Place { return &c.Place }

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

// hold keeps a request; its firm is looked at each tick.
func (g *Gateway) hold(r *request) {
	r.cust.held = append(r.cust.held, r)
	g.firms.Sooner(r.cust, g.now)
}

// reread sets when a firm's sums are read again.
func (g *Gateway) reread(c *customer, after time.Duration) {
	c.readAt = g.now + after
	g.firms.Sooner(c, c.readAt)
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
