package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/discovery"
	"bramblefall/internal/lab"
	"bramblefall/internal/loopback"
	"bramblefall/internal/standin"
)

// The test binary also runs as the rig's child processes, and as a whole rig that a test ends from outside. These variables of
// the environment say which.
const (
	childVar = "BRAMBLEFALL_SCALE_CHILD" // the role of a child
	rigVar   = "BRAMBLEFALL_SCALE_RIG"   // path of the limiter's program for a rig
)

// limiterBinary is the limiter's program, built once for all tests.
var limiterBinary struct {
	once sync.Once
	path string
	err  error
}

func TestMain(m *testing.M) {
	if role := os.Getenv(childVar); role != "" {
		if err := Child(context.Background(), role, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if path := os.Getenv(rigVar); path != "" {
		runRig(path)
		return
	}
	code := m.Run()
	if limiterBinary.path != "" {
		_ = os.RemoveAll(filepath.Dir(limiterBinary.path))
	}
	os.Exit(code)
}

// runRig runs a rig until a signal ends it. It prints the ids of its processes as soon as all limiters run. The exit code is 1
// where the run says that its figures are partial, as it must, and 3 otherwise.
func runRig(path string) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := smallRun(path)
	o.OnStage = func(stage string, list ProcessIDs) {
		if stage == "moments" {
			raw, _ := json.Marshal(list)
			fmt.Printf("%s\n", raw)
		}
	}
	figures, err := Run(ctx, o)
	if err == nil || figures == nil || figures.Partial == "" {
		os.Exit(3)
	}
	os.Exit(1)
}

func testChildCommand(role string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVar+"="+role)
	return cmd
}

// smallRun is a short run of which only counts are checked, no times.
func smallRun(binary string) Options {
	return Options{Seed: 1, Binary: binary, ChildCommand: testChildCommand, Progress: func(string, ...any) {}, Sizes: Sizes{RealLimiters: 2, HollowLimiters: []int{10, 20, 40}, ServersBesideFleet: 40,
		ListedServers: []int{40, 80, 120}, ChangesPerSecond: []float64{5, 10, 20}, RequestsPerSecond: []float64{10, 20, 40}, ActiveFirms: []int{10, 20}, KnownFirms: []int{10, 20}, LimitersTold: []int{1, 2, 4},
		Clusters: []int{2, 4, 8}, CallsPerSecond: 5, Window: 200 * time.Millisecond, Settle: 100 * time.Millisecond, BackgroundChangesPerSecond: 20, DrainGrace: hollowDrainGrace, HollowDrainGrace: hollowDrainGrace, countsOnly: true}}
}

// builtProgram returns the path of the limiter's program, and builds it at the first call.
func builtProgram(t *testing.T) string {
	for _, sources := range []string{"../../go.*", "../../logic/*.go", "../*/*.go", "../../cmd/bramblefall*/*.go"} {
		files, _ := filepath.Glob(sources)
		for _, f := range files {
			// go test does not see which sources lab.BuildLimiter reads. Calling Stat makes its cached results depend on them.
			_, _ = os.Stat(f)
		}
	}
	limiterBinary.once.Do(func() {
		dir, err := os.MkdirTemp("", "scale")
		if err == nil {
			limiterBinary.path, err = lab.BuildLimiter(context.Background(), dir)
		}
		limiterBinary.err = err
	})
	require.NoError(t, limiterBinary.err)
	return limiterBinary.path
}

func isRunning(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	return !strings.HasPrefix(rest, "Z") // a zombie has exited but has not been waited for yet
}

// requireGone waits until none of the processes runs.
func requireGone(t *testing.T, list ProcessIDs) {
	t.Helper()
	require.NotEmpty(t, list)
	for name, pid := range list {
		require.Eventually(t, func() bool { return !isRunning(pid) }, 5*time.Second, 10*time.Millisecond, "process %s is still running", name)
	}
}

