package backup

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Report is what Verify found.
type Report struct {
	Revision wire.Revision
	Records  int
	Archived int
	Problems []ledger.Problem // the first maxProblems
	More     int              // problems beyond those
}

// maxProblems bounds what a report lists.
const maxProblems = 1000

// Verify reads all records and checks their invariants at one revision. It only reads. What teams
// use is checked for the teams that limits name.
func Verify(ctx context.Context, s Source, limits ledger.Limits) (Report, error) {
	v := &verifier{
		records:   map[string]ledger.Event{},
		documents: map[string]bool{},
		filter:    filterPages{byKey: map[string]*archive.Page{}},
	}
	if err := v.readRecords(ctx, s); err != nil {
		return v.report, err
	}
	records, problems := ledger.Verify(v.records, limits)
	v.add(problems...)
	v.checkFilterPages()
	v.checkNotPassed()
	err := v.checkNotArchived(ctx, s, records)
	v.checkDocuments(records)
	return v.report, err
}

// verifier is the state of one run of Verify. It holds the records but not the archive, which is
// too large: archived jobs are checked as they are read.
type verifier struct {
	report    Report
	records   map[string]ledger.Event
	documents map[string]bool // keys of workflows' documents
	filter    filterPages

	// notPassed are the keys of archived jobs that the filter did not let pass when they were
	// read. Its pages come before the jobs but may change meanwhile, so these are checked
	// again at the end.
	notPassed []string
}

// add adds problems to the report.
func (v *verifier) add(problems ...ledger.Problem) {
	for _, p := range problems {
		if len(v.report.Problems) < maxProblems {
			v.report.Problems = append(v.report.Problems, p)
		} else {
			v.report.More++
		}
	}
}

// readRecords reads everything at one revision.
func (v *verifier) readRecords(ctx context.Context, s Source) error {
	revision, err := Pages(ctx, s, ledger.AllPrefix, func(items []wire.Item) error {
		v.report.Records += len(items)
		for _, item := range items {
			v.visit(item.Key, item.Value, item.Version)
		}
		return nil
	}, func(events []wire.Event) error {
		for _, e := range events {
			v.visit(e.Put+e.Delete, e.Value, e.Version)
		}
		return nil
	})
	if err == nil {
		v.report.Revision = revision
	}
	return err
}

// visit takes one key with its value; nil means that the key was deleted.
func (v *verifier) visit(key string, value []byte, version wire.Revision) {
	id, archivedJob := ledger.ArchivedJobID(key)
	switch {
	case archivedJob:
		v.visitArchivedJob(id, key, value)
	case strings.HasPrefix(key, ledger.FilterPrefix):
		page := new(archive.Page)
		if err := json.Unmarshal(value, page); err != nil {
			v.add(ledger.Problem{Key: key, What: err.Error()})
			return
		}
		v.filter.put(key, page)
	case strings.HasPrefix(key, ledger.DocumentPrefix):
		v.documents[key] = true
	case ledger.IsFinalKey(key): // a workflow's
		v.report.Archived++
	case value == nil:
		delete(v.records, key)
	default:
		v.records[key] = ledger.Event{Key: key, Value: value, Version: version}
	}
}

// visitArchivedJob checks the final state of an archived job.
func (v *verifier) visitArchivedJob(id wire.JobID, key string, value []byte) {
	if value == nil {
		v.add(ledger.Problem{Key: key, What: "a final state was deleted"})
		return
	}
	v.report.Archived++
	if err := ledger.CheckArchived(id, value); err != nil {
		v.add(ledger.Problem{Key: key, What: err.Error()})
	}
	if !v.filter.passes(id) {
		v.notPassed = append(v.notPassed, key)
	}
}

// checkFilterPages checks that the pages of the filter leave no gap and don't overlap.
func (v *verifier) checkFilterPages() {
	low := uint32(0)
	for _, page := range v.filter.ordered {
		if page.Low != low {
			v.add(ledger.Problem{
				Key:  ledger.FilterPrefix + page.Name(),
				What: fmt.Sprintf("begins at %x, and the page before it ends before %x", page.Low, low),
			})
		}
		low = page.High + 1
	}
}

// checkNotPassed checks that the filter, now that it is read, lets all archived jobs pass.
func (v *verifier) checkNotPassed() {
	for _, key := range v.notPassed {
		if id, _ := ledger.ArchivedJobID(key); !v.filter.passes(id) {
			v.add(ledger.Problem{Key: key, What: "the filter doesn't let it pass: it would be unknown to users"})
		}
	}
}

// checkNotArchived checks that no job on record is archived as well, of those that the filter lets
// pass.
func (v *verifier) checkNotArchived(ctx context.Context, s Source, records *ledger.Ledger) error {
	var err error
	records.EachJob(func(id wire.JobID) {
		if err != nil || !v.filter.passes(id) {
			return
		}
		var page wire.ItemPage
		key := ledger.FinalKey(id)
		page, err = retry(ctx, func() (wire.ItemPage, error) { return s.List(ctx, key, "", 1) })
		if err != nil || len(page.Items) == 0 {
			return
		}
		if first := page.Items[0]; first.Key == key && first.Version <= v.report.Revision {
			v.add(ledger.Problem{Key: key, What: "is both archived and on record"})
		}
	})
	return err
}

// checkDocuments checks that all pieces of the workflows' documents are there.
func (v *verifier) checkDocuments(records *ledger.Ledger) {
	records.EachWorkflow(func(w *ledger.Workflow) {
		for n := range w.Pieces {
			if key := ledger.DocumentKey(w.Hash, n); !v.documents[key] {
				v.add(ledger.Problem{Key: key, What: fmt.Sprintf("a document of %s is missing", w.ID)})
			}
		}
	})
}

// filterPages are all pages of the filter as they were read.
type filterPages struct {
	byKey   map[string]*archive.Page
	ordered []*archive.Page // by position
}

// put adds a page, or replaces the one with its key.
func (f *filterPages) put(key string, page *archive.Page) {
	f.byKey[key] = page
	f.ordered = slices.SortedFunc(
		maps.Values(f.byKey),
		func(a, b *archive.Page) int { return cmp.Compare(a.High, b.High) },
	)
}

// passes reports whether the filter lets a job pass: it may be archived.
func (f *filterPages) passes(id wire.JobID) bool {
	i, _ := slices.BinarySearchFunc(
		f.ordered,
		archive.Position(string(id)),
		func(page *archive.Page, position uint32) int { return cmp.Compare(page.High, position) },
	)
	return i < len(f.ordered) && f.ordered[i].Covers(string(id)) && f.ordered[i].MayHold(string(id))
}
