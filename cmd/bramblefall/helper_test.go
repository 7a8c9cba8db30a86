package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/loopback"
	"bramblefall/internal/resp"
)

// The tests of this package start the real program as a process and talk to it as clients, servers, discovery and
// the counter would. This file has the helpers that they share.

// testTimeout bounds every wait of a test. A test that waits this long has failed; no result depends on a shorter wait.
const testTimeout = 20 * time.Second

// clientGoneGrace is how long after a client closes its connection an attempt for it may still begin.
const clientGoneGrace = 100 * time.Millisecond

var binary string

func TestMain(m *testing.M) {
	if os.Getenv(filterEnv) != "" {
		panic(execFiltered())
	}
	dir, err := os.MkdirTemp("", "bramblefall")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bramblefall")
	build, err := deployBuild("../..", dir+"/", ". ../bramblefall-eval") // as deployed, so that the program's own memory is, too
	if err != nil {
		panic(err)
	}
	out, err := exec.Command("sh", "-c", build).CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// trackSources makes go test's result cache depend on the sources of the program, which TestMain builds with a command that
// go test does not track. The cache records every file that a test examines, so this examines the sources.
var trackSources = sync.OnceFunc(func() {
	for _, sources := range []string{"../../go.*", "../../logic/*.go", "../../internal/*/*.go", "*.go"} {
		files, _ := filepath.Glob(sources)
		for _, f := range files {
			_, _ = os.Stat(f)
		}
	}
})

type object = map[string]any

// settings returns the settings of a small deployment: two classes, one plan with a large quota and one with a ceiling.
func settings() object {
	return object{
		"balancers": 1, "rank": 0, "zone": 0, "zones": []string{"hall-a", "hall-b"}, "skus": []string{"std-3core"},
		"discovery": "automatic", "resolution": 0.002,
		"caps": object{"cancelling": true, "connIdle": 15.0, "connectTimeout": 0.25, "maxAttempts": 6, "maxOpen": 20000,
			"maxRetryAfter": 1.0, "peers": false, "probes": true, "retryAfter": true},
		"extra":  object{"hasCounter": true, "countLimit": 0.03, "settles": false, "meter": 0.0, "unitsTop": 1},
		"report": object{"fields": []string{"backlog", "utilization", "outstanding"}, "how": "pull"},
		"rules": object{"askWithin": 10.0, "startCapacity": 0.24, "cold": 18.0, "fall": 3.0, "fallMultiple": 3.0,
			"drainGrace": 0.5},
		"classes": []object{
			{"name": "balance-read", "semantics": "free", "aim": 1.5, "deadline": 4.0, "worth": 2.0, "lateValue": 0.2,
				"streamed": false},
			{"name": "transfer-post", "semantics": "guarded", "keyScope": "zone", "keyTtl": 12.0, "aim": 1.5,
				"deadline": 6.0, "worth": 5.0, "lateValue": 0.0, "streamed": false}},
		"tariffs": []object{plan("regular", 1000, 4000, 0), plan("full", 0.01, 60, 40)},
	}
}

// plan returns a plan with a rate, a burst and the burst of its ceiling (0: no ceiling). A ceiling refills at 0.01 units per
// second, as slowly as the rate of the plan that has one.
func plan(name string, rate, burst, ceiling float64) object {
	return object{"name": name, "perSecond": rate, "depth": burst, "concurrency": 0, "worthFactor": 1.0,
		"extraWorth": 0.0, "overCost": 0.5, "hardRate": min(ceiling, 0.01), "hardBurst": ceiling, "hardSlack": ceiling / 4}
}

// limiter is a running process of the program.
type limiter struct {
	t        *testing.T
	cmd      *exec.Cmd
	path     string // of its configuration file
	addr     string // where it serves RESP2
	grpcAddr string
	exited   chan struct{}
	log      lockedLog
}

type lockedLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *lockedLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}

// fixture is the environment of a limiter under test: its settings and limits, its servers, a counter and discovery.
type fixture struct {
	settings         object
	servers          []*server
	counter          *quotaCounter
	registry         *registry
	rateLimitFile    string // path of the -ratelimit file; "": none
	operatorFile     string // path of the -operator file; "": none
	memoryMB         int    // memory cap; 0: 192
	maxDescriptors   int    // limit on descriptors in the configuration; 0: 128
	enforceRlimit    bool   // the kernel enforces maxDescriptors, too (ulimit -n)
	cores            float64
	filteredSyscalls []uint32         // system calls that syscallErrors is asked about; nil: usualSyscalls
	syscallErrors    syscallErrorFunc // decides which system calls of the process fail; nil: none
	clock            *wallClock       // nil: the machine's clock
}

