// Package plugintest assembles small modules by hand, with no toolchain: a policy that is not
// written in Go, and modules that fail in each way that one can.
package plugintest

// Kind is what a module does when it is asked for an order.
type Kind string

// The kinds of modules.
const (
	Identity Kind = "identity" // the order in which the jobs come: by group and id
	Reversed Kind = "reversed" // the jobs of a pass of one group the other way round
	Trap     Kind = "trap"
	Loop     Kind = "loop"    // never ends
	Bomb     Kind = "bomb"    // takes memory until there is none, and writes there
	Zeros    Kind = "zeros"   // names the first job again and again
	Outside  Kind = "outside" // an answer that is not in its memory
	Short    Kind = "short"   // an answer of four bytes
	Other    Kind = "other"   // another version of the interface
	Bare     Kind = "bare"    // exports nothing but memory
	Refuser  Kind = "refuser" // Identity, and refuses every submission
	Unsure   Kind = "unsure"  // Identity, and gives verdicts that there are none of
	Partial  Kind = "partial" // Short, and ranks machines with as little
)

// Where modules have passes and answers in their memory of 8 MiB.
const (
	passAt   = 1 << 16
	answerAt = 4 << 20
)

func leb(n int64) []byte { // signed LEB128
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

func size(n int) []byte { // unsigned LEB128
	var b []byte
	for {
		c := byte(n & 0x7f)
		if n >>= 7; n == 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

func cat(parts ...[]byte) []byte {
	var b []byte
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

func list(parts ...[]byte) []byte         { return cat(size(len(parts)), cat(parts...)) }
func sized(b []byte) []byte               { return cat(size(len(b)), b) }
func section(id byte, body []byte) []byte { return cat([]byte{id}, sized(body)) }
func i32(n int64) []byte                  { return cat([]byte{0x41}, leb(n)) }
func i64(n int64) []byte                  { return cat([]byte{0x42}, leb(n)) }
func export(name string, kind, index byte) []byte {
	return cat(sized([]byte(name)), []byte{kind, index})
}

// fill writes a number a job, from the value on the stack after number, with the job's own in
// local 3 and their count in local 2, and returns the answer.
func fill(number []byte) []byte {
	return cat(
		[]byte{0x20, 0, 0x28, 2, 4, 0x21, 2}, // count: the pass's second word
		[]byte{0x02, 0x40, 0x03, 0x40},       // block, loop
		[]byte{0x20, 3, 0x20, 2, 0x4f, 0x0d, 1},
		[]byte{0x20, 3, 0x41, 2, 0x74}, i32(answerAt), []byte{0x6a}, number, []byte{0x36, 2, 0},
		[]byte{0x20, 3, 0x41, 1, 0x6a, 0x21, 3, 0x0c, 0, 0x0b, 0x0b},
		i64(answerAt<<32), []byte{0x20, 2, 0x41, 2, 0x74, 0xad, 0x84}) // | count·4
}

// Module assembles one. name is kept in it, so that two of a kind differ.
func Module(kind Kind, name string) []byte {
	version := int64(1)
	if kind == Other {
		version = 99
	}
	code := func(locals, body []byte) []byte { return sized(cat(locals, body, []byte{0x0b})) }
	return cat(
		[]byte("\x00asm\x01\x00\x00\x00"),
		section(
			1,
			list(
				[]byte{0x60, 0, 1, 0x7f},
				[]byte{0x60, 1, 0x7f, 1, 0x7f},
				[]byte{0x60, 2, 0x7f, 0x7f, 1, 0x7e},
				[]byte{0x60, 2, 0x7f, 0x7f, 1, 0x7f},
			),
		),
		section(3, list([]byte{0}, []byte{1}, []byte{2}, []byte{3})),
		section(5, list([]byte{0, 0x80, 0x01})), // 128 pages
		section(7, exports(kind)),
		section(
			10,
			list(
				code([]byte{0}, i32(version)),
				code([]byte{0}, i32(passAt)),
				code([]byte{1, 2, 0x7f}, orderBody(kind)),
				code([]byte{0}, i32(verdict(kind))),
			),
		),
		section(0, cat(sized([]byte("which")), []byte("module "+name))),
	)
}

// orderBody is the body of maddermill_order.
func orderBody(kind Kind) []byte {
	switch kind {
	case Identity, Refuser, Unsure:
		return fill([]byte{0x20, 3})
	case Reversed:
		return fill([]byte{0x20, 2, 0x20, 3, 0x6b, 0x41, 1, 0x6b})
	case Zeros:
		return fill(i32(0))
	case Loop:
		return []byte{0x03, 0x40, 0x0c, 0, 0x0b, 0x00}
	case Bomb:
		return cat([]byte{0x03, 0x40}, i32(100), []byte{0x40, 0}, i32(-1), []byte{0x47, 0x0d, 0, 0x0b},
			i32(-8), i32(1), []byte{0x36, 2, 0}, i64(0))
	case Outside:
		return cat(i64(0x7fff0000<<32), []byte{0x20, 0, 0x28, 2, 4, 0x41, 2, 0x74, 0xad, 0x84})
	case Short, Partial:
		return i64(answerAt<<32 | 4)
	}
	return []byte{0x00} // unreachable
}

// exports is the list of what a module exports.
func exports(kind Kind) []byte {
	all := [][]byte{export("memory", 2, 0)}
	if kind == Bare {
		return list(all...)
	}
	all = append(all,
		export("maddermill_version", 0, 0), export("maddermill_alloc", 0, 1), export("maddermill_order", 0, 2))
	switch kind {
	case Partial:
		all = append(all, export("maddermill_prefer", 0, 2))
	case Refuser, Unsure:
		all = append(all, export("maddermill_admit", 0, 3))
	}
	return list(all...)
}

// verdict is what maddermill_admit answers.
func verdict(kind Kind) int64 {
	switch kind {
	case Refuser:
		return 2
	case Unsure:
		return 7
	}
	return 0
}
