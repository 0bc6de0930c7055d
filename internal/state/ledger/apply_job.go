package ledger

import (
	"cmp"
	"strconv"
	"strings"

	"maddermill/internal/exactjson"
	"maddermill/wire"
)

// applyJob applies a change to a job's record, which includes the job's first task range.
func (l *Ledger) applyJob(id wire.JobID, e Event) error {
	if l.applyFinishedJob(id, e) {
		return nil
	}
	j := l.jobs[id]
	if e.Value == nil {
		l.applyJobDeletion(id, j, e.Version)
		return nil
	}
	if j != nil && e.Version <= j.version {
		return nil
	}
	var r jobRecord
	if err := exactjson.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	if r.Spec == nil {
		return strconv.ErrSyntax
	}
	if j == nil {
		j = l.addJob(id, &r)
	}
	if r.State == Cancelled && j.State != Cancelled {
		l.lastCancel = max(l.lastCancel, e.Version)
		l.recentCancels.add(cancellation{revision: e.Version, job: id})
	}
	if j.Gallery != r.Gallery {
		l.linkGallery(j, r.Gallery)
	}
	j.State, j.Stop, j.finalDone, j.Ended = r.State, r.Stop, r.FinalDone, r.Ended
	l.updateGalleryCount(j)
	j.version = e.Version
	l.replaceStoredRange(j, 0, e.Version, &r.taskRangeRecord)
	l.applyJobState(j)
	if err := l.adoptOrphanRanges(j); err != nil {
		return err
	}
	l.compactFinished(j)
	return nil
}

// applyJobState updates the indexes of active jobs and of dependencies to a job's state.
func (l *Ledger) applyJobState(j *Job) {
	wasActive := l.active[j.ID] != nil
	switch {
	case j.State == Active && !wasActive:
		l.active[j.ID] = j
		l.linkDependencies(j)
	case j.State != Active:
		if wasActive {
			delete(l.active, j.ID)
			l.unlinkDependencies(j)
		}
		l.finishDependency(j.ID, j.State, j.Ended)
	}
}

// applyFinishedJob applies a change to a job that is kept in compact form. It returns false if the caller must
// still apply the change: the job is not in compact form, or a newer record restores its full form.
func (l *Ledger) applyFinishedJob(id wire.JobID, e Event) (handled bool) {
	finished, compact := l.archived.finished[id]
	if !compact {
		return false
	}
	if e.Version < finished.version || e.Version == finished.version && e.Value != nil {
		return true
	}
	delete(l.archived.finished, id)
	if e.Value != nil {
		return false
	}
	l.unlinkGallery(id, finished.gallery)
	l.addArchived(id, finished.finalRecord())
	return true
}

// applyJobDeletion applies the deletion of a job's record, which happens only when the job is archived. j is
// nil if the ledger doesn't have the job.
func (l *Ledger) applyJobDeletion(id wire.JobID, j *Job, at wire.Revision) {
	switch {
	case j == nil:
		l.archived.filter.Add(string(id)) // archived while the records were being loaded
	case at >= j.version:
		l.removeArchivedJob(j)
	}
}

// addJob adds a job that is not in the ledger yet.
func (l *Ledger) addJob(id wire.JobID, r *jobRecord) *Job {
	j := &Job{
		ID:          id,
		Spec:        r.Spec,
		Accepted:    r.Accepted,
		ranges:      map[int]*TaskRange{},
		storedRange: cmp.Or(r.Range, l.usualRange()),
		Need:        NewResources(r.Spec.CPUs, r.Spec.GPUs, r.Spec.MemoryGB),
		Workflow:    r.Workflow,
	}
	j.tasksPerRange = j.storedRange
	if !l.mayDivide(j) {
		j.long = l.isLongRange(j.Spec, j.storedRange)
	} else if l.rangeMayOverflow(j.Spec, j.storedRange) {
		l.divide(j)
	}
	l.linkGallery(j, r.Gallery)
	if w := l.workflows[r.Workflow]; w != nil && w.State == WorkflowCancelled {
		j.Cancelling = true
	}
	l.jobs[id] = j
	return j
}

// adoptOrphanRanges applies the task ranges that arrived before their job.
func (l *Ledger) adoptOrphanRanges(j *Job) error {
	if j.Spec.Tasks <= j.tasksPerRange || len(l.orphanRanges) == 0 {
		return nil
	}
	for key, o := range l.orphanRanges {
		update, parse, rest := l.updateRange, parseTaskRangeKey, strings.TrimPrefix(key, taskRangePrefix)
		if part, ok := strings.CutPrefix(key, partPrefix); ok {
			update, parse, rest = l.updatePart, parsePartKey, part
		}
		id, n, ok := parse(rest)
		if !ok || id != j.ID {
			continue
		}
		delete(l.orphanRanges, key)
		if err := update(j, n, o); err != nil {
			return err
		}
	}
	return nil
}

