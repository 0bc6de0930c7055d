package reconcile

import (
	"slices"
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

const hold = wire.FencingToken(7)

func held(session wire.AgentEpoch, token wire.FencingToken, state ledger.JobState) []ledger.HeldClaim {
	j := &ledger.Job{
		ID:      "wk-000001",
		Spec:    &wire.JobSpec{Tasks: 1, Shape: wire.Array, Save: 2, Checkpoint: 5},
		State:   state,
		Claimed: 1,
	}
	return []ledger.HeldClaim{
		{Job: j, Claim: ledger.Claim{First: 0, Count: 1, Attempt: 3, Machine: "host-1", Session: session, Token: token}},
	}
}

func report(
	session wire.AgentEpoch,
	tally wire.HeartbeatSequence,
	token wire.FencingToken,
	tasks ...wire.TaskStatus,
) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "host-1", Epoch: session, Sequence: tally, FencingToken: token, Tasks: tasks}
}

func task(state wire.TaskState, attempt wire.Attempt) wire.TaskStatus {
	return wire.TaskStatus{Task: wire.TaskID{Job: "wk-000001", Index: 0}, Attempt: attempt, State: state}
}

func alone(attempt wire.Attempt) wire.TaskStatus {
	t := task(wire.TaskExited, attempt)
	t.Cause = wire.CauseGangIncomplete
	return t
}

// TestProof: a claim is over only when the report proves it; silence, a report
// under another token and one from before the start was sent prove nothing.
func TestProof(t *testing.T) {
	for _, tc := range []struct {
		name  string
		held  []ledger.HeldClaim
		r     *wire.Heartbeat
		sent  wire.HeartbeatSequence // by the answer to which report the start went out; 0: not
		exits int
	}{
		{"absent, claimed under a lower token, worker has accepted ours", held(1, 5, ""), report(1, 9, hold), 0, 1},
		{"absent, claimed under a lower token, worker has not accepted ours", held(1, 5, ""), report(1, 9, 5), 0, 0},
		{"absent, claimed under a higher token: another holds it", held(1, 8, ""), report(1, 9, hold), 0, 0},
		{"absent, ours, wanted: it is sent instead", held(1, hold, ""), report(1, 9, hold), 0, 0},
		{"absent, ours, cancelled, never sent", held(1, hold, ledger.Cancelled), report(1, 9, hold), 0, 1},
		{"absent, ours, cancelled, sent with the answer before", held(1, hold, ledger.Cancelled), report(1, 9, hold), 8, 1},
		{"absent, ours, cancelled, sent with the answer to this report", held(1, hold, ledger.Cancelled), report(1, 9, hold), 9, 0},
		{"a later session", held(1, 8, ""), report(2, 1, 5), 0, 1},
		{"an earlier session", held(2, 5, ""), report(1, 9, hold), 0, 0},
		{"exited", held(1, 8, ""), report(1, 9, 5, task(wire.TaskExited, 3)), 0, 1},
		{"gave up waiting for its gang, worker has not accepted ours: its holder may have it rejoin", held(1, 5, ""), report(1, 9, 5, alone(3)), 0, 0},
		{"gave up waiting for its gang under a lower token, worker has accepted ours: the claim is taken over", held(1, 5, ""), report(1, 9, hold, alone(3)), 0, 0},
		{"the same, not wanted", held(1, 5, ledger.Cancelled), report(1, 9, hold, alone(3)), 0, 1},
		{"the same, under a higher token: another has taken the claim over", held(1, 8, ledger.Cancelled), report(1, 9, hold, alone(3)), 0, 0},
		{"gave up waiting for its gang, ours and not wanted", held(1, hold, ledger.Cancelled), report(1, 9, hold, alone(3)), 0, 1},
		{"another attempt exited", held(1, 8, ""), report(1, 9, hold, task(wire.TaskExited, 2)), 0, 0},
		{"running", held(1, 5, ledger.Cancelled), report(1, 9, hold, task(wire.TaskRunning, 3)), 0, 0},
	} {
		w := NewWorker(tc.r, nil, time.Time{})
		w.Session = tc.r.Epoch
		if tc.sent != 0 {
			w.sent[claimID{wire.TaskID{Job: "wk-000001"}, 3}] = tc.sent
		}
		if f := w.Reconcile(tc.r, tc.held, hold, time.Time{}); len(f.Exits) != tc.exits {
			t.Errorf("%s: %d exits, want %d", tc.name, len(f.Exits), tc.exits)
		}
	}
}

