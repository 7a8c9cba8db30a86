package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramblefall/logic"
)

// ledger is a firm's stores as one limiter that saw all would keep them: what was asked for, what was sent on, and the
// ceiling.
type ledger struct {
	plan                 logic.Plan
	asked, sent, ceiling tokenBucket
	inFlight             int // attempts
}

type tokenBucket struct {
	level    float64
	filledAt time.Duration
}

func (s *tokenBucket) refill(now time.Duration, rate, burst float64) {
	s.level = min(s.level+rate*(now-s.filledAt).Seconds(), burst)
	s.filledAt = now
}

func newLedger(p logic.Plan) *ledger {
	return &ledger{p, tokenBucket{p.Burst, 0}, tokenBucket{p.Burst, 0}, tokenBucket{p.CeilingBurst, 0}, 0}
}

// ask takes units of what is asked for; false: they are beyond the quota.
func (l *ledger) takeAsked(now time.Duration, units float64) bool {
	l.asked.refill(now, l.plan.Rate, l.plan.Burst)
	if l.asked.level < units {
		return false
	}
	l.asked.level -= units
	return true
}

// send takes units of what is sent on. over is by how much the ceiling with its slack is passed.
func (l *ledger) takeSent(now time.Duration, units float64) (inside bool, excess float64) {
	l.sent.refill(now, l.plan.Rate, l.plan.Burst)
	if inside = l.sent.level >= units; inside {
		l.sent.level -= units
	}
	if l.plan.CeilingRate > 0 {
		l.ceiling.refill(now, l.plan.CeilingRate, l.plan.CeilingBurst)
		l.ceiling.level -= units
		excess = max(0, -l.ceiling.level-l.plan.CeilingSlack)
	}
	return inside, excess
}

// room is the share of the store that is left.
func (l *ledger) remainingShare(now time.Duration) float64 {
	l.sent.refill(now, l.plan.Rate, l.plan.Burst)
	return l.sent.level / max(l.plan.Burst, 1)
}

// audit stands beside the model and knows the truth.
type audit struct {
	w             *World
	r             Result
	latency       *hdrhistogram.Histogram
	refusedByTier []int
	triesByTier   []int
	tiers         []TierResult
	halls         []HallResult
	changeDelay   *hdrhistogram.Histogram // from a change of nodes until it is in force at a limiter
	peakPressure  float64                 // of what a cold node may get of the fleet, the most that one got
}

// Result is what a run came to.
type Result struct {
	Scenario, Policy                  string
	Seed                              uint64
	Requests                          int // first tries of clients, counted
	Tries                             int
	Served                            int
	AnsweredLate                      int
	Refused                           int
	Failed                            int
	Lost                              int // held by a limiter that died
	UnreadTries                       int // of a limiter that stood still until nobody waited any more
	Attempts                          int
	WorthAsked                        float64 // inside the quotas
	WorthServed                       float64
	UnitsAsked                        float64 // by all that was counted, also beyond quotas
	SentUnits                         float64
	BeyondUnits                       float64
	RoomRefused                       int // refused while half of the quota was left
	AttemptsUnderCap, AttemptsOverCap int // attempts under a cap on those out at once; beyond it
	Calls                             int
	BusiestCalls                      int // at the counter with most
	Borne                             int // answered
	Seconds                           float64
	CeilingOver                       float64 // units
	Violations                        []string
	Broken                            int
	Median, P99                       float64   // seconds, of what was served
	RefusedByTier                     []float64 // share of the tries
	Events                            uint64
	CPU                               time.Duration // of the deciders, where measured
	Firms                             int
	Tiers                             []TierResult
	Halls                             []HallResult // by the limiter's hall
	Called                            CallResult
	Changes                           ChangeResult
}

// ChangeResult is how changes of nodes reached the limiters that were up.
type ChangeResult struct {
	Told      int     // over all limiters
	P99, Last float64 // seconds from a change until it is in force
}

// TierResult is what the firms of a tier came to.
type TierResult struct {
	Tries, Refused, RoomRefused int
	Units, Beyond               float64 // sent on
	Inside, InsideRefused       int     // tries of requests that were inside the quota as asked for; of these refused
}

// HallResult is what the limiters of a hall sent on.
type HallResult struct{ Units, UnitsOverQuota float64 }

// CallResult is how the counter's calls ended that were made after the warm-up.
type CallResult struct {
	Made, Answered int // with a total, while it was of use
	AnsweredSlowly int // of these, later than the settings' limit
}

