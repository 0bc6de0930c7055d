package cwl

import (
	"fmt"
	"slices"
	"strings"
)

// check finds what is wrong between the parts of a process: sources that don't exist or
// don't fit, features used without their requirement, cycles, expressions that don't parse.
func (l *loader) check(p *Process) {
	l.checkExpressions(p)
	if p.Class != classWorkflow {
		if p.Class == classExpressionTool && p.Needs.JavaScript == nil &&
			strings.HasPrefix(strings.TrimSpace(p.Expression), "${") {
			l.fail(p.where.in("expression", p.where.node), "uses JavaScript without InlineJavascriptRequirement")
		}
		return
	}
	types := l.sourceTypes(p)
	for _, s := range p.Steps {
		l.checkStep(p, s, types)
		l.check(s.Run)
	}
	for i := range p.Outputs {
		o := &p.Outputs[i]
		if len(o.Source) == 0 {
			l.fail(o.where, "outputSource is missing")
		}
		l.checkLink(p, types, link{
			where:   o.where,
			sources: o.Source,
			several: len(o.Source) > 1,
			merge:   o.LinkMerge,
			pick:    o.PickValue,
		}, o.Type)
	}
	l.checkCycles(p)
}

// sourceTypes returns the types of what may be a source in a workflow: its inputs by their
// names, the outputs of its steps by "step/output". It reports steps given twice and outputs
// that a step's process does not have.
func (l *loader) sourceTypes(p *Process) map[string]*Type {
	types := map[string]*Type{}
	for _, in := range p.Inputs {
		types[in.ID] = in.Type
	}
	seen := map[string]bool{}
	for _, s := range p.Steps {
		if seen[s.ID] {
			l.fail(s.where, "is given twice")
		}
		seen[s.ID] = true
		for _, outputID := range s.Out {
			output := s.Run.output(outputID)
			if output == nil {
				l.fail(s.where.in("out", s.where.node), "%s has no output %q", describeProcess(s.Run), outputID)
				continue
			}
			types[s.ID+"/"+outputID] = s.outputType(output)
		}
	}
	return types
}

// outputType returns the type of an output of the step's process as the step gives it: null
// as well if the step is conditional, in as many arrays as it is scattered over.
func (s *Step) outputType(output *Parameter) *Type {
	t := output.Type
	if s.When != "" {
		t = orNull(t)
	}
	for range s.dimensions() {
		t = &Type{Kind: KindArray, Items: t}
	}
	return t
}

// orNull returns the union of null and a type.
func orNull(t *Type) *Type {
	return &Type{Kind: KindUnion, Union: []*Type{{Kind: KindNull}, t}}
}

// dimensions returns how many arrays a scatter nests the step's outputs in.
func (s *Step) dimensions() int {
	switch {
	case len(s.Scatter) == 0:
		return 0
	case s.Method == NestedCrossProduct:
		return len(s.Scatter)
	}
	return 1
}

// describeProcess names a process in messages: its class, and its id if it has one.
func describeProcess(p *Process) string {
	if p.ID != "" {
		return p.Class + " " + p.ID
	}
	return p.Class
}

// checkStep checks a step of a workflow: the features that it uses, its inputs against their
// sources and against those of the process that it runs. types are those of sourceTypes.
func (l *loader) checkStep(p *Process, s *Step, types map[string]*Type) {
	if s.Run.Class == classWorkflow && !s.Needs.Subworkflow {
		l.fail(s.where.in("run", s.where.node), "is a workflow; SubworkflowFeatureRequirement is missing")
	}
	if len(s.Scatter) > 0 && !s.Needs.Scatter {
		l.fail(s.where.in("scatter", s.where.node), "ScatterFeatureRequirement is missing")
	}
	given := map[string]bool{}
	for i := range s.In {
		in := &s.In[i]
		if given[in.ID] {
			l.fail(in.where, "is given twice")
		}
		given[in.ID] = true
		l.checkStepInput(p, s, in, types)
	}
	for _, input := range s.Scatter {
		if !given[input] {
			l.fail(s.where.in("scatter", s.where.node), "%q is not an input of the step", input)
		}
	}
	for _, param := range s.Run.Inputs {
		if !given[param.ID] && param.Default == nil && !param.Type.Optional() {
			l.fail(s.where.in("in", s.where.node), "input %q of %s is missing", param.ID, describeProcess(s.Run))
		}
	}
}

// checkStepInput checks one input of a step: the features that it uses, and its sources
// against the type that the step's process expects.
func (l *loader) checkStepInput(p *Process, s *Step, in *StepInput, types map[string]*Type) {
	if in.ValueFrom != "" && !s.Needs.StepInputs {
		l.fail(in.where, "valueFrom is used; StepInputExpressionRequirement is missing")
	}
	if len(in.Source) > 1 && !s.Needs.MultiInput {
		l.fail(in.where, "has several sources; MultipleInputFeatureRequirement is missing")
	}
	l.checkLink(p, types, link{
		where:   in.where,
		sources: in.Source,
		several: in.List && len(in.Source) > 1,
		merge:   in.LinkMerge,
		pick:    in.PickValue,
	}, s.expectedType(in))
}

// expectedType returns the type that the sources of a step's input must have, nil for any:
// where the process has no such input, or an expression makes its value.
func (s *Step) expectedType(in *StepInput) *Type {
	param := s.Run.input(in.ID)
	if param == nil || in.ValueFrom != "" {
		return nil
	}
	want := param.Type
	if param.Default != nil || in.Default != nil {
		want = orNull(want)
	}
	if slices.Contains(s.Scatter, in.ID) {
		want = &Type{Kind: KindArray, Items: want}
	}
	return want
}

