package scale

import "fmt"

// growFleet starts hollow limiters until there are as many as given, evenly over their processes, and waits until all have the
// list.
func (r *run) growFleet(limiters int) error {
	for len(r.hollowProcesses) < hollowProcessCount {
		p, err := r.children.startChild(indexedName(hollowRole, len(r.hollowProcesses)), hollowRole, r.ChildCommand)
		if err != nil {
			return err
		}
		r.hollowProcesses, r.hollowCounts = append(r.hollowProcesses, p), append(r.hollowCounts, 0)
	}
	for added := true; added; { // at most maxHollowPerStart at once in each process: a machine that thousands share cannot start all at the same time
		added = false
		for k := range r.hollowProcesses {
			n := limiters / hollowProcessCount
			if k < limiters%hollowProcessCount {
				n++
			}
			n = min(n-r.hollowCounts[k], maxHollowPerStart)
			if err := r.addHollow(k, n); err != nil {
				return err
			}
			added = added || n > 0
		}
		if err := r.awaitLists(); err != nil {
			return err
		}
	}
	r.figures.Hollow = max(r.figures.Hollow, r.hollowLimiterCount())
	return nil
}

// awaitLists waits until all hollow limiters have the list.
func (r *run) awaitLists() error {
	_, behind, err := r.awaitVersion(deliveryTimeout, r.hollowProcesses)
	if err == nil && behind > 0 {
		err = fmt.Errorf("%d of %d hollow limiters do not have the list after %s", behind, r.hollowLimiterCount(), deliveryTimeout)
	}
	return err
}

// addHollow starts n more hollow limiters in the k-th process.
func (r *run) addHollow(k, n int) error {
	if n <= 0 {
		return nil
	}
	r.hollowCounts[k] += n
	return r.children.call(r.hollowProcesses[k], "Role.Add", HollowAdd{n, r.discoveryAddrs.Hollow, r.counterAddrs.Hollow, r.totalLimiters(), r.Sizes.CallsPerSecond, r.Sizes.HollowDrainGrace}, new(int))
}

// stopHollow stops the calls of all hollow limiters, waits a moment for their answers, counts calls without one, and kills the
// processes.
func (r *run) stopHollow() error {
	for _, p := range r.hollowProcesses {
		if err := r.children.call(p, "Role.Calls", 0.0, new(int)); err != nil {
			return err
		}
	}
	if err := r.children.sleep(r.Sizes.Settle); err != nil {
		return err
	}
	for _, p := range r.hollowProcesses {
		var a HollowStatus
		if err := r.children.call(p, "Role.Arrivals", int64(0), &a); err != nil {
			return err
		}
		if n := int(a.unanswered()); n > 0 {
			r.unansweredCalls += n
			r.unansweredReasons = append(r.unansweredReasons, fmt.Sprintf("%d never left or were turned away, %d were lost with their connection, %d are open", a.UnsentOrRejected, a.Lost,
				a.unanswered()-a.UnsentOrRejected-a.Lost))
		}
		r.children.kill(p)
	}
	r.hollowProcesses, r.hollowCounts = nil, nil
	return nil
}

// sweepLimiters sweeps the number of hollow limiters.
func (r *run) sweepLimiters() error {
	r.measurements.heldConstant["limiters"] = fmt.Sprintf("%d servers, %g changes a second, %g calls a second of each hollow limiter, %g requests a second of each of %d real limiters",
		r.listedServers, r.Sizes.BackgroundChangesPerSecond, r.Sizes.CallsPerSecond, targetRequestsPerSecond, len(r.realLimiters))
	for _, n := range r.Sizes.HollowLimiters {
		if err := r.growFleet(n); err != nil {
			return err
		}
		if err := r.children.sleep(r.Sizes.Settle); err != nil {
			return err
		}
		used, _, err := r.measureWindow(r.Sizes.Window, r.regularLoad(targetRequestsPerSecond), []ChangeSchedule{{ChangesPerSecond: r.Sizes.BackgroundChangesPerSecond, Duration: r.Sizes.Window}})
		if err != nil {
			return err
		}
		if err := r.collectGarbage(); err != nil {
			return err
		}
		size := float64(n + len(r.realLimiters))
		r.recordLimiters("limiters", size, used)
		r.recordRoles("limiters", size, used, discoveryRole, counterRole)
		r.recordHollow("limiters", float64(n), used)
		moment, err := r.measureChange(Change{To: 1, State: "ready"}, deliveryTimeout)
		if err != nil {
			return err
		}
		moment.Name = "change"
		r.figures.Moments = append(r.figures.Moments, moment)
		r.say("%d limiters: a change reached 99 in 100 hollow ones after %.0f ms, the last after %.0f ms", moment.Limiters, 1000*moment.P99Seconds, 1000*moment.LastSeconds)
	}
	return nil
}

