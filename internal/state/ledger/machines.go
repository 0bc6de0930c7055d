package ledger

import (
	"encoding/json"
	"strings"

	"maddermill/wire"
)

// MachinePhase returns a machine's mark, "" if it has none.
func (l *Ledger) MachinePhase(m wire.MachineID) MachinePhase {
	if k := l.phases[m]; k != "" || !l.archived.terminated.Has(string(m)) {
		return k
	}
	return Terminated
}

// MachinePhases calls f for every machine that has a mark of its own.
func (l *Ledger) MachinePhases(f func(wire.MachineID, MachinePhase)) {
	for m, k := range l.phases {
		f(m, k)
	}
}

// DecodeMachinePhase reads a machine's mark from its record as the state service has it, with the reason
// that was given; false for records of something else.
func DecodeMachinePhase(it wire.Item) (m wire.MachineID, phase MachinePhase, reason string, ok bool) {
	rest, ok := strings.CutPrefix(it.Key, machinePrefix)
	var r machineRecord
	if !ok || json.Unmarshal(it.Value, &r) != nil {
		return "", "", "", false
	}
	return wire.MachineID(rest), r.Phase, r.Reason, true
}

// TerminatingMachines calls f for every machine on its way out that isn't known to be gone.
// Marks of machines long gone are only walked to be swept.
func (l *Ledger) TerminatingMachines(f func(wire.MachineID)) {
	for m := range l.terminating {
		f(m)
	}
}

// DrainChangedMachines calls f for every machine whose claims or mark have changed since the
// last call.
func (l *Ledger) DrainChangedMachines(f func(wire.MachineID)) {
	for m := range l.changedMachines {
		f(m)
	}
	clear(l.changedMachines)
}

// CountTerminated is how many machines are gone and have no mark of their own any more.
func (l *Ledger) CountTerminated() int { return l.archived.terminated.Count() }

// Total is what a machine of a type has; nothing if the type is not known.
func (l *Ledger) Total(t wire.MachineTypeName) Resources {
	f := l.machineTypes[t]
	return NewResources(f.CPUs, f.GPUs, f.MemoryGB)
}

// Free is what claims leave of a machine in its session.
func (l *Ledger) Free(s ClaimTarget) Resources {
	free := l.Total(s.Type)
	for _, h := range l.ClaimsOn(s.Machine) {
		if h.Session >= s.Session {
			free = free.Add(h.Job.Need, -h.Count)
		}
	}
	return free
}

// MachineType returns a machine type as the leader has published it.
func (l *Ledger) MachineType(t wire.MachineTypeName) (wire.MachineType, bool) {
	f, ok := l.machineTypes[t]
	return f, ok
}

// MachineTypes returns all machine types. The map must not be changed.
func (l *Ledger) MachineTypes() map[wire.MachineTypeName]wire.MachineType { return l.machineTypes }
