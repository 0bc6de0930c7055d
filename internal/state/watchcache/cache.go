// Package watchcache maintains a controller's in-memory copy of the records in the state service. It
// loads all records, applies their changes from a watch, provides linearizable reads by a read index,
// and acquires the fencing tokens that this controller sends with commands to workers (docs/DESIGN.md,
// points 4 and 6).
//
// # Types
//
// A [Cache] holds the records as a ledger.Ledger, the time of the last sync, and the fencing token. A
// [Listener] is notified of changes to the records.
//
// # Locking
//
// Cache.Lock protects the records, the fencing token and the time of the last sync. A controller makes
// every decision that depends on records while it holds this lock. Methods that expect their caller to
// hold it say so. It is acquired before the lock of any other component and never held while waiting for
// the state service. The methods of Listener are called with it held.
//
// The queue of read index requests has its own lock, which is never held together with Cache.Lock.
//
// # Goroutines
//
// The controller runs three goroutines, once each, and stops them by their context: Watch, the only one
// that modifies the records; ServeReadIndex, the only one that sets the time of the last sync; and
// AcquireTokens, the only one that sets the fencing token. The package starts no goroutines.
//
// # Invariants
//
//   - The records include everything that was committed before SyncedAt.
//   - A fencing token is used only once the records include everything that was committed before the
//     token was acquired.
package watchcache

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Listener is notified of changes to the records. Its methods are called with the cache's lock held and
// must not block.
type Listener interface {
	// Loaded is called after all records were reloaded into a new ledger.
	Loaded()
	// Advanced is called after the records advanced to a newer revision.
	Advanced(now time.Time)
	// JobArchived is called for a job that was moved from the records to the archive.
	JobArchived(id wire.JobID, r ledger.FinalRecord)
}

// Options are the settings of a Cache.
type Options struct {
	Member       wire.MemberID // ID of this controller in the token record
	Limits       ledger.Limits
	RequestRate  float64 // this controller's share of the state service's requests per second
	NewestFormat int     // newest format of records that this controller supports
}

// Cache is one controller's copy of the records. Watch, ServeReadIndex and AcquireTokens must be called
// once each; all other methods may be called concurrently at any time.
type Cache struct {
	opt      Options
	store    kvstore.Store
	stats    *metrics.Set
	log      *slog.Logger
	listener Listener

	mu       sync.Mutex // guards the fields below
	records  *ledger.Ledger
	loaded   bool              // the records have been loaded
	advanced chan struct{}     // closed and replaced whenever the records advance
	token    wire.FencingToken // 0: none acquired yet
	syncedAt time.Time         // the records include everything committed before

	readIndex    readIndexQueue
	tokenRequest chan wire.FencingToken // holds at most one token that the next one must exceed
}

// New returns a cache that has not loaded any records yet.
func New(opt Options, store kvstore.Store, listener Listener, stats *metrics.Set, log *slog.Logger) *Cache {
	return &Cache{
		opt:          opt,
		store:        store,
		stats:        stats,
		log:          log,
		listener:     listener,
		records:      ledger.New(opt.Limits),
		advanced:     make(chan struct{}),
		readIndex:    readIndexQueue{wake: make(chan struct{}, 1)},
		tokenRequest: make(chan wire.FencingToken, 1),
	}
}

// Lock acquires the lock of the records. The time that it waits is recorded as a metric.
func (c *Cache) Lock() {
	if c.mu.TryLock() {
		return
	}
	start := time.Now()
	c.mu.Lock()
	c.stats.Observe("lock_wait_seconds", time.Since(start))
}

// Unlock releases the lock of the records.
func (c *Cache) Unlock() { c.mu.Unlock() }

// Read calls f with the records while it holds the lock. f must not block, nor retain the records after it
// returns, except in the draft of a change.
func (c *Cache) Read(f func(l *ledger.Ledger)) {
	c.Lock()
	defer c.Unlock()
	f(c.records)
}

// Records returns the records. The lock must be held as long as they are used, since a reload replaces
// them.
func (c *Cache) Records() *ledger.Ledger { return c.records }

// Loaded reports whether the records have been loaded. The lock must be held.
func (c *Cache) Loaded() bool { return c.loaded }

// Token returns the fencing token for commands to workers, or 0 if none has been acquired yet. The lock
// must be held.
func (c *Cache) Token() wire.FencingToken { return c.token }

// SyncedAt returns the time of the last sync, or the zero time if there was none. The records include
// everything that was committed before it. The lock must be held.
func (c *Cache) SyncedAt() time.Time { return c.syncedAt }

// SyncedWithin reports whether the records have been loaded and the last sync is less than the given
// duration before now. The lock must be held.
func (c *Cache) SyncedWithin(now time.Time, within time.Duration) bool {
	return c.loaded && now.Sub(c.syncedAt) < within
}

// advance sets the revision up to which the records include all changes, and wakes the callers of
// WaitForRevision. The lock must be held.
func (c *Cache) advance(to wire.Revision) {
	c.records.AdvanceRevision(to)
	c.listener.Advanced(time.Now())
	close(c.advanced)
	c.advanced = make(chan struct{})
}

// WaitForRevision waits until the records have been loaded and have advanced to a revision. If ctx is done
// first, it returns kvstore.ErrUnreachable.
func (c *Cache) WaitForRevision(ctx context.Context, r wire.Revision) error {
	for {
		c.Lock()
		reached, advanced := c.loaded && c.records.Revision() >= r, c.advanced
		c.Unlock()
		if reached {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return kvstore.ErrUnreachable
		}
	}
}
