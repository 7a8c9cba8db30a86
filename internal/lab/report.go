package lab

import (
	"encoding/csv"
	"fmt"
	"html"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table is a table of results. The first column of each row names the row.
type Table struct {
	Name    string // also the base name of its files
	Columns []string
	Rows    [][]string
}

// Add appends a row. Floating-point numbers are written with at most four significant digits.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		switch cell := cell.(type) {
		case float64:
			row[i] = strconv.FormatFloat(cell, 'g', 4, 64)
		default:
			row[i] = fmt.Sprint(cell)
		}
	}
	t.Rows = append(t.Rows, row)
}

// Markdown returns the table as a Markdown table.
func (t *Table) Markdown() string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.Columns)
	line(strings.Split(strings.Repeat("---,", len(t.Columns)-1)+"---", ","))
	for _, r := range t.Rows {
		line(r)
	}
	return b.String()
}

// WriteFiles writes the table into dir as CSV and Markdown.
func (t *Table) WriteFiles(dir string) error {
	f, err := os.Create(filepath.Join(dir, t.Name+".csv"))
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	_ = w.Write(t.Columns)
	if err := w.WriteAll(t.Rows); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, t.Name+".md"), []byte(t.Markdown()), 0o644)
}

// Chart is a line chart. Lines maps the names of the legend to the points.
type Chart struct {
	Name, Title, XLabel, YLabel string
	Lines                       map[string]plotter.XYs
	LogX                        bool
}

// WriteSVG writes the chart into dir as SVG.
func (c Chart) WriteSVG(dir string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.XLabel, c.YLabel
	p.Legend.Top = true
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	}
	var args []any
	for _, name := range slices.Sorted(maps.Keys(c.Lines)) {
		args = append(args, name, c.Lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, c.Name+".svg"))
}

// BarChart is a bar chart with one bar for each label.
type BarChart struct {
	Name, Title, YLabel string
	Labels              []string
	Values              []float64
}

// WriteSVG writes the chart into dir as SVG.
func (b BarChart) WriteSVG(dir string) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = b.Title, b.YLabel
	bars, err := plotter.NewBarChart(plotter.Values(b.Values), vg.Points(24))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(0)
	p.Add(bars)
	p.NominalX(b.Labels...)
	if len(b.Labels) > 5 { // upright labels would overlap
		p.X.Tick.Label.Rotation = 0.5
		p.X.Tick.Label.XAlign = -1
	}
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, b.Name+".svg"))
}

// WriteHTMLPage writes index.html into dir, a page with all tables (*.csv) and charts (*.svg) of that directory. It returns the
// page's path.
func WriteHTMLPage(dir string) (string, error) {
	var b strings.Builder
	b.WriteString("<!doctype html><meta charset=utf-8><title>bramblelab</title><style>body{font:14px sans-serif;margin:2em}td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}table{border-collapse:collapse}</style>\n")
	charts, err := filepath.Glob(filepath.Join(dir, "*.svg"))
	if err != nil {
		return "", err
	}
	tables, err := filepath.Glob(filepath.Join(dir, "*.csv"))
	if err != nil {
		return "", err
	}
	if len(charts)+len(tables) == 0 {
		return "", fmt.Errorf("%s: found neither a table (*.csv) nor a chart (*.svg)", dir)
	}
	for _, path := range tables {
		f, err := os.Open(path)
		if err != nil {
			return "", err
		}
		rows, err := csv.NewReader(f).ReadAll()
		_ = f.Close()
		if err != nil {
			return "", fmt.Errorf("%s: %w", path, err)
		}
		fmt.Fprintf(&b, "<h2>%s</h2><table>\n", html.EscapeString(strings.TrimSuffix(filepath.Base(path), ".csv")))
		for i, row := range rows {
			cell := "td"
			if i == 0 {
				cell = "th"
			}
			b.WriteString("<tr>")
			for _, text := range row {
				fmt.Fprintf(&b, "<%s>%s</%s>", cell, html.EscapeString(text), cell)
			}
			b.WriteString("</tr>\n")
		}
		b.WriteString("</table>\n")
	}
	for _, path := range charts {
		svg, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		_, drawing, _ := strings.Cut(string(svg), "<svg")
		fmt.Fprintf(&b, "<p><svg%s</p>\n", drawing)
	}
	path := filepath.Join(dir, "index.html")
	return path, os.WriteFile(path, []byte(b.String()), 0o644)
}

// DrawColumn writes a bar chart of one column of the CSV table at path, beside that file. The first column gives the
// labels.
func DrawColumn(path, column, title string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return fmt.Errorf("%s: not a CSV table: %w", path, err)
	}
	if len(rows) < 2 {
		return fmt.Errorf("%s: %d rows, want a heading and at least one row", path, len(rows))
	}
	index := slices.Index(rows[0], column)
	if index < 0 {
		return fmt.Errorf("%s: no column %q in %v", path, column, rows[0])
	}
	chart := BarChart{Name: strings.TrimSuffix(filepath.Base(path), ".csv"), Title: title, YLabel: column}
	for _, row := range rows[1:] {
		value, err := strconv.ParseFloat(row[index], 64)
		if err != nil {
			return fmt.Errorf("%s: %q is not a number", path, row[index])
		}
		chart.Labels, chart.Values = append(chart.Labels, row[0]), append(chart.Values, value)
	}
	return chart.WriteSVG(filepath.Dir(path))
}
