// Command bramblelab runs experiments on the limiter: in a model of the exchange in virtual time, and on real processes.
// Results are kept as tables and charts.
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

// real are the experiments on real processes.
var real = map[string]func(context.Context, lab.Options) (lab.Result, error){
	"plans": lab.Plans,
}

// errBars says that a run's stated bounds do not hold.
var errBars = errors.New("bars do not hold")

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

// common are the flags that experiments in the model share.
type common struct {
	seed   uint64
	seeds  int
	quick  bool
	out    string
	policy []string
	binary string
	began  time.Time
}

func (o *common) flags(c *cobra.Command, policies bool) {
	o.began = time.Now()
	c.Flags().Uint64Var(&o.seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&o.seeds, "seeds", 1, "how many seeds")
	c.Flags().BoolVar(&o.quick, "quick", false, "the short form, under 45 s")
	c.Flags().StringVar(&o.out, "out", "", "a directory for tables and charts")
	if policies {
		c.Flags().StringSliceVar(&o.policy, "policy", []string{"bramblefall"}, "policies, or all")
	}
}

func (o *common) say(c *cobra.Command, format string, args ...any) {
	fmt.Fprintf(c.ErrOrStderr(), "%6.1f s  %s\n", time.Since(o.began).Seconds(), fmt.Sprintf(format, args...))
}

func (o *common) policies() (list []model.Policy, err error) {
	if slices.Contains(o.policy, "all") {
		return append(model.Textbook(), model.Own()), nil
	}
	for _, name := range o.policy {
		p, ok := model.PolicyNamed(name)
		if !ok {
			return nil, fmt.Errorf("no policy %q", name)
		}
		list = append(list, p)
	}
	return list, nil
}

func (o *common) scenario(name string) (model.Scenario, error) {
	s, err := lab.LoadScenario(name)
	if err == nil && o.quick {
		s.Seconds = min(s.Seconds, 20)
		s.Faults = slices.DeleteFunc(s.Faults, func(f model.Fault) bool { return f.At >= s.Seconds })
	}
	return s, err
}

// tell prints tables and keeps them.
func (o *common) tell(c *cobra.Command, tables ...*lab.Table) error {
	for _, t := range tables {
		fmt.Fprintf(c.OutOrStdout(), "%s\n%s\n", t.Name, t.Markdown())
		if o.out == "" {
			continue
		}
		if err := os.MkdirAll(o.out, 0o755); err != nil {
			return err
		}
		if err := t.Keep(o.out); err != nil {
			return err
		}
	}
	return nil
}

func (o *common) progress(c *cobra.Command, of int) func(int, lab.Done) {
	return func(n int, d lab.Done) {
		o.say(c, "%d of %d: %s, %s, seed %d, worth %.3f", n, of, d.Result.Scenario, d.Policy.Name, d.Seed, d.Result.Worth())
	}
}

func runCommand() *cobra.Command {
	o := &common{}
	onReal, profile := false, ""
	c := &cobra.Command{Use: "run NAME|FILE", Args: cobra.ExactArgs(1), ValidArgs: lab.Shipped(),
		Short: "Run a scenario, or an experiment on real processes (plans); exit 0 only where its bounds hold",
		Long:  "Run a scenario in the model, or an experiment on real processes. Shipped: " + strings.Join(append(lab.Shipped(), "plans"), ", ") + ". The last line is the main figure.",
		RunE: func(c *cobra.Command, args []string) error {
			if play, ok := real[args[0]]; ok {
				r, err := play(c.Context(), lab.Options{Seed: o.seed, Quick: o.quick, Out: o.out,
					Say: func(format string, args ...any) { o.say(c, format, args...) }})
				if err := errors.Join(o.tell(c, r.Tables...), err); err != nil {
					return err
				}
				return verdict(c, r.Broken, r.Main)
			}
			s, err := o.scenario(args[0])
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
			policies, err := o.policies()
			if err != nil {
				return err
			}
			var jobs []lab.Job
			for _, p := range policies {
				for n := range o.seeds {
					jobs = append(jobs, lab.Job{Scenario: s, Policy: p, Seed: o.seed + uint64(n), Timed: true})
				}
			}
			list := lab.Parallel(c.Context(), jobs, o.progress(c, len(jobs)))
			if err := o.tell(c, lab.Results(s.Name, list)); err != nil {
				return err
			}
			var broken []string
			var worth []float64
			for _, d := range list {
				if d.Policy.Name == "bramblefall" {
					for _, b := range d.Result.Check(s.Bounds) {
						broken = append(broken, fmt.Sprintf("seed %d: %s", d.Seed, b))
					}
					worth = append(worth, d.Result.Worth())
				}
			}
			return verdict(c, broken, fmt.Sprintf("worth served of worth asked inside quotas %.4f", lab.Mean(worth).Mean))
		}}
	o.flags(c, true)
	c.Flags().StringVar(&profile, "profile", "", "a file for the processor profile of the run")
	c.Flags().StringVar(&o.binary, "binary", "", "with --real: the limiter's program, such as an older build; by default it is built from here")
	c.Flags().BoolVar(&onReal, "real", false, "on real limiters and stand-ins, beside the model")
	return c
}

