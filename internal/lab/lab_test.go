package lab

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/model"
	"bramblefall/logic"
)

func TestScenarioErrorsNameLineAndField(t *testing.T) {
	for source, want := range map[string]string{
		"scenario(name = 'x',\n  node = node(coers = 3))":             "x.star:2: node.coers: there is no such field",
		"scenario(\n  faults = [\n    fault(kind = 'fire', at = 3)])": "x.star:3: faults[0].kind: \"fire\" is none of",
		"scenario(seconds = -1)":                                      "x.star:1: seconds: -1 is not a number over 0",
		"scenario(network = network(within_ms = [3, 1]))":             "network.within_ms: ",
		"scenario(counter = counter(per_second = 'fast'))":            "counter.per_second: ",
		"scenario(shares = [1])":                                      "shares: one is needed for each tier",
		"scenario(scale = scale(limiters = 3, nodes = 10))":           "scale: limiters, nodes and firms are needed",
		"def f():\n  for i in range(1 << 40): pass\nf()":              "x.star:2: takes more than",
	} {
		_, err := ReadScenario("x.star", []byte(source))
		require.ErrorContains(t, err, want)
	}
	_, err := LoadScenario("no-such")
	require.ErrorContains(t, err, "shipped are")
}

// Every shipped scenario can be read. Those with up to three limiters break no rule and hold their bounds in a run of full
// length. Those with four to 30 limiters break no rule in a run that is cut to four seconds. Larger ones are not run.
func TestShippedScenarios(t *testing.T) {
	require.Contains(t, ShippedScenarios(), "hall-lost")
	for _, name := range ShippedScenarios() {
		s, err := LoadScenario(name)
		require.NoError(t, err, name)
		if s.Limiters > 30 {
			continue
		}
		if s.Limiters > 3 {
			s.Seconds = 4
		}
		r := model.New(s, 3, model.ProjectPolicy(), false).Run()
		require.Empty(t, r.Violations, name)
		if s.Limiters <= 3 {
			require.Empty(t, r.Check(s.Bounds), name)
		}
	}
}

func TestSearchReducesFaultsToMinimalSet(t *testing.T) {
	s, err := LoadScenario("calm")
	require.NoError(t, err)
	s.Seconds, s.Nodes, s.Firms.Count = 15, 6, 40
	policy, ok := model.PolicyNamed("whole-quota+random")
	require.True(t, ok)
	found := Search(context.Background(), s, policy, 1, 12, nil)
	withViolations := 0
	dir := t.TempDir()
	require.NoError(t, WriteFindings(dir, found))
	for _, finding := range found {
		if len(finding.Violations) > 0 {
			withViolations++
			for i := range finding.Scenario.Faults { // without any one of the remaining faults no rule breaks
				fewer := finding.Scenario
				fewer.Faults = slices.Delete(slices.Clone(fewer.Faults), i, i+1)
				require.Zero(t, model.New(fewer, finding.Seed, policy, false).Run().ViolationCount)
			}
		}
	}
	require.Positive(t, withViolations)
	list, err := filepath.Glob(filepath.Join(dir, "found-*.json"))
	require.NoError(t, err)
	require.Len(t, list, len(found))
}

func TestCompareTableDetectsDifference(t *testing.T) {
	results := func(worth float64) (list []JobResult) {
		for i := range 10 {
			list = append(list, JobResult{Job{Seed: uint64(i)}, model.Result{WorthRequested: 100, WorthServed: worth + float64(i%3)}, 0})
		}
		return list
	}
	rows := map[string]string{}
	for _, r := range CompareTable(results(80), results(90)).Rows {
		rows[r[0]] = r[5]
	}
	require.Equal(t, "differs", rows["worth"])
	require.Equal(t, "no difference seen", rows["calls"])
	require.InDelta(t, 2.262*math.Sqrt(2.5)/math.Sqrt(5), MeanInterval([]float64{1, 2, 3, 4, 5}).HalfWidth*2.262/2.776, 1e-3)
}

