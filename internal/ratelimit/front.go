// Package ratelimit implements Envoy's rate limit service: the front that answers proxies' calls, and the caller that queries
// external services of this kind. It makes no decisions: verdicts come from the module or from those services.
package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	entriesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/grpcserver"
	"bramblefall/internal/memory"
	"bramblefall/internal/plans"
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

// ExternalGroup is the upstream group of external rate limit services. The platform's servers are group 0.
const ExternalGroup = 1

const (
	maxDescriptors     = 16 // a call; each becomes a request context
	maxCallBytes       = 64 << 10
	maxCallFields      = 1024     // of a call's message, with those of its descriptors and their entries
	connectionBytes    = 48 << 10 // that a caller's connection takes
	minConnections     = 32
	maxUnits           = 1e6                    // of one request
	maxConcurrentCalls = 1024                   // on one connection
	drainGrace         = 450 * time.Millisecond // until callers have noticed a planned restart
	deadlineMargin     = 25 * time.Millisecond  // the module gives up a request less than this before its deadline
	overloadRetryAfter = time.Second            // told to callers where too many requests are open
)

// SplitConnections returns how many callers' connections the front may hold, and how many connections the front's Caller may
// hold to endpoints, in a program that may have total descriptors.
func SplitConnections(total int) (callers, endpoints int) {
	return max(total/8, 128), max(total/16, 64)
}

// Owner receives the front's events.
type Owner interface {
	ID() uint64
	Open() int
	Post(core.Event)
}

// Front serves Envoy's rate limit service.
type Front struct {
	rlsv3.UnimplementedRateLimitServiceServer
	owner          Owner
	settings       logic.Settings
	domain         string
	callsOthers    bool // an external service decides on what is within the quotas
	classes        map[string]int
	board          *plans.TierStore
	maxConnections int // of callers
	memory         Memory
	server         *grpc.Server
	listener       *grpcserver.Listener
	health         *health.Server // proxies query it before they send calls here
}

// Memory is what bounds the bytes that the front holds.
type Memory struct {
	Calls   *memory.Budget
	Monitor *memory.Monitor
}

// NewFront returns a front for the callers of a domain ("": any). With callsOthers, each request context within its quota becomes a
// call to the group of external services; without, the module's decision is the verdict. The front holds at most
// maxConnections connections of callers.
func NewFront(settings logic.Settings, owner Owner, board *plans.TierStore, domain string, callsOthers bool, maxConnections int, mem Memory) *Front {
	maxConnections = min(maxConnections, max(minConnections, int(mem.Calls.Limit()/connectionBytes)))
	f := &Front{owner: owner, settings: settings, domain: domain, callsOthers: callsOthers, classes: map[string]int{}, board: board,
		maxConnections: maxConnections, memory: mem}
	for k, c := range settings.Classes {
		f.classes[c.Name] = k
	}
	f.server = grpcserver.New(grpcserver.Limits{Calls: mem.Calls, Monitor: mem.Monitor, CallBytes: maxCallBytes, MaxFields: maxCallFields, Streams: maxConcurrentCalls,
		StreamCalls: []string{healthpb.Health_Watch_FullMethodName}})
	rlsv3.RegisterRateLimitServiceServer(f.server, f)
	f.health = health.NewServer()
	healthpb.RegisterHealthServer(f.server, f.health)
	return f
}

