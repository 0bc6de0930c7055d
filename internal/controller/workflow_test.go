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

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// TestWorkflowHistories: workflows of all kinds run among users' jobs, with random faults, lost and late
// messages. They end as the sequential interpretation does, no step's task runs twice, a final state stays,
// and the tasks of a cancelled workflow end in time.
func TestWorkflowHistories(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= max(3, seedCount()/2); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWorkflowCases(t, newTestCluster(t, seed)) })
		})
	}
}

// TestPauseAtEachWorkflowStep: a controller's process pauses for 50 s at each write of a workflow's life,
// before it is sent and before its answer is read. What it sends late violates no rule, and all workflows end
// as the sequential interpretation does.
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
						t.Error("got no pause, want one")
					}
				})
			})
		}
	}
}

// runWorkflowCases runs all workflows beside ten jobs, and one that is cancelled.
func runWorkflowCases(t *testing.T, cluster *testCluster) {
	t.Helper()
	cluster.emulateSteps(func(wire.JobID) {})
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 8 * time.Second }
	ended := 0
	cluster.onStart = func(ctx context.Context) {
		for i, tc := range workflowCases {
			cluster.group.Go(func() {
				// Never at once: see run.
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

// emulateSteps switches workflows on, has machines know the jobs that controllers submit, and
// runs steps when their tasks are done. It calls then for each step's job afterwards.
func (cluster *testCluster) emulateSteps(then func(wire.JobID)) {
	cluster.stepData = new(stepdata.Mem)
	cluster.store.Seen = func(change wire.Change) {
		if spec, ok := emulator.Spec(change); ok {
			cluster.world.Upload(spec)
		}
	}
	cluster.world.Finished = func(task wire.TaskID) {
		if err := emulator.RunStep(context.Background(), cluster.stepData, task.Job); err != nil {
			cluster.t.Error(err)
		}
		then(task.Job)
	}
}

// workflowSpec returns the description of a workflow of one document.
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

// submitWorkflow submits a workflow to any controller, and returns false if the run ends before.
func (cluster *testCluster) submitWorkflow(ctx context.Context, spec *wire.WorkflowSpec) bool {
	submit := func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		status, _, err := c.Workflows.Submit(ctx, spec)
		return status, err
	}
	_, ok := retryUntilAnswered(ctx, cluster, string(spec.ID), submit)
	return ok
}

// runWorkflow submits a workflow and follows it to its end, and returns false if the run ends before.
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
		//nolint:contextcheck // the model runs in the context of the test
		cluster.checkOutputs(got, id, document, inputs, want)
		// Later it is archived, its steps' jobs too; its status is asked for and it is submitted again.
		wait.For(ctx, time.Minute)
		submitAgain := func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
			status, created, err := c.Workflows.Submit(ctx, spec)
			if created {
				cluster.t.Errorf("seed %d: %s submitted again after its end: got a new workflow", cluster.seed, id)
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
	err := json.Unmarshal(got.Outputs, &outputs)
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

// checkFinalWorkflow checks that a final workflow is as it ended, and that all runs of its steps are over if it is
// done.
func (cluster *testCluster) checkFinalWorkflow(
	got, before wire.WorkflowStatus,
	id wire.WorkflowID,
	want ledger.WorkflowState,
) {
	cluster.t.Helper()
	if got.Status != before.Status || !bytes.Equal(got.Outputs, before.Outputs) {
		cluster.t.Errorf("seed %d: %s after its end: got %s, want it to stay %s", cluster.seed, id, got.Status, before.Status)
	}
	for _, step := range got.Steps {
		if want == ledger.WorkflowDone && step.Finished != step.Total {
			cluster.t.Errorf(
				"seed %d: step %s of %s (%s): got %d runs over, want %d",
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

// runCancelledWorkflow submits a workflow of nine scattered runs and cancels it midway: from then on no task of it
// may start, and all must end in time.
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
		return // it was done before, or the run has ended
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

// recordsOnStore are records that follow a state service, by which transactions are made.
type recordsOnStore struct {
	*ledger.Ledger
	store *emulator.Store
}

// request returns the transaction that change makes.
func (r *recordsOnStore) request(change func(*ledger.Transaction) error) (wire.Txn, error) {
	txn := r.NewTransaction()
	if err := change(txn); err != nil {
		return wire.Txn{}, err
	}
	return txn.Request()
}

// carryOut carries out a transaction in the state service and applies its changes to the records.
func (r *recordsOnStore) carryOut(txn wire.Txn) error {
	revision, err := r.store.Apply(txn)
	if err != nil {
		return err
	}
	for _, change := range txn.Then {
		r.Apply(ledger.Event{Key: change.Put, Value: change.Value, Version: revision})
	}
	return nil
}

// mustCommit makes a transaction and carries it out.
func (r *recordsOnStore) mustCommit(t *testing.T, change func(*ledger.Transaction) error) {
	t.Helper()
	txn, err := r.request(change)
	if err = errors.Join(err, r.carryOut(txn)); err != nil {
		t.Fatal(err)
	}
}

// submitStep returns the change that submits the nth step of a workflow.
func (r *recordsOnStore) submitStep(id wire.WorkflowID, n int) func(*ledger.Transaction) error {
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

// TestLateStepAfterWorkflowCancellation: the transaction that submits a step is not carried out any more once its
// workflow's cancellation is, however late it arrives, and none is made after it. Random histories alone
// don't show that this guard is missing, since the runner prunes the steps that it knows of.
func TestLateStepAfterWorkflowCancellation(t *testing.T) {
	t.Parallel()
	set := newTestSettings(t, 0)
	r := &recordsOnStore{
		Ledger: newTestController(t).cache.Records(),
		store:  emulator.NewStore(set.StateLimits().TxnOps, set.StateLimits().ValueBytes),
	}
	spec := &wire.WorkflowSpec{ID: "wf-000001", Team: "free", Priority: wire.Normal}
	r.mustCommit(t, func(txn *ledger.Transaction) error {
		return txn.SubmitWorkflow(spec.ID, ledger.WorkflowRecord{Spec: spec, Hash: "h", Pieces: 1, Accepted: 1})
	})
	r.mustCommit(t, r.submitStep(spec.ID, 0))
	late, err := r.request(r.submitStep(spec.ID, 1))
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
	if err := r.carryOut(late); err == nil {
		t.Error("step carried out after its workflow's cancellation: got no error, want one")
	}
	if _, err := r.request(r.submitStep(spec.ID, 2)); !errors.Is(err, ledger.ErrPreconditionFailed) {
		t.Errorf("step made after its workflow's cancellation: got error %v, want %v", err, ledger.ErrPreconditionFailed)
	}
	// A final state stays: no change makes a cancelled workflow active, done or failed.
	for _, to := range []ledger.WorkflowState{ledger.WorkflowActive, ledger.WorkflowDone, ledger.WorkflowFailed} {
		txn := r.NewTransaction()
		got, err := txn.SetWorkflowState(r.Workflow(spec.ID), to, "")
		if got != ledger.WorkflowCancelled || err != nil {
			t.Errorf("cancelled workflow to %q: got %q, error %v; want %q, none", to, got, err, ledger.WorkflowCancelled)
		}
		if request, _ := txn.Request(); len(request.Then) > 0 {
			t.Errorf("cancelled workflow to %q: got changes %v, want none", to, request.Then)
		}
	}
}
