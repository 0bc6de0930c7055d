package leader

import (
	"context"
	"maps"
	"slices"

	"maddermill/internal/leader/cloud"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// advanceScaleIn advances the machines in phase Terminating: it terminates them in the cloud and, once the
// cloud has confirmed that, releases the claims on them. The phase Terminated is recorded only when the
// committer has spare capacity: if it is missing, a new leader merely repeats the request.
func (t *term) advanceScaleIn(ctx context.Context) error {
	if err := t.returnMachines(ctx, t.machinesToReturn()); err != nil {
		return err
	}
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	maps.DeleteFunc(t.claimReleases, func(_ wire.MachineID, changes []*committer.Change) bool {
		return !slices.ContainsFunc(changes, (*committer.Change).Pending)
	})
	l.records().EachClaimedMachine(func(id wire.MachineID, held []ledger.HeldClaim) {
		if t.terminationConfirmed(id) {
			t.releaseClaims(id, held)
		}
	})
	for id := range t.machines {
		if t.terminationConfirmed(id) {
			delete(t.machines, id)
			delete(t.phaseChanges, phaseKey{machine: id, phase: ledger.Terminating})
		}
	}
	return nil
}

// machinesToReturn returns the terminating machines whose termination the cloud has not confirmed in this
// term, sorted by ID. For the others it enqueues the phase Terminated if the committer has spare capacity.
func (t *term) machinesToReturn() []wire.MachineID {
	l := t.leader
	var ids []wire.MachineID
	hasSpareCapacity := l.Committer.HasSpareCapacity()
	l.Cache.Lock()
	defer l.Cache.Unlock()
	l.records().TerminatingMachines(func(id wire.MachineID) {
		switch {
		case !t.returnConfirmed[id]:
			ids = append(ids, id)
		case hasSpareCapacity:
			t.setPhase(id, ledger.Terminated, reasonReturned)
		}
	})
	slices.Sort(ids)
	return ids
}

// returnMachines terminates machines in the cloud, in batches. It stops at the first batch that fails.
func (t *term) returnMachines(ctx context.Context, ids []wire.MachineID) error {
	for batch := range slices.Chunk(ids, cloud.MaxScaleIn) {
		if err := t.cloud.ScaleIn(ctx, batch); err != nil {
			return err
		}
		for _, id := range batch {
			t.returnConfirmed[id] = true
		}
	}
	return nil
}

// terminationConfirmed reports whether the cloud has confirmed, in this term or an earlier one, that a
// machine and all tasks on it have ended. The caller holds the cache's lock.
func (t *term) terminationConfirmed(id wire.MachineID) bool {
	return t.returnConfirmed[id] || t.leader.records().MachinePhase(id) == ledger.Terminated
}

// releaseClaims enqueues the release of the claims on a terminated machine. Pending releases are not
// enqueued again: when a zone with hundreds of machines is lost, the releases take longer than any timeout.
// Repeated releases once filled the queue, so that the lost tasks were not restarted elsewhere for minutes.
// The caller holds the cache's lock.
func (t *term) releaseClaims(id wire.MachineID, held []ledger.HeldClaim) {
	if slices.ContainsFunc(t.claimReleases[id], (*committer.Change).Pending) {
		return
	}
	var exits []reconcile.TaskExit
	for _, claim := range held {
		for i := range claim.Count {
			task := claim.First + wire.TaskIndex(i)
			exits = append(exits, reconcile.ExitOfLostClaim(t.leader.Completions, claim, task))
		}
	}
	t.claimReleases[id] = reconcile.ExitChanges(t.leader.Cache, exits)
	for _, change := range t.claimReleases[id] {
		t.leader.Committer.Enqueue(change)
	}
}
