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

// RealResult is the outcome of a scenario on real limiters. Requests that were due within the scenario's warm-up do not
// count, except where the comment of a field says that it covers the whole run.
type RealResult struct {
	Requests, Tries           int                 // requests that were begun; tries that ended
	Outcomes                  [Unanswered + 1]int // tries, by Outcome
	WorthShare                float64             // worth served, less the cost of units beyond quotas in the whole run, over the worth asked inside quotas
	RefusedShareByTier        []float64           // of the tier's tries
	MedianSeconds, P99Seconds float64             // latency of what was served or admitted, in the whole run
	CPUMicrosPerTry           float64             // CPU time of all limiters in the whole run over Tries
	OverQuotaShare            float64             // units passed on beyond quotas over all units passed on, in the whole run
}

// realNode simulates in real time the cores, slots and queue of one stand-in node, as the model's nodes do in virtual time.
type realNode struct {
	mu        sync.Mutex
	spec      model.NodeKind
	rng       *rand.Rand
	busySlots int
	waiting   []chan struct{} // one for each queued request, closed when it gets a slot
	coldSince time.Time       // when the node last restarted; zero if it is warm
}

// serve waits until the work of a request is done, drawn round meanSeconds. It returns false at once if the queue is full.
func (n *realNode) serve(meanSeconds float64) bool {
	n.mu.Lock()
	if n.busySlots >= n.spec.MaxRunning {
		if len(n.waiting) >= n.spec.MaxQueued {
			n.mu.Unlock()
			return false
		}
		granted := make(chan struct{})
		n.waiting = append(n.waiting, granted)
		n.mu.Unlock()
		<-granted
		n.mu.Lock()
	} else {
		n.busySlots++
	}
	workSeconds := n.spec.Work(n.rng, meanSeconds)
	excess := float64(max(0, n.busySlots-n.spec.Cores))
	speed := 1 / (1 + excess/float64(n.spec.Cores)) / (1 + n.spec.ContentionSlowdown*excess)
	if !n.coldSince.IsZero() && n.spec.ColdSeconds > 0 {
		speed *= min(1, n.spec.ColdShare+(1-n.spec.ColdShare)*time.Since(n.coldSince).Seconds()/n.spec.ColdSeconds)
	}
	n.mu.Unlock()
	time.Sleep(time.Duration(workSeconds / speed * float64(time.Second)))
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.waiting) > 0 { // the next queued request takes over the slot
		close(n.waiting[0])
		n.waiting = n.waiting[1:]
	} else {
		n.busySlots--
	}
	return true
}

// realRun is a scenario in progress on real limiters.
type realRun struct {
	scenario        model.Scenario
	seed            uint64
	fleet           *Fleet
	sendLog         *SendLog
	nodes           map[string]*realNode // by node id
	meanWorkByClass []float64            // seconds
	firmByID        map[uint64]int       // index in firmSpecs
	firmSpecs       []model.FirmSpec
	began           time.Time

	requestedBuckets []tokenBucket // by firm: the quota as drawn down by first tries, to tell which requests are inside it
	totals           RealResult    // counts so far; summarize fills in the shares and latencies
	triesByTier      []int         // tries that ended
	refusedByTier    []int         // tries that were rejected
	worthServed      float64
	worthAsked       float64 // by requests inside the quotas
}

