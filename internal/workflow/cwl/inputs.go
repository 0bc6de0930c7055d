package cwl

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v4"
)

// InputSchema returns the JSON schema of a process's inputs. Clients use it to build input
// forms, and ReadInputs to validate inputs.
func (p *Process) InputSchema() map[string]any {
	props, required := map[string]any{}, []any{}
	for i := range p.Inputs {
		in := &p.Inputs[i]
		s := in.Type.schema()
		if in.Default != nil && !in.Type.Optional() {
			s = map[string]any{"anyOf": []any{s, map[string]any{"type": "null"}}}
		}
		props[in.ID] = s
		if in.Default == nil && !in.Type.Optional() {
			required = append(required, in.ID)
		}
	}
	return map[string]any{
		"$schema":              "https://json-schema.org/draft/2020-12/schema",
		"type":                 "object",
		"properties":           props,
		"required":             required,
		"patternProperties":    map[string]any{":": true},
		"additionalProperties": false,
	}
}

// sourceFields lists, for File and Directory, the fields of which at least one must be present.
var sourceFields = map[Kind][]string{
	KindFile:      {"location", "path", "contents"},
	KindDirectory: {"location", "path", "listing"},
}

// schema returns the JSON schema for values of the type.
func (t *Type) schema() map[string]any {
	is := func(name string) map[string]any { return map[string]any{"type": name} }
	switch t.Kind {
	case KindNull, KindBoolean, KindString:
		return is(string(t.Kind))
	case KindInt:
		return map[string]any{"type": "integer", "minimum": -1 << 31, "maximum": 1<<31 - 1}
	case KindLong:
		return is("integer")
	case KindFloat, KindDouble:
		return is("number")
	case KindEnum:
		symbols := make([]any, len(t.Symbols))
		for i, s := range t.Symbols {
			symbols[i] = s
		}
		return map[string]any{"enum": symbols}
	case KindFile, KindDirectory:
		from := []any{}
		for _, source := range sourceFields[t.Kind] {
			from = append(from, map[string]any{"required": []any{source}})
		}
		return map[string]any{
			"type":       "object",
			"properties": map[string]any{"class": map[string]any{"const": string(t.Kind)}},
			"required":   []any{"class"},
			"anyOf":      from,
		}
	case KindArray:
		return map[string]any{"type": "array", "items": t.Items.schema()}
	case KindRecord:
		props, required := map[string]any{}, []any{}
		for _, f := range t.Fields {
			props[f.Name] = f.Type.schema()
			if !f.Type.Optional() {
				required = append(required, f.Name)
			}
		}
		return map[string]any{"type": "object", "properties": props, "required": required}
	case KindUnion:
		var list []any
		for _, u := range t.Union {
			list = append(list, u.schema())
		}
		return map[string]any{"anyOf": list}
	}
	return map[string]any{"not": is("null")} // Any
}

// ReadInputs parses inputs in YAML or JSON and validates them. Validation errors are returned as
// Problems with their position in the file. Defaults are not filled in.
func (p *Process) ReadInputs(file string, b []byte) (map[string]any, error) {
	document, err := parseYAML(file, b)
	if err != nil {
		return nil, err
	}
	l := &loader{bundle: Bundle{}}
	if document, err = l.resolveDirectives(file, document, 0); err != nil {
		return nil, Problems{{File: file, Reason: err.Error()}}
	}
	v, ok := decodeValue(document).(map[string]any)
	if !ok {
		return nil, Problems{
			location{file: file, node: document}.problem("expected inputs by name, found %s", describeNode(document)),
		}
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("inputs.json", schemaValue(p.InputSchema())); err != nil {
		return nil, err
	}
	schema, err := compiler.Compile("inputs.json")
	if err != nil {
		return nil, err
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(schemaValue(v)); errors.As(err, &invalid) {
		return nil, p.schemaProblems(file, document, v, invalid)
	} else if err != nil {
		return nil, err
	}
	for k := range v {
		if strings.Contains(k, ":") {
			delete(v, k)
		}
	}
	return v, nil
}

// schemaValue returns a copy of a value with int64 converted to int, as the JSON schema library expects.
func schemaValue(v any) any {
	switch x := v.(type) {
	case int64:
		return int(x)
	case []any:
		out := make([]any, len(x))
		for i := range x {
			out[i] = schemaValue(x[i])
		}
		return out
	case map[string]any:
		out := make(map[string]any, len(x))
		for k := range x {
			out[k] = schemaValue(x[k])
		}
		return out
	}
	return v
}

// schemaProblems converts schema validation errors to Problems, at most one per input. Where
// Type.Check rejects the value too, its message is used, because for a union the library reports
// one error per alternative.
func (p *Process) schemaProblems(
	file string,
	document *yaml.Node,
	v map[string]any,
	invalid *jsonschema.ValidationError,
) Problems {
	leaves := map[string]*jsonschema.ValidationError{}
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		for _, c := range e.Causes {
			walk(c)
		}
		if len(e.Causes) == 0 {
			leaves[strings.Join(e.InstanceLocation, "/")] = e
		}
	}
	walk(invalid)
	var out Problems
	reported := map[string]bool{}
	for _, path := range slices.Sorted(maps.Keys(leaves)) {
		e := leaves[path]
		at := location{file: file, node: document}
		for _, part := range e.InstanceLocation {
			at = at.child(part)
		}
		if len(e.InstanceLocation) == 0 {
			out = append(out, p.inputNameProblems(at, v)...)
			continue
		}
		id := e.InstanceLocation[0]
		if reported[id] {
			continue
		}
		reported[id] = true
		if in := p.input(id); in != nil {
			if err := in.Type.Check(v[id]); err != nil {
				at := location{file: file, node: document}.child(id)
				out = append(out, at.problem("%v", err))
				continue
			}
			out = append(out, at.problem("expected %s with location, path, contents or listing", in.Type))
			continue
		}
		out = append(out, at.problem("%s has no such input", describeProcess(p)))
	}
	return out
}

// inputNameProblems returns a problem for each missing required input and for each unknown input.
func (p *Process) inputNameProblems(at location, v map[string]any) Problems {
	var out Problems
	for _, in := range p.Inputs {
		if _, ok := v[in.ID]; !ok && in.Default == nil && !in.Type.Optional() {
			out = append(out, at.in(in.ID, at.node).problem("is missing; expected %s", in.Type))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v)) {
		if p.input(id) == nil && !strings.Contains(id, ":") {
			out = append(out, at.child(id).problem("%s has no such input", describeProcess(p)))
		}
	}
	return out
}

// child returns the location of a field or an element, or the receiver if there is none.
func (at location) child(part string) location {
	if at.node == nil {
		return at
	}
	switch at.node.Kind {
	case yaml.MappingNode:
		for _, e := range entries(at.node) {
			if e.key.Value == part {
				return at.in(part, e.node)
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(part); err == nil && i >= 0 && i < len(at.node.Content) {
			return at.in("["+part+"]", at.node.Content[i])
		}
	}
	return at
}

// CompleteInputs returns the inputs that a process runs with: the given ones, with defaults for those
// that are missing or null. The error lists each input that does not match its type.
func (p *Process) CompleteInputs(v map[string]any) (map[string]any, error) {
	out := make(map[string]any, len(p.Inputs))
	var errs []error
	for i := range p.Inputs {
		in := &p.Inputs[i]
		x := v[in.ID]
		if x == nil {
			x = in.Default
		}
		if err := in.Type.Check(x); err != nil {
			errs = append(errs, fmt.Errorf("input %s: %w", in.ID, err))
		}
		out[in.ID] = x
	}
	return out, errors.Join(errs...)
}
