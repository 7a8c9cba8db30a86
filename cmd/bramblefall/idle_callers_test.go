package main

import (
	"bytes"
	"context"
	bigendian "encoding/binary"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

const (
	idleCallers       = 200
	idleSettled       = 3 * time.Second // after which half-sent calls have been ended, too
	callDeadline      = 4 * time.Second // of balance-read
	healthWatchPath   = "/grpc.health.v1.Health/Watch"
	grpcPrefixBytes   = 5 // before a message
	idleReconnectWait = 100 * time.Millisecond
)

// rawCaller is an HTTP/2 connection to a gRPC server, whose frames a test sends and reads itself.
type rawCaller struct {
	conn   net.Conn
	framer *http2.Framer
	stream uint32 // of the last call
}

func dialRaw(network, addr string) (*rawCaller, error) {
	conn, err := net.Dial(network, addr)
	if err != nil {
		return nil, err
	}
	c := &rawCaller{conn: conn, framer: http2.NewFramer(conn, conn)}
	if _, err := conn.Write([]byte(http2.ClientPreface)); err != nil {
		return nil, err
	}
	return c, c.framer.WriteSettings()
}

// begin writes the headers of a call.
func (c *rawCaller) begin(path string) error {
	c.stream = (c.stream + 1) | 1
	return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: c.stream, BlockFragment: callHeaderBlock(path), EndHeaders: true})
}

func callHeaderBlock(path string) []byte {
	var block bytes.Buffer
	fields := hpack.NewEncoder(&block)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", path}, {":authority", "limiter"},
		{"content-type", "application/grpc"}, {"te", "trailers"}} {
		_ = fields.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	return block.Bytes()
}

// call writes a whole call.
func (c *rawCaller) call(path string, message proto.Message) error {
	raw, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	if err := c.begin(path); err != nil {
		return err
	}
	return c.framer.WriteData(c.stream, true, append(bigendian.BigEndian.AppendUint32([]byte{0}, uint32(len(raw))), raw...))
}

// readUntil reads frames, and acknowledges settings and pings, until found returns true or the connection ends.
func (c *rawCaller) readUntil(found func(http2.Frame) bool) error {
	for {
		f, err := c.framer.ReadFrame()
		if err != nil || found(f) {
			return err
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				err = c.framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				err = c.framer.WritePing(true, f.Data)
			}
		}
		if err != nil {
			return err
		}
	}
}

func never(http2.Frame) bool { return false }

// streamEnded reports whether a frame ends a call with its status.
func streamEnded(f http2.Frame) bool {
	h, ok := f.(*http2.HeadersFrame)
	return ok && h.StreamEnded()
}

// idleCallerKinds are what callers do before they rest.
func idleCallerKinds() map[string]func(*rawCaller) error {
	return map[string]func(*rawCaller) error{
		"nothing": func(*rawCaller) error { return nil },
		"a call before": func(c *rawCaller) error {
			if err := c.call(checkPath, rateLimitRequest(firmDescriptor("a1"))); err != nil {
				return err
			}
			return c.readUntil(streamEnded)
		},
		"a watch of health": func(c *rawCaller) error {
			return c.call(healthWatchPath, &rlsv3.RateLimitRequest{}) // an empty message
		},
		"the headers of a call": func(c *rawCaller) error { return c.begin(checkPath) },
		"half of the headers": func(c *rawCaller) error {
			block := callHeaderBlock(checkPath)
			return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block[:len(block)/2]})
		},
		"half a frame": func(c *rawCaller) error {
			_, err := c.conn.Write([]byte{0, 0, 100, byte(http2.FrameHeaders), 0, 0, 0, 0, 1, 'h'})
			return err
		},
	}
}

// keepIdleCallers holds callers' connections that come again idleReconnectWait after they end.
func keepIdleCallers(t *testing.T, network, addr string, callers int, first func(*rawCaller) error) {
	keepCallers(t, network, addr, callers, idleReconnectWait, first)
}

