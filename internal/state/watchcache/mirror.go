// Package watchcache is the part of a controller that holds the records of the state service in
// memory: it reads them all, follows their changes, tells how fresh it is, and takes the
// tokens under which this controller commands workers (docs/DESIGN.md, points 4 and 6).
//
// Its lock is the one under which a controller decides anything from records. Records is for
// whoever holds it; a part that needs records is given them by somebody who does.
package watchcache

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Follower is told of what the mirror sees, under its lock. It must not wait.
type Follower interface {
	// Loaded: the records were read anew and are others than before.
	Loaded()
	// Advanced: the records moved on.
	Advanced(now time.Time)
	// Moved: a job was archived and is no longer among the records.
	JobArchived(id wire.JobID, r ledger.FinalRecord)
}

// Options are the settings of a mirror.
type Options struct {
	Member   wire.MemberID
	Limits   ledger.Limits
	Requests float64 // a second, this controller's share
	Reads    int     // the newest format of records that this controller reads
}

// Cache is that part of a controller. Watch, ReadBarriers and TakeTokens run once each.
type Cache struct {
	opt      Options
	store    kvstore.Store
	stats    *metrics.Set
	log      *slog.Logger
	follower Follower

	mu       sync.Mutex
	led      *ledger.Ledger
	loaded   bool
	advanced chan struct{} // closed whenever the records advance
	token    wire.FencingToken
	contact  time.Time // all that was committed before is in the records

	pendingMu sync.Mutex
	nextRead  *barrier
	barriers  chan *barrier
	wantToken chan wire.FencingToken
}

// New returns a mirror that hasn't read anything yet.
func New(opt Options, store kvstore.Store, follower Follower, stats *metrics.Set, log *slog.Logger) *Cache {
	return &Cache{opt: opt, store: store, stats: stats, log: log, follower: follower, led: ledger.New(opt.Limits),
		advanced: make(chan struct{}), barriers: make(chan *barrier, 1), wantToken: make(chan wire.FencingToken, 1)}
}

// Lock takes the lock of the records. What is waited for it is measured.
func (m *Cache) Lock() {
	if m.mu.TryLock() {
		return
	}
	began := time.Now()
	m.mu.Lock()
	m.stats.Observe("lock_wait_seconds", time.Since(began))
}

// Unlock gives the lock back.
func (m *Cache) Unlock() { m.mu.Unlock() }

// Read gives f the records under the lock. f must not wait, nor keep them beyond drafts.
func (m *Cache) Read(f func(l *ledger.Ledger)) {
	m.Lock()
	defer m.Unlock()
	f(m.led)
}

// Records are the mirrored records, for whoever holds the lock. After a new reading they are
// others.
func (m *Cache) Records() *ledger.Ledger { return m.led }

// Loaded reports, under the lock, whether the records have been read.
func (m *Cache) Loaded() bool { return m.loaded }

// Token is, under the lock, the token to command workers under; 0: none yet.
func (m *Cache) Token() wire.FencingToken { return m.token }

// SyncedAt is, under the lock, a time before which all that was committed is in the records;
// zero: never.
func (m *Cache) SyncedAt() time.Time { return m.contact }

// SyncedWithin reports, under the lock, whether the records are read and the last contact is less
// than a time ago.
func (m *Cache) SyncedWithin(now time.Time, within time.Duration) bool {
	return m.loaded && now.Sub(m.contact) < within
}

// SetForTest has the mirror take its records for read, a token for its own and a contact for
// made, under the lock. It is for tests of other parts.
func (m *Cache) SetForTest(token wire.FencingToken, contact time.Time) {
	m.loaded, m.token, m.contact = true, token, contact
}

// watchWait is how long a watch is left open.
const watchWait = 10 * time.Second

