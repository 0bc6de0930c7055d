package archive

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
)

// Series are the names that differ in their trailing number only: a prefix and so many
// digits. The cloud counts machines up and never uses a name again (PROTOCOL, "GET
// /machines"), so the machines of a series that are gone are nearly all below some number.
type Series struct {
	Prefix string
	Width  int
}

// mostDigits bounds the numbers that are told apart; names with more are no series.
const mostDigits = 9

// SplitName takes a name apart; ok is false if it doesn't end in a number.
func SplitName(name string) (s Series, number uint32, ok bool) {
	at := len(name)
	for at > 0 && name[at-1] >= '0' && name[at-1] <= '9' {
		at--
	}
	digits := name[at:]
	if digits == "" || len(digits) > mostDigits {
		return s, 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	return Series{name[:at], len(digits)}, uint32(n), err == nil
}

// String spells the series as in a key.
func (s Series) String() string { return strconv.Itoa(s.Width) + "/" + s.Prefix }

// ParseSeries reads what String spelled.
func ParseSeries(text string) (Series, error) {
	width, prefix, _ := strings.Cut(text, "/")
	w, err := strconv.Atoi(width)
	s := Series{prefix, w}
	if err == nil && (w < 1 || w > mostDigits || s.String() != text) {
		err = strconv.ErrRange
	}
	return s, err
}

// Span is how many numbers share a part. Whatever numbers of it are gone, it takes little
// more than a kilobyte.
const Span = 8192

// PartID names a part of a series: the numbers from Span·Number on.
type PartID struct {
	Series
	Number uint32
}

// String spells the id as in a key.
func (p PartID) String() string { return fmt.Sprintf("%06d/%s", p.Number, p.Series) }

// ParsePartID reads what String spelled.
func ParsePartID(text string) (PartID, error) {
	number, series, _ := strings.Cut(text, "/")
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return PartID{}, err
	}
	s, err := ParseSeries(series)
	p := PartID{s, uint32(n)}
	if err == nil && p.String() != text {
		err = strconv.ErrRange
	}
	return p, err
}

// PartOfMachine returns the part that a name belongs to.
func PartOfMachine(name string) (PartID, bool) {
	s, n, ok := SplitName(name)
	return PartID{s, n / Span}, ok
}

// MachineNumbers is a set of numbers as it is stored: a serialized bitmap. It is never changed, only
// replaced.
type MachineNumbers struct{ numbers *roaring.Bitmap }

// MarshalJSON writes the set.
func (s MachineNumbers) MarshalJSON() ([]byte, error) {
	b, err := s.bitmap().ToBytes()
	if err != nil {
		return nil, err
	}
	return json.Marshal(b)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (s *MachineNumbers) UnmarshalJSON(b []byte) error {
	var raw []byte
	if err := json.Unmarshal(b, &raw); err != nil {
		return err
	}
	var err error
	s.numbers, err = readBitmap(raw)
	return err
}

func (s MachineNumbers) bitmap() *roaring.Bitmap {
	if s.numbers == nil {
		return roaring.New()
	}
	return s.numbers
}

// Len is how many numbers are in the set.
func (s MachineNumbers) Len() int { return int(s.bitmap().GetCardinality()) }

func (s MachineNumbers) with(numbers ...uint32) MachineNumbers {
	m := s.bitmap().Clone()
	m.AddMany(numbers)
	m.RunOptimize()
	return MachineNumbers{m}
}

// Head is what is kept of a series besides its parts. It is written anew whenever machines
// of the series are added, so its version moves with them.
type Head struct {
	Gone  int            `json:"n"` // machines, in whole parts and others
	Whole MachineNumbers `json:"w"` // the numbers of the parts that are gone as a whole
}

// TerminatedMachines is the set of machines that are gone. It isn't safe for concurrent use.
type TerminatedMachines struct {
	heads map[Series]Head
	parts map[PartID]MachineNumbers
}

// NewTerminatedMachines returns an empty set.
func NewTerminatedMachines() *TerminatedMachines {
	return &TerminatedMachines{map[Series]Head{}, map[PartID]MachineNumbers{}}
}

// SetHead replaces what is known of a series.
func (g *TerminatedMachines) SetHead(s Series, h Head) { g.heads[s] = h }

// SetPart replaces a part; an empty one is taken out.
func (g *TerminatedMachines) SetPart(id PartID, s MachineNumbers) {
	if s.Len() == 0 {
		delete(g.parts, id)
		return
	}
	g.parts[id] = s
}

// Has reports whether a machine is in the set.
func (g *TerminatedMachines) Has(name string) bool {
	if len(g.heads) == 0 {
		return false
	}
	s, n, ok := SplitName(name)
	if !ok {
		return false
	}
	if h := g.heads[s]; h.Whole.numbers != nil && h.Whole.numbers.Contains(n/Span) {
		return true
	}
	p, ok := g.parts[PartID{s, n / Span}]
	return ok && p.numbers.Contains(n%Span)
}

// Count is how many machines are in the set.
func (g *TerminatedMachines) Count() int {
	n := 0
	for _, h := range g.heads {
		n += h.Gone
	}
	return n
}

// With returns what replaces a part and its series' head when machines of that part are
// added. A part that is then gone as a whole is empty and goes into the head.
func (g *TerminatedMachines) With(id PartID, names []string) (Head, MachineNumbers) {
	h, p := g.heads[id.Series], g.parts[id]
	before := p.Len()
	var numbers []uint32
	for _, name := range names {
		if s, n, ok := SplitName(name); ok && s == id.Series && n/Span == id.Number {
			numbers = append(numbers, n%Span)
		}
	}
	p = p.with(numbers...)
	h.Gone += p.Len() - before
	h.Whole = h.Whole.with()
	if p.Len() == Span {
		h.Whole, p = h.Whole.with(id.Number), MachineNumbers{}
	}
	return h, p
}

// Head returns what is kept of a series besides its parts.
func (g *TerminatedMachines) Head(s Series) Head { return g.heads[s] }

// Part returns how many machines of a part are kept in it, and whether its series counts it
// as gone as a whole.
func (g *TerminatedMachines) Part(id PartID) (n int, whole bool) {
	return g.parts[id].Len(), g.heads[id.Series].Whole.bitmap().Contains(id.Number)
}
