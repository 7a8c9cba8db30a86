package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramblefall/logic"
)

// ledger holds a firm's token buckets as a single limiter that sees all requests would keep them: for the units asked for,
// for the units sent to nodes, and for the ceiling.
type ledger struct {
	plan                 logic.Plan
	asked, sent, ceiling tokenBucket
	inFlight             int // attempts at nodes
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

// takeAsked takes the units that a client asks for. It returns false if they are beyond the quota.
func (l *ledger) takeAsked(now time.Duration, units float64) bool {
	l.asked.refill(now, l.plan.Rate, l.plan.Burst)
	if l.asked.level < units {
		return false
	}
	l.asked.level -= units
	return true
}

// takeSent takes units that are sent to a node. excess is the number of units by which the ceiling with its slack is exceeded.
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

// remainingShare is the share of the burst that is left for units sent to nodes.
func (l *ledger) remainingShare(now time.Duration) float64 {
	l.sent.refill(now, l.plan.Rate, l.plan.Burst)
	return l.sent.level / max(l.plan.Burst, 1)
}

// audit checks a run against the true state of the model, which limiters cannot see, and collects the figures.
type audit struct {
	w             *World
	totals        Result
	latency       *hdrhistogram.Histogram
	refusedByTier []int
	triesByTier   []int
	tiers         []TierResult
	halls         []HallResult
	changeDelay   *hdrhistogram.Histogram // from a change of nodes until it takes effect at a limiter, in microseconds
	peakPressure  float64                 // most work that a cold node received, as a share of what the fleet may send it
}

// Result holds the figures of a run. Figures of tries, units and worth leave out requests whose first try came in the warm-up;
// attempts, counter calls, changes and violations are counted from the start of the run; CounterCalls alone leaves out the
// calls of the warm-up.
type Result struct {
	Scenario            string
	Policy              string
	Seed                uint64
	Requests            int // first tries of clients
	Tries               int
	Served              int
	AnsweredLate        int // served after the class's aim
	Refused             int
	Failed              int
	LostTries           int // tries held by a limiter that crashed
	UnreadTries         int // tries that a stalled limiter did not answer before the client stopped waiting
	Attempts            int
	WorthRequested      float64 // within the quotas
	WorthServed         float64
	UnitsRequested      float64 // within and beyond quotas
	UnitsSent           float64
	UnitsOverQuota      float64 // units sent beyond a quota
	RefusedWithRoom     int     // tries refused while at least half of the quota was left
	CappedAttempts      int     // attempts of firms with a cap on concurrent attempts, over the cap or not
	AttemptsOverCap     int     // those of CappedAttempts that exceeded the cap
	Calls               int     // counter calls
	BusiestCounterCalls int     // calls of the counter that got most
	CallsAnswered       int     // calls that the counters served before the end of the scenario
	Seconds             float64
	CeilingExcessUnits  float64 // most units by which a ceiling with its slack was exceeded
	Violations          []string
	ViolationCount      int           // violations, including those that are not listed
	MedianSeconds       float64       // seconds from the first try until served
	P99Seconds          float64       // seconds from the first try until served
	RefusedByTier       []float64     // refused share of the tries
	Events              uint64        // events of the simulation
	DecideTime          time.Duration // real time that the deciders took; 0 unless measured
	Firms               int
	Tiers               []TierResult
	Halls               []HallResult // by the limiter's hall
	CounterCalls        CallResult
	Changes             ChangeResult
}

// ChangeResult describes how changes of nodes reached the limiters that were up.
type ChangeResult struct {
	Deliveries int     // changes that took effect, summed over limiters
	P99Seconds float64 // seconds from a change until it takes effect
	MaxSeconds float64 // longest time in seconds from a change until it takes effect
}

// TierResult holds the figures of a tier's firms.
type TierResult struct {
	Tries           int
	Refused         int
	RefusedWithRoom int     // refused while at least half of the quota was left
	UnitsSent       float64 // sent to nodes
	UnitsOverQuota  float64 // sent to nodes beyond a quota
	TriesInQuota    int     // tries of requests that were within the quota by the units asked for
	RefusedInQuota  int     // refused tries of such requests
}

// HallResult holds the units that the limiters of a hall sent to nodes.
type HallResult struct {
	UnitsSent      float64
	UnitsOverQuota float64
}

// CallResult describes the outcome of the counter calls that were made after the warm-up.
type CallResult struct {
	Made           int
	Answered       int // with a total, while the limiter could still use it
	AnsweredSlowly int // of these, later than the timeout in the settings
}

// UnansweredShare is the share of the calls that brought no total within the timeout in the settings: late, lost or rejected.
func (c CallResult) UnansweredShare() float64 {
	return float64(c.Made-c.Answered+c.AnsweredSlowly) / float64(max(c.Made, 1))
}

// LostShare is the share of the calls that brought no total while the limiter waited for one, which may be longer than the
// timeout.
func (c CallResult) LostShare() float64 { return float64(c.Made-c.Answered) / float64(max(c.Made, 1)) }

// WorthShare is the served share of the worth that was asked for within quotas.
func (r Result) WorthShare() float64 { return r.WorthServed / max(r.WorthRequested, 1e-9) }

// OverQuotaShare is the share of the units sent to nodes that was beyond a quota.
func (r Result) OverQuotaShare() float64 { return r.UnitsOverQuota / max(r.UnitsSent, 1) }

// CallsPerRequest is the number of counter calls for each first try.
func (r Result) CallsPerRequest() float64 { return float64(r.Calls) / float64(max(r.Requests, 1)) }

// RefusedShare is the share of the tries that were refused.
func (r Result) RefusedShare() float64 { return float64(r.Refused) / float64(max(r.Tries, 1)) }

// Check compares a result with bounds and describes each one that it does not keep.
func (r Result) Check(b Bounds) (broken []string) {
	expect := func(holds bool, text string, args ...any) {
		if !holds {
			broken = append(broken, fmt.Sprintf(text, args...))
		}
	}
	expect(r.ViolationCount <= b.MaxViolations, "%d rule violations, want at most %d; the first are %v", r.ViolationCount, b.MaxViolations, r.Violations)
	expect(b.MinWorthShare == 0 || r.WorthShare() >= b.MinWorthShare, "worth served %.3f, want at least %.3f", r.WorthShare(), b.MinWorthShare)
	expect(b.MaxOverQuotaShare == 0 || r.OverQuotaShare() <= b.MaxOverQuotaShare,
		"%.2f%% of the units beyond quotas, want at most %.2f%%", 100*r.OverQuotaShare(), 100*b.MaxOverQuotaShare)
	expect(b.MaxCallsPerRequest == 0 || r.CallsPerRequest() <= b.MaxCallsPerRequest,
		"%.2f counter calls a request, want at most %.2f", r.CallsPerRequest(), b.MaxCallsPerRequest)
	expect(b.MaxP99Seconds == 0 || r.P99Seconds <= b.MaxP99Seconds, "99th percentile of latency %.3f s, want at most %.3f s", r.P99Seconds, b.MaxP99Seconds)
	return broken
}

// newAudit creates the audit of a run. Its histograms hold microseconds, up to one minute of latency and ten minutes of
// change delay, to three digits.
func newAudit(w *World) *audit {
	return &audit{w: w, latency: hdrhistogram.New(1, 60_000_000, 3), refusedByTier: make([]int, len(w.s.Tiers)), triesByTier: make([]int, len(w.s.Tiers)),
		tiers: make([]TierResult, len(w.s.Tiers)), halls: make([]HallResult, w.s.Halls),
		changeDelay: hdrhistogram.New(1, 600_000_000, 3)}
}

// afterWarmup tells whether a request's first try came after the warm-up.
func (a *audit) afterWarmup(r *request) bool {
	return r.firstSentAt >= epoch+seconds(a.w.s.WarmupSeconds)
}

// maxViolationsKept is the number of violations that a result describes. Further ones are only counted.
const maxViolationsKept = 10

func (a *audit) recordViolation(r *request, text string) {
	if a.totals.ViolationCount++; len(a.totals.Violations) < maxViolationsKept {
		a.totals.Violations = append(a.totals.Violations, fmt.Sprintf("%.3f s, request %d of firm %x at limiter %d: %s [%v]",
			(a.w.sim.now-epoch).Seconds(), r.id, r.firm.id, r.limiter.rank, text, r.trace))
	}
}

// worth is the full worth of a request, if it is served in time and within its quota.
func (a *audit) worth(r *request) float64 {
	return a.w.classes[r.class].Worth * a.w.s.Tiers[r.firm.tier].Price * r.units
}

func (a *audit) recordRequest(r *request) {
	if !a.afterWarmup(r) {
		return
	}
	a.totals.Requests++
	a.totals.UnitsRequested += r.units
	if r.askedInQuota {
		a.totals.WorthRequested += a.worth(r)
	}
}

func (a *audit) recordTry(r *request) {
	if a.afterWarmup(r) {
		a.totals.Tries++
		a.triesByTier[r.firm.tier]++
		if r.firstTry.askedInQuota {
			a.tiers[r.firm.tier].TriesInQuota++
		}
	}
}

// recordChange records that a change of nodes has reached a limiter, which uses it from this event on.
func (a *audit) recordChange(l *limiter, changedAt time.Duration, entries int) {
	if l.up {
		a.totals.Changes.Deliveries += entries
		_ = a.changeDelay.RecordValues((a.w.sim.now - changedAt).Microseconds(), int64(entries))
	}
}

// recordCall records that a limiter made a counter call.
func (a *audit) recordCall() {
	if a.callAfterWarmup(a.w.sim.now) {
		a.totals.CounterCalls.Made++
	}
}

// callAfterWarmup tells whether a counter call counts: calls in the warm-up, and after the last request arrived, do not.
func (a *audit) callAfterWarmup(made time.Duration) bool {
	return made >= epoch+seconds(a.w.s.WarmupSeconds) && made < epoch+seconds(a.w.s.Seconds)
}

// recordCallEnd records the outcome of a counter call. An answer that comes after the limiter has stopped waiting does not
// count.
func (a *audit) recordCallEnd(made, deadline time.Duration, s logic.Status) {
	switch now := a.w.sim.now; {
	case !a.callAfterWarmup(made):
	case s == logic.OK && now <= deadline:
		a.totals.CounterCalls.Answered++
		if now > made+milliseconds(a.w.s.Counter.TimeoutMS) {
			a.totals.CounterCalls.AnsweredSlowly++
		}
	}
}

// recordAttempt records the start of an attempt. No attempt may go to a node once the grace time has passed since the limiter
// was told that the node drains or is gone.
func (a *audit) recordAttempt(l *limiter, n *node, r *request) {
	r.attempts++
	a.totals.Attempts++
	if at, left := l.leavingSince[n.id]; left && a.w.sim.now > at+seconds(a.w.s.Rules.DrainGraceSeconds) {
		a.recordViolation(r, fmt.Sprintf("attempt sent to node %d %.3f s after the limiter was told that it is leaving, want at most %.3f s", n.id,
			(a.w.sim.now-at).Seconds(), a.w.s.Rules.DrainGraceSeconds))
	}
}

// recordDelivery records that a node has received an attempt whole. The first attempt of a request takes its units. No keyed
// request may run in two halls or after its key's TTL, and no request that is unsafe to repeat may run twice.
func (a *audit) recordDelivery(f *attempt, r *request, try int) {
	now := a.w.sim.now
	if len(r.trace) < 12 {
		r.trace = append(r.trace, fmt.Sprintf("try %d at node %d hall %d %.3f", try, f.node.id, f.node.hall, (now-epoch).Seconds()))
	}
	if !r.delivered {
		r.delivered = true
		inside, excess := r.firm.ledger.takeSent(now, r.units)
		r.sentInQuota = inside
		if a.afterWarmup(r) {
			t, h := &a.tiers[r.firm.tier], &a.halls[r.limiter.hall]
			a.totals.UnitsSent, t.UnitsSent, h.UnitsSent = a.totals.UnitsSent+r.units, t.UnitsSent+r.units, h.UnitsSent+r.units
			if !inside {
				a.totals.UnitsOverQuota, t.UnitsOverQuota, h.UnitsOverQuota = a.totals.UnitsOverQuota+r.units, t.UnitsOverQuota+r.units, h.UnitsOverQuota+r.units
				a.totals.WorthServed -= a.w.s.Tiers[r.firm.tier].OverCost * a.worth(r)
			}
		}
		if excess > 0 {
			if a.totals.CeilingExcessUnits == 0 || excess > a.totals.CeilingExcessUnits+1 {
				a.recordViolation(r, fmt.Sprintf("ceiling and its slack exceeded by %.2f units", excess))
			}
			a.totals.CeilingExcessUnits = max(a.totals.CeilingExcessUnits, excess)
		}
	}
	f.inFlight = true
	t := r.firm.ledger
	if t.inFlight++; t.plan.Open > 0 {
		a.checkCap(r, t)
	}
	c := a.w.classes[r.class]
	if c.UnsafeToRepeat && r.possibleRuns > 0 {
		a.recordViolation(r, "request that is unsafe to repeat may have run and was sent again")
	}
	if c.KeyedByHall && r.possibleRuns > 0 && (f.node.hall != r.firstRunHall || now > r.firstRunAt+seconds(c.KeyTTLSeconds)) {
		a.recordViolation(r, fmt.Sprintf("keyed request may have run in hall %d and was sent to hall %d, another hall or after the key's TTL",
			r.firstRunHall, f.node.hall))
	}
	if r.possibleRuns++; r.possibleRuns == 1 {
		r.firstRunHall, r.firstRunAt = f.node.hall, now
	}
}

// checkCap compares the attempts in flight with the firm's cap. Limiters know only their own attempts. Where a limiter's
// part of the cap alternates between none and one, an attempt that outlives its limiter's turn is in flight beside that of the
// next limiter. So attempts over the cap are only counted, and it is a violation if there are more than this can lead to at
// most. Under a plan without a rate the parts follow forecasts, and no bound is proven.
func (a *audit) checkCap(r *request, t *ledger) {
	if a.totals.CappedAttempts++; t.inFlight > t.plan.Open {
		a.totals.AttemptsOverCap++
	}
	n := float64(r.firm.spread)
	if most := n * math.Ceil(float64(t.plan.Open)/n); t.plan.Rate > 0 && float64(t.inFlight) > most {
		a.recordViolation(r, fmt.Sprintf("%d attempts in flight, want at most %.0f for a cap of %d", t.inFlight, most, t.plan.Open))
	}
}

// recordAttemptEnd records the outcome, as the limiter learns it, of an attempt that a node had received. A rejected attempt
// has not run.
func (a *audit) recordAttemptEnd(f *attempt, s logic.Status) {
	if s == logic.Full {
		f.request.possibleRuns--
	}
}

// recordNodeWork records work that a node receives. A cold node that receives more than a multiple of its present capacity
// within the overload window collapses and stays down.
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
	// capacity, slack and sum are seconds of work of one core.
	capacity := n.speed * n.warmupFactor() * float64(n.cores) * window.Seconds()
	slack := 3 * 0.2 * math.Sqrt(float64(n.cores))
	// The operators allow a slack too, in requests of mean work. It holds for the sum of all limiters, however many there are.
	budget := multiple * capacity / a.w.meanWork()
	pressure := sum / a.w.meanWork() / (budget + 2*math.Sqrt(budget) + 2)
	a.peakPressure = max(a.peakPressure, pressure)
	if sum > multiple*capacity+slack || pressure > 1 {
		n.collapsed = true
		a.totals.ViolationCount++
		if len(a.totals.Violations) < maxViolationsKept {
			a.totals.Violations = append(a.totals.Violations, fmt.Sprintf("%.3f s: cold node %d was overloaded, %.1f s of work in %v at a warm-up factor of %.2f",
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
	a.totals.Served++
	took := a.w.sim.now - r.firstSentAt
	_ = a.latency.RecordValue(took.Microseconds())
	worth := a.worth(r)
	if !r.sentInQuota {
		worth *= a.w.s.Tiers[r.firm.tier].OverWorth
	}
	if took > seconds(a.w.classes[r.class].AimSeconds) {
		a.totals.AnsweredLate++
		worth *= a.w.classes[r.class].LateWorthShare
	}
	a.totals.WorthServed += worth
}

func (a *audit) recordRefused(r *request) {
	if c := a.w.classes[r.class]; (c.KeyedByHall || c.UnsafeToRepeat) && r.possibleRuns > 0 {
		a.recordViolation(r, "request may have run and was refused as safe to repeat")
	}
	if !a.afterWarmup(r) {
		return
	}
	a.totals.Refused++
	a.refusedByTier[r.firm.tier]++
	if r.firstTry.askedInQuota {
		a.tiers[r.firm.tier].RefusedInQuota++
	}
	if r.firm.ledger.remainingShare(a.w.sim.now) >= 0.5 {
		a.totals.RefusedWithRoom++
		a.tiers[r.firm.tier].RefusedWithRoom++
	}
}

func (a *audit) recordFailed(r *request) {
	if a.afterWarmup(r) {
		a.totals.Failed++
	}
}

func (a *audit) recordLost(r *request) {
	if a.afterWarmup(r) {
		a.totals.LostTries++
	}
}

func (a *audit) result() Result {
	r := a.totals
	r.Scenario, r.Policy, r.Seed = a.w.s.Name, a.w.policy.Name, a.w.seed
	r.Calls, r.BusiestCounterCalls, r.CallsAnswered = 0, 0, 0
	for _, c := range a.w.counters {
		r.Calls, r.BusiestCounterCalls, r.CallsAnswered = r.Calls+c.Calls, max(r.BusiestCounterCalls, c.Calls), r.CallsAnswered+c.served
	}
	r.Seconds = min((a.w.sim.now - epoch).Seconds(), a.w.s.Seconds)
	r.MedianSeconds = float64(a.latency.ValueAtQuantile(50)) / 1e6
	r.P99Seconds = float64(a.latency.ValueAtQuantile(99)) / 1e6
	for k := range a.refusedByTier {
		a.tiers[k].Tries, a.tiers[k].Refused = a.triesByTier[k], a.refusedByTier[k]
		r.RefusedByTier = append(r.RefusedByTier, float64(a.refusedByTier[k])/float64(max(a.triesByTier[k], 1)))
	}
	r.Events, r.Firms = a.w.sim.Handled, a.w.s.Firms.Count+int(a.w.oneOffsSent)
	for _, l := range a.w.limiters {
		r.DecideTime += l.CPU
	}
	r.Changes.P99Seconds, r.Changes.MaxSeconds = float64(a.changeDelay.ValueAtQuantile(99))/1e6, float64(a.changeDelay.Max())/1e6
	r.Tiers, r.Halls = slices.Clone(a.tiers), slices.Clone(a.halls)
	slices.Sort(r.Violations)
	return r
}
