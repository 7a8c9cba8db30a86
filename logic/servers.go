package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The records of servers: of each by itself, and of an upstream group together.

// server is what is known of one server.
type server struct {
	Server
	upstream *upstream

	inFlight         int        // attempts in flight from here
	unitsInFlight    float64    // their units
	attemptsInFlight []*request // their requests, the oldest first

	failureRate float64 // smoothed
	latency     float64 // smoothed, in ns; 0: not known

	answeredAt   time.Duration // the last outcome that shows that the server is not hung: an answer, or a failure but a time-out
	ejectedUntil time.Duration // if ejected: the time of the next trial
	backoff      time.Duration // length of the next ejection
	ejected      bool
	trialPending bool // an attempt is out that may end the ejection
	listed       bool

	startedAt      time.Duration // Started, by this gateway's time
	coldTokens     float64       // budget of attempts during slow start
	coldRefilledAt time.Duration

	usableIn    *hall // the hall that counts it as usable; nil: it is not
	readyIn     *hall // the hall that counts it as ready, whether it is ejected or not; nil: it is not
	countedWarm bool  // whether its hall counts it as warm
}

// upstream is what is known of the servers of one upstream group together. What one group does says nothing about another: its
// answers may take a hundredth of the time.
type upstream struct {
	// meanUnits is the smoothed units of an attempt: larger ones take longer and load a server more.
	meanUnits float64

	list             []*server // by ID
	inPreferredOrder []*server // in this gateway's own order (see rendezvousRank)
	withAttempts     []*server // those with attempts in flight
	cold             []*server // those in slow start

	limitPerServer float64 // attempts in flight at each server
	retryTokens    float64 // retry budget

	latency     float64 // smoothed latency of all servers, in ns
	idleLatency float64 // the same when the servers are idle
	aimShare    float64 // smoothed share of the aim that answers take

	loadPerServer   float64 // attempts in flight at a warm server, smoothed
	servedPerServer float64 // the most of these that were in service at a time, not queued in the server

	// sendTokens is how many attempts may leave now, where many gateways share few servers.
	sendTokens float64

	// localLimit is how many attempts this process can have in flight, as far as it ran short of connections, ports or
	// buffers; 0: it did not.
	localLimit float64

	inFlight      float64       // attempts in flight at the usable servers
	usableServers float64       // their number
	warmCapacity  float64       // their capacity, in warm servers
	halls         map[int]*hall // by zone

	sendRate float64 // attempts a second to each warm server, smoothed
	sent     float64 // attempts since the last tick

	limitCutAt time.Duration // the last time the limit was lowered
}

// hall sums up the servers of a zone that are usable unless the zone is lost, and counts the attempts there that could not
// connect or timed out. An OK, or a server with a new start time, sets that number to 0; other outcomes leave it.
type hall struct {
	failures    int           // failed connects and time-outs since it was set to 0
	lastFailure time.Duration // the last of them
	usable      int
	warm        int // of the usable ones
	inFlight    int // attempts in flight at the usable ones
	ready       int // usable or ejected
}

// hall finds the record of a zone, or makes one.
func (u *upstream) hall(zone int) *hall {
	h := u.halls[zone]
	if h == nil {
		h = &hall{}
		u.halls[zone] = h
	}
	return h
}

const (
	// lostZoneFailures is the number of such failures (see hall) from which on a zone is taken to be cut off.
	lostZoneFailures = 4

	// lostZoneRetry is how long after the last failure another attempt is let through, to test whether the zone still is.
	lostZoneRetry = 2 * time.Second
)

// noteOutcome counts how an attempt in a zone ended.
func (u *upstream) noteOutcome(zone int, st Status, now time.Duration) {
	switch h := u.hall(zone); st {
	case OK:
		h.failures = 0
	case ConnectFailed, Timeout:
		h.failures, h.lastFailure = h.failures+1, now
	}
}

// zoneLost tells whether a whole zone seems to be cut off; after lostZoneRetry it does not, so that an attempt can test it.
// Without this rule one of many gateways would have to fail at each server of the zone.
func (u *upstream) zoneLost(zone int, now time.Duration) bool {
	return u.hall(zone).lost(now)
}

