package reconcile

import (
	"errors"
	"slices"

	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

// ExitChanges returns the changes that record exits, one per job, in the order in which the jobs first occur.
// The caller must hold the cache lock, also when the drafts of the changes run.
func ExitChanges(cache *watchcache.Cache, exits []TaskExit) []*committer.Change {
	exitsByJob := map[*ledger.Job][]TaskExit{}
	var order []*ledger.Job
	for _, exit := range exits {
		job := exit.Held.Job
		if exitsByJob[job] == nil {
			order = append(order, job)
		}
		exitsByJob[job] = append(exitsByJob[job], exit)
	}
	var changes []*committer.Change
	for _, job := range order {
		jobExits := exitsByJob[job]
		class := committer.ClassRecord
		if slices.ContainsFunc(jobExits, func(exit TaskExit) bool { return exit.LostClaim }) {
			class = committer.ClassUrgent
		} else if job.BestEffort() {
			class = committer.ClassBestEffortRecord
		}
		changes = append(changes, &committer.Change{
			Class:    class,
			Priority: job.Priority(),
			Draft: func(txn *ledger.Transaction) error {
				return draftExits(cache.Records(), txn, job.ID, jobExits)
			},
		})
	}
	return changes
}

// exitGroup is what the tasks recorded by one release have in common: they were started together and ended in
// the same way.
type exitGroup struct {
	claim     ledger.Claim // without First and Count, so that all tasks of one start form a group
	taskRange int
	done      bool
}

// draftExits adds a job's exits to a transaction. The error is ErrPreconditionFailed if none is left to record;
// any other error means that the transaction cannot take them.
func draftExits(records *ledger.Ledger, txn *ledger.Transaction, id wire.JobID, exits []TaskExit) error {
	job := records.Job(id)
	if job == nil {
		return ledger.ErrPreconditionFailed
	}
	tasks := map[exitGroup][]wire.TaskIndex{}
	var order []exitGroup
	for i := range exits {
		exit := &exits[i]
		group := exitGroup{claim: exit.Held.Claim, taskRange: exit.Held.Range(), done: exit.Cause == wire.CauseDone}
		group.claim.First, group.claim.Count = 0, 0
		if tasks[group] == nil {
			order = append(order, group)
		}
		tasks[group] = append(tasks[group], exit.Task)
	}
	result := ledger.ErrPreconditionFailed
	for _, group := range order {
		switch err := draftExitGroup(txn, job, group, tasks[group]); {
		case err == nil:
			result = nil
		case !errors.Is(err, ledger.ErrPreconditionFailed):
			return err
		}
	}
	return result
}

// draftExitGroup adds the exits of one group to a transaction.
func draftExitGroup(txn *ledger.Transaction, job *ledger.Job, group exitGroup, tasks []wire.TaskIndex) error {
	inGang := job.Spec.Shape == wire.Gang && job.Spec.Tasks > 1
	if group.done && inGang {
		if _, err := txn.CompleteGang(job, group.claim.Attempt); err == nil {
			return nil
		}
		// Otherwise record task by task: the whole gang may not fit into the transaction.
	}
	if _, err := txn.ReleaseTasks(job, group.claim, tasks, ledger.TaskOutcome(group.done)); err != nil {
		return err
	}
	if !group.done && inGang && job.State == ledger.Active {
		// The gang has lost a task: the others stop, save a checkpoint if they still can, and all restart
		// together. An error can be ignored: either the gang is already being stopped, or its tasks detect on
		// their own that a peer is missing. The release remains valid in any case.
		_ = txn.PreemptGang(job, group.claim.Attempt)
	}
	return nil
}
