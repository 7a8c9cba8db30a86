package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramblefall/internal/loopback"
	"bramblefall/logic"
)

// callOutcome describes one request to discovery: what it receives, when, and how it ends.
type callOutcome struct {
	receivedMessage bool          // it received at least one complete message
	lastByte        time.Duration // from the request; -1: no byte was received
	midMessage      bool          // the last byte is within a list
	end             callEnd
	endDelay        time.Duration // from the last byte to the end; a timeout may come first
}

type callEnd uint8

const (
	endSilent   callEnd = iota // no more bytes: it times out
	endBroken                  // refused, reset, ended, or a status other than 200
	endRejected                // its list is rejected
)

func (c callOutcome) String() string {
	return fmt.Sprintf("{message %v, last byte %v, within a list %v, end %d after %v}", c.receivedMessage, c.lastByte, c.midMessage, c.end, c.endDelay)
}

// callOutcomes returns all ways in which a request may fail, early as well as at or just within the timeouts.
func callOutcomes(m timing) []callOutcome {
	const margin = time.Millisecond
	list := []callOutcome{{lastByte: -1}, {lastByte: -1, end: endBroken}, {lastByte: -1, end: endBroken, endDelay: m.headerTimeout()}}
	for _, lastByte := range []time.Duration{0, m.headerTimeout() - margin} { // last byte of the header, or of the start of a list
		for _, midMessage := range []bool{false, true} {
			limit := keepaliveTimeout
			if midMessage {
				limit = m.stallTimeout()
			}
			list = append(list, callOutcome{lastByte: lastByte, midMessage: midMessage}, callOutcome{lastByte: lastByte, midMessage: midMessage, end: endBroken},
				callOutcome{lastByte: lastByte, midMessage: midMessage, end: endBroken, endDelay: limit - margin})
		}
	}
	// The header arrives late, and the first part of the body as late as its timeout allows.
	late := m.headerTimeout() + keepaliveTimeout - 2*margin
	list = append(list, callOutcome{lastByte: late, midMessage: true}, callOutcome{lastByte: late, midMessage: true, end: endBroken, endDelay: m.stallTimeout() - margin},
		callOutcome{lastByte: late, midMessage: true, end: endRejected, endDelay: m.stallTimeout() - margin}, callOutcome{lastByte: m.headerTimeout(), midMessage: true, end: endRejected})
	for _, lastByte := range []time.Duration{0, stableAfter, stableAfter + margin, time.Minute} { // a watch that worked falls silent or fails
		for _, midMessage := range []bool{false, true} {
			limit := keepaliveTimeout
			if midMessage {
				limit = m.stallTimeout()
			}
			list = append(list, callOutcome{receivedMessage: true, lastByte: lastByte, midMessage: midMessage}, callOutcome{receivedMessage: true, lastByte: lastByte, midMessage: midMessage, end: endBroken},
				callOutcome{receivedMessage: true, lastByte: lastByte, midMessage: midMessage, end: endBroken, endDelay: limit - margin},
				callOutcome{receivedMessage: true, lastByte: lastByte, midMessage: midMessage, end: endRejected})
		}
	}
	return list
}

// play takes a follower through a request that starts at now, and returns the time when the follower gives it up.
func (c callOutcome) play(t require.TestingT, f *follower, now time.Duration) time.Duration {
	n := f.startWatch(now)
	if c.receivedMessage {
		accepted, _ := f.noteMessage(n)
		require.True(t, accepted)
	}
	limit := f.headerTimeout()
	switch {
	case c.lastByte >= 0 && c.midMessage:
		limit = f.stallTimeoutAfter(f.stalls)
	case c.lastByte >= 0:
		limit = keepaliveTimeout
	}
	now += max(c.lastByte, 0)
	endDelay, due := c.endDelay, false
	if c.midMessage && endDelay > 0 && limit > f.stallTimeout() { // the timeout is the extended one, so end as late as that allows
		endDelay += limit - f.stallTimeout()
	}
	switch {
	case c.end == endSilent || endDelay > limit:
		now += limit
		_, due = f.noteStall(now, n, c.midMessage)
	case c.end == endBroken:
		now += endDelay
		due = f.noteEnd(now, n, c.midMessage)
	default:
		now += endDelay
		due = f.noteRejection(now, n)
	}
	require.True(t, due, c)
	return now
}

