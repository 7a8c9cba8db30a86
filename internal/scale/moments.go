package scale

import (
	"fmt"
	"slices"
	"time"
)

// measureChange makes one change of the list, waits until the hollow limiters have it and returns how long that took.
func (r *run) measureChange(c Change, timeout time.Duration) (moment Moment, err error) {
	before, err := r.takeSample()
	if err != nil {
		return moment, err
	}
	var applied AppliedChange
	if err := r.children.call(r.discoveryProcess, "Role.Change", c, &applied); err != nil {
		return moment, err
	}
	r.lastVersion = applied.Version
	arrivedAt, behind, err := r.awaitVersion(timeout, r.hollowProcesses)
	if err != nil {
		return moment, err
	}
	after, err := r.takeSample()
	if err != nil {
		return moment, err
	}
	moment = r.newMoment(arrivedAt, applied.AppliedAt, behind)
	t := after.discovery.minus(before.discovery).total()
	moment.Messages, moment.Bytes = float64(t.Messages), float64(t.Bytes)
	return moment, nil
}

// newMoment sums up how long after since a version arrived at limiters; behind is the number that did not get it in time.
func (r *run) newMoment(arrivedAt []time.Duration, since time.Duration, behind int) (moment Moment) {
	slices.Sort(arrivedAt)
	moment.Limiters, moment.Servers = r.hollowLimiterCount()+len(r.realLimiters), r.listedServers
	if n := len(arrivedAt); n > 0 {
		moment.P99Seconds, moment.LastSeconds = (arrivedAt[(n*99+99)/100-1] - since).Seconds(), (arrivedAt[n-1] - since).Seconds()
	}
	if behind > 0 {
		moment.Note = fmt.Sprintf("%d hollow limiters %s", behind, notHeardNote)
	}
	return moment
}

const (
	maxIdleBytes    = 1000                   // of a real limiter's watch in idlePeriod when only heartbeats are sent
	idlePeriod      = 300 * time.Millisecond // without more than that the list counts as read
	pollInterval    = 20 * time.Millisecond  // between two looks at how far limiters are
	deliveryTimeout = 20 * time.Second       // until the last limiter has a change or a list
)

// awaitVersion waits until the hollow limiters of the given processes have the last version, or until the timeout is over. It
// returns when each of them got it and how many have not.
func (r *run) awaitVersion(timeout time.Duration, processes []*process) (arrivedAt []time.Duration, behind int, err error) {
	for began := now(); ; {
		arrivedAt, behind = nil, 0
		for _, p := range processes {
			var a HollowStatus
			if err := r.children.call(p, "Role.Arrivals", r.lastVersion, &a); err != nil {
				return nil, 0, err
			}
			arrivedAt = append(arrivedAt, a.ArrivedAt...)
			behind += a.Behind
		}
		if behind == 0 || now()-began > timeout {
			return arrivedAt, behind, nil
		}
		if err := r.children.sleep(pollInterval); err != nil {
			return nil, 0, err
		}
	}
}

// measureMoments measures the outage and return of a rack and of a zone, with the real limiters under load, and the restart of
// a tenth of the hollow limiters.
func (r *run) measureMoments() error {
	if err := r.measureOutage("rack", Change{To: max(r.listedServers/20, 2)}, r.Sizes.Settle); err != nil {
		return err
	}
	if err := r.measureOutage("zone", Change{To: r.listedServers, Step: len(zones)}, r.Sizes.Settle); err != nil {
		return err
	}
	return r.measureRestart()
}

