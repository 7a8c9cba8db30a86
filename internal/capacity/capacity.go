// Package capacity checks docs/CAPACITY.md: a page of Markdown tables whose figures follow from formulas over slopes that a
// run measured (scale.Figures), named assumptions and the target. It is pure: a page and figures in, findings and the page
// as it ought to be out.
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

// Roles of the control side, by the headings of their sections. Guards against a page without one of them.
var Roles = map[string]string{
	"Limiter": "limiter", "Quota counter": "counter", "Discovery and its agents": "discovery",
	"Distribution of configuration": "distribution", "Operators' tools": "tools",
}

// Each role has a row for each of these, be it one that says what is missing.
var (
	moments    = []string{"ordinary", "peak", "change", "rack", "zone", "restart", "regions", "day"}
	quantities = []string{"state", "messages", "bytes", "processor", "memory"}
)

// Target is what the page plans for. Guards against a page that reaches its budgets by another target.
var Target = map[string]float64{
	"limiters": 5_700, "servers": 57_000, "services": 1_000, "requests": 360_000, "routes": 110_000, "tenants": 510_000,
	"added_p99": 0.0029, "regions": 2, "zones": 5, "changes_a_day": 33_000, "in_force": 3,
	"control_processor": 0.03, "control_memory": 32e6, "control_bytes": 23e3, "control_machines": 13,
	"failed_a_day": 68, "restarted_a_day": 4_500,
}

// Finding is what is wrong with a page.
type Finding struct {
	Line int // of the page, from 1; 0: the page as a whole
	Text string
}

func (f Finding) String() string { return fmt.Sprintf("line %d: %s", f.Line, f.Text) }

// Review is what a page came to.
type Review struct {
	Findings []Finding
	Page     string             // with figures, verdicts and tables as they follow
	Main     string             // the largest missing factor, and the counts of rows
	Names    map[string]float64 // of the target and the assumptions
}

// The tables of a page, by their heads.
const (
	headTarget  = "name | value | what"
	headAssumed = "name | value | formula | why"
	headSlopes  = "role | what | against | per unit | error | intercept | sizes | held | source"
	headRows    = "moment | what | formula | figure | from | budget | verdict | carried by"
	headMissing = "factor | role | moment | what | what would carry it"
)

// Words of the verdicts and other cells.
const (
	has     = "has"
	lacks   = "lacks"
	missing = "missing"
	nothing = "none" // at the start of what carries a row
	dash    = "—"
)

const dropped = "\x00" // stands for a line that is not written again

var sources = regexp.MustCompile("(?m)^Figures: (.*)$")

// Sources are the files that a page names on its line "Figures:", each in backticks.
func Sources(page string) (files []string) {
	for _, line := range sources.FindAllStringSubmatch(page, -1) {
		for _, f := range tick.FindAllStringSubmatch(line[1], -1) {
			files = append(files, f[1])
		}
	}
	return files
}

// reviewer goes through a page once.
type reviewer struct {
	*figures
	findings []Finding
	lines    []string
	names    values
	roles    map[string]*coverage
	used     map[usedSlope]scale.Slope
	listed   map[usedSlope]bool
	lacking  []lack
	seen     map[string]bool // rows
	tally    map[string]int
	slopesAt int // the line after the last of the slopes' table; 0: there is none
	mostAt   int // that of the table of what is missing first
	mostRows []row
}

type coverage struct{ moments, quantities map[string]bool }

type lack struct {
	factor                 float64 // 0: nothing carries it
	role, moment, quantity string
}

// row is a line of a table.
type row struct {
	line  int // from 1
	cells []string
}

var (
	tick       = regexp.MustCompile("`([^`]*)`")
	identifier = regexp.MustCompile("^[a-z][a-z0-9_]*$")
)

// File is a file of figures.
type File struct {
	Name string
	scale.Figures
}

// Check reviews a page. The figures of several files are merged.
func Check(page string, from ...File) Review {
	r := &reviewer{figures: merge(from), lines: strings.Split(page, "\n"), names: values{}, roles: map[string]*coverage{},
		used: map[usedSlope]scale.Slope{}, listed: map[usedSlope]bool{}, seen: map[string]bool{}, tally: map[string]int{}}
	r.findings = append(r.findings, r.figures.findings...)
	r.told(from)
	r.tables()
	r.whole()
	out := slices.Clone(r.lines)
	out = rewriteNotes(r.rewriteLists(out), notes(from))
	out = slices.DeleteFunc(out, func(l string) bool { return l == dropped })
	return Review{Findings: r.findings, Page: strings.Join(out, "\n"), Main: r.main(), Names: r.names}
}

