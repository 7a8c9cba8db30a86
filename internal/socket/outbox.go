package socket

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/lastwords"
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
	waiting  []byte
	flushing bool
	closing  bool // close the connection once all is written
	broken   bool
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
	if len(o.waiting)+len(b) > Most && o.shared.bytes.Load()+int64(len(b)) > o.shared.most {
		return ErrFull
	}
	o.add(b)
	return nil
}

// Insist queues a few bytes, however many wait. The caller bounds them. It tells whether they are queued: nothing is behind the end.
func (o *Outbox) Insist(b []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.broken && len(b) > 0 {
		o.add(b)
	}
	return !o.broken
}

func (o *Outbox) add(b []byte) {
	o.waiting = append(o.waiting, b...)
	o.shared.bytes.Add(int64(len(b)))
	o.start()
}

// Backlogged tells whether so much waits that the peer seems to have stopped reading.
func (o *Outbox) Backlogged() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting) >= Most
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

// forget takes off what has been written, or will not be.
func (o *Outbox) forget(n int) {
	o.shared.bytes.Add(-int64(n))
	if o.waiting = o.waiting[n:]; len(o.waiting) == 0 {
		o.waiting = nil
	}
}

func (o *Outbox) start() {
	if !o.flushing {
		o.flushing = true
		lastwords.Go(o.flush)
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
		b := o.waiting[:min(len(o.waiting), mostFlush)]
		o.mu.Unlock()
		err := o.conn.Write(b)
		o.mu.Lock()
		o.forget(len(b))
		o.broken = o.broken || err != nil
	}
	o.flushing = false
	if o.broken || o.closing {
		lingers := !o.broken
		o.broken = true
		o.forget(len(o.waiting))
		lastwords.Go(func() { // in its own goroutine: close callbacks take their owners' locks
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
