package cwl

import (
	"fmt"
	"slices"
	"strings"
)

// check finds what is wrong between the parts of a process: sources that don't exist or
// don't fit, features used without their requirement, cycles, expressions that don't parse.
func (r *reading) check(p *Process) {
	r.checkExpressions(p)
	if p.Class != "Workflow" {
		if p.Class == "ExpressionTool" && p.Needs.JavaScript == nil &&
			strings.HasPrefix(strings.TrimSpace(p.Expression), "${") {
			r.fail(p.where.in("expression", p.where.n), "uses JavaScript without InlineJavascriptRequirement")
		}
		return
	}
	types := map[string]*Type{}
	for _, in := range p.Inputs {
		types[in.ID] = in.Type
	}
	seen := map[string]bool{}
	for _, s := range p.Steps {
		if seen[s.ID] {
			r.fail(s.where, "is given twice")
		}
		seen[s.ID] = true
		for _, out := range s.Out {
			o := s.Run.output(out)
			if o == nil {
				r.fail(s.where.in("out", s.where.n), "%s has no output %q", name(s.Run), out)
				continue
			}
			t := o.Type
			if s.When != "" {
				t = &Type{Kind: KindUnion, Union: []*Type{{Kind: KindNull}, t}}
			}
			for range s.dimensions() {
				t = &Type{Kind: KindArray, Items: t}
			}
			types[s.ID+"/"+out] = t
		}
	}
	for _, s := range p.Steps {
		r.checkStep(p, s, types)
		r.check(s.Run)
	}
	for i := range p.Outputs {
		o := &p.Outputs[i]
		if len(o.Source) == 0 {
			r.fail(o.where, "outputSource is missing")
		}
		r.checkLink(o.where, p, o.Source, len(o.Source) > 1, o.LinkMerge, o.PickValue, o.Type, types)
	}
	r.checkCycles(p)
}

// dimensions is how many arrays a scatter nests its outputs in.
func (s *Step) dimensions() int {
	switch {
	case len(s.Scatter) == 0:
		return 0
	case s.Method == NestedCrossProduct:
		return len(s.Scatter)
	}
	return 1
}

func name(p *Process) string {
	if p.ID != "" {
		return p.Class + " " + p.ID
	}
	return p.Class
}

func (r *reading) checkStep(p *Process, s *Step, types map[string]*Type) {
	if s.Run.Class == "Workflow" && !s.Needs.Subworkflow {
		r.fail(s.where.in("run", s.where.n), "is a workflow; SubworkflowFeatureRequirement is missing")
	}
	if len(s.Scatter) > 0 && !s.Needs.Scatter {
		r.fail(s.where.in("scatter", s.where.n), "ScatterFeatureRequirement is missing")
	}
	given := map[string]*StepInput{}
	for i := range s.In {
		in := &s.In[i]
		if given[in.ID] != nil {
			r.fail(in.where, "is given twice")
		}
		given[in.ID] = in
		if in.ValueFrom != "" && !s.Needs.StepInputs {
			r.fail(in.where, "valueFrom is used; StepInputExpressionRequirement is missing")
		}
		if len(in.Source) > 1 && !s.Needs.MultiInput {
			r.fail(in.where, "has several sources; MultipleInputFeatureRequirement is missing")
		}
		param := s.Run.input(in.ID)
		var want *Type
		if param != nil && in.ValueFrom == "" {
			want = param.Type
			if param.Default != nil || in.Default != nil {
				want = &Type{Kind: KindUnion, Union: []*Type{{Kind: KindNull}, want}}
			}
		}
		if want != nil && slices.Contains(s.Scatter, in.ID) {
			want = &Type{Kind: KindArray, Items: want}
		}
		r.checkLink(in.where, p, in.Source, in.List && len(in.Source) > 1, in.LinkMerge, in.PickValue, want, types)
	}
	for _, x := range s.Scatter {
		if given[x] == nil {
			r.fail(s.where.in("scatter", s.where.n), "%q is not an input of the step", x)
		}
	}
	for _, param := range s.Run.Inputs {
		if given[param.ID] == nil && param.Default == nil && !param.Type.Optional() {
			r.fail(s.where.in("in", s.where.n), "input %q of %s is missing", param.ID, name(s.Run))
		}
	}
}

