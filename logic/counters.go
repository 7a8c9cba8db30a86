package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Several counters: what is known of each. What that means for calls is decided in logic.go, and which holds a name by the list
// (Counters).

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

// recounted takes a changed list: what is known of counters that are not on it any more is forgotten.
func (g *Gateway) recounted(e CountersChanged) {
	g.counters = slices.DeleteFunc(g.counters, func(k *counter) bool { return !slices.Contains(e.Listed, k.number) })
	g.among = max(e.Among, 1)
}
