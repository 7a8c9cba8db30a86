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

// Options are a run's.
type Options struct {
	Seed  uint64
	Quick bool
	Out   string // directory for tables and charts; "": none
	Say   func(format string, args ...any)
}

// Result is a run's: the bars that do not hold, and the main figure.
type Result struct {
	Broken []string
	Rules  []string // of them those that hold however slow the machine is
	Main   string
	Tables []*Table
}

// rule is a bar that holds however slow the machine is.
func (r *Result) rule(holds bool, format string, args ...any) {
	r.bar(holds, format, args...)
	if !holds {
		r.Rules = append(r.Rules, fmt.Sprintf(format, args...))
	}
}

func (r *Result) bar(holds bool, format string, args ...any) {
	if !holds {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

const (
	planFirms    = 200
	planLimiters = 3
	planWait     = 4 * time.Second
	granted      = 2000.0 // units of a reservation
	spenderRate  = 60.0   // requests a second of a firm with a reservation
)

// planTiers are the run's three tiers at a scale.
func planTiers(scale float64) []logic.Plan {
	t := func(name string, rate, burst, ceiling float64) logic.Plan {
		p := logic.Plan{Name: name, Rate: rate * scale, Burst: max(rate*scale*burst, 4), Price: 1, OverCost: 0.5}
		if ceiling > 0 {
			p.CeilingRate, p.CeilingBurst = ceiling*p.Rate, ceiling*p.Burst
			p.CeilingSlack = max(0.1*p.CeilingBurst, 1)
		}
		return p
	}
	return []logic.Plan{t("associate", 0.8, 5, 0), t("regular", 3, 5, 0), t("full", 8, 2, 2)}
}

type plansRun struct {
	Options
	fleet   *Fleet
	truth   *Truth
	rng     *rand.Rand
	byID    map[uint64]int
	ends    [Unanswered + 1]int
	refused []refusal
	trace   *trace
}

type refusal struct {
	firm int
	at   time.Time
}

// change is one version as the run gave it out.
type change struct {
	version plans.Version
	scale   float64
	at      time.Time
	holds   time.Duration // from its instant, or from when the last limiter was told, until all had it in force
	told    [planLimiters]time.Time
}

// Plans changes plans every ten seconds under load and draws two reservations.
func Plans(ctx context.Context, o Options) (Result, error) {
	dir, err := os.MkdirTemp("", "bramblelab")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	o.Say("building the limiter")
	binary, err := Build(ctx, dir)
	if err != nil {
		return Result{}, err
	}
	changing, lossy, still := 120*time.Second, 40*time.Second, 120*time.Second
	if o.Quick {
		changing, lossy, still = 21*time.Second, 11*time.Second, 0
	}
	var result Result
	o.Say("plans change every %s for %s", changeEvery(o.Quick), changing)
	cpu, err := planned(ctx, o, binary, filepath.Join(dir, "changing"), changing, true, &result)
	if err != nil {
		return result, err
	}
	if still > 0 {
		o.Say("the same load for %s without a change", still)
		var calm Result
		without, err := planned(ctx, o, binary, filepath.Join(dir, "still"), still, false, &calm)
		if err != nil {
			return result, err
		}
		t := &Table{Name: "plans-cpu", Head: []string{"run", "CPU us per request"}}
		t.Add("plans change", cpu)
		t.Add("no change", without)
		result.Tables = append(result.Tables, t)
		result.bar(cpu <= 1.03*without, "CPU per request %.1f us with changes, %.1f us without: over 3%% more", cpu, without)
	}
	o.Say("a reservation with a limiter killed and the counter wiped, %s", lossy)
	if err := lossyReservation(ctx, o, binary, filepath.Join(dir, "lossy"), lossy, &result); err != nil {
		return result, err
	}
	return result, keep(o.Out, result.Tables)
}

func keep(dir string, tables []*Table) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var errs []error
	for _, t := range tables {
		errs = append(errs, t.Keep(dir))
	}
	return errors.Join(errs...)
}

func changeEvery(quick bool) time.Duration {
	if quick {
		return 5 * time.Second
	}
	return 10 * time.Second
}

// newPlansRun starts the fleet and draws the firms.
func newPlansRun(o Options, binary, dir string, firms int) (*plansRun, error) {
	r := &plansRun{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 8)), byID: map[uint64]int{}, truth: NewTruth(firms + 1)}
	tiers := planTiers(1)
	fleet, err := NewFleet(binary, dir, false, planLimiters, 6, tiers, func(n *standin.Node, args [][]byte) ([]byte, bool, time.Duration) {
		id, _ := strconv.ParseUint(string(args[1]), 16, 64)
		if k, ok := r.byID[id]; ok {
			r.truth.Sent(k, string(args[2]))
		}
		return standin.Value("v"), true, 4 * time.Millisecond
	})
	if err != nil {
		return nil, err
	}
	fleet.World.Unchecked = true // the truth is kept here, by firm
	r.fleet, r.trace = fleet, newTrace()
	for k := range firms {
		tier := tiers[[]int{0, 0, 0, 0, 1, 1, 1, 2, 2, 2}[k%10]]
		f := &Firm{ID: 0x1000 + r.rng.Uint64N(1<<32), Tier: tier.Name, Spread: 2 + r.rng.IntN(2), First: r.rng.IntN(planLimiters),
			Skew: 0.4 + 0.3*r.rng.Float64(), Mixed: k%8 == 0}
		use := 0.15 + 0.35*r.rng.Float64()
		switch x := r.rng.Float64(); {
		case x < 0.15:
			use = 0.9
		case x < 0.27:
			use = 1.5 + 2.5*r.rng.Float64()
		}
		f.Demand = use * tier.Rate
		r.byID[f.ID] = k
		fleet.Load.Firms = append(fleet.Load.Firms, f)
	}
	fleet.Load.Classes = []Class{{Name: "balance-read", Share: 1, Deadline: planWait}}
	fleet.Load.Ended = func(e End) {
		r.ends[e.Kind]++
		r.trace.ended(e)
		switch e.Kind {
		case Admitted:
			r.truth.Sent(e.Firm, "")
		case Refused:
			r.refused = append(r.refused, refusal{e.Firm, e.At})
		}
	}
	return r, nil
}

