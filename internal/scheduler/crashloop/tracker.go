// Package crashloop tracks tasks' failures in a controller: which jobs crash wherever they run and are
// backed off, which machines a job avoids, and, by the rule of two jobs or by a quarantine.Judge, which
// machines are faulty.
//
// A Tracker has no lock: it is used under the watch cache's, together with the records that it judges.
package crashloop

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Tracker holds the failures that a controller observed or that its peers shared.
type Tracker struct {
	runTimes *estimate.RunTimes
	stats    *metrics.Set
	log      *slog.Logger

	jobs   map[wire.JobID]*notes
	errors map[wire.MachineID]map[wire.JobID]time.Time // jobs whose tasks failed there
	judge  *quarantine.Judge                           // nil: two jobs that fail on a machine make it faulty
}

// New returns a tracker that has observed nothing yet.
func New(runTimes *estimate.RunTimes, stats *metrics.Set, log *slog.Logger) *Tracker {
	return &Tracker{
		runTimes: runTimes,
		stats:    stats,
		log:      log,
		jobs:     map[wire.JobID]*notes{},
		errors:   map[wire.MachineID]map[wire.JobID]time.Time{},
	}
}

// EnableQuarantine has machines judged by likelihood, and slow ones found.
func (t *Tracker) EnableQuarantine(priors quarantine.Priors) { t.judge = quarantine.NewJudge(priors) }

// notes is what is remembered of a job.
type notes struct {
	retry    time.Time
	done     int // tasks done when last looked at
	failures failures
	tasks    map[wire.TaskIndex]*failures // of those that failed
	avoid    map[wire.MachineID]time.Time
}

func (t *Tracker) notes(id wire.JobID) *notes {
	n := t.jobs[id]
	if n == nil {
		n = &notes{avoid: map[wire.MachineID]time.Time{}}
		t.jobs[id] = n
	}
	return n
}

// Tasks mostly fail because their machine is faulty, and sometimes because their job
// was submitted with a mistake and fails everywhere. Failures of one job on several
// machines speak against the job; failures of several jobs on one machine, none of
// which fail elsewhere, against the machine. Controllers tell each other of failures:
// each hears only some of the machines. What is known is lost when all controllers
// end at once; it costs a suspect job's next two tries.

const (
	// avoidFor is how long a job keeps off a machine where it failed.
	avoidFor = 3 * time.Minute
	// blameFor is how long a failure is held against a machine.
	blameFor = 10 * time.Minute
	// enoughToBlame is on how many machines a job must fail, or how many jobs on a
	// machine.
	enoughToBlame = 2

	firstRest = 4 * time.Second // before a suspect is tried again; it doubles each time,
	longRest  = 4 * time.Minute // up to this
	mostTold  = 100             // suspects that peers are told of
)

// failures is what is known of a job's, or of a task's, failures since a task of it
// last completed.
type failures struct {
	on     map[wire.MachineID]time.Time
	rounds int
	until  time.Time // no further try before that
}

// note takes in a failure. Those that come while the last ones still rest are of the
// same round: an array fails with many tasks at once.
func (f *failures) note(m wire.MachineID, now time.Time) {
	if f.on == nil {
		f.on = map[wire.MachineID]time.Time{}
	}
	f.on[m] = now
	if len(f.on) >= enoughToBlame && !now.Before(f.until) {
		f.rounds++
		f.until = now.Add(min(longRest, firstRest<<min(f.rounds, 10)))
	}
}

// hear takes over what a peer knows.
func (f *failures) hear(s *peer.Suspect, at time.Time) {
	if f.on == nil {
		f.on = map[wire.MachineID]time.Time{}
	}
	for _, m := range s.Machines {
		if _, known := f.on[m]; !known {
			f.on[m] = at
		}
	}
	f.rounds = max(f.rounds, s.Rounds)
	if until := at.Add(time.Duration(s.BackoffMS) * time.Millisecond); s.BackoffMS > 0 && until.After(f.until) {
		f.until = until
	}
}

func (f *failures) blamed() bool { return len(f.on) >= enoughToBlame }

// outcome is how a task of a job ended on a machine in a block.
func outcome(
	j *ledger.Job,
	task wire.TaskIndex,
	machine wire.MachineID,
	block string,
	now time.Time,
) *quarantine.Outcome {
	return &quarantine.Outcome{
		Machine: machine,
		Job:     j.ID,
		Task:    task,
		Array:   j.Spec.Shape == wire.Array && j.Spec.Tasks > 1,
		Image:   j.Spec.Image,
		Class:   j.Spec.Class,
		Block:   block,
		At:      now,
	}
}

