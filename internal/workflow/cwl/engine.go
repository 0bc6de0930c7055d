package cwl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Run tracks the execution of one process: which tasks are ready, with which inputs, and their
// results. It executes no tools and persists nothing. The outputs do not depend on the order in
// which results are reported. A Run is not safe for concurrent use.
type Run struct {
	// ShouldStop, if not nil, is called by Ready between elements; once it returns true, Ready
	// returns early. It bounds the time spent in a call, since evaluating expressions may take
	// long.
	ShouldStop func() bool
	// ReadContents reads the beginning of a file, for loadContents in step inputs. If it is nil, a
	// step that uses loadContents fails.
	ReadContents func(file map[string]any) (string, error)

	ctx          context.Context
	root         *workflowRun
	startedSteps []*stepRun          // steps with elements that Ready has not started yet, oldest first
	dispatched   map[string]*element // elements returned by Ready and not yet finished, by id
	outputs      map[string]any
	err          error // why the run as a whole failed
	ended        bool
	failures     []Failure
}

// Failure is the failure of a step or of one of its elements.
type Failure struct {
	ID  string
	Err error
}

// Task is one execution of a command line tool.
type Task struct {
	ID     string // such as "read", "check[3]" or "sub/pay"; the same in every run with the same inputs
	Tool   *Process
	Inputs map[string]any // checked, with defaults filled in
}

// StepState is the execution state of a step.
type StepState string

// The states of steps.
const (
	StepWaiting StepState = "waiting" // some of its dependencies have not ended
	StepRunning StepState = "running"
	StepDone    StepState = "done"
	StepSkipped StepState = "skipped" // its condition was false
	StepFailed  StepState = "failed"
	StepDropped StepState = "dropped" // not run, since a dependency failed or was dropped
)

// workflowRun tracks the execution of the top-level workflow or of a subworkflow.
type workflowRun struct {
	id        string // id of the element that it runs in; "" for the top-level workflow
	process   *Process
	inputs    map[string]any      // checked, with defaults filled in
	steps     map[string]*stepRun // by step id
	remaining int                 // number of steps that have not ended; -1 once the workflow has ended
	failed    bool                // a step has failed
	parent    *element            // the element that it runs in; nil for the top-level workflow
}

// Start begins a run. inputs are those that ReadInputs returns.
func Start(ctx context.Context, p *Process, inputs map[string]any) (*Run, error) {
	full, err := p.CompleteInputs(inputs)
	if err != nil {
		return nil, err
	}
	r := &Run{ctx: ctx, dispatched: map[string]*element{}}
	if p.Class != classWorkflow {
		p = wrapInWorkflow(p)
	}
	r.root = r.startWorkflow(p, "", full, nil)
	return r, nil
}

// wrapInWorkflow returns a workflow whose only step, "main", runs the given tool.
func wrapInWorkflow(tool *Process) *Process {
	step := &Step{ID: "main", Run: tool}
	workflow := &Process{Class: classWorkflow, Inputs: tool.Inputs, Steps: []*Step{step}}
	for _, input := range tool.Inputs {
		step.In = append(step.In, StepInput{ID: input.ID, Source: []string{input.ID}})
	}
	for _, output := range tool.Outputs {
		step.Out = append(step.Out, output.ID)
		workflow.Outputs = append(
			workflow.Outputs,
			Parameter{ID: output.ID, Type: output.Type, Source: []string{"main/" + output.ID}},
		)
	}
	return workflow
}

// startWorkflow starts a workflow and those of its steps that are ready. inputs must be checked
// and have defaults filled in. parent is the element that the workflow runs in, nil for the
// top-level workflow.
func (r *Run) startWorkflow(p *Process, id string, inputs map[string]any, parent *element) *workflowRun {
	w := &workflowRun{
		id:        id,
		process:   p,
		inputs:    inputs,
		steps:     map[string]*stepRun{},
		remaining: len(p.Steps),
		parent:    parent,
	}
	for _, s := range p.Steps {
		w.steps[s.ID] = &stepRun{workflow: w, step: s, state: StepWaiting}
	}
	r.advance(w)
	return w
}

// advance starts the steps of a workflow whose dependencies have ended, drops those with a
// failed dependency, and ends the workflow once all steps have ended.
func (r *Run) advance(w *workflowRun) {
	for again := true; again; {
		again = false
		for _, s := range w.process.Steps {
			st := w.steps[s.ID]
			if st.state != StepWaiting {
				continue
			}
			switch ready, dropped := w.ready(s); {
			case dropped:
				st.state = StepDropped
				w.remaining--
				again = true
			case ready:
				r.startStep(st)
				again = true
			}
		}
	}
	if w.remaining == 0 {
		w.remaining = -1
		r.finishWorkflow(w)
	}
}

