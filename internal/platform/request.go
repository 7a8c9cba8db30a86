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
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

const (
	maxIDBytes    = 64      // of a request's ID
	maxTerms      = 64      // names and values in a request's list of them
	customerLimit = 1 << 33 // customers are numbers below this

	requestBytes       = 2 << 10   // that a request in hand takes, without its command
	maxBackloggedBytes = 256 << 10 // queued for a client, from which on its requests are refused

	failedAnswer = "-ERR failed\r\n"
)

// request is one Q.ASK or Q.DO: the origin of a request context, and the command that its tries send.
type request struct {
	client       *clientConnection
	answerSlot   *answerSlot
	id           uint64
	args         [][]byte // as the client sent them
	heldBytes    int64    // that it takes while it is in hand
	deadlineSpan [2]int   // start and end of the value of d in args[3]
	class        int
	mayRun, left bool // a try of it may have been sent; its client has gone; both guarded by the client's mu
}

// acceptRequest parses a request and posts its request context. It reports whether the connection ends with it.
func (c *clientConnection) acceptRequest(name string, args [][]byte, now time.Time) (last bool) {
	r := &request{client: c, args: args}
	q, err := c.front.parseRequest(name, args, r)
	if err != nil {
		return c.replyError(err.Error(), false)
	}
	if c.front.owner.Open() >= c.front.maxOpen || !c.hasCommandMemory(r) { // bounds memory under overload; the module does not see these requests
		return c.reply(c.front.busyAnswer, false)
	}
	if c.outbox.Queued() >= maxBackloggedBytes { // guards the servers: the answers of a client that does not read would be computed for nothing, ahead of others'
		return c.reply(c.front.busyAnswer, false)
	}
	if !c.front.ids.track(string(args[2])) {
		return c.replyError("a request with this id is open", false)
	}
	if r.answerSlot = c.reserveSlot(false); r.answerSlot == nil {
		c.front.ids.release(string(args[2]))
		return false
	}
	r.id, r.class = c.front.owner.ID(), q.Class
	q.ID = r.id
	// Guards against an answer that is ready just before its deadline and then waits for the process's share of a core.
	if q.TTL -= time.Since(now) + c.front.answerMargin; q.TTL <= 0 {
		q.TTL = time.Nanosecond // the module refuses requests that cannot be served in time
	}
	c.mu.Lock()
	if c.pending == nil {
		c.pending = map[uint64]*request{}
	}
	c.pending[r.id] = r
	c.holdCommandBytes(r.heldBytes)
	c.mu.Unlock()
	if c.front.traceEnabled { // checked here, since building the attributes costs more than the check
		c.trace("taken", "id", string(args[2]), "context", r.id, "ttl", q.TTL)
	}
	c.front.owner.Post(core.RequestContext{Request: q, Origin: r})
	return false
}

