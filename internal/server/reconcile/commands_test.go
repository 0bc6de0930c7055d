package reconcile

import (
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestCommands checks the command for one task, claimed or not, by the state that its machine reports.
func TestCommands(t *testing.T) {
	absent := heartbeat(1, 9, ownToken)
	running := heartbeat(1, 9, ownToken, status(wire.TaskRunning, testAttempt))
	exited := heartbeat(1, 9, ownToken, status(wire.TaskExited, testAttempt))
	for _, tc := range []struct {
		name     string
		claim    []ledger.HeldClaim
		hb       *wire.Heartbeat
		mayStart bool
		want     wire.Op // "" for none
	}{
		{"start", claimOf(1, ownToken, ""), absent, true, wire.OpStart},
		{"no start while the records may lack a cancellation", claimOf(1, ownToken, ""), absent, false, ""},
		{"no start for a claim under another token", claimOf(1, 6, ""), absent, true, ""},
		{"no start for a claim of another epoch", claimOf(2, ownToken, ""), absent, true, ""},
		{"no start for a cancelled job", claimOf(1, ownToken, ledger.Cancelled), absent, true, ""},
		{"no second start", claimOf(1, ownToken, ""),
			heartbeat(1, 9, ownToken, status(wire.TaskFetching, testAttempt)), true, ""},
		{"stop of a cancelled job at once", claimOf(1, ownToken, ledger.Cancelled), running, true, wire.OpStop},
		{"a recorded exit is forgotten", nil, exited, true, wire.OpForget},
		{"an unrecorded exit is kept", claimOf(1, ownToken, ""), exited, true, ""},
		{"an exit is kept while another controller may have claimed it", nil,
			heartbeat(1, 9, 6, status(wire.TaskExited, testAttempt)), true, ""},
		{"a task without a claim is stopped", nil, running, true, wire.OpStop},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := NewWorker(tc.hb, nil, time.Time{})
			w.Reconcile(tc.hb, tc.claim, ownToken, time.Time{})
			commands := w.Commands(tc.hb, tc.claim, ledger.Resources{}, tc.mayStart)
			var got wire.Op
			if len(commands) > 0 {
				got = commands[0].Op
			}
			if got != tc.want || len(commands) > 1 || got == wire.OpStop && *commands[0].Grace != 0 {
				t.Errorf("commands %+v, want %q without a grace period", commands, tc.want)
			}
		})
	}
}

// TestStopBeforeReclaim checks that a task gets time to save a checkpoint before the cloud provider reclaims
// its machine.
func TestStopBeforeReclaim(t *testing.T) {
	notice := wire.Seconds(5)
	hb := heartbeat(1, 9, ownToken, status(wire.TaskRunning, testAttempt))
	hb.ReclaimNotice = &notice
	w := NewWorker(hb, nil, time.Time{})
	w.Reconcile(hb, claimOf(1, ownToken, ""), ownToken, time.Time{})
	commands := w.Commands(hb, claimOf(1, ownToken, ""), ledger.Resources{}, true)
	if len(commands) != 1 || commands[0].Op != wire.OpStop || *commands[0].Grace < 2 {
		t.Errorf("commands %+v, want a stop with a grace period of at least 2 s", commands)
	}
}

// TestStopPreempted checks that a task marked by RequestStop is stopped by the next response, with time to save a
// checkpoint.
func TestStopPreempted(t *testing.T) {
	hb := heartbeat(1, 9, ownToken, status(wire.TaskRunning, testAttempt))
	claims := claimOf(1, ownToken, "")
	w := NewWorker(hb, nil, time.Time{})
	w.RequestStop(claims[0])
	w.Epoch = hb.Epoch // as a new epoch would clear the mark
	w.Reconcile(hb, claims, ownToken, time.Time{})
	commands := w.Commands(hb, claims, ledger.Resources{}, true)
	if len(commands) != 1 || commands[0].Op != wire.OpStop || *commands[0].Grace != 3 {
		t.Errorf("commands %+v, want a stop with a grace period of 3 s", commands)
	}
}

// TestConflictingClaims checks that of two claims of the same resources only the gang's is sent. The next
// heartbeat proves that the other, which was never sent, has ended.
func TestConflictingClaims(t *testing.T) {
	claims := append(claimOf(1, ownToken, ""), claimOf(1, ownToken, "")...)
	for i := range claims {
		claims[i].Job.Need = ledger.NewResources(1, 2, 0)
	}
	gang := claims[1].Job
	gang.ID, gang.Spec.Shape, gang.Spec.Tasks = "wk-000002", wire.Gang, 4
	total := ledger.NewResources(8, 3, 64)
	hb := heartbeat(1, 9, ownToken)
	w := NewWorker(hb, nil, time.Time{})
	w.Reconcile(hb, claims, ownToken, time.Time{})
	if commands := w.Commands(hb, claims, total, true); len(commands) != 1 || commands[0].Task.Job != gang.ID {
		t.Fatalf("commands %+v, want only the gang's start", commands)
	}
	fetching := wire.TaskStatus{Task: wire.TaskID{Job: gang.ID}, Attempt: testAttempt, State: wire.TaskFetching}
	hb = heartbeat(1, 10, ownToken, fetching)
	r := w.Reconcile(hb, claims, ownToken, time.Time{})
	if len(r.Exits) != 1 || r.Exits[0].Held.Job.ID != testKey.task.Job {
		t.Errorf("exits %+v, want only the task that was never sent", r.Exits)
	}
	if commands := w.Commands(hb, claims, total, true); len(commands) != 0 {
		t.Errorf("commands %+v while the claim that was never sent remains, want none", commands)
	}
}
