package cwl

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v4"
)

// Load parses and checks a process in a bundle, with everything that it refers to. entry is a
// file name, optionally followed by "#id" to select one of several processes in the file; the
// default id is "main" for a file with several. The error is of type Problems and lists all of
// them. The returned warnings are about hints that are ignored.
func Load(bundle Bundle, entry string) (*Process, Problems, error) {
	size := 0
	for _, b := range bundle {
		size += len(b)
	}
	if size > maxBundleBytes {
		return nil, nil, Problems{
			{File: entry, Reason: fmt.Sprintf("the bundle has %d bytes, which exceeds the limit of %d", size, maxBundleBytes)},
		}
	}
	l := &loader{bundle: bundle, parsed: map[string]*yaml.Node{}, types: map[string]*Type{}}
	file, fragment, _ := strings.Cut(entry, "#")
	p := l.loadProcess(location{file: file}, file, fragment, Requirements{}, nil)
	if p != nil && len(l.problems) == 0 {
		l.checkProcess(p)
	}
	if len(l.problems) > 0 {
		return nil, l.warnings, l.problems
	}
	return p, l.warnings, nil
}

// loadProcess parses one process of a file. from is the location that refers to it. outer lists
// the enclosing processes by file and id, to detect processes that contain themselves.
func (l *loader) loadProcess(from location, file, fragment string, inherited Requirements, outer []string) *Process {
	n, err := l.parseFile(file)
	if err != nil {
		var problems Problems
		if errors.As(err, &problems) {
			l.problems = append(l.problems, problems...)
		} else {
			l.errorf(from, "%v", err)
		}
		return nil
	}
	document := location{file: file, node: n}
	version := l.readStringField(document, "cwlVersion")
	if graph, ok := findField(document, "$graph"); ok {
		want := cmp.Or(fragment, "main")
		process, ok := l.findInGraph(graph, want, from)
		if !ok {
			return nil
		}
		return l.readProcess(process, version, inherited, append(outer, file+"#"+want))
	}
	if fragment != "" && idOf(n) != fragment {
		l.errorf(from, "%s has no process %q", file, fragment)
		return nil
	}
	return l.readProcess(document, version, inherited, append(outer, file+"#"))
}

// findField returns the first field with the given name in a mapping. It returns false if there
// is none, or if a is not a mapping.
func findField(a location, fieldName string) (location, bool) {
	if a.node.Kind != yaml.MappingNode {
		return location{}, false
	}
	for _, e := range entries(a.node) {
		if e.key.Value == fieldName {
			return a.in(fieldName, e.node), true
		}
	}
	return location{}, false
}

// findInGraph returns the process with the given id in a document's $graph. If there is none, it
// reports a problem at the reference from and returns false.
func (l *loader) findInGraph(graph location, id string, from location) (location, bool) {
	if graph.node.Kind != yaml.SequenceNode {
		l.errorf(graph, "expected a list of processes, found %s", describeNode(graph.node))
		return location{}, false
	}
	for i, node := range graph.node.Content {
		if node.Kind == yaml.MappingNode && idOf(node) == id {
			return graph.in(fmt.Sprintf("[%d]", i), node), true
		}
	}
	l.errorf(location{graph.file, from.field, from.node}, "$graph has no process %q", id)
	return location{}, false
}

// idOf returns the local name of the id of a process or an output, "" if it has none.
func idOf(n *yaml.Node) string {
	for _, e := range entries(n) {
		if e.key.Value == "id" {
			return localName(e.node.Value)
		}
	}
	return ""
}

// commonFields lists the fields that processes of all classes may have.
var commonFields = []string{
	"cwlVersion", "class", "id", "label", "doc", "inputs", "outputs", "requirements", "hints", "intent",
	"$namespaces", "$schemas",
}

// fieldsOfClass lists the fields that are specific to each class of processes.
var fieldsOfClass = map[string][]string{
	classTool: {
		"baseCommand", "arguments", "stdin", "stdout", "stderr",
		"successCodes", "temporaryFailCodes", "permanentFailCodes",
	},
	classExpressionTool: {"expression"},
	classWorkflow:       {"steps"},
}