// sweepServers sweeps the number of listed servers, which only grows, and ends with the measurements on the longest list.
func (r *run) sweepServers() error {
	r.measurements.heldConstant["servers"] = fmt.Sprintf("%d hollow limiters, %d real ones without requests, %g changes a second", fewHollowLimiters, len(r.realLimiters), r.Sizes.BackgroundChangesPerSecond)
	for _, n := range r.Sizes.ListedServers {
		if n < r.listedServers {
			continue
		}
		if err := r.growList(n); err != nil {
			return err
		}
		used, _, err := r.measureWindow(r.Sizes.Window, nil, []ChangeSchedule{{ChangesPerSecond: r.Sizes.BackgroundChangesPerSecond, Duration: r.Sizes.Window}})
		if err != nil {
			return err
		}
		if err := r.collectGarbage(); err != nil {
			return err
		}
		var listSize [2]int
		if err := r.children.call(r.discoveryProcess, "Role.ListSize", 0, &listSize); err != nil {
			return err
		}
		r.recordLimiters("servers", float64(n), used)
		r.recordHollow("servers", float64(n), used)
		r.recordRoles("servers", float64(n), used, discoveryRole)
		r.measurements.addWithUnit("bytes/list", "discovery", "list", "servers", float64(n), float64(listSize[0]))
	}
	return r.measureLongestList()
}

// growList has discovery add servers to the list and waits until the real limiters have read all of them.
func (r *run) growList(servers int) error {
	from := now()
	moment, err := r.measureChange(Change{GrowTo: servers}, deliveryTimeout)
	if err != nil {
		return err
	}
	added := servers - r.listedServers
	r.listedServers = servers
	before := int64(-1)
	for last := now(); now()-from < deliveryTimeout; {
		var t GroupTraffic
		if err := r.children.call(r.discoveryProcess, "Role.Traffic", 0, &t); err != nil {
			return err
		}
		if b := t.realTotal().Bytes; b-before > int64(maxIdleBytes*len(r.realLimiters)) {
			before, last = b, now()
		}
		if now()-last > max(r.Sizes.Settle, idlePeriod) {
			break
		}
		if err := r.children.sleep(pollInterval); err != nil {
			return err
		}
	}
	if added > 0 {
		moment.Name, moment.Servers = "growth", servers
		moment.Note = joinNotes(fmt.Sprintf("%d servers more, %d in a line at most", added, maxServersPerLine), moment.Note)
		r.figures.Moments = append(r.figures.Moments, moment)
	}
	return nil
}

// measureLongestList measures the outage of a zone, the added time and, where the list is long enough to be refused, the start
// of a limiter, all on the longest list.
func (r *run) measureLongestList() error {
	if err := r.measureOutage("zone", Change{To: r.listedServers, Step: len(zones)}, r.Sizes.Settle); err != nil {
		return err
	}
	if err := r.measureControlled(targetRequestsPerSecond); err != nil {
		return err
	}
	var listSize [2]int
	if err := r.children.call(r.discoveryProcess, "Role.ListSize", 0, &listSize); err != nil || listSize[0] < longListBytes {
		return err
	}
	return r.startBesideLongestList()
}
