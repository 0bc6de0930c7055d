package runner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/internal/workflow"
	"maddermill/wire"
)

// Status returns a workflow's state, at least as recent as the call. The controller that drives it reports its
// steps from the run; other controllers replay them. Steps and outputs are either complete or left out: if they
// can't be determined before ctx ends, the status says why they are missing (docs/cwl.md, "Status").
func (r *Runner) Status(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	if r.store == nil {
		return wire.WorkflowStatus{}, ErrDisabled
	}
	if err := r.Cache.ReadIndex(ctx); err != nil {
		return wire.WorkflowStatus{}, err
	}
	st := wire.WorkflowStatus{ID: id}
	w, steps, driven := r.knownSteps(id)
	if w == nil {
		var err error
		if w, err = r.Archiver.Workflow(ctx, id); err != nil {
			return st, errors.Join(kvstore.ErrUnreachable, err)
		}
	}
	if w == nil {
		return st, server.ErrNoSuchJob
	}
	if !driven {
		var err error
		if steps, err = r.inspect(ctx, w); err != nil {
			r.stats.Add("workflow_steps_unknown_total", 1)
			r.log.Info("workflow status without steps", "workflow", id, "err", err)
			st.StepsUnknown = err.Error()
		}
	}
	st.Steps, st.Reason, st.Status = steps, w.Reason, statusOf(w.State)
	if st.Status == wire.Done || st.Status == wire.Failed {
		r.addOutputs(ctx, &st)
	}
	return st, nil
}

// addOutputs adds the outputs of a workflow that has ended to its status, or the reason for leaving them out.
func (r *Runner) addOutputs(ctx context.Context, st *wire.WorkflowStatus) {
	outputs, _, err := r.store.Get(ctx, workflow.OutputsName(st.ID))
	switch {
	case err != nil:
		st.OutputsUnknown = fmt.Errorf("outputs can't be read: %w", err).Error()
	case len(outputs) >= maxOutputBytes:
		st.OutputsUnknown = fmt.Sprintf("outputs of %d bytes exceed the size limit of a status", len(outputs))
	default:
		st.Outputs = outputs
	}
}

// knownSteps returns a workflow's record, nil if the ledger has none, and its steps if this controller drives
// the workflow and has completed a pass over it. A run of an earlier revision does not count: it lacks the end
// that another controller may have recorded.
func (r *Runner) knownSteps(id wire.WorkflowID) (w *ledger.Workflow, steps []wire.StepStatus, driven bool) {
	r.Cache.Lock()
	defer r.Cache.Unlock()
	w = r.records().Workflow(id)
	if run := r.driven[id]; run != nil && w != nil && run.revision == w.Version && run.steps != nil {
		return w, run.steps, true
	}
	return w, nil, false
}

// statusOf maps a workflow's recorded state to the protocol's status.
func statusOf(state ledger.WorkflowState) wire.Status {
	switch state {
	case ledger.WorkflowActive:
		return wire.Running
	case ledger.WorkflowCancelled:
		return wire.Cancelled
	case ledger.WorkflowFailed:
		return wire.Failed
	case ledger.WorkflowDone:
		return wire.Done
	}
	return ""
}

// Limits of reporting on workflows.
const (
	maxInspections  = 64               // of workflows that other controllers drive
	inspectionTTL   = 30 * time.Second // an inspection is dropped this long after its last request
	inspectInterval = 50 * time.Millisecond
	maxOutputBytes  = 48 << 10 // larger outputs are left out of the status
)

// Reasons for leaving a workflow's steps out of its status.
var (
	errTooManyInspections = errors.New("too many workflows are being inspected on this controller, try again later")
	errInspectionTimeout  = errors.New("steps could not be read before the request timed out, try again later")
)