// measureOutage reports servers as gone and, after the given time, as ready again, while the real limiters are under load.
func (r *run) measureOutage(name string, change Change, pause time.Duration) error {
	var load LoadResult
	done := make(chan error, 1)
	go func() {
		done <- r.children.call(r.loadProcess, "Role.Run", LoadRun{r.regularLoad(targetRequestsPerSecond), 0, 2*pause + time.Second, r.Seed}, &load)
	}()
	for k, state := range []string{"gone", "ready"} {
		if err := r.children.sleep(pause); err != nil {
			return err
		}
		change.State = state
		moment, err := r.measureChange(change, deliveryTimeout)
		if err != nil {
			return err
		}
		moment.Name = name
		direction := []string{"gone", "back"}[k]
		moment.Note = joinNotes(fmt.Sprintf("%s: %d servers", direction, (change.To-change.From+max(change.Step, 1)-1)/max(change.Step, 1)), moment.Note)
		r.figures.Moments = append(r.figures.Moments, moment)
		r.say("a %s %s, sent to %d limiters: it reached 99 in 100 hollow ones after %.0f ms, the last after %.0f ms", name, direction, moment.Limiters, 1000*moment.P99Seconds, 1000*moment.LastSeconds)
	}
	if err := <-done; err != nil {
		return err
	}
	r.lostRequests, r.refusedRequests, r.sentRequests = r.lostRequests+load.Lost, r.refusedRequests+load.Refused, r.sentRequests+load.Sent
	if r.lostReason == "" {
		r.lostReason = load.LostReason
	}
	return nil
}

// joinNotes joins two notes, either of which may be empty.
func joinNotes(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}

// measureRestart kills one of the hollow processes, which holds a tenth of the hollow limiters, and starts it again, so that all
// its limiters ask for the whole list at the same time.
func (r *run) measureRestart() error {
	before, err := r.takeSample()
	if err != nil {
		return err
	}
	n := r.hollowCounts[0]
	r.children.kill(r.hollowProcesses[0])
	p, err := r.children.startChild(indexedName(hollowRole, 0), hollowRole, r.ChildCommand)
	if err != nil {
		return err
	}
	r.hollowProcesses[0], r.hollowCounts[0] = p, 0
	since := now()
	if err := r.addHollow(0, n); err != nil {
		return err
	}
	arrivedAt, behind, err := r.awaitVersion(deliveryTimeout, r.hollowProcesses[:1])
	if err != nil {
		return err
	}
	after, err := r.takeSample()
	if err != nil {
		return err
	}
	moment := r.newMoment(arrivedAt, since, behind)
	moment.Name = "restart"
	t := after.discovery.minus(before.discovery).total()
	moment.Messages, moment.Bytes = float64(t.Messages), float64(t.Bytes)
	moment.Note = joinNotes(fmt.Sprintf("%d limiters at once, until each has the whole list", n), moment.Note)
	r.figures.Moments = append(r.figures.Moments, moment)
	r.say("%d limiters restarted at once: 99 in 100 had the list after %.0f ms, the last after %.0f ms", n, 1000*moment.P99Seconds, 1000*moment.LastSeconds)
	return nil
}

// sweepChanges sweeps the rate of changes with a small fleet and no requests, to measure what the control side alone costs a
// limiter.
func (r *run) sweepChanges() error {
	if err := r.stopHollow(); err != nil {
		return err
	}
	r.clusterResults = make(chan clusterResult, 1)
	go func() { r.clusterResults <- r.followClusters() }() // in parallel, as it mostly waits for the limiter to read its file
	if err := r.growFleet(fewHollowLimiters); err != nil {
		return err
	}
	if r.Model && r.Quick {
		r.startModel()
	}
	r.measurements.heldConstant["changes"] = fmt.Sprintf("%d hollow limiters without calls, %d real ones without requests, %d servers; each change names one server",
		fewHollowLimiters, len(r.realLimiters), r.listedServers)
	for _, p := range r.hollowProcesses {
		if err := r.children.call(p, "Role.Calls", 0.0, new(int)); err != nil {
			return err
		}
	}
	for _, rate := range r.Sizes.ChangesPerSecond {
		duration := max(r.Sizes.Window, time.Duration(1.1/rate*float64(time.Second)))
		used, _, err := r.measureWindow(duration, nil, []ChangeSchedule{{ChangesPerSecond: rate, Duration: duration}})
		if err != nil {
			return err
		}
		changesPerLimiter := float64(used.discoveryTraffic.realTotal().Changes) / float64(len(r.realLimiters)) / duration.Seconds()
		r.recordLimiters("changes", changesPerLimiter, used)
		r.recordRoles("changes", changesPerLimiter, used, discoveryRole)
	}
	return nil
}
