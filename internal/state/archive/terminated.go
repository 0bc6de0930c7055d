package archive

import (
	"encoding/json"

	"github.com/RoaringBitmap/roaring/v2"

	"maddermill/internal/exactjson"
)

// MachineNumbers is an immutable set of numbers, stored as a serialized bitmap. The zero value is the
// empty set.
type MachineNumbers struct{ numbers *roaring.Bitmap }

// MarshalJSON encodes the set as a serialized bitmap.
func (s MachineNumbers) MarshalJSON() ([]byte, error) {
	b, err := s.bitmap().ToBytes()
	if err != nil {
		return nil, err
	}
	return json.Marshal(b)
}

// UnmarshalJSON decodes the result of MarshalJSON.
func (s *MachineNumbers) UnmarshalJSON(b []byte) error {
	var bitmap []byte
	if err := exactjson.Unmarshal(b, &bitmap); err != nil {
		return err
	}
	var err error
	s.numbers, err = readBitmap(bitmap)
	return err
}

// bitmap returns the set's bitmap, which must not be modified.
func (s MachineNumbers) bitmap() *roaring.Bitmap {
	if s.numbers == nil {
		return roaring.New()
	}
	return s.numbers
}

// Len returns the number of elements.
func (s MachineNumbers) Len() int { return int(s.bitmap().GetCardinality()) }

// with returns a copy of the set with numbers added.
func (s MachineNumbers) with(numbers ...uint32) MachineNumbers {
	changed := s.bitmap().Clone()
	changed.AddMany(numbers)
	changed.RunOptimize()
	return MachineNumbers{changed}
}

// SeriesHead is the summary of a series that is stored besides its parts. It is written whenever machines of
// the series are added, so its version changes together with that of each part.
type SeriesHead struct {
	MachineCount  int            `json:"n"` // number of terminated machines in all parts, complete or not
	CompleteParts MachineNumbers `json:"w"` // numbers of the parts all of whose machines are terminated
}

// TerminatedMachines is the set of terminated machines, grouped by series and part. It can't contain
// machines whose names belong to no series.
type TerminatedMachines struct {
	heads map[Series]SeriesHead
	parts map[PartID]MachineNumbers // incomplete parts only
}

// NewTerminatedMachines returns an empty set.
func NewTerminatedMachines() *TerminatedMachines {
	return &TerminatedMachines{map[Series]SeriesHead{}, map[PartID]MachineNumbers{}}
}

// SetHead replaces the head of a series.
func (t *TerminatedMachines) SetHead(s Series, h SeriesHead) { t.heads[s] = h }

// SetPart replaces a part; an empty one is removed.
func (t *TerminatedMachines) SetPart(id PartID, numbers MachineNumbers) {
	if numbers.Len() == 0 {
		delete(t.parts, id)
		return
	}
	t.parts[id] = numbers
}

// Has reports whether the set contains a machine.
func (t *TerminatedMachines) Has(name string) bool {
	if len(t.heads) == 0 {
		return false
	}
	s, n, ok := SplitName(name)
	if !ok {
		return false
	}
	if h := t.heads[s]; h.CompleteParts.numbers != nil && h.CompleteParts.numbers.Contains(n/PartSize) {
		return true
	}
	part, ok := t.parts[PartID{s, n / PartSize}]
	return ok && part.numbers.Contains(n%PartSize)
}

// Count returns the number of machines in the set.
func (t *TerminatedMachines) Count() int {
	n := 0
	for _, h := range t.heads {
		n += h.MachineCount
	}
	return n
}

// With returns the replacements for a part and the head of its series when machines of that part are
// added. It does not modify the set. A part that becomes complete is returned as empty and listed in
// the head's CompleteParts.
func (t *TerminatedMachines) With(id PartID, names []string) (SeriesHead, MachineNumbers) {
	head, part := t.heads[id.Series], t.parts[id]
	before := part.Len()
	var numbers []uint32
	for _, name := range names {
		if s, n, ok := SplitName(name); ok && s == id.Series && n/PartSize == id.Number {
			numbers = append(numbers, n%PartSize)
		}
	}
	part = part.with(numbers...)
	head.MachineCount += part.Len() - before
	head.CompleteParts = head.CompleteParts.with()
	if part.Len() == PartSize {
		head.CompleteParts, part = head.CompleteParts.with(id.Number), MachineNumbers{}
	}
	return head, part
}

// Head returns the head of a series.
func (t *TerminatedMachines) Head(s Series) SeriesHead { return t.heads[s] }

// Part returns the number of machines stored in a part, and whether the part is complete. A complete part
// is stored as a number in the head of its series and has no machines stored itself.
func (t *TerminatedMachines) Part(id PartID) (n int, complete bool) {
	return t.parts[id].Len(), t.heads[id.Series].CompleteParts.bitmap().Contains(id.Number)
}
