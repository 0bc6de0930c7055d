package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"maddermill/wire"
)

// frame encodes a status as a frame.
func frame(tb testing.TB, s Status) []byte {
	tb.Helper()
	b, err := cbor.Marshal(s)
	if err != nil {
		tb.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// read decodes a frame.
func read(frame []byte) (*Status, error) { return readFrame(bufio.NewReader(bytes.NewReader(frame))) }

var example = Status{
	Version:          Version,
	Member:           "m-1",
	Boot:             5,
	Revision:         7,
	LastCancellation: 6,
	SyncAgeMS:        12,
	Loaded:           true,
	Machines: []Machine{
		{ID: "host-1", Type: "g", Zone: "a", Epoch: 2, Token: 9, HeartbeatAgeMS: 100, Usable: true},
	},
	Classes: []ClassRunTimes{{Class: "c", ActualSeconds: 10, EstimatedSeconds: 20, Count: 2}},
}

// TestFrames checks that a written frame can be read, and that all supported versions are accepted.
func TestFrames(t *testing.T) {
	var written bytes.Buffer
	if err := writeFrame(&written, &example); err != nil {
		t.Fatal(err)
	}
	if want := frame(t, example); !bytes.Equal(written.Bytes(), want) {
		t.Errorf("wrote %x, want %x", written.Bytes(), want)
	}
	got, err := read(written.Bytes())
	if err != nil || !reflect.DeepEqual(*got, example) {
		t.Errorf("read %+v, error %v; want %+v", got, err, example)
	}
	older := example
	older.Version = OldestVersion
	if _, err := read(frame(t, older)); err != nil {
		t.Errorf("a frame of the oldest version: %v", err)
	}
}

// TestFramesIgnoreTextKeys guards against fields that a frame names by texts instead of numbers being taken for known
// ones.
func TestFramesIgnoreTextKeys(t *testing.T) {
	var fields map[any]any
	if err := cbor.Unmarshal(frame(t, example)[frameHeaderBytes:], &fields); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"1", "2", "Version", "version", "v", "V", "MEMBER", "Member", "by", "Machines", "m"} {
		fields[key] = "m-2"
	}
	body, err := cbor.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	got, err := read(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	if err != nil || !reflect.DeepEqual(*got, example) {
		t.Errorf("read %+v, error %v; want %+v", got, err, example)
	}
}

// TestFramesRefused checks that frames that are too long or of an unsupported version are rejected.
func TestFramesRefused(t *testing.T) {
	newer, earlier := example, example
	newer.Version, earlier.Version = Version+1, OldestVersion-1
	for _, tc := range []struct {
		name  string
		frame []byte
		want  error
	}{
		{"a newer version", frame(t, newer), errUnsupportedVersion},
		{"an earlier version", frame(t, earlier), errUnsupportedVersion},
		{"too long", []byte{0xff, 0xff, 0xff, 0xff, 1}, errFrameTooLong},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := read(tc.frame); !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
		})
	}
}

// TestAgreedVersion checks that the response uses the newest version that both sides support, and the
// sender's own version if the sender predates version negotiation.
func TestAgreedVersion(t *testing.T) {
	for _, tc := range []struct {
		name                string
		version, maxVersion int
		want                int
	}{
		{"predates negotiation", 1, 0, 1},
		{"this version", OldestVersion, Version, Version},
		{"a later version", OldestVersion, Version + 3, Version},
	} {
		t.Run(tc.name, func(t *testing.T) {
			probe, err := read(frame(t, Status{Version: tc.version, MaxVersion: tc.maxVersion, Member: "m-1"}))
			if err != nil {
				t.Fatal(err)
			}
			if got := negotiateVersion(probe); got != tc.want {
				t.Errorf("probe of version %d, up to %d: negotiated %d, want %d", tc.version, tc.maxVersion, got, tc.want)
			}
		})
	}
}

// TestLargeFleetFits checks that the status of 10,000 machines, each with a full image cache, fits in a
// frame. With an earlier limit, frames were rejected from about 3,000 machines per controller on, and peers
// then considered each other silent.
func TestLargeFleetFits(t *testing.T) {
	s := example
	s.Machines = nil
	for i := range 10_000 {
		m := Machine{
			ID:             wire.MachineID(fmt.Sprintf("host-%06d", i)),
			Type:           "darkgreen48",
			Zone:           "southern",
			Epoch:          1000,
			Token:          100_000,
			HeartbeatAgeMS: 5000,
			Usable:         true,
		}
		for k := range 10 {
			m.Images = append(m.Images, wire.Image(fmt.Sprintf("image-%06d", i*10+k)))
		}
		s.Machines = append(s.Machines, m)
	}
	got, err := read(frame(t, s))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Machines) != len(s.Machines) {
		t.Errorf("%d machines, want %d", len(got.Machines), len(s.Machines))
	}
}

// FuzzFrame checks that readFrame handles arbitrary input without panicking and accepts supported versions
// only.
func FuzzFrame(f *testing.F) {
	f.Add(frame(f, example))
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, in []byte) {
		s, err := read(in)
		if err == nil && (s.Version < OldestVersion || s.Version > Version) {
			t.Errorf("version %d is accepted", s.Version)
		}
	})
}
