package fault

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// ErrScriptEnded reports that a step of the fault script closed the connection, or its writing side.
var ErrScriptEnded = errors.New("the fault script has ended the connection")

// trickleInterval is the pause after each byte of a message that is sent byte by byte.
const trickleInterval = 200 * time.Microsecond

// Conn is a connection that injects the faults of a Script. At most one goroutine may write and one may read at a time;
// the same goroutine may do both.
type Conn struct {
	net.Conn
	writeClosed atomic.Bool
	noiseSent   atomic.Bool
	seed        uint64

	writeSteps    []Step // all steps but those of OnOpen and OnRead, in the script's order
	messagesBegun int    // messages whose sending has begun; the index of the next one
	readSteps     []Step // steps of OnRead that are still due, sorted by offset
	bytesRead     int
}

// NewConn wraps a connection so that it follows a script, and applies the steps of OnOpen.
func NewConn(conn net.Conn, s Script) (*Conn, error) {
	c := &Conn{Conn: conn, seed: s.Seed}
	for _, s := range s.Steps {
		switch s.When {
		case OnOpen:
			if err := c.apply(s); err != nil {
				return c, err
			}
		case OnRead:
			c.readSteps = append(c.readSteps, s)
		default:
			c.writeSteps = append(c.writeSteps, s)
		}
	}
	slices.SortStableFunc(c.readSteps, func(a, b Step) int { return a.Offset - b.Offset })
	return c, nil
}

// maxDuplicateBytes is the longest message that is sent twice. Both copies have to arrive together, because the peer could
// not tell a second copy that arrived later from the next answer.
const maxDuplicateBytes = 4 << 10

// DuplicatesNext reports whether the script sends the next message twice.
func (c *Conn) DuplicatesNext() bool {
	return slices.ContainsFunc(c.writeSteps, func(s Step) bool {
		return s.When == OnWrite && s.Message == c.messagesBegun && s.Action == Duplicate
	})
}

// Send writes one message and applies the steps that are due while it is written. copies is the number of complete,
// readable copies that were sent; it is valid even if err is not nil.
func (c *Conn) Send(message []byte) (copies int, err error) {
	if c.writeClosed.Load() {
		return 0, ErrScriptEnded
	}
	duplicate, index, sent := c.DuplicatesNext() && len(message) <= maxDuplicateBytes, c.messagesBegun, 0
	c.messagesBegun++
	trickle, unreadable := false, c.NoiseSent()
	if duplicate { // one write for both copies, ignoring other steps for this message, so that the second is not late
		if _, err = c.Conn.Write(append(slices.Clone(message), message...)); err == nil && !unreadable {
			copies = 2
		}
		return copies, err
	}
	for _, s := range c.writeSteps {
		if s.When != OnWrite || s.Message != index || s.Action == Duplicate || s.Offset < sent {
			continue
		}
		cut := min(s.Offset, len(message))
		if _, err = c.Conn.Write(message[sent:cut]); err != nil {
			return 0, err
		}
		if sent = cut; sent == len(message) && !unreadable {
			copies = 1
		}
		unreadable, trickle = unreadable || s.Action == Noise, trickle || s.Action == Trickle
		if err = c.apply(s); err == nil && c.writeClosed.Load() {
			err = ErrScriptEnded
		}
		if err != nil {
			return copies, err
		}
	}
	rest := message[sent:]
	for trickle && len(rest) > 1 && len(rest) < 2*maxOffsetBytes {
		if _, err = c.Conn.Write(rest[:1]); err != nil {
			return copies, err
		}
		rest = rest[1:]
		time.Sleep(trickleInterval)
	}
	if _, err = c.Conn.Write(rest); err != nil || unreadable {
		return copies, err
	}
	return 1, nil
}

// RunIdleSteps applies the OnIdle steps of the message that was sent last. It is called when the connection is idle after
// that message: by a client once the message has been answered, by the other peers once it has been sent.
func (c *Conn) RunIdleSteps() error {
	for _, s := range c.writeSteps {
		if s.When == OnIdle && s.Message == c.messagesBegun-1 {
			time.Sleep(time.Duration(s.Amount) * time.Millisecond)
			if err := c.apply(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// NoiseSent reports whether noise has been sent. The peer cannot parse anything that follows it.
func (c *Conn) NoiseSent() bool { return c.noiseSent.Load() }

// Write implements net.Conn for libraries that do the writing themselves. Each call counts as one message.
func (c *Conn) Write(b []byte) (int, error) {
	if _, err := c.Send(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Read implements net.Conn. It reads no further than the offset of the next step, and applies the step there.
func (c *Conn) Read(b []byte) (int, error) {
	if len(c.readSteps) > 0 {
		b = b[:min(len(b), max(1, c.readSteps[0].Offset-c.bytesRead))]
	}
	n, err := c.Conn.Read(b)
	c.bytesRead += n
	for err == nil && len(c.readSteps) > 0 && c.bytesRead >= c.readSteps[0].Offset {
		s := c.readSteps[0]
		c.readSteps = c.readSteps[1:]
		err = c.apply(s)
	}
	return n, err
}

func (c *Conn) apply(s Step) error {
	switch s.Action {
	case Close:
		_ = c.Conn.Close()
		return ErrScriptEnded
	case Reset:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
		return ErrScriptEnded
	case HalfClose:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		c.writeClosed.Store(true)
	case Stall:
		time.Sleep(time.Duration(s.Amount) * time.Millisecond)
	case Noise:
		c.noiseSent.Store(true)
		_, err := c.Conn.Write(c.noise(s.Amount))
		return err
	}
	return nil
}

// noise returns n random bytes from 0x80 to 0xfe. None of them starts a message, ends a line or is a digit, so that no peer
// can mistake them for valid input.
func (c *Conn) noise(n int) []byte {
	rng := rand.New(rand.NewPCG(c.seed, uint64(n)))
	b := make([]byte, n)
	for k := range b {
		b[k] = byte(0x80 + rng.IntN(0x7f))
	}
	return b
}
