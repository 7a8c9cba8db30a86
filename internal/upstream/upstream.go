// Package upstream manages connections to the servers of the platform's upstream group. It makes the tries that the reducer asks
// for and reports how each ended. It does not choose servers and does not retry.
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
	"bramblefall/internal/memory"
	"bramblefall/internal/resp"
	"bramblefall/internal/socket"
	"bramblefall/internal/wire"
	"bramblefall/logic"
)

const (
	inlineWriteBytes      = 8 << 10                // bytes; an idle connection's send buffer takes this many without blocking
	writeTimeout          = 2 * time.Second        // for a command over inlineWriteBytes
	idleTimeoutShare      = 0.75                   // of the servers' idle timeout: a request must not cross the server's close
	defaultIdleTimeout    = 10 * time.Second       // of the servers, where the settings do not set it
	defaultConnectTimeout = 250 * time.Millisecond // where the settings do not set it
	sweepInterval         = time.Second
	shortageLogInterval   = time.Second
	reuseDelay            = 20 * time.Millisecond  // after an answer, so that surplus bytes from the server are not taken for the next try's answer
	replyStallTimeout     = 250 * time.Millisecond // without a byte in the middle of an answer: the rest will not come
	clientCheckInterval   = 25 * time.Millisecond  // between two looks at whether a try's client is there; longer than reuseDelay
	maxClientWait         = 200 * time.Millisecond // for a look that tells
	unreservedBytes       = 4 << 10                // of an incomplete answer, held without a reservation
	maxReplyBytes         = 96 << 10
)

// Command is implemented by the origin of a try: it encodes the command and reports whether its client is still there.
type Command interface {
	AppendCommand(b []byte, wait time.Duration) []byte
	Client() socket.PeerState
}

// Pool manages the connections. Each carries one try at a time: answers come in order, so a slow try would delay those behind
// it, and abandoning one closes its connection.
type Pool struct {
	post           func(core.Event)
	now            func() time.Duration // the reducer's clock
	loadFields     []logic.LoadField
	connectTimeout time.Duration // dial timeout: a connection that is not up by then will not come up
	idleTimeout    time.Duration // longest time that a connection stays idle
	maxConnections int           // including those being dialed
	memory         Memory

	mu               sync.Mutex
	targets          map[logic.ServerID]*target
	tries            map[core.Key]*inFlight
	openConnections  int
	idleConnections  list.List // of *connection: the idle ones of all targets, longest idle first
	shortageLoggedAt time.Time // when a resource shortage was last logged
}

type target struct {
	addr      string
	idle      []*connection // most recently used last, so that the others age and expire
	withdrawn bool          // no new try may use it
}

// sendState is how much of a try's command has been sent.
type sendState uint8

const (
	dialing  sendState = iota // no byte has been written
	flushing                  // some bytes may have been sent
	written
)

// inFlight is a try that has not ended.
type inFlight struct {
	key       core.Key
	origin    Command
	target    *target
	waitEnds  time.Duration // end of the wait for an answer; the server is told the remaining time
	sendUntil time.Duration // no byte may be sent from then on
	sendState sendState
	carrier   *connection // carries the try from the start of its write; nil before that and after its end
	done      bool        // its outcome has been reported

	clientUnknownAt time.Duration // since when it is not known whether its client is there; 0 while it is
}

type connection struct {
	pool        *Pool
	target      *target
	conn        *socket.Conn
	parser      resp.Parser // used only by the reader
	reserved    int64       // bytes reserved for an incomplete answer
	awaiting    bool        // the rest of an answer is not read yet, for want of memory
	inFlight    *inFlight   // the try it carries; nil if none
	closed      bool
	idleSince   time.Time     // start of the current idle period
	idleElement *list.Element // position in the pool's idleConnections; nil if in use
	stallTimer  *time.Timer   // bounds the wait for the rest of a partial answer; nil if none has begun
	lastByteAt  time.Time     // when the last byte of the partial answer came
}

// Memory is what bounds the bytes that the pool holds.
type Memory struct {
	ServerData *memory.Budget // answers of which more than unreservedBytes have come, but not all
	Monitor    *memory.Monitor
}

// New returns a pool that holds at most maxConnections connections. now is the reducer's clock.
func New(set logic.Settings, maxConnections int, mem Memory, post func(core.Event), now func() time.Duration) *Pool {
	p := &Pool{post: post, memory: mem, now: now, loadFields: set.ReportFields, maxConnections: maxConnections, connectTimeout: set.ConnectTimeout,
		targets: map[logic.ServerID]*target{}, tries: map[core.Key]*inFlight{}}
	if p.connectTimeout <= 0 {
		p.connectTimeout = defaultConnectTimeout
	}
	idleTimeout := set.ConnIdle
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	p.idleTimeout = time.Duration(idleTimeoutShare * float64(idleTimeout))
	return p
}

