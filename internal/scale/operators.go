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

// Operators gives changes of plans to limiters and looks at their books, over the operators' service, as the sub-commands of
// the limiter's program do.
type Operators struct{ lastNumber uint64 }

// Order is a change for limiters, or a look at them.
type Order struct {
	Sockets []string
	Firms   int          // that the version names
	Tiers   []logic.Plan // none: only look
}

// Done is what an order cost.
type OrderResult struct {
	Messages, Bytes int64
	Processor       time.Duration
	Elapsed         time.Duration
	Firms           int // that the last book named
}

// Do carries out an order.
func (o *Operators) Execute(order Order, out *OrderResult) error {
	var version *adminpb.Version
	if len(order.Tiers) > 0 {
		o.lastNumber++
		v := plans.Version{Number: o.lastNumber, Note: "the rig's", Tiers: order.Tiers}
		for k := range order.Firms {
			v.Firms = append(v.Firms, plans.Firm{Firm: firstFirmID + uint64(k), Tier: order.Tiers[k%len(order.Tiers)].Name})
		}
		version = admin.VersionOut(v)
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

// one tells one limiter, or looks at it.
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
	m.messages.Add(2) // the call and its answer
	client := adminpb.NewAdminClient(conn)
	if version == nil {
		book, err := client.ShowPlans(ctx, &adminpb.ShowPlansRequest{})
		return len(book.GetCurrent().GetFirms()), err
	}
	answer, err := client.ApplyPlans(ctx, &adminpb.ApplyPlansRequest{Version: version})
	return len(answer.GetBook().GetCurrent().GetFirms()), err
}

func ownProcessorTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
