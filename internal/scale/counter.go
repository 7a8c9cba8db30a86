package scale

import (
	"bufio"
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"
)

const (
	counterShards  = 64
	maxTTLMS       = 60_000
	idleTimeout    = 10 * time.Second // an idle connection is closed after it, as by the platform's counter
	callsPerExpiry = 4096             // calls of a shard between two removals of its expired totals
)

// Counter is the role of the stand-in quota counter of a large fleet. Totals are removed some time after they have expired.
type Counter struct {
	meters groupMeters
	shards [counterShards]shard
}

// shard holds a part of the totals under a lock of its own.
type shard struct {
	mu     sync.Mutex
	totals map[string]total
	calls  int
}

// total is the sum counted under a name.
type total struct {
	sum       float64
	expiresAt time.Duration // by now()
}

// Start begins to serve hollow limiters and the given number of real ones.
func (c *Counter) Start(realLimiters int, out *Addresses) (err error) {
	c.meters = make(groupMeters, realLimiters+1)
	for k := range c.shards {
		c.shards[k].totals = map[string]total{}
	}
	*out, err = listenForLimiters("", realLimiters, c.serve)
	return err
}

// Traffic returns the traffic so far. Its Changes are the calls that were answered, its Heartbeats the pings.
func (c *Counter) Traffic(_ int, out *GroupTraffic) error {
	*out = c.meters.read()
	return nil
}

// serve answers the calls on one connection of a group of limiters (0: hollow ones, k: the k-th real one).
func (c *Counter) serve(raw net.Conn, group int) {
	m := &c.meters[group]
	conn := countingConn{raw, m}
	defer conn.Close()
	m.connsOpened.Add(1)
	m.connsOpen.Add(1)
	defer m.connsOpen.Add(-1)
	in := bufio.NewReaderSize(conn, 1024)
	var out []byte
	for deadlineSetAt := time.Duration(0); ; {
		if at := now(); at-deadlineSetAt > idleTimeout/10 {
			deadlineSetAt = at
			_ = raw.SetReadDeadline(time.Now().Add(idleTimeout))
		}
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		out = c.answer(out, line, m)
		m.messages.Add(2) // the call and its answer
		if in.Buffered() > 0 {
			continue
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
		out = out[:0]
	}
}

// answer carries out one call and appends its reply to out.
func (c *Counter) answer(out, line []byte, m *meter) []byte {
	line = bytes.TrimRight(line, "\r\n")
	if string(line) == "ping" {
		m.heartbeats.Add(1)
		return append(out, "pong\r\n"...)
	}
	fields := bytes.Fields(line)
	if len(fields) != 4 || string(fields[0]) != "add" {
		return append(out, "error\r\n"...)
	}
	amount, err1 := strconv.ParseFloat(string(fields[2]), 64)
	ttlMS, err2 := strconv.Atoi(string(fields[3]))
	if err1 != nil || err2 != nil {
		return append(out, "error\r\n"...)
	}
	m.changes.Add(1)
	at := now()
	hash := uint32(2166136261)
	for _, b := range fields[1] {
		hash = (hash ^ uint32(b)) * 16777619
	}
	s := &c.shards[hash%counterShards]
	s.mu.Lock()
	n, ok := s.totals[string(fields[1])]
	if !ok || at > n.expiresAt {
		n = total{expiresAt: at + time.Duration(min(ttlMS, maxTTLMS))*time.Millisecond}
	}
	n.sum += amount
	s.totals[string(fields[1])] = n
	if s.calls++; s.calls%callsPerExpiry == 0 {
		for name, x := range s.totals {
			if at > x.expiresAt {
				delete(s.totals, name)
			}
		}
	}
	s.mu.Unlock()
	return append(strconv.AppendFloat(append(out, "ok "...), n.sum, 'g', 7, 64), "\r\n"...)
}
