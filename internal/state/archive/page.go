package archive

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/cespare/xxhash/v2"

	"maddermill/internal/exactjson"
)

// positionBits is the number of leading bits of a name's hash that form its position.
const positionBits = 30

// Position returns the position of a name in the filter: the leading bits of its hash.
func Position(name string) uint32 { return uint32(xxhash.Sum64String(name) >> (64 - positionBits)) }

const (
	// lastPosition is the highest position.
	lastPosition = 1<<positionBits - 1
	// maxFilterBytes bounds the total stored size of all pages of a filter.
	maxFilterBytes = 4 << 20
)

// Page is the part of a filter that covers the positions from Low to High. Its bitmap holds the
// positions of the added names, shifted right by Shift bits. The pages of a filter are adjacent and
// cover all positions; a page that grows too large is split in the middle. A page is named by High, so
// the page that covers a position is the first one whose name is not less than PageName(position).
type Page struct {
	Low, High uint32
	Shift     int
	bitmap    *roaring.Bitmap
}

// PageName formats a position so that names sort in the order of positions.
func PageName(position uint32) string { return fmt.Sprintf("%08x", position) }

// Name returns the page's name.
func (p *Page) Name() string { return PageName(p.High) }

// EmptyPage returns the page of an empty filter, which covers all positions.
func EmptyPage() *Page { return &Page{High: lastPosition, bitmap: roaring.New()} }

// pageRecord is the stored form of a Page.
type pageRecord struct {
	Low    uint32 `json:"l,omitempty"`
	High   uint32 `json:"h"`
	Shift  int    `json:"s,omitempty"`
	Bitmap []byte `json:"b"`
}

// MarshalJSON encodes the page, with its bitmap in the serialized form of package roaring.
func (p *Page) MarshalJSON() ([]byte, error) {
	bitmap, err := p.bitmap.ToBytes()
	if err != nil {
		return nil, err
	}
	return json.Marshal(pageRecord{p.Low, p.High, p.Shift, bitmap})
}

// UnmarshalJSON decodes the result of MarshalJSON and rejects ranges that no filter has.
func (p *Page) UnmarshalJSON(b []byte) error {
	var r pageRecord
	if err := exactjson.Unmarshal(b, &r); err != nil {
		return err
	}
	if !r.valid() {
		return fmt.Errorf("archive: invalid filter page: positions %x to %x, shift %d", r.Low, r.High, r.Shift)
	}
	bitmap, err := readBitmap(r.Bitmap)
	*p = Page{r.Low, r.High, r.Shift, bitmap}
	return err
}

// valid reports whether the range of the page is one that repeated halving of all positions can give.
func (r *pageRecord) valid() bool {
	if r.Low > r.High || r.High > lastPosition || r.Shift < 0 || r.Shift > positionBits {
		return false
	}
	size := r.High - r.Low + 1
	powerOfTwo := size&(size-1) == 0
	return powerOfTwo && r.Low%size == 0
}

// readBitmap decodes and validates a serialized bitmap, which must have the length of b.
func readBitmap(b []byte) (*roaring.Bitmap, error) {
	bitmap := roaring.New()
	n, err := bitmap.ReadFrom(bytes.NewReader(b))
	if err == nil && n != int64(len(b)) {
		err = fmt.Errorf("archive: %d trailing bytes after a bitmap", int64(len(b))-n)
	}
	if err == nil {
		err = bitmap.Validate()
	}
	return bitmap, err
}

// Covers reports whether the page's range includes the position of a name.
func (p *Page) Covers(name string) bool {
	position := Position(name)
	return p.Low <= position && position <= p.High
}

// MayContain reports whether a name that the page covers may be archived. It has no false negatives and few
// false positives.
func (p *Page) MayContain(name string) bool { return p.bitmap.Contains(Position(name) >> p.Shift) }

// maxEncodedSize returns an upper bound of the size of the encoded page: the bitmap in base64 and the
// other fields.
func (p *Page) maxEncodedSize() int { return int(p.bitmap.GetSerializedSizeInBytes()+2)/3*4 + 56 }

func (p *Page) clone() *Page { return &Page{p.Low, p.High, p.Shift, p.bitmap.Clone()} }

func (p *Page) add(names ...string) {
	for _, name := range names {
		p.bitmap.Add(Position(name) >> p.Shift)
	}
}

// With returns the pages that replace this one when names that it covers are added, each of at most
// valueBytes when encoded: one page, or several if it has to be split. A page that has reached the
// minimum range is not split but gets a larger Shift, which raises its rate of false positives.
// unchanged reports that the page already matched all names, so that nothing has to be written.
func (p *Page) With(names []string, valueBytes int) (pages []*Page, unchanged bool) {
	changed := p.clone()
	changed.add(names...)
	unchanged = changed.bitmap.GetCardinality() == p.bitmap.GetCardinality()
	return appendFitting(nil, changed, valueBytes), unchanged
}

// appendFitting appends a page to pages, after splitting it or raising its Shift until each part fits into
// valueBytes. It modifies p.
func appendFitting(pages []*Page, p *Page, valueBytes int) []*Page {
	p.bitmap.RunOptimize()
	if p.maxEncodedSize() <= valueBytes {
		return append(pages, p)
	}
	size := p.High - p.Low + 1
	if size == 1 || int(size) <= (lastPosition+1)/max(1, maxFilterBytes/valueBytes) {
		return appendFitting(pages, p.coarsened(), valueBytes)
	}
	low, high := p.split()
	return appendFitting(appendFitting(pages, low, valueBytes), high, valueBytes)
}

// coarsened returns a copy of the page with a Shift that is greater by one.
func (p *Page) coarsened() *Page {
	coarse := &Page{p.Low, p.High, p.Shift + 1, roaring.New()}
	for it := p.bitmap.Iterator(); it.HasNext(); {
		coarse.bitmap.Add(it.Next() >> 1)
	}
	return coarse
}

// split returns the two halves of the page. It expects a Shift of 0, since a Shift is raised only on pages
// that are too small to be split.
func (p *Page) split() (low, high *Page) {
	half := (p.High - p.Low + 1) / 2
	low = &Page{p.Low, p.Low + half - 1, 0, roaring.New()}
	high = &Page{p.Low + half, p.High, 0, roaring.New()}
	for it := p.bitmap.Iterator(); it.HasNext(); {
		if position := it.Next(); position <= low.High {
			low.bitmap.Add(position)
		} else {
			high.bitmap.Add(position)
		}
	}
	return low, high
}
