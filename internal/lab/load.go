// Package lab runs experiments on real limiters and the project's stand-ins, over loopback, and keeps the results as
// tables and charts. The limiter links none of it.
package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	entriesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"bramblefall/internal/resp"
)

// Kind is how a request ended for its client.
type Kind uint8

// The ends. Unanswered: neither an answer nor an end of the connection came in time.
const (
	Served Kind = iota
	Admitted
	Refused
	Failed
	Cut // the limiter's process ended with it
	Unanswered
)

// Try is a client's.
type Try struct {
	Firm, Class int
	ID          uint64
	Due         time.Time // when the first try was to be sent: latency counts from there
	First       uint64    // id of the client's first try
}

// End is what became of a try.
type End struct {
	Try
	Kind    Kind
	At      time.Time
	After   time.Duration // of a refusal
	Sent    time.Time
	Limiter int
	Call    bool // over gRPC
}

// Firm is a member firm as the load has it.
type Firm struct {
	ID     uint64
	Tier   string
	Demand float64 // requests a second
	Spread int
	First  int
	Skew   float64 // share of its requests that come through the first of its set
	Mixed  bool    // half of its requests are gRPC calls

	place int // in its set of the limiter that most come through
}

// Class is a class of requests as clients send it.
type Class struct {
	Name     string
	Share    float64
	Keyed    bool
	Deadline time.Duration
}

// Clients is how they try again.
type Clients struct {
	Retries      int
	Wait, GiveUp [2]float64 // seconds; share of the deadline
	Honour       float64
}

// Load sends firms' requests to limiters, open loop: arrivals wait for no answer.
type Load struct {
	Firms   []*Firm
	Classes []Class
	Clients Clients
	Sends   func(Try) // one call at a time, before a request's first try leaves; nil: nobody asks
	Ended   func(End) // one call at a time
	Latency *hdrhistogram.Histogram

	limiters []*target
	mu       sync.Mutex
	wg       sync.WaitGroup
	next     uint64
}

// target is a limiter as clients see it; its addresses change when it is started again.
type target struct {
	mu   sync.Mutex
	addr string
	idle []*wire
	grpc *grpc.ClientConn
}

type wire struct {
	conn   net.Conn
	parser resp.Parser
}

// NewLoad makes a load on so many limiters.
func NewLoad(limiters int) *Load {
	l := &Load{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	for range limiters {
		l.limiters = append(l.limiters, &target{})
	}
	return l
}

// Point says where a limiter listens now; "" while it is down.
func (l *Load) Point(k int, addr, grpcAddr string) {
	t := l.limiters[k]
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addr = addr
	for _, w := range t.idle {
		_ = w.conn.Close()
	}
	t.idle = nil
	if t.grpc != nil {
		_ = t.grpc.Close()
		t.grpc = nil
	}
	if grpcAddr != "" {
		t.grpc, _ = grpc.NewClient("passthrough:///"+grpcAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}
}

// Run sends until the context ends, then waits for what is out.
func (l *Load) Run(ctx context.Context, seed uint64) {
	for k, f := range l.Firms {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.firm(ctx, k, f, rand.New(rand.NewPCG(seed, uint64(k))))
		}()
	}
	l.wg.Wait()
}

func (l *Load) firm(ctx context.Context, k int, f *Firm, rng *rand.Rand) {
	due := time.Now()
	for {
		l.mu.Lock()
		rate := max(f.Demand, 0.01)
		l.mu.Unlock()
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		class, x := 0, rng.Float64()
		for class < len(l.Classes)-1 && x >= l.Classes[class].Share {
			x -= l.Classes[class].Share
			class++
		}
		call, seed := f.Mixed && rng.Float64() < 0.5, rng.Uint64()
		l.wg.Add(1)
		go func(due time.Time) {
			defer l.wg.Done()
			l.client(f, Try{Firm: k, Class: class, Due: due}, call, rand.New(rand.NewPCG(seed, 1)))
		}(due)
	}
}

// client sends a request, and tries again as its kind does.
func (l *Load) client(f *Firm, try Try, call bool, rng *rand.Rand) {
	c := l.Classes[try.Class]
	for n := 0; ; n++ {
		l.mu.Lock()
		l.next++
		try.ID = l.next
		to := f.First + f.place
		if rng.Float64() >= f.Skew {
			to = f.First + rng.IntN(max(f.Spread, 1))
		}
		if n == 0 {
			if try.First = try.ID; l.Sends != nil {
				l.Sends(try)
			}
		}
		l.mu.Unlock()
		e := End{Try: try, Sent: time.Now(), Limiter: to % len(l.limiters), Call: call}
		left := time.Until(try.Due.Add(c.Deadline))
		wait := left
		if n > 0 && l.Clients.GiveUp[1] > 0 {
			wait = min(left, time.Duration((l.Clients.GiveUp[0]+(l.Clients.GiveUp[1]-l.Clients.GiveUp[0])*rng.Float64())*float64(c.Deadline)))
		}
		t := l.limiters[e.Limiter]
		if call {
			e.Kind, e.After = l.call(t, f, c, wait)
		} else {
			e.Kind, e.After = l.ask(t, f, c, try.ID, n > 0, wait)
		}
		e.At = time.Now()
		l.mu.Lock()
		if e.Kind == Served || e.Kind == Admitted {
			_ = l.Latency.RecordValue(e.At.Sub(try.Due).Microseconds())
		}
		l.Ended(e)
		l.mu.Unlock()
		pause := time.Duration((l.Clients.Wait[0] + (l.Clients.Wait[1]-l.Clients.Wait[0])*rng.Float64()) * float64(time.Second))
		if e.Kind == Refused && e.After > 0 && rng.Float64() < l.Clients.Honour {
			pause = e.After
		}
		again := e.Kind == Refused || (e.Kind == Failed || e.Kind == Cut) && !c.Keyed
		if !again || n >= l.Clients.Retries || e.At.Add(pause).After(try.Due.Add(c.Deadline)) {
			return
		}
		time.Sleep(pause)
	}
}

// Change changes firms while the load runs.
func (l *Load) Change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

// take gives an idle connection, or a new one; used tells which.
func (t *target) take(fresh bool) (w *wire, used, ok bool) {
	t.mu.Lock()
	addr := t.addr
	if n := len(t.idle); n > 0 && !fresh {
		w = t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		return w, true, true
	}
	t.mu.Unlock()
	if addr == "" {
		return nil, false, false
	}
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, false, false
	}
	return &wire{conn: conn}, false, true
}

