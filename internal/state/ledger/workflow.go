package ledger

import (
	"encoding/json"

	"maddermill/wire"
)

// WorkflowState is the durable state of a workflow.
type WorkflowState string

// The durable states of workflows. Done and cancelled are final; a failed workflow becomes active again
// when it is resumed.
const (
	WorkflowActive    WorkflowState = ""
	WorkflowFailed    WorkflowState = "failed"
	WorkflowDone      WorkflowState = "done"
	WorkflowCancelled WorkflowState = "cancelled"
)

// WorkflowRecord is the record of a workflow. Which of its steps are done follows from their jobs, whose ids
// follow from those of the workflow and the step.
type WorkflowRecord struct {
	Spec     *wire.WorkflowSpec `json:"spec"` // without documents and inputs
	Hash     string             `json:"doc"`  // of documents and inputs: the name of their pieces
	Pieces   int                `json:"n"`    // of documents, see DocumentKey
	Accepted wire.UnixMillis    `json:"at"`
	State    WorkflowState      `json:"state,omitempty"`
	Why      string             `json:"why,omitempty"`     // the reason of the state
	Resumed  int                `json:"resumed,omitempty"` // times
	Swept    bool               `json:"swept,omitempty"`   // cancelled, and none of its steps' jobs is active
}

// Workflow is a workflow as last seen.
type Workflow struct {
	ID      wire.WorkflowID
	Version wire.Revision
	WorkflowRecord
}

// Workflow returns a workflow, nil if it is not on record.
func (l *Ledger) Workflow(id wire.WorkflowID) *Workflow { return l.workflows[id] }

// EachWorkflow calls f for every workflow on record.
func (l *Ledger) EachWorkflow(f func(*Workflow)) {
	for _, w := range l.workflows {
		f(w)
	}
}

// applyWorkflow applies a change of a workflow's record.
func (l *Ledger) applyWorkflow(id wire.WorkflowID, e Event) error {
	old := l.workflows[id]
	if e.Value == nil && old != nil && e.Version >= old.Version {
		delete(l.workflows, id)
		l.archived.filter.Add(WorkflowFilterName(id))
		return nil
	}
	if e.Value == nil || old != nil && e.Version <= old.Version {
		return nil
	}
	w := &Workflow{ID: id, Version: e.Version}
	if err := json.Unmarshal(e.Value, &w.WorkflowRecord); err != nil {
		return err
	}
	if w.State == WorkflowCancelled {
		// As with a job's cancellation, no task of its steps starts from now on and all are stopped,
		// before the records of their jobs say so.
		l.lastCancel = max(l.lastCancel, e.Version)
		l.recentCancels.add(cancellation{revision: e.Version, workflow: id})
		for _, j := range l.active {
			j.Cancelling = j.Cancelling || j.Workflow == id
		}
	}
	l.workflows[id] = w
	return nil
}

// Ended reports whether the workflow and all of its jobs are over for good.
func (w *Workflow) Ended() bool {
	return w.State == WorkflowDone || w.State == WorkflowCancelled && w.Swept
}

// workflowTransitions are the legal transitions. Final states have none.
var workflowTransitions = map[WorkflowState][]WorkflowState{
	WorkflowActive: {WorkflowDone, WorkflowFailed, WorkflowCancelled},
	WorkflowFailed: {WorkflowActive, WorkflowCancelled},
}
