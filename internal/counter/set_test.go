package counter

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/internal/loopback"
	"bramblefall/internal/sharding"
	"bramblefall/logic"
)

const patience = 20 * time.Second

// hollow is a counter that answers every call with 1 and counts its connections.
type hollow struct {
	addr         string
	conns, calls atomic.Int64
	open         atomic.Int64

	mu   sync.Mutex
	took time.Duration // by each call
	free time.Time
}

// turn waits until a call has had its turn.
func (h *hollow) turn() {
	if h.took == 0 {
		return
	}
	h.mu.Lock()
	if now := time.Now(); h.free.Before(now.Add(-10 * h.took)) {
		h.free = now
	}
	h.free = h.free.Add(h.took)
	at := h.free
	h.mu.Unlock()
	time.Sleep(time.Until(at))
}

func newHollow(t testing.TB) *hollow {
	l, err := loopback.Listen()
	require.NoError(t, err)
	h := &hollow{addr: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			h.conns.Add(1)
			h.open.Add(1)
			go func() {
				defer h.open.Add(-1)
				defer conn.Close()
				for lines := bufio.NewScanner(conn); lines.Scan(); {
					answer := "pong"
					if strings.HasPrefix(lines.Text(), "add ") {
						h.turn()
						h.calls.Add(1)
						answer = "ok 1"
					}
					if _, err := fmt.Fprintf(conn, "%s\r\n", answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return h
}

// caller is a set whose answers are kept by call.
type caller struct {
	*Set
	mu      sync.Mutex
	answers map[uint64]logic.Status
	after   func(core.CountResult) // nil: the answers are kept
}

func newCaller(t testing.TB, most int, addr string) *caller {
	c := &caller{answers: map[uint64]logic.Status{}}
	began := time.Now()
	c.Set = New(addr, most, func(ev core.Event) {
		e := ev.(core.CountResult)
		if c.after != nil {
			c.after(e)
			return
		}
		c.mu.Lock()
		c.answers[e.Call] = e.Status
		c.mu.Unlock()
	}, func() time.Duration { return time.Since(began) })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	return c
}

func (c *caller) call(id uint64, counter int) {
	c.Count(core.Count{Call: id, Counter: counter, Name: id, Amount: 1, Lives: time.Second, Until: time.Hour})
}

func (c *caller) answered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers)
}

// Three hundred limiters that find a new counter at the same moment make a connection each, and no call twice.
func TestManyThatFindACounterAtOnce(t *testing.T) {
	old, next := newHollow(t), newHollow(t)
	var all []*caller
	for range 300 {
		c := newCaller(t, mostLinks, old.addr)
		c.Reach(map[int]string{0: old.addr, 1: next.addr})
		all = append(all, c)
	}
	for _, c := range all {
		for id := range uint64(4) {
			c.call(1+id, 1)
		}
	}
	for _, c := range all {
		require.Eventually(t, func() bool { return c.answered() == 4 }, patience, time.Millisecond)
	}
	require.EqualValues(t, 300, next.conns.Load())
	require.EqualValues(t, 1200, next.calls.Load())
}

// More counters than connections: the calls that find no place fail at once, and connections that rest make place.
func TestConnectionsAreBounded(t *testing.T) {
	const counters, most = 48, 8
	list, hollows := map[int]string{}, []*hollow{}
	for k := range counters {
		h := newHollow(t)
		hollows, list[k] = append(hollows, h), h.addr
	}
	c := newCaller(t, most, list[0])
	c.Reach(list)
	id := uint64(0)
	reached := map[int]bool{}
	require.Eventually(t, func() bool {
		for k := range counters {
			if !reached[k] {
				id++
				c.call(id, k)
			}
		}
		for k, h := range hollows {
			reached[k] = reached[k] || h.calls.Load() > 0
		}
		require.LessOrEqual(t, c.open.Load(), int64(most))
		return len(reached) == counters && all(reached)
	}, patience, 20*time.Millisecond)
	require.Eventually(t, func() bool { return c.answered() == int(id) }, patience, time.Millisecond, "each call has its answer")
	c.Reach(map[int]string{0: list[0]})
	require.Eventually(t, func() bool {
		open := int64(0)
		for _, h := range hollows[1:] {
			open += h.open.Load()
		}
		return open == 0
	}, patience, time.Millisecond, "counters that are left have no connection")
}

func all(m map[int]bool) bool {
	for _, v := range m {
		if !v {
			return false
		}
	}
	return true
}

// BenchmarkCalls has ten limiters' sets call, over sockets, counters of which each bears what the platform's does, 660 a second.
func BenchmarkCalls(b *testing.B) {
	for _, n := range []int{1, 2, 4, 8, 16} {
		b.Run(fmt.Sprintf("counters=%d", n), func(b *testing.B) {
			var list []string
			for range n {
				h := newHollow(b)
				h.took = time.Second / 660
				list = append(list, h.addr)
			}
			ring := sharding.New(list)
			var made atomic.Int64
			done := make(chan struct{}, b.N)
			b.ResetTimer()
			for k := range 10 {
				c := newCaller(b, mostLinks, list[0])
				next := func() {
					if id := uint64(made.Add(1)); id <= uint64(b.N) {
						c.call(id, ring.Of(0, id, 0).To[0])
					}
				}
				c.after = func(e core.CountResult) {
					if e.Status != logic.OK {
						b.Errorf("call %d of set %d: %v", e.Call, k, e.Status)
					}
					done <- struct{}{}
					go next() // the answer comes under the client's lock
				}
				c.Reach(ring.Addresses())
				for range 16 * n {
					next()
				}
			}
			for range b.N {
				<-done
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// A counter that ends each connection as it comes is not connected to again and again without a pause.
func TestAConnectionThatEndsAtOnceIsNotMadeAgainAtOnce(t *testing.T) {
	t.Parallel()
	l, err := loopback.Listen()
	require.NoError(t, err)
	defer l.Close()
	var conns atomic.Int64
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			conns.Add(1)
			time.Sleep(time.Millisecond) // the dial has come about
			_ = conn.Close()
		}
	}()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	New(l.Addr().String(), 32, func(core.Event) {}, func() time.Duration { return 0 }).Run(ctx)
	require.LessOrEqual(t, conns.Load(), int64(time.Second/redialEvery)+1)
}
