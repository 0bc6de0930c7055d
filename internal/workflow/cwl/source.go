package cwl

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v4"
)

// Problem is one mistake in a document or in inputs, or a warning about one.
type Problem struct {
	File         string
	Line, Column int    // from 1; 0 if unknown
	Field        string // "steps.read.run"
	Reason       string // what was found and what was expected
}

// String is the problem on one line: FILE:LINE:COLUMN: FIELD: REASON.
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where += fmt.Sprintf(":%d:%d", p.Line, p.Column)
	}
	if p.Field != "" {
		where += ": " + p.Field
	}
	return where + ": " + p.Reason
}

// Problems are all that is wrong, in the order of the text.
type Problems []Problem //nolint:errname // a list that is also an error; other packages use the name

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Bundle is a set of files by their slash-separated relative paths. References between
// documents are resolved within it only.
type Bundle map[string][]byte

// Limits of documents.
const (
	maxBundleBytes = 16 << 20 // bytes
	maxNodes       = 200_000  // YAML nodes read, aliases counted each time
	maxNesting     = 64       // processes within processes, and nodes within nodes
)

// loader holds the state of one load: what has been parsed, and the problems found so far.
type loader struct {
	bundle   Bundle
	parsed   map[string]*yaml.Node
	nodes    int
	problems Problems
	warnings Problems
	types    map[string]*Type // of SchemaDefRequirement, by file and name
}

// place is a node of a file with the name of its field, for messages. A missing field is the
// zero place.
type place struct {
	file  string
	field string
	node  *yaml.Node
}

// in returns the place of a field, or of an element such as "[0]", within this one.
func (at place) in(field string, n *yaml.Node) place {
	if at.field != "" && !strings.HasPrefix(field, "[") {
		field = "." + field
	}
	return place{at.file, at.field + field, n}
}

// problem returns a problem at the place.
func (at place) problem(format string, args ...any) Problem {
	p := Problem{File: at.file, Field: at.field, Reason: fmt.Sprintf(format, args...)}
	if at.node != nil {
		p.Line, p.Column = at.node.Line, at.node.Column
	}
	return p
}

// fail reports a mistake at a place, once.
func (l *loader) fail(at place, format string, args ...any) {
	p := at.problem(format, args...)
	if !slices.Contains(l.problems, p) {
		l.problems = append(l.problems, p)
	}
}

// warn reports a warning at a place.
func (l *loader) warn(at place, format string, args ...any) {
	l.warnings = append(l.warnings, at.problem(format, args...))
}

var errTooLarge = errors.New("the document is too large or too deeply nested")

// open parses a file of the bundle, once.
func (l *loader) open(name string) (*yaml.Node, error) {
	if n, ok := l.parsed[name]; ok {
		return n, nil
	}
	b, ok := l.bundle[name]
	if !ok {
		return nil, fmt.Errorf("there is no %q in the bundle", name)
	}
	n, err := parseYAML(name, b)
	if err != nil {
		return nil, err
	}
	if n, err = l.directives(name, n, 0); err != nil {
		return nil, err
	}
	l.parsed[name] = n
	return n, nil
}

// parseYAML reads one YAML or JSON document.
func parseYAML(name string, b []byte) (*yaml.Node, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(b, &doc); err != nil {
		line, reason := 0, strings.TrimPrefix(err.Error(), "yaml: ")
		if rest, ok := strings.CutPrefix(reason, "line "); ok {
			if num, text, ok := strings.Cut(rest, ": "); ok {
				line, _ = strconv.Atoi(num)
				reason = text
			}
		}
		return nil, Problems{{File: name, Line: line, Column: min(line, 1), Reason: reason}}
	}
	if len(doc.Content) == 0 {
		return nil, Problems{{File: name, Line: 1, Column: 1, Reason: "the document is empty"}}
	}
	return doc.Content[0], nil
}

// directives follows aliases and carries out $import and $include (Schema Salad, "Import"
// and "Include"), within the bundle. What it returns shares nothing with its input.
func (l *loader) directives(file string, n *yaml.Node, depth int) (*yaml.Node, error) {
	if l.nodes++; l.nodes > maxNodes || depth > maxNesting {
		return nil, errTooLarge
	}
	for n.Kind == yaml.AliasNode {
		if l.nodes++; l.nodes > maxNodes {
			return nil, errTooLarge
		}
		n = n.Alias
	}
	if n.Kind == yaml.MappingNode && len(n.Content) == 2 {
		directive, ref := n.Content[0].Value, n.Content[1]
		if directive == "$import" || directive == "$include" {
			return l.insert(place{file, directive, ref}, directive, depth)
		}
	}
	out := *n
	out.Alias, out.Anchor, out.Content = nil, "", nil
	for _, child := range n.Content {
		x, err := l.directives(file, child, depth+1)
		if err != nil {
			return nil, err
		}
		out.Content = append(out.Content, x)
	}
	return &out, nil
}

