package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/discovery"
	"bramblefall/internal/fault"
	"bramblefall/internal/lab"
	"bramblefall/internal/loopback"
	"bramblefall/internal/resp"
	"bramblefall/internal/standin"
	"bramblefall/logic"
)

// ResidentSizes are what one real limiter is brought to.
type ResidentSizes struct {
	ListedServers    []int         // on the list
	ChangesPerSecond []float64     // changes of one server a second, with the longest list
	ActiveFirms      []int         // that ask the program within a minute
	ModuleFirms      []int         // that ask the module by itself
	KnownFirms       []int         // firms that the plan book names
	Repeats          int           // of each size, each with a process of its own
	Settle           time.Duration // from when the list is taken to the figures
}

// FullResident are the target's sizes.
func FullResident() ResidentSizes {
	return ResidentSizes{ListedServers: []int{200, 5_700, 30_000, 57_000}, ChangesPerSecond: []float64{0, 10, 20, 40}, ActiveFirms: []int{1_000, 5_000, 10_000, 20_000},
		ModuleFirms: []int{10_000, 50_000, 100_000, 250_000, 510_000},
		KnownFirms:  []int{1_000, 10_000, 50_000, 100_000}, Repeats: 2, Settle: 3 * time.Second}
}

// QuickResident are small ones, for a test.
func QuickResident() ResidentSizes {
	return ResidentSizes{ListedServers: []int{100, 1_000, 3_000}, ChangesPerSecond: []float64{0, 50, 100}, ActiveFirms: []int{100, 1_000, 3_000}, ModuleFirms: []int{1_000, 3_000, 10_000}, KnownFirms: []int{100, 1_000, 3_000},
		Repeats: 1, Settle: 500 * time.Millisecond}
}

const (
	residentServersPerLine   = 5_000 // entries of the list in a line: a line has a bound
	residentFleetSize        = 5_700
	residentAskedFleetSize   = 5   // limiters by the settings of the one that many firms ask: its part of the servers bears them
	residentAnsweringServers = 500 // servers there
	residentMemoryMB         = 512 // MB, the cap of the limiter
	residentTimeout          = 20 * time.Second
	residentWindow           = 5 * time.Second
	residentHeartbeat        = 2 * time.Second
)

// ResidentParts are the parts of Resident, in their order.
var ResidentParts = []string{"lists", "wholes", "changes", "firms", "module", "known"}

var errListNotTaken = errors.New("the list is not taken")

// Resident measures one real limiter by itself: its memory and processor time with long lists, many firms and a long plan
// book, as the platform counts them (resident pages, all threads' time). refused tells of whole lists that the limiter did
// not take as one line, by their number of servers. binary is its program, with its evaluator beside it.
// Of the parts ResidentParts only those named are measured; none: all.
func Resident(ctx context.Context, binary string, sizes ResidentSizes, parts []string, say func(string, ...any)) (slopes []Slope, refused []int, err error) {
	dir, err := os.MkdirTemp("", "resident")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	r := &residentRun{ctx: ctx, binary: binary, dir: dir, sizes: sizes, say: say}
	steps := map[string]func() error{"lists": r.sweepLists, "wholes": r.sweepWholeLists, "changes": r.sweepChanges, "firms": r.sweepActiveFirms, "module": r.sweepModule, "known": r.sweepKnownFirms}
	for _, name := range parts {
		if steps[name] == nil {
			return nil, nil, fmt.Errorf("no part %q, but %s", name, strings.Join(ResidentParts, ", "))
		}
	}
	for _, name := range ResidentParts {
		if len(parts) > 0 && !slices.Contains(parts, name) {
			continue
		}
		if err := steps[name](); err != nil {
			return r.slopes, r.rejectedLists, err
		}
	}
	return r.slopes, r.rejectedLists, nil
}

// Machine gives cores and memory in MB, for the head of Figures.
func Machine() (cores, memoryMB int) {
	raw, _ := os.ReadFile("/proc/meminfo")
	kb := 0
	_, _ = fmt.Sscanf(string(raw), "MemTotal: %d kB", &kb)
	return runtime.NumCPU(), kb >> 10
}

