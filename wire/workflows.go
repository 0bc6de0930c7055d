package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"maddermill/internal/exactjson"
)

// WorkflowID identifies a workflow. Users choose it; its form is "wf-" followed by 6 to 18 digits.
type WorkflowID string

// Valid reports whether the ID has the required form.
func (id WorkflowID) Valid() bool {
	digits, ok := strings.CutPrefix(string(id), "wf-")
	return ok && JobID("wk-"+digits).Valid()
}

// WorkflowSpec is a submission of a CWL workflow: POST /api/workflows.
type WorkflowSpec struct {
	ID       WorkflowID        `json:"id"`
	Class    Class             `json:"workclass"`
	Team     Team              `json:"owner"`
	Priority Priority          `json:"urgency"`
	Spot     bool              `json:"loaners"`
	Estimate Seconds           `json:"expect_s"`         // estimated run time of a step; 0: unknown
	ImageGB  float64           `json:"pull_gb"`          // size of the steps' images
	Window   int               `json:"window,omitempty"` // steps submitted at once; 0: the default
	Entry    string            `json:"entry,omitempty"`  // "": "main.cwl"; "#id" selects one of several
	Bundle   map[string]string `json:"bundle,omitempty"` // documents by relative path
	Inputs   json.RawMessage   `json:"inputs,omitempty"` // input values by name
}

// MaxWindow is the largest number of steps of a workflow that may be submitted at once.
const MaxWindow = 1000

// DecodeWorkflowSpec parses a submission and validates everything but its documents. The error names the
// invalid field and is shown to users.
func DecodeWorkflowSpec(b []byte) (*WorkflowSpec, error) {
	s := &WorkflowSpec{Priority: Normal}
	if err := exactjson.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("not a workflow: %w", err)
	}
	switch {
	case !s.ID.Valid():
		return nil, fmt.Errorf("id: %q is not wf- and 6 to 18 digits", s.ID)
	case s.Team == "":
		return nil, fmt.Errorf("owner: is missing")
	case s.Priority.Rank() < 0:
		return nil, fmt.Errorf("urgency: %q is not prod, high, normal or best_effort", s.Priority)
	case len(s.Bundle) == 0:
		return nil, fmt.Errorf("bundle: is missing")
	case s.Window < 0 || s.Window > MaxWindow:
		return nil, fmt.Errorf("window: must be from 0 to %d", MaxWindow)
	case !(s.ImageGB >= 0) || math.IsInf(s.ImageGB, 0) || !(s.Estimate >= 0) || math.IsInf(float64(s.Estimate), 0):
		return nil, fmt.Errorf("expect_s, pull_gb: must not be below 0")
	}
	if s.Entry == "" {
		s.Entry = "main.cwl"
	}
	if len(s.Inputs) == 0 {
		s.Inputs = json.RawMessage("{}")
	}
	return s, nil
}

// WorkflowStatus is the state of a workflow that users see: the response to GET /api/workflows/{id}, and a
// line in the stream of GET /api/workflows/{id}/events for each change.
type WorkflowStatus struct {
	ID      WorkflowID      `json:"id"`
	Status  Status          `json:"status"`
	Reason  string          `json:"why,omitempty"`   // reason of a failure
	Steps   []StepStatus    `json:"steps,omitempty"` // all of them, or none
	Outputs json.RawMessage `json:"outputs,omitempty"`
	// StepsUnknown and OutputsUnknown explain why the steps or the outputs are left out; "" if they are not.
	StepsUnknown   string `json:"steps_unknown,omitempty"`
	OutputsUnknown string `json:"outputs_unknown,omitempty"`
}

// Failed is the status of a workflow with a step that failed permanently. The steps that do not depend on it
// have run; the others may be resumed.
const Failed Status = "failed"

// StepStatus is the progress of a step.
type StepStatus struct {
	Step     string `json:"step"`
	State    string `json:"state"`
	Finished int    `json:"over"`          // finished runs of the step
	Total    int    `json:"total"`         // all runs of the step, as far as known
	Reason   string `json:"why,omitempty"` // what the step, or its next run, is waiting for
}
