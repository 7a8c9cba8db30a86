// Command bramblelab runs experiments on the limiter, either in a model of the whole system in virtual time or on real
// processes, and writes the results as tables and charts.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"bramblefall/internal/lab"
	"bramblefall/internal/model"
)

// experiments maps the names that the run command takes to the experiments on real processes.
var experiments = map[string]func(context.Context, lab.Options) (lab.Result, error){
	"plans": lab.RunPlans,
}

// errBoundsFailed is the error of a run in which stated bounds do not hold or rules of the model broke.
var errBoundsFailed = errors.New("bounds or rules do not hold")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "bramblelab", Short: "Experiments on the limiter", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand(), sweepCommand(), compareCommand(), searchCommand(), replayCommand(), reportCommand(), chartCommand(), watchCommand(), scaleCommand(), scaleChildCommand(), quotaCommand(), capacityCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "bramblelab:", err)
		os.Exit(1)
	}
}

// commonFlags are the flags that several commands share.
type commonFlags struct {
	seed        uint64 // of the first run; each further run takes the next
	seeds       int    // how many
	quick       bool
	out         string
	policyNames []string
	binary      string
	began       time.Time // log lines give the seconds since then
}

// register adds the flags to c, --policy only if policies is set.
func (o *commonFlags) register(c *cobra.Command, policies bool) {
	o.began = time.Now()
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the first run; further runs take the following numbers")
	c.Flags().IntVar(&o.seeds, "seeds", 1, "how many seeds to run")
	c.Flags().BoolVar(&o.quick, "quick", false, "a short run, under 45 s")
	c.Flags().StringVar(&o.out, "out", "", "write tables and charts to this directory")
	if policies {
		c.Flags().StringSliceVar(&o.policyNames, "policy", []string{"bramblefall"}, "policies to run, or all")
	}
}

// logf writes a progress line to standard error.
func (o *commonFlags) logf(c *cobra.Command, format string, args ...any) {
	fmt.Fprintf(c.ErrOrStderr(), "%6.1f s  %s\n", time.Since(o.began).Seconds(), fmt.Sprintf(format, args...))
}

func (o *commonFlags) selectedPolicies() (list []model.Policy, err error) {
	if slices.Contains(o.policyNames, "all") {
		return append(model.TextbookPolicies(), model.ProjectPolicy()), nil
	}
	for _, name := range o.policyNames {
		p, ok := model.PolicyNamed(name)
		if !ok {
			return nil, fmt.Errorf("unknown policy %q, want all, bramblefall or {even-split,whole-quota,count-each,leases}+{random,least}", name)
		}
		list = append(list, p)
	}
	return list, nil
}

// loadScenario loads a scenario. A quick run is cut to its first 20 seconds and the faults that begin in them.
func (o *commonFlags) loadScenario(name string) (model.Scenario, error) {
	s, err := lab.LoadScenario(name)
	if err == nil && o.quick {
		s.Seconds = min(s.Seconds, 20)
		s.Faults = slices.DeleteFunc(s.Faults, func(f model.Fault) bool { return f.At >= s.Seconds })
	}
	return s, err
}

// printTables prints tables and, with --out, also writes them to files.
func (o *commonFlags) printTables(c *cobra.Command, tables ...*lab.Table) error {
	for _, t := range tables {
		fmt.Fprintf(c.OutOrStdout(), "%s\n%s\n", t.Name, t.Markdown())
		if o.out == "" {
			continue
		}
		if err := os.MkdirAll(o.out, 0o755); err != nil {
			return err
		}
		if err := t.WriteFiles(o.out); err != nil {
			return err
		}
	}
	return nil
}

func (o *commonFlags) progressLogger(c *cobra.Command, of int) func(int, lab.JobResult) {
	return func(n int, d lab.JobResult) {
		o.logf(c, "%d of %d: %s, %s, seed %d, worth %.3f", n, of, d.Result.Scenario, d.Policy.Name, d.Seed, d.Result.WorthShare())
	}
}

