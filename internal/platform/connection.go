package platform

import (
	"bytes"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/resp"
	"bramblefall/internal/socket"
)

const (
	maxPendingCommands = 1024    // commands on one connection without an answer yet; what comes beyond is refused in its turn
	maxRefusedCommands = 1 << 20 // of these at once: who sends more never reads
	maxCommandErrors   = 64      // of one connection: who sends nothing else is not worth it

	commandTimeout     = 2400 * time.Millisecond // for the first whole command, and for the rest of any other
	idleTimeout        = 20 * time.Second        // between commands
	newConnectionGrace = time.Second             // in which a new connection is about to bring its first command
	partialCommandGrace       = 100 * time.Millisecond  // for the rest of a command, where others have no room
	closingTimeout         = 2 * time.Second         // for what waits before the end of a connection that cannot be read
	unreadAnswerTimeout      = 5 * time.Second         // for a client to read its last answer
)

// idleState is how little a client connection is used.
type idleState struct {
	client         *clientConnection
	idle, active bool // nothing is owed on it; it has brought a whole command
	stalledPartial       bool // nothing is owed on it but the answer to a command whose rest does not come
	since      time.Time
}

// trace logs what becomes of a connection or of a request on it, so that one can be followed by its id.
func (c *clientConnection) trace(what string, words ...any) {
	if c.front.traced {
		slog.Debug(what, append(words, "on", c.logID)...)
	}
}

// clientConnection is one connection of a client.
type clientConnection struct {
	front  *Front
	logID uint64 // in the log
	conn   *socket.Conn
	outbox    *socket.Outbox
	parser resp.Parser // owned by the reading side

	mu             sync.Mutex
	slots          []*answerSlot             // commands whose answers are due, in their order
	waiting        map[uint64]*request // request contexts without an answer
	partial        bool                // a command has come in part
	reading        bool                // bytes are taken and not handled yet
	active         bool                // a whole one has come
	errors         int
	refusing       atomic.Bool // it has sent too many errors: what it sends is refused, and it ends once nothing is owed on it
	usedAt         time.Time
	partialSince   time.Time // since when a command has come in part
	readingEndedAt time.Time // since when nothing more is read
	gone           bool
	ending         bool // framing is lost, or the client asked for the end: nothing more is read
	left           bool // it was idle, and is being closed: what had been taken from the kernel by then is refused
}

// answerSlot keeps the place of a command's answer: a slow one holds back those behind it.
type answerSlot struct {
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
		_ = c.conn.TakeLimited(func(b []byte) {
			if c.outbox.Backlogged() {
				return // its client sends on and reads nothing
			}
			if answers := c.late(b); !c.outbox.WriteUnbounded(answers) {
				c.conn.WriteDirect(answers)
			}
		})
		return
	}
	handled := c.read(ending, now)
	c.mu.Lock()
	c.reading = false
	// Each command has its own wait: a client may send without a pause in pieces that end in the middle of one.
	if partial := c.parser.Buffered() > 0; partial != c.partial || handled > 0 {
		c.partial, c.partialSince = partial, now
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
	err := c.conn.TakeLimited(func(b []byte) {
		if !ending {
			c.parser.Feed(b)
		}
	})
	for err == nil && !ending {
		if c.crowded() {
			over, ok := c.turnAway()
			if !ok {
				return handled
			}
			handled, ending = handled+1, over
			continue
		}
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
	if c.refusing.Load() {
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
	if c.errors >= maxCommandErrors {
		c.refusing.Store(true)
	}
	c.mu.Unlock()
	return c.reply([]byte("-ERR "+why+"\r\n"), last)
}

// place adds the slot of a command's answer. Nil if the client waits for too many: a client that only writes must not fill
// the memory, and those that were taken before must not be lost. The command is refused behind them; over tells that the
// client sends on all the same: nothing more is read, and the connection ends behind the answers that are due. The last answer
// has a place in every case: nothing is read behind it, so it is one, and without it bytes that cannot be read would be
// refused as if they were a command, at each look, for as long as so many wait.
func (c *clientConnection) place(last bool) (s *answerSlot, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt, c.active = time.Now(), true
	if len(c.slots) >= maxPendingCommands && !last {
		return nil, c.countRefused()
	}
	s = &answerSlot{last: last}
	c.slots = append(c.slots, s)
	return s, false
}

// crowded tells that so many commands wait that the next one is refused, whatever it says.
func (c *clientConnection) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.slots) >= maxPendingCommands
}

// turnAway refuses the next command without a look at its words. over tells that nothing more is read; ok is false where none
// is whole. Guards the memory: the kernel is read all the while, and what is not handled yet is held.
func (c *clientConnection) turnAway() (over, ok bool) {
	words, ok, err := c.parser.Skip()
	if err != nil {
		c.refuse(err.Error(), true)
		return true, false
	}
	if !ok || words == 0 { // an empty array is passed over
		return false, ok
	}
	s, over := c.place(false)
	if s != nil { // an answer has come meanwhile
		c.fill(s, c.front.busyAnswer)
	}
	return over, true
}

