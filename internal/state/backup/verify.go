package backup

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Report is the result of Verify.
type Report struct {
	Revision        wire.Revision
	Records         int              // number of records on the pages, including archived ones
	Archived        int              // number of archived jobs and workflows
	Problems        []ledger.Problem // the first maxProblems
	OmittedProblems int              // number of problems beyond those
}

// maxProblems limits the problems listed in a report.
const maxProblems = 1000

// Verify reads all records at one revision and checks their invariants. It writes nothing. Resource usage
// is checked for the teams that have a limit in limits.
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
	v.recheckFilterMisses()
	err := v.checkNotArchived(ctx, s, records)
	v.checkDocuments(records)
	return v.report, err
}

// verifier is the state of one run of Verify. It holds the records but not the archive, which is too
// large for memory: archived jobs are checked as they are read.
type verifier struct {
	report    Report
	records   map[string]ledger.Event
	documents map[string]bool // keys of the pieces of workflow documents
	filter    filterPages

	// filterMisses are the keys of archived jobs that the filter did not contain when the jobs were
	// read. The filter pages are read before the jobs but may change meanwhile, so these jobs are
	// checked again at the end.
	filterMisses []string
}

// add adds problems to the report.
func (v *verifier) add(problems ...ledger.Problem) {
	for _, p := range problems {
		if len(v.report.Problems) < maxProblems {
			v.report.Problems = append(v.report.Problems, p)
		} else {
			v.report.OmittedProblems++
		}
	}
}

// readRecords reads all records and the archive at one revision.
func (v *verifier) readRecords(ctx context.Context, s Source) error {
	revision, err := ReadAll(ctx, s, ledger.AllPrefix, func(items []wire.Item) error {
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

// visit processes a key with its value, which is nil if the key was deleted.
func (v *verifier) visit(key string, value []byte, version wire.Revision) {
	id, archivedJob := ledger.ArchivedJobID(key)
	switch {
	case archivedJob:
		v.visitArchivedJob(id, key, value)
	case strings.HasPrefix(key, ledger.FilterPrefix):
		page := new(archive.Page)
		if err := exactjson.Unmarshal(value, page); err != nil {
			v.add(ledger.Problem{Key: key, What: err.Error()})
			return
		}
		v.filter.put(key, page)
	case strings.HasPrefix(key, ledger.DocumentPrefix):
		v.documents[key] = true
	case ledger.IsFinalKey(key): // an archived workflow
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
		v.add(ledger.Problem{Key: key, What: "final state of an archived job was deleted"})
		return
	}
	v.report.Archived++
	if err := ledger.CheckArchived(id, value); err != nil {
		v.add(ledger.Problem{Key: key, What: err.Error()})
	}
	if !v.filter.mayContain(id) {
		v.filterMisses = append(v.filterMisses, key)
	}
}

// checkFilterPages checks that the filter pages are contiguous and do not overlap.
func (v *verifier) checkFilterPages() {
	low := uint32(0)
	for _, page := range v.filter.ordered {
		if page.Low != low {
			v.add(ledger.Problem{
				Key:  ledger.FilterPrefix + page.Name(),
				What: fmt.Sprintf("page begins at %x, want %x after the preceding page", page.Low, low),
			})
		}
		low = page.High + 1
	}
}

// recheckFilterMisses checks the archived jobs in filterMisses against the final state of the filter.
func (v *verifier) recheckFilterMisses() {
	for _, key := range v.filterMisses {
		if id, _ := ledger.ArchivedJobID(key); !v.filter.mayContain(id) {
			v.add(ledger.Problem{Key: key, What: "archived job is missing in the filter: users could not look it up"})
		}
	}
}

// checkNotArchived checks that no job in the records is archived as well. It reads the archive only for
// jobs that the filter may contain.
func (v *verifier) checkNotArchived(ctx context.Context, s Source, records *ledger.Ledger) error {
	var err error
	records.EachJob(func(id wire.JobID) {
		if err != nil || !v.filter.mayContain(id) {
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

// checkDocuments checks that all pieces of the workflow documents exist.
func (v *verifier) checkDocuments(records *ledger.Ledger) {
	records.EachWorkflow(func(w *ledger.Workflow) {
		for n := range w.Pieces {
			if key := ledger.DocumentKey(w.Hash, n); !v.documents[key] {
				v.add(ledger.Problem{Key: key, What: fmt.Sprintf("document piece of workflow %s is missing", w.ID)})
			}
		}
	})
}

// filterPages holds all pages of the filter that were read.
type filterPages struct {
	byKey   map[string]*archive.Page
	ordered []*archive.Page // ordered by position
}

// put adds a page or replaces the page with the same key.
func (f *filterPages) put(key string, page *archive.Page) {
	f.byKey[key] = page
	f.ordered = slices.SortedFunc(
		maps.Values(f.byKey),
		func(a, b *archive.Page) int { return cmp.Compare(a.High, b.High) },
	)
}

// mayContain reports whether the filter may contain a job, which means that the job may be archived.
func (f *filterPages) mayContain(id wire.JobID) bool {
	i, _ := slices.BinarySearchFunc(
		f.ordered,
		archive.Position(string(id)),
		func(page *archive.Page, position uint32) int { return cmp.Compare(page.High, position) },
	)
	return i < len(f.ordered) && f.ordered[i].Covers(string(id)) && f.ordered[i].MayContain(string(id))
}
