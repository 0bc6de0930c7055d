package regress

import (
	"maps"
	"math"
)

// Table is a table of a site file, as decoded from TOML.
type Table = map[string]any

// fault is a fault of a day that begins at a time in seconds, with the fields of its kind.
func fault(at float64, kind string, fields Table) Table {
	t := Table{"at_s": at, "kind": kind}
	maps.Copy(t, fields)
	return t
}

// scaleDay is a day of our own with faults. The bench draws its jobs from the seed.
func scaleDay(name string, seed int64, faults []Table) Table {
	return Table{
		"name":   "own-" + name,
		"seed":   seed,
		"slot":   "scale",
		"light":  false,
		"faults": asAny(faults),
	}
}

// asAny returns a list as decoded TOML has it.
func asAny(list []Table) []any {
	out := make([]any, len(list))
	for i, t := range list {
		out[i] = t
	}
	return out
}

// tables returns the tables in a list of decoded TOML; anything else is passed over.
func tables(v any) (out []Table) {
	list, _ := v.([]any)
	for _, x := range list {
		if t, ok := x.(Table); ok {
			out = append(out, t)
		}
	}
	return out
}

// number returns a number of decoded TOML, or 0 if it is none.
func number(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

// scaled multiplies a number; an integer is rounded and stays one.
func scaled(v any, by float64) any {
	if n, ok := v.(int64); ok {
		return int64(math.Round(float64(n) * by))
	}
	return number(v) * by
}

// grow multiplies a field by ownGrowth, if the table has it.
func grow(t Table, field string) {
	if _, ok := t[field]; ok {
		t[field] = scaled(t[field], ownGrowth)
	}
}