// With forty hollow limiters and two real ones each whole list, change, call and answer is counted exactly once, all limiters
// end with the same version, and no process is left running.
func TestMessagesAreCountedExactly(t *testing.T) {
	o := smallRun(builtProgram(t))
	const hollowLimiters, changes = 40, 25
	r := &run{Options: o, children: newProcessSet(t.Context()), dir: t.TempDir(), binary: o.Binary, measurements: newMeasurements(), figures: &Figures{}}
	var processes ProcessIDs
	r.OnStage = func(_ string, l ProcessIDs) { processes = l }
	func() {
		defer r.children.close()
		require.NoError(t, r.startProcesses())
		require.NoError(t, r.growFleet(hollowLimiters))
		var done ScheduleResult
		require.NoError(t, r.children.call(r.discoveryProcess, "Role.RunSchedule", ChangeSchedule{ChangesPerSecond: 50, Duration: changes * time.Second / 50, ServersChanged: 8}, &done))
		require.Equal(t, changes, done.Changes)
		r.lastVersion = done.Last.Version
		require.EqualValues(t, 1+changes, r.lastVersion)
		at, behind, err := r.awaitVersion(deliveryTimeout, r.hollowProcesses)
		require.NoError(t, err)
		require.Zero(t, behind)
		require.Len(t, at, hollowLimiters)
		for _, p := range r.hollowProcesses { // none has a later version than the others
			var a HollowStatus
			require.NoError(t, r.children.call(p, "Role.Arrivals", r.lastVersion+1, &a))
			require.Equal(t, a.Limiters, a.Behind)
			require.Len(t, a.ListedAt, a.Limiters)
			require.NoError(t, r.children.call(p, "Role.Calls", 0.0, new(int)))
		}
		var got LoadResult
		require.NoError(t, r.children.call(r.loadProcess, "Role.Run", LoadRun{r.regularLoad(40), 0, time.Second, 1}, &got))
		require.Positive(t, got.Sent)
		require.Equal(t, LoadResult{Sent: got.Sent, Served: got.Served, Refused: got.Refused, Timed: got.Served, P50MS: got.P50MS, P99MS: got.P99MS}, got, "none is lost")
		require.Equal(t, got.Sent, got.Served+got.Refused)
		var took int64
		require.NoError(t, r.children.call(r.serverProcess, "Role.Requests", 0, &took))
		require.GreaterOrEqual(t, took, int64(got.Served))

		var usage sample
		require.Eventually(t, func() bool { // a real limiter may still be reading the last change
			usage, err = r.takeSample()
			return err == nil && usage.discovery.realTotal().Changes == int64(len(r.realLimiters)*changes)
		}, 5*time.Second, 20*time.Millisecond)
		h, real := usage.discovery.Hollow, usage.discovery.Real
		assert.EqualValues(t, hollowLimiters, h.ConnsOpened)
		assert.EqualValues(t, hollowLimiters, h.WholeLists)
		assert.EqualValues(t, hollowLimiters*changes, h.Changes)
		assert.Equal(t, h.ConnsOpened+h.WholeLists+h.Changes+h.Heartbeats, h.Messages)
		require.Len(t, real, len(r.realLimiters))
		for _, x := range real {
			assert.EqualValues(t, 1, x.ConnsOpened)
			assert.EqualValues(t, 1, x.WholeLists)
			assert.EqualValues(t, changes, x.Changes)
			assert.Equal(t, x.ConnsOpened+x.WholeLists+x.Changes+x.Heartbeats, x.Messages)
		}
		var calls, answered int64
		for _, p := range r.hollowProcesses {
			var a HollowStatus
			require.NoError(t, r.children.call(p, "Role.Arrivals", r.lastVersion, &a))
			calls, answered = calls+a.Calls, answered+a.Answered
			require.Zero(t, a.UnsentOrRejected+a.Lost)
		}
		require.Positive(t, calls)
		require.Equal(t, calls, answered)
		c := usage.counter.Hollow
		assert.Equal(t, calls, c.Changes)
		assert.Equal(t, 2*(c.Changes+c.Heartbeats), c.Messages)
		assert.EqualValues(t, hollowLimiters, c.ConnsOpened)
		r.enterStage("the end")
	}()
	require.Len(t, processes, 5+hollowProcessCount+len(r.realLimiters))
	requireGone(t, processes)
}

func TestContradictorySizesAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Sizes){
		"real limiters":     func(s *Sizes) { s.RealLimiters = 7 },
		"at least 100":      func(s *Sizes) { s.HollowLimiters = []int{10, 50} },
		"processes are":     func(s *Sizes) { s.RealLimiters = 290 },
		"a list only grows": func(s *Sizes) { s.ListedServers = []int{20, 60} },
		"descriptors":       func(s *Sizes) { s.HollowLimiters = []int{10, 30_000} },
		"of the machine's me": func(s *Sizes) {
			s.ServersBesideFleet, s.ListedServers, s.HollowLimiters = 1_000_000, []int{1_000_000}, []int{10_000}
		},
		"servers beside": func(s *Sizes) { s.ServersBesideFleet = 5 },
	} {
		o := smallRun("/nowhere")
		o.Sizes = QuickSizes()
		change(&o.Sizes)
		f, err := Run(t.Context(), o)
		require.Nil(t, f)
		require.ErrorContains(t, err, name)
		require.NotContains(t, err.Error(), "\n")
	}
	for _, bad := range [][4]int{{-1, 0, 0, 0}, {105, 0, 0, 0}, {0, 0, 0, -8}} {
		s := QuickSizes()
		require.Error(t, s.Set(bad[0], bad[1], bad[2], bad[3]), bad)
	}
	o := smallRun("/nowhere")
	o.Listen = "0.0.0.0:0"
	_, err := Run(t.Context(), o)
	require.ErrorContains(t, err, "no loopback address")
}

