package platform_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/internal/loop"
	"bramblefall/internal/loopback"
	"bramblefall/internal/plans"
	"bramblefall/internal/platform"
	"bramblefall/internal/resp"
	"bramblefall/internal/upstream"
	"bramblefall/logic"
)

// A client that has closed its connection has gone: no attempt for it begins more than goneAfter later, however busy the loop
// is. The tests here are the loop: they take the front's events and make the tries when they choose to.
const (
	goneAfter = 100 * time.Millisecond
	patience  = 20 * time.Second
)

// owner is a loop that handles nothing: events wait in it, as in the inbox of a busy one. From the event with the number stuck
// on it stands still altogether, and with it who posts.
type owner struct {
	ids    atomic.Uint64
	stuck  int // 0: never
	resume chan struct{}

	mu     sync.Mutex
	events []core.Event
}

func (o *owner) ID() uint64 { return o.ids.Add(1) }
func (o *owner) Open() int  { return 0 }

func (o *owner) Post(ev core.Event) {
	o.mu.Lock()
	o.events = append(o.events, ev)
	wait := o.stuck > 0 && len(o.events) == o.stuck
	o.mu.Unlock()
	if wait {
		<-o.resume
	}
}

func (o *owner) all() []core.Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]core.Event(nil), o.events...)
}

// requests are the request contexts that have come, in their order.
func (o *owner) requests() (list []core.RequestContext) {
	for _, ev := range o.all() {
		if q, ok := ev.(core.RequestContext); ok {
			list = append(list, q)
		}
	}
	return list
}

// outcome is the first of a try, after the word that its client has gone if that came before it.
func (o *owner) outcome(k core.Key) (status logic.Status, told, gone bool) {
	for _, ev := range o.all() {
		switch ev := ev.(type) {
		case core.ClientGone:
			gone = gone || ev.ID == k.ID
		case core.Outcome:
			if ev.Key == k {
				return ev.Status, true, gone
			}
		}
	}
	return 0, false, gone
}

// stand is a front, a pool and a server stand-in round an owner.
type stand struct {
	t     *testing.T
	owner *owner
	pool  *upstream.Pool
	addr  string

	mu       sync.Mutex
	accepted int
	commands []string // ids that have reached the server
}

// newStand makes one whose server answers as the test says.
func newStand(t *testing.T, stuck int, answer func(id string) string) *stand {
	return newStandFor(t, 1000, stuck, answer)
}

// newStandFor makes one that holds so many client connections. Nobody tends them: front.Run is not called.
func newStandFor(t *testing.T, most, stuck int, answer func(id string) string) *stand {
	set := logic.Settings{Gateways: 1, Zones: 1, MaxAttempts: 3, ConnectTimeout: 8 * time.Second,
		Classes: []logic.Class{{Name: "read", Aim: 4 * time.Second, Deadline: 8 * time.Second, Worth: 1}},
		Plans:   []logic.Plan{{Name: "regular", Rate: 1e5, Burst: 1e5, Price: 1}}}
	s := &stand{t: t, owner: &owner{stuck: stuck, resume: make(chan struct{})}}
	board := &plans.Board{}
	board.Show(plans.Sheet{Tiers: map[string]int{"regular": 0}, Plans: set.Plans})
	front := platform.New(set, s.owner, board, most, 0, 1)
	listen, err := loopback.AnyPort()
	require.NoError(t, err)
	at, err := front.Listen(listen)
	require.NoError(t, err)
	s.addr = at.String()
	s.pool = upstream.New(set, 1000, s.owner.Post, loop.Now)
	l, err := loopback.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted++
			s.mu.Unlock()
			t.Cleanup(func() { _ = conn.Close() })
			go s.serve(conn, answer)
		}
	}()
	s.pool.SetAddress(1, l.Addr().String())
	return s
}

func (s *stand) serve(conn net.Conn, answer func(id string) string) {
	var p resp.Parser
	for buf := make([]byte, 64<<10); ; {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		p.Feed(buf[:n])
		for args, ok, err := p.Command(); ok && err == nil; args, ok, err = p.Command() {
			id := string(args[2])
			s.mu.Lock()
			s.commands = append(s.commands, id)
			s.mu.Unlock()
			_, _ = conn.Write([]byte(answer(id)))
		}
	}
}

func (s *stand) seen() (commands []string, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.commands...), s.accepted
}

func (s *stand) dial() *net.TCPConn {
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

func ask(id string) string {
	return string(resp.AppendCommand(nil, []byte("Q.ASK"), []byte("00000000b4d65521"), []byte(id),
		[]byte("c=read,t=regular,d=8000,units=1,spread=1,first=0")))
}

func (s *stand) write(conn net.Conn, text string) {
	_, err := conn.Write([]byte(text))
	require.NoError(s.t, err)
}

// taken waits for so many request contexts.
func (s *stand) taken(n int) []core.RequestContext {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return len(s.owner.requests()) >= n }, patience, time.Millisecond)
	return s.owner.requests()
}

