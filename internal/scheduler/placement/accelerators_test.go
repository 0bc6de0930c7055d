package placement

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestPlainWorkLeavesAccelerators: work that needs no accelerator leaves idle machines with some to
// gangs, takes those that are beyond a reserve, and is not kept from them where there are no others.
// Before, such tasks sat on every machine that a gang could have had.
func TestPlainWorkLeavesAccelerators(t *testing.T) {
	flavors := map[wire.MachineTypeName]wire.MachineType{
		"gpu": {Name: "gpu", CPUs: 8, GPUs: 2, MemoryGB: 32, Zones: []wire.Zone{"a"}},
	}
	spec := &wire.JobSpec{ID: "wk-000001", Shape: wire.Array, Tasks: 1000, CPUs: 4, Image: "img"}
	l := ledger.New(ledger.Limits{ValueBytes: 8192, TxnOps: 48})
	l.Apply(
		ledger.Event{
			Key:     "mm1/j/wk-000001",
			Version: 1,
			Value: []byte(
				`{"spec":{"id":"wk-000001","pieces":1000,"shape":"array","urgency":"normal","cores":4,"bundle":"img"},"at":1,"a":1}`,
			),
		},
	)
	j := l.Job(spec.ID)
	if RunsWithoutAccelerator(j, flavors) {
		t.Fatal("kept from accelerators though there is no other machine")
	}
	flavors["cpu"] = wire.MachineType{Name: "cpu", CPUs: 4, MemoryGB: 16, Zones: []wire.Zone{"a"}}
	for _, tc := range []struct {
		plain    bool
		idle     int
		given    int // machines
		all, cpu int
	}{{true, 12, 9, 12, 0}, {true, 3, 0, 12, 0}, {false, 12, 12, 12, 0}, {true, 3, 2, 12, 2}} {
		v := &Snapshot{
			Now:      time.Now(),
			Queue:    []Entry{{Job: j, Plain: tc.plain && RunsWithoutAccelerator(j, flavors)}},
			Limits:   Limits{Starts: 48, ColdStarts: 100, FetchAssumed: time.Minute},
			TeamRoom: func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
		}
		machine := func(i int, typ wire.MachineTypeName, busy bool) {
			f := flavors[typ]
			m := &Machine{
				ID:     wire.MachineID(fmt.Sprint(typ, i)),
				Type:   typ,
				Zone:   "a",
				Usable: true,
				Images: NewImages(100),
				Total:  ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB),
			}
			m.Images.Use("img", 1)
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
			t.Errorf("%+v: %d machines are given work", tc, given)
		}
	}
}
