package ledger

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"maddermill/wire"
)

// Archive moves finished jobs into the archive: as many of them, from the first, as the transaction
// has room for; it returns how many. All must belong to one page of the filter, which must be known
// (ErrNoPage otherwise). Their records are deleted and their final records written in one
// transaction, so at every revision exactly one of the two has a job, and the filter contains
// every archived job.
func (txn *Transaction) Archive(ids []wire.JobID) (int, error) {
	if !txn.archiveEnabled() || len(ids) == 0 {
		return 0, refuse("archive jobs", strconv.Itoa(len(ids)))
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

// countKeys returns how many keys a job's records take.
func (l *Ledger) countKeys(id wire.JobID) int {
	if j := l.jobs[id]; j != nil {
		return 1 + len(j.recordVersions())
	}
	return 1
}

// archiveJobs moves exactly these jobs.
func (txn *Transaction) archiveJobs(ids []wire.JobID) error {
	page := txn.ledger.FilterPage(ids[0])
	if page == nil {
		return ErrNoPage
	}
	var names []string
	for _, id := range ids {
		final, over := txn.ledger.ArchivedState(id)
		if !over || !txn.ledger.Archivable(id) || !page.Covers(string(id)) {
			return refuse("archive job", id)
		}
		if finished, short := txn.ledger.archived.finished[id]; short {
			txn.conditions[jobKey(id)] = finished.version
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

// DeleteTaskRanges deletes ranges of a finished job that has too many for Archive to delete in one
// transaction: as many as this one has room for. The number of its done tasks is kept in the job's
// own record.
func (txn *Transaction) DeleteTaskRanges(id wire.JobID) error {
	j := txn.ledger.jobs[id]
	if !txn.archiveEnabled() || j == nil || len(j.recordVersions()) == 0 || !txn.ledger.Archivable(id) {
		return refuse("delete task ranges", id)
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

// ArchiveWorkflow moves a workflow that has ended into the archive, its record unchanged. The jobs of
// its steps are archived by themselves.
func (txn *Transaction) ArchiveWorkflow(id wire.WorkflowID) error {
	workflow := txn.ledger.workflows[id]
	if !txn.archiveEnabled() || workflow == nil || !workflow.Ended() {
		return refuse("archive workflow", id)
	}
	return txn.atomically(func() error {
		txn.conditions[workflowKey(id)] = workflow.Version
		txn.remove(workflowKey(id))
		txn.conditions[FinalWorkflowKey(id)] = 0
		txn.put(FinalWorkflowKey(id), workflow.WorkflowRecord)
		return txn.addToFilter(WorkflowFilterName(id))
	})
}

// ArchiveGallery moves a gallery that has ended, and none of whose jobs is on record, into the
// archive, its record unchanged.
func (txn *Transaction) ArchiveGallery(g *Gallery) error {
	if !g.Ended() || g.HasJobs() || !txn.archiveEnabled() {
		return refuse("archive gallery", g.Name)
	}
	return txn.atomically(func() error {
		txn.conditions[galleryKey(g.Name)] = g.Version
		txn.remove(galleryKey(g.Name))
		txn.conditions[FinalGalleryKey(g.Name)] = 0
		txn.put(FinalGalleryKey(g.Name), g.GalleryRecord)
		return nil
	})
}
