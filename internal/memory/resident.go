package memory

import (
	"bufio"
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// Resident is the resident set of this process, which the platform counts against its memory limit.
type Resident struct {
	Total int64 // bytes
	File  int64 // bytes of mapped files, nearly all of the program's own
}

var pageBytes = int64(os.Getpagesize())

// ReadResident returns the resident set; ok is false where the system does not report it.
func ReadResident() (r Resident, ok bool) {
	raw, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(raw)
	if err != nil || len(fields) < 3 {
		return r, false
	}
	total, totalErr := strconv.ParseInt(string(fields[1]), 10, 64)
	file, fileErr := strconv.ParseInt(string(fields[2]), 10, 64)
	return Resident{Total: total * pageBytes, File: file * pageBytes}, totalErr == nil && fileErr == nil
}

// mapping is a range of addresses of this process.
type mapping struct {
	start, end uintptr
	readOnly   bool
	path       string
	dirty      bool // some of its pages differ from the file
}

// ReleaseProgramPages unmaps the pages of the program's own file that were mapped before. Those still in use are mapped again from
// the page cache at their next use, and the kernel maps up to sixteen with each of them. Mappings that may have been written to are left.
func ReleaseProgramPages() {
	for _, m := range programMappings() {
		_, _, _ = unix.Syscall(unix.SYS_MADVISE, m.start, m.end-m.start, unix.MADV_DONTNEED)
	}
}

// programMappings returns the mappings of the program's own file that are never written to. They do not change while it runs.
var programMappings = sync.OnceValue(func() (list []mapping) {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return nil
	}
	mappings, err := readMappings()
	if err != nil {
		slog.Debug("cannot read the mappings of this process", "err", err)
		return nil
	}
	for _, m := range mappings {
		if m.path == program && m.readOnly && !m.dirty {
			list = append(list, m)
		}
	}
	return list
})

func readMappings() (list []mapping, err error) {
	raw, err := os.ReadFile("/proc/self/smaps")
	if err != nil {
		return nil, err
	}
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) >= 5 && strings.Contains(fields[0], "-"):
			m := mapping{readOnly: !strings.Contains(fields[1], "w")}
			if _, err := fmt.Sscanf(fields[0], "%x-%x", &m.start, &m.end); err != nil {
				return nil, err
			}
			if len(fields) >= 6 {
				m.path = fields[5]
			}
			list = append(list, m)
		case len(list) > 0 && len(fields) >= 2 && fields[0] == "Anonymous:":
			last := &list[len(list)-1]
			last.dirty = last.dirty || fields[1] != "0"
		}
	}
	return list, nil
}
