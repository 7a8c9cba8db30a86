package upstream

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

const testTimeout = 20 * time.Second

// countSockets returns the number of sockets that this process holds.
func countSockets(t *testing.T) (n int) {
	descriptors, err := filepath.Glob("/proc/self/fd/*")
	require.NoError(t, err)
	for _, d := range descriptors {
		if to, err := os.Readlink(d); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// goroutineStacks returns the stacks of all goroutines of this process.
func goroutineStacks() string {
	text := make([]byte, 8<<20)
	return string(text[:runtime.Stack(text, true)])
}

// restingReaders returns how many readers of connections wait for bytes.
func restingReaders() (n int) {
	for _, stack := range strings.Split(goroutineStacks(), "\n\n") {
		if strings.Contains(stack, "[IO wait") && strings.Contains(stack, "socket.(*Conn).readOnce") {
			n++
		}
	}
	return n
}

// When the pool closes many idle connections at once, the close callbacks must not queue for the pool's lock. They found nothing
// left to do there, and the next try had to wait behind them.
//
// The fault test found 70 goroutines instead of the usual 26, with no descriptors for them. A limiter that was held up at random
// moments showed 85 and 86 in 2 of 120 runs; 53 and 59 of these waited for the pool's lock in connection.onClose.
//
// This test holds the lock until the descriptors of such connections are gone, and then counts the goroutines that wait for it.
func TestLocalClosesDoNotWaitForPoolLock(t *testing.T) {
	const connections = 60
	outcomes := make(chan core.Outcome, connections)
	pool := New(logic.Settings{}, connections, Memory{}, func(ev core.Event) {
		if o, ok := ev.(core.Outcome); ok {
			outcomes <- o
		}
	}, func() time.Duration { return reducerTime })
	pool.SetAddress(1, startServer(t))
	before := countSockets(t)
	for n := range connections { // concurrently, so that each gets its own connection
		pool.Try(core.Try{Key: core.Key{ID: uint64(n)}, Server: 1, Deadline: reducerTime + time.Second, SendUntil: reducerTime + time.Second, Origin: command{}})
	}
	for range connections {
		require.Equal(t, logic.OK, (<-outcomes).Status)
	}
	require.GreaterOrEqual(t, countSockets(t), before+2*connections, "the tries did not open a connection each, so the test proves nothing")
	// A reader that is on its way to look for more bytes holds its descriptor until it has the lock.
	require.Eventually(t, func() bool { return restingReaders() >= connections }, testTimeout, time.Millisecond)

	pool.mu.Lock()
	pool.closeIdle(pool.targets[1])
	require.Eventually(t, func() bool { return countSockets(t) <= before }, testTimeout, time.Millisecond)
	waiting := strings.Count(goroutineStacks(), "(*connection).onClose(")
	pool.mu.Unlock()
	require.Zero(t, waiting, "goroutines that wait for the pool's lock")
}