// try makes a try of a request context, as the loop would, and waits for its outcome.
func (s *stand) try(q core.RequestContext, n int) logic.Status {
	s.t.Helper()
	k := core.Key{ID: q.ID, Try: n}
	s.pool.Try(core.Try{Key: k, Server: 1, Wait: 8 * time.Second, Until: loop.Now() + patience, Origin: q.Origin})
	require.Eventually(s.t, func() bool { _, told, _ := s.owner.outcome(k); return told }, patience, time.Millisecond)
	status, _, gone := s.owner.outcome(k)
	if status == logic.Cancelled {
		require.True(s.t, gone, "the module would try it again")
	}
	return status
}

const served = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"

func serve(string) string { return served }

// left tries requests whose clients went goneAfter ago: none reaches the server, and no connection is made for one.
func (s *stand) left(list ...core.RequestContext) {
	s.t.Helper()
	time.Sleep(goneAfter + time.Millisecond)
	before, connections := s.seen()
	for _, q := range list {
		require.Equal(s.t, logic.Cancelled, s.try(q, 5))
	}
	commands, now := s.seen()
	require.Equal(s.t, before, commands, "sent on for nobody")
	require.Equal(s.t, connections, now, "a connection is made for nobody")
}

// A request whose client leaves while the loop has not come to it, in every way to leave.
func TestNoTryForClientGoneWhileLoopIsBusy(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(s *stand, conn *net.TCPConn){
		"close": func(_ *stand, conn *net.TCPConn) { _ = conn.Close() },
		"reset": func(_ *stand, conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
		"half of the next command": func(s *stand, conn *net.TCPConn) {
			s.write(conn, ask("half")[:30])
			_ = conn.Close()
		},
		"half a command, then a reset": func(s *stand, conn *net.TCPConn) {
			s.write(conn, ask("half")[:30])
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
		"its sending alone": func(_ *stand, conn *net.TCPConn) { _ = conn.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStand(t, 0, serve)
			conn := s.dial()
			s.write(conn, ask("01"))
			q := s.taken(1)
			leave(s, conn)
			s.left(q...)
			stays := s.dial() // the guard hits nobody else
			s.write(stays, ask("02"))
			require.Equal(t, logic.OK, s.try(s.taken(2)[1], 0))
			commands, _ := s.seen()
			require.Equal(t, []string{"02"}, commands)
		})
	}
}

// The loop stands still in a long turn, and the front with it: the client's end lies behind bytes that nobody has read, and
// netpoll's callback of the end waits for the one that reads.
func TestNothingLeavesWhileTheEndLiesBehindUnreadBytes(t *testing.T) {
	t.Parallel()
	s := newStand(t, 2, serve)
	conn := s.dial()
	s.write(conn, ask("01")+ask("02"))
	q := s.taken(2) // the front waits in the second
	for k := range 2000 {
		s.write(conn, ask(fmt.Sprint("unread", k)))
	}
	require.NoError(t, conn.Close())
	s.left(q...)
	close(s.owner.resume)
	s.left(s.taken(3)...)
}

// A connection with as many commands as may wait on it: what it brings beyond is read and refused in its turn, and so is its end.
func TestTheEndOfAConnectionAtItsCapIsSeen(t *testing.T) {
	t.Parallel()
	s := newStand(t, 0, serve)
	conn := s.dial()
	var text strings.Builder
	for k := range 1100 {
		text.WriteString(ask(fmt.Sprint("id", k)))
	}
	s.write(conn, text.String())
	q := s.taken(1024)
	require.NoError(t, conn.Close())
	s.left(q...)
	require.Len(t, s.owner.requests(), 1024)
}

// Between two tries: the first has failed, the client leaves, and the loop comes to the next one late.
func TestNoFurtherTryForAClientThatLeft(t *testing.T) {
	t.Parallel()
	s := newStand(t, 0, func(string) string { return "-ERR failed\r\n" })
	conn := s.dial()
	s.write(conn, ask("01"))
	q := s.taken(1)[0]
	require.Equal(t, logic.Error, s.try(q, 0))
	require.NoError(t, conn.Close())
	s.left(q)
}

// Hundreds leave at once, each in one of the ways above, while all their requests wait.
func TestNothingLeavesForABurstThatLeftABusyLoop(t *testing.T) {
	t.Parallel()
	s := newStand(t, 0, serve)
	var conns []*net.TCPConn
	for k := range 300 {
		conn := s.dial()
		conns = append(conns, conn)
		text := ask(fmt.Sprint("id", k))
		if k%3 == 1 {
			text += text[:20]
		}
		s.write(conn, text)
	}
	q := s.taken(300)
	for k, conn := range conns {
		if k%3 == 2 {
			_ = conn.SetLinger(0)
		}
		require.NoError(t, conn.Close())
	}
	s.left(q...)
}
