package reconcile

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// taskKey is one attempt of a task.
type taskKey struct {
	task    wire.TaskID
	attempt wire.Attempt
}

// keyOf is the key of the i-th task of a claim.
func keyOf(claim *ledger.HeldClaim, i int) taskKey {
	return taskKey{wire.TaskID{Job: claim.Job.ID, Index: claim.First + wire.TaskIndex(i)}, claim.Attempt}
}

// trackedTask is one attempt of a task as it was last observed on its machine, and what it was commanded
// to do there. It is kept while the machine reports the task or the records hold a claim of it, and for one
// agent epoch at most.
type trackedTask struct {
	// status is the task in the heartbeat that is being reconciled; nil: the machine doesn't report it.
	status       *wire.TaskStatus
	claimed      bool      // the records held a claim of it at the latest heartbeat
	runningSince time.Time // when it was first reported running; zero: it wasn't

	stopRequested bool                   // it is to be stopped, saving a checkpoint if it can
	startSent     bool                   // a start was sent
	startSequence wire.HeartbeatSequence // of the heartbeat whose answer carried the latest start

	// startWithheld: its start is not to be sent any more, as other claims fill the machine or the machine is
	// unreachable. startWithheldBefore is the value before the heartbeat that is being reconciled.
	startWithheld, startWithheldBefore bool
}

// untrackedTask stands for a task of which nothing is known. It is never written to.
var untrackedTask = &trackedTask{}

// task is what is known of a task, for reading only.
func (w *Worker) task(key taskKey) *trackedTask {
	if task := w.tasks[key]; task != nil {
		return task
	}
	return untrackedTask
}

// track is what is known of a task, for writing.
func (w *Worker) track(key taskKey) *trackedTask {
	task := w.tasks[key]
	if task == nil {
		task = &trackedTask{}
		w.tasks[key] = task
	}
	return task
}

// observeHeartbeat takes over a heartbeat's fields and tasks. In a new agent epoch nothing that was known
// of the tasks holds any more.
func (w *Worker) observeHeartbeat(hb *wire.Heartbeat, token wire.FencingToken, now time.Time) {
	if hb.Epoch != w.Epoch {
		clear(w.tasks)
		w.oldTokens = nil
		w.reachability.answeredSequence = 0
	} else if token != w.CommandToken {
		w.oldTokens = append(w.oldTokens, w.CommandToken)
	}
	w.Epoch, w.Sequence, w.LastHeartbeat, w.CommandToken = hb.Epoch, hb.Sequence, now, token
	w.Addr, w.Type, w.Zone, w.Spot = hb.Addr, hb.Type, hb.Zone, hb.Spot
	w.Fresh = hb.FencingToken == token
	w.ReclaimAt = time.Time{}
	if hb.ReclaimNotice != nil {
		w.ReclaimAt = now.Add(hb.ReclaimNotice.Duration())
	}
	for _, task := range w.tasks {
		task.status, task.claimed = nil, false
		task.startWithheld, task.startWithheldBefore = false, task.startWithheld
	}
	for i := range hb.Tasks {
		status := &hb.Tasks[i]
		task := w.track(taskKey{status.Task, status.Attempt})
		task.status = status
		if status.State == wire.TaskRunning && task.runningSince.IsZero() {
			task.runningSince = now
		}
	}
}

// pruneTasks ends the reconciliation of a heartbeat: of tasks that the machine doesn't report only what
// claims still need is kept. A task that is neither reported nor claimed can't come back, as a later claim
// of it has another attempt.
func (w *Worker) pruneTasks() {
	for key, task := range w.tasks {
		switch {
		case task.status != nil:
			task.status = nil // not to keep the heartbeat in memory
		case task.claimed:
			task.stopRequested, task.runningSince = false, time.Time{}
		default:
			delete(w.tasks, key)
		}
	}
}
