package reconcile

import (
	"slices"
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestProvenExits checks that a claim ends only when a heartbeat proves it. Silence, a heartbeat under another
// token and one sent before the start prove nothing.
func TestProvenExits(t *testing.T) {
	const never = 0
	absent, incomplete := heartbeat(1, 9, ownToken), heartbeat(1, 9, ownToken, gangTimedOutStatus())
	exited := status(wire.TaskExited, testAttempt)
	for _, tc := range []struct {
		name          string
		claim         []ledger.HeldClaim
		hb            *wire.Heartbeat
		startSequence wire.HeartbeatSequence // of the heartbeat whose response carried the start
		exits         int
	}{
		{"absent, claimed under a lower token, worker has accepted our token",
			claimOf(1, 5, ""), absent, never, 1},
		{"absent, claimed under a lower token, worker has not accepted our token",
			claimOf(1, 5, ""), heartbeat(1, 9, 5), never, 0},
		{"absent, claimed under a higher token: another controller owns it",
			claimOf(1, 8, ""), absent, never, 0},
		{"absent, ours, job active: the start is sent",
			claimOf(1, ownToken, ""), absent, never, 0},
		{"absent, ours, cancelled, never sent",
			claimOf(1, ownToken, ledger.Cancelled), absent, never, 1},
		{"absent, ours, cancelled, sent with the answer before",
			claimOf(1, ownToken, ledger.Cancelled), absent, 8, 1},
		{"absent, ours, cancelled, sent with the answer to this heartbeat",
			claimOf(1, ownToken, ledger.Cancelled), absent, 9, 0},
		{"a later epoch",
			claimOf(1, 8, ""), heartbeat(2, 1, 5), never, 1},
		{"an earlier epoch",
			claimOf(2, 5, ""), absent, never, 0},
		{"exited",
			claimOf(1, 8, ""), heartbeat(1, 9, 5, exited), never, 1},
		{"timed out waiting for its gang, worker has not accepted our token: its controller may restart it",
			claimOf(1, 5, ""), heartbeat(1, 9, 5, gangTimedOutStatus()), never, 0},
		{"timed out waiting for its gang under a lower token, worker has accepted our token: the claim is taken over",
			claimOf(1, 5, ""), incomplete, never, 0},
		{"the same, job cancelled",
			claimOf(1, 5, ledger.Cancelled), incomplete, never, 1},
		{"the same, under a higher token: another controller has taken the claim over",
			claimOf(1, 8, ledger.Cancelled), incomplete, never, 0},
		{"timed out waiting for its gang, ours, job cancelled",
			claimOf(1, ownToken, ledger.Cancelled), incomplete, never, 1},
		{"another attempt exited",
			claimOf(1, 8, ""), heartbeat(1, 9, ownToken, status(wire.TaskExited, 2)), never, 0},
		{"running",
			claimOf(1, 5, ledger.Cancelled), heartbeat(1, 9, ownToken, status(wire.TaskRunning, 3)), never, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := NewWorker(tc.hb, nil, time.Time{})
			w.Epoch = tc.hb.Epoch
			if tc.startSequence != never {
				task := w.track(testKey)
				task.startSent, task.startSequence = true, tc.startSequence
			}
			if r := w.Reconcile(tc.hb, tc.claim, ownToken, time.Time{}); len(r.Exits) != tc.exits {
				t.Errorf("%d exits, want %d", len(r.Exits), tc.exits)
			}
		})
	}
}

