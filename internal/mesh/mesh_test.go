package mesh

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
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
	Classes:  []ClassSum{{Class: "c", Ran: 10, Estimated: 20, Count: 2}}}

func TestFrames(t *testing.T) {
	var got Status
	if err := read(bufio.NewReader(bytes.NewReader(frame(t, example))), &got); err != nil || !reflect.DeepEqual(got, example) {
		t.Errorf("%+v, %v", got, err)
	}
	other := example
	other.Version++
	if read(bufio.NewReader(bytes.NewReader(frame(t, other))), new(Status)) == nil {
		t.Error("a frame of another version is taken")
	}
	if read(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})), new(Status)) == nil {
		t.Error("a frame beyond the limit is taken")
	}
}

// FuzzFrame: no bytes from a peer do harm.
func FuzzFrame(f *testing.F) {
	f.Add(frame(f, example))
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, in []byte) {
		var s Status
		if read(bufio.NewReader(bytes.NewReader(in)), &s) == nil && s.Version != Version {
			t.Errorf("version %d is taken", s.Version)
		}
	})
}
