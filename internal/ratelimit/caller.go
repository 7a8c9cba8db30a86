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
	"bramblefall/logic"
)

const (
	mostAnswer   = 64 << 10
	firstRetry   = 100 * time.Millisecond // of a connection; the library's own goes up to two minutes
	lastRetry    = 2 * time.Second
	connectLimit = time.Second
)

// Caller makes the tries of the group of others' rate limit services: each is one call to the endpoint that the
// module chose.
//
// Any number of endpoints may be listed. One is connected when its first call comes; past so many connections the one
// that has been unused longest is given up, since descriptors are few.
type Caller struct {
	post func(core.Event)
	now  func() time.Duration // the reducer's clock
	most int                  // connections

	mu        sync.Mutex
	endpoints map[logic.ServerID]*endpoint
	connected int
	unused    list.List // of *endpoint: connected ones without a call, the one unused longest at the front
	tries     map[core.Key]*pending
}

type endpoint struct {
	id        logic.ServerID
	addr      string
	client    *grpc.ClientConn // nil: none is needed yet
	out       int              // calls on it
	rests     *list.Element    // among the unused ones; nil: it is not connected, or has calls
	withdrawn bool             // it drains or is removed: no call begins any more
	removed   bool             // it is forgotten when its last call ends
}

// pending is a try that is out.
type pending struct {
	at     *endpoint
	cancel context.CancelFunc
	reason atomic.Int32 // logic.Status for which it was abandoned; OK: it was not
	sent   atomic.Bool  // something of it may have left
}

// NewCaller makes a caller without endpoints that holds so many connections at most. Now is the reducer's clock.
func NewCaller(post func(core.Event), now func() time.Duration, most int) *Caller {
	return &Caller{post: post, now: now, most: most, endpoints: map[logic.ServerID]*endpoint{}, tries: map[core.Key]*pending{}}
}

// SetAddress says where an endpoint listens.
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

// Withdraw ends what is new to an endpoint that drains: calls of which nothing has left never do. What it has got it may still
// answer.
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
		if p.at == e {
			p.withhold(logic.Full) // as the endpoint itself would turn it away
		}
	}
}

// withhold ends a call of which nothing has left.
func (p *pending) withhold(reason logic.Status) {
	if !p.sent.Load() && p.reason.CompareAndSwap(int32(logic.OK), int32(reason)) {
		p.cancel()
	}
}

// connect makes an endpoint's connection where there is none. Unsent, which blames no endpoint, if every one is in use.
func (c *Caller) connect(e *endpoint) logic.Status {
	if e.client != nil {
		return logic.OK
	}
	if c.connected >= c.most && !c.evict() {
		slog.Warn("no descriptor left for an endpoint's connection", "connected", c.connected)
		return logic.Unsent
	}
	// No retries of the library's own: it may only redo a call that the endpoint has declared never begun.
	client, err := grpc.NewClient("passthrough:///"+e.addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(), grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectLimit,
			Backoff: backoff.Config{BaseDelay: firstRetry, Multiplier: 2, Jitter: 0.2, MaxDelay: lastRetry}}),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostAnswer)))
	if err != nil {
		slog.Warn("an endpoint's address cannot be used", "addr", e.addr, "err", err)
		return logic.ConnectFailed
	}
	e.client = client
	c.connected++
	e.rests = c.unused.PushBack(e)
	return logic.OK
}

// evict gives up the connection that has been unused longest.
func (c *Caller) evict() bool {
	oldest := c.unused.Front()
	if oldest != nil {
		c.hangUp(oldest.Value.(*endpoint))
	}
	return oldest != nil
}

// begin and end count the calls on an endpoint.
func (c *Caller) begin(e *endpoint) {
	e.out++
	c.wake(e)
}

func (c *Caller) end(e *endpoint) {
	if e.out--; e.out == 0 && e.client != nil {
		e.rests = c.unused.PushBack(e)
	}
	c.forgetUnused(e)
}

// wake takes an endpoint from the unused ones, if it is among them.
func (c *Caller) wake(e *endpoint) {
	if e.rests != nil {
		c.unused.Remove(e.rests)
		e.rests = nil
	}
}

func (c *Caller) hangUp(e *endpoint) {
	if client := e.client; client != nil {
		e.client = nil
		c.connected--
		c.wake(e)
		crash.Go(func() { _ = client.Close() })
	}
}

