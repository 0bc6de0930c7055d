package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.yaml.in/yaml/v4"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// TestWorkflowHistories runs all workflow cases alongside users' jobs, with random faults and lost or delayed
// messages. Each workflow must end with the result of sequential interpretation, no task of a step may run
// twice, a final state must not change, and the tasks of a cancelled workflow must end in time.
func TestWorkflowHistories(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= max(3, seedCount()/2); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWorkflowCases(t, newTestCluster(t, seed)) })
		})
	}
}

// TestPauseAtEachWorkflowStep pauses a controller's process for 50 s at each kind of write in a workflow's
// lifecycle, before the request is sent and before its response is read. Delayed requests must violate no rule,
// and all workflows must end with the result of sequential interpretation.
func TestPauseAtEachWorkflowStep(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"documents", "workflow", "step", "workflow end", "workflow cancelled", "prune"} {
		for _, side := range []string{" sent", " answered"} {
			t.Run(kind+side, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newTestCluster(t, 9)
					cluster.noRandomFaults, cluster.pauseAtStep = true, kind+side
					runWorkflowCases(t, cluster)
					if !cluster.pausedAtStep {
						t.Error("the controller never reached the step at which it pauses")
					}
				})
			})
		}
	}
}

// runWorkflowCases runs all workflow cases and a cancelled workflow alongside ten jobs, and checks the results.
func runWorkflowCases(t *testing.T, cluster *testCluster) {
	t.Helper()
	cluster.emulateSteps(func(wire.JobID) {})
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 8 * time.Second }
	ended := 0
	cluster.onStart = func(ctx context.Context) {
		for i, tc := range workflowCases {
			cluster.group.Go(func() {
				// A zero wait could crash the race detector: see testCluster.run.
				wait.For(ctx, time.Millisecond+time.Duration(cluster.randomInt(60))*time.Second)
				id := wire.WorkflowID(fmt.Sprintf("wf-%06d", i))
				if cluster.runWorkflow(ctx, id, tc.document, tc.inputs, tc.state) {
					cluster.mu.Lock()
					ended++
					cluster.mu.Unlock()
				}
			})
		}
		cluster.group.Go(func() { cluster.runCancelledWorkflow(ctx, "wf-000100") })
	}
	cluster.archiving = true
	cluster.run(9*time.Minute, 10, 0.03)
	cluster.checkArchive()
	archived := cluster.countItems(func(key string) bool {
		return strings.HasPrefix(key, ledger.FinalWorkflowKey(""))
	})
	if archived == 0 {
		t.Error("archived workflows: got 0, want some")
	}
	cluster.reportBrokenRules()
	if ended < len(workflowCases) {
		t.Errorf("ended workflows: got %d, want %d", ended, len(workflowCases))
	}
}

// emulateSteps enables workflows, makes the specs of jobs that controllers submit known to the machines, and
// executes a step when its task finishes. After each it calls onFinished with the step's job.
func (cluster *testCluster) emulateSteps(onFinished func(wire.JobID)) {
	cluster.stepData = new(stepdata.Mem)
	cluster.store.OnPut = func(change wire.Change) {
		if spec, ok := emulator.Spec(change); ok {
			cluster.world.Upload(spec)
		}
	}
	cluster.world.Finished = func(task wire.TaskID) {
		if err := emulator.RunStep(context.Background(), cluster.stepData, task.Job); err != nil {
			cluster.t.Error(err)
		}
		onFinished(task.Job)
	}
}

// workflowSpec returns the spec of a workflow with a single document.
func workflowSpec(id wire.WorkflowID, document string, inputs json.RawMessage) *wire.WorkflowSpec {
	return &wire.WorkflowSpec{
		ID:       id,
		Class:    "c",
		Team:     "free",
		Priority: wire.High,
		Spot:     true,
		Entry:    "main.cwl",
		Bundle:   map[string]string{"main.cwl": workflowHead + document},
		Inputs:   inputs,
	}
}

// submitWorkflow submits a workflow to random controllers until one accepts it. It returns false if ctx ends first.
func (cluster *testCluster) submitWorkflow(ctx context.Context, spec *wire.WorkflowSpec) bool {
	submit := func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		status, _, err := c.Workflows.Submit(ctx, spec)
		return status, err
	}
	_, ok := retryUntilAnswered(ctx, cluster, string(spec.ID), submit)
	return ok
}

