package main

import (
	encoding "encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// wallClock is the wall clock of the processes of a test, as if all machines read one clock. It may step.
type wallClock struct {
	t       *testing.T
	path    string
	library string
	offset  time.Duration
}

func newWallClock(t *testing.T) *wallClock {
	dir := t.TempDir()
	c := &wallClock{t: t, path: filepath.Join(dir, "offset"), library: filepath.Join(dir, "wallclock.so")}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O1", "-o", c.library, "testdata/wallclock.c").CombinedOutput()
	require.NoError(t, err, string(out))
	c.step(0)
	return c
}

const (
	clockEpoch = 2_000_000_000    // seconds of Unix time at which a clock drawn from a seed begins at the earliest
	clockRange = 10_000 * 100_000 // milliseconds of it from which the beginning is drawn
)

// newSeededWallClock returns a wall clock that begins at an instant drawn from a seed, whatever the machine's clock shows. What
// limiters do at fixed moments of the wall clock, as the ends of their counting intervals, comes at the same moments of each run
// with that seed.
func newSeededWallClock(t *testing.T, seed uint64) *wallClock {
	c := newWallClock(t)
	rng := rand.New(rand.NewPCG(seed, 100))
	begins := time.Unix(clockEpoch, 0).Add(time.Duration(rng.Int64N(clockRange)) * time.Millisecond)
	c.step(time.Until(begins))
	t.Logf("seed %d: the wall clock begins at %v", seed, begins.UTC())
	return c
}

// step moves the clock, also for processes that run already.
func (c *wallClock) step(by time.Duration) {
	c.offset += by
	file, err := os.OpenFile(c.path, os.O_RDWR|os.O_CREATE, 0o600)
	require.NoError(c.t, err)
	defer file.Close()
	_, err = file.WriteAt(encoding.LittleEndian.AppendUint64(nil, uint64(c.offset)), 0)
	require.NoError(c.t, err)
}

func (c *wallClock) now() time.Time { return time.Now().Add(c.offset) }

// environment returns the environment variables of a process that reads this clock.
func (c *wallClock) environment() []string {
	return append(os.Environ(), "LD_PRELOAD="+c.library, "BRAMBLEFALL_TEST_WALLCLOCK="+c.path)
}

var clockSteps = map[string]time.Duration{"an hour forward": time.Hour, "an hour back": -time.Hour, "seconds forward": 7 * time.Second, "seconds back": -7 * time.Second}

// newSlowServer starts a server that answers after some milliseconds, so that several requests are in flight at a time.
func newSlowServer(t *testing.T, id string) *server {
	return newServer(t, id, "hall-a", func(conn net.Conn, args []string) {
		time.Sleep(5 * time.Millisecond)
		replyValue("v")(conn, args)
	})
}

// A server that starts after a step of the wall clock is cold like any other and warm when its cold period is over: discovery
// reports its start by the clock after the step.
func TestWallClockStepKeepsColdStart(t *testing.T) {
	t.Parallel()
	const (
		coldPeriod  = 4 * time.Second
		requests    = 400
		concurrency = 8
	)
	for name, step := range clockSteps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := newWallClock(t)
			warm, fresh := newSlowServer(t, "s-1"), newSlowServer(t, "s-2")
			r := newRegistry(t)
			r.sendList(2, true, warm)
			set := settings()
			set["rules"].(object)["cold"] = coldPeriod.Seconds()
			l := start(t, fixture{settings: set, servers: []*server{warm}, registry: r, clock: clock})
			shareOfFresh := func(kind string) float64 {
				before := len(fresh.received())
				var clients sync.WaitGroup
				for k := range concurrency {
					clients.Go(func() {
						c := l.dial()
						for n := range requests / concurrency {
							assert.Equal(t, "v", c.do(askArgs(fmt.Sprintf("%s%d-%d", kind, k, n))...))
						}
					})
				}
				clients.Wait()
				return float64(len(fresh.received())-before) / requests
			}
			shareOfFresh("before")
			clock.step(step)
			time.Sleep(50 * time.Millisecond)
			began := time.Now()
			entry := serverEntries([]*server{fresh})
			entry[0]["started_ms"] = clock.now().UnixMilli()
			r.sendLine(3, marshalList(t, object{"version": 3, "full": false, "servers": entry}))
			time.Sleep(50 * time.Millisecond)
			assert.Less(t, shareOfFresh("cold"), 0.35, "share of a cold server, too high if it is taken for a warm one")
			require.Less(t, time.Since(began), coldPeriod/2, "the machine is too slow for this test: the cold server must be measured within half of its cold period")
			time.Sleep(time.Until(began.Add(coldPeriod + 500*time.Millisecond)))
			assert.Greater(t, shareOfFresh("warm"), 0.4, "share of a warm server, too low if it is taken for a cold one")
		})
	}
}

