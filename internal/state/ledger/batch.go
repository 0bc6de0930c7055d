package ledger

import "maddermill/wire"

// Batch writes new values in as many transactions as the limits of the store require. The transactions are
// committed one after another, so it is only for keys that nobody reads before all of them are written.
type Batch struct {
	Limits Limits
	Commit func([]wire.Change) error // commits one transaction

	changes []wire.Change
	bytes   int
}

// changeOverheadBytes is the approximate size of a change in a transaction without its value: its key, which
// appears a second time in a condition.
const changeOverheadBytes = 280

// Put adds a value. If it doesn't fit into the current transaction, the pending values are committed first.
func (b *Batch) Put(key string, value []byte) error {
	n := len(value) + changeOverheadBytes
	if len(b.changes) == b.Limits.TxnOps || b.bytes+n > b.Limits.TxnBytes {
		if err := b.Flush(); err != nil {
			return err
		}
	}
	b.bytes += n
	b.changes = append(b.changes, wire.Change{Put: key, Value: value})
	return nil
}

// Flush commits the pending values.
func (b *Batch) Flush() error {
	if len(b.changes) == 0 {
		return nil
	}
	changes := b.changes
	b.changes, b.bytes = nil, 0
	return b.Commit(changes)
}
