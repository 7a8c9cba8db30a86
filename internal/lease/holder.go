package lease

import "time"

// Rules are the time limits of a lease.
type Rules struct {
	Duration      time.Duration // the register ends a lease that was not renewed for this long
	MaxClockDrift time.Duration // maximum difference between two clocks over one Duration
	AnswerTimeout time.Duration // time to wait for an answer before asking again
	RetryDelay    time.Duration // minimum time between attempts at a duty that another limiter holds; jitter is added
	MaxLoopLag    time.Duration // a limiter whose event loop is later than this releases its duties and takes none
}

// Holder is a limiter's own view of one duty. It is a plain value: a copy is a snapshot.
type Holder struct {
	duty  Duty
	self  Instance
	rules Rules

	term           Term          // the current term, or the last one held
	heldUntil      time.Duration // the limiter may act before this time; 0: the duty is not held
	requestedAt    time.Duration // when the pending request was made
	pendingRequest uint64        // number of the pending request; 0: none is pending
	lastRequest    uint64        // number of the last request sent
	notBefore      time.Duration // earliest time of the next attempt to acquire
	releasing      bool          // releasing: no further effects, and only Release is sent
	lagging        bool          // the event loop is late: no duty is acquired
	draining       bool          // the limiter is about to stop: no duty is acquired
}

// NewHolder creates the view of one instance of a limiter. It may send its first request at once.
func NewHolder(duty Duty, self Instance, rules Rules) Holder {
	return Holder{duty: duty, self: self, rules: rules}
}

// MayAct reports whether the limiter may act now, and under which term. Call it before each effect, and send the term
// with the effect.
func (h *Holder) MayAct(now time.Duration) (Term, bool) {
	return h.term, !h.releasing && now < h.heldUntil
}

// NextCommand returns the command to send to the register now, if any, and its number. Pass the answer to HandleGrant
// with that number. One request is pending at a time; the answer to a request that was given up is ignored.
func (h *Holder) NextCommand(now time.Duration) (Command, uint64, bool) {
	if h.pendingRequest != 0 && now < h.requestedAt+h.rules.AnswerTimeout {
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
		// A holder also acquires again after its own end of the lease: the register may still count it as holder, and
		// then answers with the same term.
		if c.Kind, c.Term, h.heldUntil = Acquire, 0, 0; h.lagging || h.draining || now < h.notBefore {
			return Command{}, 0, false
		}
	case h.pendingRequest == 0 && now < h.heldUntil-2*(h.rules.Duration-h.rules.MaxClockDrift)/3: // renew once a third of the usable time has passed
		return Command{}, 0, false
	}
	h.lastRequest++
	h.pendingRequest, h.requestedAt = h.lastRequest, now // taken before sending: the lease duration counts from here
	return c, h.pendingRequest, true
}

// HandleGrant processes the register's answer to the request with this number. spread, from 0 to 1, is a random number
// drawn by the owner; it scales the jitter that keeps the attempts of many limiters apart.
func (h *Holder) HandleGrant(now time.Duration, number uint64, g Grant, err error, spread float64) {
	if number == 0 || number != h.pendingRequest {
		return
	}
	h.pendingRequest = 0
	switch {
	case h.releasing: // the answer to Release: released now, or no longer held before
		h.heldUntil, h.releasing = 0, false
	case err != nil || g.Holder != h.self || g.Term < h.term:
		h.heldUntil = 0
		h.notBefore = now + h.rules.RetryDelay + time.Duration(spread*float64(h.rules.RetryDelay))
	default:
		h.term, h.heldUntil = g.Term, h.requestedAt+h.rules.Duration-h.rules.MaxClockDrift
	}
}

// NotifyTransfer tells the successor that a duty was transferred to it. It then sends Acquire like any other limiter
// and is answered with the term that it was given. The notification itself proves nothing, because it may have been
// delayed.
func (h *Holder) NotifyTransfer(now time.Duration) {
	h.notBefore = min(h.notBefore, now)
}

// Resign stops all effects at once and requests the release of the duty. This limiter does not try again for one lease
// duration, so that others come first.
func (h *Holder) Resign(now time.Duration) {
	h.releasing = h.heldUntil != 0
	h.pendingRequest = 0 // the answer to a pending renewal would come too late
	h.notBefore = now + h.rules.Duration
}

// Transfer stops all effects at once and returns the command to send to the register. If the command is lost, the
// lease expires.
func (h *Holder) Transfer(to Instance, now time.Duration) (Command, bool) {
	term, may := h.MayAct(now)
	h.heldUntil, h.pendingRequest = 0, 0
	h.notBefore = now + h.rules.Duration // do not compete with the successor
	return Command{Kind: Transfer, Duty: h.duty, By: h.self, To: to, Term: term}, may
}

// ReportLag records how late the owner's event loop runs. A limiter that lags releases its duty and acquires none
// until it is on time again: it would keep renewing the lease and do no work under it.
func (h *Holder) ReportLag(by, now time.Duration) {
	if late := by > h.rules.MaxLoopLag; late != h.lagging {
		if h.lagging = late; late {
			h.Resign(now)
		}
	}
}

// Drain releases the duty permanently: a limiter that is about to stop holds nothing.
func (h *Holder) Drain(now time.Duration) {
	h.Resign(now)
	h.draining = true
}
