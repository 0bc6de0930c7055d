package membership

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

type records struct {
	mu  sync.Mutex
	led *ledger.Ledger
}

func (r *records) Read(f func(*ledger.Ledger)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.led)
}

// TestLatePicture: a published picture that is written late, after newer ones of the same life of
// its controller, is passed over: machines that it names would seem to have been heard just now.
func TestLatePicture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(
			Options{Self: "m-0", Others: []wire.MemberID{"m-1"}, Count: 2},
			metrics.New(),
			slog.New(slog.DiscardHandler),
		)
		r := &records{led: ledger.New(ledger.Limits{})}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = m.ReadPublished(ctx, r) }()
		version := wire.Revision(0)
		publish := func(boot int64, rev wire.Revision) wire.Revision {
			version++
			b, err := json.Marshal(peer.Status{Version: peer.Version, Member: "m-1", Boot: boot, Revision: rev, Loaded: true})
			if err != nil {
				t.Fatal(err)
			}
			r.Read(func(l *ledger.Ledger) {
				l.Apply(ledger.Event{Key: ledger.MemberKey("m-1"), Value: b, Version: version})
			})
			time.Sleep(10 * time.Second)
			return m.Peer("m-1").Status.Revision
		}
		for _, tc := range []struct {
			boot      int64
			rev, want wire.Revision
		}{{1, 10, 10}, {1, 7, 10}, {1, 12, 12}, {2, 11, 11}} {
			if got := publish(tc.boot, tc.rev); got != tc.want {
				t.Errorf("life %d at %d: believed at %d, want %d", tc.boot, tc.rev, got, tc.want)
			}
		}
		if _, ok := m.CancellationsConfirmedUntil(100, time.Now()); ok {
			t.Error("a published picture vouches")
		}
		cancel()
		synctest.Wait()
	})
}
