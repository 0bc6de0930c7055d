package reconcile

import (
	"slices"
	"time"

	"maddermill/internal/membership/completion"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TaskExit is a claimed task that is proven to be over.
type TaskExit struct {
	Held    ledger.HeldClaim
	Task    wire.TaskIndex
	Cause   wire.Cause    // "" if the task is just not on the machine
	Saved   bool          // a checkpoint was saved
	RunTime time.Duration // since it was first reported running, 0 if unknown
	// LostClaim: the worker has forgotten the task and can't report its exit again.
	LostClaim bool
}

// ExitOfLostClaim is the exit of a claimed task that no worker can report any more: done if the log has its
// completion, else of no known cause.
func ExitOfLostClaim(completions *completion.Log, claim ledger.HeldClaim, task wire.TaskIndex) TaskExit {
	cause := completions.Cause(&claim, task)
	return TaskExit{Held: claim, Task: task, Cause: cause, LostClaim: cause == wire.CauseDone}
}

// ReportedTask is a task that its machine reports, in some state, with its claim.
type ReportedTask struct {
	Held  ledger.HeldClaim
	Task  wire.TaskIndex
	State wire.TaskState
}

// Reconciliation is what a heartbeat shows of the claims on its machine.
type Reconciliation struct {
	Exits    []TaskExit
	Reported []ReportedTask
	// TakeOver are claims under a lower token, of gangs whose tasks are to wait on: first they must come
	// under this controller's token. One claim of each attempt.
	TakeOver []ledger.HeldClaim
	// Unsent are gangs' tasks, claimed under a lower token, that can't begin under it any more. They are
	// proven not to be on the machine, and may be taken over and sent; see ResolveUnsent.
	Unsent []TaskExit
}

// ResolveUnsent decides on the tasks that were not sent: those of gangs whose machines all report are taken
// over, those of others are over, so that the gang begins again elsewhere.
func (f *Reconciliation) ResolveUnsent(allReport func(*ledger.Job) bool) {
	for _, exit := range f.Unsent {
		if allReport(exit.Held.Job) {
			f.addTakeOver(&exit.Held)
		} else {
			f.Exits = append(f.Exits, exit)
		}
	}
	f.Unsent = nil
}

// addTakeOver adds a claim to TakeOver unless one of its attempt is there.
func (f *Reconciliation) addTakeOver(claim *ledger.HeldClaim) {
	sameAttempt := func(o ledger.HeldClaim) bool { return o.Job == claim.Job && o.Attempt == claim.Attempt }
	if !slices.ContainsFunc(f.TakeOver, sameAttempt) {
		f.TakeOver = append(f.TakeOver, *claim)
	}
}

// addReported adds a task to Seen.
func (f *Reconciliation) addReported(claim *ledger.HeldClaim, index wire.TaskIndex, state wire.TaskState) {
	f.Reported = append(f.Reported, ReportedTask{Held: *claim, Task: index, State: state})
}

// addExit adds a task that is just not on the machine to Exits.
func (f *Reconciliation) addExit(claim *ledger.HeldClaim, index wire.TaskIndex) {
	f.Exits = append(f.Exits, TaskExit{Held: *claim, Task: index})
}

// Reconcile compares a heartbeat that is not stale with the claims on its machine and returns what it proves.
// token is the fencing token that the worker is commanded under from now on.
//
// A claim is over when the heartbeat shows its attempt exited; when its agent epoch has passed; or when the
// task is not in a heartbeat that was sent under our token, if the start can't be under way: it was claimed
// under a lower token, whose holder's answers the worker now drops, or we never sent it, or the heartbeat
// was begun after the answer that carried it. Of a start that only we could have sent, and will not send any
// more, the last two prove it under any token.
func (w *Worker) Reconcile(
	hb *wire.Heartbeat,
	held []ledger.HeldClaim,
	token wire.FencingToken,
	now time.Time,
) Reconciliation {
	w.observeHeartbeat(hb, token, now)
	w.checkReachable(hb, held, now)
	var f Reconciliation
	for c := range held {
		claim := &held[c]
		for i := range claim.Count {
			w.reconcileTask(&f, claim, i, now)
		}
	}
	w.pruneTasks()
	return f
}

// reconcileTask compares the i-th task of a claim with the heartbeat observed last.
func (w *Worker) reconcileTask(f *Reconciliation, claim *ledger.HeldClaim, i int, now time.Time) {
	key := keyOf(claim, i)
	task := w.task(key)
	if task != untrackedTask {
		task.claimed = true
	}
	switch {
	case claim.Epoch < w.Epoch:
		// The worker has forgotten how the task ended; the log of completions may show it.
		f.Exits = append(f.Exits, ExitOfLostClaim(w.completions, *claim, key.task.Index))
	case claim.Epoch > w.Epoch:
		// The heartbeat is from before the claim's epoch.
	case task.status != nil:
		w.reconcileReported(f, claim, key.task.Index, task, now)
	default:
		w.reconcileAbsent(f, claim, key, task)
	}
}

// reconcileReported handles a claimed task that the machine reports.
func (w *Worker) reconcileReported(
	f *Reconciliation,
	claim *ledger.HeldClaim,
	index wire.TaskIndex,
	task *trackedTask,
	now time.Time,
) {
	status := task.status
	switch {
	case w.shouldRejoin(claim, status):
		// Commands sends it again under its claim.
	case w.ReclaimAt.IsZero() && claim.Token < w.CommandToken && w.canRejoin(claim, status):
		f.addReported(claim, index, status.State)
		f.addTakeOver(claim)
	case gangWaitTimedOut(status) && (!w.Fresh || claim.Token > w.CommandToken):
		// The controller that holds the machine may have the task wait on under the same attempt: an old
		// heartbeat that shows it give up, processed by another controller, proves nothing. Once the worker
		// has accepted our token no other controller can.
		f.addReported(claim, index, status.State)
	case status.State == wire.TaskExited:
		exit := TaskExit{Held: *claim, Task: index, Cause: status.Cause, Saved: status.Saved}
		if !task.runningSince.IsZero() {
			exit.RunTime = now.Sub(task.runningSince)
		}
		f.Exits = append(f.Exits, exit)
	default:
		f.addReported(claim, index, status.State)
	}
}

// reconcileAbsent handles a claimed task that the machine doesn't report.
func (w *Worker) reconcileAbsent(f *Reconciliation, claim *ledger.HeldClaim, key taskKey, task *trackedTask) {
	index := key.task.Index
	switch {
	case w.Fresh && claim.Token < w.CommandToken && w.canStart(claim):
		// Its controller failed before it sent the start, or the answer was lost. Releasing the task would
		// cost the whole gang its start.
		f.Unsent = append(f.Unsent, TaskExit{Held: *claim, Task: index})
	case w.Fresh && claim.Token < w.CommandToken:
		f.addExit(claim, index)
	case w.startWithdrawn(claim, task):
		if task.startWithheldBefore || w.reachability.unreachable {
			task = w.track(key)
			task.startWithheld, task.claimed = true, true
		}
		if !task.startSent || w.Sequence > task.startSequence {
			f.addExit(claim, index)
		}
	}
}
