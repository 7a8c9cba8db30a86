package evaluate

import (
	"encoding/json"
	"errors"
	"io"
	"os"
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

// bound sets the limit on addresses: the Go runtime reserves many at its start, so it is told from there.
func bound() error {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return err
	}
	first, _, _ := strings.Cut(string(raw), " ")
	pages, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return err
	}
	most := pages*uint64(os.Getpagesize()) + operator.MostMemory
	return syscall.Setrlimit(syscall.RLIMIT_AS, &syscall.Rlimit{Cur: most, Max: most})
}
