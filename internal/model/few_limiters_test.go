package model

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The budget of a cold server holds in a fleet of any size. These are the scenarios of TestManyLimitersDoNotOverloadColdServer
// with few limiters, each of which sees a large part of the load. Up to four limiters, a limiter's own view is enough.
func TestFewLimitersDoNotOverloadColdServer(t *testing.T) {
	for _, limiters := range []int{1, 2, 3, 4, 5, 8} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d/%d", limiters, seed), func(t *testing.T) {
				t.Parallel()
				s := coldStartScenario(seed)
				s.Limiters = limiters
				if seed == 2 { // a colder start, and a lower multiple of its capacity that overloads a cold server
					s.Node.ColdShare, s.Rules.OverloadFactor = 0.08, 1.3
				}
				s.Name = fmt.Sprintf("few-%d-%d", limiters, seed)
				require.Empty(t, s.Check())
				w := New(s, seed, ProjectPolicy(), false)
				r := w.Run()
				t.Logf("%2d limiters %2d nodes: peak pressure %.2f worth %.2f", s.Limiters, s.Nodes, w.audit.peakPressure, r.WorthShare())
				require.Empty(t, r.Violations)
			})
		}
	}
}
