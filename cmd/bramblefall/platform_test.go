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

func TestCommandsArePassedOnUnchangedButForTheWait(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", value("a pallet"))
	c := start(t, world{servers: []*server{s}, counter: newCounter(t)}).dial()
	assert.Equal(t, "+PONG", c.do("PING"))
	assert.Equal(t, "a pallet", c.do(ask("9b1f03aa5c7e2d41")...))
	time.Sleep(50 * time.Millisecond) // a connection rests after an answer
	assert.Equal(t, "a pallet", c.do(post("9b1f03aa5c7e2d42")...))
	for k, sent := range [][]string{ask("9b1f03aa5c7e2d41"), post("9b1f03aa5c7e2d42")} {
		got := s.seen()[k]
		require.Len(t, got, len(sent))
		assert.Regexp(t, strings.ReplaceAll(strings.ReplaceAll(sent[3], "d=4000", `d=[1-9]\d*`), "d=6000", `d=[1-9]\d*`), got[3])
		got[3] = sent[3]
		assert.Equal(t, sent, got)
	}
	assert.Equal(t, 1, s.connections(), "an idle connection serves the next try")
}

func TestASlowAnswerHoldsBackThoseBehindIt(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		if args[2] == "01" {
			<-release
		}
		value(args[2])(conn, args)
	})
	c := start(t, world{servers: []*server{s}}).dial()
	c.write(command(ask("01")...) + command(ask("02")...) + command("PING"))
	require.Eventually(t, func() bool { return len(s.seen()) == 2 }, patience, time.Millisecond)
	close(release)
	assert.Equal(t, []string{"01", "02", "+PONG"}, []string{c.answer(), c.answer(), c.answer()})
}

func TestBadCommands(t *testing.T) {
	t.Parallel()
	const terms = "c=balance-read,t=regular,d=400"
	l := start(t, world{servers: []*server{newServer(t, "s-1", "hall-a", value("v"))}})
	for name, text := range map[string]string{
		"class":    command("Q.ASK", firm, "01", "c=nothing,t=regular,d=400"),
		"plan":     command("Q.ASK", firm, "01", "c=balance-read,t=nothing,d=400"),
		"wait":     command("Q.ASK", firm, "01", "c=balance-read,t=regular,d=soon"),
		"no wait":  command("Q.ASK", firm, "01", "c=balance-read,t=regular"),
		"customer": command("Q.ASK", "a firm", "01", "c=balance-read,t=regular,d=400"),
		"units":    command("Q.ASK", firm, "01", "c=balance-read,t=regular,d=400,units=nan"),
		"verb":     command("Q.ASK", firm, "01", "c=transfer-post,t=regular,d=400"),
		"short":    command("Q.ASK", firm),
		"no id":    command("Q.ASK", firm, "", terms),
		"long id":  command("Q.ASK", firm, strings.Repeat("0", 65), terms),
		"digits":   command("Q.ASK", "b4d65521", "01", terms),
		"firm":     command("Q.ASK", "0000000200000000", "01", terms),
		"body":     command("Q.ASK", firm, "01", terms, "BODY"),
		"forever":  command("Q.ASK", firm, "01", "c=balance-read,t=regular,d=inf"),
		"none":     command("Q.ASK", firm, "01", terms+",units=0"),
		"many":     command("Q.ASK", firm, "01", terms+",units=1.5"),
		"no set":   command("Q.ASK", firm, "01", terms+",spread=0"),
		"wide set": command("Q.ASK", firm, "01", terms+",spread=2"),
		"far set":  command("Q.ASK", firm, "01", terms+",first=-1"),
		"twice":    command("Q.ASK", firm, "01", terms+",c=balance-read"),
		"no key":   command("Q.DO", firm, "01", "c=transfer-post,t=regular,d=400", "BODY"),
		"unknown":  command("FLUSHALL"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := l.dial()
			c.write(text)
			assert.Regexp(t, "^-ERR ", c.answer())
			assert.Equal(t, "v", c.do(ask(fmt.Sprintf("%x", name))...), "the connection goes on")
		})
	}
	for name, text := range map[string]string{
		"no array":  "GET / HTTP/1.1\r\n",
		"length":    "*1\r\n$x\r\n",
		"oversized": "*1\r\n$65537\r\n",
		"args":      "*65\r\n",
		"nested":    "*1\r\n*1\r\n$1\r\na\r\n",
		"no end":    "*1\r\n$1\r\naXX",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := l.dial()
			c.write(command("PING") + text)
			assert.Equal(t, "+PONG", c.answer())
			assert.Regexp(t, "^-ERR ", c.answer())
			c.ended()
		})
	}
}

