package scheduler_test

import (
	"testing"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// TestEmptyingIsAskedOfTheHolder: the controller that a machine reports to empties it, once, when the
// leader asks, and reserves the room; a request of another controller, or one that was made before a
// process pause, is ignored.
func TestEmptyingIsAskedOfTheHolder(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name     string
		from     wire.MemberID
		asked    time.Time
		reserved bool
	}{
		{"by the leader", "m-1", now, true},
		{"by another", "m-2", now, false},
		{"long ago", "m-1", now.Add(-time.Minute), false},
	} {
		p := controllertest.New(t, 0)
		watchcache.SetStateForTest(t, p.Cache, 0, now)
		p.Cache.Records().Apply(ledger.Event{Key: ledger.LeaderKey, Version: 1, Value: []byte(`{"by":"m-1","token":5}`)})
		p.Registry.Register(&wire.Heartbeat{Machine: "host-1"}, now)
		j := controllertest.AddJob(p.Cache.Records(), 2, wire.Gang, 4)
		ask := peer.Answer{
			AsOf: tc.asked,
			Status: peer.Status{
				Member: tc.from,
				PreemptionReservations: []peer.Reservation{
					{Machine: "host-1", Job: j.ID, Tasks: 2, RemainingMS: 5000},
					{Machine: "host-elsewhere", Job: j.ID, Tasks: 2, RemainingMS: 5000},
				},
			},
		}
		for range 2 {
			p.Scheduler.ObservePreemptionReservations(
				ask.Status.Member,
				ask.Status.PreemptionReservations,
				ask.AsOf,
				time.Now(),
			)
		}
		reserved := p.Scheduler.Snapshot(time.Now()).HeadReservations
		if job, ok := reserved["host-1"]; ok != tc.reserved || ok && job != j.ID || len(reserved) > 1 {
			t.Errorf("%s: reserved %v for %q, want %v for %q", tc.name, ok, job, tc.reserved, j.ID)
		}
	}
}
