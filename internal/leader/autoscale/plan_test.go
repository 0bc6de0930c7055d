package autoscale

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func input(t *testing.T, specs ...wire.JobSpec) *Input {
	t.Helper()
	l := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 60000})
	in := &Input{
		Now:           now,
		TeamRoom:      l.RemainingTeamQuota,
		Spot:          true,
		IdleBoots:     1,
		OutOfCapacity: func(MachineOption) bool { return false },
		Flavors: map[wire.MachineTypeName]wire.MachineType{
			"g": {Name: "g", CPUs: 8, GPUs: 4, MemoryGB: 64, Price: 10, SpotPrice: 3, Boot: 60, Zones: []wire.Zone{"a", "b"}},
		},
	}
	for i := range specs {
		s := specs[i]
		s.ID, s.Team, s.Class, s.Image = wire.JobID(fmt.Sprintf("wk-%06d", i)), "t", "c", "i"
		if s.Shape == "" {
			s.Shape = wire.Array
		}
		s.Priority = wire.Normal
		d := l.NewTransaction()
		if err := d.Submit(&s, wire.UnixMillis(i)); err != nil {
			t.Fatal(err)
		}
		txn, _ := d.Request()
		l.Apply(ledger.Event{Key: txn.Then[0].Put, Value: txn.Then[0].Value, Version: wire.Revision(i + 1)})
		in.Queue = append(in.Queue, placement.Entry{Job: l.Job(s.ID)})
	}
	return in
}

func scaledOut(p Plan, spot bool) (n int) {
	for _, h := range p.ScaleOut {
		if h.Spot == spot {
			n += h.Count
		}
	}
	return n
}

func TestScaleOut(t *testing.T) {
	full := ledger.NewResources(8, 4, 64)
	zone := wire.Zone("b")
	for _, tc := range []struct {
		name      string
		spec      wire.JobSpec
		units     []Machine
		refused   func(MachineOption) bool
		most      int
		spot, own int
	}{
		{"packed", wire.JobSpec{Tasks: 8, GPUs: 1, CPUs: 1, Spot: true}, nil, nil, 0, 2, 0},
		{"not on spot", wire.JobSpec{Tasks: 8, GPUs: 1, CPUs: 1}, nil, nil, 0, 0, 2},
		{"spot refused", wire.JobSpec{Tasks: 4, GPUs: 1, Spot: true}, nil, func(o MachineOption) bool { return o.Spot }, 0, 0, 1},
		{"one booting is counted", wire.JobSpec{Tasks: 8, GPUs: 1, Spot: true}, []Machine{{ID: "h", Type: "g", Zone: "a", Booting: true, Usable: true, Total: full}}, nil, 0, 1, 0},
		{"room in the wrong zone does not count", wire.JobSpec{Tasks: 4, GPUs: 1, Spot: true, Zone: &zone}, []Machine{{ID: "h", Type: "g", Zone: "a", Usable: true, Total: full}}, nil, 0, 1, 0},
		{"bounded", wire.JobSpec{Tasks: 40, GPUs: 1, Spot: true}, nil, nil, 3, 3, 0},
		// A job that is to be spread once counted room in one zone for all of its tasks, and waited for ever.
		{"spread", wire.JobSpec{Tasks: 4, GPUs: 1, Shape: wire.Gang, Spread: true}, []Machine{{ID: "h", Type: "g", Zone: "a", Usable: true, Total: full}}, nil, 0, 0, 1},
		{"nothing fits", wire.JobSpec{Tasks: 4, GPUs: 9, Spot: true}, nil, nil, 0, 0, 0},
	} {
		in := input(t, tc.spec)
		in.Units, in.MaxMachines = tc.units, tc.most
		if tc.refused != nil {
			in.OutOfCapacity = tc.refused
		}
		p := ComputePlan(in)
		if scaledOut(p, true) != tc.spot || scaledOut(p, false) != tc.own {
			t.Errorf("%s: %+v, want %d spot and %d others", tc.name, p.ScaleOut, tc.spot, tc.own)
		}
		for _, h := range p.ScaleOut {
			if tc.spec.Zone != nil && h.Zone != *tc.spec.Zone {
				t.Errorf("%s: hired in %s", tc.name, h.Zone)
			}
		}
	}
}

func TestDrain(t *testing.T) {
	full := ledger.NewResources(8, 4, 64)
	unit := func(id string, idle time.Duration, spot bool) Machine {
		u := Machine{ID: wire.MachineID(id), Type: "g", Zone: "a", Spot: spot, Usable: true, Total: full}
		if idle > 0 {
			u.IdleSince = now.Add(-idle)
		}
		return u
	}
	in := input(t)
	in.Units = []Machine{
		unit("busy", 0, false),
		unit("new", 30*time.Second, false),
		unit("spot", 4*time.Minute, true),
		unit("dear", 90*time.Second, false),
	}
	if p := ComputePlan(in); len(p.Drain) != 2 || p.Drain[0] != "dear" || p.Drain[1] != "spot" {
		t.Errorf("drained %v", p.Drain)
	}
	in = input(t, wire.JobSpec{Tasks: 1, GPUs: 1})
	in.Units = []Machine{unit("dear", 90*time.Second, false)}
	if p := ComputePlan(in); len(p.Drain) != 0 || len(p.ScaleOut) != 0 {
		t.Errorf("a machine that pending work fits on: %+v", p)
	}
}

