package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/loopback"
	"bramblefall/logic"
)

const testTimeout = 20 * time.Second // a test that waits this long has failed; no result depends on a shorter wait

// serve starts a server that answers every request by a function that writes the body, and returns its URL.
func serve(t *testing.T, answer func(req *http.Request, out io.Writer)) (url string) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(r, flushingWriter{w}) }))
	startServer(t, s)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.URL
}

// startServer starts a server at a loopback address that nothing else on the machine uses.
func startServer(t *testing.T, s *httptest.Server) {
	listener, err := loopback.Listen()
	require.NoError(t, err)
	require.NoError(t, s.Listener.Close())
	s.Listener = listener
	s.Start()
}

// flushingWriter flushes after each write.
type flushingWriter struct{ http.ResponseWriter }

func (w flushingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.ResponseWriter.(http.Flusher).Flush()
	return n, err
}

func idleMonitor(m timing) *activityMonitor {
	p := &activityMonitor{timing: m, timer: time.NewTimer(time.Hour)}
	return p
}

func indentJSON(t *testing.T, line string) string {
	var b bytes.Buffer
	require.NoError(t, json.Indent(&b, []byte(line), "", "  "))
	return b.String()
}

// Only complete messages are reported: a list at its end, however many lines and pieces it arrives in, and an empty line
// between lists.
func TestOnlyCompleteMessagesAreReported(t *testing.T) {
	one := `{"version":41,"more":["\"}]{[\\"],"full":true,"servers":[{"id":"s-1","state":"ready"}]}`
	two := strings.Replace(one, "41", "42", 1)
	for name, c := range map[string]struct {
		text string
		want string
	}{
		"lines":                 {one + "\n\n" + two + "\n", "41 - 42"},
		"indented":              {indentJSON(t, one) + "\n\n" + indentJSON(t, two) + "\n", "41 - 42"},
		"empty lines":           {"\n \r\n" + one + "\r\n" + two + "\n\t\n", "- 41 42 -"},
		"without a last end":    {one + "\n" + two, "41 42"},
		"two on a line":         {one + " " + two + "\n", "41 42"},
		"empty lines in a list": {strings.ReplaceAll(one, ",", ",\n\n") + "\n", "41"},
	} {
		t.Run(name, func(t *testing.T) {
			for at := range len(c.text) {
				url := serve(t, func(_ *http.Request, out io.Writer) {
					_, _ = io.WriteString(out, c.text[:at])
					_, _ = io.WriteString(out, c.text[at:])
				})
				var got []string
				_, err := readLists(t.Context(), url, idleMonitor(timingOf(logic.Settings{})), listLimits{maxServers}, func() {}, func(l *List) {
					switch {
					case l != nil:
						got = append(got, map[int64]string{41: "41", 42: "42"}[l.Version])
					case len(got) == 0 || got[len(got)-1] != "-": // empty lines in a row count as one
						got = append(got, "-")
					}
				})
				require.ErrorIs(t, err, io.EOF)
				require.Equal(t, c.want, strings.Join(got, " "), "split at byte %d", at)
			}
		})
	}
}

// A list that stalls at the end of one of its lines is reported as stalled within a message: what it has begun to deliver
// counts as received, and the next request does not wait for an empty line that will not arrive.
func TestStalledIndentedListIsReportedMidMessage(t *testing.T) {
	text := indentJSON(t, `{"version":41,"full":true,"servers":[{"id":"s-1","state":"draining"},{"id":"s-2","state":"ready"}]}`)
	part := text[:strings.LastIndex(text, "},")+3]
	require.True(t, strings.HasSuffix(part, "\n"))
	url := serve(t, func(req *http.Request, out io.Writer) {
		_, _ = io.WriteString(out, part)
		<-req.Context().Done()
	})
	client := New("", logic.Settings{}, addresses{}, nil)
	events := make(chan watchEvent)
	ctx, cancel := context.WithCancel(t.Context())
	go client.watch(ctx, t.Context(), 1, url, events)
	event := <-events
	require.Equal(t, answerBegun, event.kind)
	event = <-events
	require.Equal(t, watchStalled, event.kind, "it contains no complete message")
	require.True(t, event.midMessage)
	cancel()
	for event = range events {
		if event.kind == watchEnded {
			break
		}
	}
	require.Equal(t, []Server{{ID: "s-1", State: "draining"}}, event.list.Servers, "complete entries of the stalled list")
}

// Before a stall is reported the connection is checked once more: bytes may have arrived while the limiter was paused.
func TestAnswerReceivedWhilePausedIsNotReportedStalled(t *testing.T) {
	p := idleMonitor(timingOf(logic.Settings{}))
	fired := 0
	fire := func() { // what the timer does
		if !p.beginFinalCheck() {
			fired++
		}
	}
	p.midLine.Store(true)
	fire()
	require.Zero(t, fired, "the first timeout only starts the final check")
	p.noteActivity() // the final check finds bytes
	fire()
	require.Zero(t, fired)
	fire()
	require.Equal(t, 1, fired, "the final check finds nothing")
}
