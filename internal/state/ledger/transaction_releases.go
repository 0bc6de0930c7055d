package ledger

import (
	"slices"

	"maddermill/wire"
)

// TaskEnd is how tasks ended.
type TaskEnd bool

// The ends of tasks.
const (
	TaskStopped   TaskEnd = false // failed, preempted or lost: they are pending again
	TaskCompleted TaskEnd = true
)

// ReleaseTasks removes tasks from the claim under which they were started, on proof that they no longer run,
// and returns how many it removed. Completed tasks are recorded as done, except those of a service, which
// start again; the job is done with its last task. Claims of other starts are not touched. All tasks
// must be of one range, as those of a HeldClaim are. It returns ErrPreconditionFailed, not wrapped, if
// none of the tasks is under the claim.
func (txn *Transaction) ReleaseTasks(j *Job, claim Claim, tasks []wire.TaskIndex, end TaskEnd) (int, error) {
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

// CompleteGang records that all tasks of a gang's attempt are done, and returns how many it released: they
// complete together, so that one that is done proves it of all (PROTOCOL, "Gangs"), whichever
// controllers hold their machines. It takes one change a range, where ReleaseTasks may take one a task.
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

// removeTask removes a task from the claim at index i, which falls into up to two pieces.
func removeTask(claims []Claim, i int, task wire.TaskIndex) []Claim {
	c := claims[i]
	left, right := c, c
	left.Count = int(task - c.First)
	right.First, right.Count = task+1, c.Count-left.Count-1
	var parts []Claim
	for _, p := range []Claim{left, right} {
		if p.Count > 0 {
			parts = append(parts, p)
		}
	}
	return slices.Replace(claims, i, i+1, parts...)
}
