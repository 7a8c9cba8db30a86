// Package platform is the RESP2 front: it manages client connections, parses their commands and writes the answers in the order of
// the commands. It makes no decisions.
package platform

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/fairqueue"
	"bramblefall/internal/memory"
	"bramblefall/internal/plans"
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

const (
	drainGrace    = 450 * time.Millisecond // until clients have noticed a planned restart
	resendGrace   = 150 * time.Millisecond // then for requests that crossed the close of an idle connection and are sent again
	drainInterval = 10 * time.Millisecond

	defaultMaxOpen        = 16384 // open requests, where the settings name no number
	maxClosingConnections = 8     // client connections beyond maxClients that may be waiting to be closed

	answerDelay        = 2 * time.Millisecond // processor time before an answer goes out: a garbage collection takes this long
	overloadRetryAfter = time.Second          // told to clients while too many requests are open

	sweepInterval       = 250 * time.Millisecond
	rejectedLogInterval = time.Second
)

// Owner receives the front's events.
type Owner interface {
	ID() uint64
	Open() int
	Backlog() int     // events that were posted and wait to be handled
	OnHandled(func()) // sets what is called whenever Backlog falls
	HeldUp() bool     // this process had too little processor time lately
	Post(core.Event)
}

// Front listens for client connections.
type Front struct {
	owner        Owner
	settings     logic.Settings
	classes      map[string]int
	board        *plans.TierStore
	maxClients   int // client connections
	maxOpen      int // request contexts
	memory       Memory
	readBytes    int // taken from one connection at once
	maxUnread    int // bytes of answers that a client has not read, from which on no more is read from it
	turns        *fairqueue.Queue
	answerMargin time.Duration // how late an answer may be on this share of a core
	busyAnswer   []byte        // the answer to a command that the front itself refuses

	listener     *socket.Listener
	draining     atomic.Bool // connections close as soon as no answer is due on them
	traceEnabled bool        // each request is logged by its ID; off in production
	lastLogID    atomic.Uint64

	rejected       atomic.Int64 // connections rejected for lack of room since the last log line
	rejectedLogged time.Time    // used only by Run

	mu      sync.Mutex // locked before a client connection's mu, never while holding it
	clients map[*clientConnection]struct{}

	ids *requestIDs
}

// Memory is what bounds the bytes that the front holds.
type Memory struct {
	Commands *memory.Budget // requests in hand, and places in the order of answers
	Answers  *memory.Budget // answers that clients have not read yet
	Input    *memory.Budget // commands of which more than unreservedBytes have come, but not all
	Monitor  *memory.Monitor
}

const (
	minReadBytes     = 2 << 10 // taken from one connection at once
	minUnreadAnswers = 4 << 10 // bytes
	maxUnreadAnswers = 64 << 10
)

// New returns a front for the settings' classes and the board's plans. It holds at most maxClients client connections. cores is
// the share of a core that the process runs on (0: a whole one).
func New(settings logic.Settings, owner Owner, board *plans.TierStore, maxClients int, mem Memory, cores float64) *Front {
	f := &Front{owner: owner, settings: settings, classes: map[string]int{}, board: board, maxClients: maxClients, maxOpen: defaultMaxOpen, memory: mem,
		clients: map[*clientConnection]struct{}{}, ids: newRequestIDs(),
		traceEnabled: slog.Default().Enabled(context.Background(), slog.LevelDebug)}
	f.turns = fairqueue.New(runtime.GOMAXPROCS(0), func() bool { return owner.Backlog() <= maxBacklog })
	owner.OnHandled(f.turns.Wake)
	f.readBytes = max(minReadBytes, int(mem.Input.Limit())/(2*maxClients))
	f.maxUnread = min(max(minUnreadAnswers, int(mem.Answers.Limit())/maxClients), maxUnreadAnswers)
	if settings.MaxOpen > 0 {
		f.maxOpen = min(settings.MaxOpen, 2*defaultMaxOpen)
	}
	if f.answerMargin = answerDelay; cores > 0 {
		f.answerMargin = time.Duration(float64(answerDelay) / min(cores, 1))
	}
	f.busyAnswer = appendBusy(nil, 0)
	if settings.RetryAfter {
		f.busyAnswer = appendBusy(nil, min(overloadRetryAfter, settings.MaxRetryAfter))
	}
	for k, c := range settings.Classes {
		f.classes[c.Name] = k
	}
	return f
}

// Listen opens addr and serves it until Drain. It returns the address it listens on.
func (f *Front) Listen(addr string) (net.Addr, error) {
	l, err := socket.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	f.listener = l
	crash.Go(func() { l.Serve(f.ensureRoom, f.accept) })
	return l.Addr(), nil
}

