package controller

import (
	"maps"
	"slices"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/mesh"
	"maddermill/internal/workers"
	"maddermill/wire"
)

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
func (f *failures) hear(s *mesh.Suspect, at time.Time) {
	if f.on == nil {
		f.on = map[wire.MachineID]time.Time{}
	}
	for _, m := range s.Machines {
		if _, known := f.on[m]; !known {
			f.on[m] = at
		}
	}
	f.rounds = max(f.rounds, s.Rounds)
	if until := at.Add(time.Duration(s.RestMS) * time.Millisecond); s.RestMS > 0 && until.After(f.until) {
		f.until = until
	}
}

func (f *failures) blamed() bool { return len(f.on) >= enoughToBlame }

// failed notes a task's error.
func (c *Core) failed(w *workers.Worker, e *workers.Exit, now time.Time) {
	j := e.Held.Job
	n := c.notes(j.ID)
	w.Errors[j.ID] = now
	was := n.failures.blamed()
	n.failures.note(w.ID, now)
	n.avoid[w.ID] = now
	if j.Spec.Shape != wire.Gang { // a gang's tasks fail and rest together
		if n.tasks == nil {
			n.tasks = map[wire.TaskIndex]*failures{}
		}
		t := n.tasks[e.Task]
		if t == nil {
			t = new(failures)
			n.tasks[e.Task] = t
		}
		t.note(w.ID, now)
	}
	c.Stats.Add("errors_total", 1)
	c.tellSuspect(j, n, was)
}

// tellSuspect logs that a job has become suspect.
func (c *Core) tellSuspect(j *ledger.Job, n *jobNotes, was bool) {
	if n.failures.blamed() && !was {
		c.log.Warn("job suspect", "job", j.ID, "class", j.Spec.Class, "team", j.Spec.Team, "machines", len(n.failures.on), "rests", time.Until(n.failures.until).Round(time.Second))
	}
}

// acquit clears a job once a task of it has completed since the last look, by
// whichever controller that was recorded. A task that failed everywhere rests on.
func (n *jobNotes) acquit(j *ledger.Job) {
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

// resting reports whether a task has failed on several machines and is not yet to be
// tried again.
func (n *jobNotes) resting(t wire.TaskIndex, now time.Time) bool {
	f := n.tasks[t]
	return f != nil && now.Before(f.until)
}

// atRest counts the tasks of a job that rest.
func (n *jobNotes) atRest(now time.Time) int {
	k := 0
	for _, f := range n.tasks {
		if now.Before(f.until) {
			k++
		}
	}
	return k
}

// suspect reports whether a job is believed to fail wherever it runs.
func (c *Core) suspect(id wire.JobID) bool {
	n := c.jobs[id]
	return n != nil && n.failures.blamed()
}

// suspects are told to peers: also jobs that have failed on one machine only, since
// the other one may be theirs.
func (c *Core) suspects(now time.Time) []mesh.Suspect {
	var out []mesh.Suspect
	for id, n := range c.jobs {
		if len(n.failures.on) == 0 || len(out) == mostTold {
			continue
		}
		s := mesh.Suspect{Job: id, Done: n.done, Rounds: n.failures.rounds, RestMS: max(0, n.failures.until.Sub(now).Milliseconds())}
		s.Machines = slices.Sorted(maps.Keys(n.failures.on))
		s.Machines = s.Machines[:min(len(s.Machines), enoughToBlame)]
		out = append(out, s)
	}
	return out
}

// hearSuspects takes over what a peer tells of failures, unless a task of the job has
// completed since.
func (c *Core) hearSuspects(list []mesh.Suspect, at time.Time) {
	for i := range list {
		s := &list[i]
		j := c.led.Job(s.Job)
		if j == nil || j.State != ledger.Active || j.Done > s.Done {
			continue
		}
		n := c.notes(s.Job)
		was := n.failures.blamed()
		n.failures.hear(s, at)
		c.tellSuspect(j, n, was)
	}
}

// faulty reports whether a machine is to blame for its tasks' errors: several jobs
// failed there that do not fail elsewhere. One that its user has cancelled since
// proves nothing.
func (c *Core) faulty(w *workers.Worker, now time.Time) bool {
	n := 0
	for id, at := range w.Errors {
		j := c.led.Job(id)
		switch {
		case now.Sub(at) > blameFor || j == nil || j.State == ledger.Cancelled:
			delete(w.Errors, id)
		case !c.suspect(id):
			n++
		}
	}
	return n >= enoughToBlame
}
