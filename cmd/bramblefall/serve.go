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
	"bramblefall/internal/memory"
	"bramblefall/internal/operator"
	"bramblefall/internal/plans"
	"bramblefall/internal/platform"
	"bramblefall/internal/ratelimit"
	"bramblefall/internal/state"
	"bramblefall/internal/upstream"
	"bramblefall/logic"
)

const (
	reservedDescriptors = 64  // for standard streams, pollers, listener, watch, and up to 32 of the counter
	minDescriptors      = 128 // lower bound for the limit, and for what remains after the gRPC front and the admin service get theirs
	gcPercent           = 200 // 8 MB before the first collection, which fits into half of the smallest memory limit

	firstListTimeout  = time.Second            // wait for discovery's first list, or its word that there is no news, before accepting clients
	maxDrainDeadline  = 3 * time.Second        // longer deadlines are taken as this at a planned restart
	finalAnswerDelay  = 400 * time.Millisecond // after the longest deadline; SIGKILL may follow 300 ms later
	finalFlushTimeout = 250 * time.Millisecond // for clients to read the final answers; most are written immediately
	adminDrainTimeout = 30 * time.Millisecond  // for the admin service to answer what has come by then
)

func serve(cfg config, file operator.File, o serveOptions, received signals) error {
	if cfg.Limits.Cores > 0 {
		// On one core, a second scheduler thread only wakes and parks, which costs a sixth more CPU under light load.
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	debug.SetGCPercent(gcPercent)
	limits := memory.Divide(cfg.Limits.MemoryMB)
	budgets := memory.NewBudgets(limits)
	monitor := memory.NewMonitor(limits, budgets.All()...)
	descriptors := max(cfg.Limits.Sockets, minDescriptors) - reservedDescriptors
	service := newRateLimit(file.RateLimit)
	callers, endpoints := ratelimit.SplitConnections(descriptors)
	if service != nil {
		descriptors = max(descriptors-callers-endpoints, minDescriptors)
	}
	if file.Admin != nil {
		descriptors = max(descriptors-admin.Descriptors, minDescriptors)
	}
	counterConns := counter.MaxConnections(len(file.Counters), max(cfg.Limits.Sockets, minDescriptors))
	descriptors -= min(counterConns-counter.MaxConnections(0, 0), descriptors/2) // only those beyond the counter's connections in reservedDescriptors
	book, keeper, err := openBook(cfg, file)
	if err != nil {
		return err
	}
	if n := cfg.settings.Gateways; cfg.settings.Rank < 0 || cfg.settings.Rank >= n {
		slog.Warn("this limiter's number is beyond the fleet: using it modulo the number of limiters", "number", cfg.settings.Rank, "limiters", n)
	}
	board := &plans.TierStore{}
	reducer := core.New(cfg.settings, cfg.seed, book)
	if file.Counters != nil {
		reducer.ShardCounters(loop.Now(), file.CounterAddresses(), false)
	}
	reducer.LimitCustomers(limits.Customers)
	eventLoop := loop.New(reducer)
	pool := upstream.New(cfg.settings, min(descriptors/2, limits.ServerConnections), upstream.Memory{ServerData: budgets.ServerData, Monitor: monitor}, eventLoop.Post, loop.Now)
	discoveryClient := discovery.New(cfg.Discovery, cfg.settings, pool, eventLoop.Post)
	discoveryClient.LimitMemory(limits.List)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	counts := &counterList{Set: counter.New(cfg.Counter, counterConns, eventLoop.Post, loop.Now), platform: cfg.Counter, listed: file.CounterAddresses(),
		hadList: file.Counters != nil}
	counts.Monitor = monitor
	groups := []loop.Caller{pool}
	if service != nil {
		groups = append(groups, service.prepare(cfg.settings, eventLoop, board, callers, endpoints, ratelimit.Memory{Calls: budgets.Calls, Monitor: monitor}))
	}
	eventLoop.Connect(groups, counts, board, keeper)
	eventLoop.Start()
	discoveryClient.ApplyCached(cfg.Known)
	for _, run := range []func(context.Context){eventLoop.Run, pool.Run, counts.Run, discoveryClient.Run, monitor.Run} {
		crash.Go(func() { run(ctx) })
	}
	if cfg.Discovery != "" {
		select {
		case <-discoveryClient.Synced():
		case <-time.After(firstListTimeout):
			slog.Info("discovery says nothing yet, serving by the list that was known", "servers", len(cfg.Known.Servers))
		case <-received.terminate:
			slog.Info("received a signal to terminate before any client was accepted")
			return nil
		}
	}
	front := platform.New(cfg.settings, eventLoop, board, descriptors-descriptors/2,
		platform.Memory{Commands: budgets.Commands, Answers: budgets.Answers, Input: budgets.Input, Monitor: monitor}, cfg.Limits.Cores)
	address, err := front.Listen(cfg.Listen)
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
		operators := admin.New(eventLoop, budgets.Calls, monitor)
		if err := operators.Listen(file.Admin.Socket); err != nil {
			return err
		}
		defer operators.Drain(adminDrainTimeout)
		slog.Info("serving operators", "socket", file.Admin.Socket)
	}
	crash.Go(func() { front.Run(ctx) })
	memory.ReleaseProgramPages()
	slog.Info("serving", "name", cfg.Name, "listen", address)

	crash.Go(func() {
		for range received.hangup { // also while draining: the address of discovery may change meanwhile
			reload(cfg, o, eventLoop, discoveryClient, counts)
		}
	})
	<-received.terminate
	finalAnswers := time.After(finalAnswersAfter(cfg.settings.Classes))
	slog.Info("draining", "open", eventLoop.Open())
	drained := make(chan struct{})
	crash.Go(func() {
		defer close(drained)
		if service != nil {
			service.front.Drain()
		}
	})
	front.Drain()
	awaitDrain(eventLoop, front, drained, finalAnswers)
	return nil
}

