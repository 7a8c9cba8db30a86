package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests let many clients send large commands, at once or slowly, and look at the requests of others: each that was written
// whole has its answer in its time, whatever the memory limit, the number of clients and the size of their commands. The seed draws
// these; BRAMBLEFALL_SEED sets the first one, BRAMBLEFALL_LARGE how many are played.

const (
	firstLargeSeed      = 570
	largeSeeds          = 4
	concurrentLarge     = 2
	largeDescriptors    = 1024
	largeFloodTime      = 6 * time.Second
	largeWarmUp         = time.Second
	soundClients        = 5
	slowPieceBytes      = 150
	slowPiecePause      = 50 * time.Millisecond
	largestSoundRequest = 60000
)

// largeCommandRun is what a seed draws.
type largeCommandRun struct {
	seed       uint64
	memoryMB   int
	attackers  int
	valueBytes int  // of each large command
	atOnce     int  // commands that an attacker writes at once
	slow       bool // the attackers write in small pieces
	pings      bool // the commands are answered by the limiter itself
	called     bool // each attacker has had an answer on its connection before
	signals    bool // SIGHUP in a series, then SIGTERM, under which clients go on up to the earliest kill
	starved    bool // the limiter gets a tenth of a core while the requests are sent
}

func drawLargeCommandRun(seed uint64) largeCommandRun {
	rng := rand.New(rand.NewPCG(seed, 110))
	limits := []int{smallMemoryCapMB, smallMemoryCapMB, 40, 48, 64, 96, 192}
	return largeCommandRun{seed: seed, memoryMB: limits[rng.IntN(len(limits))], attackers: 60 + rng.IntN(260), valueBytes: 4500 + rng.IntN(60000),
		atOnce: 1 + rng.IntN(300), slow: rng.IntN(3) == 0, pings: rng.IntN(3) == 0, called: rng.IntN(2) == 0, signals: rng.IntN(2) == 0, starved: rng.IntN(4) == 0}
}

func (r largeCommandRun) String() string {
	return fmt.Sprintf("seed %d: %d MB, %d clients, %d commands of %d bytes at once, slow: %t, pings: %t, called before: %t, signals: %t, starved: %t",
		r.seed, r.memoryMB, r.attackers, r.atOnce, r.valueBytes, r.slow, r.pings, r.called, r.signals, r.starved)
}

// largeCommandTest is a run in progress.
type largeCommandTest struct {
	largeCommandRun
	*soundTraffic
}

func (r largeCommandRun) play(t *testing.T) {
	l := start(t, fixture{servers: goodServers(t, 6, replyValue("v")), memoryMB: r.memoryMB, maxDescriptors: largeDescriptors})
	x := &largeCommandTest{largeCommandRun: r, soundTraffic: newSoundTraffic(l, drawLargeRequest)}
	var peers sync.WaitGroup
	for k := range r.attackers {
		peers.Go(func() { x.runAttacker(k) })
	}
	time.Sleep(largeWarmUp)
	for k := range soundClients {
		peers.Go(func() { x.runSoundClient(rand.New(rand.NewPCG(r.seed, uint64(1000+k)))) })
	}
	if r.starved {
		l.runIntermittently(rand.New(rand.NewPCG(r.seed, 111)), largeFloodTime, func() {})
	} else {
		time.Sleep(largeFloodTime)
	}
	highest := l.memoryMB("VmHWM")
	if r.signals {
		x.sendSignals()
	}
	close(x.stop)
	peers.Wait()
	t.Logf("%v: %d MB at the highest; %v", r, highest, x.soundTraffic)
	assert.Less(t, highest, r.memoryMB, "the whole resident set passes the limit")
	x.check(t)
}

// drawLargeRequest draws the body and the time of a request that may be large.
func drawLargeRequest(rng *rand.Rand) (size int, deadline time.Duration) {
	deadline = time.Duration(1500+rng.IntN(4500)) * time.Millisecond
	return []int{1, 100, politeBodyBytes, largestSoundRequest}[rng.IntN(4)], deadline
}

// runAttacker sends large commands of one firm on one connection after the other.
func (x *largeCommandTest) runAttacker(number int) {
	rng := rand.New(rand.NewPCG(x.seed, uint64(number)))
	for !x.stopped() {
		if conn, err := net.Dial("tcp", x.l.addr); err == nil {
			x.attack(rng, number, conn)
			_ = conn.Close()
		}
		time.Sleep(time.Duration(10+rng.IntN(20)) * time.Millisecond)
	}
}

func (x *largeCommandTest) largeCommand(number int) string {
	body := strings.Repeat("p", x.valueBytes)
	if x.pings {
		return encodeCommand("PING", body)
	}
	args := doArgs(fmt.Sprintf("%012x", x.ids.ids.Add(1)))
	args[1], args[4] = fmt.Sprintf("%016x", attackingFirm+number), body
	return encodeCommand(args...)
}

func (x *largeCommandTest) attack(rng *rand.Rand, number int, conn net.Conn) {
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-x.stop:
			_ = conn.Close()
		case <-over:
		}
	}()
	if x.called {
		_, _ = io.WriteString(conn, encodeCommand("PING"))
		_, _ = bufio.NewReader(conn).ReadString('\n')
	}
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	for !x.stopped() {
		if x.slow {
			if !writeSlowly(rng, conn, x.largeCommand(number)) {
				return
			}
			continue
		}
		for range x.atOnce {
			if _, err := io.WriteString(conn, x.largeCommand(number)); err != nil {
				return
			}
		}
	}
}

// writeSlowly writes text, at times its half at once, in small pieces. It reports whether all of it was written.
func writeSlowly(rng *rand.Rand, conn net.Conn, text string) bool {
	if rng.IntN(2) == 0 {
		if _, err := io.WriteString(conn, text[:len(text)/2]); err != nil {
			return false
		}
		text = text[len(text)/2:]
	}
	for len(text) > 0 {
		n := min(slowPieceBytes, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return false
		}
		text = text[n:]
		time.Sleep(slowPiecePause)
	}
	return true
}

// Requests of 8 KiB were taken and never answered: at 32 MB, beside clients that sent many large commands at once or slowly, they
// waited without a bound for memory that those held.
func TestLargeCommandsLeaveNoRequestOfOthersUnanswered(t *testing.T) {
	seeds := largeSeeds
	if text := os.Getenv("BRAMBLEFALL_LARGE"); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	runs := []largeCommandRun{
		{memoryMB: smallMemoryCapMB, attackers: 300, valueBytes: 60000, atOnce: 300},
		{memoryMB: smallMemoryCapMB, attackers: 120, valueBytes: 60 << 10, atOnce: 1, slow: true},
	}
	first := envUint("BRAMBLEFALL_SEED", firstLargeSeed)
	for seed := first; seed < first+uint64(seeds); seed++ {
		runs = append(runs, drawLargeCommandRun(seed))
	}
	slots := make(chan struct{}, concurrentLarge)
	t.Run("runs", func(t *testing.T) {
		for _, r := range runs {
			t.Run(r.String(), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				r.play(t)
			})
		}
	})
}