// spender adds the firm that has a reservation.
func (r *plansRun) spender() *Firm {
	f := &Firm{ID: 0x77777777, Tier: "regular", Spread: planLimiters, First: 0, Skew: 0.6, Demand: spenderRate}
	r.byID[f.ID] = len(r.fleet.Load.Firms)
	r.fleet.Load.Firms = append(r.fleet.Load.Firms, f)
	return f
}

// each makes an admin call to every limiter that is up.
func (r *plansRun) each(call func(context.Context, int, adminpb.AdminClient) error) error {
	for k := range r.fleet.Limiters {
		if err := r.admin(k, call); err != nil {
			return fmt.Errorf("limiter %d: %w", k, err)
		}
	}
	return nil
}

func (r *plansRun) admin(k int, call func(context.Context, int, adminpb.AdminClient) error) error {
	client, end, err := admin.Dial(r.fleet.Socket(k))
	if err != nil {
		return err
	}
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return call(ctx, k, client)
}

// planned runs the load, with or without changes, and gives the CPU per request in microseconds.
func planned(ctx context.Context, o Options, binary, dir string, length time.Duration, changing bool, result *Result) (float64, error) {
	r, err := newPlansRun(o, binary, dir, planFirms)
	if err != nil {
		return 0, err
	}
	defer r.fleet.Close()
	defer r.trace.end()
	spender := r.spender()
	began := time.Now()
	run, stop := context.WithTimeout(ctx, length)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.fleet.Load.Run(run, o.Seed)
	}()
	from, until := began.Add(time.Second), began.Add(length+10*time.Second) // it is told of for as long as it lasts
	units := min(granted, 0.5*spenderRate*(length-3*time.Second).Seconds())
	err = r.grant("ahead-of-a-shipment", spender, units, from, until)
	var changes []change
	if err == nil && changing {
		changes, err = r.change(run, began, length)
	}
	<-done
	r.Say("the longest pause of the lab's process: %s", r.trace.pauses.longest(began, time.Now()).Round(time.Millisecond))
	if err = errors.Join(err, r.fleet.Crash()); err != nil {
		return 0, err
	}
	used, err := r.used("ahead-of-a-shipment")
	if err != nil {
		return 0, err
	}
	requests := 0
	for _, n := range r.ends {
		requests += n
	}
	cpu := float64(r.fleet.CPU().Microseconds()) / float64(max(requests, 1))
	if changing {
		r.judge(result, began, changes, spender, units, used, cpu)
	}
	return cpu, nil
}

