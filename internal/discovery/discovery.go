// Package discovery follows the list of servers over HTTP, by a watch that delivers the whole list first and then changes.
// follow.go decides when to start a request and which watch to use, watch.go reads one watch, monitor.go detects its stalls.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/wire"
	"bramblefall/logic"
)

const (
	dialTimeout = time.Second
	logInterval = time.Second // between two log lines about watches that ended
)

// List is discovery's list of servers, either complete or as changes to the list before.
type List struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Server is an entry of a List.
type Server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Addresses receives the addresses of servers. Withdraw stops new requests to a server.
type Addresses interface {
	SetAddress(id logic.ServerID, addr string)
	Withdraw(id logic.ServerID)
}

// Client follows discovery's list and posts it as the upstream group of the platform's servers.
type Client struct {
	zones     *wire.NameIndex
	kinds     *wire.NameIndex
	addresses Addresses
	post      func(core.Event)
	timing    timing

	version    atomic.Int64
	stalls     atomic.Int64  // the follower's count, read by the next watch
	synced     chan struct{} // closed once discovery has sent a complete message: a list, or an empty line if there is no news
	markSynced func()

	reloadSignal chan struct{} // tells follow that lastReload has changed

	mu           sync.Mutex
	lastReload   time.Time          // zero: there was no reload
	addr         string             // "": no address is known
	cancelFollow context.CancelFunc // ends the watches at the current address
	limits       listLimits
	ids          map[string]logic.ServerID // of the servers published, until they are forgotten
	lastID       logic.ServerID
	listed       map[string]logic.ServerID // servers named by the last complete list or a later change, except those that are gone
	drains       map[string]drain          // by the server's name in the list
	book         addressBook
}

// drain records that a server was reported as draining or gone.
type drain struct {
	version, startedMS int64
	recordedAt         time.Time
}

// anyStartTime in drain.startedMS: the drain holds whatever start time an older list gives for the server.
const anyStartTime = -1

// drainRetention is how long a drain is remembered. A list older than the drain arrives sooner than that; a lower version
// that comes later belongs to another sequence of versions.
const drainRetention = time.Minute

// New returns a client of discovery at addr.
func New(addr string, set logic.Settings, addresses Addresses, post func(core.Event)) *Client {
	synced := make(chan struct{})
	return &Client{
		zones:        wire.NewNameIndex(set.ZoneNames),
		kinds:        wire.NewNameIndex(set.KindNames),
		addresses:    addresses,
		post:         post,
		timing:       timingOf(set),
		synced:       synced,
		markSynced:   sync.OnceFunc(func() { close(synced) }),
		reloadSignal: make(chan struct{}, 1),
		addr:         addr,
		cancelFollow: func() {},
		limits:       listLimits{maxServers},
		ids:          map[string]logic.ServerID{},
		listed:       map[string]logic.ServerID{},
		drains:       map[string]drain{},
		book:         newAddressBook(),
	}
}

// LimitMemory bounds what the list of servers may take. It must be called before any list is applied.
func (c *Client) LimitMemory(bytes int64) { c.limits = limitsByMemory(bytes) }

// ApplyCached applies the list that this limiter held before it was restarted, which may be out of date.
func (c *Client) ApplyCached(l List) { c.apply(l, true) }

// Synced is closed once a complete message from discovery (a list, or an empty line between lists) has been received and
// applied. A new process that waits for it does not serve by an old list: what the discovery agent has counts as received
// (follow.go) from the first moment of the process.
func (c *Client) Synced() <-chan struct{} { return c.synced }

// Reload follows the list at the given address from now on. A watch at the former address, which may send nothing more
// without ending, is closed at once, and the first request to the new address does not wait for the usual delay. After a
// reload the current list takes effect within a short time, also if the address is the same.
func (c *Client) Reload(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReload = time.Now()
	select {
	case c.reloadSignal <- struct{}{}:
	default:
	}
	if addr != c.addr {
		c.addr = addr
		c.cancelFollow()
	}
}

// lastReloadTime returns the time of the last reload, and whether there was one.
func (c *Client) lastReloadTime() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReload, !c.lastReload.IsZero()
}

// Run follows the list until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		followCtx, cancelFollow := context.WithCancel(ctx)
		c.mu.Lock()
		c.cancelFollow = cancelFollow
		addr := c.addr
		c.mu.Unlock()
		if addr == "" {
			<-followCtx.Done()
		} else {
			c.follow(followCtx, addr)
		}
		cancelFollow()
	}
}

