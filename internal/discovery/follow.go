package discovery

import (
	"time"

	"bramblefall/logic"
)

// A limiter requests the list from a discovery agent that serves its machine alone. A change counts as received from when the
// agent began to send it, even if the message is then truncated, and at the latest 6 s after discovery had it and was reachable,
// even if nothing arrived. Once a drain counts as received, the limiter has the grace (timing.grace) to apply it; after that
// nothing new may be sent to the server.
//
// While nothing changes, the agent sends an empty line every 2 s. A watch that is silent for longer than one interval is
// considered stalled, which leaves time for another request within the 6 s.
const (
	keepaliveInterval = 2 * time.Second
	keepaliveTimeout  = keepaliveInterval + keepaliveInterval/4

	// fleetRequestsPerSecond divided by the size of the fleet is the rate, without jitter, at which each limiter sends requests
	// while discovery refuses them. With jitter the rate of all is about half higher, since the mean of minRetryFactor and
	// maxRetryFactor is 0.675. In a fleet of more than 80, each limiter sends one request in maxRetryInterval, without jitter.
	fleetRequestsPerSecond = 20.0
	maxRetryInterval       = 4 * time.Second

	// From the start of one failed request to the start of the next, retryInterval passes times a random factor between these.
	minRetryFactor = 0.25
	maxRetryFactor = 1.1

	// After a response that had begun, that time is multiplied by this: discovery is up, and what it has begun to send counts as
	// received.
	progressRetryFactor = 0.25

	stableAfter           = 2 * time.Second // a watch that has brought a message and lasts longer sets follower.failures to 0
	rejectedListDelay     = time.Second     // a rejected list is requested again after half of this at least, all of it with the longest jitter, and not before the retry interval is over
	maxHeaderTimeout      = time.Second
	maxAnswerDelay        = keepaliveTimeout // by which the first of several unanswered watches is answered, unless it is lost
	minStallTimeout       = 50 * time.Millisecond
	extendedStallTimeout  = 500 * time.Millisecond // within a message, after stallsBeforeExtension watches in a row that stalled there
	stallsBeforeExtension = 8
	defaultGrace          = 500 * time.Millisecond // the grace if the settings have none
	maxGrace              = 2 * time.Second        // a longer grace is cut to this, since the 6 s apply whatever the grace is
	graceJitterFactor     = 0.8                    // of the grace: the requests of a fleet of 20 or more are spread over this part
	unansweredRetryFactor = 0.3                    // of the grace: the longest delay before an agent that sent nothing is asked again

	reloadDeadline    = 4 * time.Second        // the current list counts as received this long after a reload
	reloadMargin      = 200 * time.Millisecond // the part of reloadDeadline that is left for the response
	minReloadInterval = 50 * time.Millisecond  // the limit that a reload sets to the delay between two requests is not below this
)

// timing holds the settings by which requests to discovery are timed.
type timing struct {
	grace     time.Duration // the time to apply a drain, from when it counts as received
	fleetSize int           // limiters that follow the same discovery
}

func timingOf(set logic.Settings) timing {
	t := timing{set.DrainGrace, max(set.Gateways, 1)}
	if t.grace <= 0 {
		t.grace = defaultGrace
	}
	t.grace = min(t.grace, maxGrace)
	return t
}

// retryInterval is the time between two requests of one limiter while discovery refuses all, before jitter.
func (t timing) retryInterval() time.Duration {
	return time.Duration(min(float64(t.fleetSize)/fleetRequestsPerSecond, maxRetryInterval.Seconds()) * float64(time.Second))
}

// headerTimeout is how long the response header may take. The agent is near: it answers at once, or not at all while
// discovery is down.
func (t timing) headerTimeout() time.Duration { return min(t.grace/2, maxHeaderTimeout) }

// stallTimeout is how long a watch may be silent within a message. It is a fraction of the grace, because the drains in the
// message may count as received already.
func (t timing) stallTimeout() time.Duration { return max(t.grace/4, minStallTimeout) }

// stallTimeoutAfter is the stall timeout after the given number of watches in a row that stalled within a message. It is
// extended because a discovery that pauses for longer than stallTimeout within each list would otherwise never get a list
// through.
func (t timing) stallTimeoutAfter(stalls int) time.Duration {
	if stalls < stallsBeforeExtension {
		return t.stallTimeout()
	}
	return max(t.stallTimeout(), extendedStallTimeout)
}

