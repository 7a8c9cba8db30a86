package scale

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramblefall/internal/resp"
)

const (
	requestDeadline  = 4 * time.Second // the deadline of the class balance-read
	clientTimeout    = requestDeadline + time.Second
	minRecordedNanos = int64(time.Microsecond) // resolution of the histograms
	maxRecordedNanos = int64(10 * time.Second)
)

// Load is the role that sends requests to real limiters in an open loop: arrivals do not wait for earlier answers.
type Load struct{ nextRequest atomic.Uint64 }

// LoadTarget is one limiter under load, and the requests that it gets.
type LoadTarget struct {
	Addr              string
	RequestsPerSecond float64
	Firms             int    // numbered from FirstFirmID on; each request is of one of them at random
	FirstFirmID       uint64 // of the firms
	LimitersPerFirm   int    // the option spread of a request
	FirstLimiter      int    // the option first of a request: where the firms' set of limiters begins
	Tier              string
	RoundRobin        bool // the firms send requests in turn instead of at random
}

// LoadRun is a load on several targets for a given time.
type LoadRun struct {
	Targets  []LoadTarget
	Warmup   time.Duration // at the beginning, while connections are opened: requests are counted, but their time is not
	Duration time.Duration
	Seed     uint64
}

// LoadResult is what became of the requests.
type LoadResult struct {
	Sent, Served, Refused, Lost int
	Timed                       int     // served requests whose time was recorded
	P50MS, P99MS                float64 // percentiles of what a timed request took beyond its time at the server
	LostReason                  string  // of a lost request
}

// clientPool holds the idle connections to one target, and its results.
type clientPool struct {
	mu        sync.Mutex
	idle      []*client
	results   LoadResult
	addedTime *hdrhistogram.Histogram // in nanoseconds
}

// client is a connection that carries one request at a time.
type client struct {
	conn   net.Conn
	parser resp.Parser
}

// Run sends requests until the time is up, waits for their answers and sums up the results of all targets.
func (l *Load) Run(r LoadRun, out *LoadResult) error {
	all := hdrhistogram.New(minRecordedNanos, maxRecordedNanos, 3)
	var wg sync.WaitGroup
	pools := make([]*clientPool, len(r.Targets))
	for k, t := range r.Targets {
		pool := &clientPool{addedTime: hdrhistogram.New(minRecordedNanos, maxRecordedNanos, 3)}
		pools[k] = pool
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.runTarget(pool, t, r.Warmup, r.Duration, rand.New(rand.NewPCG(r.Seed, uint64(k))))
		}()
	}
	wg.Wait()
	for _, pool := range pools {
		out.Sent += pool.results.Sent
		out.Served += pool.results.Served
		out.Refused += pool.results.Refused
		out.Lost += pool.results.Lost
		if out.LostReason == "" {
			out.LostReason = pool.results.LostReason
		}
		all.Merge(pool.addedTime)
		for _, c := range pool.idle {
			_ = c.conn.Close()
		}
	}
	out.Timed = int(all.TotalCount())
	out.P50MS, out.P99MS = float64(all.ValueAtQuantile(50))/1e6, float64(all.ValueAtQuantile(99))/1e6
	return nil
}

// runTarget sends requests to one target at random intervals, for the given time.
func (l *Load) runTarget(pool *clientPool, t LoadTarget, warmup, duration time.Duration, rng *rand.Rand) {
	if t.RequestsPerSecond <= 0 {
		return
	}
	var wg sync.WaitGroup
	began := time.Now()
	due := began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / t.RequestsPerSecond * float64(time.Second)))
		if due.Sub(began) >= duration {
			break
		}
		time.Sleep(time.Until(due))
		firm := t.FirstFirmID + uint64(rng.IntN(max(t.Firms, 1)))
		if t.RoundRobin {
			firm = t.FirstFirmID + uint64(n%max(t.Firms, 1))
		}
		timed := due.Sub(began) >= warmup
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.send(pool, t, firm, timed)
		}()
	}
	wg.Wait()
}

func (p *clientPool) update(do func(*LoadResult)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(&p.results)
}

// send sends one request and records its result. A limiter may close an idle connection just as a request is sent on it: the
// request is then sent again, on a new connection.
func (l *Load) send(pool *clientPool, t LoadTarget, firm uint64, timed bool) {
	options := fmt.Sprintf("c=balance-read,t=%s,d=%d,units=1,spread=%d,first=%d", t.Tier, requestDeadline.Milliseconds(), t.LimitersPerFirm, t.FirstLimiter)
	command := resp.AppendCommand(nil, []byte("Q.ASK"), fmt.Appendf(nil, "%016x", firm), fmt.Appendf(nil, "%016x", l.nextRequest.Add(1)), []byte(options))
	pool.update(func(s *LoadResult) { s.Sent++ })
	for fresh := false; ; fresh = true {
		c, reused, err := pool.acquire(t.Addr, fresh)
		if err != nil {
			pool.update(func(s *LoadResult) { s.Lost++; s.LostReason = err.Error() })
			return
		}
		began := now()
		r, silent, err := c.exchange(command)
		took := now() - began
		if err != nil {
			_ = c.conn.Close()
			if reused && silent {
				continue
			}
			pool.update(func(s *LoadResult) { s.Lost++; s.LostReason = err.Error() })
			return
		}
		pool.update(func(s *LoadResult) {
			pool.idle = append(pool.idle, c)
			switch {
			case len(r.Elems) > 0 || r.Kind == '$' && !r.Null:
				s.Served++
				if work, err := strconv.ParseInt(bulkText(r), 10, 64); err == nil && timed {
					_ = pool.addedTime.RecordValue(max(int64(took)-work, 0))
				}
			case r.Kind == '-' && len(r.Text) >= 4 && string(r.Text[:4]) == "BUSY":
				s.Refused++
			default:
				s.Lost++
				s.LostReason = string(r.Text)
			}
		})
		return
	}
}

// bulkText is the text of a bulk string, or of the first element of an array.
func bulkText(r resp.Reply) string {
	if len(r.Elems) > 0 {
		return string(r.Elems[0].Text)
	}
	return string(r.Text)
}

// acquire returns an idle connection (reused), or opens one; fresh asks for a new one in any case.
func (p *clientPool) acquire(addr string, fresh bool) (c *client, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !fresh {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &client{conn: conn}, false, nil
}

// exchange writes a command and reads its reply. silent means that the connection ended before any byte of a reply.
func (c *client) exchange(command []byte) (r resp.Reply, silent bool, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err = c.conn.Write(command)
	var buf [1024]byte
	for silent = true; err == nil; {
		var n int
		n, err = c.conn.Read(buf[:])
		silent = silent && n == 0
		c.parser.Feed(buf[:n])
		if r, ok, bad := c.parser.Reply(); ok || bad != nil {
			return r, false, bad
		}
	}
	return r, silent, err
}
