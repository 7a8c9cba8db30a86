package scale

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"

	"bramblefall/internal/lab"
	"bramblefall/internal/model"
)

// AllPlans stands in place of a plan's name in a row about all plans together.
const AllPlans = "all"

// quotaLoad is a load under which the quota error is measured for several numbers of limiters.
type quotaLoad struct {
	name, description string
	counters          []counterKind
	warmupSeconds     float64 // with more than maxDenseLimiters limiters
	scenario          func(limiters int) (model.Scenario, error)
}

// counterKind is a kind of quota counter: its speed as a multiple of the platform's (0: unlimited), and whether the limiters'
// own budget of calls is lifted.
type counterKind struct {
	speed      float64
	unbudgeted bool
}

var (
	allCounters = []counterKind{{speed: 1}, {speed: 2}, {speed: 8}, {speed: 0}, {speed: 0, unbudgeted: true}}
	keyCounters = []counterKind{{speed: 1}, {speed: 0}, {speed: 0, unbudgeted: true}}
	slowCounter = counterKind{speed: 0.25} // overloaded even where the total load stays the same
)

// A limiter begins with a third of its budget of calls and gets the rest in the course of some fifty answers, which takes
// longer the fewer requests it sees. Only the time after that is measured.
const (
	sparseWarmupSeconds = 50.0 // where a limiter sees few requests
	denseWarmupSeconds  = 15.0
	maxDenseLimiters    = 30 // beyond it a load with a fixed total leaves each limiter few requests
	measuredSeconds     = 25.0
)

// quotaLoads returns the loads. Nodes can serve at least twice what is asked for, so that all refusals are due to quotas.
func quotaLoads() []quotaLoad {
	return []quotaLoad{
		{"total, all", "360 firms with their quotas and about 550 requests a second in all; a firm comes through every limiter",
			allCounters, sparseWarmupSeconds, func(n int) (model.Scenario, error) { return quotaScenario(n, 360, 120, n), nil }},
		{"total, even", "the same, but evenly: without a busiest limiter that takes 0.6 of a firm's requests and changes every 6 to 22 s",
			keyCounters, sparseWarmupSeconds, func(n int) (model.Scenario, error) {
				s := quotaScenario(n, 360, 120, n)
				s.Firms.BusiestLimiterShare = 0
				return s, nil
			}},
		{"total, few", "as the first, but a firm comes through 2 to 4 limiters",
			keyCounters, sparseWarmupSeconds, func(n int) (model.Scenario, error) { return quotaScenario(n, 360, 120, 0), nil }},
		{"total, no ceiling", "as the first, but the full plan has no ceiling",
			keyCounters[2:], sparseWarmupSeconds, func(n int) (model.Scenario, error) {
				s := quotaScenario(n, 360, 120, n)
				s.Tiers = slices.Clone(s.Tiers)
				for k := range s.Tiers {
					s.Tiers[k].CeilingRate, s.Tiers[k].CeilingBurst, s.Tiers[k].CeilingSlack = 0, 0, 0
				}
				return s, nil
			}},
		{"each, 30", "13 firms and about 20 requests a second for each limiter; a firm comes through 30 limiters (of fewer: all)",
			allCounters, denseWarmupSeconds, func(n int) (model.Scenario, error) { return quotaScenario(n, 13*n, max(4*n, 12), min(n, 30)), nil }},
		{"units, all", "requests of 1.5 units on the mean, at most 8; 480 firms with the quotas of booking, about 900 requests a second in all; a firm comes through every limiter",
			slices.Insert(slices.Clone(keyCounters), 0, slowCounter), sparseWarmupSeconds, unitsScenario},
	}
}

// quotaScenario is the model's usual scenario with other sizes; spread is the number of limiters through which each firm
// comes (0: 2 to 4).
func quotaScenario(limiters, firms, nodes, spread int) model.Scenario {
	s := model.BaseScenario()
	s.Limiters, s.Nodes, s.Firms.Count = limiters, nodes, firms
	s.Firms.Spread = model.Range{2, min(4, float64(limiters))}
	if spread > 0 {
		s.Firms.Spread = model.Range{float64(spread), float64(spread)}
	}
	return s
}

// unitsScenario is a scenario with requests of several units.
func unitsScenario(limiters int) (model.Scenario, error) {
	s, err := lab.LoadScenario("booking")
	if err != nil {
		return s, err
	}
	s.Limiters, s.Nodes, s.Firms.Count = limiters, 100, 480
	s.Units.Mean = 1.25 // after rounding to whole units, at least one, the mean is 1.5
	s.Firms.Spread = model.Range{float64(limiters), float64(limiters)}
	return s, nil
}

