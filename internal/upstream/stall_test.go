package upstream

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/internal/loopback"
	"bramblefall/internal/memory"
	"bramblefall/logic"
)

// An answer whose rest lies unread in the kernel, for want of memory or of a turn here, is not one whose server has stopped.
func TestAnswerThatWaitsForThisSideIsNotStalled(t *testing.T) {
	const valueBytes = 60 << 10
	l, err := loopback.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buf := make([]byte, 64)
		_, _ = conn.Read(buf)
		_, _ = conn.Write([]byte("*3\r\n$61440\r\n" + strings.Repeat("v", valueBytes) + "\r\n$-1\r\n$-1\r\n"))
		_, _ = conn.Read(buf)
	}()
	budget := memory.NewBudget("test", valueBytes)
	budget.Add(valueBytes)
	outcomes := make(chan core.Outcome, 1)
	pool := New(logic.Settings{}, 1, Memory{ServerData: budget}, func(ev core.Event) {
		if o, ok := ev.(core.Outcome); ok {
			outcomes <- o
		}
	}, func() time.Duration { return reducerTime })
	pool.SetAddress(1, l.Addr().(*net.TCPAddr).String())
	pool.Try(core.Try{Key: core.Key{ID: 1}, Server: 1, Deadline: reducerTime + time.Minute, SendUntil: reducerTime + time.Minute, Origin: command{}})
	select {
	case o := <-outcomes:
		require.Fail(t, "the try ended while its answer waited", "status %v", o.Status)
	case <-time.After(4 * replyStallTimeout):
	}
	budget.Add(-valueBytes)
	select {
	case o := <-outcomes:
		require.Equal(t, logic.OK, o.Status)
		require.Len(t, o.Value, valueBytes)
	case <-time.After(testTimeout):
		require.Fail(t, "no outcome after the memory was given back")
	}
	require.Eventually(t, func() bool { return budget.Used() == 0 }, testTimeout, time.Millisecond)
}
