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
	"maddermill/internal/workflow/cwl"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

const echoTool = `{class: CommandLineTool, baseCommand: echo, stdout: out, inputs: {a: {type: Any, inputBinding: {}}},
   outputs: {o: {type: string, outputBinding: {glob: out, loadContents: true, outputEval: "$(self[0].contents.trim())"}}}}`

const exitTool = `{class: CommandLineTool, baseCommand: exit, temporaryFailCodes: [75], inputs: {c: {type: int, inputBinding: {}}}, outputs: {o: {type: string, outputBinding: {outputEval: fine}}}}`

const workflowHead = "cwlVersion: v1.2\nclass: Workflow\nrequirements: {InlineJavascriptRequirement: {}, ScatterFeatureRequirement: {}, SubworkflowFeatureRequirement: {}, MultipleInputFeatureRequirement: {}}\n"

// flows of the histories: their documents, inputs and the state that they must end in.
var flowCases = []struct {
	name, doc, inputs string
	state             ledger.WorkflowState
}{
	{
		"chain",
		"inputs: {x: string}\noutputs: {o: {type: string, outputSource: c/o}}\nsteps:\n  a: {run: &e " + echoTool + ", in: {a: x}, out: [o]}\n  b: {run: *e, in: {a: a/o}, out: [o]}\n  c: {run: *e, in: {a: b/o}, out: [o]}\n",
		"x: receipt",
		ledger.WorkflowDone,
	},
	{
		"diamond",
		"inputs: {x: string}\noutputs: {o: {type: string, outputSource: d/o}}\nsteps:\n  a: {run: &e " + echoTool + ", in: {a: x}, out: [o]}\n  b: {run: *e, in: {a: a/o}, out: [o]}\n  c: {run: *e, in: {a: a/o}, out: [o]}\n  d: {run: *e, in: {a: {source: [b/o, c/o], pickValue: first_non_null}}, out: [o]}\n",
		"x: y",
		ledger.WorkflowDone,
	},
	{
		"scatter",
		"inputs: {x: 'string[]'}\noutputs: {o: {type: 'string[]', outputSource: s/o}}\nsteps:\n  s: {run: " + echoTool + ", scatter: a, in: {a: x}, out: [o]}\n",
		"x: [p, q, r, s, t, u, v, w]",
		ledger.WorkflowDone,
	},
	{
		"nested",
		"inputs: {x: 'string[]'}\noutputs: {o: {type: 'string[]', outputSource: s/v}}\nsteps:\n  s: {scatter: c, in: {c: x}, out: [v], run: {class: Workflow, inputs: {c: string}, outputs: {v: {type: string, outputSource: two/o}}, steps: {one: {run: &e " + echoTool + ", in: {a: c}, out: [o]}, two: {run: *e, in: {a: one/o}, out: [o]}}}}\n",
		"x: [p, q]",
		ledger.WorkflowDone,
	},
	{
		"failing",
		"inputs: {n: int}\noutputs: {kept: {type: string, outputSource: fine/o}, lost: {type: string, outputSource: after/o}}\nsteps:\n  bad: {run: " + exitTool + ", in: {c: n}, out: [o]}\n  after: {run: &e " + echoTool + ", in: {a: bad/o}, out: [o]}\n  fine: {run: *e, in: {a: {default: z}}, out: [o]}\n",
		"n: 3",
		ledger.WorkflowFailed,
	},
	{
		"conditional",
		"inputs: {n: int}\noutputs: {o: {type: string, outputSource: [l/o, s/o], pickValue: the_only_non_null}}\nsteps:\n  l: {run: &e " + echoTool + ", when: $(inputs.n > 5), in: {n: n, a: {default: large}}, out: [o]}\n  s: {run: *e, when: $(inputs.n <= 5), in: {n: n, a: {default: small}}, out: [o]}\n",
		"n: 9",
		ledger.WorkflowDone,
	},
}

