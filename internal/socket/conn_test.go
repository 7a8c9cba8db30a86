package socket

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/loopback"
)

const testTimeout = 20 * time.Second

// connectedPair returns an accepted connection and the client side of it.
func connectedPair(t *testing.T) (*Conn, net.Conn) {
	address, err := loopback.AnyPort()
	require.NoError(t, err)
	l, err := Listen(address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan *Conn, 1)
	go l.Serve(func() bool { return true }, func(c *Conn) { conns <- c })
	peer, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	_ = peer.SetDeadline(time.Now().Add(testTimeout))
	return <-conns, peer
}

// Bytes that the reader has taken from the kernel are handled before this side can find the connection drained, and bytes that
// arrive while they are handled are seen in the kernel: an owner that holds the lock misses neither.
func TestDrainedSeesBytesOnTheirWay(t *testing.T) {
	c, peer := connectedPair(t)
	var owner sync.Mutex
	handling, resume := make(chan struct{}), make(chan struct{})
	handled := 0
	owner.Lock()
	c.Serve(Reader{Lock: &owner, Handle: func(b []byte) {
		handled += len(b)
		owner.Unlock()
		handling <- struct{}{}
		<-resume
		owner.Lock()
	}, Ended: func() {}})
	require.Eventually(t, c.Drained, testTimeout, time.Millisecond)
	_, _ = io.WriteString(peer, "first")
	require.Eventually(t, func() bool { return !c.Drained() }, testTimeout, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	require.False(t, c.Drained(), "the reader took bytes although the owner held the lock")
	require.Zero(t, handled)
	owner.Unlock()
	<-handling
	owner.Lock()
	require.Equal(t, len("first"), handled)
	require.True(t, c.Drained())
	_, _ = io.WriteString(peer, "second")
	require.Eventually(t, func() bool { return !c.Drained() }, testTimeout, time.Millisecond)
	owner.Unlock()
	resume <- struct{}{}
	<-handling
	resume <- struct{}{}
	c.Close()
}

// Once the owner has stopped the reader, what the peer sends stays in the kernel, and the close tells the peer that it was not
// read. Bytes that were read are always handled.
func TestStoppedReaderTakesNothing(t *testing.T) {
	c, peer := connectedPair(t)
	var owner sync.Mutex
	stopped, handled := false, ""
	ended := make(chan struct{})
	c.Serve(Reader{Lock: &owner, Stopped: func() bool { return stopped }, Handle: func(b []byte) { handled += string(b) }, Ended: func() { close(ended) }})
	_, _ = io.WriteString(peer, "taken")
	require.Eventually(t, func() bool { owner.Lock(); defer owner.Unlock(); return handled == "taken" }, testTimeout, time.Millisecond)
	owner.Lock()
	stopped = true
	owner.Unlock()
	_, _ = io.WriteString(peer, "left")
	time.Sleep(20 * time.Millisecond)
	require.False(t, c.Drained())
	c.Close()
	<-ended
	require.Equal(t, "taken", handled)
	_, err := peer.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")
}

// A peer that sends more than its owner handles waits: no more than one piece is taken from the kernel.
func TestNothingIsReadBeforeItIsHandled(t *testing.T) {
	const sent = 64 << 20
	c, peer := connectedPair(t)
	var owner sync.Mutex
	most, taken, resume := 0, 0, make(chan struct{})
	ended := make(chan struct{})
	c.Serve(Reader{Lock: &owner, Await: func() int { <-resume; return 0 }, Handle: func(b []byte) {
		taken += len(b)
		most = max(most, len(b))
	}, Ended: func() { close(ended) }})
	written := make(chan error, 1)
	go func() {
		_, err := peer.Write(make([]byte, sent))
		_ = peer.Close()
		written <- err
	}()
	select {
	case <-written:
		require.Fail(t, "the peer's write ended although nothing was read")
	case <-time.After(200 * time.Millisecond):
	}
	owner.Lock()
	require.Zero(t, taken)
	owner.Unlock()
	close(resume)
	require.NoError(t, <-written)
	<-ended
	require.Equal(t, sent, taken)
	require.LessOrEqual(t, most, MaxReadBytes)
}

// The time since bytes came counts from when the kernel received them, whether or not they have been read.
func TestSinceReceivedCountsUnreadTime(t *testing.T) {
	conn, peer := connectedPair(t)
	const unread = 100 * time.Millisecond
	const resolution = 20 * time.Millisecond // of the kernel's clock, twice the longest tick
	time.Sleep(unread)
	_, err := peer.Write([]byte("x"))
	require.NoError(t, err)
	sent := time.Now()
	require.Eventually(t, func() bool { return !conn.Drained() }, testTimeout, time.Millisecond)
	require.LessOrEqual(t, conn.SinceReceived(), time.Since(sent)+resolution)
	time.Sleep(unread)
	require.GreaterOrEqual(t, conn.SinceReceived(), unread-resolution)
}
