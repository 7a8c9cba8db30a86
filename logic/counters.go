package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Several counters: what is known of each, and which of them a call goes to. Which holds a name is the list's choice (Counters).

// counter is what is known of one quota counter.
type counter struct {
	number             int
	callsLeft, calling float64       // calling: share of the calls that are made
	failed             int           // calls in a row
	borne              float64       // calling, before these
	away               bool          // the last of them met nobody
	counterUp, backoff time.Duration // no calls before
}

// Spread sets where names are dealt out to several counters; nil: there is one. It is called before the first event.
func (g *Gateway) Spread(c Counters) { g.spread = c }

// untold is a counter that has not been called.
func (g *Gateway) untold(number int) *counter {
	k := &counter{number: number, callsLeft: callsSaved, calling: 1 / (1 + 2*g.blind), backoff: 500 * ms}
	if g.blind > 0 {
		k.callsLeft = callsStored / 2
	}
	return k
}

// at finds a counter.
func (g *Gateway) at(number int) *counter {
	at, found := slices.BinarySearchFunc(g.counters, number, func(k *counter, n int) int { return cmp.Compare(k.number, n) })
	if !found {
		g.counters = slices.Insert(g.counters, at, g.untold(number))
	}
	return g.counters[at]
}

// bearing finds the counters of a customer's count that are called now, if so many calls are left for them, and the bits of
// those that are not.
func (g *Gateway) bearing(c *customer, what int64, spare float64) (to []*counter, spared uint8) {
	bears := func(k *counter) bool { return g.now >= k.counterUp && k.callsLeft >= spare }
	switch {
	case !g.set.HasCounter || g.spread == nil && !bears(g.counter):
		return nil, 0
	case g.spread == nil:
		return g.counters, 0
	}
	for n, number := range g.spread.Counters(g.now, c.name(what), c.started(what)) {
		if k := g.at(number); bears(k) {
			to = append(to, k)
		} else {
			spared |= 1 << n
		}
	}
	return to, spared
}

// started is when the interval of a count began, at all gateways.
func (c *customer) started(what int64) time.Duration {
	if what == tickets {
		return c.filled - c.begun(c.filled)
	}
	return time.Duration(c.number)*c.span - c.phase
}

// heard learns from what the counters of a call said, each by itself. It tells the least share of calls that is made to them.
func (g *Gateway) heard(e CountResult) float64 {
	if e.Parts == nil {
		g.counter.judge(g, e.Status, e.Latency)
		return g.calling
	}
	least := math.Inf(1)
	for _, p := range e.Parts {
		k := g.at(p.Counter)
		k.judge(g, p.Status, p.Latency)
		least = min(least, k.calling)
	}
	return min(least, 1)
}

// judge learns from a counter's answer how many calls it bears.
func (k *counter) judge(g *Gateway, st Status, latency time.Duration) {
	if st != OK {
		// Fewer calls to a counter in trouble, none for a while to a silent or full one; no crowd afterwards. A
		// connection that broke or brought noise says nothing of the counter.
		if st == Reset {
			return
		}
		if k.failed++; k.failed == 1 {
			k.borne = k.calling
		}
		k.calling, k.away = max(0.8*k.calling, leastCalling), k.failed >= silence && st == ConnectFailed
		if k.failed >= silence {
			k.counterUp = g.now + time.Duration((0.5+g.random())*float64(k.backoff))
			k.backoff = min(2*k.backoff, lastCall)
			if st == Full {
				k.backoff = min(2*k.backoff, lastFull)
			}
		}
		return
	}
	if k.away { // nobody was there: that tells nothing of how many calls it bears
		k.calling, k.away = k.borne, false
	}
	if g.blind > 0 && latency > g.set.CounterLimit { // a crowd: a good answer, but too many calls
		k.calling = max(0.95*k.calling, leastCalling)
	}
	k.backoff, k.failed, k.calling = 500*ms, 0, min(callsGrow*k.calling, 1)
}

// recounted takes a changed list: what is known of counters that are not on it any more is forgotten.
func (g *Gateway) recounted(e CountersChanged) {
	g.counters = slices.DeleteFunc(g.counters, func(k *counter) bool { return !slices.Contains(e.Listed, k.number) })
	g.among = max(e.Among, 1)
}
