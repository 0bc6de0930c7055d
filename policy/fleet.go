package policy

import (
	"encoding/binary"
	"fmt"
)

// Fleet is one planning of the fleet: what there is of each kind of machine, and what the
// built-in policy would rent and give back.
type Fleet struct {
	Now     int64  // milliseconds since the epoch
	Most    uint32 // machines at once; 0: no bound
	Waiting uint32 // tasks to be placed
	Kinds   []Kind
	Names   []string
}

// Kind is a kind of machine in a zone.
type Kind struct {
	Type    uint32 // into Names
	Zone    uint32 // into Names
	Spot    uint32 // 1: may be taken back
	Up      uint32 // machines that take tasks
	Booting uint32
	Idle    uint32 // of Up, those with no task: as many may be given back
	Refused uint32 // 1: the cloud lately had none
	Boot    uint32 // usual time until one is up, in seconds
	Hire    uint32 // the built-in plan
	Drain   uint32
	Price   int64 // an hour, in millionths
}

// Change is what to do about a kind of machine.
type Change struct{ Hire, Drain uint32 }

// MostHired is how many machines of a kind a plan may rent at once, unless the built-in one
// would rent more.
const MostHired = 50

const kindBytes = 10*4 + 8

// Append appends the planning as it is handed to a plug-in: version, number of kinds, number
// of names, 4 bytes each, now, 8 bytes, most and waiting, 4 bytes each, the kinds' fields in
// the order of Kind, and the names as in a Pass.
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

// DecodeFleet reads what Append wrote.
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

// BuiltinFleet is the built-in policy's plan.
func BuiltinFleet(f *Fleet) []Change {
	out := make([]Change, len(f.Kinds))
	for i := range out {
		out[i] = Change{f.Kinds[i].Hire, f.Kinds[i].Drain}
	}
	return out
}

// AppendChanges appends an answer to a planning: rented and given back of each kind, 4 bytes
// each.
func AppendChanges(b []byte, changes []Change) []byte {
	for _, c := range changes {
		b = binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(b, c.Hire), c.Drain)
	}
	return b
}

// DecodeChanges reads an answer and checks it: one for each kind, none rented of what the cloud
// has none of, nor more than MostHired at once or in all than there may be, none given back
// that is not idle.
func DecodeChanges(b []byte, f *Fleet) ([]Change, error) {
	if len(b) != 8*len(f.Kinds) {
		return nil, fmt.Errorf("%w: an answer of %d bytes for %d kinds of machines", ErrMalformed, len(b), len(f.Kinds))
	}
	out := make([]Change, len(f.Kinds))
	total, hired := int64(0), int64(0)
	for i := range out {
		k := &f.Kinds[i]
		c := Change{binary.LittleEndian.Uint32(b[8*i:]), binary.LittleEndian.Uint32(b[8*i+4:])}
		switch {
		case c.Hire > max(k.Hire, MostHired) || k.Refused != 0 && c.Hire > k.Hire:
			return nil, fmt.Errorf("%w: %d machines of kind %d are to be rented", ErrMalformed, c.Hire, i)
		case c.Drain > k.Idle:
			return nil, fmt.Errorf(
				"%w: %d machines of kind %d are to be given back, and %d are idle",
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
		return nil, fmt.Errorf("%w: %d machines, and there may be %d", ErrMalformed, total, f.Most)
	}
	return out, nil
}
