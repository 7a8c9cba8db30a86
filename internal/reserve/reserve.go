// Package reserve draws firms' reservations in leases that all limiters take from the shared counter. It is pure: no
// I/O and no clock; the reducer owns it, tells it the time and makes the calls that it asks for.
//
// The counter forgets a name after a minute at most, so a reservation is counted in generations of fifteen seconds.
// What was leased in a generation stands under one name of its own, and what was given back under another: both only
// grow, so that a total that falls is a loss and nothing else. When a generation is over every limiter reads both and
// adds the difference to the base, the sum of the generations before. One of them writes the base under a name of the
// new generation, where a limiter that has just started finds it.
//
// What can go wrong, and what it costs:
//
//   - A limiter dies: the lease in its hand is lost, a sixty-fourth of the reservation at most.
//   - A call's fate is unknown: a lease is taken as added and not used, a give-back as made. The units are lost.
//   - The counter forgets: a limiter that sees the total fall adds all its own of the generation again, waits until the
//     others have, and takes the total that it knew for the least that is leased. Those that lease look every second.
//     What can be spent twice is what the firm draws within Blind before and after, a lease of each limiter, and what a
//     limiter that died had leased in the generation.
//   - Nobody knows the base (all have restarted and the counter is empty): nothing more is leased.
package reserve

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"bramblefall/internal/plans"
	"bramblefall/logic"
)

const (
	generation = 15 * time.Second
	guard      = 300 * time.Millisecond // round a generation's end: calls on their way must have arrived
	lives      = 60 * time.Second       // of a name, the most that the counter knows
	callWait   = 250 * time.Millisecond
	Part       = 64 // a lease is at most this part of the reservation, or one request

	idleAfter  = time.Second             // what nobody wants for so long is given back
	lastLook   = 1500 * time.Millisecond // before a generation's end, who has not leased looks, too: it must know a loss
	beatEvery  = time.Second             // between two looks at the total: a loss must show
	retryAfter = 300 * time.Millisecond  // after a call without an answer
	emptyAfter = 500 * time.Millisecond  // when nothing was left: others may give back
	settleFor  = 600 * time.Millisecond  // after a loss: the others add theirs again
	publishGap = 100 * time.Millisecond  // between the limiters that may write the base
	baseSteps  = 4096                    // in which the base is written
	baseWriter = 1 << 16                 // added by each that writes it
	eps        = 1e-3                    // totals are exact to seven digits
)

// Blind is how long before a loss of the counter's names a limiter may have looked last, and how long after it may not
// have seen it.
const Blind = beatEvery + settleFor + 2*guard

// Call asks for an addition to a name of the counter. Its answer goes to Counted with the token.
type Call struct {
	Token       uint64
	Name        uint64
	Amount      float64
	Lives, Wait time.Duration
	Began       time.Duration // from when on limiters may have added to the name
}

// Manager leases for all firms of one limiter.
type Manager struct {
	gateways, rank int
	ahead          time.Duration // of the wall clock
	largest        float64       // request
	accounts       map[string]*account
	firms          map[uint64][]*account // those not over, by end
	past           map[string]Use        // of those that are over and still listed
	out            map[uint64]*account   // by the token of the call that is out
	next           uint64
	calls          []Call
	woken          []uint64
	spent          []string
}

type kind uint8

const (
	none        kind = iota
	lease            // adds
	back             // gives back what is not wanted
	excess           // gives back what a lease added over what may be drawn
	look             // reads what was leased
	lookBack         // reads what was given back
	again            // adds its own after a loss
	closing          // reads what was leased in the generation before
	closingBack      // and what was given back
	base             // reads the base
	publish          // writes it
)

// account is what this limiter knows of one reservation.
type account struct {
	r         plans.Reservation
	ahead     time.Duration // of the wall clock when it came into use: generations go on evenly from there
	gen       int64         // that the figures below are of
	base      float64       // units leased in the generations before
	based     bool          // it is known
	published bool
	joined    bool    // something was ever leased here
	own       float64 // leased here in this generation
	total     float64 // leased by all, as last told
	floor     float64 // at least so much was leased in this generation: the total before a loss
	given     float64 // given back in this generation by all, as last told
	hand      float64 // leased and not used
	used      float64 // ever, here

	wants  float64 // units of a request that waits; 0: none
	wantAt time.Duration
	rate   float64 // units a second used here, smoothed
	rateAt time.Duration
	called kind // the call that is out
	amount float64
	tryAt  time.Duration // no lease before
	seenAt time.Duration // last told a total
	empty  bool          // nothing was left at the last try
}

