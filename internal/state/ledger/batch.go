package ledger

import "maddermill/wire"

// Batch writes new values in transactions within the limits of the store. It is for keys that nobody reads
// before all are there, since the transactions are committed one after the other.
type Batch struct {
	Limits Limits
	Commit func([]wire.Change) error // commits one transaction

	changes []wire.Change
	bytes   int
}

// keyBytes is about how many bytes a change takes of a transaction besides its value: its key, and once
// more in a condition.
const keyBytes = 280

// Put adds a value. The values before it are committed first if it doesn't fit beside them.
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

// Flush commits the values that are left.
func (b *Batch) Flush() error {
	if len(b.changes) == 0 {
		return nil
	}
	changes := b.changes
	b.changes, b.bytes = nil, 0
	return b.Commit(changes)
}
