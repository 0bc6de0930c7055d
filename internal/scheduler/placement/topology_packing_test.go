package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// racks returns a topology with two zones of two switches with two racks each, and the racks.
func racks(tb testing.TB, settings string) (*topology.Tree, []topology.Block) {
	tb.Helper()
	var b strings.Builder
	b.WriteString(
		settings + ` level { name: "zone" cost: 16 } level { name: "switch" cost: 4 } level { name: "rack" cost: 1 }`,
	)
	for z := range 2 {
		fmt.Fprintf(&b, " block { name: \"%c\"", 'a'+z)
		for s := range 2 {
			fmt.Fprintf(&b, " block { name: \"s%[1]d-%[2]d\" block { name: \"r%[1]d-%[2]d-0\" }", z, s)
			fmt.Fprintf(&b, " block { name: \"r%d-%d-1\" } }", z, s)
		}
		b.WriteString(" }")
	}
	tree, err := topology.Parse([]byte(b.String()), []wire.Zone{"a", "b"})
	if err != nil {
		tb.Fatal(err)
	}
	var out []topology.Block
	for _, x := range tree.Blocks() {
		if tree.Level(x) == "rack" {
			out = append(out, x)
		}
	}
	return tree, out
}

// largeLedger returns empty records with size limits that are sufficient for large gangs.
func largeLedger() *ledger.Ledger {
	return ledger.New(ledger.Limits{ValueBytes: 32 << 10, TxnOps: 40, TxnBytes: 64 << 10})
}

// gangSpec returns the description of a gang with the given number of tasks.
func gangSpec(id, tasks int) *wire.JobSpec {
	return &wire.JobSpec{
		ID:       wire.JobID(fmt.Sprintf("wk-%06d", id)),
		Team:     "free",
		Shape:    wire.Gang,
		Priority: wire.High,
		Tasks:    tasks,
		CPUs:     4,
		Image:    "i",
		ImageGB:  1,
		Spot:     true,
	}
}

// rackSnapshot returns a snapshot with eight machines per rack, each with capacity for two tasks.
// The fraction full of the machines is partly or fully used.
func rackSnapshot(
	tree *topology.Tree,
	l *ledger.Ledger,
	blocks []topology.Block,
	rng *rand.Rand,
	full float64,
) *placement.Snapshot {
	v := &placement.Snapshot{
		Now:                start,
		RemainingTeamQuota: l.RemainingTeamQuota,
		Tree:               tree,
		Limits: placement.Limits{
			AssumedFetchTime:  time.Minute,
			MaxColdStarts:     99,
			MaxColdStartDelay: 9 * time.Second,
		},
	}
	for i, b := range blocks {
		for k := range 8 {
			m := &placement.Machine{
				ID:        wire.MachineID(fmt.Sprintf("host-%d-%d", i, k)),
				Type:      "g",
				Zone:      wire.Zone(tree.Path(b)[:1]),
				Usable:    true,
				Spot:      true,
				Block:     b,
				Total:     ledger.NewResources(8, 0, 16),
				Images:    placement.NewImageCache(100),
				FetchGBps: 1,
			}
			m.Free = m.Total
			if rng.Float64() < full {
				m.Free = ledger.NewResources(4*float64(rng.IntN(2)), 0, 16)
			}
			v.Machines = append(v.Machines, m)
		}
	}
	return v
}

// costOf returns the topology cost of a placed gang.
func costOf(v *placement.Snapshot, g placement.GangStart) topology.Cost {
	var on []topology.Block
	var counts []int
	for _, p := range g.Parts {
		on, counts = append(on, v.Machine(p.Target.Machine).Block), append(counts, p.Count)
	}
	return v.Tree.PlacementCost(on, counts)
}

// TestTopologyPacksGangsClosely verifies that gangs placed with a topology cost at most half of
// what they cost without one, on randomly filled machines.
func TestTopologyPacksGangsClosely(t *testing.T) {
	tree, blocks := racks(t, "closer_wait_s: 0")
	rng := rand.New(rand.NewPCG(4, 4))
	var near, without topology.Cost
	placed := [2]int{}
	for range 60 {
		seed := rng.Uint64()
		for i, with := range []bool{true, false} {
			l := largeLedger()
			r := rand.New(rand.NewPCG(seed, 1))
			v := rackSnapshot(tree, l, blocks, r, 0.6)
			for id := range 6 {
				v.Queue = append(v.Queue, placement.Entry{Job: submit(t, l, gangSpec(id, 2+r.IntN(7)))})
			}
			if !with {
				v.Tree = nil
			}
			gangs := placement.PlaceGangs(v)
			v.Tree = tree
			for _, g := range gangs {
				placed[i]++
				if with {
					near += costOf(v, g)
				} else {
					without += costOf(v, g)
				}
			}
		}
	}
	t.Logf("%d gangs placed with a topology, %d without; cost ratio %.3f",
		placed[0], placed[1], float64(near)/float64(without))
	if placed[0] < placed[1] || near*2 > without {
		t.Errorf("placed %d gangs at a cost of %d, without topology %d at a cost of %d", placed[0], near, placed[1], without)
	}
}

