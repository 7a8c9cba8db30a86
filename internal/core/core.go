// Package core holds the reducer: the only place where the limiter's state changes. Events go in, effects come
// out. It knows no wire, opens no socket and reads no clock; every decision is the module's in package logic.
package core

import (
	"maps"
	"time"

	"bramblefall/internal/plans"
	"bramblefall/internal/reserve"
	"bramblefall/internal/sharding"
	"bramblefall/logic"
)

// Origin is where a request context came from: the front that owes its client the one final answer.
type Origin interface {
	Served(value any)             // what a server gave
	Admitted()                    // an admission-only request context may go on
	Rejected(after time.Duration) // a retry is harmless, after this time
	Failed()                      // nothing is promised
}

// Key names a try: the request context and the number of the try.
type Key struct {
	ID  uint64
	Try int
}

// Event is one of the types below that end in a comment "event".
type Event any

// RequestContext is a request that a front has taken in (event).
type RequestContext struct {
	logic.Request
	Origin Origin
	At     time.Duration // when its TTL began, by the reducer's clock; 0: now
}

// Outcome ends a try (event). There is exactly one for each Try effect.
type Outcome struct {
	Key
	Status logic.Status
	Value  any
	Load   []float64
}

// UpstreamGroup is news of the servers (event).
type UpstreamGroup struct{ logic.ServerList }

// CountResult answers a Count effect (event).
type CountResult struct {
	Call   uint64
	Status logic.Status
	Total  float64
}

// ClientGone says that a request context's client no longer waits (event).
type ClientGone struct{ ID uint64 }

// Closing says that the limiter is about to end: what is open is answered now, and what comes later at once (event).
type Closing struct{}

// ClockStepped says how far the wall clock is ahead of the reducer's from now on (event). At first it is not.
type ClockStepped struct{ Ahead time.Duration }

// Effect is one of the types below that end in a comment "effect".
type Effect any

// Try sends a request context on to a server (effect).
type Try struct {
	Key
	Group  int
	Server logic.ServerID
	Wait   time.Duration
	Ends   time.Duration // when Wait is over
	Until  time.Duration // no byte of it may leave from then on: the try's time is over, or the window for its repeat
	Origin Origin
}

// Abandon ends the wait for a try (effect). Its outcome is Reason, or ConnectFailed where a time-out ends one that has no
// connection yet.
type Abandon struct {
	Key
	Group  int
	Reason logic.Status
}

// Answer gives the client what a server gave (effect).
type Answer struct {
	Origin Origin
	Value  any
}

// Admit tells the caller to pass its traffic on itself (effect).
type Admit struct{ Origin Origin }

// Reject turns the client away (effect).
type Reject struct {
	Origin Origin
	After  time.Duration
}

// Fail ends a request context that may have run (effect).
type Fail struct{ Origin Origin }

// Count calls a counter, if that can be done before Until (effect).
type Count struct {
	Call    uint64
	Counter int // 0: the platform's, unless a list names others
	Name    uint64
	Amount  float64
	Lives   time.Duration
	Until   time.Duration
}

// CloseIdle closes the idle connections to a server (effect).
type CloseIdle struct {
	Group  int
	Server logic.ServerID
}

// SetTimer asks for its Timer back as an event at the time At (effect).
type SetTimer struct {
	At    time.Duration
	Timer Timer
}

// Log writes a line for the operators (effect).
type Log struct{ Text string }

// Timer is an alarm of the reducer's own (event).
type Timer struct {
	kind timerKind
	key  Key // ID: also the token or the call
}

type timerKind uint8

const (
	moduleTimer timerKind = iota
	tryTimer
	countTimer
	planTimer        // a version or a reservation is due
	reservationTimer // reservations in use are looked after
	formerListTimer  // a former list of counters is over
)

type requestContext struct {
	origin   Origin
	group    int
	deadline time.Duration
	done     bool // the final answer is given, or nobody waits for it
	tries    []tryState
	inFlight int
}

type tryState struct {
	server   logic.ServerID
	sentAt   time.Duration
	inFlight bool
}

