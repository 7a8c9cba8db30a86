package scale

import (
	"fmt"
	"slices"
	"time"
)

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
