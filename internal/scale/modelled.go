package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/discovery"
	"bramblefall/internal/lab"
	"bramblefall/internal/model"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// MeasureModelled measures in the model the moments that cannot be played on real sockets: regions that are cut off from each
// other for an hour, and a day of changes. The result holds those that were complete when an error ended it.
func MeasureModelled(ctx context.Context, seed uint64, quick bool, progress func(string)) ([]Moment, error) {
	if progress == nil {
		progress = func(string) {}
	}
	var all []Moment
	for _, play := range []func(context.Context, uint64, bool, func(string)) (Moment, error){measureRegions, measureDay} {
		m, err := play(ctx, seed, quick, progress)
		if err != nil {
			return all, err
		}
		all = append(all, m)
	}
	return all, nil
}

// ---- regions

// interval is a span of a modelled run, by the results at its beginning and its end.
type interval struct {
	seconds  float64
	from, to model.Result
}

// sent is the number of units sent on to servers in the interval.
func (w interval) sent() float64 { return w.to.UnitsSent - w.from.UnitsSent }

// beyond is the share of those units that was beyond quotas.
func (w interval) beyond() float64 {
	return (w.to.UnitsOverQuota - w.from.UnitsOverQuota) / max(w.sent(), 1)
}

// record adds the interval's figures to values, under names that begin with the interval's.
func (w interval) record(values map[string]float64, name string) {
	for k := range w.to.Halls {
		values[fmt.Sprintf("%s, region %d, units/s", name, k)] = (w.to.Halls[k].UnitsSent - w.from.Halls[k].UnitsSent) / w.seconds
	}
	values[name+", units/s"] = w.sent() / w.seconds
	values[name+", beyond"] = w.beyond()
	values[name+", refused with room"] = float64(w.to.RefusedWithRoom-w.from.RefusedWithRoom) / float64(max(w.to.Tries-w.from.Tries, 1))
	values[name+", served"] = float64(w.to.Served-w.from.Served) / float64(max(w.to.Requests-w.from.Requests, 1))
	values[name+", calls/s"] = float64(w.to.Calls-w.from.Calls) / w.seconds
}

const (
	healStepSeconds     = 5.0  // length of the intervals before and after the cut that are compared
	healObservedSeconds = 60.0 // after the cut, in such intervals
)

// playRegions plays the scenario with one seed, with the regions cut off from each other at cutAt for cutFor seconds, and
// returns the figures of its intervals by name.
func playRegions(ctx context.Context, s model.Scenario, seed uint64, cutAt, cutFor float64) map[string]float64 {
	s.Faults = []model.Fault{{Kind: model.FaultRegions, At: cutAt, For: cutFor}}
	w := model.New(s, seed, model.ProjectPolicy(), false)
	at, values := s.WarmupSeconds, map[string]float64{}
	last := w.RunUntil(at)
	playUntil := func(end float64) interval {
		v := interval{end - at, last, last}
		for at < end && ctx.Err() == nil { // in steps, so that a cancelled run stops soon
			at = min(at+60, end)
			last = w.RunUntil(at)
		}
		v.to = last
		return v
	}
	beforeCut, worstBeforeCut := last, 0.0
	for at < cutAt && ctx.Err() == nil {
		worstBeforeCut = max(worstBeforeCut, playUntil(min(at+healStepSeconds, cutAt)).beyond())
	}
	interval{cutAt - s.WarmupSeconds, beforeCut, last}.record(values, "before")
	values["before, most beyond in 5 s"] = worstBeforeCut
	playUntil(cutAt+10).record(values, "cut, first 10 s")
	playUntil(cutAt+cutFor).record(values, "cut")
	atHealing, recoveredAfter := last, 0.0
	for t := healStepSeconds; t <= healObservedSeconds; t += healStepSeconds {
		v := playUntil(cutAt + cutFor + t)
		if v.beyond() > worstBeforeCut {
			recoveredAfter = t
		}
		if t == healStepSeconds {
			v.record(values, "healed, first 5 s")
		}
	}
	interval{healObservedSeconds, atHealing, last}.record(values, "healed, first 60 s")
	values["healed, calls in 60 s"] = float64(last.Calls - atHealing.Calls)
	values["healed, over usual until s"] = recoveredAfter
	playUntil(s.Seconds).record(values, "after")
	values["broken rules"] = float64(last.ViolationCount)
	return values
}

