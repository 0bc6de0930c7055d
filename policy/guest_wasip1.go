package policy

import "unsafe"

// The plug-in's functions, with their defaults, and the memory shared with the host.
var (
	orderFunc = Builtin
	admitFunc = func(*Admission) Verdict { return Accept }
	planFunc  = BuiltinFleet
	rankFunc  func(*Machines) []uint32 // nil: the built-in policy chooses
	pinned    = map[uint32][]byte{}    // by address: buffers shared with the host, kept from garbage collection
)

// Serve sets the function that orders the jobs of a pass. It must be called from an init function.
func Serve(f func(*Pass) []uint32) { orderFunc = f }

// Admit sets the function that decides on submissions. It must be called from an init function.
func Admit(f func(*Admission) Verdict) { admitFunc = f }

// Plan sets the function that plans the fleet. It must be called from an init function.
func Plan(f func(*Fleet) []Change) { planFunc = f }

// Prefer sets the function that ranks machines for gangs. It must be called from an init function.
func Prefer(f func(*Machines) []uint32) { rankFunc = f }

// pin keeps a buffer from the garbage collector and returns its address.
func pin(b []byte) uint32 {
	at := uint32(uintptr(unsafe.Pointer(unsafe.SliceData(b))))
	pinned[at] = b
	return at
}

// packResult pins an answer and returns its address in the upper 32 bits and its length in the lower.
func packResult(b []byte) uint64 { return uint64(pin(b))<<32 | uint64(len(b)) }

//go:wasmexport maddermill_version
func version() uint32 { return Version }

// alloc allocates a buffer for the input of the next call and returns its address. It releases all
// buffers of earlier calls.
//
//go:wasmexport maddermill_alloc
func alloc(n uint32) uint32 {
	clear(pinned)
	return pin(make([]byte, max(1, n)))
}

// order returns the packed answer to the pass in the buffer at the address at with length n.
//
//go:wasmexport maddermill_order
func order(at, n uint32) uint64 {
	p, err := Decode(pinned[at][:n])
	if err != nil {
		panic(err)
	}
	b := AppendOrder(make([]byte, 0, 4*len(p.Jobs)+1), orderFunc(p))
	return packResult(b)
}

// admit returns the verdict on the submission in the buffer.
//
//go:wasmexport maddermill_admit
func admit(at, n uint32) uint32 {
	a, err := DecodeAdmission(pinned[at][:n])
	if err != nil {
		panic(err)
	}
	return uint32(admitFunc(a))
}

// fleet returns the packed answer to the Fleet in the buffer.
//
//go:wasmexport maddermill_fleet
func fleet(at, n uint32) uint64 {
	f, err := DecodeFleet(pinned[at][:n])
	if err != nil {
		panic(err)
	}
	b := AppendChanges(make([]byte, 0, 8*len(f.Kinds)+1), planFunc(f))
	return packResult(b)
}

// prefer returns the packed answer to the Machines in the buffer, or 0, an empty answer, without a rank
// function.
//
//go:wasmexport maddermill_prefer
func prefer(at, n uint32) uint64 {
	if rankFunc == nil {
		return 0
	}
	m, err := DecodeMachines(pinned[at][:n])
	if err != nil {
		panic(err)
	}
	b := AppendRanks(make([]byte, 0, 4*len(m.List)+1), rankFunc(m))
	return packResult(b)
}
