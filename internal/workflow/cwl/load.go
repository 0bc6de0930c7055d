package cwl

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v4"
)

// Load reads a process of a bundle and all that it refers to, and checks it. entry is a
// file, with "#id" behind it for one of several processes in it; the default is "main" for a
// file with several. The error is Problems, all of them at once. Warnings are of
// hints that are passed over.
func Load(bundle Bundle, entry string) (*Process, Problems, error) {
	size := 0
	for _, b := range bundle {
		size += len(b)
	}
	if size > maxBundleBytes {
		return nil, nil, Problems{
			{File: entry, Reason: fmt.Sprintf("the bundle has %d bytes, more than %d", size, maxBundleBytes)},
		}
	}
	l := &loader{bundle: bundle, parsed: map[string]*yaml.Node{}, types: map[string]*Type{}}
	file, fragment, _ := strings.Cut(entry, "#")
	p := l.load(place{file: file}, file, fragment, Needs{}, nil)
	if p != nil && len(l.problems) == 0 {
		l.check(p)
	}
	if len(l.problems) > 0 {
		return nil, l.warnings, l.problems
	}
	return p, l.warnings, nil
}

// load reads one process of a file. from is who refers to it; outer are the processes that
// it is in, by file and id: none may be in itself.
func (l *loader) load(from place, file, fragment string, inherited Needs, outer []string) *Process {
	n, err := l.open(file)
	if err != nil {
		var problems Problems
		if errors.As(err, &problems) {
			l.problems = append(l.problems, problems...)
		} else {
			l.fail(from, "%v", err)
		}
		return nil
	}
	document := place{file: file, node: n}
	version := l.textField(document, "cwlVersion")
	if graph, ok := field(document, "$graph"); ok {
		want := cmp.Or(fragment, "main")
		process, ok := l.findInGraph(graph, want, from)
		if !ok {
			return nil
		}
		return l.process(process, version, inherited, append(outer, file+"#"+want))
	}
	if fragment != "" && idOf(n) != fragment {
		l.fail(from, "%s has no process %q", file, fragment)
		return nil
	}
	return l.process(document, version, inherited, append(outer, file+"#"))
}

// field returns the first field of a name in a mapping. It reports false if there is none,
// or a is no mapping.
func field(a place, fieldName string) (place, bool) {
	if a.node.Kind != yaml.MappingNode {
		return place{}, false
	}
	for _, e := range entries(a.node) {
		if e.key.Value == fieldName {
			return a.in(fieldName, e.node), true
		}
	}
	return place{}, false
}

// findInGraph returns the process with an id in a document's $graph. If there is none it
// reports that, at the reference from, and returns false.
func (l *loader) findInGraph(graph place, id string, from place) (place, bool) {
	if graph.node.Kind != yaml.SequenceNode {
		l.fail(graph, "expected a list of processes, found %s", kindOf(graph.node))
		return place{}, false
	}
	for i, node := range graph.node.Content {
		if node.Kind == yaml.MappingNode && idOf(node) == id {
			return graph.in(fmt.Sprintf("[%d]", i), node), true
		}
	}
	l.fail(place{graph.file, from.field, from.node}, "$graph has no process %q", id)
	return place{}, false
}

// idOf returns the id of a process or an output without what is before it, "" if it has none.
func idOf(n *yaml.Node) string {
	for _, e := range entries(n) {
		if e.key.Value == "id" {
			return localName(e.node.Value)
		}
	}
	return ""
}

// commonFields are the fields that processes of all classes have.
var commonFields = []string{
	"cwlVersion", "class", "id", "label", "doc", "inputs", "outputs", "requirements", "hints", "intent",
	"$namespaces", "$schemas",
}

// fieldsOfClass are the fields that only processes of a class have.
var fieldsOfClass = map[string][]string{
	classTool: {
		"baseCommand", "arguments", "stdin", "stdout", "stderr",
		"successCodes", "temporaryFailCodes", "permanentFailCodes",
	},
	classExpressionTool: {"expression"},
	classWorkflow:       {"steps"},
}

