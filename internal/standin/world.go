package standin

import (
	"net"
	"sync"

	"bramblefall/internal/fault"
	"bramblefall/internal/loopback"
)

// World is what one or more limiters meet. Its peers follow the scripts of a plan, in turn.
type World struct {
	Audit     *Audit
	Unchecked bool // clients are not this world's: nodes take any command

	mu        sync.Mutex
	scripts   [fault.Roles][]fault.Script
	next      [fault.Roles]int
	closers   []func() error
	conns     map[net.Conn]struct{}
	Nodes     []*Node
	Counter   *Counter
	Discovery *Discovery
}

// NewWorld makes a world without peers. A role without scripts makes no faults.
func NewWorld(p fault.Plan) *World {
	w := &World{Audit: NewAudit(), conns: map[net.Conn]struct{}{}}
	for r := range fault.Roles {
		w.scripts[r] = p.Of(r)
	}
	return w
}

// script is the next of a role.
func (w *World) script(r fault.Role) fault.Script {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.next[r]
	w.next[r]++
	if len(w.scripts[r]) == 0 {
		return fault.Script{Role: r, Seed: uint64(n)}
	}
	s := w.scripts[r][n%len(w.scripts[r])]
	s.Seed += uint64(n / len(w.scripts[r])) // the same faults again, with other answers
	return s
}

// listen takes connections on a loopback address of its own until the world is closed.
func (w *World) listen(r fault.Role, serve func(*fault.Conn, fault.Script)) (string, error) {
	address, err := loopback.AnyPort()
	if err != nil {
		return "", err
	}
	l, err := w.listenAt(address, r, serve)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), nil
}

func (w *World) listenAt(addr string, r fault.Role, serve func(*fault.Conn, fault.Script)) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.closers = append(w.closers, l.Close)
	w.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn, r, serve)
		}
	}()
	return l, nil
}

func (w *World) serve(conn net.Conn, r fault.Role, serve func(*fault.Conn, fault.Script)) {
	w.mu.Lock()
	w.conns[conn] = struct{}{}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
		_ = conn.Close()
	}()
	w.Audit.Opened()
	s := w.script(r)
	if c, err := fault.Follow(conn, s); err == nil {
		serve(c, s)
	}
}

// Close ends all peers.
func (w *World) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range w.closers {
		_ = end()
	}
	for conn := range w.conns {
		_ = conn.Close()
	}
}
