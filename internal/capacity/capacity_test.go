package capacity

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/scale"
)

// testFigures returns a small set of invented figures.
func testFigures() File {
	return File{"some/where/a.json", scale.Figures{Version: 1, Cores: 4, MemoryMB: 8000,
		Slopes: []scale.Slope{
			{Role: "limiter", Quantity: "memory", Unit: "bytes", Against: "servers", Sizes: []float64{1000, 5000}, Values: []float64{11e6, 15e6},
				Intercept: 10e6, PerUnit: 1000, Error: 10, HeldConstant: "no tenants"},
			{Role: "counter", Quantity: "messages", Unit: "1/s", Against: "requests", Sizes: []float64{1000, 3000}, Values: []float64{500, 1500},
				Intercept: 0, PerUnit: 0.5, HeldConstant: "4 limiters"},
		},
		Quota:   []scale.QuotaError{{Plan: "all", Limiters: 570, Counters: 1, BeyondShare: 0.07, CallsPerRequest: 0.05, Seeds: 3}},
		Moments: []scale.Moment{{Name: "change", Limiters: 285, Servers: 57000, P99Seconds: 0.4, LastSeconds: 0.6, Messages: 285, Bytes: 36195}},
		Added:   []scale.AddedTime{{RequestsPerSecond: 100, WithChanges: true, P50MS: 0.5, P99MS: 1.5, TimedRequests: 9000}},
	}}
}

// pageTemplate is a page whose figures are still to be filled in.
const pageTemplate = `# Capacity

Figures: ` + "`a.json`, `b/c.json`" + `

## Target

| name | value | what |
| --- | --- | --- |
| limiters | 5,700 | |
| servers | 57,000 | |
| services | 1,000 | |
| requests | 360,000 /s | |
| routes | 110,000 | |
| tenants | 510,000 | |
| added_p99 | 2.9 ms | |
| regions | 2 | |
| zones | 5 | |
| changes_a_day | 33,000 | |
| in_force | 3 s | |
| control_processor | 3 % of a core | |
| control_memory | 32 MB | |
| control_bytes | 23 KB/s | |
| control_machines | 13 | |
| failed_a_day | 68 | |
| restarted_a_day | 4,500 | |

## Assumptions

| name | value | formula | why |
| --- | --- | --- | --- |
| counters | 8 | | a guess |
| share | ? /s | ` + "`requests / limiters`" + ` | even |

## Slopes

| role | what | against | per unit | error | intercept | sizes | held | source |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |

## Limiter

| moment | what | formula | figure | from | budget | verdict | carried by |
| --- | --- | --- | --- | --- | --- | --- | --- |
| ordinary, peak | memory | ` + "`at(\"limiter\", \"memory\", \"servers\", servers)` | ? MB | | ? MB `control_memory`" + ` | | the list |
| ordinary | state | ` + "`servers * 2`" + ` | ? entries | | — | | the list |
| change | bytes | ` + "`moment(\"change\", \"bytes\") / moment(\"change\", \"limiters\")` | ? B | | ? KB `control_bytes * in_force`" + ` | | a watch |
| rack, zone, restart, regions, day | messages | ` + "`1000` | ? /s | | ? /s `2000`" + ` | | none: nobody does it |
| peak | processor | ` + "`missing(\"limiter\", \"processor\", \"routes\")`" + ` | ? | | — | | routes |
| peak | processor: added | ` + "`added(\"p99_ms\", control=True)` | ? ms | | ? ms `added_p99`" + ` | | |

## Quota counter

| moment | what | formula | figure | from | budget | verdict | carried by |
| --- | --- | --- | --- | --- | --- | --- | --- |
| peak | messages | ` + "`slope(\"counter\", \"messages\", \"requests\") * requests / counters` | ? /s | | ? /s `900`" + ` | | counters |
| ordinary | state: beyond | ` + "`quota(\"all\", \"beyond\", limiters=570, counters=1)` | ? % | | ? % `0.05`" + ` | | counters |
| change, rack, zone, restart, regions, day | state | ` + "`share`" + ` | ? | | — | | counters |
| peak | bytes | ` + "`share`" + ` | ? | | — | | counters |
| peak | processor | ` + "`share`" + ` | ? | | — | | counters |
| peak | memory | ` + "`share`" + ` | ? | | — | | counters |

## Discovery and its agents

OTHER

## Distribution of configuration

OTHER

## Operators' tools

OTHER

## What is missing first

| factor | role | moment | what | what would carry it |
| --- | --- | --- | --- | --- |
`