func TestPortInUseEndsTheRun(t *testing.T) {
	l, err := loopback.Listen()
	require.NoError(t, err)
	defer l.Close()
	o := smallRun(builtProgram(t))
	o.Listen = l.Addr().String()
	var list ProcessIDs
	r := &run{Options: o, children: newProcessSet(t.Context()), dir: t.TempDir(), binary: o.Binary, measurements: newMeasurements(), figures: &Figures{}}
	r.OnStage = func(_ string, l ProcessIDs) { list = l }
	err = r.startProcesses()
	r.enterStage("the port is taken")
	r.children.close()
	require.ErrorContains(t, err, "address already in use")
	require.NotContains(t, err.Error(), "\n")
	requireGone(t, list)

	f, err := Run(t.Context(), o)
	require.ErrorContains(t, err, "address already in use")
	require.NotEmpty(t, f.Partial)
}

// The figures measured before a process died are kept and say that they are partial.
func TestAProcessThatDiesEndsTheRunAndItsFiguresAreKept(t *testing.T) {
	for _, role := range []string{"limiter-1", "hollow-3", discoveryRole} {
		o := smallRun(builtProgram(t))
		var list ProcessIDs
		o.OnStage = func(stage string, l ProcessIDs) {
			if stage == "moments" {
				list = l
				require.NoError(t, syscall.Kill(l[role], syscall.SIGKILL))
			}
		}
		f, err := Run(t.Context(), o)
		require.ErrorContains(t, err, "the process "+role+" ended by itself")
		require.NotContains(t, err.Error(), "\n")
		require.Equal(t, err.Error(), f.Partial)
		_, ok := findSlope(f.Slopes, slopeKey{"limiter", "messages", "requests"})
		require.True(t, ok)
		_, ok = findSlope(f.Slopes, slopeKey{"hollow", "memory", "limiters"})
		require.True(t, ok)
		require.Len(t, list, 5+hollowProcessCount+2)
		requireGone(t, list)

		dir := t.TempDir()
		require.NoError(t, f.Write(dir))
		raw, err := os.ReadFile(filepath.Join(dir, File))
		require.NoError(t, err)
		var again Figures
		require.NoError(t, json.Unmarshal(raw, &again))
		require.Equal(t, f.Partial, again.Partial)
		require.Equal(t, f.Slopes, again.Slopes)
		require.FileExists(t, filepath.Join(dir, "index.html"))
	}
}

// A rig's processes end with it, whether it is interrupted, terminated or killed.
func TestNoProcessSurvivesTheRig(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), rigVar+"="+builtProgram(t))
		out, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		var processes ProcessIDs
		raw, err := bufio.NewReader(out).ReadBytes('\n')
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(raw, &processes))
		require.NoError(t, cmd.Process.Signal(s))
		var ended *exec.ExitError
		require.True(t, errors.As(cmd.Wait(), &ended))
		if s != syscall.SIGKILL {
			require.Equal(t, 1, ended.ExitCode(), "it ends by itself and says that its figures are partial")
		}
		requireGone(t, processes)
	}
}

func TestLineFindsSlopeAndError(t *testing.T) {
	intercept, slope, slopeError := fitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	require.InDelta(t, 3, intercept, 1e-9)
	require.InDelta(t, 2, slope, 1e-9)
	require.InDelta(t, 0, slopeError, 1e-9)
	// Computed by hand: the residuals are -0.3, 0.9, -0.9 and 0.3, the sum of the squared deviations of x is 5.
	_, slope, slopeError = fitLine([]float64{0, 1, 2, 3}, []float64{0, 2, 1, 3})
	require.InDelta(t, 0.8, slope, 1e-9)
	require.InDelta(t, 1.8/2/5, slopeError*slopeError, 1e-9)
}

