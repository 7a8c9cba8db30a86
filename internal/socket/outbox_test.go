package socket

import (
	"bytes"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/memory"
)

// Plain and repeated writes are sent completely and in order, repeated bytes are held in memory only once, and the shared
// backlog is empty afterwards.
func TestOutboxPreservesOrder(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		shared := memory.NewBudget("test", 64<<20)
		c, peer := connectedPair(t)
		c.Serve(Reader{Lock: &sync.Mutex{}, Handle: func([]byte) {}, Ended: func() {}})
		out := NewOutbox(c, nil, shared)
		var expected bytes.Buffer
		for range 40 {
			chunk := bytes.Repeat([]byte{byte('a' + random.IntN(26))}, 1+random.IntN(3000))
			times := 1
			if random.IntN(2) == 0 {
				times = random.IntN(500)
			}
			require.True(t, out.WriteRepeated(chunk, times))
			expected.Write(bytes.Repeat(chunk, times))
			require.LessOrEqual(t, shared.Used(), int64(40*3000), "repeated bytes must be held in memory only once")
			if random.IntN(4) == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		out.CloseAfterFlush()
		received, err := io.ReadAll(peer)
		require.NoError(t, err)
		require.True(t, bytes.Equal(expected.Bytes(), received), "seed %d: received %d bytes, want %d", seed, len(received), expected.Len())
		require.Eventually(t, func() bool { return shared.Used() == 0 }, 20*time.Second, time.Millisecond)
	}
}
