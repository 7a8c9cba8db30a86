package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"bramblefall/internal/model"
	"bramblefall/internal/standin"
)

// Real is what a scenario came to on real limiters.
type Real struct {
	Requests, Tries int
	Ends            [Unanswered + 1]int
	Worth           float64
	RefusedByTier   []float64
	Median, P99     float64 // seconds
	CPU             float64 // microseconds for each try
	OverQuota       float64
}

// realNode keeps the cores, slots and waiting room of one stand-in node in real time, as the model's nodes do.
type realNode struct {
	mu      sync.Mutex
	kind    model.NodeKind
	rng     *rand.Rand
	working int
	waits   []chan struct{}
	since   time.Time // cold since; zero: warm
}

// serve takes a request's work; false: it was turned away.
func (n *realNode) serve(mean float64) bool {
	n.mu.Lock()
	if n.working >= n.kind.Slots {
		if len(n.waits) >= n.kind.Queue {
			n.mu.Unlock()
			return false
		}
		turn := make(chan struct{})
		n.waits = append(n.waits, turn)
		n.mu.Unlock()
		<-turn
		n.mu.Lock()
	} else {
		n.working++
	}
	work := n.kind.Work(n.rng, mean)
	over := float64(max(0, n.working-n.kind.Cores))
	speed := 1 / (1 + over/float64(n.kind.Cores)) / (1 + n.kind.Thrash*over)
	if !n.since.IsZero() && n.kind.ColdSeconds > 0 {
		speed *= min(1, n.kind.ColdShare+(1-n.kind.ColdShare)*time.Since(n.since).Seconds()/n.kind.ColdSeconds)
	}
	n.mu.Unlock()
	time.Sleep(time.Duration(work / speed * float64(time.Second)))
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.waits) > 0 { // the slot is handed on
		close(n.waits[0])
		n.waits = n.waits[1:]
	} else {
		n.working--
	}
	return true
}

type realRun struct {
	s     model.Scenario
	seed  uint64
	fleet *Fleet
	truth *Truth
	nodes map[string]*realNode
	means []float64
	byID  map[uint64]int
	specs []model.FirmSpec
	began time.Time

	asked  []store // by firm: what is asked for inside the quota
	inside map[uint64]bool
	real   Real
	tries  []int
	refuse []int
	served float64
	worth  float64
}

// OnReal plays a scenario against real limiters, at its own size, in real time. binary is the limiter's program; "": the
// one that is built from here.
func OnReal(ctx context.Context, s model.Scenario, seed uint64, binary string, say func(string, ...any)) (Real, error) {
	if s.Units.Most > 1 || len(s.Machines) > 0 || s.Node.Reports {
		return Real{}, errors.New("units, kinds of machines and load reports are in the model alone")
	}
	dir, err := os.MkdirTemp("", "bramblelab")
	if err != nil {
		return Real{}, err
	}
	defer os.RemoveAll(dir)
	if binary == "" {
		say("building the limiter")
		if binary, err = Build(ctx, dir); err != nil {
			return Real{}, err
		}
	}
	r := &realRun{s: s, seed: seed, nodes: map[string]*realNode{}, means: model.DrawWork(s, seed), byID: map[uint64]int{},
		specs: model.DrawFirms(s, seed), inside: map[uint64]bool{}, tries: make([]int, len(s.Tiers)), refuse: make([]int, len(s.Tiers))}
	r.truth = NewTruth(len(r.specs))
	for k := range s.Nodes {
		r.nodes[fmt.Sprintf("s-%d", k)] = &realNode{kind: s.Node, rng: rand.New(rand.NewPCG(seed, uint64(k)))}
	}
	if r.fleet, err = NewFleet(binary, dir, true, s.Limiters, s.Nodes, s.Tiers, r.handle); err != nil {
		return Real{}, err
	}
	defer r.fleet.Close()
	r.load()
	r.began = time.Now()
	run, stop := context.WithTimeout(ctx, time.Duration(s.Seconds*float64(time.Second)))
	defer stop()
	go r.shifts(run)
	for k, f := range s.Faults {
		go r.strike(run, f, k)
	}
	say("%s on %d real limiters for %.0f s", s.Name, s.Limiters, s.Seconds)
	r.fleet.Load.Run(run, seed)
	if err := r.fleet.Crash(); err != nil {
		return r.real, err
	}
	return r.result(), nil
}

