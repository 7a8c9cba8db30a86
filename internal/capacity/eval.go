package capacity

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"bramblefall/internal/scale"
)

const (
	// maxFormulaSteps bounds the Starlark steps of one formula.
	maxFormulaSteps = 10_000
	// negligibleErrorShare is the share of a figure below which its standard error is taken as zero.
	negligibleErrorShare = 1e-9
	// minExtrapolationFactor is the ratio to the largest measured size from which a figure counts as extrapolated.
	minExtrapolationFactor = 1.005
)

// unreachedNote occurs in the note of a moment if some limiters had not heard of it before the run's wait timed out.
const unreachedNote = "had not heard"

// slopeKey identifies the slopes that a formula names by role, quantity and variable. Several may share it.
type slopeKey struct{ role, what, against string }

func (k slopeKey) String() string { return k.role + " " + k.what + " against " + k.against }

func (k slopeKey) compare(o slopeKey) int {
	return cmp.Or(cmp.Compare(k.role, o.role), cmp.Compare(k.what, o.what), cmp.Compare(k.against, o.against))
}

// slopeID identifies one slope: among those with the same key, by the sizes that were held constant.
type slopeID struct {
	slopeKey
	held string
}

func (k slopeID) String() string { return k.slopeKey.String() + ", " + k.held }

func slopeIDOf(s scale.Slope) slopeID {
	return slopeID{slopeKey{s.Role, s.Quantity, s.Against}, s.HeldConstant}
}

func (k slopeID) compare(o slopeID) int {
	return cmp.Or(k.slopeKey.compare(o.slopeKey), cmp.Compare(k.held, o.held))
}

// figures are the merged figures of all files.
type figures struct {
	slopes   map[slopeKey][]scale.Slope
	files    map[slopeID]string // base names of the files
	quota    []scale.QuotaError
	moments  []scale.Moment
	added    []scale.AddedTime
	findings []Finding
}

func merge(from []File) *figures {
	f := &figures{slopes: map[slopeKey][]scale.Slope{}, files: map[slopeID]string{}}
	for _, x := range from {
		var fileRuns []scale.QuotaError // the runs of this file
		if x.Version != 1 {
			f.findings = append(f.findings, Finding{0, fmt.Sprintf("figures of version %d, where 1 is known", x.Version)})
		}
		for _, s := range x.Slopes {
			key := slopeKey{s.Role, s.Quantity, s.Against}
			if len(s.Sizes) < 2 || len(s.Sizes) != len(s.Values) {
				f.findings = append(f.findings, Finding{0, fmt.Sprintf("the slope %s has %d sizes and %d values", key, len(s.Sizes), len(s.Values))})
				continue
			}
			if intercept, slope := leastSquares(s.Sizes, s.Values); math.Abs(slope-s.PerUnit) > 1e-6*math.Abs(slope)+1e-15 ||
				math.Abs(intercept-s.Intercept) > 1e-6*(math.Abs(intercept)+math.Abs(slope)*slices.Max(s.Sizes)) {
				f.findings = append(f.findings, Finding{0, fmt.Sprintf("the slope %s is told as %.4g + %.4g each, and its sizes and values give %.4g + %.4g",
					key, s.Intercept, s.PerUnit, intercept, slope)})
			}
			f.slopes[key] = append(f.slopes[key], s)
			f.files[slopeIDOf(s)] = path.Base(filepath.ToSlash(x.Name))
		}
		for _, q := range x.Quota { // if several files have the same run, the last file wins
			sameRun := func(o scale.QuotaError) bool {
				return o.Plan == q.Plan && o.Load == q.Load && o.Limiters == q.Limiters && o.Counters == q.Counters && o.CounterSpeed == q.CounterSpeed && o.Unbudgeted == q.Unbudgeted
			}
			if at := slices.IndexFunc(f.quota, sameRun); at >= 0 && !slices.ContainsFunc(fileRuns, sameRun) {
				f.quota[at] = q
			} else {
				f.quota = append(f.quota, q)
			}
			fileRuns = append(fileRuns, q)
		}
		f.moments = append(f.moments, x.Moments...)
		f.added = append(f.added, x.Added...)
	}
	return f
}

// leastSquares fits a straight line to the points by least squares.
func leastSquares(x, y []float64) (intercept, slope float64) {
	var mx, my, xy, xx float64
	for k := range x {
		mx, my = mx+x[k]/float64(len(x)), my+y[k]/float64(len(x))
	}
	for k := range x {
		xy, xx = xy+(x[k]-mx)*(y[k]-my), xx+(x[k]-mx)*(x[k]-mx)
	}
	if xx == 0 {
		return my, 0
	}
	return my - xy/xx*mx, xy / xx
}

