package model

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// throng is a day of twenty to thirty limiters, on which most servers are replaced by new ones, others die and come back cold,
// and all of it under a burst.
func coldStartScenario(seed uint64) Scenario {
	limiters := 20 + int(seed%11)
	s := Scale(limiters, 10+int(seed*7%15), 60+int(seed*13%80), 0)
	s.Name, s.Seconds, s.Warm = fmt.Sprint("throng-", seed), 30, 1
	s.Node.ColdShare, s.Node.ColdSeconds = 0.16+0.02*float64(seed%8), 8+float64(seed*5%12)
	s.Rules.OverloadFactor, s.Rules.OverloadWindowSeconds = 2+0.25*float64(seed*3%5), 2+0.5*float64(seed*11%5)
	s.Firms.QuotaUse, s.Firms.Spread = Range{0.5, 0.95}, Range{1, 4} // what they bring gets through to the servers and fills them
	s.Discovery.Late = Range{0.1, 1}
	s.Faults = []Fault{
		{Kind: FaultDrain, At: 2, Part: 0.6},
		{Kind: FaultCrash, At: 5, For: 3, Part: 0.5},
		{Kind: FaultHot, At: 7, For: 12, Size: 1},
		{Kind: FaultScan, At: 8, For: 16, Size: 1 + 0.5*float64(seed%3)},
		{Kind: FaultCrash, At: 12, For: 2, Part: 0.6},
		{Kind: FaultHall, At: 18, For: 2, Part: 0.4},
	}
	return s
}

// Cold servers fall under the sum of all limiters: beyond the budget that the settings give for a server's warmth only twice its
// root and two requests are put down to chance, also with twenty to thirty limiters.
func TestManyLimitersDoNotOverloadColdServer(t *testing.T) {
	var mu sync.Mutex
	most := 0.0
	for seed := range uint64(11) { // 20 to 30 limiters
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := coldStartScenario(seed)
			require.Empty(t, s.Check())
			w := New(s, seed, Own(), false)
			r := w.Run()
			mu.Lock()
			most = max(most, w.audit.peakPressure)
			mu.Unlock()
			t.Logf("%2d limiters %2d nodes: press %.2f worth %.2f", s.Limiters, s.Nodes, w.audit.peakPressure, r.Worth())
			require.Empty(t, r.Violations)
		})
	}
	t.Cleanup(func() { t.Logf("the most that a cold server got was %.2f of what it may get", most) })
}

// The same days under a policy that knows no cold servers push some over: the auditor sees it, and they are hard enough.
func TestColdServersCollapseWithoutSlowStart(t *testing.T) {
	blunt, ok := PolicyNamed("whole-quota+random")
	require.True(t, ok)
	over := 0
	for seed := range uint64(6) {
		s := coldStartScenario(seed)
		w := New(s, seed, blunt, false)
		if r := w.Run(); strings.Contains(strings.Join(r.Violations, "\n"), "was pushed over") {
			over++
		}
	}
	require.Equal(t, 6, over)
}
