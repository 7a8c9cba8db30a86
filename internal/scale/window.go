package scale

import (
	"sync"
	"time"
)

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
