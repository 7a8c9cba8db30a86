package socket

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/fairqueue"
)

// A reader that finds nothing left to read while another has the turn takes note of it: the peer, which has sent much and waits,
// is still there.
func TestPeerThatWaitsIsPresentWhileOthersHaveTurns(t *testing.T) {
	const sent = 2 * trustedBytes
	c, peer := connectedPair(t)
	_, err := peer.Write(make([]byte, sent))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return Descriptor{c.raw}.Unread() == sent }, testTimeout, time.Millisecond)
	q := fairqueue.New(1, nil)
	stop, held := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop) })
	var owner sync.Mutex
	handled := 0
	c.TrackPeer()
	c.Serve(Reader{Lock: &owner, Turns: q, Ended: func() {}, Handle: func(b []byte) {
		if handled += len(b); handled < sent {
			return
		}
		go func() {
			if q.Acquire(&fairqueue.Flow{}, stop) {
				close(held)
			}
		}()
		for q.Waiting() == 0 {
			time.Sleep(time.Millisecond)
		}
	}})
	<-held
	require.Eventually(t, func() bool { return c.PeerState() == PeerPresent }, testTimeout, time.Millisecond)
	time.Sleep(2 * presenceTime)
	require.Equal(t, PeerPresent, c.PeerState())
	require.NoError(t, peer.Close())
	require.Eventually(t, func() bool { return c.PeerState() == PeerGone }, testTimeout, time.Millisecond)
}