func TestCommands(t *testing.T) {
	recall := wire.Seconds(5)
	for _, tc := range []struct {
		name     string
		held     []ledger.HeldClaim
		r        *wire.Heartbeat
		mayStart bool
		want     string
		grace    wire.Seconds
	}{
		{"start", held(1, hold, ""), report(1, 9, hold), true, "run", 0},
		{"no start while a cancellation may be missed", held(1, hold, ""), report(1, 9, hold), false, "", 0},
		{"no start for a claim under another token", held(1, 6, ""), report(1, 9, hold), true, "", 0},
		{"no start for a claim of another session", held(2, hold, ""), report(1, 9, hold), true, "", 0},
		{"no start for a cancelled job", held(1, hold, ledger.Cancelled), report(1, 9, hold), true, "", 0},
		{"no second start", held(1, hold, ""), report(1, 9, hold, task(wire.TaskFetching, 3)), true, "", 0},
		{"stop of a cancelled job at once", held(1, hold, ledger.Cancelled), report(1, 9, hold, task(wire.TaskRunning, 3)), true, "stop", 0},
		{"an exit on record is forgotten", nil, report(1, 9, hold, task(wire.TaskExited, 3)), true, "clear", 0},
		{"an exit not yet on record is kept", held(1, hold, ""), report(1, 9, hold, task(wire.TaskExited, 3)), true, "", 0},
		{"an exit is kept while another may have claimed it", nil, report(1, 9, 6, task(wire.TaskExited, 3)), true, "", 0},
		{"a task without a claim is stopped", nil, report(1, 9, hold, task(wire.TaskRunning, 3)), true, "stop", 0},
	} {
		w := NewWorker(tc.r, nil, time.Time{})
		w.Reconcile(tc.r, tc.held, hold, time.Time{})
		cmds := w.Commands(tc.r, tc.held, ledger.Resources{}, tc.mayStart)
		got := ""
		if len(cmds) > 0 {
			got = string(cmds[0].Op)
		}
		if got != tc.want || len(cmds) > 1 || got == "stop" && *cmds[0].Grace != tc.grace {
			t.Errorf("%s: %+v, want %q", tc.name, cmds, tc.want)
		}
	}
	r := report(1, 9, hold, task(wire.TaskRunning, 3))
	r.ReclaimNotice = &recall
	w := NewWorker(r, nil, time.Time{})
	w.Reconcile(r, held(1, hold, ""), hold, time.Time{})
	if cmds := w.Commands(
		r,
		held(1, hold, ""),
		ledger.Resources{},
		true,
	); len(cmds) != 1 || cmds[0].Op != wire.OpStop ||
		*cmds[0].Grace < 2 {
		t.Errorf("before a recall a task must save: %+v", cmds)
	}
}

// TestRejoin: a gang's task that gave up waiting is started again under its claim and
// attempt, so that the others' fetches are not thrown away; not so when the gang is to
// stop, or while a cancellation may have been missed. What another controller claimed is taken over
// first, once the worker has accepted our token.
func TestRejoin(t *testing.T) {
	alone := task(wire.TaskExited, 3)
	alone.Cause = wire.CauseGangIncomplete
	for _, tc := range []struct {
		name     string
		stop     wire.Attempt
		state    ledger.JobState
		token    wire.FencingToken
		mayStart bool
		seen     wire.FencingToken // by the worker
		exits    int
		takeOver int
		ops      []wire.Op
	}{
		{"waits on", 0, "", hold, true, hold, 0, 0, []wire.Op{wire.OpForget, wire.OpStart}},
		{"out of touch", 0, "", hold, false, hold, 0, 0, nil},
		{"the gang is to stop", 3, "", hold, true, hold, 1, 0, nil},
		{"cancelled", 0, ledger.Cancelled, hold, true, hold, 1, 0, nil},
		{"claimed under another token", 0, "", 5, true, hold, 0, 1, nil},
		{"which the worker may still obey", 0, "", 5, true, 5, 0, 0, nil},
		{"by who holds the machine now", 0, "", hold + 1, true, hold, 0, 0, nil},
		{"and the gang is to stop", 3, "", 5, true, hold, 1, 0, nil},
	} {
		h := held(1, tc.token, tc.state)
		h[0].Job.Spec.Shape, h[0].Job.Spec.Tasks, h[0].Job.Claimed, h[0].Job.Stop = wire.Gang, 2, 2, tc.stop
		r := report(1, 9, tc.seen, alone)
		w := NewWorker(r, nil, time.Time{})
		f := w.Reconcile(r, h, hold, time.Time{})
		var ops []wire.Op
		for _, cmd := range w.Commands(r, h, ledger.Resources{}, tc.mayStart) {
			ops = append(ops, cmd.Op)
		}
		if len(f.Exits) != tc.exits || len(f.TakeOver) != tc.takeOver || !slices.Equal(ops, tc.ops) {
			t.Errorf(
				"%s: %d exits, %d taken over and %v, want %d, %d and %v",
				tc.name,
				len(f.Exits),
				len(f.TakeOver),
				ops,
				tc.exits,
				tc.takeOver,
				tc.ops,
			)
		}
	}
}

