package archive

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
)

// stored encodes and decodes a value as it is stored, and checks that it fits.
func stored[T any](tb testing.TB, v T, maxBytes int) T {
	tb.Helper()
	b, err := json.Marshal(v)
	if err != nil || len(b) > maxBytes {
		tb.Fatalf("got %d bytes, %v, want at most %d", len(b), err, maxBytes)
	}
	var decoded T
	if err := json.Unmarshal(b, &decoded); err != nil {
		tb.Fatal(err)
	}
	return decoded
}

// pageStore holds the pages of a filter by name, as the state service does.
type pageStore map[string]*Page

// page returns the page that an id belongs to.
func (s pageStore) page(id string) *Page {
	best := FirstPage()
	for name, p := range s {
		if name >= PageName(Position(id)) && name <= best.Name() {
			best = p
		}
	}
	return best
}

// fill adds ids as the archiver does: some of one page at a time.
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
				tb.Fatalf("pages leave out %x to %x", low, q.Low)
			}
			low = q.High + 1
			s[q.Name()] = stored(tb, q, valueBytes)
		}
		if low != p.High+1 {
			tb.Fatalf("pages end at %x, not %x", low, p.High)
		}
		ids = ids[n:]
	}
}

// names returns n ids in sequence.
func names(from, n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("wk-%09d", from+i))
	}
	return ids
}

// TestFilterPassesAdded: whatever was added passes, in pages that fit; of the others few pass while
// there is room.
func TestFilterPassesAdded(t *testing.T) {
	for _, tc := range []struct {
		valueBytes, ids int
		maxShare        float64 // of unknown ids that pass
	}{{4096, 100, 0.001}, {4096, 20_000, 0.001}, {32768, 60_000, 0.001}} {
		s := pageStore{}
		s.fill(t, names(0, tc.ids/2), tc.valueBytes)
		s.fill(t, names(tc.ids/2, tc.ids/2), tc.valueBytes)
		// What a controller knows of it, page by page.
		var f Filter
		holds := func(id string) bool {
			if p, _ := f.Page(id); p == nil && !f.Put(s.page(id), 1, f.Added()) {
				t.Fatal("a page is refused")
			}
			p, _ := f.Page(id)
			return p.MayHold(id)
		}
		for _, id := range names(0, tc.ids) {
			if !holds(id) {
				t.Fatalf("%s of %d does not pass", id, tc.ids)
			}
		}
		n := 0
		for _, id := range names(800_000_000, 20_000) {
			if holds(id) {
				n++
			}
		}
		if share := float64(n) / 20_000; share > tc.maxShare {
			t.Errorf("%d ids in values of %d: %.4f of others pass, want at most %.4f", tc.ids, tc.valueBytes, share, tc.maxShare)
		}
		if f.Pages() != max(1, len(s)) {
			t.Errorf("%d pages known of %d", f.Pages(), len(s))
		}
	}
}

// TestFullFilter: pages that may not be split any more stay within their size, let all that was added
// pass, and others too.
func TestFullFilter(t *testing.T) {
	const valueBytes = 4096
	small := uint32(lastPosition+1) / (maxFilterBytes / valueBytes)
	p := &Page{0, small - 1, 0, FirstPage().taken}
	var mine []string
	for i := 0; len(mine) < 6000; i++ {
		if id := fmt.Sprintf("wk-%09d", i); p.Covers(id) {
			mine = append(mine, id)
		}
	}
	for len(mine) > 0 {
		n := min(len(mine), 300)
		pages, same := p.With(mine[:n], valueBytes)
		if len(pages) != 1 || same && p.Shift == 0 {
			t.Fatalf("%d pages, unchanged %v", len(pages), same)
		}
		p = stored(t, pages[0], valueBytes)
		for _, id := range mine[:n] {
			if !p.MayHold(id) {
				t.Fatalf("%s does not pass", id)
			}
		}
		mine = mine[n:]
	}
	if p.Shift == 0 {
		t.Error("the page never became coarse")
	}
}

// TestAddedWhileRead: ids that are added while a page is being read pass once the page is put, and a
// page is refused when it is no longer known which ids these are.
func TestAddedWhileRead(t *testing.T) {
	var f Filter
	since := f.Added()
	for _, id := range names(0, 50) {
		f.Add(id)
	}
	if !f.Put(FirstPage(), 0, since) {
		t.Fatal("the page is refused")
	}
	for _, id := range names(0, 50) {
		if p, _ := f.Page(id); !p.MayHold(id) {
			t.Errorf("%s does not pass", id)
		}
	}
	since = f.Added()
	for _, id := range names(100, 3*maxRecent) {
		f.Add(id)
	}
	if f.Put(FirstPage(), 1, since) {
		t.Error("a page is put although what was added since is forgotten")
	}
	if p, _ := f.Page("wk-000000149"); p == nil || !p.MayHold("wk-000000149") {
		t.Error("the page that was known lacks what was added")
	}
}
