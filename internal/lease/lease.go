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

// Life is one life of a limiter: after a restart it is another.
type Life struct {
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
	Kind  Kind
	Duty  Duty
	By    Life
	To    Life // of Transfer: the successor
	Term  Term // held; of Acquire: none
	Beats uint64
}

// Grant is what stands of one duty.
type Grant struct {
	Holder Life   // the zero Life: nobody
	Term   Term   // of the newest grant, also after its end
	Beats  uint64 // renewals of this term: an end that crosses with one is void
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
	g, err := next(r.grants[c.Duty], c)
	if err == nil {
		r.grants[c.Duty] = g
	}
	return g, err
}

// next is what a command makes of a grant.
func next(g Grant, c Command) (Grant, error) {
	held := g.Holder != Life{} && g.Holder == c.By && g.Term == c.Term
	switch c.Kind {
	case Acquire:
		if g.Holder == c.By && c.By != (Life{}) { // its first answer was lost
			g.Beats++
			return g, nil
		}
		if g.Holder != (Life{}) {
			return g, ErrHeld
		}
		return Grant{Holder: c.By, Term: g.Term + 1}, nil
	case Expire:
		if g.Holder == (Life{}) || g.Term != c.Term || g.Beats != c.Beats {
			return g, ErrNotHeld
		}
		return Grant{Term: g.Term}, nil
	}
	if !held {
		return g, ErrNotHeld
	}
	switch c.Kind {
	case Renew:
		g.Beats++
		return g, nil
	case Release:
		return Grant{Term: g.Term}, nil
	case Transfer:
		if c.To == (Life{}) || c.To == c.By {
			return g, fmt.Errorf("hand over to %q: no other limiter", c.To.Name)
		}
		return Grant{Holder: c.To, Term: g.Term + 1}, nil
	}
	return g, fmt.Errorf("command %d is unknown", c.Kind)
}

// Watch has leases ended that are not renewed. It belongs to one term of leading the quorum.
type Watch struct {
	life  time.Duration
	marks map[Duty]mark
}

type mark struct {
	term  Term
	beats uint64
	since time.Duration
}

// NewWatch begins to lead now: what is held has a whole life from here, since when it was renewed last is not known.
func NewWatch(life time.Duration, r *Register, now time.Duration) *Watch {
	w := &Watch{life: life, marks: map[Duty]mark{}}
	for d := range r.grants {
		w.Applied(d, r.grants[d], now)
	}
	return w
}

// Applied tells of what stands after a command.
func (w *Watch) Applied(d Duty, g Grant, now time.Duration) {
	m, known := w.marks[d]
	switch {
	case g.Holder == (Life{}):
		delete(w.marks, d)
	case !known || m.term != g.Term || m.beats != g.Beats:
		w.marks[d] = mark{g.Term, g.Beats, now}
	}
}

// Due is the ends that are due, to be put to the register like any command. They are due until they are applied.
func (w *Watch) Due(now time.Duration) (ends []Command) {
	for d, m := range w.marks {
		if over(m, w.life, now) {
			ends = append(ends, Command{Kind: Expire, Duty: d, Term: m.term, Beats: m.beats})
		}
	}
	return ends
}

func over(m mark, life, now time.Duration) bool { return now-m.since >= life }

// Fence keeps late effects out. It stands where effects are taken, and is as lasting as what they change.
type Fence struct{ seen map[Duty]Term }

// NewFence makes a fence from the terms that were kept (nil: none).
func NewFence(seen map[Duty]Term) *Fence {
	return &Fence{seen: maps.Collect(maps.All(seen))}
}

// Take tells whether an effect of this term may be taken. A new holder's first effect raises the fence; where its duty
// allows no late effect of the one before, it raises the fence with an empty one before it begins.
func (f *Fence) Take(d Duty, t Term) bool {
	if t == 0 || t < f.seen[d] {
		return false
	}
	f.seen[d] = t
	return true
}

// Seen is a copy of the highest terms, to be kept.
func (f *Fence) Seen() map[Duty]Term { return maps.Clone(f.seen) }
