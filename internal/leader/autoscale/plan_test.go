package autoscale

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Machine types of the tests: typeG is available in two zones, cpuType has no accelerators.
var (
	typeG = wire.MachineType{
		Name:      "g",
		CPUs:      8,
		GPUs:      4,
		MemoryGB:  64,
		Price:     10,
		SpotPrice: 3,
		Boot:      60,
		Zones:     []wire.Zone{"a", "b"},
	}
	gpuType = wire.MachineType{
		Name:      "gpu",
		CPUs:      8,
		GPUs:      2,
		MemoryGB:  32,
		Price:     4,
		SpotPrice: 1,
		Boot:      20,
		Zones:     []wire.Zone{"a"},
	}
	cpuType = wire.MachineType{
		Name:     "cpu",
		CPUs:     4,
		MemoryGB: 16,
		Price:    1,
		Boot:     20,
		Zones:    []wire.Zone{"a"},
	}
)

// never is an OutOfCapacity function for a cloud with unlimited capacity.
func never(MachineOption) bool { return false }

// noQuota is a RemainingTeamQuota function for teams without quotas.
func noQuota(_ *ledger.Job, _ ledger.Resources, maxTasks int) int { return maxTasks }

// input returns an input with machine type typeG, no machines, and a pending job for each spec.
func input(t *testing.T, specs ...wire.JobSpec) *Input {
	t.Helper()
	records := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 60000})
	in := &Input{
		Now:                now,
		RemainingTeamQuota: records.RemainingTeamQuota,
		Spot:               true,
		IdleBoots:          1,
		OutOfCapacity:      never,
		MachineTypes:       map[wire.MachineTypeName]wire.MachineType{"g": typeG},
	}
	for i := range specs {
		spec := specs[i]
		spec.ID, spec.Team, spec.Class, spec.Image = wire.JobID(fmt.Sprintf("wk-%06d", i)), "t", "c", "i"
		if spec.Shape == "" {
			spec.Shape = wire.Array
		}
		spec.Priority = wire.Normal
		txn := records.NewTransaction()
		if err := txn.Submit(&spec, wire.UnixMillis(i)); err != nil {
			t.Fatal(err)
		}
		request, _ := txn.Request()
		put := request.Then[0]
		records.Apply(ledger.Event{Key: put.Put, Value: put.Value, Version: wire.Revision(i + 1)})
		in.Queue = append(in.Queue, placement.Entry{Job: records.Job(spec.ID)})
	}
	return in
}

// acceleratorInput returns an input with gpuType and, if mixed is set, cpuType. It has no jobs or machines.
func acceleratorInput(mixed bool) *Input {
	in := &Input{
		Now:                now,
		MachineTypes:       map[wire.MachineTypeName]wire.MachineType{"gpu": gpuType},
		IdleBoots:          1,
		RemainingTeamQuota: noQuota,
		OutOfCapacity:      never,
	}
	if mixed {
		in.MachineTypes["cpu"] = cpuType
	}
	return in
}

// scaledOut returns how many spot or on-demand machines a plan provisions.
func scaledOut(p Plan, spot bool) (n int) {
	for _, scaleOut := range p.ScaleOut {
		if scaleOut.Spot == spot {
			n += scaleOut.Count
		}
	}
	return n
}

