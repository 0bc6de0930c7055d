package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// WorkflowID names a workflow. Users choose it; it reads "wf-" and digits, as a job's id.
type WorkflowID string

// Valid reports whether the id is in the stated form.
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
	Estimate Seconds           `json:"expect_s"`         // of a step, 0: unknown
	ImageGB  float64           `json:"pull_gb"`          // of steps' images
	Window   int               `json:"window,omitempty"` // steps submitted at once, 0: the default
	Entry    string            `json:"entry,omitempty"`  // "main.cwl" if empty; "#id" names one of several
	Bundle   map[string]string `json:"bundle,omitempty"` // documents by their relative paths
	Inputs   json.RawMessage   `json:"inputs,omitempty"` // by name
}

// MaxWindow is the greatest number of steps of a workflow that may be submitted at once.
const MaxWindow = 1000

// DecodeWorkflowSpec reads a submission and checks all of it but its documents. The error names the field
// and is for users to read.
func DecodeWorkflowSpec(b []byte) (*WorkflowSpec, error) {
	s := &WorkflowSpec{Priority: Normal}
	if err := json.Unmarshal(b, s); err != nil {
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

// WorkflowStatus is the state of a workflow as users see it: GET /api/workflows/{id}, and a line from GET
// /api/workflows/{id}/events whenever it changes.
type WorkflowStatus struct {
	ID      WorkflowID      `json:"id"`
	Status  Status          `json:"status"`
	Reason  string          `json:"why,omitempty"`   // of a failure
	Steps   []StepStatus    `json:"steps,omitempty"` // all of them, or none
	Outputs json.RawMessage `json:"outputs,omitempty"`
	// StepsUnknown and OutputsUnknown say why the steps or the outputs are left out; "" if they are not.
	StepsUnknown   string `json:"steps_unknown,omitempty"`
	OutputsUnknown string `json:"outputs_unknown,omitempty"`
}

// Failed is the status of a workflow of which a step failed for good. The steps that do not depend on it
// have run; the others may be resumed.
const Failed Status = "failed"

// StepStatus is the progress of a step.
type StepStatus struct {
	Step     string `json:"step"`
	State    string `json:"state"`
	Finished int    `json:"over"`          // runs that have ended
	Total    int    `json:"total"`         // runs in all, as far as known
	Reason   string `json:"why,omitempty"` // what it, or its next run, waits for
}
