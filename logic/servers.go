package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What is known of servers: each by itself, and a group of them together.

type server struct {
	Server
	fleet                  *fleet
	out                    int
	units                  float64       // of the attempts out
	work                   []*request    // out here, oldest first
	fails, latency         float64       // smoothed
	heard, until, backoff  time.Duration // until: ejected, the next trial
	ejected, trial, listed bool
	startedAt              time.Duration // Started, by this gateway's time
	cold                   float64       // budget of attempts while cold
	coldAt                 time.Duration
	hall                   *hall // that counts it as usable; nil: it is not
	ready                  *hall // that counts it as ready, whether it is left out or not; nil: it is not
	warm                   bool  // as it is counted
}

// fleet is what is known of the servers of one upstream group together. What one group does says nothing of
// another: its answers may take a hundredth of the time.
type fleet struct {
	units           float64   // of an attempt, smoothed: larger ones take longer and load a server more
	list, near      []*server // near: in the order of this gateway's own
	working, cold   []*server // with attempts out; not warm yet
	limit, retries  float64
	latency, base   float64       // fleet-wide, smoothed; base: when idle
	strain          float64       // smoothed latency over aim
	load, served    float64       // attempts out at a warm server, smoothed; most of these that were in service
	room            float64       // attempts that may go, where many gateways share few servers
	capacity        float64       // attempts that this process can have out, as far as it was found short; 0: it was not
	busy, usable    float64       // attempts out at the usable servers, their number
	power           float64       // of these, in warm servers
	halls           map[int]*hall // by zone
	sendRate, sends float64       // attempts a second to each warm server, smoothed
	cut             time.Duration // the last time the limit fell
}

// hall counts the attempts in a zone that met nobody since the last one that was answered well, and sums up its servers
// that are usable unless the zone is lost.
type hall struct {
	silent            int
	at                time.Duration
	usable, warm, out int
	ready             int // usable or left out
}

func (f *fleet) hall(zone int) *hall {
	h := f.halls[zone]
	if h == nil {
		h = &hall{}
		f.halls[zone] = h
	}
	return h
}

const hallSilent, hallForgets = 4, 2 * time.Second

// met notes how an attempt in a zone ended.
func (f *fleet) met(zone int, st Status, now time.Duration) {
	switch h := f.hall(zone); st {
	case OK:
		h.silent = 0
	case ConnectFailed, Timeout:
		h.silent, h.at = h.silent+1, now
	}
}

// lost tells whether a whole zone seems to be cut off. After a while one more attempt may find out. One of many gateways
// would otherwise have to meet each of its servers.
func (f *fleet) lost(zone int, now time.Duration) bool {
	return f.hall(zone).lost(now)
}

func (h *hall) lost(now time.Duration) bool {
	return h.silent >= hallSilent && now-h.at < hallForgets
}

// count sums up the usable servers. It tells how many warm ones there are, in lost zones, too.
func (f *fleet) count(g *Gateway) (warm int) {
	f.busy, f.usable, f.power = 0, 0, 0
	for _, h := range f.halls {
		if warm += h.warm; !h.lost(g.now) { // whole numbers: their sum is the same in any order
			f.busy += float64(h.out)
			f.usable += float64(h.usable)
			f.power += float64(h.warm)
		}
	}
	for _, s := range f.cold {
		if s.hall != nil && !s.hall.lost(g.now) {
			f.power += max(g.warmth(s), 1-g.blind)
		}
	}
	return warm
}

// recount counts a server anew when it has changed.
func (g *Gateway) recount(s *server) {
	f, warm := s.fleet, g.warmth(s) >= 1
	if h := s.hall; h != nil {
		h.add(s, -1)
	}
	if s.hall, s.warm = nil, warm; s.listed && s.State == Ready && !s.ejected {
		s.hall = f.hall(s.Zone)
		s.hall.add(s, 1)
	}
	if s.ready != nil {
		s.ready.ready--
	}
	if s.ready = nil; s.listed && s.State == Ready {
		s.ready = f.hall(s.Zone)
		s.ready.ready++
	}
	f.cold = with(f.cold, s, byID, s.listed && !warm)
}

func (h *hall) add(s *server, sign int) {
	h.usable, h.out = h.usable+sign, h.out+sign*s.out
	if s.warm {
		h.warm += sign
	}
}

