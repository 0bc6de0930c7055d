// Package autoscale decides which machines to rent and which to give back. The
// leader carries it out; this part does no I/O.
package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Machine is a machine as the fleet's leader sees it.
type Machine struct {
	ID        wire.MachineID
	Type      wire.MachineTypeName
	Zone      wire.Zone
	Spot      bool
	Booting   bool
	Usable    bool // takes tasks, or will when it is up
	Total     ledger.Resources
	Busy      []placement.ExpectedRelease // what its tasks take, and until when
	Caches    func(wire.Image) bool       // nil: nothing is known to be cached
	Fetching  wire.Image                  // under way there, "" if none
	IdleSince time.Time                   // zero while it has claims
}

// room returns what is free at a time, as far as can be foreseen.
func (m *Machine) room(at time.Time) ledger.Resources {
	free := m.Total
	for _, b := range m.Busy {
		if b.Until.After(at) {
			free = free.Add(b.Room, -1)
		}
	}
	return free
}

func (m *Machine) caches(name wire.Image) bool { return m.Caches != nil && m.Caches(name) }

// claim puts n tasks on the machine until some time.
func (m *Machine) claim(need ledger.Resources, n int, until time.Time) {
	m.Busy = append(m.Busy, placement.ExpectedRelease{Until: until, Room: ledger.Resources{}.Add(need, n)})
}

// MachineOption is a kind of machine to rent.
type MachineOption struct {
	Type wire.MachineTypeName
	Zone wire.Zone
	Spot bool
}

// ScaleOut is a number of machines of a kind.
type ScaleOut struct {
	MachineOption
	Count int
}

// Input is what a plan is made from.
type Input struct {
	Now           time.Time
	Flavors       map[wire.MachineTypeName]wire.MachineType // at current prices
	Units         []Machine
	Queue         []placement.Entry // in policy order
	TeamRoom      func(j *ledger.Job, extra ledger.Resources, most int) int
	OutOfCapacity func(MachineOption) bool // lately without capacity
	Spot          bool
	MaxMachines   int // machines at once, 0: no bound
	IdleBoots     float64
	Headroom      float64
	Close         bool // a topology is declared: a gang's machines are wanted in one zone

	MachinesExamined int // machines looked at: what a plan costs
}

// Plan is what to do.
type Plan struct {
	ScaleOut []ScaleOut
	Drain    []wire.MachineID
}

// ComputePlan packs the pending work, in policy order, into the machines there are or
// that are booting, rents what the rest needs, and gives back machines idle for
// longer than it would take to boot them again.
func ComputePlan(in *Input) Plan {
	p := newPacker(in)
	for i := range in.Queue {
		p.place(&in.Queue[i])
	}
	left := in.idleReserves()
	p.scaleOutReserve(left)
	return Plan{ScaleOut: p.scaleOuts(), Drain: p.scaleIns(left)}
}

// scaleOutReserve rents the machines with accelerators that are to be left idle beyond those there are.
func (p *packer) scaleOutReserve(left map[MachineOption]int) {
	for _, k := range slices.SortedFunc(maps.Keys(left), func(a, b MachineOption) int { return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone)) }) {
		for n := p.input.reserveShortfall(k, left[k], p.slots); n > 0 && p.mayScaleOut(); n-- {
			p.countScaleOut(k)
		}
	}
}

// scaleOuts lists what is to be rented, the most of a kind first.
func (p *packer) scaleOuts() (out []ScaleOut) {
	for o, n := range p.scaleOut {
		out = append(out, ScaleOut{o, n})
	}
	slices.SortFunc(out, func(a, b ScaleOut) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
	})
	return out
}

// scaleIns lists the idle machines that are to be given back: the dearest first, and those idle for the
// longest, but for what is left idle. left is changed.
func (p *packer) scaleIns(left map[MachineOption]int) (out []wire.MachineID) {
	in := p.input
	idle := p.idleMachines()
	for _, u := range idle[:max(0, len(idle)-in.headroomMachines())] {
		if k := (MachineOption{Type: u.Type, Zone: u.Zone}); left[k] > 0 {
			left[k]--
			continue
		}
		if in.Now.Sub(u.IdleSince) > in.maxIdle(&u) {
			out = append(out, u.ID)
		}
	}
	return out
}

// idleMachines lists the machines that are idle and of no use to the plan, in the order in which they go.
func (p *packer) idleMachines() (out []Machine) {
	for _, s := range p.slots {
		if !s.toRent && !s.used && !s.machine.Booting && !s.machine.IdleSince.IsZero() {
			out = append(out, s.machine)
		}
	}
	slices.SortFunc(out, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(p.input.price(b.option()), p.input.price(a.option())), a.IdleSince.Compare(b.IdleSince))
	})
	return out
}

// headroomMachines is how many idle machines are kept as a share of those in use.
func (in *Input) headroomMachines() int {
	inUse := 0
	for i := range in.Units {
		if u := &in.Units[i]; u.IdleSince.IsZero() && !u.Booting {
			inUse++
		}
	}
	return int(in.Headroom * float64(inUse))
}

