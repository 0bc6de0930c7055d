// Package reconcile compares workers' heartbeats with the replicated records. It is level-triggered: each
// heartbeat shows all tasks of its machine and is compared with all claims on it, so that whatever was lost
// on the way is made up for by the next one.
//
// Registry holds the workers that report to this controller. A Worker is the state of one of them:
// Worker.Reconcile takes a heartbeat and returns what it proves of claims (a Reconciliation), Worker.Commands
// returns the answer. ExitChanges turns proven exits into changes for the committer, and Recorder does the
// same for completions that were reported while the state service was out of reach.
//
// Nothing here is durable, and nothing has a lock of its own: all of it, Recorder.Run apart, is used under
// the lock of the watch cache. The package decides nothing about placement.
//
// Invariants: a claim is released only when a heartbeat proves that its task can't run any more; silence is
// no proof. A task is started only under the fencing token that its claim names. A start that the machine
// may have got is not sent under another attempt before the first is proven to be over.
package reconcile

import (
	"slices"
	"time"

	"maddermill/internal/membership/completion"
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

// observedTask is one attempt of a task as it was last observed on its machine, and what it was commanded
// to do there. It is kept while the machine reports the task or the records hold a claim of it, and for one
// agent epoch at most.
type observedTask struct {
	// status is the task in the heartbeat that is being reconciled; nil: the machine doesn't report it.
	status       *wire.TaskStatus
	claimed      bool      // the records held a claim of it at the latest heartbeat
	runningSince time.Time // when it was first reported running; zero: it wasn't

	stop         bool                   // it is to be stopped, saving a checkpoint if it can
	sent         bool                   // a start was sent
	sentSequence wire.HeartbeatSequence // of the heartbeat whose answer carried the latest start

	// withheld: its start is not to be sent any more, as other claims fill the machine or the machine is
	// unreachable. withheldBefore is the value before the heartbeat that is being reconciled.
	withheld, withheldBefore bool
}

// notObserved stands for a task of which nothing is known. It is never written to.
var notObserved = &observedTask{}

// Worker is what a controller knows of a worker that reports to it. Nothing of it is durable: another
// controller starts from the records and one round of heartbeats.
type Worker struct {
	ID   wire.MachineID
	Addr string // its endpoint
	Type wire.MachineTypeName
	Zone wire.Zone
	Spot bool

	// The latest heartbeat.
	Session       wire.AgentEpoch
	Sequence      wire.HeartbeatSequence
	Fresh         bool      // it was sent after the worker had accepted CommandToken
	LastHeartbeat time.Time // when it came
	ReclaimAt     time.Time // when the cloud reclaims the machine, zero if unknown

	CommandToken   wire.FencingToken // the token that this controller commands the worker under
	FirstHeartbeat time.Time         // when the first heartbeat came here
	RedirectedAt   time.Time         // when the worker was last redirected to another controller
	CordonedUntil  time.Time         // nothing is placed on the machine before that time

	tasks        map[taskKey]*observedTask
	oldTokens    []wire.FencingToken // that preceded CommandToken in this epoch
	reachability reachability
	completed    *completion.Log
}

// NewWorker returns a worker whose first heartbeat came now. The log of completions, which may be nil, shows
// how tasks ended that the worker has forgotten.
func NewWorker(r *wire.Heartbeat, completed *completion.Log, now time.Time) *Worker {
	return &Worker{
		ID:             r.Machine,
		Addr:           r.Addr,
		Type:           r.Type,
		Zone:           r.Zone,
		Spot:           r.Spot,
		FirstHeartbeat: now,
		tasks:          map[taskKey]*observedTask{},
		completed:      completed,
	}
}

// Stale reports whether a heartbeat is older than one already reconciled. A network that was cut may
// deliver heartbeats minutes late.
func (w *Worker) Stale(r *wire.Heartbeat) bool {
	return r.Epoch < w.Session || r.Epoch == w.Session && r.Sequence <= w.Sequence
}

// Stop marks a claim's tasks as to be stopped, saving a checkpoint first if they can. The commands go out
// with the next answer.
func (w *Worker) Stop(claim ledger.HeldClaim) {
	for i := range claim.Count {
		w.observe(keyOf(&claim, i)).stop = true
	}
}

// task is what is known of a task, for reading only.
func (w *Worker) task(key taskKey) *observedTask {
	if task := w.tasks[key]; task != nil {
		return task
	}
	return notObserved
}

// observe is what is known of a task, for writing.
func (w *Worker) observe(key taskKey) *observedTask {
	task := w.tasks[key]
	if task == nil {
		task = &observedTask{}
		w.tasks[key] = task
	}
	return task
}

// observeHeartbeat takes over a heartbeat's fields and tasks. In a new agent epoch nothing that was known
// of the tasks holds any more.
func (w *Worker) observeHeartbeat(r *wire.Heartbeat, token wire.FencingToken, now time.Time) {
	if r.Epoch != w.Session {
		clear(w.tasks)
		w.oldTokens = nil
		w.reachability.answeredSequence = 0
	} else if token != w.CommandToken {
		w.oldTokens = append(w.oldTokens, w.CommandToken)
	}
	w.Session, w.Sequence, w.LastHeartbeat, w.CommandToken = r.Epoch, r.Sequence, now, token
	w.Addr, w.Type, w.Zone, w.Spot = r.Addr, r.Type, r.Zone, r.Spot
	w.Fresh = r.FencingToken == token
	w.ReclaimAt = time.Time{}
	if r.ReclaimNotice != nil {
		w.ReclaimAt = now.Add(r.ReclaimNotice.Duration())
	}
	for _, task := range w.tasks {
		task.status, task.claimed = nil, false
		task.withheld, task.withheldBefore = false, task.withheld
	}
	for i := range r.Tasks {
		status := &r.Tasks[i]
		task := w.observe(taskKey{status.Task, status.Attempt})
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
			task.stop, task.runningSince = false, time.Time{}
		default:
			delete(w.tasks, key)
		}
	}
}

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
	return gaveUpOnGang(status) && w.Fresh && wanted(claim) && claim.Job.RunsWholeMachines()
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
	return claim.Job.GangSize() > 1 && w.ReclaimAt.IsZero() && wanted(claim) && claim.Job.RunsWholeMachines()
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
