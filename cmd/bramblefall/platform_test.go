package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/fault"
)

func TestCommandsAreForwardedWithOnlyDeadlineChanged(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", replyValue("a pallet"))
	c := start(t, fixture{servers: []*server{s}, counter: newCounter(t)}).dial()
	assert.Equal(t, "+PONG", c.do("PING"))
	assert.Equal(t, "a pallet", c.do(askArgs("9b1f03aa5c7e2d41")...))
	time.Sleep(50 * time.Millisecond) // a connection is not reused right after a reply
	assert.Equal(t, "a pallet", c.do(doArgs("9b1f03aa5c7e2d42")...))
	for k, sent := range [][]string{askArgs("9b1f03aa5c7e2d41"), doArgs("9b1f03aa5c7e2d42")} {
		got := s.received()[k]
		require.Len(t, got, len(sent))
		assert.Regexp(t, strings.ReplaceAll(strings.ReplaceAll(sent[3], "d=4000", `d=[1-9]\d*`), "d=6000", `d=[1-9]\d*`), got[3])
		got[3] = sent[3]
		assert.Equal(t, sent, got)
	}
	assert.Equal(t, 1, s.connections(), "the next try must reuse the idle connection")
}

func TestRepliesKeepPipelineOrder(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		if args[2] == "01" {
			<-release
		}
		replyValue(args[2])(conn, args)
	})
	c := start(t, fixture{servers: []*server{s}}).dial()
	c.write(encodeCommand(askArgs("01")...) + encodeCommand(askArgs("02")...) + encodeCommand("PING"))
	require.Eventually(t, func() bool { return len(s.received()) == 2 }, testTimeout, time.Millisecond)
	close(release)
	assert.Equal(t, []string{"01", "02", "+PONG"}, []string{c.readReply(), c.readReply(), c.readReply()})
}

func TestInvalidCommands(t *testing.T) {
	t.Parallel()
	const terms = "c=balance-read,t=regular,d=400"
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}})
	for name, text := range map[string]string{
		"class":             encodeCommand("Q.ASK", firm, "01", "c=nothing,t=regular,d=400"),
		"tier":              encodeCommand("Q.ASK", firm, "01", "c=balance-read,t=nothing,d=400"),
		"deadline":          encodeCommand("Q.ASK", firm, "01", "c=balance-read,t=regular,d=soon"),
		"no deadline":       encodeCommand("Q.ASK", firm, "01", "c=balance-read,t=regular"),
		"not hex":           encodeCommand("Q.ASK", "a firm", "01", "c=balance-read,t=regular,d=400"),
		"units":             encodeCommand("Q.ASK", firm, "01", "c=balance-read,t=regular,d=400,units=nan"),
		"verb":              encodeCommand("Q.ASK", firm, "01", "c=transfer-post,t=regular,d=400"),
		"too few arguments": encodeCommand("Q.ASK", firm),
		"no id":             encodeCommand("Q.ASK", firm, "", terms),
		"long id":           encodeCommand("Q.ASK", firm, strings.Repeat("0", 65), terms),
		"short firm":        encodeCommand("Q.ASK", "b4d65521", "01", terms),
		"firm":              encodeCommand("Q.ASK", "0000000200000000", "01", terms),
		"body":              encodeCommand("Q.ASK", firm, "01", terms, "BODY"),
		"infinite deadline": encodeCommand("Q.ASK", firm, "01", "c=balance-read,t=regular,d=inf"),
		"no units":          encodeCommand("Q.ASK", firm, "01", terms+",units=0"),
		"too many units":    encodeCommand("Q.ASK", firm, "01", terms+",units=1.5"),
		"no limiters":       encodeCommand("Q.ASK", firm, "01", terms+",spread=0"),
		"too many limiters": encodeCommand("Q.ASK", firm, "01", terms+",spread=2"),
		"negative first":    encodeCommand("Q.ASK", firm, "01", terms+",first=-1"),
		"twice":             encodeCommand("Q.ASK", firm, "01", terms+",c=balance-read"),
		"no key":            encodeCommand("Q.DO", firm, "01", "c=transfer-post,t=regular,d=400", "BODY"),
		"unknown":           encodeCommand("FLUSHALL"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := l.dial()
			c.write(text)
			assert.Regexp(t, "^-ERR ", c.readReply())
			assert.Equal(t, "v", c.do(askArgs(fmt.Sprintf("%x", name))...), "the connection must still work after an error")
		})
	}
	for name, text := range map[string]string{
		"no array":           "GET / HTTP/1.1\r\n",
		"bad length":         "*1\r\n$x\r\n",
		"oversized":          "*1\r\n$65537\r\n",
		"too many arguments": "*65\r\n",
		"nested":             "*1\r\n*1\r\n$1\r\na\r\n",
		"no terminator":      "*1\r\n$1\r\naXX",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := l.dial()
			c.write(encodeCommand("PING") + text)
			assert.Equal(t, "+PONG", c.readReply())
			assert.Regexp(t, "^-ERR ", c.readReply())
			c.expectClosed()
		})
	}
}

