package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	waitRounds       = 4
	stallTime        = 700 * time.Millisecond // of a round, under clients and stops
	settleTime       = 300 * time.Millisecond // then the clients are gone, and what they left behind ends
	observationTime  = 400 * time.Millisecond // of an idle limiter
	maxIdleProcessor = 0.5                    // of a core; a thread that spins uses all of one
	waitClients      = 60
	closingChance    = 3 // one of so many answers ends its connection
)

// processorTime returns the processor time that the limiter has used.
func (l *limiter) processorTime() time.Duration {
	l.t.Helper()
	const clockTicks = 100 // a second, in /proc
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", l.cmd.Process.Pid))
	require.NoError(l.t, err)
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, userErr := strconv.Atoi(fields[11])
	system, systemErr := strconv.Atoi(fields[12])
	require.NoError(l.t, errors.Join(userErr, systemErr))
	return time.Duration(user+system) * time.Second / clockTicks
}

// No thread of a limiter on one core spins: however clients and servers close connections while the process is stopped at random
// moments, it is idle once they are gone.
//
// On the operators' bench one thread of a limiter runs at a time, so code that spins until another thread goes on would never
// end. A limiter that "did not wait for anything in 20 s" was once seen there (docs/incidents).
func TestSingleCoreLimiterDoesNotSpin(t *testing.T) {
	t.Parallel()
	seed := envUint("BRAMBLEFALL_SEED", 1)
	var closing atomic.Uint64
	var servers []*server
	for n := range 6 {
		servers = append(servers, newServer(t, fmt.Sprintf("s-%d", n), "hall-a", func(conn net.Conn, args []string) {
			switch rng := rand.New(rand.NewPCG(seed, closing.Add(1))); rng.IntN(2 * closingChance) {
			case 0:
				_ = conn.(*net.TCPConn).SetLinger(0) // a reset
				_ = conn.Close()
			case 1:
				replyValue("v")(conn, args)
				_ = conn.Close()
			default:
				replyValue("v")(conn, args)
			}
		}))
	}
	l := start(t, fixture{servers: servers, maxDescriptors: 256})
	rng := rand.New(rand.NewPCG(seed, 1))
	var ids atomic.Int64
	busiest := 0.0
	for round := range waitRounds {
		stopClients := l.runLeavingClients(seed+uint64(round), &ids)
		l.runIntermittently(rng, stallTime, func() {})
		stopClients()
		time.Sleep(settleTime)
		before, began := l.processorTime(), time.Now()
		time.Sleep(observationTime)
		busiest = max(busiest, (l.processorTime()-before).Seconds()/time.Since(began).Seconds())
	}
	t.Logf("seed %d: %d requests, at most %.0f%% of a core used without clients", seed, ids.Load(), 100*busiest)
	require.Greater(t, ids.Load(), int64(waitRounds*waitClients), "too few requests were sent to prove anything")
	require.Less(t, busiest, maxIdleProcessor)
}

// runLeavingClients starts clients that send a few requests and leave, mostly before they are answered, again and again. It
// returns a function that ends them.
func (l *limiter) runLeavingClients(seed uint64, ids *atomic.Int64) (stopAll func()) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for k := range waitClients {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(1000+k)))
			for {
				select {
				case <-stop:
					return
				default:
					l.sendAndLeave(rng, ids)
				}
			}
		})
	}
	return func() {
		close(stop)
		clients.Wait()
	}
}

func (l *limiter) sendAndLeave(rng *rand.Rand, ids *atomic.Int64) {
	conn, err := net.Dial("tcp", l.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	for range 1 + rng.IntN(4) {
		_, _ = io.WriteString(conn, encodeCommand(askArgs(fmt.Sprintf("%08x", ids.Add(1)))...))
		time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
	}
	if rng.IntN(2) == 0 {
		_ = conn.(*net.TCPConn).SetLinger(0) // a reset
	}
}
