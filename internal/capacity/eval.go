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
	mostSteps = 10_000 // of one formula
	exact     = 1e-9   // share of a figure under which there is no error
	beyondAny = 1.005  // times the largest size measured: from there on it is extrapolated
)

// notReached stands in the note of a moment that limiters had not heard of when the wait for them ended.
const notReached = "had not heard"

// slopeKey names a slope.
type slopeKey struct{ role, what, against string }

func (k slopeKey) String() string { return k.role + " " + k.what + " against " + k.against }

func (k slopeKey) compare(o slopeKey) int {
	return cmp.Or(cmp.Compare(k.role, o.role), cmp.Compare(k.what, o.what), cmp.Compare(k.against, o.against))
}

// usedSlope names a slope among those of one key.
type usedSlope struct {
	slopeKey
	held string
}

func (k usedSlope) String() string { return k.slopeKey.String() + ", " + k.held }

func keyOf(s scale.Slope) usedSlope { return usedSlope{slopeKey{s.Role, s.What, s.Against}, s.Held} }

func (k usedSlope) compare(o usedSlope) int {
	return cmp.Or(k.slopeKey.compare(o.slopeKey), cmp.Compare(k.held, o.held))
}

// figures are those of all files, merged.
type figures struct {
	slopes   map[slopeKey][]scale.Slope
	files    map[usedSlope]string // by their last names
	quota    []scale.QuotaError
	moments  []scale.Moment
	added    []scale.AddedTime
	findings []Finding
}

func merge(from []File) *figures {
	f := &figures{slopes: map[slopeKey][]scale.Slope{}, files: map[usedSlope]string{}}
	for _, x := range from {
		var own []scale.QuotaError // of this file
		if x.Version != 1 {
			f.findings = append(f.findings, Finding{0, fmt.Sprintf("figures of version %d, where 1 is known", x.Version)})
		}
		for _, s := range x.Slopes {
			key := slopeKey{s.Role, s.What, s.Against}
			if len(s.Sizes) < 2 || len(s.Sizes) != len(s.Values) {
				f.findings = append(f.findings, Finding{0, fmt.Sprintf("the slope %s has %d sizes and %d values", key, len(s.Sizes), len(s.Values))})
				continue
			}
			if at, slope := line(s.Sizes, s.Values); math.Abs(slope-s.PerUnit) > 1e-6*math.Abs(slope)+1e-15 ||
				math.Abs(at-s.Intercept) > 1e-6*(math.Abs(at)+math.Abs(slope)*slices.Max(s.Sizes)) {
				f.findings = append(f.findings, Finding{0, fmt.Sprintf("the slope %s is told as %.4g + %.4g each, and its sizes and values give %.4g + %.4g",
					key, s.Intercept, s.PerUnit, at, slope)})
			}
			f.slopes[key] = append(f.slopes[key], s)
			f.files[keyOf(s)] = path.Base(filepath.ToSlash(x.Name))
		}
		for _, q := range x.Quota { // of one run in several files the last file's is taken
			same := func(o scale.QuotaError) bool {
				return o.Plan == q.Plan && o.Set == q.Set && o.Limiters == q.Limiters && o.Counters == q.Counters && o.Speed == q.Speed && o.Free == q.Free
			}
			if at := slices.IndexFunc(f.quota, same); at >= 0 && !slices.ContainsFunc(own, same) {
				f.quota[at] = q
			} else {
				f.quota = append(f.quota, q)
			}
			own = append(own, q)
		}
		f.moments = append(f.moments, x.Moments...)
		f.added = append(f.added, x.Added...)
	}
	return f
}

