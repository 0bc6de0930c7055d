package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// instantJobs implements workflow.Jobs with jobs that are done as soon as they are submitted.
type instantJobs struct {
	store      stepdata.Store
	submitted  map[wire.JobID]bool
	finalState ledger.WorkflowState
}

func newInstantJobs() *instantJobs {
	return &instantJobs{store: new(stepdata.Mem), submitted: map[wire.JobID]bool{}}
}

// StepState reports a submitted job as done and any other as unknown.
func (j *instantJobs) StepState(id wire.JobID) workflow.JobState {
	if j.submitted[id] {
		return workflow.Done
	}
	return workflow.Unknown
}

// SubmitStep records the job as submitted and stores its result.
func (j *instantJobs) SubmitStep(ctx context.Context, _ wire.WorkflowID, spec *wire.JobSpec) error {
	j.submitted[spec.ID] = true
	result := strings.NewReader(`{"code":0,"outputs":{"o":"x"}}`)
	_, err := j.store.Put(ctx, workflow.ResultName(spec.ID), result)
	return err
}

// CancelStep does nothing, since no job is ever running.
func (j *instantJobs) CancelStep(context.Context, wire.JobID) error { return nil }

// EndWorkflow records the workflow's final state.
func (j *instantJobs) EndWorkflow(_ context.Context, _ wire.WorkflowID, s ledger.WorkflowState, _ string) error {
	j.finalState = s
	return nil
}

// runToCompletion resumes a workflow, executes it until it ends and checks that it succeeded.
func runToCompletion(b *testing.B, document string, inputs any, jobs *instantJobs) {
	b.Helper()
	encoded, err := json.Marshal(inputs)
	if err != nil {
		b.Fatal(err)
	}
	w := &ledger.Workflow{ID: "wf-000001"}
	w.Spec = &wire.WorkflowSpec{ID: w.ID, Team: "t", Entry: "main.cwl", Window: 100}
	documents := &workflow.Documents{Bundle: map[string]string{"main.cwl": document}, Inputs: encoded}
	run, err := workflow.Resume(b.Context(), w, documents, jobs, jobs.store)
	if err != nil {
		b.Fatal(err)
	}
	for finished := false; !finished; {
		if _, finished, err = run.Advance(b.Context(), time.Now(), 100); err != nil {
			b.Fatal(err)
		}
	}
	if jobs.finalState != ledger.WorkflowDone {
		b.Fatalf("workflow: got state %q, want %q", jobs.finalState, ledger.WorkflowDone)
	}
}

// BenchmarkWorkflow measures the overhead of workflow execution without real jobs: a chain of 20 steps,
// scatters of 1,000 to 100,000 runs, and the takeover of a workflow whose steps are all done.
func BenchmarkWorkflow(b *testing.B) {
	const tool = "{class: CommandLineTool, baseCommand: echo, inputs: {a: Any}, outputs: {o: string}}"
	chain := workflowHead + chainDocument(20, tool)
	scatter := workflowHead + "inputs: {x: 'int[]'}\noutputs: {o: {type: 'string[]', outputSource: s/o}}\nsteps:\n" +
		"  s: {run: " + tool + ", scatter: a, in: {a: x}, out: [o]}\n"
	reportPerStep := func(b *testing.B, steps int) {
		b.Helper()
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(steps*b.N), "µs/step")
	}
	b.Run("chain/20", func(b *testing.B) {
		for b.Loop() {
			runToCompletion(b, chain, map[string]any{"x": "r"}, newInstantJobs())
		}
		reportPerStep(b, 20)
	})
	for _, n := range []int{1000, 10_000, 100_000} {
		inputs := map[string]any{"x": make([]int, n)}
		jobs := newInstantJobs()
		b.Run(fmt.Sprint("scatter/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				jobs = newInstantJobs()
				runToCompletion(b, scatter, inputs, jobs)
			}
			reportPerStep(b, n)
		})
		b.Run(fmt.Sprint("takeover/", n), func(b *testing.B) {
			for b.Loop() {
				runToCompletion(b, scatter, inputs, jobs)
			}
			reportPerStep(b, n)
		})
	}
}
