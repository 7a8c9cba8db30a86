package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// stopped does something while the limiter's process stands still, and for at least so long.
func (l *limiter) whileStopped(minimum time.Duration, do func()) {
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(minimum)
	do()
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGCONT))
}

func (l *limiter) waitForLog(text string) {
	l.t.Helper()
	require.Eventually(l.t, func() bool { return strings.Contains(l.log.String(), text) }, testTimeout, time.Millisecond)
}

// Whole requests stand in the listener's queue, on connections that the machine has accepted, when all of a planned
// restart's waits are over: the process stood still.
func TestPlannedRestartAnswersAcceptQueue(t *testing.T) {
	t.Parallel()
	start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}}).checkQueuedRequestsAnswered()
}

// answersItsQueue ends the limiter and stops it while clients come whose requests stand in its queue when it goes on.
func (l *limiter) checkQueuedRequestsAnswered() {
	l.t.Helper()
	l.terminate()
	l.waitForLog("msg=draining")
	clients := make([]*client, 24) // its share of the descriptors is 32
	l.whileStopped(time.Second, func() {
		for k := range clients {
			clients[k] = l.dial()
			clients[k].write(encodeCommand(askArgs(fmt.Sprintf("%02x", k+1))...))
		}
	})
	for k := range clients {
		assert.Equal(l.t, "v", clients[k].readReply(), "request %d", k)
	}
	l.waitForCleanExit()
}

// Clients go on sending on every connection that stays open. What becomes whole after the last answers is refused at
// once: the limiter ends before any server could answer it.
func TestPlannedRestartRejectsCommandsAfterLastAnswers(t *testing.T) {
	t.Parallel()
	began := make(chan struct{}, 10)
	var servers []*server
	for k := range 12 { // more than the first request can spoil
		servers = append(servers, newServer(t, fmt.Sprintf("s-%d", k), "hall-a", func(conn net.Conn, args []string) {
			if len(args[2]) > 2 {
				replyValue("v")(conn, args)
			} else {
				began <- struct{}{}
			}
		}))
	}
	l := start(t, fixture{servers: servers})
	c := l.dial()
	for k := range 50 {
		require.Equal(t, "v", c.do(askArgs(fmt.Sprintf("%03x", k))...))
	}
	c.write(encodeCommand(doArgs("01")...))
	await(t, began, "the request to begin")
	l.terminate()
	l.waitForLog("msg=draining")
	time.Sleep(2 * time.Second) // half a command is given up after 2.4 s; the last answers come after 3.4 s
	late := encodeCommand(askArgs("02")...)
	c.write(late[:len(late)/2])
	assert.Equal(t, "-ERR failed", c.readReply())
	c.write(late[len(late)/2:])
	assert.Regexp(t, "^-BUSY", c.readReply())
	c.expectClosed()
	l.waitForCleanExit()
}

// SIGTERM goes before a configuration that is still being read, at the start or again. The file is a pipe, so the
// limiter reads until the test writes.
func TestPlannedRestartDuringConfigurationRead(t *testing.T) {
	t.Parallel()
	w := fixture{settings: settings(), servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}}
	t.Run("again", func(t *testing.T) {
		t.Parallel()
		l := start(t, w)
		require.NoError(t, os.Remove(l.path))
		require.NoError(t, syscall.Mkfifo(l.path, 0o600))
		for range 8 { // more than are kept for later
			require.NoError(t, l.cmd.Process.Signal(syscall.SIGHUP))
		}
		pipe, err := os.OpenFile(l.path, os.O_WRONLY, 0) // waits for its reader
		require.NoError(t, err)
		defer pipe.Close()
		c := l.dial()
		l.terminate()
		l.waitForLog("msg=draining")
		assert.Equal(t, "v", c.do(askArgs("01")...))
		l.waitForCleanExit()
	})
	t.Run("at the start", func(t *testing.T) {
		t.Parallel()
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, syscall.Mkfifo(path, 0o600))
		cmd := exec.Command(binary, "-config", path)
		require.NoError(t, cmd.Start())
		t.Cleanup(func() { _ = cmd.Process.Kill() })
		pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
		require.NoError(t, err)
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, json.NewEncoder(pipe).Encode(w.config(t)))
		require.NoError(t, pipe.Close())
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		assert.NoError(t, await(t, ended, "the program's end"))
	})
}

// What a planned restart may meet: each time the request that is held is answered, and the program ends with code 0.
func TestPlannedRestartEdgeCases(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("p", 64<<10)
	for name, moment := range map[string]func(t *testing.T, l *limiter, release func()){
		"told twice": func(_ *testing.T, l *limiter, release func()) {
			l.terminate()
			l.waitForLog("msg=draining")
			l.terminate()
			release()
		},
		"a pipeline of commands": func(t *testing.T, l *limiter, release func()) {
			c := l.dial()
			var all strings.Builder
			for k := range 100 {
				all.WriteString(encodeCommand(askArgs(fmt.Sprintf("%03x", k))...))
			}
			c.write(all.String())
			l.terminate()
			release()
			for k := range 100 {
				require.Equal(t, "v", c.readReply(), "command %d", k)
			}
			c.expectClosed()
		},
		"a client that does not read": func(t *testing.T, l *limiter, release func()) {
			deaf := l.dial()
			require.NoError(t, deaf.conn.(*net.TCPConn).SetReadBuffer(4<<10))
			for k := range 100 {
				deaf.write(encodeCommand(askArgs(fmt.Sprintf("%08x", k))...))
			}
			l.terminate()
			release()
		},
		"a client that closes its sending side": func(t *testing.T, l *limiter, release func()) {
			c := l.dial()
			c.write(encodeCommand(askArgs("0a")...))
			l.terminate()
			require.NoError(t, c.conn.(*net.TCPConn).CloseWrite()) // it counts as gone: whether it has its answer is open
			release()
		},
		"no descriptor is left": func(t *testing.T, l *limiter, release func()) {
			pid := l.cmd.Process.Pid
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			require.NoError(t, err)
			require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(open)), Max: uint64(len(open))}, nil))
			for range 20 {
				_ = l.dial() // they wait in the queue, for as long as there is one
			}
			l.waitForLog("too many open files")
			l.terminate()
			l.waitForLog("msg=draining")
			release()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := make(chan struct{})
			s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
				if len(args[2]) == 2 {
					<-held
				}
				text := "v"
				if len(args[2]) == 8 {
					text = large
				}
				replyValue(text)(conn, args)
			})
			l := start(t, fixture{servers: []*server{s}})
			c := l.holdRequest(s)
			moment(t, l, func() { close(held) })
			assert.Equal(t, "v", c.readReply())
			c.expectClosed()
			l.waitForCleanExit()
		})
	}
}

// Discovery and the counter are away at a planned restart: nobody listens at their addresses.
func TestPlannedRestartWithoutDiscoveryAndCounter(t *testing.T) {
	t.Parallel()
	held := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		<-held
		replyValue("v")(conn, args)
	})
	away := serveConns(t, func(net.Conn) {}) // each connection ends at once
	l := start(t, fixture{servers: []*server{s}, counter: &quotaCounter{addr: away}, registry: &registry{addr: away}})
	c := l.holdRequest(s)
	l.terminate()
	l.waitForLog("msg=draining")
	close(held)
	assert.Equal(t, "v", c.readReply())
	l.waitForCleanExit()
}