// TestImageOrClosenessFirst verifies that a gang goes to machines with its image if the topology
// puts images first, however far apart they are, and to machines close together if it puts
// closeness first. It is placed in both cases.
func TestImageOrClosenessFirst(t *testing.T) {
	for setting, close := range map[string]bool{
		"first: IMAGE closer_wait_s: 0":     false,
		"first: CLOSENESS closer_wait_s: 0": true,
	} {
		tree, blocks := racks(t, setting)
		l := largeLedger()
		v := rackSnapshot(tree, l, blocks, rand.New(rand.NewPCG(1, 1)), 0)
		for i, m := range v.Machines {
			if i%8 == 0 {
				m.Images.RecordUse("i", 1) // one per rack
			}
		}
		v.Queue = []placement.Entry{{Job: submit(t, l, gangSpec(1, 4))}}
		gangs := placement.PlaceGangs(v)
		if len(gangs) != 1 {
			t.Fatalf("%s: gang not placed", setting)
		}
		near := true
		for _, p := range gangs[0].Parts {
			near = near && v.Machine(p.Target.Machine).Block == v.Machine(gangs[0].Parts[0].Target.Machine).Block
		}
		if near != close {
			t.Errorf("%s: all tasks in one rack: %v; placed at %v", setting, near, gangs[0].Parts)
		}
	}
}

// TestWaitForCloserPlacementIsBounded verifies that a gang that would have to be split waits while
// a closer placement could become available, and then starts as close as possible. A gang for which
// no closer placement can exist starts at once.
func TestWaitForCloserPlacementIsBounded(t *testing.T) {
	tree, blocks := racks(t, "closer_wait_s: 5")
	for _, tc := range []struct {
		tasks   int
		waiting time.Duration
		placed  bool
	}{{4, 0, false}, {4, 4 * time.Second, false}, {4, 5 * time.Second, true}, {16, 0, false}, {128, 0, true}} {
		l := largeLedger()
		v := rackSnapshot(tree, l, blocks, rand.New(rand.NewPCG(1, 1)), 0)
		if tc.tasks < 128 {
			for i, m := range v.Machines {
				if i%4 > 0 {
					m.Free = ledger.Resources{} // two machines per rack have free capacity, each for one task
				} else {
					m.Free = ledger.NewResources(4, 0, 16)
				}
			}
		}
		v.Queue = []placement.Entry{{Job: submit(t, l, gangSpec(1, tc.tasks)), Waiting: tc.waiting}}
		if got := len(placement.PlaceGangs(v)) == 1; got != tc.placed {
			t.Errorf("%d tasks after %v: placed %v", tc.tasks, tc.waiting, got)
		}
		// No claims are preempted for a gang that fits and only waits for a closer placement.
		low := gangSpec(2, 1)
		low.Shape, low.Priority, low.Checkpoint = wire.Array, wire.BestEffort, 5
		lower := submit(t, l, low)
		v.Victims = func(*placement.Machine) []placement.Victim {
			return []placement.Victim{{Held: ledger.HeldClaim{Job: lower, Claim: ledger.Claim{Count: 2}}, SavesProgress: true}}
		}
		if list := placement.PlanPreemption(v); !tc.placed && len(list) > 0 {
			t.Errorf("%d tasks after %v: preemption planned on %d machines, want none", tc.tasks, tc.waiting, len(list))
		}
	}
}

