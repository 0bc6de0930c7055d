// Package workflow runs CWL workflows as jobs of the same service: each step is an ordinary job, accepted by the
// same call as a user's. The progress of a workflow is derived only from its documents and from the states and
// results of its steps' jobs, whose ids are derived from the workflow and the step. So any controller can take
// over a workflow at any time, two controllers that drive it at once do the same, and a step has no record other
// than its job.
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

	"maddermill/internal/exactjson"
	"maddermill/internal/state/ledger"
	"maddermill/internal/workflow/cwl"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// JobState is the state of a step's job as far as driving a workflow needs it.
type JobState int

// The states of a step's job.
const (
	Unknown      JobState = iota // never submitted, as far as this controller knows
	Active                       // waiting or running
	CrashLooping                 // keeps failing on several machines
	Done                         // its result is stored
	Cancelled                    // by its user, or because it was crash-looping
)

// Jobs submits, cancels and observes the jobs of steps, and records the ends of workflows.
type Jobs interface {
	// SubmitStep accepts a step's job, on the condition that its workflow is active.
	SubmitStep(ctx context.Context, workflowID wire.WorkflowID, spec *wire.JobSpec) error
	CancelStep(ctx context.Context, id wire.JobID) error
	StepState(id wire.JobID) JobState
	// EndWorkflow records the end of a workflow durably.
	EndWorkflow(ctx context.Context, id wire.WorkflowID, state ledger.WorkflowState, why string) error
}

// Errors of submitting a step's job: the step fails, or the submission is retried later.
var (
	ErrUnschedulable = errors.New("workflow: the step's job can never run")
	ErrRetryLater    = errors.New("workflow: the step's job can't be accepted at present")
)

// Documents holds a workflow's documents and inputs, as they are stored.
type Documents struct {
	Bundle map[string]string `json:"bundle"`
	Inputs json.RawMessage   `json:"inputs"`
}

// StepSpec describes a step to the machine that runs it. It is stored under StepSpecName.
type StepSpec struct {
	Workflow wire.WorkflowID `json:"workflow"`
	Step     string          `json:"step"` // the id of cwl.Task
	Entry    string          `json:"entry"`
	Bundle   cwl.Bundle      `json:"bundle"`
	Inputs   map[string]any  `json:"inputs"`
}

// Result is the result of a step. The machine that ran it stores it under ResultName before it reports the task as
// done.
type Result struct {
	Code    int            `json:"code"` // the tool's exit code
	Error   string         `json:"error,omitempty"`
	Retry   bool           `json:"retry,omitempty"` // another attempt may succeed
	Outputs map[string]any `json:"outputs,omitempty"`
}

// StepSpecName is the name under which the specification of a step's job is stored.
func StepSpecName(id wire.JobID) string { return "orders/" + string(id) + ".json" }

// ResultName is the name under which the result of a step's job is stored.
func ResultName(id wire.JobID) string { return "results/" + string(id) + ".json" }

// OutputsName is the name under which the outputs of a workflow are stored.
func OutputsName(id wire.WorkflowID) string { return "outputs/" + string(id) + ".json" }

// putJSON stores a value as JSON.
func putJSON(ctx context.Context, store stepdata.Store, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err == nil {
		_, err = store.Put(ctx, name, bytes.NewReader(encoded))
	}
	return err
}

// StepJobID is the id of the job for an attempt of a step. It is the same on every controller and after every restart.
// 17 digits of a hash make it unique among the steps of all workflows. The leading 9 avoids collisions with the ids
// that users assign by counting up.
func StepJobID(id wire.WorkflowID, step string, attempt int) wire.JobID {
	hash := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", id, step, attempt))
	return wire.JobID(fmt.Sprintf("wk-9%017d", binary.BigEndian.Uint64(hash[:8])%1e17))
}

// Parameters of driving a workflow.
const (
	defaultWindow        = 32 // steps in flight at once
	maxRetries           = 3  // of a step whose result says that another attempt may succeed
	initialRetryDelay    = 2 * time.Second
	maxPassTime          = 300 * time.Millisecond // taking over a large workflow needs several passes
	missingResultTimeout = 30 * time.Second       // a step fails if its job is done and its result still missing
)

// Run is a workflow that this controller drives or, if read-only, inspects.
type Run struct {
	ID   wire.WorkflowID
	Spec *wire.WorkflowSpec

	jobs        Jobs
	store       stepdata.Store
	docs        *Documents
	run         *cwl.Run
	inFlight    map[string]*step
	inFlightIDs []string // the keys of inFlight, in the order in which they became ready
	interrupted bool     // the last pass ended early or failed: steps may be missing from inFlight
	readOnly    bool     // another controller drives it: nothing is submitted, cancelled or ended here
	// resumes is how often the workflow was resumed. That many permanent failures of a step are retried.
	resumes int
}