// link is where a value in a workflow comes from.
type link struct {
	where   place
	sources []string
	several bool   // the value is a list with an item for each source
	merge   string // linkMerge, "" if not stated
	pick    string // pickValue, "" if not stated
}

// checkLink checks that the sources of a link exist, and that their value may be one of the
// type want, nil for anything. types are those of sourceTypes.
func (l *loader) checkLink(p *Process, types map[string]*Type, valueLink link, want *Type) {
	var from []*Type
	for _, source := range valueLink.sources {
		t := types[source]
		if t == nil {
			reason := fmt.Sprintf("there is no input or step output %q", source)
			if step, _, ok := strings.Cut(source, "/"); ok && p.Step(step) != nil {
				reason = fmt.Sprintf("step %q does not list an output %q in out", step, localName(source))
			}
			l.fail(valueLink.where, "%s", reason)
			continue
		}
		from = append(from, t)
	}
	if len(from) != len(valueLink.sources) || len(from) == 0 || want == nil {
		return
	}
	got := valueLink.mergedType(from)
	if valueLink.pick != "" {
		if got.Kind != KindArray {
			if got.Kind != KindAny {
				l.fail(valueLink.where, "pickValue needs a list, found %s", got)
			}
			return
		}
		if valueLink.pick != PickAll {
			got = got.Items
		}
	}
	if !mayFlow(got, want) {
		l.fail(valueLink.where, "expected %s, but %s gives %s", want, strings.Join(valueLink.sources, ", "), got)
	}
}

// mergedType returns the type of a link's value before one is picked, from the types of its
// sources, at least one.
func (l link) mergedType(from []*Type) *Type {
	if !l.several && l.merge == "" {
		return from[0]
	}
	items := &Type{Kind: KindUnion}
	for _, t := range from {
		if l.merge == MergeFlattened && t.Kind == KindArray {
			t = t.Items
		}
		items.Union = append(items.Union, t)
	}
	return &Type{Kind: KindArray, Items: items}
}

// checkCycles reports steps that wait for themselves by way of others, each cycle at the
// input that closes it.
func (l *loader) checkCycles(p *Process) {
	const (
		visiting = 1
		visited  = 2
	)
	state := map[string]int{} // by step, 0 if not reached yet
	// visit reports false if the step is being visited already.
	var visit func(s *Step) bool
	visit = func(s *Step) bool {
		if state[s.ID] != 0 {
			return state[s.ID] == visited
		}
		state[s.ID] = visiting
		defer func() { state[s.ID] = visited }()
		for _, in := range s.In {
			for _, source := range in.Source {
				id, _, ok := strings.Cut(source, "/")
				if next := p.Step(id); ok && next != nil && !visit(next) {
					l.fail(in.where, "waits for step %q, which waits for this one", id)
					return true
				}
			}
		}
		return true
	}
	for _, s := range p.Steps {
		visit(s)
	}
}

// checkExpressions parses all expressions of a process.
func (l *loader) checkExpressions(p *Process) {
	for i := range p.Inputs {
		l.checkParameterSyntax(p, &p.Inputs[i])
	}
	for i := range p.Outputs {
		l.checkParameterSyntax(p, &p.Outputs[i])
	}
	l.checkNeedsSyntax(p)
	if t := p.Tool; t != nil {
		l.checkSyntax(p.where, &p.Needs, t.Stdin, t.Stdout, t.Stderr)
		for _, argument := range t.Arguments {
			l.checkSyntax(p.where, &p.Needs, argument.Text)
			if b := argument.Binding; b != nil {
				l.checkSyntax(b.where, &p.Needs, b.Position, b.ValueFrom)
			}
		}
	}
	l.checkSyntax(p.where, &p.Needs, p.Expression)
	for _, s := range p.Steps {
		l.checkSyntax(s.where, &s.Needs, s.When)
		for _, in := range s.In {
			l.checkSyntax(in.where, &s.Needs, in.ValueFrom)
		}
	}
}

// checkSyntax parses the expressions of texts that stand at a place where needs apply.
func (l *loader) checkSyntax(at place, needs *Needs, texts ...string) {
	for _, text := range texts {
		if err := Syntax(text, needs.JavaScript != nil); err != nil {
			l.fail(at, "%v", err)
		}
	}
}

// checkParameterSyntax parses the expressions of an input or an output of a process.
func (l *loader) checkParameterSyntax(p *Process, param *Parameter) {
	if b := param.Binding; b != nil {
		l.checkSyntax(param.where, &p.Needs, b.Position, b.ValueFrom)
	}
	if b := param.OutputBinding; b != nil {
		l.checkSyntax(param.where, &p.Needs, b.OutputEval)
		l.checkSyntax(param.where, &p.Needs, b.Glob...)
	}
	for _, s := range param.SecondaryFiles {
		l.checkSyntax(param.where, &p.Needs, s.Pattern, s.Required)
	}
}

// checkNeedsSyntax parses the expressions of a process's requirements and hints.
func (l *loader) checkNeedsSyntax(p *Process) {
	needs, res := &p.Needs, &p.Needs.Resources
	l.checkSyntax(
		p.where, needs,
		res.CoresMin, res.CoresMax,
		res.RAMMin, res.RAMMax,
		res.TmpMin, res.TmpMax,
		res.OutMin, res.OutMax,
		needs.TimeLimit, needs.Reuse, needs.Accelerator,
	)
	for _, variable := range needs.Env {
		l.checkSyntax(p.where, needs, variable.Value)
	}
	if workDir := needs.WorkDir; workDir != nil {
		l.checkSyntax(p.where, needs, workDir.Listing)
		for _, entry := range workDir.Entries {
			l.checkSyntax(p.where, needs, entry.Name, entry.Entry)
		}
	}
}
