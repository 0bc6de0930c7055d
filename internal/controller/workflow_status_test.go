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

// slowStepData is a store whose reads take a while, and end with their context as a file server's do.
type slowStepData struct {
	stepdata.Store
	readTime atomic.Int64 // nanoseconds
}

// Get implements stepdata.Store.
func (s *slowStepData) Get(ctx context.Context, name string) ([]byte, stepdata.Info, error) {
	wait.For(ctx, time.Duration(s.readTime.Load()))
	if err := ctx.Err(); err != nil {
		return nil, stepdata.Info{}, err
	}
	return s.Store.Get(ctx, name)
}

// TestWorkflowStatusIsWholeOrSaysNot guards against a status that shows part of the steps as all of them. A
// controller that does not drive a workflow replays it to answer a request. Where the request's time ended
// within the replay, the status of a workflow that was done named the steps not replayed yet as running
// ("step s (running): got 0 runs over, want 8" in TestWorkflowHistories). Here requests are given every time
// from none to that of the whole replay, alone and while others wait for the same replay, before and after
// the workflow and its jobs are archived.
func TestWorkflowStatusIsWholeOrSaysNot(t *testing.T) {
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
		slow.readTime.Store(int64(70 * time.Millisecond))
		refused, whole := 0, 0
		for round := range 2 {
			for timeout := range 12 {
				refused += s.askInTime(id, 40*time.Millisecond*time.Duration(timeout))
				wait.For(s.ctx, 45*time.Second) // replays are forgotten
			}
			whole += s.askTogether(id)
			if round == 0 {
				wait.For(s.ctx, 5*time.Minute) // archived
			}
		}
		if refused == 0 || whole == 0 {
			t.Errorf("got %d answers without steps and %d with all of them, want some of both", refused, whole)
		}
		s.shutDown(cancel)
	})
}

// workflowState returns the state of a workflow by the records of the first controller.
func (s *sharedCluster) workflowState(id wire.WorkflowID) ledger.WorkflowState {
	c := s.controller(0)
	c.cache.Lock()
	defer c.cache.Unlock()
	if w := c.cache.Records().Workflow(id); w != nil {
		return w.State
	}
	return ledger.WorkflowActive
}

// askInTime asks all controllers about a workflow that is done, with a timeout. It returns how many answered
// without the steps.
func (s *sharedCluster) askInTime(id wire.WorkflowID, timeout time.Duration) (refused int) {
	for i := range 3 {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		status, err := s.controller(i).Workflows.Status(ctx, id)
		cancel()
		if err == nil && !s.checkStatus(status, fmt.Sprintf("within %v", timeout)) {
			refused++
		}
	}
	return refused
}

// askTogether asks each controller twice at once: the first request gives up early, and the second still
// gets all steps. It returns how many answers had them.
func (s *sharedCluster) askTogether(id wire.WorkflowID) (whole int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range 3 {
		for _, timeout := range []time.Duration{100 * time.Millisecond, 10 * time.Second} {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(s.ctx, timeout)
				defer cancel()
				began := time.Now()
				status, err := s.controller(i).Workflows.Status(ctx, id)
				if took := time.Since(began); took > timeout+time.Second {
					s.t.Errorf("a request with a timeout of %v: got an answer after %v", timeout, took)
				}
				got := err == nil && s.checkStatus(status, "beside another request")
				if timeout > time.Second && !got {
					s.t.Errorf("m-%d beside a request that gave up: got %+v, error %v, want all steps", i, status, err)
				}
				mu.Lock()
				defer mu.Unlock()
				if got {
					whole++
				}
			})
		}
	}
	group.Wait()
	return whole
}

// checkStatus checks the status of a workflow that is done, and reports whether it has the steps. Without
// them it must say why.
func (s *sharedCluster) checkStatus(status wire.WorkflowStatus, when string) bool {
	if status.Status != wire.Done {
		s.t.Errorf("%s: got status %q, want done", when, status.Status)
	}
	for _, step := range status.Steps {
		if step.Finished != step.Total {
			s.t.Errorf("%s: step %s (%s): got %d of %d runs over, want all",
				when, step.Step, step.State, step.Finished, step.Total)
		}
	}
	encoded, err := json.Marshal(status)
	if err != nil {
		s.t.Error(err)
	}
	said := strings.Contains(string(encoded), `"steps_unknown"`)
	if said == (len(status.Steps) > 0) {
		s.t.Errorf("%s: got %s, want steps or why there are none", when, encoded)
	}
	return len(status.Steps) > 0
}
