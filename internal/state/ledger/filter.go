package ledger

import (
	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// MayBeArchived reports whether a job that is not on record may be archived. There are no false negatives
// at the ledger's revision, and few false positives. known is false while the job's filter page is not
// loaded; see PutFilterPage.
func (l *Ledger) MayBeArchived(id wire.JobID) (may, known bool) { return l.mayBeInFilter(string(id)) }

// WorkflowMayBeArchived is MayBeArchived for a workflow.
func (l *Ledger) WorkflowMayBeArchived(id wire.WorkflowID) (may, known bool) {
	return l.mayBeInFilter(WorkflowFilterName(id))
}

// WorkflowFilterName returns the name of a workflow in the filter, which can't collide with a job's.
func WorkflowFilterName(id wire.WorkflowID) string { return "workflow " + string(id) }

// mayBeInFilter implements MayBeArchived for a name in the filter.
func (l *Ledger) mayBeInFilter(name string) (may, known bool) {
	if f, _ := l.Format(); f.Format < ArchiveFormat {
		return false, true // nothing is archived in this format
	}
	p, _ := l.archived.filter.Page(name)
	return p != nil && p.MayContain(name), p != nil
}

// FilterAdditions returns how many names were added to the filter as the ledger saw them archived. Call it
// before reading a filter page from the store, and pass the result to PutFilterPage.
func (l *Ledger) FilterAdditions() uint64 { return l.archived.filter.Additions() }

// PutFilterPage loads a filter page that was read from the store, and reports whether it did. From then on
// the ledger adds the names that it sees archived. since is what FilterAdditions of the same ledger
// returned before the page was read: names that were archived meanwhile may be missing from the page.
func (l *Ledger) PutFilterPage(p *archive.Page, version wire.Revision, since uint64) bool {
	return l.archived.filter.Put(p, uint64(version), since)
}

// DropFilterPage unloads the filter page of a name, so that it is read again.
func (l *Ledger) DropFilterPage(name string) {
	if p, _ := l.archived.filter.Page(name); p != nil {
		l.archived.filter.DropOverlapping(p)
	}
}

// FilterPageKnown reports whether the filter page of a name is loaded.
func (l *Ledger) FilterPageKnown(name string) bool {
	p, _ := l.archived.filter.Page(name)
	return p != nil
}

// FilterPage returns the filter page of a job, or nil if it is not loaded.
func (l *Ledger) FilterPage(id wire.JobID) *archive.Page {
	p, _ := l.archived.filter.Page(string(id))
	return p
}

// CountFilterPages returns how many filter pages are loaded.
func (l *Ledger) CountFilterPages() int { return l.archived.filter.PageCount() }

// addToFilter adds names, which must all belong to one page, to the filter. A page that grows too large is
// split. It returns ErrFilterPageNotLoaded if the page is not loaded.
func (txn *Transaction) addToFilter(names ...string) error {
	page, version := txn.ledger.archived.filter.Page(names[0])
	if page == nil {
		return ErrFilterPageNotLoaded
	}
	pages, same := page.With(names, txn.ledger.limits.ValueBytes)
	txn.conditions[pageKey(page)] = wire.Revision(version)
	if same {
		return nil // all names are already positives (some false), as on a nearly full page
	}
	for _, p := range pages {
		if p.High != page.High { // the last page of a split keeps the key of the old page
			txn.conditions[pageKey(p)] = 0
		}
		txn.put(pageKey(p), p)
	}
	txn.filterPages = pages
	return nil
}

// Committed loads the filter pages that the transaction wrote into the ledger. Call it after the
// transaction was committed, with the revision of the commit.
func (txn *Transaction) Committed(at wire.Revision) {
	for _, p := range txn.filterPages {
		txn.ledger.archived.filter.Put(p, uint64(at), txn.filterAdditions)
	}
}
