// Package loop holds the one goroutine that owns the reducer. The reducer reads no clock and runs no effect, so
// this package does: it drains events in batches, keeps the timers and hands out the effects after each batch.
package loop

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
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

// CounterClient makes the calls to the counters. It may not block.
type CounterClient interface {
	Count(core.Count)
	Reach(map[int]string)
}

// Keeper keeps the plan book. It may not block.
type Keeper interface {
	Save(book plans.Snapshot, after func(error))
}

// Loop is the owner of a reducer.
type Loop struct {
	reducer   *core.Reducer
	callers   []Caller // by group
	counters  CounterClient
	board     *plans.Board
	planStore Keeper // nil: nothing is kept

	lastID       atomic.Uint64
	openRequests atomic.Int64
	wake         chan struct{}

	mu    sync.Mutex
	inbox []core.Event

	wallClockAhead time.Duration // of the wall clock, as the reducer was told
	timers         timers
	effects        []core.Effect
	traceTries     bool // tries and outcomes are logged: off in service
}

// New makes a loop; Run starts it once its parts are set.
func New(r *core.Reducer) *Loop {
	return &Loop{reducer: r, wake: make(chan struct{}, 1), traceTries: slog.Default().Enabled(context.Background(), slog.LevelDebug)}
}

// Connect sets the parts that effects go to: the callers by group, the counter, the board that shows the
// plans, and who keeps them (nil: nobody).
func (l *Loop) Connect(callers []Caller, counter CounterClient, board *plans.Board, keeper Keeper) {
	l.callers, l.counters, l.board, l.planStore = callers, counter, board, keeper
}

// Begin brings into force what is due before the first event. It is called before Run.
func (l *Loop) Begin() {
	l.effects = l.reducer.Begin(Now(), l.effects)
	l.runEffects()
}

// ID is a new request context's.
func (l *Loop) ID() uint64 { return l.lastID.Add(1) }

// Open is how many request contexts are in hand.
func (l *Loop) Open() int { return int(l.openRequests.Load()) }

var startTime = time.Now()

// Now is the limiter's clock: Unix time at the start, moved on by the monotonic clock, so that a step of the wall clock changes
// no deadline. The reducer is told of such steps: servers' starts are told by the wall clock, and limiters number their
// intervals by it.
func Now() time.Duration {
	now, _ := readClocks()
	return now
}

// readClocks reads the limiter's clock and how far the wall clock is ahead of it, at one moment.
func readClocks() (now, ahead time.Duration) {
	at := time.Now()
	now = time.Duration(startTime.UnixNano()) + at.Sub(startTime)
	return now, time.Duration(at.UnixNano()) - now
}

// minClockStep is what the wall clock has to be off by: less, as where it is slewed, is made up for once it adds up to that.
const minClockStep = 50 * time.Millisecond

// Post hands in an event. The inbox holds at most a few for each request context, try and call in hand, and
// those are bounded by the fronts.
func (l *Loop) Post(ev core.Event) {
	if q, ok := ev.(core.RequestContext); ok {
		q.At = Now()
		ev = q
	}
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

// Run owns the reducer until the context ends.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []core.Event
	for ctx.Err() == nil {
		l.mu.Lock()
		batch, l.inbox = l.inbox, batch[:0]
		l.mu.Unlock()
		l.processBatch(batch)
		clear(batch) // what the events point to must not live on in the spare slice
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = l.timers[0].At - Now()
		}
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

// processBatch reduces a batch and the timers that are due, then runs the effects.
func (l *Loop) processBatch(batch []core.Event) {
	now, ahead := readClocks()
	if step := ahead - l.wallClockAhead; step.Abs() >= minClockStep {
		slog.Info("the wall clock has stepped", "by", step.Round(time.Millisecond))
		l.wallClockAhead = ahead
		l.effects = l.reducer.Reduce(now, core.ClockStepped{Ahead: ahead}, l.effects)
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
	l.openRequests.Store(int64(l.reducer.Open()))
	l.runEffects()
}

// runEffects runs the effects that are asked for.
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
		heap.Push(&l.timers, e)
	case core.Try:
		if l.traceTries {
			slog.Debug("try", "context", e.ID, "try", e.Key.Try, "server", e.Server, "wait", e.Wait)
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
	case core.Reach:
		l.counters.Reach(e.Counters)
		slog.Info("counters", "listed", e.Listed, "list", e.List, "reached", len(e.Counters))
	case core.CloseIdle:
		l.callers[e.Group].CloseIdle(e.Server)
	case core.PublishPlans:
		l.board.Show(plans.Sheet{Version: e.Version, Tiers: e.Tiers, Plans: e.Plans})
		slog.Info("plans in force", "version", e.Version, "tiers", len(e.Tiers))
	case core.SendReply:
		e.To(e.Reply)
	case core.SavePlans:
		l.savePlans(e)
	case core.Log:
		slog.Info("module", "says", e.Text)
	}
}

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
