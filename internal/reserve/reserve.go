// Package reserve draws on firms' reservations in leases that all limiters take from the shared counter. It does no
// I/O and reads no clock: the reducer owns the Manager, passes in the time and makes the calls that the Manager
// returns.
//
// The counter drops a name after at most a minute, so a reservation is counted in generations of fifteen seconds. The
// units leased in a generation are counted under one name, the units returned under another. Both totals only grow, so
// a total that falls always means that the counter lost data. After a generation has ended, every limiter reads both
// totals and adds the difference to the base, which is the sum over the earlier generations. One limiter writes the
// base under a name of the new generation, where a limiter that has just started reads it.
//
// Faults and what they cost:
//
//   - A limiter dies: the unused part of its lease is lost, at most one sixty-fourth of the reservation (or one
//     request, if that is more).
//   - The outcome of a call is unknown: a lease is counted as added but not used, a return as made. The units are
//     lost.
//   - The counter loses data: a limiter that sees the total fall adds its own leases of the generation again,
//     waits until the others have done so, and treats the total that it knew before as the minimum leased.
//     Limiters that have leased read the total every second. Once the others have had the time to add theirs, the
//     limiter reads the total once more, and adds its leases again while the total is below that minimum: a second
//     loss in that time may not show as a fall. What can be used twice is what the firm draws within
//     MaxLossWindow before and after the loss, one lease of each limiter, and what a limiter that died had leased in the
//     generation.
//   - No limiter knows the base (all have restarted and the counter is empty): nothing more is leased.
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
	// Well under counterTTL: the counter drops a name after at most a minute.
	generationLength = 15 * time.Second
	// No units are leased and no idle units returned this close to the end of a generation, and its final totals are
	// read no sooner than this after the end: calls in flight must have arrived.
	boundaryMargin = 300 * time.Millisecond
	// The longest lifetime that the counter accepts for a name.
	counterTTL = 60 * time.Second
	// Time to wait for the answer to a call.
	callTimeout = 250 * time.Millisecond
	// A lease is at most 1/LeaseDivisor of the reservation, or one request if that is more.
	LeaseDivisor = 64

	// Leased units that no request has asked for during this time are returned.
	idleReturnDelay = time.Second
	// A limiter that has not leased also reads the total this long before the end of a generation: it must notice a
	// loss.
	finalReadWindow = 1500 * time.Millisecond
	// Interval between reads of the total, short enough to notice a loss of data.
	readInterval = time.Second
	// Delay after a call that got no answer.
	retryDelay = 300 * time.Millisecond
	// Delay after a lease found nothing left: other limiters may return units.
	exhaustedDelay = 500 * time.Millisecond
	// Wait after a loss of data, during which the other limiters add their leases again.
	lossRecoveryDelay = 600 * time.Millisecond
	// Time after a loss of data has been noticed, by which the other limiters have noticed it, too.
	lossNoticedDelay = readInterval + exhaustedDelay
	// Delay between successive limiters, by rank, before they write the base: usually one of them writes it.
	baseWriteStagger = 100 * time.Millisecond
	// The base is written as a number of steps, each 1/baseSteps of the reservation.
	baseSteps = 4096
	// Each limiter that writes the base adds this much to its steps, so the total shows how many have written.
	baseWriterUnit = 1 << 16
	// Tolerance in comparisons of units: totals are exact to seven digits.
	unitTolerance = 1e-3
)

// MaxLossWindow bounds the time around a loss of the counter's data in which a limiter may not notice it: its last read may be
// this long before the loss, and it may notice the loss this long after.
const MaxLossWindow = readInterval + lossRecoveryDelay + 2*boundaryMargin

// Call is an addition to a name on the counter, to be made by the owner. The answer goes to HandleResult with the token.
type Call struct {
	Token        uint64
	Name         uint64
	Amount       float64
	TTL, Timeout time.Duration
	BeganAt      time.Duration // earliest time at which a limiter may have added to the name
}

