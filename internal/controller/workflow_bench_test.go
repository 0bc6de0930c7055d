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

// instantJobs has each step's job done as soon as it is submitted.
type instantJobs struct {
	store stepdata.Store
	known map[wire.JobID]bool
	ended ledger.WorkflowState
}

func newInstantJobs() *instantJobs {
	return &instantJobs{store: new(stepdata.Mem), known: map[wire.JobID]bool{}}
}

// StepState implements the workflow's view of its jobs.
func (j *instantJobs) StepState(id wire.JobID) workflow.JobState {
	if j.known[id] {
		return workflow.Done
	}
	return workflow.Unknown
}

// SubmitStep implements the workflow's view of its jobs.
func (j *instantJobs) SubmitStep(ctx context.Context, _ wire.WorkflowID, spec *wire.JobSpec) error {
	j.known[spec.ID] = true
	result := strings.NewReader(`{"code":0,"outputs":{"o":"x"}}`)
	_, err := j.store.Put(ctx, workflow.ResultName(spec.ID), result)
	return err
}

// CancelStep implements the workflow's view of its jobs.
func (j *instantJobs) CancelStep(context.Context, wire.JobID) error { return nil }

// EndWorkflow implements the workflow's view of its jobs.
func (j *instantJobs) EndWorkflow(_ context.Context, _ wire.WorkflowID, s ledger.WorkflowState, _ string) error {
	j.ended = s
	return nil
}

// driveWorkflow resumes a workflow and drives it to its end.
func driveWorkflow(b *testing.B, document string, inputs any, jobs *instantJobs) {
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
	for over := false; !over; {
		if _, over, err = run.Advance(b.Context(), time.Now(), 100); err != nil {
			b.Fatal(err)
		}
	}
	if jobs.ended != ledger.WorkflowDone {
		b.Fatalf("workflow: got state %q, want %q", jobs.ended, ledger.WorkflowDone)
	}
}

// BenchmarkWorkflow measures what the driver of a workflow costs by itself: a chain of 20, scatters
// of 1,000 to 100,000, and the takeover of one whose steps are all done.
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
			driveWorkflow(b, chain, map[string]any{"x": "r"}, newInstantJobs())
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
				driveWorkflow(b, scatter, inputs, jobs)
			}
			reportPerStep(b, n)
		})
		b.Run(fmt.Sprint("takeover/", n), func(b *testing.B) {
			for b.Loop() {
				driveWorkflow(b, scatter, inputs, jobs)
			}
			reportPerStep(b, n)
		})
	}
}
