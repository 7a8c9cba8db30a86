package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bramblefall/internal/socket"
)

// activityMonitor detects a response that has stalled. It watches the connection itself: net/http passes on a chunk only when
// it is complete, so that a reader of the body cannot tell a chunk that stops short from no data at all.
//
// Only silence of the peer is a stall. While this process decodes or applies what came, or gets no processor time, the peer may
// have sent more, so the timeout counts from when the reader finds nothing to read, and the kernel is asked for bytes at its end.
type activityMonitor struct {
	timing     timing
	stalls     int // watches in a row that stalled within a message before this one
	timer      *time.Timer
	finalCheck atomic.Bool // the timeout has passed, and the connection is checked once more
	midLine    atomic.Bool // the last byte read from the connection was no line end
	inList     atomic.Bool // the body is within a list

	mu      sync.Mutex // held during each read from the kernel
	conn    syscall.RawConn
	waiting bool // the last read found nothing
	begun   bool // bytes have been read
}

// midMessage reports whether the response is within a line, or within a list of several lines. An indented list that stops
// at the end of one of its lines must not get the longer timeout that applies between two lists.
func (m *activityMonitor) midMessage() bool { return m.midLine.Load() || m.inList.Load() }

// isStalled is called when the timeout has passed, and reports whether the response has stalled. If it has not, or if that is
// to be checked once more, the timer is started again.
func (m *activityMonitor) isStalled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn != nil && (!m.waiting || m.hasPending()) {
		m.finalCheck.Store(false)
		m.timer.Reset(finalCheckDelay)
		return false
	}
	return !m.beginFinalCheck()
}

// hasPending reports whether the kernel has bytes of the response, or its end, that were not read yet.
func (m *activityMonitor) hasPending() (pending bool) {
	_ = m.conn.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// beginFinalCheck is called when the timeout has passed. The first time it restarts the timer with finalCheckDelay and
// returns true, since a peer that was paused together with this process may have bytes on the way. The second time without
// activity in between it returns false, and the stall is reported.
func (m *activityMonitor) beginFinalCheck() bool {
	if m.finalCheck.Swap(true) {
		return false
	}
	m.timer.Reset(finalCheckDelay)
	return true
}

// noteActivity restarts the timer after bytes were received, or a list began or ended.
func (m *activityMonitor) noteActivity() {
	m.finalCheck.Store(false)
	if m.midMessage() {
		m.timer.Reset(m.timing.stallTimeoutAfter(m.stalls))
	} else {
		m.timer.Reset(keepaliveTimeout)
	}
}

// setInList records whether the body is within a list.
func (m *activityMonitor) setInList(inList bool) {
	if m.inList.Swap(inList) != inList {
		m.noteActivity()
	}
}

// read reads from the kernel what it has, and returns EAGAIN if that is nothing.
func (m *activityMonitor) read(fd int, b []byte) (n int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, err = syscall.Read(fd, b); err == syscall.EINTR; {
		n, err = syscall.Read(fd, b)
	}
	switch {
	case n > 0:
		m.begun, m.waiting = true, false
		m.midLine.Store(b[n-1] != '\n')
		m.noteActivity()
	case err == syscall.EAGAIN && !m.waiting:
		if m.waiting = true; m.begun { // the time for the first byte also includes the dial
			m.noteActivity()
		}
	}
	return n, err
}

// dial connects to discovery. It retries, because a transient local failure would count as a refusal by
// discovery, and the next request could be seconds away.
func (m *activityMonitor) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := socket.RetryDial(ctx, dialTimeout, func() (net.Conn, error) {
		return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	})
	if err != nil {
		return nil, err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conn = raw
	return monitoredConn{conn, raw, m}, nil
}

// monitoredConn is a connection that an activityMonitor reads for.
type monitoredConn struct {
	net.Conn
	raw     syscall.RawConn
	monitor *activityMonitor
}

// Read implements net.Conn.
func (c monitoredConn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	closed := c.raw.Read(func(fd uintptr) bool {
		n, err = c.monitor.read(int(fd), b)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case closed != nil:
		return 0, closed
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
