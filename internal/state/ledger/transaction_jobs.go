package ledger

import (
	"encoding/json"
	"fmt"

	"maddermill/wire"
)

// Submission is a job to be accepted, with what else its record depends on.
type Submission struct {
	Spec     *wire.JobSpec
	At       wire.UnixMillis // the time of the acceptance
	Gallery  *Gallery        // that it belongs to; nil for none
	workflow *Workflow       // that it is a step of; nil for none
	// Archived has the final records of those of its dependencies that are archived.
	Archived map[wire.JobID]FinalRecord
}

// Submit accepts a job. It returns ErrPreconditionFailed if the job is on record. That it is not in the
// archive either is a condition, and final records are never deleted: however late the transaction is
// committed, a finished job is not accepted again. Dependencies that are done are left out of the record;
// with one that is cancelled the job is accepted as cancelled. Both are final, so no condition is needed.
func (txn *Transaction) Submit(spec *wire.JobSpec, at wire.UnixMillis) error {
	return txn.SubmitJob(Submission{Spec: spec, At: at})
}

// SubmitJob is Submit for a job that may belong to a gallery and may name archived jobs. It returns
// ErrPreconditionFailed also if the gallery has ended, ErrUnknownDependency if a job is named that is neither
// on record nor in Archived, ErrOlderFormat or ErrTooManyDependencies.
func (txn *Transaction) SubmitJob(s Submission) error {
	limits := &txn.ledger.limits
	if _, over := txn.ledger.ArchivedState(s.Spec.ID); over || txn.ledger.jobs[s.Spec.ID] != nil {
		return refuse("submit job", s.Spec.ID)
	}
	spec, state, err := txn.resolveDependencies(&s)
	if err != nil {
		return err
	}
	return txn.atomically(func() error {
		if spec.Shape == wire.Gang && spec.Tasks > (limits.TxnOps-1)*txn.ledger.newRange(spec) {
			return fmt.Errorf("%w: a gang starts in one transaction", ErrTooLarge)
		}
		j := &Job{ID: spec.ID, Spec: spec, Accepted: s.At, State: state, storedRange: txn.ledger.newRange(spec)}
		j.tasksPerRange = j.storedRange
		if s.workflow != nil {
			j.Workflow = s.workflow.ID
		}
		long := txn.ledger.isLong(spec, j.storedRange)
		update := txn.update(j)
		if s.Gallery != nil && !txn.assignGallery(update, s.Gallery) {
			return refuse("submit job", spec.ID)
		}
		txn.putRange(update, 0)
		txn.conditions[FinalKey(spec.ID)] = 0
		b, err := json.Marshal(update)
		if err != nil {
			return err
		}
		// Every task may come to have a claim of its own in the record.
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

// resolveDependencies returns the description of a job with those of its dependencies that are not done, and
// the state in which it is accepted.
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
		state, _, onRecord := txn.ledger.dependencyState(id)
		if !onRecord {
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

// Cancel cancels a job and returns the state that it is then in: a done job stays done.
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

// PreemptGang has a gang's attempts up to upTo stopped by the controllers that hold their machines.
func (txn *Transaction) PreemptGang(j *Job, upTo wire.Attempt) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || update.stop >= upTo || upTo > update.taskRange(0).Attempt {
			return refuse("preempt gang", j.ID)
		}
		update.stop = upTo
		txn.putJob(update)
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
		txn.putJob(update)
		return nil
	})
}
