package ledger

import (
	"encoding/json"
	"strings"

	"maddermill/wire"
)

// MachinePhase returns a machine's phase, "" if it is in service.
func (l *Ledger) MachinePhase(m wire.MachineID) MachinePhase {
	if phase := l.phases[m]; phase != "" || !l.archived.terminated.Has(string(m)) {
		return phase
	}
	return Terminated
}

// MachinePhases calls f for every machine whose phase has a record of its own.
func (l *Ledger) MachinePhases(f func(wire.MachineID, MachinePhase)) {
	for m, phase := range l.phases {
		f(m, phase)
	}
}

// DecodeMachinePhase decodes the record of a machine's phase as read from the store: the machine, its phase
// and the reason of its termination. ok is false for any other record.
func DecodeMachinePhase(it wire.Item) (m wire.MachineID, phase MachinePhase, reason string, ok bool) {
	rest, ok := strings.CutPrefix(it.Key, machinePrefix)
	var r machineRecord
	if !ok || json.Unmarshal(it.Value, &r) != nil {
		return "", "", "", false
	}
	return wire.MachineID(rest), r.Phase, r.Reason, true
}

// TerminatingMachines calls f for every machine that is terminating and not yet terminated.
func (l *Ledger) TerminatingMachines(f func(wire.MachineID)) {
	for m := range l.terminating {
		f(m)
	}
}

// DrainChangedMachines calls f for every machine whose claims or phase changed since the last call.
func (l *Ledger) DrainChangedMachines(f func(wire.MachineID)) {
	for m := range l.changedMachines {
		f(m)
	}
	clear(l.changedMachines)
}

// CountTerminated returns how many terminated machines were compacted into their series.
func (l *Ledger) CountTerminated() int { return l.archived.terminated.Count() }

// Total returns the resources of a machine of a type, none if the type is not known.
func (l *Ledger) Total(t wire.MachineTypeName) Resources {
	machineType := l.machineTypes[t]
	return NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}

// Free returns the resources of a machine that no claim takes. Claims of earlier sessions don't count:
// their tasks ended with the session.
func (l *Ledger) Free(s ClaimTarget) Resources {
	free := l.Total(s.Type)
	for _, h := range l.ClaimsOn(s.Machine) {
		if h.Epoch >= s.Epoch {
			free = free.Add(h.Job.Need, -h.Count)
		}
	}
	return free
}

// MachineType returns a machine type as the leader published it.
func (l *Ledger) MachineType(t wire.MachineTypeName) (wire.MachineType, bool) {
	machineType, ok := l.machineTypes[t]
	return machineType, ok
}

// MachineTypes returns all machine types. The map must not be changed.
func (l *Ledger) MachineTypes() map[wire.MachineTypeName]wire.MachineType { return l.machineTypes }
