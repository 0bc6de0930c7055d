package cwl

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"go.yaml.in/yaml/v4"
)

// Kind is the kind of a type.
type Kind string

// Kinds of types (CommandLineTool, "CWLType").
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

// builtinKinds lists the kinds that are written as a name alone.
var builtinKinds = []Kind{
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

// Type is a CWL type.
type Type struct {
	Kind    Kind
	Name    string // of a record or an enum; "" if it has none
	Items   *Type  // of an array
	Fields  []Field
	Symbols []string
	Union   []*Type

	Binding *Binding // command line binding of the items of an array, or of a record as a whole
}

// Field is a field of a record.
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

// String returns the type in a short readable form, for messages.
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

// readType parses a type in any of its forms, including the Schema Salad "Type DSL" ("File?",
// "int[]"). depth is the nesting depth of the type. If the type is invalid, it reports a problem
// and uses Any in its place.
func (l *loader) readType(at location, depth int) *Type {
	if depth > maxNesting {
		l.errorf(at, "is nested too deeply")
		return &Type{Kind: KindAny}
	}
	if isNull(at.node) {
		l.errorf(at, "the type is missing")
		return &Type{Kind: KindAny}
	}
	switch at.node.Kind {
	case yaml.ScalarNode:
		return l.readTypeName(at, at.node.Value)
	case yaml.SequenceNode:
		return l.readUnion(at, depth)
	}
	return l.readTypeDefinition(at, depth)
}

// readUnion parses a list of types as a union. Nested unions are flattened.
func (l *loader) readUnion(at location, depth int) *Type {
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
		l.errorf(at, "a union of no types has no values")
		return &Type{Kind: KindAny}
	case 1:
		return union.Union[0]
	}
	return union
}

// readTypeDefinition parses a type written as a mapping: an array, an enum, a record, or a
// mapping whose type field holds a type in another form.
func (l *loader) readTypeDefinition(at location, depth int) *Type {
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
		t.Name = localName(l.readString(typeName))
	}
	if binding, ok := f["inputBinding"]; ok {
		t.Binding = l.readBinding(binding)
	}
	switch kind {
	case KindArray:
		items, ok := f["items"]
		if !ok {
			l.errorf(at, "items is missing in an array")
			return &Type{Kind: KindAny}
		}
		t.Items = l.readType(items, depth+1)
	case KindEnum:
		for _, symbol := range l.readStrings(f["symbols"]) {
			t.Symbols = append(t.Symbols, localName(symbol))
		}
		if len(t.Symbols) == 0 {
			l.errorf(at, "symbols is missing in an enum")
		}
	case KindRecord:
		l.forEachNamed(f["fields"], "name", "type", func(fieldName string, x location) {
			t.Fields = append(t.Fields, l.readRecordField(fieldName, x, depth))
		})
	default:
		if inner, ok := f["type"]; ok {
			return l.readType(inner, depth+1)
		}
		l.errorf(at, "the type is missing")
		return &Type{Kind: KindAny}
	}
	return t
}

// readRecordField parses one field of a record. depth is the nesting depth of the record.
func (l *loader) readRecordField(fieldName string, at location, depth int) Field {
	f := l.fields(
		at,
		"name", "type", "label", "doc", "inputBinding", "outputBinding", "secondaryFiles",
		"streamable", "format", "loadContents", "loadListing",
	)
	field := Field{
		Name:           fieldName,
		Type:           l.readType(f["type"].orMissingType(at), depth+1),
		SecondaryFiles: l.readSecondaryFiles(f["secondaryFiles"]),
	}
	if binding, ok := f["inputBinding"]; ok {
		field.Binding = l.readBinding(binding)
	}
	if binding, ok := f["outputBinding"]; ok {
		field.OutputBinding = l.readOutputBinding(binding)
	}
	return field
}

// orMissingType returns the location, or the location of the missing type field in parent.
func (at location) orMissingType(parent location) location {
	if at.node == nil {
		return location{parent.file, parent.field + ".type", nil}
	}
	return at
}

