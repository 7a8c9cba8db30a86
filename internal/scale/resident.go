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

// ResidentSizes are the sizes at which one real limiter is measured by itself.
type ResidentSizes struct {
	ListedServers    []int         // on discovery's list
	ChangesPerSecond []float64     // each of one server, on the longest list
	ActiveFirms      []int         // that each send the program a request within a minute
	ModuleFirms      []int         // that each send the decision module a request, without the program around it
	KnownFirms       []int         // that the plan book names
	Repeats          int           // measurements of each size, each with a new process
	Settle           time.Duration // wait between the limiter having the list and the measurement
}

// FullResidentSizes returns the target's sizes.
func FullResidentSizes() ResidentSizes {
	return ResidentSizes{ListedServers: []int{200, 5_700, 30_000, 57_000}, ChangesPerSecond: []float64{0, 10, 20, 40}, ActiveFirms: []int{1_000, 5_000, 10_000, 20_000},
		ModuleFirms: []int{10_000, 50_000, 100_000, 250_000, 510_000},
		KnownFirms:  []int{1_000, 10_000, 50_000, 100_000}, Repeats: 2, Settle: 3 * time.Second}
}

// QuickResidentSizes returns small sizes for a trial.
func QuickResidentSizes() ResidentSizes {
	return ResidentSizes{ListedServers: []int{100, 1_000, 3_000}, ChangesPerSecond: []float64{0, 50, 100}, ActiveFirms: []int{100, 1_000, 3_000}, ModuleFirms: []int{1_000, 3_000, 10_000}, KnownFirms: []int{100, 1_000, 3_000},
		Repeats: 1, Settle: 500 * time.Millisecond}
}

const (
	residentServersPerLine   = 5_000            // limiters accept lines up to a certain length only
	residentFleetSize        = 5_700            // limiters in the settings
	residentAskedFleetSize   = 5                // the same for active firms: a limiter's share of the servers must be able to serve them
	residentAnsweringServers = 500              // on the list for active firms
	residentMemoryMB         = 512              // limit in the limiter's configuration
	residentTimeout          = 20 * time.Second // for the limiter to take in the whole list
	residentWindow           = 5 * time.Second  // longest time over which a rate is measured
	residentHeartbeat        = 2 * time.Second
)

// ResidentParts are the names of the measurements of Resident, in the order in which they are made.
var ResidentParts = []string{"lists", "wholes", "changes", "firms", "module", "known"}

var errListNotTaken = errors.New("the limiter has not taken in the list")

// Resident measures the memory and processor time of one real limiter by itself, with long lists, many firms and a long plan
// book, as the platform counts them (resident pages, time of all threads). binary is the limiter's program, with its evaluator
// beside it. parts names the measurements to make, of ResidentParts; none: all. refused holds the numbers of servers whose
// whole list the limiter did not take in as one line.
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
			return nil, nil, fmt.Errorf("no part %q: want one of %s", name, strings.Join(ResidentParts, ", "))
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

// MachineSize returns the machine's cores and memory in MB, for the fields of Figures.
func MachineSize() (cores, memoryMB int) {
	raw, _ := os.ReadFile("/proc/meminfo")
	kb := 0
	_, _ = fmt.Sscanf(string(raw), "MemTotal: %d kB", &kb)
	return runtime.NumCPU(), kb >> 10
}

// residentRun is the state of Resident.
type residentRun struct {
	ctx             context.Context
	binary          string
	dir             string
	limitersStarted int // numbers the limiters' directories
	sizes           ResidentSizes
	say             func(string, ...any)
	slopes          []Slope
	rejectedLists   []int // numbers of servers, see Resident
}

// residentPoints are the values measured at sizes.
type residentPoints struct{ sizes, values []float64 }

func (p *residentPoints) add(size, value float64) {
	p.sizes, p.values = append(p.sizes, size), append(p.values, value)
}

