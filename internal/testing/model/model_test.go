package model

import (
	"strings"
	"testing"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestCheckCanFail: every rule that Check looks for is found broken where it is.
func TestCheckCanFail(t *testing.T) {
	type tasks = map[wire.TaskIndex]bool
	type claims = map[wire.TaskIndex]ledger.Claim
	on := func(m wire.MachineID, z wire.Zone) ledger.Claim {
		return ledger.Claim{Count: 1, Attempt: 1, Machine: m, Zone: z}
	}
	zone := wire.Zone("a")
	job := func(s wire.JobSpec, st ledger.JobState, d tasks, c claims) State {
		s.Team, s.GPUs = "t", 1
		return State{Jobs: map[wire.JobID]Job{"wk-000001": {Spec: s, State: st, Done: d, Count: len(d), Claims: c}},
			Marks: map[wire.MachineID]ledger.MachinePhase{"leaving": ledger.Terminating}}
	}
	archived := func(st ledger.JobState, done int, s State) State {
		s.Final = map[wire.JobID]ledger.FinalRecord{"wk-000001": {State: st, Done: done}}
		s.Passed = map[wire.JobID]bool{"wk-000001": true}
		return s
	}
	two := wire.JobSpec{Tasks: 2, Shape: wire.Array}
	for _, tc := range []struct {
		rule          string
		before, after State
	}{
		{"forgotten", job(two, "", nil, nil), State{}},
		{"went_back: wk-000001 from", job(two, ledger.Done, tasks{0: true, 1: true}, nil), job(two, ledger.Cancelled, tasks{0: true, 1: true}, nil)},
		{"went_back: wk-000001/0", job(two, "", tasks{0: true}, nil), job(two, "", nil, nil)},
		{"ran_twice", job(two, "", nil, claims{0: on("m1", "a")}), job(two, "", nil, claims{0: on("m2", "a")})},
		{"not_done", job(two, "", tasks{0: true}, nil), job(two, ledger.Done, tasks{0: true}, nil)},
		{"a done task starts", job(two, "", tasks{0: true}, nil), job(two, "", tasks{0: true}, claims{0: on("m1", "a")})},
		{"ran_cancelled", job(two, ledger.Cancelled, nil, nil), job(two, ledger.Cancelled, nil, claims{0: on("m1", "a")})},
		{"a start on a leaving machine", job(two, "", nil, nil), job(two, "", nil, claims{0: on("leaving", "a")})},
		{"wrong_place: wk-000001/0 in b", job(two, "", nil, nil), job(wire.JobSpec{Tasks: 2, Zone: &zone}, "", nil, claims{0: on("m1", "b")})},
		{"wrong_place: wk-000001 is not together", job(two, "", nil, nil),
			job(wire.JobSpec{Tasks: 2, OneZone: true}, "", nil, claims{0: on("m1", "a"), 1: on("m2", "b")})},
		{"wrong_place: 2 of", job(two, "", nil, nil), job(wire.JobSpec{Tasks: 2, Spread: true}, "", nil, claims{0: on("m1", "a"), 1: on("m1", "a")})},
		{"a part of gang", job(two, "", nil, nil), job(wire.JobSpec{Tasks: 2, Shape: wire.Gang}, "", nil, claims{0: on("m1", "a")})},
		{"both on record", archived(ledger.Done, 2, job(two, ledger.Done, tasks{0: true, 1: true}, nil)), archived(ledger.Done, 2, job(two, ledger.Done, tasks{0: true, 1: true}, nil))},
		{"went_back", job(two, ledger.Done, tasks{0: true, 1: true}, nil), archived(ledger.Cancelled, 2, State{})},
		{"went_back", job(two, "", tasks{0: true}, nil), archived(ledger.Cancelled, 1, State{})},
		{"ran_twice", job(two, ledger.Cancelled, nil, claims{0: on("m1", "a")}), archived(ledger.Cancelled, 0, State{})},
		{"accepted anew", archived(ledger.Done, 2, State{}), archived(ledger.Done, 2, job(two, "", nil, nil))},
		{"forgotten: archived", archived(ledger.Done, 2, State{}), State{}},
		{"forgotten: the filter", State{}, State{Final: archived(ledger.Done, 2, State{}).Final}},
		{"a mark went back", State{Marks: map[wire.MachineID]ledger.MachinePhase{"m": ledger.Terminated}}, State{}},
		{"quota", job(two, "", nil, nil), job(two, "", nil, claims{0: on("m1", "a"), 1: on("m1", "a")})},
	} {
		bad := Check(
			tc.before,
			tc.after,
			map[wire.Team]float64{"t": 1},
			func(wire.TaskID, ledger.Claim) bool { return false },
		)
		if !strings.Contains(strings.Join(bad, "\n"), tc.rule) {
			t.Errorf("%s is not found: %v", tc.rule, bad)
		}
	}
	same := job(two, "", tasks{1: true}, claims{0: on("m1", "a")})
	if bad := Check(same, same, map[wire.Team]float64{"t": 1}, nil); len(bad) > 0 {
		t.Errorf("nothing happened, and yet: %v", bad)
	}
}
