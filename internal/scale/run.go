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

// Options configure a run.
type Options struct {
	Seed         uint64
	Quick        bool
	Sizes        Sizes
	Model        bool                             // also measure the quota's error and the modelled moments
	Binary       string                           // path of the limiter's program, with its evaluator beside it; "": both are built from these sources
	Listen       string                           // loopback address at which the stand-in discovery listens for hollow limiters; "": a free port
	ChildCommand func(role string) *exec.Cmd      // prepares the command of one of the rig's child processes
	Progress     func(format string, a ...any)    // reports progress
	OnStage      func(stage string, r ProcessIDs) // for tests: called as each stage begins; may be nil
}

// ProcessIDs holds the process id of each running process by its name.
type ProcessIDs map[string]int

type run struct {
	Options
	children     *processSet
	dir          string
	binary       string
	figures      *Figures
	measurements *measurements
	startedAt    time.Duration // by now()

	discoveryProcess, counterProcess, serverProcess, loadProcess, operatorProcess *process
	discoveryAddrs, counterAddrs                                                  Addresses
	serverAddrs                                                                   []string // of the stand-in servers
	hollowProcesses                                                               []*process
	hollowCounts                                                                  []int // hollow limiters by process
	realLimiters                                                                  []*limiter
	listedServers                                                                 int   // on discovery's list now
	lastVersion                                                                   int64 // of the list, the last that discovery sent
	lostRequests, refusedRequests, sentRequests                                   int
	unansweredCalls                                                               int      // by the counter, of hollow limiters
	unansweredReasons                                                             []string // one of each hollow process with unanswered calls
	lostReason                                                                    string   // of a lost request, from the first load that lost any
	clusterResults                                                                chan clusterResult
	modelResults                                                                  chan modelResult // nil: the model has not been started
}

// Run carries out a run and returns its figures. Where it fails after its options were found usable it returns both an error
// and the figures measured so far, whose field Partial says why they are incomplete.
func Run(ctx context.Context, o Options) (*Figures, error) {
	memoryBytes, err := machineMemory()
	if err != nil {
		return nil, err
	}
	if err := errors.Join(requireLoopback(o.Listen), o.Sizes.checkFit()); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{Options: o, children: newProcessSet(ctx), dir: dir, measurements: newMeasurements(), startedAt: now(),
		figures: &Figures{Version: 1, Seed: o.Seed, Quick: o.Quick, Cores: runtime.NumCPU(), MemoryMB: int(memoryBytes >> 20), Real: o.Sizes.RealLimiters,
			Slopes: []Slope{}, Quota: []QuotaError{}, Moments: []Moment{}, Added: []AddedTime{}, Missing: knownMissing()}}
	defer r.children.close()
	err = r.runStages()
	if cause := context.Cause(r.children.ctx); cause != nil && err != nil {
		err = cause
	}
	r.figures.Slopes = append(r.figures.Slopes, r.measurements.slopes()...)
	r.figures.Seconds = (now() - r.startedAt).Seconds()
	if err != nil {
		r.figures.Partial = err.Error()
		return r.figures, err
	}
	r.checkBars()
	return r.figures, nil
}

// requireLoopback returns an error for an address outside loopback: the rig must be reachable from this machine only.
func requireLoopback(addr string) error {
	if addr == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is no loopback address: the rig listens on loopback only", addr)
	}
	return nil
}

func (r *run) say(format string, args ...any) { r.Progress(format, args...) }

// enterStage reports the stage that begins to Progress, and to OnStage together with the processes that run.
func (r *run) enterStage(name string) {
	r.say("%s", name)
	if r.OnStage == nil {
		return
	}
	list := ProcessIDs{}
	r.children.mu.Lock()
	for _, p := range r.children.processes {
		if !p.exitExpected.Load() {
			list[p.name] = p.pid
		}
	}
	r.children.mu.Unlock()
	r.OnStage(name, list)
}

func (r *run) runStages() error {
	for _, step := range []struct {
		name string
		do   func() error
	}{
		{"building the limiter", r.buildLimiter},
		{"starting processes", r.startProcesses},
		{"requests, without control", r.sweepRequests},
		{"limiters", r.sweepLimiters},
		{"moments", r.measureMoments},
		{"added time with control", r.measureWithControl},
		{"changes", r.sweepChanges},
		{"the model", func() error {
			if r.Quick {
				return r.collectModel()
			}
			return nil
		}},
		{"servers", r.sweepServers},
		{"tenants", r.sweepTenants},
		{"operators", r.sweepOperators},
		{"services", r.collectClusters},
		{"the model, at its own sizes", func() error {
			if r.Quick {
				return nil
			}
			return r.collectModel()
		}},
	} {
		r.enterStage(step.name)
		if err := step.do(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) buildLimiter() (err error) {
	r.binary = r.Binary
	if r.binary == "" {
		r.binary, err = lab.BuildLimiter(r.children.ctx, r.dir)
	}
	return err
}

func (r *run) startProcesses() error {
	for role, p := range map[string]**process{discoveryRole: &r.discoveryProcess, counterRole: &r.counterProcess, serversRole: &r.serverProcess, loadRole: &r.loadProcess, operatorsRole: &r.operatorProcess} {
		var err error
		if *p, err = r.children.startChild(role, role, r.ChildCommand); err != nil {
			return err
		}
	}
	if err := r.children.call(r.serverProcess, "Role.Start", ServersStart{8, serverWorkTime}, &r.serverAddrs); err != nil {
		return err
	}
	r.listedServers = r.Sizes.ServersBesideFleet
	if err := r.children.call(r.discoveryProcess, "Role.Start", DiscoveryStart{HollowListen: r.Listen, Servers: r.listedServers, Addrs: r.serverAddrs, Zones: zones, RealLimiters: r.Sizes.RealLimiters}, &r.discoveryAddrs); err != nil {
		return err
	}
	r.lastVersion = 1
	if err := r.children.call(r.counterProcess, "Role.Start", r.Sizes.RealLimiters, &r.counterAddrs); err != nil {
		return err
	}
	r.realLimiters = make([]*limiter, r.Sizes.RealLimiters)
	var wg sync.WaitGroup
	var first firstError
	for k := range r.realLimiters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l, err := r.startLimiter(k, r.configuredFleetSize(), "")
			if err != nil {
				first.set(err)
			}
			r.realLimiters[k] = l
		}()
	}
	wg.Wait()
	return first.err
}

