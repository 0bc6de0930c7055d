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
	// minDistinctFailures is the number of machines on which a job must fail to count as crash-looping, and the
	// number of jobs that must fail on a machine for the machine to count as faulty.
	minDistinctFailures = 2
	// baseBackoff is doubled for each round of failures, up to maxBackoff, to give the backoff of a crash-looping
	// job.
	baseBackoff = 4 * time.Second
	maxBackoff  = 4 * time.Minute
	// maxDoublings bounds the exponent of the backoff, so that the shift doesn't overflow.
	maxDoublings = 10
	// avoidPeriod is how long a job isn't scheduled on a machine where it failed.
	avoidPeriod = 3 * time.Minute
)

// failures records the failures of a job or of a single task since a task of the job last completed.
type failures struct {
	machines     map[wire.MachineID]time.Time // latest failure by machine
	rounds       int                          // rounds of failures, each followed by a backoff
	backoffUntil time.Time                    // no retry before this time
}

// record adds a failure. Failures during a backoff belong to the round before it and don't extend it, since
// many tasks of an array fail at once.
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

// merge adds failures that a peer shared, as of the given time.
func (f *failures) merge(shared *peer.CrashLoop, asOf time.Time) {
	if f.machines == nil {
		f.machines = map[wire.MachineID]time.Time{}
	}
	for _, machine := range shared.Machines {
		if _, known := f.machines[machine]; !known {
			f.machines[machine] = asOf
		}
	}
	f.rounds = max(f.rounds, shared.FailureRounds)
	until := asOf.Add(time.Duration(shared.BackoffMS) * time.Millisecond)
	if shared.BackoffMS > 0 && until.After(f.backoffUntil) {
		f.backoffUntil = until
	}
}

// crashLooping reports whether the job or task failed on enough machines to be itself the likely cause.
func (f *failures) crashLooping() bool { return len(f.machines) >= minDistinctFailures }

// backedOff reports whether the job or task must not be retried yet.
func (f *failures) backedOff(now time.Time) bool { return now.Before(f.backoffUntil) }

// jobState is the failure and retry state of a job.
type jobState struct {
	failures    failures
	tasks       map[wire.TaskIndex]*failures // by failed task; nil for gangs
	avoided     map[wire.MachineID]time.Time // avoided machines, and since when
	retryAt     time.Time                    // no start before this time, for reasons other than failures
	doneAtClear int                          // completed tasks when the failures were last cleared
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

// clearOnProgress clears the job's failures if one of its tasks has completed since they were last cleared,
// whichever controller recorded the completion. Tasks that haven't completed stay backed off.
func (s *jobState) clearOnProgress(j *ledger.Job) {
	if j.Done <= s.doneAtClear {
		return
	}
	s.doneAtClear = j.Done
	s.failures = failures{}
	maps.DeleteFunc(s.tasks, func(task wire.TaskIndex, _ *failures) bool { return j.TaskDone(task) })
}

// taskBackedOff reports whether a task has failed on several machines and must not be retried yet.
func (s *jobState) taskBackedOff(task wire.TaskIndex, now time.Time) bool {
	f := s.tasks[task]
	return f != nil && f.backedOff(now)
}

// countBackedOff returns the number of tasks that must not be retried yet.
func (s *jobState) countBackedOff(now time.Time) int {
	n := 0
	for _, f := range s.tasks {
		if f.backedOff(now) {
			n++
		}
	}
	return n
}

// toSuspect converts the job's failures to the message that is sent to peers.
func (s *jobState) toSuspect(id wire.JobID, now time.Time) peer.CrashLoop {
	machines := slices.Sorted(maps.Keys(s.failures.machines))
	return peer.CrashLoop{
		Job:            id,
		CompletedTasks: s.doneAtClear,
		Machines:       machines[:min(len(machines), minDistinctFailures)],
		FailureRounds:  s.failures.rounds,
		BackoffMS:      max(0, s.failures.backoffUntil.Sub(now).Milliseconds()),
	}
}
