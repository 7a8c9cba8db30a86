// Package capacity checks docs/CAPACITY.md, a page of Markdown tables whose figures are computed by formulas from measured
// slopes (scale.Figures), named assumptions and the target. It performs no I/O: Check takes the page and the figures, and
// returns the findings and the corrected page.
package capacity

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"bramblefall/internal/scale"
)

// Roles maps the headings of the page's sections to the roles of the control plane. A page has to cover each of them.
var Roles = map[string]string{
	"Limiter": "limiter", "Quota counter": "counter", "Discovery and its agents": "discovery",
	"Distribution of configuration": "distribution", "Operators' tools": "tools",
}

// Each role needs a row for each of these moments and quantities, even if the row only says that a measurement is missing.
var (
	moments    = []string{"ordinary", "peak", "change", "rack", "zone", "restart", "regions", "day"}
	quantities = []string{"state", "messages", "bytes", "processor", "memory"}
)

// Target is the deployment that the page plans for. It is repeated here so that a page cannot meet its budgets by changing
// the target.
var Target = map[string]float64{
	"limiters": 5_700, "servers": 57_000, "services": 1_000, "requests": 360_000, "routes": 110_000, "tenants": 510_000,
	"added_p99": 0.0029, "regions": 2, "zones": 5, "changes_a_day": 33_000, "in_force": 3,
	"control_processor": 0.03, "control_memory": 32e6, "control_bytes": 23e3, "control_machines": 13,
	"failed_a_day": 68, "restarted_a_day": 4_500,
}

// Finding is an error of a page.
type Finding struct {
	Line int // of the page, from 1; 0 for the page as a whole
	Text string
}

func (f Finding) String() string { return fmt.Sprintf("line %d: %s", f.Line, f.Text) }

// Review is the result of checking a page.
type Review struct {
	Findings []Finding
	Page     string             // with the figures, verdicts and tables that follow from the formulas
	Main     string             // one line: the largest missing factor and the numbers of rows by verdict
	Names    map[string]float64 // values of the target and the assumptions, by name
}

// The header rows by which the tables of a page are recognized.
const (
	headTarget  = "name | value | what"
	headAssumed = "name | value | formula | why"
	headSlopes  = "role | what | against | per unit | error | intercept | sizes | held | source"
	headRows    = "moment | what | formula | figure | from | budget | verdict | carried by"
	headMissing = "factor | role | moment | what | what would carry it"
)

// Contents of cells that the check writes or recognizes.
const (
	verdictHas     = "has"
	verdictLacks   = "lacks"
	verdictMissing = "missing"
	noCarrier      = "none" // start of the last cell of a row where nothing carries the load
	emptyCell      = "—"
)

// droppedLine marks a line to be left out of the corrected page.
const droppedLine = "\x00"

var figuresLine = regexp.MustCompile("(?m)^Figures: (.*)$")

// Sources returns the files that a page names in backticks on its lines that begin with "Figures:".
func Sources(page string) (files []string) {
	for _, line := range figuresLine.FindAllStringSubmatch(page, -1) {
		for _, f := range backticked.FindAllStringSubmatch(line[1], -1) {
			files = append(files, f[1])
		}
	}
	return files
}

// reviewer holds the state of checking one page.
type reviewer struct {
	*figures
	findings      []Finding
	lines         []string
	names         values
	coverage      map[string]*roleCoverage
	usedSlopes    map[slopeID]scale.Slope
	listedSlopes  map[slopeID]bool
	shortfalls    []shortfall
	seenRows      map[string]bool // by role, moment and quantity, to find duplicate rows
	verdictCounts map[string]int
	slopesEnd     int // index of the line after the table of slopes; 0 if there is none
	missingEnd    int // index of the line after the table of what is missing first; 0 if there is none
	missingRows   []row
}

type roleCoverage struct{ moments, quantities map[string]bool }

type shortfall struct {
	factor                 float64 // figure divided by its budget; 0 if nothing carries the load at all
	role, moment, quantity string
}

// row is a row of a table.
type row struct {
	line  int // number of its line, from 1
	cells []string
}

var (
	backticked = regexp.MustCompile("`([^`]*)`")
	identifier = regexp.MustCompile("^[a-z][a-z0-9_]*$")
)

