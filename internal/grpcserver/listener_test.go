package grpcserver

import (
	"context"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"
	"weak"

	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"bramblefall/internal/loopback"
	"bramblefall/internal/memory"
)

const testTimeout = 20 * time.Second

// heldService answers its calls once it is released.
type heldService struct {
	rlsv3.UnimplementedRateLimitServiceServer
	begun   chan struct{}
	release chan struct{}
}

func (s *heldService) ShouldRateLimit(ctx context.Context, _ *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	s.begun <- struct{}{}
	select {
	case <-s.release:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OK}, nil
}

// serve serves a service on a listener with the given room until the test ends, and returns its address.
func serve(t *testing.T, service rlsv3.RateLimitServiceServer, callBytes, room int, monitor *memory.Monitor) string {
	server := New(Limits{Calls: memory.NewBudget("calls", 1<<20), Monitor: monitor, CallBytes: callBytes, Streams: 16})
	rlsv3.RegisterRateLimitServiceServer(server, service)
	l, err := loopback.Listen()
	require.NoError(t, err)
	go func() { _ = server.Serve(Listen(l, room, monitor)) }()
	t.Cleanup(server.Stop)
	return l.Addr().String()
}

// call makes one call on a connection of its own.
func call(ctx context.Context, t *testing.T, addr string, request *rlsv3.RateLimitRequest) error {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = rlsv3.NewRateLimitServiceClient(conn).ShouldRateLimit(ctx, request)
	return err
}

// A caller for whom there is no room, since calls are in progress on all connections, is turned away at once and not left to wait,
// and no call in progress loses its answer. Once they have ended, there is room.
func TestCallerWithoutRoomIsTurnedAway(t *testing.T) {
	t.Parallel()
	const room = 4
	service := &heldService{begun: make(chan struct{}, room+1), release: make(chan struct{})}
	addr := serve(t, service, 4<<10, room, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for range room {
		calls.Go(func() { assert.NoError(t, call(ctx, t, addr, &rlsv3.RateLimitRequest{}), "a call in progress") })
	}
	for range room {
		<-service.begun
	}
	began := time.Now()
	require.Equal(t, codes.Unavailable, status.Code(call(ctx, t, addr, &rlsv3.RateLimitRequest{})))
	require.Less(t, time.Since(began), time.Second)
	close(service.release)
	calls.Wait()
	require.NoError(t, call(ctx, t, addr, &rlsv3.RateLimitRequest{}))
}

// The timer of a call whose message never came held the call and its connection for 2.4 s after both had ended.
func TestEndedConnectionIsFreedAtOnce(t *testing.T) {
	t.Parallel()
	const calls, within = 8, time.Second
	server := New(Limits{Calls: memory.NewBudget("calls", 1<<20), CallBytes: 4 << 10, Streams: calls})
	rlsv3.RegisterRateLimitServiceServer(server, &heldService{})
	l, err := loopback.Listen()
	require.NoError(t, err)
	gated := Listen(l, calls, nil)
	go func() { _ = server.Serve(gated) }()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	method := rlsv3.RateLimitService_ShouldRateLimit_FullMethodName
	for range calls {
		_, err := conn.NewStream(t.Context(), &grpc.StreamDesc{ClientStreams: true}, method)
		require.NoError(t, err)
	}
	var held weak.Pointer[gatedConn]
	require.Eventually(t, func() bool {
		for _, c := range gated.list() {
			held = weak.Make(c)
			return c.callsInProgress.Load() == calls
		}
		return false
	}, testTimeout, time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool {
		runtime.GC()
		return held.Value() == nil
	}, within, 10*time.Millisecond)
}

// pressedMonitor returns a monitor that finds memory short until the test ends.
func pressedMonitor(t *testing.T) *memory.Monitor {
	monitor := memory.NewMonitor(memory.Limits{Process: 1 << 40, Go: 1})
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	runtime.GC()
	monitor.NoteRead(1 << 20)
	require.True(t, monitor.Pressed())
	return monitor
}

// A connection that was closed to make room kept its place while its reader waited for memory, 0.4 s, and those who came meanwhile
// were turned away one by one.
func TestClosedConnectionDoesNotWaitForMemory(t *testing.T) {
	const sent, readerWaits = 40 << 10, 100 * time.Millisecond
	l, err := loopback.Listen()
	require.NoError(t, err)
	server := New(Limits{Calls: memory.NewBudget("calls", 1<<20), CallBytes: 64 << 10, Streams: 4})
	rlsv3.RegisterRateLimitServiceServer(server, &heldService{})
	gated := Listen(l, 4, pressedMonitor(t))
	go func() { _ = server.Serve(gated) }()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := conn.NewStream(t.Context(), &grpc.StreamDesc{ClientStreams: true}, rlsv3.RateLimitService_ShouldRateLimit_FullMethodName)
	require.NoError(t, err)
	for range 4 {
		require.NoError(t, stream.SendMsg(&rlsv3.RateLimitRequest{Domain: strings.Repeat("d", sent)}))
	}
	time.Sleep(readerWaits)
	list := gated.list()
	require.Len(t, list, 1)
	_ = list[0].shut()
	require.Eventually(t, func() bool { return len(gated.list()) == 0 }, evictionTimeout, time.Millisecond)
}

// While memory was short, each piece of a call waited for up to a second, and so did the handshake before it: a call of 60 KB took
// longer than its caller waits.
func TestCallIsReadInTimeWhileMemoryIsShort(t *testing.T) {
	const callerWaits = 4 * time.Second // the deadline of the deployments' reads
	monitor := pressedMonitor(t)
	service := &heldService{begun: make(chan struct{}, 1), release: make(chan struct{})}
	close(service.release)
	addr := serve(t, service, 64<<10, 4, monitor)
	ctx, cancel := context.WithTimeout(t.Context(), callerWaits)
	defer cancel()
	require.NoError(t, call(ctx, t, addr, &rlsv3.RateLimitRequest{Domain: strings.Repeat("d", 60000)}))
}

// Each newcomer waited in turn for a connection that the server was slow to end. Once one has waited in vain, those behind it are
// turned away at once, until there is room again.
func TestSlowEndKeepsOneNewcomerWaiting(t *testing.T) {
	t.Parallel()
	const newcomers = 20
	inner, err := loopback.Listen()
	require.NoError(t, err)
	l := Listen(inner, 1, nil)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, newcomers)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn // no server reads from it
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	var queued []net.Conn
	for range newcomers {
		queued = append(queued, dial())
	}
	began := time.Now()
	for _, conn := range queued {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err := conn.Read(make([]byte, 1))
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	require.Less(t, time.Since(began), 5*evictionTimeout)
	_ = first.Close() // as a server that ends it
	dial()
	select {
	case <-accepted:
	case <-time.After(testTimeout):
		require.Fail(t, "there is room again")
	}
}

// A caller of many small calls is read in smaller pieces, one of large calls in the largest.
func TestReadsBeginFewCalls(t *testing.T) {
	t.Parallel()
	c := &gatedConn{readBytes: bufferBytes}
	for range 10 {
		c.streams.opened = c.readBytes / 20 // calls of 20 bytes
		c.readFull = true
		c.adjustReadBytes(c.readBytes)
		require.LessOrEqual(t, c.readBytes, 2*(callsPerRead+1)*20)
		require.GreaterOrEqual(t, c.readBytes, minReadBytes)
	}
	for range 10 {
		c.streams.opened = 1
		c.readFull = true
		c.adjustReadBytes(c.readBytes)
	}
	require.Equal(t, bufferBytes, c.readBytes)
}