// RunReal runs a scenario on real limiters, at the scenario's own size and in real time. binary is the path of the
// limiter's program; if it is empty, the program is built from the module in the current directory.
func RunReal(ctx context.Context, scenario model.Scenario, seed uint64, binary string, logf func(string, ...any)) (RealResult, error) {
	if scenario.Units.Max > 1 || len(scenario.Machines) > 0 || scenario.Node.ReportsThroughput {
		return RealResult{}, errors.New("the scenario has units, kinds of machines or load reports: only the model supports them")
	}
	dir, err := os.MkdirTemp("", "bramblelab")
	if err != nil {
		return RealResult{}, err
	}
	defer os.RemoveAll(dir)
	if binary == "" {
		logf("building the limiter")
		if binary, err = BuildLimiter(ctx, dir); err != nil {
			return RealResult{}, err
		}
	}
	run := &realRun{scenario: scenario, seed: seed, nodes: map[string]*realNode{}, meanWorkByClass: model.DrawWork(scenario, seed), firmByID: map[uint64]int{},
		firmSpecs: model.DrawFirms(scenario, seed), triesByTier: make([]int, len(scenario.Tiers)), refusedByTier: make([]int, len(scenario.Tiers))}
	run.sendLog = NewSendLog(len(run.firmSpecs))
	for i := range scenario.Nodes {
		run.nodes[fmt.Sprintf("s-%d", i)] = &realNode{spec: scenario.Node, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
	}
	if run.fleet, err = NewFleet(binary, dir, true, scenario.Limiters, scenario.Nodes, scenario.Tiers, run.handleRequest); err != nil {
		return RealResult{}, err
	}
	defer run.fleet.Close()
	run.setUpLoad()
	run.began = time.Now()
	runCtx, stop := context.WithTimeout(ctx, time.Duration(scenario.Seconds*float64(time.Second)))
	defer stop()
	go run.shiftPreferredLimiters(runCtx)
	for i, fault := range scenario.Faults {
		go run.playFault(runCtx, fault, i)
	}
	logf("%s on %d real limiters for %.0f s", scenario.Name, scenario.Limiters, scenario.Seconds)
	run.fleet.Load.Run(runCtx, seed)
	if err := run.fleet.CheckCrashes(); err != nil {
		return run.totals, err
	}
	return run.summarize(), nil
}

// handleRequest answers a command as a node. It takes Q.DO for a request of the last class and any other command for one
// of the first class.
func (r *realRun) handleRequest(node *standin.Node, args [][]byte) ([]byte, bool, time.Duration) {
	id, _ := strconv.ParseUint(string(args[1]), 16, 64)
	class := 0
	if string(args[0]) == "Q.DO" {
		class = len(r.scenario.Classes) - 1
	}
	if firm, ok := r.firmByID[id]; ok {
		r.sendLog.Record(firm, string(args[2]))
	}
	if !r.nodes[node.ID].serve(r.meanWorkByClass[class]) {
		return []byte("-BUSY\r\n"), false, 0
	}
	return standin.ValueReply("v"), true, 0
}

// setUpLoad configures the load generator with the scenario's classes, retry policy and firms.
func (r *realRun) setUpLoad() {
	load := r.fleet.Load
	r.fleet.World.SkipAudit = true
	for _, class := range r.scenario.Classes {
		load.Classes = append(load.Classes, Class{class.Name, class.Share, class.KeyedByHall, time.Duration(class.DeadlineSeconds * float64(time.Second))})
	}
	clients := r.scenario.Clients
	load.RetryPolicy = RetryPolicy{clients.Retries, clients.RetryWaitSeconds, clients.GiveUpShare, clients.HonoursRetryAfterShare}
	for i, firm := range r.firmSpecs {
		r.firmByID[firm.ID] = i
		load.Firms = append(load.Firms, &Firm{ID: firm.ID, Tier: r.scenario.Tiers[firm.Tier].Name, RequestsPerSecond: firm.Demand, Spread: firm.Spread, FirstLimiter: firm.First, PreferredShare: r.scenario.Firms.BusiestLimiterShare})
		r.requestedBuckets = append(r.requestedBuckets, tokenBucket{r.scenario.Tiers[firm.Tier].Burst, time.Now()})
	}
	load.BeforeRequest = func(try Try) {
		plan := r.scenario.Tiers[r.firmSpecs[try.Firm].Tier]
		bucket := &r.requestedBuckets[try.Firm]
		bucket.refill(time.Now(), plan.Rate, plan.Burst)
		if bucket.tokens >= 1 {
			bucket.tokens--
			if r.afterWarmUp(try) {
				r.worthAsked += r.scenario.Classes[try.Class].Worth * plan.Price
			}
		}
		if r.afterWarmUp(try) {
			r.totals.Requests++
		}
	}
	load.AfterTry = r.afterTry
}

// afterWarmUp reports whether a try's request was due after the scenario's warm-up.
func (r *realRun) afterWarmUp(t Try) bool {
	return t.Due.Sub(r.began).Seconds() >= r.scenario.WarmupSeconds
}

// afterTry counts a try's outcome and the worth of what was served.
func (r *realRun) afterTry(result TryResult) {
	if !r.afterWarmUp(result.Try) {
		return
	}
	tier := r.firmSpecs[result.Firm].Tier
	r.totals.Tries++
	r.triesByTier[tier]++
	r.totals.Outcomes[result.Outcome]++
	switch result.Outcome {
	case Refused:
		r.refusedByTier[tier]++
	case Served:
		worth := r.scenario.Classes[result.Class].Worth * r.scenario.Tiers[tier].Price
		if result.EndedAt.Sub(result.Due).Seconds() > r.scenario.Classes[result.Class].AimSeconds {
			worth *= r.scenario.Classes[result.Class].LateWorthShare
		}
		r.worthServed += worth
	}
}

// shiftPreferredLimiters draws each firm's preferred limiter anew at the intervals that the scenario names, until the
// context ends.
func (r *realRun) shiftPreferredLimiters(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.seed, 77))
	due := make([]time.Time, len(r.firmSpecs))
	for ctx.Err() == nil {
		now := time.Now()
		r.fleet.Load.UpdateFirms(func() {
			for i, firm := range r.fleet.Load.Firms {
				if now.After(due[i]) {
					firm.preferredOffset = rng.IntN(max(firm.Spread, 1))
					due[i] = now.Add(time.Duration((r.scenario.Firms.ShiftSeconds[0] + (r.scenario.Firms.ShiftSeconds[1]-r.scenario.Firms.ShiftSeconds[0])*rng.Float64()) * float64(time.Second)))
				}
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
}

// playFault waits for the start of a fault and plays it. Kinds that the stand-ins do not support have no effect.
func (r *realRun) playFault(ctx context.Context, fault model.Fault, index int) {
	sleep := func(seconds float64) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(seconds * float64(time.Second))):
			return true
		}
	}
	if !sleep(fault.At) {
		return
	}
	rng := rand.New(rand.NewPCG(r.seed, uint64(fault.At*1000)))
	switch fault.Kind {
	case model.FaultFlush:
		r.fleet.World.Counter.Flush(fault.Part)
	case model.FaultHot:
		totalRate := 0.0
		for _, firm := range r.firmSpecs {
			totalRate += firm.Demand
		}
		hotFirms := model.DrawFloodingFirms(r.seed, index, len(r.firmSpecs))
		addRate := func(rate float64) {
			r.fleet.Load.UpdateFirms(func() {
				for _, i := range hotFirms {
					r.fleet.Load.Firms[i].RequestsPerSecond += rate
				}
			})
		}
		addRate(fault.Size * totalRate / 3)
		if sleep(fault.For) {
			addRate(-fault.Size * totalRate / 3)
		}
	case model.FaultDrain:
		for _, i := range rng.Perm(r.scenario.Nodes)[:max(1, int(fault.Part*float64(r.scenario.Nodes)+0.5))] {
			standIn := r.fleet.World.Nodes[i]
			standIn.State.Store("draining")
			r.fleet.World.Discovery.Publish()
			go func() {
				if sleep(8) {
					r.fleet.World.ReplaceMachine(standIn, time.Now())
					node := r.nodes[standIn.ID]
					node.mu.Lock()
					node.coldSince = time.Now()
					node.mu.Unlock()
				}
			}()
		}
	case model.FaultHall: // the nodes' processes are killed: an unreachable hall cannot be simulated on loopback
		var lost []*standin.Node
		for i, standIn := range r.fleet.World.Nodes {
			if i%r.scenario.Halls == fault.Hall%r.scenario.Halls {
				lost = append(lost, standIn)
				standIn.Crash()
				r.fleet.World.SetState(standIn, "gone", time.Time{})
			}
		}
		if sleep(fault.For) {
			for _, standIn := range lost {
				if err := standIn.Restart(); err != nil {
					return
				}
				node := r.nodes[standIn.ID]
				node.mu.Lock()
				node.coldSince = time.Now()
				node.mu.Unlock()
				r.fleet.World.SetState(standIn, "ready", time.Now())
			}
		}
	case model.FaultLimiters:
		for _, i := range rng.Perm(r.scenario.Limiters)[:max(1, int(fault.Part*float64(r.scenario.Limiters)+0.5))] {
			r.fleet.KillLimiter(i)
			go func() {
				if sleep(fault.For) {
					_ = r.fleet.StartLimiter(i)
				}
			}()
		}
	}
}

