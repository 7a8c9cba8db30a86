package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"bramblefall/internal/admin"
	"bramblefall/internal/admin/adminpb"
	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/internal/reserve"
	"bramblefall/internal/standin"
	"bramblefall/logic"
)

// Options are the options of an experiment on real limiters.
type Options struct {
	Seed      uint64
	Quick     bool                             // a shorter run
	OutputDir string                           // directory for tables and charts; none are written if it is empty
	Logf      func(format string, args ...any) // prints progress
}

// Result is the outcome of an experiment on real limiters.
type Result struct {
	FailedBounds []string // descriptions of the bounds that do not hold, rules among them
	FailedRules  []string // those of them that must hold however slow the machine is
	Summary      string   // the main figures in one line
	Tables       []*Table
}

// checkRule records a failure if a bound does not hold that must hold however slow the machine is.
func (r *Result) checkRule(holds bool, format string, args ...any) {
	r.checkBound(holds, format, args...)
	if !holds {
		r.FailedRules = append(r.FailedRules, fmt.Sprintf(format, args...))
	}
}

// checkBound records a failure if a bound does not hold. A bound that must hold on a slow machine too goes through
// checkRule instead.
func (r *Result) checkBound(holds bool, format string, args ...any) {
	if !holds {
		r.FailedBounds = append(r.FailedBounds, fmt.Sprintf(format, args...))
	}
}

// Sizes of the experiment of RunPlans.
const (
	firmCount                     = 200
	limiterCount                  = 3
	requestDeadline               = 4 * time.Second
	maxReservationUnits           = 2000.0 // of the reservation in a run with all firms
	reservedFirmRequestsPerSecond = 60.0   // of the firm that has a reservation
)

// scaledTiers returns the experiment's three tiers with all rates multiplied by scale.
func scaledTiers(scale float64) []logic.Plan {
	// The parameter burst is in seconds at the rate; the plan's burst is at least four units. The parameter ceiling is the
	// multiple of the plan's rate and burst at which its ceiling lies, 0 for no ceiling. The slack of a ceiling is a tenth
	// of its burst, but at least one unit.
	tier := func(name string, rate, burst, ceiling float64) logic.Plan {
		p := logic.Plan{Name: name, Rate: rate * scale, Burst: max(rate*scale*burst, 4), Price: 1, OverCost: 0.5}
		if ceiling > 0 {
			p.CeilingRate, p.CeilingBurst = ceiling*p.Rate, ceiling*p.Burst
			p.CeilingSlack = max(0.1*p.CeilingBurst, 1)
		}
		return p
	}
	return []logic.Plan{tier("associate", 0.8, 5, 0), tier("regular", 3, 5, 0), tier("full", 8, 2, 2)}
}

// plansRun is one run of the load on a fleet of real limiters.
type plansRun struct {
	Options
	fleet        *Fleet
	sendLog      *SendLog
	rng          *rand.Rand
	firmByID     map[uint64]int      // index in the load's firms
	outcomes     [Unanswered + 1]int // how many tries ended with each Outcome
	refusedTries []refusedTry
	diagnostics  *diagnostics
}

type refusedTry struct {
	firm int // index
	at   time.Time
}

// planChange is a version of the plans as the run applied it.
type planChange struct {
	version     plans.Version
	scale       float64
	effectiveAt time.Time

	// inForceDelay is the longest time until a limiter had the version in force, from effectiveAt or from when the last
	// limiter was told of it, whichever is later.
	inForceDelay time.Duration

	toldAt [limiterCount]time.Time // zero for a limiter that was never told
}

