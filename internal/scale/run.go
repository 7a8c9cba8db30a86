package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"bramblefall/internal/lab"
	"bramblefall/logic"
)

// The target that the run is held against.
const (
	targetAdded   = 2.9             // ms, for 99 in 100
	targetChanges = 33000.0 / 86400 // a second
	burstChanges  = 20.0            // a second, for burstLasts
	burstLasts    = time.Second
	targetRate    = 63.0 // requests a second of a limiter
	moreRequests  = 10
	firmsPerRate  = 4.25 // firms that a limiter sees for each request a second: 268 at 63
	firmSpread    = 3
	hollowGrace   = 4 * time.Second
	mostAdded     = 40 // hollow limiters that one process starts at once
	usualGrace    = 500 * time.Millisecond
	serversEach   = 10  // servers for each limiter: 57,000 for 5,700
	mostBeside    = 100 // hollow limiters while added time is held against its bound
	serverWork    = 2 * time.Millisecond
)

var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d", "hall-e"}

// tiers: firms of the usual tier stay within their quota; the wide one bounds nothing, for sweeps over few firms.
var tiers = []logic.Plan{
	{Name: "regular", Rate: 3, Burst: 15, Price: 1, OverCost: 0.5},
	{Name: "wide", Rate: 1e5, Burst: 1e5, Price: 1, OverCost: 0.5},
}

// Sizes are those of a run.
type Sizes struct {
	Real         int       // limiters
	Fleet        []int     // hollow limiters; each size a multiple of their processes
	FleetServers int       // on the list beside the fleet
	Servers      []int     // on the list
	Changes      []float64 // a second
	Rates        []float64 // requests a second of a real limiter
	Active       []int     // firms that ask
	Known        []int     // firms that the plan book names
	Told         []int     // limiters that operators tell
	Services     []int     // clusters in the file
	Calls        float64   // a second of a hollow limiter
	Window       time.Duration
	Settle       time.Duration
	Beside       float64       // changes a second while something else grows
	Grace        time.Duration // for a drain, by the settings: how soon a silent watch is doubted follows from it
	HollowGrace  time.Duration // the same for hollow ones, which share a processor: a watch is not doubted because others had it

	small bool // the short form: counts only
}

// spread is five sizes that span a factor of 100, up to most; each is a multiple of step.
func spread(most, step int) (list []int) {
	for k := 4; k >= 0; k-- {
		n := int(math.Round(float64(most)/math.Pow(10, float64(k)/2)/float64(step))) * step
		list = append(list, max(n, step))
	}
	return slices.Compact(list)
}

// QuickSizes are those of --quick.
func QuickSizes() Sizes {
	return Sizes{Real: 8, Fleet: spread(1000, hollowProcesses), FleetServers: 100, Servers: spread(10_000, 1), Changes: []float64{0.8, 3, 8, 25, 80},
		Rates: []float64{6.3, 20, 63, 200, 630}, Active: spread(2000, 1), Known: spread(10_000, 1), Told: spread(200, 1), Services: spread(1000, 1),
		Calls: 2, Window: time.Second, Settle: 300 * time.Millisecond, Beside: 4, Grace: usualGrace, HollowGrace: hollowGrace}
}

// FullSizes are those of the target, as far as a machine bears them.
func FullSizes() Sizes {
	return Sizes{Real: 8, Fleet: spread(5700, hollowProcesses), FleetServers: 200, Servers: spread(57_000, 1), Changes: []float64{0.38, 1.2, 3.8, 12, 38},
		Rates: []float64{6.3, 20, 63, 200, 630}, Active: spread(10_000, 1), Known: spread(100_000, 1), Told: spread(1000, 1), Services: spread(1000, 1),
		Calls: 1, Window: 4 * time.Second, Settle: time.Second, Beside: 2, Grace: usualGrace, HollowGrace: hollowGrace}
}