// readTypeName parses the name of a built-in type or of one defined by SchemaDefRequirement,
// optionally followed by "?" (optional) or "[]" (array).
func (l *loader) readTypeName(at location, name string) *Type {
	if base, ok := strings.CutSuffix(name, "?"); ok {
		t := l.readTypeName(at, base)
		if t.Optional() {
			return t
		}
		if t.Kind == KindUnion {
			return &Type{Kind: KindUnion, Union: append([]*Type{{Kind: KindNull}}, t.Union...)}
		}
		return &Type{Kind: KindUnion, Union: []*Type{{Kind: KindNull}, t}}
	}
	if base, ok := strings.CutSuffix(name, "[]"); ok {
		return &Type{Kind: KindArray, Items: l.readTypeName(at, base)}
	}
	if slices.Contains(builtinKinds, Kind(name)) {
		return &Type{Kind: Kind(name)}
	}
	if file, fragment, err := resolveRef(at.file, name); err == nil && fragment != "" {
		for _, at := range []string{file, at.file} { // the file that defines it, or the file that imports it
			if t := l.types[at+"#"+localName(fragment)]; t != nil {
				return t
			}
		}
	}
	if t := l.types[at.file+"#"+name]; t != nil {
		return t
	}
	l.errorf(at, "no such type %q; expected a type name with an optional ? or [] suffix, or a definition", truncate(name))
	return &Type{Kind: KindAny}
}

// isAssignable reports whether a source of type from can be connected to a sink of type to
// ("Workflow", WorkflowStepInput). If that depends on the value, it returns true.
func isAssignable(from, to *Type) bool {
	if from.Kind == KindAny || to.Kind == KindAny {
		return from.Kind != KindNull
	}
	if from.Kind == KindUnion {
		return slices.ContainsFunc(from.Union, func(u *Type) bool { return isAssignable(u, to) })
	}
	if to.Kind == KindUnion {
		return slices.ContainsFunc(to.Union, func(u *Type) bool { return isAssignable(from, u) })
	}
	switch to.Kind {
	case KindLong, KindFloat, KindDouble:
		return from.Kind == to.Kind || slices.Contains(convertibleKinds[to.Kind], from.Kind)
	case KindArray:
		return from.Kind == KindArray && isAssignable(from.Items, to.Items)
	case KindRecord:
		return isRecordAssignable(from, to)
	case KindEnum:
		return from.Kind == KindString ||
			from.Kind == KindEnum &&
				slices.ContainsFunc(from.Symbols, func(s string) bool { return slices.Contains(to.Symbols, s) })
	case KindString:
		return from.Kind == KindString || from.Kind == KindEnum
	}
	return from.Kind == to.Kind
}

// convertibleKinds maps each numeric kind to the other kinds that can be assigned to it.
var convertibleKinds = map[Kind][]Kind{
	KindLong:   {KindInt},
	KindFloat:  {KindInt, KindLong, KindDouble},
	KindDouble: {KindInt, KindLong, KindFloat},
}

// isRecordAssignable reports whether from is a record type with all required fields of the record
// type to, and all fields that both have are assignable.
func isRecordAssignable(from, to *Type) bool {
	if from.Kind != KindRecord {
		return false
	}
	for _, field := range to.Fields {
		i := slices.IndexFunc(from.Fields, func(f Field) bool { return f.Name == field.Name })
		if i < 0 && !field.Type.Optional() || i >= 0 && !isAssignable(from.Fields[i].Type, field.Type) {
			return false
		}
	}
	return true
}

// Check returns nil if a value is of the type, or an error that explains why it is not.
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
		if t.Kind.accepts(v) && (t.Kind != KindEnum || slices.Contains(t.Symbols, v.(string))) {
			return nil
		}
	}
	return fmt.Errorf("expected %s, found %s", t, describeValue(v))
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

// accepts reports whether a value is of a kind that is not composite. For an enum it only checks
// that the value is a string; it does not look at the symbols. An unknown kind accepts all values.
func (k Kind) accepts(v any) bool {
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

// classOf returns the class of a File or Directory object, "" for other values.
func classOf(v any) string {
	m, _ := v.(map[string]any)
	c, _ := m["class"].(string)
	return c
}

// describeValue returns the kind of a value for messages, and for integers and strings the value.
func describeValue(v any) string {
	switch x := v.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case int64:
		return fmt.Sprintf("the whole number %d", x)
	case float64:
		return "a floating-point number"
	case string:
		return fmt.Sprintf("%q", truncate(x))
	case []any:
		return "a list"
	}
	if c := classOf(v); c != "" {
		return "a " + c
	}
	return "a record"
}
