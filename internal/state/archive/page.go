package archive

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/cespare/xxhash/v2"
)

// positionBits is how many leading bits of a name's hash are its position.
const positionBits = 30

// Position returns the position of a name in the filter.
func Position(name string) uint32 { return uint32(xxhash.Sum64String(name) >> (64 - positionBits)) }

const (
	// lastPosition is the greatest position.
	lastPosition = 1<<positionBits - 1
	// maxFilterBytes bounds the stored size of all pages of a filter together.
	maxFilterBytes = 4 << 20
)

// Page is a part of a filter: the positions from Low to High that are taken, in steps of 2^Shift.
// The pages of a filter are adjacent and cover all positions; one that has grown too large is split
// in the middle. Its name is made of High, so the page with a position is the first one whose name
// is not less than the position's.
type Page struct {
	Low, High uint32
	Shift     int
	taken     *roaring.Bitmap
}

// PageName formats a position so that names are in the order of positions.
func PageName(position uint32) string { return fmt.Sprintf("%08x", position) }

// Name returns the page's name.
func (p *Page) Name() string { return PageName(p.High) }

// FirstPage returns the only page of a filter to which nothing was added.
func FirstPage() *Page { return &Page{High: lastPosition, taken: roaring.New()} }

// pageRecord is the stored form of a page.
type pageRecord struct {
	Low   uint32 `json:"l,omitempty"`
	High  uint32 `json:"h"`
	Shift int    `json:"s,omitempty"`
	Taken []byte `json:"b"`
}

// MarshalJSON encodes the page with its positions as a serialized bitmap.
func (p *Page) MarshalJSON() ([]byte, error) {
	taken, err := p.taken.ToBytes()
	if err != nil {
		return nil, err
	}
	return json.Marshal(pageRecord{p.Low, p.High, p.Shift, taken})
}

// UnmarshalJSON decodes what MarshalJSON encoded.
func (p *Page) UnmarshalJSON(b []byte) error {
	var r pageRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return err
	}
	if !r.valid() {
		return fmt.Errorf("archive: page from %x to %x in steps of 2^%d", r.Low, r.High, r.Shift)
	}
	taken, err := readBitmap(r.Taken)
	*p = Page{r.Low, r.High, r.Shift, taken}
	return err
}

// valid reports whether the page is one that results from splitting the whole filter in halves.
func (r *pageRecord) valid() bool {
	if r.Low > r.High || r.High > lastPosition || r.Shift < 0 || r.Shift > positionBits {
		return false
	}
	size := r.High - r.Low + 1
	powerOfTwo := size&(size-1) == 0
	return powerOfTwo && r.Low%size == 0
}

// readBitmap decodes a bitmap that must take up all of b.
func readBitmap(b []byte) (*roaring.Bitmap, error) {
	bitmap := roaring.New()
	n, err := bitmap.ReadFrom(bytes.NewReader(b))
	if err == nil && n != int64(len(b)) {
		err = fmt.Errorf("archive: %d bytes after a bitmap", int64(len(b))-n)
	}
	if err == nil {
		err = bitmap.Validate()
	}
	return bitmap, err
}

// Covers reports whether a name belongs to the page.
func (p *Page) Covers(name string) bool {
	position := Position(name)
	return p.Low <= position && position <= p.High
}

// MayHold reports whether a name that belongs to the page may be archived: always true if it is,
// seldom otherwise.
func (p *Page) MayHold(name string) bool { return p.taken.Contains(Position(name) >> p.Shift) }

// storedBytes returns an upper bound of the page's size as a value: base64 and the other fields.
func (p *Page) storedBytes() int { return int(p.taken.GetSerializedSizeInBytes()+2)/3*4 + 56 }

func (p *Page) clone() *Page { return &Page{p.Low, p.High, p.Shift, p.taken.Clone()} }

func (p *Page) add(names ...string) {
	for _, name := range names {
		p.taken.Add(Position(name) >> p.Shift)
	}
}

// With returns the pages that replace this one when names that belong to it are added, each within
// valueBytes: one page, or those that it is split into. When the filter has as many pages as it
// may, the page gets coarser steps instead and lets more names pass that were not added. same
// reports that all the names passed already, so that nothing is to be written.
func (p *Page) With(names []string, valueBytes int) (pages []*Page, same bool) {
	changed := p.clone()
	changed.add(names...)
	same = changed.taken.GetCardinality() == p.taken.GetCardinality()
	return appendFitting(nil, changed, valueBytes), same
}

// appendFitting appends a page to pages, split or made coarser until it fits into valueBytes. It
// changes p.
func appendFitting(pages []*Page, p *Page, valueBytes int) []*Page {
	p.taken.RunOptimize()
	if p.storedBytes() <= valueBytes {
		return append(pages, p)
	}
	size := p.High - p.Low + 1
	if size == 1 || int(size) <= (lastPosition+1)/max(1, maxFilterBytes/valueBytes) {
		return appendFitting(pages, p.coarser(), valueBytes)
	}
	low, high := p.split()
	return appendFitting(appendFitting(pages, low, valueBytes), high, valueBytes)
}

// coarser returns the page in steps of twice the size.
func (p *Page) coarser() *Page {
	coarse := &Page{p.Low, p.High, p.Shift + 1, roaring.New()}
	for it := p.taken.Iterator(); it.HasNext(); {
		coarse.taken.Add(it.Next() >> 1)
	}
	return coarse
}

// split returns the two halves of the page. Only pages that may not be split have coarse steps, so
// the positions are exact.
func (p *Page) split() (low, high *Page) {
	half := (p.High - p.Low + 1) / 2
	low = &Page{p.Low, p.Low + half - 1, 0, roaring.New()}
	high = &Page{p.Low + half, p.High, 0, roaring.New()}
	for it := p.taken.Iterator(); it.HasNext(); {
		if position := it.Next(); position <= low.High {
			low.taken.Add(position)
		} else {
			high.taken.Add(position)
		}
	}
	return low, high
}
