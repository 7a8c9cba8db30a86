package lab

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/loopback"
)

// pausedConn is a connection whose process stands still in its first read, until after the deadline.
type pausedConn struct {
	net.Conn
	deadline time.Time
	paused   bool
}

func (c *pausedConn) SetDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetDeadline(t)
}

func (c *pausedConn) Read(b []byte) (int, error) {
	if !c.paused {
		c.paused = true
		time.Sleep(time.Until(c.deadline) + 10*time.Millisecond)
	}
	return c.Conn.Read(b)
}

// An answer that arrived while the lab's own process stood still is an answer; a limiter that sent none is still found out.
func TestAnswerThatArrivedDuringPauseCounts(t *testing.T) {
	t.Parallel()
	for reply, want := range map[string]Outcome{"$1\r\nv\r\n": Served, "": Unanswered} {
		listener, err := loopback.Listen()
		require.NoError(t, err)
		defer listener.Close()
		go func() {
			if conn, err := listener.Accept(); err == nil {
				_, _ = conn.Read(make([]byte, 64))
				_, _ = io.WriteString(conn, reply)
				time.Sleep(3 * time.Second)
				_ = conn.Close()
			}
		}()
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		client := &respConn{conn: &pausedConn{Conn: conn}}
		outcome, _, _ := client.exchange([]byte("PING\r\n"), time.Millisecond)
		require.Equal(t, want, outcome, "reply %q", reply)
	}
}
