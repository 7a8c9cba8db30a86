package scale

import (
	"sync"
	"time"
)

// sample is what each role has used by one point in time.
type sample struct {
	at                 time.Duration            // by now()
	processor          map[string]time.Duration // processor time by role, without real limiters
	realProcessor      []time.Duration          // processor time of each real limiter
	discovery, counter GroupTraffic
}

// takeSample reads the traffic and processor time that all roles have used so far.
func (r *run) takeSample() (s sample, err error) {
	if err := r.children.call(r.discoveryProcess, "Role.Traffic", 0, &s.discovery); err != nil {
		return s, err
	}
	if err := r.children.call(r.counterProcess, "Role.Traffic", 0, &s.counter); err != nil {
		return s, err
	}
	s.at = now()
	s.processor = map[string]time.Duration{"discovery": processorTime(r.discoveryProcess.pid), "counter": processorTime(r.counterProcess.pid)}
	for _, p := range r.hollowProcesses {
		s.processor["hollow"] += processorTime(p.pid)
	}
	for _, l := range r.realLimiters {
		s.realProcessor = append(s.realProcessor, processorTime(l.pid))
	}
	return s, nil
}

// rates is what was used per second between two samples.
type rates struct {
	seconds                          float64            // between the samples
	processor                        map[string]float64 // seconds of processor time a second, by role
	limiterProcessor                 []float64          // seconds of processor time a second, of each real limiter
	discoveryRates, counterRates     [2]float64         // messages a second, bytes a second
	limiterRates                     [][2]float64       // the same two of each real limiter, at discovery and the counter together
	discoveryTraffic, counterTraffic GroupTraffic
}

func ratesBetween(before, after sample) (used rates) {
	seconds := (after.at - before.at).Seconds()
	used.seconds, used.processor = seconds, map[string]float64{}
	for role := range after.processor {
		used.processor[role] = (after.processor[role] - before.processor[role]).Seconds() / seconds
	}
	used.discoveryTraffic, used.counterTraffic = after.discovery.minus(before.discovery), after.counter.minus(before.counter)
	per := func(t Traffic) [2]float64 {
		return [2]float64{float64(t.Messages) / seconds, float64(t.Bytes) / seconds}
	}
	used.discoveryRates, used.counterRates = per(used.discoveryTraffic.total()), per(used.counterTraffic.total())
	for k := range after.realProcessor {
		used.limiterProcessor = append(used.limiterProcessor, (after.realProcessor[k]-before.realProcessor[k]).Seconds()/seconds)
		used.limiterRates = append(used.limiterRates, per(used.discoveryTraffic.Real[k].plus(used.counterTraffic.Real[k])))
	}
	return used
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

// measureWindow runs a load and, one after the other, schedules of changes for a given time and measures what all roles used
// meanwhile.
func (r *run) measureWindow(duration time.Duration, targets []LoadTarget, schedules []ChangeSchedule) (used rates, load LoadResult, err error) {
	var wg sync.WaitGroup
	var first firstError
	if len(targets) > 0 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The load begins earlier than the window, so that its connections are open when the window begins.
			first.set(r.children.call(r.loadProcess, "Role.Run", LoadRun{targets, r.Sizes.Settle, duration + r.Sizes.Settle, r.Seed}, &load))
		}()
		if err := r.children.sleep(r.Sizes.Settle); err != nil {
			return used, load, err
		}
	}
	before, err := r.takeSample()
	if err != nil {
		return used, load, err
	}
	var results []ScheduleResult
	for _, s := range schedules {
		var t ScheduleResult
		s.ServersChanged = r.listedServers / 2
		if err := r.children.call(r.discoveryProcess, "Role.RunSchedule", s, &t); err != nil {
			return used, load, err
		}
		results = append(results, t)
	}
	if left := duration - (now() - before.at); left > 0 {
		if err := r.children.sleep(left); err != nil {
			return used, load, err
		}
	}
	after, err := r.takeSample()
	if err != nil {
		return used, load, err
	}
	wg.Wait()
	if first.err != nil {
		return used, load, first.err
	}
	for _, t := range results {
		if t.Changes > 0 {
			r.lastVersion = max(r.lastVersion, t.Last.Version)
		}
	}
	r.lostRequests, r.refusedRequests, r.sentRequests = r.lostRequests+load.Lost, r.refusedRequests+load.Refused, r.sentRequests+load.Sent
	if r.lostReason == "" {
		r.lostReason = load.LostReason
	}
	return ratesBetween(before, after), load, nil
}

