// Package socket wraps TCP connections for the packages that share them: dialing, reading on demand, questions to the kernel about
// a connection's state, and an outbox that queues outgoing bytes, so that a peer that does not read delays nobody but itself.
//
// Bytes are read from the kernel only when their owner can handle them: each connection has a reader, a goroutine that takes one
// piece at a time, hands it on, and takes the next only when that is handled and the owner allows it. What is not read stays in the
// kernel, whose window then makes the peer wait.
package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bramblefall/internal/crash"
	"bramblefall/internal/fairqueue"
	"bramblefall/internal/memory"
)

// ShortReadBytes is how many bytes a reader takes that has no turn among those of peers that send much.
const ShortReadBytes = 1 << 10

// MaxReadBytes is how many bytes a reader takes from the kernel at once, and at the most.
const MaxReadBytes = 4 << 10

// readBuffers are shared by all readers: a connection at rest holds none.
var readBuffers = sync.Pool{New: func() any { b := make([]byte, MaxReadBytes); return &b }}

// Reader is what the owner of a connection does with the bytes that arrive.
type Reader struct {
	// Lock is held from before bytes are taken from the kernel until Handle returns, unless Handle releases it meanwhile.
	Lock sync.Locker
	// Await, if not nil, is called without Lock before bytes are taken. It blocks until they can be handled, also while memory is
	// short, and returns how many at the most; 0 stands for MaxReadBytes. It must return once Conn.Done is closed.
	Await func() int
	// Stopped, if not nil, is called with Lock before bytes are taken. Once it returns true, none are taken any more.
	Stopped func() bool
	// Handle is called with the bytes taken, which it must not keep.
	Handle func([]byte)
	// Ended is called once, without Lock, when either side has ended the connection, but not after Discard.
	Ended func()
	// Turns, if not nil, grants the reader a turn for each piece. Without it, the reader shares the turns of all such readers, and
	// takes one only behind a full piece.
	Turns *fairqueue.Queue
	// Monitor, if not nil, counts what is read. Where there is no Await, it holds the reader back while memory is short.
	Monitor *memory.Monitor
}

// Conn is a TCP connection.
type Conn struct {
	tcp *net.TCPConn
	raw syscall.RawConn

	done      chan struct{} // closed when this side closes the connection
	closeOnce sync.Once
	ended     atomic.Bool // the reader has found the end of the connection, or this side has closed it
	discarded atomic.Bool

	writeTimeout time.Duration
	turns        turns     // used only by the reader
	presence     *Presence // nil where nobody asks for the peer's state
}

// Wrap returns a Conn for an established connection.
func Wrap(tcp *net.TCPConn) (*Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return &Conn{tcp: tcp, raw: raw, done: make(chan struct{})}, nil
}

// noKeepAlive turns off probes of idle connections, which notice no loss that a timeout here does not.
const noKeepAlive = -1

// Dial connects to addr. The timeout includes the repeated attempts after transient failures.
func Dial(addr string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: noKeepAlive}
	conn, err := RetryDial(ctx, dialRetryBudget, func() (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) })
	if err != nil {
		return nil, err
	}
	return Wrap(conn.(*net.TCPConn))
}

// Serve starts the reader.
func (c *Conn) Serve(r Reader) { crash.Go(func() { c.read(r) }) }

// read takes bytes from the kernel and hands them on until the connection ends.
func (c *Conn) read(r Reader) {
	c.turns = newTurns(r.Turns)
	for bulk := false; ; {
		most := r.await()
		if !bulk {
			most = min(most, ShortReadBytes)
		}
		n := c.readOnce(r, most, bulk)
		c.turns.end(n)
		if n == 0 {
			break
		}
		bulk = n == most
	}
	c.ended.Store(true)
	c.Close()
	if !c.discarded.Load() {
		r.Ended()
	}
}

// await blocks until bytes can be handled and returns how many at the most.
func (r Reader) await() int {
	if r.Await == nil {
		r.Monitor.AwaitRelief(memory.MaxReliefPause)
		return MaxReadBytes
	}
	if n := r.Await(); n > 0 {
		return min(n, MaxReadBytes)
	}
	return MaxReadBytes
}

// readOnce waits for bytes, hands on one piece of them and returns its length; 0 if the connection has ended. bulk tells that the
// piece before was full. Its turn, if it took one, is still held when it returns.
func (c *Conn) readOnce(r Reader, most int, bulk bool) int {
	var buf *[]byte
	var n int
	var stopped, ended bool
	closed := c.raw.Read(func(fd uintptr) bool {
		var begun bool
		if begun, ended = c.turns.begin(int(fd), bulk, c.done); !begun {
			if !ended {
				c.noteDrained()
			}
			return ended
		}
		r.Lock.Lock()
		if stopped = r.Stopped != nil && r.Stopped(); stopped {
			r.Lock.Unlock()
			return true
		}
		buf = readBuffers.Get().(*[]byte)
		var err error
		n, err = readNow(int(fd), (*buf)[:most])
		if !errors.Is(err, syscall.EAGAIN) {
			c.notePiece(n)
			return true
		}
		c.noteDrained()
		r.Lock.Unlock()
		readBuffers.Put(buf)
		c.turns.end(0)
		return false
	})
	if closed != nil || ended {
		return 0
	}
	if stopped {
		c.turns.end(0)
		<-c.done
		return 0
	}
	if n > 0 {
		r.Handle((*buf)[:n])
	}
	r.Lock.Unlock()
	readBuffers.Put(buf)
	r.Monitor.NoteRead(n)
	return n
}

