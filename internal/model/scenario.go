package model

import (
	"fmt"
	"slices"

	"bramblefall/logic"
)

// Scenario says what is modelled. Times are in seconds unless their name says milliseconds.
type Scenario struct {
	Name     string  `json:"name"`
	Seconds  float64 `json:"seconds"`
	Warm     float64 `json:"warm"` // at the begin, not counted
	Limiters int     `json:"limiters"`
	Nodes    int     `json:"nodes"`
	Halls    int     `json:"halls"`

	Node       NodeKind      `json:"node"`
	Machines   []MachineKind `json:"machines"` // none: all nodes are alike
	Rules      RuleKind      `json:"rules"`
	Units      UnitKind      `json:"units"`
	Network    NetworkKind   `json:"network"`
	Counter    CounterKind   `json:"counter"`
	Discovery  DiscoveryKind `json:"discovery"`
	Clients    ClientKind    `json:"clients"`
	Firms      FirmKind      `json:"firms"`
	Tiers      []logic.Plan  `json:"tiers"`
	TierShares []float64     `json:"shares"` // of the firms, by tier
	Classes    []ClassKind   `json:"classes"`
	Faults     []Fault       `json:"faults"`
	Bounds     Bounds        `json:"bounds"`
}

// NodeKind is what an exchange node is like.
type NodeKind struct {
	Cores          int     `json:"cores"`
	Slots          int     `json:"slots"` // requests in work at once
	Queue          int     `json:"queue"` // and waiting
	WorkCV2        float64 `json:"work_cv2"`
	Thrash         float64 `json:"thrash"` // slowdown for each request in work over the cores
	ColdShare      float64 `json:"cold_share"`
	ColdSeconds    float64 `json:"cold_seconds"`
	DropsCancelled bool    `json:"cancels"` // waiting work that nobody waits for is dropped
	StopsCancelled bool    `json:"stops"`   // so is running work
	Reports        bool    `json:"reports"` // answers say how many requests a second were answered, late and noisy
	MaxConns       int     `json:"conns"`   // at most; 0: any number
	HandshakeMS    float64 `json:"handshake_ms"`
}

// MachineKind is one of several kinds of machine.
type MachineKind struct {
	Share float64 `json:"share"`
	Cores int     `json:"cores"`
	Speed Range   `json:"speed"` // of a core; drawn for each node
}

// RuleKind is the figures that limiters are held to.
type RuleKind struct {
	MaxAttempts           int     `json:"attempts"` // for a request, at most
	DrainGraceSeconds     float64 `json:"drain_grace"`
	OverloadFactor        float64 `json:"fall_multiple"`
	OverloadWindowSeconds float64 `json:"fall"`
}

// UnitKind is how many units a request takes: by its work, from 1 to the most.
type UnitKind struct {
	Most int     `json:"most"`
	Mean float64 `json:"mean"` // of a request of mean work
}

// NetworkKind is the delays, one way.
type NetworkKind struct {
	WithinMS Range   `json:"within_ms"`
	AcrossMS Range   `json:"across_ms"`
	JitterMS float64 `json:"jitter_ms"` // mean of what is added
}

// CounterKind is the quota counters.
type CounterKind struct {
	Count      int     `json:"count"`      // that names are dealt out to; 0: the one of the platform
	SpareCount int     `json:"spare"`      // further ones, for lists that change
	PerSecond  float64 `json:"per_second"` // of each part
	Parts      int     `json:"parts"`
	LatencyMS  Range   `json:"ms"`
	MaxPending int     `json:"waiting"`   // calls at once; more are turned away
	Unlimited  bool    `json:"unlimited"` // it takes any number of calls at once: none waits, none is turned away
	TimeoutMS  float64 `json:"timeout_ms"`
}

// DiscoveryKind is the list of nodes.
type DiscoveryKind struct {
	Late Range `json:"late"`
}

