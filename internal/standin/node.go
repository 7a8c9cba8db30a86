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

// Node is a stand-in for an exchange node.
type Node struct {
	ID, Hall, Addr string
	State          atomic.Value // string: the state that discovery lists
	Renewed        int          // number of times that another machine replaced it; guarded by discovery's lock, as Started is
	Started        int64        // Unix milliseconds; 0: long ago

	world       *World
	answersMade atomic.Int64
	mu          sync.Mutex
	ports       map[int]port // by the limiter that is told the port; sharedAgent for the common one
	conns       map[*fault.Conn]struct{}
	// Handle returns the answer to a command and the delay before it is sent. mayRun tells the auditor whether the command may
	// run. If Handle is nil, the seed of the connection's script draws a mix of values, errors and refusals.
	Handle func(n *Node, args [][]byte) (answer []byte, mayRun bool, delay time.Duration)
}

// port is an address on which a node listens.
type port struct {
	addr     string
	listener net.Listener
}

// AddNode starts a node in a hall, in the state ready.
func (w *World) AddNode(id, hall string) (*Node, error) {
	n := &Node{ID: id, Hall: hall, world: w, conns: map[*fault.Conn]struct{}{}, ports: map[int]port{}}
	n.State.Store("ready")
	if err := n.addPort(sharedAgent); err != nil {
		return nil, err
	}
	n.Addr = n.ports[sharedAgent].addr
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
	return n.listen(limiter, address)
}

func (n *Node) listen(limiter int, addr string) error {
	l, err := n.world.listenAt(addr, fault.Node, func(c *fault.Conn, s fault.Script) { n.serve(c, s, limiter) })
	if err == nil {
		n.ports[limiter] = port{l.Addr().String(), l}
	}
	return err
}

// Crash simulates the death of the node's process: its connections are reset and new ones refused.
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

// Restart makes a crashed node listen again at its addresses.
func (n *Node) Restart() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for limiter, p := range n.ports {
		if err := n.listen(limiter, p.addr); err != nil {
			return err
		}
	}
	return nil
}

const (
	maxDelayMs   = 12 // of the random delay before an answer
	maxBodyBytes = 20 << 10
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
				n.world.Audit.Reportf("node %s received bytes that are no valid command: %v", n.ID, bad)
				return
			}
			if !ok {
				break
			}
			if limiter != sharedAgent && len(args) > 3 {
				n.world.Discovery.mu.Lock()
				n.world.Audit.CommandReceived(limiter, n.machineID(), string(args[2]))
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
		if !n.world.SkipAudit {
			n.world.Audit.Received(args, n.Hall, string(answer), mayRun)
		}
		time.Sleep(delay)
		text = answer
	} else {
		text = n.randomAnswer(rng, args)
	}
	if _, err := conn.Send(text); err != nil {
		return false
	}
	return conn.RunIdleSteps() == nil
}

// randomAnswer draws an answer: mostly a value that contains the id of the request, the id of the node and a serial number.
func (n *Node) randomAnswer(rng *rand.Rand, args [][]byte) []byte {
	value := ""
	if len(args) > 2 {
		value = fmt.Sprintf("%s|%s|%d|", args[2], n.ID, n.answersMade.Add(1))
	}
	outcome := rng.Float64()
	if outcome < 0.02 {
		value += strings.Repeat("x", rng.IntN(maxBodyBytes))
	}
	n.world.Audit.Received(args, n.Hall, value, outcome < 0.94)
	if rng.Float64() < 0.2 {
		time.Sleep(time.Duration(rng.IntN(maxDelayMs)) * time.Millisecond)
	}
	switch {
	case outcome >= 0.94:
		return []byte("-BUSY\r\n")
	case outcome >= 0.88:
		return []byte("-ERR failed\r\n")
	}
	return ValueReply(value)
}

// ValueReply returns the reply of a node that serves a request with the given text.
func ValueReply(text string) []byte {
	b := resp.AppendBulk([]byte("*3\r\n"), []byte(text))
	return append(b, "$-1\r\n$-1\r\n"...)
}

// SetState sets the state and the start time of a node that discovery lists. A zero start time leaves the old one.
func (w *World) SetState(n *Node, state string, started time.Time) {
	w.Discovery.mu.Lock()
	if n.State.Store(state); state != "ready" {
		w.Discovery.recordLeaving(n)
	}
	if !started.IsZero() {
		n.Started = started.UnixMilli()
	}
	w.Discovery.mu.Unlock()
	w.Discovery.Publish()
}

// ReplaceMachine replaces a node's machine by a new one at the same address, with another id and the given start time.
func (w *World) ReplaceMachine(n *Node, at time.Time) {
	w.Discovery.mu.Lock()
	w.Discovery.recordLeaving(n)
	n.Renewed++
	n.Started = at.UnixMilli()
	n.State.Store("ready")
	w.Discovery.mu.Unlock()
	w.Discovery.Publish()
}
