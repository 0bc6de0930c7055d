package archive

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"maddermill/internal/exactjson"
	"maddermill/internal/testing/unknownfield"
)

// roundTrip encodes a value to its stored form and decodes it, and checks that it fits into maxBytes.
func roundTrip[T any](tb testing.TB, v T, maxBytes int) T {
	tb.Helper()
	b, err := json.Marshal(v)
	if err != nil || len(b) > maxBytes {
		tb.Fatalf("got %d bytes, %v, want at most %d", len(b), err, maxBytes)
	}
	var decoded T
	if err := exactjson.Unmarshal(b, &decoded); err != nil {
		tb.Fatal(err)
	}
	return decoded
}

// TestPageIgnoresNamesInOtherCase guards against an unknown field of a stored page replacing its range or its bitmap.
func TestPageIgnoresNamesInOtherCase(t *testing.T) {
	pages, _ := EmptyPage().With([]string{"wk-000001", "wk-000002"}, 1<<10)
	stored, err := json.Marshal(pages[0])
	if err != nil {
		t.Fatal(err)
	}
	for kind, text := range unknownfield.Variants(string(stored)) {
		var page Page
		if err := exactjson.Unmarshal([]byte(text), &page); err != nil || !page.MayContain("wk-000002") {
			t.Errorf("%s: %s: error %v, or the page lost a job", kind, text, err)
		}
	}
}

// pageStore holds the pages of a filter by name, as the state service does.
type pageStore map[string]*Page

// page returns the page that covers an ID.
func (s pageStore) page(id string) *Page {
	best := EmptyPage()
	for name, p := range s {
		if name >= PageName(Position(id)) && name <= best.Name() {
			best = p
		}
	}
	return best
}

// fill adds IDs as the archiver does: in batches, each for a single page.
func (s pageStore) fill(tb testing.TB, ids []string, valueBytes int) {
	tb.Helper()
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(Position(a), Position(b)) })
	for len(ids) > 0 {
		p := s.page(ids[0])
		n := 0
		for n < min(len(ids), 300) && p.Covers(ids[n]) {
			n++
		}
		pages, _ := p.With(ids[:n], valueBytes)
		low := p.Low
		for _, q := range pages {
			if q.Low != low {
				tb.Fatalf("gap between pages from %x to %x", low, q.Low)
			}
			low = q.High + 1
			s[q.Name()] = roundTrip(tb, q, valueBytes)
		}
		if low != p.High+1 {
			tb.Fatalf("pages end at %x, want %x", low, p.High)
		}
		ids = ids[n:]
	}
}

// names returns n consecutive IDs.
func names(from, n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("wk-%09d", from+i))
	}
	return ids
}

// TestFilterPassesAdded checks that the filter matches every name that was added, that its pages fit into
// values, and that few other names match while the filter has not reached its maximum size.
func TestFilterPassesAdded(t *testing.T) {
	for _, tc := range []struct {
		valueBytes, ids   int
		maxFalsePositives float64 // as a fraction of IDs that were not added
	}{{4096, 100, 0.001}, {4096, 20_000, 0.001}, {32768, 60_000, 0.001}} {
		s := pageStore{}
		s.fill(t, names(0, tc.ids/2), tc.valueBytes)
		s.fill(t, names(tc.ids/2, tc.ids/2), tc.valueBytes)
		// A controller's copy, which it loads one page at a time.
		var f Filter
		contains := func(id string) bool {
			if p, _ := f.Page(id); p == nil && !f.Put(s.page(id), 1, f.Additions()) {
				t.Fatal("Put rejected a page")
			}
			p, _ := f.Page(id)
			return p.MayContain(id)
		}
		for _, id := range names(0, tc.ids) {
			if !contains(id) {
				t.Fatalf("no match for %s, one of %d added", id, tc.ids)
			}
		}
		n := 0
		for _, id := range names(800_000_000, 20_000) {
			if contains(id) {
				n++
			}
		}
		if got := float64(n) / 20_000; got > tc.maxFalsePositives {
			t.Errorf("%d IDs in values of %d bytes: false positive rate %.4f, want at most %.4f",
				tc.ids, tc.valueBytes, got, tc.maxFalsePositives)
		}
		if f.PageCount() != max(1, len(s)) {
			t.Errorf("%d pages cached, %d stored", f.PageCount(), len(s))
		}
	}
}

// TestFullFilter checks that pages that are too small to be split further stay within the size of a value
// and still match every name that was added, at the cost of false positives.
func TestFullFilter(t *testing.T) {
	const valueBytes = 4096
	minRange := uint32(lastPosition+1) / (maxFilterBytes / valueBytes)
	p := &Page{0, minRange - 1, 0, EmptyPage().bitmap}
	var ids []string
	for i := 0; len(ids) < 6000; i++ {
		if id := fmt.Sprintf("wk-%09d", i); p.Covers(id) {
			ids = append(ids, id)
		}
	}
	for len(ids) > 0 {
		n := min(len(ids), 300)
		pages, unchanged := p.With(ids[:n], valueBytes)
		if len(pages) != 1 || unchanged && p.Shift == 0 {
			t.Fatalf("%d pages, unchanged %v", len(pages), unchanged)
		}
		p = roundTrip(t, pages[0], valueBytes)
		for _, id := range ids[:n] {
			if !p.MayContain(id) {
				t.Fatalf("no match for %s, which was added", id)
			}
		}
		ids = ids[n:]
	}
	if p.Shift == 0 {
		t.Error("the Shift of the page was never raised")
	}
}

// TestAddedWhileRead checks that a page matches the IDs that were added while it was being read, and that
// Put rejects the page if the filter no longer retains all of these IDs.
func TestAddedWhileRead(t *testing.T) {
	var f Filter
	since := f.Additions()
	for _, id := range names(0, 50) {
		f.Add(id)
	}
	if !f.Put(EmptyPage(), 0, since) {
		t.Fatal("Put rejected the page")
	}
	for _, id := range names(0, 50) {
		if p, _ := f.Page(id); !p.MayContain(id) {
			t.Errorf("no match for %s, which was added during the read", id)
		}
	}
	since = f.Additions()
	for _, id := range names(100, 3*minRecentNames) {
		f.Add(id)
	}
	if f.Put(EmptyPage(), 1, since) {
		t.Error("Put accepted a page although names added since its read are no longer retained")
	}
	if p, _ := f.Page("wk-000000149"); p == nil || !p.MayContain("wk-000000149") {
		t.Error("the page cached before lacks a name added since")
	}
}
