package backup

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Source is what is needed of a state service to read it.
type Source interface {
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
	Watch(ctx context.Context, prefix string, after wire.Revision, wait time.Duration) (wire.Events, error)
}

// pageItems is how many keys a page has at the most.
const pageItems = 1000

// tries bounds how often a request is sent again that was refused or not answered.
const tries = 20

// again repeats f while the state service refuses or doesn't answer. f must only read.
func again[T any](ctx context.Context, f func() (T, error)) (T, error) {
	for n := 1; ; n++ {
		v, err := f()
		if err == nil || n == tries || !errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrUnknown) {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, ctx.Err()
		case <-time.After(time.Duration(n) * 100 * time.Millisecond):
		}
	}
}

// Pages calls base for every key with a prefix, page by page, and changed for every change
// that was made meanwhile, in order. Together they are the records at the revision that is
// returned: the last change of a key is what it then is, and without one what base told.
// Keys that only say who serves now are left out.
func Pages(
	ctx context.Context,
	s Source,
	prefix string,
	base func([]wire.Item) error,
	changed func([]wire.Event) error,
) (wire.Revision, error) {
	var at wire.Revision
	after := ""
	for first := true; ; first = false {
		page, err := again(ctx, func() (wire.ItemPage, error) { return s.List(ctx, prefix, after, pageItems) })
		if err != nil {
			return 0, err
		}
		if first {
			at = page.Revision
		}
		var items []wire.Item
		for _, it := range page.Items {
			after = it.Key
			if it.Lease == 0 && !ledger.Transient(it.Key) {
				items = append(items, it)
			}
		}
		if err := base(items); err != nil {
			return 0, err
		}
		// The history of changes is short, so what changes is read as it goes.
		ev, err := again(ctx, func() (wire.Events, error) { return s.Watch(ctx, prefix, at, 0) })
		if err != nil {
			return 0, err
		}
		at = max(at, ev.Revision)
		events := ev.Events[:0]
		for _, e := range ev.Events {
			if !ledger.Transient(e.Put + e.Delete) {
				events = append(events, e)
			}
		}
		if len(events) > 0 {
			if err := changed(events); err != nil {
				return 0, err
			}
		}
		if !page.More || len(page.Items) == 0 {
			return at, nil
		}
	}
}

