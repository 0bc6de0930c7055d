package ledger

import (
	"encoding/json"

	"maddermill/wire"
)

// WorkflowState is a workflow's durable state.
type WorkflowState string

// The durable states of workflows. One that failed may be resumed, which makes it active
// again; done and cancelled are for ever.
const (
	WorkflowActive    WorkflowState = ""
	WorkflowFailed    WorkflowState = "failed"
	WorkflowDone      WorkflowState = "done"
	WorkflowCancelled WorkflowState = "cancelled"
)

// WorkflowRecord is the durable part of a workflow. Which of its steps are done follows
// from the steps' jobs, whose ids follow from the workflow's and the step's.
type WorkflowRecord struct {
	Spec     *wire.WorkflowSpec `json:"spec"` // without documents and inputs
	Hash     string             `json:"doc"`  // of documents and inputs
	Pieces   int                `json:"n"`    // that they are kept in
	Accepted wire.UnixMillis    `json:"at"`
	State    WorkflowState      `json:"state,omitempty"`
	Why      string             `json:"why,omitempty"`
	Resumed  int                `json:"resumed,omitempty"` // times
	Swept    bool               `json:"swept,omitempty"`   // cancelled, and none of its steps' jobs is active
}

// Workflow is a workflow as last seen.
type Workflow struct {
	ID      wire.WorkflowID
	Version wire.Revision
	WorkflowRecord
}

// Workflow returns a workflow, or nil.
func (l *Ledger) Workflow(id wire.WorkflowID) *Workflow { return l.workflows[id] }

// EachWorkflow calls f for every workflow.
func (l *Ledger) EachWorkflow(f func(*Workflow)) {
	for _, w := range l.workflows {
		f(w)
	}
}

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
		// Like a job's: whoever answers workers must know of it, and from now on no task of
		// its steps starts and all are told to stop, before their jobs' own records say so.
		l.lastCancel = max(l.lastCancel, e.Version)
		l.recentCancels.add(cancellation{revision: e.Version, workflow: id})
		for _, j := range l.active {
			j.Cancelling = j.Cancelling || j.Workflow == id
		}
	}
	l.workflows[id] = w
	return nil
}

// Ended reports whether nothing will ever come of the workflow any more.
func (w *Workflow) Ended() bool {
	return w.State == WorkflowDone || w.State == WorkflowCancelled && w.Swept
}

// workflowTransitions are the states that a workflow may go to from each.
var workflowTransitions = map[WorkflowState][]WorkflowState{
	WorkflowActive: {WorkflowDone, WorkflowFailed, WorkflowCancelled},
	WorkflowFailed: {WorkflowActive, WorkflowCancelled},
}
