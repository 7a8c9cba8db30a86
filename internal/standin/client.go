package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	entriesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"bramblefall/internal/fault"
	"bramblefall/internal/resp"
)

const (
	patience = 30 * time.Second // a client that waits so long for an answer or an end has found a fault
	firms    = 4000
)

// Play runs the plan's scripts of clients and callers against a limiter, so many at once.
func (w *World) Play(p fault.Plan, addr, grpcAddr string, atOnce int) {
	var wg sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for k, s := range p.Scripts {
		if s.Role != fault.Client && (s.Role != fault.Caller || grpcAddr == "") {
			continue
		}
		places <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-places; wg.Done() }()
			if s.Role == fault.Client {
				w.client(s, addr, fmt.Sprintf("%x-%d", p.Seed, k))
			} else {
				w.caller(s, grpcAddr)
			}
		}()
	}
	wg.Wait()
}

// client sends its commands, one by one or all at once, and checks each answer.
func (w *World) client(s fault.Script, addr, name string) {
	raw, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		w.Audit.Find("%s cannot connect: %v", name, err)
		return
	}
	defer raw.Close()
	w.Audit.Opened()
	_ = raw.SetDeadline(time.Now().Add(patience))
	conn, err := fault.Follow(raw, s)
	if err != nil {
		return
	}
	rng := rand.New(rand.NewPCG(s.Seed, 3))
	a := answers{world: w, conn: conn, script: s, name: name}
	for together, n := rng.IntN(2) == 0, 0; n < s.Messages && err == nil; n++ {
		err = a.send(rng, fmt.Sprintf("%s-%d", name, n))
		if !together && err == nil {
			a.read(len(a.due))
			err = conn.Rest()
		}
	}
	want := len(a.due)
	if conn.Noisy() {
		want++ // an error, or the end, is owed to who sends what cannot be read
	}
	a.read(want)
}

// answers reads what is due to a client, in order.
type answers struct {
	world  *World
	conn   *fault.Conn
	script fault.Script
	name   string
	parser resp.Parser
	due    []string // ids of the commands that went out whole
	had    int
	over   bool
}

func (a *answers) send(rng *rand.Rand, id string) error {
	args := Command(rng, id)
	a.world.Audit.Sending(id, args, a.conn.Twice())
	times, err := a.conn.Send(resp.AppendCommand(nil, args...))
	a.world.Audit.Sent(id, times, err == nil || errors.Is(err, fault.ErrOver))
	for range times {
		a.due = append(a.due, id)
	}
	return err
}

// Command is a request by chance: a read, or a post with a body, of one of some thousand firms.
func Command(rng *rand.Rand, id string) [][]byte {
	name, terms := "Q.ASK", "c=balance-read,t=regular,d=4000,units=1,spread=1,first=0"
	if rng.Float64() < 0.4 {
		name, terms = "Q.DO", fmt.Sprintf("c=transfer-post,t=regular,d=6000,k=%016x,units=1,spread=1,first=0", rng.Uint64())
	}
	args := [][]byte{[]byte(name), fmt.Appendf(nil, "%016x", rng.IntN(firms)), []byte(id), []byte(terms)}
	if name == "Q.DO" {
		size := rng.IntN(100)
		if rng.Float64() < 0.03 {
			size = rng.IntN(60 << 10)
		}
		args = append(args, []byte(strings.Repeat("b", size)))
	}
	return args
}

// read takes answers until so many are there, or the connection ends.
func (a *answers) read(want int) {
	buf := make([]byte, 16<<10)
	for a.had < want && !a.over {
		n, err := a.conn.Read(buf)
		a.parser.Feed(buf[:n])
		for {
			r, ok, bad := a.parser.Reply()
			if bad != nil {
				a.world.Audit.Find("%s got bytes that are no answer: %v", a.name, bad)
				a.over = true
			}
			if !ok || bad != nil {
				break
			}
			id := ""
			if a.had < len(a.due) {
				id = a.due[a.had]
			}
			a.had++
			a.world.Audit.Answered(id, r.Kind, string(r.Text))
		}
		if err != nil {
			a.over = true
			a.ended(want, err)
		}
	}
}

func (a *answers) ended(want int, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.world.Audit.Find("%s had %d of %d answers and no end: %s", a.name, a.had, want, a.script)
	} else if len(a.script.Steps) == 0 && a.had < want {
		a.world.Audit.Find("%s did nothing wrong and was cut off with %d of %d answers: %v", a.name, a.had, want, err)
	}
}

// caller makes gRPC calls over a connection that follows its script.
func (w *World) caller(s fault.Script, addr string) {
	dialed := false
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if dialed { // one script is one connection
			return nil, fault.ErrOver
		}
		dialed = true
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		w.Audit.Opened()
		return fault.Follow(raw, s)
	}
	client, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial))
	if err != nil {
		w.Audit.Find("a caller: %v", err)
		return
	}
	defer client.Close()
	rng := rand.New(rand.NewPCG(s.Seed, 4))
	for range s.Messages {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		_, err := rlsv3.NewRateLimitServiceClient(client).ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{Domain: "d",
			Descriptors: []*entriesv3.RateLimitDescriptor{{Entries: []*entriesv3.RateLimitDescriptor_Entry{
				{Key: "firm", Value: fmt.Sprintf("%x", rng.IntN(firms))}, {Key: "tier", Value: "regular"},
				{Key: "class", Value: "balance-read"}, {Key: "spread", Value: "1"}}}}})
		cancel()
		w.Audit.Verdict()
		if len(s.Steps) > 0 {
			continue
		}
		if code := status.Code(err); code != codes.OK && code != codes.DeadlineExceeded {
			w.Audit.Find("a caller that did nothing wrong got %v", err)
		}
	}
}
