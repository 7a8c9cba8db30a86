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
	maxPendingCommands = 1024    // unanswered commands on one connection; further ones are refused in their turn
	maxRefusedCommands = 1 << 20 // refused commands pending at once, from which on no more is read
	slotBytes          = 192     // that a pending answer takes, without its text
	smallAnswerBytes   = 256     // an answer that is never replaced by a failure
	maxCommandErrors   = 64      // on one connection; a client that sends nothing but errors is not worth its connection

	commandTimeout      = 2400 * time.Millisecond // for the first complete command, and for the rest of any partial one
	idleTimeout         = 20 * time.Second        // between commands
	newConnectionGrace  = time.Second             // in which a new connection is expected to send its first command
	partialCommandGrace = 100 * time.Millisecond  // for the rest of a command, while other clients find no room
	minTurnWait         = 5 * time.Millisecond    // of a reader, from which on its wait counts against the time of what it reads
	closingTimeout      = 2 * time.Second         // for pending answers on a connection that is no longer read
	unreadAnswerTimeout = 5 * time.Second         // for a client to read its last answer
)

// idleState describes whether and since when a client connection has been idle.
type idleState struct {
	client         *clientConnection
	isIdle         bool      // no answer is due, and no partial command has come
	active         bool      // a complete command has come
	stalledPartial bool      // no answer is due, and the rest of a partial command has not come within partialCommandGrace
	since          time.Time // last use of the connection
}

// trace logs a step of a connection or of a request on it at debug level, so that it can be followed by its ID.
func (c *clientConnection) trace(msg string, attrs ...any) {
	if c.front.traceEnabled {
		slog.Debug(msg, append(attrs, "on", c.logID)...)
	}
}

// clientConnection is one connection of a client.
type clientConnection struct {
	front  *Front
	logID  uint64 // identifies the connection in the log
	conn   *socket.Conn
	outbox *socket.Outbox
	parser resp.Parser // used only by the reader

	mu             sync.Mutex
	slots          []*answerSlot       // answers due, in the order of their commands
	pending        map[uint64]*request // unanswered request contexts by ID
	partial        bool                // an incomplete command has been read
	reading        bool                // bytes have been read but not handled yet
	sawCommand     bool                // a complete command has come
	errorCount     int
	refusing       atomic.Bool // too many errors: further commands are refused, and the connection closes once no answer is due
	lastUsedAt     time.Time
	partialSince   time.Time // since when a command has been incomplete
	readingEndedAt time.Time // since when nothing more is read
	isClosed       bool
	readingEnded   bool  // framing is lost, or the client sent QUIT: nothing more is read
	closingIdle    bool  // it was idle and is being closed: nothing more is read from the kernel
	commandBytes   int64 // of requests in hand and slots, counted in the front's budget
	answerBytes    int64 // of answers that wait for those before them
	inputBytes     int64 // reserved for an incomplete command
	awaitingInput  bool  // the rest of a command is not read yet, for want of memory
	lastReadAt     time.Time

	shedding   bool          // what is read is refused, since the reader is far behind; used only by the reader
	readFull   bool          // the last piece read was as large as any; used only by the reader
	roomWaited time.Duration // by the command that has begun, because of other clients; used only by the reader

	resume chan struct{} // signalled when answers have been written
}

// answerSlot keeps a command's place in the order of answers: a slow answer delays those behind it.
type answerSlot struct {
	answer     []byte
	done       bool
	heldBytes  int64 // of the answer, counted in the front's budget while it waits for those before it
	closeAfter bool  // the connection closes after it
	refused    int   // commands behind it that are refused because too many were pending
}

