package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stopped does something while the limiter's process stands still, and for at least so long.
func (l *limiter) stopped(atLeast time.Duration, do func()) {
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(atLeast)
	do()
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGCONT))
}

func (l *limiter) says(words string) {
	l.t.Helper()
	require.Eventually(l.t, func() bool { return strings.Contains(l.log.String(), words) }, patience, time.Millisecond)
}

// Whole requests stand in the listener's queue, on connections that the machine has accepted, when all of a planned
// restart's waits are over: the process stood still.
func TestAPlannedRestartTakesWhatStandsInTheQueue(t *testing.T) {
	t.Parallel()
	l := start(t, world{servers: []*server{newServer(t, "s-1", "hall-a", value("v"))}})
	l.terminate()
	l.says("msg=draining")
	clients := make([]*client, 24) // its share of the descriptors is 32
	l.stopped(time.Second, func() {
		for k := range clients {
			clients[k] = l.dial()
			clients[k].write(command(ask(fmt.Sprintf("%02x", k+1))...))
		}
	})
	for k := range clients {
		assert.Equal(t, "v", clients[k].answer(), "request %d", k)
	}
	await(t, l.ended, "the program's end")
	assert.Zero(t, l.cmd.ProcessState.ExitCode())
}

// Clients go on sending on every connection that stays open. What becomes whole after the last answers is refused at
// once: the limiter ends before any server could answer it.
func TestAPlannedRestartAnswersWhatComesAfterTheLastAnswers(t *testing.T) {
	t.Parallel()
	began := make(chan struct{}, 10)
	var servers []*server
	for k := range 12 { // more than the first request can spoil
		servers = append(servers, newServer(t, fmt.Sprintf("s-%d", k), "hall-a", func(conn net.Conn, args []string) {
			if len(args[2]) > 2 {
				value("v")(conn, args)
			} else {
				began <- struct{}{}
			}
		}))
	}
	l := start(t, world{servers: servers})
	c := l.dial()
	for k := range 50 {
		require.Equal(t, "v", c.do(ask(fmt.Sprintf("%03x", k))...))
	}
	c.write(command(post("01")...))
	await(t, began, "the request to begin")
	l.terminate()
	l.says("msg=draining")
	time.Sleep(2 * time.Second) // half a command is given up after 2.4 s; the last answers come after 3.4 s
	late := command(ask("02")...)
	c.write(late[:len(late)/2])
	assert.Equal(t, "-ERR failed", c.answer())
	c.write(late[len(late)/2:])
	assert.Regexp(t, "^-BUSY", c.answer())
	c.ended()
	await(t, l.ended, "the program's end")
	assert.Zero(t, l.cmd.ProcessState.ExitCode())
}
