package ledger

import (
	"slices"

	"maddermill/wire"
)

// writeWorkflow replaces the record of a workflow if it is still at a version; 0 means that there is none yet.
func (txn *Transaction) writeWorkflow(id wire.WorkflowID, at wire.Revision, r WorkflowRecord) error {
	return txn.atomically(func() error {
		txn.conditions[workflowKey(id)] = at
		txn.put(workflowKey(id), r)
		return nil
	})
}

// SubmitWorkflow accepts a workflow, whose documents must already be written. It returns ErrPreconditionFailed
// if the ledger already has the workflow. The transaction is also conditioned on it not being archived.
func (txn *Transaction) SubmitWorkflow(id wire.WorkflowID, r WorkflowRecord) error {
	if txn.ledger.workflows[id] != nil {
		return newPreconditionError("submit workflow", id)
	}
	txn.conditions[FinalWorkflowKey(id)] = 0
	return txn.writeWorkflow(id, 0, r)
}

// SetWorkflowState changes the state of a workflow if that is a legal transition, and returns its state afterwards.
// It counts a failed workflow that becomes active again as resumed.
func (txn *Transaction) SetWorkflowState(workflow *Workflow, to WorkflowState, why string) (WorkflowState, error) {
	if !slices.Contains(workflowTransitions[workflow.State], to) {
		return workflow.State, nil
	}
	r := workflow.WorkflowRecord
	r.State, r.Reason = to, why
	if to == WorkflowActive {
		r.Resumed++
	}
	return to, txn.writeWorkflow(workflow.ID, workflow.Version, r)
}

// FinishCancelledWorkflow records that no job of a cancelled workflow is active any more, which ends the workflow and
// makes it archivable.
func (txn *Transaction) FinishCancelledWorkflow(workflow *Workflow) error {
	if workflow.State != WorkflowCancelled || workflow.JobsEnded {
		return newPreconditionError("finish cancelled workflow", workflow.ID)
	}
	r := workflow.WorkflowRecord
	r.JobsEnded = true
	return txn.writeWorkflow(workflow.ID, workflow.Version, r)
}

// SubmitStep is like Submit for a step of a workflow, which may also belong to a gallery; g is nil if it does
// not. The transaction is conditioned on the workflow's record, so that no step is accepted after the
// cancellation of its workflow was confirmed, however late the transaction is committed.
func (txn *Transaction) SubmitStep(workflow *Workflow, spec *wire.JobSpec, at wire.UnixMillis, g *Gallery) error {
	if workflow.State != WorkflowActive {
		return newPreconditionError("submit step", spec.ID)
	}
	txn.conditions[workflowKey(workflow.ID)] = workflow.Version
	return txn.SubmitJob(Submission{Spec: spec, At: at, Gallery: g, workflow: workflow})
}
