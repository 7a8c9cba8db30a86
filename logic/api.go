// Package logic decides what an API gateway does with every request: whether its customer's quota has room,
// how long it is held, which server it goes to and what happens when an attempt ends. This file is its
// interface: settings, events and actions. All decisions are in logic.go.
package logic

import "time"

// Effect says what a repeat of a request does.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // carries a key: hosts of one group drop a repeat for a while
	Unsafe               // must never run twice
)

// Group says which hosts drop the repeats of a keyed request.
type Group int

// The groups of hosts that share keys.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a kind of request.
type Class struct {
	Name          string        // for the fronts; no decision depends on it
	Aim, Deadline time.Duration // full worth until Aim, some until Deadline
	Worth, Late   float64       // Late: share of the worth that is left after Aim
	Effect        Effect
	KeyGroup      Group
	KeyTTL        time.Duration // how long hosts remember a key
	Streamed      bool
}

// Plan is what a customer bought; its quotas count over all gateways. The names are those of the operators' file.
type Plan struct {
	Name         string  `json:"name"`          // for the fronts; no decision depends on it
	Rate         float64 `json:"rate"`          // units a second; 0: no such quota
	Burst        float64 `json:"burst"`         // units that the store holds
	Open         int     `json:"open"`          // attempts out at once; 0: no such quota
	Price        float64 `json:"price"`         // factor of a request's worth
	OverWorth    float64 `json:"over_worth"`    // of a request's worth, when sent beyond the quota
	OverCost     float64 `json:"over_cost"`     // likewise
	CeilingRate  float64 `json:"ceiling_rate"`  // units a second; 0: no ceiling
	CeilingBurst float64 `json:"ceiling_burst"` // units that the ceiling's store holds
	CeilingSlack float64 `json:"ceiling_slack"` // units by which it may fall below 0
}

// Book tells the figures that firms are held to, where they may change in service. It does no I/O and reads no clock.
type Book interface {
	// Plan is the plan in force of a firm whose requests name this tier, by its number; false: there is no such tier.
	Plan(firm uint64, tier int) (Plan, bool)
}

// Reserves holds what this gateway has leased of firms' reservations. It does no I/O and reads no clock.
type Reserves interface {
	// Take takes units of what is leased here, or notes that the firm wants them.
	Take(now time.Duration, firm uint64, units float64) bool
	// Return gives back what was taken for a request that was never sent on.
	Return(now time.Duration, firm uint64, units float64)
	// Coming tells whether more may be leased for the firm within a moment.
	Coming(now time.Duration, firm uint64) bool
}

// Counters tells which counters hold a name, where there are several. It does no I/O and reads no clock.
type Counters interface {
	// Counters is the numbers of the counters that a name is added to at time now, if gateways may have added to it from began
	// on; none: what stands under it cannot be known.
	Counters(now time.Duration, name uint64, began time.Duration) []int
}

// Settings are what a gateway is told at its start.
type Settings struct {
	Gateways, Rank int
	Zone           int
	Zones          int
	Classes        []Class
	Plans          []Plan

	// What only real sockets need; no decision depends on it.
	ZoneNames, KindNames []string
	ConnIdle             time.Duration // servers close a connection that has stood idle this long
	ConnectTimeout       time.Duration // a connection that is not up by then never comes up
	MaxOpen              int           // requests in hand at once

	AskForList   bool // the list of servers must be asked for
	AskWithin    time.Duration
	HasCounter   bool
	CounterLimit time.Duration // a call unanswered by then has timed out
	Settles      bool          // units are a guess, the answer brings the true ones
	Meter        time.Duration // period of the use meter; 0: none
	MostUnits    float64

	Probes, Cancelling, Peers, RetryAfter bool
	MaxRetryAfter                         time.Duration
	PeerIntake                            float64 // messages a second that a gateway takes in
	MaxAttempts                           int
	ReportFields                          []LoadField
	ReportsInAnswers                      bool
	Resolution                            time.Duration

	StartCapacity float64 // a server starts at this share of its capacity or more
	Cold          time.Duration
	Fall          time.Duration
	FallMultiple  float64
	DrainGrace    time.Duration
}

// LoadField names a value of a load report.
type LoadField int

// The values that a server may report.
const (
	OtherField LoadField = iota
	Inflight
	Queue
	Utilization
	ServiceMillis
	Throughput
	ErrorRate
)

// ServerID names a server for as long as its machine lives.
type ServerID uint64

// ServerState is what the list says of a server.
type ServerState int

// The states of a server.
const (
	Gone ServerState = iota
	Ready
	Draining
)

// Server is a line of the list of servers.
type Server struct {
	ID      ServerID
	Weight  float64
	Cell    int
	Kind    int
	Zone    int
	State   ServerState
	Started time.Duration // on the clock of the events; 0: long ago
}