// config returns the content of the limiter's configuration file.
func (f fixture) config(t *testing.T) object {
	cfg := object{"name": "n0", "listen": limiterAddress(t), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": cmp.Or(f.cores, 1.0), "memory_mb": cmp.Or(f.memoryMB, 192), "sockets": cmp.Or(f.maxDescriptors, 128)}, "settings": f.settings,
		"known": object{"version": 1, "full": true, "servers": serverEntries(f.servers)}}
	if f.counter != nil {
		cfg["counter"] = f.counter.addr
	}
	if f.registry != nil {
		cfg["discovery"] = f.registry.addr
	}
	return cfg
}

func writeJSON(t *testing.T, path string, v any) string {
	raw, err := json.Marshal(v)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	return path
}

// start runs a limiter in a fixture and waits until it serves. The process is killed at the end of the test if it still runs.
func start(t *testing.T, f fixture) *limiter {
	t.Helper()
	trackSources()
	if f.settings == nil {
		f.settings = settings()
	}
	path := writeJSON(t, filepath.Join(t.TempDir(), "config.json"), f.config(t))
	args := []string{"-config", path}
	if f.rateLimitFile != "" {
		args = append(args, "-ratelimit", f.rateLimitFile)
	}
	if f.operatorFile != "" {
		args = append(args, "-operator", f.operatorFile)
	}
	l := &limiter{t: t, path: path, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	if f.enforceRlimit {
		l.cmd = exec.Command("sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, fmt.Sprint(cmp.Or(f.maxDescriptors, 128)), binary}, args...)...)
	}
	if f.registry != nil { // as on the platform, where the environment keeps the first address of discovery
		l.cmd.Env = append(os.Environ(), "RELAY_DISCOVERY="+f.registry.addr)
	}
	if f.clock != nil {
		l.cmd.Env = append(f.clock.environment(), "RELAY_DISCOVERY=")
		if f.registry != nil {
			l.cmd.Env = append(f.clock.environment(), "RELAY_DISCOVERY="+f.registry.addr)
		}
	}
	if f.syscallErrors != nil {
		filterSyscalls(t, l.cmd, f.filteredSyscalls, f.syscallErrors)
	}
	out, err := l.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, l.cmd.Start())
	serving := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			line := lines.Text()
			l.log.add(line)
			if _, at, ok := strings.Cut(line, `msg="serving rate limit calls" listen=`); ok {
				l.grpcAddr = at
			}
			if _, at, ok := strings.Cut(line, "msg=serving name=n0 listen="); ok {
				l.addr = at
				close(serving)
			}
		}
		_ = l.cmd.Wait()
		close(l.exited)
	}()
	t.Cleanup(func() {
		_ = l.cmd.Process.Kill()
		<-l.exited
		require.NotContains(t, l.log.String(), "panic")
		require.NotContains(t, l.log.String(), "DATA RACE") // reported when the tests run with GOFLAGS=-race
	})
	await(t, serving, "the limiter to log that it serves")
	return l
}

// reload replaces the configuration file, sends SIGHUP and waits until the limiter logs message once more.
func (l *limiter) reload(raw []byte, message string) {
	l.t.Helper()
	before := strings.Count(l.log.String(), message)
	require.NoError(l.t, os.WriteFile(l.path, raw, 0o600))
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(l.t, func() bool { return strings.Count(l.log.String(), message) > before }, testTimeout, time.Millisecond)
}

// holdRequest returns a client connection with one request that s has received and not answered.
func (l *limiter) holdRequest(s *server) *client {
	l.t.Helper()
	c := l.dial()
	c.write(encodeCommand(doArgs("01")...))
	require.Eventually(l.t, func() bool { return len(s.received()) == 1 }, testTimeout, time.Millisecond)
	return c
}

// waitForCleanExit waits for the process to exit by itself, with code 0.
func (l *limiter) waitForCleanExit() {
	l.t.Helper()
	await(l.t, l.exited, "the process to exit")
	require.Zero(l.t, l.cmd.ProcessState.ExitCode())
}

func (l *limiter) terminate() { require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGTERM)) }

func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		require.Fail(t, fmt.Sprintf("timed out after %v waiting for %s", testTimeout, what))
	}
	return v
}

