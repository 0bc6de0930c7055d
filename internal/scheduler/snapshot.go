package scheduler

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/policy"
	"maddermill/wire"
)

// A snapshot of the queue and of all machines serves for a while, as taking one costs as much as
// there is of both. Each heartbeat, claim and start in between changes only the machine that it
// concerns.
const (
	minSnapshotInterval = time.Second
	maxSnapshotInterval = 5 * time.Second // however large the cluster is
)

// snapshotShare is the part of a controller's share of a processor that taking snapshots may use.
const snapshotShare = 0.25

// deferColdHeartbeats is for how many heartbeat intervals a task waits for a machine that caches its
// image.
const deferColdHeartbeats = 3

// SnapshotInterval returns how long a snapshot serves that took so long to take. In a cluster of ten
// thousand machines snapshots would otherwise use all of a small share of a processor.
func (s *Scheduler) SnapshotInterval(took time.Duration) time.Duration {
	share := s.set.Cluster.Quota.CPUShare
	if share <= 0 || share > 1 {
		share = 1
	}
	interval := time.Duration(float64(took) / (share * snapshotShare))
	return min(maxSnapshotInterval, max(minSnapshotInterval, interval))
}

// Snapshot returns the snapshot that placement decides from at now, a new one if there is none or
// it has served its interval. It is valid while the lock of the watch cache is held.
func (s *Scheduler) Snapshot(now time.Time) *placement.Snapshot {
	if s.snapshot == nil || now.Sub(s.snapshotAt) > s.SnapshotInterval(s.snapshotDuration) {
		s.snapshotAt = now
		s.snapshot = s.takeSnapshot(now)
		s.snapshotDuration = time.Since(now)
	}
	s.snapshot.Now = now
	return s.snapshot
}

// InvalidateSnapshot has the next decision made from a new snapshot.
func (s *Scheduler) InvalidateSnapshot() { s.snapshot = nil }

// SnapshotsTaken returns the number of snapshots taken so far.
func (s *Scheduler) SnapshotsTaken() int { return s.snapshotsTaken }

// takeSnapshot takes a new snapshot. Its reservations are made in an order that matters: those for
// the head of the queue and for preemption, for overdue gangs, for gangs that have room now, and
// last, from these, those of team limits.
func (s *Scheduler) takeSnapshot(now time.Time) *placement.Snapshot {
	s.records().DrainChangedMachines(func(wire.MachineID) {}) // all are read anew
	v := &placement.Snapshot{
		Now:      now,
		Queue:    s.queue(now),
		TeamRoom: s.records().RemainingTeamQuota,
		Machines: s.machines(now),
		Tree:     s.topology.Tree(),
		Limits: placement.Limits{
			Starts:       s.set.StateLimits().TxnOps,
			ColdStarts:   s.set.Operators.ColdStarts,
			FetchAssumed: s.set.Operators.FetchMark,
			ReserveAfter: s.set.Operators.WithholdAfter,
			DeferCold:    deferColdHeartbeats * s.set.Cluster.Workers.Report.Duration(),
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
			v.FetchesInFlight += m.Images.Fetches(now, s.set.Operators.FetchMark)
		}
	}
	s.limitQuarantine(v.Machines)
	placement.KeepLargeGangsOffSpot(v.Queue, v.Machines, s.spotReclaims.PerHour())
	s.headReservations = placement.ReserveForHead(v, s.headReservations)
	v.HeadReservations = s.reservedMachines(now)
	s.applyGangReservations(v, now)
	v.Reserve()
	v.ReserveTeamLimits()
	s.snapshotsTaken++
	return v
}

// RefreshChangedMachines updates the room of the machines whose records have changed since the
// snapshot was taken.
func (s *Scheduler) RefreshChangedMachines(now time.Time) {
	if s.snapshot == nil {
		return
	}
	s.records().DrainChangedMachines(func(id wire.MachineID) {
		if m := s.snapshot.Machine(id); m != nil {
			s.setRoom(m, now)
			m.Usable = m.Usable && s.records().MachinePhase(id) == ""
		}
	})
}
