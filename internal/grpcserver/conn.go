package grpcserver

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"bramblefall/internal/memory"
	"bramblefall/internal/socket"
)

const (
	writeTimeout  = 5 * time.Second        // a caller that takes longer to accept one write is not reading
	reliefTimeout = 400 * time.Millisecond // longest pause of a reader while memory is short
	reliefPause   = 10 * time.Millisecond  // after which a reader looks whether its connection has been closed here
	reliefBytes   = 16 << 10               // read from a caller between two such pauses
	turnTimeout   = 10 * time.Millisecond

	callsPerRead = 16  // begun by one read, beyond which the next takes less: callers of many small calls leave the processor to others
	minReadBytes = 256 // taken by one read where there are as many

	maxUnwrittenAnswers = 4 // of calls that have ended, on one connection, from which on it is not read from
	answersTimeout      = 100 * time.Millisecond
	answersPause        = time.Millisecond
	manyRefusals        = 64 // unwritten on one connection, from which on the wait is longer: they need no window of the caller
	manyRefusalsTimeout = 2400 * time.Millisecond
	manyRefusalsPause   = 5 * time.Millisecond

	// deadlineExtension is how much longer than messageTimeout the rest of a frame may take, at a time, where that is due.
	deadlineExtension = 100 * time.Millisecond
)

// bulkTurn is held by one reader at a time from when it has read a full buffer until it reads again, so that callers who send much
// leave the processor to others. A reader does not wait longer than turnTimeout: the holder may be blocked by its own caller.
var bulkTurn = make(chan struct{}, 1)

// gatedConn is a connection whose reader waits while a write to it waits: a caller that does not read its answers is sent more of
// them with each call. It follows the frames both ways, so that it is known whether an answer is due on it.
type gatedConn struct {
	net.Conn
	descriptor socket.Descriptor
	presence   socket.Presence
	listener   *Listener

	readFull        bool // the last read took as much as it could
	readBytes       int  // that the next read takes at the most, unless it is bufferBytes; used only by Read
	readSinceRelief int  // bytes read since the last pause for want of memory; used only by Read
	deadlineSet     bool // a read deadline is set; used only by Read
	hasTurn         atomic.Bool
	closed          atomic.Bool
	served          atomic.Bool // the server has begun to serve calls, and reports the end
	endOnce         sync.Once
	callsInHand     *memory.Budget // bytes that the calls of this connection hold
	callsInProgress atomic.Int64   // calls that the library has begun and not ended
	openWatchers    atomic.Int64   // calls that stay open and owe no answer
	unaryCalls      atomic.Int64   // calls that are being handled

	mu            sync.Mutex
	written       *sync.Cond
	writing       bool
	evicted       bool // nothing more is read or written
	received      frameScanner
	sent          frameScanner
	streams       openStreams
	lastUsedAt    time.Time     // when bytes last came or went
	partialWaited time.Duration // for the rest of the frame that has begun
}

func newGatedConn(conn net.Conn, descriptor socket.Descriptor, l *Listener) *gatedConn {
	c := &gatedConn{Conn: conn, descriptor: descriptor, listener: l, readBytes: bufferBytes, lastUsedAt: time.Now(), callsInHand: memory.NewBudget("caller", 0)}
	c.presence.Start(descriptor)
	c.received.prefaceLeft = len(http2.ClientPreface)
	c.written = sync.NewCond(&c.mu)
	return c
}

// callerAddr is the address of a caller. It leads from what the library tells of a connection to the connection.
type callerAddr struct {
	net.Addr
	conn *gatedConn
}

// RemoteAddr implements net.Conn.
func (c *gatedConn) RemoteAddr() net.Addr { return callerAddr{c.Conn.RemoteAddr(), c} }

// CallerState returns what is known of whether the caller of a call is still there, by the context of the call. The library may not
// have read the end of its connection yet.
func CallerState(ctx context.Context) socket.PeerState {
	if ctx.Err() != nil {
		return socket.PeerGone
	}
	c, ok := ctx.Value(connectionKey{}).(*gatedConn)
	if !ok {
		return socket.PeerPresent
	}
	return c.presence.State(c.descriptor)
}

// owesAnswer reports whether a call is in progress that has an answer to come. It is called with c.mu held.
func (c *gatedConn) owesAnswer() bool {
	return c.unaryCalls.Load() > 0 || int64(c.streams.wholeCalls()) > c.openWatchers.Load()
}

// Read implements net.Conn. The library calls it for one read at a time.
func (c *gatedConn) Read(b []byte) (int, error) {
	c.releaseTurn()
	c.awaitWritten()
	c.awaitAnswersWritten()
	c.awaitRelief()
	if c.readBytes < bufferBytes {
		b = b[:min(len(b), c.readBytes)]
	}
	n, err := c.readPart(b)
	if c.readFull {
		c.awaitTurn()
	}
	c.readFull = n == len(b)
	c.adjustReadBytes(n)
	c.readSinceRelief += n
	c.listener.monitor.NoteRead(n)
	return n, err
}

// adjustReadBytes makes reads smaller where they begin many calls, and larger again where they do not.
func (c *gatedConn) adjustReadBytes(n int) {
	calls := c.takeOpened()
	switch {
	case calls > callsPerRead:
		c.readBytes = max(n*callsPerRead/calls, minReadBytes)
	case c.readFull:
		c.readBytes = min(2*c.readBytes, bufferBytes)
	}
}