// Limiters that were running during a step of the wall clock and limiters that started after it count a firm under the same name.
func TestWallClockStepKeepsOneCounterNamePerFirm(t *testing.T) {
	t.Parallel()
	const minBothForecasts = 2 << 17 // a total of at least this contains the forecasts of two limiters
	for name, step := range map[string]time.Duration{"an hour forward": time.Hour, "an hour back": -time.Hour, "minutes forward": 2 * time.Minute,
		"minutes back": -2 * time.Minute} { // not seconds: the stand-in never drops a name, so after a step by seconds each limiter would find the other's
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock, counter := newWallClock(t), newCounter(t)
			s := newServer(t, "s-1", "hall-a", replyValue("v"))
			startAs := func(rank int) *limiter {
				set := settings()
				set["balancers"], set["rank"] = 2, rank
				set["tariffs"].([]object)[0]["perSecond"], set["tariffs"].([]object)[0]["depth"] = 20, 40
				return start(t, fixture{settings: set, servers: []*server{s}, counter: counter, clock: clock})
			}
			limiters := []*limiter{startAs(0)}
			first := limiters[0].dial()
			require.Equal(t, "v", first.do(twoLimiterArgs("00")...))
			clock.step(step)
			limiters = append(limiters, startAs(1))
			var clients sync.WaitGroup
			stop := make(chan struct{})
			for k, l := range limiters {
				clients.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(100 * time.Millisecond):
							l.dial().do(twoLimiterArgs(fmt.Sprintf("%d%06d", k, n))...)
						}
					}
				})
			}
			assert.Eventually(t, func() bool { return counter.largestTotal() >= minBothForecasts }, testTimeout/2, 10*time.Millisecond)
			close(stop)
			clients.Wait()
		})
	}
}

// twoLimiterArgs is askArgs for a firm that sends through two limiters.
func twoLimiterArgs(id string) []string {
	args := askArgs(id)
	args[3] = strings.Replace(args[3], "spread=1", "spread=2", 1)
	return args
}

// largestTotal returns the largest total of any name.
func (c *quotaCounter) largestTotal() (most float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, total := range c.totals {
		most = max(most, total)
	}
	return most
}

// A plan takes effect at its instant by the wall clock, also where a step of the clock jumps over the instant.
func TestWallClockStepActivatesPlan(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	clock, socket := newWallClock(t), filepath.Join(dir, "admin.sock")
	start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, clock: clock,
		operatorFile: writeScript(t, filepath.Join(dir, "operator.star"), fmt.Sprintf("bramblefall(admin = admin(socket = %q))\n", socket))})
	effective := fmt.Sprintf("effective = time(%q),", clock.now().Add(30*time.Minute).UTC().Format(time.RFC3339))
	runCLI(t, 0, "plans", "apply", writeScript(t, filepath.Join(dir, "1.star"), planScript(1, effective, "rate = 100, burst = 50")), "--socket", socket)
	list := func() string {
		out, _ := runCLI(t, 0, "plans", "list", "--socket", socket)
		return out
	}
	require.Regexp(t, `1 +to come`, list())
	clock.step(time.Hour)
	require.Eventually(t, func() bool { return strings.Contains(list(), "in force") && !strings.Contains(list(), "to come") }, testTimeout, 50*time.Millisecond)
	clock.step(-time.Hour)
	time.Sleep(100 * time.Millisecond)
	require.NotContains(t, list(), "to come", "a plan that took effect must stay in effect after a step back")
}
