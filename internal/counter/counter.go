// Package counter is a client of the quota counter's line protocol.
package counter

import (
	"bytes"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

const (
	dialTimeout      = 250 * time.Millisecond
	pingInterval     = 2 * time.Second        // the counter closes connections that are idle for longer
	stallTimeout     = 300 * time.Millisecond // without a byte while answers are due: the connection is considered dead
	maintainInterval = 50 * time.Millisecond
	redialInterval   = 200 * time.Millisecond
	maxPendingCalls  = 4096 // per connection, and while waiting for one
	maxAnswerBytes   = 64   // of one answer line
)

// Client calls one counter over one connection. Answers arrive in the order of the calls, and the calls for one name must
// be sent in order, too.
type Client struct {
	set *Set

	mu       sync.Mutex
	onDemand bool // one of several counters: connected only while it is called
	lastCall time.Time
	addr     string      // "": no address is known
	current  *connection // new calls are sent on it
	previous *connection // to an earlier address, kept only for its pending answers
	dialing  bool
	lastDial time.Time
	queued   []core.Count // calls that wait for a connection
}

// connection is a connection to the counter. Client.mu guards its fields.
type connection struct {
	client      *Client
	addr        string
	sock        *socket.Conn
	outbox      *socket.Outbox
	readBuf     []byte
	pending     []call
	closed      bool
	established time.Time
	lastWrite   time.Time
	lastRead    time.Time
}

type call struct {
	id     uint64 // 0: a ping
	sentAt time.Time
}

// SetAddress changes the counter's address. The connection to the old address is used until the new one is established, and
// is then kept for its pending answers, so that no call is lost to the change.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		c.addr, c.lastDial = addr, time.Time{}
		c.maintain()
	}
}

// maintain closes connections that are stalled or no longer needed, pings the current one before the counter would close
// it as idle, and dials if there is none to the current address.
func (c *Client) maintain() {
	for _, conn := range []*connection{c.previous, c.current} {
		if conn == nil {
			continue
		}
		if conn.isStalled() {
			slog.Warn("no bytes from the counter while answers are due, reconnecting")
			conn.disconnect()
		} else if c.onDemand && len(conn.pending) == 0 && time.Since(c.lastCall) > c.set.currentIdleTimeout() {
			conn.disconnect()
		} else if conn == c.current && time.Since(conn.lastWrite) > pingInterval {
			conn.send([]byte("ping\r\n"), call{sentAt: time.Now()})
		}
	}
	if c.addr != "" && (c.current == nil || c.current.addr != c.addr) && !c.dialing && time.Since(c.lastDial) > redialInterval &&
		(!c.onDemand || len(c.queued) > 0) {
		if c.set.open.Add(1) > int64(c.set.maxOpen) {
			c.set.open.Add(-1)
			c.failQueued()
			return
		}
		c.dialing, c.lastDial = true, time.Now()
		addr := c.addr
		crash.Go(func() { c.dial(addr) })
	}
}

// isStalled reports whether answers are due and nothing has come for stallTimeout. Bytes that this process has had no time to
// read show that the counter is not to blame.
func (conn *connection) isStalled() bool {
	if len(conn.pending) == 0 {
		return false
	}
	silent := time.Since(conn.pending[0].sentAt) > stallTimeout && time.Since(conn.lastRead) > stallTimeout
	return silent && conn.sock.Drained()
}

// Count sends a call. Without a connection the call is queued until one is established; it is not sent once the reducer
// no longer waits for it.
func (c *Client) Count(e core.Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCall = time.Now()
	if c.current != nil {
		c.current.sendAdd(e)
		return
	}
	if c.addr == "" || len(c.queued) >= maxPendingCalls { // a counter in the settings may have no address
		c.fail(e.Call, logic.ConnectFailed)
		return
	}
	c.queued = append(c.queued, e)
	c.maintain()
}

// failQueued fails the calls that wait for a connection.
func (c *Client) failQueued() {
	queued := c.queued
	c.queued = nil
	for _, e := range queued {
		c.fail(e.Call, logic.ConnectFailed)
	}
}

// stop closes the connections and fails all calls: the counter is no longer in use.
func (c *Client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = ""
	c.failQueued()
	for _, conn := range []*connection{c.previous, c.current} {
		if conn != nil {
			conn.disconnect()
		}
	}
}

func (c *Client) fail(id uint64, s logic.Status) {
	if id != 0 {
		c.set.post(core.CountResult{Call: id, Status: s})
	}
}

