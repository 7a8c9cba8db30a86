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
	heartbeatInterval  = 2 * time.Second // an empty line, as the platform's discovery sends it
	maxServersPerLine  = 5000            // servers that one change names: a line has a bound
	requestBufferBytes = 512
)

// Discovery is the stand-in for discovery of a large fleet: to each watch it tells the whole list once, and then changes as
// changes. A server's start carries the version that last named it (as a time long ago), so that who follows the list can
// tell how far it is.
type Discovery struct {
	ctx              context.Context
	meters           groupMeters
	changesScheduled int // of steady changes

	mu        sync.Mutex
	version   int64
	servers   []discovery.Server
	addrs     []string
	zones     []string
	wholeList []byte // the list as a chunk; nil: to be made
	changeLog [][]byte
	changed   chan struct{}
}

// DiscoveryStart is what a stand-in discovery begins with.
type DiscoveryStart struct {
	HollowListen string // for hollow limiters; "": a free port of loopback
	Servers      int
	Addrs        []string // of the servers, in turn
	Zones        []string
	RealLimiters int // limiters
}

// Places is where a role listens: for hollow limiters and for each real one, so that it can tell them apart.
type Addresses struct {
	Hollow string
	Real   []string
}

// listenAt opens the listener for a limiter, or for all hollow ones (0), at the address that is named for these, if any.
func listenForGroup(hollow string, limiter int) (net.Listener, error) {
	if limiter == 0 && hollow != "" {
		return net.Listen("tcp", hollow)
	}
	return loopback.Listen()
}

