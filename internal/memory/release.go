package memory

import (
	"runtime/debug"
	"time"
)

const (
	minReleasePause = 2 * time.Second // between two returns of unused memory to the system
	maxReleasePause = 10 * time.Second
	programPause    = time.Second // between two returns of the program's pages
	releaseShare    = 0.4         // of the limit, from which on unused memory and the program's pages are returned
	quietBytes      = 16 << 10    // read in a checkInterval, under which there is no load
)

// releaseDue reports whether unused memory is to be returned: after a pause, or once a load has ended.
func (m *Monitor) releaseDue(now time.Time) bool {
	since, read := now.Sub(m.releasedAt), m.readBytes.Load()
	quiet := read-m.readAtCheck < quietBytes
	m.readAtCheck = read
	return since >= m.releasePause || quiet && since >= minReleasePause && read-m.readAtRelease >= bytesPerCheck
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