// A request with the id of one that is still open is an error of the sender: a server would take it for a copy of the first.
func TestIDOfOpenRequestIsRejected(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		<-release
		replyValue("v")(conn, args)
	})
	l := start(t, fixture{servers: []*server{s}})
	first, second := l.dial(), l.dial()
	first.write(encodeCommand(askArgs("01")...))
	require.Eventually(t, func() bool { return len(s.received()) == 1 }, testTimeout, time.Millisecond)
	assert.Regexp(t, "^-ERR ", second.do(askArgs("01")...))
	close(release)
	assert.Equal(t, "v", first.readReply())
	assert.Equal(t, "v", second.do(askArgs("01")...), "the id may be used again once the first request is answered")
}

// Connections that send nothing, half a command, or unreadable bytes after a waiting command are closed.
func TestConnectionsWithoutWholeCommandAreClosed(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	l := start(t, fixture{servers: []*server{s}})
	silent, half, noise := l.dial(), l.dial(), l.dial()
	half.write(encodeCommand("PING") + encodeCommand(askArgs("01")...)[:20])
	noise.write(encodeCommand(doArgs("02")...) + "noise\r\n")
	silent.expectClosed()
	assert.Equal(t, "+PONG", half.readReply())
	assert.Regexp(t, "^-ERR ", half.readReply())
	half.expectClosed()
	assert.Equal(t, "-ERR failed", noise.readReply())
	assert.Equal(t, "-ERR Protocol error", noise.readReply())
	noise.expectClosed()
	await(t, s.disconnected, "the connection of the try to close")
}

// A firm may use up its burst. Beyond it requests are rejected at once, with a time to retry after, without waiting for a timer
// of the request.
func TestRequestsBeyondBurstAreRejected(t *testing.T) {
	t.Parallel()
	set := settings()
	set["tariffs"] = []object{plan("regular", 0.01, 20, 0)}
	s := newServer(t, "s-1", "hall-a", replyValue("v"))
	c := start(t, fixture{settings: set, servers: []*server{s}}).dial()
	served := 0
	for k := range 50 {
		answer := c.do(askArgs(fmt.Sprintf("%02x", k))...)
		if answer == "v" {
			served++
			continue
		}
		assert.Regexp(t, `^-BUSY [1-9]\d*$`, answer)
	}
	assert.Equal(t, 20, served)
	assert.Len(t, s.received(), 20)
}

// A firm asks for more than its quota, with requests of both classes. Those of lower worth do not take the last units.
func TestLastUnitsAreReservedForHigherWorth(t *testing.T) {
	t.Parallel()
	set := settings()
	set["tariffs"] = []object{plan("regular", 0.01, 20, 0)}
	s := newServer(t, "s-1", "hall-a", replyValue("v"))
	c := start(t, fixture{settings: set, servers: []*server{s}}).dial()
	assert.Equal(t, "v", c.do(doArgs("fe")...))
	for k := range 50 {
		c.do(askArgs(fmt.Sprintf("%02x", k))...)
	}
	require.Less(t, len(s.received()), 20, "requests of lower worth must leave units")
	assert.Equal(t, "v", c.do(doArgs("ff")...))
}

