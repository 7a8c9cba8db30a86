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
	// waitTimeout is how long stand-ins wait for the limiter. A client that gets neither an answer nor the end of the
	// connection in this time reports a finding.
	waitTimeout = 30 * time.Second
	firmCount   = 4000
)

// RunClients runs the plan's scripts of clients and gRPC callers against a limiter, at most atOnce at a time. Scripts of
// callers are skipped if grpcAddr is empty.
func (w *World) RunClients(p fault.Plan, addr, grpcAddr string, atOnce int) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for k, s := range p.Scripts {
		if s.Role != fault.Client && (s.Role != fault.Caller || grpcAddr == "") {
			continue
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-slots; wg.Done() }()
			if s.Role == fault.Client {
				w.runClient(s, addr, fmt.Sprintf("%x-%d", p.Seed, k))
			} else {
				w.runCaller(s, grpcAddr)
			}
		}()
	}
	wg.Wait()
}

// runClient follows a client's script: it sends commands, either one at a time or pipelined, and audits each answer.
func (w *World) runClient(s fault.Script, addr, name string) {
	raw, err := net.DialTimeout("tcp", addr, waitTimeout)
	if err != nil {
		w.Audit.Reportf("client %s cannot connect: %v", name, err)
		return
	}
	defer raw.Close()
	w.Audit.ConnectionOpened()
	_ = raw.SetDeadline(time.Now().Add(waitTimeout))
	conn, err := fault.NewConn(raw, s)
	if err != nil {
		return
	}
	rng := rand.New(rand.NewPCG(s.Seed, 3))
	a := answerReader{world: w, conn: conn, script: s, name: name}
	for pipelined, n := rng.IntN(2) == 0, 0; n < s.Messages && err == nil; n++ {
		err = a.send(rng, fmt.Sprintf("%s-%d", name, n))
		if !pipelined && err == nil {
			a.read(len(a.pending))
			err = conn.RunIdleSteps()
		}
	}
	want := len(a.pending)
	if conn.NoiseSent() {
		want++ // the limiter owes an error reply or the end of the connection for unreadable input
	}
	a.read(want)
}

// answerReader sends a client's commands and matches the answers to them in order.
type answerReader struct {
	world    *World
	conn     *fault.Conn
	script   fault.Script
	name     string
	parser   resp.Parser
	pending  []string // ids of the commands that were sent complete, in order; kept once answered
	received int
	done     bool
}

func (a *answerReader) send(rng *rand.Rand, id string) error {
	args := RandomCommand(rng, id)
	a.world.Audit.BeginSend(id, args, a.conn.DuplicatesNext())
	copies, err := a.conn.Send(resp.AppendCommand(nil, args...))
	a.world.Audit.EndSend(id, copies, err == nil || errors.Is(err, fault.ErrScriptEnded))
	for range copies {
		a.pending = append(a.pending, id)
	}
	return err
}

// RandomCommand returns a random request of one of firmCount firms: a read, or, in 40 % of cases, a post with a body.
func RandomCommand(rng *rand.Rand, id string) [][]byte {
	name, terms := "Q.ASK", "c=balance-read,t=regular,d=4000,units=1,spread=1,first=0"
	if rng.Float64() < 0.4 {
		name, terms = "Q.DO", fmt.Sprintf("c=transfer-post,t=regular,d=6000,k=%016x,units=1,spread=1,first=0", rng.Uint64())
	}
	args := [][]byte{[]byte(name), fmt.Appendf(nil, "%016x", rng.IntN(firmCount)), []byte(id), []byte(terms)}
	if name == "Q.DO" {
		size := rng.IntN(100)
		if rng.Float64() < 0.03 {
			size = rng.IntN(60 << 10)
		}
		args = append(args, []byte(strings.Repeat("b", size)))
	}
	return args
}

// read reads answers until want of them have been received in total, or the connection ends.
func (a *answerReader) read(want int) {
	buf := make([]byte, 16<<10)
	for a.received < want && !a.done {
		n, err := a.conn.Read(buf)
		a.parser.Feed(buf[:n])
		for {
			r, ok, bad := a.parser.Reply()
			if bad != nil {
				a.world.Audit.Reportf("client %s received bytes that are no valid reply: %v", a.name, bad)
				a.done = true
			}
			if !ok || bad != nil {
				break
			}
			id := ""
			if a.received < len(a.pending) {
				id = a.pending[a.received]
			}
			a.received++
			a.world.Audit.Answered(id, r.Kind, string(r.Text))
		}
		if err != nil {
			a.done = true
			a.connectionEnded(want, err)
		}
	}
}

func (a *answerReader) connectionEnded(want int, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.world.Audit.Reportf("client %s received %d of %d answers, and its connection did not end in time: %s", a.name, a.received, want, a.script)
	} else if len(a.script.Steps) == 0 && a.received < want {
		a.world.Audit.Reportf("client %s, which injected no faults, was cut off after %d of %d answers: %v", a.name, a.received, want, err)
	}
}

// runCaller makes gRPC calls over one connection that follows the script.
func (w *World) runCaller(s fault.Script, addr string) {
	dialed := false
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if dialed { // the script covers a single connection: no reconnects
			return nil, fault.ErrScriptEnded
		}
		dialed = true
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		w.Audit.ConnectionOpened()
		return fault.NewConn(raw, s)
	}
	client, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial))
	if err != nil {
		w.Audit.Reportf("cannot create a gRPC caller: %v", err)
		return
	}
	defer client.Close()
	rng := rand.New(rand.NewPCG(s.Seed, 4))
	for range s.Messages {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		_, err := rlsv3.NewRateLimitServiceClient(client).ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{Domain: "d",
			Descriptors: []*entriesv3.RateLimitDescriptor{{Entries: []*entriesv3.RateLimitDescriptor_Entry{
				{Key: "firm", Value: fmt.Sprintf("%x", rng.IntN(firmCount))}, {Key: "tier", Value: "regular"},
				{Key: "class", Value: "balance-read"}, {Key: "spread", Value: "1"}}}}})
		cancel()
		w.Audit.RateLimitAnswered()
		if len(s.Steps) > 0 {
			continue
		}
		if code := status.Code(err); code != codes.OK && code != codes.DeadlineExceeded {
			w.Audit.Reportf("a gRPC caller that injected no faults got an error: %v", err)
		}
	}
}
