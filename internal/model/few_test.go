package model

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The budget of a cold server binds in a fleet of any size: the days of a throng, through few limiters that each see much, whose
// own view is enough up to four of them.
func TestFewLimitersDoNotOverloadColdServer(t *testing.T) {
	for _, limiters := range []int{1, 2, 3, 4, 5, 8} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d/%d", limiters, seed), func(t *testing.T) {
				t.Parallel()
				s := coldStartScenario(seed)
				s.Limiters = limiters
				if seed == 2 { // the settings tell a colder start, and less that a server bears
					s.Node.ColdShare, s.Rules.OverloadFactor = 0.08, 1.3
				}
				s.Name = fmt.Sprintf("few-%d-%d", limiters, seed)
				require.Empty(t, s.Check())
				w := New(s, seed, Own(), false)
				r := w.Run()
				t.Logf("%2d limiters %2d nodes: press %.2f worth %.2f", s.Limiters, s.Nodes, w.audit.peakPressure, r.Worth())
				require.Empty(t, r.Violations)
			})
		}
	}
}
