package platform

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/resp"
	"bramblefall/logic"
)

const (
	idLimit       = 64      // bytes of a request's id
	customerLimit = 1 << 33 // customers are numbers below this

	failure = "-ERR failed\r\n"
)

// request is one Q.ASK or Q.DO: a request context's origin and the command that its tries write.
type request struct {
	client *clientConnection
	slot   *answerSlot
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
		return c.reply(c.front.busyAnswer, false)
	}
	if c.outbox.Backlogged() { // guards the servers: a client that does not read would have its answers made for nothing, before others'
		return c.reply(c.front.busyAnswer, false)
	}
	if !c.front.hold(r) {
		return c.refuse("a request with this id is open", false)
	}
	var over bool
	if r.slot, over = c.place(false); r.slot == nil {
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
	if q.Customer, err = strconv.ParseUint(string(args[1]), 16, 64); err != nil || len(args[1]) != 16 || q.Customer >= customerLimit {
		return q, fmt.Errorf("customer is not 16 hex digits of a number below 2^33")
	}
	if len(args[2]) == 0 || len(args[2]) > idLimit || bytes.ContainsFunc(args[2], unprintable) {
		return q, fmt.Errorf("an id of 1 to %d printable characters is needed", idLimit)
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
func (r *request) Gone() bool { return r.client.conn.PeerClosed() }

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
