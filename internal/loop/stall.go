package loop

import (
	"log/slog"
	"syscall"
	"time"
)

const (
	reportedStall  = time.Second // lateness of a timer from which on it is logged
	sampleInterval = time.Second // between two looks at the processor time used
)

// stallLog reports in the log when the loop could not run for long, and how much processor time the process used meanwhile:
// nearly none means that the machine gave it none, nearly all that the program was busy with something else.
type stallLog struct {
	sampledAt time.Duration
	processor time.Duration // used by then
}

// check is called before each batch with how late the earliest timer is.
func (s *stallLog) check(now, late time.Duration) {
	if now-s.sampledAt < sampleInterval {
		return
	}
	processor := processorTime()
	if late >= reportedStall && s.sampledAt > 0 {
		slog.Warn("the loop was held up", "for", late.Round(time.Millisecond), "processor", processor-s.processor,
			"within", (now - s.sampledAt).Round(time.Millisecond))
	}
	s.sampledAt, s.processor = now, processor
}

// processorTime returns the processor time that this process has used; 0 where the system does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
