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

func resetConn(conn net.Conn, _ []string) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// What each end of a try allows: a keyed request whose first try may have run goes only to the servers of the
// same hall, one that never ran goes anywhere.
func TestRetryScopeFollowsOutcome(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first     func(net.Conn, []string)
		down      bool   // the first server's address refuses connections
		elsewhere string // the answer if the second server stands in the other hall
	}{
		"turned away":         {first: replyRaw("-BUSY\r\n"), elsewhere: "v"},
		"turned away, load":   {first: replyRaw("-BUSY inflight=7,queue=2,util=0.61\r\n"), elsewhere: "v"},
		"turned away, spoilt": {first: replyRaw("-BUSYBODY\r\n"), elsewhere: "-ERR failed"},
		"turned away, noise":  {first: replyRaw("-BUSY \x00\xff\r\n"), elsewhere: "-ERR failed"},
		"refused connection":  {down: true, elsewhere: "v"},
		"error":               {first: replyRaw("-ERR failed\r\n"), elsewhere: "-ERR failed"},
		"reset":               {first: resetConn, elsewhere: "-ERR failed"},
		"null":                {first: replyRaw("$-1\r\n"), elsewhere: "-ERR failed"},
		"array of a null":     {first: replyRaw("*3\r\n$-1\r\n$-1\r\n$-1\r\n"), elsewhere: "-ERR failed"},
		"garbage":             {first: replyRaw("hello\r\n"), elsewhere: "-ERR failed"},
		"a value without end": {first: replyRaw("$99999999\r\n"), elsewhere: "-ERR failed"},
		"a value too short":   {first: replyRaw("*3\r\n$100\r\nstale\r\n$-1\r\n$-1\r\n"), elsewhere: "-ERR failed"},
		"a line without end":  {first: replyRaw("-ERR fai"), elsewhere: "-ERR failed"},
		"a value alone":       {first: replyRaw("$5\r\nstale\r\n"), elsewhere: "-ERR failed"},
		"too few parts":       {first: replyRaw("*1\r\n$5\r\nstale\r\n"), elsewhere: "-ERR failed"},
	} {
		for zone, want := range map[string]string{"hall-x": "v", "hall-y": c.elsewhere} { // unknown to the settings
			t.Run(name+" "+zone, func(t *testing.T) {
				t.Parallel()
				first, second := newServer(t, "s-1", "hall-x", c.first), newServer(t, "s-2", zone, replyValue("v"))
				if c.down {
					first.addr = refusingAddress(t)
				}
				second.state = "draining" // the first try goes to the first server
				r := newRegistry(t)
				if c.down {
					second.state = "ready"
				} else {
					first.reply = func(conn net.Conn, args []string) {
						first.state, second.state = "draining", "ready" // what follows can only go to the second
						r.sendList(2, false, first, second)
						time.Sleep(200 * time.Millisecond) // the watch's news go ahead of this answer
						c.first(conn, args)
					}
				}
				cl := start(t, fixture{servers: []*server{first, second}, registry: r}).dial()
				assert.Equal(t, want, cl.do(doArgs("01")...))
				assert.LessOrEqual(t, len(first.received()), 1, "a try is never sent twice")
			})
		}
	}
}

func refusingAddress(t *testing.T) string {
	l, err := loopback.Listen()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// A server that has sent garbage has failed that call alone.
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
	assert.Equal(t, "v", c.do(askArgs("01")...), "a further try is harmless here")
	time.Sleep(50 * time.Millisecond) // a connection rests after an answer
	assert.Equal(t, "v", c.do(askArgs("02")...))
	assert.Equal(t, 2, s.connections(), "nothing more is read from the connection that brought garbage")
}

// What a server sends beyond its answer belongs to nobody: the next client on that connection must not get it.
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

// The same when they come a moment later, and the next command has gone out meanwhile.
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
	for began, close := time.Now(), 0; close < 20 && time.Since(began) < testTimeout; {
		require.Equal(t, "01", c.do(askArgs("01")...))
		c.write(encodeCommand(askArgs("02")...))
		sent <- struct{}{}
		require.Equal(t, "02", c.readReply())
		if seen.Sub(wrote) < 10*time.Millisecond { // else the machine was too busy for the two to come close
			close++
		}
	}
}

// A write must not cross the server's close of an idle connection: past a part of the limit a new one is made.
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

// A client's wait ends with one answer though the server stays silent, and the try's connection is closed.
func TestUnansweredTryEndsAtDeadline(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	c := start(t, fixture{servers: []*server{s}}).dial()
	args := doArgs("01")
	args[3] = strings.Replace(args[3], "d=6000", "d=300", 1)
	assert.Equal(t, "-ERR failed", c.do(args...))
	await(t, s.disconnected, "the try's connection to close")
}

func TestDrainingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	a, b := newServer(t, "s-1", "hall-a", replyValue("a")), newServer(t, "s-2", "hall-b", replyValue("b"))
	r := newRegistry(t)
	c := start(t, fixture{servers: []*server{a}, registry: r}).dial()
	require.Equal(t, "a", c.do(askArgs("01")...))
	r.sendLine(0, "") // as long as nothing changes
	a.state = "draining"
	r.sendList(2, false, a, b)
	require.Eventually(t, func() bool { return c.do(askArgs("02")...) == "b" }, testTimeout, time.Millisecond)
	for k := range 20 {
		require.Equal(t, "b", c.do(askArgs(fmt.Sprintf("%02x", k+3))...))
	}
	a.state = "gone"
	r.sendList(3, false, a)
	r.sendLine(0, "garbage") // it ends this watch alone; the next brings the changes
	a.state, b.state = "ready", "gone"
	r.sendList(4, true, a)
	require.Eventually(t, func() bool { return c.do(askArgs("ff")...) == "a" }, testTimeout, time.Millisecond)
}

// An answer without a number, with or without an end, ends its connection: the calls go on over the next one.
func TestInvalidCounterReplyClosesConnection(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]string{"noise": "\x00\xff\x10\r\n", "no number": "ok many\r\n", "nan": "ok nan\r\n",
		"word": "okay\r\n", "no end": "\x07\x07\x07", "endless": "ok " + strings.Repeat("1", 100)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := settings()
			set["balancers"] = 8 // the counter is asked before a request goes
			set["tariffs"] = []object{plan("regular", 100, 4, 0)}
			n := newCounter(t)
			n.corruptReply = spoil
			c := start(t, fixture{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, counter: n}).dial()
			args := askArgs("01")
			args[3] = strings.Replace(args[3], "spread=1", "spread=8", 1)
			require.Eventually(t, func() bool {
				c.do(args...)
				calls, _ := n.callsAndConns() // those that were answered
				return calls > 0
			}, testTimeout, time.Millisecond)
			assert.Zero(t, n.staleCallCount())
		})
	}
}

// A sum that no request waits for may come later than the settings' 30 ms: a firm that comes through this limiter
// alone is given most of its quota here, not this limiter's half of it.
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
		return served > 65 && served < 100 // at first the store's 100
	}, testTimeout, time.Millisecond)
}

// The counter is called off the path: silence, refusals and garbage of it hold no request up and end nothing.
func TestCounterFailuresDelayNoRequest(t *testing.T) {
	t.Parallel()
	for name, reply := range map[string]string{"silent": "", "busy": "busy", "error": "error", "garbage": "ok many"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := settings()
			set["balancers"] = 8 // the counter is asked before a request goes
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