// The deadlines that clients send differ by a few milliseconds of network delay. A shorter one must not be taken for a retry, from
// whose deadline the wait before it is deducted: a retry is not held, since it has no time left for that.
func TestNetworkDelayDoesNotMarkRetry(t *testing.T) {
	t.Parallel()
	set := settings()
	set["tariffs"] = []object{plan("regular", 10, 1, 0)}
	c := start(t, fixture{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}}).dial()
	for k, wait := range []string{"d=2600", "d=2598", "d=2597", "d=2599"} {
		args := doArgs(fmt.Sprintf("%02x", k))
		args[3] = strings.Replace(args[3], "d=6000", wait, 1)
		c.write(encodeCommand(args...))
	}
	for range 4 {
		assert.Equal(t, "v", c.readReply(), "the request must be held for a moment and then served")
	}
}

func TestClientDisconnectEndsItsTry(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	c := start(t, fixture{servers: []*server{s}}).dial()
	c.write(encodeCommand(askArgs("01")...))
	require.Eventually(t, func() bool { return len(s.received()) == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, c.conn.Close())
	await(t, s.disconnected, "the connection of the try to close")
}

func TestPlannedRestartAnswersHeldRequests(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		<-release
		replyValue("held")(conn, args)
	})
	l := start(t, fixture{servers: []*server{s}})
	c, idle := l.dial(), l.dial()
	require.Equal(t, "+PONG", idle.do("PING"))
	c.write(encodeCommand(askArgs("01")...))
	require.Eventually(t, func() bool { return len(s.received()) == 1 }, testTimeout, time.Millisecond)
	l.terminate()
	require.Equal(t, "+PONG", l.dial().do("PING"), "new connections are accepted for a moment")
	idle.expectClosed()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", l.addr)
		if err == nil {
			_ = conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}, testTimeout, 10*time.Millisecond, "it does not stop listening")
	close(release)
	assert.Equal(t, "held", c.readReply())
	c.expectClosed()
	l.waitForCleanExit()
}

// A connection on which a part of a command has arrived is not idle, so a planned restart does not close it before the command is
// complete and answered.
func TestPlannedRestartWaitsForPartialCommand(t *testing.T) {
	t.Parallel()
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}})
	c, idle := l.dial(), l.dial()
	whole := encodeCommand(askArgs("01")...)
	require.Equal(t, "+PONG", c.do("PING"))
	c.write(whole[:len(whole)/2])
	require.Equal(t, "+PONG", idle.do("PING"))
	l.terminate()
	idle.expectClosed() // from now on idle connections are closed
	c.write(whole[len(whole)/2:])
	assert.Equal(t, "v", c.readReply())
	await(t, l.exited, "the program's end")
}

// Values of 64 KiB pass whole in both directions, and an endless command is rejected before it fills the memory.
func TestLargeValues(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("p", 64<<10)
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) { replyValue(args[4])(conn, args) })
	l := start(t, fixture{servers: []*server{s}})
	c := l.dial()
	for k := range 20 {
		args := doArgs(fmt.Sprintf("%02x", k))
		args[4] = large
		require.Equal(t, large, c.do(args...))
	}
	c.write("*64\r\n" + strings.Repeat("$65536\r\n"+large+"\r\n", 2))
	assert.Regexp(t, "^-ERR ", c.readReply())
}

// When client connections exceed their share of the descriptors, the limiter closes those that have been idle longest, never
// busy ones.
func TestIdleClientsAreEvictedForNewOnes(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		if args[2] == "01" {
			<-release
		}
		replyValue("v")(conn, args)
	})
	l := start(t, fixture{servers: []*server{s}}) // with at most 128 descriptors
	busy := l.dial()
	busy.write(encodeCommand(askArgs("01")...))
	require.Eventually(t, func() bool { return len(s.received()) == 1 }, testTimeout, time.Millisecond)
	for k := range 200 {
		require.Equal(t, "v", l.dial().do(askArgs(fmt.Sprintf("%04x", k+2))...))
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.cmd.Process.Pid))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(open), 128)
	close(release)
	assert.Equal(t, "v", busy.readReply())
}

