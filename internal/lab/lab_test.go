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

func TestWhatIsWrongWithAScenarioIsToldWithLineAndField(t *testing.T) {
	for text, says := range map[string]string{
		"scenario(name = 'x',\n  node = node(coers = 3))":             "x.star:2: node.coers: there is no such field",
		"scenario(\n  faults = [\n    fault(kind = 'fire', at = 3)])": "x.star:3: faults[0].kind: \"fire\" is none of",
		"scenario(seconds = -1)":                                      "x.star:1: seconds: -1 is not a number over 0",
		"scenario(network = network(within_ms = [3, 1]))":             "network.within_ms: ",
		"scenario(counter = counter(per_second = 'fast'))":            "counter.per_second: ",
		"scenario(shares = [1])":                                      "shares: one is needed for each tier",
		"scenario(scale = scale(limiters = 3, nodes = 10))":           "scale: limiters, nodes and firms are needed",
		"def f():\n  for i in range(1 << 40): pass\nf()":              "x.star:2: takes more than",
	} {
		_, err := ReadScenario("x.star", []byte(text))
		require.ErrorContains(t, err, says)
	}
	_, err := LoadScenario("no-such")
	require.ErrorContains(t, err, "shipped are")
}

// The shipped scenarios can be read, keep the rules in a short form, and those that are small hold their bounds.
func TestShippedScenarios(t *testing.T) {
	require.Contains(t, Shipped(), "hall-lost")
	for _, name := range Shipped() {
		s, err := LoadScenario(name)
		require.NoError(t, err, name)
		if s.Limiters > 30 {
			continue
		}
		if s.Limiters > 3 {
			s.Seconds = 4
		}
		r := model.New(s, 3, model.Own(), false).Run()
		require.Empty(t, r.Violations, name)
		if s.Limiters <= 3 {
			require.Empty(t, r.Check(s.Bounds), name)
		}
	}
}

func TestSearchFindsAndShrinksTheFaultThatBreaksARule(t *testing.T) {
	s, err := LoadScenario("calm")
	require.NoError(t, err)
	s.Seconds, s.Nodes, s.Firms.Count = 15, 6, 40
	whole, ok := model.PolicyNamed("whole-quota+random")
	require.True(t, ok)
	found := Search(context.Background(), s, whole, 1, 12, nil)
	broken := 0
	dir := t.TempDir()
	require.NoError(t, KeepFound(dir, found))
	for _, f := range found {
		if len(f.Broken) > 0 {
			broken++
			for k := range f.Scenario.Faults { // none of those left can be spared
				fewer := f.Scenario
				fewer.Faults = slices.Delete(slices.Clone(fewer.Faults), k, k+1)
				require.Zero(t, model.New(fewer, f.Seed, whole, false).Run().Broken)
			}
		}
	}
	require.Positive(t, broken)
	list, err := filepath.Glob(filepath.Join(dir, "found-*.json"))
	require.NoError(t, err)
	require.Len(t, list, len(found))
}

func TestCompareTellsADifferenceAndNoDifference(t *testing.T) {
	side := func(worth float64) (list []Done) {
		for k := range 10 {
			list = append(list, Done{Job{Seed: uint64(k)}, model.Result{WorthAsked: 100, WorthServed: worth + float64(k%3)}, 0})
		}
		return list
	}
	rows := map[string]string{}
	for _, r := range Compare(side(80), side(90)).Rows {
		rows[r[0]] = r[5]
	}
	require.Equal(t, "differs", rows["worth"])
	require.Equal(t, "no difference seen", rows["calls"])
	require.InDelta(t, 2.262*math.Sqrt(2.5)/math.Sqrt(5), Mean([]float64{1, 2, 3, 4, 5}).Half*2.262/2.776, 1e-3)
}

func TestParametersAreSetByTheirPath(t *testing.T) {
	s := model.Base()
	require.NoError(t, SetParameter(&s, "counter.per_second", 50))
	require.NoError(t, SetParameter(&s, "nodes", 7))
	require.NoError(t, SetParameter(&s, "discovery.late", 2))
	require.Equal(t, 50.0, s.Counter.PerSecond)
	require.Equal(t, 7, s.Nodes)
	require.Equal(t, model.Range{2, 2}, s.Discovery.Late)
	require.Error(t, SetParameter(&s, "counter.speed", 1))
	require.Error(t, SetParameter(&s, "counter", 1))
}

func TestTablesAndChartsMakeAPage(t *testing.T) {
	dir := t.TempDir()
	tab := &Table{Name: "a", Head: []string{"x", "y <b>"}}
	tab.Add(1, 2.5)
	require.NoError(t, tab.Keep(dir))
	require.NoError(t, Bars{Name: "b", Title: "t", Labels: []string{"one", "two"}, Values: []float64{1, 2}}.Keep(dir))
	path, err := Page(dir)
	require.NoError(t, err)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(raw), "<td>2.5</td>")
	require.Contains(t, string(raw), "y &lt;b&gt;")
	require.Contains(t, string(raw), "<svg")
	_, err = Page(t.TempDir())
	require.Error(t, err)
}

// The judge of a run counts what a firm was sent beyond the largest figures in force, and nothing else.
func TestTruthJudgesByTheLargestFiguresInForce(t *testing.T) {
	began := time.Unix(1000, 0)
	plan := func(rate float64) []logic.Plan {
		return []logic.Plan{{Name: "full", Rate: rate, Burst: 4, CeilingRate: 2 * rate, CeilingBurst: 6, CeilingSlack: 1}}
	}
	early, late := []Period{{began.Add(-time.Hour), plan(10)}, {began.Add(time.Second), plan(1)}},
		[]Period{{began.Add(-time.Hour), plan(10)}, {began.Add(3 * time.Second), plan(1)}}
	truth := NewTruth(1)
	send := func(from float64, n int, every float64) {
		for k := range n {
			truth.sends[0] = append(truth.sends[0], Send{At: began.Add(time.Duration((from + float64(k)*every) * float64(time.Second)))})
		}
	}
	send(0, 30, 0.1) // ten a second for three seconds: inside while one limiter holds the old figures
	figures := Figures{Limiters: [][]Period{early, late}}
	v := truth.Judge(0, "full", figures, began, 0, 0, [][2]time.Time{{began, began.Add(time.Second)}})
	require.Equal(t, 30.0, v.Sent)
	require.LessOrEqual(t, v.Beyond, 1.0)
	require.Equal(t, 10.0, v.SentIn[0])
	send(3.5, 30, 0.1) // and beyond when both hold the new
	v = truth.Judge(0, "full", figures, began, 0, 0, nil)
	require.Greater(t, v.Beyond, 20.0)
	require.Greater(t, v.Over, 10.0)
	require.Less(t, truth.Judge(0, "full", figures, began, 0, 20, nil).Beyond, v.Beyond-15, "reserved units are inside")
}

// What is told of jobs ends with the context, also where all of them are done by then.
func TestNoJobIsToldOfAfterTheEnd(t *testing.T) {
	s, err := LoadScenario("calm")
	require.NoError(t, err)
	s.Seconds, s.Warm, s.Nodes, s.Firms.Count = 2, 1, 3, 10
	jobs := make([]Job, 8)
	for k := range jobs {
		jobs[k] = Job{Scenario: s, Policy: model.Own(), Seed: uint64(k)}
	}
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		told := 0
		done := Parallel(ctx, jobs, func(int, Done) {
			time.Sleep(20 * time.Millisecond) // the others are done meanwhile
			told++
			cancel()
		})
		require.Equal(t, 1, told)
		require.Len(t, done, 1)
	}
}
