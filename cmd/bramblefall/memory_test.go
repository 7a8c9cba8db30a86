package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const smallMemoryCapMB = 32 // MB

// memory is one of the kernel's figures of the limiter, in MB.
func (l *limiter) memoryMB(field string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.cmd.Process.Pid))
	require.NoError(l.t, err)
	kb, err := strconv.Atoi(regexp.MustCompile(field + `:\s+(\d+) kB`).FindStringSubmatch(string(raw))[1])
	require.NoError(l.t, err)
	return kb >> 10
}

// What requests leave behind is collected before it fills half of the smallest cap.
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

// Commands of the largest size, and servers that say nothing: what is in hand is bounded by the cap.
func TestBytesInFlightAreBoundedByMemoryCap(t *testing.T) {
	t.Parallel()
	mute := newServer(t, "s-1", "hall-a", func(net.Conn, []string) {})
	const clients, each, limit = 16, 64, 64 // commands of 64 MB in all
	l := start(t, fixture{memoryMB: limit, servers: []*server{mute}})
	large := strings.Repeat("p", 64<<10)
	var flood sync.WaitGroup
	for n := range clients {
		flood.Go(func() {
			c := l.dial()
			for k := range each {
				args := doArgs(fmt.Sprintf("%04x", each*n+k+1))
				args[1], args[4] = fmt.Sprintf("%016x", each*n+k+1), large // of firms with room in their quotas
				c.write(encodeCommand(args...))
			}
			for range each {
				assert.Regexp(t, "^-", c.readReply())
			}
		})
	}
	flood.Wait()
	peak := l.memoryMB("VmHWM") - l.memoryMB("RssFile")
	t.Log(peak, "MB at most")
	assert.Less(t, peak, limit)
}
