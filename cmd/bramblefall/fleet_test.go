package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/logic"
)

// A limiter still answers with settings that do not fit its fleet: a rank outside the fleet, plans without a price, a rate or a
// burst. (A fleet of no limiters or of a million ends the start with one line: TestInvalidConfigurationFailsWithOneLine.)
func TestUnfitFleetSettingsStillAnswer(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(object){
		"a rank beyond the fleet": func(o object) { o["balancers"], o["rank"] = 80, 4000 },
		"a negative rank":         func(o object) { o["balancers"], o["rank"] = 80, -3 },
		"plans without a price":   func(o object) { o["balancers"], o["tariffs"].([]object)[0]["worthFactor"] = 80, 0.0 },
		"plans without a rate":    func(o object) { o["balancers"], o["tariffs"].([]object)[0]["perSecond"] = 80, 0.0 },
		"plans without a burst":   func(o object) { o["balancers"], o["tariffs"].([]object)[0]["depth"] = 80, 0.0 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := settings()
			change(set)
			s := newServer(t, "s-1", "hall-a", replyValue("v"))
			l := start(t, fixture{settings: set, servers: []*server{s}, counter: newCounter(t)})
			assert.Equal(t, strings.Contains(name, "rank"), strings.Contains(l.log.String(), "beyond the fleet"))
			c := l.dial()
			for k := range 3 {
				assert.Regexp(t, "^(v|-BUSY.*)$", c.do(askArgs(fmt.Sprintf("%02x", k+1))...))
			}
		})
	}
}

// A list of thousands of servers, each named twice, must not make a limiter dial them all, and an empty list must not end it.
func TestServerListOfThousandsOrNone(t *testing.T) {
	t.Parallel()
	set := settings()
	set["balancers"] = 80
	s, r := newServer(t, "s-0", "hall-a", replyValue("v")), newRegistry(t)
	c := start(t, fixture{settings: set, servers: []*server{s}, registry: r}).dial()
	var many []*server
	for k := range 5000 {
		many = append(many, &server{id: fmt.Sprintf("s-%d", k), addr: s.addr, zone: "hall-b", state: "ready"})
	}
	r.sendList(2, true, append(many, many...)...)
	for k := range 60 {
		require.Equal(t, "v", c.do(askArgs(fmt.Sprintf("%03x", k+1))...))
		time.Sleep(25 * time.Millisecond) // a connection is not reused right after a reply
	}
	assert.LessOrEqual(t, s.connections(), 12, "connections: to the few servers that one of many limiters uses, and the first server")
	r.sendList(3, true)
	id := 0x1000
	next := func() string { id++; return c.do(askArgs(fmt.Sprintf("%04x", id))...) }
	require.Eventually(t, func() bool { return next()[0] == '-' }, testTimeout, time.Millisecond)
	r.sendList(4, true, s)
	require.Eventually(t, func() bool { return next() == "v" }, testTimeout, time.Millisecond)
}

// At a planned restart the last answers are sent before the platform kills the process, which it does 0.7 s after the longest
// deadline, of which it counts 3 s at most.
func TestLastAnswersAreSentBeforeTheKill(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{0: 400 * time.Millisecond, time.Second: 1400 * time.Millisecond,
		2900 * time.Millisecond: 3300 * time.Millisecond, 5 * time.Second: 3400 * time.Millisecond} {
		assert.Equal(t, want, finalAnswersAfter([]logic.Class{{Deadline: deadline / 2}, {Deadline: deadline}}), "%v", deadline)
	}
	assert.Equal(t, 400*time.Millisecond, finalAnswersAfter(nil))
}