// keepCallers holds callers' connections until the test ends, on which each has done what first does. They come again when
// their connections end. It returns once they are connected.
func keepCallers(t *testing.T, network, addr string, callers int, reconnectWait time.Duration, first func(*rawCaller) error) {
	stop := make(chan struct{})
	var connected, ended sync.WaitGroup
	t.Cleanup(func() { close(stop); ended.Wait() })
	for range callers {
		connected.Add(1)
		once := sync.OnceFunc(connected.Done)
		ended.Go(func() {
			for {
				if c, err := dialRaw(network, addr); err == nil {
					over := make(chan struct{})
					go func() {
						select {
						case <-stop:
						case <-over:
						}
						_ = c.conn.Close()
					}()
					_ = c.conn.SetReadDeadline(time.Now().Add(idleSettled)) // while there is no room, an answer may not come
					err = first(c)
					_ = c.conn.SetReadDeadline(time.Time{})
					once()
					if err == nil {
						_ = c.readUntil(never)
					}
					close(over)
				}
				once()
				select {
				case <-stop:
					return
				case <-time.After(reconnectWait):
				}
			}
		})
	}
	connected.Wait()
}

// 200 idle callers held all places of the gRPC front, and the calls of others were neither answered nor their connections closed,
// for as long as the idle ones stayed. Each call gets a status in its time; beside callers that only rest it gets a verdict.
func TestIdleCallersLeaveRoomForOthers(t *testing.T) {
	t.Parallel()
	for name, first := range idleCallerKinds() {
		for _, memoryMB := range []int{smallMemoryCapMB, 192} { // 32 places, and 128
			t.Run(fmt.Sprintf("%s, %d MB", name, memoryMB), func(t *testing.T) {
				t.Parallel()
				l := start(t, fixture{rateLimitFile: rateLimitFile(t), memoryMB: memoryMB, maxDescriptors: 1024})
				keepIdleCallers(t, "tcp", l.grpcAddr, idleCallers, first)
				time.Sleep(idleSettled)
				var callers sync.WaitGroup
				for n := range 6 {
					callers.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), callDeadline)
						defer cancel()
						client := l.persistentClient()
						answer, err := client.ShouldRateLimit(ctx, rateLimitRequest(firmDescriptor("a1")), grpc.WaitForReady(true))
						assert.NotEqual(t, codes.DeadlineExceeded, status.Code(err), "caller %d: %v", n, err)
						if name == "nothing" || name == "a call before" {
							if status.Code(err) == codes.ResourceExhausted { // those displaced call again, too
								answer, err = askUntilVerdict(ctx, client)
							}
							assert.NoError(t, err, "caller %d", n)
							assert.Equal(t, verdictOK, answer.GetOverallCode())
						}
					})
				}
				callers.Wait()
				assert.Less(t, l.memoryMB("VmHWM"), memoryMB)
			})
		}
	}
}

// Callers who came again as soon as they were displaced came faster than the library ended the connections of those displaced: 32
// places held the memory of hundreds, and the limit was passed.
func TestRushOfCallersStaysUnderMemoryLimit(t *testing.T) {
	t.Parallel()
	const callers, reconnectWait, duration = 1000, 2 * time.Millisecond, 3 * time.Second
	l := start(t, fixture{rateLimitFile: rateLimitFile(t), memoryMB: smallMemoryCapMB, maxDescriptors: 1024})
	keepCallers(t, "tcp", l.grpcAddr, callers, reconnectWait, idleCallerKinds()["the headers of a call"])
	time.Sleep(duration)
	require.Less(t, l.memoryMB("VmHWM"), smallMemoryCapMB)
	require.Greater(t, l.memoryMB("VmHWM"), 0)
}

// askUntilVerdict makes a call again after one that was refused for want of room, until one is not or ctx ends.
func askUntilVerdict(ctx context.Context, client rlsv3.RateLimitServiceClient) (*rlsv3.RateLimitResponse, error) {
	for {
		time.Sleep(idleReconnectWait)
		answer, err := client.ShouldRateLimit(ctx, rateLimitRequest(firmDescriptor("a1")), grpc.WaitForReady(true))
		if status.Code(err) != codes.ResourceExhausted {
			return answer, err
		}
	}
}

