package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	entriesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"bramblefall/internal/loopback"
)

const (
	verdictOK        = rlsv3.RateLimitResponse_OK
	verdictOverLimit = rlsv3.RateLimitResponse_OVER_LIMIT
)

func descriptor(pairs ...string) *entriesv3.RateLimitDescriptor {
	d := &entriesv3.RateLimitDescriptor{}
	for k := 0; k < len(pairs); k += 2 {
		d.Entries = append(d.Entries, &entriesv3.RateLimitDescriptor_Entry{Key: pairs[k], Value: pairs[k+1]})
	}
	return d
}

func firmDescriptor(firm string) *entriesv3.RateLimitDescriptor {
	return descriptor("firm", firm, "tier", "regular", "class", "balance-read", "spread", "1", "first", "0")
}

func rateLimitRequest(all ...*entriesv3.RateLimitDescriptor) *rlsv3.RateLimitRequest {
	return &rlsv3.RateLimitRequest{Domain: "depots", Descriptors: all}
}

// rateLimitFile writes a -ratelimit file, which switches on the gRPC service, and returns its path. endpoints are the addresses of
// an external rate limit service, if any.
func rateLimitFile(t *testing.T, endpoints ...string) string {
	file := object{"listen": reservedAddress(t), "domain": "depots"}
	dir := t.TempDir()
	if len(endpoints) > 0 {
		file["others"] = object{"cluster": "limits", "clusters": "cds.json", "endpoints": "eds.json"}
		writeJSON(t, filepath.Join(dir, "cds.json"), object{"resources": []object{{
			"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "limits", "type": "EDS"}}})
		writeEndpoints(t, dir, 0, endpoints...)
	}
	return writeJSON(t, filepath.Join(dir, "ratelimit.json"), file)
}

// locality returns the endpoints of a zone, of which the first ones drain.
func locality(t *testing.T, zone string, priority, draining int, addrs ...string) object {
	all := []object{}
	for k, addr := range addrs {
		host, port, err := net.SplitHostPort(addr)
		require.NoError(t, err)
		n, err := strconv.Atoi(port)
		require.NoError(t, err)
		e := object{"endpoint": object{"address": object{"socket_address": object{"address": host, "port_value": n}}}}
		if k < draining {
			e["health_status"] = "DRAINING"
		}
		all = append(all, e)
	}
	return object{"locality": object{"zone": zone}, "priority": priority, "lb_endpoints": all}
}

// assignment returns the endpoints of a cluster.
func assignment(cluster string, localities ...object) object {
	return object{"@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment", "cluster_name": cluster,
		"endpoints": localities}
}

// writeEndpoints writes the endpoints of the cluster "limits"; the first ones drain.
func writeEndpoints(t *testing.T, dir string, draining int, addrs ...string) {
	writeAssignments(t, dir, assignment("limits", locality(t, "hall-a", 0, draining, addrs...)))
}

func writeAssignments(t *testing.T, dir string, all ...object) {
	writeJSON(t, filepath.Join(dir, "eds.json"), object{"resources": all})
}

func (l *limiter) rateLimitClient() rlsv3.RateLimitServiceClient {
	conn, err := grpc.NewClient(l.grpcAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = conn.Close() })
	return rlsv3.NewRateLimitServiceClient(conn)
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// externalService is a stand-in for the rate limit service of another operator.
type externalService struct {
	rlsv3.UnimplementedRateLimitServiceServer
	answer func(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error)

	mu       sync.Mutex
	received []*rlsv3.RateLimitRequest
}

func (o *externalService) ShouldRateLimit(ctx context.Context, r *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	o.mu.Lock()
	o.received = append(o.received, r)
	o.mu.Unlock()
	return o.answer(ctx, r)
}

func (o *externalService) calls() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.received)
}

func respondWith(code rlsv3.RateLimitResponse_Code) func(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	return func(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
		return &rlsv3.RateLimitResponse{OverallCode: code}, nil
	}
}

func (o *externalService) listen(t *testing.T) string { return o.listenOn(t, 1)[0] }

// listenOn serves on n addresses and returns them.
func (o *externalService) listenOn(t *testing.T, n int) (addrs []string) {
	s := grpc.NewServer()
	rlsv3.RegisterRateLimitServiceServer(s, o)
	t.Cleanup(s.Stop)
	for range n {
		l, err := loopback.Listen()
		require.NoError(t, err)
		go func() { _ = s.Serve(l) }()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

func settingsWithBurst(burst float64) object {
	set := settings()
	set["tariffs"] = []object{plan("regular", 0.01, burst, 0), plan("full", 0.01, 60, 40)}
	return set
}

func TestQuotaVerdicts(t *testing.T) {
	t.Parallel()
	s := start(t, fixture{settings: settingsWithBurst(10), rateLimitFile: rateLimitFile(t)}).rateLimitClient()
	answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
	require.NoError(t, err)
	assert.Equal(t, verdictOK, answer.OverallCode)
	assert.Equal(t, "regular", answer.Statuses[0].CurrentLimit.Name)

	many := rateLimitRequest(firmDescriptor("a1"))
	many.HitsAddend = 9
	answer, err = s.ShouldRateLimit(testContext(t), many)
	require.NoError(t, err)
	assert.Equal(t, verdictOK, answer.OverallCode, "hits_addend is units: 1 + 9 of 10 are taken")

	answer, err = s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
	require.NoError(t, err)
	assert.Equal(t, verdictOverLimit, answer.OverallCode)
	assert.Positive(t, answer.Statuses[0].DurationUntilReset.AsDuration())
	require.Len(t, answer.ResponseHeadersToAdd, 1)
	assert.Equal(t, "retry-after", answer.ResponseHeadersToAdd[0].Key)
	assert.Regexp(t, `^[1-9]\d*$`, answer.ResponseHeadersToAdd[0].Value)
}

// Each descriptor of a call is counted on its own. The call is over limit if one of them is.
func TestSeveralDescriptors(t *testing.T) {
	t.Parallel()
	s := start(t, fixture{settings: settingsWithBurst(2), rateLimitFile: rateLimitFile(t)}).rateLimitClient()
	own := firmDescriptor("a2")
	own.HitsAddend = wrapperspb.UInt64(2)
	answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1"), own))
	require.NoError(t, err)
	assert.Equal(t, verdictOK, answer.OverallCode)
	answer, err = s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1"), firmDescriptor("a2")))
	require.NoError(t, err)
	assert.Equal(t, verdictOverLimit, answer.OverallCode)
	assert.Equal(t, verdictOK, answer.Statuses[0].Code)
	assert.Equal(t, verdictOverLimit, answer.Statuses[1].Code)
	answer, err = s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
	require.NoError(t, err)
	assert.Equal(t, verdictOverLimit, answer.OverallCode, "a1 must have taken its second unit although the call was over limit")
}

func TestInvalidDescriptors(t *testing.T) {
	t.Parallel()
	limited, negative := firmDescriptor("a1"), firmDescriptor("a1")
	limited.Limit = &entriesv3.RateLimitDescriptor_RateLimitOverride{RequestsPerUnit: 1}
	negative.IsNegativeHits = true
	many := make([]*entriesv3.RateLimitDescriptor, 17)
	for k := range many {
		many[k] = firmDescriptor("a1")
	}
	huge := rateLimitRequest(firmDescriptor("a1"))
	huge.HitsAddend = 4e9
	s := start(t, fixture{rateLimitFile: rateLimitFile(t)}).rateLimitClient()
	for name, r := range map[string]*rlsv3.RateLimitRequest{
		"none": rateLimitRequest(), "too many": rateLimitRequest(many...), "override": rateLimitRequest(limited), "negative hits": rateLimitRequest(negative), "huge": huge,
		"domain": {Domain: "elsewhere", Descriptors: []*entriesv3.RateLimitDescriptor{firmDescriptor("a1")}},
		"firm":   rateLimitRequest(descriptor("tier", "regular", "class", "balance-read")),
		"tier":   rateLimitRequest(descriptor("firm", "a1", "tier", "gold", "class", "balance-read")),
		"class":  rateLimitRequest(descriptor("firm", "a1", "tier", "regular")),
		"spread": rateLimitRequest(descriptor("firm", "a1", "tier", "regular", "class", "balance-read", "spread", "-2")),
		"twice":  rateLimitRequest(descriptor("firm", "a1", "firm", "a2", "tier", "regular", "class", "balance-read")),
		"second": rateLimitRequest(firmDescriptor("a1"), descriptor("firm", "a1")),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := s.ShouldRateLimit(testContext(t), r)
			assert.Equal(t, codes.InvalidArgument, status.Code(err), "%v", err)
		})
	}
	answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
	require.NoError(t, err)
	assert.Equal(t, verdictOK, answer.OverallCode)
}

// With an external service, that service gives the verdict on calls within the quota; calls beyond the quota are not sent to it.
// The two upstream groups never mix: the platform's servers never get such a call, and the external service no RESP2 command.
func TestExternalServiceDecidesWithinQuota(t *testing.T) {
	t.Parallel()
	node := newServer(t, "s-1", "hall-a", replyValue("v"))
	o := &externalService{answer: respondWith(verdictOverLimit)}
	f := fixture{settings: settingsWithBurst(3), servers: []*server{node}, rateLimitFile: rateLimitFile(t, o.listen(t))}
	l := start(t, f)
	s := l.rateLimitClient()
	for k := range 5 {
		o.mu.Lock()
		if k == 2 {
			o.answer = respondWith(verdictOK)
		}
		o.mu.Unlock()
		answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor(firm)))
		require.NoError(t, err)
		assert.Equal(t, k != 2, answer.OverallCode == verdictOverLimit)
	}
	assert.Equal(t, 3, o.calls(), "calls beyond the quota must not be sent to the external service")
	assert.Equal(t, "depots", o.received[0].Domain)
	assert.Equal(t, firm, o.received[0].Descriptors[0].Entries[0].Value)
	assert.Regexp(t, "^-BUSY", l.dial().do(askArgs("01")...), "the firm's quota must be used up on the RESP2 path, too")
	assert.Empty(t, node.received(), "a gRPC call was sent to an exchange node")
	args := askArgs("02")
	args[1] = "00000000000000ff"
	assert.Equal(t, "v", l.dial().do(args...))
	assert.Equal(t, 3, o.calls(), "a RESP2 command was sent to the external service")
}

