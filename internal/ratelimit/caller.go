package ratelimit

import (
	"container/list"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	entriesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/grpcserver"
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

const (
	maxAnswerBytes          = 64 << 10               // of an endpoint
	initialReconnectBackoff = 100 * time.Millisecond // of a connection; the library's default backoff goes up to two minutes
	maxReconnectBackoff     = 2 * time.Second
	connectTimeout          = time.Second
)

// Caller makes the tries of the upstream group of external rate limit services: each try is one call to the endpoint that the
// module chose.
//
// Any number of endpoints may be listed. An endpoint is connected on its first call. Beyond maxConnections the connection that has
// been idle longest is closed, since descriptors are scarce.
type Caller struct {
	post           func(core.Event)
	now            func() time.Duration // the reducer's clock
	maxConnections int                  // to endpoints

	mu        sync.Mutex
	endpoints map[logic.ServerID]*endpoint
	connected int
	idle      list.List // of *endpoint: connected ones without a call, longest idle first
	tries     map[core.Key]*pendingTry
}

type endpoint struct {
	id          logic.ServerID
	addr        string
	client      *grpc.ClientConn // nil while not connected
	inFlight    int              // number of calls
	idleElement *list.Element    // position in Caller.idle; nil if not connected or in use
	withdrawn   bool             // it drains or is removed: no new call may begin
	removed     bool             // it is dropped when its last call ends
}

// pendingTry is a try that has not ended.
type pendingTry struct {
	target *endpoint
	cancel context.CancelFunc
	reason atomic.Int32 // logic.Status for which it was abandoned; OK if it was not
	sent   atomic.Bool  // some of it may have been sent
}

// NewCaller returns a caller without endpoints that holds at most maxConnections connections. now is the reducer's clock.
func NewCaller(post func(core.Event), now func() time.Duration, maxConnections int) *Caller {
	return &Caller{post: post, now: now, maxConnections: maxConnections, endpoints: map[logic.ServerID]*endpoint{}, tries: map[core.Key]*pendingTry{}}
}

// SetAddress sets an endpoint's address.
func (c *Caller) SetAddress(id logic.ServerID, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[id]
	if e != nil && e.addr == addr {
		e.withdrawn, e.removed = false, false
		return
	}
	c.drop(id)
	c.endpoints[id] = &endpoint{id: id, addr: addr}
}

// Withdraw stops new calls to an endpoint that drains: calls that have not been sent never are. Those already sent may still be
// answered.
func (c *Caller) Withdraw(id logic.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.endpoints[id]; e != nil {
		c.withdraw(e)
	}
}

func (c *Caller) withdraw(e *endpoint) {
	e.withdrawn = true
	for _, p := range c.tries {
		if p.target == e {
			p.cancelUnsent(logic.Full) // the status that the endpoint's own refusal would give
		}
	}
}

// cancelUnsent cancels a call of which nothing has been sent.
func (p *pendingTry) cancelUnsent(reason logic.Status) {
	if !p.sent.Load() && p.reason.CompareAndSwap(int32(logic.OK), int32(reason)) {
		p.cancel()
	}
}

// connect creates an endpoint's connection if there is none. It returns LocalShortage, which blames no endpoint, if all
// connections are in use.
func (c *Caller) connect(e *endpoint) logic.Status {
	if e.client != nil {
		return logic.OK
	}
	if c.connected >= c.maxConnections && !c.evictIdle() {
		slog.Warn("no descriptor left for an endpoint's connection", "connected", c.connected)
		return logic.LocalShortage
	}
	// The library's retries are disabled: it may only repeat a call that the endpoint has declared never begun.
	client, err := grpc.NewClient("passthrough:///"+e.addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(), grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectTimeout,
			Backoff: backoff.Config{BaseDelay: initialReconnectBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectBackoff}}),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes)))
	if err != nil {
		slog.Warn("an endpoint's address cannot be used", "addr", e.addr, "err", err)
		return logic.ConnectFailed
	}
	e.client = client
	c.connected++
	e.idleElement = c.idle.PushBack(e)
	return logic.OK
}

// evictIdle closes the connection that has been idle longest. It reports whether there was one.
func (c *Caller) evictIdle() bool {
	oldest := c.idle.Front()
	if oldest != nil {
		c.disconnect(oldest.Value.(*endpoint))
	}
	return oldest != nil
}

// beginCall and endCall maintain the number of calls on an endpoint.
func (c *Caller) beginCall(e *endpoint) {
	e.inFlight++
	c.removeIdle(e)
}

func (c *Caller) endCall(e *endpoint) {
	if e.inFlight--; e.inFlight == 0 && e.client != nil {
		e.idleElement = c.idle.PushBack(e)
	}
	c.dropIfRemoved(e)
}

// removeIdle removes an endpoint from the idle ones, if it is among them.
func (c *Caller) removeIdle(e *endpoint) {
	if e.idleElement != nil {
		c.idle.Remove(e.idleElement)
		e.idleElement = nil
	}
}

func (c *Caller) disconnect(e *endpoint) {
	if client := e.client; client != nil {
		e.client = nil
		c.connected--
		c.removeIdle(e)
		crash.Go(func() { _ = client.Close() })
	}
}