// measureRegions plays the cut between regions with several seeds and returns the means of their figures.
func measureRegions(ctx context.Context, seed uint64, quick bool, progress func(string)) (Moment, error) {
	s := model.BaseScenario()
	s.Limiters, s.Nodes, s.Firms.Count, s.WarmupSeconds = 10, 24, 60, 10
	s.Firms.Spread = model.Range{10, 10}
	cutAt, cutFor, seeds := 300.0, 3600.0, 4
	if quick {
		cutAt, cutFor, seeds = 40, 60, 2
	}
	s.Seconds = cutAt + cutFor + 300
	if quick {
		s.Seconds = cutAt + cutFor + 80
	}
	list := make([]map[string]float64, seeds)
	done := make(chan int, seeds)
	for k := range seeds {
		go func() {
			list[k] = playRegions(ctx, s, seed+uint64(k), cutAt, cutFor)
			done <- k
		}()
	}
	for range seeds {
		k := <-done
		progress(fmt.Sprintf("regions, seed %d: %.1f%% beyond in the cut, %.1f%% in the 5 s after it", seed+uint64(k), 100*list[k]["cut, beyond"],
			100*list[k]["healed, first 5 s, beyond"]))
	}
	m := Moment{Name: "regions", Limiters: s.Limiters, Servers: s.Nodes, Model: true, Values: map[string]float64{}}
	for _, name := range slices.Sorted(maps.Keys(list[0])) {
		var v []float64
		for _, x := range list {
			v = append(v, x[name])
		}
		mean, deviation := meanAndDeviation(v)
		m.Values[name] = mean
		if name == "cut, beyond" || name == "before, beyond" || name == "healed, first 5 s, beyond" {
			m.Values[name+", deviation"] = deviation
		}
		if name == "healed, over usual until s" {
			m.LastSeconds = slices.Max(v)
		}
	}
	m.Messages = m.Values["healed, calls in 60 s"]
	m.Note = fmt.Sprintf("two regions with half of the limiters and nodes each, cut for %.0f s; held small: %d firms, %d limiters through which each firm comes; "+
		"clients reach both regions throughout; last_s: until when after the healing some 5 s had a larger share beyond quotas than any 5 s before the cut, the most of %d seeds; "+
		"messages: counter calls in the 60 s after it", cutFor, s.Firms.Count, s.Limiters, seeds)
	return m, ctx.Err()
}

// ---- a day of changes

const (
	changesPerDay = 33_000
	secondsPerDay = 86_400
)

// drawDayChanges draws the times of a day's changes, in seconds and in order. Half of them belong to releases, which come in
// working hours; a release changes a few hundred servers, several of them a second. The others come one by one: half of them
// in working hours, and half at any time of the day.
func drawDayChanges(seed uint64) (changesAt []float64) {
	rng := rand.New(rand.NewPCG(seed, 0x646179))
	workingHour := func() float64 { return 3600 * (8 + 10*rng.Float64()) }
	for len(changesAt) < changesPerDay/2 {
		// The size of a release has a log-normal distribution with the median 250, cut off at 3000.
		size := min(int(math.Exp(math.Log(250)+0.9*rng.NormFloat64())), 3000, changesPerDay/2-len(changesAt))
		changesPerSecond, t := 2+38*rng.Float64()*rng.Float64(), workingHour()
		for range max(size, 1) {
			changesAt, t = append(changesAt, t), min(t+rng.ExpFloat64()/changesPerSecond, secondsPerDay-1e-3)
		}
	}
	for len(changesAt) < changesPerDay {
		t := secondsPerDay * rng.Float64()
		if rng.Float64() < 0.5 {
			t = workingHour()
		}
		changesAt = append(changesAt, t)
	}
	slices.Sort(changesAt)
	return changesAt
}

// busiestSpan returns the largest number of changes within any span of the given seconds, and when that span begins.
func busiestSpan(changesAt []float64, span float64) (most int, from float64) {
	first := 0
	for k := range changesAt {
		for changesAt[k]-changesAt[first] >= span {
			first++
		}
		if n := k - first + 1; n > most {
			most, from = n, changesAt[first]
		}
	}
	return most, from
}

// changeBytes is the length in bytes of discovery's line for a change of one server.
func changeBytes() float64 {
	raw, _ := json.Marshal(discovery.List{Version: 1_033_000, Servers: []discovery.Server{{ID: "node-2-0417-3", Addr: "10.12.34.56:7001",
		Zone: "hall-b", Kind: "std-3core", Cell: 2, State: "draining", Weight: 1, StartedMS: 1_800_000_000_000}}})
	return float64(len(raw) + 1)
}

