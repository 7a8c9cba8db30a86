package fault

import (
	"encoding/json"
	"fmt"
	"iter"
	"slices"
)

// replacements are the values that Mutants puts in place of each value of a document; absent removes the value instead.
var replacements = []any{absent, nil, "text", "", true, 0, -1, 0.3, 1e18, -1e300, []any{}, map[string]any{}, []any{1, "a"}}

// absent is the replacement that stands for removing a value.
const absent = "\x00absent"

// Mutants yields copies of a JSON document, each with one value, object or list removed or replaced by a value of another
// type, zero, a negative or a huge number, together with a description of the change. It yields nothing if raw is no JSON.
func Mutants(raw []byte) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		var document any
		if json.Unmarshal(raw, &document) != nil {
			return
		}
		for _, path := range paths(document, nil) {
			for _, replacement := range replacements {
				var mutant any
				_ = json.Unmarshal(raw, &mutant) // cannot fail: the same text was decoded above
				text, err := json.Marshal(replaceAt(mutant, path, replacement))
				if err != nil || !yield(fmt.Sprintf("%v: %v", path, replacement), text) {
					return
				}
			}
		}
	}
}

// paths returns the paths of all values below v, including objects and lists, in a deterministic order. prefix is the path
// of v itself.
func paths(v any, prefix []any) (all [][]any) {
	visit := func(key, x any) {
		path := append(slices.Clone(prefix), key)
		all = append(append(all, paths(x, path)...), path)
	}
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			visit(k, v[k])
		}
	case []any:
		for k, x := range v {
			visit(k, x)
		}
	}
	return all
}

// replaceAt returns v with the value at path replaced, or removed if replacement is absent. It modifies v.
func replaceAt(v any, path []any, replacement any) any {
	if len(path) == 0 {
		return replacement
	}
	if m, ok := v.(map[string]any); ok {
		if k := path[0].(string); len(path) == 1 && replacement == absent {
			delete(m, k)
		} else {
			m[k] = replaceAt(m[k], path[1:], replacement)
		}
		return m
	}
	l, k := v.([]any), path[0].(int)
	if len(path) == 1 && replacement == absent {
		return slices.Delete(l, k, k+1)
	}
	l[k] = replaceAt(l[k], path[1:], replacement)
	return l
}
