package leader

import (
	"time"

	"maddermill/wire"
)

// minMachinesForZoneOutage is the minimum number of silent machines in a zone, and of reporting machines
// elsewhere, for the zone to count as silent.
const minMachinesForZoneOutage = 3

// zoneHeartbeats holds the number of a zone's machines that have sent heartbeats in this term (known), and of
// those that still do (reporting).
type zoneHeartbeats struct {
	known, reporting int
}

// updateSilentZones detects zones that are cut off: several machines there have sent heartbeats in this
// term but none does any longer, while machines elsewhere do. Machines provisioned in such a zone would cost
// money without being able to report, and the jobs planned for them would wait. A zone is used again after
// two worker leases, or as soon as one of its machines reports.
func (t *term) updateSilentZones(now time.Time) {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	t.updateObservingSince(now)
	silentAfter := l.set.HeartbeatTimeout()
	zones, reporting := t.countHeartbeats(now, silentAfter)
	for zone, count := range zones {
		switch {
		case count.reporting > 0:
			delete(t.silentZonesUntil, zone)
		case count.known >= minMachinesForZoneOutage && reporting >= minMachinesForZoneOutage &&
			now.Sub(t.observingSince) > silentAfter:
			if t.silentZonesUntil[zone].IsZero() {
				l.log.Info("zone is silent", "zone", zone, "machines", count.known)
			}
			t.silentZonesUntil[zone] = now.Add(2 * l.set.Cluster.Workers.Lease.Duration())
		}
	}
}

// countHeartbeats returns the heartbeat counts per zone, and the number of machines in all zones that have
// sent a heartbeat within silentAfter.
func (t *term) countHeartbeats(now time.Time, silentAfter time.Duration) (
	zones map[wire.Zone]zoneHeartbeats, reporting int,
) {
	zones = map[wire.Zone]zoneHeartbeats{}
	for _, m := range t.machines {
		if !m.lastHeartbeat.After(t.startedAt) {
			continue
		}
		count := zones[m.Zone]
		count.known++
		if now.Sub(m.lastHeartbeat) < silentAfter {
			count.reporting++
			reporting++
		}
		zones[m.Zone] = count
	}
	return zones, reporting
}
