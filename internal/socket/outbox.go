package socket

import (
	"bytes"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/crash"
)

// Most is how many bytes may wait for one peer where all peers' share is used up. Who is to get more has to be told less.
const Most = 256 << 10

const (
	writeLimit = 5 * time.Second // a flush that takes longer has no reader
	mostFlush  = 64 << 10        // bytes of one: a slow reader has the limit for each
	mostLinger = 2 * time.Second // for the peer to get the last of them, before the end
	lingerLook = time.Millisecond
)

// ErrFull says that the peer does not read.
var ErrFull = errors.New("the peer does not read")

// ErrClosed says that nothing more goes out on this connection.
var ErrClosed = errors.New("the connection is closed")

// Outbox writes to one connection. Writers never wait: a goroutine that lives while there is something to
// write flushes all that came meanwhile at once.
type Outbox struct {
	conn    *Conn
	emptied func() // nil, or told when all that was queued has been written
	shared  *Backlog

	mu       sync.Mutex
	waiting  []piece
	held     int // bytes of them
	flushing bool
	closing  bool // close the connection once all is written
	broken   bool
}

// piece is bytes that go out so many times, one behind the other.
type piece struct {
	bytes []byte
	times int
}

// Backlog bounds what waits in several outboxes together.
type Backlog struct {
	most  int64
	bytes atomic.Int64
}

// NewBacklog makes the bound of outboxes that may hold so many bytes together, and Most each beside.
func NewBacklog(most int64) *Backlog { return &Backlog{most: most} }

// NewOutbox makes the outbox of a connection. Emptied, if any, is told whenever all that was queued has been written. Shared is
// the bound with others; nil: Most is all that it holds.
func NewOutbox(conn *Conn, emptied func(), shared *Backlog) *Outbox {
	conn.WriteLimit(writeLimit)
	if shared == nil {
		shared = NewBacklog(0)
	}
	return &Outbox{conn: conn, emptied: emptied, shared: shared}
}

// Write queues bytes; they are copied. ErrFull says that they were too many, and changes nothing.
func (o *Outbox) Write(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.broken {
		return ErrClosed
	}
	if o.held+len(b) > Most && o.shared.bytes.Load()+int64(len(b)) > o.shared.most {
		return ErrFull
	}
	o.add(b, 1)
	return nil
}

// Insist queues a few bytes, however many wait. The caller bounds them. It tells whether they are queued: nothing is behind the end.
func (o *Outbox) Insist(b []byte) bool { return o.Repeat(b, 1) }

// Repeat does as Insist, so many times over; the bytes are held once.
func (o *Outbox) Repeat(b []byte, times int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.broken && len(b) > 0 && times > 0 {
		o.add(b, times)
	}
	return !o.broken
}

func (o *Outbox) add(b []byte, times int) {
	if n := len(o.waiting); times == 1 && n > 0 && o.waiting[n-1].times == 1 {
		o.waiting[n-1].bytes = append(o.waiting[n-1].bytes, b...)
	} else {
		o.waiting = append(o.waiting, piece{bytes.Clone(b), times})
	}
	o.hold(len(b))
	o.start()
}

// hold counts bytes that wait, or do no more.
func (o *Outbox) hold(n int) {
	o.held += n
	o.shared.bytes.Add(int64(n))
}

// Backlogged tells whether so much waits that the peer seems to have stopped reading.
func (o *Outbox) Backlogged() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held >= Most
}

// Empty tells whether all that was queued has been written.
func (o *Outbox) Empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting) == 0 && !o.flushing
}

// CloseAfter closes the connection when all that is queued has been written.
func (o *Outbox) CloseAfter() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	o.start()
}

// next is what one flush takes.
func (o *Outbox) next() []byte {
	p := o.waiting[0]
	if p.times > 1 {
		return bytes.Repeat(p.bytes, min(p.times, max(mostFlush/len(p.bytes), 1)))
	}
	return p.bytes[:min(len(p.bytes), mostFlush)]
}

// written takes off what a flush has written.
func (o *Outbox) written(n int) {
	p := &o.waiting[0]
	if p.times > 1 {
		if p.times -= n / len(p.bytes); p.times > 0 {
			return
		}
		n = len(p.bytes)
	}
	o.hold(-n)
	if p.bytes = p.bytes[n:]; len(p.bytes) > 0 {
		return
	}
	if o.waiting = o.waiting[1:]; len(o.waiting) == 0 {
		o.waiting = nil
	}
}

// discard takes off what will not be written.
func (o *Outbox) discard() {
	o.waiting = nil
	o.hold(-o.held)
}

func (o *Outbox) start() {
	if !o.flushing {
		o.flushing = true
		crash.Go(o.flush)
	}
}

func (o *Outbox) flush() {
	if o.write() && o.emptied != nil {
		o.emptied()
	}
}

// write writes all that is queued. It tells whether the connection goes on.
func (o *Outbox) write() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.waiting) > 0 && !o.broken {
		b := o.next()
		o.mu.Unlock()
		err := o.conn.Write(b)
		o.mu.Lock()
		o.written(len(b))
		o.broken = o.broken || err != nil
	}
	o.flushing = false
	if o.broken || o.closing {
		lingers := !o.broken
		o.broken = true
		o.discard()
		crash.Go(func() { // in its own goroutine: close callbacks take their owners' locks
			if lingers {
				o.linger()
			}
			o.conn.Close()
		})
	}
	return !o.broken
}

// linger waits until what was written has left this machine, within a bound.
func (o *Outbox) linger() {
	for until := time.Now().Add(mostLinger); !o.conn.Sent() && time.Now().Before(until); {
		time.Sleep(lingerLook)
	}
}
