// Package fault injects faults into connections. It generates fault scripts from a seed, so that the same seed always gives
// the same scripts, wraps connections that follow them, and shrinks a failing set of scripts to a small one.
package fault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Role is what the scripted peer is to the limiter.
type Role uint8

// The roles of peers.
const (
	Client Role = iota
	Node
	Counter
	Discovery
	Caller // of the gRPC front
	NumRoles
)

func (r Role) String() string {
	return [...]string{"client", "node", "counter", "discovery", "caller", "roles"}[r]
}

// Trigger is the event on which a step is taken.
type Trigger uint8

// The triggers. An offset counts the bytes of one message for OnWrite, and all bytes received so far for OnRead.
const (
	OnOpen  Trigger = iota // once the connection is established, before any byte is read or written
	OnWrite                // at an offset of a message that the peer writes
	OnRead                 // at an offset of the bytes that the peer reads
	OnIdle                 // while the connection is idle after a message (a client's: once answered), after a wait of Amount milliseconds
)

// Action is the kind of a fault.
type Action uint8

// The actions. Close and Reset end the connection.
const (
	Close     Action = iota // closes both directions after delivering what was written
	Reset                   // closes with a TCP reset, so that further writes of the limiter fail
	HalfClose               // closes the writing side only
	Stall                   // pauses for Amount milliseconds
	Trickle                 // sends the rest of the message byte by byte
	Duplicate               // sends the message twice in a row
	Noise                   // sends Amount bytes that no peer can parse
	numActions
)

func (a Action) String() string {
	return [...]string{"close", "reset", "half-close", "stall", "trickle", "twice", "noise", "acts"}[a]
}

// Step is one fault of a script.
type Step struct {
	When    Trigger
	Message int // index of the message that the peer writes, from 0
	Offset  int // bytes
	Action  Action
	Amount  int // bytes for Noise; milliseconds for Stall and for the wait of OnIdle
}

func (s Step) String() string {
	return fmt.Sprintf("%s(%d) at %s %d+%d", s.Action, s.Amount, [...]string{"open", "write", "read", "idle"}[s.When], s.Message, s.Offset)
}

// Script is the behavior of one connection.
type Script struct {
	Role     Role
	Seed     uint64 // seeds the random choices of the peer: commands, answers and noise
	Messages int    // number of messages that a client sends
	Steps    []Step
}

func (s Script) String() string {
	steps := make([]string, len(s.Steps))
	for k, x := range s.Steps {
		steps[k] = x.String()
	}
	return fmt.Sprintf("%s seed=%x messages=%d [%s]", s.Role, s.Seed, s.Messages, strings.Join(steps, "; "))
}

// Plan is the set of scripts of one run. Peers that accept connections take the scripts of their role in turn and start
// over after the last.
type Plan struct {
	Seed    uint64
	Scripts []Script
}

// ByRole returns the scripts of one role.
func (p Plan) ByRole(r Role) (list []Script) {
	for _, s := range p.Scripts {
		if s.Role == r {
			list = append(list, s)
		}
	}
	return list
}

const (
	maxStallMs     = 120 // hundreds of connections wait this long at once, well within the time of one test
	maxOffsetBytes = 240 // longer than a usual message
	maxNoiseBytes  = 64
	faultyShare    = 0.55 // share of the scripts that have any step
)

// Draw generates a plan of n scripts from a seed. About 70 % of them are for clients, since each client's script is used
// once, and those of the peers that accept connections are used repeatedly.
func Draw(seed uint64, n int) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x6272616d))
	p := Plan{Seed: seed}
	for range n {
		s := Script{Role: Client, Seed: rng.Uint64(), Messages: 1 + rng.IntN(4)}
		if rng.Float64() < 0.3 {
			s.Role = Role(1 + rng.IntN(int(NumRoles)-1))
		}
		if rng.Float64() < faultyShare {
			for range 1 + rng.IntN(2) {
				s.Steps = append(s.Steps, drawStep(rng, s.Role))
			}
		}
		p.Scripts = append(p.Scripts, s)
	}
	return p
}

func drawStep(rng *rand.Rand, r Role) Step {
	s := Step{When: Trigger(rng.IntN(4)), Message: rng.IntN(4), Offset: rng.IntN(maxOffsetBytes), Action: Action(rng.IntN(int(numActions))),
		Amount: 1 + rng.IntN(maxStallMs)}
	if rng.Float64() < 0.2 {
		s.Offset = rng.IntN(4) // the hard cases are where messages begin and end
	}
	if s.Action == Noise {
		s.Amount = 1 + rng.IntN(maxNoiseBytes)
	}
	if s.When == OnRead && r == Discovery { // discovery reads only a short request and then writes for long
		s.Offset = rng.IntN(80)
	}
	return s
}

// Shrink returns a smaller plan for which fails still holds: first it removes scripts, then steps and messages. It calls
// fails at most maxRuns times.
func Shrink(p Plan, maxRuns int, fails func(Plan) bool) Plan {
	stillFails := func(scripts []Script) bool {
		if maxRuns <= 0 {
			return false
		}
		maxRuns--
		return fails(Plan{p.Seed, scripts})
	}
	for size := (len(p.Scripts) + 1) / 2; size > 0 && maxRuns > 0; {
		removed := false
		for start := 0; start < len(p.Scripts) && len(p.Scripts) > 1; {
			remaining := slices.Concat(p.Scripts[:start], p.Scripts[min(start+size, len(p.Scripts)):])
			if len(remaining) > 0 && stillFails(remaining) {
				p.Scripts, removed = remaining, true
			} else {
				start += size
			}
		}
		if !removed || size > len(p.Scripts) {
			size /= 2
		}
	}
	for k := 0; k < len(p.Scripts); k++ {
		for n := len(p.Scripts[k].Steps) - 1; n >= 0; n-- {
			smaller := slices.Clone(p.Scripts)
			smaller[k].Steps = slices.Delete(slices.Clone(smaller[k].Steps), n, n+1)
			if stillFails(smaller) {
				p.Scripts = smaller
			}
		}
		for p.Scripts[k].Messages > 1 {
			smaller := slices.Clone(p.Scripts)
			smaller[k].Messages--
			if !stillFails(smaller) {
				break
			}
			p.Scripts = smaller
		}
	}
	return p
}
