package emulator

import (
	"slices"
	"sync"
	"time"

	"maddermill/wire"
)

// World is the ground truth of what runs on which machine, and the check of the
// protocol's rules against it. Violations are collected in Broken.
type World struct {
	// TeamMax is the limit of each team's GPUs in use; 0: none.
	TeamMax map[wire.Team]float64
	// CancelS is how long after a cancellation was reported tasks may still run.
	CancelS time.Duration
	// Broken lists the violations: the rule's name, then the job, task or team.
	Broken []string
	// Starts counts the starts of tasks.
	Starts int
	// Lapsed counts the tasks that ended with their machine's lease.
	Lapsed int
	// Again counts the starts of tasks that had completed.
	Again int

	// Finished, if set, is called before a task is reported as done.
	Finished func(wire.TaskID)
	// Fails, if set, reports whether a task exits with an error on a machine.
	Fails func(wire.MachineID, wire.TaskID) bool
	// Fetch, if set, returns how long a machine fetches a task's image; otherwise it is
	// defaultFetchTime.
	Fetch func(wire.MachineID, wire.TaskID) time.Duration

	mu sync.Mutex // guards the fields below and the counters and violations above

	specs     map[wire.JobID]*wire.JobSpec
	placed    map[wire.TaskID]wire.MachineID // the tasks that are on a machine, with their image
	zones     map[wire.TaskID]wire.Zone      // of the placed tasks
	gangTasks map[wire.TaskID]gangTask       // the gangs' tasks among the placed
	hung      map[wire.MachineID]bool
	done      map[wire.TaskID]bool
	seen      map[wire.JobID]map[wire.TaskIndex]bool // tasks that ever were placed
	reported  map[wire.JobID]reportedStatus          // what users were last told
}

// gangTask is a placed task of a gang as the gang's other tasks see it.
type gangTask struct {
	attempt wire.Attempt
	machine wire.MachineID
}

// Times after which a gang's task gives up: waiting for the others, and missing one.
const (
	gangWaitTimeout = 30 * time.Second
	gangPeerTimeout = 5 * time.Second
)

// reportedStatus is a job's status as it was reported to users, and since when.
type reportedStatus struct {
	status wire.Status
	since  time.Time
}

// NewWorld returns a world without jobs whose cancelled tasks may run on for a grace period.
func NewWorld(cancel time.Duration) *World {
	return &World{
		TeamMax:   map[wire.Team]float64{},
		CancelS:   cancel,
		specs:     map[wire.JobID]*wire.JobSpec{},
		placed:    map[wire.TaskID]wire.MachineID{},
		zones:     map[wire.TaskID]wire.Zone{},
		gangTasks: map[wire.TaskID]gangTask{},
		hung:      map[wire.MachineID]bool{},
		done:      map[wire.TaskID]bool{},
		seen:      map[wire.JobID]map[wire.TaskIndex]bool{},
		reported:  map[wire.JobID]reportedStatus{},
	}
}

// Upload makes a job's spec known to the workers.
func (w *World) Upload(s *wire.JobSpec) {
	w.mu.Lock()
	w.specs[s.ID] = s
	w.mu.Unlock()
}

// Known reports whether a job's spec was uploaded.
func (w *World) Known(job wire.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[job] != nil
}

// Spec returns a job's spec as it was uploaded, or nil.
func (w *World) Spec(job wire.JobID) *wire.JobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[job]
}

// violate records a violation. w.mu is held.
func (w *World) violate(rule string) { w.Broken = append(w.Broken, rule) }

// ObserveAnswer records the status of a job that was reported to a user, and checks that a final
// status stays and that a job reported as done has all its tasks done.
func (w *World) ObserveAnswer(id wire.JobID, status wire.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.reported[id]
	if (before.status == wire.Done || before.status == wire.Cancelled) && status != before.status {
		w.violate("went_back " + string(id))
	}
	if status == wire.Done && before.status != wire.Done {
		for i := range w.specs[id].Tasks {
			if !w.done[wire.TaskID{Job: id, Index: wire.TaskIndex(i)}] {
				w.violate("not_done " + string(id))
			}
		}
	}
	if before.status != status {
		w.reported[id] = reportedStatus{status, time.Now()}
	}
	if (status == wire.Queued || status == wire.Running) && w.ancestorCancelledBefore(id, time.Now().Add(-w.CancelS)) {
		w.violate("orphaned " + string(id))
	}
}

// ancestorCancelledBefore reports whether a user was told before a time that a job is cancelled which another
// needs, directly or through others. w.mu is held.
func (w *World) ancestorCancelledBefore(id wire.JobID, at time.Time) bool {
	spec := w.specs[id]
	if spec == nil {
		return false
	}
	for _, dependency := range spec.Dependencies {
		told := w.reported[dependency]
		if told.status == wire.Cancelled && told.since.Before(at) || w.ancestorCancelledBefore(dependency, at) {
			return true
		}
	}
	return false
}

