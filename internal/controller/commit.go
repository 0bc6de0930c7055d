package controller

import (
	"context"
	"errors"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/state"
	"maddermill/wire"
)

// change is one step to be made durable. Its draft function may run several
// times, each time over a newer ledger.
type change struct {
	draft func(*ledger.Draft) error
	drop  bool // a start: given up after until
	until time.Time
	done  chan error // gets one value
}

var errDropped = errors.New("controller: start dropped")

// enqueue adds a change to the next batch.
func (c *Core) enqueue(ch *change) {
	ch.done = make(chan error, 1)
	select {
	case c.submitted <- ch:
	default:
		ch.done <- errDropped // the queue is full: the next report asks again
	}
}

// batchEvery is how long changes of reports are gathered: about as long as this
// controller's share of changes takes to grow by one.
func (c *Core) batchEvery() time.Duration {
	perSecond := c.set.Cluster.State.WriteRPS / float64(c.set.Cluster.Count)
	return time.Duration(float64(time.Second) / min(10, max(2, perSecond)))
}

// changesForUsers is what batches leave of the budget for users' requests.
const changesForUsers = 2

// writeBatches commits what reports and duties ask for, gathered into one
// transaction at a time.
func (c *Core) writeBatches(ctx context.Context) error {
	var queue []*change
	for {
		if len(queue) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case ch := <-c.submitted:
				queue = append(queue, ch)
			}
			sleep(ctx, c.batchEvery()/4)
		}
	gather:
		for {
			select {
			case ch := <-c.submitted:
				queue = append(queue, ch)
			default:
				break gather
			}
		}
		began := time.Now()
		queue = c.writeBatch(ctx, queue)
		if rest := c.batchEvery() - time.Since(began); rest > 0 {
			sleep(ctx, rest)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// writeBatch commits as many changes as fit and returns those left. A batch larger
// than what the budget has left would wait for it, be given up, and be drafted anew
// for ever; one that leaves nothing would keep users waiting.
func (c *Core) writeBatch(ctx context.Context, queue []*change) []*change {
	changes := c.store.Changes() - changesForUsers
	if changes < 2 {
		sleep(ctx, c.batchEvery())
		changes = max(2, c.store.Changes()-changesForUsers)
	}
	c.mu.Lock()
	d := c.led.NewDraftOf(changes)
	var in, left []*change
	now := time.Now()
	full := false
	for _, ch := range queue {
		if ch.drop && now.After(ch.until) {
			ch.done <- errDropped
			continue
		}
		if full {
			left = append(left, ch)
			continue
		}
		switch err := ch.draft(d); {
		case err == nil:
			in = append(in, ch)
		case errors.Is(err, ledger.ErrFull):
			full = true
			left = append(left, ch)
		default:
			ch.done <- err
		}
	}
	if full && len(in) == 0 {
		// The first alone is more than the budget has room for: let it wait.
		d = c.led.NewDraft()
		if err := left[0].draft(d); err == nil {
			in, left = left[:1:1], left[1:]
		} else if !errors.Is(err, ledger.ErrFull) {
			left[0].done <- err
			left = left[1:]
		}
	}
	txn, err := d.Txn()
	c.mu.Unlock()
	if len(txn.Then) == 0 {
		for _, ch := range in {
			ch.done <- nil
		}
		return left
	}
	if err == nil {
		err = c.commit(ctx, txn)
	}
	if err == nil {
		for _, ch := range in {
			ch.done <- nil
		}
		return left
	}
	c.Stats.Add("transactions_failed_total", 1)
	var conflict *state.Conflict
	if !errors.As(err, &conflict) {
		// Refused or unknown: if unknown it may still land, which then shows in
		// the ledger; what is tried again is conditioned on the same versions.
		c.log.Debug("batch failed", "changes", len(txn.Then), "err", err)
		sleep(ctx, 100*time.Millisecond)
	}
	// After a conflict all of the batch is drafted anew over the newer ledger: what
	// no longer holds is refused there, and the rest is not lost to a neighbour in
	// the batch. Starts of a capped team conflict with each other all the time.
	return append(in, left...)
}

// commit runs a transaction and waits until the ledger shows its outcome.
func (c *Core) commit(ctx context.Context, txn wire.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	c.Stats.Add("transactions_total", 1)
	rev, err := c.store.Commit(ctx, txn)
	var conflict *state.Conflict
	if errors.As(err, &conflict) {
		c.Stats.Add("conflicts_total", 1)
		c.log.Debug("conflict", "keys", conflict.Failed)
		rev = conflict.Revision
	} else if err != nil {
		return err
	}
	if e := c.reach(ctx, rev); e != nil {
		return e
	}
	return err
}

// commitNow commits one user's change at once, trying again on conflicts. An
// error other than the draft's own leaves the outcome open.
func (c *Core) commitNow(ctx context.Context, draft func(*ledger.Draft) error) error {
	select {
	case c.userCommit <- struct{}{}:
		defer func() { <-c.userCommit }()
	case <-ctx.Done():
		return ErrUnavailable
	}
	for ctx.Err() == nil {
		c.mu.Lock()
		d := c.led.NewDraft()
		err := draft(d)
		txn, e := d.Txn()
		c.mu.Unlock()
		if err = errors.Join(err, e); err != nil {
			return err
		}
		if len(txn.Then) == 0 {
			return nil
		}
		err = c.commit(ctx, txn)
		var conflict *state.Conflict
		if errors.As(err, &conflict) {
			continue
		}
		if errors.Is(err, state.ErrRefused) {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		if err != nil {
			return errors.Join(ErrUnavailable, err)
		}
		return nil
	}
	return ErrUnavailable
}
