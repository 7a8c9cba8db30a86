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

// book is what a client has passed on.
type book struct {
	mu    sync.Mutex
	ready addresses
	lists int
}

func (b *book) SetAddress(id logic.ServerID, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[id] = addr
}

func (b *book) Withdraw(id logic.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ready, id)
}

func (b *book) post(core.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lists++
}

func (b *book) posts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lists
}

func (b *book) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// run follows the list at a URL until the test ends.
func run(t *testing.T, b *book, url string) *Client {
	client := New(strings.TrimPrefix(url, "http://"), logic.Settings{}, b, b.post)
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

func wait(t *testing.T, what string, true func() bool) {
	t.Helper()
	require.Eventually(t, true, patience, time.Millisecond, what)
}

// entry is one of the usual size, 127 bytes with the comma.
func entry(n int, more string) string {
	return fmt.Sprintf(`{"id":"s-%08x","addr":"10.%d.%d.%d:6379","zone":"a","kind":"m2","cell":3,%s"state":"ready","weight":1.0,"started_ms":0}`,
		n, n>>16, n>>8&255, n&255, more)
}

func writeList(out io.Writer, version, servers int, more string) {
	w := &bytes.Buffer{}
	_, _ = fmt.Fprintf(w, `{"version":%d,"full":true,"servers":[`, version)
	for n := range servers {
		if n > 0 {
			w.WriteByte(',')
		}
		w.WriteString(entry(n, more))
		if w.Len() > 32<<10 {
			_, _ = out.Write(w.Bytes())
			w.Reset()
		}
	}
	w.WriteString("]}\n")
	_, _ = out.Write(w.Bytes())
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// 57,000 servers come in one line of 7 MB, and in one of 125 MB of which nothing but the servers is kept.
func TestAListOfTheWholeNeedIsTaken(t *testing.T) {
	const need = 57_000
	for name, more := range map[string]string{"usual": "", "large entries": `"note":"` + strings.Repeat("n", 2<<10) + `",`} {
		t.Run(name, func(t *testing.T) {
			before := heap()
			b := &book{ready: addresses{}}
			client := run(t, b, serve(t, func(ask *http.Request, out io.Writer) {
				writeList(out, 41, need, more)
				<-ask.Context().Done()
			}))
			wait(t, "the list", func() bool { return b.size() == need })
			require.Less(t, heap()-before, uint64(need*600), "bytes kept")
			require.EqualValues(t, 41, client.version.Load())
		})
	}
}

// endless writes a text, another one again and again until the limiter leaves. It ends where the limiter should have left
// long since, so that a test that fails takes no more memory than it must.
func endless(first, again string) func(io.Writer) {
	most := 4 << 20
	if len(again) > 100 {
		most = 40 << 20
	}
	again = strings.Repeat(again, 1+(64<<10)/len(again))
	return func(out io.Writer) {
		_, err := io.WriteString(out, first)
		for n := 0; n < most && err == nil; n += len(again) {
			_, err = io.WriteString(out, again)
		}
	}
}

// Whatever a line holds that never ends, or is larger than all need, is refused: the last good list stays, memory stays
// bounded, the log says it in a line, and discovery is asked again as usual.
func TestWhatIsBeyondAllNeedIsRefused(t *testing.T) {
	const head = `{"version":42,"full":true,`
	for name, c := range map[string]struct {
		write func(io.Writer)
		says  string
	}{
		"endless servers":         {endless(head+`"servers":[`+entry(0, ""), ","+entry(1, "")), "more than 262144 servers"},
		"endless empty servers":   {endless(head+`"servers":[{}`, ",{}"), "more than 262144 servers"},
		"endless lists of a list": {endless(head+`"servers":[{}]`, `,"servers":[{}]`), "more than 64 keys"},
		"one server too many":     {func(out io.Writer) { writeList(out, 42, mostServers+1, "") }, "more than 262144 servers"},
		"a large entry": {func(out io.Writer) {
			writeList(out, 42, 10, `"note":"`+strings.Repeat("n", mostEntry)+`",`)
		}, "a value of more than 4096 bytes"},
		"large texts": {func(out io.Writer) {
			writeList(out, 42, 57_000, `"zone":"`+strings.Repeat("z", 1<<10)+`",`)
		}, "33554432 bytes of text"},
		"an endless id":           {endless(head+`"servers":[{"id":"`, "i"), "a value of more than 4096 bytes"},
		"an endless entry":        {endless(head+`"servers":[{"id":"s-1"`, `,"x":1`), "a value of more than 4096 bytes"},
		"an endless other value":  {endless(head+`"more":"`, "x"), "a value of more than 4096 bytes"},
		"an endless other list":   {endless(head+`"more":[0`, ",0"), "a value of more than 4096 bytes"},
		"endless nesting":         {endless(head+`"more":`, "["), "a value of more than 4096 bytes"},
		"endless keys":            {endless(head+`"more":1`, `,"more":1`), "more than 64 keys"},
		"an endless key":          {endless(head+`"`, "k"), "a value of more than 4096 bytes"},
		"an endless number":       {endless(`{"version":4`, "2"), "a value of more than 4096 bytes"},
		"endless blanks":          {endless(head, " "), "a value of more than 4096 bytes"},
		"endless lines in a list": {endless(head+`"servers":[`, "\n"), "a value of more than 4096 bytes"},
		"endless blanks outside":  {endless("\n", " "), "more than 4096 blanks"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var bad, good atomic.Bool // was written: an ask may come to nothing where this machine stands still
			between := make(chan [2]int, 1)
			b := &book{ready: addresses{}}
			client := run(t, b, serve(t, func(ask *http.Request, out io.Writer) {
				switch {
				case b.posts() == 0:
					writeList(out, 41, 3, "")
				case !bad.Swap(true):
					c.write(out)
				default: // what came before is taken in or left out by now
					if !good.Swap(true) {
						between <- [2]int{b.size(), b.posts()}
					}
					writeList(out, 43, 5, "")
					<-ask.Context().Done()
				}
			}))
			wait(t, "the list after", func() bool { return b.size() == 5 })
			require.Equal(t, [2]int{3, 1}, <-between, "servers and lists before the last")
			require.EqualValues(t, 43, client.version.Load())
		})
		t.Run(name+", alone", func(t *testing.T) {
			_, err := lists(t.Context(), serve(t, func(_ *http.Request, out io.Writer) { c.write(out) }), idle(termsOf(logic.Settings{})),
				func(l *List) { require.Nil(t, l) })
			require.ErrorIs(t, err, errRefused)
			require.ErrorContains(t, err, c.says)
		})
	}
}

// As many servers as a list may have are taken.
func TestAListAtTheBoundIsTaken(t *testing.T) {
	b := &book{ready: addresses{}}
	run(t, b, serve(t, func(ask *http.Request, out io.Writer) {
		writeList(out, 41, mostServers, "")
		<-ask.Context().Done()
	}))
	wait(t, "the list", func() bool { return b.size() == mostServers })
}

// While an endless list is read memory stays bounded, and after it all of it is free again.
func TestAnEndlessListIsReadWithinBounds(t *testing.T) {
	before := heap()
	for name, write := range map[string]func(io.Writer){
		"usual entries": endless(`{"version":42,"full":true,"servers":[`+entry(0, ""), ","+entry(1, "")),
		"large ones": endless(`{"version":42,"full":true,"servers":[`+entry(0, ""),
			","+entry(1, `"zone":"`+strings.Repeat("z", 3<<10)+`",`)),
	} {
		t.Run(name, func(t *testing.T) {
			var most atomic.Uint64
			url := serve(t, func(_ *http.Request, out io.Writer) {
				write(&peak{Writer: out, most: &most})
			})
			l, err := lists(t.Context(), url, idle(termsOf(logic.Settings{})), func(*List) {})
			require.ErrorIs(t, err, errRefused)
			t.Logf("%d servers, %d MB at most", len(l.Servers), (most.Load()-before)>>20)
			require.Less(t, most.Load()-before, uint64(128<<20))
		})
	}
	require.Less(t, heap(), before+8<<20)
}

// peak notes the heap, without its garbage, while it writes.
type peak struct {
	io.Writer
	most   *atomic.Uint64
	writes int
}

func (p *peak) Write(b []byte) (int, error) {
	if p.writes++; p.writes%16 == 0 {
		p.most.Store(max(p.most.Load(), heap()))
	}
	return p.Writer.Write(b)
}

// Changes add to a list no more servers than one may have; the list before stays.
func TestChangesAddNoMoreThanAListMayHold(t *testing.T) {
	b := &book{ready: addresses{}}
	client := New("", logic.Settings{}, b, b.post)
	change := func(version int64, from, to int) error {
		l := List{Version: version}
		for n := from; n < to; n++ {
			l.Servers = append(l.Servers, Server{ID: fmt.Sprint(n), Addr: "a", State: "ready"})
		}
		return client.take(l, false)
	}
	require.NoError(t, change(1, 0, mostServers-1))
	require.ErrorIs(t, change(2, mostServers-1, mostServers+1), errRefused)
	require.Equal(t, mostServers-1, b.size())
	require.EqualValues(t, 1, client.version.Load())
	require.NoError(t, change(2, mostServers-1, mostServers))
	require.NoError(t, change(3, 0, 10), "of those that are known")
	require.Equal(t, mostServers, b.size())
}

// A list that is refused is not asked for at once again: it is dear to read, and will be no other.
func TestAListThatIsRefusedIsNotAskedForAtOnce(t *testing.T) {
	for _, fleet := range []int{1, 3, 300} {
		for _, stood := range []time.Duration{0, time.Minute} {
			f := follower{terms: terms{500 * ms, fleet}}
			n := f.ask(0)
			f.heard(n)
			require.True(t, f.refused(stood, n))
			require.GreaterOrEqual(t, f.pause(0), 500*ms, "fleet of %d", fleet)
			require.Less(t, f.pause(1), 6*time.Second)
			require.True(t, f.ended(stood, f.ask(stood), true))
			if fleet <= 3 {
				require.Less(t, f.pause(1), 500*ms, "the next may be another")
			}
		}
	}
}

// A list that is refused is a line of the log, also right behind another watch's end.
func TestARefusalIsALineOfTheLog(t *testing.T) {
	var log lockedLog
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(was)
	var asks atomic.Int64
	run(t, &book{ready: addresses{}}, serve(t, func(ask *http.Request, out io.Writer) {
		switch n := asks.Add(1); {
		case n%2 == 1 && n < 6:
			writeList(out, 41, 3, "") // and ends
		case n < 6:
			writeList(out, 42, 1, `"note":"`+strings.Repeat("n", mostEntry)+`",`)
		default:
			<-ask.Context().Done()
		}
	}))
	wait(t, "the sixth ask", func() bool { return asks.Load() >= 6 })
	require.Equal(t, 2, strings.Count(log.String(), "level=WARN"), log.String())
	require.Equal(t, 2, strings.Count(log.String(), "is refused: a value of more than 4096 bytes"), log.String())
}

type lockedLog struct {
	mu  sync.Mutex
	log bytes.Buffer
}

func (l *lockedLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Write(b)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.String()
}

// What the log says of a list is a line for all of its servers.
func TestTheLogSaysOneLineOfAList(t *testing.T) {
	var log bytes.Buffer
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(was)
	b := &book{ready: addresses{}}
	client := New("", logic.Settings{}, b, b.post)
	l := List{Version: 1}
	for n := range 1000 {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprint(n), Addr: "a", State: "asleep"})
	}
	require.NoError(t, client.take(l, false))
	require.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	for n := range l.Servers {
		l.Servers[n].State = "ready"
	}
	require.NoError(t, client.take(List{Version: 0, Full: true, Servers: l.Servers}, false))
	require.Equal(t, 2, strings.Count(log.String(), "\n"), log.String())
	require.Zero(t, b.size())
}

