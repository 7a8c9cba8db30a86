package socket

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is queued goes out whole and in order, however it is mixed, and nothing is held for it afterwards; bytes that are repeated
// are held once.
func TestAnOutboxKeepsTheOrder(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		shared := NewBacklog(64 << 20)
		c, peer := pair(t, func(c *Conn) { c.Serve(func() {}, func() {}) })
		_ = peer.SetDeadline(time.Now().Add(20 * time.Second))
		out := NewOutbox(c, nil, shared)
		var expected bytes.Buffer
		for range 40 {
			word := bytes.Repeat([]byte{byte('a' + random.IntN(26))}, 1+random.IntN(3000))
			times := 1
			if random.IntN(2) == 0 {
				times = random.IntN(500)
			}
			require.True(t, out.Repeat(word, times))
			expected.Write(bytes.Repeat(word, times))
			require.LessOrEqual(t, shared.bytes.Load(), int64(40*3000), "held once")
			if random.IntN(4) == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		out.CloseAfter()
		said, err := io.ReadAll(peer)
		require.NoError(t, err)
		require.True(t, bytes.Equal(expected.Bytes(), said), "seed %d: %d bytes of %d", seed, len(said), expected.Len())
		require.Eventually(t, func() bool { return shared.bytes.Load() == 0 }, 20*time.Second, time.Millisecond)
	}
}
