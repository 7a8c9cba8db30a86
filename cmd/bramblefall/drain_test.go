package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/fault"
	"bramblefall/internal/standin"
)

const (
	drainGraceSeconds = 2.0             // drainGrace in the settings of these tests
	auditGrace        = 3 * time.Second // allows for a busy machine; the discovery client's former retry delays exceeded it
	drainInterval     = 150 * time.Millisecond
	restartDelay      = 4 * time.Second
	drainTestDuration = 10 * time.Second
)

// fleet is several limiters in one environment of stand-ins, each with a discovery agent of its own.
type fleet struct {
	peers    *standin.World
	limiters []*standin.Limiter
	configs  []object
	args     []string   // of the program, besides its configuration
	clock    *wallClock // of the limiters; nil: the machine's
	ids      atomic.Int64
}

// startFleet starts as many limiters as there are troubles, which decide how the agent of each limiter misbehaves (nil: not at
// all). customize changes the configuration of each limiter; nil: none is changed.
func startFleet(t *testing.T, nodes int, customize func(f *fleet, k int, config object), troubles ...func(int) standin.AnswerFault) *fleet {
	trackSources()
	f := &fleet{peers: standin.NewWorld(fault.Plan{})}
	t.Cleanup(f.peers.Close)
	f.peers.SkipAudit = true
	f.peers.Audit.CheckDrains(auditGrace)
	for k := range nodes {
		n, err := f.peers.AddNode(fmt.Sprintf("s-%d", k), []string{"hall-a", "hall-b"}[k%2])
		require.NoError(t, err)
		n.Handle = func(_ *standin.Node, args [][]byte) ([]byte, bool, time.Duration) {
			return standin.ValueReply(string(args[2])), true, time.Millisecond
		}
	}
	d, err := f.peers.AddDiscovery()
	require.NoError(t, err)
	for k, trouble := range troubles {
		agent, err := d.AddAgent(k, trouble)
		require.NoError(t, err)
		s := settings()
		s["balancers"], s["rank"] = len(troubles), k
		s["rules"].(object)["drainGrace"] = drainGraceSeconds
		config := object{"name": fmt.Sprintf("n%d", k), "listen": reservedAddress(t),
			"seed": fmt.Sprintf("%x", k+1), "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 256},
			"settings": s, "known": d.ListFor(k), "discovery": agent}
		if customize != nil {
			customize(f, k, config)
		}
		f.configs = append(f.configs, config)
		f.limiters = append(f.limiters, f.start(t, k))
	}
	return f
}

// start starts a limiter, for the first time or again.
func (f *fleet) start(t *testing.T, k int) *standin.Limiter {
	var env []string
	if f.clock != nil {
		env = f.clock.environment()
	}
	l, err := standin.StartWithEnv(binary, t.TempDir(), env, f.configs[k], f.args...)
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Kill()
		require.Empty(t, l.CrashLog())
	})
	return l
}

// sendRequests sends one request after the other to a limiter until stop is closed, with a pause before each. It returns an error
// unless each request gets exactly one answer, and each value is that of its own request. served counts the requests that got a
// value.
func (f *fleet) sendRequests(l *standin.Limiter, stop <-chan struct{}, pause time.Duration, fields string, served *atomic.Int64) error {
	conn, err := net.Dial("tcp", l.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			if n := in.Buffered(); n > 0 {
				return fmt.Errorf("got %d bytes after the last answer, want none", n)
			}
			return nil
		case <-time.After(pause):
		}
		id := fmt.Sprintf("%08x", f.ids.Add(1))
		args := askArgs(id)
		args[3] = fields
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := conn.Write([]byte(encodeCommand(args...))); err != nil {
			return err
		}
		line, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.HasPrefix(line, "$") {
			served.Add(1)
			if value, err := in.ReadString('\n'); err != nil || value != id+"\r\n" {
				return fmt.Errorf("got the value %q for request %s, want its id (error: %v)", value, id, err)
			}
		}
	}
}

// Lists break off, are truncated or stall while servers drain and others start at their addresses. No limiter may send to a
// server that it was told drains or is gone, nor to one that no list has named to it.
func TestDrainingIsHonouredWhileListsBreakOff(t *testing.T) {
	t.Parallel()
	stallEverySecond := func(answer int) standin.AnswerFault { // every second answer stalls; a second request made meanwhile gets the rest
		if answer%2 == 0 {
			return standin.SilentConnection
		}
		return standin.NoFault
	}
	mostly := func(bad standin.AnswerFault) func(int) standin.AnswerFault { // eight bad answers in a row, then a good one
		return func(answer int) standin.AnswerFault {
			if answer%9 == 8 {
				return standin.NoFault
			}
			return bad
		}
	}
	f := startFleet(t, 48, nil, mostly(standin.TruncatedLine), mostly(standin.StalledLine), stallEverySecond, nil)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var served [4]atomic.Int64
	errs := make(chan error, 8)
	for k, l := range f.limiters {
		for range 2 {
			senders.Go(func() { errs <- f.sendRequests(l, stop, 0, askArgs("")[3], &served[k]) })
		}
	}
	var restarts sync.WaitGroup
	for k, began := 0, time.Now(); time.Since(began) < drainTestDuration; k++ {
		n := f.peers.Nodes[k%len(f.peers.Nodes)]
		f.peers.SetState(n, "draining", time.Time{})
		if time.Since(began) < drainTestDuration-restartDelay {
			restarts.Go(func() {
				time.Sleep(restartDelay)
				f.peers.ReplaceMachine(n, time.Now())
			})
		}
		time.Sleep(drainInterval)
	}
	restarts.Wait()
	close(stop)
	senders.Wait()
	for range 8 {
		require.NoError(t, <-errs)
	}
	findings, count := f.peers.Audit.Findings()
	require.Zero(t, count, strings.Join(findings, "\n"))
	for k := range served {
		require.Positive(t, served[k].Load(), "limiter %d", k)
	}
	require.Greater(t, f.peers.Audit.CheckedCommands(), 1000)
	t.Logf("%d sends", f.peers.Audit.CheckedCommands())
}
