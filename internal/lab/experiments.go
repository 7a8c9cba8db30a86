package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot/plotter"

	"bramblefall/internal/model"
)

// Job is one run of the model.
type Job struct {
	Scenario   model.Scenario
	Policy     model.Policy
	Seed       uint64
	MeasureCPU bool // measure the CPU time of the limiters' decisions, the only figure that differs between runs with the same seed
}

// JobResult is a finished job with its result.
type JobResult struct {
	Job
	Result   model.Result
	WallTime time.Duration // how long the run took in real time
}

// RunJobs runs jobs on all cores and returns their results in the order of the jobs. It calls report, if not nil, for each
// finished job in the same order, n counting from 1. Once the context has ended it reports no more and returns only what it
// has reported.
func RunJobs(ctx context.Context, jobs []Job, report func(n int, d JobResult)) []JobResult {
	results := make([]JobResult, len(jobs))
	finished := make([]chan struct{}, len(jobs))
	for i := range finished {
		finished[i] = make(chan struct{})
	}
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				start := time.Now()
				job := jobs[i]
				results[i] = JobResult{job, model.New(job.Scenario, job.Seed, job.Policy, job.MeasureCPU).Run(), time.Since(start)}
				close(finished[i])
			}
		}()
	}
	go func() {
		defer close(next)
		for i := range jobs {
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	}()
	for i := range jobs {
		select {
		case <-finished[i]:
		case <-ctx.Done():
		}
		if ctx.Err() != nil { // checked again: select picks at random when both are ready
			wg.Wait()
			return results[:i]
		}
		if report != nil {
			report(i+1, results[i])
		}
	}
	wg.Wait()
	return results
}

// resultColumns are the column headings of ResultsTable. The worth served is a share of the worth asked inside quotas,
// units beyond quotas are a share of the units passed on, and refusals are a share of the tries. "calls each" are calls
// to the counter per request, "CPU us each" is per try, "calls borne a second" are those that the counters answered, and
// "ceiling over" are units.
var resultColumns = []string{"scenario", "policy", "seed", "requests", "worth served", "beyond quota %", "refused %", "refused with room %",
	"calls each", "median s", "p99 s", "ceiling over", "broken rules", "CPU us each", "wall s", "calls borne a second", "at the busiest counter"}

func addResultRow(t *Table, d JobResult) {
	result := d.Result
	tries := float64(max(result.Tries, 1))
	t.Add(result.Scenario, result.Policy, result.Seed, result.Requests, result.WorthShare(), 100*result.OverQuotaShare(), 100*result.RefusedShare(), 100*float64(result.RefusedWithRoom)/tries,
		result.CallsPerRequest(), result.MedianSeconds, result.P99Seconds, result.CeilingExcessUnits, result.ViolationCount, float64(result.DecideTime.Nanoseconds())/1000/tries, d.WallTime.Seconds(),
		Metrics["borne"](result), Metrics["busiest"](result))
}

// ResultsTable returns a table with a row for each finished job.
func ResultsTable(name string, results []JobResult) *Table {
	table := &Table{Name: name, Columns: resultColumns}
	for _, result := range results {
		addResultRow(table, result)
	}
	return table
}