// Manager leases units of reservations for all firms of one limiter.
type Manager struct {
	limiterCount, rank int
	clockOffset        time.Duration // how far the wall clock is ahead of the time passed in
	maxRequestUnits    float64       // size of the largest request
	accounts           map[string]*account
	accountsByFirm     map[uint64][]*account // reservations in use, ordered by their end
	endedUse           map[string]Use        // use of the reservations that have ended and are still listed
	inFlight           map[uint64]*account   // by the token of the call in flight
	lastToken          uint64
	calls              []Call
	wokenFirms         []uint64 // firms whose held requests must be checked again
	spentIDs           []string // reservations of which nothing is left
}

// callKind is the purpose of a call to the counter.
type callKind uint8

const (
	noCall         callKind = iota
	takeLease               // adds a lease to the units leased
	returnIdle              // returns leased units that nobody asks for
	returnExcess            // returns what a lease added beyond the units that may be drawn
	readLeased              // reads the units leased in this generation
	readReturned            // reads the units returned in this generation
	restoreOwn              // adds this limiter's leases of the generation again after a loss of data
	verifyRestored          // reads the units leased once all limiters have had the time to restore their own
	closeLeased             // reads the units leased in the generation that is over
	closeReturned           // reads the units returned in the generation that is over
	readBase                // reads the base that other limiters wrote
	writeBase               // reads whether the base was written, then writes it if it was not
)

// account holds what this limiter knows of one reservation.
type account struct {
	reservation   plans.Reservation
	clockOffset   time.Duration // offset of the wall clock when the reservation came into use: its generations continue evenly from there
	generation    int64         // the generation that the counts below belong to
	base          float64       // units leased in earlier generations
	baseKnown     bool
	baseWritten   bool    // the base of this generation has been written, or needs no writing here
	hasLeased     bool    // this limiter has leased units of the reservation at some time
	ownLeased     float64 // units leased by this limiter in this generation
	totalLeased   float64 // units leased by all limiters in this generation, as last read
	minLeased     float64 // lower bound of the units leased in this generation: the total before a loss of data
	totalReturned float64 // units returned by all limiters in this generation, as last read
	unused        float64 // units leased by this limiter and not used
	used          float64 // units used through this limiter since it started

	wantedUnits   float64       // largest request that is waiting; 0: none
	lastWantedAt  time.Duration // when a request last asked for units
	useRate       float64       // units per second used through this limiter, smoothed
	useRateAt     time.Duration
	pendingCall   callKind      // kind of the call in flight; noCall: none
	pendingAmount float64       // amount of the call in flight
	retryAt       time.Duration // no due call is started before this time
	leasedReadAt  time.Duration // when the leased total was last read
	firstReadAt   time.Duration // when the leased total of this generation was first read; 0: not yet
	verifyAt      time.Duration // when to verify that the leases lost with the counter's data are restored; 0: none were lost
	exhausted     bool          // the last attempt to lease got no units
}

// New creates the Manager of the limiter with this rank among limiterCount limiters.
func New(limiterCount, rank int, maxRequestUnits float64) *Manager {
	return &Manager{limiterCount: max(limiterCount, 1), rank: rank, maxRequestUnits: max(maxRequestUnits, 1), accounts: map[string]*account{},
		accountsByFirm: map[uint64][]*account{}, endedUse: map[string]Use{}, inFlight: map[uint64]*account{}}
}

// SetClockOffset sets how far the wall clock is ahead of the time passed in. Reservations begin and end by the wall clock, but
// the generations of a reservation in use continue without a jump. Guards against leaving a generation at a clock step
// before the units that other limiters leased in it are known.
func (m *Manager) SetClockOffset(by time.Duration) { m.clockOffset = by }

