package archive

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// stored puts a value through its stored form and checks that it fits.
func stored[T any](t testing.TB, v T, most int) T {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil || len(b) > most {
		t.Fatalf("%d bytes of at most %d, %v", len(b), most, err)
	}
	var out T
	if err := json.Unmarshal(b, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// shelf keeps a filter's pages as a state service does.
type shelf map[string]*Page

func (s shelf) page(id string) *Page {
	best := FirstPage()
	for name, p := range s {
		if name >= PageName(Position(id)) && name <= best.Name() {
			best = p
		}
	}
	return best
}

// fill adds ids as moves do: some of one page at a time.
func (s shelf) fill(t testing.TB, ids []string, valueBytes int) {
	t.Helper()
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
				t.Fatalf("pages leave out %x to %x", low, q.Low)
			}
			low = q.High + 1
			s[q.Name()] = stored(t, q, valueBytes)
		}
		if low != p.High+1 {
			t.Fatalf("pages end at %x, not %x", low, p.High)
		}
		ids = ids[n:]
	}
}

func names(from, n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("wk-%09d", from+i))
	}
	return ids
}

// TestFilterLacksNone: whatever is added is let pass, in pages that fit; of the others few are
// while there is room.
func TestFilterLacksNone(t *testing.T) {
	for _, tc := range []struct {
		valueBytes, ids int
		most            float64 // of unknown ids that are let pass
	}{{4096, 100, 0.001}, {4096, 20_000, 0.001}, {32768, 60_000, 0.001}} {
		s := shelf{}
		s.fill(t, names(0, tc.ids/2), tc.valueBytes)
		s.fill(t, names(tc.ids/2, tc.ids/2), tc.valueBytes)
		// What a reader knows of it, page by page.
		var f Filter
		holds := func(id string) bool {
			if p, _ := f.Page(id); p == nil && !f.Put(s.page(id), 1, f.Added()) {
				t.Fatal("a page is not taken")
			}
			p, _ := f.Page(id)
			return p.MayHold(id)
		}
		for _, id := range names(0, tc.ids) {
			if !holds(id) {
				t.Fatalf("%s of %d is not let pass", id, tc.ids)
			}
		}
		n := 0
		for _, id := range names(800_000_000, 20_000) {
			if holds(id) {
				n++
			}
		}
		if share := float64(n) / 20_000; share > tc.most {
			t.Errorf("%d ids in values of %d: %.4f of others are let pass", tc.ids, tc.valueBytes, share)
		}
		if f.Pages() != max(1, len(s)) {
			t.Errorf("%d pages known of %d", f.Pages(), len(s))
		}
	}
}

// TestFullFilter: pages that may not be split any more stay within their size, lack none, and
// let others pass.
func TestFullFilter(t *testing.T) {
	const valueBytes = 4096
	small := uint32(lastPosition+1) / (mostFilterBytes / valueBytes)
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
				t.Fatalf("%s is not let pass", id)
			}
		}
		mine = mine[n:]
	}
	if p.Shift == 0 {
		t.Error("the page never became coarse")
	}
}

// TestAddedWhileRead: ids are archived while a page is on its way here. A page that was read
// before and is taken over after them would not let them pass.
func TestAddedWhileRead(t *testing.T) {
	var f Filter
	since := f.Added()
	for _, id := range names(0, 50) {
		f.Add(id)
	}
	if !f.Put(FirstPage(), 0, since) {
		t.Fatal("the page is not taken")
	}
	for _, id := range names(0, 50) {
		if p, _ := f.Page(id); !p.MayHold(id) {
			t.Errorf("%s is not let pass", id)
		}
	}
	since = f.Added()
	for _, id := range names(100, 3*mostLate) {
		f.Add(id)
	}
	if f.Put(FirstPage(), 1, since) {
		t.Error("a page is taken although what was added since is forgotten")
	}
	if p, _ := f.Page("wk-000000149"); p == nil || !p.MayHold("wk-000000149") {
		t.Error("the page that was known lacks what was added")
	}
}

// TestGone compares the set of machines with a plain one, part by part and over the edge at
// which a part is gone as a whole.
func TestGone(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 9))
	g, plain := NewTerminatedMachines(), map[string]bool{}
	name := func() string {
		switch rng.IntN(3) {
		case 0:
			return fmt.Sprintf("host-%06d", rng.IntN(3*Span))
		case 1:
			return fmt.Sprintf("host-%d", rng.IntN(30))
		}
		return fmt.Sprintf("spot/a-%03d", rng.IntN(900))
	}
	add := func(names ...string) {
		part, ok := PartOfMachine(names[0])
		if !ok {
			t.Fatalf("%s is of no part", names[0])
		}
		if again, err := ParsePartID(part.String()); err != nil || again != part {
			t.Fatalf("%v, %v from %q", again, err, part)
		}
		h, s := g.With(part, names)
		g.SetHead(part.Series, stored(t, h, 2048))
		g.SetPart(part, stored(t, s, 2048))
		for _, n := range names {
			plain[n] = true
		}
	}
	for range 3000 {
		add(name())
	}
	whole := make([]string, 0, Span)
	for i := range Span {
		whole = append(whole, fmt.Sprintf("host-%06d", Span+i))
	}
	add(whole...)
	if part, _ := PartOfMachine(whole[0]); len(g.parts) == 0 || g.parts[part].Len() != 0 {
		t.Error("a part that is gone as a whole is still kept")
	}
	for range 20_000 {
		if n := name(); g.Has(n) != plain[n] {
			t.Fatalf("%s: %v, want %v", n, g.Has(n), plain[n])
		}
	}
	if g.Count() != len(plain) {
		t.Errorf("%d machines, want %d", g.Count(), len(plain))
	}
	for _, odd := range []string{"", "host", "host-", "host-1234567890"} {
		if _, ok := PartOfMachine(odd); ok || g.Has(odd) {
			t.Errorf("%q has a part", odd)
		}
	}
}

// FuzzRecords: no stored bytes do harm, and what is read is written alike.
func FuzzRecords(f *testing.F) {
	pages, _ := FirstPage().With(names(0, 3), 4096)
	p, _ := json.Marshal(pages[0])
	_, s := NewTerminatedMachines().With(PartID{Series{"host-", 6}, 0}, []string{"host-000007"})
	set, _ := json.Marshal(s)
	f.Add(p)
	f.Add(set)
	f.Add([]byte(`{"n":1,"w":"OjAAAAAAAAA="}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		var page Page
		if json.Unmarshal(in, &page) == nil && page.taken != nil {
			page.MayHold("wk-000001")
			stored(t, &page, 1<<30)
		}
		var h Head
		if json.Unmarshal(in, &h) == nil {
			h.Whole.Len()
		}
		var set MachineNumbers
		if json.Unmarshal(in, &set) == nil {
			set.Len()
		}
	})
}
