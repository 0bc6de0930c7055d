package reconcile

import (
	"slices"
	"time"

	"maddermill/internal/membership/completion"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TaskExit is a claimed task that is proven to have ended.
type TaskExit struct {
	Held    ledger.HeldClaim
	Task    wire.TaskIndex
	Cause   wire.Cause    // "" if the task is merely absent from the machine
	Saved   bool          // a checkpoint was saved
	RunTime time.Duration // since the task was first reported running, 0 if unknown
	// LostClaim is set if the worker has forgotten the task and cannot report its exit again.
	LostClaim bool
}

// ExitOfLostClaim returns the exit of a claimed task that no worker can report any more. The cause is done if
// the completion log contains it, otherwise unknown.
func ExitOfLostClaim(completions *completion.Log, claim ledger.HeldClaim, task wire.TaskIndex) TaskExit {
	cause := completions.Cause(&claim, task)
	return TaskExit{Held: claim, Task: task, Cause: cause, LostClaim: cause == wire.CauseDone}
}

// ReportedTask is a task that its machine reports, with its state and claim.
type ReportedTask struct {
	Held  ledger.HeldClaim
	Task  wire.TaskIndex
	State wire.TaskState
}

// Reconciliation is what a heartbeat proves about the claims on its machine.
type Reconciliation struct {
	Exits    []TaskExit
	Reported []ReportedTask
	// TakeOver holds claims under a lower token, one per attempt, of gangs whose tasks should resume waiting.
	// The claims must first be moved to this controller's token.
	TakeOver []ledger.HeldClaim
	// Unsent holds tasks of gangs that were claimed under a lower token and can no longer start under it. They
	// are proven to be absent from the machine, so they may be taken over and sent; see ResolveUnsent.
	Unsent []TaskExit
}

// ResolveUnsent decides on the tasks in Unsent. Those of gangs whose machines all report are taken over; the
// others count as ended, so that the gang restarts elsewhere.
func (r *Reconciliation) ResolveUnsent(allReport func(*ledger.Job) bool) {
	for _, exit := range r.Unsent {
		if allReport(exit.Held.Job) {
			r.addTakeOver(&exit.Held)
		} else {
			r.Exits = append(r.Exits, exit)
		}
	}
	r.Unsent = nil
}

// addTakeOver adds a claim to TakeOver unless that already contains one of the same attempt.
func (r *Reconciliation) addTakeOver(claim *ledger.HeldClaim) {
	sameAttempt := func(o ledger.HeldClaim) bool { return o.Job == claim.Job && o.Attempt == claim.Attempt }
	if !slices.ContainsFunc(r.TakeOver, sameAttempt) {
		r.TakeOver = append(r.TakeOver, *claim)
	}
}

// addReported adds a task to Reported.
func (r *Reconciliation) addReported(claim *ledger.HeldClaim, index wire.TaskIndex, state wire.TaskState) {
	r.Reported = append(r.Reported, ReportedTask{Held: *claim, Task: index, State: state})
}

// addExit adds a task to Exits that is merely absent from the machine.
func (r *Reconciliation) addExit(claim *ledger.HeldClaim, index wire.TaskIndex) {
	r.Exits = append(r.Exits, TaskExit{Held: *claim, Task: index})
}

// Reconcile compares a heartbeat that is not stale with the claims on its machine and returns what it proves.
// token is the fencing token under which the worker is commanded from now on.
//
// A claim has ended if the heartbeat shows that its attempt exited, or if its agent epoch has passed. It has
// also ended if the task is missing from a heartbeat sent under this controller's token and its start cannot be
// in transit: the task was claimed under a lower token, whose holder's responses the worker now drops, or the
// start was never sent, or the heartbeat was created after the response that carried it. If only this
// controller could have sent the start, and will not send it any more, the last two conditions are proof under
// any token.
func (w *Worker) Reconcile(
	hb *wire.Heartbeat,
	held []ledger.HeldClaim,
	token wire.FencingToken,
	now time.Time,
) Reconciliation {
	w.observeHeartbeat(hb, token, now)
	w.checkReachable(hb, held, now)
	var r Reconciliation
	for c := range held {
		claim := &held[c]
		for i := range claim.Count {
			w.reconcileTask(&r, claim, i, now)
		}
	}
	w.pruneTasks()
	return r
}

// reconcileTask compares the i-th task of a claim with the most recently observed heartbeat.
func (w *Worker) reconcileTask(r *Reconciliation, claim *ledger.HeldClaim, i int, now time.Time) {
	key := keyOf(claim, i)
	task := w.task(key)
	if task != untrackedTask {
		task.claimed = true
	}
	switch {
	case claim.Epoch < w.Epoch:
		// The worker has forgotten how the task ended; the completion log may contain it.
		r.Exits = append(r.Exits, ExitOfLostClaim(w.completions, *claim, key.task.Index))
	case claim.Epoch > w.Epoch:
		// The heartbeat was sent before the claim's epoch.
	case task.status != nil:
		w.reconcileReported(r, claim, key.task.Index, task, now)
	default:
		w.reconcileAbsent(r, claim, key, task)
	}
}

// reconcileReported handles a claimed task that the machine reports.
func (w *Worker) reconcileReported(
	r *Reconciliation,
	claim *ledger.HeldClaim,
	index wire.TaskIndex,
	task *trackedTask,
	now time.Time,
) {
	status := task.status
	switch {
	case w.shouldRejoin(claim, status):
		// Commands restarts the task under its claim.
	case w.ReclaimAt.IsZero() && claim.Token < w.CommandToken && w.canRejoin(claim, status):
		r.addReported(claim, index, status.State)
		r.addTakeOver(claim)
	case gangWaitTimedOut(status) && (!w.TokenAccepted || claim.Token > w.CommandToken):
		// The controller that commands the machine may let the task resume waiting under the same attempt, so
		// an old heartbeat that shows the timeout, processed by another controller, proves nothing. Once the
		// worker has accepted this controller's token no other controller can do that.
		r.addReported(claim, index, status.State)
	case status.State == wire.TaskExited:
		exit := TaskExit{Held: *claim, Task: index, Cause: status.Cause, Saved: status.Saved}
		if !task.runningSince.IsZero() {
			exit.RunTime = now.Sub(task.runningSince)
		}
		r.Exits = append(r.Exits, exit)
	default:
		r.addReported(claim, index, status.State)
	}
}

// reconcileAbsent handles a claimed task that the machine does not report.
func (w *Worker) reconcileAbsent(r *Reconciliation, claim *ledger.HeldClaim, key taskKey, task *trackedTask) {
	index := key.task.Index
	switch {
	case w.TokenAccepted && claim.Token < w.CommandToken && w.canStart(claim):
		// Its controller failed before it sent the start, or the response was lost. Releasing the task would
		// make the whole gang start over.
		r.Unsent = append(r.Unsent, TaskExit{Held: *claim, Task: index})
	case w.TokenAccepted && claim.Token < w.CommandToken:
		r.addExit(claim, index)
	case w.startWithdrawn(claim, task):
		if task.startWithheldBefore || w.reachability.unreachable {
			task = w.track(key)
			task.startWithheld, task.claimed = true, true
		}
		if !task.startSent || w.Sequence > task.startSequence {
			r.addExit(claim, index)
		}
	}
}
