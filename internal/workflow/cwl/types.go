package cwl

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v4"
)

// Kind is what a type is.
type Kind string

// The kinds (CommandLineTool, "CWLType").
const (
	KindNull      Kind = "null"
	KindBoolean   Kind = "boolean"
	KindInt       Kind = "int"
	KindLong      Kind = "long"
	KindFloat     Kind = "float"
	KindDouble    Kind = "double"
	KindString    Kind = "string"
	KindFile      Kind = "File"
	KindDirectory Kind = "Directory"
	KindAny       Kind = "Any"
	KindArray     Kind = "array"
	KindRecord    Kind = "record"
	KindEnum      Kind = "enum"
	KindUnion     Kind = "union"
)

var plainKinds = []Kind{
	KindNull,
	KindBoolean,
	KindInt,
	KindLong,
	KindFloat,
	KindDouble,
	KindString,
	KindFile,
	KindDirectory,
	KindAny,
}

// Type is a type of values.
type Type struct {
	Kind    Kind
	Name    string // of a record or an enum, if given
	Items   *Type  // of an array
	Fields  []Field
	Symbols []string
	Union   []*Type

	Binding *Binding // of an array's items or a record as a whole, on a command line
}

// Field is one of a record.
type Field struct {
	Name           string
	Type           *Type
	Binding        *Binding
	OutputBinding  *OutputBinding
	SecondaryFiles []SecondaryFile
}

// Optional reports whether null is a value of the type.
func (t *Type) Optional() bool {
	return t.Kind == KindNull || t.Kind == KindUnion && slices.ContainsFunc(t.Union, (*Type).Optional)
}

// String is the type as it would be written.
func (t *Type) String() string {
	switch t.Kind {
	case KindArray:
		if t.Items.Kind == KindUnion {
			return "(" + t.Items.String() + ")[]"
		}
		return t.Items.String() + "[]"
	case KindUnion:
		var rest []string
		for _, u := range t.Union {
			if u.Kind != KindNull {
				rest = append(rest, u.String())
			}
		}
		if len(rest) == 1 && len(t.Union) == 2 {
			return rest[0] + "?"
		}
		if len(rest) < len(t.Union) {
			rest = append(rest, "null")
		}
		return strings.Join(rest, " or ")
	case KindEnum:
		return "one of " + strings.Join(t.Symbols, ", ")
	case KindRecord:
		if t.Name != "" {
			return "record " + t.Name
		}
	}
	return string(t.Kind)
}

// readType reads a type in any of its forms ("Type DSL" of Schema Salad: "File?", "int[]").
func (r *reading) readType(a at, depth int) *Type {
	any := &Type{Kind: KindAny}
	if depth > mostNesting {
		r.fail(a, "is nested too deeply")
		return any
	}
	if isNull(a.n) {
		r.fail(a, "the type is missing")
		return any
	}
	switch a.n.Kind {
	case yaml.ScalarNode:
		return r.typeName(a, a.n.Value)
	case yaml.SequenceNode:
		u := &Type{Kind: KindUnion}
		for i, c := range a.n.Content {
			t := r.readType(a.in(fmt.Sprintf("[%d]", i), c), depth+1)
			if t.Kind == KindUnion {
				u.Union = append(u.Union, t.Union...)
			} else {
				u.Union = append(u.Union, t)
			}
		}
		if len(u.Union) == 0 {
			r.fail(a, "a union of no types has no values")
			return any
		}
		if len(u.Union) == 1 {
			return u.Union[0]
		}
		return u
	}
	f := r.fields(
		a,
		"type",
		"items",
		"fields",
		"symbols",
		"name",
		"label",
		"doc",
		"inputBinding",
		"outputBinding",
		"streamable",
		"format",
		"id",
		"secondaryFiles",
	)
	kind := Kind("")
	if ty, ok := f["type"]; ok && ty.n.Kind == yaml.ScalarNode {
		kind = Kind(ty.n.Value)
	}
	t := &Type{Kind: kind}
	if n, ok := f["name"]; ok {
		t.Name = localName(r.text(n))
	}
	if b, ok := f["inputBinding"]; ok {
		t.Binding = r.readBinding(b)
	}
	switch kind {
	case KindArray:
		items, ok := f["items"]
		if !ok {
			r.fail(a, "items is missing in an array")
			return any
		}
		t.Items = r.readType(items, depth+1)
	case KindEnum:
		for _, s := range r.texts(f["symbols"]) {
			t.Symbols = append(t.Symbols, localName(s))
		}
		if len(t.Symbols) == 0 {
			r.fail(a, "symbols is missing in an enum")
		}
	case KindRecord:
		r.named(f["fields"], "name", "type", func(name string, x at) {
			ff := r.fields(
				x,
				"name",
				"type",
				"label",
				"doc",
				"inputBinding",
				"outputBinding",
				"secondaryFiles",
				"streamable",
				"format",
				"loadContents",
				"loadListing",
			)
			field := Field{
				Name:           name,
				Type:           r.readType(ff["type"].or(x), depth+1),
				SecondaryFiles: r.readSecondary(ff["secondaryFiles"]),
			}
			if b, ok := ff["inputBinding"]; ok {
				field.Binding = r.readBinding(b)
			}
			if b, ok := ff["outputBinding"]; ok {
				field.OutputBinding = r.readOutputBinding(b)
			}
			t.Fields = append(t.Fields, field)
		})
	default:
		if ty, ok := f["type"]; ok {
			return r.readType(ty, depth+1)
		}
		r.fail(a, "the type is missing")
		return any
	}
	return t
}

