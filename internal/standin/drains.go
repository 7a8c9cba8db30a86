package standin

import "time"

// maxPropagationDelay is the time after which a limiter counts as told of a drain, even if no answer of discovery arrived.
const maxPropagationDelay = 6 * time.Second

// drainAudit records what limiters with an agent of their own were told of machines, by the machines' ids in discovery.
type drainAudit struct {
	grace       time.Duration // for commands sent after a drain was told, including delays of a busy machine
	leftAt      map[string]time.Time
	listed      map[limiterMachine]bool
	drainToldAt map[limiterMachine]time.Time // since when the limiter has been told that the machine drains or is gone
	sends       int
}

type limiterMachine struct {
	limiter int
	id      string
}

// CheckDrains enables the checks of drains: limiters with an agent of their own must not send commands to machines that they
// were not told of, nor to machines that they were told longer than grace ago are draining or gone.
func (a *Auditor) CheckDrains(grace time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drains = &drainAudit{grace, map[string]time.Time{}, map[limiterMachine]bool{}, map[limiterMachine]time.Time{}, 0}
}

// MachineListed records that a limiter has been told a machine's state. If the list may not have arrived complete, the limiter
// is not taken to know the machine's id, but it is held to a drain that the list tells. A ready machine ends an earlier drain.
func (a *Auditor) MachineListed(limiter int, id string, ready, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drains == nil {
		return
	}
	p := limiterMachine{limiter, id}
	if complete {
		a.drains.listed[p] = true
	}
	if ready {
		delete(a.drains.drainToldAt, p)
	} else if a.drains.drainToldAt[p].IsZero() {
		a.drains.drainToldAt[p] = time.Now()
	}
}

// MachineLeft records the time since when a machine has been draining or gone.
func (a *Auditor) MachineLeft(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drains != nil && a.drains.leftAt[id].IsZero() {
		a.drains.leftAt[id] = time.Now()
	}
}

// CommandReceived checks a command that a machine received from a limiter.
func (a *Auditor) CommandReceived(limiter int, id, request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.drains
	if d == nil {
		return
	}
	d.sends++
	p := limiterMachine{limiter, id}
	if !d.listed[p] {
		a.reportf("limiter %d sent request %s to machine %s, which no list had named to it", limiter, request, id)
	}
	toldAt := d.drainToldAt[p]
	if leftAt := d.leftAt[id]; !leftAt.IsZero() && (toldAt.IsZero() || toldAt.After(leftAt.Add(maxPropagationDelay))) {
		toldAt = leftAt.Add(maxPropagationDelay)
	}
	if late := time.Since(toldAt); !toldAt.IsZero() && late > d.grace {
		a.reportf("limiter %d sent request %s to machine %s, %.2f s after it was told that the machine drains or is gone", limiter, request, id, late.Seconds())
	}
}

// CheckedCommands returns the number of commands for which drains were checked.
func (a *Auditor) CheckedCommands() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drains == nil {
		return 0
	}
	return a.drains.sends
}
