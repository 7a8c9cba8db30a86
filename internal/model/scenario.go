package model

import (
	"fmt"
	"slices"

	"bramblefall/logic"
)

// Scenario describes a modelled deployment, its load and its faults. Times are in seconds unless their name says
// milliseconds.
type Scenario struct {
	Name          string  `json:"name"`
	Seconds       float64 `json:"seconds"`
	WarmupSeconds float64 `json:"warm"` // warm-up at the start of the run; Result tells which figures leave it out
	Limiters      int     `json:"limiters"`
	Nodes         int     `json:"nodes"`
	Halls         int     `json:"halls"`

	Node       NodeKind      `json:"node"`
	Machines   []MachineKind `json:"machines"` // if empty, all nodes are alike
	Rules      RuleKind      `json:"rules"`
	Units      UnitKind      `json:"units"`
	Network    NetworkKind   `json:"network"`
	Counter    CounterKind   `json:"counter"`
	Discovery  DiscoveryKind `json:"discovery"`
	Clients    ClientKind    `json:"clients"`
	Firms      FirmKind      `json:"firms"`
	Tiers      []logic.Plan  `json:"tiers"`
	TierShares []float64     `json:"shares"` // share of the firms in each tier
	Classes    []ClassKind   `json:"classes"`
	Faults     []Fault       `json:"faults"`
	Bounds     Bounds        `json:"bounds"`
}

// NodeKind configures the exchange nodes.
type NodeKind struct {
	Cores              int     `json:"cores"`
	MaxRunning         int     `json:"slots"` // requests processed at once
	MaxQueued          int     `json:"queue"` // requests that may wait beside those being processed
	WorkCV2            float64 `json:"work_cv2"`
	ContentionSlowdown float64 `json:"thrash"` // relative slowdown for each request processed beyond the number of cores
	ColdShare          float64 `json:"cold_share"`
	ColdSeconds        float64 `json:"cold_seconds"`
	DropsCancelled     bool    `json:"cancels"` // queued requests are dropped when their caller stops waiting
	StopsCancelled     bool    `json:"stops"`   // running requests are stopped when their caller stops waiting
	ReportsThroughput  bool    `json:"reports"` // answers carry the requests answered a second, which lags and has noise
	MaxConns           int     `json:"conns"`   // 0: unlimited
	HandshakeMS        float64 `json:"handshake_ms"`
}

// MachineKind is one of several machine types that nodes run on.
type MachineKind struct {
	Share float64 `json:"share"`
	Cores int     `json:"cores"`
	Speed Range   `json:"speed"` // of one core, drawn for each node
}

// RuleKind holds the limits that the audit checks limiters against.
type RuleKind struct {
	MaxAttempts           int     `json:"attempts"` // for one request
	DrainGraceSeconds     float64 `json:"drain_grace"`
	OverloadFactor        float64 `json:"fall_multiple"`
	OverloadWindowSeconds float64 `json:"fall"`
}

// UnitKind configures the units that a request takes: in proportion to its work, from 1 to Max.
type UnitKind struct {
	Max  int     `json:"most"`
	Mean float64 `json:"mean"` // units of a request of mean work
}

// NetworkKind configures the one-way network delays.
type NetworkKind struct {
	WithinMS Range   `json:"within_ms"`
	AcrossMS Range   `json:"across_ms"`
	JitterMS float64 `json:"jitter_ms"` // mean of the exponential delay that is added
}

// CounterKind configures the quota counters.
type CounterKind struct {
	Count          int     `json:"count"`      // counters that names are sharded over; 0: the platform's single counter
	SpareCount     int     `json:"spare"`      // further counters, for scenarios that change the list
	CallsPerSecond float64 `json:"per_second"` // calls a second that each part serves
	Shards         int     `json:"parts"`
	LatencyMS      Range   `json:"ms"`
	MaxPending     int     `json:"waiting"`   // calls pending at one part; further calls are rejected
	Unlimited      bool    `json:"unlimited"` // any number of calls are served at once: none waits, none is rejected
	TimeoutMS      float64 `json:"timeout_ms"`
}