// SetReservations installs the reservations. Those that may no longer be drawn on are dropped together with the units leased
// and not used, and their firms are woken.
func (m *Manager) SetReservations(list []plans.Reservation) {
	removed := map[string]*account{}
	for id, a := range m.accounts {
		removed[id] = a
	}
	endedUse := map[string]Use{}
	for _, r := range list {
		if r.State != plans.InUse {
			if u, ok := m.Use(r.ID); ok {
				endedUse[r.ID] = u
			}
			continue
		}
		if a := m.accounts[r.ID]; a != nil {
			delete(removed, r.ID)
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
	m.endedUse = endedUse
	for id, a := range removed {
		delete(m.accounts, id)
		remaining := slices.DeleteFunc(m.accountsByFirm[a.reservation.Firm], func(x *account) bool { return x == a })
		if m.accountsByFirm[a.reservation.Firm] = remaining; len(remaining) == 0 {
			delete(m.accountsByFirm, a.reservation.Firm)
		}
		m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
	}
	slices.Sort(m.wokenFirms)
}

// Take implements logic.ReservationLeases.
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

// Return implements logic.ReservationLeases.
func (m *Manager) Return(now time.Duration, firm uint64, units float64) {
	for _, a := range m.accountsByFirm[firm] {
		if a.used >= units-unitTolerance {
			a.used, a.unused, a.lastWantedAt = a.used-units, a.unused+units, now
			return
		}
	}
}

// LeasePending implements logic.ReservationLeases.
func (m *Manager) LeasePending(now time.Duration, firm uint64) bool {
	return slices.ContainsFunc(m.accountsByFirm[firm], func(a *account) bool { return a.pendingCall == takeLease || !a.exhausted && now >= a.retryAt })
}

func (a *account) recordUse(now time.Duration, units float64) {
	dt := max((now - a.useRateAt).Seconds(), 1e-3)
	a.useRateAt = now
	decay := math.Exp(-dt)
	a.useRate = decay*a.useRate + (1-decay)*units/dt
}

// Active reports whether any reservation is in use.
func (m *Manager) Active() bool { return len(m.accounts) > 0 }

// Tick makes the calls that are due for each reservation in use. Call it about ten times a second while Active reports
// true.
func (m *Manager) Tick(now time.Duration) {
	ids := make([]string, 0, len(m.accounts))
	for id := range m.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids) // the random order of a map must not decide the order of calls
	for _, id := range ids {
		m.startDueCall(now, m.accounts[id])
	}
}

// TakeCalls returns the calls to be made and clears the list.
func (m *Manager) TakeCalls() (calls []Call) {
	calls, m.calls = m.calls, nil
	return calls
}

// TakeWokenFirms returns the firms whose held requests must be checked again, and clears the list.
func (m *Manager) TakeWokenFirms() (firms []uint64) {
	firms, m.wokenFirms = m.wokenFirms, nil
	return firms
}

// TakeSpent returns the reservations of which nothing is left, and clears the list.
func (m *Manager) TakeSpent() (ids []string) {
	ids, m.spentIDs = m.spentIDs, nil
	return ids
}

// Use is what this limiter knows of the use of a reservation.
type Use struct {
	Used   float64 `json:"used"`   // units used through this limiter
	Unused float64 `json:"hand"`   // units leased by this limiter and not used
	Leased float64 `json:"leased"` // units leased by all limiters, as last read
}

// Use returns the use of a reservation; false if it has not been in use here.
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

// allowedBy returns how many units may have been drawn in total by a wall-clock time.
func (a *account) allowedBy(wall time.Duration) float64 {
	if a.reservation.Rate <= 0 {
		return a.reservation.Units
	}
	return min(a.reservation.Units, a.reservation.Rate*(1+(wall-a.reservation.From).Seconds()))
}

// leaseSize returns the units of the next lease: what one second needs, limited to the largest lease.
func (m *Manager) leaseSize(a *account) float64 {
	maxLease := max(a.reservation.Units/LeaseDivisor, m.maxRequestUnits)
	return min(max(a.wantedUnits, math.Ceil(a.useRate), m.maxRequestUnits), max(maxLease, a.wantedUnits))
}

// startDueCall starts the next call that is due for a reservation. Only one call is in flight at a time.
func (m *Manager) startDueCall(now time.Duration, a *account) {
	wall := now + m.clockOffset
	if a.pendingCall != noCall || wall >= a.reservation.Until {
		return
	}
	clock := now + a.clockOffset
	gen, first := int64(clock/generationLength), int64(a.reservation.From/generationLength)
	elapsed := clock - time.Duration(gen)*generationLength
	switch {
	case !a.baseKnown && gen == first:
		a.generation, a.baseKnown, a.baseWritten = gen, true, true // first generation: nothing was drawn before
	case !a.baseKnown:
		if now >= a.retryAt {
			a.generation = gen
			m.startCall(a, readBase, a.counterName("base", gen), 0)
		}
		return
	}
	if gen > a.generation {
		m.closeGeneration(now, a, gen, elapsed)
		return
	}
	size := m.leaseSize(a)
	wanted := a.wantedUnits > 0 || a.unused < size/2 && now-a.lastWantedAt < idleReturnDelay/2
	switch {
	case a.verifyAt > 0 && now >= a.verifyAt && elapsed < generationLength-boundaryMargin:
		m.startCall(a, verifyRestored, a.counterName("leased", gen), 0)
	case !a.baseWritten && elapsed >= boundaryMargin+time.Duration(m.rank)*baseWriteStagger && now >= a.retryAt:
		m.startCall(a, writeBase, a.counterName("base", gen), 0)
	case elapsed >= generationLength-boundaryMargin || now < a.retryAt:
	case wanted && a.leased()+unitTolerance < a.allowedBy(now+m.clockOffset):
		m.startCall(a, takeLease, a.counterName("leased", gen), size)
	case a.unused > 0 && now-a.lastWantedAt >= idleReturnDelay:
		returned := a.unused
		a.unused = 0
		m.startCall(a, returnIdle, a.counterName("given", gen), returned)
	case now-a.leasedReadAt >= readInterval && (a.hasLeased || elapsed >= generationLength-boundaryMargin-finalReadWindow && now-a.leasedReadAt >= finalReadWindow):
		m.startCall(a, readLeased, a.counterName("leased", gen), 0)
	case wanted && a.unused == 0: // all that may be drawn by now is leased, but some may have been returned
		m.startCall(a, readReturned, a.counterName("given", gen), 0)
	}
}

// closeGeneration starts reading the final totals of a generation that is over. Limiters that leased in it read first,
// so that they add their leases again if the counter lost them; the others read after them, and so does a limiter that has
// known the total for so short a time that the counter may have lost data before, which others have yet to notice.
func (m *Manager) closeGeneration(now time.Duration, a *account, gen int64, elapsed time.Duration) {
	if gen-a.generation > 2 { // the counter was unreachable for longer than its names live
		a.startGeneration(gen, a.leased())
		return
	}
	earliest := boundaryMargin
	if a.ownLeased <= 0 || a.firstReadAt+a.clockOffset > time.Duration(a.generation+1)*generationLength-MaxLossWindow {
		earliest += lossRecoveryDelay
	}
	if now >= a.retryAt && (elapsed >= earliest || gen-a.generation > 1) {
		m.startCall(a, closeLeased, a.counterName("leased", a.generation), 0)
	}
}

// startGeneration resets the counts for a new generation.
func (a *account) startGeneration(gen int64, base float64) {
	a.generation, a.base, a.baseWritten = gen, base, false
	a.ownLeased, a.totalLeased, a.minLeased, a.totalReturned = 0, 0, 0, 0
	a.firstReadAt, a.verifyAt = 0, 0
}

func (m *Manager) markExhausted(now time.Duration, a *account) {
	a.exhausted, a.wantedUnits, a.retryAt = true, 0, now+exhaustedDelay
	m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
	if a.unused == 0 && a.base+unitTolerance >= a.reservation.Units { // all generations with leases are over: no limiter can return units
		m.spentIDs = append(m.spentIDs, a.reservation.ID)
	}
}

func (m *Manager) startCall(a *account, k callKind, name uint64, amount float64) {
	m.lastToken++
	a.pendingCall, a.pendingAmount = k, amount
	m.inFlight[m.lastToken] = a
	m.calls = append(m.calls, Call{m.lastToken, name, amount, counterTTL, callTimeout, time.Duration(a.generation)*generationLength - a.clockOffset})
}

// counterName returns the counter's name for one count of one generation. It is a hash of the reservation, so limiters
// agree on it without communicating.
func (a *account) counterName(what string, gen int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "reservation %s of %x from %d: %s %d", a.reservation.ID, a.reservation.Firm, a.reservation.From, what, gen)
	return h.Sum64()
}