// RunPlans changes the plans every ten seconds (quick: five) under load while one firm draws a reservation. It then runs
// the same load without changes to compare the CPU time (not in a quick run), and last draws another reservation while a
// limiter is killed and the counter loses its state.
func RunPlans(ctx context.Context, options Options) (Result, error) {
	dir, err := os.MkdirTemp("", "bramblelab")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	options.Logf("building the limiter")
	binary, err := BuildLimiter(ctx, dir)
	if err != nil {
		return Result{}, err
	}
	changingTime, lossyTime, unchangedTime := 120*time.Second, 40*time.Second, 120*time.Second
	if options.Quick {
		changingTime, lossyTime, unchangedTime = 21*time.Second, 11*time.Second, 0
	}
	var result Result
	options.Logf("plans change every %s for %s", changeInterval(options.Quick), changingTime)
	cpuMicros, err := runPlansLoad(ctx, options, binary, filepath.Join(dir, "changing"), changingTime, true, &result)
	if err != nil {
		return result, err
	}
	if unchangedTime > 0 {
		options.Logf("the same load for %s without a change", unchangedTime)
		var unchanged Result
		cpuMicrosUnchanged, err := runPlansLoad(ctx, options, binary, filepath.Join(dir, "still"), unchangedTime, false, &unchanged)
		if err != nil {
			return result, err
		}
		table := &Table{Name: "plans-cpu", Columns: []string{"run", "CPU us per request"}}
		table.Add("plans change", cpuMicros)
		table.Add("no change", cpuMicrosUnchanged)
		result.Tables = append(result.Tables, table)
		result.checkBound(cpuMicros <= 1.03*cpuMicrosUnchanged, "CPU per request %.1f us with changes, %.1f us without: 3%% more at most is allowed", cpuMicros, cpuMicrosUnchanged)
	}
	options.Logf("a reservation with a limiter killed and the counter wiped, %s", lossyTime)
	if err := runLossyReservation(ctx, options, binary, filepath.Join(dir, "lossy"), lossyTime, &result); err != nil {
		return result, err
	}
	return result, writeTables(options.OutputDir, result.Tables)
}

// writeTables writes the tables to files in dir. It does nothing if dir is empty.
func writeTables(dir string, tables []*Table) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var errs []error
	for _, table := range tables {
		errs = append(errs, table.WriteFiles(dir))
	}
	return errors.Join(errs...)
}

// changeInterval is the time from one version of the plans to the next.
func changeInterval(quick bool) time.Duration {
	if quick {
		return 5 * time.Second
	}
	return 10 * time.Second
}

// newPlansRun starts the fleet and draws the given number of firms. Of ten firms four are associates, three regular and
// three full members; an eighth sends half of its requests over gRPC. Most use 15% to 50% of their quota, 15% use 90% of
// it, and 12% ask for 1.5 to 4 times their quota.
func newPlansRun(options Options, binary, dir string, firms int) (*plansRun, error) {
	run := &plansRun{Options: options, rng: rand.New(rand.NewPCG(options.Seed, 8)), firmByID: map[uint64]int{}, sendLog: NewSendLog(firms + 1)}
	tiers := scaledTiers(1)
	fleet, err := NewFleet(binary, dir, false, limiterCount, 6, tiers, func(node *standin.Node, args [][]byte) ([]byte, bool, time.Duration) {
		id, _ := strconv.ParseUint(string(args[1]), 16, 64)
		if i, ok := run.firmByID[id]; ok {
			run.sendLog.Record(i, string(args[2]))
		}
		return standin.ValueReply("v"), true, 4 * time.Millisecond
	})
	if err != nil {
		return nil, err
	}
	fleet.World.SkipAudit = true // the requests are not those of the stand-ins' own clients, so nodes must take any; the send log keeps account of them by firm
	run.fleet, run.diagnostics = fleet, newDiagnostics()
	for i := range firms {
		tier := tiers[[]int{0, 0, 0, 0, 1, 1, 1, 2, 2, 2}[i%10]]
		firm := &Firm{ID: 0x1000 + run.rng.Uint64N(1<<32), Tier: tier.Name, Spread: 2 + run.rng.IntN(2), FirstLimiter: run.rng.IntN(limiterCount),
			PreferredShare: 0.4 + 0.3*run.rng.Float64(), HalfOverGRPC: i%8 == 0}
		quotaShare := 0.15 + 0.35*run.rng.Float64()
		switch x := run.rng.Float64(); {
		case x < 0.15:
			quotaShare = 0.9
		case x < 0.27:
			quotaShare = 1.5 + 2.5*run.rng.Float64()
		}
		firm.RequestsPerSecond = quotaShare * tier.Rate
		run.firmByID[firm.ID] = i
		fleet.Load.Firms = append(fleet.Load.Firms, firm)
	}
	fleet.Load.Classes = []Class{{Name: "balance-read", Share: 1, Deadline: requestDeadline}}
	fleet.Load.AfterTry = func(result TryResult) {
		run.outcomes[result.Outcome]++
		run.diagnostics.afterTry(result)
		switch result.Outcome {
		case Admitted:
			run.sendLog.Record(result.Firm, "")
		case Refused:
			run.refusedTries = append(run.refusedTries, refusedTry{result.Firm, result.EndedAt})
		}
	}
	return run, nil
}

