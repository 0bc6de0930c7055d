package placement

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestWorkWithoutAcceleratorsLeavesReserve verifies that jobs that need no accelerator keep a
// reserve of idle accelerator machines free, use those beyond the reserve, and may use all of them
// if there is no other machine type. Without the reserve, such jobs take every machine that a gang
// could use.
func TestWorkWithoutAcceleratorsLeavesReserve(t *testing.T) {
	machineTypes := map[wire.MachineTypeName]wire.MachineType{
		"gpu": {Name: "gpu", CPUs: 8, GPUs: 2, MemoryGB: 32, Zones: []wire.Zone{"a"}},
	}
	spec := &wire.JobSpec{ID: "wk-000001", Shape: wire.Array, Tasks: 1000, CPUs: 4, Image: "img"}
	l := ledger.New(ledger.Limits{ValueBytes: 8192, TxnOps: 48})
	l.Apply(
		ledger.Event{
			Key:     "mm1/j/wk-000001",
			Version: 1,
			Value: []byte(`{"spec":{"id":"wk-000001","pieces":1000,"shape":"array","urgency":"normal",` +
				`"cores":4,"bundle":"img"},"at":1,"a":1}`),
		},
	)
	j := l.Job(spec.ID)
	if RunsWithoutAccelerator(j, machineTypes) {
		t.Fatal("a job that fits no other machine type must not be kept off accelerators")
	}
	machineTypes["cpu"] = wire.MachineType{Name: "cpu", CPUs: 4, MemoryGB: 16, Zones: []wire.Zone{"a"}}
	for _, tc := range []struct {
		without  bool // the job needs no accelerator
		idle     int  // idle machines with accelerators
		given    int  // machines that get tasks
		all, cpu int  // machines with accelerators, and without
	}{{true, 12, 9, 12, 0}, {true, 3, 0, 12, 0}, {false, 12, 12, 12, 0}, {true, 3, 2, 12, 2}} {
		v := &Snapshot{
			Now:                time.Now(),
			Queue:              []Entry{{Job: j, NeedsNoAccelerator: tc.without && RunsWithoutAccelerator(j, machineTypes)}},
			Limits:             Limits{MaxJobs: 48, MaxColdStarts: 100, AssumedFetchTime: time.Minute},
			RemainingTeamQuota: func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
		}
		machine := func(i int, typ wire.MachineTypeName, busy bool) {
			f := machineTypes[typ]
			m := &Machine{
				ID:     wire.MachineID(fmt.Sprint(typ, i)),
				Type:   typ,
				Zone:   "a",
				Usable: true,
				Images: NewImageCache(100),
				Total:  ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB),
			}
			m.Images.RecordUse("img", 1)
			if m.Free = m.Total; busy {
				m.Free = ledger.Resources{}
			}
			v.Machines = append(v.Machines, m)
		}
		for i := range tc.all {
			machine(i, "gpu", i >= tc.idle)
		}
		for i := range tc.cpu {
			machine(i, "cpu", false)
		}
		given := 0
		for _, m := range v.Machines {
			if len(PlaceOnMachine(v, m)) > 0 {
				given++
			}
		}
		if given != tc.given {
			t.Errorf("%+v: %d machines get tasks, want %d", tc, given, tc.given)
		}
	}
}
