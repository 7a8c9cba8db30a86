package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A limiter that stands still in the middle of a list, for longer than a list may, does not blame discovery for it: the rest has
// come meanwhile. It might do so where it stands still once more right then, so one of some is enough.
func TestALimiterThatStoodStillGoesOnWithItsList(t *testing.T) {
	t.Parallel()
	for range 5 {
		w, _, line := moved(t)
		w.settings = settings()
		half, stopped, whole := make(chan struct{}), make(chan struct{}), make(chan struct{})
		w.registry = agent(t, func(n int, conn net.Conn) {
			if n == 0 {
				_, _ = conn.Write([]byte(chunked + chunk("") + fmt.Sprintf("28\r\n%s\r\n", line[:0x28])))
				close(half)
				<-stopped
				_, _ = conn.Write([]byte(chunk(line[0x28:])))
				close(whole)
			}
			until(conn)
		})
		l := start(t, w)
		await(t, half, "half of the list")
		require.NoError(t, l.cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(300 * time.Millisecond) // over twice what a list may stand still for
		close(stopped)
		await(t, whole, "the rest of the list")
		require.NoError(t, l.cmd.Process.Signal(syscall.SIGCONT))
		require.Eventually(t, func() bool {
			return l.dial().do(ask("01")...) == "new" || strings.Contains(l.log.String(), "discovery says nothing more")
		}, patience, time.Millisecond)
		if !strings.Contains(l.log.String(), "discovery says nothing more") {
			return
		}
	}
	require.Fail(t, "discovery was blamed each time")
}
