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

// Conditions are the impairments of a link. The zero value forwards all bytes unimpaired.
type Conditions struct {
	CutUp, CutDown bool          // holds back bytes towards the peer or from it until the cut ends, as TCP does while it retransmits
	Delay          time.Duration // added to each chunk
	Loss           float64       // share of the chunks that are delayed by retransmitDelay
	Rate           int           // bytes a second; 0: unlimited
	Mute           bool          // new connections are accepted, but nothing is forwarded
	Refuse         bool          // new connections are closed at once
}

func (c Conditions) String() string {
	return fmt.Sprintf("up=%t down=%t delay=%v loss=%.2f rate=%d mute=%t refuse=%t", !c.CutUp, !c.CutDown, c.Delay, c.Loss, c.Rate, c.Mute, c.Refuse)
}

const (
	// retransmitDelay is the delay of a chunk that counts as lost.
	retransmitDelay = 200 * time.Millisecond
	chunkBytes      = 4 << 10
)

// Link is a TCP proxy to a peer, under conditions that can change at any time. Giving each process the address of a link of
// its own instead of the peer's lets its connections be impaired separately.
type Link struct {
	Addr string

	target     string
	listener   net.Listener
	chunksBack atomic.Int64

	mu         sync.Mutex
	conditions Conditions
	changed    chan struct{} // closed and replaced when the conditions change
	rng        *rand.Rand
	conns      map[net.Conn]struct{}
	closed     bool
}

// NewLink starts a link to an address. The seed determines which chunks are lost.
func NewLink(target string, seed uint64) (*Link, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: listener.Addr().String(), target: target, listener: listener, changed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

// Set changes the conditions, also for connections that are already open. Chunks that are being delayed keep their delay.
func (l *Link) Set(conditions Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = conditions
	close(l.changed)
	l.changed = make(chan struct{})
}

// ChunksBack returns the number of chunks that were forwarded from the peer.
func (l *Link) ChunksBack() int64 { return l.chunksBack.Load() }

// Reset closes all connections with a TCP reset.
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

// Close stops the link and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Set(Conditions{})
	l.Reset()
}

func (l *Link) state() (Conditions, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions, l.changed, l.closed
}

// track adds a connection to those that are closed with the link, or removes it. It reports false if the link was closed
// before the connection was added.
func (l *Link) track(c net.Conn, add bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !add {
		delete(l.conns, c)
		return true
	}
	l.conns[c] = struct{}{}
	return !l.closed
}

func (l *Link) forward(near net.Conn) {
	defer near.Close()
	conditions, _, _ := l.state()
	if !l.track(near, true) || conditions.Refuse {
		return
	}
	defer l.track(near, false)
	if conditions.Mute {
		_, _ = io.Copy(io.Discard, near)
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.track(far, true) {
		return
	}
	defer l.track(far, false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.pump(near, far, func(w Conditions) bool { return w.CutDown }, &l.chunksBack)
	}()
	l.pump(far, near, func(w Conditions) bool { return w.CutUp }, new(atomic.Int64))
	<-done
}

// pump copies bytes in one direction, and closes both connections when either has ended.
func (l *Link) pump(to, from net.Conn, cut func(Conditions) bool, forwarded *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.waitToForward(n, cut) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
			forwarded.Add(1)
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits until a chunk of n bytes may be forwarded under the current conditions. It reports false if the link was
// closed meanwhile.
func (l *Link) waitToForward(n int, cut func(Conditions) bool) bool {
	for {
		conditions, changed, closed := l.state()
		if closed {
			return false
		}
		if cut(conditions) {
			<-changed
			continue
		}
		wait := conditions.Delay
		if l.mu.Lock(); l.rng.Float64() < conditions.Loss {
			wait += retransmitDelay
		}
		l.mu.Unlock()
		if conditions.Rate > 0 {
			wait += time.Duration(n) * time.Second / time.Duration(conditions.Rate)
		}
		time.Sleep(wait)
		return true
	}
}

// Phase is a period under the same conditions. Reset resets all connections at its beginning.
type Phase struct {
	Duration time.Duration
	Reset    bool
	Conditions
}

// DrawPhases generates a link's conditions for at least the given time from a seed: healthy and impaired phases in turn, and
// a healthy one at the end.
func DrawPhases(seed uint64, total time.Duration) (phases []Phase) {
	rng := rand.New(rand.NewPCG(seed, 0x776561))
	for remaining := total; remaining > 0; {
		healthy := Phase{Duration: time.Duration(200+rng.IntN(800)) * time.Millisecond}
		impaired := Phase{Duration: time.Duration(200+rng.IntN(1300)) * time.Millisecond, Reset: rng.IntN(4) == 0}
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
		remaining -= healthy.Duration + impaired.Duration
	}
	return append(phases, Phase{})
}

// RunPhases runs the phases one after the other and returns after the last.
func (l *Link) RunPhases(phases []Phase) {
	for _, phase := range phases {
		if l.Set(phase.Conditions); phase.Reset {
			l.Reset()
		}
		time.Sleep(phase.Duration)
	}
}
