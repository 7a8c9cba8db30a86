package model

import (
	"math"
	"math/rand/v2"
	"time"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// firm is a member firm that comes again and again.
type firm struct {
	w             *World
	id            uint64
	tier          int
	demand        float64 // requests a second
	floodDemand   float64 // beside it, in a flood
	spread        int
	firstLimiter  int
	busiestOffset int // place in its set of the limiter that most come through
	rng           *rand.Rand
	next          time.Duration
	arrivalSeq    uint64 // of the arrivals planned: one planned before a change of rate is not taken
	stopped       bool
	ledger        *ledger
}

// FirmSpec is a firm as it is drawn for a seed.
type FirmSpec struct {
	ID            uint64
	Tier          int
	Demand        float64 // requests a second
	Spread, First int
}

// DrawFirms draws a scenario's firms for a seed.
func DrawFirms(s Scenario, seed uint64) (list []FirmSpec) {
	rng := newRand(seed, "firms", 0)
	k := s.Firms
	for n := range k.Count {
		tier, x := 0, rng.Float64()
		for tier < len(s.TierShares)-1 && x >= s.TierShares[tier] {
			x -= s.TierShares[tier]
			tier++
		}
		f := FirmSpec{ID: mixBits(seed+uint64(n)*0x9e3779b97f4a7c15) >> 31, Tier: tier,
			Spread: min(max(1, int(k.Spread.draw(rng)+0.5)), s.Limiters), First: rng.IntN(s.Limiters)}
		use := k.QuotaUse.draw(rng)
		switch y := rng.Float64(); {
		case y < k.OverQuotaShare:
			use = k.OverQuotaFactor.draw(rng)
		case y < k.OverQuotaShare+k.NearQuotaShare:
			use = 0.85 + 0.1*rng.Float64()
		}
		f.Demand = use * s.Tiers[tier].Rate / s.Units.Mean
		list = append(list, f)
	}
	return list
}

// DrawWork draws the mean work of each class for a seed, in seconds of one core.
func DrawWork(s Scenario, seed uint64) (means []float64) {
	draw := newRand(seed, "classes", 0)
	for _, c := range s.Classes {
		means = append(means, c.WorkMS.draw(draw)/1000)
	}
	return means
}

// Work draws a request's work round a mean.
func (k NodeKind) Work(rng *rand.Rand, mean float64) float64 { return drawGamma(rng, mean, k.WorkCV2) }

func (w *World) createFirms() {
	for n, spec := range DrawFirms(w.s, w.seed) {
		f := &firm{w: w, id: spec.ID, tier: spec.Tier, demand: spec.Demand, spread: spec.Spread, firstLimiter: spec.First,
			rng: newRand(w.seed, "firm", n), ledger: newLedger(w.s.Tiers[spec.Tier])}
		w.firms = append(w.firms, f)
		f.scheduleArrival()
		f.moveBusiestLimiter()
	}
	w.scheduleOneOff()
}

// shift moves the firm's busiest limiter now and then.
func (f *firm) moveBusiestLimiter() {
	f.busiestOffset = f.rng.IntN(f.spread)
	f.w.sim.After(seconds(max(f.w.s.Firms.ShiftS.draw(f.rng), 0.1)), func() {
		if !f.stopped {
			f.moveBusiestLimiter()
		}
	})
}

// again plans the next arrival.
func (f *firm) scheduleArrival() {
	f.arrivalSeq++
	seq := f.arrivalSeq
	rate := f.demand + f.floodDemand
	f.w.sim.After(seconds(f.rng.ExpFloat64()/max(rate, 1e-3)), func() {
		if f.stopped || seq != f.arrivalSeq {
			return
		}
		f.w.arrive(f, f.rng)
		f.scheduleArrival()
	})
}

// oneOffs plans the next sender that comes once.
func (w *World) scheduleOneOff() {
	rate := w.s.Firms.OneOffsPerSecond + w.floodRate
	if rate <= 0 {
		return
	}
	w.oneOffSeq++
	seq := w.oneOffSeq
	if w.oneOffRand == nil {
		w.oneOffRand = newRand(w.seed, "scan", 0)
	}
	w.sim.After(seconds(w.oneOffRand.ExpFloat64()/rate), func() {
		if seq != w.oneOffSeq {
			return
		}
		w.oneOffsSent++
		f := &firm{w: w, id: mixBits(w.seed^w.oneOffsSent*0xbf58476d1ce4e5b9) >> 31, spread: min(2, w.s.Limiters), firstLimiter: w.oneOffRand.IntN(w.s.Limiters),
			ledger: newLedger(w.s.Tiers[0])}
		w.arrive(f, w.oneOffRand)
		w.scheduleOneOff()
	})
}

// request is one try of a client, and the origin of its request context.
type request struct {
	w            *World
	f            *firm
	l            *limiter
	incarnation  int
	id           uint64
	class        int
	units        float64
	retriesLeft  int // retries
	firstSentAt  time.Duration
	sentAt       time.Duration // this try was sent
	firstTry     *request      // the client's first try
	expiresAt    time.Duration
	drawnWork    []float64
	attempts     int // attempts that were sent
	ended        bool
	delivered    bool // an attempt has come whole
	possibleRuns int  // attempts that may have run
	firstRunHall int  // of the first that may have
	firstRunAt   time.Duration
	sentInQuota  bool // inside the quota, as sent on
	askedInQuota bool // inside the quota, as asked for: counted with the first try
	rng          *rand.Rand
	trace        []string
}

func (w *World) arrive(f *firm, rng *rand.Rand) {
	class, x := 0, rng.Float64()
	for class < len(w.classes)-1 && x >= w.classes[class].Share {
		x -= w.classes[class].Share
		class++
	}
	r := &request{w: w, f: f, class: class, units: 1, retriesLeft: w.s.Clients.Retries, firstSentAt: w.sim.now, rng: rng}
	r.firstTry = r
	if u := w.s.Units; u.Most > 1 {
		r.units = min(max(1, math.Round(r.workAt(0)/w.classes[class].mean*u.Mean)), float64(u.Most))
	}
	r.askedInQuota = f.ledger.takeAsked(w.sim.now, r.units)
	w.audit.recordRequest(r)
	r.send()
}

// send sends the try to one of the firm's limiters that the front takes for up.
func (r *request) send() {
	w, f := r.w, r.f
	w.lastRequestID++
	r.id = w.lastRequestID
	k := f.busiestOffset
	if r.rng.Float64() >= w.s.Firms.Skew {
		k = r.rng.IntN(f.spread)
	}
	for n := range f.spread {
		r.l = w.limiters[(f.firstLimiter+(k+n)%f.spread)%len(w.limiters)]
		if r.l.up || w.sim.now < r.l.downDetectedAt {
			break
		}
	}
	deadline := seconds(w.classes[r.class].Deadline)
	r.expiresAt = min(r.firstSentAt+deadline, w.sim.now+seconds(deadline.Seconds()*w.s.Clients.GiveUp.draw(r.rng)))
	if r.firstTry == r {
		r.expiresAt = w.sim.now + seconds(deadline.Seconds()*max(w.s.Clients.GiveUp[1], 0.1))
	}
	if !r.l.up {
		w.sim.After(time.Millisecond, func() { r.retry(false, 0) })
		return
	}
	r.incarnation, r.sentAt = r.l.incarnation, w.sim.now
	r.l.openRequests[r] = struct{}{}
	w.audit.recordTry(r)
	r.l.dispatch(core.RequestContext{Request: logic.Request{ID: r.id, Class: r.class, Plan: f.tier, Customer: f.id, TTL: r.expiresAt - w.sim.now,
		Units: r.units, Spread: f.spread, First: f.firstLimiter, Repeat: r.firstTry != r && w.s.Clients.MarksRetries}, Origin: r})
	w.sim.At(r.expiresAt, func() {
		if !r.ended {
			r.l.dispatch(core.ClientGone{ID: r.id})
		}
	})
	w.sim.At(r.expiresAt+58*time.Millisecond, func() {
		if r.ended || !r.l.up || r.l.incarnation != r.incarnation {
			return
		}
		// One that stands still can answer nothing, and cannot know how long what came meanwhile has waited unread.
		if r.l.stalledUntil < r.expiresAt && r.l.stalledUntil < r.sentAt {
			w.audit.recordViolation(r, "no final answer in time")
		}
		if r.markEnded(); w.audit.afterWarmup(r) {
			w.audit.r.UnreadTries++
		}
	})
}

// workAt is the work of an attempt: the same for each, since it is the same request.
func (r *request) workAt(int) float64 {
	if len(r.drawnWork) == 0 {
		r.drawnWork = append(r.drawnWork, drawGamma(r.rng, r.w.classes[r.class].mean, r.w.s.Node.WorkCV2))
	}
	return r.drawnWork[0]
}

// over marks the final answer; false: there was one already.
func (r *request) markEnded() bool {
	if r.ended {
		return false
	}
	r.ended = true
	delete(r.l.openRequests, r)
	return true
}

// answered marks the final answer. One that comes when nobody waits any more, since the limiter stood still, is none.
func (r *request) markAnswered() bool {
	if r.markEnded() {
		return true
	}
	if r.w.sim.now <= r.expiresAt {
		r.w.audit.recordViolation(r, "a second final answer")
	}
	return false
}

// Served implements core.Origin.
func (r *request) Served(any) {
	if !r.markAnswered() {
		return
	}
	r.w.audit.recordServed(r)
}

// Admitted implements core.Origin.
func (r *request) Admitted() { r.Failed() }

// Rejected implements core.Origin.
func (r *request) Rejected(after time.Duration) {
	if !r.markAnswered() {
		return
	}
	r.w.audit.recordRefused(r)
	r.retry(true, after)
}

// Failed implements core.Origin.
func (r *request) Failed() {
	if !r.markAnswered() {
		return
	}
	r.w.audit.recordFailed(r)
	r.retry(false, 0)
}

// cut is the end of a request whose limiter died.
func (r *request) loseLimiter() {
	if r.ended {
		return
	}
	r.ended = true
	r.w.audit.recordLost(r)
	r.retry(false, 0)
}

// close lets the client try again, where it may and will.
func (r *request) retry(safeToRepeat bool, after time.Duration) {
	c := r.w.classes[r.class]
	if r.retriesLeft <= 0 || (c.Keyed || c.UnsafeToRepeat) && !safeToRepeat && r.delivered {
		return
	}
	wait := seconds(r.w.s.Clients.Wait.draw(r.rng))
	if safeToRepeat && after > 0 && r.rng.Float64() < r.w.s.Clients.Honour {
		wait = max(after, 0)
	}
	if r.w.sim.now+wait >= r.firstSentAt+seconds(c.Deadline) {
		return
	}
	next := &request{w: r.w, f: r.f, class: r.class, units: r.units, retriesLeft: r.retriesLeft - 1, firstSentAt: r.firstSentAt, firstTry: r.firstTry, drawnWork: r.drawnWork, rng: r.rng}
	r.w.sim.After(wait, next.send)
}
