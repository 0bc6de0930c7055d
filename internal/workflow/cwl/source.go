// Package cwl reads, checks and evaluates workflows in the Common Workflow Language,
// version 1.2: documents, types, expressions, command lines, outputs, and what of a
// workflow is ready to run. It runs nothing itself and knows nothing of controllers.
// Headings named in comments are those of the published standard.
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

// Bundle is what a client hands over: files by their slash-separated relative paths.
// References lead nowhere else.
type Bundle map[string][]byte

// Limits of documents.
const (
	maxBundleBytes = 16 << 20 // bytes
	maxNodes       = 200_000  // YAML nodes read, aliases counted each time
	maxNesting     = 64       // processes within processes, and nodes within nodes
)

// loader is one loading under way.
type loader struct {
	bundle   Bundle
	parsed   map[string]*yaml.Node
	nodes    int
	problems Problems
	warnings Problems
	types    map[string]*Type // of SchemaDefRequirement, by file and name
}

// place is a place in a file, with the name of what stands there.
type place struct {
	file  string
	field string
	node  *yaml.Node
}

// in returns the place of a field, or of an element such as "[0]", within this one.
func (a place) in(field string, n *yaml.Node) place {
	if a.field != "" && !strings.HasPrefix(field, "[") {
		field = "." + field
	}
	return place{a.file, a.field + field, n}
}

// problem returns a problem at the place.
func (a place) problem(format string, args ...any) Problem {
	p := Problem{File: a.file, Field: a.field, Reason: fmt.Sprintf(format, args...)}
	if a.node != nil {
		p.Line, p.Column = a.node.Line, a.node.Column
	}
	return p
}

// fail reports a mistake at a place, once.
func (r *loader) fail(a place, format string, args ...any) {
	p := a.problem(format, args...)
	if !slices.Contains(r.problems, p) {
		r.problems = append(r.problems, p)
	}
}

// warn reports a warning at a place.
func (r *loader) warn(a place, format string, args ...any) {
	r.warnings = append(r.warnings, a.problem(format, args...))
}

var errTooLarge = errors.New("the document is too large or too deeply nested")

// open parses a file of the bundle, once.
func (r *loader) open(name string) (*yaml.Node, error) {
	if n, ok := r.parsed[name]; ok {
		return n, nil
	}
	b, ok := r.bundle[name]
	if !ok {
		return nil, fmt.Errorf("there is no %q in the bundle", name)
	}
	n, err := parseYAML(name, b)
	if err != nil {
		return nil, err
	}
	if n, err = r.directives(name, n, 0); err != nil {
		return nil, err
	}
	r.parsed[name] = n
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
func (r *loader) directives(file string, n *yaml.Node, depth int) (*yaml.Node, error) {
	if r.nodes++; r.nodes > maxNodes || depth > maxNesting {
		return nil, errTooLarge
	}
	for n.Kind == yaml.AliasNode {
		if r.nodes++; r.nodes > maxNodes {
			return nil, errTooLarge
		}
		n = n.Alias
	}
	if n.Kind == yaml.MappingNode && len(n.Content) == 2 {
		directive, ref := n.Content[0].Value, n.Content[1]
		if directive == "$import" || directive == "$include" {
			return r.insert(place{file, directive, ref}, directive, depth)
		}
	}
	out := *n
	out.Alias, out.Anchor, out.Content = nil, "", nil
	for _, child := range n.Content {
		x, err := r.directives(file, child, depth+1)
		if err != nil {
			return nil, err
		}
		out.Content = append(out.Content, x)
	}
	return &out, nil
}

// insert returns what the directive $import or $include at a place stands for: the parsed
// document, or the text of the file, that it refers to.
func (r *loader) insert(ref place, directive string, depth int) (*yaml.Node, error) {
	target, _, err := resolve(ref.file, ref.node.Value)
	if err != nil {
		return nil, Problems{ref.problem("%v", err)}
	}
	text, ok := r.bundle[target]
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
	return r.directives(target, imported, depth+1)
}

// stringNode returns a string that stands where place does.
func stringNode(text string, place *yaml.Node) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text, Line: place.Line, Column: place.Column}
}

