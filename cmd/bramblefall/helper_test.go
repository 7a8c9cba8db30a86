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

const patience = 20 * time.Second // a test that waits so long has failed; no verdict depends on less

// goneAfter is when a client that has closed its connection has gone: no attempt for it begins later.
const goneAfter = 100 * time.Millisecond

var binary string

func TestMain(m *testing.M) {
	if os.Getenv(filterVariable) != "" {
		panic(becomeFiltered())
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
var look = sync.OnceFunc(func() {
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
	ended    chan struct{}
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
type world struct {
	settings object
	servers  []*server
	counter  *quotaCounter
	registry *registry
	second   string // the rate limit file; "": none
	operator string // the operators' file; "": none
	memory   int    // the cap in MB; 0: 192
	sockets  int    // 0: 128
	limited  bool   // the kernel holds the process to its sockets, too
	cores    float64
	fails    failing    // system calls of the process that fail; nil: none
	clock    *wallClock // nil: the machine's
}

// config is the file that tells a limiter of its world.
func (w world) config(t *testing.T) object {
	cfg := object{"name": "n0", "listen": limiterAddress(t), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": cmp.Or(w.cores, 1.0), "memory_mb": cmp.Or(w.memory, 192), "sockets": cmp.Or(w.sockets, 128)}, "settings": w.settings,
		"known": object{"version": 1, "full": true, "servers": entries(w.servers)}}
	if w.counter != nil {
		cfg["counter"] = w.counter.addr
	}
	if w.registry != nil {
		cfg["discovery"] = w.registry.addr
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
func start(t *testing.T, w world) *limiter {
	t.Helper()
	look()
	if w.settings == nil {
		w.settings = settings()
	}
	path := writeJSON(t, filepath.Join(t.TempDir(), "config.json"), w.config(t))
	args := []string{"-config", path}
	if w.second != "" {
		args = append(args, "-ratelimit", w.second)
	}
	if w.operator != "" {
		args = append(args, "-operator", w.operator)
	}
	l := &limiter{t: t, path: path, cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	if w.limited {
		l.cmd = exec.Command("sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, fmt.Sprint(cmp.Or(w.sockets, 128)), binary}, args...)...)
	}
	if w.registry != nil { // as on the platform, where the environment keeps the first address
		l.cmd.Env = append(os.Environ(), "RELAY_DISCOVERY="+w.registry.addr)
	}
	if w.clock != nil {
		l.cmd.Env = append(w.clock.environment(), "RELAY_DISCOVERY=")
		if w.registry != nil {
			l.cmd.Env = append(w.clock.environment(), "RELAY_DISCOVERY="+w.registry.addr)
		}
	}
	if w.fails != nil {
		filter(t, l.cmd, w.fails)
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
		close(l.ended)
	}()
	t.Cleanup(func() {
		_ = l.cmd.Process.Kill()
		<-l.ended
		require.NotContains(t, l.log.String(), "panic")
		require.NotContains(t, l.log.String(), "DATA RACE") // where the tests are run with GOFLAGS=-race
	})
	await(t, up, "the limiter to serve")
	return l
}

// reload replaces the configuration and waits for the limiter to say what it made of it.
func (l *limiter) reload(raw []byte, word string) {
	l.t.Helper()
	before := strings.Count(l.log.String(), word)
	require.NoError(l.t, os.WriteFile(l.path, raw, 0o600))
	require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(l.t, func() bool { return strings.Count(l.log.String(), word) > before }, patience, time.Millisecond)
}

// holding gives a client connection whose one request a server has got and not answered.
func (l *limiter) holding(s *server) *client {
	l.t.Helper()
	c := l.dial()
	c.write(command(post("01")...))
	require.Eventually(l.t, func() bool { return len(s.seen()) == 1 }, patience, time.Millisecond)
	return c
}

// leaves waits for the program to end by itself, with code 0.
func (l *limiter) leaves() {
	l.t.Helper()
	await(l.t, l.ended, "the program's end")
	require.Zero(l.t, l.cmd.ProcessState.ExitCode())
}

func (l *limiter) terminate() { require.NoError(l.t, l.cmd.Process.Signal(syscall.SIGTERM)) }

func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
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
	require.NoError(l.t, conn.SetDeadline(time.Now().Add(patience)))
	return &client{l.t, conn, bufio.NewReader(conn)}
}

func command(args ...string) string {
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
func (c *client) answer() string {
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
	c.write(command(args...))
	return c.answer()
}

// ended waits for the limiter to close the connection.
func (c *client) ended() {
	c.t.Helper()
	_, err := c.in.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

const firm = "00000000b4d65521"

func ask(id string) []string {
	return []string{"Q.ASK", firm, id, "c=balance-read,t=regular,d=4000,units=1,spread=1,first=0"}
}

func post(id string) []string {
	return []string{"Q.DO", firm, id, "c=transfer-post,t=regular,d=6000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0", "BODY"}
}

// server is a stand-in for an exchange node: handle answers each command on its connection.
type server struct {
	id, zone, state string
	addr            string
	handle          func(conn net.Conn, args []string)

	mu       sync.Mutex
	commands [][]string
	conns    int
	left     chan struct{} // a connection has ended
}

func value(text string) func(net.Conn, []string) {
	return func(conn net.Conn, _ []string) {
		_, _ = fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(text), text)
	}
}

func says(text string) func(net.Conn, []string) {
	return func(conn net.Conn, _ []string) { _, _ = io.WriteString(conn, text) }
}

func newServer(t *testing.T, id, zone string, handle func(net.Conn, []string)) *server {
	s := &server{id: id, zone: zone, state: "ready", handle: handle, left: make(chan struct{}, 1000)}
	s.addr = acceptOn(t, func(conn net.Conn) {
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		defer func() { s.left <- struct{}{} }()
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

func (s *server) seen() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]string(nil), s.commands...)
}

func (s *server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// anyPort is an address to listen on that nobody else on the machine is given, also once its listener has closed.
func anyPort(t *testing.T) string {
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
	address := anyPort(t)
	limiterAddresses.Store(t, address)
	t.Cleanup(func() { limiterAddresses.Delete(t) })
	return address
}

// inSocketTable is an address as /proc/net/tcp words it.
func inSocketTable(addr string) string {
	at := netip.MustParseAddrPort(addr)
	ip := at.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port())
}

// acceptOn accepts connections on a free loopback port until the test ends.
func acceptOn(t *testing.T, handle func(net.Conn)) string {
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

func entries(servers []*server) []object {
	list := []object{}
	for _, s := range servers {
		list = append(list, object{"id": s.id, "addr": s.addr, "zone": s.zone, "kind": "std-3core", "cell": 0,
			"state": s.state, "weight": 1.0, "started_ms": 0})
	}
	return list
}

// counter is a stand-in for the quota counter. A silent one reads calls and never answers.
type quotaCounter struct {
	addr   string
	silent bool
	reply  string        // instead of the total, if not empty
	late   time.Duration // of each answer
	spoil  string        // the first answer, raw; its connection is of no further use
	gone   bool          // its connections end

	mu    sync.Mutex
	names map[string]float64
	calls int
	conns int
	lost  int // calls on a connection of no further use
}

func newCounter(t *testing.T) *quotaCounter {
	c := &quotaCounter{names: map[string]float64{}}
	c.addr = acceptOn(t, func(conn net.Conn) {
		c.mu.Lock()
		c.conns++
		c.mu.Unlock()
		lines := bufio.NewScanner(conn)
		for useless := false; lines.Scan(); {
			c.mu.Lock()
			spoil, late, gone := c.spoil, c.late, c.gone
			if c.spoil = ""; useless && lines.Text() != "ping" {
				c.lost++
			}
			c.mu.Unlock()
			if gone {
				return
			}
			if spoil != "" {
				useless = true
				_, _ = io.WriteString(conn, spoil)
			}
			if useless {
				continue
			}
			time.Sleep(late)
			if text := c.call(strings.Fields(lines.Text())); text != "" {
				_, _ = io.WriteString(conn, text+"\r\n")
			}
		}
	})
	return c
}

func (c *quotaCounter) call(words []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(words) == 1 && words[0] == "ping" {
		return "pong"
	}
	c.calls++
	if c.silent || c.reply != "" {
		return c.reply
	}
	if len(words) != 4 || words[0] != "add" {
		return "error"
	}
	amount, err := strconv.ParseFloat(words[2], 64)
	if err != nil {
		return "error"
	}
	c.names[words[1]] += amount
	return "ok " + strconv.FormatFloat(c.names[words[1]], 'f', -1, 64)
}

// made is how many calls were made, over how many connections.
func (c *quotaCounter) made() (calls, conns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.conns
}

func (c *quotaCounter) wasted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
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

func (r *registry) say(version int, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines, r.versions = append(r.lines, line), append(r.versions, version)
}

func (r *registry) tell(version int, full bool, servers ...*server) {
	raw, _ := json.Marshal(object{"version": version, "full": full, "servers": entries(servers)})
	r.say(version, string(raw))
}

func listLine(t *testing.T, list object) string {
	raw, err := json.Marshal(list)
	require.NoError(t, err)
	return string(raw)
}
