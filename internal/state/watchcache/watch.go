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
	watchWait       = 10 * time.Second       // how long the service keeps a watch open without changes
	watchRetryDelay = 200 * time.Millisecond // delay after a failed watch
	loadRetryDelay  = 300 * time.Millisecond // delay after a failed load
	importDelay     = 2 * time.Second        // delay between loads while an import is incomplete
)

// loadPageSize is the number of records per page of a load.
const loadPageSize = 1000

// Watch loads all records and then applies their changes until ctx is done. It returns the error of ctx, or
// one that wraps ledger.ErrNewerFormat if this version does not support the format of the records.
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

// follow applies all changes after a revision. It returns nil if ctx is done, or if the service no longer
// has the changes, so that all records have to be reloaded.
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
			continue // older than the records: nothing to apply
		}
		from = events.Revision
		if err := c.apply(events); err != nil {
			return err
		}
	}
	return nil
}

// apply applies changes from a watch to the records. It returns an error if their format is not supported.
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
	c.records.DrainArchivedJobs(c.listener.JobArchived)
	err := c.records.CheckFormat()
	c.advance(events.Revision)
	return err
}

// Load reads all records into a new ledger and replaces the current one. The pages may be of different
// revisions. Load returns the revision of the first page, from which the watch has to continue; the watch
// then repeats some changes, which the ledger ignores if its version of the key is newer.
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
	records.DrainNewlyReady() // discard: what became ready before the load is not reported again
	total, active := records.Counts()
	c.log.Info("records loaded", "jobs", total, "active", active, "revision", from)
	c.Lock()
	defer c.Unlock()
	c.records = records
	c.loaded = true
	c.listener.Loaded()
	c.advance(from)
	return from, nil
}
