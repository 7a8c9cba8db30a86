package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/standin"
)

const (
	soakSeeds          = 6   // in CI; BRAMBLEFALL_SOAK names how many, BRAMBLEFALL_SEED the first
	concurrentSoaks    = 6   // each has a limiter, some clients and four nodes
	firstSoakSeed      = 900 // seed
	crowdConnections   = 300 // idle connections
	lateAnswerGrace    = 500 * time.Millisecond
	schedulingSlack    = 100 * time.Millisecond // of a busy machine, beside what the terms allow
	killSlack          = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
)

// soak is one limiter's life up to the kill at the earliest moment that the pages allow, with clients that go on until then.
type soak struct {
	*fleet
	t         *testing.T
	rng       *rand.Rand
	seed      uint64
	deadline  time.Duration // of the longer class
	semantics string        // of the second class
	nodesHang bool          // under mu
	stop      chan struct{}

	mu            sync.Mutex
	requests      map[string]*trackedRequest
	findings      []string
	verdictCalls  int // of calls
	timedOutCalls int // calls whose time was over
}

// soaked is what is known of a request.
type trackedRequest struct {
	sent       time.Time
	timeout    time.Duration
	closedAt   time.Time // by its client; zero: it stayed
	answered   bool
	ranIn      string // the hall where it may have run
	ranAt      time.Time
	repeatable bool // it is safe to repeat
}

func (s *soak) addFinding(format string, args ...any) {
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

// handle is a node: it checks what comes and answers by chance.
func (s *soak) handleCommand(n *standin.Node, args [][]byte) ([]byte, bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, now := string(args[2]), time.Now()
	r := s.requests[id]
	if r == nil {
		s.addFinding("%s came to a node and was never sent", id)
		return []byte("-ERR failed\r\n"), true, 0
	}
	if !r.closedAt.IsZero() && now.Sub(r.closedAt) > clientGoneGrace+schedulingSlack {
		s.addFinding("%s began %v after its client had gone", id, now.Sub(r.closedAt))
	}
	ms, _ := strconv.Atoi(deadlineField.FindStringSubmatch(string(args[3]))[1])
	if over := time.Duration(ms)*time.Millisecond - (r.timeout - now.Sub(r.sent)); over > maxDeadlineExcess+schedulingSlack {
		s.addFinding("%s was told a deadline %v over what its client had left", id, over)
	}
	if r.ranIn != "" && !r.repeatable && (s.semantics == "single_shot" || r.ranIn != n.Hall) {
		s.addFinding("%s (%s) may have run in %s and came to %s again", id, s.semantics, r.ranIn, n.Hall)
	}
	chance := s.rng.Float64()
	if chance < 0.06 {
		return []byte("-BUSY\r\n"), false, 0
	}
	if r.ranIn == "" {
		r.ranIn, r.ranAt = n.Hall, now
	}
	switch {
	case s.nodesHang && n.ID < "s-2":
		return standin.Value(id), true, hangDuration
	case chance < 0.12:
		return []byte("-ERR failed\r\n"), true, 0
	}
	return standin.Value(id), true, time.Duration(chance*30) * time.Millisecond
}

// request words one and notes it. A write that fails may still have been read.
func (s *soak) newRequest(rng *rand.Rand) (id, text string) {
	id = fmt.Sprintf("%016x", s.ids.Add(1))
	args := standin.Command(rng, id)
	timeout := time.Duration(200+rng.IntN(int(s.deadline.Milliseconds())-200)) * time.Millisecond
	args[3] = deadlineField.ReplaceAll(args[3], fmt.Appendf(nil, "d=%d", timeout.Milliseconds()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[id] = &trackedRequest{sent: time.Now(), timeout: timeout, repeatable: string(args[0]) == "Q.ASK"}
	return id, encodeCommand(toStrings(args)...)
}

// answer reads the answer to a request; an error: the connection has ended. Until is when those before it were due: it may wait
// for them.
func (s *soak) checkReply(in *bufio.Reader, id string, until *time.Time) error {
	line, err := in.ReadString('\n')
	if err == nil && line[0] == '$' {
		var value string
		if value, err = in.ReadString('\n'); err == nil && value != id+"\r\n" {
			err = fmt.Errorf("served %q", value)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[id]
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
			s.addFinding("%s: %v", id, err)
		}
		return err
	}
	r.answered = true
	if due := r.sent.Add(r.timeout); due.After(*until) {
		*until = due
	}
	if late := time.Since(*until); late > lateAnswerGrace+schedulingSlack {
		s.addFinding("%s was answered %v after its time", id, late)
	}
	if strings.HasPrefix(line, "-BUSY") && r.ranIn != "" && !r.repeatable && time.Since(r.ranAt) > schedulingSlack {
		s.addFinding("%s may have run and was refused", id)
	}
	return nil
}

// client keeps its connection for as long as the limiter does: some send many requests at once, some in pieces.
func (s *soak) runClient(rng *rand.Rand, addr string) {
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.useConn(rng, conn)
		_ = conn.Close()
	}
}

func (s *soak) useConn(rng *rand.Rand, conn net.Conn) {
	in := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	leaves := rng.IntN(3) == 0
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(max(0, rng.IntN(60)-30)) * time.Millisecond):
		}
		ids, ends, all := []string{}, []int{}, ""
		for range 1 + max(0, rng.IntN(12)-8)*3 {
			id, words := s.newRequest(rng)
			all += words
			ids, ends = append(ids, id), append(ends, len(all))
		}
		if at := len(all) / 2; rng.IntN(4) == 0 {
			if _, err := io.WriteString(conn, all[:at]); err != nil {
				return
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			all = all[at:]
			s.mu.Lock()
			for k, id := range ids { // a request's time counts from its last byte
				if ends[k] > at {
					s.requests[id].sent = time.Now()
				}
			}
			s.mu.Unlock()
		}
		if _, err := io.WriteString(conn, all); err != nil {
			return
		}
		if leaves && rng.IntN(8) == 0 {
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			_ = conn.Close()
			s.mu.Lock()
			for _, id := range ids {
				s.requests[id].closedAt = time.Now()
			}
			s.mu.Unlock()
			return
		}
		var until time.Time
		for _, id := range ids {
			if s.checkReply(in, id, &until) != nil {
				return
			}
		}
	}
}

