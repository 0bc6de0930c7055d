package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// victimsByMachine lists the claims that may be preempted, by machine.
type victimsByMachine map[wire.MachineID][]placement.Victim

// newJob returns a job in records of its own.
func newJob(t *testing.T, spec wire.JobSpec) *ledger.Job {
	t.Helper()
	spec.Class, spec.Image, spec.Save = "c", "i", 2
	if spec.Team == "" {
		spec.Team = "t"
	}
	return submit(t, newLedger(), &spec)
}

// gpuMachine returns a machine with four GPUs, of which the given number is free.
func gpuMachine(id wire.MachineID, zone wire.Zone, free float64) *placement.Machine {
	return &placement.Machine{
		ID:     id,
		Type:   "g",
		Zone:   zone,
		Usable: true,
		Total:  ledger.NewResources(0, 4, 0),
		Free:   ledger.NewResources(0, free, 0),
		Images: placement.NewImageCache(10),
	}
}

// caching adds the image of newJob to the cache of a machine.
func caching(m *placement.Machine) *placement.Machine {
	m.Images.RecordUse("i", 1)
	return m
}

// TestPlanEvictions verifies that claims of lower priority are preempted only if the job then fits,
// that a machine with the image cached is preferred, and that claims of the same priority are not
// preempted.
func TestPlanEvictions(t *testing.T) {
	high := newJob(t, wire.JobSpec{ID: "wk-000001", Shape: wire.Array, Priority: wire.High, Tasks: 1, GPUs: 4})
	victim := func(p wire.Priority, saves bool) placement.Victim {
		j := newJob(t, wire.JobSpec{ID: "wk-000002", Shape: wire.Array, Priority: p, Tasks: 1, GPUs: 2})
		return placement.Victim{
			Held:          ledger.HeldClaim{Job: j, Claim: ledger.Claim{Count: 1}},
			SavesProgress: saves,
			RunTime:       30e9,
		}
	}
	normal := func() placement.Victim { return victim(wire.Normal, true) }
	machine := func(id wire.MachineID, free float64) *placement.Machine { return gpuMachine(id, "a", free) }
	type machines []*placement.Machine
	for _, tc := range []struct {
		name      string
		machines  machines
		victims   victimsByMachine
		reserved  map[wire.MachineID]wire.JobID // already being freed, for the given jobs
		want      wire.MachineID
		preempted int
	}{
		{"two lower tasks are preempted", machines{machine("m1", 0)},
			victimsByMachine{"m1": {normal(), normal()}}, nil, "m1", 2},
		{"one is enough", machines{machine("m1", 2)},
			victimsByMachine{"m1": {normal(), normal()}}, nil, "m1", 1},
		{"preemption would not free enough", machines{machine("m1", 0)},
			victimsByMachine{"m1": {normal()}}, nil, "", 0},
		{"the same priority", machines{machine("m1", 2)},
			victimsByMachine{"m1": {victim(wire.High, true)}}, nil, "", 0},
		{"too much unsaved work", machines{machine("m1", 2)},
			victimsByMachine{"m1": {victim(wire.Normal, false)}}, nil, "", 0},
		{"the machine that caches the image", machines{machine("m1", 2), caching(machine("m2", 0))},
			victimsByMachine{"m1": {normal()}, "m2": {normal(), normal()}}, nil, "m2", 2},
		{"fits on another machine with the image", machines{caching(machine("m1", 2)), caching(machine("m2", 4))},
			victimsByMachine{"m1": {normal()}}, nil, "", 0},
		{"fits elsewhere without the image: only machines with it may do", machines{machine("m1", 2), machine("m2", 4)},
			victimsByMachine{"m1": {normal()}}, nil, "", 0},
		{"a machine is already being freed", machines{caching(machine("m1", 2)), caching(machine("m2", 2))},
			victimsByMachine{"m1": {normal()}}, map[wire.MachineID]wire.JobID{"m2": "wk-000001"}, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list := placement.PlanEvictions(&placement.Snapshot{
				Now:                start,
				Queue:              []placement.Entry{{Job: high}},
				Machines:           tc.machines,
				HeadReservations:   tc.reserved,
				RemainingTeamQuota: unlimited,
				Victims:            func(m *placement.Machine) []placement.Victim { return tc.victims[m.ID] },
			})
			switch {
			case len(list) == 0 && tc.want != "":
				t.Errorf("nothing preempted, want %d on %s", tc.preempted, tc.want)
			case len(list) > 0 && (list[0].Machine.ID != tc.want || len(list[0].Victims) != tc.preempted):
				t.Errorf("preempted %d claims on %s, want %d on %q",
					len(list[0].Victims), list[0].Machine.ID, tc.preempted, tc.want)
			}
		})
	}
}

