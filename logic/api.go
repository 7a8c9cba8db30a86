// Package logic decides what an API gateway (a limiter) does with every request: whether its customer's quota has room, how
// long it is held, which server it goes to, and what happens when an attempt ends. It does no I/O and reads no clock: it takes
// events and returns actions.
//
// A request passes two stages of admission. The first is its customer's: a token bucket, pacing, and a cap on attempts in
// flight, all sized by this gateway's share of the customer's quota. The share follows from a forecast of the demand one
// interval ahead and the sums of all gateways' forecasts on the counter (King, Song and Dias). The second is the servers': a
// concurrency limit, so that overload queues or is refused here and not in the servers.
//
// Words: a firm is a customer, a limiter a gateway; a hall is the servers of a zone; a cap limits a customer's attempts in
// flight (Plan.Open), and a slot is one attempt in flight under it.
//
// The files:
//
//	api.go        the interface: settings, events and actions
//	logic.go      requests: admission, choice of a server, attempts, final answers; limits and ejection of servers
//	state.go      the gateway's record; the dispatch of events; the queue for servers; counter calls
//	customers.go  the records of customers: buckets, intervals, the state of a shared bucket, dormant customers
//	counters.go   the records of the quota counters
//	servers.go    the records of servers and upstream groups; lost zones, slow start, the retry budget
//	plans.go      changes of plans, and reservations
//	clock.go      the clock that the machines share, and its steps
//	rounding.go   arithmetic that is the same on every architecture
//	tuning.go     most of the constants
package logic

import "time"

// Effect says whether a request may be repeated.
type Effect int

// The effects of a repeat.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // carries a key, by which the servers of a group drop a repeat for a while (KeyTTL)
	Unsafe               // must never run twice
)

// Group says which servers drop the repeats of a keyed request.
type Group int

// The groups of servers that share keys.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a kind of request.
type Class struct {
	Name          string        // for the protocol front ends; no decision depends on it
	Aim, Deadline time.Duration // an answer has its full worth until Aim, and a share of it until Deadline
	Worth, Late   float64       // Worth is of one unit served, before Plan.Price; Late is the share of it that is left after Aim
	Effect        Effect
	KeyGroup      Group
	KeyTTL        time.Duration // how long servers remember a key
	Streamed      bool
}

// Plan is what a customer bought. Its quotas count over all gateways. The JSON names are those of the operators' file.
type Plan struct {
	Name         string  `json:"name"`          // for the protocol front ends; no decision depends on it
	Rate         float64 `json:"rate"`          // units a second; 0: no such quota
	Burst        float64 `json:"burst"`         // units that the token bucket holds
	Open         int     `json:"open"`          // attempts in flight at once; 0: no such quota
	Price        float64 `json:"price"`         // factor of a request's worth
	OverWorth    float64 `json:"over_worth"`    // share of a request's worth that it earns when sent beyond the quota
	OverCost     float64 `json:"over_cost"`     // share of a request's worth that it costs when sent beyond the quota
	CeilingRate  float64 `json:"ceiling_rate"`  // units a second; 0: no ceiling
	CeilingBurst float64 `json:"ceiling_burst"` // units that the ceiling's token bucket holds
	CeilingSlack float64 `json:"ceiling_slack"` // units by which that bucket may fall below 0
}

// PlanSource tells the plans that firms are held to, where they may change in service. It does no I/O and reads no clock.
type PlanSource interface {
	// Plan is the plan in force for a firm whose requests name the tier of this number; false: there is no such tier.
	Plan(firm uint64, tier int) (Plan, bool)
}

// ReservationLeases holds what this gateway has leased of firms' reservations. It does no I/O and reads no clock.
type ReservationLeases interface {
	// Take takes units from what is leased here, or else notes that the firm wants them and returns false.
	Take(now time.Duration, firm uint64, units float64) bool
	// Return gives back what was taken for a request that was never sent on.
	Return(now time.Duration, firm uint64, units float64)
	// LeasePending tells whether more may be leased for the firm soon: a request is then held for
	// leaseWait at first.
	LeasePending(now time.Duration, firm uint64) bool
}

// CounterMap tells which counters hold a name, where there are several. It does no I/O and reads no clock.
type CounterMap interface {
	// Holders returns the numbers of the counters that hold a name at time now. Gateways may have added to the name from began
	// on, the start of its interval; 0: not known. An empty result means that the total cannot be known.
	Holders(now time.Duration, name uint64, began time.Duration) []int
}

// Settings configure a gateway at its start. This package does not read the settings for real sockets, nor Zones, AskWithin,
// Meter, Probes, Peers, PeerIntake, ReportFields, ReportsInAnswers, Resolution, FallMultiple and DrainGrace. Nor does it read
// Server.Weight, Server.Kind, Outcome.UsedPercentPlusOne and Outcome.Load; it ignores ProbeResult and Message, and never
// returns Probe, CloseIdle, Tell or FetchList.
type Settings struct {
	Gateways, Rank int // number of gateways; number of this one, from 0
	Zone           int // of this gateway
	Zones          int
	Classes        []Class
	Plans          []Plan

	// For real sockets only.
	ZoneNames, KindNames []string
	ConnIdle             time.Duration // servers close a connection that has been idle for so long
	ConnectTimeout       time.Duration // a connection attempt ends after so long
	MaxOpen              int           // requests pending at once

	AskForList   bool // the list of servers must be asked for
	AskWithin    time.Duration
	HasCounter   bool
	CounterLimit time.Duration // a counter call that is not answered by then has timed out
	Settles      bool          // a request's units are an estimate; its answer brings the true ones, which replace it in its bucket
	Meter        time.Duration // period of the use meter; 0: there is none
	MostUnits    float64       // units of the largest request

	Probes, Cancelling, Peers, RetryAfter bool
	MaxRetryAfter                         time.Duration
	PeerIntake                            float64 // messages a second that a gateway can take from the others
	MaxAttempts                           int
	ReportFields                          []LoadField
	ReportsInAnswers                      bool
	Resolution                            time.Duration

	StartCapacity float64       // a server starts with this share of its capacity or more (slow start)
	Cold          time.Duration // a server has its whole capacity by this age; 0: at once
	Fall          time.Duration
	FallMultiple  float64
	DrainGrace    time.Duration
}

