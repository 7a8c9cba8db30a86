package discovery

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// recorder records what a client has passed on.
type recorder struct {
	mu    sync.Mutex
	ready addresses
	lists int
}

func (r *recorder) SetAddress(id logic.ServerID, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready[id] = addr
}

func (r *recorder) Withdraw(id logic.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ready, id)
}

func (r *recorder) post(core.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
}

func (r *recorder) posts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists
}

func (r *recorder) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ready)
}

// startClient follows the list at a URL until the test ends.
func startClient(t *testing.T, r *recorder, url string) *Client {
	client := New(strings.TrimPrefix(url, "http://"), logic.Settings{}, r, r.post)
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		end()
		<-done
	})
	return client
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, time.Millisecond, what)
}

// entry returns a server's entry. Without extra it has the usual size, 127 bytes with the comma.
func entry(n int, extra string) string {
	return fmt.Sprintf(`{"id":"s-%08x","addr":"10.%d.%d.%d:6379","zone":"a","kind":"m2","cell":3,%s"state":"ready","weight":1.0,"started_ms":0}`,
		n, n>>16, n>>8&255, n&255, extra)
}

func writeList(out io.Writer, version, servers int, extra string) {
	w := &bytes.Buffer{}
	_, _ = fmt.Fprintf(w, `{"version":%d,"full":true,"servers":[`, version)
	for n := range servers {
		if n > 0 {
			w.WriteByte(',')
		}
		w.WriteString(entry(n, extra))
		if w.Len() > 32<<10 {
			_, _ = out.Write(w.Bytes())
			w.Reset()
		}
	}
	w.WriteString("]}\n")
	_, _ = out.Write(w.Bytes())
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A list of 57,000 servers is accepted on one line of 7 MB, and on one of 125 MB, of which only the servers are kept.
func TestListOfExpectedMaximumSizeIsAccepted(t *testing.T) {
	const expected = 57_000
	for name, extra := range map[string]string{"usual": "", "large entries": `"note":"` + strings.Repeat("n", 2<<10) + `",`} {
		t.Run(name, func(t *testing.T) {
			before := heapInUse()
			r := &recorder{ready: addresses{}}
			client := startClient(t, r, serve(t, func(req *http.Request, out io.Writer) {
				writeList(out, 41, expected, extra)
				<-req.Context().Done()
			}))
			eventually(t, "the list", func() bool { return r.size() == expected })
			require.Less(t, heapInUse()-before, uint64(expected*600), "bytes kept")
			require.EqualValues(t, 41, client.version.Load())
		})
	}
}

// endlessWriter returns a function that writes prefix and then repeated until the limiter closes the connection. It stops
// well after the limiter should have done so, which bounds the memory that a failing test takes.
func endlessWriter(prefix, repeated string) func(io.Writer) {
	limit := 4 << 20
	if len(repeated) > 100 {
		limit = 40 << 20
	}
	repeated = strings.Repeat(repeated, 1+(64<<10)/len(repeated))
	return func(out io.Writer) {
		_, err := io.WriteString(out, prefix)
		for n := 0; n < limit && err == nil; n += len(repeated) {
			_, err = io.WriteString(out, repeated)
		}
	}
}

// A list that never ends or exceeds a limit is rejected, whichever part of it is too large. The last good list stays in use,
// memory is bounded, the rejection is logged in one line, and discovery is asked again as usual.
func TestOversizedListIsRejected(t *testing.T) {
	const prefix = `{"version":42,"full":true,`
	for name, c := range map[string]struct {
		write     func(io.Writer)
		wantError string
	}{
		"endless servers":       {endlessWriter(prefix+`"servers":[`+entry(0, ""), ","+entry(1, "")), "more than 262144 servers"},
		"endless empty servers": {endlessWriter(prefix+`"servers":[{}`, ",{}"), "more than 262144 servers"},
		"endless servers keys":  {endlessWriter(prefix+`"servers":[{}]`, `,"servers":[{}]`), "more than 64 keys"},
		"one server too many":   {func(out io.Writer) { writeList(out, 42, maxServers+1, "") }, "more than 262144 servers"},
		"a large entry": {func(out io.Writer) {
			writeList(out, 42, 10, `"note":"`+strings.Repeat("n", maxValueBytes)+`",`)
		}, "a value of more than 4096 bytes"},
		"large texts": {func(out io.Writer) {
			writeList(out, 42, 57_000, `"zone":"`+strings.Repeat("z", 1<<10)+`",`)
		}, "33554432 bytes of text"},
		"an endless id":           {endlessWriter(prefix+`"servers":[{"id":"`, "i"), "a value of more than 4096 bytes"},
		"an endless entry":        {endlessWriter(prefix+`"servers":[{"id":"s-1"`, `,"x":1`), "a value of more than 4096 bytes"},
		"an endless other value":  {endlessWriter(prefix+`"more":"`, "x"), "a value of more than 4096 bytes"},
		"an endless other list":   {endlessWriter(prefix+`"more":[0`, ",0"), "a value of more than 4096 bytes"},
		"endless nesting":         {endlessWriter(prefix+`"more":`, "["), "a value of more than 4096 bytes"},
		"endless keys":            {endlessWriter(prefix+`"more":1`, `,"more":1`), "more than 64 keys"},
		"an endless key":          {endlessWriter(prefix+`"`, "k"), "a value of more than 4096 bytes"},
		"an endless number":       {endlessWriter(`{"version":4`, "2"), "a value of more than 4096 bytes"},
		"endless blanks":          {endlessWriter(prefix, " "), "a value of more than 4096 bytes"},
		"endless lines in a list": {endlessWriter(prefix+`"servers":[`, "\n"), "a value of more than 4096 bytes"},
		"endless blanks outside":  {endlessWriter("\n", " "), "more than 4096 blanks"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sentBad, sentGood atomic.Bool // set when written, since a request may fail while this machine is paused
			between := make(chan [2]int, 1)
			r := &recorder{ready: addresses{}}
			client := startClient(t, r, serve(t, func(req *http.Request, out io.Writer) {
				switch {
				case r.posts() == 0:
					writeList(out, 41, 3, "")
				case !sentBad.Swap(true):
					c.write(out)
				default: // the bad list has been accepted or rejected by now
					if !sentGood.Swap(true) {
						between <- [2]int{r.size(), r.posts()}
					}
					writeList(out, 43, 5, "")
					<-req.Context().Done()
				}
			}))
			eventually(t, "the list of 5 servers after the rejected one", func() bool { return r.size() == 5 })
			require.Equal(t, [2]int{3, 1}, <-between, "servers and posted lists before the last list")
			require.EqualValues(t, 43, client.version.Load())
		})
		t.Run(name+", read directly", func(t *testing.T) {
			_, err := readLists(t.Context(), serve(t, func(_ *http.Request, out io.Writer) { c.write(out) }), idleMonitor(timingOf(logic.Settings{})),
				listLimits{maxServers}, func() {}, func(l *List) { require.Nil(t, l) })
			require.ErrorIs(t, err, errListRejected)
			require.ErrorContains(t, err, c.wantError)
		})
	}
}