// addReservedFirm adds the firm that has a reservation. It asks for far more than its tier's quota.
func (r *plansRun) addReservedFirm() *Firm {
	firm := &Firm{ID: 0x77777777, Tier: "regular", Spread: limiterCount, FirstLimiter: 0, PreferredShare: 0.6, RequestsPerSecond: reservedFirmRequestsPerSecond}
	r.firmByID[firm.ID] = len(r.fleet.Load.Firms)
	r.fleet.Load.Firms = append(r.fleet.Load.Firms, firm)
	return firm
}

// forEachLimiter calls the admin service of every limiter in turn and stops at the first error. All limiters must be up.
func (r *plansRun) forEachLimiter(call func(context.Context, int, adminpb.AdminClient) error) error {
	for limiter := range r.fleet.Limiters {
		if err := r.adminCall(limiter, call); err != nil {
			return fmt.Errorf("limiter %d: %w", limiter, err)
		}
	}
	return nil
}

// adminCall connects to the admin service of a limiter for one call, which must end within five seconds.
func (r *plansRun) adminCall(limiter int, call func(context.Context, int, adminpb.AdminClient) error) error {
	client, closeClient, err := admin.Dial(r.fleet.AdminSocket(limiter))
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return call(ctx, limiter, client)
}

// runPlansLoad runs the load, with or without changes, and returns the limiters' CPU time per try in microseconds. Only
// a run with changes is evaluated into result.
func runPlansLoad(ctx context.Context, options Options, binary, dir string, length time.Duration, changing bool, result *Result) (float64, error) {
	run, err := newPlansRun(options, binary, dir, firmCount)
	if err != nil {
		return 0, err
	}
	defer run.fleet.Close()
	defer run.diagnostics.stop()
	reservedFirm := run.addReservedFirm()
	began := time.Now()
	loadCtx, stop := context.WithTimeout(ctx, length)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		run.fleet.Load.Run(loadCtx, options.Seed)
	}()
	// The reservation outlasts the run: limiters report its use only until it ends.
	from, until := began.Add(time.Second), began.Add(length+10*time.Second)
	reservedUnits := min(maxReservationUnits, 0.5*reservedFirmRequestsPerSecond*(length-3*time.Second).Seconds())
	err = run.grantReservation("ahead-of-a-shipment", reservedFirm, reservedUnits, from, until)
	var changes []planChange
	if err == nil && changing {
		changes, err = run.applyChanges(loadCtx, began, length)
	}
	<-done
	run.Logf("the longest pause of the lab's process: %s", run.diagnostics.pauses.longest(began, time.Now()).Round(time.Millisecond))
	if err = errors.Join(err, run.fleet.CheckCrashes()); err != nil {
		return 0, err
	}
	usedUnits, err := run.reservationUse("ahead-of-a-shipment")
	if err != nil {
		return 0, err
	}
	tries := 0
	for _, n := range run.outcomes {
		tries += n
	}
	cpuMicros := float64(run.fleet.CPUTime().Microseconds()) / float64(max(tries, 1))
	if changing {
		run.evaluate(result, began, changes, reservedFirm, reservedUnits, usedUnits, cpuMicros)
	}
	return cpuMicros, nil
}

// grantReservation grants a firm a reservation at every limiter.
func (r *plansRun) grantReservation(id string, firm *Firm, units float64, from, until time.Time) error {
	reservation := plans.Reservation{ID: id, Firm: firm.ID, Units: units, From: time.Duration(from.UnixNano()), Until: time.Duration(until.UnixNano())}
	return r.forEachLimiter(func(ctx context.Context, _ int, c adminpb.AdminClient) error {
		_, err := c.GrantReservation(ctx, &adminpb.GrantReservationRequest{Reservation: admin.ReservationToProto(reservation, core.ReservationUse{})})
		return err
	})
}

