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
	plan              logic.Plan
	asked, sent, ceil store
	out               int // attempts
}

type store struct {
	level float64
	at    time.Duration
}

func (s *store) fill(now time.Duration, rate, burst float64) {
	s.level = min(s.level+rate*(now-s.at).Seconds(), burst)
	s.at = now
}

func newLedger(p logic.Plan) *ledger {
	return &ledger{p, store{p.Burst, 0}, store{p.Burst, 0}, store{p.CeilingBurst, 0}, 0}
}

// ask takes units of what is asked for; false: they are beyond the quota.
func (l *ledger) ask(now time.Duration, units float64) bool {
	l.asked.fill(now, l.plan.Rate, l.plan.Burst)
	if l.asked.level < units {
		return false
	}
	l.asked.level -= units
	return true
}

// send takes units of what is sent on. over is by how much the ceiling with its slack is passed.
func (l *ledger) send(now time.Duration, units float64) (inside bool, over float64) {
	l.sent.fill(now, l.plan.Rate, l.plan.Burst)
	if inside = l.sent.level >= units; inside {
		l.sent.level -= units
	}
	if l.plan.CeilingRate > 0 {
		l.ceil.fill(now, l.plan.CeilingRate, l.plan.CeilingBurst)
		l.ceil.level -= units
		over = max(0, -l.ceil.level-l.plan.CeilingSlack)
	}
	return inside, over
}

// room is the share of the store that is left.
func (l *ledger) room(now time.Duration) float64 {
	l.sent.fill(now, l.plan.Rate, l.plan.Burst)
	return l.sent.level / max(l.plan.Burst, 1)
}

// audit stands beside the model and knows the truth.
type audit struct {
	w       *World
	r       Result
	latency *hdrhistogram.Histogram
	refuse  []int
	tries   []int
	tiers   []TierResult
	halls   []HallResult
	force   *hdrhistogram.Histogram // from a change of nodes until it is in force at a limiter
	press   float64                 // of what a cold node may get of the fleet, the most that one got
}

