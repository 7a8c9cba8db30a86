// Command bramblefall is one limiter: it holds member firms to their quotas in front of the exchange nodes.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/counter"
	"bramblefall/internal/discovery"
	"bramblefall/internal/lastwords"
	"bramblefall/internal/loop"
	"bramblefall/internal/platform"
	"bramblefall/internal/ratelimit"
	"bramblefall/internal/upstream"
)

const (
	ownDescriptors = 64 // standard streams, pollers, listener, watch, and the counter's 32 at most
	fewDescriptors = 128
	memoryShare    = 0.75 // of the cap: the rest is for stacks and the kernel's buffers
	moreGarbage    = 400  // per cent: the heap is small, and collecting it costs CPU

	lastAnswers = 3400 * time.Millisecond // after SIGTERM: SIGKILL may come 300 ms later
	lastFlush   = 100 * time.Millisecond
)

func main() {
	defer lastwords.Guard()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bramblefall:", err)
		os.Exit(1)
	}
}

func run() error {
	path := flag.String("config", os.Getenv("RELAY_CONFIG"), "the platform's configuration, JSON")
	level := flag.String("log", "info", "log level: debug, info, warn or error")
	second := flag.String("ratelimit", "", "a file that says where the gRPC rate limit service listens; without one it is off")
	flag.Parse()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // before all else: a SIGHUP must not end it
	var least slog.Level
	if err := least.UnmarshalText([]byte(*level)); err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: least})))
	cfg, err := readConfig(*path, false)
	if err != nil {
		return err
	}
	var service *rateLimit
	if *second != "" {
		if service, err = readRateLimit(*second); err != nil {
			return err
		}
	}
	return serve(cfg, service, *path, signals)
}

func serve(cfg config, service *rateLimit, path string, signals <-chan os.Signal) error {
	if cfg.Limits.Cores > 0 {
		// On one core, a second scheduler thread only wakes and parks: measured, a sixth more CPU on a calm day.
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	debug.SetGCPercent(moreGarbage)
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB<<20)))
	}
	most := max(cfg.Limits.Sockets, fewDescriptors) - ownDescriptors
	if service != nil {
		most = max(most-ratelimit.Descriptors, fewDescriptors)
	}
	owner := loop.New(core.New(cfg.settings, cfg.seed))
	pool := upstream.New(cfg.settings, most/2, owner.Post)
	list := discovery.New(cfg.Discovery, cfg.settings, pool, owner.Post)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	counts := counter.New(cfg.Counter, owner.Post, loop.Now)
	callers := []loop.Caller{pool} // by group
	if service != nil {
		callers = append(callers, service.prepare(cfg.settings, owner))
	}
	owner.Connect(callers, counts, list)
	list.Known(cfg.Known)
	for _, run := range []func(context.Context){owner.Run, pool.Run, counts.Run, list.Run} {
		lastwords.Go(func() { run(ctx) })
	}
	front := platform.New(cfg.settings, owner, most-most/2)
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
	lastwords.Go(func() { front.Run(ctx) })
	slog.Info("serving", "name", cfg.Name, "listen", at)

	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		next, err := readConfig(path, true)
		if err != nil {
			slog.Error("the new configuration cannot be used, the old one is kept", "err", err)
			continue
		}
		list.Move(next.Discovery)
		counts.Move(next.Counter)
		slog.Info("read the configuration anew", "discovery", next.Discovery, "counter", next.Counter)
	}
	ended := time.After(lastAnswers)
	slog.Info("draining", "open", owner.Open())
	drained := make(chan struct{})
	lastwords.Go(func() {
		defer close(drained)
		if service != nil {
			service.front.Drain()
		}
	})
	front.Drain()
	finish(owner, front, drained, ended)
	return nil
}

// finish waits until every request context has its final answer and both fronts have written theirs, and answers
// what is left before the platform would kill it unanswered.
func finish(owner *loop.Loop, front *platform.Front, drained <-chan struct{}, ended <-chan time.Time) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for front.Clients() > 0 || owner.Open() > 0 || drained != nil {
		select {
		case <-tick.C:
		case <-drained:
			drained = nil
		case <-ended:
			owner.Post(core.Closing{})
			time.Sleep(lastFlush)
			return
		}
	}
}
