// Package discovery follows the list of servers over HTTP, by a watch that brings the whole list and then the changes.
// follow.go decides when to ask and which watch to believe, watch.go reads one.
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
	dialLimit = time.Second
	logEvery  = time.Second
)

// List is discovery's form of the servers, whole or as changes.
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

// Addresses learns where servers listen, and which of them take nothing new.
type Addresses interface {
	SetAddress(id logic.ServerID, addr string)
	Withdraw(id logic.ServerID)
}

// Client follows the list.
type Client struct {
	zones *wire.Names
	kinds *wire.Names
	book  Addresses
	post  func(core.Event)
	terms terms

	version atomic.Int64
	stalls  atomic.Int64  // the follower's, for the next watch
	heard   chan struct{} // closed once discovery has brought a whole word: a list, or an empty line where there is no news
	hear    func()

	reloads chan struct{} // a reload that is to be taken note of

	mu     sync.Mutex
	reload time.Time          // the last; zero: none
	addr   string             // "": there is none
	moved  context.CancelFunc // ends the watches that the address was followed with
	ids    map[string]logic.ServerID
	listed map[string]logic.ServerID // those that the last whole list or a change since has named, but not as gone
	drains map[string]drain
}

// drain is what was told of a server that takes nothing new.
type drain struct {
	version, started int64
	at               time.Time
}

const anyStart = -1

const remembered = time.Minute // a list that is older than a drain comes sooner, or is another count of versions

// New makes a client of discovery at an address.
func New(addr string, set logic.Settings, book Addresses, post func(core.Event)) *Client {
	heard := make(chan struct{})
	return &Client{
		zones:   wire.NewNames(set.ZoneNames),
		kinds:   wire.NewNames(set.KindNames),
		book:    book,
		post:    post,
		terms:   termsOf(set),
		heard:   heard,
		hear:    sync.OnceFunc(func() { close(heard) }),
		reloads: make(chan struct{}, 1),
		addr:    addr,
		moved:   func() {},
		ids:     map[string]logic.ServerID{},
		listed:  map[string]logic.ServerID{},
		drains:  map[string]drain{},
	}
}

// Known takes the list that this limiter last held. It may be old.
func (c *Client) Known(l List) { c.take(l, true) }

// Heard is closed once discovery has brought a whole word, and what it says is taken: a list to its end, or an empty line between
// lists. Guards against a new process that serves by an old list: what the
// agent has binds it from its first moment.
func (c *Client) Heard() <-chan struct{} { return c.heard }

// Reload follows the list at the address that a reload names, from now on. Guards against a watch that lives on at an address
// that tells nothing more: it is left at once, and not asked again after the usual wait. What there is to tell counts soon, also
// where the address is the same.
func (c *Client) Reload(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload = time.Now()
	select {
	case c.reloads <- struct{}{}:
	default:
	}
	if addr != c.addr {
		c.addr = addr
		c.moved()
	}
}

// reloaded tells when the last reload was.
func (c *Client) reloaded() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reload, !c.reload.IsZero()
}

// Run follows the list until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		here, moved := context.WithCancel(ctx)
		c.mu.Lock()
		c.moved = moved
		addr := c.addr
		c.mu.Unlock()
		if addr == "" {
			<-here.Done()
		} else {
			c.follow(here, addr)
		}
		moved()
	}
}

// follow keeps to one address. The watches read, this goroutine alone believes them and begins the next.
func (c *Client) follow(ctx context.Context, addr string) {
	f := follower{terms: c.terms}
	words := make(chan word)
	watches := map[int]context.CancelFunc{}
	drop := func(list ...int) {
		for _, n := range list {
			if end, ok := watches[n]; ok {
				delete(watches, n)
				end()
			}
		}
	}
	began, told, quiet := time.Now(), time.Time{}, 0
	if at, ok := c.reloaded(); ok {
		f.reloaded(at.Sub(began))
	}
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, end := range watches {
				end()
			}
			return
		case <-c.reloads:
			if at, ok := c.reloaded(); ok && f.reloaded(at.Sub(began)) {
				again.Reset(0)
			}
		case <-again.C:
			if f.live != 0 {
				continue // the one that had fallen silent goes on
			}
			n := f.ask(time.Since(began))
			c.stalls.Store(int64(f.stalls))
			here, end := context.WithCancel(ctx)
			watches[n] = end
			path := "http://" + addr + "/registry/instances?watch=1&from=" + strconv.FormatInt(c.version.Load(), 10)
			crash.Go(func() { c.watch(here, ctx, n, path, words) })
		case x := <-words:
			due := false
			switch x.kind {
			case line:
				believed, others := f.heard(x.watch)
				drop(others...)
				if believed && x.list != nil {
					if err := c.take(*x.list, false); err != nil {
						due = f.refused(time.Since(began), x.watch)
						drop(x.watch)
						slog.Warn("a change of discovery's list is left out", "err", err)
						break
					}
				}
				if believed {
					c.hear()
				}
			case doubt:
				var other int
				if other, due = f.doubted(time.Since(began), x.watch, x.mid); due {
					slog.Info("discovery says nothing more, it is asked anew", "in the middle of a line", x.mid)
				}
				drop(other)
			case over:
				useless := errors.Is(x.err, errRefused)
				if useless {
					due = f.refused(time.Since(began), x.watch)
					c.onlyKnown(x.list)
					slog.Warn("the watch of discovery ended", "err", x.err)
				} else {
					due = f.ended(time.Since(began), x.watch, x.mid)
				}
				drop(x.watch)
				if x.list != nil {
					c.salvage(*x.list)
				}
				if quiet++; !useless && ctx.Err() == nil && time.Since(told) >= logEvery {
					slog.Info("the watch of discovery ended", "err", x.err, "times", quiet)
					told, quiet = time.Now(), 0
				}
			}
			if due {
				again.Reset(f.pause(rand.Float64()))
			}
		}
	}
}

