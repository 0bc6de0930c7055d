package leader

import (
	"time"

	"maddermill/wire"
)

// minMachinesToJudgeZone is how many machines of a zone must be silent, and how many elsewhere must
// report, for the zone to be judged silent.
const minMachinesToJudgeZone = 3

// zoneHeartbeats counts the machines of a zone that have sent heartbeats in this term, and those of
// them that still do.
type zoneHeartbeats struct {
	known, reporting int
}

// updateSilentZones finds the zones that are cut off: several machines there have sent heartbeats in
// this term and none does any longer, while machines elsewhere do. What is rented in such a zone costs
// money and cannot report, and work that counts on it waits. A zone is used again after two leases of
// the workers, or as soon as a machine there reports.
func (t *term) updateSilentZones(now time.Time) {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	t.updateSilenceCountsFrom(now)
	silentAfter := l.set.SilentAfter()
	zones, reporting := t.countHeartbeats(now, silentAfter)
	for zone, count := range zones {
		switch {
		case count.reporting > 0:
			delete(t.silentZonesUntil, zone)
		case count.known >= minMachinesToJudgeZone && reporting >= minMachinesToJudgeZone &&
			now.Sub(t.silenceCountsFrom) > silentAfter:
			if t.silentZonesUntil[zone].IsZero() {
				l.log.Info("zone is silent", "zone", zone, "machines", count.known)
			}
			t.silentZonesUntil[zone] = now.Add(2 * l.set.Cluster.Workers.Lease.Duration())
		}
	}
}

// countHeartbeats counts by zone the machines that have sent heartbeats in this term, and in all zones
// those that have sent one within silentAfter.
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
