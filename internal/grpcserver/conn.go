package grpcserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/memory"
)

const (
	writeTimeout  = 5 * time.Second // a caller that takes longer to accept one write is not reading
	reliefTimeout = time.Second     // longest pause of a reader while memory is short
	turnTimeout   = 10 * time.Millisecond
)

// bulkTurn is held by one reader at a time from when it has read a full buffer until it reads again, so that callers who send much
// leave the processor to others. A reader does not wait longer than turnTimeout: the holder may be blocked by its own caller.
var bulkTurn = make(chan struct{}, 1)

// gatedListener accepts connections that are read from only while what they send can be held.
type gatedListener struct {
	net.Listener
	monitor *memory.Monitor
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gatedConn{Conn: conn, monitor: l.monitor}
	c.written = sync.NewCond(&c.mu)
	return c, nil
}

// gatedConn is a connection whose reader waits while a write to it waits: a caller that does not read its answers is sent more of
// them with each call.
type gatedConn struct {
	net.Conn
	monitor *memory.Monitor

	readFull bool // the last read filled its buffer
	hasTurn  atomic.Bool
	closed   atomic.Bool

	mu      sync.Mutex
	written *sync.Cond
	writing bool
}

// Read implements net.Conn. The library calls it for one read at a time.
func (c *gatedConn) Read(b []byte) (int, error) {
	c.releaseTurn()
	c.awaitWritten()
	for began := time.Now(); c.monitor.Pressed() && time.Since(began) < reliefTimeout; {
		c.monitor.AwaitRelief(memory.MaxReliefPause)
	}
	n, err := c.Conn.Read(b)
	if c.readFull {
		c.awaitTurn()
	}
	c.readFull = n == len(b)
	c.monitor.NoteRead(n)
	return n, err
}

func (c *gatedConn) awaitTurn() {
	timeout := time.NewTimer(turnTimeout)
	defer timeout.Stop()
	select {
	case bulkTurn <- struct{}{}:
		c.hasTurn.Store(true)
	case <-timeout.C:
	}
	if c.closed.Load() { // nothing more is read
		c.releaseTurn()
	}
}

func (c *gatedConn) releaseTurn() {
	if c.hasTurn.CompareAndSwap(true, false) {
		<-bulkTurn
	}
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.closed.Store(true)
	c.releaseTurn()
	return c.Conn.Close()
}

func (c *gatedConn) awaitWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing {
		c.written.Wait()
	}
}

// Write implements net.Conn. After an error the library closes the connection.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.setWriting(true)
	defer c.setWriting(false)
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *gatedConn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing = writing; !writing {
		c.written.Broadcast()
	}
}