// step is a task that is in flight: ready and without a final result.
type step struct {
	task       cwl.Task
	attempt    int
	retries    int
	failures   int // permanent failures of earlier attempts, superseded by resuming the workflow
	jobID      wire.JobID
	specStored bool // its StepSpec is stored
	doneAt     time.Time
	notBefore  time.Time // earliest time of the next submission
}

// Check validates a submission's documents and inputs. It reports all problems at once.
func Check(ctx context.Context, spec *wire.WorkflowSpec) (cwl.Problems, error) {
	process, warnings, err := loadProcess(spec.Entry, spec.Bundle)
	if err != nil {
		return warnings, err
	}
	inputs, err := process.ReadInputs("inputs", spec.Inputs)
	if err != nil {
		return warnings, err
	}
	_, err = cwl.Start(ctx, process, inputs)
	return warnings, err
}

// loadProcess loads the entry process of a bundle of documents.
func loadProcess(entry string, files map[string]string) (*cwl.Process, cwl.Problems, error) {
	bundle := cwl.Bundle{}
	for name, text := range files {
		bundle[name] = []byte(text)
	}
	return cwl.Load(bundle, entry)
}

// Resume recreates the run of a workflow from its record and documents. The first passes of Advance replay its
// progress.
func Resume(ctx context.Context, w *ledger.Workflow, docs *Documents, jobs Jobs, store stepdata.Store) (*Run, error) {
	process, _, err := loadProcess(w.Spec.Entry, docs.Bundle)
	if err != nil {
		return nil, fmt.Errorf("workflow documents: %w", err)
	}
	inputs, err := process.ReadInputs("inputs", docs.Inputs)
	if err != nil {
		return nil, fmt.Errorf("workflow documents: %w", err)
	}
	run, err := cwl.Start(ctx, process, inputs)
	if err != nil {
		return nil, fmt.Errorf("workflow documents: %w", err)
	}
	r := &Run{
		ID:       w.ID,
		Spec:     w.Spec,
		jobs:     jobs,
		store:    store,
		docs:     docs,
		run:      run,
		inFlight: map[string]*step{},
		resumes:  w.Resumed,
	}
	run.ReadContents = func(file map[string]any) (string, error) {
		name, _ := file["location"].(string)
		b, _, err := store.Get(ctx, cmp.Or(name, fmt.Sprint(file["path"])))
		if len(b) > 64<<10 {
			return "", errors.New("the file exceeds the 64 KiB limit of loadContents")
		}
		return string(b), err
	}
	return r, nil
}

// Advance makes one pass: it polls the jobs of the steps in flight, submits up to limit ready steps, and ends the
// workflow when no step is left. It returns how many steps it submitted and whether the workflow has ended. After
// an error, the next pass continues.
func (r *Run) Advance(ctx context.Context, now time.Time, limit int) (submitted int, ended bool, err error) {
	start := time.Now()
	r.run.ShouldStop = func() bool { return ctx.Err() != nil || time.Since(start) > maxPassTime }
	err = r.pollSteps(ctx, now)
	r.interrupted = r.run.ShouldStop() || err != nil
	if r.readOnly {
		_, _, ended = r.run.Result()
		return 0, ended, err
	}
	submitted, submitErr := r.submitReady(ctx, now, limit)
	err = cmp.Or(err, submitErr)
	outputs, failure, ended := r.run.Result()
	if !ended {
		return submitted, false, err
	}
	return submitted, true, r.end(ctx, outputs, failure)
}

// pollSteps polls the jobs of the steps in flight and adds further steps that become ready, until there is no more
// progress. It returns the first error.
func (r *Run) pollSteps(ctx context.Context, now time.Time) (err error) {
	for progress := true; progress && !r.run.ShouldStop(); {
		progress = false
		for _, id := range slices.Clone(r.inFlightIDs) {
			progressed, stepErr := r.pollStep(ctx, r.inFlight[id], now)
			err = cmp.Or(err, stepErr)
			progress = progress || progressed
		}
		r.inFlightIDs = slices.DeleteFunc(r.inFlightIDs, func(id string) bool { return r.inFlight[id] == nil })
		for _, t := range r.run.Ready(r.window() - len(r.inFlightIDs)) {
			r.inFlight[t.ID] = &step{task: t, jobID: StepJobID(r.ID, t.ID, 0)}
			r.inFlightIDs = append(r.inFlightIDs, t.ID)
			progress = true
		}
	}
	return err
}