// quotaPoint is one combination of load, number of limiters and counter.
type quotaPoint struct {
	load       quotaLoad
	limiters   int
	speed      float64 // see counterKind
	unbudgeted bool
}

// quotaPoints returns the points of a run. The most informative ones come first, so that they are known even if the run is
// stopped early: those with the counter as it is and with an unlimited one, beginning with the smallest fleets.
func quotaPoints(quick bool) (all []quotaPoint) {
	sizes := []int{3, 10, 30, 100, 300}
	if quick {
		sizes = []int{3, 30}
	}
	firstLoads := []string{"total, all", "each, 30", "units, all"}
	for pass := range 2 {
		for _, n := range sizes {
			for _, load := range quotaLoads() {
				for _, c := range load.counters {
					informative := slices.Contains(firstLoads, load.name) && (c == slowCounter || slices.Contains(keyCounters, c))
					if informative == (pass == 0) && (!quick || informative && load.name != "each, 30") {
						all = append(all, quotaPoint{load, n, c.speed, c.unbudgeted})
					}
				}
			}
		}
	}
	return all
}

// sortRows sorts figures by load, limiters and counter, whatever order they were measured in.
func sortRows(list []QuotaError) []QuotaError {
	loads := quotaLoads()
	rank := func(q QuotaError) int {
		load := slices.IndexFunc(loads, func(l quotaLoad) bool { return l.name == q.Load })
		return (load*1000+q.Limiters)*10 + slices.Index(allCounters, counterKind{q.CounterSpeed, q.Unbudgeted}) // slowCounter is not in allCounters: its index is -1, so it comes first
	}
	slices.SortStableFunc(list, func(a, b QuotaError) int { return cmp.Compare(rank(a), rank(b)) })
	return list
}

// scenario returns the scenario and the policy that measure the point.
func (p quotaPoint) scenario(quick bool) (model.Scenario, model.Policy, error) {
	s, err := p.load.scenario(p.limiters)
	s.Name = fmt.Sprintf("%s, %d limiters, %s", p.load.name, p.limiters, counterName(p.speed, p.unbudgeted))
	s.WarmupSeconds, s.Faults = p.load.warmupSeconds, nil
	if p.limiters <= maxDenseLimiters {
		s.WarmupSeconds = denseWarmupSeconds
	}
	s.Seconds = s.WarmupSeconds + measuredSeconds
	if quick {
		s.Seconds, s.WarmupSeconds = 15, 6
	}
	if s.Counter.CallsPerSecond *= p.speed; p.speed == 0 {
		s.Counter.CallsPerSecond, s.Counter.Unlimited = 1e6, true
	}
	policy := model.ProjectPolicy()
	if p.unbudgeted {
		policy = model.UnbudgetedPolicy()
	}
	return s, policy, err
}

// counterName names a kind of counter in tables and progress lines.
func counterName(speed float64, free bool) string {
	switch {
	case free:
		return "unlimited, calls free"
	case speed == 0:
		return "unlimited"
	}
	return fmt.Sprintf("%gx", speed)
}

// MeasureQuota measures in the model how far quotas are missed, by plan, depending on the number of limiters and the speed of
// the counter: the share sent on beyond quotas, and the share refused while half of a quota is unused.
func MeasureQuota(ctx context.Context, seed uint64, quick bool, progress func(string)) ([]QuotaError, error) {
	seeds := 3
	if quick {
		seeds = 1
	}
	return measureQuota(ctx, seed, seeds, quick, quotaPoints(quick), progress)
}

// measureQuota measures the given points with several seeds each. When ctx ends early it returns the points that are complete,
// and the error.
func measureQuota(ctx context.Context, seed uint64, seeds int, quick bool, points []quotaPoint, progress func(string)) (all []QuotaError, err error) {
	var jobs []lab.Job
	for _, p := range points {
		s, policy, err := p.scenario(quick)
		if err != nil {
			return nil, err
		}
		for n := range seeds {
			jobs = append(jobs, lab.Job{Scenario: s, Policy: policy, Seed: seed + uint64(n)})
		}
	}
	done := lab.RunJobs(ctx, jobs, func(n int, d lab.JobResult) {
		if n%seeds == 0 && progress != nil {
			r := d.Result
			progress(fmt.Sprintf("quota %d of %d: %s: %.1f%% beyond, %.1f%% refused with room, %.1f s", n/seeds, len(points), r.Scenario,
				100*r.OverQuotaShare(), 100*float64(r.RefusedWithRoom)/float64(max(r.Tries, 1)), d.WallTime.Seconds()))
		}
	})
	for k := 0; k+seeds <= len(done); k += seeds { // only points of which all seeds are done
		all = append(all, points[k/seeds].rows(done[k:k+seeds])...)
	}
	return sortRows(all), ctx.Err()
}

