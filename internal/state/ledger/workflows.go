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
		l.past.filter.Add(WorkflowFilterName(id))
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
		l.cancelled = max(l.cancelled, e.Version)
		l.cancels.add(cancelled{at: e.Version, flow: id})
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
func (d *Transaction) writeWorkflow(id wire.WorkflowID, at wire.Revision, r WorkflowRecord) error {
	return d.try(func() error {
		d.conds[workflowKey(id)] = at
		d.put(workflowKey(id), r)
		return nil
	})
}

// SubmitWorkflow accepts a workflow that isn't known yet, nor archived. Its documents are
// written before.
func (d *Transaction) SubmitWorkflow(id wire.WorkflowID, r WorkflowRecord) error {
	if d.l.workflows[id] != nil {
		return ErrPreconditionFailed
	}
	d.conds[FinalWorkflowKey(id)] = 0
	return d.writeWorkflow(id, 0, r)
}

// flowMoves are the states that a workflow may go to from each.
var flowMoves = map[WorkflowState][]WorkflowState{
	WorkflowActive: {WorkflowDone, WorkflowFailed, WorkflowCancelled},
	WorkflowFailed: {WorkflowActive, WorkflowCancelled},
}

// EndWorkflow moves a workflow to a state, or leaves it in the one that it is in if it can't
// go there: the answer tells. Only one that failed becomes active again.
func (d *Transaction) EndWorkflow(w *Workflow, to WorkflowState, why string) (WorkflowState, error) {
	if !slices.Contains(flowMoves[w.State], to) {
		return w.State, nil
	}
	r := w.WorkflowRecord
	r.State, r.Why = to, why
	if to == WorkflowActive {
		r.Resumed++
	}
	return to, d.writeWorkflow(w.ID, w.Version, r)
}

// DeleteWorkflow notes that no job of a cancelled workflow is active any more.
func (d *Transaction) DeleteWorkflow(w *Workflow) error {
	if w.State != WorkflowCancelled || w.Swept {
		return ErrPreconditionFailed
	}
	r := w.WorkflowRecord
	r.Swept = true
	return d.writeWorkflow(w.ID, w.Version, r)
}

// FinalWorkflowKey is where an archived workflow's record is kept.
func FinalWorkflowKey(id wire.WorkflowID) string { return finalFlowPrefix + string(id) }

// WorkflowFilterName is a workflow's name in the filter, which no job has.
func WorkflowFilterName(id wire.WorkflowID) string { return "workflow " + string(id) }

// WorkflowMayBeArchived is MayBeArchived for a workflow.
func (l *Ledger) WorkflowMayBeArchived(id wire.WorkflowID) (may, known bool) {
	return l.mayHold(WorkflowFilterName(id))
}

// ArchiveWorkflow moves a workflow that is over into the archive. Its record stays what it
// is, and whoever looks at its steps finds their jobs in the archive, too.
func (d *Transaction) ArchiveWorkflow(id wire.WorkflowID) error {
	w := d.l.workflows[id]
	if !d.mayArchive() || w == nil || !w.Ended() {
		return ErrPreconditionFailed
	}
	return d.try(func() error {
		d.conds[workflowKey(id)] = w.Version
		d.del(workflowKey(id))
		d.conds[FinalWorkflowKey(id)] = 0
		d.put(FinalWorkflowKey(id), w.WorkflowRecord)
		return d.let(WorkflowFilterName(id))
	})
}

// SubmitStep accepts a job that isn't known yet as a step of a workflow, on the condition
// that the workflow is active: a step must not be submitted after its workflow's
// cancellation was told, however late the transaction lands.
// It is tied to a gallery, if one is given.
func (d *Transaction) SubmitStep(w *Workflow, spec *wire.JobSpec, at wire.UnixMillis, g *Gallery) error {
	if w.State != WorkflowActive {
		return ErrPreconditionFailed
	}
	d.conds[workflowKey(w.ID)] = w.Version
	return d.submit(spec, at, w.ID, g)
}