// Unanswered is the share of the calls that brought no total within the settings' limit: late, lost or turned away.
func (c CallResult) Unanswered() float64 {
	return float64(c.Made-c.Answered+c.AnsweredSlowly) / float64(max(c.Made, 1))
}

// Lost is the share of the calls that brought no total while the limiter waited for one, which may be longer than the limit.
func (c CallResult) Lost() float64 { return float64(c.Made-c.Answered) / float64(max(c.Made, 1)) }

// Worth is the share of the worth asked for inside the quotas that was served.
func (r Result) Worth() float64 { return r.WorthServed / max(r.WorthAsked, 1e-9) }

// OverQuota is the share of the units sent on that was beyond a quota.
func (r Result) OverQuota() float64 { return r.BeyondUnits / max(r.SentUnits, 1) }

// CallsEach is the counter calls for each first try.
func (r Result) CallsEach() float64 { return float64(r.Calls) / float64(max(r.Requests, 1)) }

// RefusedShare is the refusals, of the tries.
func (r Result) RefusedShare() float64 { return float64(r.Refused) / float64(max(r.Tries, 1)) }

// Check holds a result against bounds.
func (r Result) Check(b Bounds) (broken []string) {
	expect := func(holds bool, text string, args ...any) {
		if !holds {
			broken = append(broken, fmt.Sprintf(text, args...))
		}
	}
	expect(r.Broken <= b.MaxViolations, "%d broken rules, first %v", r.Broken, r.Violations)
	expect(b.MinWorthShare == 0 || r.Worth() >= b.MinWorthShare, "worth served %.3f, %.3f is the least", r.Worth(), b.MinWorthShare)
	expect(b.MaxOverQuotaShare == 0 || r.OverQuota() <= b.MaxOverQuotaShare, "%.2f%% beyond quotas, %.2f%% is the most", 100*r.OverQuota(), 100*b.MaxOverQuotaShare)
	expect(b.MaxCallsPerRequest == 0 || r.CallsEach() <= b.MaxCallsPerRequest, "%.2f counter calls a request, %.2f is the most", r.CallsEach(), b.MaxCallsPerRequest)
	expect(b.MaxP99Seconds == 0 || r.P99 <= b.MaxP99Seconds, "99th percentile %.3f s, %.3f is the most", r.P99, b.MaxP99Seconds)
	return broken
}

func newAudit(w *World) *audit {
	return &audit{w: w, latency: hdrhistogram.New(1, 60_000_000, 3), refusedByTier: make([]int, len(w.s.Tiers)), triesByTier: make([]int, len(w.s.Tiers)),
		tiers: make([]TierResult, len(w.s.Tiers)), halls: make([]HallResult, w.s.Halls),
		changeDelay: hdrhistogram.New(1, 600_000_000, 3)}
}

// counts tells whether a request's first try came after the warm-up.
func (a *audit) afterWarmup(r *request) bool { return r.firstSentAt >= epoch+seconds(a.w.s.Warm) }

const maxViolationsKept = 10

func (a *audit) recordViolation(r *request, text string) {
	if a.r.Broken++; len(a.r.Violations) < maxViolationsKept {
		a.r.Violations = append(a.r.Violations, fmt.Sprintf("%.3f s, request %d of firm %x at limiter %d: %s [%v]",
			(a.w.sim.now-epoch).Seconds(), r.id, r.f.id, r.l.rank, text, r.trace))
	}
}

func (a *audit) worth(r *request) float64 {
	return a.w.classes[r.class].Worth * a.w.s.Tiers[r.f.tier].Price * r.units
}

func (a *audit) recordRequest(r *request) {
	if !a.afterWarmup(r) {
		return
	}
	a.r.Requests++
	a.r.UnitsAsked += r.units
	if r.askedInQuota {
		a.r.WorthAsked += a.worth(r)
	}
}

func (a *audit) recordTry(r *request) {
	if a.afterWarmup(r) {
		a.r.Tries++
		a.triesByTier[r.f.tier]++
		if r.firstTry.askedInQuota {
			a.tiers[r.f.tier].Inside++
		}
	}
}

// inForce sees a change of nodes reach a limiter: it decides by it from this event on.
func (a *audit) recordChange(l *limiter, changedAt time.Duration, entries int) {
	if l.up {
		a.r.Changes.Told += entries
		_ = a.changeDelay.RecordValues((a.w.sim.now - changedAt).Microseconds(), int64(entries))
	}
}

// called and heard see a counter call and how it ended. An answer that comes after the limiter has given it up is none.
func (a *audit) recordCall() {
	if a.callAfterWarmup(a.w.sim.now) {
		a.r.Called.Made++
	}
}

