package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The records of the quota counters, where there may be several. When they are called, and what their answers mean, is mostly
// decided in logic.go; the list of counters tells which of them holds a name (CounterMap).

// counter is what is known of one quota counter.
type counter struct {
	number              int
	callsLeft           float64       // calls that may be made at once: requests earn them, calls use them up
	callShare           float64       // share of the wanted calls that is made
	failures            int           // failed calls since the last OK; Reset is not counted
	shareBeforeFailures float64       // callShare before the first of them
	unreachable         bool          // the last of them, the failuresBeforeBackoff-th or later, could not connect
	noCallsUntil        time.Duration // no calls before
	backoff             time.Duration // mean length of the next pause in calls
}

// SetCounterMap sets where names are spread over several counters; nil: there is one. It is called before the first event.
func (g *Gateway) SetCounterMap(c CounterMap) { g.counterMap = c }

// newCounter is the record of a counter that has not been called.
func (g *Gateway) newCounter(number int) *counter {
	k := &counter{number: number, callsLeft: counterCallBurst, callShare: 1 / (1 + 2*g.unseenShare), backoff: 500 * ms}
	if g.unseenShare > 0 {
		k.callsLeft = manyGatewaysCallBurst / 2
	}
	return k
}

// counterNumbered finds a counter's record, or makes one.
func (g *Gateway) counterNumbered(number int) *counter {
	at, found := slices.BinarySearchFunc(g.counters, number, func(k *counter, n int) int { return cmp.Compare(k.number, n) })
	if !found {
		g.counters = slices.Insert(g.counters, at, g.newCounter(number))
	}
	return g.counters[at]
}

// countRef names one of a customer's counts.
type countRef struct {
	name     uint64
	kind     int64
	interval int64
	since    time.Duration // no gateway added to it before; 0: not known
}

// countOf is the count of a kind for an interval.
func (c *customer) countOf(kind, interval int64) countRef {
	count := countRef{name: c.countNameAt(kind, interval), kind: kind, interval: interval, since: c.intervalStart(interval)}
	switch kind {
	case bucketDraws:
		count.since = c.filledAt - c.totalAge(c.filledAt)
	case quotaUse: // a deficit is added to it in the interval before (see carryDeficit)
		count.since -= c.interval
	}
	return count
}

// currentCount is the count of a kind for the current interval.
func (c *customer) currentCount(kind int64) countRef { return c.countOf(kind, c.intervalNumber) }

// intervalStart is when an interval begins, at all gateways.
func (c *customer) intervalStart(interval int64) time.Duration {
	return time.Duration(interval)*c.interval - c.phase
}

// observeCounters learns from what each counter of a call said, and returns the lowest share of calls that is made to one of
// them.
func (g *Gateway) observeCounters(e CountResult) float64 {
	if e.Parts == nil {
		g.counter.observe(g, e.Status, e.Latency)
		return g.callShare
	}
	least := math.Inf(1)
	for _, p := range e.Parts {
		k := g.counterNumbered(p.Counter)
		k.observe(g, p.Status, p.Latency)
		least = min(least, k.callShare)
	}
	return min(least, 1)
}

// onCountersChanged takes a changed list of counters: what is known of those that are no longer on it is forgotten.
func (g *Gateway) onCountersChanged(e CountersChanged) {
	g.counters = slices.DeleteFunc(g.counters, func(k *counter) bool { return !slices.Contains(e.Numbers, k.number) })
	g.counterCount = max(e.SpreadOver, 1)
}
