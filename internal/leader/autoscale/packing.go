package autoscale

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// bin is a machine in a plan, together with the tasks that the plan assigns to it.
type bin struct {
	machine  Machine // a copy; ExpectedReleases and Fetching include the plan's tasks
	hasTasks bool    // the plan assigns tasks to it
	isNew    bool    // the plan provisions it
}

// packer packs the pending jobs into machines, one job at a time, with a first-fit strategy.
type packer struct {
	input        *Input
	bins         []*bin           // the usable machines and those to provision
	openBins     []*bin           // bins that may still fit a task of some job
	smallestNeed ledger.Resources // per resource, the smallest need of any pending task
	latestBoot   time.Time        // when a machine of the slowest type would be up if requested now

	scaleOut        map[MachineOption]int          // number of machines to provision
	machineCount    int                            // all machines, including those to provision
	machinesPerZone map[wire.Zone]int              // including those to provision for jobs, but not those for reserves
	placedPerTeam   map[wire.Team]ledger.Resources // resources that this plan gives to each team
}

// newPacker returns a packer without placed tasks. Running machines come before booting ones, and cheap
// before expensive ones, so that expensive machines are left to jobs that can't run elsewhere.
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
			p.bins = append(p.bins, &bin{machine: m})
		}
	}
	slices.SortStableFunc(p.bins, func(a, b *bin) int {
		return cmp.Or(
			compareBool(a.machine.Booting, b.machine.Booting),
			cmp.Compare(in.price(a.machine.option()), in.price(b.machine.option())),
			cmp.Compare(a.machine.ID, b.machine.ID),
		)
	})
	p.openBins = slices.DeleteFunc(slices.Clone(p.bins), p.isFull)
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

// isFull reports whether a machine is too full for any pending task, so that it can be skipped for all
// remaining jobs.
func (p *packer) isFull(b *bin) bool { return !b.machine.freeAt(p.latestBoot).Fits(p.smallestNeed) }

// mayScaleOut reports whether MaxMachines allows one more machine.
func (p *packer) mayScaleOut() bool {
	return p.input.MaxMachines == 0 || p.machineCount < p.input.MaxMachines
}

// countScaleOut adds one machine to the machines to provision.
func (p *packer) countScaleOut(option MachineOption) {
	p.scaleOut[option]++
	p.machineCount++
}

// scaleOuts returns the machines to provision, the largest count first.
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

// place packs the job's tasks into the existing bins, up to its team's quota, and plans new machines for
// the rest. It skips jobs that crash-loop and jobs whose retry delay has not passed.
func (p *packer) place(entry *placement.Entry) {
	if entry.CrashLooping {
		return
	}
	j := entry.Job
	placed := p.placedPerTeam[j.Spec.Team]
	tasks := p.input.RemainingTeamQuota(j, placed, j.Pending())
	if tasks <= 0 || p.input.Now.Before(entry.RetryAt) {
		return
	}
	p.placedPerTeam[j.Spec.Team] = placed.Add(j.Need, tasks)
	job := p.newJobPacking(entry, tasks)
	if job.prefersOneZone {
		job.zone = job.zoneWithMostCapacity()
	}
	job.fillOpenBins()
	for job.unplaced > 0 && p.mayScaleOut() {
		if !job.addMachine() {
			break
		}
	}
	if job.filledMachine {
		p.openBins = slices.DeleteFunc(p.openBins, p.isFull)
	}
}
