package placement

import (
	"slices"
	"time"

	"maddermill/internal/state/ledger"
)

// available reports whether a machine may take tasks of an entry: it is usable, not reserved for
// other jobs, and allowed by the job's constraints. It does not check free capacity.
func (s *Snapshot) available(e *Entry, m *Machine) bool {
	job, reserved := s.HeadReservations[m.ID]
	return m.Usable && (!reserved || job == e.Job.ID) && !s.reservedForGang(e, m) && !s.keepIdleForAccelerators(e, m) &&
		eligible(e, s.Now, m)
}

// reservedForGang reports whether a machine is reserved for an overdue gang and therefore
// unavailable to the entry. An entry of higher priority, or one within its guarantee if the gang
// exceeds its own, may use the machine regardless of the reservation.
func (s *Snapshot) reservedForGang(e *Entry, m *Machine) bool {
	r, reserved := s.GangReservations[m.ID]
	return reserved && r.Job != e.Job.ID && e.precedence() >= r.precedence
}

// eligible reports whether the job's own constraints and state allow it to start tasks on a machine
// at now.
func eligible(e *Entry, now time.Time, m *Machine) bool {
	j := e.Job
	if m.Slow && (j.GangSize() > 1 || !j.DueBy().IsZero()) {
		return false // a gang runs as fast as its slowest task, and a deadline would be missed
	}
	if m.Spot && e.AvoidSpot {
		return false
	}
	return e.pending() > 0 && !now.Before(e.RetryAt) && ledger.PlacementAllowed(j.Spec, m.Type, m.Zone, m.Spot) &&
		(e.Avoid == nil || !e.Avoid(m.ID))
}

// WantedByGang reports whether a gang of several tasks that may use the machine is waiting.
func (s *Snapshot) WantedByGang(m *Machine) bool {
	return slices.ContainsFunc(s.Queue, func(e Entry) bool {
		return e.Job.GangSize() > 1 && e.pending() > 0 && m.Total.Fits(e.Job.Need) &&
			ledger.PlacementAllowed(e.Job.Spec, m.Type, m.Zone, m.Spot)
	})
}