// process reads a process where it stands. version is the cwlVersion of the document around
// it; outer ends with the process itself.
func (l *loader) process(at place, version string, inherited Needs, outer []string) *Process {
	if len(outer) > maxNesting || slices.Contains(outer[:max(0, len(outer)-1)], outer[len(outer)-1]) {
		l.fail(at, "is within itself")
		return nil
	}
	class, ownVersion, ok := l.classAndVersion(at)
	if !ok {
		return nil
	}
	if ownVersion != nil {
		version = *ownVersion
	}
	classFields, ok := fieldsOfClass[class]
	if !ok {
		l.fail(at, "class is missing; expected CommandLineTool, ExpressionTool or Workflow")
		return nil
	}
	f := l.fields(at, slices.Concat(classFields, commonFields)...)
	l.checkVersion(at, f, version)
	p := &Process{Class: class, ID: idOf(at.node), Needs: inherited, where: at}
	if label, ok := f["label"]; ok {
		p.Label = l.text(label)
	}
	l.needs(&p.Needs, f["requirements"], true)
	l.needs(&p.Needs, f["hints"], false)
	l.readParameters(p, f)
	switch class {
	case classTool:
		p.Tool = l.tool(at, f)
	case classExpressionTool:
		if expression, ok := f["expression"]; ok {
			p.Expression = l.text(expression)
		} else {
			l.fail(at, "expression is missing")
		}
	case classWorkflow:
		if _, ok := f["steps"]; !ok {
			l.fail(at, "steps is missing")
		}
		l.named(f["steps"], "id", "", func(id string, x place) {
			if step := l.step(id, x, p, version, outer); step != nil {
				p.Steps = append(p.Steps, step)
			}
		})
	}
	return p
}

// classAndVersion reads the class of a process, "" if it has none, and its cwlVersion, nil if
// it has none of its own. It reports false if the class is not known; reading can't go on then.
func (l *loader) classAndVersion(at place) (class string, version *string, ok bool) {
	if at.node == nil || at.node.Kind != yaml.MappingNode {
		return "", nil, true
	}
	for _, e := range entries(at.node) {
		switch e.key.Value {
		case "class":
			class = l.oneOf(at.in("class", e.node), classTool, classExpressionTool, classWorkflow)
			if class == "" && !isNull(e.node) {
				return "", nil, false
			}
		case "cwlVersion":
			text := l.text(at.in("cwlVersion", e.node))
			version = &text
		}
	}
	return class, version, true
}

// checkVersion reports a version that is missing or not supported. f are the fields of the
// process at a.
func (l *loader) checkVersion(at place, f map[string]place, version string) {
	switch version {
	case "v1.2", "v1.1", "v1.0":
	case "":
		l.fail(at, "cwlVersion is missing; expected v1.2")
	default:
		l.fail(f["cwlVersion"].orSelf(at), "version %q is not supported; expected v1.2", version)
	}
}

// readParameters reads the inputs and outputs of a process from its fields.
func (l *loader) readParameters(p *Process, f map[string]place) {
	for _, fieldName := range []string{"inputs", "outputs"} {
		if _, ok := f[fieldName]; !ok {
			l.fail(p.where, "%s is missing", fieldName)
		}
	}
	l.named(f["inputs"], "id", "type", func(id string, x place) {
		p.Inputs = append(p.Inputs, l.parameter(id, p.ID, x, p.Class, true))
	})
	l.named(f["outputs"], "id", "type", func(id string, x place) {
		p.Outputs = append(p.Outputs, l.parameter(id, p.ID, x, p.Class, false))
	})
	l.unique(p.Inputs, "inputs")
	l.unique(p.Outputs, "outputs")
}

// orSelf returns the place, and self where the field is missing.
func (at place) orSelf(self place) place {
	if at.node == nil {
		return self
	}
	return at
}

// unique reports parameters whose id is given twice. fieldName is "inputs" or "outputs".
func (l *loader) unique(parameters []Parameter, fieldName string) {
	seen := map[string]bool{}
	for _, p := range parameters {
		if seen[p.ID] {
			l.fail(p.where, "%s %q is given twice", fieldName, p.ID)
		}
		seen[p.ID] = true
	}
}

// parameter reads an input or an output of a process of the class given. workflowID is the id
// of that process.
func (l *loader) parameter(id, workflowID string, at place, class string, input bool) Parameter {
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
			l.fail(typeField, "%s can't be the type of this", typeField.node.Value)
		}
		p.Stream, p.Type = typeField.node.Value, &Type{Kind: KindFile}
	} else {
		p.Type = l.readType(typeField.or(at), 0)
	}
	if d, ok := f["default"]; ok {
		p.Default = value(d.node)
		if err := p.Type.Check(p.Default); err != nil && p.Default != nil {
			l.fail(d, "%v", err)
		}
	}
	p.SecondaryFiles = l.readSecondary(f["secondaryFiles"])
	p.Format = l.texts(f["format"])
	p.LoadContents = l.boolean(f["loadContents"], false)
	if b, ok := f["inputBinding"]; ok {
		p.Binding = l.readBinding(b)
	}
	if b, ok := f["outputBinding"]; ok {
		p.OutputBinding = l.readOutputBinding(b)
	}
	for _, s := range l.texts(f["outputSource"]) {
		p.Source = append(p.Source, sourceName(s, workflowID))
	}
	p.LinkMerge = l.oneOf(f["linkMerge"], MergeNested, MergeFlattened)
	p.PickValue = l.oneOf(f["pickValue"], PickFirst, PickOnly, PickAll)
	return p
}