// countRefused counts a command that is refused behind those that wait. It tells whether there have been too many: nothing
// more is read then.
func (c *clientConnection) countRefused() (over bool) {
	last := c.slots[len(c.slots)-1]
	if last.refused++; last.refused <= maxRefusedCommands {
		return false
	}
	last.last = true
	c.ending, c.readingEndedAt = true, time.Now()
	return true
}

// reply answers a command at once, behind the answers that are due before. It tells whether the connection ends with it.
func (c *clientConnection) reply(answer []byte, last bool) bool {
	s, over := c.place(last)
	if s == nil {
		return over
	}
	c.fill(s, answer)
	return last
}

// fill puts an answer in its slot and writes what is due now.
func (c *clientConnection) fill(s *answerSlot, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.answer, s.done = answer, true
	if s.last && !c.ending {
		c.ending, c.readingEndedAt = true, time.Now()
	}
	for len(c.slots) > 0 && c.slots[0].done {
		s := c.slots[0]
		c.slots[0] = nil
		if c.slots = c.slots[1:]; c.gone {
			continue
		}
		c.write(s.answer)
		c.outbox.WriteRepeated(c.front.busyAnswer, s.refused)
		if s.last {
			c.outbox.CloseAfterFlush()
		}
	}
	c.usedAt = time.Now()
}

// write queues an answer. Where its client does not read, and no more of a value may wait for it, the request has failed.
func (c *clientConnection) write(answer []byte) {
	if errors.Is(c.outbox.Write(answer), socket.ErrFull) {
		c.outbox.WriteUnbounded([]byte(failure))
	}
}

func (c *clientConnection) idle() idleState {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := len(c.slots) == 0
	return idleState{c, free && !c.partial, c.active, free && c.partial && time.Since(c.partialSince) > partialCommandGrace, c.usedAt}
}

// closeIdle closes the connection if nothing is owed on it. Guards against a command that comes meanwhile: up to the
// last moment the kernel is asked for one, and what comes after that is not read, so that its client sends it again. It
// tells whether the connection is being closed. Half: also if a part of a command has come.
func (c *clientConnection) closeIdle(half bool) bool {
	c.mu.Lock()
	idle := len(c.slots) == 0 && (half || !c.partial) && !c.reading && !c.ending && c.outbox.Empty() && c.conn.DrainedThroughPoller()
	idle = idle && (c.conn.AllSent() || time.Since(c.usedAt) > unreadAnswerTimeout)
	c.ending, c.left = c.ending || idle, c.left || idle
	c.mu.Unlock()
	if idle {
		c.trace("idle client connection closed")
		c.conn.Close()
	}
	return idle
}

// leave ends the connection if nothing is owed on it, at a planned restart or where it brought too many errors. One that has
// just come is about to speak.
func (c *clientConnection) leave() {
	if c.refusing.Load() {
		c.endIdle(true)
		return
	}
	if !c.front.leaving.Load() {
		return
	}
	if i := c.idle(); i.idle && (i.active || time.Since(i.since) > newConnectionGrace) {
		c.endIdle(false)
	}
}

// endIdle ends the connection behind the answers that are queued, if nothing more is owed on it. What its client sends from now
// on is refused if it is read, and not read otherwise: a client that sends on at once keeps no connection open. Half: also if a
// part of a command has come.
func (c *clientConnection) endIdle(half bool) {
	c.mu.Lock()
	idle := len(c.slots) == 0 && (half || !c.partial) && !c.reading && !c.ending
	c.ending, c.left = c.ending || idle, c.left || idle
	c.mu.Unlock()
	if idle {
		c.trace("idle client connection ended")
		c.outbox.CloseAfterFlush()
	}
}

// tend ends what a client keeps open without a word: a connection that brings no whole command, or not the rest of
// one, and one that nobody uses any more. Guards the descriptors; such a client is owed an end in time.
func (c *clientConnection) tend(now time.Time) {
	c.mu.Lock()
	part, ending := c.partial && !c.ending && now.Sub(c.partialSince) >= commandTimeout, c.ending && now.Sub(c.readingEndedAt) >= closingTimeout
	c.mu.Unlock()
	switch i := c.idle(); {
	case ending:
		c.abandon()
	case part:
		c.refuse("the rest of the command did not come", true)
	case i.idle && (!i.active && now.Sub(i.since) >= commandTimeout || now.Sub(i.since) >= idleTimeout):
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
	c.trace("client connection over", "waiting", len(waiting), "unwritten", !c.outbox.Empty())
	for id, r := range waiting {
		c.front.release(r)
		c.front.owner.Post(core.ClientGone{ID: id})
	}
}
