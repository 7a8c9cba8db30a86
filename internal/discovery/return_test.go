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

// call is how one call of discovery goes: what comes of it, how long after the ask, and how it ends.
type call struct {
	lines bool          // whole words
	until time.Duration // its last byte, from the ask; -1: none has come
	mid   bool          // that byte stands in the middle of a list
	end   end
	after time.Duration // from its last byte to its end; it is given up sooner where that is too long
}

type end uint8

const (
	silent  end = iota // nothing more comes: it is given up
	broken             // refused, reset, at its end, or no 200
	useless            // what it brings is refused
)

func (c call) String() string {
	return fmt.Sprintf("{lines %v, last byte %v, middle %v, end %d after %v}", c.lines, c.until, c.mid, c.end, c.after)
}

// calls are all ways in which a call may go wrong, at the limits of what is waited for.
func calls(m terms) []call {
	const little = time.Millisecond
	list := []call{{until: -1}, {until: -1, end: broken}, {until: -1, end: broken, after: m.head()}}
	for _, until := range []time.Duration{0, m.head() - little} { // of the answer's head, or of the first of a list
		for _, mid := range []bool{false, true} {
			limit := silence
			if mid {
				limit = m.stuck()
			}
			list = append(list, call{until: until, mid: mid}, call{until: until, mid: mid, end: broken},
				call{until: until, mid: mid, end: broken, after: limit - little})
		}
	}
	// The head comes late, and a first piece behind it as late as is waited for.
	late := m.head() + silence - 2*little
	list = append(list, call{until: late, mid: true}, call{until: late, mid: true, end: broken, after: m.stuck() - little},
		call{until: late, mid: true, end: useless, after: m.stuck() - little}, call{until: m.head(), mid: true, end: useless})
	for _, until := range []time.Duration{0, lastRetry, lastRetry + little, time.Minute} { // a watch that stood falls silent or breaks
		for _, mid := range []bool{false, true} {
			limit := silence
			if mid {
				limit = m.stuck()
			}
			list = append(list, call{lines: true, until: until, mid: mid}, call{lines: true, until: until, mid: mid, end: broken},
				call{lines: true, until: until, mid: mid, end: broken, after: limit - little},
				call{lines: true, until: until, mid: mid, end: useless})
		}
	}
	return list
}

// play takes a follower through a call that is asked at a time, to when it is over for the follower.
func (c call) play(t require.TestingT, f *follower, now time.Duration) time.Duration {
	n := f.ask(now)
	if c.lines {
		believed, _ := f.heard(n)
		require.True(t, believed)
	}
	limit := f.head()
	switch {
	case c.until >= 0 && c.mid:
		limit = f.patience(f.stalls)
	case c.until >= 0:
		limit = silence
	}
	now += max(c.until, 0)
	after, due := c.after, false
	if c.mid && after > 0 && limit > f.stuck() { // as late as is waited for, which is longer now
		after += limit - f.stuck()
	}
	switch {
	case c.end == silent || after > limit:
		now += limit
		_, due = f.doubted(now, n, c.mid)
	case c.end == broken:
		now += after
		due = f.ended(now, n, c.mid)
	default:
		now += after
		due = f.refused(now, n)
	}
	require.True(t, due, c)
	return now
}

