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
	commitTimeout = 2500 * time.Millisecond // for a transaction and the wait until the records show its outcome
	retryDelay    = 100 * time.Millisecond  // after a transaction that was not executed
)

// stampTime sets the time of a transaction to the current time and returns the transaction.
func stampTime(txn *ledger.Transaction) *ledger.Transaction {
	txn.SetTime(wire.UnixMillis(time.Now().UnixMilli()))
	return txn
}

// Commit commits a transaction, waits until the local records include its outcome, and returns the revision
// of the outcome. After a conflict the error wraps a kvstore.ConflictError; after any other error the
// outcome is unknown.
func (c *Committer) Commit(ctx context.Context, txn wire.Txn) (wire.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	c.stats.Add("transactions_total", 1)
	revision, err := c.store.Commit(ctx, txn)
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		c.stats.Add("conflicts_total", 1)
		c.log.Debug("transaction conditions failed", "keys", conflict.Failed)
		revision = conflict.Revision
	} else if err != nil {
		return 0, err
	}
	if err := c.records.WaitForRevision(ctx, revision); err != nil {
		return 0, err
	}
	return revision, err
}

// CommitNow commits a user's change at once, bypassing the queue, and retries after conflicts. It wraps an
// error of the draft. After kvstore.ErrUnreachable the outcome is unknown.
func (c *Committer) CommitNow(ctx context.Context, draft func(*ledger.Transaction) error) error {
	select {
	case c.userCommitSlots <- struct{}{}:
		defer func() { <-c.userCommitSlots }()
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
				return ledger.ErrPreconditionFailed // the job is archived already, which the local records do not show
			}
		case errors.Is(err, kvstore.ErrRefused):
			wait.For(ctx, retryDelay)
		default:
			return errors.Join(kvstore.ErrUnreachable, err)
		}
	}
	return kvstore.ErrUnreachable
}

// draftOne drafts a transaction for one change from the newest records.
func (c *Committer) draftOne(draft func(*ledger.Transaction) error) (request wire.Txn, err error) {
	c.records.Read(func(l *ledger.Ledger) {
		txn := stampTime(l.NewTransaction())
		draftErr := draft(txn)
		request, err = txn.Request()
		err = errors.Join(draftErr, err)
	})
	return request, err
}
