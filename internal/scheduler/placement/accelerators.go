package placement

import (
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Tasks that need no accelerator may run on machines that have accelerators. If such tasks were
// offered those machines as each reports, they would fill all of them before a gang arrives that
// can run nowhere else. Therefore some of these machines are kept idle for jobs that need
// accelerators, and none is rented for jobs that do not. The same number is not released when idle:
// jobs that would need these machines to be rented again rarely have time to wait for a boot.

// Per machine type and zone, one in idleReserveDivisor usable machines with accelerators, and at
// least minIdleReserve, is kept idle for jobs that need accelerators.
const (
	idleReserveDivisor = 4
	minIdleReserve     = 2
)

// IdleAcceleratorReserve returns how many of the given number of machines with accelerators, of one type in
// one zone, are kept idle for jobs that need accelerators.
func IdleAcceleratorReserve(all int) int { return max(minIdleReserve, all/idleReserveDivisor) }

// RunsWithoutAccelerator reports whether a job needs no accelerator and may run on at least one
// machine type without accelerators.
func RunsWithoutAccelerator(j *ledger.Job, machineTypes map[wire.MachineTypeName]wire.MachineType) bool {
	if j.Need.GPU > 0 {
		return false
	}
	for _, t := range machineTypes {
		if t.GPUs == 0 && ledger.NewResources(t.CPUs, t.GPUs, t.MemoryGB).Fits(j.Need) &&
			ledger.PlacementAllowed(j.Spec, t.Name, "", false) {
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

// acceleratorSurplus is the number of idle machines with accelerators above the
// IdleAcceleratorReserve. It is negative if there are fewer than the reserve.
type acceleratorSurplus map[typeInZone]int

// keepIdleForAccelerators reports whether an idle machine must be kept for jobs that need
// accelerators, and not be given to an entry that needs none.
func (s *Snapshot) keepIdleForAccelerators(e *Entry, m *Machine) bool {
	return e.NeedsNoAccelerator && m.Total.GPU > 0 && m.Free == m.Total && s.idleSurplus()[typeInZone{m.Type, m.Zone}] <= 0
}

// idleSurplus returns the surplus of idle machines with accelerators. The first call counts them;
// PlaceOnMachine keeps the counts up to date.
func (s *Snapshot) idleSurplus() acceleratorSurplus {
	if s.surplus != nil {
		return s.surplus
	}
	s.surplus = acceleratorSurplus{}
	all := map[typeInZone]int{}
	for _, m := range s.Machines {
		if m.Total.GPU <= 0 || !m.Usable {
			continue
		}
		k := typeInZone{m.Type, m.Zone}
		all[k]++
		if m.Free == m.Total {
			s.surplus[k]++
		}
	}
	for k, n := range all {
		s.surplus[k] -= IdleAcceleratorReserve(n)
	}
	return s.surplus
}
