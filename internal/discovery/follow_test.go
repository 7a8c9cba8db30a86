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

// A fleet whose watches end together must not keep discovery too busy to answer anybody: from the second ask on, all
// limiters together ask seldom, and not in step.
func TestAFleetThatIsRefusedAsksSeldomAndNotInStep(t *testing.T) {
	const fleet, seconds = 80, 40
	rng := rand.New(rand.NewPCG(1, 2))
	var asked [seconds * 10]int // by tenths of a second
	for range fleet {
		f := follower{terms: terms{500 * ms, fleet}}
		for at := time.Duration(0); at < seconds*time.Second; at += f.pause(rng.Float64()) {
			asked[at/(100*ms)]++
			require.True(t, f.ended(at, f.ask(at), false))
		}
	}
	var late, most int
	for _, n := range asked[10:] {
		late += n
		most = max(most, n)
	}
	require.Less(t, late, 31*(seconds-1), "asks after the first second")
	require.Less(t, most, fleet/8, "asks in a tenth of a second")
}

// script is what an answer brings, and then: the end of the connection, or nothing more.
type script struct {
	head, lines, part bool // part of a line, behind the whole ones
	ends              bool
	lasts             time.Duration // from the ask to what goes wrong
}

// told plays a follower against an agent and gives the time from when the change could first be had until it is known.
// What a script brought in part counts as had; the last answer is a whole one.
func told(t *testing.T, m terms, luck float64, scripts ...script) time.Duration {
	f := follower{terms: m}
	now, had := time.Duration(0), time.Duration(-1)
	for _, s := range scripts {
		n := f.ask(now)
		began := now
		if s.lines {
			believed, _ := f.heard(n)
			require.True(t, believed)
			now = began + s.lasts
		}
		if s.part && had < 0 {
			had = now
		}
		due := false
		switch {
		case s.ends:
			due = f.ended(now, n, s.part)
		case s.part:
			now += m.stuck()
			_, due = f.doubted(now, n, true)
		case s.lines:
			if had < 0 {
				had = now // the change comes as it falls silent
			}
			now += silence
			_, due = f.doubted(now, n, false)
		default:
			now += m.head()
			_, due = f.doubted(now, n, false)
		}
		require.True(t, due)
		now += f.pause(luck)
	}
	if had < 0 {
		had = 0
	}
	return now - had
}

// What a cut line had begun to tell binds from that moment on: a small fleet knows it within the grace, also where four
// answers in a row are cut or stop short.
func TestWhatACutLineToldIsKnownWithinTheGrace(t *testing.T) {
	cut, short := script{head: true, part: true, ends: true}, script{head: true, part: true}
	stood := script{head: true, lines: true, part: true, ends: true, lasts: time.Minute}
	for _, grace := range []time.Duration{250 * ms, 500 * ms, 2 * time.Second} {
		for fleet := 1; fleet <= 4; fleet++ {
			m := termsOf(logic.Settings{DrainGrace: grace, Gateways: fleet})
			for luck := 0.0; luck <= 1; luck += 0.25 {
				require.Less(t, told(t, m, luck, stood, cut, cut, cut), grace, "cut four times, %v %d %v", grace, fleet, luck)
				require.Less(t, told(t, m, luck, stood, short), grace, "stopped short, %v %d %v", grace, fleet, luck)
			}
		}
	}
}

// News counts as told 6 s later though it did not arrive: a watch that fell silent is doubted in time to ask anew, twice
// over, in a fleet of any size.
func TestASilentWatchIsDoubtedBeforeItsNewsCountsAsTold(t *testing.T) {
	silent, nobody := script{head: true, lines: true, lasts: time.Minute}, script{}
	for _, grace := range []time.Duration{250 * ms, 500 * ms} {
		for _, fleet := range []int{1, 3, 4, 80, 300} {
			m := termsOf(logic.Settings{DrainGrace: grace, Gateways: fleet})
			require.Less(t, told(t, m, 1, silent), 3100*ms, "fleet of %d", fleet)
			if fleet <= 4 {
				require.Less(t, told(t, m, 1, silent, nobody, nobody, nobody, nobody), 6*time.Second, "fleet of %d", fleet)
			}
		}
	}
}

// A watch that fell silent between two lines may go on: it is then the one to listen to, and the asks beside it end. One
// that stopped in the middle of a line is left. Of those that have brought nothing the last is listened to, too.
func TestWhichWatchIsBelieved(t *testing.T) {
	f := follower{terms: terms{500 * ms, 3}}
	first := f.ask(0)
	believed, others := f.heard(first)
	require.True(t, believed)
	require.Empty(t, others)
	drop, due := f.doubted(3*time.Second, first, false)
	require.Zero(t, drop, "it may go on")
	require.True(t, due)
	second := f.ask(3 * time.Second)
	drop, due = f.doubted(4*time.Second, second, false)
	require.Zero(t, drop, "its answer may come")
	require.True(t, due)
	third := f.ask(4 * time.Second)
	drop, due = f.doubted(5*time.Second, third, false)
	require.Equal(t, second, drop, "only the last of these")
	require.True(t, due)
	fourth := f.ask(5 * time.Second)
	believed, others = f.heard(first)
	require.True(t, believed)
	require.ElementsMatch(t, []int{third, fourth}, others)
	believed, _ = f.heard(fourth)
	require.False(t, believed, "it was left")
	require.False(t, f.ended(6*time.Second, fourth, false))

	_, due = f.doubted(7*time.Second, first, false)
	require.True(t, due)
	fifth := f.ask(7 * time.Second)
	_, due = f.doubted(8*time.Second, fifth, false)
	require.True(t, due)
	sixth := f.ask(8 * time.Second)
	believed, others = f.heard(fifth)
	require.True(t, believed, "discovery is back")
	require.ElementsMatch(t, []int{first, sixth}, others)
	believed, _ = f.heard(first)
	require.False(t, believed)
	drop, due = f.doubted(9*time.Second, fifth, true)
	require.Equal(t, fifth, drop, "its line will not end")
	require.True(t, due)
	require.False(t, f.ended(9*time.Second, fifth, true), "its end is no news")
}

