package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramblefall/internal/discovery"
	"bramblefall/internal/loopback"
)

const (
	beatEvery   = 2 * time.Second // an empty line, as the platform's discovery sends it
	mostAtOnce  = 5000            // servers that one change names: a line has a bound
	requestSize = 512
)

// Discovery is the stand-in for discovery of a large fleet: to each watch it tells the whole list once, and then changes as
// changes. A server's start carries the version that last named it (as a time long ago), so that who follows the list can
// tell how far it is.
type Discovery struct {
	ctx   context.Context
	meter sides
	turns int // of steady changes

	mu      sync.Mutex
	version int64
	servers []discovery.Server
	addrs   []string
	zones   []string
	whole   []byte // the list as a chunk; nil: to be made
	log     [][]byte
	changed chan struct{}
}

// DiscoveryStart is what a stand-in discovery begins with.
type DiscoveryStart struct {
	Listen  string // for hollow limiters; "": a free port of loopback
	Servers int
	Addrs   []string // of the servers, in turn
	Zones   []string
	Real    int // limiters
}

// Places is where a role listens: for hollow limiters and for each real one, so that it can tell them apart.
type Places struct {
	Hollow string
	Real   []string
}

// listenAt opens the listener for a limiter, or for all hollow ones (0), at the address that is named for these, if any.
func listenAt(hollow string, limiter int) (net.Listener, error) {
	if limiter == 0 && hollow != "" {
		return net.Listen("tcp", hollow)
	}
	return loopback.Listen()
}

// listenFor takes connections of hollow limiters at first ("": a free port) and of so many real ones at ports of their own.
func listenFor(first string, real int, serve func(conn net.Conn, who int)) (p Places, err error) {
	for k := range real + 1 {
		l, err := listenAt(first, k)
		if err != nil {
			return p, err
		}
		if k == 0 {
			p.Hollow = l.Addr().String()
		} else {
			p.Real = append(p.Real, l.Addr().String())
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go serve(conn, k)
			}
		}()
	}
	return p, nil
}

// Start begins to serve.
func (d *Discovery) Start(s DiscoveryStart, out *Places) (err error) {
	d.version, d.addrs, d.zones, d.changed = 1, s.Addrs, s.Zones, make(chan struct{})
	d.grow(s.Servers)
	d.meter = make(sides, s.Real+1)
	*out, err = listenFor(s.Listen, s.Real, d.serve)
	return err
}

func (d *Discovery) grow(to int) (added []discovery.Server) {
	from := len(d.servers)
	for k := from; k < to; k++ {
		d.servers = append(d.servers, discovery.Server{ID: fmt.Sprintf("s-%05x", k), Addr: d.addrs[k%len(d.addrs)], Zone: d.zones[k%len(d.zones)],
			Kind: "std-3core", State: "ready", Weight: 1, StartedMS: d.version})
	}
	return d.servers[from:]
}

// Change is one step of the list.
type Change struct {
	Grow  int    // to so many servers; 0: as they are
	From  int    // or the servers From, From+Step, ... below To
	To    int    //
	Step  int    //
	State string // get this state; gone ones stay in mind and may come back
}

// Told is when a change was written to the log, and the version that it made.
type Told struct {
	Version int64
	At      time.Duration
}

// Change changes the list and tells all watches. A growth beyond what a line bears is told in several.
func (d *Discovery) Change(c Change, out *Told) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	out.At = now()
	if c.Grow > 0 {
		for len(d.servers) < c.Grow {
			d.version++
			d.tell(d.grow(min(c.Grow, len(d.servers)+mostAtOnce)))
		}
		out.Version = d.version
		return nil
	}
	d.version++
	var named []discovery.Server
	for k := c.From; k < min(c.To, len(d.servers)); k += max(c.Step, 1) {
		d.servers[k].State, d.servers[k].StartedMS = c.State, d.version
		named = append(named, d.servers[k])
	}
	if len(named) == 0 {
		return fmt.Errorf("a change that names no server: %+v", c)
	}
	d.tell(named)
	out.Version = d.version
	return nil
}

