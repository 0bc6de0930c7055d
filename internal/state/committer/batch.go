package committer

import (
	"context"
	"errors"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// maxExamined is how many changes of a long queue are tried once a batch is full.
const maxExamined = 200

// batch is what one transaction is made of.
type batch struct {
	changes []*Change // in the transaction
	left    []*Change // for later batches
	txn     wire.Txn
}

// commitBatch commits as many changes of a queue as fit and returns those left. A batch larger than
// what the budget has left would wait for it, fail, and be drafted anew without end; one that leaves
// nothing would keep users waiting.
func (c *Committer) commitBatch(ctx context.Context, queue []*Change) []*Change {
	// The budget may never hold more than a transaction's changes.
	enough := min(c.minBatch()+changesForUsers, c.opt.TxnOps)
	for c.store.AvailableChanges() < enough && ctx.Err() == nil {
		wait.For(ctx, c.batchInterval()/2)
	}
	b, err := c.draftBatch(queue, max(minTransaction, c.store.AvailableChanges()-changesForUsers))
	if len(b.txn.Then) == 0 {
		for _, ch := range b.changes {
			ch.done <- nil
		}
		return b.left
	}
	if err == nil {
		_, err = c.Commit(ctx, b.txn)
	}
	if err == nil {
		for _, ch := range b.changes {
			if ch.OnCommit != nil {
				ch.OnCommit()
			}
			ch.done <- nil
		}
		return b.left
	}
	c.stats.Add("transactions_failed_total", 1)
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		// Refused or unknown: if unknown it may still be executed, which the records then show; what is
		// tried again is conditioned on the same versions.
		c.log.Debug("batch failed", "changes", len(b.txn.Then), "err", err)
		wait.For(ctx, retryDelay)
	}
	// After a conflict all of the batch is drafted anew over newer records: what no longer holds is
	// refused there, and the rest is not lost to another change of the batch. Starts of a team with a
	// limit conflict with each other all the time.
	return append(b.changes, b.left...)
}

// draftBatch drafts a transaction of as much of a queue as fits into a number of changes. Changes whose
// draft fails, and those that have expired, get their outcome. It reorders the queue.
func (c *Committer) draftBatch(queue []*Change, size int) (b batch, err error) {
	c.records.Read(func(l *ledger.Ledger) {
		txn := timed(l.NewLimitedTransaction(size))
		now := time.Now()
		limited := false // best-effort changes have begun
		for i, ch := range order(queue, now) {
			if !limited && ch.yields(now) {
				limited = true
				txn.LimitChanges(c.bestEffortLimit(size))
			}
			switch {
			case ch.expired(now):
				ch.done <- ErrDropped
			case i > maxExamined && len(b.left) > 0:
				b.left = append(b.left, ch)
			default:
				// Also after a change that the transaction has no room for: many others only add to a
				// record that is in it.
				b.add(txn, ch)
			}
		}
		if len(b.changes) == 0 && len(b.left) > 0 && !b.left[0].yields(now) {
			// The first change alone is more than the budget has room for: commit it by itself, which
			// waits for the budget.
			first := b.left[0]
			b.left = b.left[1:]
			txn = timed(l.NewTransaction())
			b.add(txn, first)
		}
		b.txn, err = txn.Request()
	})
	return b, err
}

// add adds a change to the transaction of a batch, or leaves it for later if it has no room. A change
// whose draft fails otherwise gets its outcome.
func (b *batch) add(txn *ledger.Transaction, ch *Change) {
	switch err := ch.Draft(txn); {
	case err == nil:
		b.changes = append(b.changes, ch)
	case errors.Is(err, ledger.ErrTransactionFull):
		b.left = append(b.left, ch)
	default:
		ch.done <- err
	}
}

// bestEffortLimit returns how many changes a transaction may have in all once best-effort changes are
// added to it: what leaves the reserve, but at least a start's while the budget has a margin.
func (c *Committer) bestEffortLimit(size int) int {
	least := 0
	if c.hasMargin() {
		least = minTransaction
	}
	return max(least, size-c.reserve())
}
