package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramblefall/internal/fault"
)

// Discovery is a stand-in for the platform's discovery. It writes HTTP to bare sockets, so that its answers can break off at
// any byte.
//
// Each limiter may have a discovery agent of its own. The agent's list names ports of the nodes that only that limiter is
// told, which lets the auditor attribute commands to limiters, and the agent's answers can be made to fail.
type Discovery struct {
	Addr string

	world        *World
	mu           sync.Mutex
	version      int
	changed      chan struct{} // closed and replaced when the list changes
	troubles     map[int]func(answer int) AnswerFault
	answerCounts map[int]int
}

// AnswerFault is the fault of an answer. It takes effect on the first line that carries a list.
type AnswerFault uint8

// The faults of discovery's answers.
const (
	NoFault          AnswerFault = iota
	TruncatedLine                // the connection closes in the middle of the line
	StalledLine                  // the line stops in the middle, and the connection stays open
	SilentConnection             // nothing is sent any more, not even empty lines; the connection stays open
)

// sharedAgent is the limiter number of the agent and the ports that all limiters without an agent of their own share.
const sharedAgent = -1

// emptyLineInterval is the time between the empty lines that keep an idle watch alive.
const emptyLineInterval = 500 * time.Millisecond

// AddDiscovery starts a stand-in for discovery that lists the world's nodes.
func (w *World) AddDiscovery() (*Discovery, error) {
	d := &Discovery{world: w, version: 1, changed: make(chan struct{}), troubles: map[int]func(int) AnswerFault{}, answerCounts: map[int]int{}}
	var err error
	d.Addr, err = w.listen(fault.Discovery, func(c *fault.Conn, _ fault.Script) { d.serve(c, sharedAgent) })
	w.Discovery = d
	return d, err
}

// AddAgent starts a discovery agent for one limiter. troubleOf returns the trouble of each of its answers, counted from 0;
// nil stands for no trouble.
func (d *Discovery) AddAgent(limiter int, troubleOf func(answer int) AnswerFault) (addr string, err error) {
	for _, n := range d.world.Nodes {
		if err := n.addPort(limiter); err != nil {
			return "", err
		}
	}
	if troubleOf == nil {
		troubleOf = func(int) AnswerFault { return NoFault }
	}
	d.mu.Lock()
	d.troubles[limiter] = troubleOf
	d.mu.Unlock()
	return d.world.listen(fault.Discovery, func(c *fault.Conn, _ fault.Script) { d.serve(c, limiter) })
}

// Publish publishes a new version after a node's state has changed. Watches get the whole list for every change.
func (d *Discovery) Publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the current list in discovery's JSON form, as limiters without an agent of their own get it.
func (d *Discovery) List() map[string]any { return d.ListFor(sharedAgent) }

// ListFor returns the list that a limiter with its own agent starts with, and tells the auditor that the limiter knows it.
func (d *Discovery) ListFor(limiter int) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordTold(limiter, true)
	return d.list(limiter)
}

// recordTold tells the auditor that the current list was sent to a limiter; complete is false if the limiter may have got
// only a part of it. The caller holds d.mu.
func (d *Discovery) recordTold(limiter int, complete bool) {
	for _, n := range d.world.Nodes {
		d.world.Audit.MachineListed(limiter, n.machineID(), n.State.Load() == "ready", complete)
	}
}

// recordLeaving tells the auditor that a machine accepts no new commands from now on. The caller holds d.mu.
func (d *Discovery) recordLeaving(n *Node) { d.world.Audit.MachineLeft(n.machineID()) }

// machineID returns the id of the machine that currently runs the node.
func (n *Node) machineID() string {
	if n.Renewed == 0 {
		return n.ID
	}
	return fmt.Sprintf("%s-%d", n.ID, n.Renewed)
}

func (d *Discovery) list(limiter int) map[string]any {
	servers := []map[string]any{}
	for _, n := range d.world.Nodes {
		if n.State.Load() == "gone" {
			continue
		}
		servers = append(servers, map[string]any{"id": n.machineID(), "addr": n.ports[limiter].addr, "zone": n.Hall, "kind": "std-3core",
			"cell": 0, "state": n.State.Load(), "weight": 1.0, "started_ms": n.Started})
	}
	return map[string]any{"version": d.version, "full": true, "servers": servers}
}

func (d *Discovery) serve(conn *fault.Conn, limiter int) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if req.URL.Path != "/registry/instances" {
		d.world.Audit.Reportf("discovery received a request for %q, want /registry/instances", req.URL.Path)
		return
	}
	if _, err := conn.Send([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	d.mu.Lock()
	trouble := NoFault
	if troubleOf := d.troubles[limiter]; troubleOf != nil {
		trouble = troubleOf(d.answerCounts[limiter])
		d.answerCounts[limiter]++
	}
	d.mu.Unlock()
	watch := req.FormValue("watch") == "1"
	from, _ := strconv.Atoi(req.FormValue("from"))
	for {
		d.mu.Lock()
		list, version, changed := d.list(limiter), d.version, d.changed
		hasChange := version > from || !watch
		if hasChange && trouble != SilentConnection {
			d.recordTold(limiter, trouble == NoFault)
		}
		d.mu.Unlock()
		line := []byte("\n")
		if hasChange {
			raw, _ := json.Marshal(list)
			line, from = append(raw, '\n'), version
		}
		if hasChange && trouble == SilentConnection {
			_, _ = conn.Read(make([]byte, 1)) // until the limiter leaves
			return
		}
		if d.sendLine(conn, line, hasChange, trouble) {
			return
		}
		if !watch {
			_, _ = conn.Send([]byte("0\r\n\r\n"))
			return
		}
		if conn.RunIdleSteps() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(emptyLineInterval):
		}
	}
}

// sendLine sends a line, applying the trouble if the line carries a change. It reports whether the answer has ended.
func (d *Discovery) sendLine(conn *fault.Conn, line []byte, hasChange bool, trouble AnswerFault) bool {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(line), line)
	if hasChange && trouble != NoFault {
		chunk = chunk[:len(chunk)*3/4]
	}
	_, err := conn.Send(chunk)
	if hasChange && trouble == StalledLine && err == nil {
		_, _ = conn.Read(make([]byte, 1)) // until the limiter leaves
	}
	return err != nil || hasChange && trouble != NoFault
}
