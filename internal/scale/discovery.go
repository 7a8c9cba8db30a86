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
	heartbeatInterval  = 2 * time.Second // between the empty lines that the platform's discovery also sends
	maxServersPerLine  = 5000            // limiters accept lines up to a certain length only
	requestBufferBytes = 512
)

// Discovery is the role of the stand-in discovery of a large fleet. It sends each watch the whole list once and then only
// changes. The start time of a server (in milliseconds, so a time long ago) is the version of the list that last named it: from
// that a limiter that follows the list can tell which version it has.
type Discovery struct {
	ctx              context.Context
	meters           groupMeters
	changesScheduled int // made by RunSchedule so far

	mu        sync.Mutex
	version   int64
	servers   []discovery.Server
	addrs     []string
	zones     []string
	wholeList []byte        // the current list as a chunk; nil: has to be encoded again
	changeLog [][]byte      // each change as a chunk; the one at index k made version k+2
	changed   chan struct{} // closed and replaced with each change
}

// DiscoveryStart configures the stand-in discovery.
type DiscoveryStart struct {
	HollowListen string   // address for hollow limiters; "": a free port of loopback
	Servers      int      // on the list at first
	Addrs        []string // of the stand-in servers, given to the listed servers in turn
	Zones        []string // given to the listed servers in turn
	RealLimiters int      // number of them, each of which gets an address of its own
}

// Addresses are where a role listens: one address for all hollow limiters and one for each real limiter, so that the role can
// tell their connections apart.
type Addresses struct {
	Hollow string
	Real   []string
}

// listenForGroup opens the listener of a group of limiters: 0 is the hollow ones, for which an address may be given.
func listenForGroup(hollowAddr string, group int) (net.Listener, error) {
	if group == 0 && hollowAddr != "" {
		return net.Listen("tcp", hollowAddr)
	}
	return loopback.Listen()
}

// listenForLimiters accepts connections of hollow limiters at hollowAddr ("": a free port), and of each real limiter at a port
// of its own. serve is called with the group of the limiter: 0 is the hollow ones, k the k-th real one.
func listenForLimiters(hollowAddr string, realLimiters int, serve func(conn net.Conn, group int)) (p Addresses, err error) {
	for k := range realLimiters + 1 {
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

// Start begins to serve watches and returns the addresses.
func (d *Discovery) Start(s DiscoveryStart, out *Addresses) (err error) {
	d.version, d.addrs, d.zones, d.changed = 1, s.Addrs, s.Zones, make(chan struct{})
	d.addServers(s.Servers)
	d.meters = make(groupMeters, s.RealLimiters+1)
	*out, err = listenForLimiters(s.HollowListen, s.RealLimiters, d.serve)
	return err
}

// addServers lengthens the list to the given number of servers and returns the new ones. d.mu is held, or nothing is served yet.
func (d *Discovery) addServers(to int) (added []discovery.Server) {
	from := len(d.servers)
	for k := from; k < to; k++ {
		d.servers = append(d.servers, discovery.Server{ID: fmt.Sprintf("s-%05x", k), Addr: d.addrs[k%len(d.addrs)], Zone: d.zones[k%len(d.zones)],
			Kind: "std-3core", State: "ready", Weight: 1, StartedMS: d.version})
	}
	return d.servers[from:]
}

// Change is a change of the list: either its growth to GrowTo servers, or where that is 0 a new State of the servers From,
// From+Step, ... below To. A server that is gone is remembered and may come back.
type Change struct {
	GrowTo int // servers on the list afterwards
	From   int
	To     int
	Step   int // 0: 1
	State  string
}

// AppliedChange is the version that a change made, and when it was made.
type AppliedChange struct {
	Version   int64
	AppliedAt time.Duration // by now()
}

// Change changes the list and notifies all watches. A growth by more than maxServersPerLine is sent as several changes.
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
	var changed []discovery.Server
	for k := c.From; k < min(c.To, len(d.servers)); k += max(c.Step, 1) {
		d.servers[k].State, d.servers[k].StartedMS = c.State, d.version
		changed = append(changed, d.servers[k])
	}
	if len(changed) == 0 {
		return fmt.Errorf("the change %+v names none of %d servers", c, len(d.servers))
	}
	d.logChange(changed)
	out.Version = d.version
	return nil
}

// RunSchedule makes changes at a rate for a given time: servers are drained and made ready again, one after the other. It
// returns the number of changes and the last one.
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
			// One change drains a server and the next makes it ready again, so that no server stays out of service.
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

// ChangeSchedule is a rate of changes for a given time.
type ChangeSchedule struct {
	ChangesPerSecond float64
	FirstAfter       time.Duration // from the beginning until the first change
	Duration         time.Duration
	ServersChanged   int // number of servers, from the first of the list on, that are changed in turn
	ChangesAtOnce    int // made each time one is due; 0: one
}

// ScheduleResult is the number of changes that a schedule made, and the last of them.
type ScheduleResult struct {
	Changes int
	Last    AppliedChange
}

// logChange appends a change to the log under the current version and wakes all watches. d.mu is held.
func (d *Discovery) logChange(changed []discovery.Server) {
	d.wholeList = nil
	d.changeLog = append(d.changeLog, encodeChunk(discovery.List{Version: d.version, Servers: changed}))
	close(d.changed)
	d.changed = make(chan struct{})
}

// encodeChunk encodes a list as a line in a chunk of HTTP's chunked transfer encoding.
func encodeChunk(l discovery.List) []byte {
	raw, _ := json.Marshal(l)
	b := strconv.AppendInt(make([]byte, 0, len(raw)+12), int64(len(raw)+1), 16)
	return append(append(append(b, "\r\n"...), raw...), "\n\r\n"...)
}

// heartbeatChunk is a chunk with an empty line.
var heartbeatChunk = []byte("1\r\n\n\r\n")

// encodeList returns the whole list as a chunk, without servers that are gone. d.mu is held.
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

// ListSize returns the length in bytes of the whole list's chunk, and the number of servers, gone ones included.
func (d *Discovery) ListSize(_ int, out *[2]int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	*out = [2]int{len(d.encodeList()), len(d.servers)}
	return nil
}

// Traffic returns the traffic so far.
func (d *Discovery) Traffic(_ int, out *GroupTraffic) error {
	*out = d.meters.read()
	return nil
}

// countingConn counts the bytes of a connection in both directions.
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

// serve serves one watch of a limiter of the given group.
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
	if from < 2 || from > d.version { // the log begins with the change that made version 2
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
	go func() { // ends the watch when the limiter closes its connection
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

// readWatchRequest reads the request for a watch and returns the version from which changes are wanted.
func readWatchRequest(conn net.Conn) (from int64, ok bool) {
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, requestBufferBytes))
	if err != nil || req.URL.Path != "/registry/instances" || req.FormValue("watch") != "1" {
		return 0, false
	}
	from, err = strconv.ParseInt(req.FormValue("from"), 10, 64)
	return from, err == nil
}