// DiscoveryKind configures the discovery of nodes.
type DiscoveryKind struct {
	DelaySeconds Range `json:"late"` // time until a limiter learns of a change
}

// ClientKind configures how clients retry and give up.
type ClientKind struct {
	Retries                int     `json:"retries"`
	RetryWaitSeconds       Range   `json:"wait"`
	GiveUpShare            Range   `json:"give_up"`   // share of the class's deadline after which a client gives up
	HonoursRetryAfterShare float64 `json:"honour"`    // share of clients that wait for as long as a rejection tells them
	DownDetectionSeconds   Range   `json:"notice"`    // time until the front notices that a limiter is down
	MarksRetries           bool    `json:"marks_own"` // clients mark their retries as such
}

// FirmKind configures the member firms.
type FirmKind struct {
	Count               int     `json:"count"`
	QuotaUse            Range   `json:"use"`      // share of its quota that an ordinary firm uses
	NearQuotaShare      float64 `json:"full"`     // share of firms that use nearly all of their quota
	OverQuotaShare      float64 `json:"heavy"`    // share of firms that ask for more than their quota
	OverQuotaFactor     Range   `json:"heavy_x"`  // demand of such a firm, as a multiple of its quota
	Spread              Range   `json:"spread"`   // limiters that a firm's requests come through
	ShiftSeconds        Range   `json:"shift"`    // time after which another limiter becomes a firm's busiest
	BusiestLimiterShare float64 `json:"skew"`     // share of a firm's requests that come through its busiest limiter
	OneOffsPerSecond    float64 `json:"one_offs"` // new firms a second that send a single request
}

// ClassKind configures a class of requests.
type ClassKind struct {
	Name            string  `json:"name"`
	Share           float64 `json:"share"`
	WorkMS          Range   `json:"work_ms"` // mean work of the class, drawn once for each run
	AimSeconds      float64 `json:"aim"`
	DeadlineSeconds float64 `json:"deadline"`
	Worth           float64 `json:"worth"`
	LateWorthShare  float64 `json:"late"`  // share of the worth that is left after the aim
	KeyedByHall     bool    `json:"keyed"` // safe to repeat only in the same hall, within the key's TTL; a class that is neither keyed nor unsafe is safe in any hall
	KeyTTLSeconds   float64 `json:"key_ttl"`
	UnsafeToRepeat  bool    `json:"unsafe"` // must never run twice
}

// Fault is a fault that is injected into a run.
type Fault struct {
	Kind string  `json:"kind"`
	At   float64 `json:"at"`
	For  float64 `json:"lasts"`
	Part float64 `json:"part"` // share of the limiters, nodes or names that are hit
	Size float64 `json:"size"` // of a flood: a multiple of the usual load; other meanings stand with the kinds
	Hall int     `json:"hall"` // the hall that is hit, or the number of the counter that is lost
}

// Kinds of faults.
const (
	// FaultFlush makes the counters forget a part of their names.
	FaultFlush = "flush"
	// FaultSlow makes the counters' calls take Size times as long.
	FaultSlow = "slow"
	// FaultSilent stops the counters' answers.
	FaultSilent = "silent"
	// FaultSplit sends the counters' callers to two replicas that diverge.
	FaultSplit = "split"
	// FaultHot makes three firms flood.
	FaultHot = "hot"
	// FaultScan adds firms that send a single request.
	FaultScan = "scan"
	// FaultHall crashes a hall's nodes, which restart cold. If Part is over a half, the whole hall is cut off, with its limiters.
	FaultHall = "hall"
	// FaultLimiters crashes a part of the limiters, which restart with nothing but the list of nodes.
	FaultLimiters = "limiters"
	// FaultStall pauses a part of the limiters, as garbage collection does.
	FaultStall = "stall"
	// FaultDrain drains a part of the nodes, ends them and replaces them by new ones.
	FaultDrain = "drain"
	// FaultCrash crashes a part of the nodes, which restart cold.
	FaultCrash = "crash"
	// FaultPause pauses a part of the nodes.
	FaultPause = "pause"
	// FaultDeaf stops the updates of discovery.
	FaultDeaf = "deaf"
	// FaultLost crashes one of several counters, which restarts empty.
	FaultLost = "counter-lost"
	// FaultList replaces the counter list by Size counters, leaving out the first Hall of all counters. A part of the
	// limiters learns of it only when the fault ends.
	FaultList = "counters"
	// FaultCut drops what a hall's nodes send to limiters of other halls. The other direction stays open.
	FaultCut = "cut"
	// FaultRegions cuts halls of even number from halls of odd number. Each side has its own replica of the counters.
	FaultRegions = "regions"
)

