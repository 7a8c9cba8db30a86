package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// SIGHUP right before SIGTERM, or right after it. Held requests are answered, the new addresses of discovery and the counter are
// used while the limiter drains, and nothing new goes to a server that the new discovery lists as draining.
func TestReloadAroundPlannedRestart(t *testing.T) {
	t.Parallel()
	for name, sendSignals := range map[string]func(l *limiter){
		"SIGTERM right after SIGHUP": func(l *limiter) {
			require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
			l.terminate()
		},
		"SIGTERM 2 ms after SIGHUP": func(l *limiter) {
			require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
			time.Sleep(2 * time.Millisecond)
			l.terminate()
		},
		"SIGHUP during the drain": func(l *limiter) {
			l.terminate()
			require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
		},
		"many SIGHUPs": func(l *limiter) {
			for range 20 {
				require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
			}
			l.terminate()
			require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			old := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
				<-release
				replyValue("old")(conn, args)
			})
			replacement := newServer(t, "s-2", "hall-a", replyValue("new"))
			list := serverEntries([]*server{old, replacement})
			list[0]["state"] = "draining"
			line, err := json.Marshal(object{"version": 7, "full": true, "servers": list})
			require.NoError(t, err)
			f := fixture{settings: settings(), servers: []*server{old}, counter: newCounter(t), registry: newRegistry(t)}
			f.registry.sendList(2, true, old)
			l := start(t, f)
			held, open := l.holdRequest(old), l.dial()
			require.Equal(t, "+PONG", open.do("PING"))
			next := f
			next.counter, next.registry = newCounter(t), newAgent(t, func(_ int, conn net.Conn) {
				_, _ = conn.Write([]byte(chunkedHeader + chunk(string(line))))
				waitForClose(conn)
			})
			raw, err := json.Marshal(next.config(t))
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(l.path, raw, 0o600))
			sendSignals(l)
			l.waitForLog("msg=draining")
			l.waitForLog("read the configuration anew")
			require.Eventually(t, func() bool { _, conns := next.counter.callsAndConns(); return conns > 0 }, testTimeout, time.Millisecond)
			close(release)
			assert.Equal(t, "old", held.readReply())
			held.expectClosed()
			l.waitForCleanExit()
			assert.Len(t, old.received(), 1)
			assert.NotContains(t, l.log.String(), "cut off")
		})
	}
}

// A server resets a connection right after accepting it, before reading anything or after reading the command. Each request gets
// one answer: requests that may be repeated are served by another server, and those that may have run are reported as failed.
func TestServerThatDiesRightAfterAccept(t *testing.T) {
	t.Parallel()
	for name, readsFirst := range map[string]bool{"unread": false, "after the command": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resetting := &server{id: "s-1", zone: "hall-a", state: "ready", addr: serveConns(t, func(conn net.Conn) {
				if readsFirst {
					_ = readCommand(conn)
				}
				resetConn(conn, nil)
			})}
			f := fixture{servers: []*server{resetting, newServer(t, "s-2", "hall-a", replyValue("v"))}}
			l := start(t, f)
			for k := range 40 {
				require.Equal(t, "v", l.dial().do(askArgs(fmt.Sprint("a", k))...))
				require.Contains(t, []string{"v", "-ERR failed"}, l.dial().do(doArgs(fmt.Sprint("p", k))...))
			}
		})
	}
}

// A command may arrive in two pieces, split at any byte, or one byte at a time, alone or behind another command.
func TestCommandsSplitAtAnyByte(t *testing.T) {
	t.Parallel()
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
		replyValue("v"+args[2])(conn, args)
	})}})
	length := len(encodeCommand(doArgs("a000")...) + encodeCommand(askArgs("b000")...))
	c := l.dial()
	for cut := 1; cut < length; cut += 3 {
		first, second := fmt.Sprintf("a%03d", cut), fmt.Sprintf("b%03d", cut)
		text := encodeCommand(doArgs(first)...) + encodeCommand(askArgs(second)...)
		c.write(text[:cut])
		time.Sleep(time.Millisecond)
		c.write(text[cut:])
		require.Equal(t, "v"+first, c.readReply())
		require.Equal(t, "v"+second, c.readReply())
	}
	for _, b := range []byte(encodeCommand(askArgs("slow")...)) {
		c.write(string(b))
	}
	require.Equal(t, "vslow", c.readReply())
}

// Servers accept every request and answer none. Each request gets exactly one answer in time, the client connections stay open,
// and the servers are used again once they answer.
func TestRequestsToSilentServersAreAnswered(t *testing.T) {
	t.Parallel()
	answering := make(chan struct{})
	f := fixture{maxDescriptors: 400}
	for k := range 4 {
		f.servers = append(f.servers, newServer(t, fmt.Sprint("s-", k), "hall-a", func(conn net.Conn, args []string) {
			select {
			case <-answering:
				replyValue("v")(conn, args)
			default: // no answer, ever
			}
		}))
	}
	l := start(t, f)
	var clients []*client
	for k := range 50 {
		c := l.dial()
		clients = append(clients, c)
		for n, args := range [][]string{askArgs(fmt.Sprint("a", k)), doArgs(fmt.Sprint("p", k)), askArgs(fmt.Sprint("b", k))} {
			args[3] = strings.NewReplacer("d=4000", fmt.Sprint("d=", 500+200*n), "d=6000", "d=900").Replace(args[3])
			c.write(encodeCommand(args...))
		}
	}
	for _, c := range clients {
		for range 3 {
			require.Regexp(t, "^-(BUSY|ERR failed)", c.readReply())
		}
	}
	close(answering)
	c := clients[0]
	served, k := "", 0
	for began := time.Now(); served != "v"; k++ {
		require.Less(t, time.Since(began), testTimeout)
		served = c.do(askArgs(fmt.Sprint("c", k))...)
	}
	for _, c := range clients {
		require.Equal(t, "+PONG", c.do("PING"))
	}
}

// New connections arrive all the time around SIGTERM, each with a request at once. Each connection that the kernel has accepted
// gets its answer.
func TestRequestRightAfterAcceptIsAnsweredDuringDrain(t *testing.T) {
	t.Parallel()
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}})
	done := make(chan string, 10000)
	n := 0
	for ; ; n++ {
		if n == 20 {
			l.terminate()
		}
		conn, err := net.Dial("tcp", l.addr)
		if err != nil {
			break
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		text := encodeCommand(askArgs(fmt.Sprint("id", n))...)
		go func() {
			defer conn.Close()
			_, _ = io.WriteString(conn, text)
			answer, _ := io.ReadAll(io.LimitReader(conn, int64(len("$1\r\nv\r\n"))))
			done <- string(answer)
		}()
		time.Sleep(2 * time.Millisecond)
	}
	l.waitForCleanExit()
	for k := range n {
		assert.Equal(t, "$1\r\nv\r\n", await(t, done, "an answer"), "request %d of %d", k, n)
	}
}