// ClientKind is how clients behave.
type ClientKind struct {
	Retries              int     `json:"retries"`
	Wait                 Range   `json:"wait"`
	GiveUp               Range   `json:"give_up"`   // share of the class's deadline
	Honour               float64 `json:"honour"`    // share that waits as it is told
	DownDetectionSeconds Range   `json:"notice"`    // how late the front sees that a limiter is down
	MarksRetries         bool    `json:"marks_own"` // retries are marked
}

// FirmKind is the member firms.
type FirmKind struct {
	Count            int     `json:"count"`
	QuotaUse         Range   `json:"use"`      // of the quota, most firms
	NearQuotaShare   float64 `json:"full"`     // share of firms that use nearly all
	OverQuotaShare   float64 `json:"heavy"`    // share that asks for more
	OverQuotaFactor  Range   `json:"heavy_x"`  // times the quota
	Spread           Range   `json:"spread"`   // limiters that a firm comes through
	ShiftS           Range   `json:"shift"`    // the busiest limiter of a firm changes
	Skew             float64 `json:"skew"`     // share of a firm's requests that come through its busiest limiter
	OneOffsPerSecond float64 `json:"one_offs"` // senders a second that send once
}

// ClassKind is a class of requests.
type ClassKind struct {
	Name           string  `json:"name"`
	Share          float64 `json:"share"`
	WorkMS         Range   `json:"work_ms"` // its mean is drawn once for a run
	Aim            float64 `json:"aim"`
	Deadline       float64 `json:"deadline"`
	Worth          float64 `json:"worth"`
	Late           float64 `json:"late"`
	Keyed          bool    `json:"keyed"` // by hall, else safe to repeat
	KeyTTLSeconds  float64 `json:"key_ttl"`
	UnsafeToRepeat bool    `json:"unsafe"` // it must never run twice
}

// Fault is something that goes wrong.
type Fault struct {
	Kind string  `json:"kind"`
	At   float64 `json:"at"`
	For  float64 `json:"lasts"`
	Part float64 `json:"part"` // share of what it meets
	Size float64 `json:"size"` // of a flood: times the usual load
	Hall int     `json:"hall"` // or the number of the counter that is lost
}

// Kinds of faults.
const (
	FaultFlush    = "flush"        // the counter forgets a part of its names
	FaultSlow     = "slow"         // the counter's calls take Size times as long
	FaultSilent   = "silent"       // the counter answers nothing
	FaultSplit    = "split"        // the counter's callers are on two copies that disagree
	FaultHot      = "hot"          // three firms flood
	FaultScan     = "scan"         // one-off senders
	FaultHall     = "hall"         // a hall's nodes die and come back cold; where Part is over a half it is cut off with its limiters
	FaultLimiters = "limiters"     // a part of the limiters dies and comes back with nothing
	FaultStall    = "stall"        // a part of the limiters stands still, as in garbage collection
	FaultDrain    = "drain"        // a part of the nodes drains, is gone and is replaced by new ones
	FaultCrash    = "crash"        // a part of the nodes dies and comes back cold
	FaultPause    = "pause"        // a part of the nodes stands still
	FaultDeaf     = "deaf"         // discovery tells nothing
	FaultLost     = "counter-lost" // one of several counters dies and comes back empty
	FaultList     = "counters"     // the list holds Size counters, the first Hall of the former ones left out; a part of the limiters hears of it so much later
	FaultCut      = "cut"          // what a hall's nodes say to limiters elsewhere does not arrive; the other way is open
	FaultRegions  = "regions"      // halls of even and of odd number are cut from each other, each with a copy of the counters
)

// drawnKinds are those that a search draws: a seed's faults stay what they were when a kind is added elsewhere.
var searchedFaultKinds = []string{FaultFlush, FaultSlow, FaultSilent, FaultSplit, FaultHot, FaultScan, FaultHall, FaultLimiters, FaultStall,
	FaultDrain, FaultCrash, FaultPause, FaultDeaf, FaultCut}

var faultKinds = append(slices.Clone(searchedFaultKinds), FaultRegions, FaultLost, FaultList)

