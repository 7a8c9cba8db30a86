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
	deadline     = 4 * time.Second // of a request, as the class balance-read has it
	clientWaits  = deadline + time.Second
	finest       = int64(time.Microsecond)
	longestAdded = int64(10 * time.Second)
)

// Load sends requests to real limiters, open loop: arrivals wait for no answer.
type Load struct{ next atomic.Uint64 }

// LoadTarget is one limiter under load.
type LoadTarget struct {
	Addr      string
	PerSecond float64
	Firms     int // in turn by chance; FirstFirm is the first one's number
	FirstFirm uint64
	Spread    int
	First     int // of the firms' set of limiters
	Tier      string
	InTurn    bool // every firm is asked for once before one is twice
}

// LoadRun is a load for a time.
type LoadRun struct {
	Targets []LoadTarget
	Warm    time.Duration // at the beginning, while connections come up: counted, but not timed
	For     time.Duration
	Seed    uint64
}

// Loaded is what became of the requests.
type Loaded struct {
	Sent, Served, Refused, Lost int
	Timed                       int
	P50, P99                    float64 // ms that a timed request took beyond its time with the server
	Why                         string  // of the first that was lost
}

type gang struct {
	mu   sync.Mutex
	idle []*client
	sum  Loaded
	hist *hdrhistogram.Histogram
}

type client struct {
	conn   net.Conn
	parser resp.Parser
}

// Run sends until the time is up, then waits for what is out.
func (l *Load) Run(r LoadRun, out *Loaded) error {
	all := hdrhistogram.New(finest, longestAdded, 3)
	var wg sync.WaitGroup
	gangs := make([]*gang, len(r.Targets))
	for k, t := range r.Targets {
		g := &gang{hist: hdrhistogram.New(finest, longestAdded, 3)}
		gangs[k] = g
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.target(g, t, r.Warm, r.For, rand.New(rand.NewPCG(r.Seed, uint64(k))))
		}()
	}
	wg.Wait()
	for _, g := range gangs {
		out.Sent += g.sum.Sent
		out.Served += g.sum.Served
		out.Refused += g.sum.Refused
		out.Lost += g.sum.Lost
		if out.Why == "" {
			out.Why = g.sum.Why
		}
		all.Merge(g.hist)
		for _, c := range g.idle {
			_ = c.conn.Close()
		}
	}
	out.Timed = int(all.TotalCount())
	out.P50, out.P99 = float64(all.ValueAtQuantile(50))/1e6, float64(all.ValueAtQuantile(99))/1e6
	return nil
}

func (l *Load) target(g *gang, t LoadTarget, warm, lasts time.Duration, rng *rand.Rand) {
	if t.PerSecond <= 0 {
		return
	}
	var wg sync.WaitGroup
	began := time.Now()
	due := began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / t.PerSecond * float64(time.Second)))
		if due.Sub(began) >= lasts {
			break
		}
		time.Sleep(time.Until(due))
		firm := t.FirstFirm + uint64(rng.IntN(max(t.Firms, 1)))
		if t.InTurn {
			firm = t.FirstFirm + uint64(n%max(t.Firms, 1))
		}
		timed := due.Sub(began) >= warm
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.ask(g, t, firm, timed)
		}()
	}
	wg.Wait()
}

func (g *gang) note(do func(*Loaded)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(&g.sum)
}

// ask sends one request. A limiter may close a connection between requests: where that crosses a request, it is sent once
// more, on a new connection.
func (l *Load) ask(g *gang, t LoadTarget, firm uint64, timed bool) {
	terms := fmt.Sprintf("c=balance-read,t=%s,d=%d,units=1,spread=%d,first=%d", t.Tier, deadline.Milliseconds(), t.Spread, t.First)
	command := resp.AppendCommand(nil, []byte("Q.ASK"), fmt.Appendf(nil, "%016x", firm), fmt.Appendf(nil, "%016x", l.next.Add(1)), []byte(terms))
	g.note(func(s *Loaded) { s.Sent++ })
	for fresh := false; ; fresh = true {
		c, used, err := g.take(t.Addr, fresh)
		if err != nil {
			g.note(func(s *Loaded) { s.Lost++; s.Why = err.Error() })
			return
		}
		began := now()
		r, silent, err := c.exchange(command)
		took := now() - began
		if err != nil {
			_ = c.conn.Close()
			if used && silent {
				continue
			}
			g.note(func(s *Loaded) { s.Lost++; s.Why = err.Error() })
			return
		}
		g.note(func(s *Loaded) {
			g.idle = append(g.idle, c)
			switch {
			case len(r.Elems) > 0 || r.Kind == '$' && !r.Null:
				s.Served++
				if work, err := strconv.ParseInt(value(r), 10, 64); err == nil && timed {
					_ = g.hist.RecordValue(max(int64(took)-work, 0))
				}
			case r.Kind == '-' && len(r.Text) >= 4 && string(r.Text[:4]) == "BUSY":
				s.Refused++
			default:
				s.Lost++
				s.Why = string(r.Text)
			}
		})
		return
	}
}

func value(r resp.Reply) string {
	if len(r.Elems) > 0 {
		return string(r.Elems[0].Text)
	}
	return string(r.Text)
}

func (g *gang) take(addr string, fresh bool) (c *client, used bool, err error) {
	g.mu.Lock()
	if n := len(g.idle); n > 0 && !fresh {
		c = g.idle[n-1]
		g.idle = g.idle[:n-1]
		g.mu.Unlock()
		return c, true, nil
	}
	g.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &client{conn: conn}, false, nil
}

// exchange writes a command and reads its answer. silent: the connection ended without a byte.
func (c *client) exchange(command []byte) (r resp.Reply, silent bool, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(clientWaits))
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