// Run closes idle connections before the servers would, until ctx ends.
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
	for longestIdle := p.longestIdle(); longestIdle != nil && time.Since(longestIdle.idleSince) >= p.idleTimeout; longestIdle = p.longestIdle() {
		p.drop(longestIdle)
	}
}

// longestIdle returns the connection that has been idle longest, or nil if none is idle.
func (p *Pool) longestIdle() *connection {
	if front := p.idleConnections.Front(); front != nil {
		return front.Value.(*connection)
	}
	return nil
}

// SetAddress sets a server's address. A changed address makes its existing connections useless, so they are withdrawn.
func (p *Pool) SetAddress(id logic.ServerID, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil && t.addr == addr {
		return
	}
	p.withdraw(id)
	p.targets[id] = &target{addr: addr}
}

// Withdraw stops sending to a server that drains or is gone: tries with no byte written end without running, and no connection
// serves another try. Tries already sent may still be answered.
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
		if f.target == t && f.sendState == dialing {
			p.finish(core.Outcome{Status: logic.Full}, f) // the status that the server's own refusal would give
		}
	}
}

// Try starts a try of a request context.
func (p *Pool) Try(t core.Try) {
	p.mu.Lock()
	defer p.mu.Unlock()
	origin := t.Origin.(Command)
	f := &inFlight{key: t.Key, origin: origin, waitEnds: t.Deadline, sendUntil: t.SendUntil, target: p.targets[t.Server]}
	p.tries[t.Key] = f
	p.start(f)
}

// Abandon ends the wait for a try by closing its connection: nothing more may be read from the server for it.
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

func (p *Pool) abandon(f *inFlight, reason logic.Status) {
	if f.sendState == dialing && reason == logic.Timeout {
		reason = logic.ConnectFailed // the connection was not up in time: nothing has run
	}
	p.finish(core.Outcome{Status: reason}, f)
}

// finish reports the outcome of a try; a try has exactly one.
func (p *Pool) finish(o core.Outcome, f *inFlight) {
	if f.done {
		return
	}
	f.done = true
	delete(p.tries, f.key)
	o.Key = f.key
	p.post(o)
	if c := f.carrier; c != nil { // no answer was read, so later bytes on this connection belong to no try
		c.inFlight, f.carrier = nil, nil
		c.conn.Abort() // at once: the next try of this request must not be sent while a copy is open
		p.drop(c)
	}
}

// start sends a try on an idle connection, or dials one for it.
func (p *Pool) start(f *inFlight) {
	if f.target == nil {
		p.finish(core.Outcome{Status: logic.ConnectFailed}, f)
		return
	}
	if !p.maySend(f, logic.ExpiredUnsent) {
		return
	}
	for n := len(f.target.idle) - 1; n >= 0; n-- {
		c := f.target.idle[n]
		idleFor := time.Since(c.idleSince)
		if idleFor < reuseDelay && c.conn.Active() {
			continue
		}
		// Guards against a write that crosses the server's close, which would end as a reset although the request may have run, and
		// against surplus bytes behind the last answer, which would be taken for this try's answer.
		if idleFor >= p.idleTimeout || !c.conn.Drained() {
			p.drop(c)
			continue
		}
		p.removeIdle(c)
		p.write(c, f)
		return
	}
	if p.openConnections >= p.maxConnections && !p.evictIdle() {
		p.failForShortage(f, nil)
		return
	}
	p.openConnections++
	crash.Go(func() { p.dial(f) })
}

// failForShortage ends a try for which no descriptor, port or buffer is left. The server is not to blame.
func (p *Pool) failForShortage(f *inFlight, err error) {
	if time.Since(p.shortageLoggedAt) >= shortageLogInterval {
		p.shortageLoggedAt = time.Now()
		slog.Warn("no descriptor left for a server's connection", "open", p.openConnections, "err", err)
	}
	p.finish(core.Outcome{Status: logic.LocalShortage}, f)
}

// evictIdle closes the connection that has been idle longest, to make room for a new one. It reports whether there was one.
func (p *Pool) evictIdle() bool {
	longestIdle := p.longestIdle()
	if longestIdle != nil {
		p.drop(longestIdle)
	}
	return longestIdle != nil
}