func runCommand() *cobra.Command {
	o := &commonFlags{}
	onReal, profile := false, ""
	c := &cobra.Command{Use: "run NAME|FILE", Args: cobra.ExactArgs(1), ValidArgs: lab.ShippedScenarios(),
		Short: "Run a scenario, or an experiment on real processes (plans); exit 0 only where its bounds hold",
		Long:  "Run a scenario in the model, or an experiment on real processes. Shipped: " + strings.Join(append(lab.ShippedScenarios(), "plans"), ", ") + ". The last line is the main figure.",
		RunE: func(c *cobra.Command, args []string) error {
			if experiment, ok := experiments[args[0]]; ok {
				r, err := experiment(c.Context(), lab.Options{Seed: o.seed, Quick: o.quick, OutputDir: o.out,
					Logf: func(format string, args ...any) { o.logf(c, format, args...) }})
				if err := errors.Join(o.printTables(c, r.Tables...), err); err != nil {
					return err
				}
				return reportOutcome(c, r.FailedBounds, r.Summary)
			}
			s, err := o.loadScenario(args[0])
			if err != nil {
				return err
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			if onReal {
				return runReal(c, o, s)
			}
			policies, err := o.selectedPolicies()
			if err != nil {
				return err
			}
			var jobs []lab.Job
			for _, p := range policies {
				for n := range o.seeds {
					jobs = append(jobs, lab.Job{Scenario: s, Policy: p, Seed: o.seed + uint64(n), MeasureCPU: true})
				}
			}
			list := lab.RunJobs(c.Context(), jobs, o.progressLogger(c, len(jobs)))
			if err := o.printTables(c, lab.ResultsTable(s.Name, list)); err != nil {
				return err
			}
			var failedBounds []string
			var worth []float64
			for _, d := range list {
				if d.Policy.Name == "bramblefall" {
					for _, b := range d.Result.Check(s.Bounds) {
						failedBounds = append(failedBounds, fmt.Sprintf("seed %d: %s", d.Seed, b))
					}
					worth = append(worth, d.Result.WorthShare())
				}
			}
			return reportOutcome(c, failedBounds, fmt.Sprintf("worth served of worth asked inside quotas %.4f", lab.MeanInterval(worth).Mean))
		}}
	o.register(c, true)
	c.Flags().StringVar(&profile, "profile", "", "write a CPU profile of the run to this file")
	c.Flags().StringVar(&o.binary, "binary", "", "with --real: path of the limiter's program, such as an older build; by default it is built from the current directory's module")
	c.Flags().BoolVar(&onReal, "real", false, "run on real limiters and stand-ins, and compare with the model")
	return c
}

// runReal runs a scenario on real limiters and in the model, and prints a table that compares the results.
func runReal(c *cobra.Command, o *commonFlags, scenario model.Scenario) error {
	measured, err := lab.RunReal(c.Context(), scenario, o.seed, o.binary, func(format string, args ...any) { o.logf(c, format, args...) })
	if err != nil {
		return err
	}
	modelled := model.New(scenario, o.seed, model.ProjectPolicy(), false).Run()
	if err := o.printTables(c, lab.AgreementTable(scenario, modelled, measured)); err != nil {
		return err
	}
	var failedBounds []string
	if n := measured.Outcomes[lab.Unanswered]; n > 0 {
		failedBounds = append(failedBounds, fmt.Sprintf("%d requests without a final answer", n))
	}
	return reportOutcome(c, failedBounds, fmt.Sprintf("worth served of worth asked inside quotas %.4f, in the model %.4f", measured.WorthShare, modelled.WorthShare()))
}

// reportOutcome prints the bounds that do not hold (for replay: the rules that broke) and, as the last line, the main
// figure. It returns an error if there are such bounds or rules.
func reportOutcome(c *cobra.Command, failedBounds []string, summary string) error {
	for _, b := range failedBounds {
		fmt.Fprintln(c.OutOrStdout(), "bound does not hold:", b)
	}
	fmt.Fprintln(c.OutOrStdout(), summary)
	if len(failedBounds) > 0 {
		return fmt.Errorf("%d %w", len(failedBounds), errBoundsFailed)
	}
	return nil
}

func sweepCommand() *cobra.Command {
	o := &commonFlags{}
	metric := "worth"
	c := &cobra.Command{Use: "sweep NAME|FILE PARAMETER=FROM:TO:STEPS [PARAMETER=...]", Args: cobra.RangeArgs(2, 3),
		Short: "Run a scenario over a range of one or two parameters, such as counter.per_second=50:800:6",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.loadScenario(args[0])
			if err != nil {
				return err
			}
			policies, err := o.selectedPolicies()
			if err != nil {
				return err
			}
			points, name, err := sweepPoints(s, args[1:])
			if err != nil {
				return err
			}
			var jobs []lab.Job
			var parameterValues []float64
			for _, p := range policies {
				for _, point := range points {
					for n := range o.seeds {
						jobs, parameterValues = append(jobs, lab.Job{Scenario: point.scenario, Policy: p, Seed: o.seed + uint64(n), MeasureCPU: true}), append(parameterValues, point.firstValue)
					}
				}
			}
			list := lab.RunJobs(c.Context(), jobs, o.progressLogger(c, len(jobs)))
			if err := o.printTables(c, lab.ResultsTable("sweep", list)); err != nil || o.out == "" {
				return err
			}
			index := -1
			return lab.SweepChart(list, func(lab.JobResult) float64 { index++; return parameterValues[index] }, name, metric).WriteSVG(o.out)
		}}
	o.register(c, true)
	c.Flags().StringVar(&metric, "metric", metric, "metric of the chart: worth, over, refused, room, calls, p99, cpu, ceiling or broken")
	return c
}