// A list with exactly maxServers servers is accepted.
func TestListAtServerLimitIsAccepted(t *testing.T) {
	r := &recorder{ready: addresses{}}
	startClient(t, r, serve(t, func(req *http.Request, out io.Writer) {
		writeList(out, 41, maxServers, "")
		<-req.Context().Done()
	}))
	eventually(t, "the list", func() bool { return r.size() == maxServers })
}

// Memory is bounded while an endless list is read, and is freed afterwards.
func TestEndlessListIsReadInBoundedMemory(t *testing.T) {
	before := heapInUse()
	for name, write := range map[string]func(io.Writer){
		"usual entries": endlessWriter(`{"version":42,"full":true,"servers":[`+entry(0, ""), ","+entry(1, "")),
		"large ones": endlessWriter(`{"version":42,"full":true,"servers":[`+entry(0, ""),
			","+entry(1, `"zone":"`+strings.Repeat("z", 3<<10)+`",`)),
	} {
		t.Run(name, func(t *testing.T) {
			var peak atomic.Uint64
			url := serve(t, func(_ *http.Request, out io.Writer) {
				write(&heapSampler{Writer: out, peak: &peak})
			})
			l, err := readLists(t.Context(), url, idleMonitor(timingOf(logic.Settings{})), listLimits{maxServers}, func() {}, func(*List) {})
			require.ErrorIs(t, err, errListRejected)
			t.Logf("%d servers, %d MB at most", len(l.Servers), (peak.Load()-before)>>20)
			require.Less(t, peak.Load()-before, uint64(128<<20))
		})
	}
	require.Less(t, heapInUse(), before+8<<20)
}

// heapSampler records the largest heap, after garbage collection, at every 16th write.
type heapSampler struct {
	io.Writer
	peak   *atomic.Uint64
	writes int
}

func (p *heapSampler) Write(b []byte) (int, error) {
	if p.writes++; p.writes%16 == 0 {
		p.peak.Store(max(p.peak.Load(), heapInUse()))
	}
	return p.Writer.Write(b)
}

