package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// archivedRecords returns the records that the given number of archived jobs and terminated machines
// leave behind: the format, the pages of the filter of archived names and the sets of terminated machines.
func archivedRecords(tb testing.TB, archived int, valueBytes int) (items []wire.Item) {
	tb.Helper()
	put := func(key string, v any) {
		b, err := json.Marshal(v)
		if err != nil || len(b) > valueBytes {
			tb.Fatalf("%s: got %d bytes, error %v; want <= %d bytes", key, len(b), err, valueBytes)
		}
		items = append(items, wire.Item{Key: key, Value: b, Version: 1})
	}
	put(ledger.FormatKey, ledger.FormatRecord{Format: ledger.ArchiveFormat, NoOlderWriters: true})
	if archived == 0 {
		return items
	}
	putFilter(put, archived, valueBytes)
	putTerminatedMachines(put, archived)
	return items
}

// putFilter puts the pages of the filter that contains the given number of archived jobs.
func putFilter(put func(key string, v any), archived, valueBytes int) {
	ids := make([]string, archived)
	for i := range ids {
		ids[i] = fmt.Sprintf("wk-%08d", i)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(archive.Position(a), archive.Position(b)) })
	pages := []*archive.Page{archive.EmptyPage()}
	for len(pages) > 0 { // add the jobs that the first page covers, which may split it
		page := pages[0]
		n := 0
		for n < min(len(ids), valueBytes/3) && page.Covers(ids[n]) {
			n++
		}
		if n == 0 {
			put(ledger.FilterPrefix+page.Name(), page)
			pages = pages[1:]
			continue
		}
		split, _ := page.With(ids[:n], valueBytes)
		pages, ids = append(split, pages[1:]...), ids[n:]
	}
}

// putTerminatedMachines puts the sets of terminated machines of a series of the given length. Some of the
// newer half are still running and therefore missing from the sets.
func putTerminatedMachines(put func(key string, v any), machines int) {
	terminated := archive.NewTerminatedMachines()
	for from := 0; from < machines; from += archive.PartSize {
		var names []string
		for i := from; i < min(machines, from+archive.PartSize); i++ {
			if i%997 != 0 || i < machines/2 {
				names = append(names, fmt.Sprintf("host-%07d", i))
			}
		}
		id, _ := archive.PartOfMachine(names[0])
		head, part := terminated.With(id, names)
		terminated.SetHead(id.Series, head)
		terminated.SetPart(id, part)
		if part.Len() > 0 {
			put(ledger.Prefix+"h/"+id.String(), part)
		}
	}
	id, _ := archive.PartOfMachine("host-0000000")
	put(ledger.Prefix+"g/"+id.Series.String(), terminated.Head(id.Series))
}

// activeRecordFormat is the format string of a job record. Its verbs take the job ID, the time of acceptance and
// the fields of the job's state.
const activeRecordFormat = `{"spec":{"id":"%s","workclass":"c","owner":"free","shape":"array","urgency":"normal",` +
	`"pieces":2,"cores":1,"accelerators":1,"ram_gb":8,"bundle":"img-1","pull_gb":4,"loaners":true,"expect_s":60},` +
	`"at":%d%s}`

// activeRecords returns the records of the given numbers of active jobs and of finished jobs that are not
// archived yet.
func activeRecords(active, finished int) (items []wire.Item) {
	for i := range active + finished {
		id := fmt.Sprintf("wk-9%08d", i)
		state := `,"a":3,"c":[[3,"host-9999999","a",1,1,0,1]]`
		if i >= active {
			state = `,"a":3,"d":"Aw==","state":"done"`
		}
		items = append(items, wire.Item{
			Key:     ledger.Prefix + "j/" + id,
			Version: 1,
			Value:   fmt.Appendf(nil, activeRecordFormat, id, i, state),
		})
	}
	return items
}

// staticStore is a state service with fixed items. It counts the requests that it serves.
type staticStore struct {
	kvstore.Store
	items       []wire.Item // sorted by key
	lists, gets int
	bytes       int // total size of the listed values
}

// newStaticStore returns a state service that holds items, which it sorts by key.
func newStaticStore(items []wire.Item) *staticStore {
	slices.SortFunc(items, func(a, b wire.Item) int { return strings.Compare(a.Key, b.Key) })
	return &staticStore{items: items}
}

// Revision implements kvstore.Store.
func (s *staticStore) Revision(context.Context) (wire.Revision, error) { return 1, nil }

// search returns the position of a key, or where it would be inserted.
func (s *staticStore) search(key string) (at int, found bool) {
	return slices.BinarySearchFunc(s.items, key, func(item wire.Item, key string) int {
		return strings.Compare(item.Key, key)
	})
}

// Get implements kvstore.Store.
func (s *staticStore) Get(_ context.Context, key string) (wire.Item, error) {
	s.gets++
	at, found := s.search(key)
	if !found {
		return wire.Item{}, kvstore.ErrNotFound
	}
	return s.items[at], nil
}

// List implements kvstore.Store. A page has at most limit items and, as the protocol specifies, 512 KiB; the
// protocol's limit of 1,000 items is left to the caller.
func (s *staticStore) List(_ context.Context, prefix, after string, limit int) (wire.ItemPage, error) {
	s.lists++
	at, found := s.search(max(prefix, after))
	if found && after != "" {
		at++
	}
	page := wire.ItemPage{Revision: 1}
	size := 0
	for ; at < len(s.items) && strings.HasPrefix(s.items[at].Key, prefix); at++ {
		if size += len(s.items[at].Value) + 100; len(page.Items) == limit || size > 512<<10 {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[at])
	}
	s.bytes += size
	return page, nil
}

// slowStaticStore is a staticStore that takes 300 ms to list a page and returns at most 50 items per page.
type slowStaticStore struct{ *staticStore }

// List implements kvstore.Store.
func (s slowStaticStore) List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error) {
	time.Sleep(300 * time.Millisecond)
	return s.staticStore.List(ctx, prefix, after, min(limit, 50))
}
