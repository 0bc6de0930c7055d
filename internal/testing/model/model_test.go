package model

import (
	"strings"
	"testing"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

type (
	taskSet  = map[wire.TaskIndex]bool
	claimSet = map[wire.TaskIndex]ledger.Claim
)

var (
	twoTasks = wire.JobSpec{Tasks: 2, Shape: wire.Array}
	bothDone = taskSet{0: true, 1: true}
	zone     = wire.Zone("a")
)

// claimOn returns the claim of a task on a machine.
func claimOn(m wire.MachineID, z wire.Zone) ledger.Claim {
	return ledger.Claim{Count: 1, Attempt: 1, Machine: m, Zone: z}
}

// stateWithJob returns a state with one job, of one GPU per task, and a machine that is terminating.
func stateWithJob(spec wire.JobSpec, state ledger.JobState, done taskSet, claims claimSet) State {
	spec.Team, spec.GPUs = "t", 1
	return State{
		Jobs: map[wire.JobID]Job{
			"wk-000001": {Spec: spec, State: state, Done: done, DoneCount: len(done), Claims: claims},
		},
		MachinePhases: map[wire.MachineID]ledger.MachinePhase{"leaving": ledger.Terminating},
	}
}

// withArchived adds an archived job of the same ID to a state.
func withArchived(state ledger.JobState, done int, s State) State {
	s.Archived = map[wire.JobID]ledger.FinalRecord{"wk-000001": {State: state, Done: done}}
	s.InFilter = map[wire.JobID]bool{"wk-000001": true}
	return s
}

// forbiddenTransitions lists transitions that violate a rule, with a part of the expected message.
var forbiddenTransitions = []struct {
	rule          string
	before, after State
}{
	{"forgotten", stateWithJob(twoTasks, "", nil, nil), State{}},
	{
		"went_back: wk-000001 from",
		stateWithJob(twoTasks, ledger.Done, bothDone, nil),
		stateWithJob(twoTasks, ledger.Cancelled, bothDone, nil),
	},
	{"went_back: wk-000001/0", stateWithJob(twoTasks, "", taskSet{0: true}, nil), stateWithJob(twoTasks, "", nil, nil)},
	{
		"ran_twice",
		stateWithJob(twoTasks, "", nil, claimSet{0: claimOn("m1", "a")}),
		stateWithJob(twoTasks, "", nil, claimSet{0: claimOn("m2", "a")}),
	},
	{
		"not_done",
		stateWithJob(twoTasks, "", taskSet{0: true}, nil),
		stateWithJob(twoTasks, ledger.Done, taskSet{0: true}, nil),
	},
	{
		"completed task starts",
		stateWithJob(twoTasks, "", taskSet{0: true}, nil),
		stateWithJob(twoTasks, "", taskSet{0: true}, claimSet{0: claimOn("m1", "a")}),
	},
	{
		"ran_cancelled",
		stateWithJob(twoTasks, ledger.Cancelled, nil, nil),
		stateWithJob(twoTasks, ledger.Cancelled, nil, claimSet{0: claimOn("m1", "a")}),
	},
	{
		"a start on a leaving machine",
		stateWithJob(twoTasks, "", nil, nil),
		stateWithJob(twoTasks, "", nil, claimSet{0: claimOn("leaving", "a")}),
	},
	{
		"wrong_place: wk-000001/0 in b",
		stateWithJob(twoTasks, "", nil, nil),
		stateWithJob(wire.JobSpec{Tasks: 2, Zone: &zone}, "", nil, claimSet{0: claimOn("m1", "b")}),
	},
	{
		"wrong_place: wk-000001 is not in one zone",
		stateWithJob(twoTasks, "", nil, nil),
		stateWithJob(wire.JobSpec{Tasks: 2, OneZone: true}, "", nil, claimSet{0: claimOn("m1", "a"), 1: claimOn("m2", "b")}),
	},
	{
		"wrong_place: 2 tasks of",
		stateWithJob(twoTasks, "", nil, nil),
		stateWithJob(wire.JobSpec{Tasks: 2, Spread: true}, "", nil, claimSet{0: claimOn("m1", "a"), 1: claimOn("m1", "a")}),
	},
	{
		"incomplete gang",
		stateWithJob(twoTasks, "", nil, nil),
		stateWithJob(wire.JobSpec{Tasks: 2, Shape: wire.Gang}, "", nil, claimSet{0: claimOn("m1", "a")}),
	},
	{
		"recorded and archived",
		withArchived(ledger.Done, 2, stateWithJob(twoTasks, ledger.Done, bothDone, nil)),
		withArchived(ledger.Done, 2, stateWithJob(twoTasks, ledger.Done, bothDone, nil)),
	},
	{"went_back", stateWithJob(twoTasks, ledger.Done, bothDone, nil), withArchived(ledger.Cancelled, 2, State{})},
	{"went_back", stateWithJob(twoTasks, "", taskSet{0: true}, nil), withArchived(ledger.Cancelled, 1, State{})},
	{
		"ran_twice",
		stateWithJob(twoTasks, ledger.Cancelled, nil, claimSet{0: claimOn("m1", "a")}),
		withArchived(ledger.Cancelled, 0, State{}),
	},
	{
		"accepted anew",
		withArchived(ledger.Done, 2, State{}),
		withArchived(ledger.Done, 2, stateWithJob(twoTasks, "", nil, nil)),
	},
	{"forgotten: archived", withArchived(ledger.Done, 2, State{}), State{}},
	{"forgotten: the filter", State{}, State{Archived: withArchived(ledger.Done, 2, State{}).Archived}},
	{
		"machine phase went back",
		State{MachinePhases: map[wire.MachineID]ledger.MachinePhase{"m": ledger.Terminated}},
		State{},
	},
	{
		"quota",
		stateWithJob(twoTasks, "", nil, nil),
		stateWithJob(twoTasks, "", nil, claimSet{0: claimOn("m1", "a"), 1: claimOn("m1", "a")}),
	},
}

// TestCheckReportsEachRule guards against a rule in Check that never reports anything, which would make the
// tests that rely on it pass vacuously. Check must report each forbidden transition, and none without a change.
func TestCheckReportsEachRule(t *testing.T) {
	limits := map[wire.Team]float64{"t": 1}
	notEnded := func(wire.TaskID, ledger.Claim) bool { return false }
	for _, tc := range forbiddenTransitions {
		t.Run(tc.rule, func(t *testing.T) {
			got := strings.Join(Check(tc.before, tc.after, limits, notEnded), "\n")
			if !strings.Contains(got, tc.rule) {
				t.Errorf("got violations %q, want %q among them", got, tc.rule)
			}
		})
	}
	same := stateWithJob(twoTasks, "", taskSet{1: true}, claimSet{0: claimOn("m1", "a")})
	if got := Check(same, same, limits, nil); len(got) > 0 {
		t.Errorf("got violations %q without a change, want none", got)
	}
}