// LoadField names a value of a server's load report.
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

// ServerID identifies a server for as long as its machine lives.
type ServerID uint64

// ServerState is what the list says about a server.
type ServerState int

// The states of a server.
const (
	Gone ServerState = iota
	Ready
	Draining
)

// Server is an entry of the list of servers.
type Server struct {
	ID      ServerID
	Weight  float64
	Cell    int
	Kind    int
	Zone    int
	State   ServerState
	Started time.Duration // by the clock of the events; 0: long ago
}

// Event is one of the types in this package whose doc comment ends in "(event)".
type Event any

// ServerList brings news about the servers (event).
type ServerList struct {
	Group    int  // the upstream group that it is about
	Failed   bool // a list that was asked for did not come
	Complete bool // servers that are not in it are gone
	Cached   bool // the last list that this gateway had before it started; it may be outdated
	Servers  []Server
}

// Request is a client's try, which must get one final answer (event).
type Request struct {
	ID             uint64
	Class          int
	Plan           int
	Customer       uint64
	TTL            time.Duration // the client waits for so long
	Units          float64
	Spread         int  // number of gateways that the customer's requests may come through
	FirstGateway   int  // number of the first of them
	Repeat         bool // the client marks it as a later try
	Group          int  // the upstream group whose servers may take it
	CallerChoseTTL bool // TTL is the caller's choice: it says nothing about a wait before this try
	AdmitOnly      bool // admission only: the caller sends the request on itself, and is told only that it may
}

// Status is how an attempt, probe or counter call ended.
type Status int

// The statuses of an attempt, probe or counter call.
const (
	OK Status = iota
	Error
	Full // turned away by the server or counter
	Timeout
	ConnectFailed
	Reset // the connection broke; from a counter, also: its answer cannot be used
	Cancelled
	NotAttempted  // no attempt was made: the request was over, out of time, or had used up its attempts
	InvalidAnswer // an answer came that cannot be used: the attempt may have run
	LocalShortage // it could not leave for want of a connection, port or buffer of this process: the server is not to blame
	ExpiredUnsent // its time was over before it could leave: neither the server nor a shortage here is to blame
)

// provesNothingRan tells whether an attempt that ended with this status has certainly not run at its server.
func (s Status) provesNothingRan() bool {
	switch s {
	case Full, ConnectFailed, NotAttempted, LocalShortage, ExpiredUnsent:
		return true
	}
	return false
}

// Outcome is the end of an attempt (event).
type Outcome struct {
	ID                 uint64
	Attempt            int
	Server             ServerID
	Status             Status
	Latency            time.Duration
	RequestOver        bool    // the request is over
	UsedPercentPlusOne int     // 1 + percent of the quota used by all gateways; 0: not known
	Units              float64 // true units; 0: not known
	Load               []float64
}

// Started says that a streamed answer has begun to arrive (event).
type Started struct {
	ID      uint64
	Attempt int
}

// ClientGone says that the client no longer waits (event).
type ClientGone struct{ ID uint64 }

// Closing says that the gateway is about to shut down: every request gets its final answer now (event).
type Closing struct{}

// PlansChanged says that other plans are in force from now on (event).
type PlansChanged struct{}

// Leased says that units of a firm's reservation have been leased to this gateway, or that none are left (event).
type Leased struct{ Customer uint64 }

// CountersChanged says that the list of counters has changed (event).
type CountersChanged struct {
	Numbers    []int // the numbers of all counters that may be called
	SpreadOver int   // number of counters that names are spread over
}

// Timer says that a timer has expired (event).
type Timer struct{ Token uint32 }

// ProbeResult answers a probe; it is ignored (event).
type ProbeResult struct {
	Server ServerID
	Status Status
	Load   []float64
}

// Message is a message from another gateway; it is ignored (event).
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
	Parts   []CountPart // how each counter that was called answered, where there are several; nil: there is one, number 0
}

// CountPart is how one counter answered its part of a call.
type CountPart struct {
	Counter int
	Status  Status
	Latency time.Duration
}

// Action is one of the types in this package whose doc comment ends in "(action)".
type Action any

// Send starts an attempt (action).
type Send struct {
	ID      uint64
	Server  ServerID
	Timeout time.Duration
	Until   time.Duration // by the clock of the events: nothing of it may be sent from then on; 0: until its time-out
}

// Refuse is a final answer that says that a retry is harmless (action).
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration
}

// Fail is a final answer that promises nothing: the request may have run (action).
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
	Name        uint64
	Amount      float64
	TTL         time.Duration // how long the counter keeps the name
	Wait        time.Duration // how long to wait for an answer, if longer than the settings' limit; 0: that limit
	Since       time.Duration // start of the name's interval: from then on gateways may have added to it; 0: not known
	SkippedMask uint8         // bit n (from 0): the n-th counter that Holders returns is not called
}

// Watch starts, or ends, the watch on the list of servers (action).
type Watch struct{ On bool }

// FetchList asks for the whole list once (action).
type FetchList struct{}

// Log writes a line for the operators (action).
type Log struct{ Text string }