type residentRun struct {
	ctx             context.Context
	binary          string
	dir             string
	limitersStarted int // limiters started
	sizes           ResidentSizes
	say             func(string, ...any)
	slopes          []Slope
	rejectedLists   []int
}

// points are what was measured at sizes.
type residentPoints struct{ sizes, values []float64 }

func (p *residentPoints) add(size, value float64) {
	p.sizes, p.values = append(p.sizes, size), append(p.values, value)
}

func (r *residentRun) addSlope(p residentPoints, role, what, unit, against, held string) {
	s := Slope{Role: role, What: what, Unit: unit, Against: against, Sizes: p.sizes, Values: p.values, Held: held}
	n := float64(len(p.sizes))
	var mx, my, xy, spread, rest float64
	for k, x := range p.sizes {
		mx, my = mx+x/n, my+p.values[k]/n
	}
	for k, x := range p.sizes {
		xy, spread = xy+(x-mx)*(p.values[k]-my), spread+(x-mx)*(x-mx)
	}
	s.PerUnit = xy / spread
	s.Intercept = my - s.PerUnit*mx
	for k, x := range p.sizes {
		d := p.values[k] - s.Intercept - s.PerUnit*x
		rest += d * d
	}
	if n > 2 {
		s.Error = math.Sqrt(rest / (n - 2) / spread)
	}
	r.slopes = append(r.slopes, s)
	r.say("%s %s against %s: %.4g + %.4g (±%.2g) each, %s", role, what, against, s.Intercept, s.PerUnit, s.Error, held)
}

// start starts a limiter that follows a list.
func (r *residentRun) startLimiter(d *listServer, fleet int, counter, script string) (*standin.Limiter, error) {
	if err := r.ctx.Err(); err != nil {
		return nil, err
	}
	r.limitersStarted++
	dir := filepath.Join(r.dir, strconv.Itoa(r.limitersStarted))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var args []string
	if script != "" {
		file := filepath.Join(dir, "operator.star")
		if err := os.WriteFile(file, []byte(script), 0o600); err != nil {
			return nil, err
		}
		args = []string{"-operator", file}
	}
	listen, err := loopback.AnyPort()
	if err != nil {
		return nil, err
	}
	tiers := []logic.Plan{{Name: "regular", Rate: 3, Burst: 15, Price: 1, OverCost: 0.5}}
	return standin.Start(r.binary, dir, map[string]any{"name": "n", "listen": listen, "seed": "1",
		"limits": map[string]any{"cores": 1.0, "memory_mb": residentMemoryMB, "sockets": 1024}, "settings": lab.Settings(fleet, 0, tiers),
		"counter": counter, "discovery": d.addr}, args...)
}

// window is how long a rate is measured.
func (r *residentRun) measuringTime() time.Duration { return min(residentWindow, 10*r.sizes.Settle) }

// lists brings limiters to lists that come in parts.
func (r *residentRun) sweepLists() error {
	var memory, idle residentPoints
	for range r.sizes.Repeats {
		for _, n := range r.sizes.ListedServers {
			if err := r.withLimiter(n, residentServersPerLine, func(_ *listServer, l *standin.Limiter) error {
				time.Sleep(r.sizes.Settle)
				used, began := l.CPU(), time.Now()
				time.Sleep(r.measuringTime())
				idle.add(float64(n), (l.CPU()-used).Seconds()/time.Since(began).Seconds())
				rss, err := procStatusBytes(l, "VmRSS")
				memory.add(float64(n), rss)
				r.say("%d servers in parts: %.1f MB resident, %.2f%% of a core at rest", n, rss/1e6, 100*idle.values[len(idle.values)-1])
				return err
			}); err != nil {
				return err
			}
		}
	}
	r.addSlope(memory, "limiter", "memory", "bytes", "servers", "alone: the list told in lines of 5,000 entries, no requests, resident after a rest")
	r.addSlope(idle, "limiter", "processor", "seconds/s", "servers", "alone: the same lists, at rest, no changes, no requests")
	return nil
}