// File is a file of measured figures.
type File struct {
	Name string
	scale.Figures
}

// Check checks a page against figures. Those of several files are merged.
func Check(page string, from ...File) Review {
	r := &reviewer{figures: merge(from), lines: strings.Split(page, "\n"), names: values{}, coverage: map[string]*roleCoverage{},
		usedSlopes: map[slopeID]scale.Slope{}, listedSlopes: map[slopeID]bool{}, seenRows: map[string]bool{}, verdictCounts: map[string]int{}}
	r.findings = append(r.findings, r.figures.findings...)
	r.checkRunNotes(from)
	r.checkTables()
	r.checkCoverage()
	out := slices.Clone(r.lines)
	out = rewriteNotes(r.rewriteLists(out), runNotes(from))
	out = slices.DeleteFunc(out, func(l string) bool { return l == droppedLine })
	return Review{Findings: r.findings, Page: strings.Join(out, "\n"), Main: r.summary(), Names: r.names}
}

func (r *reviewer) reportf(line int, format string, args ...any) {
	r.findings = append(r.findings, Finding{line, fmt.Sprintf(format, args...)})
}

// The prefixes of the lines by which a page discloses what was incomplete or failed in the runs behind its figures.
const (
	notePartial = "- Partial: "
	noteQuick   = "- Quick: "
	noteBar     = "- Bar broken: "
)

