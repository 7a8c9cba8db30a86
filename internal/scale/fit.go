package scale

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// line fits a straight line by least squares and gives the standard error of its slope; with fewer than three points there
// is none, and the error is infinite.
func fitLine(x, y []float64) (intercept, slope, slopeError float64) {
	if len(x) < 3 {
		return 0, 0, math.Inf(1)
	}
	intercept, slope = stat.LinearRegression(x, y, nil, false)
	mean, squaredResiduals, squaredDeviations := stat.Mean(x, nil), 0.0, 0.0
	for k := range x {
		d := y[k] - intercept - slope*x[k]
		squaredResiduals += d * d
		squaredDeviations += (x[k] - mean) * (x[k] - mean)
	}
	return intercept, slope, math.Sqrt(squaredResiduals / float64(len(x)-2) / squaredDeviations)
}

type slopeKey struct{ role, quantity, against string }

// ledger collects what is measured at sizes.
type measurements struct {
	points       map[slopeKey][][2]float64
	heldConstant map[string]string // by against
	units        map[slopeKey]string
}

func newMeasurements() *measurements {
	return &measurements{map[slopeKey][][2]float64{}, map[string]string{}, map[slopeKey]string{}}
}

var defaultUnits = map[string]string{"memory": "bytes", "processor": "seconds/s", "messages": "1/s", "bytes": "bytes/s"}

func (l *measurements) add(role, quantity, against string, size, value float64) {
	key := slopeKey{role, quantity, against}
	l.points[key] = append(l.points[key], [2]float64{size, value})
}

// notePer is note for a value that is not for a second.
func (l *measurements) addWithUnit(unit, role, quantity, against string, size, value float64) {
	l.units[slopeKey{role, quantity, against}] = unit
	l.add(role, quantity, against, size, value)
}

// slopes fits what was measured at three sizes or more.
func (l *measurements) slopes() (list []Slope) {
	for key, points := range l.points {
		s := Slope{Role: key.role, What: key.quantity, Unit: defaultUnits[key.quantity], Against: key.against, Held: l.heldConstant[key.against]}
		if unit, ok := l.units[key]; ok {
			s.Unit = unit
		}
		for _, p := range points {
			s.Sizes, s.Values = append(s.Sizes, p[0]), append(s.Values, p[1])
		}
		if len(points) < 3 {
			continue
		}
		s.Intercept, s.PerUnit, s.Error = fitLine(s.Sizes, s.Values)
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Slope) int {
		return cmp.Or(cmp.Compare(a.Against, b.Against), cmp.Compare(a.Role, b.Role), cmp.Compare(a.What, b.What))
	})
	return list
}