func (r *plansRun) grant(id string, f *Firm, units float64, from, until time.Time) error {
	x := plans.Reservation{ID: id, Firm: f.ID, Units: units, From: time.Duration(from.UnixNano()), Until: time.Duration(until.UnixNano())}
	return r.each(func(ctx context.Context, _ int, c adminpb.AdminClient) error {
		_, err := c.GrantReservation(ctx, &adminpb.GrantReservationRequest{Reservation: admin.ReservationOut(x, core.ReservationUse{})})
		return err
	})
}

// used is what the limiters that are up have drawn of a reservation.
func (r *plansRun) used(id string) (sum float64, err error) {
	err = r.each(func(ctx context.Context, _ int, c adminpb.AdminClient) error {
		b, err := c.ShowPlans(ctx, &adminpb.ShowPlansRequest{})
		for _, x := range b.GetReservations() {
			if x.GetId() == id {
				sum += x.GetUsed()
			}
		}
		return err
	})
	return sum, err
}

// change gives out versions, up and down. Every third reaches one limiter late, and every fourth one limiter never.
func (r *plansRun) change(ctx context.Context, began time.Time, length time.Duration) (list []change, err error) {
	scales := []float64{0.5, 1.6, 0.7, 1.2, 0.4, 2, 1}
	every := changeEvery(r.Quick)
	for n := 0; began.Add(time.Duration(n+1) * every).Before(began.Add(length - every/2)); n++ {
		at := began.Add(time.Duration(n+1) * every)
		c := change{scale: scales[n%len(scales)], at: at}
		c.version = plans.Version{Number: uint64(n + 1), Effective: time.Duration(at.UnixNano()), Note: fmt.Sprintf("step %d", n+1), Tiers: planTiers(c.scale)}
		time.Sleep(time.Until(at.Add(-time.Second)))
		late := -1
		if n%3 == 2 {
			late = r.rng.IntN(planLimiters)
		}
		never := -1
		if n%4 == 3 {
			never = r.rng.IntN(planLimiters)
		}
		tell := func(ctx context.Context, k int, client adminpb.AdminClient) error {
			c.told[k] = time.Now()
			_, err := client.ApplyPlans(ctx, &adminpb.ApplyPlansRequest{Version: admin.VersionOut(c.version)})
			return err
		}
		for k := range planLimiters {
			if k != late && k != never {
				if err := r.admin(k, tell); err != nil {
					return list, fmt.Errorf("version %d at limiter %d: %w", n+1, k, err)
				}
			}
		}
		if late >= 0 && late != never {
			delay := min(3*time.Second, every/2)
			time.Sleep(time.Until(at.Add(delay)))
			if err := r.admin(late, tell); err != nil {
				return list, fmt.Errorf("version %d late at limiter %d: %w", n+1, late, err)
			}
		}
		list = append(list, c)
		r.Say("version %d: scale %g", n+1, c.scale)
		if ctx.Err() != nil {
			break
		}
	}
	return list, nil
}

// periods reads from the limiters' logs which figures each had in force when.
func (r *plansRun) periods(began time.Time, changes []change) (f Figures) {
	for _, l := range r.fleet.Limiters {
		list := []Period{{began.Add(-time.Minute), planTiers(1)}}
		for line := range strings.SplitSeq(l.Log(), "\n") {
			_, rest, ok := strings.Cut(line, `msg="plans in force" version=`)
			if !ok || !strings.HasPrefix(line, "time=") {
				continue
			}
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			at, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.Fields(line)[0], "time="))
			if err == nil && n > 0 && n <= len(changes) {
				list = append(list, Period{at, changes[n-1].version.Tiers})
				due := changes[n-1].at
				for _, told := range changes[n-1].told {
					if told.After(due) {
						due = told
					}
				}
				changes[n-1].holds = max(changes[n-1].holds, at.Sub(due))
			}
		}
		f.Limiters = append(f.Limiters, list)
	}
	return f
}

