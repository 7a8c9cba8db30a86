package main

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Beside 90,000 firms on a busy machine a test ran out of descriptors: the stand-in of a server kept each connection behind its
// thousandth that had ended.
func TestStandInServerClosesEveryEndedConnection(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", replyValue("v"))
	for k := range notedDisconnects + 10 {
		conn, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "connection %d stays open", k)
		require.NoError(t, conn.Close())
	}
}
