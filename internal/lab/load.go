// Package lab runs experiments, in the model in virtual time and on real limiters with stand-ins for nodes, the counter and
// discovery over loopback, and writes the results as tables and charts. The limiter does not link this package.
package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
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

// Outcome is how a try ended for its client.
type Outcome uint8

// The outcomes of a try, in the order in which tables list them.
const (
	Served         Outcome = iota // a node's answer, over RESP2
	Admitted                      // admitted over gRPC
	Refused                       // rejected by the limiter
	Failed                        // any other reply, or an error of the gRPC call
	ConnectionLost                // no connection could be had, or it ended before the answer, as when the limiter's process dies
	Unanswered                    // over RESP2: neither an answer nor the end of the connection came within a second after the timeout
)

// Try is one attempt of a client to have a request served.
type Try struct {
	Firm, Class int // indices into Load.Firms and Load.Classes
	ID          uint64
	Due         time.Time // when the request's first try was scheduled to be sent; latency and the deadline count from here
	FirstTryID  uint64    // id of the request's first try
}

// TryResult is a try with its outcome.
type TryResult struct {
	Try
	Outcome    Outcome
	EndedAt    time.Time
	RetryAfter time.Duration // the delay that a rejection asked for; 0 if it named none
	SentAt     time.Time
	Limiter    int // index
	OverGRPC   bool
}

// Firm is a client of the service as the load generator simulates it.
type Firm struct {
	ID                uint64
	Tier              string
	RequestsPerSecond float64 // mean arrival rate of requests, not counting retries
	Spread            int     // how many consecutive limiters the firm's requests come through
	FirstLimiter      int     // index of the first of them; indices wrap round at the last limiter
	PreferredShare    float64 // share of tries that are sent to the preferred limiter; the others are spread evenly over all of them
	HalfOverGRPC      bool    // half of the requests are gRPC calls, not RESP2 commands

	preferredOffset int // the preferred limiter's position among the firm's limiters
}

// Class is a class of requests as clients send them.
type Class struct {
	Name     string
	Share    float64 // of all requests
	Keyed    bool    // sent with Q.DO and an idempotency key; retried only after a rejection
	Deadline time.Duration
}

// RetryPolicy is how clients retry. Ranges are drawn from evenly.
type RetryPolicy struct {
	MaxRetries            int        // retries of a request, its first try not counted
	DelaySeconds          [2]float64 // range of the delay before a retry
	TryTimeoutShare       [2]float64 // range of a retry's timeout, as a share of the request's deadline; 0 at the upper end: the time that is left
	HonourRetryAfterShare float64    // share of rejections after which the client waits as long as the limiter asked for
}

// Load generates the firms' requests to limiters as an open loop: arrivals do not wait for answers.
type Load struct {
	Firms         []*Firm
	Classes       []Class
	RetryPolicy   RetryPolicy
	BeforeRequest func(Try)               // called before a request's first try is sent, never concurrently; may be nil
	AfterTry      func(TryResult)         // called after each try, never concurrently
	Latency       *hdrhistogram.Histogram // microseconds from Try.Due to the answer, of what was served or admitted

	targets   []*limiterTarget
	mu        sync.Mutex
	wg        sync.WaitGroup
	lastTryID uint64
}

// limiterTarget holds a limiter's current addresses and its idle connections. The addresses change when the limiter
// restarts.
type limiterTarget struct {
	mu       sync.Mutex
	addr     string
	idle     []*respConn
	grpcConn *grpc.ClientConn
}

type respConn struct {
	conn      net.Conn
	parser    resp.Parser
	dialedAt  time.Time
	writtenAt time.Time // the last command
}

// NewLoad returns a load generator for the given number of limiters, without firms and without addresses.
func NewLoad(limiters int) *Load {
	l := &Load{Latency: hdrhistogram.New(1, 60_000_000, 3)} // 1 us to 60 s, three significant digits
	for range limiters {
		l.targets = append(l.targets, &limiterTarget{})
	}
	return l
}

