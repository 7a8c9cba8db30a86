package main

import (
	"context"
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"bramblefall/internal/admin"
	"bramblefall/internal/core"
	"bramblefall/internal/counter"
	"bramblefall/internal/crash"
	"bramblefall/internal/discovery"
	"bramblefall/internal/loop"
	"bramblefall/internal/operator"
	"bramblefall/internal/plans"
	"bramblefall/internal/platform"
	"bramblefall/internal/ratelimit"
	"bramblefall/internal/state"
	"bramblefall/internal/upstream"
	"bramblefall/logic"
)

const (
	ownDescriptors = 64 // standard streams, pollers, listener, watch, and the counter's 32 at most
	fewDescriptors = 128
	memoryShare    = 0.75  // of the cap: the rest is for stacks and the kernel's buffers
	heldShare      = 0.125 // of the cap, for the bytes of commands in hand: a body is held as read, as written and in buffers
	moreGarbage    = 200   // per cent: 8 MB before the first collection, which half of the smallest cap holds

	firstList   = time.Second            // for discovery's first word, before clients are let in
	longestWait = 3 * time.Second        // a longer deadline counts as this at a planned restart
	lastAnswers = 400 * time.Millisecond // after that: SIGKILL may come 300 ms later
	lastFlush   = 250 * time.Millisecond // for the last answers to be read; most go out at once
)

func serve(cfg config, file operator.File, o serveOptions, told signals) error {
	if cfg.Limits.Cores > 0 {
		// On one core, a second scheduler thread only wakes and parks: measured, a sixth more CPU on a calm day.
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	debug.SetGCPercent(moreGarbage)
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB<<20)))
	}
	most := max(cfg.Limits.Sockets, fewDescriptors) - ownDescriptors
	service := newRateLimit(file.RateLimit)
	callers, endpoints := ratelimit.Descriptors(most)
	if service != nil {
		most = max(most-callers-endpoints, fewDescriptors)
	}
	if file.Admin != nil {
		most = max(most-admin.Descriptors, fewDescriptors)
	}
	links := counter.Connections(len(file.Counters), max(cfg.Limits.Sockets, fewDescriptors))
	most -= min(links-counter.Connections(0, 0), most/2) // those beyond the program's own
	book, keeper, err := openBook(cfg, file)
	if err != nil {
		return err
	}
	if n := cfg.settings.Gateways; cfg.settings.Rank < 0 || cfg.settings.Rank >= n {
		slog.Warn("this limiter's number is beyond the fleet: it counts round", "number", cfg.settings.Rank, "limiters", n)
	}
	board := &plans.Board{}
	reducer := core.New(cfg.settings, cfg.seed, book)
	if file.Counters != nil {
		reducer.Spread(loop.Now(), file.Addresses(), false)
	}
	owner := loop.New(reducer)
	pool := upstream.New(cfg.settings, most/2, owner.Post, loop.Now)
	list := discovery.New(cfg.Discovery, cfg.settings, pool, owner.Post)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	counts := &counterList{Set: counter.New(cfg.Counter, links, owner.Post, loop.Now), platform: cfg.Counter, listed: file.Addresses(),
		several: file.Counters != nil}
	groups := []loop.Caller{pool}
	if service != nil {
		groups = append(groups, service.prepare(cfg.settings, owner, board, callers, endpoints))
	}
	owner.Connect(groups, counts, board, keeper)
	owner.Begin()
	list.Known(cfg.Known)
	for _, run := range []func(context.Context){owner.Run, pool.Run, counts.Run, list.Run} {
		crash.Go(func() { run(ctx) })
	}
	if cfg.Discovery != "" {
		select {
		case <-list.Heard():
		case <-time.After(firstList):
			slog.Info("discovery says nothing yet, serving by the list that was known", "servers", len(cfg.Known.Servers))
		case <-told.end:
			slog.Info("told to end before clients were let in")
			return nil
		}
	}
	front := platform.New(cfg.settings, owner, board, most-most/2, int64(heldShare*float64(cfg.Limits.MemoryMB<<20)),
		cfg.Limits.Cores)
	at, err := front.Listen(cfg.Listen)
	if err != nil {
		return err
	}
	if service != nil {
		if err := service.start(ctx); err != nil {
			return err
		}
		defer service.stop()
	}
	if file.Admin != nil {
		operators := admin.New(owner)
		if err := operators.Listen(file.Admin.Socket); err != nil {
			return err
		}
		defer operators.Stop()
		slog.Info("serving operators", "socket", file.Admin.Socket)
	}
	crash.Go(func() { front.Run(ctx) })
	slog.Info("serving", "name", cfg.Name, "listen", at)

	crash.Go(func() {
		for range told.again { // also while it drains: discovery may move meanwhile
			reload(cfg, o, owner, list, counts)
		}
	})
	<-told.end
	ended := time.After(lastAnswersAfter(cfg.settings.Classes))
	slog.Info("draining", "open", owner.Open())
	drained := make(chan struct{})
	crash.Go(func() {
		defer close(drained)
		if service != nil {
			service.front.Drain()
		}
	})
	front.Drain()
	finish(owner, front, drained, ended)
	return nil
}

