package regress

import (
	"maps"
	"math"
)

// Table is a table of a site file, as decoded from TOML.
type Table = map[string]any

// fault returns a fault that starts at a time in seconds, with the fields specific to its kind.
func fault(at float64, kind string, fields Table) Table {
	t := Table{"at_s": at, "kind": kind}
	maps.Copy(t, fields)
	return t
}

// newScaleDay returns a stress day with faults. The bench draws its jobs from the seed.
func newScaleDay(name string, seed int64, faults []Table) Table {
	return Table{
		"name":   "own-" + name,
		"seed":   seed,
		"slot":   "scale",
		"light":  false,
		"faults": asAny(faults),
	}
}

// asAny converts a list to the type that decoded TOML has.
func asAny(list []Table) []any {
	out := make([]any, len(list))
	for i, t := range list {
		out[i] = t
	}
	return out
}

// tables returns the tables in a list of decoded TOML and skips all other elements.
func tables(v any) (out []Table) {
	list, _ := v.([]any)
	for _, x := range list {
		if t, ok := x.(Table); ok {
			out = append(out, t)
		}
	}
	return out
}

// number converts a number of decoded TOML; it returns 0 for any other type.
func number(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

// scaled returns v multiplied by a factor. An integer stays an integer and is rounded.
func scaled(v any, by float64) any {
	if n, ok := v.(int64); ok {
		return int64(math.Round(float64(n) * by))
	}
	return number(v) * by
}

// grow multiplies a field by growthFactor if the table has it.
func grow(t Table, field string) {
	if _, ok := t[field]; ok {
		t[field] = scaled(t[field], growthFactor)
	}
}
