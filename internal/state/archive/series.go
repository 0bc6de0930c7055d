package archive

import (
	"fmt"
	"strconv"
	"strings"
)

// Series are the machine names that differ in their trailing number only: a prefix and a number of
// digits. The cloud counts machines up and never reuses a name (PROTOCOL, "GET /machines"), so
// nearly all terminated machines of a series are below some number.
type Series struct {
	Prefix string
	Width  int // digits
}

// maxDigits bounds the width of a series; names with longer numbers are in none.
const maxDigits = 9

// SplitName splits a name into its series and number; ok is false if it does not end in a number.
func SplitName(name string) (s Series, number uint32, ok bool) {
	end := len(name) // of the prefix
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

// String formats the series as it is in a key.
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

// Span is how many numbers share a part of a series. Whichever of them are terminated, the part
// takes little more than a kilobyte.
const Span = 8192

// PartID identifies a part of a series: the Span numbers from Span·Number on.
type PartID struct {
	Series
	Number uint32
}

// String formats the id as it is in a key.
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

// PartOfMachine returns the part that a machine belongs to; ok is false if it is in no series.
func PartOfMachine(name string) (id PartID, ok bool) {
	s, n, ok := SplitName(name)
	return PartID{s, n / Span}, ok
}
