package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramblefall/logic"
)

// counter is the quota counter: parts that each take calls in turn, so many a second, and turn calls away when the line
// is long. What it is told late it still adds.
type counter struct {
	w           *World
	number      int
	rng         *rand.Rand
	shards      []shard
	replicas    [2]map[uint64]counterEntry // the second only while it is split
	slowdown    float64                    // times as long
	silent      bool
	unreachable bool // lost with its hall
	crashed     bool // its process is gone: calls meet nobody
	partitioned bool
	Calls       int
	answered    int // answered
}

type shard struct {
	freeAt  time.Duration // when its line is empty
	waiting int
}

type counterEntry struct {
	total     float64
	expiresAt time.Duration
}

func newCounter(w *World, number int) *counter {
	return &counter{w: w, number: number, rng: newRand(w.seed, "counter", number), shards: make([]shard, w.s.Counter.Parts),
		replicas: [2]map[uint64]counterEntry{{}, {}}, slowdown: 1}
}

// call makes a call for a limiter; answer is told at most once.
func (c *counter) call(limiter int, name uint64, amount float64, ttl time.Duration, answer func(logic.Status, float64)) {
	c.Calls++
	hall, counterHall := limiter%c.w.s.Halls, 0
	if c.w.regionsCut {
		counterHall = hall // the region's own copy
	}
	oneWay := c.w.delay(hall, counterHall)
	c.w.sim.After(oneWay, func() {
		if c.unreachable {
			return // cut off: nothing is said
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
		serviceTime := max(seconds(1/c.w.s.Counter.PerSecond), 0)
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
				c.answered++
			}
			total := c.add(limiter, name, amount, ttl)
			if !c.silent && !c.unreachable {
				c.w.sim.After(c.w.delay(counterHall, hall), func() { answer(logic.OK, total) })
			}
		})
	})
}

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
	if len(entries) > 1<<16 && c.Calls%(1<<16) == 0 { // what is forgotten must not stay in the memory
		for k, v := range entries {
			if c.w.sim.now >= v.expiresAt {
				delete(entries, k)
			}
		}
	}
	return roundToSevenDigits(entry.total)
}

// seven rounds to the seven digits that a total is exact to.
func roundToSevenDigits(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, 6-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// flush forgets a part of the names, chosen by the name, so that it does not hang on the order of a map.
func (c *counter) flush(share float64, salt uint64) {
	for _, entries := range c.replicas {
		for k := range entries {
			if float64(mixBits(k^salt)>>11)/(1<<53) < share {
				delete(entries, k)
			}
		}
	}
}

func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// dies ends its process; what comes back has no names.
func (c *counter) loseProcess() {
	c.crashed = true
	clear(c.replicas[0])
	clear(c.replicas[1])
}

// addresses is the list of so many counters.
func allCounterAddresses(n int) (all []string) {
	for k := range n {
		all = append(all, fmt.Sprintf("%04d", k)) // in this order they are numbered, too
	}
	return all
}

// cut splits it into two copies that go on apart; heal makes the first the only one again.
func (c *counter) partition() {
	c.partitioned = true
	c.replicas[1] = make(map[uint64]counterEntry, len(c.replicas[0]))
	for k, v := range c.replicas[0] {
		c.replicas[1][k] = v
	}
}

func (c *counter) heal() {
	c.partitioned = false
	c.replicas[1] = map[uint64]counterEntry{}
}