// TestRentingForAGangKeepsItsZone: where closeness matters, what is rented for a gang goes to
// one zone, that of the machines with room for it; not at a higher price, and not if it can't
// be had there. Without a topology the zones take turns, as they did.
func TestScaleOutForAGangKeepsItsZone(t *testing.T) {
	full := ledger.NewResources(8, 4, 64)
	there := []Machine{{ID: "h", Type: "g", Zone: "b", Usable: true, Total: full}}
	for _, tc := range []struct {
		name    string
		close   bool
		units   []Machine
		refused func(MachineOption) bool
		a, b    int
	}{
		{"no topology", false, nil, nil, 2, 2},
		{"none there", true, nil, nil, 4, 0},
		{"one has room", true, there, nil, 0, 3},
		{"cheap ones only elsewhere", true, there, func(o MachineOption) bool { return o.Spot && o.Zone == "b" }, 3, 0},
		{"none to be had there", true, there, func(o MachineOption) bool { return o.Zone == "b" }, 3, 0},
	} {
		in := input(t, wire.JobSpec{Shape: wire.Gang, Tasks: 16, GPUs: 1, Spot: true})
		in.Close, in.Units = tc.close, tc.units
		if tc.refused != nil {
			in.OutOfCapacity = tc.refused
		}
		got := map[wire.Zone]int{}
		for _, h := range ComputePlan(in).ScaleOut {
			got[h.Zone] += h.Count
		}
		if got["a"] != tc.a || got["b"] != tc.b {
			t.Errorf("%s: %v, want %d in a and %d in b", tc.name, got, tc.a, tc.b)
		}
	}
}

// TestAcceleratorsAreKept: where there are machine types without accelerators, some idle machines with
// them are not given back; where there are none all that are idle go, as before.
func TestIdleAcceleratorsAreKept(t *testing.T) {
	now := time.Now()
	gpu := wire.MachineType{Name: "gpu", CPUs: 8, GPUs: 2, MemoryGB: 32, Price: 4, Boot: 20, Zones: []wire.Zone{"a"}}
	for _, tc := range []struct {
		mixed bool
		want  int
	}{{true, 12 - 3}, {false, 12}} {
		in := &Input{
			Now:           now,
			Flavors:       map[wire.MachineTypeName]wire.MachineType{"gpu": gpu},
			IdleBoots:     1,
			TeamRoom:      func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
			OutOfCapacity: func(MachineOption) bool { return false },
		}
		if tc.mixed {
			in.Flavors["cpu"] = wire.MachineType{
				Name:     "cpu",
				CPUs:     4,
				MemoryGB: 16,
				Price:    1,
				Boot:     20,
				Zones:    []wire.Zone{"a"},
			}
		}
		for i := range 12 {
			in.Units = append(
				in.Units,
				Machine{ID: wire.MachineID(fmt.Sprint("host-", i)), Type: "gpu", Zone: "a", Usable: true,
					Total: ledger.NewResources(8, 2, 32), IdleSince: now.Add(-time.Hour)},
			)
		}
		if p := ComputePlan(in); len(p.Drain) != tc.want {
			t.Errorf("mixed %v: %d of 12 are given back, want %d", tc.mixed, len(p.Drain), tc.want)
		}
	}
}

// TestAcceleratorsInReserve: where there are machine types without accelerators, as many machines
// with them are rented ahead as are left idle anyway, no more than are in use, and only such as any
// work may run on. Gangs waited for a boot each time that the fleet grew.
func TestAcceleratorReserveIsScaledOut(t *testing.T) {
	gpu := wire.MachineType{
		Name:      "gpu",
		CPUs:      8,
		GPUs:      2,
		MemoryGB:  32,
		Price:     4,
		SpotPrice: 1,
		Boot:      20,
		Zones:     []wire.Zone{"a"},
	}
	for _, tc := range []struct {
		name                string
		busy, idle, booting int
		mixed, refused      bool
		want                int
	}{
		{"none in use", 0, 1, 0, true, false, 0},
		{"one in use", 1, 0, 0, true, false, 1},
		{"a quarter", 16, 0, 0, true, false, 4},
		{"some are idle", 14, 2, 0, true, false, 2},
		{"some boot", 16, 0, 3, true, false, 1},
		{"no capacity", 16, 0, 0, true, true, 0},
		{"only such types", 16, 0, 0, false, false, 0},
	} {
		in := &Input{
			Now:           now,
			Flavors:       map[wire.MachineTypeName]wire.MachineType{"gpu": gpu},
			IdleBoots:     1,
			Spot:          true,
			TeamRoom:      func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
			OutOfCapacity: func(MachineOption) bool { return tc.refused },
		}
		if tc.mixed {
			in.Flavors["cpu"] = wire.MachineType{
				Name:     "cpu",
				CPUs:     4,
				MemoryGB: 16,
				Price:    1,
				Boot:     20,
				Zones:    []wire.Zone{"a"},
			}
		}
		for i := range tc.busy + tc.idle + tc.booting {
			u := Machine{
				ID:     wire.MachineID(fmt.Sprint("host-", i)),
				Type:   "gpu",
				Zone:   "a",
				Usable: true,
				Total:  ledger.NewResources(8, 2, 32),
			}
			switch {
			case i < tc.busy:
				u.Busy = []placement.ExpectedRelease{{Until: now.Add(time.Minute), Room: u.Total}}
			case i < tc.busy+tc.idle:
				u.IdleSince = now
			default:
				u.Booting = true
			}
			in.Units = append(in.Units, u)
		}
		if p := ComputePlan(in); scaledOut(p, false) != tc.want || scaledOut(p, true) != 0 {
			t.Errorf("%s: rented %+v, want %d", tc.name, p.ScaleOut, tc.want)
		}
	}
}
