package ledger

import (
	"slices"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// phaseOrder is the order in which a machine goes through the phases, none left out.
var phaseOrder = []MachinePhase{"", Terminating, Terminated}

// SetMachinePhase advances a machine to Terminating, or from there to Terminated. leaderVersion is the
// version of the leader's record under which the caller leads, and is a condition. The reason that
// was given for Terminating is kept for Terminated.
func (txn *Transaction) SetMachinePhase(
	m wire.MachineID, phase MachinePhase, reason string, leaderVersion wire.Revision,
) error {
	return txn.atomically(func() error {
		old := txn.ledger.MachinePhase(m)
		advances := slices.Index(phaseOrder, phase) > slices.Index(phaseOrder, old)
		if txn.ledger.leaderVersion != leaderVersion || !advances || phase == Terminated && old != Terminating {
			return refuse("set machine phase "+string(phase), m)
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

// CompactTerminated deletes the records of terminated machines, which all belong to one part of a
// series, and adds the machines to the part. A claim on one of them that was decided before fails,
// as its transaction is conditioned on the head of the machine's series, which is rewritten here.
func (txn *Transaction) CompactTerminated(id archive.PartID, names []wire.MachineID) error {
	if !txn.archiveEnabled() || len(names) == 0 {
		return refuse("compact terminated machines", id.String())
	}
	return txn.atomically(func() error {
		p := &txn.ledger.archived
		var texts []string
		for _, m := range names {
			if of, ok := archive.PartOfMachine(string(m)); !ok || of != id || txn.ledger.phases[m] != Terminated {
				return refuse("compact terminated machine", m)
			}
			txn.conditions[machineKey(m)] = txn.ledger.phaseVersions[m]
			txn.remove(machineKey(m))
			texts = append(texts, string(m))
		}
		head, part := p.terminated.With(id, texts)
		headKey, partKey := seriesHeadPrefix+id.Series.String(), seriesPartPrefix+id.String()
		txn.conditions[headKey] = p.headVersions[id.Series]
		txn.conditions[partKey] = p.partVersions[id]
		txn.put(headKey, head)
		switch {
		case part.Len() > 0:
			txn.put(partKey, part)
		case p.partVersions[id] != 0:
			txn.remove(partKey)
		}
		return nil
	})
}

// requireMachine conditions the transaction on a machine not being in a phase, neither by a record of
// its own nor as a compacted one.
func (txn *Transaction) requireMachine(m wire.MachineID) {
	txn.conditions[machineKey(m)] = 0 // it never had a record
	txn.requireSeries(m)
}

// requireSeries conditions the transaction on the head of a machine's series, which every compaction
// of the series rewrites.
func (txn *Transaction) requireSeries(m wire.MachineID) {
	if s, _, ok := archive.SplitName(string(m)); ok {
		txn.conditions[seriesHeadPrefix+s.String()] = txn.ledger.archived.headVersions[s]
	}
}
