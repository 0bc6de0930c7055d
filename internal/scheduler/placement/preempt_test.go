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

// victimsByMachine are what may be preempted on machines.
type victimsByMachine map[wire.MachineID][]placement.Victim

// newJob returns a job of its own records.
func newJob(t *testing.T, spec wire.JobSpec) *ledger.Job {
	t.Helper()
	spec.Class, spec.Image, spec.Save = "c", "i", 2
	if spec.Team == "" {
		spec.Team = "t"
	}
	return submit(t, newLedger(), &spec)
}

// gpuMachine returns a machine of four GPUs, some of them free.
func gpuMachine(id wire.MachineID, zone wire.Zone, free float64) *placement.Machine {
	return &placement.Machine{
		ID:     id,
		Type:   "g",
		Zone:   zone,
		Usable: true,
		Total:  ledger.NewResources(0, 4, 0),
		Free:   ledger.NewResources(0, free, 0),
		Images: placement.NewImages(10),
	}
}

// caching returns the machine with the image of newJob in its cache.
func caching(m *placement.Machine) *placement.Machine {
	m.Images.Use("i", 1)
	return m
}

// TestEvict: lower work is preempted only when that truly makes room, the machine that caches the
// image is chosen, and work of the same priority is not preempted.
func TestEvict(t *testing.T) {
	high := newJob(t, wire.JobSpec{ID: "wk-000001", Shape: wire.Array, Priority: wire.High, Tasks: 1, GPUs: 4})
	victim := func(p wire.Priority, saves bool) placement.Victim {
		j := newJob(t, wire.JobSpec{ID: "wk-000002", Shape: wire.Array, Priority: p, Tasks: 1, GPUs: 2})
		return placement.Victim{
			Held:  ledger.HeldClaim{Job: j, Claim: ledger.Claim{Count: 1}},
			Saves: saves,
			Ran:   30e9,
		}
	}
	normal := func() placement.Victim { return victim(wire.Normal, true) }
	machine := func(id wire.MachineID, free float64) *placement.Machine { return gpuMachine(id, "a", free) }
	type machines []*placement.Machine
	for _, tc := range []struct {
		name      string
		machines  machines
		victims   victimsByMachine
		emptied   map[wire.MachineID]wire.JobID // already, for jobs
		want      wire.MachineID
		preempted int
	}{
		{"two lower tasks make room", machines{machine("m1", 0)},
			victimsByMachine{"m1": {normal(), normal()}}, nil, "m1", 2},
		{"one is enough", machines{machine("m1", 2)},
			victimsByMachine{"m1": {normal(), normal()}}, nil, "m1", 1},
		{"it would not be enough", machines{machine("m1", 0)},
			victimsByMachine{"m1": {normal()}}, nil, "", 0},
		{"the same priority", machines{machine("m1", 2)},
			victimsByMachine{"m1": {victim(wire.High, true)}}, nil, "", 0},
		{"much unsaved work", machines{machine("m1", 2)},
			victimsByMachine{"m1": {victim(wire.Normal, false)}}, nil, "", 0},
		{"the machine that caches the image", machines{machine("m1", 2), caching(machine("m2", 0))},
			victimsByMachine{"m1": {normal()}, "m2": {normal(), normal()}}, nil, "m2", 2},
		{"room and image elsewhere", machines{caching(machine("m1", 2)), caching(machine("m2", 4))},
			victimsByMachine{"m1": {normal()}}, nil, "", 0},
		{"room without the image elsewhere: only a machine that caches it", machines{machine("m1", 2), machine("m2", 4)},
			victimsByMachine{"m1": {normal()}}, nil, "", 0},
		{"one is being emptied already", machines{caching(machine("m1", 2)), caching(machine("m2", 2))},
			victimsByMachine{"m1": {normal()}}, map[wire.MachineID]wire.JobID{"m2": "wk-000001"}, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list := placement.PlanEvictions(&placement.Snapshot{
				Now:              start,
				Queue:            []placement.Entry{{Job: high}},
				Machines:         tc.machines,
				HeadReservations: tc.emptied,
				TeamRoom:         unlimited,
				Victims:          func(m *placement.Machine) []placement.Victim { return tc.victims[m.ID] },
			})
			switch {
			case len(list) == 0 && tc.want != "":
				t.Errorf("nothing is preempted, want %d on %s", tc.preempted, tc.want)
			case len(list) > 0 && (list[0].Machine.ID != tc.want || len(list[0].Victims) != tc.preempted):
				t.Errorf("%d preempted on %s, want %d on %q", len(list[0].Victims), list[0].Machine.ID, tc.preempted, tc.want)
			}
		})
	}
}