// A further try of the same request takes no units, so the quota stays the same with one endpoint down. A retry by the client is
// a new request and takes units.
func TestRetriesTakeNoUnits(t *testing.T) {
	t.Parallel()
	fails := 0
	o := &externalService{}
	o.answer = func(ctx context.Context, r *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if fails++; fails%2 == 1 {
			return nil, status.Error(codes.Internal, "the first try of each request fails")
		}
		return respondWith(verdictOK)(ctx, r)
	}
	s := start(t, fixture{settings: settingsWithBurst(6), rateLimitFile: rateLimitFile(t, o.listen(t), refusingAddress(t))}).rateLimitClient()
	for k := range 8 {
		answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
		require.NoError(t, err)
		assert.Equal(t, k >= 6, answer.OverallCode == verdictOverLimit, k)
	}
	assert.Equal(t, 12, o.calls())
}

// A proxy chooses its timeout itself. A short one must not be taken for what is left of a longer deadline, which marks a client's
// late retry: a late retry only gets capacity that others leave.
func TestShortDeadlineIsNotTakenForRetry(t *testing.T) {
	t.Parallel()
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, rateLimitFile: rateLimitFile(t)})
	c, s := l.dial(), l.rateLimitClient()
	require.Equal(t, "v", c.do(doArgs("01")...))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	short := descriptor("firm", "a1", "tier", "regular", "class", "transfer-post")
	answer, err := s.ShouldRateLimit(ctx, rateLimitRequest(short))
	require.NoError(t, err)
	assert.Equal(t, verdictOK, answer.OverallCode)
	args := doArgs("02") // nor may a gRPC caller's long timeout make requests of the platform's clients look like late retries
	args[3] = strings.Replace(args[3], "d=6000", "d=2000", 1)
	l = start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, rateLimitFile: rateLimitFile(t)})
	_, err = l.rateLimitClient().ShouldRateLimit(testContext(t), rateLimitRequest(short))
	require.NoError(t, err)
	assert.Equal(t, "v", l.dial().do(args...))
}