// follower decides when to start a watch and which of at most four watches to use. It performs no I/O and reads no clock.
// Watches are numbered from 1; 0 stands for none.
type follower struct {
	timing
	newest           int           // the watch that was started last
	current          int           // the watch in use; 0: none, and the next is due
	idle             int           // an earlier watch that fell silent between two messages and may resume; 0: none
	unanswered       unanswered    // the last watch without any message: its answer may arrive once discovery is back
	firstUnanswered  unanswered    // the first of them: its answer may be slow to begin, as those of the later ones would be
	lastUnanswered   bool          // the watch given up last had received neither a message nor part of one, and was still open
	receivedMessage  bool          // current has received a complete message
	lastReceivedData bool          // the watch given up last had received a message or part of one
	lastRejected     bool          // the watch given up last had brought a list that was rejected
	startedAt        time.Duration // of newest, even where an earlier watch has become current again
	failures         int           // watches in a row that were not stable
	stalls           int           // watches in a row that were given up within a message; any complete message sets it to 0
	lastDuration     time.Duration // from startedAt to the last call of endCurrent
	reloadDue        time.Duration // reloadMargin before the list counts as received after a reload; 0: there was no reload
}

// unanswered is a watch that is kept although its answer has not begun within the timeout. The zero value stands for none.
type unanswered struct {
	watch     int
	startedAt time.Duration
}

// noteReload records a reload. It reports whether to start a watch at once.
func (f *follower) noteReload(at time.Duration) bool {
	f.reloadDue = at + reloadDeadline - reloadMargin
	return f.current == 0
}

// startWatch makes a new watch the current one and returns its number.
func (f *follower) startWatch(now time.Duration) int {
	f.newest++
	f.current, f.receivedMessage, f.startedAt = f.newest, false, now
	return f.current
}

// noteMessage records a complete message. It reports whether to use it, and which watches are superseded.
func (f *follower) noteMessage(watch int) (accepted bool, superseded []int) {
	if watch == 0 || watch != f.current && watch != f.idle && !f.isUnanswered(watch) {
		return false, nil
	}
	superseded = f.useAlone(watch)
	f.receivedMessage, f.lastUnanswered, f.stalls = true, false, 0
	return true, superseded
}

// noteAnswer records that the answer to a watch has begun. If that was awaited no longer, the watch becomes the current one, since
// the answers to those that were started after it are as slow. noteAnswer returns the watches that it supersedes.
func (f *follower) noteAnswer(watch int) (superseded []int) {
	if !f.isUnanswered(watch) {
		return nil
	}
	superseded = f.useAlone(watch)
	f.receivedMessage, f.lastUnanswered = false, false
	return superseded
}

// useAlone makes a watch the only one, and returns the others.
func (f *follower) useAlone(watch int) (others []int) {
	for _, other := range []int{f.current, f.idle, f.unanswered.watch, f.firstUnanswered.watch} {
		if other != 0 && other != watch {
			others = append(others, other)
		}
	}
	f.current, f.idle, f.unanswered, f.firstUnanswered = watch, 0, unanswered{}, unanswered{}
	return others
}

func (f *follower) isUnanswered(watch int) bool {
	return watch != 0 && (watch == f.unanswered.watch || watch == f.firstUnanswered.watch)
}

// keepUnanswered keeps the current watch, whose answer has not begun, beside the next one. It returns a watch to close (0: none).
func (f *follower) keepUnanswered(now time.Duration) (drop int) {
	previous := f.unanswered
	f.unanswered = unanswered{f.current, f.startedAt}
	if f.firstUnanswered.watch != 0 && now-f.firstUnanswered.startedAt < maxAnswerDelay {
		return previous.watch
	}
	drop, f.firstUnanswered = f.firstUnanswered.watch, previous
	return drop
}

// forgetUnanswered drops an unanswered watch that has ended or is to be closed.
func (f *follower) forgetUnanswered(watch int) {
	if f.unanswered.watch == watch {
		f.unanswered = unanswered{}
	}
	if f.firstUnanswered.watch == watch {
		f.firstUnanswered = unanswered{}
	}
}