// Failed notes a task's error on a machine that is in a block of the topology, "" if none is
// declared.
func (t *Tracker) Failed(j *ledger.Job, task wire.TaskIndex, machine wire.MachineID, block string, now time.Time) {
	if t.judge != nil {
		o := outcome(j, task, machine, block, now)
		o.Failed = true
		t.judge.Observe(o)
	}
	n := t.notes(j.ID)
	if t.errors[machine] == nil {
		t.errors[machine] = map[wire.JobID]time.Time{}
	}
	t.errors[machine][j.ID] = now
	was := n.failures.blamed()
	n.failures.note(machine, now)
	n.avoid[machine] = now
	if j.Spec.Shape != wire.Gang { // a gang's tasks fail and rest together
		if n.tasks == nil {
			n.tasks = map[wire.TaskIndex]*failures{}
		}
		t := n.tasks[task]
		if t == nil {
			t = new(failures)
			n.tasks[task] = t
		}
		t.note(machine, now)
	}
	t.stats.Add("errors_total", 1)
	t.tellSuspect(j, n, was)
}

// tellSuspect logs that a job has become suspect.
func (t *Tracker) tellSuspect(j *ledger.Job, n *notes, was bool) {
	if n.failures.blamed() && !was {
		t.log.Warn("job crash-looping",
			"job", j.ID, "class", j.Spec.Class, "team", j.Spec.Team, "machines", len(n.failures.on),
			"rests", time.Until(n.failures.until).Round(time.Second))
	}
}

// Completed notes that a task completed on a machine, which is then not the one at fault, after
// it ran for a time; 0: unknown.
func (t *Tracker) Completed(
	j *ledger.Job,
	task wire.TaskIndex,
	machine wire.MachineID,
	block string,
	ran time.Duration,
	now time.Time,
) {
	delete(t.errors, machine)
	if t.judge != nil {
		o := outcome(j, task, machine, block, now)
		o.Ran, o.Expected = ran, t.runTimes.Expected(j)
		t.judge.Observe(o)
	}
	if ran > 0 && j.Spec.Estimate > 0 {
		t.runTimes.Observe(j.Spec.Class, ran, j.Spec.Estimate.Duration())
	}
}

// Avoid keeps a job off a machine for a while.
func (t *Tracker) Avoid(job wire.JobID, machine wire.MachineID, now time.Time) {
	t.notes(job).avoid[machine] = now
}

// Retry puts a job's next start off until a time.
func (t *Tracker) Retry(job wire.JobID, at time.Time) { t.notes(job).retry = at }

// RetryState is what speaks against starting tasks of a job now.
type RetryState struct {
	CrashLooping bool                      // it is believed to fail wherever it runs
	Retry        time.Time                 // no start before
	BackedOff    int                       // tasks that failed everywhere and rest
	Avoid        func(wire.MachineID) bool // machines to keep off; nil: none
}

// RetryState tells what speaks against a job. One a task of which has completed since the last
// look, by whichever controller that was recorded, is cleared. A task that failed everywhere
// rests on.
func (t *Tracker) RetryState(j *ledger.Job, now time.Time) RetryState {
	n := t.notes(j.ID)
	n.acquit(j)
	for m, at := range n.avoid {
		if now.Sub(at) > avoidFor {
			delete(n.avoid, m)
		}
	}
	s := RetryState{Retry: n.retry, BackedOff: n.atRest(now)}
	if len(n.avoid) > 0 {
		s.Avoid = func(m wire.MachineID) bool {
			_, bad := n.avoid[m]
			return bad
		}
	}
	if n.failures.blamed() {
		s.CrashLooping = true
		if n.failures.until.After(s.Retry) {
			s.Retry = n.failures.until
		}
	}
	return s
}

func (n *notes) acquit(j *ledger.Job) {
	if j.Done > n.done {
		n.done = j.Done
		n.failures = failures{}
		for t := range n.tasks {
			if j.TaskDone(t) {
				delete(n.tasks, t)
			}
		}
	}
}

// BackedOff tells which tasks of a job have failed on several machines and are not yet to be tried
// again.
func (t *Tracker) BackedOff(job wire.JobID) func(wire.TaskIndex) bool {
	n := t.notes(job)
	return func(t wire.TaskIndex) bool { return n.resting(t, time.Now()) }
}

func (n *notes) resting(t wire.TaskIndex, now time.Time) bool {
	f := n.tasks[t]
	return f != nil && now.Before(f.until)
}

