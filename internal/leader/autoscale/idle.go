package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/wire"
)

// idleReserves returns, per type and zone, how many accelerator machines to keep idle for jobs that need
// accelerators. It returns no reserves if every machine type has accelerators.
func (in *Input) idleReserves() map[MachineOption]int {
	reserves, hasCPUOnlyType := map[MachineOption]int{}, false
	for _, machineType := range in.MachineTypes {
		hasCPUOnlyType = hasCPUOnlyType || machineType.GPUs == 0
	}
	if !hasCPUOnlyType {
		return reserves
	}
	for i := range in.Machines {
		if m := &in.Machines[i]; m.Usable && !m.Booting && m.Total.GPU > 0 {
			reserves[MachineOption{Type: m.Type, Zone: m.Zone}]++
		}
	}
	for option, machines := range reserves {
		reserves[option] = placement.IdleAcceleratorReserve(machines)
	}
	return reserves
}

// scaleOutReserves plans the machines missing from the reserves, so that jobs that need accelerators start
// without waiting for a boot.
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

// reserveShortfall returns how many machines must be added to keep the reserve of a machine option idle. The
// reserve is capped at the number of machines in use.
func (p *packer) reserveShortfall(option MachineOption, reserve int) int {
	if p.input.OutOfCapacity(option) {
		return 0
	}
	inUse, idle := 0, 0
	for _, b := range p.bins {
		switch {
		case b.machine.option() != option:
		case b.hasTasks || len(b.machine.ExpectedReleases) > 0:
			inUse++
		default:
			idle++
		}
	}
	return max(0, min(reserve, inUse)-idle)
}

// machinesToDrain returns the machines that have exceeded their idle limit, the most expensive first and
// then the longest idle. It keeps the reserves, which it decrements, and the configured headroom.
func (p *packer) machinesToDrain(reserves map[MachineOption]int) []wire.MachineID {
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

// idleMachines returns the idle machines that the plan does not use, in drain order.
func (p *packer) idleMachines() []*Machine {
	var idle []*Machine
	for _, b := range p.bins {
		if !b.isNew && !b.hasTasks && b.machine.isIdle() {
			idle = append(idle, &b.machine)
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

// headroomMachines returns how many idle machines the configured headroom requires on top of those in use.
func (in *Input) headroomMachines() int {
	inUse := 0
	for i := range in.Machines {
		if m := &in.Machines[i]; m.IdleSince.IsZero() && !m.Booting {
			inUse++
		}
	}
	return int(in.Headroom * float64(inUse))
}

// maxIdle returns how long a machine may stay idle: IdleBoots boot times, multiplied for a spot machine by
// the ratio of the on-demand price to the spot price, since its cached images cost less to keep.
func (in *Input) maxIdle(m *Machine) time.Duration {
	machineType := in.MachineTypes[m.Type]
	limit := in.IdleBoots * float64(machineType.Boot.Duration())
	if price := in.price(m.option()); price > 0 && machineType.Price > price {
		limit *= machineType.Price / price
	}
	return time.Duration(limit)
}