// client is a client connection to a limiter.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (l *limiter) dial() *client {
	conn, err := net.Dial("tcp", l.addr)
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(l.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &client{l.t, conn, bufio.NewReader(conn)}
}

func encodeCommand(args ...string) string {
	var raw [][]byte
	for _, a := range args {
		raw = append(raw, []byte(a))
	}
	return string(resp.AppendCommand(nil, raw...))
}

func (c *client) write(text string) {
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

// readReply reads one reply and returns its line, or the value of a bulk string.
func (c *client) readReply() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	require.NoError(c.t, err)
	line = strings.TrimSuffix(line, "\r\n")
	if size, ok := strings.CutPrefix(line, "$"); ok {
		n, err := strconv.Atoi(size)
		require.NoError(c.t, err)
		value := make([]byte, n+2)
		_, err = io.ReadFull(c.in, value)
		require.NoError(c.t, err)
		return string(value[:n])
	}
	return line
}

func (c *client) do(args ...string) string {
	c.t.Helper()
	c.write(encodeCommand(args...))
	return c.readReply()
}

// expectClosed waits for the limiter to close the connection, and fails if anything else is read.
func (c *client) expectClosed() {
	c.t.Helper()
	_, err := c.in.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

const firm = "00000000b4d65521"

func askArgs(id string) []string {
	return []string{"Q.ASK", firm, id, "c=balance-read,t=regular,d=4000,units=1,spread=1,first=0"}
}

func doArgs(id string) []string {
	return []string{"Q.DO", firm, id, "c=transfer-post,t=regular,d=6000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0", "BODY"}
}

// server is a stand-in for an exchange node: handle answers each command on its connection.
type server struct {
	id, zone, state string
	addr            string
	handle          func(conn net.Conn, args []string)

	mu           sync.Mutex
	commands     [][]string
	connCount    int
	disconnected chan struct{} // receives once for each connection that has ended, while there is room
}

func replyValue(text string) func(net.Conn, []string) {
	return func(conn net.Conn, _ []string) {
		_, _ = fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(text), text)
	}
}

func replyRaw(text string) func(net.Conn, []string) {
	return func(conn net.Conn, _ []string) { _, _ = io.WriteString(conn, text) }
}

const notedDisconnects = 1000 // ends of a server's connections that a test can await

func newServer(t *testing.T, id, zone string, handle func(net.Conn, []string)) *server {
	s := &server{id: id, zone: zone, state: "ready", handle: handle, disconnected: make(chan struct{}, notedDisconnects)}
	s.addr = serveConns(t, func(conn net.Conn) {
		s.mu.Lock()
		s.connCount++
		s.mu.Unlock()
		defer s.noteDisconnected()
		var p resp.Parser
		buf := make([]byte, 128<<10)
		for {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			p.Feed(buf[:n])
			for raw, ok, err := p.Command(); ok && err == nil; raw, ok, err = p.Command() {
				args := make([]string, len(raw))
				for k := range raw {
					args[k] = string(raw[k])
				}
				s.mu.Lock()
				s.commands = append(s.commands, args)
				s.mu.Unlock()
				s.handle(conn, args)
			}
		}
	})
	return s
}

// noteDisconnected does not block: a connection whose end nobody awaits is closed nevertheless.
func (s *server) noteDisconnected() {
	select {
	case s.disconnected <- struct{}{}:
	default:
	}
}

func (s *server) received() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]string(nil), s.commands...)
}

func (s *server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connCount
}

// reservedAddress returns an address to listen on that no other process on the machine is given, even after its listener has
// closed.
func reservedAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.AnyPort()
	require.NoError(t, err)
	return address
}

// limiterAddresses maps each test to the address of its limiter, so that a reloaded configuration names the same address.
var limiterAddresses sync.Map

func limiterAddress(t *testing.T) string {
	t.Helper()
	if address, ok := limiterAddresses.Load(t); ok {
		return address.(string)
	}
	address := reservedAddress(t)
	limiterAddresses.Store(t, address)
	t.Cleanup(func() { limiterAddresses.Delete(t) })
	return address
}

// procNetTCPAddress returns an address in the form that /proc/net/tcp has.
func procNetTCPAddress(addr string) string {
	at := netip.MustParseAddrPort(addr)
	ip := at.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port())
}

// serveConns accepts connections on a free loopback port until the test ends, runs handle for each in its own goroutine and
// closes the connection after it. It returns the address.
func serveConns(t *testing.T, handle func(net.Conn)) string {
	l, err := loopback.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return l.Addr().String()
}

