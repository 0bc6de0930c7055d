package committer

import (
	"context"
	"errors"
	"slices"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Timing of transactions.
const (
	commitTimeout = 2500 * time.Millisecond // for a transaction and the wait for its outcome
	retryDelay    = 100 * time.Millisecond  // after a transaction that the service refused
)

// timed sets the time of a transaction to the time of day and returns it.
func timed(txn *ledger.Transaction) *ledger.Transaction {
	txn.SetTime(wire.UnixMillis(time.Now().UnixMilli()))
	return txn
}

// Commit commits a transaction, waits until the records show its outcome, and returns the revision of
// that. After a conflict its error wraps a kvstore.ConflictError; after any other error the outcome is
// open.
func (c *Committer) Commit(ctx context.Context, txn wire.Txn) (wire.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	c.stats.Add("transactions_total", 1)
	revision, err := c.store.Commit(ctx, txn)
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		c.stats.Add("conflicts_total", 1)
		c.log.Debug("conflict", "keys", conflict.Failed)
		revision = conflict.Revision
	} else if err != nil {
		return 0, err
	}
	if err := c.records.WaitForRevision(ctx, revision); err != nil {
		return 0, err
	}
	return revision, err
}

// CommitNow commits one user's change at once and tries again after conflicts. An error of the
// draft is wrapped; kvstore.ErrUnreachable leaves the outcome open.
func (c *Committer) CommitNow(ctx context.Context, draft func(*ledger.Transaction) error) error {
	select {
	case c.userCommits <- struct{}{}:
		defer func() { <-c.userCommits }()
	case <-ctx.Done():
		return kvstore.ErrUnreachable
	}
	for ctx.Err() == nil {
		txn, err := c.draftOne(draft)
		if err != nil {
			return err
		}
		if len(txn.Then) == 0 {
			return nil
		}
		_, err = c.Commit(ctx, txn)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			if slices.ContainsFunc(conflict.Failed, ledger.IsFinalKey) {
				return ledger.ErrPreconditionFailed // the job is archived, which the records do not show
			}
		case errors.Is(err, kvstore.ErrRefused):
			wait.For(ctx, retryDelay)
		default:
			return errors.Join(kvstore.ErrUnreachable, err)
		}
	}
	return kvstore.ErrUnreachable
}

// draftOne drafts a transaction of one change over the newest records.
func (c *Committer) draftOne(draft func(*ledger.Transaction) error) (request wire.Txn, err error) {
	c.records.Read(func(l *ledger.Ledger) {
		txn := timed(l.NewTransaction())
		draftErr := draft(txn)
		request, err = txn.Request()
		err = errors.Join(draftErr, err)
	})
	return request, err
}