// A change counts as received 6 s after discovery has it and is reachable, whatever happened to the requests before. After any
// two requests that fail, are refused, time out, fall silent or break, early or as late as the timeouts allow, and with the
// worst random delay, the next one starts early enough to leave 1.5 s of the 6 s for its response with a grace up to
// defaultGrace, and 0.8 s with a longer one. In the worst case discovery returns right after the start of the last failing
// request, or right after the last byte of a watch that worked. A request that starts once discovery is back receives the list.
func TestNextRequestStartsInTimeAfterTwoFailures(t *testing.T) {
	worst := map[bool]delay{}
	for n := range 2 * len(allTimings()) {
		m, stalls := allTimings()[n/2], n%2*stallsBeforeExtension
		for _, c := range callOutcomes(m) {
			for _, random := range []float64{0, 1} {
				f := follower{timing: m, stalls: stalls}
				next, l := c.playWithDelay(t, &f, 0, random)
				for _, d := range callOutcomes(m) {
					for _, random := range []float64{0, 1} {
						g := f
						_, l := d.playWithDelay(t, &g, next, random)
						l.description += " after " + c.String()
						worst[m.grace <= defaultGrace] = longer(worst[m.grace <= defaultGrace], l)
					}
				}
				worst[m.grace <= defaultGrace] = longer(worst[m.grace <= defaultGrace], l)
			}
		}
	}
	t.Logf("longest time from discovery's return to the next request, grace up to %v: %v; and above: %v", defaultGrace, worst[true], worst[false])
	require.Less(t, worst[true].duration, 4500*ms, worst[true].description)
	require.Less(t, worst[false].duration, 5200*ms, worst[false].description)
}

// The same holds after many failed requests in a row, with any random delays, while earlier watches that were kept fail or
// stall meanwhile.
func TestNextRequestStartsInTimeAfterManyFailures(t *testing.T) {
	all := allTimings()
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.SampledFrom(all).Draw(t, "timing")
		f, now := follower{timing: m}, time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "failures") {
			c := rapid.SampledFrom(callOutcomes(m)).Draw(t, "outcome")
			next, l := c.playWithDelay(t, &f, now, rapid.Float64Range(0, 1).Draw(t, "random"))
			require.Less(t, l.duration, 5200*ms, l.description)
			if earlier := rapid.SampledFrom([]int{0, f.idle, f.unanswered.watch, f.firstUnanswered.watch}).Draw(t, "earlier watch"); earlier != 0 {
				if rapid.Bool().Draw(t, "ends") {
					require.False(t, f.noteEnd(now, earlier, false), "the next request is due without this one")
				} else {
					_, due := f.noteStall(now, earlier, true)
					require.False(t, due)
				}
			}
			now = next
		}
	})
}

func allTimings() (all []timing) {
	for _, grace := range []time.Duration{0, 50 * ms, 250 * ms, 500 * ms, 2 * time.Second, 20 * time.Second} {
		for _, fleet := range []int{0, 1, 3, 20, 79, 80, 300, 5000} {
			all = append(all, timingOf(logic.Settings{DrainGrace: grace, Gateways: fleet}))
		}
	}
	return all
}

type delay struct {
	duration    time.Duration
	description string
}

func (l delay) String() string { return fmt.Sprintf("%v (%s)", l.duration, l.description) }

func longer(a, b delay) delay {
	if a.duration > b.duration {
		return a
	}
	return b
}

// playWithDelay plays a request and the delay after it. It returns the time of the next request, and how long that is after
// discovery returned: right after the start of this request, or its last complete message.
func (c callOutcome) playWithDelay(t require.TestingT, f *follower, now time.Duration, random float64) (time.Duration, delay) {
	end := c.play(t, f, now)
	wait := f.nextDelay(random)
	require.GreaterOrEqual(t, wait, time.Duration(0))
	returned := now
	if c.receivedMessage {
		returned += c.lastByte
	}
	return end + wait, delay{end + wait - returned, fmt.Sprintf("grace %v, fleet of %d, random %v, %v", f.grace, f.fleetSize, random, c)}
}

// On real sockets, discovery returns right after the start of a request that still fails. A further request receives the
// list, for a limiter in a large fleet and after each kind of failure. The test logs how long that took, and after how many
// requests.
func TestNextRequestReceivesListAfterAnyFailure(t *testing.T) {
	const part = `{"version":41,"full":true,"servers":[` + "\n"
	sendHeader := func(conn net.Conn, chunk string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		if chunk != "" {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
		}
	}
	waitForClose := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) } // until the limiter closes it
	for name, fail := range map[string]func(net.Conn){
		"nothing":               waitForClose,
		"reset":                 func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) },
		"closed":                func(net.Conn) {},
		"refused":               func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno") },
		"half a header":         func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200"); waitForClose(conn) },
		"a header":              func(conn net.Conn) { sendHeader(conn, ""); waitForClose(conn) },
		"a header, closed":      func(conn net.Conn) { sendHeader(conn, "") },
		"part of a list":        func(conn net.Conn) { sendHeader(conn, part); waitForClose(conn) },
		"a truncated list":      func(conn net.Conn) { sendHeader(conn, part) },
		"an empty line":         func(conn net.Conn) { sendHeader(conn, "\n"); waitForClose(conn) },
		"garbage":               func(conn net.Conn) { sendHeader(conn, "garbage\n"); waitForClose(conn) },
		"no HTTP":               func(conn net.Conn) { _, _ = io.WriteString(conn, "-ERR\r\n") },
		"a list rejected":       func(conn net.Conn) { sendHeader(conn, "{"+fmt.Sprintf("%5000s", "")); waitForClose(conn) },
		"an empty line, closed": func(conn net.Conn) { sendHeader(conn, "\n"); _, _ = io.WriteString(conn, "0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := loopback.Listen()
			require.NoError(t, err)
			defer l.Close()
			var requests atomic.Int64
			returned := make(chan time.Time, 1)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						_, _ = conn.Read(make([]byte, 4<<10))
						if requests.Add(1) == 1 {
							returned <- time.Now()
							fail(conn)
							return
						}
						sendHeader(conn, part+entry(1, "")+"]}\n")
						waitForClose(conn)
					}()
				}
			}()
			r := followInLargeFleet(t, l.Addr().String())
			eventually(t, "the list", func() bool { return r.size() == 1 })
			t.Log(time.Since(<-returned).Round(time.Millisecond), requests.Load(), "requests; the time is from discovery's return until the list was received")
		})
	}
}