// TestGangThatLacksATask: what a gang that has lost a task still claims goes, as that gang would wait for
// ever; of a whole one it is taken over or waits on.
func TestGangThatLacksATask(t *testing.T) {
	for _, tc := range []struct {
		name           string
		token          wire.FencingToken
		tasks          []wire.TaskStatus
		claimed        int
		silent         bool // one of its machines
		exits, takings int
	}{
		{"never sent, claimed under a lower token, whole", 5, nil, 2, false, 0, 1},
		{"the same, one of its machines is silent", 5, nil, 2, true, 1, 0},
		{"the same, lacks a task", 5, nil, 1, false, 1, 0},
		{"gave up waiting under a lower token, whole", 5, []wire.TaskStatus{alone(3)}, 2, false, 0, 1},
		{"the same, lacks a task", 5, []wire.TaskStatus{alone(3)}, 1, false, 1, 0},
		{"gave up waiting, ours, whole", hold, []wire.TaskStatus{alone(3)}, 2, false, 0, 0},
		{"the same, lacks a task", hold, []wire.TaskStatus{alone(3)}, 1, false, 1, 0},
	} {
		h := held(1, tc.token, "")
		h[0].Job.Spec.Shape, h[0].Job.Spec.Tasks, h[0].Job.Claimed = wire.Gang, 2, tc.claimed
		r := report(1, 9, hold, tc.tasks...)
		f := NewWorker(r, nil, time.Time{}).Reconcile(r, h, hold, time.Time{})
		f.ResolveUnsent(func(*ledger.Job) bool { return !tc.silent })
		if len(f.Exits) != tc.exits || len(f.TakeOver) != tc.takings {
			t.Errorf("%s: %d exits, %d taken over", tc.name, len(f.Exits), len(f.TakeOver))
		}
	}
}

// TestNoRoomForBoth: of two claims of the same room only one is sent, the gang's, and
// the other is proven over with the next report: it was never sent.
func TestNoRoomForBoth(t *testing.T) {
	h := append(held(1, hold, ""), held(1, hold, "")...)
	for i := range h {
		h[i].Job.Need = ledger.NewResources(1, 2, 0)
	}
	h[1].Job.ID, h[1].Job.Spec.Shape, h[1].Job.Spec.Tasks = "wk-000002", wire.Gang, 4
	w := NewWorker(report(1, 9, hold), nil, time.Time{})
	total := ledger.NewResources(8, 3, 64)
	w.Reconcile(report(1, 9, hold), h, hold, time.Time{})
	if cmds := w.Commands(report(1, 9, hold), h, total, true); len(cmds) != 1 || cmds[0].Task.Job != "wk-000002" {
		t.Fatalf("%+v, want the gang's start alone", cmds)
	}
	there := wire.TaskStatus{Task: wire.TaskID{Job: "wk-000002"}, Attempt: 3, State: wire.TaskFetching}
	r := report(1, 10, hold, there)
	f := w.Reconcile(r, h, hold, time.Time{})
	if len(f.Exits) != 1 || f.Exits[0].Held.Job.ID != "wk-000001" {
		t.Errorf("over: %+v, want the one never sent", f.Exits)
	}
	if cmds := w.Commands(r, h, total, true); len(cmds) != 0 {
		t.Errorf("%+v while its claim still stands", cmds)
	}
}

