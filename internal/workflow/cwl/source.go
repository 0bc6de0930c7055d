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

// Problem is an error or a warning about a document or its inputs.
type Problem struct {
	File         string
	Line, Column int    // 1-based; 0 if unknown
	Field        string // path of the field, such as "steps.read.run"
	Reason       string // description of the problem
}

// String returns the problem on one line: FILE:LINE:COLUMN: FIELD: REASON.
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

// Problems is a list of problems in the order in which they were found.
type Problems []Problem //nolint:errname // a list that is also an error; other packages use the name

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Bundle maps slash-separated relative paths to file contents. References between documents are
// resolved only within the bundle.
type Bundle map[string][]byte

// Limits for documents.
const (
	maxBundleBytes = 16 << 20 // bytes
	maxNodes       = 200_000  // YAML nodes, with aliased nodes counted at each use
	maxNesting     = 64       // depth of nested processes, YAML nodes and types
)

// loader holds the state of one Load call: parsed files and the problems found so far.
type loader struct {
	bundle   Bundle
	parsed   map[string]*yaml.Node
	nodes    int
	problems Problems
	warnings Problems
	types    map[string]*Type // types of SchemaDefRequirement, by "file#name"
}

// location is a YAML node with its file and field path, for messages. The zero location stands
// for a missing field.
type location struct {
	file  string
	field string
	node  *yaml.Node
}

// in returns the location of a field, or of an element such as "[0]", within this one.
func (at location) in(field string, n *yaml.Node) location {
	if at.field != "" && !strings.HasPrefix(field, "[") {
		field = "." + field
	}
	return location{at.file, at.field + field, n}
}

// problem returns a Problem at the location.
func (at location) problem(format string, args ...any) Problem {
	p := Problem{File: at.file, Field: at.field, Reason: fmt.Sprintf(format, args...)}
	if at.node != nil {
		p.Line, p.Column = at.node.Line, at.node.Column
	}
	return p
}

// errorf records a problem at a location, unless the same problem is already recorded.
func (l *loader) errorf(at location, format string, args ...any) {
	p := at.problem(format, args...)
	if !slices.Contains(l.problems, p) {
		l.problems = append(l.problems, p)
	}
}

// warnf records a warning at a location.
func (l *loader) warnf(at location, format string, args ...any) {
	l.warnings = append(l.warnings, at.problem(format, args...))
}

var errTooLarge = errors.New("the document is too large or too deeply nested")

// parseFile parses a file of the bundle and caches the result.
func (l *loader) parseFile(name string) (*yaml.Node, error) {
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
	if n, err = l.resolveDirectives(name, n, 0); err != nil {
		return nil, err
	}
	l.parsed[name] = n
	return n, nil
}

// parseYAML parses one YAML or JSON document.
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

// resolveDirectives expands aliases, $import and $include within the bundle (Schema Salad,
// "Import" and "Include"). The result is a copy that shares no nodes with n.
func (l *loader) resolveDirectives(file string, n *yaml.Node, depth int) (*yaml.Node, error) {
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
			return l.resolveDirective(location{file, directive, ref}, directive, depth)
		}
	}
	out := *n
	out.Alias, out.Anchor, out.Content = nil, "", nil
	for _, child := range n.Content {
		x, err := l.resolveDirectives(file, child, depth+1)
		if err != nil {
			return nil, err
		}
		out.Content = append(out.Content, x)
	}
	return &out, nil
}

// resolveDirective returns the node that replaces an $import or $include directive: the parsed
// document, or the text of the file as a string.
func (l *loader) resolveDirective(ref location, directive string, depth int) (*yaml.Node, error) {
	target, _, err := resolveRef(ref.file, ref.node.Value)
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
	return l.resolveDirectives(target, imported, depth+1)
}

// stringNode returns a string node with the line and column of position.
func stringNode(text string, position *yaml.Node) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text, Line: position.Line, Column: position.Column}
}

// emptyMapping returns an empty mapping node with the line and column of position.
func emptyMapping(position *yaml.Node) *yaml.Node {
	return &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: position.Line, Column: position.Column}
}

// resolveRef resolves a reference in a file to the name of a file in the bundle and a fragment.
func resolveRef(file, ref string) (name, fragment string, err error) {
	name, fragment, _ = strings.Cut(ref, "#")
	if strings.Contains(name, "://") && !strings.HasPrefix(name, "file://") || strings.HasPrefix(name, "file://") ||
		path.IsAbs(name) {
		return "", "", fmt.Errorf("%q leads out of the bundle; only relative paths within it are allowed", ref)
	}
	if name == "" {
		return file, fragment, nil
	}
	name = path.Join(path.Dir(file), name)
	if name == ".." || strings.HasPrefix(name, "../") {
		return "", "", fmt.Errorf("%q leads out of the bundle; only relative paths within it are allowed", ref)
	}
	return name, fragment, nil
}

// entry is a key and value of a mapping node.
type entry struct {
	key  *yaml.Node
	node *yaml.Node
}

// fields returns the fields of a mapping by name. An unknown field is an error, unless its name
// has a namespace prefix: such extension fields are ignored ("Extensions and metadata").
func (l *loader) fields(at location, known ...string) map[string]location {
	out := map[string]location{}
	if at.node == nil || at.node.Kind != yaml.MappingNode {
		l.errorf(at, "expected a mapping, found %s", describeNode(at.node))
		return out
	}
	for _, e := range entries(at.node) {
		k := e.key.Value
		if _, twice := out[k]; twice {
			l.errorf(at.in(k, e.key), "is given twice")
			continue
		}
		if len(known) > 0 && !slices.Contains(known, k) {
			if !strings.Contains(k, ":") && !strings.HasPrefix(k, "$") {
				l.errorf(at.in(k, e.key), "no such field; expected one of %s", strings.Join(known, ", "))
			}
			continue
		}
		out[k] = at.in(k, e.node)
	}
	return out
}

