package reconcile

import (
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// ownToken is the fencing token under which the controller under test commands the worker.
const ownToken = wire.FencingToken(7)

// The attempt claimed by claimOf, and its key.
const testAttempt = wire.Attempt(3)

var testKey = taskKey{wire.TaskID{Job: "wk-000001", Index: 0}, testAttempt}

// claimOf returns a claim of the only task of a job in a state ("" is active).
func claimOf(epoch wire.AgentEpoch, token wire.FencingToken, state ledger.JobState) []ledger.HeldClaim {
	job := &ledger.Job{
		ID:      testKey.task.Job,
		Spec:    &wire.JobSpec{Tasks: 1, Shape: wire.Array, Save: 2, Checkpoint: 5},
		State:   state,
		Claimed: 1,
	}
	claim := ledger.Claim{First: 0, Count: 1, Attempt: testAttempt, Machine: "host-1", Epoch: epoch, Token: token}
	return []ledger.HeldClaim{{Job: job, Claim: claim}}
}

// heartbeat returns a heartbeat of a worker that has accepted a token.
func heartbeat(
	epoch wire.AgentEpoch,
	sequence wire.HeartbeatSequence,
	token wire.FencingToken,
	tasks ...wire.TaskStatus,
) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "host-1", Epoch: epoch, Sequence: sequence, FencingToken: token, Tasks: tasks}
}

// status returns an attempt of the task of claimOf in a state.
func status(state wire.TaskState, attempt wire.Attempt) wire.TaskStatus {
	return wire.TaskStatus{Task: testKey.task, Attempt: attempt, State: state}
}

// gangTimedOutStatus returns the status of claimOf's task after it timed out waiting for its gang.
func gangTimedOutStatus() wire.TaskStatus {
	t := status(wire.TaskExited, testAttempt)
	t.Cause = wire.CauseGangIncomplete
	return t
}

// TestStale checks that a heartbeat is stale if it is of an earlier epoch, or not newer than the latest of the
// current epoch.
func TestStale(t *testing.T) {
	w := NewWorker(heartbeat(2, 5, 0), nil, time.Time{})
	w.Reconcile(heartbeat(2, 5, 0), nil, ownToken, time.Time{})
	for _, tc := range []struct {
		hb   *wire.Heartbeat
		want bool
	}{
		{heartbeat(1, 90, ownToken), true},
		{heartbeat(2, 5, ownToken), true},
		{heartbeat(2, 4, ownToken), true},
		{heartbeat(2, 6, 0), false},
		{heartbeat(3, 1, 0), false},
	} {
		if got := w.Stale(tc.hb); got != tc.want {
			t.Errorf("epoch %d, sequence %d: stale %v, want %v", tc.hb.Epoch, tc.hb.Sequence, got, tc.want)
		}
	}
}

// TestObservedTasks checks that the state of a task is dropped when the task is neither reported nor claimed,
// or when a new agent epoch starts, and that of a claimed but unreported task only the sent start is kept.
func TestObservedTasks(t *testing.T) {
	at := func(s int) time.Time { return time.Date(2026, 1, 1, 0, 0, s, 0, time.UTC) }
	running := status(wire.TaskRunning, testAttempt)
	// started returns a worker that has received the start of the claim, runs the task and should stop it.
	started := func(t *testing.T) (*Worker, []ledger.HeldClaim) {
		t.Helper()
		claims := claimOf(1, ownToken, ledger.Active)
		w := NewWorker(heartbeat(1, 1, ownToken), nil, at(0))
		w.Reconcile(heartbeat(1, 1, ownToken), claims, ownToken, at(0))
		if commands := w.Commands(heartbeat(1, 1, ownToken), claims, ledger.Resources{}, true); len(commands) != 1 {
			t.Fatalf("commands %+v, want a start", commands)
		}
		w.Reconcile(heartbeat(1, 2, ownToken, running), claims, ownToken, at(1))
		w.RequestStop(claims[0])
		return w, claims
	}
	t.Run("reported", func(t *testing.T) {
		w, claims := started(t)
		w.Reconcile(heartbeat(1, 3, ownToken, running), claims, ownToken, at(2))
		want := trackedTask{claimed: true, runningSince: at(1), stopRequested: true, startSent: true, startSequence: 1}
		if got := *w.task(testKey); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	t.Run("reported, not claimed", func(t *testing.T) {
		w, _ := started(t)
		w.Reconcile(heartbeat(1, 3, ownToken, running), nil, ownToken, at(2))
		want := trackedTask{runningSince: at(1), stopRequested: true, startSent: true, startSequence: 1}
		if got := *w.task(testKey); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	t.Run("claimed, not reported", func(t *testing.T) {
		w, claims := started(t)
		w.Reconcile(heartbeat(1, 3, ownToken), claims, ownToken, at(2))
		want := trackedTask{claimed: true, startSent: true, startSequence: 1}
		if got := *w.task(testKey); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	t.Run("neither", func(t *testing.T) {
		w, _ := started(t)
		w.Reconcile(heartbeat(1, 3, ownToken), nil, ownToken, at(2))
		if len(w.tasks) != 0 {
			t.Errorf("%d tasks tracked, want none", len(w.tasks))
		}
	})
	t.Run("new epoch", func(t *testing.T) {
		w, claims := started(t)
		w.Reconcile(heartbeat(2, 1, ownToken, running), claims, ownToken, at(2))
		want := trackedTask{claimed: true, runningSince: at(2)}
		if got := *w.task(testKey); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	if *untrackedTask != (trackedTask{}) {
		t.Errorf("untrackedTask was modified: %+v", *untrackedTask)
	}
}
