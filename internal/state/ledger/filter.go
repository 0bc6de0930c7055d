package ledger

import (
	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// MayBeArchived reports whether a job that is not on record may be archived. There are no false negatives
// at the ledger's revision, and few false positives. known is false while the page of the filter that
// the job is on is not known; see PutFilterPage.
func (l *Ledger) MayBeArchived(id wire.JobID) (may, known bool) { return l.filterMayHold(string(id)) }

// WorkflowMayBeArchived is MayBeArchived for a workflow.
func (l *Ledger) WorkflowMayBeArchived(id wire.WorkflowID) (may, known bool) {
	return l.filterMayHold(WorkflowFilterName(id))
}

// WorkflowFilterName returns the name of a workflow in the filter, which can't be that of a job.
func WorkflowFilterName(id wire.WorkflowID) string { return "workflow " + string(id) }

// filterMayHold is MayBeArchived for a name in the filter.
func (l *Ledger) filterMayHold(name string) (may, known bool) {
	if f, _ := l.Format(); f.Format < ArchiveFormat {
		return false, true // nothing is archived in this format
	}
	p, _ := l.archived.filter.Page(name)
	return p != nil && p.MayHold(name), p != nil
}

// FilterAdditions returns the number of names that the ledger has seen archived. Call it before a page of
// the filter is read from the store, and pass the result to PutFilterPage.
func (l *Ledger) FilterAdditions() uint64 { return l.archived.filter.Added() }

// PutFilterPage adds a page of the filter as read from the store, and reports whether it did. From then on
// the ledger adds the names that it sees archived. since is what FilterAdditions of the same ledger
// returned before the page was read: names that were archived meanwhile may be missing in the page.
func (l *Ledger) PutFilterPage(p *archive.Page, version wire.Revision, since uint64) bool {
	return l.archived.filter.Put(p, uint64(version), since)
}

// DropFilterPage removes the page of the filter that a name is on, so that it is read again.
func (l *Ledger) DropFilterPage(name string) {
	if p, _ := l.archived.filter.Page(name); p != nil {
		l.archived.filter.Drop(p)
	}
}

// FilterPageKnown reports whether the page of the filter that a name is on is known.
func (l *Ledger) FilterPageKnown(name string) bool {
	p, _ := l.archived.filter.Page(name)
	return p != nil
}

// FilterPage returns the page of the filter that a job is on, nil if it is not known.
func (l *Ledger) FilterPage(id wire.JobID) *archive.Page {
	p, _ := l.archived.filter.Page(string(id))
	return p
}

// CountFilterPages returns how many pages of the filter are known.
func (l *Ledger) CountFilterPages() int { return l.archived.filter.Pages() }

// addToFilter adds names, which are all on one page, to the filter. A page that grows too large is split.
// It returns ErrNoPage if the page is not known.
func (txn *Transaction) addToFilter(names ...string) error {
	page, version := txn.ledger.archived.filter.Page(names[0])
	if page == nil {
		return ErrNoPage
	}
	pages, same := page.With(names, txn.ledger.limits.ValueBytes)
	txn.conditions[pageKey(page)] = wire.Revision(version)
	if same {
		return nil // the names are false positives already, as may be on a page that is nearly full
	}
	for _, p := range pages {
		if p.High != page.High { // the last of the pages has the key of the one that was split
			txn.conditions[pageKey(p)] = 0
		}
		txn.put(pageKey(p), p)
	}
	txn.filterPages = pages
	return nil
}

// Committed adds the pages of the filter that the transaction wrote to the ledger. Call it when the
// transaction was committed, with its revision.
func (txn *Transaction) Committed(at wire.Revision) {
	for _, p := range txn.filterPages {
		txn.ledger.archived.filter.Put(p, uint64(at), txn.filterAdditions)
	}
}
