package evaluate

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"

	"bramblefall/internal/operator"
)

// Main is what the program does: it bounds its own memory, evaluates and writes the outcome.
func Main(path string, out io.Writer) error {
	if err := bound(); err != nil {
		return err
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, err := File(path, source)
	o := operator.Outcome{File: &file}
	if err != nil {
		o = operator.Outcome{Errors: []string{err.Error()}}
		var all operator.Errors
		if errors.As(err, &all) {
			o.Errors = all
		}
	}
	return json.NewEncoder(out).Encode(o)
}

// mostThreads is how many threads the runtime may start on two processors, with room to spare.
const mostThreads = 16

// bound sets the limit on addresses: the Go runtime reserves many at its start, so it is told from there, and every
// thread takes a stack's worth. (The C library's own reserve for each thread is off, see operator.Read.)
func bound() error {
	runtime.GOMAXPROCS(2)
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return err
	}
	first, _, _ := strings.Cut(string(raw), " ")
	pages, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return err
	}
	var stack syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_STACK, &stack); err != nil {
		return err
	}
	if stack.Cur > 64<<20 { // none, or more than a script is worth
		stack.Cur = 64 << 20
	}
	most := pages*uint64(os.Getpagesize()) + mostThreads*stack.Cur + operator.MostMemory
	return syscall.Setrlimit(syscall.RLIMIT_AS, &syscall.Rlimit{Cur: most, Max: most})
}