func (r *run) startLimiter(k, fleet int, extraArguments string) (*limiter, error) {
	script := `bramblefall(admin = admin(socket = "admin.sock"), limits = limits(late = 10)` + extraArguments + ")\n"
	listen, err := loopback.AnyPort()
	if err != nil {
		return nil, err
	}
	return r.children.startLimiter(r.binary, filepath.Join(r.dir, fmt.Sprint(k)), indexedName("limiter", k), map[string]any{"name": indexedName("n", k), "listen": listen,
		"seed": fmt.Sprintf("%x", r.Seed*1000+uint64(k)), "limits": map[string]any{"cores": 1.0, "memory_mb": 512, "sockets": 1024}, "settings": r.Sizes.limiterSettings(fleet, k),
		"counter": r.counterAddrs.Real[k%r.Sizes.RealLimiters], "discovery": r.discoveryAddrs.Real[k%r.Sizes.RealLimiters]}, script)
}

// sweepRequests sweeps the rate of requests, without changes of the list and without hollow limiters.
func (r *run) sweepRequests() error {
	r.measurements.heldConstant["requests"] = fmt.Sprintf("%d real limiters of a fleet of %d by the settings, no hollow one, %d servers, no change, %.3g firms for each request a second, within their quotas",
		len(r.realLimiters), r.configuredFleetSize(), r.listedServers, firmsPerRequestRate)
	for _, rate := range r.Sizes.RequestsPerSecond {
		used, load, err := r.measureWindow(r.Sizes.Window, r.regularLoad(rate), nil)
		if err != nil {
			return err
		}
		sentPerLimiter := float64(load.Sent) / float64(len(r.realLimiters)) / (r.Sizes.Window + r.Sizes.Settle).Seconds() // sent, whatever the answer
		r.recordLimiters("requests", sentPerLimiter, used)
		r.recordRoles("requests", sentPerLimiter*float64(len(r.realLimiters)), used, counterRole)
		if rate == targetRequestsPerSecond || rate == heavyLoadFactor*targetRequestsPerSecond {
			r.recordAddedTime(rate, false, load)
			if err := r.measureDirect(rate); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureDirect sends the load of the last added time directly to the servers and records its 99th percentile beside that: the
// part of the time that is due to sockets and the machine, not to limiters.
func (r *run) measureDirect(rate float64) error {
	var load LoadResult
	if err := r.children.call(r.loadProcess, "Role.Run", LoadRun{r.directLoad(rate), r.Sizes.Settle, r.Sizes.Settle + r.Sizes.Window/2, r.Seed}, &load); err != nil {
		return err
	}
	r.figures.Added[len(r.figures.Added)-1].DirectP99MS = load.P99MS
	return nil
}

// measureWithControl measures the added time while the list changes at the target's rate: in a full run beside the whole
// fleet, and always beside at most maxHollowForAddedTime hollow limiters.
func (r *run) measureWithControl() error {
	if n := r.hollowLimiterCount(); n > maxHollowForAddedTime {
		// A change that all hollow limiters take in occupies the whole machine for a moment. A limiter of a real fleet has a
		// machine of its own, so the added time that is held against its bound is measured beside few hollow limiters.
		if !r.Quick {
			if err := r.measureControlled(targetRequestsPerSecond); err != nil {
				return err
			}
		}
		if err := r.stopHollow(); err != nil {
			return err
		}
		if err := r.growFleet(maxHollowForAddedTime); err != nil {
			return err
		}
	}
	for _, rate := range []float64{targetRequestsPerSecond, heavyLoadFactor * targetRequestsPerSecond} {
		if err := r.measureControlled(rate); err != nil {
			return err
		}
	}
	return nil
}

// measureControlled measures the added time at a rate of requests while the list changes at the target's rate.
func (r *run) measureControlled(rate float64) error {
	duration := max(r.Sizes.Window, burstDuration+time.Second)
	_, load, err := r.measureWindow(duration, r.regularLoad(rate), r.targetChanges(duration))
	if err != nil {
		return err
	}
	r.recordAddedTime(rate, true, load)
	return r.measureDirect(rate)
}