// A service that usually answers within a millisecond is not taken for silent after some tens of milliseconds: its tries are not
// cancelled and repeated.
func TestPauseOfFastServiceDoesNotCancelTries(t *testing.T) {
	t.Parallel()
	o := &externalService{}
	slow := false
	o.answer = func(ctx context.Context, r *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
		if slow {
			time.Sleep(100 * time.Millisecond)
		}
		return respondWith(verdictOK)(ctx, r)
	}
	s := start(t, fixture{rateLimitFile: rateLimitFile(t, o.listen(t))}).rateLimitClient()
	for k := range 301 {
		slow = k == 300
		_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
		require.NoError(t, err)
	}
	assert.Equal(t, 301, o.calls())
}

// The hard ceiling of a tier holds for RESP2 and gRPC together.
func TestBothPathsShareOneCeiling(t *testing.T) {
	t.Parallel()
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, rateLimitFile: rateLimitFile(t)})
	c, s := l.dial(), l.rateLimitClient()
	sent := func(firm string, mixed bool) (n int) {
		for k := range 60 {
			if mixed && k%2 == 1 {
				answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(descriptor("firm", firm, "tier", "full",
					"class", "balance-read", "spread", "1")))
				require.NoError(t, err)
				if answer.OverallCode == verdictOK {
					n++
				}
			} else if c.do("Q.ASK", firm, fmt.Sprintf("%016x", k), "c=balance-read,t=full,d=4000,units=1,spread=1,first=0") == "v" {
				n++
			}
		}
		return n
	}
	single, mixed := sent("00000000000000c1", false), sent("00000000000000c2", true)
	assert.Equal(t, single, mixed)
	assert.LessOrEqual(t, mixed, 50, "the burst of the ceiling and its slack")
	assert.Positive(t, mixed)
}

