package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// Prefixes of what is kept of work that is over. Archived jobs and the filter that tells
// which there may be are not among the keys that controllers mirror; the sets of machines that
// are gone are.
const (
	ArchivePrefix = "mma1/"

	finalPrefix         = ArchivePrefix + "j/"
	finalWorkflowPrefix = ArchivePrefix + "w/"
	finalGalleryPrefix  = ArchivePrefix + "p/"
	filterPrefix        = ArchivePrefix + "f/"
	seriesHeadPrefix    = Prefix + "g/"
	seriesPartPrefix    = Prefix + "h/"
)

// ImportKey is there while records are imported: until they are complete nobody serves.
const ImportKey = Prefix + "import"

// FormatKey holds the format of the records.
const FormatKey = Prefix + "format"

// The formats of records that this version reads and writes. Format 1 has no archive.
const (
	OldestFormat  = 1
	ArchiveFormat = 2
	GalleryFormat = 3 // jobs may be tied to galleries
	NewestFormat  = GalleryFormat
)

// FormatRecord tells which format the records are of. It only ever rises, once every
// controller says that it reads the new one.
type FormatRecord struct {
	Format int             `json:"n"`
	At     wire.UnixMillis `json:"at"`
	// Fresh: no controller that doesn't read the format had ever served here, so none of its
	// transactions can land late.
	Fresh bool `json:"fresh,omitempty"`
	// Era tells the names of rentals made here from those made before the records were
	// imported: revisions start anew then, and the cloud remembers names for ever.
	Era string `json:"era,omitempty"`
}

// Errors of records that nobody of this version may serve from.
var (
	ErrNewerFormat = errors.New("ledger: records of a newer version")
	ErrImporting   = errors.New("ledger: records are being imported")
)

// ErrNoPage: a page of the filter must be read first.
var ErrNoPage = errors.New("ledger: a page of the filter is not known")

// FinalKey is where an archived job's final state is kept.
func FinalKey(id wire.JobID) string { return finalPrefix + string(id) }

// IsFinalKey reports whether a key is that of an archived job or workflow.
func IsFinalKey(key string) bool {
	return strings.HasPrefix(key, finalPrefix) || strings.HasPrefix(key, finalWorkflowPrefix) ||
		strings.HasPrefix(key, finalGalleryPrefix)
}

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

// FilterPrefix is where the pages of the filter are, and FilterKey the key after which the one
// comes that a position is on.
const FilterPrefix = filterPrefix

// FilterKey: see FilterPrefix; "" stands for the first.
func FilterKey(position uint32) string {
	if position == 0 {
		return ""
	}
	return filterPrefix + archive.PageName(position-1)
}

func pageKey(p *archive.Page) string { return filterPrefix + p.Name() }

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

// Format returns the format of the records and its version. Without a record it is 1.
func (l *Ledger) Format() (FormatRecord, wire.Revision) {
	r := l.archived.format
	r.Format = max(r.Format, OldestFormat)
	return r, l.archived.formatVersion
}

// MayBeArchived reports whether a job that the ledger doesn't hold may be in the archive:
// always if it is there at the ledger's revision, seldom otherwise. Whether that is known
// depends on the page of the filter that the job is on; see PutPage.
func (l *Ledger) MayBeArchived(id wire.JobID) (may, known bool) { return l.filterMayHold(string(id)) }

func (l *Ledger) filterMayHold(name string) (may, known bool) {
	if f, _ := l.Format(); f.Format < ArchiveFormat {
		return false, true // nothing is moved before the format says so
	}
	p, _ := l.archived.filter.Page(name)
	return p != nil && p.MayHold(name), p != nil
}

// FilterAdditions tells how much was archived as far as the ledger knows. It is to be asked before a
// page is read, and given to PutPage with it.
func (l *Ledger) FilterAdditions() uint64 { return l.archived.filter.Added() }

// PutFilterPage takes over a page of the filter as the state service has it. From then on the ledger
// keeps it up: it holds what the service's did and all that it sees leave the records. It must
// be the ledger that was asked for Added, as another may have missed some of that.
func (l *Ledger) PutFilterPage(p *archive.Page, version wire.Revision, since uint64) bool {
	return l.archived.filter.Put(p, uint64(version), since)
}

// DropFilterPage forgets the page of the filter that a name is on.
func (l *Ledger) DropFilterPage(name string) {
	if p, _ := l.archived.filter.Page(name); p != nil {
		l.archived.filter.Drop(p)
	}
}

// FilterPageKnown reports whether the page of the filter that a name is on is known here.
func (l *Ledger) FilterPageKnown(name string) bool {
	p, _ := l.archived.filter.Page(name)
	return p != nil
}

// FilterPage returns the page of the filter that a job is on, nil if it is not known here.
func (l *Ledger) FilterPage(id wire.JobID) *archive.Page {
	p, _ := l.archived.filter.Page(string(id))
	return p
}

// CountTerminated is how many machines are gone and have no mark of their own any more.
func (l *Ledger) CountTerminated() int { return l.archived.terminated.Count() }

