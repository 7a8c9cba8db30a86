package resp

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A parser that has buffered a large burst releases that memory once it has read it, rather than holding it for the
// connection's lifetime, and reads what follows correctly.
func TestParserReleasesMemoryAfterBurst(t *testing.T) {
	var p Parser
	ping := AppendCommand(nil, []byte("PING"))
	p.Feed(bytes.Repeat(ping, 1<<16))
	for range 1 << 16 {
		_, ok, err := p.Command()
		assert.True(t, ok && err == nil)
	}
	assert.LessOrEqual(t, cap(p.buf), maxIdleBufferBytes)
	p.Feed(ping[:5])
	p.Feed(ping[5:])
	args, ok, err := p.Command()
	assert.True(t, ok && err == nil && string(args[0]) == "PING")
}

// A client that sends large commands one behind the other kept 60 KB for each connection between two of them, in no budget: the
// buffer of the command before, with the first bytes of the next in it.
func TestParserKeepsNoBufferOfLargeCommandBehindIt(t *testing.T) {
	t.Parallel()
	const valueBytes = 60000
	command := AppendCommand(nil, []byte("Q.DO"), bytes.Repeat([]byte("p"), valueBytes))
	var p Parser
	for k := range 3 {
		p.Feed(command[len(p.buf)-p.pos:])
		p.Feed(command[:100])
		args, ok, err := p.Command()
		require.NoError(t, err)
		require.True(t, ok)
		assert.Len(t, args[1], valueBytes, "command %d", k)
		assert.LessOrEqual(t, cap(p.buf), maxIdleBufferBytes, "command %d", k)
		assert.Equal(t, 100, p.Buffered())
	}
}

// Skip consumes exactly the bytes that Command consumes, and fails where it fails, for complete, truncated and corrupted
// commands.
func TestSkipConsumesSameBytesAsCommand(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := [][]byte{nil, []byte("PING"), []byte("Q.ASK"), bytes.Repeat([]byte("x"), 200), []byte("*2\r\n$1\r\n")}
	for range 20000 {
		var text []byte
		for range 1 + random.IntN(3) {
			args := make([][]byte, random.IntN(5))
			for k := range args {
				args[k] = candidates[random.IntN(len(candidates))]
			}
			text = AppendCommand(text, args...)
		}
		if random.IntN(2) == 0 {
			text[random.IntN(len(text))] = "*$0123456789-\r\nx"[random.IntN(16)]
		}
		text = text[:random.IntN(len(text)+1)]
		var reader, skipper Parser
		reader.Feed(text)
		skipper.Feed(text)
		for {
			args, ok, err := reader.Command()
			n, skipped, failed := skipper.Skip()
			require.Equal(t, ok, skipped, "%q", text)
			require.Equal(t, err, failed, "%q", text)
			if !ok {
				break
			}
			require.Equal(t, len(args), n, "%q", text)
			require.Equal(t, reader.Buffered(), skipper.Buffered(), "%q", text)
		}
	}
}

// A command that is discarded ends where it would have ended, is refused for what Command refuses, and keeps no memory meanwhile,
// wherever it is cut into pieces and from whichever piece on it is discarded.
func TestDiscardedCommandEndsWhereItWouldHave(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 2))
	next := AppendCommand(nil, []byte("PING"))
	for range 2000 {
		args := make([][]byte, 1+random.IntN(4))
		for k := range args {
			args[k] = bytes.Repeat([]byte("x"), random.IntN(20000))
		}
		text := AppendCommand(nil, args...)
		if random.IntN(3) == 0 {
			text[random.IntN(len(text))] = "*$0123456789-\r\nx"[random.IntN(16)]
		}
		text = append(text, next...)
		var whole Parser
		whole.Feed(text)
		_, wantOK, wantErr := whole.Command()
		var p Parser
		var ok bool
		var err error
		discardFrom := random.IntN(5)
		for k, at := 0, 0; at < len(text) && !ok && err == nil; k++ {
			n := min(1+random.IntN(4000), len(text)-at)
			p.Feed(text[at : at+n])
			at += n
			if k < discardFrom {
				_, ok, err = p.Command()
				continue
			}
			if !p.Discarding() {
				p.Discard()
			}
			_, ok, err = p.Skip()
			require.Less(t, p.Buffered(), maxLineBytes+4000)
			require.LessOrEqual(t, p.Need(), p.Buffered())
			if ok {
				p.Feed(text[at:])
			}
		}
		require.Equal(t, wantOK, ok, "%.60q", text)
		require.Equal(t, wantErr, err, "%.60q", text)
		if ok && p.Buffered() >= len(next) {
			require.Equal(t, whole.Buffered(), p.Buffered())
		}
	}
}

// A command that is discarded is bounded in its length like any other.
func TestDiscardedCommandIsBounded(t *testing.T) {
	t.Parallel()
	var p Parser
	p.Feed([]byte("*60\r\n"))
	p.Discard()
	value := AppendBulk(nil, bytes.Repeat([]byte("x"), 10000))
	fed := 0
	for range 60 {
		p.Feed(value)
		if fed += len(value); fed > maxMessageBytes {
			break
		}
		_, ok, err := p.Skip()
		require.NoError(t, err)
		require.False(t, ok)
	}
	_, _, err := p.Skip()
	require.ErrorIs(t, err, ErrProtocol)
}