// runWorkflow submits a workflow, polls it until it ends and checks its outputs, also after it is archived and
// submitted again. It returns false if ctx ends first.
func (cluster *testCluster) runWorkflow(
	ctx context.Context,
	id wire.WorkflowID,
	document, inputs string,
	want ledger.WorkflowState,
) bool {
	var values map[string]any
	if err := yaml.Unmarshal([]byte(inputs), &values); err != nil {
		cluster.t.Error(err)
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		cluster.t.Error(err)
	}
	spec := workflowSpec(id, document, encoded)
	if !cluster.submitWorkflow(ctx, spec) {
		return false
	}
	status := func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		return c.Workflows.Status(ctx, id)
	}
	for ctx.Err() == nil {
		wait.For(ctx, 3*time.Second)
		got, ok := retryUntilAnswered(ctx, cluster, string(id), status)
		if !ok || got.Status == wire.Running {
			continue
		}
		//nolint:contextcheck // sequential interpretation uses the context of the test
		cluster.checkOutputs(got, id, document, inputs, want)
		// Once the workflow and the jobs of its steps are archived, request its status and submit it again.
		wait.For(ctx, time.Minute)
		submitAgain := func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
			status, created, err := c.Workflows.Submit(ctx, spec)
			if created {
				cluster.t.Errorf("seed %d: resubmitting %s after it ended created a new workflow", cluster.seed, id)
			}
			return status, err
		}
		for _, ask := range []func(context.Context, *Controller) (wire.WorkflowStatus, error){status, submitAgain} {
			if again, ok := retryUntilAnswered(ctx, cluster, string(id), ask); ok {
				cluster.checkFinalWorkflow(again, got, id, want)
			}
		}
		return true
	}
	return false
}

// checkOutputs checks the final state and the outputs of a workflow against the sequential interpretation.
func (cluster *testCluster) checkOutputs(
	got wire.WorkflowStatus,
	id wire.WorkflowID,
	document, inputs string,
	want ledger.WorkflowState,
) {
	cluster.t.Helper()
	wantStatus := map[ledger.WorkflowState]wire.Status{
		ledger.WorkflowDone:   wire.Done,
		ledger.WorkflowFailed: wire.Failed,
	}[want]
	var outputs map[string]any
	err := exactjson.Unmarshal(got.Outputs, &outputs)
	wantOutputs := interpretSequentially(cluster.t, document, inputs)
	if got.Status != wantStatus || err != nil || !reflect.DeepEqual(outputs, wantOutputs) {
		cluster.t.Errorf(
			"seed %d: %s: got %s with %s (%s), error %v; want %s with %v",
			cluster.seed,
			id,
			got.Status,
			got.Outputs,
			got.Reason,
			err,
			wantStatus,
			wantOutputs,
		)
	}
}

// checkFinalWorkflow checks that the status and outputs of an ended workflow have not changed, and that all runs of
// its steps are finished if it is done.
func (cluster *testCluster) checkFinalWorkflow(
	got, before wire.WorkflowStatus,
	id wire.WorkflowID,
	want ledger.WorkflowState,
) {
	cluster.t.Helper()
	if got.Status != before.Status || !bytes.Equal(got.Outputs, before.Outputs) {
		cluster.t.Errorf("seed %d: %s after it ended: got status %s, want it to remain %s",
			cluster.seed, id, got.Status, before.Status)
	}
	for _, step := range got.Steps {
		if want == ledger.WorkflowDone && step.Finished != step.Total {
			cluster.t.Errorf(
				"seed %d: step %s of %s (%s): got %d runs finished, want %d",
				cluster.seed,
				step.Step,
				id,
				step.State,
				step.Finished,
				step.Total,
			)
		}
	}
}

// runCancelledWorkflow submits a workflow with nine scattered runs and cancels it while it runs. From then on the
// emulated world checks that no task of its jobs starts and that all end in time.
func (cluster *testCluster) runCancelledWorkflow(ctx context.Context, id wire.WorkflowID) {
	inputs := json.RawMessage(`{"x":["1","2","3","4","5","6","7","8","9"]}`)
	spec := workflowSpec(id, workflowCases[scatterCaseIndex].document, inputs)
	spec.Priority = wire.Normal
	cluster.submitWorkflow(ctx, spec)
	wait.For(ctx, 12*time.Second)
	cancel := func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		return c.Workflows.Cancel(ctx, id)
	}
	status, ok := retryUntilAnswered(ctx, cluster, string(id), cancel)
	if !ok || status.Status != wire.Cancelled {
		return // the workflow finished first, or ctx has ended
	}
	for i := range 9 {
		for attempt := range 3 {
			job := workflow.StepJobID(id, fmt.Sprintf("s[%d]", i), attempt)
			if cluster.world.Known(job) {
				cluster.world.ObserveAnswer(job, wire.Cancelled)
			}
		}
	}
}

