package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/loopback"
)

// resetConn closes a connection with a reset instead of an orderly close.
func resetConn(conn net.Conn, _ []string) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// The outcome of a try decides where the request may be retried: a keyed request whose first try may have run goes only to servers
// of the same hall, and one that certainly did not run goes to any server.
func TestRetryScopeFollowsOutcome(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first       func(net.Conn, []string)
		refuses     bool   // the first server's address refuses connections
		inOtherHall string // the client's answer if the second server stands in another hall
	}{
		"busy":                {first: replyRaw("-BUSY\r\n"), inOtherHall: "v"},
		"busy with load":      {first: replyRaw("-BUSY inflight=7,queue=2,util=0.61\r\n"), inOtherHall: "v"},
		"busy misspelt":       {first: replyRaw("-BUSYBODY\r\n"), inOtherHall: "-ERR failed"},
		"busy with noise":     {first: replyRaw("-BUSY \x00\xff\r\n"), inOtherHall: "-ERR failed"},
		"refused connection":  {refuses: true, inOtherHall: "v"},
		"error":               {first: replyRaw("-ERR failed\r\n"), inOtherHall: "-ERR failed"},
		"reset":               {first: resetConn, inOtherHall: "-ERR failed"},
		"null":                {first: replyRaw("$-1\r\n"), inOtherHall: "-ERR failed"},
		"array of a null":     {first: replyRaw("*3\r\n$-1\r\n$-1\r\n$-1\r\n"), inOtherHall: "-ERR failed"},
		"garbage":             {first: replyRaw("hello\r\n"), inOtherHall: "-ERR failed"},
		"a value without end": {first: replyRaw("$99999999\r\n"), inOtherHall: "-ERR failed"},
		"a value too short":   {first: replyRaw("*3\r\n$100\r\nstale\r\n$-1\r\n$-1\r\n"), inOtherHall: "-ERR failed"},
		"a line without end":  {first: replyRaw("-ERR fai"), inOtherHall: "-ERR failed"},
		"a value alone":       {first: replyRaw("$5\r\nstale\r\n"), inOtherHall: "-ERR failed"},
		"too few parts":       {first: replyRaw("*1\r\n$5\r\nstale\r\n"), inOtherHall: "-ERR failed"},
	} {
		for zone, want := range map[string]string{"hall-x": "v", "hall-y": c.inOtherHall} { // the settings know neither hall
			t.Run(name+" "+zone, func(t *testing.T) {
				t.Parallel()
				first, second := newServer(t, "s-1", "hall-x", c.first), newServer(t, "s-2", zone, replyValue("v"))
				if c.refuses {
					first.addr = refusingAddress(t)
				}
				second.state = "draining" // the first try goes to the first server
				r := newRegistry(t)
				if c.refuses {
					second.state = "ready"
				} else {
					first.handle = func(conn net.Conn, args []string) {
						first.state, second.state = "draining", "ready" // a retry can only go to the second server
						r.sendList(2, false, first, second)
						time.Sleep(200 * time.Millisecond) // so that the new list arrives before this reply
						c.first(conn, args)
					}
				}
				cl := start(t, fixture{servers: []*server{first, second}, registry: r}).dial()
				assert.Equal(t, want, cl.do(doArgs("01")...))
				assert.LessOrEqual(t, len(first.received()), 1, "a try was sent twice")
			})
		}
	}
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	l, err := loopback.Listen()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// A garbage reply fails only the call that it belongs to, and its connection is not used again.
func TestGarbageReplyFailsOnlyThatCall(t *testing.T) {
	t.Parallel()
	n := 0
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		if n++; n == 1 {
			_, _ = io.WriteString(conn, "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n")
			return
		}
		replyValue("v")(conn, args)
	})
	c := start(t, fixture{servers: []*server{s}}).dial()
	assert.Equal(t, "v", c.do(askArgs("01")...), "the class allows a further try")
	time.Sleep(50 * time.Millisecond) // a connection is not reused right after a reply
	assert.Equal(t, "v", c.do(askArgs("02")...))
	assert.Equal(t, 2, s.connections(), "the connection that brought garbage must not be used again")
}

// Bytes that a server sends after its reply belong to no request: the next request on that connection must not get them.
func TestBytesAfterReplyAreDiscarded(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		_, _ = fmt.Fprintf(conn, "*3\r\n$2\r\n%s\r\n$-1\r\n$-1\r\n*3\r\n$5\r\nstale\r\n$-1\r\n$-1\r\n", args[2])
	})
	c := start(t, fixture{servers: []*server{s}}).dial()
	for _, id := range []string{"01", "02", "03"} {
		assert.Equal(t, id, c.do(askArgs(id)...))
	}
}

// Bytes after a reply may also arrive a moment later, when the next command has already been sent. No request must get them.
func TestLateBytesAfterReplyAreDiscarded(t *testing.T) {
	t.Parallel()
	sent := make(chan struct{})
	var wrote, seen time.Time
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		if args[2] != "01" {
			seen = time.Now()
			replyValue(args[2])(conn, args)
			return
		}
		wrote = time.Now()
		replyValue(args[2])(conn, args)
		<-sent
		replyValue("stale")(conn, args)
	})
	c := start(t, fixture{servers: []*server{s}}).dial()
	for began, closeTogether := time.Now(), 0; closeTogether < 20 && time.Since(began) < testTimeout; {
		require.Equal(t, "01", c.do(askArgs("01")...))
		c.write(encodeCommand(askArgs("02")...))
		sent <- struct{}{}
		require.Equal(t, "02", c.readReply())
		if seen.Sub(wrote) < 10*time.Millisecond { // otherwise the machine was too busy for the reply and the next command to come close together
			closeTogether++
		}
	}
}

