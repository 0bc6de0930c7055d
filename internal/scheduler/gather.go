package scheduler

import (
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Late gangs are kept room on machines that different controllers hold, each of which gives its
// room away with the report that tells of it. The fleet's leader, who places gangs, chooses the
// machines and tells all others with its status, anew each time: what it no longer names is free
// again at once, and what it can't tell any more after a few seconds. Where that does not
// arrive, gangs take their chance as others do.

const (
	// keepFor is how long room is kept without being told again by the leader.
	keepFor = 5 * time.Second
	// keepAcross is how long it is kept from when the leader that told it told it last, while nobody
	// leads or a successor has yet to choose: a lease, and what the successor takes to begin. What a
	// gang was kept would else be given away task by task each time that the leader changes.
	keepAcross = 12 * time.Second
)

// keeping is the room kept for late gangs, as told by a controller at a time.
type keeping struct {
	from wire.MemberID
	list []peer.Reservation
	at   time.Time
}

// ReserveForOverdueGangs chooses, as the leader, the machines whose room late gangs are kept.
func (s *Scheduler) ReserveForOverdueGangs(now time.Time) {
	v := s.Snapshot(now)
	list := []peer.Reservation{}
	for m, k := range placement.ReserveForOverdueGangs(v) {
		list = append(list, peer.Reservation{Machine: m, Job: k.Job})
	}
	s.keeping = keeping{s.set.Member, list, now}
	s.gathered(v, now)
}

// stands reports whether what was told is still kept: by the leader that told it, or since the one
// that comes after it has told nothing yet.
func (k *keeping) stands(leader wire.MemberID, now time.Time) bool {
	if leader == k.from {
		return now.Sub(k.at) <= keepFor
	}
	return now.Sub(k.at) <= keepAcross
}

// GangReservations lists, for peers, the room that this controller keeps for late gangs as the leader: what
// its predecessor kept until it has chosen itself.
func (s *Scheduler) GangReservations(now time.Time) []peer.Reservation {
	leads, _ := s.led().Leader()
	if leads.Member != s.set.Member || !s.keeping.stands(leads.Member, now) {
		return nil
	}
	return s.keeping.list
}

// ObserveGangReservations takes over what the fleet's leader keeps. asked is when it was asked for. A leader that
// begins and knows of nothing that is kept ends nothing.
func (s *Scheduler) ObserveGangReservations(from wire.MemberID, list []peer.Reservation, asked, now time.Time) {
	if leads, _ := s.led().Leader(); leads.Member != from || asked.Before(s.keeping.at) && s.keeping.from == from {
		return
	}
	if s.keeping.from != from && len(list) == 0 {
		return
	}
	s.keeping = keeping{from, list, asked}
	if s.seen != nil {
		s.gathered(s.seen, now)
	}
}

// gathered has a picture keep what the leader does.
func (s *Scheduler) gathered(v *placement.Snapshot, now time.Time) {
	v.GangReservations = nil
	if leads, _ := s.led().Leader(); !s.keeping.stands(leads.Member, now) {
		return
	}
	for _, k := range s.keeping.list {
		if j := s.led().Job(k.Job); j != nil && j.State == ledger.Active && j.Claimed == 0 && j.Pending() > 0 {
			v.ReserveMachine(k.Machine, k.Job)
		}
	}
}
