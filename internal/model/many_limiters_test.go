package model

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// coldStartScenario has twenty to thirty limiters. Most servers are replaced by new ones, and others crash and restart cold, all
// of it during a burst.
func coldStartScenario(seed uint64) Scenario {
	limiters := 20 + int(seed%11)
	s := ScaledScenario(limiters, 10+int(seed*7%15), 60+int(seed*13%80), 0)
	s.Name, s.Seconds, s.WarmupSeconds = fmt.Sprint("throng-", seed), 30, 1
	s.Node.ColdShare, s.Node.ColdSeconds = 0.16+0.02*float64(seed%8), 8+float64(seed*5%12)
	s.Rules.OverloadFactor, s.Rules.OverloadWindowSeconds = 2+0.25*float64(seed*3%5), 2+0.5*float64(seed*11%5)
	s.Firms.QuotaUse, s.Firms.Spread = Range{0.5, 0.95}, Range{1, 4} // most of the load stays within quotas, so that it reaches the servers and fills them
	s.Discovery.DelaySeconds = Range{0.1, 1}
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

// A cold server is overloaded by the sum of all limiters. Beyond the budget that the settings give for its warm-up, only twice the
// budget's square root and two requests are allowed as chance, also with twenty to thirty limiters.
func TestManyLimitersDoNotOverloadColdServer(t *testing.T) {
	var mu sync.Mutex
	peak := 0.0
	for seed := range uint64(11) { // 20 to 30 limiters
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := coldStartScenario(seed)
			require.Empty(t, s.Check())
			w := New(s, seed, ProjectPolicy(), false)
			r := w.Run()
			mu.Lock()
			peak = max(peak, w.audit.peakPressure)
			mu.Unlock()
			t.Logf("%2d limiters %2d nodes: peak pressure %.2f worth %.2f", s.Limiters, s.Nodes, w.audit.peakPressure, r.WorthShare())
			require.Empty(t, r.Violations)
		})
	}
	t.Cleanup(func() { t.Logf("a cold server received at most %.2f of what the fleet may send it", peak) })
}

// Under a policy without slow start the same scenarios overload cold servers. This shows that the audit detects overload and that
// the scenarios are hard enough.
func TestColdServersCollapseWithoutSlowStart(t *testing.T) {
	noSlowStart, ok := PolicyNamed("whole-quota+random")
	require.True(t, ok)
	overloadedRuns := 0
	for seed := range uint64(6) {
		s := coldStartScenario(seed)
		w := New(s, seed, noSlowStart, false)
		if r := w.Run(); strings.Contains(strings.Join(r.Violations, "\n"), "was overloaded") {
			overloadedRuns++
		}
	}
	require.Equal(t, 6, overloadedRuns)
}
