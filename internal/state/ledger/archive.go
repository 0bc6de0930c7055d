package ledger

import (
	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// FinalRecord is what is kept of a job for ever.
type FinalRecord struct {
	State JobState `json:"s"`
	Done  int      `json:"n,omitempty"` // tasks
}

// Status is what users are told.
func (r FinalRecord) Status(id wire.JobID) wire.JobStatus {
	done, running := r.Done, 0
	st := wire.JobStatus{ID: id, Status: wire.Done, Done: &done, Running: &running}
	if r.State == Cancelled {
		st.Status = wire.Cancelled
	}
	return st
}

// archiveIndex is what a ledger knows of what is over.
type archiveIndex struct {
	format        FormatRecord
	formatVersion wire.Revision
	importing     bool
	filter        *archive.Filter
	terminated    *archive.TerminatedMachines
	headVersions  map[archive.Series]wire.Revision
	partVersions  map[archive.PartID]wire.Revision
	newlyArchived map[wire.JobID]FinalRecord // archived since last asked
	// over holds the jobs that are over and still on record, in the short form in which they
	// weigh little: all but those of several ranges and of workflows, which stay whole.
	finished map[wire.JobID]finishedJob
}

type finishedJob struct {
	version   wire.Revision
	done      int32 // tasks
	cancelled bool
	gallery   wire.GalleryName
}

func (o finishedJob) final() FinalRecord {
	if o.cancelled {
		return FinalRecord{Cancelled, int(o.done)}
	}
	return FinalRecord{Done, int(o.done)}
}

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

// ArchivedJobs calls f for every job that went into the archive since the last call.
func (l *Ledger) ArchivedJobs(f func(wire.JobID, FinalRecord)) {
	for id, r := range l.archived.newlyArchived {
		f(id, r)
	}
	clear(l.archived.newlyArchived)
}

// ArchivedState returns what is to be kept of a job that is over and still on record; ok is false for
// any other.
func (l *Ledger) ArchivedState(id wire.JobID) (r FinalRecord, ok bool) {
	if o, ok := l.archived.finished[id]; ok {
		return o.final(), true
	}
	if j := l.jobs[id]; j != nil && j.State != Active {
		return FinalRecord{j.State, j.DoneTasks()}, true
	}
	return r, false
}

// Archivable reports whether a job is on record, over, and proven to run nowhere. Jobs of a
// workflow that is not over are not: they are what the workflow is known by.
func (l *Ledger) Archivable(id wire.JobID) bool {
	if o, ok := l.archived.finished[id]; ok {
		return !l.galleryOpen(o.gallery)
	}
	j := l.jobs[id]
	if j == nil || l.galleryOpen(j.Gallery) || j.State == Active || j.Claimed > 0 {
		return false
	}
	w := l.workflows[j.Workflow]
	return w == nil || w.Ended()
}

// EachFinished calls f for every job that may be moved into the archive, with the revision of its
// last change.
func (l *Ledger) EachFinished(f func(wire.JobID, wire.Revision)) {
	for id, o := range l.archived.finished {
		if l.galleryOpen(o.gallery) {
			continue
		}
		f(id, o.version)
	}
	for id, j := range l.jobs {
		if l.active[id] == nil && l.Archivable(id) {
			f(id, j.ranges[0].Version)
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

// noteArchived notes that a job went into the archive.
func (l *Ledger) noteArchived(id wire.JobID, r FinalRecord) {
	l.archived.newlyArchived[id] = r
	l.archived.filter.Add(string(id))
}
