package place_test

import (
	"testing"

	"maddermill/internal/ledger"
	"maddermill/internal/place"
	"maddermill/wire"
)

// TestEvict: lower work is stopped only when it truly makes room, the machine
// that caches the image is chosen, and work of the same priority is let be.
func TestEvict(t *testing.T) {
	job := func(id wire.JobID, p wire.Priority, gpus float64) *ledger.Job {
		l := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 60000})
		d := l.NewDraft()
		_ = d.Submit(&wire.JobSpec{ID: id, Class: "c", Team: "t", Shape: wire.Array, Priority: p, Tasks: 1, GPUs: gpus, Image: "i", Save: 2}, 1)
		txn, _ := d.Txn()
		l.Apply(ledger.Event{Key: txn.Then[0].Put, Value: txn.Then[0].Value, Version: 1})
		return l.Job(id)
	}
	machine := func(id wire.MachineID, free float64, cached bool) *place.Machine {
		m := &place.Machine{ID: id, Type: "g", Zone: "a", Usable: true, Total: ledger.NewResources(0, 4, 0),
			Free: ledger.NewResources(0, free, 0), Images: place.NewImages(10)}
		if cached {
			m.Images.Used("i", 1)
		}
		return m
	}
	high := job("wk-000001", wire.High, 4)
	victim := func(p wire.Priority, saves bool) place.Victim {
		return place.Victim{Held: ledger.Held{Job: job("wk-000002", p, 2), Claim: ledger.Claim{Count: 1}}, Saves: saves, Ran: 30e9}
	}
	for _, tc := range []struct {
		name     string
		machines []*place.Machine
		victims  map[wire.MachineID][]place.Victim
		withheld map[wire.MachineID]wire.JobID
		want     wire.MachineID
		stopped  int
	}{
		{"two lower tasks make room", []*place.Machine{machine("m1", 0, false)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.Normal, true), victim(wire.Normal, true)}}, nil, "m1", 2},
		{"one is enough", []*place.Machine{machine("m1", 2, false)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.Normal, true), victim(wire.Normal, true)}}, nil, "m1", 1},
		{"it would not be enough", []*place.Machine{machine("m1", 0, false)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.Normal, true)}}, nil, "", 0},
		{"the same priority", []*place.Machine{machine("m1", 2, false)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.High, true)}}, nil, "", 0},
		{"much unsaved work", []*place.Machine{machine("m1", 2, false)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.Normal, false)}}, nil, "", 0},
		{"the machine that caches the image", []*place.Machine{machine("m1", 2, false), machine("m2", 0, true)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.Normal, true)}, "m2": {victim(wire.Normal, true), victim(wire.Normal, true)}}, nil, "m2", 2},
		{"room and image elsewhere", []*place.Machine{machine("m1", 2, true), machine("m2", 4, true)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.Normal, true)}}, nil, "", 0},
		{"room without the image elsewhere: only a machine that caches it", []*place.Machine{machine("m1", 2, false), machine("m2", 4, false)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.Normal, true)}}, nil, "", 0},
		{"one is being emptied already", []*place.Machine{machine("m1", 2, true), machine("m2", 2, true)},
			map[wire.MachineID][]place.Victim{"m1": {victim(wire.Normal, true)}}, map[wire.MachineID]wire.JobID{"m2": "wk-000001"}, "", 0},
	} {
		v := &place.View{Now: start, Queue: []place.Entry{{Job: high}}, Machines: tc.machines, Withheld: tc.withheld,
			TeamRoom: func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
			Victims:  func(m *place.Machine) []place.Victim { return tc.victims[m.ID] }}
		x := place.Evict(v)
		switch {
		case x == nil && tc.want != "":
			t.Errorf("%s: nothing is stopped", tc.name)
		case x != nil && (x.Machine.ID != tc.want || len(x.Victims) != tc.stopped):
			t.Errorf("%s: %d stopped on %s, want %d on %q", tc.name, len(x.Victims), x.Machine.ID, tc.stopped, tc.want)
		}
	}
}
