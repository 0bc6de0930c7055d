package placement

import (
	"cmp"
	"slices"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// ReserveForHead chooses the machines whose freed room is reserved for the first gang in the queue
// that has waited for Limits.ReserveAfter: as many as could hold it, the least used first. previous
// is the choice so far; its machines are preferred, so that the choice is stable. Only one gang
// gets machines: no more are worth their idle time.
func ReserveForHead(s *Snapshot, previous map[wire.MachineID]wire.JobID) map[wire.MachineID]wire.JobID {
	for i := range s.Queue {
		e := &s.Queue[i]
		if need := e.Job.GangSize(); s.reservesAtHead(e) && s.TeamRoom(e.Job, ledger.Resources{}, need) >= need {
			return s.headMachines(e, previous)
		}
	}
	return map[wire.MachineID]wire.JobID{}
}

// reservesAtHead reports whether an entry is a gang that has waited long enough to have machines
// reserved at the head of the queue.
func (s *Snapshot) reservesAtHead(e *Entry) bool {
	return e.Job.Spec.Shape == wire.Gang && e.Job.Pending() > 0 && !e.CrashLooping &&
		e.Waiting >= s.Limits.ReserveAfter && !s.Now.Before(e.Retry)
}

// headMachines chooses the machines that could hold a gang, the least used first.
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
		need -= m.Total.Times(j.Need, need)
	}
	return out
}
