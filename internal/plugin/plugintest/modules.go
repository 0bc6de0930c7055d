// Package plugintest assembles small WebAssembly modules byte by byte, without a toolchain: policies
// that are not written in Go, and a module for each kind of failure.
package plugintest

// Kind selects the behaviour of a module.
type Kind string

// The kinds of modules. Unless stated otherwise, a kind describes what maddermill_order does.
const (
	Identity          Kind = "identity" // returns the jobs in the order of the pass: by group and id
	Reversed          Kind = "reversed" // returns the jobs in reverse, which is valid if all are of one group
	Trap              Kind = "trap"     // executes unreachable
	Loop              Kind = "loop"     // loops forever
	MemoryExhaustion  Kind = "bomb"     // grows its memory until that fails, then writes out of bounds
	RepeatedIndex     Kind = "zeros"    // returns the first job's index in every place
	AnswerOutOfBounds Kind = "outside"  // returns an address outside of its memory
	ShortAnswer       Kind = "short"    // returns an answer of four bytes
	OtherVersion      Kind = "other"    // reports an unsupported interface version
	NoExports         Kind = "bare"     // exports only its memory
	Refuser           Kind = "refuser"  // like Identity, and refuses every submission
	InvalidVerdict    Kind = "unsure"   // like Identity, and returns an undefined verdict on submissions
	ShortRanks        Kind = "partial"  // like ShortAnswer, and returns four bytes of machine ranks, too
)

// Addresses of the pass and of the answer in a module's memory of 8 MiB.
const (
	passAt   = 1 << 16
	answerAt = 4 << 20
)

// signedLEB128 encodes a number in signed LEB128.
func signedLEB128(n int64) []byte {
	var b []byte
	for {
		c := byte(n & 0x7f)
		n >>= 7
		if n == 0 && c&0x40 == 0 || n == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

// unsignedLEB128 encodes a number in unsigned LEB128.
func unsignedLEB128(n int) []byte {
	var b []byte
	for {
		c := byte(n & 0x7f)
		if n >>= 7; n == 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

func concat(parts ...[]byte) []byte {
	var b []byte
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

func vector(parts ...[]byte) []byte       { return concat(unsignedLEB128(len(parts)), concat(parts...)) }
func withLength(b []byte) []byte          { return concat(unsignedLEB128(len(b)), b) }
func section(id byte, body []byte) []byte { return concat([]byte{id}, withLength(body)) }
func i32(n int64) []byte                  { return concat([]byte{0x41}, signedLEB128(n)) }
func i64(n int64) []byte                  { return concat([]byte{0x42}, signedLEB128(n)) }
func export(name string, kind, index byte) []byte {
	return concat(withLength([]byte(name)), []byte{kind, index})
}

// writeAnswer returns code that writes one 32-bit number per job and returns the packed address and
// length of the answer. The code in number pushes a job's number; it finds the job's index in local 3
// and the number of jobs in local 2.
func writeAnswer(number []byte) []byte {
	return concat(
		[]byte{0x20, 0, 0x28, 2, 4, 0x21, 2}, // local 2 = number of jobs, the second word of the pass
		[]byte{0x02, 0x40, 0x03, 0x40},       // block, loop
		[]byte{0x20, 3, 0x20, 2, 0x4f, 0x0d, 1},
		[]byte{0x20, 3, 0x41, 2, 0x74}, i32(answerAt), []byte{0x6a}, number, []byte{0x36, 2, 0},
		[]byte{0x20, 3, 0x41, 1, 0x6a, 0x21, 3, 0x0c, 0, 0x0b, 0x0b},
		i64(answerAt<<32), []byte{0x20, 2, 0x41, 2, 0x74, 0xad, 0x84}) // | length: 4 bytes per job
}

// Module assembles a module. A custom section holds name, so that modules of one kind have different
// hashes.
func Module(kind Kind, name string) []byte {
	version := int64(1)
	if kind == OtherVersion {
		version = 99
	}
	funcBody := func(locals, body []byte) []byte { return withLength(concat(locals, body, []byte{0x0b})) }
	return concat(
		[]byte("\x00asm\x01\x00\x00\x00"),
		section(
			1,
			vector(
				[]byte{0x60, 0, 1, 0x7f},
				[]byte{0x60, 1, 0x7f, 1, 0x7f},
				[]byte{0x60, 2, 0x7f, 0x7f, 1, 0x7e},
				[]byte{0x60, 2, 0x7f, 0x7f, 1, 0x7f},
			),
		),
		section(3, vector([]byte{0}, []byte{1}, []byte{2}, []byte{3})),
		section(5, vector([]byte{0, 0x80, 0x01})), // 128 pages
		section(7, exports(kind)),
		section(
			10,
			vector(
				funcBody([]byte{0}, i32(version)),
				funcBody([]byte{0}, i32(passAt)),
				funcBody([]byte{1, 2, 0x7f}, orderBody(kind)),
				funcBody([]byte{0}, i32(verdict(kind))),
			),
		),
		section(0, concat(withLength([]byte("which")), []byte("module "+name))),
	)
}

// orderBody returns the body of maddermill_order.
func orderBody(kind Kind) []byte {
	switch kind {
	case Identity, Refuser, InvalidVerdict:
		return writeAnswer([]byte{0x20, 3})
	case Reversed:
		return writeAnswer([]byte{0x20, 2, 0x20, 3, 0x6b, 0x41, 1, 0x6b})
	case RepeatedIndex:
		return writeAnswer(i32(0))
	case Loop:
		return []byte{0x03, 0x40, 0x0c, 0, 0x0b, 0x00}
	case MemoryExhaustion:
		return concat([]byte{0x03, 0x40}, i32(100), []byte{0x40, 0}, i32(-1), []byte{0x47, 0x0d, 0, 0x0b},
			i32(-8), i32(1), []byte{0x36, 2, 0}, i64(0))
	case AnswerOutOfBounds:
		return concat(i64(0x7fff0000<<32), []byte{0x20, 0, 0x28, 2, 4, 0x41, 2, 0x74, 0xad, 0x84})
	case ShortAnswer, ShortRanks:
		return i64(answerAt<<32 | 4)
	}
	return []byte{0x00} // unreachable
}

// exports returns the vector of a module's exports.
func exports(kind Kind) []byte {
	all := [][]byte{export("memory", 2, 0)}
	if kind == NoExports {
		return vector(all...)
	}
	all = append(all,
		export("maddermill_version", 0, 0), export("maddermill_alloc", 0, 1), export("maddermill_order", 0, 2))
	switch kind {
	case ShortRanks:
		all = append(all, export("maddermill_prefer", 0, 2))
	case Refuser, InvalidVerdict:
		all = append(all, export("maddermill_admit", 0, 3))
	}
	return vector(all...)
}

// verdict returns what maddermill_admit of a kind returns.
func verdict(kind Kind) int64 {
	switch kind {
	case Refuser:
		return 2
	case InvalidVerdict:
		return 7
	}
	return 0
}