// regularLoad is a load at the given rate on each real limiter, by firms that stay within their quotas.
func (r *run) regularLoad(rate float64) (list []LoadTarget) {
	for k, l := range r.realLimiters {
		list = append(list, LoadTarget{Addr: l.addr, RequestsPerSecond: rate, Firms: max(int(firmsPerRequestRate*rate), 1), FirstFirmID: uint64(k+1) << 20, LimitersPerFirm: limitersPerFirm, FirstLimiter: k, Tier: tiers[0].Name})
	}
	return list
}

// directLoad is the same rate sent to the stand-in servers, without a limiter in between.
func (r *run) directLoad(rate float64) (list []LoadTarget) {
	for k := range r.realLimiters {
		list = append(list, LoadTarget{Addr: r.serverAddrs[k%len(r.serverAddrs)], RequestsPerSecond: rate, Firms: 1, LimitersPerFirm: 1, Tier: tiers[0].Name})
	}
	return list
}

// recordAddedTime adds the result of a load to the figures; control says whether the list changed meanwhile.
func (r *run) recordAddedTime(rate float64, control bool, load LoadResult) {
	r.figures.Added = append(r.figures.Added, AddedTime{RequestsPerSecond: rate, WithChanges: control, P50MS: load.P50MS, P99MS: load.P99MS, TimedRequests: load.Timed,
		Limiters: r.hollowLimiterCount() + len(r.realLimiters), Servers: r.listedServers, Refused: load.Refused, Lost: load.Lost})
	r.say("%g requests a second of each limiter: added time %.2f ms at the 99th percentile, %.2f ms at the median; %d refused, %d lost", rate, load.P99MS, load.P50MS, load.Refused, load.Lost)
}

// recordLimiters records the mean of what the real limiters used at a size.
func (r *run) recordLimiters(against string, size float64, used rates) {
	var memory, messages, bytes []float64
	for k, l := range r.realLimiters {
		memory = append(memory, residentBytes(l.pid))
		messages, bytes = append(messages, used.limiterRates[k][0]), append(bytes, used.limiterRates[k][1])
	}
	r.measurements.add("limiter", "memory", against, size, mean(memory))
	r.measurements.add("limiter", "processor", against, size, mean(used.limiterProcessor))
	r.measurements.add("limiter", "messages", against, size, mean(messages))
	r.measurements.add("limiter", "bytes", against, size, mean(bytes))
}

// recordRoles records what discovery or the counter used at a size.
func (r *run) recordRoles(against string, size float64, used rates, roles ...string) {
	for _, role := range roles {
		p, t := r.discoveryProcess, used.discoveryRates
		if role == counterRole {
			p, t = r.counterProcess, used.counterRates
		}
		r.measurements.add(role, "memory", against, size, residentBytes(p.pid))
		r.measurements.add(role, "processor", against, size, used.processor[role])
		r.measurements.add(role, "messages", against, size, t[0])
		r.measurements.add(role, "bytes", against, size, t[1])
	}
}

// collectGarbage has discovery, the counter and the hollow limiters return unused memory, so that sizes can be compared.
func (r *run) collectGarbage() error {
	for _, p := range append([]*process{r.discoveryProcess, r.counterProcess}, r.hollowProcesses...) {
		if err := r.children.call(p, "Peer.FreeMemory", 0, new(int)); err != nil {
			return err
		}
	}
	return nil
}

// recordHollow records what all hollow limiters together used at a size.
func (r *run) recordHollow(against string, size float64, used rates) {
	memory := 0.0
	for _, p := range r.hollowProcesses {
		memory += residentBytes(p.pid)
	}
	r.measurements.add("hollow", "memory", against, size, memory)
	r.measurements.add("hollow", "processor", against, size, used.processor["hollow"])
	d, c := used.discoveryTraffic.Hollow, used.counterTraffic.Hollow
	r.measurements.add("hollow", "messages", against, size, float64(d.Messages+c.Messages)/used.seconds)
	r.measurements.add("hollow", "bytes", against, size, float64(d.Bytes+c.Bytes)/used.seconds)
}