func (r *reviewer) find(line int, format string, args ...any) {
	r.findings = append(r.findings, Finding{line, fmt.Sprintf(format, args...)})
}

// The lines in which a page says what was not whole in its runs.
const (
	notePartial = "- Partial: "
	noteQuick   = "- Quick: "
	noteBar     = "- Bar broken: "
)

// notes are the lines that a page owes to its runs.
func notes(from []File) (list []string) {
	for _, f := range from {
		if f.Partial != "" {
			list = append(list, notePartial+oneLine(f.Partial))
		}
		if f.Quick {
			list = append(list, noteQuick+"a short run is among the figures")
		}
		for _, b := range f.Bars {
			if !b.Holds {
				list = append(list, noteBar+oneLine(b.Name+" (was "+b.Was+")"))
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

// told compares what a page says of runs that were not whole.
func (r *reviewer) told(from []File) {
	owed := notes(from)
	for _, n := range owed {
		if !slices.Contains(r.lines, n) {
			r.find(0, "a run was not whole, and no line says %q", n)
		}
	}
	for n, line := range r.lines {
		if isNote(line) && !slices.Contains(owed, line) {
			r.find(n+1, "no run of the figures says so")
		}
	}
}

// rewriteNotes puts the lines that are owed where the first of them stands, or under the line that names the figures.
func rewriteNotes(lines, owed []string) []string {
	at := slices.IndexFunc(lines, isNote)
	if at < 0 && len(owed) > 0 {
		if at = slices.IndexFunc(lines, func(l string) bool { return strings.HasPrefix(l, "Figures: ") }); at >= 0 {
			lines = slices.Insert(slices.Clone(lines), at+1, "")
			at += 2
		}
	}
	if at < 0 {
		return lines
	}
	kept := slices.DeleteFunc(slices.Clone(lines), isNote)
	return slices.Insert(kept, min(at, len(kept)), owed...)
}

// tables reads each table by its head.
func (r *reviewer) tables() {
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
				r.find(x.line, "%d cells where the head has %d", len(x.cells), width)
				return
			}
		}
		switch strings.Join(cells(r.lines[head]), " | ") {
		case headTarget:
			r.targets(rows)
		case headAssumed:
			r.assumptions(rows)
		case headSlopes:
			r.slopesAt = n
			r.slopeRows(rows)
		case headMissing:
			r.mostAt, r.mostRows = n, rows
		case headRows:
			if role, ok := Roles[heading]; ok {
				r.rows(role, rows)
			} else {
				r.find(head+1, "a table of rows under %q, which is no role", heading)
			}
		default: // a table with a misspelt head would escape the check
			r.find(head+1, "a table with a head that is not known")
		}
	}
}

func cells(line string) (list []string) {
	for _, c := range strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|") {
		list = append(list, strings.TrimSpace(c))
	}
	return list
}

// put writes a row back.
func (r *reviewer) put(x row) { r.lines[x.line-1] = "| " + strings.Join(x.cells, " | ") + " |" }

// want compares a cell to what follows and puts that in its place.
func (r *reviewer) want(x row, k int, what, follows string) {
	if x.cells[k] != follows {
		r.find(x.line, "%s is %q, and %q follows", what, x.cells[k], follows)
		x.cells[k] = follows
	}
}

func (r *reviewer) targets(rows []row) {
	for _, x := range rows {
		name := strings.Trim(x.cells[0], "`")
		v, _, err := parse(x.cells[1])
		if err != nil {
			r.find(x.line, "%s: %v", name, err)
			continue
		}
		if want, ok := Target[name]; !ok || !near(v, want) {
			r.find(x.line, "%s is %v, which is not the target's %v", name, v, want)
		}
		r.name(x.line, name, v)
	}
	for _, name := range slices.Sorted(maps.Keys(Target)) {
		if _, ok := r.names[name]; !ok {
			r.find(0, "the target has no %s", name)
		}
	}
}

func (r *reviewer) name(line int, name string, v float64) {
	if _, twice := r.names[name]; twice {
		r.find(line, "%s is named twice", name)
	}
	if !identifier.MatchString(name) {
		r.find(line, "%q is no name that a formula could use", name)
	}
	r.names[name] = v
}

func (r *reviewer) assumptions(rows []row) {
	for _, x := range rows {
		name := strings.Trim(x.cells[0], "`")
		v, u, err := parse(x.cells[1])
		if f := tick.FindStringSubmatch(x.cells[2]); f != nil {
			var n noted
			if n, err = r.evaluate(f[1]); err == nil {
				v = n.value
				r.note(n)
				r.want(x, 1, name, u.print(v))
				r.put(x)
			}
		}
		if err != nil {
			r.find(x.line, "%s: %v", name, err)
			continue
		}
		if x.cells[3] == "" {
			r.find(x.line, "%s has no reason", name)
		}
		r.name(x.line, name, v)
	}
}

