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

func TestTheSameSeedGivesTheSameScripts(t *testing.T) {
	require.Equal(t, Draw(7, 500), Draw(7, 500))
	require.NotEqual(t, Draw(7, 500).Scripts, Draw(8, 500).Scripts)
	for r := range Roles {
		require.NotEmpty(t, Draw(7, 500).Of(r), r)
	}
}

// Whatever one script and one of its steps make a run fail, shrinking leaves just these.
func TestShrinkFindsTheScriptAndStepThatFail(t *testing.T) {
	for seed := range uint64(20) {
		p := Draw(seed, 300)
		at := slices.IndexFunc(p.Scripts, func(s Script) bool { return len(s.Steps) == 2 })
		bad, step := p.Scripts[at].Seed, p.Scripts[at].Steps[seed%2]
		asked := 0
		small := Shrink(p, 400, func(p Plan) bool {
			asked++
			return slices.ContainsFunc(p.Scripts, func(s Script) bool {
				return s.Seed == bad && slices.Contains(s.Steps, step)
			})
		})
		require.Len(t, small.Scripts, 1)
		require.Equal(t, []Step{step}, small.Scripts[0].Steps)
		require.Equal(t, 1, small.Scripts[0].Messages)
		require.LessOrEqual(t, asked, 400)
	}
	keep := Draw(1, 10)
	require.Equal(t, keep, Shrink(keep, 0, func(Plan) bool { return true }), "no tries, no change")
}

// pair is two ends of a connection on loopback.
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

// At each offset of a message, each act leaves the other side with the bytes that it says.
func TestEachActAtEachOffset(t *testing.T) {
	message := []byte("add 1f 2 3000\r\n")
	for act := range acts {
		for at := 0; at <= len(message)+1; at++ {
			a, b := pair(t)
			c, err := Follow(a, Script{Steps: []Step{{When: Writing, Message: 1, At: at, Do: act, For: 3}}})
			require.NoError(t, err)
			times, err := c.Send(message)
			require.NoError(t, err)
			require.Equal(t, 1, times)
			cut := min(at, len(message))
			whole, ends := cut == len(message), act == Close || act == Reset || act == HalfClose
			require.Equal(t, act == Twice, c.Twice())
			times, err = c.Send(message)
			require.Equal(t, ends, err != nil, "%s at %d: %v", act, at, err)
			want := 1
			if act == Twice {
				want = 2
			} else if (ends || act == Noise) && !whole {
				want = 0
			}
			require.Equal(t, want, times, "%s at %d", act, at)
			_ = c.Conn.Close()
			got, err := io.ReadAll(b)
			if act == Reset && err != nil {
				continue // what a reset overtakes is lost
			}
			text := string(got[len(message):])
			switch {
			case act == Twice:
				require.Equal(t, strings.Repeat(string(message), 2), text)
			case act == Noise:
				require.Len(t, text, len(message)+3)
				require.Equal(t, string(message[:cut]), text[:cut])
				require.True(t, bytes.ContainsFunc(got, func(r rune) bool { return r > 0x7f }))
			case ends:
				require.Equal(t, string(message[:cut]), text)
			default:
				require.Equal(t, string(message), text)
			}
		}
	}
}

// A second copy never comes late, whatever else a script has for its message: it could not be told from the next answer.
func TestASecondCopyComesInOnePieceWithTheFirst(t *testing.T) {
	for act := range acts {
		a, b := pair(t)
		c, err := Follow(a, Script{Steps: []Step{{When: Writing, At: 500, Do: act, For: 300}, {When: Writing, Do: Twice}}})
		require.NoError(t, err)
		times, err := c.Send([]byte("ok 1\r\n"))
		require.NoError(t, err)
		require.Equal(t, 2, times, act)
		buf := make([]byte, 100)
		n, err := b.Read(buf)
		require.NoError(t, err)
		require.Equal(t, "ok 1\r\nok 1\r\n", string(buf[:n]), act)
	}
}

// Reading stops at the offset, and the act comes there.
func TestActAtAnOffsetOfWhatIsRead(t *testing.T) {
	for at := 1; at < 6; at++ {
		a, b := pair(t)
		c, err := Follow(a, Script{Steps: []Step{{When: Reading, At: at, Do: Close}}})
		require.NoError(t, err)
		_, err = b.Write([]byte("+PONG\r\n"))
		require.NoError(t, err)
		buf := make([]byte, 100)
		n, err := c.Read(buf)
		for err == nil && n < at {
			var more int
			more, err = c.Read(buf[n:])
			n += more
		}
		require.ErrorIs(t, err, ErrOver)
		require.Equal(t, at, n)
	}
}