// addSlope fits a line through the points by least squares and adds it to the slopes. With two points or fewer its error is 0.
func (r *residentRun) addSlope(p residentPoints, role, quantity, unit, against, held string) {
	s := Slope{Role: role, Quantity: quantity, Unit: unit, Against: against, Sizes: p.sizes, Values: p.values, HeldConstant: held}
	n := float64(len(p.sizes))
	var meanSize, meanValue, products, squaredDeviations, squaredResiduals float64
	for k, x := range p.sizes {
		meanSize, meanValue = meanSize+x/n, meanValue+p.values[k]/n
	}
	for k, x := range p.sizes {
		products, squaredDeviations = products+(x-meanSize)*(p.values[k]-meanValue), squaredDeviations+(x-meanSize)*(x-meanSize)
	}
	s.PerUnit = products / squaredDeviations
	s.Intercept = meanValue - s.PerUnit*meanSize
	for k, x := range p.sizes {
		d := p.values[k] - s.Intercept - s.PerUnit*x
		squaredResiduals += d * d
	}
	if n > 2 {
		s.Error = math.Sqrt(squaredResiduals / (n - 2) / squaredDeviations)
	}
	r.slopes = append(r.slopes, s)
	r.say("%s %s against %s: %.4g + %.4g (±%.2g) each, %s", role, quantity, against, s.Intercept, s.PerUnit, s.Error, held)
}

// startLimiter starts a limiter that follows a list, with the given number of limiters in its settings and an operators' script
// ("": none).
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
		"limits": map[string]any{"cores": 1.0, "memory_mb": residentMemoryMB, "sockets": 1024}, "settings": lab.LimiterSettings(fleet, 0, tiers),
		"counter": counter, "discovery": d.addr}, args...)
}

// measuringTime is the time over which a rate is measured.
func (r *residentRun) measuringTime() time.Duration { return min(residentWindow, 10*r.sizes.Settle) }

// sweepLists measures limiters at rest against the servers of lists that are sent in several lines.
func (r *residentRun) sweepLists() error {
	var memory, processor residentPoints
	for range r.sizes.Repeats {
		for _, n := range r.sizes.ListedServers {
			if err := r.withLimiter(n, residentServersPerLine, func(_ *listServer, l *standin.Limiter) error {
				time.Sleep(r.sizes.Settle)
				processorBefore, began := l.CPU(), time.Now()
				time.Sleep(r.measuringTime())
				processor.add(float64(n), (l.CPU()-processorBefore).Seconds()/time.Since(began).Seconds())
				rss, err := procStatusBytes(l, "VmRSS")
				memory.add(float64(n), rss)
				r.say("list of %d servers in several lines: %.1f MB resident, %.2f%% of a core at rest", n, rss/1e6, 100*processor.values[len(processor.values)-1])
				return err
			}); err != nil {
				return err
			}
		}
	}
	r.addSlope(memory, "limiter", "memory", "bytes", "servers", "alone: the list told in lines of 5,000 entries, no requests, resident after a rest")
	r.addSlope(processor, "limiter", "processor", "seconds/s", "servers", "alone: the same lists, at rest, no changes, no requests")
	return nil
}

// sweepWholeLists measures the start of limiters to which the whole list is sent as one line.
func (r *residentRun) sweepWholeLists() error {
	var processor, bytes, peak residentPoints
	for range r.sizes.Repeats {
		for _, n := range r.sizes.ListedServers {
			var lineBytes int
			err := r.withLimiter(n, n, func(d *listServer, l *standin.Limiter) error {
				processor.add(float64(n), l.CPU().Seconds())
				peakBytes, err := procStatusBytes(l, "VmHWM")
				peak.add(float64(n), peakBytes)
				lineBytes = d.longestLine
				return err
			})
			if errors.Is(err, errListNotTaken) {
				r.rejectedLists = append(r.rejectedLists, n)
				r.say("list of %d servers in one line: %v", n, err)
				continue
			}
			if err != nil {
				return err
			}
			bytes.add(float64(n), float64(lineBytes))
			r.say("list of %d servers in one line of %d bytes: taken in, %.3f s of processor time since the start, %.1f MB at the peak", n, lineBytes,
				processor.values[len(processor.values)-1], peak.values[len(peak.values)-1]/1e6)
		}
	}
	r.addSlope(bytes, "discovery", "bytes", "bytes", "servers", "alone: a whole list as one line")
	r.addSlope(processor, "limiter", "processor", "seconds", "servers", "start: from the start of the process until a whole list is taken")
	r.addSlope(peak, "limiter", "memory", "bytes", "servers", "start: highest resident figure until a whole list is taken")
	return nil
}

