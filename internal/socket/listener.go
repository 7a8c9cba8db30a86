package socket

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listener accepts client connections.
type Listener struct {
	*net.TCPListener
	raw    syscall.RawConn
	errors acceptErrors
}

// Listen opens a TCP listener on addr. Transient failures are retried.
func Listen(addr string) (*Listener, error) {
	config := net.ListenConfig{KeepAlive: noKeepAlive}
	l, err := RetryListen(func() (net.Listener, error) { return config.Listen(context.Background(), "tcp", addr) })
	if err != nil {
		return nil, err
	}
	tcp := l.(*net.TCPListener)
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return &Listener{TCPListener: tcp, raw: raw}, nil
}

// Serve accepts connections until the listener is closed. Where hasRoom reports that there is no room for one, it is closed before
// a byte of it is read; the others go to accept.
func (l *Listener) Serve(hasRoom func() bool, accept func(*Conn)) {
	for {
		tcp, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.errors.logAndPause(err)
			continue
		}
		if !hasRoom() {
			_ = tcp.Close()
			continue
		}
		if conn, err := Wrap(tcp); err == nil {
			accept(conn)
		}
	}
}

// HasPending reports whether a connection is waiting to be accepted.
func (l *Listener) HasPending() bool { return hasPending(l.raw) }

// HasPending reports whether a connection is waiting to be accepted by a TCP or Unix listener, or by one that RetryAccept returned.
func HasPending(l net.Listener) bool {
	if retrying, ok := l.(*retryListener); ok {
		l = retrying.Listener
	}
	c, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	return err == nil && hasPending(raw)
}

func hasPending(raw syscall.RawConn) (pending bool) {
	_ = raw.Control(func(fd uintptr) {
		events, err := pollNow(int(fd), unix.POLLIN)
		pending = err == nil && events&unix.POLLIN != 0
	})
	return pending
}
