package ledger

import (
	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// FinalRecord is the record of an archived job. It is never changed or deleted.
type FinalRecord struct {
	State JobState `json:"s"`
	Done  int      `json:"n,omitempty"` // tasks done
}

// Status returns the status that the API reports for the job.
func (r FinalRecord) Status(id wire.JobID) wire.JobStatus {
	done, running := r.Done, 0
	st := wire.JobStatus{ID: id, Status: wire.Done, Done: &done, Running: &running}
	if r.State == Cancelled {
		st.Status = wire.Cancelled
	}
	return st
}

// archiveIndex is the part of a ledger about finished jobs, the archive, and terminated machines.
type archiveIndex struct {
	format        FormatRecord // zero if there is no record; see Format
	formatVersion wire.Revision
	importing     bool            // an import is not complete
	filter        *archive.Filter // the loaded pages
	terminated    *archive.TerminatedMachines
	headVersions  map[archive.Series]wire.Revision
	partVersions  map[archive.PartID]wire.Revision
	newlyArchived map[wire.JobID]FinalRecord // see DrainArchivedJobs
	// finished holds the finished jobs that are still on record, in a compact form that takes little
	// memory: all except those with several task ranges, with claims, or of workflows, which stay in
	// Ledger.jobs.
	finished map[wire.JobID]finishedJob
}

// finishedJob is the compact form of a finished job.
type finishedJob struct {
	version   wire.Revision // of its record
	done      int32         // tasks done
	cancelled bool
	gallery   wire.GalleryName
	ended     wire.UnixMillis // when it was done; 0 if that is not on record
}

// finalRecord returns the record that the archive keeps of the job.
func (j finishedJob) finalRecord() FinalRecord {
	if j.cancelled {
		return FinalRecord{State: Cancelled, Done: int(j.done)}
	}
	return FinalRecord{State: Done, Done: int(j.done)}
}

// newArchiveIndex returns an empty index.
func newArchiveIndex() archiveIndex {
	return archiveIndex{
		filter:        new(archive.Filter),
		terminated:    archive.NewTerminatedMachines(),
		headVersions:  map[archive.Series]wire.Revision{},
		partVersions:  map[archive.PartID]wire.Revision{},
		newlyArchived: map[wire.JobID]FinalRecord{},
		finished:      map[wire.JobID]finishedJob{},
	}
}

// DrainArchivedJobs calls f for every job whose archiving was observed since the last call.
func (l *Ledger) DrainArchivedJobs(f func(wire.JobID, FinalRecord)) {
	for id, r := range l.archived.newlyArchived {
		f(id, r)
	}
	clear(l.archived.newlyArchived)
}

// FinalRecordOf returns the final record that a finished job which is still on record will get in the
// archive; ok is false for any other job.
func (l *Ledger) FinalRecordOf(id wire.JobID) (r FinalRecord, ok bool) {
	if finished, ok := l.archived.finished[id]; ok {
		return finished.finalRecord(), true
	}
	if j := l.jobs[id]; j != nil && j.State != Active {
		return FinalRecord{j.State, j.DoneTasks()}, true
	}
	return r, false
}

// Archivable reports whether a job is on record, finished, and has no claims, so that none of its tasks
// runs. Jobs of a workflow or gallery that has not ended are not archivable, since its state is derived
// from them. Neither are jobs that active jobs depend on.
func (l *Ledger) Archivable(id wire.JobID) bool {
	if len(l.dependencies.dependents[id]) > 0 {
		return false
	}
	if finished, ok := l.archived.finished[id]; ok {
		return !l.galleryOpen(finished.gallery)
	}
	j := l.jobs[id]
	if j == nil || l.galleryOpen(j.Gallery) || j.State == Active || j.Claimed > 0 {
		return false
	}
	w := l.workflows[j.Workflow]
	return w == nil || w.Ended()
}

// EachArchivable calls f for every archivable job with the revision of its last change.
func (l *Ledger) EachArchivable(f func(wire.JobID, wire.Revision)) {
	for id, finished := range l.archived.finished {
		if l.Archivable(id) {
			f(id, finished.version)
		}
	}
	for id, j := range l.jobs {
		if l.active[id] == nil && l.Archivable(id) {
			f(id, j.version)
		}
	}
}

// EachJob calls f for every job on record.
func (l *Ledger) EachJob(f func(wire.JobID)) {
	for id := range l.jobs {
		f(id)
	}
	for id := range l.archived.finished {
		f(id)
	}
}

// addArchived records that a job was archived, and adds it to its filter page if that is loaded.
func (l *Ledger) addArchived(id wire.JobID, r FinalRecord) {
	l.archived.newlyArchived[id] = r
	l.archived.filter.Add(string(id))
}
