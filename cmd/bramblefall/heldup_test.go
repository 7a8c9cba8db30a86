package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/standin"
)

const (
	intermittentDuration  = 4 * time.Second
	maxRunTime            = 2 * time.Millisecond // between two stops
	stopDuration          = 10 * time.Millisecond
	floodClients          = 400
	floodDescriptorLimit  = 128                    // as the limiter's configuration says
	clientConnectionLimit = 32                     // the limiter has room for so many client connections
	maxClientStay         = 200 * time.Millisecond // before a client closes its connection
)

// runIntermittently lets the limiter's process run for a random moment and then stops it, over and over, as happens where other
// processes take the processors. It calls inspect while the process is stopped.
func (l *limiter) runIntermittently(rng *rand.Rand, duration time.Duration, inspect func()) {
	for until := time.Now().Add(duration); time.Now().Before(until); {
		time.Sleep(time.Duration(rng.Int64N(int64(maxRunTime))))
		l.whileStopped(stopDuration, inspect)
	}
}

const (
	maxStarvedPause = 60 * time.Millisecond // without processor time
	maxStarvedRun   = 6 * time.Millisecond  // between two such pauses
)

// starve stops and continues a limiter at moments drawn from a seed until the context ends, as on a machine that has little
// processor time for it.
func starve(ctx context.Context, l *standin.Limiter, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 101))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(maxStarvedRun))))
		_ = l.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.Int64N(int64(maxStarvedPause))))
		_ = l.Signal(syscall.SIGCONT)
	}
}

// A limiter that gets too little processor time under a flood of clients must stay within its descriptor limit.
//
// In a load check with misbehaving clients such a limiter held 384 of its 384 descriptors, against 206 when it ran alone. Stopped
// at random moments under such clients, the program of that day held 625 to 910 descriptors, 450 to 740 of them client
// connections: everything in the kernel's queue was accepted before it was counted. Connections are now counted where they are
// accepted, and closed there if there is no room.
func TestFloodOnStalledLimiterStaysWithinDescriptorLimit(t *testing.T) {
	t.Parallel()
	slow := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		time.Sleep(20 * time.Millisecond)
		replyValue("v")(conn, args)
	})
	l := start(t, fixture{servers: []*server{slow}, maxDescriptors: floodDescriptorLimit})
	stop := make(chan struct{})
	var flood sync.WaitGroup
	var ids atomic.Int64
	for range floodClients {
		flood.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.Dial("tcp", l.addr)
				if err != nil {
					continue
				}
				_, _ = io.WriteString(conn, encodeCommand(askArgs(fmt.Sprintf("%08x", ids.Add(1)))...))
				time.Sleep(time.Duration(rand.Int64N(int64(maxClientStay))))
				_ = conn.Close() // without having read an answer
			}
		})
	}
	peak := 0
	l.runIntermittently(rand.New(rand.NewPCG(1, 1)), intermittentDuration, func() { peak = max(peak, l.descriptors()) })
	close(stop)
	flood.Wait()
	t.Logf("at most %d descriptors of %d, %d requests", peak, floodDescriptorLimit, ids.Load())
	require.LessOrEqual(t, peak, floodDescriptorLimit)
	require.Greater(t, peak, clientConnectionLimit, "the flood took too few descriptors to prove anything")
	require.NoError(t, l.cmd.Process.Signal(syscall.SIGCONT))
	attempts := 0
	require.Eventually(t, func() bool { attempts++; return l.servesNewClient(fmt.Sprint("after-", attempts)) }, testTimeout, 10*time.Millisecond, "the limiter does not serve a new client after the flood")
}

// A write that the kernel cannot take at once waits until it can. Linux documents EINTR for calls that block, and after a stop for
// epoll_wait and similar calls. A signal or a stop in the middle of such a write must not close the connection.
func TestSignalsDoNotInterruptLargeFlush(t *testing.T) {
	t.Parallel()
	const (
		requests       = 640
		pipelined      = 64 // their replies of 60 KB are 4 MB, more than the kernel buffers
		signalInterval = 50 * time.Microsecond
	)
	large := strings.Repeat("p", 60<<10)
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue(large))}})
	c := l.dial()
	require.NoError(t, c.conn.(*net.TCPConn).SetReadBuffer(16<<10)) // the kernel buffers little, so most of each value waits in the limiter
	stop := make(chan struct{})
	var signals atomic.Int64
	var signalling sync.WaitGroup
	defer signalling.Wait()
	defer close(stop)
	signalling.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(signalInterval):
			}
			_ = l.cmd.Process.Signal(syscall.SIGURG) // the Go runtime uses this signal itself and ignores stray ones
			if signals.Add(1)%100 == 0 {
				l.whileStopped(time.Millisecond, func() {})
			}
		}
	})
	values := 0
	for n := range requests {
		if n%pipelined == 0 {
			for k := range pipelined {
				c.write(encodeCommand(askArgs(fmt.Sprintf("%04x", n+k))...))
			}
			time.Sleep(20 * time.Millisecond) // until the replies wait for this client
		}
		if answer := c.readReply(); answer == large { // readReply fails the test if the connection has ended
			values++
		} else {
			require.Regexp(t, "^-BUSY", answer, "answer %d", n) // the limit on tries in flight, or on replies that wait for this client
		}
	}
	require.Greater(t, values, requests/2, "too few values were served to prove anything")
	t.Logf("%d signals, %d values", signals.Load(), values)
}

// A limiter that is stopped while the counter answers, for longer than a call may take, uses the answer when it goes on: its own
// pause is no failure of the counter.
func TestStoppedLimiterUsesCounterAnswer(t *testing.T) {
	t.Parallel()
	const (
		rounds = 8
		pause  = 400 * time.Millisecond // a call may take 250 ms, and a connection with answers due may be silent for 300 ms
	)
	c := newCounter(t)
	c.replyDelay = 20 * time.Millisecond
	set := settings()
	set["balancers"], set["tariffs"] = 6, []object{plan("regular", 500, 5, 0)} // each request draws a unit
	l := start(t, fixture{settings: set, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, counter: c})
	client := l.dial()
	for round := range rounds {
		before := c.receivedCalls()
		client.write(encodeCommand("Q.ASK", "0000000000000007", fmt.Sprintf("%04x", round), "c=balance-read,t=regular,d=4000,units=1,spread=6,first=0"))
		require.Eventually(t, func() bool { return c.receivedCalls() > before }, testTimeout, time.Millisecond)
		l.whileStopped(pause, func() {})
		require.Equal(t, "v", client.readReply())
		time.Sleep(50 * time.Millisecond)
	}
	require.NotContains(t, l.log.String(), "a call failed")
	require.NotContains(t, l.log.String(), "no bytes from the counter")
}

// A limiter that could not run for long says so, with the processor time that it had: nearly none where the machine gave it none.
func TestStoppedLimiterLogsItsStall(t *testing.T) {
	t.Parallel()
	const maxProcessor = 500 * time.Millisecond // of a stop of 1.5 s
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}})
	time.Sleep(1100 * time.Millisecond) // until it has looked at its processor time once
	l.whileStopped(1500*time.Millisecond, func() {})
	l.waitForLog("the loop was held up")
	words := regexp.MustCompile(`the loop was held up" for=(\S+) processor=(\S+) within=`).FindStringSubmatch(l.log.String())
	require.NotNil(t, words, l.log.String())
	processor, err := time.ParseDuration(words[2])
	require.NoError(t, err)
	require.Less(t, processor, maxProcessor)
}