// handleBytes handles bytes that have arrived. It is called with c.mu held, which it releases meanwhile.
func (c *clientConnection) handleBytes(b []byte) {
	now := time.Now()
	arrived := c.arrivedBy(now)
	c.readFull = len(b) >= min(c.front.readBytes, socket.ShortReadBytes)
	readingEnded := c.readingEnded
	c.reading = true
	c.mu.Unlock()
	c.shedding = c.readFull && c.front.turns.Waiting() > 0 && c.conn.Behind()
	handled := 0
	if !readingEnded { // what comes later is discarded, so that the close does not reset the connection
		c.parser.Feed(b)
		handled = c.handleCommands(arrived)
	}
	if handled > 0 {
		c.roomWaited = 0
	}
	c.mu.Lock()
	c.reading, c.lastReadAt = false, now
	// Each command has its own timeout: a client may keep sending in pieces that each end in the middle of a command.
	if partial := c.parser.Incomplete(); partial != c.partial || handled > 0 {
		c.partial, c.partialSince = partial, now
	}
	if c.readingEnded {
		c.parser = resp.Parser{}
	}
	if handled > 0 || c.parser.Need() <= unreservedBytes { // a reservation is for one command: the next one waits for its own
		c.releaseInput()
	}
	c.mu.Unlock()
	c.closeIfFinished() // the commands just read may have been answered already
	c.mu.Lock()
}

// arrivedBy returns by when bytes that have been read now had arrived. It is called with c.mu held.
func (c *clientConnection) arrivedBy(now time.Time) time.Time {
	arrived := now
	if c.readFull { // more lay in the kernel by then
		arrived = c.lastReadAt
	}
	if c.roomWaited > 0 || c.conn.TurnWait() >= minTurnWait || c.front.owner.HeldUp() { // they may have lain unread for long
		if received := now.Add(-c.conn.SinceReceived()); received.Before(arrived) {
			arrived = received
		}
	}
	return arrived
}

// handleCommands handles the complete commands that have been read and returns their number. The last of their bytes had arrived
// by the given time.
func (c *clientConnection) handleCommands(now time.Time) (handled int) {
	for ending := false; !ending; handled++ {
		if c.shedding || c.parser.Discarding() || c.pendingFull() {
			if !c.refuseNext() {
				return handled
			}
			continue
		}
		args, ok, err := c.parser.Command()
		if err != nil {
			c.replyError(err.Error(), true)
			return handled
		}
		if !ok {
			return handled
		}
		ending = c.handleCommand(args, now)
	}
	return handled
}

// handleCommand handles one command. It reports whether the connection ends with it.
func (c *clientConnection) handleCommand(args [][]byte, now time.Time) (last bool) {
	if len(args) == 0 {
		return false // an empty array is ignored, as Redis servers do
	}
	if c.refusing.Load() {
		return c.reply(appendBusy(nil, core.ShutdownRetryAfter(c.front.settings)), false)
	}
	switch name := string(bytes.ToUpper(args[0])); name {
	case "Q.ASK", "Q.DO":
		return c.acceptRequest(name, args, now)
	case "PING":
		return c.reply([]byte("+PONG\r\n"), false)
	case "CLIENT", "SELECT":
		return c.reply([]byte("+OK\r\n"), false)
	case "QUIT":
		return c.reply([]byte("+OK\r\n"), true)
	default:
		return c.replyError("unknown command", false)
	}
}

// replyError answers an invalid command. It reports whether the connection ends with it.
func (c *clientConnection) replyError(why string, last bool) bool {
	c.mu.Lock()
	c.errorCount++
	if c.errorCount >= maxCommandErrors {
		c.refusing.Store(true)
	}
	c.mu.Unlock()
	return c.reply([]byte("-ERR "+why+"\r\n"), last)
}

// reserveSlot adds the slot of a command's answer. It returns nil if too many answers are pending: a client that only writes must
// not exhaust memory, and commands accepted earlier must not be lost. The command is then refused behind them.
//
// The last answer always gets a slot. Nothing is read behind it, so there is only one; without it, unreadable bytes would be
// refused as if they were a command, on each read, for as long as too many answers are pending.
func (c *clientConnection) reserveSlot(closeAfter bool) *answerSlot {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return nil
	}
	c.lastUsedAt, c.sawCommand = time.Now(), true
	if c.slotsFull() && !closeAfter {
		c.slots[len(c.slots)-1].refused++
		return nil
	}
	s := &answerSlot{closeAfter: closeAfter}
	c.slots = append(c.slots, s)
	c.holdCommandBytes(slotBytes)
	return s
}