// Run closes client connections that send nothing, until ctx ends.
func (f *Front) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.logRejected(now)
			f.ids.expire(now)
			for _, c := range f.clientList() {
				c.enforceTimeouts(now)
			}
		}
	}
}

func (f *Front) clientList() []*clientConnection {
	f.mu.Lock()
	defer f.mu.Unlock()
	clientList := make([]*clientConnection, 0, len(f.clients))
	for c := range f.clients {
		clientList = append(clientList, c)
	}
	return clientList
}

// Drain ends the front at a planned restart. For drainGrace all continues, since clients notice late. Then each connection closes
// as soon as no answer is due on it: at once, or right behind its last answer, before its client can send on it again. The listener
// closes last, once no connection waits there: one that the kernel has accepted may already hold a whole request.
func (f *Front) Drain() {
	time.Sleep(drainGrace)
	f.draining.Store(true)
	crash.Go(func() {
		for ; ; time.Sleep(drainInterval) {
			for _, c := range f.clientList() {
				c.closeIfFinished()
			}
		}
	})
	time.Sleep(resendGrace)
	for until := time.Now().Add(drainGrace); f.listener.HasPending() && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // this lasts only if no descriptor is left to accept the waiting connections
	}
	if err := f.listener.Close(); err != nil {
		slog.Warn("cannot stop listening", "err", err)
	}
}

// Clients returns the number of open client connections.
func (f *Front) Clients() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients)
}

func (f *Front) accept(conn *socket.Conn) {
	c := &clientConnection{front: f, logID: f.lastLogID.Add(1), conn: conn, lastUsedAt: time.Now(), resume: make(chan struct{}, 1)}
	c.outbox = socket.NewOutbox(conn, c.onFlushed, f.memory.Answers)
	c.trace("client connection accepted")
	f.mu.Lock()
	f.clients[c] = struct{}{}
	f.mu.Unlock()
	conn.TrackPeer()
	conn.Serve(socket.Reader{Lock: &c.mu, Await: c.awaitRoom, Stopped: func() bool { return c.closingIdle }, Handle: c.handleBytes, Ended: c.onClose,
		Turns: f.turns, Monitor: f.memory.Monitor})
}

// ensureRoom reports whether there is room for one more connection, evicting an idle one if necessary. If there
// is none, the connection is closed before anything is read from it, so that its client knows that nothing was taken.
func (f *Front) ensureRoom() bool {
	if f.Clients() >= f.maxClients {
		f.closeGone()
	}
	n := f.Clients() + 1
	if n <= f.maxClients || n <= f.maxClients+maxClosingConnections && f.evictIdle() {
		return true
	}
	f.rejected.Add(1)
	return false
}

// closeGone closes some connections whose clients have closed them, which their readers have not had the time to find out.
func (f *Front) closeGone() {
	closed := 0
	for _, c := range f.clientList() {
		if closed == maxClosingConnections {
			return
		}
		if !c.conn.PeerClosed() {
			continue
		}
		closed++
		c.conn.Close()
		f.mu.Lock()
		delete(f.clients, c)
		f.mu.Unlock()
	}
}

// logRejected logs how many connections were rejected since the last such line.
func (f *Front) logRejected(now time.Time) {
	if now.Sub(f.rejectedLogged) < rejectedLogInterval {
		return
	}
	if n := f.rejected.Swap(0); n > 0 {
		f.rejectedLogged = now
		slog.Warn("client connections turned away unread: no room", "connections", n, "room", f.maxClients)
	}
}

// evictIdle closes the client connection that has been idle longest, and reports whether it found one: the descriptors are needed
// for the servers, too. Connections that have sent nothing since they were opened, and for more than newConnectionGrace, go first; a
// newer one is expected to send soon. If a command crosses the close, its client sends it again. A connection with unread bytes is
// skipped for the next. If none is idle, one with a stalled incomplete command goes: nothing of that command has been accepted. If
// all are busy, none is closed.
func (f *Front) evictIdle() bool {
	var idle, stalledPartial []idleState
	for _, c := range f.clientList() {
		i := c.idle()
		if !i.active && time.Since(i.since) > newConnectionGrace {
			i.since = i.since.Add(-idleTimeout)
		}
		switch {
		case i.isIdle:
			idle = append(idle, i)
		case i.stalledPartial:
			stalledPartial = append(stalledPartial, i)
		}
	}
	longest := func(a, b idleState) int { return a.since.Compare(b.since) }
	slices.SortFunc(idle, longest)
	slices.SortFunc(stalledPartial, longest)
	for _, i := range append(idle, stalledPartial...) {
		if i.client.closeIdle(i.stalledPartial) {
			return true
		}
	}
	return false
}