// or is a place to name where a field is missing.
func (a at) or(parent at) at {
	if a.n == nil {
		return at{parent.file, parent.field + ".type", nil}
	}
	return a
}

func (r *reading) typeName(a at, name string) *Type {
	if base, ok := strings.CutSuffix(name, "?"); ok {
		t := r.typeName(a, base)
		if t.Optional() {
			return t
		}
		if t.Kind == KindUnion {
			return &Type{Kind: KindUnion, Union: append([]*Type{{Kind: KindNull}}, t.Union...)}
		}
		return &Type{Kind: KindUnion, Union: []*Type{{Kind: KindNull}, t}}
	}
	if base, ok := strings.CutSuffix(name, "[]"); ok {
		return &Type{Kind: KindArray, Items: r.typeName(a, base)}
	}
	if slices.Contains(plainKinds, Kind(name)) {
		return &Type{Kind: Kind(name)}
	}
	if file, fragment, err := resolve(a.file, name); err == nil && fragment != "" {
		for _, at := range []string{file, a.file} { // where it was defined, or imported to
			if t := r.types[at+"#"+localName(fragment)]; t != nil {
				return t
			}
		}
	}
	if t := r.types[a.file+"#"+name]; t != nil {
		return t
	}
	r.fail(a, "no such type %q; expected a type's name, with ? or [] behind it, or a definition", shorten(name))
	return &Type{Kind: KindAny}
}

// mayFlow reports whether a value of one type may be one of another: whether a source can
// be connected to a sink ("Workflow", WorkflowStepInput). Where that depends on the value
// it may.
func mayFlow(from, to *Type) bool {
	if from.Kind == KindAny || to.Kind == KindAny {
		return from.Kind != KindNull || to.Kind == KindAny && from.Kind != KindNull
	}
	if from.Kind == KindUnion {
		return slices.ContainsFunc(from.Union, func(u *Type) bool { return mayFlow(u, to) })
	}
	if to.Kind == KindUnion {
		return slices.ContainsFunc(to.Union, func(u *Type) bool { return mayFlow(from, u) })
	}
	switch to.Kind {
	case KindLong, KindFloat, KindDouble:
		wider := map[Kind][]Kind{
			KindLong:   {KindInt},
			KindFloat:  {KindInt, KindLong, KindDouble},
			KindDouble: {KindInt, KindLong, KindFloat},
		}
		return from.Kind == to.Kind || slices.Contains(wider[to.Kind], from.Kind)
	case KindArray:
		return from.Kind == KindArray && mayFlow(from.Items, to.Items)
	case KindRecord:
		if from.Kind != KindRecord {
			return false
		}
		for _, f := range to.Fields {
			i := slices.IndexFunc(from.Fields, func(o Field) bool { return o.Name == f.Name })
			if i < 0 && !f.Type.Optional() || i >= 0 && !mayFlow(from.Fields[i].Type, f.Type) {
				return false
			}
		}
		return true
	case KindEnum:
		return from.Kind == KindString ||
			from.Kind == KindEnum &&
				slices.ContainsFunc(from.Symbols, func(s string) bool { return slices.Contains(to.Symbols, s) })
	case KindString:
		return from.Kind == KindString || from.Kind == KindEnum
	}
	return from.Kind == to.Kind
}

// Check reports why a value is not one of a type, nil if it is.
func (t *Type) Check(v any) error {
	wrong := func() error { return fmt.Errorf("expected %s, found %s", t, describe(v)) }
	switch t.Kind {
	case KindAny:
		if v == nil {
			return wrong()
		}
	case KindNull:
		if v != nil {
			return wrong()
		}
	case KindBoolean:
		if _, ok := v.(bool); !ok {
			return wrong()
		}
	case KindInt, KindLong:
		n, ok := v.(int64)
		if !ok || t.Kind == KindInt && (n > 1<<31-1 || n < -1<<31) {
			return wrong()
		}
	case KindFloat, KindDouble:
		switch v.(type) {
		case int64, float64:
		default:
			return wrong()
		}
	case KindString:
		if _, ok := v.(string); !ok {
			return wrong()
		}
	case KindEnum:
		s, ok := v.(string)
		if !ok || !slices.Contains(t.Symbols, s) {
			return wrong()
		}
	case KindFile, KindDirectory:
		if classOf(v) != string(t.Kind) {
			return wrong()
		}
	case KindArray:
		list, ok := v.([]any)
		if !ok {
			return wrong()
		}
		for i, x := range list {
			if err := t.Items.Check(x); err != nil {
				return fmt.Errorf("[%d]: %w", i, err)
			}
		}
	case KindRecord:
		m, ok := v.(map[string]any)
		if !ok {
			return wrong()
		}
		for _, f := range t.Fields {
			if err := f.Type.Check(m[f.Name]); err != nil {
				return fmt.Errorf("%s: %w", f.Name, err)
			}
		}
	case KindUnion:
		for _, u := range t.Union {
			if u.Check(v) == nil {
				return nil
			}
		}
		return wrong()
	}
	return nil
}

func classOf(v any) string {
	m, _ := v.(map[string]any)
	c, _ := m["class"].(string)
	return c
}

func describe(v any) string {
	switch x := v.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case int64:
		return fmt.Sprintf("the whole number %d", x)
	case float64:
		return "a number with decimals"
	case string:
		return fmt.Sprintf("%q", shorten(x))
	case []any:
		return "a list"
	}
	if c := classOf(v); c != "" {
		return "a " + c
	}
	return "a record"
}
