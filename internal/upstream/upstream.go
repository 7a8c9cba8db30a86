// Package upstream holds the connections to the servers of the platform's upstream group: it makes the tries
// that the reducer asks for and reports how each ended. It chooses nothing and sends nothing again.
package upstream

import (
	"bytes"
	"container/list"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/resp"
	"bramblefall/internal/socket"
	"bramblefall/internal/wire"
	"bramblefall/logic"
)

const (
	inlineWriteBytes  = 8 << 10                // an idle connection's send buffer takes this at once
	writeTimeout  = 2 * time.Second        // for a larger one
	idleTimeoutShare  = 0.75                   // of the servers' idle limit: a request must not cross their close
	defaultIdleTimeout = 10 * time.Second       // where the settings name none
	defaultConnectTimeout   = 250 * time.Millisecond // likewise, for a connection to come up
	sweepInterval  = time.Second
	shortageLogInterval    = time.Second
	reuseDelay     = 20 * time.Millisecond  // after an answer: what more a server sends must not meet the next try
	replyStallTimeout  = 250 * time.Millisecond // without a byte in the middle of an answer: the rest will not come
)

// Command is what the origin of a try must offer: its wire form, and whether its client has gone.
type Command interface {
	AppendCommand(b []byte, wait time.Duration) []byte
	ClientGone() bool
}

// Pool holds the connections. One carries one try at a time: answers come in order, so a slow try would hold
// back those behind it, and giving one up closes its connection.
type Pool struct {
	post   func(core.Event)
	now    func() time.Duration // the reducer's clock
	loadFields []logic.LoadField
	connectTimeout     time.Duration // a connection that is not up by then never comes up
	idleTimeout   time.Duration // longest that a connection stands idle
	maxConnections   int           // connections, with those being made

	mu      sync.Mutex
	targets map[logic.ServerID]*target
	tries   map[core.Key]*flight
	open    int
	resting list.List // of *connection: the idle ones of all targets, the one idle longest at the front
	told    time.Time // the last word on descriptors in the log
}

type target struct {
	addr      string
	idle      []*connection // the last used at the end: the others age
	withdrawn bool          // it takes nothing new
}

// state says how far a flight's bytes have come.
type state uint8

const (
	dialing  state = iota // nothing is written
	flushing              // they may or may not have left
	written
)

// flight is a try that is out.
type flight struct {
	try    core.Key
	origin Command
	target *target
	ends   time.Duration // of the wait: what is left of it is told to the server
	until  time.Duration // no byte may leave from then on
	state  state
	on     *connection // that carries it
	done   bool        // its outcome is told
}

type connection struct {
	pool   *Pool
	target *target
	conn   *socket.Conn
	parser resp.Parser // owned by the reading side
	flight *flight     // nil: idle
	closed bool
	since  time.Time     // idle since
	rests  *list.Element // among the pool's idle ones; nil: it is in use
	begun  *time.Timer   // ends the wait for the rest of an answer; nil: none has begun
	heard  time.Time     // the last byte of it
}

// New makes a pool that holds so many connections at most.
func New(set logic.Settings, most int, post func(core.Event), now func() time.Duration) *Pool {
	p := &Pool{post: post, now: now, loadFields: set.ReportFields, maxConnections: most, connectTimeout: set.ConnectTimeout,
		targets: map[logic.ServerID]*target{}, tries: map[core.Key]*flight{}}
	if p.connectTimeout <= 0 {
		p.connectTimeout = defaultConnectTimeout
	}
	idle := set.ConnIdle
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	p.idleTimeout = time.Duration(idleTimeoutShare * float64(idle))
	return p
}

// Run closes connections before the servers would, until the context ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.sweep()
		}
	}
}

func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for oldest := p.oldest(); oldest != nil && time.Since(oldest.since) >= p.idleTimeout; oldest = p.oldest() {
		p.drop(oldest)
	}
}

// oldest is the connection that has been idle longest; nil: none is idle.
func (p *Pool) oldest() *connection {
	if front := p.resting.Front(); front != nil {
		return front.Value.(*connection)
	}
	return nil
}

// SetAddress says where a server listens. A changed address makes the old connections useless.
func (p *Pool) SetAddress(id logic.ServerID, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil && t.addr == addr {
		return
	}
	p.withdraw(id)
	p.targets[id] = &target{addr: addr}
}

// Withdraw ends what is new to a server that drains or is gone: tries that have no byte written never run, and no
// connection serves another. What it has got it may still answer.
func (p *Pool) Withdraw(id logic.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdraw(id)
}

func (p *Pool) withdraw(id logic.ServerID) {
	t := p.targets[id]
	if t == nil {
		return
	}
	delete(p.targets, id)
	t.withdrawn = true
	p.closeIdle(t)
	for _, f := range p.tries {
		if f.target == t && f.state == dialing {
			p.finish(core.Outcome{Status: logic.Full}, f) // as the server itself would turn it away
		}
	}
}

