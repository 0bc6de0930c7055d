package ledger

import (
	"slices"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// phaseOrder lists the phases in the order in which every machine goes through them.
var phaseOrder = []MachinePhase{"", Terminating, Terminated}

// SetMachinePhase advances a machine to Terminating, or from there to Terminated. The transaction is conditioned
// on leaderVersion, the version of the leader record that made the caller the leader. The reason given for
// Terminating is kept for Terminated.
func (txn *Transaction) SetMachinePhase(
	m wire.MachineID, phase MachinePhase, reason string, leaderVersion wire.Revision,
) error {
	return txn.atomically(func() error {
		old := txn.ledger.MachinePhase(m)
		advances := slices.Index(phaseOrder, phase) > slices.Index(phaseOrder, old)
		if txn.ledger.leaderVersion != leaderVersion || !advances || phase == Terminated && old != Terminating {
			return newPreconditionError("set machine phase "+string(phase), m)
		}
		txn.phases[m] = phase
		txn.conditions[LeaderKey] = leaderVersion
		txn.conditions[machineKey(m)] = txn.ledger.phaseVersions[m]
		txn.requireSeries(m)
		if phase == Terminated && txn.ledger.terminating[m] != "" {
			reason = txn.ledger.terminating[m]
		}
		txn.put(machineKey(m), machineRecord{phase, reason})
		return nil
	})
}

// CompactTerminated deletes the records of terminated machines, which must all belong to one part of a series,
// and adds the machines to that part. A claim on one of them that is committed later fails: its transaction is
// conditioned on the head of the machine's series, which this transaction rewrites.
func (txn *Transaction) CompactTerminated(id archive.PartID, names []wire.MachineID) error {
	if !txn.archiveEnabled() || len(names) == 0 {
		return newPreconditionError("compact terminated machines", id.String())
	}
	return txn.atomically(func() error {
		index := &txn.ledger.archived
		var machines []string
		for _, m := range names {
			if partID, ok := archive.PartOfMachine(string(m)); !ok || partID != id || txn.ledger.phases[m] != Terminated {
				return newPreconditionError("compact terminated machine", m)
			}
			txn.conditions[machineKey(m)] = txn.ledger.phaseVersions[m]
			txn.remove(machineKey(m))
			machines = append(machines, string(m))
		}
		head, part := index.terminated.With(id, machines)
		headKey, partKey := seriesHeadPrefix+id.Series.String(), seriesPartPrefix+id.String()
		txn.conditions[headKey] = index.headVersions[id.Series]
		txn.conditions[partKey] = index.partVersions[id]
		txn.put(headKey, head)
		switch {
		case part.Len() > 0:
			txn.put(partKey, part)
		case index.partVersions[id] != 0:
			txn.remove(partKey)
		}
		return nil
	})
}

// requireMachine adds the conditions that a machine is in service: it has no phase record and has not been
// compacted into its series.
func (txn *Transaction) requireMachine(m wire.MachineID) {
	txn.conditions[machineKey(m)] = 0 // a machine in service has no record
	txn.requireSeries(m)
}

// requireSeries adds the condition that the head of a machine's series is unchanged. Every compaction of the
// series rewrites it.
func (txn *Transaction) requireSeries(m wire.MachineID) {
	if s, _, ok := archive.SplitName(string(m)); ok {
		txn.conditions[seriesHeadPrefix+s.String()] = txn.ledger.archived.headVersions[s]
	}
}
