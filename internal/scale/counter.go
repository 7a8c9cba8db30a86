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
	counterShards = 64
	longestLife   = 60_000
	idleAfter     = 10 * time.Second // a connection that is unused for so long is closed, as the platform's counter does
	forgetEvery   = 4096             // calls of a shard between two looks for names whose life is up
)

// Counter is the stand-in for the quota counter of a large fleet. Names are forgotten when their life is up.
type Counter struct {
	meter  sides
	shards [counterShards]shard
}

type shard struct {
	mu    sync.Mutex
	names map[string]total
	calls int
}

type total struct {
	sum   float64
	until time.Duration
}

// Start begins to serve hollow limiters and so many real ones.
func (c *Counter) Start(real int, out *Places) (err error) {
	c.meter = make(sides, real+1)
	for k := range c.shards {
		c.shards[k].names = map[string]total{}
	}
	*out, err = listenFor("", real, c.serve)
	return err
}

// Traffic tells what was counted so far. Changes are calls answered, Beats are pings.
func (c *Counter) Traffic(_ int, out *Sides) error {
	*out = c.meter.read()
	return nil
}

func (c *Counter) serve(raw net.Conn, who int) {
	m := &c.meter[who]
	conn := counted{raw, m}
	defer conn.Close()
	m.opened.Add(1)
	m.open.Add(1)
	defer m.open.Add(-1)
	in := bufio.NewReaderSize(conn, 1024)
	var out []byte
	for set := time.Duration(0); ; {
		if at := now(); at-set > idleAfter/10 {
			set = at
			_ = raw.SetReadDeadline(time.Now().Add(idleAfter))
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

func (c *Counter) answer(out, line []byte, m *meter) []byte {
	line = bytes.TrimRight(line, "\r\n")
	if string(line) == "ping" {
		m.beats.Add(1)
		return append(out, "pong\r\n"...)
	}
	words := bytes.Fields(line)
	if len(words) != 4 || string(words[0]) != "add" {
		return append(out, "error\r\n"...)
	}
	amount, err1 := strconv.ParseFloat(string(words[2]), 64)
	life, err2 := strconv.Atoi(string(words[3]))
	if err1 != nil || err2 != nil {
		return append(out, "error\r\n"...)
	}
	m.changes.Add(1)
	at := now()
	hash := uint32(2166136261)
	for _, b := range words[1] {
		hash = (hash ^ uint32(b)) * 16777619
	}
	s := &c.shards[hash%counterShards]
	s.mu.Lock()
	n, ok := s.names[string(words[1])]
	if !ok || at > n.until {
		n = total{until: at + time.Duration(min(life, longestLife))*time.Millisecond}
	}
	n.sum += amount
	s.names[string(words[1])] = n
	if s.calls++; s.calls%forgetEvery == 0 {
		for name, x := range s.names {
			if at > x.until {
				delete(s.names, name)
			}
		}
	}
	s.mu.Unlock()
	return append(strconv.AppendFloat(append(out, "ok "...), n.sum, 'g', 7, 64), "\r\n"...)
}
