package leader

import (
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/wire"
)

// TestSilentZone checks that a zone is excluded from scale-out when all its machines have stopped sending
// heartbeats while machines elsewhere report. It is not excluded if the controller itself received nothing
// for that time or if the zone has too few machines, and a heartbeat from the zone ends the exclusion. When a
// zone was once cut off, two hundred machines were provisioned there that could not report.
func TestSilentZone(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name           string
		silentMachines int           // in zone b
		observedFor    time.Duration // how long this process has been observing heartbeats
		nextHeartbeat  time.Duration // time until a machine of zone b reports; 0: none does
		wantSilent     bool
	}{
		{"cut off", 3, time.Minute, 0, true},
		{"too few machines", 2, time.Minute, 0, false},
		{"controller was paused", 3, time.Second, 0, false},
		{"reports again", 3, time.Minute, time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLeader(t)
			watchcache.SetStateForTest(t, l.Cache, 0, now)
			active := newTerm(l, nil, 0)
			active.startedAt = now.Add(-time.Hour)
			active.observingSince = now.Add(-tc.observedFor)
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
			if got := now.Before(active.silentZonesUntil["b"]); got != tc.wantSilent {
				t.Errorf("zone b excluded: got %v, want %v", got, tc.wantSilent)
			}
			if now.Before(active.silentZonesUntil["a"]) {
				t.Error("zone a excluded: got true, want false")
			}
		})
	}
}
