package memory

import (
	"runtime/debug"
	"time"
)

const (
	minReleasePause  = 2 * time.Second // between two returns of unused memory to the system
	maxReleasePause  = 10 * time.Second
	programPause     = time.Second // between two returns of the program's pages
	leastLimitChange = 512 << 10   // of the Go runtime's soft limit, since each change stops the program for a moment
	residentTarget   = 0.85        // of the limit, up to which the Go runtime may fill the resident set
	releaseShare     = 0.4         // of the limit, from which on unused memory and the program's pages are returned
	usualFileBytes   = 12 << 20    // mapped pages of files once most of the program has run
	quietBytes       = 16 << 10    // read in a checkInterval, under which there is no load
)

// releaseDue reports whether unused memory is to be returned: after a pause, or once a load has ended.
func (m *Monitor) releaseDue(now time.Time) bool {
	since, read := now.Sub(m.releasedAt), m.readBytes.Load()
	quiet := read-m.readAtCheck < quietBytes
	m.readAtCheck = read
	return since >= m.releasePause || quiet && since >= minReleasePause && read-m.readAtRelease >= bytesPerCheck
}

// mostGoLimit is the highest soft limit of the Go runtime. With larger limits of the process it is the runtime's part itself.
func (m *Monitor) mostGoLimit() int64 {
	return max(m.limits.Go, int64(goShare*float64(m.limits.Process)))
}

// adjustGoLimit lets the Go runtime have what the rest of the process leaves of the limit: part of what it counts is mapped and never
// touched, and the rest takes less than programBytes.
func (m *Monitor) adjustGoLimit(resident Resident) {
	if m.mostGoLimit() == m.limits.Go {
		return
	}
	m.mostFile = max(m.mostFile, resident.File, usualFileBytes)
	used := resident.Total - resident.File + m.mostFile
	values := m.read()
	inGo := int64(values[goTotalMetric] - values[releasedMetric])
	limit := min(max(inGo+int64(residentTarget*float64(m.limits.Process))-used, m.limits.Go), m.mostGoLimit())
	if max(limit-m.goLimit, m.goLimit-limit) >= leastLimitChange {
		m.goLimit = limit
		debug.SetMemoryLimit(limit)
	}
}

// release returns unused memory to the system. Where that does not help, because the memory is in use, the next time is later.
func (m *Monitor) release() {
	debug.FreeOSMemory()
	ReleaseProgramPages()
	resident, ok := ReadResident()
	if ok && m.isOver(releaseShare, resident) {
		m.releasePause = min(2*m.releasePause, maxReleasePause)
	} else {
		m.releasePause = minReleasePause
	}
}