// lastAnswersAfter is when what is still open at a planned restart is answered. The platform kills no sooner than the
// longest deadline, counted as 3 s where it is longer, and 0.7 s more after SIGTERM.
func lastAnswersAfter(classes []logic.Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return max(min(longest, longestWait), 0) + lastAnswers
}

// openBook makes the plan book: the platform's tiers, what the state directory keeps, and the operators' file.
func openBook(cfg config, file operator.File) (*plans.Book, loop.Keeper, error) {
	limits := file.Limits
	limits.MostUnits = cfg.settings.MostUnits
	book := plans.New(cfg.settings.Plans, limits)
	var keeper loop.Keeper
	if file.StateDir != "" {
		dir, err := state.Open(file.StateDir)
		if err != nil {
			return nil, nil, err
		}
		kept, found, err := dir.Load()
		if err != nil {
			slog.Error("the plans that were kept cannot be used", "err", err)
		}
		if found {
			book.Restore(kept)
		}
		keeper = dir
	}
	return book, keeper, book.Replace(plans.File, file.Plans, file.Reservations, loop.Now(), nil)
}

// reload reads both files again. What cannot be used leaves the last good one. Addresses are followed; of the settings only
// the plans can change in service, and they do not where others differ: half of another deployment's must not be in force.
func reload(cfg config, o serveOptions, owner *loop.Loop, list *discovery.Client, counts *counterList) {
	next, err := readConfig(o.config, true)
	if err != nil {
		slog.Error("the new configuration cannot be used, the old one is kept", "err", err)
		return
	}
	list.Reload(next.Discovery)
	if other := cfg.unlike(next); len(other) > 0 {
		slog.Warn("settings differ that hold until a restart, the plans beside them are not taken either", "settings", other)
	} else {
		replan(owner, "the platform's tiers", core.Reread{Tiers: next.settings.Plans})
	}
	listed := counts.listed
	if o.operator != "" {
		file, err := readOperator(o.operator)
		if err != nil {
			slog.Error("the new operators' file cannot be used, the old one is kept", "err", err)
		} else {
			listed = file.Addresses()
			replan(owner, "the operators' file", core.Replace{Source: plans.File, Versions: file.Plans, Reservations: file.Reservations})
		}
	}
	counts.follow(owner, next.Counter, listed)
	slog.Info("read the configuration anew", "discovery", next.Discovery, "counter", next.Counter)
}

// counterList is where the counters are: the operators' list, or the platform's one.
type counterList struct {
	*counter.Set
	platform string
	listed   []string
	several  bool // a list has been in force: from then on the reducer hands over what changes
}

// follow takes what the files say now.
func (c *counterList) follow(owner *loop.Loop, platform string, listed []string) {
	before := c.platform
	c.platform, c.listed = platform, listed
	if c.several = c.several || listed != nil; !c.several {
		c.Move(platform)
		return
	}
	if listed == nil {
		listed = []string{platform}
	}
	owner.Post(core.Counters{Before: before, Addresses: listed})
}

// replan puts a change to the reducer and logs what became of it.
func replan(owner *loop.Loop, what string, question any) {
	owner.Post(core.Ask{Question: question, Reply: func(r core.Reply) {
		if r.Err != nil {
			slog.Error("plans cannot be used, the old ones are kept", "from", what, "err", r.Err)
			return
		}
		slog.Info("read plans anew", "from", what, "version", r.Book.Current.Number, "to come", len(r.Book.Pending),
			"reservations", len(r.Book.Reservations))
	}})
}

// finish waits until every request context has its final answer and both fronts have written theirs, and answers
// what is left before the platform would kill it unanswered.
func finish(owner *loop.Loop, front *platform.Front, drained <-chan struct{}, ended <-chan time.Time) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	var left <-chan time.Time // nil until the last answers are given
	for front.Clients() > 0 || left == nil && owner.Open() > 0 || drained != nil {
		select {
		case <-tick.C:
		case <-drained:
			drained = nil
		case <-ended:
			owner.Post(core.Closing{})
			left = time.After(lastFlush)
		case <-left:
			slog.Warn("connections are cut off that do not end", "clients", front.Clients())
			return
		}
	}
}
