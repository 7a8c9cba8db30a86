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
type Discovery struct {
	Addr string

	world   *World
	mu      sync.Mutex
	version int
	changed chan struct{} // closed at a change
}

const emptyLineEvery = 500 * time.Millisecond

// AddDiscovery starts discovery; its list is the world's nodes.
func (w *World) AddDiscovery() (*Discovery, error) {
	d := &Discovery{world: w, version: 1, changed: make(chan struct{})}
	var err error
	d.Addr, err = w.listen(fault.Discovery, d.serve)
	w.Discovery = d
	return d, err
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
func (d *Discovery) List() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

// name is the id of the machine that now has the node's place.
func (n *Node) name() string {
	if n.Renewed == 0 {
		return n.ID
	}
	return fmt.Sprintf("%s-%d", n.ID, n.Renewed)
}

func (d *Discovery) list() map[string]any {
	servers := []map[string]any{}
	for _, n := range d.world.Nodes {
		if n.State.Load() == "gone" {
			continue
		}
		servers = append(servers, map[string]any{"id": n.name(), "addr": n.Addr, "zone": n.Hall, "kind": "std-3core",
			"cell": 0, "state": n.State.Load(), "weight": 1.0, "started_ms": n.Started})
	}
	return map[string]any{"version": d.version, "full": true, "servers": servers}
}

func (d *Discovery) serve(conn *fault.Conn, _ fault.Script) {
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
	watch := req.FormValue("watch") == "1"
	from, _ := strconv.Atoi(req.FormValue("from"))
	for {
		d.mu.Lock()
		list, version, changed := d.list(), d.version, d.changed
		d.mu.Unlock()
		line := []byte("\n")
		if version > from || !watch {
			raw, _ := json.Marshal(list)
			line, from = append(raw, '\n'), version
		}
		if _, err := conn.Send(fmt.Appendf(nil, "%x\r\n%s\r\n", len(line), line)); err != nil {
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
