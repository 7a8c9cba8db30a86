package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/fault"
	"bramblefall/internal/loopback"
	"bramblefall/internal/resp"
)

// Node stands in for an exchange node.
type Node struct {
	ID, Hall, Addr string
	State          atomic.Value // string: as discovery tells it
	Renewed        int          // how often another machine took its place; under discovery's lock, as Started
	Started        int64        // Unix milliseconds; 0: long ago

	world *World
	made  atomic.Int64
	mu    sync.Mutex
	ports map[int]port // by the limiter that knows it; everybody's, too
	conns map[*fault.Conn]struct{}
	// Handle chooses the answer to a command, after a delay; nil: a mix of values, errors and refusals by the
	// connection's script. mayRun tells the auditor whether the command runs.
	Handle func(n *Node, args [][]byte) (answer []byte, mayRun bool, delay time.Duration)
}

// port is where a node listens.
type port struct {
	addr     string
	listener net.Listener
}

// AddNode starts a node in a hall.
func (w *World) AddNode(id, hall string) (*Node, error) {
	n := &Node{ID: id, Hall: hall, world: w, conns: map[*fault.Conn]struct{}{}, ports: map[int]port{}}
	n.State.Store("ready")
	if err := n.addPort(everybody); err != nil {
		return nil, err
	}
	n.Addr = n.ports[everybody].addr
	w.Nodes = append(w.Nodes, n)
	return n, nil
}

func (n *Node) addPort(limiter int) error {
	address, err := loopback.AnyPort()
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open(limiter, address)
}

func (n *Node) open(limiter int, addr string) error {
	l, err := n.world.listenAt(addr, fault.Node, func(c *fault.Conn, s fault.Script) { n.serve(c, s, limiter) })
	if err == nil {
		n.ports[limiter] = port{l.Addr().String(), l}
	}
	return err
}

// Crash ends the node's process: its connections are reset and new ones refused.
func (n *Node) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.ports {
		_ = p.listener.Close()
	}
	for c := range n.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

// Restart starts it again at its address.
func (n *Node) Restart() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for limiter, p := range n.ports {
		if err := n.open(limiter, p.addr); err != nil {
			return err
		}
	}
	return nil
}

const (
	slowest  = 12 // milliseconds of a node's own delay
	mostBody = 20 << 10
)

func (n *Node) serve(conn *fault.Conn, s fault.Script, limiter int) {
	n.mu.Lock()
	n.conns[conn] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, conn)
	}()
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	var p resp.Parser
	buf := make([]byte, 32<<10)
	for {
		k, err := conn.Read(buf)
		p.Feed(buf[:k])
		for {
			args, ok, bad := p.Command()
			if bad != nil {
				n.world.Audit.Find("node %s cannot read what came: %v", n.ID, bad)
				return
			}
			if !ok {
				break
			}
			if limiter != everybody && len(args) > 3 {
				n.world.Discovery.mu.Lock()
				n.world.Audit.Came(limiter, n.name(), string(args[2]))
				n.world.Discovery.mu.Unlock()
			}
			if !n.answer(conn, rng, args) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (n *Node) answer(conn *fault.Conn, rng *rand.Rand, args [][]byte) bool {
	var text []byte
	if name := string(args[0]); name != "Q.ASK" && name != "Q.DO" {
		text = resp.AppendBulk(nil, []byte("inflight=1,queue=0,util=0.1"))
	} else if n.Handle != nil {
		answer, mayRun, delay := n.Handle(n, args)
		if !n.world.Unchecked {
			n.world.Audit.Received(args, n.Hall, string(answer), mayRun)
		}
		time.Sleep(delay)
		text = answer
	} else {
		text = n.own(rng, args)
	}
	if _, err := conn.Send(text); err != nil {
		return false
	}
	return conn.Rest() == nil
}

// own is the answer by chance: mostly a value that names the request and the node.
func (n *Node) own(rng *rand.Rand, args [][]byte) []byte {
	value := ""
	if len(args) > 2 {
		value = fmt.Sprintf("%s|%s|%d|", args[2], n.ID, n.made.Add(1))
	}
	chance := rng.Float64()
	if chance < 0.02 {
		value += strings.Repeat("x", rng.IntN(mostBody))
	}
	n.world.Audit.Received(args, n.Hall, value, chance < 0.94)
	if rng.Float64() < 0.2 {
		time.Sleep(time.Duration(rng.IntN(slowest)) * time.Millisecond)
	}
	switch {
	case chance >= 0.94:
		return []byte("-BUSY\r\n")
	case chance >= 0.88:
		return []byte("-ERR failed\r\n")
	}
	return Value(value)
}

// Value is a node's answer that serves a request.
func Value(text string) []byte {
	b := resp.AppendBulk([]byte("*3\r\n"), []byte(text))
	return append(b, "$-1\r\n$-1\r\n"...)
}

// Tell sets a node's state and start as discovery tells them.
func (w *World) Tell(n *Node, state string, started time.Time) {
	w.Discovery.mu.Lock()
	if n.State.Store(state); state != "ready" {
		w.Discovery.leaves(n)
	}
	if !started.IsZero() {
		n.Started = started.UnixMilli()
	}
	w.Discovery.mu.Unlock()
	w.Discovery.Changed()
}

// Renew puts a new machine in a node's place: another id, started now, at the same address.
func (w *World) Renew(n *Node, at time.Time) {
	w.Discovery.mu.Lock()
	w.Discovery.leaves(n)
	n.Renewed++
	n.Started = at.UnixMilli()
	n.State.Store("ready")
	w.Discovery.mu.Unlock()
	w.Discovery.Changed()
}
