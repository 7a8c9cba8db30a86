package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// unit is what a printed figure is counted in; one of it is so many of its kind's base.
type unit struct {
	text string
	kind string
	one  float64
}

// units are those that a page may print. MB are 10^6 bytes, as the budgets are read.
var units = []unit{
	{"", "a count", 1}, {"servers", "a count", 1}, {"limiters", "a count", 1}, {"machines", "a count", 1}, {"entries", "a count", 1},
	{"calls", "a count", 1}, {"messages", "a count", 1}, {"names", "a count", 1}, {"groups", "a count", 1}, {"firms", "a count", 1},
	{"%", "a share", 0.01},
	{"% of a core", "cores", 0.01}, {"cores", "cores", 1},
	{"B", "bytes", 1}, {"KB", "bytes", 1e3}, {"MB", "bytes", 1e6}, {"GB", "bytes", 1e9}, {"TB", "bytes", 1e12},
	{"B/s", "bytes a second", 1}, {"KB/s", "bytes a second", 1e3}, {"MB/s", "bytes a second", 1e6}, {"GB/s", "bytes a second", 1e9},
	{"/s", "a rate", 1}, {"/min", "a rate", 1.0 / 60}, {"/day", "a rate", 1.0 / 86400},
	{"µs", "seconds", 1e-6}, {"ms", "seconds", 1e-3}, {"s", "seconds", 1}, {"min", "seconds", 60}, {"h", "seconds", 3600},
}

// parse reads a figure such as "5,700", "2.9 ms" or "12.3 ± 0.4 MB"; a "?" stands for a figure that is yet to be written.
func parse(text string) (v float64, u unit, err error) {
	figure, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	if after, ok := strings.CutPrefix(rest, "± "); ok {
		_, rest, _ = strings.Cut(after, " ")
	}
	if v, err = strconv.ParseFloat(strings.ReplaceAll(figure, ",", ""), 64); err != nil {
		v, err = math.NaN(), fmt.Errorf("%q is no figure", text)
	}
	for _, x := range units {
		if x.text == rest {
			if figure == "?" {
				err = nil
			}
			return v * x.one, x, err
		}
	}
	return v, u, fmt.Errorf("%q is in no unit that is known", text)
}

func (u unit) print(v float64) string { return strings.TrimSpace(number(v/u.one) + " " + u.text) }

// printWith prints a figure with its standard error, where that is not lost behind its third digit.
func (u unit) printWith(v, spread float64) string {
	if spread <= 0 {
		return u.print(v)
	}
	return strings.TrimSpace(number(v/u.one) + " ± " + digits(spread/u.one, 2) + " " + u.text)
}

// number prints three digits, whole numbers below a million with all of theirs.
func number(v float64) string {
	if near(v, math.Round(v)) && math.Abs(v) < 1e6 {
		return grouped(strconv.FormatFloat(v, 'f', 0, 64))
	}
	return digits(v, 3)
}

func digits(v float64, n int) string {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(math.Abs(v), 'e', n-1, 64), 64) // 99.96 has its digits of 100
	places := n - 1 - int(math.Floor(math.Log10(rounded)))
	if places < 0 {
		tens := math.Pow(10, float64(-places))
		return grouped(strconv.FormatFloat(math.Round(v/tens)*tens, 'f', 0, 64))
	}
	return strconv.FormatFloat(v, 'f', places, 64)
}

func grouped(s string) string {
	sign := ""
	if strings.HasPrefix(s, "-") {
		sign, s = "-", s[1:]
	}
	for k := len(s) - 3; k > 0; k -= 3 {
		s = s[:k] + "," + s[k:]
	}
	return sign + s
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Max(math.Abs(a), math.Abs(b)) }