// follow follows the list at one address. Each watch reads in its own goroutine; only this one applies what they report and
// starts new watches.
func (c *Client) follow(ctx context.Context, addr string) {
	f := follower{timing: c.timing}
	events := make(chan watchEvent)
	cancels := map[int]context.CancelFunc{}
	cancelWatches := func(list ...int) {
		for _, n := range list {
			if cancel, ok := cancels[n]; ok {
				delete(cancels, n)
				cancel()
			}
		}
	}
	start, lastLogged, unlogged := time.Now(), time.Time{}, 0
	if at, ok := c.lastReloadTime(); ok {
		f.noteReload(at.Sub(start))
	}
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, cancel := range cancels {
				cancel()
			}
			return
		case <-c.reloadSignal:
			if at, ok := c.lastReloadTime(); ok && f.noteReload(at.Sub(start)) {
				retry.Reset(0)
			}
		case <-retry.C:
			if f.current != 0 {
				continue // an earlier watch has brought a message meanwhile and is the current one again
			}
			n := f.startWatch(time.Since(start))
			c.stalls.Store(int64(f.stalls))
			watchCtx, cancel := context.WithCancel(ctx)
			cancels[n] = cancel
			url := "http://" + addr + "/registry/instances?watch=1&from=" + strconv.FormatInt(c.version.Load(), 10)
			crash.Go(func() { c.watch(watchCtx, ctx, n, url, events) })
		case event := <-events:
			due := false
			switch event.kind {
			case messageReceived:
				accepted, superseded := f.noteMessage(event.watch)
				cancelWatches(superseded...)
				if accepted && event.list != nil {
					if err := c.apply(*event.list, false); err != nil {
						due = f.noteRejection(time.Since(start), event.watch)
						cancelWatches(event.watch)
						slog.Warn("a change of discovery's list is left out", "err", err)
						break
					}
				}
				if accepted {
					c.markSynced()
				}
			case answerBegun:
				cancelWatches(f.noteAnswer(event.watch)...)
			case watchStalled:
				var other int
				if other, due = f.noteStall(time.Since(start), event.watch, event.midMessage); due {
					slog.Info("discovery says nothing more, it is asked anew", "in the middle of a line", event.midMessage)
				}
				cancelWatches(other)
			case watchEnded:
				rejected := errors.Is(event.err, errListRejected)
				if rejected {
					due = f.noteRejection(time.Since(start), event.watch)
					c.removeUnknown(event.list)
					slog.Warn("the watch of discovery ended", "err", event.err)
				} else {
					due = f.noteEnd(time.Since(start), event.watch, event.midMessage)
				}
				cancelWatches(event.watch)
				if event.list != nil {
					c.applyPartial(*event.list)
				}
				if unlogged++; !rejected && ctx.Err() == nil && time.Since(lastLogged) >= logInterval {
					slog.Info("the watch of discovery ended", "err", event.err, "times", unlogged)
					lastLogged, unlogged = time.Now(), 0
				}
			}
			if due {
				retry.Reset(f.nextDelay(rand.Float64()))
			}
		}
	}
}

var stateByName = map[string]logic.ServerState{"ready": logic.Ready, "draining": logic.Draining, "gone": logic.Gone}

// apply stores and posts a list. A server with an unknown state is treated as draining, so that it gets nothing new.
func (c *Client) apply(l List, cached bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !l.Full && l.Version < c.version.Load() {
		c.applyDrains(l)
		return nil
	}
	if !l.Full {
		added := 0
		for _, s := range l.Servers {
			if _, ok := c.listed[s.ID]; !ok && stateByName[s.State] != logic.Gone {
				added++
			}
		}
		if added > 0 && len(c.listed)+added > c.limits.servers {
			return rejectList("more than %d servers with the changes", c.limits.servers)
		}
	}
	c.version.Store(l.Version)
	before := c.listed
	if l.Full {
		c.listed = make(map[string]logic.ServerID, len(l.Servers))
	}
	c.publish(l, cached)
	if l.Full {
		for name, id := range before {
			if _, ok := c.listed[name]; !ok {
				c.book.remove(name)
				c.addresses.Withdraw(id) // a complete list without the server means that it is gone
				c.drains[name] = drain{l.Version, anyStartTime, time.Now()}
			}
		}
	}
	return nil
}

// applyPartial applies the drains from a truncated message, which must not wait for the next watch: discovery has announced
// them. That a server is missing from the message means nothing, and the next watch requests all of it again.
func (c *Client) applyPartial(l List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Version >= c.version.Load() {
		c.applyDrains(l)
	}
}

// applyDrains applies only the entries of servers that are draining or gone. A change from another sequence of versions, as
// after a reload, may have a lower version than the list that is known; its drains must not be skipped as outdated.
func (c *Client) applyDrains(l List) {
	l.Full = false
	l.Servers = slices.DeleteFunc(l.Servers, func(s Server) bool { return stateByName[s.State] == logic.Ready })
	if len(l.Servers) > 0 {
		c.publish(l, false)
	}
}

