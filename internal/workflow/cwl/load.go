package cwl

import (
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
	if size > mostBundle {
		return nil, nil, Problems{
			{File: entry, Reason: fmt.Sprintf("the bundle has %d bytes, more than %d", size, mostBundle)},
		}
	}
	r := &reading{bundle: bundle, parsed: map[string]*yaml.Node{}, types: map[string]*Type{}}
	file, fragment, _ := strings.Cut(entry, "#")
	p := r.load(at{file: file}, file, fragment, Needs{}, nil)
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
func (r *reading) load(from at, file, fragment string, inherited Needs, outer []string) *Process {
	n, err := r.open(file)
	if err != nil {
		var p Problems
		if errors.As(err, &p) {
			r.problems = append(r.problems, p...)
		} else {
			r.fail(from, "%v", err)
		}
		return nil
	}
	a := at{file: file, n: n}
	version := ""
	if n.Kind == yaml.MappingNode {
		for _, e := range entries(n) {
			if e.key.Value == "cwlVersion" {
				version = r.text(a.in("cwlVersion", e.node))
			}
		}
		for _, e := range entries(n) {
			if e.key.Value != "$graph" {
				continue
			}
			if e.node.Kind != yaml.SequenceNode {
				r.fail(a.in("$graph", e.node), "expected a list of processes, found %s", kindOf(e.node))
				return nil
			}
			want := fragment
			if want == "" {
				want = "main"
			}
			for i, c := range e.node.Content {
				x := a.in(fmt.Sprintf("$graph[%d]", i), c)
				if c.Kind == yaml.MappingNode && idOf(c) == want {
					return r.process(x, version, inherited, append(outer, file+"#"+want))
				}
			}
			r.fail(at{file, from.field, from.n}, "$graph has no process %q", want)
			return nil
		}
	}
	if fragment != "" && idOf(n) != fragment {
		r.fail(from, "%s has no process %q", file, fragment)
		return nil
	}
	return r.process(a, version, inherited, append(outer, file+"#"))
}

func idOf(n *yaml.Node) string {
	for _, e := range entries(n) {
		if e.key.Value == "id" {
			return localName(e.node.Value)
		}
	}
	return ""
}

var commonFields = []string{
	"cwlVersion",
	"class",
	"id",
	"label",
	"doc",
	"inputs",
	"outputs",
	"requirements",
	"hints",
	"intent",
	"$namespaces",
	"$schemas",
}

// process reads a process where it stands.
func (r *reading) process(a at, version string, inherited Needs, outer []string) *Process {
	if len(outer) > mostNesting || slices.Contains(outer[:max(0, len(outer)-1)], outer[len(outer)-1]) {
		r.fail(a, "is within itself")
		return nil
	}
	class := ""
	if a.n != nil && a.n.Kind == yaml.MappingNode {
		for _, e := range entries(a.n) {
			switch e.key.Value {
			case "class":
				class = r.oneOf(a.in("class", e.node), "", "CommandLineTool", "ExpressionTool", "Workflow")
				if class == "" && !isNull(e.node) {
					return nil
				}
			case "cwlVersion":
				version = r.text(a.in("cwlVersion", e.node))
			}
		}
	}
	var own []string
	switch class {
	case "CommandLineTool":
		own = []string{
			"baseCommand",
			"arguments",
			"stdin",
			"stdout",
			"stderr",
			"successCodes",
			"temporaryFailCodes",
			"permanentFailCodes",
		}
	case "ExpressionTool":
		own = []string{"expression"}
	case "Workflow":
		own = []string{"steps"}
	default:
		r.fail(a, "class is missing; expected CommandLineTool, ExpressionTool or Workflow")
		return nil
	}
	f := r.fields(a, append(own, commonFields...)...)
	switch version {
	case "v1.2", "v1.1", "v1.0":
	case "":
		r.fail(a, "cwlVersion is missing; expected v1.2")
	default:
		r.fail(f["cwlVersion"].orSelf(a), "version %q is not supported; expected v1.2", version)
	}
	p := &Process{Class: class, ID: idOf(a.n), Needs: inherited, where: a}
	if l, ok := f["label"]; ok {
		p.Label = r.text(l)
	}
	r.needs(&p.Needs, f["requirements"], true)
	r.needs(&p.Needs, f["hints"], false)
	for _, field := range []string{"inputs", "outputs"} {
		if _, ok := f[field]; !ok {
			r.fail(a, "%s is missing", field)
		}
	}
	r.named(f["inputs"], "id", "type", func(id string, x at) {
		p.Inputs = append(p.Inputs, r.parameter(id, p.ID, x, class, true))
	})
	r.named(f["outputs"], "id", "type", func(id string, x at) {
		p.Outputs = append(p.Outputs, r.parameter(id, p.ID, x, class, false))
	})
	r.unique(a, p.Inputs, "inputs")
	r.unique(a, p.Outputs, "outputs")
	switch class {
	case "CommandLineTool":
		p.Tool = r.tool(a, f)
	case "ExpressionTool":
		if e, ok := f["expression"]; ok {
			p.Expression = r.text(e)
		} else {
			r.fail(a, "expression is missing")
		}
	case "Workflow":
		if _, ok := f["steps"]; !ok {
			r.fail(a, "steps is missing")
		}
		r.named(f["steps"], "id", "", func(id string, x at) {
			if s := r.step(id, p.ID, x, p.Needs, version, outer); s != nil {
				p.Steps = append(p.Steps, s)
			}
		})
	}
	return p
}

func (a at) orSelf(self at) at {
	if a.n == nil {
		return self
	}
	return a
}

func (r *reading) unique(a at, list []Parameter, field string) {
	seen := map[string]bool{}
	for _, p := range list {
		if seen[p.ID] {
			r.fail(p.where, "%s %q is given twice", field, p.ID)
		}
		seen[p.ID] = true
	}
}

func (r *reading) parameter(id, of string, a at, class string, input bool) Parameter {
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
	if ty.n != nil && ty.n.Kind == yaml.ScalarNode &&
		slices.Contains([]string{"stdin", "stdout", "stderr"}, ty.n.Value) &&
		class == "CommandLineTool" {
		if (ty.n.Value == "stdin") != input {
			r.fail(ty, "%s can't be the type of this", ty.n.Value)
		}
		p.Stream, p.Type = ty.n.Value, &Type{Kind: KindFile}
	} else {
		p.Type = r.readType(ty.or(a), 0)
	}
	if d, ok := f["default"]; ok {
		p.Default = value(d.n)
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
	p.LinkMerge = r.oneOf(f["linkMerge"], "", MergeNested, MergeFlattened)
	p.PickValue = r.oneOf(f["pickValue"], "", PickFirst, PickOnly, PickAll)
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

func (r *reading) readSecondary(a at) []SecondaryFile {
	if isNull(a.n) {
		return nil
	}
	one := func(x at) SecondaryFile {
		if x.n.Kind == yaml.ScalarNode {
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
		if q, ok := f["required"]; ok && !isNull(q.n) {
			s.Required = q.n.Value
		}
		return s
	}
	if a.n.Kind != yaml.SequenceNode {
		return []SecondaryFile{one(a)}
	}
	var out []SecondaryFile
	for i, c := range a.n.Content {
		out = append(out, one(a.in(fmt.Sprintf("[%d]", i), c)))
	}
	return out
}

// scalar reads a number or an expression as its text.
func (r *reading) scalar(a at) string {
	if isNull(a.n) {
		return ""
	}
	if a.n.Kind != yaml.ScalarNode {
		r.fail(a, "expected a number or an expression, found %s", kindOf(a.n))
		return ""
	}
	if tag := a.n.ShortTag(); tag == "!!str" && !strings.Contains(a.n.Value, "$") {
		r.fail(a, "expected a number or an expression, found %s", kindOf(a.n))
	}
	return a.n.Value
}

func (r *reading) readBinding(a at) *Binding {
	f := r.fields(a, "position", "prefix", "separate", "itemSeparator", "valueFrom", "loadContents", "shellQuote")
	b := &Binding{where: a, Position: r.scalar(f["position"]), NoSeparate: !r.boolean(f["separate"], true),
		LoadContents: r.boolean(f["loadContents"], false), NoShellQuote: !r.boolean(f["shellQuote"], true)}
	if x, ok := f["prefix"]; ok {
		b.Prefix = r.text(x)
	}
	if x, ok := f["itemSeparator"]; ok && !isNull(x.n) {
		s := r.text(x)
		b.ItemSeparator = &s
	}
	if x, ok := f["valueFrom"]; ok {
		b.ValueFrom = x.n.Value
	}
	return b
}

func (r *reading) readOutputBinding(a at) *OutputBinding {
	f := r.fields(a, "glob", "loadContents", "loadListing", "outputEval")
	b := &OutputBinding{Glob: r.texts(f["glob"]), LoadContents: r.boolean(f["loadContents"], false)}
	if x, ok := f["outputEval"]; ok {
		b.OutputEval = r.text(x)
	}
	return b
}

func (r *reading) tool(a at, f map[string]at) *Tool {
	t := &Tool{
		Command: r.texts(f["baseCommand"]),
		Success: r.ints(f["successCodes"]),
		Retry:   r.ints(f["temporaryFailCodes"]),
		Failed:  r.ints(f["permanentFailCodes"]),
	}
	for field, to := range map[string]*string{"stdin": &t.Stdin, "stdout": &t.Stdout, "stderr": &t.Stderr} {
		if x, ok := f[field]; ok && !isNull(x.n) {
			*to = r.text(x)
		}
	}
	if args, ok := f["arguments"]; ok {
		if args.n.Kind != yaml.SequenceNode {
			r.fail(args, "expected a list, found %s", kindOf(args.n))
			return t
		}
		for i, c := range args.n.Content {
			x := args.in(fmt.Sprintf("[%d]", i), c)
			if c.Kind == yaml.ScalarNode {
				t.Arguments = append(t.Arguments, Argument{Text: c.Value})
				continue
			}
			b := r.readBinding(x)
			if b.ValueFrom == "" {
				r.fail(x, "valueFrom is missing in an argument")
			}
			t.Arguments = append(t.Arguments, Argument{Binding: b})
		}
	}
	if len(t.Command) == 0 && len(t.Arguments) == 0 {
		r.fail(a, "a tool needs a baseCommand or arguments")
	}
	return t
}

func (r *reading) step(id, of string, a at, inherited Needs, version string, outer []string) *Step {
	f := r.fields(
		a,
		"id",
		"label",
		"doc",
		"in",
		"out",
		"run",
		"when",
		"scatter",
		"scatterMethod",
		"requirements",
		"hints",
	)
	s := &Step{ID: id, Needs: inherited, where: a}
	r.needs(&s.Needs, f["requirements"], true)
	r.needs(&s.Needs, f["hints"], false)
	r.named(f["in"], "id", "source", func(name string, x at) {
		ff := r.fields(
			x,
			"id",
			"label",
			"source",
			"linkMerge",
			"pickValue",
			"default",
			"valueFrom",
			"loadContents",
			"loadListing",
		)
		in := StepInput{
			ID:        name,
			where:     x,
			LinkMerge: r.oneOf(ff["linkMerge"], "", MergeNested, MergeFlattened),
			PickValue: r.oneOf(
				ff["pickValue"],
				"",
				PickFirst,
				PickOnly,
				PickAll,
			),
			LoadContents: r.boolean(ff["loadContents"], false),
		}
		if src, ok := ff["source"]; ok {
			in.List = src.n.Kind == yaml.SequenceNode
			for _, t := range r.texts(src) {
				in.Source = append(in.Source, sourceName(t, of))
			}
		}
		if d, ok := ff["default"]; ok {
			in.Default = value(d.n)
		}
		if v, ok := ff["valueFrom"]; ok {
			in.ValueFrom = v.n.Value
		}
		s.In = append(s.In, in)
	})
	out, ok := f["out"]
	if !ok {
		r.fail(a, "out is missing")
	} else if out.n.Kind != yaml.SequenceNode {
		r.fail(out, "expected a list of outputs, found %s", kindOf(out.n))
	} else {
		for i, c := range out.n.Content {
			x := out.in(fmt.Sprintf("[%d]", i), c)
			if c.Kind == yaml.MappingNode {
				s.Out = append(s.Out, idOf(c))
			} else {
				s.Out = append(s.Out, localName(r.text(x)))
			}
		}
	}
	if w, ok := f["when"]; ok && !isNull(w.n) {
		s.When = r.text(w)
	}
	for _, x := range r.texts(f["scatter"]) {
		s.Scatter = append(s.Scatter, localName(x))
	}
	s.Method = r.oneOf(f["scatterMethod"], "", DotProduct, NestedCrossProduct, FlatCrossProduct)
	if len(s.Scatter) > 1 && s.Method == "" {
		r.fail(
			a,
			"scatterMethod is missing; with several inputs expected one of %s, %s, %s",
			DotProduct,
			NestedCrossProduct,
			FlatCrossProduct,
		)
	}
	run, ok := f["run"]
	switch {
	case !ok:
		r.fail(a, "run is missing")
		return nil
	case run.n.Kind == yaml.MappingNode:
		s.Run = r.process(
			run,
			version,
			s.Needs,
			append(slices.Clone(outer), fmt.Sprintf("%s#%d:%d", a.file, run.n.Line, run.n.Column)),
		)
	default:
		file, fragment, err := resolve(a.file, r.text(run))
		if err != nil {
			r.fail(run, "%v", err)
			return nil
		}
		s.Run = r.load(run, file, fragment, s.Needs, slices.Clone(outer))
	}
	if s.Run == nil {
		return nil
	}
	return s
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
