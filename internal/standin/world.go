package standin

import (
	"net"
	"sync"

	"bramblefall/internal/fault"
	"bramblefall/internal/loopback"
)

// World is the set of peers of one or more limiters. The peers take the fault scripts of a plan in turn.
type World struct {
	Audit     *Auditor
	SkipAudit bool // clients are not run by this world, so commands that a Handle answers are not audited

	mu          sync.Mutex
	scripts     [fault.NumRoles][]fault.Script
	nextScripts [fault.NumRoles]int
	closers     []func() error
	conns       map[net.Conn]struct{}
	Nodes       []*Node
	Counter     *Counter
	Discovery   *Discovery
}

// NewWorld returns a world without peers. Peers of a role that has no scripts in the plan inject no faults.
func NewWorld(p fault.Plan) *World {
	w := &World{Audit: NewAuditor(), conns: map[net.Conn]struct{}{}}
	for r := range fault.NumRoles {
		w.scripts[r] = p.ByRole(r)
	}
	return w
}

// nextScript returns the next script of a role.
func (w *World) nextScript(r fault.Role) fault.Script {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nextScripts[r]
	w.nextScripts[r]++
	if len(w.scripts[r]) == 0 {
		return fault.Script{Role: r, Seed: uint64(n)}
	}
	s := w.scripts[r][n%len(w.scripts[r])]
	s.Seed += uint64(n / len(w.scripts[r])) // a script that is used again keeps its faults and draws other answers
	return s
}

// listen accepts connections on a loopback address of its own until the world is closed.
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
	w.Audit.ConnectionOpened()
	s := w.nextScript(r)
	if c, err := fault.NewConn(conn, s); err == nil {
		serve(c, s)
	}
}

// Close stops all peers.
func (w *World) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, closeListener := range w.closers {
		_ = closeListener()
	}
	for conn := range w.conns {
		_ = conn.Close()
	}
}
