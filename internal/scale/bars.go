package scale

import (
	"fmt"
	"math"
	"strings"
)

const (
	maxRelativeSlopeError = 0.25 // standard error over the slope
	maxLostRequests       = 0
	notHeardNote          = "had not heard of it in time"
	maxChangeSeconds      = 3.0 // until the last hollow limiter has a change
)

// requiredSlopes are the slopes that every run has to measure, that have to be positive and whose standard error must not
// exceed maxRelativeSlopeError.
var requiredSlopes = []slopeKey{
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

func (r *run) addBar(holds bool, name, format string, args ...any) {
	r.figures.Bars = append(r.figures.Bars, Bar{name, holds, fmt.Sprintf(format, args...)})
}

// checkBars checks the figures of a complete run against their bounds and records a Bar for each.
func (r *run) checkBars() {
	f := r.figures
	r.addBar(f.Hollow == r.Sizes.HollowLimiters[len(r.Sizes.HollowLimiters)-1], "all hollow limiters ran", "%d", f.Hollow)
	momentsNotHeard, slowestChange := 0, 0.0
	for _, m := range f.Moments {
		if m.Model {
			continue
		}
		if strings.Contains(m.Note, notHeardNote) {
			momentsNotHeard++
		}
		if m.Name == "change" {
			slowestChange = max(slowestChange, m.LastSeconds)
		}
	}
	r.addBar(momentsNotHeard == 0, "every hollow limiter has every change", "%d moments with limiters that had not heard", momentsNotHeard)
	r.addBar(slowestChange > 0 && slowestChange < maxChangeSeconds, fmt.Sprintf("the last limiter has a change within %g s", maxChangeSeconds), "%.3f s", slowestChange)
	r.addBar(r.lostRequests == maxLostRequests, "no request is lost", "%d of %d (%s)", r.lostRequests, r.sentRequests, r.lostReason)
	r.addBar(r.unansweredCalls == 0, "every call to the counter is answered", "%d were not (%s)", r.unansweredCalls, strings.Join(r.unansweredReasons, "; "))
	for _, key := range requiredSlopes {
		s, ok := findSlope(f.Slopes, key)
		relative := math.Inf(1)
		if ok && s.PerUnit > 0 {
			relative = s.Error / s.PerUnit
		}
		r.addBar(relative <= maxRelativeSlopeError, fmt.Sprintf("slope of %s, %s against %s is positive, its error under %g of it", key.role, key.quantity, key.against, maxRelativeSlopeError),
			"%.4g with %.2g", s.PerUnit, s.Error)
	}
	controlMeasurements := 0
	for _, a := range f.Added {
		if a.WithChanges && a.Limiters <= maxHollowForAddedTime+f.Real {
			controlMeasurements++
			r.addBar(a.P99MS < targetAddedMS, fmt.Sprintf("99 in 100 requests wait under %g ms longer at %g a second of each limiter, %d servers, with control, beside at most %d hollow limiters", targetAddedMS, a.RequestsPerSecond, a.Servers, maxHollowForAddedTime), "%.2f ms", a.P99MS)
		}
	}
	// measureWithControl measures at two rates of requests, and measureLongestList once more on the longest list.
	r.addBar(controlMeasurements == 3, "added time is measured with control", "%d times", controlMeasurements)
}

// findSlope returns the slope of a key, and whether there is one.
func findSlope(list []Slope, key slopeKey) (Slope, bool) {
	for _, s := range list {
		if s.Role == key.role && s.Quantity == key.quantity && s.Against == key.against {
			return s, true
		}
	}
	return Slope{}, false
}

// BrokenBars lists the bars that do not hold, with what was measured.
func (f *Figures) BrokenBars() (list []string) {
	for _, b := range f.Bars {
		if !b.Holds {
			list = append(list, b.Name+": "+b.Measured)
		}
	}
	return list
}

// Summary sums up the run's main figures in one line.
func (f *Figures) Summary() string {
	worst, memory, messages := 0.0, Slope{}, Slope{}
	for _, a := range f.Added {
		if a.WithChanges && a.RequestsPerSecond == targetRequestsPerSecond && a.Limiters <= maxHollowForAddedTime+f.Real {
			worst = max(worst, a.P99MS)
		}
	}
	memory, _ = findSlope(f.Slopes, slopeKey{"hollow", "memory", "limiters"})
	messages, _ = findSlope(f.Slopes, slopeKey{"discovery", "messages", "limiters"})
	return fmt.Sprintf("a limiter more: %.1f KB, %.2f messages a second at discovery; 99 in 100 requests wait at most %.2f ms longer at %g a second beside at most %d hollow limiters; %d ran",
		memory.PerUnit/1024, messages.PerUnit, worst, targetRequestsPerSecond, maxHollowForAddedTime, f.Hollow)
}