// Metrics maps names to the figures of a result that experiments compare. The flag --metric takes these names.
var Metrics = map[string]func(model.Result) float64{
	// Worth served over the worth asked inside quotas.
	"worth": model.Result.WorthShare,
	// Units passed on beyond quotas, as a percentage of all units passed on.
	"over": func(r model.Result) float64 { return 100 * r.OverQuotaShare() },
	// Refused tries, as a percentage of all tries.
	"refused": func(r model.Result) float64 { return 100 * r.RefusedShare() },
	// Tries refused while at least half of the quota was left, as a percentage of all tries.
	"room": func(r model.Result) float64 { return 100 * float64(r.RefusedWithRoom) / float64(max(r.Tries, 1)) },
	// Calls to the counter per request.
	"calls": model.Result.CallsPerRequest,
	// Latency in seconds of what was served.
	"p99": func(r model.Result) float64 { return r.P99Seconds },
	// Microseconds of CPU time of the limiters' decisions per try.
	"cpu": func(r model.Result) float64 {
		return float64(r.DecideTime.Nanoseconds()) / 1000 / float64(max(r.Tries, 1))
	},
	// The most units by which a ceiling was exceeded.
	"ceiling": func(r model.Result) float64 { return r.CeilingExcessUnits },
	// Broken rules.
	"broken": func(r model.Result) float64 { return float64(r.ViolationCount) },
	// Calls a second that the counters answered.
	"borne": func(r model.Result) float64 { return float64(r.CallsAnswered) / max(r.Seconds, 1) },
	// Calls a second at the busiest counter.
	"busiest": func(r model.Result) float64 { return float64(r.BusiestCounterCalls) / max(r.Seconds, 1) },
	// Broken rules that are described in the result.
	"violation": func(r model.Result) float64 { return float64(len(r.Violations)) },
}

// ConfidenceInterval is a mean and half the width of its 95% confidence interval by Student's t distribution.
type ConfidenceInterval struct{ Mean, HalfWidth float64 }

// MeanInterval returns the mean of values and its confidence interval, which is infinite for a single value. Without values
// both are NaN.
func MeanInterval(values []float64) ConfidenceInterval {
	n := float64(len(values))
	if n == 0 {
		return ConfidenceInterval{math.NaN(), math.NaN()}
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	mean, squares := sum/n, 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	if n < 2 {
		return ConfidenceInterval{mean, math.Inf(1)}
	}
	return ConfidenceInterval{mean, studentT975(len(values)-1) * math.Sqrt(squares/(n-1)/n)}
}

// studentT975 returns the 97.5% quantile of Student's t distribution. The table ends at 20 degrees of freedom; for more, the
// result is approximated by the normal distribution's quantile and a term in 1/degreesOfFreedom.
func studentT975(degreesOfFreedom int) float64 {
	table := []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086}
	if degreesOfFreedom <= len(table) {
		return table[degreesOfFreedom-1]
	}
	return 1.96 + 2.4/float64(degreesOfFreedom)
}

// CompareTable compares two lists of results of the same seeds in the same order. Its row for a metric gives the mean of
// the paired differences, second less first, and whether zero lies outside their 95% confidence interval.
func CompareTable(first, second []JobResult) *Table {
	table := &Table{Name: "compare", Columns: []string{"metric", "first", "second", "difference", "95% interval", "tells"}}
	for _, name := range []string{"worth", "over", "refused", "room", "calls", "p99", "ceiling", "broken", "cpu"} {
		var firstValues, secondValues, differences []float64
		for i := range min(len(first), len(second)) {
			firstValues, secondValues = append(firstValues, Metrics[name](first[i].Result)), append(secondValues, Metrics[name](second[i].Result))
			differences = append(differences, secondValues[i]-firstValues[i])
		}
		difference := MeanInterval(differences)
		conclusion := "no difference seen"
		if math.Abs(difference.Mean) > difference.HalfWidth {
			conclusion = "differs"
		}
		table.Add(name, MeanInterval(firstValues).Mean, MeanInterval(secondValues).Mean, difference.Mean, fmt.Sprintf("+-%.3g", difference.HalfWidth), conclusion)
	}
	return table
}

// SetParameter sets a number of a scenario, named by its path as in a scenario file, such as counter.per_second. Both
// ends of a range are set to the value.
func SetParameter(s *model.Scenario, path string, value float64) error {
	field := reflect.ValueOf(s).Elem()
	for _, name := range strings.Split(path, ".") {
		if field.Kind() != reflect.Struct {
			return fmt.Errorf("%s: the scenario has no such parameter", path)
		}
		found := false
		for i := range field.NumField() {
			if field.Type().Field(i).Tag.Get("json") == name {
				field, found = field.Field(i), true
				break
			}
		}
		if !found {
			return fmt.Errorf("%s: the scenario has no such parameter", path)
		}
	}
	switch field.Kind() {
	case reflect.Float64:
		field.SetFloat(value)
	case reflect.Int:
		field.SetInt(int64(value))
	case reflect.Array:
		field.Index(0).SetFloat(value)
		field.Index(1).SetFloat(value)
	default:
		return fmt.Errorf("%s: not a number or a range of numbers", path)
	}
	return nil
}

