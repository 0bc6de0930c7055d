package ledger

import (
	"iter"
	"maps"
	"slices"
	"time"

	"maddermill/wire"
)

// Dependencies of jobs. A job that names others waits until all of them are done on record, and is
// cancelled with any of them. What follows from the records is kept here for each active job, and changed
// only with the jobs concerned: a job that ends touches those that name it, no others. Done and cancelled
// are final, so that a job that is ready stays ready and one whose ancestor is cancelled stays cancelled
// (DESIGN, "Dependencies").

// stageOverhead is how long it takes from the end of a job to the start of one that waits for it: a
// heartbeat that tells the end, its record, and the next heartbeat of a machine with room.
const stageOverhead = 10 * time.Second

// dependencyIndex is what a ledger knows of dependencies.
type dependencyIndex struct {
	// dependents has the active jobs that name a job, by the job named.
	dependents map[wire.JobID]map[wire.JobID]struct{}
	// missing has the jobs that are named and not on record: they arrive later or are archived.
	missing map[wire.JobID]struct{}
	// undone has the active jobs of which an ancestor is cancelled. Their own records are to follow.
	undone map[wire.JobID]struct{}
	// waiting is how many active jobs wait for others.
	waiting int
	// released has the jobs whose last dependency was done, see DrainReleased.
	released []wire.JobID
}

// newDependencyIndex returns an empty index.
func newDependencyIndex() dependencyIndex {
	return dependencyIndex{
		dependents: map[wire.JobID]map[wire.JobID]struct{}{},
		missing:    map[wire.JobID]struct{}{},
		undone:     map[wire.JobID]struct{}{},
	}
}

// urgency is how urgent a job is by its own description and by those of the jobs that need it.
type urgency struct {
	priority wire.Priority   // the highest
	dueBy    wire.UnixMillis // when its last task should end at the latest; 0: no date
}

// moreUrgent returns the more urgent of each part.
func (u urgency) moreUrgent(o urgency) urgency {
	if o.priority.Rank() < u.priority.Rank() {
		u.priority = o.priority
	}
	if u.dueBy == 0 || o.dueBy != 0 && o.dueBy < u.dueBy {
		u.dueBy = o.dueBy
	}
	return u
}

// Ready reports whether all dependencies of the job are done on record. No task of it may be claimed before.
func (j *Job) Ready() bool { return len(j.waitingFor) == 0 && !j.AncestorCancelled }

// WaitingFor returns the jobs that the job still waits for, in the order of their names.
func (j *Job) WaitingFor() []wire.JobID { return slices.Sorted(maps.Keys(j.waitingFor)) }

// EligibleSince returns when the job could first start: when it was accepted, or when the last job that it
// names was done.
func (j *Job) EligibleSince() wire.UnixMillis { return max(j.Accepted, j.readyAt) }

// Priority returns the highest priority of the job and of those that need it.
func (j *Job) Priority() wire.Priority { return j.currentUrgency().priority }

// DueBy returns when the job should be done for its own deadline and for those of the jobs that need it,
// after which these still have to run; the zero time if none of them has one.
func (j *Job) DueBy() time.Time {
	due := j.currentUrgency().dueBy
	if due == 0 {
		return time.Time{}
	}
	return due.Time()
}

// currentUrgency is the job's urgency with that of the jobs that need it; its own if it is not active.
func (j *Job) currentUrgency() urgency {
	if j.urgency == (urgency{}) {
		return ownUrgency(j)
	}
	return j.urgency
}

// ownUrgency is a job's urgency by its own description.
func ownUrgency(j *Job) urgency {
	u := urgency{priority: j.Spec.Priority}
	if j.Spec.Deadline != nil {
		u.dueBy = j.Accepted + wire.UnixMillis(j.Spec.Deadline.Duration().Milliseconds())
	}
	return u
}

// passedOn is the urgency that a job passes on to those that it needs: they must be done early enough for it
// to run, by its owner's estimate.
func passedOn(j *Job) urgency {
	u := j.urgency
	if u.dueBy != 0 {
		u.dueBy -= wire.UnixMillis((j.Spec.Estimate.Duration() + stageOverhead).Milliseconds())
	}
	return u
}

// MissingDependencies returns the jobs that active jobs name and that are not on record: the archive tells
// how they ended (ResolveDependency).
func (l *Ledger) MissingDependencies() iter.Seq[wire.JobID] { return maps.Keys(l.dependencies.missing) }

// AncestorCancelledJobs returns the active jobs of which an ancestor is cancelled.
func (l *Ledger) AncestorCancelledJobs() iter.Seq[wire.JobID] {
	return maps.Keys(l.dependencies.undone)
}

// WaitingJobs returns how many active jobs wait for others.
func (l *Ledger) WaitingJobs() int { return l.dependencies.waiting }

// ResolveDependency notes how a job ended that active jobs name and that is archived.
func (l *Ledger) ResolveDependency(id wire.JobID, r FinalRecord) {
	if _, missing := l.dependencies.missing[id]; missing {
		l.finishDependency(id, r.State, 0)
	}
}

