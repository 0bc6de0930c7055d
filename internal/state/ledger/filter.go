package ledger

import (
	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// MayBeArchived reports whether a job that the ledger doesn't hold may be in the archive:
// always if it is there at the ledger's revision, seldom otherwise. Whether that is known
// depends on the page of the filter that the job is on; see PutPage.
func (l *Ledger) MayBeArchived(id wire.JobID) (may, known bool) { return l.filterMayHold(string(id)) }

// WorkflowMayBeArchived is MayBeArchived for a workflow.
func (l *Ledger) WorkflowMayBeArchived(id wire.WorkflowID) (may, known bool) {
	return l.filterMayHold(WorkflowFilterName(id))
}

// WorkflowFilterName is a workflow's name in the filter, which no job has.
func WorkflowFilterName(id wire.WorkflowID) string { return "workflow " + string(id) }

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

// CountFilterPages is how many pages of the filter are known here.
func (l *Ledger) CountFilterPages() int { return l.archived.filter.Pages() }

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
