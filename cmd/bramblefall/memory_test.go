package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const smallMemoryCapMB = 32 // the smallest memory cap

// memoryMB returns one of the memory fields of /proc/PID/status for the limiter, in MB.
func (l *limiter) memoryMB(field string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.cmd.Process.Pid))
	require.NoError(l.t, err)
	kb, err := strconv.Atoi(regexp.MustCompile(field + `:\s+(\d+) kB`).FindStringSubmatch(string(raw))[1])
	require.NoError(l.t, err)
	return kb >> 10
}

// The garbage that requests leave is collected before it fills half of the smallest memory cap.
func TestGarbageStaysUnderHalfOfSmallMemoryCap(t *testing.T) {
	t.Parallel()
	l := start(t, fixture{memoryMB: smallMemoryCapMB, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}})
	c := l.dial()
	for k := range 300 {
		var text strings.Builder
		for n := range 100 {
			args := askArgs(fmt.Sprintf("%08x", 100*k+n+1))
			args[1] = fmt.Sprintf("%016x", n+1)
			args[3] = strings.Replace(args[3], "d=4000", "d=100", 1)
			text.WriteString(encodeCommand(args...))
		}
		c.write(text.String())
		for range 100 {
			require.Regexp(t, "^(v|-BUSY.*)$", c.readReply())
		}
	}
	assert.Less(t, l.memoryMB("RssAnon"), smallMemoryCapMB/2)
}

// After a load, a limiter of the smallest cap that knows the largest list stayed at 20 MB for up to a minute: what it had mapped of
// the program's file was kept until the next return of unused memory, and these became rare.
func TestResidentSetComesDownSoonAfterLoad(t *testing.T) {
	t.Parallel()
	const (
		load   = 6 * time.Second
		rest   = 12 * time.Second
		window = 3 * time.Second
	)
	f := fixture{memoryMB: smallMemoryCapMB, maxDescriptors: floodSockets, registry: newRegistry(t), settings: floodSettings()}
	f.registry.sendList(2, true, largestList(t)...)
	e := &floodEnvironment{limiter: start(t, f)}
	ctx, cancel := context.WithTimeout(t.Context(), load)
	defer cancel()
	var peers sync.WaitGroup
	for range floodRoom {
		peers.Go(func() {
			conn, err := net.Dial("tcp", e.limiter.addr)
			if !assert.NoError(t, err) {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			sendEndlessly(manyRequests, true)(ctx, e, conn)
		})
	}
	peers.Wait()
	for begin := time.Now(); time.Since(begin) < rest; {
		lowest := e.limiter.memoryMB("VmRSS")
		for windowBegin := time.Now(); time.Since(windowBegin) < window; time.Sleep(50 * time.Millisecond) {
			lowest = min(lowest, e.limiter.memoryMB("VmRSS"))
		}
		t.Logf("%v after the load: %d MB", time.Since(begin), lowest)
		assert.LessOrEqual(t, float64(lowest), recoveredShare*smallMemoryCapMB, "lowest within %v", window)
	}
}

// Many commands of the largest size are in flight while servers do not answer. The memory that they take stays under the cap.
func TestBytesInFlightAreBoundedByMemoryCap(t *testing.T) {
	t.Parallel()
	silent := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	const (
		clients      = 16
		commandsEach = 64 // of 64 KB: 64 MB over all clients, as much as the cap
		memoryCapMB  = 64
	)
	l := start(t, fixture{memoryMB: memoryCapMB, servers: []*server{silent}})
	large := strings.Repeat("p", 64<<10)
	var flood sync.WaitGroup
	for n := range clients {
		flood.Go(func() {
			c := l.dial()
			for k := range commandsEach {
				args := doArgs(fmt.Sprintf("%04x", commandsEach*n+k+1))
				args[1], args[4] = fmt.Sprintf("%016x", commandsEach*n+k+1), large // a new firm each, so that no quota is exhausted
				c.write(encodeCommand(args...))
			}
			for range commandsEach {
				assert.Regexp(t, "^-", c.readReply())
			}
		})
	}
	flood.Wait()
	peak := l.memoryMB("VmHWM")
	t.Log(peak, "MB of memory at the peak")
	assert.Less(t, peak, memoryCapMB)
}
