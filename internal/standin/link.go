package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/loopback"
)

// Conditions is what a link does to the bytes on it. The zero value passes them on.
type Conditions struct {
	CutUp, CutDown bool          // nothing towards the peer, nothing back from it: it waits, as for a retransmission
	Delay          time.Duration // of each piece
	Loss           float64       // share of the pieces that are sent again, after resend
	Rate           int           // bytes a second; 0: any
	Mute           bool          // new connections come up and lead nowhere
	Refuse         bool          // new connections are closed
}

func (c Conditions) String() string {
	return fmt.Sprintf("up=%t down=%t delay=%v loss=%.2f rate=%d mute=%t refuse=%t", !c.CutUp, !c.CutDown, c.Delay, c.Loss, c.Rate, c.Mute, c.Refuse)
}

const (
	resend = 200 * time.Millisecond
	piece  = 4 << 10
)

// Link leads TCP connections to a peer, under conditions that can change at any time. A process that is given its address
// instead of the peer's has a way of its own to it.
type Link struct {
	Addr string

	target string
	listen net.Listener
	back   atomic.Int64

	mu         sync.Mutex
	conditions Conditions
	changed    chan struct{} // closed when the conditions change
	rng        *rand.Rand
	conns      map[net.Conn]struct{}
	over       bool
}

// NewLink makes a link to an address. What is lost on it follows the seed.
func NewLink(target string, seed uint64) (*Link, error) {
	at, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: at.Addr().String(), target: target, listen: at, changed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := at.Accept()
			if err != nil {
				return
			}
			go l.lead(conn)
		}
	}()
	return l, nil
}

// Set changes the conditions, also of what is on its way.
func (l *Link) Set(w Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = w
	close(l.changed)
	l.changed = make(chan struct{})
}

// Back is how many pieces have come back from the peer.
func (l *Link) Back() int64 { return l.back.Load() }

// Reset ends all connections at once, with a reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the link.
func (l *Link) Close() {
	_ = l.listen.Close()
	l.mu.Lock()
	l.over = true
	l.mu.Unlock()
	l.Set(Conditions{})
	l.Reset()
}

func (l *Link) now() (Conditions, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions, l.changed, l.over
}

// keep notes a connection, to be ended with the link. It tells whether there is still a link.
func (l *Link) keep(c net.Conn, is bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !is {
		delete(l.conns, c)
		return true
	}
	l.conns[c] = struct{}{}
	return !l.over
}

func (l *Link) lead(near net.Conn) {
	defer near.Close()
	w, _, _ := l.now()
	if !l.keep(near, true) || w.Refuse {
		return
	}
	defer l.keep(near, false)
	if w.Mute {
		_, _ = io.Copy(io.Discard, near)
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.keep(far, true) {
		return
	}
	defer l.keep(far, false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.carry(near, far, func(w Conditions) bool { return w.CutDown }, &l.back)
	}()
	l.carry(far, near, func(w Conditions) bool { return w.CutUp }, new(atomic.Int64))
	<-done
}

// carry moves bytes in one direction, and ends both connections when one has ended.
func (l *Link) carry(to, from net.Conn, cut func(Conditions) bool, pieces *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, piece)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.pass(n, cut) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
			pieces.Add(1)
		}
		if err != nil {
			return
		}
	}
}

// pass waits until a piece may go on. It tells whether it does.
func (l *Link) pass(n int, cut func(Conditions) bool) bool {
	for {
		w, changed, over := l.now()
		if over {
			return false
		}
		if cut(w) {
			<-changed
			continue
		}
		wait := w.Delay
		if l.mu.Lock(); l.rng.Float64() < w.Loss {
			wait += resend
		}
		l.mu.Unlock()
		if w.Rate > 0 {
			wait += time.Duration(n) * time.Second / time.Duration(w.Rate)
		}
		time.Sleep(wait)
		return true
	}
}

// Phase is a time under some conditions, or a reset at its beginning.
type Phase struct {
	For   time.Duration
	Reset bool
	Conditions
}

// DrawPhases draws a link's conditions for a time: healthy and impaired by turns, and healthy at the end.
func DrawPhases(seed uint64, whole time.Duration) (phases []Phase) {
	rng := rand.New(rand.NewPCG(seed, 0x776561))
	for left := whole; left > 0; {
		healthy := Phase{For: time.Duration(200+rng.IntN(800)) * time.Millisecond}
		impaired := Phase{For: time.Duration(200+rng.IntN(1300)) * time.Millisecond, Reset: rng.IntN(4) == 0}
		switch rng.IntN(7) {
		case 0:
			impaired.CutUp = true
		case 1:
			impaired.CutDown = true
		case 2:
			impaired.CutUp, impaired.CutDown = true, true
		case 3:
			impaired.Delay = time.Duration(rng.IntN(80)) * time.Millisecond
		case 4:
			impaired.Loss = 0.5 * rng.Float64()
		case 5:
			impaired.Rate = 500 + rng.IntN(4000)
		case 6:
			impaired.Mute, impaired.Refuse = rng.IntN(2) == 0, rng.IntN(2) == 0
		}
		phases = append(phases, healthy, impaired)
		left -= healthy.For + impaired.For
	}
	return append(phases, Phase{})
}

// Play gives the link its phases, one after the other.
func (l *Link) Play(phases []Phase) {
	for _, s := range phases {
		if l.Set(s.Conditions); s.Reset {
			l.Reset()
		}
		time.Sleep(s.For)
	}
}
