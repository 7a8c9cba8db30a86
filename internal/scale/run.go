package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"bramblefall/internal/lab"
	"bramblefall/internal/loopback"
)

// Options are a run's.
type Options struct {
	Seed   uint64
	Quick  bool
	Sizes  Sizes
	Model  bool                            // the quota's error and the moments in the model's time, too
	Binary string                          // the limiter's program, its evaluator beside it; "": built from here
	Listen string                          // where the stand-in discovery listens for hollow limiters; "": a free port of loopback
	Child  func(role string) *exec.Cmd     // starts a child process of the rig
	Say    func(format string, a ...any)   // progress
	Hook   func(stage string, r Processes) // for tests: told at each stage; nil: nobody
}

// Processes names what runs, by id.
type Processes map[string]int

type run struct {
	Options
	f       *family
	dir     string
	binary  string
	figures *Figures
	ledger  *ledger
	began   time.Duration

	discovery, counter, servers, load, operators *process
	discoveryAt, counterAt                       Places
	serverAddrs                                  []string
	hollow                                       []*process
	hollowCount                                  []int
	real                                         []*limiter
	listed                                       int
	version                                      int64 // the last that discovery told
	lost, refused, sent                          int
	unanswered                                   int      // calls of hollow limiters
	unansweredWhy                                []string // by their process
	lostWhy                                      string
	clusters                                     chan clustersDone
	thought                                      chan modelled // nil: the model has not begun
}

// Run measures. The figures are those that there are, also where it gives an error: then they are partial and say why.
func Run(ctx context.Context, o Options) (*Figures, error) {
	all, err := machineMemory()
	if err != nil {
		return nil, err
	}
	if err := errors.Join(requireLoopback(o.Listen), o.Sizes.room()); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{Options: o, f: newFamily(ctx), dir: dir, ledger: newLedger(), began: now(),
		figures: &Figures{Version: 1, Seed: o.Seed, Quick: o.Quick, Cores: runtime.NumCPU(), MemoryMB: int(all >> 20), Real: o.Sizes.Real,
			Slopes: []Slope{}, Quota: []QuotaError{}, Moments: []Moment{}, Added: []AddedTime{}, Missing: missing()}}
	defer r.f.close()
	err = r.all()
	if cause := context.Cause(r.f.ctx); cause != nil && err != nil {
		err = cause
	}
	r.figures.Slopes = append(r.figures.Slopes, r.ledger.slopes()...)
	r.figures.Seconds = (now() - r.began).Seconds()
	if err != nil {
		r.figures.Partial = err.Error()
		return r.figures, err
	}
	r.bars()
	return r.figures, nil
}

// requireLoopback tells whether an address may be listened at: the rig is reached from this machine alone.
func requireLoopback(addr string) error {
	if addr == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is no loopback address", addr)
	}
	return nil
}

func (r *run) say(format string, args ...any) { r.Say(format, args...) }

// stage tells where the run is.
func (r *run) stage(name string) {
	r.say("%s", name)
	if r.Hook == nil {
		return
	}
	list := Processes{}
	r.f.mu.Lock()
	for _, p := range r.f.list {
		if !p.meant.Load() {
			list[p.name] = p.pid
		}
	}
	r.f.mu.Unlock()
	r.Hook(name, list)
}