// New makes a manager for one of so many limiters.
func New(gateways, rank int, largest float64) *Manager {
	return &Manager{gateways: max(gateways, 1), rank: rank, largest: max(largest, 1), accounts: map[string]*account{},
		firms: map[uint64][]*account{}, past: map[string]Use{}, out: map[uint64]*account{}}
}

// Ahead sets how far the wall clock is ahead of the time that is told. Reservations go by it; the generations of one that is in
// use go on as before. Guards against one that is left in a step before what others leased in it is known.
func (m *Manager) Ahead(by time.Duration) { m.ahead = by }

// Set takes the reservations that may be drawn now. Those that are gone are forgotten with what is in hand; the firms
// that it held something for are woken.
func (m *Manager) Set(list []plans.Reservation) {
	gone := map[string]*account{}
	for id, a := range m.accounts {
		gone[id] = a
	}
	past := map[string]Use{}
	for _, r := range list {
		if r.State != plans.InUse {
			if u, ok := m.Use(r.ID); ok {
				past[r.ID] = u
			}
			continue
		}
		if a := m.accounts[r.ID]; a != nil {
			delete(gone, r.ID)
			continue
		}
		a := &account{r: r, ahead: m.ahead}
		m.accounts[r.ID] = a
		m.firms[r.Firm] = append(m.firms[r.Firm], a)
		slices.SortFunc(m.firms[r.Firm], func(a, b *account) int {
			if a.r.Until != b.r.Until {
				return int(min(max(a.r.Until-b.r.Until, -1), 1))
			}
			return slices.Compare([]byte(a.r.ID), []byte(b.r.ID))
		})
	}
	m.past = past
	for id, a := range gone {
		delete(m.accounts, id)
		left := slices.DeleteFunc(m.firms[a.r.Firm], func(x *account) bool { return x == a })
		if m.firms[a.r.Firm] = left; len(left) == 0 {
			delete(m.firms, a.r.Firm)
		}
		m.woken = append(m.woken, a.r.Firm)
	}
	slices.Sort(m.woken)
}

// Take implements logic.Reserves.
func (m *Manager) Take(now time.Duration, firm uint64, units float64) bool {
	for _, a := range m.firms[firm] {
		a.wantAt = now
		if a.hand >= units-eps {
			a.hand = max(0, a.hand-units)
			a.used += units
			a.note(now, units)
			m.step(now, a)
			return true
		}
	}
	for _, a := range m.firms[firm] {
		a.wants = max(a.wants, units)
		m.step(now, a)
	}
	return false
}

// Return implements logic.Reserves.
func (m *Manager) Return(now time.Duration, firm uint64, units float64) {
	for _, a := range m.firms[firm] {
		if a.used >= units-eps {
			a.used, a.hand, a.wantAt = a.used-units, a.hand+units, now
			return
		}
	}
}

// Coming implements logic.Reserves.
func (m *Manager) Coming(now time.Duration, firm uint64) bool {
	return slices.ContainsFunc(m.firms[firm], func(a *account) bool { return a.called == lease || !a.empty && now >= a.tryAt })
}

func (a *account) note(now time.Duration, units float64) {
	dt := max((now - a.rateAt).Seconds(), 1e-3)
	a.rateAt = now
	keep := math.Exp(-dt)
	a.rate = keep*a.rate + (1-keep)*units/dt
}

// Active tells whether there is anything to tend.
func (m *Manager) Active() bool { return len(m.accounts) > 0 }

// Tick looks after every reservation in use. It is due some ten times a second while there are any.
func (m *Manager) Tick(now time.Duration) {
	ids := make([]string, 0, len(m.accounts))
	for id := range m.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids) // a map's order must not reach a call
	for _, id := range ids {
		m.step(now, m.accounts[id])
	}
}

// Calls hands over the calls that are asked for.
func (m *Manager) Calls() (calls []Call) {
	calls, m.calls = m.calls, nil
	return calls
}

// Woken hands over the firms whose held requests are to be looked at again.
func (m *Manager) Woken() (firms []uint64) {
	firms, m.woken = m.woken, nil
	return firms
}