// SetAddresses sets where a limiter listens now, "" while it is down, and closes the connections to its previous addresses.
func (l *Load) SetAddresses(limiter int, addr, grpcAddr string) {
	target := l.targets[limiter]
	target.mu.Lock()
	defer target.mu.Unlock()
	target.addr = addr
	for _, idle := range target.idle {
		_ = idle.conn.Close()
	}
	target.idle = nil
	if target.grpcConn != nil {
		_ = target.grpcConn.Close()
		target.grpcConn = nil
	}
	if grpcAddr != "" {
		target.grpcConn, _ = grpc.NewClient("passthrough:///"+grpcAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}
}

// Run sends requests until the context ends, then waits for those that are still in flight.
func (l *Load) Run(ctx context.Context, seed uint64) {
	for i, f := range l.Firms {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.generateRequests(ctx, i, f, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
	l.wg.Wait()
}

// generateRequests starts one firm's requests at the arrival times of a Poisson process until the context ends.
func (l *Load) generateRequests(ctx context.Context, firm int, f *Firm, rng *rand.Rand) {
	due := time.Now()
	for {
		l.mu.Lock()
		rate := max(f.RequestsPerSecond, 0.01) // the rate may be 0, by which the next line must not divide
		l.mu.Unlock()
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		if time.Since(due) > maxArrivalDelay { // made up for, the arrivals of a pause would be a flood that no firm sent
			due = time.Now()
		}
		class, x := 0, rng.Float64()
		for class < len(l.Classes)-1 && x >= l.Classes[class].Share {
			x -= l.Classes[class].Share
			class++
		}
		overGRPC, seed := f.HalfOverGRPC && rng.Float64() < 0.5, rng.Uint64()
		l.wg.Add(1)
		go func(due time.Time) {
			defer l.wg.Done()
			l.sendWithRetries(f, Try{Firm: firm, Class: class, Due: due}, overGRPC, rand.New(rand.NewPCG(seed, 1)))
		}(due)
	}
}

// sendWithRetries sends a request and retries it as the retry policy and its class say.
func (l *Load) sendWithRetries(f *Firm, try Try, overGRPC bool, rng *rand.Rand) {
	class := l.Classes[try.Class]
	for retry := 0; ; retry++ {
		l.mu.Lock()
		l.lastTryID++
		try.ID = l.lastTryID
		limiter := f.FirstLimiter + f.preferredOffset
		if rng.Float64() >= f.PreferredShare {
			limiter = f.FirstLimiter + rng.IntN(max(f.Spread, 1))
		}
		if retry == 0 {
			if try.FirstTryID = try.ID; l.BeforeRequest != nil {
				l.BeforeRequest(try)
			}
		}
		l.mu.Unlock()
		result := TryResult{Try: try, SentAt: time.Now(), Limiter: limiter % len(l.targets), OverGRPC: overGRPC}
		remaining := time.Until(try.Due.Add(class.Deadline))
		timeout := remaining
		if retry > 0 && l.RetryPolicy.TryTimeoutShare[1] > 0 {
			timeout = min(remaining, time.Duration((l.RetryPolicy.TryTimeoutShare[0]+(l.RetryPolicy.TryTimeoutShare[1]-l.RetryPolicy.TryTimeoutShare[0])*rng.Float64())*float64(class.Deadline)))
		}
		target := l.targets[result.Limiter]
		if overGRPC {
			result.Outcome, result.RetryAfter = l.tryGRPC(target, f, class, timeout)
		} else {
			result.Outcome, result.RetryAfter = l.tryRESP(target, f, class, try.ID, retry > 0, timeout)
		}
		result.EndedAt = time.Now()
		l.mu.Lock()
		if result.Outcome == Served || result.Outcome == Admitted {
			_ = l.Latency.RecordValue(result.EndedAt.Sub(try.Due).Microseconds())
		}
		l.AfterTry(result)
		l.mu.Unlock()
		delay := time.Duration((l.RetryPolicy.DelaySeconds[0] + (l.RetryPolicy.DelaySeconds[1]-l.RetryPolicy.DelaySeconds[0])*rng.Float64()) * float64(time.Second))
		if result.Outcome == Refused && result.RetryAfter > 0 && rng.Float64() < l.RetryPolicy.HonourRetryAfterShare {
			delay = result.RetryAfter
		}
		retryable := result.Outcome == Refused || (result.Outcome == Failed || result.Outcome == ConnectionLost) && !class.Keyed
		if !retryable || retry >= l.RetryPolicy.MaxRetries || result.EndedAt.Add(delay).After(try.Due.Add(class.Deadline)) {
			return
		}
		time.Sleep(delay)
	}
}

// UpdateFirms calls update with the lock held under which the load reads the firms' rates and preferred limiters, so that
// these can be changed while it runs.
func (l *Load) UpdateFirms(update func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update()
}

// acquire returns an idle connection, or dials a new one if there is none or if forceNew is set. reused tells which it
// is; ok is false if no connection can be had.
func (t *limiterTarget) acquire(forceNew bool) (w *respConn, reused, ok bool) {
	t.mu.Lock()
	addr := t.addr
	if n := len(t.idle); n > 0 && !forceNew {
		w = t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		return w, true, true
	}
	t.mu.Unlock()
	if addr == "" {
		return nil, false, false
	}
	dialedAt := time.Now()
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	for err != nil && time.Since(dialedAt) > dialTimeout+maxArrivalDelay { // the lab's process stood still meanwhile
		dialedAt = time.Now()
		conn, err = net.DialTimeout("tcp", addr, dialTimeout)
	}
	if err != nil {
		return nil, false, false
	}
	return &respConn{conn: conn, dialedAt: dialedAt}, false, true
}

const (
	dialTimeout     = time.Second
	maxArrivalDelay = 500 * time.Millisecond // a request that is later than this shows that the lab's process stood still
	maxDialToWrite  = 2 * time.Second        // a limiter closes a connection that brings no command for 2.4 s
	pendingReadTime = 5 * time.Millisecond   // to read an answer that arrived while the lab's process stood still
)

// tryRESP makes one try over RESP2. A limiter may close an idle connection at the moment in which a request is sent on it.
// The request is then sent once more, on a new connection. So it is if the lab's process stood still between dialing and
// sending.
func (l *Load) tryRESP(target *limiterTarget, firm *Firm, class Class, id uint64, retry bool, timeout time.Duration) (Outcome, time.Duration) {
	options := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=%d", class.Name, firm.Tier, max(timeout.Milliseconds(), 1), firm.Spread, firm.FirstLimiter)
	if retry {
		options += ",r=1"
	}
	args := [][]byte{[]byte("Q.ASK"), fmt.Appendf(nil, "%016x", firm.ID), []byte(requestID(id)), nil}
	if class.Keyed {
		options += fmt.Sprintf(",k=%016x", id)
		args = append(args, []byte("b"))
		args[0] = []byte("Q.DO")
	}
	args[3] = []byte(options)
	command := resp.AppendCommand(nil, args...)
	for closedWhileIdle := false; ; closedWhileIdle = true {
		conn, reused, ok := target.acquire(closedWhileIdle)
		if !ok {
			return ConnectionLost, 0
		}
		outcome, retryAfter, noData := conn.exchange(command, timeout)
		idle := reused || conn.writtenAt.Sub(conn.dialedAt) > maxDialToWrite
		if outcome == ConnectionLost && idle && noData {
			continue
		}
		if outcome != ConnectionLost && outcome != Unanswered {
			target.mu.Lock()
			target.idle = append(target.idle, conn)
			target.mu.Unlock()
		}
		return outcome, retryAfter
	}
}

// requestID formats a try's id as the request id that limiters and nodes see.
func requestID(id uint64) string { return fmt.Sprintf("%016x", id) }

// exchange writes a command and reads its reply. noData tells that not a byte of it arrived.
func (c *respConn) exchange(command []byte, timeout time.Duration) (outcome Outcome, retryAfter time.Duration, noData bool) {
	_ = c.conn.SetDeadline(time.Now().Add(max(timeout, 0) + time.Second))
	_, err := c.conn.Write(command)
	c.writtenAt = time.Now()
	if errors.Is(err, os.ErrDeadlineExceeded) { // not written: the lab's process stood still
		_ = c.conn.Close()
		return ConnectionLost, 0, true
	}
	buf := make([]byte, 4096)
	pendingRead := false
	for noData = true; err == nil; {
		var n int
		n, err = c.conn.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) && !pendingRead {
			pendingRead = true
			err = c.conn.SetReadDeadline(time.Now().Add(pendingReadTime))
		}
		noData = noData && n == 0
		c.parser.Feed(buf[:n])
		if r, ok, _ := c.parser.Reply(); ok {
			outcome, retryAfter = replyOutcome(r)
			return outcome, retryAfter, false
		}
	}
	_ = c.conn.Close()
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		return Unanswered, 0, noData
	}
	return ConnectionLost, 0, noData
}

// replyOutcome returns the outcome that a RESP2 reply stands for and, for "-BUSY MS", the delay before a retry.
func replyOutcome(r resp.Reply) (Outcome, time.Duration) {
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

// tryGRPC makes one try over the gRPC rate limit service.
func (l *Load) tryGRPC(target *limiterTarget, firm *Firm, class Class, timeout time.Duration) (Outcome, time.Duration) {
	target.mu.Lock()
	conn := target.grpcConn
	target.mu.Unlock()
	if conn == nil {
		return ConnectionLost, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	entry := func(key, value string) *entriesv3.RateLimitDescriptor_Entry {
		return &entriesv3.RateLimitDescriptor_Entry{Key: key, Value: value}
	}
	response, err := rlsv3.NewRateLimitServiceClient(conn).ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{Domain: "lab",
		Descriptors: []*entriesv3.RateLimitDescriptor{{Entries: []*entriesv3.RateLimitDescriptor_Entry{
			entry("firm", strconv.FormatUint(firm.ID, 16)), entry("tier", firm.Tier), entry("class", class.Name),
			entry("spread", strconv.Itoa(firm.Spread)), entry("first", strconv.Itoa(firm.FirstLimiter))}}}})
	switch {
	case err != nil:
		return Failed, 0
	case response.GetOverallCode() == rlsv3.RateLimitResponse_OK:
		return Admitted, 0
	}
	return Refused, response.GetStatuses()[0].GetDurationUntilReset().AsDuration()
}
