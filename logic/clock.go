package logic

import "time"

// The clock that all machines read may step, by seconds or an hour, while a gateway's own time runs on evenly. Waits, windows
// and graces are spans of the gateway's time. The shared clock decides what gateways must agree on without talk: which interval
// a count is of, whose turn it is, and when a server started.

// ClockStepped says how far the shared clock is ahead of the gateway's time from now on (event). At first it is not.
type ClockStepped struct{ Ahead time.Duration }

const mostSteps = 16 // of the shared clock that are remembered

// sharedClock is what is known of the shared clock: its steps, the oldest first.
type sharedClock struct{ steps []clockStep }

type clockStep struct {
	at    time.Duration // by the gateway's time
	ahead time.Duration // from then on
}

// ahead is how far the shared clock is ahead now.
func (k *sharedClock) ahead() time.Duration {
	if len(k.steps) == 0 {
		return 0
	}
	return k.steps[len(k.steps)-1].ahead
}

func (k *sharedClock) step(at, ahead time.Duration) {
	k.steps = append(k.steps, clockStep{at, ahead})
	if len(k.steps) > mostSteps {
		k.steps = k.steps[1:]
	}
}

// instant is the gateway's time at which the shared clock told a time. After a step back it may have told it twice: then it is
// the later, since a server that is taken for younger gets less. What it has not told yet is taken for now.
func (k *sharedClock) instant(told, now time.Duration) time.Duration {
	end := now
	for n := len(k.steps) - 1; n >= 0; n-- {
		if at := told - k.steps[n].ahead; at >= k.steps[n].at && at <= end {
			return at
		}
		end = k.steps[n].at
	}
	if told <= end {
		return told
	}
	return now
}

// clockStepped takes a step of the shared clock.
func (g *Gateway) clockStepped(e ClockStepped) {
	by := e.Ahead - g.clock.ahead()
	g.clock.step(g.now, e.Ahead)
	for _, c := range g.customers {
		c.renumber(by, g.now)
		g.firms.Sooner(c, c.ends())
	}
}

// renumber goes on in the interval that all gateways are in after a step of the shared clock. What was told for the one before
// is of no use any more.
func (c *customer) renumber(by, now time.Duration) {
	behind := c.interval(now) - c.number
	c.ahead += by
	c.phase += by
	c.number = c.interval(now) - behind
	c.told, c.readAt, c.part = 0, 0, c.even()
}
