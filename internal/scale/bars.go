package scale

import (
	"fmt"
	"math"
	"strings"
)

const (
	errorBound  = 0.25 // of a slope, relative
	lostBound   = 0
	unheard     = "had not heard of it in time"
	changeBound = 3.0 // seconds until a change is in force everywhere
)

// sure are the slopes that have to be there, positive and known to errorBound.
var sure = []slopeKey{
	{"hollow", "memory", "limiters"},
	{"hollow", "messages", "limiters"},
	{"hollow", "bytes", "limiters"},
	{"discovery", "memory", "limiters"},
	{"discovery", "messages", "limiters"},
	{"discovery", "bytes", "limiters"},
	{"counter", "messages", "limiters"},
	{"limiter", "memory", "servers"},
	{"discovery", "memory", "servers"},
	{"limiter", "messages", "changes"},
	{"limiter", "bytes", "changes"},
	{"discovery", "messages", "changes"},
	{"limiter", "processor", "requests"},
	{"limiter", "messages", "requests"},
	{"distribution", "bytes", "tenants_known"},
	{"distribution", "messages", "limiters"},
}

func (r *run) bar(holds bool, name, format string, args ...any) {
	r.figures.Bars = append(r.figures.Bars, Bar{name, holds, fmt.Sprintf(format, args...)})
}

// bars holds the figures of a whole run against what they have to be.
func (r *run) bars() {
	f := r.figures
	r.bar(f.Hollow == r.Sizes.Fleet[len(r.Sizes.Fleet)-1], "all hollow limiters ran", "%d", f.Hollow)
	late, last := 0, 0.0
	for _, m := range f.Moments {
		if m.Model {
			continue
		}
		if strings.Contains(m.Note, unheard) {
			late++
		}
		if m.Name == "change" {
			last = max(last, m.Last)
		}
	}
	r.bar(late == 0, "every hollow limiter has every change", "%d moments with limiters that had not heard", late)
	r.bar(last > 0 && last < changeBound, fmt.Sprintf("the last limiter has a change within %g s", changeBound), "%.3f s", last)
	r.bar(r.lost == lostBound, "no request is lost", "%d of %d (%s)", r.lost, r.sent, r.lostWhy)
	r.bar(r.unanswered == 0, "every call to the counter is answered", "%d were not (%s)", r.unanswered, strings.Join(r.unansweredWhy, "; "))
	for _, key := range sure {
		s, ok := find(f.Slopes, key)
		relative := math.Inf(1)
		if ok && s.PerUnit > 0 {
			relative = s.Error / s.PerUnit
		}
		r.bar(relative <= errorBound, fmt.Sprintf("slope of %s, %s against %s is positive, its error under %g of it", key.role, key.what, key.against, errorBound),
			"%.4g with %.2g", s.PerUnit, s.Error)
	}
	with := 0
	for _, a := range f.Added {
		if a.Control && a.Limiters <= mostBeside+f.Real {
			with++
			r.bar(a.P99 < targetAdded, fmt.Sprintf("99 in 100 requests wait under %g ms longer at %g a second of each limiter, %d servers, with control, beside at most %d hollow limiters", targetAdded, a.PerSecond, a.Servers, mostBeside), "%.2f ms", a.P99)
		}
	}
	r.bar(with == 3, "added time is measured with control", "%d times", with)
}

func find(list []Slope, key slopeKey) (Slope, bool) {
	for _, s := range list {
		if s.Role == key.role && s.What == key.what && s.Against == key.against {
			return s, true
		}
	}
	return Slope{}, false
}

// Broken names the bars that do not hold.
func (f *Figures) Broken() (list []string) {
	for _, b := range f.Bars {
		if !b.Holds {
			list = append(list, b.Name+": "+b.Was)
		}
	}
	return list
}

// Main is the main figure in a line.
func (f *Figures) Main() string {
	worst, memory, messages := 0.0, Slope{}, Slope{}
	for _, a := range f.Added {
		if a.Control && a.PerSecond == targetRate && a.Limiters <= mostBeside+f.Real {
			worst = max(worst, a.P99)
		}
	}
	memory, _ = find(f.Slopes, slopeKey{"hollow", "memory", "limiters"})
	messages, _ = find(f.Slopes, slopeKey{"discovery", "messages", "limiters"})
	return fmt.Sprintf("a limiter more: %.1f KB, %.2f messages a second at discovery; 99 in 100 requests wait at most %.2f ms longer at %g a second beside at most %d hollow limiters; %d ran",
		memory.PerUnit/1024, messages.PerUnit, worst, targetRate, mostBeside, f.Hollow)
}