// TestSingleTasksLeaveEmptyRacksToGangs verifies that an empty machine among empty ones is kept for
// gangs while a partly used one is suitable, but only for a limited time, only if one is suitable,
// and only if other machines of its rack are empty.
func TestSingleTasksLeaveEmptyRacksToGangs(t *testing.T) {
	tree, blocks := racks(t, "")
	for _, tc := range []struct {
		name    string
		partly  bool // one machine is partly used
		alone   bool // all other machines of the rack are full
		waiting time.Duration
		starts  int
	}{
		{"a used machine elsewhere", true, false, 0, 0},
		{"waited long enough", true, false, time.Minute, 1},
		{"the rack is not empty", true, true, 0, 1},
		{"all are empty", false, false, 0, 1},
	} {
		l := largeLedger()
		v := rackSnapshot(tree, l, blocks, rand.New(rand.NewPCG(1, 1)), 0)
		if tc.partly {
			v.Machines[60].Free = ledger.NewResources(4, 0, 16)
		}
		if tc.alone {
			for _, m := range v.Machines[1:8] {
				m.Free = ledger.Resources{}
			}
		}
		s := gangSpec(1, 1)
		s.Shape = wire.Array
		v.Queue = []placement.Entry{{Job: submit(t, l, s), Waiting: tc.waiting}}
		if got := placement.PlaceOnMachine(v, v.Machines[0]); len(got) != tc.starts {
			t.Errorf("%s: %d starts on the empty machine", tc.name, len(got))
		}
		if tc.partly {
			if got := placement.PlaceOnMachine(v, v.Machines[60]); len(got) != 1 {
				t.Errorf("%s: %d starts on the partly used machine", tc.name, len(got))
			}
		}
	}
}

// TestPreemptionPacksGangsClosely verifies that preemption for a gang chooses the machines closest
// together among those whose loss does not exceed that of the machines chosen without a topology.
func TestPreemptionPacksGangsClosely(t *testing.T) {
	tree, blocks := racks(t, "")
	l := largeLedger()
	v := rackSnapshot(tree, l, blocks, rand.New(rand.NewPCG(1, 1)), 0)
	low := gangSpec(9, 1)
	low.Shape, low.Priority, low.Checkpoint, low.Save = wire.Array, wire.BestEffort, 5, 1
	lower := submit(t, l, low)
	for i, m := range v.Machines {
		m.Free = ledger.Resources{}
		if i%3 != 0 && i/8 != 5 {
			m.Usable = false // claims can be preempted on a third of the machines, and on all machines of one rack
		}
	}
	v.Victims = func(m *placement.Machine) []placement.Victim {
		return []placement.Victim{
			{Held: ledger.HeldClaim{Job: lower, Claim: ledger.Claim{Count: 2, Machine: m.ID}}, SavesProgress: true},
		}
	}
	v.Queue = []placement.Entry{{Job: submit(t, l, gangSpec(1, 16))}}
	list := placement.PlanPreemption(v)
	tasks := 0
	for _, x := range list {
		tasks += x.Tasks
		if x.Machine.Block != blocks[5] {
			t.Errorf("preemption planned on %s, outside the rack that can hold the gang", x.Machine.ID)
		}
	}
	if tasks != 16 {
		t.Errorf("preemption planned for %d of 16 tasks", tasks)
	}
}

// TestPolicyRanksMachines verifies that, among machines with the same rank of its image, a gang
// goes where a policy prefers, with or without a topology, and never to a machine with a higher
// image rank. A policy that returns no ranks changes nothing.
func TestPolicyRanksMachines(t *testing.T) {
	tree, blocks := racks(t, "closer_wait_s: 0 first: IMAGE")
	for _, with := range []*topology.Tree{nil, tree} {
		on := func(prefer func(*policy.Machines) []uint32) string {
			l := largeLedger()
			v := rackSnapshot(tree, l, blocks[:1], rand.New(rand.NewPCG(1, 1)), 0)
			v.Tree, v.Prefer = with, prefer
			for _, i := range []int{2, 3, 5, 6} {
				v.Machines[i].Images.RecordUse("i", 1)
			}
			v.Queue = []placement.Entry{{Job: submit(t, l, gangSpec(1, 4))}}
			var out []string
			for _, p := range placement.PlaceGangs(v)[0].Parts {
				out = append(out, string(p.Target.Machine))
			}
			slices.Sort(out)
			return strings.Join(out, " ")
		}
		byName := func(m *policy.Machines) []uint32 { // the last name first
			out := make([]uint32, len(m.List))
			for i, x := range m.List {
				out[i] = uint32('9' - m.Names[x.Name][len(m.Names[x.Name])-1])
			}
			return out
		}
		if got := on(byName); got != "host-0-5 host-0-6" {
			t.Errorf("topology %v: placed on %s", with != nil, got)
		}
		unranked := on(func(*policy.Machines) []uint32 { return nil })
		if without := on(nil); unranked != without || without != "host-0-2 host-0-3" {
			t.Errorf("topology %v: placed on %s, without a policy on %s", with != nil, unranked, without)
		}
	}
}