// runReal plays a scenario on real limiters and holds the model's result beside it.
func runReal(c *cobra.Command, o *common, s model.Scenario) error {
	r, err := lab.OnReal(c.Context(), s, o.seed, o.binary, func(format string, args ...any) { o.say(c, format, args...) })
	if err != nil {
		return err
	}
	m := model.New(s, o.seed, model.Own(), false).Run()
	if err := o.tell(c, lab.Agreement(s, m, r)); err != nil {
		return err
	}
	var broken []string
	if n := r.Ends[lab.Unanswered]; n > 0 {
		broken = append(broken, fmt.Sprintf("%d requests without a final answer", n))
	}
	return verdict(c, broken, fmt.Sprintf("worth served of worth asked inside quotas %.4f, in the model %.4f", r.Worth, m.Worth()))
}

func verdict(c *cobra.Command, broken []string, main string) error {
	for _, b := range broken {
		fmt.Fprintln(c.OutOrStdout(), "bar broken:", b)
	}
	fmt.Fprintln(c.OutOrStdout(), main)
	if len(broken) > 0 {
		return fmt.Errorf("%d %w", len(broken), errBars)
	}
	return nil
}

func sweepCommand() *cobra.Command {
	o := &common{}
	metric := "worth"
	c := &cobra.Command{Use: "sweep NAME|FILE PARAMETER=FROM:TO:STEPS [PARAMETER=...]", Args: cobra.RangeArgs(2, 3),
		Short: "Run a scenario over a range of one or two parameters, such as counter.per_second=50:800:6",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.scenario(args[0])
			if err != nil {
				return err
			}
			policies, err := o.policies()
			if err != nil {
				return err
			}
			points, name, err := grid(s, args[1:])
			if err != nil {
				return err
			}
			var jobs []lab.Job
			var at []float64
			for _, p := range policies {
				for _, x := range points {
					for n := range o.seeds {
						jobs, at = append(jobs, lab.Job{Scenario: x.s, Policy: p, Seed: o.seed + uint64(n), Timed: true}), append(at, x.value)
					}
				}
			}
			list := lab.Parallel(c.Context(), jobs, o.progress(c, len(jobs)))
			if err := o.tell(c, lab.Results("sweep", list)); err != nil || o.out == "" {
				return err
			}
			k := -1
			return lab.SweepChart(list, func(lab.Done) float64 { k++; return at[k] }, name, metric).Keep(o.out)
		}}
	o.flags(c, true)
	c.Flags().StringVar(&metric, "metric", metric, "of the chart: worth, over, refused, room, calls, p99, cpu, ceiling or broken")
	return c
}

type point struct {
	s     model.Scenario
	value float64 // of the first parameter
}

// grid makes the scenarios of a sweep.
func grid(s model.Scenario, ranges []string) (points []point, name string, err error) {
	points = []point{{s: s}}
	for k, text := range ranges {
		path, span, _ := strings.Cut(text, "=")
		parts := strings.Split(span, ":")
		if len(parts) != 3 {
			return nil, "", fmt.Errorf("%q is not like counter.per_second=50:800:6", text)
		}
		var v [3]float64
		for n, p := range parts {
			if v[n], err = strconv.ParseFloat(p, 64); err != nil {
				return nil, "", err
			}
		}
		steps := int(v[2])
		if steps < 2 || steps > 100 {
			return nil, "", fmt.Errorf("%q: 2 to 100 steps", text)
		}
		var next []point
		for _, x := range points {
			for n := range steps {
				y := x
				value := v[0] + (v[1]-v[0])*float64(n)/float64(steps-1)
				if err := lab.SetParameter(&y.s, path, value); err != nil {
					return nil, "", err
				}
				y.s.Name += fmt.Sprintf(" %s=%.4g", path, value)
				if k == 0 {
					y.value, name = value, path
				}
				next = append(next, y)
			}
		}
		points = next
	}
	return points, name, nil
}