// on and off count an attempt at a server.
func (s *server) on(r *request) {
	s.units += r.Units
	if s.out++; s.hall != nil {
		s.hall.out++
	}
	if s.work = append(s.work, r); len(s.work) == 1 {
		s.fleet.working = with(s.fleet.working, s, byID, true)
	}
}

func (s *server) off(r *request) {
	s.units -= r.Units
	if s.out--; s.hall != nil {
		s.hall.out--
	}
	if s.work = without(s.work, r); len(s.work) == 0 {
		s.fleet.working = with(s.fleet.working, s, byID, false)
	}
}

func byID(a, b *server) int { return cmp.Compare(a.ID, b.ID) }

// with puts a server into a sorted list or takes it out.
func with(list []*server, s *server, order func(a, b *server) int, in bool) []*server {
	switch k, found := slices.BinarySearchFunc(list, s, order); {
	case in && !found:
		return slices.Insert(list, k, s)
	case !in && found:
		return slices.Delete(list, k, k+1)
	}
	return list
}

// listed takes news of the servers.
func (g *Gateway) listed(l ServerList) {
	if g.watching = !l.Failed && !l.Cached; l.Failed {
		return
	}
	f := g.group(l.Group)
	if l.Whole {
		for _, s := range f.list {
			s.listed = false
		}
	}
	for _, e := range l.Servers {
		s := g.servers[e.ID]
		if s == nil {
			s = &server{fleet: f, backoff: firstEject, latency: g.untried(f)}
			g.servers[e.ID] = s
		}
		if s.Started != e.Started { // a new process: nothing known of the old one holds
			s.fails, s.ejected, s.trial, s.backoff, s.latency = 0, false, false, firstEject, g.untried(f)
			s.cold, s.coldAt = g.random(), g.now // not all gateways at once
			s.startedAt = g.clock.instant(e.Started, g.now)
			f.met(e.Zone, OK, g.now)
		}
		s.Server = e
		s.listed = e.State != Gone
	}
	g.enlist(f, l)
	g.dispatch()
}

// enlist brings the lists of a fleet's servers up to date after some of them have changed. A list of few changes is not a
// reason to sort all.
func (g *Gateway) enlist(f *fleet, l ServerList) {
	byDistance := func(a, b *server) int { return cmp.Or(cmp.Compare(g.distance(a), g.distance(b)), byID(a, b)) }
	changed := func(s *server) {
		if g.recount(s); !s.listed {
			if s.State = Gone; s.out == 0 {
				delete(g.servers, s.ID)
			}
		}
	}
	if l.Whole || len(l.Servers) > len(f.list)/8 {
		old := f.list
		f.list = make([]*server, 0, len(l.Servers))
		for _, s := range old {
			if !s.listed {
				changed(s)
			}
		}
		for _, s := range g.servers {
			if s.fleet == f && s.listed {
				f.list = append(f.list, s)
			} else if s.fleet == f {
				changed(s)
			}
		}
		slices.SortFunc(f.list, byID)
		for _, s := range f.list {
			changed(s)
		}
		f.near = slices.Clone(f.list)
		slices.SortFunc(f.near, byDistance)
		return
	}
	for _, e := range l.Servers {
		if s := g.servers[e.ID]; s != nil && s.fleet == f {
			f.list, f.near = with(f.list, s, byID, s.listed), with(f.near, s, byDistance, s.listed)
			changed(s)
		}
	}
}

const enough = 16 // usable servers of a long list: the best of so many is hardly worse than the best of all

// window is the servers that are looked at for a request: all, or a part of a long list. A repeat that few servers may
// take needs all of them, or none where none of its zone is ready.
func (g *Gateway) window(r *request) []*server {
	list := r.fleet.list
	keyed := r.ran && r.class.Effect == Keyed
	if keyed && r.class.KeyGroup == GroupZone && r.fleet.hall(r.keyServer.Zone).ready == 0 {
		return nil
	}
	if keyed || len(list) <= mostLooked {
		return list
	}
	part := make([]*server, 0, mostLooked)
	from, usable := int(g.random()*float64(len(list))), 0
	for k := 0; k < mostLooked && usable < enough; k++ {
		s := list[(from+k)%len(list)]
		if part = append(part, s); s.hall != nil {
			usable++
		}
	}
	return part
}

