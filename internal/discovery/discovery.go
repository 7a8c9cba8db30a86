// Package discovery follows the list of servers over HTTP: the whole list, then a watch that brings the changes.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramblefall/internal/core"
	"bramblefall/internal/lastwords"
	"bramblefall/internal/wire"
	"bramblefall/logic"
)

const (
	dialLimit  = time.Second
	silence    = 7 * time.Second // an empty line comes every 2 s: this watch has ended unseen
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second

	fleetAsks   = 20.0 // a second, a third more by the jitter: of all limiters together while discovery refuses
	mostRetry   = 4 * time.Second
	mostApart   = 400 * time.Millisecond // within the grace for drains
	fewLimiters = 4                      // ask as they like

	mostLine = 4 << 20 // of the list
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

// Addresses learns where servers listen.
type Addresses interface {
	SetAddress(id logic.ServerID, addr string)
}

// Client follows the list.
type Client struct {
	zones *wire.Names
	kinds *wire.Names
	book  Addresses
	post  func(core.Event)
	http  http.Client
	fleet int // limiters that ask the same discovery

	mu      sync.Mutex
	addr    string             // "": there is none
	moved   context.CancelFunc // ends the watch that the address was followed with
	ids     map[string]logic.ServerID
	version int64
}

// New makes a client of discovery at an address.
func New(addr string, set logic.Settings, book Addresses, post func(core.Event)) *Client {
	// The standard library's connections: net/http closes one while it reads from it, which netpoll's do not bear.
	dial := (&net.Dialer{Timeout: dialLimit}).DialContext
	return &Client{addr: addr, moved: func() {}, zones: wire.NewNames(set.ZoneNames), kinds: wire.NewNames(set.KindNames), book: book, post: post, ids: map[string]logic.ServerID{},
		fleet: set.Gateways,
		http:  http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}}}
}

// Known takes the list that this limiter last held. It may be old.
func (c *Client) Known(l List) { c.take(l, true) }

// Move follows the list at another address from now on. Guards against a watch that lives on at an address that
// tells nothing more: it is left at once, and not asked again after the usual wait.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		c.addr = addr
		c.moved()
	}
}

// Run follows the list until the context ends. Where a watch breaks it begins the next from the last version.
func (c *Client) Run(ctx context.Context) {
	failed := 0
	for ctx.Err() == nil {
		began := time.Now()
		here, moved := context.WithCancel(ctx)
		c.mu.Lock()
		c.moved = moved
		named := c.addr != ""
		c.mu.Unlock()
		if !named {
			<-here.Done()
			continue
		}
		stood, err := c.watch(here)
		if ctx.Err() == nil {
			slog.Info("the watch of discovery ended", "err", err)
		}
		if failed++; stood && time.Since(began) > lastRetry {
			failed = 0
		}
		sleep(here, pause(failed, c.fleet, rand.Float64()))
		if here.Err() != nil {
			failed = 0
		}
		moved()
	}
}

// pause is the wait before a watch is asked for once more, after so many in a row that came to nothing; luck is from 0 to
// 1. Guards against all limiters of a fleet asking in step, and so often that discovery answers nobody. It is short where a
// watch had stood, and a start asks at once: what a limiter would have been told had it asked binds it (drains).
func pause(failed, fleet int, luck float64) time.Duration {
	switch {
	case fleet <= fewLimiters:
		return min(firstRetry<<min(max(failed-1, 0), 16), lastRetry)
	case failed == 0:
		return time.Duration(luck * float64(mostApart))
	}
	share := time.Duration(float64(fleet) / fleetAsks * float64(time.Second))
	return time.Duration((0.25 + luck) * float64(min(share, mostRetry)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watch follows the list and tells, when it ends, whether it had brought anything.
func (c *Client) watch(ctx context.Context) (stood bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := lastwords.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	c.mu.Lock()
	path := c.addr + "/registry/instances?watch=1&from=" + strconv.FormatInt(c.version, 10)
	c.mu.Unlock()
	err = c.lines(ctx, path, func() {
		stood = true
		watchdog.Reset(silence)
	})
	return stood, err
}

// lines takes the lists of an answer, one a line, and tells of every line that comes.
func (c *Client) lines(ctx context.Context, path string, came func()) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+path, nil)
	if err != nil {
		return err
	}
	answer, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", answer.Status)
	}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(make([]byte, 0, 4<<10), mostLine)
	for lines.Scan() {
		came()
		if len(lines.Bytes()) == 0 {
			continue
		}
		var l List
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return fmt.Errorf("discovery's list: %w", err) // the next watch brings what this line held
		}
		c.take(l, false)
	}
	return errors.Join(lines.Err(), ctx.Err())
}

var states = map[string]logic.ServerState{"ready": logic.Ready, "draining": logic.Draining, "gone": logic.Gone}

// take passes on a list. A server whose state cannot be read is taken for draining: it gets nothing new.
func (c *Client) take(l List, cached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !l.Full && l.Version < c.version {
		return // an older change than what is known
	}
	c.version = l.Version
	out := logic.ServerList{Whole: l.Full, Cached: cached}
	for _, s := range l.Servers {
		id, ok := c.ids[s.ID]
		if !ok {
			id = logic.ServerID(len(c.ids) + 1)
			c.ids[s.ID] = id
		}
		state, ok := states[s.State]
		if !ok {
			slog.Warn("unknown state of a server", "id", s.ID, "state", s.State)
			state = logic.Draining
		}
		if s.Addr != "" {
			c.book.SetAddress(id, s.Addr)
		}
		e := logic.Server{ID: id, Weight: s.Weight, Cell: s.Cell, Kind: c.kinds.Number(s.Kind),
			Zone: c.zones.Number(s.Zone), State: state}
		if s.StartedMS > 0 {
			e.Started = time.Duration(s.StartedMS) * time.Millisecond
		}
		out.Servers = append(out.Servers, e)
	}
	c.post(core.UpstreamGroup{ServerList: out})
}
