package platform_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/memory"
	"bramblefall/internal/resp"
)

const (
	inputBudgetBytes = 64 << 10 // of the fixtures that have room for one large command
	largeBytes       = 60000
	soundBytes       = 8 << 10
	evictionTime     = 100 * time.Millisecond // for the end of an evicted connection to reach its client

	// inputAnswerTimeout is within what the shortest deadline of the deployments, 480 ms, and the half second after it leave.
	inputAnswerTimeout = 900 * time.Millisecond
)

// newFixtureWithInput returns a fixture with room for one large command that is incomplete, and the budget of such commands.
func newFixtureWithInput(t *testing.T) (*fixture, *memory.Budget) {
	budgets := memory.NewBudgets(memory.Divide(0))
	budgets.Input = memory.NewBudget("input", inputBudgetBytes)
	return newFixtureWithMemory(t, budgets, 1000, 0, serve), budgets.Input
}

// ping is a command of about n bytes.
func ping(n int) string {
	return string(resp.AppendCommand(nil, []byte("PING"), []byte(strings.Repeat("p", n))))
}

// answerTo sends text on a connection of its own and returns the first line of the answer; "" if none comes within the timeout.
func (s *fixture) answerTo(text string, timeout time.Duration) string {
	conn := s.dial()
	defer conn.Close()
	s.write(conn, text)
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}

// Clients that sent large commands one behind the other kept the memory for incomplete ones from command to command, so that others'
// commands were read in part and never answered.
func TestMemoryForLargeCommandIsReleasedAtItsEnd(t *testing.T) {
	t.Parallel()
	s, _ := newFixtureWithInput(t)
	flooding := s.dial()
	defer flooding.Close()
	command := ping(largeBytes)
	const headBytes = 100 // of the next command, in the same piece as the end of the one before
	s.write(flooding, command[:headBytes])
	go func() {
		for answers := bufio.NewReader(flooding); ; {
			if _, err := io.WriteString(flooding, command[headBytes:]+command[:headBytes]); err != nil {
				return
			}
			if _, err := answers.ReadString('\n'); err != nil {
				return
			}
		}
	}()
	time.Sleep(100 * time.Millisecond) // the flood holds the memory
	for range 5 {
		assert.Equal(t, "+PONG\r\n", s.answerTo(ping(soundBytes), inputAnswerTimeout))
	}
}

// Clients that stall in the middle of a command must not hold their places against others: one of them is evicted, and those that
// stay may still send the rest.
func TestStalledPartialCommandIsEvicted(t *testing.T) {
	t.Parallel()
	const maxClients = 4
	s := newFixtureWithLimit(t, maxClients, 0, serve)
	var stalled []*net.TCPConn
	for range maxClients {
		conn := s.dial()
		s.write(conn, ask("half")[:30])
		stalled = append(stalled, conn)
	}
	serves := func() bool {
		conn, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(conn, string(resp.AppendCommand(nil, []byte("PING"))))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return line == "+PONG\r\n"
	}
	began := time.Now()
	for !serves() {
		require.Less(t, time.Since(began), testTimeout, "each new connection was closed unread")
		time.Sleep(time.Millisecond)
	}
	var staying []*net.TCPConn
	for k, conn := range stalled { // which had stalled longest is for the limiter's readers to say
		_ = conn.SetReadDeadline(time.Now().Add(evictionTime))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			staying = append(staying, conn)
		} else {
			t.Logf("client %d was evicted", k)
		}
	}
	require.Len(t, staying, maxClients-1, "clients that were not evicted")
	for k, conn := range staying {
		s.write(conn, ask(fmt.Sprintf("hal%d", k))[30:])
	}
	s.waitForRequests(len(staying))
}

// A command that found no memory waited without a bound: its client had neither an answer nor a close. It is refused in time, and the
// commands behind it are handled.
func TestCommandWithoutMemoryIsRefusedInTime(t *testing.T) {
	t.Parallel()
	for _, n := range []int{5 << 10, soundBytes, largeBytes} {
		t.Run(fmt.Sprintf("%d bytes", n), func(t *testing.T) {
			t.Parallel()
			s, input := newFixtureWithInput(t)
			input.Add(inputBudgetBytes) // others hold all
			conn := s.dial()
			defer conn.Close()
			began := time.Now()
			s.write(conn, ping(10)+ping(n)+ping(10))
			_ = conn.SetReadDeadline(began.Add(inputAnswerTimeout))
			answers := bufio.NewReader(conn)
			for k, want := range []string{"+PONG\r\n", "-BUSY\r\n", "+PONG\r\n"} {
				line, err := answers.ReadString('\n')
				require.NoError(t, err, "answer %d after %v", k, time.Since(began))
				assert.Equal(t, want, line)
			}
			input.Add(-inputBudgetBytes)
			assert.Equal(t, "+PONG\r\n", s.answerTo(ping(n), inputAnswerTimeout))
		})
	}
}

// The time of a command that waited for memory was counted from when its last bytes were read, not from when they came.
func TestTimeOfCommandCountsWaitForMemory(t *testing.T) {
	t.Parallel()
	const (
		waited    = 300 * time.Millisecond
		deadline  = 8 * time.Second
		maxExcess = 150 * time.Millisecond // of a told deadline over what the client has left
	)
	s, input := newFixtureWithInput(t)
	input.Add(inputBudgetBytes) // others hold all
	terms := "c=read,t=regular,d=8000,units=1,spread=1,first=0,x=" + strings.Repeat("x", soundBytes)
	s.write(s.dial(), string(resp.AppendCommand(nil, []byte("Q.ASK"), []byte("00000000b4d65521"), []byte("large"), []byte(terms))))
	time.Sleep(waited)
	input.Add(-inputBudgetBytes)
	require.LessOrEqual(t, s.waitForRequests(1)[0].TTL, deadline-waited+maxExcess)
}

// A request with thousands of short names was compared name by name, which took some 0.1 s of the processor.
func TestRequestOfManyTermsIsRefused(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, serve)
	terms := "c=read,t=regular,d=8000,units=1,spread=1,first=0"
	withTerms := func(more int) string {
		all := terms
		for k := range more {
			all += fmt.Sprintf(",x%x", k)
		}
		return string(resp.AppendCommand(nil, []byte("Q.ASK"), []byte("00000000b4d65521"), fmt.Append(nil, more), []byte(all)))
	}
	assert.Equal(t, "-ERR more than 64 names and values\r\n", s.answerTo(withTerms(64-6+1), inputAnswerTimeout))
	s.write(s.dial(), withTerms(64-6))
	s.waitForRequests(1)
}
