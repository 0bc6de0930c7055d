// Package crashloop tracks the failures of tasks in a controller: which jobs crash wherever they run and
// are backed off, which machines a job avoids, and, by the rule of two jobs or by a quarantine.Judge, which
// machines are faulty.
//
// Tasks mostly fail because their machine is faulty, and sometimes because their job was submitted with a
// mistake and fails everywhere. Failures of one job on several machines are evidence against the job;
// failures of several jobs on one machine, none of which fail elsewhere, against the machine. Controllers
// share failures with their peers, since each receives only those of some machines. Nothing is stored:
// when all controllers end at once, a crash-looping job gets two more tries than otherwise.
//
// A Tracker has no lock: it is used under the watch cache's, together with the records that it judges. It
// changes no records; callers act on what it reports.
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

// maxSharedSuspects is how many jobs with failures are shared with peers.
const maxSharedSuspects = 100

// Tracker holds the failures that a controller observed or that its peers shared.
type Tracker struct {
	runTimes *estimate.RunTimes
	stats    *metrics.Set
	log      *slog.Logger

	jobs     map[wire.JobID]*jobState
	failedOn map[wire.MachineID]map[wire.JobID]time.Time // jobs whose tasks failed there since one completed
	judge    *quarantine.Judge                           // nil: minToBlame jobs that fail on a machine make it faulty
}

// New returns a tracker that has observed nothing yet.
func New(runTimes *estimate.RunTimes, stats *metrics.Set, log *slog.Logger) *Tracker {
	return &Tracker{
		runTimes: runTimes,
		stats:    stats,
		log:      log,
		jobs:     map[wire.JobID]*jobState{},
		failedOn: map[wire.MachineID]map[wire.JobID]time.Time{},
	}
}

// job returns the state of a job, which it creates if there is none.
func (t *Tracker) job(id wire.JobID) *jobState {
	state := t.jobs[id]
	if state == nil {
		state = &jobState{avoided: map[wire.MachineID]time.Time{}}
		t.jobs[id] = state
	}
	return state
}

// Failed records a task's error on a machine that is in a block of the topology, "" if none is declared.
func (t *Tracker) Failed(j *ledger.Job, task wire.TaskIndex, machine wire.MachineID, block string, now time.Time) {
	if t.judge != nil {
		outcome := newOutcome(j, task, machine, block, now)
		outcome.Failed = true
		t.judge.Observe(outcome)
	}
	state := t.job(j.ID)
	if t.failedOn[machine] == nil {
		t.failedOn[machine] = map[wire.JobID]time.Time{}
	}
	t.failedOn[machine][j.ID] = now
	wasCrashLooping := state.failures.crashLooping()
	state.failures.record(machine, now)
	state.avoided[machine] = now
	if j.Spec.Shape != wire.Gang { // a gang's tasks fail and are backed off together
		state.recordTask(task, machine, now)
	}
	t.stats.Add("errors_total", 1)
	t.logIfCrashLooping(j, state, wasCrashLooping)
}

// logIfCrashLooping logs that a job has begun to be crash-looping.
func (t *Tracker) logIfCrashLooping(j *ledger.Job, state *jobState, wasCrashLooping bool) {
	if wasCrashLooping || !state.failures.crashLooping() {
		return
	}
	t.log.Warn("job crash-looping",
		"job", j.ID, "class", j.Spec.Class, "team", j.Spec.Team, "machines", len(state.failures.machines),
		"rests", time.Until(state.failures.backoffUntil).Round(time.Second))
}

// Completed records that a task completed on a machine, which is then not the one to blame, after it ran
// for a time; 0: unknown.
func (t *Tracker) Completed(
	j *ledger.Job,
	task wire.TaskIndex,
	machine wire.MachineID,
	block string,
	ran time.Duration,
	now time.Time,
) {
	delete(t.failedOn, machine)
	if t.judge != nil {
		outcome := newOutcome(j, task, machine, block, now)
		outcome.Ran, outcome.Expected = ran, t.runTimes.Expected(j)
		t.judge.Observe(outcome)
	}
	if ran > 0 && j.Spec.Estimate > 0 {
		t.runTimes.Observe(j.Spec.Class, ran, j.Spec.Estimate.Duration())
	}
}

// Avoid has a job avoid a machine for avoidPeriod.
func (t *Tracker) Avoid(job wire.JobID, machine wire.MachineID, now time.Time) {
	t.job(job).avoided[machine] = now
}

// Retry puts off a job's next start until a time.
func (t *Tracker) Retry(job wire.JobID, at time.Time) { t.job(job).retryAt = at }

