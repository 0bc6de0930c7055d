package autoscale

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// slot is a machine in a plan, with what the plan puts there.
type slot struct {
	machine Machine
	used    bool
	toRent  bool
}

// packer packs the jobs that wait into machines, one after the other.
type packer struct {
	input           *Input
	slots           []*slot // all that are usable, and those to be rented
	open            []*slot // of them those with room for a task of some job
	scaleOut        map[MachineOption]int
	machineCount    int // machines, those to be rented among them
	machinesPerZone map[wire.Zone]int
	placedPerTeam   map[wire.Team]ledger.Resources // placed by this plan
	smallestNeed    ledger.Resources               // that a task of any job takes
	latestBoot      time.Time                      // by when a machine rented now would be up
}

// newPacker returns a packer that has placed nothing. Machines that are up come first, then those that
// boot; cheap ones before dear ones, which are kept for work that may run nowhere else.
func newPacker(in *Input) *packer {
	p := &packer{
		input:           in,
		scaleOut:        map[MachineOption]int{},
		machineCount:    len(in.Units),
		machinesPerZone: map[wire.Zone]int{},
		placedPerTeam:   map[wire.Team]ledger.Resources{},
	}
	for _, u := range in.Units {
		p.machinesPerZone[u.Zone]++
		if u.Usable {
			p.slots = append(p.slots, &slot{machine: u})
		}
	}
	booting := func(s *slot) int {
		if s.machine.Booting {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(p.slots, func(a, b *slot) int {
		return cmp.Or(
			cmp.Compare(booting(a), booting(b)),
			cmp.Compare(in.price(a.machine.option()), in.price(b.machine.option())),
			cmp.Compare(a.machine.ID, b.machine.ID),
		)
	})
	p.smallestNeed, p.latestBoot = in.smallestNeed()
	p.open = slices.DeleteFunc(slices.Clone(p.slots), p.full)
	return p
}

// full reports whether a machine has no room for a task of any job. Such a one is not looked at for
// each of them.
func (p *packer) full(s *slot) bool { return !s.machine.room(p.latestBoot).Fits(p.smallestNeed) }

// mayScaleOut reports whether one more machine may be rented.
func (p *packer) mayScaleOut() bool {
	return p.input.MaxMachines == 0 || p.machineCount < p.input.MaxMachines
}

// countScaleOut counts one more machine that is to be rented.
func (p *packer) countScaleOut(o MachineOption) {
	p.scaleOut[o]++
	p.machineCount++
}

// place packs a job's tasks into the machines there are, and rents for the rest.
func (p *packer) place(e *placement.Entry) {
	if e.CrashLooping {
		return // nothing is rented for what fails everywhere
	}
	j := e.Job
	tasks := p.input.TeamRoom(j, p.placedPerTeam[j.Spec.Team], j.Pending())
	if tasks <= 0 || p.input.Now.Before(e.Retry) {
		return
	}
	p.placedPerTeam[j.Spec.Team] = p.placedPerTeam[j.Spec.Team].Add(j.Need, tasks)
	job := p.newJobPacking(e, tasks)
	if job.prefersOneZone {
		job.zone = zoneWithMostRoom(p.open, job.fits)
	}
	job.fill()
	for job.unplaced > 0 && p.mayScaleOut() && job.addMachine() {
	}
	if job.filledMachine {
		p.open = slices.DeleteFunc(p.open, p.full)
	}
}

// jobPacking is the packing of one job.
type jobPacking struct {
	*packer
	entry         *placement.Entry
	unplaced      int       // tasks without a place
	zone          wire.Zone // the one zone of a job that must stay together
	neededBy      time.Time // when it needs room
	urgent        bool      // it can't wait for another boot
	releasedAt    time.Time // its tasks take the room
	placedPerZone map[wire.Zone]int
	used          map[*slot]bool
	filledMachine bool // a machine has become full
	// near: the one zone is only wanted, and gives way where nothing is to be had, or only for more
	// money than elsewhere.
	prefersOneZone bool
}

// newJobPacking begins the packing of some of a job's tasks. A machine rented now is up a boot time from
// now. For work with time for one more boot after that, what is free by then does as well. With less,
// forecasts that keep being wrong would let it wait for ever.
func (p *packer) newJobPacking(e *placement.Entry, tasks int) *jobPacking {
	j := e.Job
	job := &jobPacking{
		packer:         p,
		entry:          e,
		unplaced:       tasks,
		neededBy:       p.input.Now,
		urgent:         true,
		placedPerZone:  map[wire.Zone]int{},
		used:           map[*slot]bool{},
		prefersOneZone: p.input.Close && j.GangSize() > 1 && !j.Spec.OneZone && !j.Spec.Spread,
	}
	if j.Spec.OneZone {
		j.Claims(func(c ledger.Claim) bool { job.zone = c.Zone; return false })
	}
	if boot := p.input.shortestBoot(j); e.LatestStart.After(job.neededBy.Add(2 * boot)) {
		job.neededBy, job.urgent = job.neededBy.Add(boot), false
	}
	job.releasedAt = job.neededBy.Add(e.Expected)
	return job
}

// fits is how many of the job's tasks a machine takes.
func (job *jobPacking) fits(s *slot) int {
	j, u := job.entry.Job, &s.machine
	if !ledger.Allowed(j.Spec, u.Type, u.Zone, u.Spot) || job.entry.AvoidSpot && u.Spot || job.entry.Plain && u.Total.GPU > 0 ||
		job.zone != "" && u.Zone != job.zone {
		return 0
	}
	// One fetch at a time: a machine that has to fetch another image
	// first is of no use to work that can't wait.
	if job.urgent && !u.caches(j.Spec.Image) && u.Fetching != "" && u.Fetching != j.Spec.Image {
		return 0
	}
	n := u.room(job.neededBy).Times(j.Need, job.unplaced)
	if j.Spec.Spread {
		n = max(0, min(n, j.ZoneRoom(u.Zone)-job.placedPerZone[u.Zone]))
	}
	return n
}

// use puts tasks on a machine.
func (job *jobPacking) use(s *slot, n int) {
	s.machine.claim(job.entry.Job.Need, n, job.releasedAt)
	s.used = true
	if !s.machine.caches(job.entry.Job.Spec.Image) {
		s.machine.Fetching = job.entry.Job.Spec.Image
	}
	job.unplaced -= n
	job.placedPerZone[s.machine.Zone] += n
	job.filledMachine = job.filledMachine || job.full(s)
}

// fill puts tasks on the machines that have room.
func (job *jobPacking) fill() {
	for _, s := range job.open {
		if job.unplaced == 0 {
			return
		}
		job.input.MachinesExamined++
		n := job.fits(s)
		if n == 0 || job.used[s] {
			continue
		}
		job.use(s, n)
		job.used[s] = true
		if job.entry.Job.Spec.OneZone {
			job.zone = s.machine.Zone
		}
	}
}

// addMachine adds a machine to be rented, with as many tasks as it takes, and tells whether more can be
// done for the job.
func (job *jobPacking) addMachine() bool {
	o, price, ok := cheapest(job.input, job.entry, job.zone, job.placedPerZone, job.machinesPerZone)
	if job.prefersOneZone && job.zone != "" {
		if _, elsewhere, found := cheapest(job.input, job.entry, "", job.placedPerZone, job.machinesPerZone); found && (!ok || elsewhere < price) {
			job.prefersOneZone, job.zone = false, ""
			job.fill()
			return true
		}
	}
	if !ok {
		return false
	}
	f := job.input.Flavors[o.Type]
	s := &slot{
		machine: Machine{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Total: ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB)},
		used:    true,
		toRent:  true,
	}
	n := job.fits(s)
	if n == 0 {
		return false
	}
	job.use(s, n)
	job.slots, job.open = append(job.slots, s), append(job.open, s)
	job.machinesPerZone[o.Zone]++
	job.countScaleOut(o)
	if job.entry.Job.Spec.OneZone || job.prefersOneZone {
		job.zone = o.Zone
	}
	return true
}