// Spent hands over the reservations of which nothing is left.
func (m *Manager) Spent() (ids []string) {
	ids, m.spent = m.spent, nil
	return ids
}

// Use is what is known here of a reservation.
type Use struct {
	Used   float64 `json:"used"`   // by this limiter
	Hand   float64 `json:"hand"`   // leased by it and not used
	Leased float64 `json:"leased"` // by all, as last told
}

// Use tells of a reservation; false: it has not been in use here.
func (m *Manager) Use(id string) (Use, bool) {
	a := m.accounts[id]
	if a == nil {
		u, ok := m.past[id]
		return u, ok
	}
	return Use{a.used, a.hand, a.leased()}, true
}

func (a *account) leased() float64 { return a.base + max(0, max(a.total, a.floor)-a.given) }

// allowed is how much may have been drawn by a time of the wall clock.
func (a *account) allowed(wall time.Duration) float64 {
	if a.r.Rate <= 0 {
		return a.r.Units
	}
	return min(a.r.Units, a.r.Rate*(1+(wall-a.r.From).Seconds()))
}

// size is what a lease takes: what a second needs, up to the part.
func (m *Manager) size(a *account) float64 {
	most := max(a.r.Units/Part, m.largest)
	return min(max(a.wants, math.Ceil(a.rate), m.largest), max(most, a.wants))
}

// step makes the next call that is due, one at a time.
func (m *Manager) step(now time.Duration, a *account) {
	wall := now + m.ahead
	if a.called != none || wall >= a.r.Until {
		return
	}
	clock := now + a.ahead
	gen, first := int64(clock/generation), int64(a.r.From/generation)
	into := clock - time.Duration(gen)*generation
	switch {
	case !a.based && gen == first:
		a.gen, a.based, a.published = gen, true, true // nothing was drawn before
	case !a.based:
		if now >= a.tryAt {
			a.gen = gen
			m.call(a, base, a.name("base", gen), 0)
		}
		return
	}
	if gen > a.gen {
		m.close(now, a, gen, into)
		return
	}
	size := m.size(a)
	wanted := a.wants > 0 || a.hand < size/2 && now-a.wantAt < idleAfter/2
	switch {
	case !a.published && into >= guard+time.Duration(m.rank)*publishGap && now >= a.tryAt:
		m.call(a, publish, a.name("base", gen), 0)
	case into >= generation-guard || now < a.tryAt:
	case wanted && a.leased()+eps < a.allowed(now+m.ahead):
		m.call(a, lease, a.name("leased", gen), size)
	case a.hand > 0 && now-a.wantAt >= idleAfter:
		give := a.hand
		a.hand = 0
		m.call(a, back, a.name("given", gen), give)
	case now-a.seenAt >= beatEvery && (a.joined || into >= generation-guard-lastLook && now-a.seenAt >= lastLook):
		m.call(a, look, a.name("leased", gen), 0)
	case wanted && a.hand == 0: // all that may be drawn by now is leased, but some may be given back
		m.call(a, lookBack, a.name("given", gen), 0)
	}
}

// close ends the figures of a generation that is over. Those that leased in it go first: they add theirs again if they
// have been lost, and the others read after them.
func (m *Manager) close(now time.Duration, a *account, gen int64, into time.Duration) {
	if gen-a.gen > 2 { // the counter was away for longer than its names live
		a.begin(gen, a.leased())
		return
	}
	after := guard
	if a.own <= 0 {
		after += settleFor
	}
	if now >= a.tryAt && (into >= after || gen-a.gen > 1) {
		m.call(a, closing, a.name("leased", a.gen), 0)
	}
}

// begin starts the figures of a generation.
func (a *account) begin(gen int64, base float64) {
	a.gen, a.base, a.published = gen, base, false
	a.own, a.total, a.floor, a.given = 0, 0, 0, 0
}

func (m *Manager) nothingLeft(now time.Duration, a *account) {
	a.empty, a.wants, a.tryAt = true, 0, now+emptyAfter
	m.woken = append(m.woken, a.r.Firm)
	if a.hand == 0 && a.base+eps >= a.r.Units { // all generations that count are over: nobody can give back
		m.spent = append(m.spent, a.r.ID)
	}
}

