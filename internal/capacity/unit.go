package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// unit is a unit of printed figures. Figures are comparable if their units are of the same kind.
type unit struct {
	text string
	kind string
	base float64 // one of the unit, in the base unit of its kind
}

// units are the units that a page may use. A MB is 10^6 bytes, as in the budgets.
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

// parseFigure reads a figure such as "5,700", "2.9 ms" or "12.3 ± 0.4 MB", and returns it in the base of its kind of unit. For
// a "?", which stands for a figure that is yet to be filled in, it returns NaN and the unit.
func parseFigure(text string) (v float64, u unit, err error) {
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
			return v * x.base, x, err
		}
	}
	return v, u, fmt.Errorf("%q is in no unit that is known", text)
}

func (u unit) format(v float64) string {
	return strings.TrimSpace(formatNumber(v/u.base) + " " + u.text)
}

// formatWithError formats a figure with its standard error, or without it if the error is zero. evaluate has already set
// negligible errors to zero.
func (u unit) formatWithError(v, stdError float64) string {
	if stdError <= 0 {
		return u.format(v)
	}
	return strings.TrimSpace(formatNumber(v/u.base) + " ± " + formatDigits(stdError/u.base, 2) + " " + u.text)
}

// formatNumber formats a number with three significant digits, and an integer below a million with all of its digits.
func formatNumber(v float64) string {
	if approxEqual(v, math.Round(v)) && math.Abs(v) < 1e6 {
		return groupThousands(strconv.FormatFloat(v, 'f', 0, 64))
	}
	return formatDigits(v, 3)
}

func formatDigits(v float64, n int) string {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	// Rounding first gives 99.96 the decimal places of 100.
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(math.Abs(v), 'e', n-1, 64), 64)
	places := n - 1 - int(math.Floor(math.Log10(rounded)))
	if places < 0 {
		tens := math.Pow(10, float64(-places))
		return groupThousands(strconv.FormatFloat(math.Round(v/tens)*tens, 'f', 0, 64))
	}
	return strconv.FormatFloat(v, 'f', places, 64)
}

func groupThousands(s string) string {
	sign := ""
	if strings.HasPrefix(s, "-") {
		sign, s = "-", s[1:]
	}
	for k := len(s) - 3; k > 0; k -= 3 {
		s = s[:k] + "," + s[k:]
	}
	return sign + s
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Max(math.Abs(a), math.Abs(b)) }