// A change counts as told 6 s after discovery had it and could be reached, whatever came of the calls before: after
// calls that fail, are refused or given up, fall silent or break, early or as late as is waited for, the next one
// begins so early that its answer has most of a second, with the worst of luck. Discovery comes back right behind the
// ask of the last of them, which goes wrong all the same, or behind its end; of a watch that stood, right behind its last
// byte. A call that was asked when it was back brings the list.
func TestTheNextCallBeginsInTimeAfterAnyCalls(t *testing.T) {
	worst := map[bool]late{}
	for n := range 2 * len(manyTerms()) {
		m, stalls := manyTerms()[n/2], n%2*mostStalls
		for _, c := range calls(m) {
			for _, luck := range []float64{0, 1} {
				f := follower{terms: m, stalls: stalls}
				next, l := c.then(t, &f, 0, luck)
				for _, d := range calls(m) {
					for _, luck := range []float64{0, 1} {
						g := f
						_, l := d.then(t, &g, next, luck)
						l.how += " after " + c.String()
						worst[m.grace <= usualGrace] = worse(worst[m.grace <= usualGrace], l)
					}
				}
				worst[m.grace <= usualGrace] = worse(worst[m.grace <= usualGrace], l)
			}
		}
	}
	t.Logf("the next call begins so long after discovery's return at most, grace up to %v: %v; and above: %v", usualGrace, worst[true], worst[false])
	require.Less(t, worst[true].by, 4500*ms, worst[true].how)
	require.Less(t, worst[false].by, 5200*ms, worst[false].how)
}

// So it does after long rows of calls, with any luck, and with calls that were left and break or go on meanwhile.
func TestTheNextCallBeginsInTimeAfterLongRowsOfCalls(t *testing.T) {
	all := manyTerms()
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.SampledFrom(all).Draw(t, "terms")
		f, now := follower{terms: m}, time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			c := rapid.SampledFrom(calls(m)).Draw(t, "call")
			next, l := c.then(t, &f, now, rapid.Float64Range(0, 1).Draw(t, "luck"))
			require.Less(t, l.by, 5200*ms, l.how)
			if old := rapid.SampledFrom([]int{0, f.kept, f.pending}).Draw(t, "old"); old != 0 {
				if rapid.Bool().Draw(t, "breaks") {
					require.False(t, f.ended(now, old, false), "the next is due by itself")
				} else {
					_, due := f.doubted(now, old, true)
					require.False(t, due)
				}
			}
			now = next
		}
	})
}

func manyTerms() (all []terms) {
	for _, grace := range []time.Duration{0, 50 * ms, 250 * ms, 500 * ms, 2 * time.Second, 20 * time.Second} {
		for _, fleet := range []int{0, 1, 3, 20, 79, 80, 300, 5000} {
			all = append(all, termsOf(logic.Settings{DrainGrace: grace, Gateways: fleet}))
		}
	}
	return all
}

type late struct {
	by  time.Duration
	how string
}

func (l late) String() string { return fmt.Sprintf("%v (%s)", l.by, l.how) }

func worse(a, b late) late {
	if a.by > b.by {
		return a
	}
	return b
}

// then plays a call and the wait behind it. It gives the time of the next one, and how late that is where discovery came back
// right behind this one's ask, or its last whole word.
func (c call) then(t require.TestingT, f *follower, now time.Duration, luck float64) (time.Duration, late) {
	over := c.play(t, f, now)
	wait := f.pause(luck)
	require.GreaterOrEqual(t, wait, time.Duration(0))
	back := now
	if c.lines {
		back += c.until
	}
	return over + wait, late{over + wait - back, fmt.Sprintf("grace %v, fleet of %d, luck %v, %v", f.grace, f.fleet, luck, c)}
}