// TestMakeRoom: machines are emptied for a gang only if that makes room for all of it, where the
// least is lost, in one zone if it must be; not while room is being made for it, nor of work of its
// own priority. With best-effort work on most machines gangs would otherwise find no room until
// many machines happened to be free at once.
func TestMakeRoom(t *testing.T) {
	victim := func(id wire.JobID, p wire.Priority) placement.Victim {
		j := newJob(t, wire.JobSpec{ID: id, Shape: wire.Array, Priority: p, Tasks: 1, GPUs: 2})
		return placement.Victim{Held: ledger.HeldClaim{Job: j, Claim: ledger.Claim{Count: 1}}, Saves: true}
	}
	lower, same := victim("wk-000009", wire.BestEffort), victim("wk-000008", wire.High)
	full := []*placement.Machine{gpuMachine("m1", "a", 0), gpuMachine("m2", "b", 0), gpuMachine("m3", "b", 2)}
	victims := victimsByMachine{"m1": {lower, lower}, "m2": {lower}, "m3": {same, lower}}
	type counts map[wire.MachineID]int
	for _, tc := range []struct {
		name    string
		tasks   int
		oneZone bool
		emptied map[wire.MachineID]wire.JobID // already, for jobs
		want    counts
	}{
		{"all of it has room, the least loss first", 3, false, nil, counts{"m2": 1, "m3": 2}},
		{"more than can be made", 6, false, nil, nil},
		{"in one zone", 3, true, nil, counts{"m2": 1, "m3": 2}},
		{"more than one zone has", 4, true, nil, nil},
		{"room is being made", 3, false, map[wire.MachineID]wire.JobID{"m1": "wk-000001"}, nil},
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
				Now:              start,
				Queue:            []placement.Entry{{Job: gang}},
				Machines:         full,
				HeadReservations: tc.emptied,
				TeamRoom:         unlimited,
				Victims:          func(m *placement.Machine) []placement.Victim { return victims[m.ID] },
			}) {
				got[x.Machine.ID] = x.Tasks
			}
			if !maps.Equal(got, tc.want) {
				t.Errorf("empties %v, want %v", got, tc.want)
			}
		})
	}
}

// preemptionCase is a random queue beside machines on which lower work runs.
type preemptionCase struct {
	queue    []placement.Entry
	machines []*placement.Machine
	victims  victimsByMachine
}

// newPreemptionCase returns the case of a seed.
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
			Images: placement.NewImages(10),
		}
		if rng.IntN(3) == 0 {
			m.Images.Use(wire.Image(fmt.Sprint("i", rng.IntN(2))), 1)
		}
		c.machines = append(c.machines, m)
		for range rng.IntN(3) {
			j := job("wk-000099", priorities[rng.IntN(3)])
			c.victims[m.ID] = append(c.victims[m.ID], placement.Victim{
				Held:   ledger.HeldClaim{Job: j, Claim: ledger.Claim{Count: 1}},
				Saves:  rng.IntN(3) > 0,
				Beyond: rng.IntN(3) == 0,
				Ran:    time.Duration(rng.IntN(20)) * time.Second,
			})
		}
	}
	for i := range 20 {
		j := job(fmt.Sprintf("wk-%06d", i), priorities[rng.IntN(2)])
		c.queue = append(c.queue, placement.Entry{Job: j, OverGuarantee: rng.IntN(4) == 0})
	}
	return c
}

// evict returns what Evict chooses: with shared, once for all jobs that are alike.
func (c *preemptionCase) evict(shared bool) (out []string) {
	s := &placement.Snapshot{
		Now:              start,
		Queue:            slices.Clone(c.queue),
		Machines:         c.machines,
		HeadReservations: map[wire.MachineID]wire.JobID{"m3": "wk-000002"},
		TeamRoom:         unlimited,
		Victims:          func(m *placement.Machine) []placement.Victim { return c.victims[m.ID] },
	}
	if !shared {
		for i := range s.Queue { // an entry with machines to avoid shares nothing
			s.Queue[i].Avoid = func(wire.MachineID) bool { return false }
		}
	}
	for _, x := range placement.PlanEvictions(s) {
		out = append(out, fmt.Sprint(x.Entry.Job.ID, x.Machine.ID, len(x.Victims)))
	}
	return out
}

// TestAlikeJobsShareEvictions: what is chosen for a job does not depend on whether jobs that are
// alike share the choice. Without sharing, a pass over 500 urgent jobs and 4,000 machines held up
// all heartbeats for a second.
func TestAlikeJobsShareEvictions(t *testing.T) {
	for seed := range uint64(300) {
		c := newPreemptionCase(t, seed)
		if got, want := c.evict(true), c.evict(false); !slices.Equal(got, want) {
			t.Fatalf("seed %d: %v, each by itself %v", seed, got, want)
		}
	}
}
