// Package lease implements leases on duties, each of which at most one limiter of a fleet holds at a time. It does no
// I/O, starts no goroutine and reads no clock: the owner of each part passes in the time of its own monotonic clock
// and sends the commands that the part returns.
//
// A lease has four parts:
//
//   - Register records which limiter holds each duty and under which term. It is the state machine that a quorum
//     replicates: the same commands in the same order give the same grants. It has no notion of time.
//   - ExpiryWatch is the timer beside the register, run by the quorum's leader. It expires a lease that was not
//     renewed for the lease duration, counted from when the leader observed the renewal, or from when it became
//     leader.
//   - Holder is a limiter's own view of its lease. It counts the lease duration from before it sent the request,
//     less the maximum clock drift, so it stops before the watch may expire its lease, whatever happened to the
//     messages.
//   - Fence runs wherever effects are accepted. A holder that was paused between its check and its effect was right
//     when it checked, and is late all the same; the fence rejects its effect by its term.
//
// Bounds: a holder stops in time as long as two clocks differ by less than Rules.MaxClockDrift over one lease
// duration. With more drift, two limiters may both believe that they hold a duty; the fence still keeps effects in the
// order of terms.
package lease

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// Duty names a piece of work that only one limiter does at a time.
type Duty string

// Term numbers the grants of a duty, starting at 1. No number is used twice.
type Term uint64

// Instance identifies one run of a limiter process: a restart gets a new epoch and counts as another instance.
type Instance struct {
	Name  string
	Epoch uint64
}

// Kind is the operation of a command.
type Kind uint8

// The command kinds. Expire is sent only by ExpiryWatch, the others by limiters.
const (
	Acquire Kind = iota
	Renew
	Release
	Transfer
	Expire
)

// Command is a request to the register.
type Command struct {
	Kind     Kind
	Duty     Duty
	By       Instance
	To       Instance // the successor; set for Transfer only
	Term     Term     // the term under which the duty is held; zero for Acquire
	Renewals uint64   // set for Expire only: the renewals that the watch had observed
}

// Grant is the current state of one duty.
type Grant struct {
	Holder   Instance // the zero Instance if nobody holds the duty
	Term     Term     // of the newest grant, kept after it ended
	Renewals uint64   // counts renewals of this term, so that an expiry decided before a renewal arrived is rejected
}

// Errors with which the register rejects commands.
var (
	ErrHeld    = errors.New("another limiter holds the duty")
	ErrNotHeld = errors.New("the duty is not held under this term")
)

// Register holds the state of all duties. The zero value is not usable; call NewRegister.
type Register struct{ grants map[Duty]Grant }

// NewRegister creates a register from the grants of a snapshot, or an empty one if grants is nil. Terms continue from
// the snapshot.
func NewRegister(grants map[Duty]Grant) *Register {
	return &Register{grants: maps.Collect(maps.All(grants))}
}

// Grants returns a copy of all grants.
func (r *Register) Grants() map[Duty]Grant { return maps.Clone(r.grants) }

// Grant returns the state of a duty.
func (r *Register) Grant(d Duty) Grant { return r.grants[d] }

// Apply executes a command and returns the resulting grant. A command that is delivered twice has one effect.
func (r *Register) Apply(c Command) (Grant, error) {
	g, err := transition(r.grants[c.Duty], c)
	if err == nil {
		r.grants[c.Duty] = g
	}
	return g, err
}

// transition returns the grant that results from applying a command to g.
func transition(g Grant, c Command) (Grant, error) {
	held := g.Holder != Instance{} && g.Holder == c.By && g.Term == c.Term
	switch c.Kind {
	case Acquire:
		if g.Holder == c.By && c.By != (Instance{}) { // it already holds the duty: its first answer was lost
			g.Renewals++
			return g, nil
		}
		if g.Holder != (Instance{}) {
			return g, ErrHeld
		}
		return Grant{Holder: c.By, Term: g.Term + 1}, nil
	case Expire:
		if g.Holder == (Instance{}) || g.Term != c.Term || g.Renewals != c.Renewals {
			return g, ErrNotHeld
		}
		return Grant{Term: g.Term}, nil
	}
	if !held {
		return g, ErrNotHeld
	}
	switch c.Kind {
	case Renew:
		g.Renewals++
		return g, nil
	case Release:
		return Grant{Term: g.Term}, nil
	case Transfer:
		if c.To == (Instance{}) || c.To == c.By {
			return g, fmt.Errorf("transfer to %q: the successor is not another limiter", c.To.Name)
		}
		return Grant{Holder: c.To, Term: g.Term + 1}, nil
	}
	return g, fmt.Errorf("unknown command kind %d", c.Kind)
}

// ExpiryWatch expires leases that are not renewed. A quorum leader creates one for each of its terms of leadership.
type ExpiryWatch struct {
	duration time.Duration
	renewals map[Duty]lastRenewal
}

type lastRenewal struct {
	term     Term
	renewals uint64
	seenAt   time.Duration
}

// NewExpiryWatch starts the timers of a new leader at now. Each held lease gets a whole lease duration from here,
// because the time of its last renewal is not known.
func NewExpiryWatch(duration time.Duration, r *Register, now time.Duration) *ExpiryWatch {
	w := &ExpiryWatch{duration: duration, renewals: map[Duty]lastRenewal{}}
	for d := range r.grants {
		w.Observe(d, r.grants[d], now)
	}
	return w
}

// Observe records the grant that a command resulted in. A new term or renewal restarts the timer.
func (w *ExpiryWatch) Observe(d Duty, g Grant, now time.Duration) {
	m, known := w.renewals[d]
	switch {
	case g.Holder == (Instance{}):
		delete(w.renewals, d)
	case !known || m.term != g.Term || m.renewals != g.Renewals:
		w.renewals[d] = lastRenewal{g.Term, g.Renewals, now}
	}
}

// DueExpirations returns Expire commands for the leases that have run out. The owner puts them to the register like
// any other command; each is returned again until it has been applied.
func (w *ExpiryWatch) DueExpirations(now time.Duration) (due []Command) {
	for d, m := range w.renewals {
		if expired(m, w.duration, now) {
			due = append(due, Command{Kind: Expire, Duty: d, Term: m.term, Renewals: m.renewals})
		}
	}
	return due
}

func expired(m lastRenewal, duration, now time.Duration) bool { return now-m.seenAt >= duration }

// Fence rejects late effects. It runs wherever effects are accepted, and must be as durable as the state that they
// change.
type Fence struct{ highest map[Duty]Term }

// NewFence creates a fence from the saved terms, or an empty one if there are none.
func NewFence(seen map[Duty]Term) *Fence {
	return &Fence{highest: maps.Collect(maps.All(seen))}
}

// Admit reports whether an effect of term t may be accepted, and raises the fence to t. A new holder therefore raises
// the fence with its first effect. Where a duty tolerates no late effect of the previous holder, the new one sends an
// empty effect before it begins.
func (f *Fence) Admit(d Duty, t Term) bool {
	if t == 0 || t < f.highest[d] {
		return false
	}
	f.highest[d] = t
	return true
}

// HighestTerms returns a copy of the highest term accepted for each duty, to be saved.
func (f *Fence) HighestTerms() map[Duty]Term { return maps.Clone(f.highest) }
