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
	targetAdded   = 2.9             // ms, for 99 in 100
	targetChanges = 33000.0 / 86400 // a second
	burstChanges  = 20.0            // a second, for burstLasts
	burstLasts    = time.Second
	targetRate    = 63.0 // requests a second of a limiter
	moreRequests  = 10
	firmsPerRate  = 4.25 // firms that a limiter sees for each request a second: 268 at 63
	firmSpread    = 3
	hollowGrace   = 4 * time.Second
	mostAdded     = 40 // hollow limiters that one process starts at once
	usualGrace    = 500 * time.Millisecond
	serversEach   = 10  // servers for each limiter: 57,000 for 5,700
	mostBeside    = 100 // hollow limiters while added time is held against its bound
	serverWork    = 2 * time.Millisecond
)

var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d", "hall-e"}

// tiers: firms of the usual tier stay within their quota; the wide one bounds nothing, for sweeps over few firms.
var tiers = []logic.Plan{
	{Name: "regular", Rate: 3, Burst: 15, Price: 1, OverCost: 0.5},
	{Name: "wide", Rate: 1e5, Burst: 1e5, Price: 1, OverCost: 0.5},
}

// Sizes are those of a run.
type Sizes struct {
	Real         int       // limiters
	Fleet        []int     // hollow limiters; each size a multiple of their processes
	FleetServers int       // on the list beside the fleet
	Servers      []int     // on the list
	Changes      []float64 // a second
	Rates        []float64 // requests a second of a real limiter
	Active       []int     // firms that ask
	Known        []int     // firms that the plan book names
	Told         []int     // limiters that operators tell
	Services     []int     // clusters in the file
	Calls        float64   // a second of a hollow limiter
	Window       time.Duration
	Settle       time.Duration
	Beside       float64       // changes a second while something else grows
	Grace        time.Duration // for a drain, by the settings: how soon a silent watch is doubted follows from it
	HollowGrace  time.Duration // the same for hollow ones, which share a processor: a watch is not doubted because others had it

	small bool // the short form: counts only
}

// spread is five sizes that span a factor of 100, up to most; each is a multiple of step.
func spread(most, step int) (list []int) {
	for k := 4; k >= 0; k-- {
		n := int(math.Round(float64(most)/math.Pow(10, float64(k)/2)/float64(step))) * step
		list = append(list, max(n, step))
	}
	return slices.Compact(list)
}

// QuickSizes are those of --quick.
func QuickSizes() Sizes {
	return Sizes{Real: 8, Fleet: spread(1000, hollowProcesses), FleetServers: 100, Servers: spread(10_000, 1), Changes: []float64{0.8, 3, 8, 25, 80},
		Rates: []float64{6.3, 20, 63, 200, 630}, Active: spread(2000, 1), Known: spread(10_000, 1), Told: spread(200, 1), Services: spread(1000, 1),
		Calls: 2, Window: time.Second, Settle: 300 * time.Millisecond, Beside: 4, Grace: usualGrace, HollowGrace: hollowGrace}
}

// FullSizes are those of the target, as far as a machine bears them.
func FullSizes() Sizes {
	return Sizes{Real: 8, Fleet: spread(5700, hollowProcesses), FleetServers: 200, Servers: spread(57_000, 1), Changes: []float64{0.38, 1.2, 3.8, 12, 38},
		Rates: []float64{6.3, 20, 63, 200, 630}, Active: spread(10_000, 1), Known: spread(100_000, 1), Told: spread(1000, 1), Services: spread(1000, 1),
		Calls: 1, Window: 4 * time.Second, Settle: time.Second, Beside: 2, Grace: usualGrace, HollowGrace: hollowGrace}
}

// Set replaces sizes that are not 0, and those of their sweeps.
func (s *Sizes) Set(limiters, servers, beside, real int) error {
	for _, n := range []int{limiters, servers, beside, real} {
		if n < 0 {
			return fmt.Errorf("%d: a size is not below 0", n)
		}
	}
	if limiters > 0 {
		s.Fleet = spread(limiters, hollowProcesses)
		if most := s.Fleet[len(s.Fleet)-1]; most != limiters {
			return fmt.Errorf("%d hollow limiters: they are spread evenly over %d processes", limiters, hollowProcesses)
		}
	}
	if servers > 0 {
		s.Servers = spread(servers, 1)
	}
	if beside > 0 {
		s.FleetServers = beside
	}
	if real > 0 {
		s.Real = real
	}
	return nil
}

func (r *run) fleetSize() int { return r.Sizes.Fleet[len(r.Sizes.Fleet)-1] + r.Sizes.Real }

// believed is the size of the fleet that the real limiters' settings name: the target's by the servers that are listed, so that
// their bounds on tries are as there, where each limiter has ten servers.
func (r *run) believed() int { return max(r.Sizes.Real+1, r.Sizes.FleetServers/serversEach) }

// settings are those of a limiter of a fleet.
func (s Sizes) settings(fleet, rank int) map[string]any {
	set := lab.Settings(fleet, rank, tiers)
	set["zones"], set["zone"] = zones, rank%len(zones)
	set["rules"].(map[string]any)["drainGrace"] = s.Grace.Seconds()
	return set
}

func (r *run) hollows() (sum int) {
	for _, n := range r.hollowCount {
		sum += n
	}
	return sum
}

// targetControl is the target's mean rate of changes with a burst.
func (r *run) targetControl(lasts time.Duration) []Steady {
	return []Steady{{PerSecond: targetChanges, First: 100 * time.Millisecond, For: lasts - burstLasts}, {PerSecond: burstChanges, For: burstLasts}}
}