// sweepChanges measures changes of one server each, on the longest list.
func (r *residentRun) sweepChanges() error {
	n := r.sizes.ListedServers[len(r.sizes.ListedServers)-1]
	var processor, bytes residentPoints
	for range r.sizes.Repeats {
		if err := r.withLimiter(n, residentServersPerLine, func(d *listServer, l *standin.Limiter) error {
			time.Sleep(r.sizes.Settle)
			for _, rate := range r.sizes.ChangesPerSecond {
				processorBefore, sentBefore, began := l.CPU(), d.sentBytes.Load(), time.Now()
				for k := 0; rate > 0 && float64(k) < rate*r.measuringTime().Seconds(); k++ {
					time.Sleep(time.Until(began.Add(time.Duration(float64(k) / rate * float64(time.Second)))))
					d.changeServer(k % n)
				}
				time.Sleep(time.Until(began.Add(r.measuringTime())))
				s := time.Since(began).Seconds()
				processor.add(rate, (l.CPU()-processorBefore).Seconds()/s)
				bytes.add(rate, float64(d.sentBytes.Load()-sentBefore)/s)
				r.say("%g changes a second on a list of %d servers: %.2f%% of a core", rate, n, 100*processor.values[len(processor.values)-1])
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

// withLimiter starts a limiter, waits until it has the list of the given servers and calls measure.
func (r *residentRun) withLimiter(servers, serversPerLine int, measure func(*listServer, *standin.Limiter) error) error {
	d, err := newListServer(servers, serversPerLine, "10.0.0.1:6379")
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
	if err := measure(d, l); err != nil {
		return err
	}
	if text := l.CrashLog(); text != "" {
		return errors.New(text)
	}
	return nil
}

// sweepActiveFirms measures limiters to which many firms each send one request within a minute. A few servers answer them.
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

// measureActiveFirms measures a limiter that n firms use.
func (r *residentRun) measureActiveFirms(n int, memory *residentPoints) error {
	servers, err := startAnsweringServers()
	if err != nil {
		return err
	}
	defer servers.Close()
	world := standin.NewWorld(fault.Plan{})
	defer world.Close()
	counter, err := world.AddCounter()
	if err != nil {
		return err
	}
	list, err := newListServer(residentAnsweringServers, residentServersPerLine, servers.Addr().String())
	if err != nil {
		return err
	}
	defer list.close()
	l, err := r.startLimiter(list, residentAskedFleetSize, counter.Addr, "")
	if err != nil {
		return err
	}
	defer l.Kill()
	if err := list.awaitTaken(r.ctx); err != nil {
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
	r.say("one request of each of %d firms within %.1f s, %d served, the others refused: %.1f MB resident", n, took.Seconds(), served, rss/1e6)
	if took > time.Minute {
		return fmt.Errorf("requests of %d firms took %s, want at most a minute: the limiter forgets the first firms after that", n, took)
	}
	if text := l.CrashLog(); text != "" {
		return errors.New(text)
	}
	memory.add(float64(n), rss)
	return nil
}

// sweepKnownFirms measures limiters whose plan book names firms.
func (r *residentRun) sweepKnownFirms() error {
	var memory residentPoints
	for range r.sizes.Repeats {
		for _, n := range r.sizes.KnownFirms {
			list, err := newListServer(20, residentServersPerLine, "10.0.0.1:6379")
			if err != nil {
				return err
			}
			l, err := r.startLimiter(list, residentFleetSize, "127.0.0.1:1", fmt.Sprintf(`t = tier(name = "regular", rate = 3, burst = 15)
bramblefall(plans = [plan(number = 1, tiers = [t], firms = [firm(firm = "%%x" %% (k + 1), tier = "regular") for k in range(%d)])])
`, n))
			if err == nil {
				time.Sleep(r.sizes.Settle)
				var rss float64
				if rss, err = procStatusBytes(l, "VmRSS"); err == nil {
					memory.add(float64(n), rss)
					r.say("plan book with %d firms: %.1f MB resident", n, rss/1e6)
				}
				l.Kill()
			}
			list.close()
			if err != nil {
				return err
			}
		}
	}
	r.addSlope(memory, "limiter", "memory", "bytes", "tenants_known", "alone: firms that the plan book's version in force names, from the operators' file, after a rest")
	return nil
}

// procStatusBytes is a memory figure of a limiter in /proc/PID/status, in bytes.
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
	return 0, fmt.Errorf("/proc/%d/status has no %s", l.Cmd.Process.Pid, field)
}

// listServer is a discovery for one limiter. It ends the watch once it has sent the whole list, because the next watch says
// which version the limiter has.
type listServer struct {
	addr        string
	listener    net.Listener
	lines       [][]byte                                                  // of the whole list, as chunks
	longestLine int                                                       // in bytes
	entry       func(k int, version int64, state string) discovery.Server // the k-th server
	sentBytes   atomic.Int64
	taken       chan struct{} // closed once the limiter has asked for what comes after the last line
	markTaken   func()        // closes taken, once
	changes     chan []byte   // chunks yet to be sent

	mu               sync.Mutex
	version          int64
	wholeListWatches int // watches that got the list, or what was missing of it
}

// newListServer serves a list of servers that all have the address addr, in lines of serversPerLine.
func newListServer(servers, serversPerLine int, addr string) (*listServer, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	taken := make(chan struct{})
	d := &listServer{addr: l.Addr().String(), listener: l, taken: taken, markTaken: sync.OnceFunc(func() { close(taken) }), changes: make(chan []byte, 64)}
	d.entry = func(k int, version int64, state string) discovery.Server {
		return discovery.Server{ID: fmt.Sprintf("s-%08x", k), Addr: addr, Zone: []string{"hall-a", "hall-b"}[k%2], Kind: "std-3core", State: state,
			Weight: 1, StartedMS: version}
	}
	for from := 0; from < servers; from += serversPerLine {
		d.version++
		list := discovery.List{Version: d.version, Full: from == 0}
		for k := from; k < min(from+serversPerLine, servers); k++ {
			list.Servers = append(list.Servers, d.entry(k, 1, "ready"))
		}
		d.lines = append(d.lines, d.encodeChunk(list))
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

func (d *listServer) encodeChunk(l discovery.List) []byte {
	raw, _ := json.Marshal(l)
	d.longestLine = max(d.longestLine, len(raw)+1)
	return fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(raw)+1, raw)
}

// changeServer sends a change that names one server, with a later start time as after a restart.
func (d *listServer) changeServer(k int) {
	d.mu.Lock()
	d.version++
	change := d.encodeChunk(discovery.List{Version: d.version, Servers: []discovery.Server{d.entry(k, d.version, "ready")}})
	d.mu.Unlock()
	d.changes <- change
}

// awaitTaken waits until the limiter has the whole list.
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
			return fmt.Errorf("%w within %s: the longest line has %d bytes, the list was requested %d times", errListNotTaken, residentTimeout, d.longestLine, d.wholeListWatches)
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
		_, _ = conn.Read(make([]byte, 1)) // until the limiter has read everything and closes the connection
		return
	}
	d.markTaken()
	heartbeat := time.NewTicker(residentHeartbeat)
	defer heartbeat.Stop()
	for {
		out := []byte("1\r\n\n\r\n")
		select {
		case out = <-d.changes:
		case <-heartbeat.C:
		}
		if !send(out) {
			return
		}
	}
}

// startAnsweringServers starts one listener that stands for all servers and answers each request immediately.
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
						if _, err := conn.Write(standin.ValueReply("v")); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return l, nil
}

// requestFromFirms sends one request of each of the given number of firms and returns how many were served.
func requestFromFirms(addr string, firms int) (served int, err error) {
	const (
		clients   = 8
		pipelined = 64 // requests of a client in flight
	)
	var wg sync.WaitGroup
	var servedCount atomic.Int64
	errs := make(chan error, clients)
	for c := range clients {
		wg.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				errs <- err
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
					errs <- err
					return
				}
				for range sent {
					line, err := in.ReadString('\n')
					if err == nil && strings.HasPrefix(line, "$") {
						servedCount.Add(1)
						_, err = in.ReadString('\n')
					} else if err == nil && !strings.HasPrefix(line, "-") {
						err = fmt.Errorf("the limiter answered %q, want a bulk string or an error", line)
					}
					if err != nil {
						errs <- err
						return
					}
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	return int(servedCount.Load()), <-errs
}

// requestCommand is a request of one unit by a firm.
func requestCommand(firm uint64) []byte {
	arguments := []string{"Q.ASK", fmt.Sprintf("%016x", firm), fmt.Sprintf("%016x", firm), "c=balance-read,t=regular,d=1000,units=1,spread=3,first=0"}
	out := fmt.Appendf(nil, "*%d\r\n", len(arguments))
	for _, w := range arguments {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(w), w)
	}
	return out
}
