package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// counters is an operators' file with such a list; more is what stands beside it.
func countersScript(more string, list ...*quotaCounter) string {
	var b strings.Builder
	for _, c := range list {
		fmt.Fprintf(&b, "  counter(address = %q),\n", c.addr)
	}
	return fmt.Sprintf("bramblefall(\n counters = [\n%s ], %s)\n", b.String(), more)
}

// read has a limiter read its operators' file again.
func (l *limiter) reloadOperatorFile(path, text, message string) {
	l.t.Helper()
	before := strings.Count(l.log.String(), message)
	require.NoError(l.t, os.WriteFile(path, []byte(text), 0o600))
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(l.t, func() bool { return strings.Count(l.log.String(), message) > before }, testTimeout, time.Millisecond)
}

// threeLimiters is three limiters of a deployment of so many, with an operators' file each.
func startThreeLimiters(t *testing.T, balancers int, plan object, c *quotaCounter, s *server) (all []*limiter, files []string, restart func(rank int) *limiter) {
	set := settings()
	set["balancers"], set["tariffs"] = balancers, []object{plan}
	restart = func(rank int) *limiter {
		own := maps.Clone(set)
		own["rank"] = rank
		return start(t, fixture{settings: own, servers: []*server{s}, counter: c, operatorFile: files[rank]})
	}
	for rank := range 3 {
		files = append(files, writeScript(t, filepath.Join(t.TempDir(), "operator.star"), "bramblefall()\n"))
		all = append(all, restart(rank))
	}
	return all, files, restart
}

const configReloaded = `msg="read the configuration anew"`

// A bad list is told in one line, with line and field, and the last good one goes on.
func TestInvalidCounterListIsRejected(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	c := newCounter(t)
	for name, x := range map[string]struct{ list, says string }{
		"empty":       {"", "c.star:1: counters: minItems: got 0, want 1"},
		"twice":       {fmt.Sprintf("counter(address = %q), counter(address = %q)", c.addr, c.addr), "c.star:1: counters[1].address: "},
		"bad address": {`counter(address = "nowhere")`, `c.star:1: counters[0].address: "nowhere" is not like`},
	} {
		file := writeScript(t, filepath.Join(dir, "c.star"), "bramblefall(counters = ["+x.list+"])\n")
		_, said := runCLI(t, 2, "check", file)
		require.Contains(t, said, x.says, name)
	}
	out, _ := runCLI(t, 0, "check", writeScript(t, filepath.Join(dir, "c.star"), countersScript("", c)))
	require.Regexp(t, `counter +`+c.addr, out)
	list := regexp.MustCompile(`list [0-9a-f]{16}`).FindString(out)
	require.NotEmpty(t, list)

	file := writeScript(t, filepath.Join(dir, "operator.star"), countersScript("", c))
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, operatorFile: file})
	l.reloadOperatorFile(file, "bramblefall(counters = [])\n", "the old one is kept")
	require.Contains(t, l.log.String(), "counters: minItems")
	require.Contains(t, l.log.String(), strings.Replace(list, " ", "=", 1), "limiters can be compared with the file")
	require.Equal(t, "v", l.dial().do(askArgs("r1")...))
}

// The names go to all counters of the list, those of one that is gone cost no other, and the list may change at any time: to one
// more, to one elsewhere, to the platform's again.
func TestNamesAreSpreadOverTheListedCounters(t *testing.T) {
	t.Parallel()
	first, s := newCounter(t), newServer(t, "s-1", "hall-a", replyValue("v"))
	limiters, files, _ := startThreeLimiters(t, 3, plan("regular", 3, 30, 0), first, s)
	list := []*quotaCounter{first, newCounter(t), newCounter(t)}
	for k, l := range limiters {
		l.reloadOperatorFile(files[k], countersScript("", list...), configReloaded)
	}
	id := 0
	drive := func(done func() bool) {
		t.Helper()
		var clients []*client
		for _, l := range limiters {
			clients = append(clients, l.dial())
		}
		require.Eventually(t, func() bool {
			for n := range 40 {
				id++
				c := clients[id%3]
				require.Regexp(t, "^(v|-BUSY.*)$", c.do("Q.ASK", fmt.Sprintf("%016x", 1+n), fmt.Sprintf("%016x", id), "c=balance-read,t=regular,d=4000,units=1,spread=3,first=0"))
			}
			return done()
		}, testTimeout, time.Millisecond)
	}
	drive(func() bool {
		a, _ := list[1].callsAndConns()
		b, _ := list[2].callsAndConns()
		return a > 5 && b > 5
	})
	elsewhere := newCounter(t)
	for k, l := range limiters {
		l.reloadOperatorFile(files[k], countersScript("", first, list[1], elsewhere), configReloaded)
	}
	drive(func() bool { n, _ := elsewhere.callsAndConns(); return n > 5 })
	for k, l := range limiters {
		l.reloadOperatorFile(files[k], "bramblefall()\n", configReloaded)
	}
	before, _ := first.callsAndConns()
	drive(func() bool { n, _ := first.callsAndConns(); return n > before+5 })
	for _, c := range append(list, elsewhere) {
		_, conns := c.callsAndConns()
		assert.LessOrEqual(t, conns, 6, "a connection for each limiter, and one more where it had rested")
	}
}

