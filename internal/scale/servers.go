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

// Servers is the role of the stand-in servers: all entries of the list share a few listeners. Each answer says how long the
// request was at the server, so that the load can tell the time added on the way.
type Servers struct {
	requests atomic.Int64
	work     time.Duration
}

// ServersStart configures the stand-in servers.
type ServersStart struct {
	Listeners int
	Work      time.Duration // time that each request takes
}

// Start begins to serve and returns the listeners' addresses.
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

// Requests returns how many requests were received so far.
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
				answer = standin.ValueReply(strconv.FormatInt(int64(now()-receivedAt), 10))
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	}
}
