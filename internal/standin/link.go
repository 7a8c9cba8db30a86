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

// Weather is what a link does to the bytes on it. The zero value passes them on.
type Weather struct {
	CutUp, CutDown bool          // nothing towards the peer, nothing back from it: it waits, as for a retransmission
	Delay          time.Duration // of each piece
	Loss           float64       // share of the pieces that are sent again, after resend
	Rate           int           // bytes a second; 0: any
	Mute           bool          // new connections come up and lead nowhere
	Refuse         bool          // new connections are closed
}

func (w Weather) String() string {
	return fmt.Sprintf("up=%t down=%t delay=%v loss=%.2f rate=%d mute=%t refuse=%t", !w.CutUp, !w.CutDown, w.Delay, w.Loss, w.Rate, w.Mute, w.Refuse)
}

const (
	resend = 200 * time.Millisecond
	piece  = 4 << 10
)

// Link leads TCP connections to a peer, through a weather that can change at any time. A process that is given its address
// instead of the peer's has a way of its own to it.
type Link struct {
	Addr string

	target string
	listen net.Listener
	back   atomic.Int64

	mu      sync.Mutex
	weather Weather
	changed chan struct{} // closed when the weather changes
	rng     *rand.Rand
	conns   map[net.Conn]struct{}
	over    bool
}

// NewLink makes a link to an address. Its luck follows the seed.
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

// Set changes the weather, also of what is on its way.
func (l *Link) Set(w Weather) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weather = w
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
	l.Set(Weather{})
	l.Reset()
}

func (l *Link) now() (Weather, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.weather, l.changed, l.over
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
		l.carry(near, far, func(w Weather) bool { return w.CutDown }, &l.back)
	}()
	l.carry(far, near, func(w Weather) bool { return w.CutUp }, new(atomic.Int64))
	<-done
}

// carry moves bytes in one direction, and ends both connections when one has ended.
func (l *Link) carry(to, from net.Conn, cut func(Weather) bool, pieces *atomic.Int64) {
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
func (l *Link) pass(n int, cut func(Weather) bool) bool {
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

// Spell is a time of a weather, or a reset at its beginning.
type Spell struct {
	For   time.Duration
	Reset bool
	Weather
}

// DrawSpells draws a link's weather for a time: fair and foul by turns, fair at the end.
func DrawSpells(seed uint64, whole time.Duration) (spells []Spell) {
	rng := rand.New(rand.NewPCG(seed, 0x776561))
	for left := whole; left > 0; {
		fair := Spell{For: time.Duration(200+rng.IntN(800)) * time.Millisecond}
		foul := Spell{For: time.Duration(200+rng.IntN(1300)) * time.Millisecond, Reset: rng.IntN(4) == 0}
		switch rng.IntN(7) {
		case 0:
			foul.CutUp = true
		case 1:
			foul.CutDown = true
		case 2:
			foul.CutUp, foul.CutDown = true, true
		case 3:
			foul.Delay = time.Duration(rng.IntN(80)) * time.Millisecond
		case 4:
			foul.Loss = 0.5 * rng.Float64()
		case 5:
			foul.Rate = 500 + rng.IntN(4000)
		case 6:
			foul.Mute, foul.Refuse = rng.IntN(2) == 0, rng.IntN(2) == 0
		}
		spells = append(spells, fair, foul)
		left -= fair.For + foul.For
	}
	return append(spells, Spell{})
}

// Play gives the link its spells, one after the other.
func (l *Link) Play(spells []Spell) {
	for _, s := range spells {
		if l.Set(s.Weather); s.Reset {
			l.Reset()
		}
		time.Sleep(s.For)
	}
}
