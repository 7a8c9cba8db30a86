package scale

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"bramblefall/internal/loopback"
	"bramblefall/internal/resp"
	"bramblefall/internal/standin"
)

// Servers are hollow servers: any number of entries of the list share a few listeners. What they serve tells how long it
// lay with them, so that the rest of a request's time is known.
type Servers struct {
	requests atomic.Int64
	work     time.Duration
}

// ServersStart is what hollow servers begin with.
type ServersStart struct {
	Listeners int
	Work      time.Duration // of a request
}

// Start begins to serve.
func (s *Servers) Start(a ServersStart, out *[]string) error {
	s.work = a.Work
	for range a.Listeners {
		l, err := loopback.Listen()
		if err != nil {
			return err
		}
		*out = append(*out, l.Addr().String())
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(conn)
			}
		}()
	}
	return nil
}

// Took is how many requests have come.
func (s *Servers) Requests(_ int, out *int64) error {
	*out = s.requests.Load()
	return nil
}

func (s *Servers) serve(conn net.Conn) {
	defer conn.Close()
	var p resp.Parser
	buf := make([]byte, 4<<10)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		receivedAt := now()
		p.Feed(buf[:n])
		for {
			args, ok, bad := p.Command()
			if bad != nil {
				return
			}
			if !ok {
				break
			}
			answer := resp.AppendBulk(nil, []byte("inflight=1,queue=0,util=0.1"))
			if name := string(args[0]); name == "Q.ASK" || name == "Q.DO" {
				s.requests.Add(1)
				time.Sleep(s.work)
				answer = standin.Value(strconv.FormatInt(int64(now()-receivedAt), 10))
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	}
}