// ready reports whether all dependencies of a step have ended. dropped reports whether one of
// them failed or was dropped, so that the step can't run.
func (w *workflowRun) ready(s *Step) (ready, dropped bool) {
	ready = true
	for _, in := range s.In {
		for _, src := range in.Source {
			id, _, ok := strings.Cut(src, "/")
			if !ok {
				continue
			}
			switch w.steps[id].state {
			case StepFailed, StepDropped:
				return false, true
			case StepDone, StepSkipped:
			default:
				ready = false
			}
		}
	}
	return ready, false
}

// source returns the value of a source: a workflow input, or "step/output" of a step that has ended.
func (w *workflowRun) source(src string) any {
	id, out, ok := strings.Cut(src, "/")
	if !ok {
		return w.inputs[src]
	}
	return w.steps[id].output(out)
}

// link returns the value of a link from its sources, after linkMerge and pickValue
// ("WorkflowStepInput"). It returns nil if there are no sources.
func (w *workflowRun) link(sources []string, merge, pick string) (any, error) {
	if len(sources) == 0 {
		return nil, nil
	}
	var v any
	if len(sources) == 1 && merge != MergeNested {
		v = w.source(sources[0])
	} else {
		list := []any{}
		for _, src := range sources {
			x := w.source(src)
			if inner, ok := x.([]any); ok && merge == MergeFlattened {
				list = append(list, inner...)
			} else {
				list = append(list, x)
			}
		}
		v = list
	}
	if pick == "" {
		return v, nil
	}
	list, ok := v.([]any)
	if !ok {
		return nil, fmt.Errorf("pickValue needs a list, found %s", describeValue(v))
	}
	nonNull := slices.DeleteFunc(slices.Clone(list), func(x any) bool { return x == nil })
	switch {
	case pick == PickAll:
		return nonNull, nil
	case len(nonNull) == 0:
		return nil, fmt.Errorf("pickValue: %s: all are null", pick)
	case pick == PickOnly && len(nonNull) > 1:
		return nil, fmt.Errorf("pickValue: %s: %d are not null", pick, len(nonNull))
	}
	return nonNull[0], nil
}

// Ready returns up to limit tasks that can run now, those of the steps that started first
// coming first. Along the way it evaluates expression tools and conditions and starts
// subworkflows. Each task is returned once.
func (r *Run) Ready(limit int) []Task {
	var out []Task
	for len(out) < limit && len(r.startedSteps) > 0 && (r.ShouldStop == nil || !r.ShouldStop()) {
		st := r.startedSteps[0]
		if st.next == st.total {
			r.startedSteps = r.startedSteps[1:]
			continue
		}
		e := &element{step: st, index: st.next, id: st.id()}
		if len(st.lengths) > 0 {
			e.id = fmt.Sprintf("%s[%d]", e.id, st.next)
		}
		st.elements[st.next] = e
		st.next++
		inputs, run, err := r.elementInputs(e)
		switch {
		case err != nil:
			r.finishElement(e, nil, err)
		case !run:
			e.step.skipped++
			r.finishElement(e, map[string]any{}, nil)
		case st.step.Run.Class == classWorkflow:
			r.startWorkflow(st.step.Run, e.id, inputs, e)
		case st.step.Run.Class == classExpressionTool:
			v, err := r.evalExpressionTool(st.step.Run, inputs)
			r.finishElement(e, v, err)
		default:
			r.dispatched[e.id] = e
			out = append(out, Task{e.id, st.step.Run, inputs})
		}
	}
	return out
}

// elementInputs returns an element's inputs after scattering and valueFrom, and whether its
// condition ("when") is true.
func (r *Run) elementInputs(e *element) (map[string]any, bool, error) {
	st := e.step
	values := make(map[string]any, len(st.linkedInputs))
	for k, v := range st.linkedInputs {
		values[k] = v
	}
	for k, i := range st.indices(e.index) {
		values[st.step.Scatter[k]] = st.linkedInputs[st.step.Scatter[k]].([]any)[i]
	}
	before := Scope{Inputs: make(map[string]any, len(values))}
	for k, v := range values {
		before.Inputs[k] = v
	}
	for i := range st.step.In {
		in := &st.step.In[i]
		if in.ValueFrom == "" {
			continue
		}
		before.Self = before.Inputs[in.ID]
		v, err := st.step.Requirements.Eval(r.ctx, in.ValueFrom, before)
		if err != nil {
			return nil, false, fmt.Errorf("%s: %w", in.ID, err)
		}
		values[in.ID] = v
	}
	if st.step.When != "" {
		v, err := st.step.Requirements.Eval(r.ctx, st.step.When, Scope{Inputs: values})
		if err != nil {
			return nil, false, fmt.Errorf("when: %w", err)
		}
		yes, ok := v.(bool)
		if !ok {
			return nil, false, fmt.Errorf("when: expected true or false, found %s", describeValue(v))
		}
		if !yes {
			return nil, false, nil
		}
	}
	full, err := st.step.Run.CompleteInputs(values)
	return full, true, err
}

