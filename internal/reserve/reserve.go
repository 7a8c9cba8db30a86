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
	generationLength = 15 * time.Second
	boundaryMargin   = 300 * time.Millisecond // round a generation's end: calls on their way must have arrived
	counterTTL       = 60 * time.Second       // of a name, the most that the counter knows
	callTimeout      = 250 * time.Millisecond
	Part             = 64 // a lease is at most this part of the reservation, or one request

	idleReturnDelay   = time.Second             // what nobody wants for so long is given back
	finalReadWindow   = 1500 * time.Millisecond // before a generation's end, who has not leased looks, too: it must know a loss
	readInterval      = time.Second             // between two looks at the total: a loss must show
	retryDelay        = 300 * time.Millisecond  // after a call without an answer
	exhaustedDelay    = 500 * time.Millisecond  // when nothing was left: others may give back
	lossRecoveryDelay = 600 * time.Millisecond  // after a loss: the others add theirs again
	baseWriteStagger  = 100 * time.Millisecond  // between the limiters that may write the base
	baseSteps         = 4096                    // in which the base is written
	baseWriterUnit    = 1 << 16                 // added by each that writes it
	unitTolerance     = 1e-3                    // totals are exact to seven digits
)

// Blind is how long before a loss of the counter's names a limiter may have looked last, and how long after it may not
// have seen it.
const Blind = readInterval + lossRecoveryDelay + 2*boundaryMargin

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
	limiterCount, rank int
	clockOffset        time.Duration // of the wall clock
	maxRequestUnits    float64       // request
	accounts           map[string]*account
	accountsByFirm     map[uint64][]*account // those not over, by end
	endedUse           map[string]Use        // of those that are over and still listed
	inFlight           map[uint64]*account   // by the token of the call that is out
	lastToken          uint64
	calls              []Call
	wokenFirms         []uint64
	spentIDs           []string
}

type callKind uint8

const (
	noCall        callKind = iota
	takeLease              // adds
	returnIdle             // gives back what is not wanted
	returnExcess           // gives back what a lease added over what may be drawn
	readLeased             // reads what was leased
	readReturned           // reads what was given back
	restoreOwn             // adds its own after a loss
	closeLeased            // reads what was leased in the generation before
	closeReturned          // and what was given back
	readBase               // reads the base
	writeBase              // writes it
)

// account is what this limiter knows of one reservation.
type account struct {
	reservation   plans.Reservation
	clockOffset   time.Duration // of the wall clock when it came into use: generations go on evenly from there
	generation    int64         // that the figures below are of
	base          float64       // units leased in the generations before
	baseKnown     bool          // it is known
	baseWritten   bool
	hasLeased     bool    // something was ever leased here
	ownLeased     float64 // leased here in this generation
	totalLeased   float64 // leased by all, as last told
	minLeased     float64 // at least so much was leased in this generation: the total before a loss
	totalReturned float64 // given back in this generation by all, as last told
	unused        float64 // leased and not used
	used          float64 // ever, here

	wantedUnits   float64 // units of a request that waits; 0: none
	lastWantedAt  time.Duration
	useRate       float64 // units a second used here, smoothed
	useRateAt     time.Duration
	pendingCall   callKind // the call that is out
	pendingAmount float64
	retryAt       time.Duration // no lease before
	leasedReadAt  time.Duration // last told a total
	exhausted     bool          // nothing was left at the last try
}

// New makes a manager for one of so many limiters.
func New(gateways, rank int, largest float64) *Manager {
	return &Manager{limiterCount: max(gateways, 1), rank: rank, maxRequestUnits: max(largest, 1), accounts: map[string]*account{},
		accountsByFirm: map[uint64][]*account{}, endedUse: map[string]Use{}, inFlight: map[uint64]*account{}}
}