// wholes starts limiters to which the whole list is told as one line.
func (r *residentRun) sweepWholeLists() error {
	var processor, bytes, peak residentPoints
	for range r.sizes.Repeats {
		for _, n := range r.sizes.ListedServers {
			var line int
			err := r.withLimiter(n, n, func(d *listServer, l *standin.Limiter) error {
				processor.add(float64(n), l.CPU().Seconds())
				high, err := procStatusBytes(l, "VmHWM")
				peak.add(float64(n), high)
				line = d.longestLine
				return err
			})
			if errors.Is(err, errListNotTaken) {
				r.rejectedLists = append(r.rejectedLists, n)
				r.say("%d servers in one line: %v", n, err)
				continue
			}
			if err != nil {
				return err
			}
			bytes.add(float64(n), float64(line))
			r.say("%d servers in one line of %d bytes: taken, %.3f s of processor time from the start, %.1f MB at the peak", n, line,
				processor.values[len(processor.values)-1], peak.values[len(peak.values)-1]/1e6)
		}
	}
	r.addSlope(bytes, "discovery", "bytes", "bytes", "servers", "alone: a whole list as one line")
	r.addSlope(processor, "limiter", "processor", "seconds", "servers", "start: from the start of the process until a whole list is taken")
	r.addSlope(peak, "limiter", "memory", "bytes", "servers", "start: highest resident figure until a whole list is taken")
	return nil
}

// changes tells changes of one server each, of the longest list.
func (r *residentRun) sweepChanges() error {
	n := r.sizes.ListedServers[len(r.sizes.ListedServers)-1]
	var processor, bytes residentPoints
	for range r.sizes.Repeats {
		if err := r.withLimiter(n, residentServersPerLine, func(d *listServer, l *standin.Limiter) error {
			time.Sleep(r.sizes.Settle)
			for _, rate := range r.sizes.ChangesPerSecond {
				used, sent, began := l.CPU(), d.sentBytes.Load(), time.Now()
				for k := 0; rate > 0 && float64(k) < rate*r.measuringTime().Seconds(); k++ {
					time.Sleep(time.Until(began.Add(time.Duration(float64(k) / rate * float64(time.Second)))))
					d.changeServer(k % n)
				}
				time.Sleep(time.Until(began.Add(r.measuringTime())))
				s := time.Since(began).Seconds()
				processor.add(rate, (l.CPU()-used).Seconds()/s)
				bytes.add(rate, float64(d.sentBytes.Load()-sent)/s)
				r.say("%g changes a second of %d servers: %.2f%% of a core", rate, n, 100*processor.values[len(processor.values)-1])
			}
			return nil
		}); err != nil {
			return err
		}
	}
	held := fmt.Sprintf("alone: %d servers, each change names one, no requests", n)
	r.addSlope(processor, "limiter", "processor", "seconds/s", "changes", held)
	r.addSlope(bytes, "limiter", "bytes", "bytes/s", "changes", held)
	return nil
}

// withList starts a limiter, waits until it has the list and does something with it.
func (r *residentRun) withLimiter(n, part int, do func(*listServer, *standin.Limiter) error) error {
	d, err := newListServer(n, part, "10.0.0.1:6379")
	if err != nil {
		return err
	}
	defer d.close()
	l, err := r.startLimiter(d, residentFleetSize, "127.0.0.1:1", "")
	if err != nil {
		return err
	}
	defer l.Kill()
	if err := d.awaitTaken(r.ctx); err != nil {
		return err
	}
	if err := do(d, l); err != nil {
		return err
	}
	if text := l.Crashed(); text != "" {
		return errors.New(text)
	}
	return nil
}

// firms has many firms ask once within a minute, of a limiter with a few servers that answer.
func (r *residentRun) sweepActiveFirms() error {
	var memory residentPoints
	for _, n := range r.sizes.ActiveFirms {
		if err := r.measureActiveFirms(n, &memory); err != nil {
			return err
		}
	}
	r.addSlope(memory, "limiter", "memory", "bytes", "tenants_active",
		fmt.Sprintf("alone: each firm asks once within a minute through 3 of %d limiters, %d servers that answer, resident right after the last", residentAskedFleetSize, residentAnsweringServers))
	return nil
}

