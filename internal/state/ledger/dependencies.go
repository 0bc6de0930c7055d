package ledger

import (
	"iter"
	"maps"
	"slices"
	"time"

	"maddermill/wire"
)

// A job with dependencies waits until all of them are recorded as done, and is cancelled if any of them is. The
// state derived from this is kept for each active job and updated incrementally: a job that ends affects only
// the jobs that depend on it. Done and cancelled are final states, so a job that is ready stays ready, and a job
// whose ancestor is cancelled stays cancelled (DESIGN, "Dependencies").

// stageOverhead is the estimated delay between the end of a job and the start of a job that depends on it: a
// heartbeat that reports the end, writing its record, and the next heartbeat of a machine with free resources.
const stageOverhead = 10 * time.Second

// dependencyIndex indexes the dependencies of active jobs.
type dependencyIndex struct {
	// dependents holds the active jobs that depend on a job, by that job.
	dependents map[wire.JobID]map[wire.JobID]struct{}
	// missing holds the dependencies that are not in the ledger: they arrive later or are archived.
	missing map[wire.JobID]struct{}
	// ancestorCancelled holds the active jobs with a cancelled ancestor. Their own records don't say so yet.
	ancestorCancelled map[wire.JobID]struct{}
	// waiting is the number of active jobs that wait for dependencies.
	waiting int
	// newlyReady holds the jobs whose last dependency became done, see DrainNewlyReady.
	newlyReady []wire.JobID
}

// newDependencyIndex returns an empty index.
func newDependencyIndex() dependencyIndex {
	return dependencyIndex{
		dependents:        map[wire.JobID]map[wire.JobID]struct{}{},
		missing:           map[wire.JobID]struct{}{},
		ancestorCancelled: map[wire.JobID]struct{}{},
	}
}

// urgency is the effective priority and deadline of a job, which it inherits in part from its dependents.
type urgency struct {
	priority wire.Priority   // the highest
	dueBy    wire.UnixMillis // when its last task should end at the latest; 0: no deadline
}

// combine returns the higher priority and the earlier deadline of the two.
func (u urgency) combine(o urgency) urgency {
	if o.priority.Rank() < u.priority.Rank() {
		u.priority = o.priority
	}
	if u.dueBy == 0 || o.dueBy != 0 && o.dueBy < u.dueBy {
		u.dueBy = o.dueBy
	}
	return u
}

// Ready reports whether all dependencies of the job are recorded as done. Its tasks must not be claimed before.
func (j *Job) Ready() bool { return len(j.waitingFor) == 0 && !j.AncestorCancelled }

// WaitingFor returns the dependencies that are not done yet, sorted by id.
func (j *Job) WaitingFor() []wire.JobID { return slices.Sorted(maps.Keys(j.waitingFor)) }

// EligibleSince returns when the job became eligible to start: when it was accepted, or when its last dependency
// was done if that was later.
func (j *Job) EligibleSince() wire.UnixMillis { return max(j.Accepted, j.readyAt) }

// Priority returns the effective priority of the job: the highest of its own and those of its dependents.
func (j *Job) Priority() wire.Priority { return j.currentUrgency().priority }

// DueBy returns when the job should be done to meet its own deadline and those of its dependents, which still
// have to run after it. It returns the zero time if none of them has a deadline.
func (j *Job) DueBy() time.Time {
	due := j.currentUrgency().dueBy
	if due == 0 {
		return time.Time{}
	}
	return due.Time()
}

// currentUrgency returns the job's urgency, including what it inherits from its dependents if it is active.
func (j *Job) currentUrgency() urgency {
	if j.urgency == (urgency{}) {
		return ownUrgency(j)
	}
	return j.urgency
}

// ownUrgency returns a job's urgency according to its own specification.
func ownUrgency(j *Job) urgency {
	u := urgency{priority: j.Spec.Priority}
	if j.Spec.Deadline != nil {
		u.dueBy = j.Accepted + wire.UnixMillis(j.Spec.Deadline.Duration().Milliseconds())
	}
	return u
}

// propagatedUrgency returns the urgency that a job passes on to its dependencies: they must be done early enough
// for the job to run before its own deadline, given its owner's estimate of the run time.
func propagatedUrgency(j *Job) urgency {
	u := j.urgency
	if u.dueBy != 0 {
		u.dueBy -= wire.UnixMillis((j.Spec.Estimate.Duration() + stageOverhead).Milliseconds())
	}
	return u
}

// MissingDependencies returns the dependencies of active jobs that are not in the ledger. Their final state must
// be read from the archive and passed to ResolveDependency.
func (l *Ledger) MissingDependencies() iter.Seq[wire.JobID] { return maps.Keys(l.dependencies.missing) }

// AncestorCancelledJobs returns the active jobs with a cancelled ancestor.
func (l *Ledger) AncestorCancelledJobs() iter.Seq[wire.JobID] {
	return maps.Keys(l.dependencies.ancestorCancelled)
}

// WaitingJobs returns the number of active jobs that wait for dependencies.
func (l *Ledger) WaitingJobs() int { return l.dependencies.waiting }

// ResolveDependency applies the final record of an archived job to the active jobs that depend on it.
func (l *Ledger) ResolveDependency(id wire.JobID, r FinalRecord) {
	if _, missing := l.dependencies.missing[id]; missing {
		l.finishDependency(id, r.State, 0)
	}
}

// dependencyState returns the state of a job in the ledger and, if recorded, when it ended. A job with a
// cancelled ancestor counts as cancelled. known is false if the job is not in the ledger.
func (l *Ledger) dependencyState(id wire.JobID) (state JobState, ended wire.UnixMillis, known bool) {
	if finished, ok := l.archived.finished[id]; ok {
		return finished.finalRecord().State, finished.ended, true
	}
	j := l.jobs[id]
	switch {
	case j == nil:
		return Active, 0, false
	case j.State == Active && j.AncestorCancelled:
		return Cancelled, 0, true
	}
	return j.State, j.Ended, true
}