// CountFilterPages is how many pages of the filter are known here.
func (l *Ledger) CountFilterPages() int { return l.archived.filter.Pages() }

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

// DoneTasks is how many of the job's tasks are done, also while its ranges go.
func (j *Job) DoneTasks() int { return max(j.Done, j.finalDone) }

// compactFinished puts a job into the short form if all that it can still be asked is how it ended.
func (l *Ledger) compactFinished(j *Job) {
	if j.State != Active && j.Claimed == 0 && j.Workflow == "" && j.Spec.Tasks <= j.tasksPerRange {
		l.archived.finished[j.ID] = finishedJob{j.ranges[0].Version, int32(j.DoneTasks()), j.State == Cancelled, j.Gallery}
		delete(l.jobs, j.ID)
	}
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

// applyArchive takes over a change of the summary; mine is false for other keys.
func (l *Ledger) applyArchive(e Event) (handled bool, err error) {
	p := &l.archived
	if rest, ok := strings.CutPrefix(e.Key, seriesHeadPrefix); ok {
		s, err := archive.ParseSeries(rest)
		if err != nil || e.Version < p.headVersions[s] || e.Value == nil {
			return true, err
		}
		var h archive.Head
		if err := json.Unmarshal(e.Value, &h); err != nil {
			return true, err
		}
		p.terminated.SetHead(s, h)
		p.headVersions[s] = e.Version
		return true, nil
	}
	if rest, ok := strings.CutPrefix(e.Key, seriesPartPrefix); ok {
		id, err := archive.ParsePartID(rest)
		if err != nil || e.Version < p.partVersions[id] {
			return true, err
		}
		var s archive.MachineNumbers
		if e.Value != nil {
			if err := json.Unmarshal(e.Value, &s); err != nil {
				return true, err
			}
		}
		p.terminated.SetPart(id, s)
		p.partVersions[id] = e.Version
		if e.Value == nil {
			delete(p.partVersions, id)
		}
		return true, nil
	}
	if e.Key == ImportKey {
		p.importing = e.Value != nil
		return true, nil
	}
	if e.Key == FormatKey {
		if e.Value == nil || e.Version <= p.formatVersion {
			return true, nil
		}
		p.formatVersion = e.Version
		return true, json.Unmarshal(e.Value, &p.format)
	}
	return false, nil
}

// noteArchived notes that a job went into the archive.
func (l *Ledger) noteArchived(id wire.JobID, r FinalRecord) {
	l.archived.newlyArchived[id] = r
	l.archived.filter.Add(string(id))
}

// dropJob takes a job out of the ledger that has gone into the archive.
func (l *Ledger) dropJob(j *Job) {
	l.unlinkGallery(j.ID, j.Gallery)
	if r, over := l.ArchivedState(j.ID); over {
		l.noteArchived(j.ID, r)
	}
	for n := range j.ranges {
		l.replaceRange(j, n, &TaskRange{})
	}
	delete(l.jobs, j.ID)
	delete(l.active, j.ID)
}

// mayArchive: the records' format has an archive.
func (txn *Transaction) archiveEnabled() bool {
	f, _ := txn.ledger.Format()
	return f.Format >= ArchiveFormat
}

func (txn *Transaction) remove(key string) { txn.put(key, deletion{}) }

// deletion stands for a key that a draft deletes.
type deletion struct{}

// Archive moves jobs that are over into the archive: as many of them, which all belong to
// one page of the filter, as the transaction takes. How many it took is told. Their records
// go and their final states come in one transaction, so at every revision exactly one of the
// two holds a job, and the filter holds every job that is archived.
func (txn *Transaction) Archive(ids []wire.JobID) (int, error) {
	if !txn.archiveEnabled() || len(ids) == 0 {
		return 0, ErrPreconditionFailed
	}
	most := 0
	for changes := 1; most < len(ids); most++ {
		changes += 1 + txn.ledger.countKeys(ids[most])
		if changes > txn.maxChanges {
			break
		}
	}
	for n := most; n > 0; n-- {
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

// countKeys is how many keys a job's records take.
func (l *Ledger) countKeys(id wire.JobID) int {
	if j := l.jobs[id]; j != nil {
		return len(j.ranges)
	}
	return 1
}

func (txn *Transaction) archiveJobs(ids []wire.JobID) error {
	page := txn.ledger.FilterPage(ids[0])
	if page == nil {
		return ErrNoPage
	}
	var names []string
	for _, id := range ids {
		r, over := txn.ledger.ArchivedState(id)
		if !over || !txn.ledger.Archivable(id) || !page.Covers(string(id)) {
			return ErrPreconditionFailed
		}
		if o, short := txn.ledger.archived.finished[id]; short {
			txn.conditions[jobKey(id)] = o.version
			txn.remove(jobKey(id))
		} else {
			j := txn.ledger.jobs[id]
			for n := range j.ranges {
				txn.requireRange(j, n)
				txn.remove(taskRangeKey(id, n))
			}
		}
		txn.conditions[FinalKey(id)] = 0
		txn.put(FinalKey(id), r)
		names = append(names, string(id))
	}
	return txn.addToFilter(names...)
}

// addToFilter has the filter let names pass that are all on one page.
func (txn *Transaction) addToFilter(names ...string) error {
	page, version := txn.ledger.archived.filter.Page(names[0])
	if page == nil {
		return ErrNoPage
	}
	pages, same := page.With(names, txn.ledger.limits.ValueBytes)
	txn.conditions[pageKey(page)] = wire.Revision(version)
	if same {
		return nil // only a page that is nearly full lets them all pass already
	}
	for _, p := range pages {
		if p.High != page.High { // the one that keeps the name takes its place
			txn.conditions[pageKey(p)] = 0
		}
		txn.put(pageKey(p), p)
	}
	txn.filterPages = pages
	return nil
}

// Committed tells the ledger that the transaction was committed at a revision: the pages of the
// filter that it wrote are known then.
func (txn *Transaction) Committed(at wire.Revision) {
	for _, p := range txn.filterPages {
		txn.ledger.archived.filter.Put(p, uint64(at), txn.filterAdditions)
	}
}

// DeleteTaskRanges takes ranges of a job that is over out of the records, as many as the transaction
// takes, if there are too many of them to go with the job in one. How many of its tasks are
// done is noted in the job's own record first.
func (txn *Transaction) DeleteTaskRanges(id wire.JobID) error {
	j := txn.ledger.jobs[id]
	if !txn.archiveEnabled() || j == nil || len(j.ranges) < 2 || !txn.ledger.Archivable(id) {
		return ErrPreconditionFailed
	}
	return txn.atomically(func() error {
		update := txn.update(j)
		update.finalDone = j.DoneTasks()
		txn.putRange(update, 0)
		for n := range j.ranges {
			if n > 0 && len(txn.values) < txn.maxChanges {
				txn.requireRange(j, n)
				txn.remove(taskRangeKey(j.ID, n))
			}
		}
		return nil
	})
}

// CompactTerminated takes the marks of machines that are gone out of the records and adds the machines
// to the set of those that are. All are of one part. A start on one of them that lands late
// fails, as its transaction is conditioned on the head of the machine's series, which is
// written here.
func (txn *Transaction) CompactTerminated(id archive.PartID, names []wire.MachineID) error {
	if !txn.archiveEnabled() || len(names) == 0 {
		return ErrPreconditionFailed
	}
	return txn.atomically(func() error {
		p := &txn.ledger.archived
		var texts []string
		for _, m := range names {
			if of, ok := archive.PartOfMachine(string(m)); !ok || of != id || txn.ledger.phases[m] != Terminated {
				return ErrPreconditionFailed
			}
			txn.conditions[machineKey(m)] = txn.ledger.phaseVersions[m]
			txn.remove(machineKey(m))
			texts = append(texts, string(m))
		}
		head, part := p.terminated.With(id, texts)
		headKey, partKey := seriesHeadPrefix+id.Series.String(), seriesPartPrefix+id.String()
		txn.conditions[headKey] = p.headVersions[id.Series]
		txn.conditions[partKey] = p.partVersions[id]
		txn.put(headKey, head)
		switch {
		case part.Len() > 0:
			txn.put(partKey, part)
		case p.partVersions[id] != 0:
			txn.remove(partKey)
		}
		return nil
	})
}

// requireMachine conditions the transaction on a machine not being marked, and not being gone.
func (txn *Transaction) requireMachine(m wire.MachineID) {
	txn.conditions[machineKey(m)] = 0 // no mark, ever
	txn.requireSeries(m)
}

func (txn *Transaction) requireSeries(m wire.MachineID) {
	if s, _, ok := archive.SplitName(string(m)); ok {
		txn.conditions[seriesHeadPrefix+s.String()] = txn.ledger.archived.headVersions[s]
	}
}

// UpgradeFormat makes the newest format that all controllers read the records' own.
func (txn *Transaction) UpgradeFormat(to int, at wire.UnixMillis) error {
	now, version := txn.ledger.Format()
	if to <= now.Format || to > NewestFormat {
		return ErrPreconditionFailed
	}
	return txn.atomically(func() error {
		txn.conditions[FormatKey] = version
		txn.conditions[TokenKey] = txn.ledger.tokenVersion
		r := FormatRecord{to, at, txn.ledger.token.Reads >= to, now.Era}
		if now.Format >= ArchiveFormat {
			// What lands late of a version before galleries is conditioned on the records that
			// it writes: nothing waits for it, and the archive's wait is not begun anew.
			r.At, r.Fresh = now.At, now.Fresh
		}
		txn.put(FormatKey, r)
		return nil
	})
}

// CheckFormat returns an error that wraps ErrFormat if this version doesn't read the records,
// or ErrImporting if they are not complete.
func (l *Ledger) CheckFormat() error {
	if l.archived.importing {
		return ErrImporting
	}
	if f, _ := l.Format(); f.Format > NewestFormat {
		return fmt.Errorf("%w: format %d, this one reads up to %d", ErrNewerFormat, f.Format, NewestFormat)
	}
	return nil
}