// signals are sent in a series, the last of them for the end; between some the process stands still for a moment.
func (s *soak) sendSignals(l *standin.Limiter, told chan<- time.Time) {
	send := func(signal syscall.Signal) { _ = l.Signal(signal) }
	pause := func(most int) { time.Sleep(time.Duration(s.intN(most)) * time.Millisecond) }
	for range s.intN(4) {
		send(syscall.SIGHUP)
		pause(40)
	}
	for range s.intN(3) {
		send(syscall.SIGSTOP)
		pause(150)
		send(syscall.SIGCONT)
		pause(100)
	}
	s.mu.Lock()
	s.nodesHang = s.rng.IntN(3) > 0
	s.mu.Unlock()
	pause(100)
	told <- time.Now()
	send(syscall.SIGTERM)
	for range s.intN(3) {
		pause(500)
		send([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[s.intN(2)])
	}
}

func (s *soak) intN(most int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(most)
}

// crowd is idle clients that come again and again.
func (s *soak) reconnectIdleCrowd(addr string) {
	for {
		for range crowdConnections {
			if conn, err := net.Dial("tcp", addr); err == nil {
				defer conn.Close()
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (s *soak) run() {
	calls := rateLimitFile(s.t, (&externalService{answer: s.respondByChance}).listenOn(s.t, 2)...)
	s.fleet = startFleet(s.t, 4, func(f *fleet, _ int, config object) {
		f.args = []string{"-log", "debug", "-ratelimit", calls}
		set := config["settings"].(object)
		changeClass(set, 0, object{"deadline": s.deadline.Seconds(), "aim": s.deadline.Seconds() / 2})
		changeClass(set, 1, object{"deadline": s.deadline.Seconds(), "aim": s.deadline.Seconds() / 2, "semantics": s.semantics})
		set["tariffs"] = []object{plan("regular", 1e5, 1e5, 0)}
	}, nil)
	for _, n := range s.world.Nodes {
		n.Handle = s.handleCommand
	}
	l := s.limiters[0]
	crowded := s.seed%3 == 0
	var clients sync.WaitGroup
	for k := range 12 {
		clients.Go(func() { s.runClient(rand.New(rand.NewPCG(s.seed, uint64(k))), l.Addr) })
	}
	for k := range soakCallerCount {
		clients.Go(func() { s.runCaller(rand.New(rand.NewPCG(s.seed, uint64(100+k))), l.GRPCAddr) })
	}
	if crowded {
		clients.Go(func() { s.reconnectIdleCrowd(l.Addr) })
	}
	time.Sleep(1100 * time.Millisecond) // no SIGHUP comes in the first second
	told := make(chan time.Time, 1)
	clients.Go(func() { s.sendSignals(l, told) })
	killAt := (<-told).Add(min(s.deadline, maxCountedDeadline) + killSlack)
	select {
	case <-l.Ended:
	case <-time.After(time.Until(killAt)):
		s.mu.Lock()
		s.addFinding("it stays until the kill")
		s.mu.Unlock()
		l.Kill()
	}
	close(s.stop)
	clients.Wait()
	s.checkResult(l)
}

// judge looks for what was taken and has no answer.
func (s *soak) checkResult(l *standin.Limiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken, answered := 0, 0
	for _, m := range takenID.FindAllStringSubmatch(l.Log(), -1) {
		r := s.requests[m[1]]
		if taken++; r != nil && r.answered {
			answered++
		} else if r == nil || r.closedAt.IsZero() {
			s.addFinding("%s was taken and has no answer; of its connection the log says:\n%s", m[1], connectionLog(l.Log(), m[1]))
		}
	}
	if code := l.Cmd.ProcessState.ExitCode(); code != 0 {
		s.addFinding("it ended with %d", code)
	}
	if crash := l.Crashed(); crash != "" {
		s.addFinding("%s", crash)
	}
	found, _ := s.world.Audit.Findings()
	s.findings = append(s.findings, found...)
	s.t.Logf("seed %d: %d sent, %d taken, %d answered; %d calls with a verdict, %d whose time was over; %d findings", s.seed, len(s.requests), taken, answered,
		s.verdictCalls, s.timedOutCalls, len(s.findings))
}

// ofItsConnection is what the log says of the connection of a request, and of its tries.
func connectionLog(log, id string) string {
	var context, conn, lines string
	for line := range strings.Lines(log) {
		if strings.Contains(line, "id="+id+" ") {
			context, _, _ = strings.Cut(line[max(0, strings.Index(line, "context=")):], " ")
			conn = strings.TrimSpace(line[strings.LastIndex(line, "on="):])
			break
		}
	}
	for line := range strings.Lines(log) {
		if conn != "" && strings.HasSuffix(strings.TrimSpace(line), conn) || context != "" && strings.Contains(line, context+" ") || strings.Contains(line, "draining") {
			lines += line
		}
	}
	return lines
}

// A limiter lives under clients that go on until the kill, reloads, moments in which it stands still, a planned restart with nodes
// that hang, and sometimes a crowd: whatever it took has its answer, in time, and nothing leaves that must not.
func TestSoak(t *testing.T) {
	first, seeds := firstSoakSeed, soakSeeds
	if text := os.Getenv("BRAMBLEFALL_SOAK"); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	if text := os.Getenv("BRAMBLEFALL_SEED"); text != "" {
		var err error
		first, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	places := make(chan struct{}, concurrentSoaks)
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+seeds; seed++ {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				places <- struct{}{}
				defer func() { <-places }()
				rng := rand.New(rand.NewPCG(uint64(seed), 1))
				s := &soak{t: t, rng: rng, seed: uint64(seed), deadline: time.Duration(1+rng.IntN(6)) * time.Second,
					semantics: []string{"guarded", "single_shot"}[rng.IntN(2)], stop: make(chan struct{}), requests: map[string]*trackedRequest{}}
				s.run()
				require.Empty(t, s.findings, strings.Join(s.findings, "\n"))
			})
		}
	})
}
