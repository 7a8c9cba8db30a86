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

// Clients that stall in the middle of a command must not hold their places against others: one of them is evicted, and those that
// stay may still send the rest.
func TestStalledPartialCommandIsEvicted(t *testing.T) {
	t.Parallel()
	const maxClients = 4
	s := newFixtureWithLimit(t, maxClients, 0, serve)
	var stalled []*net.TCPConn
	for range maxClients {
		conn := s.dial()
		s.write(conn, ask("half")[:30])
		stalled = append(stalled, conn)
	}
	serves := func() bool {
		conn, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(conn, string(resp.AppendCommand(nil, []byte("PING"))))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return line == "+PONG\r\n"
	}
	began := time.Now()
	for !serves() {
		require.Less(t, time.Since(began), testTimeout, "each new connection was closed unread")
		time.Sleep(time.Millisecond)
	}
	newest := stalled[maxClients-1] // the one that had stalled longest was evicted
	s.write(newest, ask("half")[30:])
	s.waitForRequests(1)
}
