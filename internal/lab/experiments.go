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
	Scenario model.Scenario
	Policy   model.Policy
	Seed     uint64
	Timed    bool
}

// Done is a finished job.
type Done struct {
	Job
	Result model.Result
	Wall   time.Duration
}

// Parallel plays jobs on all cores and tells of each that is done, in the jobs' order.
func Parallel(ctx context.Context, jobs []Job, tell func(n int, d Done)) []Done {
	out := make([]Done, len(jobs))
	ready := make([]chan struct{}, len(jobs))
	for k := range ready {
		ready[k] = make(chan struct{})
	}
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range next {
				began := time.Now()
				j := jobs[k]
				out[k] = Done{j, model.New(j.Scenario, j.Seed, j.Policy, j.Timed).Run(), time.Since(began)}
				close(ready[k])
			}
		}()
	}
	go func() {
		defer close(next)
		for k := range jobs {
			select {
			case next <- k:
			case <-ctx.Done():
				return
			}
		}
	}()
	for k := range jobs {
		select {
		case <-ready[k]:
		case <-ctx.Done():
		}
		if ctx.Err() != nil { // looked at once more: select chooses by chance where both are ready
			wg.Wait()
			return out[:k]
		}
		if tell != nil {
			tell(k+1, out[k])
		}
	}
	wg.Wait()
	return out
}

var resultHead = []string{"scenario", "policy", "seed", "requests", "worth served", "beyond quota %", "refused %", "refused with room %",
	"calls each", "median s", "p99 s", "ceiling over", "broken rules", "CPU us each", "wall s", "calls borne a second", "at the busiest counter"}

func resultRow(t *Table, d Done) {
	r := d.Result
	n := float64(max(r.Tries, 1))
	t.Add(r.Scenario, r.Policy, r.Seed, r.Requests, r.Worth(), 100*r.OverQuota(), 100*r.RefusedShare(), 100*float64(r.RoomRefused)/n,
		r.CallsEach(), r.Median, r.P99, r.CeilingOver, r.Broken, float64(r.CPU.Nanoseconds())/1000/n, d.Wall.Seconds(),
		Metrics["borne"](r), Metrics["busiest"](r))
}

// Results is a table of finished jobs.
func Results(name string, list []Done) *Table {
	t := &Table{Name: name, Head: resultHead}
	for _, d := range list {
		resultRow(t, d)
	}
	return t
}

// Metrics are the figures of a result that experiments compare.
var Metrics = map[string]func(model.Result) float64{
	"worth":     model.Result.Worth,
	"over":      func(r model.Result) float64 { return 100 * r.OverQuota() },
	"refused":   func(r model.Result) float64 { return 100 * r.RefusedShare() },
	"room":      func(r model.Result) float64 { return 100 * float64(r.RoomRefused) / float64(max(r.Tries, 1)) },
	"calls":     model.Result.CallsEach,
	"p99":       func(r model.Result) float64 { return r.P99 },
	"cpu":       func(r model.Result) float64 { return float64(r.CPU.Nanoseconds()) / 1000 / float64(max(r.Tries, 1)) },
	"ceiling":   func(r model.Result) float64 { return r.CeilingOver },
	"broken":    func(r model.Result) float64 { return float64(r.Broken) },
	"borne":     func(r model.Result) float64 { return float64(r.Borne) / max(r.Seconds, 1) },
	"busiest":   func(r model.Result) float64 { return float64(r.BusiestCalls) / max(r.Seconds, 1) },
	"violation": func(r model.Result) float64 { return float64(len(r.Violations)) },
}

// Interval is a mean with its 95% confidence interval, by Student's t.
type Interval struct{ Mean, Half float64 }

// Mean is the interval of some values.
func Mean(values []float64) Interval {
	n := float64(len(values))
	if n == 0 {
		return Interval{math.NaN(), math.NaN()}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	mean, squares := sum/n, 0.0
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	if n < 2 {
		return Interval{mean, math.Inf(1)}
	}
	return Interval{mean, student(len(values)-1) * math.Sqrt(squares/(n-1)/n)}
}

// student is the 97.5% quantile of Student's t.
func student(df int) float64 {
	table := []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086}
	if df <= len(table) {
		return table[df-1]
	}
	return 1.96 + 2.4/float64(df)
}

