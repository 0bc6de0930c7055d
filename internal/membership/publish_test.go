package membership

import (
	"context"
	"encoding/json"
	"log/slog"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/unknownfield"
	"maddermill/wire"
)

// records implements Records.
type records struct {
	mu     sync.Mutex
	ledger *ledger.Ledger
}

func (r *records) Read(f func(*ledger.Ledger)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.ledger)
}

// newMembership returns the Membership of controller m-0 with m-1 as its only peer.
func newMembership(t *testing.T) *Membership {
	t.Helper()
	opt := Options{Self: "m-0", Others: []wire.MemberID{"m-1"}, ControllerCount: 2, MaxValueBytes: 2048}
	return New(opt, metrics.New(), slog.New(slog.DiscardHandler))
}

// TestPublishedLate checks that a published status is ignored if it is written after newer ones of the same
// run of its controller. Otherwise old heartbeats of its machines would count as recent.
func TestPublishedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMembership(t)
		r := &records{ledger: ledger.New(ledger.Limits{})}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = m.ReadPublished(ctx, r) }()
		version := wire.Revision(0)
		publish := func(boot int64, revision wire.Revision) wire.Revision {
			t.Helper()
			version++
			value, err := json.Marshal(peer.Status{
				Version:  peer.Version,
				Member:   "m-1",
				Boot:     boot,
				Revision: revision,
				Loaded:   true,
			})
			if err != nil {
				t.Fatal(err)
			}
			r.Read(func(l *ledger.Ledger) {
				l.Apply(ledger.Event{Key: ledger.MemberKey("m-1"), Value: value, Version: version})
			})
			time.Sleep(10 * time.Second)
			return m.Peer("m-1").Status.Revision
		}
		for _, tc := range []struct {
			boot           int64
			revision, want wire.Revision
		}{{1, 10, 10}, {1, 7, 10}, {1, 12, 12}, {2, 11, 11}} {
			if got := publish(tc.boot, tc.revision); got != tc.want {
				t.Errorf("run %d published revision %d: merged %d, want %d", tc.boot, tc.revision, got, tc.want)
			}
		}
		if _, ok := m.CancellationsConfirmedUntil(100, time.Now()); ok {
			t.Error("a published status confirms cancellations")
		}
		cancel()
		synctest.Wait()
	})
}

// TestPublishedIgnoresNamesInOtherCase guards against an unknown field of a status that a peer published replacing a
// known one.
func TestPublishedIgnoresNamesInOtherCase(t *testing.T) {
	status := peer.Status{
		Version:  peer.Version,
		Member:   "m-1",
		Boot:     5,
		Revision: 7,
		Machines: []peer.Machine{{ID: "host-1", Type: "g", Zone: "a", Spot: true, Epoch: 2, Token: 9, Usable: true}},
		Classes:  []peer.ClassRunTimes{{Class: "c", ActualSeconds: 10, EstimatedSeconds: 20, Count: 2}},
	}
	value, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	for kind, value := range unknownfield.Variants(string(value)) {
		m := newMembership(t)
		m.mergePublished("m-1", []byte(value), time.Now())
		if p := m.Peer("m-1"); p == nil || !reflect.DeepEqual(p.Status, status) {
			t.Errorf("%s: merged %+v, want the status %+v", kind, p, status)
		}
	}
}

// TestEncodeStatus checks that a status too large for a stored value is encoded without images, and then
// without some machines.
func TestEncodeStatus(t *testing.T) {
	const machines = 20
	for _, tc := range []struct {
		name     string
		maxBytes int
		images   bool
		whole    bool
	}{
		{"fits", 1 << 20, true, true},
		{"without images", 2048, false, true},
		{"without some machines", 512, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := peer.Status{Version: peer.Version, Member: "m-1"}
			for range machines {
				s.Machines = append(s.Machines, peer.Machine{
					ID:     "host-1",
					Zone:   "a",
					Images: []wire.Image{"image-of-some-length-1", "image-of-some-length-2"},
				})
			}
			value, err := encodeStatus(s, tc.maxBytes)
			if err != nil {
				t.Fatal(err)
			}
			if len(value) > tc.maxBytes {
				t.Errorf("%d bytes, want at most %d", len(value), tc.maxBytes)
			}
			var got peer.Status
			if err := exactjson.Unmarshal(value, &got); err != nil {
				t.Fatal(err)
			}
			if whole := len(got.Machines) == machines; whole != tc.whole || len(got.Machines) == 0 {
				t.Fatalf("%d machines of %d, want all: %v", len(got.Machines), machines, tc.whole)
			}
			if images := len(got.Machines[0].Images) > 0; images != tc.images {
				t.Errorf("images %v, want %v", images, tc.images)
			}
		})
	}
}
