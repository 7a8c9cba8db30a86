package discovery

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

const ms = time.Millisecond

// A fleet whose watches end at the same time must not overload discovery with requests: from the second request on, the
// rate of all limiters together is limited, and they are not in step.
func TestRefusedFleetLimitsAndSpreadsItsRequests(t *testing.T) {
	const fleet, seconds = 80, 40
	rng := rand.New(rand.NewPCG(1, 2))
	var requests [seconds * 10]int // by tenths of a second
	for range fleet {
		f := follower{timing: timing{500 * ms, fleet}}
		for at := time.Duration(0); at < seconds*time.Second; at += f.nextDelay(rng.Float64()) {
			requests[at/(100*ms)]++
			require.True(t, f.noteEnd(at, f.startWatch(at), false))
		}
	}
	var total, peak int
	for _, n := range requests[10:] {
		total += n
		peak = max(peak, n)
	}
	require.Less(t, total, 31*(seconds-1), "requests after the first second")
	require.Less(t, peak, fleet/8, "requests in a tenth of a second")
}

// answerScript is what a response delivers before it fails: by the end of the connection, or by silence.
type answerScript struct {
	header, messages, partial bool // partial: an incomplete message after the complete ones
	ends                      bool
	duration                  time.Duration // from the request to the failure
}

// playAnswers runs a follower against the scripted answers. It returns the time from when the change was first available, be
// it in part, until the request after them starts, which is taken to receive the complete change at once.
func playAnswers(t *testing.T, m timing, random float64, scripts ...answerScript) time.Duration {
	f := follower{timing: m}
	now, available := time.Duration(0), time.Duration(-1)
	for _, s := range scripts {
		n := f.startWatch(now)
		startedAt := now
		if s.messages {
			accepted, _ := f.noteMessage(n)
			require.True(t, accepted)
			now = startedAt + s.duration
		}
		if s.partial && available < 0 {
			available = now
		}
		due := false
		switch {
		case s.ends:
			due = f.noteEnd(now, n, s.partial)
		case s.partial:
			now += m.stallTimeout()
			_, due = f.noteStall(now, n, true)
		case s.messages:
			if available < 0 {
				available = now // the change happens when the watch falls silent
			}
			now += keepaliveTimeout
			_, due = f.noteStall(now, n, false)
		default:
			now += m.headerTimeout()
			_, due = f.noteStall(now, n, false)
		}
		require.True(t, due)
		now += f.nextDelay(random)
	}
	if available < 0 {
		available = 0
	}
	return now - available
}

// A truncated message counts as received from when it began to arrive. A limiter of a small fleet requests the complete change
// within the grace, also if four responses in a row are truncated or one stalls.
func TestTruncatedChangeIsKnownWithinDrainGrace(t *testing.T) {
	broken, stalled := answerScript{header: true, partial: true, ends: true}, answerScript{header: true, partial: true}
	stable := answerScript{header: true, messages: true, partial: true, ends: true, duration: time.Minute}
	for _, grace := range []time.Duration{250 * ms, 500 * ms, 2 * time.Second} {
		for fleet := 1; fleet <= 4; fleet++ {
			m := timingOf(logic.Settings{DrainGrace: grace, Gateways: fleet})
			for random := 0.0; random <= 1; random += 0.25 {
				require.Less(t, playAnswers(t, m, random, stable, broken, broken, broken), grace, "truncated four times, grace %v, fleet of %d, random %v", grace, fleet, random)
				require.Less(t, playAnswers(t, m, random, stable, stalled), grace, "stalled, grace %v, fleet of %d, random %v", grace, fleet, random)
			}
		}
	}
}

// A change counts as received 6 s after discovery has it, even if it did not arrive. A silent watch is replaced early enough for
// two requests within that time, in a fleet of any size: after keepaliveTimeout and the longest jitter, 2.5 s and 0.8 * 500 ms,
// the bound leaves 0.2 s.
func TestSilentWatchIsReplacedBeforeItsChangesTakeEffect(t *testing.T) {
	silent, unanswered := answerScript{header: true, messages: true, duration: time.Minute}, answerScript{}
	for _, grace := range []time.Duration{250 * ms, 500 * ms} {
		for _, fleet := range []int{1, 3, 4, 80, 300} {
			m := timingOf(logic.Settings{DrainGrace: grace, Gateways: fleet})
			require.Less(t, playAnswers(t, m, 1, silent), 3100*ms, "fleet of %d", fleet)
			if fleet <= 4 {
				require.Less(t, playAnswers(t, m, 1, silent, unanswered, unanswered, unanswered, unanswered), 6*time.Second, "fleet of %d", fleet)
			}
		}
	}
}

