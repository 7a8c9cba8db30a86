package scale

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"bramblefall/internal/admin"
	"bramblefall/internal/admin/adminpb"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

const (
	maxConcurrentCalls = 16
	callTimeout        = 10 * time.Second
	maxBookBytes       = 64 << 20
	firstFirmID        = 0x100000
)

// Operators is the role that changes the plans of limiters and reads their plan books through the operators' service, as the
// limiter program's sub-commands do.
type Operators struct{ lastNumber uint64 } // of the last version of the plans

// Order is a change of the plans of limiters, or a read of their plan books.
type Order struct {
	Sockets []string     // admin sockets of the limiters
	Firms   int          // that the new version names
	Tiers   []logic.Plan // of the new version; none: the plan books are only read
}

// OrderResult is what an order cost.
type OrderResult struct {
	Messages, Bytes int64         // to and from limiters
	Processor       time.Duration // processor time of the operators' process
	Elapsed         time.Duration
	Firms           int // that the plan book of the limiter named that answered last
}

// Execute carries out an order on all its limiters, at most maxConcurrentCalls at a time.
func (o *Operators) Execute(order Order, out *OrderResult) error {
	var version *adminpb.Version
	if len(order.Tiers) > 0 {
		o.lastNumber++
		v := plans.Version{Number: o.lastNumber, Note: "the rig's", Tiers: order.Tiers}
		for k := range order.Firms {
			v.Firms = append(v.Firms, plans.Firm{Firm: firstFirmID + uint64(k), Tier: order.Tiers[k%len(order.Tiers)].Name})
		}
		version = admin.VersionToProto(v)
	}
	m := &meter{}
	var firms atomic.Int64
	var first firstError
	began, used := now(), ownProcessorTime()
	slots := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for _, path := range order.Sockets {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-slots; wg.Done() }()
			n, err := callLimiter(path, version, m)
			if err != nil {
				first.set(err)
				return
			}
			firms.Store(int64(n))
		}()
	}
	wg.Wait()
	*out = OrderResult{m.messages.Load(), m.bytes.Load(), ownProcessorTime() - used, now() - began, int(firms.Load())}
	return first.err
}

// callLimiter applies a version of the plans at one limiter, or with none reads its plan book. It returns how many firms the
// book names.
func callLimiter(path string, version *adminpb.Version, m *meter) (firms int, err error) {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	conn, err := grpc.NewClient("passthrough:///limiter", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBookBytes)),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			raw, err := (&net.Dialer{}).DialContext(ctx, "unix", path)
			return countingConn{raw, m}, err
		}))
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	m.messages.Add(2) // the call and its reply
	client := adminpb.NewAdminClient(conn)
	if version == nil {
		book, err := client.ShowPlans(ctx, &adminpb.ShowPlansRequest{})
		return len(book.GetCurrent().GetFirms()), err
	}
	answer, err := client.ApplyPlans(ctx, &adminpb.ApplyPlansRequest{Version: version})
	return len(answer.GetBook().GetCurrent().GetFirms()), err
}

// ownProcessorTime is the processor time that this process has used so far.
func ownProcessorTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