// slotsFull reports whether so many answers are pending that the next command is refused, whatever it is.
func (c *clientConnection) slotsFull() bool {
	return len(c.slots) >= maxPendingCommands || len(c.slots) > 0 && !c.front.memory.Commands.Fits(c.commandBytes, slotBytes)
}

func (c *clientConnection) pendingFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slotsFull()
}

// holdCommandBytes counts n bytes, negative for bytes no longer held, of this connection's commands and slots.
func (c *clientConnection) holdCommandBytes(n int64) {
	c.commandBytes += n
	c.front.memory.Commands.Add(n)
}

// refuseNext refuses the next command, or the one that is being discarded, without keeping its arguments. It reports whether there was a complete one.
func (c *clientConnection) refuseNext() bool {
	argCount, ok, err := c.parser.Skip()
	if err != nil {
		c.replyError(err.Error(), true)
		return false
	}
	if !ok || argCount == 0 { // an empty array is ignored
		return ok
	}
	if s := c.reserveSlot(false); s != nil { // an answer has been written in the meantime
		c.completeSlot(s, c.front.busyAnswer)
	}
	return true
}

// reply answers a command immediately, behind the answers that are due before it. It reports whether the connection ends with it.
func (c *clientConnection) reply(answer []byte, last bool) bool {
	if s := c.reserveSlot(last); s != nil {
		c.completeSlot(s, answer)
	}
	return last
}

// completeSlot puts an answer in its slot and writes the answers whose turn has come.
func (c *clientConnection) completeSlot(s *answerSlot, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	s.answer, s.done = answer, true
	if s.closeAfter && !c.readingEnded {
		c.readingEnded, c.readingEndedAt = true, time.Now()
	}
	if s != c.slots[0] {
		c.holdAnswer(s)
	}
	for len(c.slots) > 0 && c.slots[0].done {
		s := c.slots[0]
		c.slots[0] = nil
		c.slots = c.slots[1:]
		c.holdCommandBytes(-slotBytes)
		c.releaseAnswer(s)
		c.writeAnswer(s.answer)
		c.outbox.WriteRepeated(c.front.busyAnswer, s.refused)
		if s.closeAfter {
			c.outbox.CloseAfterFlush()
		}
	}
	c.lastUsedAt = time.Now()
	c.signalResume()
}

// holdAnswer counts an answer that waits for those before it. If there is no room for it, the request fails instead.
func (c *clientConnection) holdAnswer(s *answerSlot) {
	n := int64(len(s.answer))
	if n <= smallAnswerBytes {
		return
	}
	if !c.front.memory.Answers.Fits(c.answerBytes, n) {
		s.answer = []byte(failedAnswer)
		return
	}
	s.heldBytes = n
	c.answerBytes += n
	c.front.memory.Answers.Add(n)
}

func (c *clientConnection) releaseAnswer(s *answerSlot) {
	c.answerBytes -= s.heldBytes
	c.front.memory.Answers.Add(-s.heldBytes)
	s.heldBytes = 0
}

// writeAnswer queues an answer. If the client does not read and no more values may be queued for it, the request fails instead.
func (c *clientConnection) writeAnswer(answer []byte) {
	if len(answer) <= smallAnswerBytes {
		c.outbox.WriteUnbounded(answer) // awaitRoom bounds their sum
	} else if errors.Is(c.outbox.Write(answer), socket.ErrFull) {
		c.outbox.WriteUnbounded([]byte(failedAnswer))
	}
}

func (c *clientConnection) idle() idleState {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := len(c.slots) == 0
	stalled := c.partial && !c.awaitingInput && time.Since(c.partialSince) > partialCommandGrace
	return idleState{c, free && !c.partial, c.sawCommand, free && stalled, c.lastUsedAt}
}

