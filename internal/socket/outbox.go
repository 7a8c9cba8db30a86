package socket

import (
	"errors"
	"sync"
	"time"

	"bramblefall/internal/lastwords"
)

// Most is how many bytes may wait for one peer. More means that it has stopped reading.
const Most = 256 << 10

const writeLimit = 5 * time.Second // a flush that takes longer has no reader

// ErrFull says that the peer does not read.
var ErrFull = errors.New("the peer does not read")

// ErrClosed says that nothing more goes out on this connection.
var ErrClosed = errors.New("the connection is closed")

// Outbox writes to one connection. Writers never wait: a goroutine that lives while there is something to
// write flushes all that came meanwhile at once.
type Outbox struct {
	conn    *Conn
	emptied func() // nil, or told when all that was queued has been written

	mu       sync.Mutex
	waiting  []byte
	flushing bool
	closing  bool // close the connection once all is written
	broken   bool
}

// NewOutbox makes the outbox of a connection. Emptied, if any, is told whenever all that was queued has been written.
func NewOutbox(conn *Conn, emptied func()) *Outbox {
	conn.WriteLimit(writeLimit)
	return &Outbox{conn: conn, emptied: emptied}
}

// Write queues bytes; they are copied.
func (o *Outbox) Write(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.broken {
		return ErrClosed
	}
	if len(o.waiting)+len(b) > Most {
		o.broken = true
		lastwords.Go(o.conn.Close)
		return ErrFull
	}
	o.waiting = append(o.waiting, b...)
	o.start()
	return nil
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
		b := o.waiting
		o.waiting = nil
		o.mu.Unlock()
		err := o.conn.Write(b)
		o.mu.Lock()
		o.broken = o.broken || err != nil
	}
	o.flushing = false
	if o.broken || o.closing {
		o.broken = true
		lastwords.Go(o.conn.Close) // in its own goroutine: close callbacks take their owners' locks
	}
	return !o.broken
}