const otherRows = `| moment | what | formula | figure | from | budget | verdict | carried by |
| --- | --- | --- | --- | --- | --- | --- | --- |
| ordinary, peak, change, rack, zone, restart, regions, day | state | ` + "`1`" + ` | ? | | — | | it |
| ordinary | messages | ` + "`1`" + ` | ? | | — | | it |
| ordinary | bytes | ` + "`1`" + ` | ? | | — | | it |
| ordinary | processor | ` + "`1`" + ` | ? | | — | | it |
| ordinary | memory | ` + "`1`" + ` | ? | | — | | it |`

// completedPage returns the page with its figures filled in by Check, and with the texts that authors have to write.
func completedPage(t *testing.T) string {
	t.Helper()
	page := Check(strings.ReplaceAll(pageTemplate, "OTHER", otherRows), testFigures()).Page
	page = strings.ReplaceAll(page, " |  |\n", " | a run |\n")
	page = strings.ReplaceAll(page, " | a.json |\n", " | a run, a.json |\n")
	review := Check(page, testFigures())
	require.Empty(t, review.Findings)
	require.Equal(t, page, review.Page, "checking a correct page must not change it")
	return page
}

func TestDerivedCellsAreWritten(t *testing.T) {
	page := completedPage(t)
	for _, line := range []string{
		"| share | 63.2 /s | `requests / limiters` | even |",
		"| limiter | memory | servers | 1e+03 bytes | 10 | 1e+07 | 1,000; 5,000 | no tenants | a run, a.json |",
		"| 67 ± 0.54 MB | measured, extrapolated x11.4 (servers) | 32 MB `control_memory` | lacks x2.09 | the list |",
		"| `servers * 2` | 114,000 entries | assumed | — | — | the list |",
		"| 127 B | measured, extrapolated x20 (limiters) | 69 KB `control_bytes * in_force` | has | a watch |",
		"| `1000` | 1,000 /s | assumed | 2,000 /s `2000` | lacks | none: nobody does it |",
		"| missing | missing | — | missing | routes |",
		"| 1.50 ms | measured | 2.90 ms `added_p99` | has |",
		"| 22,500 /s | measured, extrapolated x120 (requests) | 900 /s `900` | lacks x25 | counters |",
		"| 7 % | model, extrapolated x10 (limiters) | 5 % `0.05` | lacks x1.40 | counters |",
		"| x25 | counter | peak | messages | a run |\n| x2.09 | limiter | ordinary, peak | memory | a run |\n| x1.40 | counter",
		"| — | limiter | rack, zone, restart, regions, day | messages | a run |",
	} {
		assert.Contains(t, page, line)
	}
	assert.Equal(t, "largest missing factor x25: counter, peak, messages; 2 rows have, 4 lack, 1 have no slope",
		Check(page, testFigures()).Main)
	assert.Equal(t, []string{"a.json", "b/c.json"}, Sources(page))
}

