// Package core holds the reducer, the only place where the limiter's state changes. Events go in and effects come
// out. The reducer knows no wire protocol, opens no socket and reads no clock. Every decision is made by the module in
// package logic.
package core

import (
	"maps"
	"time"

	"bramblefall/internal/plans"
	"bramblefall/internal/reserve"
	"bramblefall/internal/sharding"
	"bramblefall/logic"
)

// Origin is the source of a request context: the front that owes the client exactly one final answer.
type Origin interface {
	// Served delivers a server's answer.
	Served(value any)
	// Admitted lets the client of an admission-only request context proceed.
	Admitted()
	// Rejected turns the client away. A retry after the given time is safe.
	Rejected(after time.Duration)
	// Failed ends the request context without a guarantee: it may or may not have run.
	Failed()
}

// Key identifies a try by its request context and its number within that request context.
type Key struct {
	ID  uint64
	Try int
}

// Event is any of the types in this package whose doc comment is marked "(event)".
type Event any

// RequestContext is a request that a front has accepted (event).
type RequestContext struct {
	logic.Request
	Origin Origin
	At     time.Duration // when the TTL began, on the reducer's clock; 0 means now
}

// Outcome ends a try (event). Each Try effect has exactly one.
type Outcome struct {
	Key
	Status logic.Status
	Value  any
	Load   []float64
}

// UpstreamGroup is an update to the servers of an upstream group (event).
type UpstreamGroup struct{ logic.ServerList }

// CountResult is the result of a Count effect, which it identifies by Call (event).
type CountResult struct {
	Call   uint64
	Status logic.Status
	Total  float64
}

// ClientGone reports that the client of a request context no longer waits for an answer (event).
type ClientGone struct{ ID uint64 }

// Closing announces that the limiter is about to exit (event). Open request contexts are answered in this step; later
// ones are answered as soon as they arrive.
type Closing struct{}

// ClockStepped sets how far the wall clock is ahead of the reducer's clock from now on (event). Initially they agree.
type ClockStepped struct{ Ahead time.Duration }

// Effect is any of the types in this package whose doc comment is marked "(effect)".
type Effect any

// Try forwards a request context to a server (effect).
type Try struct {
	Key
	Group    int
	Server   logic.ServerID
	Timeout  time.Duration // timeout of the try
	Deadline time.Duration // deadline of the try: when Timeout has elapsed
	// SendUntil is the time from which no byte of the try may be sent: its deadline, or the end of the window in which the
	// request may be repeated, whichever comes first.
	SendUntil time.Duration
	Origin    Origin
}

// Abandon stops waiting for a try (effect). The outcome is Reason, or ConnectFailed if a timeout ends a try that has no
// connection yet.
type Abandon struct {
	Key
	Group  int
	Reason logic.Status
}

// Answer passes a server's answer to the client (effect).
type Answer struct {
	Origin Origin
	Value  any
}

// Admit tells the caller to forward its traffic itself (effect).
type Admit struct{ Origin Origin }

// Reject turns the client away (effect).
type Reject struct {
	Origin Origin
	After  time.Duration // how long from now a retry is welcome; 0 if no time is given
}

// Fail ends a request context that may have run (effect).
type Fail struct{ Origin Origin }

// Count adds Amount to a name on a counter, unless the call cannot be made before Deadline (effect).
type Count struct {
	Call     uint64
	Counter  int // a key of SetCounters.Counters; 0 is the platform's own counter before a list names others
	Name     uint64
	Amount   float64
	TTL      time.Duration // TTL of the name on the counter
	Deadline time.Duration // deadline of the call
}

// CloseIdle closes the idle connections to a server (effect).
type CloseIdle struct {
	Group  int
	Server logic.ServerID
}

// SetTimer requests that its Timer be posted as an event at time At (effect).
type SetTimer struct {
	At    time.Duration
	Timer Timer
}

// Log writes a log line for the operators (effect).
type Log struct{ Text string }

