// Case 3: idle callers hold all places of the gRPC front, and calls of others are never answered.
package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"bramblefall/review/rig"
)

const (
	idleCallers = 200             // 'hundreds of connections'; under a third of the 1,024 descriptors
	settled     = 8 * time.Second // from the last idle connection to the first call
	calls       = 6
	deadline    = 4 * time.Second // of balance-read
	lateAnswer  = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond
)

func main() {
	c := rig.Start()
	server := c.AddServer("s-1", "hall-a", 20*time.Millisecond)
	agent, counter := c.AddAgent(server), c.AddCounter()
	front := c.FreeAddress()
	file := filepath.Join(c.Dir, "ratelimit.json")
	c.WriteJSON(file, rig.Object{"listen": front, "domain": "pallet-exchange"})
	l := c.StartLimiter(rig.Config("n0", c.FreeAddress(), agent.Addr, counter.Addr, agent.Known(), rig.Settings(1, 0)), "-ratelimit", file)
	c.AwaitReady(l)

	warmUp, err := c.DialProxy("first caller", front)
	c.Check(err)
	if ok, text := warmUp.Call("b4d65521", "regular", "balance-read", deadline, deadline); !ok {
		c.Abort(fmt.Errorf("the front does not answer: %s", text))
	}
	warmUp.Close()

	if c.Trouble {
		for n := range idleCallers {
			p, err := c.DialProxy(fmt.Sprintf("idle caller %d", n), front)
			if err != nil {
				c.Note("idle caller %d cannot connect: %v", n, err)
				continue
			}
			go p.Rest()
		}
		c.Note("%d idle callers are connected and say nothing from now on", idleCallers)
	}
	time.Sleep(settled)

	var mu sync.Mutex
	var breaks []string
	var wg sync.WaitGroup
	connected := 0
	for n := range calls {
		name := fmt.Sprintf("caller %d", n)
		p, err := c.DialProxy(name, front)
		if err != nil {
			c.Note("%s cannot connect, nothing of it was taken: %v", name, err)
			continue
		}
		connected++
		wg.Go(func() {
			defer p.Close()
			if ok, text := p.Call("b4d65521", "regular", "balance-read", deadline, deadline+lateAnswer+socketSlack); !ok {
				mu.Lock()
				defer mu.Unlock()
				breaks = append(breaks, fmt.Sprintf("%s: its call was written whole on a connection that was accepted; %s %v later", name, text,
					deadline+lateAnswer+socketSlack))
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	if connected == 0 && !c.Trouble {
		c.Abort(errors.New("no caller could connect"))
	}

	k, err := c.Dial(l)
	c.Check(err)
	answer, err := k.Ask("Q.ASK", "00000000b4d65521", rig.NewID(), "c=balance-read,t=regular,d=4000,units=1,spread=1,first=0", 5*time.Second)
	c.Check(err)
	c.Note("meanwhile the RESP2 front answers: %s", answer)
	c.Verdict(breaks)
}
