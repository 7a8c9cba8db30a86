package lease

import (
	"errors"
	"time"
)

// Authority is who decides about a duty.
type Authority uint8

// The authorities. Counter stands on a shared counter that may lose names: then two limiters may hold a duty.
const (
	Quorum Authority = iota
	Counter
)

// ErrAdvisory refuses a duty that must have one holder on an authority that cannot promise it.
var ErrAdvisory = errors.New("the counter may lose names and make two holders: a duty that must have one needs a quorum")

// Allow tells whether a duty may stand on an authority.
func (a Authority) Allow(exclusive bool) error {
	if exclusive && a == Counter {
		return ErrAdvisory
	}
	return nil
}

// candidatesPerRound is how many limiters try for a duty in a round, beside the one that held it: the calls of a large fleet stay few.
const candidatesPerRound = 3

// AdvisoryHolder is a limiter's view of a duty whose authority is the shared counter. Time is cut into rounds of a life by a clock
// that all limiters read alike, within Drift. In each round some add one to the round's name: who is told 1 holds the duty
// for the rest of the round. A call whose answer is lost may have been the first: then nobody holds it in that round.
// The round, counted from one, is the term.
type AdvisoryHolder struct {
	rules           Rules
	rank, fleetSize int64
	lastCalledRound int64 // newest round in which it has called
	heldRound       int64
}

// NewAdvisoryHolder makes the view of the limiter with this rank in a fleet of so many.
func NewAdvisoryHolder(rules Rules, rank, fleet int) AdvisoryHolder {
	return AdvisoryHolder{rules: rules, rank: int64(rank), fleetSize: max(int64(fleet), 1), lastCalledRound: -1, heldRound: -1}
}

// NextRound tells the round whose name is to be added one to now, if any. In its first tenth the round is the last holder's.
func (b *AdvisoryHolder) NextRound(now time.Duration) (round int64, ok bool) {
	round = int64(now / b.rules.Duration)
	into := now % b.rules.Duration
	if b.lastCalledRound >= round || into < b.rules.MaxClockDrift || into >= b.rules.Duration-b.rules.MaxClockDrift {
		return 0, false
	}
	if again := b.heldRound >= 0 && b.heldRound == round-1; !again {
		place := ((b.rank-round*candidatesPerRound)%b.fleetSize + b.fleetSize) % b.fleetSize // the tickets go round the fleet
		if place >= candidatesPerRound || into < b.rules.MaxClockDrift+b.rules.Duration/10*time.Duration(1+place) {
			return 0, false
		}
	}
	b.lastCalledRound = round
	return round, true
}

// HandleTotal takes the counter's answer: the total after the addition. A call without an answer is not told.
func (b *AdvisoryHolder) HandleTotal(round int64, total float64) {
	if round == b.lastCalledRound && total == 1 {
		b.heldRound = round
	}
}

// MayAct tells whether the limiter may act now, and under which term.
func (b *AdvisoryHolder) MayAct(now time.Duration) (Term, bool) {
	round, into := int64(now/b.rules.Duration), now%b.rules.Duration
	return Term(round + 1), b.heldRound >= 0 && b.heldRound == round && into >= b.rules.MaxClockDrift && into < b.rules.Duration-b.rules.MaxClockDrift
}
