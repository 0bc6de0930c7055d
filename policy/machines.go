package policy

import (
	"encoding/binary"
	"fmt"
)

// Machines is the input of one ranking of machines for gangs, whose tasks start together on several
// machines: all machines with enough free resources for a task of a gang. The ranks only break ties: a
// machine's image locality for a gang and the preference for or against spot machines come first.
type Machines struct {
	Now   int64 // milliseconds since the epoch
	List  []Machine
	Names []string
}

// Machine describes a machine. Resource amounts are in millionths.
type Machine struct {
	Name      uint32 // index into Names
	Type      uint32 // index into Names
	Zone      uint32 // index into Names
	Block     uint32 // number of the innermost block in the declared topology; 0: unknown
	Spot      uint32 // 1: a spot machine, which the cloud may take back
	Images    uint32 // cached images
	Fetching  uint32 // images being fetched
	Claims    uint32 // claims of jobs on the machine
	FreeCPU   int64
	FreeGPU   int64
	FreeRAM   int64
	WholeCPU  int64
	WholeGPU  int64
	WholeRAM  int64
	BusyUntil int64 // milliseconds since the epoch: expected end of its last claim; 0: it has no claims
}

// MostRank is the highest rank that a machine may be given.
const MostRank = 1<<17 - 1

// machineBytes is the encoded size of a machine.
const machineBytes = 8*4 + 7*8

// Append appends the encoding of the machines: version, number of machines and number of names with
// 4 bytes each, now with 8 bytes, the machines' fields in the order of Machine, and the names as in a
// Pass.
func (m *Machines) Append(b []byte) []byte {
	le := binary.LittleEndian
	for _, n := range [...]uint32{Version, uint32(len(m.List)), uint32(len(m.Names))} {
		b = le.AppendUint32(b, n)
	}
	b = le.AppendUint64(b, uint64(m.Now))
	for i := range m.List {
		words, longs := m.List[i].fields()
		for _, v := range words {
			b = le.AppendUint32(b, *v)
		}
		for _, v := range longs {
			b = le.AppendUint64(b, uint64(*v))
		}
	}
	return appendNames(b, m.Names)
}

// fields returns pointers to the fields in the order of the encoding: first those of 4 bytes, then those
// of 8.
func (m *Machine) fields() ([8]*uint32, [7]*int64) {
	return [...]*uint32{&m.Name, &m.Type, &m.Zone, &m.Block, &m.Spot, &m.Images, &m.Fetching, &m.Claims},
		[...]*int64{&m.FreeCPU, &m.FreeGPU, &m.FreeRAM, &m.WholeCPU, &m.WholeGPU, &m.WholeRAM, &m.BusyUntil}
}

// DecodeMachines decodes machines that Machines.Append encoded.
func DecodeMachines(b []byte) (*Machines, error) {
	le := binary.LittleEndian
	if len(b) < 20 || le.Uint32(b) != Version {
		return nil, ErrMalformed
	}
	count, names := int(le.Uint32(b[4:])), int(le.Uint32(b[8:]))
	m := &Machines{Now: int64(le.Uint64(b[12:]))}
	if b = b[20:]; len(b)/machineBytes < count || len(b)/2 < names {
		return nil, ErrMalformed
	}
	m.List = make([]Machine, count)
	for i := range m.List {
		words, longs := m.List[i].fields()
		r := b[i*machineBytes:]
		for n, v := range words {
			*v = le.Uint32(r[4*n:])
		}
		for n, v := range longs {
			*v = int64(le.Uint64(r[4*len(words)+8*n:]))
		}
		if x := &m.List[i]; int(max(x.Name, x.Type, x.Zone)) >= names {
			return nil, ErrMalformed
		}
	}
	var err error
	if m.Names, err = decodeNames(b[count*machineBytes:], names); err != nil {
		return nil, err
	}
	return m, nil
}

// AppendRanks appends the encoding of an answer to Machines: a rank for each machine, 4 bytes each.
func AppendRanks(b []byte, ranks []uint32) []byte {
	for _, r := range ranks {
		b = binary.LittleEndian.AppendUint32(b, r)
	}
	return b
}

// DecodeRanks decodes an answer to Machines and validates it: one rank for each machine, none above
// MostRank. Machines with lower ranks are preferred. An empty answer leaves the choice to the built-in
// policy, which prefers the machines that a gang's tasks fill best (best fit).
func DecodeRanks(b []byte, m *Machines) ([]uint32, error) {
	if len(b) == 0 {
		return nil, nil
	}
	if len(b) != 4*len(m.List) {
		return nil, fmt.Errorf("%w: the answer has %d bytes for %d machines", ErrMalformed, len(b), len(m.List))
	}
	out := make([]uint32, len(m.List))
	for i := range out {
		if out[i] = binary.LittleEndian.Uint32(b[4*i:]); out[i] > MostRank {
			return nil, fmt.Errorf("%w: machine %d has rank %d, which is above the maximum", ErrMalformed, i, out[i])
		}
	}
	return out, nil
}
