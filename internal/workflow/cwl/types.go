package cwl

import (
	"fmt"
	"math"
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

// plainKinds are the kinds that a name alone gives.
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
// depth is how many types it is in. What can't be read is reported, and Any stands for it.
func (l *loader) readType(at place, depth int) *Type {
	if depth > maxNesting {
		l.fail(at, "is nested too deeply")
		return &Type{Kind: KindAny}
	}
	if isNull(at.node) {
		l.fail(at, "the type is missing")
		return &Type{Kind: KindAny}
	}
	switch at.node.Kind {
	case yaml.ScalarNode:
		return l.typeName(at, at.node.Value)
	case yaml.SequenceNode:
		return l.readUnion(at, depth)
	}
	return l.readTypeDefinition(at, depth)
}

// readUnion reads a list of types, a union within it as its alternatives.
func (l *loader) readUnion(at place, depth int) *Type {
	union := &Type{Kind: KindUnion}
	for i, node := range at.node.Content {
		alternative := l.readType(at.in(fmt.Sprintf("[%d]", i), node), depth+1)
		if alternative.Kind == KindUnion {
			union.Union = append(union.Union, alternative.Union...)
		} else {
			union.Union = append(union.Union, alternative)
		}
	}
	switch len(union.Union) {
	case 0:
		l.fail(at, "a union of no types has no values")
		return &Type{Kind: KindAny}
	case 1:
		return union.Union[0]
	}
	return union
}

// readTypeDefinition reads a type written as a mapping: an array, an enum, a record, or a
// type of another form in the field type.
func (l *loader) readTypeDefinition(at place, depth int) *Type {
	f := l.fields(
		at,
		"type", "items", "fields", "symbols", "name", "label", "doc", "inputBinding",
		"outputBinding", "streamable", "format", "id", "secondaryFiles",
	)
	kind := Kind("")
	if inner, ok := f["type"]; ok && inner.node.Kind == yaml.ScalarNode {
		kind = Kind(inner.node.Value)
	}
	t := &Type{Kind: kind}
	if typeName, ok := f["name"]; ok {
		t.Name = localName(l.text(typeName))
	}
	if binding, ok := f["inputBinding"]; ok {
		t.Binding = l.readBinding(binding)
	}
	switch kind {
	case KindArray:
		items, ok := f["items"]
		if !ok {
			l.fail(at, "items is missing in an array")
			return &Type{Kind: KindAny}
		}
		t.Items = l.readType(items, depth+1)
	case KindEnum:
		for _, symbol := range l.texts(f["symbols"]) {
			t.Symbols = append(t.Symbols, localName(symbol))
		}
		if len(t.Symbols) == 0 {
			l.fail(at, "symbols is missing in an enum")
		}
	case KindRecord:
		l.named(f["fields"], "name", "type", func(fieldName string, x place) {
			t.Fields = append(t.Fields, l.readRecordField(fieldName, x, depth))
		})
	default:
		if inner, ok := f["type"]; ok {
			return l.readType(inner, depth+1)
		}
		l.fail(at, "the type is missing")
		return &Type{Kind: KindAny}
	}
	return t
}

// readRecordField reads one field of a record at the given depth.
func (l *loader) readRecordField(fieldName string, at place, depth int) Field {
	f := l.fields(
		at,
		"name", "type", "label", "doc", "inputBinding", "outputBinding", "secondaryFiles",
		"streamable", "format", "loadContents", "loadListing",
	)
	field := Field{
		Name:           fieldName,
		Type:           l.readType(f["type"].or(at), depth+1),
		SecondaryFiles: l.readSecondary(f["secondaryFiles"]),
	}
	if binding, ok := f["inputBinding"]; ok {
		field.Binding = l.readBinding(binding)
	}
	if binding, ok := f["outputBinding"]; ok {
		field.OutputBinding = l.readOutputBinding(binding)
	}
	return field
}

// or returns the place, and where the field is missing its name within parent.
func (at place) or(parent place) place {
	if at.node == nil {
		return place{parent.file, parent.field + ".type", nil}
	}
	return at
}

// typeName reads a type's name, with "?" for optional or "[]" for an array of it behind it:
// one of the language's own, or one that SchemaDefRequirement defines.
func (l *loader) typeName(at place, name string) *Type {
	if base, ok := strings.CutSuffix(name, "?"); ok {
		t := l.typeName(at, base)
		if t.Optional() {
			return t
		}
		if t.Kind == KindUnion {
			return &Type{Kind: KindUnion, Union: append([]*Type{{Kind: KindNull}}, t.Union...)}
		}
		return &Type{Kind: KindUnion, Union: []*Type{{Kind: KindNull}, t}}
	}
	if base, ok := strings.CutSuffix(name, "[]"); ok {
		return &Type{Kind: KindArray, Items: l.typeName(at, base)}
	}
	if slices.Contains(plainKinds, Kind(name)) {
		return &Type{Kind: Kind(name)}
	}
	if file, fragment, err := resolve(at.file, name); err == nil && fragment != "" {
		for _, at := range []string{file, at.file} { // where it was defined, or imported to
			if t := l.types[at+"#"+localName(fragment)]; t != nil {
				return t
			}
		}
	}
	if t := l.types[at.file+"#"+name]; t != nil {
		return t
	}
	l.fail(at, "no such type %q; expected a type's name, with ? or [] behind it, or a definition", shorten(name))
	return &Type{Kind: KindAny}
}

// mayFlow reports whether a value of one type may be one of another: whether a source can
// be connected to a sink ("Workflow", WorkflowStepInput). Where that depends on the value
// it may.
func mayFlow(from, to *Type) bool {
	if from.Kind == KindAny || to.Kind == KindAny {
		return from.Kind != KindNull
	}
	if from.Kind == KindUnion {
		return slices.ContainsFunc(from.Union, func(u *Type) bool { return mayFlow(u, to) })
	}
	if to.Kind == KindUnion {
		return slices.ContainsFunc(to.Union, func(u *Type) bool { return mayFlow(from, u) })
	}
	switch to.Kind {
	case KindLong, KindFloat, KindDouble:
		return from.Kind == to.Kind || slices.Contains(narrowerKinds[to.Kind], from.Kind)
	case KindArray:
		return from.Kind == KindArray && mayFlow(from.Items, to.Items)
	case KindRecord:
		return recordMayFlow(from, to)
	case KindEnum:
		return from.Kind == KindString ||
			from.Kind == KindEnum &&
				slices.ContainsFunc(from.Symbols, func(s string) bool { return slices.Contains(to.Symbols, s) })
	case KindString:
		return from.Kind == KindString || from.Kind == KindEnum
	}
	return from.Kind == to.Kind
}

// narrowerKinds are the kinds of number, by kind, that may become one of it.
var narrowerKinds = map[Kind][]Kind{
	KindLong:   {KindInt},
	KindFloat:  {KindInt, KindLong, KindDouble},
	KindDouble: {KindInt, KindLong, KindFloat},
}

// recordMayFlow reports whether a value may be one of the record type to: whether it is a
// record with the fields that are required, each of a type that may flow.
func recordMayFlow(from, to *Type) bool {
	if from.Kind != KindRecord {
		return false
	}
	for _, field := range to.Fields {
		i := slices.IndexFunc(from.Fields, func(f Field) bool { return f.Name == field.Name })
		if i < 0 && !field.Type.Optional() || i >= 0 && !mayFlow(from.Fields[i].Type, field.Type) {
			return false
		}
	}
	return true
}

// Check returns an error that says why a value is not one of the type, nil if it is.
func (t *Type) Check(v any) error {
	switch t.Kind {
	case KindArray:
		if list, ok := v.([]any); ok {
			return t.checkItems(list)
		}
	case KindRecord:
		if record, ok := v.(map[string]any); ok {
			return t.checkFields(record)
		}
	case KindUnion:
		if slices.ContainsFunc(t.Union, func(u *Type) bool { return u.Check(v) == nil }) {
			return nil
		}
	default:
		if t.Kind.holds(v) && (t.Kind != KindEnum || slices.Contains(t.Symbols, v.(string))) {
			return nil
		}
	}
	return fmt.Errorf("expected %s, found %s", t, describe(v))
}

// checkItems checks the items of a list against an array type.
func (t *Type) checkItems(list []any) error {
	for i, item := range list {
		if err := t.Items.Check(item); err != nil {
			return fmt.Errorf("[%d]: %w", i, err)
		}
	}
	return nil
}

// checkFields checks the fields of a record against a record type.
func (t *Type) checkFields(record map[string]any) error {
	for _, field := range t.Fields {
		if err := field.Type.Check(record[field.Name]); err != nil {
			return fmt.Errorf("%s: %w", field.Name, err)
		}
	}
	return nil
}

// holds reports whether a value is of a kind without parts. For an enum it reports whether
// the value is a string; symbols are not looked up. A kind that is not known holds all.
func (k Kind) holds(v any) bool {
	switch k {
	case KindAny:
		return v != nil
	case KindNull:
		return v == nil
	case KindBoolean:
		_, ok := v.(bool)
		return ok
	case KindInt:
		n, ok := v.(int64)
		return ok && n >= math.MinInt32 && n <= math.MaxInt32
	case KindLong:
		_, ok := v.(int64)
		return ok
	case KindFloat, KindDouble:
		switch v.(type) {
		case int64, float64:
			return true
		}
		return false
	case KindString, KindEnum:
		_, ok := v.(string)
		return ok
	case KindFile, KindDirectory:
		return classOf(v) == string(k)
	}
	return true
}

// classOf returns the class of a File or a Directory, "" for other values.
func classOf(v any) string {
	m, _ := v.(map[string]any)
	c, _ := m["class"].(string)
	return c
}

// describe names a value in a message: its kind, and a number or a text itself.
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