// sweepPoint is a scenario with one combination of values of the swept parameters.
type sweepPoint struct {
	scenario   model.Scenario
	firstValue float64 // value of the first parameter, the x axis of the chart
}

// sweepPoints returns the scenarios of a sweep over all combinations of values, and the name of the first parameter.
func sweepPoints(s model.Scenario, ranges []string) (points []sweepPoint, name string, err error) {
	points = []sweepPoint{{scenario: s}}
	for rangeIndex, rangeText := range ranges {
		path, bounds, _ := strings.Cut(rangeText, "=")
		parts := strings.Split(bounds, ":")
		if len(parts) != 3 {
			return nil, "", fmt.Errorf("%q is not PARAMETER=FROM:TO:STEPS, such as counter.per_second=50:800:6", rangeText)
		}
		var numbers [3]float64
		for n, part := range parts {
			if numbers[n], err = strconv.ParseFloat(part, 64); err != nil {
				return nil, "", err
			}
		}
		steps := int(numbers[2])
		if steps < 2 || steps > 100 {
			return nil, "", fmt.Errorf("%q: got %d steps, want 2 to 100", rangeText, steps)
		}
		var next []sweepPoint
		for _, point := range points {
			for n := range steps {
				changed := point
				value := numbers[0] + (numbers[1]-numbers[0])*float64(n)/float64(steps-1)
				if err := lab.SetParameter(&changed.scenario, path, value); err != nil {
					return nil, "", err
				}
				changed.scenario.Name += fmt.Sprintf(" %s=%.4g", path, value)
				if rangeIndex == 0 {
					changed.firstValue, name = value, path
				}
				next = append(next, changed)
			}
		}
		points = next
	}
	return points, name, nil
}