// searchedFaultKinds are the kinds that a search draws from. It is a list of its own so that the faults of a seed stay the
// same when a kind is added elsewhere.
var searchedFaultKinds = []string{FaultFlush, FaultSlow, FaultSilent, FaultSplit, FaultHot, FaultScan, FaultHall, FaultLimiters, FaultStall,
	FaultDrain, FaultCrash, FaultPause, FaultDeaf, FaultCut}

var faultKinds = append(slices.Clone(searchedFaultKinds), FaultRegions, FaultLost, FaultList)

// Bounds are the limits that a good run keeps. A bound of 0 is not checked, except for MaxViolations.
type Bounds struct {
	MinWorthShare      float64 `json:"worth"`      // served share of the worth that was asked for within quotas
	MaxOverQuotaShare  float64 `json:"over_quota"` // share of the units sent that were beyond a quota
	MaxCallsPerRequest float64 `json:"calls_each"` // counter calls
	MaxViolations      int     `json:"violations"`
	MaxP99Seconds      float64 `json:"p99_seconds"` // latency of the requests that were served
}

// BaseScenario is a small deployment without faults, which other scenarios are derived from.
func BaseScenario() Scenario {
	return Scenario{
		Name:          "calm",
		Seconds:       60,
		WarmupSeconds: 2,
		Limiters:      3,
		Nodes:         10,
		Halls:         2,
		Node: NodeKind{
			Cores:              3,
			MaxRunning:         6,
			MaxQueued:          24,
			WorkCV2:            0.5,
			ContentionSlowdown: 0.02,
			ColdShare:          0.24,
			ColdSeconds:        18,
			DropsCancelled:     true,
			MaxConns:           256,
			HandshakeMS:        1,
		},
		Rules: RuleKind{
			MaxAttempts:           6,
			DrainGraceSeconds:     0.5,
			OverloadFactor:        3,
			OverloadWindowSeconds: 3,
		},
		Units: UnitKind{
			Max:  1,
			Mean: 1,
		},
		Network: NetworkKind{
			WithinMS: Range{0.1, 0.3},
			AcrossMS: Range{0.42, 0.78},
			JitterMS: 0.05,
		},
		Counter: CounterKind{
			CallsPerSecond: 660,
			Shards:         1,
			LatencyMS:      Range{0.54, 1.4},
			MaxPending:     64,
			TimeoutMS:      30,
		},
		Discovery: DiscoveryKind{DelaySeconds: Range{0.5, 3}},
		Clients: ClientKind{
			Retries:                1,
			RetryWaitSeconds:       Range{0.1, 0.6},
			GiveUpShare:            Range{0.5, 1},
			HonoursRetryAfterShare: 0.7,
			DownDetectionSeconds:   Range{1.5, 3.5},
			MarksRetries:           true,
		},
		Firms: FirmKind{
			Count:               120,
			QuotaUse:            Range{0.15, 0.5},
			NearQuotaShare:      0.18,
			OverQuotaShare:      0.09,
			OverQuotaFactor:     Range{1.6, 4.3},
			Spread:              Range{2, 3},
			ShiftSeconds:        Range{6, 22},
			BusiestLimiterShare: 0.6,
		},
		Tiers: []logic.Plan{
			{Name: "associate", Rate: 0.8, Burst: 4, Price: 0.72, OverCost: 0.6},
			{Name: "regular", Rate: 3.4, Burst: 17, Price: 1.1, OverCost: 0.5},
			{Name: "full", Rate: 13, Burst: 26, Price: 1.8, OverCost: 0.5, CeilingRate: 27, CeilingBurst: 52, CeilingSlack: 5.2},
		},
		TierShares: []float64{0.72, 0.2, 0.08},
		Classes: []ClassKind{
			{Name: "balance-read", Share: 0.76, WorkMS: Range{120, 220}, AimSeconds: 1.5, DeadlineSeconds: 4, Worth: 2, LateWorthShare: 0.2},
			{Name: "transfer-post", Share: 0.24, WorkMS: Range{120, 220}, AimSeconds: 1.5, DeadlineSeconds: 6, Worth: 5, KeyedByHall: true, KeyTTLSeconds: 12},
		},
	}
}