// A watch that fell silent between two messages may resume; it is then used again, and the requests beside it are closed. One
// that stalled within a message is closed. Of those that have received nothing, the first and the last are kept as well.
func TestWatchSelection(t *testing.T) {
	f := follower{timing: timing{500 * ms, 3}}
	first := f.startWatch(0)
	accepted, others := f.noteMessage(first)
	require.True(t, accepted)
	require.Empty(t, others)
	drop, due := f.noteStall(3*time.Second, first, false)
	require.Zero(t, drop, "it may resume")
	require.True(t, due)
	second := f.startWatch(3 * time.Second)
	drop, due = f.noteStall(4*time.Second, second, false)
	require.Zero(t, drop, "its answer may still arrive")
	require.True(t, due)
	third := f.startWatch(4 * time.Second)
	drop, due = f.noteStall(5*time.Second, third, false)
	require.Zero(t, drop, "its answer may still arrive, and so may that of the one before")
	require.True(t, due)
	fourth := f.startWatch(5 * time.Second)
	accepted, others = f.noteMessage(first)
	require.True(t, accepted)
	require.ElementsMatch(t, []int{second, third, fourth}, others)
	accepted, _ = f.noteMessage(fourth)
	require.False(t, accepted, "it was superseded")
	require.False(t, f.noteEnd(6*time.Second, fourth, false))

	_, due = f.noteStall(7*time.Second, first, false)
	require.True(t, due)
	fifth := f.startWatch(7 * time.Second)
	_, due = f.noteStall(8*time.Second, fifth, false)
	require.True(t, due)
	sixth := f.startWatch(8 * time.Second)
	accepted, others = f.noteMessage(fifth)
	require.True(t, accepted, "discovery is back")
	require.ElementsMatch(t, []int{first, sixth}, others)
	accepted, _ = f.noteMessage(first)
	require.False(t, accepted)
	drop, due = f.noteStall(9*time.Second, fifth, true)
	require.Equal(t, fifth, drop, "it stalled within a message")
	require.True(t, due)
	require.False(t, f.noteEnd(9*time.Second, fifth, true), "it was already closed")
}

// stallUnanswered starts a watch every 300 ms, none of which is answered, and returns those that are closed, by their number.
func stallUnanswered(t *testing.T, f *follower, from time.Duration, watches int) (closedAt map[int]time.Duration) {
	closedAt = map[int]time.Duration{}
	for at := from; watches > 0; watches-- {
		watch := f.startWatch(at)
		at += 300 * ms
		drop, due := f.noteStall(at, watch, false)
		require.True(t, due)
		if drop != 0 {
			closedAt[drop] = at
		}
	}
	return closedAt
}

// Of the watches that are not answered, the last stays open and the first until an answer would be too late; then the next takes its
// place. So there are never more than two, beside the one that has just been started.
func TestFirstUnansweredWatchIsKeptUntilAnswersAreLate(t *testing.T) {
	f := follower{timing: timing{500 * ms, 3}}
	closedAt := stallUnanswered(t, &f, 0, 30)
	require.Len(t, closedAt, 30-2)
	require.GreaterOrEqual(t, closedAt[1], maxAnswerDelay)
	require.Less(t, closedAt[1], maxAnswerDelay+400*ms)
	second := f.firstUnanswered.watch
	superseded := f.noteAnswer(second)
	require.Equal(t, []int{f.newest}, superseded)
	require.Equal(t, second, f.current)
	require.Empty(t, f.noteAnswer(f.newest), "it was superseded")
	accepted, others := f.noteMessage(second)
	require.True(t, accepted)
	require.Empty(t, others)
}

// An agent sends nothing while discovery is down, and what it has when discovery returns counts as received at once. A new
// process that has received nothing yet sends the next request within the grace, in a fleet of any size, so that it does not
// depend on an answer to the requests before.
func TestReturningAgentIsAskedWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{250 * ms, 500 * ms, 2 * time.Second} {
		for _, fleet := range []int{1, 3, 80, 300} {
			f := follower{timing: timingOf(logic.Settings{DrainGrace: grace, Gateways: fleet})}
			for now := time.Duration(0); now < 10*time.Second; {
				startedAt := now
				n := f.startWatch(now)
				now += f.headerTimeout()
				_, due := f.noteStall(now, n, false)
				require.True(t, due)
				now += f.nextDelay(1)
				require.Less(t, now-startedAt, grace, "until the next request, grace %v, fleet of %d", grace, fleet)
			}
			accepted, _ := f.noteMessage(f.newest)
			require.True(t, accepted, "the answer to the last request")
		}
	}
}