// callCounts leaves out the calls of the warm-up, and those after the last request came.
func (a *audit) callAfterWarmup(made time.Duration) bool {
	return made >= epoch+seconds(a.w.s.Warm) && made < epoch+seconds(a.w.s.Seconds)
}

func (a *audit) recordCallEnd(made, deadline time.Duration, s logic.Status) {
	switch now := a.w.sim.now; {
	case !a.callAfterWarmup(made):
	case s == logic.OK && now <= deadline:
		a.r.Called.Answered++
		if now > made+milliseconds(a.w.s.Counter.TimeoutMS) {
			a.r.Called.AnsweredSlowly++
		}
	}
}

// tried sees an attempt leave: nothing new may go to a node that the limiter was told drains or is gone.
func (a *audit) recordAttempt(l *limiter, n *node, r *request) {
	r.attempts++
	a.r.Attempts++
	if at, left := l.leavingSince[n.id]; left && a.w.sim.now > at+seconds(a.w.s.Rules.DrainGraceSeconds) {
		a.recordViolation(r, fmt.Sprintf("sent to node %d, told to be leaving %.3f s before", n.id, (a.w.sim.now-at).Seconds()))
	}
}

// came sees an attempt come whole: the first takes the units, and no keyed request may run in two halls.
func (a *audit) recordDelivery(f *attempt, r *request, try int) {
	now := a.w.sim.now
	if len(r.trace) < 12 {
		r.trace = append(r.trace, fmt.Sprintf("try %d at node %d hall %d %.3f", try, f.n.id, f.n.hall, (now-epoch).Seconds()))
	}
	if !r.delivered {
		r.delivered = true
		inside, excess := r.f.ledger.takeSent(now, r.units)
		r.sentInQuota = inside
		if a.afterWarmup(r) {
			t, h := &a.tiers[r.f.tier], &a.halls[r.l.hall]
			a.r.SentUnits, t.Units, h.Units = a.r.SentUnits+r.units, t.Units+r.units, h.Units+r.units
			if !inside {
				a.r.BeyondUnits, t.Beyond, h.UnitsOverQuota = a.r.BeyondUnits+r.units, t.Beyond+r.units, h.UnitsOverQuota+r.units
				a.r.WorthServed -= a.w.s.Tiers[r.f.tier].OverCost * a.worth(r)
			}
		}
		if excess > 0 {
			if a.r.CeilingOver == 0 || excess > a.r.CeilingOver+1 {
				a.recordViolation(r, fmt.Sprintf("the ceiling was passed by %.2f units", excess))
			}
			a.r.CeilingOver = max(a.r.CeilingOver, excess)
		}
	}
	f.inFlight = true
	t := r.f.ledger
	if t.inFlight++; t.plan.Open > 0 {
		a.checkCap(r, t)
	}
	c := a.w.classes[r.class]
	if c.UnsafeToRepeat && r.possibleRuns > 0 {
		a.recordViolation(r, "may have run and was sent again")
	}
	if c.Keyed && r.possibleRuns > 0 && (f.n.hall != r.firstRunHall || now > r.firstRunAt+seconds(c.KeyTTLSeconds)) {
		a.recordViolation(r, fmt.Sprintf("may have run in hall %d and was sent to hall %d", r.firstRunHall, f.n.hall))
	}
	if r.possibleRuns++; r.possibleRuns == 1 {
		r.firstRunHall, r.firstRunAt = f.n.hall, now
	}
}

// capped holds the attempts out to the cap. Limiters know only their own: where one's part is none or one by turns, an
// attempt that outlives its turn is out beside the next one's. So what passes the cap is counted, and the rule is the most
// that can come of it. Under a plan without a rate parts follow forecasts, and nothing is proven.
func (a *audit) checkCap(r *request, t *ledger) {
	if a.r.AttemptsUnderCap++; t.inFlight > t.plan.Open {
		a.r.AttemptsOverCap++
	}
	n := float64(r.f.spread)
	if most := n * math.Ceil(float64(t.plan.Open)/n); t.plan.Rate > 0 && float64(t.inFlight) > most {
		a.recordViolation(r, fmt.Sprintf("%d attempts out, the cap is %d", t.inFlight, t.plan.Open))
	}
}

// told sees what the limiter is told of an attempt that had come: one that was turned away has not run.
func (a *audit) recordAttemptEnd(f *attempt, s logic.Status) {
	if s == logic.Full {
		f.req.possibleRuns--
	}
}

