package committer

import (
	"slices"
	"time"
)

// Parts of the write budget. A write is one wire.Change of a transaction: a put or a delete.
const (
	minTxnWrites     = 2 // the writes of a start: the records of its job and of its team
	userWriteReserve = 2 // writes that batches leave for users' requests
	minSpareWrites   = 5 // the least that SpareCapacity returns, unless it is 0
)

// Thresholds of the available budget, as fractions of the writes that this controller may make per second.
const (
	minBatchDivisor  = 8 // 1/8 of a second's writes must be available for a batch
	minMarginDivisor = 2 // 1/2 must be available beyond the reserve for best-effort changes
)

// batchInterval returns how long changes are collected for a batch: the time in which the write budget
// grows by one, but between 100 and 500 ms.
func (c *Committer) batchInterval() time.Duration {
	return time.Duration(float64(time.Second) / min(10, max(2, c.opt.WriteRate)))
}

// minBatchWrites returns how many writes must be available for a batch. It is small: when the budget is
// short, queues are long, so even a small batch combines many changes per record that it writes, and
// waiting for a larger budget would only keep machines idle.
func (c *Committer) minBatchWrites() int { return c.rateFraction(minBatchDivisor) }

// minMarginWrites returns how many writes must be available beyond the reserve for best-effort changes.
func (c *Committer) minMarginWrites() int { return c.rateFraction(minMarginDivisor) }

// rateFraction returns the writes per second divided by divisor, limited to the possible sizes of a
// transaction.
func (c *Committer) rateFraction(divisor float64) int {
	return max(minTxnWrites, min(c.opt.TxnOps, int(c.opt.WriteRate/divisor)))
}

// reservedWrites returns how many writes best-effort changes leave in the budget, so that a start of other
// work that is submitted next does not have to wait for the budget to refill.
func (c *Committer) reservedWrites() int { return c.opt.TxnOps / 2 }

// hasMargin reports whether the budget has room for a best-effort batch besides the reserve, or holds the
// writes of a full transaction: with small transactions it may never hold more.
func (c *Committer) hasMargin() bool {
	return c.store.AvailableChanges() >= min(c.reservedWrites()+c.minMarginWrites()+userWriteReserve, c.opt.TxnOps)
}

// deferBatch reports whether the next batch has to wait for the budget: the queue holds only best-effort
// changes, none of which has expired, and the budget has no margin beyond the reserve.
func (c *Committer) deferBatch(queue []*Change, now time.Time) bool {
	return !c.hasMargin() && !slices.ContainsFunc(queue, func(ch *Change) bool {
		return !ch.yields(now) || ch.expired(now)
	})
}

// SpareCapacity returns how many writes a transaction of background work may have now: 0 while changes wait
// to be taken up by Run or the budget has no margin, otherwise the available budget less the reserve.
func (c *Committer) SpareCapacity() int {
	if len(c.submitted) > 0 || !c.hasMargin() {
		return 0
	}
	return max(minSpareWrites, c.store.AvailableChanges()-c.reservedWrites())
}

// HasSpareCapacity reports whether the available budget exceeds the reserve. Unlike SpareCapacity it
// requires neither a margin nor an empty queue.
func (c *Committer) HasSpareCapacity() bool { return c.store.AvailableChanges() > c.reservedWrites() }
