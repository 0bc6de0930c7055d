package reconcile

import (
	"slices"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// What a claim implies for its tasks, by the records and by what is known of the worker.

// wanted reports whether a claim's tasks should be on the machine.
func wanted(claim *ledger.HeldClaim) bool {
	job := claim.Job
	return job.State == ledger.Active && !job.Cancelling &&
		(job.Spec.Shape != wire.Gang || job.Stop < claim.Attempt)
}

// gaveUpOnGang reports whether a task exited as its gang did not become complete in time.
func gaveUpOnGang(status *wire.TaskStatus) bool {
	return status.State == wire.TaskExited && status.Cause == wire.CauseGangIncomplete
}

// mayRejoin reports whether a task gave up waiting for a gang that is still wanted and has all its tasks, by
// a heartbeat that no other controller's command can have overtaken. In a gang that lacks a task it would
// wait forever.
func (w *Worker) mayRejoin(claim *ledger.HeldClaim, status *wire.TaskStatus) bool {
	return gaveUpOnGang(status) && w.Fresh && wanted(claim) && claim.Job.AllClaimedOrDone()
}

// rejoins reports whether a task that gave up waiting for its gang is to wait on under the same attempt.
// Otherwise a gang of which some machines fetch its image for longer than a task waits would be stopped,
// fetches and all, and begin again forever. Only the controller whose token the claim names may decide that;
// for all others the worker's exit is proof.
func (w *Worker) rejoins(claim *ledger.HeldClaim, status *wire.TaskStatus) bool {
	return claim.Token == w.CommandToken && w.mayRejoin(claim, status)
}

// mayBegin reports whether a task that is not on the machine may begin there all the same, whichever
// controller claimed it: it is of a gang that has all its tasks.
func (w *Worker) mayBegin(claim *ledger.HeldClaim) bool {
	return claim.Job.GangSize() > 1 && w.ReclaimAt.IsZero() && wanted(claim) && claim.Job.AllClaimedOrDone()
}

// withdrawn reports whether this controller alone could have sent the start of a claimed task that is not on
// the machine, and will not send it any more.
func (w *Worker) withdrawn(claim *ledger.HeldClaim, task *observedTask) bool {
	if claim.Token == w.CommandToken &&
		(w.Fresh && !wanted(claim) || task.withheldBefore || w.reachability.unreachable) {
		return true
	}
	return slices.Contains(w.oldTokens, claim.Token)
}
