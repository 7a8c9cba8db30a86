package socket

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	firstPause  = 2 * time.Millisecond // between two tries of a call that failed for a moment; doubled each time
	lastPause   = 64 * time.Millisecond
	startPauses = 5 * time.Second
	acceptPause = time.Millisecond
	acceptLog   = time.Second // between two lines of the log on failing accepts
)

// Shortage tells whether a system call failed for want of something on this machine: descriptors, buffers or ports. No peer is
// to blame for it.
func Shortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// momentary tells whether a call that failed may come about a moment later though nothing else has changed.
func momentary(err error) bool {
	return Shortage(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EINTR)
}

// retry makes a call again while it fails for a moment, with pauses that add up to less than the limit.
func retry(ctx context.Context, limit time.Duration, call func() error) error {
	pause := firstPause
	for until := time.Now().Add(limit); ; pause = min(2*pause, lastPause) {
		err := call()
		if err == nil || !momentary(err) || ctx.Err() != nil || time.Now().Add(pause).After(until) {
			return err
		}
		time.Sleep(pause)
	}
}

// DialPauses is how long a dial that fails for a moment is made again where another peer could be asked instead.
const DialPauses = 64 * time.Millisecond

// RetryDial makes a connection, again while that fails for a moment, with pauses that add up to less than the limit. Guards
// against a peer that is blamed for it.
func RetryDial[C any](ctx context.Context, limit time.Duration, dial func() (C, error)) (conn C, err error) {
	err = retry(ctx, limit, func() error {
		conn, err = dial()
		return err
	})
	return conn, err
}

// RetryListen opens a listener, again while that fails for a moment. Guards against a start that is refused for it.
func RetryListen[L any](listen func() (L, error)) (l L, err error) {
	err = retry(context.Background(), startPauses, func() error {
		l, err = listen()
		return err
	})
	return l, err
}

// acceptErrors counts failing accepts for the log.
type acceptErrors struct{ told atomic.Int64 }

// pause notes an accept that failed and waits a little.
func (e *acceptErrors) pause(err error) {
	now := time.Since(begun)
	if last := time.Duration(e.told.Load()); last == 0 || now-last >= acceptLog {
		e.told.Store(int64(now))
		slog.Warn("cannot accept a connection, trying again", "err", err)
	}
	time.Sleep(acceptPause)
}

var begun = time.Now().Add(-time.Hour) // so that 0 is long ago

// steadyListener hands on no error but that of its own end. Guards against servers that take one failed accept for the end of
// the listener: Linux passes errors of the connection that is taken, and those of a short system, to accept.
type steadyListener struct {
	net.Listener
	errors acceptErrors
}

// Steady makes a listener whose accepts go on after errors.
func Steady(l net.Listener) net.Listener { return &steadyListener{Listener: l} }

// Accept implements net.Listener.
func (l *steadyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.errors.pause(err)
	}
}
