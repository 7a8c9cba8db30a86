// Package script evaluates the operators' Starlark files. It does no I/O and limits the number of execution steps; the
// process that runs it limits its memory (package operator). A script must call its root constructor, such as
// bramblefall(...), exactly once; the arguments of that call are the result. Every constructor records the line of its call,
// so that an error in a field can name the line that made it.
package script

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Limits of one evaluation.
const (
	maxSteps  = 20_000_000
	maxDepth  = 32
	maxValues = 2_000_000
)

// Result is the value of a script's root constructor.
type Result struct {
	Value any            // nested maps, lists, strings, json.Numbers and booleans
	Lines map[string]int // lines of the constructor calls by path, such as plans[0].tiers[2]; the root's path is ""
}

// Line returns the line of the call that made a field, which is that of the innermost constructor around it, or 0 if unknown.
func (r Result) Line(path string) int {
	for {
		if line, ok := r.Lines[path]; ok {
			return line
		}
		at := strings.LastIndexAny(path, ".[")
		if at < 0 {
			return r.Lines[""]
		}
		path = path[:at]
	}
}

// Error is a problem in a script, with its file and line.
type Error struct {
	File string
	Line int // 0: unknown
	Text string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Text
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
}

// record is the Starlark value that a constructor returns.
type record struct {
	kind string
	args *starlark.Dict
	line int
}

func (r *record) String() string       { return r.kind + "(...)" }
func (r *record) Type() string         { return r.kind }
func (r *record) Freeze()              { r.args.Freeze() }
func (r *record) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (r *record) Hash() (uint32, error) { return 0, fmt.Errorf("unhashable: %s", r.kind) }

// Attr implements starlark.HasAttrs: a script can read a field back, as in t.rate.
func (r *record) Attr(name string) (starlark.Value, error) {
	v, found, err := r.args.Get(starlark.String(name))
	if !found || err != nil {
		return nil, err
	}
	return v, nil
}

// AttrNames implements starlark.HasAttrs.
func (r *record) AttrNames() (names []string) {
	for _, k := range r.args.Keys() {
		names = append(names, string(k.(starlark.String)))
	}
	return names
}

// Run evaluates a script. The result is the call of the constructor named root, which may contain calls of the others.
func Run(file string, source []byte, root string, constructors ...string) (Result, error) {
	var result *record
	globals := starlark.StringDict{
		"time":   starlark.NewBuiltin("time", parseTime),
		"second": starlark.Float(1), "minute": starlark.Float(60), "hour": starlark.Float(3600),
		"day": starlark.Float(86400),
	}
	for _, kind := range append(constructors, root) {
		globals[kind] = starlark.NewBuiltin(kind, func(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
			r := &record{kind: kind, args: starlark.NewDict(len(named)), line: int(t.CallFrame(1).Pos.Line)}
			if len(args) > 0 {
				return nil, fmt.Errorf("%s takes named arguments only, got %d positional ones", kind, len(args))
			}
			for _, kv := range named {
				if kv[1] == starlark.None {
					continue // None counts as absent, so that functions can pass optional arguments on
				}
				if err := r.args.SetKey(kv[0], kv[1]); err != nil {
					return nil, err
				}
			}
			if kind == root {
				if result != nil {
					return nil, fmt.Errorf("%s is called a second time, first in line %d", root, result.line)
				}
				result = r
			}
			return r, nil
		})
	}
	thread := &starlark.Thread{Name: file, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	options := &syntax.FileOptions{Set: true, While: false, TopLevelControl: true, GlobalReassign: true}
	if _, err := starlark.ExecFileOptions(options, thread, file, source, globals); err != nil {
		return Result{}, withLine(file, err)
	}
	if result == nil {
		return Result{}, &Error{File: file, Text: root + "(...) is never called"}
	}
	c := converter{file: file, lines: map[string]int{}}
	v, err := c.value("", result, 0, 0)
	return Result{v, c.lines}, err
}

// withLine converts an error of the interpreter to an Error with the line of the script's innermost frame.
func withLine(file string, err error) error {
	var eval *starlark.EvalError
	var syn syntax.Error
	var names resolve.ErrorList
	e := &Error{File: file, Text: err.Error()}
	switch {
	case errors.As(err, &syn):
		e.Line, e.Text = int(syn.Pos.Line), syn.Msg
	case errors.As(err, &names):
		e.Line, e.Text = int(names[0].Pos.Line), names[0].Msg
	case errors.As(err, &eval):
		e.Text = eval.Msg
		for k := range eval.CallStack {
			if pos := eval.CallStack.At(k).Pos; pos.Filename() == file && pos.Line > 0 {
				e.Line = int(pos.Line)
				break
			}
		}
		if strings.Contains(e.Text, "too many steps") {
			e.Text = fmt.Sprintf("takes more than %d steps", maxSteps)
		}
	}
	e.Text = strings.TrimPrefix(strings.ReplaceAll(e.Text, "\n", " "), file+":")
	return e
}

// parseTime is the script function time: it converts an RFC 3339 time to Unix time in seconds.
func parseTime(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
	var text string
	if err := starlark.UnpackPositionalArgs(b.Name(), args, named, 1, &text); err != nil {
		return nil, err
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return nil, fmt.Errorf("time: %q is not like 2026-12-31T21:00:00+03:00", text)
	}
	return starlark.Float(float64(t.UnixNano()) / 1e9), nil
}

// converter turns Starlark values into plain Go values.
type converter struct {
	file   string
	lines  map[string]int
	values int
}

func (c *converter) fail(line int, path, text string) error {
	if path != "" {
		text = path + ": " + text
	}
	return &Error{c.file, line, text}
}

// value converts one Starlark value. The line is that of the innermost constructor around it, for errors.
func (c *converter) value(path string, v starlark.Value, line, depth int) (any, error) {
	if c.values++; depth > maxDepth || c.values > maxValues {
		return nil, c.fail(line, path, fmt.Sprintf("more than %d values, or nested more than %d deep", maxValues, maxDepth))
	}
	switch v := v.(type) {
	case *record:
		c.lines[path] = v.line
		return c.dict(path, v.args, v.line, depth)
	case *starlark.Dict:
		return c.dict(path, v, line, depth)
	case starlark.String:
		return string(v), nil
	case starlark.Bool:
		return bool(v), nil
	case starlark.Int:
		return json.Number(v.String()), nil
	case starlark.Float:
		if f := float64(v); math.IsNaN(f) || math.IsInf(f, 0) {
			return nil, c.fail(line, path, fmt.Sprintf("%v is not a finite number", f))
		}
		return json.Number(strconv.FormatFloat(float64(v), 'g', -1, 64)), nil
	case starlark.Iterable:
		list := []any{}
		items := v.Iterate()
		defer items.Done()
		var item starlark.Value
		for items.Next(&item) {
			x, err := c.value(fmt.Sprintf("%s[%d]", path, len(list)), item, line, depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, x)
		}
		return list, nil
	}
	return nil, c.fail(line, path, "a "+v.Type()+" is not allowed here, want a number, string, boolean, list, dict or constructor")
}

func (c *converter) dict(path string, d *starlark.Dict, line, depth int) (any, error) {
	out := map[string]any{}
	for _, kv := range d.Items() {
		key, ok := starlark.AsString(kv[0])
		if !ok {
			return nil, c.fail(line, path, "the key "+kv[0].String()+" is not a string")
		}
		x, err := c.value(strings.TrimPrefix(path+"."+key, "."), kv[1], line, depth+1)
		if err != nil {
			return nil, err
		}
		out[key] = x
	}
	return out, nil
}