func (r *residentRun) measureActiveFirms(n int, memory *residentPoints) error {
	servers, err := startAnsweringServers()
	if err != nil {
		return err
	}
	defer servers.Close()
	w := standin.NewWorld(fault.Plan{})
	defer w.Close()
	counter, err := w.AddCounter()
	if err != nil {
		return err
	}
	d, err := newListServer(residentAnsweringServers, residentServersPerLine, servers.Addr().String())
	if err != nil {
		return err
	}
	defer d.close()
	l, err := r.startLimiter(d, residentAskedFleetSize, counter.Addr, "")
	if err != nil {
		return err
	}
	defer l.Kill()
	if err := d.awaitTaken(r.ctx); err != nil {
		return err
	}
	began := time.Now()
	served, err := requestFromFirms(l.Addr, n)
	if err != nil {
		return err
	}
	took := time.Since(began)
	rss, err := procStatusBytes(l, "VmRSS")
	if err != nil {
		return err
	}
	r.say("%d firms asked within %.1f s, %d served, the others refused: %.1f MB resident", n, took.Seconds(), served, rss/1e6)
	if took > time.Minute {
		return fmt.Errorf("%d firms took %s: the first are forgotten", n, took)
	}
	if text := l.Crashed(); text != "" {
		return errors.New(text)
	}
	memory.add(float64(n), rss)
	return nil
}

// known has the plan book name firms.
func (r *residentRun) sweepKnownFirms() error {
	var memory residentPoints
	for range r.sizes.Repeats {
		for _, n := range r.sizes.KnownFirms {
			d, err := newListServer(20, residentServersPerLine, "10.0.0.1:6379")
			if err != nil {
				return err
			}
			l, err := r.startLimiter(d, residentFleetSize, "127.0.0.1:1", fmt.Sprintf(`t = tier(name = "regular", rate = 3, burst = 15)
bramblefall(plans = [plan(number = 1, tiers = [t], firms = [firm(firm = "%%x" %% (k + 1), tier = "regular") for k in range(%d)])])
`, n))
			if err == nil {
				time.Sleep(r.sizes.Settle)
				var rss float64
				if rss, err = procStatusBytes(l, "VmRSS"); err == nil {
					memory.add(float64(n), rss)
					r.say("%d firms in the plan book: %.1f MB resident", n, rss/1e6)
				}
				l.Kill()
			}
			d.close()
			if err != nil {
				return err
			}
		}
	}
	r.addSlope(memory, "limiter", "memory", "bytes", "tenants_known", "alone: firms that the plan book's version in force names, from the operators' file, after a rest")
	return nil
}

// residentOf is one of the kernel's figures of a limiter, in bytes.
func procStatusBytes(l *standin.Limiter, field string) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.Cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb * 1024, err
		}
	}
	return 0, fmt.Errorf("the kernel tells no %s", field)
}

// residentList is a discovery for one limiter. Once all is told it ends the watch: the next one says which version the
// limiter has.
type listServer struct {
	addr        string
	listener    net.Listener
	lines       [][]byte // chunks
	longestLine int      // of the lines, in bytes
	entry       func(k int, version int64, state string) discovery.Server
	sentBytes   atomic.Int64
	taken       chan struct{} // closed once the limiter has asked for what comes after the last line
	markTaken   func()
	changes     chan []byte

	mu               sync.Mutex
	version          int64
	wholeListWatches int // watches from the beginning
}

func newListServer(n, part int, addr string) (*listServer, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	has := make(chan struct{})
	d := &listServer{addr: l.Addr().String(), listener: l, taken: has, markTaken: sync.OnceFunc(func() { close(has) }), changes: make(chan []byte, 64)}
	d.entry = func(k int, version int64, state string) discovery.Server {
		return discovery.Server{ID: fmt.Sprintf("s-%08x", k), Addr: addr, Zone: []string{"hall-a", "hall-b"}[k%2], Kind: "std-3core", State: state,
			Weight: 1, StartedMS: version}
	}
	for from := 0; from < n; from += part {
		d.version++
		list := discovery.List{Version: d.version, Full: from == 0}
		for k := from; k < min(from+part, n); k++ {
			list.Servers = append(list.Servers, d.entry(k, 1, "ready"))
		}
		d.lines = append(d.lines, d.chunk(list))
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d, nil
}

func (d *listServer) close() { _ = d.listener.Close() }

func (d *listServer) chunk(l discovery.List) []byte {
	raw, _ := json.Marshal(l)
	d.longestLine = max(d.longestLine, len(raw)+1)
	return fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(raw)+1, raw)
}

