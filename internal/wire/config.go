package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"bramblefall/logic"
)

// SettingsFromJSON reads the settings of a deployed limiter: the simulator's settings as a nested JSON object. The object
// is flattened into the path=value pairs that ParseSettings reads, so that both sources share one parser and one type.
func SettingsFromJSON(raw json.RawMessage) (logic.Settings, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber() // keeps the text of each number as written
	var nested map[string]any
	if err := dec.Decode(&nested); err != nil {
		return logic.Settings{}, fmt.Errorf("settings: %w", err)
	}
	var pairs strings.Builder
	for key, v := range nested {
		flatten(&pairs, key, v)
	}
	return ParseSettings(pairs.String())
}

// flatten writes a value, at any depth of nesting, as path=value lines.
func flatten(pairs *strings.Builder, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, inner := range v {
			flatten(pairs, path+"."+key, inner)
		}
	case []any:
		flattenList(pairs, path, v)
	default:
		fmt.Fprintf(pairs, "%s=%s\n", path, scalarText(v))
	}
}

// flattenList writes scalars as one comma-separated value, and objects under path.INDEX with their number in path.count.
func flattenList(pairs *strings.Builder, path string, list []any) {
	var plain []string
	for k, item := range list {
		if _, nested := item.(map[string]any); nested {
			flatten(pairs, path+"."+strconv.Itoa(k), item)
		} else {
			plain = append(plain, scalarText(item))
		}
	}
	if len(plain) < len(list) || len(list) == 0 {
		fmt.Fprintf(pairs, "%s.count=%d\n", path, len(list))
	}
	if len(plain) == len(list) {
		fmt.Fprintf(pairs, "%s=%s\n", path, strings.Join(plain, ","))
	}
}

// scalarText returns the text of a scalar. Commas, spaces and line ends become underscores: the parser would take them for
// separators between values or between settings.
func scalarText(v any) string {
	if v == nil {
		return ""
	}
	return strings.NewReplacer(",", "_", " ", "_", "\n", "_", "\r", "_").Replace(fmt.Sprint(v))
}

// loadFieldByName returns the load field of a name, either the servers' own (in their load reports) or that of the settings. For
// an unknown name, it returns logic.OtherField.
func loadFieldByName(name string) logic.LoadField {
	switch name {
	case "inflight":
		return logic.Inflight
	case "queue":
		return logic.Queue
	case "util":
		return logic.Utilization
	case "latency_ms":
		return logic.ServiceMillis
	case "qps":
		return logic.Throughput
	case "eps":
		return logic.ErrorRate
	}
	return loadFields[name]
}

// ParseLoadReport parses a load report such as "inflight=7,queue=2" and returns its values in the order of fields. It returns
// nil if any field is missing or malformed: if a server sends garbage, a partial report would make it look idle.
func ParseLoadReport(report string, fields []logic.LoadField) []float64 {
	values := map[logic.LoadField]float64{}
	for _, pair := range strings.Split(report, ",") {
		name, text, _ := strings.Cut(pair, "=")
		if v, err := strconv.ParseFloat(text, 64); err == nil {
			values[loadFieldByName(name)] = v
		}
	}
	load := make([]float64, len(fields))
	for k, f := range fields {
		v, ok := values[f]
		if !ok {
			return nil
		}
		load[k] = v
	}
	return load
}

// NameIndex assigns an index to each name: those of the settings first, then others in the order in which they are seen. So two
// halls that the settings do not list are not taken for one: nodes in different halls do not deduplicate each other's requests.
type NameIndex struct{ seen []string }

// NewNameIndex returns an index that starts with the names of the settings.
func NewNameIndex(known []string) *NameIndex { return &NameIndex{slices.Clone(known)} }

const (
	maxNames     = 1024 // that a NameIndex tells apart
	maxNameBytes = 256
)

// Index returns the index of a name, and adds the name if it is new. Names beyond its bounds have one index together.
func (n *NameIndex) Index(name string) int {
	at := slices.Index(n.seen, name)
	if at < 0 && (len(n.seen) >= maxNames || len(name) > maxNameBytes) {
		return maxNames
	}
	if at < 0 {
		at = len(n.seen)
		n.seen = append(n.seen, name)
	}
	return at
}