// Reducer owns all that the limiter knows. It is not safe for concurrent use: one goroutine owns it.
type Reducer struct {
	settings            logic.Settings
	gateway             *logic.Gateway
	book                *plans.Book
	reservations        *reserve.Manager
	planTimerAt         time.Duration // when the earliest plan timer rings; 0: none is set
	reservationTimerSet bool          // the reserve timer is set
	tally               Tally
	now                 time.Duration
	wallClockAhead      time.Duration // of the wall clock, by which plans and reservations name their times
	requests            map[uint64]*requestContext
	ring                *sharding.Ring     // nil: there is one counter
	formerListTimerAt   time.Duration      // when the list timer rings; 0: it is not set
	partsInFlight       map[uint64]part    // by effect
	unreported          map[uint64][]*call // calls of the module that it has not been told the answer to, by name, in their order
	withoutCounter      []*call            // that no counter could be asked
	groups              map[logic.ServerID]int
	lastPartID          uint64
	effects             []Effect
	closing             bool
	mootOutcomes        []logic.Outcome // of tries that could not be made, for the module's next turn
}

// New makes a reducer round a module with these settings. The book's plans go before the settings'.
func New(settings logic.Settings, seed uint64, book *plans.Book) *Reducer {
	r := &Reducer{settings: settings, gateway: logic.New(settings, seed), requests: map[uint64]*requestContext{},
		partsInFlight: map[uint64]part{}, unreported: map[uint64][]*call{}, groups: map[logic.ServerID]int{}, book: book,
		reservations: reserve.New(settings.Gateways, settings.Rank, settings.MostUnits)}
	r.gateway.Use(book, r.reservations)
	return r
}

// Open is how many request contexts wait for their final answer or the outcome of a try.
func (r *Reducer) Open() int { return len(r.requests) }

// Reduce takes one event at time now and appends the effects that it asks for, in order.
func (r *Reducer) Reduce(now time.Duration, ev Event, effects []Effect) []Effect {
	r.now, r.effects = max(r.now, now), effects
	switch e := ev.(type) {
	case RequestContext:
		if r.closing { // its time may end after the program's
			r.emit(Reject{e.Origin, Elsewhere(r.settings)})
			break
		}
		if e.At > 0 { // guards against a time that begins anew where the inbox was long
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
		r.reservations.Ahead(e.Ahead)
		r.notify(logic.ClockStepped(e))
		r.advancePlans()
	case Closing:
		r.closing = true
		r.notify(logic.Closing{})
	case Ask:
		r.handleAsk(e)
	case Counters:
		r.handleCounters(e)
	case Timer:
		r.handleTimer(e)
	}
	r.finishStep()
	return r.effects
}

// finishStep does what a step has left over, until nothing is.
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

const shutdownRetryAfter = 10 * time.Millisecond

// Elsewhere is when a client that a limiter at its end turns away may come again: soon, since another one takes it.
func Elsewhere(settings logic.Settings) time.Duration {
	if !settings.RetryAfter {
		return 0
	}
	return min(shutdownRetryAfter, settings.MaxRetryAfter)
}

// handleServerList keeps the groups of the servers that are handleServerList, and of no others: ids are never used again.
func (r *Reducer) handleServerList(l logic.ServerList) {
	if l.Whole && !l.Failed {
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

// notify hands an event to the module and turns its actions into effects.
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
		case logic.Watch, logic.FetchList: // the watch is always on: where it ends, discovery's client begins the next
		case logic.Log:
			r.emit(Log{a.Text})
		case logic.Tell: // limiters cannot talk to each other on sockets: the same as a message lost
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
	// Guards against a try for a request that is over, or too many: like the simulator's, it is not made.
	if q.done || timeout <= 0 || r.settings.MaxAttempts > 0 && n >= r.settings.MaxAttempts {
		r.mootOutcomes = append(r.mootOutcomes, logic.Outcome{ID: a.ID, Attempt: n, Server: a.Server, Status: logic.Moot, Closed: q.done})
		q.tries = append(q.tries, tryState{server: a.Server, sentAt: r.now})
		return
	}
	q.tries, q.inFlight = append(q.tries, tryState{a.Server, r.now, true}), q.inFlight+1
	sendUntil := r.now + timeout
	if a.Until > 0 {
		sendUntil = min(sendUntil, a.Until)
	}
	r.emit(Try{Key: Key{a.ID, n}, Group: q.group, Server: a.Server, Wait: timeout, Ends: r.now + timeout, Until: sendUntil, Origin: q.origin})
	r.emit(SetTimer{r.now + timeout, Timer{tryTimer, Key{a.ID, n}}})
}

// markDone marks the final answer; nil if it was given before: a second one must never leave.
func (r *Reducer) markDone(id uint64) *requestContext {
	q := r.requests[id]
	if q == nil || q.done {
		return nil
	}
	q.done = true
	r.release(id, q)
	return q
}

// release forgets a request context that is over and has no try out.
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
		Closed: done, Load: e.Load})
}

// handleClientGone ends the tries, too: nobody waits for what they would bring.
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