// Try sends a request context on.
func (p *Pool) Try(t core.Try) {
	p.mu.Lock()
	defer p.mu.Unlock()
	origin := t.Origin.(Command)
	f := &flight{try: t.Key, origin: origin, ends: t.Ends, until: t.Until, target: p.targets[t.Server]}
	p.tries[t.Key] = f
	p.start(f)
}

// Abandon ends the wait for a try by closing its connection: the server must not be read for it any more.
func (p *Pool) Abandon(a core.Abandon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.tries[a.Key]; f != nil {
		p.abandon(f, a.Reason)
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(id logic.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		p.closeIdle(t)
	}
}

func (p *Pool) closeIdle(t *target) {
	for len(t.idle) > 0 {
		p.drop(t.idle[0])
	}
}

func (p *Pool) abandon(f *flight, reason logic.Status) {
	if f.state == dialing && reason == logic.Timeout {
		reason = logic.ConnectFailed // it never came up in time: nothing has run
	}
	p.finish(core.Outcome{Status: reason}, f)
}

// finish tells the one outcome of a flight.
func (p *Pool) finish(o core.Outcome, f *flight) {
	if f.done {
		return
	}
	f.done = true
	delete(p.tries, f.try)
	o.Key = f.try
	p.post(o)
	if c := f.on; c != nil { // no answer was read: what may come on this connection belongs to nobody
		c.flight, f.on = nil, nil
		c.conn.Abort() // before the next try of this request may leave: it would be a second copy beside an open one
		p.drop(c)
	}
}

// start finds a connection for a flight, or makes one.
func (p *Pool) start(f *flight) {
	if f.target == nil {
		p.finish(core.Outcome{Status: logic.ConnectFailed}, f)
		return
	}
	if !p.due(f, logic.Late) {
		return
	}
	for n := len(f.target.idle) - 1; n >= 0; n-- {
		c := f.target.idle[n]
		rested := time.Since(c.since)
		if rested < reuseDelay && c.conn.Active() {
			continue
		}
		// Guards against a write that crosses the server's close, which would end as a reset and may have run, and
		// against bytes behind the last answer, which would be taken for this one's.
		if rested >= p.idleTimeout || !c.conn.Drained() {
			p.drop(c)
			continue
		}
		p.wake(c)
		p.write(c, f)
		return
	}
	if p.open >= p.maxConnections && !p.evict() {
		p.short(f, nil)
		return
	}
	p.open++
	crash.Go(func() { p.dial(f) })
}

// short ends a flight for which no descriptor, port or buffer is left. The server is not to blame.
func (p *Pool) short(f *flight, err error) {
	if time.Since(p.told) >= shortageLogInterval {
		p.told = time.Now()
		slog.Warn("no descriptor left for a server's connection", "open", p.open, "err", err)
	}
	p.finish(core.Outcome{Status: logic.Unsent}, f)
}

// evict closes the connection that has been idle longest, to make room for a new one.
func (p *Pool) evict() bool {
	oldest := p.oldest()
	if oldest != nil {
		p.drop(oldest)
	}
	return oldest != nil
}

func (p *Pool) dial(f *flight) {
	conn, err := socket.Dial(f.target.addr, p.connectTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		if socket.IsResourceShortage(err) {
			p.short(f, err)
		} else {
			p.finish(core.Outcome{Status: logic.ConnectFailed}, f)
		}
		return
	}
	c := &connection{pool: p, target: f.target, conn: conn}
	conn.SetWriteTimeout(writeTimeout)
	conn.Serve(c.onRequest, c.onClose)
	if !conn.Active() { // closed at once: nothing was written
		p.finish(core.Outcome{Status: logic.ConnectFailed}, f)
		return
	}
	if f.done || !p.due(f, logic.ConnectFailed) { // given up, or come up too late: the connection serves the next
		p.rest(c)
		return
	}
	p.write(c, f)
}

// due tells whether a flight's bytes may leave now; it ends one of which they may not, by late where it is too late. Guards
// against a repeat that no server drops any more, and against a request that nobody waits for: the reducer may not have said
// so yet, and its client's end may lie unread or in the inbox behind much else.
func (p *Pool) due(f *flight, late logic.Status) bool {
	if p.now() >= f.until {
		p.finish(core.Outcome{Status: late}, f)
		return false
	}
	if f.origin.ClientGone() {
		p.post(core.ClientGone{ID: f.try.ID}) // first: the module must not try it again
		p.finish(core.Outcome{Status: logic.Cancelled}, f)
		return false
	}
	return true
}

// write sends a flight's bytes, which are due. An idle connection's send buffer is empty, since the server has answered all
// that was in it, so a small flush never waits; a larger one has a goroutine of its own.
//
// The command is worded here: a connection that came up late has taken from the time that is told to the server.
func (p *Pool) write(c *connection, f *flight) {
	c.flight, f.state = f, flushing
	f.on = c
	text := f.origin.AppendCommand(nil, f.ends-p.now())
	if len(text) <= inlineWriteBytes {
		p.flushed(c, f, c.conn.Write(text))
		return
	}
	c.conn.SetWriteTimeout(min(writeTimeout, max(f.until-p.now(), time.Millisecond)))
	crash.Go(func() {
		err := c.conn.Write(text)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.flushed(c, f, err)
	})
}

// flushed learns whether the last byte has left. Only then may the request have run.
func (p *Pool) flushed(c *connection, f *flight, err error) {
	if err != nil {
		o := core.Outcome{Status: logic.ConnectFailed}
		if socket.MayBeWritten(err) {
			o.Status = logic.Reset
		}
		p.finish(o, f)
		p.drop(c)
		return
	}
	f.state = written
	switch {
	case c.closed:
		p.finish(core.Outcome{Status: logic.Reset}, f)
	case f.done && c.flight == nil && f.on == nil: // answered before the flush came back
		p.rest(c)
	}
}

// rest puts a connection among the idle ones.
func (p *Pool) rest(c *connection) {
	if c.closed {
		return
	}
	if c.target.withdrawn {
		p.drop(c)
		return
	}
	c.since = time.Now()
	c.target.idle = append(c.target.idle, c)
	c.rests = p.resting.PushBack(c)
}

// wake takes a connection from the idle ones, if it is among them.
func (p *Pool) wake(c *connection) {
	if c.rests == nil {
		return
	}
	p.resting.Remove(c.rests)
	c.rests = nil
	at := slices.Index(c.target.idle, c)
	c.target.idle = slices.Delete(c.target.idle, at, at+1)
}

// drop closes a connection and forgets it.
func (p *Pool) drop(c *connection) {
	p.wake(c)
	if !c.closed {
		c.closed = true
		c.whole()
		p.open--
		crash.Go(c.conn.Discard) // it waits for a write under way
	}
}

// onClose is told once the server has ended the connection.
func (c *connection) onClose() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	f := c.flight
	p.drop(c)
	if f != nil && f.state == written { // while flushing, the flush tells how far the bytes came
		c.flight = nil
		p.finish(core.Outcome{Status: logic.Reset}, f)
	}
}