// readProcess parses the process at the given location. version is the cwlVersion of the
// enclosing document. The last element of outer is the process itself.
func (l *loader) readProcess(at location, version string, inherited Requirements, outer []string) *Process {
	if len(outer) > maxNesting || slices.Contains(outer[:max(0, len(outer)-1)], outer[len(outer)-1]) {
		l.errorf(at, "is within itself")
		return nil
	}
	class, ownVersion, ok := l.readClassAndVersion(at)
	if !ok {
		return nil
	}
	if ownVersion != nil {
		version = *ownVersion
	}
	classFields, ok := fieldsOfClass[class]
	if !ok {
		l.errorf(at, "class is missing; expected CommandLineTool, ExpressionTool or Workflow")
		return nil
	}
	f := l.fields(at, slices.Concat(classFields, commonFields)...)
	l.checkVersion(at, f, version)
	p := &Process{Class: class, ID: idOf(at.node), Requirements: inherited, where: at}
	if label, ok := f["label"]; ok {
		p.Label = l.readString(label)
	}
	l.readRequirements(&p.Requirements, f["requirements"], true)
	l.readRequirements(&p.Requirements, f["hints"], false)
	l.readParameters(p, f)
	switch class {
	case classTool:
		p.Tool = l.readTool(at, f)
	case classExpressionTool:
		if expression, ok := f["expression"]; ok {
			p.Expression = l.readString(expression)
		} else {
			l.errorf(at, "expression is missing")
		}
	case classWorkflow:
		if _, ok := f["steps"]; !ok {
			l.errorf(at, "steps is missing")
		}
		l.forEachNamed(f["steps"], "id", "", func(id string, x location) {
			if step := l.readStep(id, x, p, version, outer); step != nil {
				p.Steps = append(p.Steps, step)
			}
		})
	}
	return p
}

// readClassAndVersion reads the class of a process, "" if it has none, and its own cwlVersion,
// nil if it has none. It returns false if the class is unknown, in which case the process can't
// be parsed any further.
func (l *loader) readClassAndVersion(at location) (class string, version *string, ok bool) {
	if at.node == nil || at.node.Kind != yaml.MappingNode {
		return "", nil, true
	}
	for _, e := range entries(at.node) {
		switch e.key.Value {
		case "class":
			class = l.readOneOf(at.in("class", e.node), classTool, classExpressionTool, classWorkflow)
			if class == "" && !isNull(e.node) {
				return "", nil, false
			}
		case "cwlVersion":
			text := l.readString(at.in("cwlVersion", e.node))
			version = &text
		}
	}
	return class, version, true
}

// checkVersion reports a missing or unsupported version. f holds the fields of the process at
// the given location.
func (l *loader) checkVersion(at location, f map[string]location, version string) {
	switch version {
	case "v1.2", "v1.1", "v1.0":
	case "":
		l.errorf(at, "cwlVersion is missing; expected v1.2")
	default:
		l.errorf(f["cwlVersion"].orElse(at), "version %q is not supported; expected v1.2", version)
	}
}

// readParameters reads the inputs and outputs of a process from its fields.
func (l *loader) readParameters(p *Process, f map[string]location) {
	for _, fieldName := range []string{"inputs", "outputs"} {
		if _, ok := f[fieldName]; !ok {
			l.errorf(p.where, "%s is missing", fieldName)
		}
	}
	l.forEachNamed(f["inputs"], "id", "type", func(id string, x location) {
		p.Inputs = append(p.Inputs, l.readParameter(id, p.ID, x, p.Class, true))
	})
	l.forEachNamed(f["outputs"], "id", "type", func(id string, x location) {
		p.Outputs = append(p.Outputs, l.readParameter(id, p.ID, x, p.Class, false))
	})
	l.checkUnique(p.Inputs, "inputs")
	l.checkUnique(p.Outputs, "outputs")
}

// orElse returns the location, or fallback if the field is missing.
func (at location) orElse(fallback location) location {
	if at.node == nil {
		return fallback
	}
	return at
}

// checkUnique reports parameters with a duplicate id. fieldName is "inputs" or "outputs".
func (l *loader) checkUnique(parameters []Parameter, fieldName string) {
	seen := map[string]bool{}
	for _, p := range parameters {
		if seen[p.ID] {
			l.errorf(p.where, "%s %q is given twice", fieldName, p.ID)
		}
		seen[p.ID] = true
	}
}