// linkDependencies adds a job that became active to the index.
func (l *Ledger) linkDependencies(j *Job) {
	index := &l.dependencies
	delete(index.missing, j.ID)
	j.urgency = ownUrgency(j)
	for id := range index.dependents[j.ID] {
		if dependent := l.active[id]; dependent != nil && !dependent.AncestorCancelled {
			j.urgency = j.urgency.combine(propagatedUrgency(dependent))
		}
	}
	if len(j.Spec.Dependencies) == 0 {
		return
	}
	for _, id := range j.Spec.Dependencies {
		l.linkDependency(j, id)
	}
	if len(j.waitingFor) > 0 {
		index.waiting++
	}
	l.propagateUrgency(j)
}

// linkDependency adds one dependency of an active job to the index.
func (l *Ledger) linkDependency(j *Job, id wire.JobID) {
	index := &l.dependencies
	if index.dependents[id] == nil {
		index.dependents[id] = map[wire.JobID]struct{}{}
	}
	index.dependents[id][j.ID] = struct{}{}
	state, ended, known := l.dependencyState(id)
	switch state {
	case Done:
		j.readyAt = max(j.readyAt, ended)
		return
	case Cancelled:
		l.markAncestorCancelled(j)
	case Active:
		if !known {
			index.missing[id] = struct{}{}
		}
	}
	if j.waitingFor == nil {
		j.waitingFor = map[wire.JobID]struct{}{}
	}
	j.waitingFor[id] = struct{}{}
}

// unlinkDependencies removes a job that is no longer active from the index: it ended or was archived.
func (l *Ledger) unlinkDependencies(j *Job) {
	index := &l.dependencies
	delete(index.ancestorCancelled, j.ID)
	if len(j.waitingFor) > 0 {
		index.waiting--
		j.waitingFor = nil
	}
	for _, id := range j.Spec.Dependencies {
		dependents := index.dependents[id]
		if delete(dependents, j.ID); len(dependents) == 0 {
			delete(index.dependents, id)
			delete(index.missing, id)
		}
		l.recomputeUrgency(id, propagatedUrgency(j))
	}
}

// finishDependency applies the final state of a job to the active jobs that depend on it.
func (l *Ledger) finishDependency(id wire.JobID, state JobState, ended wire.UnixMillis) {
	delete(l.dependencies.missing, id)
	for dependentID := range l.dependencies.dependents[id] {
		dependent := l.active[dependentID]
		if dependent == nil {
			continue
		}
		if state == Cancelled {
			l.markAncestorCancelled(dependent)
			continue
		}
		if _, waits := dependent.waitingFor[id]; !waits {
			continue
		}
		dependent.readyAt = max(dependent.readyAt, ended)
		if delete(dependent.waitingFor, id); len(dependent.waitingFor) == 0 {
			l.dependencies.waiting--
			l.dependencies.newlyReady = append(l.dependencies.newlyReady, dependentID)
		}
	}
}

// DrainNewlyReady returns the jobs that became ready since the previous call because their last dependency became
// done.
func (l *Ledger) DrainNewlyReady() []wire.JobID {
	ready := l.dependencies.newlyReady
	l.dependencies.newlyReady = nil
	return ready
}

// markAncestorCancelled records that an active job, and with it all its direct and indirect dependents, has a
// cancelled ancestor.
func (l *Ledger) markAncestorCancelled(j *Job) {
	for queue := []*Job{j}; len(queue) > 0; {
		next := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if next.AncestorCancelled {
			continue
		}
		next.AncestorCancelled = true
		l.dependencies.ancestorCancelled[next.ID] = struct{}{}
		for id := range l.dependencies.dependents[next.ID] {
			if dependent := l.active[id]; dependent != nil {
				queue = append(queue, dependent)
			}
		}
		for _, id := range next.Spec.Dependencies {
			l.recomputeUrgency(id, propagatedUrgency(next))
		}
	}
}

// propagateUrgency passes a job's urgency on to all its direct and indirect dependencies that are active.
func (l *Ledger) propagateUrgency(j *Job) {
	for queue := []*Job{j}; len(queue) > 0; {
		next := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if next.AncestorCancelled {
			continue
		}
		for _, id := range next.Spec.Dependencies {
			dependency := l.active[id]
			if dependency == nil {
				continue
			}
			if raised := dependency.urgency.combine(propagatedUrgency(next)); raised != dependency.urgency {
				dependency.urgency = raised
				queue = append(queue, dependency)
			}
		}
	}
}

// recomputeUrgency recomputes the urgency of a job after one of its dependents is gone, and that of its own
// dependencies if it changed. propagated is the urgency that the dependent had passed on.
func (l *Ledger) recomputeUrgency(id wire.JobID, propagated urgency) {
	j := l.active[id]
	if j == nil {
		return
	}
	if propagated.priority.Rank() > j.urgency.priority.Rank() &&
		(propagated.dueBy == 0 || propagated.dueBy > j.urgency.dueBy) {
		return // it determined neither the priority nor the deadline
	}
	recomputed := ownUrgency(j)
	for dependentID := range l.dependencies.dependents[id] {
		if dependent := l.active[dependentID]; dependent != nil && !dependent.AncestorCancelled {
			recomputed = recomputed.combine(propagatedUrgency(dependent))
		}
	}
	if recomputed == j.urgency {
		return
	}
	propagated = propagatedUrgency(j)
	j.urgency = recomputed
	for _, dependency := range j.Spec.Dependencies {
		l.recomputeUrgency(dependency, propagated)
	}
}
