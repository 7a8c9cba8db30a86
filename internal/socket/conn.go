// Package socket holds what the parts share of their netpoll connections: the dial, the one way to write, and the
// outbox of bytes that wait to be written, so that a peer that does not read stalls nobody but itself.
//
// netpoll frees a connection's buffers and its descriptor when either side ends it, and both are used again for other
// connections at once. Its own locks cover some ways of use and not others:
//
//   - Writer().Malloc, WriteBinary and their kin take no lock. Only Flush and Write take "flushing", which the closer
//     waits for before it frees. Bytes may only be put in under that lock, so Write is the one way.
//   - Reader() may be used inside the OnRequest callback alone: "processing" keeps the closer out until it returns.
//   - The descriptor may be asked about only while the closer is kept out by a lock of ours, since netpoll has none.
//
// Conn offers just these, and no other package sees a netpoll connection.
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

// Conn is a connection whose use cannot meet its end.
type Conn struct {
	raw netpoll.Connection

	mu    sync.Mutex // keeps the descriptor from being closed, and used again, while the kernel is asked about it
	over  bool       // the descriptor is about to be closed
	ours  bool       // the end is ours
	ended func()
	late  func([]byte) []byte // nil, or answers what was taken from the kernel and not told before our own end
	told  bool                // of the end

	handed atomic.Uint64 // bytes, since the connection came up
}

// Wrap makes a Conn of a connection that a listener has accepted, in its OnPrepare callback.
func Wrap(raw netpoll.Connection) *Conn { return &Conn{raw: raw} }

// Dial connects within the limit.
func Dial(addr string, limit time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	raw, err := RetryDial(ctx, DialPauses, func() (*netpoll.TCPConnection, error) {
		return netpoll.DialTCP(ctx, "tcp", nil, &netpoll.TCPAddr{TCPAddr: *at})
	})
	if err != nil {
		return nil, err
	}
	return Wrap(raw), nil
}

// Late sets who answers bytes that had been taken from the kernel, and were not told of, when we ended the connection. It
// is called once at most, after the last ready, and before Serve.
func (c *Conn) Late(answer func(b []byte) []byte) { c.late = answer }

// Serve sets what happens when bytes have come, one call at a time, and once, in a goroutine of its own, when the
// connection has ended, by either side, even if that was before this call. Behind Discard no end is told.
func (c *Conn) Serve(ready, ended func()) {
	c.ended = ended
	// The end first: without a reader netpoll leaves it to us to close, so none is missed between the two.
	_ = c.raw.AddCloseCallback(func(netpoll.Connection) error {
		defer crash.Guard()
		c.last()
		c.mu.Lock()
		c.over = true // netpoll's own callback, which closes the descriptor, comes after this one
		c.mu.Unlock()
		c.tell()
		return nil
	})
	_ = c.raw.SetOnRequest(func(context.Context, netpoll.Connection) error {
		defer crash.Guard() // netpoll's pool of goroutines would recover a panic and go on
		ready()
		return nil
	})
	if !c.raw.IsActive() { // it ended before the callbacks stood, and may have passed them by
		c.Close()
		c.tell()
	}
}

// last has what lies in netpoll's buffer answered before the descriptor is closed. It runs where ready does not: netpoll
// calls it with "processing" taken.
func (c *Conn) last() {
	c.mu.Lock()
	ours := c.ours
	c.mu.Unlock()
	if c.late != nil && ours {
		c.awaitPoller()
	}
	if n := c.raw.Reader().Len(); c.late != nil && ours && n > 0 {
		if b, err := c.raw.Reader().Next(n); err == nil {
			c.Say(c.late(b))
		}
	}
}

// Say writes a few bytes at once on a connection that we are ending, where Write does not go any more. Nothing else may be
// waiting to be written.
func (c *Conn) Say(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.over && len(b) > 0 {
		n, err := syscall.Write(c.raw.(netpoll.Conn).Fd(), b)
		if err != nil && err != syscall.EINTR {
			return
		}
		b = b[max(n, 0):]
	}
}