// Set replaces sizes that are not 0, and those of their sweeps.
func (s *Sizes) Set(limiters, servers, beside, real int) error {
	for _, n := range []int{limiters, servers, beside, real} {
		if n < 0 {
			return fmt.Errorf("%d: a size is not below 0", n)
		}
	}
	if limiters > 0 {
		s.Fleet = spread(limiters, hollowProcesses)
		if most := s.Fleet[len(s.Fleet)-1]; most != limiters {
			return fmt.Errorf("%d hollow limiters: they are spread evenly over %d processes", limiters, hollowProcesses)
		}
	}
	if servers > 0 {
		s.Servers = spread(servers, 1)
	}
	if beside > 0 {
		s.FleetServers = beside
	}
	if real > 0 {
		s.Real = real
	}
	return nil
}

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
	unanswered                                   int // calls of hollow limiters
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
	if err := errors.Join(loopback(o.Listen), o.Sizes.room()); err != nil {
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

// loopback tells whether an address may be listened at: the rig is reached from this machine alone.
func loopback(addr string) error {
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

func (r *run) fleetSize() int { return r.Sizes.Fleet[len(r.Sizes.Fleet)-1] + r.Sizes.Real }

// believed is the size of the fleet that the real limiters' settings name: the target's by the servers that are listed, so that
// their bounds on tries are as there, where each limiter has ten servers.
func (r *run) believed() int { return max(r.Sizes.Real+1, r.Sizes.FleetServers/serversEach) }

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
	return r.f.limiter(r.binary, filepath.Join(r.dir, fmt.Sprint(k)), name("limiter", k), map[string]any{"name": name("n", k), "listen": "127.0.0.1:0",
		"seed": fmt.Sprintf("%x", r.Seed*1000+uint64(k)), "limits": map[string]any{"cores": 1.0, "memory_mb": 512, "sockets": 1024}, "settings": r.Sizes.settings(fleet, k),
		"counter": r.counterAt.Real[k%r.Sizes.Real], "discovery": r.discoveryAt.Real[k%r.Sizes.Real]}, script)
}

// settings are those of a limiter of a fleet.
func (s Sizes) settings(fleet, rank int) map[string]any {
	set := lab.Settings(fleet, rank, tiers)
	set["zones"], set["zone"] = zones, rank%len(zones)
	set["rules"].(map[string]any)["drainGrace"] = s.Grace.Seconds()
	return set
}

// sample is what all roles have used at a moment.
type sample struct {
	at                time.Duration
	processor         map[string]time.Duration
	real              []time.Duration
	discovery, counts Sides
}

func (r *run) sample() (s sample, err error) {
	if err := r.f.call(r.discovery, "Role.Traffic", 0, &s.discovery); err != nil {
		return s, err
	}
	if err := r.f.call(r.counter, "Role.Traffic", 0, &s.counts); err != nil {
		return s, err
	}
	s.at = now()
	s.processor = map[string]time.Duration{"discovery": processor(r.discovery.pid), "counter": processor(r.counter.pid)}
	for _, p := range r.hollow {
		s.processor["hollow"] += processor(p.pid)
	}
	for _, l := range r.real {
		s.real = append(s.real, processor(l.pid))
	}
	return s, nil
}

// rates is what was used a second between two samples.
type rates struct {
	seconds                    float64
	processor                  map[string]float64
	limiter                    []float64  // processor
	discovery, counter         [2]float64 // messages, bytes
	limiterTraffic             [][2]float64
	discoveryTold, counterTold Sides
}

func between(a, b sample) (x rates) {
	s := (b.at - a.at).Seconds()
	x.seconds, x.processor = s, map[string]float64{}
	for role := range b.processor {
		x.processor[role] = (b.processor[role] - a.processor[role]).Seconds() / s
	}
	x.discoveryTold, x.counterTold = b.discovery.less(a.discovery), b.counts.less(a.counts)
	per := func(t Traffic) [2]float64 { return [2]float64{float64(t.Messages) / s, float64(t.Bytes) / s} }
	x.discovery, x.counter = per(x.discoveryTold.all()), per(x.counterTold.all())
	for k := range b.real {
		x.limiter = append(x.limiter, (b.real[k]-a.real[k]).Seconds()/s)
		x.limiterTraffic = append(x.limiterTraffic, per(x.discoveryTold.Real[k].and(x.counterTold.Real[k])))
	}
	return x
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

// window lets a load and a steady rate of changes run for a window and measures what they cost.
func (r *run) window(lasts time.Duration, targets []LoadTarget, steady []Steady) (x rates, got Loaded, err error) {
	var wg sync.WaitGroup
	var first onceErr
	if len(targets) > 0 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// A bit longer than the window at its beginning: connections are up when it starts.
			first.set(r.f.call(r.load, "Role.Run", LoadRun{targets, r.Sizes.Settle, lasts + r.Sizes.Settle, r.Seed}, &got))
		}()
		if err := r.f.wait(r.Sizes.Settle); err != nil {
			return x, got, err
		}
	}
	a, err := r.sample()
	if err != nil {
		return x, got, err
	}
	var told []Steadied
	for _, s := range steady {
		var t Steadied
		s.Among = r.listed / 2
		if err := r.f.call(r.discovery, "Role.Steady", s, &t); err != nil {
			return x, got, err
		}
		told = append(told, t)
	}
	if left := lasts - (now() - a.at); left > 0 {
		if err := r.f.wait(left); err != nil {
			return x, got, err
		}
	}
	b, err := r.sample()
	if err != nil {
		return x, got, err
	}
	wg.Wait()
	if first.err != nil {
		return x, got, first.err
	}
	for _, t := range told {
		if t.Changes > 0 {
			r.version = max(r.version, t.Last.Version)
		}
	}
	r.lost, r.refused, r.sent = r.lost+got.Lost, r.refused+got.Refused, r.sent+got.Sent
	if r.lostWhy == "" {
		r.lostWhy = got.Why
	}
	return between(a, b), got, nil
}