// measureDay draws days of changes to find the busiest second and minute, plays the busiest span of the first day in the model
// and measures the processor time that a change takes.
func measureDay(ctx context.Context, seed uint64, quick bool, progress func(string)) (Moment, error) {
	limiters, servers, days, span := 30, 3000, 20, 60.0
	if quick {
		limiters, servers, days, span = 10, 600, 3, 15
	}
	values := map[string]float64{}
	var seconds, minutes []float64
	for n := range days {
		changesAt := drawDayChanges(seed + uint64(n))
		second, _ := busiestSpan(changesAt, 1)
		minute, _ := busiestSpan(changesAt, 60)
		seconds, minutes = append(seconds, float64(second)), append(minutes, float64(minute))
	}
	values["worst second, changes"], values["worst second, deviation"] = meanAndDeviation(seconds)
	values["worst minute, changes"], values["worst minute, deviation"] = meanAndDeviation(minutes)
	values["worst second of the days, changes"], values["worst minute of the days, changes"] = slices.Max(seconds), slices.Max(minutes)

	burst, calm, firms, err := playBurst(ctx, seed, limiters, servers, span)
	if err != nil {
		return Moment{}, err
	}
	progress(fmt.Sprintf("day: %d changes sent to limiters in the busiest span, the last in force after %.2f s", burst.Changes.Deliveries, burst.Changes.MaxSeconds))
	values["played, changes at each limiter"] = float64(burst.Changes.Deliveries) / float64(limiters)
	values["played, served"] = float64(burst.Served) / float64(max(burst.Requests, 1))
	values["calm, served"] = float64(calm.Served) / float64(max(calm.Requests, 1))
	values["played, p99 s"], values["calm, p99 s"] = burst.P99Seconds, calm.P99Seconds
	values["played, beyond"], values["calm, beyond"] = burst.OverQuotaShare(), calm.OverQuotaShare()
	values["broken rules"] = float64(burst.ViolationCount)
	values["bytes of a change"] = changeBytes()

	cost := map[string]float64{}
	sizes, times := []int{60, 600, 3000, 10000}, 20_000
	if quick {
		sizes, times = []int{60, 3000}, 2000
	}
	for _, size := range sizes {
		meanMicros, p99Micros, wholeListMS := measureChangeCost(size, times)
		cost[fmt.Sprintf("a change among %d servers, us", size)] = meanMicros
		cost[fmt.Sprintf("a change among %d servers, p99 us", size)] = p99Micros
		cost[fmt.Sprintf("a whole list of %d servers, ms", size)] = wholeListMS
		progress(fmt.Sprintf("day: a change among %d servers takes a limiter %.1f us on average, 99th percentile %.1f us", size, meanMicros, p99Micros))
	}
	largest := sizes[len(sizes)-1]
	cost[fmt.Sprintf("worst second among %d servers, s", largest)] =
		values["worst second of the days, changes"] * cost[fmt.Sprintf("a change among %d servers, us", largest)] / 1e6
	return Moment{Name: "day", Limiters: limiters, Servers: servers, Model: true, P99Seconds: burst.Changes.P99Seconds, LastSeconds: burst.Changes.MaxSeconds,
		Messages: values["worst minute of the days, changes"], Bytes: values["worst minute of the days, changes"] * changeBytes(),
		Values: values, Cost: cost,
		Note: fmt.Sprintf("%d changes a day, half of them in releases of some hundred servers; %d days drawn; the worst %.0f s of the first played with "+
			"%d limiters, %d firms and %d servers (held small); p99_s and last_s: from a change until it is in force at a limiter, the most of it "+
			"discovery's own 0.5 to 3 s; messages and bytes: what one limiter takes in the worst minute of these days", changesPerDay, days, span,
			limiters, firms, servers)}, nil
}

// playBurst plays the span of the seed's day in which the most changes come (burst), and the same time without any (calm).
func playBurst(ctx context.Context, seed uint64, limiters, servers int, span float64) (burst, calm model.Result, firms int, err error) {
	changesAt := drawDayChanges(seed)
	_, from := busiestSpan(changesAt, span)
	burstScenario := model.BaseScenario()
	burstScenario.Name, burstScenario.Limiters, burstScenario.Nodes, burstScenario.Firms.Count, burstScenario.WarmupSeconds = "worst minute", limiters, servers, 12*limiters, 10
	burstScenario.Firms.Spread = model.Range{float64(limiters), float64(limiters)}
	burstScenario.Seconds = burstScenario.WarmupSeconds + span + 10
	calmScenario := burstScenario
	// Replacing a server takes three changes: it drains, it is gone, and another one is ready. Each third change is thus played
	// as the drain of one server.
	changes := 0
	for _, t := range changesAt {
		if t >= from && t < from+span {
			if changes++; changes%3 == 1 {
				burstScenario.Faults = append(burstScenario.Faults, model.Fault{Kind: model.FaultDrain, At: burstScenario.WarmupSeconds + t - from, Part: 0.1 / float64(servers)})
			}
		}
	}
	list := lab.RunJobs(ctx, []lab.Job{{Scenario: burstScenario, Policy: model.ProjectPolicy(), Seed: seed}, {Scenario: calmScenario, Policy: model.ProjectPolicy(), Seed: seed}}, nil)
	if len(list) < 2 {
		return burst, calm, 0, ctx.Err()
	}
	return list[0].Result, list[1].Result, burstScenario.Firms.Count, nil
}