// Timer is a timer of the reducer that has fired (event).
type Timer struct {
	kind timerKind
	key  Key // identifies the try; for a module timer ID holds the token, for a count timer the number of the Count effect
}

type timerKind uint8

const (
	moduleTimer timerKind = iota
	tryTimer
	countTimer
	planTimer        // a plan version or a reservation begins or ends
	reservationTimer // periodic tick of the reservations in use
	formerListTimer  // a former list of counters expires
)

type requestContext struct {
	origin   Origin
	group    int
	deadline time.Duration
	done     bool // the final answer has been given, or the client no longer waits for it
	tries    []tryState
	inFlight int // number of tries without an outcome
}

type tryState struct {
	server   logic.ServerID
	sentAt   time.Duration
	inFlight bool
}

// Reducer owns the whole state of the limiter. It is not safe for concurrent use: a single goroutine owns it.
type Reducer struct {
	settings            logic.Settings
	gateway             *logic.Gateway
	book                *plans.Book
	reservations        *reserve.Manager
	planTimerAt         time.Duration // when the earliest plan timer fires; 0 if none is set
	reservationTimerSet bool
	tally               Tally
	now                 time.Duration
	wallClockAhead      time.Duration // how far the wall clock, in which plans and reservations give times, is ahead of now
	requests            map[uint64]*requestContext
	ring                *sharding.Sharder  // nil before the first list of counters, while there is only number 0
	formerListTimerAt   time.Duration      // when the timer for former lists fires; 0 if it is not set
	partsInFlight       map[uint64]part    // by the number of the Count effect
	unreported          map[uint64][]*call // calls whose result the module has not received, by name, in the order in which they were made
	withoutCounter      []*call            // calls for which no counter could be asked; they end within the step
	groups              map[logic.ServerID]int
	lastPartID          uint64
	effects             []Effect
	closing             bool
	mootOutcomes        []logic.Outcome // outcomes of tries that were not started, reported to the module after its current event
}

// New returns a reducer and its module with the given settings. The book's plans take precedence over those in the
// settings.
func New(settings logic.Settings, seed uint64, book *plans.Book) *Reducer {
	r := &Reducer{settings: settings, gateway: logic.New(settings, seed), requests: map[uint64]*requestContext{},
		partsInFlight: map[uint64]part{}, unreported: map[uint64][]*call{}, groups: map[logic.ServerID]int{}, book: book,
		reservations: reserve.New(settings.Gateways, settings.Rank, settings.MostUnits)}
	r.gateway.SetPlanSource(book, r.reservations)
	return r
}

// LimitCustomers bounds the bytes of the module's records of customers; 0 stands for no bound.
func (r *Reducer) LimitCustomers(bytes int64) { r.gateway.LimitCustomers(bytes) }

// IsPending reports whether a timer may still have an effect when it fires.
func (r *Reducer) IsPending(t Timer) bool {
	switch t.kind {
	case moduleTimer:
		return r.gateway.IsPending(uint32(t.key.ID))
	case tryTimer:
		q := r.requests[t.key.ID]
		return q != nil && q.tries[t.key.Try].inFlight
	case countTimer:
		_, inFlight := r.partsInFlight[t.key.ID]
		return inFlight
	}
	return true
}

// OpenCount returns the number of request contexts that wait for their final answer or for the outcome of a try.
func (r *Reducer) OpenCount() int { return len(r.requests) }