// Event is one of the types below that end in a comment "event".
type Event any

// ServerList brings news of the servers (event).
type ServerList struct {
	Group   int  // the upstream group that this is news of; the simulator has one
	Failed  bool // an asked-for list did not come
	Whole   bool // servers not named are gone
	Cached  bool // the last list this gateway held before it started, may be old
	Servers []Server
}

// Request is a client's try, owed one final answer (event).
type Request struct {
	ID       uint64
	Class    int
	Plan     int
	Customer uint64
	TTL      time.Duration // the client waits this long
	Units    float64
	Spread   int // gateways that the customer's requests may come through
	First    int // number of the first of them
	Repeat   bool
	Group    int  // the upstream group whose servers may take it
	OwnWait  bool // TTL is the caller's choice: it tells nothing of a wait before this try
	Admit    bool // admission only: the caller sends it on itself and is told no more than that it may
}

// Status is how an attempt, probe or counter call ended.
type Status int

// The ways to end.
const (
	OK Status = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
	Spoilt // an answer came that nobody can use: it may have run
	Unsent // it did not leave, for want of something here: the server is not to blame
	Late   // its time was over before it could leave: neither the server nor a shortage is to blame
)

// provesNothingRan tells whether an attempt that ended so has certainly not run at its server.
func (s Status) provesNothingRan() bool {
	switch s {
	case Full, ConnectFailed, Moot, Unsent, Late:
		return true
	}
	return false
}

// Outcome ends an attempt (event).
type Outcome struct {
	ID      uint64
	Attempt int
	Server  ServerID
	Status  Status
	Latency time.Duration
	Closed  bool    // the request is over
	Used    int     // 1 + percent of the quota used by all gateways; 0: not told
	Units   float64 // true units; 0: not told
	Load    []float64
}

// Started says that a streamed answer has begun (event).
type Started struct {
	ID      uint64
	Attempt int
}

// ClientGone says that the client no longer waits (event).
type ClientGone struct{ ID uint64 }

// Closing says that the gateway is about to end: every request gets its final answer now (event).
type Closing struct{}

// PlansChanged says that the book tells other figures from now on (event).
type PlansChanged struct{}

// Leased says that units of a firm's reservation have come, or that there are none any more (event).
type Leased struct{ Customer uint64 }

// CountersChanged says that the list of counters has changed (event).
type CountersChanged struct {
	Listed []int // the numbers of all that may be called
	Among  int   // names are dealt out to so many of them
}

// Timer is an alarm that has rung (event).
type Timer struct{ Token uint32 }

// ProbeResult answers a probe (event).
type ProbeResult struct {
	Server ServerID
	Status Status
	Load   []float64
}

// Message comes from another gateway (event).
type Message struct {
	From int
	Data []byte
}

// CountResult answers a counter call (event).
type CountResult struct {
	Name    uint64
	Status  Status
	Total   float64
	Latency time.Duration
	Parts   []CountPart // what each counter that was called said, where there are several; nil: there is one, number 0
}

// CountPart is one counter's part in a call.
type CountPart struct {
	Counter int
	Status  Status
	Latency time.Duration
}

// Action is one of the types below that end in a comment "action".
type Action any

// Send starts an attempt (action).
type Send struct {
	ID      uint64
	Server  ServerID
	Timeout time.Duration
	Until   time.Duration // on the clock of the events: nothing of it may leave from then on; 0: up to its time-out
}

// Refuse is a final answer: a retry is harmless (action).
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration
}

// Fail is a final answer that promises nothing (action).
type Fail struct{ ID uint64 }

// Admit is the final answer to an admission-only request: it has taken its units and may go on (action).
type Admit struct{ ID uint64 }

// Cancel ends the wait for an attempt (action).
type Cancel struct {
	ID      uint64
	Attempt int
}

// SetTimer asks for a Timer event (action).
type SetTimer struct {
	Token uint32
	After time.Duration
}

// Probe asks a server for its load (action).
type Probe struct{ Server ServerID }

// CloseIdle closes the idle connections to a server (action).
type CloseIdle struct{ Server ServerID }

// Tell sends a message to another gateway, or to all with To = -1 (action).
type Tell struct {
	To   int
	Data []byte
}

// Count adds to a named number on the counter service (action).
type Count struct {
	Name   uint64
	Amount float64
	Lives  time.Duration
	Wait   time.Duration // for an answer, if that may be longer than the settings' limit; 0: that limit
	Began  time.Duration // from when on gateways may have added to the name
	Spared uint8         // bits: which of the name's counters, in their order, are not called
}

// Watch follows, or stops following, the list of servers (action).
type Watch struct{ On bool }

// FetchList asks for the whole list once (action).
type FetchList struct{}

// Log writes a line for the operators (action).
type Log struct{ Text string }
