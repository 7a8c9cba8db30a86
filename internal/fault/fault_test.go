package fault

import (
	"bytes"
	"io"
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/loopback"
)

func TestSameSeedGivesSameScripts(t *testing.T) {
	require.Equal(t, Draw(7, 500), Draw(7, 500))
	require.NotEqual(t, Draw(7, 500).Scripts, Draw(8, 500).Scripts)
	for r := range NumRoles {
		require.NotEmpty(t, Draw(7, 500).ByRole(r), r)
	}
}

// If a single step of a single script makes a run fail, shrinking leaves just that script with that step.
func TestShrinkIsolatesFailingStep(t *testing.T) {
	for seed := range uint64(20) {
		p := Draw(seed, 300)
		index := slices.IndexFunc(p.Scripts, func(s Script) bool { return len(s.Steps) == 2 })
		bad, step := p.Scripts[index].Seed, p.Scripts[index].Steps[seed%2]
		runs := 0
		small := Shrink(p, 400, func(p Plan) bool {
			runs++
			return slices.ContainsFunc(p.Scripts, func(s Script) bool {
				return s.Seed == bad && slices.Contains(s.Steps, step)
			})
		})
		require.Len(t, small.Scripts, 1)
		require.Equal(t, []Step{step}, small.Scripts[0].Steps)
		require.Equal(t, 1, small.Scripts[0].Messages)
		require.LessOrEqual(t, runs, 400)
	}
	keep := Draw(1, 10)
	require.Equal(t, keep, Shrink(keep, 0, func(Plan) bool { return true }), "without runs the plan must not change")
}

// pair returns the two ends of a TCP connection over loopback.
func pair(t *testing.T) (a, b net.Conn) {
	l, err := loopback.Listen()
	require.NoError(t, err)
	defer l.Close()
	a, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	b, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	return a, b
}

// Each action, taken at each offset of a message, leaves the peer with exactly the bytes that the action documents.
func TestEachActionAtEachWriteOffset(t *testing.T) {
	message := []byte("add 1f 2 3000\r\n")
	for action := range numActions {
		for offset := 0; offset <= len(message)+1; offset++ {
			a, b := pair(t)
			c, err := NewConn(a, Script{Steps: []Step{{When: OnWrite, Message: 1, Offset: offset, Action: action, Amount: 3}}})
			require.NoError(t, err)
			copies, err := c.Send(message)
			require.NoError(t, err)
			require.Equal(t, 1, copies)
			written := min(offset, len(message))
			complete, endsWriting := written == len(message), action == Close || action == Reset || action == HalfClose
			require.Equal(t, action == Duplicate, c.DuplicatesNext())
			copies, err = c.Send(message)
			require.Equal(t, endsWriting, err != nil, "%s at %d: %v", action, offset, err)
			want := 1
			if action == Duplicate {
				want = 2
			} else if (endsWriting || action == Noise) && !complete {
				want = 0
			}
			require.Equal(t, want, copies, "%s at %d", action, offset)
			_ = c.Conn.Close()
			got, err := io.ReadAll(b)
			if action == Reset && err != nil {
				continue // a reset may discard bytes that the peer has not read yet
			}
			text := string(got[len(message):])
			switch {
			case action == Duplicate:
				require.Equal(t, strings.Repeat(string(message), 2), text)
			case action == Noise:
				require.Len(t, text, len(message)+3)
				require.Equal(t, string(message[:written]), text[:written])
				require.True(t, bytes.ContainsFunc(got, func(r rune) bool { return r > 0x7f }))
			case endsWriting:
				require.Equal(t, string(message[:written]), text)
			default:
				require.Equal(t, string(message), text)
			}
		}
	}
}

// The second copy of a duplicated message is never delayed by other steps for the same message: the peer could not tell a
// late copy from the next answer.
func TestDuplicateIsSentInOneWrite(t *testing.T) {
	for action := range numActions {
		a, b := pair(t)
		c, err := NewConn(a, Script{Steps: []Step{{When: OnWrite, Offset: 500, Action: action, Amount: 300}, {When: OnWrite, Action: Duplicate}}})
		require.NoError(t, err)
		copies, err := c.Send([]byte("ok 1\r\n"))
		require.NoError(t, err)
		require.Equal(t, 2, copies, action)
		buf := make([]byte, 100)
		n, err := b.Read(buf)
		require.NoError(t, err)
		require.Equal(t, "ok 1\r\nok 1\r\n", string(buf[:n]), action)
	}
}

// Reading stops at the offset of a step, and the action is taken there.
func TestActionAtReadOffset(t *testing.T) {
	for offset := 1; offset < 6; offset++ {
		a, b := pair(t)
		c, err := NewConn(a, Script{Steps: []Step{{When: OnRead, Offset: offset, Action: Close}}})
		require.NoError(t, err)
		_, err = b.Write([]byte("+PONG\r\n"))
		require.NoError(t, err)
		buf := make([]byte, 100)
		n, err := c.Read(buf)
		for err == nil && n < offset {
			var more int
			more, err = c.Read(buf[n:])
			n += more
		}
		require.ErrorIs(t, err, ErrScriptEnded)
		require.Equal(t, offset, n)
	}
}
