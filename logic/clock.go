package logic

import "time"

// The wall clock that all machines share may step, by seconds or by an hour, while a gateway's own time is monotonic. Waits,
// time windows and grace periods are spans of the gateway's time. The shared clock decides what gateways must agree on without
// communication: which interval a count belongs to, whose turn it is, and when a server started.

// ClockStepped says how far the shared clock is ahead of the gateway's time from now on (event). At first the two agree.
type ClockStepped struct{ Ahead time.Duration }

// maxClockSteps is how many steps of the shared clock are remembered.
const maxClockSteps = 16

// sharedClock is what is known of the shared clock: its steps, the oldest first.
type sharedClock struct{ steps []clockStep }

type clockStep struct {
	at    time.Duration // when it was noticed, by the gateway's time
	ahead time.Duration // how far the shared clock is ahead from then on
}

// ahead is how far the shared clock is ahead of the gateway's time now.
func (k *sharedClock) ahead() time.Duration {
	if len(k.steps) == 0 {
		return 0
	}
	return k.steps[len(k.steps)-1].ahead
}

func (k *sharedClock) addStep(at, ahead time.Duration) {
	k.steps = append(k.steps, clockStep{at, ahead})
	if len(k.steps) > maxClockSteps {
		k.steps = k.steps[1:]
	}
}

// gatewayTime is the gateway's time at which the shared clock showed a time. After a step back it may have shown it twice:
// then the later one counts, since a server that seems younger gets less load (slow start). A time that it has not shown yet
// counts as now.
func (k *sharedClock) gatewayTime(shown, now time.Duration) time.Duration {
	end := now
	for n := len(k.steps) - 1; n >= 0; n-- {
		if at := shown - k.steps[n].ahead; at >= k.steps[n].at && at <= end {
			return at
		}
		end = k.steps[n].at
	}
	if shown <= end {
		return shown
	}
	return now
}

// onClockStepped takes a step of the shared clock.
func (g *Gateway) onClockStepped(e ClockStepped) {
	by := e.Ahead - g.clock.ahead()
	g.clock.addStep(g.now, e.Ahead)
	for _, c := range g.customers {
		c.renumber(by, g.now)
		g.dueCustomers.SetEarlier(c, c.intervalEnd())
	}
}

// renumber continues in the interval that all gateways are in after a step of the shared clock. What was reported for the one
// before is of no use any more.
func (c *customer) renumber(by, now time.Duration) {
	behind := c.intervalAt(now) - c.intervalNumber
	c.clockAhead += by
	c.phase += by
	c.intervalNumber = c.intervalAt(now) - behind
	c.reported, c.rereadAt, c.share = 0, 0, c.evenShare()
}
