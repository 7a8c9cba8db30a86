package discovery

import (
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/loopback"
	"bramblefall/logic"
)

// An entry without an id names no server: it is not posted, neither in a complete list nor in the part of one that stalls.
func TestEntryWithoutIDIsIgnored(t *testing.T) {
	var requests atomic.Int64
	r := &recorder{ready: addresses{}}
	startClient(t, r, serve(t, func(req *http.Request, out io.Writer) {
		switch requests.Add(1) {
		case 1:
			writeList(out, 41, 3, "")
		case 2:
			_, _ = io.WriteString(out, `{"version":42,"full":true,"servers":[{},{"state":"draining"},{}`)
			<-req.Context().Done()
		default:
			_, _ = io.WriteString(out, `{"version":43,"full":true,"servers":[{},{"id":"s-1","addr":"127.0.0.1:1","state":"ready"}]}`+"\n")
			<-req.Context().Done()
		}
	}))
	eventually(t, "the third list", func() bool { return r.size() == 1 })
	require.Equal(t, 2, r.posts(), "lists posted: the first and the third")
}

// Only a reader that waits while the kernel has nothing for it shows a stall of discovery.
func TestStallNeedsAWaitingReaderWithoutBytes(t *testing.T) {
	listener, err := loopback.Listen()
	require.NoError(t, err)
	defer listener.Close()
	m := idleMonitor(timingOf(logic.Settings{}))
	conn, err := m.dial(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	peer, err := listener.Accept()
	require.NoError(t, err)
	defer peer.Close()
	send := func() {
		_, err := io.WriteString(peer, `{"version":`)
		require.NoError(t, err)
		m.mu.Lock()
		defer m.mu.Unlock()
		require.Eventually(t, m.hasPending, testTimeout, time.Millisecond)
	}
	read := func() (n int, err error) {
		require.NoError(t, conn.(monitoredConn).raw.Control(func(fd uintptr) { n, err = m.read(int(fd), make([]byte, 64)) }))
		return n, err
	}
	send()
	n, err := read()
	require.NoError(t, err)
	require.Positive(t, n)
	for range 3 {
		require.False(t, m.isStalled(), "the reader is not waiting: it works on what it has read")
	}
	_, err = read()
	require.ErrorIs(t, err, syscall.EAGAIN)
	send()
	for range 3 {
		require.False(t, m.isStalled(), "the reader waits, but the kernel has bytes for it")
	}
	_, err = read()
	require.NoError(t, err)
	_, err = read()
	require.ErrorIs(t, err, syscall.EAGAIN)
	require.False(t, m.isStalled(), "the first timeout only starts the final check")
	require.True(t, m.isStalled())
}