func serverEntries(servers []*server) []object {
	list := []object{}
	for _, s := range servers {
		list = append(list, object{"id": s.id, "addr": s.addr, "zone": s.zone, "kind": "std-3core", "cell": 0,
			"state": s.state, "weight": 1.0, "started_ms": 0})
	}
	return list
}

// quotaCounter is a stand-in for the quota counter.
type quotaCounter struct {
	addr         string
	silent       bool          // reads calls and never answers
	reply        string        // sent instead of the total, if not empty
	replyDelay   time.Duration // before each reply
	corruptReply string        // sent raw as the first reply; its connection gets no replies after it
	closeConns   bool          // closes each connection at its next line

	mu         sync.Mutex
	totals     map[string]float64
	received   int // calls, answered or not
	calls      int
	conns      int
	staleCalls int // calls on a connection after its corrupt reply
}

func newCounter(t *testing.T) *quotaCounter {
	c := &quotaCounter{totals: map[string]float64{}}
	c.addr = serveConns(t, func(conn net.Conn) {
		c.mu.Lock()
		c.conns++
		c.mu.Unlock()
		lines := bufio.NewScanner(conn)
		for corrupted := false; lines.Scan(); {
			c.mu.Lock()
			corruptReply, delay, closing := c.corruptReply, c.replyDelay, c.closeConns
			if c.corruptReply = ""; corrupted && lines.Text() != "ping" {
				c.staleCalls++
			}
			if lines.Text() != "ping" {
				c.received++
			}
			c.mu.Unlock()
			if closing {
				return
			}
			if corruptReply != "" {
				corrupted = true
				_, _ = io.WriteString(conn, corruptReply)
			}
			if corrupted {
				continue
			}
			time.Sleep(delay)
			if text := c.handleCall(strings.Fields(lines.Text())); text != "" {
				_, _ = io.WriteString(conn, text+"\r\n")
			}
		}
	})
	return c
}

func (c *quotaCounter) handleCall(fields []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(fields) == 1 && fields[0] == "ping" {
		return "pong"
	}
	c.calls++
	if c.silent || c.reply != "" {
		return c.reply
	}
	if len(fields) != 4 || fields[0] != "add" {
		return "error"
	}
	amount, err := strconv.ParseFloat(fields[2], 64)
	if err != nil {
		return "error"
	}
	c.totals[fields[1]] += amount
	return "ok " + strconv.FormatFloat(c.totals[fields[1]], 'f', -1, 64)
}

// receivedCalls returns how many calls were received, answered or not.
func (c *quotaCounter) receivedCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// callsAndConns returns how many calls were received and how many connections were accepted.
func (c *quotaCounter) callsAndConns() (calls, conns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.conns
}

func (c *quotaCounter) staleCallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.staleCalls
}

// registry is a stand-in for discovery: a watch gets the lines whose version is later than the one that it names, and then
// every new line. A line without a version (0) goes only to the watches that are open when it is sent.
type registry struct {
	addr string

	mu       sync.Mutex
	lines    []string
	versions []int
}

func newRegistry(t *testing.T) *registry {
	r := &registry{}
	listener, err := loopback.Listen()
	require.NoError(t, err)
	h := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		from, _ := strconv.Atoi(q.FormValue("from"))
		w.(http.Flusher).Flush()
		r.mu.Lock()
		opened := len(r.lines)
		r.mu.Unlock()
		for next := 0; q.Context().Err() == nil; time.Sleep(time.Millisecond) {
			r.mu.Lock()
			for ; next < len(r.lines); next++ {
				if r.versions[next] > from || r.versions[next] == 0 && next >= opened {
					_, _ = io.WriteString(w, r.lines[next]+"\n")
				}
			}
			r.mu.Unlock()
			w.(http.Flusher).Flush()
		}
	}))
	require.NoError(t, h.Listener.Close())
	h.Listener = listener
	h.Start()
	t.Cleanup(h.CloseClientConnections)
	r.addr = strings.TrimPrefix(h.URL, "http://")
	return r
}

func (r *registry) sendLine(version int, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines, r.versions = append(r.lines, line), append(r.versions, version)
}

func (r *registry) sendList(version int, full bool, servers ...*server) {
	raw, _ := json.Marshal(object{"version": version, "full": full, "servers": serverEntries(servers)})
	r.sendLine(version, string(raw))
}

func marshalList(t *testing.T, list object) string {
	raw, err := json.Marshal(list)
	require.NoError(t, err)
	return string(raw)
}
