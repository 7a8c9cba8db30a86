// Package socket wraps netpoll connections for the packages that share them: dialing, the only safe way to write, and an
// outbox that queues outgoing bytes, so that a peer that does not read delays nobody but itself.
//
// netpoll frees a connection's buffers and closes its descriptor when either side ends the connection, and reuses both for
// other connections at once. Its own locks cover only some uses:
//
//   - Writer().Malloc, WriteBinary and similar calls take no lock. Only Flush and Write take netpoll's "flushing" lock, which
//     the closing side waits for before it frees the buffers. Bytes may only be added under that lock, so Write is the only
//     safe way.
//   - Reader() may be used only inside the OnRequest callback: the "processing" lock keeps the closing side out until the
//     callback returns.
//   - The descriptor may be queried only while a lock of this package keeps the closing side out, since netpoll has none
//     for it.
//
// Conn offers only the safe operations, and no other package touches a netpoll connection.
package socket

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"bramblefall/internal/crash"
)

// Conn is a connection that is safe to use while either side closes it.
type Conn struct {
	raw netpoll.Connection

	mu            sync.Mutex // keeps the descriptor from being closed and reused while the kernel is asked about it
	closing       bool       // the descriptor is about to be closed; it must not be used any more
	closedLocally bool       // this side has closed the connection
	onEnd         func()
	answerLate    func([]byte) []byte // optional: answers bytes read from the kernel but not delivered before the local close
	endReported   bool                // onEnd has been called, or must not be

	deliveredBytes atomic.Uint64 // bytes passed to the owner since the connection was established
}

// Wrap returns a Conn for a connection that a listener has accepted. It is called in netpoll's OnPrepare callback.
func Wrap(raw netpoll.Connection) *Conn { return &Conn{raw: raw} }

// Dial connects to addr. The timeout includes the repeated attempts after transient failures.
func Dial(addr string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	tcpAddr, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	raw, err := RetryDial(ctx, dialRetryBudget, func() (*netpoll.TCPConnection, error) {
		return netpoll.DialTCP(ctx, "tcp", nil, &netpoll.TCPAddr{TCPAddr: *tcpAddr})
	})
	if err != nil {
		return nil, err
	}
	return Wrap(raw), nil
}

// SetLateHandler sets the function that answers bytes that had been read from the kernel but not delivered when this side
// closed the connection. The handler runs at most once, after the last onReadable call. Call SetLateHandler before Serve.
func (c *Conn) SetLateHandler(answer func(b []byte) []byte) { c.answerLate = answer }

// Serve sets the callbacks. onReadable is called when bytes have arrived, one call at a time. onEnd is called once, in its
// own goroutine, when either side has ended the connection, even if that was before Serve. After Discard it is not called.
func (c *Conn) Serve(onReadable, onEnd func()) {
	c.onEnd = onEnd
	// The close callback is set first: without a request callback netpoll leaves the close to this package, so no end is missed
	// between the two calls.
	_ = c.raw.AddCloseCallback(func(netpoll.Connection) error {
		defer crash.Guard()
		c.answerRemaining()
		c.mu.Lock()
		c.closing = true // netpoll's own callback, which closes the descriptor, runs after this one
		c.mu.Unlock()
		c.reportEnd()
		return nil
	})
	_ = c.raw.SetOnRequest(func(context.Context, netpoll.Connection) error {
		defer crash.Guard() // netpoll's goroutine pool would recover from a panic and continue
		onReadable()
		return nil
	})
	if !c.raw.IsActive() { // it ended before the callbacks were set and may have bypassed them
		c.Close()
		c.reportEnd()
	}
}

// answerRemaining has the bytes left in netpoll's buffer answered before the descriptor is closed. It cannot overlap with
// onReadable: netpoll calls it while it holds "processing".
func (c *Conn) answerRemaining() {
	c.mu.Lock()
	closedLocally := c.closedLocally
	c.mu.Unlock()
	if c.answerLate != nil && closedLocally {
		c.awaitPoller()
	}
	if n := c.raw.Reader().Len(); c.answerLate != nil && closedLocally && n > 0 {
		if b, err := c.raw.Reader().Next(n); err == nil {
			c.WriteDirect(c.answerLate(b))
		}
	}
}

// WriteDirect writes a few bytes straight to the descriptor of a connection that this side is closing, where Write no longer
// works. Nothing else may be queued for writing.
func (c *Conn) WriteDirect(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closing && len(b) > 0 {
		n, err := syscall.Write(c.raw.(netpoll.Conn).Fd(), b)
		if err != nil && err != syscall.EINTR {
			return
		}
		b = b[max(n, 0):]
	}
}

// receivedBytes returns how many bytes the kernel has received from the peer in total, and how many of them are still unread in
// its buffer. ok is false where the kernel does not report it.
func (c *Conn) receivedBytes() (total, unread uint64, ok bool) {
	fd := c.raw.(netpoll.Conn).Fd()
	queued, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		return 0, 0, false
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.Bytes_received == 0 {
		return 0, 0, false
	}
	return info.Bytes_received, uint64(queued), true
}

const siocOutqNSD = 0x894b // ioctl SIOCOUTQNSD: bytes in the send queue that have not been sent

const (
	pollerTimeout       = 5 * time.Millisecond // for bytes that netpoll's poller has read from the kernel but not yet buffered
	pollerCheckInterval = 10 * time.Microsecond
)