// Ahead sets how far the wall clock is ahead of the time that is told. Reservations go by it; the generations of one that is in
// use go on as before. Guards against one that is left in a step before what others leased in it is known.
func (m *Manager) Ahead(by time.Duration) { m.clockOffset = by }

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
		a := &account{reservation: r, clockOffset: m.clockOffset}
		m.accounts[r.ID] = a
		m.accountsByFirm[r.Firm] = append(m.accountsByFirm[r.Firm], a)
		slices.SortFunc(m.accountsByFirm[r.Firm], func(a, b *account) int {
			if a.reservation.Until != b.reservation.Until {
				return int(min(max(a.reservation.Until-b.reservation.Until, -1), 1))
			}
			return slices.Compare([]byte(a.reservation.ID), []byte(b.reservation.ID))
		})
	}
	m.endedUse = past
	for id, a := range gone {
		delete(m.accounts, id)
		left := slices.DeleteFunc(m.accountsByFirm[a.reservation.Firm], func(x *account) bool { return x == a })
		if m.accountsByFirm[a.reservation.Firm] = left; len(left) == 0 {
			delete(m.accountsByFirm, a.reservation.Firm)
		}
		m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
	}
	slices.Sort(m.wokenFirms)
}

// Take implements logic.Reserves.
func (m *Manager) Take(now time.Duration, firm uint64, units float64) bool {
	for _, a := range m.accountsByFirm[firm] {
		a.lastWantedAt = now
		if a.unused >= units-unitTolerance {
			a.unused = max(0, a.unused-units)
			a.used += units
			a.recordUse(now, units)
			m.startDueCall(now, a)
			return true
		}
	}
	for _, a := range m.accountsByFirm[firm] {
		a.wantedUnits = max(a.wantedUnits, units)
		m.startDueCall(now, a)
	}
	return false
}

// Return implements logic.Reserves.
func (m *Manager) Return(now time.Duration, firm uint64, units float64) {
	for _, a := range m.accountsByFirm[firm] {
		if a.used >= units-unitTolerance {
			a.used, a.unused, a.lastWantedAt = a.used-units, a.unused+units, now
			return
		}
	}
}

// Coming implements logic.Reserves.
func (m *Manager) Coming(now time.Duration, firm uint64) bool {
	return slices.ContainsFunc(m.accountsByFirm[firm], func(a *account) bool { return a.pendingCall == takeLease || !a.exhausted && now >= a.retryAt })
}

func (a *account) recordUse(now time.Duration, units float64) {
	dt := max((now - a.useRateAt).Seconds(), 1e-3)
	a.useRateAt = now
	keep := math.Exp(-dt)
	a.useRate = keep*a.useRate + (1-keep)*units/dt
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
		m.startDueCall(now, m.accounts[id])
	}
}

// Calls hands over the calls that are asked for.
func (m *Manager) Calls() (calls []Call) {
	calls, m.calls = m.calls, nil
	return calls
}

// Woken hands over the firms whose held requests are to be looked at again.
func (m *Manager) Woken() (firms []uint64) {
	firms, m.wokenFirms = m.wokenFirms, nil
	return firms
}

// Spent hands over the reservations of which nothing is left.
func (m *Manager) Spent() (ids []string) {
	ids, m.spentIDs = m.spentIDs, nil
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
		u, ok := m.endedUse[id]
		return u, ok
	}
	return Use{a.used, a.unused, a.leased()}, true
}

func (a *account) leased() float64 {
	return a.base + max(0, max(a.totalLeased, a.minLeased)-a.totalReturned)
}

// allowedBy is how much may have been drawn by a time of the wall clock.
func (a *account) allowedBy(wall time.Duration) float64 {
	if a.reservation.Rate <= 0 {
		return a.reservation.Units
	}
	return min(a.reservation.Units, a.reservation.Rate*(1+(wall-a.reservation.From).Seconds()))
}

// leaseSize is what a lease takes: what a second needs, up to the part.
func (m *Manager) leaseSize(a *account) float64 {
	most := max(a.reservation.Units/Part, m.maxRequestUnits)
	return min(max(a.wantedUnits, math.Ceil(a.useRate), m.maxRequestUnits), max(most, a.wantedUnits))
}

