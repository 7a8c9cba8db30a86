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

const testTimeout = 20 * time.Second

// fakeCounter answers every call with a total of 1, and counts its connections and calls.
type fakeCounter struct {
	addr            string
	accepted, calls atomic.Int64
	open            atomic.Int64

	mu           sync.Mutex
	callDuration time.Duration // how long each call occupies the counter; 0: calls are answered at once
	freeAt       time.Time
}

// waitTurn waits until the calls before this one, and this one, have been processed.
func (f *fakeCounter) waitTurn() {
	if f.callDuration == 0 {
		return
	}
	f.mu.Lock()
	if now := time.Now(); f.freeAt.Before(now.Add(-10 * f.callDuration)) {
		f.freeAt = now
	}
	f.freeAt = f.freeAt.Add(f.callDuration)
	at := f.freeAt
	f.mu.Unlock()
	time.Sleep(time.Until(at))
}

func newFakeCounter(t testing.TB) *fakeCounter {
	l, err := loopback.Listen()
	require.NoError(t, err)
	f := &fakeCounter{addr: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.accepted.Add(1)
			f.open.Add(1)
			go func() {
				defer f.open.Add(-1)
				defer conn.Close()
				for lines := bufio.NewScanner(conn); lines.Scan(); {
					answer := "pong"
					if strings.HasPrefix(lines.Text(), "add ") {
						f.waitTurn()
						f.calls.Add(1)
						answer = "ok 1"
					}
					if _, err := fmt.Fprintf(conn, "%s\r\n", answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return f
}

// testSet is a Set that records the status of each call by its id.
type testSet struct {
	*Set
	mu       sync.Mutex
	answers  map[uint64]logic.Status
	onResult func(core.CountResult) // receives the results; nil: they are recorded in answers
}

func newTestSet(t testing.TB, most int, addr string) *testSet {
	c := &testSet{answers: map[uint64]logic.Status{}}
	began := time.Now()
	c.Set = New(addr, most, func(ev core.Event) {
		e := ev.(core.CountResult)
		if c.onResult != nil {
			c.onResult(e)
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

func (c *testSet) call(id uint64, counter int) {
	c.Count(core.Count{Call: id, Counter: counter, Name: id, Amount: 1, TTL: time.Second, Deadline: time.Hour})
}

func (c *testSet) answered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers)
}

// Three hundred limiters that learn of a new counter at the same moment open one connection each and send no call twice.
func TestManyLimitersConnectToNewCounterAtOnce(t *testing.T) {
	old, next := newFakeCounter(t), newFakeCounter(t)
	var all []*testSet
	for range 300 {
		c := newTestSet(t, minConnectionLimit, old.addr)
		c.SetCounters(map[int]string{0: old.addr, 1: next.addr})
		all = append(all, c)
	}
	for _, c := range all {
		for id := range uint64(4) {
			c.call(1+id, 1)
		}
	}
	for _, c := range all {
		require.Eventually(t, func() bool { return c.answered() == 4 }, testTimeout, time.Millisecond)
	}
	require.EqualValues(t, 300, next.accepted.Load())
	require.EqualValues(t, 1200, next.calls.Load())
}

// With more counters than connections, calls that find no free connection fail at once, and idle connections are closed to
// make room.
func TestConnectionsAreBounded(t *testing.T) {
	const counters, maxOpen = 48, 8
	list, fakes := map[int]string{}, []*fakeCounter{}
	for k := range counters {
		f := newFakeCounter(t)
		fakes, list[k] = append(fakes, f), f.addr
	}
	c := newTestSet(t, maxOpen, list[0])
	c.SetCounters(list)
	id := uint64(0)
	reached := map[int]bool{}
	require.Eventually(t, func() bool {
		for k := range counters {
			if !reached[k] {
				id++
				c.call(id, k)
			}
		}
		for k, f := range fakes {
			reached[k] = reached[k] || f.calls.Load() > 0
		}
		require.LessOrEqual(t, c.open.Load(), int64(maxOpen))
		return len(reached) == counters && allTrue(reached)
	}, testTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool { return c.answered() == int(id) }, testTimeout, time.Millisecond, "every call has a result")
	c.SetCounters(map[int]string{0: list[0]})
	require.Eventually(t, func() bool {
		open := int64(0)
		for _, f := range fakes[1:] {
			open += f.open.Load()
		}
		return open == 0
	}, testTimeout, time.Millisecond, "removed counters have no connection")
}

func allTrue(m map[int]bool) bool {
	for _, v := range m {
		if !v {
			return false
		}
	}
	return true
}

// BenchmarkCalls measures ten limiters' sets calling counters over sockets. Each counter processes 660 calls a second, as
// the platform's does.
func BenchmarkCalls(b *testing.B) {
	for _, n := range []int{1, 2, 4, 8, 16} {
		b.Run(fmt.Sprintf("counters=%d", n), func(b *testing.B) {
			var list []string
			for range n {
				f := newFakeCounter(b)
				f.callDuration = time.Second / 660
				list = append(list, f.addr)
			}
			ring := sharding.New(list)
			var made atomic.Int64
			done := make(chan struct{}, b.N)
			b.ResetTimer()
			for k := range 10 {
				c := newTestSet(b, minConnectionLimit, list[0])
				next := func() {
					if id := uint64(made.Add(1)); id <= uint64(b.N) {
						c.call(id, ring.Targets(0, id, 0).Counters[0])
					}
				}
				c.onResult = func(e core.CountResult) {
					if e.Status != logic.OK {
						b.Errorf("call %d of set %d: %v", e.Call, k, e.Status)
					}
					done <- struct{}{}
					go next() // onResult runs under the client's lock
				}
				c.SetCounters(ring.Addresses())
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

// A counter that closes each connection right after accepting it is dialed at most once per redialInterval.
func TestImmediateDisconnectIsNotRedialedAtOnce(t *testing.T) {
	t.Parallel()
	l, err := loopback.Listen()
	require.NoError(t, err)
	defer l.Close()
	var conns atomic.Int64
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			conns.Add(1)
			time.Sleep(time.Millisecond) // lets the dial succeed first
			_ = conn.Close()
		}
	}()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	New(l.Addr().String(), 32, func(core.Event) {}, func() time.Duration { return 0 }).Run(ctx)
	require.LessOrEqual(t, conns.Load(), int64(time.Second/redialInterval)+1)
}