// Reduce processes one event at time now and appends the resulting effects in order.
func (r *Reducer) Reduce(now time.Duration, ev Event, effects []Effect) []Effect {
	r.now, r.effects = max(r.now, now), effects
	switch e := ev.(type) {
	case RequestContext:
		if r.closing { // its deadline may lie beyond the end of the process
			r.emit(Reject{e.Origin, ShutdownRetryAfter(r.settings)})
			break
		}
		if e.At > 0 { // without this, time spent in a long inbox would not count against the TTL
			e.TTL -= max(0, r.now-e.At)
		}
		r.requests[e.ID] = &requestContext{origin: e.Origin, group: e.Group, deadline: r.now + e.TTL}
		r.tally.count(r.book.Current().Number)
		r.notify(e.Request)
	case Outcome:
		r.handleOutcome(e)
	case UpstreamGroup:
		r.handleServerList(e.ServerList)
	case CountResult:
		r.handleCountResult(e)
	case ClientGone:
		r.handleClientGone(e.ID)
	case ClockStepped:
		r.wallClockAhead = e.Ahead
		r.reservations.SetClockOffset(e.Ahead)
		r.notify(logic.ClockStepped(e))
		r.advancePlans()
	case Closing:
		r.closing = true
		r.notify(logic.Closing{})
	case PlanCommand:
		r.handleCommand(e)
	case CounterList:
		r.handleCounters(e)
	case Timer:
		r.handleTimer(e)
	}
	r.finishStep()
	return r.effects
}

// finishStep processes the work that an event leaves behind. It makes the calls for reservations, then reports the outcomes of
// tries that were not started and ends the calls that reach no counter, until none of those two remain.
func (r *Reducer) finishStep() {
	r.serveReservations()
	for len(r.mootOutcomes)+len(r.withoutCounter) > 0 {
		if len(r.mootOutcomes) > 0 {
			o := r.mootOutcomes[0]
			r.mootOutcomes = r.mootOutcomes[1:]
			r.notify(o)
			continue
		}
		c := r.withoutCounter[0]
		r.withoutCounter = r.withoutCounter[1:]
		r.finishCall(c)
	}
}

// shutdownRetryAfter is short because another limiter accepts the retry.
const shutdownRetryAfter = 10 * time.Millisecond

// ShutdownRetryAfter returns the retry-after time for clients that a limiter turns away while it shuts down. It is 0 if the
// settings disable retry-after times.
func ShutdownRetryAfter(settings logic.Settings) time.Duration {
	if !settings.RetryAfter {
		return 0
	}
	return min(shutdownRetryAfter, settings.MaxRetryAfter)
}