// RetryState is what prevents or limits starts of a job's tasks now.
type RetryState struct {
	CrashLooping bool                      // the job fails wherever it runs, as far as known
	Retry        time.Time                 // no start before
	BackedOff    int                       // tasks that failed on several machines and are not to be tried yet
	Avoid        func(wire.MachineID) bool // reports machines to avoid; nil: none
}

// RetryState returns what prevents or limits starts of a job's tasks. The failures of a job are cleared
// once a task of it has completed, by whichever controller that was recorded; a task that failed on several
// machines stays backed off.
func (t *Tracker) RetryState(j *ledger.Job, now time.Time) RetryState {
	state := t.job(j.ID)
	state.clearOnProgress(j)
	maps.DeleteFunc(state.avoided, func(_ wire.MachineID, since time.Time) bool { return now.Sub(since) > avoidPeriod })
	retry := RetryState{Retry: state.retryAt, BackedOff: state.countBackedOff(now)}
	if len(state.avoided) > 0 {
		retry.Avoid = func(m wire.MachineID) bool {
			_, avoided := state.avoided[m]
			return avoided
		}
	}
	if state.failures.crashLooping() {
		retry.CrashLooping = true
		if state.failures.backoffUntil.After(retry.Retry) {
			retry.Retry = state.failures.backoffUntil
		}
	}
	return retry
}

// BackedOff returns a function that reports which tasks of a job have failed on several machines and are
// not to be tried yet.
func (t *Tracker) BackedOff(job wire.JobID) func(wire.TaskIndex) bool {
	state := t.job(job)
	return func(task wire.TaskIndex) bool { return state.taskBackedOff(task, time.Now()) }
}

// CrashLooping reports whether a job fails wherever it runs, as far as known, and after how many rounds of
// failures.
func (t *Tracker) CrashLooping(id wire.JobID) (rounds int, crashLooping bool) {
	state := t.jobs[id]
	if state == nil || !state.failures.crashLooping() {
		return 0, false
	}
	return state.failures.rounds, true
}

// CountCrashLooping returns how many jobs fail wherever they run, as far as known.
func (t *Tracker) CountCrashLooping() int {
	n := 0
	for _, state := range t.jobs {
		if state.failures.crashLooping() {
			n++
		}
	}
	return n
}

// Failing reports whether a task of a job has failed since one completed.
func (t *Tracker) Failing(id wire.JobID) bool {
	state := t.jobs[id]
	return state != nil && len(state.failures.machines) > 0
}

// SuspectsToShare returns the failures of jobs for peers: also of jobs that have failed on one machine
// only, since a peer may know of another one.
func (t *Tracker) SuspectsToShare(now time.Time) []peer.Suspect {
	var out []peer.Suspect
	for id, state := range t.jobs {
		if len(out) == maxSharedSuspects {
			break
		}
		if len(state.failures.machines) > 0 {
			out = append(out, state.share(id, now))
		}
	}
	return out
}

// MergeSuspects adds the failures of jobs that a peer has shared, as of a time, except those of jobs that
// are no longer active or of which a task has completed since.
func (t *Tracker) MergeSuspects(l *ledger.Ledger, list []peer.Suspect, asOf time.Time) {
	for i := range list {
		shared := &list[i]
		j := l.Job(shared.Job)
		if j == nil || j.State != ledger.Active || j.Done > shared.Done {
			continue
		}
		state := t.job(shared.Job)
		wasCrashLooping := state.failures.crashLooping()
		state.failures.merge(shared, asOf)
		t.logIfCrashLooping(j, state, wasCrashLooping)
	}
}

// ForgetMachine drops what is known of a machine that is gone.
func (t *Tracker) ForgetMachine(id wire.MachineID) {
	delete(t.failedOn, id)
	if t.judge != nil {
		t.judge.Forget(id)
	}
}

// ForgetJob drops what is known of a job that is no longer among the records.
func (t *Tracker) ForgetJob(id wire.JobID) { delete(t.jobs, id) }

// Prune drops what is known of jobs that are no longer active, and has the judge note the progress of those
// that are.
func (t *Tracker) Prune(l *ledger.Ledger, now time.Time) {
	isActive := func(id wire.JobID) bool {
		j := l.Job(id)
		return j != nil && j.State == ledger.Active
	}
	maps.DeleteFunc(t.jobs, func(id wire.JobID, _ *jobState) bool { return !isActive(id) })
	if t.judge == nil {
		return
	}
	l.EachActive(func(j *ledger.Job) { t.judge.Progress(j.ID, j.Done, j.TaskDone) })
	t.judge.Prune(now, isActive)
}