// HandleResult processes the answer to a call.
func (m *Manager) HandleResult(now time.Duration, token uint64, status logic.Status, total float64) {
	a := m.inFlight[token]
	if a == nil {
		return
	}
	delete(m.inFlight, token)
	k, amount := a.pendingCall, a.pendingAmount
	a.pendingCall = noCall
	if m.accounts[a.reservation.ID] != a {
		return // the reservation was dropped while the call was in flight
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
		if a.verifyAt > 0 && m.restoreMissing(a) {
			a.verifyAt = 0 // once: the generation must end
			break
		}
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
		if total < baseWriterUnit-unitTolerance { // no limiter has written the base
			steps := math.Ceil(min(a.base/a.reservation.Units, 1) * baseSteps)
			m.startCall(a, writeBase, a.counterName("base", a.generation), baseWriterUnit+steps)
		}
	default:
		m.handleTotal(now, a, k, amount, total)
	}
	m.startDueCall(now, a)
}

// handleBase reads the base that other limiters have written.
func (m *Manager) handleBase(now time.Duration, a *account, total float64) {
	writers := math.Floor(total / baseWriterUnit)
	if steps := total - writers*baseWriterUnit; writers >= 1 && steps <= writers*baseSteps {
		a.base, a.baseKnown, a.baseWritten = math.Ceil(steps/writers)/baseSteps*a.reservation.Units, true, true
		return
	}
	a.retryAt, a.exhausted = now+retryDelay, true
	m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
}