func TestStaleReports(t *testing.T) {
	w := NewWorker(report(2, 5, 0), nil, time.Time{})
	w.Reconcile(report(2, 5, 0), nil, hold, time.Time{})
	for _, r := range []*wire.Heartbeat{report(1, 90, hold), report(2, 5, hold), report(2, 4, hold)} {
		if !w.Stale(r) {
			t.Errorf("%d/%d is not taken for stale", r.Epoch, r.Sequence)
		}
	}
	if w.Stale(report(2, 6, 0)) || w.Stale(report(3, 1, 0)) {
		t.Error("a newer report is taken for stale")
	}
}

// TestHearing: one lost answer makes no machine deaf, two in a row do, and so does a session that
// begins within a lease of an answered report; only a token that it had not seen shows that it hears.
// What is released of a deaf machine is not sent again when it hears.
func TestHearing(t *testing.T) {
	begun := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(i int) time.Time { return begun.Add(time.Duration(i) * 3 * time.Second) }
	j := held(1, hold, "")
	running := task(wire.TaskRunning, 3)
	w := NewWorker(report(1, 1, hold), nil, at(0))
	answered := func(i int, r *wire.Heartbeat, token wire.FencingToken) (Reconciliation, []wire.Command) {
		f := w.Reconcile(r, j, token, at(i))
		cmds := w.Commands(r, j, ledger.Resources{}, true)
		w.ObserveReachable(at(i))
		return f, cmds
	}
	if _, cmds := answered(1, report(1, 1, hold), hold); len(cmds) != 1 || cmds[0].Op != wire.OpStart {
		t.Fatalf("commands %v", cmds)
	}
	answered(2, report(1, 2, hold), hold) // the start was lost once
	if w.Unreachable() {
		t.Fatal("deaf after one lost answer")
	}
	if answered(3, report(1, 3, hold, running), hold); w.Unreachable() || w.hears.missed != 0 {
		t.Fatal("an answer that arrived does not count")
	}
	j[0].Attempt, j[0].First = 4, 0
	answered(4, report(1, 4, hold), hold)
	answered(5, report(1, 5, hold), hold)
	f, cmds := answered(6, report(1, 6, hold), hold)
	if !w.Unreachable() || len(f.Exits) != 1 || len(cmds) != 0 || w.UnreachableFor(at(7)) != 3*time.Second {
		t.Fatalf("deaf %v after two lost starts, %d released, commands %v", w.Unreachable(), len(f.Exits), cmds)
	}
	if w.ProvesAbsence(hold) || !w.ProvesAbsence(hold+1) {
		t.Fatal("a token that it has seen proves that it hears")
	}
	if f, cmds = answered(7, report(1, 7, hold), hold+1); !w.Unreachable() || len(f.Exits) != 1 || len(cmds) != 0 {
		t.Fatalf("under a new token: deaf %v, %d released, commands %v", w.Unreachable(), len(f.Exits), cmds)
	}
	if _, cmds = answered(8, report(1, 8, hold+1), hold+1); w.Unreachable() || len(cmds) != 0 {
		t.Fatalf("once it has shown the token: deaf %v, commands %v", w.Unreachable(), cmds)
	}
	r := report(2, 1, hold+1)
	if w.LeaseExpired(r, at(9), 25*time.Second); !w.Unreachable() {
		t.Error("not deaf though its session ended 3 s after an answer")
	}
	if w.Reconcile(r, j, hold+2, at(9)); !w.Unreachable() {
		t.Error("hears without having shown a newer token")
	}
	if w.Reconcile(report(2, 2, hold+2), j, hold+2, at(10)); w.Unreachable() {
		t.Error("deaf though it has shown a newer token")
	}
	quiet := NewWorker(report(1, 1, hold), nil, at(0))
	quiet.Reconcile(report(1, 1, hold), nil, hold, at(0))
	quiet.ObserveReachable(at(0))
	if quiet.LeaseExpired(report(2, 1, hold), at(20), 25*time.Second); quiet.Unreachable() {
		t.Error("deaf though its session ended long after it was last answered")
	}
}