func (p *Pool) dial(f *inFlight) {
	conn, err := socket.Dial(f.target.addr, p.connectTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.openConnections--
		if socket.IsResourceShortage(err) {
			p.failForShortage(f, err)
		} else {
			p.finish(core.Outcome{Status: logic.ConnectFailed}, f)
		}
		return
	}
	c := &connection{pool: p, target: f.target, conn: conn}
	conn.SetWriteTimeout(writeTimeout)
	conn.Serve(socket.Reader{Lock: &p.mu, Await: c.awaitMemory, Handle: c.handleBytes, Ended: c.onClose, Monitor: p.memory.Monitor})
	if !conn.Active() { // closed at once: nothing was written
		p.finish(core.Outcome{Status: logic.ConnectFailed}, f)
		return
	}
	if f.done || !p.maySend(f, logic.ConnectFailed) { // abandoned, or connected too late: the connection serves the next try
		p.putIdle(c)
		return
	}
	p.write(c, f)
}

// maySend reports whether a try's command may still be sent, and ends the try if not, with status late if its time is over. Guards
// against a repeat that servers no longer deduplicate, and against a request that nobody waits for: the reducer may not have
// reported that yet, since the client's close may be unread or queued in the inbox behind other events.
func (p *Pool) maySend(f *inFlight, late logic.Status) bool {
	if p.now() >= f.sendUntil {
		p.finish(core.Outcome{Status: late}, f)
		return false
	}
	switch f.origin.Client() {
	case socket.PeerGone:
		p.post(core.ClientGone{ID: f.key.ID}) // posted first, so that the module does not retry the request
		p.finish(core.Outcome{Status: logic.Cancelled}, f)
		return false
	case socket.PeerUnknown:
		p.awaitClient(f)
		return false
	}
	return true
}

// awaitClient starts a try again a little later, when more has been read of what its client sends. If it is still not known then
// whether the client is there, the try ends, and its request with it: the client sends more than is read.
func (p *Pool) awaitClient(f *inFlight) {
	if f.clientUnknownAt == 0 {
		f.clientUnknownAt = p.now()
	}
	if p.now()-f.clientUnknownAt >= maxClientWait {
		p.finish(core.Outcome{Status: logic.NotAttempted}, f)
		return
	}
	crash.AfterFunc(clientCheckInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !f.done {
			p.start(f)
		}
	})
}

// write sends a try's command, after maySend. An idle connection's send buffer is empty, since the server has answered everything
// that was in it, so a small write never blocks; a larger one gets its own goroutine.
//
// The command is encoded only now: time spent on a slow connect reduces the wait that the server is told.
func (p *Pool) write(c *connection, f *inFlight) {
	c.inFlight, f.sendState = f, flushing
	f.carrier = c
	text := f.origin.AppendCommand(nil, f.waitEnds-p.now())
	if len(text) <= inlineWriteBytes {
		p.onFlushed(c, f, c.conn.Write(text))
		return
	}
	c.conn.SetWriteTimeout(min(writeTimeout, max(f.sendUntil-p.now(), time.Millisecond)))
	crash.Go(func() {
		err := c.conn.Write(text)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.onFlushed(c, f, err)
	})
}

// onFlushed handles the result of a write. Only if the last byte was sent may the request have run.
func (p *Pool) onFlushed(c *connection, f *inFlight, err error) {
	if err != nil {
		p.finish(core.Outcome{Status: logic.ConnectFailed}, f)
		p.drop(c)
		return
	}
	f.sendState = written
	switch {
	case c.closed:
		p.finish(core.Outcome{Status: logic.Reset}, f)
	case f.done && c.inFlight == nil && f.carrier == nil: // answered before the write returned
		p.putIdle(c)
	}
}

// putIdle adds a connection to the idle ones, unless it is closed or its target is withdrawn.
func (p *Pool) putIdle(c *connection) {
	if c.closed {
		return
	}
	if c.target.withdrawn {
		p.drop(c)
		return
	}
	c.idleSince = time.Now()
	c.target.idle = append(c.target.idle, c)
	c.idleElement = p.idleConnections.PushBack(c)
}

// removeIdle removes a connection from the idle ones, if it is among them.
func (p *Pool) removeIdle(c *connection) {
	if c.idleElement == nil {
		return
	}
	p.idleConnections.Remove(c.idleElement)
	c.idleElement = nil
	at := slices.Index(c.target.idle, c)
	c.target.idle = slices.Delete(c.target.idle, at, at+1)
}

// drop closes a connection and removes it from the pool.
func (p *Pool) drop(c *connection) {
	p.removeIdle(c)
	if !c.closed {
		c.closed = true
		c.stopStallTimer()
		c.release()
		p.openConnections--
		crash.Go(c.conn.Discard) // it waits for a write in progress
	}
}

// onClose is called once the server has closed the connection.
func (c *connection) onClose() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	f := c.inFlight
	p.drop(c)
	if f != nil && f.sendState == written { // while flushing, onFlushed reports how far the bytes came
		c.inFlight = nil
		p.finish(core.Outcome{Status: logic.Reset}, f)
	}
}

