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
// file, with "#id" behind it for one of several processes in it; "main" is taken if a file
// with several names none. The error is Problems, all of them at once. Warnings are of
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
	r := &loader{bundle: bundle, parsed: map[string]*yaml.Node{}, types: map[string]*Type{}}
	file, fragment, _ := strings.Cut(entry, "#")
	p := r.load(place{file: file}, file, fragment, Needs{}, nil)
	if p != nil && len(r.problems) == 0 {
		r.check(p)
	}
	if len(r.problems) > 0 {
		return nil, r.warnings, r.problems
	}
	return p, r.warnings, nil
}

// load reads one process of a file. from is who refers to it; outer are the processes that
// it is in, by file and id: none may be in itself.
func (r *loader) load(from place, file, fragment string, inherited Needs, outer []string) *Process {
	n, err := r.open(file)
	if err != nil {
		var problems Problems
		if errors.As(err, &problems) {
			r.problems = append(r.problems, problems...)
		} else {
			r.fail(from, "%v", err)
		}
		return nil
	}
	document := place{file: file, node: n}
	version := r.textField(document, "cwlVersion")
	if graph, ok := field(document, "$graph"); ok {
		want := cmp.Or(fragment, "main")
		process, ok := r.findInGraph(graph, want, from)
		if !ok {
			return nil
		}
		return r.process(process, version, inherited, append(outer, file+"#"+want))
	}
	if fragment != "" && idOf(n) != fragment {
		r.fail(from, "%s has no process %q", file, fragment)
		return nil
	}
	return r.process(document, version, inherited, append(outer, file+"#"))
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
func (r *loader) findInGraph(graph place, id string, from place) (place, bool) {
	if graph.node.Kind != yaml.SequenceNode {
		r.fail(graph, "expected a list of processes, found %s", kindOf(graph.node))
		return place{}, false
	}
	for i, node := range graph.node.Content {
		if node.Kind == yaml.MappingNode && idOf(node) == id {
			return graph.in(fmt.Sprintf("[%d]", i), node), true
		}
	}
	r.fail(place{graph.file, from.field, from.node}, "$graph has no process %q", id)
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
	"CommandLineTool": {
		"baseCommand", "arguments", "stdin", "stdout", "stderr",
		"successCodes", "temporaryFailCodes", "permanentFailCodes",
	},
	"ExpressionTool": {"expression"},
	"Workflow":       {"steps"},
}

// process reads a process where it stands. version is the cwlVersion of the document around
// it; outer ends with the process itself.
func (r *loader) process(a place, version string, inherited Needs, outer []string) *Process {
	if len(outer) > maxNesting || slices.Contains(outer[:max(0, len(outer)-1)], outer[len(outer)-1]) {
		r.fail(a, "is within itself")
		return nil
	}
	class, ownVersion, ok := r.classAndVersion(a)
	if !ok {
		return nil
	}
	if ownVersion != nil {
		version = *ownVersion
	}
	classFields, ok := fieldsOfClass[class]
	if !ok {
		r.fail(a, "class is missing; expected CommandLineTool, ExpressionTool or Workflow")
		return nil
	}
	f := r.fields(a, slices.Concat(classFields, commonFields)...)
	r.checkVersion(a, f, version)
	p := &Process{Class: class, ID: idOf(a.node), Needs: inherited, where: a}
	if label, ok := f["label"]; ok {
		p.Label = r.text(label)
	}
	r.needs(&p.Needs, f["requirements"], true)
	r.needs(&p.Needs, f["hints"], false)
	r.readParameters(p, f)
	switch class {
	case "CommandLineTool":
		p.Tool = r.tool(a, f)
	case "ExpressionTool":
		if expression, ok := f["expression"]; ok {
			p.Expression = r.text(expression)
		} else {
			r.fail(a, "expression is missing")
		}
	case "Workflow":
		if _, ok := f["steps"]; !ok {
			r.fail(a, "steps is missing")
		}
		r.named(f["steps"], "id", "", func(id string, x place) {
			if step := r.step(id, x, p, version, outer); step != nil {
				p.Steps = append(p.Steps, step)
			}
		})
	}
	return p
}

// classAndVersion reads the class of a process, "" if it has none, and its cwlVersion, nil if
// it has none of its own. It reports false if the class is not known; reading can't go on then.
func (r *loader) classAndVersion(a place) (class string, version *string, ok bool) {
	if a.node == nil || a.node.Kind != yaml.MappingNode {
		return "", nil, true
	}
	for _, e := range entries(a.node) {
		switch e.key.Value {
		case "class":
			class = r.oneOf(a.in("class", e.node), "CommandLineTool", "ExpressionTool", "Workflow")
			if class == "" && !isNull(e.node) {
				return "", nil, false
			}
		case "cwlVersion":
			text := r.text(a.in("cwlVersion", e.node))
			version = &text
		}
	}
	return class, version, true
}

// checkVersion reports a version that is missing or not supported. f are the fields of the
// process at a.
func (r *loader) checkVersion(a place, f map[string]place, version string) {
	switch version {
	case "v1.2", "v1.1", "v1.0":
	case "":
		r.fail(a, "cwlVersion is missing; expected v1.2")
	default:
		r.fail(f["cwlVersion"].orSelf(a), "version %q is not supported; expected v1.2", version)
	}
}

// readParameters reads the inputs and outputs of a process from its fields.
func (r *loader) readParameters(p *Process, f map[string]place) {
	for _, fieldName := range []string{"inputs", "outputs"} {
		if _, ok := f[fieldName]; !ok {
			r.fail(p.where, "%s is missing", fieldName)
		}
	}
	r.named(f["inputs"], "id", "type", func(id string, x place) {
		p.Inputs = append(p.Inputs, r.parameter(id, p.ID, x, p.Class, true))
	})
	r.named(f["outputs"], "id", "type", func(id string, x place) {
		p.Outputs = append(p.Outputs, r.parameter(id, p.ID, x, p.Class, false))
	})
	r.unique(p.Inputs, "inputs")
	r.unique(p.Outputs, "outputs")
}

// orSelf returns the place, and self where the field is missing.
func (a place) orSelf(self place) place {
	if a.node == nil {
		return self
	}
	return a
}

// unique reports parameters whose id is given twice. fieldName is "inputs" or "outputs".
func (r *loader) unique(parameters []Parameter, fieldName string) {
	seen := map[string]bool{}
	for _, p := range parameters {
		if seen[p.ID] {
			r.fail(p.where, "%s %q is given twice", fieldName, p.ID)
		}
		seen[p.ID] = true
	}
}

func (r *loader) parameter(id, of string, a place, class string, input bool) Parameter {
	p := Parameter{ID: id, where: a}
	f := r.fields(
		a,
		"id",
		"type",
		"label",
		"doc",
		"default",
		"secondaryFiles",
		"streamable",
		"format",
		"loadContents",
		"loadListing",
		"inputBinding",
		"outputBinding",
		"outputSource",
		"linkMerge",
		"pickValue",
	)
	ty := f["type"]
	if ty.node != nil && ty.node.Kind == yaml.ScalarNode &&
		slices.Contains([]string{"stdin", "stdout", "stderr"}, ty.node.Value) &&
		class == "CommandLineTool" {
		if (ty.node.Value == "stdin") != input {
			r.fail(ty, "%s can't be the type of this", ty.node.Value)
		}
		p.Stream, p.Type = ty.node.Value, &Type{Kind: KindFile}
	} else {
		p.Type = r.readType(ty.or(a), 0)
	}
	if d, ok := f["default"]; ok {
		p.Default = value(d.node)
		if err := p.Type.Check(p.Default); err != nil && p.Default != nil {
			r.fail(d, "%v", err)
		}
	}
	p.SecondaryFiles = r.readSecondary(f["secondaryFiles"])
	p.Format = r.texts(f["format"])
	p.LoadContents = r.boolean(f["loadContents"], false)
	if b, ok := f["inputBinding"]; ok {
		p.Binding = r.readBinding(b)
	}
	if b, ok := f["outputBinding"]; ok {
		p.OutputBinding = r.readOutputBinding(b)
	}
	for _, s := range r.texts(f["outputSource"]) {
		p.Source = append(p.Source, sourceName(s, of))
	}
	p.LinkMerge = r.oneOf(f["linkMerge"], MergeNested, MergeFlattened)
	p.PickValue = r.oneOf(f["pickValue"], PickFirst, PickOnly, PickAll)
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

func (r *loader) readSecondary(a place) []SecondaryFile {
	if isNull(a.node) {
		return nil
	}
	one := func(x place) SecondaryFile {
		if x.node.Kind == yaml.ScalarNode {
			p, optional := strings.CutSuffix(r.text(x), "?")
			if optional {
				return SecondaryFile{Pattern: p, Required: "false"}
			}
			return SecondaryFile{Pattern: p}
		}
		f := r.fields(x, "pattern", "required")
		s := SecondaryFile{Pattern: r.text(f["pattern"])}
		if s.Pattern == "" {
			r.fail(x, "pattern is missing")
		}
		if q, ok := f["required"]; ok && !isNull(q.node) {
			s.Required = q.node.Value
		}
		return s
	}
	if a.node.Kind != yaml.SequenceNode {
		return []SecondaryFile{one(a)}
	}
	var out []SecondaryFile
	for i, c := range a.node.Content {
		out = append(out, one(a.in(fmt.Sprintf("[%d]", i), c)))
	}
	return out
}

// scalar reads a number or an expression as its text.
func (r *loader) scalar(a place) string {
	if isNull(a.node) {
		return ""
	}
	if a.node.Kind != yaml.ScalarNode {
		r.fail(a, "expected a number or an expression, found %s", kindOf(a.node))
		return ""
	}
	if tag := a.node.ShortTag(); tag == "!!str" && !strings.Contains(a.node.Value, "$") {
		r.fail(a, "expected a number or an expression, found %s", kindOf(a.node))
	}
	return a.node.Value
}

func (r *loader) readBinding(a place) *Binding {
	f := r.fields(a, "position", "prefix", "separate", "itemSeparator", "valueFrom", "loadContents", "shellQuote")
	b := &Binding{where: a, Position: r.scalar(f["position"]), NoSeparate: !r.boolean(f["separate"], true),
		LoadContents: r.boolean(f["loadContents"], false), NoShellQuote: !r.boolean(f["shellQuote"], true)}
	if x, ok := f["prefix"]; ok {
		b.Prefix = r.text(x)
	}
	if x, ok := f["itemSeparator"]; ok && !isNull(x.node) {
		s := r.text(x)
		b.ItemSeparator = &s
	}
	if x, ok := f["valueFrom"]; ok {
		b.ValueFrom = x.node.Value
	}
	return b
}

func (r *loader) readOutputBinding(a place) *OutputBinding {
	f := r.fields(a, "glob", "loadContents", "loadListing", "outputEval")
	b := &OutputBinding{Glob: r.texts(f["glob"]), LoadContents: r.boolean(f["loadContents"], false)}
	if x, ok := f["outputEval"]; ok {
		b.OutputEval = r.text(x)
	}
	return b
}

// tool reads what is particular to a command line tool from the fields of the process at a.
func (r *loader) tool(a place, f map[string]place) *Tool {
	t := &Tool{
		Command: r.texts(f["baseCommand"]),
		Success: r.ints(f["successCodes"]),
		Retry:   r.ints(f["temporaryFailCodes"]),
		Failed:  r.ints(f["permanentFailCodes"]),
	}
	for _, stream := range []struct {
		field string
		to    *string
	}{{"stdin", &t.Stdin}, {"stdout", &t.Stdout}, {"stderr", &t.Stderr}} {
		if x, ok := f[stream.field]; ok && !isNull(x.node) {
			*stream.to = r.text(x)
		}
	}
	if arguments, ok := f["arguments"]; ok {
		if arguments.node.Kind != yaml.SequenceNode {
			r.fail(arguments, "expected a list, found %s", kindOf(arguments.node))
			return t
		}
		t.Arguments = r.arguments(arguments)
	}
	if len(t.Command) == 0 && len(t.Arguments) == 0 {
		r.fail(a, "a tool needs a baseCommand or arguments")
	}
	return t
}

// arguments reads a list of arguments, each a text or a binding with a valueFrom.
func (r *loader) arguments(list place) []Argument {
	var arguments []Argument
	for i, node := range list.node.Content {
		if node.Kind == yaml.ScalarNode {
			arguments = append(arguments, Argument{Text: node.Value})
			continue
		}
		x := list.in(fmt.Sprintf("[%d]", i), node)
		binding := r.readBinding(x)
		if binding.ValueFrom == "" {
			r.fail(x, "valueFrom is missing in an argument")
		}
		arguments = append(arguments, Argument{Binding: binding})
	}
	return arguments
}

// step reads a step of a workflow and the process that it runs. version is the workflow's
// cwlVersion; outer are the processes that the step is in. It returns nil if the process
// can't be read.
func (r *loader) step(id string, a place, workflow *Process, version string, outer []string) *Step {
	f := r.fields(
		a,
		"id", "label", "doc", "in", "out", "run", "when", "scatter", "scatterMethod", "requirements", "hints",
	)
	s := &Step{ID: id, Needs: workflow.Needs, where: a}
	r.needs(&s.Needs, f["requirements"], true)
	r.needs(&s.Needs, f["hints"], false)
	r.named(f["in"], "id", "source", func(inputID string, x place) {
		s.In = append(s.In, r.stepInput(inputID, workflow.ID, x))
	})
	if out, ok := f["out"]; ok {
		s.Out = r.stepOutputs(out)
	} else {
		r.fail(a, "out is missing")
	}
	if when, ok := f["when"]; ok && !isNull(when.node) {
		s.When = r.text(when)
	}
	for _, input := range r.texts(f["scatter"]) {
		s.Scatter = append(s.Scatter, localName(input))
	}
	s.Method = r.oneOf(f["scatterMethod"], DotProduct, NestedCrossProduct, FlatCrossProduct)
	if len(s.Scatter) > 1 && s.Method == "" {
		r.fail(
			a,
			"scatterMethod is missing; with several inputs expected one of %s, %s, %s",
			DotProduct, NestedCrossProduct, FlatCrossProduct,
		)
	}
	run, ok := f["run"]
	if !ok {
		r.fail(a, "run is missing")
		return nil
	}
	if s.Run = r.stepProcess(run, s.Needs, version, outer); s.Run == nil {
		return nil
	}
	return s
}

// stepInput reads an input of a step in the workflow with the id given.
func (r *loader) stepInput(id, workflowID string, a place) StepInput {
	f := r.fields(
		a,
		"id", "label", "source", "linkMerge", "pickValue", "default", "valueFrom", "loadContents", "loadListing",
	)
	in := StepInput{
		ID:           id,
		where:        a,
		LinkMerge:    r.oneOf(f["linkMerge"], MergeNested, MergeFlattened),
		PickValue:    r.oneOf(f["pickValue"], PickFirst, PickOnly, PickAll),
		LoadContents: r.boolean(f["loadContents"], false),
	}
	if source, ok := f["source"]; ok {
		in.List = source.node.Kind == yaml.SequenceNode
		for _, text := range r.texts(source) {
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
func (r *loader) stepOutputs(out place) []string {
	if out.node.Kind != yaml.SequenceNode {
		r.fail(out, "expected a list of outputs, found %s", kindOf(out.node))
		return nil
	}
	var names []string
	for i, node := range out.node.Content {
		if node.Kind == yaml.MappingNode {
			names = append(names, idOf(node))
		} else {
			names = append(names, localName(r.text(out.in(fmt.Sprintf("[%d]", i), node))))
		}
	}
	return names
}

// stepProcess reads the process that a step runs, which stands in its field run or is
// referred to there. It returns nil if it can't be read.
func (r *loader) stepProcess(run place, inherited Needs, version string, outer []string) *Process {
	if run.node.Kind == yaml.MappingNode {
		place := fmt.Sprintf("%s#%d:%d", run.file, run.node.Line, run.node.Column)
		return r.process(run, version, inherited, append(slices.Clone(outer), place))
	}
	file, fragment, err := resolve(run.file, r.text(run))
	if err != nil {
		r.fail(run, "%v", err)
		return nil
	}
	return r.load(run, file, fragment, inherited, slices.Clone(outer))
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
