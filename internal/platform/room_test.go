package platform_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/resp"
)

// Clients that have brought half a command and rest hold no place against others: one of them makes room, and those that stay
// may bring the rest.
func TestHalfACommandMakesRoom(t *testing.T) {
	t.Parallel()
	const most = 4
	s := newStandFor(t, most, 0, serve)
	var halves []*net.TCPConn
	for range most {
		conn := s.dial()
		s.write(conn, ask("half")[:30])
		halves = append(halves, conn)
	}
	let := func() bool {
		conn, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(patience))
		_, _ = io.WriteString(conn, string(resp.AppendCommand(nil, []byte("PING"))))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return line == "+PONG\r\n"
	}
	began := time.Now()
	for !let() {
		require.Less(t, time.Since(began), patience, "shut unread each time")
		time.Sleep(time.Millisecond)
	}
	last := halves[most-1] // the one that has rested longest has gone
	s.write(last, ask("half")[30:])
	s.taken(1)
}