func TestExternalServiceErrors(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer func(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error)
		class  string
		want   codes.Code
	}{
		"failed": {func(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
			return nil, status.Error(codes.Internal, "no")
		}, "transfer-post", codes.Unavailable},
		"no verdict": {respondWith(rlsv3.RateLimitResponse_UNKNOWN), "transfer-post", codes.Unavailable},
		"silent": {func(ctx context.Context, _ *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, "balance-read", codes.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := &externalService{answer: c.answer}
			s := start(t, fixture{rateLimitFile: rateLimitFile(t, o.listen(t))}).rateLimitClient()
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := s.ShouldRateLimit(ctx, rateLimitRequest(descriptor("firm", "a1", "tier", "regular", "class", c.class)))
			assert.Equal(t, c.want, status.Code(err), "%v", err)
			assert.Positive(t, o.calls())
		})
	}
}

// A caller that cancels ends the try that is in flight, and what the request held is released.
func TestCancelDuringCall(t *testing.T) {
	t.Parallel()
	timeLeft := make(chan time.Duration, 1) // time left until the deadline of the try when it ended
	o := &externalService{answer: func(ctx context.Context, _ *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
		<-ctx.Done()
		until, _ := ctx.Deadline()
		timeLeft <- time.Until(until)
		return nil, ctx.Err()
	}}
	set := settingsWithBurst(10)
	set["tariffs"].([]object)[0]["concurrency"] = 1 // a request that was not released would block the next
	s := start(t, fixture{settings: set, rateLimitFile: rateLimitFile(t, o.listen(t))}).rateLimitClient()
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := s.ShouldRateLimit(ctx, rateLimitRequest(descriptor("firm", "a1", "tier", "regular", "class", "transfer-post")))
		failed <- err
	}()
	require.Eventually(t, func() bool { return o.calls() == 1 }, testTimeout, time.Millisecond)
	cancel()
	assert.Equal(t, codes.Canceled, status.Code(await(t, failed, "the call to end")))
	assert.Greater(t, await(t, timeLeft, "the try to end"), 2*time.Second, "time left of 6 s: the try must have been cancelled, not timed out")
	o.mu.Lock()
	o.answer = respondWith(verdictOK)
	o.mu.Unlock()
	answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
	require.NoError(t, err)
	assert.Equal(t, verdictOK, answer.OverallCode)
}