func (h *hall) lost(now time.Duration) bool {
	return h.failures >= lostZoneFailures && now-h.lastFailure < lostZoneRetry
}

// sumUsable sums up the usable servers. It returns the number of warm ones, those in lost zones included.
func (u *upstream) sumUsable(g *Gateway) (warm int) {
	u.inFlight, u.usableServers, u.warmCapacity = 0, 0, 0
	for _, h := range u.halls {
		if warm += h.warm; !h.lost(g.now) { // these are whole numbers: their sum is the same in any order of the map
			u.inFlight += float64(h.inFlight)
			u.usableServers += float64(h.usable)
			u.warmCapacity += float64(h.warm)
		}
	}
	for _, s := range u.cold {
		if s.usableIn != nil && !s.usableIn.lost(g.now) {
			u.warmCapacity += max(g.warmShare(s), 1-g.unseenShare)
		}
	}
	return warm
}

// recount brings the sums of the halls up to date with a server that has changed.
func (g *Gateway) recount(s *server) {
	u, warm := s.upstream, g.warmShare(s) >= 1
	if h := s.usableIn; h != nil {
		h.add(s, -1)
	}
	if s.usableIn, s.countedWarm = nil, warm; s.listed && s.State == Ready && !s.ejected {
		s.usableIn = u.hall(s.Zone)
		s.usableIn.add(s, 1)
	}
	if s.readyIn != nil {
		s.readyIn.ready--
	}
	if s.readyIn = nil; s.listed && s.State == Ready {
		s.readyIn = u.hall(s.Zone)
		s.readyIn.ready++
	}
	u.cold = withServer(u.cold, s, byID, s.listed && !warm)
}

func (h *hall) add(s *server, sign int) {
	h.usable, h.inFlight = h.usable+sign, h.inFlight+sign*s.inFlight
	if s.countedWarm {
		h.warm += sign
	}
}

// addAttempt and removeAttempt count an attempt at a server.
func (s *server) addAttempt(r *request) {
	s.unitsInFlight += r.Units
	if s.inFlight++; s.usableIn != nil {
		s.usableIn.inFlight++
	}
	if s.attemptsInFlight = append(s.attemptsInFlight, r); len(s.attemptsInFlight) == 1 {
		s.upstream.withAttempts = withServer(s.upstream.withAttempts, s, byID, true)
	}
}

func (s *server) removeAttempt(r *request) {
	s.unitsInFlight -= r.Units
	if s.inFlight--; s.usableIn != nil {
		s.usableIn.inFlight--
	}
	if s.attemptsInFlight = withoutRequest(s.attemptsInFlight, r); len(s.attemptsInFlight) == 0 {
		s.upstream.withAttempts = withServer(s.upstream.withAttempts, s, byID, false)
	}
}

func byID(a, b *server) int { return cmp.Compare(a.ID, b.ID) }

// withServer inserts a server into a sorted list, or removes it. Nothing changes if it is there, or absent, already.
func withServer(list []*server, s *server, order func(a, b *server) int, in bool) []*server {
	switch k, found := slices.BinarySearchFunc(list, s, order); {
	case in && !found:
		return slices.Insert(list, k, s)
	case !in && found:
		return slices.Delete(list, k, k+1)
	}
	return list
}

// onServerList takes news of the servers.
func (g *Gateway) onServerList(l ServerList) {
	if g.watching = !l.Failed && !l.Cached; l.Failed {
		return
	}
	u := g.upstreamNumbered(l.Group)
	if l.Complete {
		for _, s := range u.list {
			s.listed = false
		}
	}
	for _, e := range l.Servers {
		s := g.servers[e.ID]
		if s == nil {
			s = &server{upstream: u, backoff: minEjectTime, latency: g.initialServerLatency(u)}
			g.servers[e.ID] = s
		}
		if s.Started != e.Started { // a new process: nothing known of the old one applies
			s.failureRate, s.ejected, s.trialPending, s.backoff, s.latency = 0, false, false, minEjectTime, g.initialServerLatency(u)
			s.coldTokens, s.coldRefilledAt = g.random(), g.now // random, so that not all gateways send at once
			s.startedAt = g.clock.gatewayTime(e.Started, g.now)
			u.noteOutcome(e.Zone, OK, g.now)
		}
		s.Server = e
		s.listed = e.State != Gone
	}
	g.updateLists(u, l)
	g.dispatch()
}