// Bounds are what must hold for a run to count as good; 0: not looked at.
type Bounds struct {
	MinWorthShare      float64 `json:"worth"`       // least share of the worth asked for inside quotas that is served
	MaxOverQuotaShare  float64 `json:"over_quota"`  // most units sent on beyond quotas, share of all
	MaxCallsPerRequest float64 `json:"calls_each"`  // most counter calls for each request
	MaxViolations      int     `json:"violations"`  // broken rules that are borne
	MaxP99Seconds      float64 `json:"p99_seconds"` // of what was served
}

// Base is a small deployment on a calm day, from which scenarios differ.
func Base() Scenario {
	return Scenario{
		Name: "calm", Seconds: 60, Warm: 2, Limiters: 3, Nodes: 10, Halls: 2,
		Node: NodeKind{Cores: 3, Slots: 6, Queue: 24, WorkCV2: 0.5, Thrash: 0.02, ColdShare: 0.24, ColdSeconds: 18, DropsCancelled: true,
			MaxConns: 256, HandshakeMS: 1},
		Rules:     RuleKind{MaxAttempts: 6, DrainGraceSeconds: 0.5, OverloadFactor: 3, OverloadWindowSeconds: 3},
		Units:     UnitKind{Most: 1, Mean: 1},
		Network:   NetworkKind{WithinMS: Range{0.1, 0.3}, AcrossMS: Range{0.42, 0.78}, JitterMS: 0.05},
		Counter:   CounterKind{PerSecond: 660, Parts: 1, LatencyMS: Range{0.54, 1.4}, MaxPending: 64, TimeoutMS: 30},
		Discovery: DiscoveryKind{Late: Range{0.5, 3}},
		Clients:   ClientKind{Retries: 1, Wait: Range{0.1, 0.6}, GiveUp: Range{0.5, 1}, Honour: 0.7, DownDetectionSeconds: Range{1.5, 3.5}, MarksRetries: true},
		Firms: FirmKind{Count: 120, QuotaUse: Range{0.15, 0.5}, NearQuotaShare: 0.18, OverQuotaShare: 0.09, OverQuotaFactor: Range{1.6, 4.3}, Spread: Range{2, 3},
			ShiftS: Range{6, 22}, Skew: 0.6},
		Tiers: []logic.Plan{
			{Name: "associate", Rate: 0.8, Burst: 4, Price: 0.72, OverCost: 0.6},
			{Name: "regular", Rate: 3.4, Burst: 17, Price: 1.1, OverCost: 0.5},
			{Name: "full", Rate: 13, Burst: 26, Price: 1.8, OverCost: 0.5, CeilingRate: 27, CeilingBurst: 52, CeilingSlack: 5.2},
		},
		TierShares: []float64{0.72, 0.2, 0.08},
		Classes: []ClassKind{
			{Name: "balance-read", Share: 0.76, WorkMS: Range{120, 220}, Aim: 1.5, Deadline: 4, Worth: 2, Late: 0.2},
			{Name: "transfer-post", Share: 0.24, WorkMS: Range{120, 220}, Aim: 1.5, Deadline: 6, Worth: 5, Keyed: true, KeyTTLSeconds: 12},
		},
	}
}

