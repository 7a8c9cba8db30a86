package lease

import "time"

// Rules bound a lease.
type Rules struct {
	Life     time.Duration // without a renewal the register ends it after so long
	Drift    time.Duration // that two clocks may differ by over a life, at most
	Patience time.Duration // with an answer; then the same is asked anew
	Retry    time.Duration // between two attempts at a duty that another holds, at least; a spread comes on top
	MostLag  time.Duration // of the owner's loop: a limiter that lags by more gives its duties up and takes none
}

// Holder is a limiter's own view of one duty. It is a plain value: a copy is a snapshot.
type Holder struct {
	duty  Duty
	self  Life
	rules Rules

	term    Term          // held, or held last
	until   time.Duration // it may act before; 0: it holds nothing
	asked   time.Duration // when the ask that is out was made
	out     uint64        // its number; 0: none is out
	numbers uint64
	next    time.Duration // no attempt before
	ending  bool          // it gives up: no further effect, and nothing is asked but the release
	lags    bool          // the owner's loop does: it takes no duty
	drains  bool          // nor does a limiter that is about to stop
}

// NewHolder makes the view of one life of a limiter. It may ask at once.
func NewHolder(d Duty, self Life, rules Rules) Holder {
	return Holder{duty: d, self: self, rules: rules}
}

// May tells whether the limiter may act now, and under which term. It is asked before each effect, and the effect carries
// the term.
func (h *Holder) May(now time.Duration) (Term, bool) { return h.term, !h.ending && now < h.until }

// Ask is what is to be put to the register now, if anything. Its answer goes to Told with the number. One ask is out at a
// time; the answer to one that was given up is not heard.
func (h *Holder) Ask(now time.Duration) (Command, uint64, bool) {
	if h.out != 0 && now < h.asked+h.rules.Patience {
		return Command{}, 0, false
	}
	c := Command{Kind: Renew, Duty: h.duty, By: h.self, Term: h.term}
	_, may := h.May(now)
	switch {
	case h.ending:
		if c.Kind = Release; h.until == 0 {
			return Command{}, 0, false
		}
	case !may:
		// Also after its own end: the register may hold it yet, and then answers with the same term.
		if c.Kind, c.Term, h.until = Acquire, 0, 0; h.lags || h.drains || now < h.next {
			return Command{}, 0, false
		}
	case h.out == 0 && now < h.until-2*(h.rules.Life-h.rules.Drift)/3: // renewed at a third
		return Command{}, 0, false
	}
	h.numbers++
	h.out, h.asked = h.numbers, now // before it is sent: the life counts from here
	return c, h.out, true
}

// Told takes the register's answer to an ask. Spread, from 0 to 1, is drawn by the owner: attempts of many must not meet.
func (h *Holder) Told(now time.Duration, number uint64, g Grant, err error, spread float64) {
	if number == 0 || number != h.out {
		return
	}
	h.out = 0
	switch {
	case h.ending: // released, or no longer held
		h.until, h.ending = 0, false
	case err != nil || g.Holder != h.self || g.Term < h.term:
		h.until = 0
		h.next = now + h.rules.Retry + time.Duration(spread*float64(h.rules.Retry))
	default:
		h.term, h.until = g.Term, h.asked+h.rules.Life-h.rules.Drift
	}
}

// Given tells a successor that a duty was handed to it. It asks like any other, and is told the term that it was given: the
// message itself proves nothing, it may have lain for a while.
func (h *Holder) Given(now time.Duration) {
	h.next = min(h.next, now)
}

// Resign stops all effects at once and asks for the release. Others come first for a life.
func (h *Holder) Resign(now time.Duration) {
	h.ending = h.until != 0
	h.out = 0 // a renewal that is out would come too late
	h.next = now + h.rules.Life
}

// HandOver stops all effects at once and gives what is to be put to the register. If that is lost the duty ends by time.
func (h *Holder) HandOver(to Life, now time.Duration) (Command, bool) {
	term, may := h.May(now)
	h.until, h.out = 0, 0
	h.next = now + h.rules.Life // not at once again
	return Command{Kind: Transfer, Duty: h.duty, By: h.self, To: to, Term: term}, may
}

// Lag tells how late the owner's loop is. One that lags gives its duty up and takes none until it is in time again: it
// would renew in time and do nothing with it.
func (h *Holder) Lag(by, now time.Duration) {
	if late := by > h.rules.MostLag; late != h.lags {
		if h.lags = late; late {
			h.Resign(now)
		}
	}
}

// Drain ends it for good: a limiter that is about to stop holds nothing.
func (h *Holder) Drain(now time.Duration) {
	h.Resign(now)
	h.drains = true
}
