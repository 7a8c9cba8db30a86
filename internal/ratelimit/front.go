// Package ratelimit speaks Envoy's rate limit service: the front that answers proxies' calls, and the caller that
// asks such services of others. It decides nothing: verdicts are the module's or those services' own.
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
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/plans"
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

// OthersGroup is the upstream group of a rate limit service of others. The platform's servers are group 0.
const OthersGroup = 1

const (
	mostDescriptors = 16      // of one call: each is a request context
	mostCall        = 1 << 20 // bytes
	mostUnits       = 1e6
	mostCalls       = 1024                   // at once, of one connection
	drainGrace      = 450 * time.Millisecond // callers hear of a planned restart so late
	atTheEnd        = 25 * time.Millisecond
	crowded         = time.Second // when to come back if too many are in hand
)

// Descriptors is how many callers' connections the front may hold, and how many to endpoints its caller, of so many that
// the program may have.
func Descriptors(most int) (callers, endpoints int) { return max(most/8, 128), max(most/16, 64) }

// Owner takes the events of the front.
type Owner interface {
	ID() uint64
	Open() int
	Post(core.Event)
}

// Front is the rate limit service.
type Front struct {
	rlsv3.UnimplementedRateLimitServiceServer
	owner   Owner
	set     logic.Settings
	domain  string
	others  bool // a service of others has the last word on what is within the quotas
	classes map[string]int
	board   *plans.Board
	most    int // connections of callers
	server  *grpc.Server
	health  *health.Server // proxies ask it whether to send calls here
}

// NewFront makes a front for the callers of a domain ("": any). With others, each request context that is within
// its quota becomes a call to the group of such services; without, the module's word is the verdict. It holds so many
// connections of callers at most.
func NewFront(set logic.Settings, owner Owner, board *plans.Board, domain string, others bool, most int) *Front {
	f := &Front{owner: owner, set: set, domain: domain, others: others, classes: map[string]int{}, board: board, most: most}
	for k, c := range set.Classes {
		f.classes[c.Name] = k
	}
	f.server = grpc.NewServer(grpc.MaxRecvMsgSize(mostCall), grpc.MaxConcurrentStreams(mostCalls),
		grpc.UnaryInterceptor(guarded))
	rlsv3.RegisterRateLimitServiceServer(f.server, f)
	f.health = health.NewServer()
	healthpb.RegisterHealthServer(f.server, f.health)
	return f
}

// guarded lets no panic of a call pass without its last words: the library's goroutines are none of ours.
func guarded(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	defer crash.Guard()
	return handle(ctx, req)
}

