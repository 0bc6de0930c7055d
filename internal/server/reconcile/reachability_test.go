package reconcile

import (
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// The interval between heartbeats in these tests, and the lease less the maximum age of a heartbeat.
const (
	testInterval = 3 * time.Second
	testMinLease = 25 * time.Second
)

// heartbeatTime returns the time at which the i-th heartbeat arrives.
func heartbeatTime(i int) time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(i) * testInterval)
}

// answerResult is the outcome of a heartbeat that was answered.
type answerResult struct {
	exits, commands int
	unreachable     bool
}

// answer processes the i-th heartbeat under a token and answers it.
func answer(w *Worker, claims []ledger.HeldClaim, i int, hb *wire.Heartbeat, token wire.FencingToken) answerResult {
	r := w.Reconcile(hb, claims, token, heartbeatTime(i))
	commands := w.Commands(hb, claims, ledger.Resources{}, true)
	w.ObserveAnswered(heartbeatTime(i))
	return answerResult{exits: len(r.Exits), commands: len(commands), unreachable: w.Unreachable()}
}

// unreachableWorker returns a worker that was found unreachable at its 6th heartbeat, after the start of a
// second attempt was lost twice.
func unreachableWorker(t *testing.T) (*Worker, []ledger.HeldClaim) {
	t.Helper()
	claims := claimOf(1, ownToken, "")
	w := NewWorker(heartbeat(1, 1, ownToken), nil, heartbeatTime(0))
	first := heartbeat(1, 1, ownToken)
	w.Reconcile(first, claims, ownToken, heartbeatTime(1))
	commands := w.Commands(first, claims, ledger.Resources{}, true)
	w.ObserveAnswered(heartbeatTime(1))
	if len(commands) != 1 || commands[0].Op != wire.OpStart {
		t.Fatalf("commands %v, want a start", commands)
	}
	answer(w, claims, 2, heartbeat(1, 2, ownToken), ownToken) // the start was lost once
	if w.Unreachable() {
		t.Fatal("unreachable after one lost response")
	}
	answer(w, claims, 3, heartbeat(1, 3, ownToken, status(wire.TaskRunning, testAttempt)), ownToken)
	if w.Unreachable() || w.reachability.ineffectiveAnswers != 0 {
		t.Fatal("still unreachable or counting lost responses after a response arrived")
	}
	claims[0].Attempt, claims[0].First = testAttempt+1, 0
	answer(w, claims, 4, heartbeat(1, 4, ownToken), ownToken)
	answer(w, claims, 5, heartbeat(1, 5, ownToken), ownToken)
	got := answer(w, claims, 6, heartbeat(1, 6, ownToken), ownToken)
	if want := (answerResult{exits: 1, unreachable: true}); got != want {
		t.Fatalf("after two lost starts: %+v, want %+v", got, want)
	}
	return w, claims
}

// TestUnreachable checks that two lost responses in a row make a machine unreachable, but a single one does
// not, and that only a token that the worker had not shown before proves that responses arrive. Tasks released
// while the machine was unreachable must not be sent again once it is reachable.
func TestUnreachable(t *testing.T) {
	w, claims := unreachableWorker(t)
	if got := w.UnreachableFor(heartbeatTime(7)); got != testInterval {
		t.Errorf("unreachable for %v, want %v", got, testInterval)
	}
	if w.ProvesReachable(ownToken) || !w.ProvesReachable(ownToken+1) {
		t.Fatal("ProvesReachable is true for a token already shown, or false for a new one")
	}
	got := answer(w, claims, 7, heartbeat(1, 7, ownToken), ownToken+1)
	if want := (answerResult{exits: 1, unreachable: true}); got != want {
		t.Fatalf("under a new token: %+v, want %+v", got, want)
	}
	got = answer(w, claims, 8, heartbeat(1, 8, ownToken+1), ownToken+1)
	if got.unreachable || got.commands != 0 {
		t.Fatalf("after the worker has shown the token: %+v, want reachable and no commands", got)
	}
}

// TestEpochWithinLease checks that an epoch that starts within a lease of an answered heartbeat makes a machine
// unreachable until it shows a newer token, and that a later one does not.
func TestEpochWithinLease(t *testing.T) {
	w, claims := unreachableWorker(t)
	answer(w, claims, 7, heartbeat(1, 7, ownToken), ownToken+1)
	answer(w, claims, 8, heartbeat(1, 8, ownToken+1), ownToken+1)
	if w.Unreachable() {
		t.Fatal("unreachable although the worker has shown a newer token")
	}
	hb := heartbeat(2, 1, ownToken+1)
	if w.ObserveEpoch(hb, heartbeatTime(9), testMinLease); !w.Unreachable() {
		t.Error("reachable although its epoch ended 3 s after a response")
	}
	if w.Reconcile(hb, claims, ownToken+2, heartbeatTime(9)); !w.Unreachable() {
		t.Error("reachable although the worker has not shown a newer token")
	}
	if w.Reconcile(heartbeat(2, 2, ownToken+2), claims, ownToken+2, heartbeatTime(10)); w.Unreachable() {
		t.Error("unreachable although the worker has shown a newer token")
	}

	quiet := NewWorker(heartbeat(1, 1, ownToken), nil, heartbeatTime(0))
	quiet.Reconcile(heartbeat(1, 1, ownToken), nil, ownToken, heartbeatTime(0))
	quiet.ObserveAnswered(heartbeatTime(0))
	if quiet.ObserveEpoch(heartbeat(2, 1, ownToken), heartbeatTime(20), testMinLease); quiet.Unreachable() {
		t.Error("unreachable although its epoch ended long after the last response")
	}
}
