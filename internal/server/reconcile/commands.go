package reconcile

import (
	"cmp"
	"slices"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// stopMargin is added to the time that a job needs to save a checkpoint, to give the grace period of its stop.
const stopMargin wire.Seconds = 1

// Commands returns the commands in response to hb, the most recently reconciled heartbeat, given the current
// claims. Starts are sent only for claims under the token that the response carries; mayStart is false while
// the records may lack a cancellation. total is the resources of the machine, or zero if they are not known.
func (w *Worker) Commands(
	hb *wire.Heartbeat,
	held []ledger.HeldClaim,
	total ledger.Resources,
	mayStart bool,
) []wire.Command {
	commands := []wire.Command{} // not nil, so that it is encoded as [] if empty
	absent := w.claimedTasks(held)
	for i := range hb.Tasks {
		status := &hb.Tasks[i]
		key := taskKey{status.Task, status.Attempt}
		claim := absent[key]
		delete(absent, key)
		commands = w.appendForReported(commands, claim, status, mayStart)
	}
	if !mayStart || !w.ReclaimAt.IsZero() {
		return commands
	}
	return w.appendStarts(commands, held, absent, total)
}

// claimedTasks returns the claims of the current epoch, indexed by task.
func (w *Worker) claimedTasks(held []ledger.HeldClaim) map[taskKey]*ledger.HeldClaim {
	claims := make(map[taskKey]*ledger.HeldClaim, len(held))
	for c := range held {
		claim := &held[c]
		if claim.Epoch != w.Epoch {
			continue
		}
		for i := range claim.Count {
			claims[keyOf(claim, i)] = claim
		}
	}
	return claims
}

// appendForReported appends the commands for a task that the machine reports; claim is nil if the records
// contain no claim of it.
func (w *Worker) appendForReported(
	commands []wire.Command,
	claim *ledger.HeldClaim,
	status *wire.TaskStatus,
	mayStart bool,
) []wire.Command {
	key := taskKey{status.Task, status.Attempt}
	switch {
	case claim != nil && mayStart && w.ReclaimAt.IsZero() && w.shouldRejoin(claim, status):
		w.markStartSent(key)
		return append(commands, newCommand(wire.OpForget, key), newCommand(wire.OpStart, key))
	case status.State == wire.TaskExited:
		// Without a claim the exit is already recorded, provided that the records are at least as recent as
		// this controller's token. A newer claim by another controller is ruled out only if the worker has
		// accepted the token.
		if claim == nil && w.TokenAccepted {
			return append(commands, newCommand(wire.OpForget, key))
		}
	case claim == nil:
		if w.TokenAccepted {
			return append(commands, newStopCommand(key, 0))
		}
	case claim.Job.State == ledger.Cancelled || claim.Job.Cancelling:
		return append(commands, newStopCommand(key, 0)) // no need to save a checkpoint
	case !shouldRun(claim) || w.task(key).stopRequested || !w.ReclaimAt.IsZero():
		return append(commands, newStopCommand(key, claim.Job.Spec.Save+stopMargin))
	}
	return commands
}

// appendStarts appends the starts of claimed tasks that the machine does not report.
//
// Two controllers may have claimed the same resources at the same time. The worker would refuse the second
// start, so only what fits is sent, the largest gangs first, as a refusal would cost a gang all its other
// tasks. Starts that do not fit are withheld, unless they were sent before.
func (w *Worker) appendStarts(
	commands []wire.Command,
	held []ledger.HeldClaim,
	absent map[taskKey]*ledger.HeldClaim,
	total ledger.Resources,
) []wire.Command {
	starts, free := w.startable(held, absent, total)
	for _, claim := range starts {
		for i := range claim.Count {
			key := keyOf(claim, i)
			if absent[key] == nil || w.task(key).startWithheld {
				continue
			}
			if !w.task(key).startSent && total != (ledger.Resources{}) && !free.Fits(claim.Job.Need) {
				w.track(key).startWithheld = true
				continue
			}
			free = free.Add(claim.Job.Need, -1)
			w.markStartSent(key)
			commands = append(commands, newCommand(wire.OpStart, key))
		}
	}
	return commands
}

// startable returns the claims with absent tasks that this controller may start, the largest gangs first, and
// the part of total that the reported tasks leave free.
func (w *Worker) startable(
	held []ledger.HeldClaim,
	absent map[taskKey]*ledger.HeldClaim,
	total ledger.Resources,
) (starts []*ledger.HeldClaim, free ledger.Resources) {
	free = total
	for c := range held {
		claim := &held[c]
		if claim.Epoch != w.Epoch {
			continue
		}
		missing := 0
		for i := range claim.Count {
			if absent[keyOf(claim, i)] != nil {
				missing++
			}
		}
		free = free.Add(claim.Job.Need, missing-claim.Count)
		if missing > 0 && claim.Token == w.CommandToken && shouldRun(claim) {
			starts = append(starts, claim)
		}
	}
	slices.SortStableFunc(starts, func(a, b *ledger.HeldClaim) int {
		return cmp.Compare(b.Job.GangSize(), a.Job.GangSize())
	})
	return starts, free
}

// markStartSent records that the response to the latest heartbeat carries a start.
func (w *Worker) markStartSent(key taskKey) {
	task := w.track(key)
	task.startSent, task.startSequence = true, w.Sequence
}

// newCommand returns a command without a grace period.
func newCommand(op wire.Op, key taskKey) wire.Command {
	return wire.Command{Op: op, Task: key.task, Attempt: key.attempt}
}

// newStopCommand returns the command that stops a task, with a grace period in which it may save a checkpoint.
func newStopCommand(key taskKey, grace wire.Seconds) wire.Command {
	stop := newCommand(wire.OpStop, key)
	stop.Grace = &grace
	return stop
}
