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

// countersScript returns an operators' file that lists these counters; more is appended to its arguments.
func countersScript(more string, list ...*quotaCounter) string {
	var b strings.Builder
	for _, c := range list {
		fmt.Fprintf(&b, "  counter(address = %q),\n", c.addr)
	}
	return fmt.Sprintf("bramblefall(\n counters = [\n%s ], %s)\n", b.String(), more)
}

// reloadOperatorFile replaces the operators' file, sends SIGHUP and waits until the limiter logs message once more.
func (l *limiter) reloadOperatorFile(path, text, message string) {
	l.t.Helper()
	before := strings.Count(l.log.String(), message)
	require.NoError(l.t, os.WriteFile(path, []byte(text), 0o600))
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(l.t, func() bool { return strings.Count(l.log.String(), message) > before }, testTimeout, time.Millisecond)
}

// startThreeLimiters starts the first three limiters of a deployment of this size, each with its own operators' file, under one
// wall clock whose beginning BRAMBLEFALL_SEED draws. restart starts the one of a rank again.
func startThreeLimiters(t *testing.T, balancers int, plan object, c *quotaCounter, s *server) (all []*limiter, files []string, restart func(rank int) *limiter) {
	return startThreeLimitersAt(t, newSeededWallClock(t, envUint("BRAMBLEFALL_SEED", 1)), balancers, plan, c, s)
}

// startThreeLimitersAt is startThreeLimiters under a given wall clock.
func startThreeLimitersAt(t *testing.T, clock *wallClock, balancers int, plan object, c *quotaCounter, s *server) (all []*limiter, files []string, restart func(rank int) *limiter) {
	set := settings()
	set["balancers"], set["tariffs"] = balancers, []object{plan}
	restart = func(rank int) *limiter {
		own := maps.Clone(set)
		own["rank"] = rank
		return start(t, fixture{settings: own, servers: []*server{s}, counter: c, operatorFile: files[rank], clock: clock})
	}
	for rank := range 3 {
		files = append(files, writeScript(t, filepath.Join(t.TempDir(), "operator.star"), "bramblefall()\n"))
		all = append(all, restart(rank))
	}
	return all, files, restart
}

const configReloaded = `msg="read the configuration anew"`

// An invalid list is reported in one line that names the script's line and the field. At a reload the limiter keeps the last
// valid list.
func TestInvalidCounterListIsRejected(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	c := newCounter(t)
	for name, x := range map[string]struct{ list, want string }{
		"empty":       {"", "c.star:1: counters: minItems: got 0, want 1"},
		"twice":       {fmt.Sprintf("counter(address = %q), counter(address = %q)", c.addr, c.addr), "c.star:1: counters[1].address: "},
		"bad address": {`counter(address = "nowhere")`, `c.star:1: counters[0].address: "nowhere" is not like`},
	} {
		file := writeScript(t, filepath.Join(dir, "c.star"), "bramblefall(counters = ["+x.list+"])\n")
		_, stderr := runCLI(t, 2, "check", file)
		require.Contains(t, stderr, x.want, name)
	}
	out, _ := runCLI(t, 0, "check", writeScript(t, filepath.Join(dir, "c.star"), countersScript("", c)))
	require.Regexp(t, `counter +`+c.addr, out)
	list := regexp.MustCompile(`list [0-9a-f]{16}`).FindString(out)
	require.NotEmpty(t, list)

	file := writeScript(t, filepath.Join(dir, "operator.star"), countersScript("", c))
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, operatorFile: file})
	l.reloadOperatorFile(file, "bramblefall(counters = [])\n", "the old one is kept")
	require.Contains(t, l.log.String(), "counters: minItems")
	require.Contains(t, l.log.String(), strings.Replace(list, " ", "=", 1), "the limiter logs the same fingerprint of the list as the check of the file")
	require.Equal(t, "v", l.dial().do(askArgs("r1")...))
}

// Names are spread over all counters of the list, and the list may change at any time: more counters, one counter replaced, or
// back to the platform's own. The names of a counter that is gone cost the other counters nothing.
func TestNamesAreSpreadOverTheListedCounters(t *testing.T) {
	t.Parallel()
	first, s := newCounter(t), newServer(t, "s-1", "hall-a", replyValue("v"))
	limiters, files, _ := startThreeLimiters(t, 3, plan("regular", 3, 30, 0), first, s)
	list := []*quotaCounter{first, newCounter(t), newCounter(t)}
	for k, l := range limiters {
		l.reloadOperatorFile(files[k], countersScript("", list...), configReloaded)
	}
	id := 0
	sendUntil := func(done func() bool) {
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
	sendUntil(func() bool {
		a, _ := list[1].callsAndConns()
		b, _ := list[2].callsAndConns()
		return a > 5 && b > 5
	})
	replacement := newCounter(t)
	for k, l := range limiters {
		l.reloadOperatorFile(files[k], countersScript("", first, list[1], replacement), configReloaded)
	}
	sendUntil(func() bool { n, _ := replacement.callsAndConns(); return n > 5 })
	for k, l := range limiters {
		l.reloadOperatorFile(files[k], "bramblefall()\n", configReloaded)
	}
	before, _ := first.callsAndConns()
	sendUntil(func() bool { n, _ := first.callsAndConns(); return n > before+5 })
	for _, c := range append(list, replacement) {
		_, conns := c.callsAndConns()
		if !assert.LessOrEqual(t, conns, 6, "one connection for each of three limiters, and one more each if the first was closed while idle") {
			for _, l := range limiters {
				t.Logf("the log of a limiter:\n%s", l.log.String())
			}
		}
	}
}

// useQuota sends eight requests for each of some firms through one limiter, more than a firm's quota, and counts those served.
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
	// maxMovedServed is how many requests three limiters together may serve: the firms' bursts; for each firm one more request
	// through each of the two other limiters, since a limiter admits one request on its even share even where that is a fraction
	// of a request; and one burst more, since the counting interval of one firm may have ended.
	maxMovedServed = movedFirms*movedBurst + 2*movedFirms + movedBurst
)

