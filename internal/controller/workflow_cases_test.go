package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/cwl"
	"maddermill/internal/workflow/stepdata"
)

// echoTool is a CWL tool that outputs its input.
const echoTool = `{class: CommandLineTool, baseCommand: echo, stdout: out, inputs: {a: {type: Any, inputBinding: {}}},
   outputs: {o: {type: string, ` +
	`outputBinding: {glob: out, loadContents: true, outputEval: "$(self[0].contents.trim())"}}}}`

// exitTool is a CWL tool that exits with the code given as its input; 75 is a temporary failure.
const exitTool = `{class: CommandLineTool, baseCommand: exit, temporaryFailCodes: [75], ` +
	`inputs: {c: {type: int, inputBinding: {}}}, outputs: {o: {type: string, outputBinding: {outputEval: fine}}}}`

// workflowHead is the start of each workflow document: version, class and requirements.
const workflowHead = "cwlVersion: v1.2\nclass: Workflow\n" +
	"requirements: {InlineJavascriptRequirement: {}, ScatterFeatureRequirement: {}, " +
	"SubworkflowFeatureRequirement: {}, MultipleInputFeatureRequirement: {}}\n"

// workflowCases lists workflows with their inputs and expected final states.
var workflowCases = []struct {
	name, document, inputs string
	state                  ledger.WorkflowState
}{
	{
		"chain",
		"inputs: {x: string}\n" +
			"outputs: {o: {type: string, outputSource: c/o}}\n" +
			"steps:\n" +
			"  a: {run: &e " + echoTool + ", in: {a: x}, out: [o]}\n" +
			"  b: {run: *e, in: {a: a/o}, out: [o]}\n" +
			"  c: {run: *e, in: {a: b/o}, out: [o]}\n",
		"x: receipt",
		ledger.WorkflowDone,
	},
	{
		"diamond",
		"inputs: {x: string}\n" +
			"outputs: {o: {type: string, outputSource: d/o}}\n" +
			"steps:\n" +
			"  a: {run: &e " + echoTool + ", in: {a: x}, out: [o]}\n" +
			"  b: {run: *e, in: {a: a/o}, out: [o]}\n" +
			"  c: {run: *e, in: {a: a/o}, out: [o]}\n" +
			"  d: {run: *e, in: {a: {source: [b/o, c/o], pickValue: first_non_null}}, out: [o]}\n",
		"x: y",
		ledger.WorkflowDone,
	},
	{
		"scatter",
		"inputs: {x: 'string[]'}\n" +
			"outputs: {o: {type: 'string[]', outputSource: s/o}}\n" +
			"steps:\n" +
			"  s: {run: " + echoTool + ", scatter: a, in: {a: x}, out: [o]}\n",
		"x: [p, q, r, s, t, u, v, w]",
		ledger.WorkflowDone,
	},
	{
		"nested",
		"inputs: {x: 'string[]'}\n" +
			"outputs: {o: {type: 'string[]', outputSource: s/v}}\n" +
			"steps:\n" +
			"  s: {scatter: c, in: {c: x}, out: [v], run: {class: Workflow, inputs: {c: string}, " +
			"outputs: {v: {type: string, outputSource: two/o}}, " +
			"steps: {one: {run: &e " + echoTool + ", in: {a: c}, out: [o]}, two: {run: *e, in: {a: one/o}, out: [o]}}}}\n",
		"x: [p, q]",
		ledger.WorkflowDone,
	},
	{
		"failing",
		"inputs: {n: int}\n" +
			"outputs: {kept: {type: string, outputSource: fine/o}, lost: {type: string, outputSource: after/o}}\n" +
			"steps:\n" +
			"  bad: {run: " + exitTool + ", in: {c: n}, out: [o]}\n" +
			"  after: {run: &e " + echoTool + ", in: {a: bad/o}, out: [o]}\n" +
			"  fine: {run: *e, in: {a: {default: z}}, out: [o]}\n",
		"n: 3",
		ledger.WorkflowFailed,
	},
	{
		"conditional",
		"inputs: {n: int}\n" +
			"outputs: {o: {type: string, outputSource: [l/o, s/o], pickValue: the_only_non_null}}\n" +
			"steps:\n" +
			"  l: {run: &e " + echoTool + ", when: $(inputs.n > 5), in: {n: n, a: {default: large}}, out: [o]}\n" +
			"  s: {run: *e, when: $(inputs.n <= 5), in: {n: n, a: {default: small}}, out: [o]}\n",
		"n: 9",
		ledger.WorkflowDone,
	},
}

// scatterCaseIndex is the index in workflowCases of the workflow with a single scattered step.
const scatterCaseIndex = 2

// interpretSequentially runs each step of a workflow once, one at a time, and returns the workflow's outputs.
// It is the reference implementation that the outputs of a cluster are compared with.
func interpretSequentially(t *testing.T, document, inputs string) map[string]any {
	t.Helper()
	store := new(stepdata.Mem)
	bundle := cwl.Bundle{"main.cwl": []byte(workflowHead + document)}
	p, _, err := cwl.Load(bundle, "main.cwl")
	if err != nil {
		t.Fatal(err)
	}
	in, err := p.ReadInputs("in.yml", []byte(inputs))
	if err != nil {
		t.Fatal(err)
	}
	run, err := cwl.Start(t.Context(), p, in)
	if err != nil {
		t.Fatal(err)
	}
	for ready := run.Ready(1); len(ready) > 0; ready = run.Ready(1) {
		step := ready[0]
		id := workflow.StepJobID("wf-plain", step.ID, 0)
		order, err := json.Marshal(workflow.StepSpec{Step: step.ID, Entry: "main.cwl", Bundle: bundle, Inputs: step.Inputs})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(t.Context(), workflow.StepSpecName(id), bytes.NewReader(order)); err != nil {
			t.Fatal(err)
		}
		if err := emulator.RunStep(t.Context(), store, id); err != nil {
			t.Fatal(err)
		}
		var result workflow.Result
		encoded, _, err := store.Get(t.Context(), workflow.ResultName(id))
		if err == nil {
			err = exactjson.Unmarshal(encoded, &result)
		}
		if err != nil {
			t.Fatal(err)
		}
		var stepErr error
		if result.Error != "" {
			stepErr = errors.New(result.Error)
		}
		run.Finish(step.ID, result.Outputs, stepErr)
	}
	out, _, finished := run.Result()
	if !finished {
		t.Fatal("sequential interpretation: no steps are ready, but the workflow has not ended")
	}
	return out
}
