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
	"time"

	"maddermill/internal/membership/completion"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Worker is what a controller knows of a worker that reports to it. Nothing of it is durable: another
// controller starts from the records and one round of heartbeats.
type Worker struct {
	ID   wire.MachineID
	Addr string // its endpoint
	Type wire.MachineTypeName
	Zone wire.Zone
	Spot bool

	// The latest heartbeat.
	Epoch         wire.AgentEpoch
	Sequence      wire.HeartbeatSequence
	Fresh         bool      // it was sent after the worker had accepted CommandToken
	LastHeartbeat time.Time // when it came
	ReclaimAt     time.Time // when the cloud reclaims the machine, zero if unknown

	CommandToken   wire.FencingToken // the token that this controller commands the worker under
	FirstHeartbeat time.Time         // when the first heartbeat came here
	RedirectedAt   time.Time         // when the worker was last redirected to another controller
	CordonedUntil  time.Time         // nothing is placed on the machine before that time

	tasks        map[taskKey]*trackedTask
	oldTokens    []wire.FencingToken // that preceded CommandToken in this epoch
	reachability reachability
	completions  *completion.Log
}

// NewWorker returns a worker whose first heartbeat came now. The log of completions, which may be nil, shows
// how tasks ended that the worker has forgotten.
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

// Stale reports whether a heartbeat is older than one already reconciled. A network that was cut may
// deliver heartbeats minutes late.
func (w *Worker) Stale(hb *wire.Heartbeat) bool {
	return hb.Epoch < w.Epoch || hb.Epoch == w.Epoch && hb.Sequence <= w.Sequence
}

// Stop marks a claim's tasks as to be stopped, saving a checkpoint first if they can. The commands go out
// with the next answer.
func (w *Worker) Stop(claim ledger.HeldClaim) {
	for i := range claim.Count {
		w.track(keyOf(&claim, i)).stopRequested = true
	}
}
