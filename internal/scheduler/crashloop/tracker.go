// Package crashloop tracks task failures in a controller: which jobs are crash-looping and backed off, which
// machines a job avoids, and which machines are faulty. Faulty machines are found by a fixed threshold
// (minDistinctFailures) or, with quarantine enabled, by a quarantine.Detector.
//
// Tasks mostly fail because their machine is faulty, and sometimes because their job was submitted with a
// mistake and fails everywhere. Failures of one job on several machines are evidence against the job;
// failures on one machine of several jobs that don't fail elsewhere are evidence against the machine.
// Controllers share failures with their peers, since each receives the reports of some machines only. Nothing
// is persisted: if all controllers stop at once, a crash-looping job gets two more attempts than otherwise.
//
// A Tracker has no lock of its own: callers hold the lock of the watch cache, whose records it reads. It never
// changes records; callers act on what it reports.
package crashloop

import (
	"log/slog"
	"maps"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// maxSharedSuspects is the maximum number of failing jobs that are shared with peers.
const maxSharedSuspects = 100

// Tracker holds the failures that a controller observed or received from its peers.
type Tracker struct {
	runTimes *estimate.RunTimes
	stats    *metrics.Set
	log      *slog.Logger

	jobs     map[wire.JobID]*jobState
	failedOn map[wire.MachineID]map[wire.JobID]time.Time // jobs that failed there since a task last completed there
	detector *quarantine.Detector                        // nil: quarantine is disabled
}

// New returns a tracker without observations.
func New(runTimes *estimate.RunTimes, stats *metrics.Set, log *slog.Logger) *Tracker {
	return &Tracker{
		runTimes: runTimes,
		stats:    stats,
		log:      log,
		jobs:     map[wire.JobID]*jobState{},
		failedOn: map[wire.MachineID]map[wire.JobID]time.Time{},
	}
}

// ensureJob returns the state of a job and creates it if necessary.
func (t *Tracker) ensureJob(id wire.JobID) *jobState {
	state := t.jobs[id]
	if state == nil {
		state = &jobState{avoided: map[wire.MachineID]time.Time{}}
		t.jobs[id] = state
	}
	return state
}

// RecordFailure records a task's failure on a machine. block is the machine's topology block; "" if none is declared.
func (t *Tracker) RecordFailure(
	j *ledger.Job,
	task wire.TaskIndex,
	machine wire.MachineID,
	block string,
	now time.Time,
) {
	if t.detector != nil {
		outcome := newOutcome(j, task, machine, block, now)
		outcome.Failed = true
		t.detector.Observe(outcome)
	}
	state := t.ensureJob(j.ID)
	if t.failedOn[machine] == nil {
		t.failedOn[machine] = map[wire.JobID]time.Time{}
	}
	t.failedOn[machine][j.ID] = now
	wasCrashLooping := state.failures.crashLooping()
	state.failures.record(machine, now)
	state.avoided[machine] = now
	if j.Spec.Shape != wire.Gang { // the tasks of a gang fail and back off together
		state.recordTask(task, machine, now)
	}
	t.stats.Add("errors_total", 1)
	t.logIfCrashLooping(j, state, wasCrashLooping)
}

// logIfCrashLooping logs the transition of a job to crash-looping.
func (t *Tracker) logIfCrashLooping(j *ledger.Job, state *jobState, wasCrashLooping bool) {
	if wasCrashLooping || !state.failures.crashLooping() {
		return
	}
	t.log.Warn("job crash-looping",
		"job", j.ID, "class", j.Spec.Class, "team", j.Spec.Team, "machines", len(state.failures.machines),
		"rests", time.Until(state.failures.backoffUntil).Round(time.Second))
}

// RecordCompletion records that a task completed on a machine, which clears the machine's failures. ran is the run
// time of the task; 0: unknown.
func (t *Tracker) RecordCompletion(
	j *ledger.Job,
	task wire.TaskIndex,
	machine wire.MachineID,
	block string,
	ran time.Duration,
	now time.Time,
) {
	delete(t.failedOn, machine)
	if t.detector != nil {
		outcome := newOutcome(j, task, machine, block, now)
		outcome.Ran, outcome.Expected = ran, t.runTimes.ExpectedRunTime(j)
		t.detector.Observe(outcome)
	}
	if ran > 0 && j.Spec.Estimate > 0 {
		t.runTimes.Observe(j.Spec.Class, ran, j.Spec.Estimate.Duration())
	}
}

// AvoidMachine keeps a job off a machine for avoidPeriod.
func (t *Tracker) AvoidMachine(job wire.JobID, machine wire.MachineID, now time.Time) {
	t.ensureJob(job).avoided[machine] = now
}

// SetRetryTime sets the earliest time of a job's next start.
func (t *Tracker) SetRetryTime(job wire.JobID, at time.Time) { t.ensureJob(job).retryAt = at }

// RetryState holds the current constraints on starting a job's tasks.
type RetryState struct {
	CrashLooping   bool                      // the job fails on every machine, as far as known
	NotBefore      time.Time                 // no start before this time
	BackedOffTasks int                       // tasks that failed on several machines and must not be retried yet
	Avoid          func(wire.MachineID) bool // reports whether to avoid a machine; nil: none
}

// RetryState returns the current constraints on starting a job's tasks. It clears the failures of a job once one
// of its tasks has completed, whichever controller recorded the completion; tasks that failed on several machines
// stay backed off.
func (t *Tracker) RetryState(j *ledger.Job, now time.Time) RetryState {
	state := t.ensureJob(j.ID)
	state.clearOnProgress(j)
	maps.DeleteFunc(state.avoided, func(_ wire.MachineID, since time.Time) bool { return now.Sub(since) > avoidPeriod })
	retry := RetryState{NotBefore: state.retryAt, BackedOffTasks: state.countBackedOff(now)}
	if len(state.avoided) > 0 {
		retry.Avoid = func(m wire.MachineID) bool {
			_, avoided := state.avoided[m]
			return avoided
		}
	}
	if state.failures.crashLooping() {
		retry.CrashLooping = true
		if state.failures.backoffUntil.After(retry.NotBefore) {
			retry.NotBefore = state.failures.backoffUntil
		}
	}
	return retry
}

// BackedOff returns a function that reports whether a task of a job has failed on several machines and must not
// be retried yet.
func (t *Tracker) BackedOff(job wire.JobID) func(wire.TaskIndex) bool {
	state := t.ensureJob(job)
	return func(task wire.TaskIndex) bool { return state.taskBackedOff(task, time.Now()) }
}

// CrashLooping reports whether a job fails on every machine, as far as known, and after how many rounds of
// failures.
func (t *Tracker) CrashLooping(id wire.JobID) (rounds int, crashLooping bool) {
	state := t.jobs[id]
	if state == nil || !state.failures.crashLooping() {
		return 0, false
	}
	return state.failures.rounds, true
}

// CountCrashLooping returns the number of crash-looping jobs.
func (t *Tracker) CountCrashLooping() int {
	n := 0
	for _, state := range t.jobs {
		if state.failures.crashLooping() {
			n++
		}
	}
	return n
}

// HasFailures reports whether a task of a job has failed since a task of the job last completed.
func (t *Tracker) HasFailures(id wire.JobID) bool {
	state := t.jobs[id]
	return state != nil && len(state.failures.machines) > 0
}

// SuspectsToShare returns the failing jobs to be sent to peers. It includes jobs that failed on one machine
// only, since a peer may know of a failure on another.
func (t *Tracker) SuspectsToShare(now time.Time) []peer.CrashLoop {
	var out []peer.CrashLoop
	for id, state := range t.jobs {
		if len(out) == maxSharedSuspects {
			break
		}
		if len(state.failures.machines) > 0 {
			out = append(out, state.toSuspect(id, now))
		}
	}
	return out
}

// MergeSuspects adds the failing jobs that a peer shared, as of the given time. It skips jobs that are no longer
// active and jobs of which a task has completed since.
func (t *Tracker) MergeSuspects(l *ledger.Ledger, list []peer.CrashLoop, asOf time.Time) {
	for i := range list {
		shared := &list[i]
		j := l.Job(shared.Job)
		if j == nil || j.State != ledger.Active || j.Done > shared.CompletedTasks {
			continue
		}
		state := t.ensureJob(shared.Job)
		wasCrashLooping := state.failures.crashLooping()
		state.failures.merge(shared, asOf)
		t.logIfCrashLooping(j, state, wasCrashLooping)
	}
}

// ForgetMachine drops the state of a machine that no longer exists.
func (t *Tracker) ForgetMachine(id wire.MachineID) {
	delete(t.failedOn, id)
	if t.detector != nil {
		t.detector.ForgetMachine(id)
	}
}

// ForgetJob drops the state of a job that is no longer on record.
func (t *Tracker) ForgetJob(id wire.JobID) { delete(t.jobs, id) }

// Prune drops the state of jobs that are no longer active, and passes the progress of active jobs to the
// detector.
func (t *Tracker) Prune(l *ledger.Ledger, now time.Time) {
	isActive := func(id wire.JobID) bool {
		j := l.Job(id)
		return j != nil && j.State == ledger.Active
	}
	maps.DeleteFunc(t.jobs, func(id wire.JobID, _ *jobState) bool { return !isActive(id) })
	if t.detector == nil {
		return
	}
	l.EachActive(func(j *ledger.Job) { t.detector.RecordProgress(j.ID, j.Done, j.TaskDone) })
	t.detector.Prune(now, isActive)
}