// summarize judges every firm's requests against its quota and returns the run's result.
func (r *realRun) summarize() RealResult {
	result := r.totals
	timeline := PlanTimeline{ByLimiter: [][]PlanPeriod{{{r.began.Add(-time.Hour), r.scenario.Tiers}}}}
	sent, beyond, quotaCost := 0.0, 0.0, 0.0
	for i, firm := range r.firmSpecs {
		use := r.sendLog.Evaluate(i, r.scenario.Tiers[firm.Tier].Name, timeline, r.began, 0, 0, nil)
		sent, beyond = sent+use.Sent, beyond+use.BeyondQuota
		// A unit beyond the quota costs the worth of a request of the first class, which is the usual one, and OverCost times
		// that besides.
		quotaCost += use.BeyondQuota * (1 + r.scenario.Tiers[firm.Tier].OverCost) * r.scenario.Tiers[firm.Tier].Price * r.scenario.Classes[0].Worth
	}
	result.WorthShare = (r.worthServed - quotaCost) / max(r.worthAsked, 1e-9)
	result.OverQuotaShare = beyond / max(sent, 1)
	for i := range r.triesByTier {
		result.RefusedShareByTier = append(result.RefusedShareByTier, float64(r.refusedByTier[i])/float64(max(r.triesByTier[i], 1)))
	}
	result.MedianSeconds = float64(r.fleet.Load.Latency.ValueAtQuantile(50)) / 1e6
	result.P99Seconds = float64(r.fleet.Load.Latency.ValueAtQuantile(99)) / 1e6
	result.CPUMicrosPerTry = float64(r.fleet.CPUTime().Microseconds()) / float64(max(result.Tries, 1))
	return result
}

