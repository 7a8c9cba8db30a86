package memory

import (
	"context"
	"log/slog"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"
)

const (
	checkInterval     = 200 * time.Millisecond // where the Go runtime's limit follows the resident set
	longCheckInterval = time.Second
	reportInterval    = 10 * time.Second // between two log lines
	reportedShare     = 0.75             // of the limit, from which on the resident set is logged
	liveObjectsMetric = "/gc/heap/live:bytes"
	heapObjectsMetric = "/memory/classes/heap/objects:bytes"
	heapUnusedMetric  = "/memory/classes/heap/unused:bytes"
	heapFreeMetric    = "/memory/classes/heap/free:bytes"
	releasedMetric    = "/memory/classes/heap/released:bytes"
	goTotalMetric     = "/memory/classes/total:bytes"
	stacksMetric      = "/memory/classes/heap/stacks:bytes"
)

// Monitor watches the process's memory, logs what holds it, holds back readers before live objects fill the Go runtime's part of
// the limit, and returns unused memory and the program's pages.
type Monitor struct {
	limits  Limits
	budgets []*Budget

	readBytes atomic.Int64 // from peers, since the start
	pressed   atomic.Bool

	mu                sync.Mutex
	samples           []metrics.Sample
	reportedAt        time.Time
	releasedAt        time.Time
	programReleasedAt time.Time
	collectedAt       time.Time
	releasePause      time.Duration
	highest           int64 // resident set
	mostFile          int64 // mapped pages of files
	goLimit           int64 // the Go runtime's soft limit
	readAtCheck       int64 // readBytes at the last check
	readAtRelease     int64 // and when unused memory was last returned
}

// NewMonitor sets the Go runtime's limit and returns a monitor that reports these budgets.
func NewMonitor(limits Limits, budgets ...*Budget) *Monitor {
	debug.SetMemoryLimit(limits.Go)
	m := &Monitor{limits: limits, goLimit: limits.Go, budgets: budgets, releasePause: minReleasePause}
	for _, name := range []string{liveObjectsMetric, heapObjectsMetric, heapUnusedMetric, heapFreeMetric, releasedMetric, goTotalMetric, stacksMetric} {
		m.samples = append(m.samples, metrics.Sample{Name: name})
	}
	return m
}

// read returns the runtime's metrics by name.
func (m *Monitor) read() map[string]uint64 {
	metrics.Read(m.samples)
	values := make(map[string]uint64, len(m.samples))
	for _, s := range m.samples {
		values[s.Name] = s.Value.Uint64()
	}
	return values
}

// Run checks the process's memory until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	interval := longCheckInterval
	if m.mostGoLimit() > m.limits.Go {
		interval = checkInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			m.check(now)
		}
	}
}

func (m *Monitor) check(now time.Time) {
	resident, ok := ReadResident()
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest = max(m.highest, resident.Total)
	m.adjustGoLimit(resident)
	if m.isOver(reportedShare, resident) && now.Sub(m.reportedAt) >= reportInterval {
		m.reportedAt = now
		m.report(resident, m.read())
	}
	if !m.isOver(releaseShare, resident) {
		return
	}
	if m.releaseDue(now) {
		m.release()
		m.releasedAt, m.readAtRelease = now, m.readBytes.Load()
	} else if now.Sub(m.programReleasedAt) >= programPause {
		ReleaseProgramPages()
		m.programReleasedAt = now
	}
}

// isOver reports whether the resident set has passed a share of the limit.
func (m *Monitor) isOver(share float64, r Resident) bool {
	return float64(r.Total) > share*float64(m.limits.Process)
}

// report logs what holds the memory.
func (m *Monitor) report(resident Resident, values map[string]uint64) {
	attrs := []any{"resident", inKB(resident.Total), "highest", inKB(m.highest), "limit", inKB(m.limits.Process), "file", inKB(resident.File),
		"go", inKB(int64(values[goTotalMetric] - values[releasedMetric])), "live", inKB(int64(values[liveObjectsMetric])),
		"objects", inKB(int64(values[heapObjectsMetric])), "unused", inKB(int64(values[heapFreeMetric] + values[heapUnusedMetric])),
		"stacks", inKB(int64(values[stacksMetric])), "read", inKB(m.readBytes.Load()), "pressed", m.pressed.Load()}
	for _, b := range m.budgets {
		attrs = append(attrs, b.name, inKB(b.Used()), b.name+"-peak", inKB(b.peak.Load()), b.name+"-waiting", b.Waiting())
	}
	slog.Warn("memory in use, in KB", attrs...)
}

func inKB(bytes int64) int64 { return bytes >> 10 }
