package core

import (
	"slices"
	"time"

	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// PlanCommand queries or changes the plan book (event). It is answered by a SendReply effect.
type PlanCommand struct {
	Command any         // a Replace, Reread, Propose, Withdraw, Grant, Revoke or Show
	Reply   func(Reply) // called in the loop's goroutine; must not block
}

// Replace is a command that replaces all versions and reservations from a source.
type Replace struct {
	Source       plans.Source
	Versions     []plans.Version
	Reservations []plans.Reservation
}

// Reread is a command that takes the tiers from the platform's configuration after it was read again.
type Reread struct{ Tiers []logic.Plan }

// Propose is a command that adds one version or, with DryRun, only reports what the version would change.
type Propose struct {
	Version plans.Version
	DryRun  bool
}

// Withdraw is a command that withdraws a pending version.
type Withdraw struct{ Number uint64 }

// Grant is a command that adds a reservation.
type Grant struct{ Reservation plans.Reservation }

// Revoke is a command that ends a reservation.
type Revoke struct{ ID string }

// Show is a command that changes nothing and returns the plan book.
type Show struct{}

// Reply answers a PlanCommand.
type Reply struct {
	Err     error
	Effects []plans.Effect // what a proposed version changes or would change
	Book    plans.Snapshot
	Uses    map[string]ReservationUse // by reservation id
	Tally   Tally
	Now     time.Duration // wall-clock time of the reply
}

// ReservationUse is what this limiter knows of the use of a reservation, in units: Used by this limiter, Unused here
// (leased and not yet used), and Leased by all limiters.
type ReservationUse struct{ Used, Unused, Leased float64 }

// Tally counts request contexts by the plan version that governed them. It keeps the newest maxTalliedVersions versions.
type Tally struct{ Versions []VersionTally }

// VersionTally is the number of request contexts that one version governed.
type VersionTally struct {
	Number   uint64 `json:"number"`
	Requests uint64 `json:"requests"`
}

const maxTalliedVersions = 64

// PublishPlans tells the fronts which tiers are in force (effect).
type PublishPlans struct {
	Version uint64
	Tiers   map[string]int
	Plans   []logic.Plan
}

// SendReply passes the reply to a command to its sender (effect).
type SendReply struct {
	To    func(Reply)
	Reply Reply
}

// SavePlans saves the book if a state directory is configured (effect). The sender of the change is answered once the book
// has been saved.
type SavePlans struct {
	Book    plans.Snapshot
	OnSaved *SendReply // nil if the change was not requested by a command
}

// reservationTickInterval is the interval of reserve.Manager.Tick while reservations are in use.
const reservationTickInterval = 50 * time.Millisecond

// maxPlanTimer bounds how far ahead a plan timer is set. When a timer that was bounded fires, a further one is set.
const maxPlanTimer = time.Hour

func (t *Tally) count(version uint64) {
	if n := len(t.Versions); n > 0 && t.Versions[n-1].Number == version {
		t.Versions[n-1].Requests++
		return
	}
	if len(t.Versions) >= maxTalliedVersions {
		t.Versions = slices.Delete(t.Versions, 0, 1)
	}
	t.Versions = append(t.Versions, VersionTally{version, 1})
}

// Start brings into force the plans and reservations that are due at the start and publishes them to the fronts. It is called
// before the first event.
func (r *Reducer) Start(now time.Duration, effects []Effect) []Effect {
	r.now, r.effects = max(r.now, now), effects
	r.book.Advance(r.wallClock())
	r.book.AdvanceReservations(r.wallClock())
	r.reservations.SetReservations(r.book.Reservations())
	r.publishPlans()
	r.setPlanTimer()
	if r.ring != nil {
		r.announceCounters()
	}
	r.finishStep()
	return r.effects
}

// handleCommand carries out and answers a command. A change is applied completely or not at all.
func (r *Reducer) handleCommand(e PlanCommand) {
	reply := Reply{Now: r.wallClock()}
	changed := true
	switch q := e.Command.(type) {
	case Replace:
		reply.Err = r.book.Replace(q.Source, q.Versions, q.Reservations, r.wallClock(), r.gateway.InUse(r.book.Tiers()))
	case Reread:
		reply.Err = r.book.UpdatePlatform(q.Tiers, r.wallClock(), r.gateway.InUse(r.book.Tiers()))
	case Propose:
		inUse := r.gateway.InUse(r.book.Tiers())
		reply.Effects = plans.Diff(r.book.Current().Tiers, q.Version.Tiers, inUse)
		book := r.book
		if q.DryRun {
			book, changed = r.book.Clone(), false
		}
		reply.Err = book.Propose(q.Version, r.wallClock(), inUse)
	case Withdraw:
		reply.Err = r.book.Withdraw(q.Number, r.wallClock())
	case Grant:
		reply.Err = r.book.Grant(q.Reservation, r.wallClock())
	case Revoke:
		reply.Err = r.book.Revoke(q.ID, r.wallClock())
	case Show:
		changed = false
	}
	changed = changed && reply.Err == nil
	if changed {
		r.advancePlans()
	}
	reply.Book, reply.Uses = r.book.Snapshot(), map[string]ReservationUse{}
	reply.Tally.Versions = slices.Clone(r.tally.Versions)
	for _, x := range reply.Book.Reservations {
		if u, ok := r.reservations.Use(x.ID); ok {
			reply.Uses[x.ID] = ReservationUse(u)
		}
	}
	sendReply := SendReply{e.Reply, reply}
	if changed {
		r.emit(SavePlans{reply.Book, &sendReply})
		return
	}
	r.emit(sendReply)
}

// wallClock returns the current time on the wall clock.
func (r *Reducer) wallClock() time.Duration { return r.now + r.wallClockAhead }

// advancePlans brings into force what is due by now, so that everything that changes in a step changes at one moment.
func (r *Reducer) advancePlans() {
	if r.book.Advance(r.wallClock()) {
		r.publishPlans()
		r.emit(SavePlans{Book: r.book.Snapshot()})
		r.notify(logic.PlansChanged{})
	}
	r.book.AdvanceReservations(r.wallClock())
	r.reservations.SetReservations(r.book.Reservations())
	r.setPlanTimer()
}

func (r *Reducer) publishPlans() {
	r.emit(PublishPlans{r.book.Current().Number, r.book.Tiers(), r.book.Plans()})
}

// setPlanTimer sets a timer for the next version or reservation that is due, unless an earlier plan timer is set.
func (r *Reducer) setPlanTimer() {
	at, due := r.book.Next()
	if reservationAt, ok := r.book.NextReservationChange(); ok && (!due || reservationAt < at) {
		at, due = reservationAt, true
	}
	if !due {
		return
	}
	at = min(max(at-r.wallClockAhead, r.now+1), r.now+maxPlanTimer)
	if r.planTimerAt == 0 || at < r.planTimerAt {
		r.planTimerAt = at
		r.emit(SetTimer{at, Timer{kind: planTimer}})
	}
}

// serveReservations makes the calls that the reservation manager requests, records the reservations that are used up, and has
// the module look again at the firms whose held requests may now be decided: leased units have arrived, a call brought none,
// or the reservation is gone. Those may request more calls, so it repeats until nothing is left.
func (r *Reducer) serveReservations() {
	for {
		calls, woken, spent := r.reservations.TakeCalls(), r.reservations.TakeWokenFirms(), r.reservations.TakeSpent()
		if len(calls)+len(woken)+len(spent) == 0 {
			break
		}
		for _, c := range calls {
			r.startCall(&call{name: c.Name, amount: c.Amount, ttl: c.TTL, startedAt: r.now, deadline: r.now + c.Timeout, forReservation: true, reservationToken: c.Token},
				c.BeganAt, 0)
		}
		for _, id := range spent {
			r.book.MarkSpent(id, r.wallClock())
			r.reservations.SetReservations(r.book.Reservations())
		}
		for _, firm := range woken {
			r.notify(logic.Leased{Customer: firm})
		}
	}
	if !r.reservationTimerSet && r.reservations.Active() {
		r.reservationTimerSet = true
		r.emit(SetTimer{r.now + reservationTickInterval, Timer{kind: reservationTimer}})
	}
}