// maxIdle is how long a machine may be idle: a cheap one, with its cache, for longer.
func (in *Input) maxIdle(u *Machine) time.Duration {
	f := in.Flavors[u.Type]
	keep := in.IdleBoots * float64(f.Boot.Duration())
	if p := in.price(u.option()); p > 0 && f.Price > p {
		keep *= f.Price / p
	}
	return time.Duration(keep)
}

// idleReserves is how many idle machines with accelerators, of each type in each zone, are kept for work
// that needs them, where there are types without any for other work.
func (in *Input) idleReserves() map[MachineOption]int {
	left, plain := map[MachineOption]int{}, false
	for _, f := range in.Flavors {
		plain = plain || f.GPUs == 0
	}
	if !plain {
		return left
	}
	for i := range in.Units {
		if u := &in.Units[i]; u.Usable && !u.Booting && u.Total.GPU > 0 {
			left[MachineOption{Type: u.Type, Zone: u.Zone}]++
		}
	}
	for k, n := range left {
		left[k] = placement.IdleReserve(n)
	}
	return left
}

// reserveShortfall is how many machines of a type in a zone are to be rented so that some are left idle by
// this plan, no more than are in use: work that needs them begins without waiting for a boot.
func (in *Input) reserveShortfall(k MachineOption, left int, slots []*slot) int {
	inUse, idle := 0, 0
	for _, s := range slots {
		switch u := &s.machine; {
		case u.Type != k.Type || u.Zone != k.Zone || u.Spot:
		case s.used || len(u.Busy) > 0:
			inUse++
		default:
			idle++
		}
	}
	if in.OutOfCapacity(k) {
		return 0
	}
	return max(0, min(left, inUse)-idle)
}

// zoneWithMostRoom is the zone whose machines have room for the most of a gang's tasks, "" if
// there is none.
func zoneWithMostRoom(open []*slot, fits func(*slot) int) (best wire.Zone) {
	room := map[wire.Zone]int{}
	for _, s := range open {
		z := s.machine.Zone
		if room[z] += fits(s); room[z] > room[best] || room[z] == room[best] && z < best {
			best = z
		}
	}
	return best
}

// smallestNeed is the least that a task of any job takes, and the time by which a machine
// rented now would be up.
func (in *Input) smallestNeed() (need ledger.Resources, by time.Time) {
	for i := range in.Queue {
		n := in.Queue[i].Job.Need
		if i == 0 {
			need = n
		}
		need = ledger.Resources{CPU: min(need.CPU, n.CPU), GPU: min(need.GPU, n.GPU), Memory: min(need.Memory, n.Memory)}
	}
	by = in.Now
	for _, f := range in.Flavors {
		if up := in.Now.Add(f.Boot.Duration()); up.After(by) {
			by = up
		}
	}
	return need, by
}

// shortestBoot is how soon a machine for the job could be up.
func (in *Input) shortestBoot(j *ledger.Job) time.Duration {
	var least time.Duration
	for _, f := range in.Flavors {
		if b := f.Boot.Duration(); (least == 0 || b < least) &&
			ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB).Fits(j.Need) {
			least = b
		}
	}
	return least
}

func (m *Machine) option() MachineOption { return MachineOption{m.Type, m.Zone, m.Spot} }

func (in *Input) price(o MachineOption) float64 {
	f := in.Flavors[o.Type]
	if o.Spot {
		return f.SpotPrice
	}
	return f.Price
}

// cheapest chooses what to rent for a job: the lowest price for the room that
// its tasks get, which it tells, then the zone with the fewest machines. put is how many of the
// job's tasks have a place by zone.
func cheapest(
	in *Input,
	e *placement.Entry,
	zone wire.Zone,
	put, perZone map[wire.Zone]int,
) (best MachineOption, bestPrice float64, found bool) {
	j := e.Job
	for _, f := range in.Flavors {
		room := ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB).Times(j.Need, j.Spec.Tasks)
		if room == 0 || e.Plain && f.GPUs > 0 {
			continue
		}
		for _, z := range f.Zones {
			if j.Spec.Spread && j.ZoneRoom(z) <= put[z] {
				continue // a job that is to be spread once waited for ever for a second zone
			}
			for _, spot := range []bool{true, false} {
				o := MachineOption{f.Name, z, spot}
				if spot && (!in.Spot || f.SpotPrice <= 0 || e.AvoidSpot) || zone != "" && z != zone ||
					!ledger.Allowed(j.Spec, f.Name, z, spot) || in.OutOfCapacity(o) {
					continue
				}
				price := in.price(o) / float64(room)
				better := cmp.Or(cmp.Compare(price, bestPrice), cmp.Compare(perZone[z], perZone[best.Zone]),
					cmp.Compare(o.Type, best.Type), cmp.Compare(z, best.Zone)) < 0
				if !found || better {
					best, bestPrice, found = o, price, true
				}
			}
		}
	}
	return best, bestPrice, found
}