// received is how many bytes the kernel has had of the peer, of which waiting are still with it; ok is false where it does not say.
func (c *Conn) received() (all, waiting uint64, ok bool) {
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

const notSent = 0x894b // SIOCOUTQNSD

const (
	pollerLimit = 5 * time.Millisecond // for bytes that netpoll's poller has taken and not put into the buffer yet
	pollerPause = 10 * time.Microsecond
)

// awaitPoller waits until what the poller has taken is in the buffer. It is called once the poller is told of no more.
func (c *Conn) awaitPoller() {
	for until := time.Now().Add(pollerLimit); time.Now().Before(until); time.Sleep(pollerPause) {
		all, waiting, ok := c.received()
		if !ok || all <= c.handed.Load()+waiting+uint64(c.raw.Reader().Len()) {
			return
		}
	}
}

func (c *Conn) tell() {
	c.mu.Lock()
	first := !c.told
	c.told = true
	c.mu.Unlock()
	if first {
		crash.Go(c.ended)
	}
}

const mostTaken = 64 << 10

// Take hands over all bytes that have come. It may be called inside the ready callback alone; the bytes are the
// connection's again when feed returns.
func (c *Conn) Take(feed func([]byte)) error {
	return c.take(c.raw.Reader().Len(), feed)
}

// TakeSome is Take for a peer that may bring more at once than is to be held twice: what is left is told of again.
func (c *Conn) TakeSome(feed func([]byte)) error {
	return c.take(min(c.raw.Reader().Len(), mostTaken), feed)
}

func (c *Conn) take(n int, feed func([]byte)) error {
	r := c.raw.Reader()
	b, err := r.Next(n)
	if err != nil {
		return err
	}
	c.handed.Add(uint64(n))
	feed(b)
	return r.Release()
}

// WriteLimit bounds the time that Write waits for a peer that does not read.
func (c *Conn) WriteLimit(d time.Duration) { _ = c.raw.SetWriteTimeout(d) }

// Write sends all of b, from one goroutine at a time. An error says that the last byte was not written, unless it
// MayBeWritten.
func (c *Conn) Write(b []byte) error {
	_, err := c.raw.Write(b)
	for errors.Is(err, syscall.EINTR) { // netpoll keeps what it could not send for the next flush
		_, err = c.raw.Write(nil)
	}
	return err
}

// MayBeWritten tells whether a write that failed may have sent its last byte all the same: after a time-out netpoll's
// poller may still be sending the rest.
func MayBeWritten(err error) bool { return errors.Is(err, netpoll.ErrWriteTimeout) }

// Active tells whether neither side has ended the connection, as far as netpoll has seen.
func (c *Conn) Active() bool { return c.raw.IsActive() }

// Quiet tells whether a connection is open and has brought nothing that is not read yet. It asks the kernel, too:
// bytes or an end may have come that netpoll has not seen.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over || !c.raw.IsActive() {
		return false
	}
	// The kernel first: what the poller takes from it between the two questions is in the buffer by the second.
	var one [1]byte
	_, _, err := syscall.Recvfrom(c.raw.(netpoll.Conn).Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN && c.raw.Reader().Len() == 0
}

// Settled is Quiet for a connection that is about to be ended: it also sees bytes that the poller has taken from the kernel and
// not put into the buffer yet.
func (c *Conn) Settled() bool {
	if !c.Quiet() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	all, _, ok := c.received()
	return !ok || all == c.handed.Load()
}

// Sent tells whether the kernel has sent all that was written. Guards against a close over bytes that come meanwhile: the kernel
// then resets the connection, and what it still holds of the last answers goes with it. What is on its way comes before the
// reset. Whether the peer's machine has confirmed it is not waited for: that may take 40 ms, in which it sends on.
func (c *Conn) Sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over || !c.raw.IsActive() {
		return true
	}
	left, err := unix.IoctlGetInt(c.raw.(netpoll.Conn).Fd(), notSent)
	return err != nil || left == 0
}

// Left tells whether the peer has ended the connection or its sending. It asks the kernel, since netpoll may not have come to
// it, and sees an end behind bytes that nobody has read yet, too.
func (c *Conn) Left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over || !c.raw.IsActive() {
		return true
	}
	events, err := poll(c.raw.(netpoll.Conn).Fd(), unix.POLLRDHUP)
	return err == nil && events != 0
}

// poll asks the kernel at once what there is of a descriptor, again where a signal comes between.
func poll(fd int, events int16) (int16, error) {
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if _, err := unix.Poll(polled, 0); err != unix.EINTR {
			return polled[0].Revents, err
		}
	}
}

// Abort ends both directions at once, also where a write is under way, and what the kernel still holds of it is not sent once
// Close, which has still to be called, has reset the connection. It waits for nothing.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.over {
		fd := c.raw.(netpoll.Conn).Fd()
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	}
}

// Discard ends the connection as Close does, and tells its owner of no end any more. Guards against an owner that gives up many
// connections at once and is told of each: every one of these goroutines would wait for the owner's lock, to find nothing to do.
func (c *Conn) Discard() {
	c.mu.Lock()
	c.told = true
	c.mu.Unlock()
	c.Close()
}

// Close ends the connection. It waits for a write that is under way to notice, and for no peer.
func (c *Conn) Close() {
	c.mu.Lock()
	c.ours = true
	c.mu.Unlock()
	_ = c.raw.Close()
}
