package ledger

import (
	"encoding/json"
	"fmt"

	"maddermill/wire"
)

// Submit accepts a job that isn't known yet. That it is not in the archive either is a
// condition, and final states are never deleted: however late the transaction lands, a job
// that is over is not accepted anew.
func (txn *Transaction) Submit(spec *wire.JobSpec, at wire.UnixMillis) error {
	return txn.submit(spec, at, "", nil)
}

func (txn *Transaction) submit(spec *wire.JobSpec, at wire.UnixMillis, of wire.WorkflowID, g *Gallery) error {
	if _, over := txn.ledger.ArchivedState(spec.ID); over || txn.ledger.jobs[spec.ID] != nil {
		return refuse("submit job", spec.ID)
	}
	return txn.atomically(func() error {
		if spec.Shape == wire.Gang && spec.Tasks > (txn.ledger.limits.TxnOps-1)*txn.ledger.limits.TasksPerRange() {
			return fmt.Errorf("%w: a gang starts in one transaction", ErrTooLarge)
		}
		j := &Job{ID: spec.ID, Spec: spec, Accepted: at, Workflow: of, tasksPerRange: txn.ledger.longRangeTasks(spec)}
		long := j.tasksPerRange > 0
		if !long {
			j.tasksPerRange = txn.ledger.limits.TasksPerRange()
		}
		update := txn.update(j)
		if g != nil {
			if !txn.assignGallery(update, g) {
				return refuse("submit job", spec.ID)
			}
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
		if !long && len(b)+min(spec.Tasks, j.tasksPerRange)*maxClaimBytes > txn.ledger.limits.ValueBytes {
			return ErrTooLarge
		}
		return nil
	})
}

// Cancel makes the job cancelled, unless it is done: the answer tells.
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

// PreemptGang asks every holder to stop the gang's attempts up to the current one.
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

// CompleteJob makes a job done whose tasks all are. Two controllers that each record
// the last task of a different range see the other's still open, and neither
// ends the job: this does.
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
