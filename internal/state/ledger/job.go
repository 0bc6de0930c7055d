package ledger

import (
	"math/bits"

	"maddermill/wire"
)

// Job is a job as last seen.
type Job struct {
	ID         wire.JobID
	Spec       *wire.JobSpec
	Need       Resources // of one task
	Accepted   wire.UnixMillis
	State      JobState
	Stop       wire.Attempt
	Done       int              // tasks done
	Claimed    int              // tasks claimed
	Gallery    wire.GalleryName // that it is tied to, "" if none
	Ended      wire.UnixMillis  // when it was done, if it is tied
	Workflow   wire.WorkflowID  // the workflow that it is a step of, "" if none
	Cancelling bool             // that workflow is cancelled, so the job will be; or the job is, by another's ledger
	ranges     map[int]*TaskRange

	tasksPerRange int
	finalDone     int // tasks done, as noted when the job is over and its ranges go
}

// Pending is the number of tasks that are neither done nor claimed.
func (j *Job) Pending() int {
	if j.State != Active || j.Cancelling {
		return 0
	}
	return j.Spec.Tasks - j.Done - j.Claimed
}

// GangSize is how many of the job's tasks must start together.
func (j *Job) GangSize() int {
	if j.Spec.Shape != wire.Gang {
		return 1
	}
	return j.Spec.Tasks - j.Done
}

// RunsWholeMachines reports whether every task is claimed or done: of a gang, that its attempt has all its tasks.
func (j *Job) RunsWholeMachines() bool { return j.Done+j.Claimed == j.Spec.Tasks }

// BestEffort reports whether a job only takes what others leave, also of the budget of changes.
func (j *Job) BestEffort() bool { return j.Spec.Priority == wire.BestEffort }

// TaskDone reports whether a task is on record as done.
func (j *Job) TaskDone(t wire.TaskIndex) bool {
	c := j.ranges[int(t)/j.tasksPerRange]
	return c != nil && c.isDone(int(t)%j.tasksPerRange)
}

// DoneTasks is how many of the job's tasks are done, also while its ranges go.
func (j *Job) DoneTasks() int { return max(j.Done, j.finalDone) }

// Attempt is the last attempt given out to the job's first tasks; for a gang,
// to all of them.
func (j *Job) Attempt() wire.Attempt { return j.ranges[0].Attempt }

// Claims calls f for every claim until it returns false.
func (j *Job) Claims(f func(Claim) bool) {
	for _, c := range j.ranges {
		for _, cl := range c.Claims {
			if !f(cl) {
				return
			}
		}
	}
}

// Status is what users are told.
func (j *Job) Status() wire.Status {
	switch {
	case j.State == Cancelled:
		return wire.Cancelled
	case j.State == Done:
		return wire.Done
	case j.Claimed > 0:
		return wire.Running
	}
	return wire.Queued
}

// ZoneRoom returns how many more of the job's tasks may be claimed in a zone.
func (j *Job) ZoneRoom(zone wire.Zone) int {
	return zoneCapacity(j.Spec, zone, func(f func(*Claim)) {
		j.Claims(func(c Claim) bool { f(&c); return true })
	})
}

// TaskRange is a range of a job's tasks as last seen.
type TaskRange struct {
	Version wire.Revision
	taskRangeRecord
	doneTasks, claimedTasks int // tasks
}

func (r *taskRangeRecord) isDone(i int) bool {
	return i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0
}

func (r *taskRangeRecord) setDone(i int) {
	for len(r.Done) <= i/8 {
		r.Done = append(r.Done, 0)
	}
	r.Done[i/8] |= 1 << (i % 8)
}

func (r *taskRangeRecord) countDone() int {
	n := 0
	for _, b := range r.Done {
		n += bits.OnesCount8(b)
	}
	return n
}

func (r *taskRangeRecord) countClaimed() int {
	n := 0
	for i := range r.Claims {
		n += r.Claims[i].Count
	}
	return n
}

// rangeBounds are the tasks [first, first+length) of a job, which share a record.
type rangeBounds struct{ first, length int }

// rangeBounds returns the tasks of the n-th range.
func (j *Job) rangeBounds(n int) rangeBounds {
	first := n * j.tasksPerRange
	return rangeBounds{first, min(j.tasksPerRange, j.Spec.Tasks-first)}
}

// HeldClaim is a claim seen from its machine.
type HeldClaim struct {
	Job *Job
	Claim
	rangeIndex int
}

// Range tells which range of the job's tasks the claim is in.
func (h *HeldClaim) Range() int { return h.rangeIndex }
