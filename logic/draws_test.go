package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is several gateways in step that share one counter, which answers each call in the step after it.
type fleet struct {
	t        *testing.T
	gateways []*harness
	totals   map[uint64]float64
	expires  map[uint64]time.Duration
	calls    int
}

func newFleet(t *testing.T, p Plan, gateways int) *fleet {
	f := &fleet{t: t, totals: map[uint64]float64{}, expires: map[uint64]time.Duration{}}
	set := testSettings()
	set.Gateways, set.Plans = gateways, []Plan{p}
	for rank := range gateways {
		set.Rank = rank
		h := newHarness(t, set, readyServers(20)...)
		h.g.callShare, h.g.callsLeft, h.g.callBurst = 1, 1e6, 1e6 // the counter has room for all calls
		f.gateways = append(f.gateways, h)
	}
	return f
}

// run lets time pass at all gateways; each is called at every step.
func (f *fleet) run(d time.Duration, each func(now time.Duration)) {
	for end := f.now() + d; f.now() < end; {
		for _, h := range f.gateways {
			h.run(h.set.Resolution, nil)
			f.answerCalls(h)
			h.answerAttempts(50 * ms)
		}
		if each != nil {
			each(f.now())
		}
	}
}

func (f *fleet) now() time.Duration { return f.gateways[0].now }

func (f *fleet) answerCalls(h *harness) {
	counts := h.counts
	h.counts = nil
	for _, c := range counts {
		f.calls++
		if f.expires[c.Name] <= h.now {
			f.totals[c.Name], f.expires[c.Name] = 0, h.now+c.TTL
		}
		f.totals[c.Name] += c.Amount
		h.handle(CountResult{Name: c.Name, Status: OK, Total: float64(float32(f.totals[c.Name])), Latency: 2 * ms})
	}
}

// use asks for single units through one gateway, and tells how many were sent on.
func (f *fleet) use(rank, requests int) (sent int) {
	h := f.gateways[rank]
	var all []*trackedRequest
	for range requests {
		all = append(all, h.arrive(Request{Customer: 7, Units: 1}))
		f.answerCalls(h)
	}
	for _, p := range all {
		if p.attempts > 0 {
			sent++
		}
	}
	return sent
}

// A burst that is used up shortly before the end of a counting interval is not granted again after it: the next interval opens
// with what the bucket has been refilled by.
func TestBurstIsNotGrantedAgainAtIntervalEnd(t *testing.T) {
	slow, quick := Plan{Rate: 0.05, Burst: 5, Price: 1}, Plan{Rate: 0.6, Burst: 3, Price: 1}
	for _, c := range []struct {
		plan          Plan
		before, after time.Duration // the end of the interval
	}{
		{slow, time.Second, time.Second},
		{slow, 10 * ms, 10 * ms},
		{slow, 30 * time.Second, 100 * ms},
		{slow, time.Second, 50 * time.Second},
		{quick, 500 * ms, 100 * ms},
		{quick, 2 * time.Second, 10 * ms},
	} {
		t.Run(fmt.Sprintf("burst %v, %v before, %v after", c.plan.Burst, c.before, c.after), func(t *testing.T) {
			f := newFleet(t, c.plan, 6)
			f.use(0, 1) // makes the customer's record, which tells when its intervals end
			end := f.gateways[0].g.customers[7].intervalEnd() + f.gateways[0].g.customers[7].interval
			f.run(end-c.before-f.now(), nil)
			used := f.use(0, 8)
			if float64(used) < c.plan.Burst-1 {
				t.Fatalf("%d units granted of a full bucket of %v", used, c.plan.Burst)
			}
			f.run(end+c.after-f.now(), nil)
			again := f.use(1, 8) + f.use(2, 8)
			most := c.plan.Burst + c.plan.Rate*(c.before+c.after).Seconds()
			if float64(used+again) > most {
				t.Errorf("%d units granted within %v, then %d more: want at most %.2f in all", used, c.before, again, most)
			}
		})
	}
}

// A deficit that an interval began with is carried on by what is granted while it is refilled: the interval after it does not
// open with units that were never refilled.
func TestDeficitIsCarriedOverSeveralIntervals(t *testing.T) {
	p := Plan{Rate: 0.05, Burst: 5, Price: 1}
	f := newFleet(t, p, 6)
	f.use(0, 1) // makes the customer's record, which tells when its intervals end
	c := f.gateways[0].g.customers[7]
	end := c.intervalEnd() + c.interval
	f.run(end-time.Second-f.now(), nil)
	began, used := f.now(), f.use(0, 8)
	for range 4 { // each as soon as its unit has been refilled
		f.run(21*time.Second, nil)
		used += f.use(1, 1)
	}
	f.run(end+c.interval+10*ms-f.now(), nil)
	used += f.use(2, 8) + f.use(3, 8)
	if most := p.Burst + p.Rate*(f.now()-began).Seconds(); float64(used) > most {
		t.Errorf("%d units granted within %v, want at most %.2f", used, f.now()-began, most)
	} else if used < 9 {
		t.Errorf("%d units granted, want the burst and the four that were refilled at least", used)
	}
}

// All gateways together keep to a customer's token bucket at every moment, whatever the demand, and leave little of a quota
// unused that is asked for.
func TestDrawsOnDemandKeepToTheBucket(t *testing.T) {
	p := Plan{Rate: 0.6, Burst: 3, Price: 1}
	const (
		length        = 120 * time.Second
		minIdealShare = 0.75
	)
	for name, demand := range map[string]func(at time.Duration) float64{
		"half of the quota": steadyDemand(0.5 * p.Rate),
		"flood":             steadyDemand(5 * p.Rate),
		"short floods": func(at time.Duration) float64 {
			if at%(7*time.Second) < time.Second {
				return 8
			}
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, p, 12)
			rng := rand.New(rand.NewPCG(3, 4))
			resolution := f.gateways[0].set.Resolution
			level, ideal := p.Burst, p.Burst // of the bucket, and of one that grants whatever it has
			start, lowest, asked, sent, idealSent := f.now(), p.Burst, 0, 0, 0
			f.run(length, func(now time.Duration) {
				refilled := p.Rate * resolution.Seconds()
				level, ideal = min(p.Burst, level+refilled), min(p.Burst, ideal+refilled)
				if rng.Float64() < demand(now-start)*resolution.Seconds() {
					asked++
					if ideal >= 1 {
						ideal, idealSent = ideal-1, idealSent+1
					}
					f.use(rng.IntN(len(f.gateways)), 1)
				}
				for _, h := range f.gateways {
					level, sent = level-float64(len(h.sent)), sent+len(h.sent)
					h.sent = h.sent[:0]
				}
				lowest = min(lowest, level)
			})
			t.Logf("%d asked, %d sent, %d by an ideal bucket, %d counter calls, lowest level %.2f", asked, sent, idealSent, f.calls, lowest)
			if lowest < -p.Rate*resolution.Seconds() {
				t.Errorf("the bucket fell to %.2f: units were granted beyond the quota", lowest)
			}
			if float64(sent) < minIdealShare*float64(idealSent) {
				t.Errorf("%d requests sent, %d by an ideal bucket, want at least %v of them", sent, idealSent, minIdealShare)
			}
		})
	}
}
