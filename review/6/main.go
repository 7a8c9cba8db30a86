// Case 6: beside clients that send hundreds of small commands at once, and the same again as soon as it is turned away, the requests
// of others get their answers too late to count as answers.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/resp"
	"bramblefall/review/rig"
)

const (
	memoryMB     = 192
	badClients   = 300             // connections, with the sound ones under a third of the descriptors
	badFirms     = 3               // in whose names they ask
	atOnce       = 200             // commands of a bad client that are out at once
	calmPause    = 3 * time.Second // without the disruption, between two commands of such a client
	settled      = 2 * time.Second
	soundTime    = 12 * time.Second // in which sound clients send
	soundPause   = 200 * time.Millisecond
	lateAnswer   = 500 * time.Millisecond
	socketSlack  = 50 * time.Millisecond
	controlPause = 10 * time.Millisecond
	controlMost  = 250 * time.Millisecond // a stand-in that is asked directly answers sooner, or the machine is too busy for this case
)

// settings are those of a small deployment with the figures of the site.
func settings() rig.Object {
	s := rig.Settings(1, 0)
	s["classes"] = []rig.Object{
		{"name": "guide-read", "semantics": "free", "aim": 0.4, "deadline": 1.0, "worth": 2.0, "lateValue": 0.0, "streamed": false},
		{"name": "schedule-set", "semantics": "free", "aim": 0.75, "deadline": 2.0, "worth": 2.0, "lateValue": 0.2, "streamed": false},
		{"name": "clip-publish", "semantics": "guarded", "keyScope": "cell", "keyTtl": 3.0, "aim": 1.5, "deadline": 5.0, "worth": 5.0,
			"lateValue": 0.0, "streamed": false},
	}
	plan := func(name string, rate, depth, price, cost float64) rig.Object {
		return rig.Object{"name": name, "perSecond": rate, "depth": depth, "concurrency": 0, "worthFactor": price, "extraWorth": 0.0,
			"overCost": cost, "hardRate": 0.0, "hardBurst": 0.0, "hardSlack": 0.0}
	}
	s["tariffs"] = []rig.Object{plan("bygd", 6.0, 30.0, 0.88, 0.8), plan("by", 21.0, 50.0, 1.1, 0.5)}
	return s
}

// kind is a kind of request of sound clients.
type kind struct {
	class    string
	deadline time.Duration // half of the class's, from when the request is written
	clients  int
}

var kinds = []kind{{"guide-read", 500 * time.Millisecond, 5}, {"schedule-set", time.Second, 3}}

// lateAnswerTo is a request that was answered too late.
type lateAnswerTo struct {
	by   time.Duration // beyond the bound
	text string
}

