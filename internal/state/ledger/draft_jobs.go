package ledger

import (
	"encoding/json"
	"fmt"

	"maddermill/wire"
)

// Submit accepts a job that isn't known yet. That it is not in the archive either is a
// condition, and final states are never deleted: however late the transaction lands, a job
// that is over is not accepted anew.
func (d *Transaction) Submit(spec *wire.JobSpec, at wire.UnixMillis) error {
	return d.submit(spec, at, "", nil)
}

func (d *Transaction) submit(spec *wire.JobSpec, at wire.UnixMillis, of wire.WorkflowID, g *Gallery) error {
	if _, over := d.l.ArchivedState(spec.ID); over || d.l.jobs[spec.ID] != nil {
		return ErrPreconditionFailed
	}
	return d.try(func() error {
		if spec.Shape == wire.Gang && spec.Tasks > (d.l.limits.TxnOps-1)*d.l.limits.TasksPerRange() {
			return fmt.Errorf("%w: a gang starts in one transaction", ErrTooLarge)
		}
		j := &Job{ID: spec.ID, Spec: spec, Accepted: at, Workflow: of, chunkTasks: d.l.rangeFor(spec)}
		long := j.chunkTasks > 0
		if !long {
			j.chunkTasks = d.l.limits.TasksPerRange()
		}
		w := d.job(j)
		if g != nil {
			if !d.tie(w, g) {
				return ErrPreconditionFailed
			}
		}
		d.write(w, 0)
		d.conds[FinalKey(spec.ID)] = 0
		b, err := json.Marshal(w)
		if err != nil {
			return err
		}
		if long && len(b) > specBytes {
			return ErrTooLarge
		}
		// Every task may come to have a claim of its own in the record.
		if !long && len(b)+min(spec.Tasks, j.chunkTasks)*claimBytes > d.l.limits.ValueBytes {
			return ErrTooLarge
		}
		return nil
	})
}

// Cancel makes the job cancelled, unless it is done: the answer tells.
func (d *Transaction) Cancel(j *Job) (JobState, error) {
	w := d.job(j)
	if w.state != Active {
		return w.state, nil
	}
	err := d.try(func() error {
		w := d.job(j)
		w.state = Cancelled
		d.write(w, 0)
		return nil
	})
	return Cancelled, err
}

// PreemptGang asks every holder to stop the gang's attempts up to the current one.
func (d *Transaction) PreemptGang(j *Job, upTo wire.Attempt) error {
	return d.try(func() error {
		w := d.job(j)
		if w.state != Active || w.stop >= upTo || upTo > w.chunk(0).Attempt {
			return ErrPreconditionFailed
		}
		w.stop = upTo
		d.write(w, 0)
		return nil
	})
}

func (w *draftJob) allDone() bool {
	return w.spec.Shape != wire.Service && w.doneTasks() == w.spec.Tasks
}

// doneTasks is how many of the job's tasks are done.
func (w *draftJob) doneTasks() int {
	total := w.job.Done
	for n, c := range w.chunks {
		if old := w.job.chunks[n]; old != nil {
			total -= old.done
		}
		total += c.doneCount()
	}
	return total
}

// CompleteJob makes a job done whose tasks all are. Two controllers that each record
// the last task of a different range see the other's still open, and neither
// ends the job: this does.
func (d *Transaction) CompleteJob(j *Job) error {
	return d.try(func() error {
		w := d.job(j)
		if w.state != Active || !w.allDone() {
			return ErrPreconditionFailed
		}
		d.done(w)
		d.write(w, 0)
		return nil
	})
}