// Remove drops an endpoint that its group no longer lists, once the calls already sent to it have ended.
func (c *Caller) Remove(id logic.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.endpoints[id]; e != nil {
		e.removed = true
		c.withdraw(e)
		c.dropIfRemoved(e)
	}
}

func (c *Caller) dropIfRemoved(e *endpoint) {
	if e.removed && e.inFlight == 0 && c.endpoints[e.id] == e {
		c.drop(e.id)
	}
}

func (c *Caller) drop(id logic.ServerID) {
	if e := c.endpoints[id]; e != nil {
		delete(c.endpoints, id)
		c.disconnect(e)
	}
}

// Try implements loop.Caller.
func (c *Caller) Try(t core.Try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	origin := t.Origin.(*check)
	switch grpcserver.CallerState(origin.callCtx) {
	case socket.PeerGone: // Guards against a call for a caller that has gone before the reducer was told.
		c.post(core.ClientGone{ID: t.ID})
		c.post(core.Outcome{Key: t.Key, Status: logic.Cancelled})
		return
	case socket.PeerUnknown: // it sends more than is read, and its end may be held back behind that
		c.post(core.Outcome{Key: t.Key, Status: logic.NotAttempted})
		return
	}
	e, ok := c.endpoints[t.Server]
	status := logic.ConnectFailed
	switch {
	case !ok:
	case e.withdrawn:
		status = logic.Full
	case t.SendUntil > 0 && c.now() >= t.SendUntil:
		status = logic.ExpiredUnsent
	default:
		status = c.connect(e)
	}
	if status != logic.OK {
		c.post(core.Outcome{Key: t.Key, Status: status})
		return
	}
	p := &pendingTry{target: e}
	ctx, cancel := context.WithTimeout(context.WithValue(origin.callCtx, pendingTryKey{}, p), t.Timeout) // ends with the caller's context
	p.cancel = cancel
	c.tries[t.Key] = p
	origin.tried.Store(true)
	c.beginCall(e)
	client := e.client
	crash.Go(func() { c.call(ctx, e, client, origin, t.Key, p) })
	if t.SendUntil > 0 { // a connection that comes up late must not send a repeat that endpoints no longer deduplicate
		window := crash.AfterFunc(t.SendUntil-c.now(), func() { p.cancelUnsent(logic.Timeout) })
		context.AfterFunc(ctx, func() { window.Stop() })
	}
}

func (c *Caller) call(ctx context.Context, e *endpoint, client *grpc.ClientConn, origin *check, key core.Key, p *pendingTry) {
	defer p.cancel()
	answer, err := rlsv3.NewRateLimitServiceClient(client).ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{
		Domain: origin.domain, Descriptors: []*entriesv3.RateLimitDescriptor{origin.descriptor},
		HitsAddend: uint32(origin.Units)})
	c.mu.Lock()
	delete(c.tries, key)
	c.endCall(e)
	c.mu.Unlock()
	o := core.Outcome{Key: key, Status: p.outcome(err), Value: answer}
	if code := answer.GetOverallCode(); err == nil && code != rlsv3.RateLimitResponse_OK &&
		code != rlsv3.RateLimitResponse_OVER_LIMIT {
		o.Status = logic.Error // no verdict: only this call has failed
	}
	if p.reason.Load() == int32(logic.OK) && status.Code(err) == codes.Canceled && origin.callCtx.Err() != nil {
		c.post(core.ClientGone{ID: key.ID}) // posted first, so that the module does not retry the request
		o.Status = logic.Cancelled
	}
	c.post(o)
}

// outcome maps the end of a call to a status. Only a call that was certainly never sent is reported as not run.
func (p *pendingTry) outcome(err error) logic.Status {
	if err == nil {
		return logic.OK
	}
	switch reason := logic.Status(p.reason.Load()); {
	case reason == logic.Timeout && !p.sent.Load():
		return logic.ConnectFailed
	case reason == logic.Full && p.sent.Load(): // sent just as its endpoint was withdrawn
		return logic.Reset
	case reason != logic.OK:
		return reason
	}
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable, codes.Canceled:
		if !p.sent.Load() {
			return logic.ConnectFailed
		}
		if status.Code(err) == codes.DeadlineExceeded {
			return logic.Timeout
		}
		return logic.Reset
	}
	return logic.Error
}

// Abandon implements loop.Caller: it cancels the call, whose outcome follows.
func (c *Caller) Abandon(a core.Abandon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.tries[a.Key]; p != nil {
		p.reason.Store(int32(a.Reason))
		p.cancel()
	}
}

// CloseIdle implements loop.Caller. It does nothing: the library keeps one connection per endpoint and closes it when idle.
func (c *Caller) CloseIdle(logic.ServerID) {}

// Close closes all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.endpoints {
		c.drop(id)
	}
}

type pendingTryKey struct{}

// sentHandler records when a call's first bytes are handed to a connection.
type sentHandler struct{}

func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); ok {
		if p, ok := ctx.Value(pendingTryKey{}).(*pendingTry); ok {
			p.sent.Store(true)
		}
	}
}

func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