// Each error is planted alone in a correct page or its figures, and must be found by the check that guards against it.
func TestPlantedErrorsAreFound(t *testing.T) {
	for name, x := range map[string]struct {
		old, new string
		figures  func(*File)
		want     string
	}{
		"a figure that does not follow": {old: "| 67 ± 0.54 MB", new: "| 66 ± 0.54 MB", want: `the figure is "66 ± 0.54 MB", and "67 ± 0.54 MB" follows`},
		"a figure rounded away":         {old: "| 67 ± 0.54 MB", new: "| 0 GB", want: `the figure is "0 GB"`},
		"another error":                 {old: "| 67 ± 0.54 MB", new: "| 67 ± 0.05 MB", want: `the figure is`},
		"a new slope": {figures: func(f *File) {
			f.Slopes[0].Values[1] = 16e6
			f.Slopes[0].PerUnit = 1250
			f.Slopes[0].Intercept = 9.75e6
		}, want: "the figure is"},
		"a slope that is not its sizes'":           {figures: func(f *File) { f.Slopes[0].PerUnit = 900 }, want: "its sizes and values give"},
		"a slope without sizes":                    {figures: func(f *File) { f.Slopes[0].Values = nil }, want: "2 sizes and 0 values"},
		"figures of another form":                  {figures: func(f *File) { f.Version = 2 }, want: "version 2"},
		"a slope that is not there":                {old: `slope("counter", "messages"`, new: `slope("counter", "bytes"`, want: "there is no slope counter bytes against requests"},
		"two slopes of a name":                     {figures: func(f *File) { f.Slopes = append(f.Slopes, f.Slopes[0]) }, want: "say which by held="},
		"a name that is not there":                 {old: "`share` |", new: "`sharing` |", want: "sharing"},
		"a moment that is not there":               {old: `moment("change", "bytes")`, new: `moment("zone", "bytes")`, want: `there is no moment "zone"`},
		"a field of a moment that is not":          {old: `moment("change", "bytes")`, new: `moment("change", "worth")`, want: `the moment "change" has no "worth"`},
		"a run of the model that is not there":     {old: "limiters=570", new: "limiters=5700", want: "0 runs of the model"},
		"an added time that is not there":          {figures: func(f *File) { f.Added = nil }, want: "no added time"},
		"a formula without a figure":               {old: "| 67 ± 0.54 MB", new: "|", want: "a formula without a figure"},
		"a figure still to be written":             {old: "| 67 ± 0.54 MB", new: "| ? MB", want: `the figure is "? MB"`},
		"a figure in no known unit":                {old: "| 67 ± 0.54 MB", new: "| 67 ± 0.54 Mb", want: "in no unit that is known"},
		"a figure beside a budget of another kind": {old: "| 67 ± 0.54 MB", new: "| 67,000,000 /s", want: "the figure is in a rate, and its budget in bytes"},
		"a row without a formula":                  {old: "| `1000` |", new: "| 1000 |", want: "without a formula"},
		"a formula that comes to no number":        {old: "| `1000` |", new: "| `1 / 0` |", want: "division by zero"},
		"a formula below nothing":                  {old: "| `1000` |", new: "| `-1` |", want: "comes to -1"},
		"a formula without an end":                 {old: "| `1000` |", new: "| `len([x for x in range(1000000)])` |", want: "too many steps"},
		"a role without rows":                      {old: "## Operators' tools", new: "## Operators", want: "the role tools has no row"},
		"rows under no role":                       {old: "## Operators' tools", new: "## Operators", want: `under "Operators", which is no role`},
		"a role without a moment":                  {old: "rack, zone, restart, regions, day | messages", new: "rack, restart, regions, day | messages", want: "the role limiter has no row for the moment zone"},
		"a moment that is none":                    {old: "rack, zone, restart, regions, day | messages", new: "rack, zon, restart, regions, day | messages", want: `"zon" is none of the moments`},
		"a role without a quantity":                {old: "| change | bytes |", new: "| change | state: more |", want: "the role limiter has no row for its bytes"},
		"a quantity that is none":                  {old: "| change | bytes |", new: "| change | octets |", want: `"octets" is none of the quantities`},
		"two rows of a name":                       {old: "| peak | bytes | `share`", new: "| peak | memory | `share`", want: "a second row counter, peak, memory"},
		"has over the budget":                      {old: "| lacks x2.09 |", new: "| has |", want: `the verdict is "has", and "lacks x2.09" follows`},
		"lacks by another factor":                  {old: "| lacks x2.09 |", new: "| lacks x2 |", want: `the verdict is "lacks x2"`},
		"lacks within the budget":                  {old: "control_bytes * in_force` | has |", new: "control_bytes * in_force` | lacks x1.10 |", want: `and "has" follows`},
		"has where nothing carries it":             {old: "| lacks | none", new: "| has | none", want: `the verdict is "has", and "lacks" follows`},
		"a budget that does not follow":            {old: "| 32 MB `", new: "| 64 MB `", want: `the budget is "64 MB`},
		"a budget without a formula":               {old: "| 32 MB `control_memory`", new: "| 32 MB", want: "has no formula"},
		"a budget of a name that is not there":     {old: "`control_memory`", new: "`memory`", want: "the budget: memory"},
		"another extrapolation":                    {old: "extrapolated x11.4 (servers)", new: "extrapolated x2 (servers)", want: "where it is from is"},
		"an extrapolation that is not told":        {old: "measured, extrapolated x11.4 (servers)", new: "measured", want: "where it is from is"},
		"the model taken for a measurement":        {old: "| model,", new: "| measured,", want: "where it is from is"},
		"a missing slope with a figure":            {old: "| missing | missing | — | missing |", new: "| 3 % | measured | — | has |", want: `figure is "3 %", and "missing" follows`},
		"a missing slope that is there": {figures: func(f *File) {
			f.Slopes = append(f.Slopes, scale.Slope{Role: "limiter", Quantity: "processor", Against: "routes", Sizes: []float64{1, 2}, Values: []float64{1, 2}, PerUnit: 1})
		}, want: "is named as missing, and it is there"},
		"nothing said of what carries it":         {old: "| has | a watch |", new: "| has | |", want: "nothing is said of what carries it"},
		"partial figures, not told":               {figures: func(f *File) { f.Partial = "stopped" }, want: `no line says "- Partial: stopped"`},
		"quick figures, not told":                 {figures: func(f *File) { f.Quick = true }, want: `no line says "- Quick:`},
		"a broken bar, not told":                  {figures: func(f *File) { f.Bars = []scale.Bar{{Name: "all heard", Measured: "no"}} }, want: `no line says "- Bar broken: all heard (was no)"`},
		"a moment that did not reach all":         {figures: func(f *File) { f.Moments[0].Note = "3 hollow limiters had not heard of it in time" }, want: "measured, not all reached"},
		"told as partial, and is not":             {old: "## Target", new: "- Partial: stopped\n\n## Target", want: "no run of the figures says so"},
		"a target's value that is no figure":      {old: "| limiters | 5,700 |", new: "| limiters | many |", want: `limiters: "many" is no figure`},
		"a slope listed twice":                    {old: "| counter | messages | requests | 0.5 1/s |", new: "| limiter | memory | servers | 1e+03 bytes | 10 | 1e+07 | 1,000; 5,000 | no tenants | a run, a.json |\n| counter | messages | requests | 0.5 1/s |", want: "limiter memory against servers, no tenants is listed twice"},
		"a budget in no known unit":               {old: "| 32 MB `control_memory`", new: "| 32 Mb `control_memory`", want: `the budget: "32 Mb" is in no unit`},
		"named as missing at the end, and is not": {old: "| — | limiter | rack, zone, restart, regions, day | messages | a run |\n", new: "| — | limiter | rack, zone, restart, regions, day | messages | a run |\n| x1.01 | tools | day | state | a run |\n", want: "named as missing, but no row lacks it"},
		"no table of slopes":                      {old: "| role | what | against | per unit |", new: "| roles | what | against | per unit |", want: "there is no table of slopes"},
		"another target":                          {old: "| limiters | 5,700 |", new: "| limiters | 570 |", want: "limiters is 570, which is not the target's 5700"},
		"a target that is left out":               {old: "| zones | 5 | |\n", new: "", want: "the target has no zones"},
		"a name twice":                            {old: "| counters | 8 |", new: "| servers | 8 |", want: "servers is named twice"},
		"a name that no formula could use":        {old: "| counters | 8 |", new: "| the counters | 8 |", want: `"the counters" is no name`},
		"an assumption that does not follow":      {old: "| share | 63.2 /s |", new: "| share | 6.32 /s |", want: `share is "6.32 /s"`},
		"an assumption without a reason":          {old: "| a guess |", new: "| |", want: "counters has no reason"},
		"an assumption without a figure":          {old: "| counters | 8 |", new: "| counters | few |", want: "is no figure"},
		"a slope's figure that is another":        {old: "| 1e+03 bytes |", new: "| 900 bytes |", want: "per unit is"},
		"a slope's sizes that are others":         {old: "1,000; 5,000", new: "1,000; 57,000", want: "sizes is"},
		"a slope without a source":                {old: "| no tenants | a run, a.json |", new: "| no tenants | |", want: "does not name the slope's file a.json"},
		"a slope listed that is not there":        {old: "| limiter | memory | servers |", new: "| limiter | memory | tenants |", want: "there is no slope limiter memory against tenants"},
		"a slope used that is not listed":         {old: "| limiter | memory | servers |", new: "| counter | messages | requests |", want: "the table of slopes does not list it"},
		"a table that nothing checks":             {old: "| name | value | formula | why |", new: "| name | values | formula | why |", want: "a table with a head that is not known"},
		"a line with a cell too few":              {old: "| counters | 8 | |", new: "| counters | 8 |", want: "3 cells where the head has 4"},
		"the worst not first":                     {old: "| x25 | counter | peak | messages | a run |\n", new: "", want: "here follows x25, counter, peak, messages"},
		"a lacking row that is not named":         {old: "| — | limiter | rack, zone, restart, regions, day | messages | a run |\n", new: "", want: "ends before"},
		"named as missing and is not":             {old: "| x25 | counter | peak | messages | a run |\n", new: "| x25 | counter | peak | messages | a run |\n| x9 | tools | day | state | a run |\n", want: "here follows"},
		"a remedy that is not said":               {old: "| x25 | counter | peak | messages | a run |", new: "| x25 | counter | peak | messages | |", want: "what would carry it"},
		"no list of what is missing":              {old: "| factor | role | moment | what | what would carry it |", new: "| factors | role | moment | what | what would carry it |", want: "no table of what is missing first"},
	} {
		t.Run(name, func(t *testing.T) {
			page, f := completedPage(t), testFigures()
			if x.old != "" {
				changed := strings.Replace(page, x.old, x.new, 1)
				require.NotEqual(t, page, changed, "the planted text does not occur in the page")
				page = changed
			}
			if x.figures != nil {
				x.figures(&f)
			}
			var all []string
			for _, found := range Check(page, f).Findings {
				all = append(all, found.String())
			}
			assert.Contains(t, strings.Join(all, "\n"), x.want)
		})
	}
}