func (m *Manager) call(a *account, k kind, name uint64, amount float64) {
	m.next++
	a.called, a.amount = k, amount
	m.out[m.next] = a
	m.calls = append(m.calls, Call{m.next, name, amount, lives, callWait, time.Duration(a.gen)*generation - a.ahead})
}

// name is that of a count of one generation: limiters agree on it without talk.
func (a *account) name(what string, gen int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "reservation %s of %x from %d: %s %d", a.r.ID, a.r.Firm, a.r.From, what, gen)
	return h.Sum64()
}

// Counted takes the answer to a call.
func (m *Manager) Counted(now time.Duration, token uint64, status logic.Status, total float64) {
	a := m.out[token]
	if a == nil {
		return
	}
	delete(m.out, token)
	k, amount := a.called, a.amount
	a.called = none
	if m.accounts[a.r.ID] != a {
		return // over meanwhile
	}
	if status != logic.OK {
		m.failed(now, a, k, amount, status == logic.Full || status == logic.ConnectFailed)
		return
	}
	switch k {
	case closing:
		if m.fell(now, a, total, a.own) {
			break
		}
		a.total = total
		m.call(a, closingBack, a.name("given", a.gen), 0)
	case closingBack:
		a.given = total
		a.begin(a.gen+1, a.leased())
	case lookBack:
		if a.given = total; a.leased()+eps >= a.allowed(now+m.ahead) {
			m.nothingLeft(now, a)
		}
	case base:
		m.learn(now, a, total)
	case publish:
		a.published = true
		if total < baseWriter-eps { // nobody has written it
			steps := math.Ceil(min(a.base/a.r.Units, 1) * baseSteps)
			m.call(a, publish, a.name("base", a.gen), baseWriter+steps)
		}
	default:
		m.told(now, a, k, amount, total)
	}
	m.step(now, a)
}

// learn takes the base from what others have written.
func (m *Manager) learn(now time.Duration, a *account, total float64) {
	writers := math.Floor(total / baseWriter)
	if steps := total - writers*baseWriter; writers >= 1 && steps <= writers*baseSteps {
		a.base, a.based, a.published = math.Ceil(steps/writers)/baseSteps*a.r.Units, true, true
		return
	}
	a.tryAt, a.empty = now+retryAfter, true
	m.woken = append(m.woken, a.r.Firm)
}

// fell tells whether a total proves that the counter has forgotten, and adds again what was added here before. floor is
// what must be in the total at least.
func (m *Manager) fell(now time.Duration, a *account, total, floor float64) bool {
	if total >= max(floor, a.total)-eps {
		return false
	}
	a.floor, a.total, a.published = max(a.floor, a.total), total, false
	a.tryAt = now + settleFor
	if a.own > eps {
		m.call(a, again, a.name("leased", a.gen), a.own)
	}
	return true
}

// told takes what is leased in this generation.
func (m *Manager) told(now time.Duration, a *account, k kind, amount, total float64) {
	switch k {
	case again:
		a.total = max(a.total, total)
		return
	case back, excess:
		a.given = total
		return
	}
	a.seenAt = now
	if m.fell(now, a, total, a.own+amount) {
		return // a lease that this call took stays unused
	}
	a.total = total
	if k != lease {
		return
	}
	kept := amount
	if over := a.leased() - a.allowed(now+m.ahead); over > 0 {
		kept = max(0, amount-over)
	}
	a.hand, a.own, a.empty = a.hand+kept, a.own+amount, kept <= 0
	a.joined = true
	if kept < amount {
		m.call(a, excess, a.name("given", a.gen), amount-kept)
	}
	if kept <= 0 {
		m.nothingLeft(now, a)
		return
	}
	a.wants = 0
	m.woken = append(m.woken, a.r.Firm)
}

// failed takes a call without an answer. never: nothing was added.
func (m *Manager) failed(now time.Duration, a *account, k kind, amount float64, never bool) {
	a.tryAt = now + retryAfter
	switch {
	case k == back && never: // it is still out: it may be used here
		a.hand, a.wantAt = a.hand+amount, now
	case k == lease:
		a.empty = true
		m.woken = append(m.woken, a.r.Firm)
	case k == again && never:
		m.call(a, k, a.name("leased", a.gen), amount)
	case k == excess && never:
		m.call(a, k, a.name("given", a.gen), amount)
	case k == publish:
		a.published = amount > 0 && !never
	}
}
