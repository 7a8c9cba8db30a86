package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxTimeToReady is how long a limiter that starts may take until it answers a PING.
const maxTimeToReady = 10 * time.Second

// keepIdleClients fills a limiter's descriptors until the test ends: each client connects, sends text, if any, and stays idle,
// and connects again as soon as its connection is closed.
func (l *limiter) keepIdleClients(clients int, text string) {
	stop := make(chan struct{})
	l.t.Cleanup(func() { close(stop) })
	for range clients {
		go func() {
			for {
				if conn, err := net.Dial("tcp", l.addr); err == nil {
					_, _ = io.WriteString(conn, text)
					closed := make(chan struct{})
					go func() { _, _ = io.Copy(io.Discard, conn); close(closed) }()
					select {
					case <-closed:
					case <-stop:
					}
					_ = conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
	}
}

// askUntilAccepted sends one command on a new connection and returns its answer. It tries again where the connection is closed
// unread or the command is rejected; argsOf gives the command of each attempt, from 1.
func (l *limiter) askUntilAccepted(argsOf func(n int) []string) (answer string) {
	l.t.Helper()
	attempt := func(n int) bool {
		conn, err := net.Dial("tcp", l.addr)
		if err != nil {
			return false
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(conn, encodeCommand(argsOf(n)...))
		in := bufio.NewReader(conn)
		line, err := in.ReadString('\n')
		if strings.HasPrefix(line, "$") && err == nil {
			line, err = in.ReadString('\n')
		}
		answer = strings.TrimSuffix(line, "\r\n")
		return err == nil && !strings.HasPrefix(answer, "-BUSY")
	}
	n, began := 1, time.Now()
	for ; !attempt(n); n++ {
		require.Less(l.t, time.Since(began), testTimeout, "closed unread or rejected each time")
		time.Sleep(5 * time.Millisecond)
	}
	if n > 1 {
		l.t.Logf("accepted at attempt %d", n)
	}
	return answer
}

// Idle clients take all descriptors that a new process has for clients, with the limit enforced by the kernel, while discovery is
// down, silent, slow or stops in the middle of a line, and the counter is unreachable. Clients are accepted all the same, and
// requests reach the server of the list that was known at the start. What recovers later is used again: the watch, the counter
// and the servers of the new list.
func TestIdleClientsFillDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]func(conn net.Conn, recovered <-chan struct{}){
		"down":   func(net.Conn, <-chan struct{}) {},
		"silent": func(conn net.Conn, recovered <-chan struct{}) { waitUntilRecoveredOrClosed(conn, recovered) },
		"slow": func(conn net.Conn, recovered <-chan struct{}) {
			for _, b := range []byte(chunkedHeader + strings.Repeat(" ", 1000)) {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				select {
				case <-recovered:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		},
		"half a line": func(conn net.Conn, recovered <-chan struct{}) {
			_, _ = io.WriteString(conn, chunkedHeader+`20`+"\r\n"+`{"version":7,"full":true,"serv`)
			waitUntilRecoveredOrClosed(conn, recovered)
		},
	} {
		for variant, text := range map[string]string{"nothing sent": "", "after a command": encodeCommand("PING"), "after half a command": encodeCommand(askArgs("half")...)[:30]} {
			t.Run(name+", "+variant, func(t *testing.T) { // not in parallel: each keeps 300 clients connected
				recovered := make(chan struct{})
				f, draining, line := drainedServerFixture(t)
				f.settings = settings()
				f.enforceRlimit = true
				f.registry = newAgent(t, func(_ int, conn net.Conn) {
					select {
					case <-recovered:
						_, _ = conn.Write([]byte(chunkedHeader + chunk(line)))
						waitForClose(conn)
					default:
						outage(conn, recovered)
					}
				})
				var calls atomic.Int64
				f.counter = &quotaCounter{addr: serveConns(t, func(conn net.Conn) {
					select {
					case <-recovered:
					default:
						return
					}
					for lines := bufio.NewScanner(conn); lines.Scan(); {
						if lines.Text() == "ping" {
							calls.Add(1)
							_, _ = io.WriteString(conn, "pong\r\n")
						} else {
							_, _ = io.WriteString(conn, "ok 1\r\n")
						}
					}
				})}
				began := time.Now()
				l := start(t, f) // 128 descriptors
				l.keepIdleClients(300, text)
				full := func() bool { return l.descriptors() > 32 }
				require.Eventually(t, full, testTimeout, time.Millisecond)
				assert.Equal(t, "+PONG", l.askUntilAccepted(func(int) []string { return []string{"PING"} }))
				t.Logf("ready %v after the start, at most %v allowed", time.Since(began), maxTimeToReady)
				assert.Less(t, time.Since(began), maxTimeToReady)
				assert.Equal(t, "old", l.askUntilAccepted(func(n int) []string { return askArgs(fmt.Sprint("a", n)) }))
				require.NotEmpty(t, draining.received())
				close(recovered)
				for k, since := 0, time.Now(); l.askUntilAccepted(func(n int) []string { return askArgs(fmt.Sprint("b", k, "-", n)) }) != "new"; k++ {
					require.Less(t, time.Since(since), testTimeout, "requests still do not go to the server of the new list")
				}
				require.Eventually(t, func() bool { return calls.Load() > 0 }, testTimeout, 10*time.Millisecond, "the counter is not connected again")
				if variant == "after half a command" { // these reconnect all the time, so at this very moment some may have been evicted
					require.Eventually(t, full, testTimeout, time.Millisecond, "the idle clients must still hold the descriptors")
				} else {
					assert.True(t, full(), "the idle clients must still hold the descriptors")
				}
				assert.LessOrEqual(t, l.descriptors(), 128)
				assert.NotContains(t, l.log.String(), "too many open files")
			})
		}
	}
}

// waitUntilRecoveredOrClosed waits until discovery is to answer again or the limiter closes the connection.
func waitUntilRecoveredOrClosed(conn net.Conn, recovered <-chan struct{}) {
	closed := make(chan struct{})
	go func() { waitForClose(conn); close(closed) }()
	select {
	case <-recovered:
	case <-closed:
	}
}