// usual is the load of firms that stay within their quotas.
func (r *run) usual(rate float64) (list []LoadTarget) {
	for k, l := range r.real {
		list = append(list, LoadTarget{Addr: l.addr, PerSecond: rate, Firms: max(int(firmsPerRate*rate), 1), FirstFirm: uint64(k+1) << 20, Spread: firmSpread, First: k, Tier: tiers[0].Name})
	}
	return list
}

func (r *run) straight(rate float64) (list []LoadTarget) {
	for k := range r.real {
		list = append(list, LoadTarget{Addr: r.serverAddrs[k%len(r.serverAddrs)], PerSecond: rate, Firms: 1, Spread: 1, Tier: tiers[0].Name})
	}
	return list
}

func (r *run) added(rate float64, control bool, got Loaded) {
	r.figures.Added = append(r.figures.Added, AddedTime{PerSecond: rate, Control: control, P50: got.P50, P99: got.P99, Requests: got.Timed,
		Limiters: r.hollows() + len(r.real), Servers: r.listed, Refused: got.Refused, Lost: got.Lost})
	r.say("%g requests a second of each limiter: 99 in 100 wait %.2f ms longer (half: %.2f); %d refused, %d lost", rate, got.P99, got.P50, got.Refused, got.Lost)
}

func (r *run) hollows() (sum int) {
	for _, n := range r.hollowCount {
		sum += n
	}
	return sum
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

// limiterPoint notes what a real limiter used at a size.
func (r *run) limiterPoint(against string, size float64, x rates) {
	var memory, messages, bytes []float64
	for k, l := range r.real {
		memory = append(memory, resident(l.pid))
		messages, bytes = append(messages, x.limiterTraffic[k][0]), append(bytes, x.limiterTraffic[k][1])
	}
	r.ledger.note("limiter", "memory", against, size, mean(memory))
	r.ledger.note("limiter", "processor", against, size, mean(x.limiter))
	r.ledger.note("limiter", "messages", against, size, mean(messages))
	r.ledger.note("limiter", "bytes", against, size, mean(bytes))
}

// rolePoint notes what control roles used at a size.
func (r *run) rolePoint(against string, size float64, x rates, roles ...string) {
	for _, role := range roles {
		p, t := r.discovery, x.discovery
		if role == counterRole {
			p, t = r.counter, x.counter
		}
		r.ledger.note(role, "memory", against, size, resident(p.pid))
		r.ledger.note(role, "processor", against, size, x.processor[role])
		r.ledger.note(role, "messages", against, size, t[0])
		r.ledger.note(role, "bytes", against, size, t[1])
	}
}

func (r *run) collect() error {
	for _, p := range append([]*process{r.discovery, r.counter}, r.hollow...) {
		if err := r.f.call(p, "Peer.Collect", 0, new(int)); err != nil {
			return err
		}
	}
	return nil
}

// change tells one change and waits until the hollow limiters have it.
func (r *run) change(c Change, limit time.Duration) (m Moment, err error) {
	before, err := r.sample()
	if err != nil {
		return m, err
	}
	var told Told
	if err := r.f.call(r.discovery, "Role.Change", c, &told); err != nil {
		return m, err
	}
	r.version = told.Version
	all, behind, err := r.arrivals(limit, r.hollow)
	if err != nil {
		return m, err
	}
	after, err := r.sample()
	if err != nil {
		return m, err
	}
	m = r.moment(all, told.At, behind)
	t := after.discovery.less(before.discovery).all()
	m.Messages, m.Bytes = float64(t.Messages), float64(t.Bytes)
	return m, nil
}

// moment is how long arrivals took.
func (r *run) moment(at []time.Duration, from time.Duration, behind int) (m Moment) {
	slices.Sort(at)
	m.Limiters, m.Servers = r.hollows()+len(r.real), r.listed
	if n := len(at); n > 0 {
		m.P99, m.Last = (at[(n*99+99)/100-1] - from).Seconds(), (at[n-1] - from).Seconds()
	}
	if behind > 0 {
		m.Note = fmt.Sprintf("%d hollow limiters %s", behind, unheard)
	}
	return m
}

const (
	quietBytes = 1000 // of a real limiter's watch in quietFor, where nothing is told but empty lines
	quietFor   = 300 * time.Millisecond
	lookAgain  = 20 * time.Millisecond
	hearLimit  = 20 * time.Second // until the last has a change or a list
)

// arrivals waits until the hollow limiters of these processes have the last version.
func (r *run) arrivals(limit time.Duration, from []*process) (at []time.Duration, behind int, err error) {
	for began := now(); ; {
		at, behind = nil, 0
		for _, p := range from {
			var a Arrived
			if err := r.f.call(p, "Role.Arrivals", r.version, &a); err != nil {
				return nil, 0, err
			}
			at = append(at, a.At...)
			behind += a.Behind
		}
		if behind == 0 || now()-began > limit {
			return at, behind, nil
		}
		if err := r.f.wait(lookAgain); err != nil {
			return nil, 0, err
		}
	}
}

// grow brings the fleet of hollow limiters to a size, evenly over its processes, and waits until all have the list.
func (r *run) grow(to int) error {
	for len(r.hollow) < hollowProcesses {
		p, err := r.f.child(name(hollowRole, len(r.hollow)), hollowRole, r.Child)
		if err != nil {
			return err
		}
		r.hollow, r.hollowCount = append(r.hollow, p), append(r.hollowCount, 0)
	}
	for some := true; some; { // a few at once: a machine that thousands share does not start them all
		some = false
		for k := range r.hollow {
			n := to / hollowProcesses
			if k < to%hollowProcesses {
				n++
			}
			n = min(n-r.hollowCount[k], mostAdded)
			if err := r.add(k, n); err != nil {
				return err
			}
			some = some || n > 0
		}
		if err := r.listedAll(); err != nil {
			return err
		}
	}
	r.figures.Hollow = max(r.figures.Hollow, r.hollows())
	return nil
}

// listedAll waits until all hollow limiters have the list.
func (r *run) listedAll() error {
	_, behind, err := r.arrivals(hearLimit, r.hollow)
	if err == nil && behind > 0 {
		err = fmt.Errorf("%d of %d hollow limiters have no list after %s", behind, r.hollows(), hearLimit)
	}
	return err
}

func (r *run) add(k, n int) error {
	if n <= 0 {
		return nil
	}
	r.hollowCount[k] += n
	return r.f.call(r.hollow[k], "Role.Add", HollowAdd{n, r.discoveryAt.Hollow, r.counterAt.Hollow, r.fleetSize(), r.Sizes.Calls, r.Sizes.HollowGrace}, new(int))
}

// shrink ends all hollow limiters, when their calls are answered.
func (r *run) shrink() error {
	for _, p := range r.hollow {
		if err := r.f.call(p, "Role.Calls", 0.0, new(int)); err != nil {
			return err
		}
	}
	if err := r.f.wait(r.Sizes.Settle); err != nil {
		return err
	}
	for _, p := range r.hollow {
		var a Arrived
		if err := r.f.call(p, "Role.Arrivals", int64(0), &a); err != nil {
			return err
		}
		r.unanswered += int(a.Calls - a.Answered)
		r.f.kill(p)
	}
	r.hollow, r.hollowCount = nil, nil
	return nil
}

// fleet sweeps the number of limiters.
func (r *run) fleet() error {
	r.ledger.held["limiters"] = fmt.Sprintf("%d servers, %g changes a second, %g calls a second of each hollow limiter, %g requests a second of each of %d real limiters",
		r.listed, r.Sizes.Beside, r.Sizes.Calls, targetRate, len(r.real))
	for _, n := range r.Sizes.Fleet {
		if err := r.grow(n); err != nil {
			return err
		}
		if err := r.f.wait(r.Sizes.Settle); err != nil {
			return err
		}
		x, _, err := r.window(r.Sizes.Window, r.usual(targetRate), []Steady{{PerSecond: r.Sizes.Beside, For: r.Sizes.Window}})
		if err != nil {
			return err
		}
		if err := r.collect(); err != nil {
			return err
		}
		size := float64(n + len(r.real))
		r.limiterPoint("limiters", size, x)
		r.rolePoint("limiters", size, x, discoveryRole, counterRole)
		r.hollowPoint("limiters", float64(n), x)
		m, err := r.change(Change{To: 1, State: "ready"}, hearLimit)
		if err != nil {
			return err
		}
		m.Name = "change"
		r.figures.Moments = append(r.figures.Moments, m)
		r.say("%d limiters: a change is with 99 in 100 after %.0f ms, with the last after %.0f ms", m.Limiters, 1000*m.P99, 1000*m.Last)
	}
	return nil
}

func (r *run) hollowPoint(against string, size float64, x rates) {
	memory := 0.0
	for _, p := range r.hollow {
		memory += resident(p.pid)
	}
	r.ledger.note("hollow", "memory", against, size, memory)
	r.ledger.note("hollow", "processor", against, size, x.processor["hollow"])
	d, c := x.discoveryTold.Hollow, x.counterTold.Hollow
	r.ledger.note("hollow", "messages", against, size, float64(d.Messages+c.Messages)/x.seconds)
	r.ledger.note("hollow", "bytes", against, size, float64(d.Bytes+c.Bytes)/x.seconds)
}

// moments has a rack and a zone go and come back, and a tenth of the limiters restart, with the real ones under load.
func (r *run) moments() error {
	if err := r.goAndComeBack("rack", Change{To: max(r.listed/20, 2)}, r.Sizes.Settle); err != nil {
		return err
	}
	if err := r.goAndComeBack("zone", Change{To: r.listed, Step: len(zones)}, r.Sizes.Settle); err != nil {
		return err
	}
	return r.restart()
}

// goAndComeBack tells that servers are gone, and a moment later that they are ready again, under load.
func (r *run) goAndComeBack(name string, c Change, between time.Duration) error {
	var load Loaded
	done := make(chan error, 1)
	go func() {
		done <- r.f.call(r.load, "Role.Run", LoadRun{r.usual(targetRate), 0, 2*between + time.Second, r.Seed}, &load)
	}()
	for k, state := range []string{"gone", "ready"} {
		if err := r.f.wait(between); err != nil {
			return err
		}
		c.State = state
		m, err := r.change(c, hearLimit)
		if err != nil {
			return err
		}
		m.Name = name
		what := []string{"gone", "back"}[k]
		m.Note = joinNotes(fmt.Sprintf("%s: %d servers", what, (c.To-c.From+max(c.Step, 1)-1)/max(c.Step, 1)), m.Note)
		r.figures.Moments = append(r.figures.Moments, m)
		r.say("a %s %s, told to %d limiters: 99 in 100 have it after %.0f ms, the last after %.0f ms", name, what, m.Limiters, 1000*m.P99, 1000*m.Last)
	}
	if err := <-done; err != nil {
		return err
	}
	r.lost, r.refused, r.sent = r.lost+load.Lost, r.refused+load.Refused, r.sent+load.Sent
	if r.lostWhy == "" {
		r.lostWhy = load.Why
	}
	return nil
}

func joinNotes(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}

// restart ends one of the hollow processes, a tenth of the limiters, and starts it anew: all its limiters ask at once.
func (r *run) restart() error {
	before, err := r.sample()
	if err != nil {
		return err
	}
	n := r.hollowCount[0]
	r.f.kill(r.hollow[0])
	p, err := r.f.child(name(hollowRole, 0), hollowRole, r.Child)
	if err != nil {
		return err
	}
	r.hollow[0], r.hollowCount[0] = p, 0
	from := now()
	if err := r.add(0, n); err != nil {
		return err
	}
	at, behind, err := r.arrivals(hearLimit, r.hollow[:1])
	if err != nil {
		return err
	}
	after, err := r.sample()
	if err != nil {
		return err
	}
	m := r.moment(at, from, behind)
	m.Name = "restart"
	t := after.discovery.less(before.discovery).all()
	m.Messages, m.Bytes = float64(t.Messages), float64(t.Bytes)
	m.Note = joinNotes(fmt.Sprintf("%d limiters at once, until each has the whole list", n), m.Note)
	r.figures.Moments = append(r.figures.Moments, m)
	r.say("%d limiters restarted at once: 99 in 100 have the list after %.0f ms, the last after %.0f ms", n, 1000*m.P99, 1000*m.Last)
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

// targetControl is the target's mean rate of changes with a burst.
func (r *run) targetControl(lasts time.Duration) []Steady {
	return []Steady{{PerSecond: targetChanges, First: 100 * time.Millisecond, For: lasts - burstLasts}, {PerSecond: burstChanges, For: burstLasts}}
}

// changes sweeps the changes a second, with a small fleet and no requests: what the control side alone costs a limiter.
func (r *run) changes() error {
	if err := r.shrink(); err != nil {
		return err
	}
	r.clusters = make(chan clustersDone, 1)
	go func() { r.clusters <- r.followClusters() }() // it waits for a file to be seen, mostly
	if err := r.grow(fewHollow); err != nil {
		return err
	}
	if r.Model && r.Quick {
		r.think()
	}
	r.ledger.held["changes"] = fmt.Sprintf("%d hollow limiters without calls, %d real ones without requests, %d servers; each change names one server",
		fewHollow, len(r.real), r.listed)
	for _, p := range r.hollow {
		if err := r.f.call(p, "Role.Calls", 0.0, new(int)); err != nil {
			return err
		}
	}
	for _, rate := range r.Sizes.Changes {
		lasts := max(r.Sizes.Window, time.Duration(1.1/rate*float64(time.Second)))
		x, _, err := r.window(lasts, nil, []Steady{{PerSecond: rate, For: lasts}})
		if err != nil {
			return err
		}
		told := float64(x.discoveryTold.real().Changes) / float64(len(r.real)) / lasts.Seconds()
		r.limiterPoint("changes", told, x)
		r.rolePoint("changes", told, x, discoveryRole)
	}
	return nil
}

// lists sweeps the servers on the list, which only grows, and ends with a zone of the longest.
func (r *run) lists() error {
	r.ledger.held["servers"] = fmt.Sprintf("%d hollow limiters, %d real ones without requests, %g changes a second", fewHollow, len(r.real), r.Sizes.Beside)
	for _, n := range r.Sizes.Servers {
		if n < r.listed {
			continue
		}
		if err := r.lengthen(n); err != nil {
			return err
		}
		x, _, err := r.window(r.Sizes.Window, nil, []Steady{{PerSecond: r.Sizes.Beside, For: r.Sizes.Window}})
		if err != nil {
			return err
		}
		if err := r.collect(); err != nil {
			return err
		}
		var size [2]int
		if err := r.f.call(r.discovery, "Role.Size", 0, &size); err != nil {
			return err
		}
		r.limiterPoint("servers", float64(n), x)
		r.hollowPoint("servers", float64(n), x)
		r.rolePoint("servers", float64(n), x, discoveryRole)
		r.ledger.notePer("bytes/list", "discovery", "list", "servers", float64(n), float64(size[0]))
	}
	return r.longList()
}

// lengthen has the list grow and waits until the real limiters read no more of it.
func (r *run) lengthen(to int) error {
	from := now()
	m, err := r.change(Change{Grow: to}, hearLimit)
	if err != nil {
		return err
	}
	added := to - r.listed
	r.listed = to
	before := int64(-1)
	for last := now(); now()-from < hearLimit; {
		var t Sides
		if err := r.f.call(r.discovery, "Role.Traffic", 0, &t); err != nil {
			return err
		}
		if b := t.real().Bytes; b-before > int64(quietBytes*len(r.real)) {
			before, last = b, now()
		}
		if now()-last > max(r.Sizes.Settle, quietFor) {
			break
		}
		if err := r.f.wait(lookAgain); err != nil {
			return err
		}
	}
	if added > 0 {
		m.Name, m.Servers = "growth", to
		m.Note = joinNotes(fmt.Sprintf("%d servers more, %d in a line at most", added, mostAtOnce), m.Note)
		r.figures.Moments = append(r.figures.Moments, m)
	}
	return nil
}

func (r *run) longList() error {
	if err := r.goAndComeBack("zone", Change{To: r.listed, Step: len(zones)}, r.Sizes.Settle); err != nil {
		return err
	}
	if err := r.controlled(targetRate); err != nil {
		return err
	}
	var size [2]int
	if err := r.f.call(r.discovery, "Role.Size", 0, &size); err != nil || size[0] < mayBeTooLong {
		return err
	}
	return r.fresh()
}
