// Package archive holds the pure parts of what is kept of work that is over: a filter that
// tells which ids may be among the archived ones, and the set of machines that are gone.
// Both are sets that only grow, kept in pages that fit the state service's values, so that
// controllers read a bounded part of them as they need it, and not the past itself
// (docs/history.md).
package archive

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/cespare/xxhash/v2"
)

// positionBits is how many leading bits of an id's hash the filter tells apart.
const positionBits = 30

// Position is where an id is in the filter.
func Position(id string) uint32 { return uint32(xxhash.Sum64String(id) >> (64 - positionBits)) }

// lastPosition is the greatest position.
const lastPosition = 1<<positionBits - 1

// mostFilterBytes bounds the pages of a filter together, as they are stored.
const mostFilterBytes = 4 << 20

// Page is a part of a filter: which positions from Low to High are taken, in steps of
// 2^Shift. The pages of a filter lie side by side and leave nothing out; one that has grown
// too large is split in the middle. Its name is its High, so the page that a position is on
// is the first whose name is not below it.
type Page struct {
	Low, High uint32
	Shift     int
	taken     *roaring.Bitmap
}

// PageName spells the position in the order of the pages' names.
func PageName(position uint32) string { return fmt.Sprintf("%08x", position) }

// Name is the page's name.
func (p *Page) Name() string { return PageName(p.High) }

// FirstPage is the whole filter as long as nothing is archived.
func FirstPage() *Page { return &Page{High: lastPosition, taken: roaring.New()} }

type pageRecord struct {
	Low   uint32 `json:"l,omitempty"`
	High  uint32 `json:"h"`
	Shift int    `json:"s,omitempty"`
	Taken []byte `json:"b"`
}

// MarshalJSON writes the page with its positions as a serialized bitmap.
func (p *Page) MarshalJSON() ([]byte, error) {
	b, err := p.taken.ToBytes()
	if err != nil {
		return nil, err
	}
	return json.Marshal(pageRecord{p.Low, p.High, p.Shift, b})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (p *Page) UnmarshalJSON(b []byte) error {
	var r pageRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return err
	}
	if n := r.High - r.Low + 1; r.Low > r.High || r.High > lastPosition || n&(n-1) != 0 || r.Low%n != 0 || r.Shift < 0 ||
		r.Shift > positionBits {
		return fmt.Errorf("archive: page from %x to %x in steps of 2^%d", r.Low, r.High, r.Shift)
	}
	taken, err := readBitmap(r.Taken)
	*p = Page{r.Low, r.High, r.Shift, taken}
	return err
}

// readBitmap reads a bitmap that must take up all of b.
func readBitmap(b []byte) (*roaring.Bitmap, error) {
	m := roaring.New()
	n, err := m.ReadFrom(bytes.NewReader(b))
	if err == nil && n != int64(len(b)) {
		err = fmt.Errorf("archive: %d bytes after a bitmap", int64(len(b))-n)
	}
	if err == nil {
		err = m.Validate()
	}
	return m, err
}

// Covers reports whether an id belongs to the page.
func (p *Page) Covers(id string) bool {
	at := Position(id)
	return p.Low <= at && at <= p.High
}

// MayHold reports whether an id that belongs to the page may be archived: always if it is,
// seldom otherwise.
func (p *Page) MayHold(id string) bool { return p.taken.Contains(Position(id) >> p.Shift) }

// storedBytes is what the page takes as a value at the most.
func (p *Page) storedBytes() int { return int(p.taken.GetSerializedSizeInBytes()+2)/3*4 + 56 }

func (p *Page) clone() *Page { return &Page{p.Low, p.High, p.Shift, p.taken.Clone()} }

func (p *Page) add(ids ...string) {
	for _, id := range ids {
		p.taken.Add(Position(id) >> p.Shift)
	}
}

