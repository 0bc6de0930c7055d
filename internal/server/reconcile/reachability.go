package reconcile

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// A machine may be unreachable in one direction: its heartbeats arrive, but the responses to them do not.
// Commands sent to it have no effect, its lease expires although it reports, and its resources appear free all
// the time. This is detected by the missing effects of responses: the token that they carried, the tasks that
// they started, the epoch that they should have extended. From then on nothing is placed on the machine until
// the worker shows a token that it can only have received in a later response.

// maxIneffective is how many consecutive responses may have no effect before a machine counts as unreachable. A
// single response may be lost by chance.
const maxIneffective = 2

// reachability tracks whether responses arrive at a machine.
type reachability struct {
	// The latest heartbeat of this epoch that was answered.
	answeredSequence wire.HeartbeatSequence // 0: none
	answeredAt       time.Time              // when the heartbeat arrived; kept across epochs
	answeredToken    wire.FencingToken      // carried by the response

	ineffectiveAnswers int // consecutive responses that had no effect

	unreachable      bool
	unreachableSince time.Time         // when the machine was found unreachable
	shownToken       wire.FencingToken // the token that the worker showed when it was last found unreachable
}

// setUnreachable marks the machine as unreachable, as shown by a heartbeat with the given token.
func (reach *reachability) setUnreachable(shown wire.FencingToken, now time.Time) {
	if !reach.unreachable {
		reach.unreachableSince = now
	}
	reach.unreachable, reach.shownToken = true, shown
}

// ObserveAnswered records that the latest heartbeat, which arrived at the given time, was answered.
func (w *Worker) ObserveAnswered(at time.Time) {
	w.reachability.answeredSequence = w.Sequence
	w.reachability.answeredAt = at
	w.reachability.answeredToken = w.CommandToken
}

// Unreachable reports whether responses to the machine's heartbeats seem not to arrive.
func (w *Worker) Unreachable() bool { return w.reachability.unreachable }

// UnreachableFor returns how long the machine has been unreachable, at least a millisecond; 0 if it is
// reachable.
func (w *Worker) UnreachableFor(now time.Time) time.Duration {
	if !w.reachability.unreachable {
		return 0
	}
	return max(time.Millisecond, now.Sub(w.reachability.unreachableSince))
}

// ProvesReachable reports whether a heartbeat that shows a token proves that responses arrive.
func (w *Worker) ProvesReachable(token wire.FencingToken) bool {
	return !w.reachability.unreachable || token > w.reachability.shownToken
}

// ObserveEpoch marks a machine as unreachable if its heartbeat starts a new epoch too early: no epoch starts
// within a lease of a heartbeat whose response arrived. minLease is the length of a lease less the maximum age
// of a heartbeat on arrival. ObserveEpoch must be called before Reconcile.
func (w *Worker) ObserveEpoch(hb *wire.Heartbeat, now time.Time, minLease time.Duration) {
	reach := &w.reachability
	if w.Epoch != 0 && hb.Epoch > w.Epoch && !reach.answeredAt.IsZero() && now.Sub(reach.answeredAt) < minLease {
		reach.setUnreachable(hb.FencingToken, now)
	}
}

// checkReachable decides, from a heartbeat that has been observed, whether the responses to earlier heartbeats
// arrived.
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
		reach.ineffectiveAnswers = 0 // another controller has answered the worker
		return
	case hb.FencingToken == reach.answeredToken && !w.hasLostStart(held):
		reach.ineffectiveAnswers = 0
		return
	}
	if reach.ineffectiveAnswers++; reach.ineffectiveAnswers >= maxIneffective {
		reach.setUnreachable(hb.FencingToken, now)
	}
}

// hasLostStart reports whether a start sent in an answered heartbeat's response has not become a task.
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