// TestRejoin checks that a gang's task that timed out waiting is restarted under its claim and attempt, so that
// the other tasks' image fetches are not lost. It must not be restarted when the gang should stop, or while the
// records may lack a cancellation. A claim of another controller is taken over first, once the worker has
// accepted this controller's token.
func TestRejoin(t *testing.T) {
	rejoin := []wire.Op{wire.OpForget, wire.OpStart}
	for _, tc := range []struct {
		name     string
		stop     wire.Attempt
		state    ledger.JobState
		token    wire.FencingToken // of the claim
		mayStart bool
		accepted wire.FencingToken // by the worker
		exits    int
		takeOver int
		ops      []wire.Op
	}{
		{"resumes waiting", 0, "", ownToken, true, ownToken, 0, 0, rejoin},
		{"not synced", 0, "", ownToken, false, ownToken, 0, 0, nil},
		{"gang should stop", testAttempt, "", ownToken, true, ownToken, 1, 0, nil},
		{"cancelled", 0, ledger.Cancelled, ownToken, true, ownToken, 1, 0, nil},
		{"claimed under a lower token", 0, "", 5, true, ownToken, 0, 1, nil},
		{"claimed under a lower token that the worker still accepts", 0, "", 5, true, 5, 0, 0, nil},
		{"claimed by the controller that now commands the machine", 0, "", ownToken + 1, true, ownToken, 0, 0, nil},
		{"claimed under a lower token, gang should stop", testAttempt, "", 5, true, ownToken, 1, 0, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			claims := claimOf(1, tc.token, tc.state)
			job := claims[0].Job
			job.Spec.Shape, job.Spec.Tasks, job.Claimed, job.Stop = wire.Gang, 2, 2, tc.stop
			hb := heartbeat(1, 9, tc.accepted, gangTimedOutStatus())
			w := NewWorker(hb, nil, time.Time{})
			r := w.Reconcile(hb, claims, ownToken, time.Time{})
			var ops []wire.Op
			for _, command := range w.Commands(hb, claims, ledger.Resources{}, tc.mayStart) {
				ops = append(ops, command.Op)
			}
			if len(r.Exits) != tc.exits || len(r.TakeOver) != tc.takeOver {
				t.Errorf("%d exits, %d taken over, want %d and %d",
					len(r.Exits), len(r.TakeOver), tc.exits, tc.takeOver)
			}
			if !slices.Equal(ops, tc.ops) {
				t.Errorf("commands %v, want %v", ops, tc.ops)
			}
		})
	}
}

// TestIncompleteGang checks that the remaining claims of a gang that has lost a task are released, as its tasks
// would wait forever; those of a complete gang are taken over or resume waiting.
func TestIncompleteGang(t *testing.T) {
	for _, tc := range []struct {
		name            string
		token           wire.FencingToken
		tasks           []wire.TaskStatus
		claimed         int
		silent          bool // one of its machines
		exits, takeOver int
	}{
		{"never sent, claimed under a lower token, complete", 5, nil, 2, false, 0, 1},
		{"the same, one of its machines is silent", 5, nil, 2, true, 1, 0},
		{"the same, lacks a task", 5, nil, 1, false, 1, 0},
		{"timed out waiting under a lower token, complete", 5, []wire.TaskStatus{gangTimedOutStatus()}, 2, false, 0, 1},
		{"timed out waiting under a lower token, lacks a task", 5, []wire.TaskStatus{gangTimedOutStatus()}, 1, false, 1, 0},
		{"timed out waiting, ours, complete", ownToken, []wire.TaskStatus{gangTimedOutStatus()}, 2, false, 0, 0},
		{"timed out waiting, ours, lacks a task", ownToken, []wire.TaskStatus{gangTimedOutStatus()}, 1, false, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			claims := claimOf(1, tc.token, "")
			job := claims[0].Job
			job.Spec.Shape, job.Spec.Tasks, job.Claimed = wire.Gang, 2, tc.claimed
			hb := heartbeat(1, 9, ownToken, tc.tasks...)
			r := NewWorker(hb, nil, time.Time{}).Reconcile(hb, claims, ownToken, time.Time{})
			r.ResolveUnsent(func(*ledger.Job) bool { return !tc.silent })
			if len(r.Exits) != tc.exits || len(r.TakeOver) != tc.takeOver {
				t.Errorf("%d exits, %d taken over, want %d and %d",
					len(r.Exits), len(r.TakeOver), tc.exits, tc.takeOver)
			}
		})
	}
}