// sequential is the plain interpreter: one step after the other, each run once.
func sequential(t *testing.T, doc, inputs string) map[string]any {
	t.Helper()
	store := new(stepdata.Mem)
	bundle := map[string]string{"main.cwl": workflowHead + doc}
	p, _, err := cwl.Load(cwl.Bundle{"main.cwl": []byte(bundle["main.cwl"])}, "main.cwl")
	if err != nil {
		t.Fatal(err)
	}
	in, err := p.ReadInputs("in.yml", []byte(inputs))
	if err != nil {
		t.Fatal(err)
	}
	r, err := cwl.Start(t.Context(), p, in)
	if err != nil {
		t.Fatal(err)
	}
	for work := r.Ready(1); len(work) > 0; work = r.Ready(1) {
		id := workflow.JobOf("wf-plain", work[0].ID, 0)
		order, _ := json.Marshal(
			workflow.Order{
				Step:   work[0].ID,
				Entry:  "main.cwl",
				Bundle: cwl.Bundle{"main.cwl": []byte(bundle["main.cwl"])},
				Inputs: work[0].Inputs,
			},
		)
		put(t, store, workflow.OrderName(id), order)
		if err := emulator.RunStep(t.Context(), store, id); err != nil {
			t.Fatal(err)
		}
		var res workflow.Result
		b, _, _ := store.Get(t.Context(), workflow.ResultName(id))
		if err := json.Unmarshal(b, &res); err != nil {
			t.Fatal(err)
		}
		if res.Error != "" {
			err = errors.New(res.Error)
		}
		r.Finish(work[0].ID, res.Outputs, err)
		err = nil
	}
	out, _, over := r.Over()
	if !over {
		t.Fatal("the plain interpreter does not end")
	}
	return out
}

func put(t *testing.T, s stepdata.Store, name string, b []byte) {
	t.Helper()
	if _, err := s.Put(t.Context(), name, bytes.NewReader(b)); err != nil {
		t.Fatal(err)
	}
}

// TestWorkflowHistories: workflows of all kinds among users' jobs, with crashes, lost and late
// messages, outages and lost machines. They end as the plain interpreter says, no step's task
// runs twice, a final state is never taken back, and a cancelled one is gone in time.
func TestWorkflowHistories(t *testing.T) {
	for seed := uint64(1); seed <= max(3, seeds()/2); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playWorkflows(t, newHistory(t, seed)) })
		})
	}
}

// TestFreezeAtEachStepOfAWorkflow: a controller stands still for 50 s at each write of a
// workflow's life, before it is sent and before its answer is read. What comes out of it late
// breaks nothing, and all ends as the plain interpreter says.
func TestFreezeAtEachStepOfAWorkflow(t *testing.T) {
	for _, kind := range []string{"documents", "workflow", "step", "workflow end", "workflow cancelled", "sweep"} {
		for _, side := range []string{" sent", " answered"} {
			t.Run(kind+side, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHistory(t, 9)
					h.quiet, h.freezeAt = true, kind+side
					playWorkflows(t, h)
					if !h.frozen {
						t.Error("nothing stood still")
					}
				})
			})
		}
	}
}

func playWorkflows(t *testing.T, h *history) {
	h.runSteps(func(wire.JobID) {})
	h.cloud.Run = func(wire.TaskID) time.Duration { return 8 * time.Second }
	ended := 0
	h.also = func(ctx context.Context) {
		for i, tc := range flowCases {
			h.group.Go(func() {
				wait.For(ctx, time.Millisecond+time.Duration(h.chance(60))*time.Second) // never at once: see play
				if h.flow(ctx, wire.WorkflowID(fmt.Sprintf("wf-%06d", i)), tc.doc, tc.inputs, tc.state) {
					h.mu.Lock()
					ended++
					h.mu.Unlock()
				}
			})
		}
		h.group.Go(func() { h.cancelledFlow(ctx, "wf-000100") })
	}
	h.past = true
	h.play(9*time.Minute, 10, 0.03)
	h.checkPast()
	flows := 0
	for _, it := range h.store.Items() {
		if strings.HasPrefix(it.Key, ledger.FinalWorkflowKey("")) {
			flows++
		}
	}
	if flows == 0 {
		t.Error("no workflow is archived")
	}
	for _, b := range h.world.Broken {
		t.Errorf("broken: %s", b)
	}
	if ended < len(flowCases) {
		t.Errorf("%d of %d workflows ended", ended, len(flowCases))
	}
}

