package watchcache

import (
	"context"
	"errors"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Timing of the watch.
const (
	watchWait       = 10 * time.Second       // how long the service holds a watch open without changes
	watchRetryDelay = 200 * time.Millisecond // after a watch failed
	loadRetryDelay  = 300 * time.Millisecond // after reading the records failed
	importDelay     = 2 * time.Second        // while an import of records is not complete
)

// loadPageSize is how many records are read at once.
const loadPageSize = 1000

// Watch reads all records and then follows their changes until ctx ends. Its error is ctx's, or wraps
// ledger.ErrNewerFormat when the records are of a format that this version does not read.
func (c *Cache) Watch(ctx context.Context) error {
	for ctx.Err() == nil {
		from, err := c.Load(ctx)
		switch {
		case errors.Is(err, ledger.ErrNewerFormat):
			return err
		case errors.Is(err, ledger.ErrImporting):
			c.log.Info("waiting until the import of records is complete")
			wait.For(ctx, importDelay)
		case err != nil:
			c.log.Debug("reading the state service failed", "err", err)
			wait.For(ctx, loadRetryDelay)
		default:
			if err := c.follow(ctx, from); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// follow applies all changes after a revision. It returns nil when ctx ends or when the service no
// longer has the changes, so that all records must be read anew.
func (c *Cache) follow(ctx context.Context, from wire.Revision) error {
	for ctx.Err() == nil {
		events, err := c.store.Watch(ctx, ledger.Prefix, from, watchWait)
		if errors.Is(err, kvstore.ErrRevisionCompacted) {
			c.log.Info("watch behind; reloading records")
			return nil
		}
		if err != nil {
			c.log.Debug("watch failed", "err", err)
			wait.For(ctx, watchRetryDelay)
			continue
		}
		if events.Revision < from {
			continue // older than the records: there is nothing to apply
		}
		from = events.Revision
		if err := c.apply(events); err != nil {
			return err
		}
	}
	return nil
}

// apply applies the changes up to a revision to the records. Its error is that of their format.
func (c *Cache) apply(events wire.Events) error {
	c.Lock()
	defer c.Unlock()
	for _, e := range events.Events {
		if e.Delete != "" {
			c.records.Apply(ledger.Event{Key: e.Delete, Version: e.Version})
		} else {
			c.records.Apply(ledger.Event{Key: e.Put, Value: e.Value, Version: e.Version})
		}
	}
	c.records.DrainArchivedJobs(c.follower.JobArchived)
	err := c.records.CheckFormat()
	c.advance(events.Revision)
	return err
}

// Load reads all records anew and replaces those held. The pages are of different revisions: the
// first one's is returned, a watch is to follow from there, and the version of each key keeps older
// changes from replacing newer ones.
func (c *Cache) Load(ctx context.Context) (wire.Revision, error) {
	records := ledger.New(c.opt.Limits)
	var from wire.Revision
	after := ""
	for first := true; ; first = false {
		page, err := c.store.List(ctx, ledger.Prefix, after, loadPageSize)
		if err != nil {
			return 0, err
		}
		if first {
			from = page.Revision
		}
		for _, item := range page.Items {
			records.Apply(ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version})
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	if err := records.CheckFormat(); err != nil {
		return 0, err
	}
	records.DrainNewlyReady() // whoever became ready before is no news
	known, active := records.Counts()
	c.log.Info("records loaded", "jobs", known, "active", active, "revision", from)
	c.Lock()
	defer c.Unlock()
	c.records = records
	c.loaded = true
	c.follower.Loaded()
	c.advance(from)
	return from, nil
}
