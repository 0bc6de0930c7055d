package ledger

import (
	"maddermill/internal/exactjson"
	"maddermill/wire"
)

// WorkflowState is the durable state of a workflow.
type WorkflowState string

// The durable states of workflows. Done and cancelled are final; resuming a failed workflow makes it active
// again.
const (
	WorkflowActive    WorkflowState = ""
	WorkflowFailed    WorkflowState = "failed"
	WorkflowDone      WorkflowState = "done"
	WorkflowCancelled WorkflowState = "cancelled"
)

// WorkflowRecord is the record of a workflow. Which of its steps are done is derived from their jobs, whose IDs
// are derived from those of the workflow and the step.
type WorkflowRecord struct {
	Spec      *wire.WorkflowSpec `json:"spec"` // without documents and inputs
	Hash      string             `json:"doc"`  // of documents and inputs; their chunks are stored under it
	Pieces    int                `json:"n"`    // chunks of the documents, see DocumentKey
	Accepted  wire.UnixMillis    `json:"at"`
	State     WorkflowState      `json:"state,omitempty"`
	Reason    string             `json:"why,omitempty"`     // the reason for the state
	Resumed   int                `json:"resumed,omitempty"` // how many times
	JobsEnded bool               `json:"swept,omitempty"`   // it is cancelled, and no job of its steps is active
}

// Workflow is a workflow as last seen.
type Workflow struct {
	ID      wire.WorkflowID
	Version wire.Revision
	WorkflowRecord
}

// Workflow returns a workflow, or nil if it is not on record.
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
	if err := exactjson.Unmarshal(e.Value, &w.WorkflowRecord); err != nil {
		return err
	}
	if w.State == WorkflowCancelled {
		// As with the cancellation of a job, from now on no task of its steps is started and running ones
		// are stopped, even before the records of their jobs are updated.
		l.lastCancel = max(l.lastCancel, e.Version)
		l.recentCancels.add(cancellation{revision: e.Version, workflow: id})
		for _, j := range l.active {
			j.Cancelling = j.Cancelling || j.Workflow == id
		}
	}
	l.workflows[id] = w
	return nil
}

// Ended reports whether the workflow and all of its jobs have ended for good.
func (w *Workflow) Ended() bool {
	return w.State == WorkflowDone || w.State == WorkflowCancelled && w.JobsEnded
}

// workflowTransitions are the allowed transitions by state. Final states have none.
var workflowTransitions = map[WorkflowState][]WorkflowState{
	WorkflowActive: {WorkflowDone, WorkflowFailed, WorkflowCancelled},
	WorkflowFailed: {WorkflowActive, WorkflowCancelled},
}