// line is the straight line of least squares.
func line(x, y []float64) (at, slope float64) {
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

// slope finds a slope; held is a part of what the other sizes were, where there are several.
func (f *figures) slope(key slopeKey, held string) (scale.Slope, error) {
	list := slices.DeleteFunc(slices.Clone(f.slopes[key]), func(s scale.Slope) bool { return !strings.Contains(s.Held, held) })
	switch len(list) {
	case 0:
		return scale.Slope{}, fmt.Errorf("there is no slope %s", key)
	case 1:
		return list[0], nil
	}
	return scale.Slope{}, fmt.Errorf("there are %d slopes %s: say which by held=", len(list), key)
}

// values are the names that a formula may use.
type values map[string]float64

// noted is what a formula came to, and from what.
type noted struct {
	value   float64
	spread  float64 // standard error, from those of the slopes
	slopes  map[usedSlope]scale.Slope
	beyond  map[string]float64 // by what: how many times beyond the largest measured size
	tested  bool               // something measured is in it
	model   bool               // something of the model is in it
	cut     bool               // a moment that did not reach all limiters is in it
	missing []slopeKey         // named as missing, and they are
}

// from says where a figure is from: measured, assumed, in the model, and how far beyond.
func (n noted) from() string {
	var words []string
	if n.tested {
		words = append(words, "measured")
	}
	if n.model {
		words = append(words, "model")
	}
	if n.cut {
		words = append(words, "not all reached")
	}
	if len(words) == 0 {
		words = append(words, "assumed")
	}
	for _, what := range slices.Sorted(maps.Keys(n.beyond)) {
		if factor := n.beyond[what]; factor >= beyondAny {
			words = append(words, "extrapolated x"+number(factor)+" ("+what+")")
		}
	}
	return strings.Join(words, ", ")
}

func (n *noted) size(what string, size, most float64) {
	n.beyond[what] = max(n.beyond[what], size/most)
}

// evaluate works a formula out, and its error: each slope's own error moves the value by so much.
func (r *reviewer) evaluate(formula string) (noted, error) {
	n, err := r.once(formula, usedSlope{})
	if err != nil || len(n.missing) > 0 {
		return n, err
	}
	sum := 0.0
	for key := range n.slopes {
		m, err := r.once(formula, key)
		if err != nil {
			return n, err
		}
		sum += (m.value - n.value) * (m.value - n.value)
	}
	if n.spread = math.Sqrt(sum); n.spread < exact*n.value {
		n.spread = 0 // of a slope that is counted, not measured: the noise of its last digit
	}
	return n, nil
}

// once works a formula out with one slope steeper by its error.
func (r *reviewer) once(formula string, steeper usedSlope) (noted, error) {
	n := noted{slopes: map[usedSlope]scale.Slope{}, beyond: map[string]float64{}}
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
	take := func(name string, fixed bool, args starlark.Tuple, named []starlark.Tuple) (s scale.Slope, size float64, err error) {
		var key slopeKey
		var held string
		given := starlark.Value(starlark.None)
		if err = starlark.UnpackArgs(name, args, named, "role", &key.role, "what", &key.what, "against", &key.against, "size?", &given, "held?", &held); err != nil {
			return s, 0, err
		}
		if s, err = r.slope(key, held); err != nil {
			return s, 0, err
		}
		if given == starlark.None {
			var ok bool
			if size, ok = r.names[key.against]; !ok {
				return s, 0, fmt.Errorf("%s(%s): no size is given, and %q is no name of the target or the assumptions", name, key, key.against)
			}
		} else if size, err = float(given); err != nil {
			return s, 0, err
		}
		if fixed && given == starlark.None {
			return s, 0, fmt.Errorf("%s(%s): no size is given", name, key)
		}
		n.slopes[keyOf(s)] = s
		n.tested = true
		n.size(key.against, size, slices.Max(s.Sizes))
		if keyOf(s) == steeper {
			// The line turns about the middle of its sizes, where it is known best.
			mean := 0.0
			for _, x := range s.Sizes {
				mean += x / float64(len(s.Sizes))
			}
			s.PerUnit, s.Intercept = s.PerUnit+s.Error, s.Intercept-s.Error*mean
		}
		return s, size, nil
	}
	builtin("slope", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		s, _, err := take("slope", false, args, named)
		return s.PerUnit, err
	})
	builtin("rise", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		s, size, err := take("rise", true, args, named)
		return s.PerUnit * size, err
	})
	builtin("at", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		s, size, err := take("at", true, args, named)
		return s.Intercept + s.PerUnit*size, err
	})
	builtin("missing", func(args starlark.Tuple, named []starlark.Tuple) (float64, error) {
		var key slopeKey
		if err := starlark.UnpackArgs("missing", args, named, "role", &key.role, "what", &key.what, "against", &key.against); err != nil {
			return 0, err
		}
		if len(r.slopes[key]) > 0 { // a row that keeps saying so once the slope is there
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
	thread.SetMaxExecutionSteps(mostSteps)
	v, err := starlark.EvalOptions(&syntax.FileOptions{}, thread, "formula", formula, globals)
	if err != nil {
		return n, fmt.Errorf("%s: %w", formula, err)
	}
	if n.value, err = float(v); err != nil {
		return n, fmt.Errorf("%s: %w", formula, err)
	}
	if math.IsNaN(n.value) || math.IsInf(n.value, 0) || n.value < 0 {
		return n, fmt.Errorf("%s: comes to %v", formula, n.value)
	}
	return n, nil
}

func float(v starlark.Value) (float64, error) {
	f, ok := starlark.AsFloat(v)
	if !ok {
		return 0, fmt.Errorf("%s is no number", v)
	}
	return f, nil
}

// moment gives a field of the moment of a name with the most limiters, in the model or on sockets; of several, such as a zone
// that goes and one that comes back, the largest.
func (r *reviewer) moment(n *noted, args starlark.Tuple, named []starlark.Tuple) (float64, error) {
	var name, field string
	model := false
	if err := starlark.UnpackArgs("moment", args, named, "name", &name, "field", &field, "model?", &model); err != nil {
		return 0, err
	}
	most, largest, best := -1, -1.0, scale.Moment{}
	for _, m := range r.moments {
		if m.Name != name || m.Model != model || m.Limiters < most {
			continue
		}
		v, ok := map[string]float64{"p99_s": m.P99, "last_s": m.Last, "messages": m.Messages, "bytes": m.Bytes,
			"limiters": float64(m.Limiters), "servers": float64(m.Servers)}[field]
		if !ok {
			if v, ok = m.Values[field]; !ok {
				return 0, fmt.Errorf("the moment %q has no %q", name, field)
			}
		}
		if m.Limiters > most || v > largest {
			most, largest, best = m.Limiters, v, m
		}
	}
	if most < 0 {
		return 0, fmt.Errorf("there is no moment %q (model: %v)", name, model)
	}
	n.model, n.tested, n.cut = n.model || model, n.tested || !model, n.cut || strings.Contains(best.Note, notReached)
	if target, ok := r.names["limiters"]; ok {
		n.size("limiters", target, float64(best.Limiters))
	}
	if target, ok := r.names["servers"]; ok && best.Servers > 0 {
		n.size("servers", target, float64(best.Servers))
	}
	return largest, nil
}

// quotaError gives a field of the run of the model that is named; where no number of limiters is, the one with the most.
func (r *reviewer) quotaError(n *noted, args starlark.Tuple, named []starlark.Tuple) (float64, error) {
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
		if s, err := float(speed); q.Plan != plan || q.Counters != counters || q.Free != free || set != "" && q.Set != set || err == nil && !near(q.Speed, s) {
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
	n.model = true
	if target, ok := r.names["limiters"]; ok {
		n.size("limiters", target, float64(q.Limiters))
	}
	v, ok := map[string]float64{"beyond": q.Beyond, "refused_with_room": q.RefusedWithRoom, "calls_per_request": q.CallsPerRequest,
		"unanswered": q.Unanswered, "lost": q.Lost, "calls": q.Calls, "per_second": q.PerSecond, "limiters": float64(q.Limiters)}[field]
	if !ok {
		return 0, fmt.Errorf("a quota error has no %q", field)
	}
	return v, nil
}

// addedTime gives a field, in seconds, of the run with so many requests a second of each limiter, or with the most, beside no
// more than so many limiters on the machine; of several the largest.
func (r *reviewer) addedTime(n *noted, args starlark.Tuple, named []starlark.Tuple) (float64, error) {
	var field string
	var control bool
	var rate float64
	most := math.MaxInt
	given := starlark.Value(starlark.None)
	if err := starlark.UnpackArgs("added", args, named, "field", &field, "control", &control, "per_second?", &given, "most_limiters?", &most); err != nil {
		return 0, err
	}
	if v, err := float(given); err == nil {
		rate = v
	} else {
		for _, a := range r.figures.added {
			if a.Control == control && a.Limiters <= most {
				rate = max(rate, a.PerSecond)
			}
		}
	}
	largest := -1.0
	var best scale.AddedTime
	for _, a := range r.figures.added {
		if a.Control != control || a.Limiters > most || !near(a.PerSecond, rate) {
			continue
		}
		v, ok := map[string]float64{"p50_ms": a.P50 / 1000, "p99_ms": a.P99 / 1000, "straight_p99_ms": a.Straight / 1000, "per_second": a.PerSecond,
			"refused": float64(a.Refused), "lost": float64(a.Lost), "served": float64(a.Requests)}[field]
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
	n.tested = true
	if requests, limiters := r.names["requests"], r.names["limiters"]; limiters > 0 && best.PerSecond > 0 {
		n.size("requests", requests/limiters, best.PerSecond)
	}
	if best.Limiters > 0 {
		n.size("limiters", r.names["limiters"], float64(best.Limiters))
	}
	if best.Servers > 0 {
		n.size("servers", r.names["servers"], float64(best.Servers))
	}
	return largest, nil
}