// note remembers the slopes that were used.
func (r *reviewer) note(n noted) { maps.Copy(r.used, n.slopes) }

func (r *reviewer) slopeRows(rows []row) {
	for _, x := range rows {
		key := slopeKey{x.cells[0], x.cells[1], x.cells[2]}
		s, err := r.slope(key, x.cells[7])
		if err != nil {
			s, err = r.slope(key, "")
		}
		if err != nil {
			r.find(x.line, "%v", err)
			r.lines[x.line-1] = dropped
			continue
		}
		if key := keyOf(s); r.listed[key] {
			r.find(x.line, "the slope %s is listed twice", key)
			r.lines[x.line-1] = dropped
			continue
		} else {
			r.listed[key] = true
		}
		for k, follows := range slopeCells(s) {
			r.want(x, 3+k, strings.Split(headSlopes, " | ")[3+k], follows)
		}
		if file := r.files[keyOf(s)]; !strings.Contains(x.cells[8], file) {
			r.find(x.line, "the source %q does not name the slope's file %s", x.cells[8], file)
			x.cells[8] = file
		}
		r.put(x)
	}
}

func slopeCells(s scale.Slope) []string {
	var sizes []string
	for _, n := range s.Sizes {
		sizes = append(sizes, number(n))
	}
	return []string{fmt.Sprintf("%.3g %s", s.PerUnit, s.Unit), fmt.Sprintf("%.2g", s.Error), fmt.Sprintf("%.3g", s.Intercept),
		strings.Join(sizes, "; "), s.Held}
}

// rows are those of one role.
func (r *reviewer) rows(role string, rows []row) {
	c := r.roles[role]
	if c == nil {
		c = &coverage{map[string]bool{}, map[string]bool{}}
		r.roles[role] = c
	}
	for _, x := range rows {
		for m := range strings.SplitSeq(x.cells[0], ", ") {
			if !slices.Contains(moments, m) {
				r.find(x.line, "%q is none of the moments %s", m, strings.Join(moments, ", "))
			}
			c.moments[m] = true
		}
		quantity, _, _ := strings.Cut(x.cells[1], ":")
		if !slices.Contains(quantities, quantity) {
			r.find(x.line, "%q is none of the quantities %s", quantity, strings.Join(quantities, ", "))
		}
		c.quantities[quantity] = true
		name := role + ", " + x.cells[0] + ", " + x.cells[1]
		if r.seen[name] {
			r.find(x.line, "a second row %s", name)
		}
		r.seen[name] = true
		r.figure(role, x)
		r.put(x)
	}
}

// figure works a row out.
func (r *reviewer) figure(role string, x row) {
	f := tick.FindStringSubmatch(x.cells[2])
	if f == nil {
		r.find(x.line, "a row without a formula in backticks")
		return
	}
	n, err := r.evaluate(f[1])
	if err != nil {
		r.find(x.line, "%v", err)
		return
	}
	r.note(n)
	if x.cells[7] == "" {
		r.find(x.line, "nothing is said of what carries it, not even %q", nothing)
	}
	if len(n.missing) > 0 {
		for k, what := range []string{3: "figure", 4: "from", 6: "verdict"} {
			if what != "" {
				r.want(x, k, what, missing)
			}
		}
		r.tally[missing]++
		return
	}
	_, u, err := parse(x.cells[3])
	if err != nil {
		r.find(x.line, "a formula without a figure: %v", err)
		return
	}
	r.want(x, 3, "the figure", u.printWith(n.value, n.spread))
	r.want(x, 4, "where it is from", n.from())
	r.verdict(role, x, u, n.value)
}

