package watchcache

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Timing of the acquisition of tokens.
const (
	tokenTimeout    = 3 * time.Second        // time limit of one attempt
	tokenRetryDelay = 200 * time.Millisecond // delay after a failed attempt
	// tokenConflictDelay is the delay after a conflict with another controller, as happens when all start
	// at the same time. It is short, since the records then already include the other's token.
	tokenConflictDelay = 10 * time.Millisecond
	// formatCheckInterval is how often the token record is checked for the format that this controller supports.
	formatCheckInterval = time.Second
)

// RequestToken requests a fencing token above one that a worker has accepted. It never blocks: while a
// request is pending, further ones are dropped, since the worker's next heartbeat triggers them again.
func (c *Cache) RequestToken(above wire.FencingToken) {
	select {
	case c.tokenRequest <- above:
	default:
	}
}

// AcquireTokens acquires a fencing token when it starts, and a new one whenever the token in use is not above
// a requested one, until ctx is done.
func (c *Cache) AcquireTokens(ctx context.Context) error {
	var above wire.FencingToken
	for {
		if err := c.acquireToken(ctx, above); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			c.log.Debug("no fencing token yet", "err", err)
			delay := tokenRetryDelay
			if conflict := new(kvstore.ConflictError); errors.As(err, &conflict) {
				delay = tokenConflictDelay
			}
			wait.For(ctx, delay)
			continue
		}
		var err error
		if above, err = c.nextTokenRequest(ctx); err != nil {
			return err
		}
	}
}

// nextTokenRequest waits for a request that the token in use does not satisfy and returns the token that
// the new one must exceed. While it waits, it keeps the supported format in the token record.
func (c *Cache) nextTokenRequest(ctx context.Context) (above wire.FencingToken, err error) {
	ticker := time.NewTicker(formatCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-ticker.C:
			if err := c.declareFormat(ctx); err != nil {
				c.log.Debug("declaring the supported record format failed", "err", err)
			}
			continue
		case above = <-c.tokenRequest:
		}
		c.Lock()
		token := c.token
		c.Unlock()
		if above >= token {
			return above, nil
		}
	}
}

// declareFormat restores this controller's entry in the token record, the newest format that it supports,
// if it is missing. A controller of an older version drops the entries when it starts, since it acquires a
// token without them.
func (c *Cache) declareFormat(ctx context.Context) error {
	c.Lock()
	record, version := c.records.Token()
	c.Unlock()
	if record.FormatByMember[c.opt.Member] == c.opt.NewestFormat {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	revision, err := c.commitToken(ctx, record.WithDeclaredFormat(c.opt.Member, c.opt.NewestFormat), version)
	if err != nil {
		return fmt.Errorf("watchcache: declare supported record format: %w", err)
	}
	return c.WaitForRevision(ctx, revision)
}

// commitToken commits the token record, on the condition that the stored one still has a version.
func (c *Cache) commitToken(
	ctx context.Context,
	record ledger.TokenRecord,
	version wire.Revision,
) (wire.Revision, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode token record: %w", err)
	}
	return c.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: ledger.TokenKey, Version: version}},
		Then: []wire.Change{{Put: ledger.TokenKey, Value: value}},
	})
}

// acquireToken commits a new fencing token, above both the last one in the token record and a given one, and
// then makes it the token in use. Its error wraps a kvstore.ConflictError if another controller committed
// a token first.
func (c *Cache) acquireToken(ctx context.Context, above wire.FencingToken) error {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	if err := c.WaitForRevision(ctx, 0); err != nil {
		return err
	}
	c.Lock()
	last, version := c.records.Token()
	c.Unlock()
	token := max(last.Last, above) + 1
	revision, err := c.commitToken(ctx, last.Next(token, c.opt.Member, c.opt.NewestFormat), version)
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		return errors.Join(err, c.WaitForRevision(ctx, conflict.Revision))
	}
	if err != nil {
		return fmt.Errorf("watchcache: acquire fencing token %d: %w", token, err)
	}
	// The token must not be used before the records include everything committed before it. Otherwise a
	// command under it could start or release tasks that a previous holder of a token has changed.
	if err := c.WaitForRevision(ctx, revision); err != nil {
		return err
	}
	c.Lock()
	c.token = token
	c.Unlock()
	c.log.Info("fencing token acquired", "token", token)
	return nil
}