// clientConnections counts the established connections at the limiter's address.
func (l *limiter) clientConnections() int {
	table, err := os.ReadFile("/proc/net/tcp")
	require.NoError(l.t, err)
	return len(regexp.MustCompile(`: `+procNetTCPAddress(l.addr)+` [0-9A-F]{8}:[0-9A-F]{4} 01 `).FindAll(table, -1))
}

// A client that sends commands and never reads the replies loses its connection. All other clients are served meanwhile.
func TestClientThatNeverReadsStallsNoOther(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("p", 64<<10)
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue(large))}})
	nonReading, other := l.dial(), l.dial()
	require.NoError(t, nonReading.conn.(*net.TCPConn).SetReadBuffer(4<<10))
	for k := range 400 {
		if _, err := nonReading.conn.Write([]byte(encodeCommand(askArgs(fmt.Sprintf("%04x", k))...))); err != nil {
			break // the limiter has closed the connection already
		}
		if k%20 == 0 {
			got := other.do(askArgs(fmt.Sprintf("%08x", k))...)
			require.True(t, got == large, "%.60q", got)
		}
	}
	require.Equal(t, large, other.do(askArgs("ffffffff")...))
	established := l.clientConnections()
	assert.Eventually(t, func() bool { return l.clientConnections() < established }, testTimeout, 10*time.Millisecond,
		"the connection must be closed and not kept with all the replies that wait for it")
}

// Requests that a server never answers are answered as failed before the platform kills the process.
func TestPlannedRestartFailsUnansweredRequests(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	l := start(t, fixture{servers: []*server{s}})
	c := l.holdRequest(s)
	l.terminate()
	assert.Equal(t, "-ERR failed", c.readReply())
	l.waitForCleanExit()
}

// SIGHUP moves discovery and the counter to new addresses while a request context is held, although the environment still names
// the first address of discovery. An invalid file changes nothing.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	a := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		<-release
		replyValue("held")(conn, args)
	})
	b := newServer(t, "s-2", "hall-a", replyValue("b"))
	set := settings()
	set["balancers"] = 8 // so many that the counter is asked before a request is sent
	set["tariffs"] = []object{plan("regular", 1000, 4000, 0), plan("full", 100, 4, 0)}
	f := fixture{settings: set, servers: []*server{a}, counter: newCounter(t), registry: newRegistry(t)}
	l := start(t, f)
	held, c := l.dial(), l.dial()
	held.write(encodeCommand(askArgs("01")...))
	require.Eventually(t, func() bool { return len(a.received()) == 1 }, testTimeout, time.Millisecond)

	next := fixture{settings: set, servers: f.servers, counter: newCounter(t), registry: newRegistry(t)}
	good, err := json.Marshal(next.config(t))
	require.NoError(t, err)
	for _, bad := range []string{"", string(good[:len(good)/2]), `{"discovery":"127.0.0.1:1"}`} {
		l.reload([]byte(bad), "the old one is kept")
	}
	a.state = "draining"
	f.registry.sendList(2, true, a, b)
	require.Eventually(t, func() bool { return c.do(askArgs("02")...) == "b" }, testTimeout, time.Millisecond, "a list of the old discovery does not take effect")

	l.reload(good, "read the configuration anew")
	a.state, b.state = "ready", "gone"
	next.registry.sendList(3, true, a)
	close(release)
	assert.Equal(t, "held", held.readReply())
	require.Eventually(t, func() bool { return c.do(askArgs("03")...) == "held" }, testTimeout, time.Millisecond, "a list of the new discovery does not take effect")
	counted := askArgs("04")
	counted[1] = "00000000b4d65522" // a new firm, since a firm is counted according to its first request
	counted[3] = strings.Replace(strings.Replace(counted[3], "spread=1", "spread=8", 1), "regular", "full", 1)
	require.Eventually(t, func() bool {
		c.do(counted...)
		calls, _ := next.counter.callsAndConns()
		return calls > 0
	}, testTimeout, time.Millisecond, "the new counter is not asked")
}