// A command must not be written to an idle connection that the server is about to close. Once a connection has been idle for a part
// of the server's limit, a new one is opened instead.
func TestOldIdleConnectionIsNotReused(t *testing.T) {
	t.Parallel()
	set := settings()
	set["caps"].(object)["connIdle"] = 0.2
	s := newServer(t, "s-1", "hall-a", replyValue("v"))
	c := start(t, fixture{settings: set, servers: []*server{s}}).dial()
	require.Equal(t, "v", c.do(askArgs("01")...))
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, "v", c.do(askArgs("02")...))
	assert.Equal(t, 2, s.connCount)
}

// A client gets its answer at its deadline although the server stays silent, and the connection of the try is closed.
func TestUnansweredTryEndsAtDeadline(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	c := start(t, fixture{servers: []*server{s}}).dial()
	args := doArgs("01")
	args[3] = strings.Replace(args[3], "d=6000", "d=300", 1)
	assert.Equal(t, "-ERR failed", c.do(args...))
	await(t, s.disconnected, "the connection of the try to close")
}

func TestDrainingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	a, b := newServer(t, "s-1", "hall-a", replyValue("a")), newServer(t, "s-2", "hall-b", replyValue("b"))
	r := newRegistry(t)
	c := start(t, fixture{servers: []*server{a}, registry: r}).dial()
	require.Equal(t, "a", c.do(askArgs("01")...))
	r.sendLine(0, "") // an empty line, as discovery sends while nothing changes
	a.state = "draining"
	r.sendList(2, false, a, b)
	require.Eventually(t, func() bool { return c.do(askArgs("02")...) == "b" }, testTimeout, time.Millisecond)
	for k := range 20 {
		require.Equal(t, "b", c.do(askArgs(fmt.Sprintf("%02x", k+3))...))
	}
	a.state = "gone"
	r.sendList(3, false, a)
	r.sendLine(0, "garbage") // ends only this watch; the next one gets the changes
	a.state, b.state = "ready", "gone"
	r.sendList(4, true, a)
	require.Eventually(t, func() bool { return c.do(askArgs("ff")...) == "a" }, testTimeout, time.Millisecond)
}

// A reply of the counter without a number, with or without a line end, closes its connection. The calls continue over a new one.
func TestInvalidCounterReplyClosesConnection(t *testing.T) {
	t.Parallel()
	for name, corruptReply := range map[string]string{"noise": "\x00\xff\x10\r\n", "no number": "ok many\r\n", "nan": "ok nan\r\n",
		"word": "okay\r\n", "no end": "\x07\x07\x07", "endless": "ok " + strings.Repeat("1", 100)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := settings()
			set["balancers"] = 8 // so many that the counter is asked before a request is sent
			set["tariffs"] = []object{plan("regular", 100, 4, 0)}
			n := newCounter(t)
			n.corruptReply = corruptReply
			c := start(t, fixture{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, counter: n}).dial()
			args := askArgs("01")
			args[3] = strings.Replace(args[3], "spread=1", "spread=8", 1)
			require.Eventually(t, func() bool {
				c.do(args...)
				calls, _ := n.callsAndConns() // calls with a valid reply
				return calls > 0
			}, testTimeout, time.Millisecond)
			assert.Zero(t, n.staleCallCount())
		})
	}
}

// A total from the counter that no request waits for may arrive later than the 30 ms of the settings, and is still used: a firm
// that sends only through this limiter gets most of its quota here, not only this limiter's half of it.
func TestLateCounterTotalIsUsed(t *testing.T) {
	t.Parallel()
	set := settings()
	set["balancers"] = 2
	set["tariffs"] = []object{plan("regular", 100, 200, 0)}
	n := newCounter(t)
	n.replyDelay = 100 * time.Millisecond
	c := start(t, fixture{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, counter: n}).dial()
	args := askArgs("01")
	args[3] = strings.Replace(args[3], "spread=1", "spread=2", 1)
	require.Eventually(t, func() bool {
		served, began := 0, time.Now()
		for time.Since(began) < time.Second {
			if c.do(args...) == "v" {
				served++
			}
			time.Sleep(time.Millisecond)
		}
		return served > 65 && served < 100 // in the first second also the 100 units of this limiter's half of the burst
	}, testTimeout, time.Millisecond)
}

// Calls to the counter are not on the path of a request: a counter that is silent, rejects calls or sends garbage delays no
// request and closes no client connection.
func TestCounterFailuresDelayNoRequest(t *testing.T) {
	t.Parallel()
	for name, reply := range map[string]string{"silent": "", "busy": "busy", "error": "error", "garbage": "ok many"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := settings()
			set["balancers"] = 8 // so many that the counter is asked before a request is sent
			set["tariffs"] = []object{plan("regular", 100, 4, 0)}
			n := newCounter(t)
			n.silent, n.reply = true, reply
			c := start(t, fixture{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, counter: n}).dial()
			for k := range 40 {
				args := askArgs(fmt.Sprintf("%02x", k))
				args[3] = strings.Replace(args[3], "spread=1", "spread=8", 1)
				assert.Regexp(t, `^(v|-BUSY [1-9]\d*)$`, c.do(args...))
			}
			calls, _ := n.callsAndConns()
			assert.Positive(t, calls)
		})
	}
}
