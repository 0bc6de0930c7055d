package ledger

import (
	"encoding/json"
	"fmt"

	"maddermill/wire"
)

// Submission is a job to be accepted, with the other records that its acceptance depends on.
type Submission struct {
	Spec     *wire.JobSpec
	At       wire.UnixMillis // when the job was accepted
	Gallery  *Gallery        // the gallery that it belongs to, nil if none
	workflow *Workflow       // the workflow that it is a step of, nil if none
	// Archived holds the final records of its archived dependencies.
	Archived map[wire.JobID]FinalRecord
}

// Submit accepts a job. It returns ErrPreconditionFailed if the ledger already has the job. The transaction is
// also conditioned on the job not being archived. Since final records are never deleted, a finished job is not
// accepted again, however late the transaction is committed. Dependencies that are done are left out of the
// record; if one is cancelled, the job is accepted as cancelled. Both states are final and need no condition.
func (txn *Transaction) Submit(spec *wire.JobSpec, at wire.UnixMillis) error {
	return txn.SubmitJob(Submission{Spec: spec, At: at})
}

// SubmitJob is like Submit for a job that may belong to a gallery and may depend on archived jobs. It also
// returns ErrPreconditionFailed if the gallery has ended, ErrUnknownDependency if a dependency is neither in the
// ledger nor in Archived, ErrOlderFormat if the record format has no dependencies yet, and
// ErrTooManyDependencies if the record has no room for all of them.
func (txn *Transaction) SubmitJob(s Submission) error {
	limits := &txn.ledger.limits
	if _, finished := txn.ledger.FinalRecordOf(s.Spec.ID); finished || txn.ledger.jobs[s.Spec.ID] != nil {
		return newPreconditionError("submit job", s.Spec.ID)
	}
	spec, state, err := txn.resolveDependencies(&s)
	if err != nil {
		return err
	}
	return txn.atomically(func() error {
		if spec.Shape == wire.Gang && spec.Tasks > (limits.TxnOps-1)*txn.ledger.newRangeSize(spec) {
			return fmt.Errorf("%w: all tasks of a gang must be claimed in one transaction", ErrTooLarge)
		}
		j := &Job{ID: spec.ID, Spec: spec, Accepted: s.At, State: state, storedRange: txn.ledger.newRangeSize(spec)}
		j.tasksPerRange = j.storedRange
		if s.workflow != nil {
			j.Workflow = s.workflow.ID
		}
		long := txn.ledger.isLongRange(spec, j.storedRange)
		update := txn.update(j)
		if s.Gallery != nil && !txn.assignGallery(update, s.Gallery) {
			return newPreconditionError("submit job", spec.ID)
		}
		txn.putRange(update, 0)
		txn.conditions[FinalKey(spec.ID)] = 0
		b, err := json.Marshal(update)
		if err != nil {
			return err
		}
		// In the worst case every task has a claim of its own in the record.
		fits := len(b)+min(spec.Tasks, j.tasksPerRange)*maxClaimBytes <= limits.ValueBytes
		if long {
			fits = len(b) <= maxSpecBytes
		}
		switch {
		case fits:
			return nil
		case len(spec.Dependencies) > 0:
			return ErrTooManyDependencies
		}
		return ErrTooLarge
	})
}

// resolveDependencies returns a job's specification with only the dependencies that are not done, and the
// state in which the job is accepted.
func (txn *Transaction) resolveDependencies(s *Submission) (*wire.JobSpec, JobState, error) {
	if len(s.Spec.Dependencies) == 0 {
		return s.Spec, Active, nil
	}
	if txn.ledger.archived.format.Format < PipelineFormat {
		return nil, Active, ErrOlderFormat
	}
	spec, accepted := *s.Spec, Active
	spec.Dependencies = nil
	for _, id := range s.Spec.Dependencies {
		state, _, known := txn.ledger.dependencyState(id)
		if !known {
			final, archived := s.Archived[id]
			if !archived {
				return nil, Active, ErrUnknownDependency
			}
			state = final.State
		}
		switch state {
		case Active:
			spec.Dependencies = append(spec.Dependencies, id)
		case Cancelled:
			accepted = Cancelled
		}
	}
	if accepted == Cancelled {
		spec.Dependencies = nil
	}
	return &spec, accepted, nil
}

// Cancel cancels a job and returns its state afterwards: a job that is done stays done.
func (txn *Transaction) Cancel(j *Job) (JobState, error) {
	update := txn.update(j)
	if update.state != Active {
		return update.state, nil
	}
	err := txn.atomically(func() error {
		update := txn.update(j)
		update.state = Cancelled
		txn.putJob(update)
		return nil
	})
	return Cancelled, err
}

// PreemptGang records that a gang's attempts up to upTo must be stopped. The controllers that hold their
// machines stop them.
func (txn *Transaction) PreemptGang(j *Job, upTo wire.Attempt) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || update.stop >= upTo || upTo > update.taskRange(0).Attempt {
			return newPreconditionError("preempt gang", j.ID)
		}
		update.stop = upTo
		txn.putJob(update)
		return nil
	})
}

// CompleteJob sets the state of a job to done if all of its tasks are done. It is needed when two controllers
// concurrently record the last tasks of different ranges: each sees the other range unfinished, so neither
// completes the job.
func (txn *Transaction) CompleteJob(j *Job) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || !update.allDone() {
			return newPreconditionError("complete job", j.ID)
		}
		txn.completeJob(update)
		txn.putJob(update)
		return nil
	})
}