// applyTaskRange applies a change to a task range other than a job's first. It may arrive before the job.
func (l *Ledger) applyTaskRange(name string, e Event) error {
	id, n, ok := parseTaskRangeKey(name)
	if !ok {
		return strconv.ErrSyntax
	}
	if j := l.jobs[id]; j != nil {
		return l.updateRange(j, n, e)
	}
	l.bufferOrphanRange(e)
	return nil
}

// bufferOrphanRange keeps a change to a task range until its job arrives.
func (l *Ledger) bufferOrphanRange(e Event) {
	if e.Value == nil {
		delete(l.orphanRanges, e.Key)
	} else {
		l.orphanRanges[e.Key] = e
	}
}

// storedVersion returns the version of the record that holds the n-th stored range, 0 if there is none.
func (j *Job) storedVersion(n int) wire.Revision {
	switch r := j.ranges[n]; {
	case n == 0:
		return j.version
	case j.divided():
		return j.storedVersions[n]
	case r != nil:
		return r.Version
	}
	return 0
}

// updateRange applies a change to the n-th stored range of a job.
func (l *Ledger) updateRange(j *Job, n int, e Event) error {
	old := j.storedVersion(n)
	if e.Value == nil && old != 0 && e.Version >= old {
		l.removeStoredRange(j, n)
		return nil
	}
	if e.Value == nil || e.Version <= old {
		return nil
	}
	var r taskRangeRecord
	if err := exactjson.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	l.replaceStoredRange(j, n, e.Version, &r)
	return nil
}

// replaceRange replaces the n-th task range of a job and updates all indexes: the job's counts, its team's
// usage and the claims by machine.
func (l *Ledger) replaceRange(j *Job, n int, r *TaskRange) {
	team := j.Spec.Team
	if old := j.ranges[n]; old != nil {
		j.Done -= old.doneTasks
		j.Claimed -= old.claimedTasks
		l.teamUsage[team] = l.teamUsage[team].Add(j.Need, -old.claimedTasks)
		var last wire.MachineID
		for i := range old.Claims {
			if m := old.Claims[i].Machine; m != last {
				l.removeClaims(m, j, n)
				last = m
			}
		}
	}
	j.ranges[n] = r
	r.doneTasks, r.claimedTasks = r.countDone(), r.countClaimed()
	j.Done += r.doneTasks
	j.Claimed += r.claimedTasks
	l.teamUsage[team] = l.teamUsage[team].Add(j.Need, r.claimedTasks)
	for _, cl := range r.Claims {
		l.claimsByMachine[cl.Machine] = append(l.claimsByMachine[cl.Machine], HeldClaim{j, cl, n})
		l.changedMachines[cl.Machine] = struct{}{}
	}
}

// removeClaims removes the claims of a job's n-th task range from the index of a machine.
func (l *Ledger) removeClaims(m wire.MachineID, j *Job, n int) {
	l.changedMachines[m] = struct{}{}
	remaining := l.claimsByMachine[m][:0]
	for _, h := range l.claimsByMachine[m] {
		if h.Job != j || h.rangeIndex != n {
			remaining = append(remaining, h)
		}
	}
	if len(remaining) == 0 {
		delete(l.claimsByMachine, m)
		return
	}
	l.claimsByMachine[m] = remaining
}

// removeArchivedJob removes an archived job from the ledger.
func (l *Ledger) removeArchivedJob(j *Job) {
	l.unlinkGallery(j.ID, j.Gallery)
	if r, finished := l.FinalRecordOf(j.ID); finished {
		l.addArchived(j.ID, r)
	}
	for n := range j.ranges {
		l.replaceRange(j, n, &TaskRange{})
	}
	delete(l.jobs, j.ID)
	if l.active[j.ID] != nil {
		delete(l.active, j.ID)
		l.unlinkDependencies(j)
	}
}

// compactFinished replaces a job with its compact form if only its final state is still needed.
func (l *Ledger) compactFinished(j *Job) {
	if j.State != Active && j.Claimed == 0 && j.Workflow == "" && j.Spec.Tasks <= j.tasksPerRange {
		l.archived.finished[j.ID] = finishedJob{
			version:   j.version,
			done:      int32(j.DoneTasks()),
			cancelled: j.State == Cancelled,
			gallery:   j.Gallery,
			ended:     j.Ended,
		}
		delete(l.jobs, j.ID)
	}
}
