package reconcile

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// taskKey identifies one attempt of a task.
type taskKey struct {
	task    wire.TaskID
	attempt wire.Attempt
}

// keyOf returns the key of the i-th task of a claim.
func keyOf(claim *ledger.HeldClaim, i int) taskKey {
	return taskKey{wire.TaskID{Job: claim.Job.ID, Index: claim.First + wire.TaskIndex(i)}, claim.Attempt}
}

// trackedTask is one attempt of a task as last observed on its machine, and the commands sent for it. It is
// kept while the machine reports the task or the records contain a claim of it, and for at most one agent
// epoch.
type trackedTask struct {
	// status is the task in the heartbeat that is being reconciled, or nil if the machine does not report it.
	status       *wire.TaskStatus
	claimed      bool      // the records contained a claim of it at the latest heartbeat
	runningSince time.Time // when it was first reported running; zero if it was not

	stopRequested bool                   // it should stop, after saving a checkpoint if it can
	startSent     bool                   // a start was sent
	startSequence wire.HeartbeatSequence // of the heartbeat whose response carried the latest start

	// startWithheld is set if the start will not be sent any more, because other claims fill the machine or the
	// machine is unreachable. startWithheldBefore is the value before the heartbeat that is being reconciled.
	startWithheld, startWithheldBefore bool
}

// untrackedTask represents a task about which nothing is known. It must never be modified.
var untrackedTask = &trackedTask{}

// task returns the state of a task, for reading only.
func (w *Worker) task(key taskKey) *trackedTask {
	if task := w.tasks[key]; task != nil {
		return task
	}
	return untrackedTask
}

// track returns the state of a task for modification, adding it if necessary.
func (w *Worker) track(key taskKey) *trackedTask {
	task := w.tasks[key]
	if task == nil {
		task = &trackedTask{}
		w.tasks[key] = task
	}
	return task
}

// observeHeartbeat copies a heartbeat's fields and tasks to the worker. A new agent epoch invalidates
// everything known about its tasks.
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
	w.TokenAccepted = hb.FencingToken == token
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

// pruneTasks completes the reconciliation of a heartbeat. Of tasks that the machine does not report it keeps
// only what claims still need. A task that is neither reported nor claimed cannot reappear, as a later claim of
// it has another attempt.
func (w *Worker) pruneTasks() {
	for key, task := range w.tasks {
		switch {
		case task.status != nil:
			task.status = nil // release the heartbeat's memory
		case task.claimed:
			task.stopRequested, task.runningSince = false, time.Time{}
		default:
			delete(w.tasks, key)
		}
	}
}