// hasCommandMemory reports whether there is memory for one more request of this connection, and sets how much it takes.
func (c *clientConnection) hasCommandMemory(r *request) bool {
	r.heldBytes = requestBytes
	for _, a := range r.args {
		r.heldBytes += int64(len(a))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.front.memory.Commands.Fits(c.commandBytes, r.heldBytes)
}

// parseRequest parses a request's arguments. A request that cannot be parsed is the client's error and costs nobody else anything.
func (f *Front) parseRequest(name string, args [][]byte, r *request) (q logic.Request, err error) {
	if len(args) < 4 || len(args) > 5 || name == "Q.ASK" && len(args) > 4 {
		return q, fmt.Errorf("wrong number of arguments for %s", name)
	}
	if q.Customer, err = strconv.ParseUint(string(args[1]), 16, 64); err != nil || len(args[1]) != 16 || q.Customer >= customerLimit {
		return q, fmt.Errorf("customer is not 16 hex digits of a number below 2^33")
	}
	if len(args[2]) == 0 || len(args[2]) > maxIDBytes || bytes.ContainsFunc(args[2], isUnprintable) {
		return q, fmt.Errorf("an id of 1 to %d printable characters is needed", maxIDBytes)
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
		if slices.Contains(seen, string(key)) { // the server may use the other value
			return q, fmt.Errorf("%q stands twice", key)
		}
		if len(seen) == maxTerms {
			return q, fmt.Errorf("more than %d names and values", maxTerms)
		}
		seen = append(seen, string(key))
		switch text := string(value); string(key) {
		case "c":
			q.Class, known = lookUp(f.classes, text, known)
		case "t":
			q.Plan, known = lookUp(f.board.Load().Tiers, text, known)
		case "d":
			ms, err = strconv.ParseFloat(text, 64)
			r.deadlineSpan = [2]int{at + 2, at + end}
		case "units":
			q.Units, err = strconv.ParseFloat(text, 64)
		case "spread":
			q.Spread, err = strconv.Atoi(text)
		case "first":
			q.FirstGateway, err = strconv.Atoi(text)
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
	if !(q.Units > 0) || q.Units > max(f.settings.MostUnits, 1) {
		return q, fmt.Errorf("units are out of range")
	}
	if q.Spread < 1 || q.Spread > f.settings.Gateways || q.FirstGateway < 0 || q.FirstGateway >= f.settings.Gateways {
		return q, fmt.Errorf("spread or first is out of range")
	}
	class := f.settings.Classes[q.Class]
	if (class.Effect == logic.Safe) != (name == "Q.ASK") {
		return q, fmt.Errorf("%s does not serve this class", name)
	}
	if class.Effect == logic.Keyed && !keyed {
		return q, fmt.Errorf("this class needs k")
	}
	// The wait is limited to the class's deadline: a client that states a longer one must not occupy a place here for hours.
	q.TTL = min(time.Duration(min(ms, 3600e3)*float64(time.Millisecond)), class.Deadline)
	return q, nil
}

func isUnprintable(r rune) bool { return r <= ' ' || r > '~' }

func lookUp(names map[string]int, name string, known bool) (int, bool) {
	k, ok := names[name]
	return k, ok && known
}

// AppendCommand implements upstream.Command: the client's own command, with d replaced by the limiter's remaining wait.
func (r *request) AppendCommand(b []byte, wait time.Duration) []byte {
	r.client.front.noteSent(r)
	terms := r.args[3]
	own := append(make([]byte, 0, len(terms)+8), terms[:r.deadlineSpan[0]]...)
	own = strconv.AppendInt(own, max(1, wait.Milliseconds()), 10)
	own = append(own, terms[r.deadlineSpan[1]:]...)
	args := append(make([][]byte, 0, len(r.args)), r.args...)
	args[3] = own
	return resp.AppendCommand(b, args...)
}

// Client implements upstream.Command.
func (r *request) Client() socket.PeerState { return r.client.conn.PeerState() }

func (r *request) finish(answer []byte) {
	r.client.mu.Lock()
	_, waits := r.client.pending[r.id]
	if waits {
		delete(r.client.pending, r.id)
		r.client.holdCommandBytes(-r.heldBytes)
	}
	r.client.mu.Unlock()
	if !waits { // its client has gone, or has already been told that the request failed
		return
	}
	r.client.front.ids.release(string(r.args[2]))
	if r.client.front.traceEnabled {
		r.client.trace("answered", "id", string(r.args[2]), "context", r.id, "begins", string(answer[:min(len(answer), 8)]))
	}
	r.client.completeSlot(r.answerSlot, answer)
}

// Served implements core.Origin. It passes on the value as the server sent it.
func (r *request) Served(value any) { r.finish(resp.AppendBulk(nil, value.([]byte))) }

// Admitted implements core.Origin. This front never asks for an admission without a try, so it is a failure.
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
func (r *request) Failed() { r.finish([]byte(failedAnswer)) }