// readParameter parses an input or an output of a process. class and workflowID are the class
// and the id of that process.
func (l *loader) readParameter(id, workflowID string, at location, class string, input bool) Parameter {
	p := Parameter{ID: id, where: at}
	f := l.fields(
		at,
		"id", "type", "label", "doc", "default", "secondaryFiles", "streamable", "format",
		"loadContents", "loadListing", "inputBinding", "outputBinding", "outputSource", "linkMerge", "pickValue",
	)
	typeField := f["type"]
	if typeField.node != nil && typeField.node.Kind == yaml.ScalarNode &&
		slices.Contains([]string{"stdin", "stdout", "stderr"}, typeField.node.Value) &&
		class == classTool {
		if (typeField.node.Value == "stdin") != input {
			l.errorf(typeField, "%s can't be the type of this", typeField.node.Value)
		}
		p.Stream, p.Type = typeField.node.Value, &Type{Kind: KindFile}
	} else {
		p.Type = l.readType(typeField.orMissingType(at), 0)
	}
	if d, ok := f["default"]; ok {
		p.Default = decodeValue(d.node)
		if err := p.Type.Check(p.Default); err != nil && p.Default != nil {
			l.errorf(d, "%v", err)
		}
	}
	p.SecondaryFiles = l.readSecondaryFiles(f["secondaryFiles"])
	p.Format = l.readStrings(f["format"])
	p.LoadContents = l.readBool(f["loadContents"], false)
	if b, ok := f["inputBinding"]; ok {
		p.Binding = l.readBinding(b)
	}
	if b, ok := f["outputBinding"]; ok {
		p.OutputBinding = l.readOutputBinding(b)
	}
	for _, s := range l.readStrings(f["outputSource"]) {
		p.Source = append(p.Source, sourceName(s, workflowID))
	}
	p.LinkMerge = l.readOneOf(f["linkMerge"], MergeNested, MergeFlattened)
	p.PickValue = l.readOneOf(f["pickValue"], PickFirst, PickOnly, PickAll)
	return p
}

// sourceName returns a source reference as "step/output" or "input", without the prefix that
// packed documents add: "#main/step/output". workflow is the id of the enclosing workflow.
func sourceName(s, workflow string) string {
	i := strings.LastIndex(s, "#")
	if i < 0 {
		return s
	}
	s = s[i+1:]
	if rest, ok := strings.CutPrefix(s, workflow+"/"); ok && workflow != "" {
		return rest
	}
	if parts := strings.Split(s, "/"); len(parts) > 2 {
		s = strings.Join(parts[len(parts)-2:], "/")
	}
	return s
}

// readSecondaryFiles parses the secondaryFiles field: one pattern or a list of patterns.
func (l *loader) readSecondaryFiles(at location) []SecondaryFile {
	if isNull(at.node) {
		return nil
	}
	one := func(x location) SecondaryFile {
		if x.node.Kind == yaml.ScalarNode {
			p, optional := strings.CutSuffix(l.readString(x), "?")
			if optional {
				return SecondaryFile{Pattern: p, Required: "false"}
			}
			return SecondaryFile{Pattern: p}
		}
		f := l.fields(x, "pattern", "required")
		s := SecondaryFile{Pattern: l.readString(f["pattern"])}
		if s.Pattern == "" {
			l.errorf(x, "pattern is missing")
		}
		if q, ok := f["required"]; ok && !isNull(q.node) {
			s.Required = q.node.Value
		}
		return s
	}
	if at.node.Kind != yaml.SequenceNode {
		return []SecondaryFile{one(at)}
	}
	var out []SecondaryFile
	for i, c := range at.node.Content {
		out = append(out, one(at.in(fmt.Sprintf("[%d]", i), c)))
	}
	return out
}

// readScalar reads a number or an expression and returns it as a string.
func (l *loader) readScalar(at location) string {
	if isNull(at.node) {
		return ""
	}
	if at.node.Kind != yaml.ScalarNode {
		l.errorf(at, "expected a number or an expression, found %s", describeNode(at.node))
		return ""
	}
	if tag := at.node.ShortTag(); tag == "!!str" && !strings.Contains(at.node.Value, "$") {
		l.errorf(at, "expected a number or an expression, found %s", describeNode(at.node))
	}
	return at.node.Value
}