// emptyMapping returns a mapping without fields that stands where place does.
func emptyMapping(place *yaml.Node) *yaml.Node {
	return &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: place.Line, Column: place.Column}
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
func (r *loader) fields(a place, known ...string) map[string]place {
	out := map[string]place{}
	if a.node == nil || a.node.Kind != yaml.MappingNode {
		r.fail(a, "expected fields and values, found %s", kindOf(a.node))
		return out
	}
	for _, e := range entries(a.node) {
		k := e.key.Value
		if _, twice := out[k]; twice {
			r.fail(a.in(k, e.key), "is given twice")
			continue
		}
		if len(known) > 0 && !slices.Contains(known, k) {
			if !strings.Contains(k, ":") && !strings.HasPrefix(k, "$") {
				r.fail(a.in(k, e.key), "no such field; expected one of %s", strings.Join(known, ", "))
			}
			continue
		}
		out[k] = a.in(k, e.node)
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
func (r *loader) text(a place) string {
	if a.node == nil {
		return ""
	}
	if a.node.Kind != yaml.ScalarNode || a.node.ShortTag() != "!!str" {
		r.fail(a, "expected a string, found %s", kindOf(a.node))
		return ""
	}
	return a.node.Value
}

// texts reads a string or a list of strings.
func (r *loader) texts(a place) []string {
	if isNull(a.node) {
		return nil
	}
	if a.node.Kind != yaml.SequenceNode {
		return []string{r.text(a)}
	}
	out := []string{}
	for i, c := range a.node.Content {
		out = append(out, r.text(a.in(fmt.Sprintf("[%d]", i), c)))
	}
	return out
}

// boolean reads true or false, fallback if the field is missing or null.
func (r *loader) boolean(a place, fallback bool) bool {
	if isNull(a.node) {
		return fallback
	}
	if a.node.ShortTag() != "!!bool" {
		r.fail(a, "expected true or false, found %s", kindOf(a.node))
		return fallback
	}
	var v bool
	_ = a.node.Decode(&v)
	return v
}

// ints reads a list of whole numbers.
func (r *loader) ints(a place) []int {
	var out []int
	if isNull(a.node) {
		return nil
	}
	if a.node.Kind != yaml.SequenceNode {
		r.fail(a, "expected a list of whole numbers, found %s", kindOf(a.node))
		return nil
	}
	for i, c := range a.node.Content {
		var v int
		if c.ShortTag() != "!!int" || c.Decode(&v) != nil {
			r.fail(a.in(fmt.Sprintf("[%d]", i), c), "expected a whole number, found %s", kindOf(c))
			continue
		}
		out = append(out, v)
	}
	return out
}

// oneOf reads a string out of those allowed, "" if the field is missing or has another value.
func (r *loader) oneOf(a place, allowed ...string) string {
	if isNull(a.node) {
		return ""
	}
	if a.node.Kind != yaml.ScalarNode || !slices.Contains(allowed, a.node.Value) {
		r.fail(a, "expected one of %s, found %s", strings.Join(allowed, ", "), kindOf(a.node))
		return ""
	}
	return a.node.Value
}

// named reads a list of things with an id, or the same as a mapping from ids ("Identifier
// maps"), and calls f for each. key is the field that has the id; a value in a mapping that
// isn't a mapping itself stands for the field that predicate names, "" for none.
func (r *loader) named(a place, key, predicate string, f func(id string, a place)) {
	if isNull(a.node) {
		return
	}
	switch a.node.Kind {
	case yaml.MappingNode:
		r.namedInMapping(a, predicate, f)
	case yaml.SequenceNode:
		r.namedInList(a, key, f)
	default:
		r.fail(a, "expected a list or a mapping, found %s", kindOf(a.node))
	}
}

// namedInMapping is named for a mapping from ids.
func (r *loader) namedInMapping(a place, predicate string, f func(id string, a place)) {
	seen := map[string]bool{}
	for _, e := range entries(a.node) {
		id := e.key.Value
		if seen[id] {
			r.fail(a.in(id, e.key), "is given twice")
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
		f(id, a.in(id, node))
	}
}

// namedInList is named for a list.
func (r *loader) namedInList(a place, key string, f func(id string, a place)) {
	for i, node := range a.node.Content {
		item := a.in(fmt.Sprintf("[%d]", i), node)
		if node.Kind != yaml.MappingNode {
			r.fail(item, "expected fields and values, found %s", kindOf(node))
			continue
		}
		id := r.textField(item, key)
		if id == "" {
			r.fail(item, "%s is missing", key)
			continue
		}
		f(localName(id), a.in(localName(id), node))
	}
}

// textField reads one field of a mapping as a string, "" if the field is missing or a is no
// mapping. Of a field given several times it is the last.
func (r *loader) textField(a place, field string) string {
	text := ""
	if a.node.Kind != yaml.MappingNode {
		return text
	}
	for _, e := range entries(a.node) {
		if e.key.Value == field {
			text = r.text(a.in(field, e.node))
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
// paths in its bundle, for clients that put a bundle together. What leads out of it, or
// can't be read, is left out: Load tells of it.
func References(file string, b []byte) []string {
	n, err := parseYAML(file, b)
	if err != nil {
		return nil
	}
	var out []string
	left := maxNodes
	var walk func(n *yaml.Node, depth int)
	walk = func(n *yaml.Node, depth int) {
		if left--; left < 0 || depth > maxNesting || n.Kind == yaml.AliasNode {
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
