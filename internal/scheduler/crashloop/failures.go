package crashloop

import (
	"maps"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

const (
	// minToBlame is on how many machines a job must fail to be crash-looping, and how many jobs must fail
	// on a machine for it to be faulty.
	minToBlame = 2
	// baseBackoff is doubled with each round of failures, up to maxBackoff, for the time before a
	// crash-looping job is tried again.
	baseBackoff = 4 * time.Second
	maxBackoff  = 4 * time.Minute
	// maxDoublings bounds the doublings, so that the product doesn't overflow.
	maxDoublings = 10
	// avoidPeriod is how long a job avoids a machine where it failed.
	avoidPeriod = 3 * time.Minute
)

// failures are those of a job, or of one of its tasks, since a task of it last completed.
type failures struct {
	machines     map[wire.MachineID]time.Time // where it failed, and when last
	rounds       int                          // of failures, each ended by a backoff
	backoffUntil time.Time                    // no further try before that
}

// record adds a failure. Those that come during a backoff are of the round before it: an array fails with
// many tasks at once.
func (f *failures) record(machine wire.MachineID, now time.Time) {
	if f.machines == nil {
		f.machines = map[wire.MachineID]time.Time{}
	}
	f.machines[machine] = now
	if f.crashLooping() && !now.Before(f.backoffUntil) {
		f.rounds++
		f.backoffUntil = now.Add(min(maxBackoff, baseBackoff<<min(f.rounds, maxDoublings)))
	}
}

// merge adds the failures that a peer has shared, as of a time.
func (f *failures) merge(shared *peer.Suspect, asOf time.Time) {
	if f.machines == nil {
		f.machines = map[wire.MachineID]time.Time{}
	}
	for _, machine := range shared.Machines {
		if _, known := f.machines[machine]; !known {
			f.machines[machine] = asOf
		}
	}
	f.rounds = max(f.rounds, shared.Rounds)
	until := asOf.Add(time.Duration(shared.BackoffMS) * time.Millisecond)
	if shared.BackoffMS > 0 && until.After(f.backoffUntil) {
		f.backoffUntil = until
	}
}

// crashLooping reports whether the failures are on so many machines that the job or task is to blame.
func (f *failures) crashLooping() bool { return len(f.machines) >= minToBlame }

// backedOff reports whether it is not to be tried yet.
func (f *failures) backedOff(now time.Time) bool { return now.Before(f.backoffUntil) }

// jobState is what is remembered of a job.
type jobState struct {
	failures failures
	tasks    map[wire.TaskIndex]*failures // by task, of those that failed; nil for gangs
	avoided  map[wire.MachineID]time.Time // machines that the job avoids, and when it began to
	retryAt  time.Time                    // no start before, for other reasons than failures
	doneSeen int                          // tasks done when the failures were last cleared
}

// recordTask adds a failure of one task.
func (s *jobState) recordTask(task wire.TaskIndex, machine wire.MachineID, now time.Time) {
	if s.tasks == nil {
		s.tasks = map[wire.TaskIndex]*failures{}
	}
	if s.tasks[task] == nil {
		s.tasks[task] = new(failures)
	}
	s.tasks[task].record(machine, now)
}

// clearOnProgress clears the failures if a task of the job has completed since they were last cleared, by
// whichever controller that was recorded. Tasks that are not done themselves stay backed off.
func (s *jobState) clearOnProgress(j *ledger.Job) {
	if j.Done <= s.doneSeen {
		return
	}
	s.doneSeen = j.Done
	s.failures = failures{}
	maps.DeleteFunc(s.tasks, func(task wire.TaskIndex, _ *failures) bool { return j.TaskDone(task) })
}

// taskBackedOff reports whether a task has failed on several machines and is not to be tried yet.
func (s *jobState) taskBackedOff(task wire.TaskIndex, now time.Time) bool {
	f := s.tasks[task]
	return f != nil && f.backedOff(now)
}

// countBackedOff returns how many tasks are not to be tried yet.
func (s *jobState) countBackedOff(now time.Time) int {
	n := 0
	for _, f := range s.tasks {
		if f.backedOff(now) {
			n++
		}
	}
	return n
}

// share returns the job's failures in the form in which peers get them.
func (s *jobState) share(id wire.JobID, now time.Time) peer.Suspect {
	machines := slices.Sorted(maps.Keys(s.failures.machines))
	return peer.Suspect{
		Job:       id,
		Done:      s.doneSeen,
		Machines:  machines[:min(len(machines), minToBlame)],
		Rounds:    s.failures.rounds,
		BackoffMS: max(0, s.failures.backoffUntil.Sub(now).Milliseconds()),
	}
}