// TestPlanPreemption verifies that claims are preempted for a gang only if the whole gang then
// fits, on the machines with the least lost work, in one zone if required, and not while preemption
// for the gang is in progress. Claims of the same priority are not preempted. If best-effort jobs
// occupy most machines, a gang would otherwise not fit until many machines happen to be free at
// once.
func TestPlanPreemption(t *testing.T) {
	victim := func(id wire.JobID, p wire.Priority) placement.Victim {
		j := newJob(t, wire.JobSpec{ID: id, Shape: wire.Array, Priority: p, Tasks: 1, GPUs: 2})
		return placement.Victim{Held: ledger.HeldClaim{Job: j, Claim: ledger.Claim{Count: 1}}, SavesProgress: true}
	}
	lower, same := victim("wk-000009", wire.BestEffort), victim("wk-000008", wire.High)
	full := []*placement.Machine{gpuMachine("m1", "a", 0), gpuMachine("m2", "b", 0), gpuMachine("m3", "b", 2)}
	victims := victimsByMachine{"m1": {lower, lower}, "m2": {lower}, "m3": {same, lower}}
	type counts map[wire.MachineID]int
	for _, tc := range []struct {
		name     string
		tasks    int
		oneZone  bool
		reserved map[wire.MachineID]wire.JobID // already being freed, for the given jobs
		want     counts
	}{
		{"the whole gang fits, least loss first", 3, false, nil, counts{"m2": 1, "m3": 2}},
		{"more than preemption can free", 6, false, nil, nil},
		{"in one zone", 3, true, nil, counts{"m2": 1, "m3": 2}},
		{"more than preemption can free in one zone", 4, true, nil, nil},
		{"preemption is in progress", 3, false, map[wire.MachineID]wire.JobID{"m1": "wk-000001"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			gang := newJob(t, wire.JobSpec{
				ID:       "wk-000001",
				Shape:    wire.Gang,
				Priority: wire.High,
				Tasks:    tc.tasks,
				GPUs:     2,
				OneZone:  tc.oneZone,
			})
			got := counts{}
			for _, x := range placement.PlanPreemption(&placement.Snapshot{
				Now:                start,
				Queue:              []placement.Entry{{Job: gang}},
				Machines:           full,
				HeadReservations:   tc.reserved,
				RemainingTeamQuota: unlimited,
				Victims:            func(m *placement.Machine) []placement.Victim { return victims[m.ID] },
			}) {
				got[x.Machine.ID] = x.Tasks
			}
			if !maps.Equal(got, tc.want) {
				t.Errorf("planned preemption %v, want %v", got, tc.want)
			}
		})
	}
}

// preemptionCase is a random queue, and machines that run claims of various priorities.
type preemptionCase struct {
	queue    []placement.Entry
	machines []*placement.Machine
	victims  victimsByMachine
}