// TestScaleOut checks that a plan provisions machines for the tasks that don't fit on existing machines, of
// the cheapest option that the job may run on.
func TestScaleOut(t *testing.T) {
	full := ledger.NewResources(8, 4, 64)
	zone := wire.Zone("b")
	up := []Machine{{ID: "h", Type: "g", Zone: "a", Usable: true, Total: full}}
	booting := []Machine{{ID: "h", Type: "g", Zone: "a", Booting: true, Usable: true, Total: full}}
	noSpot := func(o MachineOption) bool { return o.Spot }
	for _, tc := range []struct {
		name          string
		spec          wire.JobSpec
		machines      []Machine
		outOfCapacity func(MachineOption) bool
		maxMachines   int
		wantSpot      int
		wantOnDemand  int
	}{
		{name: "packed", spec: wire.JobSpec{Tasks: 8, GPUs: 1, CPUs: 1, Spot: true}, wantSpot: 2},
		{name: "on-demand only", spec: wire.JobSpec{Tasks: 8, GPUs: 1, CPUs: 1}, wantOnDemand: 2},
		{
			name:          "spot out of capacity",
			spec:          wire.JobSpec{Tasks: 4, GPUs: 1, Spot: true},
			outOfCapacity: noSpot,
			wantOnDemand:  1,
		},
		{
			name:     "booting machine is counted",
			spec:     wire.JobSpec{Tasks: 8, GPUs: 1, Spot: true},
			machines: booting,
			wantSpot: 1,
		},
		{
			name:     "capacity in another zone is ignored",
			spec:     wire.JobSpec{Tasks: 4, GPUs: 1, Spot: true, Zone: &zone},
			machines: up,
			wantSpot: 1,
		},
		{name: "machine limit", spec: wire.JobSpec{Tasks: 40, GPUs: 1, Spot: true}, maxMachines: 3, wantSpot: 3},
		{
			// Regression: the capacity of one zone was counted for all tasks of a spread job, which then
			// waited forever.
			name:         "spread",
			spec:         wire.JobSpec{Tasks: 4, GPUs: 1, Shape: wire.Gang, Spread: true},
			machines:     up,
			wantOnDemand: 1,
		},
		{name: "nothing fits", spec: wire.JobSpec{Tasks: 4, GPUs: 9, Spot: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := input(t, tc.spec)
			in.Machines, in.MaxMachines = tc.machines, tc.maxMachines
			if tc.outOfCapacity != nil {
				in.OutOfCapacity = tc.outOfCapacity
			}
			p := ComputePlan(in)
			if scaledOut(p, true) != tc.wantSpot || scaledOut(p, false) != tc.wantOnDemand {
				t.Errorf("got %+v, want %d spot and %d on-demand", p.ScaleOut, tc.wantSpot, tc.wantOnDemand)
			}
			for _, scaleOut := range p.ScaleOut {
				if tc.spec.Zone != nil && scaleOut.Zone != *tc.spec.Zone {
					t.Errorf("got a machine in zone %s, want %s", scaleOut.Zone, *tc.spec.Zone)
				}
			}
		})
	}
}

// TestDrain checks that machines idle for longer than a boot time are drained, the most expensive first,
// except those that pending jobs fit on.
func TestDrain(t *testing.T) {
	full := ledger.NewResources(8, 4, 64)
	idleFor := func(id wire.MachineID, idle time.Duration, spot bool) Machine {
		m := Machine{ID: id, Type: "g", Zone: "a", Spot: spot, Usable: true, Total: full}
		if idle > 0 {
			m.IdleSince = now.Add(-idle)
		}
		return m
	}
	in := input(t)
	in.Machines = []Machine{
		idleFor("busy", 0, false),
		idleFor("new", 30*time.Second, false),
		idleFor("spot", 4*time.Minute, true),
		idleFor("expensive", 90*time.Second, false),
	}
	want := []wire.MachineID{"expensive", "spot"}
	if got := ComputePlan(in).Drain; !slices.Equal(got, want) {
		t.Errorf("got %v drained, want %v", got, want)
	}
	in = input(t, wire.JobSpec{Tasks: 1, GPUs: 1})
	in.Machines = []Machine{idleFor("expensive", 90*time.Second, false)}
	if p := ComputePlan(in); len(p.Drain) != 0 || len(p.ScaleOut) != 0 {
		t.Errorf("with a pending job that fits: got %+v, want no change", p)
	}
}