// SIGHUP with a configuration in which one value is absent, of another type, zero, negative or huge. The file is rejected with one
// log line or accepted; either way each request gets an answer, and the valid file works afterwards as before.
func TestReloadOfMutatedConfigurationIsTolerated(t *testing.T) {
	t.Parallel()
	set := settings()
	set["classes"] = set["classes"].([]object)[:1]
	set["tariffs"] = set["tariffs"].([]object)[:1]
	f := fixture{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, counter: newCounter(t), registry: newRegistry(t)}
	l := start(t, f)
	good, err := json.Marshal(f.config(t))
	require.NoError(t, err)
	c, rejectedLog, acceptedLog := l.dial(), "the old one is kept", "read the configuration anew"
	handled := func() int {
		return strings.Count(l.log.String(), rejectedLog) + strings.Count(l.log.String(), acceptedLog)
	}
	mutants := 0
	for what, raw := range fault.Mutants(good) {
		if mutants++; mutants%3 > 0 { // a third of them keeps the test short enough for every run
			continue
		}
		before := handled()
		require.NoError(t, os.WriteFile(l.path, raw, 0o600))
		require.NoError(t, l.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return handled() > before }, testTimeout, time.Millisecond, what)
		require.NoError(t, c.conn.SetDeadline(time.Now().Add(callDeadline+lateAnswer))) // for this request: all of them take longer on a busy machine
		require.NotEmpty(t, c.do(askArgs(fmt.Sprintf("%08x", mutants))...), what)
	}
	require.Greater(t, mutants, 600)
	require.Positive(t, strings.Count(l.log.String(), rejectedLog))
	require.Positive(t, strings.Count(l.log.String(), acceptedLog))
	l.reload(good, acceptedLog)
	require.Eventually(t, func() bool { mutants++; return c.do(askArgs(fmt.Sprintf("%08x", mutants))...) == "v" }, testTimeout, time.Millisecond)
}

func TestInvalidConfigurationFailsWithOneLine(t *testing.T) {
	t.Parallel()
	set := settings()
	delete(set, "rules")
	none, million := settings(), settings()
	none["balancers"], million["balancers"] = 0, 1000000
	good := object{"listen": reservedAddress(t), "settings": settings()}
	for name, c := range map[string]struct {
		config    any
		rateLimit any
	}{
		"no object":                   {config: 7},
		"no settings":                 {config: object{"listen": reservedAddress(t)}},
		"a missing setting":           {config: object{"listen": reservedAddress(t), "settings": set}},
		"a fleet of none":             {config: object{"listen": reservedAddress(t), "settings": none}},
		"a fleet of a million":        {config: object{"listen": reservedAddress(t), "settings": million}},
		"no address":                  {config: object{"settings": settings()}},
		"invalid seed":                {config: object{"listen": reservedAddress(t), "settings": settings(), "seed": "x"}},
		"unknown field of -ratelimit": {config: good, rateLimit: object{"listne": reservedAddress(t)}},
		"no cluster file":             {config: good, rateLimit: object{"listen": reservedAddress(t), "others": object{"clusters": "none.json"}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			args := []string{"-log", "error", "-config", writeJSON(t, filepath.Join(dir, "c.json"), c.config)}
			if c.rateLimit != nil {
				args = append(args, "-ratelimit", writeJSON(t, filepath.Join(dir, "r.json"), c.rateLimit))
			}
			out, err := exec.Command(binary, args...).CombinedOutput()
			require.Error(t, err)
			assert.Regexp(t, `^bramblefall: [^\n]+\n$`, string(out))
		})
	}
}

// A limiter with a tenth of a core needs ten times as long for its last answers, so it gives a server less time.
func TestSmallCPUShareShortensServerDeadline(t *testing.T) {
	t.Parallel()
	for cores, maxMS := range map[float64]int{1: 5992, 0.1: 5974} { // of 6000 ms, of which package logic reserves 6
		s := newServer(t, "s-1", "hall-a", replyValue("v"))
		require.Equal(t, "v", start(t, fixture{cores: cores, servers: []*server{s}}).dial().do(doArgs("01")...))
		field := regexp.MustCompile(`d=(\d+)`).FindStringSubmatch(s.received()[0][3])
		ms, err := strconv.Atoi(field[1])
		require.NoError(t, err)
		assert.LessOrEqual(t, ms, maxMS)
	}
}
