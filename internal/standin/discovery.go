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

// Discovery stands in for the platform's discovery, over bare sockets so that its answers can break at any byte.
//
// Each limiter may have an agent of its own. There the list names ports of the nodes that only that limiter knows, so
// that the auditor can tell who sent, and answers go wrong as a hand says.
type Discovery struct {
	Addr string

	world   *World
	mu      sync.Mutex
	version int
	changed chan struct{} // closed at a change
	hands   map[int]func(answer int) Trouble
	answers map[int]int
}

// Trouble is what goes wrong with an answer once it has a change to tell.
type Trouble uint8

// The troubles.
const (
	Fine  Trouble = iota
	Cut           // the connection ends in the middle of the line
	Short         // nothing follows the middle of the line
	Mute          // nothing comes any more, not even empty lines
)

const everybody = -1 // the place of a limiter without an agent of its own

const emptyLineEvery = 500 * time.Millisecond

// AddDiscovery starts discovery; its list is the world's nodes.
func (w *World) AddDiscovery() (*Discovery, error) {
	d := &Discovery{world: w, version: 1, changed: make(chan struct{}), hands: map[int]func(int) Trouble{}, answers: map[int]int{}}
	var err error
	d.Addr, err = w.listen(fault.Discovery, func(c *fault.Conn, _ fault.Script) { d.serve(c, everybody) })
	w.Discovery = d
	return d, err
}

// AddAgent starts a limiter's own agent. The hand names the trouble of each of its answers, counted from 0; nil: none.
func (d *Discovery) AddAgent(limiter int, hand func(answer int) Trouble) (addr string, err error) {
	for _, n := range d.world.Nodes {
		if err := n.addPort(limiter); err != nil {
			return "", err
		}
	}
	if hand == nil {
		hand = func(int) Trouble { return Fine }
	}
	d.mu.Lock()
	d.hands[limiter] = hand
	d.mu.Unlock()
	return d.world.listen(fault.Discovery, func(c *fault.Conn, _ fault.Script) { d.serve(c, limiter) })
}

// Changed tells the watches that a node's state is another. Every change is told as the whole list.
func (d *Discovery) Changed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// List is the list in discovery's form.
func (d *Discovery) List() map[string]any { return d.Known(everybody) }

// Known is the list that a limiter with an agent starts with.
func (d *Discovery) Known(limiter int) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told(limiter, true)
	return d.list(limiter)
}

// told notes for the auditor what a limiter has been told, or may have been. d.mu is held.
func (d *Discovery) told(limiter int, whole bool) {
	for _, n := range d.world.Nodes {
		d.world.Audit.Told(limiter, n.name(), n.State.Load() == "ready", whole)
	}
}

// leaves notes that a machine takes nothing new from now on. d.mu is held.
func (d *Discovery) leaves(n *Node) { d.world.Audit.Leaves(n.name()) }

// name is the id of the machine that now has the node's place.
func (n *Node) name() string {
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
		servers = append(servers, map[string]any{"id": n.name(), "addr": n.ports[limiter].addr, "zone": n.Hall, "kind": "std-3core",
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
		d.world.Audit.Find("discovery was asked for %q", req.URL.Path)
		return
	}
	if _, err := conn.Send([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	d.mu.Lock()
	trouble := Fine
	if hand := d.hands[limiter]; hand != nil {
		trouble = hand(d.answers[limiter])
		d.answers[limiter]++
	}
	d.mu.Unlock()
	watch := req.FormValue("watch") == "1"
	from, _ := strconv.Atoi(req.FormValue("from"))
	for {
		d.mu.Lock()
		list, version, changed := d.list(limiter), d.version, d.changed
		news := version > from || !watch
		if news && trouble != Mute {
			d.told(limiter, trouble == Fine)
		}
		d.mu.Unlock()
		line := []byte("\n")
		if news {
			raw, _ := json.Marshal(list)
			line, from = append(raw, '\n'), version
		}
		if news && trouble == Mute {
			_, _ = conn.Read(make([]byte, 1)) // until the limiter leaves
			return
		}
		if d.broke(conn, line, news, trouble) {
			return
		}
		if !watch {
			_, _ = conn.Send([]byte("0\r\n\r\n"))
			return
		}
		if conn.Rest() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(emptyLineEvery):
		}
	}
}

// broke sends a line, as the trouble says where it holds news. It tells whether the answer is over.
func (d *Discovery) broke(conn *fault.Conn, line []byte, news bool, trouble Trouble) bool {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(line), line)
	if news && trouble != Fine {
		chunk = chunk[:len(chunk)*3/4]
	}
	_, err := conn.Send(chunk)
	if news && trouble == Short && err == nil {
		_, _ = conn.Read(make([]byte, 1)) // until the limiter leaves
	}
	return err != nil || news && trouble != Fine
}