// onRequest reads what a server sends. It holds the lock from before the first byte is taken: what has been read
// and not yet understood must not meet a flight that is written meanwhile.
func (c *connection) onRequest() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.conn.Take(c.parser.Feed) != nil {
		return
	}
	reply, ok, err := c.parser.Reply()
	f := c.flight
	if f != nil && err == nil && !ok {
		c.heard = time.Now()
		c.wait(replyStallTimeout)
		return
	}
	c.whole()
	if f == nil || err != nil { // an answer to nothing, or garbage: it fails this call alone
		c.spoilt()
		return
	}
	clean := c.parser.Buffered() == 0
	c.flight, f.on = nil, nil
	p.finish(p.read(reply), f)
	if !clean {
		p.drop(c) // bytes that nobody asked for
	} else if f.state == written {
		p.rest(c)
	}
}

// wait bounds the time without a byte of the rest of an answer. Guards against a length that does not fit and a line that
// does not end: the server has nothing more to say, and the try would wait for its end. A long answer on a slow
// connection may go on for as long as the try waits, and the parser bounds its size.
func (c *connection) wait(d time.Duration) {
	if c.begun != nil {
		return
	}
	var begun *time.Timer
	begun = crash.AfterFunc(d, func() {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		if c.begun != begun {
			return
		}
		c.begun = nil
		if left := replyStallTimeout - time.Since(c.heard); left > 0 {
			c.wait(left)
		} else {
			c.spoilt()
		}
	})
	c.begun = begun
}

// whole notes that no answer is in the middle.
func (c *connection) whole() {
	if c.begun != nil {
		c.begun.Stop()
		c.begun = nil
	}
}

// spoilt ends a connection that brought what nobody can use, and with it the flight that waited for an answer.
func (c *connection) spoilt() {
	if f := c.flight; f != nil {
		c.pool.finish(core.Outcome{Status: logic.Spoilt}, f)
	}
	c.pool.drop(c)
}

// read turns a server's answer into an outcome.
func (p *Pool) read(r resp.Reply) core.Outcome {
	switch {
	case r.Kind == '-':
		return p.failure(r.Text)
	case r.Kind == '*' && len(r.Elems) == 3 && r.Elems[0].Kind == '$' && !r.Elems[0].Null:
		return core.Outcome{Status: logic.OK, Value: r.Elems[0].Text, Load: wire.Load(string(r.Elems[2].Text), p.loadFields)}
	}
	return core.Outcome{Status: logic.Spoilt} // no form that a value has: it may be anything
}

func (p *Pool) failure(text []byte) core.Outcome {
	o := core.Outcome{Status: logic.Error}
	words := text
	if at := bytes.LastIndexByte(text, ' '); at >= 0 && bytes.IndexByte(text[at:], '=') >= 0 {
		words = text[:at]
		o.Load = wire.Load(string(text[at+1:]), p.loadFields)
	}
	switch {
	case string(words) == "BUSY": // nothing else proves that it never ran: spoilt answers may begin like this
		o.Status = logic.Full
	case bytes.HasPrefix(text, []byte("SYNTAX")):
		slog.Error("a server could not read a command of ours", "answer", string(text))
	}
	return o
}