// reservationUse returns how many units of a reservation the limiters have drawn together.
func (r *plansRun) reservationUse(id string) (units float64, err error) {
	err = r.forEachLimiter(func(ctx context.Context, _ int, c adminpb.AdminClient) error {
		book, err := c.ShowPlans(ctx, &adminpb.ShowPlansRequest{})
		for _, reservation := range book.GetReservations() {
			if reservation.GetId() == id {
				units += reservation.GetUsed()
			}
		}
		return err
	})
	return units, err
}

// applyChanges applies versions that scale the plans up and down, a second before each takes effect. Every third reaches
// one limiter late: three seconds after it takes effect, or half the interval between versions if that is shorter. Every
// fourth never reaches one limiter.
func (r *plansRun) applyChanges(ctx context.Context, began time.Time, length time.Duration) (changes []planChange, err error) {
	scales := []float64{0.5, 1.6, 0.7, 1.2, 0.4, 2, 1}
	interval := changeInterval(r.Quick)
	for step := 0; began.Add(time.Duration(step+1) * interval).Before(began.Add(length - interval/2)); step++ {
		effectiveAt := began.Add(time.Duration(step+1) * interval)
		change := planChange{scale: scales[step%len(scales)], effectiveAt: effectiveAt}
		change.version = plans.Version{Number: uint64(step + 1), Effective: time.Duration(effectiveAt.UnixNano()), Note: fmt.Sprintf("step %d", step+1), Tiers: scaledTiers(change.scale)}
		time.Sleep(time.Until(effectiveAt.Add(-time.Second)))
		lateLimiter := -1
		if step%3 == 2 {
			lateLimiter = r.rng.IntN(limiterCount)
		}
		skippedLimiter := -1
		if step%4 == 3 {
			skippedLimiter = r.rng.IntN(limiterCount)
		}
		tell := func(ctx context.Context, limiter int, client adminpb.AdminClient) error {
			change.toldAt[limiter] = time.Now()
			_, err := client.ApplyPlans(ctx, &adminpb.ApplyPlansRequest{Version: admin.VersionToProto(change.version)})
			return err
		}
		for limiter := range limiterCount {
			if limiter != lateLimiter && limiter != skippedLimiter {
				if err := r.adminCall(limiter, tell); err != nil {
					return changes, fmt.Errorf("apply version %d at limiter %d: %w", step+1, limiter, err)
				}
			}
		}
		if lateLimiter >= 0 && lateLimiter != skippedLimiter {
			delay := min(3*time.Second, interval/2)
			time.Sleep(time.Until(effectiveAt.Add(delay)))
			if err := r.adminCall(lateLimiter, tell); err != nil {
				return changes, fmt.Errorf("apply version %d late at limiter %d: %w", step+1, lateLimiter, err)
			}
		}
		changes = append(changes, change)
		r.Logf("version %d: scale %g", step+1, change.scale)
		if ctx.Err() != nil {
			break
		}
	}
	return changes, nil
}

// planTimeline reads from the limiters' logs when each had which plan figures in force, and sets inForceDelay of the
// changes.
func (r *plansRun) planTimeline(began time.Time, changes []planChange) (timeline PlanTimeline) {
	for _, limiter := range r.fleet.Limiters {
		periods := []PlanPeriod{{began.Add(-time.Minute), scaledTiers(1)}}
		for line := range strings.SplitSeq(limiter.Log(), "\n") {
			_, rest, ok := strings.Cut(line, `msg="plans in force" version=`)
			if !ok || !strings.HasPrefix(line, "time=") {
				continue
			}
			number, _ := strconv.Atoi(strings.Fields(rest)[0])
			loggedAt, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.Fields(line)[0], "time="))
			if err == nil && number > 0 && number <= len(changes) {
				periods = append(periods, PlanPeriod{loggedAt, changes[number-1].version.Tiers})
				expectedAt := changes[number-1].effectiveAt
				for _, toldAt := range changes[number-1].toldAt {
					if toldAt.After(expectedAt) {
						expectedAt = toldAt
					}
				}
				changes[number-1].inForceDelay = max(changes[number-1].inForceDelay, loggedAt.Sub(expectedAt))
			}
		}
		timeline.ByLimiter = append(timeline.ByLimiter, periods)
	}
	return timeline
}

// propagationGrace is the longest time that limiters may take to put a version in force, once it is due and all have been
// told. For as long after the last limiter has put the version in force, the figures of the previous version are still
// allowed; then only the new ones are.
const propagationGrace = 500 * time.Millisecond

