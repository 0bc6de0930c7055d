package reconcile

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// A machine may be unreachable in one direction: its heartbeats arrive, the answers to them don't. Nothing
// that is sent there begins, its lease expires though it reports, and its resources look free all the while.
// It shows by what does not follow from answers: the token that they carried, the tasks that they started,
// the epoch that they should have prolonged. From then on nothing is placed there until the worker has shown
// a token that it can only have from a later answer.

// maxIneffective is how many answers in a row may have no effect until a machine counts as unreachable: a
// single one may be lost by itself.
const maxIneffective = 2

// reachability is what is known of whether answers arrive at a machine.
type reachability struct {
	// The latest heartbeat of this epoch that was answered.
	answeredSequence wire.HeartbeatSequence // 0: none
	answeredAt       time.Time              // when the heartbeat came; kept beyond the epoch
	answeredToken    wire.FencingToken      // that the answer carried

	ineffectiveAnswers int // answers in a row that had no effect

	unreachable      bool
	unreachableSince time.Time         // when the machine was found to be unreachable
	shownToken       wire.FencingToken // the token that the worker showed when it was last found unreachable
}

// setUnreachable notes that the machine is unreachable, found by a heartbeat with a token.
func (reach *reachability) setUnreachable(shown wire.FencingToken, now time.Time) {
	if !reach.unreachable {
		reach.unreachableSince = now
	}
	reach.unreachable, reach.shownToken = true, shown
}

// ObserveAnswered notes that the latest heartbeat was answered, and when it came.
func (w *Worker) ObserveAnswered(at time.Time) {
	w.reachability.answeredSequence = w.Sequence
	w.reachability.answeredAt = at
	w.reachability.answeredToken = w.CommandToken
}

// Unreachable reports whether answers to the machine's heartbeats seem not to arrive.
func (w *Worker) Unreachable() bool { return w.reachability.unreachable }

// UnreachableFor is for how long the machine has been unreachable, at least a millisecond; 0 if it is not.
func (w *Worker) UnreachableFor(now time.Time) time.Duration {
	if !w.reachability.unreachable {
		return 0
	}
	return max(time.Millisecond, now.Sub(w.reachability.unreachableSince))
}

// ProvesReachable reports whether a heartbeat that shows a token proves that answers arrive.
func (w *Worker) ProvesReachable(token wire.FencingToken) bool {
	return !w.reachability.unreachable || token > w.reachability.shownToken
}

// ObserveEpoch finds a machine unreachable whose heartbeat begins a new epoch too early: within a lease of a
// heartbeat whose answer arrived no epoch begins. minLease is the length of a lease less the greatest age of
// a heartbeat when it comes. It is to be called before Reconcile.
func (w *Worker) ObserveEpoch(hb *wire.Heartbeat, now time.Time, minLease time.Duration) {
	reach := &w.reachability
	if w.Epoch != 0 && hb.Epoch > w.Epoch && !reach.answeredAt.IsZero() && now.Sub(reach.answeredAt) < minLease {
		reach.setUnreachable(hb.FencingToken, now)
	}
}

// checkReachable decides by a heartbeat, which is observed, whether the answers to earlier ones arrived.
func (w *Worker) checkReachable(hb *wire.Heartbeat, held []ledger.HeldClaim, now time.Time) {
	reach := &w.reachability
	switch {
	case reach.unreachable:
		if hb.FencingToken > reach.shownToken {
			reach.unreachable, reach.ineffectiveAnswers = false, 0
		}
		return
	case reach.answeredSequence == 0:
		return
	case hb.FencingToken > reach.answeredToken:
		reach.ineffectiveAnswers = 0 // another controller has answered it
		return
	case hb.FencingToken == reach.answeredToken && !w.hasLostStart(held):
		reach.ineffectiveAnswers = 0
		return
	}
	if reach.ineffectiveAnswers++; reach.ineffectiveAnswers >= maxIneffective {
		reach.setUnreachable(hb.FencingToken, now)
	}
}

// hasLostStart reports whether a start that went out with an answer has not become a task.
func (w *Worker) hasLostStart(held []ledger.HeldClaim) bool {
	reach := &w.reachability
	for c := range held {
		claim := &held[c]
		if claim.Token != reach.answeredToken || !shouldRun(claim) {
			continue
		}
		for i := range claim.Count {
			task := w.task(keyOf(claim, i))
			if task.startSent && task.startSequence <= reach.answeredSequence && task.status == nil {
				return true
			}
		}
	}
	return false
}
