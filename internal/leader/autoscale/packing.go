package autoscale

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// slot is a machine in a plan, with the tasks that the plan places there.
type slot struct {
	machine Machine // a copy, whose Busy and Fetching include the plan's tasks
	used    bool    // the plan places tasks there
	toRent  bool    // the plan rents it
}

// packer packs the pending jobs into machines, one job after the other.
type packer struct {
	input        *Input
	slots        []*slot          // the usable machines and those to be rented
	open         []*slot          // those of them with room for a task of some job
	smallestNeed ledger.Resources // of each resource, the least that a task of any job needs
	latestBoot   time.Time        // by when a machine of any type would be up if rented now

	scaleOut        map[MachineOption]int          // the machines to be rented
	machineCount    int                            // all machines, those to be rented among them
	machinesPerZone map[wire.Zone]int              // those to be rented for jobs among them, not those for reserves
	placedPerTeam   map[wire.Team]ledger.Resources // by this plan
}

// newPacker returns a packer that has placed nothing. Its machines that are up come before those that
// boot, and cheap ones before expensive ones, which are left to work that may run nowhere else.
func newPacker(in *Input) *packer {
	p := &packer{
		input:           in,
		smallestNeed:    in.smallestNeed(),
		latestBoot:      in.Now.Add(in.longestBoot()),
		scaleOut:        map[MachineOption]int{},
		machineCount:    len(in.Machines),
		machinesPerZone: map[wire.Zone]int{},
		placedPerTeam:   map[wire.Team]ledger.Resources{},
	}
	for _, m := range in.Machines {
		p.machinesPerZone[m.Zone]++
		if m.Usable {
			p.slots = append(p.slots, &slot{machine: m})
		}
	}
	slices.SortStableFunc(p.slots, func(a, b *slot) int {
		return cmp.Or(
			compareBool(a.machine.Booting, b.machine.Booting),
			cmp.Compare(in.price(a.machine.option()), in.price(b.machine.option())),
			cmp.Compare(a.machine.ID, b.machine.ID),
		)
	})
	p.open = slices.DeleteFunc(slices.Clone(p.slots), p.isFull)
	return p
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// isFull reports whether a machine has no room for a task of any job, so that it need not be examined for
// each of them.
func (p *packer) isFull(s *slot) bool { return !s.machine.room(p.latestBoot).Fits(p.smallestNeed) }

// mayScaleOut reports whether the bound on machines allows one more.
func (p *packer) mayScaleOut() bool {
	return p.input.MaxMachines == 0 || p.machineCount < p.input.MaxMachines
}

// countScaleOut counts one more machine to be rented.
func (p *packer) countScaleOut(option MachineOption) {
	p.scaleOut[option]++
	p.machineCount++
}

// scaleOuts returns what is to be rented, the largest number first.
func (p *packer) scaleOuts() []ScaleOut {
	var out []ScaleOut
	for option, count := range p.scaleOut {
		out = append(out, ScaleOut{MachineOption: option, Count: count})
	}
	slices.SortFunc(out, func(a, b ScaleOut) int {
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Type, b.Type),
			cmp.Compare(a.Zone, b.Zone),
		)
	})
	return out
}

// place packs a job's tasks, as far as its team's quota allows, into the machines there are, and rents
// machines for the rest. Nothing is rented for a job that fails wherever it runs, or for one that is
// backed off.
func (p *packer) place(entry *placement.Entry) {
	if entry.CrashLooping {
		return
	}
	j := entry.Job
	placed := p.placedPerTeam[j.Spec.Team]
	tasks := p.input.RemainingTeamQuota(j, placed, j.Pending())
	if tasks <= 0 || p.input.Now.Before(entry.Retry) {
		return
	}
	p.placedPerTeam[j.Spec.Team] = placed.Add(j.Need, tasks)
	job := p.newJobPacking(entry, tasks)
	if job.prefersOneZone {
		job.zone = job.zoneWithMostRoom()
	}
	job.fill()
	for job.unplaced > 0 && p.mayScaleOut() {
		if !job.addMachine() {
			break
		}
	}
	if job.filledMachine {
		p.open = slices.DeleteFunc(p.open, p.isFull)
	}
}
