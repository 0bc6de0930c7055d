// Package workflow runs CWL workflows on the jobs of the same service: each step is an
// ordinary job, accepted by the same call as a user's. What has come of a workflow follows
// from its documents and the states and results of its steps' jobs alone, whose ids follow
// from the workflow and the step. So any controller can take a workflow over at any time,
// two that drive it at once do the same, and no step is noted anywhere but as its job.
package workflow

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/workflow/cwl"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// JobState is what a driver needs to know of a step's job.
type JobState int

// The states of a step's job.
const (
	Unknown   JobState = iota // never submitted, as far as this controller knows
	Active                    // waits or runs
	Doubtful                  // fails wherever it runs
	Done                      // its result is written
	Cancelled                 // by its user, or because it was doubtful
)

// Jobs is the service that steps are submitted to.
type Jobs interface {
	// SubmitStep accepts a step's job, on the condition that its workflow is active.
	SubmitStep(ctx context.Context, of wire.WorkflowID, spec *wire.JobSpec) error
	CancelStep(ctx context.Context, id wire.JobID) error
	StepState(id wire.JobID) JobState
	// EndWorkflow makes a workflow's end durable.
	EndWorkflow(ctx context.Context, id wire.WorkflowID, state ledger.WorkflowState, why string) error
}

// Errors of submissions.
var (
	ErrNever  = errors.New("workflow: the step's job can never run")
	ErrNotNow = errors.New("workflow: not accepted now")
)

// Documents are a workflow's documents and inputs, as they are kept.
type Documents struct {
	Bundle map[string]string `json:"bundle"`
	Inputs json.RawMessage   `json:"inputs"`
}

// Order is what a machine that runs a step is told, under OrderName.
type Order struct {
	Workflow wire.WorkflowID `json:"workflow"`
	Step     string          `json:"step"` // the id of cwl.Task
	Entry    string          `json:"entry"`
	Bundle   cwl.Bundle      `json:"bundle"`
	Inputs   map[string]any  `json:"inputs"`
}

// Result is what a machine leaves of a step, under ResultName, before it reports the task
// as done.
type Result struct {
	Code    int            `json:"code"` // the tool's exit code
	Error   string         `json:"error,omitempty"`
	Retry   bool           `json:"retry,omitempty"` // another try may help
	Outputs map[string]any `json:"outputs,omitempty"`
}

// OrderName is the name under which the order of a step's job is stored.
func OrderName(id wire.JobID) string { return "orders/" + string(id) + ".json" }

// ResultName is the name under which the result of a step's job is stored.
func ResultName(id wire.JobID) string { return "results/" + string(id) + ".json" }

// OutputsName is the name under which the outputs of a workflow are stored.
func OutputsName(id wire.WorkflowID) string { return "outputs/" + string(id) + ".json" }

func put(ctx context.Context, store stepdata.Store, name string, v any) error {
	b, err := json.Marshal(v)
	if err == nil {
		_, err = store.Put(ctx, name, bytes.NewReader(b))
	}
	return err
}

// JobOf is the id of a step's job at an attempt. It is the same at every controller and
// after every restart; 17 digits of a hash keep steps of all workflows apart, and the digit
// before them keeps them from the ids that users count up.
func JobOf(w wire.WorkflowID, step string, attempt int) wire.JobID {
	h := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", w, step, attempt))
	return wire.JobID(fmt.Sprintf("wk-9%017d", binary.BigEndian.Uint64(h[:8])%1e17))
}

// Bounds of a workflow.
const (
	defaultWindow = 32
	mostRetries   = 3 // of a step that says that another try may help
	firstRetry    = 2 * time.Second
	mostLook      = 300 * time.Millisecond // of a pass; a large workflow is taken over in several
	missingResult = 30 * time.Second       // after its job is done, until a step has failed for want of a result
)

// Run is one workflow, driven by this controller.
type Run struct {
	ID   wire.WorkflowID
	Spec *wire.WorkflowSpec

	jobs    Jobs
	store   stepdata.Store
	docs    *Documents
	run     *cwl.Run
	out     map[string]*step
	order   []string // of out
	cut     bool     // the last pass ended early or failed: more may be under way than order tells
	passive bool     // only looked at here: nothing is submitted, cancelled or ended
	// resumed is how often the workflow was resumed: so many failures of a step are gone over.
	resumed int
}

