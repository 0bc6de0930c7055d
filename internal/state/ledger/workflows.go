package ledger

import (
	"encoding/json"
	"slices"

	"maddermill/wire"
)

const workflowPrefix = Prefix + "w/"

func workflowKey(id wire.WorkflowID) string { return workflowPrefix + string(id) }

// DocumentKey is where the n-th piece of a workflow's documents is kept, by their hash. It
// is not among the keys that controllers mirror.
func DocumentKey(hash string, n int) string {
	return "mmd1/" + hash + "/" + string(rune('a'+n/26)) + string(rune('a'+n%26))
}

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

// writeWorkflow puts a workflow's record in place of the one of a version; 0: there is none.
func (txn *Transaction) writeWorkflow(id wire.WorkflowID, at wire.Revision, r WorkflowRecord) error {
	return txn.atomically(func() error {
		txn.conditions[workflowKey(id)] = at
		txn.put(workflowKey(id), r)
		return nil
	})
}

// SubmitWorkflow accepts a workflow that isn't known yet, nor archived. Its documents are
// written before.
func (txn *Transaction) SubmitWorkflow(id wire.WorkflowID, r WorkflowRecord) error {
	if txn.ledger.workflows[id] != nil {
		return ErrPreconditionFailed
	}
	txn.conditions[FinalWorkflowKey(id)] = 0
	return txn.writeWorkflow(id, 0, r)
}

// workflowTransitions are the states that a workflow may go to from each.
var workflowTransitions = map[WorkflowState][]WorkflowState{
	WorkflowActive: {WorkflowDone, WorkflowFailed, WorkflowCancelled},
	WorkflowFailed: {WorkflowActive, WorkflowCancelled},
}

// EndWorkflow moves a workflow to a state, or leaves it in the one that it is in if it can't
// go there: the answer tells. Only one that failed becomes active again.
func (txn *Transaction) EndWorkflow(update *Workflow, to WorkflowState, why string) (WorkflowState, error) {
	if !slices.Contains(workflowTransitions[update.State], to) {
		return update.State, nil
	}
	r := update.WorkflowRecord
	r.State, r.Why = to, why
	if to == WorkflowActive {
		r.Resumed++
	}
	return to, txn.writeWorkflow(update.ID, update.Version, r)
}

// DeleteWorkflow notes that no job of a cancelled workflow is active any more.
func (txn *Transaction) DeleteWorkflow(update *Workflow) error {
	if update.State != WorkflowCancelled || update.Swept {
		return ErrPreconditionFailed
	}
	r := update.WorkflowRecord
	r.Swept = true
	return txn.writeWorkflow(update.ID, update.Version, r)
}

// FinalWorkflowKey is where an archived workflow's record is kept.
func FinalWorkflowKey(id wire.WorkflowID) string { return finalWorkflowPrefix + string(id) }

// WorkflowFilterName is a workflow's name in the filter, which no job has.
func WorkflowFilterName(id wire.WorkflowID) string { return "workflow " + string(id) }

// WorkflowMayBeArchived is MayBeArchived for a workflow.
func (l *Ledger) WorkflowMayBeArchived(id wire.WorkflowID) (may, known bool) {
	return l.filterMayHold(WorkflowFilterName(id))
}

// ArchiveWorkflow moves a workflow that is over into the archive. Its record stays what it
// is, and whoever looks at its steps finds their jobs in the archive, too.
func (txn *Transaction) ArchiveWorkflow(id wire.WorkflowID) error {
	update := txn.ledger.workflows[id]
	if !txn.archiveEnabled() || update == nil || !update.Ended() {
		return ErrPreconditionFailed
	}
	return txn.atomically(func() error {
		txn.conditions[workflowKey(id)] = update.Version
		txn.remove(workflowKey(id))
		txn.conditions[FinalWorkflowKey(id)] = 0
		txn.put(FinalWorkflowKey(id), update.WorkflowRecord)
		return txn.addToFilter(WorkflowFilterName(id))
	})
}

// SubmitStep accepts a job that isn't known yet as a step of a workflow, on the condition
// that the workflow is active: a step must not be submitted after its workflow's
// cancellation was told, however late the transaction lands.
// It is tied to a gallery, if one is given.
func (txn *Transaction) SubmitStep(update *Workflow, spec *wire.JobSpec, at wire.UnixMillis, g *Gallery) error {
	if update.State != WorkflowActive {
		return ErrPreconditionFailed
	}
	txn.conditions[workflowKey(update.ID)] = update.Version
	return txn.submit(spec, at, update.ID, g)
}