// submitReady submits up to limit steps that are ready. It returns the first error.
func (r *Run) submitReady(ctx context.Context, now time.Time, limit int) (submitted int, err error) {
	for _, id := range r.inFlightIDs {
		s := r.inFlight[id]
		if submitted >= limit || ctx.Err() != nil {
			break
		}
		if r.jobs.StepState(s.jobID) != Unknown || now.Before(s.notBefore) {
			continue
		}
		if stepErr := r.submitStep(ctx, s); stepErr != nil {
			err = cmp.Or(err, stepErr)
			if errors.Is(stepErr, ErrRetryLater) {
				break
			}
			continue
		}
		submitted++
	}
	return submitted, err
}

// Interrupted reports whether the last pass ended early or failed, so that Steps may not be up to date.
func (r *Run) Interrupted() bool { return r.interrupted }

// Complete reports whether the last pass saw the full progress of a workflow in the given state. A workflow that is
// done has no step left to run: a pass that finds one missed a job or a result.
func (r *Run) Complete(state ledger.WorkflowState) bool {
	if r.interrupted {
		return false
	}
	_, failure, ended := r.run.Result()
	return state != ledger.WorkflowDone || ended && failure == nil
}

// window returns how many steps may be in flight at once.
func (r *Run) window() int { return cmp.Or(r.Spec.Window, defaultWindow) }

// pollStep processes the state and result of a step's job, and reports whether the step progressed.
func (r *Run) pollStep(ctx context.Context, s *step, now time.Time) (progressed bool, err error) {
	switch r.jobs.StepState(s.jobID) {
	case CrashLooping:
		// Cancelling the job is what records its failure durably.
		if r.readOnly {
			return false, nil
		}
		return false, r.jobs.CancelStep(ctx, s.jobID)
	case Cancelled:
		r.failStep(s, fmt.Errorf("its job %s was cancelled", s.jobID))
		return true, nil
	case Done:
	default:
		return false, nil
	}
	encoded, _, err := r.store.Get(ctx, ResultName(s.jobID))
	var res Result
	if err == nil {
		err = decodeResult(encoded, &res)
	}
	switch {
	case errors.Is(err, stepdata.ErrNotFound):
		if s.doneAt.IsZero() {
			s.doneAt = now
		}
		if now.Sub(s.doneAt) < missingResultTimeout {
			return false, nil
		}
		r.failStep(s, fmt.Errorf("its job %s is done and left no result", s.jobID))
		return true, nil
	case errors.Is(err, stepdata.ErrCorrupt):
		r.failStep(s, err)
		return true, nil
	case err != nil:
		return false, err
	case res.Error == "" && res.Code == 0:
		delete(r.inFlight, s.task.ID)
		r.run.Finish(s.task.ID, res.Outputs, nil)
		return true, nil
	case res.Retry && s.retries < maxRetries:
		s.notBefore = now.Add(initialRetryDelay << s.retries)
		s.retries++
		s.nextAttempt(r.ID)
		return true, nil
	}
	r.failStep(s, errors.New(cmp.Or(res.Error, fmt.Sprintf("the tool ended with code %d", res.Code))))
	return true, nil
}

// nextAttempt prepares a step's next attempt, which is a job of its own.
func (s *step) nextAttempt(id wire.WorkflowID) {
	s.attempt++
	s.jobID, s.specStored, s.doneAt = StepJobID(id, s.task.ID, s.attempt), false, time.Time{}
}

// failStep fails a step for good, or starts its next attempt if the workflow was resumed after this failure.
func (r *Run) failStep(s *step, err error) {
	if s.failures < r.resumes {
		s.failures++
		s.retries, s.notBefore = 0, time.Time{}
		s.nextAttempt(r.ID)
		return
	}
	delete(r.inFlight, s.task.ID)
	r.run.Finish(s.task.ID, nil, err)
}

// submitStep stores a step's StepSpec and then submits its job.
func (r *Run) submitStep(ctx context.Context, s *step) error {
	if !s.specStored {
		bundle := cwl.Bundle{}
		for name, text := range r.docs.Bundle {
			bundle[name] = []byte(text)
		}
		if err := putJSON(
			ctx,
			r.store,
			StepSpecName(s.jobID),
			StepSpec{r.ID, s.task.ID, r.Spec.Entry, bundle, s.task.Inputs},
		); err != nil {
			return err
		}
		s.specStored = true
	}
	spec, err := r.jobSpec(ctx, s)
	if err == nil {
		err = r.jobs.SubmitStep(ctx, r.ID, spec)
	}
	if errors.Is(err, ErrUnschedulable) {
		r.failStep(s, err)
		r.inFlightIDs = slices.DeleteFunc(slices.Clone(r.inFlightIDs), func(id string) bool { return r.inFlight[id] == nil })
		return nil
	}
	return err
}