func TestEachBarDetectsItsViolation(t *testing.T) {
	passingRun := func() *run {
		r := &run{Options: Options{Sizes: Sizes{HollowLimiters: []int{10}}}, figures: &Figures{Hollow: 10, Moments: []Moment{{Name: "change", LastSeconds: 0.1}}}}
		for _, key := range requiredSlopes {
			r.figures.Slopes = append(r.figures.Slopes, Slope{Role: key.role, Quantity: key.quantity, Against: key.against, PerUnit: 1, Error: 0.1})
		}
		for range 3 {
			r.figures.Added = append(r.figures.Added, AddedTime{WithChanges: true, P99MS: 1})
		}
		return r
	}
	r := passingRun()
	r.checkBars()
	require.Empty(t, r.figures.BrokenBars())
	for name, violate := range map[string]func(*run){
		"all hollow":  func(r *run) { r.figures.Hollow = 9 },
		"every hollo": func(r *run) { r.figures.Moments[0].Note = "1 hollow limiters " + notHeardNote },
		"the last li": func(r *run) { r.figures.Moments[0].LastSeconds = 3.1 },
		"no request ": func(r *run) { r.lostRequests = 1 },
		"every call ": func(r *run) { r.unansweredCalls = 1 },
		"slope of ho": func(r *run) { r.figures.Slopes[0].PerUnit = -1 },
		"slope of di": func(r *run) { r.figures.Slopes[3].Error = 0.5 },
		"99 in 100 r": func(r *run) { r.figures.Added[1].P99MS = 3 },
		"added time ": func(r *run) { r.figures.Added[0].WithChanges = false },
	} {
		r := passingRun()
		violate(r)
		r.checkBars()
		broken := r.figures.BrokenBars()
		require.Len(t, broken, 1, name)
		require.Contains(t, broken[0], name)
	}
}

// A watch from a version gets the changes after it, and a watch from none the whole list, either after a response header.
func TestDiscoverySendsChangesAfterAVersion(t *testing.T) {
	d := &Discovery{ctx: t.Context()}
	var addrs Addresses
	require.NoError(t, d.Start(DiscoveryStart{Servers: 10, Addrs: []string{"127.0.0.1:1"}, Zones: zones}, &addrs))
	var applied AppliedChange
	for range 3 { // versions 2 to 4
		require.NoError(t, d.Change(Change{To: 2, State: "ready"}, &applied))
	}
	require.EqualValues(t, 4, applied.Version)
	for from, want := range map[int][]discovery.List{0: {{Version: 4, Full: true}}, 1: {{Version: 4, Full: true}}, 2: {{Version: 3}, {Version: 4}}, 3: {{Version: 4}}} {
		answer, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", addrs.Hollow, from))
		require.NoError(t, err, "from %d", from)
		in := json.NewDecoder(answer.Body)
		for _, w := range want {
			var l discovery.List
			require.NoError(t, in.Decode(&l))
			require.Equal(t, w.Version, l.Version)
			require.Equal(t, w.Full, l.Full)
			require.Len(t, l.Servers, map[bool]int{true: 10, false: 2}[w.Full])
		}
		_ = answer.Body.Close()
	}
}

// In the rig's largest run some hundred calls to the counter had no answer, on a machine with too few processors. A connection
// that delivers nothing for 300 ms while answers are due is dropped, and the calls on it may or may not have been added. A
// counter that stalls for longer therefore loses the calls in flight, and each of them must be reported.
func TestCounterStallBeyondConnectionTimeoutLosesCalls(t *testing.T) {
	const limiters, rate, stall = 40, 10.0, 900 * time.Millisecond
	var counterAddrs, discoveryAddrs Addresses
	require.NoError(t, new(Counter).Start(0, &counterAddrs))
	d := &Discovery{ctx: t.Context()}
	require.NoError(t, d.Start(DiscoveryStart{Servers: 1, Addrs: []string{"127.0.0.1:1"}, Zones: zones}, &discoveryAddrs))
	link, err := standin.NewLink(counterAddrs.Hollow, 1)
	require.NoError(t, err)
	t.Cleanup(link.Close)
	h := newHollow(t.Context())
	require.NoError(t, h.Add(HollowAdd{Limiters: limiters, Discovery: discoveryAddrs.Hollow, Counter: link.Addr, FleetSize: limiters, CallsPerSecond: rate, DrainGrace: defaultDrainGrace}, new(int)))
	time.Sleep(time.Second)
	link.Set(standin.Conditions{CutDown: true})
	time.Sleep(stall)
	link.Set(standin.Conditions{})
	time.Sleep(500 * time.Millisecond)
	require.NoError(t, h.Calls(0, new(int)))
	var status HollowStatus
	require.Eventually(t, func() bool {
		require.NoError(t, h.Arrivals(0, &status))
		return status.Calls == status.Answered+status.UnsentOrRejected+status.Lost
	}, 10*time.Second, 10*time.Millisecond, "each call ends")
	t.Logf("%d calls, %d answered, %d unsent, %d lost", status.Calls, status.Answered, status.UnsentOrRejected, status.Lost)
	require.Positive(t, status.Answered)
	require.Positive(t, status.Lost)
}
