package ledger

import (
	"slices"

	"maddermill/wire"
)

// writeWorkflow replaces the record of a workflow at a version; 0: there must be none.
func (txn *Transaction) writeWorkflow(id wire.WorkflowID, at wire.Revision, r WorkflowRecord) error {
	return txn.atomically(func() error {
		txn.conditions[workflowKey(id)] = at
		txn.put(workflowKey(id), r)
		return nil
	})
}

// SubmitWorkflow accepts a workflow. It returns ErrPreconditionFailed if it is on record; that it is not
// archived either is a condition. Its documents were written before.
func (txn *Transaction) SubmitWorkflow(id wire.WorkflowID, r WorkflowRecord) error {
	if txn.ledger.workflows[id] != nil {
		return refuse("submit workflow", id)
	}
	txn.conditions[FinalWorkflowKey(id)] = 0
	return txn.writeWorkflow(id, 0, r)
}

// MoveWorkflow moves a workflow to a state if that is a legal transition, and returns the state that it is
// then in. A failed workflow that becomes active again counts as resumed.
func (txn *Transaction) MoveWorkflow(workflow *Workflow, to WorkflowState, why string) (WorkflowState, error) {
	if !slices.Contains(workflowTransitions[workflow.State], to) {
		return workflow.State, nil
	}
	r := workflow.WorkflowRecord
	r.State, r.Why = to, why
	if to == WorkflowActive {
		r.Resumed++
	}
	return to, txn.writeWorkflow(workflow.ID, workflow.Version, r)
}

// SweepWorkflow records that no job of a cancelled workflow is active any more, which ends the workflow.
func (txn *Transaction) SweepWorkflow(workflow *Workflow) error {
	if workflow.State != WorkflowCancelled || workflow.Swept {
		return refuse("delete workflow", workflow.ID)
	}
	r := workflow.WorkflowRecord
	r.Swept = true
	return txn.writeWorkflow(workflow.ID, workflow.Version, r)
}

// SubmitStep is Submit for a step of a workflow, and of a gallery, nil for none. That the workflow is active
// is a condition: no step is accepted after its workflow's cancellation was confirmed, however late
// the transaction is committed.
func (txn *Transaction) SubmitStep(workflow *Workflow, spec *wire.JobSpec, at wire.UnixMillis, g *Gallery) error {
	if workflow.State != WorkflowActive {
		return refuse("submit step", spec.ID)
	}
	txn.conditions[workflowKey(workflow.ID)] = workflow.Version
	return txn.SubmitJob(Submission{Spec: spec, At: at, Gallery: g, workflow: workflow})
}