// slope returns the slope with the given key. If there are several, held has to be a part of the description of the sizes that
// one of them held constant.
func (f *figures) slope(key slopeKey, held string) (scale.Slope, error) {
	list := slices.DeleteFunc(slices.Clone(f.slopes[key]), func(s scale.Slope) bool { return !strings.Contains(s.HeldConstant, held) })
	switch len(list) {
	case 0:
		return scale.Slope{}, fmt.Errorf("there is no slope %s", key)
	case 1:
		return list[0], nil
	}
	return scale.Slope{}, fmt.Errorf("there are %d slopes %s: say which by held=", len(list), key)
}

// values are the named values that a formula may use.
type values map[string]float64

// evaluation is the value of a formula and what it was derived from.
type evaluation struct {
	value         float64
	stdError      float64 // standard error that follows from the errors of the slopes
	slopes        map[slopeID]scale.Slope
	sizeRatios    map[string]float64 // by variable: size that the formula takes, divided by the largest measured one
	measured      bool               // a measurement contributes
	fromModel     bool               // a run of the model contributes
	notAllReached bool               // a moment that did not reach all limiters contributes
	missing       []slopeKey         // slopes that the formula names as missing, and that are not measured
}

// origin returns the text of the cell "from": whether the figure is measured, from the model or assumed, and by how much it is
// extrapolated.
func (n evaluation) origin() string {
	var words []string
	if n.measured {
		words = append(words, "measured")
	}
	if n.fromModel {
		words = append(words, "model")
	}
	if n.notAllReached {
		words = append(words, "not all reached")
	}
	if len(words) == 0 {
		words = append(words, "assumed")
	}
	for _, what := range slices.Sorted(maps.Keys(n.sizeRatios)) {
		if factor := n.sizeRatios[what]; factor >= minExtrapolationFactor {
			words = append(words, "extrapolated x"+formatNumber(factor)+" ("+what+")")
		}
	}
	return strings.Join(words, ", ")
}

func (n *evaluation) recordSize(what string, size, largestMeasured float64) {
	n.sizeRatios[what] = max(n.sizeRatios[what], size/largestMeasured)
}

// evaluate evaluates a formula and its standard error: the root of the summed squares of the changes that each slope's own
// error causes.
func (r *reviewer) evaluate(formula string) (evaluation, error) {
	n, err := r.evaluateOnce(formula, slopeID{})
	if err != nil || len(n.missing) > 0 {
		return n, err
	}
	sum := 0.0
	for key := range n.slopes {
		m, err := r.evaluateOnce(formula, key)
		if err != nil {
			return n, err
		}
		sum += (m.value - n.value) * (m.value - n.value)
	}
	if n.stdError = math.Sqrt(sum); n.stdError < negligibleErrorShare*n.value {
		n.stdError = 0 // the slopes are exact counts: what is left is rounding noise
	}
	return n, nil
}

