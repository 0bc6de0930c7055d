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

// Status returns a workflow's state, at least as new as the call. The controller that drives it reports
// its steps from the run, others replay them. Steps and outputs are whole or left out: what can't be told
// within the time of ctx is left out, and the status says why (docs/cwl.md, "Status").
func (r *Runner) Status(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	if r.store == nil {
		return wire.WorkflowStatus{}, ErrNoWorkflows
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
			r.log.Info("workflow's steps can't be told", "workflow", id, "err", err)
			st.StepsUnknown = err.Error()
		}
	}
	st.Steps, st.Reason, st.Status = steps, w.Reason, statusOf(w.State)
	if st.Status == wire.Done || st.Status == wire.Failed {
		r.addOutputs(ctx, &st)
	}
	return st, nil
}

// addOutputs adds the outputs of a workflow that has ended to its status, or why they are left out.
func (r *Runner) addOutputs(ctx context.Context, st *wire.WorkflowStatus) {
	outputs, _, err := r.store.Get(ctx, workflow.OutputsName(st.ID))
	switch {
	case err != nil:
		st.OutputsUnknown = fmt.Errorf("outputs can't be read: %w", err).Error()
	case len(outputs) >= maxOutputBytes:
		st.OutputsUnknown = fmt.Sprintf("outputs have %d bytes, more than a status takes", len(outputs))
	default:
		st.Outputs = outputs
	}
}

// knownSteps returns a workflow's record, nil if it is not among the records, and its steps if this
// controller drives it and knows them all: it may have taken the workflow up only in part. A run of an
// earlier revision knows nothing of the end that another controller recorded.
func (r *Runner) knownSteps(id wire.WorkflowID) (w *ledger.Workflow, steps []wire.StepStatus, driven bool) {
	r.Cache.Lock()
	defer r.Cache.Unlock()
	w = r.records().Workflow(id)
	if d := r.driven[id]; d != nil && w != nil && d.revision == w.Version && d.steps != nil {
		return w, d.steps, true
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

// Bounds of reporting on workflows.
const (
	maxInspected    = 64               // workflows that other controllers drive
	inspectFor      = 30 * time.Second // after the last request
	inspectInterval = 50 * time.Millisecond
	maxOutputBytes  = 48 << 10 // larger outputs are left out of the status
)

// Why a workflow's steps are left out of its status.
var (
	errTooManyInspections = errors.New("too many workflows are asked about here, ask again later")
	errInspectionTime     = errors.New("steps could not be read in the request's time, ask again later")
)

// inspect replays the steps of a workflow that another controller drives, from its documents and jobs as
// any driver would. It returns all steps, or an error that says why they can't be told. A replay that is cut
// short by the end of one request is gone on with by the next.
func (r *Runner) inspect(ctx context.Context, record *ledger.Workflow) ([]wire.StepStatus, error) {
	now := time.Now()
	inspected := r.inspectionOf(record.ID, now)
	if inspected == nil {
		return nil, errTooManyInspections
	}
	select {
	case inspected.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, errInspectionTime
	}
	defer func() { <-inspected.turn }()
	if inspected.run == nil || inspected.revision != record.Version {
		run, err := r.resume(context.WithoutCancel(ctx), record, &inspected.archiveMissed)
		if err != nil {
			return nil, err
		}
		run.Look()
		inspected.run, inspected.revision = run, record.Version
	}
	for {
		inspected.archiveMissed.Store(false)
		_, _, err := inspected.run.Step(ctx, now, 0)
		switch {
		case ctx.Err() != nil:
			return nil, errInspectionTime
		case err != nil:
			return nil, fmt.Errorf("steps can't be read: %w", err)
		case inspected.run.Whole(record.State) && !inspected.archiveMissed.Load():
			return inspected.run.Steps(r.waitReason), nil
		}
		wait.For(ctx, inspectInterval)
	}
}

// inspectionOf returns the inspection of a workflow, begun if there is none; nil if there are too many.
// It forgets those that were not requested for inspectFor.
func (r *Runner) inspectionOf(id wire.WorkflowID, now time.Time) *inspection {
	r.Cache.Lock()
	defer r.Cache.Unlock()
	for other, i := range r.inspected {
		if now.Sub(i.requestedAt) > inspectFor {
			delete(r.inspected, other)
		}
	}
	inspected := r.inspected[id]
	if inspected == nil && len(r.inspected) < maxInspected {
		inspected = newInspection()
		r.inspected[id] = inspected
	}
	if inspected != nil {
		inspected.requestedAt = now
	}
	return inspected
}

// waitReason says in a few words what a step's job waits for; "" if it runs.
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

// Cancel cancels a workflow and returns its final state. Its steps' jobs are cancelled by the controller that
// drives it; none is submitted any more.
func (r *Runner) Cancel(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	return r.move(ctx, id, ledger.WorkflowCancelled)
}

// Resume lets a workflow that failed go on from the failure.
func (r *Runner) Resume(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	return r.move(ctx, id, ledger.WorkflowActive)
}

func (r *Runner) move(ctx context.Context, id wire.WorkflowID, to ledger.WorkflowState) (wire.WorkflowStatus, error) {
	st, err := r.Status(ctx, id)
	if err != nil {
		return st, err
	}
	if st.Status == wire.Done || st.Status == wire.Cancelled { // and perhaps archived
		if to == ledger.WorkflowActive {
			err = ErrNotFailed
		}
		return st, err
	}
	got, err := r.endWorkflow(ctx, id, to, "")
	if err != nil {
		return wire.WorkflowStatus{}, err
	}
	if to == ledger.WorkflowActive && got != to {
		return wire.WorkflowStatus{}, ErrNotFailed
	}
	return r.Status(ctx, id)
}
