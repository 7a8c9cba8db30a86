package resp

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
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