// step is a task that is under way.
type step struct {
	task    cwl.Task
	attempt int
	retries int
	failed  int // for good, gone over since the workflow was resumed
	job     wire.JobID
	ordered bool // its order is written
	doneAt  time.Time
	next    time.Time // no submission before
}

// Check reads a submission's documents and inputs. Problems are all told at once.
func Check(ctx context.Context, s *wire.WorkflowSpec) (cwl.Problems, error) {
	p, warnings, err := load(s.Entry, s.Bundle)
	if err != nil {
		return warnings, err
	}
	in, err := p.ReadInputs("inputs", s.Inputs)
	if err != nil {
		return warnings, err
	}
	_, err = cwl.Start(ctx, p, in)
	return warnings, err
}

func load(entry string, files map[string]string) (*cwl.Process, cwl.Problems, error) {
	b := cwl.Bundle{}
	for name, text := range files {
		b[name] = []byte(text)
	}
	return cwl.Load(b, entry)
}

// Resume is the progress of a workflow from its record and its documents. The first steps
// tell how far it has come.
func Resume(ctx context.Context, w *ledger.Workflow, docs *Documents, jobs Jobs, store stepdata.Store) (*Run, error) {
	p, _, err := load(w.Spec.Entry, docs.Bundle)
	if err != nil {
		return nil, fmt.Errorf("workflow: its documents: %w", err)
	}
	in, err := p.ReadInputs("inputs", docs.Inputs)
	if err != nil {
		return nil, fmt.Errorf("workflow: its documents: %w", err)
	}
	run, err := cwl.Start(ctx, p, in)
	if err != nil {
		return nil, fmt.Errorf("workflow: its documents: %w", err)
	}
	r := &Run{
		ID:      w.ID,
		Spec:    w.Spec,
		jobs:    jobs,
		store:   store,
		docs:    docs,
		run:     run,
		out:     map[string]*step{},
		resumed: w.Resumed,
	}
	run.Contents = func(file map[string]any) (string, error) {
		name, _ := file["location"].(string)
		b, _, err := store.Get(ctx, cmp.Or(name, fmt.Sprint(file["path"])))
		if len(b) > 64<<10 {
			return "", errors.New("more than loadContents reads")
		}
		return string(b), err
	}
	return r, nil
}

// Step looks at the jobs of the steps under way, submits up to most of those that are
// ready, and ends the workflow when nothing is left. It returns how many it submitted, and
// whether the workflow is over. An error is of this pass only: the next goes on.
func (r *Run) Step(ctx context.Context, now time.Time, most int) (submitted int, over bool, err error) {
	began := time.Now()
	r.run.Enough = func() bool { return ctx.Err() != nil || time.Since(began) > mostLook }
	err = r.observe(ctx, now)
	r.cut = r.run.Enough() || err != nil
	if r.passive {
		_, _, over = r.run.Over()
		return 0, over, err
	}
	submitted, e := r.submitReady(ctx, now, most)
	err = cmp.Or(err, e)
	outputs, failure, over := r.run.Over()
	if !over {
		return submitted, false, err
	}
	return submitted, true, r.end(ctx, outputs, failure)
}

// observe takes in what became of the steps under way and makes further ones ready, until nothing moves. It
// returns the first error.
func (r *Run) observe(ctx context.Context, now time.Time) (err error) {
	for again := true; again && !r.run.Enough(); {
		again = false
		for _, id := range slices.Clone(r.order) {
			moved, e := r.look(ctx, r.out[id], now)
			err = cmp.Or(err, e)
			again = again || moved
		}
		r.order = slices.DeleteFunc(r.order, func(id string) bool { return r.out[id] == nil })
		for _, t := range r.run.Ready(r.window() - len(r.order)) {
			r.out[t.ID] = &step{task: t, job: JobOf(r.ID, t.ID, 0)}
			r.order = append(r.order, t.ID)
			again = true
		}
	}
	return err
}

