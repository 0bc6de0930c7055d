package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/wire"
)

// idleReserves returns how many idle machines with accelerators, of each type in each zone, are to be in
// reserve for work that needs them. There are none where all machine types have accelerators.
func (in *Input) idleReserves() map[MachineOption]int {
	reserves, hasPlainType := map[MachineOption]int{}, false
	for _, machineType := range in.MachineTypes {
		hasPlainType = hasPlainType || machineType.GPUs == 0
	}
	if !hasPlainType {
		return reserves
	}
	for i := range in.Machines {
		if m := &in.Machines[i]; m.Usable && !m.Booting && m.Total.GPU > 0 {
			reserves[MachineOption{Type: m.Type, Zone: m.Zone}]++
		}
	}
	for option, machines := range reserves {
		reserves[option] = placement.IdleReserve(machines)
	}
	return reserves
}

// scaleOutReserves adds the machines that the reserves lack: work that needs them starts without waiting
// for a boot.
func (p *packer) scaleOutReserves(reserves map[MachineOption]int) {
	options := slices.SortedFunc(maps.Keys(reserves), func(a, b MachineOption) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
	})
	for _, option := range options {
		for n := p.reserveShortfall(option, reserves[option]); n > 0 && p.mayScaleOut(); n-- {
			p.countScaleOut(option)
		}
	}
}

// reserveShortfall returns how many machines of a kind the plan lacks so that it leaves a reserve idle,
// which is never more than are in use.
func (p *packer) reserveShortfall(option MachineOption, reserve int) int {
	if p.input.OutOfCapacity(option) {
		return 0
	}
	inUse, idle := 0, 0
	for _, s := range p.slots {
		switch {
		case s.machine.option() != option:
		case s.used || len(s.machine.Busy) > 0:
			inUse++
		default:
			idle++
		}
	}
	return max(0, min(reserve, inUse)-idle)
}

// drains returns the idle machines that are to be returned, the most expensive first and then those idle
// for the longest. It leaves the reserves, which it counts down, and the operators' headroom.
func (p *packer) drains(reserves map[MachineOption]int) []wire.MachineID {
	var ids []wire.MachineID
	idle := p.idleMachines()
	for _, m := range idle[:max(0, len(idle)-p.input.headroomMachines())] {
		if option := (MachineOption{Type: m.Type, Zone: m.Zone}); reserves[option] > 0 {
			reserves[option]--
			continue
		}
		if p.input.Now.Sub(m.IdleSince) > p.input.maxIdle(m) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// idleMachines returns the idle machines that the plan does not use, in the order in which they go.
func (p *packer) idleMachines() []*Machine {
	var idle []*Machine
	for _, s := range p.slots {
		if !s.toRent && !s.used && s.machine.isIdle() {
			idle = append(idle, &s.machine)
		}
	}
	slices.SortFunc(idle, func(a, b *Machine) int {
		return cmp.Or(
			cmp.Compare(p.input.price(b.option()), p.input.price(a.option())),
			a.IdleSince.Compare(b.IdleSince),
		)
	})
	return idle
}

// headroomMachines returns how many idle machines the operators want beside those in use.
func (in *Input) headroomMachines() int {
	inUse := 0
	for i := range in.Machines {
		if m := &in.Machines[i]; m.IdleSince.IsZero() && !m.Booting {
			inUse++
		}
	}
	return int(in.Headroom * float64(inUse))
}

// maxIdle returns for how long a machine may be idle: IdleBoots boot times, and a spot machine longer by
// as much as it is cheaper, since its cached images cost less to keep.
func (in *Input) maxIdle(m *Machine) time.Duration {
	machineType := in.MachineTypes[m.Type]
	limit := in.IdleBoots * float64(machineType.Boot.Duration())
	if price := in.price(m.option()); price > 0 && machineType.Price > price {
		limit *= machineType.Price / price
	}
	return time.Duration(limit)
}