// Watch reads all records, then follows the changes, until ctx ends. Records of a format that
// this version can't read end it.
func (m *Cache) Watch(ctx context.Context) error {
	for ctx.Err() == nil {
		at, err := m.Load(ctx)
		if errors.Is(err, ledger.ErrNewerFormat) {
			return err
		}
		if errors.Is(err, ledger.ErrImporting) {
			m.log.Info("waiting until the import of records is complete")
			wait.For(ctx, 2*time.Second)
			continue
		}
		if err != nil {
			m.log.Debug("reading the state service failed", "err", err)
			wait.For(ctx, 300*time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			ev, err := m.store.Watch(ctx, ledger.Prefix, at, watchWait)
			if errors.Is(err, kvstore.ErrRevisionCompacted) {
				m.log.Info("watch behind; reloading records")
				break
			}
			if err != nil {
				m.log.Debug("watch failed", "err", err)
				wait.For(ctx, 200*time.Millisecond)
				continue
			}
			if ev.Revision < at {
				continue
			}
			at = ev.Revision
			if err := m.apply(ev); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// apply takes over the changes up to a revision.
func (m *Cache) apply(ev wire.Events) error {
	m.Lock()
	defer m.Unlock()
	for _, e := range ev.Events {
		if e.Delete != "" {
			m.led.Apply(ledger.Event{Key: e.Delete, Version: e.Version})
		} else {
			m.led.Apply(ledger.Event{Key: e.Put, Value: e.Value, Version: e.Version})
		}
	}
	m.led.ArchivedJobs(m.follower.JobArchived)
	err := m.led.CheckFormat()
	m.advance(ev.Revision)
	return err
}

// Load reads all records anew. Pages are of different revisions; a watch goes on from the
// first one's, which is returned, and each key's version keeps it in order.
func (m *Cache) Load(ctx context.Context) (wire.Revision, error) {
	led := ledger.New(m.opt.Limits)
	var from wire.Revision
	after := ""
	for first := true; ; first = false {
		page, err := m.store.List(ctx, ledger.Prefix, after, 1000)
		if err != nil {
			return 0, err
		}
		if first {
			from = page.Revision
		}
		for _, it := range page.Items {
			led.Apply(ledger.Event{Key: it.Key, Value: it.Value, Version: it.Version})
			after = it.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	if err := led.CheckFormat(); err != nil {
		return 0, err
	}
	known, active := led.Counts()
	m.log.Info("records loaded", "jobs", known, "active", active, "revision", from)
	m.Lock()
	defer m.Unlock()
	m.led = led
	m.loaded = true
	m.follower.Loaded()
	m.advance(from)
	return from, nil
}

func (m *Cache) advance(to wire.Revision) {
	m.led.AdvanceRevision(to)
	m.follower.Advanced(time.Now())
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// WaitForRevision waits until the records have caught up to a revision.
func (m *Cache) WaitForRevision(ctx context.Context, r wire.Revision) error {
	for {
		m.Lock()
		ok, ch := m.loaded && m.led.Revision() >= r, m.advanced
		m.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return kvstore.ErrUnreachable
		}
	}
}

// barrier is one read of the store's revision that many requests wait for.
type barrier struct {
	done chan struct{}
	err  error
}

// ReadIndex returns once the records hold all that was committed before the call.
func (m *Cache) ReadIndex(ctx context.Context) error {
	m.pendingMu.Lock()
	b := m.nextRead
	if b == nil {
		b = &barrier{done: make(chan struct{})}
		m.nextRead = b
		select {
		case m.barriers <- b:
		default:
		}
	}
	m.pendingMu.Unlock()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return kvstore.ErrUnreachable
	}
}

// barrierShare is the part of a controller's share of requests that barriers may take.
const barrierShare = 0.4

// ServeReadIndex runs the reads that Fresh asks for, one after the other, and one a second by
// itself so that contact is known, until ctx ends.
func (m *Cache) ServeReadIndex(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(m.opt.Requests*barrierShare), 2)
	idle := time.NewTicker(time.Second)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.barriers:
		case <-idle.C:
		}
		if limiter.Wait(ctx) != nil {
			return ctx.Err()
		}
		m.pendingMu.Lock()
		b := m.nextRead
		m.nextRead = nil
		select {
		case <-m.barriers:
		default:
		}
		m.pendingMu.Unlock()
		began := time.Now()
		err := m.readBarrier(ctx)
		if err == nil {
			m.Lock()
			m.contact = began
			m.Unlock()
		}
		if b != nil {
			if err != nil {
				b.err = kvstore.ErrUnreachable
			}
			close(b.done)
		}
	}
}

func (m *Cache) readBarrier(ctx context.Context) error {
	rev, err := m.store.Revision(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	return m.WaitForRevision(ctx, rev)
}

// RequestToken asks for a token above one that a worker showed. It never waits.
func (m *Cache) RequestToken(above wire.FencingToken) {
	select {
	case m.wantToken <- above:
	default:
	}
}

// AcquireTokens takes a token at the start and whenever a worker shows a higher one, until ctx
// ends.
func (m *Cache) AcquireTokens(ctx context.Context) error {
	var above wire.FencingToken
	for {
		if err := m.takeToken(ctx, above); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			m.log.Debug("no fencing token yet", "err", err)
			pause := 200 * time.Millisecond
			if conflict := new(kvstore.ConflictError); errors.As(err, &conflict) {
				// Another took one at the same moment, as when all start together: the records
				// show it by now.
				pause = 10 * time.Millisecond
			}
			wait.For(ctx, pause)
			continue
		}
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case above = <-m.wantToken:
			}
			m.Lock()
			have := m.token
			m.Unlock()
			if above >= have {
				break
			}
		}
	}
}

func (m *Cache) takeToken(ctx context.Context, above wire.FencingToken) error {
	waiting, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := m.WaitForRevision(waiting, 0); err != nil {
		return err
	}
	m.Lock()
	last, version := m.led.Token()
	m.Unlock()
	mine := max(last.Last, above) + 1
	value, err := json.Marshal(last.Next(mine, m.opt.Member, m.opt.Reads))
	if err != nil {
		return err
	}
	rev, err := m.store.Commit(waiting, wire.Txn{
		If:   []wire.Condition{{Key: ledger.TokenKey, Version: version}},
		Then: []wire.Change{{Put: ledger.TokenKey, Value: value}}})
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		return errors.Join(err, m.WaitForRevision(waiting, conflict.Revision))
	}
	if err != nil {
		return err
	}
	// Acting under the token before the records hold everything older than it could release
	// or start what a predecessor has changed.
	if err := m.WaitForRevision(waiting, rev); err != nil {
		return err
	}
	m.Lock()
	m.token = mine
	m.Unlock()
	m.log.Info("fencing token acquired", "token", mine)
	return nil
}