// evalExpressionTool evaluates an expression tool and returns its outputs.
func (r *Run) evalExpressionTool(p *Process, inputs map[string]any) (map[string]any, error) {
	v, err := p.Requirements.Eval(r.ctx, p.Expression, Scope{Inputs: inputs})
	if err != nil {
		return nil, err
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("expression: expected outputs by name, found %s", describeValue(v))
	}
	out := map[string]any{}
	for _, o := range p.Outputs {
		out[o.ID] = m[o.ID]
	}
	return out, p.checkOutputs(out)
}

// Finish records the result of a task that Ready has returned: its outputs, or the error that
// it finally failed with. It does nothing if the task is unknown or already has a result.
func (r *Run) Finish(id string, outputs map[string]any, err error) {
	if e := r.dispatched[id]; e != nil {
		delete(r.dispatched, id)
		r.finishElement(e, outputs, err)
	}
}

// finishElement records the result of an element. The last element to end also ends its step,
// and the steps that depend on it are started.
func (r *Run) finishElement(e *element, outputs map[string]any, err error) {
	st := e.step
	e.outputs, e.err = outputs, err
	st.remaining--
	if err != nil {
		r.failures = append(r.failures, Failure{e.id, err})
	}
	if st.remaining > 0 {
		return
	}
	st.state = StepDone
	if slices.ContainsFunc(st.elements, func(e *element) bool { return e.err != nil }) {
		st.state, st.workflow.failed = StepFailed, true
	} else if len(st.lengths) == 0 && st.skipped > 0 {
		st.state = StepSkipped
	}
	st.workflow.remaining--
	r.advance(st.workflow)
}

// finishWorkflow ends a workflow whose steps have all ended. It then ends the run, or for a
// subworkflow the element that the workflow runs in.
func (r *Run) finishWorkflow(w *workflowRun) {
	out, errs := map[string]any{}, []error(nil)
	for i := range w.process.Outputs {
		output := &w.process.Outputs[i]
		if slices.ContainsFunc(output.Source, func(src string) bool {
			id, _, ok := strings.Cut(src, "/")
			return ok && (w.steps[id].state == StepFailed || w.steps[id].state == StepDropped)
		}) {
			continue // outputs that don't depend on a failed step are still returned
		}
		v, err := w.link(output.Source, output.LinkMerge, output.PickValue)
		if err == nil {
			err = output.Type.Check(v)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("output %s: %w", output.ID, err))
			continue
		}
		out[output.ID] = v
	}
	err := errors.Join(errs...)
	if err == nil && w.failed {
		err = errors.New("a step of the workflow failed")
	}
	if w.parent != nil {
		r.finishElement(w.parent, out, err)
		return
	}
	r.outputs, r.err, r.ended = out, err, true
}

// Result returns the outputs of the run; ok is false until the run has ended. The error is not nil
// if a step or an output failed; outputs that could still be computed are returned in that case
// too.
func (r *Run) Result() (outputs map[string]any, err error, ok bool) { return r.outputs, r.err, r.ended }

// Failures returns the failures so far, in the order in which they occurred.
func (r *Run) Failures() []Failure { return r.failures }

// Steps calls f for each step of the top-level workflow, in document order, with its state, the
// number of elements that have ended, the total number of elements, and the id of the step that
// it waits for, if any.
func (r *Run) Steps(f func(id string, state StepState, ended, total int, waitsFor string)) {
	for _, s := range r.root.process.Steps {
		st := r.root.steps[s.ID]
		waitsFor := ""
		if st.state == StepWaiting {
			waitsFor = r.root.firstPendingSource(s)
		}
		f(s.ID, st.state, st.total-st.remaining, st.total, waitsFor)
	}
}

// firstPendingSource returns the id of the first step that s waits for, "" if there is none.
func (w *workflowRun) firstPendingSource(s *Step) string {
	for _, in := range s.In {
		for _, src := range in.Source {
			id, _, ok := strings.Cut(src, "/")
			if ok && (w.steps[id].state == StepWaiting || w.steps[id].state == StepRunning) {
				return id
			}
		}
	}
	return ""
}
