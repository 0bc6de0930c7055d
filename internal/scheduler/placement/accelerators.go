package placement

import (
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Work that needs no accelerator may run on machines that have some. Given such machines one by
// one as they report, it would fill them all before a gang comes that can run nowhere else. So some
// of them are left idle for work that needs them, and none is rented for work that does not. As
// many are not released when they are idle: the work that they would be rented for again seldom
// has the time to wait for a boot.

// Of the usable machines with accelerators, by type and zone, one in idleReserveShare is left idle
// by work that needs none, and no fewer than minIdleReserve.
const (
	idleReserveShare = 4
	minIdleReserve   = 2
)

// IdleReserve returns how many of all machines with accelerators, of one type in one zone, are left
// idle by work that needs none.
func IdleReserve(all int) int { return max(minIdleReserve, all/idleReserveShare) }

// RunsWithoutAccelerator reports whether a job needs no accelerator and may run on some machine
// type without any.
func RunsWithoutAccelerator(j *ledger.Job, machineTypes map[wire.MachineTypeName]wire.MachineType) bool {
	if j.Need.GPU > 0 {
		return false
	}
	for _, t := range machineTypes {
		if t.GPUs == 0 && ledger.NewResources(t.CPUs, t.GPUs, t.MemoryGB).Fits(j.Need) &&
			ledger.Allowed(j.Spec, t.Name, "", false) {
			return true
		}
	}
	return false
}

// typeInZone is a machine type in a zone.
type typeInZone struct {
	typ  wire.MachineTypeName
	zone wire.Zone
}

// acceleratorReserve counts the idle machines with accelerators beyond the IdleReserve; below zero
// there are fewer than that.
type acceleratorReserve map[typeInZone]int

// leavesAccelerators reports whether an entry that needs no accelerator leaves a machine idle for
// work that does.
func (s *Snapshot) leavesAccelerators(e *Entry, m *Machine) bool {
	return e.Plain && m.Total.GPU > 0 && m.Free == m.Total && s.spareAccelerated()[typeInZone{m.Type, m.Zone}] <= 0
}

// spareAccelerated returns the idle machines with accelerators beyond the reserve. The first call
// counts them; PlaceOnMachine keeps the count up to date.
func (s *Snapshot) spareAccelerated() acceleratorReserve {
	if s.accelerated != nil {
		return s.accelerated
	}
	s.accelerated = acceleratorReserve{}
	all := map[typeInZone]int{}
	for _, m := range s.Machines {
		if m.Total.GPU <= 0 || !m.Usable {
			continue
		}
		k := typeInZone{m.Type, m.Zone}
		all[k]++
		if m.Free == m.Total {
			s.accelerated[k]++
		}
	}
	for k, n := range all {
		s.accelerated[k] -= IdleReserve(n)
	}
	return s.accelerated
}
