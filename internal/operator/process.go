package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Limits of the process that evaluates a script.
const (
	MaxMemoryBytes    = 256 << 20 // of address space, beyond what the process has mapped at its start
	evaluationTimeout = 10 * time.Second
	maxSourceBytes    = 4 << 20
	maxResultBytes    = 64 << 20
)

// EvaluatorName is the file name of the program that evaluates a file. It is installed in the limiter's directory.
const EvaluatorName = "bramblefall-eval"

// Outcome is what the evaluating process writes to its standard output, as JSON.
type Outcome struct {
	File   *File    `json:"file,omitempty"`
	Errors []string `json:"errors,omitempty"`
}

// Read evaluates and checks a file in a process of its own, within limits of time, memory and output.
func Read(path string) (File, error) {
	name := filepath.Base(path)
	self, err := os.Executable()
	if err != nil {
		return File{}, err
	}
	evaluator := filepath.Join(filepath.Dir(self), EvaluatorName)
	if _, err := os.Stat(evaluator); err != nil {
		return File{}, fmt.Errorf("reading an operators' file needs the program %s in the same directory as %s: %w", EvaluatorName, filepath.Base(self), err)
	}
	if info, err := os.Stat(path); err != nil {
		return File{}, err
	} else if info.Size() > maxSourceBytes {
		return File{}, Errors{fmt.Sprintf("%s: file has %d bytes, more than the limit of %d", name, info.Size(), maxSourceBytes)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), evaluationTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, evaluator, path)
	// The C library reserves 64 MB of address space for each thread that allocates; four threads would use up the 256 MB limit.
	cmd.Env = append(os.Environ(), "MALLOC_ARENA_MAX=1")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &limitedWriter{&stdout, maxResultBytes}, &limitedWriter{&stderr, 64 << 10}
	err = cmd.Run()
	var result Outcome
	switch {
	case ctx.Err() != nil:
		return File{}, Errors{fmt.Sprintf("%s: evaluation takes longer than the limit of %s", name, evaluationTimeout)}
	case strings.Contains(stderr.String(), "out of memory") || strings.Contains(stderr.String(), "cannot allocate memory"):
		return File{}, Errors{fmt.Sprintf("%s: evaluation takes more than the limit of %d MB of memory", name, MaxMemoryBytes>>20)}
	case err != nil:
		first, _, _ := strings.Cut(stderr.String(), "\n")
		return File{}, Errors{fmt.Sprintf("%s: evaluation failed: %v: %s", name, err, first)}
	}
	if err := json.Unmarshal(stdout.Bytes(), &result); err != nil || result.File == nil && len(result.Errors) == 0 {
		return File{}, Errors{fmt.Sprintf("%s: evaluation wrote no result that can be decoded: %v", name, err)}
	}
	if len(result.Errors) > 0 {
		return File{}, Errors(result.Errors)
	}
	return *result.File, nil
}

// limitedWriter buffers output and fails the write that exceeds the remaining bytes.
type limitedWriter struct {
	to        *bytes.Buffer
	remaining int
}

func (l *limitedWriter) Write(b []byte) (int, error) {
	if l.remaining -= len(b); l.remaining < 0 {
		return 0, io.ErrShortWrite
	}
	return l.to.Write(b)
}