func TestFiguresAreMergedAndPartialRunsAreNoted(t *testing.T) {
	page, whole := completedPage(t), testFigures()
	one, other := whole, whole
	one.Slopes, other.Slopes = whole.Slopes[:1], whole.Slopes[1:]
	one.Quota, other.Moments, other.Added = nil, nil, nil
	assert.Empty(t, Check(page, one, other).Findings)
	assert.NotEmpty(t, Check(page, one).Findings)
	other.Partial = "stopped by hand"
	other.Bars = []scale.Bar{{Name: "all heard", Measured: "3"}, {Name: "all ran", Holds: true}}
	told := Check(page, one, other).Page
	assert.Contains(t, told, "`b/c.json`\n\n- Bar broken: all heard (was 3)\n- Partial: stopped by hand\n\n## Target")
	assert.Empty(t, Check(told, one, other).Findings)
	assert.Equal(t, told, Check(told, one, other).Page)
}

func TestAddedTakesLargestMatchingTime(t *testing.T) {
	f := testFigures()
	f.Added = []scale.AddedTime{{RequestsPerSecond: 63, WithChanges: true, P99MS: 2, Limiters: 100}, {RequestsPerSecond: 63, WithChanges: true, P99MS: 3, Limiters: 57},
		{RequestsPerSecond: 63, WithChanges: true, P99MS: 36, Limiters: 5700}, {RequestsPerSecond: 630, WithChanges: true, P99MS: 5, Limiters: 100}, {RequestsPerSecond: 63, P99MS: 99}}
	r := &reviewer{figures: merge([]File{f}), names: values{"limiters": 5700, "requests": 5700 * 63, "servers": 1}}
	for formula, want := range map[string]string{
		`added("p99_ms", control=True, per_second=63)`:                    "0.0360 measured",
		`added("p99_ms", control=True, per_second=63, most_limiters=100)`: "0.00300 measured, extrapolated x100 (limiters)",
		`added("p99_ms", control=True)`:                                   "0.00500 measured, extrapolated x57 (limiters)",
	} {
		n, err := r.evaluate(formula)
		require.NoError(t, err)
		assert.Equal(t, want, formatNumber(n.value)+" "+n.origin(), formula)
	}
}

