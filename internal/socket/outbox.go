package socket

import (
	"bytes"
	"errors"
	"sync"
	"time"

	"bramblefall/internal/crash"
	"bramblefall/internal/memory"
)

const (
	writeTimeout        = 5 * time.Second  // a peer that takes longer to accept one flush is not reading
	maxFlushBytes       = 64 << 10         // bytes a flush: a slow reader gets writeTimeout for each
	maxPrivateBytes     = 256 << 10        // queued in an outbox that shares no budget
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
	conn      *Conn
	onFlushed func()         // optional: called when everything queued has been written
	budget    *memory.Budget // of the bytes queued in this and other outboxes

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

// NewOutbox returns the outbox of a connection. onFlushed, if not nil, is called whenever everything queued has been written.
// budget is shared with other outboxes; if it is nil, the outbox has one of its own.
func NewOutbox(conn *Conn, onFlushed func(), budget *memory.Budget) *Outbox {
	conn.SetWriteTimeout(writeTimeout)
	if budget == nil {
		budget = memory.NewBudget("outbox", maxPrivateBytes)
	}
	return &Outbox{conn: conn, onFlushed: onFlushed, budget: budget}
}

// Write queues a copy of b. It returns ErrFull and queues nothing if b does not fit the bounds.
func (o *Outbox) Write(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return ErrClosed
	}
	if o.budget.Fits(int64(o.queuedBytes), int64(len(b))) {
		o.add(b, 1)
		return nil
	}
	return o.writeAtOnce(b)
}

// writeAtOnce writes b without queuing it, if nothing is queued and the peer has read all that was sent to it before. Guards
// peers that read against those that do not, whose bytes fill the budget.
func (o *Outbox) writeAtOnce(b []byte) error {
	if len(o.queue) > 0 || o.flushing || !o.conn.AllSent() {
		return ErrFull
	}
	n, err := o.conn.writeNow(b)
	if err != nil {
		return nil // the reader finds the end of the connection
	}
	if n == 0 {
		return ErrFull
	}
	if n < len(b) {
		o.add(b[n:], 1)
	}
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
	if n := len(o.queue); times == 1 && n > 0 && o.queue[n-1].times == 1 && len(o.queue[n-1].data)+len(b) <= maxFlushBytes {
		o.queue[n-1].data = append(o.queue[n-1].data, b...)
	} else {
		o.queue = append(o.queue, chunk{bytes.Clone(b), times})
	}
	o.addQueuedBytes(len(b))
	o.startFlush()
}

// addQueuedBytes adds n, negative for bytes removed, to this outbox's count of queued bytes and to the budget's.
func (o *Outbox) addQueuedBytes(n int) {
	o.queuedBytes += n
	o.budget.Add(int64(n))
}

// Queued returns how many bytes are queued.
func (o *Outbox) Queued() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedBytes
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
	if o.writeQueued() && o.onFlushed != nil {
		o.onFlushed()
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