// checkLink checks where a value comes from against what is expected, nil for anything.
func (r *reading) checkLink(
	a at,
	p *Process,
	sources []string,
	several bool,
	merge, pick string,
	want *Type,
	types map[string]*Type,
) {
	var from []*Type
	for _, src := range sources {
		t := types[src]
		if t == nil {
			reason := fmt.Sprintf("there is no input or step output %q", src)
			if step, _, ok := strings.Cut(src, "/"); ok && p.Step(step) != nil {
				reason = fmt.Sprintf("step %q does not list an output %q in out", step, localName(src))
			}
			r.fail(a, "%s", reason)
			continue
		}
		from = append(from, t)
	}
	if len(from) != len(sources) || len(from) == 0 || want == nil {
		return
	}
	var got *Type
	switch {
	case !several && merge == "":
		got = from[0]
	default:
		items := &Type{Kind: KindUnion, Union: nil}
		for _, t := range from {
			if merge == MergeFlattened && t.Kind == KindArray {
				t = t.Items
			}
			items.Union = append(items.Union, t)
		}
		got = &Type{Kind: KindArray, Items: items}
	}
	if pick != "" {
		if got.Kind != KindArray {
			if !(got.Kind == KindAny) {
				r.fail(a, "pickValue needs a list, found %s", got)
			}
			return
		}
		if pick != PickAll {
			got = got.Items
		}
	}
	if !mayFlow(got, want) {
		r.fail(a, "expected %s, but %s gives %s", want, strings.Join(sources, ", "), got)
	}
}

func (r *reading) checkCycles(p *Process) {
	state := map[string]int{} // 1: being looked at, 2: fine
	var visit func(s *Step) bool
	visit = func(s *Step) bool {
		switch state[s.ID] {
		case 1:
			return false
		case 2:
			return true
		}
		state[s.ID] = 1
		for _, in := range s.In {
			for _, src := range in.Source {
				id, _, ok := strings.Cut(src, "/")
				if next := p.Step(id); ok && next != nil && !visit(next) {
					if state[s.ID] != 2 {
						r.fail(in.where, "waits for step %q, which waits for this one", id)
					}
					state[s.ID] = 2
					return true
				}
			}
		}
		state[s.ID] = 2
		return true
	}
	for _, s := range p.Steps {
		visit(s)
	}
}

// checkExpressions parses all expressions of a process.
func (r *reading) checkExpressions(p *Process) {
	one := func(a at, n *Needs, texts ...string) {
		for _, t := range texts {
			if err := Syntax(t, n.JavaScript != nil); err != nil {
				r.fail(a, "%v", err)
			}
		}
	}
	param := func(q *Parameter) {
		if b := q.Binding; b != nil {
			one(q.where, &p.Needs, b.Position, b.ValueFrom)
		}
		if b := q.OutputBinding; b != nil {
			one(q.where, &p.Needs, b.OutputEval)
			one(q.where, &p.Needs, b.Glob...)
		}
		for _, s := range q.SecondaryFiles {
			one(q.where, &p.Needs, s.Pattern, s.Required)
		}
	}
	for i := range p.Inputs {
		param(&p.Inputs[i])
	}
	for i := range p.Outputs {
		param(&p.Outputs[i])
	}
	res := p.Needs.Resources
	one(
		p.where,
		&p.Needs,
		res.CoresMin,
		res.CoresMax,
		res.RAMMin,
		res.RAMMax,
		res.TmpMin,
		res.TmpMax,
		res.OutMin,
		res.OutMax,
		p.Needs.TimeLimit,
		p.Needs.Reuse,
		p.Needs.Accelerator,
	)
	for _, e := range p.Needs.Env {
		one(p.where, &p.Needs, e.Value)
	}
	if w := p.Needs.WorkDir; w != nil {
		one(p.where, &p.Needs, w.Listing)
		for _, d := range w.Entries {
			one(p.where, &p.Needs, d.Name, d.Entry)
		}
	}
	if t := p.Tool; t != nil {
		one(p.where, &p.Needs, t.Stdin, t.Stdout, t.Stderr)
		for _, a := range t.Arguments {
			one(p.where, &p.Needs, a.Text)
			if a.Binding != nil {
				one(a.Binding.where, &p.Needs, a.Binding.Position, a.Binding.ValueFrom)
			}
		}
	}
	one(p.where, &p.Needs, p.Expression)
	for _, s := range p.Steps {
		one(s.where, &s.Needs, s.When)
		for _, in := range s.In {
			one(in.where, &s.Needs, in.ValueFrom)
		}
	}
}
