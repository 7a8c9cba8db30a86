package lease

import (
	"errors"
	"time"
)

// Authority is the kind of service that decides who holds a duty.
type Authority uint8

// The authorities. Counter is a shared counter that may lose its data; two limiters may then hold the same duty.
const (
	Quorum Authority = iota
	Counter
)

// ErrAdvisory reports that a duty which must have a single holder was placed on an authority that cannot guarantee it.
var ErrAdvisory = errors.New("the shared counter may lose data and allow two holders: an exclusive duty needs a quorum")

// Allow returns an error if a duty may not use this authority. exclusive means that the duty must never have two
// holders.
func (a Authority) Allow(exclusive bool) error {
	if exclusive && a == Counter {
		return ErrAdvisory
	}
	return nil
}

// candidatesPerRound is how many limiters compete for a duty in a round, in addition to the previous holder. It is
// small to keep the number of calls low in a large fleet.
const candidatesPerRound = 3

// AdvisoryHolder is a limiter's view of a duty whose authority is the shared counter. Time is divided into rounds of
// Rules.Duration by a clock that all limiters read alike to within Rules.MaxClockDrift. In each round, candidates add
// one to the counter's entry for the round; the limiter whose addition returns 1 holds the duty for the rest of the
// round. If an answer is lost, that call may have been the first, and then nobody holds the duty in that round.
//
// The term is the round, counted from one.
type AdvisoryHolder struct {
	rules           Rules
	rank, fleetSize int64
	lastCalledRound int64 // newest round in which this limiter has called the counter; -1: none
	heldRound       int64 // newest round in which this limiter held the duty; -1: none
}

// NewAdvisoryHolder creates the view of the limiter with this rank in a fleet of the given size.
func NewAdvisoryHolder(rules Rules, rank, fleetSize int) AdvisoryHolder {
	return AdvisoryHolder{rules: rules, rank: int64(rank), fleetSize: max(int64(fleetSize), 1), lastCalledRound: -1, heldRound: -1}
}

// NextRound returns the round whose counter entry this limiter should add one to now, if any. Only the previous holder
// may call in the first tenth of a round.
func (h *AdvisoryHolder) NextRound(now time.Duration) (round int64, ok bool) {
	round = int64(now / h.rules.Duration)
	elapsed := now % h.rules.Duration
	if h.lastCalledRound >= round || elapsed < h.rules.MaxClockDrift || elapsed >= h.rules.Duration-h.rules.MaxClockDrift {
		return 0, false
	}
	if renewing := h.heldRound >= 0 && h.heldRound == round-1; !renewing {
		place := ((h.rank-round*candidatesPerRound)%h.fleetSize + h.fleetSize) % h.fleetSize // candidates rotate through the fleet
		if place >= candidatesPerRound || elapsed < h.rules.MaxClockDrift+h.rules.Duration/10*time.Duration(1+place) {
			return 0, false
		}
	}
	h.lastCalledRound = round
	return round, true
}

// HandleTotal processes the counter's answer, the total after the addition. It is not called for calls that got no
// answer.
func (h *AdvisoryHolder) HandleTotal(round int64, total float64) {
	if round == h.lastCalledRound && total == 1 {
		h.heldRound = round
	}
}

// MayAct reports whether the limiter may act now, and under which term.
func (h *AdvisoryHolder) MayAct(now time.Duration) (Term, bool) {
	round, elapsed := int64(now/h.rules.Duration), now%h.rules.Duration
	return Term(round + 1), h.heldRound >= 0 && h.heldRound == round && elapsed >= h.rules.MaxClockDrift && elapsed < h.rules.Duration-h.rules.MaxClockDrift
}
