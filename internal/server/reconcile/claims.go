package reconcile

import (
	"slices"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// The predicates in this file decide what a claim implies for its tasks, given the records and the state of the
// worker.

// shouldRun reports whether a claim's tasks should be on the machine.
func shouldRun(claim *ledger.HeldClaim) bool {
	job := claim.Job
	return job.State == ledger.Active && !job.Cancelling &&
		(job.Spec.Shape != wire.Gang || job.Stop < claim.Attempt)
}

// gangWaitTimedOut reports whether a task exited because its gang did not become complete in time.
func gangWaitTimedOut(status *wire.TaskStatus) bool {
	return status.State == wire.TaskExited && status.Cause == wire.CauseGangIncomplete
}

// canRejoin reports whether a task timed out waiting for a gang that should still run and has all its tasks, as
// shown by a heartbeat sent after the worker accepted this controller's token, so that no other controller's
// command can have superseded it. In a gang that lacks a task it would wait forever.
func (w *Worker) canRejoin(claim *ledger.HeldClaim, status *wire.TaskStatus) bool {
	return gangWaitTimedOut(status) && w.TokenAccepted && shouldRun(claim) && claim.Job.AllClaimedOrDone()
}

// shouldRejoin reports whether a task that timed out waiting for its gang should resume waiting under the same
// attempt. Otherwise a gang in which some machines fetch the image for longer than a task waits would be
// stopped, fetches included, and restart forever. Only the controller whose token the claim names may decide
// this; for all others the worker's exit is proof.
func (w *Worker) shouldRejoin(claim *ledger.HeldClaim, status *wire.TaskStatus) bool {
	return claim.Token == w.CommandToken && w.canRejoin(claim, status)
}

// canStart reports whether a task that is not on the machine may still start there, whichever controller
// claimed it: it belongs to a gang that has all its tasks.
func (w *Worker) canStart(claim *ledger.HeldClaim) bool {
	return claim.Job.GangSize() > 1 && w.ReclaimAt.IsZero() && shouldRun(claim) && claim.Job.AllClaimedOrDone()
}

// startWithdrawn reports whether only this controller could have sent the start of a claimed task that is not
// on the machine, and will not send it any more.
func (w *Worker) startWithdrawn(claim *ledger.HeldClaim, task *trackedTask) bool {
	if claim.Token == w.CommandToken &&
		(w.TokenAccepted && !shouldRun(claim) || task.startWithheldBefore || w.reachability.unreachable) {
		return true
	}
	return slices.Contains(w.oldTokens, claim.Token)
}