// change tells that a server has started anew.
func (d *listServer) changeServer(k int) {
	d.mu.Lock()
	d.version++
	text := d.chunk(discovery.List{Version: d.version, Servers: []discovery.Server{d.entry(k, d.version, "ready")}})
	d.mu.Unlock()
	d.changes <- text
}

// taken waits until the limiter has the whole list.
func (d *listServer) awaitTaken(ctx context.Context) error {
	limit := time.NewTimer(residentTimeout)
	defer limit.Stop()
	for {
		select {
		case <-d.taken:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-limit.C:
			d.mu.Lock()
			defer d.mu.Unlock()
			return fmt.Errorf("%w within %s: a line of %d bytes, asked for %d times", errListNotTaken, residentTimeout, d.longestLine, d.wholeListWatches)
		}
	}
}

func (d *listServer) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	from, _ := strconv.ParseInt(req.FormValue("from"), 10, 64)
	send := func(b []byte) bool {
		n, err := conn.Write(b)
		d.sentBytes.Add(int64(n))
		return err == nil
	}
	if !send([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) {
		return
	}
	if from < int64(len(d.lines)) {
		d.mu.Lock()
		d.wholeListWatches++
		d.mu.Unlock()
		for _, line := range d.lines[from:] {
			if !send(line) {
				return
			}
		}
		if !send([]byte("0\r\n\r\n")) {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(residentTimeout))
		_, _ = conn.Read(make([]byte, 1)) // until the limiter has read it all and leaves
		return
	}
	d.markTaken()
	beat := time.NewTicker(residentHeartbeat)
	defer beat.Stop()
	for {
		text := []byte("1\r\n\n\r\n")
		select {
		case text = <-d.changes:
		case <-beat.C:
		}
		if !send(text) {
			return
		}
	}
}

// residentServers answer each request at once.
func startAnsweringServers() (net.Listener, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				var p resp.Parser
				buf := make([]byte, 4<<10)
				for {
					n, err := conn.Read(buf)
					if err != nil {
						return
					}
					p.Feed(buf[:n])
					for {
						_, ok, bad := p.Command()
						if bad != nil {
							return
						}
						if !ok {
							break
						}
						if _, err := conn.Write(standin.Value("v")); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return l, nil
}

// residentAsk sends one request of each of so many firms and tells how many were served.
func requestFromFirms(addr string, firms int) (served int, err error) {
	const clients, pipelined = 8, 64
	var wg sync.WaitGroup
	var ok atomic.Int64
	all := make(chan error, clients)
	for c := range clients {
		wg.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				all <- err
				return
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			for from := c; from < firms; from += clients * pipelined {
				var out bytes.Buffer
				sent := 0
				for k := from; k < min(firms, from+clients*pipelined); k += clients {
					out.Write(requestCommand(uint64(k + 1)))
					sent++
				}
				if _, err := conn.Write(out.Bytes()); err != nil {
					all <- err
					return
				}
				for range sent {
					line, err := in.ReadString('\n')
					if err == nil && strings.HasPrefix(line, "$") {
						ok.Add(1)
						_, err = in.ReadString('\n')
					} else if err == nil && !strings.HasPrefix(line, "-") {
						err = fmt.Errorf("the limiter answers %q", line)
					}
					if err != nil {
						all <- err
						return
					}
				}
			}
		})
	}
	wg.Wait()
	close(all)
	return int(ok.Load()), <-all
}

func requestCommand(firm uint64) []byte {
	words := []string{"Q.ASK", fmt.Sprintf("%016x", firm), fmt.Sprintf("%016x", firm), "c=balance-read,t=regular,d=1000,units=1,spread=3,first=0"}
	out := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(w), w)
	}
	return out
}
