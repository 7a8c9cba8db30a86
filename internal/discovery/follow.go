package discovery

import (
	"time"

	"bramblefall/logic"
)

// The protocol's figures: an empty line comes every 2 s while nothing changes, and what discovery has to tell counts as
// told 6 s later though it did not arrive. So a watch that says nothing for longer than a beat is doubted, and there is
// time left to ask anew.
const (
	beat    = 2 * time.Second
	silence = beat + beat/4

	fleetAsks   = 20.0 // a second, half more by the jitter: of all limiters together while discovery refuses
	mostRetry   = 4 * time.Second
	leastWait   = 0.25 // of that, from ask to ask
	mostWait    = 1.1
	lastRetry   = 2 * time.Second // a watch that lived for longer had stood
	refusal     = time.Second     // until a list that was refused is asked for again, half of it at least
	mostHead    = time.Second
	leastStuck  = 50 * time.Millisecond
	mostStuck   = 500 * time.Millisecond // in the middle of a list, after mostStalls watches left there in a row
	mostStalls  = 8
	usualGrace  = 500 * time.Millisecond // where the settings name none
	mostGrace   = 2 * time.Second        // that asks are timed by: 6 s bind with any grace
	graceSpread = 0.8                    // of the grace, over which a fleet's asks are spread
	brought     = 0.25                   // of a wait, where the answer began: discovery is up, and what it told binds
	again       = 0.3                    // of the grace, at most: until an agent that says nothing is asked once more

	reloadCounts = 4 * time.Second        // what there is to tell counts so long after a reload
	reloadMargin = 200 * time.Millisecond // of that, for an answer
	leastReload  = 50 * time.Millisecond  // between two asks in that time
)

// terms are what the settings say about asking discovery.
type terms struct {
	grace time.Duration // for a drain, from when it is told
	fleet int           // limiters that ask the same discovery
}

func termsOf(set logic.Settings) terms {
	t := terms{set.DrainGrace, max(set.Gateways, 1)}
	if t.grace <= 0 {
		t.grace = usualGrace
	}
	t.grace = min(t.grace, mostGrace)
	return t
}

// share is the time between two asks of one limiter while discovery refuses all.
func (t terms) share() time.Duration {
	return time.Duration(min(float64(t.fleet)/fleetAsks, mostRetry.Seconds()) * float64(time.Second))
}

// head is how long the beginning of an answer may take: the agent is near and answers at once, or says nothing while
// discovery is down.
func (t terms) head() time.Duration { return min(t.grace/2, mostHead) }

// stuck is how long the rest of a line may take after its last byte: what has come of it may count as told.
func (t terms) stuck() time.Duration { return max(t.grace/4, leastStuck) }

// patience is how long it may take behind so many watches in a row that were left in the middle. Guards against a discovery that
// stops for longer than that within each list, and whose lists would begin anew for good.
func (t terms) patience(stalls int) time.Duration {
	if stalls < mostStalls {
		return t.stuck()
	}
	return max(t.stuck(), mostStuck)
}

// follower decides when discovery is asked and which of at most three watches is believed. It does nothing itself and
// reads no clock; watches go by their numbers, from 1.
type follower struct {
	terms
	last    int           // the newest watch
	live    int           // the one that is listened to; 0: none, the next is due
	kept    int           // one before, which fell silent between two lines and may go on; 0: none
	pending int           // the last that has brought nothing: its answer may come once discovery is back; 0: none
	silent  bool          // the last that was left had brought nothing and had not ended
	lines   bool          // live has brought a whole word
	some    bool          // the last that ended had brought something
	useless bool          // a list that is refused
	began   time.Duration // live
	tries   int           // in a row that came to little
	stalls  int           // watches in a row that were left in the middle of a line or list
	lasted  time.Duration // the last that ended or was left, from its ask
	hurried time.Duration // what there is to tell has to be known by then; 0: there was no reload
}

// reloaded takes note of a reload. It tells whether to ask at once.
func (f *follower) reloaded(at time.Duration) bool {
	f.hurried = at + reloadCounts - reloadMargin
	return f.live == 0
}

