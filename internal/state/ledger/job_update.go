package ledger

import (
	"encoding/json"
	"slices"

	"maddermill/wire"
)

// jobUpdate is a job with the changes of a transaction. It encodes as the value of the job's record.
type jobUpdate struct {
	job         *Job
	state       JobState
	stop        wire.Attempt
	spec        *wire.JobSpec
	accepted    wire.UnixMillis
	customRange int // tasks per stored range, 0 for the usual number
	finalDone   int // see Job

	gallery wire.GalleryName
	ended   wire.UnixMillis
	ranges  map[int]*taskRangeRecord // copies of the ranges accessed so far; the others are unchanged in job
	// newParts are the ranges of a divided job for which the transaction writes a part.
	newParts []int
}

// taskRange returns the transaction's copy of the n-th range, which the caller may change.
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
			Range:           u.customRange,
			Workflow:        u.job.Workflow,
			FinalDone:       u.finalDone,
			Gallery:         u.gallery,
			Ended:           u.ended,
			taskRangeRecord: *u.storedRange(0),
		},
	)
}

// eachClaim calls f for every claim in no particular order. f must not change the claim.
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

// allDone reports whether all tasks of the job are done. It is always false for a service.
func (u *jobUpdate) allDone() bool {
	return u.spec.Shape != wire.Service && u.doneTasks() == u.spec.Tasks
}

// doneTasks returns the number of tasks that are done.
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

// rangeExhausted reports whether the n-th range has no pending task according to the counts in the ledger. It
// returns false for a range that the transaction has accessed, because the transaction may have changed it.
func (u *jobUpdate) rangeExhausted(n int) bool {
	r := u.job.ranges[n]
	return r != nil && u.ranges[n] == nil && r.doneTasks+r.claimedTasks >= u.job.rangeBounds(n).length
}