// Listen opens addr and serves it until Drain. It returns the address it listens on.
func (f *Front) Listen(addr string) (net.Addr, error) {
	l, err := socket.RetryListen(func() (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return nil, fmt.Errorf("listen for rate limit calls: %w", err)
	}
	f.listener = grpcserver.Listen(socket.RetryAccept(l), f.maxConnections, f.memory.Monitor)
	crash.Go(func() { _ = f.server.Serve(f.listener) })
	return l.Addr(), nil
}

// Drain ends the front at a planned restart. Health checks fail at once, but callers notice late, so calls are served for
// drainGrace longer, and so are those of callers who have connected by then. Then no new call is accepted, and Drain waits for those
// in progress.
func (f *Front) Drain() {
	f.health.Shutdown()
	time.Sleep(drainGrace)
	f.listener.AwaitAccepted(drainGrace)
	f.server.GracefulStop()
}

// Stop cancels the calls that Drain waits for.
func (f *Front) Stop() { f.server.Stop() }

// check is the request context of one descriptor.
type check struct {
	logic.Request
	callCtx    context.Context // ends when the caller has gone
	index      int             // of the descriptor in the call
	domain     string
	descriptor *entriesv3.RateLimitDescriptor
	deadline   time.Time
	tried      atomic.Bool // a call to an external service has been made
	verdicts   chan<- verdict
}

// verdict ends a check. Sending it never blocks: the channel has capacity for each check of the call.
type verdict struct {
	*check
	answer     *rlsv3.RateLimitResponse // of an external service
	retryAfter time.Duration
	kind       kind
}

type kind uint8

const (
	served kind = iota
	admitted
	rejected
	failed
)

// Served implements core.Origin.
func (c *check) Served(value any) {
	c.verdicts <- verdict{check: c, answer: value.(*rlsv3.RateLimitResponse), kind: served}
}

// Admitted implements core.Origin.
func (c *check) Admitted() { c.verdicts <- verdict{check: c, kind: admitted} }

// Rejected implements core.Origin.
func (c *check) Rejected(retryAfter time.Duration) {
	c.verdicts <- verdict{check: c, retryAfter: retryAfter, kind: rejected}
}

// Failed implements core.Origin.
func (c *check) Failed() { c.verdicts <- verdict{check: c, kind: failed} }

// ShouldRateLimit implements Envoy's RateLimitService. Each descriptor counts separately; the call is over limit if one of them
// is, and those within their quotas have still consumed their units.
func (f *Front) ShouldRateLimit(ctx context.Context, req *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	verdicts := make(chan verdict, len(req.GetDescriptors()))
	checks, err := f.parseCall(ctx, req, verdicts)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if f.owner.Open() >= maxConcurrentCalls*4 { // bounds memory under overload; the module does not see these calls
		return f.overLimit(len(checks), overloadRetryAfter), nil
	}
	open := map[uint64]struct{}{}
	defer func() { // however the call ends, its open request contexts are released
		for id := range open {
			f.owner.Post(core.ClientGone{ID: id})
		}
	}()
	deadline, limited := ctx.Deadline()
	for _, c := range checks {
		if limited { // otherwise the class's deadline applies
			c.TTL = min(c.TTL, time.Until(deadline))
		}
		c.deadline = time.Now().Add(c.TTL)
		c.ID = f.owner.ID()
		open[c.ID] = struct{}{}
		f.owner.Post(core.RequestContext{Request: c.Request, Origin: c})
	}
	answer := &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OK,
		Statuses: make([]*rlsv3.RateLimitResponse_DescriptorStatus, len(checks))}
	var retryAfter time.Duration
	for len(open) > 0 {
		select {
		case v := <-verdicts:
			delete(open, v.ID)
			if err := f.addVerdict(answer, v); err != nil {
				return nil, err
			}
			retryAfter = max(retryAfter, v.retryAfter)
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
	if retryAfter > 0 {
		answer.ResponseHeadersToAdd = append(answer.ResponseHeadersToAdd, retryAfterHeader(retryAfter))
	}
	return answer, nil
}

// addVerdict adds one verdict to the answer.
func (f *Front) addVerdict(answer *rlsv3.RateLimitResponse, v verdict) error {
	s := &rlsv3.RateLimitResponse_DescriptorStatus{Code: rlsv3.RateLimitResponse_OK, CurrentLimit: f.currentLimit(v.Plan)}
	// The module gives up shortly before the deadline. If an external service had the request until then, its silence ended the call,
	// not the quota. Likewise, a rejection without a retry time means that the wait was too short for anything.
	atEnd := v.tried.Load() && v.kind != served && time.Until(v.deadline) < deadlineMargin
	if atEnd || v.kind == rejected && v.retryAfter == 0 && f.settings.RetryAfter {
		return status.Error(codes.DeadlineExceeded, "no answer in time")
	}
	switch v.kind {
	case failed:
		return status.Error(codes.Unavailable, "the check failed")
	case rejected:
		s.Code, s.DurationUntilReset = rlsv3.RateLimitResponse_OVER_LIMIT, durationpb.New(v.retryAfter)
	case served:
		answer.ResponseHeadersToAdd = append(answer.ResponseHeadersToAdd, v.answer.GetResponseHeadersToAdd()...)
		answer.RequestHeadersToAdd = append(answer.RequestHeadersToAdd, v.answer.GetRequestHeadersToAdd()...)
		if len(v.answer.GetStatuses()) == 1 {
			s = v.answer.GetStatuses()[0]
		}
		s.Code = v.answer.GetOverallCode()
	}
	answer.Statuses[v.index] = s
	if s.Code == rlsv3.RateLimitResponse_OVER_LIMIT {
		answer.OverallCode = s.Code
	}
	return nil
}

func retryAfterHeader(after time.Duration) *corev3.HeaderValue {
	seconds := int64((after + time.Second - 1) / time.Second)
	return &corev3.HeaderValue{Key: "retry-after", Value: strconv.FormatInt(seconds, 10)}
}

func (f *Front) overLimit(n int, after time.Duration) *rlsv3.RateLimitResponse {
	answer := &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OVER_LIMIT,
		ResponseHeadersToAdd: []*corev3.HeaderValue{retryAfterHeader(after)}}
	for range n {
		answer.Statuses = append(answer.Statuses, &rlsv3.RateLimitResponse_DescriptorStatus{
			Code: answer.OverallCode, DurationUntilReset: durationpb.New(after)})
	}
	return answer
}

// currentLimit returns the plan's quota. Rates may be fractions of a unit a second, so it is given per minute.
func (f *Front) currentLimit(plan int) *rlsv3.RateLimitResponse_RateLimit {
	all := f.board.Load().Plans
	if plan >= len(all) || all[plan].Rate <= 0 { // the plan may have been removed since the call came
		return nil
	}
	p := all[plan]
	return &rlsv3.RateLimitResponse_RateLimit{Name: p.Name, RequestsPerUnit: uint32(math.Round(60 * p.Rate)),
		Unit: rlsv3.RateLimitResponse_RateLimit_MINUTE}
}

// parseCall validates a call and converts its descriptors to checks.
func (f *Front) parseCall(ctx context.Context, req *rlsv3.RateLimitRequest, verdicts chan<- verdict) ([]*check, error) {
	n := len(req.GetDescriptors())
	if n == 0 || n > maxDescriptors {
		return nil, fmt.Errorf("a call takes 1 to %d descriptors", maxDescriptors)
	}
	if f.domain != "" && req.GetDomain() != f.domain {
		return nil, fmt.Errorf("unknown domain %q", req.GetDomain())
	}
	var all []*check
	for k, d := range req.GetDescriptors() {
		c := &check{callCtx: ctx, index: k, domain: req.GetDomain(), descriptor: d, verdicts: verdicts}
		c.Units = float64(max(req.GetHitsAddend(), 1)) // absent means 1
		if err := f.parseDescriptor(c); err != nil {
			return nil, fmt.Errorf("descriptor %d: %w", k, err)
		}
		all = append(all, c)
	}
	return all, nil
}

// parseDescriptor fills in a check's request from its descriptor's entries. Unknown keys are ignored: proxies add their own.
func (f *Front) parseDescriptor(c *check) (err error) {
	if c.descriptor.GetLimit() != nil || c.descriptor.GetIsNegativeHits() {
		return errors.New("quotas cannot be overridden or given back by a caller")
	}
	if own := c.descriptor.GetHitsAddend(); own != nil {
		c.Units = float64(own.GetValue())
	}
	if c.Units > maxUnits {
		return fmt.Errorf("hits_addend is over %g", maxUnits)
	}
	entries := map[string]string{}
	for _, e := range c.descriptor.GetEntries() {
		if _, twice := entries[e.GetKey()]; twice {
			return fmt.Errorf("%q stands twice", e.GetKey())
		}
		entries[e.GetKey()] = e.GetValue()
	}
	if c.Customer, err = strconv.ParseUint(entries["firm"], 16, 64); err != nil {
		return errors.New("firm is not a hex number")
	}
	var known bool
	if c.Class, known = f.classes[entries["class"]]; !known {
		return fmt.Errorf("unknown class %q", entries["class"])
	}
	if c.Plan, known = f.board.Load().Tiers[entries["tier"]]; !known {
		return fmt.Errorf("unknown tier %q", entries["tier"])
	}
	c.Spread = f.settings.Gateways // a caller that names no subset of limiters may use all of them
	for key, field := range map[string]*int{"spread": &c.Spread, "first": &c.FirstGateway} {
		if text, named := entries[key]; named {
			if *field, err = strconv.Atoi(text); err != nil || *field < 0 {
				return fmt.Errorf("%s is not a count", key)
			}
		}
	}
	c.TTL = f.settings.Classes[c.Class].Deadline
	c.CallerChoseTTL = true
	if c.AdmitOnly = !f.callsOthers; f.callsOthers {
		c.Group = ExternalGroup
	}
	return nil
}