// checkDependencies checks that all jobs are done that a starting task's job needs. w.mu is held.
func (w *World) checkDependencies(t wire.TaskID, spec *wire.JobSpec) {
	for _, id := range spec.Dependencies {
		for i := range w.specs[id].Tasks {
			if !w.done[wire.TaskID{Job: id, Index: wire.TaskIndex(i)}] {
				w.violate("too_early " + t.String() + " before " + string(id))
				break
			}
		}
	}
}

// start places a task on a machine and checks the rules on it. w.mu is held.
func (w *World) start(m *Machine, t wire.TaskID) {
	spec := w.specs[t.Job]
	w.Starts++
	if w.done[t] {
		w.Again++
	}
	if other, ok := w.placed[t]; ok {
		w.violate("ran_twice " + t.String() + " on " + string(other) + " and " + string(m.Type.ID))
	}
	w.checkMachine(m, t, spec)
	w.checkZones(m, t, spec)
	w.checkDependencies(t, spec)
	w.placed[t], w.zones[t] = m.Type.ID, m.Type.Zone
	if w.seen[t.Job] == nil {
		w.seen[t.Job] = map[wire.TaskIndex]bool{}
	}
	w.seen[t.Job][t.Index] = true
	w.checkQuota(spec.Team)
	w.checkCancelled(t)
}

// checkMachine checks that a job's constraints allow a machine. w.mu is held.
func (w *World) checkMachine(m *Machine, t wire.TaskID, spec *wire.JobSpec) {
	wrongZone := spec.Zone != nil && *spec.Zone != m.Type.Zone
	wrongSpot := m.Type.Spot && !spec.Spot
	wrongType := spec.Types != nil && !slices.Contains(spec.Types, m.Type.Type)
	if wrongZone || wrongSpot || wrongType {
		w.violate("wrong_place " + t.String())
	}
}

// checkZones checks the zones of a job's placed tasks with one more on a machine: all in one
// zone, or no more than half of them in each, if the job says so. w.mu is held.
func (w *World) checkZones(m *Machine, t wire.TaskID, spec *wire.JobSpec) {
	sameZone := 1
	for other, zone := range w.zones {
		if other.Job != t.Job || other == t {
			continue
		}
		if zone == m.Type.Zone {
			sameZone++
		} else if spec.OneZone {
			w.violate("wrong_place " + t.String() + " not together")
		}
	}
	if spec.Spread && sameZone > (spec.Tasks+1)/2 {
		w.violate("wrong_place " + t.String() + " not spread")
	}
}

// checkQuota checks that a team's placed tasks stay within its GPUs. w.mu is held.
func (w *World) checkQuota(team wire.Team) {
	used := 0.0
	for t := range w.placed {
		if spec := w.specs[t.Job]; spec.Team == team {
			used += spec.GPUs
		}
	}
	if limit := w.TeamMax[team]; limit > 0 && used > limit {
		w.violate("quota " + string(team))
	}
}

// checkCancelled checks that a task does not run long after its job was reported as
// cancelled. w.mu is held.
func (w *World) checkCancelled(t wire.TaskID) {
	if r := w.reported[t.Job]; r.status == wire.Cancelled && time.Since(r.since) > w.CancelS {
		w.violate("ran_cancelled " + t.String())
	}
}

// gangComplete reports whether all of a gang's tasks that are not done are placed under one
// attempt, on machines that answer each other. w.mu is held.
func (w *World) gangComplete(spec *wire.JobSpec, attempt wire.Attempt) bool {
	for i := range spec.Tasks {
		t := wire.TaskID{Job: spec.ID, Index: wire.TaskIndex(i)}
		if w.done[t] {
			continue
		}
		if g, ok := w.gangTasks[t]; !ok || g.attempt != attempt || w.hung[g.machine] {
			return false
		}
	}
	return true
}

// finish marks a task as done and takes it off its machine. w.mu is held.
func (w *World) finish(t wire.TaskID) {
	if w.Finished != nil {
		w.Finished(t)
	}
	w.done[t] = true
	w.remove(t)
}

// remove takes a task off its machine. w.mu is held.
func (w *World) remove(t wire.TaskID) {
	delete(w.gangTasks, t)
	delete(w.placed, t)
	delete(w.zones, t)
}

// Check checks the rules that time can break on all placed tasks.
func (w *World) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.placed {
		w.checkCancelled(t)
	}
}

// DoneTasks returns the number of completed tasks.
func (w *World) DoneTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done)
}

// Whole reports whether all of a gang is placed, on machines that answer each other.
func (w *World) Whole(job wire.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.gangTasks[wire.TaskID{Job: job}]
	return ok && w.gangComplete(w.specs[job], m.attempt)
}

// Seen returns how many of a job's tasks ever were on a machine.
func (w *World) Seen(job wire.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen[job])
}

// On returns the number of a job's tasks on each machine.
func (w *World) On(job wire.JobID) map[wire.MachineID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[wire.MachineID]int{}
	for t, m := range w.placed {
		if t.Job == job {
			out[m]++
		}
	}
	return out
}
