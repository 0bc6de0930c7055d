package ledger

import (
	"strings"

	"maddermill/internal/exactjson"
	"maddermill/wire"
)

// MachinePhase returns a machine's phase, "" if it is in service.
func (l *Ledger) MachinePhase(m wire.MachineID) MachinePhase {
	if phase := l.phases[m]; phase != "" || !l.archived.terminated.Has(string(m)) {
		return phase
	}
	return Terminated
}

// MachinePhases calls f for every machine that has a phase record.
func (l *Ledger) MachinePhases(f func(wire.MachineID, MachinePhase)) {
	for m, phase := range l.phases {
		f(m, phase)
	}
}

// DecodeMachinePhase decodes a machine's phase record as read from the store: the machine, its phase and the
// reason for its termination. ok is false if the item is not a valid phase record.
func DecodeMachinePhase(item wire.Item) (m wire.MachineID, phase MachinePhase, reason string, ok bool) {
	name, ok := strings.CutPrefix(item.Key, machinePrefix)
	var r machineRecord
	if !ok || exactjson.Unmarshal(item.Value, &r) != nil {
		return "", "", "", false
	}
	return wire.MachineID(name), r.Phase, r.Reason, true
}

// TerminatingMachines calls f for every machine that is terminating but not yet terminated.
func (l *Ledger) TerminatingMachines(f func(wire.MachineID)) {
	for m := range l.terminating {
		f(m)
	}
}

// DrainChangedMachines calls f for every machine whose claims or phase changed since the previous call.
func (l *Ledger) DrainChangedMachines(f func(wire.MachineID)) {
	for m := range l.changedMachines {
		f(m)
	}
	clear(l.changedMachines)
}

// CountTerminated returns the number of terminated machines that were compacted into their series.
func (l *Ledger) CountTerminated() int { return l.archived.terminated.Count() }

// MachineTypeResources returns the resources of a machine of a type, or zero if the type is unknown.
func (l *Ledger) MachineTypeResources(t wire.MachineTypeName) Resources {
	machineType := l.machineTypes[t]
	return NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}

// FreeResources returns the unclaimed resources of a machine. Claims of earlier agent epochs are ignored: their tasks
// ended with the epoch.
func (l *Ledger) FreeResources(target ClaimTarget) Resources {
	free := l.MachineTypeResources(target.Type)
	for _, held := range l.ClaimsOn(target.Machine) {
		if held.Epoch >= target.Epoch {
			free = free.Add(held.Job.Need, -held.Count)
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
