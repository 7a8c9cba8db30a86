// Package platform is the RESP2 front: client connections, their commands and the answers, in the commands'
// order. It decides nothing.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"bramblefall/internal/core"
	"bramblefall/internal/lastwords"
	"bramblefall/internal/plans"
	"bramblefall/internal/resp"
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

const (
	drainGrace  = 450 * time.Millisecond // clients hear of a planned restart so late
	crossGrace  = 150 * time.Millisecond // then for requests that crossed the close of an idle connection and come again
	drainEvery  = 10 * time.Millisecond
	mostWaiting = 1024     // commands on one connection without an answer yet; what comes beyond is refused in its turn
	mostRefused = 8 << 10  // of these at once: who sends more does not read
	defaultOpen = 16384    // requests in hand at once, where the settings name no number
	defaultHeld = 48 << 20 // bytes of their commands, where no cap is told: a body may be 64 KiB
	mostClosing = 8        // client connections beyond the bound that are refused and not closed yet
	mostErrors  = 64       // of one connection: who sends nothing else is not worth it
	mostID      = 64       // bytes of a request's id
	firms       = 1 << 33  // customers are numbers below this

	failure = "-ERR failed\r\n"

	answerWork = 2 * time.Millisecond // of processor time before an answer goes out: a collection of garbage takes so much

	sweepEvery = 250 * time.Millisecond
	firstWord  = 2400 * time.Millisecond // for the first whole command, and for the rest of any other
	longIdle   = 20 * time.Second        // between commands

	crowded      = time.Second // when to come back where too much is in hand
	aboutToSpeak = time.Second
	halfWait     = 100 * time.Millisecond // for the rest of a command, where others have no room
	lastWord     = 2 * time.Second        // for what waits before the end of a connection that cannot be read
)

// Owner takes the events of the front.
type Owner interface {
	ID() uint64
	Open() int
	Post(core.Event)
}

