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
	name      uint64
	amount    float64
	lives     time.Duration
	at, until time.Duration
	lease     bool   // of the reserves
	token     uint64 // theirs
	targets   sharding.Targets
	parts     []logic.CountPart
	answers   []sharding.Answer
	out       int // parts without an answer
	over      bool
	single    bool // there is one counter
	result    logic.CountResult
}

// part is one effect of a call.
type part struct {
	call *call
	n    int
}

// Spread has names dealt out to several counters from the start on. It is called before Begin. A process that starts in service
// cannot know whether the list has just changed.
func (r *Reducer) Spread(now time.Duration, addresses []string, settled bool) {
	if r.ring = sharding.Start(now, addresses); settled {
		r.ring = sharding.New(addresses)
	}
	r.gateway.Spread(r.ring)
}

// relist takes a list of counters.
func (r *Reducer) relist(e Counters) {
	if r.ring == nil {
		r.ring = sharding.New([]string{e.Before})
		r.gateway.Spread(r.ring)
	}
	if r.ring.Set(r.now, e.Addresses) {
		r.counters()
	}
}

// counters tells everybody of the list.
func (r *Reducer) counters() {
	all := r.ring.Addresses()
	r.do(Reach{all, r.ring.Len(), r.ring.Fingerprint()})
	r.tell(logic.CountersChanged{Listed: slices.Sorted(maps.Keys(all)), Among: r.ring.Len()})
	if at, due := r.ring.Next(); due && (r.relistAt == 0 || at < r.relistAt) {
		r.relistAt = at
		r.do(SetTimer{at, Timer{kind: listTimer}})
	}
}

// advance forgets former lists that are over.
func (r *Reducer) advance() {
	if r.ring.Advance(r.now) {
		r.counters()
	} else if at, due := r.ring.Next(); due {
		r.relistAt = at
		r.do(SetTimer{at, Timer{kind: listTimer}})
	}
}

func (r *Reducer) count(a logic.Count) {
	r.call(&call{name: a.Name, amount: a.Amount, lives: a.Lives, at: r.now, until: r.now + max(r.set.CounterLimit, a.Wait)},
		a.Began, a.Spared)
}

// call makes a call at the counters of its name, but for those that are spared.
func (r *Reducer) call(c *call, began time.Duration, spared uint8) {
	if c.targets = (sharding.Targets{To: []int{0}}); r.ring != nil {
		c.targets = r.ring.Of(r.now, c.name, began)
	} else {
		c.single = true
	}
	if !c.lease {
		r.due[c.name] = append(r.due[c.name], c)
	}
	for k, counter := range c.targets.To {
		if spared&(1<<k) != 0 {
			continue
		}
		r.next++
		r.calls[r.next] = part{c, len(c.parts)}
		c.parts, c.out = append(c.parts, logic.CountPart{Counter: counter}), c.out+1
		r.do(Count{r.next, counter, c.name, c.amount, c.lives, c.until})
		r.do(SetTimer{c.until, Timer{countTimer, Key{ID: r.next}}})
	}
	if c.out == 0 {
		r.unmade = append(r.unmade, c)
	}
}

// counted takes the first word on a part of a call: an answer that comes after its time-out changes nothing.
func (r *Reducer) counted(e CountResult) {
	p, ok := r.calls[e.Call]
	if !ok {
		return
	}
	delete(r.calls, e.Call)
	c := p.call
	c.parts[p.n].Status, c.parts[p.n].Latency = e.Status, r.now-c.at
	c.answers = append(c.answers, sharding.Answer{Counter: c.parts[p.n].Counter, OK: e.Status == logic.OK, Total: e.Total})
	if c.out--; c.out == 0 {
		r.joined(c)
	}
}

// joined tells the one answer to a call. The module is told in the order of the calls for a name, which is how it knows them
// apart: after a move, the answer on the new connection may come before one that is due on the old.
func (r *Reducer) joined(c *call) {
	c.over = true
	c.result = logic.CountResult{Name: c.name, Status: c.status(), Latency: r.now - c.at}
	switch {
	case c.single:
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
	if c.lease {
		r.reserves.Counted(r.now, c.token, c.result.Status, c.result.Total)
		return
	}
	for due := r.due[c.name]; len(due) > 0 && due[0].over; due = r.due[c.name] {
		answer := due[0].result
		if r.due[c.name] = due[1:]; len(due) == 1 {
			delete(r.due, c.name)
		}
		r.tell(answer)
	}
}

// status is the word on a call as a whole where its total is not known: that nothing was added only if that holds everywhere.
func (c *call) status() logic.Status {
	never := logic.ConnectFailed
	for _, p := range c.parts {
		switch p.Status {
		case logic.Full:
			never = logic.Full
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
	return never
}