// submitReady submits up to most steps that are ready. It returns the first error.
func (r *Run) submitReady(ctx context.Context, now time.Time, most int) (submitted int, err error) {
	for _, id := range r.order {
		s := r.out[id]
		if submitted >= most || ctx.Err() != nil {
			break
		}
		if r.jobs.StepState(s.job) != Unknown || now.Before(s.next) {
			continue
		}
		if e := r.submit(ctx, s); e != nil {
			err = cmp.Or(err, e)
			if errors.Is(e, ErrNotNow) {
				break
			}
			continue
		}
		submitted++
	}
	return submitted, err
}

// Cut reports whether the last pass ended early or failed: there may be more than it told.
func (r *Run) Cut() bool { return r.cut }

// Whole reports whether the last pass told all that there is to tell of a workflow in a state. One that is
// done has nothing left to run: a pass that finds something missed a job or a result.
func (r *Run) Whole(state ledger.WorkflowState) bool {
	if r.cut {
		return false
	}
	_, failure, over := r.run.Over()
	return state != ledger.WorkflowDone || over && failure == nil
}

// window returns how many steps may be under way at once.
func (r *Run) window() int { return cmp.Or(r.Spec.Window, defaultWindow) }

// look finds out what has come of a step's job, and reports whether the step moved on.
func (r *Run) look(ctx context.Context, s *step, now time.Time) (moved bool, err error) {
	switch r.jobs.StepState(s.job) {
	case Doubtful:
		// The job fails wherever it runs. To cancel it is what makes that durable.
		if r.passive {
			return false, nil
		}
		return false, r.jobs.CancelStep(ctx, s.job)
	case Cancelled:
		r.fail(s, fmt.Errorf("its job %s was cancelled", s.job))
		return true, nil
	case Done:
	default:
		return false, nil
	}
	b, _, err := r.store.Get(ctx, ResultName(s.job))
	var res Result
	if err == nil {
		err = decode(b, &res)
	}
	switch {
	case errors.Is(err, stepdata.ErrNotFound):
		if s.doneAt.IsZero() {
			s.doneAt = now
		}
		if now.Sub(s.doneAt) < missingResult {
			return false, nil
		}
		r.fail(s, fmt.Errorf("its job %s is done and left no result", s.job))
		return true, nil
	case errors.Is(err, stepdata.ErrDamaged):
		r.fail(s, err)
		return true, nil
	case err != nil:
		return false, err
	case res.Error == "" && res.Code == 0:
		delete(r.out, s.task.ID)
		r.run.Finish(s.task.ID, res.Outputs, nil)
		return true, nil
	case res.Retry && s.retries < mostRetries:
		s.next = now.Add(firstRetry << s.retries)
		s.retries++
		s.again(r.ID)
		return true, nil
	}
	r.fail(s, errors.New(cmp.Or(res.Error, fmt.Sprintf("the tool ended with code %d", res.Code))))
	return true, nil
}

// again moves a step on to its next attempt.
func (s *step) again(w wire.WorkflowID) {
	s.attempt++
	s.job, s.ordered, s.doneAt = JobOf(w, s.task.ID, s.attempt), false, time.Time{}
}

// fail ends a step for good, unless the workflow was resumed since.
func (r *Run) fail(s *step, why error) {
	if s.failed < r.resumed {
		s.failed++
		s.retries, s.next = 0, time.Time{}
		s.again(r.ID)
		return
	}
	delete(r.out, s.task.ID)
	r.run.Finish(s.task.ID, nil, why)
}

// submit writes a step's order and then submits its job.
func (r *Run) submit(ctx context.Context, s *step) error {
	if !s.ordered {
		bundle := cwl.Bundle{}
		for name, text := range r.docs.Bundle {
			bundle[name] = []byte(text)
		}
		if err := put(
			ctx,
			r.store,
			OrderName(s.job),
			Order{r.ID, s.task.ID, r.Spec.Entry, bundle, s.task.Inputs},
		); err != nil {
			return err
		}
		s.ordered = true
	}
	spec, err := r.job(ctx, s)
	if err == nil {
		err = r.jobs.SubmitStep(ctx, r.ID, spec)
	}
	if errors.Is(err, ErrNever) {
		r.fail(s, err)
		r.order = slices.DeleteFunc(slices.Clone(r.order), func(id string) bool { return r.out[id] == nil })
		return nil
	}
	return err
}

