package scale

import "fmt"

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
		if n := int(a.unanswered()); n > 0 {
			r.unanswered += n
			r.unansweredWhy = append(r.unansweredWhy, fmt.Sprintf("%d never left or were turned away, %d were lost with their connection, %d are open", a.Unsent, a.Lost,
				a.unanswered()-a.Unsent-a.Lost))
		}
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