// flow submits a workflow and follows it to its end.
func (h *history) flow(ctx context.Context, id wire.WorkflowID, doc, inputs string, want ledger.WorkflowState) bool {
	var values map[string]any
	if err := yaml.Unmarshal([]byte(inputs), &values); err != nil {
		h.t.Error(err)
	}
	in, _ := json.Marshal(values)
	spec := &wire.WorkflowSpec{
		ID:       id,
		Class:    "c",
		Team:     "free",
		Priority: wire.High,
		Spot:     true,
		Entry:    "main.cwl",
		Bundle:   map[string]string{"main.cwl": workflowHead + doc},
		Inputs:   in,
	}
	if _, ok := askAny(ctx, h, string(id), func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		st, _, err := c.Workflows.Submit(ctx, spec)
		return st, err
	}); !ok {
		return false
	}
	status := func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		return c.Workflows.Status(ctx, id)
	}
	final := map[ledger.WorkflowState]wire.Status{ledger.WorkflowDone: wire.Done, ledger.WorkflowFailed: wire.Failed}[want]
	for ctx.Err() == nil {
		wait.For(ctx, 3*time.Second)
		st, ok := askAny(ctx, h, string(id), status)
		if !ok || st.Status == wire.Running {
			continue
		}
		var got map[string]any
		if st.Status != final || json.Unmarshal(st.Outputs, &got) != nil ||
			!reflect.DeepEqual(got, sequential(h.t, doc, inputs)) {
			h.t.Errorf(
				"seed %d: %s is %s with %s (%s), want %s with %v",
				h.seed,
				id,
				st.Status,
				st.Outputs,
				st.Reason,
				final,
				sequential(h.t, doc, inputs),
			)
		}
		// Later it is archived, its steps' jobs too, and it is asked about and submitted again.
		wait.For(ctx, time.Minute)
		for _, ask := range []func(context.Context, *Controller) (wire.WorkflowStatus, error){status, func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
			st, created, err := c.Workflows.Submit(ctx, spec)
			if created {
				h.t.Errorf("seed %d: %s is accepted anew", h.seed, id)
			}
			return st, err
		}} {
			again, ok := askAny(ctx, h, string(id), ask)
			if ok && (again.Status != st.Status || !bytes.Equal(again.Outputs, st.Outputs)) {
				h.t.Errorf("seed %d: %s went back from %s to %s", h.seed, id, st.Status, again.Status)
			}
			for _, step := range again.Steps {
				if want == ledger.WorkflowDone && step.Finished != step.Total {
					h.t.Errorf(
						"seed %d: step %s of %s is %s, %d of %d runs over",
						h.seed,
						step.Step,
						id,
						step.State,
						step.Finished,
						step.Total,
					)
				}
			}
		}
		return true
	}
	return false
}

// cancelledFlow submits a wide workflow and cancels it midway: from then on no task of it
// may start, and all must be gone in time.
func (h *history) cancelledFlow(ctx context.Context, id wire.WorkflowID) {
	spec := &wire.WorkflowSpec{
		ID:       id,
		Class:    "c",
		Team:     "free",
		Priority: wire.Normal,
		Spot:     true,
		Entry:    "main.cwl",
		Bundle: map[string]string{
			"main.cwl": workflowHead + flowCases[2].doc,
		},
		Inputs: json.RawMessage(`{"x":["1","2","3","4","5","6","7","8","9"]}`),
	}
	askAny(ctx, h, string(id), func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		st, _, err := c.Workflows.Submit(ctx, spec)
		return st, err
	})
	wait.For(ctx, 12*time.Second)
	st, ok := askAny(ctx, h, string(id), func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		return c.Workflows.Cancel(ctx, id)
	})
	if !ok || st.Status != wire.Cancelled {
		return // it was done before, or the history ended
	}
	for i := range 9 {
		for attempt := range 3 {
			job := workflow.JobOf(id, fmt.Sprintf("s[%d]", i), attempt)
			if h.world.Known(job) {
				h.world.Told(job, wire.Cancelled)
			}
		}
	}
}

