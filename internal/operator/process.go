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

// Bounds of the process that evaluates a script.
const (
	MostMemory = 256 << 20 // bytes beyond what the process has at its start
	mostTime   = 10 * time.Second
	mostSource = 4 << 20
	mostResult = 64 << 20
)

// Program is the name of the program that evaluates a file. It stands beside the limiter's.
const Program = "bramblefall-eval"

// Outcome is what the process writes.
type Outcome struct {
	File   *File    `json:"file,omitempty"`
	Errors []string `json:"errors,omitempty"`
}

// Read evaluates a file in a process of its own.
func Read(path string) (File, error) {
	name := filepath.Base(path)
	self, err := os.Executable()
	if err != nil {
		return File{}, err
	}
	program := filepath.Join(filepath.Dir(self), Program)
	if _, err := os.Stat(program); err != nil {
		return File{}, fmt.Errorf("an operators' file needs %s beside %s: %w", Program, filepath.Base(self), err)
	}
	if info, err := os.Stat(path); err != nil {
		return File{}, err
	} else if info.Size() > mostSource {
		return File{}, Errors{fmt.Sprintf("%s: over %d bytes", name, mostSource)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), mostTime)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, path)
	// The C library keeps 64 MB of addresses for each thread that allocates: of four threads nothing would be left.
	cmd.Env = append(os.Environ(), "MALLOC_ARENA_MAX=1")
	var out, said bytes.Buffer
	cmd.Stdout, cmd.Stderr = &limited{&out, mostResult}, &limited{&said, 64 << 10}
	err = cmd.Run()
	var result Outcome
	switch {
	case ctx.Err() != nil:
		return File{}, Errors{fmt.Sprintf("%s: takes longer than %s", name, mostTime)}
	case strings.Contains(said.String(), "out of memory") || strings.Contains(said.String(), "cannot allocate memory"):
		return File{}, Errors{fmt.Sprintf("%s: takes more than %d MB of memory", name, MostMemory>>20)}
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
