// Package scale measures what the control side of a large fleet costs: discovery, the quota counter and the distribution of
// plans. It runs hollow limiters, which only follow discovery and call the counter, beside a few real ones, and measures how
// costs grow with sizes (slopes) and how long single events take to reach all limiters (moments). No part of the package is
// built into the limiter.
package scale

// Figures is what a run of the rig measured. docs/CAPACITY.md is checked against its JSON.
type Figures struct {
	Version  int          `json:"version"` // of this format: 1
	Seed     uint64       `json:"seed"`
	Quick    bool         `json:"quick"`
	Partial  string       `json:"partial,omitempty"` // why the run ended early; "": the figures are complete
	Cores    int          `json:"cores"`
	MemoryMB int          `json:"memory_mb"` // the machine's
	Hollow   int          `json:"hollow"`    // the most hollow limiters that ran at once
	Real     int          `json:"real"`      // real limiters
	Seconds  float64      `json:"seconds"`   // duration of the run
	Slopes   []Slope      `json:"slopes"`
	Quota    []QuotaError `json:"quota"`
	Moments  []Moment     `json:"moments"`
	Added    []AddedTime  `json:"added"`
	Missing  []Missing    `json:"missing"`
	Bars     []Bar        `json:"bars"`
}

// Slope is the straight line fitted through a quantity measured at several sizes.
type Slope struct {
	Role         string    `json:"role"`    // limiter, hollow (all of them together), counter, discovery, distribution or tools
	Quantity     string    `json:"what"`    // the quantity: memory, processor, messages, bytes, or list, the length of the whole list's line
	Unit         string    `json:"unit"`    // bytes, seconds/s, 1/s, bytes/s; with /change or /look instead of /s where it is the cost of one of these
	Against      string    `json:"against"` // the size: limiters, servers, services, tenants_known, tenants_active, routes, changes, requests
	Sizes        []float64 `json:"sizes"`
	Values       []float64 `json:"values"`    // measured at each of Sizes, in Unit
	Intercept    float64   `json:"intercept"` // of the line at size 0, in Unit
	PerUnit      float64   `json:"per_unit"`  // the slope: Unit for one more of Against
	Error        float64   `json:"error"`     // standard error of PerUnit
	HeldConstant string    `json:"held"`      // what the other sizes were meanwhile, in words
}

// QuotaError is how far quotas were missed in the model: what was sent on beyond them, and what was refused though there was
// room. There is a row for each plan and one for all.
type QuotaError struct {
	Plan                 string  `json:"plan"` // AllPlans: all plans together
	Limiters             int     `json:"limiters"`
	Counters             int     `json:"counters"`
	CounterSpeed         float64 `json:"speed"`             // of a counter, as a multiple of the platform's; 0: unlimited
	BeyondShare          float64 `json:"beyond"`            // share of the units sent on that were beyond quotas
	RefusedWithRoomShare float64 `json:"refused_with_room"` // share of the tries that were refused while half of the quota was unused
	CallsPerRequest      float64 `json:"calls_per_request"` // to the counter
	UnansweredShare      float64 `json:"unanswered"`        // share of the calls without an answer within the settings' timeout
	Seeds                int     `json:"seeds"`             // number of runs that the other figures are means of
	BeyondDeviation      float64 `json:"spread"`            // standard deviation of BeyondShare over the seeds

	Load                     string  `json:"set"`            // name of the load, which stays the same while limiters are added
	Held                     string  `json:"held,omitempty"` // the load in words; only in the row of all plans
	Unbudgeted               bool    `json:"free"`           // true: the module's own budget of calls is lifted
	RequestsPerSecond        float64 `json:"per_second"`     // new requests a second by the clients of all plans
	CallsPerSecond           float64 `json:"calls"`          // to the counter a second, by all limiters
	LostCallShare            float64 `json:"lost"`           // share of the calls without a total for as long as the limiter waited, which may exceed the timeout: turned away, lost or late
	Tries                    int     `json:"tries"`          // of this plan, summed over the seeds
	InsideRefusedShare       float64 `json:"inside_refused"` // refused share of those tries whose requests were inside the quota as asked for
	RefusedWithRoomDeviation float64 `json:"room_spread"`    // standard deviation of RefusedWithRoomShare over the seeds
}

// Moment is a single event that has to reach all limiters or that all have to withstand. The comments below are about moments
// measured on sockets; for modelled ones Note says what P99Seconds, LastSeconds, Messages and Bytes are.
type Moment struct {
	Name        string  `json:"name"` // change, rack, zone, restart, growth, regions, day
	Limiters    int     `json:"limiters"`
	Servers     int     `json:"servers"`
	P99Seconds  float64 `json:"p99_s"`    // seconds until 99 of 100 hollow limiters had it
	LastSeconds float64 `json:"last_s"`   // seconds until the last hollow limiter had it
	Messages    float64 `json:"messages"` // to and from discovery, by all limiters
	Bytes       float64 `json:"bytes"`    // to and from discovery, by all limiters
	Model       bool    `json:"model"`    // measured in the model's time, not on sockets
	Note        string  `json:"note,omitempty"`

	Values map[string]float64 `json:"values,omitempty"` // other measurements by their names
	Cost   map[string]float64 `json:"cost,omitempty"`   // processor times by their names: the only figures of the model that differ from run to run
}

// AddedTime is the time that a real limiter adds to a request.
type AddedTime struct {
	RequestsPerSecond float64 `json:"per_second"`      // requests of each real limiter
	WithChanges       bool    `json:"control"`         // while the list changed at the target's rate
	P50MS             float64 `json:"p50_ms"`          // milliseconds added, median
	P99MS             float64 `json:"p99_ms"`          // milliseconds added, 99th percentile
	TimedRequests     int     `json:"requests"`        // whose time was measured
	Limiters          int     `json:"limiters"`        // in all, hollow ones included
	Servers           int     `json:"servers"`         // on the list
	DirectP99MS       float64 `json:"straight_p99_ms"` // P99MS of the same measurement without a limiter: the part due to sockets and the machine
	Refused           int     `json:"refused"`         // requests, also those whose time was not measured
	Lost              int     `json:"lost"`            // requests that were neither served nor refused
}

// Missing is a slope that was not measured, and the reason.
type Missing struct {
	Role     string `json:"role"`
	Quantity string `json:"what"`    // see Slope.Quantity; all: every quantity; start: taking in the whole list after a start
	Against  string `json:"against"` // see Slope.Against
	Why      string `json:"why"`
}

// Bar is a bound that a run has to keep, and whether it did.
type Bar struct {
	Name     string `json:"name"` // the bound in words
	Holds    bool   `json:"holds"`
	Measured string `json:"was"` // what was measured, in words
}
