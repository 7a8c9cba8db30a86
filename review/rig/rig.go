// Package rig starts the limiter with the command of the deploy file and plays the platform around it: servers, the agent of
// discovery, the counter and clients. It is used by the cases of the review alone.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramblefall/internal/loopback"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Object is a JSON object.
type Object = map[string]any

// Case is one run of a case: its record, its temporary folder and the processes that it started.
type Case struct {
	Trouble bool   // whether the disruption takes place
	Dir     string // temporary folder

	began    time.Time
	ending   sync.Mutex // held by the first that ends the case
	mu       sync.Mutex
	record   *os.File
	limiters []*Limiter
}

// Start opens the record (the first argument of the program) and the temporary folder.
func Start() *Case {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "want the path of the record")
		os.Exit(CannotRun)
	}
	record, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, began: time.Now(), record: record}
	c.Note("disruption: %v", c.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { c.Abort(fmt.Errorf("the case was told to end: %v", <-signals)) }()
	time.AfterFunc(110*time.Second, func() { c.Abort(errors.New("the run took too long")) })
	return c
}

// Since is the time since the start of the case.
func (c *Case) Since() time.Duration { return time.Since(c.began) }

// Note writes a line to the record.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.4f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Abort ends a case that could not run.
func (c *Case) Abort(err error) {
	c.Note("the case could not run: %v", err)
	c.exit(CannotRun, "could not run: "+err.Error())
}

// Check aborts the case if there is an error.
func (c *Case) Check(err error) {
	if err != nil {
		c.Abort(err)
	}
}

// Verdict ends the case with what was found; none means that the rule held. If a limiter has not run to the end, the
// case could not run.
func (c *Case) Verdict(breaks []string) {
	for _, l := range c.limiters {
		select {
		case <-l.ended:
			c.Abort(fmt.Errorf("limiter %s ended before the case was over", l.Name))
		default:
		}
	}
	for _, b := range breaks {
		c.Note("BROKEN: %s", b)
	}
	if len(breaks) > 0 {
		c.exit(Broken, fmt.Sprintf("the rule was broken %d times, first: %s", len(breaks), breaks[0]))
	}
	c.Note("the rule held")
	c.exit(Held, "the rule held")
}

func (c *Case) exit(code int, text string) {
	c.ending.Lock()
	for _, l := range c.limiters {
		l.Kill()
		for _, line := range l.Log() {
			c.Note("log of %s: %s", l.Name, line)
		}
	}
	_ = c.record.Close()
	_ = os.RemoveAll(c.Dir)
	fmt.Println(text)
	os.Exit(code)
}

// Settings are the settings of a small deployment, with the names of the simulator's wire: two halls, a class that is safe to
// repeat, one that carries a key and one that must never run twice.
func Settings(limiters, rank int) Object {
	return Object{
		"balancers": limiters, "rank": rank, "zone": 0, "zones": []string{"hall-a", "hall-b"}, "skus": []string{"std-3core"},
		"discovery": "automatic", "resolution": 0.002, "family": "gate",
		"caps": Object{"cancelling": true, "connIdle": 15.0, "connectTimeout": 0.25, "maxAttempts": 6, "maxOpen": 20000,
			"maxRetryAfter": 1.0, "peers": false, "probes": true, "retryAfter": true, "parallelTries": true, "multiplex": 100},
		"extra":   Object{"hasCounter": true, "countLimit": 0.03, "settles": false, "meter": 0.0, "unitsTop": 1},
		"report":  Object{"fields": []string{"backlog", "utilization", "outstanding"}, "how": "pull"},
		"clients": Object{"marksRetry": true},
		"rules": Object{"askWithin": 10.0, "startCapacity": 0.24, "cold": 18.0, "fall": 3.0, "fallMultiple": 3.0,
			"drainGrace": 0.5, "answerSlack": 0.008},
		"classes": []Object{
			{"name": "balance-read", "semantics": "free", "aim": 1.5, "deadline": 4.0, "worth": 2.0, "lateValue": 0.2, "streamed": false},
			{"name": "transfer-post", "semantics": "guarded", "keyScope": "zone", "keyTtl": 12.0, "aim": 1.5, "deadline": 6.0,
				"worth": 5.0, "lateValue": 0.0, "streamed": false},
			{"name": "duty-pay", "semantics": "single_shot", "aim": 1.5, "deadline": 5.0, "worth": 5.0, "lateValue": 0.0, "streamed": false},
		},
		"tariffs": []Object{
			{"name": "regular", "perSecond": 50.0, "depth": 250.0, "concurrency": 0, "worthFactor": 1.1, "extraWorth": 0.0,
				"overCost": 0.5, "hardRate": 0.0, "hardBurst": 0.0, "hardSlack": 0.0},
			{"name": "full", "perSecond": 10.0, "depth": 20.0, "concurrency": 0, "worthFactor": 1.8, "extraWorth": 0.0,
				"overCost": 0.5, "hardRate": 20.0, "hardBurst": 40.0, "hardSlack": 4.0},
		},
	}
}

