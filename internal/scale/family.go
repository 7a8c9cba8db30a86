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
	startTimeout   = 20 * time.Second
	maxStderrBytes = 64 << 10 // kept of each process
)

// processSet starts the processes of a run and ends all of them, each by its process id. A process that exits on its own
// cancels the run.
type processSet struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	starts    chan func() // run one after the other on the thread that starts all children
	mu        sync.Mutex
	processes []*process
	closed    bool // no more processes may be started
}

type process struct {
	name         string
	cmd          *exec.Cmd
	client       *rpc.Client // nil for a real limiter, which takes no calls of the rig
	pid          int
	exited       chan struct{}
	exitExpected atomic.Bool // set before the rig kills it
	stderr       outputTail
}

// outputTail keeps the most recent output of a process, at most maxStderrBytes.
type outputTail struct {
	mu     sync.Mutex
	text   []byte
	onLine func(line string) // called for each line; nil: nothing is called
}

func (t *outputTail) add(line string) {
	t.mu.Lock()
	t.text = append(t.text, line...)
	if len(t.text) > maxStderrBytes {
		t.text = bytes.Clone(t.text[len(t.text)-maxStderrBytes/2:])
	}
	t.mu.Unlock()
	if t.onLine != nil {
		t.onLine(line)
	}
}

func (t *outputTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

func (t *outputTail) lastLine() string {
	lines := strings.Split(strings.TrimSpace(t.String()), "\n")
	return lines[len(lines)-1]
}

func newProcessSet(ctx context.Context) *processSet {
	set := &processSet{starts: make(chan func())}
	set.ctx, set.cancel = context.WithCancelCause(ctx)
	go func() {
		// Pdeathsig kills a child when the thread that started it exits, not only when the process does. All children are
		// therefore started on this one locked thread, which lives until the set is closed.
		runtime.LockOSThread()
		for start := range set.starts {
			start()
		}
	}()
	return set
}

// start starts a process that the kernel kills when the rig ends, however that ends. The process has a process group of its
// own, so that the terminal's signals reach only the rig.
func (g *processSet) start(name string, cmd *exec.Cmd, onLine func(string)) (*process, error) {
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	p.stderr.onLine = onLine
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, context.Cause(g.ctx)
	}
	done := make(chan error)
	g.starts <- func() { done <- cmd.Start() }
	if err := <-done; err != nil {
		return nil, err
	}
	p.pid = cmd.Process.Pid
	g.processes = append(g.processes, p)
	go func() {
		lines := bufio.NewReader(stderr)
		for {
			line, err := lines.ReadString('\n')
			if line != "" {
				p.stderr.add(line)
			}
			if err != nil {
				break
			}
		}
		err := cmd.Wait()
		if !p.exitExpected.Load() {
			g.cancel(fmt.Errorf("the process %s ended by itself: %v: %.200s", name, err, p.stderr.lastLine()))
		}
		close(p.exited)
	}()
	return p, nil
}

// startChild starts one of the rig's own processes in a role and connects to it by RPC over its standard input and output.
func (g *processSet) startChild(name, role string, command func(role string) *exec.Cmd) (*process, error) {
	cmd := command(role)
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p, err := g.start(name, cmd, nil)
	if err != nil {
		return nil, err
	}
	p.client = rpc.NewClient(stdioPipes{out, in})
	return p, nil
}

// stdioPipes joins a child's standard output and input into one RPC connection.
type stdioPipes struct {
	io.Reader
	io.WriteCloser
}

// call calls a method of a child process and returns early when the run is cancelled.
func (g *processSet) call(p *process, method string, args, out any) error {
	c := p.client.Go(method, args, out, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		if c.Error != nil {
			select { // the exit of the process, where it is noticed shortly after, explains more than the failed call
			case <-g.ctx.Done():
				return context.Cause(g.ctx)
			case <-time.After(100 * time.Millisecond):
			}
			return fmt.Errorf("%s, %s: %w", p.name, method, c.Error)
		}
		return nil
	case <-g.ctx.Done():
		return context.Cause(g.ctx)
	}
}

// sleep waits for d, or until the run is cancelled.
func (g *processSet) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-g.ctx.Done():
		return context.Cause(g.ctx)
	}
}

// kill kills one process and waits until it has exited.
func (g *processSet) kill(p *process) {
	p.exitExpected.Store(true)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// close kills all processes, waits until they have exited and cancels the run.
func (g *processSet) close() {
	g.mu.Lock()
	g.closed = true
	list := g.processes
	g.mu.Unlock()
	for _, p := range list {
		p.exitExpected.Store(true)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range list {
		<-p.exited
	}
	g.cancel(context.Canceled)
	close(g.starts)
}

// limiter is a process that runs the real program.
type limiter struct {
	*process
	addr, socket string // where it serves requests, and the path of its admin socket
}

// startLimiter writes a limiter's configuration and operator script into dir, starts the real program and waits until its log
// says that it serves.
func (g *processSet) startLimiter(binary, dir, name string, config map[string]any, script string) (*limiter, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	configPath, scriptPath := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.star")
	if err := os.WriteFile(configPath, raw, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(scriptPath, []byte(script), 0o600); err != nil {
		return nil, err
	}
	serving := make(chan string, 1)
	p, err := g.start(name, exec.Command(binary, "-config", configPath, "-operator", scriptPath), func(line string) {
		if _, addr, ok := strings.Cut(line, "msg=serving name="); ok {
			if _, addr, ok = strings.Cut(addr, "listen="); ok {
				serving <- strings.TrimSpace(addr)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	select {
	case addr := <-serving:
		return &limiter{p, addr, filepath.Join(dir, "admin.sock")}, nil
	case <-g.ctx.Done():
		return nil, context.Cause(g.ctx)
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("%s is not serving after %s; its last line: %.200s", name, startTimeout, p.stderr.lastLine())
	}
}

// indexedName names the k-th of several processes of the same kind.
func indexedName(prefix string, k int) string { return prefix + "-" + strconv.Itoa(k) }
