package scale

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// line fits a straight line by least squares and gives the standard error of its slope; with fewer than three points there
// is none, and the error is infinite.
func line(x, y []float64) (intercept, slope, failing float64) {
	if len(x) < 3 {
		return 0, 0, math.Inf(1)
	}
	intercept, slope = stat.LinearRegression(x, y, nil, false)
	mean, rest, spread := stat.Mean(x, nil), 0.0, 0.0
	for k := range x {
		d := y[k] - intercept - slope*x[k]
		rest += d * d
		spread += (x[k] - mean) * (x[k] - mean)
	}
	return intercept, slope, math.Sqrt(rest / float64(len(x)-2) / spread)
}

type slopeKey struct{ role, what, against string }

// ledger collects what is measured at sizes.
type ledger struct {
	points map[slopeKey][][2]float64
	held   map[string]string // by against
	units  map[slopeKey]string
}

func newLedger() *ledger {
	return &ledger{map[slopeKey][][2]float64{}, map[string]string{}, map[slopeKey]string{}}
}

var usualUnits = map[string]string{"memory": "bytes", "processor": "seconds/s", "messages": "1/s", "bytes": "bytes/s"}

func (l *ledger) note(role, what, against string, size, value float64) {
	key := slopeKey{role, what, against}
	l.points[key] = append(l.points[key], [2]float64{size, value})
}

// notePer is note for a value that is not for a second.
func (l *ledger) notePer(unit, role, what, against string, size, value float64) {
	l.units[slopeKey{role, what, against}] = unit
	l.note(role, what, against, size, value)
}

// slopes fits what was measured at three sizes or more.
func (l *ledger) slopes() (list []Slope) {
	for key, points := range l.points {
		s := Slope{Role: key.role, What: key.what, Unit: usualUnits[key.what], Against: key.against, Held: l.held[key.against]}
		if unit, ok := l.units[key]; ok {
			s.Unit = unit
		}
		for _, p := range points {
			s.Sizes, s.Values = append(s.Sizes, p[0]), append(s.Values, p[1])
		}
		if len(points) < 3 {
			continue
		}
		s.Intercept, s.PerUnit, s.Error = line(s.Sizes, s.Values)
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Slope) int {
		return cmp.Or(cmp.Compare(a.Against, b.Against), cmp.Compare(a.Role, b.Role), cmp.Compare(a.What, b.What))
	})
	return list
}