// closeIdle closes the connection if no answer is due on it, and reports whether it does. Guards against a command that arrives
// meanwhile: the kernel is asked for unread bytes until the last moment, and later bytes are not read, so that the client resends
// them. With allowPartial it also closes a connection with an incomplete command.
func (c *clientConnection) closeIdle(allowPartial bool) bool {
	c.mu.Lock()
	idle := len(c.slots) == 0 && (allowPartial || !c.partial) && !c.reading && !c.readingEnded && c.outbox.Empty() && c.conn.Drained()
	idle = idle && (c.conn.AllSent() || time.Since(c.lastUsedAt) > unreadAnswerTimeout)
	c.readingEnded, c.closingIdle = c.readingEnded || idle, c.closingIdle || idle
	c.mu.Unlock()
	if idle {
		c.trace("idle client connection closed")
		c.conn.Close()
	}
	return idle
}

// closeIfFinished closes the connection if no answer is due on it, at a planned restart or after too many errors. A new connection
// is given time for its first command.
func (c *clientConnection) closeIfFinished() {
	if c.refusing.Load() {
		c.closeIdleAfterFlush(true)
		return
	}
	if !c.front.draining.Load() {
		return
	}
	if i := c.idle(); i.isIdle && (i.active || time.Since(i.since) > newConnectionGrace) {
		c.closeIdleAfterFlush(false)
	}
}

// closeIdleAfterFlush closes the connection behind the queued answers, if no other answer is due. Commands that the client sends
// from now on are not read, so that it sends them again: a client that keeps sending cannot keep the connection open.
// With allowPartial it also closes a connection with an incomplete command.
func (c *clientConnection) closeIdleAfterFlush(allowPartial bool) {
	c.mu.Lock()
	idle := len(c.slots) == 0 && (allowPartial || !c.partial) && !c.reading && !c.readingEnded
	c.readingEnded, c.closingIdle = c.readingEnded || idle, c.closingIdle || idle
	c.mu.Unlock()
	if idle {
		c.trace("idle client connection ended")
		c.outbox.CloseAfterFlush()
	}
}

// enforceTimeouts closes a connection on which no complete command arrives, or not the rest of one, and one that is not used any
// more. Guards the descriptors; such a client must be disconnected in time.
func (c *clientConnection) enforceTimeouts(now time.Time) {
	c.mu.Lock()
	awaitsClient := c.partial && !c.awaitingInput && !c.reading && !c.readingEnded
	commandTimedOut := awaitsClient && now.Sub(c.partialSince) >= commandTimeout && c.conn.Drained()
	closingTimedOut := c.readingEnded && now.Sub(c.readingEndedAt) >= closingTimeout
	c.mu.Unlock()
	switch i := c.idle(); {
	case closingTimedOut:
		c.failPending()
	case commandTimedOut:
		c.replyError("the rest of the command did not come", true)
	case i.isIdle && (!i.active && now.Sub(i.since) >= commandTimeout || now.Sub(i.since) >= idleTimeout):
		c.closeIdle(false)
	}
}

// failPending fails the requests still pending on a connection that cannot be read any more; their answer is the error.
func (c *clientConnection) failPending() {
	c.mu.Lock()
	pending := make([]*request, 0, len(c.pending))
	for _, r := range c.pending {
		pending = append(pending, r)
	}
	c.mu.Unlock()
	for _, r := range pending {
		c.front.owner.Post(core.ClientGone{ID: r.id})
		r.Failed()
	}
}

// onClose tells the owner which request contexts nobody waits for any more.
func (c *clientConnection) onClose() {
	c.front.mu.Lock()
	delete(c.front.clients, c)
	c.front.mu.Unlock()
	c.mu.Lock()
	c.isClosed = true
	c.releaseInput()
	for _, s := range c.slots {
		c.releaseAnswer(s)
	}
	pending := c.pending
	c.pending, c.slots = nil, nil
	c.holdCommandBytes(-c.commandBytes)
	c.mu.Unlock()
	c.trace("client connection over", "waiting", len(pending), "unwritten", !c.outbox.Empty())
	for id, r := range pending {
		c.front.leave(r)
		c.front.owner.Post(core.ClientGone{ID: id})
	}
}
