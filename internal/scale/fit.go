package scale

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// fitLine fits a straight line by least squares and returns the standard error of its slope. Fewer than three points have no
// such error: the line is then zero and the error infinite.
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

// slopeKey identifies a slope: whose quantity was measured, and against which size.
type slopeKey struct{ role, quantity, against string }

// measurements collects the values measured at each size.
type measurements struct {
	points       map[slopeKey][][2]float64 // pairs of size and value
	heldConstant map[string]string         // by slopeKey.against: what did not vary in that sweep, in words
	units        map[slopeKey]string       // where they differ from defaultUnits
}

func newMeasurements() *measurements {
	return &measurements{map[slopeKey][][2]float64{}, map[string]string{}, map[slopeKey]string{}}
}

// defaultUnits are the units of quantities that are measured per second; memory is an amount.
var defaultUnits = map[string]string{"memory": "bytes", "processor": "seconds/s", "messages": "1/s", "bytes": "bytes/s"}

func (m *measurements) add(role, quantity, against string, size, value float64) {
	key := slopeKey{role, quantity, against}
	m.points[key] = append(m.points[key], [2]float64{size, value})
}

// addWithUnit is add for a value in a unit other than the default one, such as seconds per change.
func (m *measurements) addWithUnit(unit, role, quantity, against string, size, value float64) {
	m.units[slopeKey{role, quantity, against}] = unit
	m.add(role, quantity, against, size, value)
}

// slopes fits a line for each quantity that was measured at three sizes or more, in a fixed order.
func (m *measurements) slopes() (list []Slope) {
	for key, points := range m.points {
		s := Slope{Role: key.role, Quantity: key.quantity, Unit: defaultUnits[key.quantity], Against: key.against, HeldConstant: m.heldConstant[key.against]}
		if unit, ok := m.units[key]; ok {
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
		return cmp.Or(cmp.Compare(a.Against, b.Against), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Quantity, b.Quantity))
	})
	return list
}