// A server that is draining or gone does not become ready by an older list: not by one from another watch or address, and not
// after a truncated message. It does if it was restarted since, or if a newer list says so.
func TestDrainIsNotRevertedByOlderList(t *testing.T) {
	at := func(state string, started int64) Server {
		return Server{ID: "s-1", Addr: "127.0.0.1:1", State: state, StartedMS: started}
	}
	for name, c := range map[string]struct {
		first, next List
		partial     bool // first arrives in a truncated message
		wantReady   bool
	}{
		"older complete list":               {first: List{Version: 43, Servers: []Server{at("draining", 0)}}, next: List{Version: 42, Full: true, Servers: []Server{at("ready", 0)}}},
		"after a truncated message":         {first: List{Version: 43, Servers: []Server{at("draining", 0)}}, partial: true, next: List{Version: 42, Servers: []Server{at("ready", 0)}}},
		"gone":                              {first: List{Version: 43, Servers: []Server{at("gone", 0)}}, next: List{Version: 42, Full: true, Servers: []Server{at("ready", 0)}}},
		"no longer listed":                  {first: List{Version: 43, Full: true}, next: List{Version: 42, Full: true, Servers: []Server{at("ready", 0)}}},
		"restarted":                         {first: List{Version: 43, Servers: []Server{at("draining", 0)}}, next: List{Version: 42, Full: true, Servers: []Server{at("ready", 7)}}, wantReady: true},
		"newer list":                        {first: List{Version: 43, Servers: []Server{at("draining", 0)}}, next: List{Version: 44, Servers: []Server{at("ready", 0)}}, wantReady: true},
		"complete list of the same version": {first: List{Version: 43, Servers: []Server{at("draining", 0)}}, next: List{Version: 43, Full: true, Servers: []Server{at("ready", 0)}}, wantReady: true},
	} {
		t.Run(name, func(t *testing.T) {
			ready := addresses{}
			var last core.UpstreamGroup
			client := New("", logic.Settings{}, ready, func(ev core.Event) { last = ev.(core.UpstreamGroup) })
			client.apply(List{Version: 41, Full: true, Servers: []Server{at("ready", 0)}}, false)
			require.Len(t, ready, 1)
			if c.partial {
				client.applyPartial(c.first)
			} else {
				client.apply(c.first, false)
			}
			require.Empty(t, ready, "the server gets nothing new")
			client.apply(c.next, false)
			if c.wantReady {
				require.Len(t, ready, 1)
				require.Equal(t, logic.Ready, last.Servers[0].State)
			} else {
				require.Empty(t, ready)
				require.Equal(t, logic.Draining, last.Servers[0].State)
			}
		})
	}
}

// addresses are those of the servers that new requests may be sent to.
type addresses map[logic.ServerID]string

func (a addresses) SetAddress(id logic.ServerID, addr string) { a[id] = addr }
func (a addresses) Withdraw(id logic.ServerID)                { delete(a, id) }

// A list truncated at any byte yields its complete entries, and an error other than io.EOF, unless nothing of it arrived.
func TestTruncatedListKeepsCompleteEntries(t *testing.T) {
	text := `{"version":43,"more":{"a":[1]},"full":true,"servers":[{"id":"s-1","state":"draining","weight":1.0},{"id":"s-2","state":"ready"}]}`
	for n := range len(text) + 1 {
		l, err := readList(json.NewDecoder(strings.NewReader(text[:n])), listLimits{maxServers})
		whole := strings.Count(text[:n], "}") - 1 // the first closes the value of another key
		switch {
		case n == len(text):
			require.NoError(t, err)
			require.Equal(t, List{43, true, []Server{{ID: "s-1", State: "draining", Weight: 1}, {ID: "s-2", State: "ready"}}}, l)
		case n == 0:
			require.ErrorIs(t, err, io.EOF)
		default:
			require.Error(t, err)
			require.False(t, errors.Is(err, io.EOF), "at %d", n)
			require.Len(t, l.Servers, max(0, whole), "at %d", n)
		}
	}
	for _, bad := range []string{"garbage", "[]", "7", `{"servers":{}}`, `{"servers":[7]}`, `{"version":"x"}`, `{"servers":[{"id":"a"}}`} {
		_, err := readList(json.NewDecoder(strings.NewReader(bad)), listLimits{maxServers})
		require.Error(t, err, bad)
	}
}

// A change may have a lower version than the known list, for instance from another discovery after a reload. Its drains are
// applied; servers that it calls ready stay as they were.
func TestDrainInOlderChangeIsApplied(t *testing.T) {
	ready := addresses{}
	client := New("", logic.Settings{}, ready, func(core.Event) {})
	at := func(id, state string) Server { return Server{ID: id, Addr: "127.0.0.1:1", State: state} }
	require.NoError(t, client.apply(List{Version: 41, Full: true, Servers: []Server{at("s-1", "ready"), at("s-2", "ready")}}, false))
	require.NoError(t, client.apply(List{Version: 42, Servers: []Server{at("s-2", "draining")}}, false))
	require.Len(t, ready, 1)
	require.NoError(t, client.apply(List{Version: 7, Servers: []Server{at("s-1", "draining"), at("s-2", "ready")}}, false))
	require.Empty(t, ready)
}