// Config is the configuration of a limiter in the platform's form.
func Config(name, listen, discovery, counter string, known, settings Object) Object {
	return Object{"name": name, "listen": listen, "discovery": discovery, "counter": counter, "seed": "8c1f30d27a5be964",
		"limits": Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
}

// Limiter is a running process of the project's program.
type Limiter struct {
	Name, Addr string
	cmd        *exec.Cmd
	ended      chan struct{}

	mu  sync.Mutex
	log []string
}

var runCommand = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// FreeAddress returns a loopback address with a port on which nothing listens.
func (c *Case) FreeAddress() string {
	l, err := loopback.Listen()
	c.Check(err)
	defer l.Close()
	return l.Addr().String()
}

// StartLimiter writes a configuration and starts the program with the command "run" of the deploy file and further flags.
func (c *Case) StartLimiter(config Object, flags ...string) *Limiter {
	name := config["name"].(string)
	l := &Limiter{Name: name, Addr: config["listen"].(string), ended: make(chan struct{})}
	path := filepath.Join(c.Dir, name+".json")
	c.WriteJSON(path, config)
	deploy, err := os.ReadFile("deploy/balancer.toml")
	c.Check(err)
	run := runCommand.FindSubmatch(deploy)
	if run == nil {
		c.Abort(errors.New("the deploy file has no line run"))
	}
	temporary, err := os.MkdirTemp(c.Dir, name)
	c.Check(err)
	l.cmd = exec.Command("/bin/sh", "-c", strings.Join(append([]string{string(run[1])}, flags...), " "))
	l.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_NAME="+name, "RELAY_LISTEN="+l.Addr, "TMPDIR="+temporary)
	if at, ok := config["discovery"].(string); ok && at != "" {
		l.cmd.Env = append(l.cmd.Env, "RELAY_DISCOVERY="+at)
	}
	l.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out := &logWriter{limiter: l}
	l.cmd.Stdout, l.cmd.Stderr = out, out
	c.Check(l.cmd.Start())
	c.Note("limiter %s started, process %d, listens at %s", name, l.cmd.Process.Pid, l.Addr)
	go func() {
		_ = l.cmd.Wait()
		c.Note("limiter %s ended: %v", name, l.cmd.ProcessState)
		close(l.ended)
	}()
	c.limiters = append(c.limiters, l)
	return l
}

// WriteJSON writes a file of JSON.
func (c *Case) WriteJSON(path string, v any) {
	raw, err := json.Marshal(v)
	c.Check(err)
	c.Check(os.WriteFile(path, raw, 0o600))
}

// AwaitReady waits until the limiter answers PING with +PONG.
func (c *Case) AwaitReady(l *Limiter) {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", l.Addr, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		buf := make([]byte, 7)
		n, _ := conn.Read(buf)
		_ = conn.Close()
		if string(buf[:n]) == "+PONG\r\n" {
			c.Note("limiter %s is ready", l.Name)
			return
		}
	}
	c.Abort(fmt.Errorf("limiter %s was not ready within 30 s: %s", l.Name, strings.Join(l.Log(), "; ")))
}

// Signal sends a signal to the program that run started.
func (l *Limiter) Signal(s syscall.Signal) error { return l.cmd.Process.Signal(s) }

// Ended is closed once the process has ended.
func (l *Limiter) Ended() <-chan struct{} { return l.ended }

// Kill ends the process and those that it started.
func (l *Limiter) Kill() {
	select {
	case <-l.ended:
		return
	default:
	}
	_ = syscall.Kill(-l.cmd.Process.Pid, syscall.SIGKILL)
	<-l.ended
}

// Log returns the lines that the process has written so far.
func (l *Limiter) Log() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.log...)
}

type logWriter struct {
	limiter *Limiter
	rest    string
}

// Write implements io.Writer.
func (w *logWriter) Write(b []byte) (int, error) {
	w.limiter.mu.Lock()
	defer w.limiter.mu.Unlock()
	lines := strings.Split(w.rest+string(b), "\n")
	w.rest = lines[len(lines)-1]
	w.limiter.log = append(w.limiter.log, lines[:len(lines)-1]...)
	return len(b), nil
}

// ResidentKB is the resident set of the process and the part of it that no file backs, in KB; 0 once it has ended.
func (l *Limiter) ResidentKB() (all, anonymous int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	field := func(name string) int {
		_, text, _ := strings.Cut(string(raw), "\n"+name+":")
		text, _, _ = strings.Cut(text, "kB")
		kb, _ := strconv.Atoi(strings.TrimSpace(text))
		return kb
	}
	return field("VmRSS"), field("RssAnon")
}
