package scale

import (
	"fmt"
	"math"
	"slices"
	"time"

	"bramblefall/internal/lab"
	"bramblefall/logic"
)

// The target fleet whose figures a run is held against, and how the load of a run follows from it.
const (
	targetAddedMS           = 2.9             // bound on the 99th percentile
	targetChangesPerSecond  = 33000.0 / 86400 // 33,000 changes a day
	burstChangesPerSecond   = 20.0            // for burstDuration
	burstDuration           = time.Second
	targetRequestsPerSecond = 63.0            // of each limiter
	heavyLoadFactor         = 10              // added time is also measured at this multiple of targetRequestsPerSecond
	firmsPerRequestRate     = 4.25            // firms that a limiter sees per request a second: 268 at 63 requests a second
	limitersPerFirm         = 3               // through which each firm comes
	hollowDrainGrace        = 4 * time.Second // see Sizes.HollowDrainGrace
	maxHollowPerStart       = 40              // hollow limiters that one process starts in one call
	defaultDrainGrace       = 500 * time.Millisecond
	serversPerLimiter       = 10                   // of the target: 57,000 servers for 5,700 limiters
	maxHollowForAddedTime   = 100                  // most hollow limiters beside which added time is held against its bound
	serverWorkTime          = 2 * time.Millisecond // that a stand-in server takes for a request
)

var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d", "hall-e"}

// tiers are the plans of the load. Firms of the first, regular, stay within their quota. The second, wide, limits nothing: it is
// for sweeps in which few firms send many requests.
var tiers = []logic.Plan{
	{Name: "regular", Rate: 3, Burst: 15, Price: 1, OverCost: 0.5},
	{Name: "wide", Rate: 1e5, Burst: 1e5, Price: 1, OverCost: 0.5},
}

// Sizes are the sizes of a run. A field that is a list is swept: each of its sizes is measured in turn.
type Sizes struct {
	RealLimiters               int           // processes of the real program
	HollowLimiters             []int         // each size a multiple of hollowProcessCount
	ServersBesideFleet         int           // listed while the number of limiters is swept
	ListedServers              []int         // on discovery's list
	ChangesPerSecond           []float64     // of the list
	RequestsPerSecond          []float64     // of each real limiter
	ActiveFirms                []int         // firms that send requests
	KnownFirms                 []int         // firms that a plan book names
	LimitersTold               []int         // limiters to which operators give a change of plans
	Clusters                   []int         // in the file that a limiter follows
	CallsPerSecond             float64       // counter calls of each hollow limiter
	Window                     time.Duration // over which each size is measured
	Settle                     time.Duration // wait before a measurement
	BackgroundChangesPerSecond float64       // changes of the list while another size is swept
	DrainGrace                 time.Duration // the setting drainGrace of real limiters; the timeout of a silent watch follows from it
	HollowDrainGrace           time.Duration // longer for hollow limiters, which share processors: a watch must not time out because others were running

	countsOnly bool // for tests: small sizes, of which only counts are checked and no times
}

// logSizes returns five sizes that span a factor of 100 in equal ratios, up to largest; each is a multiple of step. Sizes that
// round to the same number appear once.
func logSizes(largest, step int) (list []int) {
	for k := 4; k >= 0; k-- {
		n := int(math.Round(float64(largest)/math.Pow(10, float64(k)/2)/float64(step))) * step
		list = append(list, max(n, step))
	}
	return slices.Compact(list)
}

// QuickSizes are the sizes of a run with --quick.
func QuickSizes() Sizes {
	return Sizes{RealLimiters: 8, HollowLimiters: logSizes(1000, hollowProcessCount), ServersBesideFleet: 100, ListedServers: logSizes(10_000, 1), ChangesPerSecond: []float64{0.8, 3, 8, 25, 80},
		RequestsPerSecond: []float64{6.3, 20, 63, 200, 630}, ActiveFirms: logSizes(2000, 1), KnownFirms: logSizes(10_000, 1), LimitersTold: logSizes(200, 1), Clusters: logSizes(1000, 1),
		CallsPerSecond: 2, Window: time.Second, Settle: 300 * time.Millisecond, BackgroundChangesPerSecond: 4, DrainGrace: defaultDrainGrace, HollowDrainGrace: hollowDrainGrace}
}

// FullSizes are the target's sizes, as far as one machine can bear them.
func FullSizes() Sizes {
	return Sizes{RealLimiters: 8, HollowLimiters: logSizes(5700, hollowProcessCount), ServersBesideFleet: 200, ListedServers: logSizes(57_000, 1), ChangesPerSecond: []float64{0.38, 1.2, 3.8, 12, 38},
		RequestsPerSecond: []float64{6.3, 20, 63, 200, 630}, ActiveFirms: logSizes(10_000, 1), KnownFirms: logSizes(100_000, 1), LimitersTold: logSizes(1000, 1), Clusters: logSizes(1000, 1),
		CallsPerSecond: 1, Window: 4 * time.Second, Settle: time.Second, BackgroundChangesPerSecond: 2, DrainGrace: defaultDrainGrace, HollowDrainGrace: hollowDrainGrace}
}

// Set replaces the largest hollow fleet, the longest list, the list beside the fleet and the number of real limiters, and the
// sweeps that lead up to them. A size of 0 is left as it is.
func (s *Sizes) Set(limiters, servers, beside, real int) error {
	for _, n := range []int{limiters, servers, beside, real} {
		if n < 0 {
			return fmt.Errorf("size %d: want 0 or more", n)
		}
	}
	if limiters > 0 {
		s.HollowLimiters = logSizes(limiters, hollowProcessCount)
		if most := s.HollowLimiters[len(s.HollowLimiters)-1]; most != limiters {
			return fmt.Errorf("%d hollow limiters: want a multiple of %d, the processes that share them evenly", limiters, hollowProcessCount)
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

// totalLimiters is the largest number of limiters of the run, hollow and real.
func (r *run) totalLimiters() int {
	return r.Sizes.HollowLimiters[len(r.Sizes.HollowLimiters)-1] + r.Sizes.RealLimiters
}

// configuredFleetSize is the fleet size in the real limiters' settings. It is derived from the listed servers at the target's
// ratio of ten servers a limiter, so that the limits on tries, which depend on it, are those of the target.
func (r *run) configuredFleetSize() int {
	return max(r.Sizes.RealLimiters+1, r.Sizes.ServersBesideFleet/serversPerLimiter)
}

// limiterSettings are the settings of the limiter with the given rank in a fleet.
func (s Sizes) limiterSettings(fleet, rank int) map[string]any {
	set := lab.LimiterSettings(fleet, rank, tiers)
	set["zones"], set["zone"] = zones, rank%len(zones)
	set["rules"].(map[string]any)["drainGrace"] = s.DrainGrace.Seconds()
	return set
}

// hollowLimiterCount is the number of hollow limiters that run now, in all processes.
func (r *run) hollowLimiterCount() (sum int) {
	for _, n := range r.hollowCounts {
		sum += n
	}
	return sum
}

// targetChanges schedules changes at the target's mean rate, followed by a burst, for the given time in all.
func (r *run) targetChanges(duration time.Duration) []ChangeSchedule {
	return []ChangeSchedule{{ChangesPerSecond: targetChangesPerSecond, FirstAfter: 100 * time.Millisecond, Duration: duration - burstDuration}, {ChangesPerSecond: burstChangesPerSecond, Duration: burstDuration}}
}