// entries returns the fields of a mapping in document order.
func entries(n *yaml.Node) []entry {
	var out []entry
	for i := 0; i+1 < len(n.Content); i += 2 {
		out = append(out, entry{n.Content[i], n.Content[i+1]})
	}
	return out
}

// describeNode returns the kind of a node, or the text of a string, for messages.
func describeNode(n *yaml.Node) string {
	if n == nil {
		return "nothing"
	}
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
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
	return fmt.Sprintf("%q", truncate(n.Value))
}

// truncate limits a string to 60 bytes for messages.
func truncate(s string) string {
	if len(s) > 60 {
		return s[:57] + "..."
	}
	return s
}

// isNull reports whether a node is missing or null.
func isNull(n *yaml.Node) bool {
	return n == nil || n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null"
}

// readString reads a string. It returns "" if the field is missing or not a string.
func (l *loader) readString(at location) string {
	if at.node == nil {
		return ""
	}
	if at.node.Kind != yaml.ScalarNode || at.node.ShortTag() != "!!str" {
		l.errorf(at, "expected a string, found %s", describeNode(at.node))
		return ""
	}
	return at.node.Value
}

// readStrings reads a string or a list of strings.
func (l *loader) readStrings(at location) []string {
	if isNull(at.node) {
		return nil
	}
	if at.node.Kind != yaml.SequenceNode {
		return []string{l.readString(at)}
	}
	out := []string{}
	for i, c := range at.node.Content {
		out = append(out, l.readString(at.in(fmt.Sprintf("[%d]", i), c)))
	}
	return out
}

// readBool reads a boolean. It returns fallback if the field is missing, null or not a boolean.
func (l *loader) readBool(at location, fallback bool) bool {
	if isNull(at.node) {
		return fallback
	}
	if at.node.ShortTag() != "!!bool" {
		l.errorf(at, "expected true or false, found %s", describeNode(at.node))
		return fallback
	}
	var v bool
	_ = at.node.Decode(&v)
	return v
}

// readInts reads a list of integers.
func (l *loader) readInts(at location) []int {
	var out []int
	if isNull(at.node) {
		return nil
	}
	if at.node.Kind != yaml.SequenceNode {
		l.errorf(at, "expected a list of integers, found %s", describeNode(at.node))
		return nil
	}
	for i, c := range at.node.Content {
		var v int
		if c.ShortTag() != "!!int" || c.Decode(&v) != nil {
			l.errorf(at.in(fmt.Sprintf("[%d]", i), c), "expected an integer, found %s", describeNode(c))
			continue
		}
		out = append(out, v)
	}
	return out
}

// readOneOf reads one of the allowed strings. It returns "" if the field is missing or has another
// value.
func (l *loader) readOneOf(at location, allowed ...string) string {
	if isNull(at.node) {
		return ""
	}
	if at.node.Kind != yaml.ScalarNode || !slices.Contains(allowed, at.node.Value) {
		l.errorf(at, "expected one of %s, found %s", strings.Join(allowed, ", "), describeNode(at.node))
		return ""
	}
	return at.node.Value
}

// forEachNamed calls f for each item of a list of objects with an id, or of the equivalent
// mapping by id ("Identifier maps"). key is the field that holds the id. In a mapping by id, a
// value that isn't a mapping itself is the value of the field predicate, unless predicate is "".
func (l *loader) forEachNamed(at location, key, predicate string, f func(id string, at location)) {
	if isNull(at.node) {
		return
	}
	switch at.node.Kind {
	case yaml.MappingNode:
		l.forEachNamedInMapping(at, predicate, f)
	case yaml.SequenceNode:
		l.forEachNamedInList(at, key, f)
	default:
		l.errorf(at, "expected a list or a mapping, found %s", describeNode(at.node))
	}
}

// forEachNamedInMapping implements forEachNamed for a mapping by id.
func (l *loader) forEachNamedInMapping(at location, predicate string, f func(id string, at location)) {
	seen := map[string]bool{}
	for _, e := range entries(at.node) {
		id := e.key.Value
		if seen[id] {
			l.errorf(at.in(id, e.key), "is given twice")
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

// forEachNamedInList implements forEachNamed for a list.
func (l *loader) forEachNamedInList(at location, key string, f func(id string, at location)) {
	for i, node := range at.node.Content {
		item := at.in(fmt.Sprintf("[%d]", i), node)
		if node.Kind != yaml.MappingNode {
			l.errorf(item, "expected a mapping, found %s", describeNode(node))
			continue
		}
		id := l.readStringField(item, key)
		if id == "" {
			l.errorf(item, "%s is missing", key)
			continue
		}
		f(localName(id), at.in(localName(id), node))
	}
}

// readStringField reads one field of a mapping as a string. It returns "" if the field is missing
// or the node is not a mapping. If the field occurs several times, the last one is used.
func (l *loader) readStringField(at location, field string) string {
	text := ""
	if at.node.Kind != yaml.MappingNode {
		return text
	}
	for _, e := range entries(at.node) {
		if e.key.Value == field {
			text = l.readString(at.in(field, e.node))
		}
	}
	return text
}

// localName returns the last part of an identifier: "read" for "#main/read".
func localName(id string) string {
	if i := strings.LastIndexAny(id, "#/"); i >= 0 {
		return id[i+1:]
	}
	return id
}

// References returns the files that a document refers to by run, $import or $include, as paths
// in its bundle, for clients that assemble a bundle. References that lead out of the bundle or
// can't be resolved are omitted: Load reports them.
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
					if name, _, err := resolveRef(file, e.node.Value); err == nil && name != file && !slices.Contains(out, name) {
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
