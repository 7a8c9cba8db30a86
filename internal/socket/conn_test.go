package socket

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/loopback"
)

// pair is a connection that a listener has accepted, prepared as the test says, and the other side of it.
func pair(t *testing.T, prepare func(*Conn)) (*Conn, net.Conn) {
	address, err := loopback.AnyPort()
	require.NoError(t, err)
	l, err := Listen(address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan *Conn, 1)
	events, err := netpoll.NewEventLoop(nil, netpoll.WithOnPrepare(func(raw netpoll.Connection) context.Context {
		c := Wrap(raw)
		prepare(c)
		conns <- c
		return context.Background()
	}))
	require.NoError(t, err)
	go func() { _ = events.Serve(l) }()
	peer, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return <-conns, peer
}

// Bytes that netpoll has taken from the kernel, and that nobody was told of, when we end the connection: they are shown once
// more, and what is said to them goes out before the end.
func TestWhatWasTakenBeforeOurEndIsAnswered(t *testing.T) {
	told, on, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	c, peer := pair(t, func(c *Conn) {
		c.Late(func(b []byte) []byte { return append([]byte("late:"), b...) })
		c.Serve(func() {
			_ = c.Take(func([]byte) {})
			close(told)
			<-on // more comes meanwhile
		}, func() { close(ended) })
	})
	_ = peer.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(peer, "first")
	<-told
	_, _ = io.WriteString(peer, "second")
	require.Eventually(t, func() bool { return c.raw.Reader().Len() == len("second") }, 20*time.Second, time.Millisecond)
	c.Close()
	close(on)
	said, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, "late:second", string(said))
	<-ended
}

// Bytes that have been taken from the kernel and not been told of yet, as by a poller that is about to: the connection is not
// settled, though kernel and buffer have nothing of it.
func TestBytesOnTheirWayThroughThePollerAreSeen(t *testing.T) {
	c, peer := pair(t, func(*Conn) {}) // nobody reads: without a request callback the buffer is left alone
	require.Eventually(t, c.Settled, 20*time.Second, time.Millisecond)
	_, _ = io.WriteString(peer, "taken")
	require.Eventually(t, func() bool { return c.raw.Reader().Len() == len("taken") }, 20*time.Second, time.Millisecond)
	require.False(t, c.Settled(), "in the buffer")
	_, err := c.raw.Reader().Next(len("taken")) // and now nowhere: neither with the kernel, nor in the buffer, nor handed over
	require.NoError(t, err)
	require.False(t, c.Settled(), "on their way")
}