// sourceName is "step/output" or "input", whatever a reference in a workflow of that name
// had before it: packed documents write "#main/step/output".
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

// readSecondary reads secondaryFiles: one pattern or a list of them.
func (l *loader) readSecondary(at place) []SecondaryFile {
	if isNull(at.node) {
		return nil
	}
	one := func(x place) SecondaryFile {
		if x.node.Kind == yaml.ScalarNode {
			p, optional := strings.CutSuffix(l.text(x), "?")
			if optional {
				return SecondaryFile{Pattern: p, Required: "false"}
			}
			return SecondaryFile{Pattern: p}
		}
		f := l.fields(x, "pattern", "required")
		s := SecondaryFile{Pattern: l.text(f["pattern"])}
		if s.Pattern == "" {
			l.fail(x, "pattern is missing")
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

// scalar reads a number or an expression as its text.
func (l *loader) scalar(at place) string {
	if isNull(at.node) {
		return ""
	}
	if at.node.Kind != yaml.ScalarNode {
		l.fail(at, "expected a number or an expression, found %s", kindOf(at.node))
		return ""
	}
	if tag := at.node.ShortTag(); tag == "!!str" && !strings.Contains(at.node.Value, "$") {
		l.fail(at, "expected a number or an expression, found %s", kindOf(at.node))
	}
	return at.node.Value
}

// readBinding reads a command line binding.
func (l *loader) readBinding(at place) *Binding {
	f := l.fields(at, "position", "prefix", "separate", "itemSeparator", "valueFrom", "loadContents", "shellQuote")
	b := &Binding{
		where:        at,
		Position:     l.scalar(f["position"]),
		NoSeparate:   !l.boolean(f["separate"], true),
		LoadContents: l.boolean(f["loadContents"], false),
		NoShellQuote: !l.boolean(f["shellQuote"], true),
	}
	if x, ok := f["prefix"]; ok {
		b.Prefix = l.text(x)
	}
	if x, ok := f["itemSeparator"]; ok && !isNull(x.node) {
		s := l.text(x)
		b.ItemSeparator = &s
	}
	if x, ok := f["valueFrom"]; ok {
		b.ValueFrom = x.node.Value
	}
	return b
}

// readOutputBinding reads an output binding.
func (l *loader) readOutputBinding(at place) *OutputBinding {
	f := l.fields(at, "glob", "loadContents", "loadListing", "outputEval")
	b := &OutputBinding{Glob: l.texts(f["glob"]), LoadContents: l.boolean(f["loadContents"], false)}
	if x, ok := f["outputEval"]; ok {
		b.OutputEval = l.text(x)
	}
	return b
}

// tool reads what is particular to a command line tool from the fields of the process at a.
func (l *loader) tool(at place, f map[string]place) *Tool {
	t := &Tool{
		Command: l.texts(f["baseCommand"]),
		Success: l.ints(f["successCodes"]),
		Retry:   l.ints(f["temporaryFailCodes"]),
		Failed:  l.ints(f["permanentFailCodes"]),
	}
	for _, stream := range []struct {
		field string
		to    *string
	}{{"stdin", &t.Stdin}, {"stdout", &t.Stdout}, {"stderr", &t.Stderr}} {
		if x, ok := f[stream.field]; ok && !isNull(x.node) {
			*stream.to = l.text(x)
		}
	}
	if arguments, ok := f["arguments"]; ok {
		if arguments.node.Kind != yaml.SequenceNode {
			l.fail(arguments, "expected a list, found %s", kindOf(arguments.node))
			return t
		}
		t.Arguments = l.arguments(arguments)
	}
	if len(t.Command) == 0 && len(t.Arguments) == 0 {
		l.fail(at, "a tool needs a baseCommand or arguments")
	}
	return t
}

// arguments reads a list of arguments, each a text or a binding with a valueFrom.
func (l *loader) arguments(list place) []Argument {
	var arguments []Argument
	for i, node := range list.node.Content {
		if node.Kind == yaml.ScalarNode {
			arguments = append(arguments, Argument{Text: node.Value})
			continue
		}
		x := list.in(fmt.Sprintf("[%d]", i), node)
		binding := l.readBinding(x)
		if binding.ValueFrom == "" {
			l.fail(x, "valueFrom is missing in an argument")
		}
		arguments = append(arguments, Argument{Binding: binding})
	}
	return arguments
}

// step reads a step of a workflow and the process that it runs. version is the workflow's
// cwlVersion; outer are the processes that the step is in. It returns nil if the process
// can't be read.
func (l *loader) step(id string, at place, workflow *Process, version string, outer []string) *Step {
	f := l.fields(
		at,
		"id", "label", "doc", "in", "out", "run", "when", "scatter", "scatterMethod", "requirements", "hints",
	)
	s := &Step{ID: id, Needs: workflow.Needs, where: at}
	l.needs(&s.Needs, f["requirements"], true)
	l.needs(&s.Needs, f["hints"], false)
	l.named(f["in"], "id", "source", func(inputID string, x place) {
		s.In = append(s.In, l.stepInput(inputID, workflow.ID, x))
	})
	if out, ok := f["out"]; ok {
		s.Out = l.stepOutputs(out)
	} else {
		l.fail(at, "out is missing")
	}
	if when, ok := f["when"]; ok && !isNull(when.node) {
		s.When = l.text(when)
	}
	for _, input := range l.texts(f["scatter"]) {
		s.Scatter = append(s.Scatter, localName(input))
	}
	s.Method = l.oneOf(f["scatterMethod"], DotProduct, NestedCrossProduct, FlatCrossProduct)
	if len(s.Scatter) > 1 && s.Method == "" {
		l.fail(
			at,
			"scatterMethod is missing; with several inputs expected one of %s, %s, %s",
			DotProduct, NestedCrossProduct, FlatCrossProduct,
		)
	}
	run, ok := f["run"]
	if !ok {
		l.fail(at, "run is missing")
		return nil
	}
	if s.Run = l.stepProcess(run, s.Needs, version, outer); s.Run == nil {
		return nil
	}
	return s
}

// stepInput reads an input of a step in the workflow with the id given.
func (l *loader) stepInput(id, workflowID string, at place) StepInput {
	f := l.fields(
		at,
		"id", "label", "source", "linkMerge", "pickValue", "default", "valueFrom", "loadContents", "loadListing",
	)
	in := StepInput{
		ID:           id,
		where:        at,
		LinkMerge:    l.oneOf(f["linkMerge"], MergeNested, MergeFlattened),
		PickValue:    l.oneOf(f["pickValue"], PickFirst, PickOnly, PickAll),
		LoadContents: l.boolean(f["loadContents"], false),
	}
	if source, ok := f["source"]; ok {
		in.List = source.node.Kind == yaml.SequenceNode
		for _, text := range l.texts(source) {
			in.Source = append(in.Source, sourceName(text, workflowID))
		}
	}
	if x, ok := f["default"]; ok {
		in.Default = value(x.node)
	}
	if x, ok := f["valueFrom"]; ok {
		in.ValueFrom = x.node.Value
	}
	return in
}

// stepOutputs reads the names of the outputs that a step lists, each a text or a mapping
// with an id.
func (l *loader) stepOutputs(out place) []string {
	if out.node.Kind != yaml.SequenceNode {
		l.fail(out, "expected a list of outputs, found %s", kindOf(out.node))
		return nil
	}
	var names []string
	for i, node := range out.node.Content {
		if node.Kind == yaml.MappingNode {
			names = append(names, idOf(node))
		} else {
			names = append(names, localName(l.text(out.in(fmt.Sprintf("[%d]", i), node))))
		}
	}
	return names
}

// stepProcess reads the process that a step runs, which stands in its field run or is
// referred to there. It returns nil if it can't be read.
func (l *loader) stepProcess(run place, inherited Needs, version string, outer []string) *Process {
	if run.node.Kind == yaml.MappingNode {
		place := fmt.Sprintf("%s#%d:%d", run.file, run.node.Line, run.node.Column)
		return l.process(run, version, inherited, append(slices.Clone(outer), place))
	}
	file, fragment, err := resolve(run.file, l.text(run))
	if err != nil {
		l.fail(run, "%v", err)
		return nil
	}
	return l.load(run, file, fragment, inherited, slices.Clone(outer))
}

// value turns a node into a value: nil, bool, int64, float64, string, []any or
// map[string]any.
func value(n *yaml.Node) any {
	switch {
	case n == nil:
		return nil
	case n.Kind == yaml.MappingNode:
		m := make(map[string]any, len(n.Content)/2)
		for _, e := range entries(n) {
			m[e.key.Value] = value(e.node)
		}
		return m
	case n.Kind == yaml.SequenceNode:
		list := make([]any, len(n.Content))
		for i, c := range n.Content {
			list[i] = value(c)
		}
		return list
	}
	switch n.ShortTag() {
	case "!!null":
		return nil
	case "!!bool":
		var v bool
		_ = n.Decode(&v)
		return v
	case "!!int":
		var v int64
		if n.Decode(&v) == nil {
			return v
		}
		var f float64
		_ = n.Decode(&f)
		return f
	case "!!float":
		var v float64
		_ = n.Decode(&v)
		return v
	}
	return n.Value
}
