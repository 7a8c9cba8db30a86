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

const patience = 20 * time.Second // a test that waits so long has failed; no verdict depends on less

// serve answers every ask by a function that writes the body, and says where.
func serve(t *testing.T, answer func(ask *http.Request, out io.Writer)) (url string) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(r, flushed{w}) }))
	begin(t, s)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.URL
}

// begin starts a server at an address that nobody else on the machine is given.
func begin(t *testing.T, s *httptest.Server) {
	listener, err := loopback.Listen()
	require.NoError(t, err)
	require.NoError(t, s.Listener.Close())
	s.Listener = listener
	s.Start()
}

// flushed sends each write on its way by itself.
type flushed struct{ http.ResponseWriter }

func (w flushed) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.ResponseWriter.(http.Flusher).Flush()
	return n, err
}

func idle(m terms) *pulse {
	p := &pulse{terms: m, timer: time.NewTimer(time.Hour)}
	return p
}

func indented(t *testing.T, line string) string {
	var b bytes.Buffer
	require.NoError(t, json.Indent(&b, []byte(line), "", "  "))
	return b.String()
}

// Only a whole word is heard: a list to its end, in however many lines and pieces it comes, and an empty line between lists.
func TestOnlyWholeWordsAreHeard(t *testing.T) {
	one := `{"version":41,"more":["\"}]{[\\"],"full":true,"servers":[{"id":"s-1","state":"ready"}]}`
	two := strings.Replace(one, "41", "42", 1)
	for name, c := range map[string]struct {
		text string
		said string
	}{
		"lines":                 {one + "\n\n" + two + "\n", "41 - 42"},
		"indented":              {indented(t, one) + "\n\n" + indented(t, two) + "\n", "41 - 42"},
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
				var said []string
				_, err := lists(t.Context(), url, idle(termsOf(logic.Settings{})), func(l *List) {
					switch {
					case l != nil:
						said = append(said, map[int64]string{41: "41", 42: "42"}[l.Version])
					case len(said) == 0 || said[len(said)-1] != "-": // some empty lines in a row are as good as one
						said = append(said, "-")
					}
				})
				require.ErrorIs(t, err, io.EOF)
				require.Equal(t, c.said, strings.Join(said, " "), "in pieces at %d", at)
			}
		})
	}
}

// A list that stops at the end of one of its lines stands in the middle, however many lines it has: what it has begun to
// tell binds, and the next ask does not wait for an empty line that will not come.
func TestAnIndentedListThatStopsIsDoubtedAsInTheMiddle(t *testing.T) {
	text := indented(t, `{"version":41,"full":true,"servers":[{"id":"s-1","state":"draining"},{"id":"s-2","state":"ready"}]}`)
	part := text[:strings.LastIndex(text, "},")+3]
	require.True(t, strings.HasSuffix(part, "\n"))
	url := serve(t, func(ask *http.Request, out io.Writer) {
		_, _ = io.WriteString(out, part)
		<-ask.Context().Done()
	})
	client := New("", logic.Settings{}, addresses{}, nil)
	words := make(chan word)
	here, end := context.WithCancel(t.Context())
	go client.watch(here, t.Context(), 1, url, words)
	x := <-words
	require.Equal(t, doubt, x.kind, "nothing in it is a whole word")
	require.True(t, x.mid)
	end()
	for x = range words {
		if x.kind == over {
			break
		}
	}
	require.Equal(t, []Server{{ID: "s-1", State: "draining"}}, x.list.Servers, "what it has told")
}

// Before an answer is doubted the connection is looked at once more: bytes may have come while the limiter stood still.
func TestAnAnswerThatCameWhileTheLimiterStoodStillIsNotDoubted(t *testing.T) {
	p := idle(termsOf(logic.Settings{}))
	fired := 0
	fire := func() { // what the timer does
		if !p.late() {
			fired++
		}
	}
	p.open.Store(true)
	fire()
	require.Zero(t, fired, "the first time is for a last look")
	p.beat() // which finds something
	fire()
	require.Zero(t, fired)
	fire()
	require.Equal(t, 1, fired, "which finds nothing")
}