// Steady tells changes at a rate for a time: servers drain and are ready again, in turn. It gives how many and the last.
func (d *Discovery) Steady(s Steady, out *Steadied) error {
	began := now()
	for {
		due := began + time.Duration(float64(out.Changes)/s.PerSecond*float64(time.Second)) + s.First
		if due >= began+s.For {
			return nil
		}
		select {
		case <-time.After(due - now()):
		case <-d.ctx.Done():
			return d.ctx.Err()
		}
		for range max(s.Burst, 1) {
			// Each server is drained by one change and ready by the next: no server stays out.
			k, state := d.turns/2%s.Among, "draining"
			if d.turns%2 == 1 {
				state = "ready"
			}
			d.turns++
			if err := d.Change(Change{From: k, To: k + 1, State: state}, &out.Last); err != nil {
				return err
			}
			out.Changes++
		}
	}
}

// Steady is a rate of changes for a time.
type Steady struct {
	PerSecond float64
	First     time.Duration // until the first
	For       time.Duration
	Among     int // servers that change
	Burst     int // changes at once; 0: one
}

// Steadied is what came of it.
type Steadied struct {
	Changes int
	Last    Told
}

func (d *Discovery) tell(named []discovery.Server) {
	d.whole = nil
	d.log = append(d.log, chunk(discovery.List{Version: d.version, Servers: named}))
	close(d.changed)
	d.changed = make(chan struct{})
}

func chunk(l discovery.List) []byte {
	raw, _ := json.Marshal(l)
	b := strconv.AppendInt(make([]byte, 0, len(raw)+12), int64(len(raw)+1), 16)
	return append(append(append(b, "\r\n"...), raw...), "\n\r\n"...)
}

var beatChunk = []byte("1\r\n\n\r\n")

// list is the whole list as a chunk. d.mu is held.
func (d *Discovery) list() []byte {
	if d.whole == nil {
		l := discovery.List{Version: d.version, Full: true}
		for _, s := range d.servers {
			if s.State != "gone" {
				l.Servers = append(l.Servers, s)
			}
		}
		d.whole = chunk(l)
	}
	return d.whole
}

// Size is the length of the whole list's line, and how many servers there are.
func (d *Discovery) Size(_ int, out *[2]int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	*out = [2]int{len(d.list()), len(d.servers)}
	return nil
}

// Traffic tells what was counted so far.
func (d *Discovery) Traffic(_ int, out *Sides) error {
	*out = d.meter.read()
	return nil
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	m *meter
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (d *Discovery) serve(raw net.Conn, who int) {
	m := &d.meter[who]
	conn := counted{raw, m}
	defer conn.Close()
	m.opened.Add(1)
	m.open.Add(1)
	defer m.open.Add(-1)
	from, ok := asked(conn)
	if !ok {
		return
	}
	m.messages.Add(1)
	out := []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	d.mu.Lock()
	at := len(d.log)
	if from < 2 || from > d.version { // versions begin at 1, and it takes one change to make 2
		out = append(out, d.list()...)
		m.wholes.Add(1)
	} else {
		at = int(from - 1)
		if at == len(d.log) {
			out = append(out, beatChunk...)
			m.beats.Add(1)
		}
	}
	d.mu.Unlock()
	m.messages.Add(1)
	if _, err := conn.Write(out); err != nil {
		return
	}
	gone := make(chan struct{})
	go func() { // a watch that its limiter has left must not stay
		_, _ = raw.Read(make([]byte, 1))
		close(gone)
	}()
	beat := time.NewTimer(beatEvery)
	defer beat.Stop()
	for {
		d.mu.Lock()
		news, changed := d.log[at:], d.changed
		d.mu.Unlock()
		text := beatChunk
		if len(news) == 0 {
			select {
			case <-changed:
				continue
			case <-gone:
				return
			case <-beat.C:
				m.beats.Add(1)
				m.messages.Add(1)
			}
		} else {
			if text = news[0]; len(news) > 1 {
				text = bytes.Join(news, nil)
			}
			at += len(news)
			m.changes.Add(int64(len(news)))
			m.messages.Add(int64(len(news)))
		}
		beat.Reset(beatEvery)
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
}

// asked reads the request for a watch, and from which version.
func asked(conn net.Conn) (from int64, ok bool) {
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, requestSize))
	if err != nil || req.URL.Path != "/registry/instances" || req.FormValue("watch") != "1" {
		return 0, false
	}
	from, err = strconv.ParseInt(req.FormValue("from"), 10, 64)
	return from, err == nil
}