func main() {
	c := rig.Start()
	var servers []*rig.Server
	for n, hall := range []string{"hall-a", "hall-a", "hall-b", "hall-b"} {
		servers = append(servers, c.AddServer(fmt.Sprintf("s-%d", n+1), hall, 40*time.Millisecond))
	}
	agent, counter := c.AddAgent(servers...), c.AddCounter()
	config := rig.Config("n0", c.FreeAddress(), agent.Addr, counter.Addr, agent.Known(), settings())
	config["limits"] = rig.Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}
	l := c.StartLimiter(config)
	c.AwaitReady(l)

	var bad badCount
	for n := range badClients {
		go func() {
			for {
				bad.run(l.Addr, n, c.Trouble)
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	c.Note("%d clients in the names of %d firms, each with %d commands out at once: %v", badClients, badFirms, atOnce, c.Trouble)
	time.Sleep(settled)

	var mu sync.Mutex
	var late []lateAnswerTo
	longest := map[string]time.Duration{}
	asked, answered := 0, 0
	var clients sync.WaitGroup
	began := time.Now()
	for k, kind := range kinds {
		for n := range kind.clients {
			clients.Go(func() {
				firm, terms := fmt.Sprintf("%016x", 0xb4d60000+16*k+n), fmt.Sprintf("c=%s,t=by,d=%d,units=1,spread=1,first=0", kind.class, kind.deadline.Milliseconds())
				bound := kind.deadline + lateAnswer + socketSlack
				for time.Since(began) < soundTime {
					client, err := c.Dial(l)
					if err != nil {
						time.Sleep(soundPause)
						continue
					}
					for err == nil && time.Since(began) < soundTime {
						id := rig.NewID()
						if err = client.Send("Q.ASK", firm, id, terms); err != nil {
							break // not written whole, so not taken
						}
						sent := time.Now()
						var r resp.Reply
						r, err = client.Read(30 * time.Second)
						took := time.Since(sent)
						c.Note("answer to %s after %v: %c%s %v", id, took.Round(time.Millisecond), max(r.Kind, ' '), r.Text, err)
						mu.Lock()
						asked++
						longest[kind.class] = max(longest[kind.class], took)
						timeout, ok := err.(net.Error)
						switch {
						case err != nil && !(ok && timeout.Timeout()): // the connection ended
						case took > bound:
							late = append(late, lateAnswerTo{took - bound, fmt.Sprintf("request %s of %s, d=%d, had no answer %v after it was written whole (answer after %v)", id, kind.class,
								kind.deadline.Milliseconds(), bound, took.Round(time.Millisecond))})
						default:
							answered++
						}
						mu.Unlock()
						time.Sleep(soundPause)
					}
					client.Close()
				}
			})
		}
	}
	slowest := control(c, servers[0].Addr, began)
	clients.Wait()
	var breaks []string
	for _, a := range late { // what this machine itself was late by is no fault of the limiter
		if a.by > slowest {
			breaks = append(breaks, a.text)
		}
	}
	all, _ := l.ResidentKB()
	c.Note("%d requests from sound clients, %d answered in time, %d not; the longest: %v; bad clients had %d answers; resident set %d KB; a stand-in asked directly answered within %v",
		asked, answered, len(breaks), longest, bad.answers.Load(), all, slowest.Round(time.Microsecond))
	if answered+len(breaks) == 0 {
		c.Abort(errors.New("no request of a sound client kept its connection"))
	}
	if slowest > controlMost {
		c.Abort(fmt.Errorf("a stand-in asked directly took %v: this machine is too busy", slowest))
	}
	c.Verdict(breaks)
}

// control asks a server directly while the sound clients send, and returns the longest wait: how late this machine is by itself.
func control(c *rig.Case, addr string, began time.Time) (slowest time.Duration) {
	conn, err := net.Dial("tcp", addr)
	c.Check(err)
	defer conn.Close()
	for buf := make([]byte, 64); time.Since(began) < soundTime; time.Sleep(controlPause) {
		asked := time.Now()
		_, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		c.Check(err)
		_, err = conn.Read(buf)
		c.Check(err)
		slowest = max(slowest, time.Since(asked))
	}
	return slowest
}

// badCount counts the answers that bad clients have read.
type badCount struct{ answers atomic.Int64 }

// run sends commands over a connection of its own until it ends: hundreds at once and another for each answer, or (without the
// disruption) one, and the next after its answer and a pause.
func (b *badCount) run(addr string, n int, hundreds bool) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	var parser resp.Parser
	buf := make([]byte, 16<<10)
	for due := atOnce; ; {
		if !hundreds {
			due = 1
		}
		var text strings.Builder
		for range due {
			text.Write(resp.AppendCommand(nil, []byte("Q.ASK"), fmt.Appendf(nil, "%016x", 0xa0000000+n%badFirms), []byte(rig.NewID()),
				[]byte("c=schedule-set,t=by,d=2000,units=1,spread=1,first=0")))
		}
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return
		}
		for due = 0; due == 0; {
			k, err := conn.Read(buf)
			if err != nil {
				return
			}
			parser.Feed(buf[:k])
			for {
				_, ok, err := parser.Reply()
				if err != nil {
					return
				}
				if !ok {
					break
				}
				due++
			}
		}
		b.answers.Add(int64(due))
		if !hundreds {
			time.Sleep(calmPause)
		}
	}
}
