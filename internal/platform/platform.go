// Package platform is the RESP2 front: client connections, their commands and the answers, in the commands'
// order. It decides nothing.
package platform

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/plans"
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

const (
	drainGrace  = 450 * time.Millisecond // clients hear of a planned restart so late
	resendGrace = 150 * time.Millisecond // then for requests that crossed the close of an idle connection and come again
	drainEvery  = 10 * time.Millisecond

	defaultOpen  = 16384    // requests in hand at once, where the settings name no number
	defaultHeld  = 48 << 20 // bytes of their commands, where no cap is told: a body may be 64 KiB
	closingLimit = 8        // client connections beyond the bound that are refused and not closed yet

	answerCost = 2 * time.Millisecond // of processor time before an answer goes out: a collection of garbage takes so much
	crowded    = time.Second          // when to come back where too much is in hand

	sweepEvery       = 250 * time.Millisecond
	rejectedLogEvery = time.Second
)

// Owner takes the events of the front.
type Owner interface {
	ID() uint64
	Open() int
	Post(core.Event)
}

// Front listens for client connections.
type Front struct {
	owner      Owner
	set        logic.Settings
	classes    map[string]int
	board      *plans.Board
	most       int           // client connections
	open       int           // request contexts
	bytes      int64         // of their commands
	lag        time.Duration // that an answer may be late by, on this share of a core
	busyAnswer []byte        // the answer to what is turned away here
	backlog    *socket.Backlog

	listener *socket.Listener
	leaving  atomic.Bool  // a connection closes as soon as nothing is owed on it
	held     atomic.Int64 // bytes of commands in hand
	traced   bool         // each request is logged by its id: off in service
	numbers  atomic.Uint64

	rejected       atomic.Int64 // connections for which there was no room, since the log said so
	rejectedLogged time.Time    // by Run alone

	mu      sync.Mutex // taken before a client connection's, never inside it
	clients map[*clientConnection]struct{}
	entered int // connections that have been among the clients

	idsMu sync.Mutex
	ids   map[string]struct{} // of the requests in hand
}

// New makes a front for the settings' classes and the board's plans that holds so many client connections at most, and so
// many bytes of commands (0: as many as is usual). Cores is the share of a core that it runs on (0: a whole one).
func New(set logic.Settings, owner Owner, board *plans.Board, most int, bytes int64, cores float64) *Front {
	f := &Front{owner: owner, set: set, classes: map[string]int{}, board: board, most: most, open: defaultOpen, bytes: defaultHeld,
		clients: map[*clientConnection]struct{}{}, ids: map[string]struct{}{},
		traced: slog.Default().Enabled(context.Background(), slog.LevelDebug)}
	if set.MaxOpen > 0 {
		f.open = min(set.MaxOpen, 2*defaultOpen)
	}
	if f.lag = answerCost; cores > 0 {
		f.lag = time.Duration(float64(answerCost) / min(cores, 1))
	}
	if bytes > 0 {
		f.bytes = min(bytes, defaultHeld)
	}
	f.backlog = socket.NewBacklog(f.bytes)
	f.busyAnswer = appendBusy(nil, 0)
	if set.RetryAfter {
		f.busyAnswer = appendBusy(nil, min(crowded, set.MaxRetryAfter))
	}
	for k, c := range set.Classes {
		f.classes[c.Name] = k
	}
	return f
}

// Listen opens the address and serves it until Drain. It returns where it listens.
func (f *Front) Listen(addr string) (net.Addr, error) {
	l, err := socket.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	f.listener = l
	l.SetRoomCheck(f.room)
	events, err := netpoll.NewEventLoop(nil, netpoll.WithOnPrepare(f.accept))
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	crash.Go(func() {
		if err := events.Serve(l); err != nil {
			slog.Debug("clients' listener ended", "err", err)
		}
	})
	return l.Addr(), nil
}

// Run closes client connections that say nothing, until the context ends.
func (f *Front) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.logRejected(now)
			for _, c := range f.all() {
				c.tend(now)
			}
		}
	}
}

func (f *Front) all() []*clientConnection {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*clientConnection, 0, len(f.clients))
	for c := range f.clients {
		all = append(all, c)
	}
	return all
}

// Drain ends the front at a planned restart. For a little longer all goes on, since clients hear late of it. Then each
// connection closes as soon as nothing is owed on it: at once, or right behind its last answer, before its client
// can send on it again. Last the listener closes, once nothing waits there: a connection that the machine has accepted
// may hold a whole request.
func (f *Front) Drain() {
	time.Sleep(drainGrace)
	f.leaving.Store(true)
	crash.Go(func() {
		for ; ; time.Sleep(drainEvery) {
			for _, c := range f.all() {
				c.leave()
			}
		}
	})
	time.Sleep(resendGrace)
	for until := time.Now().Add(drainGrace); f.listener.HasPending() && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // for longer only where no descriptor is left for them
	}
	if err := f.listener.Close(); err != nil {
		slog.Warn("cannot stop listening", "err", err)
	}
}

// Clients is how many client connections are open, those included that are accepted and not handed over yet.
func (f *Front) Clients() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients) + f.listener.AcceptedCount() - f.entered
}

func (f *Front) accept(raw netpoll.Connection) context.Context {
	defer crash.Guard()
	now, conn := time.Now(), socket.Wrap(raw)
	c := &clientConnection{front: f, logID: f.numbers.Add(1), conn: conn, usedAt: now}
	c.outbox = socket.NewOutbox(conn, c.leave, f.backlog)
	c.trace("client connection accepted")
	f.mu.Lock()
	f.clients[c] = struct{}{}
	f.entered++
	f.mu.Unlock()
	conn.SetLateHandler(c.late)
	conn.Serve(c.ready, c.closed)
	return context.Background()
}

// room tells whether there is room for a connection that has just been accepted, or makes some. Where it does not, the connection
// is closed before anybody reads from it, so that its client is sure that nothing was taken.
func (f *Front) room() bool {
	n := f.Clients()
	if n <= f.most || n <= f.most+closingLimit && f.evict() {
		return true
	}
	f.rejected.Add(1)
	return false
}

// logRejected says in the log how many connections were turned away since it said so last.
func (f *Front) logRejected(now time.Time) {
	if now.Sub(f.rejectedLogged) < rejectedLogEvery {
		return
	}
	if n := f.rejected.Swap(0); n > 0 {
		f.rejectedLogged = now
		slog.Warn("client connections turned away unread: no room", "connections", n, "room", f.most)
	}
}

// evict closes the client connection that has been idle longest, those first that have been silent since they came
// and for a while: the descriptors are needed for the servers, too. If a command crosses the close, its client sends
// it again; one that has just come is about to speak. One of which something waits to be read is passed over for the next.
// Where none is idle one goes that has brought half a command and not the rest: of that nothing has been taken. It tells
// whether one goes: where all are busy none does.
func (f *Front) evict() bool {
	var idle, half []idleState
	for _, c := range f.all() {
		i := c.idle()
		if !i.active && time.Since(i.since) > newConnectionGrace {
			i.since = i.since.Add(-idleTimeout)
		}
		switch {
		case i.idle:
			idle = append(idle, i)
		case i.stalledPartial:
			half = append(half, i)
		}
	}
	longest := func(a, b idleState) int { return a.since.Compare(b.since) }
	slices.SortFunc(idle, longest)
	slices.SortFunc(half, longest)
	for _, i := range append(idle, half...) {
		if i.client.closeIdle(i.stalledPartial) {
			return true
		}
	}
	return false
}
