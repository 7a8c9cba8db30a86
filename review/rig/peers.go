package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblefall/internal/loopback"
	"bramblefall/internal/resp"
)

const (
	connIdle    = 15 * time.Second // after which servers close an idle connection, as in the settings
	counterIdle = 10 * time.Second // the same of the counter
	counterMost = 32               // connections that the counter holds; it resets any more
)

// Send is a command as a server got it.
type Send struct {
	Server, ID string
	FirstByte  time.Duration // since the start of the case
	Whole      time.Duration
	Terms      string
	Answer     string
	Peer       string // address of the limiter's end
}

// Server is a stand-in for an exchange node.
type Server struct {
	ID, Zone, Addr string
	Work           time.Duration // time from the last byte of a command to its answer

	c        *Case
	listener net.Listener
	mu       sync.Mutex
	sends    []Send
	conns    map[net.Conn]struct{}
}

// AddServer starts a server.
func (c *Case) AddServer(id, zone string, work time.Duration) *Server {
	l, err := loopback.Listen()
	c.Check(err)
	s := &Server{ID: id, Zone: zone, Addr: l.Addr().String(), Work: work, c: c, listener: l, conns: map[net.Conn]struct{}{}}
	c.Note("server %s of %s listens at %s", id, zone, s.Addr)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

// Sends returns the commands that the server has got so far.
func (s *Server) Sends() []Send {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Send(nil), s.sends...)
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	var p resp.Parser
	var first time.Duration
	buf := make([]byte, 64<<10)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(connIdle))
		n, err := conn.Read(buf)
		if n > 0 && p.Buffered() == 0 {
			first = s.c.Since()
		}
		p.Feed(buf[:n])
		for {
			args, ok, bad := p.Command()
			if bad != nil {
				s.c.Note("server %s got bytes that are no command: %v", s.ID, bad)
				return
			}
			if !ok {
				break
			}
			if !s.command(conn, args, first) {
				return
			}
			first = s.c.Since()
		}
		if err != nil {
			return
		}
	}
}

func (s *Server) command(conn net.Conn, args [][]byte, first time.Duration) bool {
	name := string(args[0])
	if name != "Q.ASK" && name != "Q.DO" {
		answer := "-ERR unknown command\r\n"
		switch {
		case name == "PING":
			answer = "+PONG\r\n"
		case name == "CLIENT" || name == "SELECT":
			answer = "+OK\r\n"
		case name == "INFO" && len(args) == 2 && string(args[1]) == "load":
			load := "backlog=0,utilization=0.10,outstanding=1"
			answer = fmt.Sprintf("$%d\r\n%s\r\n", len(load), load)
		}
		_, err := conn.Write([]byte(answer))
		return err == nil
	}
	if len(args) < 4 { // a form that no client sends
		_, err := conn.Write([]byte("-SYNTAX\r\n"))
		return err == nil
	}
	send := Send{Server: s.ID, ID: string(args[2]), FirstByte: first, Whole: s.c.Since(), Terms: string(args[3]), Peer: conn.RemoteAddr().String()}
	answer := Value(send.ID + "@" + s.ID)
	send.Answer = strings.TrimSpace(strings.ReplaceAll(answer, "\r\n", " "))
	s.mu.Lock()
	s.sends = append(s.sends, send)
	s.mu.Unlock()
	s.c.Note("server %s got %s %s %s, answers %q", s.ID, name, send.ID, send.Terms, send.Answer)
	time.Sleep(s.Work)
	_, err := conn.Write([]byte(answer))
	return err == nil
}

// Value is the answer of a server that serves a request with a text.
func Value(text string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(text), text)
}

// Counter is a stand-in for the quota counter.
type Counter struct {
	Addr string

	mu     sync.Mutex
	open   int // connections
	totals map[string]float64
	ends   map[string]time.Time
}

// AddCounter starts a counter.
func (c *Case) AddCounter() *Counter {
	l, err := loopback.Listen()
	c.Check(err)
	k := &Counter{Addr: l.Addr().String(), totals: map[string]float64{}, ends: map[string]time.Time{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	return k
}

func (k *Counter) serve(conn net.Conn) {
	defer conn.Close()
	k.mu.Lock()
	k.open++
	tooMany := k.open > counterMost
	k.mu.Unlock()
	defer func() { k.mu.Lock(); k.open--; k.mu.Unlock() }()
	if tooMany {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	for lines := bufio.NewScanner(conn); ; {
		_ = conn.SetReadDeadline(time.Now().Add(counterIdle))
		if !lines.Scan() {
			return
		}
		if _, err := fmt.Fprintf(conn, "%s\r\n", k.answer(strings.TrimSpace(lines.Text()))); err != nil {
			return
		}
	}
}

func (k *Counter) answer(line string) string {
	words := strings.Fields(line)
	if line == "ping" {
		return "pong"
	}
	if len(words) != 4 || words[0] != "add" {
		return "error"
	}
	amount, err := strconv.ParseFloat(words[2], 64)
	lives, err2 := strconv.Atoi(words[3])
	if err != nil || err2 != nil {
		return "error"
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.After(k.ends[words[1]]) {
		k.totals[words[1]], k.ends[words[1]] = 0, now.Add(time.Duration(min(lives, 60000))*time.Millisecond)
	}
	k.totals[words[1]] += amount
	return fmt.Sprintf("ok %.7g", k.totals[words[1]])
}

// agentVersion is the version of the list that agents tell.
const agentVersion = 41

// Agent is a stand-in for the agent of discovery on a limiter's machine. Its list does not change.
type Agent struct {
	Addr string

	c       *Case
	servers []Object
}

// AddAgent starts an agent that lists the servers as ready.
func (c *Case) AddAgent(servers ...*Server) *Agent {
	l, err := loopback.Listen()
	c.Check(err)
	a := &Agent{Addr: l.Addr().String(), c: c}
	for _, s := range servers {
		a.servers = append(a.servers, Object{"id": s.ID, "addr": s.Addr, "zone": s.Zone, "kind": "std-3core", "cell": 0, "state": "ready",
			"weight": 1.0, "started_ms": 0})
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a
}

// Known is the list, also in the form of the configuration.
func (a *Agent) Known() Object {
	return Object{"version": agentVersion, "full": true, "servers": a.servers}
}

func (a *Agent) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	a.c.Note("a call of discovery: %s", req.URL)
	if req.FormValue("watch") != "1" {
		list, _ := json.Marshal(a.Known())
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		return
	}
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	line := []byte("\n")
	if from, _ := strconv.Atoi(req.FormValue("from")); from < agentVersion {
		list, _ := json.Marshal(a.Known())
		line = append(list, '\n')
	}
	for {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
		line = []byte("\n")
		time.Sleep(2 * time.Second)
	}
}