// ask begins a watch.
func (f *follower) ask(now time.Duration) int {
	f.last++
	f.live, f.lines, f.began = f.last, false, now
	return f.live
}

// heard takes note of a whole word. It tells whether to believe it and which watches are of no more use.
func (f *follower) heard(watch int) (believed bool, drop []int) {
	if watch == 0 || watch != f.live && watch != f.kept && watch != f.pending {
		return false, nil
	}
	for _, other := range []int{f.live, f.kept, f.pending} {
		if other != 0 && other != watch {
			drop = append(drop, other)
		}
	}
	f.live, f.kept, f.pending, f.lines, f.silent, f.stalls = watch, 0, 0, true, false, 0
	return true, drop
}

// doubted takes note of a watch that has said nothing for too long, perhaps in the middle of a line. One that fell
// silent between two lines is kept beside the next, and so is the last that has brought nothing yet: that costs nothing,
// and what the agent has once discovery is back binds at once.
func (f *follower) doubted(now time.Duration, watch int, mid bool) (drop int, due bool) {
	switch {
	case watch == 0:
	case mid && watch == f.kept:
		drop, f.kept = f.kept, 0
	case mid && watch == f.pending:
		drop, f.pending = f.pending, 0
	case watch == f.live:
		switch {
		case mid:
			drop = f.live
		case f.lines:
			f.kept = f.live
		default:
			drop, f.pending = f.pending, f.live
		}
		silent := !f.lines && !mid
		f.leave(now, mid)
		if mid {
			f.stalls++
		}
		f.silent, due = silent, true
	}
	return drop, due
}

// ended takes note of a watch whose connection is over, perhaps in the middle of a line. It tells whether the next is due.
func (f *follower) ended(now time.Duration, watch int, mid bool) (due bool) {
	switch {
	case watch == 0:
	case watch == f.kept:
		f.kept = 0
	case watch == f.pending:
		f.pending = 0
	case watch == f.live:
		f.leave(now, mid)
		return true
	}
	return false
}

// refused takes note of a watch whose list is refused, and is left for it.
func (f *follower) refused(now time.Duration, watch int) (due bool) {
	due = f.ended(now, watch, true)
	f.useless = due
	return due
}

func (f *follower) leave(now time.Duration, mid bool) {
	f.some, f.lasted = f.lines || mid, now-f.began
	if f.tries++; f.lines && now-f.began > lastRetry {
		f.tries = 0
	}
	f.live, f.lines, f.silent, f.useless = 0, false, false, false
}

// pause is the wait before the next ask; luck is from 0 to 1. Guards against all limiters of a fleet asking in step, and
// so often that discovery answers nobody. It is short where a watch had stood or had begun to tell something: what a
// limiter would have been told had it asked binds it (drains). An agent that says nothing is asked again soon in a fleet of
// any size: it is this machine's alone, and answers at no cost. A list that is refused comes again as it was, and is dear to
// read. Asks are counted from one to the next. Guards against a call that hung, and then broke, and a whole wait behind
// it: the news of a discovery that came back under that call counts as told 6 s later.
//
// After a reload asks come closer together until what there is to tell counts.
func (f *follower) pause(luck float64) time.Duration {
	wait := f.usualPause(luck)
	if left := f.hurried - f.began - f.lasted; left > 0 {
		wait = min(wait, max(time.Duration((1+luck)/4*float64(left)), leastReload))
	}
	return wait
}

func (f *follower) usualPause(luck float64) time.Duration {
	spread := luck * graceSpread * float64(f.grace) * min(1, float64(f.fleet)/fleetAsks)
	every := (leastWait + luck*(mostWait-leastWait)) * float64(f.share())
	rest := every - float64(f.lasted)
	switch {
	case f.silent:
		return time.Duration(luck * again * float64(f.grace))
	case f.useless:
		return time.Duration(max(rest, (1+luck)/2*float64(refusal)))
	case f.tries == 0:
		return time.Duration(spread)
	case f.some:
		every *= brought
		rest = every - float64(f.lasted)
	}
	return time.Duration(max(rest, min(every, spread)))
}
