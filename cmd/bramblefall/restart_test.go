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

// whileStopped stops the limiter's process, waits for the minimum time, calls do and lets the process continue.
func (l *limiter) whileStopped(minimum time.Duration, do func()) {
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(minimum)
	do()
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGCONT))
}

// waitUntilStopped waits until each thread of the process has stopped, which takes a moment after SIGSTOP.
func (l *limiter) waitUntilStopped() {
	l.t.Helper()
	require.Eventually(l.t, func() bool {
		states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", l.cmd.Process.Pid))
		require.NoError(l.t, err)
		for _, path := range states {
			state, err := os.ReadFile(path)
			if err != nil || !strings.Contains(string(state), ") T ") {
				return false
			}
		}
		return len(states) > 0
	}, testTimeout, time.Millisecond)
}

// waitForLog waits until the limiter's log contains text.
func (l *limiter) waitForLog(text string) {
	l.t.Helper()
	require.Eventually(l.t, func() bool { return strings.Contains(l.log.String(), text) }, testTimeout, time.Millisecond)
}

// The process is stopped during a planned restart until all waits of the restart are over. Whole requests are then in the
// listener's queue, on connections that the kernel has accepted, and must be answered.
func TestPlannedRestartAnswersAcceptQueue(t *testing.T) {
	t.Parallel()
	start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}}).checkQueuedRequestsAnswered()
}

// checkQueuedRequestsAnswered begins a planned restart, stops the process while clients connect and send requests, and checks that
// these are answered from the accept queue when it continues.
func (l *limiter) checkQueuedRequestsAnswered() {
	l.t.Helper()
	l.terminate()
	l.waitForLog("msg=draining")
	clients := make([]*client, 24) // below the 32 descriptors for client connections
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

// Clients keep sending on every connection that stays open. A command that is complete only after the last answers of a planned
// restart is rejected at once, since the limiter exits before a server could answer it.
func TestPlannedRestartRejectsCommandsAfterLastAnswers(t *testing.T) {
	t.Parallel()
	began := make(chan struct{}, 10)
	var servers []*server
	for k := range 12 { // more than the unanswered first request can affect
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
	await(t, began, "a server to get the request")
	l.terminate()
	l.waitForLog("msg=draining")
	time.Sleep(2 * time.Second) // a partial command is given up after 2.4 s, and the last answers are sent after 3.4 s
	late := encodeCommand(askArgs("02")...)
	c.write(late[:len(late)/2])
	assert.Equal(t, "-ERR failed", c.readReply())
	c.write(late[len(late)/2:])
	assert.Regexp(t, "^-BUSY", c.readReply())
	c.expectClosed()
	l.waitForCleanExit()
}

// SIGTERM takes precedence over a configuration that is still being read, at the start or at a reload. The file is a pipe, so
// that the limiter's read blocks until the test writes.
func TestPlannedRestartDuringConfigurationRead(t *testing.T) {
	t.Parallel()
	f := fixture{settings: settings(), servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}}
	t.Run("reload", func(t *testing.T) {
		t.Parallel()
		l := start(t, f)
		require.NoError(t, os.Remove(l.path))
		require.NoError(t, syscall.Mkfifo(l.path, 0o600))
		for range 8 { // more signals than are queued
			require.NoError(t, l.cmd.Process.Signal(syscall.SIGHUP))
		}
		pipe, err := os.OpenFile(l.path, os.O_WRONLY, 0) // blocks until the limiter opens it for reading
		require.NoError(t, err)
		defer pipe.Close()
		c := l.dial()
		l.terminate()
		l.waitForLog("msg=draining")
		assert.Equal(t, "v", c.do(askArgs("01")...))
		l.waitForCleanExit()
	})
	t.Run("start", func(t *testing.T) {
		t.Parallel()
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, syscall.Mkfifo(path, 0o600))
		cmd := exec.Command(binary, "-config", path)
		require.NoError(t, cmd.Start())
		t.Cleanup(func() { _ = cmd.Process.Kill() })
		pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
		require.NoError(t, err)
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, json.NewEncoder(pipe).Encode(f.config(t)))
		require.NoError(t, pipe.Close())
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		assert.NoError(t, await(t, ended, "the program's end"))
	})
}

// Events that a planned restart may coincide with. In each case the held request is answered and the process exits with code 0.
func TestPlannedRestartEdgeCases(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("p", 64<<10)
	for name, event := range map[string]func(t *testing.T, l *limiter, release func()){
		"SIGTERM twice": func(_ *testing.T, l *limiter, release func()) {
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
			nonReading := l.dial()
			require.NoError(t, nonReading.conn.(*net.TCPConn).SetReadBuffer(4<<10))
			for k := range 100 {
				nonReading.write(encodeCommand(askArgs(fmt.Sprintf("%08x", k))...))
			}
			l.terminate()
			release()
		},
		"a client that closes its sending side": func(t *testing.T, l *limiter, release func()) {
			c := l.dial()
			c.write(encodeCommand(askArgs("0a")...))
			l.terminate()
			require.NoError(t, c.conn.(*net.TCPConn).CloseWrite()) // the client counts as gone, and may or may not get its answer
			release()
		},
		"no descriptor is left": func(t *testing.T, l *limiter, release func()) {
			pid := l.cmd.Process.Pid
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			require.NoError(t, err)
			require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(open)), Max: uint64(len(open))}, nil))
			for range 20 {
				_ = l.dial() // these wait in the accept queue, which lasts as long as the listener
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
			event(t, l, func() { close(held) })
			assert.Equal(t, "v", c.readReply())
			c.expectClosed()
			l.waitForCleanExit()
		})
	}
}

// Discovery and the counter are down at a planned restart: connections to their addresses are closed at once.
func TestPlannedRestartWithoutDiscoveryAndCounter(t *testing.T) {
	t.Parallel()
	held := make(chan struct{})
	s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		<-held
		replyValue("v")(conn, args)
	})
	downAddress := serveConns(t, func(net.Conn) {}) // closes each connection at once
	l := start(t, fixture{servers: []*server{s}, counter: &quotaCounter{addr: downAddress}, registry: &registry{addr: downAddress}})
	c := l.holdRequest(s)
	l.terminate()
	l.waitForLog("msg=draining")
	close(held)
	assert.Equal(t, "v", c.readReply())
	l.waitForCleanExit()
}

// Callers whose connections waited in the kernel's queue when the gRPC front stopped were reset with their calls. The process is
// stopped during a planned restart until the front is due to stop; then it serves those that have connected.
func TestPlannedRestartAnswersCallsInAcceptQueue(t *testing.T) {
	t.Parallel()
	const callers = 20
	l := start(t, fixture{rateLimitFile: rateLimitFile(t), maxDescriptors: 1024})
	l.terminate()
	l.waitForLog("msg=draining")
	var queued [callers]*rawCaller
	l.whileStopped(time.Second, func() {
		for k := range queued {
			c, err := dialRaw("tcp", l.grpcAddr)
			require.NoError(t, err)
			require.NoError(t, c.call(checkPath, rateLimitRequest(firmDescriptor("a1"))))
			queued[k] = c
		}
	})
	for k, c := range queued {
		require.NoError(t, c.conn.SetReadDeadline(time.Now().Add(callDeadline)))
		assert.NoError(t, c.readUntil(streamEnded), "caller %d", k)
		_ = c.conn.Close()
	}
	l.waitForCleanExit()
}
