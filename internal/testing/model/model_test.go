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
	two  = wire.JobSpec{Tasks: 2, Shape: wire.Array}
	both = taskSet{0: true, 1: true}
	zone = wire.Zone("a")
)

// on is a task's claim of a machine.
func on(m wire.MachineID, z wire.Zone) ledger.Claim {
	return ledger.Claim{Count: 1, Attempt: 1, Machine: m, Zone: z}
}

// job is a state with one job, of one GPU a task, and a machine that is terminating.
func job(spec wire.JobSpec, state ledger.JobState, done taskSet, claims claimSet) State {
	spec.Team, spec.GPUs = "t", 1
	return State{
		Jobs:  map[wire.JobID]Job{"wk-000001": {Spec: spec, State: state, Done: done, Count: len(done), Claims: claims}},
		Marks: map[wire.MachineID]ledger.MachinePhase{"leaving": ledger.Terminating},
	}
}

// archived is a state in which the job is archived, too.
func archived(state ledger.JobState, done int, s State) State {
	s.Final = map[wire.JobID]ledger.FinalRecord{"wk-000001": {State: state, Done: done}}
	s.Passed = map[wire.JobID]bool{"wk-000001": true}
	return s
}

// forbidden has transitions that break a rule, with the begin of the violation.
var forbidden = []struct {
	rule          string
	before, after State
}{
	{"forgotten", job(two, "", nil, nil), State{}},
	{"went_back: wk-000001 from", job(two, ledger.Done, both, nil), job(two, ledger.Cancelled, both, nil)},
	{"went_back: wk-000001/0", job(two, "", taskSet{0: true}, nil), job(two, "", nil, nil)},
	{"ran_twice", job(two, "", nil, claimSet{0: on("m1", "a")}), job(two, "", nil, claimSet{0: on("m2", "a")})},
	{"not_done", job(two, "", taskSet{0: true}, nil), job(two, ledger.Done, taskSet{0: true}, nil)},
	{
		"a done task starts",
		job(two, "", taskSet{0: true}, nil),
		job(two, "", taskSet{0: true}, claimSet{0: on("m1", "a")}),
	},
	{
		"ran_cancelled",
		job(two, ledger.Cancelled, nil, nil),
		job(two, ledger.Cancelled, nil, claimSet{0: on("m1", "a")}),
	},
	{
		"a start on a leaving machine",
		job(two, "", nil, nil),
		job(two, "", nil, claimSet{0: on("leaving", "a")}),
	},
	{
		"wrong_place: wk-000001/0 in b",
		job(two, "", nil, nil),
		job(wire.JobSpec{Tasks: 2, Zone: &zone}, "", nil, claimSet{0: on("m1", "b")}),
	},
	{
		"wrong_place: wk-000001 is not together",
		job(two, "", nil, nil),
		job(wire.JobSpec{Tasks: 2, OneZone: true}, "", nil, claimSet{0: on("m1", "a"), 1: on("m2", "b")}),
	},
	{
		"wrong_place: 2 of",
		job(two, "", nil, nil),
		job(wire.JobSpec{Tasks: 2, Spread: true}, "", nil, claimSet{0: on("m1", "a"), 1: on("m1", "a")}),
	},
	{
		"a part of gang",
		job(two, "", nil, nil),
		job(wire.JobSpec{Tasks: 2, Shape: wire.Gang}, "", nil, claimSet{0: on("m1", "a")}),
	},
	{
		"both on record",
		archived(ledger.Done, 2, job(two, ledger.Done, both, nil)),
		archived(ledger.Done, 2, job(two, ledger.Done, both, nil)),
	},
	{"went_back", job(two, ledger.Done, both, nil), archived(ledger.Cancelled, 2, State{})},
	{"went_back", job(two, "", taskSet{0: true}, nil), archived(ledger.Cancelled, 1, State{})},
	{
		"ran_twice",
		job(two, ledger.Cancelled, nil, claimSet{0: on("m1", "a")}),
		archived(ledger.Cancelled, 0, State{}),
	},
	{"accepted anew", archived(ledger.Done, 2, State{}), archived(ledger.Done, 2, job(two, "", nil, nil))},
	{"forgotten: archived", archived(ledger.Done, 2, State{}), State{}},
	{"forgotten: the filter", State{}, State{Final: archived(ledger.Done, 2, State{}).Final}},
	{
		"a mark went back",
		State{Marks: map[wire.MachineID]ledger.MachinePhase{"m": ledger.Terminated}},
		State{},
	},
	{"quota", job(two, "", nil, nil), job(two, "", nil, claimSet{0: on("m1", "a"), 1: on("m1", "a")})},
}

// TestCheckCanFail: every rule that Check looks for is found broken where it is.
func TestCheckCanFail(t *testing.T) {
	limits := map[wire.Team]float64{"t": 1}
	unproven := func(wire.TaskID, ledger.Claim) bool { return false }
	for _, tc := range forbidden {
		t.Run(tc.rule, func(t *testing.T) {
			got := strings.Join(Check(tc.before, tc.after, limits, unproven), "\n")
			if !strings.Contains(got, tc.rule) {
				t.Errorf("got violations %q, want %q among them", got, tc.rule)
			}
		})
	}
	same := job(two, "", taskSet{1: true}, claimSet{0: on("m1", "a")})
	if got := Check(same, same, limits, nil); len(got) > 0 {
		t.Errorf("got violations %q without a change, want none", got)
	}
}