// A server takes a second request with an open one's id for a copy of it: it is the sender's error.
func TestAnOpenIDIsNotUsedTwice(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		<-release
		value("v")(conn, args)
	})
	l := start(t, world{servers: []*server{s}})
	first, second := l.dial(), l.dial()
	first.write(command(ask("01")...))
	require.Eventually(t, func() bool { return len(s.seen()) == 1 }, patience, time.Millisecond)
	assert.Regexp(t, "^-ERR ", second.do(ask("01")...))
	close(release)
	assert.Equal(t, "v", first.answer())
	assert.Equal(t, "v", second.do(ask("01")...), "it is open no longer")
}

// Whoever says nothing, or half a command, or nothing that can be read behind what waits, is not kept.
func TestConnectionsThatBringNothingEnd(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	l := start(t, world{servers: []*server{s}})
	silent, half, noise := l.dial(), l.dial(), l.dial()
	half.write(command("PING") + command(ask("01")...)[:20])
	noise.write(command(post("02")...) + "noise\r\n")
	silent.ended()
	assert.Equal(t, "+PONG", half.answer())
	assert.Regexp(t, "^-ERR ", half.answer())
	half.ended()
	assert.Equal(t, "-ERR failed", noise.answer())
	assert.Equal(t, "-ERR Protocol error", noise.answer())
	noise.ended()
	await(t, s.left, "the try's connection to close")
}

// A firm may send on its burst; beyond it the answer is a refusal with a time to come back, at once: no timer of
// the request's own has to ring for it.
func TestQuotaAndRefusal(t *testing.T) {
	t.Parallel()
	set := settings()
	set["tariffs"] = []object{plan("regular", 0.01, 20, 0)}
	s := newServer(t, "s-1", "hall-a", value("v"))
	c := start(t, world{settings: set, servers: []*server{s}}).dial()
	served := 0
	for k := range 50 {
		answer := c.do(ask(fmt.Sprintf("%02x", k))...)
		if answer == "v" {
			served++
			continue
		}
		assert.Regexp(t, `^-BUSY [1-9]\d*$`, answer)
	}
	assert.Equal(t, 20, served)
	assert.Len(t, s.seen(), 20)
}

// Of a firm that asks for more than its quota and for requests of both kinds, what is worth less does not take the last units.
func TestTheLastUnitsAreKeptForWhatIsWorthMore(t *testing.T) {
	t.Parallel()
	set := settings()
	set["tariffs"] = []object{plan("regular", 0.01, 20, 0)}
	s := newServer(t, "s-1", "hall-a", value("v"))
	c := start(t, world{settings: set, servers: []*server{s}}).dial()
	assert.Equal(t, "v", c.do(post("fe")...))
	for k := range 50 {
		c.do(ask(fmt.Sprintf("%02x", k))...)
	}
	require.Less(t, len(s.seen()), 20, "units are left")
	assert.Equal(t, "v", c.do(post("ff")...))
}

// Clients' times differ by what they took on the way here. That must not be taken for time waited before a retry,
// which leaves none to be held for.
func TestAMomentOnTheWayMakesNoRetry(t *testing.T) {
	t.Parallel()
	set := settings()
	set["tariffs"] = []object{plan("regular", 10, 1, 0)}
	c := start(t, world{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", value("v"))}}).dial()
	for k, wait := range []string{"d=2600", "d=2598", "d=2597", "d=2599"} {
		args := post(fmt.Sprintf("%02x", k))
		args[3] = strings.Replace(args[3], "d=6000", wait, 1)
		c.write(command(args...))
	}
	for range 4 {
		assert.Equal(t, "v", c.answer(), "held for a moment, then served")
	}
}

func TestAClientThatLeavesEndsItsTry(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	c := start(t, world{servers: []*server{s}}).dial()
	c.write(command(ask("01")...))
	require.Eventually(t, func() bool { return len(s.seen()) == 1 }, patience, time.Millisecond)
	require.NoError(t, c.conn.Close())
	await(t, s.left, "the try's connection to close")
}

func TestAPlannedRestartAnswersWhatIsHeld(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		<-release
		value("held")(conn, args)
	})
	l := start(t, world{servers: []*server{s}})
	c, idle := l.dial(), l.dial()
	require.Equal(t, "+PONG", idle.do("PING"))
	c.write(command(ask("01")...))
	require.Eventually(t, func() bool { return len(s.seen()) == 1 }, patience, time.Millisecond)
	l.terminate()
	require.Equal(t, "+PONG", l.dial().do("PING"), "new connections keep coming for a moment")
	idle.ended()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", l.addr)
		if err == nil {
			_ = conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}, patience, 10*time.Millisecond, "it stops listening")
	close(release)
	assert.Equal(t, "held", c.answer())
	c.ended()
	l.leaves()
}