// finalAnswersAfter returns how long after SIGTERM the requests that are still open get their final answers. The platform waits
// at least the longest deadline plus 0.7 s after SIGTERM before it sends SIGKILL. It takes a deadline above 3 s as 3 s.
func finalAnswersAfter(classes []logic.Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return max(min(longest, maxDrainDeadline), 0) + finalAnswerDelay
}

// openBook creates the plan book from the platform's tiers, the stored plans in the state directory and the operators' file.
func openBook(cfg config, file operator.File) (*plans.Book, loop.PlanStore, error) {
	limits := file.Limits
	limits.MaxRequestUnits = cfg.settings.MostUnits
	book := plans.New(cfg.settings.Plans, limits)
	var keeper loop.PlanStore
	if file.StateDir != "" {
		dir, err := state.Open(file.StateDir)
		if err != nil {
			return nil, nil, err
		}
		restored, found, err := dir.Load()
		if err != nil {
			slog.Error("the stored plans cannot be used", "err", err)
		}
		if found {
			book.Restore(restored)
		}
		keeper = dir
	}
	return book, keeper, book.Replace(plans.File, file.Plans, file.Reservations, loop.Now(), nil)
}

// reload reads both files again. An invalid file leaves the last valid one in force. Changed addresses take effect. Of the
// settings, only the plans can change in service, and only if no other setting differs: the settings of a new deployment must
// not be in force in part.
func reload(cfg config, o serveOptions, eventLoop *loop.Loop, list *discovery.Client, counts *counterList) {
	next, err := readConfig(o.config, true)
	if err != nil {
		slog.Error("the new configuration cannot be used, the old one is kept", "err", err)
		return
	}
	list.Reload(next.Discovery)
	if changed := cfg.changedSettings(next); len(changed) > 0 {
		slog.Warn("settings differ that hold until a restart, the plans beside them are not taken either", "settings", changed)
	} else {
		changePlans(eventLoop, "the platform's tiers", core.Reread{Tiers: next.settings.Plans})
	}
	listed := counts.listed
	if o.operator != "" {
		file, err := readOperator(o.operator)
		if err != nil {
			slog.Error("the new operators' file cannot be used, the old one is kept", "err", err)
		} else {
			listed = file.CounterAddresses()
			changePlans(eventLoop, "the operators' file", core.Replace{Source: plans.File, Versions: file.Plans, Reservations: file.Reservations})
		}
	}
	counts.follow(eventLoop, next.Counter, listed)
	slog.Info("read the configuration anew", "discovery", next.Discovery, "counter", next.Counter)
}

// counterList holds the addresses of the counters: those in the operators' file, or else the platform's one.
type counterList struct {
	*counter.Set
	platform string
	listed   []string
	hadList  bool // a list is or was in force: from then on, the reducer hands counts over to their new counters when the list changes
}

// follow applies the addresses that the files name now.
func (c *counterList) follow(eventLoop *loop.Loop, platform string, listed []string) {
	before := c.platform
	c.platform, c.listed = platform, listed
	if c.hadList = c.hadList || listed != nil; !c.hadList {
		c.SetAddress(platform)
		return
	}
	if listed == nil {
		listed = []string{platform}
	}
	eventLoop.Post(core.CounterList{Previous: before, Addresses: listed})
}

// changePlans posts a change to the reducer and logs the result.
func changePlans(eventLoop *loop.Loop, source string, change any) {
	eventLoop.Post(core.PlanCommand{Command: change, Reply: func(r core.Reply) {
		if r.Err != nil {
			slog.Error("plans cannot be used, the old ones are kept", "from", source, "err", r.Err)
			return
		}
		slog.Info("read plans anew", "from", source, "version", r.Book.Current.Number, "to come", len(r.Book.Pending),
			"reservations", len(r.Book.Reservations))
	}})
}

// awaitDrain waits until every request context has its final answer and both fronts have written theirs. When finalAnswers
// fires, it answers what is still open, so that nothing is unanswered when the platform kills the process.
func awaitDrain(eventLoop *loop.Loop, front *platform.Front, drained <-chan struct{}, finalAnswers <-chan time.Time) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	var flushDeadline <-chan time.Time // nil until the final answers are given
	for front.Clients() > 0 || flushDeadline == nil && eventLoop.Open() > 0 || drained != nil {
		select {
		case <-tick.C:
		case <-drained:
			drained = nil
		case <-finalAnswers:
			eventLoop.Post(core.Closing{})
			flushDeadline = time.After(finalFlushTimeout)
		case <-flushDeadline:
			slog.Warn("connections are cut off that do not end", "clients", front.Clients())
			return
		}
	}
}
