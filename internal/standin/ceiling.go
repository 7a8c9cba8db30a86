package standin

import (
	"sync"
	"time"
)

// Ceiling audits what all limiters together send on for one firm: a store that fills at the rate up to the burst, and that no
// send may take below minus the slack.
type Ceiling struct {
	Rate, Burst float64

	mu    sync.Mutex
	level float64
	at    time.Time
	low   float64
	sends int
}

// Sent takes a send of so many units, when it reaches a node.
func (c *Ceiling) Sent(units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.at.IsZero() {
		c.level = c.Burst
	} else {
		c.level = min(c.level+c.Rate*now.Sub(c.at).Seconds(), c.Burst)
	}
	c.at, c.level, c.sends = now, c.level-units, c.sends+1
	c.low = min(c.low, c.level)
}

// Lowest is how far below empty the store has been, as a number of 0 or less, and how many sends there were.
func (c *Ceiling) Lowest() (float64, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.low, c.sends
}