// plansEvaluation is what evaluate derives from a run with changes.
type plansEvaluation struct {
	run      *plansRun
	began    time.Time
	timeline PlanTimeline
	changes  []planChange
	windows  [][2]time.Time // the second after each change

	sentInWindow     map[string][]float64 // by tier, units sent on in each window
	beyondInWindow   map[string][]float64 // by tier, those of them beyond the quota
	firmCount        map[string]float64   // by tier
	worstCeiling     float64              // units by which a ceiling with its slack was exceeded
	ceilingDetails   string
	worstOverPercent float64 // units beyond a quota in a window, of the larger plan's
}

var planTierNames = []string{"associate", "regular", "full"}

// evaluate compares what was passed on with the plan figures in force, checks the bounds and adds the tables. reservedUnits
// is the size of the reservation, and usedUnits is how much of it was drawn.
func (r *plansRun) evaluate(result *Result, began time.Time, changes []planChange, reservedFirm *Firm, reservedUnits, usedUnits, cpuMicros float64) {
	e := &plansEvaluation{run: r, began: began, timeline: r.planTimeline(began, changes), changes: changes,
		sentInWindow: map[string][]float64{}, beyondInWindow: map[string][]float64{}, firmCount: map[string]float64{}}
	for _, change := range changes {
		e.windows = append(e.windows, [2]time.Time{change.effectiveAt, change.effectiveAt.Add(time.Second)})
	}
	tiers := &Table{Name: "plans-tiers", Columns: []string{"tier", "units sent on", "beyond quota %", "ceiling overshoot units", "refused", "refused with room"}}
	for _, tier := range planTierNames {
		e.evaluateTier(tier, tiers, reservedFirm, usedUnits)
	}
	versions, chartLines := e.checkChanges(result)
	e.checkRules(result, reservedUnits, usedUnits)
	result.Tables = append(result.Tables, versions, tiers, r.totalsTable(reservedUnits, usedUnits, cpuMicros))
	r.writeOvershootChart(chartLines)
	result.Summary = fmt.Sprintf("worst overshoot of a quota in the second after a change %.2f%%, of the ceiling %.2f units, reservation %.1f%% drawn",
		e.worstOverPercent, max(e.worstCeiling, 0), 100*usedUnits/reservedUnits)
}

// evaluateTier adds up what was passed on for the firms of a tier, and adds the tier's row to the table.
func (e *plansEvaluation) evaluateTier(tier string, table *Table, reservedFirm *Firm, usedUnits float64) {
	var sum QuotaUse
	sum.BeyondQuotaInWindow, sum.SentInWindow = make([]float64, len(e.windows)), make([]float64, len(e.windows))
	refused, refusedWithRoom := 0, 0
	for i, firm := range e.run.fleet.Load.Firms {
		if firm.Tier != tier {
			continue
		}
		e.firmCount[tier]++
		reservedUsed := 0.0
		if firm == reservedFirm {
			reservedUsed = usedUnits
		}
		use := e.run.sendLog.Evaluate(i, tier, e.timeline, e.began, propagationGrace, reservedUsed, e.windows)
		sum.Sent, sum.BeyondQuota = sum.Sent+use.Sent, sum.BeyondQuota+use.BeyondQuota
		sum.OverCeiling = max(sum.OverCeiling, use.OverCeiling)
		if use.OverCeiling > 0 {
			e.ceilingDetails += e.run.diagnostics.describeWorstSend(firm, use)
		}
		for window := range e.windows {
			sum.BeyondQuotaInWindow[window] += use.BeyondQuotaInWindow[window]
			sum.SentInWindow[window] += use.SentInWindow[window]
		}
		firmRefused, firmRefusedWithRoom := e.run.countRefusals(i, tier, e.timeline, e.began)
		refused, refusedWithRoom = refused+firmRefused, refusedWithRoom+firmRefusedWithRoom
	}
	table.Add(tier, sum.Sent, 100*sum.BeyondQuota/max(sum.Sent, 1), sum.OverCeiling, refused, refusedWithRoom)
	e.worstCeiling = max(e.worstCeiling, sum.OverCeiling)
	e.sentInWindow[tier], e.beyondInWindow[tier] = sum.SentInWindow, sum.BeyondQuotaInWindow
}

