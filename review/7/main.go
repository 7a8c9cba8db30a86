// Case 7: clients that send much at once and go: tries for them begin seconds after their close.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"bramblefall/internal/resp"
	"bramblefall/review/rig"
)

const (
	memoryMB     = 192
	clients      = 300 // connections at once, under a third of the descriptors
	atOnce       = 300 // transfers that a client sends at once
	bodyBytes    = 2000
	pause        = 2 * time.Second        // between a client's end and the next that comes in its place
	burst        = 200 * time.Millisecond // in which all clients come first
	playTime     = 8 * time.Second
	afterTime    = 3 * time.Second // in which late tries are still seen
	workTime     = 150 * time.Millisecond
	readTimeout  = 30 * time.Second
	goneGrace    = 100 * time.Millisecond // after a client's close
	socketSlack  = 50 * time.Millisecond
	heldUp       = 150 * time.Millisecond // for which a limiter may be held up between its clock and its write
	controlPause = 10 * time.Millisecond
	controlMost  = 250 * time.Millisecond // a stand-in that is asked directly answers sooner, or the machine is too busy for this case
)

// closes is when the client of each request closed its connection, by the request's id.
type closes struct {
	mu     sync.Mutex
	at     map[string]time.Duration
	rounds int
}

func main() {
	c := rig.Start()
	var servers []*rig.Server
	for n, hall := range []string{"hall-a", "hall-a", "hall-b", "hall-b"} {
		servers = append(servers, c.AddServer(fmt.Sprintf("s-%d", n+1), hall, workTime))
	}
	agent, counter := c.AddAgent(servers...), c.AddCounter()
	config := rig.Config("n0", c.FreeAddress(), agent.Addr, counter.Addr, agent.Known(), rig.Settings(1, 0))
	config["limits"] = rig.Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}
	l := c.StartLimiter(config)
	c.AwaitReady(l)
	c.Note("%d clients send %d transfers of %d bytes at once; they go at once: %v", clients, atOnce, bodyBytes, c.Trouble)
	closed := closes{at: map[string]time.Duration{}}
	var players sync.WaitGroup
	began := time.Now()
	for n := range clients {
		players.Go(func() {
			time.Sleep(time.Duration(n) * burst / clients)
			for time.Since(began) < playTime {
				closed.play(c, l.Addr, n)
				time.Sleep(pause)
			}
		})
	}
	slowest := control(c, servers[0].Addr, began)
	players.Wait()
	time.Sleep(afterTime)

	var breaks []string
	tries, latest := 0, time.Duration(0)
	bound := goneGrace + socketSlack + heldUp + slowest // the last is what this machine itself was late by
	for _, s := range servers {
		for _, send := range s.Sends() {
			tries++
			at, gone := closed.at[send.ID]
			if late := send.FirstByte - at; gone && late > bound {
				latest = max(latest, late)
				breaks = append(breaks, fmt.Sprintf("a try of %s began at %s %v after its client had closed the connection", send.ID, s.ID, late.Round(time.Millisecond)))
			}
		}
	}
	all, _ := l.ResidentKB()
	c.Note("%d connections of clients, %d tries at the servers, %d of them begun over %v after the client's close, the latest %v; resident set %d KB; a stand-in asked directly answered within %v",
		closed.rounds, tries, len(breaks), bound.Round(time.Millisecond), latest.Round(time.Millisecond), all, slowest.Round(time.Microsecond))
	if tries == 0 {
		c.Abort(errors.New("no try reached a server"))
	}
	if slowest > controlMost {
		c.Abort(fmt.Errorf("a stand-in asked directly took %v: this machine is too busy", slowest))
	}
	c.Verdict(breaks)
}

// play sends a client's transfers at once over a connection of its own, then closes it: at once, or (without the disruption) when all
// are answered.
func (k *closes) play(c *rig.Case, addr string, n int) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	var text strings.Builder
	ids := make([]string, atOnce)
	for m := range ids {
		ids[m] = rig.NewID()
		text.Write(resp.AppendCommand(nil, []byte("Q.DO"), fmt.Appendf(nil, "%016x", 0xa0000000+n), []byte(ids[m]),
			[]byte("c=transfer-post,t=full,d=6000,k="+ids[m]+",units=1,spread=1,first=0"), []byte(strings.Repeat("b", bodyBytes))))
	}
	answered := make(chan int, 1)
	if !c.Trouble {
		go func() { answered <- readAnswers(conn) }()
	}
	_, err = io.WriteString(conn, text.String())
	got := 0
	if !c.Trouble {
		got = <-answered
	}
	_ = conn.Close()
	at := c.Since()
	c.Note("a client sent %s to %s (%v), read %d answers and closed", ids[0], ids[atOnce-1], err, got)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rounds++
	for _, id := range ids {
		k.at[id] = at
	}
}

// readAnswers reads the answers to all of a client's transfers and returns their number.
func readAnswers(conn net.Conn) (got int) {
	var parser resp.Parser
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	for buf := make([]byte, 16<<10); got < atOnce; {
		k, err := conn.Read(buf)
		if err != nil {
			return got
		}
		parser.Feed(buf[:k])
		for {
			_, ok, err := parser.Reply()
			if err != nil {
				return got
			}
			if !ok {
				break
			}
			got++
		}
	}
	return got
}

// control asks a server directly while the clients play, and returns the longest wait: how late this machine is by itself.
func control(c *rig.Case, addr string, began time.Time) (slowest time.Duration) {
	conn, err := net.Dial("tcp", addr)
	c.Check(err)
	defer conn.Close()
	for buf := make([]byte, 64); time.Since(began) < playTime; time.Sleep(controlPause) {
		asked := time.Now()
		_, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		c.Check(err)
		_, err = conn.Read(buf)
		c.Check(err)
		slowest = max(slowest, time.Since(asked))
	}
	return slowest
}
