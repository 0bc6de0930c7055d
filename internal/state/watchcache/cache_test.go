package watchcache_test

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// listener counts the loads of the records.
type listener struct{ loads atomic.Int32 }

func (f *listener) Loaded()                                    { f.loads.Add(1) }
func (f *listener) Advanced(time.Time)                         {}
func (f *listener) JobArchived(wire.JobID, ledger.FinalRecord) {}

// instance is a cache with running goroutines.
type instance struct {
	*watchcache.Cache
	listener listener
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// start starts a cache of a member on a store.
func start(t *testing.T, member wire.MemberID, store kvstore.Store) *instance {
	t.Helper()
	in := &instance{}
	limits := ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: kvstore.MaxTxnBytes}
	opt := watchcache.Options{Member: member, Limits: limits, RequestRate: 60, NewestFormat: ledger.NewestFormat}
	in.Cache = watchcache.New(opt, store, &in.listener, metrics.New(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	in.cancel = cancel
	for _, run := range []func(context.Context) error{in.Watch, in.ServeReadIndex, in.AcquireTokens} {
		in.group.Go(func() {
			if err := run(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("%s: %v", member, err)
			}
		})
	}
	return in
}

// stop stops the goroutines of a cache.
func (in *instance) stop() {
	in.cancel()
	in.group.Wait()
}

// state returns the fencing token, the revision of the records and the time of the last sync.
func (in *instance) state() (token wire.FencingToken, revision wire.Revision, syncedAt time.Time) {
	in.Read(func(l *ledger.Ledger) { token, revision, syncedAt = in.Token(), l.Revision(), in.SyncedAt() })
	return token, revision, syncedAt
}

// memberTxn returns a transaction that changes the records.
func memberTxn() wire.Txn {
	return wire.Txn{Then: []wire.Change{{Put: ledger.MemberKey("m-9"), Value: []byte(`{}`)}}}
}

// laggingStore is a store whose watches return late.
type laggingStore struct{ kvstore.Store }

func (s laggingStore) Watch(
	ctx context.Context,
	prefix string,
	after wire.Revision,
	timeout time.Duration,
) (wire.Events, error) {
	events, err := s.Store.Watch(ctx, prefix, after, timeout)
	wait.For(ctx, 300*time.Millisecond)
	return events, err
}

// TestReadIndex checks that after ReadIndex the records include everything that was committed before the
// call, and that the last sync is not before the call. While the service is down, ReadIndex must fail and
// the time of the last sync must not change.
func TestReadIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(12, 4096)
		link := emulator.NewLink(store, 1)
		c := start(t, "m-0", laggingStore{link})
		defer c.stop()
		for range 3 {
			time.Sleep(time.Second) // the records are up to date
			committed, err := store.Apply(memberTxn())
			if err != nil {
				t.Fatal(err)
			}
			called := time.Now()
			if err := c.ReadIndex(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, revision, syncedAt := c.state(); revision < committed || syncedAt.Before(called) {
				t.Errorf("records at %d, synced at %v; want at least %d and %v", revision, syncedAt, committed, called)
			}
		}
		link.SetDown(true)
		time.Sleep(5 * time.Second)
		_, _, before := c.state()
		if err := c.ReadIndex(t.Context()); !errors.Is(err, kvstore.ErrUnreachable) {
			t.Errorf("without the service: error %v, want %v", err, kvstore.ErrUnreachable)
		}
		if _, _, syncedAt := c.state(); !syncedAt.Equal(before) {
			t.Errorf("without the service: synced at %v, want %v", syncedAt, before)
		}
	})
}

// TestTokens checks that controllers that start at the same time acquire different tokens, and that a
// controller acquires another one only if its token is not above a requested one.
func TestTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(12, 4096)
		var caches []*instance
		for i, member := range []wire.MemberID{"m-0", "m-1", "m-2"} {
			c := start(t, member, emulator.NewLink(store, uint64(i)))
			defer c.stop()
			caches = append(caches, c)
		}
		time.Sleep(5 * time.Second)
		seen := map[wire.FencingToken]bool{0: true}
		for i, c := range caches {
			token, _, _ := c.state()
			if seen[token] {
				t.Errorf("cache %d has token %d, which is 0 or a duplicate", i, token)
			}
			seen[token] = true
		}
		c := caches[0]
		first, _, _ := c.state()
		last := wire.FencingToken(len(caches)) // in the token record
		for _, tc := range []struct{ above, want wire.FencingToken }{
			{first - 1, first}, // exceeded already
			{first, last + 1},
			{last + 10, last + 11},
		} {
			c.RequestToken(tc.above)
			time.Sleep(5 * time.Second)
			if token, _, _ := c.state(); token != tc.want {
				t.Errorf("token %d after a request for one above %d, want %d", token, tc.above, tc.want)
			}
		}
	})
}

// compactingStore is a store whose first watch fails since the changes have been compacted.
type compactingStore struct {
	kvstore.Store
	compacted atomic.Bool
}

func (s *compactingStore) Watch(
	ctx context.Context,
	prefix string,
	after wire.Revision,
	timeout time.Duration,
) (wire.Events, error) {
	if s.compacted.CompareAndSwap(false, true) {
		return wire.Events{}, kvstore.ErrRevisionCompacted
	}
	return s.Store.Watch(ctx, prefix, after, timeout)
}

// TestReload checks that all records are reloaded when the changes to follow have been compacted.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, "m-0", &compactingStore{Store: emulator.NewLink(emulator.NewStore(12, 4096), 1)})
		defer c.stop()
		time.Sleep(time.Minute)
		if loads := c.listener.loads.Load(); loads != 2 {
			t.Errorf("records loaded %d times, want 2", loads)
		}
	})
}

// TestNewerFormat checks that Watch fails if this version does not support the format of the records.
func TestNewerFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(12, 4096)
		format, err := json.Marshal(ledger.FormatRecord{Format: ledger.NewestFormat + 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Apply(wire.Txn{Then: []wire.Change{{Put: ledger.FormatKey, Value: format}}}); err != nil {
			t.Fatal(err)
		}
		c := watchcache.New(watchcache.Options{}, emulator.NewLink(store, 1), &listener{}, metrics.New(),
			slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := c.Watch(ctx); !errors.Is(err, ledger.ErrNewerFormat) {
			t.Errorf("error %v, want %v", err, ledger.ErrNewerFormat)
		}
	})
}