func (r *realRun) handle(n *standin.Node, args [][]byte) ([]byte, bool, time.Duration) {
	id, _ := strconv.ParseUint(string(args[1]), 16, 64)
	class := 0
	if string(args[0]) == "Q.DO" {
		class = len(r.s.Classes) - 1
	}
	if k, ok := r.byID[id]; ok {
		r.truth.Sent(k, string(args[2]))
	}
	if !r.nodes[n.ID].serve(r.means[class]) {
		return []byte("-BUSY\r\n"), false, 0
	}
	return standin.Value("v"), true, 0
}

// load makes the clients of the scenario.
func (r *realRun) load() {
	l := r.fleet.Load
	r.fleet.World.Unchecked = true
	for _, c := range r.s.Classes {
		l.Classes = append(l.Classes, Class{c.Name, c.Share, c.Keyed, time.Duration(c.Deadline * float64(time.Second))})
	}
	c := r.s.Clients
	l.Clients = Clients{c.Retries, c.Wait, c.GiveUp, c.Honour}
	for k, f := range r.specs {
		r.byID[f.ID] = k
		l.Firms = append(l.Firms, &Firm{ID: f.ID, Tier: r.s.Tiers[f.Tier].Name, Demand: f.Demand, Spread: f.Spread, First: f.First, Skew: r.s.Firms.Skew})
		r.asked = append(r.asked, store{r.s.Tiers[f.Tier].Burst, time.Now()})
	}
	l.Sends = func(t Try) {
		p := r.s.Tiers[r.specs[t.Firm].Tier]
		a := &r.asked[t.Firm]
		a.fill(time.Now(), p.Rate, p.Burst)
		if a.level >= 1 {
			a.level--
			if r.counts(t) {
				r.worth += r.s.Classes[t.Class].Worth * p.Price
			}
		}
		if r.counts(t) {
			r.real.Requests++
		}
	}
	l.Ended = r.ended
}

func (r *realRun) counts(t Try) bool { return t.Due.Sub(r.began).Seconds() >= r.s.Warm }

func (r *realRun) ended(e End) {
	if !r.counts(e.Try) {
		return
	}
	tier := r.specs[e.Firm].Tier
	r.real.Tries++
	r.tries[tier]++
	r.real.Ends[e.Kind]++
	switch e.Kind {
	case Refused:
		r.refuse[tier]++
	case Served:
		worth := r.s.Classes[e.Class].Worth * r.s.Tiers[tier].Price
		if e.At.Sub(e.Due).Seconds() > r.s.Classes[e.Class].Aim {
			worth *= r.s.Classes[e.Class].Late
		}
		r.served += worth
	}
}