// atRest counts the tasks of a job that rest.
func (n *notes) atRest(now time.Time) int {
	k := 0
	for _, f := range n.tasks {
		if now.Before(f.until) {
			k++
		}
	}
	return k
}

// CrashLooping reports whether a job is believed to fail wherever it runs, and after how many rounds
// of failures.
func (t *Tracker) CrashLooping(id wire.JobID) (rounds int, yes bool) {
	n := t.jobs[id]
	if n == nil || !n.failures.blamed() {
		return 0, false
	}
	return n.failures.rounds, true
}

// CountCrashLooping counts the jobs that are believed to fail wherever they run.
func (t *Tracker) CountCrashLooping() (k int) {
	for id := range t.jobs {
		if _, yes := t.CrashLooping(id); yes {
			k++
		}
	}
	return k
}

// Failing reports whether a task of a job has failed since one completed.
func (t *Tracker) Failing(id wire.JobID) bool {
	n := t.jobs[id]
	return n != nil && len(n.failures.on) > 0
}

// SuspectsToShare are told to peers: also jobs that have failed on one machine only, since
// the other one may be theirs.
func (t *Tracker) SuspectsToShare(now time.Time) []peer.Suspect {
	var out []peer.Suspect
	for id, n := range t.jobs {
		if len(n.failures.on) == 0 || len(out) == mostTold {
			continue
		}
		s := peer.Suspect{
			Job:       id,
			Done:      n.done,
			Rounds:    n.failures.rounds,
			BackoffMS: max(0, n.failures.until.Sub(now).Milliseconds()),
		}
		s.Machines = slices.Sorted(maps.Keys(n.failures.on))
		s.Machines = s.Machines[:min(len(s.Machines), enoughToBlame)]
		out = append(out, s)
	}
	return out
}

// MergeSuspects takes over what a peer told of failures, but for those of a job a task of which has
// completed since.
func (t *Tracker) MergeSuspects(l *ledger.Ledger, list []peer.Suspect, asked time.Time) {
	for i := range list {
		x := &list[i]
		j := l.Job(x.Job)
		if j == nil || j.State != ledger.Active || j.Done > x.Done {
			continue
		}
		n := t.notes(x.Job)
		was := n.failures.blamed()
		n.failures.hear(x, asked)
		t.tellSuspect(j, n, was)
	}
}

// Faulty reports whether a machine is to blame for its tasks' errors: several jobs
// failed there that do not fail elsewhere. One that its user has cancelled since
// proves nothing.
func (t *Tracker) Faulty(l *ledger.Ledger, machine wire.MachineID, now time.Time) bool {
	if t.judge != nil {
		yes, _, _ := t.judge.Faulty(machine)
		return yes
	}
	n := 0
	for id, at := range t.errors[machine] {
		j := l.Job(id)
		_, suspect := t.CrashLooping(id)
		switch {
		case now.Sub(at) > blameFor || j == nil || j.State == ledger.Cancelled:
			delete(t.errors[machine], id)
		case !suspect:
			n++
		}
	}
	return n >= enoughToBlame
}

// Slow reports whether a machine's tasks take longer than others'.
func (t *Tracker) Slow(machine wire.MachineID) bool {
	if t.judge == nil {
		return false
	}
	slow, _ := t.judge.Slow(machine)
	return slow
}

// FailuresToShare are told to peers.
func (t *Tracker) FailuresToShare(now time.Time) []peer.Failure {
	if t.judge == nil {
		return nil
	}
	return t.judge.FailuresToShare(now)
}

// MergeFailures takes in what a peer tells.
func (t *Tracker) MergeFailures(list []peer.Failure) {
	if t.judge != nil {
		t.judge.MergeFailures(list)
	}
}

// ForgetMachine drops what is known of a machine that is gone.
func (t *Tracker) ForgetMachine(id wire.MachineID) {
	delete(t.errors, id)
	if t.judge != nil {
		t.judge.Forget(id)
	}
}

// ForgetJob drops what is known of a job that is no longer among the records.
func (t *Tracker) ForgetJob(id wire.JobID) { delete(t.jobs, id) }

// Prune drops what is known of jobs and claims that are over.
func (t *Tracker) Prune(l *ledger.Ledger, now time.Time) {
	for id := range t.jobs {
		if j := l.Job(id); j == nil || j.State != ledger.Active {
			delete(t.jobs, id)
		}
	}
	if t.judge == nil {
		return
	}
	l.EachActive(func(j *ledger.Job) { t.judge.Progress(j.ID, j.Done, j.TaskDone) })
	t.judge.Prune(now, func(id wire.JobID) bool { j := l.Job(id); return j != nil && j.State == ledger.Active })
}
