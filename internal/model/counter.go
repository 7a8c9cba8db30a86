package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramblefall/logic"
)

// counter is a quota counter. Each of its shards serves calls one after the other at a fixed rate and rejects calls when
// its queue is full. A call that is served after its caller's timeout still adds its amount.
type counter struct {
	w           *World
	number      int
	rng         *rand.Rand
	shards      []shard
	replicas    [2]map[uint64]counterEntry // the second is used only while partitioned
	slowdown    float64                    // factor on the time that a call takes
	silent      bool
	unreachable bool // its hall is lost: calls get no answer
	crashed     bool // its process has ended: calls fail to connect
	partitioned bool
	Calls       int
	served      int // calls served before the end of the scenario
}

type shard struct {
	freeAt  time.Duration // when its queue will be empty
	waiting int
}

type counterEntry struct {
	total     float64
	expiresAt time.Duration
}

func newCounter(w *World, number int) *counter {
	return &counter{w: w, number: number, rng: newRand(w.seed, "counter", number), shards: make([]shard, w.s.Counter.Shards),
		replicas: [2]map[uint64]counterEntry{{}, {}}, slowdown: 1}
}

// call makes a call for a limiter. It calls answer at most once.
func (c *counter) call(limiter int, name uint64, amount float64, ttl time.Duration, answer func(logic.Status, float64)) {
	c.Calls++
	hall, counterHall := limiter%c.w.s.Halls, 0
	if c.w.regionsCut {
		counterHall = hall // the region's own replica
	}
	oneWay := c.w.delay(hall, counterHall)
	c.w.sim.After(oneWay, func() {
		if c.unreachable {
			return // cut off: there is no answer
		}
		if c.crashed {
			c.w.sim.After(c.w.delay(counterHall, hall), func() { answer(logic.ConnectFailed, 0) })
			return
		}
		p := &c.shards[name%uint64(len(c.shards))]
		unlimited := c.w.s.Counter.Unlimited
		if !unlimited && p.waiting >= c.w.s.Counter.MaxPending {
			c.w.sim.After(c.w.delay(counterHall, hall), func() { answer(logic.Full, 0) })
			return
		}
		p.waiting++
		serviceTime := max(seconds(1/c.w.s.Counter.CallsPerSecond), 0)
		servedAt := max(p.freeAt, c.w.sim.now) + seconds(serviceTime.Seconds()*c.slowdown)
		if unlimited {
			servedAt = c.w.sim.now
		}
		p.freeAt = servedAt
		extraLatency := milliseconds(c.w.s.Counter.LatencyMS.draw(c.rng) * c.slowdown)
		c.w.sim.At(servedAt+extraLatency, func() {
			p.waiting--
			if c.crashed {
				c.w.sim.After(c.w.delay(counterHall, hall), func() { answer(logic.Reset, 0) })
				return
			}
			if c.w.sim.now < epoch+seconds(c.w.s.Seconds) {
				c.served++
			}
			total := c.add(limiter, name, amount, ttl)
			if !c.silent && !c.unreachable {
				c.w.sim.After(c.w.delay(counterHall, hall), func() { answer(logic.OK, total) })
			}
		})
	})
}

// add adds an amount to a name in the replica that a limiter reaches, and returns the total.
func (c *counter) add(limiter int, name uint64, amount float64, ttl time.Duration) float64 {
	entries := c.replicas[0]
	if c.partitioned && (c.w.regionsCut && limiter%c.w.s.Halls%2 == 1 || !c.w.regionsCut && limiter%2 == 1) {
		entries = c.replicas[1]
	}
	entry := entries[name]
	if c.w.sim.now >= entry.expiresAt {
		entry = counterEntry{expiresAt: c.w.sim.now + min(max(ttl, time.Millisecond), time.Minute)}
	}
	entry.total += amount
	entries[name] = entry
	if len(entries) > 1<<16 && c.Calls%(1<<16) == 0 { // expired entries would otherwise use memory without limit
		for k, v := range entries {
			if c.w.sim.now >= v.expiresAt {
				delete(entries, k)
			}
		}
	}
	return roundToSevenDigits(entry.total)
}

// roundToSevenDigits rounds to seven digits, to which the counter's totals are exact.
func roundToSevenDigits(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, 6-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// flush forgets a part of the names. They are chosen by a hash of the name, so that the result does not depend on the
// iteration order of a map.
func (c *counter) flush(share float64, salt uint64) {
	for _, entries := range c.replicas {
		for k := range entries {
			if float64(mixBits(k^salt)>>11)/(1<<53) < share {
				delete(entries, k)
			}
		}
	}
}

// mixBits hashes a number. It is the finalizer of SplitMix64.
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// loseProcess ends the counter's process. It restarts without any names.
func (c *counter) loseProcess() {
	c.crashed = true
	clear(c.replicas[0])
	clear(c.replicas[1])
}

// allCounterAddresses returns the addresses of n counters. In a simulation an address is the counter's index.
func allCounterAddresses(n int) (all []string) {
	for k := range n {
		all = append(all, fmt.Sprintf("%04d", k)) // padded, so that the alphabetical order by which deciders number counters is this one
	}
	return all
}

// partition splits the counter into two replicas that diverge.
func (c *counter) partition() {
	c.partitioned = true
	c.replicas[1] = make(map[uint64]counterEntry, len(c.replicas[0]))
	for k, v := range c.replicas[0] {
		c.replicas[1][k] = v
	}
}

// heal makes the first replica the only one again. What the second one counted meanwhile is lost.
func (c *counter) heal() {
	c.partitioned = false
	c.replicas[1] = map[uint64]counterEntry{}
}
