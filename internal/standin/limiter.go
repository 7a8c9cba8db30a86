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

// Limiter is the real program, started.
type Limiter struct {
	Addr, GRPCAddr string
	Path           string // of its configuration
	Cmd            *exec.Cmd
	Ended          chan struct{} // closed when it has

	mu  sync.Mutex
	log []string
}

// Start runs the program with a configuration, written into dir, and waits until it serves.
func Start(binary, dir string, config any, args ...string) (*Limiter, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	l := &Limiter{Path: filepath.Join(dir, "config.json"), Ended: make(chan struct{})}
	if err := os.WriteFile(l.Path, raw, 0o600); err != nil {
		return nil, err
	}
	l.Cmd = exec.Command(binary, append([]string{"-config", l.Path}, args...)...)
	out, err := l.Cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := l.Cmd.Start(); err != nil {
		return nil, err
	}
	up := make(chan struct{})
	go func() {
		defer close(l.Ended)
		lines := bufio.NewReaderSize(out, 64<<10)
		for {
			line, err := lines.ReadString('\n')
			l.add(strings.TrimSuffix(line, "\n"), up)
			if err != nil {
				break
			}
		}
		_ = l.Cmd.Wait()
	}()
	select {
	case <-up:
		return l, nil
	case <-l.Ended:
	case <-time.After(patience):
		_ = l.Cmd.Process.Kill()
	}
	return nil, fmt.Errorf("the limiter does not serve: %s", l.Log())
}

func (l *Limiter) add(line string, up chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log = append(l.log, line)
	if _, at, ok := strings.Cut(line, `msg="serving rate limit calls" listen=`); ok {
		l.GRPCAddr = at
	}
	if _, at, ok := strings.Cut(line, "msg=serving "); ok {
		if _, at, ok = strings.Cut(at, "listen="); ok {
			l.Addr = at
			close(up)
		}
	}
}

// Log is what it has written to standard error.
func (l *Limiter) Log() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.log, "\n")
}

// Crashed is the first sign of a crash or a data race in its log; "" if there is none.
func (l *Limiter) Crashed() string {
	log := l.Log()
	for _, sign := range []string{"DATA RACE", "msg=panic", "panic:", "fatal error:", "unexpected signal"} {
		if at := strings.Index(log, sign); at >= 0 {
			return log[at:min(len(log), at+4000)]
		}
	}
	return ""
}

// Descriptors is how many it holds.
func (l *Limiter) Descriptors() (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.Cmd.Process.Pid))
	return len(list), err
}

// Goroutines ends it with a dump of its goroutines and counts them.
func (l *Limiter) Goroutines() (int, error) {
	if err := l.Signal(syscall.SIGQUIT); err != nil {
		return 0, err
	}
	select {
	case <-l.Ended:
	case <-time.After(patience):
		return 0, errors.New("no dump of the goroutines")
	}
	return strings.Count("\n"+l.Log(), "\ngoroutine "), nil
}

// Signal sends it a signal.
func (l *Limiter) Signal(s syscall.Signal) error { return l.Cmd.Process.Signal(s) }

// Kill ends it at once and waits for the end.
func (l *Limiter) Kill() {
	_ = l.Cmd.Process.Kill()
	<-l.Ended
}

// CPU is the processor time that it has used, user and system.
func (l *Limiter) CPU() (sum time.Duration) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", l.Cmd.Process.Pid))
	for _, path := range threads {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue // it has just ended
		}
		first, _, _ := strings.Cut(string(raw), " ")
		n, _ := strconv.ParseInt(first, 10, 64)
		sum += time.Duration(n)
	}
	return sum
}
