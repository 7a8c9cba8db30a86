package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/standin"
)

const (
	rollingLimiters     = 12
	restartedAtOnce     = 3
	rollingClients      = 20
	rollingStopDuration = 700 * time.Millisecond // over the waits of a planned restart up to the end of listening
	hangDuration        = 12 * time.Second       // longer than any client waits
)

// rolling is a fleet that is restarted while clients open new connections to it all the while.
type rolling struct {
	*fleet
	mu               sync.Mutex
	started          []*standin.Limiter // with those that have ended
	answered         map[string]bool    // by id: with a whole answer in time; false: its connection ended before
	refused          int                // connections
	closedOnReuse    int                // requests on a connection used before, which was closed meanwhile
	closedUnanswered int                // new connections that were closed with no answer
	served           int
}

func (r *rolling) limiter(k int) *standin.Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiters[k]
}

func (r *rolling) restart(t *testing.T, k int) {
	l := r.start(t, k)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiters[k] = l
	r.started = append(r.started, l)
}

// client asks limiters by chance, each over a new connection that it then uses again a few times.
func (r *rolling) runClient(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", r.limiter(rng.IntN(rollingLimiters)).Addr)
		if err != nil {
			r.mu.Lock()
			r.refused++
			r.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(conn)
		n, open := 0, true
		for requests := 1 + rng.IntN(20); n < requests && open; n++ {
			open = r.sendRequest(rng, conn, in)
			time.Sleep(time.Duration(max(0, rng.IntN(40)-20)) * time.Millisecond) // half of the time it goes on at once
		}
		r.mu.Lock()
		switch {
		case open:
		case n == 1:
			r.closedUnanswered++
		default:
			r.closedOnReuse++
		}
		r.mu.Unlock()
		_ = conn.Close()
	}
}

// one asks for one value and tells whether its whole answer came.
func (r *rolling) sendRequest(rng *rand.Rand, conn net.Conn, in *bufio.Reader) bool {
	id := fmt.Sprintf("%016x", r.ids.Add(1))
	args := standin.Command(rng, id)
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err := conn.Write([]byte(encodeCommand(toStrings(args)...)))
	line := ""
	if err == nil {
		line, err = in.ReadString('\n')
	}
	if err == nil && line[0] == '$' {
		value := ""
		if value, err = in.ReadString('\n'); err == nil && value != id+"\r\n" {
			err = fmt.Errorf("the value %q for request %s, from %s at %s", value, id, conn.RemoteAddr(), conn.LocalAddr())
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[id] = err == nil
	if err == nil && line[0] == '$' {
		r.served++
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		r.world.Audit.Find("request %s: %v", id, err)
	}
	return err == nil
}

func toStrings(args [][]byte) (words []string) {
	for _, a := range args {
		words = append(words, string(a))
	}
	return words
}

// traceOf tells which limiters had the addresses that a finding names, and which log the request as taken.
func (r *rolling) traceFinding(finding string) string {
	trace, takers := "", 0
	for life, l := range r.started {
		if strings.Contains(finding, l.Addr+" ") {
			trace += fmt.Sprintf("\n  %s was life %d's: %v", l.Addr, life, l.Cmd.ProcessState)
		}
		for _, taken := range takenID.FindAllStringSubmatch(l.Log(), -1) {
			if strings.Contains(finding, taken[1]) {
				takers++
			}
		}
	}
	return trace + fmt.Sprintf("\n  %d of %d lives log the request as taken", takers, len(r.started))
}

var takenID = regexp.MustCompile(`msg=taken id=(\S+)`)

// This test failed with values that none of its nodes makes. Its clients go on asking the address of a limiter that has ended
// until the next one is there, and that address was a port of 127.0.0.1 which the kernel had given to another process meanwhile.
// The traces had the address as an ended life's and the request as taken by 0 of 24 lives, and /proc named the other
// process as the listener's owner. Each limiter now has an IP address that no other process listens on (internal/loopback);
// docs/incidents has the figures.
//
// A dozen limiters are restarted a few at a time, some of which stand still over the steps of it, while clients open
// connections all the while and use them again at once, and two nodes of eight never answer. The limiters log what they
// take: each request that one has taken has its one whole answer, and every process ends with code 0.
func TestRollingRestartUnderLoadAnswersAllAcceptedRequests(t *testing.T) { // by itself: it needs the machine, as others do
	r := &rolling{answered: map[string]bool{}}
	r.fleet = startFleet(t, 8, func(f *fleet, _ int, _ object) { f.args = []string{"-log", "debug"} },
		make([]func(int) standin.Trouble, rollingLimiters)...)
	r.started = append(r.started, r.limiters...)
	for k, n := range r.world.Nodes {
		n.Handle = func(_ *standin.Node, args [][]byte) ([]byte, bool, time.Duration) {
			if k%4 == 1 {
				return nil, true, hangDuration
			}
			return standin.Value(string(args[2])), true, 20 * time.Millisecond
		}
	}
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for k := range rollingClients {
		asking.Go(func() { r.runClient(rand.New(rand.NewPCG(1, uint64(k))), stop) })
	}
	time.Sleep(time.Second)
	for first := 0; first < rollingLimiters; first += restartedAtOnce {
		var group sync.WaitGroup
		for k := first; k < first+restartedAtOnce; k++ {
			l := r.limiter(k)
			require.NoError(t, l.Signal(syscall.SIGTERM))
			group.Go(func() {
				if k > first { // the others go through it undisturbed
					time.Sleep(time.Duration(k-first) * 200 * time.Millisecond)
					_ = l.Signal(syscall.SIGSTOP)
					time.Sleep(rollingStopDuration)
					_ = l.Signal(syscall.SIGCONT)
				}
				<-l.Ended
			})
		}
		group.Wait()
		for k := first; k < first+restartedAtOnce; k++ {
			r.restart(t, k)
		}
	}
	close(stop)
	asking.Wait()
	found, times := r.world.Audit.Findings()
	for k := range found {
		found[k] += r.traceFinding(found[k])
	}
	require.Zero(t, times, strings.Join(found, "\n"))
	taken, lost := 0, []string(nil)
	for k, l := range r.started {
		for _, m := range takenID.FindAllStringSubmatch(l.Log(), -1) {
			if taken++; !r.answered[m[1]] {
				lost = append(lost, fmt.Sprintf("%s by life %d", m[1], k))
			}
		}
		if k < rollingLimiters {
			assert.Zero(t, l.Cmd.ProcessState.ExitCode(), "limiter %d", k)
		}
	}
	t.Logf("%d requests, %d taken, %d served, %d crossed a close; %d connections refused, %d closed without a word", len(r.answered), taken,
		r.served, r.closedOnReuse, r.refused, r.closedUnanswered)
	require.Empty(t, lost, "taken and not answered")
	require.Greater(t, r.served, 1000, "this shows little")
	require.LessOrEqual(t, r.closedUnanswered*200, len(r.answered), "new connections closed with no answer")
}