// evaluateOnce evaluates a formula with the slope named by steepened increased by its standard error. The zero slopeID leaves
// all slopes as they are.
func (r *reviewer) evaluateOnce(formula string, steepened slopeID) (evaluation, error) {
	n := evaluation{slopes: map[slopeID]scale.Slope{}, sizeRatios: map[string]float64{}}
	globals := starlark.StringDict{}
	for name, v := range r.names {
		globals[name] = starlark.Float(v)
	}
	builtin := func(name string, f func(args starlark.Tuple, named []starlark.Tuple) (float64, error)) {
		globals[name] = starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
			v, err := f(args, named)
			return starlark.Float(v), err
		})
	}
	lookUpSlope := func(name string, needsSize bool, args starlark.Tuple, named []starlark.Tuple) (s scale.Slope, size float64, err error) {
		var key slopeKey
		var held string
		sizeArg := starlark.Value(starlark.None)
		if err = starlark.UnpackArgs(name, args, named, "role", &key.role, "what", &key.what, "against", &key.against, "size?", &sizeArg, "held?", &held); err != nil {
			return s, 0, err
		}
		if s, err = r.slope(key, held); err != nil {
			return s, 0, err
		}
		if sizeArg == starlark.None {
			var ok bool
			if size, ok = r.names[key.against]; !ok {
				return s, 0, fmt.Errorf("%s(%s): no size is given, and %q is no name of the target or the assumptions", name, key, key.against)
			}
		} else if size, err = toFloat(sizeArg); err != nil {
			return s, 0, err
		}
		if needsSize && sizeArg == starlark.None {
			return s, 0, fmt.Errorf("%s(%s): no size is given", name, key)
		}
		n.slopes[slopeIDOf(s)] = s
		n.measured = true
		n.recordSize(key.against, size, slices.Max(s.Sizes))
		if slopeIDOf(s) == steepened {
			// The line is rotated about the mean of its sizes, where its error is smallest.
			mean := 0.0
			for _, x := range s.Sizes {
				mean += x / float64(len(s.Sizes))
			}
			s.PerUnit, s.Intercept = s.PerUnit+s.Error, s.Intercept-s.Error*mean
		}
		return s, size, nil
	}
	builtin("slope", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		s, _, err := lookUpSlope("slope", false, args, named)
		return s.PerUnit, err
	})
	builtin("rise", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		s, size, err := lookUpSlope("rise", true, args, named)
		return s.PerUnit * size, err
	})
	builtin("at", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		s, size, err := lookUpSlope("at", true, args, named)
		return s.Intercept + s.PerUnit*size, err
	})
	builtin("missing", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		var key slopeKey
		if err := starlark.UnpackArgs("missing", args, named, "role", &key.role, "what", &key.what, "against", &key.against); err != nil {
			return 0, err
		}
		if len(r.slopes[key]) > 0 { // a row that has not been updated since the slope was measured
			return 0, fmt.Errorf("the slope %s is named as missing, and it is there", key)
		}
		n.missing = append(n.missing, key)
		return 0, nil
	})
	builtin("moment", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		return r.moment(&n, args, named)
	})
	builtin("quota", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		return r.quotaError(&n, args, named)
	})
	builtin("added", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		return r.addedTime(&n, args, named)
	})
	thread := &starlark.Thread{Name: "formula"}
	thread.SetMaxExecutionSteps(maxFormulaSteps)
	v, err := starlark.EvalOptions(&syntax.FileOptions{}, thread, "formula", formula, globals)
	if err != nil {
		return n, fmt.Errorf("%s: %w", formula, err)
	}
	if n.value, err = toFloat(v); err != nil {
		return n, fmt.Errorf("%s: %w", formula, err)
	}
	if math.IsNaN(n.value) || math.IsInf(n.value, 0) || n.value < 0 {
		return n, fmt.Errorf("%s: comes to %v", formula, n.value)
	}
	return n, nil
}

func toFloat(v starlark.Value) (float64, error) {
	f, ok := starlark.AsFloat(v)
	if !ok {
		return 0, fmt.Errorf("%s is no number", v)
	}
	return f, nil
}

// moment implements the formula function of that name. It returns a field of the named moment, from the model or from a run on
// sockets, with the most limiters; of several, such as the loss and the return of a zone, the largest value.
func (r *reviewer) moment(n *evaluation, args starlark.Tuple, named []starlark.Tuple) (float64, error) {
	var name, field string
	model := false
	if err := starlark.UnpackArgs("moment", args, named, "name", &name, "field", &field, "model?", &model); err != nil {
		return 0, err
	}
	maxLimiters, largest, best := -1, -1.0, scale.Moment{}
	for _, m := range r.moments {
		if m.Name != name || m.Model != model || m.Limiters < maxLimiters {
			continue
		}
		v, ok := map[string]float64{"p99_s": m.P99Seconds, "last_s": m.LastSeconds, "messages": m.Messages, "bytes": m.Bytes,
			"limiters": float64(m.Limiters), "servers": float64(m.Servers)}[field]
		if !ok {
			if v, ok = m.Values[field]; !ok {
				return 0, fmt.Errorf("the moment %q has no %q", name, field)
			}
		}
		if m.Limiters > maxLimiters || v > largest {
			maxLimiters, largest, best = m.Limiters, v, m
		}
	}
	if maxLimiters < 0 {
		return 0, fmt.Errorf("there is no moment %q (model: %v)", name, model)
	}
	n.fromModel, n.measured, n.notAllReached = n.fromModel || model, n.measured || !model, n.notAllReached || strings.Contains(best.Note, unreachedNote)
	if target, ok := r.names["limiters"]; ok {
		n.recordSize("limiters", target, float64(best.Limiters))
	}
	if target, ok := r.names["servers"]; ok && best.Servers > 0 {
		n.recordSize("servers", target, float64(best.Servers))
	}
	return largest, nil
}

