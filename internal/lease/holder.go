package lease

import "time"

// Rules bound a lease.
type Rules struct {
	Duration      time.Duration // without a renewal the register ends it after so long
	MaxClockDrift time.Duration // that two clocks may differ by over a life, at most
	AnswerTimeout time.Duration // with an answer; then the same is asked anew
	RetryDelay    time.Duration // between two attempts at a duty that another holds, at least; a spread comes on top
	MaxLoopLag    time.Duration // of the owner's loop: a limiter that lags by more gives its duties up and takes none
}

// Holder is a limiter's own view of one duty. It is a plain value: a copy is a snapshot.
type Holder struct {
	duty  Duty
	self  Instance
	rules Rules

	term       Term          // held, or held last
	heldUntil  time.Duration // it may act before; 0: it holds nothing
	askedAt    time.Duration // when the ask that is out was made
	pendingAsk uint64        // its number; 0: none is out
	lastAsk    uint64
	notBefore  time.Duration // no attempt before
	releasing  bool          // it gives up: no further effect, and nothing is asked but the release
	lagging    bool          // the owner's loop does: it takes no duty
	draining   bool          // nor does a limiter that is about to stop
}

// NewHolder makes the view of one life of a limiter. It may ask at once.
func NewHolder(d Duty, self Instance, rules Rules) Holder {
	return Holder{duty: d, self: self, rules: rules}
}

// MayAct tells whether the limiter may act now, and under which term. It is asked before each effect, and the effect carries
// the term.
func (h *Holder) MayAct(now time.Duration) (Term, bool) {
	return h.term, !h.releasing && now < h.heldUntil
}

// NextCommand is what is to be put to the register now, if anything. Its answer goes to Told with the number. One ask is out at a
// time; the answer to one that was given up is not heard.
func (h *Holder) NextCommand(now time.Duration) (Command, uint64, bool) {
	if h.pendingAsk != 0 && now < h.askedAt+h.rules.AnswerTimeout {
		return Command{}, 0, false
	}
	c := Command{Kind: Renew, Duty: h.duty, By: h.self, Term: h.term}
	_, may := h.MayAct(now)
	switch {
	case h.releasing:
		if c.Kind = Release; h.heldUntil == 0 {
			return Command{}, 0, false
		}
	case !may:
		// Also after its own end: the register may hold it yet, and then answers with the same term.
		if c.Kind, c.Term, h.heldUntil = Acquire, 0, 0; h.lagging || h.draining || now < h.notBefore {
			return Command{}, 0, false
		}
	case h.pendingAsk == 0 && now < h.heldUntil-2*(h.rules.Duration-h.rules.MaxClockDrift)/3: // renewed at a third
		return Command{}, 0, false
	}
	h.lastAsk++
	h.pendingAsk, h.askedAt = h.lastAsk, now // before it is sent: the life counts from here
	return c, h.pendingAsk, true
}

// HandleGrant takes the register's answer to an ask. Spread, from 0 to 1, is drawn by the owner: attempts of many must not meet.
func (h *Holder) HandleGrant(now time.Duration, number uint64, g Grant, err error, spread float64) {
	if number == 0 || number != h.pendingAsk {
		return
	}
	h.pendingAsk = 0
	switch {
	case h.releasing: // released, or no longer held
		h.heldUntil, h.releasing = 0, false
	case err != nil || g.Holder != h.self || g.Term < h.term:
		h.heldUntil = 0
		h.notBefore = now + h.rules.RetryDelay + time.Duration(spread*float64(h.rules.RetryDelay))
	default:
		h.term, h.heldUntil = g.Term, h.askedAt+h.rules.Duration-h.rules.MaxClockDrift
	}
}

// NotifyTransfer tells a successor that a duty was handed to it. It asks like any other, and is told the term that it was given: the
// message itself proves nothing, it may have lain for a while.
func (h *Holder) NotifyTransfer(now time.Duration) {
	h.notBefore = min(h.notBefore, now)
}

// Resign stops all effects at once and asks for the release. Others come first for a life.
func (h *Holder) Resign(now time.Duration) {
	h.releasing = h.heldUntil != 0
	h.pendingAsk = 0 // a renewal that is out would come too late
	h.notBefore = now + h.rules.Duration
}

// Transfer stops all effects at once and gives what is to be put to the register. If that is lost the duty ends by time.
func (h *Holder) Transfer(to Instance, now time.Duration) (Command, bool) {
	term, may := h.MayAct(now)
	h.heldUntil, h.pendingAsk = 0, 0
	h.notBefore = now + h.rules.Duration // not at once again
	return Command{Kind: Transfer, Duty: h.duty, By: h.self, To: to, Term: term}, may
}

// ReportLag tells how late the owner's loop is. One that lags gives its duty up and takes none until it is in time again: it
// would renew in time and do nothing with it.
func (h *Holder) ReportLag(by, now time.Duration) {
	if late := by > h.rules.MaxLoopLag; late != h.lagging {
		if h.lagging = late; late {
			h.Resign(now)
		}
	}
}

// Drain ends it for good: a limiter that is about to stop holds nothing.
func (h *Holder) Drain(now time.Duration) {
	h.Resign(now)
	h.draining = true
}
