package scheduler

import (
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Capacity for overdue gangs is reserved on machines that report to different controllers, each of
// which assigns free capacity as heartbeats arrive. The leader, which places gangs, chooses the
// machines and publishes the whole list with its status on every pass. A machine that is no longer
// listed is released at once. A list that cannot be renewed expires after a few seconds. Without a
// list, gangs compete for capacity like all other jobs.

const (
	// reservationTTL is how long a list of the current leader stays valid without renewal.
	reservationTTL = 5 * time.Second
	// failoverReservationTTL is how long a former leader's list stays valid while there is no
	// leader or the new one has not yet published a list: one lease plus the time the new leader
	// needs to begin. Without it, each leader change would hand a gang's reserved capacity to other
	// jobs task by task.
	failoverReservationTTL = 12 * time.Second
)

// gangReservations is a list of capacity that a leader has reserved for overdue gangs, with the
// time it was made or requested.
type gangReservations struct {
	leader wire.MemberID
	list   []peer.Reservation
	at     time.Time
}

// valid reports whether the reservations still apply under the given leader.
func (r *gangReservations) valid(leader wire.MemberID, now time.Time) bool {
	if leader == r.leader {
		return now.Sub(r.at) <= reservationTTL
	}
	return now.Sub(r.at) <= failoverReservationTTL
}

// ReserveForOverdueGangs chooses the machines whose capacity is reserved for overdue gangs. Only
// the leader calls it.
func (s *Scheduler) ReserveForOverdueGangs(now time.Time) {
	v := s.Snapshot(now)
	list := []peer.Reservation{}
	for m, r := range placement.ReserveForOverdueGangs(v) {
		list = append(list, peer.Reservation{Machine: m, Job: r.Job})
	}
	s.gangReservations = gangReservations{s.set.Member, list, now}
	s.applyGangReservations(v, now)
}

// GangReservations returns, for peers, the capacity that this controller reserves for overdue gangs
// as the leader. A new leader returns its predecessor's list until it has made its own.
func (s *Scheduler) GangReservations(now time.Time) []peer.Reservation {
	leader, _ := s.records().Leader()
	if leader.Member != s.set.Member || !s.gangReservations.valid(leader.Member, now) {
		return nil
	}
	return s.gangReservations.list
}

// ObserveGangReservations adopts the reservations sent by a peer if that peer is the leader. asked
// is when they were requested; a list older than the current one is ignored, and so is an empty
// list from a new leader, which has not yet made its reservations.
func (s *Scheduler) ObserveGangReservations(from wire.MemberID, list []peer.Reservation, asked, now time.Time) {
	known := &s.gangReservations
	if leader, _ := s.records().Leader(); leader.Member != from || asked.Before(known.at) && known.leader == from {
		return
	}
	if known.leader != from && len(list) == 0 {
		return
	}
	s.gangReservations = gangReservations{from, list, asked}
	if s.snapshot != nil {
		s.applyGangReservations(s.snapshot, now)
	}
}

// applyGangReservations replaces a snapshot's reservations for overdue gangs with the leader's
// list.
func (s *Scheduler) applyGangReservations(v *placement.Snapshot, now time.Time) {
	v.GangReservations = nil
	if leader, _ := s.records().Leader(); !s.gangReservations.valid(leader.Member, now) {
		return
	}
	for _, r := range s.gangReservations.list {
		if j := s.records().Job(r.Job); j != nil && j.State == ledger.Active && j.Claimed == 0 && j.Pending() > 0 {
			v.ReserveMachine(r.Machine, r.Job)
		}
	}
}