// newPreemptionCase returns the test case for a seed.
func newPreemptionCase(t *testing.T, seed uint64) preemptionCase {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	job := func(id string, p wire.Priority) *ledger.Job {
		s := &wire.JobSpec{
			ID:       wire.JobID(id),
			Class:    "c",
			Team:     wire.Team(fmt.Sprint("t", rng.IntN(2))),
			Shape:    wire.Array,
			Priority: p,
			Tasks:    1 + rng.IntN(3),
			GPUs:     float64(1 + rng.IntN(3)),
			Image:    wire.Image(fmt.Sprint("i", rng.IntN(2))),
			Save:     2,
			Spot:     rng.IntN(2) == 0,
			Spread:   rng.IntN(8) == 0,
		}
		if rng.IntN(4) == 0 {
			s.Types = []wire.MachineTypeName{"g1"}
		}
		return submit(t, newLedger(), s)
	}
	priorities := []wire.Priority{wire.High, wire.Normal, wire.BestEffort}
	c := preemptionCase{victims: victimsByMachine{}}
	for i := range 12 {
		m := &placement.Machine{
			ID:     wire.MachineID(fmt.Sprint("m", i)),
			Type:   wire.MachineTypeName(fmt.Sprint("g", rng.IntN(2))),
			Zone:   wire.Zone(fmt.Sprint("z", rng.IntN(2))),
			Spot:   rng.IntN(2) == 0,
			Usable: true,
			Total:  ledger.NewResources(0, 4, 0),
			Free:   ledger.NewResources(0, float64(rng.IntN(5)/4), 0),
			Images: placement.NewImageCache(10),
		}
		if rng.IntN(3) == 0 {
			m.Images.RecordUse(wire.Image(fmt.Sprint("i", rng.IntN(2))), 1)
		}
		c.machines = append(c.machines, m)
		for range rng.IntN(3) {
			j := job("wk-000099", priorities[rng.IntN(3)])
			c.victims[m.ID] = append(c.victims[m.ID], placement.Victim{
				Held:          ledger.HeldClaim{Job: j, Claim: ledger.Claim{Count: 1}},
				SavesProgress: rng.IntN(3) > 0,
				OverGuarantee: rng.IntN(3) == 0,
				RunTime:       time.Duration(rng.IntN(20)) * time.Second,
			})
		}
	}
	for i := range 20 {
		j := job(fmt.Sprintf("wk-%06d", i), priorities[rng.IntN(2)])
		c.queue = append(c.queue, placement.Entry{Job: j, OverGuarantee: rng.IntN(4) == 0})
	}
	return c
}

// evict returns the evictions chosen by PlanEvictions. If shared is false, equivalent jobs do not
// share evictions.
func (c *preemptionCase) evict(shared bool) (out []string) {
	s := &placement.Snapshot{
		Now:                start,
		Queue:              slices.Clone(c.queue),
		Machines:           c.machines,
		HeadReservations:   map[wire.MachineID]wire.JobID{"m3": "wk-000002"},
		RemainingTeamQuota: unlimited,
		Victims:            func(m *placement.Machine) []placement.Victim { return c.victims[m.ID] },
	}
	if !shared {
		for i := range s.Queue { // entries with machines to avoid share no evictions
			s.Queue[i].Avoid = func(wire.MachineID) bool { return false }
		}
	}
	for _, x := range placement.PlanEvictions(s) {
		out = append(out, fmt.Sprint(x.Entry.Job.ID, x.Machine.ID, len(x.Victims)))
	}
	return out
}

// TestEquivalentJobsShareEvictions verifies that sharing evictions between equivalent jobs does not
// change the result. Without sharing, a pass over 500 urgent jobs and 4,000 machines delayed all
// heartbeats by a second.
func TestEquivalentJobsShareEvictions(t *testing.T) {
	for seed := range uint64(300) {
		c := newPreemptionCase(t, seed)
		if got, want := c.evict(true), c.evict(false); !slices.Equal(got, want) {
			t.Fatalf("seed %d: evictions %v, without sharing %v", seed, got, want)
		}
	}
}
