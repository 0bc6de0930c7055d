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
	tokenTimeout    = 3 * time.Second        // for one attempt
	tokenRetryDelay = 200 * time.Millisecond // after an attempt failed
	// tokenConflictDelay comes after an attempt that another controller was ahead of, as when all start
	// together: by then the records show the other's token.
	tokenConflictDelay = 10 * time.Millisecond
	// declareInterval is how often the record is checked for what this controller reads.
	declareInterval = time.Second
)

// RequestToken asks for a fencing token above one that a worker has accepted. It never waits; while a
// request is pending further ones are dropped, since the worker's next heartbeat asks again.
func (c *Cache) RequestToken(above wire.FencingToken) {
	select {
	case c.tokenRequest <- above:
	default:
	}
}

// AcquireTokens acquires a fencing token at the start and whenever one is requested above the one in
// use, until ctx ends.
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

// nextTokenRequest waits for a request that the token in use does not satisfy and returns the token
// that the new one is to exceed.
func (c *Cache) nextTokenRequest(ctx context.Context) (above wire.FencingToken, err error) {
	ticker := time.NewTicker(declareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-ticker.C:
			if err := c.declareFormat(ctx); err != nil {
				c.log.Debug("format read here not on record", "err", err)
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

// declareFormat puts on record again what this controller reads if a start of an older version, which takes a
// token without it, has removed it.
func (c *Cache) declareFormat(ctx context.Context) error {
	c.Lock()
	record, version := c.records.Token()
	c.Unlock()
	if record.FormatByMember[c.opt.Member] == c.opt.Reads {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	revision, err := c.commitToken(ctx, record.WithDeclaredFormat(c.opt.Member, c.opt.Reads), version)
	if err != nil {
		return fmt.Errorf("watchcache: declare the format read here: %w", err)
	}
	return c.WaitForRevision(ctx, revision)
}

// commitToken commits the record of fencing tokens, on the condition that it has a version.
func (c *Cache) commitToken(
	ctx context.Context,
	record ledger.TokenRecord,
	version wire.Revision,
) (wire.Revision, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode the record: %w", err)
	}
	return c.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: ledger.TokenKey, Version: version}},
		Then: []wire.Change{{Put: ledger.TokenKey, Value: value}},
	})
}

// acquireToken commits the next fencing token, above the last one on record and a given one, and has
// this controller use it. Its error wraps a kvstore.ConflictError when another controller was ahead.
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
	revision, err := c.commitToken(ctx, last.Next(token, c.opt.Member, c.opt.Reads), version)
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		return errors.Join(err, c.WaitForRevision(ctx, conflict.Revision))
	}
	if err != nil {
		return fmt.Errorf("watchcache: acquire fencing token %d: %w", token, err)
	}
	// Until the records hold everything older than the token, a command under it could release or
	// start what a predecessor has changed.
	if err := c.WaitForRevision(ctx, revision); err != nil {
		return err
	}
	c.Lock()
	c.token = token
	c.Unlock()
	c.log.Info("fencing token acquired", "token", token)
	return nil
}
