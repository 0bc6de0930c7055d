package placement

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// rankUnit scales a policy's rank to the resource units that fitScore otherwise returns.
const rankUnit = 10_000

// fitScore returns how well a machine suits a gang among machines of the same image rank and price;
// lower is better. It is the rank assigned by a policy, if any, or else the sum of GPU and CPU
// units left free beside the gang.
func (s *Snapshot) fitScore(m *Machine, free ledger.Resources) int64 {
	if len(s.ranks) > 0 {
		return int64(s.ranks[m.ID]) * rankUnit
	}
	return free.GPU + free.CPU
}

// rankMachines calls the policy function Prefer, if any, to rank machines, unless all of them are
// already ranked. After an invalid result, the built-in order applies for the rest of the
// snapshot's lifetime.
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

// policyMachines converts machines to policy input.
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
			Claims:   uint32(len(m.ExpectedReleases)),
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
		for i := range m.ExpectedReleases {
			if m.ExpectedReleases[i].At.After(until) {
				until = m.ExpectedReleases[i].At
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
