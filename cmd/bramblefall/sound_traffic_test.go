package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	soundPause         = 200 * time.Millisecond // between two requests of a sound client
	reloadPause        = 300 * time.Millisecond
	lateAnswer         = 550 * time.Millisecond  // after a request's time, when it counts as lost: half a second, and 50 ms on sockets
	lastTakenAfterTerm = 700 * time.Millisecond  // after SIGTERM, up to which a request has to be answered before the kill
	earliestKill       = 3700 * time.Millisecond // after SIGTERM
)

// soundTraffic is the traffic of clients that behave, beside others that do not: each of its requests that was written whole has its
// answer in its time.
type soundTraffic struct {
	l    *limiter
	stop chan struct{} // closed when nobody sends any more
	ids  floodEnvironment
	draw func(*rand.Rand) (size int, deadline time.Duration) // of a request

	mu                sync.Mutex
	terminated        time.Time // of SIGTERM
	asked, answered   int
	answers           map[string]int // by the request's size and how they begin
	findings          []string
	longest           time.Duration // from a request's last byte to its answer
	notWritten, ended int
}

func newSoundTraffic(l *limiter, draw func(*rand.Rand) (int, time.Duration)) *soundTraffic {
	return &soundTraffic{l: l, stop: make(chan struct{}), draw: draw, answers: map[string]int{}}
}

// String tells what came of the traffic. It must be called once that has ended.
func (x *soundTraffic) String() string {
	return fmt.Sprintf("%d requests, %d answered (%v), longest %v; %d not written whole, %d ended by the limiter",
		x.asked, x.answered, x.answers, x.longest.Round(time.Millisecond), x.notWritten, x.ended)
}

// check fails the test if a request had no answer in its time, or if none had any.
func (x *soundTraffic) check(t *testing.T) {
	assert.Empty(t, x.findings, strings.Join(x.findings, "\n"))
	require.Positive(t, x.answered)
	if t.Failed() {
		t.Log(x.l.log.String())
	}
}

func (x *soundTraffic) stopped() bool {
	select {
	case <-x.stop:
		return true
	default:
		return false
	}
}

// sendSignals sends SIGHUP in a series and SIGTERM, and waits for the end of the process, at the latest at the earliest kill.
func (x *soundTraffic) sendSignals() {
	for range 3 {
		_ = x.l.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(reloadPause)
	}
	x.mu.Lock()
	x.terminated = time.Now()
	x.mu.Unlock()
	x.l.terminate()
	select {
	case <-x.l.exited:
	case <-time.After(earliestKill):
		_ = x.l.cmd.Process.Kill()
	}
}

// runSoundClient sends one request after the other, each written whole at once, on connections that it keeps.
func (x *soundTraffic) runSoundClient(rng *rand.Rand) {
	for !x.stopped() {
		conn, err := net.Dial("tcp", x.l.addr)
		if err != nil {
			time.Sleep(soundPause)
			continue
		}
		for in := bufio.NewReader(conn); !x.stopped() && x.sendRequest(rng, conn, in); {
			time.Sleep(soundPause)
		}
		_ = conn.Close()
	}
}

// sendRequest sends one request and awaits its answer. It reports whether the connection can be used on.
func (x *soundTraffic) sendRequest(rng *rand.Rand, conn net.Conn, in *bufio.Reader) bool {
	size, deadline := x.draw(rng)
	text := x.request(size, deadline)
	_ = conn.SetWriteDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(conn, text); err != nil {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.notWritten++
		return false
	}
	written := time.Now()
	_ = conn.SetReadDeadline(written.Add(deadline + lateAnswer))
	line, err := in.ReadString('\n')
	if strings.HasPrefix(line, "$") && err == nil {
		_, err = in.ReadString('\n')
	}
	return x.note(written, size, deadline, line, err)
}

// request returns a transfer with a body of so many bytes, or a read where that is 0, whose client waits as long as the deadline.
func (x *soundTraffic) request(size int, deadline time.Duration) string {
	n := x.ids.ids.Add(1)
	args := askArgs(fmt.Sprintf("%012x", n))
	if size > 0 {
		args = append(doArgs(fmt.Sprintf("%012x", n))[:4], strings.Repeat("b", size))
	}
	args[1] = fmt.Sprintf("%016x", n)
	terms, waits, _ := strings.Cut(args[3], "d=")
	_, rest, _ := strings.Cut(waits, ",")
	args[3] = fmt.Sprintf("%sd=%d,%s", terms, deadline.Milliseconds(), rest)
	return encodeCommand(args...)
}

// note checks how a request ended. It reports whether its connection can be used on.
func (x *soundTraffic) note(written time.Time, size int, deadline time.Duration, line string, err error) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	took := time.Since(written)
	x.asked++
	if err == nil {
		x.answered++
		x.longest = max(x.longest, took)
		x.answers[fmt.Sprintf("%d: %.5s", size, strings.TrimSpace(line))]++
		return true
	}
	if !x.terminated.IsZero() && (!os.IsTimeout(err) || written.Sub(x.terminated) > lastTakenAfterTerm) {
		x.ended++ // a close may cross a request, which is then sent again
		return false
	}
	x.findings = append(x.findings, fmt.Sprintf("a request of %d bytes with d=%d, written whole: %v after %v", size, deadline.Milliseconds(), err, took))
	return false
}