// persistentClient returns a client that connects again soon after its connection was closed, as one may be that has just been opened.
func (l *limiter) persistentClient() rlsv3.RateLimitServiceClient {
	often := grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: idleReconnectWait, Multiplier: 1, MaxDelay: idleReconnectWait}, MinConnectTimeout: callDeadline}
	conn, err := grpc.NewClient(l.grpcAddr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithConnectParams(often))
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = conn.Close() })
	return rlsv3.NewRateLimitServiceClient(conn)
}

// An idle caller that makes room is told up to which call its calls were taken, so that it can make one that crosses the close again.
func TestEvictedCallerIsToldItsLastCall(t *testing.T) {
	t.Parallel()
	l := start(t, fixture{rateLimitFile: rateLimitFile(t), maxDescriptors: 1024})
	c, err := dialRaw("tcp", l.grpcAddr)
	require.NoError(t, err)
	defer c.conn.Close()
	for range 3 {
		require.NoError(t, c.call(checkPath, rateLimitRequest(firmDescriptor("a1"))))
		require.NoError(t, c.readUntil(streamEnded))
	}
	keepIdleCallers(t, "tcp", l.grpcAddr, idleCallers, func(c *rawCaller) error {
		_ = c.call(checkPath, rateLimitRequest(firmDescriptor("a1")))
		return c.readUntil(streamEnded)
	})
	_ = c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	var last uint32
	require.NoError(t, c.readUntil(func(f http2.Frame) bool {
		goAway, ok := f.(*http2.GoAwayFrame)
		if ok {
			last = goAway.LastStreamID
		}
		return ok
	}))
	require.Equal(t, c.stream, last)
}

// Callers that stop in the middle of a frame are closed within the 3 s that such clients are owed, but not while a call of theirs
// is in progress.
func TestCallerThatStopsInsideFrameIsClosed(t *testing.T) {
	t.Parallel()
	const owedWithin = 3 * time.Second
	release := make(chan struct{})
	o := &externalService{answer: func(ctx context.Context, r *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
		<-release
		return respondWith(verdictOK)(ctx, r)
	}}
	l := start(t, fixture{rateLimitFile: rateLimitFile(t, o.listen(t))})
	for _, name := range []string{"half of the headers", "half a frame"} {
		c, err := dialRaw("tcp", l.grpcAddr)
		require.NoError(t, err)
		defer c.conn.Close()
		require.NoError(t, idleCallerKinds()[name](c))
		_ = c.conn.SetReadDeadline(time.Now().Add(owedWithin))
		err = c.readUntil(never)
		require.Error(t, err)
		require.False(t, os.IsTimeout(err), "%s: the connection stays open", name)
	}
	c, err := dialRaw("tcp", l.grpcAddr)
	require.NoError(t, err)
	defer c.conn.Close()
	require.NoError(t, c.call(checkPath, rateLimitRequest(firmDescriptor("a1"))))
	_, err = c.conn.Write([]byte{0, 0, 100, byte(http2.FrameHeaders), 0, 0, 0, 0, 3, 'h'})
	require.NoError(t, err)
	time.AfterFunc(owedWithin, func() { close(release) })
	require.NoError(t, c.readUntil(streamEnded), "the call that was in progress has lost its answer")
}

// Idle callers held all places of the admin service, and operators' commands were not answered.
func TestIdleCallersLeaveRoomForOperators(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"nothing", "half of the headers", "half a frame"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, socket, _ := startWithAdmin(t, t.TempDir(), "")
			keepIdleCallers(t, "unix", socket, 40, idleCallerKinds()[name])
			time.Sleep(idleSettled)
			for range 5 {
				require.Eventually(t, func() bool { // one that comes in a rush of others may be turned away
					out, err := exec.Command(binary, "plans", "list", "--socket", socket).CombinedOutput()
					return err == nil && strings.Contains(string(out), "in force")
				}, callDeadline, time.Millisecond)
			}
		})
	}
}