// Front listens for client connections.
type Front struct {
	owner   Owner
	set     logic.Settings
	classes map[string]int
	board   *plans.Board
	most    int           // client connections
	open    int           // request contexts
	bytes   int64         // of their commands
	lag     time.Duration // that an answer may be late by, on this share of a core
	tooBusy []byte        // the answer to what is turned away here
	backlog *socket.Backlog

	listener *socket.Listener
	leaving  atomic.Bool  // a connection closes as soon as nothing is owed on it
	held     atomic.Int64 // bytes of commands in hand
	traced   bool         // each request is logged by its id: off in service
	numbers  atomic.Uint64

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
	if f.lag = answerWork; cores > 0 {
		f.lag = time.Duration(float64(answerWork) / min(cores, 1))
	}
	if bytes > 0 {
		f.bytes = min(bytes, defaultHeld)
	}
	f.backlog = socket.NewBacklog(f.bytes)
	f.tooBusy = appendBusy(nil, 0)
	if set.RetryAfter {
		f.tooBusy = appendBusy(nil, min(crowded, set.MaxRetryAfter))
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
	l.Room(f.room)
	events, err := netpoll.NewEventLoop(nil, netpoll.WithOnPrepare(f.accept))
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	lastwords.Go(func() {
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
	lastwords.Go(func() {
		for ; ; time.Sleep(drainEvery) {
			for _, c := range f.all() {
				c.leave()
			}
		}
	})
	time.Sleep(crossGrace)
	for until := time.Now().Add(drainGrace); f.listener.Waiting() && time.Now().Before(until); {
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
	return len(f.clients) + f.listener.Accepted() - f.entered
}

func (f *Front) accept(raw netpoll.Connection) context.Context {
	defer lastwords.Guard()
	now, conn := time.Now(), socket.Wrap(raw)
	c := &clientConnection{front: f, number: f.numbers.Add(1), conn: conn, usedAt: now}
	c.out = socket.NewOutbox(conn, c.leave, f.backlog)
	c.trace("client connection accepted")
	f.mu.Lock()
	f.clients[c] = struct{}{}
	f.entered++
	f.mu.Unlock()
	conn.Late(c.late)
	conn.Serve(c.ready, c.closed)
	return context.Background()
}

// room tells whether there is room for a connection that has just been accepted, or makes some. Where it does not, the connection
// is closed before anybody reads from it, so that its client is sure that nothing was taken.
func (f *Front) room() bool {
	n := f.Clients()
	return n <= f.most || n <= f.most+mostClosing && f.evict()
}

// evict closes the client connection that has been idle longest, those first that have been silent since they came
// and for a while: the descriptors are needed for the servers, too. If a command crosses the close, its client sends
// it again; one that has just come is about to speak. One of which something waits to be read is passed over for the next.
// Where none is idle one goes that has brought half a command and not the rest: of that nothing has been taken. It tells
// whether one goes: where all are busy none does.
func (f *Front) evict() bool {
	var idle, half []idleness
	for _, c := range f.all() {
		i := c.idle()
		if !i.spoke && time.Since(i.since) > aboutToSpeak {
			i.since = i.since.Add(-longIdle)
		}
		switch {
		case i.is:
			idle = append(idle, i)
		case i.half:
			half = append(half, i)
		}
	}
	longest := func(a, b idleness) int { return a.since.Compare(b.since) }
	slices.SortFunc(idle, longest)
	slices.SortFunc(half, longest)
	for _, i := range append(idle, half...) {
		if i.of.closeIdle(i.half) {
			return true
		}
	}
	return false
}

// idleness is how little a client connection is used.
type idleness struct {
	of        *clientConnection
	is, spoke bool // nothing is owed on it; it has brought a whole command
	half      bool // nothing is owed on it but the answer to a command whose rest does not come
	since     time.Time
}

// trace logs what becomes of a connection or of a request on it, so that one can be followed by its id.
func (c *clientConnection) trace(what string, words ...any) {
	if c.front.traced {
		slog.Debug(what, append(words, "on", c.number)...)
	}
}

// clientConnection is one connection of a client.
type clientConnection struct {
	front  *Front
	number uint64 // in the log
	conn   *socket.Conn
	out    *socket.Outbox
	parser resp.Parser // owned by the reading side

	mu      sync.Mutex
	slots   []*slot             // commands whose answers are due, in their order
	waiting map[uint64]*request // request contexts without an answer
	partial bool                // a command has come in part
	reading bool                // bytes are taken and not handled yet
	spoke   bool                // a whole one has come
	errors  int
	turned  atomic.Bool // it has sent too many errors: what it sends is refused, and it ends once nothing is owed on it
	usedAt  time.Time
	partAt  time.Time // since when a command has come in part
	deafAt  time.Time // since when nothing more is read
	gone    bool
	ending  bool // framing is lost, or the client asked for the end: nothing more is read
	left    bool // it was idle, and is being closed: what had been taken from the kernel by then is refused
}

// slot keeps the place of a command's answer: a slow one holds back those behind it.
type slot struct {
	answer  []byte
	done    bool
	last    bool // the connection closes after it
	refused int  // commands behind it that are turned away, since too many were waiting
}

// ready is told when bytes have come.
func (c *clientConnection) ready() {
	now := time.Now()
	c.mu.Lock()
	ending, left := c.ending, c.left
	c.reading = true
	c.mu.Unlock()
	if left {
		_ = c.conn.TakeSome(func(b []byte) { c.conn.Say(c.late(b)) })
		return
	}
	handled := c.read(ending, now)
	c.mu.Lock()
	c.reading = false
	// Each command has its own wait: a client may send without a pause in pieces that end in the middle of one.
	if partial := c.parser.Buffered() > 0; partial != c.partial || handled > 0 {
		c.partial, c.partAt = partial, now
	}
	c.mu.Unlock()
	c.leave() // what was read may have been answered already
}

// late answers the commands in bytes that had been taken from the kernel when an idle connection was closed. Guards against a
// request that is read and has no answer: its client sends again only what was not read.
func (c *clientConnection) late(b []byte) (answers []byte) {
	c.mu.Lock()
	left := c.left
	c.mu.Unlock()
	if !left {
		return nil
	}
	c.parser.Feed(b)
	for {
		args, ok, err := c.parser.Command()
		if !ok || err != nil {
			return answers
		}
		if len(args) > 0 {
			c.trace("refused behind the end")
			answers = appendBusy(answers, core.Elsewhere(c.front.set))
		}
	}
}

// read takes the bytes that have come, handles the commands that are whole and counts them. When the connection is ending it
// only makes room for more.
func (c *clientConnection) read(ending bool, now time.Time) (handled int) {
	err := c.conn.TakeSome(func(b []byte) {
		if !ending {
			c.parser.Feed(b)
		}
	})
	for err == nil && !ending {
		args, ok, err := c.parser.Command()
		if err != nil {
			c.refuse(err.Error(), true)
			return handled
		}
		if !ok {
			return handled
		}
		handled++
		ending = c.command(args, now)
	}
	return handled
}

// command handles one command. It tells whether the connection ends with it.
func (c *clientConnection) command(args [][]byte, now time.Time) (last bool) {
	if len(args) == 0 {
		return false // as servers of this protocol do, an empty array is passed over
	}
	if c.turned.Load() {
		return c.reply(appendBusy(nil, core.Elsewhere(c.front.set)), false)
	}
	switch name := string(bytes.ToUpper(args[0])); name {
	case "Q.ASK", "Q.DO":
		return c.take(name, args, now)
	case "PING":
		return c.reply([]byte("+PONG\r\n"), false)
	case "CLIENT", "SELECT":
		return c.reply([]byte("+OK\r\n"), false)
	case "QUIT":
		return c.reply([]byte("+OK\r\n"), true)
	default:
		return c.refuse("unknown command", false)
	}
}

// refuse answers what cannot be used. It tells whether the connection ends with it.
func (c *clientConnection) refuse(why string, last bool) bool {
	c.mu.Lock()
	c.errors++
	if c.errors >= mostErrors {
		c.turned.Store(true)
	}
	c.mu.Unlock()
	return c.reply([]byte("-ERR "+why+"\r\n"), last)
}

// place adds the slot of a command's answer. Nil if the client waits for too many: a client that only writes must not fill
// the memory, and those that were taken before must not be lost. The command is refused behind them; over tells that the
// client sends on all the same: nothing more is read, and the connection ends behind the answers that are due.
func (c *clientConnection) place() (s *slot, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt, c.spoke = time.Now(), true
	if len(c.slots) < mostWaiting {
		s = &slot{}
		c.slots = append(c.slots, s)
		return s, false
	}
	last := c.slots[len(c.slots)-1]
	if last.refused++; last.refused > mostRefused {
		last.last = true
		c.ending, c.deafAt = true, time.Now()
		return nil, true
	}
	return nil, false
}

// reply answers a command at once, behind the answers that are due before. It tells whether the connection ends with it.
func (c *clientConnection) reply(answer []byte, last bool) bool {
	s, over := c.place()
	if s == nil {
		return over
	}
	s.last = last
	c.fill(s, answer)
	return last
}

// fill puts an answer in its slot and writes what is due now.
func (c *clientConnection) fill(s *slot, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.answer, s.done = answer, true
	if s.last && !c.ending {
		c.ending, c.deafAt = true, time.Now()
	}
	for len(c.slots) > 0 && c.slots[0].done {
		s := c.slots[0]
		c.slots[0] = nil
		if c.slots = c.slots[1:]; c.gone {
			continue
		}
		c.write(s.answer)
		c.out.Insist(bytes.Repeat(c.front.tooBusy, s.refused))
		if s.last {
			c.out.CloseAfter()
		}
	}
	c.usedAt = time.Now()
}

// write queues an answer. Where its client does not read, and no more of a value may wait for it, the request has failed.
func (c *clientConnection) write(answer []byte) {
	if errors.Is(c.out.Write(answer), socket.ErrFull) {
		c.out.Insist([]byte(failure))
	}
}

func (c *clientConnection) idle() idleness {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := len(c.slots) == 0
	return idleness{c, free && !c.partial, c.spoke, free && c.partial && time.Since(c.partAt) > halfWait, c.usedAt}
}

// closeIdle closes the connection if nothing is owed on it. Guards against a command that comes meanwhile: up to the
// last moment the kernel is asked for one, and what comes after that is not read, so that its client sends it again. It
// tells whether the connection is being closed. Half: also if a part of a command has come.
func (c *clientConnection) closeIdle(half bool) bool {
	c.mu.Lock()
	idle := len(c.slots) == 0 && (half || !c.partial) && !c.reading && !c.ending && c.out.Empty() && c.conn.Delivered() && c.conn.Settled()
	c.ending, c.left = c.ending || idle, c.left || idle
	c.mu.Unlock()
	if idle {
		c.trace("idle client connection closed")
		c.conn.Close()
	}
	return idle
}

// leave closes the connection at a planned restart if nothing is owed on it. One that has just come is about to speak.
func (c *clientConnection) leave() {
	if c.turned.Load() {
		c.closeIdle(false)
		return
	}
	if !c.front.leaving.Load() {
		return
	}
	if i := c.idle(); i.is && (i.spoke || time.Since(i.since) > aboutToSpeak) {
		c.closeIdle(false)
	}
}

// tend ends what a client keeps open without a word: a connection that brings no whole command, or not the rest of
// one, and one that nobody uses any more. Guards the descriptors; such a client is owed an end in time.
func (c *clientConnection) tend(now time.Time) {
	c.mu.Lock()
	part, ending := c.partial && !c.ending && now.Sub(c.partAt) >= firstWord, c.ending && now.Sub(c.deafAt) >= lastWord
	c.mu.Unlock()
	switch i := c.idle(); {
	case ending:
		c.abandon()
	case part:
		c.refuse("the rest of the command did not come", true)
	case i.is && (!i.spoke && now.Sub(i.since) >= firstWord || now.Sub(i.since) >= longIdle):
		c.closeIdle(false)
	}
}

// abandon gives up what waits before the end of a connection that cannot be read any more: the error is due.
func (c *clientConnection) abandon() {
	c.mu.Lock()
	waiting := make([]*request, 0, len(c.waiting))
	for _, r := range c.waiting {
		waiting = append(waiting, r)
	}
	c.mu.Unlock()
	for _, r := range waiting {
		c.front.owner.Post(core.ClientGone{ID: r.id})
		r.Failed()
	}
}

// closed tells the owner of the request contexts that nobody waits for any more.
func (c *clientConnection) closed() {
	c.front.mu.Lock()
	delete(c.front.clients, c)
	c.front.mu.Unlock()
	c.mu.Lock()
	c.gone = true
	waiting := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	c.trace("client connection over", "waiting", len(waiting), "unwritten", !c.out.Empty())
	for id, r := range waiting {
		c.front.release(r)
		c.front.owner.Post(core.ClientGone{ID: id})
	}
}

// request is one Q.ASK or Q.DO: a request context's origin and the command that its tries write.
type request struct {
	client *clientConnection
	slot   *slot
	id     uint64
	args   [][]byte // as the client sent them
	size   int64    // of them
	wait   [2]int   // where in the terms the digits of d stand
}

// take hands a request context in. It tells whether the connection ends with it.
func (c *clientConnection) take(name string, args [][]byte, now time.Time) (last bool) {
	r := &request{client: c, args: args}
	q, err := c.front.terms(name, args, r)
	if err != nil {
		return c.refuse(err.Error(), false)
	}
	if c.front.owner.Open() >= c.front.open || c.front.held.Load() >= c.front.bytes { // guards the memory in a flood; the module sees none of it
		return c.reply(c.front.tooBusy, false)
	}
	if !c.front.hold(r) {
		return c.refuse("a request with this id is open", false)
	}
	var over bool
	if r.slot, over = c.place(); r.slot == nil {
		c.front.release(r)
		return over
	}
	r.id = c.front.owner.ID()
	q.ID = r.id
	// Guards against an answer that is due in the last moment and has to wait for the program's share of a core.
	if q.TTL -= time.Since(now) + c.front.lag; q.TTL <= 0 {
		q.TTL = time.Nanosecond // the module refuses what cannot be done in time
	}
	c.mu.Lock()
	if c.waiting == nil {
		c.waiting = map[uint64]*request{}
	}
	c.waiting[r.id] = r
	c.mu.Unlock()
	if c.front.traced { // asked here: the words cost more than the question
		c.trace("taken", "id", string(args[2]), "context", r.id, "ttl", q.TTL)
	}
	c.front.owner.Post(core.RequestContext{Request: q, Origin: r})
	return false
}

// hold books a request's bytes and its id. Guards against a second request with the id of one that is open: a
// server would take it for a second copy of the first.
func (f *Front) hold(r *request) bool {
	f.idsMu.Lock()
	defer f.idsMu.Unlock()
	id := string(r.args[2])
	if _, open := f.ids[id]; open {
		return false
	}
	f.ids[id] = struct{}{}
	for _, a := range r.args {
		r.size += int64(len(a))
	}
	f.held.Add(r.size)
	return true
}

func (f *Front) release(r *request) {
	f.held.Add(-r.size)
	f.idsMu.Lock()
	defer f.idsMu.Unlock()
	delete(f.ids, string(r.args[2]))
}

// terms reads a request's words. What it cannot read is the client's error and costs nobody else anything.
func (f *Front) terms(name string, args [][]byte, r *request) (q logic.Request, err error) {
	if len(args) < 4 || len(args) > 5 || name == "Q.ASK" && len(args) > 4 {
		return q, fmt.Errorf("wrong number of arguments for %s", name)
	}
	if q.Customer, err = strconv.ParseUint(string(args[1]), 16, 64); err != nil || len(args[1]) != 16 || q.Customer >= firms {
		return q, fmt.Errorf("customer is not 16 hex digits of a number below 2^33")
	}
	if len(args[2]) == 0 || len(args[2]) > mostID || bytes.ContainsFunc(args[2], unprintable) {
		return q, fmt.Errorf("an id of 1 to %d printable characters is needed", mostID)
	}
	q.Class, q.Plan, q.Units, q.Spread = -1, -1, 1, 1
	ms, known, keyed := -1.0, true, false
	var seen []string
	for at := 0; at <= len(args[3]); {
		end := bytes.IndexByte(args[3][at:], ',')
		if end < 0 {
			end = len(args[3]) - at
		}
		pair := args[3][at : at+end]
		key, value, _ := bytes.Cut(pair, []byte{'='})
		if slices.Contains(seen, string(key)) { // a server may read the other one
			return q, fmt.Errorf("%q stands twice", key)
		}
		seen = append(seen, string(key))
		switch text := string(value); string(key) {
		case "c":
			q.Class, known = index(f.classes, text, known)
		case "t":
			q.Plan, known = index(f.board.Sheet().Tiers, text, known)
		case "d":
			ms, err = strconv.ParseFloat(text, 64)
			r.wait = [2]int{at + 2, at + end}
		case "units":
			q.Units, err = strconv.ParseFloat(text, 64)
		case "spread":
			q.Spread, err = strconv.Atoi(text)
		case "first":
			q.First, err = strconv.Atoi(text)
		case "k":
			keyed = text != ""
		case "r":
			q.Repeat = text == "1"
		}
		if err != nil {
			return q, fmt.Errorf("cannot read %q", key)
		}
		at += end + 1
	}
	if !known || q.Class < 0 || q.Plan < 0 || !(ms > 0) || math.IsInf(ms, 0) {
		return q, fmt.Errorf("a known c and t, and d over 0, are needed")
	}
	if !(q.Units > 0) || q.Units > max(f.set.MostUnits, 1) {
		return q, fmt.Errorf("units are out of range")
	}
	if q.Spread < 1 || q.Spread > f.set.Gateways || q.First < 0 || q.First >= f.set.Gateways {
		return q, fmt.Errorf("spread or first is out of range")
	}
	class := f.set.Classes[q.Class]
	if (class.Effect == logic.Safe) != (name == "Q.ASK") {
		return q, fmt.Errorf("%s does not serve this class", name)
	}
	if class.Effect == logic.Keyed && !keyed {
		return q, fmt.Errorf("this class needs k")
	}
	// Nobody waits for longer than the class allows: who says so must not hold a place here for hours.
	q.TTL = min(time.Duration(min(ms, 3600e3)*float64(time.Millisecond)), class.Deadline)
	return q, nil
}

func unprintable(r rune) bool { return r <= ' ' || r > '~' }

func index(names map[string]int, name string, known bool) (int, bool) {
	k, ok := names[name]
	return k, ok && known
}

// AppendCommand appends the command for a try: the client's own, but for how long the limiter will wait.
func (r *request) AppendCommand(b []byte, wait time.Duration) []byte {
	terms := r.args[3]
	own := append(make([]byte, 0, len(terms)+8), terms[:r.wait[0]]...)
	own = strconv.AppendInt(own, max(1, wait.Milliseconds()), 10)
	own = append(own, terms[r.wait[1]:]...)
	args := append(make([][]byte, 0, len(r.args)), r.args...)
	args[3] = own
	return resp.AppendCommand(b, args...)
}

// Gone implements upstream.Command.
func (r *request) Gone() bool { return r.client.conn.Left() }

func (r *request) finish(answer []byte) {
	r.client.mu.Lock()
	_, waits := r.client.waiting[r.id]
	delete(r.client.waiting, r.id)
	r.client.mu.Unlock()
	if !waits { // its client has gone, or was told that it is given up
		return
	}
	r.client.front.release(r)
	if r.client.front.traced {
		r.client.trace("answered", "id", string(r.args[2]), "context", r.id, "begins", string(answer[:min(len(answer), 8)]))
	}
	r.client.fill(r.slot, answer)
}

// Served implements core.Origin: the value as the server gave it.
func (r *request) Served(value any) { r.finish(resp.AppendBulk(nil, value.([]byte))) }

// Admitted implements core.Origin; this front asks for no admission-only answers.
func (r *request) Admitted() { r.Failed() }

// Rejected implements core.Origin.
func (r *request) Rejected(after time.Duration) { r.finish(appendBusy(nil, after)) }

func appendBusy(b []byte, after time.Duration) []byte {
	if b = append(b, "-BUSY"...); after > 0 {
		b = strconv.AppendInt(append(b, ' '), int64((after+time.Millisecond-1)/time.Millisecond), 10)
	}
	return append(b, "\r\n"...)
}

// Failed implements core.Origin.
func (r *request) Failed() { r.finish([]byte(failure)) }