// measureChangeCost measures how long the reducer takes for a change of one server among many: the mean and the 99th
// percentile, in microseconds. wholeListMS is how long it takes for a whole list without a change, in milliseconds.
func measureChangeCost(servers, times int) (meanMicros, p99Micros, wholeListMS float64) {
	r, now := newCostReducer()
	var list []logic.Server
	for k := range servers {
		list = append(list, logic.Server{ID: logic.ServerID(k + 1), Weight: 1, Zone: k % 2, State: logic.Ready})
	}
	whole := logic.ServerList{Complete: true, Servers: slices.Clone(list)}
	var effects []core.Effect
	var tick core.SetTimer
	reduce := func(at time.Duration, ev core.Event) time.Duration {
		began := time.Now()
		effects = r.Reduce(at, ev, effects[:0])
		took := time.Since(began)
		for _, e := range effects {
			if t, ok := e.(core.SetTimer); ok { // the tick is the only timer while there are no requests
				tick = t
			}
		}
		return took
	}
	reduce(now, core.UpstreamGroup{ServerList: whole})
	wholeListMS = float64(reduce(now, core.UpstreamGroup{ServerList: whole}).Microseconds()) / 1000
	next := logic.ServerID(servers + 1)
	took := make([]float64, 0, times)
	rng := rand.New(rand.NewPCG(1, 0x636f7374))
	for range times {
		k := rng.IntN(len(list))
		server := &list[k]
		switch server.State { // each server drains, is gone, and is replaced by another one
		case logic.Ready:
			server.State = logic.Draining
		case logic.Draining:
			server.State = logic.Gone
		case logic.Gone:
			*server = logic.Server{ID: next, Weight: 1, Zone: k % 2, State: logic.Ready, Started: now}
			next++
		}
		for now += time.Second / 50; tick.At <= now; { // ticks go on as usual; their time is not counted as that of the change
			reduce(tick.At, tick.Timer)
		}
		changed := reduce(now, core.UpstreamGroup{ServerList: logic.ServerList{Servers: []logic.Server{*server}}})
		took = append(took, float64(changed.Nanoseconds())/1000)
	}
	meanMicros, _ = meanAndDeviation(took)
	slices.Sort(took)
	return meanMicros, took[len(took)*99/100], wholeListMS
}

// newCostReducer returns a reducer with the settings of a usual limiter, and the time at which it starts.
func newCostReducer() (*core.Reducer, time.Duration) {
	s := model.BaseScenario()
	set := logic.Settings{Gateways: 300, Zones: 2, Plans: s.Tiers, HasCounter: true, CounterLimit: 30 * time.Millisecond, MostUnits: 1,
		MaxAttempts: 6, MaxRetryAfter: time.Second, RetryAfter: true, Cancelling: true, StartCapacity: s.Node.ColdShare, Cold: 18 * time.Second,
		Fall: 3 * time.Second, FallMultiple: 3, DrainGrace: 500 * time.Millisecond,
		Classes: []logic.Class{{Name: "read", Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Worth: 2, Late: 0.2}}}
	return core.New(set, 1, plans.New(set.Plans, plans.DefaultLimits)), 1_800_000_000 * time.Second
}

// MomentTable returns moments as a table with a row for each figure.
func MomentTable(list []Moment) *lab.Table {
	t := &lab.Table{Name: "moments", Columns: []string{"moment", "what", "figure"}}
	for _, m := range list {
		t.Add(m.Name, "limiters", m.Limiters)
		t.Add(m.Name, "servers", m.Servers)
		t.Add(m.Name, "p99, s", m.P99Seconds)
		t.Add(m.Name, "last, s", m.LastSeconds)
		t.Add(m.Name, "messages", m.Messages)
		t.Add(m.Name, "bytes", m.Bytes)
		for _, figures := range []map[string]float64{m.Values, m.Cost} {
			for _, name := range slices.Sorted(maps.Keys(figures)) {
				t.Add(m.Name, name, figures[name])
			}
		}
	}
	return t
}