// Listen opens the address and serves it until Drain. It returns where it listens.
func (f *Front) Listen(addr string) (net.Addr, error) {
	l, err := socket.RetryListen(func() (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return nil, fmt.Errorf("listen for rate limit calls: %w", err)
	}
	crash.Go(func() { _ = f.server.Serve(netutil.LimitListener(socket.Steady(l), f.most)) })
	return l.Addr(), nil
}

// Drain ends the front at a planned restart. Callers are told at once and hear of it late: for a little longer all goes on. Then
// it takes no new call and waits for those in hand.
func (f *Front) Drain() {
	f.health.Shutdown()
	time.Sleep(drainGrace)
	f.server.GracefulStop()
}

// Stop ends what Drain waits for.
func (f *Front) Stop() { f.server.Stop() }

// check is the request context of one descriptor.
type check struct {
	logic.Request
	call       context.Context // ends when its caller has gone
	place      int             // of its descriptor in the call
	domain     string
	descriptor *entriesv3.RateLimitDescriptor
	deadline   time.Time
	tried      atomic.Bool // a call to a service of others has been made
	verdicts   chan<- verdict
}

// verdict ends a check. None of them blocks: the channel has a place for each check of the call.
type verdict struct {
	*check
	answer *rlsv3.RateLimitResponse // of a service of others
	after  time.Duration
	kind   kind
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
func (c *check) Rejected(after time.Duration) {
	c.verdicts <- verdict{check: c, after: after, kind: rejected}
}

// Failed implements core.Origin.
func (c *check) Failed() { c.verdicts <- verdict{check: c, kind: failed} }

// ShouldRateLimit implements Envoy's RateLimitService. Each descriptor counts by itself; the call is over limit if
// one of them is, and those within their quotas have taken their units all the same.
func (f *Front) ShouldRateLimit(ctx context.Context, req *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	verdicts := make(chan verdict, len(req.GetDescriptors()))
	checks, err := f.checks(ctx, req, verdicts)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if f.owner.Open() >= mostCalls*4 { // guards the memory in a flood; the module sees none of it
		return f.overLimit(len(checks), crowded), nil
	}
	open := map[uint64]struct{}{}
	defer func() { // whatever ends the call, what it still holds is released
		for id := range open {
			f.owner.Post(core.ClientGone{ID: id})
		}
	}()
	deadline, limited := ctx.Deadline()
	for _, c := range checks {
		if limited { // else the class's own
			c.TTL = min(c.TTL, time.Until(deadline))
		}
		c.deadline = time.Now().Add(c.TTL)
		c.ID = f.owner.ID()
		open[c.ID] = struct{}{}
		f.owner.Post(core.RequestContext{Request: c.Request, Origin: c})
	}
	answer := &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OK,
		Statuses: make([]*rlsv3.RateLimitResponse_DescriptorStatus, len(checks))}
	var after time.Duration
	for len(open) > 0 {
		select {
		case v := <-verdicts:
			delete(open, v.ID)
			if err := f.take(answer, v); err != nil {
				return nil, err
			}
			after = max(after, v.after)
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
	if after > 0 {
		answer.ResponseHeadersToAdd = append(answer.ResponseHeadersToAdd, retryAfter(after))
	}
	return answer, nil
}

// take puts one verdict into the answer.
func (f *Front) take(answer *rlsv3.RateLimitResponse, v verdict) error {
	s := &rlsv3.RateLimitResponse_DescriptorStatus{Code: rlsv3.RateLimitResponse_OK, CurrentLimit: f.limit(v.Plan)}
	// The module gives up a moment before the deadline. If a service of others had the request until then, its
	// silence ended the call, not the quota.
	// Likewise, a refusal without a time to come back says that the wait was too short for anything.
	atEnd := v.tried.Load() && v.kind != served && time.Until(v.deadline) < atTheEnd
	if atEnd || v.kind == rejected && v.after == 0 && f.set.RetryAfter {
		return status.Error(codes.DeadlineExceeded, "no answer in time")
	}
	switch v.kind {
	case failed:
		return status.Error(codes.Unavailable, "the check failed")
	case rejected:
		s.Code, s.DurationUntilReset = rlsv3.RateLimitResponse_OVER_LIMIT, durationpb.New(v.after)
	case served:
		answer.ResponseHeadersToAdd = append(answer.ResponseHeadersToAdd, v.answer.GetResponseHeadersToAdd()...)
		answer.RequestHeadersToAdd = append(answer.RequestHeadersToAdd, v.answer.GetRequestHeadersToAdd()...)
		if len(v.answer.GetStatuses()) == 1 {
			s = v.answer.GetStatuses()[0]
		}
		s.Code = v.answer.GetOverallCode()
	}
	answer.Statuses[v.place] = s
	if s.Code == rlsv3.RateLimitResponse_OVER_LIMIT {
		answer.OverallCode = s.Code
	}
	return nil
}

func retryAfter(after time.Duration) *corev3.HeaderValue {
	seconds := int64((after + time.Second - 1) / time.Second)
	return &corev3.HeaderValue{Key: "retry-after", Value: strconv.FormatInt(seconds, 10)}
}

func (f *Front) overLimit(n int, after time.Duration) *rlsv3.RateLimitResponse {
	answer := &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OVER_LIMIT,
		ResponseHeadersToAdd: []*corev3.HeaderValue{retryAfter(after)}}
	for range n {
		answer.Statuses = append(answer.Statuses, &rlsv3.RateLimitResponse_DescriptorStatus{
			Code: answer.OverallCode, DurationUntilReset: durationpb.New(after)})
	}
	return answer
}

// limit tells the plan's quota. Rates may be fractions of a unit a second, so it is told a minute.
func (f *Front) limit(plan int) *rlsv3.RateLimitResponse_RateLimit {
	all := f.board.Sheet().Plans
	if plan >= len(all) || all[plan].Rate <= 0 { // it may have gone since the call came
		return nil
	}
	p := all[plan]
	return &rlsv3.RateLimitResponse_RateLimit{Name: p.Name, RequestsPerUnit: uint32(math.Round(60 * p.Rate)),
		Unit: rlsv3.RateLimitResponse_RateLimit_MINUTE}
}

// checks reads a call's descriptors.
func (f *Front) checks(ctx context.Context, req *rlsv3.RateLimitRequest, verdicts chan<- verdict) ([]*check, error) {
	n := len(req.GetDescriptors())
	if n == 0 || n > mostDescriptors {
		return nil, fmt.Errorf("a call takes 1 to %d descriptors", mostDescriptors)
	}
	if f.domain != "" && req.GetDomain() != f.domain {
		return nil, fmt.Errorf("unknown domain %q", req.GetDomain())
	}
	var all []*check
	for k, d := range req.GetDescriptors() {
		c := &check{call: ctx, place: k, domain: req.GetDomain(), descriptor: d, verdicts: verdicts}
		c.Units = float64(max(req.GetHitsAddend(), 1)) // absent means one
		if err := f.read(c); err != nil {
			return nil, fmt.Errorf("descriptor %d: %w", k, err)
		}
		all = append(all, c)
	}
	return all, nil
}

// read turns a descriptor's entries into a request. Entries with other keys are passed over: proxies add theirs.
func (f *Front) read(c *check) (err error) {
	if c.descriptor.GetLimit() != nil || c.descriptor.GetIsNegativeHits() {
		return errors.New("quotas cannot be overridden or given back by a caller")
	}
	if own := c.descriptor.GetHitsAddend(); own != nil {
		c.Units = float64(own.GetValue())
	}
	if c.Units > mostUnits {
		return fmt.Errorf("hits_addend is over %g", mostUnits)
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
	if c.Plan, known = f.board.Sheet().Tiers[entries["tier"]]; !known {
		return fmt.Errorf("unknown tier %q", entries["tier"])
	}
	c.Spread = f.set.Gateways // a caller that names no set may come through all
	for key, field := range map[string]*int{"spread": &c.Spread, "first": &c.First} {
		if text, named := entries[key]; named {
			if *field, err = strconv.Atoi(text); err != nil || *field < 0 {
				return fmt.Errorf("%s is not a count", key)
			}
		}
	}
	c.TTL = f.set.Classes[c.Class].Deadline
	c.OwnWait = true
	if c.Admit = !f.others; f.others {
		c.Group = OthersGroup
	}
	return nil
}
