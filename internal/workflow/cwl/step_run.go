package cwl

import (
	"errors"
	"fmt"
)

// stepRun tracks the execution of a step. It has one element, or any number if it is scattered.
type stepRun struct {
	workflow     *workflowRun
	step         *Step
	state        StepState
	linkedInputs map[string]any // inputs after merging and defaults, before scattering
	lengths      []int          // lengths of the lists that it is scattered over
	next         int            // index of the first element not yet started
	total        int            // number of elements
	remaining    int            // number of elements that have not ended
	elements     []*element     // by index; nil if not yet started
	skipped      int            // number of elements whose condition was false
}

// element is one execution of a step's process: the only one, or one of a scatter.
type element struct {
	step    *stepRun
	index   int
	id      string
	outputs map[string]any
	err     error
}

// startStep starts a step whose dependencies have ended: it computes its inputs and elements.
func (r *Run) startStep(st *stepRun) {
	st.state, st.total = StepRunning, 1
	var err error
	if st.linkedInputs, err = r.linkedInputs(st); err == nil {
		err = st.scatter()
	}
	if err != nil {
		r.failStep(st, err)
		return
	}
	st.remaining = st.total
	if st.total == 0 {
		st.state = StepDone
		st.workflow.remaining--
		return
	}
	st.elements = make([]*element, st.total)
	r.startedSteps = append(r.startedSteps, st)
}

// linkedInputs returns a step's inputs before scattering, from its sources and defaults. On an
// error it returns the inputs that precede the failed one.
func (r *Run) linkedInputs(st *stepRun) (map[string]any, error) {
	inputs := map[string]any{}
	for i := range st.step.In {
		in := &st.step.In[i]
		v, err := st.workflow.link(in.Source, in.LinkMerge, in.PickValue)
		if err != nil {
			return inputs, fmt.Errorf("%s: %w", in.ID, err)
		}
		if v == nil {
			v = in.Default
		}
		if file, ok := v.(map[string]any); ok && in.LoadContents && classOf(v) == "File" {
			if v, err = r.loadContents(file); err != nil {
				return inputs, fmt.Errorf("%s: %w", in.ID, err)
			}
		}
		inputs[in.ID] = v
	}
	return inputs, nil
}

// scatter sets the number of elements of a step from its linked inputs. total must be 1 and is
// left unchanged if the step is not scattered. A cross product has one element per combination,
// a dotproduct one per index. On an error total keeps the value computed so far.
func (st *stepRun) scatter() error {
	for _, name := range st.step.Scatter {
		list, ok := st.linkedInputs[name].([]any)
		if !ok {
			return fmt.Errorf("%s: scattered over %s; expected a list", name, describeValue(st.linkedInputs[name]))
		}
		st.lengths = append(st.lengths, len(list))
	}
	if len(st.lengths) == 0 {
		return nil
	}
	st.total = st.lengths[0]
	for _, n := range st.lengths[1:] {
		if st.step.ScatterMethod != DotProduct {
			st.total *= n
		} else if n != st.total {
			return fmt.Errorf("scattered over lists of lengths %v; a dotproduct takes lists of one length", st.lengths)
		}
	}
	return nil
}

// loadContents returns a copy of a File object with its contents field set.
func (r *Run) loadContents(f map[string]any) (any, error) {
	if r.ReadContents == nil {
		return nil, errors.New("loadContents: no function to read file contents is configured")
	}
	text, err := r.ReadContents(f)
	if err != nil {
		return nil, err
	}
	out := make(map[string]any, len(f)+1)
	for k, v := range f {
		out[k] = v
	}
	out["contents"] = text
	return out, nil
}

// failStep marks a step that could not be started as failed.
func (r *Run) failStep(st *stepRun, err error) {
	st.state = StepFailed
	st.workflow.remaining--
	st.workflow.failed = true
	r.failures = append(r.failures, Failure{st.id(), err})
}

// id returns the step's id, prefixed with those of the enclosing steps: "sub/pay".
func (st *stepRun) id() string {
	if st.workflow.id == "" {
		return st.step.ID
	}
	return st.workflow.id + "/" + st.step.ID
}

// indices returns the index of element i in each of the lists that the step is scattered over.
func (st *stepRun) indices(i int) []int {
	out := make([]int, len(st.lengths))
	for k := len(st.lengths) - 1; k >= 0; k-- {
		if st.step.ScatterMethod == NestedCrossProduct || st.step.ScatterMethod == FlatCrossProduct {
			out[k] = i % st.lengths[k]
			i /= st.lengths[k]
		} else {
			out[k] = i
		}
	}
	return out
}

// output returns an output of a step that has ended. For a scattered step it is a list, nested
// according to the scatter method. It is null where the step's condition was false.
func (st *stepRun) output(name string) any {
	if len(st.lengths) == 0 && len(st.step.Scatter) == 0 {
		return st.elements[0].outputs[name]
	}
	flat := make([]any, st.total)
	for i, e := range st.elements {
		flat[i] = e.outputs[name]
	}
	if st.step.ScatterMethod != NestedCrossProduct {
		return flat
	}
	return nest(flat, st.lengths)
}

// nest splits a list into nested lists of the given lengths, outermost first.
func nest(flat []any, lengths []int) []any {
	if len(lengths) == 1 {
		return flat
	}
	out := make([]any, lengths[0])
	size := len(flat) / max(1, lengths[0])
	for i := range out {
		out[i] = nest(flat[i*size:(i+1)*size], lengths[1:])
	}
	return out
}