// Dials to a machine that is cut off from the network hang. The list is received soon after it answers again. The test uses
// a listening socket whose accept queue is full.
func TestHangingDialsRecoverWhenDiscoveryReturns(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	address, err := loopback.NewAddress()
	require.NoError(t, err)
	host := netip.MustParseAddr(address)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: host.As4()}))
	require.NoError(t, syscall.Listen(fd, 0))
	at, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	addr := netip.AddrPortFrom(host, uint16(at.(*syscall.SockaddrInet4).Port)).String()
	for { // until the accept queue is full
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			break
		}
		defer conn.Close()
	}
	r := followInLargeFleet(t, addr)
	time.Sleep(2 * time.Second) // enough for some dials to hang
	require.Zero(t, r.size())
	returned := time.Now()
	go func() {
		for {
			nfd, _, err := syscall.Accept(fd)
			if err != nil {
				return
			}
			_, _ = syscall.Write(nfd, []byte("HTTP/1.1 200 OK\r\n\r\n"+`{"version":41,"full":true,"servers":[`+entry(1, "")+"]}\n"))
		}
	}()
	eventually(t, "the list", func() bool { return r.size() == 1 })
	t.Log(time.Since(returned).Round(time.Millisecond))
	require.NoError(t, syscall.Shutdown(fd, syscall.SHUT_RDWR))
}

// followInLargeFleet follows the list at an address as a limiter in a fleet of 300.
func followInLargeFleet(t *testing.T, addr string) *recorder {
	r := &recorder{ready: addresses{}}
	client := New(addr, logic.Settings{Gateways: 300, DrainGrace: 250 * ms}, r, r.post)
	ctx, end := context.WithCancel(context.Background())
	go client.Run(ctx)
	t.Cleanup(end)
	return r
}

// The body of an HTTP error is not taken for the start of a list, after which every limiter of a fleet would soon send
// another request.
func TestHTTPErrorBodyIsNotStartOfList(t *testing.T) {
	url := serve(t, func(_ *http.Request, out io.Writer) {
		w := out.(flushingWriter).ResponseWriter // unwrapped, so that header and body are sent together
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "busy")
	})
	client := New("", logic.Settings{}, addresses{}, nil)
	events := make(chan watchEvent)
	go client.watch(t.Context(), t.Context(), 1, url, events)
	event := <-events
	for event.kind != watchEnded {
		event = <-events
	}
	require.ErrorContains(t, event.err, "503")
	require.False(t, event.midMessage)
}

// Discovery whose answers each began 1 s after the call was never heard: each call was given up before. Checks that a change is in
// force 6 s after discovery had it, with answers that begin up to 2 s late, and after the end of a watch, too.
func TestDiscoveryThatAnswersLateIsHeard(t *testing.T) {
	const inForce = 6 * time.Second
	for _, late := range []time.Duration{600 * ms, time.Second, 2 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			t.Parallel()
			var calls, servers atomic.Int32
			servers.Store(1)
			endWatch := make(chan struct{})
			r := &recorder{ready: addresses{}}
			url := serve(t, func(req *http.Request, out io.Writer) {
				calls.Add(1)
				select {
				case <-time.After(late):
				case <-req.Context().Done():
					return
				}
				writeList(out, int(servers.Load()), int(servers.Load()), "")
				select {
				case <-endWatch:
				case <-req.Context().Done():
				}
			})
			startClient(t, r, url)
			require.Eventually(t, func() bool { return r.size() == 1 }, inForce, ms)
			servers.Store(2)
			endWatch <- struct{}{}
			require.Eventually(t, func() bool { return r.size() == 2 }, inForce, ms)
			t.Logf("%d calls", calls.Load())
		})
	}
}

// A discovery that pauses within each list, for longer than the stall timeout, is still read in the end.
func TestDiscoveryThatPausesWithinEachListIsRead(t *testing.T) {
	r := followInLargeFleet(t, strings.TrimPrefix(serve(t, func(req *http.Request, out io.Writer) {
		_, _ = io.WriteString(out, `{"version":41,"full":true,`)
		time.Sleep(200 * time.Millisecond) // three times the stall timeout
		_, _ = io.WriteString(out, `"servers":[`+entry(1, "")+"]}\n")
		<-req.Context().Done()
	}), "http://"))
	eventually(t, "the list", func() bool { return r.size() == 1 })
}