func compareCommand() *cobra.Command {
	o := &common{}
	c := &cobra.Command{Use: "compare NAME|FILE POLICY|FILE POLICY|FILE", Args: cobra.ExactArgs(3),
		Short: "Compare two policies on a scenario, or two scenarios, paired by seed, with 95% intervals",
		RunE: func(c *cobra.Command, args []string) error {
			var sides [2][]lab.Job
			for k, name := range args[1:] {
				s, err := o.scenario(args[0])
				if err != nil {
					return err
				}
				p, ok := model.PolicyNamed(name)
				if !ok {
					p = model.Own()
					if s, err = o.scenario(name); err != nil {
						return err
					}
				}
				for n := range o.seeds {
					sides[k] = append(sides[k], lab.Job{Scenario: s, Policy: p, Seed: o.seed + uint64(n), Timed: true})
				}
			}
			list := lab.Parallel(c.Context(), append(sides[0], sides[1]...), o.progress(c, 2*o.seeds))
			if len(list) < 2*o.seeds {
				return c.Context().Err()
			}
			return o.tell(c, lab.Compare(list[:o.seeds], list[o.seeds:]))
		}}
	o.flags(c, false)
	_ = c.Flags().Set("seeds", "10")
	return c
}

func searchCommand() *cobra.Command {
	o := &common{}
	c := &cobra.Command{Use: "search NAME|FILE", Args: cobra.ExactArgs(1),
		Short: "Look for the seeds and faults with the worst outcome, and shrink the faults; exit 1 on a broken rule",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.scenario(args[0])
			if err != nil {
				return err
			}
			policies, err := o.policies()
			if err != nil {
				return err
			}
			found := lab.Search(c.Context(), s, policies[0], o.seed, o.seeds, func(n int, d lab.Done) {
				if n%20 == 0 || d.Result.Broken > 0 {
					o.say(c, "%d of %d, seed %d: worth %.3f, %d broken rules", n, o.seeds, d.Seed, d.Result.Worth(), d.Result.Broken)
				}
			})
			broken := 0
			t := &lab.Table{Name: "search", Head: []string{"seed", "worth", "faults", "broken"}}
			for _, f := range found {
				t.Add(f.Seed, f.Worth, fmt.Sprintf("%+v", f.Scenario.Faults), strings.Join(f.Broken, "; "))
				if len(f.Broken) > 0 {
					broken++
				}
			}
			if err := o.tell(c, t); err != nil {
				return err
			}
			if o.out != "" {
				if err := lab.KeepFound(o.out, found); err != nil {
					return err
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d of %d seeds break a rule\n", broken, o.seeds)
			if broken > 0 {
				return errBars
			}
			return nil
		}}
	o.flags(c, true)
	_ = c.Flags().Set("seeds", "200")
	return c
}

func replayCommand() *cobra.Command {
	o := &common{}
	c := &cobra.Command{Use: "replay FILE", Args: cobra.ExactArgs(1), Short: "Play again what a search found",
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var f lab.Found
			if err := json.Unmarshal(raw, &f); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			list := lab.Parallel(c.Context(), []lab.Job{{Scenario: f.Scenario, Policy: model.Own(), Seed: f.Seed}}, nil)
			if err := o.tell(c, lab.Results("replay", list)); err != nil {
				return err
			}
			return verdict(c, list[0].Result.Violations, fmt.Sprintf("worth %.4f", list[0].Result.Worth()))
		}}
	o.flags(c, false)
	return c
}

func chartCommand() *cobra.Command {
	title := ""
	c := &cobra.Command{Use: "chart FILE.csv COLUMN", Args: cobra.ExactArgs(2), Short: "Draw one column of a table as bars, beside it",
		RunE: func(c *cobra.Command, args []string) error { return lab.ChartColumn(args[0], args[1], title) }}
	c.Flags().StringVar(&title, "title", "", "over the chart")
	return c
}

func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Args: cobra.ExactArgs(1), Short: "Put a directory's tables and charts on one HTML page",
		RunE: func(c *cobra.Command, args []string) error {
			path, err := lab.Page(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), filepath.Clean(path))
			return err
		}}
}
