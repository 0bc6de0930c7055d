package scheduler

import (
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Overdue gangs have room reserved on machines that report to different controllers, each of which
// gives their room away with the heartbeat that says so. The leader, which places gangs, chooses
// the machines and shares the list with its status, anew each time: a machine that it no longer
// lists is available again at once, and one of a list that can't be renewed after a few seconds.
// Where the list does not arrive, gangs compete for room like other work.

const (
	// reservationTTL is how long a list serves without being renewed by the leader.
	reservationTTL = 5 * time.Second
	// failoverReservationTTL is how long a list of the former leader serves, while nobody leads or the
	// successor has yet to choose: a lease and the time the successor takes to begin. Otherwise each
	// change of the leader would give a gang's room away task by task.
	failoverReservationTTL = 12 * time.Second
)

// gangReservations is the room that a leader reserves for overdue gangs, as of a time.
type gangReservations struct {
	leader wire.MemberID
	list   []peer.Reservation
	at     time.Time
}

// valid reports whether the reservations still hold while leader leads.
func (r *gangReservations) valid(leader wire.MemberID, now time.Time) bool {
	if leader == r.leader {
		return now.Sub(r.at) <= reservationTTL
	}
	return now.Sub(r.at) <= failoverReservationTTL
}

// ReserveForOverdueGangs chooses, as the leader, the machines whose room is reserved for overdue
// gangs.
func (s *Scheduler) ReserveForOverdueGangs(now time.Time) {
	v := s.Snapshot(now)
	list := []peer.Reservation{}
	for m, r := range placement.ReserveForOverdueGangs(v) {
		list = append(list, peer.Reservation{Machine: m, Job: r.Job})
	}
	s.gangReservations = gangReservations{s.set.Member, list, now}
	s.applyGangReservations(v, now)
}

// GangReservations returns, for peers, the room that this controller reserves for overdue gangs as
// the leader: until it has chosen itself, what its predecessor reserved.
func (s *Scheduler) GangReservations(now time.Time) []peer.Reservation {
	leader, _ := s.records().Leader()
	if leader.Member != s.set.Member || !s.gangReservations.valid(leader.Member, now) {
		return nil
	}
	return s.gangReservations.list
}

// ObserveGangReservations takes over the reservations that a peer sent, if it is the leader. asked is
// when they were asked for; older ones than those known are ignored, and so is an empty list of a
// new leader, which has yet to choose.
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

// applyGangReservations sets a snapshot's reservations for overdue gangs to those of the leader.
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