// shifts moves the firms' busiest limiters.
func (r *realRun) shifts(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.seed, 77))
	due := make([]time.Time, len(r.specs))
	for ctx.Err() == nil {
		now := time.Now()
		r.fleet.Load.Change(func() {
			for k, f := range r.fleet.Load.Firms {
				if now.After(due[k]) {
					f.place = rng.IntN(max(f.Spread, 1))
					due[k] = now.Add(time.Duration((r.s.Firms.ShiftS[0] + (r.s.Firms.ShiftS[1]-r.s.Firms.ShiftS[0])*rng.Float64()) * float64(time.Second)))
				}
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
}

// strike begins a fault that the stand-ins can play.
func (r *realRun) strike(ctx context.Context, f model.Fault, nth int) {
	pause := func(s float64) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(s * float64(time.Second))):
			return true
		}
	}
	if !pause(f.At) {
		return
	}
	rng := rand.New(rand.NewPCG(r.seed, uint64(f.At*1000)))
	switch f.Kind {
	case model.FaultFlush:
		r.fleet.World.Counter.Flush(f.Part)
	case model.FaultHot:
		usual := 0.0
		for _, x := range r.specs {
			usual += x.Demand
		}
		some := model.Hot(r.seed, nth, len(r.specs))
		add := func(v float64) {
			r.fleet.Load.Change(func() {
				for _, k := range some {
					r.fleet.Load.Firms[k].Demand += v
				}
			})
		}
		add(f.Size * usual / 3)
		if pause(f.For) {
			add(-f.Size * usual / 3)
		}
	case model.FaultDrain:
		for _, k := range rng.Perm(r.s.Nodes)[:max(1, int(f.Part*float64(r.s.Nodes)+0.5))] {
			n := r.fleet.World.Nodes[k]
			n.State.Store("draining")
			r.fleet.World.Discovery.Changed()
			go func() {
				if pause(8) {
					r.fleet.World.Renew(n, time.Now())
					x := r.nodes[n.ID]
					x.mu.Lock()
					x.since = time.Now()
					x.mu.Unlock()
				}
			}()
		}
	case model.FaultHall: // processes die; silence cannot be had on loopback
		var lost []*standin.Node
		for k, n := range r.fleet.World.Nodes {
			if k%r.s.Halls == f.Hall%r.s.Halls {
				lost = append(lost, n)
				n.Crash()
				r.fleet.World.Tell(n, "gone", time.Time{})
			}
		}
		if pause(f.For) {
			for _, n := range lost {
				if err := n.Restart(); err != nil {
					return
				}
				x := r.nodes[n.ID]
				x.mu.Lock()
				x.since = time.Now()
				x.mu.Unlock()
				r.fleet.World.Tell(n, "ready", time.Now())
			}
		}
	case model.FaultLimiters:
		for _, k := range rng.Perm(r.s.Limiters)[:max(1, int(f.Part*float64(r.s.Limiters)+0.5))] {
			r.fleet.Kill(k)
			go func() {
				if pause(f.For) {
					_ = r.fleet.Start(k)
				}
			}()
		}
	}
}

func (r *realRun) result() Real {
	out := r.real
	figures := Figures{Limiters: [][]Period{{{r.began.Add(-time.Hour), r.s.Tiers}}}}
	sent, beyond, cost := 0.0, 0.0, 0.0
	for k, f := range r.specs {
		v := r.truth.Judge(k, r.s.Tiers[f.Tier].Name, figures, r.began, 0, 0, nil)
		sent, beyond = sent+v.Sent, beyond+v.Beyond
		cost += v.Beyond * (1 + r.s.Tiers[f.Tier].OverCost) * r.s.Tiers[f.Tier].Price * r.s.Classes[0].Worth // of the usual class
	}
	out.Worth = (r.served - cost) / max(r.worth, 1e-9)
	out.OverQuota = beyond / max(sent, 1)
	for k := range r.tries {
		out.RefusedByTier = append(out.RefusedByTier, float64(r.refuse[k])/float64(max(r.tries[k], 1)))
	}
	out.Median = float64(r.fleet.Load.Latency.ValueAtQuantile(50)) / 1e6
	out.P99 = float64(r.fleet.Load.Latency.ValueAtQuantile(99)) / 1e6
	out.CPU = float64(r.fleet.CPU().Microseconds()) / float64(max(out.Tries, 1))
	return out
}

// Agreement holds a model's result beside the real one.
func Agreement(s model.Scenario, m model.Result, r Real) *Table {
	t := &Table{Name: "agreement-" + s.Name, Head: []string{"figure", "model", "real", "difference"}}
	row := func(name string, a, b float64) { t.Add(name, a, b, b-a) }
	row("worth served, points", 100*m.Worth(), 100*r.Worth)
	for k, p := range s.Tiers {
		row("refused of "+p.Name+", points", 100*m.RefusedByTier[k], 100*r.RefusedByTier[k])
	}
	row("tries", float64(m.Tries), float64(r.Tries))
	row("served", float64(m.Served), float64(r.Ends[Served]))
	row("refused", float64(m.Refused), float64(r.Ends[Refused]))
	row("failed", float64(m.Failed), float64(r.Ends[Failed]))
	row("cut off", float64(m.Lost), float64(r.Ends[Cut]))
	row("beyond quotas, points", 100*m.OverQuota(), 100*r.OverQuota)
	t.Add("CPU us each", "-", r.CPU, "-")
	row("median latency, s", m.Median, r.Median)
	row("99th percentile, s", m.P99, r.P99)
	return t
}
