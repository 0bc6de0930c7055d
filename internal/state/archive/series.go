package archive

import (
	"fmt"
	"strconv"
	"strings"
)

// Series identifies the machine names that differ only in their trailing number: a common prefix and a
// number of digits. The cloud numbers machines consecutively and never reuses a name (PROTOCOL, "GET
// /machines"), so nearly all machines of a series below some number are terminated.
type Series struct {
	Prefix string
	Width  int // number of digits
}

// maxDigits is the maximum width of a series; names with longer numbers belong to no series.
const maxDigits = 9

// SplitName splits a name into its series and number; ok is false if it does not end in a number.
func SplitName(name string) (s Series, number uint32, ok bool) {
	end := len(name) // end of the prefix
	for end > 0 && name[end-1] >= '0' && name[end-1] <= '9' {
		end--
	}
	digits := name[end:]
	if digits == "" || len(digits) > maxDigits {
		return s, 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	return Series{name[:end], len(digits)}, uint32(n), err == nil
}

// String formats the series as part of a key.
func (s Series) String() string { return strconv.Itoa(s.Width) + "/" + s.Prefix }

// ParseSeries parses the result of Series.String.
func ParseSeries(text string) (Series, error) {
	width, prefix, _ := strings.Cut(text, "/")
	w, err := strconv.Atoi(width)
	s := Series{prefix, w}
	if err == nil && (w < 1 || w > maxDigits || s.String() != text) {
		err = strconv.ErrRange
	}
	return s, err
}

// PartSize is the number of machine numbers in one part of a series. The bitmap of a part takes little more
// than a kilobyte, whichever of its machines are terminated.
const PartSize = 8192

// PartID identifies a part of a series: the machine numbers from Number*PartSize up to, but not
// including, (Number+1)*PartSize.
type PartID struct {
	Series
	Number uint32
}

// String formats the ID as part of a key.
func (p PartID) String() string { return fmt.Sprintf("%06d/%s", p.Number, p.Series) }

// ParsePartID parses the result of PartID.String.
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

// PartOfMachine returns the part that a machine belongs to; ok is false if its name is in no series.
func PartOfMachine(name string) (id PartID, ok bool) {
	s, n, ok := SplitName(name)
	return PartID{s, n / PartSize}, ok
}
