package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
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

// A limiter that gets processor time for moments only, each pause longer than a list may pause, reads a long list to its end: its
// own pauses are no silence of discovery, and a list that began anew at each pause would never end.
func TestIntermittentLimiterReadsLongListOnce(t *testing.T) {
	t.Parallel()
	const (
		entries = 3000
		pauses  = 30
		pause   = 180 * time.Millisecond // a list may pause for an eighth of a second
		runTime = 2 * time.Millisecond
	)
	f, _, line := drainedServerFixture(t)
	f.settings = settings()
	startLong := make(chan struct{})
	var requests atomic.Int64
	f.registry = newAgent(t, func(_ int, conn net.Conn) {
		_, _ = conn.Write([]byte(chunkedHeader + chunk(line)))
		if requests.Add(1) == 1 {
			<-startLong
			_, _ = conn.Write([]byte(chunk(longList(t, 8, entries))))
		}
		for err := error(nil); err == nil; time.Sleep(500 * time.Millisecond) {
			_, err = conn.Write([]byte(chunk(""))) // nothing has changed
		}
	})
	l := start(t, f)
	require.Equal(t, "new", l.dial().do(askArgs("01")...))
	close(startLong)
	for range pauses {
		time.Sleep(runTime)
		l.whileStopped(pause, func() {})
	}
	attempts := 0
	require.Eventually(t, func() bool {
		attempts++
		return strings.HasPrefix(l.dial().do(askArgs(fmt.Sprintf("%04x", attempts))...), "-")
	}, testTimeout, 10*time.Millisecond, "all servers of the long list drain")
	require.EqualValues(t, 1, requests.Load(), "requests to discovery")
	require.NotContains(t, l.log.String(), "discovery says nothing more")
}

// longList returns a complete list of servers that drain.
func longList(t *testing.T, version, entries int) string {
	var servers []object
	for n := range entries {
		servers = append(servers, object{"id": fmt.Sprintf("s-%d", n), "addr": "127.0.0.1:1", "zone": "hall-a", "state": "draining"})
	}
	raw, err := json.Marshal(object{"version": version, "full": true, "servers": servers})
	require.NoError(t, err)
	return string(raw)
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