// ScaledScenario is the base with other numbers of limiters, nodes and firms. Quotas are scaled so that the load on each node
// stays the same.
func ScaledScenario(limiters, nodes, firms int, oneOffs float64) Scenario {
	s := BaseScenario()
	s.Limiters, s.Nodes, s.Firms.Count, s.Firms.OneOffsPerSecond = limiters, nodes, firms, oneOffs
	s.Firms.Spread = Range{2, min(4, float64(limiters))}
	s.Counter.Shards = max(1, limiters/3)
	// Firms are taken to use 0.55 of their rate, and nodes to be used to 0.55 of their cores. demandUnits is the mean demand of
	// a firm, in units a second.
	demandUnits := 0.0
	for k, t := range s.Tiers {
		demandUnits += s.TierShares[k] * t.Rate * 0.55
	}
	meanWorkSeconds := 0.17 // seconds: the middle of the work_ms of the base's classes
	scale := (0.55*float64(nodes)*float64(s.Node.Cores)/meanWorkSeconds - oneOffs) / (demandUnits * float64(firms))
	for k := range s.Tiers {
		t := &s.Tiers[k]
		for _, v := range []*float64{&t.Rate, &t.CeilingRate} {
			*v *= scale
		}
		t.Burst = max(t.Burst*scale, 4)
		if t.CeilingRate > 0 {
			t.CeilingBurst = max(t.CeilingBurst*scale, 2*t.Burst)
			t.CeilingSlack = max(0.1*t.CeilingBurst, 1)
		}
	}
	s.Name = fmt.Sprintf("%dx%dx%d", limiters, nodes, firms)
	return s
}