// rows averages the seeds of a point: one row for all plans together, then one for each plan.
func (p quotaPoint) rows(done []lab.JobResult) (all []QuotaError) {
	s := done[0].Scenario
	for tier := -1; tier < len(s.Tiers); tier++ {
		q := QuotaError{Plan: AllPlans, Limiters: p.limiters, Counters: s.Counter.Shards, CounterSpeed: p.speed, Seeds: len(done),
			Load: p.load.name, Held: p.load.description, Unbudgeted: p.unbudgeted}
		if tier >= 0 {
			q.Plan, q.Held = s.Tiers[tier].Name, ""
		}
		var beyond, refusedWithRoom, insideRefused, callsPerRequest, unanswered, lost, requestRate, callRate []float64
		for _, d := range done {
			var t model.TierResult
			for k, x := range d.Result.Tiers {
				if tier < 0 || k == tier {
					t.Tries, t.RefusedWithRoom = t.Tries+x.Tries, t.RefusedWithRoom+x.RefusedWithRoom
					t.TriesInQuota, t.RefusedInQuota = t.TriesInQuota+x.TriesInQuota, t.RefusedInQuota+x.RefusedInQuota
					t.UnitsSent, t.UnitsOverQuota = t.UnitsSent+x.UnitsSent, t.UnitsOverQuota+x.UnitsOverQuota
				}
			}
			called, span := d.Result.CounterCalls, s.Seconds-s.WarmupSeconds
			q.Tries += t.Tries
			beyond = append(beyond, t.UnitsOverQuota/max(t.UnitsSent, 1))
			insideRefused = append(insideRefused, float64(t.RefusedInQuota)/float64(max(t.TriesInQuota, 1)))
			refusedWithRoom = append(refusedWithRoom, float64(t.RefusedWithRoom)/float64(max(t.Tries, 1)))
			callsPerRequest = append(callsPerRequest, float64(called.Made)/float64(max(d.Result.Requests, 1)))
			unanswered, lost = append(unanswered, called.UnansweredShare()), append(lost, called.LostShare())
			requestRate, callRate = append(requestRate, float64(d.Result.Requests)/span), append(callRate, float64(called.Made)/span)
		}
		q.BeyondShare, q.BeyondDeviation = meanAndDeviation(beyond)
		q.RefusedWithRoomShare, q.RefusedWithRoomDeviation = meanAndDeviation(refusedWithRoom)
		q.InsideRefusedShare, _ = meanAndDeviation(insideRefused)
		q.CallsPerRequest, _ = meanAndDeviation(callsPerRequest)
		q.UnansweredShare, _ = meanAndDeviation(unanswered)
		q.LostCallShare, _ = meanAndDeviation(lost)
		q.RequestsPerSecond, _ = meanAndDeviation(requestRate)
		q.CallsPerSecond, _ = meanAndDeviation(callRate)
		all = append(all, q)
	}
	return all
}

// meanAndDeviation returns the mean and the sample standard deviation, which is 0 for fewer than two values.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean)
	}
	if len(values) < 2 {
		return mean, 0
	}
	return mean, math.Sqrt(deviation / float64(len(values)-1))
}

// QuotaTable returns the figures as a table, either the rows of all plans together or those of each plan.
func QuotaTable(list []QuotaError, byPlan bool) *lab.Table {
	t := &lab.Table{Name: "quota", Columns: []string{"load", "limiters", "counter", "requests/s", "beyond %", "±", "refused with room %", "±", "refused inside %",
		"calls a request", "calls/s", "unanswered %", "lost %"}}
	if byPlan {
		t.Name, t.Columns = "quota-plans", slices.Insert(t.Columns, 3, "plan")
	}
	for _, q := range list {
		if byPlan == (q.Plan == AllPlans) {
			continue
		}
		cells := []any{q.Load, q.Limiters, counterName(q.CounterSpeed, q.Unbudgeted), fmt.Sprintf("%.0f", q.RequestsPerSecond), percent(q.BeyondShare), percent(q.BeyondDeviation),
			percent(q.RefusedWithRoomShare), percent(q.RefusedWithRoomDeviation), percent(q.InsideRefusedShare), fmt.Sprintf("%.2f", q.CallsPerRequest), fmt.Sprintf("%.0f", q.CallsPerSecond),
			percent(q.UnansweredShare), percent(q.LostCallShare)}
		if byPlan {
			cells = slices.Insert(cells, 3, any(q.Plan))
		}
		t.Add(cells...)
	}
	return t
}

func percent(v float64) string { return fmt.Sprintf("%.1f", 100*v) }
