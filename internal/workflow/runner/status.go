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
// its steps from the run, others replay them.
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
		steps = r.inspect(ctx, w)
	}
	st.Steps, st.Reason, st.Status = steps, w.Why, statusOf(w.State)
	if st.Status == wire.Done || st.Status == wire.Failed {
		if b, _, err := r.store.Get(ctx, workflow.OutputsName(id)); err == nil && len(b) < maxOutputBytes {
			st.Outputs = b
		}
	}
	return st, nil
}

// knownSteps returns a workflow's record, nil if it is not among the records, and its steps if this
// controller drives it. A run of an earlier revision knows nothing of the end that another controller
// recorded.
func (r *Runner) knownSteps(id wire.WorkflowID) (w *ledger.Workflow, steps []wire.StepStatus, driven bool) {
	r.Cache.Lock()
	defer r.Cache.Unlock()
	w = r.records().Workflow(id)
	if d := r.driven[id]; d != nil && w != nil && d.revision == w.Version {
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

// inspect replays the steps of a workflow that another controller drives, from its documents and jobs as
// any driver would; nil if they can't be read, or too many workflows are inspected.
func (r *Runner) inspect(ctx context.Context, record *ledger.Workflow) []wire.StepStatus {
	now := time.Now()
	inspected := r.inspectionOf(record.ID, now)
	if inspected == nil {
		return nil
	}
	inspected.mu.Lock()
	defer inspected.mu.Unlock()
	if inspected.run == nil || inspected.revision != record.Version {
		run, err := r.resume(context.WithoutCancel(ctx), record, &inspected.archiveMissed)
		if err != nil {
			return nil
		}
		run.Look()
		inspected.run, inspected.revision = run, record.Version
	}
	for {
		inspected.archiveMissed.Store(false)
		if _, _, err := inspected.run.Step(ctx, now, 0); err != nil {
			r.log.Debug("workflow not looked at", "workflow", record.ID, "err", err)
		}
		// Everything is known of a workflow that has ended, if not in one pass. Others may change any time.
		if !record.Ended() || !inspected.run.Cut() && !inspected.archiveMissed.Load() || ctx.Err() != nil {
			break
		}
		wait.For(ctx, inspectInterval)
	}
	return inspected.run.Steps(r.waitReason)
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
		inspected = new(inspection)
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
			max(0, snapshot.Queue[position].Retry.Sub(now)).Round(time.Second),
		)
	case snapshot.TeamRoom(j, ledger.Resources{}, 1) < 1:
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