// TestLateStepOfCancelledWorkflow: the transaction that submits a step does not land any more
// once its workflow's cancellation has, however late it comes, and none is drafted after it.
// The histories alone do not find this guard missing: who drives sweeps what it knows of.
func TestLateStepOfCancelledWorkflow(t *testing.T) {
	set := testSettings(t, 0)
	store := emulator.NewStore(set.Cluster.State.TxnOps, set.ValueBytes())
	led := quietCore(t, 0).cache.Records()
	commit := func(draft func(*ledger.Transaction) error) (wire.Txn, error) {
		d := led.NewTransaction()
		if err := draft(d); err != nil {
			return wire.Txn{}, err
		}
		return d.Request()
	}
	land := func(txn wire.Txn) error {
		rev, err := store.Apply(txn)
		if err == nil {
			for _, ch := range txn.Then {
				led.Apply(ledger.Event{Key: ch.Put, Value: ch.Value, Version: rev})
			}
		}
		return err
	}
	spec := &wire.WorkflowSpec{ID: "wf-000001", Team: "free", Priority: wire.Normal}
	accept, err := commit(func(d *ledger.Transaction) error {
		return d.SubmitWorkflow(spec.ID, ledger.WorkflowRecord{Spec: spec, Hash: "h", Pieces: 1, Accepted: 1})
	})
	if err = errors.Join(err, land(accept)); err != nil {
		t.Fatal(err)
	}
	step := func(n int) func(d *ledger.Transaction) error {
		return func(d *ledger.Transaction) error {
			return d.SubmitStep(
				led.Workflow(spec.ID),
				&wire.JobSpec{
					ID:       workflow.JobOf(spec.ID, fmt.Sprint("s", n), 0),
					Team:     "free",
					Shape:    wire.Array,
					Priority: wire.Normal,
					Tasks:    1,
					CPUs:     1,
				},
				1,
				nil,
			)
		}
	}
	early, err := commit(step(0))
	if err = errors.Join(err, land(early)); err != nil {
		t.Fatal(err)
	}
	late, err := commit(step(1))
	if err != nil {
		t.Fatal(err)
	}
	cancel, err := commit(func(d *ledger.Transaction) error {
		_, err := d.EndWorkflow(led.Workflow(spec.ID), ledger.WorkflowCancelled, "")
		return err
	})
	if err = errors.Join(err, land(cancel)); err != nil {
		t.Fatal(err)
	}
	if j := led.Job(workflow.JobOf(spec.ID, "s0", 0)); j.State != ledger.Active || j.Pending() > 0 {
		t.Errorf("a step of a cancelled workflow has %d tasks to start", j.Pending())
	}
	if err := land(late); err == nil {
		t.Error("a step lands after its workflow's cancellation")
	}
	if _, err := commit(step(2)); !errors.Is(err, ledger.ErrPreconditionFailed) {
		t.Errorf("a step is drafted after its workflow's cancellation: %v", err)
	}
	// A final state stays: nothing makes a cancelled workflow active, done or failed.
	for _, to := range []ledger.WorkflowState{ledger.WorkflowActive, ledger.WorkflowDone, ledger.WorkflowFailed} {
		d := led.NewTransaction()
		if got, err := d.EndWorkflow(led.Workflow(spec.ID), to, ""); got != ledger.WorkflowCancelled || err != nil {
			t.Errorf("cancelled, then %q: %q, %v", to, got, err)
		}
		if txn, _ := d.Request(); len(txn.Then) > 0 {
			t.Errorf("cancelled, then %q: writes %v", to, txn.Then)
		}
	}
}