// dependencyState returns how a job ended that is on record, and when if it is known; Active if it has not.
func (l *Ledger) dependencyState(id wire.JobID) (state JobState, ended wire.UnixMillis, onRecord bool) {
	if finished, ok := l.archived.finished[id]; ok {
		return finished.final().State, finished.ended, true
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

// linkDependencies adds an active job that was not in the index.
func (l *Ledger) linkDependencies(j *Job) {
	index := &l.dependencies
	delete(index.missing, j.ID)
	j.urgency = ownUrgency(j)
	for id := range index.dependents[j.ID] {
		if dependent := l.active[id]; dependent != nil && !dependent.AncestorCancelled {
			j.urgency = j.urgency.moreUrgent(passedOn(dependent))
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
	l.raiseUrgency(j)
}

// linkDependency adds one of the jobs that an active job names.
func (l *Ledger) linkDependency(j *Job, id wire.JobID) {
	index := &l.dependencies
	if index.dependents[id] == nil {
		index.dependents[id] = map[wire.JobID]struct{}{}
	}
	index.dependents[id][j.ID] = struct{}{}
	state, ended, onRecord := l.dependencyState(id)
	switch state {
	case Done:
		j.readyAt = max(j.readyAt, ended)
		return
	case Cancelled:
		l.cancelWithAncestor(j)
	case Active:
		if !onRecord {
			index.missing[id] = struct{}{}
		}
	}
	if j.waitingFor == nil {
		j.waitingFor = map[wire.JobID]struct{}{}
	}
	j.waitingFor[id] = struct{}{}
}

// unlinkDependencies removes a job that is no longer active: it ended or left the records.
func (l *Ledger) unlinkDependencies(j *Job) {
	index := &l.dependencies
	delete(index.undone, j.ID)
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
		l.lowerUrgency(id, passedOn(j))
	}
}

// finishDependency notes for the jobs that name a job how it ended.
func (l *Ledger) finishDependency(id wire.JobID, state JobState, ended wire.UnixMillis) {
	delete(l.dependencies.missing, id)
	for dependentID := range l.dependencies.dependents[id] {
		dependent := l.active[dependentID]
		if dependent == nil {
			continue
		}
		if state == Cancelled {
			l.cancelWithAncestor(dependent)
			continue
		}
		if _, waits := dependent.waitingFor[id]; !waits {
			continue
		}
		dependent.readyAt = max(dependent.readyAt, ended)
		if delete(dependent.waitingFor, id); len(dependent.waitingFor) == 0 {
			l.dependencies.waiting--
			l.dependencies.released = append(l.dependencies.released, dependentID)
		}
	}
}

// DrainReleased returns the jobs that became ready since the last call because the last of their dependencies
// was done.
func (l *Ledger) DrainReleased() []wire.JobID {
	released := l.dependencies.released
	l.dependencies.released = nil
	return released
}

// cancelWithAncestor notes that an ancestor of an active job is cancelled, also for all jobs that need it.
func (l *Ledger) cancelWithAncestor(j *Job) {
	for queue := []*Job{j}; len(queue) > 0; {
		next := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if next.AncestorCancelled {
			continue
		}
		next.AncestorCancelled = true
		l.dependencies.undone[next.ID] = struct{}{}
		for id := range l.dependencies.dependents[next.ID] {
			if dependent := l.active[id]; dependent != nil {
				queue = append(queue, dependent)
			}
		}
		for _, id := range next.Spec.Dependencies {
			l.lowerUrgency(id, passedOn(next))
		}
	}
}

// raiseUrgency passes a job's urgency on to all active jobs that it needs, directly or through others.
func (l *Ledger) raiseUrgency(j *Job) {
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
			if raised := dependency.urgency.moreUrgent(passedOn(next)); raised != dependency.urgency {
				dependency.urgency = raised
				queue = append(queue, dependency)
			}
		}
	}
}

// lowerUrgency computes the urgency of a job anew after one that needed it is gone, which had passed this
// much on, and that of the jobs which the job needs itself.
func (l *Ledger) lowerUrgency(id wire.JobID, passed urgency) {
	j := l.active[id]
	if j == nil {
		return
	}
	if passed.priority.Rank() > j.urgency.priority.Rank() && (passed.dueBy == 0 || passed.dueBy > j.urgency.dueBy) {
		return // it decided neither part
	}
	lower := ownUrgency(j)
	for dependentID := range l.dependencies.dependents[id] {
		if dependent := l.active[dependentID]; dependent != nil && !dependent.AncestorCancelled {
			lower = lower.moreUrgent(passedOn(dependent))
		}
	}
	if lower == j.urgency {
		return
	}
	passed = passedOn(j)
	j.urgency = lower
	for _, dependency := range j.Spec.Dependencies {
		l.lowerUrgency(dependency, passed)
	}
}
