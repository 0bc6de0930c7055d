package scheduler

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/policy"
	"maddermill/wire"
)

// A snapshot of the queue and all machines is reused for some time, because the cost of taking one
// grows with the number of jobs and machines. Between snapshots, each heartbeat, claim and start
// updates only the affected machine.
const (
	minSnapshotInterval = time.Second
	maxSnapshotInterval = 5 * time.Second // upper bound, regardless of cluster size
)

// snapshotShare is the fraction of a controller's CPU quota that taking snapshots may use.
const snapshotShare = 0.25

// deferColdHeartbeats is how many heartbeat intervals a task waits for a machine that has its image
// cached.
const deferColdHeartbeats = 3

// SnapshotInterval returns how long to reuse a snapshot that took the given time to take. With ten
// thousand machines, a fixed interval would use up a small CPU quota on snapshots alone.
func (s *Scheduler) SnapshotInterval(took time.Duration) time.Duration {
	share := s.set.Cluster.Quota.CPUShare
	if share <= 0 || share > 1 {
		share = 1
	}
	interval := time.Duration(float64(took) / (share * snapshotShare))
	return min(maxSnapshotInterval, max(minSnapshotInterval, interval))
}

// Snapshot returns the snapshot for placement decisions at now, and takes a new one if there is
// none or the current one has reached its interval. It is valid while the watch cache lock is held.
func (s *Scheduler) Snapshot(now time.Time) *placement.Snapshot {
	if s.snapshot == nil || now.Sub(s.snapshotAt) > s.SnapshotInterval(s.snapshotDuration) {
		s.snapshotAt = now
		s.snapshot = s.takeSnapshot(now)
		s.snapshotDuration = time.Since(now)
	}
	s.snapshot.Now = now
	return s.snapshot
}

// InvalidateSnapshot makes the next decision take a new snapshot.
func (s *Scheduler) InvalidateSnapshot() { s.snapshot = nil }

// SnapshotsTaken returns the number of snapshots taken so far.
func (s *Scheduler) SnapshotsTaken() int { return s.snapshotsTaken }

// takeSnapshot takes a new snapshot. The order of reservations matters: first for the head of the
// queue and for preemption, then for overdue gangs, then for gangs that fit now, and last the team
// quota reservations, which depend on the others.
func (s *Scheduler) takeSnapshot(now time.Time) *placement.Snapshot {
	s.records().DrainChangedMachines(func(wire.MachineID) {}) // the new snapshot reads all machines
	v := &placement.Snapshot{
		Now:                now,
		Queue:              s.queue(now),
		RemainingTeamQuota: s.records().RemainingTeamQuota,
		Machines:           s.machines(now),
		Tree:               s.topology.Tree(),
		Limits: placement.Limits{
			MaxJobs:           s.set.StateLimits().TxnOps,
			MaxColdStarts:     s.set.Operators.ColdStarts,
			AssumedFetchTime:  s.set.Operators.FetchAssumed,
			ReserveAfter:      s.set.Operators.ReserveAfter,
			MaxColdStartDelay: deferColdHeartbeats * s.set.Cluster.Workers.Report.Duration(),
		},
	}
	if s.set.Operators.Preempt {
		v.Victims = func(m *placement.Machine) []placement.Victim { return s.victims(m, v.Now) }
	}
	if s.policies.Prefers(s.records()) {
		v.Prefer = func(m *policy.Machines) []uint32 { return s.policies.Prefer(s.records(), m, v.Now) }
	}
	for _, m := range v.Machines {
		if m.Owned {
			v.FetchesInFlight += m.Images.ActiveFetches(now, s.set.Operators.FetchAssumed)
		}
	}
	s.limitQuarantine(v.Machines)
	placement.KeepLargeGangsOffSpot(v.Queue, v.Machines, s.spotReclaims.PerHour())
	s.headReservations = placement.ReserveForHead(v, s.headReservations)
	v.HeadReservations = s.reservedMachines(now)
	s.applyGangReservations(v, now)
	v.ReserveForPlaceableGangs()
	v.ReserveTeamQuota()
	s.snapshotsTaken++
	return v
}

// RefreshChangedMachines updates the free resources of the machines whose records have changed
// since the snapshot was taken or last refreshed.
func (s *Scheduler) RefreshChangedMachines(now time.Time) {
	if s.snapshot == nil {
		return
	}
	s.records().DrainChangedMachines(func(id wire.MachineID) {
		if m := s.snapshot.Machine(id); m != nil {
			s.refreshResources(m, now)
			m.Usable = m.Usable && s.records().MachinePhase(id) == ""
		}
	})
}