// Remove forgets an endpoint that its group no longer names, once it has answered what it has got.
func (c *Caller) Remove(id logic.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.endpoints[id]; e != nil {
		e.removed = true
		c.withdraw(e)
		c.forgetUnused(e)
	}
}

func (c *Caller) forgetUnused(e *endpoint) {
	if e.removed && e.out == 0 && c.endpoints[e.id] == e {
		c.drop(e.id)
	}
}

func (c *Caller) drop(id logic.ServerID) {
	if e := c.endpoints[id]; e != nil {
		delete(c.endpoints, id)
		c.hangUp(e)
	}
}

// Try implements loop.Caller.
func (c *Caller) Try(t core.Try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	origin := t.Origin.(*check)
	if origin.call.Err() != nil { // Guards against a call for a caller that has gone while the reducer has not heard of it yet.
		c.post(core.ClientGone{ID: t.ID})
		c.post(core.Outcome{Key: t.Key, Status: logic.Cancelled})
		return
	}
	e, ok := c.endpoints[t.Server]
	status := logic.ConnectFailed
	switch {
	case !ok:
	case e.withdrawn:
		status = logic.Full
	case t.Until > 0 && c.now() >= t.Until:
		status = logic.Late
	default:
		status = c.connect(e)
	}
	if status != logic.OK {
		c.post(core.Outcome{Key: t.Key, Status: status})
		return
	}
	p := &pending{at: e}
	ctx, cancel := context.WithTimeout(context.WithValue(origin.call, pendingKey{}, p), t.Wait) // it ends with the caller's
	p.cancel = cancel
	c.tries[t.Key] = p
	origin.tried.Store(true)
	c.begin(e)
	client := e.client
	crash.Go(func() { c.call(ctx, e, client, origin, t.Key, p) })
	if t.Until > 0 { // a connection that is of use later must not bring a repeat that nobody drops any more
		window := crash.AfterFunc(t.Until-c.now(), func() { p.withhold(logic.Timeout) })
		context.AfterFunc(ctx, func() { window.Stop() })
	}
}

func (c *Caller) call(ctx context.Context, e *endpoint, client *grpc.ClientConn, origin *check, key core.Key, p *pending) {
	defer p.cancel()
	answer, err := rlsv3.NewRateLimitServiceClient(client).ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{
		Domain: origin.domain, Descriptors: []*entriesv3.RateLimitDescriptor{origin.descriptor},
		HitsAddend: uint32(origin.Units)})
	c.mu.Lock()
	delete(c.tries, key)
	c.end(e)
	c.mu.Unlock()
	o := core.Outcome{Key: key, Status: p.outcome(err), Value: answer}
	if code := answer.GetOverallCode(); err == nil && code != rlsv3.RateLimitResponse_OK &&
		code != rlsv3.RateLimitResponse_OVER_LIMIT {
		o.Status = logic.Error // no verdict: this call alone has failed
	}
	if p.reason.Load() == int32(logic.OK) && status.Code(err) == codes.Canceled && origin.call.Err() != nil {
		c.post(core.ClientGone{ID: key.ID}) // first: the module must not try it again
		o.Status = logic.Cancelled
	}
	c.post(o)
}

// outcome is exact: only what certainly never left has never run.
func (p *pending) outcome(err error) logic.Status {
	if err == nil {
		return logic.OK
	}
	switch reason := logic.Status(p.reason.Load()); {
	case reason == logic.Timeout && !p.sent.Load():
		return logic.ConnectFailed
	case reason == logic.Full && p.sent.Load(): // it left in the moment in which it was withdrawn
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

// Abandon implements loop.Caller: it ends the call, and its outcome follows.
func (c *Caller) Abandon(a core.Abandon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.tries[a.Key]; p != nil {
		p.reason.Store(int32(a.Reason))
		p.cancel()
	}
}

// CloseIdle implements loop.Caller: the library keeps one connection and closes it when idle.
func (c *Caller) CloseIdle(logic.ServerID) {}

// Close ends all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.endpoints {
		c.drop(id)
	}
}

type pendingKey struct{}

// sentHandler notes when a call's first bytes are handed to a connection.
type sentHandler struct{}

func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); ok {
		if p, ok := ctx.Value(pendingKey{}).(*pending); ok {
			p.sent.Store(true)
		}
	}
}

func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
