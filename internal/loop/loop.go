// Package loop runs the single goroutine that owns the reducer. The reducer reads no clock and runs no effects, so this
// package does: it processes events in batches, keeps the timers, and runs the effects after each batch.
package loop

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// Caller makes the tries of one upstream group. None of its methods may block.
type Caller interface {
	Try(core.Try)
	Abandon(core.Abandon)
	CloseIdle(logic.ServerID)
}

// CounterClient makes the calls to the counters. Its methods must not block.
type CounterClient interface {
	Count(core.Count)
	// SetCounters sets the addresses of the counters that may be called, by number.
	SetCounters(map[int]string)
}

// PlanStore saves the plan book for a restart. It must not block.
type PlanStore interface {
	// Save calls after with the result once the book has been saved or could not be.
	Save(book plans.Snapshot, after func(error))
}

// Loop owns a reducer.
type Loop struct {
	reducer   *core.Reducer
	callers   []Caller // by group
	counters  CounterClient
	board     *plans.TierStore
	planStore PlanStore    // nil if the plan book is not saved
	onHandled atomic.Value // of func(): called after each batch

	awaiting     atomic.Bool // whether the loop waits for the readers
	lastID       atomic.Uint64
	openRequests atomic.Int64
	unhandled    atomic.Int64 // events that were posted and not handled yet
	wake         chan struct{}

	mu    sync.Mutex
	inbox []core.Event

	wallClockAhead time.Duration // how far the wall clock is ahead of Now, as last reported to the reducer
	timers         timers
	timersKept     int // timers that were left when pointless ones were last dropped
	effects        []core.Effect
	stalls         stallLog
	holdUps        holdUps
	traceTries     bool // whether to log tries and outcomes at debug level; off in service
}

// New returns a loop for a reducer. Connect and Start must be called before Run.
func New(r *core.Reducer) *Loop {
	return &Loop{reducer: r, wake: make(chan struct{}, 1), traceTries: slog.Default().Enabled(context.Background(), slog.LevelDebug)}
}

// Connect sets where effects are carried out: the callers by group, the client of the counters, the board that shows the
// plans to the fronts, and the store that saves the plan book (nil if it is not saved).
func (l *Loop) Connect(callers []Caller, counters CounterClient, board *plans.TierStore, planStore PlanStore) {
	l.callers, l.counters, l.board, l.planStore = callers, counters, board, planStore
}

// Start brings into force the plans and reservations that are due before the first event. It must be called before Run.
func (l *Loop) Start() {
	l.effects = l.reducer.Start(Now(), l.effects)
	l.runEffects()
}

// ID returns an id for a new request context.
func (l *Loop) ID() uint64 { return l.lastID.Add(1) }

// Open returns the number of open request contexts as of the last batch.
func (l *Loop) Open() int { return int(l.openRequests.Load()) }

// OnHandled sets a function that is called in the loop's goroutine whenever Backlog falls. It must not block.
func (l *Loop) OnHandled(f func()) { l.onHandled.Store(f) }

// Backlog returns the number of events that were posted and not handled yet; 0 while the loop itself waits for what the readers post.
func (l *Loop) Backlog() int {
	if l.awaiting.Load() {
		return 0
	}
	return int(l.unhandled.Load())
}

func (l *Loop) notifyHandled() {
	if f, ok := l.onHandled.Load().(func()); ok {
		f()
	}
}

var startTime = time.Now()

// Now returns the time on the limiter's clock: the Unix time at the start of the process, advanced by the monotonic clock, so
// that a step of the wall clock does not move deadlines. Such steps are reported to the reducer, because start times of
// servers are given on the wall clock and limiters number their intervals by it.
func Now() time.Duration {
	now, _ := readClocks()
	return now
}

// readClocks returns the time on the limiter's clock and how far the wall clock is ahead of it at the same moment.
func readClocks() (now, ahead time.Duration) {
	at := time.Now()
	now = time.Duration(startTime.UnixNano()) + at.Sub(startTime)
	return now, time.Duration(at.UnixNano()) - now
}

// minClockStep is the smallest change of the wall clock's offset that is reported to the reducer. Smaller changes, as when
// the clock is slewed, are reported once they add up to this.
const minClockStep = 50 * time.Millisecond

// HeldUp reports whether this process had too little processor time within the last second.
func (l *Loop) HeldUp() bool { return l.holdUps.recent(Now()) }