// Scale makes the base larger: nodes, limiters and firms, with the load on a node as it is.
func Scale(limiters, nodes, firms int, oneOffs float64) Scenario {
	s := Base()
	s.Limiters, s.Nodes, s.Firms.Count, s.Firms.OneOffsPerSecond = limiters, nodes, firms, oneOffs
	s.Firms.Spread = Range{2, min(4, float64(limiters))}
	s.Counter.Parts = max(1, limiters/3)
	inside := 0.0 // units a second that the firms would ask for
	for k, t := range s.Tiers {
		inside += s.TierShares[k] * t.Rate * 0.55
	}
	work := 0.17
	scale := (0.55*float64(nodes)*float64(s.Node.Cores)/work - oneOffs) / (inside * float64(firms))
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

// Check finds what is wrong with a scenario: field and text, by the field's path.
func (s Scenario) Check() (all [][2]string) {
	bad := func(field, text string, args ...any) { all = append(all, [2]string{field, fmt.Sprintf(text, args...)}) }
	positive := map[string]float64{"seconds": s.Seconds, "limiters": float64(s.Limiters), "nodes": float64(s.Nodes),
		"halls": float64(s.Halls), "node.cores": float64(s.Node.Cores), "node.slots": float64(s.Node.Slots),
		"counter.per_second": s.Counter.PerSecond, "counter.parts": float64(s.Counter.Parts), "firms.count": float64(s.Firms.Count),
		"counter.timeout_ms": s.Counter.TimeoutMS, "rules.attempts": float64(s.Rules.MaxAttempts), "rules.fall": s.Rules.OverloadWindowSeconds,
		"rules.fall_multiple": s.Rules.OverloadFactor, "units.most": float64(s.Units.Most), "units.mean": s.Units.Mean}
	for _, field := range sorted(positive) {
		if !(positive[field] > 0 && positive[field] <= 1e8) {
			bad(field, "%v is not a number over 0", positive[field])
		}
	}
	ranges := map[string]Range{"network.within_ms": s.Network.WithinMS, "network.across_ms": s.Network.AcrossMS, "counter.ms": s.Counter.LatencyMS,
		"discovery.late": s.Discovery.Late, "clients.wait": s.Clients.Wait, "clients.give_up": s.Clients.GiveUp, "firms.use": s.Firms.QuotaUse,
		"firms.heavy_x": s.Firms.OverQuotaFactor, "firms.spread": s.Firms.Spread, "firms.shift": s.Firms.ShiftS}
	for _, field := range sorted(ranges) {
		if r := ranges[field]; !(r[0] >= 0 && r[1] >= r[0] && r[1] <= 1e8) {
			bad(field, "%v is not a range of two numbers from 0", r)
		}
	}
	if s.Counter.Count < 0 || s.Counter.SpareCount < 0 || s.Counter.Count+s.Counter.SpareCount > 9999 {
		bad("counter.count", "from 0 to 9999 with the spare ones")
	}
	for k, m := range s.Machines {
		if !(m.Share > 0 && m.Cores > 0 && m.Speed[0] > 0 && m.Speed[1] >= m.Speed[0]) {
			bad(fmt.Sprintf("machines[%d]", k), "share, cores and speed are numbers over 0")
		}
	}
	if len(s.Tiers) == 0 || len(s.Tiers) != len(s.TierShares) {
		bad("shares", "one is needed for each tier")
	}
	if len(s.Classes) == 0 {
		bad("classes", "one is needed at least")
	}
	for k, c := range s.Classes {
		if !(c.Deadline > 0 && c.Aim > 0 && c.Aim <= c.Deadline && c.Share >= 0 && c.WorkMS[0] > 0) {
			bad(fmt.Sprintf("classes[%d]", k), "share, work_ms, aim and deadline do not fit")
		}
	}
	for k, f := range s.Faults {
		if !slices.Contains(faultKinds, f.Kind) {
			bad(fmt.Sprintf("faults[%d].kind", k), "%q is none of %v", f.Kind, faultKinds)
		}
		if all := s.Counter.Count + s.Counter.SpareCount; f.Kind == FaultLost && f.Hall >= max(all, 1) || f.Kind == FaultList && (f.Size < 1 || f.Hall < 0 || f.Hall+int(f.Size) > all || s.Counter.Count < 1) {
			bad(fmt.Sprintf("faults[%d].kind", k), "there are %d counters", all)
		}
		if f.At < 0 || f.At >= s.Seconds || f.For < 0 {
			bad(fmt.Sprintf("faults[%d].at", k), "it is not within the run")
		}
	}
	return all
}

func sorted[V any](m map[string]V) []string {
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