func TestLastFileWinsForSameModelRun(t *testing.T) {
	f := testFigures()
	longer := File{"b.json", scale.Figures{Version: 1, Quota: []scale.QuotaError{f.Quota[0]}}}
	longer.Quota[0].BeyondShare = 0.03
	for want, from := range map[float64][]File{0.07: {longer, f}, 0.03: {f, longer}} {
		r := &reviewer{figures: merge(from), names: values{}}
		n, err := r.evaluate(`quota("all", "beyond", limiters=570)`)
		require.NoError(t, err)
		assert.Equal(t, want, n.value)
	}
	f.Quota = append(f.Quota, f.Quota[0])
	r := &reviewer{figures: merge([]File{f}), names: values{}}
	_, err := r.evaluate(`quota("all", "beyond", limiters=570)`)
	assert.ErrorContains(t, err, "2 runs of the model", "twice in one file")
}

func TestHeldSelectsAmongSlopes(t *testing.T) {
	f := testFigures()
	more := f.Slopes[1]
	more.HeldConstant, more.Values, more.PerUnit = "300 limiters", []float64{50, 150}, 0.05
	f.Slopes = append(f.Slopes, more)
	page := strings.Replace(completedPage(t), `slope("counter", "messages", "requests")`, `slope("counter", "messages", "requests", held="300")`, 1)
	page = strings.Replace(Check(page, f).Page, " |  |\n", " | a run |\n", 1)
	page = Check(page, f).Page
	page = strings.Replace(page, "| 4 limiters | a run, a.json |", "| 4 limiters | the first, a.json |", 1)
	review := Check(page, f)
	assert.Empty(t, review.Findings)
	assert.Contains(t, page, "| 2,250 /s | measured, extrapolated x120 (requests) | 900 /s `900` | lacks x2.50 | counters |")
	assert.Contains(t, page, "| counter | messages | requests | 0.05 1/s | 0 | 0 | 1,000; 3,000 | 300 limiters | a.json |")
}

