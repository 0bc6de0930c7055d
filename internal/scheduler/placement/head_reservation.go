package placement

import (
	"cmp"
	"slices"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// ReserveForHead chooses the machines to reserve for the first gang in the queue that has waited
// for Limits.ReserveAfter: as many as could hold it, least used first. previous is the current
// choice, whose machines are preferred to keep the choice stable. Only one gang gets reservations,
// because reserved machines stay partly idle and more are not worth that cost.
func ReserveForHead(s *Snapshot, previous map[wire.MachineID]wire.JobID) map[wire.MachineID]wire.JobID {
	for i := range s.Queue {
		e := &s.Queue[i]
		if need := e.Job.GangSize(); s.needsHeadReservation(e) &&
			s.RemainingTeamQuota(e.Job, ledger.Resources{}, need) >= need {
			return s.headMachines(e, previous)
		}
	}
	return map[wire.MachineID]wire.JobID{}
}

// needsHeadReservation reports whether an entry is a gang that has waited long enough to have
// machines reserved for it at the head of the queue.
func (s *Snapshot) needsHeadReservation(e *Entry) bool {
	return e.Job.Spec.Shape == wire.Gang && e.Job.Pending() > 0 && !e.CrashLooping &&
		e.Waiting >= s.Limits.ReserveAfter && !s.Now.Before(e.RetryAt)
}

// headMachines chooses machines that could hold a gang, least used first.
func (s *Snapshot) headMachines(e *Entry, previous map[wire.MachineID]wire.JobID) map[wire.MachineID]wire.JobID {
	j := e.Job
	var options []*Machine
	for _, m := range s.Machines {
		if m.Usable && eligible(e, s.Now, m) && m.Total.Fits(j.Need) {
			options = append(options, m)
		}
	}
	used := func(m *Machine) int64 {
		cpu := m.Total.CPU - m.Free.CPU
		if previous[m.ID] == j.ID {
			cpu -= m.Total.CPU
		}
		return cpu
	}
	slices.SortFunc(options, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(used(a), used(b)), cmp.Compare(a.ID, b.ID))
	})
	out := map[wire.MachineID]wire.JobID{}
	need := j.GangSize()
	for _, m := range options {
		if need <= 0 {
			break
		}
		out[m.ID] = j.ID
		need -= m.Total.CountFitting(j.Need, need)
	}
	return out
}