// Post queues an event. The inbox needs no bound of its own: it holds at most a few events for each open request context,
// try and call, and the fronts bound those.
func (l *Loop) Post(ev core.Event) {
	if q, ok := ev.(core.RequestContext); ok {
		q.At = Now()
		ev = q
	}
	l.unhandled.Add(1)
	l.mu.Lock()
	l.inbox = append(l.inbox, ev)
	first := len(l.inbox) == 1
	l.mu.Unlock()
	if first {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Run processes events and timers until ctx is done. No other goroutine may use the reducer meanwhile.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []core.Event
	for ctx.Err() == nil {
		if now := Now(); len(l.timers) > 0 {
			l.stalls.check(now, now-l.timers[0].At)
			l.holdUps.check(now)
		}
		l.awaitReaders()
		l.mu.Lock()
		batch, l.inbox = l.inbox, batch[:0]
		l.mu.Unlock()
		l.processBatch(batch)
		l.unhandled.Add(-int64(len(batch)))
		l.notifyHandled()
		clear(batch) // the slice is reused and must not keep the events' data reachable
		wait := time.Hour
		due := time.Duration(0)
		if len(l.timers) > 0 {
			due = l.timers[0].At
			wait = due - Now()
		}
		l.holdUps.expect(due)
		if wait <= 0 {
			continue
		}
		timer.Reset(wait)
		select {
		case <-l.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

const (
	maxTimerDelay = 25 * time.Millisecond // a timer that is later than this shows that this process had no processor time
	readerTime    = 5 * time.Millisecond  // for the readers to post what arrived meanwhile
	maxReaderWait = 3                     // waits for the readers in a row
)

// awaitReaders lets the readers of all connections go first after this process had no processor time for a while. The answers
// that it waited for may have arrived meanwhile; timers that are processed before them would take them for missing.
func (l *Loop) awaitReaders() {
	for range maxReaderWait {
		if len(l.timers) == 0 || Now()-l.timers[0].At <= maxTimerDelay {
			return
		}
		began := Now()
		l.giveReadersTime()
		if Now()-began <= readerTime+maxTimerDelay {
			return
		}
	}
}

// giveReadersTime sleeps for readerTime, in which no reader waits for the loop.
func (l *Loop) giveReadersTime() {
	l.awaiting.Store(true)
	l.notifyHandled()
	time.Sleep(readerTime)
	l.awaiting.Store(false)
}

// processBatch passes a batch of events and the timers that are due to the reducer, then runs the effects.
func (l *Loop) processBatch(batch []core.Event) {
	now, wallClockAhead := readClocks()
	if step := wallClockAhead - l.wallClockAhead; step.Abs() >= minClockStep {
		slog.Info("the wall clock has stepped", "by", step.Round(time.Millisecond))
		l.wallClockAhead = wallClockAhead
		l.effects = l.reducer.Reduce(now, core.ClockStepped{Ahead: wallClockAhead}, l.effects)
	}
	for _, ev := range batch {
		if o, ok := ev.(core.Outcome); ok && l.traceTries {
			slog.Debug("outcome", "context", o.ID, "try", o.Try, "status", o.Status)
		}
		l.effects = l.reducer.Reduce(now, ev, l.effects)
	}
	for len(l.timers) > 0 && l.timers[0].At <= now {
		due := heap.Pop(&l.timers).(core.SetTimer)
		l.effects = l.reducer.Reduce(now, due.Timer, l.effects)
	}
	l.openRequests.Store(int64(l.reducer.OpenCount()))
	l.runEffects()
}

// runEffects runs the pending effects and clears the list.
func (l *Loop) runEffects() {
	for k := range l.effects {
		l.runEffect(l.effects[k])
		l.effects[k] = nil
	}
	l.effects = l.effects[:0]
}

func (l *Loop) runEffect(e core.Effect) {
	switch e := e.(type) {
	case core.SetTimer:
		l.setTimer(e)
	case core.Try:
		if l.traceTries {
			slog.Debug("try", "context", e.ID, "try", e.Key.Try, "server", e.Server, "wait", e.Timeout)
		}
		l.callers[e.Group].Try(e)
	case core.Abandon:
		l.callers[e.Group].Abandon(e)
	case core.Answer:
		e.Origin.Served(e.Value)
	case core.Admit:
		e.Origin.Admitted()
	case core.Reject:
		e.Origin.Rejected(e.After)
	case core.Fail:
		e.Origin.Failed()
	case core.Count:
		l.counters.Count(e)
	case core.SetCounters:
		l.counters.SetCounters(e.Counters)
		slog.Info("counters", "listed", e.ListedCount, "list", e.Fingerprint, "reached", len(e.Counters))
	case core.CloseIdle:
		l.callers[e.Group].CloseIdle(e.Server)
	case core.PublishPlans:
		l.board.Store(plans.TierSnapshot{Version: e.Version, Tiers: e.Tiers, Plans: e.Plans})
		slog.Info("plans in force", "version", e.Version, "tiers", len(e.Tiers))
	case core.SendReply:
		e.To(e.Reply)
	case core.SavePlans:
		l.savePlans(e)
	case core.Log:
		slog.Info("module", "says", e.Text)
	}
}

// minPrunedTimers is how many timers there are before those that have become pointless are dropped.
const minPrunedTimers = 4096

// setTimer adds a timer. A request's timers outlive it, up to its deadline, so where many requests end soon, those without an
// effect are dropped whenever the number of timers has doubled.
func (l *Loop) setTimer(t core.SetTimer) {
	heap.Push(&l.timers, t)
	if len(l.timers) < max(2*l.timersKept, minPrunedTimers) {
		return
	}
	l.timers = slices.DeleteFunc(l.timers, func(t core.SetTimer) bool { return !l.reducer.IsPending(t.Timer) })
	if 4*len(l.timers) < cap(l.timers) {
		l.timers = slices.Clone(l.timers)
	}
	heap.Init(&l.timers)
	l.timersKept = len(l.timers)
}

// savePlans saves the plan book, then answers the sender of the change. If saving fails the reply says so, but the change
// stays in force.
func (l *Loop) savePlans(e core.SavePlans) {
	answer := func(err error) {
		if e.OnSaved == nil {
			return
		}
		if err != nil {
			e.OnSaved.Reply.Err = fmt.Errorf("in force, but not kept for a restart: %w", err)
		}
		e.OnSaved.To(e.OnSaved.Reply)
	}
	if l.planStore == nil {
		answer(nil)
		return
	}
	l.planStore.Save(e.Book, answer)
}

type timers []core.SetTimer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].At < t[j].At }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(core.SetTimer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
