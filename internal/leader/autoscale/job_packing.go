package autoscale

import (
	"cmp"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// jobPacking packs the tasks of one job into the machines of a packer.
type jobPacking struct {
	*packer
	entry    *placement.Entry
	unplaced int // tasks without a place

	neededBy   time.Time // when the tasks need room
	releasedAt time.Time // when they are expected to release it
	urgent     bool      // they can't wait for another boot

	zone           wire.Zone // the only zone to be used, "" if any may be
	prefersOneZone bool      // zone is dropped where it has no capacity or is more expensive than another

	usedSlots     map[*slot]bool    // by fill
	placedPerZone map[wire.Zone]int // tasks of this plan
	filledMachine bool              // a machine has become full
}

// newJobPacking returns the packing of some of a job's tasks. A machine that is rented now is up a boot
// time from now. For work that has the time for one more boot after that, room that is free by then will
// do as well; with less time, forecasts that are wrong again and again would let it wait for ever.
func (p *packer) newJobPacking(entry *placement.Entry, tasks int) *jobPacking {
	spec := entry.Job.Spec
	job := &jobPacking{
		packer:         p,
		entry:          entry,
		unplaced:       tasks,
		neededBy:       p.input.Now,
		urgent:         true,
		prefersOneZone: p.input.PreferOneZone && entry.Job.GangSize() > 1 && !spec.OneZone && !spec.Spread,
		usedSlots:      map[*slot]bool{},
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
	job.releasedAt = job.neededBy.Add(entry.Expected)
	return job
}

// zoneWithMostRoom returns the zone whose machines have room for the most of the job's tasks, "" if none
// has room.
func (job *jobPacking) zoneWithMostRoom() wire.Zone {
	var best wire.Zone
	room := map[wire.Zone]int{}
	for _, s := range job.open {
		zone := s.machine.Zone
		room[zone] += job.capacity(s)
		if room[zone] > room[best] || room[zone] == room[best] && zone < best {
			best = zone
		}
	}
	return best
}

// capacity returns how many of the tasks without a place a machine takes.
func (job *jobPacking) capacity(s *slot) int {
	j, m := job.entry.Job, &s.machine
	if !job.mayUse(m) {
		return 0
	}
	// A machine fetches one image at a time: one that has to fetch another first is of no use to work that
	// can't wait.
	if job.urgent && !m.caches(j.Spec.Image) && m.Fetching != "" && m.Fetching != j.Spec.Image {
		return 0
	}
	tasks := m.room(job.neededBy).Times(j.Need, job.unplaced)
	if j.Spec.Spread {
		tasks = max(0, min(tasks, j.ZoneRoom(m.Zone)-job.placedPerZone[m.Zone]))
	}
	return tasks
}

// mayUse reports whether the job may run on a machine.
func (job *jobPacking) mayUse(m *Machine) bool {
	switch {
	case !ledger.Allowed(job.entry.Job.Spec, m.Type, m.Zone, m.Spot):
		return false
	case job.entry.AvoidSpot && m.Spot:
		return false
	case job.entry.Plain && m.Total.GPU > 0:
		return false
	}
	return job.zone == "" || m.Zone == job.zone
}

// use places tasks on a machine.
func (job *jobPacking) use(s *slot, tasks int) {
	image := job.entry.Job.Spec.Image
	s.machine.claim(job.entry.Job.Need, tasks, job.releasedAt)
	s.used = true
	if !s.machine.caches(image) {
		s.machine.Fetching = image
	}
	job.unplaced -= tasks
	job.placedPerZone[s.machine.Zone] += tasks
	job.filledMachine = job.filledMachine || job.isFull(s)
}

// fill places tasks on the machines that have room.
func (job *jobPacking) fill() {
	for _, s := range job.open {
		if job.unplaced == 0 {
			return
		}
		job.input.MachinesExamined++
		tasks := job.capacity(s)
		if tasks == 0 || job.usedSlots[s] {
			continue
		}
		job.use(s, tasks)
		job.usedSlots[s] = true
		if job.entry.Job.Spec.OneZone {
			job.zone = s.machine.Zone
		}
	}
}

// addMachine adds the cheapest machine to be rented, with as many tasks as it takes, or gives up a zone
// that is only preferred. It reports whether it may be called again for the tasks that are left.
func (job *jobPacking) addMachine() bool {
	best, found := job.cheapest(job.zone)
	if job.prefersOneZone && job.zone != "" {
		anywhere, foundAnywhere := job.cheapest("")
		if foundAnywhere && (!found || anywhere.pricePerTask < best.pricePerTask) {
			job.prefersOneZone, job.zone = false, ""
			job.fill()
			return true
		}
	}
	if !found {
		return false
	}
	option, machineType := best.option, job.input.MachineTypes[best.option.Type]
	rented := &slot{
		machine: Machine{
			Type:  option.Type,
			Zone:  option.Zone,
			Spot:  option.Spot,
			Total: resourcesOf(&machineType),
		},
		used:   true,
		toRent: true,
	}
	tasks := job.capacity(rented)
	if tasks == 0 {
		return false
	}
	job.use(rented, tasks)
	job.slots = append(job.slots, rented)
	job.open = append(job.open, rented)
	job.machinesPerZone[option.Zone]++
	job.countScaleOut(option)
	if job.entry.Job.Spec.OneZone || job.prefersOneZone {
		job.zone = option.Zone
	}
	return true
}

// offer is a kind of machine that could be rented for a job.
type offer struct {
	option       MachineOption
	pricePerTask float64 // its price by the number of the job's tasks that it has room for
}

// cheapest returns the best kind of machine to rent for the job in a zone, or in any if zone is "", and
// whether there is one: the lowest price for a task, then the zone with the fewest machines.
func (job *jobPacking) cheapest(zone wire.Zone) (best offer, found bool) {
	for _, machineType := range job.input.MachineTypes {
		candidate, ok := job.cheapestOfType(&machineType, zone)
		if ok && (!found || job.compareOffers(candidate, best) < 0) {
			best, found = candidate, true
		}
	}
	return best, found
}

// cheapestOfType is cheapest among the machines of a type.
func (job *jobPacking) cheapestOfType(machineType *wire.MachineType, zone wire.Zone) (best offer, found bool) {
	j, in := job.entry.Job, job.input
	tasks := resourcesOf(machineType).Times(j.Need, j.Spec.Tasks)
	if tasks == 0 || job.entry.Plain && machineType.GPUs > 0 {
		return offer{}, false
	}
	mayBeSpot := in.Spot && machineType.SpotPrice > 0 && !job.entry.AvoidSpot
	for _, z := range machineType.Zones {
		if zone != "" && z != zone {
			continue
		}
		for _, spot := range []bool{true, false} {
			option := MachineOption{Type: machineType.Name, Zone: z, Spot: spot}
			if spot && !mayBeSpot || !job.mayRent(option) {
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

// mayRent reports whether a kind of machine may be rented for the job: the job may run there, and the kind
// is not out of capacity.
func (job *jobPacking) mayRent(option MachineOption) bool {
	j := job.entry.Job
	if j.Spec.Spread && j.ZoneRoom(option.Zone) <= job.placedPerZone[option.Zone] {
		return false // a job that is to be spread once waited for ever for a second zone
	}
	return ledger.Allowed(j.Spec, option.Type, option.Zone, option.Spot) && !job.input.OutOfCapacity(option)
}

// compareOffers orders the better of two offers first.
func (job *jobPacking) compareOffers(a, b offer) int {
	return cmp.Or(
		cmp.Compare(a.pricePerTask, b.pricePerTask),
		cmp.Compare(job.machinesPerZone[a.option.Zone], job.machinesPerZone[b.option.Zone]),
		cmp.Compare(a.option.Type, b.option.Type),
		cmp.Compare(a.option.Zone, b.option.Zone),
	)
}