// updateLists brings an upstream group's lists of servers up to date. A few changes are no reason to sort all.
func (g *Gateway) updateLists(u *upstream, l ServerList) {
	byRendezvousRank := func(a, b *server) int {
		return cmp.Or(cmp.Compare(g.rendezvousRank(a), g.rendezvousRank(b)), byID(a, b))
	}
	update := func(s *server) {
		if g.recount(s); !s.listed {
			if s.State = Gone; s.inFlight == 0 {
				delete(g.servers, s.ID)
			}
		}
	}
	if l.Complete || len(l.Servers) > len(u.list)/8 {
		old := u.list
		u.list = make([]*server, 0, len(l.Servers))
		for _, s := range old {
			if !s.listed {
				update(s)
			}
		}
		for _, s := range g.servers {
			if s.upstream == u && s.listed {
				u.list = append(u.list, s)
			} else if s.upstream == u {
				update(s)
			}
		}
		slices.SortFunc(u.list, byID)
		for _, s := range u.list {
			update(s)
		}
		u.inPreferredOrder = slices.Clone(u.list)
		slices.SortFunc(u.inPreferredOrder, byRendezvousRank)
		return
	}
	for _, e := range l.Servers {
		if s := g.servers[e.ID]; s != nil && s.upstream == u {
			u.list, u.inPreferredOrder = withServer(u.list, s, byID, s.listed), withServer(u.inPreferredOrder, s, byRendezvousRank, s.listed)
			update(s)
		}
	}
}

// usableServersScanned is how many usable servers of a long list are compared for an attempt. The sample limits the cost of a
// choice; the best of so many is hardly worse than the best of all.
const usableServersScanned = 16

// serversToScan is the servers that are compared for a request: all, or a sample of a long list. For the repeat of a keyed
// request they are all, since few may take it; or none, if only its zone may take it and no server there is ready.
func (g *Gateway) serversToScan(r *request) []*server {
	list := r.upstream.list
	keyed := r.mayHaveRun && r.class.Effect == Keyed
	if keyed && r.class.KeyGroup == GroupZone && r.upstream.hall(r.firstRunServer.Zone).ready == 0 {
		return nil
	}
	if keyed || len(list) <= maxServersScanned {
		return list
	}
	sample := make([]*server, 0, maxServersScanned)
	from, usable := int(g.random()*float64(len(list))), 0
	for k := 0; k < maxServersScanned && usable < usableServersScanned; k++ {
		s := list[(from+k)%len(list)]
		if sample = append(sample, s); s.usableIn != nil {
			usable++
		}
	}
	return sample
}

// upstreamNumbered finds an upstream group's record, or makes one. Groups are few and numbered from 0.
func (g *Gateway) upstreamNumbered(n int) *upstream {
	for len(g.upstreams) <= n {
		g.upstreams = append(g.upstreams, &upstream{limitPerServer: initialLimit / (1 + g.unseenShare) / float64(g.set.Gateways),
			retryTokens: maxRetryTokens, latency: g.initialLatency, idleLatency: g.initialLatency, meanUnits: 1, sendTokens: 1, halls: map[int]*hall{}})
	}
	return g.upstreams[max(n, 0)]
}

// rendezvousRank ranks servers by rendezvous hashing: each gateway has its own order, which does not change as others come
// and go.
func (g *Gateway) rendezvousRank(s *server) uint64 {
	return mix(uint64(s.ID) ^ mix(uint64(g.set.Rank)))
}

// outDuringPause tells whether an attempt was in flight while this process was paused. What was due then came late for that
// reason alone, and would eject all servers and press the limit to its minimum. So its time-out does not count, and an answer
// tells everything but its latency. Trade-off: a process that pauses again and again learns late that servers are slow.
func (g *Gateway) outDuringPause(r *request) bool { return r.sentAt < g.resumedAt }

