package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"bramblefall/internal/model"
	"bramblefall/internal/script"
	"bramblefall/scenarios"
)

// scenarioFunctions are the functions that a scenario script may call besides scenario itself.
var scenarioFunctions = []string{"node", "network", "counter", "discovery", "clients", "firms", "tier", "request_class", "fault", "bounds", "scale", "machine", "rules", "units"}

// ShippedScenarios returns the names of the scenarios that are embedded in the program.
func ShippedScenarios() (names []string) {
	files, _ := fs.Glob(scenarios.Files, "*.star")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f, ".star"))
	}
	return names
}

// LoadScenario reads a shipped scenario by its name, or else the scenario in the file of that path.
func LoadScenario(name string) (model.Scenario, error) {
	source, err := scenarios.Files.ReadFile(name + ".star")
	if err != nil {
		if source, err = os.ReadFile(name); err != nil {
			return model.Scenario{}, fmt.Errorf("%w; shipped are %v", err, ShippedScenarios())
		}
	}
	return ReadScenario(filepath.Base(name), source)
}

// scaleSetting is the field "scale" of a scenario: the size to which the base scenario is scaled. model.Scenario has no
// such field.
type scaleSetting struct {
	Scale struct {
		Limiters int     `json:"limiters"`
		Nodes    int     `json:"nodes"`
		Firms    int     `json:"firms"`
		OneOffs  float64 `json:"one_offs"` // firms a second that send a single request
	} `json:"scale"`
}

// ReadScenario evaluates a scenario's script. Fields that it does not set have the values of the base scenario.
func ReadScenario(file string, source []byte) (model.Scenario, error) {
	evaluated, err := script.Run(file, source, "scenario", scenarioFunctions...)
	if err != nil {
		return model.Scenario{}, err
	}
	var problems []error
	addProblem := func(path, text string) {
		problems = append(problems, &script.Error{File: file, Line: evaluated.Line(path), Text: path + ": " + text})
	}
	fields, _ := evaluated.Value.(map[string]any)
	s := model.BaseScenario()
	if fields["scale"] != nil {
		var size scaleSetting
		reportUnknownFields(fields["scale"], reflect.TypeOf(size.Scale), "scale", addProblem)
		raw, _ := json.Marshal(map[string]any{"scale": fields["scale"]})
		if err := json.Unmarshal(raw, &size); err != nil {
			return s, &script.Error{File: file, Line: evaluated.Line("scale"), Text: err.Error()}
		}
		if size.Scale.Limiters < 1 || size.Scale.Nodes < 1 || size.Scale.Firms < 1 {
			addProblem("scale", "limiters, nodes and firms are needed, each at least 1")
			return s, errors.Join(problems...)
		}
		s = model.ScaledScenario(size.Scale.Limiters, size.Scale.Nodes, size.Scale.Firms, size.Scale.OneOffs)
		delete(fields, "scale")
	}
	reportUnknownFields(any(fields), reflect.TypeOf(s), "", addProblem)
	raw, err := json.Marshal(fields)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		var typeError *json.UnmarshalTypeError
		path := ""
		if errors.As(err, &typeError) {
			path = typeError.Field
		}
		addProblem(path, err.Error())
	} else {
		for _, problem := range s.Check() {
			addProblem(problem[0], problem[1])
		}
	}
	return s, errors.Join(problems...)
}

// reportUnknownFields calls report for each field of v that type t lacks: encoding/json would ignore a misspelt name.
func reportUnknownFields(v any, t reflect.Type, path string, report func(path, text string)) {
	switch v := v.(type) {
	case []any:
		if t.Kind() == reflect.Slice {
			for i, element := range v {
				reportUnknownFields(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i), report)
			}
		}
	case map[string]any:
		if t.Kind() != reflect.Struct {
			return
		}
		known := map[string]reflect.Type{}
		for i := range t.NumField() {
			f := t.Field(i)
			known[f.Tag.Get("json")] = f.Type
		}
		for _, name := range sortedNames(v) {
			fieldPath := strings.TrimPrefix(path+"."+name, ".")
			if fieldType, ok := known[name]; ok {
				reportUnknownFields(v[name], fieldType, fieldPath, report)
			} else {
				report(fieldPath, "there is no such field")
			}
		}
	}
}

func sortedNames(m map[string]any) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
