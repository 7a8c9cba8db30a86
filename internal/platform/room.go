package platform

import (
	"time"

	"bramblefall/internal/memory"
)

const (
	unreservedBytes   = 4 << 10 // of an incomplete command, held without a reservation
	maxCommandBytes   = 96 << 10
	inputStallTimeout = 100 * time.Millisecond // without a byte of an incomplete command, while others wait for its memory
	maxBacklog        = 64                     // events that the reducer has not handled, from which on no client is read from
	peerCheckInterval = 250 * time.Millisecond // between two looks at whether a client that is not read from has gone

	// maxRoomWait bounds how long one command waits in all because of other clients. It leaves the shortest deadlines of requests
	// time for the answer.
	maxRoomWait = 400 * time.Millisecond
)

// awaitRoom blocks the reader until what it reads next can be held: until the client has read most of its answers, until memory is
// not short, and until there is memory for the command that has begun. A command that has waited for maxRoomWait is read on without
// being held, and refused at its end. It returns how many bytes may be read at once.
func (c *clientConnection) awaitRoom() int {
	c.closeIfGone()
	c.awaitAnswersRead()
	c.awaitRelief()
	c.awaitInputMemory()
	return c.front.readBytes
}

// closeIfGone closes the connection of a client that has gone, where others wait for the time that it would take to read what it has
// sent.
func (c *clientConnection) closeIfGone() {
	if c.readFull && c.front.turns.Waiting() > 0 && c.conn.PeerClosed() {
		c.conn.Close()
	}
}

// noteWait adds to what the command has waited for room.
func (c *clientConnection) noteWait(began time.Time) { c.roomWaited += time.Since(began) }

// awaitRelief blocks while memory is short, for a part of maxRoomWait at a time.
func (c *clientConnection) awaitRelief() {
	if !c.front.memory.Monitor.Pressed() {
		return
	}
	defer c.noteWait(time.Now())
	c.front.memory.Monitor.AwaitRelief(min(memory.MaxReliefPause, maxRoomWait-c.roomWaited))
}

// awaitAnswersRead blocks while many answers wait for the client to read them.
func (c *clientConnection) awaitAnswersRead() {
	if !c.hasUnreadAnswers() {
		return
	}
	tick := time.NewTicker(peerCheckInterval)
	defer tick.Stop()
	for c.hasUnreadAnswers() {
		select {
		case <-c.conn.Done():
			return
		case <-c.resume:
		case <-tick.C:
			if c.conn.PeerClosed() {
				c.conn.Close()
				return
			}
		}
	}
}

func (c *clientConnection) hasUnreadAnswers() bool {
	if c.outbox.Queued() >= c.front.maxUnread {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.slots) > 0 && c.slots[len(c.slots)-1].refused >= maxRefusedCommands
}

// onFlushed is called when all queued answers have been written.
func (c *clientConnection) onFlushed() {
	c.signalResume()
	c.closeIfFinished()
}

// signalResume lets a reader look again that waits in awaitAnswersRead.
func (c *clientConnection) signalResume() {
	select {
	case c.resume <- struct{}{}:
	default:
	}
}

// awaitInputMemory blocks until there is memory for the rest of an incomplete command. A command that turns out to be larger than
// what was reserved for it gets a reservation for the largest one. The command is discarded where there is none in time, or where
// memory stays short.
func (c *clientConnection) awaitInputMemory() {
	need := int64(c.parser.Need())
	if need <= unreservedBytes {
		return
	}
	c.mu.Lock()
	if c.readingEnded {
		c.mu.Unlock()
		return
	}
	enough := need <= c.inputBytes
	if !enough && c.inputBytes > 0 {
		c.releaseInput()
		need = maxCommandBytes
	}
	c.awaitingInput = !enough
	c.mu.Unlock()
	left := maxRoomWait - c.roomWaited
	switch {
	case left <= 0 && (!enough || c.front.memory.Monitor.Pressed()):
		c.discardCommand()
	case !enough:
		c.acquireInput(need, left)
	}
}

// acquireInput reserves memory for the rest of a command, or discards it where there is none in time.
func (c *clientConnection) acquireInput(need int64, timeout time.Duration) {
	defer c.noteWait(time.Now())
	granted := c.front.memory.Input.Acquire(need, timeout, c.conn.Done(), func() {
		if c.conn.PeerClosed() {
			c.conn.Close()
			return
		}
		c.front.evictStalledInput()
	})
	if !granted {
		c.discardCommand()
		return
	}
	c.mu.Lock()
	c.inputBytes = need
	c.endInputWait()
	c.mu.Unlock()
}

// discardCommand drops the incomplete command: it is read on without being held, and refused at its end.
func (c *clientConnection) discardCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parser.Discard()
	c.releaseInput()
	c.endInputWait()
}

// endInputWait is called with c.mu held.
func (c *clientConnection) endInputWait() {
	c.awaitingInput = false
	c.partialSince, c.lastReadAt = time.Now(), time.Now() // its client could not send on
}

// releaseInput gives back what is reserved for an incomplete command.
func (c *clientConnection) releaseInput() {
	if c.inputBytes > 0 {
		c.front.memory.Input.Add(-c.inputBytes)
		c.inputBytes = 0
	}
}

// evictStalledInput ends the connection whose client has stopped longest in the middle of a large command: nothing of that command
// has been accepted, and others wait for its memory.
func (f *Front) evictStalledInput() {
	var longest *clientConnection
	var since time.Time
	for _, c := range f.clientList() {
		c.mu.Lock()
		stalled := c.inputBytes > 0 && !c.reading && !c.readingEnded && time.Since(c.lastReadAt) > inputStallTimeout && c.conn.Drained()
		if stalled && (longest == nil || c.lastReadAt.Before(since)) {
			longest, since = c, c.lastReadAt
		}
		c.mu.Unlock()
	}
	if longest != nil {
		longest.replyError("the rest of the command did not come", true)
		longest.mu.Lock()
		longest.releaseInput()
		longest.mu.Unlock()
	}
}
