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

// stepJobs is the service as workflows see it.
type stepJobs struct {
	c    *Runner
	over bool         // the workflow is, so its steps' jobs may be archived
	miss *atomic.Bool // set when the archive could not be read
}

func (s stepJobs) StepState(id wire.JobID) workflow.JobState {
	s.c.Cache.Lock()
	j := s.c.led().Job(id)
	if j == nil {
		s.c.Cache.Unlock()
		if !s.over {
			return workflow.Unknown
		}
		// Only the steps of a workflow that is over are archived.
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		switch st, err := s.c.Jobs.Archived(ctx, id); {
		case st.Status == wire.Done:
			return workflow.Done
		case st.Status == wire.Cancelled:
			return workflow.Cancelled
		case !errors.Is(err, server.ErrNoSuchJob):
			s.miss.Store(true)
		}
		return workflow.Unknown
	}
	defer s.c.Cache.Unlock()
	switch {
	case j.State == ledger.Done:
		return workflow.Done
	case j.State == ledger.Cancelled:
		return workflow.Cancelled
	}
	if rounds, suspect := s.c.Failures.CrashLooping(id); suspect && rounds >= doubtfulAfter {
		return workflow.Doubtful
	}
	return workflow.Active
}

// SubmitStep accepts a step's job as Submit does a user's, on the condition that the
// workflow is active.
func (s stepJobs) SubmitStep(ctx context.Context, of wire.WorkflowID, spec *wire.JobSpec) error {
	c := s.c
	c.Cache.Lock()
	verdict := c.Jobs.Admit(spec, time.Now())
	c.Cache.Unlock()
	if errors.Is(verdict, server.ErrUnschedulable) {
		return errors.Join(workflow.ErrNever, verdict)
	}
	if verdict != nil {
		return errors.Join(workflow.ErrNotNow, verdict)
	}
	at := wire.UnixMillis(time.Now().UnixMilli())
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	err := c.Committer.CommitNow(ctx, func(d *ledger.Transaction) error {
		w := c.led().Workflow(of)
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

func (s stepJobs) CancelStep(ctx context.Context, id wire.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	_, err := s.c.Jobs.Cancel(ctx, id)
	return err
}

func (s stepJobs) EndWorkflow(ctx context.Context, id wire.WorkflowID, state ledger.WorkflowState, why string) error {
	_, err := s.c.endWorkflow(ctx, id, state, why)
	return err
}

func (c *Runner) endWorkflow(
	ctx context.Context,
	id wire.WorkflowID,
	state ledger.WorkflowState,
	why string,
) (got ledger.WorkflowState, err error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	err = c.Committer.CommitNow(ctx, func(d *ledger.Transaction) error {
		w := c.led().Workflow(id)
		if w == nil {
			return ledger.ErrPreconditionFailed
		}
		var err error
		got, err = d.EndWorkflow(w, state, why)
		return err
	})
	if err == nil && got == state {
		c.log.Info("workflow", "workflow", id, "state", cmp.Or(string(state), "active"), "why", why)
	}
	return got, err
}