// SweepChart returns a chart of a metric over a swept parameter: a line for each policy, whose points are the means over
// the seeds. parameterValue is called once for each result, in order.
func SweepChart(results []JobResult, parameterValue func(JobResult) float64, parameter, metric string) Chart {
	type chartPoint struct {
		policy string
		x      float64
	}
	values := map[chartPoint][]float64{}
	var points []chartPoint
	for _, result := range results {
		point := chartPoint{result.Policy.Name, parameterValue(result)}
		if values[point] == nil {
			points = append(points, point)
		}
		values[point] = append(values[point], Metrics[metric](result.Result))
	}
	chart := Chart{Name: "sweep-" + metric, Title: metric + " over " + parameter, XLabel: parameter, YLabel: metric, Lines: map[string]plotter.XYs{}}
	for _, point := range points {
		chart.Lines[point.policy] = append(chart.Lines[point.policy], plotter.XY{X: point.x, Y: MeanInterval(values[point]).Mean})
	}
	return chart
}

// Finding is one of the worst runs of a search, with the faults that are needed to reproduce it.
type Finding struct {
	Scenario   model.Scenario `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Worth      float64        `json:"worth"`  // worth served over the worth asked inside quotas
	Violations []string       `json:"broken"` // descriptions of the broken rules
}

// Search runs a scenario with random faults for a number of seeds. It returns each run that broke a rule, and last the
// run that served the least worth. The faults of each are reduced to a minimal set that still breaks a rule or, for the
// last, serves at most 0.02 more worth than the worst run.
func Search(ctx context.Context, s model.Scenario, p model.Policy, firstSeed uint64, seeds int, report func(n int, d JobResult)) []Finding {
	var jobs []Job
	for offset := range seeds {
		seed := firstSeed + uint64(offset)
		withFaults := s
		withFaults.Faults = model.DrawFaults(s, seed)
		jobs = append(jobs, Job{withFaults, p, seed, false})
	}
	results := RunJobs(ctx, jobs, report)
	var found []Finding
	worstIndex := -1
	for i, result := range results {
		if result.Result.ViolationCount > 0 {
			found = append(found, shrinkFaults(result, func(r model.Result) bool { return r.ViolationCount > 0 }))
		}
		if worstIndex < 0 || result.Result.WorthShare() < results[worstIndex].Result.WorthShare() {
			worstIndex = i
		}
	}
	if worstIndex >= 0 {
		worthLimit := results[worstIndex].Result.WorthShare() + 0.02
		found = append(found, shrinkFaults(results[worstIndex], func(r model.Result) bool { return r.WorthShare() <= worthLimit }))
	}
	return found
}

// shrinkFaults removes faults one at a time as long as a run without them still satisfies reproduces.
func shrinkFaults(d JobResult, reproduces func(model.Result) bool) Finding {
	s, result := d.Scenario, d.Result
	for removed := true; removed; {
		removed = false
		for i := range s.Faults {
			fewer := s
			fewer.Faults = append(append([]model.Fault(nil), s.Faults[:i]...), s.Faults[i+1:]...)
			if r := model.New(fewer, d.Seed, d.Policy, false).Run(); reproduces(r) {
				s, result, removed = fewer, r, true
				break
			}
		}
	}
	return Finding{s, d.Seed, result.WorthShare(), result.Violations}
}

// WriteFindings writes each finding to a file found-N.json in dir, for the replay command.
func WriteFindings(dir string, findings []Finding) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for i, finding := range findings {
		raw, err := json.MarshalIndent(finding, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("found-%d.json", i)), raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}