func compareCommand() *cobra.Command {
	o := &commonFlags{}
	c := &cobra.Command{Use: "compare NAME|FILE POLICY|FILE POLICY|FILE", Args: cobra.ExactArgs(3),
		Short: "Compare two policies on a scenario, or two scenarios, paired by seed, with 95% intervals",
		RunE: func(c *cobra.Command, args []string) error {
			var sides [2][]lab.Job
			for i, name := range args[1:] {
				s, err := o.loadScenario(args[0])
				if err != nil {
					return err
				}
				policy, ok := model.PolicyNamed(name)
				if !ok {
					policy = model.ProjectPolicy()
					if s, err = o.loadScenario(name); err != nil {
						return err
					}
				}
				for n := range o.seeds {
					sides[i] = append(sides[i], lab.Job{Scenario: s, Policy: policy, Seed: o.seed + uint64(n), MeasureCPU: true})
				}
			}
			list := lab.RunJobs(c.Context(), append(sides[0], sides[1]...), o.progressLogger(c, 2*o.seeds))
			if len(list) < 2*o.seeds {
				return c.Context().Err()
			}
			return o.printTables(c, lab.CompareTable(list[:o.seeds], list[o.seeds:]))
		}}
	o.register(c, false)
	_ = c.Flags().Set("seeds", "10")
	return c
}

func searchCommand() *cobra.Command {
	o := &commonFlags{}
	c := &cobra.Command{Use: "search NAME|FILE", Args: cobra.ExactArgs(1),
		Short: "Search for the seeds and random faults with the worst outcome, and reduce the faults; exit 1 on a broken rule",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.loadScenario(args[0])
			if err != nil {
				return err
			}
			policies, err := o.selectedPolicies()
			if err != nil {
				return err
			}
			found := lab.Search(c.Context(), s, policies[0], o.seed, o.seeds, func(n int, d lab.JobResult) {
				if n%20 == 0 || d.Result.ViolationCount > 0 {
					o.logf(c, "%d of %d, seed %d: worth %.3f, %d broken rules", n, o.seeds, d.Seed, d.Result.WorthShare(), d.Result.ViolationCount)
				}
			})
			broken := 0
			t := &lab.Table{Name: "search", Columns: []string{"seed", "worth", "faults", "broken"}}
			for _, f := range found {
				t.Add(f.Seed, f.Worth, fmt.Sprintf("%+v", f.Scenario.Faults), strings.Join(f.Violations, "; "))
				if len(f.Violations) > 0 {
					broken++
				}
			}
			if err := o.printTables(c, t); err != nil {
				return err
			}
			if o.out != "" {
				if err := lab.WriteFindings(o.out, found); err != nil {
					return err
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d of %d seeds break a rule\n", broken, o.seeds)
			if broken > 0 {
				return errBoundsFailed
			}
			return nil
		}}
	o.register(c, true)
	_ = c.Flags().Set("seeds", "200")
	return c
}

func replayCommand() *cobra.Command {
	o := &commonFlags{}
	c := &cobra.Command{Use: "replay FILE", Args: cobra.ExactArgs(1), Short: "Run again a finding that search wrote",
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var f lab.Finding
			if err := json.Unmarshal(raw, &f); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			list := lab.RunJobs(c.Context(), []lab.Job{{Scenario: f.Scenario, Policy: model.ProjectPolicy(), Seed: f.Seed}}, nil)
			if err := o.printTables(c, lab.ResultsTable("replay", list)); err != nil {
				return err
			}
			return reportOutcome(c, list[0].Result.Violations, fmt.Sprintf("worth %.4f", list[0].Result.WorthShare()))
		}}
	o.register(c, false)
	return c
}

func chartCommand() *cobra.Command {
	title := ""
	c := &cobra.Command{Use: "chart FILE.csv COLUMN", Args: cobra.ExactArgs(2), Short: "Draw a bar chart of one column of a table, beside the table",
		RunE: func(c *cobra.Command, args []string) error { return lab.DrawColumn(args[0], args[1], title) }}
	c.Flags().StringVar(&title, "title", "", "title of the chart")
	return c
}

func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Args: cobra.ExactArgs(1), Short: "Put a directory's tables and charts on one HTML page",
		RunE: func(c *cobra.Command, args []string) error {
			path, err := lab.WriteHTMLPage(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), filepath.Clean(path))
			return err
		}}
}