// TurnWait returns how long the reader has waited for the turn in which it reads now. It must be called by Reader.Handle.
func (c *Conn) TurnWait() time.Duration { return c.turns.waited }

// Done is closed once this side has closed the connection.
func (c *Conn) Done() <-chan struct{} { return c.done }

// SetWriteTimeout bounds how long Write waits for a peer that does not read.
func (c *Conn) SetWriteTimeout(d time.Duration) { c.writeTimeout = d }

// Write sends all of b. It must be called from one goroutine at a time. After an error the last byte has not been written.
func (c *Conn) Write(b []byte) error {
	n, err := c.writeNow(b)
	if err != nil || n == len(b) {
		return err
	}
	if err := c.tcp.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return err
	}
	_, err = c.tcp.Write(b[n:])
	return err
}

// writeNow writes what the kernel takes at once.
func (c *Conn) writeNow(b []byte) (n int, err error) {
	closed := c.raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), b)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		return true
	})
	if errors.Is(closed, os.ErrDeadlineExceeded) { // of an earlier write that waited
		if err := c.tcp.SetWriteDeadline(time.Time{}); err != nil {
			return 0, err
		}
		return c.writeNow(b)
	}
	if closed != nil {
		return 0, closed
	}
	if errors.Is(err, syscall.EAGAIN) {
		return 0, nil
	}
	if err == nil && n == 0 && len(b) > 0 {
		return 0, io.ErrUnexpectedEOF
	}
	return max(n, 0), err
}

// Active reports whether neither side has ended the connection, as far as the reader has noticed.
func (c *Conn) Active() bool { return !c.ended.Load() }

// ask calls question with the descriptor, which stays open meanwhile. It reports whether the connection is still open.
func (c *Conn) ask(question func(fd int)) bool {
	return c.raw.Control(func(fd uintptr) { question(int(fd)) }) == nil
}

// Drained reports whether the connection is open and the kernel has no unread bytes of it. Where the reader's lock is held, none
// are on their way to the owner either.
func (c *Conn) Drained() bool { return !c.ended.Load() && Descriptor{c.raw}.Drained() }

const siocOutqNSD = 0x894b // ioctl SIOCOUTQNSD: bytes in the send queue that have not been sent

// AllSent reports whether the kernel has sent everything that was written. Guards against a close that crosses incoming bytes:
// the kernel then resets the connection and drops whatever it still holds of the last answers. Bytes already on the wire arrive
// before the reset. It does not wait for the peer's acknowledgment, which may take 40 ms, during which the peer keeps sending.
func (c *Conn) AllSent() bool {
	var left int
	var err error
	open := c.ask(func(fd int) { left, err = unix.IoctlGetInt(fd, siocOutqNSD) })
	return !open || err != nil || left == 0
}

// PeerClosed reports whether the peer has closed the connection or its sending side. It asks the kernel, since the reader may not
// have got there yet, and also detects a close behind bytes that nobody has read.
func (c *Conn) PeerClosed() bool { return c.ended.Load() || Descriptor{c.raw}.PeerClosed() }

// TrackPeer begins to follow whether the peer of a connection that has just been accepted is still there. It must be called before
// Serve.
func (c *Conn) TrackPeer() {
	c.presence = &Presence{}
	c.presence.Start(Descriptor{c.raw})
}

func (c *Conn) notePiece(n int) {
	if c.presence != nil {
		c.presence.NoteRead(n, c.turns.waited)
	}
}

func (c *Conn) noteDrained() {
	if c.presence != nil {
		c.presence.NoteDrained()
	}
}

// PeerState returns what is known of whether the peer is still there, also behind bytes that nobody has read. TrackPeer must have
// been called.
func (c *Conn) PeerState() PeerState {
	if c.ended.Load() {
		return PeerGone
	}
	return c.presence.State(Descriptor{c.raw})
}

// Behind reports whether the reader is so far behind what the peer sends that it may have gone meanwhile. TrackPeer must have been
// called.
func (c *Conn) Behind() bool { return c.presence.Behind(Descriptor{c.raw}) }

// SinceReceived returns how long ago the kernel received the newest bytes of the connection; 0 if it does not tell.
func (c *Conn) SinceReceived() time.Duration {
	var info *unix.TCPInfo
	var err error
	open := c.ask(func(fd int) { info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
	if !open || err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// Abort shuts down both directions immediately, even during a write, and does not block. Close must still be called; it then
// resets the connection, and bytes that the kernel still holds are not sent.
func (c *Conn) Abort() {
	c.ask(func(fd int) {
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	})
}

// Discard closes the connection like Close but never calls Ended. Guards against an owner that drops many connections at once:
// each call would wait for the owner's lock, only to find nothing to do.
func (c *Conn) Discard() {
	c.discarded.Store(true)
	c.Close()
}

// Close closes the connection. It waits for a read or write in progress to notice, but never for the peer. It must not be called
// with the reader's lock held.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		c.ended.Store(true)
		close(c.done)
		_ = c.tcp.Close()
	})
}