// AgreementTable compares the model's result of a scenario with the result on real limiters.
func AgreementTable(scenario model.Scenario, modelled model.Result, measured RealResult) *Table {
	table := &Table{Name: "agreement-" + scenario.Name, Columns: []string{"figure", "model", "real", "difference"}}
	row := func(name string, modelValue, realValue float64) {
		table.Add(name, modelValue, realValue, realValue-modelValue)
	}
	row("worth served, points", 100*modelled.WorthShare(), 100*measured.WorthShare)
	for i, tier := range scenario.Tiers {
		row("refused of "+tier.Name+", points", 100*modelled.RefusedByTier[i], 100*measured.RefusedShareByTier[i])
	}
	row("tries", float64(modelled.Tries), float64(measured.Tries))
	row("served", float64(modelled.Served), float64(measured.Outcomes[Served]))
	row("refused", float64(modelled.Refused), float64(measured.Outcomes[Refused]))
	row("failed", float64(modelled.Failed), float64(measured.Outcomes[Failed]))
	row("cut off", float64(modelled.LostTries), float64(measured.Outcomes[ConnectionLost]))
	row("beyond quotas, points", 100*modelled.OverQuotaShare(), 100*measured.OverQuotaShare)
	table.Add("CPU us each", "-", measured.CPUMicrosPerTry, "-")
	row("median latency, s", modelled.MedianSeconds, measured.MedianSeconds)
	row("99th percentile, s", modelled.P99Seconds, measured.P99Seconds)
	return table
}