// TestScaleOutForAGangKeepsItsZone checks that, with a declared topology, the machines provisioned for a gang
// are in the zone that already has capacity for it, unless that zone is more expensive or out of capacity.
// Without a topology they are spread over the zones.
func TestScaleOutForAGangKeepsItsZone(t *testing.T) {
	full := ledger.NewResources(8, 4, 64)
	inZoneB := []Machine{{ID: "h", Type: "g", Zone: "b", Usable: true, Total: full}}
	for _, tc := range []struct {
		name          string
		topology      bool
		machines      []Machine
		outOfCapacity func(MachineOption) bool
		wantA, wantB  int
	}{
		{"no topology", false, nil, never, 2, 2},
		{"no machines", true, nil, never, 4, 0},
		{"zone with capacity", true, inZoneB, never, 0, 3},
		{"spot only in the other zone", true, inZoneB, func(o MachineOption) bool { return o.Spot && o.Zone == "b" }, 3, 0},
		{"zone out of capacity", true, inZoneB, func(o MachineOption) bool { return o.Zone == "b" }, 3, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := input(t, wire.JobSpec{Shape: wire.Gang, Tasks: 16, GPUs: 1, Spot: true})
			in.PreferOneZone, in.Machines, in.OutOfCapacity = tc.topology, tc.machines, tc.outOfCapacity
			got := map[wire.Zone]int{}
			for _, scaleOut := range ComputePlan(in).ScaleOut {
				got[scaleOut.Zone] += scaleOut.Count
			}
			if got["a"] != tc.wantA || got["b"] != tc.wantB {
				t.Errorf("got %v, want %d in a and %d in b", got, tc.wantA, tc.wantB)
			}
		})
	}
}

// TestIdleAcceleratorsAreKept checks that, if some machine types have no accelerators, a reserve of idle
// accelerator machines is not drained. If all types have accelerators, all idle machines are drained.
func TestIdleAcceleratorsAreKept(t *testing.T) {
	const machines = 12
	for _, tc := range []struct {
		name  string
		mixed bool
		want  int
	}{
		{"mixed types", true, machines - 3},
		{"accelerators only", false, machines},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := acceleratorInput(tc.mixed)
			for i := range machines {
				in.Machines = append(in.Machines, Machine{
					ID:        wire.MachineID(fmt.Sprint("host-", i)),
					Type:      "gpu",
					Zone:      "a",
					Usable:    true,
					Total:     resourcesOf(&gpuType),
					IdleSince: now.Add(-time.Hour),
				})
			}
			if got := len(ComputePlan(in).Drain); got != tc.want {
				t.Errorf("got %d of %d drained, want %d", got, machines, tc.want)
			}
		})
	}
}

// TestAcceleratorReserveIsScaledOut checks that, if some machine types have no accelerators, missing machines
// of the accelerator reserve are provisioned ahead of demand: no more than are in use, and on-demand only,
// since not all jobs may run on spot machines. Without it gangs waited for a boot each time that the cluster
// grew.
func TestAcceleratorReserveIsScaledOut(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		busy, idle, booting  int
		mixed, outOfCapacity bool
		want                 int
	}{
		{"none in use", 0, 1, 0, true, false, 0},
		{"one in use", 1, 0, 0, true, false, 1},
		{"a quarter", 16, 0, 0, true, false, 4},
		{"some idle", 14, 2, 0, true, false, 2},
		{"some booting", 16, 0, 3, true, false, 1},
		{"no capacity", 16, 0, 0, true, true, 0},
		{"accelerators only", 16, 0, 0, false, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := acceleratorInput(tc.mixed)
			in.Spot = true
			in.OutOfCapacity = func(MachineOption) bool { return tc.outOfCapacity }
			for i := range tc.busy + tc.idle + tc.booting {
				m := Machine{
					ID:     wire.MachineID(fmt.Sprint("host-", i)),
					Type:   "gpu",
					Zone:   "a",
					Usable: true,
					Total:  resourcesOf(&gpuType),
				}
				switch {
				case i < tc.busy:
					m.ExpectedReleases = []placement.ExpectedRelease{{At: now.Add(time.Minute), Resources: m.Total}}
				case i < tc.busy+tc.idle:
					m.IdleSince = now
				default:
					m.Booting = true
				}
				in.Machines = append(in.Machines, m)
			}
			if p := ComputePlan(in); scaledOut(p, false) != tc.want || scaledOut(p, true) != 0 {
				t.Errorf("got %+v, want %d on-demand and no spot", p.ScaleOut, tc.want)
			}
		})
	}
}