// takeOpened returns how many calls the caller has opened since the last time.
func (c *gatedConn) takeOpened() (calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls, c.streams.opened = c.streams.opened, 0
	return calls
}

// awaitRelief blocks while memory is short, once for each reliefBytes that have been read: a call waits for it a few times at most,
// whatever its pieces, and the handshake of a new caller not at all.
func (c *gatedConn) awaitRelief() {
	monitor := c.listener.monitor
	if c.readSinceRelief < reliefBytes || !monitor.Pressed() {
		return
	}
	for until := time.Now().Add(reliefTimeout); monitor.Pressed() && !c.closed.Load() && time.Now().Before(until); {
		monitor.AwaitRelief(reliefPause)
	}
	c.readSinceRelief = 0
}

// readPart reads what comes next. It fails once the connection has waited for messageTimeout in all for the rest of a frame and no
// answer is due. The time that the reader is held back here does not count.
func (c *gatedConn) readPart(b []byte) (int, error) {
	for {
		began := time.Now()
		if err := c.setPartialDeadline(began); err != nil {
			return 0, err
		}
		n, err := c.readNext(b)
		if !c.deadlineSet {
			return n, err
		}
		c.notePartialWait(time.Since(began))
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.deservesMoreTime() {
			return n, err
		}
	}
}

// setPartialDeadline bounds how long the reader waits for the rest of a frame. The library bounds the handshake itself.
func (c *gatedConn) setPartialDeadline(now time.Time) error {
	c.mu.Lock()
	partial := c.received.frames > 0 && !c.received.atBoundary()
	left := max(messageTimeout-c.partialWaited, deadlineExtension)
	c.mu.Unlock()
	if !partial && !c.deadlineSet {
		return nil
	}
	c.deadlineSet = partial
	if !partial {
		return c.Conn.SetReadDeadline(time.Time{})
	}
	return c.Conn.SetReadDeadline(now.Add(left))
}

// notePartialWait adds to the time that the connection has waited for the rest of a frame.
func (c *gatedConn) notePartialWait(waited time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.received.atBoundary() {
		c.partialWaited += waited
	}
}

// deservesMoreTime reports whether a connection whose time for the rest of a frame is over is kept nevertheless: its end would cost
// an answer, or the rest has come while this process did not run.
func (c *gatedConn) deservesMoreTime() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owesAnswer() || !c.descriptor.Drained() && !c.descriptor.PeerClosed()
}

// readNext waits for bytes and takes them from the kernel with the lock held: what has been taken is known to closeIfIdle.
func (c *gatedConn) readNext(b []byte) (int, error) {
	return c.descriptor.Read(b, func(read func() int) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.evicted {
			return false
		}
		n := read()
		if n > 0 {
			c.presence.NoteRead(n, 0)
		} else {
			c.presence.NoteDrained()
		}
		c.noteReceived(b[:n])
		return true
	})
}

// noteReceived follows what the caller has sent. It is called with c.mu held.
func (c *gatedConn) noteReceived(b []byte) {
	if len(b) == 0 {
		return
	}
	wasPartial, frames := !c.received.atBoundary(), c.received.frames
	c.received.scan(b, c.streams.received)
	c.lastUsedAt = time.Now()
	if !wasPartial || c.received.frames > frames {
		c.partialWaited = 0
	}
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

// Close implements net.Conn. The server calls it when it ends the connection. Its goroutines end later, if it has begun to serve it.
func (c *gatedConn) Close() error {
	err := c.shut()
	if !c.served.Load() {
		c.end()
	}
	return err
}

// end frees the room of the connection. It is called once the server holds nothing for it any more.
func (c *gatedConn) end() {
	c.endOnce.Do(func() { c.listener.forget(c) })
}

// shut closes the connection, which the server finds out with its next read or write.
func (c *gatedConn) shut() error {
	c.closed.Store(true)
	c.releaseTurn()
	return c.Conn.Close()
}

// awaitAnswersWritten blocks, for a bounded time, while calls have ended whose answers the library has not written: until then it
// keeps what has come of these calls and what it answers, which is not counted in the budget. All frames read so far have been
// handled by now.
func (c *gatedConn) awaitAnswersWritten() {
	for began := time.Now(); !c.closed.Load(); {
		answers, refusals := c.unwrittenAnswers()
		timeout, pause := answersTimeout, answersPause
		if refusals > manyRefusals {
			timeout, pause = manyRefusalsTimeout, manyRefusalsPause
		}
		if max(answers, refusals) <= maxUnwrittenAnswers || time.Since(began) >= timeout {
			return
		}
		time.Sleep(pause)
	}
}

// unwrittenAnswers returns how many calls have ended without the end of their streams having been written.
// Refusals count also where the caller has reset the call, since the library writes them nevertheless.
func (c *gatedConn) unwrittenAnswers() (answers, refusals int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams.allHandled()
	return len(c.streams.whole) - int(c.callsInProgress.Load()), len(c.streams.refused)
}

// noteBegun takes note that the library has begun the next call of the caller, or refused it.
func (c *gatedConn) noteBegun(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams.begun(refused)
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
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	n, err := 0, c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		n, err = c.Conn.Write(b)
	}
	c.endWrite(b[:n])
	return n, err
}

// beginWrite reports whether the connection may be written to.
func (c *gatedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.writing = true
	return true
}

func (c *gatedConn) endWrite(written []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.scan(written, c.streams.sent)
	c.lastUsedAt = time.Now()
	c.writing = false
	c.written.Broadcast()
}