// What a refused list has told of servers that drain holds, for those that are known; the names of others are not kept.
func TestARefusedListTellsItsDrainsAndLeavesNoNames(t *testing.T) {
	var asks atomic.Int64
	b := &book{ready: addresses{}}
	client := run(t, b, serve(t, func(ask *http.Request, out io.Writer) {
		if asks.Add(1) == 1 {
			writeList(out, 41, 3, "")
			return
		}
		_, _ = io.WriteString(out, `{"version":42,"full":true,"servers":[{"id":"s-00000001","state":"draining"},{"id":"new","state":"draining"},`)
		_, _ = io.WriteString(out, entry(7, `"note":"`+strings.Repeat("n", mostEntry)+`",`)+"]}\n")
		<-ask.Context().Done()
	}))
	wait(t, "the drain", func() bool { return b.size() == 2 })
	client.mu.Lock()
	defer client.mu.Unlock()
	require.Len(t, client.ids, 3)
	require.Len(t, client.listed, 3)
	require.EqualValues(t, 41, client.version.Load())
}

// An answer's head has a bound as well.
func TestAnEndlessHeadIsLeft(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		endless("HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("x", 40)+"\r\n")(conn)
	}))
	begin(t, s)
	t.Cleanup(s.Close)
	_, err := lists(t.Context(), s.URL, idle(termsOf(logic.Settings{})), func(*List) {})
	require.ErrorContains(t, err, "exceeded 65536 bytes")
}