// insert returns what the directive $import or $include at a place stands for: the parsed
// document, or the text of the file, that it refers to.
func (l *loader) insert(ref place, directive string, depth int) (*yaml.Node, error) {
	target, _, err := resolve(ref.file, ref.node.Value)
	if err != nil {
		return nil, Problems{ref.problem("%v", err)}
	}
	text, ok := l.bundle[target]
	if !ok {
		return nil, Problems{ref.problem("there is no %q in the bundle", target)}
	}
	if directive == "$include" {
		return stringNode(string(text), ref.node), nil
	}
	imported, err := parseYAML(target, text)
	if err != nil {
		return nil, err
	}
	return l.directives(target, imported, depth+1)
}

// stringNode returns a string that stands where position does.
func stringNode(text string, position *yaml.Node) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text, Line: position.Line, Column: position.Column}
}

// emptyMapping returns a mapping without fields that stands where position does.
func emptyMapping(position *yaml.Node) *yaml.Node {
	return &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: position.Line, Column: position.Column}
}

// resolve is the file and fragment that a reference in a file leads to.
func resolve(file, ref string) (name, fragment string, err error) {
	name, fragment, _ = strings.Cut(ref, "#")
	if strings.Contains(name, "://") && !strings.HasPrefix(name, "file://") || strings.HasPrefix(name, "file://") ||
		path.IsAbs(name) {
		return "", "", fmt.Errorf("%q leads out of the bundle; only relative paths within it are read", ref)
	}
	if name == "" {
		return file, fragment, nil
	}
	name = path.Join(path.Dir(file), name)
	if name == ".." || strings.HasPrefix(name, "../") {
		return "", "", fmt.Errorf("%q leads out of the bundle; only relative paths within it are read", ref)
	}
	return name, fragment, nil
}

// entry is one field of a mapping.
type entry struct {
	key  *yaml.Node
	node *yaml.Node
}

// fields reads a mapping. Fields outside known that have no namespace are mistakes; what
// is in a namespace is an extension and passed over ("Extensions and metadata").
func (l *loader) fields(at place, known ...string) map[string]place {
	out := map[string]place{}
	if at.node == nil || at.node.Kind != yaml.MappingNode {
		l.fail(at, "expected fields and values, found %s", kindOf(at.node))
		return out
	}
	for _, e := range entries(at.node) {
		k := e.key.Value
		if _, twice := out[k]; twice {
			l.fail(at.in(k, e.key), "is given twice")
			continue
		}
		if len(known) > 0 && !slices.Contains(known, k) {
			if !strings.Contains(k, ":") && !strings.HasPrefix(k, "$") {
				l.fail(at.in(k, e.key), "no such field; expected one of %s", strings.Join(known, ", "))
			}
			continue
		}
		out[k] = at.in(k, e.node)
	}
	return out
}

// entries returns the fields of a mapping in the order of the text.
func entries(n *yaml.Node) []entry {
	var out []entry
	for i := 0; i+1 < len(n.Content); i += 2 {
		out = append(out, entry{n.Content[i], n.Content[i+1]})
	}
	return out
}

// kindOf names what a node is, for messages.
func kindOf(n *yaml.Node) string {
	if n == nil {
		return "nothing"
	}
	switch n.Kind {
	case yaml.MappingNode:
		return "fields"
	case yaml.SequenceNode:
		return "a list"
	}
	switch n.ShortTag() {
	case "!!null":
		return "null"
	case "!!bool":
		return "a boolean"
	case "!!int", "!!float":
		return "a number"
	}
	return fmt.Sprintf("%q", shorten(n.Value))
}

// shorten cuts a text for messages to 60 bytes.
func shorten(s string) string {
	if len(s) > 60 {
		return s[:57] + "..."
	}
	return s
}

// isNull reports whether a node is missing or null.
func isNull(n *yaml.Node) bool {
	return n == nil || n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null"
}

// text reads a string.
func (l *loader) text(at place) string {
	if at.node == nil {
		return ""
	}
	if at.node.Kind != yaml.ScalarNode || at.node.ShortTag() != "!!str" {
		l.fail(at, "expected a string, found %s", kindOf(at.node))
		return ""
	}
	return at.node.Value
}

// texts reads a string or a list of strings.
func (l *loader) texts(at place) []string {
	if isNull(at.node) {
		return nil
	}
	if at.node.Kind != yaml.SequenceNode {
		return []string{l.text(at)}
	}
	out := []string{}
	for i, c := range at.node.Content {
		out = append(out, l.text(at.in(fmt.Sprintf("[%d]", i), c)))
	}
	return out
}