// An agent is silent while discovery is down, and what it has at the return binds at once: a new process that has not heard
// it yet knows it within the grace, in a fleet of any size, whether or not the agent answers what was asked before.
func TestWhatAnAgentHasAtItsReturnIsKnownWithinTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{250 * ms, 500 * ms, 2 * time.Second} {
		for _, fleet := range []int{1, 3, 80, 300} {
			f := follower{terms: termsOf(logic.Settings{DrainGrace: grace, Gateways: fleet})}
			for now := time.Duration(0); now < 10*time.Second; {
				asked := now
				n := f.ask(now)
				now += f.head()
				_, due := f.doubted(now, n, false)
				require.True(t, due)
				now += f.pause(1)
				require.Less(t, now-asked, grace, "of the next ask, %v %d", grace, fleet)
			}
			believed, _ := f.heard(f.last)
			require.True(t, believed, "the answer to the last ask")
		}
	}
}

// A server that was told to drain, or is gone, does not come back by an older list: not from another watch or address, and
// not behind a line that broke off. It does when it has started anew, or when a newer list says so.
func TestADrainIsNotTakenBackByAnOlderWord(t *testing.T) {
	at := func(state string, started int64) Server {
		return Server{ID: "s-1", Addr: "127.0.0.1:1", State: state, StartedMS: started}
	}
	for name, c := range map[string]struct {
		told, next List
		cut        bool // told in a line that broke off
		ready      bool
	}{
		"an older whole list":   {told: List{Version: 43, Servers: []Server{at("draining", 0)}}, next: List{Version: 42, Full: true, Servers: []Server{at("ready", 0)}}},
		"behind a cut line":     {told: List{Version: 43, Servers: []Server{at("draining", 0)}}, cut: true, next: List{Version: 42, Servers: []Server{at("ready", 0)}}},
		"gone":                  {told: List{Version: 43, Servers: []Server{at("gone", 0)}}, next: List{Version: 42, Full: true, Servers: []Server{at("ready", 0)}}},
		"not named any more":    {told: List{Version: 43, Full: true}, next: List{Version: 42, Full: true, Servers: []Server{at("ready", 0)}}},
		"started anew":          {told: List{Version: 43, Servers: []Server{at("draining", 0)}}, next: List{Version: 42, Full: true, Servers: []Server{at("ready", 7)}}, ready: true},
		"a newer list":          {told: List{Version: 43, Servers: []Server{at("draining", 0)}}, next: List{Version: 44, Servers: []Server{at("ready", 0)}}, ready: true},
		"a whole list as newer": {told: List{Version: 43, Servers: []Server{at("draining", 0)}}, next: List{Version: 43, Full: true, Servers: []Server{at("ready", 0)}}, ready: true},
	} {
		t.Run(name, func(t *testing.T) {
			book := addresses{}
			var last core.UpstreamGroup
			client := New("", logic.Settings{}, book, func(ev core.Event) { last = ev.(core.UpstreamGroup) })
			client.take(List{Version: 41, Full: true, Servers: []Server{at("ready", 0)}}, false)
			require.Len(t, book, 1)
			if c.cut {
				client.salvage(c.told)
			} else {
				client.take(c.told, false)
			}
			require.Empty(t, book, "it takes nothing new")
			client.take(c.next, false)
			if c.ready {
				require.Len(t, book, 1)
				require.Equal(t, logic.Ready, last.Servers[0].State)
			} else {
				require.Empty(t, book)
				require.Equal(t, logic.Draining, last.Servers[0].State)
			}
		})
	}
}

// addresses are those of servers that take something new.
type addresses map[logic.ServerID]string

func (a addresses) SetAddress(id logic.ServerID, addr string) { a[id] = addr }
func (a addresses) Withdraw(id logic.ServerID)                { delete(a, id) }

// A list that breaks off at any byte leaves the entries that were whole, and an error that is no good end.
func TestAListThatBreaksOffLeavesItsWholeEntries(t *testing.T) {
	text := `{"version":43,"more":{"a":[1]},"full":true,"servers":[{"id":"s-1","state":"draining","weight":1.0},{"id":"s-2","state":"ready"}]}`
	for n := range len(text) + 1 {
		l, err := next(json.NewDecoder(strings.NewReader(text[:n])))
		whole := strings.Count(text[:n], "}") - 1 // the first is another key's
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
		_, err := next(json.NewDecoder(strings.NewReader(bad)))
		require.Error(t, err, bad)
	}
}

// A change may be numbered lower than what is known, as by another discovery after a reload: a drain in it holds, and what it
// calls ready stays as it was.
func TestADrainInAnOlderChangeHolds(t *testing.T) {
	book := addresses{}
	client := New("", logic.Settings{}, book, func(core.Event) {})
	at := func(id, state string) Server { return Server{ID: id, Addr: "127.0.0.1:1", State: state} }
	require.NoError(t, client.take(List{Version: 41, Full: true, Servers: []Server{at("s-1", "ready"), at("s-2", "ready")}}, false))
	require.NoError(t, client.take(List{Version: 42, Servers: []Server{at("s-2", "draining")}}, false))
	require.Len(t, book, 1)
	require.NoError(t, client.take(List{Version: 7, Servers: []Server{at("s-1", "draining"), at("s-2", "ready")}}, false))
	require.Empty(t, book)
}