// On real sockets: discovery comes back right behind an ask that goes wrong all the same. Another ask brings the list, for
// a limiter of a large fleet, after each way to go wrong; how long that took, and how many asks, is in the log.
func TestTheNextCallBringsTheListAfterAnyOther(t *testing.T) {
	const part = `{"version":41,"full":true,"servers":[` + "\n"
	head := func(conn net.Conn, more string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		if more != "" {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(more), more)
		}
	}
	stays := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) } // until it is given up
	for name, wrong := range map[string]func(net.Conn){
		"nothing":           stays,
		"reset":             func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) },
		"closed":            func(net.Conn) {},
		"refused":           func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno") },
		"half a head":       func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200"); stays(conn) },
		"a head":            func(conn net.Conn) { head(conn, ""); stays(conn) },
		"a head, closed":    func(conn net.Conn) { head(conn, "") },
		"part of a list":    func(conn net.Conn) { head(conn, part); stays(conn) },
		"a list cut short":  func(conn net.Conn) { head(conn, part) },
		"an empty line":     func(conn net.Conn) { head(conn, "\n"); stays(conn) },
		"garbage":           func(conn net.Conn) { head(conn, "garbage\n"); stays(conn) },
		"no HTTP":           func(conn net.Conn) { _, _ = io.WriteString(conn, "-ERR\r\n") },
		"a list refused":    func(conn net.Conn) { head(conn, "{"+fmt.Sprintf("%5000s", "")); stays(conn) },
		"closed by its end": func(conn net.Conn) { head(conn, "\n"); _, _ = io.WriteString(conn, "0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := loopback.Listen()
			require.NoError(t, err)
			defer l.Close()
			var asks atomic.Int64
			back := make(chan time.Time, 1)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						_, _ = conn.Read(make([]byte, 4<<10))
						if asks.Add(1) == 1 {
							back <- time.Now()
							wrong(conn)
							return
						}
						head(conn, part+entry(1, "")+"]}\n")
						stays(conn)
					}()
				}
			}()
			b := followLarge(t, l.Addr().String())
			wait(t, "the list", func() bool { return b.size() == 1 })
			t.Log(time.Since(<-back).Round(time.Millisecond), asks.Load(), "asks")
		})
	}
}

// A machine that was cut off answers no dial: it hangs, and so do all that are begun meanwhile.
func TestDialsThatNeverComeUpEndWithDiscoverysReturn(t *testing.T) {
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
	for { // until its queue is full
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			break
		}
		defer conn.Close()
	}
	b := followLarge(t, addr)
	time.Sleep(2 * time.Second) // some asks that hang
	require.Zero(t, b.size())
	back := time.Now()
	go func() {
		for {
			nfd, _, err := syscall.Accept(fd)
			if err != nil {
				return
			}
			_, _ = syscall.Write(nfd, []byte("HTTP/1.1 200 OK\r\n\r\n"+`{"version":41,"full":true,"servers":[`+entry(1, "")+"]}\n"))
		}
	}()
	wait(t, "the list", func() bool { return b.size() == 1 })
	t.Log(time.Since(back).Round(time.Millisecond))
	require.NoError(t, syscall.Shutdown(fd, syscall.SHUT_RDWR))
}

// followLarge follows the list at an address as a limiter of a fleet of 300 does.
func followLarge(t *testing.T, addr string) *book {
	b := &book{ready: addresses{}}
	client := New(addr, logic.Settings{Gateways: 300, DrainGrace: 250 * ms}, b, b.post)
	ctx, end := context.WithCancel(context.Background())
	go client.Run(ctx)
	t.Cleanup(end)
	return b
}

// The text of a refusal is no beginning of a list, which would be asked for again soon by each limiter of a fleet.
func TestARefusalIsNotTheBeginningOfAList(t *testing.T) {
	url := serve(t, func(_ *http.Request, out io.Writer) {
		w := out.(flushed).ResponseWriter // head and text come at once
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "busy")
	})
	client := New("", logic.Settings{}, addresses{}, nil)
	words := make(chan word)
	go client.watch(t.Context(), t.Context(), 1, url, words)
	x := <-words
	for x.kind != over {
		x = <-words
	}
	require.ErrorContains(t, x.err, "503")
	require.False(t, x.mid)
}

// A discovery that stops within each list, for longer than a list may stand still, is heard all the same.
func TestADiscoveryThatStopsWithinEachListIsHeard(t *testing.T) {
	b := followLarge(t, strings.TrimPrefix(serve(t, func(ask *http.Request, out io.Writer) {
		_, _ = io.WriteString(out, `{"version":41,"full":true,`)
		time.Sleep(200 * time.Millisecond) // three times as long
		_, _ = io.WriteString(out, `"servers":[`+entry(1, "")+"]}\n")
		<-ask.Context().Done()
	}), "http://"))
	wait(t, "the list", func() bool { return b.size() == 1 })
}