// Compare pairs two sets of results by seed: the mean difference of each metric, second less first.
func Compare(a, b []Done) *Table {
	t := &Table{Name: "compare", Head: []string{"metric", "first", "second", "difference", "95% interval", "tells"}}
	for _, name := range []string{"worth", "over", "refused", "room", "calls", "p99", "ceiling", "broken", "cpu"} {
		var x, y, d []float64
		for k := range min(len(a), len(b)) {
			x, y = append(x, Metrics[name](a[k].Result)), append(y, Metrics[name](b[k].Result))
			d = append(d, y[k]-x[k])
		}
		m := Mean(d)
		tells := "no difference seen"
		if math.Abs(m.Mean) > m.Half {
			tells = "differs"
		}
		t.Add(name, Mean(x).Mean, Mean(y).Mean, m.Mean, fmt.Sprintf("+-%.3g", m.Half), tells)
	}
	return t
}

// SetParameter sets a number of a scenario by its path in the file's words, such as counter.per_second.
func SetParameter(s *model.Scenario, path string, value float64) error {
	v := reflect.ValueOf(s).Elem()
	for _, name := range strings.Split(path, ".") {
		if v.Kind() != reflect.Struct {
			return fmt.Errorf("%s: no such parameter", path)
		}
		found := false
		for k := range v.NumField() {
			if v.Type().Field(k).Tag.Get("json") == name {
				v, found = v.Field(k), true
				break
			}
		}
		if !found {
			return fmt.Errorf("%s: no such parameter", path)
		}
	}
	switch v.Kind() {
	case reflect.Float64:
		v.SetFloat(value)
	case reflect.Int:
		v.SetInt(int64(value))
	case reflect.Array:
		v.Index(0).SetFloat(value)
		v.Index(1).SetFloat(value)
	default:
		return fmt.Errorf("%s: not a number", path)
	}
	return nil
}

// SweepChart draws a metric over a swept parameter, a line for each policy, its points the means over seeds.
func SweepChart(list []Done, at func(Done) float64, parameter, metric string) Chart {
	type key struct {
		policy string
		x      float64
	}
	values := map[key][]float64{}
	var order []key
	for _, d := range list {
		k := key{d.Policy.Name, at(d)}
		if values[k] == nil {
			order = append(order, k)
		}
		values[k] = append(values[k], Metrics[metric](d.Result))
	}
	c := Chart{Name: "sweep-" + metric, Title: metric + " over " + parameter, X: parameter, Y: metric, Lines: map[string]plotter.XYs{}}
	for _, k := range order {
		c.Lines[k.policy] = append(c.Lines[k.policy], plotter.XY{X: k.x, Y: Mean(values[k]).Mean})
	}
	return c
}

// Found is the worst that a search came to.
type Found struct {
	Scenario model.Scenario `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Worth    float64        `json:"worth"`
	Broken   []string       `json:"broken"`
}

// Search plays a scenario with random faults over many seeds. It keeps every broken rule and the least worth served, and
// shrinks the faults to the fewest that still show it.
func Search(ctx context.Context, s model.Scenario, p model.Policy, first uint64, seeds int, tell func(n int, d Done)) []Found {
	var jobs []Job
	for n := range seeds {
		seed := first + uint64(n)
		next := s
		next.Faults = model.DrawFaults(s, seed)
		jobs = append(jobs, Job{next, p, seed, false})
	}
	list := Parallel(ctx, jobs, tell)
	var found []Found
	worst := -1
	for k, d := range list {
		if d.Result.Broken > 0 {
			found = append(found, shrink(d, func(r model.Result) bool { return r.Broken > 0 }))
		}
		if worst < 0 || d.Result.Worth() < list[worst].Result.Worth() {
			worst = k
		}
	}
	if worst >= 0 {
		limit := list[worst].Result.Worth() + 0.02
		found = append(found, shrink(list[worst], func(r model.Result) bool { return r.Worth() <= limit }))
	}
	return found
}

func shrink(d Done, shows func(model.Result) bool) Found {
	s, result := d.Scenario, d.Result
	for cut := true; cut; {
		cut = false
		for k := range s.Faults {
			fewer := s
			fewer.Faults = append(append([]model.Fault(nil), s.Faults[:k]...), s.Faults[k+1:]...)
			if r := model.New(fewer, d.Seed, d.Policy, false).Run(); shows(r) {
				s, result, cut = fewer, r, true
				break
			}
		}
	}
	return Found{s, d.Seed, result.Worth(), result.Violations}
}

// KeepFound writes what a search found, to be played again.
func KeepFound(dir string, list []Found) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for k, f := range list {
		raw, err := json.MarshalIndent(f, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("found-%d.json", k)), raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}