// runNotes returns the lines that a page has to contain about its runs, sorted and without duplicates.
func runNotes(from []File) (list []string) {
	for _, f := range from {
		if f.Partial != "" {
			list = append(list, notePartial+oneLine(f.Partial))
		}
		if f.Quick {
			list = append(list, noteQuick+"a short run is among the figures")
		}
		for _, b := range f.Bars {
			if !b.Holds {
				list = append(list, noteBar+oneLine(b.Name+" (was "+b.Measured+")"))
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

func isNote(line string) bool {
	return strings.HasPrefix(line, notePartial) || strings.HasPrefix(line, noteQuick) || strings.HasPrefix(line, noteBar)
}

// checkRunNotes compares the page's notes on incomplete runs with those that its figures require.
func (r *reviewer) checkRunNotes(from []File) {
	expected := runNotes(from)
	for _, n := range expected {
		if !slices.Contains(r.lines, n) {
			r.reportf(0, "a run was not whole, and no line says %q", n)
		}
	}
	for n, line := range r.lines {
		if isNote(line) && !slices.Contains(expected, line) {
			r.reportf(n+1, "no run of the figures says so")
		}
	}
}

// rewriteNotes replaces the notes on runs by the expected ones, at the place of the first note, or, where there is none, below
// the line that names the files of figures.
func rewriteNotes(lines, expected []string) []string {
	at := slices.IndexFunc(lines, isNote)
	if at < 0 && len(expected) > 0 {
		if at = slices.IndexFunc(lines, func(l string) bool { return strings.HasPrefix(l, "Figures: ") }); at >= 0 {
			lines = slices.Insert(slices.Clone(lines), at+1, "")
			at += 2
		}
	}
	if at < 0 {
		return lines
	}
	kept := slices.DeleteFunc(slices.Clone(lines), isNote)
	return slices.Insert(kept, min(at, len(kept)), expected...)
}

// checkTables finds the tables of the page and checks each by the kind that its header row tells.
func (r *reviewer) checkTables() {
	heading := ""
	for n := 0; n < len(r.lines); n++ {
		if rest, ok := strings.CutPrefix(r.lines[n], "#"); ok {
			heading = strings.TrimSpace(strings.TrimLeft(rest, "#"))
			continue
		}
		if !strings.HasPrefix(r.lines[n], "|") {
			continue
		}
		head := n
		var rows []row
		for n += 2; n < len(r.lines) && strings.HasPrefix(r.lines[n], "|"); n++ {
			rows = append(rows, row{n + 1, cells(r.lines[n])})
		}
		width := len(cells(r.lines[head]))
		for _, x := range rows {
			if len(x.cells) != width {
				r.reportf(x.line, "%d cells where the head has %d", len(x.cells), width)
				return
			}
		}
		switch strings.Join(cells(r.lines[head]), " | ") {
		case headTarget:
			r.checkTargets(rows)
		case headAssumed:
			r.checkAssumptions(rows)
		case headSlopes:
			r.slopesEnd = n
			r.checkSlopes(rows)
		case headMissing:
			r.missingEnd, r.missingRows = n, rows
		case headRows:
			if role, ok := Roles[heading]; ok {
				r.checkRoleRows(role, rows)
			} else {
				r.reportf(head+1, "a table of rows under %q, which is no role", heading)
			}
		default: // otherwise a table with a misspelt header would escape the check
			r.reportf(head+1, "a table with a head that is not known")
		}
	}
}

func cells(line string) (list []string) {
	for _, c := range strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|") {
		list = append(list, strings.TrimSpace(c))
	}
	return list
}

// writeRow writes a row back to the corrected page.
func (r *reviewer) writeRow(x row) { r.lines[x.line-1] = "| " + strings.Join(x.cells, " | ") + " |" }

// expectCell reports a cell that differs from the wanted text, and corrects it.
func (r *reviewer) expectCell(x row, k int, what, want string) {
	if x.cells[k] != want {
		r.reportf(x.line, "%s is %q, and %q follows", what, x.cells[k], want)
		x.cells[k] = want
	}
}

func (r *reviewer) checkTargets(rows []row) {
	for _, x := range rows {
		name := strings.Trim(x.cells[0], "`")
		v, _, err := parseFigure(x.cells[1])
		if err != nil {
			r.reportf(x.line, "%s: %v", name, err)
			continue
		}
		if want, ok := Target[name]; !ok || !approxEqual(v, want) {
			r.reportf(x.line, "%s is %v, which is not the target's %v", name, v, want)
		}
		r.defineName(x.line, name, v)
	}
	for _, name := range slices.Sorted(maps.Keys(Target)) {
		if _, ok := r.names[name]; !ok {
			r.reportf(0, "the target has no %s", name)
		}
	}
}

func (r *reviewer) defineName(line int, name string, v float64) {
	if _, twice := r.names[name]; twice {
		r.reportf(line, "%s is named twice", name)
	}
	if !identifier.MatchString(name) {
		r.reportf(line, "%q is no name that a formula could use", name)
	}
	r.names[name] = v
}

func (r *reviewer) checkAssumptions(rows []row) {
	for _, x := range rows {
		name := strings.Trim(x.cells[0], "`")
		v, u, err := parseFigure(x.cells[1])
		if f := backticked.FindStringSubmatch(x.cells[2]); f != nil {
			var n evaluation
			if n, err = r.evaluate(f[1]); err == nil {
				v = n.value
				r.recordSlopes(n)
				r.expectCell(x, 1, name, u.format(v))
				r.writeRow(x)
			}
		}
		if err != nil {
			r.reportf(x.line, "%s: %v", name, err)
			continue
		}
		if x.cells[3] == "" {
			r.reportf(x.line, "%s has no reason", name)
		}
		r.defineName(x.line, name, v)
	}
}

// recordSlopes adds the slopes that a formula used to those that the table of slopes has to list.
func (r *reviewer) recordSlopes(n evaluation) { maps.Copy(r.usedSlopes, n.slopes) }

func (r *reviewer) checkSlopes(rows []row) {
	for _, x := range rows {
		key := slopeKey{x.cells[0], x.cells[1], x.cells[2]}
		s, err := r.slope(key, x.cells[7])
		if err != nil {
			s, err = r.slope(key, "")
		}
		if err != nil {
			r.reportf(x.line, "%v", err)
			r.lines[x.line-1] = droppedLine
			continue
		}
		if key := slopeIDOf(s); r.listedSlopes[key] {
			r.reportf(x.line, "the slope %s is listed twice", key)
			r.lines[x.line-1] = droppedLine
			continue
		} else {
			r.listedSlopes[key] = true
		}
		for k, want := range slopeCells(s) {
			r.expectCell(x, 3+k, strings.Split(headSlopes, " | ")[3+k], want)
		}
		if file := r.files[slopeIDOf(s)]; !strings.Contains(x.cells[8], file) {
			r.reportf(x.line, "the source %q does not name the slope's file %s", x.cells[8], file)
			x.cells[8] = file
		}
		r.writeRow(x)
	}
}

func slopeCells(s scale.Slope) []string {
	var sizes []string
	for _, n := range s.Sizes {
		sizes = append(sizes, formatNumber(n))
	}
	return []string{fmt.Sprintf("%.3g %s", s.PerUnit, s.Unit), fmt.Sprintf("%.2g", s.Error), fmt.Sprintf("%.3g", s.Intercept),
		strings.Join(sizes, "; "), s.HeldConstant}
}

// checkRoleRows checks the rows of one role.
func (r *reviewer) checkRoleRows(role string, rows []row) {
	c := r.coverage[role]
	if c == nil {
		c = &roleCoverage{map[string]bool{}, map[string]bool{}}
		r.coverage[role] = c
	}
	for _, x := range rows {
		for m := range strings.SplitSeq(x.cells[0], ", ") {
			if !slices.Contains(moments, m) {
				r.reportf(x.line, "%q is none of the moments %s", m, strings.Join(moments, ", "))
			}
			c.moments[m] = true
		}
		quantity, _, _ := strings.Cut(x.cells[1], ":")
		if !slices.Contains(quantities, quantity) {
			r.reportf(x.line, "%q is none of the quantities %s", quantity, strings.Join(quantities, ", "))
		}
		c.quantities[quantity] = true
		name := role + ", " + x.cells[0] + ", " + x.cells[1]
		if r.seenRows[name] {
			r.reportf(x.line, "a second row %s", name)
		}
		r.seenRows[name] = true
		r.checkFigure(role, x)
		r.writeRow(x)
	}
}

// checkFigure evaluates the formula of a row and checks the cells that follow from it.
func (r *reviewer) checkFigure(role string, x row) {
	f := backticked.FindStringSubmatch(x.cells[2])
	if f == nil {
		r.reportf(x.line, "a row without a formula in backticks")
		return
	}
	n, err := r.evaluate(f[1])
	if err != nil {
		r.reportf(x.line, "%v", err)
		return
	}
	r.recordSlopes(n)
	if x.cells[7] == "" {
		r.reportf(x.line, "nothing is said of what carries it, not even %q", noCarrier)
	}
	if len(n.missing) > 0 {
		for k, what := range []string{3: "figure", 4: "from", 6: "verdict"} {
			if what != "" {
				r.expectCell(x, k, what, verdictMissing)
			}
		}
		r.verdictCounts[verdictMissing]++
		return
	}
	_, u, err := parseFigure(x.cells[3])
	if err != nil {
		r.reportf(x.line, "a formula without a figure: %v", err)
		return
	}
	r.expectCell(x, 3, "the figure", u.formatWithError(n.value, n.stdError))
	r.expectCell(x, 4, "where it is from", n.origin())
	r.checkVerdict(role, x, u, n.value)
}

// checkVerdict compares the figure of a row with its budget and checks the verdict.
func (r *reviewer) checkVerdict(role string, x row, u unit, value float64) {
	l := shortfall{role: role, moment: x.cells[0], quantity: x.cells[1]}
	want := emptyCell
	if f := backticked.FindStringSubmatch(x.cells[5]); f != nil {
		n, err := r.evaluate(f[1])
		if err != nil {
			r.reportf(x.line, "the budget: %v", err)
			return
		}
		r.recordSlopes(n)
		_, ub, err := parseFigure(strings.TrimSpace(backticked.ReplaceAllString(x.cells[5], "")))
		if err != nil {
			r.reportf(x.line, "the budget: %v", err)
			return
		}
		if ub.kind != u.kind {
			r.reportf(x.line, "the figure is in %s, and its budget in %s", u.kind, ub.kind)
			return
		}
		r.expectCell(x, 5, "the budget", ub.format(n.value)+" `"+f[1]+"`")
		want = verdictHas
		if l.factor = value / n.value; l.factor > 1 {
			want = verdictLacks + " x" + formatNumber(l.factor)
		} else {
			l.factor = 0
		}
	} else if x.cells[5] != emptyCell {
		r.reportf(x.line, "the budget %q has no formula in backticks", x.cells[5])
	}
	if strings.HasPrefix(x.cells[7], noCarrier) && l.factor == 0 {
		want = verdictLacks
	}
	r.expectCell(x, 6, "the verdict", want)
	word, _, _ := strings.Cut(want, " ")
	r.verdictCounts[word]++
	if word == verdictLacks {
		r.shortfalls = append(r.shortfalls, l)
	}
}

// checkCoverage reports roles, moments and quantities without a row, and sorts the shortfalls by their factors, largest first.
func (r *reviewer) checkCoverage() {
	for _, role := range slices.Sorted(maps.Values(Roles)) {
		c := r.coverage[role]
		if c == nil {
			r.reportf(0, "the role %s has no row", role)
			continue
		}
		for _, m := range moments {
			if !c.moments[m] {
				r.reportf(0, "the role %s has no row for the moment %s", role, m)
			}
		}
		for _, q := range quantities {
			if !c.quantities[q] {
				r.reportf(0, "the role %s has no row for its %s", role, q)
			}
		}
	}
	slices.SortStableFunc(r.shortfalls, func(a, b shortfall) int { return cmp.Compare(b.factor, a.factor) })
	r.checkMissingFirst()
}

// checkMissingFirst compares the table of what is missing first with the shortfalls, which are sorted, largest factor first.
func (r *reviewer) checkMissingFirst() {
	if r.missingEnd == 0 {
		if len(r.shortfalls) > 0 {
			r.reportf(0, "there is no table of what is missing first")
		}
		return
	}
	for k := range max(len(r.shortfalls), len(r.missingRows)) {
		switch {
		case k >= len(r.missingRows):
			r.reportf(r.missingEnd, "what is missing first ends before %s", strings.Join(r.shortfalls[k].cells(), ", "))
		case k >= len(r.shortfalls):
			r.reportf(r.missingRows[k].line, "named as missing, but no row lacks it")
		case !slices.Equal(r.shortfalls[k].cells(), r.missingRows[k].cells[:4]):
			r.reportf(r.missingRows[k].line, "here follows %s", strings.Join(r.shortfalls[k].cells(), ", "))
		}
	}
	for _, x := range r.missingRows {
		if x.cells[4] == "" {
			r.reportf(x.line, "nothing is said of what would carry it")
		}
	}
}

func (l shortfall) cells() []string {
	factor := emptyCell
	if l.factor > 0 {
		factor = "x" + formatNumber(l.factor)
	}
	return []string{factor, l.role, l.moment, l.quantity}
}

// rewriteLists adds used slopes to the table of slopes if they are not listed, and rewrites the table of what is missing first.
// It keeps the remedies that were written there by hand.
func (r *reviewer) rewriteLists(out []string) []string {
	if r.missingEnd > 0 {
		remedies := map[string]string{}
		for _, x := range r.missingRows {
			remedies[strings.Join(x.cells[1:4], "|")] = x.cells[4]
		}
		var list []string
		for _, l := range r.shortfalls {
			list = append(list, "| "+strings.Join(append(l.cells(), remedies[strings.Join(l.cells()[1:], "|")]), " | ")+" |")
		}
		out = slices.Replace(out, r.missingEnd-len(r.missingRows), r.missingEnd, list...)
	}
	var unlisted []string
	for _, key := range slices.SortedFunc(maps.Keys(r.usedSlopes), slopeID.compare) {
		if !r.listedSlopes[key] {
			r.reportf(0, "the slope %s is used, and the table of slopes does not list it", key)
			unlisted = append(unlisted, "| "+strings.Join(append([]string{key.role, key.what, key.against},
				append(slopeCells(r.usedSlopes[key]), r.files[key])...), " | ")+" |")
		}
	}
	if r.slopesEnd == 0 {
		if len(unlisted) > 0 {
			r.reportf(0, "there is no table of slopes")
		}
		return out
	}
	at := r.slopesEnd
	if r.missingEnd > 0 && r.missingEnd < at {
		at += len(r.shortfalls) - len(r.missingRows)
	}
	return slices.Insert(out, at, unlisted...)
}

func (r *reviewer) summary() string {
	counts := fmt.Sprintf("%d rows have, %d lack, %d have no slope", r.verdictCounts[verdictHas], r.verdictCounts[verdictLacks], r.verdictCounts[verdictMissing])
	if len(r.shortfalls) == 0 {
		return "nothing lacks; " + counts
	}
	l := r.shortfalls[0]
	return fmt.Sprintf("largest missing factor %s: %s, %s, %s; %s", l.cells()[0], l.role, l.moment, l.quantity, counts)
}
