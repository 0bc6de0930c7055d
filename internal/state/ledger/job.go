package ledger

import (
	"math/bits"

	"maddermill/wire"
)

// Job is a job as last seen. Callers read it and must not change it.
type Job struct {
	ID       wire.JobID
	Spec     *wire.JobSpec
	Need     Resources // of one task
	Accepted wire.UnixMillis
	State    JobState
	Stop     wire.Attempt     // of a gang: its attempts up to this one are to stop (preemption)
	Done     int              // tasks done
	Claimed  int              // tasks claimed
	Gallery  wire.GalleryName // that it belongs to, "" if none
	Ended    wire.UnixMillis  // when it was done, if that is on record
	Workflow wire.WorkflowID  // that it is a step of, "" if none
	// Cancelling says that the job will be cancelled: its workflow is, or the job is by the ledger of
	// another controller. Nothing of it starts any more.
	Cancelling bool
	// AncestorCancelled says that a job which it needs, directly or through others, is cancelled, and so it
	// is, too. Its own record is to follow.
	AncestorCancelled bool

	waitingFor map[wire.JobID]struct{} // dependencies that are not done on record
	readyAt    wire.UnixMillis         // when the last dependency was done, as far as it is on record
	urgency    urgency                 // its own and that of the jobs that need it; empty if it is not active

	version       wire.Revision      // of its own record
	ranges        map[int]*TaskRange // the ranges on record by number; range 0 is always there
	tasksPerRange int                // tasks of a range
	storedRange   int                // tasks that share a record; more than tasksPerRange in a divided job
	long          bool               // a range may have more tasks than its record has room for claims
	// storedVersions are the versions of the records of the stored ranges of a divided job, by number.
	storedVersions map[int]wire.Revision
	finalDone      int // tasks done of a finished job whose ranges are being deleted
}

// Pending returns the number of tasks that may be claimed: neither done nor claimed, 0 if the job is over
// or cancelling, or waits for others.
func (j *Job) Pending() int {
	if j.State != Active || j.Cancelling || !j.Ready() {
		return 0
	}
	return j.Spec.Tasks - j.Done - j.Claimed
}

// GangSize returns how many of the job's tasks must start together.
func (j *Job) GangSize() int {
	if j.Spec.Shape != wire.Gang {
		return 1
	}
	return j.Spec.Tasks - j.Done
}

// AllClaimedOrDone reports whether every task is claimed or done. Of a gang it says that the current
// attempt has all of its tasks.
func (j *Job) AllClaimedOrDone() bool { return j.Done+j.Claimed == j.Spec.Tasks }

// BestEffort reports whether a job only uses the capacity that others leave: of machines, and of the
// budget of changes to the store.
func (j *Job) BestEffort() bool { return j.Priority() == wire.BestEffort }

// TaskDone reports whether a task is on record as done.
func (j *Job) TaskDone(t wire.TaskIndex) bool {
	n := j.rangeOf(t)
	r := j.ranges[n]
	return r != nil && r.isDone(int(t)-j.rangeBounds(n).first)
}

// DoneTasks returns how many of the job's tasks are done, also while its ranges are being deleted.
func (j *Job) DoneTasks() int { return max(j.Done, j.finalDone) }

// Attempt returns the last attempt number given out in the job's first range; for a gang it is that of
// all tasks.
func (j *Job) Attempt() wire.Attempt { return j.ranges[0].Attempt }

// Claims calls f for every claim, in no order, until it returns false.
func (j *Job) Claims(f func(Claim) bool) {
	for _, r := range j.ranges {
		for _, cl := range r.Claims {
			if !f(cl) {
				return
			}
		}
	}
}

// Status returns the status that the API shows.
func (j *Job) Status() wire.Status {
	switch {
	case j.State == Cancelled || j.State == Active && j.AncestorCancelled:
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

// TaskRange is a range of a job's tasks, which share a record, as last seen.
type TaskRange struct {
	Version wire.Revision // of the record that it is in
	hasPart bool          // that is a part, see division.go
	taskRangeRecord
	doneTasks    int
	claimedTasks int
}

// isDone reports whether the i-th task of the range is done.
func (r *taskRangeRecord) isDone(i int) bool {
	return i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0
}

// setDone records the i-th task of the range as done.
func (r *taskRangeRecord) setDone(i int) {
	for len(r.Done) <= i/8 {
		r.Done = append(r.Done, 0)
	}
	r.Done[i/8] |= 1 << (i % 8)
}

// countDone returns how many tasks are done.
func (r *taskRangeRecord) countDone() int {
	n := 0
	for _, b := range r.Done {
		n += bits.OnesCount8(b)
	}
	return n
}

// countClaimed returns how many tasks are claimed.
func (r *taskRangeRecord) countClaimed() int {
	n := 0
	for i := range r.Claims {
		n += r.Claims[i].Count
	}
	return n
}

// HeldClaim is a claim as indexed by its machine.
type HeldClaim struct {
	Job *Job
	Claim
	rangeIndex int
}

// Range returns the number of the task range that the claim is in.
func (h *HeldClaim) Range() int { return h.rangeIndex }
