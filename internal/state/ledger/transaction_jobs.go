package ledger

import (
	"encoding/json"
	"fmt"

	"maddermill/wire"
)

// Submit accepts a job. It returns ErrPreconditionFailed if the job is on record. That it is not in the
// archive either is a condition, and final records are never deleted: however late the transaction is
// committed, a finished job is not accepted again.
func (txn *Transaction) Submit(spec *wire.JobSpec, at wire.UnixMillis) error {
	return txn.submit(spec, at, "", nil)
}

// submit is Submit for a job of a workflow, "" for none, and of a gallery, nil for none.
func (txn *Transaction) submit(spec *wire.JobSpec, at wire.UnixMillis, workflow wire.WorkflowID, g *Gallery) error {
	limits := &txn.ledger.limits
	if _, over := txn.ledger.ArchivedState(spec.ID); over || txn.ledger.jobs[spec.ID] != nil {
		return refuse("submit job", spec.ID)
	}
	return txn.atomically(func() error {
		if spec.Shape == wire.Gang && spec.Tasks > (limits.TxnOps-1)*limits.TasksPerRange() {
			return fmt.Errorf("%w: a gang starts in one transaction", ErrTooLarge)
		}
		j := &Job{
			ID:            spec.ID,
			Spec:          spec,
			Accepted:      at,
			Workflow:      workflow,
			tasksPerRange: txn.ledger.longRangeTasks(spec),
		}
		long := j.tasksPerRange > 0
		if !long {
			j.tasksPerRange = limits.TasksPerRange()
		}
		update := txn.update(j)
		if g != nil && !txn.assignGallery(update, g) {
			return refuse("submit job", spec.ID)
		}
		txn.putRange(update, 0)
		txn.conditions[FinalKey(spec.ID)] = 0
		b, err := json.Marshal(update)
		if err != nil {
			return err
		}
		if long && len(b) > maxSpecBytes {
			return ErrTooLarge
		}
		// Every task may come to have a claim of its own in the record.
		if !long && len(b)+min(spec.Tasks, j.tasksPerRange)*maxClaimBytes > limits.ValueBytes {
			return ErrTooLarge
		}
		return nil
	})
}

// Cancel cancels a job and returns the state that it is then in: a done job stays done.
func (txn *Transaction) Cancel(j *Job) (JobState, error) {
	update := txn.update(j)
	if update.state != Active {
		return update.state, nil
	}
	err := txn.atomically(func() error {
		update := txn.update(j)
		update.state = Cancelled
		txn.putRange(update, 0)
		return nil
	})
	return Cancelled, err
}

// PreemptGang has a gang's attempts up to upTo stopped by the controllers that hold their machines.
func (txn *Transaction) PreemptGang(j *Job, upTo wire.Attempt) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || update.stop >= upTo || upTo > update.taskRange(0).Attempt {
			return refuse("preempt gang", j.ID)
		}
		update.stop = upTo
		txn.putRange(update, 0)
		return nil
	})
}

// CompleteJob makes a job done all of whose tasks are. It is needed when two controllers each record the
// last task of a different range at the same time: each sees the other range unfinished, and neither
// completes the job.
func (txn *Transaction) CompleteJob(j *Job) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || !update.allDone() {
			return refuse("complete job", j.ID)
		}
		txn.completeJob(update)
		txn.putRange(update, 0)
		return nil
	})
}