// observedLatency is what an attempt tells about the latency.
func (g *Gateway) observedLatency(r *request) float64 {
	if g.outDuringPause(r) {
		return r.upstream.latency
	}
	return float64(g.now - r.sentAt)
}

// learnFromOutcome learns from an outcome, unless it is a time-out that a pause of this process caused.
func (g *Gateway) learnFromOutcome(s *server, r *request, o Outcome) {
	if o.Status == Timeout && g.outDuringPause(r) {
		s.trialPending = false
		return
	}
	g.observeOutcome(s, r, o)
}

// initialServerLatency is the latency of a server that has not been tried yet. One of many gateways tries it late: until then
// it is 0, which stands for that of the whole upstream group as it changes.
func (g *Gateway) initialServerLatency(u *upstream) float64 {
	if g.unseenShare > 0 {
		return 0
	}
	return u.latency
}

// estimatedLatency is a server's latency. Where none is known, it is a little below the group's, so that the server gets tried.
func (s *server) estimatedLatency() float64 {
	if s.latency == 0 {
		return 0.9 * s.upstream.latency
	}
	return s.latency
}

// warmShare is the share of its capacity that a server has at least (slow start); 1 when warm.
func (g *Gateway) warmShare(s *server) float64 {
	age := g.now - s.startedAt
	if s.Started <= 0 || age >= g.set.Cold || g.set.Cold <= 0 {
		return 1
	}
	return g.set.StartCapacity + (1-g.set.StartCapacity)*max(0, age.Seconds())/g.set.Cold.Seconds()
}

// localLimitGrowth is by how many attempts in flight the local limit grows in a second (see raiseLocalLimit).
const localLimitGrowth = 3.0

// noteSent takes note of whether an attempt could leave, or not for want of a connection, port or buffer of this process. Without
// the limit, requests would use up all their attempts at once and be refused while there is still time. An attempt that was too
// late to leave says nothing about a shortage.
func (u *upstream) noteSent(st Status) {
	switch {
	case st == LocalShortage:
		u.localLimit = max(1, u.inFlight)
	case st == OK && u.localLimit > 0: // the shortage may have lasted for a moment only
		u.localLimit += 1 / u.localLimit
	}
}

// raiseLocalLimit raises the local limit slowly, to test whether this process is still short. Well above the concurrency limit
// it is removed.
func (u *upstream) raiseLocalLimit(dt float64) {
	if u.localLimit <= 0 {
		return
	}
	if u.localLimit += float64(dt * localLimitGrowth); u.localLimit > float64(2*u.concurrencyLimit())+1 {
		u.localLimit = 0
	}
}

// chargeRetry takes a retry off the budget. One of many gateways is charged little where nothing ran, since that cost the
// servers next to nothing. What did not leave costs nothing at all.
func (u *upstream) chargeRetry(st Status, little bool) {
	switch {
	case st == LocalShortage || st == ExpiredUnsent:
		u.sendTokens++
	case little:
		u.retryTokens, u.sendTokens = u.retryTokens-unrunRetryCost, u.sendTokens+1
	default:
		u.retryTokens--
	}
}

// concurrencyLimit is how many attempts may be in flight from here on the mean. It may be below 1: many gateways that each had
// one attempt in flight would be too much then, so each of many gateways also needs a send token for an attempt (see hasRoom).
// Send tokens come with time, up to 1 + sqrt(limit), so that random bursts may leave.
func (u *upstream) concurrencyLimit() float64 {
	return float64(u.limitPerServer * max(u.warmCapacity, 1))
}

// hasRoom tells whether one more attempt may leave. With few gateways: while fewer than limit + 0.5 are in flight. With many:
// while there is a send token and fewer than limit + sqrt(limit) + 1 are in flight. In either case not beyond the local limit,
// where one is set.
func (g *Gateway) hasRoom(u *upstream) bool {
	b := u.concurrencyLimit()
	if u.localLimit > 0 && u.inFlight+1 > u.localLimit {
		return false
	}
	if g.unseenShare > 0 {
		return u.sendTokens >= 1 && u.inFlight < b+math.Sqrt(b)+1
	}
	return u.inFlight < b+0.5
}
