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
	w      *World
	number int
	rng    *rand.Rand
	parts  []part
	copies [2]map[uint64]count // the second only while it is split
	slow   float64             // times as long
	silent bool
	down   bool // lost with its hall
	dead   bool // its process is gone: calls meet nobody
	split  bool
	Calls  int
	borne  int // answered
}

type part struct {
	free    time.Duration // when its line is empty
	waiting int
}

type count struct {
	total float64
	until time.Duration
}

func newCounter(w *World, number int) *counter {
	return &counter{w: w, number: number, rng: source(w.seed, "counter", number), parts: make([]part, w.s.Counter.Parts),
		copies: [2]map[uint64]count{{}, {}}, slow: 1}
}

// call makes a call for a limiter; answer is told at most once.
func (c *counter) call(limiter int, name uint64, amount float64, lives time.Duration, answer func(logic.Status, float64)) {
	c.Calls++
	hall, at := limiter%c.w.s.Halls, 0
	if c.w.apart {
		at = hall // the region's own copy
	}
	there := c.w.delay(hall, at)
	c.w.sim.After(there, func() {
		if c.down {
			return // cut off: nothing is said
		}
		if c.dead {
			c.w.sim.After(c.w.delay(at, hall), func() { answer(logic.ConnectFailed, 0) })
			return
		}
		p := &c.parts[name%uint64(len(c.parts))]
		free := c.w.s.Counter.Unlimited
		if !free && p.waiting >= c.w.s.Counter.Waiting {
			c.w.sim.After(c.w.delay(at, hall), func() { answer(logic.Full, 0) })
			return
		}
		p.waiting++
		took := max(seconds(1/c.w.s.Counter.PerSecond), 0)
		turn := max(p.free, c.w.sim.now) + seconds(took.Seconds()*c.slow)
		if free {
			turn = c.w.sim.now
		}
		p.free = turn
		own := milliseconds(c.w.s.Counter.MS.draw(c.rng) * c.slow)
		c.w.sim.At(turn+own, func() {
			p.waiting--
			if c.dead {
				c.w.sim.After(c.w.delay(at, hall), func() { answer(logic.Reset, 0) })
				return
			}
			if c.w.sim.now < begin+seconds(c.w.s.Seconds) {
				c.borne++
			}
			total := c.add(limiter, name, amount, lives)
			if !c.silent && !c.down {
				c.w.sim.After(c.w.delay(at, hall), func() { answer(logic.OK, total) })
			}
		})
	})
}

func (c *counter) add(limiter int, name uint64, amount float64, lives time.Duration) float64 {
	names := c.copies[0]
	if c.split && (c.w.apart && limiter%c.w.s.Halls%2 == 1 || !c.w.apart && limiter%2 == 1) {
		names = c.copies[1]
	}
	n := names[name]
	if c.w.sim.now >= n.until {
		n = count{until: c.w.sim.now + min(max(lives, time.Millisecond), time.Minute)}
	}
	n.total += amount
	names[name] = n
	if len(names) > 1<<16 && c.Calls%(1<<16) == 0 { // what is forgotten must not stay in the memory
		for k, v := range names {
			if c.w.sim.now >= v.until {
				delete(names, k)
			}
		}
	}
	return seven(n.total)
}

// seven rounds to the seven digits that a total is exact to.
func seven(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, 6-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// flush forgets a part of the names, chosen by the name, so that it does not hang on the order of a map.
func (c *counter) flush(share float64, salt uint64) {
	for _, names := range c.copies {
		for k := range names {
			if float64(mix(k^salt)>>11)/(1<<53) < share {
				delete(names, k)
			}
		}
	}
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// dies ends its process; what comes back has no names.
func (c *counter) dies() {
	c.dead = true
	clear(c.copies[0])
	clear(c.copies[1])
}

// addresses is the list of so many counters.
func addresses(n int) (all []string) {
	for k := range n {
		all = append(all, fmt.Sprintf("%04d", k)) // in this order they are numbered, too
	}
	return all
}

// cut splits it into two copies that go on apart; heal makes the first the only one again.
func (c *counter) cut() {
	c.split = true
	c.copies[1] = make(map[uint64]count, len(c.copies[0]))
	for k, v := range c.copies[0] {
		c.copies[1][k] = v
	}
}

func (c *counter) heal() {
	c.split = false
	c.copies[1] = map[uint64]count{}
}
