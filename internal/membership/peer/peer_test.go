package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"maddermill/wire"
)

func frame(t testing.TB, s Status) []byte {
	b, err := cbor.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

var example = Status{Version: Version, Member: "m-1", Boot: 5, Revision: 7, Cancelled: 6, ContactMS: 12, Loaded: true,
	Machines: []Machine{{ID: "host-1", Type: "g", Zone: "a", Session: 2, Token: 9, AgeMS: 100, Usable: true}},
	Classes:  []ClassRunTimes{{Class: "c", Ran: 10, Estimated: 20, Count: 2}}}

func TestFrames(t *testing.T) {
	var got Status
	if err := read(
		bufio.NewReader(bytes.NewReader(frame(t, example))),
		&got,
	); err != nil ||
		!reflect.DeepEqual(got, example) {
		t.Errorf("%+v, %v", got, err)
	}
	other := example
	other.Version++
	if read(bufio.NewReader(bytes.NewReader(frame(t, other))), new(Status)) == nil {
		t.Error("a frame of another version is taken")
	}
	other.Version = Oldest
	if err := read(bufio.NewReader(bytes.NewReader(frame(t, other))), new(Status)); err != nil {
		t.Errorf("a frame of the version before: %v", err)
	}
	if read(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})), new(Status)) == nil {
		t.Error("a frame beyond the limit is taken")
	}
}

// TestVersionsAreAgreedOn: the one who is asked answers in the newest version that both speak;
// one from before versions were negotiated is answered in its own.
func TestVersionsAreAgreedOn(t *testing.T) {
	for _, tc := range []struct{ version, newest, want int }{
		{1, 0, 1}, // from before
		{Oldest, Version, Version},
		{Oldest, Version + 3, Version}, // from later
	} {
		var ask Status
		if err := read(
			bufio.NewReader(bytes.NewReader(frame(t, Status{Version: tc.version, MaxVersion: tc.newest, Member: "m-1"}))),
			&ask,
		); err != nil {
			t.Fatal(err)
		}
		if got := agreed(ask); got != tc.want {
			t.Errorf("asked in %d, up to %d: answered in %d, want %d", tc.version, tc.newest, got, tc.want)
		}
	}
}

// TestLargeFleetFits: what a controller tells of ten thousand machines, each with as many
// images as a cache holds, is taken. Frames were refused from about three thousand
// machines a controller on, and peers then took each other for silent.
func TestLargeFleetFits(t *testing.T) {
	s := example
	s.Machines = nil
	for i := range 10_000 {
		m := Machine{
			ID:      wire.MachineID(fmt.Sprintf("host-%06d", i)),
			Type:    "darkgreen48",
			Zone:    "southern",
			Session: 1000,
			Token:   100_000,
			AgeMS:   5000,
			Usable:  true,
		}
		for k := range 10 {
			m.Images = append(m.Images, wire.Image(fmt.Sprintf("image-%06d", i*10+k)))
		}
		s.Machines = append(s.Machines, m)
	}
	var got Status
	if err := read(
		bufio.NewReader(bytes.NewReader(frame(t, s))),
		&got,
	); err != nil ||
		len(got.Machines) != len(s.Machines) {
		t.Errorf("%d machines, %v", len(got.Machines), err)
	}
}

// FuzzFrame: no bytes from a peer do harm.
func FuzzFrame(f *testing.F) {
	f.Add(frame(f, example))
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, in []byte) {
		var s Status
		if read(bufio.NewReader(bytes.NewReader(in)), &s) == nil && (s.Version < Oldest || s.Version > Version) {
			t.Errorf("version %d is taken", s.Version)
		}
	})
}