// startDueCall makes the next call that is due, one at a time.
func (m *Manager) startDueCall(now time.Duration, a *account) {
	wall := now + m.clockOffset
	if a.pendingCall != noCall || wall >= a.reservation.Until {
		return
	}
	clock := now + a.clockOffset
	gen, first := int64(clock/generationLength), int64(a.reservation.From/generationLength)
	into := clock - time.Duration(gen)*generationLength
	switch {
	case !a.baseKnown && gen == first:
		a.generation, a.baseKnown, a.baseWritten = gen, true, true // nothing was drawn before
	case !a.baseKnown:
		if now >= a.retryAt {
			a.generation = gen
			m.startCall(a, readBase, a.counterName("base", gen), 0)
		}
		return
	}
	if gen > a.generation {
		m.closeGeneration(now, a, gen, into)
		return
	}
	size := m.leaseSize(a)
	wanted := a.wantedUnits > 0 || a.unused < size/2 && now-a.lastWantedAt < idleReturnDelay/2
	switch {
	case !a.baseWritten && into >= boundaryMargin+time.Duration(m.rank)*baseWriteStagger && now >= a.retryAt:
		m.startCall(a, writeBase, a.counterName("base", gen), 0)
	case into >= generationLength-boundaryMargin || now < a.retryAt:
	case wanted && a.leased()+unitTolerance < a.allowedBy(now+m.clockOffset):
		m.startCall(a, takeLease, a.counterName("leased", gen), size)
	case a.unused > 0 && now-a.lastWantedAt >= idleReturnDelay:
		give := a.unused
		a.unused = 0
		m.startCall(a, returnIdle, a.counterName("given", gen), give)
	case now-a.leasedReadAt >= readInterval && (a.hasLeased || into >= generationLength-boundaryMargin-finalReadWindow && now-a.leasedReadAt >= finalReadWindow):
		m.startCall(a, readLeased, a.counterName("leased", gen), 0)
	case wanted && a.unused == 0: // all that may be drawn by now is leased, but some may be given back
		m.startCall(a, readReturned, a.counterName("given", gen), 0)
	}
}

// closeGeneration ends the figures of a generation that is over. Those that leased in it go first: they add theirs again if they
// have been lost, and the others read after them.
func (m *Manager) closeGeneration(now time.Duration, a *account, gen int64, into time.Duration) {
	if gen-a.generation > 2 { // the counter was away for longer than its names live
		a.startGeneration(gen, a.leased())
		return
	}
	after := boundaryMargin
	if a.ownLeased <= 0 {
		after += lossRecoveryDelay
	}
	if now >= a.retryAt && (into >= after || gen-a.generation > 1) {
		m.startCall(a, closeLeased, a.counterName("leased", a.generation), 0)
	}
}

// startGeneration starts the figures of a generation.
func (a *account) startGeneration(gen int64, base float64) {
	a.generation, a.base, a.baseWritten = gen, base, false
	a.ownLeased, a.totalLeased, a.minLeased, a.totalReturned = 0, 0, 0, 0
}

func (m *Manager) markExhausted(now time.Duration, a *account) {
	a.exhausted, a.wantedUnits, a.retryAt = true, 0, now+exhaustedDelay
	m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
	if a.unused == 0 && a.base+unitTolerance >= a.reservation.Units { // all generations that count are over: nobody can give back
		m.spentIDs = append(m.spentIDs, a.reservation.ID)
	}
}

func (m *Manager) startCall(a *account, k callKind, name uint64, amount float64) {
	m.lastToken++
	a.pendingCall, a.pendingAmount = k, amount
	m.inFlight[m.lastToken] = a
	m.calls = append(m.calls, Call{m.lastToken, name, amount, counterTTL, callTimeout, time.Duration(a.generation)*generationLength - a.clockOffset})
}

// counterName is that of a count of one generation: limiters agree on it without talk.
func (a *account) counterName(what string, gen int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "reservation %s of %x from %d: %s %d", a.reservation.ID, a.reservation.Firm, a.reservation.From, what, gen)
	return h.Sum64()
}