// A command that has come in part at a planned restart is not cut off: its connection is not idle.
func TestAPlannedRestartWaitsForHalfACommand(t *testing.T) {
	t.Parallel()
	l := start(t, world{servers: []*server{newServer(t, "s-1", "hall-a", value("v"))}})
	c, idle := l.dial(), l.dial()
	whole := command(ask("01")...)
	require.Equal(t, "+PONG", c.do("PING"))
	c.write(whole[:len(whole)/2])
	require.Equal(t, "+PONG", idle.do("PING"))
	l.terminate()
	idle.ended() // from now on idle connections are closed
	c.write(whole[len(whole)/2:])
	assert.Equal(t, "v", c.answer())
	await(t, l.ended, "the program's end")
}

// Values of 64 KiB pass whole in both directions, and a message without an end fills no memory.
func TestLargeValues(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("p", 64<<10)
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) { value(args[4])(conn, args) })
	l := start(t, world{servers: []*server{s}})
	c := l.dial()
	for k := range 20 {
		args := post(fmt.Sprintf("%02x", k))
		args[4] = large
		require.Equal(t, large, c.do(args...))
	}
	c.write("*64\r\n" + strings.Repeat("$65536\r\n"+large+"\r\n", 2))
	assert.Regexp(t, "^-ERR ", c.answer())
}

// Past its share of the descriptors the limiter gives up the connections that are idle longest, never busy ones.
func TestIdleClientsMakeRoom(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		if args[2] == "01" {
			<-release
		}
		value("v")(conn, args)
	})
	l := start(t, world{servers: []*server{s}}) // its cap is 128
	busy := l.dial()
	busy.write(command(ask("01")...))
	require.Eventually(t, func() bool { return len(s.seen()) == 1 }, patience, time.Millisecond)
	for k := range 200 {
		require.Equal(t, "v", l.dial().do(ask(fmt.Sprintf("%04x", k+2))...))
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.cmd.Process.Pid))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(open), 128)
	close(release)
	assert.Equal(t, "v", busy.answer())
}

// A client that writes and never reads loses its connection; everybody else is served meanwhile.
// clientConnections counts the established connections at the limiter's address.
func (l *limiter) clientConnections() int {
	table, err := os.ReadFile("/proc/net/tcp")
	require.NoError(l.t, err)
	return len(regexp.MustCompile(`: `+inSocketTable(l.addr)+` [0-9A-F]{8}:[0-9A-F]{4} 01 `).FindAll(table, -1))
}

func TestAClientThatNeverReadsStallsNobody(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("p", 64<<10)
	l := start(t, world{servers: []*server{newServer(t, "s-1", "hall-a", value(large))}})
	deaf, other := l.dial(), l.dial()
	require.NoError(t, deaf.conn.(*net.TCPConn).SetReadBuffer(4<<10))
	for k := range 400 {
		if _, err := deaf.conn.Write([]byte(command(ask(fmt.Sprintf("%04x", k))...))); err != nil {
			break // the limiter has given it up already
		}
		if k%20 == 0 {
			got := other.do(ask(fmt.Sprintf("%08x", k))...)
			require.True(t, got == large, "%.60q", got)
		}
	}
	require.Equal(t, large, other.do(ask("ffffffff")...))
	with := l.clientConnections()
	assert.Eventually(t, func() bool { return l.clientConnections() < with }, patience, 10*time.Millisecond,
		"the connection is given up, not kept with all that waits for it")
}

// What a server never answers is answered before the platform kills the program, not lost.
func TestAPlannedRestartAnswersWhatWillNotCome(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	l := start(t, world{servers: []*server{s}})
	c := l.holding(s)
	l.terminate()
	assert.Equal(t, "-ERR failed", c.answer())
	l.leaves()
}

// SIGHUP moves discovery and the counter while a request context is held, and a file that cannot be used changes
// nothing. The environment still names the first address of discovery then.
func TestSighupReadsTheConfigurationAgain(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	a := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		<-release
		value("held")(conn, args)
	})
	b := newServer(t, "s-2", "hall-a", value("b"))
	set := settings()
	set["balancers"] = 8 // the counter is asked before a request goes
	set["tariffs"] = []object{plan("regular", 1000, 4000, 0), plan("full", 100, 4, 0)}
	w := world{settings: set, servers: []*server{a}, counter: newCounter(t), registry: newRegistry(t)}
	l := start(t, w)
	held, c := l.dial(), l.dial()
	held.write(command(ask("01")...))
	require.Eventually(t, func() bool { return len(a.seen()) == 1 }, patience, time.Millisecond)

	next := world{settings: set, servers: w.servers, counter: newCounter(t), registry: newRegistry(t)}
	good, err := json.Marshal(next.config(t))
	require.NoError(t, err)
	for _, bad := range []string{"", string(good[:len(good)/2]), `{"discovery":"127.0.0.1:1"}`} {
		l.reload([]byte(bad), "the old one is kept")
	}
	a.state = "draining"
	w.registry.tell(2, true, a, b)
	require.Eventually(t, func() bool { return c.do(ask("02")...) == "b" }, patience, time.Millisecond, "the old discovery is heard")

	l.reload(good, "read the configuration anew")
	a.state, b.state = "ready", "gone"
	next.registry.tell(3, true, a)
	close(release)
	assert.Equal(t, "held", held.answer())
	require.Eventually(t, func() bool { return c.do(ask("03")...) == "held" }, patience, time.Millisecond, "the new discovery is heard")
	counted := ask("04")
	counted[1] = "00000000b4d65522" // a firm is counted by what its first request says of it
	counted[3] = strings.Replace(strings.Replace(counted[3], "spread=1", "spread=8", 1), "regular", "full", 1)
	require.Eventually(t, func() bool {
		c.do(counted...)
		calls, _ := next.counter.made()
		return calls > 0
	}, patience, time.Millisecond, "the new counter is asked")
}

