package quarantine

import (
	"slices"
	"time"

	"maddermill/internal/membership/peer"
)

// Limits of what is shared with other controllers.
const (
	maxSharedFailures = 100
	sharingWindow     = 3 * time.Minute
)

// FailuresToShare returns the latest failures on machines that report to this controller, to be sent to other
// controllers.
func (d *Detector) FailuresToShare(now time.Time) []peer.Failure {
	var out []peer.Failure
	for i := len(d.failures) - 1; i >= 0 && len(out) < maxSharedFailures; i-- {
		f := d.failures[i]
		if now.Sub(f.At) > sharingWindow {
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
			DoneBefore: f.completedBefore[machineIndex],
			At:         f.At.UnixMilli(),
		})
	}
	return out
}

// MergeFailures adds failures shared by another controller, except those already known. They are evidence about
// jobs and tasks, whose completions are on record. Machines are assessed by the controller that they report to,
// images and blocks by each controller from its own observations.
func (d *Detector) MergeFailures(list []peer.Failure) {
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
		if d.isKnownFailure(o) {
			continue
		}
		machine := machineCause(shared.Machine)
		d.completed[machine] = max(d.completed[machine], shared.DoneBefore)
		d.Observe(o)
	}
}

// isKnownFailure reports whether a failure has already been observed or merged.
func (d *Detector) isKnownFailure(o *Outcome) bool {
	return slices.ContainsFunc(d.failures, func(f *failure) bool {
		return f.Machine == o.Machine && f.Job == o.Job && f.Task == o.Task && f.At.Equal(o.At)
	})
}