// boolean reads true or false, fallback if the field is missing or null.
func (l *loader) boolean(at place, fallback bool) bool {
	if isNull(at.node) {
		return fallback
	}
	if at.node.ShortTag() != "!!bool" {
		l.fail(at, "expected true or false, found %s", kindOf(at.node))
		return fallback
	}
	var v bool
	_ = at.node.Decode(&v)
	return v
}

// ints reads a list of whole numbers.
func (l *loader) ints(at place) []int {
	var out []int
	if isNull(at.node) {
		return nil
	}
	if at.node.Kind != yaml.SequenceNode {
		l.fail(at, "expected a list of whole numbers, found %s", kindOf(at.node))
		return nil
	}
	for i, c := range at.node.Content {
		var v int
		if c.ShortTag() != "!!int" || c.Decode(&v) != nil {
			l.fail(at.in(fmt.Sprintf("[%d]", i), c), "expected a whole number, found %s", kindOf(c))
			continue
		}
		out = append(out, v)
	}
	return out
}

// oneOf reads a string out of those allowed, "" if the field is missing or has another value.
func (l *loader) oneOf(at place, allowed ...string) string {
	if isNull(at.node) {
		return ""
	}
	if at.node.Kind != yaml.ScalarNode || !slices.Contains(allowed, at.node.Value) {
		l.fail(at, "expected one of %s, found %s", strings.Join(allowed, ", "), kindOf(at.node))
		return ""
	}
	return at.node.Value
}

// named reads a list of things with an id, or the same as a mapping from ids ("Identifier
// maps"), and calls f for each. key is the field that has the id; a value in a mapping that
// isn't a mapping itself stands for the field that predicate names, "" for none.
func (l *loader) named(at place, key, predicate string, f func(id string, at place)) {
	if isNull(at.node) {
		return
	}
	switch at.node.Kind {
	case yaml.MappingNode:
		l.namedInMapping(at, predicate, f)
	case yaml.SequenceNode:
		l.namedInList(at, key, f)
	default:
		l.fail(at, "expected a list or a mapping, found %s", kindOf(at.node))
	}
}

// namedInMapping is named for a mapping from ids.
func (l *loader) namedInMapping(at place, predicate string, f func(id string, at place)) {
	seen := map[string]bool{}
	for _, e := range entries(at.node) {
		id := e.key.Value
		if seen[id] {
			l.fail(at.in(id, e.key), "is given twice")
			continue
		}
		seen[id] = true
		node := e.node
		switch {
		case isNull(node):
			node = emptyMapping(e.key)
		case node.Kind != yaml.MappingNode && predicate != "":
			short := node
			node = emptyMapping(short)
			node.Content = []*yaml.Node{stringNode(predicate, short), short}
		}
		f(id, at.in(id, node))
	}
}

// namedInList is named for a list.
func (l *loader) namedInList(at place, key string, f func(id string, at place)) {
	for i, node := range at.node.Content {
		item := at.in(fmt.Sprintf("[%d]", i), node)
		if node.Kind != yaml.MappingNode {
			l.fail(item, "expected fields and values, found %s", kindOf(node))
			continue
		}
		id := l.textField(item, key)
		if id == "" {
			l.fail(item, "%s is missing", key)
			continue
		}
		f(localName(id), at.in(localName(id), node))
	}
}

// textField reads one field of a mapping as a string, "" if the field is missing or a is no
// mapping. Of a field given several times it is the last.
func (l *loader) textField(at place, field string) string {
	text := ""
	if at.node.Kind != yaml.MappingNode {
		return text
	}
	for _, e := range entries(at.node) {
		if e.key.Value == field {
			text = l.text(at.in(field, e.node))
		}
	}
	return text
}

// localName is the last part of an identifier: "#main/read" is "read".
func localName(id string) string {
	if i := strings.LastIndexAny(id, "#/"); i >= 0 {
		return id[i+1:]
	}
	return id
}

// References lists the files that a document refers to by run, $import or $include, as
// paths in its bundle, for clients that put a bundle together. References that lead out of it,
// or can't be read, are left out: Load reports them.
func References(file string, b []byte) []string {
	n, err := parseYAML(file, b)
	if err != nil {
		return nil
	}
	var out []string
	remaining := maxNodes
	var walk func(n *yaml.Node, depth int)
	walk = func(n *yaml.Node, depth int) {
		if remaining--; remaining < 0 || depth > maxNesting || n.Kind == yaml.AliasNode {
			return
		}
		if n.Kind == yaml.MappingNode {
			for _, e := range entries(n) {
				k := e.key.Value
				if (k == "run" || k == "$import" || k == "$include") && e.node.Kind == yaml.ScalarNode {
					if name, _, err := resolve(file, e.node.Value); err == nil && name != file && !slices.Contains(out, name) {
						out = append(out, name)
					}
				}
			}
		}
		for _, c := range n.Content {
			walk(c, depth+1)
		}
	}
	walk(n, 0)
	return out
}