// The counter does not answer within its time limit while decisions are pending on it. Each call still gets its verdict.
func TestSilentCounterWithPendingDecisions(t *testing.T) {
	t.Parallel()
	set := settingsWithBurst(4)
	set["balancers"] = 8 // a limiter's share of the burst is less than one request, so the counter is asked before one is sent
	n := newCounter(t)
	n.silent = true
	s := start(t, fixture{settings: set, counter: n, rateLimitFile: rateLimitFile(t)}).rateLimitClient()
	var all sync.WaitGroup
	for k := range 12 {
		all.Go(func() {
			answer, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(descriptor("firm", strconv.Itoa(k), "tier", "regular",
				"class", "balance-read", "spread", "8")))
			assert.NoError(t, err)
			assert.Equal(t, verdictOK, answer.GetOverallCode(), "the verdict must come from local knowledge, in time")
		})
	}
	all.Wait()
	calls, conns := n.callsAndConns()
	assert.Positive(t, calls)
	assert.Equal(t, 1, conns, "a decision waited until the silent connection was replaced")
}

func TestPlannedRestartAnswersCallsInFlight(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	o := &externalService{answer: func(ctx context.Context, r *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
		<-release
		return respondWith(verdictOK)(ctx, r)
	}}
	l := start(t, fixture{rateLimitFile: rateLimitFile(t, o.listen(t))})
	s, done := l.rateLimitClient(), make(chan error, 1)
	go func() {
		_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
		done <- err
	}()
	require.Eventually(t, func() bool { return o.calls() == 1 }, testTimeout, time.Millisecond)
	l.terminate()
	close(release)
	require.NoError(t, await(t, done, "the verdict"))
	l.waitForCleanExit()
}

func TestEndpointsFollowTheirFile(t *testing.T) {
	t.Parallel()
	a, b := &externalService{answer: respondWith(verdictOK)}, &externalService{answer: respondWith(verdictOK)}
	file := rateLimitFile(t, a.listen(t))
	s := start(t, fixture{rateLimitFile: file}).rateLimitClient()
	ask := func() bool {
		_, err := s.ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("a1")))
		return assert.NoError(t, err)
	}
	require.True(t, ask())
	writeEndpoints(t, filepath.Dir(file), 0, b.listen(t))
	require.Eventually(t, func() bool { return ask() && b.calls() > 0 }, testTimeout, 10*time.Millisecond)
	before := a.calls()
	require.True(t, ask())
	assert.Equal(t, before, a.calls(), "the removed endpoint got a new call")
}

// Firms that send half of their requests over RESP2 and half over gRPC, through two limiters, get the same totals as over RESP2
// alone.
func TestMixedPathsShareOneQuota(t *testing.T) {
	t.Parallel()
	firms := map[string]int{"00000000000000a1": 150, "00000000000000a2": 300, "00000000000000a3": 700}
	single, mixed := totals(t, firms, false), totals(t, firms, true)
	for firm := range firms {
		assert.InEpsilon(t, single[firm], mixed[firm], 0.02, firm)
	}
	assert.Equal(t, 150, single["00000000000000a1"], "within its quota")
	assert.InEpsilon(t, 400, single["00000000000000a3"], 0.02, "held to its quota")
}

// totals returns how many requests of each firm pass a fleet of two limiters, given how many it sends.
func totals(t *testing.T, firms map[string]int, mixed bool) map[string]int {
	node, n := newServer(t, "s-1", "hall-a", replyValue("v")), newCounter(t)
	var clients []*client
	var services []rlsv3.RateLimitServiceClient
	for rank := range 2 {
		set := settingsWithBurst(400)
		set["balancers"], set["rank"] = 2, rank
		l := start(t, fixture{settings: set, servers: []*server{node}, counter: n, rateLimitFile: rateLimitFile(t)})
		clients, services = append(clients, l.dial()), append(services, l.rateLimitClient())
	}
	sent := map[string]int{}
	for firm, asked := range firms {
		for k := range asked {
			if at := k % 2; mixed && k/2%2 == 1 {
				answer, err := services[at].ShouldRateLimit(testContext(t), rateLimitRequest(descriptor("firm", firm, "tier", "regular",
					"class", "balance-read", "spread", "2", "first", "0")))
				require.NoError(t, err)
				if answer.OverallCode == verdictOK {
					sent[firm]++
				}
			} else if clients[at].do("Q.ASK", firm, fmt.Sprintf("%016x", k),
				"c=balance-read,t=regular,d=4000,units=1,spread=2,first=0") == "v" {
				sent[firm]++
			}
		}
	}
	return sent
}