// handleServerList records the group of each listed server and forgets servers that are no longer listed, whose ids are
// never reused.
func (r *Reducer) handleServerList(l logic.ServerList) {
	if l.Complete && !l.Failed {
		maps.DeleteFunc(r.groups, func(_ logic.ServerID, group int) bool { return group == l.Group })
	}
	for _, s := range l.Servers {
		r.groups[s.ID] = l.Group
	}
	r.notify(l)
	for _, s := range l.Servers {
		if s.State == logic.Gone {
			delete(r.groups, s.ID)
		}
	}
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// notify passes an event to the module and translates the module's actions into effects.
func (r *Reducer) notify(ev logic.Event) {
	for _, a := range r.gateway.Handle(r.now, ev) {
		switch a := a.(type) {
		case logic.Send:
			r.startTry(a)
		case logic.Refuse:
			if q := r.markDone(a.ID); q != nil {
				r.emit(Reject{q.origin, a.RetryAfter})
			}
		case logic.Fail:
			if q := r.markDone(a.ID); q != nil {
				r.emit(Fail{q.origin})
			}
		case logic.Admit:
			if q := r.markDone(a.ID); q != nil {
				r.emit(Admit{q.origin})
			}
		case logic.Cancel:
			if q := r.requests[a.ID]; q != nil && a.Attempt < len(q.tries) && q.tries[a.Attempt].inFlight {
				r.emit(Abandon{Key{a.ID, a.Attempt}, q.group, logic.Cancelled})
			}
		case logic.SetTimer:
			r.emit(SetTimer{r.now + a.After, Timer{moduleTimer, Key{ID: uint64(a.Token)}}})
		case logic.Count:
			r.startCount(a)
		case logic.CloseIdle:
			r.emit(CloseIdle{r.groups[a.Server], a.Server})
		case logic.Watch, logic.FetchList: // ignored: the discovery client always watches and starts a new watch when one ends
		case logic.Log:
			r.emit(Log{a.Text})
		case logic.Tell: // dropped: limiters have no connections to each other, so it is like a lost message
		}
	}
}

func (r *Reducer) startTry(a logic.Send) {
	q := r.requests[a.ID]
	if q == nil {
		return
	}
	n, timeout := len(q.tries), q.deadline-r.now
	if a.Timeout != 0 {
		timeout = min(timeout, a.Timeout)
	}
	// A try for a request that is done or out of time, or one too many, is not started. The module gets the outcome
	// NotAttempted.
	if q.done || timeout <= 0 || r.settings.MaxAttempts > 0 && n >= r.settings.MaxAttempts {
		r.mootOutcomes = append(r.mootOutcomes, logic.Outcome{ID: a.ID, Attempt: n, Server: a.Server, Status: logic.NotAttempted, RequestOver: q.done})
		q.tries = append(q.tries, tryState{server: a.Server, sentAt: r.now})
		return
	}
	q.tries, q.inFlight = append(q.tries, tryState{a.Server, r.now, true}), q.inFlight+1
	sendUntil := r.now + timeout
	if a.Until > 0 {
		sendUntil = min(sendUntil, a.Until)
	}
	r.emit(Try{Key: Key{a.ID, n}, Group: q.group, Server: a.Server, Timeout: timeout, Deadline: r.now + timeout, SendUntil: sendUntil, Origin: q.origin})
	r.emit(SetTimer{r.now + timeout, Timer{tryTimer, Key{a.ID, n}}})
}

// markDone records that the final answer is being given. It returns nil if one was given before, since a client must never
// receive a second.
func (r *Reducer) markDone(id uint64) *requestContext {
	q := r.requests[id]
	if q == nil || q.done {
		return nil
	}
	q.done = true
	r.release(id, q)
	return q
}

// release forgets a request context that is done and has no try in flight.
func (r *Reducer) release(id uint64, q *requestContext) {
	if q.done && q.inFlight == 0 {
		delete(r.requests, id)
	}
}

func (r *Reducer) handleOutcome(e Outcome) {
	q := r.requests[e.ID]
	if q == nil || e.Try >= len(q.tries) || !q.tries[e.Try].inFlight {
		return
	}
	t := &q.tries[e.Try]
	t.inFlight, q.inFlight = false, q.inFlight-1
	if e.Status == logic.OK && !q.done {
		q.done = true
		r.emit(Answer{q.origin, e.Value})
	}
	done := q.done
	r.release(e.ID, q)
	r.notify(logic.Outcome{ID: e.ID, Attempt: e.Try, Server: t.server, Status: e.Status, Latency: r.now - t.sentAt,
		RequestOver: done, Load: e.Load})
}

// handleClientGone also abandons the tries in flight, since nobody waits for their answers.
func (r *Reducer) handleClientGone(id uint64) {
	q := r.requests[id]
	if q == nil || q.done {
		return
	}
	q.done = true
	for n, t := range q.tries {
		if t.inFlight {
			r.emit(Abandon{Key{id, n}, q.group, logic.Cancelled})
		}
	}
	r.release(id, q)
	r.notify(logic.ClientGone{ID: id})
}

func (r *Reducer) handleTimer(t Timer) {
	switch t.kind {
	case moduleTimer:
		r.notify(logic.Timer{Token: uint32(t.key.ID)})
	case tryTimer:
		if q := r.requests[t.key.ID]; q != nil && q.tries[t.key.Try].inFlight {
			r.emit(Abandon{t.key, q.group, logic.Timeout})
		}
	case countTimer:
		r.handleCountResult(CountResult{Call: t.key.ID, Status: logic.Timeout})
	case formerListTimer:
		r.formerListTimerAt = 0
		r.dropFormerLists()
	case planTimer:
		r.planTimerAt = 0
		r.advancePlans()
	case reservationTimer:
		r.reservationTimerSet = false
		r.reservations.Tick(r.now)
	}
}
