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

// TestOnlyLeaderRequestsPreemption verifies that the controller that a machine reports to reserves
// it and preempts on it, once, when the leader requests this. A request from another controller, or
// one made before the process was paused, is ignored.
func TestOnlyLeaderRequestsPreemption(t *testing.T) {
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
		answer := peer.Response{
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
				answer.Status.Member,
				answer.Status.PreemptionReservations,
				answer.AsOf,
				time.Now(),
			)
		}
		reserved := p.Scheduler.Snapshot(time.Now()).HeadReservations
		if job, ok := reserved["host-1"]; ok != tc.reserved || ok && job != j.ID || len(reserved) > 1 {
			t.Errorf("%s: machine reserved %v for %q, want %v for %q", tc.name, ok, job, tc.reserved, j.ID)
		}
	}
}