// job is a step's job: the workflow's class, team and urgency, and what the tool needs.
func (r *Run) job(ctx context.Context, s *step) (*wire.JobSpec, error) {
	cores, ram, accelerators, err := s.task.Tool.Resources(ctx, s.task.Inputs)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNever, err)
	}
	spec := &wire.JobSpec{
		ID:       s.job,
		Class:    r.Spec.Class,
		Team:     r.Spec.Team,
		Priority: r.Spec.Priority,
		Shape:    wire.Array,
		Tasks:    1,
		CPUs:     cores,
		GPUs:     accelerators,
		MemoryGB: ram / 1024,
		Image:    wire.Image(cmp.Or(s.task.Tool.Needs.Image, "none")),
		ImageGB:  r.Spec.ImageGB,
		Spot:     r.Spec.Spot,
		Estimate: r.Spec.Estimate,
	}
	return spec, nil
}

// end writes the outputs and makes the end durable.
func (r *Run) end(ctx context.Context, outputs map[string]any, failure error) error {
	if err := put(ctx, r.store, OutputsName(r.ID), outputs); err != nil {
		return err
	}
	state, why := ledger.WorkflowDone, ""
	if failure != nil {
		state, why = ledger.WorkflowFailed, r.why(failure)
	}
	return r.jobs.EndWorkflow(ctx, r.ID, state, why)
}

// mostWhy bounds what is kept of why a workflow failed.
const mostWhy = 400

func (r *Run) why(failure error) string {
	var parts []string
	for _, f := range r.run.Failures() {
		parts = append(parts, f.ID+": "+f.Err.Error())
	}
	why := strings.Join(parts, "; ")
	if why == "" {
		why = failure.Error()
	}
	if len(why) > mostWhy {
		why = strings.ToValidUTF8(why[:mostWhy], "") + "…"
	}
	return why
}

// Cancel cancels the jobs of the steps under way, and reports whether none is left. Steps
// that another controller submitted before it knew are found as they become known here; after a
// pass that was cut short there may be more.
func (r *Run) Cancel(ctx context.Context) (gone bool, err error) {
	gone = !r.cut
	for _, id := range r.order {
		switch s := r.out[id]; r.jobs.StepState(s.job) {
		case Active, Doubtful:
			gone = false
			err = cmp.Or(err, r.jobs.CancelStep(ctx, s.job))
		}
	}
	return gone, err
}

// Look makes the run one that is only looked at: another controller drives it.
func (r *Run) Look() { r.passive = true }

// Steps tells how far each step has come, and what it waits for: another step, or what why
// says of the job of its next run.
func (r *Run) Steps(why func(wire.JobID) string) []wire.StepStatus {
	next := map[string]wire.JobID{} // by step
	for _, id := range r.order {
		step, _, _ := strings.Cut(id, "/")
		step, _, _ = strings.Cut(step, "[")
		if _, known := next[step]; !known && r.jobs.StepState(r.out[id].job) != Done {
			next[step] = r.out[id].job
		}
	}
	var out []wire.StepStatus
	r.run.Steps(func(id string, state cwl.StepState, over, total int, behind string) {
		s := wire.StepStatus{Step: id, State: string(state), Finished: over, Total: total}
		if job, ok := next[id]; ok {
			s.Reason = why(job)
		} else if behind != "" {
			s.Reason = "waits for step " + behind
		}
		out = append(out, s)
	})
	return out
}

// decode reads JSON with whole numbers as such.
func decode(b []byte, res *Result) error {
	if err := json.Unmarshal(b, res); err != nil {
		return fmt.Errorf("%w: %w", stepdata.ErrDamaged, err)
	}
	res.Outputs, _ = cwl.Whole(res.Outputs).(map[string]any)
	return nil
}
