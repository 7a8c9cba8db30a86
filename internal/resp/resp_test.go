package resp

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What a flood needed is not kept for as long as its connection lives, and what came behind it is read all the same.
func TestAFloodThatIsOverHoldsNoMemory(t *testing.T) {
	var p Parser
	ping := AppendCommand(nil, []byte("PING"))
	p.Feed(bytes.Repeat(ping, 1<<16))
	for range 1 << 16 {
		_, ok, err := p.Command()
		assert.True(t, ok && err == nil)
	}
	assert.LessOrEqual(t, cap(p.buf), mostKept)
	p.Feed(ping[:5])
	p.Feed(ping[5:])
	args, ok, err := p.Command()
	assert.True(t, ok && err == nil && string(args[0]) == "PING")
}

// Skip goes over exactly what Command reads: whole, cut and spoilt commands alike.
func TestSkipGoesOverWhatCommandReads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	words := [][]byte{nil, []byte("PING"), []byte("Q.ASK"), bytes.Repeat([]byte("x"), 200), []byte("*2\r\n$1\r\n")}
	for range 20000 {
		var text []byte
		for range 1 + random.IntN(3) {
			args := make([][]byte, random.IntN(5))
			for k := range args {
				args[k] = words[random.IntN(len(words))]
			}
			text = AppendCommand(text, args...)
		}
		if random.IntN(2) == 0 {
			text[random.IntN(len(text))] = "*$0123456789-\r\nx"[random.IntN(16)]
		}
		text = text[:random.IntN(len(text)+1)]
		var reads, skips Parser
		reads.Feed(text)
		skips.Feed(text)
		for {
			args, ok, err := reads.Command()
			n, skipped, failed := skips.Skip()
			require.Equal(t, ok, skipped, "%q", text)
			require.Equal(t, err, failed, "%q", text)
			if !ok {
				break
			}
			require.Equal(t, len(args), n, "%q", text)
			require.Equal(t, reads.Buffered(), skips.Buffered(), "%q", text)
		}
	}
}