// checkChanges checks the second after each change, and how soon it was in force. It returns the table of the versions and
// the lines of the chart.
func (e *plansEvaluation) checkChanges(result *Result) (versions *Table, chartLines map[string]plotter.XYs) {
	versions = &Table{Name: "plans-versions", Columns: []string{"version", "scale", "tier", "units in the second after", "beyond, % of the larger plan", "in force after ms"}}
	chartLines = map[string]plotter.XYs{}
	for window, change := range e.changes {
		for _, tier := range planTierNames {
			// The share is of what the larger of both plans grants all firms of the tier in that second.
			after, before := e.timeline.LargestPlan(tier, change.effectiveAt.Add(time.Second)), e.timeline.LargestPlan(tier, change.effectiveAt.Add(-time.Millisecond))
			beyond := e.beyondInWindow[tier][window]
			overPercent := 100 * beyond / (max(after.Rate, before.Rate) * e.firmCount[tier])
			versions.Add(change.version.Number, change.scale, tier, e.sentInWindow[tier][window], overPercent, float64(change.inForceDelay.Microseconds())/1000)
			chartLines[tier] = append(chartLines[tier], plotter.XY{X: float64(change.version.Number), Y: overPercent})
			e.worstOverPercent = max(e.worstOverPercent, overPercent)
			result.checkBound(overPercent <= 10 || beyond <= 2, "version %d, %s: %.1f%% of the larger quota was passed on beyond it in the second after; 10%% or 2 units at most are allowed", change.version.Number, tier, overPercent)
		}
		result.checkBound(change.inForceDelay <= propagationGrace, "version %d was in force at all limiters only after %s, want at most %s", change.version.Number, change.inForceDelay, propagationGrace)
	}
	return versions, chartLines
}

// checkRules checks the rules of the run as a whole.
func (e *plansEvaluation) checkRules(result *Result, reservedUnits, usedUnits float64) {
	r := e.run
	result.checkRule(e.worstCeiling <= 0, "the ceiling with its slack was exceeded by %.2f units%s", e.worstCeiling, e.ceilingDetails)
	result.checkRule(r.outcomes[Unanswered] == 0 && r.outcomes[ConnectionLost] == 0, "%d requests without a final answer, %d cut off%s", r.outcomes[Unanswered], r.outcomes[ConnectionLost],
		r.diagnostics.describeWithoutAnswer(r.fleet.Load.Firms))
	result.checkBound(usedUnits >= 0.97*reservedUnits, "of a reservation of %.0f units only %.0f were drawn, want at least 97%%", reservedUnits, usedUnits)
	result.checkRule(usedUnits <= reservedUnits+1e-6, "of a reservation of %.0f units %.0f were drawn", reservedUnits, usedUnits)
	result.checkBound(len(e.changes) > 0, "no version of the plans was applied")
}

// totalsTable has the figures of the run as a whole.
func (r *plansRun) totalsTable(reservedUnits, usedUnits, cpuMicros float64) *Table {
	totals := &Table{Name: "plans-run", Columns: []string{"figure", "value"}}
	for i, name := range []string{"served", "admitted", "refused", "failed", "cut off", "unanswered"} {
		totals.Add(name, r.outcomes[i])
	}
	totals.Add("reserved units", reservedUnits)
	totals.Add("drawn of them", usedUnits)
	totals.Add("CPU us per request", cpuMicros)
	totals.Add("latency ms, median", float64(r.fleet.Load.Latency.ValueAtQuantile(50))/1000)
	totals.Add("latency ms, 99th percentile", float64(r.fleet.Load.Latency.ValueAtQuantile(99))/1000)
	return totals
}

// writeOvershootChart draws the units beyond quotas in the second after each change, where charts are wanted.
func (r *plansRun) writeOvershootChart(lines map[string]plotter.XYs) {
	if r.OutputDir == "" || len(lines[planTierNames[0]]) < 2 {
		return
	}
	_ = os.MkdirAll(r.OutputDir, 0o755)
	chart := Chart{Name: "plans-overshoot", Title: "Units beyond the larger quota in the second after a change", XLabel: "version", YLabel: "per cent of the larger plan", Lines: lines}
	if err := chart.WriteSVG(r.OutputDir); err != nil {
		r.Logf("the chart could not be written: %v", err)
	}
}