// inspect replays the steps of a workflow that another controller drives, from its documents and jobs as a
// driver does. It returns all steps, or an error that says why they can't be determined. The next request
// continues a replay that the end of a request interrupted.
func (r *Runner) inspect(ctx context.Context, record *ledger.Workflow) ([]wire.StepStatus, error) {
	now := time.Now()
	inspected := r.inspectionOf(record.ID, now)
	if inspected == nil {
		return nil, errTooManyInspections
	}
	select {
	case inspected.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, errInspectionTimeout
	}
	defer func() { <-inspected.sem }()
	if inspected.run == nil || inspected.revision != record.Version {
		run, err := r.resume(context.WithoutCancel(ctx), record, &inspected.archiveReadFailed)
		if err != nil {
			return nil, err
		}
		run.SetReadOnly()
		inspected.run, inspected.revision = run, record.Version
	}
	for {
		inspected.archiveReadFailed.Store(false)
		_, _, err := inspected.run.Advance(ctx, now, 0)
		switch {
		case ctx.Err() != nil:
			return nil, errInspectionTimeout
		case err != nil:
			return nil, fmt.Errorf("steps can't be read: %w", err)
		case inspected.run.Complete(record.State) && !inspected.archiveReadFailed.Load():
			return inspected.run.Steps(r.waitReason), nil
		}
		wait.For(ctx, inspectInterval)
	}
}

// inspectionOf returns the inspection of a workflow, creating it if needed; nil if there are too many. It drops
// those without a request for inspectionTTL.
func (r *Runner) inspectionOf(id wire.WorkflowID, now time.Time) *inspection {
	r.Cache.Lock()
	defer r.Cache.Unlock()
	for otherID, other := range r.inspected {
		if now.Sub(other.requestedAt) > inspectionTTL {
			delete(r.inspected, otherID)
		}
	}
	inspected := r.inspected[id]
	if inspected == nil && len(r.inspected) < maxInspections {
		inspected = newInspection()
		r.inspected[id] = inspected
	}
	if inspected != nil {
		inspected.requestedAt = now
	}
	return inspected
}

// waitReason returns a short description of what a step's job waits for; "" if it is not waiting.
func (r *Runner) waitReason(id wire.JobID) string {
	r.Cache.Lock()
	defer r.Cache.Unlock()
	j := r.records().Job(id)
	switch {
	case j == nil:
		return "is about to be submitted"
	case j.State != ledger.Active || j.Claimed > 0:
		return ""
	case j.Cancelling:
		return "is being cancelled"
	}
	now := time.Now()
	snapshot := r.Scheduler.Snapshot(now)
	position := slices.IndexFunc(snapshot.Queue, func(e placement.Entry) bool { return e.Job.ID == id })
	switch {
	case position < 0:
		return "has just been accepted"
	case snapshot.Queue[position].CrashLooping:
		return fmt.Sprintf(
			"failed on several machines and rests for %v",
			max(0, snapshot.Queue[position].RetryAt.Sub(now)).Round(time.Second),
		)
	case snapshot.RemainingTeamQuota(j, ledger.Resources{}, 1) < 1:
		return "its team is at its limit"
	}
	return fmt.Sprintf("waits for a machine, as number %d in the order", position+1)
}

// Cancel cancels a workflow and returns its final state. No further step is submitted. The controller that drives
// the workflow cancels its steps' jobs.
func (r *Runner) Cancel(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	return r.transition(ctx, id, ledger.WorkflowCancelled)
}

// Resume makes a failed workflow active again: its failed steps are retried.
func (r *Runner) Resume(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	return r.transition(ctx, id, ledger.WorkflowActive)
}

// transition moves a workflow to a state if it may, and returns its status. One that is done or already cancelled
// stays as it is; resuming one that has not failed returns ErrNotFailed.
func (r *Runner) transition(
	ctx context.Context,
	id wire.WorkflowID,
	target ledger.WorkflowState,
) (wire.WorkflowStatus, error) {
	st, err := r.Status(ctx, id)
	if err != nil {
		return st, err
	}
	if st.Status == wire.Done || st.Status == wire.Cancelled { // and perhaps archived
		if target == ledger.WorkflowActive {
			err = ErrNotFailed
		}
		return st, err
	}
	state, err := r.endWorkflow(ctx, id, target, "")
	if err != nil {
		return wire.WorkflowStatus{}, err
	}
	if target == ledger.WorkflowActive && state != target {
		return wire.WorkflowStatus{}, ErrNotFailed
	}
	return r.Status(ctx, id)
}
