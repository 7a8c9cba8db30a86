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
	mostProcesses   = 300
	ownProcesses    = 6 // discovery, counter, servers, load, operators and one for hollow admin services
	spareFiles      = 200
	mostFiles       = 20_000
	childBytes      = 16 << 20
	limiterBytes    = 24 << 20
	limiterEntry    = 900 // bytes of a real limiter for a server of the list
	hollowBytes     = 110 << 10
	hollowEntry     = 420 // bytes of a hollow limiter for a server of the list
	discoveryEntry  = 700
	leastReal       = 8
	leastLimiters   = 100 // hollow ones: a size spans a factor of ten, for each of ten processes
	leastServers    = 40
	hollowProcesses = 10 // each a tenth of the hollow limiters, so that a tenth can be restarted
	fewHollow       = 20 // beside large lists
)

// room tells why sizes do not fit this machine, or contradict each other; nil: they fit.
func (s Sizes) room() error {
	limiters := s.Fleet[len(s.Fleet)-1]
	switch {
	case s.Real < s.leastReal():
		return fmt.Errorf("%d real limiters: at least %d are needed", s.Real, s.leastReal())
	case limiters < leastLimiters && !s.small:
		return fmt.Errorf("%d hollow limiters: at least %d are needed for sizes that span a factor of 100 in %d processes", limiters, leastLimiters, hollowProcesses)
	case s.FleetServers < leastServers:
		return fmt.Errorf("%d servers beside the fleet: at least %d are needed", s.FleetServers, leastServers)
	case s.Servers[len(s.Servers)-1] < s.FleetServers:
		return fmt.Errorf("%d servers at most, but %d beside the fleet: a list only grows", s.Servers[len(s.Servers)-1], s.FleetServers)
	}
	if n := s.Real + hollowProcesses + ownProcesses; n > mostProcesses {
		return fmt.Errorf("%d processes are needed, the rig may have %d", n, mostProcesses)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	most := min(int(min(files.Cur, mostFiles)), mostFiles)
	if n := limiters + 2*s.Real + spareFiles; n > most { // at discovery, and at the counter
		return fmt.Errorf("%d limiters need %d descriptors of one process, it may hold %d", limiters, n, most)
	}
	all, err := machineMemory()
	if err != nil {
		return err
	}
	free, err := meminfo("MemAvailable")
	if err != nil {
		return err
	}
	need := s.memory()
	if need > all/2 {
		return fmt.Errorf("%d limiters with %d servers and %d real ones need some %d MB, half of the machine's memory is %d MB", limiters, s.FleetServers, s.Real, need>>20, all>>21)
	}
	if need > free {
		return fmt.Errorf("%d limiters with %d servers and %d real ones need some %d MB, %d MB are free", limiters, s.FleetServers, s.Real, need>>20, free>>20)
	}
	return nil
}

func (s Sizes) leastReal() int {
	if s.small {
		return 2
	}
	return leastReal
}

// memory is the most that a run is expected to need at once, in bytes: with the largest fleet, or with the longest list.
func (s Sizes) memory() int64 {
	limiters, servers := int64(s.Fleet[len(s.Fleet)-1]), int64(s.Servers[len(s.Servers)-1])
	at := func(limiters, servers int64) int64 {
		return limiters*(hollowBytes+servers*hollowEntry) + int64(s.Real)*(limiterBytes+servers*limiterEntry) +
			servers*discoveryEntry + (hollowProcesses+ownProcesses)*childBytes
	}
	return max(at(limiters, int64(s.FleetServers)), at(fewHollow, servers))
}

// machineMemory is the machine's memory, or what the control group has of it.
func machineMemory() (int64, error) {
	all, err := meminfo("MemTotal")
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
