package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	listSize        = 1024 // limiters, servers or endpoints: no list of them may be cut before
	drainingServers = 768  // of the servers, the first in the list: what is served came from beyond
	sizeMemoryCapMB = 64   // MB
)

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// fits looks at what the limiter's process holds.
func (l *limiter) checkResources(descriptors int) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.cmd.Process.Pid))
	require.NoError(l.t, err)
	assert.LessOrEqual(l.t, len(open), descriptors)
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.cmd.Process.Pid))
	require.NoError(l.t, err)
	words := peakMemory.FindSubmatch(raw)
	require.NotNil(l.t, words)
	kb, err := strconv.Atoi(string(words[1]))
	require.NoError(l.t, err)
	l.t.Logf("%d MB, %d descriptors", kb>>10, len(open))
	assert.Less(l.t, kb>>10, sizeMemoryCapMB)
}

// fleetOf is the settings of a limiter of so many, the last of them.
func lastOfFleetSettings(limiters int) object {
	set := settings()
	set["balancers"], set["rank"] = limiters, limiters-1
	set["tariffs"] = []object{plan("regular", 1e6, 4e6, 0)} // a limiter's part of it holds nobody up
	return set
}

// serversOf is so many servers, which answer with their number; the first ones drain.
func newNumberedServers(t *testing.T, n int) (all []*server) {
	for k := range n {
		s := newServer(t, fmt.Sprintf("s-%04d", k), []string{"hall-a", "hall-b"}[k%2], replyValue(fmt.Sprintf("%04d", k)))
		if k < drainingServers {
			s.state = "draining"
		}
		all = append(all, s)
	}
	return all
}

// servesByTheWholeList looks at a limiter of so many, the last of them, with a list of servers.
func (l *limiter) checkWholeListServed(limiters int) {
	c := l.dial()
	for k := 0; k < 100; {
		args := askArgs(fmt.Sprintf("%06x", 1+k))
		args[3] = fmt.Sprintf("c=balance-read,t=regular,d=4000,units=1,spread=%d,first=%d", limiters, limiters-1)
		text := c.do(args...)
		if n, err := strconv.Atoi(text); err == nil {
			require.GreaterOrEqual(l.t, n, drainingServers)
			k++
		} else {
			require.Regexp(l.t, "^-BUSY", text, "before the list has come, or where a server is tried first")
		}
	}
	l.checkResources(128)
}

// The largest fleet that the pages name: 900 limiters before 3,200 servers, from the list known at the start and from discovery's.
func TestLargestFleet(t *testing.T) { // by itself, as the next
	const limiters, servers = 900, 3200
	set, all := lastOfFleetSettings(limiters), newNumberedServers(t, servers)
	r := newRegistry(t)
	r.sendList(2, true, all...)
	for name, w := range map[string]fixture{
		"known at the start":  {settings: set, servers: all, memoryMB: sizeMemoryCapMB},
		"listed by discovery": {settings: set, registry: r, counter: newCounter(t), memoryMB: sizeMemoryCapMB},
	} {
		t.Run(name, func(t *testing.T) {
			l := start(t, w)
			l.checkWholeListServed(limiters)
			l.terminate()
			l.waitForCleanExit()
		})
	}
}

// A list of 1,024 limiters and 1,024 servers is taken by every front and part, within a small cap on memory and on
// descriptors, and a limiter that has it ends as any other.
func TestListsOf1024(t *testing.T) { // by itself, for the same reason as the fleet that is restarted
	set, all := lastOfFleetSettings(listSize), newNumberedServers(t, listSize)
	for name, play := range map[string]func(t *testing.T) *limiter{
		"known at the start": func(t *testing.T) *limiter {
			l := start(t, fixture{settings: set, servers: all, memoryMB: sizeMemoryCapMB})
			l.checkWholeListServed(listSize)
			return l
		},
		"listed by discovery": func(t *testing.T) *limiter {
			r := newRegistry(t)
			r.sendList(2, true, all...)
			l := start(t, fixture{settings: set, registry: r, counter: newCounter(t), memoryMB: sizeMemoryCapMB})
			l.checkWholeListServed(listSize)
			return l
		},
		"limiters of a gRPC call": func(t *testing.T) *limiter {
			l := start(t, fixture{settings: set, rateLimitFile: rateLimitFile(t), memoryMB: sizeMemoryCapMB})
			_, err := l.rateLimitClient().ShouldRateLimit(testContext(t), rateLimitRequest(descriptor("firm", "a1", "tier", "regular", "class", "balance-read",
				"spread", strconv.Itoa(listSize), "first", strconv.Itoa(listSize-1))))
			require.NoError(t, err)
			return l
		},
		"endpoints of a service of others": func(t *testing.T) *limiter {
			others, last := &externalService{answer: respondWith(verdictOK)}, &externalService{answer: respondWith(verdictOK)}
			file := rateLimitFile(t, "127.0.0.1:1")
			writeEndpoints(t, filepath.Dir(file), drainingServers, append(others.listenOn(t, listSize-1), last.listen(t))...)
			l := start(t, fixture{rateLimitFile: file, memoryMB: sizeMemoryCapMB})
			s, firm := l.rateLimitClient(), 0
			require.Eventually(t, func() bool { // one of those that do not drain is asked, by chance
				firm++
				_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor(fmt.Sprintf("%x", firm))))
				return assert.NoError(t, err) && last.calls() > 0
			}, testTimeout, 1)
			l.checkResources(128 + 128)
			return l
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := play(t)
			l.terminate()
			l.waitForCleanExit()
		})
	}
}
