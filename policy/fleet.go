package policy

import (
	"encoding/binary"
	"fmt"
)

// Fleet is the input of one plan of the fleet: the machines of each kind, and how many of them the
// built-in policy would rent and return.
type Fleet struct {
	Now     int64  // milliseconds since the epoch
	Most    uint32 // maximum number of machines at a time; 0: no bound
	Waiting uint32 // tasks to be placed
	Kinds   []Kind
	Names   []string
}

// Kind describes the machines of one type in one zone, spot or not.
type Kind struct {
	Type    uint32 // index into Names
	Zone    uint32 // index into Names
	Spot    uint32 // 1: spot machines, which the cloud may take back
	Up      uint32 // machines that accept tasks
	Booting uint32 // machines that were rented and are not up yet
	Idle    uint32 // those of Up without a task: the most that may be returned
	Refused uint32 // 1: the cloud was recently out of capacity
	Boot    uint32 // usual time until a rented machine is up, in seconds
	Hire    uint32 // machines that the built-in plan rents
	Drain   uint32 // machines that the built-in plan returns
	Price   int64  // per hour, in millionths
}

// Change is how many machines of a kind to rent (Hire) and to return (Drain).
type Change struct{ Hire, Drain uint32 }

// MostHired is the maximum number of machines of a kind that a plan may rent at once, unless the
// built-in plan rents more.
const MostHired = 50

// kindBytes is the encoded size of a kind.
const kindBytes = 10*4 + 8

// Append appends the encoding of the fleet: version, number of kinds and number of names with 4 bytes
// each, now with 8 bytes, Most and Waiting with 4 bytes each, the kinds' fields in the order of Kind,
// and the names as in a Pass.
func (f *Fleet) Append(b []byte) []byte {
	le := binary.LittleEndian
	for _, n := range [...]uint32{Version, uint32(len(f.Kinds)), uint32(len(f.Names))} {
		b = le.AppendUint32(b, n)
	}
	b = le.AppendUint64(b, uint64(f.Now))
	b = le.AppendUint32(le.AppendUint32(b, f.Most), f.Waiting)
	for i := range f.Kinds {
		k := &f.Kinds[i]
		for _, n := range [...]uint32{k.Type, k.Zone, k.Spot, k.Up, k.Booting, k.Idle, k.Refused, k.Boot, k.Hire, k.Drain} {
			b = le.AppendUint32(b, n)
		}
		b = le.AppendUint64(b, uint64(k.Price))
	}
	return appendNames(b, f.Names)
}

// DecodeFleet decodes a fleet that Fleet.Append encoded.
func DecodeFleet(b []byte) (*Fleet, error) {
	le := binary.LittleEndian
	if len(b) < 28 || le.Uint32(b) != Version {
		return nil, ErrMalformed
	}
	kinds, names := int(le.Uint32(b[4:])), int(le.Uint32(b[8:]))
	f := &Fleet{Now: int64(le.Uint64(b[12:])), Most: le.Uint32(b[20:]), Waiting: le.Uint32(b[24:])}
	if b = b[28:]; len(b)/kindBytes < kinds || len(b)/2 < names {
		return nil, ErrMalformed
	}
	f.Kinds = make([]Kind, kinds)
	for i := range f.Kinds {
		k, r := &f.Kinds[i], b[i*kindBytes:]
		fields := [...]*uint32{
			&k.Type, &k.Zone, &k.Spot, &k.Up, &k.Booting, &k.Idle, &k.Refused, &k.Boot, &k.Hire, &k.Drain,
		}
		for n, v := range fields {
			*v = le.Uint32(r[4*n:])
		}
		if k.Price = int64(le.Uint64(r[40:])); int(max(k.Type, k.Zone)) >= names {
			return nil, ErrMalformed
		}
	}
	var err error
	if f.Names, err = decodeNames(b[kinds*kindBytes:], names); err != nil {
		return nil, err
	}
	return f, nil
}

// BuiltinFleet returns the built-in policy's plan, which is part of the input.
func BuiltinFleet(f *Fleet) []Change {
	out := make([]Change, len(f.Kinds))
	for i := range out {
		out[i] = Change{f.Kinds[i].Hire, f.Kinds[i].Drain}
	}
	return out
}

// AppendChanges appends the encoding of an answer to Fleet: for each kind how many machines to rent and
// to return, 4 bytes each.
func AppendChanges(b []byte, changes []Change) []byte {
	for _, c := range changes {
		b = binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(b, c.Hire), c.Drain)
	}
	return b
}

// DecodeChanges decodes an answer to Fleet and validates it: one change for each kind. It must not rent
// more than the built-in plan of a kind that the cloud was out of, more than MostHired of a kind, unless
// the built-in plan does, or more in total than the fleet's maximum, and not return more than is idle.
func DecodeChanges(b []byte, f *Fleet) ([]Change, error) {
	if len(b) != 8*len(f.Kinds) {
		return nil, fmt.Errorf("%w: the answer has %d bytes for %d kinds of machines", ErrMalformed, len(b), len(f.Kinds))
	}
	out := make([]Change, len(f.Kinds))
	total, hired := int64(0), int64(0)
	for i := range out {
		k := &f.Kinds[i]
		c := Change{binary.LittleEndian.Uint32(b[8*i:]), binary.LittleEndian.Uint32(b[8*i+4:])}
		switch {
		case c.Hire > max(k.Hire, MostHired) || k.Refused != 0 && c.Hire > k.Hire:
			return nil, fmt.Errorf("%w: it rents %d machines of kind %d, more than allowed", ErrMalformed, c.Hire, i)
		case c.Drain > k.Idle:
			return nil, fmt.Errorf(
				"%w: it returns %d machines of kind %d, of which %d are idle",
				ErrMalformed,
				c.Drain,
				i,
				k.Idle,
			)
		}
		total += int64(k.Up) + int64(k.Booting) + int64(c.Hire)
		hired += int64(c.Hire)
		out[i] = c
	}
	if f.Most > 0 && hired > 0 && total > int64(f.Most) {
		return nil, fmt.Errorf("%w: the fleet would have %d machines, the maximum is %d", ErrMalformed, total, f.Most)
	}
	return out, nil
}