// jobSpec returns the specification of a step's job: the workflow's class, team and priority, and the resources that
// the tool needs.
func (r *Run) jobSpec(ctx context.Context, s *step) (*wire.JobSpec, error) {
	cores, ram, accelerators, err := s.task.Tool.Resources(ctx, s.task.Inputs)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnschedulable, err)
	}
	spec := &wire.JobSpec{
		ID:       s.jobID,
		Class:    r.Spec.Class,
		Team:     r.Spec.Team,
		Priority: r.Spec.Priority,
		Shape:    wire.Array,
		Tasks:    1,
		CPUs:     cores,
		GPUs:     accelerators,
		MemoryGB: ram / 1024,
		Image:    wire.Image(cmp.Or(s.task.Tool.Requirements.Image, "none")),
		ImageGB:  r.Spec.ImageGB,
		Spot:     r.Spec.Spot,
		Estimate: r.Spec.Estimate,
	}
	return spec, nil
}

// end stores the outputs and records the end of the workflow durably.
func (r *Run) end(ctx context.Context, outputs map[string]any, failure error) error {
	if err := putJSON(ctx, r.store, OutputsName(r.ID), outputs); err != nil {
		return err
	}
	state, reason := ledger.WorkflowDone, ""
	if failure != nil {
		state, reason = ledger.WorkflowFailed, r.failureReason(failure)
	}
	return r.jobs.EndWorkflow(ctx, r.ID, state, reason)
}

// maxReasonBytes limits the recorded reason of a workflow's failure.
const maxReasonBytes = 400

// failureReason returns the reason to record for a failed workflow: the errors of its failed steps.
func (r *Run) failureReason(failure error) string {
	var parts []string
	for _, f := range r.run.Failures() {
		parts = append(parts, f.ID+": "+f.Err.Error())
	}
	reason := strings.Join(parts, "; ")
	if reason == "" {
		reason = failure.Error()
	}
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + "…"
	}
	return reason
}

// Cancel cancels the jobs of the steps in flight, and reports whether none is active any more. Steps that another
// controller submitted before it learned of the cancellation are found once their jobs are known here. After an
// interrupted pass there may be more steps, so it reports false.
func (r *Run) Cancel(ctx context.Context) (allEnded bool, err error) {
	allEnded = !r.interrupted
	for _, id := range r.inFlightIDs {
		switch s := r.inFlight[id]; r.jobs.StepState(s.jobID) {
		case Active, CrashLooping:
			allEnded = false
			err = cmp.Or(err, r.jobs.CancelStep(ctx, s.jobID))
		}
	}
	return allEnded, err
}

// SetReadOnly makes the run read-only, for inspecting a workflow that another controller drives.
func (r *Run) SetReadOnly() { r.readOnly = true }

// Steps returns the progress of each step and what it waits for: another step, or what waitReason returns for the
// job of its next run.
func (r *Run) Steps(waitReason func(wire.JobID) string) []wire.StepStatus {
	nextJobs := map[string]wire.JobID{} // by step
	for _, id := range r.inFlightIDs {
		step, _, _ := strings.Cut(id, "/")
		step, _, _ = strings.Cut(step, "[")
		if _, known := nextJobs[step]; !known && r.jobs.StepState(r.inFlight[id].jobID) != Done {
			nextJobs[step] = r.inFlight[id].jobID
		}
	}
	var statuses []wire.StepStatus
	r.run.Steps(func(id string, state cwl.StepState, finished, total int, waitsFor string) {
		s := wire.StepStatus{Step: id, State: string(state), Finished: finished, Total: total}
		if job, ok := nextJobs[id]; ok {
			s.Reason = waitReason(job)
		} else if waitsFor != "" {
			s.Reason = "waits for step " + waitsFor
		}
		statuses = append(statuses, s)
	})
	return statuses
}

// decodeResult decodes a result, with whole numbers in its outputs as integers.
func decodeResult(encoded []byte, result *Result) error {
	if err := exactjson.Unmarshal(encoded, result); err != nil {
		return fmt.Errorf("%w: %w", stepdata.ErrCorrupt, err)
	}
	result.Outputs, _ = cwl.NormalizeNumbers(result.Outputs).(map[string]any)
	return nil
}
