package ledger

import (
	"slices"

	"maddermill/wire"
)

// TaskOutcome is the outcome of tasks that no longer run.
type TaskOutcome bool

// The outcomes of tasks.
const (
	TaskStopped   TaskOutcome = false // failed, preempted or lost: the tasks become pending again
	TaskCompleted TaskOutcome = true
)

// ReleaseTasks removes tasks from the claim under which they were started and returns how many it removed. The
// caller must have proof that they no longer run. Completed tasks are recorded as done, except those of a
// service, which become pending again; the job is done when its last task is. Claims of other starts are not
// changed. All tasks must be in one range, as those of a HeldClaim are. It returns ErrPreconditionFailed,
// unwrapped, if none of the tasks is held by the claim.
func (txn *Transaction) ReleaseTasks(j *Job, claim Claim, tasks []wire.TaskIndex, end TaskOutcome) (int, error) {
	n := j.rangeOf(tasks[0])
	first := j.rangeBounds(n).first
	released := 0
	err := txn.atomically(func() error {
		update := txn.update(j)
		r := update.taskRange(n)
		for _, task := range tasks {
			at := slices.IndexFunc(r.Claims, func(o Claim) bool { return o.Covers(task) && o.sameStart(&claim) })
			if at < 0 || j.rangeOf(task) != n {
				continue
			}
			r.Claims = removeTask(r.Claims, at, task)
			released++
			if end == TaskCompleted && j.Spec.Shape != wire.Service {
				r.setDone(int(task) - first)
			}
		}
		if released == 0 {
			return ErrPreconditionFailed
		}
		txn.teamUsage[j.Spec.Team] = txn.teamUsage[j.Spec.Team].Add(j.Need, -released)
		txn.putRange(update, n)
		if end == TaskCompleted && update.state == Active && update.allDone() {
			txn.completeJob(update)
			txn.putJob(update)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return released, nil
}

// CompleteGang records that all tasks of a gang's attempt are done, and returns how many it released. The tasks
// of a gang complete together, so that the completion of one proves that of all (PROTOCOL, "Gangs"), whichever
// controllers hold their machines. It needs one change per range, where ReleaseTasks may need one per task.
func (txn *Transaction) CompleteGang(j *Job, attempt wire.Attempt) (released int, err error) {
	err = txn.atomically(func() error {
		released = 0
		update := txn.update(j)
		if update.state != Active || j.Spec.Shape != wire.Gang {
			return ErrPreconditionFailed
		}
		for n := range j.ranges {
			r := update.taskRange(n)
			before := released
			r.Claims = slices.DeleteFunc(slices.Clone(r.Claims), func(claim Claim) bool {
				if claim.Attempt != attempt {
					return false
				}
				for i := range claim.Count {
					r.setDone(int(claim.First) + i - j.rangeBounds(n).first)
				}
				released += claim.Count
				return true
			})
			if released > before {
				txn.putRange(update, n)
			}
		}
		if released == 0 {
			return ErrPreconditionFailed
		}
		txn.teamUsage[j.Spec.Team] = txn.teamUsage[j.Spec.Team].Add(j.Need, -released)
		if update.allDone() {
			txn.completeJob(update)
			txn.putJob(update)
		}
		return nil
	})
	return released, err
}

// removeTask removes a task from the claim at index i, which is split into up to two claims.
func removeTask(claims []Claim, i int, task wire.TaskIndex) []Claim {
	c := claims[i]
	left, right := c, c
	left.Count = int(task - c.First)
	right.First, right.Count = task+1, c.Count-left.Count-1
	var remaining []Claim
	for _, claim := range []Claim{left, right} {
		if claim.Count > 0 {
			remaining = append(remaining, claim)
		}
	}
	return slices.Replace(claims, i, i+1, remaining...)
}
