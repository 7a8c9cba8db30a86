package socket

import (
	"bytes"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/crash"
)

// MaxQueuedBytes is how many bytes may be queued for one peer once the shared backlog is full. A caller that has more for a peer must
// shorten it.
const MaxQueuedBytes = 256 << 10

const (
	writeTimeout        = 5 * time.Second  // a peer that takes longer to accept one flush is not reading
	maxFlushBytes       = 64 << 10         // bytes a flush: a slow reader gets writeTimeout for each
	lingerTimeout       = 2 * time.Second  // longest wait for the last bytes to be sent before the close
	lingerCheckInterval = time.Millisecond // between two looks at whether they have been sent
)

// ErrFull reports that an outbox is full because the peer does not read.
var ErrFull = errors.New("the outbox is full: the peer does not read")

// ErrClosed reports that the outbox sends nothing more on its connection.
var ErrClosed = errors.New("the connection is closed")

// Outbox queues writes to one connection. Writers never block: a goroutine that runs only while bytes are queued writes them,
// together with all that has been queued meanwhile.
type Outbox struct {
	conn    *Conn
	onEmpty func() // optional: called when everything queued has been written
	shared  *Backlog

	mu             sync.Mutex
	queue          []chunk
	queuedBytes    int // in queue
	flushing       bool
	closeWhenEmpty bool // close the connection once the queue has been written
	stopped        bool
}

// chunk is data that is sent one or more times in a row.
type chunk struct {
	data  []byte
	times int
}

// Backlog bounds the bytes queued in several outboxes together.
type Backlog struct {
	limit  int64
	queued atomic.Int64
}

// NewBacklog returns a backlog of limit bytes for the outboxes that share it. Each may queue MaxQueuedBytes in any case.
func NewBacklog(limit int64) *Backlog { return &Backlog{limit: limit} }

// NewOutbox returns the outbox of a connection. onEmpty, if not nil, is called whenever everything queued has been written.
// shared is the bound shared with other outboxes; if it is nil, the outbox holds MaxQueuedBytes at most.
func NewOutbox(conn *Conn, onEmpty func(), shared *Backlog) *Outbox {
	conn.SetWriteTimeout(writeTimeout)
	if shared == nil {
		shared = NewBacklog(0)
	}
	return &Outbox{conn: conn, onEmpty: onEmpty, shared: shared}
}

// Write queues a copy of b. It returns ErrFull and queues nothing if b does not fit the bounds.
func (o *Outbox) Write(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return ErrClosed
	}
	if o.queuedBytes+len(b) > MaxQueuedBytes && o.shared.queued.Load()+int64(len(b)) > o.shared.limit {
		return ErrFull
	}
	o.add(b, 1)
	return nil
}

// WriteUnbounded queues a copy of b regardless of the bounds; the caller must bound the total. It reports whether the outbox was
// still open: nothing is sent after the close.
func (o *Outbox) WriteUnbounded(b []byte) bool { return o.WriteRepeated(b, 1) }

// WriteRepeated is WriteUnbounded for times copies of b in a row; the outbox holds the bytes of b only once.
func (o *Outbox) WriteRepeated(b []byte, times int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.stopped && len(b) > 0 && times > 0 {
		o.add(b, times)
	}
	return !o.stopped
}

func (o *Outbox) add(b []byte, times int) {
	if n := len(o.queue); times == 1 && n > 0 && o.queue[n-1].times == 1 {
		o.queue[n-1].data = append(o.queue[n-1].data, b...)
	} else {
		o.queue = append(o.queue, chunk{bytes.Clone(b), times})
	}
	o.addQueuedBytes(len(b))
	o.startFlush()
}

// addQueuedBytes adds n, negative for bytes removed, to this outbox's and the shared count of queued bytes.
func (o *Outbox) addQueuedBytes(n int) {
	o.queuedBytes += n
	o.shared.queued.Add(int64(n))
}

// Backlogged reports whether so much is queued that the peer seems to have stopped reading.
func (o *Outbox) Backlogged() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedBytes >= MaxQueuedBytes
}

// Empty reports whether everything queued has been written.
func (o *Outbox) Empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) == 0 && !o.flushing
}

// CloseAfterFlush closes the connection once everything queued has been written.
func (o *Outbox) CloseAfterFlush() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeWhenEmpty = true
	o.startFlush()
}

// nextFlush returns the bytes of the next flush.
func (o *Outbox) nextFlush() []byte {
	p := o.queue[0]
	if p.times > 1 {
		return bytes.Repeat(p.data, min(p.times, max(maxFlushBytes/len(p.data), 1)))
	}
	return p.data[:min(len(p.data), maxFlushBytes)]
}

// removeWritten removes the n bytes that a flush has written from the queue.
func (o *Outbox) removeWritten(n int) {
	p := &o.queue[0]
	if p.times > 1 {
		if p.times -= n / len(p.data); p.times > 0 {
			return
		}
		n = len(p.data)
	}
	o.addQueuedBytes(-n)
	if p.data = p.data[n:]; len(p.data) > 0 {
		return
	}
	if o.queue = o.queue[1:]; len(o.queue) == 0 {
		o.queue = nil
	}
}

// discardQueued drops the queued bytes, which will not be written.
func (o *Outbox) discardQueued() {
	o.queue = nil
	o.addQueuedBytes(-o.queuedBytes)
}

func (o *Outbox) startFlush() {
	if !o.flushing {
		o.flushing = true
		crash.Go(o.flush)
	}
}

func (o *Outbox) flush() {
	if o.writeQueued() && o.onEmpty != nil {
		o.onEmpty()
	}
}

// writeQueued writes everything queued. It reports whether the outbox is still open.
func (o *Outbox) writeQueued() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.queue) > 0 && !o.stopped {
		b := o.nextFlush()
		o.mu.Unlock()
		err := o.conn.Write(b)
		o.mu.Lock()
		o.removeWritten(len(b))
		o.stopped = o.stopped || err != nil
	}
	o.flushing = false
	if o.stopped || o.closeWhenEmpty {
		shouldLinger := !o.stopped
		o.stopped = true
		o.discardQueued()
		crash.Go(func() { // in its own goroutine, since close callbacks take their owners' locks
			if shouldLinger {
				o.linger()
			}
			o.conn.Close()
		})
	}
	return !o.stopped
}

// linger waits, up to lingerTimeout, until the kernel has sent everything written.
func (o *Outbox) linger() {
	for until := time.Now().Add(lingerTimeout); !o.conn.AllSent() && time.Now().Before(until); {
		time.Sleep(lingerCheckInterval)
	}
}
