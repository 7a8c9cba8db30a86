package core

import (
	"maps"
	"slices"
	"time"

	"bramblefall/internal/sharding"
	"bramblefall/logic"
)

// CounterList sets the counters over which names are sharded from now on (event).
type CounterList struct {
	Previous  string // address of the single counter, number 0, that was in use if this is the first list
	Addresses []string
}

// SetCounters sets which counters may be called (effect).
type SetCounters struct {
	Counters    map[int]string // addresses by number, including those of former lists
	ListedCount int            // on the newest list
	Fingerprint string         // of the newest list
}

// call adds to a name. It has one Count effect for each counter that holds the name, and a single result.
type call struct {
	name                uint64
	amount              float64
	ttl                 time.Duration
	startedAt, deadline time.Duration
	forReservation      bool   // made for the reservation manager, not for the module
	reservationToken    uint64 // identifies the call to the reservation manager
	targets             sharding.Targets
	parts               []logic.CountPart
	answers             []sharding.Answer
	inFlight            int // number of parts without a result
	done                bool
	singleCounter       bool // there was no list of counters when the call was made
	result              logic.CountResult
}

// part is one Count effect of a call.
type part struct {
	call  *call
	index int // into the call's parts
}

// ShardCounters shards names over several counters from the start. It must be called before Start. If settled is set, the list
// is taken to have been in force for a long time, and all names are counted. Otherwise names that began before
// now + sharding.MaxListSkew are not counted, since other limiters may add to them under another list. A process that starts
// while others may be running passes false, since it cannot know whether the list has just changed.
func (r *Reducer) ShardCounters(now time.Duration, addresses []string, settled bool) {
	if r.ring = sharding.NewUnsynced(now, addresses); settled {
		r.ring = sharding.New(addresses)
	}
	r.gateway.SetCounterMap(r.ring)
}

// handleCounters takes a new list of counters into use.
func (r *Reducer) handleCounters(e CounterList) {
	if r.ring == nil {
		r.ring = sharding.New([]string{e.Previous})
		r.gateway.SetCounterMap(r.ring)
	}
	if r.ring.Set(r.now, e.Addresses) {
		r.announceCounters()
	}
}

// announceCounters reports the list of counters to the loop and to the module, and sets the timer for former lists.
func (r *Reducer) announceCounters() {
	all := r.ring.Addresses()
	r.emit(SetCounters{all, r.ring.Len(), r.ring.Fingerprint()})
	r.notify(logic.CountersChanged{Numbers: slices.Sorted(maps.Keys(all)), SpreadOver: r.ring.Len()})
	if at, due := r.ring.Next(); due && (r.formerListTimerAt == 0 || at < r.formerListTimerAt) {
		r.formerListTimerAt = at
		r.emit(SetTimer{at, Timer{kind: formerListTimer}})
	}
}

// dropFormerLists forgets the former lists that have expired.
func (r *Reducer) dropFormerLists() {
	if r.ring.Advance(r.now) {
		r.announceCounters()
	} else if at, due := r.ring.Next(); due {
		r.formerListTimerAt = at
		r.emit(SetTimer{at, Timer{kind: formerListTimer}})
	}
}

func (r *Reducer) startCount(a logic.Count) {
	r.startCall(&call{name: a.Name, amount: a.Amount, ttl: a.TTL, startedAt: r.now, deadline: r.now + max(r.settings.CounterLimit, a.Wait)},
		a.Since, a.SkippedMask)
}

// startCall calls the counters of the name, which are those that limiters may have added to since began. It leaves out the
// k-th of them, counted from 0, if bit k of skippedMask is set.
func (r *Reducer) startCall(c *call, began time.Duration, skippedMask uint8) {
	if c.targets = (sharding.Targets{Counters: []int{0}}); r.ring != nil {
		c.targets = r.ring.Targets(r.now, c.name, began)
	} else {
		c.singleCounter = true
	}
	if !c.forReservation {
		r.unreported[c.name] = append(r.unreported[c.name], c)
	}
	for k, counter := range c.targets.Counters {
		if skippedMask&(1<<k) != 0 {
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

// handleCountResult records the result of one part of a call. Only the first result counts: an answer that arrives after
// the timeout is ignored.
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

// finishCall computes the result of a call and reports it. The module receives results in the order of the calls for a
// name, which is how it tells them apart. After a counter has moved, the answer on the new connection may arrive before
// an earlier one that is still due on the old connection; it is held back until that one has ended.
func (r *Reducer) finishCall(c *call) {
	c.done = true
	c.result = logic.CountResult{Name: c.name, Status: c.combinedStatus(), Latency: r.now - c.startedAt}
	switch {
	case c.singleCounter:
		c.result.Total = c.answers[0].Total
	case len(c.targets.Counters) > 0:
		c.result.Parts = c.parts
		total, known := r.ring.Merge(r.now, c.name, c.amount, c.targets, c.answers)
		if c.result.Total = total; known {
			c.result.Status = logic.OK
		} else if c.result.Status == logic.OK {
			c.result.Status = logic.Timeout
		}
	default:
		c.result.Parts = []logic.CountPart{} // not nil: no counter was called, so none is at fault
	}
	if c.forReservation {
		r.reservations.HandleResult(r.now, c.reservationToken, c.result.Status, c.result.Total)
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

// combinedStatus returns the status of a call whose total is not known. It says that nothing was added only if that holds
// on every counter that was called.
func (c *call) combinedStatus() logic.Status {
	notAdded := logic.ConnectFailed
	for _, p := range c.parts {
		switch p.Status {
		case logic.Full:
			notAdded = logic.Full
		case logic.ConnectFailed:
		default:
			if len(c.parts) == 1 && len(c.targets.Counters) == 1 {
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
