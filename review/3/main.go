// Case 3: discovery that begins its answers a second late is never heard, and a server that is gone gets new requests for good.
package main

import (
	"fmt"
	"sync"
	"time"

	"bramblefall/review/rig"
)

const (
	limiters     = 2
	answerTime   = time.Second // from a call of discovery to the beginning of its answer
	removedAfter = 5 * time.Second
	watched      = 14 * time.Second // after the removal

	toldAfter   = 6 * time.Second // a change counts as told this long after discovery had it
	grace       = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond // by which each time limit is longer on sockets
)

func main() {
	c := rig.Start()
	var servers []*rig.Server
	for n, hall := range []string{"hall-a", "hall-a", "hall-b", "hall-b"} {
		servers = append(servers, c.AddServer(fmt.Sprintf("s-%d", n+1), hall, 20*time.Millisecond))
	}
	counter := c.AddCounter()
	var agents []*rig.Agent
	var all []*rig.Limiter
	for n := range limiters {
		agent := c.AddAgent(servers...)
		if c.Trouble {
			agent.Delay = func(int) time.Duration { return answerTime }
		}
		agents = append(agents, agent)
		all = append(all, c.StartLimiter(rig.Config(fmt.Sprintf("n%d", n), c.FreeAddress(), agent.Addr, counter.Addr, agent.Known(), rig.Settings(limiters, n))))
	}
	for _, l := range all {
		c.AwaitReady(l)
	}

	began := time.Now()
	var clients sync.WaitGroup
	for _, l := range all {
		for firm := range 4 {
			k, err := c.Dial(l)
			c.Check(err)
			clients.Go(func() {
				defer k.Close()
				for time.Since(began) < removedAfter+watched {
					if _, err := k.Ask("Q.ASK", fmt.Sprintf("%016x", 0xb4d65521+firm), rig.NewID(), "c=balance-read,t=regular,d=4000,units=1,spread=2,first=0",
						5*time.Second); err != nil {
						c.Abort(err)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Until(began.Add(removedAfter)))
	removed := servers[0] // its process goes on and answers
	for _, agent := range agents {
		agent.Set(removed.ID, "gone")
	}
	since := c.Since()
	clients.Wait()

	var breaks []string
	last := time.Duration(0)
	for _, s := range removed.Sends() {
		last = max(last, s.FirstByte-since)
		if s.FirstByte > since+toldAfter+grace+2*socketSlack {
			breaks = append(breaks, fmt.Sprintf("request %s was sent to %s %.2f s after discovery had its removal", s.ID, removed.ID, (s.FirstByte-since).Seconds()))
		}
	}
	c.Note("the last request that %s got came %.2f s after discovery had its removal", removed.ID, last.Seconds())
	c.Verdict(breaks)
}
