package placement

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// rankUnit is what a policy's rank counts as, in place of what a gang leaves free.
const rankUnit = 10_000

// fit is how good a machine is for a gang among those equally near to its image and equally
// dear, the lowest first: by what stays free beside the gang, GPUs and CPUs, or by the rank
// that a policy gave it.
func (v *Snapshot) fit(m *Machine, free ledger.Resources) int64 {
	if len(v.ranks) > 0 {
		return int64(v.ranks[m.ID]) * rankUnit
	}
	return free.GPU + free.CPU
}

// rank has a policy rank machines, if one has a say and there are some that it hasn't ranked.
func (v *Snapshot) rank(machines []*Machine) {
	known := 0
	for _, m := range machines {
		if _, ok := v.ranks[m.ID]; ok {
			known++
		}
	}
	if v.Prefer == nil || known == len(machines) {
		return
	}
	var names policy.Namer
	in := &policy.Machines{Now: v.Now.UnixMilli()}
	for _, m := range machines {
		x := policy.Machine{
			Name:     names.Number(string(m.ID)),
			Type:     names.Number(string(m.Type)),
			Zone:     names.Number(string(m.Zone)),
			Block:    uint32(m.Block),
			Images:   uint32(len(m.Images.cached)),
			Fetching: uint32(len(m.Images.fetching)),
			Claims:   uint32(len(m.Busy)),
			FreeCPU:  m.Free.CPU,
			FreeGPU:  m.Free.GPU,
			FreeRAM:  m.Free.Memory,
			WholeCPU: m.Total.CPU,
			WholeGPU: m.Total.GPU,
			WholeRAM: m.Total.Memory,
		}
		if m.Spot {
			x.Spot = 1
		}
		var until time.Time
		for i := range m.Busy {
			if m.Busy[i].Until.After(until) {
				until = m.Busy[i].Until
			}
		}
		if !until.IsZero() {
			x.BusyUntil = until.UnixMilli()
		}
		in.List = append(in.List, x)
	}
	in.Names = names.Names
	ranks := v.Prefer(in)
	if len(ranks) != len(machines) {
		v.Prefer, v.ranks = nil, nil // the choice is the built-in policy's, for this view
		return
	}
	v.ranks = make(map[wire.MachineID]uint32, len(machines))
	for i, m := range machines {
		v.ranks[m.ID] = ranks[i]
	}
}