func TestSetParameterByPath(t *testing.T) {
	s := model.BaseScenario()
	require.NoError(t, SetParameter(&s, "counter.per_second", 50))
	require.NoError(t, SetParameter(&s, "nodes", 7))
	require.NoError(t, SetParameter(&s, "discovery.late", 2))
	require.Equal(t, 50.0, s.Counter.CallsPerSecond)
	require.Equal(t, 7, s.Nodes)
	require.Equal(t, model.Range{2, 2}, s.Discovery.DelaySeconds)
	require.Error(t, SetParameter(&s, "counter.speed", 1))
	require.Error(t, SetParameter(&s, "counter", 1))
}

func TestPageContainsTablesAndCharts(t *testing.T) {
	dir := t.TempDir()
	table := &Table{Name: "a", Columns: []string{"x", "y <b>"}}
	table.Add(1, 2.5)
	require.NoError(t, table.WriteFiles(dir))
	require.NoError(t, BarChart{Name: "b", Title: "t", Labels: []string{"one", "two"}, Values: []float64{1, 2}}.WriteSVG(dir))
	path, err := WriteHTMLPage(dir)
	require.NoError(t, err)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(raw), "<td>2.5</td>")
	require.Contains(t, string(raw), "y &lt;b&gt;")
	require.Contains(t, string(raw), "<svg")
	_, err = WriteHTMLPage(t.TempDir())
	require.Error(t, err)
}

// Evaluate must count exactly the units beyond the largest figures that any limiter had in force, since limiters learn of a
// change at different times.
func TestEvaluateUsesLargestFiguresInForce(t *testing.T) {
	began := time.Unix(1000, 0)
	plan := func(rate float64) []logic.Plan {
		return []logic.Plan{{Name: "full", Rate: rate, Burst: 4, CeilingRate: 2 * rate, CeilingBurst: 6, CeilingSlack: 1}}
	}
	early, late := []PlanPeriod{{began.Add(-time.Hour), plan(10)}, {began.Add(time.Second), plan(1)}},
		[]PlanPeriod{{began.Add(-time.Hour), plan(10)}, {began.Add(3 * time.Second), plan(1)}}
	sendLog := NewSendLog(1)
	send := func(fromSeconds float64, n int, intervalSeconds float64) {
		for i := range n {
			sendLog.sendsByFirm[0] = append(sendLog.sendsByFirm[0], SentRequest{At: began.Add(time.Duration((fromSeconds + float64(i)*intervalSeconds) * float64(time.Second)))})
		}
	}
	send(0, 30, 0.1) // ten a second for three seconds: inside the quota while one limiter has the old figures
	timeline := PlanTimeline{ByLimiter: [][]PlanPeriod{early, late}}
	use := sendLog.Evaluate(0, "full", timeline, began, 0, 0, [][2]time.Time{{began, began.Add(time.Second)}})
	require.Equal(t, 30.0, use.Sent)
	require.LessOrEqual(t, use.BeyondQuota, 1.0)
	require.Equal(t, 10.0, use.SentInWindow[0])
	send(3.5, 30, 0.1) // beyond the quota once both limiters have the new figures
	use = sendLog.Evaluate(0, "full", timeline, began, 0, 0, nil)
	require.Greater(t, use.BeyondQuota, 20.0)
	require.Greater(t, use.OverCeiling, 10.0)
	require.Less(t, sendLog.Evaluate(0, "full", timeline, began, 0, 20, nil).BeyondQuota, use.BeyondQuota-15, "reserved units count as inside the quota")
}

// RunJobs must report no job after the context has ended, even if all jobs have finished by then and select could pick
// either channel.
func TestParallelReportsNothingAfterContextEnd(t *testing.T) {
	s, err := LoadScenario("calm")
	require.NoError(t, err)
	s.Seconds, s.WarmupSeconds, s.Nodes, s.Firms.Count = 2, 1, 3, 10
	jobs := make([]Job, 8)
	for i := range jobs {
		jobs[i] = Job{Scenario: s, Policy: model.ProjectPolicy(), Seed: uint64(i)}
	}
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		reported := 0
		done := RunJobs(ctx, jobs, func(int, JobResult) {
			time.Sleep(20 * time.Millisecond) // so that the other jobs finish meanwhile
			reported++
			cancel()
		})
		require.Equal(t, 1, reported)
		require.Len(t, done, 1)
	}
}