// awaitPoller waits until the bytes that the poller has read are in the buffer. It is called once the poller gets no further
// events for the connection.
func (c *Conn) awaitPoller() {
	for until := time.Now().Add(pollerTimeout); time.Now().Before(until); time.Sleep(pollerCheckInterval) {
		all, waiting, ok := c.receivedBytes()
		if !ok || all <= c.deliveredBytes.Load()+waiting+uint64(c.raw.Reader().Len()) {
			return
		}
	}
}

func (c *Conn) reportEnd() {
	c.mu.Lock()
	first := !c.endReported
	c.endReported = true
	c.mu.Unlock()
	if first {
		crash.Go(c.onEnd)
	}
}

const maxTakeBytes = 64 << 10 // passed on by one call of TakeLimited

// Take passes all buffered bytes to feed. It may be called only inside the onReadable callback; feed must not keep the bytes,
// since netpoll reuses them afterwards.
func (c *Conn) Take(feed func([]byte)) error {
	return c.take(c.raw.Reader().Len(), feed)
}

// TakeLimited is Take with at most maxTakeBytes a call, for a peer that may send more at once than should be held twice in
// memory. onReadable is called again for the rest.
func (c *Conn) TakeLimited(feed func([]byte)) error {
	return c.take(min(c.raw.Reader().Len(), maxTakeBytes), feed)
}

func (c *Conn) take(n int, feed func([]byte)) error {
	r := c.raw.Reader()
	b, err := r.Next(n)
	if err != nil {
		return err
	}
	c.deliveredBytes.Add(uint64(n))
	feed(b)
	return r.Release()
}

// SetWriteTimeout bounds how long Write waits for a peer that does not read.
func (c *Conn) SetWriteTimeout(d time.Duration) { _ = c.raw.SetWriteTimeout(d) }

// Write sends all of b. It must be called from one goroutine at a time. After an error the last byte has not been written,
// unless MayBeWritten reports otherwise.
func (c *Conn) Write(b []byte) error {
	_, err := c.raw.Write(b)
	for errors.Is(err, syscall.EINTR) { // netpoll keeps the unsent bytes for the next flush
		_, err = c.raw.Write(nil)
	}
	return err
}

// MayBeWritten reports whether a failed write may still have sent its last byte: after a timeout netpoll's poller may still be
// sending the rest.
func MayBeWritten(err error) bool { return errors.Is(err, netpoll.ErrWriteTimeout) }

// Active reports whether neither side has ended the connection, as far as netpoll has noticed.
func (c *Conn) Active() bool { return c.raw.IsActive() }

// Drained reports whether the connection is open and has no unread bytes. It also asks the kernel, since bytes or an end of
// stream may have arrived that netpoll has not seen.
func (c *Conn) Drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.raw.IsActive() {
		return false
	}
	// The kernel is asked first: bytes that the poller reads between the two checks are in the buffer by the second.
	var one [1]byte
	_, _, err := syscall.Recvfrom(c.raw.(netpoll.Conn).Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN && c.raw.Reader().Len() == 0
}

// DrainedThroughPoller is Drained for a connection that is about to be closed: it also detects bytes that the poller has read
// from the kernel but not yet put into the buffer.
func (c *Conn) DrainedThroughPoller() bool {
	if !c.Drained() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	all, _, ok := c.receivedBytes()
	return !ok || all == c.deliveredBytes.Load()
}

// AllSent reports whether the kernel has sent everything that was written. Guards against a close that crosses incoming bytes:
// the kernel then resets the connection and drops whatever it still holds of the last answers. Bytes already on the wire arrive
// before the reset. It does not wait for the peer's acknowledgment, which may take 40 ms, during which the peer keeps sending.
func (c *Conn) AllSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.raw.IsActive() {
		return true
	}
	left, err := unix.IoctlGetInt(c.raw.(netpoll.Conn).Fd(), siocOutqNSD)
	return err != nil || left == 0
}

// PeerClosed reports whether the peer has closed the connection or its sending side. It asks the kernel, since netpoll may not
// have processed the event yet, and also detects a close behind bytes that nobody has read.
func (c *Conn) PeerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.raw.IsActive() {
		return true
	}
	events, err := pollNow(c.raw.(netpoll.Conn).Fd(), unix.POLLRDHUP)
	return err == nil && events != 0
}

// pollNow polls a descriptor without blocking, again if a signal interrupts the call.
func pollNow(fd int, events int16) (int16, error) {
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if _, err := unix.Poll(polled, 0); err != unix.EINTR {
			return polled[0].Revents, err
		}
	}
}

// Abort shuts down both directions immediately, even during a write, and does not block. Close must still be called; it then
// resets the connection, and bytes that the kernel still holds are not sent.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		fd := c.raw.(netpoll.Conn).Fd()
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	}
}

// Discard closes the connection like Close but never calls onEnd. Guards against an owner that drops many connections at once:
// each onEnd goroutine would wait for the owner's lock, only to find nothing to do.
func (c *Conn) Discard() {
	c.mu.Lock()
	c.endReported = true
	c.mu.Unlock()
	c.Close()
}

// Close closes the connection. It waits for a write in progress to notice, but never for the peer.
func (c *Conn) Close() {
	c.mu.Lock()
	c.closedLocally = true
	c.mu.Unlock()
	_ = c.raw.Close()
}
