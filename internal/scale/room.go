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
	helperProcesses         = 6        // discovery, counter, servers, load, operators and one for hollow admin services
	spareDescriptors        = 200      // of a process, besides its connections to limiters
	maxDescriptors          = 20_000   // of a process, also where the system allows more
	helperProcessBytes      = 16 << 20 // of each of the rig's own processes, those of hollow limiters included
	realLimiterBytes        = 24 << 20
	realBytesPerServer      = 900 // of each listed server in a real limiter
	hollowLimiterBytes      = 110 << 10
	hollowBytesPerServer    = 420 // of each listed server in a hollow limiter
	discoveryBytesPerServer = 700
	minRealLimiters         = 8
	minHollowLimiters       = 100 // at the largest size: each of ten processes then has ten, so that the sizes can span a factor of ten
	minListedServers        = 40
	hollowProcessCount      = 10 // each has a tenth of the hollow limiters, so that a tenth can be restarted at once
	fewHollowLimiters       = 20 // run where the list's length or its changes are swept
)

// checkFit returns an error that says why the sizes contradict each other or need more processes, descriptors or memory than
// this machine has.
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
		return fmt.Errorf("%d processes are needed, the rig may start %d at most", n, maxProcesses)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	descriptorLimit := min(int(min(files.Cur, maxDescriptors)), maxDescriptors)
	if n := limiters + 2*s.RealLimiters + spareDescriptors; n > descriptorLimit { // discovery and the counter each hold a connection of every limiter
		return fmt.Errorf("%d limiters need %d descriptors of one process, it may hold %d", limiters, n, descriptorLimit)
	}
	totalBytes, err := machineMemory()
	if err != nil {
		return err
	}
	availableBytes, err := meminfoBytes("MemAvailable")
	if err != nil {
		return err
	}
	neededBytes := s.peakMemory()
	if neededBytes > totalBytes/2 {
		return fmt.Errorf("%d limiters with %d servers and %d real ones need some %d MB, half of the machine's memory is %d MB", limiters, s.ServersBesideFleet, s.RealLimiters, neededBytes>>20, totalBytes>>21)
	}
	if neededBytes > availableBytes {
		return fmt.Errorf("%d limiters with %d servers and %d real ones need some %d MB, %d MB are free", limiters, s.ServersBesideFleet, s.RealLimiters, neededBytes>>20, availableBytes>>20)
	}
	return nil
}

func (s Sizes) minRealLimiters() int {
	if s.countsOnly {
		return 2
	}
	return minRealLimiters
}

// peakMemory is the most memory in bytes that a run is expected to need at once: either with the largest fleet or with the
// longest list.
func (s Sizes) peakMemory() int64 {
	limiters, servers := int64(s.HollowLimiters[len(s.HollowLimiters)-1]), int64(s.ListedServers[len(s.ListedServers)-1])
	bytesFor := func(limiters, servers int64) int64 {
		return limiters*(hollowLimiterBytes+servers*hollowBytesPerServer) + int64(s.RealLimiters)*(realLimiterBytes+servers*realBytesPerServer) +
			servers*discoveryBytesPerServer + (hollowProcessCount+helperProcesses)*helperProcessBytes
	}
	return max(bytesFor(limiters, int64(s.ServersBesideFleet)), bytesFor(fewHollowLimiters, servers))
}

// machineMemory is the machine's memory in bytes, or the limit of the control group where that is lower.
func machineMemory() (int64, error) {
	totalBytes, err := meminfoBytes("MemTotal")
	if err != nil {
		return 0, err
	}
	raw, err := os.ReadFile("/sys/fs/cgroup/memory.max")
	if errors.Is(err, os.ErrNotExist) {
		return totalBytes, nil
	}
	if err != nil {
		return 0, err
	}
	if n, err := strconv.ParseInt(strings.TrimSpace(string(raw)), 10, 64); err == nil { // without a limit the file holds the word max
		totalBytes = min(totalBytes, n)
	}
	return totalBytes, nil
}
