package core

import (
	"maps"
	"slices"
	"time"

	"bramblefall/internal/sharding"
	"bramblefall/logic"
)

// Counters says which counters names are dealt out to from now on (event).
type Counters struct {
	Before    string // the one, number 0, that there has been if no list was taken until now
	Addresses []string
}

// Reach tells which counters may be called (effect): addresses by number, those of former lists among them.
type Reach struct {
	Counters map[int]string
	Listed   int    // on the newest list
	List     string // its fingerprint
}

// call is a call for a name: one effect for each counter that it goes to, and one answer.
type call struct {
	name                uint64
	amount              float64
	ttl                 time.Duration
	startedAt, deadline time.Duration
	forReservation      bool   // of the reserves
	reservationToken    uint64 // theirs
	targets             sharding.Targets
	parts               []logic.CountPart
	answers             []sharding.Answer
	inFlight            int // parts without an answer
	done                bool
	singleCounter       bool // there is one counter
	result              logic.CountResult
}

// part is one effect of a call.
type part struct {
	call  *call
	index int
}

// Spread has names dealt out to several counters from the start on. It is called before Begin. A process that starts in service
// cannot know whether the list has just changed.
func (r *Reducer) Spread(now time.Duration, addresses []string, settled bool) {
	if r.ring = sharding.Start(now, addresses); settled {
		r.ring = sharding.New(addresses)
	}
	r.gateway.Spread(r.ring)
}

// handleCounters takes a list of counters.
func (r *Reducer) handleCounters(e Counters) {
	if r.ring == nil {
		r.ring = sharding.New([]string{e.Before})
		r.gateway.Spread(r.ring)
	}
	if r.ring.Set(r.now, e.Addresses) {
		r.announceCounters()
	}
}

// announceCounters tells everybody of the list.
func (r *Reducer) announceCounters() {
	all := r.ring.Addresses()
	r.emit(Reach{all, r.ring.Len(), r.ring.Fingerprint()})
	r.notify(logic.CountersChanged{Listed: slices.Sorted(maps.Keys(all)), Among: r.ring.Len()})
	if at, due := r.ring.Next(); due && (r.formerListTimerAt == 0 || at < r.formerListTimerAt) {
		r.formerListTimerAt = at
		r.emit(SetTimer{at, Timer{kind: formerListTimer}})
	}
}

// dropFormerLists forgets former lists that are over.
func (r *Reducer) dropFormerLists() {
	if r.ring.Advance(r.now) {
		r.announceCounters()
	} else if at, due := r.ring.Next(); due {
		r.formerListTimerAt = at
		r.emit(SetTimer{at, Timer{kind: formerListTimer}})
	}
}

func (r *Reducer) startCount(a logic.Count) {
	r.startCall(&call{name: a.Name, amount: a.Amount, ttl: a.Lives, startedAt: r.now, deadline: r.now + max(r.settings.CounterLimit, a.Wait)},
		a.Began, a.Spared)
}

// startCall makes a startCall at the counters of its name, but for those that are spared.
func (r *Reducer) startCall(c *call, began time.Duration, spared uint8) {
	if c.targets = (sharding.Targets{To: []int{0}}); r.ring != nil {
		c.targets = r.ring.Of(r.now, c.name, began)
	} else {
		c.singleCounter = true
	}
	if !c.forReservation {
		r.unreported[c.name] = append(r.unreported[c.name], c)
	}
	for k, counter := range c.targets.To {
		if spared&(1<<k) != 0 {
			continue
		}
		r.lastPartID++
		r.partsInFlight[r.lastPartID] = part{c, len(c.parts)}
		c.parts, c.inFlight = append(c.parts, logic.CountPart{Counter: counter}), c.inFlight+1
		r.emit(Count{r.lastPartID, counter, c.name, c.amount, c.ttl, c.deadline})
		r.emit(SetTimer{c.deadline, Timer{countTimer, Key{ID: r.lastPartID}}})
	}
	if c.inFlight == 0 {
		r.withoutCounter = append(r.withoutCounter, c)
	}
}

// handleCountResult takes the first word on a part of a call: an answer that comes after its time-out changes nothing.
func (r *Reducer) handleCountResult(e CountResult) {
	p, ok := r.partsInFlight[e.Call]
	if !ok {
		return
	}
	delete(r.partsInFlight, e.Call)
	c := p.call
	c.parts[p.index].Status, c.parts[p.index].Latency = e.Status, r.now-c.startedAt
	c.answers = append(c.answers, sharding.Answer{Counter: c.parts[p.index].Counter, OK: e.Status == logic.OK, Total: e.Total})
	if c.inFlight--; c.inFlight == 0 {
		r.finishCall(c)
	}
}

// finishCall tells the one answer to a call. The module is told in the order of the calls for a name, which is how it knows them
// apart: after a move, the answer on the new connection may come before one that is due on the old.
func (r *Reducer) finishCall(c *call) {
	c.done = true
	c.result = logic.CountResult{Name: c.name, Status: c.combinedStatus(), Latency: r.now - c.startedAt}
	switch {
	case c.singleCounter:
		c.result.Total = c.answers[0].Total
	case len(c.targets.To) > 0:
		c.result.Parts = c.parts
		total, known := r.ring.Join(r.now, c.name, c.amount, c.targets, c.answers)
		if c.result.Total = total; known {
			c.result.Status = logic.OK
		} else if c.result.Status == logic.OK {
			c.result.Status = logic.Timeout
		}
	default:
		c.result.Parts = []logic.CountPart{} // nobody is to blame
	}
	if c.forReservation {
		r.reservations.Counted(r.now, c.reservationToken, c.result.Status, c.result.Total)
		return
	}
	for unreported := r.unreported[c.name]; len(unreported) > 0 && unreported[0].done; unreported = r.unreported[c.name] {
		answer := unreported[0].result
		if r.unreported[c.name] = unreported[1:]; len(unreported) == 1 {
			delete(r.unreported, c.name)
		}
		r.notify(answer)
	}
}

// combinedStatus is the word on a call as a whole where its total is not known: that nothing was added only if that holds everywhere.
func (c *call) combinedStatus() logic.Status {
	notAdded := logic.ConnectFailed
	for _, p := range c.parts {
		switch p.Status {
		case logic.Full:
			notAdded = logic.Full
		case logic.ConnectFailed:
		default:
			if len(c.parts) == 1 && len(c.targets.To) == 1 {
				return p.Status
			}
			return logic.Timeout
		}
	}
	if len(c.parts) == 0 {
		return logic.Timeout
	}
	return notAdded
}