// listenFor takes connections of hollow limiters at first ("": a free port) and of so many real ones at ports of their own.
func listenForLimiters(hollowAddr string, real int, serve func(conn net.Conn, group int)) (p Addresses, err error) {
	for k := range real + 1 {
		l, err := listenForGroup(hollowAddr, k)
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
func (d *Discovery) Start(s DiscoveryStart, out *Addresses) (err error) {
	d.version, d.addrs, d.zones, d.changed = 1, s.Addrs, s.Zones, make(chan struct{})
	d.addServers(s.Servers)
	d.meters = make(groupMeters, s.RealLimiters+1)
	*out, err = listenForLimiters(s.HollowListen, s.RealLimiters, d.serve)
	return err
}

func (d *Discovery) addServers(to int) (added []discovery.Server) {
	from := len(d.servers)
	for k := from; k < to; k++ {
		d.servers = append(d.servers, discovery.Server{ID: fmt.Sprintf("s-%05x", k), Addr: d.addrs[k%len(d.addrs)], Zone: d.zones[k%len(d.zones)],
			Kind: "std-3core", State: "ready", Weight: 1, StartedMS: d.version})
	}
	return d.servers[from:]
}

// Change is one step of the list.
type Change struct {
	GrowTo int    // to so many servers; 0: as they are
	From   int    // or the servers From, From+Step, ... below To
	To     int    //
	Step   int    //
	State  string // get this state; gone ones stay in mind and may come back
}

// Told is when a change was written to the log, and the version that it made.
type AppliedChange struct {
	Version   int64
	AppliedAt time.Duration
}

// Change changes the list and tells all watches. A growth beyond what a line bears is told in several.
func (d *Discovery) Change(c Change, out *AppliedChange) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	out.AppliedAt = now()
	if c.GrowTo > 0 {
		for len(d.servers) < c.GrowTo {
			d.version++
			d.logChange(d.addServers(min(c.GrowTo, len(d.servers)+maxServersPerLine)))
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
	d.logChange(named)
	out.Version = d.version
	return nil
}

// Steady tells changes at a rate for a time: servers drain and are ready again, in turn. It gives how many and the last.
func (d *Discovery) RunSchedule(s ChangeSchedule, out *ScheduleResult) error {
	began := now()
	for {
		due := began + time.Duration(float64(out.Changes)/s.ChangesPerSecond*float64(time.Second)) + s.FirstAfter
		if due >= began+s.Duration {
			return nil
		}
		select {
		case <-time.After(due - now()):
		case <-d.ctx.Done():
			return d.ctx.Err()
		}
		for range max(s.ChangesAtOnce, 1) {
			// Each server is drained by one change and ready by the next: no server stays out.
			k, state := d.changesScheduled/2%s.ServersChanged, "draining"
			if d.changesScheduled%2 == 1 {
				state = "ready"
			}
			d.changesScheduled++
			if err := d.Change(Change{From: k, To: k + 1, State: state}, &out.Last); err != nil {
				return err
			}
			out.Changes++
		}
	}
}

// Steady is a rate of changes for a time.
type ChangeSchedule struct {
	ChangesPerSecond float64
	FirstAfter       time.Duration // until the first
	Duration         time.Duration
	ServersChanged   int // servers that change
	ChangesAtOnce    int // changes at once; 0: one
}

// Steadied is what came of it.
type ScheduleResult struct {
	Changes int
	Last    AppliedChange
}

func (d *Discovery) logChange(changed []discovery.Server) {
	d.wholeList = nil
	d.changeLog = append(d.changeLog, encodeChunk(discovery.List{Version: d.version, Servers: changed}))
	close(d.changed)
	d.changed = make(chan struct{})
}

func encodeChunk(l discovery.List) []byte {
	raw, _ := json.Marshal(l)
	b := strconv.AppendInt(make([]byte, 0, len(raw)+12), int64(len(raw)+1), 16)
	return append(append(append(b, "\r\n"...), raw...), "\n\r\n"...)
}

var heartbeatChunk = []byte("1\r\n\n\r\n")

// list is the whole list as a chunk. d.mu is held.
func (d *Discovery) encodeList() []byte {
	if d.wholeList == nil {
		l := discovery.List{Version: d.version, Full: true}
		for _, s := range d.servers {
			if s.State != "gone" {
				l.Servers = append(l.Servers, s)
			}
		}
		d.wholeList = encodeChunk(l)
	}
	return d.wholeList
}

// Size is the length of the whole list's line, and how many servers there are.
func (d *Discovery) ListSize(_ int, out *[2]int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	*out = [2]int{len(d.encodeList()), len(d.servers)}
	return nil
}

// Traffic tells what was counted so far.
func (d *Discovery) Traffic(_ int, out *GroupTraffic) error {
	*out = d.meters.read()
	return nil
}

// counted is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	meter *meter
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (d *Discovery) serve(raw net.Conn, group int) {
	m := &d.meters[group]
	conn := countingConn{raw, m}
	defer conn.Close()
	m.connsOpened.Add(1)
	m.connsOpen.Add(1)
	defer m.connsOpen.Add(-1)
	from, ok := readWatchRequest(conn)
	if !ok {
		return
	}
	m.messages.Add(1)
	head := []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	d.mu.Lock()
	logIndex := len(d.changeLog)
	if from < 2 || from > d.version { // versions begin at 1, and it takes one change to make 2
		head = append(head, d.encodeList()...)
		m.wholeLists.Add(1)
	} else {
		logIndex = int(from - 1)
		if logIndex == len(d.changeLog) {
			head = append(head, heartbeatChunk...)
			m.heartbeats.Add(1)
		}
	}
	d.mu.Unlock()
	m.messages.Add(1)
	if _, err := conn.Write(head); err != nil {
		return
	}
	disconnected := make(chan struct{})
	go func() { // a watch that its limiter has left must not stay
		_, _ = raw.Read(make([]byte, 1))
		close(disconnected)
	}()
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		d.mu.Lock()
		unsent, changed := d.changeLog[logIndex:], d.changed
		d.mu.Unlock()
		out := heartbeatChunk
		if len(unsent) == 0 {
			select {
			case <-changed:
				continue
			case <-disconnected:
				return
			case <-heartbeat.C:
				m.heartbeats.Add(1)
				m.messages.Add(1)
			}
		} else {
			if out = unsent[0]; len(unsent) > 1 {
				out = bytes.Join(unsent, nil)
			}
			logIndex += len(unsent)
			m.changes.Add(int64(len(unsent)))
			m.messages.Add(int64(len(unsent)))
		}
		heartbeat.Reset(heartbeatInterval)
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

// asked reads the request for a watch, and from which version.
func readWatchRequest(conn net.Conn) (from int64, ok bool) {
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, requestBufferBytes))
	if err != nil || req.URL.Path != "/registry/instances" || req.FormValue("watch") != "1" {
		return 0, false
	}
	from, err = strconv.ParseInt(req.FormValue("from"), 10, 64)
	return from, err == nil
}
