package placement

import (
	"slices"
	"time"

	"maddermill/internal/state/ledger"
)

// open reports whether a machine may take tasks of an entry: it is usable, its room is not
// reserved for others, and the job's constraints allow it. It says nothing of free room.
func (s *Snapshot) open(e *Entry, m *Machine) bool {
	job, reserved := s.HeadReservations[m.ID]
	return m.Usable && (!reserved || job == e.Job.ID) && !s.reservedForGang(e, m) && !s.leavesAccelerators(e, m) &&
		eligible(e, s.Now, m)
}

// reservedForGang reports whether a machine's room is reserved for an overdue gang against the
// entry. An entry of a higher priority, or within its guarantee where the gang is over its own,
// may take the room all the same.
func (s *Snapshot) reservedForGang(e *Entry, m *Machine) bool {
	r, reserved := s.GangReservations[m.ID]
	return reserved && r.Job != e.Job.ID && e.standing() >= r.standing
}

// eligible reports whether the job's own constraints and state allow tasks on a machine at now.
func eligible(e *Entry, now time.Time, m *Machine) bool {
	j := e.Job
	if m.Slow && (j.GangSize() > 1 || !j.DueBy().IsZero()) {
		return false // a gang runs as fast as its slowest task, and a deadline would be missed
	}
	if m.Spot && e.AvoidSpot {
		return false
	}
	return e.pending() > 0 && !now.Before(e.Retry) && ledger.Allowed(j.Spec, m.Type, m.Zone, m.Spot) &&
		(e.Avoid == nil || !e.Avoid(m.ID))
}

// WantedByGang reports whether a gang of several tasks that may use the machine is waiting.
func (s *Snapshot) WantedByGang(m *Machine) bool {
	return slices.ContainsFunc(s.Queue, func(e Entry) bool {
		return e.Job.GangSize() > 1 && e.pending() > 0 && m.Total.Fits(e.Job.Need) &&
			ledger.Allowed(e.Job.Spec, m.Type, m.Zone, m.Spot)
	})
}