// pressed sees work come to a node: sent more than some times what it can do at the moment for some seconds, a cold one
// falls over and stays down.
func (a *audit) recordNodeWork(n *node, work float64) {
	now := a.w.sim.now
	if n.started == 0 || n.warmupFactor() >= 1 || n.collapsed {
		return
	}
	window, multiple := seconds(a.w.s.Rules.OverloadWindowSeconds), a.w.s.Rules.OverloadFactor
	n.recentWork = append(n.recentWork, workArrival{now, work})
	for len(n.recentWork) > 0 && n.recentWork[0].at < now-window {
		n.recentWork = n.recentWork[1:]
	}
	sum := 0.0
	for _, p := range n.recentWork {
		sum += p.work
	}
	can := n.speed * n.warmupFactor() * float64(n.cores) * window.Seconds()
	slack := 3 * 0.2 * math.Sqrt(float64(n.cores))
	// The operators' own slack, in requests of mean work, counts over all limiters, however many.
	budget := multiple * can / a.w.meanWork()
	pressure := sum / a.w.meanWork() / (budget + 2*math.Sqrt(budget) + 2)
	a.peakPressure = max(a.peakPressure, pressure)
	if sum > multiple*can+slack || pressure > 1 {
		n.collapsed = true
		a.r.Broken++
		if len(a.r.Violations) < maxViolationsKept {
			a.r.Violations = append(a.r.Violations, fmt.Sprintf("%.3f s: node %d was pushed over, %.1f s of work in %v at a warmth of %.2f",
				(now-epoch).Seconds(), n.id, sum, window, n.warmupFactor()))
		}
		n.terminate(false)
		a.w.announce(n)
	}
}

func (a *audit) recordServed(r *request) {
	if !a.afterWarmup(r) {
		return
	}
	a.r.Served++
	took := a.w.sim.now - r.firstSentAt
	_ = a.latency.RecordValue(took.Microseconds())
	worth := a.worth(r)
	if !r.sentInQuota {
		worth *= a.w.s.Tiers[r.f.tier].OverWorth
	}
	if took > seconds(a.w.classes[r.class].Aim) {
		a.r.AnsweredLate++
		worth *= a.w.classes[r.class].Late
	}
	a.r.WorthServed += worth
}

func (a *audit) recordRefused(r *request) {
	if c := a.w.classes[r.class]; (c.Keyed || c.UnsafeToRepeat) && r.possibleRuns > 0 {
		a.recordViolation(r, "may have run and was refused as harmless to repeat")
	}
	if !a.afterWarmup(r) {
		return
	}
	a.r.Refused++
	a.refusedByTier[r.f.tier]++
	if r.firstTry.askedInQuota {
		a.tiers[r.f.tier].InsideRefused++
	}
	if r.f.ledger.remainingShare(a.w.sim.now) >= 0.5 {
		a.r.RoomRefused++
		a.tiers[r.f.tier].RoomRefused++
	}
}

func (a *audit) recordFailed(r *request) {
	if a.afterWarmup(r) {
		a.r.Failed++
	}
}

func (a *audit) recordLost(r *request) {
	if a.afterWarmup(r) {
		a.r.Lost++
	}
}

func (a *audit) result() Result {
	r := a.r
	r.Scenario, r.Policy, r.Seed = a.w.s.Name, a.w.policy.Name, a.w.seed
	r.Calls, r.BusiestCalls, r.Borne = 0, 0, 0
	for _, c := range a.w.counters {
		r.Calls, r.BusiestCalls, r.Borne = r.Calls+c.Calls, max(r.BusiestCalls, c.Calls), r.Borne+c.answered
	}
	r.Seconds = min((a.w.sim.now - epoch).Seconds(), a.w.s.Seconds)
	r.Median = float64(a.latency.ValueAtQuantile(50)) / 1e6
	r.P99 = float64(a.latency.ValueAtQuantile(99)) / 1e6
	for k := range a.refusedByTier {
		a.tiers[k].Tries, a.tiers[k].Refused = a.triesByTier[k], a.refusedByTier[k]
		r.RefusedByTier = append(r.RefusedByTier, float64(a.refusedByTier[k])/float64(max(a.triesByTier[k], 1)))
	}
	r.Events, r.Firms = a.w.sim.Handled, a.w.s.Firms.Count+int(a.w.oneOffsSent)
	for _, l := range a.w.limiters {
		r.CPU += l.CPU
	}
	r.Changes.P99, r.Changes.Last = float64(a.changeDelay.ValueAtQuantile(99))/1e6, float64(a.changeDelay.Max())/1e6
	r.Tiers, r.Halls = slices.Clone(a.tiers), slices.Clone(a.halls)
	slices.Sort(r.Violations)
	return r
}
