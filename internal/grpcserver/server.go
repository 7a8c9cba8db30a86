// Package grpcserver makes the gRPC servers of the program. They read from a caller only while its calls can be held: calls are
// counted against a memory budget, those whose message does not come are ended, and a caller that does not read its answers is not
// read from.
package grpcserver

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"bramblefall/internal/crash"
	"bramblefall/internal/memory"
)

const (
	messageTimeout   = 2400 * time.Millisecond // for the whole message of a call
	handshakeTimeout = 2400 * time.Millisecond
	bufferBytes      = 4 << 10  // for reading and for writing, of each connection
	windowBytes      = 64 << 10 // that a caller may send on a stream ahead of its call; the library allows no less
	maxHeaderBytes   = 8 << 10  // of one call
	callWorkers      = 4        // goroutines that handle calls one after the other; a call that finds none free has its own
)

// Limits bound what a server holds.
type Limits struct {
	Calls       *memory.Budget  // of all calls in hand
	Monitor     *memory.Monitor // may be nil
	CallBytes   int             // of one message at the most, counted for each call in hand
	MaxFields   int             // of one message, with those of nested ones; 0: no bound
	Streams     uint32          // calls at once on one connection
	StreamCalls []string        // full names of methods whose calls stay open
}

// New returns a server with these limits. handle runs each unary call.
func New(l Limits) *grpc.Server {
	a := &admission{limits: l}
	var options []grpc.ServerOption
	if l.MaxFields > 0 {
		options = append(options, grpc.ForceServerCodecV2(newBoundedCodec(l.MaxFields)))
	}
	return grpc.NewServer(append(options,
		grpc.MaxRecvMsgSize(l.CallBytes),
		grpc.MaxConcurrentStreams(l.Streams),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.SharedWriteBuffer(true),
		grpc.NumStreamWorkers(callWorkers),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InTapHandle(a.admit),
		grpc.StatsHandler(connectionTagger{}),
		grpc.UnaryInterceptor(handleUnary),
		grpc.StreamInterceptor(handleStream),
	)...)
}

// admission decides which calls begin.
type admission struct{ limits Limits }

// connectionKey and messageTimerKey are the keys of what a call's context holds.
type (
	connectionKey   struct{}
	messageTimerKey struct{}
)

// admit lets a call begin if there is memory for it. The library calls it for one call of a connection at a time. The context that
// it returns ends if the call's message does not come in time.
func (a *admission) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	defer crash.Guard()
	c, _ := ctx.Value(connectionKey{}).(*gatedConn)
	size := int64(a.limits.CallBytes)
	if c == nil {
		return nil, status.Error(codes.Internal, "no connection")
	}
	err := a.refusal(ctx, c)
	c.noteBegun(err != nil)
	if err != nil {
		return nil, err
	}
	callCtx, timer := a.startMessageTimer(ctx, info.FullMethodName)
	a.limits.Calls.Add(size)
	c.callsInHand.Add(size)
	c.callsInProgress.Add(1)
	context.AfterFunc(ctx, func() {
		c.callsInProgress.Add(-1)
		a.limits.Calls.Add(-size)
		c.callsInHand.Add(-size)
		if timer != nil {
			timer.Stop() // it holds the call, and with it the connection
		}
	})
	return callCtx, nil
}

// startMessageTimer returns a call's context, which ends if its message does not come in time, and the timer for that; nil for a call
// that stays open.
func (a *admission) startMessageTimer(ctx context.Context, method string) (context.Context, *time.Timer) {
	if slices.Contains(a.limits.StreamCalls, method) {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := crash.AfterFunc(messageTimeout, cancel)
	return context.WithValue(ctx, messageTimerKey{}, timer), timer
}

// refusal returns why a call must not begin; nil if it may.
func (a *admission) refusal(ctx context.Context, c *gatedConn) error {
	switch {
	case ctx.Err() != nil: // the library would answer it without telling
		return status.Error(codes.DeadlineExceeded, context.DeadlineExceeded.Error())
	case !a.limits.Calls.Fits(c.callsInHand.Used(), int64(a.limits.CallBytes)):
		return status.Error(codes.ResourceExhausted, "too many calls are open")
	default:
		return nil
	}
}

// handleUnary handles a call whose message has come. It reports a panic before the process ends: the library starts the calls'
// goroutines, so crash.Go does not cover them.
func handleUnary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	defer crash.Guard()
	if timer, ok := ctx.Value(messageTimerKey{}).(*time.Timer); ok {
		timer.Stop()
	}
	if c, ok := ctx.Value(connectionKey{}).(*gatedConn); ok {
		c.unaryCalls.Add(1)
		defer c.unaryCalls.Add(-1)
	}
	return handle(ctx, req)
}

// handleStream handles a call that stays open. Its connection counts as idle if it has no other calls.
func handleStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	defer crash.Guard()
	if c, ok := stream.Context().Value(connectionKey{}).(*gatedConn); ok {
		c.openWatchers.Add(1)
		defer c.openWatchers.Add(-1)
	}
	return handle(server, stream)
}

// connectionTagger gives each call its connection, and tells the connection when the server begins and ends it.
type connectionTagger struct{}

// TagConn implements stats.Handler.
func (connectionTagger) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if addr, ok := info.RemoteAddr.(callerAddr); ok {
		return context.WithValue(ctx, connectionKey{}, addr.conn)
	}
	return ctx
}

// TagRPC implements stats.Handler.
func (connectionTagger) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (connectionTagger) HandleRPC(context.Context, stats.RPCStats) {}

// HandleConn implements stats.Handler.
func (connectionTagger) HandleConn(ctx context.Context, event stats.ConnStats) {
	c, ok := ctx.Value(connectionKey{}).(*gatedConn)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.ConnBegin:
		c.served.Store(true)
	case *stats.ConnEnd:
		c.end()
	}
}
