package scale

import (
	"fmt"
	"math"
	"slices"
	"time"

	"bramblefall/internal/lab"
	"bramblefall/logic"
)

// The target that the run is held against.
const (
	targetAddedMS           = 2.9             // ms, for 99 in 100
	targetChangesPerSecond  = 33000.0 / 86400 // a second
	burstChangesPerSecond   = 20.0            // a second, for burstLasts
	burstDuration           = time.Second
	targetRequestsPerSecond = 63.0 // requests a second of a limiter
	heavyLoadFactor         = 10
	firmsPerRequestRate     = 4.25 // firms that a limiter sees for each request a second: 268 at 63
	limitersPerFirm         = 3
	hollowDrainGrace        = 4 * time.Second
	maxHollowPerStart       = 40 // hollow limiters that one process starts at once
	defaultDrainGrace       = 500 * time.Millisecond
	serversPerLimiter       = 10  // servers for each limiter: 57,000 for 5,700
	maxHollowForAddedTime   = 100 // hollow limiters while added time is held against its bound
	serverWorkTime          = 2 * time.Millisecond
)

var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d", "hall-e"}

// tiers: firms of the usual tier stay within their quota; the wide one bounds nothing, for sweeps over few firms.
var tiers = []logic.Plan{
	{Name: "regular", Rate: 3, Burst: 15, Price: 1, OverCost: 0.5},
	{Name: "wide", Rate: 1e5, Burst: 1e5, Price: 1, OverCost: 0.5},
}

// Sizes are those of a run.
type Sizes struct {
	RealLimiters               int       // limiters
	HollowLimiters             []int     // hollow limiters; each size a multiple of their processes
	ServersBesideFleet         int       // on the list beside the fleet
	ListedServers              []int     // on the list
	ChangesPerSecond           []float64 // a second
	RequestsPerSecond          []float64 // requests a second of a real limiter
	ActiveFirms                []int     // firms that ask
	KnownFirms                 []int     // firms that the plan book names
	LimitersTold               []int     // limiters that operators tell
	Clusters                   []int     // clusters in the file
	CallsPerSecond             float64   // a second of a hollow limiter
	Window                     time.Duration
	Settle                     time.Duration
	BackgroundChangesPerSecond float64       // changes a second while something else grows
	DrainGrace                 time.Duration // for a drain, by the settings: how soon a silent watch is doubted follows from it
	HollowDrainGrace           time.Duration // the same for hollow ones, which share a processor: a watch is not doubted because others had it

	countsOnly bool // the short form: counts only
}

// spread is five sizes that span a factor of 100, up to most; each is a multiple of step.
func logSizes(largest, step int) (list []int) {
	for k := 4; k >= 0; k-- {
		n := int(math.Round(float64(largest)/math.Pow(10, float64(k)/2)/float64(step))) * step
		list = append(list, max(n, step))
	}
	return slices.Compact(list)
}

// QuickSizes are those of --quick.
func QuickSizes() Sizes {
	return Sizes{RealLimiters: 8, HollowLimiters: logSizes(1000, hollowProcessCount), ServersBesideFleet: 100, ListedServers: logSizes(10_000, 1), ChangesPerSecond: []float64{0.8, 3, 8, 25, 80},
		RequestsPerSecond: []float64{6.3, 20, 63, 200, 630}, ActiveFirms: logSizes(2000, 1), KnownFirms: logSizes(10_000, 1), LimitersTold: logSizes(200, 1), Clusters: logSizes(1000, 1),
		CallsPerSecond: 2, Window: time.Second, Settle: 300 * time.Millisecond, BackgroundChangesPerSecond: 4, DrainGrace: defaultDrainGrace, HollowDrainGrace: hollowDrainGrace}
}

// FullSizes are those of the target, as far as a machine bears them.
func FullSizes() Sizes {
	return Sizes{RealLimiters: 8, HollowLimiters: logSizes(5700, hollowProcessCount), ServersBesideFleet: 200, ListedServers: logSizes(57_000, 1), ChangesPerSecond: []float64{0.38, 1.2, 3.8, 12, 38},
		RequestsPerSecond: []float64{6.3, 20, 63, 200, 630}, ActiveFirms: logSizes(10_000, 1), KnownFirms: logSizes(100_000, 1), LimitersTold: logSizes(1000, 1), Clusters: logSizes(1000, 1),
		CallsPerSecond: 1, Window: 4 * time.Second, Settle: time.Second, BackgroundChangesPerSecond: 2, DrainGrace: defaultDrainGrace, HollowDrainGrace: hollowDrainGrace}
}

// Set replaces sizes that are not 0, and those of their sweeps.
func (s *Sizes) Set(limiters, servers, beside, real int) error {
	for _, n := range []int{limiters, servers, beside, real} {
		if n < 0 {
			return fmt.Errorf("%d: a size is not below 0", n)
		}
	}
	if limiters > 0 {
		s.HollowLimiters = logSizes(limiters, hollowProcessCount)
		if most := s.HollowLimiters[len(s.HollowLimiters)-1]; most != limiters {
			return fmt.Errorf("%d hollow limiters: they are spread evenly over %d processes", limiters, hollowProcessCount)
		}
	}
	if servers > 0 {
		s.ListedServers = logSizes(servers, 1)
	}
	if beside > 0 {
		s.ServersBesideFleet = beside
	}
	if real > 0 {
		s.RealLimiters = real
	}
	return nil
}

func (r *run) totalLimiters() int {
	return r.Sizes.HollowLimiters[len(r.Sizes.HollowLimiters)-1] + r.Sizes.RealLimiters
}

// believed is the size of the fleet that the real limiters' settings name: the target's by the servers that are listed, so that
// their bounds on tries are as there, where each limiter has ten servers.
func (r *run) configuredFleetSize() int {
	return max(r.Sizes.RealLimiters+1, r.Sizes.ServersBesideFleet/serversPerLimiter)
}

// settings are those of a limiter of a fleet.
func (s Sizes) limiterSettings(fleet, rank int) map[string]any {
	set := lab.Settings(fleet, rank, tiers)
	set["zones"], set["zone"] = zones, rank%len(zones)
	set["rules"].(map[string]any)["drainGrace"] = s.DrainGrace.Seconds()
	return set
}

func (r *run) hollowLimiterCount() (sum int) {
	for _, n := range r.hollowCounts {
		sum += n
	}
	return sum
}

// targetControl is the target's mean rate of changes with a burst.
func (r *run) targetChanges(duration time.Duration) []ChangeSchedule {
	return []ChangeSchedule{{ChangesPerSecond: targetChangesPerSecond, FirstAfter: 100 * time.Millisecond, Duration: duration - burstDuration}, {ChangesPerSecond: burstChangesPerSecond, Duration: burstDuration}}
}
