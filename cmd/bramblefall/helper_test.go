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

// The tests of this folder start the real program as a process and talk to it as clients, servers, discovery and
// the counter would. This file is their one helper.

const testTimeout = 20 * time.Second // a test that waits so long has failed; no verdict depends on less

// goneAfter is when a client that has closed its connection has gone: no attempt for it begins later.
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
	out, err := exec.Command("go", "build", "-o", dir+"/", ".", "../bramblefall-eval").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// look guards against a verdict of go test's cache that is older than the program, which is built out of its sight:
// what a test has looked at counts there, so the tests look at the sources.
var trackSources = sync.OnceFunc(func() {
	for _, sources := range []string{"../../go.*", "../../logic/*.go", "../../internal/*/*.go", "*.go"} {
		files, _ := filepath.Glob(sources)
		for _, f := range files {
			_, _ = os.Stat(f)
		}
	}
})

type object = map[string]any

// settings are those of a small deployment: two classes, one plan with a large quota and one with a ceiling.
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

// plan has a rate, a burst and a ceiling's store (0: none) that fills as slowly as the rate.
func plan(name string, rate, burst, ceiling float64) object {
	return object{"name": name, "perSecond": rate, "depth": burst, "concurrency": 0, "worthFactor": 1.0,
		"extraWorth": 0.0, "overCost": 0.5, "hardRate": min(ceiling, 0.01), "hardBurst": ceiling, "hardSlack": ceiling / 4}
}

// limiter is the program, started.
type limiter struct {
	t        *testing.T
	cmd      *exec.Cmd
	path     string // of its configuration
	addr     string // of the RESP2 front
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

// world is what a limiter meets: settings, servers by id, a counter and discovery.
type fixture struct {
	settings       object
	servers        []*server
	counter        *quotaCounter
	registry       *registry
	rateLimitFile  string // the rate limit file; "": none
	operatorFile   string // the operators' file; "": none
	memoryMB       int    // the cap in MB; 0: 192
	maxDescriptors int    // 0: 128
	enforceRlimit  bool   // the kernel holds the process to its sockets, too
	cores          float64
	syscallErrors  syscallErrorFunc // system calls of the process that fail; nil: none
	clock          *wallClock       // nil: the machine's
}

// config is the file that tells a limiter of its world.
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

// start runs a limiter in a world. It is killed at the test's end unless it has ended before.
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
	if f.registry != nil { // as on the platform, where the environment keeps the first address
		l.cmd.Env = append(os.Environ(), "RELAY_DISCOVERY="+f.registry.addr)
	}
	if f.clock != nil {
		l.cmd.Env = append(f.clock.environment(), "RELAY_DISCOVERY=")
		if f.registry != nil {
			l.cmd.Env = append(f.clock.environment(), "RELAY_DISCOVERY="+f.registry.addr)
		}
	}
	if f.syscallErrors != nil {
		filterSyscalls(t, l.cmd, f.syscallErrors)
	}
	out, err := l.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, l.cmd.Start())
	up := make(chan struct{})
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
				close(up)
			}
		}
		_ = l.cmd.Wait()
		close(l.exited)
	}()
	t.Cleanup(func() {
		_ = l.cmd.Process.Kill()
		<-l.exited
		require.NotContains(t, l.log.String(), "panic")
		require.NotContains(t, l.log.String(), "DATA RACE") // where the tests are run with GOFLAGS=-race
	})
	await(t, up, "the limiter to serve")
	return l
}

// reload replaces the configuration and waits for the limiter to say what it made of it.
func (l *limiter) reload(raw []byte, message string) {
	l.t.Helper()
	before := strings.Count(l.log.String(), message)
	require.NoError(l.t, os.WriteFile(l.path, raw, 0o600))
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(l.t, func() bool { return strings.Count(l.log.String(), message) > before }, testTimeout, time.Millisecond)
}

// holding gives a client connection whose one request a server has got and not answered.
func (l *limiter) holdRequest(s *server) *client {
	l.t.Helper()
	c := l.dial()
	c.write(encodeCommand(doArgs("01")...))
	require.Eventually(l.t, func() bool { return len(s.received()) == 1 }, testTimeout, time.Millisecond)
	return c
}

// leaves waits for the program to end by itself, with code 0.
func (l *limiter) waitForCleanExit() {
	l.t.Helper()
	await(l.t, l.exited, "the program's end")
	require.Zero(l.t, l.cmd.ProcessState.ExitCode())
}

func (l *limiter) terminate() { require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGTERM)) }

func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		require.Fail(t, "waited in vain for "+what)
	}
	return v
}

// client is a client connection.
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

// answer reads one answer: its line, or a bulk string's value.
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

// ended waits for the limiter to close the connection.
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
	reply           func(conn net.Conn, args []string)

	mu           sync.Mutex
	commands     [][]string
	connCount    int
	disconnected chan struct{} // a connection has ended
}

func replyValue(text string) func(net.Conn, []string) {
	return func(conn net.Conn, _ []string) {
		_, _ = fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(text), text)
	}
}

func replyRaw(text string) func(net.Conn, []string) {
	return func(conn net.Conn, _ []string) { _, _ = io.WriteString(conn, text) }
}

func newServer(t *testing.T, id, zone string, handle func(net.Conn, []string)) *server {
	s := &server{id: id, zone: zone, state: "ready", reply: handle, disconnected: make(chan struct{}, 1000)}
	s.addr = serveConns(t, func(conn net.Conn) {
		s.mu.Lock()
		s.connCount++
		s.mu.Unlock()
		defer func() { s.disconnected <- struct{}{} }()
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
				s.reply(conn, args)
			}
		}
	})
	return s
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

// anyPort is an address to listen on that nobody else on the machine is given, also once its listener has closed.
func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.AnyPort()
	require.NoError(t, err)
	return address
}

// limiterAddresses has the address of each test's limiter: a configuration that is read again names the same as before.
var limiterAddresses sync.Map

func limiterAddress(t *testing.T) string {
	t.Helper()
	if address, ok := limiterAddresses.Load(t); ok {
		return address.(string)
	}
	address := reserveAddress(t)
	limiterAddresses.Store(t, address)
	t.Cleanup(func() { limiterAddresses.Delete(t) })
	return address
}

// inSocketTable is an address as /proc/net/tcp words it.
func procNetTCPAddress(addr string) string {
	at := netip.MustParseAddrPort(addr)
	ip := at.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port())
}

// acceptOn accepts connections on a free loopback port until the test ends.
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

// counter is a stand-in for the quota counter. A silent one reads calls and never answers.
type quotaCounter struct {
	addr         string
	silent       bool
	reply        string        // instead of the total, if not empty
	replyDelay   time.Duration // of each answer
	corruptReply string        // the first answer, raw; its connection is of no further use
	closeConns   bool          // its connections end

	mu         sync.Mutex
	totals     map[string]float64
	calls      int
	conns      int
	staleCalls int // calls on a connection of no further use
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
			spoil, late, gone := c.corruptReply, c.replyDelay, c.closeConns
			if c.corruptReply = ""; corrupted && lines.Text() != "ping" {
				c.staleCalls++
			}
			c.mu.Unlock()
			if gone {
				return
			}
			if spoil != "" {
				corrupted = true
				_, _ = io.WriteString(conn, spoil)
			}
			if corrupted {
				continue
			}
			time.Sleep(late)
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

// made is how many calls were made, over how many connections.
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

// registry is a stand-in for discovery: a watch gets the lines of later versions than it names, and then all new
// ones. Lines without a version go to the watches that are open.
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
