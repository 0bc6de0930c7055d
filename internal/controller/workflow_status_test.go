package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// slowStepData delays the reads of a store. As with a file server, a read fails once its context is done.
type slowStepData struct {
	stepdata.Store
	readDelay atomic.Int64 // nanoseconds
}

// Get implements stepdata.Store.
func (s *slowStepData) Get(ctx context.Context, name string) ([]byte, stepdata.Info, error) {
	wait.For(ctx, time.Duration(s.readDelay.Load()))
	if err := ctx.Err(); err != nil {
		return nil, stepdata.Info{}, err
	}
	return s.Store.Get(ctx, name)
}

// TestWorkflowStatusHasAllStepsOrReason guards against a status that presents an incomplete list of steps as
// complete. A controller that does not execute a workflow replays it to answer a status request. When the
// request timed out during the replay, the status of a finished workflow reported the steps not yet replayed
// as running (in TestWorkflowHistories: step s was running with 0 of 8 runs finished). The test uses timeouts
// from zero to the duration of a full replay, single requests and concurrent ones that share a
// replay, before and after the workflow and its jobs are archived.
func TestWorkflowStatusHasAllStepsOrReason(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		slow := new(slowStepData)
		s, cancel := newSharedClusterWith(t, 3, func(s *sharedCluster) {
			slow.Store = s.stepData
			s.stepData = slow
		})
		const id = wire.WorkflowID("wf-000001")
		s.submitWorkflow(s.ctx, workflowSpec(id, workflowCases[0].document, json.RawMessage(`{"x":"receipt"}`)))
		for s.controller(0) != nil && s.workflowState(id) == ledger.WorkflowActive && s.ctx.Err() == nil {
			wait.For(s.ctx, time.Second)
		}
		slow.readDelay.Store(int64(70 * time.Millisecond))
		incomplete, complete := 0, 0
		for round := range 2 {
			for timeout := range 12 {
				incomplete += s.requestWithTimeout(id, 40*time.Millisecond*time.Duration(timeout))
				wait.For(s.ctx, 45*time.Second) // until cached replays expire
			}
			complete += s.requestConcurrently(id)
			if round == 0 {
				wait.For(s.ctx, 5*time.Minute) // until it is archived
			}
		}
		if incomplete == 0 || complete == 0 {
			t.Errorf("got %d statuses without steps and %d with all steps, want some of both", incomplete, complete)
		}
		s.shutDown(cancel)
	})
}

// workflowState returns the state of a workflow in the first controller's cached records.
func (s *sharedCluster) workflowState(id wire.WorkflowID) ledger.WorkflowState {
	c := s.controller(0)
	c.cache.Lock()
	defer c.cache.Unlock()
	if w := c.cache.Records().Workflow(id); w != nil {
		return w.State
	}
	return ledger.WorkflowActive
}

// requestWithTimeout requests the status of a finished workflow from each controller. It returns how many
// responses lacked the steps.
func (s *sharedCluster) requestWithTimeout(id wire.WorkflowID, timeout time.Duration) (incomplete int) {
	for i := range 3 {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		status, err := s.controller(i).Workflows.Status(ctx, id)
		cancel()
		if err == nil && !s.checkDoneStatus(status, fmt.Sprintf("timeout %v", timeout)) {
			incomplete++
		}
	}
	return incomplete
}

// requestConcurrently sends each controller two concurrent status requests, of which one times out during the
// replay; the other must still get all steps. It returns how many responses had all steps.
func (s *sharedCluster) requestConcurrently(id wire.WorkflowID) (complete int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range 3 {
		for _, timeout := range []time.Duration{100 * time.Millisecond, 10 * time.Second} {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(s.ctx, timeout)
				defer cancel()
				startedAt := time.Now()
				status, err := s.controller(i).Workflows.Status(ctx, id)
				if elapsed := time.Since(startedAt); elapsed > timeout+time.Second {
					s.t.Errorf("status request with timeout %v: got a response after %v", timeout, elapsed)
				}
				hasSteps := err == nil && s.checkDoneStatus(status, "concurrent request")
				if timeout > time.Second && !hasSteps {
					s.t.Errorf("m-%d, concurrent request timed out: got %+v, error %v, want all steps", i, status, err)
				}
				mu.Lock()
				defer mu.Unlock()
				if hasSteps {
					complete++
				}
			})
		}
	}
	group.Wait()
	return complete
}

// checkDoneStatus checks the status of a finished workflow and reports whether it has the steps. A status
// without steps must give the reason in steps_unknown.
func (s *sharedCluster) checkDoneStatus(status wire.WorkflowStatus, when string) bool {
	if status.Status != wire.Done {
		s.t.Errorf("%s: got status %q, want done", when, status.Status)
	}
	for _, step := range status.Steps {
		if step.Finished != step.Total {
			s.t.Errorf("%s: step %s (%s): got %d of %d runs finished, want all",
				when, step.Step, step.State, step.Finished, step.Total)
		}
	}
	encoded, err := json.Marshal(status)
	if err != nil {
		s.t.Error(err)
	}
	reasonGiven := strings.Contains(string(encoded), `"steps_unknown"`)
	if reasonGiven == (len(status.Steps) > 0) {
		s.t.Errorf("%s: got %s, want either steps or steps_unknown", when, encoded)
	}
	return len(status.Steps) > 0
}