// noteStall records that a watch has received nothing within its timeout, and whether that was within a message. A watch
// that fell silent between two messages is kept beside the next one, and so are the first and the last that have received nothing
// yet: keeping them open needs no requests. The last receives at once what the agent sends when discovery is back, the first what
// an agent sends that is slow to answer. noteStall returns a watch to close (0: none) and whether the next one is due.
func (f *follower) noteStall(now time.Duration, watch int, midMessage bool) (drop int, due bool) {
	switch {
	case watch == 0:
	case midMessage && watch == f.idle:
		drop, f.idle = f.idle, 0
	case midMessage && f.isUnanswered(watch):
		f.forgetUnanswered(watch)
		drop = watch
	case watch == f.current:
		switch {
		case midMessage:
			drop = f.current
		case f.receivedMessage:
			f.idle = f.current
		default:
			drop = f.keepUnanswered(now)
		}
		lastUnanswered := !f.receivedMessage && !midMessage
		f.endCurrent(now, midMessage)
		if midMessage {
			f.stalls++
		}
		f.lastUnanswered, due = lastUnanswered, true
	}
	return drop, due
}

// noteEnd records that the connection of a watch has ended, and whether that was within a message. It reports whether the
// next watch is due.
func (f *follower) noteEnd(now time.Duration, watch int, midMessage bool) (due bool) {
	switch {
	case watch == 0:
	case watch == f.idle:
		f.idle = 0
	case f.isUnanswered(watch):
		f.forgetUnanswered(watch)
	case watch == f.current:
		f.endCurrent(now, midMessage)
		return true
	}
	return false
}

// noteRejection records that a watch is given up because its list was rejected. It reports whether the next watch is due.
func (f *follower) noteRejection(now time.Duration, watch int) (due bool) {
	due = f.noteEnd(now, watch, true)
	f.lastRejected = due
	return due
}

// endCurrent records the outcome of the current watch, after which there is no current one.
func (f *follower) endCurrent(now time.Duration, midMessage bool) {
	f.lastReceivedData, f.lastDuration = f.receivedMessage || midMessage, now-f.startedAt
	if f.failures++; f.receivedMessage && now-f.startedAt > stableAfter {
		f.failures = 0
	}
	f.current, f.receivedMessage, f.lastUnanswered, f.lastRejected = 0, false, false, false
}

// nextDelay returns the delay before the next request; random is uniform in [0, 1]. Its jitter keeps the limiters of a
// fleet from sending requests in step; the interval, which grows with the fleet, keeps them from sending so many that
// discovery can answer none of them.
//
// After a reload requests come closer together: until reloadDue the delay is at most a quarter to half of the time left, or
// minReloadInterval if that is longer.
func (f *follower) nextDelay(random float64) time.Duration {
	delay := f.baseDelay(random)
	if left := f.reloadDue - f.startedAt - f.lastDuration; left > 0 {
		delay = min(delay, max(time.Duration((1+random)/4*float64(left)), minReloadInterval))
	}
	return delay
}

// baseDelay is nextDelay without regard to reloads.
//
// The delay is short after a stable watch, or one that had begun to receive something: drains that the limiter would have
// received had it sent a request count as received. An agent that sends nothing is asked again soon in a fleet of any size, since
// it serves this machine alone, and an answer costs discovery nothing. A rejected list is requested later, because it comes again
// unchanged and is expensive to read.
//
// The interval counts from the start of one request to the start of the next. Otherwise a request that hangs before it fails
// would be followed by a full delay, while a change counts as received 6 s after discovery came back, which may have been during
// that request.
func (f *follower) baseDelay(random float64) time.Duration {
	jitter := random * graceJitterFactor * float64(f.grace) * min(1, float64(f.fleetSize)/fleetRequestsPerSecond)
	interval := (minRetryFactor + random*(maxRetryFactor-minRetryFactor)) * float64(f.retryInterval())
	remaining := interval - float64(f.lastDuration)
	switch {
	case f.lastUnanswered:
		return time.Duration(random * unansweredRetryFactor * float64(f.grace))
	case f.lastRejected:
		return time.Duration(max(remaining, (1+random)/2*float64(rejectedListDelay)))
	case f.failures == 0:
		return time.Duration(jitter)
	case f.lastReceivedData:
		interval *= progressRetryFactor
		remaining = interval - float64(f.lastDuration)
	}
	return time.Duration(max(remaining, min(interval, jitter)))
}
