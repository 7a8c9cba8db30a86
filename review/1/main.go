// Case 1: clients that send hundreds of large commands at once keep the memory for incomplete commands, and the requests of others
// are never answered.
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
	memoryMB     = 32
	badClients   = 300 // connections, under a third of the descriptors with the sound ones
	atOnce       = 300 // transfers that a bad client sends at once
	largeBody    = 60000
	largePause   = 2 * time.Second // without the disruption, between two transfers of such a client
	settled      = 2 * time.Second
	soundTime    = 10 * time.Second // in which sound clients send
	soundPause   = 500 * time.Millisecond
	soundBody    = 8 << 10
	deadline     = 6 * time.Second // of transfer-post, from the last byte of the request
	lateAnswer   = 500 * time.Millisecond
	socketSlack  = 50 * time.Millisecond
	controlPause = 10 * time.Millisecond
	controlMost  = 250 * time.Millisecond // a stand-in that is asked directly answers sooner, or the machine is too busy for this case
)

// terms are the names and values of a transfer, with a key of its own.
func terms(id string) string {
	return "c=transfer-post,t=regular,d=6000,k=" + id + ",units=1,spread=1,first=0"
}

var largeText = []byte(strings.Repeat("p", largeBody))

// transfer returns a large transfer of a client, in pieces.
func transfer(n int) [][]byte {
	id := rig.NewID()
	text := resp.AppendCommand(nil, []byte("Q.DO"), fmt.Appendf(nil, "%016x", 0xa0000000+n), []byte(id), []byte(terms(id)), nil)
	head, _ := strings.CutSuffix(string(text), "$0\r\n\r\n")
	return [][]byte{fmt.Appendf([]byte(head), "$%d\r\n", largeBody), largeText, []byte("\r\n")}
}

func main() {
	c := rig.Start()
	var servers []*rig.Server
	for n, hall := range []string{"hall-a", "hall-a", "hall-b", "hall-b"} {
		servers = append(servers, c.AddServer(fmt.Sprintf("s-%d", n+1), hall, 20*time.Millisecond))
	}
	agent, counter := c.AddAgent(servers...), c.AddCounter()
	config := rig.Config("n0", c.FreeAddress(), agent.Addr, counter.Addr, agent.Known(), rig.Settings(1, 0))
	config["limits"] = rig.Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}
	l := c.StartLimiter(config)
	c.AwaitReady(l)

	for n := range badClients {
		go func() {
			for {
				sendLarge(l.Addr, n, c.Trouble)
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	c.Note("%d clients send transfers of %d bytes, %d at once: %v", badClients, largeBody, atOnce, c.Trouble)
	time.Sleep(settled)

	var mu sync.Mutex
	var breaks []string
	asked, answered := 0, 0
	var clients sync.WaitGroup
	body, began := strings.Repeat("q", soundBody), time.Now()
	for n := range 5 {
		clients.Go(func() {
			for time.Since(began) < soundTime {
				k, err := c.Dial(l)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				for err == nil && time.Since(began) < soundTime {
					id := rig.NewID()
					if err = k.Send("Q.DO", fmt.Sprintf("%016x", 0xb4d65521+n), id, terms(id), body); err != nil {
						break // not written whole, so not taken
					}
					var r resp.Reply
					r, err = k.Read(deadline + lateAnswer + socketSlack)
					timeout, ok := err.(net.Error)
					mu.Lock()
					asked++
					if ok && timeout.Timeout() {
						breaks = append(breaks, fmt.Sprintf("request %s, written whole, has no answer %v later, and its connection is open", id, deadline+lateAnswer+socketSlack))
						c.Note("%s", breaks[len(breaks)-1])
					} else if err == nil {
						answered++
						c.Note("answer to %s: %c%.40s", id, r.Kind, r.Text)
					} else {
						c.Note("the connection of %s ended: %v", id, err)
					}
					mu.Unlock()
					time.Sleep(soundPause)
				}
				k.Close()
			}
		})
	}
	clients.Go(func() { // small requests need no such memory
		k, err := c.Dial(l)
		c.Check(err)
		defer k.Close()
		for time.Since(began) < soundTime {
			if _, err := k.Ask("Q.ASK", "00000000c0ffee00", rig.NewID(), "c=balance-read,t=regular,d=4000,units=1,spread=1,first=0", 5*time.Second); err != nil {
				c.Note("the client of small requests: %v", err)
				return
			}
			time.Sleep(soundPause)
		}
	})
	slowest := control(c, servers[0].Addr, began)
	clients.Wait()
	all, _ := l.ResidentKB()
	c.Note("%d requests of %d bytes from sound clients, %d answered, %d not; resident set %d KB of %d KB; a stand-in asked directly answered within %v",
		asked, soundBody, answered, len(breaks), all, memoryMB<<10, slowest.Round(time.Microsecond))
	if asked == 0 || answered+len(breaks) == 0 {
		c.Abort(errors.New("no request of a sound client was written whole and kept its connection"))
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

// sendLarge sends large transfers over a connection of its own until it ends, and reads whatever comes: hundreds at once and as
// many again, or (without the disruption) one, and the next after its answer and a pause.
func sendLarge(addr string, n int, hundreds bool) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	if hundreds {
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
	for buf := make([]byte, 4<<10); ; {
		var text net.Buffers
		for k := 0; k < atOnce && (hundreds || k == 0); k++ {
			text = append(text, transfer(n)...)
		}
		if _, err := text.WriteTo(conn); err != nil {
			return
		}
		if hundreds {
			continue
		}
		if _, err := conn.Read(buf); err != nil {
			return
		}
		time.Sleep(largePause)
	}
}
