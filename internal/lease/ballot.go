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

// tickets is how many limiters try for a duty in a round, beside the one that held it: the calls of a large fleet stay few.
const tickets = 3

// Ballot is a limiter's view of a duty whose authority is the shared counter. Time is cut into rounds of a life by a clock
// that all limiters read alike, within Drift. In each round some add one to the round's name: who is told 1 holds the duty
// for the rest of the round. A call whose answer is lost may have been the first: then nobody holds it in that round.
// The round, counted from one, is the term.
type Ballot struct {
	rules       Rules
	rank, fleet int64
	tried       int64 // newest round in which it has called
	won         int64
}

// NewBallot makes the view of the limiter with this rank in a fleet of so many.
func NewBallot(rules Rules, rank, fleet int) Ballot {
	return Ballot{rules: rules, rank: int64(rank), fleet: max(int64(fleet), 1), tried: -1, won: -1}
}

// Ask tells the round whose name is to be added one to now, if any. In its first tenth the round is the last holder's.
func (b *Ballot) Ask(now time.Duration) (round int64, ok bool) {
	round = int64(now / b.rules.Life)
	into := now % b.rules.Life
	if b.tried >= round || into < b.rules.Drift || into >= b.rules.Life-b.rules.Drift {
		return 0, false
	}
	if again := b.won >= 0 && b.won == round-1; !again {
		place := ((b.rank-round*tickets)%b.fleet + b.fleet) % b.fleet // the tickets go round the fleet
		if place >= tickets || into < b.rules.Drift+b.rules.Life/10*time.Duration(1+place) {
			return 0, false
		}
	}
	b.tried = round
	return round, true
}

// Told takes the counter's answer: the total after the addition. A call without an answer is not told.
func (b *Ballot) Told(round int64, total float64) {
	if round == b.tried && total == 1 {
		b.won = round
	}
}

// May tells whether the limiter may act now, and under which term.
func (b *Ballot) May(now time.Duration) (Term, bool) {
	round, into := int64(now/b.rules.Life), now%b.rules.Life
	return Term(round + 1), b.won >= 0 && b.won == round && into >= b.rules.Drift && into < b.rules.Life-b.rules.Drift
}
