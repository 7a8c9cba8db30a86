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
	initialRetryPause = 2 * time.Millisecond // before the first retry of a transient failure; doubled each time
	maxRetryPause     = 64 * time.Millisecond
	listenRetryBudget = 5 * time.Second
	acceptRetryPause  = time.Millisecond
	acceptLogInterval = time.Second // minimum time between two log lines about failing accepts
)

// IsResourceShortage reports whether a system call failed because this machine is short of descriptors, buffers or ports. The
// peer is not to blame.
func IsResourceShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// isTransient reports whether a failed call may succeed a moment later although nothing else has changed.
func isTransient(err error) bool {
	return IsResourceShortage(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EINTR)
}

// retry repeats a call while it fails with a transient error, with exponential backoff whose pauses add up to less than the
// budget.
func retry(ctx context.Context, budget time.Duration, call func() error) error {
	pause := initialRetryPause
	for until := time.Now().Add(budget); ; pause = min(2*pause, maxRetryPause) {
		err := call()
		if err == nil || !isTransient(err) || ctx.Err() != nil || time.Now().Add(pause).After(until) {
			return err
		}
		time.Sleep(pause)
	}
}

// dialRetryBudget bounds the retry pauses of a dial for which another peer could be tried instead.
const dialRetryBudget = 64 * time.Millisecond

// RetryDial dials, retrying transient failures with pauses that add up to less than the budget. Guards against blaming a peer for
// a failure on this machine.
func RetryDial[C any](ctx context.Context, budget time.Duration, dial func() (C, error)) (conn C, err error) {
	err = retry(ctx, budget, func() error {
		conn, err = dial()
		return err
	})
	return conn, err
}

// RetryListen opens a listener, retrying transient failures. Guards against a start that fails because of one.
func RetryListen[L any](listen func() (L, error)) (l L, err error) {
	err = retry(context.Background(), listenRetryBudget, func() error {
		l, err = listen()
		return err
	})
	return l, err
}

// acceptErrors limits how often failing accepts are logged.
type acceptErrors struct{ lastLoggedAt atomic.Int64 }

// logAndPause logs a failed accept, unless one was logged recently, and sleeps briefly.
func (e *acceptErrors) logAndPause(err error) {
	now := time.Since(logClockStart)
	if last := time.Duration(e.lastLoggedAt.Load()); last == 0 || now-last >= acceptLogInterval {
		e.lastLoggedAt.Store(int64(now))
		slog.Warn("cannot accept a connection, trying again", "err", err)
	}
	time.Sleep(acceptRetryPause)
}

var logClockStart = time.Now().Add(-time.Hour) // an hour before the start, so that a lastLoggedAt of 0 is never recent

// retryListener returns no error but that of its own close. Guards against servers that treat one failed accept as the end of the
// listener: on Linux, accept also returns errors of the new connection and of resource shortage.
type retryListener struct {
	net.Listener
	errors acceptErrors
}

// RetryAccept returns a listener whose Accept retries after errors other than its own close.
func RetryAccept(l net.Listener) net.Listener { return &retryListener{Listener: l} }

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.errors.logAndPause(err)
	}
}
