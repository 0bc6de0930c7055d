package ledger

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"maddermill/wire"
)

// ArchiveJobs moves finished jobs to the archive, starting with the first, as many as fit into the transaction, and
// returns how many it moved. All jobs must belong to one page of the filter; it returns ErrFilterPageNotLoaded
// if that page is not loaded. Their records are deleted and their final records written in one transaction, so at every
// revision each job is either in the live records or in the archive, and the filter contains every archived
// job.
func (txn *Transaction) ArchiveJobs(ids []wire.JobID) (int, error) {
	if !txn.archiveEnabled() || len(ids) == 0 {
		return 0, newPreconditionError("archive jobs", strconv.Itoa(len(ids)))
	}
	maxJobs := 0
	for changes := 1; maxJobs < len(ids); maxJobs++ {
		changes += 1 + txn.ledger.countKeys(ids[maxJobs])
		if changes > txn.maxChanges {
			break
		}
	}
	for n := maxJobs; n > 0; n-- {
		err := txn.atomically(func() error { return txn.archiveJobs(ids[:n]) })
		if err == nil {
			return n, nil
		}
		if !errors.Is(err, ErrTransactionFull) && !errors.Is(err, ErrTooLarge) {
			return 0, err
		}
	}
	return 0, ErrTransactionFull
}

// countKeys returns the number of keys under which a job is stored.
func (l *Ledger) countKeys(id wire.JobID) int {
	if j := l.jobs[id]; j != nil {
		return 1 + len(j.recordVersions())
	}
	return 1
}

// archiveJobs moves all of the jobs to the archive, or none.
func (txn *Transaction) archiveJobs(ids []wire.JobID) error {
	page := txn.ledger.FilterPage(ids[0])
	if page == nil {
		return ErrFilterPageNotLoaded
	}
	var names []string
	for _, id := range ids {
		final, finished := txn.ledger.FinalRecordOf(id)
		if !finished || !txn.ledger.Archivable(id) || !page.Covers(string(id)) {
			return newPreconditionError("archive job", id)
		}
		if job, compact := txn.ledger.archived.finished[id]; compact {
			txn.conditions[jobKey(id)] = job.version
			txn.remove(jobKey(id))
		} else {
			j := txn.ledger.jobs[id]
			txn.requireJob(j)
			txn.remove(jobKey(id))
			versions := j.recordVersions()
			for _, key := range slices.Sorted(maps.Keys(versions)) {
				txn.conditions[key] = versions[key]
				txn.remove(key)
			}
		}
		txn.conditions[FinalKey(id)] = 0
		txn.put(FinalKey(id), final)
		names = append(names, string(id))
	}
	return txn.addToFilter(names...)
}

// DeleteTaskRanges deletes task ranges of a finished job that has too many for ArchiveJobs to delete in one
// transaction, as many as fit into this one. The job's own record keeps the number of completed tasks.
func (txn *Transaction) DeleteTaskRanges(id wire.JobID) error {
	j := txn.ledger.jobs[id]
	if !txn.archiveEnabled() || j == nil || len(j.recordVersions()) == 0 || !txn.ledger.Archivable(id) {
		return newPreconditionError("delete task ranges", id)
	}
	return txn.atomically(func() error {
		update := txn.update(j)
		update.finalDone = j.DoneTasks()
		txn.putJob(update)
		versions := j.recordVersions()
		for _, key := range slices.Sorted(maps.Keys(versions)) {
			if len(txn.values) < txn.maxChanges {
				txn.conditions[key] = versions[key]
				txn.remove(key)
			}
		}
		return nil
	})
}

// ArchiveWorkflow moves a workflow that has ended to the archive, with its record unchanged. The jobs of its
// steps are archived separately.
func (txn *Transaction) ArchiveWorkflow(id wire.WorkflowID) error {
	workflow := txn.ledger.workflows[id]
	if !txn.archiveEnabled() || workflow == nil || !workflow.Ended() {
		return newPreconditionError("archive workflow", id)
	}
	return txn.atomically(func() error {
		txn.conditions[workflowKey(id)] = workflow.Version
		txn.remove(workflowKey(id))
		txn.conditions[FinalWorkflowKey(id)] = 0
		txn.put(FinalWorkflowKey(id), workflow.WorkflowRecord)
		return txn.addToFilter(WorkflowFilterName(id))
	})
}

// ArchiveGallery moves a gallery to the archive, with its record unchanged. The gallery must have ended, and all
// of its jobs must have been archived.
func (txn *Transaction) ArchiveGallery(g *Gallery) error {
	if !g.Ended() || g.HasJobs() || !txn.archiveEnabled() {
		return newPreconditionError("archive gallery", g.Name)
	}
	return txn.atomically(func() error {
		txn.conditions[galleryKey(g.Name)] = g.Version
		txn.remove(galleryKey(g.Name))
		txn.conditions[FinalGalleryKey(g.Name)] = 0
		txn.put(FinalGalleryKey(g.Name), g.GalleryRecord)
		return nil
	})
}