func (c *Client) dial(addr string) {
	sock, err := socket.Dial(addr, dialTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = false
	if addr != c.addr { // the address changed during the dial
		c.set.open.Add(-1)
		if err == nil {
			crash.Go(sock.Close)
		}
		c.maintain()
		return
	}
	if err != nil {
		c.set.open.Add(-1)
		slog.Info("cannot connect to the counter", "addr", addr, "err", err)
		c.failQueued()
		return
	}
	queued := c.queued
	c.queued = nil
	slog.Info("connected to the counter", "addr", addr)
	current := &connection{client: c, addr: addr, sock: sock, outbox: socket.NewOutbox(sock, nil, nil), established: time.Now(), lastWrite: time.Now()}
	c.setCurrent(current)
	sock.Serve(socket.Reader{Lock: &c.mu, Handle: current.handleBytes, Ended: current.onClosed, Monitor: c.set.Monitor})
	for _, e := range queued {
		current.sendAdd(e)
	}
}

// setCurrent makes a new connection the current one. The former one is kept as long as answers are due on it.
func (c *Client) setCurrent(conn *connection) {
	older, former := c.previous, c.current
	c.previous, c.current = former, conn
	if older != nil {
		older.disconnect()
	}
	if former != nil && len(former.pending) == 0 {
		former.disconnect()
	}
}

// sendAdd sends a call, unless its deadline has passed: the reducer no longer waits for it, and it must not be counted
// after that.
func (conn *connection) sendAdd(e core.Count) {
	if conn.client.set.now() >= e.Deadline {
		return
	}
	if len(conn.pending) >= maxPendingCalls {
		conn.client.fail(e.Call, logic.ConnectFailed)
		return
	}
	b := strconv.AppendUint([]byte("add "), e.Name, 16)
	b = strconv.AppendFloat(append(b, ' '), e.Amount, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ' '), max(1, e.TTL.Milliseconds()), 10)
	conn.send(append(b, "\r\n"...), call{e.Call, time.Now()})
}

func (conn *connection) send(line []byte, c call) {
	conn.lastWrite = c.sentAt
	conn.pending = append(conn.pending, c)
	if conn.outbox.Write(line) != nil {
		conn.disconnect()
	}
}

// disconnect ends the connection and fails its pending calls with logic.Reset: the counter may have added them, or may yet do so.
func (conn *connection) disconnect() {
	if conn.closed {
		return
	}
	conn.closed = true
	conn.client.set.open.Add(-1)
	if time.Since(conn.established) > redialInterval { // it was stable: dial again without waiting
		conn.client.lastDial = time.Time{}
	}
	switch conn {
	case conn.client.current:
		conn.client.current = nil
	case conn.client.previous:
		conn.client.previous = nil
	}
	for _, s := range conn.pending {
		conn.client.fail(s.id, logic.Reset)
	}
	conn.pending = nil
	crash.Go(conn.sock.Discard)
	conn.client.maintain()
}

func (conn *connection) onClosed() {
	conn.client.mu.Lock()
	defer conn.client.mu.Unlock()
	conn.disconnect()
}

// handleBytes handles what the counter sends. It is called with Client.mu held.
func (conn *connection) handleBytes(b []byte) {
	conn.readBuf = append(conn.readBuf, b...)
	conn.lastRead = time.Now()
	for !conn.closed {
		line, rest, ok := bytes.Cut(conn.readBuf, []byte("\r\n"))
		if !ok {
			break
		}
		conn.handleAnswer(line)
		conn.readBuf = conn.readBuf[:copy(conn.readBuf, rest)]
	}
	if conn == conn.client.previous && len(conn.pending) == 0 {
		conn.disconnect()
	}
	if !isAnswerPrefix(conn.readBuf) {
		conn.disconnect()
	}
}

// isAnswerPrefix reports whether b may be the start of an answer. It keeps a peer that sends something else, without any
// line end, from filling the buffer.
func isAnswerPrefix(b []byte) bool {
	if text, ok := bytes.CutPrefix(b, []byte("ok ")); ok {
		return len(b) <= maxAnswerBytes && len(bytes.Trim(text, "0123456789+-.eE\r")) == 0
	}
	for _, word := range []string{"ok ", "busy\r", "error\r", "pong\r"} {
		if n := min(len(b), len(word)); string(b[:n]) == word[:n] && len(b) <= len(word) {
			return true
		}
	}
	return false
}

// handleAnswer handles the answer to the oldest pending call. A line that cannot be parsed closes the connection: the call
// may have been added, and what follows cannot be matched to a call.
func (conn *connection) handleAnswer(line []byte) {
	if len(conn.pending) == 0 {
		conn.disconnect() // no call is pending: answers can no longer be matched to calls
		return
	}
	s := conn.pending[0]
	conn.pending = conn.pending[1:]
	if text, ok := bytes.CutPrefix(line, []byte("ok ")); ok {
		if total, err := strconv.ParseFloat(string(text), 64); err == nil && !math.IsNaN(total) && !math.IsInf(total, 0) {
			if s.id != 0 {
				conn.client.set.post(core.CountResult{Call: s.id, Status: logic.OK, Total: total})
			}
			return
		}
	}
	switch string(line) {
	case "busy":
		conn.client.fail(s.id, logic.Full)
	case "error":
		conn.client.fail(s.id, logic.Error)
	case "pong": // answers a ping, whose id is 0; it is no answer to a call
		conn.client.fail(s.id, logic.Reset)
	default:
		conn.client.fail(s.id, logic.Reset)
		slog.Warn("cannot parse the counter's answer, want ok TOTAL, busy, error or pong; reconnecting", "bytes", len(line))
		conn.disconnect()
	}
}