// Counted takes the answer to a call.
func (m *Manager) Counted(now time.Duration, token uint64, status logic.Status, total float64) {
	a := m.inFlight[token]
	if a == nil {
		return
	}
	delete(m.inFlight, token)
	k, amount := a.pendingCall, a.pendingAmount
	a.pendingCall = noCall
	if m.accounts[a.reservation.ID] != a {
		return // over meanwhile
	}
	if status != logic.OK {
		m.handleFailure(now, a, k, amount, status == logic.Full || status == logic.ConnectFailed)
		return
	}
	switch k {
	case closeLeased:
		if m.detectLoss(now, a, total, a.ownLeased) {
			break
		}
		a.totalLeased = total
		m.startCall(a, closeReturned, a.counterName("given", a.generation), 0)
	case closeReturned:
		a.totalReturned = total
		a.startGeneration(a.generation+1, a.leased())
	case readReturned:
		if a.totalReturned = total; a.leased()+unitTolerance >= a.allowedBy(now+m.clockOffset) {
			m.markExhausted(now, a)
		}
	case readBase:
		m.handleBase(now, a, total)
	case writeBase:
		a.baseWritten = true
		if total < baseWriterUnit-unitTolerance { // nobody has written it
			steps := math.Ceil(min(a.base/a.reservation.Units, 1) * baseSteps)
			m.startCall(a, writeBase, a.counterName("base", a.generation), baseWriterUnit+steps)
		}
	default:
		m.handleTotal(now, a, k, amount, total)
	}
	m.startDueCall(now, a)
}

// handleBase takes the base from what others have written.
func (m *Manager) handleBase(now time.Duration, a *account, total float64) {
	writers := math.Floor(total / baseWriterUnit)
	if steps := total - writers*baseWriterUnit; writers >= 1 && steps <= writers*baseSteps {
		a.base, a.baseKnown, a.baseWritten = math.Ceil(steps/writers)/baseSteps*a.reservation.Units, true, true
		return
	}
	a.retryAt, a.exhausted = now+retryDelay, true
	m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
}

// detectLoss tells whether a total proves that the counter has forgotten, and adds again what was added here before. floor is
// what must be in the total at least.
func (m *Manager) detectLoss(now time.Duration, a *account, total, floor float64) bool {
	if total >= max(floor, a.totalLeased)-unitTolerance {
		return false
	}
	a.minLeased, a.totalLeased, a.baseWritten = max(a.minLeased, a.totalLeased), total, false
	a.retryAt = now + lossRecoveryDelay
	if a.ownLeased > unitTolerance {
		m.startCall(a, restoreOwn, a.counterName("leased", a.generation), a.ownLeased)
	}
	return true
}

// handleTotal takes what is leased in this generation.
func (m *Manager) handleTotal(now time.Duration, a *account, k callKind, amount, total float64) {
	switch k {
	case restoreOwn:
		a.totalLeased = max(a.totalLeased, total)
		return
	case returnIdle, returnExcess:
		a.totalReturned = total
		return
	}
	a.leasedReadAt = now
	if m.detectLoss(now, a, total, a.ownLeased+amount) {
		return // a lease that this call took stays unused
	}
	a.totalLeased = total
	if k != takeLease {
		return
	}
	kept := amount
	if over := a.leased() - a.allowedBy(now+m.clockOffset); over > 0 {
		kept = max(0, amount-over)
	}
	a.unused, a.ownLeased, a.exhausted = a.unused+kept, a.ownLeased+amount, kept <= 0
	a.hasLeased = true
	if kept < amount {
		m.startCall(a, returnExcess, a.counterName("given", a.generation), amount-kept)
	}
	if kept <= 0 {
		m.markExhausted(now, a)
		return
	}
	a.wantedUnits = 0
	m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
}

// handleFailure takes a call without an answer. never: nothing was added.
func (m *Manager) handleFailure(now time.Duration, a *account, k callKind, amount float64, never bool) {
	a.retryAt = now + retryDelay
	switch {
	case k == returnIdle && never: // it is still out: it may be used here
		a.unused, a.lastWantedAt = a.unused+amount, now
	case k == takeLease:
		a.exhausted = true
		m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
	case k == restoreOwn && never:
		m.startCall(a, k, a.counterName("leased", a.generation), amount)
	case k == returnExcess && never:
		m.startCall(a, k, a.counterName("given", a.generation), amount)
	case k == writeBase:
		a.baseWritten = amount > 0 && !never
	}
}
