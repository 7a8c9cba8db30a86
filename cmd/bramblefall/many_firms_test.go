package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	manyFirmsClients   = 300 // clients of other firms, each on its own connection
	firmsOfEachClient  = 300 // whose requests the client sends at once, and again once all are answered
	manyFirmsTime      = 8 * time.Second
	shortDeadline      = 480 * time.Millisecond
	manyFirmsPause     = 50 * time.Millisecond // between two requests of a client that is judged
	leastJudgedAnswers = 20
)

// requestsOfFirms returns one request for each firm of a client.
func (e *floodEnvironment) requestsOfFirms(client int) string {
	var all strings.Builder
	for k := range firmsOfEachClient {
		args := askArgs(fmt.Sprintf("%012x", e.ids.Add(1)))
		args[1] = fmt.Sprintf("%016x", attackingFirm+client*firmsOfEachClient+k)
		all.WriteString(encodeCommand(args...))
	}
	return all.String()
}

// requestWithin returns a request of a new firm with a deadline.
func (e *floodEnvironment) requestWithin(deadline time.Duration) string {
	n := e.ids.Add(1)
	args := askArgs(fmt.Sprintf("%012x", n))
	args[1] = fmt.Sprintf("%016x", n)
	args[3] = strings.Replace(args[3], "d=4000", fmt.Sprintf("d=%d", deadline.Milliseconds()), 1)
	return encodeCommand(args...)
}

// sendForManyFirms sends requests at full speed until stop is closed, and reads the answers.
func sendForManyFirms(e *floodEnvironment, client int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", e.limiter.addr)
		if err != nil {
			time.Sleep(manyFirmsPause)
			continue
		}
		playFirms(e, client, conn, stop)
		_ = conn.Close()
	}
}

func playFirms(e *floodEnvironment, client int, conn net.Conn, stop <-chan struct{}) {
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-stop:
			_ = conn.Close()
		case <-over:
		}
	}()
	in := bufio.NewReader(conn)
	for {
		written := make(chan error, 1)
		go func() { _, err := io.WriteString(conn, e.requestsOfFirms(client)); written <- err }()
		for range firmsOfEachClient {
			if _, err := readAnswer(in); err != nil {
				return
			}
		}
		if <-written != nil {
			return
		}
	}
}

// readAnswer reads one answer and returns its first line.
func readAnswer(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "$") {
		_, err = in.ReadString('\n')
	}
	return strings.TrimSpace(line), err
}

// shortRequests is what became of requests with shortDeadline.
type shortRequests struct {
	mu              sync.Mutex
	asked, answered int
	longest         time.Duration
	late            []string
}

// run sends one request after the other until stop is closed.
func (s *shortRequests) run(e *floodEnvironment, rng *rand.Rand, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", e.limiter.addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for in := bufio.NewReader(conn); ; {
		select {
		case <-stop:
			return
		case <-time.After(manyFirmsPause + time.Duration(rng.Int64N(int64(manyFirmsPause)))):
		}
		text := e.requestWithin(shortDeadline)
		began := time.Now()
		_ = conn.SetDeadline(began.Add(testTimeout))
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		line, err := readAnswer(in)
		s.note(time.Since(began), line, err)
		if err != nil {
			return
		}
	}
}

func (s *shortRequests) note(took time.Duration, line string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	s.longest = max(s.longest, took)
	if err == nil {
		s.answered++
	}
	if err != nil || took > shortDeadline+lateAnswer {
		s.late = append(s.late, fmt.Sprintf("%.20s, %v after %v", line, err, took.Round(time.Millisecond)))
	}
}

// Requests with 480 ms were answered after up to 2.7 s beside requests of 90,000 firms at full speed, and a limiter of 32 MB passed its
// limit.
func TestRequestsBesideManyFirmsAreAnsweredInTime(t *testing.T) {
	for _, mb := range []int{smallMemoryCapMB, 48} {
		t.Run(fmt.Sprintf("%d MB", mb), func(t *testing.T) {
			s := settings()
			s["tariffs"] = []object{plan("regular", 1e5, 1e5, 0)}
			e := &floodEnvironment{limiter: start(t, fixture{memoryMB: mb, maxDescriptors: largeDescriptors, settings: s, servers: goodServers(t, 6, replyValue("v"))})}
			stop := make(chan struct{})
			var peers sync.WaitGroup
			for k := range manyFirmsClients {
				peers.Go(func() { sendForManyFirms(e, k, stop) })
			}
			time.Sleep(largeWarmUp)
			var judged shortRequests
			for k := range soundClients {
				peers.Go(func() { judged.run(e, rand.New(rand.NewPCG(1, uint64(k))), stop) })
			}
			time.Sleep(manyFirmsTime)
			highest := e.limiter.memoryMB("VmHWM")
			close(stop)
			peers.Wait()
			t.Logf("%d MB at the highest; %d requests, %d answered, longest %v, %d late", highest, judged.asked, judged.answered, judged.longest, len(judged.late))
			assert.Empty(t, judged.late, strings.Join(judged.late, "\n"))
			assert.Less(t, highest, mb, "the whole resident set passes the limit")
			require.GreaterOrEqual(t, judged.answered, leastJudgedAnswers)
		})
	}
}