const graceAfter = 500 * time.Millisecond // after the last limiter has a version, only it holds

// judge holds what was sent on against the figures and writes the tables.
func (r *plansRun) judge(result *Result, began time.Time, changes []change, spender *Firm, units, used, cpu float64) {
	figures := r.periods(began, changes)
	var windows [][2]time.Time
	for _, c := range changes {
		windows = append(windows, [2]time.Time{c.at, c.at.Add(time.Second)})
	}
	versions := &Table{Name: "plans-versions", Head: []string{"version", "scale", "tier", "units in the second after", "beyond, % of the larger plan", "in force after ms"}}
	tiers := &Table{Name: "plans-tiers", Head: []string{"tier", "units sent on", "beyond quota %", "ceiling overshoot units", "refused", "refused with room"}}
	worst, worstCeiling, overCeiling := 0.0, 0.0, ""
	lines := map[string]plotter.XYs{}
	names := []string{"associate", "regular", "full"}
	sent, beyond, firms := map[string][]float64{}, map[string][]float64{}, map[string]float64{}
	for _, tier := range names {
		var all Verdict
		all.BeyondIn, all.SentIn = make([]float64, len(windows)), make([]float64, len(windows))
		refused, room := 0, 0
		for k, f := range r.fleet.Load.Firms {
			if f.Tier != tier {
				continue
			}
			firms[tier]++
			reserved := 0.0
			if f == spender {
				reserved = used
			}
			v := r.truth.Judge(k, tier, figures, began, graceAfter, reserved, windows)
			all.Sent, all.Beyond, all.Over = all.Sent+v.Sent, all.Beyond+v.Beyond, max(all.Over, v.Over)
			if v.Over > 0 {
				overCeiling += r.trace.worst(f, v)
			}
			for w := range windows {
				all.BeyondIn[w] += v.BeyondIn[w]
				all.SentIn[w] += v.SentIn[w]
			}
			n, with := r.refusals(k, tier, figures, began)
			refused, room = refused+n, room+with
		}
		tiers.Add(tier, all.Sent, 100*all.Beyond/max(all.Sent, 1), all.Over, refused, room)
		worstCeiling = max(worstCeiling, all.Over)
		sent[tier], beyond[tier] = all.SentIn, all.BeyondIn
	}
	for w, c := range changes {
		for _, tier := range names {
			// Of what the larger of both plans gives the tier's firms in that second.
			now, before := figures.At(tier, c.at.Add(time.Second)), figures.At(tier, c.at.Add(-time.Millisecond))
			over := 100 * beyond[tier][w] / (max(now.Rate, before.Rate) * firms[tier])
			versions.Add(c.version.Number, c.scale, tier, sent[tier][w], over, float64(c.holds.Microseconds())/1000)
			lines[tier] = append(lines[tier], plotter.XY{X: float64(c.version.Number), Y: over})
			worst = max(worst, over)
			result.bar(over <= 10 || beyond[tier][w] <= 2, "version %d, %s: %.1f%% beyond the larger quota in the second after", c.version.Number, tier, over)
		}
		result.bar(c.holds <= graceAfter, "version %d was in force only after %s", c.version.Number, c.holds)
	}
	result.rule(worstCeiling <= 0, "the ceiling with its slack was passed by %.2f units%s", worstCeiling, overCeiling)
	result.rule(r.ends[Unanswered] == 0 && r.ends[Cut] == 0, "%d requests without a final answer, %d cut off%s", r.ends[Unanswered], r.ends[Cut],
		r.trace.requests(r.fleet.Load.Firms))
	result.bar(used >= 0.97*units, "a reservation of %.0f units gave %.0f", units, used)
	result.rule(used <= units+1e-6, "a reservation of %.0f units gave %.0f", units, used)
	result.bar(len(changes) > 0, "no version was given out")
	run := &Table{Name: "plans-run", Head: []string{"figure", "value"}}
	for k, name := range []string{"served", "admitted", "refused", "failed", "cut off", "unanswered"} {
		run.Add(name, r.ends[k])
	}
	run.Add("reserved units", units)
	run.Add("drawn of them", used)
	run.Add("CPU us per request", cpu)
	run.Add("latency ms, median", float64(r.fleet.Load.Latency.ValueAtQuantile(50))/1000)
	run.Add("latency ms, 99th percentile", float64(r.fleet.Load.Latency.ValueAtQuantile(99))/1000)
	result.Tables = append(result.Tables, versions, tiers, run)
	if r.Out != "" && len(changes) > 1 {
		_ = os.MkdirAll(r.Out, 0o755)
		c := Chart{Name: "plans-overshoot", Title: "Units beyond the larger quota in the second after a change", X: "version", Y: "per cent of the larger plan", Lines: lines}
		if err := c.Keep(r.Out); err != nil {
			r.Say("no chart: %v", err)
		}
	}
	result.Main = fmt.Sprintf("worst overshoot of a quota in the second after a change %.2f%%, of the ceiling %.2f units, reservation %.1f%% drawn",
		worst, max(worstCeiling, 0), 100*used/units)
}