// Changes that would make the list exceed maxServers are rejected, and the list before them stays in use.
func TestChangesCannotExceedServerLimit(t *testing.T) {
	r := &recorder{ready: addresses{}}
	client := New("", logic.Settings{}, r, r.post)
	change := func(version int64, from, to int) error {
		l := List{Version: version}
		for n := from; n < to; n++ {
			l.Servers = append(l.Servers, Server{ID: fmt.Sprint(n), Addr: "a", State: "ready"})
		}
		return client.apply(l, false)
	}
	require.NoError(t, change(1, 0, maxServers-1))
	require.ErrorIs(t, change(2, maxServers-1, maxServers+1), errListRejected)
	require.Equal(t, maxServers-1, r.size())
	require.EqualValues(t, 1, client.version.Load())
	require.NoError(t, change(2, maxServers-1, maxServers))
	require.NoError(t, change(3, 0, 10), "a change of known servers")
	require.Equal(t, maxServers, r.size())
}

// A rejected list is not requested again at once: it is expensive to read, and will be the same.
func TestRejectedListIsRequestedAgainAfterDelay(t *testing.T) {
	for _, fleet := range []int{1, 3, 300} {
		for _, age := range []time.Duration{0, time.Minute} {
			f := follower{timing: timing{500 * ms, fleet}}
			n := f.startWatch(0)
			f.noteMessage(n)
			require.True(t, f.noteRejection(age, n))
			require.GreaterOrEqual(t, f.nextDelay(0), 500*ms, "fleet of %d", fleet)
			require.Less(t, f.nextDelay(1), 6*time.Second)
			require.True(t, f.noteEnd(age, f.startWatch(age), true))
			if fleet <= 3 {
				require.Less(t, f.nextDelay(1), 500*ms, "a truncated list may be complete next time")
			}
		}
	}
}

// Each rejected list is logged, also right after the end of another watch, whose log lines are limited to one a second.
func TestEachRejectedListIsLoggedOnce(t *testing.T) {
	var log syncBuffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	var requests atomic.Int64
	startClient(t, &recorder{ready: addresses{}}, serve(t, func(req *http.Request, out io.Writer) {
		switch n := requests.Add(1); {
		case n%2 == 1 && n < 6:
			writeList(out, 41, 3, "") // then the response ends
		case n < 6:
			writeList(out, 42, 1, `"note":"`+strings.Repeat("n", maxValueBytes)+`",`)
		default:
			<-req.Context().Done()
		}
	}))
	eventually(t, "the sixth request", func() bool { return requests.Load() >= 6 })
	require.Equal(t, 2, strings.Count(log.String(), "level=WARN"), log.String())
	require.Equal(t, 2, strings.Count(log.String(), "is refused: a value of more than 4096 bytes"), log.String())
}

type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *syncBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Servers of one list with the same problem are logged in one line.
func TestServersOfOneListAreLoggedInOneLine(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	r := &recorder{ready: addresses{}}
	client := New("", logic.Settings{}, r, r.post)
	l := List{Version: 1}
	for n := range 1000 {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprint(n), Addr: "a", State: "asleep"})
	}
	require.NoError(t, client.apply(l, false))
	require.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	for n := range l.Servers {
		l.Servers[n].State = "ready"
	}
	require.NoError(t, client.apply(List{Version: 0, Full: true, Servers: l.Servers}, false))
	require.Equal(t, 2, strings.Count(log.String(), "\n"), log.String())
	require.Zero(t, r.size())
}

// Drains in a rejected list are applied to known servers; the names of other servers are not stored.
func TestRejectedListAppliesDrainsAndStoresNoNames(t *testing.T) {
	var requests atomic.Int64
	r := &recorder{ready: addresses{}}
	client := startClient(t, r, serve(t, func(req *http.Request, out io.Writer) {
		if requests.Add(1) == 1 {
			writeList(out, 41, 3, "")
			return
		}
		_, _ = io.WriteString(out, `{"version":42,"full":true,"servers":[{"id":"s-00000001","state":"draining"},{"id":"new","state":"draining"},`)
		_, _ = io.WriteString(out, entry(7, `"note":"`+strings.Repeat("n", maxValueBytes)+`",`)+"]}\n")
		<-req.Context().Done()
	}))
	eventually(t, "the drain", func() bool { return r.size() == 2 })
	client.mu.Lock()
	defer client.mu.Unlock()
	require.Len(t, client.ids, 3)
	require.Len(t, client.listed, 3)
	require.EqualValues(t, 41, client.version.Load())
}

// The response header is limited as well.
func TestEndlessResponseHeaderIsRejected(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		endlessWriter("HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("x", 40)+"\r\n")(conn)
	}))
	startServer(t, s)
	t.Cleanup(s.Close)
	_, err := readLists(t.Context(), s.URL, idleMonitor(timingOf(logic.Settings{})), listLimits{maxServers}, func() {}, func(*List) {})
	require.ErrorContains(t, err, "exceeded 65536 bytes")
}
