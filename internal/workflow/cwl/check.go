package cwl

import (
	"fmt"
	"slices"
	"strings"
)

// checkProcess reports inconsistencies between the parts of a process: sources that don't exist
// or have the wrong type, features used without their requirement, cycles, and expressions that
// don't parse.
func (l *loader) checkProcess(p *Process) {
	l.checkExpressions(p)
	if p.Class != classWorkflow {
		if p.Class == classExpressionTool && p.Requirements.JavaScript == nil &&
			strings.HasPrefix(strings.TrimSpace(p.Expression), "${") {
			l.errorf(p.where.in("expression", p.where.node), "uses JavaScript without InlineJavascriptRequirement")
		}
		return
	}
	types := l.sourceTypes(p)
	for _, s := range p.Steps {
		l.checkStep(p, s, types)
		l.checkProcess(s.Run)
	}
	for i := range p.Outputs {
		o := &p.Outputs[i]
		if len(o.Source) == 0 {
			l.errorf(o.where, "outputSource is missing")
		}
		l.checkLink(p, types, link{
			where:    o.where,
			sources:  o.Source,
			multiple: len(o.Source) > 1,
			merge:    o.LinkMerge,
			pick:     o.PickValue,
		}, o.Type)
	}
	l.checkCycles(p)
}

// sourceTypes returns the types of all possible sources in a workflow: its inputs by name, and
// the outputs of its steps by "step/output". It reports duplicate steps and outputs that a
// step's process does not have.
func (l *loader) sourceTypes(p *Process) map[string]*Type {
	types := map[string]*Type{}
	for _, in := range p.Inputs {
		types[in.ID] = in.Type
	}
	seen := map[string]bool{}
	for _, s := range p.Steps {
		if seen[s.ID] {
			l.errorf(s.where, "is given twice")
		}
		seen[s.ID] = true
		for _, outputID := range s.Out {
			output := s.Run.output(outputID)
			if output == nil {
				l.errorf(s.where.in("out", s.where.node), "%s has no output %q", describeProcess(s.Run), outputID)
				continue
			}
			types[s.ID+"/"+outputID] = s.outputType(output)
		}
	}
	return types
}

// outputType returns the type of a process output as seen from outside the step: nullable if
// the step is conditional, and nested in one array for each dimension of its scatter.
func (s *Step) outputType(output *Parameter) *Type {
	t := output.Type
	if s.When != "" {
		t = nullable(t)
	}
	for range s.dimensions() {
		t = &Type{Kind: KindArray, Items: t}
	}
	return t
}

// nullable returns the union of null and t.
func nullable(t *Type) *Type {
	return &Type{Kind: KindUnion, Union: []*Type{{Kind: KindNull}, t}}
}

// dimensions returns the number of nested arrays that a scatter wraps the step's outputs in.
func (s *Step) dimensions() int {
	switch {
	case len(s.Scatter) == 0:
		return 0
	case s.ScatterMethod == NestedCrossProduct:
		return len(s.Scatter)
	}
	return 1
}

// describeProcess returns the class of a process and its id, if any, for messages.
func describeProcess(p *Process) string {
	if p.ID != "" {
		return p.Class + " " + p.ID
	}
	return p.Class
}

// checkStep checks a step of a workflow: that the features that it uses are enabled, and that
// its inputs match their sources and the inputs of the process that it runs. types is the
// result of sourceTypes.
func (l *loader) checkStep(p *Process, s *Step, types map[string]*Type) {
	if s.Run.Class == classWorkflow && !s.Requirements.Subworkflow {
		l.errorf(s.where.in("run", s.where.node), "is a workflow; SubworkflowFeatureRequirement is missing")
	}
	if len(s.Scatter) > 0 && !s.Requirements.Scatter {
		l.errorf(s.where.in("scatter", s.where.node), "ScatterFeatureRequirement is missing")
	}
	given := map[string]bool{}
	for i := range s.In {
		in := &s.In[i]
		if given[in.ID] {
			l.errorf(in.where, "is given twice")
		}
		given[in.ID] = true
		l.checkStepInput(p, s, in, types)
	}
	for _, input := range s.Scatter {
		if !given[input] {
			l.errorf(s.where.in("scatter", s.where.node), "%q is not an input of the step", input)
		}
	}
	for _, param := range s.Run.Inputs {
		if !given[param.ID] && param.Default == nil && !param.Type.Optional() {
			l.errorf(s.where.in("in", s.where.node), "input %q of %s is missing", param.ID, describeProcess(s.Run))
		}
	}
}

// checkStepInput checks one input of a step: that the features that it uses are enabled, and
// that its sources have the type that the step's process expects.
func (l *loader) checkStepInput(p *Process, s *Step, in *StepInput, types map[string]*Type) {
	if in.ValueFrom != "" && !s.Requirements.StepInputExpression {
		l.errorf(in.where, "valueFrom is used; StepInputExpressionRequirement is missing")
	}
	if len(in.Source) > 1 && !s.Requirements.MultipleInput {
		l.errorf(in.where, "has several sources; MultipleInputFeatureRequirement is missing")
	}
	l.checkLink(p, types, link{
		where:    in.where,
		sources:  in.Source,
		multiple: in.SourceIsList && len(in.Source) > 1,
		merge:    in.LinkMerge,
		pick:     in.PickValue,
	}, s.expectedType(in))
}