// refusals counts a firm's refusals, and those with half of its store unused at that moment.
func (r *plansRun) refusals(firm int, tier string, f Figures, began time.Time) (all, room int) {
	sends := r.truth.of(firm)
	p := f.At(tier, began)
	s, k := store{p.Burst, began}, 0
	for _, x := range r.refused {
		if x.firm != firm {
			continue
		}
		for ; k < len(sends) && sends[k].At.Before(x.at); k++ {
			p = f.At(tier, sends[k].At)
			s.fill(sends[k].At, p.Rate, p.Burst)
			s.level--
		}
		p = f.At(tier, x.at)
		s.fill(x.at, p.Rate, p.Burst)
		if all++; s.level >= p.Burst/2 {
			room++
		}
	}
	return all, room
}

// lossyReservation draws a reservation while a limiter is killed and started again and the counter forgets all.
func lossyReservation(ctx context.Context, o Options, binary, dir string, length time.Duration, result *Result) error {
	r, err := newPlansRun(o, binary, dir, 0)
	if err != nil {
		return err
	}
	defer r.fleet.Close()
	defer r.trace.end()
	spender := r.spender()
	began := time.Now()
	run, stop := context.WithTimeout(ctx, length)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.fleet.Load.Run(run, o.Seed)
	}()
	units := 0.6 * spenderRate * length.Seconds()
	from, until := began, began.Add(length+time.Minute)
	if err := r.grant("through-losses", spender, units, from, until); err != nil {
		return err
	}
	time.Sleep(length / 3)
	r.fleet.Kill(2)
	r.fleet.World.Counter.Wipe()
	time.Sleep(time.Second)
	if err := r.fleet.Start(2); err != nil {
		return err
	}
	x := plans.Reservation{ID: "through-losses", Firm: spender.ID, Units: units, From: time.Duration(from.UnixNano()), Until: time.Duration(until.UnixNano())}
	err = r.admin(2, func(ctx context.Context, _ int, c adminpb.AdminClient) error {
		_, err := c.GrantReservation(ctx, &adminpb.GrantReservationRequest{Reservation: admin.ReservationOut(x, core.ReservationUse{})})
		return err
	})
	<-done
	if err = errors.Join(err, r.fleet.Crash()); err != nil {
		return err
	}
	sent := float64(len(r.truth.of(r.byID[spender.ID])))
	tier := planTiers(1)[1]
	ended := time.Since(began).Seconds()
	quota := tier.Burst + tier.Rate*ended + tier.Burst/planLimiters // a limiter that starts again has its store's part anew
	bound := units + quota + float64(planLimiters)*units/reserve.Part + spenderRate*2*reserve.Blind.Seconds()
	t := &Table{Name: "plans-losses", Head: []string{"figure", "value"}}
	t.Add("reserved units", units)
	t.Add("units of the plan in that time", quota)
	t.Add("sent on", sent)
	t.Add("stated bound", bound)
	result.Tables = append(result.Tables, t)
	result.rule(sent <= bound, "with a limiter killed and the counter wiped %.0f units were sent on, the bound is %.0f", sent, bound)
	result.rule(r.ends[Unanswered] == 0, "%d requests without a final answer%s", r.ends[Unanswered], r.trace.requests(r.fleet.Load.Firms))
	return nil
}