// Export writes all records at one revision.
func Export(ctx context.Context, s Source, w io.Writer, now time.Time) (End, error) {
	out, err := newWriter(w)
	if err != nil {
		return End{}, err
	}
	at, err := Pages(ctx, s, ledger.AllPrefix, func(items []wire.Item) error {
		for part := range chunks(items, func(it wire.Item) int { return len(it.Key) + len(it.Value) }) {
			f := frame{}
			for _, it := range part {
				f.Base = append(f.Base, Record{it.Key, it.Value})
			}
			if err := out.write(f); err != nil {
				return err
			}
		}
		return nil
	}, func(events []wire.Event) error {
		for part := range chunks(events, func(e wire.Event) int { return len(e.Put) + len(e.Delete) + len(e.Value) }) {
			f := frame{}
			for _, e := range part {
				if e.Delete != "" {
					f.Changes = append(f.Changes, Record{Key: e.Delete})
				} else {
					f.Changes = append(f.Changes, Record{e.Put, e.Value})
				}
			}
			if err := out.write(f); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return End{}, err
	}
	return out.close(at, wire.UnixMillis(now.UnixMilli()))
}

// chunks cuts a list so that no part is of more than half a frame.
func chunks[T any](list []T, size func(T) int) func(yield func([]T) bool) {
	return func(yield func([]T) bool) {
		from, sum := 0, 0
		for i, v := range list {
			if n := size(v); sum+n > mostFrame/2 && i > from {
				if !yield(list[from:i]) {
					return
				}
				from, sum = i, 0
			}
			sum += size(v)
		}
		if from < len(list) {
			yield(list[from:])
		}
	}
}

// Report is what Verify found.
type Report struct {
	Revision wire.Revision
	Records  int
	Archived int
	Problems []ledger.Problem // the first of them
	More     int              // problems beyond those
}

// mostProblems bounds what a report lists.
const mostProblems = 1000

// Verify reads all records and checks their invariants at one revision. It only reads. What
// teams use is checked if limits name them.
func Verify(ctx context.Context, s Source, limits ledger.Limits) (Report, error) {
	var r Report
	records := map[string]ledger.Event{}
	documents := map[string]bool{}
	add := func(p ...ledger.Problem) {
		for _, one := range p {
			if len(r.Problems) < mostProblems {
				r.Problems = append(r.Problems, one)
			} else {
				r.More++
			}
		}
	}
	// The archive is too large to be kept here. Pages of the filter come before the jobs; what
	// they don't let pass is looked at once more with those at the end.
	var doubtful []string
	pages := map[string]*archive.Page{}
	var ordered []*archive.Page
	passed := func(id wire.JobID) bool {
		at := archive.Position(string(id))
		i, _ := slices.BinarySearchFunc(
			ordered,
			at,
			func(p *archive.Page, at uint32) int { return cmp.Compare(p.High, at) },
		)
		return i < len(ordered) && ordered[i].Covers(string(id)) && ordered[i].MayHold(string(id))
	}
	see := func(key string, value []byte, version wire.Revision) {
		switch id, archived := ledger.ArchivedJobID(key); {
		case archived && value == nil:
			add(ledger.Problem{Key: key, What: "a final state was deleted"})
		case archived:
			r.Archived++
			if err := ledger.CheckArchived(id, value); err != nil {
				add(ledger.Problem{Key: key, What: err.Error()})
			}
			if !passed(id) {
				doubtful = append(doubtful, key)
			}
		case strings.HasPrefix(key, ledger.FilterPrefix):
			p := new(archive.Page)
			if err := json.Unmarshal(value, p); err != nil {
				add(ledger.Problem{Key: key, What: err.Error()})
				return
			}
			pages[key] = p
			ordered = slices.SortedFunc(
				maps.Values(pages),
				func(a, b *archive.Page) int { return cmp.Compare(a.High, b.High) },
			)
		case strings.HasPrefix(key, ledger.DocumentPrefix):
			documents[key] = true
		case ledger.IsFinalKey(key): // a workflow's
			r.Archived++
		case value == nil:
			delete(records, key)
		default:
			records[key] = ledger.Event{Key: key, Value: value, Version: version}
		}
	}
	at, err := Pages(ctx, s, ledger.AllPrefix, func(items []wire.Item) error {
		r.Records += len(items)
		for _, it := range items {
			see(it.Key, it.Value, it.Version)
		}
		return nil
	}, func(events []wire.Event) error {
		for _, e := range events {
			see(e.Put+e.Delete, e.Value, e.Version)
		}
		return nil
	})
	if err != nil {
		return r, err
	}
	r.Revision = at
	l, problems := ledger.Verify(records, limits)
	add(problems...)
	low := uint32(0)
	for _, p := range ordered {
		if p.Low != low {
			add(
				ledger.Problem{
					Key:  ledger.FilterPrefix + p.Name(),
					What: fmt.Sprintf("begins at %x, and the page before it ends before %x", p.Low, low),
				},
			)
		}
		low = p.High + 1
	}
	for _, key := range doubtful {
		if id, _ := ledger.ArchivedJobID(key); !passed(id) {
			add(ledger.Problem{Key: key, What: "the filter doesn't let it pass: it would be unknown to users"})
		}
	}
	l.EachJob(func(id wire.JobID) {
		if err != nil || !passed(id) {
			return
		}
		var page wire.ItemPage
		key := ledger.FinalKey(id)
		page, err = again(ctx, func() (wire.ItemPage, error) { return s.List(ctx, key, "", 1) })
		if err == nil && len(page.Items) > 0 && page.Items[0].Key == key && page.Items[0].Version <= at {
			add(ledger.Problem{Key: key, What: "is both archived and on record"})
		}
	})
	l.EachWorkflow(func(w *ledger.Workflow) {
		for n := range w.Pieces {
			if !documents[ledger.DocumentKey(w.Hash, n)] {
				add(ledger.Problem{Key: ledger.DocumentKey(w.Hash, n), What: fmt.Sprintf("a document of %s is missing", w.ID)})
			}
		}
	})
	return r, err
}
