package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"maddermill/internal/leader/autoscale"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// fullCluster returns a snapshot, and its records, in which all machines but one in a hundred are
// full and every job is pending.
func fullCluster(t *testing.T, machines, waiting int) (*placement.Snapshot, *ledger.Ledger) {
	t.Helper()
	rng := rand.New(rand.NewPCG(5, 6))
	l := newLedger()
	v := &placement.Snapshot{
		Now:                start,
		RemainingTeamQuota: l.RemainingTeamQuota,
		Limits:             placement.Limits{MaxColdStarts: 1 << 20, AssumedFetchTime: 60e9, MaxColdStartDelay: 9e9},
		Victims:            func(*placement.Machine) []placement.Victim { return nil },
	}
	for i := range waiting {
		s := &wire.JobSpec{
			ID:       wire.JobID(fmt.Sprintf("wk-%06d", i)),
			Class:    "c",
			Team:     "t",
			Shape:    wire.Array,
			Priority: wire.Normal,
			Tasks:    1 + rng.IntN(30),
			CPUs:     1,
			GPUs:     1,
			Image:    wire.Image(fmt.Sprint("i", i%40)),
			ImageGB:  5,
			Spot:     true,
		}
		if i%2 == 0 {
			s.Shape, s.Priority, s.Tasks, s.GPUs = wire.Gang, wire.High, 2<<rng.IntN(3), 2
		}
		j := submitAt(t, l, s, wire.UnixMillis(i))
		v.Queue = append(v.Queue, placement.Entry{Job: j, LatestStart: start.Add(1e9)})
	}
	placement.Order(v.Queue)
	for i := range machines {
		m := &placement.Machine{
			ID:        wire.MachineID(fmt.Sprintf("host-%06d", i)),
			Type:      "g",
			Zone:      []wire.Zone{"a", "b", "c"}[i%3],
			Usable:    true,
			Total:     ledger.NewResources(8, 2, 16),
			Images:    placement.NewImageCache(100),
			FetchGBps: 1,
			Spot:      i%2 == 0,
		}
		for range 6 {
			m.Images.RecordUse(wire.Image(fmt.Sprint("i", rng.IntN(40))), 5)
		}
		if i%100 == 0 {
			m.Free = m.Total
		}
		v.Machines = append(v.Machines, m)
	}
	return v, l
}

// TestDecisionsExamineOnlyWhatTheyAffect verifies that, with a thousand machines and as many jobs,
// the heartbeat of a full machine examines nothing, a heartbeat with free capacity examines only
// jobs that may use it, and the leader's passes examine the machines with free capacity and not all
// machines for each job. It compares counts, not times. Examining every machine for each heartbeat
// or for each job used up a controller's whole CPU quota.
func TestDecisionsExamineOnlyWhatTheyAffect(t *testing.T) {
	const machines, waiting = 1000, 1000
	v, l := fullCluster(t, machines, waiting)
	examined := func(f func()) int {
		before := v.Examined
		f()
		return v.Examined - before
	}
	placement.PlaceOnMachine(v, v.Machines[100]) // builds the indexes
	full, roomy := 0, 0
	for _, m := range v.Machines {
		free := m.Free
		n := examined(func() { placement.PlaceOnMachine(v, v.UpdateMachine(m)) })
		if free == m.Total {
			roomy += n
		} else {
			full += n
		}
	}
	if full != 0 {
		t.Errorf("heartbeats of full machines examined %d entries and machines, want 0", full)
	}
	if most := machines / 100 * 4 * waiting; roomy == 0 || roomy > most {
		t.Errorf("%d heartbeats with free capacity examined %d entries and machines, want 1 to %d",
			machines/100, roomy, most)
	}
	if n := examined(func() { placement.PlaceGangs(v) }); n > waiting+machines+waiting*machines/100 {
		t.Errorf("placing gangs examined %d entries and machines", n)
	}
	in := &autoscale.Input{
		Now:                start,
		RemainingTeamQuota: l.RemainingTeamQuota,
		Queue:              v.Queue,
		OutOfCapacity:      func(autoscale.MachineOption) bool { return true },
		MachineTypes: map[wire.MachineTypeName]wire.MachineType{
			"g": {Name: "g", CPUs: 8, GPUs: 2, MemoryGB: 16, Price: 1, Boot: 60, Zones: []wire.Zone{"a"}},
		},
	}
	for i, m := range v.Machines {
		u := autoscale.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Usable: true, Total: m.Total}
		if i%100 != 0 {
			u.ExpectedReleases = []placement.ExpectedRelease{{At: start.Add(3600e9), Resources: m.Total}}
		}
		in.Machines = append(in.Machines, u)
	}
	autoscale.ComputePlan(in)
	if most := waiting * machines / 100; in.MachinesExamined == 0 || in.MachinesExamined > most {
		t.Errorf("computing a scaling plan examined %d machines, want 1 to %d", in.MachinesExamined, most)
	}
}