// storeLedger is a ledger whose transactions are committed to an emulated state service.
type storeLedger struct {
	*ledger.Ledger
	store *emulator.Store
}

// buildTransaction returns the request for the transaction that change fills.
func (r *storeLedger) buildTransaction(change func(*ledger.Transaction) error) (wire.Txn, error) {
	txn := r.NewTransaction()
	if err := change(txn); err != nil {
		return wire.Txn{}, err
	}
	return txn.Request()
}

// commit executes a transaction in the state service and applies its changes to the ledger.
func (r *storeLedger) commit(txn wire.Txn) error {
	revision, err := r.store.Apply(txn)
	if err != nil {
		return err
	}
	for _, change := range txn.Then {
		r.Apply(ledger.Event{Key: change.Put, Value: change.Value, Version: revision})
	}
	return nil
}

// mustCommit builds and commits a transaction, and fails the test on error.
func (r *storeLedger) mustCommit(t *testing.T, change func(*ledger.Transaction) error) {
	t.Helper()
	txn, err := r.buildTransaction(change)
	if err = errors.Join(err, r.commit(txn)); err != nil {
		t.Fatal(err)
	}
}

// submitStep returns a change that submits step n of a workflow.
func (r *storeLedger) submitStep(id wire.WorkflowID, n int) func(*ledger.Transaction) error {
	return func(txn *ledger.Transaction) error {
		spec := &wire.JobSpec{
			ID:       workflow.StepJobID(id, fmt.Sprint("s", n), 0),
			Team:     "free",
			Shape:    wire.Array,
			Priority: wire.Normal,
			Tasks:    1,
			CPUs:     1,
		}
		return txn.SubmitStep(r.Workflow(id), spec, 1, nil)
	}
}

// TestLateStepAfterWorkflowCancellation checks that a delayed transaction that submits a step fails once the
// cancellation of its workflow is committed, and that no new one can be built. Random histories don't detect
// the absence of this precondition, since the runner prunes the steps that it knows of.
func TestLateStepAfterWorkflowCancellation(t *testing.T) {
	t.Parallel()
	set := newTestSettings(t, 0)
	r := &storeLedger{
		Ledger: newTestController(t).cache.Records(),
		store:  emulator.NewStore(set.StateLimits().TxnOps, set.StateLimits().ValueBytes),
	}
	spec := &wire.WorkflowSpec{ID: "wf-000001", Team: "free", Priority: wire.Normal}
	r.mustCommit(t, func(txn *ledger.Transaction) error {
		return txn.SubmitWorkflow(spec.ID, ledger.WorkflowRecord{Spec: spec, Hash: "h", Pieces: 1, Accepted: 1})
	})
	r.mustCommit(t, r.submitStep(spec.ID, 0))
	late, err := r.buildTransaction(r.submitStep(spec.ID, 1))
	if err != nil {
		t.Fatal(err)
	}
	r.mustCommit(t, func(txn *ledger.Transaction) error {
		_, err := txn.SetWorkflowState(r.Workflow(spec.ID), ledger.WorkflowCancelled, "")
		return err
	})
	job := r.Job(workflow.StepJobID(spec.ID, "s0", 0))
	if job.State != ledger.Active || job.Pending() > 0 {
		t.Errorf("step of a cancelled workflow: got state %v, %d tasks pending; want active, 0", job.State, job.Pending())
	}
	if err := r.commit(late); err == nil {
		t.Error("commit of a step after its workflow's cancellation: got no error, want one")
	}
	if _, err := r.buildTransaction(r.submitStep(spec.ID, 2)); !errors.Is(err, ledger.ErrPreconditionFailed) {
		t.Errorf("new step after its workflow's cancellation: got error %v, want %v", err, ledger.ErrPreconditionFailed)
	}
	// The final state is immutable: a cancelled workflow can't become active, done or failed.
	for _, to := range []ledger.WorkflowState{ledger.WorkflowActive, ledger.WorkflowDone, ledger.WorkflowFailed} {
		txn := r.NewTransaction()
		got, err := txn.SetWorkflowState(r.Workflow(spec.ID), to, "")
		if got != ledger.WorkflowCancelled || err != nil {
			t.Errorf("cancelled workflow moved to %q: got state %q, error %v; want %q, no error",
				to, got, err, ledger.WorkflowCancelled)
		}
		if request, _ := txn.Request(); len(request.Then) > 0 {
			t.Errorf("cancelled workflow moved to %q: got changes %v, want none", to, request.Then)
		}
	}
}
