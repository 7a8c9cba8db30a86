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

// Counter makes the calls to the counters. It may not block.
type Counter interface {
	Count(core.Count)
	Reach(map[int]string)
}

// Keeper keeps the plan book. It may not block.
type Keeper interface {
	Keep(book plans.Snapshot, after func(error))
}

// Loop is the owner of a reducer.
type Loop struct {
	reducer *core.Reducer
	callers []Caller // by group
	counter Counter
	board   *plans.Board
	keeper  Keeper // nil: nothing is kept

	ids  atomic.Uint64
	open atomic.Int64
	wake chan struct{}

	mu    sync.Mutex
	inbox []core.Event

	ahead   time.Duration // of the wall clock, as the reducer was told
	timers  timers
	effects []core.Effect
	traced  bool // tries and outcomes are logged: off in service
}

// New makes a loop; Run starts it once its parts are set.
func New(r *core.Reducer) *Loop {
	return &Loop{reducer: r, wake: make(chan struct{}, 1), traced: slog.Default().Enabled(context.Background(), slog.LevelDebug)}
}

// Connect sets the parts that effects go to: the callers by group, the counter, the board that shows the
// plans, and who keeps them (nil: nobody).
func (l *Loop) Connect(callers []Caller, counter Counter, board *plans.Board, keeper Keeper) {
	l.callers, l.counter, l.board, l.keeper = callers, counter, board, keeper
}

// Begin brings into force what is due before the first event. It is called before Run.
func (l *Loop) Begin() {
	l.effects = l.reducer.Begin(Now(), l.effects)
	l.flush()
}

// ID is a new request context's.
func (l *Loop) ID() uint64 { return l.ids.Add(1) }

// Open is how many request contexts are in hand.
func (l *Loop) Open() int { return int(l.open.Load()) }

var began = time.Now()

// Now is the limiter's clock: Unix time at the start, moved on by the monotonic clock, so that a step of the wall clock changes
// no deadline. The reducer is told of such steps: servers' starts are told by the wall clock, and limiters number their
// intervals by it.
func Now() time.Duration {
	now, _ := clocks()
	return now
}

// clocks reads the limiter's clock and how far the wall clock is ahead of it, at one moment.
func clocks() (now, ahead time.Duration) {
	at := time.Now()
	now = time.Duration(began.UnixNano()) + at.Sub(began)
	return now, time.Duration(at.UnixNano()) - now
}

// leastStep is what the wall clock has to be off by: less, as where it is slewed, is made up for once it adds up to that.
const leastStep = 50 * time.Millisecond

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
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var batch []core.Event
	for ctx.Err() == nil {
		l.mu.Lock()
		batch, l.inbox = l.inbox, batch[:0]
		l.mu.Unlock()
		l.turn(batch)
		clear(batch) // what the events point to must not live on in the spare slice
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = l.timers[0].At - Now()
		}
		if wait <= 0 {
			continue
		}
		alarm.Reset(wait)
		select {
		case <-l.wake:
		case <-alarm.C:
		case <-ctx.Done():
		}
	}
}

// turn reduces a batch and the timers that are due, then runs the effects.
func (l *Loop) turn(batch []core.Event) {
	now, ahead := clocks()
	if off := ahead - l.ahead; off.Abs() >= leastStep {
		slog.Info("the wall clock has stepped", "by", off.Round(time.Millisecond))
		l.ahead = ahead
		l.effects = l.reducer.Reduce(now, core.ClockStepped{Ahead: ahead}, l.effects)
	}
	for _, ev := range batch {
		if o, ok := ev.(core.Outcome); ok && l.traced {
			slog.Debug("outcome", "context", o.ID, "try", o.Try, "status", o.Status)
		}
		l.effects = l.reducer.Reduce(now, ev, l.effects)
	}
	for len(l.timers) > 0 && l.timers[0].At <= now {
		due := heap.Pop(&l.timers).(core.SetTimer)
		l.effects = l.reducer.Reduce(now, due.Timer, l.effects)
	}
	l.open.Store(int64(l.reducer.Open()))
	l.flush()
}

// flush runs the effects that are asked for.
func (l *Loop) flush() {
	for k := range l.effects {
		l.run(l.effects[k])
		l.effects[k] = nil
	}
	l.effects = l.effects[:0]
}

func (l *Loop) run(e core.Effect) {
	switch e := e.(type) {
	case core.SetTimer:
		heap.Push(&l.timers, e)
	case core.Try:
		if l.traced {
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
		l.counter.Count(e)
	case core.Reach:
		l.counter.Reach(e.Counters)
		slog.Info("counters", "listed", e.Listed, "list", e.List, "reached", len(e.Counters))
	case core.CloseIdle:
		l.callers[e.Group].CloseIdle(e.Server)
	case core.Publish:
		l.board.Show(plans.Sheet{Version: e.Version, Tiers: e.Tiers, Plans: e.Plans})
		slog.Info("plans in force", "version", e.Version, "tiers", len(e.Tiers))
	case core.Answered:
		e.To(e.Reply)
	case core.Store:
		l.store(e)
	case core.Log:
		slog.Info("module", "says", e.Text)
	}
}

func (l *Loop) store(e core.Store) {
	answer := func(err error) {
		if e.Then == nil {
			return
		}
		if err != nil {
			e.Then.Reply.Err = fmt.Errorf("in force, but not kept for a restart: %w", err)
		}
		e.Then.To(e.Then.Reply)
	}
	if l.keeper == nil {
		answer(nil)
		return
	}
	l.keeper.Keep(e.Book, answer)
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
