// Package counter speaks the lines of the quota counter.
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
	dialLimit   = 250 * time.Millisecond
	pingEvery   = 2 * time.Second        // the counter closes a connection that is idle for longer
	stuckAfter  = 300 * time.Millisecond // without a byte while answers are due: this connection brings none any more
	tendEvery   = 50 * time.Millisecond
	redialEvery = 200 * time.Millisecond
	mostCalls   = 4096 // on their way
	mostLine    = 64   // an answer's
)

// Client makes the calls to one counter over one connection: answers come in the calls' order, and the calls for one name
// must, too.
type Client struct {
	set *Set

	mu      sync.Mutex
	lazy    bool // it is one of several: connected while it is called
	called  time.Time
	addr    string // "": there is none
	link    *link  // takes the calls
	old     *link  // to an address that was left: it only brings the answers that are due
	dialing bool
	dialed  time.Time
	waiting []core.Count // for the connection
}

// link is one connection to the counter.
type link struct {
	client *Client
	addr   string
	conn   *socket.Conn
	out    *socket.Outbox
	buf    []byte // owned by the reading side
	sent   []call
	ended  bool
	made   time.Time
	wrote  time.Time
	heard  time.Time
}

type call struct {
	id   uint64 // 0: a ping
	made time.Time
}

// Move makes the calls at another address from now on. The connection to the old one is used until the new one
// is up, and then kept for the answers that are due on it: no call is lost to the change.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		c.addr, c.dialed = addr, time.Time{}
		c.tend()
	}
}

// tend leaves a connection that has gone silent, dials, and keeps an idle one from being closed.
func (c *Client) tend() {
	for _, l := range []*link{c.old, c.link} {
		if l == nil {
			continue
		}
		if len(l.sent) > 0 && time.Since(l.sent[0].made) > stuckAfter && time.Since(l.heard) > stuckAfter {
			slog.Warn("the counter is silent, connecting anew")
			l.end()
		} else if c.lazy && len(l.sent) == 0 && time.Since(c.called) > c.set.rests() {
			l.end()
		} else if l == c.link && time.Since(l.wrote) > pingEvery {
			l.write([]byte("ping\r\n"), call{made: time.Now()})
		}
	}
	if c.addr != "" && (c.link == nil || c.link.addr != c.addr) && !c.dialing && time.Since(c.dialed) > redialEvery &&
		(!c.lazy || len(c.waiting) > 0) {
		if c.set.open.Add(1) > int64(c.set.most) {
			c.set.open.Add(-1)
			c.drop()
			return
		}
		c.dialing, c.dialed = true, time.Now()
		addr := c.addr
		crash.Go(func() { c.dial(addr) })
	}
}

// Count makes a call. Without a connection it waits for one, for as long as the reducer does.
func (c *Client) Count(e core.Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.called = time.Now()
	if c.link != nil {
		c.link.add(e)
		return
	}
	if c.addr == "" || len(c.waiting) >= mostCalls { // the settings may promise a counter that has no address
		c.fail(e.Call, logic.ConnectFailed)
		return
	}
	c.waiting = append(c.waiting, e)
	c.tend()
}

// drop fails what waits for a connection.
func (c *Client) drop() {
	waiting := c.waiting
	c.waiting = nil
	for _, e := range waiting {
		c.fail(e.Call, logic.ConnectFailed)
	}
}

// leave ends the connections: the counter is not called any more.
func (c *Client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = ""
	c.drop()
	for _, l := range []*link{c.old, c.link} {
		if l != nil {
			l.end()
		}
	}
}

func (c *Client) fail(id uint64, s logic.Status) {
	if id != 0 {
		c.set.post(core.CountResult{Call: id, Status: s})
	}
}

func (c *Client) dial(addr string) {
	conn, err := socket.Dial(addr, dialLimit)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = false
	if addr != c.addr { // moved meanwhile
		c.set.open.Add(-1)
		if err == nil {
			crash.Go(conn.Close)
		}
		c.tend()
		return
	}
	if err != nil {
		c.set.open.Add(-1)
		slog.Info("cannot connect to the counter", "addr", addr, "err", err)
		c.drop()
		return
	}
	waiting := c.waiting
	c.waiting = nil
	slog.Info("connected to the counter", "addr", addr)
	l := &link{client: c, addr: addr, conn: conn, out: socket.NewOutbox(conn, nil, nil), made: time.Now(), wrote: time.Now()}
	c.replace(l)
	conn.Serve(l.onRequest, l.closed)
	for _, e := range waiting {
		l.add(e)
	}
}

