package fault

import (
	"encoding/json"
	"fmt"
	"iter"
	"slices"
)

// wrong is what a value is replaced by; absent takes its place away.
var wrong = []any{absent, nil, "text", "", true, 0, -1, 0.3, 1e18, -1e300, []any{}, map[string]any{}, []any{1, "a"}}

const absent = "\x00absent"

// Mutants gives copies of a JSON document in each of which one value, object or list is absent, of another type, zero,
// negative or huge, with words on which and how.
func Mutants(raw []byte) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		var whole any
		if json.Unmarshal(raw, &whole) != nil {
			return
		}
		for _, at := range places(whole, nil) {
			for _, to := range wrong {
				var mutant any
				_ = json.Unmarshal(raw, &mutant) // as the whole was
				text, err := json.Marshal(change(mutant, at, to))
				if err != nil || !yield(fmt.Sprintf("%v: %v", at, to), text) {
					return
				}
			}
		}
	}
}

// places lists those of all values, objects and lists included, in an order that is always the same.
func places(v any, at []any) (all [][]any) {
	inside := func(key, x any) {
		here := append(slices.Clone(at), key)
		all = append(append(all, places(x, here)...), here)
	}
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			inside(k, v[k])
		}
	case []any:
		for k, x := range v {
			inside(k, x)
		}
	}
	return all
}

// change puts a value at a place.
func change(v any, at []any, to any) any {
	if len(at) == 0 {
		return to
	}
	if m, ok := v.(map[string]any); ok {
		if k := at[0].(string); len(at) == 1 && to == absent {
			delete(m, k)
		} else {
			m[k] = change(m[k], at[1:], to)
		}
		return m
	}
	l, k := v.([]any), at[0].(int)
	if len(at) == 1 && to == absent {
		return slices.Delete(l, k, k+1)
	}
	l[k] = change(l[k], at[1:], to)
	return l
}