var states = map[string]logic.ServerState{"ready": logic.Ready, "draining": logic.Draining, "gone": logic.Gone}

// take passes on a list. A server whose state cannot be read is taken for draining: it gets nothing new.
func (c *Client) take(l List, cached bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !l.Full && l.Version < c.version.Load() {
		c.onlyDrains(l)
		return nil
	}
	if !l.Full {
		more := 0
		for _, s := range l.Servers {
			if _, ok := c.listed[s.ID]; !ok && states[s.State] != logic.Gone {
				more++
			}
		}
		if more > 0 && len(c.listed)+more > mostServers {
			return refused("more than %d servers with the changes", mostServers)
		}
	}
	c.version.Store(l.Version)
	before := c.listed
	if l.Full {
		c.listed = make(map[string]logic.ServerID, len(l.Servers))
	}
	c.pass(l, cached)
	if l.Full {
		for name, id := range before {
			if _, ok := c.listed[name]; !ok {
				c.book.Withdraw(id) // gone: a whole list names no such server
				c.drains[name] = drain{l.Version, anyStart, time.Now()}
			}
		}
	}
	return nil
}

// salvage takes from a line that broke off what must not wait for the next watch: discovery has told of these drains.
// What is missing from it says nothing, and the next watch asks for all of it.
func (c *Client) salvage(l List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Version >= c.version.Load() {
		c.onlyDrains(l)
	}
}

// onlyDrains passes on what a list says of servers that drain or are gone. Guards against a change of another count of versions,
// as behind a reload, that is passed over because it looks older than what is known.
func (c *Client) onlyDrains(l List) {
	l.Full = false
	l.Servers = slices.DeleteFunc(l.Servers, func(s Server) bool { return states[s.State] == logic.Ready })
	if len(l.Servers) > 0 {
		c.pass(l, false)
	}
}

// onlyKnown leaves those servers of a list that others have named. Guards against a list that is refused again and again, each
// time with other names: names are kept for good.
func (c *Client) onlyKnown(l *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.Servers = slices.DeleteFunc(l.Servers, func(s Server) bool {
		_, known := c.ids[s.ID]
		return !known
	})
}

// pass hands entries on. The addresses learn of them first: from then on nothing new leaves for a server that drains,
// whatever was chosen before.
func (c *Client) pass(l List, cached bool) {
	out := logic.ServerList{Whole: l.Full, Cached: cached}
	var unknown, older said
	for _, s := range l.Servers {
		id, ok := c.ids[s.ID]
		if !ok {
			id = logic.ServerID(len(c.ids) + 1)
			c.ids[s.ID] = id
		}
		state, ok := states[s.State]
		if !ok {
			unknown.note(s)
			state = logic.Draining
		}
		switch {
		case state != logic.Ready:
			c.drains[s.ID] = drain{max(l.Version, c.drains[s.ID].version), s.StartedMS, time.Now()}
		case c.stays(s, l.Version):
			older.note(s)
			state = logic.Draining
		default:
			delete(c.drains, s.ID)
		}
		if c.listed[s.ID] = id; state == logic.Gone {
			delete(c.listed, s.ID)
		}
		if state != logic.Ready {
			c.book.Withdraw(id)
		} else if s.Addr != "" {
			c.book.SetAddress(id, s.Addr)
		}
		e := logic.Server{ID: id, Weight: s.Weight, Cell: s.Cell, Kind: c.kinds.Number(s.Kind),
			Zone: c.zones.Number(s.Zone), State: state}
		if s.StartedMS > 0 {
			e.Started = time.Duration(s.StartedMS) * time.Millisecond
		}
		out.Servers = append(out.Servers, e)
	}
	if unknown.times > 0 {
		slog.Warn("unknown state of a server", "id", unknown.first.ID, "state", unknown.first.State, "servers", unknown.times)
	}
	if older.times > 0 {
		slog.Info("an older list says ready of a server that takes nothing new", "id", older.first.ID, "version", l.Version,
			"told", c.drains[older.first.ID].version, "servers", older.times)
	}
	for id, was := range c.drains {
		if time.Since(was.at) > remembered {
			delete(c.drains, id)
		}
	}
	c.post(core.UpstreamGroup{ServerList: out})
}

// stays tells whether a server that a list calls ready takes nothing new all the same. Guards against a drain that is taken
// back by an older word: a list from before it may come behind it, from another watch or another address, or behind a line
// that broke off.
func (c *Client) stays(s Server, version int64) bool {
	was, ok := c.drains[s.ID]
	if !ok || version >= was.version || time.Since(was.at) > remembered {
		return false
	}
	if was.started != anyStart && was.started != s.StartedMS {
		return false // it has started anew
	}
	return true
}

// said is what the log says of some servers of a list, in one line for all. Guards against as many lines as a list has servers.
type said struct {
	first Server
	times int
}

func (s *said) note(of Server) {
	if s.times++; s.times == 1 {
		s.first = of
	}
}
