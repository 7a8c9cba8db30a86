package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/rpc"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Peer serves the calls that every child process answers, besides those of its role.
type Peer struct{}

// Nothing is the argument or result of a call that needs none.
type Nothing struct{ _ struct{} }

// FreeMemory collects garbage and returns unused memory to the system, so that resident sizes can be compared.
func (Peer) FreeMemory(_ int, _ *int) error {
	debug.FreeOSMemory()
	return nil
}

// Roles of child processes.
const (
	hollowRole    = "hollow"
	discoveryRole = "discovery"
	counterRole   = "counter"
	serversRole   = "servers"
	loadRole      = "load"
	operatorsRole = "operators"
)

// stdio joins a child's standard input and output into one RPC connection.
type stdio struct {
	io.Reader
	io.Writer
}

func (stdio) Close() error { return nil }

// Child serves one role over in and out to the process that started it. It returns when in ends, so that a child does not
// outlive its parent.
func Child(ctx context.Context, role string, in io.Reader, out io.Writer) error {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // thousands of limiters would each log their connections
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var service any
	switch role {
	case hollowRole:
		service = newHollow(ctx)
	case discoveryRole:
		service = &Discovery{ctx: ctx}
	case counterRole:
		service = &Counter{}
	case serversRole:
		service = &Servers{}
	case loadRole:
		service = &Load{}
	case operatorsRole:
		service = &Operators{}
	default:
		return fmt.Errorf("unknown role %q", role)
	}
	s := rpc.NewServer()
	if err := errors.Join(s.RegisterName("Peer", Peer{}), s.RegisterName("Role", service)); err != nil {
		return err
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.ServeConn(stdio{in, out})
	}()
	select {
	case <-served:
	case <-ctx.Done():
	}
	return nil
}

// Traffic counts messages and bytes in both directions, and what they were. All count from the start of the process, except
// ConnsOpen, which is the number of connections that are open now.
type Traffic struct{ Messages, Bytes, WholeLists, Changes, Heartbeats, ConnsOpened, ConnsOpen int64 }

// minus is the traffic since o; ConnsOpen stays the number now.
func (t Traffic) minus(o Traffic) Traffic {
	return Traffic{t.Messages - o.Messages, t.Bytes - o.Bytes, t.WholeLists - o.WholeLists, t.Changes - o.Changes, t.Heartbeats - o.Heartbeats, t.ConnsOpened - o.ConnsOpened, t.ConnsOpen}
}

func (t Traffic) plus(o Traffic) Traffic {
	return Traffic{t.Messages + o.Messages, t.Bytes + o.Bytes, t.WholeLists + o.WholeLists, t.Changes + o.Changes, t.Heartbeats + o.Heartbeats, t.ConnsOpened + o.ConnsOpened, t.ConnsOpen + o.ConnsOpen}
}

// GroupTraffic is the traffic by groups of limiters: the hollow ones together, and each real one by itself.
type GroupTraffic struct {
	Hollow Traffic
	Real   []Traffic
}

func (s GroupTraffic) realTotal() (sum Traffic) {
	for _, t := range s.Real {
		sum = sum.plus(t)
	}
	return sum
}

func (s GroupTraffic) total() Traffic { return s.Hollow.plus(s.realTotal()) }

func (s GroupTraffic) minus(o GroupTraffic) GroupTraffic {
	out := GroupTraffic{Hollow: s.Hollow.minus(o.Hollow)}
	for k := range s.Real {
		out.Real = append(out.Real, s.Real[k].minus(o.Real[k]))
	}
	return out
}

// groupMeters counts a GroupTraffic: index 0 is the hollow limiters, index k the k-th real one, counted from 1.
type groupMeters []meter

func (m groupMeters) read() (s GroupTraffic) {
	for k := range m {
		if k == 0 {
			s.Hollow = m[k].read()
		} else {
			s.Real = append(s.Real, m[k].read())
		}
	}
	return s
}

// meter counts a Traffic, from several goroutines.
type meter struct{ messages, bytes, wholeLists, changes, heartbeats, connsOpened, connsOpen atomic.Int64 }

func (m *meter) read() Traffic {
	return Traffic{m.messages.Load(), m.bytes.Load(), m.wholeLists.Load(), m.changes.Load(), m.heartbeats.Load(), m.connsOpened.Load(), m.connsOpen.Load()}
}

// now reads the monotonic clock, which all processes of the machine share and which never jumps.
func now() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return time.Duration(t.Nano())
}

// processorTime is the processor time that all threads of a process have used so far; 0 if the process has exited.
func processorTime(pid int) (sum time.Duration) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
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

// residentBytes is the memory of a process that is resident and not shared; 0 if the process has exited.
func residentBytes(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var totalPages, residentPages, sharedPages int64
	_, _ = fmt.Sscan(string(raw), &totalPages, &residentPages, &sharedPages)
	return float64((residentPages - sharedPages) * int64(os.Getpagesize())) // shared pages are the program's text, which processes have in common
}

// meminfoBytes is a figure of /proc/meminfo, in bytes.
func meminfoBytes(name string) (int64, error) {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/meminfo has no %s", name)
}

// firstError keeps the first error of several goroutines.
type firstError struct {
	mu  sync.Mutex
	err error
}

func (o *firstError) set(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
	}
}
