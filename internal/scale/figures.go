// Package scale measures what the control side of a large fleet costs: hollow limiters beside real ones, slopes over sizes,
// moments. Nothing of it is in the limiter.
package scale

// Figures is what a run of the rig measured. Its JSON is what docs/CAPACITY.md is checked from.
type Figures struct {
	Version  int          `json:"version"` // of this form: 1
	Seed     uint64       `json:"seed"`
	Quick    bool         `json:"quick"`
	Partial  string       `json:"partial,omitempty"` // why the run ended before its end; "": it is whole
	Cores    int          `json:"cores"`
	MemoryMB int          `json:"memory_mb"` // the machine's
	Hollow   int          `json:"hollow"`    // the most hollow limiters at once
	Real     int          `json:"real"`      // real limiters
	Seconds  float64      `json:"seconds"`   // that the run took
	Slopes   []Slope      `json:"slopes"`
	Quota    []QuotaError `json:"quota"`
	Moments  []Moment     `json:"moments"`
	Added    []AddedTime  `json:"added"`
	Missing  []Missing    `json:"missing"`
	Bars     []Bar        `json:"bars"`
}

// Slope is a straight line through what was measured at several sizes.
type Slope struct {
	Role      string    `json:"role"`    // limiter, hollow (all of them together), counter, discovery, distribution or tools
	What      string    `json:"what"`    // memory, processor, messages, bytes; list: the whole list's line
	Unit      string    `json:"unit"`    // bytes, seconds/s, 1/s, bytes/s; /change or /look instead of /s where it is for one of these
	Against   string    `json:"against"` // limiters, servers, services, tenants_known, tenants_active, routes, changes, requests
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Intercept float64   `json:"intercept"`
	PerUnit   float64   `json:"per_unit"`
	Error     float64   `json:"error"` // standard error of PerUnit
	Held      string    `json:"held"`  // what the other sizes were
}

// QuotaError is how far quotas were missed in the model, by plan.
type QuotaError struct {
	Plan            string  `json:"plan"`
	Limiters        int     `json:"limiters"`
	Counters        int     `json:"counters"`
	Speed           float64 `json:"speed"` // of a counter, in times the platform's; 0: unlimited
	Beyond          float64 `json:"beyond"`
	RefusedWithRoom float64 `json:"refused_with_room"` // share of the tries refused with half of the quota unused
	CallsPerRequest float64 `json:"calls_per_request"`
	Unanswered      float64 `json:"unanswered"` // share of the calls without an answer in time, the limit of the settings
	Seeds           int     `json:"seeds"`
	BeyondDeviation float64 `json:"spread"` // of Beyond over the seeds, standard deviation

	Set                      string  `json:"set"`            // the load: what is held while limiters grow
	Held                     string  `json:"held,omitempty"` // in words, in the row of all plans
	Free                     bool    `json:"free"`           // without the module's own budget of calls
	PerSecond                float64 `json:"per_second"`     // requests that the clients of all plans began
	Calls                    float64 `json:"calls"`          // a second, of all limiters
	Lost                     float64 `json:"lost"`           // share of the calls that brought nothing of use at all, turned away or too late
	Tries                    int     `json:"tries"`          // of this plan, over the seeds
	InsideRefusedShare       float64 `json:"inside_refused"` // share refused of the tries of requests that were inside the quota as asked for
	RefusedWithRoomDeviation float64 `json:"room_spread"`    // of RefusedWithRoom over the seeds, standard deviation
}

// Moment is one event that all limiters have to hear of, or to bear.
type Moment struct {
	Name     string  `json:"name"` // change, rack, zone, restart, regions, day
	Limiters int     `json:"limiters"`
	Servers  int     `json:"servers"`
	P99      float64 `json:"p99_s"`
	Last     float64 `json:"last_s"`
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
	Model    bool    `json:"model"` // in the model's time, not on sockets
	Note     string  `json:"note,omitempty"`

	Values map[string]float64 `json:"values,omitempty"` // what else was measured, by its name
	Cost   map[string]float64 `json:"cost,omitempty"`   // processor time: the one thing of the model that differs by run
}

// AddedTime is what a real limiter adds to a request.
type AddedTime struct {
	PerSecond float64 `json:"per_second"` // requests of each real limiter
	Control   bool    `json:"control"`    // with the control side at the target's rate
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Requests  int     `json:"requests"`
	Limiters  int     `json:"limiters"`        // in all, hollow ones among them
	Servers   int     `json:"servers"`         // listed
	Straight  float64 `json:"straight_p99_ms"` // the same measure straight to the servers: the sockets' and the machine's part
	Refused   int     `json:"refused"`
	Lost      int     `json:"lost"` // neither served nor refused
}

// Missing is a slope that was not measured, and why.
type Missing struct {
	Role     string `json:"role"`
	Quantity string `json:"what"`
	Against  string `json:"against"`
	Why      string `json:"why"`
}

// Bar is a bound on a run, and whether it held.
type Bar struct {
	Name  string `json:"name"`
	Holds bool   `json:"holds"`
	Was   string `json:"was"`
}