// group finds an upstream group's fleet. Groups are few and numbered from 0.
func (g *Gateway) group(n int) *fleet {
	for len(g.fleets) <= n {
		g.fleets = append(g.fleets, &fleet{limit: limitStart / (1 + g.blind) / float64(g.set.Gateways),
			retries: retryMost, latency: g.guess, base: g.guess, units: 1, room: 1, halls: map[int]*hall{}})
	}
	return g.fleets[max(n, 0)]
}

// distance ranks servers by rendezvous hashing: each gateway has an order of its own, which others' coming and going
// leaves as it is.
func (g *Gateway) distance(s *server) uint64 { return mix(uint64(s.ID) ^ mix(uint64(g.set.Rank))) }

// paused tells whether an attempt was out while this process stood still. What came late then came late by that, and would
// leave all servers out and the bound at its floor: it is no time-out, and an answer tells all but its time. Harm: a process
// that stands still again and again learns late that servers are slow.
func (g *Gateway) paused(r *request) bool { return r.sentAt < g.woke }

// took is what an attempt tells of the latency.
func (g *Gateway) took(r *request) float64 {
	if g.paused(r) {
		return r.fleet.latency
	}
	return float64(g.now - r.sentAt)
}

// learn judges by an outcome.
func (g *Gateway) learn(s *server, r *request, o Outcome) {
	if o.Status == Timeout && g.paused(r) {
		s.trial = false
		return
	}
	g.judge(s, r, o)
}

// untried is the latency of a server not met yet. One of many gateways meets it late: until then it is the fleet's, as
// that changes.
func (g *Gateway) untried(f *fleet) float64 {
	if g.blind > 0 {
		return 0
	}
	return f.latency
}

// usual is a server's latency, a little under the fleet's where none is known of its own: one not tried yet should be.
func (s *server) usual() float64 {
	if s.latency == 0 {
		return 0.9 * s.fleet.latency
	}
	return s.latency
}

// warmth is the share of its capacity that a server has at least; 1 when warm.
func (g *Gateway) warmth(s *server) float64 {
	age := g.now - s.startedAt
	if s.Started <= 0 || age >= g.set.Cold || g.set.Cold <= 0 {
		return 1
	}
	return g.set.StartCapacity + (1-g.set.StartCapacity)*max(0, age.Seconds())/g.set.Cold.Seconds()
}

// capacityGrows is by how many attempts out at once the capacity found grows in a second, to see whether there is room again.
const capacityGrows = 3.0

// left takes note of whether an attempt could leave: not, for want of a connection, port or buffer of this process, or well.
// Guards against as many further ones at once as a request may have, and a refusal while there is time. One that was too late
// to leave tells nothing of that.
func (f *fleet) left(st Status) {
	switch {
	case st == Unsent:
		f.capacity = max(1, f.busy)
	case st == OK && f.capacity > 0: // what was short may have been so for a moment
		f.capacity += 1 / f.capacity
	}
}

// relax lets some more attempts find out, after a while, whether there is still a want.
func (f *fleet) relax(dt float64) {
	if f.capacity <= 0 {
		return
	}
	if f.capacity += dt * capacityGrows; f.capacity > 2*f.bound()+1 {
		f.capacity = 0
	}
}

// charge takes a further attempt off what may be retried. One of many gateways is charged little where nothing ran, since that
// cost the servers next to nothing, and what did not leave costs nothing at all.
func (f *fleet) charge(st Status, little bool) {
	switch {
	case st == Unsent || st == Late:
		f.room++
	case little:
		f.retries, f.room = f.retries-unrun, f.room+1
	default:
		f.retries--
	}
}

// bound is how many attempts may be out of here on the mean. Below one, a first attempt of each is too much
// for all together: room comes with time, and some is saved for chance.
func (f *fleet) bound() float64 { return f.limit * max(f.power, 1) }

func (g *Gateway) hasRoom(f *fleet) bool {
	b := f.bound()
	if f.capacity > 0 && f.busy+1 > f.capacity {
		return false
	}
	if g.blind > 0 {
		return f.room >= 1 && f.busy < b+math.Sqrt(b)+1
	}
	return f.busy < b+0.5
}
