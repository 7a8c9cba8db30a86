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

// A limiter that is stopped in the middle of a list, for longer than a list may pause, does not report discovery as silent: the
// rest of the list has arrived meanwhile. It may still do so if the machine stalls it once more right then, so one success in
// five runs is enough.
func TestStoppedLimiterResumesItsList(t *testing.T) {
	t.Parallel()
	for range 5 {
		f, _, line := drainedServerFixture(t)
		f.settings = settings()
		halfSent, stopped, allSent := make(chan struct{}), make(chan struct{}), make(chan struct{})
		f.registry = newAgent(t, func(n int, conn net.Conn) {
			if n == 0 {
				_, _ = conn.Write([]byte(chunkedHeader + chunk("") + fmt.Sprintf("28\r\n%s\r\n", line[:0x28])))
				close(halfSent)
				<-stopped
				_, _ = conn.Write([]byte(chunk(line[0x28:])))
				close(allSent)
			}
			waitForClose(conn)
		})
		l := start(t, f)
		await(t, halfSent, "half of the list")
		require.NoError(t, l.cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(300 * time.Millisecond) // more than twice as long as a list may pause
		close(stopped)
		await(t, allSent, "the rest of the list")
		require.NoError(t, l.cmd.Process.Signal(syscall.SIGCONT))
		require.Eventually(t, func() bool {
			return l.dial().do(askArgs("01")...) == "new" || strings.Contains(l.log.String(), "discovery says nothing more")
		}, testTimeout, time.Millisecond)
		if !strings.Contains(l.log.String(), "discovery says nothing more") {
			return
		}
	}
	require.Fail(t, "the limiter reported discovery as silent in each of 5 runs")
}

// The address of a removed server may be given to another program, which must not be taken for the server. Once a list no longer
// names an address, the connections to it are closed and nothing is sent there.
func TestConnectionsToRemovedAddressAreClosed(t *testing.T) {
	t.Parallel()
	for name, removeAddress := range map[string]func(r *registry, former, other *server){
		"full list without the server": func(r *registry, _, other *server) { r.sendList(2, true, other) },
		"update that marks it gone": func(r *registry, former, other *server) {
			former.state = "gone"
			r.sendList(2, false, former, other)
		},
		"update of its address": func(r *registry, former, other *server) {
			r.sendList(2, false, &server{id: former.id, zone: former.zone, state: "ready", addr: other.addr})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			former, other := newServer(t, "s-1", "hall-a", replyValue("former")), newServer(t, "s-2", "hall-a", replyValue("other"))
			r := newRegistry(t)
			set := settings()
			set["caps"].(object)["connIdle"] = 60.0 // no connection is closed for being idle during the test
			c := start(t, fixture{settings: set, servers: []*server{former}, registry: r}).dial()
			require.Equal(t, "former", c.do(askArgs("01")...))
			removeAddress(r, former, other)
			await(t, former.disconnected, "the end of the connection to the former address")
			before := len(former.received())
			for k := range 50 {
				require.Equal(t, "other", c.do(askArgs(fmt.Sprintf("%04x", k))...))
			}
			require.Len(t, former.received(), before)
		})
	}
}
