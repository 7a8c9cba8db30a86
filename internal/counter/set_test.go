package counter

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

const patience = 20 * time.Second

// hollow is a counter that answers every call with 1 and counts its connections.
type hollow struct {
	addr         string
	conns, calls atomic.Int64
	open         atomic.Int64
}

func newHollow(t *testing.T) *hollow {
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
}

func newCaller(t *testing.T, most int, addr string) *caller {
	c := &caller{answers: map[uint64]logic.Status{}}
	began := time.Now()
	c.Set = New(addr, most, func(ev core.Event) {
		e := ev.(core.CountResult)
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
