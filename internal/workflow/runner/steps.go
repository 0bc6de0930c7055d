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

// stepJobs implements workflow.Jobs: the jobs of steps.
type stepJobs struct {
	runner        *Runner
	ended         bool         // the workflow is, so its steps' jobs may be archived
	archiveMissed *atomic.Bool // set when the archive could not be read
}

// StepState returns the state of a step's job.
func (s stepJobs) StepState(id wire.JobID) workflow.JobState {
	s.runner.Cache.Lock()
	j := s.runner.records().Job(id)
	if j == nil {
		s.runner.Cache.Unlock()
		if !s.ended {
			return workflow.Unknown
		}
		// Only the steps of a workflow that is over are archived.
		ctx, cancel := context.WithTimeout(context.Background(), archiveTimeout)
		defer cancel()
		switch st, err := s.runner.Jobs.ArchivedStatus(ctx, id); {
		case st.Status == wire.Done:
			return workflow.Done
		case st.Status == wire.Cancelled:
			return workflow.Cancelled
		case !errors.Is(err, server.ErrNoSuchJob):
			s.archiveMissed.Store(true)
		}
		return workflow.Unknown
	}
	defer s.runner.Cache.Unlock()
	switch j.State {
	case ledger.Done:
		return workflow.Done
	case ledger.Cancelled:
		return workflow.Cancelled
	}
	if rounds, suspect := s.runner.Failures.CrashLooping(id); suspect && rounds >= abandonAfterRounds {
		return workflow.Doubtful
	}
	return workflow.Active
}

// SubmitStep accepts a step's job as Submit does a user's, on the condition that the
// workflow is active.
func (s stepJobs) SubmitStep(ctx context.Context, of wire.WorkflowID, spec *wire.JobSpec) error {
	c := s.runner
	c.Cache.Lock()
	verdict := c.Jobs.Admit(spec, time.Now()) //nolint:contextcheck // a module that decides has a time limit of its own
	c.Cache.Unlock()
	if errors.Is(verdict, server.ErrUnschedulable) {
		return errors.Join(workflow.ErrNever, verdict)
	}
	if verdict != nil {
		return errors.Join(workflow.ErrNotNow, verdict)
	}
	at := wire.UnixMillis(time.Now().UnixMilli())
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := c.Committer.CommitNow(ctx, func(d *ledger.Transaction) error {
		w := c.records().Workflow(of)
		if w == nil {
			return ledger.ErrPreconditionFailed
		}
		return d.SubmitStep(w, spec, at, c.Deadlines.GalleryOf(spec, of))
	})
	switch {
	case err == nil:
		c.log.Info("job accepted",
			"job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks, "workflow", of)
		c.stats.Add("jobs_accepted_total", 1)
		return nil
	case errors.Is(err, ledger.ErrPreconditionFailed):
		return nil // it is known, or the workflow is over: the next look tells
	case errors.Is(err, ledger.ErrTooLarge):
		return errors.Join(workflow.ErrNever, err)
	}
	return errors.Join(workflow.ErrNotNow, err)
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
) (got ledger.WorkflowState, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err = r.Committer.CommitNow(ctx, func(d *ledger.Transaction) error {
		w := r.records().Workflow(id)
		if w == nil {
			return ledger.ErrPreconditionFailed
		}
		var err error
		got, err = d.SetWorkflowState(w, state, why)
		return err
	})
	if err == nil && got == state {
		r.log.Info("workflow", "workflow", id, "state", cmp.Or(string(state), "active"), "why", why)
	}
	return got, err
}