func (r *run) all() error {
	for _, step := range []struct {
		name string
		do   func() error
	}{
		{"building the limiter", r.build},
		{"starting processes", r.start},
		{"requests, without control", r.requests},
		{"limiters", r.fleet},
		{"moments", r.moments},
		{"added time with control", r.withControl},
		{"changes", r.changes},
		{"the model", func() error {
			if r.Quick {
				return r.model()
			}
			return nil
		}},
		{"servers", r.lists},
		{"tenants", r.tenants},
		{"operators", r.tools},
		{"services", r.services},
		{"the model, at its own sizes", func() error {
			if r.Quick {
				return nil
			}
			return r.model()
		}},
	} {
		r.stage(step.name)
		if err := step.do(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) build() (err error) {
	r.binary = r.Binary
	if r.binary == "" {
		r.binary, err = lab.Build(r.f.ctx, r.dir)
	}
	return err
}

func (r *run) start() error {
	for role, p := range map[string]**process{discoveryRole: &r.discovery, counterRole: &r.counter, serversRole: &r.servers, loadRole: &r.load, operatorsRole: &r.operators} {
		var err error
		if *p, err = r.f.child(role, role, r.Child); err != nil {
			return err
		}
	}
	if err := r.f.call(r.servers, "Role.Start", ServersStart{8, serverWork}, &r.serverAddrs); err != nil {
		return err
	}
	r.listed = r.Sizes.FleetServers
	if err := r.f.call(r.discovery, "Role.Start", DiscoveryStart{Listen: r.Listen, Servers: r.listed, Addrs: r.serverAddrs, Zones: zones, Real: r.Sizes.Real}, &r.discoveryAt); err != nil {
		return err
	}
	r.version = 1
	if err := r.f.call(r.counter, "Role.Start", r.Sizes.Real, &r.counterAt); err != nil {
		return err
	}
	r.real = make([]*limiter, r.Sizes.Real)
	var wg sync.WaitGroup
	var first onceErr
	for k := range r.real {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l, err := r.limiter(k, r.believed(), "")
			if err != nil {
				first.set(err)
			}
			r.real[k] = l
		}()
	}
	wg.Wait()
	return first.err
}

func (r *run) limiter(k, fleet int, more string) (*limiter, error) {
	script := `bramblefall(admin = admin(socket = "admin.sock"), limits = limits(late = 10)` + more + ")\n"
	listen, err := loopback.AnyPort()
	if err != nil {
		return nil, err
	}
	return r.f.limiter(r.binary, filepath.Join(r.dir, fmt.Sprint(k)), name("limiter", k), map[string]any{"name": name("n", k), "listen": listen,
		"seed": fmt.Sprintf("%x", r.Seed*1000+uint64(k)), "limits": map[string]any{"cores": 1.0, "memory_mb": 512, "sockets": 1024}, "settings": r.Sizes.settings(fleet, k),
		"counter": r.counterAt.Real[k%r.Sizes.Real], "discovery": r.discoveryAt.Real[k%r.Sizes.Real]}, script)
}

// requests sweeps the rate of requests, with no change and no hollow limiter.
func (r *run) requests() error {
	r.ledger.held["requests"] = fmt.Sprintf("%d real limiters of a fleet of %d by the settings, no hollow one, %d servers, no change, %.3g firms for each request a second, within their quotas",
		len(r.real), r.believed(), r.listed, firmsPerRate)
	for _, rate := range r.Sizes.Rates {
		x, got, err := r.window(r.Sizes.Window, r.usual(rate), nil)
		if err != nil {
			return err
		}
		served := float64(got.Sent) / float64(len(r.real)) / (r.Sizes.Window + r.Sizes.Settle).Seconds() // as sent
		r.limiterPoint("requests", served, x)
		r.rolePoint("requests", served*float64(len(r.real)), x, counterRole)
		if rate == targetRate || rate == moreRequests*targetRate {
			r.added(rate, false, got)
			if err := r.besideServers(rate); err != nil {
				return err
			}
		}
	}
	return nil
}

// besideServers measures straight to the servers what the last added time measured through limiters.
func (r *run) besideServers(rate float64) error {
	var got Loaded
	if err := r.f.call(r.load, "Role.Run", LoadRun{r.straight(rate), r.Sizes.Settle, r.Sizes.Settle + r.Sizes.Window/2, r.Seed}, &got); err != nil {
		return err
	}
	r.figures.Added[len(r.figures.Added)-1].Straight = got.P99
	return nil
}

// withControl measures the added time with the whole fleet and the target's rate of changes.
func (r *run) withControl() error {
	if n := r.hollows(); n > mostBeside {
		// A change told to all of them takes all of this machine for a moment, which is not what a limiter has a machine of its
		// own for: what bounds are held against is measured beside few.
		if !r.Quick {
			if err := r.controlled(targetRate); err != nil {
				return err
			}
		}
		if err := r.shrink(); err != nil {
			return err
		}
		if err := r.grow(mostBeside); err != nil {
			return err
		}
	}
	for _, rate := range []float64{targetRate, moreRequests * targetRate} {
		if err := r.controlled(rate); err != nil {
			return err
		}
	}
	return nil
}

// controlled measures the added time at a rate of requests with the target's changes.
func (r *run) controlled(rate float64) error {
	lasts := max(r.Sizes.Window, burstLasts+time.Second)
	_, got, err := r.window(lasts, r.usual(rate), r.targetControl(lasts))
	if err != nil {
		return err
	}
	r.added(rate, true, got)
	return r.besideServers(rate)
}
