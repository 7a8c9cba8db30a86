package fault

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// ErrOver says that the script has ended the connection.
var ErrOver = errors.New("the script has ended the connection")

const trickleGap = 200 * time.Microsecond

// Conn is a connection that follows a script. One goroutine writes and one reads, or one does both.
type Conn struct {
	net.Conn
	halved atomic.Bool
	noisy  atomic.Bool // noise went out
	seed   uint64

	writing  []Step // of the writing side
	messages int    // written
	reading  []Step // of the reading side, in the order of their offsets
	read     int    // bytes
}

// Follow makes a connection follow a script, and takes the steps that are due when it opens.
func Follow(conn net.Conn, s Script) (*Conn, error) {
	c := &Conn{Conn: conn, seed: s.Seed}
	for _, s := range s.Steps {
		switch s.When {
		case Open:
			if err := c.take(s); err != nil {
				return c, err
			}
		case Reading:
			c.reading = append(c.reading, s)
		default:
			c.writing = append(c.writing, s)
		}
	}
	slices.SortStableFunc(c.reading, func(a, b Step) int { return a.At - b.At })
	return c, nil
}

// mostTwice is the longest message that is sent twice: it must come in one piece, since a second copy that came later
// could not be told from the next answer.
const mostTwice = 4 << 10

// Twice tells whether the next message will be sent twice.
func (c *Conn) Twice() bool {
	return slices.ContainsFunc(c.writing, func(s Step) bool {
		return s.When == Writing && s.Message == c.messages && s.Do == Twice
	})
}

// Send writes one message as the script says. times is how often it went out whole, with an error, too.
func (c *Conn) Send(message []byte) (times int, err error) {
	if c.halved.Load() {
		return 0, ErrOver
	}
	twice, n, at := c.Twice() && len(message) <= mostTwice, c.messages, 0
	c.messages++
	trickle, broken := false, c.Noisy()
	if twice { // both copies in one write, whatever else the script has for this message: none comes late
		if _, err = c.Conn.Write(append(slices.Clone(message), message...)); err == nil && !broken {
			times = 2
		}
		return times, err
	}
	for _, s := range c.writing {
		if s.When != Writing || s.Message != n || s.Do == Twice || s.At < at {
			continue
		}
		cut := min(s.At, len(message))
		if _, err = c.Conn.Write(message[at:cut]); err != nil {
			return 0, err
		}
		if at = cut; at == len(message) && !broken {
			times = 1
		}
		broken, trickle = broken || s.Do == Noise, trickle || s.Do == Trickle
		if err = c.take(s); err == nil && c.halved.Load() {
			err = ErrOver
		}
		if err != nil {
			return times, err
		}
	}
	rest := message[at:]
	for trickle && len(rest) > 1 && len(rest) < 2*mostAt {
		if _, err = c.Conn.Write(rest[:1]); err != nil {
			return times, err
		}
		rest = rest[1:]
		time.Sleep(trickleGap)
	}
	if _, err = c.Conn.Write(rest); err != nil || broken {
		return times, err
	}
	return 1, nil
}

// Rest takes the steps that are due when a message has been answered and the connection is idle.
func (c *Conn) Rest() error {
	for _, s := range c.writing {
		if s.When == Idle && s.Message == c.messages-1 {
			time.Sleep(time.Duration(s.For) * time.Millisecond)
			if err := c.take(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// Noisy tells whether noise has gone out: what came behind it could not be read.
func (c *Conn) Noisy() bool { return c.noisy.Load() }

// Write implements net.Conn for libraries that write on their own: each write is a message.
func (c *Conn) Write(b []byte) (int, error) {
	if _, err := c.Send(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Read implements net.Conn. It stops at the offset of each step.
func (c *Conn) Read(b []byte) (int, error) {
	if len(c.reading) > 0 {
		b = b[:min(len(b), max(1, c.reading[0].At-c.read))]
	}
	n, err := c.Conn.Read(b)
	c.read += n
	for err == nil && len(c.reading) > 0 && c.read >= c.reading[0].At {
		s := c.reading[0]
		c.reading = c.reading[1:]
		err = c.take(s)
	}
	return n, err
}

func (c *Conn) take(s Step) error {
	switch s.Do {
	case Close:
		_ = c.Conn.Close()
		return ErrOver
	case Reset:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
		return ErrOver
	case HalfClose:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		c.halved.Store(true)
	case Stall:
		time.Sleep(time.Duration(s.For) * time.Millisecond)
	case Noise:
		c.noisy.Store(true)
		_, err := c.Conn.Write(c.noise(s.For))
		return err
	}
	return nil
}

// noise is bytes that begin no message, end no line and are no digits, so that no peer can take them for sense.
func (c *Conn) noise(n int) []byte {
	rng := rand.New(rand.NewPCG(c.seed, uint64(n)))
	b := make([]byte, n)
	for k := range b {
		b[k] = byte(0x80 + rng.IntN(0x7f))
	}
	return b
}
