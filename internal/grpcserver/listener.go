package grpcserver

import (
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"bramblefall/internal/memory"
	"bramblefall/internal/socket"
)

const (
	newConnectionGrace  = time.Second            // in which a new connection is expected to bring its first call
	evictionTimeout     = 100 * time.Millisecond // in which the server ends what it holds for a connection that was closed here
	rejectedLogInterval = time.Second
	acceptPollInterval  = time.Millisecond
)

// Listen wraps a listener whose connections a server made by New serves. It holds at most maxConnections. A further one displaces
// the one that has been idle longest; where all are busy it is closed before a byte of it is read.
func Listen(l net.Listener, maxConnections int, monitor *memory.Monitor) *Listener {
	return &Listener{Listener: l, maxConnections: maxConnections, monitor: monitor, connections: map[*gatedConn]struct{}{}, freed: make(chan struct{}, 1)}
}

// Listener accepts connections that are read from only while what they send can be held. Listen makes one.
type Listener struct {
	net.Listener
	maxConnections int
	monitor        *memory.Monitor

	rejected       int // connections rejected for want of room since the last log line; used only by Accept
	rejectedLogged time.Time
	endOverdue     bool // the server has not ended a connection in time: others are not kept waiting for it; used only by Accept

	mu          sync.Mutex
	connections map[*gatedConn]struct{} // including those that were closed here and that the server has yet to end
	freed       chan struct{}           // holds a token once the server has ended a connection
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.ensureRoom() {
			_ = conn.Close()
			l.noteRejected()
			continue
		}
		if c := l.hold(conn); c != nil {
			return c, nil
		}
	}
}

// hold counts a connection as held until it is closed. It returns nil for one that cannot be used.
func (l *Listener) hold(conn net.Conn) *gatedConn {
	descriptor, err := socket.DescriptorOf(conn)
	if err != nil {
		_ = conn.Close()
		return nil
	}
	c := newGatedConn(conn, descriptor, l)
	l.mu.Lock()
	l.connections[c] = struct{}{}
	l.mu.Unlock()
	return c
}

func (l *Listener) forget(c *gatedConn) {
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// ensureRoom reports whether there is room for one more connection, evicting an idle one if necessary. The room of one that was closed
// is free once the server has ended it: callers who come faster than the server ends others would otherwise pass the memory limit.
func (l *Listener) ensureRoom() bool {
	if l.hasRoom() {
		l.endOverdue = false
		return true
	}
	if !l.closeGone() && !l.evictIdle() || l.endOverdue {
		return false
	}
	l.endOverdue = !l.awaitRoom(evictionTimeout)
	return !l.endOverdue
}

// awaitRoom waits until the server has ended a connection, and reports whether it has in time.
func (l *Listener) awaitRoom(most time.Duration) bool {
	timeout := time.NewTimer(most)
	defer timeout.Stop()
	for !l.hasRoom() {
		select {
		case <-l.freed:
		case <-timeout.C:
			return false
		}
	}
	return true
}

func (l *Listener) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections) < l.maxConnections
}

func (l *Listener) list() []*gatedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*gatedConn, 0, len(l.connections))
	for c := range l.connections {
		list = append(list, c)
	}
	return list
}

// closeGone closes the connections whose callers have closed them, which the server has not had the time to find out. It reports
// whether any is closed here that the server has yet to end.
func (l *Listener) closeGone() bool {
	ending := false
	for _, c := range l.list() {
		if c.descriptor.PeerClosed() {
			_ = c.shut()
		}
		ending = ending || c.closed.Load()
	}
	return ending
}

// evictIdle closes the connection that has been idle longest, and reports whether it found one. Those that have brought no call for
// more than newConnectionGrace go first; a newer one is expected to bring one soon. One of which a part of a call has
// come counts as idle since then: nothing of that call has been taken. So callers who come in a rush and send parts of calls displace
// each other, not one that has just connected.
func (l *Listener) evictIdle() bool {
	var idle []idleConnection
	for _, c := range l.list() {
		if since, ok := c.idleSince(); ok {
			idle = append(idle, idleConnection{c, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConnection) int { return a.since.Compare(b.since) })
	for _, i := range idle {
		if i.connection.closeIfIdle() {
			return true
		}
	}
	return false
}

// AwaitAccepted blocks, at most for the given time, until no connection waits in the kernel's queue and the server serves all that
// were accepted: a server that stops closes the others, whatever they have sent. It is called before the server is stopped.
func (l *Listener) AwaitAccepted(timeout time.Duration) {
	for until := time.Now().Add(timeout); l.hasUnserved() && time.Now().Before(until); {
		time.Sleep(acceptPollInterval)
	}
}

// hasUnserved reports whether a connection waits to be accepted, or to be served.
func (l *Listener) hasUnserved() bool {
	if socket.HasPending(l.Listener) {
		return true
	}
	return slices.ContainsFunc(l.list(), func(c *gatedConn) bool { return !c.served.Load() && !c.closed.Load() })
}

// noteRejected logs now and then how many connections were rejected.
func (l *Listener) noteRejected() {
	l.rejected++
	if time.Since(l.rejectedLogged) < rejectedLogInterval {
		return
	}
	slog.Warn("callers' connections turned away unread: no room", "at", l.Addr().String(), "connections", l.rejected, "room", l.maxConnections)
	l.rejected, l.rejectedLogged = 0, time.Now()
}

// idleConnection is a connection that could be closed to make room.
type idleConnection struct {
	connection *gatedConn
	since      time.Time
}

// idleSince returns since when a connection has been idle, as far as its bytes have been read. ok is false where it is not.
func (c *gatedConn) idleSince() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.lastUsedAt
	if c.streams.latest == 0 && time.Since(since) > newConnectionGrace {
		since = since.Add(-neverUsedPenalty)
	}
	return since, c.isIdle()
}

// isIdle reports whether no call is in progress on the connection of which the whole has come. It is called with c.mu held.
func (c *gatedConn) isIdle() bool {
	return !c.evicted && !c.writing && !c.owesAnswer() && c.sent.atBoundary()
}

// neverUsedPenalty is added to the idle time of a connection that has brought no call, so that it goes before those that have.
const neverUsedPenalty = time.Hour

// goAwayTimeout bounds the write of the last frame; the kernel has room for it unless the caller has stopped reading.
const goAwayTimeout = 10 * time.Millisecond

// closeIfIdle closes the connection if it is idle, and reports whether it does. The kernel is asked for unread bytes until
// the last moment, and later ones are not read. The caller is told up to which of its streams calls were taken, so that it can make
// a later one elsewhere.
func (c *gatedConn) closeIfIdle() bool {
	c.mu.Lock()
	ends := c.isIdle() && c.descriptor.Drained()
	c.evicted = c.evicted || ends
	latest, greeted := c.streams.latest, c.sent.frames > 0
	c.mu.Unlock()
	if !ends {
		return false
	}
	if greeted {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(goAwayTimeout))
		_ = http2.NewFramer(c.Conn, nil).WriteGoAway(latest, http2.ErrCodeNo, nil)
	}
	_ = c.shut()
	return true
}