// removeUnknown removes servers from l that no accepted list has named. Names are kept for good, so a list that is
// rejected again and again, with new names each time, would otherwise use up memory.
func (c *Client) removeUnknown(l *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.Servers = slices.DeleteFunc(l.Servers, func(s Server) bool {
		_, known := c.ids[s.ID]
		return !known
	})
}

// publish hands entries on to the addresses first and then to the reducer: from the Withdraw on, no new request is sent to
// a draining server, whatever was chosen before.
func (c *Client) publish(l List, cached bool) {
	list := logic.ServerList{Complete: l.Full, Cached: cached}
	var unknown, stale logSummary
	for _, s := range l.Servers {
		id, ok := c.ids[s.ID]
		if !ok {
			c.lastID++
			id = c.lastID
			c.ids[s.ID] = id
		}
		state, ok := stateByName[s.State]
		if !ok {
			unknown.add(s)
			state = logic.Draining
		}
		switch {
		case state != logic.Ready:
			c.drains[s.ID] = drain{max(l.Version, c.drains[s.ID].version), s.StartedMS, time.Now()}
		case c.staysWithdrawn(s, l.Version):
			stale.add(s)
			state = logic.Draining
		case c.isSuperseded(s):
			state = logic.Draining
		default:
			delete(c.drains, s.ID)
		}
		if c.listed[s.ID] = id; state == logic.Gone {
			delete(c.listed, s.ID)
		}
		if state == logic.Ready {
			list.Servers = append(list.Servers, c.publishReady(s, id)...)
			continue
		}
		c.book.remove(s.ID)
		c.addresses.Withdraw(id)
		list.Servers = append(list.Servers, c.entry(s, id, state))
	}
	if unknown.count > 0 {
		slog.Warn("unknown state of a server, want ready, draining or gone; treated as draining", "id", unknown.first.ID,
			"state", unknown.first.State, "servers", unknown.count)
	}
	if stale.count > 0 {
		slog.Info("an older list says ready of a server that takes nothing new", "id", stale.first.ID, "version", l.Version,
			"told", c.drains[stale.first.ID].version, "servers", stale.count)
	}
	c.forgetDrains()
	c.forgetNames()
	c.post(core.UpstreamGroup{ServerList: list})
}

// isSuperseded reports whether a server that a list calls ready has gone, since another started later at its address.
func (c *Client) isSuperseded(s Server) bool {
	_, superseded := c.book.supersededBy(s)
	return superseded
}

// entry returns the module's entry of a server.
func (c *Client) entry(s Server, id logic.ServerID, state logic.ServerState) logic.Server {
	e := logic.Server{ID: id, Weight: s.Weight, Cell: s.Cell, Kind: c.kinds.Index(s.Kind), Zone: c.zones.Index(s.Zone), State: state}
	if s.StartedMS > 0 {
		e.Started = time.Duration(s.StartedMS) * time.Millisecond
	}
	return e
}

// forgetDrains drops drains that no older list can contradict any more, and the earliest ones where there are more than servers
// may be listed.
func (c *Client) forgetDrains() {
	retention := drainRetention
	for ; ; retention /= 2 {
		for name, recorded := range c.drains {
			if time.Since(recorded.recordedAt) > retention {
				delete(c.drains, name)
			}
		}
		if len(c.drains) <= c.limits.servers || retention <= 0 {
			return
		}
	}
}

// maxForgottenNames is how many names of servers that are neither listed nor draining are kept before they are dropped.
const maxForgottenNames = 1024

// forgetNames drops the ids of servers that are gone, once there are many. One that comes back is a new server.
func (c *Client) forgetNames() {
	if len(c.ids) <= len(c.listed)+len(c.drains)+maxForgottenNames {
		return
	}
	for name := range c.ids {
		_, listed := c.listed[name]
		_, drains := c.drains[name]
		if !listed && !drains {
			delete(c.ids, name)
		}
	}
}

// staysWithdrawn reports whether a server that a list calls ready must still get nothing new, because a newer list reported
// it as draining or gone. An older list may arrive after the drain: from another watch or address, or after a truncated
// message.
func (c *Client) staysWithdrawn(s Server, version int64) bool {
	recorded, ok := c.drains[s.ID]
	if !ok || version >= recorded.version || time.Since(recorded.recordedAt) > drainRetention {
		return false
	}
	if recorded.startedMS != anyStartTime && recorded.startedMS != s.StartedMS {
		return false // the server has been restarted since
	}
	return true
}

// logSummary counts the servers of one list with the same problem, so that they are logged in one line instead of one each.
type logSummary struct {
	first Server
	count int
}

func (s *logSummary) add(server Server) {
	if s.count++; s.count == 1 {
		s.first = server
	}
}