// Result is what a run came to.
type Result struct {
	Scenario, Policy string
	Seed             uint64
	Requests         int // first tries of clients, counted
	Tries            int
	Served           int
	ServedLate       int
	Refused          int
	Failed           int
	Lost             int // held by a limiter that died
	Unread           int // of a limiter that stood still until nobody waited any more
	Attempts         int
	WorthAsked       float64 // inside the quotas
	WorthServed      float64
	UnitsAsked       float64 // by all that was counted, also beyond quotas
	SentUnits        float64
	BeyondUnits      float64
	RoomRefused      int // refused while half of the quota was left
	Capped, OverCap  int // attempts under a cap on those out at once; beyond it
	Calls            int
	BusiestCalls     int // at the counter with most
	Borne            int // answered
	Seconds          float64
	CeilingOver      float64 // units
	Violations       []string
	Broken           int
	Median, P99      float64   // seconds, of what was served
	RefusedByTier    []float64 // share of the tries
	Events           uint64
	CPU              time.Duration // of the deciders, where measured
	Firms            int
	Tiers            []TierResult
	Halls            []HallResult // by the limiter's hall
	Called           CallResult
	Changes          ChangeResult
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
type HallResult struct{ Units, Beyond float64 }

// CallResult is how the counter's calls ended that were made after the warm-up.
type CallResult struct {
	Made, Answered int // with a total, while it was of use
	Slow           int // of these, later than the settings' limit
}

// Unanswered is the share of the calls that brought no total within the settings' limit: late, lost or turned away.
func (c CallResult) Unanswered() float64 {
	return float64(c.Made-c.Answered+c.Slow) / float64(max(c.Made, 1))
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
	bad := func(holds bool, text string, args ...any) {
		if !holds {
			broken = append(broken, fmt.Sprintf(text, args...))
		}
	}
	bad(r.Broken <= b.Violations, "%d broken rules, first %v", r.Broken, r.Violations)
	bad(b.Worth == 0 || r.Worth() >= b.Worth, "worth served %.3f, %.3f is the least", r.Worth(), b.Worth)
	bad(b.OverQuota == 0 || r.OverQuota() <= b.OverQuota, "%.2f%% beyond quotas, %.2f%% is the most", 100*r.OverQuota(), 100*b.OverQuota)
	bad(b.CallsEach == 0 || r.CallsEach() <= b.CallsEach, "%.2f counter calls a request, %.2f is the most", r.CallsEach(), b.CallsEach)
	bad(b.P99 == 0 || r.P99 <= b.P99, "99th percentile %.3f s, %.3f is the most", r.P99, b.P99)
	return broken
}

func newAudit(w *World) *audit {
	return &audit{w: w, latency: hdrhistogram.New(1, 60_000_000, 3), refuse: make([]int, len(w.s.Tiers)), tries: make([]int, len(w.s.Tiers)),
		tiers: make([]TierResult, len(w.s.Tiers)), halls: make([]HallResult, w.s.Halls),
		force: hdrhistogram.New(1, 600_000_000, 3)}
}

// counts tells whether a request's first try came after the warm-up.
func (a *audit) counts(r *request) bool { return r.began >= begin+seconds(a.w.s.Warm) }

const mostTold = 10

func (a *audit) violation(r *request, text string) {
	if a.r.Broken++; len(a.r.Violations) < mostTold {
		a.r.Violations = append(a.r.Violations, fmt.Sprintf("%.3f s, request %d of firm %x at limiter %d: %s [%v]",
			(a.w.sim.now-begin).Seconds(), r.id, r.f.id, r.l.rank, text, r.trace))
	}
}

func (a *audit) worth(r *request) float64 {
	return a.w.classes[r.class].Worth * a.w.s.Tiers[r.f.tier].Price * r.units
}

func (a *audit) asked(r *request) {
	if !a.counts(r) {
		return
	}
	a.r.Requests++
	a.r.UnitsAsked += r.units
	if r.asked {
		a.r.WorthAsked += a.worth(r)
	}
}

func (a *audit) taken(r *request) {
	if a.counts(r) {
		a.r.Tries++
		a.tries[r.f.tier]++
		if r.first.asked {
			a.tiers[r.f.tier].Inside++
		}
	}
}

// inForce sees a change of nodes reach a limiter: it decides by it from this event on.
func (a *audit) inForce(l *limiter, since time.Duration, lines int) {
	if l.up {
		a.r.Changes.Told += lines
		_ = a.force.RecordValues((a.w.sim.now - since).Microseconds(), int64(lines))
	}
}

// called and heard see a counter call and how it ended. An answer that comes after the limiter has given it up is none.
func (a *audit) called() {
	if a.callCounts(a.w.sim.now) {
		a.r.Called.Made++
	}
}

// callCounts leaves out the calls of the warm-up, and those after the last request came.
func (a *audit) callCounts(made time.Duration) bool {
	return made >= begin+seconds(a.w.s.Warm) && made < begin+seconds(a.w.s.Seconds)
}

func (a *audit) heard(made, until time.Duration, s logic.Status) {
	switch now := a.w.sim.now; {
	case !a.callCounts(made):
	case s == logic.OK && now <= until:
		a.r.Called.Answered++
		if now > made+milliseconds(a.w.s.Counter.TimeoutMS) {
			a.r.Called.Slow++
		}
	}
}

// tried sees an attempt leave: nothing new may go to a node that the limiter was told drains or is gone.
func (a *audit) tried(l *limiter, n *node, r *request) {
	r.tries++
	a.r.Attempts++
	if at, left := l.left[n.id]; left && a.w.sim.now > at+seconds(a.w.s.Rules.DrainGrace) {
		a.violation(r, fmt.Sprintf("sent to node %d, told to be leaving %.3f s before", n.id, (a.w.sim.now-at).Seconds()))
	}
}

// came sees an attempt come whole: the first takes the units, and no keyed request may run in two halls.
func (a *audit) came(f *flight, r *request, try int) {
	now := a.w.sim.now
	if len(r.trace) < 12 {
		r.trace = append(r.trace, fmt.Sprintf("try %d at node %d hall %d %.3f", try, f.n.id, f.n.hall, (now-begin).Seconds()))
	}
	if !r.sent {
		r.sent = true
		in, over := r.f.truth.send(now, r.units)
		r.in = in
		if a.counts(r) {
			t, h := &a.tiers[r.f.tier], &a.halls[r.l.hall]
			a.r.SentUnits, t.Units, h.Units = a.r.SentUnits+r.units, t.Units+r.units, h.Units+r.units
			if !in {
				a.r.BeyondUnits, t.Beyond, h.Beyond = a.r.BeyondUnits+r.units, t.Beyond+r.units, h.Beyond+r.units
				a.r.WorthServed -= a.w.s.Tiers[r.f.tier].OverCost * a.worth(r)
			}
		}
		if over > 0 {
			if a.r.CeilingOver == 0 || over > a.r.CeilingOver+1 {
				a.violation(r, fmt.Sprintf("the ceiling was passed by %.2f units", over))
			}
			a.r.CeilingOver = max(a.r.CeilingOver, over)
		}
	}
	f.out = true
	t := r.f.truth
	if t.out++; t.plan.Open > 0 {
		a.capped(r, t)
	}
	c := a.w.classes[r.class]
	if c.Unsafe && r.maybe > 0 {
		a.violation(r, "may have run and was sent again")
	}
	if c.Keyed && r.maybe > 0 && (f.n.hall != r.hall || now > r.ranAt+seconds(c.KeyTTL)) {
		a.violation(r, fmt.Sprintf("may have run in hall %d and was sent to hall %d", r.hall, f.n.hall))
	}
	if r.maybe++; r.maybe == 1 {
		r.hall, r.ranAt = f.n.hall, now
	}
}

// capped holds the attempts out to the cap. Limiters know only their own: where one's part is none or one by turns, an
// attempt that outlives its turn is out beside the next one's. So what passes the cap is counted, and the rule is the most
// that can come of it. Under a plan without a rate parts follow forecasts, and nothing is proven.
func (a *audit) capped(r *request, t *ledger) {
	if a.r.Capped++; t.out > t.plan.Open {
		a.r.OverCap++
	}
	n := float64(r.f.spread)
	if most := n * math.Ceil(float64(t.plan.Open)/n); t.plan.Rate > 0 && float64(t.out) > most {
		a.violation(r, fmt.Sprintf("%d attempts out, the cap is %d", t.out, t.plan.Open))
	}
}

// told sees what the limiter is told of an attempt that had come: one that was turned away has not run.
func (a *audit) told(f *flight, s logic.Status) {
	if s == logic.Full {
		f.req.maybe--
	}
}

// pressed sees work come to a node: sent more than some times what it can do at the moment for some seconds, a cold one
// falls over and stays down.
func (a *audit) pressed(n *node, work float64) {
	now := a.w.sim.now
	if n.started == 0 || n.warmth() >= 1 || n.over {
		return
	}
	window, multiple := seconds(a.w.s.Rules.Fall), a.w.s.Rules.FallMultiple
	n.pushed = append(n.pushed, push{now, work})
	for len(n.pushed) > 0 && n.pushed[0].at < now-window {
		n.pushed = n.pushed[1:]
	}
	sum := 0.0
	for _, p := range n.pushed {
		sum += p.work
	}
	can := n.speed * n.warmth() * float64(n.cores) * window.Seconds()
	slack := 3 * 0.2 * math.Sqrt(float64(n.cores))
	// The operators' own slack, in requests of mean work, counts over all limiters, however many.
	budget := multiple * can / a.w.meanWork()
	press := sum / a.w.meanWork() / (budget + 2*math.Sqrt(budget) + 2)
	a.press = max(a.press, press)
	if sum > multiple*can+slack || press > 1 {
		n.over = true
		a.r.Broken++
		if len(a.r.Violations) < mostTold {
			a.r.Violations = append(a.r.Violations, fmt.Sprintf("%.3f s: node %d was pushed over, %.1f s of work in %v at a warmth of %.2f",
				(now-begin).Seconds(), n.id, sum, window, n.warmth()))
		}
		n.end(false)
		a.w.changed(n)
	}
}

func (a *audit) served(r *request) {
	if !a.counts(r) {
		return
	}
	a.r.Served++
	took := a.w.sim.now - r.began
	_ = a.latency.RecordValue(took.Microseconds())
	worth := a.worth(r)
	if !r.in {
		worth *= a.w.s.Tiers[r.f.tier].OverWorth
	}
	if took > seconds(a.w.classes[r.class].Aim) {
		a.r.ServedLate++
		worth *= a.w.classes[r.class].Late
	}
	a.r.WorthServed += worth
}

func (a *audit) refused(r *request) {
	if c := a.w.classes[r.class]; (c.Keyed || c.Unsafe) && r.maybe > 0 {
		a.violation(r, "may have run and was refused as harmless to repeat")
	}
	if !a.counts(r) {
		return
	}
	a.r.Refused++
	a.refuse[r.f.tier]++
	if r.first.asked {
		a.tiers[r.f.tier].InsideRefused++
	}
	if r.f.truth.room(a.w.sim.now) >= 0.5 {
		a.r.RoomRefused++
		a.tiers[r.f.tier].RoomRefused++
	}
}

func (a *audit) failed(r *request) {
	if a.counts(r) {
		a.r.Failed++
	}
}

func (a *audit) lost(r *request) {
	if a.counts(r) {
		a.r.Lost++
	}
}

func (a *audit) result() Result {
	r := a.r
	r.Scenario, r.Policy, r.Seed = a.w.s.Name, a.w.policy.Name, a.w.seed
	r.Calls, r.BusiestCalls, r.Borne = 0, 0, 0
	for _, c := range a.w.counters {
		r.Calls, r.BusiestCalls, r.Borne = r.Calls+c.Calls, max(r.BusiestCalls, c.Calls), r.Borne+c.borne
	}
	r.Seconds = min((a.w.sim.now - begin).Seconds(), a.w.s.Seconds)
	r.Median = float64(a.latency.ValueAtQuantile(50)) / 1e6
	r.P99 = float64(a.latency.ValueAtQuantile(99)) / 1e6
	for k := range a.refuse {
		a.tiers[k].Tries, a.tiers[k].Refused = a.tries[k], a.refuse[k]
		r.RefusedByTier = append(r.RefusedByTier, float64(a.refuse[k])/float64(max(a.tries[k], 1)))
	}
	r.Events, r.Firms = a.w.sim.Events, a.w.s.Firms.Count+int(a.w.scanned)
	for _, l := range a.w.limiters {
		r.CPU += l.CPU
	}
	r.Changes.P99, r.Changes.Last = float64(a.force.ValueAtQuantile(99))/1e6, float64(a.force.Max())/1e6
	r.Tiers, r.Halls = slices.Clone(a.tiers), slices.Clone(a.halls)
	slices.Sort(r.Violations)
	return r
}
