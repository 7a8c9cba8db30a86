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
func TestStoppedLimiterResumesItsList(t *testing.T) {
	t.Parallel()
	for range 5 {
		w, _, line := drainedServerFixture(t)
		w.settings = settings()
		half, stopped, whole := make(chan struct{}), make(chan struct{}), make(chan struct{})
		w.registry = newAgent(t, func(n int, conn net.Conn) {
			if n == 0 {
				_, _ = conn.Write([]byte(chunkedHeader + chunk("") + fmt.Sprintf("28\r\n%s\r\n", line[:0x28])))
				close(half)
				<-stopped
				_, _ = conn.Write([]byte(chunk(line[0x28:])))
				close(whole)
			}
			waitForClose(conn)
		})
		l := start(t, w)
		await(t, half, "half of the list")
		require.NoError(t, l.cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(300 * time.Millisecond) // over twice what a list may stand still for
		close(stopped)
		await(t, whole, "the rest of the list")
		require.NoError(t, l.cmd.Process.Signal(syscall.SIGCONT))
		require.Eventually(t, func() bool {
			return l.dial().do(askArgs("01")...) == "new" || strings.Contains(l.log.String(), "discovery says nothing more")
		}, testTimeout, time.Millisecond)
		if !strings.Contains(l.log.String(), "discovery says nothing more") {
			return
		}
	}
	require.Fail(t, "discovery was blamed each time")
}

// Whoever is given the address of a server that has gone must not be taken for it: once a list names an address no more, nothing
// stays open to it, and nothing is sent there.
func TestConnectionsToRemovedAddressAreClosed(t *testing.T) {
	t.Parallel()
	for name, drop := range map[string]func(r *registry, former, other *server){
		"a whole list without the server": func(r *registry, _, other *server) { r.sendList(2, true, other) },
		"a change that calls it gone": func(r *registry, former, other *server) {
			former.state = "gone"
			r.sendList(2, false, former, other)
		},
		"a change of its address": func(r *registry, former, other *server) {
			r.sendList(2, false, &server{id: former.id, zone: former.zone, state: "ready", addr: other.addr})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			former, other := newServer(t, "s-1", "hall-a", replyValue("former")), newServer(t, "s-2", "hall-a", replyValue("other"))
			r := newRegistry(t)
			set := settings()
			set["caps"].(object)["connIdle"] = 60.0 // no connection ends for its rest before the test does
			c := start(t, fixture{settings: set, servers: []*server{former}, registry: r}).dial()
			require.Equal(t, "former", c.do(askArgs("01")...))
			drop(r, former, other)
			await(t, former.disconnected, "the end of the connection to the former address")
			came := len(former.received())
			for k := range 50 {
				require.Equal(t, "other", c.do(askArgs(fmt.Sprintf("%04x", k))...))
			}
			require.Len(t, former.received(), came)
		})
	}
}