// quotaError implements the formula function quota. It returns a field of the run of the model that the arguments describe. If
// they give no number of limiters, it is the run with the most.
func (r *reviewer) quotaError(n *evaluation, args starlark.Tuple, named []starlark.Tuple) (float64, error) {
	var plan, field, set string
	var limiters int
	counters, free := 1, false
	speed := starlark.Value(starlark.None)
	if err := starlark.UnpackArgs("quota", args, named, "plan", &plan, "field", &field, "limiters?", &limiters, "counters?", &counters,
		"speed?", &speed, "set?", &set, "free?", &free); err != nil {
		return 0, err
	}
	var found []scale.QuotaError
	for _, q := range r.quota {
		if s, err := toFloat(speed); q.Plan != plan || q.Counters != counters || q.Unbudgeted != free || set != "" && q.Load != set || err == nil && !approxEqual(q.CounterSpeed, s) {
			continue
		}
		switch {
		case limiters > 0 && q.Limiters != limiters:
		case limiters == 0 && len(found) > 0 && q.Limiters > found[0].Limiters:
			found = []scale.QuotaError{q}
		case limiters > 0 || len(found) == 0 || q.Limiters == found[0].Limiters:
			found = append(found, q)
		}
	}
	if len(found) != 1 {
		return 0, fmt.Errorf("%d runs of the model with plan %q, %d counters and what else is named, where one is wanted", len(found), plan, counters)
	}
	q := found[0]
	n.fromModel = true
	if target, ok := r.names["limiters"]; ok {
		n.recordSize("limiters", target, float64(q.Limiters))
	}
	v, ok := map[string]float64{"beyond": q.BeyondShare, "refused_with_room": q.RefusedWithRoomShare, "calls_per_request": q.CallsPerRequest,
		"unanswered": q.UnansweredShare, "lost": q.LostCallShare, "calls": q.CallsPerSecond, "per_second": q.RequestsPerSecond, "limiters": float64(q.Limiters)}[field]
	if !ok {
		return 0, fmt.Errorf("a quota error has no %q", field)
	}
	return v, nil
}

// addedTime implements the formula function added. It returns a field of the run with the given rate of requests per limiter,
// by default the highest, among the runs with at most most_limiters limiters on the machine; of several runs, the largest
// value. Times are in seconds.
func (r *reviewer) addedTime(n *evaluation, args starlark.Tuple, named []starlark.Tuple) (float64, error) {
	var field string
	var control bool
	var rate float64
	maxLimiters := math.MaxInt
	rateArg := starlark.Value(starlark.None)
	if err := starlark.UnpackArgs("added", args, named, "field", &field, "control", &control, "per_second?", &rateArg, "most_limiters?", &maxLimiters); err != nil {
		return 0, err
	}
	if v, err := toFloat(rateArg); err == nil {
		rate = v
	} else {
		for _, a := range r.figures.added {
			if a.WithChanges == control && a.Limiters <= maxLimiters {
				rate = max(rate, a.RequestsPerSecond)
			}
		}
	}
	largest := -1.0
	var best scale.AddedTime
	for _, a := range r.figures.added {
		if a.WithChanges != control || a.Limiters > maxLimiters || !approxEqual(a.RequestsPerSecond, rate) {
			continue
		}
		v, ok := map[string]float64{"p50_ms": a.P50MS / 1000, "p99_ms": a.P99MS / 1000, "straight_p99_ms": a.DirectP99MS / 1000, "per_second": a.RequestsPerSecond,
			"refused": float64(a.Refused), "lost": float64(a.Lost), "served": float64(a.TimedRequests)}[field]
		if !ok {
			return 0, fmt.Errorf("an added time has no %q", field)
		}
		if v > largest {
			largest, best = v, a
		}
	}
	if largest < 0 {
		return 0, fmt.Errorf("there is no added time (control: %v)", control)
	}
	n.measured = true
	if requests, limiters := r.names["requests"], r.names["limiters"]; limiters > 0 && best.RequestsPerSecond > 0 {
		n.recordSize("requests", requests/limiters, best.RequestsPerSecond)
	}
	if best.Limiters > 0 {
		n.recordSize("limiters", r.names["limiters"], float64(best.Limiters))
	}
	if best.Servers > 0 {
		n.recordSize("servers", r.names["servers"], float64(best.Servers))
	}
	return largest, nil
}
