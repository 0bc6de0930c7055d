package placement

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// rankUnit scales a policy's rank to the units of the resources that it stands for in fit.
const rankUnit = 10_000

// fit returns how well a machine suits a gang among those of the same image rank and price, the
// lowest first: the resources (GPUs and CPUs) that stay free beside the gang, or the rank that a
// policy gave the machine.
func (s *Snapshot) fit(m *Machine, free ledger.Resources) int64 {
	if len(s.ranks) > 0 {
		return int64(s.ranks[m.ID]) * rankUnit
	}
	return free.GPU + free.CPU
}

// rankMachines has the policy in Prefer, if any, rank machines unless it has ranked them all
// before. After an invalid answer the built-in order applies for the rest of the snapshot's life.
func (s *Snapshot) rankMachines(machines []*Machine) {
	known := 0
	for _, m := range machines {
		if _, ok := s.ranks[m.ID]; ok {
			known++
		}
	}
	if s.Prefer == nil || known == len(machines) {
		return
	}
	ranks := s.Prefer(policyMachines(machines, s.Now))
	if len(ranks) != len(machines) {
		s.Prefer, s.ranks = nil, nil
		return
	}
	s.ranks = make(map[wire.MachineID]uint32, len(machines))
	for i, m := range machines {
		s.ranks[m.ID] = ranks[i]
	}
}

// policyMachines returns machines in the form that policies get.
func policyMachines(machines []*Machine, now time.Time) *policy.Machines {
	var names policy.Namer
	in := &policy.Machines{Now: now.UnixMilli()}
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
	return in
}
