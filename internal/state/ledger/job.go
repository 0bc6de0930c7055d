package ledger

import (
	"math/bits"

	"maddermill/wire"
)

// Job is a job as last seen. Callers must not change it.
type Job struct {
	ID       wire.JobID
	Spec     *wire.JobSpec
	Need     Resources // that one task requires
	Accepted wire.UnixMillis
	State    JobState
	Stop     wire.Attempt     // of a gang: attempts up to and including this one are preempted
	Done     int              // tasks done
	Claimed  int              // tasks claimed
	Gallery  wire.GalleryName // that it belongs to, "" if none
	Ended    wire.UnixMillis  // when it was done; 0 if that is not on record
	Workflow wire.WorkflowID  // that it is a step of, "" if none
	// Cancelling means that the job's workflow is cancelled, or that the job itself is cancelled in the
	// ledger of another controller. None of its tasks is started any more; its own record is to follow.
	Cancelling bool
	// AncestorCancelled means that a direct or transitive dependency of the job is cancelled, and the job
	// with it. Its own record is to follow.
	AncestorCancelled bool

	waitingFor map[wire.JobID]struct{} // dependencies that are not done according to the records
	readyAt    wire.UnixMillis         // when the last dependency was done, as far as that is on record
	urgency    urgency                 // combined with that of its dependents; zero if the job is not active

	version       wire.Revision      // of its own record
	ranges        map[int]*TaskRange // the ranges on record by index; range 0 is always present
	tasksPerRange int                // tasks in a range
	storedRange   int                // tasks that share a record; more than tasksPerRange in a divided job
	long          bool               // a range may have more tasks than its record has room for claims
	// storedVersions are the record versions of the stored ranges of a divided job, by index.
	storedVersions map[int]wire.Revision
	finalDone      int // done tasks of a finished job whose ranges are being deleted
}

// Pending returns the number of tasks that may be claimed, which are neither done nor claimed. It is 0 if the
// job has ended, is being cancelled, or waits for dependencies.
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

// AllClaimedOrDone reports whether every task is claimed or done. For a gang this means that the current
// attempt is complete.
func (j *Job) AllClaimedOrDone() bool { return j.Done+j.Claimed == j.Spec.Tasks }

// BestEffort reports whether the job may only use capacity that others leave unused, both of machines and of
// the store's write budget.
func (j *Job) BestEffort() bool { return j.Priority() == wire.BestEffort }

// TaskDone reports whether a task is recorded as done.
func (j *Job) TaskDone(t wire.TaskIndex) bool {
	n := j.rangeOf(t)
	r := j.ranges[n]
	return r != nil && r.isDone(int(t)-j.rangeBounds(n).first)
}

// DoneTasks returns the number of done tasks, which stays available while the job's ranges are being deleted.
func (j *Job) DoneTasks() int { return max(j.Done, j.finalDone) }

// Attempt returns the last attempt number assigned in the job's first range, which for a gang is that of all
// tasks.
func (j *Job) Attempt() wire.Attempt { return j.ranges[0].Attempt }

// Claims calls f for every claim, in no particular order, until f returns false.
func (j *Job) Claims(f func(Claim) bool) {
	for _, r := range j.ranges {
		for _, cl := range r.Claims {
			if !f(cl) {
				return
			}
		}
	}
}

// Status returns the status that the API reports.
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

// TaskRange is a range of a job's tasks as last seen. They share a record.
type TaskRange struct {
	Version wire.Revision // of the record that holds it
	hasPart bool          // that record is a part, see division.go
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

// countDone returns the number of done tasks.
func (r *taskRangeRecord) countDone() int {
	n := 0
	for _, b := range r.Done {
		n += bits.OnesCount8(b)
	}
	return n
}

// countClaimed returns the number of claimed tasks.
func (r *taskRangeRecord) countClaimed() int {
	n := 0
	for i := range r.Claims {
		n += r.Claims[i].Count
	}
	return n
}

// HeldClaim is a claim with its job, as indexed by machine.
type HeldClaim struct {
	Job *Job
	Claim
	rangeIndex int
}

// Range returns the index of the task range that holds the claim.
func (h *HeldClaim) Range() int { return h.rangeIndex }
