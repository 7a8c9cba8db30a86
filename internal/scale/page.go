package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot/plotter"

	"bramblefall/internal/lab"
)

// File is the name of the file with the figures in a run's output directory.
const File = "figures.json"

// Tables returns the figures as tables; the one of quotas only where they were measured.
func (f *Figures) Tables() []*lab.Table {
	slopes := &lab.Table{Name: "scale-slopes", Columns: []string{"role", "what", "against", "unit", "sizes", "each more", "error", "at none"}}
	for _, s := range f.Slopes {
		slopes.Add(s.Role, s.Quantity, s.Against, s.Unit, fmt.Sprintf("%d: %.4g to %.4g", len(s.Sizes), slices.Min(s.Sizes), slices.Max(s.Sizes)), s.PerUnit, s.Error, s.Intercept)
	}
	moments := &lab.Table{Name: "scale-moments", Columns: []string{"moment", "limiters", "servers", "99 in 100 s", "last s", "messages", "bytes", "where", "note"}}
	for _, m := range f.Moments {
		where := "sockets"
		if m.Model {
			where = "model"
		}
		moments.Add(m.Name, m.Limiters, m.Servers, m.P99Seconds, m.LastSeconds, m.Messages, m.Bytes, where, m.Note)
	}
	added := &lab.Table{Name: "scale-added", Columns: []string{"requests/s of a limiter", "control", "limiters", "servers", "half ms", "99 in 100 ms", "straight, 99 in 100 ms", "served", "refused", "lost"}}
	for _, a := range f.Added {
		added.Add(a.RequestsPerSecond, a.WithChanges, a.Limiters, a.Servers, a.P50MS, a.P99MS, a.DirectP99MS, a.TimedRequests, a.Refused, a.Lost)
	}
	gone := &lab.Table{Name: "scale-missing", Columns: []string{"role", "what", "against", "why"}}
	for _, m := range f.Missing {
		gone.Add(m.Role, m.Quantity, m.Against, m.Why)
	}
	bars := &lab.Table{Name: "scale-bars", Columns: []string{"bar", "holds", "was"}}
	for _, b := range f.Bars {
		bars.Add(b.Name, b.Holds, b.Measured)
	}
	held := &lab.Table{Name: "scale-held", Columns: []string{"against", "held"}}
	by := map[string]string{}
	for _, s := range f.Slopes {
		by[s.Against] = s.HeldConstant
	}
	for _, against := range slices.Sorted(maps.Keys(by)) {
		held.Add(against, by[against])
	}
	list := []*lab.Table{slopes, held, moments, added, gone, bars}
	if len(f.Quota) > 0 {
		quota := &lab.Table{Name: "scale-quota", Columns: []string{"plan", "limiters", "counters", "speed", "beyond", "refused with room", "calls per request", "unanswered", "seeds", "spread"}}
		for _, q := range f.Quota {
			quota.Add(q.Plan, q.Limiters, q.Counters, q.CounterSpeed, q.BeyondShare, q.RefusedWithRoomShare, q.CallsPerRequest, q.UnansweredShare, q.Seeds, q.BeyondDeviation)
		}
		list = append(list, quota)
	}
	return list
}

// charts returns a chart for each quantity and the size that it was measured against, with a line for each role and unit.
func (f *Figures) charts() (list []lab.Chart) {
	at := map[string]int{}
	for _, s := range f.Slopes {
		name := "scale-" + s.Quantity + "-" + s.Against
		k, ok := at[name]
		if !ok {
			k = len(list)
			at[name] = k
			list = append(list, lab.Chart{Name: name, Title: s.Quantity + " against " + s.Against, XLabel: s.Against, YLabel: s.Unit, LogX: true, Lines: map[string]plotter.XYs{}})
		}
		var line plotter.XYs
		for n := range s.Sizes {
			line = append(line, plotter.XY{X: s.Sizes[n], Y: s.Values[n]})
		}
		list[k].Lines[s.Role+" "+s.Unit] = line
	}
	return list
}

// Write writes the figures, their tables and charts and a page that shows them into a directory.
func (f *Figures) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	errs := []error{os.WriteFile(filepath.Join(dir, File), append(raw, '\n'), 0o644)}
	for _, t := range f.Tables() {
		errs = append(errs, t.WriteFiles(dir))
	}
	for _, c := range f.charts() {
		errs = append(errs, c.WriteSVG(dir))
	}
	_, err = lab.WriteHTMLPage(dir)
	return errors.Join(append(errs, err)...)
}
