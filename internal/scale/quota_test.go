package scale

import (
	"context"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/lab"
	"bramblefall/internal/model"
)

// quotaPointsOf returns points of one load with the given counters, small enough for a test.
func quotaPointsOf(limiters int, load string, counters ...quotaPoint) (all []quotaPoint) {
	k := slices.IndexFunc(quotaLoads(), func(l quotaLoad) bool { return l.name == load })
	for _, c := range counters {
		all = append(all, quotaPoint{quotaLoads()[k], limiters, c.speed, c.unbudgeted})
	}
	return all
}

func TestTheSameSeedGivesTheSameQuotaFigures(t *testing.T) {
	list := quotaPointsOf(10, "each, 30", quotaPoint{speed: 1}, quotaPoint{unbudgeted: true})
	first, err := measureQuota(t.Context(), 7, 2, true, list, nil)
	require.NoError(t, err)
	again, err := measureQuota(t.Context(), 7, 2, true, list, nil)
	require.NoError(t, err)
	require.Equal(t, first, again)
	other, err := measureQuota(t.Context(), 8, 2, true, list, nil)
	require.NoError(t, err)
	require.NotEqual(t, first, other)
	require.Len(t, first, 2*4, "all plans, and each")
	for _, q := range first {
		require.Equal(t, 2, q.Seeds)
		require.Positive(t, q.Tries, q.Plan)
		for _, v := range []float64{q.BeyondShare, q.RefusedWithRoomShare, q.UnansweredShare, q.LostCallShare} {
			require.True(t, v >= 0 && v <= 1 && !math.IsNaN(v), "%+v", q)
		}
	}
}

// Unanswered calls are due to an overloaded counter: an unlimited one has none, and what is still beyond quotas then is due to
// their being split over limiters.
func TestUnlimitedCounterIsNotOverloaded(t *testing.T) {
	list, err := measureQuota(t.Context(), 1, 1, true, quotaPointsOf(40, "each, 30", quotaPoint{speed: 0.5}, quotaPoint{}, quotaPoint{unbudgeted: true}), nil)
	require.NoError(t, err)
	var sums []QuotaError
	for _, q := range list {
		if q.Plan == AllPlans {
			sums = append(sums, q)
		}
	}
	require.Len(t, sums, 3)
	require.Greater(t, sums[0].UnansweredShare, 0.05)
	for _, q := range sums[1:] {
		require.Zero(t, q.UnansweredShare)
		require.Zero(t, q.LostCallShare)
		require.Zero(t, q.CounterSpeed)
		require.Less(t, q.BeyondShare, sums[0].BeyondShare)
	}
}

// Every limiter that a point names is in its scenario, and the load is the one that its description states.
func TestQuotaPointsKeepLimitersAndLoad(t *testing.T) {
	requestsPerSecond := map[string]map[int]float64{}
	for _, p := range quotaPoints(false) {
		s, _, err := p.scenario(false)
		require.NoError(t, err)
		require.Empty(t, s.Check(), s.Name)
		require.Equal(t, p.limiters, s.Limiters, s.Name)
		rate := 0.0
		for _, f := range model.DrawFirms(s, 1) {
			rate += f.Demand
			require.LessOrEqual(t, f.Spread, p.limiters)
			if p.load.name != "total, few" && p.load.name != "each, 30" {
				require.Equal(t, p.limiters, f.Spread)
			}
		}
		if requestsPerSecond[p.load.name] == nil {
			requestsPerSecond[p.load.name] = map[int]float64{}
		}
		requestsPerSecond[p.load.name][p.limiters] = rate
	}
	require.Len(t, requestsPerSecond, 6)
	for name, sizes := range requestsPerSecond {
		require.Len(t, sizes, 5, name)
		for n, rate := range sizes {
			if name == "each, 30" {
				require.InEpsilon(t, 20, rate/float64(n), 0.5, "%d limiters", n)
			} else {
				require.InEpsilon(t, sizes[3], rate, 0.15, "%s, %d limiters", name, n)
			}
		}
	}
}

// The servers have capacity to spare: a policy that refuses nothing inside a quota shows next to no refusals with room.
func TestRefusalsAreDueToQuotas(t *testing.T) {
	whole, ok := model.PolicyNamed("whole-quota+least")
	require.True(t, ok)
	for _, load := range quotaLoads() {
		s, _, err := quotaPoint{load, 10, 1, false}.scenario(true)
		require.NoError(t, err)
		r := model.New(s, 1, whole, false).Run()
		require.Positive(t, r.Refused)
		require.Less(t, float64(r.RefusedWithRoom)/float64(r.Tries), 0.01, load.name)
	}
}

// A cancelled run returns the points that are complete, and the error.
func TestAnEndedRunSaysSo(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	list, err := measureQuota(ctx, 1, 1, true, quotaPointsOf(3, "total, all", quotaPoint{speed: 1}, quotaPoint{speed: 2}, quotaPoint{speed: 8}, quotaPoint{}),
		func(string) { cancel() })
	require.ErrorIs(t, err, context.Canceled)
	require.Zero(t, len(list)%4)
	require.Less(t, len(list), 16)
}

