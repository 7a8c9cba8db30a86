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

// Main is the body of bramblefall-eval: it limits the process's own memory, evaluates a file and writes an operator.Outcome.
func Main(path string, out io.Writer) error {
	if err := limitMemory(); err != nil {
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

// maxThreads is more than the number of threads that the Go runtime starts with GOMAXPROCS at 2.
const maxThreads = 16

// limitMemory limits the address space of the process. The limit counts from what is mapped now, since the Go runtime reserves
// much at its start, and adds a stack for every thread. (operator.Read disables the C library's own reserve for each thread.)
func limitMemory() error {
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
	if stack.Cur > 64<<20 { // no limit, or more than a script should need
		stack.Cur = 64 << 20
	}
	limitBytes := pages*uint64(os.Getpagesize()) + maxThreads*stack.Cur + operator.MaxMemoryBytes
	return syscall.Setrlimit(syscall.RLIMIT_AS, &syscall.Rlimit{Cur: limitBytes, Max: limitBytes})
}
