// Package reconcile compares workers' heartbeats with the replicated records. It is level-triggered: each
// heartbeat contains all tasks of its machine and is compared with all claims on it, so that the next heartbeat
// makes up for any lost message.
//
// Registry holds the workers that report to this controller. Worker is the state of one of them:
// Worker.Reconcile processes a heartbeat and returns what it proves about claims (a Reconciliation),
// Worker.Commands returns the commands for the response. ExitChanges turns proven exits into changes for the
// committer, and Recorder does the same for completions that were reported while the state service was
// unavailable.
//
// No state here is durable or has a lock of its own: except for Recorder.Run, everything is used under the lock
// of the watch cache. The package makes no placement decisions.
//
// Invariants: a claim is released only when a heartbeat proves that its task can no longer run; silence is no
// proof. A task is started only under the fencing token that its claim names. A start that the machine may have
// received is not sent under another attempt before the first is proven to have ended.
package reconcile

import (
	"time"

	"maddermill/internal/membership/completion"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Worker is the state that a controller keeps about a worker that reports to it. None of it is durable: another
// controller rebuilds it from the records and one round of heartbeats.
type Worker struct {
	ID   wire.MachineID
	Addr string // its endpoint
	Type wire.MachineTypeName
	Zone wire.Zone
	Spot bool

	// The latest heartbeat.
	Epoch         wire.AgentEpoch
	Sequence      wire.HeartbeatSequence
	TokenAccepted bool      // it was sent after the worker had accepted CommandToken
	LastHeartbeat time.Time // when it arrived
	ReclaimAt     time.Time // when the cloud provider reclaims the machine, zero if unknown

	CommandToken   wire.FencingToken // the token under which this controller commands the worker
	FirstHeartbeat time.Time         // when the first heartbeat arrived here
	RedirectedAt   time.Time         // when the worker was last redirected to another controller
	CordonedUntil  time.Time         // no task is placed on the machine before this time

	tasks        map[taskKey]*trackedTask
	oldTokens    []wire.FencingToken // earlier values of CommandToken in this epoch
	reachability reachability
	completions  *completion.Log
}

// NewWorker returns a worker whose first heartbeat arrived now. The completion log, which may be nil, shows how
// tasks ended that the worker has forgotten.
func NewWorker(hb *wire.Heartbeat, completions *completion.Log, now time.Time) *Worker {
	return &Worker{
		ID:             hb.Machine,
		Addr:           hb.Addr,
		Type:           hb.Type,
		Zone:           hb.Zone,
		Spot:           hb.Spot,
		FirstHeartbeat: now,
		tasks:          map[taskKey]*trackedTask{},
		completions:    completions,
	}
}

// Stale reports whether a heartbeat is older than one already reconciled. After a network partition heartbeats
// may arrive minutes late.
func (w *Worker) Stale(hb *wire.Heartbeat) bool {
	return hb.Epoch < w.Epoch || hb.Epoch == w.Epoch && hb.Sequence <= w.Sequence
}

// RequestStop marks a claim's tasks to be stopped, after saving a checkpoint if they can. The commands are sent with
// the next response.
func (w *Worker) RequestStop(claim ledger.HeldClaim) {
	for i := range claim.Count {
		w.track(keyOf(&claim, i)).stopRequested = true
	}
}