func TestADayHasItsChangesAndBursts(t *testing.T) {
	at := drawDayChanges(3)
	require.Equal(t, at, drawDayChanges(3))
	require.NotEqual(t, at, drawDayChanges(4))
	require.Len(t, at, changesPerDay)
	require.True(t, slices.IsSorted(at))
	require.Less(t, at[len(at)-1], float64(secondsPerDay))
	second, _ := busiestSpan(at, 1)
	minute, from := busiestSpan(at, 60)
	require.Greater(t, minute, 10*changesPerDay/1440, "the busiest minute has far more changes than the mean")
	require.GreaterOrEqual(t, minute, second)
	n := 0
	for _, t := range at {
		if t >= from && t < from+60 {
			n++
		}
	}
	require.Equal(t, minute, n)
	many, begins := busiestSpan([]float64{0, 5, 5.5, 5.9, 6, 9}, 1)
	require.Equal(t, 3, many)
	require.Equal(t, 5.0, begins)
}

// The same seed gives the same moments, except for processor times. While regions are cut off from each other each grants quotas
// by its own counter, so that more is sent beyond them, and that ends with the cut.
func TestModelledMoments(t *testing.T) {
	s := model.BaseScenario()
	s.Limiters, s.Nodes, s.Firms.Count, s.WarmupSeconds, s.Seconds = 10, 24, 60, 5, 75
	s.Firms.Spread = model.Range{10, 10}
	play := func(seed uint64) map[string]float64 { return playRegions(context.Background(), s, seed, 25, 25) }
	done := make(chan map[string]float64, 3)
	for _, seed := range []uint64{1, 1, 2} {
		go func() { done <- play(seed) }()
	}
	a, b, c := <-done, <-done, <-done
	same := 0
	for _, pair := range [][2]map[string]float64{{a, b}, {a, c}, {b, c}} {
		if equalValues(pair[0], pair[1]) {
			same++
		}
	}
	require.Equal(t, 1, same, "seed 1 twice, seed 2 once")
	for _, v := range []map[string]float64{a, b, c} {
		require.Zero(t, v["broken rules"])
		require.Greater(t, v["cut, beyond"], v["before, beyond"])
		require.Less(t, v["healed, first 60 s, beyond"], 1.0)
		require.Positive(t, v["cut, region 0, units/s"])
		require.Positive(t, v["cut, region 1, units/s"])
	}
}

// equalValues reports whether two sets of figures are equal.
func equalValues(a, b map[string]float64) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || v != w {
			return false
		}
	}
	return true
}

func TestTablesHoldEveryRow(t *testing.T) {
	list := []QuotaError{{Plan: AllPlans, Load: "a", Limiters: 3, CounterSpeed: 1}, {Plan: "full", Load: "a", Limiters: 3, CounterSpeed: 1},
		{Plan: AllPlans, Load: "a", Limiters: 3, Unbudgeted: true}}
	require.Len(t, QuotaTable(list, false).Rows, 2)
	require.Len(t, QuotaTable(list, true).Rows, 1)
	for _, table := range []*lab.Table{QuotaTable(list, false), QuotaTable(list, true), MomentTable([]Moment{{Name: "day", Values: map[string]float64{"x": 1}}})} {
		for _, row := range table.Rows {
			require.Len(t, row, len(table.Columns))
		}
	}
}

// The load with several units a request has the mean that its description states.
func TestMeanUnitsMatchTheDescription(t *testing.T) {
	s, err := unitsScenario(3)
	require.NoError(t, err)
	s.Seconds, s.WarmupSeconds = 12, 1
	r := model.New(s, 1, model.ProjectPolicy(), false).Run()
	require.InEpsilon(t, 1.5, r.UnitsRequested/float64(r.Requests), 0.05)
}

// The burst of a day reaches every limiter, is the same each time, and takes no longer than discovery's own delay.
func TestABurstOfChangesReachesEveryLimiter(t *testing.T) {
	burst, calm, firms, err := playBurst(t.Context(), 2, 5, 600, 6)
	require.NoError(t, err)
	again, _, _, err := playBurst(t.Context(), 2, 5, 600, 6)
	require.NoError(t, err)
	require.Equal(t, burst, again)
	require.Equal(t, 60, firms)
	require.Zero(t, calm.Changes.Deliveries)
	require.Zero(t, burst.Changes.Deliveries%5, "each limiter gets the same changes")
	changes, _ := busiestSpan(drawDayChanges(2), 6)
	require.Greater(t, float64(burst.Changes.Deliveries)/5, 0.9*float64(changes), "no change is left out, except of a server that is being replaced already")
	require.LessOrEqual(t, burst.Changes.MaxSeconds, model.BaseScenario().Discovery.DelaySeconds[1]+0.01)
	require.Zero(t, burst.ViolationCount)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, _, err = playBurst(ctx, 2, 5, 600, 6)
	require.ErrorIs(t, err, context.Canceled)
}

func TestTheCostOfAChangeIsMeasured(t *testing.T) {
	mean, p99, all := measureChangeCost(200, 300)
	require.Positive(t, mean)
	require.GreaterOrEqual(t, p99, mean/10)
	require.Positive(t, all)
	require.Greater(t, changeBytes(), 100.0)
}
