package runner

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/state/ledger"
	"maddermill/internal/workflow"
	"maddermill/wire"
)

// Timeouts of one operation on a step's job.
const (
	writeTimeout   = 3 * time.Second
	archiveTimeout = time.Second
)

// stepJobs implements workflow.Jobs on the controller's jobs.
type stepJobs struct {
	runner            *Runner
	ended             bool         // the workflow has ended, so its steps' jobs may be archived
	archiveReadFailed *atomic.Bool // set when reading from the archive fails
}

// StepState returns the state of a step's job.
func (s stepJobs) StepState(id wire.JobID) workflow.JobState {
	s.runner.Cache.Lock()
	job := s.runner.records().Job(id)
	if job == nil {
		s.runner.Cache.Unlock()
		if !s.ended {
			return workflow.Unknown
		}
		// Only steps of workflows that have ended are archived.
		ctx, cancel := context.WithTimeout(context.Background(), archiveTimeout)
		defer cancel()
		switch st, err := s.runner.Jobs.ArchivedStatus(ctx, id); {
		case st.Status == wire.Done:
			return workflow.Done
		case st.Status == wire.Cancelled:
			return workflow.Cancelled
		case !errors.Is(err, server.ErrNoSuchJob):
			s.archiveReadFailed.Store(true)
		}
		return workflow.Unknown
	}
	defer s.runner.Cache.Unlock()
	switch job.State {
	case ledger.Done:
		return workflow.Done
	case ledger.Cancelled:
		return workflow.Cancelled
	}
	if rounds, crashLooping := s.runner.Failures.CrashLooping(id); crashLooping && rounds >= abandonAfterRounds {
		return workflow.CrashLooping
	}
	return workflow.Active
}

// SubmitStep accepts a step's job as if a user submitted it, on the condition that the workflow is active.
func (s stepJobs) SubmitStep(ctx context.Context, workflowID wire.WorkflowID, spec *wire.JobSpec) error {
	r := s.runner
	r.Cache.Lock()
	admitErr := r.Jobs.Admit(spec, time.Now()) //nolint:contextcheck // policy modules have their own time limit
	r.Cache.Unlock()
	if errors.Is(admitErr, server.ErrUnschedulable) {
		return errors.Join(workflow.ErrUnschedulable, admitErr)
	}
	if admitErr != nil {
		return errors.Join(workflow.ErrRetryLater, admitErr)
	}
	acceptedAt := wire.UnixMillis(time.Now().UnixMilli())
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.Committer.CommitNow(ctx, func(txn *ledger.Transaction) error {
		w := r.records().Workflow(workflowID)
		if w == nil {
			return ledger.ErrPreconditionFailed
		}
		return txn.SubmitStep(w, spec, acceptedAt, r.Deadlines.GalleryOf(spec, workflowID))
	})
	switch {
	case err == nil:
		r.log.Info("job accepted",
			"job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks, "workflow", workflowID)
		r.stats.Add("jobs_accepted_total", 1)
		return nil
	case errors.Is(err, ledger.ErrPreconditionFailed):
		return nil // the job exists or the workflow has ended: the next pass sees which
	case errors.Is(err, ledger.ErrTooLarge):
		return errors.Join(workflow.ErrUnschedulable, err)
	}
	return errors.Join(workflow.ErrRetryLater, err)
}

// CancelStep cancels a step's job.
func (s stepJobs) CancelStep(ctx context.Context, id wire.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := s.runner.Jobs.Cancel(ctx, id)
	return err
}

// EndWorkflow records the end of a workflow.
func (s stepJobs) EndWorkflow(ctx context.Context, id wire.WorkflowID, state ledger.WorkflowState, why string) error {
	_, err := s.runner.endWorkflow(ctx, id, state, why)
	return err
}

// endWorkflow records the end of a workflow and returns the state that it then has.
func (r *Runner) endWorkflow(
	ctx context.Context,
	id wire.WorkflowID,
	state ledger.WorkflowState,
	why string,
) (recorded ledger.WorkflowState, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err = r.Committer.CommitNow(ctx, func(txn *ledger.Transaction) error {
		w := r.records().Workflow(id)
		if w == nil {
			return ledger.ErrPreconditionFailed
		}
		var err error
		recorded, err = txn.SetWorkflowState(w, state, why)
		return err
	})
	if err == nil && recorded == state {
		r.log.Info("workflow state changed", "workflow", id, "state", cmp.Or(string(state), "active"), "why", why)
	}
	return recorded, err
}
