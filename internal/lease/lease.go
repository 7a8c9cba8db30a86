// Package lease gives duties that one limiter of a fleet holds at a time. It is pure: no I/O, no goroutine and no clock;
// whoever owns a part tells it the time of its own monotonic clock and carries what it asks for.
//
// Four parts make one lease:
//
//   - Register: who holds what, and under which term. It is the state machine that a quorum agrees on: the same commands in
//     the same order give the same grants. It knows no time.
//   - Watch: the clock beside the register, at the member that leads the quorum. It has a lease ended that was not renewed
//     for a life, counted from when the leader saw the renewal, or from when it began to lead.
//   - Holder: a limiter's own view. It counts a life from before it asked, less the drift of clocks, so it stops before the
//     watch may end its lease, whatever became of the messages.
//   - Fence: at whoever takes an effect. A holder that was stopped between its check and its effect believes nothing wrong,
//     and yet is late; its effect is turned down by its term.
//
// Bounds: the holder stops in time as long as two clocks differ by less than Drift over a life. Beyond that two limiters may
// believe that they hold a duty; the fence still keeps the order of terms.
package lease

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// Duty names a piece of work that one limiter does.
type Duty string

// Term numbers the grants of a duty, from 1. No number is given twice.
type Term uint64

// Instance is one life of a limiter: after a restart it is another.
type Instance struct {
	Name  string
	Epoch uint64
}

// Kind says what a command does.
type Kind uint8

// The kinds. Only Expire comes from the register's own watch.
const (
	Acquire Kind = iota
	Renew
	Release
	Transfer
	Expire
)

// Command is a wish to the register.
type Command struct {
	Kind     Kind
	Duty     Duty
	By       Instance
	To       Instance // of Transfer: the successor
	Term     Term     // held; of Acquire: none
	Renewals uint64
}

// Grant is what stands of one duty.
type Grant struct {
	Holder   Instance // the zero Life: nobody
	Term     Term     // of the newest grant, also after its end
	Renewals uint64   // renewals of this term: an end that crosses with one is void
}

// The register's refusals.
var (
	ErrHeld    = errors.New("another limiter holds the duty")
	ErrNotHeld = errors.New("the duty is not held under this term")
)

// Register is the state of all duties. The zero value is not ready: use NewRegister.
type Register struct{ grants map[Duty]Grant }

// NewRegister makes a register from the grants of a snapshot (nil: none). Terms go on from there.
func NewRegister(grants map[Duty]Grant) *Register {
	return &Register{grants: maps.Collect(maps.All(grants))}
}

// Grants is a copy of all that stands.
func (r *Register) Grants() map[Duty]Grant { return maps.Clone(r.grants) }

// Grant is what stands of a duty.
func (r *Register) Grant(d Duty) Grant { return r.grants[d] }

// Apply takes a command and tells what stands then. A command that comes twice has one effect.
func (r *Register) Apply(c Command) (Grant, error) {
	g, err := transition(r.grants[c.Duty], c)
	if err == nil {
		r.grants[c.Duty] = g
	}
	return g, err
}

// transition is what a command makes of a grant.
func transition(g Grant, c Command) (Grant, error) {
	held := g.Holder != Instance{} && g.Holder == c.By && g.Term == c.Term
	switch c.Kind {
	case Acquire:
		if g.Holder == c.By && c.By != (Instance{}) { // its first answer was lost
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
			return g, fmt.Errorf("hand over to %q: no other limiter", c.To.Name)
		}
		return Grant{Holder: c.To, Term: g.Term + 1}, nil
	}
	return g, fmt.Errorf("command %d is unknown", c.Kind)
}

// ExpiryWatch has leases ended that are not renewed. It belongs to one term of leading the quorum.
type ExpiryWatch struct {
	duration time.Duration
	renewals map[Duty]lastRenewal
}

type lastRenewal struct {
	term     Term
	renewals uint64
	seenAt   time.Duration
}

// NewExpiryWatch begins to lead now: what is held has a whole life from here, since when it was renewed last is not known.
func NewExpiryWatch(life time.Duration, r *Register, now time.Duration) *ExpiryWatch {
	w := &ExpiryWatch{duration: life, renewals: map[Duty]lastRenewal{}}
	for d := range r.grants {
		w.Observe(d, r.grants[d], now)
	}
	return w
}

// Observe tells of what stands after a command.
func (w *ExpiryWatch) Observe(d Duty, g Grant, now time.Duration) {
	m, known := w.renewals[d]
	switch {
	case g.Holder == (Instance{}):
		delete(w.renewals, d)
	case !known || m.term != g.Term || m.renewals != g.Renewals:
		w.renewals[d] = lastRenewal{g.Term, g.Renewals, now}
	}
}

// DueExpirations is the ends that are due, to be put to the register like any command. They are due until they are applied.
func (w *ExpiryWatch) DueExpirations(now time.Duration) (ends []Command) {
	for d, m := range w.renewals {
		if expired(m, w.duration, now) {
			ends = append(ends, Command{Kind: Expire, Duty: d, Term: m.term, Renewals: m.renewals})
		}
	}
	return ends
}

func expired(m lastRenewal, life, now time.Duration) bool { return now-m.seenAt >= life }

// Fence keeps late effects out. It stands where effects are taken, and is as lasting as what they change.
type Fence struct{ highest map[Duty]Term }

// NewFence makes a fence from the terms that were kept (nil: none).
func NewFence(seen map[Duty]Term) *Fence {
	return &Fence{highest: maps.Collect(maps.All(seen))}
}

// Admit tells whether an effect of this term may be taken. A new holder's first effect raises the fence; where its duty
// allows no late effect of the one before, it raises the fence with an empty one before it begins.
func (f *Fence) Admit(d Duty, t Term) bool {
	if t == 0 || t < f.highest[d] {
		return false
	}
	f.highest[d] = t
	return true
}

// HighestTerms is a copy of the highest terms, to be kept.
func (f *Fence) HighestTerms() map[Duty]Term { return maps.Clone(f.highest) }
