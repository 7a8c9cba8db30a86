package standin

import (
	"sync"
	"time"
)

// Ceiling audits the units that all limiters together forward for one firm. It is a token bucket that fills at Rate units a
// second up to Burst; the level may never fall below minus the ceiling's slack, which the caller compares with LowestLevel.
type Ceiling struct {
	Rate, Burst float64

	mu      sync.Mutex
	level   float64
	updated time.Time
	lowest  float64
	sends   int
}

// Take takes the units of a request from the bucket when the request reaches a node.
func (c *Ceiling) Take(units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.updated.IsZero() {
		c.level = c.Burst
	} else {
		c.level = min(c.level+c.Rate*now.Sub(c.updated).Seconds(), c.Burst)
	}
	c.updated, c.level, c.sends = now, c.level-units, c.sends+1
	c.lowest = min(c.lowest, c.level)
}

// LowestLevel returns the lowest level that the bucket has had, at most 0, and the number of requests that were sent.
func (c *Ceiling) LowestLevel() (float64, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowest, c.sends
}