// ask sends one request over RESP2. A limiter may close a connection between requests: where that crosses a request, it
// is sent once more, on a new connection.
func (l *Load) ask(t *target, f *Firm, c Class, id uint64, again bool, wait time.Duration) (Kind, time.Duration) {
	terms := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=%d", c.Name, f.Tier, max(wait.Milliseconds(), 1), f.Spread, f.First)
	if again {
		terms += ",r=1"
	}
	args := [][]byte{[]byte("Q.ASK"), fmt.Appendf(nil, "%016x", f.ID), []byte(requestID(id)), nil}
	if c.Keyed {
		terms += fmt.Sprintf(",k=%016x", id)
		args = append(args, []byte("b"))
		args[0] = []byte("Q.DO")
	}
	args[3] = []byte(terms)
	command := resp.AppendCommand(nil, args...)
	for crossed := false; ; crossed = true {
		w, used, ok := t.take(crossed)
		if !ok {
			return Cut, 0
		}
		kind, after, silent := w.exchange(command, wait)
		if kind == Cut && used && silent {
			continue
		}
		if kind != Cut && kind != Unanswered {
			t.mu.Lock()
			t.idle = append(t.idle, w)
			t.mu.Unlock()
		}
		return kind, after
	}
}

// requestID is a request's id as it goes out.
func requestID(id uint64) string { return fmt.Sprintf("%016x", id) }

// exchange writes a command and reads its answer. silent: the connection ended without a byte.
func (w *wire) exchange(command []byte, wait time.Duration) (kind Kind, after time.Duration, silent bool) {
	_ = w.conn.SetDeadline(time.Now().Add(max(wait, 0) + time.Second))
	_, err := w.conn.Write(command)
	buf := make([]byte, 4096)
	for silent = true; err == nil; {
		var n int
		n, err = w.conn.Read(buf)
		silent = silent && n == 0
		w.parser.Feed(buf[:n])
		if r, ok, _ := w.parser.Reply(); ok {
			kind, after = kindOf(r)
			return kind, after, false
		}
	}
	_ = w.conn.Close()
	if ne, is := err.(net.Error); is && ne.Timeout() {
		return Unanswered, 0, silent
	}
	return Cut, 0, silent
}

func kindOf(r resp.Reply) (Kind, time.Duration) {
	switch {
	case r.Kind == '$' && !r.Null:
		return Served, 0
	case r.Kind == '-' && len(r.Text) >= 4 && string(r.Text[:4]) == "BUSY":
		ms := 0
		if len(r.Text) > 5 {
			ms, _ = strconv.Atoi(string(r.Text[5:]))
		}
		return Refused, time.Duration(ms) * time.Millisecond
	}
	return Failed, 0
}

// call asks the gRPC front.
func (l *Load) call(t *target, f *Firm, c Class, wait time.Duration) (Kind, time.Duration) {
	t.mu.Lock()
	conn := t.grpc
	t.mu.Unlock()
	if conn == nil {
		return Cut, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	entry := func(k, v string) *entriesv3.RateLimitDescriptor_Entry {
		return &entriesv3.RateLimitDescriptor_Entry{Key: k, Value: v}
	}
	answer, err := rlsv3.NewRateLimitServiceClient(conn).ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{Domain: "lab",
		Descriptors: []*entriesv3.RateLimitDescriptor{{Entries: []*entriesv3.RateLimitDescriptor_Entry{
			entry("firm", strconv.FormatUint(f.ID, 16)), entry("tier", f.Tier), entry("class", c.Name),
			entry("spread", strconv.Itoa(f.Spread)), entry("first", strconv.Itoa(f.First))}}}})
	switch {
	case err != nil:
		return Failed, 0
	case answer.GetOverallCode() == rlsv3.RateLimitResponse_OK:
		return Admitted, 0
	}
	return Refused, answer.GetStatuses()[0].GetDurationUntilReset().AsDuration()
}