// verdict compares a row to its budget.
func (r *reviewer) verdict(role string, x row, u unit, value float64) {
	l := lack{role: role, moment: x.cells[0], quantity: x.cells[1]}
	follows := dash
	if f := tick.FindStringSubmatch(x.cells[5]); f != nil {
		n, err := r.evaluate(f[1])
		if err != nil {
			r.find(x.line, "the budget: %v", err)
			return
		}
		r.note(n)
		_, ub, err := parse(strings.TrimSpace(tick.ReplaceAllString(x.cells[5], "")))
		if err != nil {
			r.find(x.line, "the budget: %v", err)
			return
		}
		if ub.kind != u.kind {
			r.find(x.line, "the figure is in %s, and its budget in %s", u.kind, ub.kind)
			return
		}
		r.want(x, 5, "the budget", ub.print(n.value)+" `"+f[1]+"`")
		follows = has
		if l.factor = value / n.value; l.factor > 1 {
			follows = lacks + " x" + number(l.factor)
		} else {
			l.factor = 0
		}
	} else if x.cells[5] != dash {
		r.find(x.line, "the budget %q has no formula in backticks", x.cells[5])
	}
	if strings.HasPrefix(x.cells[7], nothing) && l.factor == 0 {
		follows = lacks
	}
	r.want(x, 6, "the verdict", follows)
	word, _, _ := strings.Cut(follows, " ")
	r.tally[word]++
	if word == lacks {
		r.lacking = append(r.lacking, l)
	}
}

// whole looks at what must not be missing on the page.
func (r *reviewer) whole() {
	for _, role := range slices.Sorted(maps.Values(Roles)) {
		c := r.roles[role]
		if c == nil {
			r.find(0, "the role %s has no row", role)
			continue
		}
		for _, m := range moments {
			if !c.moments[m] {
				r.find(0, "the role %s has no row for the moment %s", role, m)
			}
		}
		for _, q := range quantities {
			if !c.quantities[q] {
				r.find(0, "the role %s has no row for its %s", role, q)
			}
		}
	}
	slices.SortStableFunc(r.lacking, func(a, b lack) int { return cmp.Compare(b.factor, a.factor) })
	r.missingFirst()
}

// missingFirst compares the list of what lacks, worst first.
func (r *reviewer) missingFirst() {
	if r.mostAt == 0 {
		if len(r.lacking) > 0 {
			r.find(0, "there is no table of what is missing first")
		}
		return
	}
	for k := range max(len(r.lacking), len(r.mostRows)) {
		switch {
		case k >= len(r.mostRows):
			r.find(r.mostAt, "what is missing first ends before %s", strings.Join(r.lacking[k].cells(), ", "))
		case k >= len(r.lacking):
			r.find(r.mostRows[k].line, "named as missing, but no row lacks it")
		case !slices.Equal(r.lacking[k].cells(), r.mostRows[k].cells[:4]):
			r.find(r.mostRows[k].line, "here follows %s", strings.Join(r.lacking[k].cells(), ", "))
		}
	}
	for _, x := range r.mostRows {
		if x.cells[4] == "" {
			r.find(x.line, "nothing is said of what would carry it")
		}
	}
}

func (l lack) cells() []string {
	factor := dash
	if l.factor > 0 {
		factor = "x" + number(l.factor)
	}
	return []string{factor, l.role, l.moment, l.quantity}
}

// rewriteLists puts in the slopes that are used and not listed, and the list of what lacks; what was written there by hand stays.
func (r *reviewer) rewriteLists(out []string) []string {
	if r.mostAt > 0 {
		said := map[string]string{}
		for _, x := range r.mostRows {
			said[strings.Join(x.cells[1:4], "|")] = x.cells[4]
		}
		var list []string
		for _, l := range r.lacking {
			list = append(list, "| "+strings.Join(append(l.cells(), said[strings.Join(l.cells()[1:], "|")]), " | ")+" |")
		}
		out = slices.Replace(out, r.mostAt-len(r.mostRows), r.mostAt, list...)
	}
	var unlisted []string
	for _, key := range slices.SortedFunc(maps.Keys(r.used), usedSlope.compare) {
		if !r.listed[key] {
			r.find(0, "the slope %s is used, and the table of slopes does not list it", key)
			unlisted = append(unlisted, "| "+strings.Join(append([]string{key.role, key.what, key.against},
				append(slopeCells(r.used[key]), r.files[key])...), " | ")+" |")
		}
	}
	if r.slopesAt == 0 {
		if len(unlisted) > 0 {
			r.find(0, "there is no table of slopes")
		}
		return out
	}
	at := r.slopesAt
	if r.mostAt > 0 && r.mostAt < at {
		at += len(r.lacking) - len(r.mostRows)
	}
	return slices.Insert(out, at, unlisted...)
}

func (r *reviewer) main() string {
	counts := fmt.Sprintf("%d rows have, %d lack, %d have no slope", r.tally[has], r.tally[lacks], r.tally[missing])
	if len(r.lacking) == 0 {
		return "nothing lacks; " + counts
	}
	l := r.lacking[0]
	return fmt.Sprintf("largest missing factor %s: %s, %s, %s; %s", l.cells()[0], l.role, l.moment, l.quantity, counts)
}
