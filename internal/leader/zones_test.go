package leader

import (
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/wire"
)

// TestSilentZone: nothing is rented in a zone all of whose machines have fallen silent while others report;
// not so after a silence that the controller shares, nor for a few machines, and a heartbeat from there ends
// it. On a day with a zone cut off, two hundred machines were rented there that could not report.
func TestSilentZone(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name              string
		silentMachines    int           // in zone b
		silenceCountsFor  time.Duration // until now
		nextHeartbeat     time.Duration // until a machine of zone b reports, 0: none does
		wantLeftOutOfPlan bool
	}{
		{"cut off", 3, time.Minute, 0, true},
		{"too few to judge", 2, time.Minute, 0, false},
		{"our own silence", 3, time.Second, 0, false},
		{"reports again", 3, time.Minute, time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLeader(t)
			watchcache.SetStateForTest(t, l.Cache, 0, now)
			active := newTerm(l, nil, 0)
			active.startedAt = now.Add(-time.Hour)
			active.silenceCountsFrom = now.Add(-tc.silenceCountsFor)
			add := func(id wire.MachineID, zone wire.Zone, lastHeartbeat time.Time) {
				active.machines[id] = &machine{
					ListedMachine: wire.ListedMachine{ID: id, Zone: zone},
					lastHeartbeat: lastHeartbeat,
				}
			}
			for _, id := range []wire.MachineID{"a1", "a2", "a3"} {
				add(id, "a", now)
			}
			for _, id := range []wire.MachineID{"b1", "b2", "b3"}[:tc.silentMachines] {
				add(id, "b", now.Add(-20*time.Second))
			}
			active.updateSilentZones(now)
			if tc.nextHeartbeat > 0 {
				add("b4", "b", now.Add(tc.nextHeartbeat))
				active.updateSilentZones(now.Add(tc.nextHeartbeat))
			}
			if got := now.Before(active.silentZonesUntil["b"]); got != tc.wantLeftOutOfPlan {
				t.Errorf("zone b left out: got %v, want %v", got, tc.wantLeftOutOfPlan)
			}
			if now.Before(active.silentZonesUntil["a"]) {
				t.Error("zone a left out: got true, want false")
			}
		})
	}
}
