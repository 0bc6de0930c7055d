package ledger

import "maddermill/wire"

// Batch gathers new values into transactions within the limits of a state service. They are for
// keys that nobody reads before all are there, since they land one transaction after the other.
type Batch struct {
	Limits Limits
	Commit func([]wire.Change) error // writes some of them

	changes []wire.Change
	bytes   int
}

// keyBytes is about what a key takes of a transaction besides its value, twice with a condition.
const keyBytes = 280

// Put adds a value. Those before are written if it doesn't fit beside them.
func (b *Batch) Put(key string, value []byte) error {
	n := len(value) + keyBytes
	if len(b.changes) == b.Limits.TxnOps || b.bytes+n > b.Limits.TxnBytes {
		if err := b.Flush(); err != nil {
			return err
		}
	}
	b.bytes += n
	b.changes = append(b.changes, wire.Change{Put: key, Value: value})
	return nil
}

// Flush writes what is left.
func (b *Batch) Flush() error {
	if len(b.changes) == 0 {
		return nil
	}
	changes := b.changes
	b.changes, b.bytes = nil, 0
	return b.Commit(changes)
}
