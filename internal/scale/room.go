package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	maxProcesses            = 300
	helperProcesses         = 6 // discovery, counter, servers, load, operators and one for hollow admin services
	spareDescriptors        = 200
	maxDescriptors          = 20_000
	helperProcessBytes      = 16 << 20
	realLimiterBytes        = 24 << 20
	realBytesPerServer      = 900 // bytes of a real limiter for a server of the list
	hollowLimiterBytes      = 110 << 10
	hollowBytesPerServer    = 420 // bytes of a hollow limiter for a server of the list
	discoveryBytesPerServer = 700
	minRealLimiters         = 8
	minHollowLimiters       = 100 // hollow ones: a size spans a factor of ten, for each of ten processes
	minListedServers        = 40
	hollowProcessCount      = 10 // each a tenth of the hollow limiters, so that a tenth can be restarted
	fewHollowLimiters       = 20 // beside large lists
)

// room tells why sizes do not fit this machine, or contradict each other; nil: they fit.
func (s Sizes) checkFit() error {
	limiters := s.HollowLimiters[len(s.HollowLimiters)-1]
	switch {
	case s.RealLimiters < s.minRealLimiters():
		return fmt.Errorf("%d real limiters: at least %d are needed", s.RealLimiters, s.minRealLimiters())
	case limiters < minHollowLimiters && !s.countsOnly:
		return fmt.Errorf("%d hollow limiters: at least %d are needed for sizes that span a factor of 100 in %d processes", limiters, minHollowLimiters, hollowProcessCount)
	case s.ServersBesideFleet < minListedServers:
		return fmt.Errorf("%d servers beside the fleet: at least %d are needed", s.ServersBesideFleet, minListedServers)
	case s.ListedServers[len(s.ListedServers)-1] < s.ServersBesideFleet:
		return fmt.Errorf("%d servers at most, but %d beside the fleet: a list only grows", s.ListedServers[len(s.ListedServers)-1], s.ServersBesideFleet)
	}
	if n := s.RealLimiters + hollowProcessCount + helperProcesses; n > maxProcesses {
		return fmt.Errorf("%d processes are needed, the rig may have %d", n, maxProcesses)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	most := min(int(min(files.Cur, maxDescriptors)), maxDescriptors)
	if n := limiters + 2*s.RealLimiters + spareDescriptors; n > most { // at discovery, and at the counter
		return fmt.Errorf("%d limiters need %d descriptors of one process, it may hold %d", limiters, n, most)
	}
	all, err := machineMemory()
	if err != nil {
		return err
	}
	free, err := meminfoBytes("MemAvailable")
	if err != nil {
		return err
	}
	need := s.peakMemory()
	if need > all/2 {
		return fmt.Errorf("%d limiters with %d servers and %d real ones need some %d MB, half of the machine's memory is %d MB", limiters, s.ServersBesideFleet, s.RealLimiters, need>>20, all>>21)
	}
	if need > free {
		return fmt.Errorf("%d limiters with %d servers and %d real ones need some %d MB, %d MB are free", limiters, s.ServersBesideFleet, s.RealLimiters, need>>20, free>>20)
	}
	return nil
}

func (s Sizes) minRealLimiters() int {
	if s.countsOnly {
		return 2
	}
	return minRealLimiters
}

// memory is the most that a run is expected to need at once, in bytes: with the largest fleet, or with the longest list.
func (s Sizes) peakMemory() int64 {
	limiters, servers := int64(s.HollowLimiters[len(s.HollowLimiters)-1]), int64(s.ListedServers[len(s.ListedServers)-1])
	at := func(limiters, servers int64) int64 {
		return limiters*(hollowLimiterBytes+servers*hollowBytesPerServer) + int64(s.RealLimiters)*(realLimiterBytes+servers*realBytesPerServer) +
			servers*discoveryBytesPerServer + (hollowProcessCount+helperProcesses)*helperProcessBytes
	}
	return max(at(limiters, int64(s.ServersBesideFleet)), at(fewHollowLimiters, servers))
}

// machineMemory is the machine's memory, or what the control group has of it.
func machineMemory() (int64, error) {
	all, err := meminfoBytes("MemTotal")
	if err != nil {
		return 0, err
	}
	raw, err := os.ReadFile("/sys/fs/cgroup/memory.max")
	if errors.Is(err, os.ErrNotExist) {
		return all, nil
	}
	if err != nil {
		return 0, err
	}
	if n, err := strconv.ParseInt(strings.TrimSpace(string(raw)), 10, 64); err == nil { // else it says max
		all = min(all, n)
	}
	return all, nil
}