// replace takes a new connection. One to an address that was left is kept for as long as answers are due on it.
func (c *Client) replace(l *link) {
	older, left := c.old, c.link
	c.old, c.link = left, l
	if older != nil {
		older.end()
	}
	if left != nil && len(left.sent) == 0 {
		left.end()
	}
}

// add writes a call, unless the reducer has given up on it already: it must not be counted after that.
func (l *link) add(e core.Count) {
	if l.client.set.now() >= e.Until {
		return
	}
	if len(l.sent) >= mostCalls {
		l.client.fail(e.Call, logic.ConnectFailed)
		return
	}
	b := strconv.AppendUint([]byte("add "), e.Name, 16)
	b = strconv.AppendFloat(append(b, ' '), e.Amount, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ' '), max(1, e.Lives.Milliseconds()), 10)
	l.write(append(b, "\r\n"...), call{e.Call, time.Now()})
}

func (l *link) write(line []byte, c call) {
	l.wrote = c.made
	l.sent = append(l.sent, c)
	if l.out.Write(line) != nil {
		l.end()
	}
}

// end gives up the connection: its calls may have been added, or may yet be.
func (l *link) end() {
	if l.ended {
		return
	}
	l.ended = true
	l.client.set.open.Add(-1)
	if time.Since(l.made) > redialEvery { // it stood: the next is made at once
		l.client.dialed = time.Time{}
	}
	switch l {
	case l.client.link:
		l.client.link = nil
	case l.client.old:
		l.client.old = nil
	}
	for _, s := range l.sent {
		l.client.fail(s.id, logic.Reset)
	}
	l.sent = nil
	crash.Go(l.conn.Discard)
	l.client.tend()
}

func (l *link) closed() {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	l.end()
}

func (l *link) onRequest() {
	if l.conn.Take(func(b []byte) { l.buf = append(l.buf, b...) }) != nil {
		return
	}
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	l.heard = time.Now()
	for !l.ended {
		line, rest, ok := bytes.Cut(l.buf, []byte("\r\n"))
		if !ok {
			break
		}
		l.answer(line)
		l.buf = l.buf[:copy(l.buf, rest)]
	}
	if l == l.client.old && len(l.sent) == 0 {
		l.end()
	}
	if !begins(l.buf) {
		l.end()
	}
}

// begins tells whether bytes may be the start of an answer. Guards against noise whose end never comes.
func begins(b []byte) bool {
	if text, ok := bytes.CutPrefix(b, []byte("ok ")); ok {
		return len(b) <= mostLine && len(bytes.Trim(text, "0123456789+-.eE\r")) == 0
	}
	for _, word := range []string{"ok ", "busy\r", "error\r", "pong\r"} {
		if n := min(len(b), len(word)); string(b[:n]) == word[:n] && len(b) <= len(word) {
			return true
		}
	}
	return false
}

// answer takes the line that answers the oldest call. What cannot be read ends the connection: the call may have
// been added, and nothing that comes after it can be told to be an answer.
func (l *link) answer(line []byte) {
	if len(l.sent) == 0 {
		l.end() // an answer to nothing: the order is lost
		return
	}
	s := l.sent[0]
	l.sent = l.sent[1:]
	if text, ok := bytes.CutPrefix(line, []byte("ok ")); ok {
		if total, err := strconv.ParseFloat(string(text), 64); err == nil && !math.IsNaN(total) && !math.IsInf(total, 0) {
			if s.id != 0 {
				l.client.set.post(core.CountResult{Call: s.id, Status: logic.OK, Total: total})
			}
			return
		}
	}
	switch string(line) {
	case "busy":
		l.client.fail(s.id, logic.Full)
	case "error":
		l.client.fail(s.id, logic.Error)
	case "pong": // a ping's: a call has no such answer
		l.client.fail(s.id, logic.Reset)
	default:
		l.client.fail(s.id, logic.Reset)
		slog.Warn("the counter's answer cannot be read, connecting anew", "bytes", len(line))
		l.end()
	}
}