// drain asks one limiter for units of some firms until it refuses each, and counts what it serves.
func (l *limiter) useQuota(firms int, tag string) (served int) {
	c := l.dial()
	for f := range firms {
		for n := range 8 {
			reply := c.do("Q.ASK", fmt.Sprintf("%016x", 100+f), fmt.Sprintf("%s%02x%02x", tag, f, n), "c=balance-read,t=regular,d=400,units=1,spread=6,first=0")
			if reply == "v" {
				served++
			}
		}
	}
	return served
}

const (
	movedFirms = 6
	movedBurst = 5
	// mostMoved is what three limiters may serve of the firms' quotas: of the even part, a fraction of a request here, each limiter
	// lets one go, and the interval of one firm may have ended.
	maxMovedServed = movedFirms*movedBurst + 2*movedFirms + movedBurst
)

// movedLimiters is three limiters of a deployment of six, whose firms' quotas come back so slowly that none does in a test.
func startMovedLimiters(t *testing.T, c *quotaCounter) (all []*limiter, files []string, restart func(rank int) *limiter) {
	return startThreeLimiters(t, 6, plan("regular", 0.05, movedBurst, 0), c, newServer(t, "s-1", "hall-a", replyValue("v")))
}

// A quota that is used up stays used up when its names move to another counter, whatever becomes of the former one: it answers,
// it is slow, it is gone, it is silent. One limiter used the quota; the others, which never heard of it, ask after the move. One of
// them is killed in the middle of the move and starts anew.
func TestUsedQuotaStaysUsedWhenCountersChange(t *testing.T) {
	t.Parallel()
	for name, hurt := range map[string]func(c *quotaCounter){
		"well":   func(*quotaCounter) {},
		"slow":   func(c *quotaCounter) { c.mu.Lock(); defer c.mu.Unlock(); c.replyDelay = 29 * time.Millisecond },
		"gone":   func(c *quotaCounter) { c.mu.Lock(); defer c.mu.Unlock(); c.closeConns = true },
		"silent": func(c *quotaCounter) { c.mu.Lock(); defer c.mu.Unlock(); c.silent = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newCounter(t), newCounter(t)
			limiters, files, again := startMovedLimiters(t, first)
			used := limiters[0].useQuota(movedFirms, "a")
			for k, l := range limiters {
				l.reloadOperatorFile(files[k], countersScript("", second), configReloaded)
			}
			hurt(first)
			more := limiters[1].useQuota(movedFirms, "b")
			require.NoError(t, limiters[2].cmd.Process.Kill())
			<-limiters[2].exited
			more += again(2).useQuota(movedFirms, "c") // it never had the former list
			t.Logf("%d used, %d more after the move", used, more)
			require.LessOrEqual(t, used+more, maxMovedServed)
		})
	}
}

// Limiters hear of a list at different times: what those with one list have used, those with the other know.
func TestLimitersWithDifferentCounterListsShareQuota(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]int{"the new list's uses it": {0, 1, 2}, "the former list's use it": {1, 2, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newCounter(t), newCounter(t)
			limiters, files, _ := startMovedLimiters(t, first)
			limiters[0].reloadOperatorFile(files[0], countersScript("", second), configReloaded)
			used := limiters[order[0]].useQuota(movedFirms, "a")
			more := limiters[order[1]].useQuota(movedFirms, "b") + limiters[order[2]].useQuota(movedFirms, "c")
			t.Logf("%d used, %d more with the other list", used, more)
			require.GreaterOrEqual(t, used, movedFirms*(movedBurst-1))
			require.LessOrEqual(t, used+more, maxMovedServed)
		})
	}
}

// A former counter that is wiped in a move is not believed by a limiter that heard from it before.
func TestFormerCounterWipedDuringChangeGrantsNoQuotaTwice(t *testing.T) {
	t.Parallel()
	first, second := newCounter(t), newCounter(t)
	limiters, files, _ := startMovedLimiters(t, first)
	used := limiters[0].useQuota(movedFirms, "a")
	heard := limiters[1].useQuota(movedFirms, "b")
	for k, l := range limiters {
		l.reloadOperatorFile(files[k], countersScript("", second), configReloaded)
	}
	first.mu.Lock()
	clear(first.totals)
	first.mu.Unlock()
	more := limiters[1].useQuota(movedFirms, "c")
	t.Logf("%d used, %d by the one that heard of it, %d more after the move", used, heard, more)
	require.LessOrEqual(t, used+heard+more, maxMovedServed)
}

// A list that changes every second gives no quota twice, whichever limiter asks after each change.
func TestCounterListChangedEverySecondGrantsNoQuotaTwice(t *testing.T) {
	t.Parallel()
	const changes = 6
	first := newCounter(t)
	limiters, files, _ := startMovedLimiters(t, first)
	served := limiters[0].useQuota(movedFirms, "0")
	for change := range changes {
		next := newCounter(t)
		for k, l := range limiters {
			l.reloadOperatorFile(files[k], countersScript("", next), configReloaded)
		}
		served += limiters[(1+change)%3].useQuota(movedFirms, fmt.Sprint(1+change))
		time.Sleep(time.Second)
	}
	t.Logf("%d served under %d lists", served, 1+changes)
	require.LessOrEqual(t, served, maxMovedServed)
}
