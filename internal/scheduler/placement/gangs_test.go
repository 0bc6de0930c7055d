package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestGangIsPlacedWholeOrNotAtAll verifies that a gang is placed as a whole, within all
// constraints, or not at all.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	placed := 0
	for seed := uint64(1); seed <= 2000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 4))
		l := newLedger()
		s := &wire.JobSpec{
			ID:       "wk-000001",
			Class:    "c",
			Team:     "t",
			Shape:    wire.Gang,
			Priority: wire.High,
			Tasks:    2 + rng.IntN(5),
			CPUs:     2,
			GPUs:     1,
			MemoryGB: 1,
			Image:    "i1",
			Spot:     rng.IntN(2) == 0,
			OneZone:  rng.IntN(2) == 0,
			Spread:   rng.IntN(3) == 0,
		}
		j := submit(t, l, s)
		v := &placement.Snapshot{Now: start, RemainingTeamQuota: l.RemainingTeamQuota, Queue: []placement.Entry{{Job: j}}}
		for i := range 5 {
			v.Machines = append(v.Machines, machine(rng, i))
		}
		free := map[wire.MachineID]ledger.Resources{}
		for _, m := range v.Machines {
			free[m.ID] = m.Free
		}
		starts := placement.PlaceGangs(v)
		if len(starts) == 0 {
			continue
		}
		parts := starts[0].Parts
		placed++
		if err := l.NewTransaction().ClaimGang(j, parts); err != nil {
			t.Fatalf("seed %d: claim of %+v rejected: %v", seed, parts, err)
		}
		for _, p := range parts {
			if free[p.Target.Machine].CountFitting(j.Need, 100) < p.Count {
				t.Fatalf("seed %d: %d tasks do not fit on %s", seed, p.Count, p.Target.Machine)
			}
		}
	}
	if placed < 200 {
		t.Errorf("only %d of 2000 gangs placed", placed)
	}
}

// TestGangsAvoidOverdueMachines verifies that a gang uses machines with an overdue heartbeat, even
// if they have its image cached, only if there are not enough others. A gang cannot start if one of
// its machines has failed.
func TestGangsAvoidOverdueMachines(t *testing.T) {
	for _, others := range []int{1, 2, 3} {
		l := newLedger()
		s := &wire.JobSpec{
			ID:       "wk-000001",
			Class:    "c",
			Team:     "t",
			Shape:    wire.Gang,
			Priority: wire.High,
			Tasks:    2,
			CPUs:     8,
			MemoryGB: 1,
			Image:    "i1",
		}
		j := submit(t, l, s)
		v := &placement.Snapshot{Now: start, RemainingTeamQuota: l.RemainingTeamQuota, Queue: []placement.Entry{{Job: j}}}
		for i := range 2 + others {
			m := &placement.Machine{
				ID:        wire.MachineID(fmt.Sprint("host-", i)),
				Type:      "g",
				Zone:      "a",
				Total:     ledger.NewResources(8, 4, 16),
				Free:      ledger.NewResources(8, 4, 16),
				Images:    placement.NewImageCache(100),
				Usable:    true,
				FetchGBps: 1,
				Overdue:   i < 2,
			}
			if m.Overdue {
				m.Images.RecordUse("i1", 5)
			}
			v.Machines = append(v.Machines, m)
		}
		starts := placement.PlaceGangs(v)
		if len(starts) != 1 {
			t.Fatalf("%d other machines: %d gangs placed, want 1", others, len(starts))
		}
		overdue := 0
		for _, p := range starts[0].Parts {
			if v.Machine(p.Target.Machine).Overdue {
				overdue++
			}
		}
		if want := max(0, 2-others); overdue != want {
			t.Errorf("%d other machines: gang placed on %d overdue machines, want %d", others, overdue, want)
		}
	}
}