// awaitMemory blocks the reader until there is memory for the rest of an incomplete answer, or until the connection is closed: the
// try's own time ends it.
func (c *connection) awaitMemory() int {
	c.pool.memory.Monitor.AwaitRelief(memory.MaxReliefPause)
	need := int64(c.parser.Need())
	if need <= unreservedBytes {
		return 0
	}
	p := c.pool
	p.mu.Lock()
	enough := need <= c.reserved
	if !enough && c.reserved > 0 {
		c.release()
		need = maxReplyBytes
	}
	c.awaiting = !enough
	p.mu.Unlock()
	if enough {
		return 0
	}
	granted := p.memory.ServerData.Acquire(need, 0, c.conn.Done(), nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.awaiting, c.lastByteAt = false, time.Now()
	if granted {
		c.reserved = need
	}
	if c.closed {
		c.release()
	}
	return 0
}

// release gives back what is reserved for an incomplete answer.
func (c *connection) release() {
	if c.reserved > 0 {
		c.pool.memory.ServerData.Add(-c.reserved)
		c.reserved = 0
	}
}

// handleBytes handles what a server sends. The lock is held from before the first byte is read: bytes that are read but not yet
// parsed must not be taken for the answer to a try that is written meanwhile.
func (c *connection) handleBytes(b []byte) {
	p := c.pool
	if c.closed {
		return
	}
	c.parser.Feed(b)
	reply, ok, err := c.parser.Reply()
	f := c.inFlight
	if f != nil && err == nil && !ok {
		c.lastByteAt = time.Now()
		c.startStallTimer(replyStallTimeout)
		return
	}
	c.stopStallTimer()
	c.release()
	if f == nil || err != nil { // unsolicited or malformed: only this call fails
		c.failGarbled()
		return
	}
	clean := c.parser.Buffered() == 0
	c.inFlight, f.carrier = nil, nil
	p.finish(p.parseReply(reply), f)
	if !clean {
		p.drop(c) // surplus bytes that answer no command
	} else if f.sendState == written {
		p.putIdle(c)
	}
}

// startStallTimer bounds the time without a byte in the middle of an answer. Guards against a wrong length and an unterminated
// line: the server has nothing more to send, and the try would wait until its own end. A long answer on a slow connection may
// take as long as the try waits; the parser bounds its size.
func (c *connection) startStallTimer(d time.Duration) {
	if c.stallTimer != nil {
		return
	}
	var stallTimer *time.Timer
	stallTimer = crash.AfterFunc(d, func() {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		if c.stallTimer != stallTimer {
			return
		}
		c.stallTimer = nil
		if c.awaiting || !c.conn.Drained() { // the rest waits for this side to read it
			c.lastByteAt = time.Now()
		}
		if left := replyStallTimeout - time.Since(c.lastByteAt); left > 0 {
			c.startStallTimer(left)
		} else {
			c.failGarbled()
		}
	})
	c.stallTimer = stallTimer
}

// stopStallTimer ends the wait for the rest of a partial answer, if one has begun.
func (c *connection) stopStallTimer() {
	if c.stallTimer != nil {
		c.stallTimer.Stop()
		c.stallTimer = nil
	}
}

// failGarbled closes a connection that sent something unusable and fails the try that waited for an answer on it.
func (c *connection) failGarbled() {
	if f := c.inFlight; f != nil {
		c.pool.finish(core.Outcome{Status: logic.InvalidAnswer}, f)
	}
	c.pool.drop(c)
}

// parseReply converts a server's reply to an outcome.
func (p *Pool) parseReply(r resp.Reply) core.Outcome {
	switch {
	case r.Kind == '-':
		return p.parseError(r.Text)
	case r.Kind == '*' && len(r.Elems) == 3 && r.Elems[0].Kind == '$' && !r.Elems[0].Null:
		return core.Outcome{Status: logic.OK, Value: r.Elems[0].Text, Load: wire.ParseLoadReport(string(r.Elems[2].Text), p.loadFields)}
	}
	return core.Outcome{Status: logic.InvalidAnswer} // not the form of a value: it may be anything
}

func (p *Pool) parseError(text []byte) core.Outcome {
	o := core.Outcome{Status: logic.Error}
	words := text
	if at := bytes.LastIndexByte(text, ' '); at >= 0 && bytes.IndexByte(text[at:], '=') >= 0 {
		words = text[:at]
		o.Load = wire.ParseLoadReport(string(text[at+1:]), p.loadFields)
	}
	switch {
	case string(words) == "BUSY": // only exactly BUSY proves that the request never ran: garbled answers may start with it
		o.Status = logic.Full
	case bytes.HasPrefix(text, []byte("SYNTAX")):
		slog.Error("a server reported a syntax error in a command of the limiter", "answer", string(text))
	}
	return o
}