// startMovedLimiters starts three limiters of a deployment of six. The firms' quotas refill so slowly that none does in a test.
func startMovedLimiters(t *testing.T, c *quotaCounter) (all []*limiter, files []string, restart func(rank int) *limiter) {
	return startThreeLimiters(t, 6, plan("regular", 0.05, movedBurst, 0), c, newServer(t, "s-1", "hall-a", replyValue("v")))
}

// A quota that is used up stays used up when its names move to another counter, whether the former counter answers, is slow,
// closes its connections or is silent. One limiter used the quota before the change; the others, which know nothing of that use,
// ask after it. One of them is killed during the change and restarted.
func TestUsedQuotaStaysUsedWhenCountersChange(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(c *quotaCounter){
		"healthy": func(*quotaCounter) {},
		"slow":    func(c *quotaCounter) { c.mu.Lock(); defer c.mu.Unlock(); c.replyDelay = 29 * time.Millisecond },
		"closed":  func(c *quotaCounter) { c.mu.Lock(); defer c.mu.Unlock(); c.closeConns = true },
		"silent":  func(c *quotaCounter) { c.mu.Lock(); defer c.mu.Unlock(); c.silent = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newCounter(t), newCounter(t)
			limiters, files, restart := startMovedLimiters(t, first)
			used := limiters[0].useQuota(movedFirms, "a")
			for k, l := range limiters {
				l.reloadOperatorFile(files[k], countersScript("", second), configReloaded)
			}
			disturb(first)
			more := limiters[1].useQuota(movedFirms, "b")
			require.NoError(t, limiters[2].cmd.Process.Kill())
			<-limiters[2].exited
			more += restart(2).useQuota(movedFirms, "c") // this process never had the former list
			t.Logf("%d served before the change, %d after it; at most %d allowed together", used, more, maxMovedServed)
			require.LessOrEqual(t, used+more, maxMovedServed)
		})
	}
}

// Limiters switch to a new list at different times: quota used by limiters with one list is known to those with the other.
func TestLimitersWithDifferentCounterListsShareQuota(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]int{"used under the new list": {0, 1, 2}, "used under the former list": {1, 2, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newCounter(t), newCounter(t)
			limiters, files, _ := startMovedLimiters(t, first)
			limiters[0].reloadOperatorFile(files[0], countersScript("", second), configReloaded)
			used := limiters[order[0]].useQuota(movedFirms, "a")
			more := limiters[order[1]].useQuota(movedFirms, "b") + limiters[order[2]].useQuota(movedFirms, "c")
			t.Logf("%d served, %d more by limiters with the other list", used, more)
			require.GreaterOrEqual(t, used, movedFirms*(movedBurst-1))
			require.LessOrEqual(t, used+more, maxMovedServed)
		})
	}
}

// A former counter that loses its totals during a change is not trusted by a limiter that had read higher totals from it.
func TestFormerCounterWipedDuringChangeGrantsNoQuotaTwice(t *testing.T) {
	t.Parallel()
	first, second := newCounter(t), newCounter(t)
	limiters, files, _ := startMovedLimiters(t, first)
	used := limiters[0].useQuota(movedFirms, "a")
	informed := limiters[1].useQuota(movedFirms, "b")
	for k, l := range limiters {
		l.reloadOperatorFile(files[k], countersScript("", second), configReloaded)
	}
	first.mu.Lock()
	clear(first.totals)
	first.mu.Unlock()
	more := limiters[1].useQuota(movedFirms, "c")
	t.Logf("%d served by the first limiter, %d by the one that read the totals, %d after the change", used, informed, more)
	require.LessOrEqual(t, used+informed+more, maxMovedServed)
}

// Limiters that ask one after the other are granted a firm's burst once, at whatever moment of the wall clock they begin: the
// ends of counting intervals, which come at moments of that clock, grant nothing.
func TestQuotaIsGrantedOnceAtAnyMomentOfTheWallClock(t *testing.T) {
	t.Parallel()
	const (
		moments    = 12
		refillTime = 20 * time.Second // in which one unit is refilled
	)
	first := envUint("BRAMBLEFALL_SEED", 1)
	for seed := first; seed < first+moments; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			limiters, _, _ := startThreeLimitersAt(t, newSeededWallClock(t, seed), 6, plan("regular", 0.05, movedBurst, 0), newCounter(t),
				newServer(t, "s-1", "hall-a", replyValue("v")))
			began := time.Now()
			served := 0
			for k, l := range limiters {
				served += l.useQuota(movedFirms, fmt.Sprint(k))
				time.Sleep(time.Second)
			}
			require.Less(t, time.Since(began), refillTime, "the machine is too slow for this test")
			t.Logf("%d served", served)
			require.LessOrEqual(t, served, movedFirms*(movedBurst+1))
		})
	}
}

// A list that changes every second grants no quota twice, whichever limiter asks after each change.
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
	t.Logf("%d served under %d lists, at most %d allowed", served, 1+changes, maxMovedServed)
	require.LessOrEqual(t, served, maxMovedServed)
}
