package model

import (
	"math"
	"math/rand/v2"
	"time"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// firm is a member firm with a steady load, or a one-off firm that sends a single request.
type firm struct {
	w             *World
	id            uint64
	tier          int
	demand        float64 // requests a second
	floodDemand   float64 // requests a second that a flood adds
	spread        int
	firstLimiter  int
	busiestOffset int // the limiter that most of its requests come through, counted from firstLimiter
	rng           *rand.Rand
	next          time.Duration
	arrivalSeq    uint64 // number of the last scheduled arrival; arrivals scheduled before a change of rate are dropped
	stopped       bool
	ledger        *ledger
}

// FirmSpec is the part of a firm that is drawn from the seed.
type FirmSpec struct {
	ID            uint64
	Tier          int
	Demand        float64 // requests a second
	Spread, First int
}

// DrawFirms draws the firms of a scenario for a seed.
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

// Work draws the work of a request, given the mean.
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

// moveBusiestLimiter draws the firm's busiest limiter, and schedules the next draw.
func (f *firm) moveBusiestLimiter() {
	f.busiestOffset = f.rng.IntN(f.spread)
	f.w.sim.After(seconds(max(f.w.s.Firms.ShiftSeconds.draw(f.rng), 0.1)), func() {
		if !f.stopped {
			f.moveBusiestLimiter()
		}
	})
}

// scheduleArrival schedules the firm's next request and drops the one that was scheduled before.
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

// scheduleOneOff schedules the next firm that sends a single request.
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

// request is one try of a client, and the origin of its request context. A retry is a request of its own.
type request struct {
	w            *World
	firm         *firm
	limiter      *limiter
	incarnation  int
	id           uint64
	class        int
	units        float64
	retriesLeft  int
	firstSentAt  time.Duration // of the client's first try
	sentAt       time.Duration // of this try
	firstTry     *request      // itself for a first try
	expiresAt    time.Duration // when the client stops waiting
	drawnWork    []float64     // seconds of one core; empty until drawn, then one value
	attempts     int           // attempts that the limiter started
	ended        bool
	delivered    bool // a node has received an attempt whole
	possibleRuns int  // attempts that may have been processed
	firstRunHall int  // hall of the first attempt that may have been processed
	firstRunAt   time.Duration
	sentInQuota  bool // within the quota by the units sent to nodes
	askedInQuota bool // within the quota by the units that clients asked for, which first tries alone count towards
	rng          *rand.Rand
	trace        []string
}

// arrive creates and sends the first try of a request.
func (w *World) arrive(f *firm, rng *rand.Rand) {
	class, x := 0, rng.Float64()
	for class < len(w.classes)-1 && x >= w.classes[class].Share {
		x -= w.classes[class].Share
		class++
	}
	r := &request{w: w, firm: f, class: class, units: 1, retriesLeft: w.s.Clients.Retries, firstSentAt: w.sim.now, rng: rng}
	r.firstTry = r
	if u := w.s.Units; u.Max > 1 {
		r.units = min(max(1, math.Round(r.workAt(0)/w.classes[class].mean*u.Mean)), float64(u.Max))
	}
	r.askedInQuota = f.ledger.takeAsked(w.sim.now, r.units)
	w.audit.recordRequest(r)
	r.send()
}

// send sends the try to one of the firm's limiters that the front believes to be up.
func (r *request) send() {
	w, f := r.w, r.firm
	w.lastRequestID++
	r.id = w.lastRequestID
	k := f.busiestOffset
	if r.rng.Float64() >= w.s.Firms.BusiestLimiterShare {
		k = r.rng.IntN(f.spread)
	}
	for n := range f.spread {
		r.limiter = w.limiters[(f.firstLimiter+(k+n)%f.spread)%len(w.limiters)]
		if r.limiter.up || w.sim.now < r.limiter.downDetectedAt {
			break
		}
	}
	deadline := seconds(w.classes[r.class].DeadlineSeconds)
	r.expiresAt = min(r.firstSentAt+deadline, w.sim.now+seconds(deadline.Seconds()*w.s.Clients.GiveUpShare.draw(r.rng)))
	if r.firstTry == r {
		r.expiresAt = w.sim.now + seconds(deadline.Seconds()*max(w.s.Clients.GiveUpShare[1], 0.1))
	}
	if !r.limiter.up {
		w.sim.After(time.Millisecond, func() { r.retry(false, 0) })
		return
	}
	r.incarnation, r.sentAt = r.limiter.incarnation, w.sim.now
	r.limiter.openRequests[r] = struct{}{}
	w.audit.recordTry(r)
	r.limiter.dispatch(core.RequestContext{Request: logic.Request{ID: r.id, Class: r.class, Plan: f.tier, Customer: f.id, TTL: r.expiresAt - w.sim.now,
		Units: r.units, Spread: f.spread, FirstGateway: f.firstLimiter, Repeat: r.firstTry != r && w.s.Clients.MarksRetries}, Origin: r})
	w.sim.At(r.expiresAt, func() {
		if !r.ended {
			r.limiter.dispatch(core.ClientGone{ID: r.id})
		}
	})
	w.sim.At(r.expiresAt+58*time.Millisecond, func() {
		if r.ended || !r.limiter.up || r.limiter.incarnation != r.incarnation {
			return
		}
		// A stalled limiter cannot answer, nor can it know how long requests that arrived meanwhile have waited unread.
		if r.limiter.stalledUntil < r.expiresAt && r.limiter.stalledUntil < r.sentAt {
			w.audit.recordViolation(r, "no final answer within 58 ms after the client stopped waiting")
		}
		if r.markEnded(); w.audit.afterWarmup(r) {
			w.audit.totals.UnreadTries++
		}
	})
}

// workAt is the work of an attempt. It is the same for all attempts, since they carry the same request.
func (r *request) workAt(int) float64 {
	if len(r.drawnWork) == 0 {
		r.drawnWork = append(r.drawnWork, drawGamma(r.rng, r.w.classes[r.class].mean, r.w.s.Node.WorkCV2))
	}
	return r.drawnWork[0]
}

// markEnded marks that the request has its final answer. It returns false if there was one already.
func (r *request) markEnded() bool {
	if r.ended {
		return false
	}
	r.ended = true
	delete(r.limiter.openRequests, r)
	return true
}

// markAnswered marks that the request has its final answer. A further answer is a violation, unless it comes after the client
// has stopped waiting, as the answer of a stalled limiter may.
func (r *request) markAnswered() bool {
	if r.markEnded() {
		return true
	}
	if r.w.sim.now <= r.expiresAt {
		r.w.audit.recordViolation(r, "second final answer")
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

// loseLimiter ends a request whose limiter has crashed.
func (r *request) loseLimiter() {
	if r.ended {
		return
	}
	r.ended = true
	r.w.audit.recordLost(r)
	r.retry(false, 0)
}

// retry schedules the client's next try, if retries are left, the class allows it and there is time before the deadline.
func (r *request) retry(safeToRepeat bool, after time.Duration) {
	c := r.w.classes[r.class]
	if r.retriesLeft <= 0 || (c.KeyedByHall || c.UnsafeToRepeat) && !safeToRepeat && r.delivered {
		return
	}
	wait := seconds(r.w.s.Clients.RetryWaitSeconds.draw(r.rng))
	if safeToRepeat && after > 0 && r.rng.Float64() < r.w.s.Clients.HonoursRetryAfterShare {
		wait = max(after, 0)
	}
	if r.w.sim.now+wait >= r.firstSentAt+seconds(c.DeadlineSeconds) {
		return
	}
	next := &request{w: r.w, firm: r.firm, class: r.class, units: r.units, retriesLeft: r.retriesLeft - 1,
		firstSentAt: r.firstSentAt, firstTry: r.firstTry, drawnWork: r.drawnWork, rng: r.rng}
	r.w.sim.After(wait, next.send)
}
