package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limiter is a running process of the real program.
type Limiter struct {
	Addr, GRPCAddr string
	Path           string // of the configuration file
	Cmd            *exec.Cmd
	Ended          chan struct{} // closed when the process has ended

	mu  sync.Mutex
	log []string
}

// Start writes the configuration into dir, starts the program with it and waits until the program serves.
func Start(binary, dir string, config any, args ...string) (*Limiter, error) {
	return StartWithEnv(binary, dir, nil, config, args...)
}

// StartWithEnv is Start with another environment than that of this process; nil: the same.
func StartWithEnv(binary, dir string, env []string, config any, args ...string) (*Limiter, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	l := &Limiter{Path: filepath.Join(dir, "config.json"), Ended: make(chan struct{})}
	if err := os.WriteFile(l.Path, raw, 0o600); err != nil {
		return nil, err
	}
	l.Cmd = exec.Command(binary, append([]string{"-config", l.Path}, args...)...)
	l.Cmd.Env = env
	out, err := l.Cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := l.Cmd.Start(); err != nil {
		return nil, err
	}
	ready := make(chan struct{})
	go func() {
		defer close(l.Ended)
		lines := bufio.NewReaderSize(out, 64<<10)
		for {
			line, err := lines.ReadString('\n')
			l.appendLog(strings.TrimSuffix(line, "\n"), ready)
			if err != nil {
				break
			}
		}
		_ = l.Cmd.Wait()
	}()
	select {
	case <-ready:
		return l, nil
	case <-l.Ended:
	case <-time.After(waitTimeout):
		_ = l.Cmd.Process.Kill()
	}
	return nil, fmt.Errorf("the limiter did not start to serve: %s", l.Log())
}

func (l *Limiter) appendLog(line string, ready chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log = append(l.log, line)
	if _, at, ok := strings.Cut(line, `msg="serving rate limit calls" listen=`); ok {
		l.GRPCAddr = at
	}
	if _, at, ok := strings.Cut(line, "msg=serving "); ok {
		if _, at, ok = strings.Cut(at, "listen="); ok {
			l.Addr = at
			close(ready)
		}
	}
}

// Log returns what the process has written to standard error so far.
func (l *Limiter) Log() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.log, "\n")
}

// CrashLog returns the log from the first sign of a crash or a data race on, at most 4000 bytes; "" if there is none.
func (l *Limiter) CrashLog() string {
	log := l.Log()
	for _, sign := range []string{"DATA RACE", "msg=panic", "panic:", "fatal error:", "unexpected signal"} {
		if at := strings.Index(log, sign); at >= 0 {
			return log[at:min(len(log), at+4000)]
		}
	}
	return ""
}

// PeakMemoryKB returns the largest resident set that the process has had, in KB; 0 once it has ended.
func (l *Limiter) PeakMemoryKB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(raw), "VmHWM:")
	text, _, _ = strings.Cut(text, "kB")
	kb, _ := strconv.Atoi(strings.TrimSpace(text))
	return kb
}

// OpenFiles returns the number of file descriptors that the process has open.
func (l *Limiter) OpenFiles() (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.Cmd.Process.Pid))
	return len(list), err
}

// Goroutines ends the process with a dump of its goroutines and returns their number.
func (l *Limiter) Goroutines() (int, error) {
	if err := l.Signal(syscall.SIGQUIT); err != nil {
		return 0, err
	}
	select {
	case <-l.Ended:
	case <-time.After(waitTimeout):
		return 0, errors.New("the limiter did not end after SIGQUIT, so there is no goroutine dump")
	}
	return strings.Count("\n"+l.Log(), "\ngoroutine "), nil
}

// Signal sends a signal to the process.
func (l *Limiter) Signal(s syscall.Signal) error { return l.Cmd.Process.Signal(s) }

// Kill kills the process and waits until it has ended.
func (l *Limiter) Kill() {
	_ = l.Cmd.Process.Kill()
	<-l.Ended
}

// CPU returns the processor time that the process has used, user and system, over all threads that still exist.
func (l *Limiter) CPU() (sum time.Duration) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", l.Cmd.Process.Pid))
	for _, path := range threads {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has just ended
		}
		first, _, _ := strings.Cut(string(raw), " ")
		n, _ := strconv.ParseInt(first, 10, 64)
		sum += time.Duration(n)
	}
	return sum
}
