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

// connectedPair returns an accepted connection, set up by prepare, and the client side of it.
func connectedPair(t *testing.T, prepare func(*Conn)) (*Conn, net.Conn) {
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

// Bytes that netpoll has read from the kernel but not delivered when this side closes the connection are passed to the late
// handler, and its answer is sent before the close.
func TestBufferedBytesAreAnsweredBeforeLocalClose(t *testing.T) {
	readable, resume, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	c, peer := connectedPair(t, func(c *Conn) {
		c.SetLateHandler(func(b []byte) []byte { return append([]byte("late:"), b...) })
		c.Serve(func() {
			_ = c.Take(func([]byte) {})
			close(readable)
			<-resume // hold the callback while more bytes arrive
		}, func() { close(ended) })
	})
	_ = peer.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(peer, "first")
	<-readable
	_, _ = io.WriteString(peer, "second")
	require.Eventually(t, func() bool { return c.raw.Reader().Len() == len("second") }, 20*time.Second, time.Millisecond)
	c.Close()
	close(resume)
	received, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, "late:second", string(received))
	<-ended
}

// Bytes that the poller has read from the kernel but not yet buffered are neither in the kernel nor in netpoll's buffer. The
// connection must not count as drained while they are on their way.
func TestDrainedThroughPollerSeesBytesHeldByPoller(t *testing.T) {
	c, peer := connectedPair(t, func(*Conn) {}) // no reader: without a request callback netpoll leaves the buffer alone
	require.Eventually(t, c.DrainedThroughPoller, 20*time.Second, time.Millisecond)
	_, _ = io.WriteString(peer, "taken")
	require.Eventually(t, func() bool { return c.raw.Reader().Len() == len("taken") }, 20*time.Second, time.Millisecond)
	require.False(t, c.DrainedThroughPoller(), "bytes are still in netpoll's buffer")
	_, err := c.raw.Reader().Next(len("taken")) // now in neither the kernel nor the buffer, and not delivered
	require.NoError(t, err)
	require.False(t, c.DrainedThroughPoller(), "bytes were read from the kernel but not delivered")
}
