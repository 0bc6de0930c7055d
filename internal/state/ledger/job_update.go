package ledger

import (
	"encoding/json"
	"slices"

	"maddermill/wire"
)

// jobUpdate is a job as a transaction leaves it. It is the value of the job's record.
type jobUpdate struct {
	job       *Job
	state     JobState
	stop      wire.Attempt
	spec      *wire.JobSpec
	accepted  wire.UnixMillis
	longRange int // tasks that share a record; 0 if they are the usual number
	finalDone int // see Job

	gallery wire.GalleryName
	ended   wire.UnixMillis
	ranges  map[int]*taskRangeRecord // copies of those read so far; the others are as in job
	// newParts are the ranges of a divided job that get a record of their own.
	newParts []int
}

// taskRange returns the copy of the n-th range's record, which may be changed.
func (u *jobUpdate) taskRange(n int) *taskRangeRecord {
	r := u.ranges[n]
	if r == nil {
		r = new(taskRangeRecord)
		if old := u.job.ranges[n]; old != nil {
			r.Attempt = old.Attempt
			r.Done = slices.Clone(old.Done)
			r.Claims = slices.Clone(old.Claims)
		}
		u.ranges[n] = r
	}
	return r
}

// MarshalJSON encodes the job's record.
func (u *jobUpdate) MarshalJSON() ([]byte, error) {
	return json.Marshal(
		jobRecord{
			Spec:            u.spec,
			Accepted:        u.accepted,
			State:           u.state,
			Stop:            u.stop,
			Range:           u.longRange,
			Workflow:        u.job.Workflow,
			FinalDone:       u.finalDone,
			Gallery:         u.gallery,
			Ended:           u.ended,
			taskRangeRecord: *u.storedRange(0),
		},
	)
}

// eachClaim calls f for every claim, in no order. f must not change the claim.
func (u *jobUpdate) eachClaim(f func(*Claim)) {
	for n, r := range u.job.ranges {
		if u.ranges[n] == nil {
			for i := range r.Claims {
				f(&r.Claims[i])
			}
		}
	}
	for _, r := range u.ranges {
		for i := range r.Claims {
			f(&r.Claims[i])
		}
	}
}

// allDone reports whether the job has no task left to run. A service always has.
func (u *jobUpdate) allDone() bool {
	return u.spec.Shape != wire.Service && u.doneTasks() == u.spec.Tasks
}

// doneTasks returns how many of the job's tasks are done.
func (u *jobUpdate) doneTasks() int {
	total := u.job.Done
	for n, r := range u.ranges {
		if old := u.job.ranges[n]; old != nil {
			total -= old.doneTasks
		}
		total += r.countDone()
	}
	return total
}

// rangeTaken reports whether the n-th range has no pending task, by the counts of the ledger; a range
// that the transaction has read is not known to be.
func (u *jobUpdate) rangeTaken(n int) bool {
	r := u.job.ranges[n]
	return r != nil && u.ranges[n] == nil && r.doneTasks+r.claimedTasks >= u.job.rangeBounds(n).length
}
