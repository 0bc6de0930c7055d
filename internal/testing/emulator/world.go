package emulator

import (
	"slices"
	"sync"
	"time"

	"maddermill/wire"
)

// World is the ground truth of which task runs on which machine. It checks the protocol's rules
// and collects the violations.
type World struct {
	// TeamMax is the maximum number of GPUs that each team may use; 0 means no limit.
	TeamMax map[wire.Team]float64
	// CancelS is how long tasks may still run after users were told that their job is cancelled.
	CancelS time.Duration
	// Violations lists the violations, each as the name of the rule followed by the job, task or team.
	Violations []string
	// Starts counts the tasks started.
	Starts int
	// Lapsed counts the tasks that were killed because their machine's lease expired.
	Lapsed int
	// Again counts the starts of tasks that had already completed.
	Again int

	// Finished, if set, is called just before a task is marked as done.
	Finished func(wire.TaskID)
	// Fails, if set, reports whether a task on a machine exits with an error.
	Fails func(wire.MachineID, wire.TaskID) bool
	// Fetch, if set, returns how long a machine fetches the image of a task. The default is
	// defaultFetchTime.
	Fetch func(wire.MachineID, wire.TaskID) time.Duration

	mu sync.Mutex // guards the fields below and the counters and violations above

	specs      map[wire.JobID]*wire.JobSpec
	placed     map[wire.TaskID]wire.MachineID // the tasks that have their image and have not ended
	zones      map[wire.TaskID]wire.Zone      // zones of the placed tasks
	gangTasks  map[wire.TaskID]gangTask       // the placed tasks that belong to gangs
	hung       map[wire.MachineID]bool
	done       map[wire.TaskID]bool
	everPlaced map[wire.JobID]map[wire.TaskIndex]bool // tasks that have been placed at any time
	reported   map[wire.JobID]reportedStatus          // the status last reported to users
}

// gangTask is a placed task of a gang as its peers see it.
type gangTask struct {
	attempt wire.Attempt
	machine wire.MachineID
}

// Times after which a task of a gang exits: while it waits for its peers to start, and after it lost one.
const (
	gangWaitTimeout = 30 * time.Second
	gangPeerTimeout = 5 * time.Second
)

// reportedStatus is the status of a job that users were told, and the time of the first such report.
type reportedStatus struct {
	status wire.Status
	since  time.Time
}

// NewWorld returns a world without jobs. cancel is the time for which tasks may run on after a cancellation.
func NewWorld(cancel time.Duration) *World {
	return &World{
		TeamMax:    map[wire.Team]float64{},
		CancelS:    cancel,
		specs:      map[wire.JobID]*wire.JobSpec{},
		placed:     map[wire.TaskID]wire.MachineID{},
		zones:      map[wire.TaskID]wire.Zone{},
		gangTasks:  map[wire.TaskID]gangTask{},
		hung:       map[wire.MachineID]bool{},
		done:       map[wire.TaskID]bool{},
		everPlaced: map[wire.JobID]map[wire.TaskIndex]bool{},
		reported:   map[wire.JobID]reportedStatus{},
	}
}

// Upload makes the spec of a job available to the workers.
func (w *World) Upload(s *wire.JobSpec) {
	w.mu.Lock()
	w.specs[s.ID] = s
	w.mu.Unlock()
}

// Known reports whether the spec of a job has been uploaded.
func (w *World) Known(job wire.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[job] != nil
}

// Spec returns the uploaded spec of a job, or nil.
func (w *World) Spec(job wire.JobID) *wire.JobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[job]
}

// violate records a violation. w.mu is held.
func (w *World) violate(rule string) { w.Violations = append(w.Violations, rule) }

// ObserveAnswer records the status of a job that a user was told. It checks that a final status does
// not change, that all tasks of a job reported as done are done, and that a job is no longer queued or
// running some time after a job that it depends on was reported as cancelled.
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
	if (status == wire.Queued || status == wire.Running) && w.dependencyCancelledBefore(id, time.Now().Add(-w.CancelS)) {
		w.violate("orphaned " + string(id))
	}
}

// dependencyCancelledBefore reports whether users were told before a time that a direct or indirect dependency
// of a job is cancelled. w.mu is held.
func (w *World) dependencyCancelledBefore(id wire.JobID, at time.Time) bool {
	spec := w.specs[id]
	if spec == nil {
		return false
	}
	for _, dependency := range spec.Dependencies {
		reported := w.reported[dependency]
		if reported.status == wire.Cancelled && reported.since.Before(at) || w.dependencyCancelledBefore(dependency, at) {
			return true
		}
	}
	return false
}

// checkDependencies checks that all dependencies of a starting task's job are done. w.mu is held.
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

// start places a task on a machine and checks the rules for starts. w.mu is held.
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
	if w.everPlaced[t.Job] == nil {
		w.everPlaced[t.Job] = map[wire.TaskIndex]bool{}
	}
	w.everPlaced[t.Job][t.Index] = true
	w.checkQuota(spec.Team)
	w.checkCancelled(t)
}

// checkMachine checks that the constraints of a task's job allow a machine. w.mu is held.
func (w *World) checkMachine(m *Machine, t wire.TaskID, spec *wire.JobSpec) {
	wrongZone := spec.Zone != nil && *spec.Zone != m.Type.Zone
	wrongSpot := m.Type.Spot && !spec.Spot
	wrongType := spec.Types != nil && !slices.Contains(spec.Types, m.Type.Type)
	if wrongZone || wrongSpot || wrongType {
		w.violate("wrong_place " + t.String())
	}
}

// checkZones checks a job's zone constraints with one more task on a machine: with OneZone all of its
// placed tasks are in one zone, with Spread at most half of its tasks are in each. w.mu is held.
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

// checkQuota checks that a team's placed tasks stay within its GPU limit. w.mu is held.
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

// checkCancelled checks that a task does not run longer than CancelS after its job was reported
// as cancelled. w.mu is held.
func (w *World) checkCancelled(t wire.TaskID) {
	if r := w.reported[t.Job]; r.status == wire.Cancelled && time.Since(r.since) > w.CancelS {
		w.violate("ran_cancelled " + t.String())
	}
}

// gangComplete reports whether all tasks of a gang that are not done are placed, with the given
// attempt and on machines that are not hung. w.mu is held.
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

// finish marks a task as done and removes it from its machine. w.mu is held.
func (w *World) finish(t wire.TaskID) {
	if w.Finished != nil {
		w.Finished(t)
	}
	w.done[t] = true
	w.remove(t)
}

// remove removes a task from its machine. w.mu is held.
func (w *World) remove(t wire.TaskID) {
	delete(w.gangTasks, t)
	delete(w.placed, t)
	delete(w.zones, t)
}

// Check checks all placed tasks against the rules that can be violated by the passage of time alone.
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

// GangFullyPlaced reports whether all unfinished tasks of a gang are placed, on machines that are not hung.
func (w *World) GangFullyPlaced(job wire.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.gangTasks[wire.TaskID{Job: job}]
	return ok && w.gangComplete(w.specs[job], m.attempt)
}

// Seen returns the number of a job's tasks that have been placed on a machine at any time.
func (w *World) Seen(job wire.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.everPlaced[job])
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
