package quarantine

import (
	"slices"
	"time"

	"maddermill/internal/membership/peer"
)

// Bounds of what is shared with other controllers.
const (
	maxSharedFailures = 100
	sharePeriod       = 3 * time.Minute
)

// FailuresToShare returns the latest failures on machines that report here, for other controllers.
func (j *Judge) FailuresToShare(now time.Time) []peer.Failure {
	var out []peer.Failure
	for i := len(j.failures) - 1; i >= 0 && len(out) < maxSharedFailures; i-- {
		f := j.failures[i]
		if now.Sub(f.At) > sharePeriod {
			break
		}
		if f.FromPeer {
			continue
		}
		out = append(out, peer.Failure{
			Job:        f.Job,
			Task:       f.Task,
			Array:      f.Array,
			Machine:    f.Machine,
			Image:      f.Image,
			Block:      f.Block,
			DoneBefore: f.completedBefore[machineAt],
			At:         f.At.UnixMilli(),
		})
	}
	return out
}

// MergeFailures adds failures that another controller has shared, those that are known already excepted.
// They are evidence about jobs and tasks, whose completions are in the records. Machines are judged by the
// controller that they report to, images and blocks by each controller from what it observes.
func (j *Judge) MergeFailures(list []peer.Failure) {
	for i := len(list) - 1; i >= 0; i-- {
		shared := &list[i]
		o := &Outcome{
			Machine:  shared.Machine,
			Job:      shared.Job,
			Task:     shared.Task,
			Array:    shared.Array,
			Image:    shared.Image,
			Block:    shared.Block,
			Failed:   true,
			FromPeer: true,
			At:       time.UnixMilli(shared.At),
		}
		if j.knows(o) {
			continue
		}
		machine := machineCause(shared.Machine)
		j.completed[machine] = max(j.completed[machine], shared.DoneBefore)
		j.Observe(o)
	}
}

// knows reports whether a failure has been observed or merged already.
func (j *Judge) knows(o *Outcome) bool {
	return slices.ContainsFunc(j.failures, func(f *failure) bool {
		return f.Machine == o.Machine && f.Job == o.Job && f.Task == o.Task && f.At.Equal(o.At)
	})
}