// expectedType returns the type that the sources of a step input must have. It returns nil if
// any type is accepted: the process has no such input, or valueFrom computes the value.
func (s *Step) expectedType(in *StepInput) *Type {
	param := s.Run.input(in.ID)
	if param == nil || in.ValueFrom != "" {
		return nil
	}
	want := param.Type
	if param.Default != nil || in.Default != nil {
		want = nullable(want)
	}
	if slices.Contains(s.Scatter, in.ID) {
		want = &Type{Kind: KindArray, Items: want}
	}
	return want
}

// link describes how the value of a step input or workflow output is built from its sources.
type link struct {
	where    location
	sources  []string
	multiple bool   // the value is a list with one item per source
	merge    string // linkMerge, "" if not stated
	pick     string // pickValue, "" if not stated
}

// checkLink checks that the sources of a link exist and that their combined type is assignable
// to want; a nil want accepts anything. types is the result of sourceTypes.
func (l *loader) checkLink(p *Process, types map[string]*Type, valueLink link, want *Type) {
	var from []*Type
	for _, source := range valueLink.sources {
		t := types[source]
		if t == nil {
			reason := fmt.Sprintf("there is no input or step output %q", source)
			if step, _, ok := strings.Cut(source, "/"); ok && p.Step(step) != nil {
				reason = fmt.Sprintf("step %q does not list an output %q in out", step, localName(source))
			}
			l.errorf(valueLink.where, "%s", reason)
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
				l.errorf(valueLink.where, "pickValue needs a list, found %s", got)
			}
			return
		}
		if valueLink.pick != PickAll {
			got = got.Items
		}
	}
	if !isAssignable(got, want) {
		l.errorf(valueLink.where, "expected %s, but %s gives %s", want, strings.Join(valueLink.sources, ", "), got)
	}
}

// mergedType returns the type of a link's value after linkMerge and before pickValue. from
// holds the types of its sources and must not be empty.
func (l link) mergedType(from []*Type) *Type {
	if !l.multiple && l.merge == "" {
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

// checkCycles reports dependency cycles between steps, each at the input that closes the cycle.
func (l *loader) checkCycles(p *Process) {
	const (
		visiting = 1
		visited  = 2
	)
	state := map[string]int{} // by step id; 0 if not visited
	// visit returns false if the step is already on the current path.
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
					l.errorf(in.where, "waits for step %q, which waits for this one", id)
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
	l.checkRequirementSyntax(p)
	if t := p.Tool; t != nil {
		l.checkSyntax(p.where, &p.Requirements, t.Stdin, t.Stdout, t.Stderr)
		for _, argument := range t.Arguments {
			l.checkSyntax(p.where, &p.Requirements, argument.Text)
			if b := argument.Binding; b != nil {
				l.checkSyntax(b.where, &p.Requirements, b.Position, b.ValueFrom)
			}
		}
	}
	l.checkSyntax(p.where, &p.Requirements, p.Expression)
	for _, s := range p.Steps {
		l.checkSyntax(s.where, &s.Requirements, s.When)
		for _, in := range s.In {
			l.checkSyntax(in.where, &s.Requirements, in.ValueFrom)
		}
	}
}

// checkSyntax parses the expressions in texts, to which reqs apply. Problems are reported at the
// given location.
func (l *loader) checkSyntax(at location, reqs *Requirements, texts ...string) {
	for _, text := range texts {
		if err := CheckSyntax(text, reqs.JavaScript != nil); err != nil {
			l.errorf(at, "%v", err)
		}
	}
}

// checkParameterSyntax parses the expressions of a process input or output.
func (l *loader) checkParameterSyntax(p *Process, param *Parameter) {
	if b := param.Binding; b != nil {
		l.checkSyntax(param.where, &p.Requirements, b.Position, b.ValueFrom)
	}
	if b := param.OutputBinding; b != nil {
		l.checkSyntax(param.where, &p.Requirements, b.OutputEval)
		l.checkSyntax(param.where, &p.Requirements, b.Glob...)
	}
	for _, s := range param.SecondaryFiles {
		l.checkSyntax(param.where, &p.Requirements, s.Pattern, s.Required)
	}
}

// checkRequirementSyntax parses the expressions of a process's requirements and hints.
func (l *loader) checkRequirementSyntax(p *Process) {
	reqs, res := &p.Requirements, &p.Requirements.Resources
	l.checkSyntax(
		p.where, reqs,
		res.CoresMin, res.CoresMax,
		res.RAMMin, res.RAMMax,
		res.TmpMin, res.TmpMax,
		res.OutMin, res.OutMax,
		reqs.TimeLimit, reqs.EnableReuse, reqs.Accelerator,
	)
	for _, variable := range reqs.Env {
		l.checkSyntax(p.where, reqs, variable.Value)
	}
	if workDir := reqs.WorkDir; workDir != nil {
		l.checkSyntax(p.where, reqs, workDir.Listing)
		for _, entry := range workDir.Entries {
			l.checkSyntax(p.where, reqs, entry.Name, entry.Entry)
		}
	}
}
