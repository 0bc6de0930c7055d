package ledger

import (
	"slices"

	"maddermill/wire"
)

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
		return refuse("submit workflow", id)
	}
	txn.conditions[FinalWorkflowKey(id)] = 0
	return txn.writeWorkflow(id, 0, r)
}

// EndWorkflow moves a workflow to a state, or leaves it in the one that it is in if it can't
// go there: the answer tells. Only one that failed becomes active again.
func (txn *Transaction) EndWorkflow(workflow *Workflow, to WorkflowState, why string) (WorkflowState, error) {
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

// DeleteWorkflow notes that no job of a cancelled workflow is active any more.
func (txn *Transaction) DeleteWorkflow(workflow *Workflow) error {
	if workflow.State != WorkflowCancelled || workflow.Swept {
		return refuse("delete workflow", workflow.ID)
	}
	r := workflow.WorkflowRecord
	r.Swept = true
	return txn.writeWorkflow(workflow.ID, workflow.Version, r)
}

// SubmitStep accepts a job that isn't known yet as a step of a workflow, on the condition
// that the workflow is active: a step must not be submitted after its workflow's
// cancellation was told, however late the transaction lands.
// It is tied to a gallery, if one is given.
func (txn *Transaction) SubmitStep(workflow *Workflow, spec *wire.JobSpec, at wire.UnixMillis, g *Gallery) error {
	if workflow.State != WorkflowActive {
		return refuse("submit step", spec.ID)
	}
	txn.conditions[workflowKey(workflow.ID)] = workflow.Version
	return txn.submit(spec, at, workflow.ID, g)
}
