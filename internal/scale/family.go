package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	startLimit = 20 * time.Second
	mostSaid   = 64 << 10 // bytes kept of what a process writes to standard error
)

// family starts processes and ends them all, by their ids. One that ends by itself ends the run.
type family struct {
	ctx  context.Context
	fail context.CancelCauseFunc

	starts chan func()
	mu     sync.Mutex
	list   []*process
	over   bool
}

type process struct {
	name  string
	cmd   *exec.Cmd
	calls *rpc.Client // nil: a real limiter
	pid   int
	ended chan struct{}
	meant atomic.Bool // that it ends
	said  said
}

// said keeps the last that a process wrote.
type said struct {
	mu   sync.Mutex
	text []byte
	look func(line string)
}

func (s *said) add(line string) {
	s.mu.Lock()
	s.text = append(s.text, line...)
	if len(s.text) > mostSaid {
		s.text = bytes.Clone(s.text[len(s.text)-mostSaid/2:])
	}
	s.mu.Unlock()
	if s.look != nil {
		s.look(line)
	}
}

func (s *said) all() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.text)
}

func (s *said) last() string {
	lines := strings.Split(strings.TrimSpace(s.all()), "\n")
	return lines[len(lines)-1]
}

func newFamily(ctx context.Context) *family {
	f := &family{starts: make(chan func())}
	f.ctx, f.fail = context.WithCancelCause(ctx)
	go func() {
		// The kernel ends a child when the thread ends that started it, so all are started by one that stays.
		runtime.LockOSThread()
		for start := range f.starts {
			start()
		}
	}()
	return f
}

// start starts a process that ends with the rig however that ends, and apart from its terminal's signals.
func (f *family) start(name string, cmd *exec.Cmd, look func(string)) (*process, error) {
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	p.said.look = look
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	text, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over {
		return nil, context.Cause(f.ctx)
	}
	done := make(chan error)
	f.starts <- func() { done <- cmd.Start() }
	if err := <-done; err != nil {
		return nil, err
	}
	p.pid = cmd.Process.Pid
	f.list = append(f.list, p)
	go func() {
		lines := bufio.NewReader(text)
		for {
			line, err := lines.ReadString('\n')
			if line != "" {
				p.said.add(line)
			}
			if err != nil {
				break
			}
		}
		err := cmd.Wait()
		if !p.meant.Load() {
			f.fail(fmt.Errorf("the process %s ended by itself: %v: %.200s", name, err, p.said.last()))
		}
		close(p.ended)
	}()
	return p, nil
}

// child starts a process of the rig's own in a role.
func (f *family) child(name, role string, command func(role string) *exec.Cmd) (*process, error) {
	cmd := command(role)
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p, err := f.start(name, cmd, nil)
	if err != nil {
		return nil, err
	}
	p.calls = rpc.NewClient(pipes{out, in})
	return p, nil
}

type pipes struct {
	io.Reader
	io.WriteCloser
}

// call makes a call of a child, and gives up when the run ends.
func (f *family) call(p *process, method string, args, out any) error {
	c := p.calls.Go(method, args, out, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		if c.Error != nil {
			select { // the end of a process says more than the call that it ended
			case <-f.ctx.Done():
				return context.Cause(f.ctx)
			case <-time.After(100 * time.Millisecond):
			}
			return fmt.Errorf("%s, %s: %w", p.name, method, c.Error)
		}
		return nil
	case <-f.ctx.Done():
		return context.Cause(f.ctx)
	}
}

// wait waits unless the run ends.
func (f *family) wait(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-f.ctx.Done():
		return context.Cause(f.ctx)
	}
}

// kill ends one process and waits for its end.
func (f *family) kill(p *process) {
	p.meant.Store(true)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// close ends all.
func (f *family) close() {
	f.mu.Lock()
	f.over = true
	list := f.list
	f.mu.Unlock()
	for _, p := range list {
		p.meant.Store(true)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range list {
		<-p.ended
	}
	f.fail(context.Canceled)
	close(f.starts)
}

// limiter is a real one.
type limiter struct {
	*process
	addr, socket string
}

// limiter starts the real program and waits until it serves.
func (f *family) limiter(binary, dir, name string, config map[string]any, script string) (*limiter, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path, file := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.star")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, []byte(script), 0o600); err != nil {
		return nil, err
	}
	up := make(chan string, 1)
	p, err := f.start(name, exec.Command(binary, "-config", path, "-operator", file), func(line string) {
		if _, at, ok := strings.Cut(line, "msg=serving name="); ok {
			if _, at, ok = strings.Cut(at, "listen="); ok {
				up <- strings.TrimSpace(at)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	select {
	case at := <-up:
		return &limiter{p, at, filepath.Join(dir, "admin.sock")}, nil
	case <-f.ctx.Done():
		return nil, context.Cause(f.ctx)
	case <-time.After(startLimit):
		return nil, fmt.Errorf("%s does not serve within %s: %.200s", name, startLimit, p.said.last())
	}
}

func name(what string, k int) string { return what + "-" + strconv.Itoa(k) }
