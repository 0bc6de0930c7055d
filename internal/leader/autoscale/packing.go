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
	unit Machine
	used bool
	new  bool
}

// packer packs the jobs that wait into machines, one after the other.
type packer struct {
	in      *Input
	slots   []*slot // all that are usable, and those to be rented
	open    []*slot // of them those with room for a task of some job
	hired   map[MachineOption]int
	total   int // machines, those to be rented among them
	perZone map[wire.Zone]int
	extra   map[wire.Team]ledger.Resources // placed by this plan
	least   ledger.Resources               // that a task of any job takes
	latest  time.Time                      // by when a machine rented now would be up
}

// newPacker returns a packer that has placed nothing. Machines that are up come first, then those that
// boot; cheap ones before dear ones, which are kept for work that may run nowhere else.
func newPacker(in *Input) *packer {
	p := &packer{
		in:      in,
		hired:   map[MachineOption]int{},
		total:   len(in.Units),
		perZone: map[wire.Zone]int{},
		extra:   map[wire.Team]ledger.Resources{},
	}
	for _, u := range in.Units {
		p.perZone[u.Zone]++
		if u.Usable {
			p.slots = append(p.slots, &slot{unit: u})
		}
	}
	booting := func(s *slot) int {
		if s.unit.Booting {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(p.slots, func(a, b *slot) int {
		return cmp.Or(
			cmp.Compare(booting(a), booting(b)),
			cmp.Compare(in.price(a.unit.option()), in.price(b.unit.option())),
			cmp.Compare(a.unit.ID, b.unit.ID),
		)
	})
	p.least, p.latest = in.least()
	p.open = slices.DeleteFunc(slices.Clone(p.slots), p.full)
	return p
}

// full reports whether a machine has no room for a task of any job. Such a one is not looked at for
// each of them.
func (p *packer) full(s *slot) bool { return !s.unit.room(p.latest).Fits(p.least) }

// mayRent reports whether one more machine may be rented.
func (p *packer) mayRent() bool { return p.in.MaxMachines == 0 || p.total < p.in.MaxMachines }

// rented counts one more machine that is to be rented.
func (p *packer) rented(o MachineOption) {
	p.hired[o]++
	p.total++
}

// place packs a job's tasks into the machines there are, and rents for the rest.
func (p *packer) place(e *placement.Entry) {
	if e.CrashLooping {
		return // nothing is rented for what fails everywhere
	}
	j := e.Job
	tasks := p.in.TeamRoom(j, p.extra[j.Spec.Team], j.Pending())
	if tasks <= 0 || p.in.Now.Before(e.Retry) {
		return
	}
	p.extra[j.Spec.Team] = p.extra[j.Spec.Team].Add(j.Need, tasks)
	job := p.packing(e, tasks)
	if job.near {
		job.zone = roomiest(p.open, job.fits)
	}
	job.fill()
	for job.left > 0 && p.mayRent() && job.rent() {
	}
	if job.filled {
		p.open = slices.DeleteFunc(p.open, p.full)
	}
}

// jobPacking is the packing of one job.
type jobPacking struct {
	*packer
	e        *placement.Entry
	left     int       // tasks without a place
	zone     wire.Zone // the one zone of a job that must stay together
	by       time.Time // when it needs room
	pressing bool      // it can't wait for another boot
	until    time.Time // its tasks take the room
	put      map[wire.Zone]int
	taken    map[*slot]bool
	filled   bool // a machine has become full
	// near: the one zone is only wanted, and gives way where nothing is to be had, or only for more
	// money than elsewhere.
	near bool
}

// packing begins the packing of some of a job's tasks. A machine rented now is up a boot time from
// now. For work with time for one more boot after that, what is free by then does as well. With less,
// forecasts that keep being wrong would let it wait for ever.
func (p *packer) packing(e *placement.Entry, tasks int) *jobPacking {
	j := e.Job
	job := &jobPacking{
		packer:   p,
		e:        e,
		left:     tasks,
		by:       p.in.Now,
		pressing: true,
		put:      map[wire.Zone]int{},
		taken:    map[*slot]bool{},
		near:     p.in.Close && j.GangSize() > 1 && !j.Spec.OneZone && !j.Spec.Spread,
	}
	if j.Spec.OneZone {
		j.Claims(func(c ledger.Claim) bool { job.zone = c.Zone; return false })
	}
	if boot := p.in.boot(j); e.LatestStart.After(job.by.Add(2 * boot)) {
		job.by, job.pressing = job.by.Add(boot), false
	}
	job.until = job.by.Add(e.Expected)
	return job
}

// fits is how many of the job's tasks a machine takes.
func (job *jobPacking) fits(s *slot) int {
	j, u := job.e.Job, &s.unit
	if !ledger.Allowed(j.Spec, u.Type, u.Zone, u.Spot) || job.e.AvoidSpot && u.Spot || job.e.Plain && u.Total.GPU > 0 ||
		job.zone != "" && u.Zone != job.zone {
		return 0
	}
	// One fetch at a time: a machine that has to fetch another image
	// first is of no use to work that can't wait.
	if job.pressing && !u.caches(j.Spec.Image) && u.Fetching != "" && u.Fetching != j.Spec.Image {
		return 0
	}
	n := u.room(job.by).Times(j.Need, job.left)
	if j.Spec.Spread {
		n = max(0, min(n, j.ZoneRoom(u.Zone)-job.put[u.Zone]))
	}
	return n
}

// use puts tasks on a machine.
func (job *jobPacking) use(s *slot, n int) {
	s.unit.take(job.e.Job.Need, n, job.until)
	s.used = true
	if !s.unit.caches(job.e.Job.Spec.Image) {
		s.unit.Fetching = job.e.Job.Spec.Image
	}
	job.left -= n
	job.put[s.unit.Zone] += n
	job.filled = job.filled || job.full(s)
}

// fill puts tasks on the machines that have room.
func (job *jobPacking) fill() {
	for _, s := range job.open {
		if job.left == 0 {
			return
		}
		job.in.MachinesExamined++
		n := job.fits(s)
		if n == 0 || job.taken[s] {
			continue
		}
		job.use(s, n)
		job.taken[s] = true
		if job.e.Job.Spec.OneZone {
			job.zone = s.unit.Zone
		}
	}
}

// rent adds a machine to be rented, with as many tasks as it takes, and tells whether more can be
// done for the job.
func (job *jobPacking) rent() bool {
	o, price, ok := cheapest(job.in, job.e, job.zone, job.put, job.perZone)
	if job.near && job.zone != "" {
		if _, elsewhere, found := cheapest(job.in, job.e, "", job.put, job.perZone); found && (!ok || elsewhere < price) {
			job.near, job.zone = false, ""
			job.fill()
			return true
		}
	}
	if !ok {
		return false
	}
	f := job.in.Flavors[o.Type]
	s := &slot{
		unit: Machine{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Total: ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB)},
		used: true,
		new:  true,
	}
	n := job.fits(s)
	if n == 0 {
		return false
	}
	job.use(s, n)
	job.slots, job.open = append(job.slots, s), append(job.open, s)
	job.perZone[o.Zone]++
	job.rented(o)
	if job.e.Job.Spec.OneZone || job.near {
		job.zone = o.Zone
	}
	return true
}
