package placement

import (
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Work that needs no accelerator may run on machines that have some. Taken one by one as they report,
// those would be full of it when a gang comes that can run nowhere else. So some of them are left idle
// to work that needs them, and none is rented for work that doesn't. As many are not given back where
// they are idle: what they would be rented for again seldom has the time to wait for a boot.

// Of the machines of a type with accelerators in a zone this part is left idle by other work, and no
// fewer than leastLeft.
const (
	leftShare = 4
	leastLeft = 2
)

// IdleReserve is how many of so many machines with accelerators, of a type in a zone, are left idle.
func IdleReserve(all int) int { return max(leastLeft, all/leftShare) }

// RunsWithoutAccelerator reports whether a job needs no accelerator and there is a type of machine without any that it
// may run on.
func RunsWithoutAccelerator(j *ledger.Job, flavors map[wire.MachineTypeName]wire.MachineType) bool {
	if j.Need.GPU > 0 {
		return false
	}
	for _, f := range flavors {
		if f.GPUs == 0 && ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB).Fits(j.Need) &&
			ledger.Allowed(j.Spec, f.Name, "", false) {
			return true
		}
	}
	return false
}

type kindInZone struct {
	typ  wire.MachineTypeName
	zone wire.Zone
}

// leaves reports whether a machine is left idle to work that needs its accelerators.
func (v *Snapshot) leaves(e *Entry, m *Machine) bool {
	return e.Plain && m.Total.GPU > 0 && m.Free == m.Total && v.idleBeyond()[kindInZone{m.Type, m.Zone}] <= 0
}

// idleBeyond is how many idle machines with accelerators there are beyond those that are left idle.
func (v *Snapshot) idleBeyond() map[kindInZone]int {
	if v.beyond == nil {
		v.beyond = map[kindInZone]int{}
		all := map[kindInZone]int{}
		for _, m := range v.Machines {
			if m.Total.GPU > 0 && m.Usable {
				k := kindInZone{m.Type, m.Zone}
				all[k]++
				if m.Free == m.Total {
					v.beyond[k]++
				}
			}
		}
		for k, n := range all {
			v.beyond[k] -= IdleReserve(n)
		}
	}
	return v.beyond
}
