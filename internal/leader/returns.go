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

// finishReturns moves marked machines on: a leaving one is returned; what was claimed
// on one whose return the cloud has confirmed is released. That it is gone goes on
// record when there are changes to Spare: a new leader only returns it once more.
func (l *leader) finishReturns(ctx context.Context) error {
	c := l.c
	var leaving []wire.MachineID
	spare := c.Committer.HasSpareCapacity()
	c.Cache.Lock()
	c.led().TerminatingMachines(func(id wire.MachineID) {
		switch {
		case !l.returned[id]:
			leaving = append(leaving, id)
		case spare:
			l.setMark(id, ledger.Terminated, "returned")
		}
	})
	c.Cache.Unlock()
	slices.Sort(leaving)
	for batch := range slices.Chunk(leaving, cloud.MaxReturn) {
		if err := l.cloud.ScaleIn(ctx, batch); err != nil {
			return err
		}
		for _, id := range batch {
			l.returned[id] = true
		}
	}
	c.Cache.Lock()
	defer c.Cache.Unlock()
	maps.DeleteFunc(l.releasing, func(_ wire.MachineID, changes []*committer.Change) bool {
		return !slices.ContainsFunc(changes, (*committer.Change).Pending)
	})
	gone := func(id wire.MachineID) bool { return l.returned[id] || c.led().MachinePhase(id) == ledger.Terminated }
	c.led().EachHolder(func(id wire.MachineID, held []ledger.HeldClaim) {
		if gone(id) {
			l.releaseAll(id, held)
		}
	})
	for id := range l.units {
		if gone(id) {
			delete(l.units, id)
			delete(l.marking, markKey{id, ledger.Terminating})
		}
	}
	return nil
}

// releaseAll releases the claims on a machine that the cloud has confirmed to be gone. What is
// still on its way is not asked for again: when a zone is lost, the releases of its hundreds of
// machines take longer than any time that could be waited for, and asked for again and again
// they once filled the queue, so that what was lost began nowhere else for minutes.
func (l *leader) releaseAll(id wire.MachineID, held []ledger.HeldClaim) {
	if slices.ContainsFunc(l.releasing[id], (*committer.Change).Pending) {
		return
	}
	var exits []reconcile.TaskExit
	for _, h := range held {
		for i := range h.Count {
			task := h.First + wire.TaskIndex(i)
			exits = append(exits, reconcile.ExitOfLostClaim(l.c.Completions, h, task))
		}
	}
	l.releasing[id] = reconcile.ExitChanges(l.c.Cache, exits)
	for _, ch := range l.releasing[id] {
		l.c.Committer.Enqueue(ch)
	}
}
