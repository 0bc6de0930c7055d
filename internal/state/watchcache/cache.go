// Package watchcache holds a controller's copy of the records of the state service in memory. It
// reads all records, follows their changes by a watch, serves linearizable reads by a read index,
// and acquires the fencing tokens under which this controller commands workers (docs/DESIGN.md,
// points 4 and 6).
//
// # Types
//
// A [Cache] holds the records, as a ledger.Ledger, with the time of the last sync and the fencing
// token. A [Follower] is notified of changes of the records.
//
// # Locking
//
// Cache.Lock is the lock under which a controller decides anything from records: the records, the
// fencing token and the time of the last sync change only under it. Methods that read them without
// locking say so. It is taken before any lock of another part and never held while waiting for the
// state service. Follower's methods are called under it.
//
// The queue of read index requests has a lock of its own, which is never held together with
// Cache.Lock.
//
// # Goroutines
//
// The controller runs three, once each, and ends them by their context: Watch, the only one that
// changes the records; ServeReadIndex, the only one that changes the time of the last sync; and
// AcquireTokens, the only one that changes the fencing token. The package starts none itself.
//
// # Invariants
//
//   - All that was committed before SyncedAt is in the records.
//   - A fencing token is in use only after the records hold everything that was committed before it
//     was acquired.
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

// Follower is notified of changes of the records. Its methods are called under the cache's lock and
// must not wait.
type Follower interface {
	// Loaded is called after all records were read anew, which replaces the ledger.
	Loaded()
	// Advanced is called after the records advanced to a newer revision.
	Advanced(now time.Time)
	// JobArchived is called for a job that went into the archive and left the records.
	JobArchived(id wire.JobID, r ledger.FinalRecord)
}

// Options are the settings of a Cache.
type Options struct {
	Member   wire.MemberID // this controller, as named in the token record
	Limits   ledger.Limits
	Requests float64 // this controller's share of the state service's requests a second
	Reads    int     // the newest format of records that this controller reads
}

// Cache is the copy of the records that one controller holds. Watch, ServeReadIndex and AcquireTokens
// run once each; all other methods may be called at any time.
type Cache struct {
	opt      Options
	store    kvstore.Store
	stats    *metrics.Set
	log      *slog.Logger
	follower Follower

	mu       sync.Mutex // guards the fields below
	records  *ledger.Ledger
	loaded   bool              // the records have been read once
	advanced chan struct{}     // closed and replaced whenever the records advance
	token    wire.FencingToken // 0: none acquired yet
	syncedAt time.Time         // all that was committed before is in the records

	reads        readIndexQueue
	tokenRequest chan wire.FencingToken // holds one token that a new one is to exceed
}

// New returns a cache that has not read any records yet.
func New(opt Options, store kvstore.Store, follower Follower, stats *metrics.Set, log *slog.Logger) *Cache {
	return &Cache{
		opt:          opt,
		store:        store,
		stats:        stats,
		log:          log,
		follower:     follower,
		records:      ledger.New(opt.Limits),
		advanced:     make(chan struct{}),
		reads:        readIndexQueue{wake: make(chan struct{}, 1)},
		tokenRequest: make(chan wire.FencingToken, 1),
	}
}

// Lock takes the lock of the records. The time that it waits for the lock is measured.
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

// Read calls f with the records, under the lock. f must neither wait nor keep the records after it
// returns, other than in the draft of a change.
func (c *Cache) Read(f func(l *ledger.Ledger)) {
	c.Lock()
	defer c.Unlock()
	f(c.records)
}

// Records returns the records. The lock must be held, also while they are used: reading all records
// anew replaces them.
func (c *Cache) Records() *ledger.Ledger { return c.records }

// Loaded reports whether the records have been read. The lock must be held.
func (c *Cache) Loaded() bool { return c.loaded }

// Token returns the fencing token to command workers under; 0: none is acquired yet. The lock must be
// held.
func (c *Cache) Token() wire.FencingToken { return c.token }

// SyncedAt returns the time of the last sync: all that was committed before it is in the records.
// Zero: there was none. The lock must be held.
func (c *Cache) SyncedAt() time.Time { return c.syncedAt }

// SyncedWithin reports whether the records are read and the last sync is less than a duration
// before now. The lock must be held.
func (c *Cache) SyncedWithin(now time.Time, within time.Duration) bool {
	return c.loaded && now.Sub(c.syncedAt) < within
}

// advance notes that the records hold all changes up to a revision and wakes those who wait for it.
// The lock must be held.
func (c *Cache) advance(to wire.Revision) {
	c.records.AdvanceRevision(to)
	c.follower.Advanced(time.Now())
	close(c.advanced)
	c.advanced = make(chan struct{})
}

// WaitForRevision waits until the records have advanced to a revision. When ctx ends first, the error
// is kvstore.ErrUnreachable.
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
