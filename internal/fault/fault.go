// Package fault holds scripts of what goes wrong on a connection, and the connection that follows one. Scripts are
// drawn from a seed, so that the same seed gives the same scripts, and shrink to the smallest that still fails.
package fault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Role is who a peer is to the limiter.
type Role uint8

// The roles.
const (
	Client Role = iota
	Node
	Counter
	Discovery
	Caller // of the gRPC front
	Roles
)

func (r Role) String() string {
	return [...]string{"client", "node", "counter", "discovery", "caller", "roles"}[r]
}

// Moment says when a step is taken.
type Moment uint8

// The moments. An offset counts the bytes of one message where the peer writes, and all bytes where it reads.
const (
	Open    Moment = iota // when the connection is up, before a byte is read or written
	Writing               // at an offset of the message that the peer writes
	Reading               // at an offset of what the peer has read
	Idle                  // after the message, with a wait before
)

// Act is what goes wrong.
type Act uint8

// The acts. After Close and Reset the connection is over.
const (
	Close     Act = iota // both ways, with what was written delivered
	Reset                // with a reset: what the limiter still writes fails
	HalfClose            // no more is written, reading goes on
	Stall                // nothing for a time
	Trickle              // the rest of the message comes byte by byte
	Twice                // the message is sent again right behind itself
	Noise                // bytes that nobody can read
	acts
)

func (a Act) String() string {
	return [...]string{"close", "reset", "half-close", "stall", "trickle", "twice", "noise", "acts"}[a]
}

// Step is one thing that goes wrong.
type Step struct {
	When    Moment
	Message int // that the peer writes, counted from 0
	At      int // offset, bytes
	Do      Act
	For     int // milliseconds of a stall or a wait; bytes of noise
}

func (s Step) String() string {
	return fmt.Sprintf("%s(%d) at %s %d+%d", s.Do, s.For, [...]string{"open", "write", "read", "idle"}[s.When], s.Message, s.At)
}

// Script is what one connection does.
type Script struct {
	Role     Role
	Seed     uint64 // of its own choices: commands, answers, noise
	Messages int    // that a client sends
	Steps    []Step
}

func (s Script) String() string {
	steps := make([]string, len(s.Steps))
	for k, x := range s.Steps {
		steps[k] = x.String()
	}
	return fmt.Sprintf("%s seed=%x messages=%d [%s]", s.Role, s.Seed, s.Messages, strings.Join(steps, "; "))
}

// Plan is the scripts of one run. Those of peers that take connections are used in turn, again and again.
type Plan struct {
	Seed    uint64
	Scripts []Script
}

// Of gives the scripts of one role.
func (p Plan) Of(r Role) (list []Script) {
	for _, s := range p.Scripts {
		if s.Role == r {
			list = append(list, s)
		}
	}
	return list
}

const (
	mostStall = 120  // milliseconds: a wait of hundreds of connections at once, not a test's whole time
	mostAt    = 240  // bytes: over the length of a usual message
	mostNoise = 64   // bytes
	faulty    = 0.55 // share of the scripts with a step at all
)

// Draw makes a plan of n scripts. Clients are most of them: the others' scripts are used again.
func Draw(seed uint64, n int) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x6272616d))
	p := Plan{Seed: seed}
	for range n {
		s := Script{Role: Client, Seed: rng.Uint64(), Messages: 1 + rng.IntN(4)}
		if rng.Float64() < 0.3 {
			s.Role = Role(1 + rng.IntN(int(Roles)-1))
		}
		if rng.Float64() < faulty {
			for range 1 + rng.IntN(2) {
				s.Steps = append(s.Steps, drawStep(rng, s.Role))
			}
		}
		p.Scripts = append(p.Scripts, s)
	}
	return p
}

func drawStep(rng *rand.Rand, r Role) Step {
	s := Step{When: Moment(rng.IntN(4)), Message: rng.IntN(4), At: rng.IntN(mostAt), Do: Act(rng.IntN(int(acts))),
		For: 1 + rng.IntN(mostStall)}
	if rng.Float64() < 0.2 {
		s.At = rng.IntN(4) // ends and beginnings are where the hard cases are
	}
	if s.Do == Noise {
		s.For = 1 + rng.IntN(mostNoise)
	}
	if s.When == Reading && r == Discovery { // it writes for long and reads little
		s.At = rng.IntN(80)
	}
	return s
}

// Shrink looks for a smaller plan for which fails still holds: first with fewer scripts, then with fewer steps and
// messages. It asks at most tries times.
func Shrink(p Plan, tries int, fails func(Plan) bool) Plan {
	ask := func(scripts []Script) bool {
		if tries <= 0 {
			return false
		}
		tries--
		return fails(Plan{p.Seed, scripts})
	}
	for size := (len(p.Scripts) + 1) / 2; size > 0 && tries > 0; {
		cut := false
		for at := 0; at < len(p.Scripts) && len(p.Scripts) > 1; {
			rest := slices.Concat(p.Scripts[:at], p.Scripts[min(at+size, len(p.Scripts)):])
			if len(rest) > 0 && ask(rest) {
				p.Scripts, cut = rest, true
			} else {
				at += size
			}
		}
		if !cut || size > len(p.Scripts) {
			size /= 2
		}
	}
	for k := 0; k < len(p.Scripts); k++ {
		for n := len(p.Scripts[k].Steps) - 1; n >= 0; n-- {
			smaller := slices.Clone(p.Scripts)
			smaller[k].Steps = slices.Delete(slices.Clone(smaller[k].Steps), n, n+1)
			if ask(smaller) {
				p.Scripts = smaller
			}
		}
		for p.Scripts[k].Messages > 1 {
			smaller := slices.Clone(p.Scripts)
			smaller[k].Messages--
			if !ask(smaller) {
				break
			}
			p.Scripts = smaller
		}
	}
	return p
}