// countRefusals counts a firm's rejected tries, and those of them at which at least half of its token bucket was left.
func (r *plansRun) countRefusals(firm int, tier string, timeline PlanTimeline, began time.Time) (total, withRoom int) {
	sends := r.sendLog.firmSends(firm)
	plan := timeline.LargestPlan(tier, began)
	bucket, sent := tokenBucket{plan.Burst, began}, 0
	for _, refused := range r.refusedTries {
		if refused.firm != firm {
			continue
		}
		for ; sent < len(sends) && sends[sent].At.Before(refused.at); sent++ {
			plan = timeline.LargestPlan(tier, sends[sent].At)
			bucket.refill(sends[sent].At, plan.Rate, plan.Burst)
			bucket.tokens--
		}
		plan = timeline.LargestPlan(tier, refused.at)
		bucket.refill(refused.at, plan.Rate, plan.Burst)
		if total++; bucket.tokens >= plan.Burst/2 {
			withRoom++
		}
	}
	return total, withRoom
}

// runLossyReservation draws a reservation while a limiter is killed and restarted and the counter loses all its state.
// It checks that no more is passed on than the stated bound: the reserved units, what the plan grants in that time, one
// lease for each limiter, and what the firm asks for within reserve.MaxLossWindow before and after the counter's loss.
func runLossyReservation(ctx context.Context, options Options, binary, dir string, length time.Duration, result *Result) error {
	run, err := newPlansRun(options, binary, dir, 0)
	if err != nil {
		return err
	}
	defer run.fleet.Close()
	defer run.diagnostics.stop()
	reservedFirm := run.addReservedFirm()
	began := time.Now()
	loadCtx, stop := context.WithTimeout(ctx, length)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		run.fleet.Load.Run(loadCtx, options.Seed)
	}()
	reservedUnits := 0.6 * reservedFirmRequestsPerSecond * length.Seconds()
	from, until := began, began.Add(length+time.Minute)
	if err := run.grantReservation("through-losses", reservedFirm, reservedUnits, from, until); err != nil {
		return err
	}
	time.Sleep(length / 3)
	run.fleet.KillLimiter(2)
	run.fleet.World.Counter.Clear()
	time.Sleep(time.Second)
	if err := run.fleet.StartLimiter(2); err != nil {
		return err
	}
	reservation := plans.Reservation{ID: "through-losses", Firm: reservedFirm.ID, Units: reservedUnits, From: time.Duration(from.UnixNano()), Until: time.Duration(until.UnixNano())}
	err = run.adminCall(2, func(ctx context.Context, _ int, c adminpb.AdminClient) error {
		_, err := c.GrantReservation(ctx, &adminpb.GrantReservationRequest{Reservation: admin.ReservationToProto(reservation, core.ReservationUse{})})
		return err
	})
	<-done
	if err = errors.Join(err, run.fleet.CheckCrashes()); err != nil {
		return err
	}
	sentUnits := float64(len(run.sendLog.firmSends(run.firmByID[reservedFirm.ID])))
	tier := scaledTiers(1)[1]
	elapsedSeconds := time.Since(began).Seconds()
	quotaUnits := tier.Burst + tier.Rate*elapsedSeconds + tier.Burst/limiterCount // a limiter that restarts has its part of the burst again
	boundUnits := reservedUnits + quotaUnits + float64(limiterCount)*reservedUnits/reserve.LeaseDivisor + reservedFirmRequestsPerSecond*2*reserve.MaxLossWindow.Seconds()
	table := &Table{Name: "plans-losses", Columns: []string{"figure", "value"}}
	table.Add("reserved units", reservedUnits)
	table.Add("units of the plan in that time", quotaUnits)
	table.Add("sent on", sentUnits)
	table.Add("stated bound", boundUnits)
	result.Tables = append(result.Tables, table)
	result.checkRule(sentUnits <= boundUnits, "with a limiter killed and the counter wiped %.0f units were sent on, the bound is %.0f", sentUnits, boundUnits)
	result.checkRule(run.outcomes[Unanswered] == 0, "%d requests without a final answer%s", run.outcomes[Unanswered], run.diagnostics.describeWithoutAnswer(run.fleet.Load.Firms))
	return nil
}