// Check returns what is wrong with a scenario, as pairs of a field's path and a text.
func (s Scenario) Check() (errs [][2]string) {
	addError := func(field, text string, args ...any) {
		errs = append(errs, [2]string{field, fmt.Sprintf(text, args...)})
	}
	positive := map[string]float64{"seconds": s.Seconds, "limiters": float64(s.Limiters), "nodes": float64(s.Nodes),
		"halls": float64(s.Halls), "node.cores": float64(s.Node.Cores), "node.slots": float64(s.Node.MaxRunning),
		"counter.per_second": s.Counter.CallsPerSecond, "counter.parts": float64(s.Counter.Shards), "firms.count": float64(s.Firms.Count),
		"counter.timeout_ms": s.Counter.TimeoutMS, "rules.attempts": float64(s.Rules.MaxAttempts), "rules.fall": s.Rules.OverloadWindowSeconds,
		"rules.fall_multiple": s.Rules.OverloadFactor, "units.most": float64(s.Units.Max), "units.mean": s.Units.Mean}
	for _, field := range sortedKeys(positive) {
		if !(positive[field] > 0 && positive[field] <= 1e8) {
			addError(field, "%v is not a number over 0 and up to 1e8", positive[field])
		}
	}
	ranges := map[string]Range{"network.within_ms": s.Network.WithinMS, "network.across_ms": s.Network.AcrossMS, "counter.ms": s.Counter.LatencyMS,
		"discovery.late": s.Discovery.DelaySeconds, "clients.wait": s.Clients.RetryWaitSeconds, "clients.give_up": s.Clients.GiveUpShare, "firms.use": s.Firms.QuotaUse,
		"firms.heavy_x": s.Firms.OverQuotaFactor, "firms.spread": s.Firms.Spread, "firms.shift": s.Firms.ShiftSeconds}
	for _, field := range sortedKeys(ranges) {
		if r := ranges[field]; !(r[0] >= 0 && r[1] >= r[0] && r[1] <= 1e8) {
			addError(field, "got %v, want two ascending numbers from 0 to 1e8", r)
		}
	}
	if s.Counter.Count < 0 || s.Counter.SpareCount < 0 || s.Counter.Count+s.Counter.SpareCount > 9999 {
		addError("counter.count", "got %d and %d spare ones, want 0 to 9999 in total", s.Counter.Count, s.Counter.SpareCount)
	}
	for k, m := range s.Machines {
		if !(m.Share > 0 && m.Cores > 0 && m.Speed[0] > 0 && m.Speed[1] >= m.Speed[0]) {
			addError(fmt.Sprintf("machines[%d]", k), "got share %v, cores %d, speed %v; want numbers over 0 and an ascending speed", m.Share, m.Cores, m.Speed)
		}
	}
	if len(s.Tiers) == 0 || len(s.Tiers) != len(s.TierShares) {
		addError("shares", "one is needed for each tier, got %d for %d tiers", len(s.TierShares), len(s.Tiers))
	}
	if len(s.Classes) == 0 {
		addError("classes", "got none, want at least one")
	}
	for k, c := range s.Classes {
		if !(c.DeadlineSeconds > 0 && c.AimSeconds > 0 && c.AimSeconds <= c.DeadlineSeconds && c.Share >= 0 && c.WorkMS[0] > 0) {
			addError(fmt.Sprintf("classes[%d]", k), "got share %v, work_ms %v, aim %v, deadline %v; want a share from 0, work_ms and aim over 0, and an aim up to the deadline",
				c.Share, c.WorkMS, c.AimSeconds, c.DeadlineSeconds)
		}
	}
	for k, f := range s.Faults {
		if !slices.Contains(faultKinds, f.Kind) {
			addError(fmt.Sprintf("faults[%d].kind", k), "%q is none of %v", f.Kind, faultKinds)
		}
		if counters := s.Counter.Count + s.Counter.SpareCount; f.Kind == FaultLost && f.Hall >= max(counters, 1) ||
			f.Kind == FaultList && (f.Size < 1 || f.Hall < 0 || f.Hall+int(f.Size) > counters || s.Counter.Count < 1) {
			addError(fmt.Sprintf("faults[%d].kind", k), "got %s with hall %d and size %v, but there are %d counters", f.Kind, f.Hall, f.Size, counters)
		}
		if f.At < 0 || f.At >= s.Seconds || f.For < 0 {
			addError(fmt.Sprintf("faults[%d].at", k), "got at %v and lasts %v, want a start from 0 to before %v s and a duration from 0", f.At, f.For, s.Seconds)
		}
	}
	return errs
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// DrawFaults draws one to four faults for a seed.
func DrawFaults(s Scenario, seed uint64) (list []Fault) {
	rng := newRand(seed, "search", 0)
	for range 1 + rng.IntN(4) {
		list = append(list, Fault{Kind: searchedFaultKinds[rng.IntN(len(searchedFaultKinds))], At: s.Seconds * (0.1 + 0.6*rng.Float64()),
			For: 1 + 14*rng.Float64(), Part: 0.1 + 0.88*rng.Float64(), Size: 0.2 + 3*rng.Float64(), Hall: rng.IntN(s.Halls)})
	}
	return list
}
