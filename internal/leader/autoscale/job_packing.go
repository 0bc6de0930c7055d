package autoscale

import (
	"cmp"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// jobPacking packs the tasks of one job into the bins of a packer.
type jobPacking struct {
	*packer
	entry    *placement.Entry
	unplaced int // tasks not yet assigned to a machine

	neededBy   time.Time // when the tasks need their resources
	releasedAt time.Time // when they are expected to release them
	urgent     bool      // the tasks can't wait for another boot

	zone           wire.Zone // the only zone to use; "" means any zone
	prefersOneZone bool      // zone is a preference, dropped if it has no capacity or another is cheaper

	filledBins    map[*bin]bool     // bins that fillOpenBins has assigned tasks to
	placedPerZone map[wire.Zone]int // tasks of the job in this plan
	filledMachine bool              // the job has filled a machine up
}

// newJobPacking returns the packing of a number of a job's tasks. A machine provisioned now is up after one
// boot time. If the job could then still wait for another boot, resources that are expected to be free by
// then count as free. For a more urgent job only resources that are free now count: repeatedly wrong
// estimates could otherwise make it wait forever.
func (p *packer) newJobPacking(entry *placement.Entry, tasks int) *jobPacking {
	spec := entry.Job.Spec
	job := &jobPacking{
		packer:         p,
		entry:          entry,
		unplaced:       tasks,
		neededBy:       p.input.Now,
		urgent:         true,
		prefersOneZone: p.input.PreferOneZone && entry.Job.GangSize() > 1 && !spec.OneZone && !spec.Spread,
		filledBins:     map[*bin]bool{},
		placedPerZone:  map[wire.Zone]int{},
	}
	if spec.OneZone {
		entry.Job.Claims(func(claim ledger.Claim) bool {
			job.zone = claim.Zone
			return false
		})
	}
	if boot := p.input.shortestBoot(entry.Job); entry.LatestStart.After(job.neededBy.Add(2 * boot)) {
		job.neededBy, job.urgent = job.neededBy.Add(boot), false
	}
	job.releasedAt = job.neededBy.Add(entry.ExpectedRunTime)
	return job
}

// zoneWithMostCapacity returns the zone whose machines have capacity for the most of the job's tasks, or ""
// if none has any.
func (job *jobPacking) zoneWithMostCapacity() wire.Zone {
	var best wire.Zone
	capacity := map[wire.Zone]int{}
	for _, b := range job.openBins {
		zone := b.machine.Zone
		capacity[zone] += job.capacity(b)
		if capacity[zone] > capacity[best] || capacity[zone] == capacity[best] && zone < best {
			best = zone
		}
	}
	return best
}

// capacity returns how many of the unplaced tasks fit on a machine.
func (job *jobPacking) capacity(b *bin) int {
	j, m := job.entry.Job, &b.machine
	if !job.isEligible(m) {
		return 0
	}
	// A machine fetches one image at a time, so urgent tasks can't use one that is fetching another image.
	if job.urgent && !m.caches(j.Spec.Image) && m.Fetching != "" && m.Fetching != j.Spec.Image {
		return 0
	}
	tasks := m.freeAt(job.neededBy).CountFitting(j.Need, job.unplaced)
	if j.Spec.Spread {
		tasks = max(0, min(tasks, j.ZoneRoom(m.Zone)-job.placedPerZone[m.Zone]))
	}
	return tasks
}

// isEligible reports whether the job may run on a machine.
func (job *jobPacking) isEligible(m *Machine) bool {
	switch {
	case !ledger.PlacementAllowed(job.entry.Job.Spec, m.Type, m.Zone, m.Spot):
		return false
	case job.entry.AvoidSpot && m.Spot:
		return false
	case job.entry.NeedsNoAccelerator && m.Total.GPU > 0:
		return false
	}
	return job.zone == "" || m.Zone == job.zone
}

// assign assigns tasks to a machine.
func (job *jobPacking) assign(b *bin, tasks int) {
	image := job.entry.Job.Spec.Image
	b.machine.claim(job.entry.Job.Need, tasks, job.releasedAt)
	b.hasTasks = true
	if !b.machine.caches(image) {
		b.machine.Fetching = image
	}
	job.unplaced -= tasks
	job.placedPerZone[b.machine.Zone] += tasks
	job.filledMachine = job.filledMachine || job.isFull(b)
}

// fillOpenBins assigns tasks to the open bins that they fit in.
func (job *jobPacking) fillOpenBins() {
	for _, b := range job.openBins {
		if job.unplaced == 0 {
			return
		}
		job.input.MachinesExamined++
		tasks := job.capacity(b)
		if tasks == 0 || job.filledBins[b] {
			continue
		}
		job.assign(b, tasks)
		job.filledBins[b] = true
		if job.entry.Job.Spec.OneZone {
			job.zone = b.machine.Zone
		}
	}
}

// addMachine plans a machine of the cheapest option and assigns as many tasks to it as fit. If the job only
// prefers its zone and a machine elsewhere is cheaper, or the only one available, it drops the preference
// instead. It reports whether it may be called again for the remaining tasks.
func (job *jobPacking) addMachine() bool {
	best, found := job.cheapest(job.zone)
	if job.prefersOneZone && job.zone != "" {
		anywhere, foundAnywhere := job.cheapest("")
		if foundAnywhere && (!found || anywhere.pricePerTask < best.pricePerTask) {
			job.prefersOneZone, job.zone = false, ""
			job.fillOpenBins()
			return true
		}
	}
	if !found {
		return false
	}
	option, machineType := best.option, job.input.MachineTypes[best.option.Type]
	added := &bin{
		machine: Machine{
			Type:  option.Type,
			Zone:  option.Zone,
			Spot:  option.Spot,
			Total: resourcesOf(&machineType),
		},
		hasTasks: true,
		isNew:    true,
	}
	tasks := job.capacity(added)
	if tasks == 0 {
		return false
	}
	job.assign(added, tasks)
	job.bins = append(job.bins, added)
	job.openBins = append(job.openBins, added)
	job.machinesPerZone[option.Zone]++
	job.countScaleOut(option)
	if job.entry.Job.Spec.OneZone || job.prefersOneZone {
		job.zone = option.Zone
	}
	return true
}

// offer is a machine option that could be provisioned for a job.
type offer struct {
	option       MachineOption
	pricePerTask float64 // machine price divided by the number of the job's tasks that fit
}

// cheapest returns the best machine option for the job in a zone, or in any zone if zone is "", and whether
// there is one. It prefers the lowest price per task, then the zone with the fewest machines.
func (job *jobPacking) cheapest(zone wire.Zone) (best offer, found bool) {
	for _, machineType := range job.input.MachineTypes {
		candidate, ok := job.cheapestOfType(&machineType, zone)
		if ok && (!found || job.compareOffers(candidate, best) < 0) {
			best, found = candidate, true
		}
	}
	return best, found
}

// cheapestOfType is like cheapest, restricted to one machine type.
func (job *jobPacking) cheapestOfType(machineType *wire.MachineType, zone wire.Zone) (best offer, found bool) {
	j, in := job.entry.Job, job.input
	tasks := resourcesOf(machineType).CountFitting(j.Need, j.Spec.Tasks)
	if tasks == 0 || job.entry.NeedsNoAccelerator && machineType.GPUs > 0 {
		return offer{}, false
	}
	spotAllowed := in.Spot && machineType.SpotPrice > 0 && !job.entry.AvoidSpot
	for _, z := range machineType.Zones {
		if zone != "" && z != zone {
			continue
		}
		for _, spot := range []bool{true, false} {
			option := MachineOption{Type: machineType.Name, Zone: z, Spot: spot}
			if spot && !spotAllowed || !job.mayProvision(option) {
				continue
			}
			candidate := offer{option: option, pricePerTask: in.price(option) / float64(tasks)}
			if !found || job.compareOffers(candidate, best) < 0 {
				best, found = candidate, true
			}
		}
	}
	return best, found
}

// mayProvision reports whether a machine option may be provisioned for the job: the job may run on it and
// OutOfCapacity does not exclude it.
func (job *jobPacking) mayProvision(option MachineOption) bool {
	j := job.entry.Job
	if j.Spec.Spread && j.ZoneRoom(option.Zone) <= job.placedPerZone[option.Zone] {
		return false // without this check, a spread job waited forever for a second zone
	}
	return ledger.PlacementAllowed(j.Spec, option.Type, option.Zone, option.Spot) && !job.input.OutOfCapacity(option)
}

// compareOffers compares two offers; the better one sorts first.
func (job *jobPacking) compareOffers(a, b offer) int {
	return cmp.Or(
		cmp.Compare(a.pricePerTask, b.pricePerTask),
		cmp.Compare(job.machinesPerZone[a.option.Zone], job.machinesPerZone[b.option.Zone]),
		cmp.Compare(a.option.Type, b.option.Type),
		cmp.Compare(a.option.Zone, b.option.Zone),
	)
}