// With returns the pages that replace this one when ids that belong to it are added, each
// within valueBytes: the page itself, or those that it is split into. Where there are as many
// as there may be, a page is kept in coarser steps instead, which lets more ids pass that it
// does not hold. same tells that all the ids were let pass already and nothing is to change.
func (p *Page) With(ids []string, valueBytes int) (pages []*Page, same bool) {
	q := p.clone()
	q.add(ids...)
	return fit(nil, q, valueBytes), q.taken.GetCardinality() == p.taken.GetCardinality()
}

func fit(out []*Page, p *Page, valueBytes int) []*Page {
	p.taken.RunOptimize()
	if p.storedBytes() <= valueBytes {
		return append(out, p)
	}
	size := p.High - p.Low + 1
	if size == 1 || int(size) <= (lastPosition+1)/max(1, mostFilterBytes/valueBytes) {
		coarse := &Page{p.Low, p.High, p.Shift + 1, roaring.New()}
		for it := p.taken.Iterator(); it.HasNext(); {
			coarse.taken.Add(it.Next() >> 1)
		}
		return fit(out, coarse, valueBytes)
	}
	// Only pages that may not be split are coarse, so these positions are exact.
	low, high := &Page{p.Low, p.Low + size/2 - 1, 0, roaring.New()}, &Page{p.Low + size/2, p.High, 0, roaring.New()}
	for it := p.taken.Iterator(); it.HasNext(); {
		at := it.Next()
		if at <= low.High {
			low.taken.Add(at)
		} else {
			high.taken.Add(at)
		}
	}
	return fit(fit(out, low, valueBytes), high, valueBytes)
}

// Filter is what is known here of a filter: some of its pages, and all that was added since
// they were read. It isn't safe for concurrent use.
type Filter struct {
	pages []known // in order
	added uint64  // ids, ever
	late  []string
}

type known struct {
	*Page
	version uint64 // of the page as it was read or written
}

// mostLate is how many of the ids that were added last are remembered for pages that are
// still being read.
const mostLate = 1024

func (f *Filter) find(id string) (int, bool) {
	at := Position(id)
	i, _ := slices.BinarySearchFunc(f.pages, at, func(k known, at uint32) int { return cmp.Compare(k.High, at) })
	return i, i < len(f.pages) && f.pages[i].Low <= at
}

// Page returns the page that an id belongs to with its version, or nil if it is not known
// here. It must not be changed.
func (f *Filter) Page(id string) (*Page, uint64) {
	if i, ok := f.find(id); ok {
		return f.pages[i].Page, f.pages[i].version
	}
	return nil, 0
}

// Pages is how many pages are known.
func (f *Filter) Pages() int { return len(f.pages) }

// Add notes that an id is archived.
func (f *Filter) Add(id string) {
	f.added++
	f.late = append(f.late, id)
	if len(f.late) > 2*mostLate {
		f.late = slices.Clone(f.late[len(f.late)-mostLate:])
	}
	if i, ok := f.find(id); ok {
		f.pages[i].add(id)
	}
}

// Added is how many ids were added so far. It is to be asked before a page is read.
func (f *Filter) Added() uint64 { return f.added }

// Put takes over a page as it was read or written, in place of those that it overlaps. What
// was added since, the number that Added gave before, may be missing in it and is added
// again; if that is no longer known the page is not taken.
func (f *Filter) Put(p *Page, version, since uint64) bool {
	if f.added-since > uint64(len(f.late)) {
		return false
	}
	f.Drop(p)
	p = p.clone()
	for _, id := range f.late[len(f.late)-int(f.added-since):] {
		if p.Covers(id) {
			p.add(id)
		}
	}
	i, _ := slices.BinarySearchFunc(f.pages, p.High, func(k known, at uint32) int { return cmp.Compare(k.High, at) })
	f.pages = slices.Insert(f.pages, i, known{p, version})
	return true
}

// Drop forgets the pages that overlap one.
func (f *Filter) Drop(p *Page) {
	f.pages = slices.DeleteFunc(f.pages, func(k known) bool { return k.Low <= p.High && p.Low <= k.High })
}
