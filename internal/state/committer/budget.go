package committer

import (
	"slices"
	"time"
)

// Parts of the budget, in changes.
const (
	minTransaction  = 2 // a start's: its job's record and its team's
	changesForUsers = 2 // what batches leave for users' requests
	minSpare        = 5 // what SpareCapacity returns at least, unless it is none
)

// What is waited for, as parts of this controller's changes in a second.
const (
	minBatchPart  = 8 // an eighth: what the budget must hold for a batch
	minMarginPart = 2 // half: what it must hold beyond the reserve for best-effort changes
)

// batchInterval returns how long changes are collected for a batch: about as long as this controller's
// share of changes takes to grow by one, between 100 and 500 ms.
func (c *Committer) batchInterval() time.Duration {
	return time.Duration(float64(time.Second) / min(10, max(2, c.opt.Changes)))
}

// minBatch returns how many changes the budget must hold for a batch when it is short. With few
// changes to spare queues are long, and so batches collect enough for each record that they write; to
// wait for more only keeps machines idle.
func (c *Committer) minBatch() int { return c.shareOf(minBatchPart) }

// minMargin returns how many changes beyond the reserve best-effort changes wait for.
func (c *Committer) minMargin() int { return c.shareOf(minMarginPart) }

// shareOf returns a part of the changes of a second, within the bounds of a transaction.
func (c *Committer) shareOf(part float64) int {
	return max(minTransaction, min(c.opt.TxnOps, int(c.opt.Changes/part)))
}

// reserve returns the part of the budget that best-effort changes leave, so that a start of other work
// that comes the next moment need not wait for the budget to refill.
func (c *Committer) reserve() int { return c.opt.TxnOps / 2 }

// hasMargin reports whether the budget has room for a batch beside the reserve, or is as full as it may
// ever be: where transactions are small that is less.
func (c *Committer) hasMargin() bool {
	return c.store.AvailableChanges() >= min(c.reserve()+c.minMargin()+changesForUsers, c.opt.TxnOps)
}

// deferBatch reports whether a batch is to wait: the queue holds best-effort changes only, none of
// them to be dropped, and the budget little more than what they leave.
func (c *Committer) deferBatch(queue []*Change, now time.Time) bool {
	return !c.hasMargin() && !slices.ContainsFunc(queue, func(ch *Change) bool {
		return !ch.yields(now) || ch.expired(now)
	})
}

// SpareCapacity returns how many changes a transaction of background work may have now: none while
// changes wait in the queue or the budget is short, and otherwise what leaves the reserve.
func (c *Committer) SpareCapacity() int {
	if len(c.submitted) > 0 || !c.hasMargin() {
		return 0
	}
	return max(minSpare, c.store.AvailableChanges()-c.reserve())
}

// HasSpareCapacity reports whether the budget has more than what best-effort changes leave.
func (c *Committer) HasSpareCapacity() bool { return c.store.AvailableChanges() > c.reserve() }