func TestLargestFleetIsTakenOfMomentsAndModelRuns(t *testing.T) {
	f := testFigures()
	f.Moments = []scale.Moment{{Name: "zone", Limiters: 50, P99Seconds: 9}, {Name: "zone", Limiters: 100, P99Seconds: 1, Note: "gone"}, {Name: "zone", Limiters: 100, P99Seconds: 2, Note: "back"},
		{Name: "zone", Limiters: 5700, P99Seconds: 7, Model: true, Values: map[string]float64{"late": 3}}}
	f.Quota = []scale.QuotaError{{Plan: "all", Load: "a", Limiters: 3, Counters: 1, CounterSpeed: 1, CallsPerRequest: 0.5}, {Plan: "all", Load: "a", Limiters: 30, Counters: 1, CounterSpeed: 1, CallsPerRequest: 0.6},
		{Plan: "all", Load: "a", Limiters: 30, Counters: 1, CounterSpeed: 0, CallsPerRequest: 0.7}, {Plan: "all", Load: "b", Limiters: 30, Counters: 1, CounterSpeed: 0, CallsPerRequest: 0.8},
		{Plan: "all", Load: "a", Limiters: 30, Counters: 1, CounterSpeed: 0, Unbudgeted: true, CallsPerRequest: 0.9}, {Plan: "full", Load: "a", Limiters: 300, Counters: 1, CallsPerRequest: 1}}
	r := &reviewer{figures: merge([]File{f}), names: values{"limiters": 5700}}
	for formula, want := range map[string]string{
		`moment("zone", "p99_s")`:                                                      "2 measured, extrapolated x57 (limiters)",
		`moment("zone", "p99_s", model=True)`:                                          "7 model",
		`moment("zone", "late", model=True)`:                                           "3 model",
		`quota("all", "calls_per_request", speed=1)`:                                   "0.600 model, extrapolated x190 (limiters)",
		`quota("all", "calls_per_request", speed=0, set="a")`:                          "0.700 model, extrapolated x190 (limiters)",
		`quota("all", "calls_per_request", speed=1, limiters=3, set="a") * 2`:          "1 model, extrapolated x1,900 (limiters)",
		`quota("all", "calls_per_request", speed=0, set="a", free=True, limiters=30)`:  "0.900 model, extrapolated x190 (limiters)",
		`quota("all", "calls_per_request", speed=0)`:                                   "2 runs of the model",
		`quota("all", "calls_per_request", speed=0, set="a", limiters=30, counters=2)`: "0 runs of the model",
	} {
		n, err := r.evaluate(formula)
		if err != nil {
			assert.ErrorContains(t, err, want, formula)
			continue
		}
		assert.Equal(t, want, formatNumber(n.value)+" "+n.origin(), formula)
	}
}

func TestRemovedSlopeIsDroppedFromPage(t *testing.T) {
	page := completedPage(t)
	f := testFigures()
	other, more := f.Slopes[0], f.Slopes[0]
	other.HeldConstant, more.HeldConstant = "longer lists", "many tenants"
	f.Slopes = append(f.Slopes[1:], other, more)
	page = strings.ReplaceAll(page, `"servers", servers)`, `"servers", servers, held="longer")`)
	require.NotEmpty(t, Check(page, f).Findings)
	page = Check(page, f).Page
	assert.Empty(t, Check(page, f).Findings)
	assert.Contains(t, page, "| longer lists | a.json |")
	assert.NotContains(t, page, "| no tenants |")
}

func TestDigits(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 7: "7", 5700: "5,700", 999_999: "999,999", 1_234_567: "1,230,000", 12.345: "12.3",
		0.012345: "0.0123", 1234.5: "1,230", 99.96: "100", 1.001: "1.00"} {
		assert.Equal(t, want, formatNumber(v))
	}
}