// detectLoss reports whether a total proves that the counter lost data, and if so adds this limiter's own leases
// again. minTotal is the least that the total must be.
func (m *Manager) detectLoss(now time.Duration, a *account, total, minTotal float64) bool {
	if total >= max(minTotal, a.totalLeased)-unitTolerance {
		return false
	}
	a.minLeased, a.totalLeased, a.baseWritten = max(a.minLeased, a.totalLeased), total, false
	a.retryAt = now + lossRecoveryDelay
	a.verifyAt = now + lossNoticedDelay
	if a.ownLeased > unitTolerance {
		m.startCall(a, restoreOwn, a.counterName("leased", a.generation), a.ownLeased)
	}
	return true
}

// verify ends the recovery from a loss of data if the total shows that all leases are restored.
func (m *Manager) verify(now time.Duration, a *account) {
	a.verifyAt = 0
	if m.restoreMissing(a) {
		a.verifyAt = now + lossNoticedDelay
	}
}

// restoreMissing adds this limiter's own leases again, as far as the total is below the minimum. It reports whether it does.
func (m *Manager) restoreMissing(a *account) bool {
	missing := min(a.minLeased-a.totalLeased, a.ownLeased)
	if missing <= unitTolerance {
		return false
	}
	m.startCall(a, restoreOwn, a.counterName("leased", a.generation), missing)
	return true
}

// handleTotal processes the total of the current generation that a call returned.
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
	if a.firstReadAt == 0 {
		a.firstReadAt = now
	}
	if m.detectLoss(now, a, total, a.ownLeased+amount) {
		return // the units of a lease that this call took stay unused
	}
	a.totalLeased = total
	if k == verifyRestored {
		m.verify(now, a)
	}
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

// handleFailure processes a call that got no answer. notAdded means that the counter certainly did not add the amount.
func (m *Manager) handleFailure(now time.Duration, a *account, k callKind, amount float64, notAdded bool) {
	a.retryAt = now + retryDelay
	switch {
	case k == returnIdle && notAdded: // the units were not returned and can be used here
		a.unused, a.lastWantedAt = a.unused+amount, now
	case k == takeLease:
		a.exhausted = true
		m.wokenFirms = append(m.wokenFirms, a.reservation.Firm)
	case k == restoreOwn && notAdded:
		m.startCall(a, k, a.counterName("leased", a.generation), amount)
	case k == returnExcess && notAdded:
		m.startCall(a, k, a.counterName("given", a.generation), amount)
	case k == verifyRestored:
		a.verifyAt = a.retryAt
	case k == writeBase:
		a.baseWritten = amount > 0 && !notAdded
	}
}
