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

// maxExamined is the index in the queue after which changes are no longer drafted once the batch has turned
// one away.
const maxExamined = 200

// batch is a drafted transaction with the changes that it commits.
type batch struct {
	changes   []*Change // in the transaction
	remaining []*Change // to be drafted again for a later batch
	txn       wire.Txn
}

// commitBatch commits as many changes of a queue as fit into one transaction and returns the others. The
// size of the transaction is limited to the available write budget: a larger one would wait for the budget,
// time out, and be drafted again without end. Some of the budget is reserved for users' requests, which
// would otherwise have to wait.
func (c *Committer) commitBatch(ctx context.Context, queue []*Change) []*Change {
	// The budget may never accumulate more than the writes of one transaction.
	enough := min(c.minBatchWrites()+userWriteReserve, c.opt.TxnOps)
	for c.store.AvailableChanges() < enough && ctx.Err() == nil {
		wait.For(ctx, c.batchInterval()/2)
	}
	b, err := c.draftBatch(queue, max(minTxnWrites, c.store.AvailableChanges()-userWriteReserve))
	if len(b.txn.Then) == 0 {
		for _, ch := range b.changes {
			ch.done <- nil
		}
		return b.remaining
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
		return b.remaining
	}
	c.stats.Add("transactions_failed_total", 1)
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		// The transaction was not executed, or its outcome is unknown and it may still be executed. In that
		// case either the records show it when the changes are drafted again, or the conditions of the
		// retry fail, since they are on the same versions.
		c.log.Debug("batch failed", "changes", len(b.txn.Then), "err", err)
		wait.For(ctx, retryDelay)
	}
	// After a conflict, the whole batch is drafted again from newer records. A change that is no longer
	// valid fails in its draft, so that it does not take the rest of the batch with it. Conflicts are
	// frequent: starts of a team with a limit conflict with each other all the time.
	return append(b.changes, b.remaining...)
}

// draftBatch drafts a transaction of at most maxWrites writes from as many changes of a queue as fit. It
// completes changes that have expired or whose draft fails. It reorders the queue.
func (c *Committer) draftBatch(queue []*Change, maxWrites int) (b batch, err error) {
	c.records.Read(func(l *ledger.Ledger) {
		txn := stampTime(l.NewLimitedTransaction(maxWrites))
		now := time.Now()
		limited := false // set from the first best-effort change on
		for i, ch := range order(queue, now) {
			if !limited && ch.yields(now) {
				limited = true
				txn.LimitChanges(c.bestEffortLimit(maxWrites))
			}
			switch {
			case ch.expired(now):
				ch.done <- ErrDropped
			case i > maxExamined && len(b.remaining) > 0:
				b.remaining = append(b.remaining, ch)
			default:
				// Tried even after a change did not fit: many changes only modify a record that the
				// transaction already writes, and need no further write.
				b.add(txn, ch)
			}
		}
		if len(b.changes) == 0 && len(b.remaining) > 0 && !b.remaining[0].yields(now) {
			// The first change alone exceeds the available budget: it gets a transaction of its own, and
			// Commit waits for the budget.
			first := b.remaining[0]
			b.remaining = b.remaining[1:]
			txn = stampTime(l.NewTransaction())
			b.add(txn, first)
		}
		b.txn, err = txn.Request()
	})
	return b, err
}

// add drafts a change into the transaction of a batch. A change that does not fit is kept for a later batch;
// one whose draft fails for another reason is completed with that error.
func (b *batch) add(txn *ledger.Transaction, ch *Change) {
	switch err := ch.Draft(txn); {
	case err == nil:
		b.changes = append(b.changes, ch)
	case errors.Is(err, ledger.ErrTransactionFull):
		b.remaining = append(b.remaining, ch)
	default:
		ch.done <- err
	}
}

// bestEffortLimit returns the maximum number of writes of a transaction to which best-effort changes are
// added: maxWrites less the reserve, but at least those of one start while the budget has a margin.
func (c *Committer) bestEffortLimit(maxWrites int) int {
	least := 0
	if c.hasMargin() {
		least = minTxnWrites
	}
	return max(least, maxWrites-c.reservedWrites())
}
