package lease

import (
	"fmt"
	"hash/maphash"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// This file model-checks the lease protocol. The model has limiters that run the real Holder, a register of one duty
// that runs the real transition function, a watch that runs the real expired function, and a network that loses,
// duplicates and reorders messages. Time advances in ticks, and each process may pause for any number of them. All
// states within the bounds are visited.

const (
	leaseDuration = 4 * time.Second // four ticks of one second
	maxPeers      = 3
	clockDelay    = time.Second - 1 // by how much a clock falls behind, once: less than the maximum drift
	messageSlots  = 2               // messages in flight in each direction
)

var modelRules = Rules{Duration: leaseDuration, MaxClockDrift: time.Second, AnswerTimeout: 2 * time.Second, RetryDelay: time.Second, MaxLoopLag: time.Second}

type request struct {
	from    int8 // peer index plus 1; 0: the slot is empty
	number  uint64
	command Command
}

type answer struct {
	to       int8
	instance Instance
	number   uint64
	grant    Grant
	refused  bool
}

type effect struct {
	term Term
	by   Instance
}

type peer struct {
	holder  Holder
	pending effect // checked by the holder and not yet received by the fence
}

// bounds limit a run: the number of peers, terms and effects, and how often each kind of fault occurs. Time is not
// limited.
type bounds struct {
	peers                                                                int
	terms                                                                Term
	effects, restarts, clockDelays, duplicates, leaderChanges, transfers uint8
}

type state struct {
	now           time.Duration
	grant         Grant
	renewal       lastRenewal
	expiry        Command // sent to the register by the watch and not yet applied
	expiryPending bool    // expiry is set
	peers         [maxPeers]peer
	requests      [messageSlots]request
	answers       [messageSlots]answer
	fenceTerm     Term
	lastAccepted  effect // newest effect that the fence accepted
	remaining     bounds
}

type bug string

func instanceOf(k int, epoch uint64) Instance {
	return Instance{Name: string(rune('a' + k)), Epoch: epoch}
}

func initialState(b bounds) state {
	w := state{remaining: b}
	for k := range w.peers {
		w.peers[k].holder = NewHolder("cleanup", instanceOf(k, 1), modelRules)
	}
	return w
}

// normalize maps equivalent states to one representative. It shifts time so that all clocks show 0, with the times of
// a clock that falls behind moved later, and clears whatever can no longer affect a decision.
func (w *state) normalize(injected bug) {
	if w.grant.Holder != (Instance{}) {
		w.renewal.seenAt = max(w.renewal.seenAt-w.now, -leaseDuration)
	}
	if w.expiryPending && (w.expiry.Term != w.grant.Term || w.expiry.Renewals != w.grant.Renewals) && injected != "expiry ignores renewals" {
		w.expiry, w.expiryPending = Command{}, false // rejected in any case: the renewal count never returns to this value
	}
	if w.grant.Renewals, w.renewal.renewals = 0, 0; injected != "expiry ignores renewals" {
		w.expiry.Renewals = 0
	}
	for k := range w.remaining.peers {
		h := &w.peers[k].holder
		if h.notBefore = max(h.notBefore-w.now, 0); h.heldUntil != 0 {
			if h.heldUntil -= w.now; h.heldUntil <= 0 && h.releasing {
				h.heldUntil = -1
			} else {
				h.heldUntil = max(h.heldUntil, 0)
			}
		}
		if h.requestedAt = max(h.requestedAt-w.now, -leaseDuration); h.pendingRequest == 0 {
			h.requestedAt = 0
		}
		for s := range w.requests {
			if m := &w.requests[s]; int(m.from) == k+1 && (m.command.By != h.self || m.number != h.pendingRequest) {
				m.number = 0 // its answer will be ignored
			} else if int(m.from) == k+1 {
				m.number = 1
			}
		}
		for s := range w.answers {
			if m := &w.answers[s]; int(m.to) == k+1 && (m.instance != h.self || m.number != h.pendingRequest) && injected != "stale answer accepted" {
				*m = answer{}
			} else if int(m.to) == k+1 {
				m.number = 1
			}
		}
		h.pendingRequest, h.lastRequest = min(h.pendingRequest, 1), 1
	}
	if w.requests[0].from == 0 || w.requests[1].from != 0 && w.requests[1].from < w.requests[0].from {
		w.requests[0], w.requests[1] = w.requests[1], w.requests[0]
	}
	if w.answers[0].to == 0 || w.answers[1].to != 0 && w.answers[1].to < w.answers[0].to {
		w.answers[0], w.answers[1] = w.answers[1], w.answers[0]
	}
	w.now = 0
}

func (w *state) apply(c Command, injected bug) (Grant, error) {
	if injected == "expiry ignores renewals" && c.Kind == Expire {
		c.Renewals = w.grant.Renewals
	}
	g, err := transition(w.grant, c)
	if err != nil {
		return g, err
	}
	if injected == "term reused" && c.Kind == Expire {
		g.Term--
	}
	if w.grant = g; g.Holder == (Instance{}) {
		w.renewal = lastRenewal{}
	} else if w.renewal.term != g.Term || w.renewal.renewals != g.Renewals {
		w.renewal = lastRenewal{g.Term, g.Renewals, w.now}
	}
	return g, nil
}

// acceptEffect delivers an effect to the fence and returns a description of the violated invariant, if any.
func (w *state) acceptEffect(e effect, injected bug) string {
	if e.term < w.fenceTerm && injected != "no fence" {
		return ""
	}
	if e.term < w.lastAccepted.term {
		return fmt.Sprintf("an effect of term %d was accepted after one of term %d", e.term, w.lastAccepted.term)
	}
	if e.term == w.lastAccepted.term && e.by != w.lastAccepted.by {
		return fmt.Sprintf("effects of both %v and %v were accepted in one term", e.by, w.lastAccepted.by)
	}
	w.fenceTerm, w.lastAccepted = max(w.fenceTerm, e.term), e
	return ""
}

// believers returns how many peers believe that they hold the duty, not counting the peer with index except.
func (w *state) believers(except int) (n int) {
	for k := range w.peers {
		if _, may := w.peers[k].holder.MayAct(w.now); may && k != except {
			n++
		}
	}
	return n
}

const noPeer = -1

// successors calls visit with each state that may follow and the invariant that the step violates, if any.
func (w state) successors(injected bug, visit func(state, string)) {
	n := w
	n.now += time.Second
	visit(n, "")
	for k := range w.remaining.peers {
		if n := w; true {
			if c, num, ok := n.peers[k].holder.NextCommand(n.now); ok {
				for s := range n.requests { // in a free slot, or in the slot of a message that is lost
					m := n
					m.requests[s] = request{int8(k + 1), num, c}
					visit(m, "")
					if w.requests[s].from == 0 {
						break
					}
				}
			}
		}
		p := w.peers[k]
		term, may := p.holder.MayAct(w.now)
		if acts := may || injected == "effect without a lease check" && term > 0; acts && p.pending.term == 0 && w.remaining.effects > 0 {
			n, violation := w, ""
			n.remaining.effects--
			n.peers[k].pending = effect{term, p.holder.self}
			if w.believers(k) > 0 {
				violation = "an effect starts while another limiter believes that it holds the duty"
			}
			visit(n, violation)
		}
		if p.pending.term != 0 {
			n := w
			n.peers[k].pending = effect{}
			visit(n, n.acceptEffect(p.pending, injected))
		}
		if w.remaining.restarts > 0 {
			n := w
			n.remaining.restarts--
			n.peers[k].holder = NewHolder("cleanup", instanceOf(k, p.holder.self.Epoch+1), modelRules) // messages sent before the restart may still arrive
			visit(n, "")
		}
		if w.remaining.clockDelays > 0 && p.holder.heldUntil > 0 {
			n := w
			n.remaining.clockDelays--
			n.peers[k].holder.heldUntil += clockDelay
			n.peers[k].holder.requestedAt += clockDelay
			visit(n, "")
		}
		if w.remaining.transfers > 0 && may {
			n := w
			n.remaining.transfers--
			old := n.peers[k].holder
			if c, ok := n.peers[k].holder.Transfer(w.peers[(k+1)%w.remaining.peers].holder.self, n.now); ok {
				if injected == "previous holder continues after transfer" {
					n.peers[k].holder = old
				}
				_, _ = n.apply(c, injected)
				n.peers[(k+1)%w.remaining.peers].holder.NotifyTransfer(n.now)
			}
			visit(n, "")
		}
	}
	for s, m := range w.requests {
		if m.from == 0 {
			continue
		}
		n := w // a message that never arrives is lost: the next one overwrites its slot
		if n.remaining.duplicates > 0 {
			n.remaining.duplicates--
			n.reply(m, injected)
			visit(n, "") // the message stays in its slot and is delivered again
		}
		n = w
		n.requests[s] = request{}
		n.reply(m, injected)
		visit(n, "")
	}
	for s, m := range w.answers {
		if m.to == 0 {
			continue
		}
		n := w
		n.answers[s] = answer{}
		h := &n.peers[m.to-1].holder
		if h.self == m.instance {
			var err error
			if m.refused {
				err = ErrHeld
			}
			num := m.number
			switch injected {
			case "lease counted from the answer":
				h.requestedAt = n.now
			case "stale answer accepted":
				num = h.pendingRequest
			}
			h.HandleGrant(n.now, num, m.grant, err, 0)
			visit(n, "")
		}
	}
	if w.grant.Holder != (Instance{}) && expired(w.renewal, leaseDuration, w.now) && !w.expiryPending {
		n := w
		n.expiry, n.expiryPending = Command{Kind: Expire, Duty: "cleanup", Term: w.renewal.term, Renewals: w.renewal.renewals}, true
		visit(n, "")
	}
	if w.expiryPending {
		n := w
		n.expiry, n.expiryPending = Command{}, false
		_, _ = n.apply(w.expiry, injected)
		visit(n, "")
	}
	if w.remaining.leaderChanges > 0 && w.grant.Holder != (Instance{}) {
		n := w
		n.remaining.leaderChanges--
		if n.renewal.seenAt = n.now; injected == "new leader counts from before its election" {
			n.renewal.seenAt = -leaseDuration
		}
		visit(n, "")
	}
}

func (w *state) reply(m request, injected bug) {
	g, err := w.apply(m.command, injected)
	for s := range w.answers {
		if w.answers[s].to == 0 || s == messageSlots-1 { // if all slots are taken, the message in the last one is lost
			w.answers[s] = answer{m.from, m.command.By, m.number, g, err != nil}
			return
		}
	}
}

// explore visits all reachable states, up to maxStates, and returns the first violation found.
func explore(b bounds, injected bug, maxStates int) (states int, violation string) {
	seed := maphash.MakeSeed()
	seen := map[uint64]struct{}{}
	queue := []state{initialState(b)}
	for len(queue) > 0 && violation == "" && len(seen) < maxStates {
		w := queue[0]
		queue = queue[1:]
		w.successors(injected, func(n state, found string) {
			if found != "" {
				violation = found
			}
			if n.normalize(injected); n.grant.Term > b.terms {
				return
			}
			key := maphash.Comparable(seed, n)
			if _, known := seen[key]; known {
				return
			}
			seen[key] = struct{}{}
			if n.believers(noPeer) > 1 {
				violation = "two limiters believe that they hold the duty"
			}
			if injected == "" && len(seen)%97 == 0 && !n.findsHolder() {
				violation = fmt.Sprintf("no peer acquires the duty from %+v", n)
			}
			queue = append(queue, n)
		})
	}
	return len(seen), violation
}

// findsHolder reports whether the duty gets a holder if from now on no message is lost and no process pauses.
func (w state) findsHolder() bool {
	for range 30 { // ticks: enough for two lease durations, the retries, and the requests of an earlier instance that is gone
		for k := range w.remaining.peers {
			if c, num, ok := w.peers[k].holder.NextCommand(0); ok {
				g, err := w.apply(c, "")
				w.peers[k].holder.HandleGrant(0, num, g, err, float64(k)/maxPeers)
			}
		}
		if w.believers(noPeer) == 1 {
			return true
		}
		if w.grant.Holder != (Instance{}) && expired(w.renewal, leaseDuration, 0) {
			_, _ = w.apply(Command{Kind: Expire, Duty: "cleanup", Term: w.renewal.term, Renewals: w.renewal.renewals}, "")
		}
		w.now = time.Second
		w.normalize("")
	}
	return false
}

// Checks that two limiters never believe that they hold the duty at once, that effects are accepted in the order of
// terms and from one limiter in each term, and that a holder is found again from each state.
func TestLeaseStateSpaceHoldsInvariants(t *testing.T) {
	all := []bounds{
		{peers: 2, terms: 2, clockDelays: 1, leaderChanges: 1},
		{peers: 2, terms: 2, duplicates: 1, transfers: 1},
		{peers: 2, terms: 2, restarts: 1},
		{peers: 2, terms: 2, effects: 2},
		{peers: 3, terms: 1},
	}
	if os.Getenv("BRAMBLEFALL_STATES") != "" { // three million states: takes a minute and several GB of memory
		all = append(all, bounds{peers: 3, terms: 2})
	}
	for _, b := range all {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			states, violation := explore(b, "", 5_000_000) // subtests run one after the other to leave processors to the tests of other packages
			t.Log(states, "states")
			assert.Empty(t, violation)
			assert.Less(t, states, 5_000_000, "the state limit was reached before all states were visited")
		})
	}
}

func TestModelDetectsInjectedBugs(t *testing.T) {
	for injected, b := range map[bug]bounds{
		"effect without a lease check":               {peers: 2, terms: 2, effects: 2},
		"lease counted from the answer":              {peers: 2, terms: 2},
		"term reused":                                {peers: 2, terms: 3, effects: 2},
		"no fence":                                   {peers: 2, terms: 2, effects: 2},
		"expiry ignores renewals":                    {peers: 2, terms: 2},
		"new leader counts from before its election": {peers: 2, terms: 2, leaderChanges: 1},
		"previous holder continues after transfer":   {peers: 2, terms: 2, transfers: 1},
		"stale answer accepted":                      {peers: 2, terms: 2},
	} {
		t.Run(string(injected), func(t *testing.T) {
			states, violation := explore(b, injected, 1_000_000)
			t.Logf("after %d states: %s", states, violation)
			assert.NotEmpty(t, violation)
		})
	}
}
