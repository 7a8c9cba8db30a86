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
	listSize        = 1024 // limiters, servers or endpoints; a list of so many must not be truncated
	drainingServers = 768  // the first servers of the list drain, so that replies can only come from its end
	sizeMemoryCapMB = 64
)

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// checkResources checks the open descriptors and the peak memory of the limiter's process against their limits.
func (l *limiter) checkResources(descriptors, memoryMB int) {
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
	assert.Less(l.t, kb>>10, memoryMB)
}

// lastOfFleetSettings returns the settings of the last limiter of a fleet of this size.
func lastOfFleetSettings(limiters int) object {
	set := settings()
	set["balancers"], set["rank"] = limiters, limiters-1
	set["tariffs"] = []object{plan("regular", 1e6, 4e6, 0)} // large enough that one limiter's share delays no request
	return set
}

// newNumberedServers starts n servers, which answer with their number. The first drainingServers of them drain.
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

// checkWholeListServed checks that the last limiter of a fleet of this size uses the servers at the end of its list.
func (l *limiter) checkWholeListServed(limiters, memoryMB int) {
	c := l.dial()
	for k := 0; k < 100; {
		args := askArgs(fmt.Sprintf("%06x", 1+k))
		args[3] = fmt.Sprintf("c=balance-read,t=regular,d=4000,units=1,spread=%d,first=%d", limiters, limiters-1)
		text := c.do(args...)
		if n, err := strconv.Atoi(text); err == nil {
			require.GreaterOrEqual(l.t, n, drainingServers)
			k++
		} else {
			require.Regexp(l.t, "^-BUSY", text, "only before the list has arrived, or at the first try of a server")
		}
	}
	l.checkResources(128, memoryMB)
}

// The largest fleet that the operators' pages name, 900 limiters in front of 3,200 servers, with the servers listed in the
// configuration or by discovery, at the smallest memory limit. Discovery's list was refused there, and a limiter that knew no other
// server refused all requests.
func TestLargestFleet(t *testing.T) { // not in parallel: it needs the whole machine
	const (
		limiters = 900
		servers  = 3200
	)
	set, all := lastOfFleetSettings(limiters), newNumberedServers(t, servers)
	r := newRegistry(t)
	r.sendList(2, true, all...)
	for name, f := range map[string]fixture{
		"known at the start":  {settings: set, servers: all, memoryMB: smallMemoryCapMB},
		"listed by discovery": {settings: set, registry: r, counter: newCounter(t), memoryMB: smallMemoryCapMB},
	} {
		t.Run(name, func(t *testing.T) {
			l := start(t, f)
			l.checkWholeListServed(limiters, smallMemoryCapMB)
			l.terminate()
			l.waitForCleanExit()
		})
	}
}

// Lists of 1,024 limiters, servers or endpoints are accepted wherever the program takes one, within a small cap on memory and
// on descriptors, and the limiter still exits cleanly.
func TestListsOf1024(t *testing.T) { // not in parallel: it needs the whole machine
	set, all := lastOfFleetSettings(listSize), newNumberedServers(t, listSize)
	for name, startLimiter := range map[string]func(t *testing.T) *limiter{
		"known at the start": func(t *testing.T) *limiter {
			l := start(t, fixture{settings: set, servers: all, memoryMB: sizeMemoryCapMB})
			l.checkWholeListServed(listSize, sizeMemoryCapMB)
			return l
		},
		"listed by discovery": func(t *testing.T) *limiter {
			r := newRegistry(t)
			r.sendList(2, true, all...)
			l := start(t, fixture{settings: set, registry: r, counter: newCounter(t), memoryMB: sizeMemoryCapMB})
			l.checkWholeListServed(listSize, sizeMemoryCapMB)
			return l
		},
		"limiters of a gRPC call": func(t *testing.T) *limiter {
			l := start(t, fixture{settings: set, rateLimitFile: rateLimitFile(t), memoryMB: sizeMemoryCapMB})
			_, err := l.rateLimitClient().ShouldRateLimit(testContext(t), rateLimitRequest(descriptor("firm", "a1", "tier", "regular", "class", "balance-read",
				"spread", strconv.Itoa(listSize), "first", strconv.Itoa(listSize-1))))
			require.NoError(t, err)
			return l
		},
		"endpoints of an external service": func(t *testing.T) *limiter {
			others, last := &externalService{answer: respondWith(verdictOK)}, &externalService{answer: respondWith(verdictOK)}
			file := rateLimitFile(t, "127.0.0.1:1")
			writeEndpoints(t, filepath.Dir(file), drainingServers, append(others.listenOn(t, listSize-1), last.listen(t))...)
			l := start(t, fixture{rateLimitFile: file, memoryMB: sizeMemoryCapMB})
			s, firm := l.rateLimitClient(), 0
			require.Eventually(t, func() bool { // calls go to random endpoints that do not drain
				firm++
				_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor(fmt.Sprintf("%x", firm))))
				return assert.NoError(t, err) && last.calls() > 0
			}, testTimeout, 1)
			l.checkResources(128+128, sizeMemoryCapMB)
			return l
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := startLimiter(t)
			l.terminate()
			l.waitForCleanExit()
		})
	}
}
