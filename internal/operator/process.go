package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds of the process that evaluates a script.
const (
	mostMemory = 256 << 20 // bytes beyond what the process has at its start
	mostTime   = 10 * time.Second
	mostSource = 4 << 20
	mostResult = 64 << 20
)

// Command is the hidden sub-command that Read starts, with the file's path behind it.
const Command = "evaluate-file"

// outcome is what the process writes.
type outcome struct {
	File   *File    `json:"file,omitempty"`
	Errors []string `json:"errors,omitempty"`
}

// Read evaluates a file in a process of its own, which is program's sub-command Command.
func Read(program, path string) (File, error) {
	name := filepath.Base(path)
	if info, err := os.Stat(path); err != nil {
		return File{}, err
	} else if info.Size() > mostSource {
		return File{}, Errors{fmt.Sprintf("%s: over %d bytes", name, mostSource)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), mostTime)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, Command, path)
	var out, said bytes.Buffer
	cmd.Stdout, cmd.Stderr = &limited{&out, mostResult}, &limited{&said, 64 << 10}
	err := cmd.Run()
	var result outcome
	switch {
	case ctx.Err() != nil:
		return File{}, Errors{fmt.Sprintf("%s: takes longer than %s", name, mostTime)}
	case strings.Contains(said.String(), "out of memory") || strings.Contains(said.String(), "cannot allocate memory"):
		return File{}, Errors{fmt.Sprintf("%s: takes more than %d MB of memory", name, mostMemory>>20)}
	case err != nil:
		first, _, _ := strings.Cut(said.String(), "\n")
		return File{}, Errors{fmt.Sprintf("%s: its evaluation ended: %v: %s", name, err, first)}
	}
	if err := json.Unmarshal(out.Bytes(), &result); err != nil || result.File == nil && len(result.Errors) == 0 {
		return File{}, Errors{fmt.Sprintf("%s: its evaluation gave nothing that can be read: %v", name, err)}
	}
	if len(result.Errors) > 0 {
		return File{}, Errors(result.Errors)
	}
	return *result.File, nil
}

type limited struct {
	to   *bytes.Buffer
	left int
}

func (l *limited) Write(b []byte) (int, error) {
	if l.left -= len(b); l.left < 0 {
		return 0, io.ErrShortWrite
	}
	return l.to.Write(b)
}

// Main is what the process of Read does: it bounds its own memory, evaluates and writes the outcome.
func Main(path string, out io.Writer) error {
	if err := bound(); err != nil {
		return err
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, err := Evaluate(path, source)
	o := outcome{File: &file}
	if err != nil {
		o = outcome{Errors: []string{err.Error()}}
		var all Errors
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
	most := pages*uint64(os.Getpagesize()) + mostMemory
	return syscall.Setrlimit(syscall.RLIMIT_AS, &syscall.Rlimit{Cur: most, Max: most})
}
