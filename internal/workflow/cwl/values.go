package cwl

import (
	"bytes"
	"encoding/json"
	"math"

	"go.yaml.in/yaml/v4"
)

// fromJSON decodes a JSON value, with integers as int64.
func fromJSON(b []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(b)) //nolint:forbidigo // values have no fields, and need exact numbers
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return NormalizeNumbers(v), nil
}

// NormalizeNumbers converts the numbers in a decoded JSON value: integers to int64, others to float64.
// Lists and maps are modified in place.
func NormalizeNumbers(v any) any {
	switch x := v.(type) {
	case json.Number:
		if i, err := x.Int64(); err == nil {
			return i
		}
		f, _ := x.Float64()
		return NormalizeNumbers(f)
	case float64:
		if x == math.Trunc(x) && math.Abs(x) < 1<<53 {
			return int64(x)
		}
	case []any:
		for i := range x {
			x[i] = NormalizeNumbers(x[i])
		}
	case map[string]any:
		for k := range x {
			x[k] = NormalizeNumbers(x[k])
		}
	}
	return v
}

// decodeValue converts a YAML node to a Go value: nil, bool, int64, float64, string, []any or
// map[string]any.
func decodeValue(n *yaml.Node) any {
	switch {
	case n == nil:
		return nil
	case n.Kind == yaml.MappingNode:
		m := make(map[string]any, len(n.Content)/2)
		for _, e := range entries(n) {
			m[e.key.Value] = decodeValue(e.node)
		}
		return m
	case n.Kind == yaml.SequenceNode:
		list := make([]any, len(n.Content))
		for i, c := range n.Content {
			list[i] = decodeValue(c)
		}
		return list
	}
	switch n.ShortTag() {
	case "!!null":
		return nil
	case "!!bool":
		var v bool
		_ = n.Decode(&v)
		return v
	case "!!int":
		var v int64
		if n.Decode(&v) == nil {
			return v
		}
		var f float64
		_ = n.Decode(&f)
		return f
	case "!!float":
		var v float64
		_ = n.Decode(&v)
		return v
	}
	return n.Value
}