// A configuration read again at SIGHUP in which one value is absent, of another type, zero, negative or huge is refused with
// one line or taken; either way each request has an answer, and the good file is as good as before afterwards.
func TestAConfigurationReadAgainThatDoesNotFitIsBorne(t *testing.T) {
	t.Parallel()
	set := settings()
	set["classes"] = set["classes"].([]object)[:1]
	set["tariffs"] = set["tariffs"].([]object)[:1]
	w := world{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", value("v"))}, counter: newCounter(t), registry: newRegistry(t)}
	l := start(t, w)
	good, err := json.Marshal(w.config(t))
	require.NoError(t, err)
	c, refused, taken := l.dial(), "the old one is kept", "read the configuration anew"
	read := func() int { return strings.Count(l.log.String(), refused) + strings.Count(l.log.String(), taken) }
	mutants := 0
	for what, raw := range fault.Mutants(good) {
		if mutants++; mutants%3 > 0 { // a third is enough for a check of every day
			continue
		}
		before := read()
		require.NoError(t, os.WriteFile(l.path, raw, 0o600))
		require.NoError(t, l.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return read() > before }, patience, time.Millisecond, what)
		require.NotEmpty(t, c.do(ask(fmt.Sprintf("%08x", mutants))...), what)
	}
	require.Greater(t, mutants, 600)
	require.Positive(t, strings.Count(l.log.String(), refused))
	require.Positive(t, strings.Count(l.log.String(), taken))
	l.reload(good, taken)
	require.Eventually(t, func() bool { mutants++; return c.do(ask(fmt.Sprintf("%08x", mutants))...) == "v" }, patience, time.Millisecond)
}

func TestBadConfigurationEndsWithOneLine(t *testing.T) {
	t.Parallel()
	set := settings()
	delete(set, "rules")
	none, million := settings(), settings()
	none["balancers"], million["balancers"] = 0, 1000000
	good := object{"listen": anyPort(t), "settings": settings()}
	for name, c := range map[string]struct {
		config any
		second any
	}{
		"no object":       {config: 7},
		"no settings":     {config: object{"listen": anyPort(t)}},
		"a setting short": {config: object{"listen": anyPort(t), "settings": set}},
		"a fleet of none": {config: object{"listen": anyPort(t), "settings": none}},
		"a million":       {config: object{"listen": anyPort(t), "settings": million}},
		"no address":      {config: object{"settings": settings()}},
		"seed":            {config: object{"listen": anyPort(t), "settings": settings(), "seed": "x"}},
		"second front":    {config: good, second: object{"listne": anyPort(t)}},
		"no cluster":      {config: good, second: object{"listen": anyPort(t), "others": object{"clusters": "none.json"}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			args := []string{"-log", "error", "-config", writeJSON(t, filepath.Join(dir, "c.json"), c.config)}
			if c.second != nil {
				args = append(args, "-ratelimit", writeJSON(t, filepath.Join(dir, "r.json"), c.second))
			}
			out, err := exec.Command(binary, args...).CombinedOutput()
			require.Error(t, err)
			assert.Regexp(t, `^bramblefall: [^\n]+\n$`, string(out))
		})
	}
}

// A limiter on a tenth of a core takes ten times as long for its last answers: it waits for a server for less.
func TestASmallShareOfACoreLeavesTimeForTheAnswer(t *testing.T) {
	t.Parallel()
	for cores, most := range map[float64]int{1: 5992, 0.1: 5974} { // of 6000 ms, of which the module keeps 6
		s := newServer(t, "s-1", "hall-a", value("v"))
		require.Equal(t, "v", start(t, world{cores: cores, servers: []*server{s}}).dial().do(post("01")...))
		wait := regexp.MustCompile(`d=(\d+)`).FindStringSubmatch(s.seen()[0][3])
		ms, err := strconv.Atoi(wait[1])
		require.NoError(t, err)
		assert.LessOrEqual(t, ms, most)
	}
}
