package ratelimit

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	entriesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"bramblefall/internal/core"
	"bramblefall/internal/loop"
	"bramblefall/internal/loopback"
	"bramblefall/internal/memory"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

const (
	goneAfter   = 100 * time.Millisecond // after a cancel: no try may begin later than this
	testTimeout = 20 * time.Second
)

// inbox is an owner that only stores events, like the inbox of a busy loop.
type inbox struct {
	ids    atomic.Uint64
	mu     sync.Mutex
	events []core.Event
}

func (o *inbox) ID() uint64 { return o.ids.Add(1) }
func (o *inbox) Open() int  { return 0 }

func (o *inbox) Post(ev core.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, ev)
}

func (o *inbox) requests() (list []core.RequestContext) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ev := range o.events {
		if q, ok := ev.(core.RequestContext); ok {
			list = append(list, q)
		}
	}
	return list
}

func (o *inbox) outcome(k core.Key) (status logic.Status, told, gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ev := range o.events {
		switch ev := ev.(type) {
		case core.ClientGone:
			gone = gone || ev.ID == k.ID
		case core.Outcome:
			if ev.Key == k {
				return ev.Status, true, gone
			}
		}
	}
	return 0, false, gone
}

type countingService struct {
	rlsv3.UnimplementedRateLimitServiceServer
	calls atomic.Int32
}

func (c *countingService) ShouldRateLimit(context.Context, *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	c.calls.Add(1)
	return &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OK}, nil
}

// No call is sent for a caller that cancels while its request waits in the loop's inbox, or while the connection for its try is
// being set up, and the endpoint is not blamed.
func TestNoCallForCallerThatCancelled(t *testing.T) {
	t.Parallel()
	for name, dialling := range map[string]bool{"before its try": false, "while its connection comes up": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := logic.Settings{Gateways: 1, Zones: 1, MaxAttempts: 3,
				Classes: []logic.Class{{Name: "read", Aim: 4 * time.Second, Deadline: 8 * time.Second, Worth: 1}},
				Plans:   []logic.Plan{{Name: "regular", Rate: 1e5, Burst: 1e5, Price: 1}}}
			board := &plans.TierStore{}
			board.Store(plans.TierSnapshot{Tiers: map[string]int{"regular": 0}, Plans: set.Plans})
			owner := &inbox{}
			front := NewFront(set, owner, board, "", true, 100, Memory{Calls: memory.NewBudgets(memory.Divide(0)).Calls})
			listen, err := loopback.AnyPort()
			require.NoError(t, err)
			at, err := front.Listen(listen)
			require.NoError(t, err)
			t.Cleanup(front.Stop)
			conn, err := grpc.NewClient(at.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			l, err := loopback.Listen() // accepts connections but sends nothing until it is served
			require.NoError(t, err)
			service := grpc.NewServer()
			t.Cleanup(service.Stop)
			others := &countingService{}
			rlsv3.RegisterRateLimitServiceServer(service, others)
			caller := NewCaller(owner.Post, loop.Now, 10)
			t.Cleanup(caller.Close)
			caller.SetAddress(1, l.Addr().String())
			call := func(ctx context.Context) {
				_, _ = rlsv3.NewRateLimitServiceClient(conn).ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{
					Descriptors: []*entriesv3.RateLimitDescriptor{{Entries: []*entriesv3.RateLimitDescriptor_Entry{
						{Key: "firm", Value: "a1"}, {Key: "tier", Value: "regular"}, {Key: "class", Value: "read"}}}}})
			}
			try := func(n int) core.Key {
				q := owner.requests()[n]
				k := core.Key{ID: q.ID}
				caller.Try(core.Try{Key: k, Group: ExternalGroup, Server: 1, Timeout: testTimeout, Origin: q.Origin})
				return k
			}
			told := func(k core.Key) logic.Status {
				require.Eventually(t, func() bool { _, told, _ := owner.outcome(k); return told }, testTimeout, time.Millisecond)
				status, _, gone := owner.outcome(k)
				require.Equal(t, status == logic.Cancelled, gone, "ClientGone must be posted exactly with Cancelled, or the module retries the request")
				return status
			}
			ctx, cancel := context.WithCancel(context.Background())
			go call(ctx)
			require.Eventually(t, func() bool { return len(owner.requests()) == 1 }, testTimeout, time.Millisecond)
			check := owner.requests()[0].Origin.(*check)
			var k core.Key
			if dialling {
				k = try(0)
			}
			cancel()
			<-check.callCtx.Done() // the cancel has reached the front
			time.Sleep(goneAfter)
			if !dialling {
				k = try(0)
			}
			go func() { _ = service.Serve(l) }()
			require.Equal(t, logic.Cancelled, told(k))
			waiting, end := context.WithTimeout(context.Background(), testTimeout)
			defer end()
			go call(waiting)
			require.Eventually(t, func() bool { return len(owner.requests()) == 2 }, testTimeout, time.Millisecond)
			require.Equal(t, logic.OK, told(try(1)))
			require.EqualValues(t, 1, others.calls.Load(), "a call was sent for the caller that cancelled")
		})
	}
}
